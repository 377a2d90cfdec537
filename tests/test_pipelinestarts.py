"""The load answered here: filling work that services slow for long."""

from pomelostair import attempts
from pomelostair import fleet
from pomelostair import metrics
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelinestarts
from tests import pipelines

METRICS = metrics.Metrics()
FILLER = pipelines.stage(
    millicores=8000, filler=True, image="noisy", checkpointing=True
)


class Scene:
    """A busy worker and an empty one with room for a single filling task."""

    def __init__(self):
        pacer = pacing.Pacer(METRICS)
        self.attempts = attempts.Attempts(pacer, METRICS)
        self.starter = pipelinestarts.Starter(1, self.attempts, pacer, METRICS)
        self.busy = pipelines.worker("busy", cores=8)
        self.empty = pipelines.worker("empty", cores=8)
        pipelines.place(self.busy, pipelines.stage(millicores=6000))

    def slowed(self, stage=FILLER, submitted_ms=0, **changes):
        placement = pipelines.place(self.busy, stage, pace_percent=5, **changes)
        self.busy.remove(placement)
        self.attempts.attach(placement)
        return placement

    def round(self, *items, slowed=(), now=1.0):
        self.busy.last_report_s = self.empty.last_report_s = now
        named = {}
        for placement in slowed:
            named.setdefault(placement.task.pipeline.id, []).append(placement)
        self.starter.start_ready(
            items, [self.busy, self.empty], pipelines.TABLE, named, now, 0.0
        )


class TestMoves:
    def test_room_goes_to_the_pipeline_nearest_to_its_end(self):
        scene = Scene()
        long = pipelines.stage(
            count=9, millicores=8000, filler=True, checkpointing=True
        )
        begun = scene.slowed(long)
        last = scene.slowed(long)
        item = last.task.pipeline
        for task in item.tasks(0, 0)[1:]:
            item.finish(task, 0.5, 500)
        scene.round(
            begun.task.pipeline, last.task.pipeline, slowed=[begun, last]
        )
        assert last.state is fleet.AttemptState.STOPPING
        assert begun.state is fleet.AttemptState.RUNNING

    def test_reserved_room_waits_for_the_task_that_moves(self):
        scene = Scene()
        moving = scene.slowed()
        item = moving.task.pipeline
        scene.round(item, slowed=[moving])
        assert moving.state is fleet.AttemptState.STOPPING
        other = pipelines.place(pipelines.worker("w3"), FILLER).task
        other.pipeline.release(other, 1.1)
        scene.round(other.pipeline, now=1.2)
        assert not scene.attempts.has_attempts(other)
        scene.attempts.remove(moving, 1.3)
        scene.round(item, other.pipeline, now=1.4)
        assert scene.attempts.of_task(moving.task)[0].worker is scene.empty

    def test_room_is_free_again_if_the_task_does_not_come(self):
        scene = Scene()
        moving = scene.slowed()
        scene.round(moving.task.pipeline, slowed=[moving])
        other = pipelines.place(pipelines.worker("w3"), FILLER).task
        other.pipeline.release(other, 1.1)
        later = 1.0 + fleet.RESERVATION_S + 0.1
        scene.round(other.pipeline, now=later)
        assert scene.attempts.of_task(other)[0].worker is scene.empty

    def test_progress_that_would_be_lost_stays(self):
        scene = Scene()
        stage = pipelines.stage(millicores=8000, filler=True)
        stays = scene.slowed(stage, progress_percent=60.0)
        goes = scene.slowed(stage, progress_percent=2.0)
        scene.round(
            stays.task.pipeline, goes.task.pipeline, slowed=[stays, goes]
        )
        assert stays.state is fleet.AttemptState.RUNNING
        assert goes.state is fleet.AttemptState.STOPPING


class TestGathering:
    def test_services_that_come_together_are_packed_largest_first(self):
        """The load: at the start, all services of a site come at once."""
        scene = Scene()
        scene.busy = pipelines.worker("w1", cores=16)
        scene.empty = pipelines.worker("w2", cores=16)
        items = []
        for number, millicores in enumerate((3000, 3000, 8000, 5000, 5000)):
            stage = pipelines.stage(
                millicores=millicores,
                lasting=True,
                latency_target_ms=18.0,
                image=f"service-{number}",
            )
            declared = pipelines.declare(f"p{number}", stage)
            items.append(
                pipeline.Pipeline(declared, 1, pipeline.Progress(), 1.0)
            )
        scene.round(*items, now=1.0)
        assert not any(item.started for item in items)
        scene.round(*items, now=1.0 + pipelinestarts.GATHER_DELAY_S)
        packed = sorted(
            w.serving_millicores
            for w in (scene.busy, scene.empty)
            if w.serving_millicores
        )
        assert packed == [8000, 16_000]

    def test_service_that_ran_before_starts_at_once(self):
        scene = Scene()
        stage = pipelines.stage(lasting=True, latency_target_ms=18.0)
        failed = pipelines.place(pipelines.worker("w3"), stage).task
        failed.pipeline.release(failed, 1.0)
        scene.round(failed.pipeline, now=1.0)
        assert scene.attempts.has_attempts(failed)
