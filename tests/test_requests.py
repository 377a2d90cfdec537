"""Requests over real processes, under load and faults."""

import contextlib
import json
import pathlib
import time

import attrs
import pytest

from pomelostair_standins import site as site_module
from tests import caller
from tests import callhistory
from tests import load

FIT = "/services/clapper-desk/fit"
MEMORY_LIMIT_MB = 256
SHAPE = site_module.Shape(minions=3, workers=0, longest_run_ms=3000)


def faults(site, **fields):
    body = json.dumps(fields).encode()
    return lambda: caller.call(site.platform, "POST", "/faults", body)


@pytest.fixture
def site():
    with ready(SHAPE) as running:
        yield running


@contextlib.contextmanager
def ready(shape):
    """Keeps a site up whose entries all know all minions."""
    with site_module.running(shape) as running:
        for entry in running.entries:
            for minion in range(shape.minions):
                assert caller.eventually(
                    lambda entry=entry, minion=minion: (
                        f"agent-minion-{minion + 1}" in heard(running, entry)
                    )
                )
            assert caller.eventually(
                lambda entry=entry: caller.call(entry, "GET", FIT).status == 200
            )
        yield running


def heard(running, entry):
    """Returns what the log of an entry says of targets."""
    index = running.entries.index(entry) + 1
    return running.log(f"entry-{index}")


class TestFaults:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_every_promise_holds_under_faults_together_and_twice(
        self, site, seed
    ):
        died = []

        def kill(name):
            died.append(time.monotonic())
            site.kill(name)

        script = [
            (0.5, lambda: site.freeze("agent-minion-2")),
            (0.8, lambda: kill("agent-minion-1")),
            (1.0, faults(site, lose_answers=True)),
            (1.2, lambda: site.restart("agent-minion-1")),
            (2.0, faults(site, down=True)),
            (2.2, lambda: site.thaw("agent-minion-2")),
            (2.5, lambda: site.freeze("entry-1")),
            (2.8, faults(site, slow_ms=700)),
            (3.4, lambda: kill("minion-3")),
            (3.6, lambda: site.thaw("entry-1")),
            (3.8, lambda: site.restart("minion-3")),
            (4.0, lambda: site.kill("entry-2")),
            (4.1, faults(site)),
            (4.3, lambda: site.restart("entry-2")),
            (4.5, lambda: site.freeze("minion-2")),
            (4.6, lambda: site.kill("agent-minion-2")),
            (4.8, lambda: site.restart("agent-minion-2")),
            (5.5, lambda: site.thaw("minion-2")),
        ]
        plan = load.Plan(seconds=7.0, seed=seed)
        seen = load.play(site, plan, script)
        assert callhistory.check(seen) == []
        served = sum(a.status == 200 for a in seen.attempts)
        assert served > 0.5 * plan.rate * plan.seconds

    def test_every_promise_holds_when_links_are_cut_and_messages_held(self):
        shape = attrs.evolve(SHAPE, links=True)
        with ready(shape) as site:

            def cut(source, target):
                return lambda: site.cut(source, target)

            script = [
                (0.5, cut("entry-1", "agent-minion-1")),
                (2.5, site.heal),
                (2.7, cut("agent-minion-2", "entry-2")),
                (3.9, cut("agent-minion-3", "*")),
                (4.3, lambda: site.kill("agent-minion-3")),
                (4.5, lambda: site.restart("agent-minion-3")),
                (5.0, site.heal),
                (5.2, cut("entry-2", "platform")),
                (6.4, site.heal),
            ]
            plan = load.Plan(seconds=7.0, seed=3)
            seen = load.play(site, plan, script)
            assert callhistory.check(seen) == []
            served = sum(a.status == 200 for a in seen.attempts)
            assert served > 0.5 * plan.rate * plan.seconds

    def test_a_frozen_entry_drops_what_its_callers_gave_up(self, site):
        script = [
            (0.5, lambda: site.freeze("entry-1")),
            (4.5, lambda: site.thaw("entry-1")),
        ]
        plan = load.Plan(seconds=1.5, timeout_ms=400, keyed_share=0.0)
        seen = load.play(site, plan, script)
        time.sleep(1.0)
        load.read_journals(site, seen)
        assert callhistory.check(seen) == []


def memory_mb(process):
    """Returns the resident megabytes of a process."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


class TestFlood:
    @pytest.mark.parametrize(
        ("flood", "other"), [("batch", "critical"), ("critical", "batch")]
    )
    def test_the_other_class_is_served_and_memory_bounded(self, flood, other):
        shape = attrs.evolve(SHAPE, entries=1, minions=1)
        # Three times what one minion with 8 slots can do.
        plan = load.Plan(
            rate=120,
            seconds=4.0,
            keyed_share=0.0,
            timeout_ms=15_000,
            service_ms=(200,),
            urgencies=(flood,) * 29 + (other,),
        )
        with ready(shape) as site:
            seen = load.play(site, plan, [])
            daemons = ("entry-1", "agent-minion-1")
            used = [memory_mb(site.processes[name]) for name in daemons]
        assert callhistory.check(seen) == []
        assert callhistory.cuts(seen) == []
        assert all(a.status == 200 for a in seen.attempts if a.urgency == other)
        assert any(a.ran == "no" for a in seen.attempts if a.urgency == flood)
        assert max(used) < MEMORY_LIMIT_MB


class TestDrain:
    def test_leaving_processes_cut_no_request(self, site):
        left = []

        def drain_agent():
            left.append(callhistory.Left("minion-1", time.monotonic()))
            site.terminate("agent-minion-1")

        script = [
            (0.7, drain_agent),
            (1.5, lambda: site.terminate("entry-1")),
        ]
        plan = load.Plan(seconds=4.0, keyed_share=0.0, timeout_ms=5000)
        seen = load.play(site, plan, script, [site.balancer])
        seen.left = left
        assert callhistory.check(seen) == []
        assert callhistory.cuts(seen) == []
        assert all(a.status == 200 for a in seen.attempts)
