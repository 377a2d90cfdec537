"""Clocks; all durations of the system are taken from a monotonic one."""

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic time."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns monotonic seconds, comparable within one process only."""


class MonotonicClock(Clock):
    """The process's monotonic clock."""

    def now(self) -> float:
        """Returns the seconds of `time.monotonic`."""
        return time.monotonic()


class BoottimeClock(Clock):
    """A monotonic clock that also counts time in which the host was asleep.

    Leases are measured with it: a process that wakes up must see that they
    have lapsed meanwhile.
    """

    def now(self) -> float:
        """Returns the seconds of `CLOCK_BOOTTIME`."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that tests move by hand.

    Args:
        start: Initial reading in seconds.
    """

    def __init__(self, start: float = 0.0):
        self._now = start

    def now(self) -> float:
        """Returns the reading in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Moves the reading forward by `seconds`."""
        self._now += seconds
