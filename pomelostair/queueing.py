"""Weighted fair queue of requests that wait for a slot.

Slot time is shared by weight between the urgency classes, and within a class
between the teams. Ties go to the more urgent class. Within a team the request
with the earliest deadline goes first. The class or team furthest below its
share is served next, regardless of how much the others have queued.
"""

import heapq

import attrs

from pomelostair import declaration

DEFAULT_TEAM = "default"
MIN_WEIGHT = 1e-3


@attrs.frozen(order=False, eq=False)
class QueuedRequest:
    """A request that waits for a slot.

    Attributes:
        urgency: Urgency class, 0 for the most urgent.
        team: Team that the slot time is charged to.
        deadline: Deadline of the response in monotonic seconds.
        size_bytes: Memory that it uses.
        context: Data with which the owner of the queue runs it.
    """

    urgency: int
    team: str
    deadline: float
    size_bytes: int = 0
    context: object = None


@attrs.frozen
class Shares:
    """Weights of classes and teams.

    Attributes:
        class_weights: Weights of the urgency classes, most urgent first.
        team_weights: Weights of the declared teams, by name.
    """

    class_weights: tuple[float, ...]
    team_weights: dict[str, float]

    @classmethod
    def from_declarations(
        cls, declarations: declaration.Declarations
    ) -> "Shares":
        """Returns the weights stated in the declarations."""
        teams = {team.name: team.weight for team in declarations.teams}
        teams.setdefault(DEFAULT_TEAM, 1.0)
        return cls(declarations.limits.class_weights, teams)

    def class_weight(self, urgency: int) -> float:
        """Returns the weight of a class."""
        if urgency >= len(self.class_weights):
            return MIN_WEIGHT
        return max(MIN_WEIGHT, self.class_weights[urgency])

    def team_weight(self, team: str) -> float:
        """Returns the weight of a team."""
        return max(MIN_WEIGHT, self.team_weights.get(team, 1.0))

    def effective_team(self, name: str) -> str:
        """Returns the team to charge; undeclared teams share the default."""
        return name if name in self.team_weights else DEFAULT_TEAM


@attrs.define
class _TeamQueue:
    """Waiting requests of one team within one urgency class.

    Attributes:
        virtual_time: Slot time charged to the team, divided by its weight.
        heap: Entries (deadline, sequence number, request).
    """

    virtual_time: float = 0.0
    heap: list = attrs.field(factory=list)


@attrs.define
class _ClassQueue:
    """Waiting requests of one urgency class, by team.

    Attributes:
        virtual_time: Slot time charged to the class, divided by its weight.
        served_virtual_time: Highest virtual time at which a team was served.
        length: Number of waiting requests.
        team_queues: Queues of the teams, by name.
    """

    virtual_time: float = 0.0
    served_virtual_time: float = 0.0
    length: int = 0
    team_queues: dict[str, _TeamQueue] = attrs.field(factory=dict)

    def backlogged(self) -> dict[str, _TeamQueue]:
        """Returns the queues of the teams that have waiting requests."""
        return {
            name: queue
            for name, queue in self.team_queues.items()
            if queue.heap
        }


class FairQueue:
    """Weighted fair queue over urgency classes and teams."""

    def __init__(self):
        self._classes: dict[int, _ClassQueue] = {}
        self._served_virtual_time = 0.0
        self._last_sequence = 0
        self._length = 0
        self._bytes = 0

    def __len__(self) -> int:
        return self._length

    @property
    def bytes(self) -> int:
        """Memory that the waiting requests use, in bytes."""
        return self._bytes

    def class_length(self, urgency: int) -> int:
        """Returns the number of waiting requests of a class."""
        class_queue = self._classes.get(urgency)
        return 0 if class_queue is None else class_queue.length

    def push(self, request: QueuedRequest) -> None:
        """Adds a request.

        A class or team that was idle starts at the virtual time served last,
        so that it gets no credit for the time in which it was idle.
        """
        class_queue = self._classes.setdefault(request.urgency, _ClassQueue())
        if not class_queue.length:
            class_queue.virtual_time = max(
                class_queue.virtual_time, self._served_virtual_time
            )
        team_queue = class_queue.team_queues.setdefault(
            request.team, _TeamQueue()
        )
        if not team_queue.heap:
            team_queue.virtual_time = max(
                team_queue.virtual_time, class_queue.served_virtual_time
            )
        self._last_sequence += 1
        heapq.heappush(
            team_queue.heap, (request.deadline, self._last_sequence, request)
        )
        class_queue.length += 1
        self._length += 1
        self._bytes += request.size_bytes

    def pop(self, shares: Shares, cost_s: float) -> QueuedRequest | None:
        """Removes and returns the request to serve next, if any.

        Args:
            shares: Weights in force.
            cost_s: Expected slot time, charged to its class and team.
        """
        if not self._length:
            return None
        class_queue = self._next_class()
        team, team_queue = min(
            class_queue.backlogged().items(),
            key=lambda pair: (pair[1].virtual_time, pair[0]),
        )
        _, _, request = heapq.heappop(team_queue.heap)
        self._served_virtual_time = max(
            self._served_virtual_time, class_queue.virtual_time
        )
        class_queue.served_virtual_time = max(
            class_queue.served_virtual_time, team_queue.virtual_time
        )
        self._count_removal(class_queue, request)
        self.charge(request.urgency, team, shares, cost_s)
        return request

    def charge(
        self, urgency: int, team: str, shares: Shares, cost_s: float
    ) -> None:
        """Charges slot time to a class and team; a negative cost refunds it."""
        class_queue = self._classes[urgency]
        class_queue.virtual_time += cost_s / shares.class_weight(urgency)
        class_queue.team_queues[team].virtual_time += (
            cost_s / shares.team_weight(team)
        )

    def shed(self, shares: Shares) -> QueuedRequest | None:
        """Removes and returns the request to refuse when the queue is full.

        It is the one with the latest deadline of the class, and within it the
        team, with the most waiting requests in proportion to its weight.
        """
        if not self._length:
            return None
        class_queue = self._classes[self.most_overloaded_class(shares)]
        _, team_queue = max(
            class_queue.backlogged().items(),
            key=lambda p: (len(p[1].heap) / shares.team_weight(p[0]), p[0]),
        )
        last_entry = max(team_queue.heap)
        team_queue.heap.remove(last_entry)
        heapq.heapify(team_queue.heap)
        self._count_removal(class_queue, last_entry[2])
        return last_entry[2]

    def most_overloaded_class(self, shares: Shares) -> int:
        """Returns the class with the most waiting requests per weight.

        The queue must not be empty.
        """
        return max(
            (u for u, c in self._classes.items() if c.length),
            key=lambda u: (self._classes[u].length / shares.class_weight(u), u),
        )

    def expire(self, horizon: float) -> list[QueuedRequest]:
        """Removes and returns the requests with a deadline before `horizon`."""
        expired = []
        for class_queue in self._classes.values():
            for team_queue in class_queue.team_queues.values():
                while team_queue.heap and team_queue.heap[0][0] < horizon:
                    request = heapq.heappop(team_queue.heap)[2]
                    self._count_removal(class_queue, request)
                    expired.append(request)
        return expired

    def expected_turns_before(
        self, request: QueuedRequest, shares: Shares
    ) -> float:
        """Returns how many requests are expected to be served before this one.

        A class with waiting requests gets a share of all turns that is
        proportional to its weight, and so does a team within its class.
        """
        class_queue = self._classes.get(request.urgency)
        if class_queue is None or not class_queue.length:
            return 0.0
        team_queue = class_queue.team_queues.get(request.team)
        if team_queue is None:
            return 0.0
        requests_ahead = sum(
            entry[0] <= request.deadline for entry in team_queue.heap
        )
        backlogged = class_queue.backlogged() | {request.team: team_queue}
        return requests_ahead * (
            self._inverse_share(request.urgency, shares)
            * sum(shares.team_weight(name) for name in backlogged)
            / shares.team_weight(request.team)
        )

    def expected_turns(self, urgency: int, shares: Shares) -> float:
        """Returns the expected number of turns until a class's queue is empty.

        This counts the requests of all classes that are served meanwhile.
        """
        return self.class_length(urgency) * self._inverse_share(urgency, shares)

    def _inverse_share(self, urgency: int, shares: Shares) -> float:
        total_weight = sum(
            shares.class_weight(u) for u, c in self._classes.items() if c.length
        )
        return max(1.0, total_weight / shares.class_weight(urgency))

    def _next_class(self) -> _ClassQueue:
        urgency = min(
            (u for u, c in self._classes.items() if c.length),
            key=lambda u: (self._classes[u].virtual_time, u),
        )
        return self._classes[urgency]

    def _count_removal(
        self, class_queue: _ClassQueue, request: QueuedRequest
    ) -> None:
        class_queue.length -= 1
        self._length -= 1
        self._bytes -= request.size_bytes
