import collections

from hypothesis import given
from hypothesis import strategies as st

from pomelostair import declaration
from pomelostair import queueing

SHARES = queueing.Shares((8.0, 4.0, 2.0, 1.0), {"a": 3.0, "b": 1.0})
REQUESTS = st.builds(
    queueing.QueuedRequest,
    urgency=st.integers(0, 3),
    team=st.sampled_from(["a", "b"]),
    deadline=st.integers(0, 20).map(float),
    size_bytes=st.integers(0, 5),
)
OPERATIONS = st.lists(
    st.one_of(REQUESTS, st.sampled_from(["pop", "shed", "expire"])), max_size=80
)


class ReferenceQueue:
    """Reference model of the fair queue: an unordered list."""

    def __init__(self):
        self.requests = []
        self.class_virtual_time = collections.defaultdict(float)
        self.team_virtual_time = collections.defaultdict(float)
        self.class_served = 0.0
        self.team_served = collections.defaultdict(float)

    def push(self, request):
        u, t = request.urgency, request.team
        if not any(w.urgency == u for w in self.requests):
            self.class_virtual_time[u] = max(
                self.class_virtual_time[u], self.class_served
            )
        if not any((w.urgency, w.team) == (u, t) for w in self.requests):
            self.team_virtual_time[u, t] = max(
                self.team_virtual_time[u, t], self.team_served[u]
            )
        self.requests.append(request)

    def pop(self, cost):
        if not self.requests:
            return None
        chosen = min(
            self.requests,
            key=lambda w: (
                (self.class_virtual_time[w.urgency], w.urgency),
                (self.team_virtual_time[w.urgency, w.team], w.team),
                w.deadline,
            ),
        )
        self.requests.remove(chosen)
        u, t = chosen.urgency, chosen.team
        self.class_served = max(self.class_served, self.class_virtual_time[u])
        self.team_served[u] = max(
            self.team_served[u], self.team_virtual_time[u, t]
        )
        self.class_virtual_time[u] += cost / SHARES.class_weight(u)
        self.team_virtual_time[u, t] += cost / SHARES.team_weight(t)
        return chosen

    def shed(self):
        if not self.requests:
            return None
        classes = collections.Counter(w.urgency for w in self.requests)
        teams = collections.Counter((w.urgency, w.team) for w in self.requests)
        # The list is in order of arrival; of equals the latest is shed.
        chosen = max(
            enumerate(self.requests),
            key=lambda pair: (
                classes[pair[1].urgency] / SHARES.class_weight(pair[1].urgency),
                pair[1].urgency,
                teams[pair[1].urgency, pair[1].team]
                / SHARES.team_weight(pair[1].team),
                pair[1].team,
                pair[1].deadline,
                pair[0],
            ),
        )[1]
        self.requests.remove(chosen)
        return chosen

    def expire(self, horizon):
        expired = [w for w in self.requests if w.deadline < horizon]
        self.requests = [w for w in self.requests if w.deadline >= horizon]
        return expired


def push_many(queue, urgency, team, number, deadline=1.0):
    for _ in range(number):
        queue.push(queueing.QueuedRequest(urgency, team, deadline))


class TestFairQueue:
    @given(OPERATIONS)
    def test_matches_the_reference_queue(self, operations):
        queue, reference = queueing.FairQueue(), ReferenceQueue()
        for operation in operations:
            match operation:
                case "pop":
                    assert queue.pop(SHARES, 1.0) is reference.pop(1.0)
                case "shed":
                    assert queue.shed(SHARES) is reference.shed()
                case "expire":
                    expired = queue.expire(8.0)
                    assert set(map(id, expired)) == set(
                        map(id, reference.expire(8))
                    )
                case request:
                    queue.push(request)
                    reference.push(request)
            assert len(queue) == len(reference.requests)
            assert queue.bytes == sum(w.size_bytes for w in reference.requests)

    def test_overload_by_the_least_urgent_does_not_delay_the_urgent(self):
        queue = queueing.FairQueue()
        push_many(queue, 3, "a", 100)
        queue.pop(SHARES, 1.0)
        push_many(queue, 0, "a", 1, deadline=99.0)
        assert queue.pop(SHARES, 1.0).urgency == 0

    def test_overload_by_all_classes_is_served_by_weight(self):
        queue = queueing.FairQueue()
        for urgency in range(4):
            push_many(queue, urgency, "a", 150)
        served = collections.Counter(
            queue.pop(SHARES, 1.0).urgency for _ in range(150)
        )
        assert served == {0: 80, 1: 40, 2: 20, 3: 10}

    def test_overload_by_all_teams_is_served_by_weight(self):
        queue = queueing.FairQueue()
        push_many(queue, 1, "a", 400)
        push_many(queue, 1, "b", 100)
        teams = collections.Counter(
            queue.pop(SHARES, 1.0).team for _ in range(100)
        )
        assert teams == {"a": 75, "b": 25}

    def test_an_idle_class_gets_no_credit(self):
        queue = queueing.FairQueue()
        push_many(queue, 3, "a", 200)
        for _ in range(100):
            queue.pop(SHARES, 1.0)
        push_many(queue, 2, "a", 200)
        served = [queue.pop(SHARES, 1.0).urgency for _ in range(30)]
        # One turn in three, give or take the class that is served first.
        assert 9 <= served.count(3) <= 10

    def test_sheds_from_the_class_most_above_its_share(self):
        queue = queueing.FairQueue()
        push_many(queue, 3, "a", 20)
        push_many(queue, 0, "a", 5)
        assert [queue.shed(SHARES).urgency for _ in range(10)] == [3] * 10


class TestShares:
    def test_undeclared_teams_share_the_default_team(self):
        declarations = declaration.Declarations(
            teams=(declaration.Team("steward", weight=2.0),)
        )
        shares = queueing.Shares.from_declarations(declarations)
        assert shares.effective_team("steward") == "steward"
        assert shares.effective_team("made-up-917") == queueing.DEFAULT_TEAM
