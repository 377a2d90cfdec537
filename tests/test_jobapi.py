import json

import curio
import pytest

from pomelostair import bus
from pomelostair import clock as clock_module
from pomelostair import errors
from pomelostair import jobapi
from pomelostair import messages
from pomelostair import outcome
from tests import leaders

NOT_LEADER = outcome.Refused(outcome.Kind.NOT_LEADER, "repeat")
NO_STORE = outcome.Refused(outcome.Kind.STORE_UNAVAILABLE, "repeat later")
QUERY = messages.ShowJob("a")
ACCEPTED = messages.JobAccepted("a", created=True)


class FakeEntry:
    """A job API whose leader gives the scripted answers.

    The last answer is repeated; "silence" leaves a call unanswered.
    """

    def __init__(self, answers):
        network = bus.MemoryNetwork()
        self.counters = leaders.FakeMetrics()
        self.bus = bus.MemoryBus("entry", "entry", self.counters, network)
        self.leader_bus = bus.MemoryBus("m1", "m1", self.counters, network)
        self.answers = list(answers)
        self.calls = 0
        for message_type in (messages.ShowJob, messages.SubmitJob):
            self.leader_bus.handle(message_type, self._answer)
        self.has_leader = True

    async def _answer(self, _message, envelope):
        self.calls += 1
        answer = self.answers.pop(0) if len(self.answers) > 1 else None
        answer = answer if answer is not None else self.answers[0]
        if answer != "silence":
            await self.leader_bus.reply(envelope, answer)

    def leader(self, cell):
        if not self.has_leader:
            return None
        return messages.LeaderAddress(cell, 1, "m1", "m1")

    async def ask(self, timeout_s):
        return await (await self.api()).ask_leader(QUERY, timeout_s)

    async def submit(self, spec):
        return await (await self.api())._forward(messages.SubmitJob(spec), 202)

    async def api(self):
        for run in (self.bus.run, self.leader_bus.run):
            await curio.spawn(run, daemon=True)
        api = jobapi.JobApi.__new__(jobapi.JobApi)
        api._parts = self
        api._directory = self
        self.clock = clock_module.MonotonicClock()
        self.metrics = self.counters
        self.settings = self
        self.cell = "main"
        return api


class TestAskLeader:
    def test_retries_until_a_leader_answers(self):
        entry = FakeEntry([NOT_LEADER, NOT_LEADER, ACCEPTED])
        assert curio.run(entry.ask, 20.0) == ACCEPTED
        assert entry.calls == 3

    def test_definite_refusal_is_returned_without_a_retry(self):
        entry = FakeEntry([NO_STORE])
        assert curio.run(entry.ask, 20.0) == NO_STORE
        assert entry.calls == 1

    def test_gives_up_at_the_deadline(self):
        entry = FakeEntry([NOT_LEADER])
        assert curio.run(entry.ask, 0.5) == NOT_LEADER

    def test_refusal_without_a_leader_states_that_nothing_ran(self):
        entry = FakeEntry([ACCEPTED])
        entry.has_leader = False
        refused = curio.run(entry.ask, 0.3)
        assert refused.kind is outcome.Kind.NO_LEADER
        assert refused.ran is outcome.Ran.NO

    @pytest.mark.parametrize("later", [NOT_LEADER, NO_STORE])
    def test_refusal_after_a_lost_answer_is_of_unknown_outcome(
        self, monkeypatch, later
    ):
        monkeypatch.setattr(jobapi, "ATTEMPT_TIMEOUT_S", 0.2)
        entry = FakeEntry(["silence", later])
        refused = curio.run(entry.ask, 1.5)
        assert refused.kind is later.kind
        assert refused.ran is outcome.Ran.UNKNOWN


class TestSubmit:
    def test_refusal_of_unknown_outcome_names_the_generated_id(
        self, monkeypatch
    ):
        monkeypatch.setattr(jobapi, "ATTEMPT_TIMEOUT_S", 0.2)
        monkeypatch.setattr(jobapi.JobApi.ask_leader, "__defaults__", (0.5,))
        spec = jobapi.parse(b'{"kind": "netting"}')
        response = curio.run(FakeEntry(["silence"]).submit, spec)
        answer = json.loads(response.body)
        assert answer["ran"] == "unknown"
        assert f"the id {spec.id};" in answer["message"]


class TestParse:
    @pytest.mark.parametrize(
        "body",
        [
            b"{}",
            b"[]",
            b'{"kind": ""}',
            b'{"kind": "k", "id": "a/b"}',
            b'{"kind": "k", "tasks": 0}',
            b'{"kind": "k", "run_s": -1}',
            b'{"kind": "k", "size": {"cores": 0}}',
            b'{"kind": "k", "urgency": "soon"}',
            b'{"kind": "k", "max_failures": 0}',
        ],
    )
    def test_invalid_job_is_rejected_with_a_remedy(self, body):
        with pytest.raises(errors.HttpError) as caught:
            jobapi.parse(body)
        assert caught.value.status == 400
        assert str(caught.value)
