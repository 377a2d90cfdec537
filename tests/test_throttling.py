from pomelostair import eviction
from pomelostair import messages
from pomelostair import reports
from pomelostair import throttling

CAPACITY = messages.Size(32.0, 64_000, 0)
VICTIM = ("desk/0", 1)
LOUD, QUIET = ("wear/0", 1), ("plan/0", 1)


def candidate(task, cores, urgency=messages.Urgency.BATCH, memory_mb=100):
    size = messages.Size(cores, memory_mb)
    return eviction.Candidate(task, 1, urgency, False, 0.0, size)


def resident(kind):
    size = messages.Size(8.0, 100)
    return reports.Resident(kind, messages.Urgency.BATCH, size, 1.0)


NEIGHBOURS = {LOUD: resident("wear"), QUIET: resident("plan")}


def calm(found, slowdown, read_s, now, bearable=False):
    critical = messages.Urgency.CRITICAL
    report = throttling.SlowdownReport(
        VICTIM, "fit", critical, slowdown, read_s
    )
    return found.relieve_interference(
        (report,),
        NEIGHBOURS,
        lambda report, neighbour: (1.0 if neighbour.kind == "wear" else 0, 0),
        lambda keys: bearable,
        now,
    )


class TestUnload:
    def unload(self, used, *candidates, read_s=1.0):
        found = throttling.ThrottleController(CAPACITY)
        return found.relieve_overload(used, read_s, candidates, 2.0)

    def test_a_worker_within_capacity_is_left_alone(self):
        assert self.unload(CAPACITY, candidate("a", 8)) == ()

    def test_the_least_urgent_is_throttled_first(self):
        normal = messages.Urgency.NORMAL
        (step,) = self.unload(
            messages.Size(34, 100), candidate("n", 8, normal), candidate("b", 8)
        )
        assert (step.key, step.share) == (("b", 1), 0.5)

    def test_eviction_follows_when_throttling_is_not_enough(self):
        steps = self.unload(messages.Size(40, 100), candidate("b", 8))
        assert [type(step) for step in steps] == [throttling.EvictStep]

    def test_short_memory_evicts_at_once(self):
        steps = self.unload(
            messages.Size(8, 70_000), candidate("b", 8, memory_mb=10_000)
        )
        assert [type(step) for step in steps] == [throttling.EvictStep]

    def test_old_reports_bring_no_second_step(self):
        found = throttling.ThrottleController(CAPACITY)
        used = messages.Size(34, 100)
        assert found.relieve_overload(used, 1.0, (candidate("b", 8),), 2.0)
        assert not found.relieve_overload(used, 1.5, (candidate("b", 8),), 3.0)


class TestCalm:
    def test_the_known_culprit_is_throttled_then_leaves(self):
        found = throttling.ThrottleController(CAPACITY)
        assert calm(found, 2.0, 1.0, 1.0) == ()
        (step,) = calm(found, 2.0, 2.0, 2.0)
        assert (step.key, step.share) == (LOUD, 0.5)
        assert calm(found, 2.0, 1.5, 2.5) == ()
        calm(found, 2.0, 3.0, 3.0)
        (step,) = calm(found, 2.0, 4.0, 4.0)
        assert step == throttling.EvictStep(LOUD, step.reason)

    def test_what_is_throttled_is_restored_or_leaves(self):
        for bearable, kind in (
            (True, throttling.ThrottleStep),
            (False, throttling.EvictStep),
        ):
            found = throttling.ThrottleController(CAPACITY)
            calm(found, 2.0, 1.0, 1.0)
            calm(found, 2.0, 2.0, 2.0)
            (step,) = calm(found, 1.0, 9.0, 9.0, bearable)
            assert isinstance(step, kind)
        assert found.shares == {LOUD: 0.5}
