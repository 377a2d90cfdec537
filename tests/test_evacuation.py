import logging

import pytest

from pomelostair import evacuation
from pomelostair import events
from pomelostair import pipelinescheduler
from tests import pipelines
from tests import simfleet


def make_fleet(**zones):
    """Returns a fleet; `zones` are the zones of its workers by name."""
    fleet = simfleet.Fleet(tuple(zones))
    for name, zone in zones.items():
        fleet.hosts[name].zone = zone
    fleet.run_for(1)
    return fleet


def logged(caplog, event):
    """Returns the number of log lines of an event."""
    return sum(r.getMessage() == event.value.text for r in caplog.records)


def submit_short(fleet, seconds):
    """Submits tasks for more workers than there are, for some time."""
    for step in range(round(seconds / 0.1)):
        name = f"short-{round(fleet.now * 10)}-{step}"
        fleet.submit(name, pipelines.stage(4, 2000))
        fleet.step()


class TestStarts:
    """Short tasks that would fill every worker."""

    def test_none_in_an_evacuated_zone(self):
        """The zone went on getting work until its machines were turned off."""
        fleet = make_fleet(w1="a", w2="a", w3="b")
        submit_short(fleet, 1)
        before = fleet.running()
        assert {host for _, host in before} == {"w1", "w2", "w3"}
        fleet.evacuate("a")
        fleet.starts.clear()
        submit_short(fleet, 3)
        assert fleet.starts
        assert {host for _, host in fleet.starts} == {"w3"}
        done = {task for task, _, how in fleet.finished if how == "done"}
        assert {task for task, _ in before} <= done

    def test_next_leader_starts_none_there(self):
        fleet = make_fleet(w1="a", w2="b")
        fleet.evacuate("a")
        fleet.start_leader(gap_s=2.0)
        fleet.starts.clear()
        submit_short(fleet, 12)
        assert {host for _, host in fleet.starts} == {"w2"}

    def test_zone_gets_work_at_once_when_the_row_is_removed(self):
        """Guards against workers that stay idle after an evacuation."""
        fleet = make_fleet(w1="a", w2="b")
        fleet.evacuate("a")
        submit_short(fleet, 1)
        fleet.evacuate()
        fleet.starts.clear()
        fleet.step()
        assert "w1" in {host for _, host in fleet.starts}

    @pytest.mark.parametrize("zones", [("a", "b"), ("b", "a", "c")])
    def test_rows_for_all_zones_are_honoured(self, zones, caplog):
        """Work waits, and the operator sees why."""
        caplog.set_level(logging.INFO)
        fleet = make_fleet(w1="a", w2="b")
        fleet.evacuate(*zones)
        fleet.submit("lasting", pipelines.stage(lasting=True))
        submit_short(fleet, 4)
        held = fleet.scheduler.evacuation
        assert not fleet.starts
        assert held.blocked_services == {"clapper-desk"}
        assert held.evacuated_workers == 2
        blocked = events.Events.EVACUATION_BLOCKS_SERVICE
        assert logged(caplog, blocked) == 1
        waits = [r for r in caplog.records if hasattr(r, "waited_ms")]
        assert {record.reason for record in waits} == {"evacuated"}
        fleet.evacuate("a")
        fleet.step()
        assert fleet.starts
        assert not held.blocked_services

    def test_unknown_zone_has_no_effect_and_is_logged_once(self, caplog):
        fleet = make_fleet(w1="a", w2="b")
        fleet.evacuate("c")
        submit_short(fleet, evacuation.UNKNOWN_ZONE_S + 2)
        held = fleet.scheduler.evacuation
        assert {host for _, host in fleet.starts} == {"w1", "w2"}
        assert held.unknown_zones == {"c"}
        assert logged(caplog, events.Events.EVACUATED_ZONE_UNKNOWN) == 1
        fleet.hosts["w1"].zone = "c"
        submit_short(fleet, 0.5)
        assert not held.unknown_zones
        assert fleet.scheduler.workers["w1", 1].evacuated

    def test_worker_without_a_zone_is_never_evacuated(self):
        """Agents of an older version name none."""
        fleet = make_fleet(w1="", w2="a")
        fleet.evacuate("a")
        submit_short(fleet, 1)
        assert {host for _, host in fleet.starts} == {"w1"}

    def test_no_room_is_kept_there(self):
        """A task that needs a whole worker waits for one; all are in use."""
        fleet = make_fleet(w1="a", w2="b")
        for host in fleet.hosts.values():
            host.runner.work_ms = 3000.0
        fleet.submit("short", pipelines.stage(8, 2000))
        fleet.run_for(0.5)
        fleet.submit("large", pipelines.stage(2, 8000, lasting=True))
        fleet.run_for(2.5)
        kept = fleet.scheduler.workers["w1", 1]
        assert kept.reservations
        fleet.evacuate("a")
        fleet.step()
        assert not kept.reservations


class TestWithdrawal:
    """Starts that were ordered before the row was written."""

    @pytest.mark.parametrize("lasting", [False, True])
    def test_start_that_may_still_come_is_fenced_off(self, lasting):
        """The agent is cut off while it holds an order, and then back.

        The task waited for the worker until its leases lapsed, and the order
        was sent again when the agent came back.
        """
        fleet = make_fleet(w1="a", w2="b")
        one, other = fleet.hosts.values()
        one.runner.lasting = other.runner.lasting = lasting
        fleet.resize_worker("w2", 0)
        fleet.run_for(simfleet.BEAT_S + 0.1)
        one.partitioned = True
        fleet.submit("a", pipelines.stage(lasting=lasting))
        fleet.run_for(0.5)
        worker = fleet.scheduler.workers[one.key]
        assert worker.placements
        fleet.evacuate("a")
        fleet.resize_worker("w2", 8)
        fleet.run_for(simfleet.BEAT_S + 0.1)
        one.partitioned = False
        fleet.run_for(pipelinescheduler.RESEND_AFTER_S)
        assert not worker.placements
        assert [name for _, name in fleet.starts] == ["w2"]

    @pytest.mark.parametrize("gang", [False, True])
    def test_start_that_waits_for_its_record_is_dropped(self, gang):
        """It was sent once it was stored and its worker had reported."""
        fleet = make_fleet(w1="a", w2="b")
        for host in fleet.hosts.values():
            host.runner.lasting = True
        stage = pipelines.stage(2, 8000, lasting=True, gang=gang)
        fleet.submit("a", stage)
        workers = fleet.scheduler.workers.values()
        while not any(worker.placements for worker in workers):
            fleet.step()
        assert not fleet.starts
        fleet.evacuate("a")
        fleet.run_for(3)
        expected = set() if gang else {"w2"}
        assert {name for _, name in fleet.running()} == expected
        assert not {name for _, name in fleet.starts} - {"w2"}

    def test_running_attempt_is_left_alone(self):
        fleet = make_fleet(w1="a")
        fleet.hosts["w1"].runner.work_ms = 3000.0
        fleet.submit("a", pipelines.stage(2, 2000))
        fleet.run_for(0.5)
        fleet.evacuate("a")
        fleet.run_for(4)
        assert [how for _, _, how in fleet.finished] == ["done", "done"]

    def test_order_that_is_carried_out_late_is_fenced_off(self):
        """The worker would start it seconds after its agent gave it up."""
        fleet = make_fleet(w1="a", w2="b")
        fleet.hosts["w1"].delays_starts = True
        fleet.hosts["w2"].delays_starts = True
        fleet.submit("a", pipelines.stage(4, 4000))
        fleet.step()
        fleet.evacuate("a", "b")
        fleet.run_for(6)
        assert not fleet.running()
        assert not fleet.finished


def lasting_fleet(**zones):
    """Returns a fleet whose workers run lasting tasks."""
    fleet = make_fleet(**zones)
    for host in fleet.hosts.values():
        host.runner.lasting = True
    return fleet


def hosts_of(fleet, name="a"):
    """Returns the workers that run the tasks of a pipeline, sorted."""
    return sorted(
        host for task, host in fleet.running() if task.startswith(f"{name}.")
    )


class TestMover:
    """Lasting tasks in a zone that is being evacuated."""

    def start(self, zones, *stages, blocked=()):
        """Returns a fleet that runs them; some workers have no room then."""
        fleet = lasting_fleet(**zones)
        for name in blocked:
            fleet.resize_worker(name, 0)
        fleet.run_for(simfleet.BEAT_S + 0.1)
        for number, stage in enumerate(stages):
            fleet.submit(chr(ord("a") + number), stage)
        fleet.run_for(3)
        for name in blocked:
            fleet.resize_worker(name, fleet.cores)
        fleet.run_for(simfleet.BEAT_S + 0.1)
        return fleet

    @pytest.mark.parametrize("skippable", [0, 1, 2])
    def test_moves_no_more_at_once_than_its_stage_allows(self, skippable):
        stage = pipelines.stage(4, 2000, lasting=True, skippable=skippable)
        zones = {"w1": "a", "w2": "a", "w3": "b"}
        fleet = self.start(zones, stage, blocked=["w3"])
        assert set(hosts_of(fleet)) <= {"w1", "w2"}
        fleet.evacuate("a")
        fewest = 4
        for _ in range(100):
            fleet.step()
            fewest = min(fewest, len(fleet.running()))
        assert hosts_of(fleet) == ["w3"] * 4
        assert fewest == 4 - max(skippable, 1)
        assert fleet.scheduler.evacuated_lasting_tasks == 0

    def test_stays_while_there_is_no_room(self):
        """Tasks that can't start elsewhere would be gone for long."""
        stage = pipelines.stage(3, 8000, lasting=True, skippable=1)
        fleet = self.start({"w1": "a", "w2": "a", "w3": "b"}, stage)
        fleet.evacuate("a")
        fleet.run_for(5)
        assert hosts_of(fleet) == ["w1", "w2", "w3"]
        assert not fleet.finished
        assert fleet.scheduler.evacuated_lasting_tasks == 2

    def test_preempts_nothing(self):
        """Short work elsewhere ends by itself; then there is room."""
        stage = pipelines.stage(1, 8000, lasting=True)
        fleet = self.start({"w1": "a", "w2": "b"}, stage, blocked=["w2"])
        fleet.hosts["w2"].runner.lasting = False
        fleet.hosts["w2"].runner.work_ms = 4000.0
        fleet.submit("short", pipelines.stage(4, 2000))
        fleet.run_for(1)
        assert len(hosts_of(fleet, "short")) == 4
        fleet.hosts["w2"].runner.lasting = True
        fleet.evacuate("a")
        fleet.run_for(2)
        assert hosts_of(fleet) == ["w1"]
        fleet.run_for(4)
        assert hosts_of(fleet) == ["w2"]
        ends = [how for task, _, how in fleet.finished if task[0] == "s"]
        assert ends == ["done"] * 4

    @pytest.mark.parametrize(
        ("skippable", "room", "moves"),
        [(0, 2, True), (2, 2, True), (1, 2, False), (0, 1, False)],
        ids=["unlimited", "allowed", "too many", "room for a part"],
    )
    def test_gang_moves_whole_or_not_at_all(self, skippable, room, moves):
        stage = pipelines.stage(
            2, 8000, lasting=True, gang=True, skippable=skippable
        )
        zones = {
            "w1": "a",
            "w2": "a",
            "w3": "b",
            "w4": "b" if room > 1 else "a",
        }
        fleet = self.start(zones, stage, blocked=["w3", "w4"])
        assert hosts_of(fleet) == ["w1", "w2"]
        fleet.evacuate("a")
        fleet.run_for(4)
        assert hosts_of(fleet) == (["w3", "w4"] if moves else ["w1", "w2"])
        assert bool(fleet.finished) == moves

    def test_member_of_a_gang_in_another_zone_stays_where_it_is(self):
        stage = pipelines.stage(2, 8000, lasting=True, gang=True)
        zones = {"w1": "a", "w2": "b", "w3": "b"}
        fleet = self.start(zones, stage, blocked=["w3"])
        fleet.evacuate("a")
        fleet.run_for(4)
        assert hosts_of(fleet) == ["w2", "w3"]

    def test_nothing_moves_once_the_row_is_removed(self):
        stage = pipelines.stage(4, 2000, lasting=True, skippable=1)
        fleet = self.start({"w1": "a", "w2": "b"}, stage, blocked=["w2"])
        fleet.evacuate("a")
        while not fleet.finished:
            fleet.step()
        moved = len(fleet.finished)
        fleet.evacuate()
        fleet.run_for(4)
        assert 0 < len(fleet.finished) <= moved + 1 < 4
        assert len(hosts_of(fleet)) == 4

    def test_next_leader_goes_on(self):
        stage = pipelines.stage(4, 2000, lasting=True, skippable=1)
        fleet = self.start({"w1": "a", "w2": "b"}, stage, blocked=["w2"])
        fleet.evacuate("a")
        while not fleet.finished:
            fleet.step()
        fleet.start_leader(gap_s=2.0)
        fleet.run_for(20)
        assert hosts_of(fleet) == ["w2"] * 4

    def test_pass_compares_few_workers_with_many_tasks(self, monkeypatch):
        """A zone of 23 workers with 8 tasks each, and no room elsewhere.

        A round of a leader of 70 workers takes a few milliseconds.
        """
        names = {f"w{n}": "ab"[n % 2] for n in range(70)}
        stage = pipelines.stage(560, 1000, lasting=True, skippable=100)
        fleet = self.start(names, stage)
        fleet.evacuate("a")
        compared = pipelines.record_comparisons(monkeypatch)
        fleet.step()
        assert 0 < len(compared) <= evacuation.MAX_COMPARISONS + 35
