from hypothesis import given
from hypothesis import strategies

from pomelostair import fairqueue
from pomelostair import messages

BATCH = messages.Urgency.BATCH
URGENT = messages.Urgency.URGENT


def waiting(task, team="t", urgency=BATCH, since=0.0, starved=False):
    return fairqueue.Waiting(task, team, urgency, 1.0, since, starved)


def order(tasks, turn=False, held=None, weights=None):
    found = fairqueue.order(
        tasks, held or {}, lambda team: (weights or {}).get(team, 1.0), turn
    )
    return [task.task for task in found]


class TestOrder:
    def test_urgency_then_arrival(self):
        tasks = [waiting("a"), waiting("b", urgency=URGENT), waiting("c")]
        assert order(tasks) == ["b", "a", "c"]

    def test_teams_take_turns_by_weight(self):
        tasks = [waiting(f"x{n}", "x") for n in range(4)]
        tasks += [waiting(f"y{n}", "y") for n in range(4)]
        found = order(tasks, weights={"y": 2.0})
        assert found[:6] == ["x0", "y0", "y1", "x1", "y2", "y3"]

    def test_a_team_that_holds_much_waits(self):
        tasks = [waiting("x", "x"), waiting("y", "y")]
        assert order(tasks, held={"x": 5.0}) == ["y", "x"]

    def test_the_longest_starved_goes_first_in_its_turn(self):
        tasks = [
            waiting("u", urgency=URGENT),
            waiting("s", since=2.0, starved=True),
            waiting("t", since=1.0, starved=True),
        ]
        assert order(tasks, turn=True) == ["t", "u", "s"]
        assert order(tasks) == ["u", "t", "s"]

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("xyz"),
                strategies.sampled_from(messages.Urgency),
                strategies.booleans(),
            )
        ),
        strategies.booleans(),
    )
    def test_every_task_comes_once(self, rows, turn):
        tasks = [
            waiting(str(number), team, urgency, number, starved)
            for number, (team, urgency, starved) in enumerate(rows)
        ]
        assert sorted(order(tasks, turn)) == sorted(t.task for t in tasks)
