from hypothesis import given
from hypothesis import strategies as st
import pytest

from pomelostair import messages
from pomelostair import outcome
from pomelostair import retry

FULL = outcome.Refused(outcome.Kind.QUEUE_FULL, "repeat later")


class TestAllowed:
    @given(st.sampled_from(outcome.Kind))
    def test_not_if_the_request_may_have_run(self, kind):
        unclear = outcome.Refused(kind, "look", outcome.Ran.UNKNOWN)
        assert not retry.is_retryable(unclear)

    def test_not_after_an_answer(self):
        assert not retry.is_retryable(messages.Served(500, (), b""))

    @pytest.mark.parametrize(
        "kind",
        [
            outcome.Kind.QUEUE_FULL,
            outcome.Kind.TOO_LATE,
            outcome.Kind.DRAINING,
            outcome.Kind.NOT_SENT,
        ],
    )
    def test_after_a_refusal_that_is_specific_to_a_minion(self, kind):
        assert retry.is_retryable(outcome.Refused(kind, "repeat"))

    def test_not_after_a_refusal_that_every_minion_would_give(self):
        conflict = outcome.Refused(outcome.Kind.CONFLICT, "use another key")
        assert not retry.is_retryable(conflict)


class TestBudget:
    @given(st.integers(0, 500), st.floats(0, 1))
    def test_retries_stay_within_the_share(self, requests, share):
        budget = retry.RetryBudget()
        retries = 0
        for _ in range(requests):
            budget.deposit(share)
            retries += budget.withdraw(FULL)
        assert retries <= retry.BURST_RETRIES + share * requests

    def test_retries_after_draining_are_free(self):
        budget = retry.RetryBudget()
        draining = outcome.Refused(outcome.Kind.DRAINING, "repeat")
        assert all(budget.withdraw(draining) for _ in range(100))
        assert budget.withdraw(FULL)
