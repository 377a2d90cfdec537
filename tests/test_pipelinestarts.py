"""Starts of ready tasks, and moves of fillers that services slow down."""

import pytest

from pomelostair import attempts
from pomelostair import fleet
from pomelostair import metrics
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelineplacement as placement_module
from pomelostair import pipelinestarts
from tests import pipelines

METRICS = metrics.Metrics()
FILLER = pipelines.stage(
    millicores=8000, filler=True, image="noisy", checkpointing=True
)


class TwoWorkers:
    """A busy worker and an empty one that fits a single filler task."""

    def __init__(self):
        pacer = pacing.Pacer(METRICS)
        self.attempts = attempts.Attempts(pacer, METRICS)
        self.recorded = []
        self.starter = pipelinestarts.Starter(
            1, self.attempts, pacer, METRICS, self.recorded.append
        )
        self.busy = pipelines.worker("busy", cores=8)
        self.empty = pipelines.worker("empty", cores=8)
        pipelines.place(self.busy, pipelines.stage(millicores=6000))

    def place_slowed(self, stage=FILLER, submitted_ms=0, **changes):
        placement = pipelines.place(self.busy, stage, pace_percent=5, **changes)
        self.busy.remove(placement)
        self.attempts.attach(placement)
        return placement

    def start_ready(
        self, *items, slowed=(), now=1.0, may_start=lambda task: True
    ):
        self.busy.last_report_s = self.empty.last_report_s = now
        by_pipeline = {}
        for placement in slowed:
            by_pipeline.setdefault(placement.task.pipeline.id, []).append(
                placement
            )
        self.starter.start_ready(
            items,
            [self.busy, self.empty],
            pipelines.TABLE,
            by_pipeline,
            now,
            may_start,
        )


class TestMoves:
    def test_pipeline_nearest_to_its_end_moves_first(self):
        cluster = TwoWorkers()
        long = pipelines.stage(
            count=9, millicores=8000, filler=True, checkpointing=True
        )
        unfinished = cluster.place_slowed(long)
        nearly_done = cluster.place_slowed(long)
        item = nearly_done.task.pipeline
        for task in item.tasks(0, 0)[1:]:
            item.finish(task, 0.5, 500)
        cluster.start_ready(
            unfinished.task.pipeline,
            nearly_done.task.pipeline,
            slowed=[unfinished, nearly_done],
        )
        assert nearly_done.state is fleet.AttemptState.STOPPING
        assert unfinished.state is fleet.AttemptState.RUNNING

    def test_reservation_holds_resources_for_the_moving_task(self):
        cluster = TwoWorkers()
        moving = cluster.place_slowed()
        item = moving.task.pipeline
        cluster.start_ready(item, slowed=[moving])
        assert moving.state is fleet.AttemptState.STOPPING
        other = pipelines.place(pipelines.worker("w3"), FILLER).task
        other.pipeline.release(other, 1.1)
        cluster.start_ready(other.pipeline, now=1.2)
        assert not cluster.attempts.has_attempts(other)
        cluster.attempts.remove(moving, 1.3)
        cluster.start_ready(item, other.pipeline, now=1.4)
        assert cluster.attempts.of_task(moving.task)[0].worker is cluster.empty

    def test_expired_reservation_frees_the_resources(self):
        cluster = TwoWorkers()
        moving = cluster.place_slowed()
        cluster.start_ready(moving.task.pipeline, slowed=[moving])
        other = pipelines.place(pipelines.worker("w3"), FILLER).task
        other.pipeline.release(other, 1.1)
        later = 1.0 + fleet.RESERVATION_S + 0.1
        cluster.start_ready(other.pipeline, now=later)
        assert cluster.attempts.of_task(other)[0].worker is cluster.empty

    def test_attempt_with_progress_to_lose_is_not_moved(self):
        cluster = TwoWorkers()
        stage = pipelines.stage(millicores=8000, filler=True)
        advanced = cluster.place_slowed(stage, progress_percent=60.0)
        recent = cluster.place_slowed(stage, progress_percent=2.0)
        cluster.start_ready(
            advanced.task.pipeline,
            recent.task.pipeline,
            slowed=[advanced, recent],
        )
        assert advanced.state is fleet.AttemptState.RUNNING
        assert recent.state is fleet.AttemptState.STOPPING


class TestServicesOnMostOfTheCapacity:
    """Services, half of them spread, that fill five in six workers at once.

    Guards against spread services that each start on workers of their own, so
    that nearly every worker serves some image that a filler slows.
    """

    WORKERS = 30
    SPREAD_SERVICES = 5
    SPREAD_TASKS = 10
    COMPACT_SERVICES = 5
    COMPACT_TASKS = 15
    TASKS_PER_WORKER = 5

    def start_services(self):
        """Starts all services; returns the images served by each worker."""
        pacer = pacing.Pacer(METRICS)
        placed = attempts.Attempts(pacer, METRICS)
        starter = pipelinestarts.Starter(
            1, placed, pacer, METRICS, lambda item: None
        )
        workers = [
            pipelines.worker(f"w{n:02}", cores=32, now=1.0)
            for n in range(self.WORKERS)
        ]
        items = []
        for number in range(self.SPREAD_SERVICES + self.COMPACT_SERVICES):
            spread = number % 2
            stage = pipelines.stage(
                self.SPREAD_TASKS if spread else self.COMPACT_TASKS,
                # Neighbours in the order of sizes differ in their spread.
                millicores=6000 + 40 * number,
                lasting=True,
                latency_target_ms=18.0,
                image=f"service-{number}",
                most_per_worker=1 if spread else 0,
            )
            declared = pipelines.declare(f"p{number}", stage)
            items.append(
                pipeline.Pipeline(declared, 1, pipeline.Progress(), 0.0)
            )
        starter.start_ready(items, workers, pipelines.TABLE, {}, 1.0)
        assert all(item.started for item in items)
        return [
            {p.task.stage.image for p in worker.placements.values()}
            for worker in workers
        ]

    def test_spread_services_share_workers(self):
        images = self.start_services()
        shared = [served for served in images if len(served) > 1]
        assert len(shared) == self.SPREAD_TASKS

    def test_other_services_have_workers_of_their_own(self):
        images = self.start_services()
        own = [served for served in images if len(served) == 1]
        tasks = self.COMPACT_SERVICES * self.COMPACT_TASKS
        assert len(own) == tasks / self.TASKS_PER_WORKER

    def test_remaining_workers_stay_free_for_fillers(self):
        images = self.start_services()
        used = self.SPREAD_TASKS + self.COMPACT_SERVICES * (
            self.COMPACT_TASKS // self.TASKS_PER_WORKER
        )
        assert sum(not served for served in images) == self.WORKERS - used


class TestMoreFillersThanProcessorTime:
    """Fillers that rank first use all processor time for a long time.

    Guards against accepted pipelines that never run, such as those whose
    objective had passed when all processes restarted.
    """

    def start_waiting(
        self, waited_s, age_s=30.0, ahead=(), counted_millicores=0
    ):
        cluster = TwoWorkers()
        for worker in (cluster.busy, cluster.empty):
            pipelines.place(worker, FILLER)
        pipelines.place(
            cluster.empty, pipelines.stage(millicores=counted_millicores)
        )
        declared = pipelines.declare(
            "waiting",
            pipelines.stage(3, millicores=2000, filler=True),
        )
        waiting = pipeline.Pipeline(
            declared, 1, pipeline.Progress(), 0.0, age_s
        )
        cluster.start_ready(*ahead, waiting, now=waited_s)
        return waiting

    def test_pipeline_waits_while_it_may_meet_its_objective(self):
        now = placement_module.MAX_IDLE_S + 0.1
        assert not self.start_waiting(now, age_s=0.0).started

    def test_pipeline_waits_for_unused_processor_time_first(self):
        assert not self.start_waiting(placement_module.MAX_IDLE_S - 0.1).started

    def test_one_task_starts_after_the_longest_idle_time(self):
        waiting = self.start_waiting(placement_module.MAX_IDLE_S + 0.1)
        assert waiting.started
        assert len(waiting.ready) == 2

    @pytest.mark.parametrize("ran", [False, True])
    def test_refused_start_does_not_restart_the_wait(self, ran):
        """Else a task whose starts are refused would stay idle for too long."""
        cluster = TwoWorkers()
        for worker in (cluster.busy, cluster.empty):
            pipelines.place(worker, FILLER)
        waiting = pipeline.Pipeline(
            pipelines.declare(
                "waiting", pipelines.stage(millicores=2000, filler=True)
            ),
            1,
            pipeline.Progress(),
            0.0,
            30.0,
        )
        now = placement_module.MAX_IDLE_S + 0.1
        cluster.start_ready(waiting, now=now)
        (placement,) = cluster.attempts.of_task(waiting.tasks(0, 0)[0])
        placement.reported = ran
        cluster.attempts.remove(placement, now + 0.3)
        cluster.start_ready(waiting, now=now + 0.5)
        assert bool(waiting.ready) is ran

    def test_task_that_is_delayed_hides_no_other(self):
        """Guards against a LOST pipeline whose first task was refused."""
        cluster = TwoWorkers()
        for worker in (cluster.busy, cluster.empty):
            pipelines.place(worker, FILLER)
        waiting = pipeline.Pipeline(
            pipelines.declare(
                "waiting", pipelines.stage(2, millicores=2000, filler=True)
            ),
            1,
            pipeline.Progress(),
            0.0,
            30.0,
        )
        first, second = waiting.tasks(0, 0)
        now = 3.0
        first.not_before_s = now + 0.2
        cluster.start_ready(waiting, now=now)
        assert cluster.attempts.has_attempts(second)
        assert not cluster.attempts.has_attempts(first)

    def test_large_task_hides_no_small_one_of_another_stage(self):
        """Guards against a LOST pipeline whose first stage fits nowhere."""
        cluster = TwoWorkers()
        for worker in (cluster.busy, cluster.empty):
            pipelines.place(worker, FILLER)
        large = pipelines.stage(memory_mb=1_000_000, filler=True)
        small = pipelines.stage(millicores=2000, filler=True)
        waiting = pipeline.Pipeline(
            pipelines.declare("waiting", large, small),
            1,
            pipeline.Progress(),
            0.0,
            30.0,
        )
        cluster.start_ready(waiting, now=3.0)
        (task,) = waiting.tasks(0, 1)
        assert cluster.attempts.has_attempts(task)

    def test_it_waits_longer_while_counted_work_uses_most_capacity(self):
        for waited_s, started in (
            (placement_module.MAX_IDLE_S + 0.1, False),
            (pipelinestarts.MAX_BUSY_IDLE_S + 0.1, True),
        ):
            waiting = self.start_waiting(waited_s, counted_millicores=4000)
            assert waiting.started is started

    def test_it_starts_behind_any_number_of_ready_tasks(self):
        wide = pipelines.stage(
            pipelinestarts.MAX_CONSIDERED_TASKS, millicores=9000
        )
        now = placement_module.MAX_IDLE_S + 0.1
        ahead = pipeline.Pipeline(
            pipelines.declare("ahead", wide), 1, pipeline.Progress(), now
        )
        assert self.start_waiting(now, ahead=(ahead,)).started


class TestGatherDelay:
    def test_services_submitted_together_are_packed_largest_first(self):
        """Guards against packing each service as it arrives.

        When a site starts, all its services are submitted at once.
        """
        cluster = TwoWorkers()
        cluster.busy = pipelines.worker("w1", cores=16)
        cluster.empty = pipelines.worker("w2", cores=16)
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
        cluster.start_ready(*items, now=1.0)
        assert not any(item.started for item in items)
        cluster.start_ready(*items, now=1.0 + pipelinestarts.GATHER_DELAY_S)
        packed = sorted(
            w.serving_millicores
            for w in (cluster.busy, cluster.empty)
            if w.serving_millicores
        )
        assert packed == [8000, 16_000]

    def test_service_that_ran_before_restarts_at_once(self):
        cluster = TwoWorkers()
        stage = pipelines.stage(lasting=True, latency_target_ms=18.0)
        failed = pipelines.place(pipelines.worker("w3"), stage).task
        failed.pipeline.release(failed, 1.0)
        cluster.start_ready(failed.pipeline, now=1.0)
        assert cluster.attempts.has_attempts(failed)


class TestWorkBehindServices:
    @pytest.mark.parametrize("label", ["", "nowhere"])
    def test_services_that_can_not_start_hide_no_other_work(self, label):
        """Guards against work that stands still behind any number of services.

        They rank first, and wait for an earlier leader or for a worker with
        their label.
        """
        cluster = TwoWorkers()
        services = pipeline.Pipeline(
            pipelines.declare(
                "services",
                pipelines.stage(
                    pipelinestarts.MAX_CONSIDERED_TASKS + 1,
                    lasting=True,
                    label=label,
                ),
            ),
            1,
            pipeline.Progress(),
            0.0,
        )
        other = pipeline.Pipeline(
            pipelines.declare("other"), 1, pipeline.Progress(), 0.0
        )
        cluster.start_ready(
            services,
            other,
            may_start=lambda task: bool(label) or task.pipeline is other,
        )
        assert other.started
        assert not services.started


class TestRefusals:
    @pytest.mark.parametrize(
        ("age_s", "expected"), [(1, "busy"), (60, "empty")]
    )
    def test_old_refusal_does_not_decide_the_worker(self, age_s, expected):
        """Guards against work that keeps away from a worker for a whole term.

        Else the empty worker has the better score.
        """
        cluster = TwoWorkers()
        item = pipeline.Pipeline(
            pipelines.declare("a"), 1, pipeline.Progress(), 0.0
        )
        (task,) = item.tasks(0, 0)
        task.refused_by["empty"] = 1.0
        cluster.start_ready(item, now=1.0 + age_s)
        (placement,) = cluster.attempts.of_task(task)
        assert placement.worker.id == expected


class TestBurst:
    def test_waiting_pipelines_do_not_compare_all_workers(self, monkeypatch):
        """A burst of wide pipelines on a fleet that is full.

        Each round would compare every worker for every waiting pipeline, and
        leave no time to take in the ends that free room.
        """
        pacer = pacing.Pacer(METRICS)
        starter = pipelinestarts.Starter(
            1,
            attempts.Attempts(pacer, METRICS),
            pacer,
            METRICS,
            lambda item: None,
        )
        workers = [pipelines.worker(f"w{n}", cores=4) for n in range(50)]
        for worker in workers:
            worker.last_report_s = 1.0
            pipelines.place(worker, pipelines.stage(millicores=3000))
        wide = pipelines.stage(count=39, millicores=3500)
        items = [
            pipeline.Pipeline(
                pipelines.declare(f"p{n}", wide), 1, pipeline.Progress(), 0.0
            )
            for n in range(200)
        ]
        compared = []
        fits = placement_module.fits
        monkeypatch.setattr(
            placement_module,
            "fits",
            lambda *arguments: compared.append(1) or fits(*arguments),
        )
        starter.start_ready(items, workers, pipelines.TABLE, {}, 1.0)
        assert len(compared) <= len(workers)

    def test_refused_tasks_do_not_compare_all_workers_each(self, monkeypatch):
        """Guards against rounds of seconds after a worker refused a burst.

        The worker has refused every task of a wide stage.
        """
        pacer = pacing.Pacer(METRICS)
        starter = pipelinestarts.Starter(
            1,
            attempts.Attempts(pacer, METRICS),
            pacer,
            METRICS,
            lambda item: None,
        )
        workers = [pipelines.worker(f"w{n}", now=1.0) for n in range(50)]
        item = pipeline.Pipeline(
            pipelines.declare("a", pipelines.stage(count=200)),
            1,
            pipeline.Progress(),
            0.0,
        )
        for task in item.ready.values():
            task.refused_by["w0"] = 0.5
        compared = []
        fits = placement_module.fits
        monkeypatch.setattr(
            placement_module,
            "fits",
            lambda *arguments: compared.append(1) or fits(*arguments),
        )
        starter.start_ready([item], workers, pipelines.TABLE, {}, 1.0)
        assert not item.ready
        assert not workers[0].placements
        assert len(compared) <= len(workers) + 200
