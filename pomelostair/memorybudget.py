"""Bounds on what a process holds for its callers, derived from its machine.

The memory that all callers of a process occupy together is reserved in one
budget before it is used. Numbers of connections follow from the descriptors
of the process. docs/design/memory.md lists the sums.
"""

from collections.abc import Callable
import time

import attrs

from pomelostair import events
from pomelostair import log
from pomelostair import metrics as metrics_module

_MIB = 1024 * 1024
# Machine of the smallest entry, for processes whose settings state no limits.
DEFAULT_MEMORY_MB = 200
DEFAULT_MAX_FDS = 4096
# Share of the machine's memory for callers. An idle process takes about 45 MB,
# so this leaves half of the smallest machine for the product's own state.
CALLERS_SHARE = 0.25
# Part of that share for readiness checks, and as much again for metrics.
OPERATIONS_BYTES = 2 * _MIB
# Descriptors for files and the parts of the runtime.
RESERVED_FDS = 200
# Descriptors of a connection to a peer: its socket, and those that tell when it
# is writable.
FDS_PER_PEER = 3
MAX_CALLERS = 2048
MAX_READINESS_CONNECTIONS = 64
MIN_CONNECTIONS = 16
# Shortest time between two log lines about one limit at one place. The next
# line counts what was not logged meanwhile.
LOG_INTERVAL_S = 1.0


class MemoryBudget:
    """A number of bytes that several holders share.

    Args:
        total_bytes: Most bytes that may be reserved at the same time.
    """

    def __init__(self, total_bytes: int):
        self._total_bytes = total_bytes
        self._reserved_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Most bytes that may be reserved at the same time."""
        return self._total_bytes

    @property
    def reserved_bytes(self) -> int:
        """Bytes that are reserved now."""
        return self._reserved_bytes

    def reserve(self, size: int) -> bool:
        """Reserves bytes; returns whether they are available."""
        if self._reserved_bytes + size > self._total_bytes:
            return False
        self._reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Returns reserved bytes.

        Raises:
            ValueError: More bytes are returned than are reserved.
        """
        if size > self._reserved_bytes:
            raise ValueError(f"{size} bytes exceed the reserved ones")
        self._reserved_bytes -= size


class Reservation:
    """The bytes that one holder has reserved; they grow in steps.

    Args:
        budget: Budget that they are taken from.
    """

    def __init__(self, budget: MemoryBudget):
        self._budget = budget
        self._size = 0

    @property
    def size(self) -> int:
        """Bytes that are reserved."""
        return self._size

    def resize(self, size: int) -> bool:
        """Grows or shrinks; returns False if the budget does not allow it."""
        if size <= self._size:
            self._budget.release(self._size - size)
        elif not self._budget.reserve(size - self._size):
            return False
        self._size = size
        return True


class LimitLog:
    """Counts the limits that are reached, and logs them at a bounded rate.

    Args:
        metrics: Counts them.
        now: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        now: Callable[[], float] = time.monotonic,
    ):
        self._metrics = metrics
        self._now = now
        self._logged_s: dict[tuple[str, str], float] = {}
        self._unlogged: dict[tuple[str, str], int] = {}

    def record(self, place: str, limit: str) -> None:
        """Records that a limit was reached.

        Args:
            place: Where; one of few names.
            limit: Which; one of few names.
        """
        self._metrics.count("limits_reached", place=place, limit=limit)
        key = (place, limit)
        self._unlogged[key] = self._unlogged.get(key, 0) + 1
        now = self._now()
        if now - self._logged_s.get(key, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_s[key] = now
        log.emit(
            events.Events.LIMIT_REACHED,
            place=place,
            limit=limit,
            count=self._unlogged.pop(key),
        )


@attrs.frozen
class Bounds:
    """Bounds of a process.

    Attributes:
        callers: Budget of the connections of callers and workers.
        readiness: Budget of the readiness checks, so that callers can't take
            an entry out of service.
        metrics: Budget of the metrics server, so that they stay visible.
        max_callers: Connections of callers.
        max_readiness_connections: Connections of readiness checks.
        max_peers: Connections to peers over the bus.
    """

    callers: MemoryBudget
    readiness: MemoryBudget
    metrics: MemoryBudget
    max_callers: int
    max_readiness_connections: int
    max_peers: int


def derive(memory_mb: float, max_fds: int) -> Bounds:
    """Returns the bounds of a process.

    Of the descriptors that are not reserved, three eighths are for callers and
    a sixteenth for readiness checks. Connections to peers may use all of them:
    a lower limit would cut off agents of a large site.

    Args:
        memory_mb: Memory of its machine.
        max_fds: Descriptors that it may have open.
    """
    callers_bytes = int(memory_mb * _MIB * CALLERS_SHARE)
    operations_bytes = min(OPERATIONS_BYTES, callers_bytes // 8)
    usable_fds = max(0, max_fds - RESERVED_FDS)
    return Bounds(
        callers=MemoryBudget(callers_bytes - 2 * operations_bytes),
        readiness=MemoryBudget(operations_bytes),
        metrics=MemoryBudget(operations_bytes),
        max_callers=_clamp(usable_fds * 3 // 8, MAX_CALLERS),
        max_readiness_connections=_clamp(
            usable_fds // 16, MAX_READINESS_CONNECTIONS
        ),
        max_peers=_clamp(usable_fds // FDS_PER_PEER, usable_fds),
    )


def default() -> Bounds:
    """Returns the bounds of a process whose settings state no limits."""
    return derive(DEFAULT_MEMORY_MB, DEFAULT_MAX_FDS)


def _clamp(value: int, largest: int) -> int:
    return max(MIN_CONNECTIONS, min(value, largest))
