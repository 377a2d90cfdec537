import attrs
import pytest

from pomelostair import evacuation
from pomelostair import events
from pomelostair import fleet as fleet_module
from pomelostair import pipelinemessages as messages
from pomelostair import pipelinescheduler
from tests import pipelines
from tests import simfleet


def make_fleet(lasting=False, **zones):
    """Returns a fleet; `zones` are the zones of its workers by name."""
    fleet = simfleet.Fleet(tuple(zones))
    for name, zone in zones.items():
        fleet.hosts[name].zone = zone
        fleet.hosts[name].runner.lasting = lasting
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


def leave_orders_unconfirmed(worker, now):
    """Makes a worker one whose agent has not confirmed an order for long."""
    order = messages.Order(1, messages.STOP, "other.0.0.0", 1)
    worker.unconfirmed_orders = [order]
    worker.orders_confirmed_s = now - 2 * fleet_module.UNCONFIRMED_S


# Conditions of a worker on which no task can start.
FAULTS = {
    "unannounced": lambda worker, now: setattr(
        worker, "state", attrs.evolve(worker.state, announced=False)
    ),
    "suspect": lambda worker, now: setattr(
        worker, "suspect_until_s", now + 1.0
    ),
    "unregistered": lambda worker, now: setattr(worker, "registered", False),
    "orphans": lambda worker, now: worker.orphans.add(("other.0.0.0", 1)),
    "orders": leave_orders_unconfirmed,
}


def hosts_of(fleet, name="a"):
    """Returns the workers that run the tasks of a pipeline, sorted."""
    return sorted(
        host for task, host in fleet.running() if task.startswith(f"{name}.")
    )


def starting_hosts(fleet):
    """Returns the workers that have started tasks since the last call."""
    hosts = {host for _, host in fleet.starts}
    fleet.starts.clear()
    return hosts


class TestStarts:
    """Short tasks that would fill every worker."""

    @pytest.mark.parametrize("takeover", [False, True])
    def test_none_in_an_evacuated_zone_until_the_row_is_removed(self, takeover):
        """The zone went on getting work until its machines were turned off.

        Agents of an older version name no zone; theirs is never evacuated.
        """
        fleet = make_fleet(w1="a", w2="a", w3="")
        submit_short(fleet, 1)
        before = fleet.running()
        assert starting_hosts(fleet) == {"w1", "w2", "w3"}
        fleet.evacuate("a")
        if takeover:
            fleet.start_leader(gap_s=2.0)
        submit_short(fleet, 12)
        assert starting_hosts(fleet) == {"w3"}
        done = {task for task, _, how in fleet.finished if how == "done"}
        assert {task for task, _ in before} <= done
        fleet.evacuate()
        fleet.step()
        assert starting_hosts(fleet) >= {"w1", "w2"}

    @pytest.mark.parametrize("zones", [("a", "b"), ("b", "a", "c")])
    def test_rows_for_all_zones_are_honoured(self, zones, caplog):
        """Work waits, and the operator sees why."""
        fleet = make_fleet(w1="a", w2="b")
        fleet.evacuate(*zones)
        fleet.submit("lasting", pipelines.stage(lasting=True))
        submit_short(fleet, 4)
        held = fleet.scheduler.evacuation
        assert not fleet.starts
        assert held.blocked_services == {"clapper-desk"}
        assert held.evacuated_workers == 2
        assert logged(caplog, events.Events.EVACUATION_BLOCKS_SERVICE) == 1
        waits = [r for r in caplog.records if hasattr(r, "waited_ms")]
        assert {record.reason for record in waits} == {"evacuated"}
        fleet.evacuate("a")
        fleet.step()
        assert starting_hosts(fleet) == {"w2"}
        assert not held.blocked_services

    def test_unknown_zone_has_no_effect_and_is_logged_once(self, caplog):
        fleet = make_fleet(w1="a", w2="b")
        fleet.evacuate("c")
        submit_short(fleet, evacuation.UNKNOWN_ZONE_S + 2)
        held = fleet.scheduler.evacuation
        assert starting_hosts(fleet) == {"w1", "w2"}
        assert held.unknown_zones == {"c"}
        assert logged(caplog, events.Events.EVACUATED_ZONE_UNKNOWN) == 1
        fleet.hosts["w1"].zone = "c"
        submit_short(fleet, 0.5)
        assert not held.unknown_zones
        assert fleet.scheduler.workers["w1", 1].evacuated

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
        fleet = make_fleet(lasting, w1="a", w2="b")
        one = fleet.hosts["w1"]
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
        fleet = make_fleet(True, w1="a", w2="b")
        stage = pipelines.stage(2, 8000, lasting=True, gang=gang)
        fleet.submit("a", stage)
        workers = fleet.scheduler.workers.values()
        while not any(worker.placements for worker in workers):
            fleet.step()
        assert not fleet.starts
        fleet.evacuate("a")
        assert not fleet.scheduler.workers["w1", 1].placements
        fleet.run_for(3)
        assert hosts_of(fleet) == ([] if gang else ["w2"])
        assert starting_hosts(fleet) <= {"w2"}

    def test_gang_that_waits_for_its_record_gets_no_stops(self):
        """Guards against a stop of each member on a further worker.

        Zones were withdrawn worker by worker: the members on workers that were
        not marked yet were stopped, and the task waited for these stops.
        """
        fleet = make_fleet(True, w1="a", w2="a", w3="b", w4="b")
        stage = pipelines.stage(2, 8000, lasting=True, gang=True)
        fleet.resize_worker("w3", 0)
        fleet.resize_worker("w4", 0)
        fleet.run_for(simfleet.BEAT_S + 0.1)
        fleet.submit("a", stage)
        workers = fleet.scheduler.workers.values()
        while not any(worker.placements for worker in workers):
            fleet.step()
        assert not fleet.starts
        fleet.evacuate("a")
        assert not any(worker.placements for worker in workers)
        assert not any(worker.unconfirmed_orders for worker in workers)

    @pytest.mark.parametrize("reachable", [True, False])
    def test_zone_and_running_attempt_in_one_report(
        self, reachable, monkeypatch
    ):
        """Guards against a stop of what the same report lists as running.

        The zone counts also if the report lists nothing.
        """
        fleet = make_fleet(w1="b")
        fleet.evacuate("a")
        fleet.submit("a", pipelines.stage(1, 2000))
        while not fleet.running():
            fleet.step()
        fleet.hosts["w1"].zone = "a"
        worker_state = pipelines.worker_state
        monkeypatch.setattr(
            pipelines,
            "worker_state",
            lambda *arguments, **fields: worker_state(
                *arguments, **{**fields, "reachable": reachable}
            ),
        )
        fleet.step()
        worker = fleet.scheduler.workers["w1", 1]
        assert worker.evacuated
        stopping = fleet_module.AttemptState.STOPPING
        stopped = [p.state is stopping for p in worker.placements.values()]
        assert stopped == [not reachable]

    def test_order_that_is_carried_out_late_is_fenced_off(self):
        """The worker would start it seconds after its agent gave it up."""
        fleet = make_fleet(w1="a")
        fleet.hosts["w1"].delays_starts = True
        fleet.submit("a", pipelines.stage(4, 2000))
        fleet.step()
        fleet.evacuate("a")
        fleet.run_for(6)
        assert not fleet.running()
        assert not fleet.finished


class TestMover:
    """Lasting tasks in a zone that is being evacuated."""

    def start(self, stage, blocked=(), **zones):
        """Returns a fleet that runs them; some workers have no room then."""
        fleet = make_fleet(True, **zones)
        for name in blocked:
            fleet.resize_worker(name, 0)
        fleet.run_for(simfleet.BEAT_S + 0.1)
        fleet.submit("a", stage)
        fleet.run_for(3)
        for name in blocked:
            fleet.resize_worker(name, fleet.cores)
        fleet.run_for(simfleet.BEAT_S + 0.1)
        return fleet

    @pytest.mark.parametrize("skippable", [0, 1, 2])
    def test_moves_no_more_at_once_than_its_stage_allows(self, skippable):
        stage = pipelines.stage(4, 2000, lasting=True, skippable=skippable)
        fleet = self.start(stage, ["w3"], w1="a", w2="a", w3="b")
        assert set(hosts_of(fleet)) <= {"w1", "w2"}
        fleet.evacuate("a")
        fewest = 4
        for _ in range(100):
            fleet.step()
            fewest = min(fewest, len(fleet.running()))
        assert hosts_of(fleet) == ["w3"] * 4
        assert fewest == 4 - max(skippable, 1)
        assert fleet.scheduler.evacuated_lasting_tasks == 0

    def test_stays_without_room_and_preempts_nothing(self):
        """Short work elsewhere ends by itself; then there is room."""
        stage = pipelines.stage(2, 8000, lasting=True)
        fleet = self.start(stage, ["w3"], w1="a", w2="a", w3="b")
        fleet.hosts["w3"].runner.lasting = False
        fleet.hosts["w3"].runner.work_ms = 4000.0
        fleet.submit("short", pipelines.stage(4, 2000))
        fleet.run_for(1)
        assert hosts_of(fleet, "short") == ["w3"] * 4
        fleet.hosts["w3"].runner.lasting = True
        fleet.evacuate("a")
        fleet.run_for(2)
        assert hosts_of(fleet) == ["w1", "w2"]
        assert fleet.scheduler.evacuated_lasting_tasks == 2
        fleet.run_for(6)
        assert "w3" in hosts_of(fleet)
        assert fleet.scheduler.evacuated_lasting_tasks == 1
        ends = [how for task, _, how in fleet.finished if task[0] == "s"]
        assert ends == ["done"] * 4
        assert len(fleet.finished) == 5

    @pytest.mark.parametrize(
        ("skippable", "zones", "hosts"),
        [
            (0, "aabb", ["w3", "w4"]),
            (2, "aabb", ["w3", "w4"]),
            (1, "aabb", ["w1", "w2"]),
            (0, "aaba", ["w1", "w2"]),
            (0, "abba", ["w2", "w3"]),
        ],
        ids=[
            "unlimited",
            "allowed",
            "too-many",
            "half-the-room",
            "half-inside",
        ],
    )
    def test_gang_moves_whole_or_not_at_all(self, skippable, zones, hosts):
        stage = pipelines.stage(
            2, 8000, lasting=True, gang=True, skippable=skippable
        )
        names = {f"w{n}": zone for n, zone in enumerate(zones, 1)}
        fleet = self.start(stage, ["w3", "w4"], **names)
        assert hosts_of(fleet) == ["w1", "w2"]
        fleet.evacuate("a")
        fleet.run_for(4)
        assert hosts_of(fleet) == hosts
        assert bool(fleet.finished) == (hosts != ["w1", "w2"])

    def test_stays_on_a_worker_that_may_not_answer(self):
        """The stop would come late, and the reserved room be gone by then."""
        stage = pipelines.stage(1, 2000, lasting=True)
        fleet = self.start(stage, ["w2"], w1="a", w2="b")
        fleet.hosts["w1"].partitioned = True
        fleet.run_for(fleet_module.REPORT_FRESH_S + 0.2)
        fleet.evacuate("a")
        fleet.run_for(1)
        assert not fleet.scheduler.workers["w2", 1].reservations
        fleet.hosts["w1"].partitioned = False
        fleet.run_for(2)
        assert hosts_of(fleet) == ["w2"]

    @pytest.mark.parametrize("revoked", [False, True])
    def test_next_leader_goes_on_unless_the_row_is_removed(self, revoked):
        stage = pipelines.stage(4, 2000, lasting=True, skippable=1)
        fleet = self.start(stage, ["w2"], w1="a", w2="b")
        fleet.evacuate("a")
        while not fleet.finished:
            fleet.step()
        moved = len(fleet.finished)
        fleet.evacuate(*(() if revoked else ("a",)))
        fleet.start_leader(gap_s=2.0)
        fleet.run_for(20)
        if revoked:
            assert len(hosts_of(fleet)) == 4
            assert len(fleet.finished) <= moved + 1 < 4
        else:
            assert hosts_of(fleet) == ["w2"] * 4

    def test_pass_compares_few_workers_with_many_tasks(self, monkeypatch):
        """A zone of 35 workers with 8 tasks each, and no room elsewhere.

        A round of a leader of 70 workers takes a few milliseconds.
        """
        stage = pipelines.stage(560, 1000, lasting=True, skippable=100)
        fleet = self.start(stage, **{f"w{n}": "ab"[n % 2] for n in range(70)})
        fleet.evacuate("a")
        compared = pipelines.record_comparisons(monkeypatch)
        fleet.step()
        assert 0 < len(compared) <= evacuation.MAX_COMPARISONS + 35

    @pytest.mark.parametrize("fault", ["silent", "orders"])
    def test_stays_on_a_worker_that_would_not_get_the_stop(
        self, fault, monkeypatch
    ):
        """Its agent reports it, but it lists nothing or confirms no order."""
        stage = pipelines.stage(1, 2000, lasting=True)
        fleet = self.start(stage, ["w2"], w1="a", w2="b")
        source = fleet.scheduler.workers["w1", 1]
        run_round = fleet.scheduler.run_round

        def run_round_with_fault(now):
            if fault == "orders":
                leave_orders_unconfirmed(source, now)
            else:
                silent_since_s = now - 2 * fleet_module.SILENT_S
                source.last_listed_s = source.lease_granted_s = silent_since_s
            run_round(now)

        with monkeypatch.context() as patched:
            patched.setattr(fleet.scheduler, "run_round", run_round_with_fault)
            fleet.evacuate("a")
            for _ in range(20):
                fleet.step()
                assert hosts_of(fleet) == ["w1"]
                assert not fleet.scheduler.workers["w2", 1].reservations
        source.unconfirmed_orders = []
        fleet.run_for(3)
        assert hosts_of(fleet) == ["w2"]

    def test_waits_until_the_task_may_start_under_a_new_leader(self):
        """A new leader stopped a task that it could not start yet.

        No placement is recorded and a worker is out of contact, so nothing of
        earlier terms starts until its leases have lapsed.
        """
        stage = pipelines.stage(1, 2000, lasting=True)
        fleet = self.start(stage, ["w2", "w3"], w1="a", w2="b", w3="b")
        fleet.placements_recorded = False
        fleet.hosts["w3"].partitioned = True
        fleet.start_leader(gap_s=2.0)
        fleet.evacuate("a")
        away_s = 0.0
        for _ in range(150):
            fleet.step()
            away_s += 0.0 if fleet.running() else 0.1
        assert hosts_of(fleet) == ["w2"]
        assert away_s < 2.0

    @pytest.mark.parametrize("fault", FAULTS)
    def test_gang_stays_if_a_member_outside_could_not_start_again(
        self, fault, monkeypatch
    ):
        """Both members stayed down when one of them had no worker left."""
        stage = pipelines.stage(2, 8000, lasting=True, gang=True)
        fleet = self.start(stage, ["w3"], w1="a", w2="b", w3="b")
        assert hosts_of(fleet) == ["w1", "w2"]
        outside = fleet.scheduler.workers["w2", 1]
        run_round = fleet.scheduler.run_round

        def run_round_with_fault(now):
            FAULTS[fault](outside, now)
            run_round(now)

        monkeypatch.setattr(fleet.scheduler, "run_round", run_round_with_fault)
        fleet.step()
        fleet.evacuate("a")
        for _ in range(30):
            fleet.step()
            assert hosts_of(fleet) == ["w1", "w2"]
        assert not fleet.scheduler.workers["w3", 1].reservations

    def test_gang_stays_if_a_member_outside_has_no_ticket(self, monkeypatch):
        """Guards against a stopped member that waits for its advisor."""
        stage = pipelines.stage(2, 8000, lasting=True, gang=True)
        fleet = self.start(stage, ["w3"], w1="a", w2="b", w3="b")
        assert hosts_of(fleet) == ["w1", "w2"]
        with monkeypatch.context() as patched:
            patched.setattr(
                fleet.scheduler._starter,
                "permitted_workers",
                lambda task, workers, table, now: [
                    worker for worker in workers if worker.id != "w2"
                ],
            )
            fleet.evacuate("a")
            for _ in range(20):
                fleet.step()
                assert hosts_of(fleet) == ["w1", "w2"]
        fleet.run_for(4)
        assert hosts_of(fleet) == ["w2", "w3"]

    def test_unavailable_tasks_of_a_stage_are_counted_once_a_pass(
        self, monkeypatch
    ):
        """A pass walked all members of the stage for each task: 170 ms."""
        stage = pipelines.stage(280, 1000, lasting=True, skippable=100)
        fleet = self.start(stage, **{f"w{n}": "ab"[n % 2] for n in range(35)})
        fleet.evacuate("a")
        checked = []
        is_at_work = evacuation.Mover._is_at_work
        monkeypatch.setattr(
            evacuation.Mover,
            "_is_at_work",
            lambda *arguments: checked.append(1) or is_at_work(*arguments),
        )
        fleet.step()
        assert 0 < len(checked) <= 280

    def test_gang_is_examined_once_a_pass(self, monkeypatch):
        """Each of its members compared the whole gang with all workers."""
        stage = pipelines.stage(8, 4000, lasting=True, gang=True)
        zones = {f"w{n}": "a" if n < 8 else "b" for n in range(40)}
        blocked = [name for name, zone in zones.items() if zone == "b"]
        fleet = self.start(stage, blocked, **zones)
        assert len(hosts_of(fleet)) == 8
        for name in blocked[1:]:
            fleet.hosts[name].cores = 0
        fleet.run_for(simfleet.BEAT_S + 0.1)
        fleet.evacuate("a")
        compared = pipelines.record_comparisons(monkeypatch)
        fleet.step()
        # The third member finds no room any more.
        assert 0 < len(compared) <= 3 * 32

    def test_stays_while_the_store_does_not_commit(self):
        """A stopped task waited for its record until the store was back."""
        stage = pipelines.stage(2, 2000, lasting=True)
        fleet = self.start(stage, ["w2"], w1="a", w2="b")
        fleet.store_down = True
        fleet.run_for(evacuation.MAX_COMMIT_AGE_S + 0.1)
        fleet.evacuate("a")
        for _ in range(20):
            fleet.step()
            assert hosts_of(fleet) == ["w1", "w1"]
        fleet.store_down = False
        fleet.run_for(6)
        assert hosts_of(fleet) == ["w2", "w2"]
