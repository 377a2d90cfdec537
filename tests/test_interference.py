import random

import pytest

from pomelostair import interference

TRUTH = {"wear": 2.0, "netting": 0.3, "recast": 0.0}


def taught(truth, found=None, now=0.0, seed=1):
    found = found or interference.InterferenceModel()
    generator = random.Random(seed)
    for step in range(300):
        loads = {kind: generator.random() for kind in truth}
        slowdown = 1 + sum(truth[kind] * loads[kind] for kind in truth)
        found.learn("fit", loads, slowdown, now + step)
    return found


class TestFactor:
    def test_learns_each_pair(self):
        found = taught(TRUTH)
        for kind, factor in TRUTH.items():
            assert found.factor("fit", kind, 300) == pytest.approx(
                factor, abs=0.1
            )

    def test_follows_a_shift(self):
        found = taught(TRUTH)
        found = taught({"wear": 0.1, "netting": 1.5}, found, now=300)
        assert found.factor("fit", "wear", 600) == pytest.approx(0.1, abs=0.1)
        assert found.factor("fit", "netting", 600) == pytest.approx(
            1.5, abs=0.1
        )

    def test_is_forgotten_without_reports(self):
        found = taught(TRUTH)
        later = 300 + 10 * interference.HALF_LIFE_S
        assert found.factor("fit", "wear", later) < 0.01

    def test_unknown_pairs_do_not_disturb(self):
        assert (
            interference.InterferenceModel().slowdown("a", {"b": 1.0}, 0) == 1
        )
