import collections

from hypothesis import given
from hypothesis import strategies as st

from pomelostair import declaration
from pomelostair import queueing

SHARES = queueing.Shares((8.0, 4.0, 2.0, 1.0), {"a": 3.0, "b": 1.0})
WAITING = st.builds(
    queueing.Waiting,
    urgency=st.integers(0, 3),
    team=st.sampled_from(["a", "b"]),
    deadline=st.integers(0, 20).map(float),
    size=st.integers(0, 5),
)
OPERATIONS = st.lists(
    st.one_of(WAITING, st.sampled_from(["pop", "shed", "expire"])), max_size=80
)


class NaiveQueue:
    """One list that is searched for everything."""

    def __init__(self):
        self.items = []
        self.classes = collections.defaultdict(float)
        self.teams = collections.defaultdict(float)
        self.class_served = 0.0
        self.team_served = collections.defaultdict(float)

    def push(self, waiting):
        u, t = waiting.urgency, waiting.team
        if not any(w.urgency == u for w in self.items):
            self.classes[u] = max(self.classes[u], self.class_served)
        if not any((w.urgency, w.team) == (u, t) for w in self.items):
            self.teams[u, t] = max(self.teams[u, t], self.team_served[u])
        self.items.append(waiting)

    def pop(self, cost):
        if not self.items:
            return None
        chosen = min(
            self.items,
            key=lambda w: (
                (self.classes[w.urgency], w.urgency),
                (self.teams[w.urgency, w.team], w.team),
                w.deadline,
            ),
        )
        self.items.remove(chosen)
        u, t = chosen.urgency, chosen.team
        self.class_served = max(self.class_served, self.classes[u])
        self.team_served[u] = max(self.team_served[u], self.teams[u, t])
        self.classes[u] += cost / SHARES.of_class(u)
        self.teams[u, t] += cost / SHARES.of_team(t)
        return chosen

    def shed(self):
        if not self.items:
            return None
        classes = collections.Counter(w.urgency for w in self.items)
        teams = collections.Counter((w.urgency, w.team) for w in self.items)
        # The list is in order of arrival, so that the last of equals goes.
        chosen = max(
            enumerate(self.items),
            key=lambda pair: (
                classes[pair[1].urgency] / SHARES.of_class(pair[1].urgency),
                pair[1].urgency,
                teams[pair[1].urgency, pair[1].team]
                / SHARES.of_team(pair[1].team),
                pair[1].team,
                pair[1].deadline,
                pair[0],
            ),
        )[1]
        self.items.remove(chosen)
        return chosen

    def expire(self, horizon):
        gone = [w for w in self.items if w.deadline < horizon]
        self.items = [w for w in self.items if w.deadline >= horizon]
        return gone


def flood(queue, urgency, team, number, deadline=1.0):
    for _ in range(number):
        queue.push(queueing.Waiting(urgency, team, deadline))


class TestFairQueue:
    @given(OPERATIONS)
    def test_same_as_the_naive_queue(self, operations):
        queue, naive = queueing.FairQueue(), NaiveQueue()
        for operation in operations:
            match operation:
                case "pop":
                    assert queue.pop(SHARES, 1.0) is naive.pop(1.0)
                case "shed":
                    assert queue.shed(SHARES) is naive.shed()
                case "expire":
                    found = queue.expire(8.0)
                    assert set(map(id, found)) == set(map(id, naive.expire(8)))
                case waiting:
                    queue.push(waiting)
                    naive.push(waiting)
            assert len(queue) == len(naive.items)
            assert queue.bytes == sum(w.size for w in naive.items)

    def test_a_flood_of_the_least_urgent_does_not_delay_the_urgent(self):
        queue = queueing.FairQueue()
        flood(queue, 3, "a", 100)
        queue.pop(SHARES, 1.0)
        flood(queue, 0, "a", 1, deadline=99.0)
        assert queue.pop(SHARES, 1.0).urgency == 0

    def test_a_flood_of_the_most_urgent_leaves_the_others_their_share(self):
        queue = queueing.FairQueue()
        for urgency in range(4):
            flood(queue, urgency, "a", 150)
        served = collections.Counter(
            queue.pop(SHARES, 1.0).urgency for _ in range(150)
        )
        assert served == {0: 80, 1: 40, 2: 20, 3: 10}

    def test_a_flood_of_one_team_leaves_the_others_their_share(self):
        queue = queueing.FairQueue()
        flood(queue, 1, "a", 400)
        flood(queue, 1, "b", 100)
        teams = collections.Counter(
            queue.pop(SHARES, 1.0).team for _ in range(100)
        )
        assert teams == {"a": 75, "b": 25}

    def test_an_idle_class_saves_up_no_credit(self):
        queue = queueing.FairQueue()
        flood(queue, 3, "a", 200)
        for _ in range(100):
            queue.pop(SHARES, 1.0)
        flood(queue, 2, "a", 200)
        served = [queue.pop(SHARES, 1.0).urgency for _ in range(30)]
        # One turn in three, but for the class that comes when it begins.
        assert 9 <= served.count(3) <= 10

    def test_the_queue_of_a_class_does_not_push_out_a_smaller_one(self):
        queue = queueing.FairQueue()
        flood(queue, 3, "a", 20)
        flood(queue, 0, "a", 5)
        assert [queue.shed(SHARES).urgency for _ in range(10)] == [3] * 10


class TestShares:
    def test_unknown_teams_count_for_the_default_team(self):
        declarations = declaration.Declarations(
            teams=(declaration.Team("steward", weight=2.0),)
        )
        shares = queueing.Shares.of(declarations)
        assert shares.team("steward") == "steward"
        assert shares.team("made-up-917") == queueing.DEFAULT_TEAM
