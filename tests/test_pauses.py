from pomelostair import clock
from pomelostair import pauses


class TestPauseDetector:
    def setup_method(self):
        self.clock = clock.ManualClock(10.0)
        self.pauses = pauses.PauseDetector(self.clock)

    def pass_time(self, seconds):
        for _ in range(round(seconds / pauses.TICK_S)):
            self.clock.advance(pauses.TICK_S)
            self.pauses.tick()

    def test_an_active_process_takes_requests_for_new(self):
        assert self.pauses.arrival() == 10.0
        self.pass_time(5.0)
        assert self.pauses.arrival() == self.clock.now()

    def test_after_a_pause_requests_may_be_as_old_as_it(self):
        self.pass_time(1.0)
        begun = self.clock.now()
        self.clock.advance(4.0)
        assert self.pauses.arrival() == begun
        self.clock.advance(0.1)
        assert self.pauses.arrival() == begun

    def test_soon_after_a_pause_requests_are_new_again(self):
        self.clock.advance(4.0)
        self.pass_time(pauses.SETTLE_S + 2 * pauses.TICK_S)
        assert self.pauses.arrival() == self.clock.now()
