"""The load answered here: services left alone on workers, beside noisy work."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pomelostair import attempts
from pomelostair import fleet
from pomelostair import metrics
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelineadvice
from pomelostair import pipelinepacking
from tests import pipelines
from tests import simfleet

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
        changes.setdefault("progress_percent", 100.0)
        placement = pipelines.place(worker, stage, **changes)
        worker.remove(placement)
        self.attempts.attach(placement)
        return placement

    def pack(self, now=10.0):
        for at in (0.0, now):
            self.small.last_report_s = self.large.last_report_s = at
            self.packer.pack([self.small, self.large], at)
        return [
            p
            for p in self.moving + self.staying
            if p.state is fleet.AttemptState.STOPPING
        ]


class TestPack:
    def test_single_service_moves_to_the_others(self):
        scene = Scene()
        scene.put(scene.small, NOISY, progress_percent=10.0)
        assert scene.pack() == scene.moving
        assert set(scene.large.reservations) == {scene.moving[0].task.id}

    def test_nothing_moves_without_filling_work(self):
        assert Scene().pack() == []

    def test_all_or_none_of_a_workers_services_move(self):
        scene = Scene(alone=2, cores=30)
        scene.put(scene.small, NOISY, progress_percent=10.0)
        assert scene.pack() == []
        assert not scene.large.reservations

    def test_many_services_stay(self):
        scene = Scene(alone=pipelinepacking.MOST_MOVED + 1, cores=96)
        scene.put(scene.small, NOISY, progress_percent=10.0)
        assert scene.pack() == []

    def test_service_that_was_just_put_stays(self):
        scene = Scene()
        scene.put(scene.small, NOISY, progress_percent=10.0)
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
        scene.put(scene.small, NOISY, progress_percent=10.0)
        assert scene.pack() == []
        scene = Scene(stage)
        scene.put(scene.small, NOISY, progress_percent=10.0)
        item = scene.moving[0].task.pipeline
        other = fleet.Placement(item.tasks(0, 0)[1], 1, scene.large, 0.0)
        other.state = fleet.AttemptState.RUNNING
        other.progress_percent = 100.0
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
        scene.put(scene.small, NOISY, progress_percent=10.0)
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
                worker.last_report_s = at
            scene.packer.pack([scene.small, scene.large, roomy], at)
        stopping = [
            p for p in scene.staying if p.state is fleet.AttemptState.STOPPING
        ]
        assert len(stopping) == 1
        assert stopping[0].task.id in roomy.reservations
        assert scene.moving[0].state is fleet.AttemptState.RUNNING


class SharedFleet(simfleet.Fleet):
    """Workers on which lasting tasks last, whatever else they run."""

    def _carry_out(self, host, order):
        super()._carry_out(host, order)
        run = host.runner.runs.get(order.task)
        if run is not None:
            run.lasting = stage_of(self, order.task).lasting


def stage_of(shared, task):
    pipeline_id, _, key = task.partition(".")
    return shared.rows[pipeline_id][0].stages[int(key.split(".")[1])]


class SharedMachine(stateful.RuleBasedStateMachine):
    """Services and filling work under random faults."""

    NAMES = ("w1", "w2", "w3", "w4")

    def __init__(self):
        super().__init__()
        self.fleet = SharedFleet(self.NAMES, cores=10)
        self.count = 0

    def submit(self, **fields):
        self.count += 1
        name = f"p{self.count}"
        self.fleet.submit(name, pipelines.stage(**fields))
        return name

    @stateful.rule(
        count=strategies.integers(1, 3),
        millicores=strategies.sampled_from((1500, 2500, 4000)),
        target_ms=strategies.sampled_from((400.0, 900.0)),
        image=strategies.sampled_from(("s1", "s2")),
        most=strategies.integers(0, 2),
    )
    def serve(self, count, millicores, target_ms, image, most):
        if self.count < 12:
            self.submit(
                count=count,
                millicores=millicores,
                lasting=True,
                latency_target_ms=target_ms,
                image=image,
                most_per_worker=most,
            )

    @stateful.rule(
        count=strategies.integers(1, 4),
        image=strategies.sampled_from(("f1", "f2")),
        checkpointing=strategies.booleans(),
    )
    def fill(self, count, image, checkpointing):
        if self.count < 12:
            self.submit(
                count=count,
                millicores=2000,
                filler=True,
                image=image,
                checkpointing=checkpointing,
            )

    @stateful.rule(tenths=strategies.integers(1, 50))
    def play(self, tenths):
        for _ in range(tenths):
            self.step()

    @stateful.rule(data=strategies.data())
    def cancel(self, data):
        if self.fleet.rows:
            name = data.draw(strategies.sampled_from(sorted(self.fleet.rows)))
            self.fleet.cancel(name)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def cut(self, name):
        host = self.fleet.hosts[name]
        host.cut = not host.cut

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def reborn(self, name):
        self.fleet.replace(name)

    @stateful.rule()
    def lead(self):
        self.fleet.lead(gap_s=0.1)

    def step(self):
        self.fleet.step()
        running = collections.Counter(t for t, _ in self.fleet.running())
        assert max(running.values(), default=0) <= 1, running
        for name, host in self.fleet.hosts.items():
            used = simfleet.capacity_used(self.fleet, name)
            assert used.millicores <= self.fleet.cores * 1000
            held = collections.Counter(
                task.rpartition(".")[0] for task in host.runner.runs
            )
            for step, count in held.items():
                most = stage_of(self.fleet, f"{step}.0").most_per_worker
                assert not most or count <= most, (step, name)

    def teardown(self):
        for host in self.fleet.hosts.values():
            host.cut = False
        for _ in range(900):
            self.step()
        for name, (declared, _) in self.fleet.rows.items():
            phase = self.fleet.phase(name)
            if name in self.fleet.cancelled:
                assert phase in (
                    pipeline.Phase.COMPLETED,
                    pipeline.Phase.CANCELLED,
                )
            elif not declared.lasting:
                assert phase is pipeline.Phase.COMPLETED, (name, phase)


TestFaults = SharedMachine.TestCase
TestFaults.settings = hypothesis.settings(
    max_examples=12, stateful_step_count=20
)
