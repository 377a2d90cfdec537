"""Detection of pauses of this process, and of requests received meanwhile.

When a suspended process resumes, its socket buffers may contain requests of
unknown age. They are assumed to have arrived at the start of the pause.
"""

from pomelostair import clock as clock_module

TICK_INTERVAL_S = 0.1
MIN_PAUSE_S = 0.5
# Time after a pause in which requests may still come from the socket buffers.
BACKLOG_S = 0.3


class PauseDetector:
    """Detects that the process was not scheduled for a while.

    Args:
        clock: Clock; it must advance during a pause.
    """

    def __init__(self, clock: clock_module.Clock):
        self._clock = clock
        self._last_tick_s = clock.now()
        self._pause_start_s = self._last_tick_s
        self._pause_end_s = self._last_tick_s - BACKLOG_S

    def tick(self) -> None:
        """Records activity; must be called every `TICK_INTERVAL_S`."""
        now = self._clock.now()
        if now - self._last_tick_s > MIN_PAUSE_S:
            self._pause_start_s = self._last_tick_s
            self._pause_end_s = now
        self._last_tick_s = now

    def earliest_arrival_s(self) -> float:
        """Returns when a request that is read now may have arrived earliest.

        The time is in monotonic seconds.
        """
        self.tick()
        if self._last_tick_s - self._pause_end_s < BACKLOG_S:
            return self._pause_start_s
        return self._last_tick_s
