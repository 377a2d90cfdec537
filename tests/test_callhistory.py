import pytest

from pomelostair_standins import minion
from tests import callhistory


def run_start(attempt, at=1.0):
    return minion.JournalRecord("begin", at, f"r-{attempt}", attempt)


def run_end(attempt, at=2.0):
    return minion.JournalRecord("end", at, f"r-{attempt}", attempt)


def make_attempt(name, request=None, **fields):
    new_attempt = callhistory.Attempt(
        name, request or name, name.encode(), **fields
    )
    if new_attempt.status == 200 and not new_attempt.response_body:
        new_attempt.response_body = new_attempt.expected_body
    return new_attempt


def valid_history():
    """Returns a history with a repeat, a refusal and an unclear result."""
    return callhistory.History(
        slots=2,
        attempts=[
            make_attempt("a", status=200),
            make_attempt("b1", "b", status=503, ran="no"),
            make_attempt("b2", "b", status=200),
            make_attempt("c", status=504, ran="unknown"),
        ],
        journals={
            "m1": [
                run_start("a"),
                run_end("a"),
                run_start("b2"),
                run_start("c"),
                run_end("c"),
            ],
            "m2": [minion.JournalRecord("open", 0.0)],
        },
        departures=[callhistory.Departure("m2", 5.0, 20.0)],
    )


def add_double_run(history):
    history.journals["m2"].append(run_start("a"))


def add_double_run_under_one_key(history):
    history.attempts[1].ran = "unknown"
    history.journals["m2"].append(run_start("b1"))


def add_false_refusal(history):
    history.attempts[3].ran = "no"


def add_partial_response(history):
    history.attempts[0].response_body = history.attempts[0].expected_body[:-1]


def add_swapped_response(history):
    history.attempts[0].response_body = history.attempts[2].expected_body


def add_response_without_run(history):
    history.journals["m1"] = history.journals["m1"][2:]


def add_too_many_running(history):
    history.journals["m2"] += [run_start(x) for x in "xyz"]


def add_run_after_departure(history):
    history.journals["m2"].append(run_start("late", at=9.0))


def add_stale_run(history):
    history.attempts[3].ended_s = 5.0
    history.journals["m1"].pop()
    history.journals["m1"][-1] = run_start("c", at=6.5)


class TestCheck:
    def test_a_valid_history_has_no_violations(self):
        assert callhistory.check(valid_history()) == []

    @pytest.mark.parametrize(
        ("add_violation", "kind"),
        [
            (add_double_run, "double-run"),
            (add_double_run_under_one_key, "double-run"),
            (add_false_refusal, "false-refusal"),
            (add_partial_response, "wrong-answer"),
            (add_swapped_response, "wrong-answer"),
            (add_response_without_run, "answer-without-run"),
            (add_too_many_running, "over-slots"),
            (add_run_after_departure, "run-after-departure"),
            (add_stale_run, "stale-run"),
        ],
    )
    def test_each_violation_is_reported(self, add_violation, kind):
        history = valid_history()
        add_violation(history)
        violations = callhistory.check(history)
        assert [text.partition(":")[0] for text in violations] == [kind]

    def test_a_restart_of_the_minion_frees_its_slots(self):
        history = valid_history()
        opened = minion.JournalRecord("open", 3.0)
        history.journals["m2"] += [
            run_start("x"),
            run_start("y"),
            opened,
            run_start("z"),
        ]
        assert callhistory.check(history) == []

    def test_a_run_after_the_return_is_valid(self):
        history = valid_history()
        history.journals["m2"].append(run_start("back", at=21.0))
        assert callhistory.check(history) == []


class TestUnclearResults:
    def test_lists_an_attempt_that_may_have_run(self):
        assert callhistory.unclear_results(valid_history()) == [
            "unclear: c status 504 ran unknown"
        ]
