import curio
import pytest

from pomelostair import bus
from pomelostair import command
from pomelostair import jobapi
from pomelostair import messages
from pomelostair import outcome
from pomelostair import queries
from tests import parts as parts_module

SIZE = messages.Size()


def task(index, state="placed", kind="netting"):
    return messages.TaskRow(
        f"j/{index}",
        "j",
        kind,
        "default",
        messages.Urgency.BATCH,
        state,
        "placed on w",
        1,
        "w",
        SIZE,
    )


class FakeJobApi:
    """Returns prepared answers of the leader and records the requests."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.requests = []

    async def ask_leader(self, message):
        self.requests.append(message)
        return self.answers.pop(0)


class FakePluginHost(parts_module.Host):
    def __init__(self, parts, jobs):
        super().__init__(parts)
        self._plugins[jobapi.JobApi] = jobs


def run_query(sentence, *answers):
    jobs = FakeJobApi(answers)
    parts = parts_module.make_process(bus.MemoryNetwork(), "entry-1")
    entry_parts = parts[1] if isinstance(parts, tuple) else parts
    plugin = queries.Queries(entry_parts, FakePluginHost(entry_parts, jobs))
    return curio.run(plugin.rows, command.parse(sentence)), jobs.requests


class TestTasks:
    def test_pages_are_joined_and_filters_forwarded(self):
        rows, requests = run_query(
            "tasks where kind = netting and attempt >= 1",
            messages.TaskList((task(0), task(1)), more=True),
            messages.TaskList((task(2),), more=False),
        )
        assert [row["id"] for row in rows] == ["j/0", "j/1", "j/2"]
        assert [query.after for query in requests] == ["", "j/1"]
        assert {query.kind for query in requests} == {"netting"}

    def test_refusal_of_a_later_page_is_returned(self):
        refused = outcome.Refused(outcome.Kind.NOT_LEADER, "repeat")
        rows, _ = run_query(
            "tasks", messages.TaskList((task(0),), more=True), refused
        )
        assert rows == refused

    def test_listing_is_bounded(self, monkeypatch):
        monkeypatch.setattr(queries, "MAX_LISTED_TASKS", 2)
        pages = [messages.TaskList((task(n),), more=True) for n in range(3)]
        rows, requests = run_query("tasks", *pages)
        assert rows.kind is outcome.Kind.LIMITED
        assert len(requests) == 2


class TestJobs:
    def test_tasks_are_counted_by_state(self):
        rows, _ = run_query(
            "jobs",
            messages.TaskList((task(0), task(1, "waiting")), more=False),
        )
        assert rows[0]["tasks"] == 2
        assert (rows[0]["placed"], rows[0]["waiting"]) == (1, 1)


class TestLocalQueries:
    @pytest.mark.parametrize("noun", ["limits", "teams", "urgencies"])
    def test_need_no_leader(self, noun):
        rows, requests = run_query(noun)
        assert isinstance(rows, list)
        assert requests == []
