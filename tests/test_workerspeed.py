"""Speeds of workers: what teaches them, and what must not."""

import pytest

from pomelostair import metrics
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelinelocality
from pomelostair import pipelineplacement
from pomelostair import workerspeed
from tests import pipelines

METRICS = metrics.Metrics()
WORKERS = 6
SLOW = 5


class Fleet:
    """Workers that run a task each of several wide pipelines.

    Args:
        speeds: Speed of the last worker; the others have 1.
        estimates_ms: Estimates of the pipelines, whose tasks take 4 s.
        wide: Whether the tasks of all workers are of one pipeline.
        fields: Further fields of the stages.
    """

    def __init__(
        self,
        speed=1 / 8,
        estimates_ms=(4000, 4000, 400),
        wide=True,
        **fields,
    ):
        self.now = 10.0
        self.step = 0
        self.workers = [
            pipelines.worker(f"w{n}", cores=16) for n in range(WORKERS)
        ]
        self.speed = [1.0] * SLOW + [speed]
        self.speeds = workerspeed.WorkerSpeeds(METRICS)
        self.placements = [[] for _ in self.workers]
        for number, estimate_ms in enumerate(estimates_ms):
            declared = pipelines.declare(
                f"p{number}",
                pipelines.stage(WORKERS, estimate_ms=estimate_ms, **fields),
            )
            item = pipeline.Pipeline(declared, 1, pipeline.Progress(), 0.0)
            for index, worker in enumerate(self.workers):
                placement = pipelines.place(
                    worker, declared.stages[0], index, now=self.now
                )
                if wide:
                    worker.remove(placement)
                    placement.task = item.tasks(0, 0)[index]
                    worker.add(placement)
                self.placements[index].append(placement)

    @property
    def learned(self):
        return [round(worker.speed, 2) for worker in self.workers]

    def run(self, steps=5, percent=lambda index, number, true: true):
        """Lets 0.5 s pass in each step, and reports all workers.

        Args:
            steps: Number of steps.
            percent: Returns what is reported as progress, from the index of
                the worker, the number of the pipeline and the true progress.
        """
        for _ in range(steps):
            self.step += 1
            self.now += 0.5
            for index, worker in enumerate(self.workers):
                changes = {"clock_ms": int(self.now * 1000)}
                changes["cold_left_ms"] = worker.state.cold_left_ms
                changes["rack"] = worker.state.rack
                worker.state = pipelines.worker_state(
                    worker.id, cores=16, **changes
                )
                for number, placement in enumerate(self.placements[index]):
                    true = min(100.0, self.step * 10 * self.speed[index])
                    placement.progress_percent = percent(index, number, true)
                self.speeds.observe(worker, self.now)


class TestLearning:
    def test_slow_worker_is_found_and_forgotten(self):
        fleet = Fleet()
        fleet.run()
        assert fleet.learned == [1.0] * SLOW + [0.12]
        assert workerspeed.run_s(
            fleet.workers[SLOW], 2.0, fleet.now
        ) == pytest.approx(16.0, rel=0.1)
        for worker in fleet.workers:
            worker.placements.clear()
        fleet.placements = [[] for _ in fleet.workers]
        fleet.now += workerspeed.FORGET_S
        fleet.run(1)
        assert fleet.learned == [1.0] * WORKERS

    @pytest.mark.parametrize(("speed", "seen"), [(1 / 8, 0.12), (0.6, 1.0)])
    def test_single_tasks_of_an_image_show_large_differences(self, speed, seen):
        fleet = Fleet(speed, (4000, 100, 40_000, 900, 9000), False, image="im")
        fleet.run()
        assert fleet.learned == [1.0] * SLOW + [seen]

    def test_done_attempts_count_without_percent(self):
        fleet = Fleet(estimates_ms=(4000, 4000, 4000))
        fleet.run(1, lambda index, number, true: 0.0)
        for index, worker in enumerate(fleet.workers):
            clock_ms = 10_500 + int(1000 / fleet.speed[index])
            worker.state = pipelines.worker_state(worker.id, clock_ms=clock_ms)
            for placement in fleet.placements[index]:
                fleet.speeds.record_done(placement, 11.0)
            fleet.speeds.observe(worker, 11.0)
        assert fleet.learned == [1.0] * SLOW + [0.12]

    @pytest.mark.parametrize(
        "percent",
        [
            lambda index, number, true: 0.0,
            lambda index, number, true: 50.0,
            lambda index, number, true: -true,
            lambda index, number, true: true * (50 if index == SLOW else 1),
            # One pipeline lies about what it does on a worker.
            lambda index, number, true: (
                true / 8 if (index, number) == (0, 0) else true
            ),
        ],
        ids=["absent", "constant", "negative", "exaggerated", "one-lies"],
    )
    def test_false_percent_slows_no_healthy_worker(self, percent):
        fleet = Fleet(speed=1.0)
        fleet.run(8, percent)
        assert fleet.learned == [1.0] * WORKERS

    @pytest.mark.parametrize(("count", "lying"), [(2, 1), (4, 2), (6, 3)])
    def test_half_of_the_pipelines_slow_no_worker(self, count, lying):
        """Guards against a mean of two medians that one of them decides."""
        fleet = Fleet(speed=1.0, estimates_ms=(4000,) * count)
        fleet.run(
            8,
            lambda index, number, true: (
                true / 8 if index == 0 and number < lying else true
            ),
        )
        assert fleet.learned == [1.0] * WORKERS

    def test_two_pipelines_are_too_few(self):
        fleet = Fleet(estimates_ms=(4000, 4000))
        fleet.run()
        assert fleet.learned == [1.0] * WORKERS

    @pytest.mark.parametrize(("slow", "found"), [(2, 2), (3, 0)])
    def test_a_third_of_a_group_is_slow_at_most(self, slow, found):
        """Guards against a group of tasks whose work differs."""
        fleet = Fleet()
        fleet.speed[-slow:] = [0.5] * slow
        fleet.run()
        assert sum(speed < 1 for speed in fleet.learned) == found

    @pytest.mark.parametrize("far", [2, 3])
    def test_far_places_are_compared_among_themselves(self, far):
        """Guards against a factor that differs from the configured one."""
        fleet = Fleet(rack="r1")
        fleet.speed[-far:] = [1 / 4] * far
        for worker in fleet.workers[-far:]:
            worker.state = pipelines.worker_state(worker.id, rack="r2")
        fleet.run()
        assert fleet.learned == [1.0] * WORKERS

    def test_resumed_attempts_do_not_seem_fast(self):
        """Guards against a step to the checkpoint that is taken for speed."""
        fleet = Fleet(speed=1.0)
        for placements in fleet.placements[:SLOW]:
            for placement in placements:
                placement.task.checkpoint = "c"
        fleet.run(
            5,
            lambda index, number, true: (
                true if index == SLOW else 0.0 if true <= 10 else 40 + true
            ),
        )
        assert fleet.learned == [1.0] * WORKERS

    def test_far_off_estimates_slow_no_worker(self):
        fleet = Fleet(speed=1.0, estimates_ms=(100, 40_000, 4000))
        fleet.run()
        assert fleet.learned == [1.0] * WORKERS

    @pytest.mark.parametrize("pace", [0, 30])
    def test_attempts_that_are_paced_down_teach_nothing(self, pace):
        fleet = Fleet(filler=True)
        for placement in fleet.placements[SLOW]:
            placement.pace_percent = pace
        fleet.run()
        for placement in fleet.placements[SLOW]:
            placement.pace_percent = pacing.FULL_PERCENT
        # The order of full pace is on its way.
        fleet.run(2)
        assert fleet.learned == [1.0] * WORKERS

    def test_fillers_that_share_time_teach_nothing(self):
        fleet = Fleet(filler=True, millicores=8000)
        fleet.run()
        assert fleet.learned == [1.0] * WORKERS

    def test_memory_is_bounded(self):
        speeds = workerspeed.WorkerSpeeds(METRICS)
        for number in range(workerspeed.MAX_GROUPS + 50):
            group = speeds._group(("stage", str(number), 0))
            for worker in range(workerspeed.MAX_GROUP_WORKERS + 5):
                group.add((str(worker), 1), 1.0)
        assert len(speeds._groups) == workerspeed.MAX_GROUPS
        assert len(group.rates) == workerspeed.MAX_GROUP_WORKERS


class TestColdWorker:
    def test_work_ends_at_full_speed_once_it_is_warm(self):
        worker = pipelines.worker(speed=0.25, cold_until_s=14.0)
        assert workerspeed.run_s(worker, 0.5, 10.0) == 2.0
        assert workerspeed.run_s(worker, 3.0, 10.0) == 6.0
        assert workerspeed.run_s(worker, 3.0, 15.0) == 3.0

    @pytest.mark.parametrize("enabled", [False, True])
    @pytest.mark.parametrize("speed", [1 / 4, 1.0])
    def test_fixed_speed_counts_while_it_is_cold_only(self, enabled, speed):
        fleet = Fleet(speed=speed)
        fleet.speeds = workerspeed.WorkerSpeeds(METRICS, enabled, True)
        cold = fleet.workers[SLOW]
        cold.state = pipelines.worker_state(cold.id, cold_left_ms=9000)
        for _ in range(5):
            fleet.run(1)
            assert cold.speed == workerspeed.COLD_SPEED
            assert cold.cold_until_s == fleet.now + 9.0
        assert fleet.learned[:SLOW] == [1.0] * SLOW
        cold.state = pipelines.worker_state(cold.id, cold_left_ms=0)
        fleet.speeds.observe(cold, fleet.now)
        assert (cold.speed, cold.cold_until_s) == (1.0, 0.0)

    @pytest.mark.parametrize("enabled", [False, True])
    def test_cold_workers_make_no_difference_unless_set(self, enabled):
        fleet = Fleet(speed=1.0)
        fleet.speeds = workerspeed.WorkerSpeeds(METRICS, enabled)
        cold = fleet.workers[SLOW]
        cold.state = pipelines.worker_state(cold.id, cold_left_ms=9000)
        fleet.run(5)
        assert (cold.speed, cold.cold_until_s) == (1.0, 0.0)


class TestPlacement:
    @pytest.mark.parametrize("filler", [False, True])
    @pytest.mark.parametrize("image", ["", "im"])
    def test_warm_worker_is_chosen_and_a_slow_one_is_not_left_idle(
        self, filler, image
    ):
        pacer = pacing.Pacer(METRICS)
        slow = pipelines.worker("slow", cores=48, speed=0.5)
        slow.cold_until_s = 9.0
        fast = pipelines.worker("fast", cores=16)
        pipelines.place(fast, pipelines.stage(millicores=6000))
        stage = pipelines.stage(millicores=8000, filler=filler, image=image)
        task = pipelines.place(pipelines.worker("x"), stage).task
        choose = pipelineplacement.choose
        assert choose(task, [slow, fast], pacer, 1.0) is fast
        pipelines.place(fast, pipelines.stage(millicores=6000))
        assert choose(task, [slow, fast], pacer, 1.0) is slow

    @pytest.mark.parametrize("cold_workers", [False, True])
    def test_warm_one_of_two_equals_is_chosen_without_learning(
        self, cold_workers
    ):
        """Guards against a preference that needs learned speeds."""
        pacer = pacing.Pacer(METRICS)
        speeds = workerspeed.WorkerSpeeds(METRICS, False, cold_workers)
        cold, warm = pipelines.worker("a"), pipelines.worker("b")
        cold.state = pipelines.worker_state("a", cold_left_ms=9000)
        for worker in (cold, warm):
            speeds.observe(worker, 1.0)
        task = pipelines.place(pipelines.worker("x"), pipelines.stage()).task
        chosen = pipelineplacement.choose(task, [cold, warm], pacer, 1.0)
        assert chosen is (warm if cold_workers else cold)
        running = pipelines.place(cold, pipelines.stage(), now=1.0)
        assert pipelinelocality.expected_left_s(running, 3.0, 1.0) == (
            2.0 if cold_workers else 1.0
        )
