"""Recent usage reports of workers, and what ran when usage was measured."""

import collections
from collections.abc import Mapping
import functools

import attrs

from pomelostair import accounting
from pomelostair import messages

MAX_SNAPSHOTS = 128
MIN_LOAD = 1e-9

AttemptKey = tuple[str, int]


@attrs.frozen
class RunningAttempt:
    """A running attempt in a snapshot of its worker.

    Attributes:
        kind: Kind of its task.
        urgency: Urgency class.
        used: Largest size that the attempt reported, or the typical size of
            its kind before the first report; the cores are those used at
            `speed_share`.
        speed_share: Share of full speed at which it was ordered to run.
    """

    kind: str
    urgency: messages.Urgency
    used: messages.Size
    speed_share: float


@attrs.frozen
class WorkerSnapshot:
    """Attempts that ran on a worker at the time of a heartbeat.

    Attributes:
        at_s: Monotonic seconds.
        attempts: The running attempts.
    """

    at_s: float
    attempts: Mapping[AttemptKey, RunningAttempt]

    @functools.cached_property
    def used(self) -> messages.Size:
        """Sum of the used sizes of all attempts."""
        sizes = [attempt.used for attempt in self.attempts.values()]
        return messages.Size(
            sum(size.cores for size in sizes),
            sum(size.memory_mb for size in sizes),
            sum(size.accelerators for size in sizes),
        )

    @functools.cached_property
    def cores_by_kind(self) -> Mapping[str, float]:
        """Used cores by kind of task."""
        totals: dict[str, float] = {}
        for attempt in self.attempts.values():
            cores = totals.get(attempt.kind, 0.0) + attempt.used.cores
            totals[attempt.kind] = cores
        return totals


class WorkerReports:
    """Reports of one worker."""

    def __init__(self):
        self._snapshots: collections.deque[WorkerSnapshot] = collections.deque(
            maxlen=MAX_SNAPSHOTS
        )
        self._last_read_ms: dict[AttemptKey, float] = {}
        self._peak_sizes: dict[AttemptKey, messages.Size] = {}

    def add_snapshot(self, snapshot: WorkerSnapshot) -> None:
        """Adds the latest snapshot and forgets attempts that no longer run."""
        self._snapshots.append(snapshot)
        for entries in (self._last_read_ms, self._peak_sizes):
            for key in entries.keys() - snapshot.attempts.keys():
                del entries[key]

    @property
    def latest(self) -> WorkerSnapshot | None:
        """The latest snapshot, None before the first."""
        return self._snapshots[-1] if self._snapshots else None

    def update_peak_size(
        self, key: AttemptKey, used: messages.Size
    ) -> messages.Size:
        """Records a usage report and returns the largest size reported so far.

        Args:
            key: The attempt.
            used: Its latest reported size.
        """
        peak_size = accounting.maximum(used, self._peak_sizes.get(key, used))
        self._peak_sizes[key] = peak_size
        return peak_size

    def accept_reading(self, key: AttemptKey, read_ms: float) -> bool:
        """Accepts a reading if it is newer than the last one of its attempt.

        Args:
            key: The attempt.
            read_ms: When its usage was measured, on the worker's clock.

        Returns:
            Whether the reading is newer.
        """
        last_read_ms = self._last_read_ms.get(key)
        if last_read_ms is not None and read_ms <= last_read_ms:
            return False
        self._last_read_ms[key] = read_ms
        return True

    def snapshot_at(self, at_s: float) -> WorkerSnapshot | None:
        """Returns what ran when usage was measured, None if unknown.

        A snapshot is returned only if the next one has the same attempts,
        since the usage was measured at some time between the two.
        """
        for index in range(len(self._snapshots) - 1, -1, -1):
            if self._snapshots[index].at_s <= at_s:
                return self._snapshot_if_unchanged(index)
        return None

    def _snapshot_if_unchanged(self, index: int) -> WorkerSnapshot | None:
        snapshot = self._snapshots[index]
        if index + 1 < len(self._snapshots):
            following = self._snapshots[index + 1]
            if following.attempts.keys() != snapshot.attempts.keys():
                return None
        return snapshot


def neighbour_loads(
    snapshot: WorkerSnapshot, victim: AttemptKey, capacity: messages.Size
) -> dict[str, float]:
    """Returns the shares of the cores that other attempts use, by kind.

    Args:
        snapshot: Attempts that ran on the worker.
        victim: Attempt that is left out.
        capacity: Capacity of the worker.
    """
    core_shares = {
        kind: cores / capacity.cores
        for kind, cores in snapshot.cores_by_kind.items()
    }
    victim_attempt = snapshot.attempts[victim]
    remaining = (
        core_shares[victim_attempt.kind]
        - victim_attempt.used.cores / capacity.cores
    )
    if remaining > MIN_LOAD:
        core_shares[victim_attempt.kind] = remaining
    else:
        del core_shares[victim_attempt.kind]
    return core_shares
