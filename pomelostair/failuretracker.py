"""Attributes failures of attempts to their task or to their worker.

A task that fails is retried with exponential backoff and avoids the workers
where it failed. A worker is quarantined if tasks of different kinds fail on it
in a row, or tasks of one kind that completes on other workers. After the
quarantine it gets a single task as a probe.
"""

import enum

import attrs

FAILURE_STREAK = 3
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0
FIRST_QUARANTINE_S = 30.0
MAX_QUARANTINE_S = 600.0
MAX_TRACKED_TASKS = 10_000


class WorkerStatus(enum.Enum):
    """Whether a worker gets tasks: all, none, or one as a probe."""

    TRUSTED = "trusted"
    QUARANTINED = "quarantined"
    PROBED = "probed"


@attrs.define
class TaskFailures:
    """Failures of a task.

    Attributes:
        failures: Number of failures.
        earliest_start_s: Monotonic seconds when its backoff ends.
        workers: Workers where it failed.
    """

    failures: int = 0
    earliest_start_s: float = 0.0
    workers: set[str] = attrs.field(factory=set)


@attrs.define
class WorkerFailures:
    """Failures in a row on a worker.

    Attributes:
        failed_kinds: Kinds of the latest failed tasks, the latest last.
        quarantined_until_s: Monotonic seconds when the quarantine ends, None
            for no quarantine.
        quarantine_s: Length of the quarantine; doubled by each failed probe.
    """

    failed_kinds: list[str] = attrs.field(factory=list)
    quarantined_until_s: float | None = None
    quarantine_s: float = FIRST_QUARANTINE_S


class FailureTracker:
    """Failures in a cell during one term of its leader."""

    def __init__(self):
        self._tasks: dict[str, TaskFailures] = {}
        self._workers: dict[str, WorkerFailures] = {}
        self._workers_completing_kind: dict[str, set[str]] = {}

    def worker_status(self, worker: str, now: float) -> WorkerStatus:
        """Returns whether a worker is trusted, quarantined or probed."""
        record = self._workers.get(worker)
        if record is None or record.quarantined_until_s is None:
            return WorkerStatus.TRUSTED
        if now < record.quarantined_until_s:
            return WorkerStatus.QUARANTINED
        return WorkerStatus.PROBED

    def earliest_start_s(self, task: str) -> float:
        """Returns the monotonic seconds when the backoff of a task ends."""
        record = self._tasks.get(task)
        return 0.0 if record is None else record.earliest_start_s

    def failed_workers(self, task: str) -> frozenset[str]:
        """Returns the workers where a task has failed."""
        record = self._tasks.get(task)
        return frozenset() if record is None else frozenset(record.workers)

    def record_completion(self, task: str, kind: str, worker: str) -> bool:
        """Records a completion; returns whether it ends a quarantine."""
        self._tasks.pop(task, None)
        self._workers_completing_kind.setdefault(kind, set()).add(worker)
        record = self._workers.pop(worker, None)
        return record is not None and record.quarantined_until_s is not None

    def record_failure(
        self, task: str, kind: str, worker: str, now: float
    ) -> bool:
        """Records a failure; returns whether it is attributed to the worker."""
        record = self._workers.setdefault(worker, WorkerFailures())
        record.failed_kinds.append(kind)
        del record.failed_kinds[:-FAILURE_STREAK]
        if record.quarantined_until_s is not None or self._is_suspect(
            worker, record
        ):
            if (
                record.quarantined_until_s is not None
                and now >= record.quarantined_until_s
            ):
                record.quarantine_s = min(
                    record.quarantine_s * 2, MAX_QUARANTINE_S
                )
            record.quarantined_until_s = now + record.quarantine_s
            return True
        self._record_task_failure(task, worker, now)
        return False

    def _record_task_failure(self, task: str, worker: str, now: float) -> None:
        record = self._tasks.pop(task, TaskFailures())
        self._tasks[task] = record
        record.failures += 1
        record.workers.add(worker)
        backoff_s = FIRST_BACKOFF_S * 2 ** (record.failures - 1)
        record.earliest_start_s = now + min(backoff_s, MAX_BACKOFF_S)
        while len(self._tasks) > MAX_TRACKED_TASKS:
            del self._tasks[next(iter(self._tasks))]

    def _is_suspect(self, worker: str, record: WorkerFailures) -> bool:
        if len(record.failed_kinds) < FAILURE_STREAK:
            return False
        if len(set(record.failed_kinds)) > 1:
            return True
        elsewhere = self._workers_completing_kind.get(
            record.failed_kinds[0], set()
        ) - {worker}
        return bool(elsewhere)
