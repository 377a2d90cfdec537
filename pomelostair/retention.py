"""How long ended jobs are kept.

A job that ended stays readable, and its id taken, for the retention; then it
is forgotten, so that the state stays bounded.
"""

from collections.abc import Iterable
from collections.abc import Reversible

RETENTION_S = 900.0
MAX_EXPIRIES_PER_EVENT = 500


class Retention:
    """Ages of the ended jobs, as seen by one term of a leader."""

    def __init__(self):
        self._since: dict[str, float] = {}

    def note(self, ended: Reversible[str], now: float) -> None:
        """Notes jobs that ended since the last call.

        Args:
            ended: Ids of all ended jobs, oldest end first.
            now: Monotonic seconds.
        """
        fresh = []
        for job_id in reversed(ended):
            if job_id in self._since:
                break
            fresh.append(job_id)
        for job_id in reversed(fresh):
            self._since[job_id] = now

    def due(self, now: float) -> tuple[str, ...]:
        """Returns jobs to forget, the oldest first and not too many."""
        found = []
        for job_id, since in self._since.items():
            if now - since < RETENTION_S:
                break
            found.append(job_id)
            if len(found) == MAX_EXPIRIES_PER_EVENT:
                break
        return tuple(found)

    def forget(self, job_ids: Iterable[str]) -> None:
        """Drops the ages of forgotten jobs."""
        for job_id in job_ids:
            self._since.pop(job_id, None)
