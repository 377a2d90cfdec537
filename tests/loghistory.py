"""Checks the cell log against the attempts that workers ran."""

import attrs

from pomelostair import cell
from pomelostair import messages


@attrs.define
class AttemptRun:
    """One attempt as its worker ran it.

    Times are on one clock; `end_s` is None while the attempt runs.
    """

    task: str
    attempt: int
    worker: str
    start_s: float
    end_s: float | None = None


def violations(events, runs, accepted=()):
    """Returns the violated invariants of a history, one text each.

    Args:
        events: All events of the cell log, in order.
        runs: Attempts that the workers started, on one clock.
        accepted: Ids of jobs whose acceptance was confirmed to the caller.
    """
    return [
        *_overlaps(runs),
        *_unlogged_starts(events, runs),
        *_repeated_starts(runs),
        *_inconsistent_events(events),
        *_lost_jobs(events, accepted),
    ]


def _overlaps(runs):
    by_task = {}
    for run in sorted(runs, key=lambda run: run.start_s):
        previous = by_task.get(run.task)
        if previous and (
            previous.end_s is None or previous.end_s > run.start_s
        ):
            yield f"{run.task} ran in two places: {previous} and {run}"
        by_task[run.task] = run


def _unlogged_starts(events, runs):
    placed = {
        (e.task, e.attempt, e.worker)
        for e in events
        if isinstance(e, cell.TaskPlaced)
    }
    for run in runs:
        if (run.task, run.attempt, run.worker) not in placed:
            yield f"{run} was started without a committed placement"


def _repeated_starts(runs):
    keys = [(run.task, run.attempt) for run in runs]
    for key in {key for key in keys if keys.count(key) > 1}:
        yield f"attempt {key} was started {keys.count(key)} times"


def _inconsistent_events(events):
    """Checks that attempts are placed once, in order, and end at most once."""
    open_attempts, last_attempts, completed, submitted_jobs = (
        {},
        {},
        set(),
        set(),
    )
    for event in events:
        match event:
            case cell.JobSubmitted(spec=spec):
                if spec.id in submitted_jobs:
                    yield f"job {spec.id} was accepted twice"
                submitted_jobs.add(spec.id)
            case cell.TaskPlaced(task=task, attempt=attempt):
                if task in open_attempts or task in completed:
                    yield f"{task} was placed while placed or done"
                if attempt != last_attempts.get(task, 0) + 1:
                    yield (
                        f"{task} went from {last_attempts.get(task)} "
                        f"to {attempt}"
                    )
                open_attempts[task] = last_attempts[task] = attempt
            case cell.TaskEnded(task=task, attempt=attempt, end=end):
                if open_attempts.get(task) != attempt:
                    continue
                del open_attempts[task]
                if end is messages.TaskEnd.COMPLETED:
                    completed.add(task)


def _lost_jobs(events, accepted):
    logged = {e.spec.id for e in events if isinstance(e, cell.JobSubmitted)}
    for job in accepted:
        if job not in logged:
            yield f"job {job} was accepted but is not in the log"
