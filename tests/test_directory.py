import msgspec

from pomelostair import clock
from pomelostair import directory
from pomelostair import messages
from pomelostair import wire
from tests import targets

TRANSIT_S = 0.002
AHEAD_S = 5000.0


def envelope(incarnation="1"):
    return wire.Envelope(
        "announcement", "m", incarnation, "memory:m", "", False, msgspec.Raw()
    )


class TestTargets:
    def setup_method(self):
        self.clock = clock.ManualClock(50.0)
        self.directory = directory.Directory(self.clock, silence_timeout_s=2.0)

    def hear(self, sent, incarnation="1", **changes):
        """Takes over an announcement that was sent at an own clock time."""
        found = targets.minion(
            "m", clock_ms=(sent + AHEAD_S) * 1000, **changes
        ).announcement
        self.directory.update_target(found, envelope(incarnation))

    def candidates(self):
        return self.directory.candidates("clapper-desk")

    def test_the_agents_clock_is_never_overestimated(self):
        for sent, received in [(50.0, 50.9), (51.0, 51.1), (52.0, 54.0)]:
            self.clock.advance(received - self.clock.now())
            self.hear(sent)
            assert self.candidates()[0].clock_offset_s <= AHEAD_S
        assert AHEAD_S - self.candidates()[0].clock_offset_s < 0.11

    def test_a_silent_target_gets_no_new_work(self):
        self.hear(50.0)
        assert self.candidates()
        self.clock.advance(2.1)
        assert not self.candidates()

    def test_a_leaving_target_gets_no_new_work_at_once(self):
        self.hear(50.0)
        self.hear(50.1, state=messages.TargetState.DRAINING)
        assert not self.candidates()

    def test_old_announcements_are_no_news_after_a_pause(self):
        self.hear(50.0)
        self.clock.advance(30.0)
        for sent in (50.5, 51.0, 51.5):
            self.hear(sent)
        assert not self.candidates()

    def test_an_older_announcement_does_not_bring_a_target_back(self):
        self.hear(50.0)
        self.hear(50.6, state=messages.TargetState.DRAINING)
        self.hear(50.5)
        assert not self.candidates()
