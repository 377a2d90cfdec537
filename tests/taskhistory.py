"""Checks what workers started and stopped against the promises on tasks."""

import attrs


@attrs.frozen
class AttemptEvent:
    """A start or end of an attempt on a worker, in host-wide time."""

    at_s: float
    worker: str
    action: str
    task: str
    attempt: int
    progress: float
    cores: float = 1.0
    memory_mb: int = 0


def parse_history(worker, rows):
    """Returns the history that a worker's stand-in tells."""
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


def violations(rows, cores=32.0, memory_mb=125_000):
    """Returns sentences that name every broken promise."""
    ordered = sorted(rows, key=lambda row: (row.at_s, row.action == "start"))
    return [
        *_concurrent_attempts(ordered),
        *_over_capacity(ordered, cores, memory_mb),
        *_wrong_starts(ordered),
    ]


def _concurrent_attempts(rows):
    running = {}
    for row in rows:
        if row.action == "start":
            if running.get(row.task):
                yield f"{row.task} runs twice: {running[row.task]}, {row}"
            running.setdefault(row.task, []).append(row)
        else:
            running[row.task] = [
                start
                for start in running.get(row.task, [])
                if (start.worker, start.attempt) != (row.worker, row.attempt)
            ]


def _over_capacity(rows, cores, memory_mb):
    held = {}
    for row in rows:
        mine = held.setdefault(row.worker, {})
        if row.action != "start":
            mine.pop((row.task, row.attempt), None)
            continue
        mine[row.task, row.attempt] = row
        used = sum(start.cores for start in mine.values())
        memory = sum(start.memory_mb for start in mine.values())
        if used > cores + 1e-6 or memory > memory_mb:
            yield f"{row.worker} holds {used} cores, {memory} MB at {row}"


def _wrong_starts(rows):
    tasks = {}
    for row in rows:
        tasks.setdefault(row.task, []).append(row)
    for task, history in tasks.items():
        saved = 0.0
        attempts = set()
        ended = False
        for row in history:
            if row.action == "start":
                if row.attempt in attempts:
                    yield f"{task} starts attempt {row.attempt} again"
                if ended:
                    yield f"{task} starts after it completed"
                if abs(row.progress - saved) > 1e-9:
                    yield f"{task} resumes at {row.progress}, not {saved}"
                attempts.add(row.attempt)
            elif row.action == "evicted":
                saved = row.progress
            ended |= row.action == "completed"
