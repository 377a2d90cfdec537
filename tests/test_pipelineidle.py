"""Starts of fillers whose pipelines are idle for too long, on large fleets."""

import pytest

from pomelostair import attempts
from pomelostair import metrics
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelineidle
from pomelostair import pipelineplacement as placement_module
from pomelostair import pipelinestarts
from tests import pipelines

METRICS = metrics.Metrics()
ROUND_S = 0.05
FILLER = pipelines.stage(millicores=8000, filler=True)


class FullFleet:
    """Workers whose processor time other fillers use, and idle pipelines.

    Args:
        size: Number of workers.
    """

    def __init__(self, size):
        pacer = pacing.Pacer(METRICS)
        self.starter = pipelinestarts.Starter(
            1,
            attempts.Attempts(pacer, METRICS),
            pacer,
            METRICS,
            lambda item: None,
        )
        self.now = placement_module.MAX_IDLE_S + 0.1
        self.workers = [
            pipelines.worker(f"w{n:05}", cores=8, now=self.now)
            for n in range(size)
        ]
        for worker in self.workers:
            pipelines.place(worker, FILLER)
        self.items = []

    def submit(self, count, *stages, **fields):
        """Adds idle pipelines; returns them."""
        fields = {"millicores": 1000, "filler": True, **fields}
        stages += (pipelines.stage(2, **fields),)
        added = [
            pipeline.Pipeline(
                pipelines.declare(f"p{len(self.items) + n:04}", *stages),
                1,
                pipeline.Progress(),
                0.0,
            )
            for n in range(count)
        ]
        self.items += added
        return added

    def run_round(self):
        """Runs one scheduling round."""
        for worker in self.workers:
            worker.last_report_s = self.now
        self.starter.start_ready(
            self.items, self.workers, pipelines.TABLE, {}, self.now
        )
        self.now += ROUND_S


class TestManyIdlePipelines:
    def test_round_is_bounded_and_all_have_their_turn(self, monkeypatch):
        """Guards against a round that compares each worker for each pipeline.

        After an outage, many pipelines are idle at once.
        """
        fleet = FullFleet(1000)
        waiting = fleet.submit(300)
        compared = pipelines.record_comparisons(monkeypatch)
        for _ in range(15):
            compared.clear()
            fleet.run_round()
            assert len(compared) <= (
                len(fleet.workers)
                + pipelinestarts.MAX_IDLE_COMPARISONS
                + pipelineidle.WINDOW_WORKERS
            )
        assert all(item.started for item in waiting)
        assert all(len(item.ready) == 1 for item in waiting)

    def test_starts_are_spread_over_the_fleet(self):
        """Guards against a search that begins at the same workers each time."""
        fleet = FullFleet(1000)
        fleet.submit(20)
        fleet.run_round()
        most = max(len(worker.placements) for worker in fleet.workers)
        assert most == 2

    @pytest.mark.parametrize("size", [60, 600])
    def test_pipelines_that_fit_nowhere_hide_no_other(self, size):
        """Guards against a LOST pipeline behind those that have no room."""
        fleet = FullFleet(size)
        fleet.submit(100, label="nowhere")
        fleet.submit(100, memory_mb=1_000_000)
        (waiting,) = fleet.submit(1, estimate_ms=2000)
        for _ in range(25):
            fleet.run_round()
        assert waiting.started

    def test_the_only_worker_with_a_label_is_found(self):
        """Guards against a search that never comes to some worker."""
        fleet = FullFleet(6000)
        worker = fleet.workers[-1]
        worker.state = pipelines.worker_state(
            worker.id, cores=8, labels=("rare",)
        )
        (waiting,) = fleet.submit(1, label="rare")
        for _ in range(8):
            fleet.run_round()
        assert waiting.started

    def test_stage_that_fits_nowhere_hides_no_other(self):
        """Guards against a search that begins anew in each round."""
        fleet = FullFleet(6000)
        nowhere = pipelines.stage(filler=True, label="nowhere")
        (waiting,) = fleet.submit(1, nowhere)
        for _ in range(4):
            fleet.run_round()
        assert waiting.started
