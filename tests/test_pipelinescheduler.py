import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pomelostair import pipeline
from pomelostair import pipelinemessages as messages
from tests import pipelines
from tests import simfleet

COMPLETED = pipeline.Phase.COMPLETED


def starts(fleet):
    return [row for host in fleet.hosts.values() for row in host.runner.started]


class TestServing:
    def test_calm_pipelines_are_completed(self):
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
        assert len(starts(fleet)) == 30

    def test_states_are_shown_only_once_they_are_stored(self):
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

    def test_failed_too_often_is_failed(self):
        fleet = simfleet.Fleet()
        for host in fleet.hosts.values():
            host.runner.failing = True
        fleet.run_for(1)
        fleet.submit("a")
        fleet.run_for(20)
        assert fleet.phase("a") is pipeline.Phase.FAILED
        assert len(starts(fleet)) == pipelines.QUEUE.max_attempts

    def test_one_failing_worker_fails_no_pipeline(self):
        fleet = simfleet.Fleet()
        fleet.hosts["w2"].runner.failing = True
        fleet.run_for(1)
        for number in range(12):
            fleet.submit(f"p{number}", pipelines.stage(3), queue="fit")
            fleet.run_for(0.5)
        fleet.run_for(10)
        assert all(fleet.phase(f"p{n}") is COMPLETED for n in range(12))

    def test_cancelled_work_stops_and_nothing_starts(self):
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

    def test_stalled_attempt_runs_elsewhere(self):
        fleet = simfleet.Fleet()
        fleet.run_for(1)
        fleet.hosts["w1"].runner.hung = True
        for number in range(6):
            fleet.submit(f"p{number}")
        fleet.run_for(8)
        assert all(fleet.phase(f"p{n}") is COMPLETED for n in range(6))

    def test_task_that_fits_nowhere_waits_and_is_told_once(self, caplog):
        caplog.set_level("WARNING")
        fleet = simfleet.Fleet(cores=8)
        fleet.run_for(1)
        fleet.submit("large", pipelines.stage(millicores=9000))
        fleet.run_for(3)
        assert fleet.phase("large") is pipeline.Phase.QUEUED
        told = [r for r in caplog.records if getattr(r, "event", 0) == 434]
        assert [r.pipeline for r in told] == ["large"]

    def test_draining_worker_gets_nothing_new(self):
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        worker = next(iter(fleet.scheduler.workers.values()))
        worker.state = pipelines.state("w1", draining=True)
        assert not worker.is_schedulable(fleet.now)


class TestFilling:
    def test_none_is_kept_out_for_ever_by_serving_tasks(self):
        """The load: an image that disturbs every service on every worker."""
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        made = fleet.hosts["w1"].runner
        made.lasting = True
        serving = pipelines.stage(
            lasting=True, latency_target_ms=1.0, image="service"
        )
        fleet.submit("service", serving)
        fleet.run_for(1)
        made.lasting = False
        fleet.submit("filler", pipelines.stage(filler=True, image="noisy"))
        fleet.run_for(30)
        assert fleet.phase("filler") is COMPLETED


class TestLostWorker:
    def test_its_work_runs_again_only_after_its_leases(self):
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
            where = collections.Counter(task for task, _ in fleet.running())
            assert max(where.values(), default=0) <= 1
        assert len(fleet.hosts["w2"].runner.started) == 2

    def test_reborn_worker_gives_its_work_up_at_once(self):
        fleet = simfleet.Fleet()
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage(6))
        fleet.step()
        fleet.step()
        fleet.restart_worker("w1")
        fleet.run_for(3)
        assert fleet.phase("a") is COMPLETED

    def test_unanswered_start_is_barred_before_another(self):
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


class TestReports:
    def test_report_that_was_overtaken_drops_nothing(self):
        """The load: a choked link, whose connection is replaced meanwhile."""
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        fleet.submit("a")
        fleet.step()
        life = ("w1", fleet.hosts["w1"].runner.born_ms)
        running = (("a.0.0.0", 1, "", 10.0, 500.0),)

        def report(sequence, state, agent_life="life"):
            message = messages.AgentReport(
                "agent-w1", 1, sequence, True, (life,), (state,)
            )
            fleet.scheduler.apply_report(message, "bus", agent_life, fleet.now)
            return fleet.scheduler.workers[life].placements

        later = 10_000_000
        listed = pipelines.state("w1", life[1], 8, running=running, received=9)
        assert ("a.0.0.0", 1) in report(later, listed)
        earlier = pipelines.state("w1", life[1], 8, received=9)
        assert ("a.0.0.0", 1) in report(later - 1, earlier)
        assert ("a.0.0.0", 1) not in report(later + 1, earlier)

    def test_new_process_of_an_agent_counts_its_reports_anew(self):
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        life = ("w1", fleet.hosts["w1"].runner.born_ms)
        for sequence, agent_life in ((50_000_000, "life"), (1, "life-2")):
            state = pipelines.state("w1", life[1], 8, clock_ms=sequence)
            message = messages.AgentReport(
                "agent-w1", 1, sequence, True, (life,), (state,)
            )
            fleet.scheduler.apply_report(message, "bus", agent_life, fleet.now)
        assert fleet.scheduler.workers[life].state.clock_ms == 1


class TestTakeover:
    def test_new_leader_adopts_what_runs(self):
        fleet = simfleet.Fleet()
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 5_000
        fleet.submit("a", pipelines.stage(6, estimate_ms=5_000))
        fleet.run_for(1)
        fleet.start_leader(gap_s=1.0)
        fleet.run_for(8)
        assert fleet.phase("a") is COMPLETED
        assert len(starts(fleet)) == 6

    def test_unheard_worker_holds_older_work_back_until_its_leases(self):
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
            where = collections.Counter(task for task, _ in fleet.running())
            assert max(where.values()) <= 1
        held = [t for t, w in fleet.running() if w == "w2"]
        assert sum(task.startswith("a.") for task in held) == 2

    def test_report_without_lists_does_not_count_as_heard(self):
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        fleet.hosts["w1"].runner.work_ms = 5_000
        fleet.submit("a", pipelines.stage(1, estimate_ms=5_000))
        fleet.run_for(1)
        fleet.hosts["w1"].partitioned = True
        fleet.start_leader()
        life = ("w1", fleet.hosts["w1"].runner.born_ms)
        empty = messages.AgentReport("agent-w1", 2, 1, True, (life,))
        fleet.scheduler.apply_report(empty, "bus", "life", fleet.now)
        assert fleet.scheduler.unreported_agents == ("agent-w1",)
        none = messages.AgentReport("agent-w1", 2, 2, True, ())
        fleet.scheduler.apply_report(none, "bus", "life", fleet.now)
        assert not fleet.scheduler.unreported_agents

    def test_agent_is_heard_once_every_life_that_had_work_is_known(self):
        """The load: all processes are killed; agents have just begun."""
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        life = ("w1", fleet.hosts["w1"].runner.born_ms)
        fleet.hosts["w1"].partitioned = True
        fleet.start_leader()
        fresh = messages.AgentReport("agent-w1", 2, 1, False, ())
        fleet.scheduler.apply_report(fresh, "bus", "life-2", fleet.now)
        assert fleet.scheduler.unreported_agents == ("agent-w1",)
        state = pipelines.state("w1", life[1])
        listed = messages.AgentReport(
            "agent-w1", 2, 2, False, (life,), (state,)
        )
        fleet.scheduler.apply_report(listed, "bus", "life-2", fleet.now)
        assert not fleet.scheduler.unreported_agents

    def test_later_life_at_the_address_shows_that_the_earlier_has_ended(self):
        """The load: hosts lost power, and their workers have new names."""
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
        state = pipelines.state("w9", born_ms + 5)
        listed = messages.AgentReport(
            "agent-w1", 2, 3, False, other, (state,), (), {"w9": "w1:1"}
        )
        fleet.scheduler.apply_report(listed, "bus", "life-2", fleet.now)
        assert not fleet.scheduler.unreported_agents

    def test_ends_of_the_old_leader_count_once(self):
        fleet = simfleet.Fleet(names=("w1",))
        made = fleet.hosts["w1"].runner
        fleet.run_for(1)
        made.failing = True
        fleet.submit("a", queue="fit")
        listed = []
        while (
            not fleet.stored_progress.get("a")
            or not fleet.stored_progress["a"].failed
        ):
            fleet.step()
            listed = list(made.ended) or listed
        made.failing = False
        for run in made.runs.values():
            run.fails = False
        made.ended = listed
        fleet.hosts["w1"].acknowledged = 0
        fleet.start_leader()
        fleet.run_for(5)
        assert fleet.phase("a") is COMPLETED

    def test_later_stage_of_the_old_leader_goes_on(self):
        """The ends of the earlier stage are heard after what runs now."""
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
        assert len(starts(fleet)) == 2

    def test_attempt_numbers_rise_over_leaders(self):
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        for _ in range(3):
            fleet.restart_worker("w1")
            fleet.start_leader()
            fleet.submit("a")
            fleet.run_for(0.3)
        numbers = [n for _, n, _ in starts(fleet)]
        assert numbers == sorted(set(numbers))


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

    def test_member_that_ends_takes_the_others_along(self):
        fleet = simfleet.Fleet(names=("w1", "w2"))
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 3_000
        fleet.submit("a", pipelines.stage(4, gang=True, estimate_ms=3_000))
        fleet.run_for(1)
        fleet.restart_worker("w1")
        fleet.run_for(8)
        assert fleet.phase("a") is COMPLETED
        numbers = {n for _, n, _ in starts(fleet)}
        assert len(numbers) == 2


class Machine(stateful.RuleBasedStateMachine):
    """Random faults against what must hold at all times."""

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
    def play(self, tenths):
        for _ in range(tenths):
            self.fleet.step()
            self.check()

    @stateful.rule(data=strategies.data())
    def cancel(self, data):
        if self.fleet.rows:
            name = data.draw(strategies.sampled_from(sorted(self.fleet.rows)))
            self.fleet.cancel(name)

    @stateful.rule(name=strategies.sampled_from(("w1", "w2", "w3")))
    def cut(self, name):
        host = self.fleet.hosts[name]
        host.partitioned = not host.partitioned

    @stateful.rule(name=strategies.sampled_from(("w1", "w2", "w3")))
    def unanswered(self, name):
        host = self.fleet.hosts[name]
        host.delays_starts = not host.delays_starts

    @stateful.rule(name=strategies.sampled_from(("w1", "w2", "w3")))
    def reborn(self, name):
        self.fleet.restart_worker(name)

    @stateful.rule()
    def lead(self):
        self.fleet.start_leader(gap_s=0.1)

    def check(self):
        running = collections.Counter(t for t, _ in self.fleet.running())
        assert max(running.values(), default=0) <= 1, running
        for name in self.fleet.hosts:
            used = simfleet.capacity_used(self.fleet, name)
            assert used.millicores <= self.fleet.cores * 1000
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
        for _ in range(600):
            self.fleet.step()
            self.check()
        for name in self.fleet.rows:
            phase = self.fleet.phase(name)
            wanted = COMPLETED
            if name in self.fleet.cancelled:
                assert phase in (COMPLETED, pipeline.Phase.CANCELLED)
            else:
                assert phase is wanted, (name, phase)


TestFaults = Machine.TestCase
TestFaults.settings = hypothesis.settings(
    max_examples=25, stateful_step_count=25
)
