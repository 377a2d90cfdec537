"""Rules for retries at another minion, and their budget."""

from pomelostair import messages
from pomelostair import outcome

BURST_RETRIES = 10.0

_RETRYABLE_KINDS = frozenset(
    {
        outcome.Kind.NOT_SENT,
        outcome.Kind.DRAINING,
        outcome.Kind.QUEUE_FULL,
        outcome.Kind.TOO_LATE,
    }
)


def is_retryable(result: messages.Served | outcome.Refused) -> bool:
    """Returns whether the request may be sent to another minion.

    Only a request that certainly did not run is sent again.
    """
    match result:
        case outcome.Refused(kind=kind, ran=outcome.Ran.NO):
            return kind in _RETRYABLE_KINDS
        case _:
            return False


class RetryBudget:
    """Token bucket that limits retries to a share of the requests.

    This prevents retries from amplifying an overload. Refusals of a draining
    minion need no budget: it refuses each request once, so that their retries
    are bounded already.
    """

    def __init__(self):
        self._tokens = BURST_RETRIES

    def deposit(self, retry_share: float) -> None:
        """Counts one request.

        Args:
            retry_share: Retries allowed per request.
        """
        self._tokens = min(BURST_RETRIES, self._tokens + retry_share)

    def withdraw(self, refusal: outcome.Refused) -> bool:
        """Withdraws one retry; returns whether the budget allows it."""
        if refusal.kind is outcome.Kind.DRAINING:
            return True
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
