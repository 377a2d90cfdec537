from pomelostair import clock
from pomelostair import pauses


class TestPauseDetector:
    def setup_method(self):
        self.clock = clock.ManualClock(10.0)
        self.pauses = pauses.PauseDetector(self.clock)

    def advance_with_ticks(self, seconds):
        for _ in range(round(seconds / pauses.TICK_INTERVAL_S)):
            self.clock.advance(pauses.TICK_INTERVAL_S)
            self.pauses.tick()

    def test_without_a_pause_requests_have_just_arrived(self):
        assert self.pauses.earliest_arrival_s() == 10.0
        self.advance_with_ticks(5.0)
        assert self.pauses.earliest_arrival_s() == self.clock.now()

    def test_after_a_pause_requests_may_be_as_old_as_the_pause(self):
        self.advance_with_ticks(1.0)
        pause_start_s = self.clock.now()
        self.clock.advance(4.0)
        assert self.pauses.earliest_arrival_s() == pause_start_s
        self.clock.advance(0.1)
        assert self.pauses.earliest_arrival_s() == pause_start_s

    def test_once_the_backlog_is_read_requests_have_just_arrived(self):
        self.clock.advance(4.0)
        self.advance_with_ticks(pauses.BACKLOG_S + 2 * pauses.TICK_INTERVAL_S)
        assert self.pauses.earliest_arrival_s() == self.clock.now()
