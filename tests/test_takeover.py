import attrs
import pytest

from pomelostair import celllog
from pomelostair import messages
from pomelostair import settings
from pomelostair import takeover
from pomelostair import taskleases

TIMING = settings.Timing()
LEASE_S = 6.0
PREVIOUS = celllog.LeaseRow(4, "m1", "bus-m1", "t", 9, settled=True)


class TestHorizon:
    @pytest.mark.parametrize(
        ("previous", "wait_s"),
        [
            (None, 0.0),
            (PREVIOUS, 600.0 + LEASE_S),
            (attrs.evolve(PREVIOUS, vacated=True), LEASE_S),
            (
                attrs.evolve(PREVIOUS, vacated=True, settled=False),
                600.0 + LEASE_S,
            ),
        ],
    )
    def test_initial(self, previous, wait_s):
        term = takeover.Term("main", 5, previous)
        assert takeover.initial_horizon(term, TIMING, 100.0) == 100.0 + wait_s

    @pytest.mark.parametrize(
        ("settled", "answer", "horizon"),
        [
            (True, messages.SteppedDown(True, 400.0), 100.0 + LEASE_S),
            (True, messages.SteppedDown(False, 0.0), 100.0 + LEASE_S),
            (False, messages.SteppedDown(True, 400.0), 500.0),
            (False, messages.SteppedDown(True, 1.0), 100.0 + LEASE_S),
            (False, messages.SteppedDown(False, 0.0), None),
        ],
    )
    def test_after_an_answer_to_step_down(self, settled, answer, horizon):
        previous = attrs.evolve(PREVIOUS, settled=settled)
        result = takeover.horizon_after(answer, previous, TIMING, 100.0)
        assert result == horizon


class TestLeases:
    def test_no_worker_lapses_before_the_horizon(self):
        leases = taskleases.TaskLeases(LEASE_S, 700.0)
        leases.acknowledge("w1", 100.0)
        assert not leases.have_lapsed("w1", 699.0)
        leases.lower_horizon(105.0)
        assert not leases.have_lapsed("w1", 106.0)
        assert leases.have_lapsed("w1", 106.1)
        assert leases.have_lapsed("unknown-worker", 105.1)
        leases.lower_horizon(500.0)
        assert leases.horizon == 105.0
