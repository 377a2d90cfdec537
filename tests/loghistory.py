"""Checks a history: what the log says joined with what workers started."""

import attrs

from pomelostair import cell
from pomelostair import messages


@attrs.define
class Run:
    """One attempt as its worker ran it; `end` is None while it runs."""

    task: str
    attempt: int
    worker: str
    start: float
    end: float | None = None


def violations(events, runs, accepted=()):
    """Returns what is wrong with a history, as sentences.

    Args:
        events: All events of the log, in order.
        runs: What the workers started, on one clock.
        accepted: Ids of jobs whose callers were told that they are accepted.
    """
    return [
        *_overlaps(runs),
        *_unlogged_starts(events, runs),
        *_repeated_starts(runs),
        *_bad_logs(events),
        *_lost_jobs(events, accepted),
    ]


def _overlaps(runs):
    by_task = {}
    for run in sorted(runs, key=lambda run: run.start):
        before = by_task.get(run.task)
        if before and (before.end is None or before.end > run.start):
            yield f"{run.task} ran in two places: {before} and {run}"
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


def _bad_logs(events):
    """Each attempt is placed once, in order, and ends at most once."""
    open_attempts, last, done, jobs = {}, {}, set(), set()
    for event in events:
        match event:
            case cell.JobSubmitted(spec=spec):
                if spec.id in jobs:
                    yield f"job {spec.id} was accepted twice"
                jobs.add(spec.id)
            case cell.TaskPlaced(task=task, attempt=attempt):
                if task in open_attempts or task in done:
                    yield f"{task} was placed while placed or done"
                if attempt != last.get(task, 0) + 1:
                    yield f"{task} went from {last.get(task)} to {attempt}"
                open_attempts[task] = last[task] = attempt
            case cell.TaskEnded(task=task, attempt=attempt, end=end):
                if open_attempts.get(task) != attempt:
                    continue
                del open_attempts[task]
                if end is messages.TaskEnd.COMPLETED:
                    done.add(task)


def _lost_jobs(events, accepted):
    logged = {e.spec.id for e in events if isinstance(e, cell.JobSubmitted)}
    for job in accepted:
        if job not in logged:
            yield f"job {job} was accepted but is not in the log"
