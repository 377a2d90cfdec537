from hypothesis import given
from hypothesis import strategies as st

from pomelostair import clock
from pomelostair import health
from pomelostair import messages
from pomelostair import outcome
from tests import targets

SERVED = messages.Served(200, (), b"")
FAILED = outcome.Refused(
    outcome.Kind.TARGET_FAILED, "look", outcome.Ran.UNKNOWN
)
FULL = outcome.Refused(outcome.Kind.QUEUE_FULL, "repeat later")


def names(found):
    return [t.announcement.name for t in found]


class TestHealth:
    def setup_method(self):
        self.clock = clock.ManualClock(100.0)
        self.health = health.Health(self.clock)
        self.targets = [targets.minion(f"m{i}") for i in range(4)]

    def fail(self, target, times=health.FAILURES_TO_EJECT):
        for _ in range(times):
            self.health.record(target, FAILED)

    def test_three_failures_in_a_row_eject(self):
        self.fail(self.targets[0], 2)
        self.health.record(self.targets[0], SERVED)
        self.fail(self.targets[0], 2)
        assert not self.health.ejected(self.targets[0])
        assert self.health.record(self.targets[0], FAILED)
        found = self.health.eligible(self.targets, may_probe=True)
        assert names(found) == ["m1", "m2", "m3"]

    def test_a_refusal_for_load_is_no_failure(self):
        for _ in range(50):
            self.health.record(self.targets[0], FULL)
        assert not self.health.ejected(self.targets[0])

    def test_one_probe_then_back(self):
        self.fail(self.targets[0])
        self.clock.advance(health.PROBE_MIN_S)
        assert names(self.health.eligible(self.targets, True)) == ["m0"]
        assert len(self.health.eligible(self.targets, True)) == 3
        assert self.health.record(self.targets[0], SERVED)
        assert len(self.health.eligible(self.targets, True)) == 4

    def test_failed_probes_grow_rarer(self):
        self.fail(self.targets[0])
        self.clock.advance(health.PROBE_MIN_S)
        self.health.eligible(self.targets, True)
        self.fail(self.targets[0], 1)
        self.clock.advance(1.5 * health.PROBE_MIN_S)
        assert len(self.health.eligible(self.targets, True)) == 3

    def test_urgent_requests_probe_only_when_no_other_did(self):
        self.fail(self.targets[0])
        self.clock.advance(health.PROBE_MIN_S)
        assert len(self.health.eligible(self.targets, False)) == 3
        self.clock.advance(health.PROBE_PATIENCE_S)
        assert names(self.health.eligible(self.targets, False)) == ["m0"]

    def test_a_slow_minion_gets_probes_only(self):
        self.targets[2] = targets.minion("m2", service_ms=200.0)
        probe = self.health.eligible(self.targets, True)
        assert names(probe) == ["m2"]
        self.health.record(self.targets[2], SERVED)
        assert len(self.health.eligible(self.targets, True)) == 3

    def test_probes_of_a_slow_minion_grow_rarer(self):
        self.targets[2] = targets.minion("m2", service_ms=200.0)
        probes = 0
        for _ in range(300):
            found = self.health.eligible(self.targets, True)
            if names(found) == ["m2"]:
                probes += 1
                self.health.record(self.targets[2], SERVED)
            self.clock.advance(0.1)
        assert probes == 5

    @given(st.lists(st.booleans(), min_size=1, max_size=12))
    def test_at_least_half_are_kept(self, bad):
        candidates = [targets.minion(f"m{i}") for i in range(len(bad))]
        self.health = health.Health(self.clock)
        for target, is_bad in zip(candidates, bad, strict=True):
            if is_bad:
                self.fail(target)
        kept = self.health.eligible(candidates, False)
        assert 2 * len(kept) >= len(candidates)
        if 2 * sum(bad) <= len(bad):
            assert not any(self.health.ejected(t) for t in kept)

    def test_a_restarted_agent_starts_afresh(self):
        self.fail(self.targets[0])
        self.targets[0].incarnation = "2"
        assert not self.health.ejected(self.targets[0])
