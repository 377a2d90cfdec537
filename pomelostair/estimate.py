"""Running estimate of how long requests hold a slot."""

import attrs

MEAN_GAIN = 0.1
DEVIATION_GAIN = 0.1
DEVIATIONS = 2.0


@attrs.define
class ServiceTime:
    """Mean and mean deviation of service times, both smoothed.

    Attributes:
        mean_s: Smoothed mean in seconds, 0 before the first one.
        deviation_s: Smoothed mean distance from it in seconds.
    """

    mean_s: float = 0.0
    deviation_s: float = 0.0

    @property
    def safe_s(self) -> float:
        """A time within which most requests are served, in seconds."""
        return self.mean_s + DEVIATIONS * self.deviation_s

    def observe(self, took_s: float) -> None:
        """Takes over the service time of one request."""
        if not self.mean_s:
            self.mean_s = took_s
            return
        distance_s = took_s - self.mean_s
        self.mean_s += MEAN_GAIN * distance_s
        self.deviation_s += DEVIATION_GAIN * (
            abs(distance_s) - self.deviation_s
        )
