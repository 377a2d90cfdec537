"""Decides when an agent reports a worker to the leader."""

import math

import attrs

from pomelostair import pipelinemessages as messages
from pomelostair import ports

# Interval until the leader asks for another one.
DEFAULT_INTERVAL_S = 0.3
# Ends that the leader does not acknowledge are reported again after this time.
REPEAT_ENDS_AFTER_S = 0.4
# A report is sent this much early rather than one `hold` call late.
TOLERANCE_S = 0.05


@attrs.define
class ReportSchedule:
    """Reporting schedule of one worker.

    Ends and results that free or requeue a task are reported at once, all else
    at intervals.

    Attributes:
        interval_s: Interval that the leader asked for.
    """

    interval_s: float = DEFAULT_INTERVAL_S
    _reported_s: float = -math.inf
    _last_end: int = 0
    _last_result: int = 0

    def is_due(
        self,
        listing: ports.HoldAnswer,
        results: tuple[messages.OrderResult, ...],
        acknowledged: int,
        now: float,
    ) -> bool:
        """Returns whether a listing must be reported now.

        Args:
            listing: Latest answer of the worker to a `hold` call.
            results: Results of orders that the leader has not confirmed.
            acknowledged: Number of the last end that the leader acknowledged.
            now: Monotonic seconds.
        """
        elapsed_s = now - self._reported_s
        if elapsed_s + TOLERANCE_S >= self.interval_s:
            return True
        last_end = _last_end(listing)
        if last_end > self._last_end:
            return True
        if last_end > acknowledged and elapsed_s >= REPEAT_ENDS_AFTER_S:
            return True
        return any(
            result.sequence > self._last_result
            and result.outcome != messages.DONE
            for result in results
        )

    def record(
        self,
        listing: ports.HoldAnswer,
        results: tuple[messages.OrderResult, ...],
        now: float,
    ) -> None:
        """Records that a listing was reported; see `is_due`."""
        self._reported_s = now
        self._last_end = _last_end(listing)
        self._last_result = max(
            (result.sequence for result in results), default=self._last_result
        )

    def restart(self) -> None:
        """Makes the next listing due: another leader knows nothing yet."""
        self._reported_s = -math.inf


def _last_end(listing: ports.HoldAnswer) -> int:
    return max((row[0] for row in listing.ended), default=0)
