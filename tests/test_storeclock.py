import pytest

from pomelostair import clock as clock_module
from pomelostair import store
from pomelostair import storeclock


class TestStoreClock:
    @pytest.fixture
    def clock(self):
        self.local_clock = clock_module.ManualClock(100.0)
        return storeclock.StoreClock(self.local_clock)

    def answer(self, clock, reading_ms, took_s):
        sent_s = self.local_clock.now()
        self.local_clock.advance(took_s)
        clock.update(store.StoreTime(reading_ms, reading_ms), sent_s)
        bounds = clock.bounds()
        assert bounds.earliest_ms <= reading_ms + took_s * 1000
        return bounds.latest_ms - bounds.earliest_ms

    def test_answer_to_a_long_poll_does_not_loosen_the_bounds(self, clock):
        """Guards against a leader whose lease ends seconds too late.

        On a quiet site, the last answer before a commit is that to a watch.
        """
        assert self.answer(clock, 5000.0, 0.02) < 25
        assert self.answer(clock, 7000.0, 2.0) < 125

    def test_later_answer_makes_them_tighter(self, clock):
        self.answer(clock, 5000.0, 1.0)
        assert self.answer(clock, 5015.0, 0.01) < 15

    def test_clock_that_begins_anew_is_followed(self, clock):
        self.answer(clock, 5000.0, 0.02)
        self.answer(clock, 10.0, 0.02)
        assert clock.bounds().latest_ms < 100

    def test_bounds_in_an_answer_are_kept_apart(self, clock):
        """Guards against leases that end early, by what a peer can not know."""
        sent_s = self.local_clock.now()
        self.local_clock.advance(0.1)
        clock.update(store.StoreTime(4000.0, 5000.0), sent_s)
        self.local_clock.advance(1.0)
        bounds = clock.bounds()
        assert bounds.earliest_ms <= 4000.0 + 1000
        assert bounds.latest_ms >= 5000.0 + 1100
