"""Tests of requests over real processes, under load and faults."""

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

FIT_TARGET = "/services/clapper-desk/fit"
MEMORY_LIMIT_MB = 256
SHAPE = site_module.Shape(minions=3, workers=0, longest_run_ms=3000)


def inject_faults(site, **fields):
    body = json.dumps(fields).encode()
    return lambda: caller.call(site.platform, "POST", "/faults", body)


@pytest.fixture
def site():
    with ready_site(SHAPE) as running:
        yield running


@contextlib.contextmanager
def ready_site(shape):
    """Runs a site, once every entry knows all minions."""
    with site_module.running(shape) as running:
        for entry in running.entries:
            for minion in range(shape.minions):
                assert caller.eventually(
                    lambda entry=entry, minion=minion: (
                        f"agent-minion-{minion + 1}"
                        in entry_log(running, entry)
                    )
                )
            assert caller.eventually(
                lambda entry=entry: (
                    caller.call(entry, "GET", FIT_TARGET).status == 200
                )
            )
        yield running


def entry_log(running, entry):
    """Returns the log of an entry."""
    index = running.entries.index(entry) + 1
    return running.log(f"entry-{index}")


class TestFaults:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_no_violation_under_overlapping_and_repeated_faults(
        self, site, seed
    ):
        kill_times = []

        def kill(name):
            kill_times.append(time.monotonic())
            site.kill(name)

        script = [
            (0.5, lambda: site.freeze("agent-minion-2")),
            (0.8, lambda: kill("agent-minion-1")),
            (1.0, inject_faults(site, lose_answers=True)),
            (1.2, lambda: site.restart("agent-minion-1")),
            (2.0, inject_faults(site, down=True)),
            (2.2, lambda: site.thaw("agent-minion-2")),
            (2.5, lambda: site.freeze("entry-1")),
            (2.8, inject_faults(site, slow_ms=700)),
            (3.4, lambda: kill("minion-3")),
            (3.6, lambda: site.thaw("entry-1")),
            (3.8, lambda: site.restart("minion-3")),
            (4.0, lambda: site.kill("entry-2")),
            (4.1, inject_faults(site)),
            (4.3, lambda: site.restart("entry-2")),
            (4.5, lambda: site.freeze("minion-2")),
            (4.6, lambda: site.kill("agent-minion-2")),
            (4.8, lambda: site.restart("agent-minion-2")),
            (5.5, lambda: site.thaw("minion-2")),
        ]
        plan = load.LoadPlan(duration_s=7.0, seed=seed)
        history = load.run_load(site, plan, script)
        assert callhistory.check(history) == []
        served = sum(a.status == 200 for a in history.attempts)
        assert served > 0.5 * plan.requests_per_s * plan.duration_s

    def test_no_violation_when_links_are_cut_and_messages_delayed(self):
        shape = attrs.evolve(SHAPE, links=True)
        with ready_site(shape) as site:

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
            plan = load.LoadPlan(duration_s=7.0, seed=3)
            history = load.run_load(site, plan, script)
            assert callhistory.check(history) == []
            served = sum(a.status == 200 for a in history.attempts)
            assert served > 0.5 * plan.requests_per_s * plan.duration_s

    def test_a_resumed_entry_drops_requests_past_their_deadline(self, site):
        script = [
            (0.5, lambda: site.freeze("entry-1")),
            (4.5, lambda: site.thaw("entry-1")),
        ]
        plan = load.LoadPlan(duration_s=1.5, timeout_ms=400, keyed_share=0.0)
        history = load.run_load(site, plan, script)
        time.sleep(1.0)
        load.read_journals(site, history)
        assert callhistory.check(history) == []


def resident_mb(process):
    """Returns the resident memory of a process in megabytes."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


class TestOverload:
    @pytest.mark.parametrize(
        ("overloaded", "other"), [("batch", "critical"), ("critical", "batch")]
    )
    def test_the_other_class_is_served_and_memory_is_bounded(
        self, overloaded, other
    ):
        shape = attrs.evolve(SHAPE, entries=1, minions=1)
        # Three times the capacity of one minion with 8 slots.
        plan = load.LoadPlan(
            requests_per_s=120,
            duration_s=4.0,
            keyed_share=0.0,
            timeout_ms=15_000,
            service_ms=(200,),
            urgencies=(overloaded,) * 29 + (other,),
        )
        with ready_site(shape) as site:
            history = load.run_load(site, plan, [])
            daemons = ("entry-1", "agent-minion-1")
            used = [resident_mb(site.processes[name]) for name in daemons]
        assert callhistory.check(history) == []
        assert callhistory.unclear_results(history) == []
        assert all(
            a.status == 200 for a in history.attempts if a.urgency == other
        )
        assert any(
            a.ran == "no" for a in history.attempts if a.urgency == overloaded
        )
        assert max(used) < MEMORY_LIMIT_MB


class TestDrain:
    def test_draining_processes_interrupt_no_request(self, site):
        departures = []

        def drain_agent():
            departures.append(
                callhistory.Departure("minion-1", time.monotonic())
            )
            site.terminate("agent-minion-1")

        script = [
            (0.7, drain_agent),
            (1.5, lambda: site.terminate("entry-1")),
        ]
        plan = load.LoadPlan(duration_s=4.0, keyed_share=0.0, timeout_ms=5000)
        history = load.run_load(site, plan, script, [site.balancer])
        history.departures = departures
        assert callhistory.check(history) == []
        assert callhistory.unclear_results(history) == []
        assert all(a.status == 200 for a in history.attempts)
