"""Which incarnations of workers may be granted leases, and when theirs lapse.

The leader stores, with each renewal of its own lease, when the leases of silent
workers lapse. The next leader then waits for such a worker no longer than that,
however many leaders are lost meanwhile. A listed worker gets no grant before a
renewal without it is stored.

No lease outlasts a time that the last stored renewal names. So a new leader
counts the leases of lost workers from that renewal, not from its own start: the
workers' leases and the leader's lapse beside each other. Of a worker that is
lost shortly before its leader, and so not listed as silent, the next one knows
only that time.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from pomelostair import fleet

# Most listed workers; the lease row is written several times a second. The next
# leader waits for the others as long as a lease granted last may last.
MAX_LISTED = 100
CLOCK_DRIFT = 0.02  # The platform bounds the drift of its clocks by 2 %.
LAPSE_MARGIN_S = 0.25  # Delay between reading a clock and using the value.


def longest_lease_s(grant_ms: int) -> float:
    """Returns the longest time that a lease granted now can last.

    Args:
        grant_ms: How far after a reading of the worker's clock it ends.
    """
    return grant_ms / 1000 * (1 + CLOCK_DRIFT) + LAPSE_MARGIN_S


class Grants:
    """Grants of leases during one term of a leader.

    Args:
        max_lease_s: Longest time that a lease granted now can last.
    """

    def __init__(self, max_lease_s: float):
        self._max_lease_s = max_lease_s
        self._leases_end_s = 0.0
        self._listed_lapse_s: dict[fleet.WorkerKey, float] = {}
        self._other_lapse_s = 0.0
        # Workers that the stored lease row lists, and that the one lists which
        # is being stored.
        self._stored: frozenset[fleet.WorkerKey] = frozenset()
        self._pending: frozenset[fleet.WorkerKey] = frozenset()
        # Whether a row of this term that admits of grants is stored.
        self._announced = False

    def begin(
        self,
        listed: Mapping[fleet.WorkerKey, float],
        other_lapse_s: float,
    ) -> None:
        """Begins the term.

        Args:
            listed: Monotonic time at which the leases of each worker lapse that
                the lease row lists.
            other_lapse_s: The same for all other workers.
        """
        self._listed_lapse_s = {
            key: min(lapse_s, other_lapse_s) for key, lapse_s in listed.items()
        }
        self._other_lapse_s = other_lapse_s
        self._stored = frozenset(listed)

    def earlier_lapse_s(self, key: fleet.WorkerKey | None = None) -> float:
        """Returns when all leases that earlier leaders granted have lapsed.

        Args:
            key: Worker id and incarnation, None for unknown ones.
        """
        if key is None:
            return self._other_lapse_s
        return self._listed_lapse_s.get(key, self._other_lapse_s)

    def lapse_s(
        self, key: fleet.WorkerKey | None, worker: fleet.Worker | None
    ) -> float:
        """Returns when all leases of a worker have lapsed.

        Args:
            key: Worker id and incarnation, None for unknown ones.
            worker: The worker, None if it has not reported in this term.
        """
        if worker is not None and worker.granted:
            return worker.lease_granted_s + self._max_lease_s
        return self.earlier_lapse_s(key)

    def may_grant(self, key: fleet.WorkerKey) -> bool:
        """Returns whether a worker may be granted a lease now."""
        return (
            self._announced
            and key not in self._stored
            and key not in self._pending
        )

    def grant_ms(self, now: float) -> int:
        """Returns how far ahead a lease granted now may end, 0 if it may not.

        Args:
            now: Monotonic seconds.

        Returns:
            Milliseconds of the worker's clock after the latest reading of it.
        """
        lease_s = min(self._max_lease_s, self._leases_end_s - now)
        return max(
            0, int((lease_s - LAPSE_MARGIN_S) / (1 + CLOCK_DRIFT) * 1000)
        )

    def next_silent(
        self,
        workers: Mapping[fleet.WorkerKey, fleet.Worker],
        unreported: Iterable[fleet.WorkerKey],
        now: float,
    ) -> dict[fleet.WorkerKey, float]:
        """Returns the silent workers with the times at which leases lapse.

        They get no grants until the outcome of storing them is known, and as
        long as they are stored.

        Args:
            workers: Workers that have reported in this term, by key.
            unreported: Incarnations that may run earlier work. Those with
                neither a list nor a grant in this term count as silent.
            now: Monotonic seconds.
        """
        listed = {
            key: self.lapse_s(key, worker)
            for key, worker in workers.items()
            if worker.is_silent(now)
        }
        for key in unreported:
            worker = workers.get(key)
            if worker is None or not (worker.granted or worker.last_listed_s):
                listed[key] = self.earlier_lapse_s(key)
        listed = dict(list(listed.items())[:MAX_LISTED])
        self._pending = frozenset(listed)
        return listed

    def confirm(self, leases_end_s: float) -> None:
        """Records that the workers listed last are stored.

        Args:
            leases_end_s: Monotonic time at which, by the stored renewal, every
                lease granted by now has lapsed.
        """
        self._announced = True
        self._leases_end_s = leases_end_s
        self._stored = self._pending
        self._pending = frozenset()

    def cancel(self) -> None:
        """Records that the workers listed last are certainly not stored."""
        self._pending = frozenset()
