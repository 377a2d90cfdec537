import pytest

from pomelostair import outcome
from pomelostair.platform import front


class TestRefusalResponse:
    @pytest.mark.parametrize(
        ("kind", "ran", "status", "retries"),
        [
            (outcome.Kind.STORE_UNAVAILABLE, outcome.Ran.NO, 503, True),
            (outcome.Kind.LIMITED, outcome.Ran.NO, 503, True),
            (outcome.Kind.CANCELLED, outcome.Ran.NO, 503, False),
            (outcome.Kind.ANSWER_LOST, outcome.Ran.UNKNOWN, 504, False),
        ],
        ids=lambda value: getattr(value, "value", None),
    )
    def test_tells_to_repeat_only_what_may_succeed(
        self, kind, ran, status, retries
    ):
        refused = outcome.Refused(kind, "a remedy", ran)
        response = front._refusal_response(refused)
        assert response.status == status
        assert ("retry-after" in dict(response.headers)) is retries
