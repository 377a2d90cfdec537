import attrs
from hypothesis import given
from hypothesis import strategies
import pytest

from pomelostair import declaration
from pomelostair import messages
from pomelostair import stopplan

URGENCIES = strategies.sampled_from(messages.Urgency)

task_lists = strategies.lists(
    strategies.builds(
        stopplan.RunningTask,
        strategies.integers(0, 999).map(str),
        URGENCIES,
        strategies.booleans(),
        strategies.sampled_from((0.5, 1.0, 4.0)),
        strategies.sampled_from(("w1", "w2", "w3")),
    ),
    max_size=30,
    unique_by=lambda task: task.task_id,
)
durations = strategies.floats(1, 7200)


def stop_of(within_s, tasks=(), keep=0.0):
    steps = stopplan.plan_stop(within_s, tasks).steps
    return declaration.Stop("t", 0.0, within_s, keep, steps)


class TestPlanStop:
    @given(durations, task_lists)
    def test_less_urgent_work_yields_no_later(self, within_s, tasks):
        planned_steps = stopplan.plan_stop(within_s, tasks).planned_steps
        offsets = [planned.step.offset_s for planned in planned_steps]
        assert offsets == sorted(offsets)
        assert offsets[0] == 0
        keys = [(s.step.urgency, s.step.survive) for s in planned_steps]
        assert keys == sorted(keys, key=lambda k: (k[1], -k[0]))

    @given(durations, task_lists)
    def test_everything_yields_before_the_deadline(self, within_s, tasks):
        plan = stopplan.plan_stop(within_s, tasks)
        last = plan.planned_steps[-1]
        assert last.step.offset_s < within_s
        assert last.expected_end_s <= within_s
        if plan.slack_s >= 0:
            assert last.expected_end_s + plan.slack_s <= within_s * 1.000001

    def test_slack_is_negative_if_the_time_is_too_short(self):
        many_tasks = [
            stopplan.RunningTask(
                str(n), messages.Urgency.BATCH, False, 1.0, "w"
            )
            for n in range(100)
        ]
        plan = stopplan.plan_stop(10.0, many_tasks)
        assert plan.slack_s < 0
        assert stopplan.plan_stop(1200.0, many_tasks).slack_s > 0


class TestYielding:
    @given(durations, task_lists, strategies.floats(0, 2), URGENCIES)
    def test_no_class_yields_before_a_less_urgent_one(
        self, within_s, tasks, share, urgency
    ):
        stop = stop_of(within_s, tasks)
        elapsed_s = share * within_s
        if stopplan.has_yielded(stop, elapsed_s, urgency, False):
            for other in messages.Urgency:
                if other > urgency:
                    assert stopplan.has_yielded(stop, elapsed_s, other, False)
        if stopplan.has_yielded(stop, elapsed_s, urgency, True):
            for other in messages.Urgency:
                assert stopplan.has_yielded(stop, elapsed_s, other, False)

    def test_checkpoints_are_skipped_before_the_deadline(self):
        stop = stop_of(100.0)
        last = (messages.Urgency.CRITICAL, True)
        modes = [
            stopplan.yield_mode(stop, elapsed, *last)
            for elapsed in (79.0, 94.0, 95.0, 200.0)
        ]
        assert modes == [
            stopplan.YieldMode.WITH_CHECKPOINT,
            stopplan.YieldMode.WITH_CHECKPOINT,
            stopplan.YieldMode.IMMEDIATE,
            stopplan.YieldMode.IMMEDIATE,
        ]

    def test_checkpoints_are_skipped_when_the_next_step_begins(self):
        stop = stop_of(100.0)
        batch = (messages.Urgency.BATCH, False)
        begins_s = stop.steps[1].offset_s
        before = stopplan.yield_mode(stop, begins_s - 0.1, *batch)
        assert before is stopplan.YieldMode.WITH_CHECKPOINT
        after = stopplan.yield_mode(stop, begins_s, *batch)
        assert after is stopplan.YieldMode.IMMEDIATE

    def test_nothing_yields_without_a_stop_or_to_a_shed(self):
        critical = (messages.Urgency.CRITICAL, False)
        shed = stop_of(10.0, keep=0.4)
        for stop in (None, shed):
            mode = stopplan.yield_mode(stop, 99.0, *critical)
            assert mode is stopplan.YieldMode.NONE

    def test_new_deadline_keeps_yielded_steps_yielded(self):
        before = stop_of(100.0)
        after = stopplan.preserve_yielded(stop_of(1000.0), before, 50.0)
        for step in before.steps:
            if step.offset_s <= 50.0:
                key = (step.urgency, step.survive)
                assert stopplan.has_yielded(after, 0.0, *key)


def naive_tasks_to_shed(tasks, keep, capacity):
    """Removes the least important task until the others fit."""
    remaining = list(tasks)
    removed = []
    while remaining and sum(task.cores for task in remaining) > keep * capacity:
        worst = max(
            remaining,
            key=lambda w: (
                not w.survive,
                w.urgency,
                -_task_position(w, tasks),
            ),
        )
        remaining.remove(worst)
        removed.append(worst.task_id)
    return tuple(removed)


def _task_position(task, tasks):
    return sorted(other.task_id for other in tasks).index(task.task_id)


class TestShed:
    @given(task_lists, strategies.floats(0.01, 1), strategies.floats(1, 100))
    def test_matches_a_naive_implementation(self, tasks, keep, capacity):
        stop_state = stopplan.StopState(stop_of(10.0, keep=keep))
        chosen = stopplan.tasks_to_shed(stop_state, tasks, capacity)
        assert chosen == naive_tasks_to_shed(tasks, keep, capacity)

    @given(task_lists, strategies.floats(0.01, 1), strategies.floats(1, 100))
    def test_remaining_tasks_fit_and_no_start_exceeds_the_share(
        self, tasks, keep, capacity
    ):
        stop_state = stopplan.StopState(stop_of(10.0, keep=keep))
        chosen = stopplan.tasks_to_shed(stop_state, tasks, capacity)
        held = sum(w.cores for w in tasks if w.task_id not in chosen)
        assert held <= keep * capacity or len(chosen) == len(tasks)
        if held + 1 > keep * capacity:
            assert stopplan.start_refusal_reason(
                stop_state, 1.0, held, capacity
            )

    @pytest.mark.parametrize("stop", [None, stop_of(10.0)])
    def test_only_a_shed_evicts(self, stop):
        task = stopplan.RunningTask(
            "a", messages.Urgency.BATCH, False, 9.0, "w"
        )
        stop_state = stopplan.StopState(stop)
        assert stopplan.tasks_to_shed(stop_state, [task], 1.0) == ()

    def test_nothing_is_placed_while_the_site_stops(self):
        stop_state = stopplan.StopState(stop_of(10.0))
        assert stopplan.start_refusal_reason(stop_state, 1.0, 0.0, 100.0)
        stop_state = attrs.evolve(stop_state, stop=None)
        assert not stopplan.start_refusal_reason(stop_state, 1.0, 0.0, 100.0)
