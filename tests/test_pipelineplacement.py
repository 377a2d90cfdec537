import hypothesis
from hypothesis import strategies

from pomelostair import metrics
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelineplacement as placement
from tests import pipelines

METRICS = metrics.Metrics()


def task_of(stage):
    item = pipeline.Pipeline(
        pipelines.declare("a", stage), 1, pipeline.Progress(), 0.0
    )
    return item.tasks(0, 0)[0]


def choose(task, workers, now=0.0, pacer=None):
    pacer = pacer or pacing.Pacer(METRICS)
    return placement.choose(task, workers, pacer, now)


class TestChoose:
    def test_no_room_is_none(self):
        workers = [pipelines.worker(cores=4)]
        assert (
            choose(task_of(pipelines.stage(millicores=5000)), workers) is None
        )

    def test_counted_work_goes_where_most_is_unused(self):
        full, empty = pipelines.worker("full"), pipelines.worker("empty")
        pipelines.place(full, pipelines.stage(millicores=8000))
        assert choose(task_of(pipelines.stage()), [full, empty]) is empty

    def test_filling_work_does_not_count_but_needs_memory(self):
        worker = pipelines.worker()
        pipelines.place(worker, pipelines.stage(millicores=20_000, filler=True))
        counted = task_of(pipelines.stage(millicores=32_000))
        assert choose(counted, [worker]) is worker
        pipelines.place(worker, pipelines.stage(memory_mb=127_000, filler=True))
        filling = task_of(pipelines.stage(memory_mb=2000, filler=True))
        assert choose(filling, [worker]) is None

    def test_filling_work_waits_for_unused_time(self):
        worker = pipelines.worker()
        pipelines.place(worker, pipelines.stage(millicores=31_000))
        filling = task_of(pipelines.stage(millicores=4000, filler=True))
        assert choose(filling, [worker]) is None

    def test_services_are_packed_by_image(self):
        """The load: noisy filling work, which services leave little room."""
        workers = [pipelines.worker(f"w{n}") for n in range(4)]
        made = {}
        for number in range(8):
            image = "ab"[number % 2]
            stage = pipelines.stage(
                millicores=6000, latency_target_ms=18.0, image=image
            )
            worker = choose(task_of(stage), workers)
            pipelines.place(worker, stage)
            made.setdefault(worker.id, []).append(image)
        assert len(made) == 2

    def test_counted_work_leaves_workers_without_services_to_noisy_work(self):
        shared, unshared = pipelines.worker("shared"), pipelines.worker("free")
        pipelines.place(
            shared, pipelines.stage(millicores=20_000, latency_target_ms=18.0)
        )
        assert choose(task_of(pipelines.stage()), [shared, unshared]) is shared

    def test_filling_work_that_services_can_bear_goes_beside_them(self):
        shared, unshared = pipelines.worker("shared"), pipelines.worker("free")
        service = pipelines.stage(latency_target_ms=18.0, image="service")
        pipelines.place(shared, service, progress_percent=100.0)
        task = task_of(pipelines.stage(100, 500, filler=True, image="light"))
        assert choose(task, [shared, unshared]) is shared
        loud = task_of(pipelines.stage(1, 16_000, filler=True, image="loud"))
        assert choose(loud, [shared, unshared]) is unshared

    def test_task_that_moves_goes_where_room_is_kept_for_it(self):
        kept, tight = pipelines.worker("kept"), pipelines.worker("tight")
        service = pipelines.stage(
            millicores=6000, latency_target_ms=18.0, image="service"
        )
        pipelines.place(kept, service)
        for _ in range(4):
            pipelines.place(tight, service)
        task = task_of(service)
        assert choose(task, [kept, tight]) is tight
        kept.reserve(task, 2.0)
        assert choose(task, [kept, tight], now=1.0) is kept
        assert choose(task, [kept, tight], now=3.0) is tight

    def test_label_and_spread_are_kept(self):
        stage = pipelines.stage(2, label="b")
        assert choose(task_of(stage), [pipelines.worker()]) is None
        worker = pipelines.worker()
        spread = pipelines.stage(2, most_per_worker=1)
        first = pipelines.place(worker, spread)
        second = first.task.pipeline.tasks(0, 0)[1]
        assert choose(second, [worker]) is None
        other = pipelines.worker("w2")
        assert choose(second, [worker, other]) is other

    def test_data_draws_work_to_its_rack(self):
        near = pipelines.worker("near")
        far = pipelines.worker("far")
        far.state = pipelines.state("far", rack="r2")
        pipelines.place(near, pipelines.stage(millicores=8000))
        task = task_of(pipelines.stage(rack="r1"))
        assert choose(task, [near, far]) is near

    def test_failed_task_goes_to_a_proven_worker_only(self):
        new = pipelines.worker("new")
        proven = pipelines.worker("proven", last_success_s=5.0)
        failing = pipelines.worker(
            "failing", last_success_s=4.0, last_failure_s=5.0
        )
        task = task_of(pipelines.stage())
        task.avoided_workers.add("other")
        assert choose(task, [new, proven, failing], now=6.0) is proven
        pipelines.place(proven, pipelines.stage(millicores=32_000))
        assert choose(task, [new, proven, failing], now=6.0) is None

    def test_failed_task_never_returns_while_others_have_room(self):
        failed = pipelines.worker("failed")
        other = pipelines.worker("other")
        task = task_of(pipelines.stage())
        task.avoided_workers.add("failed")
        assert choose(task, [failed, other]) is other

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(100, 20_000),
                strategies.integers(100, 60_000),
                strategies.booleans(),
            ),
            max_size=40,
        )
    )
    def test_no_worker_is_ever_over_its_capacity(self, demands):
        workers = [pipelines.worker("w1"), pipelines.worker("w2", cores=16)]
        for millicores, memory_mb, filler in demands:
            stage = pipelines.stage(1, millicores, memory_mb, filler=filler)
            worker = choose(task_of(stage), workers)
            if worker is not None:
                pipelines.place(worker, stage)
        for worker in workers:
            held = [p.task.stage for p in worker.placements.values()]
            counted = sum(s.demand.millicores for s in held if not s.filler)
            memory_mb = sum(s.demand.memory_mb for s in held)
            assert counted <= worker.state.capacity.millicores
            assert memory_mb <= worker.state.capacity.memory_mb


class TestCouldEverFit:
    def test_larger_than_every_worker_never_fits(self):
        workers = [pipelines.worker(cores=32)]
        large = pipelines.stage(millicores=33_000)
        assert not placement.could_ever_fit(large, workers)
        assert placement.could_ever_fit(pipelines.stage(), workers)
        labelled = pipelines.stage(label="none")
        assert not placement.could_ever_fit(labelled, workers)
