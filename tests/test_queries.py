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


class FakeJobs:
    """A leader that answers with prepared pages."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.asked = []

    async def ask_leader(self, message):
        self.asked.append(message)
        return self.answers.pop(0)


class Host(parts_module.Host):
    def __init__(self, parts, jobs):
        super().__init__(parts)
        self._plugins[jobapi.JobApi] = jobs


def ask(sentence, *answers):
    jobs = FakeJobs(answers)
    parts = parts_module.make_process(bus.MemoryNetwork(), "entry-1")
    made = parts[1] if isinstance(parts, tuple) else parts
    found = queries.Queries(made, Host(made, jobs))
    return curio.run(found.rows, command.parse(sentence)), jobs.asked


class TestTasks:
    def test_pages_are_put_together_and_filters_handed_on(self):
        rows, asked = ask(
            "tasks where kind = netting and attempt >= 1",
            messages.TaskList((task(0), task(1)), more=True),
            messages.TaskList((task(2),), more=False),
        )
        assert [row["id"] for row in rows] == ["j/0", "j/1", "j/2"]
        assert [query.after for query in asked] == ["", "j/1"]
        assert {query.kind for query in asked} == {"netting"}

    def test_refusal_in_the_middle_is_passed_on(self):
        refused = outcome.Refused(outcome.Kind.NOT_LEADER, "repeat")
        rows, _ = ask(
            "tasks", messages.TaskList((task(0),), more=True), refused
        )
        assert rows == refused

    def test_listing_is_bounded(self, monkeypatch):
        monkeypatch.setattr(queries, "MAX_TASKS", 2)
        pages = [messages.TaskList((task(n),), more=True) for n in range(3)]
        rows, asked = ask("tasks", *pages)
        assert rows.kind is outcome.Kind.LIMITED
        assert len(asked) == 2


class TestJobs:
    def test_tasks_are_counted_by_state(self):
        rows, _ = ask(
            "jobs",
            messages.TaskList((task(0), task(1, "waiting")), more=False),
        )
        assert rows[0]["tasks"] == 2
        assert (rows[0]["placed"], rows[0]["waiting"]) == (1, 1)


class TestLimits:
    @pytest.mark.parametrize("noun", ["limits", "teams", "urgencies"])
    def test_need_no_leader(self, noun):
        rows, asked = ask(noun)
        assert isinstance(rows, list)
        assert asked == []
