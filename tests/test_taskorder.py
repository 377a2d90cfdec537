from hypothesis import given
from hypothesis import strategies

from pomelostair import messages
from pomelostair import taskorder

BATCH = messages.Urgency.BATCH
URGENT = messages.Urgency.URGENT


def make_task(task_id, team="t", urgency=BATCH, since=0.0, starved=False):
    return taskorder.WaitingTask(task_id, team, urgency, 1.0, since, starved)


def task_order(tasks, starved_first=False, cores_in_use=None, weights=None):
    ordered = taskorder.order(
        tasks,
        cores_in_use or {},
        lambda team: (weights or {}).get(team, 1.0),
        starved_first,
    )
    return [task.task_id for task in ordered]


class TestOrder:
    def test_urgency_then_arrival(self):
        tasks = [make_task("a"), make_task("b", urgency=URGENT), make_task("c")]
        assert task_order(tasks) == ["b", "a", "c"]

    def test_teams_alternate_by_weight(self):
        tasks = [make_task(f"x{n}", "x") for n in range(4)]
        tasks += [make_task(f"y{n}", "y") for n in range(4)]
        ordered = task_order(tasks, weights={"y": 2.0})
        assert ordered[:6] == ["x0", "y0", "y1", "x1", "y2", "y3"]

    def test_a_team_with_more_cores_in_use_goes_later(self):
        tasks = [make_task("x", "x"), make_task("y", "y")]
        assert task_order(tasks, cores_in_use={"x": 5.0}) == ["y", "x"]

    def test_the_longest_starved_task_goes_first_when_asked(self):
        tasks = [
            make_task("u", urgency=URGENT),
            make_task("s", since=2.0, starved=True),
            make_task("t", since=1.0, starved=True),
        ]
        assert task_order(tasks, starved_first=True) == ["t", "u", "s"]
        assert task_order(tasks) == ["u", "t", "s"]

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
    def test_every_task_is_yielded_once(self, rows, starved_first):
        tasks = [
            make_task(str(number), team, urgency, number, starved)
            for number, (team, urgency, starved) in enumerate(rows)
        ]
        assert sorted(task_order(tasks, starved_first)) == sorted(
            t.task_id for t in tasks
        )
