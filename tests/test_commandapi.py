"""Operators' commands, configuration versions and drains on a running site."""

import json
import time

import pytest

from pomelostair_standins import site
from tests import caller

FIT = "/services/clapper-desk/fit"
SHAPE = site.Shape(minions=1, workers=1)


def run_command(address, sentence, expected=None):
    body = {"command": sentence, "expected_version": expected}
    return caller.call(address, "POST", "/v1/commands", body)


def apply_declarations(address, declarations, expected, dry_run=False):
    body = {
        "declarations": declarations,
        "expected_version": expected,
        "dry_run": dry_run,
    }
    return caller.call(address, "PUT", "/v1/declarations", body)


def versions_by_process(address):
    rows = run_command(address, "config status").json()["rows"]
    return {row["name"]: row["version"] for row in rows}


@pytest.fixture(scope="module")
def running_site():
    with site.running(SHAPE) as running:
        for entry in running.entries:
            assert caller.eventually(
                lambda entry=entry: caller.call(entry, "GET", FIT).status == 200
            )
            assert caller.eventually(lambda entry=entry: _has_workers(entry))
        yield running


def _has_workers(entry):
    answer = run_command(entry, "workers")
    return answer.status == 200 and answer.json()["rows"]


def is_in_force_everywhere(running, version, names=4):
    def has_only_this_version():
        versions = versions_by_process(running.entries[0])
        return len(versions) >= names and set(versions.values()) == {version}

    return caller.eventually(has_only_this_version)


class TestCommand:
    def test_limit_takes_effect_at_every_process(self, running_site):
        answer = run_command(
            running_site.entries[0], "set limit batch_share 0.5"
        )
        assert answer.status == 200
        assert is_in_force_everywhere(running_site, answer.json()["version"])
        rows = run_command(
            running_site.entries[1], "limits where id = batch_share"
        )
        assert rows.json()["rows"] == [{"id": "batch_share", "value": 0.5}]

    def test_concurrent_change_of_the_same_version_is_a_conflict(
        self, running_site
    ):
        first, second = running_site.entries
        version = run_command(first, "limits").json()["version"]
        assert (
            run_command(first, "set limit retry_share 0.2", version).status
            == 200
        )
        late = run_command(second, "set limit retry_share 0.3", version)
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
    def test_refusal_names_the_invalid_word(self, running_site, sentence, word):
        answer = run_command(running_site.balancer, sentence)
        assert answer.status in (400, 404)
        assert word in answer.json()["message"]
        assert answer.json()["ran"] == "no"

    def test_queries_list_rows(self, running_site):
        workers = run_command(running_site.balancer, "workers").json()["rows"]
        assert [row["id"] for row in workers] == ["agent-worker-1"]
        minions = run_command(running_site.balancer, "minions").json()["rows"]
        assert [row["id"] for row in minions] == ["agent-minion-1"]


class TestDeclarations:
    def test_dry_run_shows_and_changes_nothing(self, running_site):
        entry = running_site.entries[0]
        version = run_command(entry, "limits").json()["version"]
        wanted = {"teams": [{"name": "netting", "cores": 8}]}
        shown = apply_declarations(entry, wanted, version, dry_run=True).json()
        assert "teams/netting" in [d["key"] for d in shown["difference"]]
        assert run_command(entry, "limits").json()["version"] == version

    def test_declarations_are_applied_atomically_at_the_expected_version(
        self, running_site
    ):
        entry = running_site.entries[0]
        version = run_command(entry, "limits").json()["version"]
        wanted = {"teams": [{"name": "netting", "cores": 8}]}
        applied = apply_declarations(entry, wanted, version)
        assert applied.json()["version"] == version + 1
        assert apply_declarations(entry, wanted, version).status == 409
        bad = {"teams": [{"name": "a"}], "limits": {"batch_share": 9}}
        refused = apply_declarations(entry, bad, version + 1)
        assert refused.status == 400
        assert "batch_share" in refused.json()["message"]
        teams = run_command(entry, "teams").json()["rows"]
        assert [row["id"] for row in teams] == ["netting"]

    def test_declarations_in_force_can_be_read(self, running_site):
        entry = running_site.entries[0]
        answer = caller.call(entry, "GET", "/v1/declarations")
        assert json.loads(answer.body)["declarations"]["limits"]


class TestReplication:
    def test_version_reaches_processes_that_were_killed_or_frozen_in_an_outage(
        self, running_site
    ):
        platform = running_site.platform
        running_site.freeze("agent-worker-1")
        answer = run_command(
            running_site.entries[0], "set limit queue_per_slot 17"
        )
        version = answer.json()["version"]
        caller.call(platform, "POST", "/faults", {"down": True})
        try:
            refused = run_command(
                running_site.entries[0], "set limit retry_share 0"
            )
            assert refused.json()["kind"] == "store-unavailable"
            assert refused.json()["ran"] == "no"
            for name in ("entry-1", "agent-minion-1"):
                running_site.kill(name)
                running_site.restart(name)
            running_site.thaw("agent-worker-1")
            assert caller.eventually(
                lambda: (
                    run_command(running_site.entries[0], "limits").status == 200
                )
            )
            assert is_in_force_everywhere(running_site, version)
        finally:
            caller.call(platform, "POST", "/faults", {"down": False})
        assert is_in_force_everywhere(running_site, version)

    def test_change_with_a_lost_answer_is_accepted_once(self, running_site):
        platform = running_site.platform
        entry = running_site.entries[1]
        before = run_command(entry, "limits").json()["version"]
        caller.call(platform, "POST", "/faults", {"lose_answers": True})
        answer = run_command(entry, "set limit queue_per_slot 18")
        caller.call(platform, "POST", "/faults", {})
        assert answer.status == 200
        assert answer.json()["version"] == before + 1
        assert is_in_force_everywhere(running_site, before + 1)


class TestDrain:
    def test_drained_minion_gets_no_new_work_until_undrained(
        self, running_site
    ):
        entry = running_site.entries[1]
        name = "agent-minion-1"
        assert (
            run_command(entry, f"drain minion {name} within 5 s").status == 200
        )

        assert caller.eventually(
            lambda: _minion_states(entry)[name] == "draining"
        )
        running_site.kill(name)
        running_site.restart(name)
        for _ in range(20):
            assert _minion_states(entry)[name] == "draining"
            answer = caller.call(entry, "GET", FIT)
            assert answer.status == 503
            assert answer.json()["ran"] == "no"
            time.sleep(0.1)

        def is_drained():
            rows = run_command(entry, "drains").json()["rows"]
            return [(row["id"], row["left"]) for row in rows] == [(name, 0)]

        assert caller.eventually(is_drained)
        assert run_command(entry, f"undrain minion {name}").status == 200
        assert caller.eventually(
            lambda: caller.call(entry, "GET", FIT).status == 200
        )


def _minion_states(entry):
    rows = run_command(entry, "minions").json()["rows"]
    return {row["id"]: row["state"] for row in rows}
