import collections
import random

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from pomelostair import events
from pomelostair import fleet as fleet_module
from pomelostair import pipeline
from pomelostair import pipelinemessages as messages
from pomelostair import queues
from tests import boundaryvalues
from tests import faultfleet
from tests import pipelines
from tests import simfleet

COMPLETED = pipeline.Phase.COMPLETED
GONE = events.Events.PIPELINE_WORKER_GONE


def started_runs(fleet):
    return [row for host in fleet.hosts.values() for row in host.runner.started]


class TestScheduling:
    def test_pipelines_are_completed_without_faults(self):
        fleet = simfleet.Fleet()
        fleet.run_for(1)
        for number in range(5):
            fleet.submit(
                f"p{number}",
                pipelines.stage(4),
                pipelines.stage(2, after=(0,)),
            )
        fleet.run_for(5)
        assert all(fleet.phase(f"p{n}") is COMPLETED for n in range(5))
        assert len(started_runs(fleet)) == 30

    def test_phase_is_reported_only_once_it_is_stored(self):
        fleet = simfleet.Fleet()
        fleet.run_for(1)
        fleet.submit("a")
        fleet._commit = lambda: None
        fleet.run_for(3)
        assert ("a.0.0.0", 1, "done") in fleet.finished
        assert fleet.phase("a") is pipeline.Phase.RUNNING
        assert all(
            host.runner.ended
            for host in fleet.hosts.values()
            if host.runner.started
        )

    def test_pipeline_fails_after_max_attempts(self):
        fleet = simfleet.Fleet()
        for host in fleet.hosts.values():
            host.runner.failing = True
        fleet.run_for(1)
        fleet.submit("a")
        fleet.run_for(20)
        assert fleet.phase("a") is pipeline.Phase.FAILED
        assert len(started_runs(fleet)) == pipelines.QUEUE.max_attempts

    def test_one_failing_worker_fails_no_pipeline(self):
        fleet = simfleet.Fleet()
        fleet.hosts["w2"].runner.failing = True
        fleet.run_for(1)
        for number in range(12):
            fleet.submit(f"p{number}", pipelines.stage(3), queue="fit")
            fleet.run_for(0.5)
        fleet.run_for(10)
        assert all(fleet.phase(f"p{n}") is COMPLETED for n in range(12))

    def test_cancelled_pipeline_stops_and_starts_nothing(self):
        fleet = simfleet.Fleet()
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage(3, lasting=True))
        for host in fleet.hosts.values():
            host.runner.lasting = True
        fleet.run_for(1)
        assert len(fleet.running()) == 3
        fleet.cancel("a")
        fleet.run_for(1)
        assert not fleet.running()
        assert fleet.phase("a") is pipeline.Phase.CANCELLED

    def test_stalled_attempt_is_retried_on_another_worker(self):
        fleet = simfleet.Fleet()
        fleet.run_for(1)
        fleet.hosts["w1"].runner.hung = True
        for number in range(6):
            fleet.submit(f"p{number}")
        fleet.run_for(8)
        assert all(fleet.phase(f"p{n}") is COMPLETED for n in range(6))

    def test_task_that_fits_no_worker_waits_and_is_logged_once(self, caplog):
        caplog.set_level("WARNING")
        fleet = simfleet.Fleet(cores=8)
        fleet.run_for(1)
        fleet.submit("large", pipelines.stage(millicores=9000))
        fleet.run_for(3)
        assert fleet.phase("large") is pipeline.Phase.QUEUED
        warnings = [r for r in caplog.records if getattr(r, "event", 0) == 434]
        assert [r.pipeline for r in warnings] == ["large"]

    def test_draining_worker_is_not_schedulable(self):
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        worker = next(iter(fleet.scheduler.workers.values()))
        worker.state = pipelines.worker_state("w1", draining=True)
        assert not worker.is_schedulable(fleet.now)


class TestFiller:
    def test_filler_is_not_starved_by_serving_tasks(self):
        """Guards against a filler that never runs.

        Its image raises the latency of every service on every worker, so no
        placement is without interference.
        """
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        runner = fleet.hosts["w1"].runner
        runner.lasting = True
        serving = pipelines.stage(
            lasting=True, latency_target_ms=1.0, image="service"
        )
        fleet.submit("service", serving)
        fleet.run_for(1)
        runner.lasting = False
        fleet.submit("filler", pipelines.stage(filler=True, image="noisy"))
        fleet.run_for(30)
        assert fleet.phase("filler") is COMPLETED


class TestPending:
    def test_pipeline_whose_start_was_not_carried_out_waits(self):
        """Guards against MIXED: it counts as begun from its first order on."""
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage())
        fleet.hosts["w1"].partitioned = True
        fleet.run_for(10)
        assert not fleet.starts
        assert fleet.scheduler.registry.pending() == {"recast": 1}


class TestAttemptLimit:
    """The limit of a queue that is missing while an attempt fails."""

    def fail_without_queue(self, queue):
        """Returns a fleet in which the last attempt failed without a queue."""
        fleet = simfleet.Fleet(names=("w1", "w2", "w3"))
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.failing = True
        fleet.submit("a", queue=queue.name)
        while len(started_runs(fleet)) < queue.max_attempts:
            fleet.step()
        fleet.scheduler.set_queues(queues.QueueTable(2))
        fleet.run_for(3)
        assert fleet.phase("a") is pipeline.Phase.RUNNING
        return fleet

    @pytest.mark.parametrize("leader_changes", [False, True])
    @pytest.mark.parametrize(
        "queue", pipelines.TABLE.queues, ids=lambda q: q.name
    )
    def test_holds_once_the_queue_is_back(self, queue, leader_changes):
        """Guards against attempts beyond the limit (review/5, BUDGET)."""
        fleet = self.fail_without_queue(queue)
        if leader_changes:
            fleet.start_leader()
        fleet.scheduler.set_queues(attrs.evolve(pipelines.TABLE, version=3))
        fleet.run_for(3)
        assert fleet.phase("a") is pipeline.Phase.FAILED
        assert len(started_runs(fleet)) == queue.max_attempts

    def test_lower_limit_leaves_the_running_attempt_alone(self):
        """It may be done, and its caller has waited for it."""
        fleet = simfleet.Fleet(names=("w1",))
        runner = fleet.hosts["w1"].runner
        runner.failing = True
        fleet.run_for(1)
        fleet.submit("a")
        while len(started_runs(fleet)) < 2:
            fleet.step()
        for run in runner.runs.values():
            run.fails = False
        lowered = attrs.evolve(pipelines.QUEUE, max_attempts=1)
        fleet.scheduler.set_queues(queues.QueueTable(2, (lowered,)))
        fleet.run_for(3)
        assert fleet.phase("a") is COMPLETED


class TestPartialLists:
    """Workers list the oldest of many ends; later lists have the others."""

    @staticmethod
    def fleet_with_unlisted_ends(names, tasks, max_listed_ends):
        """Returns a fleet with a new leader, and ends in many lists.

        All tasks have ended while nobody led. One more runs on.
        """
        fleet = simfleet.Fleet(names=names)
        for host in fleet.hosts.values():
            host.runner.max_listed_ends = max_listed_ends
        fleet.run_for(1)
        stage = pipelines.stage(tasks, millicores=50, estimate_ms=300)
        fleet.submit("a", stage)
        fleet.run_for(0.2)
        for host in fleet.hosts.values():
            host.runner.work_ms = 20_000
        fleet.submit("b", pipelines.stage(estimate_ms=20_000))
        fleet.run_for(0.2)
        assert len(started_runs(fleet)) == tasks + 1
        fleet.start_leader(gap_s=1.0)
        assert sum(len(h.runner.ended) for h in fleet.hosts.values()) == tasks
        return fleet

    @pytest.mark.parametrize("leaders", [1, 2, 3])
    def test_no_task_runs_again_though_its_end_is_listed_later(self, leaders):
        """Guards against starts of work that is done (review/6, TWICE)."""
        fleet = self.fleet_with_unlisted_ends(("w1", "w2"), 40, 5)
        for _ in range(leaders - 1):
            fleet.run_for(0.2)
            fleet.start_leader()
        fleet.run_for(3)
        assert fleet.phase("a") is COMPLETED
        assert len(started_runs(fleet)) == 41

    def test_no_task_runs_again_though_the_lists_outlast_a_lease(self):
        """Guards against taking the leases of a listed worker for lapsed.

        The leader extends them all the while, so that its ends still count.
        """
        fleet = self.fleet_with_unlisted_ends(("w1",), 60, 1)
        fleet.run_for(simfleet.LEASE_S + 1)
        assert fleet.scheduler.unreported_agents
        fleet.run_for(6)
        assert fleet.phase("a") is COMPLETED
        assert len(started_runs(fleet)) == 61
        assert not [how for _, _, how in fleet.finished if how == "lapsed"]

    @pytest.mark.parametrize("seed", range(12))
    def test_no_task_runs_again_under_random_faults(self, seed):
        """Leaders change, agents restart and are cut off for a while.

        No lease lapses, so that each end counts.
        """
        choices = random.Random(seed)
        fleet = simfleet.Fleet()
        for host in fleet.hosts.values():
            host.runner.max_listed_ends = choices.randint(3, 8)
            host.runner.work_ms = choices.choice([200, 600, 1500])
        fleet.run_for(1)
        tasks = 0
        for number in range(12):
            count = choices.randint(5, 40)
            tasks += 2 * count
            stage = pipelines.stage(count, millicores=50)
            fleet.submit(f"p{number}", stage, attrs.evolve(stage, after=(0,)))
            cut = choices.choice(sorted(fleet.hosts))
            fleet.hosts[cut].partitioned = choices.random() < 0.5
            if choices.random() < 0.3:
                fleet.restart_agent(choices.choice(sorted(fleet.hosts)))
            if choices.random() < 0.6:
                fleet.start_leader(gap_s=choices.choice([0.1, 0.5, 1.0]))
            fleet.run_for(choices.choice([0.2, 0.5, 1.0]))
            fleet.hosts[cut].partitioned = False
        fleet.run_for(60)
        assert all(fleet.phase(name) is COMPLETED for name in fleet.rows)
        ended = collections.Counter(how for _, _, how in fleet.finished)
        assert ended["done"] == tasks
        assert "lapsed" not in ended

    def test_log_tells_when_all_ends_are_known(self, caplog):
        caplog.set_level("INFO")
        fleet = self.fleet_with_unlisted_ends(("w1",), 20, 5)
        caplog.clear()
        fleet.run_for(3)
        known = events.Events.EARLIER_ATTEMPTS_KNOWN.value.number
        rows = [r for r in caplog.records if getattr(r, "event", 0) == known]
        assert [(r.epoch, r.ends) for r in rows] == [(2, 20)]
        assert rows[0].partial_lists >= 3

    def test_no_task_runs_again_after_a_restart_of_the_agent(self):
        """Guards against taking unlisted ends for starts without effect."""
        fleet = simfleet.Fleet(names=("w1",))
        fleet.hosts["w1"].runner.max_listed_ends = 2
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage(20, millicores=50))
        fleet.run_for(0.2)
        fleet.hosts["w1"].partitioned = True
        fleet.run_for(0.5)
        fleet.restart_agent("w1")
        fleet.hosts["w1"].partitioned = False
        fleet.run_for(3)
        assert fleet.phase("a") is COMPLETED
        assert len(started_runs(fleet)) == 20


class TestLostWorker:
    def test_its_work_is_retried_only_after_its_leases_lapsed(self):
        fleet = simfleet.Fleet(names=("w1", "w2"))
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 20_000
        fleet.submit("a", pipelines.stage(2, estimate_ms=20_000))
        fleet.run_for(1)
        lost = fleet.hosts["w1"]
        lost.partitioned = True
        for _ in range(150):
            fleet.step()
            copies = collections.Counter(task for task, _ in fleet.running())
            assert max(copies.values(), default=0) <= 1
        assert len(fleet.hosts["w2"].runner.started) == 2

    def test_work_of_a_restarted_worker_is_retried_at_once(self):
        fleet = simfleet.Fleet()
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage(6))
        fleet.step()
        fleet.step()
        fleet.restart_worker("w1")
        fleet.run_for(3)
        assert fleet.phase("a") is COMPLETED

    def test_unanswered_start_is_fenced_off_before_a_retry(self):
        fleet = simfleet.Fleet(names=("w1", "w2"))
        fleet.run_for(1)
        fleet.hosts["w1"].delays_starts = True
        fleet.hosts["w2"].delays_starts = True
        fleet.submit("a", pipelines.stage(4))
        fleet.run_for(1)
        fleet.hosts["w1"].delays_starts = fleet.hosts["w2"].delays_starts = (
            False
        )
        fleet.run_for(8)
        assert fleet.phase("a") is COMPLETED
        done = collections.Counter(
            task for task, _, how in fleet.finished if how == "done"
        )
        assert set(done.values()) == {1}


class TestRestartedAgent:
    @pytest.mark.parametrize("earlier_orders", [0, 3])
    def test_refusal_after_the_leases_lapsed_is_applied(self, earlier_orders):
        """Guards against a LOST task whose refused start is never noticed.

        The results of the agent's new process count from 1. The leader took
        them for results that it had applied before the worker was removed.
        """
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        for number in range(earlier_orders):
            fleet.submit(f"p{number}")
            fleet.run_for(1)
        host = fleet.hosts["w1"]
        host.partitioned = True
        fleet.run_for(simfleet.LEASE_S + 1)
        assert not fleet.scheduler.workers
        fleet.restart_agent("w1")
        host.partitioned = False
        start, refusals = host.runner.start, ["room"]
        host.runner.start = lambda *order: (
            refusals.pop() if refusals else start(*order)
        )
        fleet.submit("late")
        fleet.run_for(5)
        assert not refusals
        assert fleet.phase("late") is COMPLETED


class TestCapacity:
    """The capacity of a worker changes while it runs."""

    def used_millicores(self, fleet):
        return simfleet.capacity_used(fleet, "w1").millicores

    def test_shrunk_worker_gets_nothing_that_does_not_fit(self):
        fleet = simfleet.Fleet(("w1",), cores=8)
        fleet.hosts["w1"].runner.work_ms = 500
        fleet.submit("a", pipelines.stage(40))
        fleet.run_for(1)
        assert self.used_millicores(fleet) == 8000
        fleet.resize_worker("w1", 3)
        fleet.run_for(1.5)
        for _ in range(20):
            fleet.step()
            assert 0 < self.used_millicores(fleet) <= 3000
        assert not fleet.oversized_starts

    def test_regrown_worker_is_used_again(self):
        fleet = simfleet.Fleet(("w1",), cores=8)
        fleet.hosts["w1"].runner.work_ms = 60_000
        fleet.resize_worker("w1", 0)
        fleet.run_for(1.5)
        fleet.submit("a", pipelines.stage(8))
        fleet.run_for(2)
        assert not fleet.running()
        fleet.resize_worker("w1", 8)
        fleet.run_for(1.5)
        assert self.used_millicores(fleet) == 8000

    def test_start_repeated_after_the_worker_shrank_is_refused(self):
        """LIMIT: a lost order rests on the room at its first sending."""
        fleet = simfleet.Fleet(("w1",), cores=8)
        host = fleet.hosts["w1"]
        host.runner.work_ms = 60_000
        fleet.run_for(0.5)
        host.partitioned = True
        fleet.submit("a", pipelines.stage(8))
        fleet.run_for(0.2)
        fleet.resize_worker("w1", 3)
        fleet.run_for(1.2)
        host.partitioned = False
        fleet.run_for(10)
        assert self.used_millicores(fleet) == 3000
        assert not fleet.oversized_starts

    def test_what_is_being_stopped_counts(self):
        fleet = simfleet.Fleet(("w1",), cores=4)
        host = fleet.hosts["w1"]
        host.runner.work_ms = 60_000
        fleet.submit("a", pipelines.stage(4))
        fleet.run_for(1)
        fleet.submit("b", pipelines.stage(4))
        fleet.resize_worker("w1", 2)
        fleet.run_for(1.5)
        fleet.cancel("a")
        for _ in range(30):
            fleet.step()
            running = {task for task, _ in fleet.running()}
            assert len(running) <= 2 or not any(
                task.startswith("b") for task in running
            )
        assert self.used_millicores(fleet) == 2000
        assert not fleet.oversized_starts


class TestReports:
    def test_overtaken_report_removes_nothing(self):
        """Guards against applying reports out of order.

        On a congested link, an old report arrives after a newer one that was
        sent over a new connection.
        """
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        fleet.submit("a")
        fleet.step()
        key = ("w1", fleet.hosts["w1"].runner.born_ms)
        running = (("a.0.0.0", 1, "", 10.0, 500.0),)

        def report(sequence, state, agent_incarnation="life"):
            message = messages.AgentReport(
                "agent-w1", 1, sequence, True, (key,), (state,)
            )
            fleet.scheduler.apply_report(
                message, "bus", agent_incarnation, fleet.now
            )
            return fleet.scheduler.workers[key].placements

        later = 10_000_000
        listed = pipelines.worker_state(
            "w1", key[1], 8, running=running, received=9
        )
        assert ("a.0.0.0", 1) in report(later, listed)
        earlier = pipelines.worker_state("w1", key[1], 8, received=9)
        assert ("a.0.0.0", 1) in report(later - 1, earlier)
        assert ("a.0.0.0", 1) not in report(later + 1, earlier)

    def test_late_report_of_an_earlier_agent_process_removes_nothing(self):
        """Guards against a second run beside one that a late list lacks."""
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        fleet.submit("a")
        fleet.step()
        key = ("w1", fleet.hosts["w1"].runner.born_ms)
        running = (("a.0.0.0", 1, "", 10.0, 500.0),)
        for incarnation, started_ms, rows in (
            ("later", 2000, running),
            ("earlier", 1000, ()),
        ):
            state = pipelines.worker_state(*key, 8, running=rows, received=9)
            report = messages.AgentReport(
                "agent-w1", 1, 1, True, (key,), (state,), started_ms=started_ms
            )
            fleet.scheduler.apply_report(report, "bus", incarnation, fleet.now)
        assert ("a.0.0.0", 1) in fleet.scheduler.workers[key].placements

    def test_orders_lost_before_a_later_one_are_carried_out(self):
        """The simulated agent took a later order as the receipt of all."""
        fleet = simfleet.Fleet(("w1",), cores=8)
        fleet.run_for(0.5)
        fleet.hosts["w1"].partitioned = True
        fleet.submit("a", pipelines.stage(2))
        fleet.run_for(0.2)
        fleet.hosts["w1"].partitioned = False
        fleet.submit("b", pipelines.stage(2))
        fleet.run_for(10)
        assert fleet.phase("a") is fleet.phase("b") is COMPLETED

    def test_new_incarnation_of_an_agent_restarts_its_sequence(self):
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        key = ("w1", fleet.hosts["w1"].runner.born_ms)
        for sequence, agent_incarnation in (
            (50_000_000, "life"),
            (1, "life-2"),
        ):
            state = pipelines.worker_state("w1", key[1], 8, clock_ms=sequence)
            message = messages.AgentReport(
                "agent-w1", 1, sequence, True, (key,), (state,)
            )
            fleet.scheduler.apply_report(
                message, "bus", agent_incarnation, fleet.now
            )
        assert fleet.scheduler.workers[key].state.clock_ms == 1
        assert fleet.scheduler.last_report("agent-w1") == 1

    def test_worker_without_leases_is_removed_once(self, caplog):
        """Its agent reports the lapsed leases several times a second."""
        caplog.set_level("INFO")
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        key = ("w1", fleet.hosts["w1"].runner.born_ms)
        fleet.hosts["w1"].partitioned = True
        lapsed = pipelines.worker_state(
            *key, fresh=False, reachable=False, lapsed=True
        )
        for sequence in range(10):
            report = messages.AgentReport(
                "agent-w1", 1, 10_000_000 + sequence, True, (key,), (lapsed,)
            )
            fleet.scheduler.apply_report(report, "bus", "life", fleet.now)
            fleet.step()
        gone = [r for r in caplog.records if r.event == GONE.value.number]
        assert len(gone) == 1
        assert not fleet.agents["agent-w1"].lives
        fleet.hosts["w1"].partitioned = False
        fleet.hosts["w1"].epoch = 0
        state = pipelines.worker_state(*key)
        report = messages.AgentReport(
            "agent-w1", 1, 20_000_000, True, (key,), (state,)
        )
        fleet.scheduler.apply_report(report, "bus", "life", fleet.now)
        assert key in fleet.scheduler.workers

    def test_agent_without_reports_has_no_last_one(self):
        assert simfleet.Fleet().scheduler.last_report("agent-w9") == 0


class TestReportInterval:
    def test_worker_on_which_room_is_kept_reports_often(self):
        """Guards against waits for a report, once the room is there."""
        fleet = simfleet.Fleet(("w1",))
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage(1, 500, lasting=True))
        task = fleet.scheduler.registry.find_task("a.0.0.0")
        (worker,) = fleet.scheduler.workers.values()
        usual_s = fleet.scheduler.report_interval_s(worker)
        worker.reserve(task, fleet.now + 1.0)
        assert fleet.scheduler.report_interval_s(worker) < usual_s / 4
        worker.cancel_reservation(task)
        assert fleet.scheduler.report_interval_s(worker) == usual_s


class TestTakeover:
    def test_new_leader_adopts_running_attempts(self):
        fleet = simfleet.Fleet()
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 5_000
        fleet.submit("a", pipelines.stage(6, estimate_ms=5_000))
        fleet.run_for(1)
        fleet.start_leader(gap_s=1.0)
        fleet.run_for(8)
        assert fleet.phase("a") is COMPLETED
        assert len(started_runs(fleet)) == 6

    def test_unreported_worker_delays_older_work_until_its_leases_lapsed(self):
        fleet = simfleet.Fleet(names=("w1", "w2"))
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 30_000
        fleet.submit("a", pipelines.stage(2, estimate_ms=30_000))
        fleet.run_for(1)
        fleet.hosts["w1"].partitioned = True
        fleet.start_leader()
        fleet.submit("b", pipelines.stage(1))
        fleet.run_for(1)
        assert any(task.startswith("b.") for task, _ in fleet.running())
        for _ in range(140):
            fleet.step()
            copies = collections.Counter(task for task, _ in fleet.running())
            assert max(copies.values()) <= 1
        on_w2 = [t for t, w in fleet.running() if w == "w2"]
        assert sum(task.startswith("a.") for task in on_w2) == 2

    def test_worker_without_leases_does_not_delay_older_work(self):
        """A worker that is lost for good must not delay each later leader.

        Its agent still lists it, and reports that its leases have lapsed.
        """
        fleet = simfleet.Fleet(names=("w1", "w2"))
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage(2, estimate_ms=30_000))
        key = ("w1", fleet.hosts["w1"].runner.born_ms)
        fleet.hosts["w1"].partitioned = True
        fleet.start_leader()
        fleet.run_for(0.3)
        assert fleet.scheduler.unreported_agents == ("agent-w1",)
        assert not fleet.running()
        lapsed = pipelines.worker_state(
            *key, fresh=False, reachable=False, lapsed=True
        )
        report = messages.AgentReport("agent-w1", 2, 1, True, (key,), (lapsed,))
        fleet.scheduler.apply_report(report, "bus", "life", fleet.now)
        assert not fleet.scheduler.unreported_agents
        fleet.run_for(0.3)
        assert [worker for _, worker in fleet.running()] == ["w2", "w2"]

    def test_lost_host_delays_one_leader_only(self):
        """Its agent is lost, too, and reports nothing to later leaders."""
        fleet = simfleet.Fleet(names=("w1", "w2"))
        fleet.run_for(1)
        fleet.hosts["w1"].partitioned = True
        fleet.start_leader()
        fleet.run_for(simfleet.LEASE_S + 1)
        fleet.start_leader()
        fleet.run_for(0.3)
        assert not fleet.scheduler.unreported_agents

    def test_host_lost_during_a_term_does_not_delay_the_next_leader(self):
        fleet = simfleet.Fleet(names=("w1", "w2"))
        fleet.run_for(1)
        fleet.hosts["w1"].partitioned = True
        fleet.run_for(simfleet.LEASE_S + 1)
        fleet.start_leader()
        fleet.run_for(0.3)
        assert not fleet.scheduler.unreported_agents

    def test_returned_worker_gets_work_again(self):
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        fleet.hosts["w1"].partitioned = True
        fleet.run_for(simfleet.LEASE_S + 1)
        fleet.hosts["w1"].partitioned = False
        fleet.submit("a")
        fleet.run_for(3)
        assert fleet.phase("a") is COMPLETED
        assert fleet.agents["agent-w1"].lives

    def test_report_without_lists_does_not_reconcile_the_agent(self):
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        fleet.hosts["w1"].runner.work_ms = 5_000
        fleet.submit("a", pipelines.stage(1, estimate_ms=5_000))
        fleet.run_for(1)
        fleet.hosts["w1"].partitioned = True
        fleet.start_leader()
        key = ("w1", fleet.hosts["w1"].runner.born_ms)
        empty = messages.AgentReport("agent-w1", 2, 1, True, (key,))
        fleet.scheduler.apply_report(empty, "bus", "life", fleet.now)
        assert fleet.scheduler.unreported_agents == ("agent-w1",)
        none = messages.AgentReport("agent-w1", 2, 2, True, ())
        fleet.scheduler.apply_report(none, "bus", "life", fleet.now)
        assert not fleet.scheduler.unreported_agents

    def test_agent_is_reconciled_once_all_incarnations_with_work_are(self):
        """Guards against waiting for leases although all attempts are known.

        All processes were killed, and the agents have just restarted: they do
        not know yet whether they report every worker on their host.
        """
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        key = ("w1", fleet.hosts["w1"].runner.born_ms)
        fleet.hosts["w1"].partitioned = True
        fleet.start_leader()
        fresh = messages.AgentReport("agent-w1", 2, 1, False, ())
        fleet.scheduler.apply_report(fresh, "bus", "life-2", fleet.now)
        assert fleet.scheduler.unreported_agents == ("agent-w1",)
        state = pipelines.worker_state("w1", key[1])
        listed = messages.AgentReport("agent-w1", 2, 2, False, (key,), (state,))
        fleet.scheduler.apply_report(listed, "bus", "life-2", fleet.now)
        assert not fleet.scheduler.unreported_agents

    def test_successor_at_the_same_address_proves_the_end(self):
        """Guards against waiting for a worker that cannot come back.

        Hosts lost power, and their workers restarted under new names.
        """
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        born_ms = fleet.hosts["w1"].runner.born_ms
        fleet.hosts["w1"].partitioned = True
        fleet.start_leader()
        other = (("w9", born_ms + 5),)
        elsewhere = messages.AgentReport(
            "agent-w1", 2, 1, False, other, (), (), {"w9": "elsewhere:1"}
        )
        fleet.scheduler.apply_report(elsewhere, "bus", "life-2", fleet.now)
        assert fleet.scheduler.unreported_agents == ("agent-w1",)
        same = messages.AgentReport(
            "agent-w1", 2, 2, False, other, (), (), {"w9": "w1:1"}
        )
        fleet.scheduler.apply_report(same, "bus", "life-2", fleet.now)
        assert fleet.scheduler.unreported_agents == ("agent-w1",)
        state = pipelines.worker_state("w9", born_ms + 5)
        listed = messages.AgentReport(
            "agent-w1", 2, 3, False, other, (state,), (), {"w9": "w1:1"}
        )
        fleet.scheduler.apply_report(listed, "bus", "life-2", fleet.now)
        assert not fleet.scheduler.unreported_agents

    def test_ends_applied_by_the_previous_leader_count_once(self):
        fleet = simfleet.Fleet(names=("w1",))
        runner = fleet.hosts["w1"].runner
        fleet.run_for(1)
        runner.failing = True
        fleet.submit("a", queue="fit")
        listed = []
        while (
            not fleet.stored_progress.get("a")
            or not fleet.stored_progress["a"].failed
        ):
            fleet.step()
            listed = list(runner.ended) or listed
        runner.failing = False
        for run in runner.runs.values():
            run.fails = False
        runner.ended = listed
        fleet.hosts["w1"].acknowledged = 0
        fleet.start_leader()
        fleet.run_for(5)
        assert fleet.phase("a") is COMPLETED

    def test_stage_started_by_the_previous_leader_continues(self):
        """Guards against stopping a task whose stage still seems blocked.

        The new leader learns of the running task before it learns of the ends
        of the earlier stage.
        """
        fleet = simfleet.Fleet(names=("w1", "w2"))
        fleet.run_for(1)
        fleet.submit(
            "a",
            pipelines.stage(1),
            pipelines.stage(1, estimate_ms=5_000, after=(0,)),
        )
        fleet._commit = lambda: None
        for host in fleet.hosts.values():
            host.runner.work_ms = 300
        while not any(t == "a.0.1.0" for t, _ in fleet.running()):
            fleet.step()
        first = next(
            host
            for host in fleet.hosts.values()
            if any(e.task == "a.0.0.0" for e in host.runner.ended)
        )
        second = next(
            host
            for host in fleet.hosts.values()
            if "a.0.1.0" in host.runner.runs
        )
        second.runner.runs["a.0.1.0"].left_ms = 5_000
        del fleet._commit
        late = first is not second
        first.partitioned = late
        fleet.start_leader()
        fleet.run_for(0.5)
        first.partitioned = False
        fleet.run_for(8)
        assert fleet.phase("a") is COMPLETED
        assert len(started_runs(fleet)) == 2

    def test_attempt_numbers_increase_across_leaders(self):
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        for _ in range(3):
            fleet.restart_worker("w1")
            fleet.start_leader()
            fleet.submit("a")
            fleet.run_for(0.3)
        numbers = [n for _, n, _ in started_runs(fleet)]
        assert numbers == sorted(set(numbers))


class TestSilentWorkers:
    """The lease row tells when the leases of silent workers lapse."""

    def lose_host(self):
        """Returns a fleet, one host of which is lost with its only task."""
        fleet = simfleet.Fleet(names=("w1", "w2"))
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 60_000
        fleet.submit("a", pipelines.stage(estimate_ms=60_000))
        fleet.run_for(1)
        ((_, name),) = fleet.running()
        fleet.hosts[name].partitioned = True
        return fleet, fleet.hosts[name]

    def wait_for_restart(self, fleet, lost_host):
        while len(started_runs(fleet)) < 2:
            fleet.step()
        assert not lost_host.runner.runs

    def test_worker_lost_before_its_leader_delays_the_next_one_no_longer(self):
        """Guards against a wait that begins anew with a change of the leader.

        Work of the lost worker, and all other work that is ready, stood still.
        """
        fleet, lost_host = self.lose_host()
        lost_s = fleet.now
        fleet.run_for(5)
        fleet.start_leader(gap_s=1.8)
        self.wait_for_restart(fleet, lost_host)
        assert fleet.now - lost_s < simfleet.LEASE_S + 0.5

    def test_several_leaders_in_a_row_do_not_add_up_their_waits(self):
        """Guards against work that stands still while leaders are lost."""
        fleet, lost_host = self.lose_host()
        fleet.start_leader(gap_s=1.8)
        taken_over_s = fleet.now
        for _ in range(2):
            fleet.run_for(1)
            fleet.start_leader(gap_s=1.8)
        self.wait_for_restart(fleet, lost_host)
        assert fleet.now - taken_over_s < simfleet.LEASE_S + 0.5

    def test_worker_that_is_heard_of_again_keeps_its_work(self):
        fleet, host = self.lose_host()
        fleet.run_for(4)
        assert list(fleet.silent) == [(host.name, 1)]
        host.partitioned = False
        fleet.run_for(0.3)
        assert not fleet.silent
        fleet.run_for(10)
        assert len(started_runs(fleet)) == 1
        assert host.runner.runs

    def test_leaders_that_are_lost_early_do_not_add_up_their_waits(self):
        """Guards against work that stands still while leaders are lost."""
        fleet, lost_host = self.lose_host()
        fleet.start_leader(gap_s=1.8)
        taken_over_s = fleet.now
        for term_s in (0.4, 0.0, 0.1):
            fleet.run_for(term_s)
            fleet.start_leader(gap_s=1.8)
        self.wait_for_restart(fleet, lost_host)
        assert fleet.now - taken_over_s < simfleet.LEASE_S + 0.5

    def test_malformed_registration_delays_one_leader_only(self):
        """Its agent is lost, too, and does not register again."""
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        fleet.start_leader()
        fleet.scheduler.expect_agents(
            fleet.agents, fleet.now + 3.0, unreadable=("agent-w9",)
        )
        fleet.run_for(2)
        assert fleet.scheduler.unreported_agents == ("agent-w9",)
        fleet.run_for(2)
        assert not fleet.scheduler.unreported_agents
        assert not fleet.agents["agent-w9"].lives

    def test_listed_worker_gets_no_grant_before_the_list_is_stored_anew(self):
        """Guards against a next leader that counts on leases having lapsed."""
        fleet, host = self.lose_host()
        fleet.run_for(4)
        commit = fleet._commit
        fleet._commit = lambda: None
        granted_ms = host.lease_limit_ms
        host.partitioned = False
        fleet.run_for(1)
        assert host.lease_limit_ms == granted_ms
        fleet._commit = commit
        fleet.run_for(0.2)
        assert host.lease_limit_ms > granted_ms


class TestRecordedPlacements:
    """The store names the workers on which lasting tasks may be running."""

    def start_service(self, names=("w1", "w2", "w3"), **fields):
        """Returns a fleet with a lasting task, and the task's host."""
        fleet = simfleet.Fleet(names)
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.lasting = True
        fleet.submit("a", pipelines.stage(lasting=True, **fields))
        fleet.run_for(1)
        ((_, name),) = fleet.running()
        return fleet, fleet.hosts[name]

    def stop(self, fleet, host):
        """Stops the task, as a leader does that moves it."""
        (key,) = host.runner.runs
        placement = fleet.scheduler._attempts.get(
            (key, host.runner.runs[key].number)
        )
        fleet.scheduler._attempts.stop(placement, "it moves")

    def test_service_that_was_being_moved_does_not_wait_for_other_workers(self):
        """Guards against a LOST service after a change of the leader.

        The leader is lost after it has ordered the stop of a task that moves,
        and together with it a worker that has nothing to do with the task.
        """
        fleet, host = self.start_service()
        self.stop(fleet, host)
        other = next(h for h in fleet.hosts.values() if h is not host)
        other.partitioned = True
        for worker in fleet.scheduler.workers.values():
            fleet._deliver(
                fleet.hosts[worker.id],
                worker.confirmed_order,
                fleet.scheduler.orders_to_send(worker, fleet.now),
            )
        fleet.start_leader(gap_s=1.8)
        fleet.run_for(0.5)
        assert fleet.scheduler.unreported_agents == (f"agent-{other.name}",)
        assert [task for task, _ in fleet.running()] == ["a.0.0.0"]

    def test_service_does_not_wait_anew_with_each_leader(self):
        """Guards against a LOST service while several leaders are lost."""
        fleet, host = self.start_service()
        other = next(h for h in fleet.hosts.values() if h is not host)
        other.partitioned = True
        fleet.restart_worker(host.name)
        for _ in range(3):
            fleet.start_leader(gap_s=1.8)
            fleet.run_for(0.5)
            assert [task for task, _ in fleet.running()] == ["a.0.0.0"]

    def test_service_on_a_silent_worker_waits_for_its_leases(self):
        fleet, host = self.start_service()
        host.partitioned = True
        fleet.start_leader()
        waited_s = 0.0
        while len(fleet.running()) == 1 and host.runner.runs:
            fleet.step()
            waited_s += 0.1
        assert waited_s > 4
        assert all(task == "a.0.0.0" for task, _ in fleet.running())
        while not fleet.running():
            fleet.step()
            waited_s += 0.1
        assert waited_s < simfleet.LEASE_S + 0.5

    def test_start_is_ordered_only_once_its_worker_is_stored(self):
        """Guards against two runs of a service after a change of the leader."""
        fleet = simfleet.Fleet(names=("w1", "w2"))
        fleet.run_for(1)
        commit = fleet._commit
        fleet._commit = lambda: None
        fleet.submit("a", pipelines.stage(lasting=True))
        fleet.run_for(2)
        assert not started_runs(fleet)
        fleet._commit = commit
        fleet.run_for(0.3)
        assert len(started_runs(fleet)) == 1
        ((worker, _),) = fleet.stored_progress["a"].placed["0.0.0"]
        assert fleet.hosts[worker].runner.runs

    def test_start_is_not_ordered_on_a_worker_that_has_ended_meanwhile(self):
        fleet = simfleet.Fleet(names=("w1",))
        fleet.hosts["w1"].runner.lasting = True
        fleet.run_for(1)
        commit = fleet._commit
        fleet._commit = lambda: None
        fleet.submit("a", pipelines.stage(lasting=True))
        fleet.run_for(0.5)
        fleet.restart_worker("w1")
        fleet.run_for(0.2)
        fleet._commit = commit
        fleet.run_for(1)
        assert len(started_runs(fleet)) == 1
        assert fleet.stored_progress["a"].placed == {"0.0.0": [("w1", 2)]}

    def test_later_placement_is_not_taken_for_the_stored_one(self):
        """A commit on its way does not store what was decided since."""
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage(2, lasting=True))
        fleet.scheduler.registry.mark_changed(
            fleet.scheduler.registry.pipelines["a"]
        )
        batch = fleet.scheduler.next_batch()
        fleet._commit = lambda: None
        fleet.run_for(0.5)
        fleet.scheduler.confirm(batch)
        (worker,) = fleet.scheduler.workers.values()
        assert worker.placements
        assert not worker.unconfirmed_orders

    def test_leader_after_one_without_records_waits_and_then_records(self):
        """Guards against two runs while versions of the program change."""
        fleet, host = self.start_service(names=("w1", "w2"))
        other = next(h for h in fleet.hosts.values() if h is not host)
        other.partitioned = True
        fleet.restart_worker(host.name)
        fleet.placements_recorded = False
        fleet.start_leader()
        fleet.run_for(2)
        assert not fleet.running()
        assert not fleet.placements_recorded
        fleet.run_for(simfleet.LEASE_S)
        assert [task for task, _ in fleet.running()] == ["a.0.0.0"]
        assert fleet.placements_recorded
        assert fleet.stored_progress["a"].placed

    def test_service_waits_until_a_successor_with_the_same_id_is_held(self):
        """Guards against two runs of a service.

        The worker has restarted under its id, and would carry out a late order
        to its earlier incarnation until it is held under a higher fence.
        """
        fleet, host = self.start_service(names=("w1", "w2"))
        successor = fleet_module.KnownIncarnation(host.name, 2, "w1:1")
        fleet.agents[f"agent-{host.name}"] = fleet_module.Registration(
            "bus", (successor,)
        )
        assert fleet.stored_progress["a"].placed["0.0.0"] == [(host.name, 1)]
        host.partitioned = True
        fleet.start_leader(gap_s=1.8)
        fleet.run_for(1.5)
        assert len(started_runs(fleet)) == 1

    def test_older_batch_does_not_prove_that_all_are_recorded(self):
        """Guards against two runs of a service after a change of the version.

        A batch that was on its way when the last worker reported is confirmed,
        and the next one, which records the placements, fails.
        """
        fleet, host = self.start_service()
        stale = next(name for name in fleet.hosts if name != host.name)
        fleet.stored_progress["a"] = pipeline.Progress(
            pipeline.Phase.RUNNING, placed={"0.0.0": [(stale, 1)]}
        )
        fleet.placements_recorded = False
        host.partitioned = True
        fleet.start_leader()
        fleet.run_for(0.5)
        registry = fleet.scheduler.registry
        registry.mark_changed(registry.pipelines["a"])
        older = fleet.scheduler.next_batch()
        commit, fleet._commit = fleet._commit, lambda: None
        host.partitioned = False
        fleet.run_for(0.2)
        assert not fleet.scheduler.unreported_agents
        fleet.stored_progress.update(older.progress)
        fleet.scheduler.confirm(older)
        assert not fleet.scheduler.placements_recorded
        registry.requeue(fleet.scheduler.next_batch())
        assert not fleet.scheduler.placements_recorded
        commit()
        assert fleet.scheduler.placements_recorded
        assert fleet.stored_progress["a"].placed["0.0.0"] == [(host.name, 1)]

    def test_first_leader_records_from_its_beginning(self):
        fleet = simfleet.Fleet(names=("w1",))
        assert not fleet.scheduler.placements_recorded
        fleet.step()
        assert fleet.placements_recorded

    def test_service_that_never_started_waits_for_nobody(self):
        fleet = simfleet.Fleet(names=("w1", "w2"))
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage(lasting=True))
        fleet.hosts["w1"].partitioned = True
        fleet.start_leader()
        fleet.run_for(1)
        assert fleet.running() == [("a.0.0.0", "w2")]


class TestGang:
    def test_members_start_together_or_not_at_all(self):
        fleet = simfleet.Fleet(names=("w1", "w2"), cores=4)
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage(6, millicores=1000, gang=True))
        fleet.submit("b", pipelines.stage(6, millicores=1000, gang=True))
        fleet.run_for(0.3)
        running = collections.Counter(t[0] for t, _ in fleet.running())
        assert sorted(running.values()) == [6]
        fleet.run_for(5)
        assert fleet.phase("a") is COMPLETED
        assert fleet.phase("b") is COMPLETED

    def test_end_of_a_member_restarts_the_whole_gang(self):
        fleet = simfleet.Fleet(names=("w1", "w2"))
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 3_000
        fleet.submit("a", pipelines.stage(4, gang=True, estimate_ms=3_000))
        fleet.run_for(1)
        fleet.restart_worker("w1")
        fleet.run_for(8)
        assert fleet.phase("a") is COMPLETED
        numbers = {n for _, n, _ in started_runs(fleet)}
        assert len(numbers) == 2


class TestTasksWithoutDemand:
    @pytest.mark.parametrize(
        ("queue", "fields"),
        [
            ("fit", {"lasting": True}),
            ("fit", {"lasting": True, "gang": True}),
            ("fit", {"lasting": True, "filler": True}),
            ("fit", {"lasting": True, "latency_target_ms": 18.0}),
            ("advised", {"lasting": True}),
        ],
        ids=["alone", "gang", "filler", "serving", "advised"],
    )
    def test_run_again_after_a_crash(self, queue, fields):
        """Guards against a submission that ends the term of each leader.

        The tasks are suspected of the crash, and wait for a distance from each
        other.
        """
        fleet = simfleet.Fleet()
        table = faultfleet.TABLE
        fleet.scheduler.set_queues(table)
        for host in fleet.hosts.values():
            host.runner.lasting = True
        fleet.run_for(0.5)
        idle = pipelines.stage(12, 0, 0, estimate_ms=0, **fields)
        beside = pipelines.stage(2, 1000, filler=True, image="filler")
        fleet.submit("idle", idle, queue=queue)
        fleet.submit("beside", beside)
        crashed = False
        for _ in range(250):
            request = fleet.scheduler.advice.next_request()
            if request is not None:
                tickets = {worker: "ticket" for worker, _ in request.workers}
                fleet.scheduler.advice.apply_answer(request, tickets, fleet.now)
            fleet.step()
            running = dict(fleet.running())
            if not crashed and "idle.0.0.0" in running:
                fleet.hosts[running["idle.0.0.0"]].runner.crashed = crashed = (
                    True
                )
        assert crashed
        lasting = [task for task in running if task.startswith("idle.")]
        assert len(lasting) == 12


class TestBoundaryValues:
    @pytest.mark.parametrize(
        "seed", [15, 37, 67, 69, 111, 311, 349, *range(10)]
    )
    def test_end_no_term_of_a_leader(self, seed):
        """Guards against a submission or report that stops all scheduling.

        The next leader would fail at the same data.
        """
        boundaryvalues.Play(seed).run()


class FaultMachine(stateful.RuleBasedStateMachine):
    """Random faults must never break the invariants."""

    def __init__(self):
        super().__init__()
        self.fleet = simfleet.Fleet(cores=6)
        self.count = 0

    @stateful.rule(
        counts=strategies.lists(
            strategies.integers(1, 4), max_size=3, min_size=1
        ),
        millicores=strategies.integers(200, 3000),
    )
    def submit(self, counts, millicores):
        self.count += 1
        self.fleet.submit(
            f"p{self.count}",
            *(
                pipelines.stage(count, millicores, after=(n - 1,) if n else ())
                for n, count in enumerate(counts)
            ),
        )

    @stateful.rule(tenths=strategies.integers(1, 40))
    def pass_time(self, tenths):
        for _ in range(tenths):
            self.fleet.step()
            self.assert_invariants()

    @stateful.rule(data=strategies.data())
    def cancel(self, data):
        if self.fleet.rows:
            name = data.draw(strategies.sampled_from(sorted(self.fleet.rows)))
            self.fleet.cancel(name)

    @stateful.rule(name=strategies.sampled_from(("w1", "w2", "w3")))
    def cut_connection(self, name):
        host = self.fleet.hosts[name]
        host.partitioned = not host.partitioned

    @stateful.rule(name=strategies.sampled_from(("w1", "w2", "w3")))
    def toggle_delayed_starts(self, name):
        host = self.fleet.hosts[name]
        host.delays_starts = not host.delays_starts

    @stateful.rule(name=strategies.sampled_from(("w1", "w2", "w3")))
    def restart_worker(self, name):
        self.fleet.restart_worker(name)

    @stateful.rule(
        name=strategies.sampled_from(("w1", "w2", "w3")),
        cores=strategies.integers(0, 6),
    )
    def resize_worker(self, name, cores):
        self.fleet.resize_worker(name, cores)

    @stateful.rule(
        name=strategies.sampled_from(("w1", "w2", "w3")),
        cores=strategies.integers(0, 6),
        tenths=strategies.integers(1, 40),
    )
    def resize_worker_during_a_cut(self, name, cores, tenths):
        """Orders are lost and sent again after the worker was resized."""
        host = self.fleet.hosts[name]
        host.partitioned = True
        self.submit([4], 1500)
        self.pass_time(3)
        self.fleet.resize_worker(name, cores)
        self.pass_time(tenths)
        host.partitioned = False

    @stateful.rule()
    def elect_leader(self):
        self.fleet.start_leader(gap_s=0.1)

    def assert_invariants(self):
        running = collections.Counter(t for t, _ in self.fleet.running())
        assert max(running.values(), default=0) <= 1, running
        for name in self.fleet.hosts:
            used = simfleet.capacity_used(self.fleet, name)
            assert used.millicores <= self.fleet.cores * 1000
        assert not self.fleet.oversized_starts
        done = {t for t, _, how in self.fleet.finished if how == "done"}
        for task in running:
            pipeline_id, _, key = task.partition(".")
            stages = self.fleet.rows[pipeline_id][0].stages
            number = int(key.split(".")[1])
            for before in stages[number].after:
                for index in range(stages[before].count):
                    assert f"{pipeline_id}.0.{before}.{index}" in done

    def teardown(self):
        for host in self.fleet.hosts.values():
            host.partitioned = host.delays_starts = False
            self.fleet.resize_worker(host.name, self.fleet.cores)
        for _ in range(600):
            self.fleet.step()
            self.assert_invariants()
        for name in self.fleet.rows:
            phase = self.fleet.phase(name)
            expected = COMPLETED
            if name in self.fleet.cancelled:
                assert phase in (COMPLETED, pipeline.Phase.CANCELLED)
            else:
                assert phase is expected, (name, phase)


TestFaults = FaultMachine.TestCase
TestFaults.settings = hypothesis.settings(
    max_examples=25, stateful_step_count=25
)
