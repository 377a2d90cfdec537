from hypothesis import given
from hypothesis import strategies
import pytest

from pomelostair import estimates
from pomelostair import messages

DECLARED = messages.Size(4, 1000, 1)


def estimate_from(ratios):
    size_estimates = estimates.Estimates()
    for number, ratio in enumerate(ratios):
        used = messages.Size(4 * ratio, round(1000 * ratio))
        size_estimates.add_report("netting", (f"j/{number}", 1), DECLARED, used)
    return size_estimates.planned_size("netting", DECLARED)


class TestPlannedSize:
    def test_unknown_kind_has_its_declared_size(self):
        assert estimate_from([]) == DECLARED

    def test_one_attempt_raises_an_understated_size(self):
        assert estimate_from([1.5]).cores == pytest.approx(6.6)

    def test_overstated_size_is_reduced_gradually(self):
        after_one, after_forty = estimate_from([0.5]), estimate_from([0.5] * 40)
        assert 2.2 < after_forty.cores < after_one.cores < 4

    def test_accelerators_stay_declared(self):
        assert estimate_from([0.1] * 40).accelerators == 1

    @given(strategies.lists(strategies.floats(0.01, 3), min_size=1))
    def test_estimate_lies_between_declared_and_observed(self, ratios):
        cores = estimate_from(ratios).cores
        upper_ratio = max(ratios) * estimates.HEADROOM
        assert min(1, *ratios) * 4 <= cores <= max(1, upper_ratio) * 4 + 1e-9

    def test_memory_is_bounded(self):
        size_estimates = estimates.Estimates()
        for number in range(estimates.MAX_KINDS + 5):
            size_estimates.add_report(
                f"k{number}", ("j/0", 1), DECLARED, DECLARED
            )
        assert size_estimates.planned_size("k0", DECLARED) == DECLARED
