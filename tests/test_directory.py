import msgspec

from pomelostair import clock
from pomelostair import directory
from pomelostair import messages
from pomelostair import wire
from tests import targets

TRANSIT_S = 0.002
CLOCK_OFFSET_S = 5000.0


def envelope(incarnation="1"):
    return wire.Envelope(
        "announcement", "m", incarnation, "memory:m", "", False, msgspec.Raw()
    )


class TestTargets:
    def setup_method(self):
        self.clock = clock.ManualClock(50.0)
        self.directory = directory.Directory(self.clock, silence_timeout_s=2.0)

    def receive(self, sent_s, incarnation="1", **changes):
        """Receives an announcement sent at `sent_s` on the local clock."""
        announcement = targets.make_minion(
            "m", clock_ms=(sent_s + CLOCK_OFFSET_S) * 1000, **changes
        ).announcement
        self.directory.update_target(announcement, envelope(incarnation))

    def candidates(self):
        return self.directory.candidates("clapper-desk")

    def test_clock_offset_is_never_overestimated(self):
        for sent, received in [(50.0, 50.9), (51.0, 51.1), (52.0, 54.0)]:
            self.clock.advance(received - self.clock.now())
            self.receive(sent)
            assert self.candidates()[0].clock_offset_s <= CLOCK_OFFSET_S
        assert CLOCK_OFFSET_S - self.candidates()[0].clock_offset_s < 0.11

    def test_silent_target_gets_no_new_work(self):
        self.receive(50.0)
        assert self.candidates()
        self.clock.advance(2.1)
        assert not self.candidates()

    def test_draining_target_gets_no_new_work_immediately(self):
        self.receive(50.0)
        self.receive(50.1, state=messages.TargetState.DRAINING)
        assert not self.candidates()

    def test_delayed_announcements_do_not_count_as_current(self):
        self.receive(50.0)
        self.clock.advance(30.0)
        for sent in (50.5, 51.0, 51.5):
            self.receive(sent)
        assert not self.candidates()

    def test_reordered_announcement_does_not_undo_draining(self):
        self.receive(50.0)
        self.receive(50.6, state=messages.TargetState.DRAINING)
        self.receive(50.5)
        assert not self.candidates()
