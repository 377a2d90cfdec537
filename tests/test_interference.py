import random

import pytest

from pomelostair import interference

FACTORS = {"wear": 2.0, "netting": 0.3, "recast": 0.0}


def train(factors, model=None, now=0.0, seed=1):
    model = model or interference.InterferenceModel()
    generator = random.Random(seed)
    for step in range(300):
        loads = {kind: generator.random() for kind in factors}
        slowdown = 1 + sum(factors[kind] * loads[kind] for kind in factors)
        model.learn("fit", loads, slowdown, now + step)
    return model


class TestFactor:
    def test_learns_each_pair_of_kinds(self):
        model = train(FACTORS)
        for kind, factor in FACTORS.items():
            assert model.factor("fit", kind, 300) == pytest.approx(
                factor, abs=0.1
            )

    def test_follows_changed_factors(self):
        model = train(FACTORS)
        model = train({"wear": 0.1, "netting": 1.5}, model, now=300)
        assert model.factor("fit", "wear", 600) == pytest.approx(0.1, abs=0.1)
        assert model.factor("fit", "netting", 600) == pytest.approx(
            1.5, abs=0.1
        )

    def test_decays_without_reports(self):
        model = train(FACTORS)
        later = 300 + 10 * interference.HALF_LIFE_S
        assert model.factor("fit", "wear", later) < 0.01

    def test_unknown_pair_causes_no_slowdown(self):
        assert (
            interference.InterferenceModel().slowdown("a", {"b": 1.0}, 0) == 1
        )
