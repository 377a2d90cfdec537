"""Moving estimate of the time for which requests occupy a slot."""

import attrs

# Weights of a new observation in the moving averages.
MEAN_SMOOTHING = 0.1
DEVIATION_SMOOTHING = 0.1
# Mean deviations by which the safe time exceeds the mean.
SAFE_DEVIATIONS = 2.0


@attrs.define
class ServiceTime:
    """Moving averages of service times and of their deviation.

    Attributes:
        mean_s: Moving average of the service times, 0 before the first one.
        deviation_s: Moving average of their absolute deviation from the mean.
    """

    mean_s: float = 0.0
    deviation_s: float = 0.0

    @property
    def safe_s(self) -> float:
        """Time within which most requests are served."""
        return self.mean_s + SAFE_DEVIATIONS * self.deviation_s

    def observe(self, duration_s: float) -> None:
        """Updates the averages with the service time of one request."""
        if not self.mean_s:
            self.mean_s = duration_s
            return
        error_s = duration_s - self.mean_s
        self.mean_s += MEAN_SMOOTHING * error_s
        self.deviation_s += DEVIATION_SMOOTHING * (
            abs(error_s) - self.deviation_s
        )
