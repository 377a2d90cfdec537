import pytest

from pomelostair import command
from pomelostair import declaration
from pomelostair import edits
from pomelostair import outcome

EMPTY = declaration.VersionedConfiguration()


def set_limit(text):
    return edits.set_limit(command.parse(f"set limit {text}"))(EMPTY)


def stop_order(within_s, keep=0.0):
    return declaration.Stop("t", 0.0, within_s, keep)


class TestSetLimit:
    def test_number_and_list_are_set(self):
        changed = set_limit("batch_share 0.5").declarations.limits
        assert changed.batch_share == 0.5
        changed = set_limit("class_weights 4 3 2 1").declarations.limits
        assert changed.class_weights == (4.0, 3.0, 2.0, 1.0)

    @pytest.mark.parametrize(
        "text",
        ["batch_share 2", "batch_share 0 1", "queue_per_slot 1.5"],
    )
    def test_invalid_value_is_refused(self, text):
        refused = set_limit(text)
        assert refused.kind is outcome.Kind.BAD_REQUEST
        assert text.split()[0] in refused.message


class TestDrain:
    def test_repeat_and_undrain_are_idempotent(self):
        order = edits.drain(command.parse("drain worker w within 5 s"))
        once = order(EMPTY)
        assert order(once) == once
        assert once.orders.drain_of("w").within_s == 5
        end = edits.undrain(command.parse("undrain worker w"))
        assert end(once) == end(end(once)) == EMPTY


class TestStop:
    def test_second_stop_must_be_allowed_to_replace_the_first(self):
        first = edits.stop(stop_order(60), may_replace=False)(EMPTY)
        refused = edits.stop(stop_order(30), may_replace=False)(first)
        assert refused.kind is outcome.Kind.CONFLICT
        replaced = edits.stop(stop_order(30), may_replace=True)(first)
        assert replaced.orders.stop.within_s == 30

    def test_stop_replaces_a_shed_and_resume_ends_it(self):
        shed = edits.stop(stop_order(0, keep=0.4), may_replace=False)(EMPTY)
        stopped = edits.stop(stop_order(60), may_replace=False)(shed)
        assert stopped.orders.stop.keep_share == 0
        assert edits.resume(stopped) == EMPTY


class TestSetUrgency:
    def test_later_urgency_of_a_kind_replaces_the_earlier_one(self):
        state = EMPTY
        for urgency in ("normal", "critical"):
            sentence = command.parse(f"set urgency netting {urgency}")
            state = edits.set_urgency(sentence)(state)
        entries = state.declarations.urgencies
        assert [(e.kind, e.urgency) for e in entries] == [
            ("netting", "critical")
        ]
