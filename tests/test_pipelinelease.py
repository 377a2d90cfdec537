import curio

from pomelostair import clock as clock_module
from pomelostair import outcome
from pomelostair import pipelinelease
from pomelostair import store
from tests import faulty

F = faulty.Fault
LONGEST_S = pipelinelease.SLOW_LEASE_S


class Table(faulty.FaultyTable):
    """A table with faults whose clock tests move by hand."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    def time(self):
        now_ms = self.clock.now() * 1000
        return store.StoreTime(now_ms, now_ms)


class Harness:
    """Two entries before one store."""

    def __init__(self):
        self.clock = clock_module.ManualClock(100.0)
        self.table = Table(self.clock)

    def lease(self, name):
        return pipelinelease.PipelineLease(
            self.table, self.clock, name, f"bus-{name}"
        )

    async def taken(self, name):
        lease = self.lease(name)
        assert await lease.take(await lease.observe())
        return lease


PUT = (store.Put("progress/cell/a", b"1"),)


class TestTake:
    def test_first_holder_begins_epoch_1(self):
        async def main():
            lease = await Harness().taken("a")
            assert lease.held
            assert lease.epoch == 1

        curio.run(main)

    def test_held_lease_is_not_free_for_another(self):
        async def main():
            harness = Harness()
            await harness.taken("a")
            other = harness.lease("b")
            assert not other.is_free(await other.observe())
            harness.clock.advance(LONGEST_S)
            assert not other.is_free(await other.observe())
            harness.clock.advance(0.2)
            assert other.is_free(await other.observe())

        curio.run(main)

    def test_holder_that_was_frozen_holds_no_longer(self):
        async def main():
            harness = Harness()
            frozen = await harness.taken("a")
            harness.clock.advance(LONGEST_S + 0.2)
            assert not frozen.held
            await harness.taken("b")
            result = await frozen.commit(PUT, ())
            assert isinstance(result, outcome.Conflict)
            read = await harness.table.read("progress/cell/a")
            assert isinstance(read, store.Absent)

        curio.run(main)

    def test_no_two_hold_at_once_at_any_moment(self):
        async def main():
            harness = Harness()
            first = await harness.taken("a")
            second = harness.lease("b")
            for _ in range(200):
                harness.clock.advance(0.05)
                observed = await second.observe()
                if second.is_free(observed):
                    assert not first.held
                    assert await second.take(observed)
                    return
            raise AssertionError("the lease never became free")

        curio.run(main)

    def test_process_at_the_holders_address_takes_over_at_once(self):
        async def main():
            harness = Harness()
            await harness.taken("a")
            again = await harness.taken("a")
            assert again.epoch == 2

        curio.run(main)

    def test_vacated_lease_is_free_at_once(self):
        async def main():
            harness = Harness()
            lease = await harness.taken("a")
            assert await lease.vacate()
            assert not lease.held
            other = await harness.taken("b")
            assert other.epoch == 2

        curio.run(main)

    def test_stale_observation_takes_nothing(self):
        async def main():
            harness = Harness()
            other = harness.lease("b")
            observed = await other.observe()
            await harness.taken("a")
            assert not await other.take(observed)
            assert not other.held

        curio.run(main)


class TestCommit:
    def test_lost_answer_is_settled_and_applied_once(self):
        async def main():
            for faults in (
                [F.LOST_ANSWER],
                [F.LOST_REQUEST],
                [F.DELAYED],
                [F.LOST_ANSWER, F.UNAVAILABLE],
                [F.DELAYED, F.LOST_REQUEST, F.LOST_ANSWER],
            ):
                harness = Harness()
                lease = await harness.taken("a")
                harness.table.faults = list(faults)
                result = await lease.commit(PUT, ())
                assert isinstance(result, outcome.Committed), faults
                late = await harness.table.release()
                assert not any(
                    isinstance(r, outcome.Committed) for r in late
                ), faults
                assert isinstance(await lease.commit((), ()), outcome.Committed)

        curio.run(main)

    def test_unavailable_write_was_not_applied(self):
        async def main():
            harness = Harness()
            lease = await harness.taken("a")
            harness.table.faults = [F.UNAVAILABLE]
            result = await lease.commit(PUT, ())
            assert isinstance(result, outcome.Unavailable)
            read = await harness.table.read("progress/cell/a")
            assert isinstance(read, store.Absent)

        curio.run(main)

    def test_lease_counts_from_before_the_write_was_sent(self):
        async def main():
            harness = Harness()
            lease = await harness.taken("a")

            async def slow_commit(transaction):
                harness.clock.advance(2.0)
                return await faulty.FaultyTable.commit(
                    harness.table, transaction
                )

            harness.table.commit = slow_commit
            await lease.commit((), ())
            assert not lease.held
            await lease.commit((), ())
            assert lease.held
            harness.clock.advance(LONGEST_S - 1.5)
            assert not lease.held

        curio.run(main)
