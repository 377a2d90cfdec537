"""Account of a minion's slots, kept by the agent beside it."""

import attrs


@attrs.define
class SlotLedger:
    """Which slots of a minion are taken.

    A slot is doubtful when a request may still run in it although no answer
    can come any more: the connection was cut, or a previous incarnation of
    the agent sent it. It counts as taken until the minion proves otherwise or
    the longest run time of a request has passed.

    Attributes:
        slots: Slots of the minion.
        running: Requests whose answer is awaited.
        doubtful: Monotonic seconds at which each doubtful slot is free.
    """

    slots: int
    running: int = 0
    doubtful: list[float] = attrs.field(factory=list)

    def occupied(self, now_s: float) -> int:
        """Returns the slots in which a request runs or may run at `now`."""
        if self.doubtful:
            self.doubtful = [end for end in self.doubtful if end > now_s]
        return self.running + len(self.doubtful)

    def free(self, now_s: float) -> int:
        """Returns the slots that certainly are free at `now`."""
        return max(0, self.slots - self.occupied(now_s))

    def acquire(self) -> None:
        """Counts a request that is about to be sent."""
        self.running += 1

    def release(self) -> None:
        """Counts a request that certainly does not run any more."""
        self.running -= 1

    def mark_doubtful(self, until_s: float) -> None:
        """Turns a running request into a doubtful slot."""
        self.running -= 1
        self.doubtful.append(until_s)

    def mark_all_doubtful(self, until_s: float) -> None:
        """Makes all slots doubtful, as after a restart of the agent."""
        self.doubtful = [until_s] * self.slots

    def limit_doubtful(self, reported: int) -> None:
        """Takes over the minion's own number of running requests.

        It includes the requests of this agent, hence only bounds the number
        of doubtful slots from above.
        """
        self.doubtful = sorted(self.doubtful)[::-1][:reported]
