"""What workers reported lately, and what ran there when it was read."""

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
    """A running attempt as a heartbeat showed it.

    Attributes:
        kind: Kind of its task.
        urgency: Urgency class.
        used: Reported size, the planned one before the first report.
        share: Share of full speed that it was given.
    """

    kind: str
    urgency: messages.Urgency
    used: messages.Size
    speed_share: float


@attrs.frozen
class WorkerSnapshot:
    """What ran on a worker at some time."""

    at_s: float
    attempts: Mapping[AttemptKey, RunningAttempt]

    @functools.cached_property
    def used(self) -> messages.Size:
        """Sum of all sizes."""
        sizes = [resident.used for resident in self.attempts.values()]
        return messages.Size(
            sum(size.cores for size in sizes),
            sum(size.memory_mb for size in sizes),
            sum(size.accelerators for size in sizes),
        )

    @functools.cached_property
    def cores_by_kind(self) -> Mapping[str, float]:
        """Used cores by kind."""
        found: dict[str, float] = {}
        for resident in self.attempts.values():
            cores = found.get(resident.kind, 0.0) + resident.used.cores
            found[resident.kind] = cores
        return found


class WorkerReports:
    """Reports of one worker."""

    def __init__(self):
        self._snapshots: collections.deque[WorkerSnapshot] = collections.deque(
            maxlen=MAX_SNAPSHOTS
        )
        self._last_read_ms: dict[AttemptKey, float] = {}
        self._peak_sizes: dict[AttemptKey, messages.Size] = {}

    def add_snapshot(self, snapshot: WorkerSnapshot) -> None:
        """Keeps what runs now and drops what does not."""
        self._snapshots.append(snapshot)
        for memory in (self._last_read_ms, self._peak_sizes):
            for key in memory.keys() - snapshot.attempts.keys():
                del memory[key]

    @property
    def latest(self) -> WorkerSnapshot | None:
        """What ran last."""
        return self._snapshots[-1] if self._snapshots else None

    def update_peak_size(
        self, key: AttemptKey, used: messages.Size
    ) -> messages.Size:
        """Returns the largest size that an attempt reported.

        Args:
            key: The attempt.
            used: Its latest report.
        """
        peak_size = accounting.maximum(used, self._peak_sizes.get(key, used))
        self._peak_sizes[key] = peak_size
        return peak_size

    def accept_reading(self, key: AttemptKey, read_ms: float) -> bool:
        """Returns whether a reading is newer than the last of the attempt.

        Args:
            key: The attempt.
            read_ms: When it was read, on the worker's clock.
        """
        last_read_ms = self._last_read_ms.get(key)
        if last_read_ms is not None and read_ms <= last_read_ms:
            return False
        self._last_read_ms[key] = read_ms
        return True

    def snapshot_at(self, at_s: float) -> WorkerSnapshot | None:
        """Returns what ran when something was read, None if unknown.

        A scene counts only if the next one shows the same attempts, since
        the reading lies somewhere between the two.
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
    """Returns shares of the cores by kind beside an attempt."""
    found = {
        kind: cores / capacity.cores
        for kind, cores in snapshot.cores_by_kind.items()
    }
    own = snapshot.attempts[victim]
    left = found[own.kind] - own.used.cores / capacity.cores
    if left > MIN_LOAD:
        found[own.kind] = left
    else:
        del found[own.kind]
    return found
