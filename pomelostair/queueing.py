"""Queue of requests that wait for a slot, with weighted fair shares.

Urgency classes share the slot time by weight, and so do the teams within a
class; among equals the more urgent class goes first, and within a team the
earlier deadline. A class or team below its share is served next, whatever the
others have queued.
"""

import heapq

import attrs

from pomelostair import declaration

DEFAULT_TEAM = "default"
MIN_WEIGHT = 1e-3


@attrs.frozen(order=False, eq=False)
class Waiting:
    """A request that waits.

    Attributes:
        urgency: Urgency class, 0 for the most urgent.
        team: Team whose share it uses.
        deadline: Monotonic seconds at which its answer is worthless.
        size: Bytes that it keeps in memory.
        item: What the owner of the queue needs to run it.
    """

    urgency: int
    team: str
    deadline: float
    size: int = 0
    item: object = None


@attrs.frozen
class Shares:
    """Weights of classes and teams.

    Attributes:
        classes: Weights of the urgency classes, most urgent first.
        teams: Weights by team; others count for the default team.
    """

    classes: tuple[float, ...]
    teams: dict[str, float]

    @classmethod
    def of(cls, declarations: declaration.Declarations) -> "Shares":
        """Returns the shares that the declarations state."""
        teams = {team.name: team.weight for team in declarations.teams}
        teams.setdefault(DEFAULT_TEAM, 1.0)
        return cls(declarations.limits.class_weights, teams)

    def of_class(self, urgency: int) -> float:
        """Returns the weight of a class."""
        if urgency >= len(self.classes):
            return MIN_WEIGHT
        return max(MIN_WEIGHT, self.classes[urgency])

    def of_team(self, team: str) -> float:
        """Returns the weight of a team."""
        return max(MIN_WEIGHT, self.teams.get(team, 1.0))

    def team(self, name: str) -> str:
        """Returns the declared team that a caller's team counts for."""
        return name if name in self.teams else DEFAULT_TEAM


@attrs.define
class _Flow:
    """What one team waits for within one class."""

    virtual: float = 0.0
    heap: list = attrs.field(factory=list)


@attrs.define
class _Class:
    """The flows of one urgency class."""

    virtual: float = 0.0
    served: float = 0.0
    length: int = 0
    flows: dict[str, _Flow] = attrs.field(factory=dict)

    def busy(self) -> dict[str, _Flow]:
        """Returns the flows with waiting requests."""
        return {name: flow for name, flow in self.flows.items() if flow.heap}


class FairQueue:
    """Waiting requests in the order of service."""

    def __init__(self):
        self._classes: dict[int, _Class] = {}
        self._served = 0.0
        self._sequence = 0
        self._length = 0
        self._bytes = 0

    def __len__(self) -> int:
        return self._length

    @property
    def bytes(self) -> int:
        """Bytes that the waiting requests keep in memory."""
        return self._bytes

    def length_of(self, urgency: int) -> int:
        """Returns the number of waiting requests of a class."""
        found = self._classes.get(urgency)
        return 0 if found is None else found.length

    def push(self, waiting: Waiting) -> None:
        """Adds a request; an idle class or team gets no credit for it."""
        class_ = self._classes.setdefault(waiting.urgency, _Class())
        if not class_.length:
            class_.virtual = max(class_.virtual, self._served)
        flow = class_.flows.setdefault(waiting.team, _Flow())
        if not flow.heap:
            flow.virtual = max(flow.virtual, class_.served)
        self._sequence += 1
        heapq.heappush(flow.heap, (waiting.deadline, self._sequence, waiting))
        class_.length += 1
        self._length += 1
        self._bytes += waiting.size

    def pop(self, shares: Shares, cost: float) -> Waiting | None:
        """Removes the request to serve next.

        Args:
            shares: Weights in force.
            cost: Expected slot time in seconds that it is charged.
        """
        if not self._length:
            return None
        class_ = self._next_class()
        name, flow = min(
            class_.busy().items(), key=lambda pair: (pair[1].virtual, pair[0])
        )
        _, _, waiting = heapq.heappop(flow.heap)
        self._served = max(self._served, class_.virtual)
        class_.served = max(class_.served, flow.virtual)
        self._forget(class_, waiting)
        self.charge(waiting.urgency, name, shares, cost)
        return waiting

    def charge(
        self, urgency: int, team: str, shares: Shares, cost: float
    ) -> None:
        """Charges slot time to a class and team; negative gives it back."""
        class_ = self._classes[urgency]
        class_.virtual += cost / shares.of_class(urgency)
        class_.flows[team].virtual += cost / shares.of_team(team)

    def shed(self, shares: Shares) -> Waiting | None:
        """Removes the request that yields first when the queue is too long.

        It comes from the class, then the team, that waits for most in
        proportion to its weight, and has the latest deadline there.
        """
        if not self._length:
            return None
        class_ = self._classes[self.longest(shares)]
        _, flow = max(
            class_.busy().items(),
            key=lambda p: (len(p[1].heap) / shares.of_team(p[0]), p[0]),
        )
        last = max(flow.heap)
        flow.heap.remove(last)
        heapq.heapify(flow.heap)
        self._forget(class_, last[2])
        return last[2]

    def longest(self, shares: Shares) -> int:
        """Returns the class that waits for most in proportion to its weight.

        The queue must not be empty.
        """
        return max(
            (u for u, c in self._classes.items() if c.length),
            key=lambda u: (self._classes[u].length / shares.of_class(u), u),
        )

    def expire(self, horizon: float) -> list[Waiting]:
        """Removes the requests whose deadline lies before `horizon`."""
        expired = []
        for class_ in self._classes.values():
            for flow in class_.flows.values():
                while flow.heap and flow.heap[0][0] < horizon:
                    waiting = heapq.heappop(flow.heap)[2]
                    self._forget(class_, waiting)
                    expired.append(waiting)
        return expired

    def turns_before(self, waiting: Waiting, shares: Shares) -> float:
        """Returns how many requests are served before a new one, expected.

        While a class waits it gets its weight's share of all turns, and so
        does a team within its class.
        """
        class_ = self._classes.get(waiting.urgency)
        if class_ is None or not class_.length:
            return 0.0
        flow = class_.flows.get(waiting.team)
        if flow is None:
            return 0.0
        ahead = sum(entry[0] <= waiting.deadline for entry in flow.heap)
        teams = class_.busy() | {waiting.team: flow}
        return ahead * (
            self._inverse_share(waiting.urgency, shares)
            * sum(shares.of_team(name) for name in teams)
            / shares.of_team(waiting.team)
        )

    def turns(self, urgency: int, shares: Shares) -> float:
        """Returns how many requests are served before a class's queue is."""
        return self.length_of(urgency) * self._inverse_share(urgency, shares)

    def _inverse_share(self, urgency: int, shares: Shares) -> float:
        weights = sum(
            shares.of_class(u) for u, c in self._classes.items() if c.length
        )
        return max(1.0, weights / shares.of_class(urgency))

    def _next_class(self) -> _Class:
        urgency = min(
            (u for u, c in self._classes.items() if c.length),
            key=lambda u: (self._classes[u].virtual, u),
        )
        return self._classes[urgency]

    def _forget(self, class_: _Class, waiting: Waiting) -> None:
        class_.length -= 1
        self._length -= 1
        self._bytes -= waiting.size
