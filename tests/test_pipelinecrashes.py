import collections
import random

import msgspec
import pytest

from pomelostair import attempts
from pomelostair import events
from pomelostair import fleet as fleet_module
from pomelostair import metrics
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelinecrashes
from pomelostair import pipelinemessages as messages
from pomelostair import pipelineplacement
from pomelostair import pipelinestarts
from pomelostair import wire
from pomelostair_standins import runner
from tests import pipelines
from tests import simfleet

# By the platform's rules, no task with room is idle for this long.
PLATFORM_IDLE_S = 3.0
METRICS = metrics.Metrics()
COMPLETED = pipeline.Phase.COMPLETED
FAILED = pipeline.Phase.FAILED
RUNNING = pipeline.Phase.RUNNING
# Starts of a task that crashes workers which the platform allows.
ALLOWED_STARTS = 5


def names(count):
    return tuple(f"w{n}" for n in range(count))


def start_counts(fleet):
    return collections.Counter(task for task, _ in fleet.starts)


def working_fleet(worker_count, work_ms, lasting=False):
    """Returns a fleet whose workers take so long for each task."""
    fleet = simfleet.Fleet(names=names(worker_count))
    fleet.run_for(1)
    for host in fleet.hosts.values():
        host.runner.work_ms = work_ms
        host.runner.lasting = lasting
    return fleet


def crash_hosts(fleet, *hosts):
    """Crashes the workers of some hosts at the same moment."""
    for name in hosts:
        fleet.hosts[name].runner.crash()


class TestDeadlyTask:
    """A task crashes each worker that starts it, 10 ms after its start."""

    @pytest.mark.parametrize("worker_count", [1, 2, 3, 8])
    def test_is_given_up_after_few_crashes(self, worker_count):
        """Guards against a task that crashes one worker after another.

        Its sibling and the work beside it must be done.
        """
        fleet = simfleet.Fleet(names=names(worker_count))
        fleet.run_for(1)
        fleet.deadly.add("a.0.0.0")
        fleet.submit("a", pipelines.stage(2))
        for number in range(3):
            fleet.submit(f"b{number}", pipelines.stage(2))
        fleet.run_for(40)
        assert start_counts(fleet)["a.0.0.0"] <= ALLOWED_STARTS
        assert fleet.phase("a") is FAILED
        assert all(fleet.phase(f"b{n}") is COMPLETED for n in range(3))

    def test_crashes_two_workers_if_it_starts_apart_from_others(self):
        fleet = simfleet.Fleet(names=names(8))
        fleet.run_for(1)
        fleet.deadly.add("a.0.0.1")
        fleet.submit("a", pipelines.stage(2))
        fleet.run_for(10)
        assert start_counts(fleet)["a.0.0.1"] == 2
        assert fleet.phase("a") is FAILED

    def test_is_told_from_others_like_it_and_from_healthy_ones(self):
        """Guards against blaming healthy work while many tasks are deadly."""
        fleet = simfleet.Fleet(names=names(8))
        fleet.run_for(1)
        for number in range(30):
            if number % 6 == 0:
                fleet.deadly.add(f"p{number}.0.0.0")
            fleet.submit(f"p{number}", pipelines.stage(2))
            fleet.run_for(0.3)
        fleet.run_for(30)
        counts = start_counts(fleet)
        assert all(counts[task] <= ALLOWED_STARTS for task in fleet.deadly)
        for number in range(30):
            expected = COMPLETED if number % 6 else FAILED
            assert fleet.phase(f"p{number}") is expected

    def test_of_a_gang_is_given_up(self):
        fleet = simfleet.Fleet(names=names(4))
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 5_000
        fleet.deadly.add("a.0.0.3")
        gang = pipelines.stage(4, gang=True, estimate_ms=5_000)
        fleet.submit("a", gang)
        fleet.submit("b", gang)
        fleet.run_for(50)
        assert start_counts(fleet)["a.0.0.3"] <= ALLOWED_STARTS
        assert fleet.phase("a") is FAILED
        assert fleet.phase("b") is COMPLETED

    def test_spares_lasting_tasks_beside_it(self):
        fleet = simfleet.Fleet(names=names(3))
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.lasting = True
        fleet.submit("service", pipelines.stage(6, lasting=True))
        fleet.run_for(0.1)
        fleet.deadly.add("a.0.0.0")
        fleet.submit("a")
        fleet.run_for(30)
        assert fleet.phase("a") is FAILED
        assert fleet.phase("service") is RUNNING
        assert len([t for t, _ in fleet.running() if "service" in t]) == 6

    def test_that_lasts_is_given_up(self):
        fleet = simfleet.Fleet(names=names(4))
        fleet.run_for(1)
        fleet.deadly.add("a.0.0.0")
        fleet.submit("a", pipelines.stage(lasting=True))
        fleet.run_for(30)
        assert start_counts(fleet)["a.0.0.0"] <= ALLOWED_STARTS
        assert fleet.phase("a") is FAILED

    def test_is_given_up_by_a_leader_that_saw_only_its_last_crash(self):
        """Guards against crashes that are forgotten with their leader."""
        fleet = simfleet.Fleet(names=names(4))
        fleet.run_for(1)
        fleet.deadly.add("a.0.0.0")
        fleet.submit("a", pipelines.stage(2))
        for _ in range(8):
            fleet.run_for(3.5)
            fleet.start_leader(gap_s=0.5)
            for host in fleet.hosts.values():
                host.crashes.clear()
        assert start_counts(fleet)["a.0.0.0"] <= ALLOWED_STARTS
        assert fleet.phase("a") is FAILED

    @pytest.mark.parametrize("rebirth_s", [6.0, 9.0, 30.0, 60.0])
    def test_is_given_up_if_workers_are_away_longer_than_their_leases(
        self, rebirth_s
    ):
        """Guards against counting only crashes that are reported in time.

        The task starts again elsewhere before its crash is reported.
        """
        fleet = simfleet.Fleet(names=names(8))
        fleet.rebirth_s = rebirth_s
        fleet.run_for(1)
        fleet.deadly.add("a.0.0.0")
        fleet.submit("a", pipelines.stage(2))
        fleet.run_for(60)
        assert start_counts(fleet)["a.0.0.0"] <= ALLOWED_STARTS
        assert fleet.phase("a") is FAILED

    @pytest.mark.parametrize("lasting", [True, False])
    @pytest.mark.parametrize("worker_count", [1, 2, 8])
    @pytest.mark.parametrize("delay_ms", [600, 1000, 1900])
    def test_is_given_up_if_it_crashes_workers_some_time_after_its_start(
        self, monkeypatch, delay_ms, worker_count, lasting
    ):
        """Guards against BUDGET: it is seen running before each crash."""
        monkeypatch.setattr(runner, "CRASH_DELAY_MS", delay_ms)
        fleet = simfleet.Fleet(names=names(worker_count))
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 20_000
            host.runner.lasting = lasting
        fleet.deadly.add("a.0.0.0")
        fleet.submit("a", pipelines.stage(lasting=lasting, estimate_ms=20_000))
        fleet.run_for(60)
        assert start_counts(fleet)["a.0.0.0"] <= ALLOWED_STARTS
        assert fleet.phase("a") is FAILED

    @pytest.mark.parametrize("rebirth_s", [3.0, 9.0])
    @pytest.mark.parametrize("worker_count", [1, 2, 8])
    def test_is_given_up_if_its_crashes_are_not_reported(
        self, worker_count, rebirth_s
    ):
        """Guards against BUDGET while agents end with their workers."""
        fleet = simfleet.Fleet(names=names(worker_count))
        fleet.rebirth_s = rebirth_s
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.loses_crashes = True
        fleet.deadly.add("a.0.0.0")
        fleet.submit("a", pipelines.stage(2))
        fleet.run_for(60)
        assert start_counts(fleet)["a.0.0.0"] <= ALLOWED_STARTS
        assert fleet.phase("a") is FAILED

    @pytest.mark.parametrize("change_s", [0.5, 2.0, 5.0, 9.0, 14.0])
    @pytest.mark.parametrize(
        ("delay_ms", "is_reported"), [(10, False), (1000, True)]
    )
    def test_is_given_up_in_time_though_the_leader_changes(
        self, monkeypatch, delay_ms, is_reported, change_s
    ):
        """Guards against BUDGET: no leader sees the loss of one attempt."""
        monkeypatch.setattr(runner, "CRASH_DELAY_MS", delay_ms)
        fleet = simfleet.Fleet(names=names(8))
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 20_000
            host.loses_crashes = not is_reported
        fleet.deadly.add("a.0.0.0")
        fleet.submit("a", pipelines.stage(estimate_ms=20_000))
        fleet.run_for(change_s)
        fleet.start_leader(gap_s=2.0)
        fleet.run_for(60)
        assert start_counts(fleet)["a.0.0.0"] <= ALLOWED_STARTS
        assert fleet.phase("a") is FAILED


class TestHealthyTasks:
    """Workers crash for reasons of their own."""

    def test_are_done_after_workers_crash_together_at_their_start(self):
        """Guards against taking a power cut of a rack for deadly tasks.

        The stage starts on several hosts of the rack at once.
        """
        fleet = simfleet.Fleet(names=names(8))
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage(40))
        fleet.step()
        crash_hosts(fleet, "w0", "w1", "w2")
        fleet.run_for(15)
        assert any(host.crashes for host in fleet.hosts.values())
        assert fleet.phase("a") is COMPLETED
        assert max(start_counts(fleet).values()) == 2

    def test_that_ran_for_long_are_no_suspects(self):
        fleet = simfleet.Fleet(names=names(3))
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 60_000
        fleet.submit("a", pipelines.stage(6, estimate_ms=60_000))
        for name in names(3):
            fleet.run_for(8)
            crash_hosts(fleet, name)
        fleet.run_for(8)
        assert not any(host.crashes for host in fleet.hosts.values())
        assert fleet.phase("a") is RUNNING

    def test_that_run_between_two_crashes_are_not_given_up(self):
        """Guards against adding up crashes that have nothing in common."""
        fleet = simfleet.Fleet(names=names(8))
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 60_000
        fleet.submit("a", pipelines.stage(1, estimate_ms=60_000))
        for _ in range(6):
            while not fleet.running():
                fleet.step()
            crash_hosts(fleet, fleet.running()[0][1])
            fleet.run_for(0.3)
            while not fleet.running():
                fleet.step()
            fleet.run_for(2.5)
        assert any(host.crashes for host in fleet.hosts.values())
        assert fleet.phase("a") is RUNNING
        assert not fleet.stored_progress["a"].crashes

    def test_of_a_large_loss_wait_only_briefly_for_each_other(self):
        """Guards against suspects that block each other for long."""
        fleet = simfleet.Fleet(names=names(12), cores=32)
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 2_000
        for number in range(100):
            fleet.submit(f"p{number}", pipelines.stage(estimate_ms=2_000))
        fleet.step()
        crash_hosts(fleet, *names(6))
        fleet.run_for(simfleet.REBIRTH_S + 0.3)
        suspects = sum(bool(p.crashes) for p in fleet.stored_progress.values())
        assert suspects > 30
        fleet.run_for(pipelinecrashes.MAX_ISOLATION_WAIT_S + 0.5)
        assert all(
            not item.ready for item in fleet.scheduler.registry.open.values()
        )
        fleet.run_for(4)
        assert all(fleet.phase(f"p{n}") is COMPLETED for n in range(100))

    def test_are_done_elsewhere_if_a_host_crashes_at_every_start(self):
        """Guards against blaming tasks for a faulty host."""

        class Everything:
            def __contains__(self, task):
                return True

        fleet = simfleet.Fleet(names=names(3))
        fleet.run_for(1)
        fleet.hosts["w1"].runner.deadly = Everything()
        for number in range(30):
            fleet.submit(f"p{number}", pipelines.stage(2))
            fleet.run_for(0.5)
        fleet.run_for(20)
        assert sum(host == "w1" for _, host in fleet.starts) > 3
        assert all(fleet.phase(f"p{n}") is COMPLETED for n in range(30))

    def test_are_not_blamed_for_a_host_that_loses_its_agent_too(self):
        fleet = simfleet.Fleet(names=names(2))
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage(4))
        fleet.step()
        for host in fleet.hosts.values():
            host.loses_crashes = True
        crash_hosts(fleet, *names(2))
        fleet.run_for(10)
        assert fleet.phase("a") is COMPLETED


class TestMixedWork:
    """Deadly tasks among healthy ones on a small, busy fleet."""

    def run(self, seed):
        """Returns a fleet and the names of its pipelines with deadly tasks."""
        numbers = random.Random(seed)
        fleet = simfleet.Fleet(names=names(4), cores=4)
        fleet.rebirth_s = 6.0
        fleet.run_for(1)
        deadly = set()
        for number in range(40):
            count = numbers.choice([1, 2, 4, 8])
            fleet.submit(f"p{number}", pipelines.stage(count, millicores=500))
            if numbers.random() < 0.15:
                index = numbers.randrange(count)
                fleet.deadly.add(f"p{number}.0.0.{index}")
                deadly.add(f"p{number}")
            fleet.run_for(numbers.choice([0.1, 0.3, 0.8]))
        fleet.run_for(120)
        return fleet, deadly

    @pytest.mark.parametrize("seed", [0, 1, 4, 7, 8, 10, 11, 17, 26, 27])
    def test_only_deadly_tasks_are_given_up(self, seed):
        """Guards against blaming healthy work that waits beside deadly tasks.

        Few workers, each of them away after a crash, have room for all suspects
        only if they start together.
        """
        fleet, deadly = self.run(seed)
        assert deadly
        counts = start_counts(fleet)
        assert all(counts[task] <= ALLOWED_STARTS for task in fleet.deadly)
        for number in range(40):
            name = f"p{number}"
            expected = FAILED if name in deadly else COMPLETED
            assert fleet.phase(name) is expected


class TestGangs:
    @pytest.mark.parametrize(("count", "workers"), [(8, 2), (8, 3), (12, 2)])
    def test_waits_of_its_members_do_not_add_up(self, count, workers):
        """Guards against a LOST gang, one worker of which has crashed."""
        fleet = simfleet.Fleet(names=names(workers), cores=16)
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 5_000
        fleet.submit("g", pipelines.stage(count, gang=True, estimate_ms=5_000))
        fleet.step()
        fleet.hosts[fleet.running()[0][1]].runner.crash()
        item = fleet.scheduler.registry.pipelines["g"]
        while len(item.ready) < count:
            fleet.step()
        ready_s = fleet.now
        while len(fleet.running()) < count:
            fleet.step()
        assert fleet.now - ready_s < PLATFORM_IDLE_S


class TestFillers:
    def test_suspect_uses_the_host_of_its_crash_if_others_are_too_slow(self):
        """Guards against a LOST filler: room without its pace is of no use."""

        class Pacer(pacing.Pacer):
            def available_pace_share(self, task, worker, now):
                return 1.0 if worker.id == "w0" else 0.1

            def required_pace_share(self, task, now):
                return 0.5

        item = pipeline.Pipeline(
            pipelines.declare("a", pipelines.stage(filler=True)),
            1,
            pipeline.Progress(),
            0.0,
        )
        (task,) = item.tasks(0, 0)
        task.crashes.append(pipeline.Crash(1, "agent-w0", 1, 2))
        workers = [pipelines.worker(name, now=100.0) for name in ("w0", "w1")]
        chosen = [
            pipelineplacement.choose(task, workers, Pacer(METRICS), now)
            for now in (100.0, 100.0 + PLATFORM_IDLE_S)
        ]
        assert chosen == [None, workers[0]]


class TestRefusedSuspects:
    def test_suspect_is_not_tied_to_the_only_worker_without_others(self):
        """Guards against a LOST task: that worker refuses it each time.

        Another one has a suspect, and the third is on the host of its crash.
        """
        item = pipeline.Pipeline(
            pipelines.declare("a"), 1, pipeline.Progress(), 0.0
        )
        (task,) = item.tasks(0, 0)
        task.crashes.append(pipeline.Crash(1, "agent-w0", 1, 1))
        workers = [pipelines.worker(name, now=100.0) for name in names(3)]
        other = pipelines.place(workers[2], pipelines.stage())
        workers[2].unproven.add(other.key)
        chosen = []
        for step in range(30):
            now = 100.0 + step * 0.4
            worker = pipelineplacement.choose(
                task, workers, pacing.Pacer(METRICS), now
            )
            if worker is not None:
                chosen.append((now - 100.0 < PLATFORM_IDLE_S, worker.id))
                task.refused_by[worker.id] = now
        assert {name for in_time, name in chosen if in_time} >= {"w1", "w2"}
        counts = collections.Counter(name for _, name in chosen)
        assert set(counts) == {"w0", "w1", "w2"}


class TestFrozenWorkers:
    def test_two_freezes_fail_no_task(self):
        """Guards against failing healthy work under which no worker crashed."""
        fleet = simfleet.Fleet(names=names(4))
        fleet.rebirth_s = 1e9
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 30_000
        fleet.submit("a", pipelines.stage(estimate_ms=30_000))
        for number in range(2):
            while len(fleet.starts) == number:
                fleet.step()
            frozen = fleet.hosts[fleet.starts[-1][1]]
            frozen.runner.crashed = True
            frozen.crashed_s = fleet.now
        fleet.run_for(9)
        assert fleet.phase("a") is pipeline.Phase.RUNNING

    def test_freezes_one_after_another_fail_no_task(self):
        """Guards against LOST: workers that answer again did not crash."""
        fleet = working_fleet(8, 30_000)
        fleet.rebirth_s = 1e9
        fleet.submit("a", pipelines.stage(estimate_ms=30_000))
        frozen = []
        for _ in range(700):
            fleet.step()
            if len(frozen) < min(6, len(fleet.starts)):
                if frozen:
                    self.thaw(fleet, frozen[-1])
                frozen.append(fleet.hosts[fleet.starts[-1][1]])
                frozen[-1].runner.crashed = True
                frozen[-1].crashed_s = fleet.now
        assert len(frozen) == 6
        assert fleet.phase("a") is COMPLETED

    def thaw(self, fleet, host):
        """Lets a frozen worker go on; its steady clock has advanced."""
        host.runner.crashed = False
        host.runner.advance((fleet.now - host.crashed_s) * 1000)
        host.crashed_s = None

    def test_silence_is_refuted_by_an_answer_of_the_same_incarnation(self):
        """Guards against LOST: silences of five sound workers add up."""
        harness = Harness()
        for number in range(1, 40):
            host = f"agent-{number}"
            assert not harness.crash(number, host, certain=False)
            assert harness.task.suspect
            state = pipelines.worker_state("w9", 1)
            report = messages.AgentReport(host, 1, 1, True, (), (state,))
            assert not harness.tracker.explain(report)
            assert not harness.task.crashes

    def test_proved_crash_is_not_refuted(self):
        harness = Harness()
        harness.crash(1, "agent-w9")
        harness.crash(2, "agent-w8", certain=False)
        for host, life in (("agent-w9", 1), ("agent-w8", 2)):
            state = pipelines.worker_state("w9", life)
            report = messages.AgentReport(host, 1, 1, True, (), (state,))
            assert not harness.tracker.explain(report)
        assert [c.attempt for c in harness.task.crashes] == [1, 2]

    def test_silence_that_an_earlier_leader_recorded_is_refuted(self):
        """Guards against LOST after a change of the leader."""
        fleet = working_fleet(8, 30_000)
        fleet.rebirth_s = 1e9
        fleet.submit("a", pipelines.stage(estimate_ms=30_000))
        for _ in range(50):
            fleet.step()
            if fleet.starts:
                break
        host = fleet.hosts[fleet.starts[0][1]]
        host.runner.crashed = True
        host.crashed_s = fleet.now
        task = fleet.scheduler.registry.find_task("a.0.0.0")
        for _ in range(100):
            fleet.step()
            if task.crashes:
                break
        assert fleet.stored_progress["a"].crashes
        fleet.start_leader()
        self.thaw(fleet, host)
        fleet.run_for(0.2)
        assert not fleet.stored_progress["a"].crashes

    def test_silence_counts_once_it_proves_to_be_a_crash(self):
        harness = Harness()
        for number in (1, 2):
            assert not harness.crash(number, f"h{number}", certain=False)
        assert harness.task.suspect
        assert not harness.crash(1, "h1")
        assert harness.crash(2, "h2") == [harness.task]
        assert [c.attempt for c in harness.task.crashes] == [1, 2]


class TestLapsedLeases:
    """Agents are lost right after starts; their workers do not crash."""

    @pytest.mark.parametrize("returns", [True, False])
    @pytest.mark.parametrize("lasting", [True, False])
    def test_fail_no_task(self, lasting, returns):
        """Guards against LOST: healthy work is shown as failed.

        Its leases lapse, as one agent after another is suspended or stopped.
        """
        fleet = working_fleet(8, 30_000, lasting)
        fleet.submit("a", pipelines.stage(lasting=lasting, estimate_ms=30_000))
        lost = []
        for _ in range(700):
            fleet.step()
            if len(lost) < min(6, len(fleet.starts)):
                if returns and lost:
                    lost[-1].partitioned = False
                lost.append(fleet.hosts[fleet.starts[-1][1]])
                lost[-1].partitioned = True
        assert len(lost) == 6
        assert fleet.phase("a") is RUNNING
        assert [task for task, _ in fleet.running()] == ["a.0.0.0"]
        assert {how for _, _, how in fleet.finished} == {"lapsed"}


class TestLossesFarApart:
    """A task runs for long between the losses of its workers."""

    def fleet(self, lasting):
        """Returns a fleet on which the task has just been submitted."""
        fleet = working_fleet(8, 10**7, lasting)
        fleet.submit("a", pipelines.stage(lasting=lasting, estimate_ms=10**7))
        return fleet

    def await_start(self, fleet):
        """Returns the host on which the task runs, once it does."""
        for _ in range(100):
            if fleet.running():
                break
            fleet.step()
        return fleet.hosts[fleet.running()[0][1]]

    @pytest.mark.parametrize("lasting", [True, False])
    def test_after_changes_of_the_leader_fail_no_task(self, lasting):
        """Guards against LOST: a new leader takes its own start for the task's.

        Each worker crashes soon after a change of the leader, when the task has
        run on it for half a minute.
        """
        fleet = self.fleet(lasting)
        for _ in range(6):
            self.await_start(fleet)
            fleet.run_for(30)
            fleet.start_leader(gap_s=0.5)
            fleet.run_for(1)
            self.await_start(fleet).runner.crash()
            fleet.run_for(4)
            assert fleet.phase("a") is RUNNING

    @pytest.mark.parametrize("lasting", [True, False])
    @pytest.mark.parametrize("is_reported", [True, False])
    @pytest.mark.parametrize("end", ["lapsed", "stopped"])
    def test_with_ends_by_other_causes_fail_no_task(
        self, lasting, is_reported, end
    ):
        """Guards against LOST: early losses add up over runs of half a minute.

        Those end otherwise than by a loss: by a stop, or by a lapse that the
        worker lists itself.
        """
        fleet = self.fleet(lasting)
        task = fleet.scheduler.registry.find_task("a.0.0.0")
        for host in fleet.hosts.values():
            host.loses_crashes = not is_reported
        for _ in range(6):
            self.await_start(fleet).runner.crash()
            fleet.run_for(4)
            assert fleet.phase("a") is RUNNING
            host = self.await_start(fleet)
            fleet.run_for(30)
            if end == "lapsed":
                host.partitioned = True
                fleet.run_for(6.5)
                host.partitioned = False
            else:
                attempts_of_fleet = fleet.scheduler._attempts
                for placement in attempts_of_fleet.of_task(task):
                    attempts_of_fleet.stop(placement, "its worker is draining")
            fleet.run_for(1)
        assert {how for _, _, how in fleet.finished} == {end}


class TestLostMachines:
    """A deadly task takes the agents of its workers away with them."""

    @pytest.mark.parametrize("rebirth_s", [3.0, 9.0, 15.0, 30.0])
    def test_deadly_task_is_given_up_in_time(self, rebirth_s):
        """Guards against BUDGET: losses stay unexplained for too long."""
        fleet = simfleet.Fleet(names=names(8))
        fleet.rebirth_s = rebirth_s
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.loses_crashes = True
        fleet.deadly.add("a.0.0.0")
        fleet.submit("a", pipelines.stage(2))
        for _ in range(1200):
            for host in fleet.hosts.values():
                host.partitioned = host.runner.crashed
            fleet.step()
        assert start_counts(fleet)["a.0.0.0"] <= ALLOWED_STARTS
        assert fleet.phase("a") is FAILED


class TestAcquittal:
    @pytest.mark.parametrize("lasting", [True, False])
    def test_task_is_not_blamed_again_by_a_new_leader(self, lasting):
        """Guards against failing healthy work that runs.

        Agents report the crashes again to the new leader, before the agent of
        the task has reported it.
        """
        fleet = simfleet.Fleet(names=names(8))
        fleet.rebirth_s = 1e9
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.lasting = lasting
            host.runner.work_ms = 300_000
        fleet.submit("a", pipelines.stage(lasting=lasting, estimate_ms=300_000))
        # Its first and third attempts crash at once, the second one later.
        for number, ran_s in enumerate((0, 30, 0, 30)):
            while len(fleet.starts) == number:
                fleet.step()
            fleet.run_for(ran_s)
            if number < 3:
                fleet.hosts[fleet.starts[-1][1]].runner.crash()
        assert not fleet.scheduler.registry.find_task("a.0.0.0").crashes
        fleet.start_leader(0.5)
        fleet.run_for(1)
        assert fleet.phase("a") is pipeline.Phase.RUNNING


class TestHopeless:
    @pytest.mark.parametrize(
        ("crashes", "expected"),
        [
            ([], False),
            ([("h1", 1)], False),
            ([("h1", 1), ("h1", 1)], False),
            ([("h1", 2), ("h2", 2)], False),
            ([("h1", 1), ("h2", 0)], False),
            ([("h1", 2), ("h2", 1)], True),
            ([("h1", 3), ("h2", 2), ("h3", 2)], True),
            ([("h1", 0), ("h2", 2), ("h3", 0)], False),
            ([("h1", 2)] * 4, False),
            ([("h1", 2)] * 3 + [("h1", 1)], True),
            ([("h1", 0)] * 5, True),
        ],
    )
    def test_depends_on_hosts_and_on_other_suspects(self, crashes, expected):
        recorded = [
            pipeline.Crash(number, host, 1, suspects)
            for number, (host, suspects) in enumerate(crashes)
        ]
        assert pipelinecrashes.is_hopeless(recorded) is expected


class TestStoredCrashes:
    def test_are_read_by_the_next_leader(self):
        declared = pipelines.declare("a", pipelines.stage(2))
        item = pipeline.Pipeline(declared, 1, pipeline.Progress(), 0.0)
        crash = pipeline.Crash(3, "h1", 1, 1)
        item.tasks(0, 0)[1].crashes.append(crash)
        item.tasks(0, 0)[1].early_losses.update((3, 5))
        stored = pipeline.decode_progress(pipeline.encode(item.progress()))
        restored = pipeline.Pipeline(declared, 1, stored, 0.0)
        assert [t.crashes for t in restored.tasks(0, 0)] == [[], [crash]]
        losses = [t.early_losses for t in restored.tasks(0, 0)]
        assert losses == [set(), {3, 5}]

    def test_may_be_missing_in_what_an_earlier_version_wrote(self):
        fields = msgspec.to_builtins(pipeline.Progress())
        del fields["crashes"], fields["lost"]
        data = msgspec.msgpack.encode(fields)
        assert pipeline.decode_progress(data) == pipeline.Progress()
        report = msgspec.to_builtins(messages.AgentReport("a", 1, 1, True, ()))
        del report["crashes"]
        decoded = wire.decode_body(
            "worker-report", msgspec.msgpack.encode(report)
        )
        assert decoded.crashes == ()

    def test_fit_in_a_row_however_many_they_are(self):
        declared = pipelines.declare("a", pipelines.stage(10_000))
        item = pipeline.Pipeline(declared, 1, pipeline.Progress(), 0.0)
        for task in item.tasks(0, 0):
            for number in range(4):
                crash = pipeline.Crash(
                    10**6 + number, "h" * 38, 1_764_000_000_000, 7
                )
                task.crashes.append(crash)
                task.early_losses.add(10**6 + number)
        assert len(pipeline.encode(item.progress())) < 48_000

    def test_unexplained_losses_are_read_by_the_next_leader(self):
        declared = pipelines.declare("a", pipelines.stage(2))
        item = pipeline.Pipeline(declared, 1, pipeline.Progress(), 0.0)
        loss = pipeline.Loss(3, "agent-w1", "w1", 7, "127.0.0.1:1", True)
        item.tasks(0, 0)[1].unexplained_losses.append(loss)
        stored = pipeline.decode_progress(pipeline.encode(item.progress()))
        restored = pipeline.Pipeline(declared, 1, stored, 0.0)
        losses = [t.unexplained_losses for t in restored.tasks(0, 0)]
        assert losses == [[], [loss]]

    def test_unexplained_losses_fit_in_a_row(self):
        """Guards against a refused row after the loss of many workers."""
        declared = pipelines.declare("a", pipelines.stage(10_000))
        item = pipeline.Pipeline(declared, 1, pipeline.Progress(), 0.0)
        for task in item.tasks(0, 0):
            for number in range(pipelinecrashes.MAX_UNEXPLAINED_LOSSES):
                loss = pipeline.Loss(
                    10**6 + number,
                    "h" * 38,
                    "w" * 38,
                    1_764_000_000_000,
                    "127.250.250.250:30000",
                )
                task.unexplained_losses.append(loss)
        stored = item.progress()
        assert stored.unexplained
        assert len(pipeline.encode(stored)) < 20_000


class Harness:
    """A crash tracker, two workers and the attempts on them."""

    def __init__(self):
        self.fleet = simfleet.Fleet(names=("w1", "w2"))
        self.fleet.run_for(1)
        self.registry = self.fleet.scheduler.registry
        self.workers = [pipelines.worker(name) for name in ("w1", "w2")]
        pacer = pacing.Pacer(METRICS)
        self.attempts = attempts.Attempts(pacer, METRICS)
        self.tracker = pipelinecrashes.CrashTracker(
            self.registry, self.attempts, METRICS
        )
        self.fleet.submit("a", pipelines.stage(2))
        self.fleet.submit("b", pipelines.stage(2))
        self.task = self.registry.find_task("a.0.0.0")

    def place(self, number, worker, reported=True):
        placement = fleet_module.Placement(self.task, number, worker, 0.0)
        placement.reported = reported
        self.task.pipeline.place(self.task, number)
        self.attempts.attach(placement)
        return placement

    def crash(
        self, number, host="h1", others=(), others_ran_ms=0, certain=True
    ):
        """Reports a crash under the task and the first attempts of others."""
        attempts = [("a.0.0.0", number, 10)]
        attempts += [(other, 1, 10 + others_ran_ms) for other in others]
        crash = messages.WorkerCrash("w9", 1, tuple(attempts), certain)
        return self.tracker.apply(host, crash)

    def list_running(self, worker, number, clock_ms):
        worker.state = pipelines.worker_state(
            worker.id,
            clock_ms=clock_ms,
            running=(("a.0.0.0", number, "", 1.0, 1.0),),
        )
        self.tracker.check()


class TestCrashTracker:
    def test_report_that_is_repeated_counts_once(self):
        harness = Harness()
        for _ in range(5):
            assert not harness.crash(1)
        assert harness.task.crashes == [pipeline.Crash(1, "h1", 1, 1)]
        assert harness.crash(2, "h2") == [harness.task]

    def test_crash_beside_another_pipeline_is_not_certain(self):
        harness = Harness()
        harness.crash(1, others=("b.0.0.0",))
        assert harness.task.crashes[0].suspects == 2
        harness.crash(2, others=("a.0.0.1",))
        assert harness.task.crashes[1].suspects == 1

    def test_crash_is_due_to_what_started_last(self):
        """Guards against healthy work that hides a deadly task.

        A crashed worker starts nothing: what started clearly before its last
        start did not crash it.
        """
        harness = Harness()
        harness.crash(1, others=("b.0.0.0",), others_ran_ms=200)
        other = harness.registry.find_task("b.0.0.0")
        assert harness.task.crashes[0].suspects == 1
        assert harness.task.suspect
        assert other.crashes[0].suspects == 0
        assert not other.suspect

    def test_others_are_cleared_of_the_crashes_of_a_task_given_up(self):
        """Guards against adding up crashes that deadly tasks have caused."""
        harness = Harness()
        other = harness.registry.find_task("b.0.0.0")
        assert not harness.crash(1, others=("b.0.0.0",))
        assert other.suspect
        assert harness.crash(2, "h2") == [harness.task]
        harness.task.pipeline.give_up(harness.task, 1)
        harness.tracker.clear_others(harness.task)
        assert other.crashes == [pipeline.Crash(1, "h1", 1, 0)]
        assert not other.suspect
        assert harness.task.suspect

    def test_others_are_cleared_of_what_an_earlier_leader_recorded(self):
        """Guards against failing healthy work after a change of the leader."""
        harness = Harness()
        harness.crash(1, "h1", others=("b.0.0.0",))
        other = harness.registry.find_task("b.0.0.0")
        assert other.suspect
        next_tracker = pipelinecrashes.CrashTracker(
            harness.registry, harness.attempts, METRICS
        )
        next_tracker.clear_others(harness.task)
        assert not other.suspect

    def test_unknown_and_ended_tasks_are_ignored(self):
        harness = Harness()
        harness.task.pipeline.end(pipeline.Phase.CANCELLED, 1)
        assert not harness.crash(1, others=("z.0.0.0",))
        assert not harness.task.crashes

    def test_task_that_runs_elsewhere_is_not_given_up_by_late_reports(self):
        """Guards against blaming a task that was restarted long ago.

        Two of its workers were away for so long that their leases lapsed.
        """
        harness = Harness()
        worker = harness.workers[0]
        placement = harness.place(3, worker)
        assert not harness.crash(1, "h1")
        assert not harness.crash(2, "h2")
        assert worker.unproven == {placement.key}
        harness.list_running(worker, 3, 7000)
        harness.list_running(worker, 3, 7400)
        assert harness.task.crashes
        harness.list_running(worker, 3, 7500)
        assert not harness.task.crashes
        assert not worker.unproven
        assert not harness.attempts.unproven
        assert not harness.crash(1, "h1")
        assert not harness.task.crashes

    def test_failure_of_an_attempt_acquits_its_task(self):
        fleet = simfleet.Fleet(names=names(4))
        fleet.run_for(1)
        fleet.submit("a", queue="recast")
        fleet.step()
        (host,) = [h for h in fleet.hosts.values() if h.runner.runs]
        host.runner.crash()
        for other in fleet.hosts.values():
            other.runner.failing = True
        while not host.crashes:
            fleet.step()
        assert fleet.stored_progress["a"].crashes
        while not fleet.stored_progress["a"].failed:
            fleet.step()
        assert not fleet.stored_progress["a"].crashes

    def test_attempt_that_ended_is_no_longer_unproven(self):
        harness = Harness()
        harness.crash(1)
        placement = harness.place(2, harness.workers[0])
        assert harness.attempts.unproven
        harness.attempts.detach(placement)
        assert not harness.attempts.unproven
        assert not harness.workers[0].unproven


class TestEarlyLosses:
    """Attempts are lost with workers whose crashes no agent reports."""

    def lose(self, harness, number, ended=True, **fields):
        """Loses an attempt; returns whether its task is to be given up."""
        worker = harness.workers[0]
        worker.state = pipelines.worker_state(worker.id, clock_ms=9000)
        placement = harness.place(number, worker)
        for name, value in fields.items():
            setattr(placement, name, value)
        hopeless = False
        if ended:
            hopeless = harness.tracker.record_loss(placement)
        else:
            harness.tracker.record_lapse(placement)
        harness.attempts.detach(placement)
        return hopeless

    def test_count_with_the_reported_crashes(self):
        harness = Harness()
        assert not harness.crash(1, others=("b.0.0.0",))
        for number in (1, 2, 3, 4):
            assert not self.lose(harness, number)
        assert self.lose(harness, 5)

    def test_do_not_add_up_over_an_attempt_that_ran(self):
        """Guards against giving up a lasting task in the course of time."""
        harness = Harness()
        for number in range(1, 40):
            listed_since_ms = 0 if number % 4 else 1000
            assert not self.lose(
                harness, number, listed_since_ms=listed_since_ms
            )

    def test_do_not_add_up_over_an_attempt_that_ended(self):
        harness = Harness()
        for number in range(1, 40):
            assert not self.lose(harness, number)
            if not number % 3:
                harness.tracker.apply_end(harness.task, number)

    def test_count_only_what_may_have_started(self):
        """Guards against blaming a task that waits to be stored."""
        harness = Harness()
        for number in range(1, 40):
            assert not self.lose(harness, number, reported=False)
            assert not self.lose(
                harness, 100 + number, state=fleet_module.AttemptState.STOPPING
            )
        assert not harness.task.early_losses

    def test_of_an_order_without_a_report_count(self):
        harness = Harness()
        lost = [
            self.lose(harness, number, reported=False, order_number=7)
            for number in range(1, 5)
        ]
        assert lost == [False] * 3 + [True]

    def test_are_forgotten_once_an_attempt_runs_for_long(self):
        """Guards against LOST: early losses add up over long runs."""
        harness = Harness()
        for number in (1, 2, 3):
            assert not self.lose(harness, number)
        harness.place(4, harness.workers[1])
        harness.list_running(harness.workers[1], 4, 1000)
        harness.list_running(harness.workers[1], 4, 2900)
        assert harness.task.early_losses == {1, 2, 3}
        harness.list_running(harness.workers[1], 4, 3000)
        assert not harness.task.early_losses

    def test_do_not_stop_a_copy_that_runs(self):
        harness = Harness()
        harness.place(99, harness.workers[1])
        for number in range(1, 40):
            assert not self.lose(harness, number)

    def test_are_logged_with_what_is_known_of_the_worker(self, caplog):
        """Guards against a give-up whose log shows no cause."""
        harness = Harness()
        self.lose(harness, 1)
        self.lose(harness, 2, ended=False)
        number = events.Events.ATTEMPT_LOST.value.number
        rows = [r for r in caplog.records if r.event == number]
        assert [(r.attempt, r.cause, r.losses) for r in rows] == [
            (1, "ended", 1),
            (2, "lapsed", 1),
        ]

    @pytest.mark.parametrize("is_heard", [True, False])
    def test_workers_that_leave_count_for_none(self, is_heard):
        """Guards against blaming tasks for planned shutdowns.

        Their drains may be unknown to the leader.
        """
        harness = Harness()
        fleet = harness.fleet
        fleet.step()
        for worker in fleet.scheduler.workers.values():
            worker.state = pipelines.worker_state(worker.id, draining=is_heard)
        for host in fleet.hosts.values():
            host.ended.append(host.key)
        fleet.scheduler.apply_report(
            messages.AgentReport(
                "agent-w1",
                1,
                10**9,
                False,
                (),
                gone=tuple(fleet.scheduler.workers),
                blameless=() if is_heard else tuple(fleet.scheduler.workers),
            ),
            "bus",
            "life",
            fleet.now,
        )
        assert not fleet.scheduler.workers
        assert harness.task.phase is pipeline.TaskPhase.READY
        assert not harness.task.early_losses


class TestUnexplainedLosses:
    """The leases of a worker lapse; whether it has crashed is known later."""

    AGENT = "agent-w1"

    def lose(self, harness, life):
        """Loses an attempt on an incarnation of a worker."""
        worker = pipelines.worker("w1", incarnation=life, address="127.0.0.1:1")
        placement = harness.place(life, worker)
        harness.tracker.record_lapse(placement)
        harness.attempts.detach(placement)

    def report(self, *states, lives=(), addresses=None, gone=()):
        return messages.AgentReport(
            self.AGENT, 1, 1, True, lives, states, gone, addresses or {}
        )

    def test_do_not_count_until_they_are_explained(self):
        """Guards against LOST: a task is given up while nothing is known."""
        harness = Harness()
        for life in range(1, 40):
            self.lose(harness, life)
        assert not harness.task.counted_losses
        assert len(harness.task.unexplained_losses) == 8

    def test_are_dropped_if_the_incarnation_answers(self):
        harness = Harness()
        for life in range(1, 40):
            self.lose(harness, life)
            state = pipelines.worker_state("w1", life)
            assert not harness.tracker.explain(self.report(state))
            assert not harness.task.unexplained_losses
        assert not harness.task.counted_losses

    @pytest.mark.parametrize(
        "evidence",
        [
            {"gone": (("w1", 1), ("w1", 2), ("w1", 3), ("w1", 4))},
            {"lives": (("w1", 9),)},
            {"lives": (("w2", 9),), "addresses": {"w2": "127.0.0.1:1"}},
        ],
        ids=["gone", "same id", "same address"],
    )
    def test_count_if_the_incarnation_has_ended(self, evidence):
        """Guards against BUDGET: crashes are found out after the lapse."""
        harness = Harness()
        for life in (1, 2, 3, 4):
            self.lose(harness, life)
        report = self.report(**evidence)
        assert harness.tracker.explain(report) == [harness.task]
        assert harness.task.early_losses == {1, 2, 3, 4}
        assert not harness.tracker.explain(report)

    def test_of_another_worker_stay_unexplained(self):
        harness = Harness()
        self.lose(harness, 5)
        for report in (
            self.report(lives=(("w1", 4),)),
            self.report(lives=(("w2", 9),), addresses={"w2": "127.0.0.1:2"}),
            self.report(pipelines.worker_state("w1", 5, reachable=False)),
            self.report(pipelines.worker_state("w1", 5, fresh=False)),
            messages.AgentReport("other", 1, 1, True, (("w1", 9),)),
        ):
            assert not harness.tracker.explain(report)
        assert len(harness.task.unexplained_losses) == 1

    def test_count_while_an_agent_in_touch_finds_the_worker_silent(self):
        """Guards against BUDGET: workers that crash are away for long."""
        harness = Harness()
        states = []
        for life in (1, 2, 3, 4):
            self.lose(harness, life)
            states.append(
                pipelines.worker_state(
                    "w1", life, fresh=False, reachable=False, silent=True
                )
            )
        assert not harness.tracker.explain(self.report(*states[:3]))
        assert harness.task.counted_losses == {1, 2, 3}
        assert harness.tracker.explain(self.report(*states)) == [harness.task]

    def test_silence_no_longer_counts_if_the_incarnation_answers(self):
        """Guards against LOST: workers were frozen, or cut off."""
        harness = Harness()
        for life in range(1, 40):
            self.lose(harness, life)
            silent = pipelines.worker_state(
                "w1", life, fresh=False, reachable=False, silent=True
            )
            assert not harness.tracker.explain(self.report(silent))
            assert harness.task.counted_losses == {life}
            state = pipelines.worker_state("w1", life)
            assert not harness.tracker.explain(self.report(state))
        assert not harness.task.counted_losses

    def test_silence_no_longer_counts_if_the_agent_takes_it_back(self):
        """Guards against LOST: the agent was suspended in its next call."""
        harness = Harness()
        self.lose(harness, 1)
        fields = {"fresh": False, "reachable": False, "lapsed": True}
        for silent, counted in ((True, {1}), (False, set()), (None, {1})):
            state = pipelines.worker_state("w1", 1, silent=silent, **fields)
            harness.tracker.explain(self.report(state))
            assert harness.task.counted_losses == counted

    def test_of_a_worker_with_a_blameless_end_count_for_nothing(self):
        """Guards against LOST: a worker leaves by plan after the lapse."""
        harness = Harness()
        for life in (1, 2, 3, 4):
            self.lose(harness, life)
        ended = tuple(("w1", life) for life in (1, 2, 3, 4))
        report = messages.AgentReport(
            self.AGENT, 1, 1, True, (("w1", 9),), gone=ended, blameless=ended
        )
        assert not harness.tracker.explain(report)
        assert not harness.task.has_losses

    def test_are_awaited_no_longer_once_the_task_has_ended(self):
        """Guards against memory that is kept for hosts that never return."""
        fleet = simfleet.Fleet(names=names(2))
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage(2, estimate_ms=20_000))
        fleet.step()
        fleet.hosts["w0"].partitioned = True
        fleet.hosts["w1"].partitioned = True
        fleet.run_for(10)
        tracker = fleet.scheduler._crashes
        assert tracker._unexplained
        fleet.cancel("a")
        assert not tracker._unexplained

    def test_are_explained_by_an_agent_that_restarted_meanwhile(self):
        """Guards against BUDGET: it knows the successor of the worker only."""
        fleet = simfleet.Fleet(names=names(8))
        fleet.rebirth_s = 12.0
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.loses_crashes = True
        fleet.deadly.add("a.0.0.0")
        fleet.submit("a")
        for _ in range(900):
            for host in fleet.hosts.values():
                host.partitioned = host.runner.crashed
                host.ended.clear()
            fleet.step()
        assert start_counts(fleet)["a.0.0.0"] <= ALLOWED_STARTS
        assert fleet.phase("a") is FAILED

    def test_do_not_fail_a_task_that_an_earlier_leader_started(self):
        """Guards against LOST: it runs, but its agent has not reported yet."""
        fleet = working_fleet(3, 60_000)
        fleet.submit("a", pipelines.stage(estimate_ms=60_000))
        fleet.run_for(1)
        ((_, name),) = fleet.running()
        other = next(n for n in fleet.hosts if n != name)
        fleet.stored_progress["a"] = pipeline.Progress(
            placed={},
            lost={"0.0.0": [90, 91, 92]},
            unexplained={
                "0.0.0": [pipeline.Loss(93, f"agent-{other}", other, 0)]
            },
        )
        fleet.hosts[name].partitioned = True
        fleet.start_leader()
        fleet.run_for(2)
        fleet.hosts[name].partitioned = False
        fleet.run_for(4)
        assert fleet.phase("a") is RUNNING
        assert not fleet.stored_progress["a"].lost

    def test_do_not_add_up_over_an_attempt_that_ended(self):
        harness = Harness()
        self.lose(harness, 1)
        harness.tracker.apply_end(harness.task, 2)
        assert not harness.task.unexplained_losses

    def test_of_an_earlier_leader_are_explained_to_the_next_one(self):
        """Guards against BUDGET: the leader changes before the explanation."""
        fleet = simfleet.Fleet(names=names(8))
        fleet.rebirth_s = 9.0
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.loses_crashes = True
        fleet.deadly.add("a.0.0.0")
        fleet.submit("a")
        fleet.run_for(0.2)
        host = fleet.hosts[fleet.starts[0][1]]
        host.partitioned = True
        fleet.run_for(8.4)
        assert fleet.stored_progress["a"].unexplained
        fleet.start_leader(gap_s=0.5)
        host.partitioned = False
        fleet.run_for(2)
        assert fleet.stored_progress["a"].lost["0.0.0"] == [1]


class TestSeparation:
    def suspect(self, *hosts):
        declared = pipelines.declare("s")
        item = pipeline.Pipeline(declared, 1, pipeline.Progress(), 100.0)
        task = item.tasks(0, 0)[0]
        for number, host in enumerate(hosts):
            task.crashes.append(pipeline.Crash(number, host, 1, 2))
        task.kept_apart_s = 100.0
        return task

    def chosen(self, task, workers, now):
        return [w.id for w in pipelinecrashes.separated(task, workers, now)]

    def test_suspect_starts_apart_from_suspects_and_new_attempts(self):
        workers = [pipelines.worker(f"w{n}") for n in range(4)]
        task = self.suspect("agent-w0")
        workers[1].unproven.add(("x.0.0.0", 1))
        pipelines.place(workers[2], pipelines.stage(), now=99.55)
        pipelines.place(workers[3], pipelines.stage(), now=90.0)
        assert self.chosen(task, workers, 100.0) == ["w3"]
        assert self.chosen(task, workers[:3], 100.0) == []
        assert self.chosen(task, workers[:3], 99.9) == []
        assert self.chosen(task, workers[:3], 100.1) == ["w2"]

    def test_waits_are_bounded(self):
        workers = [pipelines.worker(f"w{n}") for n in range(2)]
        workers[1].unproven.add(("x.0.0.0", 1))
        once, twice = self.suspect("agent-w0"), self.suspect("agent-w0", "h")
        late = 100.0 + pipelinecrashes.MAX_ISOLATION_WAIT_S
        later = 100.0 + pipelinecrashes.MAX_SEPARATION_WAIT_S
        assert self.chosen(once, workers, late - 0.1) == []
        assert self.chosen(once, workers, late) == ["w1"]
        assert self.chosen(twice, workers, late) == []
        assert self.chosen(twice, workers, later) == ["w1"]
        assert self.chosen(once, workers[:1], late) == ["w0"]

    def test_time_without_room_is_no_wait(self):
        """Guards against suspects that all start at once on a full fleet.

        A fleet whose workers were away has room again for all of them.
        """
        workers = [pipelines.worker(f"w{n}") for n in range(2)]
        workers[1].unproven.add(("x.0.0.0", 1))
        task = self.suspect("agent-w0")
        task.kept_apart_s = 0.0
        assert self.chosen(task, [], 50.0) == []
        assert self.chosen(task, workers, 100.0) == []
        late = 100.0 + pipelinecrashes.MAX_ISOLATION_WAIT_S
        assert self.chosen(task, workers, late) == ["w1"]

    def test_new_attempts_prefer_workers_without_suspects(self):
        workers = [pipelines.worker(f"w{n}", cores=8 - n) for n in range(2)]
        workers[0].unproven.add(("x.0.0.0", 1))
        declared = pipelines.declare("p")
        item = pipeline.Pipeline(declared, 1, pipeline.Progress(), 0.0)
        task = item.tasks(0, 0)[0]
        pacer = pacing.Pacer(METRICS)
        choice = pipelineplacement.choose(task, workers, pacer, 0.0)
        assert choice is workers[1]
        choice = pipelineplacement.choose(task, workers[:1], pacer, 0.0)
        assert choice is workers[0]

    def test_suspects_without_room_hold_up_no_others(self):
        """Guards against a limit that the same suspects use up each round."""
        fleet = simfleet.Fleet(names=names(2))
        fleet.run_for(1)
        count = 2 * pipelinestarts.MAX_SUSPECT_SEARCHES
        fleet.submit("a", pipelines.stage(count, millicores=10**6))
        fleet.submit("b", pipelines.stage(1))
        registry = fleet.scheduler.registry
        for name in ("a", "b"):
            for task in registry.pipelines[name].tasks(0, 0):
                task.crashes.append(pipeline.Crash(1, "h", 1, 2))
        fleet.run_for(3)
        assert fleet.phase("b") is COMPLETED

    def test_one_round_compares_few_suspects_with_all_workers(
        self, monkeypatch
    ):
        """Guards against rounds that take long on a wide fleet."""
        fleet = simfleet.Fleet(names=names(2))
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage(100, millicores=10))
        item = fleet.scheduler.registry.pipelines["a"]
        for task in item.tasks(0, 0):
            task.crashes.append(pipeline.Crash(1, "h", 1, 2))
        calls = []
        separated = pipelinecrashes.separated

        def count(task, *arguments):
            calls.append(task.id)
            return separated(task, *arguments)

        monkeypatch.setattr(pipelinecrashes, "separated", count)
        fleet.step()
        assert len(calls) == pipelinestarts.MAX_SUSPECT_SEARCHES
