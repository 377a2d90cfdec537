"""Operators over separate processes: sentences, versions and orders."""

import json
import time

import pytest

from pomelostair_standins import site
from tests import caller

FIT = "/services/clapper-desk/fit"
SHAPE = site.Shape(minions=1, workers=1)


def run(address, sentence, expected=None):
    body = {"command": sentence, "expected_version": expected}
    return caller.call(address, "POST", "/v1/commands", body)


def apply(address, declarations, expected, dry_run=False):
    body = {
        "declarations": declarations,
        "expected_version": expected,
        "dry_run": dry_run,
    }
    return caller.call(address, "PUT", "/v1/declarations", body)


def versions(address):
    rows = run(address, "config status").json()["rows"]
    return {row["name"]: row["version"] for row in rows}


@pytest.fixture(scope="module")
def running_site():
    with site.running(SHAPE) as running:
        for entry in running.entries:
            assert caller.eventually(
                lambda entry=entry: caller.call(entry, "GET", FIT).status == 200
            )
            assert caller.eventually(lambda entry=entry: _workers(entry))
        yield running


def _workers(entry):
    answer = run(entry, "workers")
    return answer.status == 200 and answer.json()["rows"]


def in_force_everywhere(running, version, names=4):
    def everywhere():
        found = versions(running.entries[0])
        return len(found) >= names and set(found.values()) == {version}

    return caller.eventually(everywhere)


class TestCommand:
    def test_limit_is_in_force_at_every_process(self, running_site):
        answer = run(running_site.entries[0], "set limit batch_share 0.5")
        assert answer.status == 200
        assert in_force_everywhere(running_site, answer.json()["version"])
        rows = run(running_site.entries[1], "limits where id = batch_share")
        assert rows.json()["rows"] == [{"id": "batch_share", "value": 0.5}]

    def test_racing_operators_get_a_conflict(self, running_site):
        first, second = running_site.entries
        version = run(first, "limits").json()["version"]
        assert run(first, "set limit retry_share 0.2", version).status == 200
        late = run(second, "set limit retry_share 0.3", version)
        assert late.status == 409
        assert late.json()["kind"] == "conflict"
        assert late.json()["ran"] == "no"

    @pytest.mark.parametrize(
        ("sentence", "word"),
        [
            ("set limit batch_share 7", "batch_share"),
            ("drain wroker x within 3 s", "wroker"),
            ("why nothing/0", "nothing/0"),
            ("drain minion agent-worker-1 within 3 s", "worker"),
        ],
    )
    def test_refusal_names_the_word(self, running_site, sentence, word):
        answer = run(running_site.balancer, sentence)
        assert answer.status in (400, 404)
        assert word in answer.json()["message"]
        assert answer.json()["ran"] == "no"

    def test_queries_list_rows(self, running_site):
        workers = run(running_site.balancer, "workers").json()["rows"]
        assert [row["id"] for row in workers] == ["agent-worker-1"]
        minions = run(running_site.balancer, "minions").json()["rows"]
        assert [row["id"] for row in minions] == ["agent-minion-1"]


class TestDeclarations:
    def test_dry_run_shows_and_changes_nothing(self, running_site):
        entry = running_site.entries[0]
        version = run(entry, "limits").json()["version"]
        wanted = {"teams": [{"name": "netting", "cores": 8}]}
        shown = apply(entry, wanted, version, dry_run=True).json()
        assert "teams/netting" in [d["key"] for d in shown["difference"]]
        assert run(entry, "limits").json()["version"] == version

    def test_apply_is_whole_and_carries_its_version(self, running_site):
        entry = running_site.entries[0]
        version = run(entry, "limits").json()["version"]
        wanted = {"teams": [{"name": "netting", "cores": 8}]}
        applied = apply(entry, wanted, version)
        assert applied.json()["version"] == version + 1
        assert apply(entry, wanted, version).status == 409
        bad = {"teams": [{"name": "a"}], "limits": {"batch_share": 9}}
        refused = apply(entry, bad, version + 1)
        assert refused.status == 400
        assert "batch_share" in refused.json()["message"]
        teams = run(entry, "teams").json()["rows"]
        assert [row["id"] for row in teams] == ["netting"]

    def test_document_is_read_back(self, running_site):
        entry = running_site.entries[0]
        answer = caller.call(entry, "GET", "/v1/declarations")
        assert json.loads(answer.body)["declarations"]["limits"]


class TestSpread:
    def test_version_survives_outage_kill_and_freeze(self, running_site):
        platform = running_site.platform
        running_site.freeze("agent-worker-1")
        answer = run(running_site.entries[0], "set limit queue_per_slot 17")
        version = answer.json()["version"]
        caller.call(platform, "POST", "/faults", {"down": True})
        try:
            refused = run(running_site.entries[0], "set limit retry_share 0")
            assert refused.json()["kind"] == "store-unavailable"
            assert refused.json()["ran"] == "no"
            for name in ("entry-1", "agent-minion-1"):
                running_site.kill(name)
                running_site.restart(name)
            running_site.thaw("agent-worker-1")
            assert caller.eventually(
                lambda: run(running_site.entries[0], "limits").status == 200
            )
            assert in_force_everywhere(running_site, version)
        finally:
            caller.call(platform, "POST", "/faults", {"down": False})
        assert in_force_everywhere(running_site, version)

    def test_lost_answer_is_accepted_once(self, running_site):
        platform = running_site.platform
        entry = running_site.entries[1]
        before = run(entry, "limits").json()["version"]
        caller.call(platform, "POST", "/faults", {"lose_answers": True})
        answer = run(entry, "set limit queue_per_slot 18")
        caller.call(platform, "POST", "/faults", {})
        assert answer.status == 200
        assert answer.json()["version"] == before + 1
        assert in_force_everywhere(running_site, before + 1)


class TestDrain:
    def test_drained_minion_gets_no_new_work_until_undrained(
        self, running_site
    ):
        entry = running_site.entries[1]
        name = "agent-minion-1"
        assert run(entry, f"drain minion {name} within 5 s").status == 200

        assert caller.eventually(lambda: _states(entry)[name] == "draining")
        running_site.kill(name)
        running_site.restart(name)
        for _ in range(20):
            assert _states(entry)[name] == "draining"
            answer = caller.call(entry, "GET", FIT)
            assert answer.status == 503
            assert answer.json()["ran"] == "no"
            time.sleep(0.1)

        def empty():
            rows = run(entry, "drains").json()["rows"]
            return [(row["id"], row["left"]) for row in rows] == [(name, 0)]

        assert caller.eventually(empty)
        assert run(entry, f"undrain minion {name}").status == 200
        assert caller.eventually(
            lambda: caller.call(entry, "GET", FIT).status == 200
        )


def _states(entry):
    rows = run(entry, "minions").json()["rows"]
    return {row["id"]: row["state"] for row in rows}
