from hypothesis import given
from hypothesis import strategies
import pytest

from pomelostair import estimates
from pomelostair import messages

DECLARED = messages.Size(4, 1000, 1)


def learned(ratios):
    found = estimates.Estimates()
    for number, ratio in enumerate(ratios):
        used = messages.Size(4 * ratio, round(1000 * ratio))
        found.add_report("netting", (f"j/{number}", 1), DECLARED, used)
    return found.planned_size("netting", DECLARED)


class TestSize:
    def test_unknown_kind_is_as_declared(self):
        assert learned([]) == DECLARED

    def test_an_understated_kind_is_believed_at_once(self):
        assert learned([1.5]).cores == pytest.approx(6.6)

    def test_an_overstated_kind_is_believed_slowly(self):
        few, many = learned([0.5]), learned([0.5] * 40)
        assert 2.2 < many.cores < few.cores < 4

    def test_accelerators_stay_declared(self):
        assert learned([0.1] * 40).accelerators == 1

    @given(strategies.lists(strategies.floats(0.01, 3), min_size=1))
    def test_lies_between_declared_and_observed(self, ratios):
        cores = learned(ratios).cores
        top = max(ratios) * estimates.HEADROOM
        assert min(1, *ratios) * 4 <= cores <= max(1, top) * 4 + 1e-9

    def test_memory_is_bounded(self):
        found = estimates.Estimates()
        for number in range(estimates.MAX_KINDS + 5):
            found.add_report(f"k{number}", ("j/0", 1), DECLARED, DECLARED)
        assert found.planned_size("k0", DECLARED) == DECLARED
