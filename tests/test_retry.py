from hypothesis import given
from hypothesis import strategies as st
import pytest

from pomelostair import messages
from pomelostair import outcome
from pomelostair import retry

FULL = outcome.Refused(outcome.Kind.QUEUE_FULL, "repeat later")


class TestAllowed:
    @given(st.sampled_from(outcome.Kind))
    def test_never_when_it_may_have_run(self, kind):
        unclear = outcome.Refused(kind, "look", outcome.Ran.UNKNOWN)
        assert not retry.allowed(unclear)

    def test_an_answer_is_final(self):
        assert not retry.allowed(messages.Served(500, (), b""))

    @pytest.mark.parametrize(
        "kind",
        [
            outcome.Kind.QUEUE_FULL,
            outcome.Kind.TOO_LATE,
            outcome.Kind.DRAINING,
            outcome.Kind.NOT_SENT,
        ],
    )
    def test_what_one_minion_refuses_is_tried_elsewhere(self, kind):
        assert retry.allowed(outcome.Refused(kind, "repeat"))

    def test_a_refusal_that_all_would_make_is_final(self):
        conflict = outcome.Refused(outcome.Kind.CONFLICT, "use another key")
        assert not retry.allowed(conflict)


class TestBudget:
    @given(st.integers(0, 500), st.floats(0, 1))
    def test_retries_stay_within_the_share(self, requests, share):
        budget = retry.Budget()
        retries = 0
        for _ in range(requests):
            budget.deposit(share)
            retries += budget.withdraw(FULL)
        assert retries <= retry.BURST + share * requests

    def test_a_leaving_target_costs_nothing(self):
        budget = retry.Budget()
        leaving = outcome.Refused(outcome.Kind.DRAINING, "repeat")
        assert all(budget.withdraw(leaving) for _ in range(100))
        assert budget.withdraw(FULL)
