from pomelostair import attempts
from pomelostair import fleet
from pomelostair import metrics
from pomelostair import pacing
from pomelostair import pipelinemonitor
from tests import pipelines

METRICS = metrics.Metrics()
FILLER = pipelines.stage(filler=True, image="filler")


class Scene:
    """One worker under watch."""

    def __init__(self):
        self.pacer = pacing.Pacer(METRICS)
        self.worker = pipelines.worker()
        workers = {(self.worker.id, self.worker.incarnation): self.worker}
        self.watch = pipelinemonitor.WorkerMonitor(
            workers,
            attempts.Attempts(self.pacer, METRICS),
            self.pacer,
            METRICS,
        )

    def at(self, now):
        self.worker.last_report_s = now
        return self.watch.check(self.worker, now)


class TestStalls:
    def test_attempt_without_progress_is_stopped(self):
        scene = Scene()
        placement = pipelines.place(
            scene.worker, pipelines.stage(), progress_percent=20
        )
        scene.at(pipelinemonitor.STALL_S - 0.1)
        assert placement.state is fleet.AttemptState.RUNNING
        scene.at(pipelinemonitor.STALL_S + 0.1)
        assert placement.state is fleet.AttemptState.STOPPING

    def test_attempt_that_was_halted_has_time_to_go_on(self):
        """The load: noisy work that was halted for seconds beside a service."""
        scene = Scene()
        placement = pipelines.place(
            scene.worker, FILLER, progress_percent=20, pace_percent=0
        )
        scene.at(10.0)
        assert placement.pace_percent == pacing.FULL_PERCENT
        scene.at(10.0 + pipelinemonitor.STALL_S - 0.1)
        assert placement.state is fleet.AttemptState.RUNNING
        assert scene.worker.suspect_until_s == 0.0
        scene.at(10.0 + pipelinemonitor.STALL_S + 0.1)
        assert placement.state is fleet.AttemptState.STOPPING


class TestMoves:
    def test_only_attempts_slowed_for_long_are_named(self):
        scene = Scene()
        service = pipelines.stage(
            lasting=True, latency_target_ms=18.0, image="service"
        )
        pipelines.place(scene.worker, service, progress_percent=100.0)
        slowed = pipelines.place(
            scene.worker, FILLER, pace_percent=5, slowed_since_s=9.0
        )
        fresh = pipelines.place(
            scene.worker, FILLER, pace_percent=5, slowed_since_s=9.9
        )
        scene.worker.last_pace_step_s = 10.0
        assert scene.at(9.0 + pacing.MOVE_AFTER_S + 0.1) == [slowed]
        assert fresh.state is fleet.AttemptState.RUNNING


class TestCost:
    def test_worker_without_news_is_not_looked_at_in_every_round(self):
        """The load: 70 workers, whose reports bring on a round each."""
        scene = Scene()
        placement = pipelines.place(
            scene.worker, pipelines.stage(), progress_percent=20
        )
        stall_s = pipelinemonitor.STALL_S
        scene.at(stall_s - 0.01)
        scene.watch.check(scene.worker, stall_s + 0.1)
        assert placement.state is fleet.AttemptState.RUNNING
        scene.watch.check(
            scene.worker, stall_s + pipelinemonitor.CHECK_INTERVAL_S
        )
        assert placement.state is fleet.AttemptState.STOPPING
