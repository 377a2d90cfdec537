"""Checks the history of attempts on workers against the tasks' guarantees.

A task runs once at a time, resumes at its last checkpoint and does not start
after it completed; a worker's capacity is not exceeded.
"""

import attrs


@attrs.frozen
class AttemptEvent:
    """A start or end of an attempt on a worker.

    Attributes:
        at_s: Time on the clock that all workers of the machine share.
        worker: Name of the worker.
        action: `start`, or how the attempt ended.
        task: Id of the task.
        attempt: Number of the attempt.
        progress: Share of the work that is done, 0 to 1.
        cores: Reserved cores.
        memory_mb: Reserved memory.
    """

    at_s: float
    worker: str
    action: str
    task: str
    attempt: int
    progress: float
    cores: float = 1.0
    memory_mb: int = 0


def parse_history(worker, rows):
    """Returns the events that a stand-in worker lists as its history."""
    return [
        AttemptEvent(
            row["at_s"],
            worker,
            row["action"],
            row["task"],
            row["attempt"],
            row["progress"],
            row["reserved"]["cores"],
            row["reserved"]["memory_mb"],
        )
        for row in rows
    ]


def violations(events, cores=32.0, memory_mb=125_000):
    """Returns a sentence for each violation."""
    ordered = sorted(
        events, key=lambda event: (event.at_s, event.action == "start")
    )
    return [
        *_concurrent_attempts(ordered),
        *_over_capacity(ordered, cores, memory_mb),
        *_wrong_starts(ordered),
    ]


def _concurrent_attempts(events):
    running = {}
    for event in events:
        if event.action == "start":
            if running.get(event.task):
                yield f"{event.task} runs twice: {running[event.task]}, {event}"
            running.setdefault(event.task, []).append(event)
        else:
            running[event.task] = [
                start
                for start in running.get(event.task, [])
                if (start.worker, start.attempt)
                != (event.worker, event.attempt)
            ]


def _over_capacity(events, cores, memory_mb):
    running_by_worker = {}
    for event in events:
        running = running_by_worker.setdefault(event.worker, {})
        if event.action != "start":
            running.pop((event.task, event.attempt), None)
            continue
        running[event.task, event.attempt] = event
        used = sum(start.cores for start in running.values())
        memory = sum(start.memory_mb for start in running.values())
        if used > cores + 1e-6 or memory > memory_mb:
            yield f"{event.worker} holds {used} cores, {memory} MB at {event}"


def _wrong_starts(events):
    tasks = {}
    for event in events:
        tasks.setdefault(event.task, []).append(event)
    for task, history in tasks.items():
        saved = 0.0
        attempts = set()
        completed = False
        for event in history:
            if event.action == "start":
                if event.attempt in attempts:
                    yield f"{task} starts attempt {event.attempt} again"
                if completed:
                    yield f"{task} starts after it completed"
                if abs(event.progress - saved) > 1e-9:
                    yield f"{task} resumes at {event.progress}, not {saved}"
                attempts.add(event.attempt)
            elif event.action == "evicted":
                saved = event.progress
            completed |= event.action == "completed"
