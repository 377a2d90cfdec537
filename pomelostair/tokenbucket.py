"""Token bucket that limits the rate of an operation."""


class TokenBucket:
    """Allows a burst of operations, and then a steady rate of them.

    Args:
        burst: Most operations at once.
    """

    def __init__(self, burst: float):
        self._burst = burst
        self._tokens = burst
        self._refilled_s = 0.0

    def withdraw(self, rate_per_s: float, now: float) -> bool:
        """Withdraws one operation; returns whether it is allowed.

        Args:
            rate_per_s: Operations allowed per second since the last call.
            now: Monotonic seconds.
        """
        refill = rate_per_s * (now - self._refilled_s)
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_s = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
