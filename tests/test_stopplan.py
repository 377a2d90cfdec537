import attrs
from hypothesis import given
from hypothesis import strategies
import pytest

from pomelostair import declaration
from pomelostair import messages
from pomelostair import stopplan

URGENCIES = strategies.sampled_from(messages.Urgency)

works = strategies.lists(
    strategies.builds(
        stopplan.RunningTask,
        strategies.integers(0, 999).map(str),
        URGENCIES,
        strategies.booleans(),
        strategies.sampled_from((0.5, 1.0, 4.0)),
        strategies.sampled_from(("w1", "w2", "w3")),
    ),
    max_size=30,
    unique_by=lambda work: work.task_id,
)
durations = strategies.floats(1, 7200)


def stop_of(within_s, given_works=(), keep=0.0):
    steps = stopplan.plan_stop(within_s, given_works).steps
    return declaration.Stop("t", 0.0, within_s, keep, steps)


class TestPlanStop:
    @given(durations, works)
    def test_less_urgent_work_never_yields_later(self, within_s, given_works):
        stages = stopplan.plan_stop(within_s, given_works).planned_steps
        offsets = [stage.step.offset_s for stage in stages]
        assert offsets == sorted(offsets)
        assert offsets[0] == 0
        keys = [(s.step.urgency, s.step.survive) for s in stages]
        assert keys == sorted(keys, key=lambda k: (k[1], -k[0]))

    @given(durations, works)
    def test_everything_yields_before_the_deadline(self, within_s, given_works):
        plan = stopplan.plan_stop(within_s, given_works)
        last = plan.planned_steps[-1]
        assert last.step.offset_s < within_s
        assert last.expected_end_s <= within_s
        if plan.slack_s >= 0:
            assert last.expected_end_s + plan.slack_s <= within_s * 1.000001

    def test_short_time_keeps_the_order_and_shows_it(self):
        heavy = [
            stopplan.RunningTask(
                str(n), messages.Urgency.BATCH, False, 1.0, "w"
            )
            for n in range(100)
        ]
        plan = stopplan.plan_stop(10.0, heavy)
        assert plan.slack_s < 0
        assert stopplan.plan_stop(1200.0, heavy).slack_s > 0


class TestYielding:
    @given(durations, works, strategies.floats(0, 2), URGENCIES)
    def test_never_while_something_less_urgent_may_run(
        self, within_s, given_works, share, urgency
    ):
        stop = stop_of(within_s, given_works)
        elapsed_s = share * within_s
        if stopplan.has_yielded(stop, elapsed_s, urgency, False):
            for other in messages.Urgency:
                if other > urgency:
                    assert stopplan.has_yielded(stop, elapsed_s, other, False)
        if stopplan.has_yielded(stop, elapsed_s, urgency, True):
            for other in messages.Urgency:
                assert stopplan.has_yielded(stop, elapsed_s, other, False)

    def test_checkpoints_are_given_up_before_the_deadline(self):
        stop = stop_of(100.0)
        last = (messages.Urgency.CRITICAL, True)
        asked = [
            stopplan.yield_mode(stop, elapsed, *last)
            for elapsed in (79.0, 94.0, 95.0, 200.0)
        ]
        assert asked == [
            stopplan.YieldMode.WITH_CHECKPOINT,
            stopplan.YieldMode.WITH_CHECKPOINT,
            stopplan.YieldMode.IMMEDIATE,
            stopplan.YieldMode.IMMEDIATE,
        ]

    def test_checkpoints_are_given_up_when_the_next_step_begins(self):
        stop = stop_of(100.0)
        batch = (messages.Urgency.BATCH, False)
        begins_s = stop.steps[1].offset_s
        before = stopplan.yield_mode(stop, begins_s - 0.1, *batch)
        assert before is stopplan.YieldMode.WITH_CHECKPOINT
        after = stopplan.yield_mode(stop, begins_s, *batch)
        assert after is stopplan.YieldMode.IMMEDIATE

    def test_no_stop_and_a_shed_leave_everything(self):
        critical = (messages.Urgency.CRITICAL, False)
        shed = stop_of(10.0, keep=0.4)
        for stop in (None, shed):
            found = stopplan.yield_mode(stop, 99.0, *critical)
            assert found is stopplan.YieldMode.NONE

    def test_a_new_deadline_reopens_nothing(self):
        before = stop_of(100.0)
        after = stopplan.preserve_yielded(stop_of(1000.0), before, 50.0)
        for step in before.steps:
            if step.offset_s <= 50.0:
                key = (step.urgency, step.survive)
                assert stopplan.has_yielded(after, 0.0, *key)


def naive_leaving(given_works, keep, capacity):
    """Removes the least important task again and again."""
    left = list(given_works)
    gone = []
    while left and sum(work.cores for work in left) > keep * capacity:
        worst = max(
            left,
            key=lambda w: (
                not w.survive,
                w.urgency,
                -_position(w, given_works),
            ),
        )
        left.remove(worst)
        gone.append(worst.task_id)
    return tuple(gone)


def _position(work, given_works):
    return sorted(other.task_id for other in given_works).index(work.task_id)


class TestShed:
    @given(works, strategies.floats(0.01, 1), strategies.floats(1, 100))
    def test_same_as_a_naive_version(self, given_works, keep, capacity):
        standing = stopplan.StopState(stop_of(10.0, keep=keep))
        chosen = stopplan.tasks_to_shed(standing, given_works, capacity)
        assert chosen == naive_leaving(given_works, keep, capacity)

    @given(works, strategies.floats(0.01, 1), strategies.floats(1, 100))
    def test_what_is_left_fits_and_nothing_is_placed_over_it(
        self, given_works, keep, capacity
    ):
        standing = stopplan.StopState(stop_of(10.0, keep=keep))
        chosen = stopplan.tasks_to_shed(standing, given_works, capacity)
        held = sum(w.cores for w in given_works if w.task_id not in chosen)
        assert held <= keep * capacity or len(chosen) == len(given_works)
        if held + 1 > keep * capacity:
            assert stopplan.start_refusal_reason(standing, 1.0, held, capacity)

    @pytest.mark.parametrize("stop", [None, stop_of(10.0)])
    def test_only_a_shed_evicts(self, stop):
        work = stopplan.RunningTask(
            "a", messages.Urgency.BATCH, False, 9.0, "w"
        )
        standing = stopplan.StopState(stop)
        assert stopplan.tasks_to_shed(standing, [work], 1.0) == ()

    def test_nothing_is_placed_while_the_site_stops(self):
        standing = stopplan.StopState(stop_of(10.0))
        assert stopplan.start_refusal_reason(standing, 1.0, 0.0, 100.0)
        standing = attrs.evolve(standing, stop=None)
        assert not stopplan.start_refusal_reason(standing, 1.0, 0.0, 100.0)
