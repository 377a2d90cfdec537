"""Tells a bad task from a bad worker.

A task that fails waits ever longer and avoids the workers where it failed. A
worker on which different kinds fail in a row, or a kind that completes
elsewhere, is quarantined; after a while it gets a single task as a probe.
"""

import enum

import attrs

STREAK = 3
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0
FIRST_QUARANTINE_S = 30.0
MAX_QUARANTINE_S = 600.0
MAX_TASKS = 10_000


class Standing(enum.Enum):
    """Whether a worker is trusted."""

    TRUSTED = "trusted"
    QUARANTINED = "quarantined"
    PROBED = "probed"


@attrs.define
class TaskRecord:
    """Failures of a task."""

    failures: int = 0
    not_before: float = 0.0
    workers: set[str] = attrs.field(factory=set)


@attrs.define
class WorkerRecord:
    """Failures in a row on a worker."""

    streak: list[str] = attrs.field(factory=list)
    until: float | None = None
    quarantine_s: float = FIRST_QUARANTINE_S


class Blame:
    """Failures of a cell, as seen in one term of its leader."""

    def __init__(self):
        self._tasks: dict[str, TaskRecord] = {}
        self._workers: dict[str, WorkerRecord] = {}
        self._completed: dict[str, set[str]] = {}

    def standing(self, worker: str, now: float) -> Standing:
        """Returns whether a worker is trusted."""
        record = self._workers.get(worker)
        if record is None or record.until is None:
            return Standing.TRUSTED
        if now < record.until:
            return Standing.QUARANTINED
        return Standing.PROBED

    def not_before(self, task: str) -> float:
        """Returns the monotonic seconds before which a task must not start."""
        record = self._tasks.get(task)
        return 0.0 if record is None else record.not_before

    def avoided(self, task: str) -> frozenset[str]:
        """Returns the workers where a task failed."""
        record = self._tasks.get(task)
        return frozenset() if record is None else frozenset(record.workers)

    def complete(self, task: str, kind: str, worker: str) -> bool:
        """Takes a completion; returns whether it ends a quarantine."""
        self._tasks.pop(task, None)
        self._completed.setdefault(kind, set()).add(worker)
        record = self._workers.pop(worker, None)
        return record is not None and record.until is not None

    def fail(self, task: str, kind: str, worker: str, now: float) -> bool:
        """Takes a failure; returns whether the worker is to blame for it."""
        record = self._workers.setdefault(worker, WorkerRecord())
        record.streak.append(kind)
        del record.streak[:-STREAK]
        if record.until is not None or self._suspicious(worker, record):
            if record.until is not None and now >= record.until:
                record.quarantine_s = min(
                    record.quarantine_s * 2, MAX_QUARANTINE_S
                )
            record.until = now + record.quarantine_s
            return True
        self._blame_task(task, worker, now)
        return False

    def _blame_task(self, task: str, worker: str, now: float) -> None:
        known = self._tasks.pop(task, TaskRecord())
        self._tasks[task] = known
        known.failures += 1
        known.workers.add(worker)
        backoff_s = FIRST_BACKOFF_S * 2 ** (known.failures - 1)
        known.not_before = now + min(backoff_s, MAX_BACKOFF_S)
        while len(self._tasks) > MAX_TASKS:
            del self._tasks[next(iter(self._tasks))]

    def _suspicious(self, worker: str, record: WorkerRecord) -> bool:
        if len(record.streak) < STREAK:
            return False
        if len(set(record.streak)) > 1:
            return True
        elsewhere = self._completed.get(record.streak[0], set()) - {worker}
        return bool(elsewhere)
