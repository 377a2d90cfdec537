from pomelostair import attempts
from pomelostair import fleet
from pomelostair import metrics
from pomelostair import pacing
from pomelostair import pipelinestragglers
from pomelostair import pipelinewatch
from tests import pipelines

METRICS = metrics.Metrics()
FILLER = pipelines.stage(filler=True, image="filler")


class Scene:
    """One worker under watch."""

    def __init__(self):
        self.pacer = pacing.Pacer(METRICS)
        self.worker = pipelines.worker()
        workers = {(self.worker.id, self.worker.life): self.worker}
        self.stragglers = pipelinestragglers.Stragglers()
        self.watch = pipelinewatch.Watch(
            workers,
            attempts.Attempts(self.pacer, METRICS),
            self.pacer,
            self.stragglers,
            METRICS,
        )

    def at(self, now):
        self.worker.heard = now
        return self.watch.watch_all(now)


class TestStalls:
    def test_attempt_without_progress_is_stopped(self):
        scene = Scene()
        placement = pipelines.put(scene.worker, pipelines.stage(), percent=20)
        scene.at(pipelinewatch.STALL_S - 0.1)
        assert placement.standing is fleet.Standing.RUNNING
        scene.at(pipelinewatch.STALL_S + 0.1)
        assert placement.standing is fleet.Standing.STOPPING

    def test_attempt_that_was_halted_has_time_to_go_on(self):
        """The load: noisy work that was halted for seconds beside a service."""
        scene = Scene()
        placement = pipelines.put(scene.worker, FILLER, percent=20, pace=0)
        scene.at(10.0)
        assert placement.pace == pacing.FULL
        scene.at(10.0 + pipelinewatch.STALL_S - 0.1)
        assert placement.standing is fleet.Standing.RUNNING
        assert scene.worker.trouble == 0.0
        scene.at(10.0 + pipelinewatch.STALL_S + 0.1)
        assert placement.standing is fleet.Standing.STOPPING


class TestMoves:
    def test_only_attempts_slowed_for_long_are_named(self):
        scene = Scene()
        service = pipelines.stage(
            lasting=True, latency_target_ms=18.0, image="service"
        )
        pipelines.put(scene.worker, service, percent=100.0)
        slowed = pipelines.put(scene.worker, FILLER, pace=5, slowed=9.0)
        fresh = pipelines.put(scene.worker, FILLER, pace=5, slowed=9.9)
        scene.worker.paced = 10.0
        findings = scene.at(9.0 + pacing.MOVE_AFTER_S + 0.1)
        assert findings.slowed == {slowed.task.pipeline.id: [slowed]}
        assert fresh.standing is fleet.Standing.RUNNING


class TestStragglers:
    """The load: a worker that turns slow and still answers all calls."""

    def put(self, scene, **fields):
        stage = pipelines.stage(count=3, estimate_ms=8000, **fields)
        placement = pipelines.put(scene.worker, stage, percent=20.0)
        for index in (1, 2):
            other = placement.task.pipeline.tasks(0, 0)[index]
            scene.stragglers.note_done(other, 1.0)
        return placement

    def test_attempt_that_takes_far_longer_starts_again_elsewhere(self):
        scene = Scene()
        placement = self.put(scene)
        placement.moved = 1.9
        scene.at(2.0)
        assert placement.standing is fleet.Standing.STOPPING
        assert scene.worker.id in placement.task.avoided

    def test_attempt_that_is_nearly_done_goes_on(self):
        scene = Scene()
        placement = self.put(scene)
        placement.percent, placement.moved = 80.0, 2.9
        scene.at(3.0)
        assert placement.standing is fleet.Standing.RUNNING

    def test_stage_that_allows_copies_gets_one(self):
        scene = Scene()
        placement = self.put(scene, speculative=True)
        placement.moved = 1.9
        findings = scene.at(2.0)
        assert placement.standing is fleet.Standing.RUNNING
        name = placement.task.pipeline.id
        assert findings.straggling == {name: [placement]}

    def test_several_late_pipelines_make_the_worker_suspect(self):
        scene = Scene()
        for _ in range(pipelinestragglers.SLOW_WORKER):
            self.put(scene).moved = 1.9
        scene.at(2.0)
        assert scene.worker.trouble > 2.0
