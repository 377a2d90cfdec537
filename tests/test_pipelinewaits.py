import attrs
import pytest

from pomelostair import attempts
from pomelostair import events
from pomelostair import metrics
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelinewaits
from pomelostair import queues
from tests import pipelines
from tests import simfleet

METRICS = metrics.Metrics()
REASON = pipelinewaits.Reason


def waiting_pipeline(stage, name="a"):
    return pipeline.Pipeline(
        pipelines.declare(name, stage), 1, pipeline.Progress(), 0.0
    )


def reason_for(stage, *workers, avoided=(), now=9.0):
    task = waiting_pipeline(stage).tasks(0, 0)[0]
    task.failed_on.update(dict.fromkeys(avoided, 0.0))
    task.ready_since_s = 8.0
    return pipelinewaits.reason_for(
        task, list(workers), pacing.Pacer(METRICS), now
    )


class TestReason:
    def test_each_cause_has_its_own(self):
        full = pipelines.worker("full", cores=1)
        pipelines.place(full, pipelines.stage())
        stage = pipelines.stage()
        assert reason_for(stage) is REASON.NO_WORKER
        assert reason_for(stage, full) is REASON.NO_ROOM
        labelled = pipelines.stage(label="b")
        idle = pipelines.worker("idle")
        assert reason_for(labelled, full, idle) is REASON.CONSTRAINTS
        filler = pipelines.stage(filler=True)
        assert reason_for(filler, idle) is REASON.PACE

    def test_failed_task_without_a_proven_worker(self):
        proven = pipelines.worker("proven", cores=1, last_success_s=8.0)
        pipelines.place(proven, pipelines.stage())
        idle = pipelines.worker("idle")
        reason = reason_for(pipelines.stage(), proven, idle, avoided=("other",))
        assert reason is REASON.UNPROVEN


def waits_in(caplog):
    number = events.Events.TASK_WAITS.value.number
    return [r for r in caplog.records if getattr(r, "event", 0) == number]


class TestMonitor:
    @pytest.fixture(autouse=True)
    def log_level(self, caplog):
        caplog.set_level("INFO")

    def check_for(self, seconds, item):
        pacer = pacing.Pacer(METRICS)
        monitor = pipelinewaits.WaitMonitor(
            {}, attempts.Attempts(pacer, METRICS), pacer, METRICS
        )
        for step in range(round(seconds * 10)):
            monitor.check(
                [item], lambda task: True, pipelines.TABLE, (), step / 10
            )

    def test_long_wait_is_reported_once(self, caplog):
        item = waiting_pipeline(pipelines.stage(lasting=True))
        self.check_for(10, item)
        (wait,) = waits_in(caplog)
        assert wait.task == "a.0.0.0"
        assert wait.reason == REASON.NO_WORKER.value
        assert wait.waited_ms < 3500

    def test_short_wait_is_not_reported(self, caplog):
        item = waiting_pipeline(pipelines.stage(lasting=True))
        self.check_for(pipelinewaits.REPORT_AFTER_S - 0.5, item)
        assert not waits_in(caplog)

    def test_number_of_reports_is_limited(self, caplog):
        wide = pipelines.stage(500, lasting=True)
        self.check_for(3.5, waiting_pipeline(wide))
        assert len(waits_in(caplog)) <= 2 * pipelinewaits.MAX_REPORTED

    def test_lasting_task_is_reported_before_all_others(self, caplog):
        pacer = pacing.Pacer(METRICS)
        monitor = pipelinewaits.WaitMonitor(
            {}, attempts.Attempts(pacer, METRICS), pacer, METRICS
        )
        many = waiting_pipeline(pipelines.stage(500))
        service = waiting_pipeline(pipelines.stage(lasting=True), "service")
        monitor.check(
            [many, service], lambda task: False, pipelines.TABLE, (), 3.0
        )
        lasting = service.tasks(0, 0)[0]
        assert waits_in(caplog)[0].task == lasting.id

    def test_wait_for_an_earlier_leader_names_the_agents(self, caplog):
        fleet = simfleet.Fleet(names=("w1", "w2"))
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage(1, estimate_ms=30_000))
        fleet.hosts["w1"].partitioned = True
        fleet.start_leader()
        fleet.run_for(4)
        (wait,) = waits_in(caplog)
        assert wait.reason == REASON.EARLIER_LEADER.value
        assert wait.unreported == ["agent-w1"]

    def test_wait_that_goes_on_for_another_reason_is_reported_again(
        self, caplog
    ):
        """Guards against a wait for room that looks like one for a leader."""
        fleet = simfleet.Fleet(names=("w1", "w2"), cores=4)
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.lasting = True
        fleet.submit("a", pipelines.stage(2, 3000, lasting=True))
        fleet.run_for(1)
        fleet.hosts["w1"].partitioned = True
        fleet.start_leader()
        fleet.run_for(simfleet.LEASE_S + 3)
        reasons = [(w.reason, w.lasting) for w in waits_in(caplog)]
        assert reasons == [
            (REASON.EARLIER_LEADER.value, True),
            (REASON.NO_ROOM.value, True),
        ]
        last = waits_in(caplog)[-1]
        assert last.most_free < last.millicores

    def test_start_that_is_never_carried_out_is_reported(self, caplog):
        """Guards against a task that stands still without being ready."""
        fleet = simfleet.Fleet(names=("w1",))
        fleet.run_for(1)
        fleet._deliver = lambda *orders: None
        fleet.submit("a")
        fleet.run_for(5)
        (wait,) = waits_in(caplog)
        assert wait.task == "a.0.0.0"
        assert wait.reason == REASON.UNANSWERED.value

    def test_wait_for_a_ticket_has_a_reason_of_its_own(self, caplog):
        pacer = pacing.Pacer(METRICS)
        worker = pipelines.worker("w1", now=3.0)
        monitor = pipelinewaits.WaitMonitor(
            {worker.key: worker},
            attempts.Attempts(pacer, METRICS),
            pacer,
            METRICS,
        )
        advised = attrs.evolve(
            pipelines.QUEUE, advice=queues.AdviceTerms(10, 1, 5000)
        )
        item = waiting_pipeline(pipelines.stage(lasting=True))
        table = queues.QueueTable(1, (advised,))
        monitor.check([item], lambda task: True, table, (), 3.0)
        (wait,) = waits_in(caplog)
        assert wait.reason == REASON.TICKET.value

    def test_usual_wait_on_a_full_fleet_is_not_reported(self, caplog):
        fleet = simfleet.Fleet(names=("w1",), cores=1)
        fleet.run_for(1)
        fleet.hosts["w1"].runner.work_ms = 30_000
        fleet.submit("a", pipelines.stage(estimate_ms=30_000))
        fleet.run_for(1)
        fleet.submit("b")
        fleet.run_for(5)
        assert not waits_in(caplog)
