"""Run times of queues whose estimates are far off."""

import pytest

from pomelostair import pipeline
from pomelostair import pipelinelocality
from pomelostair import pipelineorder
from pomelostair import pipelineplacement
from pomelostair import runtimes
from tests import pipelines

ESTIMATE_MS = 2000


def record(times, run_s, name="p", worker=None, **changes):
    """Lets a task of a pipeline end after a time."""
    worker = worker or pipelines.worker()
    fields = changes.pop("stage", {"estimate_ms": ESTIMATE_MS})
    placement = pipelines.place(worker, pipelines.stage(**fields), now=10.0)
    placement.task = pipelines.place(
        worker, pipelines.stage(**fields), now=10.0
    ).task
    placement.task.pipeline = pipeline.Pipeline(
        pipelines.declare(name, pipelines.stage(**fields)),
        1,
        pipeline.Progress(),
        0.0,
    )
    placement.listed_since_ms = 1
    worker.state = pipelines.worker_state(
        worker.id,
        cores=worker.state.capacity.millicores // 1000,
        clock_ms=1 + int(1000 * run_s),
    )
    for field, value in changes.items():
        setattr(placement, field, value)
    times.record_done(placement, 10.0 + run_s + runtimes.DELAY_S)


def learned(run_s, count=runtimes.MIN_PIPELINES, **options):
    times = runtimes.RunTimes(True, 3.0)
    for number in range(count):
        record(times, run_s, f"p{number}", **options)
    return times


class TestRatio:
    @pytest.mark.parametrize(
        ("run_s", "ratio"),
        [(3.8, 1.9), (1.0, 0.5), (0.3, 0.25), (99.0, 4.0), (2.4, 1.0)],
    )
    def test_estimates_far_off_are_corrected_within_bounds(self, run_s, ratio):
        assert learned(run_s).ratio("recast") == pytest.approx(ratio)
        assert learned(run_s).ratio("fit") == 1.0

    def test_few_pipelines_teach_nothing(self):
        assert learned(9.0, runtimes.MIN_PIPELINES - 1).ratio("recast") == 1.0
        times = runtimes.RunTimes(True)
        for _ in range(100):
            record(times, 9.0)
        assert times.ratio("recast") == 1.0

    def test_wide_pipeline_outweighs_no_others(self):
        times = learned(2.0)
        for _ in range(100):
            record(times, 20.0, "wide")
        assert times.ratio("recast") == pytest.approx(1.0)

    @pytest.mark.parametrize(
        "options",
        [
            {"shows_run_time": False},
            {"is_adopted": True},
            {"stage": {"estimate_ms": 0}},
            {"stage": {"estimate_ms": 999}},
            {"listed_since_ms": 5000},
            {"stage": {"lasting": True}},
            {"worker": pipelines.worker(cores=1), "stage": {"filler": True}},
        ],
        ids=[
            "paced",
            "adopted",
            "no-estimate",
            "short",
            "late",
            "lasting",
            "shared",
        ],
    )
    def test_times_that_others_decide_do_not_count(self, options):
        assert learned(9.0, **options).ratio("recast") == 1.0

    def test_far_places_and_slow_workers_are_taken_out(self):
        far = {"estimate_ms": ESTIMATE_MS, "rack": "r9"}
        assert learned(6.0, stage=far).ratio("recast") == pytest.approx(1.0)
        assert learned(8.0, expected_speed=0.25).ratio(
            "recast"
        ) == pytest.approx(1.0)

    def test_speed_that_was_learned_since_the_start_does_not_count(self):
        worker = pipelines.worker(speed=0.25)
        assert learned(8.0, worker=worker).ratio("recast") == 4.0

    def test_nothing_is_learned_unless_enabled(self):
        times = runtimes.RunTimes()
        for number in range(9):
            record(times, 9.0, f"p{number}")
        assert times.ratio("recast") == 1.0

    def test_memory_is_bounded(self):
        times = learned(2.0, 200)
        assert len(times._ends["recast"]) == runtimes.MAX_PIPELINES


class TestUse:
    def test_late_pipelines_and_later_room_are_recognized(self):
        times = learned(8.0)
        running = pipelines.place(
            pipelines.worker(cores=1),
            pipelines.stage(estimate_ms=ESTIMATE_MS),
            now=10.0,
        )
        assert pipelinelocality.expected_left_s(
            running, 3.0, 10.0, times
        ) == pytest.approx(8.0)
        assert pipelineplacement._room_delay_s(
            running.task, running.worker, 10.0, lambda placement: False, times
        ) == pytest.approx(8.0)
        outlooks = [
            pipelineorder.rank(
                running.task.pipeline, pipelines.QUEUE, 0.0, ratio
            ).outlook
            for ratio in (1.0, times.ratio("recast"))
        ]
        assert outlooks == [
            pipelineorder.Outlook.IN_TIME,
            pipelineorder.Outlook.LATE,
        ]
