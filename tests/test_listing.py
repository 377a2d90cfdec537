from pomelostair import cell
from pomelostair import listing
from pomelostair import messages


def _state():
    state = cell.State()
    size = messages.Size(2.0, 512, 1)
    spec = messages.JobSpec("a", "netting", "agency", tasks=12, size=size)
    state.apply(cell.JobSubmitted(spec))
    state.apply(cell.JobSubmitted(messages.JobSpec("b", "wear-watch")))
    state.apply(cell.TaskPlaced("a/2", 1, "w1"))
    state.apply(cell.TaskPlaced("a/10", 1, "w1"))
    state.apply(cell.TaskPlaced("b/0", 1, "w2"))
    return state


def _heartbeat(name):
    return messages.Heartbeat(
        name,
        "patan",
        "rack-1",
        messages.Size(32.0, 125_000, 0),
        messages.TargetState.READY,
        (),
        (),
    )


class TestTasks:
    def test_pages_cover_all_tasks_in_order_of_their_index(self):
        state = _state()
        listed = []
        page = listing.tasks(state, messages.ListTasks(limit=5))
        listed += [row.id for row in page.rows]
        while page.more:
            query = messages.ListTasks(after=listed[-1], limit=5)
            page = listing.tasks(state, query)
            listed += [row.id for row in page.rows]
        assert listed == [f"a/{i}" for i in range(12)] + ["b/0"]

    def test_filters_are_combined(self):
        query = messages.ListTasks(team="agency", state="placed", worker="w1")
        rows = listing.tasks(_state(), query).rows
        assert [row.id for row in rows] == ["a/2", "a/10"]
        assert rows[0].attempt == 1
        assert rows[0].size.memory_mb == 512
        assert not listing.tasks(_state(), messages.ListTasks(job="c")).rows


class TestWorkers:
    def test_worker_with_tasks_but_no_heartbeat_is_silent(self):
        contacts = {
            "w1": listing.WorkerContact(_heartbeat("w1"), 0.5, silent=False)
        }
        first, second = listing.workers(_state(), contacts).rows
        assert (first.name, first.state, first.tasks) == ("w1", "ready", 2)
        assert first.assigned == messages.Size(4.0, 1024, 2)
        assert (second.name, second.state, second.tasks) == ("w2", "silent", 1)
