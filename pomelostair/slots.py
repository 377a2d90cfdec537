"""Ledger of a minion's slots, kept by its agent."""

import attrs


@attrs.define
class SlotLedger:
    """Counts the occupied slots of a minion.

    A slot is doubtful if a request may still run in it although no answer can
    arrive any more: the connection was cut, or a previous incarnation of the
    agent sent the request. It counts as occupied until the minion reports that
    fewer requests run, or the longest run time of a request has passed.

    Attributes:
        slots: Number of slots of the minion.
        running: Number of requests whose answer is awaited.
        doubtful: Monotonic seconds at which each doubtful slot becomes free.
    """

    slots: int
    running: int = 0
    doubtful: list[float] = attrs.field(factory=list)

    def occupied(self, now_s: float) -> int:
        """Returns the number of slots in which a request runs or may run."""
        if self.doubtful:
            self.doubtful = [end for end in self.doubtful if end > now_s]
        return self.running + len(self.doubtful)

    def free(self, now_s: float) -> int:
        """Returns the number of slots that are certainly free."""
        return max(0, self.slots - self.occupied(now_s))

    def acquire(self) -> None:
        """Occupies a slot for a request that is about to be sent."""
        self.running += 1

    def release(self) -> None:
        """Frees the slot of a request that certainly no longer runs."""
        self.running -= 1

    def mark_doubtful(self, until_s: float) -> None:
        """Makes the slot of a running request doubtful until the given time."""
        self.running -= 1
        self.doubtful.append(until_s)

    def mark_all_doubtful(self, until_s: float) -> None:
        """Makes all slots doubtful, as after a restart of the agent."""
        self.doubtful = [until_s] * self.slots

    def limit_doubtful(self, reported: int) -> None:
        """Limits the doubtful slots to the requests that the minion reports.

        The reported number includes the requests of this agent, hence is only
        an upper bound of the number of doubtful slots.

        Args:
            reported: Number of requests that run in the minion.
        """
        self.doubtful = sorted(self.doubtful)[::-1][:reported]
