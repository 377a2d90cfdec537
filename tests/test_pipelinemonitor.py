from pomelostair import attempts
from pomelostair import fleet
from pomelostair import metrics
from pomelostair import pacing
from pomelostair import pipelinemonitor
from tests import pipelines

METRICS = metrics.Metrics()
FILLER = pipelines.stage(filler=True, image="filler")


class MonitoredWorker:
    """A monitor with a single worker."""

    def __init__(self):
        self.pacer = pacing.Pacer(METRICS)
        self.worker = pipelines.worker()
        workers = {(self.worker.id, self.worker.incarnation): self.worker}
        self.monitor = pipelinemonitor.WorkerMonitor(
            workers,
            attempts.Attempts(self.pacer, METRICS),
            self.pacer,
            METRICS,
        )

    def report_at(self, now):
        self.worker.last_report_s = self.worker.last_listed_s = now
        return self.monitor.check(self.worker, now)


class TestStalls:
    def test_attempt_without_progress_is_stopped(self):
        monitored = MonitoredWorker()
        placement = pipelines.place(
            monitored.worker, pipelines.stage(), progress_percent=20
        )
        monitored.report_at(pipelinemonitor.STALL_S - 0.1)
        assert placement.state is fleet.AttemptState.RUNNING
        monitored.report_at(pipelinemonitor.STALL_S + 0.1)
        assert placement.state is fleet.AttemptState.STOPPING

    def test_time_without_reports_is_no_stall(self):
        """Guards against giving up work that was only not reported.

        Reports are late when the leader was paused or a link loses packets.
        """
        monitored = MonitoredWorker()
        placement = pipelines.place(
            monitored.worker, pipelines.stage(), progress_percent=20
        )
        monitored.report_at(0.5)
        monitored.monitor.check(monitored.worker, pipelinemonitor.STALL_S + 0.4)
        assert placement.state is fleet.AttemptState.RUNNING
        assert monitored.worker.suspect_until_s == 0.0

    def test_first_list_after_a_time_without_any_shows_no_stall(self):
        """Guards against stopping work as soon as its machine goes on.

        Worker and agent were suspended together: the list is as before.
        """
        monitored = MonitoredWorker()
        placement = pipelines.place(
            monitored.worker, pipelines.stage(), progress_percent=20
        )
        monitored.report_at(0.5)
        resumed_s = pipelinemonitor.STALL_S + 2.0
        monitored.report_at(resumed_s)
        assert placement.state is fleet.AttemptState.RUNNING
        assert monitored.worker.suspect_until_s == 0.0
        assert not placement.task.failed_on
        for step in range(1, 5):
            monitored.report_at(
                resumed_s + step * (pipelinemonitor.STALL_S + 0.1) / 4
            )
        assert placement.state is fleet.AttemptState.STOPPING

    def test_report_without_lists_shows_no_stall(self):
        monitored = MonitoredWorker()
        placement = pipelines.place(
            monitored.worker, pipelines.stage(), progress_percent=20
        )
        monitored.worker.last_report_s = pipelinemonitor.STALL_S + 0.1
        monitored.monitor.check(monitored.worker, pipelinemonitor.STALL_S + 0.1)
        assert placement.state is fleet.AttemptState.RUNNING

    def test_attempt_whose_end_may_be_unlisted_is_not_stalled(self):
        """Guards against distrusting a worker for work that is done.

        It has more ends than one list holds, and the store is slow.
        """
        monitored = MonitoredWorker()
        placement = pipelines.place(
            monitored.worker, pipelines.stage(), progress_percent=20
        )
        monitored.worker.state = pipelines.worker_state(more_ended=True)
        monitored.report_at(pipelinemonitor.STALL_S + 0.1)
        assert placement.state is fleet.AttemptState.RUNNING
        assert monitored.worker.suspect_until_s == 0.0
        monitored.worker.state = pipelines.worker_state()
        monitored.report_at(pipelinemonitor.STALL_S + 0.2)
        assert placement.state is fleet.AttemptState.STOPPING

    def test_resumed_attempt_gets_the_full_stall_limit(self):
        """Guards against stopping an attempt for the time it was halted.

        A filler that interfered with a service was halted for seconds.
        """
        monitored = MonitoredWorker()
        placement = pipelines.place(
            monitored.worker, FILLER, progress_percent=20, pace_percent=0
        )
        monitored.report_at(10.0)
        assert placement.pace_percent == pacing.FULL_PERCENT
        monitored.report_at(10.0 + pipelinemonitor.STALL_S - 0.1)
        assert placement.state is fleet.AttemptState.RUNNING
        assert monitored.worker.suspect_until_s == 0.0
        monitored.report_at(10.0 + pipelinemonitor.STALL_S + 0.1)
        assert placement.state is fleet.AttemptState.STOPPING


class TestMoves:
    def test_only_attempts_slowed_for_long_are_moved(self):
        monitored = MonitoredWorker()
        service = pipelines.stage(
            lasting=True, latency_target_ms=18.0, image="service"
        )
        pipelines.place(monitored.worker, service, progress_percent=100.0)
        slowed = pipelines.place(
            monitored.worker, FILLER, pace_percent=5, slowed_since_s=9.0
        )
        fresh = pipelines.place(
            monitored.worker, FILLER, pace_percent=5, slowed_since_s=9.9
        )
        monitored.worker.last_pace_step_s = 10.0
        assert monitored.report_at(9.0 + pacing.MOVE_AFTER_S + 0.1) == [slowed]
        assert fresh.state is fleet.AttemptState.RUNNING


class TestCost:
    def test_worker_without_new_report_is_not_checked_in_every_round(self):
        """Guards against rounds whose cost grows with all reports.

        Each report of 70 workers starts a round.
        """
        monitored = MonitoredWorker()
        placement = pipelines.place(
            monitored.worker, pipelines.stage(), progress_percent=20
        )
        monitored.report_at(1.0)
        monitored.worker.state = pipelines.worker_state(draining=True)
        monitored.monitor.check(monitored.worker, 1.1)
        assert placement.state is fleet.AttemptState.RUNNING
        monitored.monitor.check(
            monitored.worker, 1.0 + pipelinemonitor.CHECK_INTERVAL_S
        )
        assert placement.state is fleet.AttemptState.STOPPING
