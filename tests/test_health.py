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


def target_names(target_list):
    return [t.announcement.name for t in target_list]


class TestHealth:
    def setup_method(self):
        self.clock = clock.ManualClock(100.0)
        self.health = health.TargetHealth(self.clock)
        self.targets = [targets.make_minion(f"m{i}") for i in range(4)]

    def fail(self, target, times=health.FAILURES_TO_EJECT):
        for _ in range(times):
            self.health.record_result(target, FAILED)

    def test_three_failures_in_a_row_eject(self):
        self.fail(self.targets[0], 2)
        self.health.record_result(self.targets[0], SERVED)
        self.fail(self.targets[0], 2)
        assert not self.health.is_ejected(self.targets[0])
        assert self.health.record_result(self.targets[0], FAILED)
        eligible = self.health.eligible(self.targets, may_probe=True)
        assert target_names(eligible) == ["m1", "m2", "m3"]

    def test_a_refusal_because_of_load_is_no_failure(self):
        for _ in range(50):
            self.health.record_result(self.targets[0], FULL)
        assert not self.health.is_ejected(self.targets[0])

    def test_a_successful_probe_restores(self):
        self.fail(self.targets[0])
        self.clock.advance(health.PROBE_INTERVAL_MIN_S)
        assert target_names(self.health.eligible(self.targets, True)) == ["m0"]
        assert len(self.health.eligible(self.targets, True)) == 3
        assert self.health.record_result(self.targets[0], SERVED)
        assert len(self.health.eligible(self.targets, True)) == 4

    def test_a_failed_probe_lengthens_the_interval(self):
        self.fail(self.targets[0])
        self.clock.advance(health.PROBE_INTERVAL_MIN_S)
        self.health.eligible(self.targets, True)
        self.fail(self.targets[0], 1)
        self.clock.advance(1.5 * health.PROBE_INTERVAL_MIN_S)
        assert len(self.health.eligible(self.targets, True)) == 3

    def test_urgent_requests_are_used_for_overdue_probes_only(self):
        self.fail(self.targets[0])
        self.clock.advance(health.PROBE_INTERVAL_MIN_S)
        assert len(self.health.eligible(self.targets, False)) == 3
        self.clock.advance(health.PROBE_OVERDUE_S)
        assert target_names(self.health.eligible(self.targets, False)) == ["m0"]

    def test_a_slow_minion_gets_probes_only(self):
        self.targets[2] = targets.make_minion("m2", service_ms=200.0)
        probe = self.health.eligible(self.targets, True)
        assert target_names(probe) == ["m2"]
        self.health.record_result(self.targets[2], SERVED)
        assert len(self.health.eligible(self.targets, True)) == 3

    def test_probes_of_a_slow_minion_back_off(self):
        self.targets[2] = targets.make_minion("m2", service_ms=200.0)
        probes = 0
        for _ in range(300):
            eligible = self.health.eligible(self.targets, True)
            if target_names(eligible) == ["m2"]:
                probes += 1
                self.health.record_result(self.targets[2], SERVED)
            self.clock.advance(0.1)
        assert probes == 5

    @given(st.lists(st.booleans(), min_size=1, max_size=12))
    def test_at_least_half_stay_eligible(self, failing):
        candidates = [targets.make_minion(f"m{i}") for i in range(len(failing))]
        self.health = health.TargetHealth(self.clock)
        for target, is_failing in zip(candidates, failing, strict=True):
            if is_failing:
                self.fail(target)
        eligible = self.health.eligible(candidates, False)
        assert 2 * len(eligible) >= len(candidates)
        if 2 * sum(failing) <= len(failing):
            assert not any(self.health.is_ejected(t) for t in eligible)

    def test_a_restart_of_the_agent_resets_the_record(self):
        self.fail(self.targets[0])
        self.targets[0].incarnation = "2"
        assert not self.health.is_ejected(self.targets[0])
