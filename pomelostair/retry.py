"""Which results may be tried again, and how often."""

from pomelostair import messages
from pomelostair import outcome

BURST = 10.0

_ELSEWHERE = frozenset(
    {
        outcome.Kind.NOT_SENT,
        outcome.Kind.DRAINING,
        outcome.Kind.QUEUE_FULL,
        outcome.Kind.TOO_LATE,
    }
)


def allowed(result: messages.Served | outcome.Refused) -> bool:
    """Returns whether another minion may get the request.

    Only a request that certainly did not run is ever sent again.
    """
    match result:
        case outcome.Refused(kind=kind, ran=outcome.Ran.NO):
            return kind in _ELSEWHERE
        case _:
            return False


class Budget:
    """Keeps retries to a share of the requests, so that they add no flood.

    A minion that leaves refuses each request once, so that these retries are
    bounded already and need no budget.
    """

    def __init__(self):
        self._tokens = BURST

    def deposit(self, share: float) -> None:
        """Counts one request.

        Args:
            share: Retries allowed for each request.
        """
        self._tokens = min(BURST, self._tokens + share)

    def withdraw(self, refused: outcome.Refused) -> bool:
        """Returns whether a retry is within the budget, and takes it."""
        if refused.kind is outcome.Kind.DRAINING:
            return True
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
