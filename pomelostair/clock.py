"""Monotonic clocks, from which all durations in the system are measured."""

import abc
import time


class Clock(abc.ABC):
    """Interface of a monotonic clock."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns seconds that are comparable within one process only."""


class MonotonicClock(Clock):
    """The process's monotonic clock."""

    def now(self) -> float:
        """Returns the seconds of `time.monotonic`."""
        return time.monotonic()


class BoottimeClock(Clock):
    """A monotonic clock that also advances while the host is suspended.

    Leases are measured with it, so that a process on a resumed host sees that
    its lease has lapsed meanwhile.
    """

    def now(self) -> float:
        """Returns the seconds of `CLOCK_BOOTTIME`."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock for tests that advances only when told to.

    Args:
        start: Initial reading in seconds.
    """

    def __init__(self, start: float = 0.0):
        self._now = start

    def now(self) -> float:
        """Returns the current reading in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advances the clock by `seconds`."""
        self._now += seconds
