import math

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from pomelostair import pipeline
from pomelostair import pipelinerows
from tests import pipelines

DONE = pipeline.TaskPhase.DONE


def make_pipeline(*stages, progress=None, **fields):
    declared = pipelines.declare("a", *stages, **fields)
    return pipeline.Pipeline(declared, 1, progress or pipeline.Progress(), 0.0)


def complete_attempt(item, task, attempt=1):
    item.place(task, attempt)
    return item.finish(task, 1.0, 1000)


class TestPipeline:
    def test_stage_waits_for_all_tasks_of_its_dependencies(self):
        item = make_pipeline(pipelines.stage(2), pipelines.stage(1, after=(0,)))
        first, second = item.tasks(0, 0)
        assert set(item.ready) == {first.id, second.id}
        complete_attempt(item, first)
        assert set(item.ready) == {second.id}
        complete_attempt(item, second)
        assert set(item.ready) == {"a.0.1.0"}

    def test_pipeline_is_completed_once_every_task_is_done(self):
        item = make_pipeline(pipelines.stage(1), pipelines.stage(1, after=(0,)))
        assert item.phase is pipeline.Phase.QUEUED
        complete_attempt(item, item.tasks(0, 0)[0])
        assert item.phase is pipeline.Phase.RUNNING
        complete_attempt(item, item.tasks(0, 1)[0])
        assert item.phase is pipeline.Phase.COMPLETED
        assert item.ended_ms == 1000

    def test_end_of_a_task_counts_once(self):
        item = make_pipeline(pipelines.stage(2))
        assert complete_attempt(item, item.tasks(0, 0)[0])
        assert not item.finish(item.tasks(0, 0)[0], 2.0, 2000)
        assert item.phase is pipeline.Phase.RUNNING

    def test_each_failed_attempt_counts_once(self):
        item = make_pipeline(pipelines.stage(1))
        task = item.tasks(0, 0)[0]
        assert item.fail(task, 1, 2, 1000)
        assert not item.fail(task, 1, 2, 1000)
        assert item.phase is not pipeline.Phase.FAILED
        assert item.fail(task, 2, 2, 1000)
        assert item.phase is pipeline.Phase.FAILED
        assert not item.ready

    def test_lasting_tasks_have_no_attempt_limit(self):
        item = make_pipeline(pipelines.stage(1, lasting=True))
        task = item.tasks(0, 0)[0]
        for attempt in range(1, 10):
            item.place(task, attempt)
            item.fail(task, attempt, 2, 1000)
            item.release(task, 1.0)
        assert item.ready
        assert not item.ended

    def test_ended_pipeline_has_no_ready_tasks(self):
        item = make_pipeline(pipelines.stage(2))
        task = item.tasks(0, 0)[0]
        item.place(task, 1)
        assert item.end(pipeline.Phase.CANCELLED, 5)
        assert not item.end(pipeline.Phase.FAILED, 6)
        item.release(task, 1.0)
        assert not item.ready
        assert item.phase is pipeline.Phase.CANCELLED

    def test_unknown_task_keys_return_none(self):
        item = make_pipeline(pipelines.stage(1))
        for key in ("", "0.0", "0.0.1", "1.0.0", "x.y.z", "0.0.0.0"):
            assert item.task(key) is None

    def test_occurrences_open_when_due_and_not_before(self):
        item = make_pipeline(
            pipelines.stage(1),
            occurrences=3,
            first_run_ms=10_000,
            interval_ms=500,
        )
        assert not item.ready
        assert not item.open_due(9_999, 0.0)
        assert item.open_due(10_000, 0.0)
        assert set(item.ready) == {"a.0.0.0"}
        assert item.open_due(11_500, 0.0)
        assert len(item.ready) == 3
        assert item.next_due_ms() is None

    def test_pipeline_is_not_completed_before_its_last_occurrence(self):
        item = make_pipeline(
            pipelines.stage(1),
            occurrences=2,
            first_run_ms=10_000,
            interval_ms=500,
        )
        item.open_due(10_000, 0.0)
        complete_attempt(item, item.tasks(0, 0)[0])
        assert not item.ended
        item.open_due(10_500, 0.0)
        complete_attempt(item, item.tasks(1, 0)[0])
        assert item.phase is pipeline.Phase.COMPLETED

    def test_opened_occurrences_are_recovered_from_progress(self):
        item = make_pipeline(
            pipelines.stage(1),
            occurrences=2,
            first_run_ms=10_000,
            interval_ms=500,
        )
        item.open_due(10_000, 0.0)
        complete_attempt(item, item.tasks(0, 0)[0])
        recovered = make_pipeline(
            pipelines.stage(1),
            occurrences=2,
            first_run_ms=10_000,
            interval_ms=500,
            progress=item.progress(),
        )
        assert recovered.next_due_ms() == 10_500
        assert recovered.task("0.0.0") is None
        recovered.open_due(10_500, 0.0)
        complete_attempt(recovered, recovered.tasks(1, 0)[0])
        assert recovered.phase is pipeline.Phase.COMPLETED

    def test_state_does_not_grow_with_the_occurrences(self):
        """The row of a pipeline that repeats for months must be writable."""
        item = make_pipeline(
            pipelines.stage(1),
            pipelines.stage(2, after=(0,)),
            occurrences=5000,
            first_run_ms=10_000,
            interval_ms=500,
        )
        for number in range(2000):
            item.open_due(10_000 + 500 * number, 0.0)
            for task in list(item.tasks(number, 0)):
                complete_attempt(item, task)
            for task in list(item.tasks(number, 1)):
                complete_attempt(item, task)
        assert len(pipeline.encode(item.progress())) < 500
        assert item.next_due_ms() == 10_000 + 500 * 2000

    def test_earlier_occurrence_that_runs_on_is_kept(self):
        item = make_pipeline(
            pipelines.stage(1),
            occurrences=3,
            first_run_ms=10_000,
            interval_ms=500,
        )
        item.open_due(10_500, 0.0)
        first, second = item.tasks(0, 0)[0], item.tasks(1, 0)[0]
        complete_attempt(item, second)
        assert item.task("0.0.0") is first
        complete_attempt(item, first)
        assert item.task("1.0.0") is None
        assert not item.ended

    def test_overdue_occurrences_are_opened_within_the_limit(self):
        """A submission must not use up the leader's memory."""
        item = make_pipeline(
            pipelines.stage(100),
            occurrences=10**9,
            first_run_ms=1,
            interval_ms=0,
        )
        item.open_due(10_000, 0.0)
        assert len(item.ready) == pipeline.MAX_TASKS


class TestProgress:
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 70), min_size=1, max_size=4),
        strategies.data(),
    )
    def test_new_leader_recovers_the_state(self, counts, data):
        stages = [
            pipelines.stage(count, after=(number - 1,) if number else ())
            for number, count in enumerate(counts)
        ]
        item = make_pipeline(*stages)
        for _ in range(data.draw(strategies.integers(0, 60))):
            if not item.ready:
                break
            name = data.draw(strategies.sampled_from(sorted(item.ready)))
            task = item.ready[name]
            item.place(task, task.last_attempt + 1)
            if data.draw(strategies.booleans()):
                item.finish(task, 1.0, 1000)
            else:
                task.checkpoint = f"saved-{task.last_attempt}"
                item.fail(task, task.last_attempt, 3, 1000)
                item.release(task, 1.0)
        stored = pipeline.decode_progress(pipeline.encode(item.progress()))
        recovered = make_pipeline(*stages, progress=stored)
        assert recovered.phase is item.phase
        assert set(recovered.ready) == set(item.ready)
        for number in range(len(counts)):
            for before, after in zip(
                item.tasks(0, number), recovered.tasks(0, number), strict=True
            ):
                assert (before.phase is DONE) == (after.phase is DONE)
                if before.phase is not DONE:
                    assert before.failed_attempts == after.failed_attempts
                    if not item.ended:
                        assert before.checkpoint == after.checkpoint

    @pytest.mark.parametrize(
        "row",
        [
            {"failed": {"0.0.0": [2**64 - 1]}},
            {"failed": {"0.0.0": [-1]}},
            {"ended_ms": -1},
            {"done_occurrences": 2**63},
        ],
        ids=str,
    )
    def test_malformed_row_is_rejected(self, row):
        """The attempt after the largest number fitted into no message."""
        with pytest.raises(msgspec.ValidationError):
            pipeline.decode_progress(msgspec.msgpack.encode(row))

    def test_row_that_opens_too_many_tasks_is_rejected(self):
        """A leader that creates them would never come to lead."""
        declared = pipelines.declare(
            "a", first_run_ms=1, interval_ms=1, occurrences=10**9
        )
        progress = pipeline.Progress(
            done={f"{2 * pipeline.MAX_TASKS + 1}.0": b"\0"}
        )
        with pytest.raises(ValueError, match="tasks"):
            pipeline.Pipeline(declared, 1, progress, 0.0)


class TestRowSize:
    """A row that the store refuses keeps the leader from any commit."""

    def test_failures_of_lasting_tasks_fit_in_a_row(self):
        """Guards against LOST: tasks that keep failing end all scheduling."""
        item = make_pipeline(pipelines.stage(48, lasting=True))
        for attempt in range(1, 2_000):
            for task in item.tasks(0, 0):
                assert item.fail(task, attempt, 3, 1000)
                assert not item.fail(task, attempt, 3, 1000)
        assert len(pipeline.encode(item.progress())) < 2_000
        (task, *_) = make_pipeline(
            pipelines.stage(48, lasting=True), progress=item.progress()
        ).tasks(0, 0)
        assert task.last_attempt == 1_999

    def test_what_is_known_of_many_tasks_fits_in_a_row(self):
        item = make_pipeline(pipelines.stage(10_000))
        crash = pipeline.Crash(10**6, "h" * 38, 1_764_000_000_000, 7)
        loss = pipeline.Loss(10**6, "h" * 38, "w" * 38, 1_764_000_000_000)
        for task in item.tasks(0, 0):
            task.failed_attempts = {1, 10**6}
            task.checkpoint = "c" * 40
            task.crashes = [crash] * 4
            task.early_losses = set(range(4))
            task.unexplained_losses = [loss] * 4
            task.proven_attempt = 10**6
        value = pipelinerows.encode_progress(item.progress())
        assert len(value) <= pipelinerows.MAX_ROW_BYTES
        assert pipeline.decode_progress(value).failed


class TestPlacements:
    def service(self, progress):
        return pipeline.Pipeline(
            pipelines.declare(
                "a", pipelines.stage(2, lasting=True), pipelines.stage()
            ),
            1,
            progress,
            0.0,
        )

    def test_both_terms_are_stored_until_the_earlier_one_is_accounted_for(self):
        item = self.service(pipeline.Progress(placed={"0.0.1": [("w1", 1)]}))
        item.tasks(0, 0)[1].placed_on.add(("w2", 7))
        item.tasks(0, 1)[0].placed_on.add(("w3", 1))
        assert item.progress().placed == {"0.0.1": [("w1", 1), ("w2", 7)]}
        stored = pipeline.decode_progress(pipeline.encode(item.progress()))
        assert self.service(stored).progress().placed == item.progress().placed
        assert not item.forget_earlier_attempts()
        assert item.progress().placed == {"0.0.1": [("w2", 7)]}

    def test_unknown_ones_stay_unknown_until_all_attempts_are_known(self):
        item = self.service(pipeline.Progress())
        assert item.progress().placed is None
        assert item.forget_earlier_attempts()
        assert item.progress().placed == {}

    def test_occurrence_that_opens_later_has_none(self):
        declared = pipelines.declare(
            "a",
            pipelines.stage(lasting=True),
            occurrences=2,
            first_run_ms=1000,
            interval_ms=1000,
        )
        item = pipeline.Pipeline(declared, 1, pipeline.Progress(), 0.0)
        item.forget_earlier_attempts()
        item.open_due(2000, 0.0)
        assert item.progress().placed == {}

    def test_pipeline_that_ends_by_itself_stores_none(self):
        item = pipeline.Pipeline(
            pipelines.declare("a"), 1, pipeline.Progress(placed={}), 0.0
        )
        assert item.progress().placed is None


class TestDeclaration:
    def test_critical_path_is_the_longest_dependency_chain(self):
        declared = pipelines.declare(
            "a",
            pipelines.stage(estimate_ms=100),
            pipelines.stage(estimate_ms=500),
            pipelines.stage(estimate_ms=50, after=(0, 1)),
        )
        assert declared.critical_path_ms() == 550

    @pytest.mark.parametrize(
        ("stages", "fields"),
        [
            ((pipelines.stage(after=(0,)),), {}),
            ((pipelines.stage(after=(-1,)),), {}),
            ((pipelines.stage(pipeline.MAX_TASKS + 1),), {}),
            ((pipelines.stage(1),), {"occurrences": 10**9}),
            ((), {}),
            ((pipelines.stage(),) * (pipeline.MAX_STAGES + 1), {}),
            ((pipelines.stage(0),), {"first_run_ms": 1}),
            ((pipelines.stage(10**9), pipelines.stage(-(10**9))), {}),
            ((pipelines.stage(millicores=-1000),), {}),
            ((pipelines.stage(memory_mb=2**63),), {}),
            ((pipelines.stage(latency_target_ms=math.nan),), {}),
            ((pipelines.stage(1),), {"occurrences": -1}),
            ((pipelines.stage(1),), {"first_run_ms": -1}),
            ((pipelines.stage(1),), {"submitted_ms": 2**63}),
        ],
    )
    def test_malformed_row_is_rejected(self, stages, fields):
        """A row that crashes the leader would crash each next one, too."""
        valid = pipelines.declare("a", pipelines.stage(after=()))
        row = msgspec.to_builtins(valid) | {
            "stages": msgspec.to_builtins(stages),
            **fields,
        }
        with pytest.raises(msgspec.ValidationError):
            pipeline.decode_declaration(msgspec.msgpack.encode(row))

    def test_encoding_round_trip_preserves_the_declaration(self):
        declared = pipelines.declare(
            "a", pipelines.stage(3, latency_target_ms=17.5, lasting=True)
        )
        data = pipeline.encode(declared)
        assert pipeline.decode_declaration(data) == declared
