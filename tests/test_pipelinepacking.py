"""The load answered here: services left alone on workers, beside noisy work."""

from pomelostair import attempts
from pomelostair import fleet
from pomelostair import metrics
from pomelostair import pacing
from pomelostair import pipelineadvice
from pomelostair import pipelinepacking
from tests import pipelines

METRICS = metrics.Metrics()
SERVICE = pipelines.stage(
    count=4,
    millicores=6000,
    lasting=True,
    latency_target_ms=18.0,
    image="service",
)
NOISY = pipelines.stage(millicores=4000, filler=True, image="noisy")


class Scene:
    """A worker with a single service, one with three, and filling work."""

    def __init__(self, stage=SERVICE, alone=1, cores=32):
        pacer = pacing.Pacer(METRICS)
        self.attempts = attempts.Attempts(pacer, METRICS)
        self.advice = pipelineadvice.Advice()
        self.packer = pipelinepacking.Packer(
            self.attempts, pacer, self.advice, METRICS
        )
        self.small = pipelines.worker("small")
        self.large = pipelines.worker("large", cores=cores)
        self.moving = [self.put(self.small, stage) for _ in range(alone)]
        self.staying = [self.put(self.large, SERVICE) for _ in range(alone + 2)]

    def put(self, worker, stage, **changes):
        changes.setdefault("percent", 100.0)
        placement = pipelines.put(worker, stage, **changes)
        worker.remove(placement)
        self.attempts.attach(placement)
        return placement

    def pack(self, now=10.0):
        for at in (0.0, now):
            self.small.heard = self.large.heard = at
            self.packer.pack([self.small, self.large], at)
        return [
            p
            for p in self.moving + self.staying
            if p.standing is fleet.Standing.STOPPING
        ]


class TestPack:
    def test_single_service_moves_to_the_others(self):
        scene = Scene()
        scene.put(scene.small, NOISY, percent=10.0)
        assert scene.pack() == scene.moving
        assert set(scene.large.reserved) == {scene.moving[0].task.id}

    def test_nothing_moves_without_filling_work(self):
        assert Scene().pack() == []

    def test_all_or_none_of_a_workers_services_move(self):
        scene = Scene(alone=2, cores=30)
        scene.put(scene.small, NOISY, percent=10.0)
        assert scene.pack() == []
        assert not scene.large.reserved

    def test_many_services_stay(self):
        scene = Scene(alone=pipelinepacking.MOST_MOVED + 1, cores=96)
        scene.put(scene.small, NOISY, percent=10.0)
        assert scene.pack() == []

    def test_service_that_was_just_put_stays(self):
        scene = Scene()
        scene.put(scene.small, NOISY, percent=10.0)
        assert scene.pack(pipelinepacking.STAYS_S - 0.1) == []

    def test_promise_of_tasks_at_work_is_kept(self):
        stage = pipelines.stage(
            count=2,
            millicores=6000,
            lasting=True,
            latency_target_ms=18.0,
            image="service",
            skippable=1,
        )
        scene = Scene(stage)
        scene.put(scene.small, NOISY, percent=10.0)
        assert scene.pack() == []
        scene = Scene(stage)
        scene.put(scene.small, NOISY, percent=10.0)
        item = scene.moving[0].task.pipeline
        other = fleet.Placement(item.tasks(0, 0)[1], 1, scene.large, 0.0)
        other.standing = fleet.Standing.RUNNING
        other.percent = 100.0
        scene.attempts.attach(other)
        assert scene.pack() == scene.moving

    def test_room_is_made_for_a_service_that_may_not_go_elsewhere(self):
        """The load: the only worker with room has its share of the stage."""
        spread = pipelines.stage(
            count=3,
            millicores=5000,
            lasting=True,
            latency_target_ms=18.0,
            image="spread",
            most_per_worker=1,
        )
        scene = Scene(spread)
        scene.put(scene.small, NOISY, percent=10.0)
        item = scene.moving[0].task.pipeline
        roomy = pipelines.worker("roomy", cores=48)
        for _ in range(4):
            scene.put(roomy, SERVICE)
        beside = fleet.Placement(item.tasks(0, 0)[1], 1, roomy, 0.0)
        scene.attempts.attach(beside)
        scene.staying.append(scene.put(scene.large, SERVICE))
        blocking = scene.put(scene.large, pipelines.stage(millicores=4000))
        assert blocking.worker.free.millicores < 5000
        for at in (0.0, 10.0):
            for worker in (scene.small, scene.large, roomy):
                worker.heard = at
            scene.packer.pack([scene.small, scene.large, roomy], at)
        stopping = [
            p for p in scene.staying if p.standing is fleet.Standing.STOPPING
        ]
        assert len(stopping) == 1
        assert stopping[0].task.id in roomy.reserved
        assert scene.moving[0].standing is fleet.Standing.RUNNING
