from pomelostair import eviction
from pomelostair import messages
from pomelostair import reports
from pomelostair import throttling

CAPACITY = messages.Size(32.0, 64_000, 0)
VICTIM = ("desk/0", 1)
INTERFERING, HARMLESS = ("wear/0", 1), ("plan/0", 1)


def candidate(task, cores, urgency=messages.Urgency.BATCH, memory_mb=100):
    size = messages.Size(cores, memory_mb)
    return eviction.Candidate(task, 1, urgency, False, 0.0, size)


def resident(kind):
    size = messages.Size(8.0, 100)
    return reports.RunningAttempt(kind, messages.Urgency.BATCH, size, 1.0)


NEIGHBOURS = {INTERFERING: resident("wear"), HARMLESS: resident("plan")}


def report_slowdown(
    controller, slowdown, read_s, now, can_run_unthrottled=False
):
    critical = messages.Urgency.CRITICAL
    report = throttling.SlowdownReport(
        VICTIM, "fit", critical, slowdown, read_s
    )
    return controller.relieve_interference(
        (report,),
        NEIGHBOURS,
        lambda report, neighbour: (1.0 if neighbour.kind == "wear" else 0, 0),
        lambda keys: can_run_unthrottled,
        now,
    )


class TestRelieveOverload:
    def steps(self, used, *candidates, read_s=1.0):
        controller = throttling.ThrottleController(CAPACITY)
        return controller.relieve_overload(used, read_s, candidates, 2.0)

    def test_no_step_within_capacity(self):
        assert self.steps(CAPACITY, candidate("a", 8)) == ()

    def test_least_urgent_is_throttled_first(self):
        normal = messages.Urgency.NORMAL
        (step,) = self.steps(
            messages.Size(34, 100), candidate("n", 8, normal), candidate("b", 8)
        )
        assert (step.key, step.share) == (("b", 1), 0.5)

    def test_evicts_if_throttling_is_not_enough(self):
        steps = self.steps(messages.Size(40, 100), candidate("b", 8))
        assert [type(step) for step in steps] == [throttling.EvictStep]

    def test_excess_memory_evicts_without_throttling(self):
        steps = self.steps(
            messages.Size(8, 70_000), candidate("b", 8, memory_mb=10_000)
        )
        assert [type(step) for step in steps] == [throttling.EvictStep]

    def test_reports_read_before_a_step_are_ignored(self):
        controller = throttling.ThrottleController(CAPACITY)
        used = messages.Size(34, 100)
        assert controller.relieve_overload(used, 1.0, (candidate("b", 8),), 2.0)
        assert not controller.relieve_overload(
            used, 1.5, (candidate("b", 8),), 3.0
        )


class TestRelieveInterference:
    def test_known_cause_is_throttled_then_evicted(self):
        controller = throttling.ThrottleController(CAPACITY)
        assert report_slowdown(controller, 2.0, 1.0, 1.0) == ()
        (step,) = report_slowdown(controller, 2.0, 2.0, 2.0)
        assert (step.key, step.share) == (INTERFERING, 0.5)
        assert report_slowdown(controller, 2.0, 1.5, 2.5) == ()
        report_slowdown(controller, 2.0, 3.0, 3.0)
        (step,) = report_slowdown(controller, 2.0, 4.0, 4.0)
        assert step == throttling.EvictStep(INTERFERING, step.reason)

    def test_throttled_attempt_is_restored_or_evicted(self):
        for can_run_unthrottled, kind in (
            (True, throttling.ThrottleStep),
            (False, throttling.EvictStep),
        ):
            controller = throttling.ThrottleController(CAPACITY)
            report_slowdown(controller, 2.0, 1.0, 1.0)
            report_slowdown(controller, 2.0, 2.0, 2.0)
            (step,) = report_slowdown(
                controller, 1.0, 9.0, 9.0, can_run_unthrottled
            )
            assert isinstance(step, kind)
        assert controller.shares == {INTERFERING: 0.5}
