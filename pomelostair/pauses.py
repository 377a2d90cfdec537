"""Pauses of this process, and the age of requests that waited for their end.

A process that was frozen finds requests in its sockets whose age it can't
tell. They are taken to be as old as the pause.
"""

from pomelostair import clock as clock_module

TICK_S = 0.1
MIN_PAUSE_S = 0.5
SETTLE_S = 0.3


class PauseDetector:
    """Notices that the process did nothing for a while.

    Args:
        clock: Source of time; it must go on during a pause.
    """

    def __init__(self, clock: clock_module.Clock):
        self._clock = clock
        self._active = clock.now()
        self._begun = self._active
        self._ended = self._active - SETTLE_S

    def tick(self) -> None:
        """Notes that the process is active; call it every `TICK_S`."""
        now = self._clock.now()
        if now - self._active > MIN_PAUSE_S:
            self._begun = self._active
            self._ended = now
        self._active = now

    def arrival(self) -> float:
        """Returns the earliest time at which a request read now may have come.

        In monotonic seconds.
        """
        self.tick()
        if self._active - self._ended < SETTLE_S:
            return self._begun
        return self._active
