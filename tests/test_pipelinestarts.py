"""Starts of ready tasks, and moves of fillers that services slow down."""

import attrs
import pytest

from pomelostair import attempts
from pomelostair import fleet
from pomelostair import metrics
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelineidle
from pomelostair import pipelineplacement as placement_module
from pomelostair import pipelinestarts
from tests import faultfleet
from tests import pipelines

METRICS = metrics.Metrics()
FILLER = pipelines.stage(
    millicores=8000, filler=True, image="noisy", checkpointing=True
)


def new_starter():
    """Returns a starter without attempts, which stores nothing."""
    pacer = pacing.Pacer(METRICS)
    return pipelinestarts.Starter(
        1,
        attempts.Attempts(pacer, METRICS),
        pacer,
        METRICS,
        lambda item: None,
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
        changes = {"pace_percent": 5, **changes}
        placement = pipelines.place(self.busy, stage, **changes)
        self.busy.remove(placement)
        self.attempts.attach(placement)
        return placement

    def fill(self, worker, **fields):
        """Leaves no room on a worker."""
        return [
            pipelines.place(worker, pipelines.stage(millicores=1000, **fields))
            for _ in range(worker.free.millicores // 1000)
        ]

    def add(self, name, stage, queue="fit"):
        """Returns a new pipeline, whose tasks are ready since 0 s."""
        declared = pipelines.declare(name, stage, queue=queue)
        return pipeline.Pipeline(declared, 1, pipeline.Progress(), 0.0)

    def start_ready(
        self, *items, slowed=(), now=1.0, may_start=lambda task: True
    ):
        for worker in (self.busy, self.empty):
            worker.last_report_s = worker.last_listed_s = now
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

    def test_attempt_that_starts_slowed_moves_later(self):
        """Guards against a filler that keeps the low pace of its start.

        Its pace is the best that its worker offers, so that it never changes.
        """
        pacer = pacing.Pacer(METRICS)
        placed = attempts.Attempts(pacer, METRICS)
        starter = pipelinestarts.Starter(
            1, placed, pacer, METRICS, lambda item: None
        )
        now = placement_module.MAX_IDLE_S + 0.1
        worker = pipelines.worker("w1", cores=8, now=now)
        serving = pipelines.stage(
            lasting=True, image="serving", latency_target_ms=18.0
        )
        pipelines.place(worker, serving)
        item = pipeline.Pipeline(
            pipelines.declare("waiting", FILLER), 1, pipeline.Progress(), 0.0
        )
        starter.start_ready([item], [worker], pipelines.TABLE, {}, now)
        (placement,) = placed.of_task(item.tasks(0, 0)[0])
        assert placement.pace_percent < pacing.MOVE_BELOW_PERCENT
        placement.state = fleet.AttemptState.RUNNING
        assert not pacer.should_move(placement, now)
        later = now + pacing.MOVE_AFTER_S + 0.1
        assert pacer.should_move(placement, later)


class TestVerySlowFillers:
    """Fillers at 5 % of their pace, on a fleet without a better place.

    Guards against a full fleet whose slow fillers keep others from the workers
    on which those would run at full pace.
    """

    SLOWED_SINCE_S = 1.0
    LATE_S = SLOWED_SINCE_S + pacing.YIELD_AFTER_S + 0.1

    def play(self, busy=True, others=1, now=LATE_S, **changes):
        cluster = TwoWorkers()
        cluster.fill(cluster.empty, filler=not busy)
        slowed = cluster.place_slowed(
            slowed_since_s=self.SLOWED_SINCE_S, **changes
        )
        waiting = [cluster.add(f"other-{n}", FILLER) for n in range(others)]
        cluster.start_ready(
            slowed.task.pipeline, *waiting, slowed=[slowed], now=now
        )
        return slowed.state

    def test_stop_where_others_wait(self):
        assert self.play() is fleet.AttemptState.STOPPING

    @pytest.mark.parametrize(
        "case",
        [
            {"others": 0},
            {"busy": False},
            {"now": LATE_S - 0.2},
            {"pace_percent": pacing.YIELD_BELOW_PERCENT},
            {
                "stage": attrs.evolve(FILLER, checkpointing=False),
                "progress_percent": 60.0,
            },
            {"stage": attrs.evolve(FILLER, gang=True)},
        ],
        ids=["none-waits", "half-empty", "early", "faster", "loses", "gang"],
    )
    def test_go_on_otherwise(self, case):
        assert self.play(**case) is fleet.AttemptState.RUNNING


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
        self,
        waited_s,
        age_s=30.0,
        ahead=(),
        counted_millicores=0,
        stage=None,
        **timing,
    ):
        cluster = TwoWorkers()
        for worker in (cluster.busy, cluster.empty):
            pipelines.place(worker, FILLER)
        pipelines.place(
            cluster.empty, pipelines.stage(millicores=counted_millicores)
        )
        declared = pipelines.declare(
            "waiting",
            stage or pipelines.stage(3, millicores=2000, filler=True),
            **timing,
        )
        waiting = pipeline.Pipeline(
            declared, 1, pipeline.Progress(), 0.0, age_s
        )
        if timing:
            waiting.open_due(1, 0.0)
        cluster.start_ready(*ahead, waiting, now=waited_s)
        return waiting

    @pytest.mark.parametrize(
        "timing", [{}, {"first_run_ms": 1}], ids=["in time", "timed"]
    )
    def test_idle_time_is_bounded_whatever_the_outlook(self, timing):
        """Guards against a LOST pipeline that may still be in time."""
        for waited_s, started in (
            (placement_module.MAX_IDLE_S - 0.1, False),
            (placement_module.MAX_IDLE_S + 0.1, True),
        ):
            waiting = self.start_waiting(waited_s, age_s=0.0, **timing)
            assert waiting.started is started

    @pytest.mark.parametrize(
        "timing", [{}, {"first_run_ms": 1}], ids=["in time", "timed"]
    )
    def test_pipeline_in_time_waits_while_counted_work_uses_most_capacity(
        self, timing
    ):
        """Guards against starts that slow other fillers without need."""
        stage = pipelines.stage(
            3, millicores=2000, filler=True, estimate_ms=60_000
        )
        for waited_s in (
            placement_module.MAX_IDLE_S + 0.1,
            pipelineidle.MAX_BUSY_IDLE_S + 0.1,
        ):
            waiting = self.start_waiting(
                waited_s,
                age_s=0.0,
                counted_millicores=4000,
                stage=stage,
                **timing,
            )
            assert not waiting.started

    @pytest.mark.parametrize(("count", "started"), [(2, True), (3, False)])
    def test_gang_starts_whole_or_not_at_all(self, count, started):
        """Guards against an idle gang, and against one that is not complete.

        Each of the two workers has the memory for one member.
        """
        gang = pipelines.stage(
            count, millicores=2000, memory_mb=100_000, filler=True, gang=True
        )
        waiting = self.start_waiting(
            placement_module.MAX_IDLE_S + 0.1, stage=gang
        )
        assert waiting.started is started
        assert len(waiting.ready) == (0 if started else count)

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
            (pipelineidle.MAX_BUSY_IDLE_S + 0.1, True),
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


class TestWorkBehindFullResources:
    @pytest.mark.parametrize(
        "fields",
        [
            {"millicores": 9000},
            {"label": "nowhere"},
            {"label": "nowhere", "filler": True},
        ],
        ids=["large", "label", "filler with label"],
    )
    def test_pipelines_without_room_hide_no_other(self, fields):
        """Guards against work that stands still behind many pipelines.

        They wait for what is used up, and it needs none of that.
        """
        cluster = TwoWorkers()
        stage = pipelines.stage(estimate_ms=60_000, **fields)
        waiting = [
            pipeline.Pipeline(
                pipelines.declare(f"p{number}", stage, queue="fit"),
                1,
                pipeline.Progress(),
                1.0,
            )
            for number in range(pipelinestarts.MAX_CONSIDERED_TASKS)
        ]
        other = pipeline.Pipeline(
            pipelines.declare("other"), 1, pipeline.Progress(), 1.0
        )
        cluster.start_ready(*waiting, other)
        assert other.started

    def test_reserved_room_is_used_though_others_have_none(self):
        """Guards against a moving task that is left out with the others."""
        cluster = TwoWorkers()
        moving = cluster.place_slowed()
        item = moving.task.pipeline
        cluster.start_ready(item, slowed=[moving])
        cluster.attempts.remove(moving, 1.1)
        first = pipeline.Pipeline(
            pipelines.declare("first", FILLER, queue="fit"),
            1,
            pipeline.Progress(),
            1.1,
        )
        cluster.start_ready(first, item, now=1.2)
        assert cluster.attempts.of_task(moving.task)[0].worker is cluster.empty


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
        starter = new_starter()
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
        compared = pipelines.record_comparisons(monkeypatch)
        starter.start_ready(items, workers, pipelines.TABLE, {}, 1.0)
        assert len(compared) <= len(workers)

    def test_members_of_a_gang_share_the_comparison(self, monkeypatch):
        """A gang would compare all workers for each of its members."""
        starter = new_starter()
        workers = [pipelines.worker(f"w{n}", now=1.0) for n in range(50)]
        gang = pipelines.stage(40, millicores=20_000, gang=True)
        item = pipeline.Pipeline(
            pipelines.declare("gang", gang), 1, pipeline.Progress(), 0.0
        )
        compared = pipelines.record_comparisons(monkeypatch)
        starter.start_ready([item], workers, pipelines.TABLE, {}, 1.0)
        assert item.started
        assert not item.ready
        assert len(compared) <= len(workers) + gang.count

    def test_slowed_attempts_do_not_all_compare_all_workers(self, monkeypatch):
        """Guards against a round that is as long as many attempts are slowed.

        None of them finds a worker that offers a higher pace.
        """
        pacer = pacing.Pacer(METRICS)
        placed = attempts.Attempts(pacer, METRICS)
        starter = pipelinestarts.Starter(
            1, placed, pacer, METRICS, lambda item: None
        )
        workers = [pipelines.worker(f"w{n}", cores=8) for n in range(400)]
        slowed = {}
        for worker in workers:
            worker.last_report_s = 1.0
            placement = pipelines.place(worker, FILLER, pace_percent=5)
            worker.remove(placement)
            placed.attach(placement)
            slowed[placement.task.pipeline.id] = [placement]
        compared = pipelines.record_comparisons(monkeypatch)
        items = [rows[0].task.pipeline for rows in slowed.values()]
        starter.start_ready(items, workers, pipelines.TABLE, slowed, 1.0)
        assert len(compared) <= pipelinestarts.MAX_MOVE_COMPARISONS + len(
            workers
        )

    def test_refused_tasks_do_not_compare_all_workers_each(self, monkeypatch):
        """Guards against rounds of seconds after a worker refused a burst.

        The worker has refused every task of a wide stage.
        """
        starter = new_starter()
        workers = [pipelines.worker(f"w{n}", now=1.0) for n in range(50)]
        item = pipeline.Pipeline(
            pipelines.declare("a", pipelines.stage(count=200)),
            1,
            pipeline.Progress(),
            0.0,
        )
        for task in item.ready.values():
            task.refused_by["w0"] = 0.5
        compared = pipelines.record_comparisons(monkeypatch)
        starter.start_ready([item], workers, pipelines.TABLE, {}, 1.0)
        assert not item.ready
        assert not workers[0].placements
        assert len(compared) <= len(workers) + 200

    def test_waiting_services_do_not_look_for_the_same_room(self, monkeypatch):
        """A fleet that is full of services, where none can become free.

        Each round would examine every worker for every waiting service, for
        longer than the leader's lease lasts on a large fleet.
        """
        starter = new_starter()
        workers = [pipelines.worker(f"w{n}", cores=4) for n in range(50)]
        for worker in workers:
            worker.last_report_s = 1.0
            pipelines.place(
                worker, pipelines.stage(millicores=3000, lasting=True)
            )
        service = pipelines.stage(3, 3500, lasting=True)
        items = [
            pipeline.Pipeline(
                pipelines.declare(f"p{n}", service), 1, pipeline.Progress(), 0.0
            )
            for n in range(200)
        ]
        searches = []
        choose_to_free = placement_module.choose_to_free
        monkeypatch.setattr(
            placement_module,
            "choose_to_free",
            lambda *args: searches.append(1) or choose_to_free(*args),
        )
        starter.start_ready(items, workers, pipelines.TABLE, {}, 1.0)
        assert len(searches) == 1


class TestRoomForLastingTasks:
    """A full fleet, on which much small work waits for the next free core."""

    def start_s(self, lasting, small_memory_mb=1000, lasting_queue="fit"):
        """Returns when a lasting task starts after it was submitted."""
        fleet = faultfleet.FaultFleet(("w1", "w2", "w3"), cores=8)
        fleet.run_for(1.5)
        for number in range(20):
            small = pipelines.stage(
                30, 1000, small_memory_mb, estimate_ms=1200 + 17 * number
            )
            fleet.submit(f"small{number}", small, queue="fit")
        fleet.run_for(3)
        submitted_s = fleet.now
        fleet.submit("service", lasting, queue=lasting_queue)
        fleet.run_for(9)
        starts = [
            at_s - submitted_s
            for at_s, task, _ in fleet.started
            if task.startswith("service.")
        ]
        assert any(t.startswith("small") for t, _ in fleet.running())
        return starts[0] if starts else None

    def test_large_one_gets_the_next_room(self):
        """Guards against small tasks that take each core as it becomes free."""
        service = pipelines.stage(1, 5000, lasting=True, estimate_ms=0)
        assert self.start_s(service) <= 3.0

    def test_memory_is_kept_as_well(self):
        """Guards against small tasks that take each gigabyte instead."""
        service = pipelines.stage(1, 500, 110_000, lasting=True, estimate_ms=0)
        assert self.start_s(service, small_memory_mb=16_000) <= 3.0

    def test_less_urgent_one_waits_before_it_keeps_room_from_others(self):
        service = pipelines.stage(1, 5000, lasting=True, estimate_ms=0)
        start_s = self.start_s(service, lasting_queue="recast")
        assert placement_module.MAX_IDLE_S < start_s <= 6.0

    def test_each_of_several_gets_room_on_a_worker_of_its_own(self):
        cluster = TwoWorkers()
        cluster.fill(cluster.busy)
        cluster.fill(cluster.empty)
        item = cluster.add("service", pipelines.stage(3, 5000, lasting=True))
        for step in range(10):
            cluster.start_ready(item, now=1.0 + step / 10)
        holders = [
            worker
            for worker in (cluster.busy, cluster.empty)
            for _ in worker.reservations
        ]
        assert holders == [cluster.busy, cluster.empty]

    def test_equal_tasks_of_several_pipelines_get_room(self):
        """Guards against keeping room only for the first that found none."""
        cluster = TwoWorkers()
        cluster.fill(cluster.busy)
        cluster.fill(cluster.empty)
        stage = pipelines.stage(1, 5000, lasting=True)
        items = [cluster.add(name, stage) for name in ("s1", "s2")]
        cluster.start_ready(*items, now=1.0)
        assert cluster.busy.reservations and cluster.empty.reservations

    def test_room_is_not_kept_where_lasting_tasks_leave_too_little(self):
        cluster = TwoWorkers()
        cluster.fill(cluster.busy, lasting=True)
        cluster.fill(cluster.empty)
        item = cluster.add("service", pipelines.stage(1, 7000, lasting=True))
        cluster.start_ready(item, now=1.0)
        assert not cluster.busy.reservations
        assert cluster.empty.reservations

    def test_room_is_kept_elsewhere_once_its_worker_has_shrunk(self):
        """Guards against a task that waits for good for what is too small."""
        cluster = TwoWorkers()
        cluster.fill(cluster.busy)
        cluster.fill(cluster.empty)
        item = cluster.add("service", pipelines.stage(1, 5000, lasting=True))
        cluster.start_ready(item, now=1.0)
        (held,) = [w for w in (cluster.busy, cluster.empty) if w.reservations]
        other = cluster.empty if held is cluster.busy else cluster.busy
        held.state = pipelines.worker_state(held.id, cores=4)
        cluster.start_ready(item, now=1.1)
        cluster.start_ready(item, now=1.2)
        assert not held.reservations
        assert other.reservations

    @pytest.mark.parametrize("lasting", [True, False], ids=["lasting", "batch"])
    def test_kept_rooms_do_not_hold_small_work_up(self, lasting):
        """Guards against LOST: cores that stay idle beside long work."""
        fleet = faultfleet.FaultFleet(("w1", "w2", "w3"), cores=8)
        fleet.run_for(1.5)
        long = pipelines.stage(3, 3500, estimate_ms=30_000)
        fleet.submit("long", long, queue="fit")
        fleet.run_for(1)
        large = pipelines.stage(3, 5000, lasting=True, estimate_ms=0)
        fleet.submit("large", large, queue="fit")
        fleet.run_for(1)
        small = pipelines.stage(1, 1000, lasting=lasting)
        fleet.submit("small", small, queue="fit")
        fleet.run_for(9)
        assert len([t for t, _ in fleet.running() if t.startswith("long")]) == 3
        assert any(t.startswith("small") for _, t, _ in fleet.started)

    @pytest.mark.parametrize("filler", [False, True], ids=["plain", "filler"])
    def test_filler_preempts_nothing(self, filler):
        """Guards against stopping counted work for what is left over."""
        cluster = TwoWorkers()
        for worker in (cluster.busy, cluster.empty):
            cluster.fill(worker)
        stage = pipelines.stage(1, 5000, lasting=True, filler=filler)
        item = cluster.add("service", stage)
        item.tasks(0, 0)[0].last_attempt = 1
        cluster.start_ready(item, now=1.0)
        stopped = [
            placement
            for worker in (cluster.busy, cluster.empty)
            for placement in worker.placements.values()
            if placement.state is fleet.AttemptState.STOPPING
        ]
        assert bool(stopped) != filler

    def test_start_elsewhere_ends_the_reservation(self):
        """Guards against room that nobody uses."""
        cluster = TwoWorkers()
        cluster.fill(cluster.empty)
        item = cluster.add("service", pipelines.stage(1, 5000, lasting=True))
        cluster.start_ready(item, now=1.0)
        (held,) = [w for w in (cluster.busy, cluster.empty) if w.reservations]
        other = cluster.empty if held is cluster.busy else cluster.busy
        for placement in list(other.placements.values()):
            other.remove(placement)
        cluster.start_ready(item, now=1.1)
        assert not held.reservations
        (placement,) = cluster.attempts.of_task(item.tasks(0, 0)[0])
        assert placement.worker is other


class TestReportBeforeAStart:
    """The first start of a lasting task waits for a report of its worker."""

    def released(self, now, attempt=0):
        cluster = TwoWorkers()
        item = cluster.add("service", pipelines.stage(lasting=True))
        item.tasks(0, 0)[0].last_attempt = attempt
        cluster.start_ready(item, now=now)
        return cluster.starter.release_recorded({item.id: item.progress()})

    def test_first_start_waits(self):
        assert not self.released(now=1.0)

    def test_task_that_has_run_before_does_not_wait(self):
        """Guards against adding a report interval to a wait for leases."""
        assert self.released(now=1.0, attempt=1)

    def test_task_that_has_waited_does_not_wait_longer(self):
        """Guards against adding it to the wait for an earlier leader's work."""
        assert self.released(now=placement_module.MAX_IDLE_S)

    @pytest.mark.parametrize(
        ("silent_s", "orders"), [(fleet.SILENT_S - 0.1, 2), (1.5, 1)]
    )
    def test_start_on_a_silent_worker_is_not_withdrawn_in_each_round(
        self, silent_s, orders
    ):
        """Guards against attempts that are used up while no worker reports."""
        cluster = TwoWorkers()
        item = cluster.add("service", pipelines.stage(1, 7000, lasting=True))
        task = item.tasks(0, 0)[0]
        attempts_seen = set()
        for step in range(4):
            now = 10.0 + step / 10
            cluster.starter.withdraw_from_silent(now)
            cluster.start_ready(item, now=now)
            for worker in (cluster.busy, cluster.empty):
                worker.lease_granted_s = worker.last_listed_s = 10.0 - silent_s
            attempts_seen.update(
                placement.attempt
                for placement in cluster.attempts.of_task(task)
            )
        assert len(attempts_seen) <= orders
