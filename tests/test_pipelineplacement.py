import hypothesis
from hypothesis import strategies
import pytest

from pomelostair import contention
from pomelostair import fleet
from pomelostair import metrics
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelineplacement as placement
from tests import pipelines

METRICS = metrics.Metrics()
# By the platform's rules, no task with room is idle for this long.
PLATFORM_IDLE_S = 3.0


def task_of(stage):
    item = pipeline.Pipeline(
        pipelines.declare("a", stage), 1, pipeline.Progress(), 0.0
    )
    return item.tasks(0, 0)[0]


def choose(task, workers, now=0.0, pacer=None):
    pacer = pacer or pacing.Pacer(METRICS)
    return placement.choose(task, workers, pacer, now)


class TestChoose:
    def test_no_worker_is_chosen_without_room(self):
        workers = [pipelines.worker(cores=4)]
        assert (
            choose(task_of(pipelines.stage(millicores=5000)), workers) is None
        )

    def test_regular_task_goes_to_worker_with_most_unused_time(self):
        busy, idle = pipelines.worker("busy"), pipelines.worker("idle")
        pipelines.place(busy, pipelines.stage(millicores=8000))
        assert choose(task_of(pipelines.stage()), [busy, idle]) is idle

    def test_filler_uses_no_counted_millicores_but_needs_memory(self):
        worker = pipelines.worker()
        pipelines.place(worker, pipelines.stage(millicores=20_000, filler=True))
        regular = task_of(pipelines.stage(millicores=32_000))
        assert choose(regular, [worker]) is worker
        pipelines.place(worker, pipelines.stage(memory_mb=127_000, filler=True))
        filler = task_of(pipelines.stage(memory_mb=2000, filler=True))
        assert choose(filler, [worker]) is None

    def test_filler_waits_for_unused_processor_time(self):
        worker = pipelines.worker()
        pipelines.place(worker, pipelines.stage(millicores=31_000))
        filler = task_of(pipelines.stage(millicores=4000, filler=True))
        assert choose(filler, [worker]) is None

    def test_filler_waits_for_all_of_its_processor_time(self):
        worker = pipelines.worker()
        pipelines.place(worker, pipelines.stage(millicores=28_500))
        filler = task_of(pipelines.stage(millicores=4000, filler=True))
        assert choose(filler, [worker]) is None

    def test_serving_tasks_are_packed_by_image(self):
        """Spreading serving tasks leaves no worker to disruptive fillers."""
        workers = [pipelines.worker(f"w{n}") for n in range(4)]
        images_by_worker = {}
        for number in range(8):
            image = "ab"[number % 2]
            stage = pipelines.stage(
                millicores=6000, latency_target_ms=18.0, image=image
            )
            worker = choose(task_of(stage), workers)
            pipelines.place(worker, stage)
            images_by_worker.setdefault(worker.id, []).append(image)
        assert len(images_by_worker) == 2

    def test_regular_task_avoids_worker_without_serving_tasks(self):
        serving, idle = pipelines.worker("serving"), pipelines.worker("idle")
        pipelines.place(
            serving, pipelines.stage(millicores=20_000, latency_target_ms=18.0)
        )
        assert choose(task_of(pipelines.stage()), [serving, idle]) is serving

    def test_light_filler_shares_worker_with_serving_task(self):
        serving, idle = pipelines.worker("serving"), pipelines.worker("idle")
        service = pipelines.stage(latency_target_ms=18.0, image="service")
        pipelines.place(serving, service, progress_percent=100.0)
        light = task_of(pipelines.stage(100, 500, filler=True, image="light"))
        assert choose(light, [serving, idle]) is serving
        heavy = task_of(pipelines.stage(1, 16_000, filler=True, image="heavy"))
        assert choose(heavy, [serving, idle]) is idle

    def test_light_fillers_do_not_crowd_a_service_beside_an_idle_worker(self):
        """Load: light fillers for half of the capacity, one worker is idle.

        Services use up to 0.6 of their request, so that more than three of the
        fillers would be slowed beside this one.
        """
        workers = [pipelines.worker("serving"), pipelines.worker("idle")]
        service = pipelines.stage(
            millicores=28_000, latency_target_ms=18.0, image="service"
        )
        pipelines.place(workers[0], service)
        pacer = pacing.Pacer(metrics.Metrics())
        pacer.contention.adopt(
            contention.Learned((("service", "light", 0.0, 1e-6),)), 0.0
        )
        filler = pipelines.stage(millicores=4000, filler=True, image="light")
        for _ in range(6):
            chosen = choose(task_of(filler), workers, pacer=pacer)
            pipelines.place(chosen, filler)
        assert 1 <= workers[0].filler_millicores // 4000 <= 3

    def test_silent_worker_is_the_last_choice(self):
        """Guards against starts on a host that was just lost."""
        silent, heard = pipelines.worker("silent"), pipelines.worker("heard")
        pipelines.place(heard, pipelines.stage(millicores=30_000))
        heard.last_listed_s = fleet.SILENT_S
        task = task_of(pipelines.stage())
        assert choose(task, [silent, heard], fleet.SILENT_S) is heard
        silent.last_listed_s = fleet.SILENT_S
        assert choose(task, [silent, heard], fleet.SILENT_S) is silent

    def test_moving_task_goes_to_worker_that_reserved_room(self):
        roomy, tight = pipelines.worker("roomy"), pipelines.worker("tight")
        service = pipelines.stage(
            millicores=6000, latency_target_ms=18.0, image="service"
        )
        pipelines.place(roomy, service)
        for _ in range(4):
            pipelines.place(tight, service)
        task = task_of(service)
        assert choose(task, [roomy, tight]) is tight
        roomy.reserve(task, 2.0)
        assert choose(task, [roomy, tight], now=1.0) is roomy
        assert choose(task, [roomy, tight], now=3.0) is tight

    def test_label_and_most_per_worker_are_respected(self):
        stage = pipelines.stage(2, label="b")
        assert choose(task_of(stage), [pipelines.worker()]) is None
        worker = pipelines.worker()
        spread = pipelines.stage(2, most_per_worker=1)
        first = pipelines.place(worker, spread)
        second = first.task.pipeline.tasks(0, 0)[1]
        assert choose(second, [worker]) is None
        other = pipelines.worker("w2")
        assert choose(second, [worker, other]) is other

    def test_worker_in_rack_of_the_data_is_preferred(self):
        near = pipelines.worker("near")
        far = pipelines.worker("far")
        far.state = pipelines.worker_state("far", rack="r2")
        pipelines.place(near, pipelines.stage(millicores=8000))
        task = task_of(pipelines.stage(rack="r1"))
        assert choose(task, [near, far]) is near

    def test_failed_task_goes_to_worker_with_recent_success(self):
        new, proven, failing = workers = workers_to_retry_on()
        task = task_of(pipelines.stage())
        task.failed_on["other"] = 0.0
        task.ready_since_s = 6.0
        assert choose(task, workers, now=6.0) is proven
        pipelines.place(proven, pipelines.stage(millicores=32_000))
        assert choose(task, workers, now=6.0) is None
        assert choose(task, workers, now=7.0) is None

    def test_failed_task_is_not_idle_while_a_sound_worker_has_room(self):
        """Guards against a LOST task that waits for successes to be outdated.

        The workers with a recent success are full, and another one has room.
        """
        new, proven, failing = workers = workers_to_retry_on()
        pipelines.place(proven, pipelines.stage(millicores=32_000))
        task = task_of(pipelines.stage())
        task.failed_on["other"] = 0.0
        task.ready_since_s = 6.0
        now = 6.0 + PLATFORM_IDLE_S
        assert choose(task, workers, now=now) is new
        pipelines.place(new, pipelines.stage(millicores=32_000))
        assert choose(task, workers, now=now) is failing

    def test_refused_task_waits_for_no_success(self):
        """Guards against an idle pipeline: a refusal uses up no attempt."""
        new, proven, failing = workers = workers_to_retry_on()
        pipelines.place(proven, pipelines.stage(millicores=32_000))
        task = task_of(pipelines.stage())
        task.refused_by["other"] = 6.0
        task.ready_since_s = 6.0
        assert choose(task, workers, now=6.0) is new

    def test_proven_worker_without_the_pace_hides_no_other(self):
        """Guards against a LOST filler: its retry fits only a slow worker."""
        new, proven, _ = workers_to_retry_on()

        class Pacer(pacing.Pacer):
            def available_pace_share(self, task, worker, now):
                return 0.1 if worker is proven else 1.0

            def required_pace_share(self, task, now):
                return 0.5

        task = task_of(pipelines.stage(filler=True))
        task.failed_on["other"] = 0.0
        task.ready_since_s = 6.0
        workers = [new, proven]
        now = 6.0 + PLATFORM_IDLE_S
        assert choose(task, workers, now, Pacer(METRICS)) is new

    def test_lasting_task_waits_for_no_success_elsewhere(self):
        """Guards against a LOST service: its failures are not limited."""
        new, proven, failing = workers = workers_to_retry_on()
        pipelines.place(proven, pipelines.stage(millicores=32_000))
        task = task_of(pipelines.stage(lasting=True))
        task.failed_on["other"] = 0.0
        task.ready_since_s = 6.0
        assert choose(task, workers, now=6.0) is new

    def test_failed_task_avoids_its_worker_while_others_have_room(self):
        failed = pipelines.worker("failed")
        other = pipelines.worker("other")
        task = task_of(pipelines.stage())
        task.failed_on["failed"] = 0.0
        assert choose(task, [failed, other]) is other

    def test_task_refused_everywhere_takes_its_workers_in_turn(self):
        """Guards against a worker that always refuses and hides the others."""
        workers = [pipelines.worker(f"w{n}") for n in range(4)]
        pipelines.place(workers[3], pipelines.stage())
        task = task_of(pipelines.stage(lasting=True))
        chosen = []
        for step in range(8):
            chosen.append(choose(task, workers, now=step))
            task.refused_by[chosen[-1].id] = step
        assert chosen == workers * 2

    def test_short_wait_spares_a_worker_on_which_an_attempt_failed(self):
        """Guards against failing a pipeline while a refusal would do."""
        failing, refusing = pipelines.worker("w1"), pipelines.worker("w2")
        task = task_of(pipelines.stage())
        task.ready_since_s = 6.0
        task.failed_on["w1"] = 6.0
        task.refused_by["w2"] = 6.5
        workers = [failing, refusing]
        assert choose(task, workers, now=7.0) is refusing
        now = 6.0 + PLATFORM_IDLE_S
        assert choose(task, workers, now=now) is failing

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
    def test_placements_never_exceed_capacity_of_a_worker(self, demands):
        workers = [pipelines.worker("w1"), pipelines.worker("w2", cores=16)]
        for millicores, memory_mb, filler in demands:
            stage = pipelines.stage(1, millicores, memory_mb, filler=filler)
            worker = choose(task_of(stage), workers)
            if worker is not None:
                pipelines.place(worker, stage)
        for worker in workers:
            stages = [p.task.stage for p in worker.placements.values()]
            regular_millicores = sum(
                s.demand.millicores for s in stages if not s.filler
            )
            memory_mb = sum(s.demand.memory_mb for s in stages)
            assert regular_millicores <= worker.state.capacity.millicores
            assert memory_mb <= worker.state.capacity.memory_mb


def workers_to_retry_on():
    """Returns workers without any end, with a success and with a failure."""
    return [
        pipelines.worker("new"),
        pipelines.worker("proven", last_success_s=5.0),
        pipelines.worker("failing", last_success_s=4.0, last_failure_s=5.0),
    ]


class TestChooseToFree:
    LARGE = pipelines.stage(1, 7000, lasting=True)

    def worker(self, name, *durations_ms, **changes):
        worker = pipelines.worker(name, cores=8)
        for duration_ms in durations_ms:
            stage = pipelines.stage(1, 3000, estimate_ms=duration_ms)
            pipelines.place(worker, stage, **changes)
        return worker

    def choose(self, *workers):
        return placement.choose_to_free(task_of(self.LARGE), workers, 1.0)

    def test_worker_whose_work_ends_first_is_chosen(self):
        """Guards against a wait for long work where the least is missing."""
        soon, late = self.worker("soon", 1000, 1200), self.worker("late", 9000)
        assert self.choose(late, soon) is soon

    def test_progress_counts(self):
        nearly = self.worker("nearly", 9000, progress_percent=95.0)
        assert self.choose(self.worker("soon", 1000), nearly) is nearly

    def test_work_of_unknown_duration_is_the_last_choice(self):
        known, unknown = self.worker("known", 4000), self.worker("unknown", 0)
        assert self.choose(unknown, known) is known

    @pytest.mark.parametrize(("others", "has_room"), [(1, True), (2, False)])
    def test_room_beside_that_of_other_tasks_is_chosen(self, others, has_room):
        """Guards against waits for one task after the other."""
        worker = pipelines.worker("large", cores=16)
        pipelines.place(worker, pipelines.stage(1, 16_000))
        for number in range(others):
            other = task_of(self.LARGE)
            other.id = f"other.0.0.{number}"
            worker.reserve(other, 9.0)
        assert (self.choose(worker) is worker) == has_room


class TestCouldEverFit:
    def test_stage_larger_than_every_worker_never_fits(self):
        workers = [pipelines.worker(cores=32)]
        large = pipelines.stage(millicores=33_000)
        assert not placement.could_ever_fit(large, workers)
        assert placement.could_ever_fit(pipelines.stage(), workers)
        labelled = pipelines.stage(label="none")
        assert not placement.could_ever_fit(labelled, workers)


STAGES = strategies.builds(
    lambda millicores, filler, image, limit, target, rack: pipelines.stage(
        count=12,
        millicores=millicores,
        filler=filler,
        image=image,
        most_per_worker=limit,
        latency_target_ms=0.0 if filler else target,
        rack=rack,
    ),
    strategies.sampled_from([500, 1900, 3500, 9000]),
    strategies.booleans(),
    strategies.sampled_from("ab"),
    strategies.sampled_from([0, 2]),
    strategies.sampled_from([0.0, 18.0]),
    strategies.sampled_from(["", "r1", "r9"]),
)


# Times of refusals by id of the worker.
REFUSALS = strategies.dictionaries(
    strategies.sampled_from(["w0", "w1", "w2"]),
    strategies.floats(1.0, 9.0),
    max_size=3,
)


def fleet_of(sizes, placed):
    """Returns workers on which stages run, assigned round-robin."""
    workers = [
        pipelines.worker(f"w{n}", cores) for n, cores in enumerate(sizes)
    ]
    for number, stage in enumerate(placed):
        pipelines.place(workers[number % len(workers)], stage)
    return workers


class TestCandidates:
    @hypothesis.given(
        strategies.lists(strategies.sampled_from([4, 16, 32]), min_size=1),
        strategies.lists(STAGES, max_size=12),
        STAGES,
        strategies.lists(REFUSALS, min_size=12, max_size=12),
    )
    def test_wide_stage_goes_where_the_full_comparison_sends_it(
        self, sizes, placed, stage, refusals
    ):
        item = pipeline.Pipeline(
            pipelines.declare("wide", stage), 1, pipeline.Progress(), 0.0
        )
        tasks = item.tasks(0, 0)
        pacer = pacing.Pacer(METRICS)
        compared, ranked = fleet_of(sizes, placed), fleet_of(sizes, placed)
        candidates = placement.Candidates(
            tasks[0],
            ranked,
            pacer,
            pacer.required_pace_share(tasks[0], 0.0),
            0.0,
        )
        for task, refused_by in zip(tasks, refusals, strict=True):
            task.refused_by = refused_by
            expected = choose(task, compared, pacer=pacer)
            worker = candidates.best(task)
            assert (worker and worker.id) == (expected and expected.id)
            if worker is None:
                return
            for chosen in (expected, worker):
                chosen.add(fleet.Placement(task, 1, chosen, 0.0))
            candidates.update_best(task)


class TestFullDemands:
    def test_larger_demand_of_the_same_kind_is_included(self):
        full = placement.FullDemands()
        full.add_unfitting(pipelines.stage(millicores=2000))
        assert full.includes(pipelines.stage(millicores=2000), 0.7)
        assert full.includes(pipelines.stage(millicores=3500), 0.7)
        assert not full.includes(pipelines.stage(millicores=1900), 0.7)
        filler = pipelines.stage(millicores=3500, filler=True)
        assert not full.includes(filler, 0.7)

    def test_filler_that_is_too_slow_anywhere(self):
        full = placement.FullDemands()
        noisy = pipelines.stage(millicores=3500, filler=True, image="noisy")
        full.add_too_slow(noisy, 0.6)
        assert full.includes(noisy, 0.7)
        assert not full.includes(noisy, 0.5)
        light = pipelines.stage(millicores=3500, filler=True, image="light")
        assert not full.includes(light, 0.7)
