import pytest

from pomelostair import fleet
from pomelostair import pipeline
from pomelostair import pipelinepreemption
from pomelostair import queues
from tests import pipelines

URGENT = pipelinepreemption.Preemption(0, pipelines.TABLE)
# The queue of the attempts that `pipelines.place` places has priority 2.
EQUAL = pipelinepreemption.Preemption(2, pipelines.TABLE)


def waiting(millicores, memory_mb=1000):
    item = pipeline.Pipeline(
        pipelines.declare(
            "w", pipelines.stage(1, millicores, memory_mb, lasting=True)
        ),
        1,
        pipeline.Progress(),
        0.0,
    )
    return item.tasks(0, 0)[0]


def full_worker(*stages, **changes):
    """Returns a worker with 8 cores and the attempts of some stages on it."""
    worker = pipelines.worker(cores=8)
    placed = [pipelines.place(worker, stage, **changes) for stage in stages]
    return worker, placed


class TestChooseVictims:
    def test_no_more_are_chosen_than_needed(self):
        worker, placed = full_worker(*[pipelines.stage(1, 2000)] * 4)
        victims = URGENT.choose_victims(waiting(3000), worker, 1.0)
        assert len(victims) == 2
        assert set(victims) < set(placed)

    def test_least_work_is_lost(self):
        saving = pipelines.stage(1, 4000, checkpointing=True)
        worker, (saves, loses) = full_worker(saving, pipelines.stage(1, 4000))
        saves.progress_percent, loses.progress_percent = 90.0, 10.0
        assert URGENT.choose_victims(waiting(3000), worker, 1.0) == [saves]

    def test_fillers_free_memory_only(self):
        filler = pipelines.stage(1, 8000, 120_000, filler=True)
        worker, placed = full_worker(filler, pipelines.stage(1, 4000))
        assert not URGENT.choose_victims(waiting(4000), worker, 1.0)
        large = waiting(4000, 20_000)
        assert URGENT.choose_victims(large, worker, 1.0) == placed[:1]

    @pytest.mark.parametrize(
        "fields", [{"lasting": True}, {"gang": True}], ids=str
    )
    def test_lasting_tasks_and_gangs_are_spared(self, fields):
        worker, _ = full_worker(pipelines.stage(1, 8000, **fields))
        assert not URGENT.choose_victims(waiting(3000), worker, 1.0)

    def test_equally_urgent_work_is_spared(self):
        worker, _ = full_worker(pipelines.stage(1, 8000))
        assert not EQUAL.choose_victims(waiting(3000), worker, 1.0)

    def test_work_of_an_unknown_queue_is_spared(self):
        table = queues.QueueTable(2, (pipelines.URGENT,))
        preemption = pipelinepreemption.Preemption(0, table)
        worker, _ = full_worker(pipelines.stage(1, 8000))
        assert not preemption.choose_victims(waiting(3000), worker, 1.0)

    def test_what_is_being_stopped_counts_as_free(self):
        """Guards against stopping more work with each round."""
        worker, placed = full_worker(*[pipelines.stage(1, 4000)] * 2)
        placed[0].state = fleet.AttemptState.STOPPING
        assert not URGENT.choose_victims(waiting(3000), worker, 1.0)

    def test_none_is_chosen_if_all_would_not_suffice(self):
        lasting = pipelines.stage(1, 6000, lasting=True)
        worker, _ = full_worker(lasting, pipelines.stage(1, 2000))
        assert not URGENT.choose_victims(waiting(3000), worker, 1.0)

    def test_room_that_is_reserved_for_another_task_is_left_to_it(self):
        worker, placed = full_worker(*[pipelines.stage(1, 4000)] * 2)
        worker.reserve(waiting(4000), 9.0)
        other = waiting(4000)
        other.id = "other.0.0.0"
        victims = URGENT.choose_victims(other, worker, 1.0)
        assert set(victims) == set(placed)
