import hypothesis
from hypothesis import strategies

from pomelostair import resources

AMOUNTS = strategies.builds(
    resources.Resources,
    strategies.integers(0, 10_000),
    strategies.integers(0, 10_000),
    strategies.integers(0, 8),
)


class TestResources:
    @hypothesis.given(AMOUNTS, AMOUNTS)
    def test_minus_reverts_plus(self, first, second):
        assert first.plus(second).minus(second) == first

    @hypothesis.given(AMOUNTS, AMOUNTS)
    def test_covers_if_no_difference_is_negative(self, first, second):
        difference = first.minus(second)
        expected = (
            min(
                difference.millicores,
                difference.memory_mb,
                difference.accelerators,
            )
            >= 0
        )
        assert first.covers(second) == expected
