from hypothesis import given
from hypothesis import strategies as st

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

    def test_a_full_queue_is_tried_elsewhere(self):
        assert retry.allowed(FULL)


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
