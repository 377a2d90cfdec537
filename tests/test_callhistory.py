import pytest

from pomelostair_standins import minion
from tests import callhistory


def begin(attempt, at=1.0):
    return minion.Entry("begin", at, f"r-{attempt}", attempt)


def end(attempt, at=2.0):
    return minion.Entry("end", at, f"r-{attempt}", attempt)


def attempt(name, request=None, **seen):
    made = callhistory.Attempt(name, request or name, name.encode(), **seen)
    if made.status == 200 and not made.answer:
        made.answer = made.expected
    return made


def clean():
    """A history with a repeat, a refusal and an unclear result."""
    return callhistory.History(
        slots=2,
        attempts=[
            attempt("a", status=200),
            attempt("b1", "b", status=503, ran="no"),
            attempt("b2", "b", status=200),
            attempt("c", status=504, ran="unknown"),
        ],
        journals={
            "m1": [begin("a"), end("a"), begin("b2"), begin("c"), end("c")],
            "m2": [minion.Entry("open", 0.0)],
        },
        left=[callhistory.Left("m2", 5.0, 20.0)],
    )


def seed_double_run(seeded):
    seeded.journals["m2"].append(begin("a"))


def seed_double_run_under_one_key(seeded):
    seeded.attempts[1].ran = "unknown"
    seeded.journals["m2"].append(begin("b1"))


def seed_false_no(seeded):
    seeded.attempts[3].ran = "no"


def seed_partial_answer(seeded):
    seeded.attempts[0].answer = seeded.attempts[0].expected[:-1]


def seed_crossed_answer(seeded):
    seeded.attempts[0].answer = seeded.attempts[2].expected


def seed_answer_without_run(seeded):
    seeded.journals["m1"] = seeded.journals["m1"][2:]


def seed_over_slots(seeded):
    seeded.journals["m2"] += [begin(x) for x in "xyz"]


def seed_work_on_left(seeded):
    seeded.journals["m2"].append(begin("late", at=9.0))


def seed_stale_run(seeded):
    seeded.attempts[3].ended = 5.0
    seeded.journals["m1"].pop()
    seeded.journals["m1"][-1] = begin("c", at=6.5)


class TestCheck:
    def test_a_clean_history(self):
        assert callhistory.check(clean()) == []

    @pytest.mark.parametrize(
        ("seed", "kind"),
        [
            (seed_double_run, "double-run"),
            (seed_double_run_under_one_key, "double-run"),
            (seed_false_no, "false-no"),
            (seed_partial_answer, "wrong-answer"),
            (seed_crossed_answer, "wrong-answer"),
            (seed_answer_without_run, "answer-without-run"),
            (seed_over_slots, "over-slots"),
            (seed_work_on_left, "work-on-left"),
            (seed_stale_run, "stale-run"),
        ],
    )
    def test_each_violation_is_caught(self, seed, kind):
        seeded = clean()
        seed(seeded)
        found = callhistory.check(seeded)
        assert [text.partition(":")[0] for text in found] == [kind]

    def test_a_restart_of_the_minion_frees_its_slots(self):
        seeded = clean()
        opened = minion.Entry("open", 3.0)
        seeded.journals["m2"] += [begin("x"), begin("y"), opened, begin("z")]
        assert callhistory.check(seeded) == []

    def test_work_after_the_return_is_allowed(self):
        seeded = clean()
        seeded.journals["m2"].append(begin("back", at=21.0))
        assert callhistory.check(seeded) == []


class TestCuts:
    def test_an_unclear_result_is_a_cut(self):
        assert callhistory.cuts(clean()) == ["cut: c status 504 ran unknown"]
