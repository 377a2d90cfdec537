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
    def test_what_is_added_can_be_taken_off(self, one, other):
        assert one.plus(other).minus(other) == one

    @hypothesis.given(AMOUNTS, AMOUNTS)
    def test_covers_what_leaves_no_amount_negative(self, one, other):
        left = one.minus(other)
        whole = min(left.millicores, left.memory_mb, left.accelerators) >= 0
        assert one.covers(other) == whole
