"""Retention of ended jobs.

An ended job stays readable, and its id reserved, for `RETENTION_S`; then it
expires, so that the state of the cell stays bounded.
"""

from collections.abc import Iterable
from collections.abc import Reversible

RETENTION_S = 900.0
MAX_EXPIRIES_PER_EVENT = 500


class Retention:
    """Tracks since when jobs have ended, within one term of a leader."""

    def __init__(self):
        self._ended_at_s: dict[str, float] = {}

    def record_ended(self, ended: Reversible[str], now: float) -> None:
        """Records jobs that ended since the last call.

        Args:
            ended: Ids of all ended jobs, oldest end first.
            now: Monotonic seconds.
        """
        newly_ended = []
        for job_id in reversed(ended):
            if job_id in self._ended_at_s:
                break
            newly_ended.append(job_id)
        for job_id in reversed(newly_ended):
            self._ended_at_s[job_id] = now

    def expired(self, now: float) -> tuple[str, ...]:
        """Returns ids of jobs past the retention, the oldest end first.

        At most `MAX_EXPIRIES_PER_EVENT` are returned per call.
        """
        job_ids = []
        for job_id, ended_at_s in self._ended_at_s.items():
            if now - ended_at_s < RETENTION_S:
                break
            job_ids.append(job_id)
            if len(job_ids) == MAX_EXPIRIES_PER_EVENT:
                break
        return tuple(job_ids)

    def discard(self, job_ids: Iterable[str]) -> None:
        """Drops the records of expired jobs."""
        for job_id in job_ids:
            self._ended_at_s.pop(job_id, None)
