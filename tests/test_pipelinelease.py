import math

import attrs
import curio
import msgspec
import pytest

from pomelostair import clock as clock_module
from pomelostair import outcome
from pomelostair import pipelinelease
from pomelostair import store
from tests import faultystore
from tests import test_relaytable

F = faultystore.Fault
MAX_LEASE_S = pipelinelease.SLOW_LEASE_S
WORKER_LEASES_S = 8.0


class ClockedFaultyTable(faultystore.FaultyTable):
    """Faulty table with a clock that the test advances."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    def time(self):
        now_ms = self.clock.now() * 1000
        return store.StoreTime(now_ms, now_ms)


class LeaseHarness:
    """Creates leases of several processes on one store."""

    def __init__(self):
        self.clock = clock_module.ManualClock(100.0)
        self.table = ClockedFaultyTable(self.clock)

    def new_lease(self, name, worker_leases_s=WORKER_LEASES_S):
        return pipelinelease.PipelineLease(
            self.table, self.clock, name, f"bus-{name}", worker_leases_s
        )

    async def acquired_lease(self, name):
        lease = self.new_lease(name)
        assert await lease.acquire(await lease.read_lease())
        return lease


PUTS = (store.Put("progress/cell/a", b"1"),)


class TestAcquire:
    def test_first_holder_starts_epoch_1(self):
        async def main():
            lease = await LeaseHarness().acquired_lease("a")
            assert lease.is_held
            assert lease.epoch == 1

        curio.run(main)

    def test_held_lease_is_unavailable_to_another_until_it_lapses(self):
        async def main():
            harness = LeaseHarness()
            await harness.acquired_lease("a")
            other = harness.new_lease("b")
            assert not other.is_available(await other.read_lease())
            harness.clock.advance(MAX_LEASE_S)
            assert not other.is_available(await other.read_lease())
            harness.clock.advance(0.2)
            assert other.is_available(await other.read_lease())

        curio.run(main)

    def test_suspended_holder_loses_the_lease_and_cannot_commit(self):
        async def main():
            harness = LeaseHarness()
            suspended = await harness.acquired_lease("a")
            harness.clock.advance(MAX_LEASE_S + 0.2)
            assert not suspended.is_held
            await harness.acquired_lease("b")
            result = await suspended.commit(PUTS, ())
            assert isinstance(result, outcome.Conflict)
            read = await harness.table.read("progress/cell/a")
            assert isinstance(read, store.Absent)

        curio.run(main)

    def test_lease_is_never_held_by_two_processes_at_once(self):
        async def main():
            harness = LeaseHarness()
            first = await harness.acquired_lease("a")
            second = harness.new_lease("b")
            for _ in range(200):
                harness.clock.advance(0.05)
                observed = await second.read_lease()
                if second.is_available(observed):
                    assert not first.is_held
                    assert await second.acquire(observed)
                    return
            raise AssertionError("the lease never became available")

        curio.run(main)

    def test_process_at_the_holders_address_takes_over_at_once(self):
        async def main():
            harness = LeaseHarness()
            await harness.acquired_lease("a")
            again = await harness.acquired_lease("a")
            assert again.epoch == 2

        curio.run(main)

    def test_vacated_lease_is_available_at_once(self):
        async def main():
            harness = LeaseHarness()
            lease = await harness.acquired_lease("a")
            assert await lease.vacate()
            assert not lease.is_held
            other = await harness.acquired_lease("b")
            assert other.epoch == 2

        curio.run(main)

    def test_acquire_fails_with_a_stale_observation(self):
        async def main():
            harness = LeaseHarness()
            other = harness.new_lease("b")
            observed = await other.read_lease()
            await harness.acquired_lease("a")
            assert not await other.acquire(observed)
            assert not other.is_held

        curio.run(main)


class TestCommit:
    def test_write_with_lost_answer_is_applied_once(self):
        async def main():
            for faults in (
                [F.LOST_ANSWER],
                [F.LOST_REQUEST],
                [F.DELAYED],
                [F.LOST_ANSWER, F.UNAVAILABLE],
                [F.DELAYED, F.LOST_REQUEST, F.LOST_ANSWER],
            ):
                harness = LeaseHarness()
                lease = await harness.acquired_lease("a")
                harness.table.faults = list(faults)
                result = await lease.commit(PUTS, ())
                assert isinstance(result, outcome.Committed), faults
                late = await harness.table.release()
                assert not any(
                    isinstance(r, outcome.Committed) for r in late
                ), faults
                assert isinstance(await lease.commit((), ()), outcome.Committed)

        curio.run(main)

    def test_unavailable_write_was_not_applied(self):
        async def main():
            harness = LeaseHarness()
            lease = await harness.acquired_lease("a")
            harness.table.faults = [F.UNAVAILABLE]
            result = await lease.commit(PUTS, ())
            assert isinstance(result, outcome.Unavailable)
            read = await harness.table.read("progress/cell/a")
            assert isinstance(read, store.Absent)

        curio.run(main)

    def test_lease_starts_before_the_write_is_sent(self):
        async def main():
            harness = LeaseHarness()
            lease = await harness.acquired_lease("a")

            async def slow_commit(transaction):
                harness.clock.advance(2.0)
                return await faultystore.FaultyTable.commit(
                    harness.table, transaction
                )

            harness.table.commit = slow_commit
            await lease.commit((), ())
            assert not lease.is_held
            await lease.commit((), ())
            assert lease.is_held
            harness.clock.advance(MAX_LEASE_S - 1.5)
            assert not lease.is_held

        curio.run(main)


class TestRecordedPlacements:
    @pytest.mark.parametrize("recorded", [True, False])
    def test_next_leader_learns_whether_all_are_recorded(self, recorded):
        async def main():
            harness = LeaseHarness()
            first = await harness.acquired_lease("a")
            await first.commit(PUTS, (), pipelinelease.Handover(recorded))
            await first.commit(PUTS, ())
            await first.vacate()
            second = await harness.acquired_lease("b")
            observed = await second.read_lease()
            assert observed.handover.placements_recorded is recorded
            assert observed.row.epoch == 2

        curio.run(main)

    def test_leader_without_the_field_records_none(self):
        """Guards against two runs after an older version of the program led."""
        row = attrs.asdict(pipelinelease.LeaseRow(1, "a", "bus-a", "t", 0.0))
        del row["handover"]
        stored = store.Row(pipelinelease.KEY, msgspec.msgpack.encode(row), 1)
        assert not pipelinelease.decode(stored).handover.placements_recorded


class TestStoreTime:
    """Times that the lease row names, by the store's clock."""

    def test_a_time_survives_the_way_there_and_back_as_a_later_one(self):
        async def main():
            harness = LeaseHarness()
            lease = await harness.acquired_lease("a")
            end_s = harness.clock.now() + 5.0
            end_ms = lease.store_time_ms(end_s)
            harness.clock.advance(2.0)
            back_s = harness.new_lease("b").local_time_s(end_ms)
            assert end_s <= back_s < end_s + 0.5

        curio.run(main)

    def test_past_time_is_not_later_than_now(self):
        async def main():
            harness = LeaseHarness()
            lease = await harness.acquired_lease("a")
            end_ms = lease.store_time_ms(harness.clock.now() + 1.0)
            harness.clock.advance(3.0)
            assert lease.local_time_s(end_ms) <= harness.clock.now()

        curio.run(main)

    def test_unknown_time_of_the_store_bounds_nothing(self):
        lease = LeaseHarness().new_lease("a")
        lease._table.time = lambda: None
        assert lease.store_time_ms(1.0) is None
        assert lease.local_time_s(1.0) == math.inf

    @pytest.mark.parametrize("holder", ["a", "b", None])
    def test_lease_is_not_available_while_it_is_unknown(self, holder):
        """Guards against two runs of the work of a leader without the time.

        Its row names ends of its own and the workers' leases in the past.
        """

        async def main():
            harness = LeaseHarness()
            if holder is not None:
                earlier = await harness.acquired_lease(holder)
                assert await earlier.vacate()
            lease = harness.new_lease("a")
            observed = await lease.read_lease()
            assert lease.is_available(observed)
            harness.table.time = lambda: None
            assert not lease.is_available(observed)
            assert not await lease.acquire(observed)
            assert harness.table.commits == (0 if holder is None else 2)

        curio.run(main)


class TestLeaderTurnedAwayByTheStore:
    def test_next_leader_waits_for_the_leases_that_it_granted(self):
        """Guards against two runs after a restart without the store.

        The restarted leader has never been served, and leads through a peer.
        """
        harness = LeaseHarness()
        relayed = test_relaytable.Harness(harness.table, harness.clock)
        relayed.own_table.down = True

        async def main(table):
            granting = pipelinelease.Handover()
            crashed = await harness.acquired_lease("a")
            await crashed.commit(PUTS, (), granting)
            harness.clock.advance(0.1)
            restarted = pipelinelease.PipelineLease(
                table, harness.clock, "a", "bus-a", WORKER_LEASES_S
            )
            observed = await restarted.read_lease()
            assert restarted.is_available(observed)
            assert await restarted.acquire(observed)
            for _ in range(20):
                harness.clock.advance(0.45)
                await restarted.commit(PUTS, (), granting)
            candidate = harness.new_lease("b")
            observed = await candidate.read_lease()
            assert not candidate.is_available(observed)
            lapse_s = candidate.local_time_s(observed.handover.leases_end_ms)
            assert lapse_s >= restarted.worker_leases_end_s
            assert lapse_s <= restarted.worker_leases_end_s + 0.5

        relayed.run(main)


class TestHandover:
    def test_silent_workers_reach_the_next_leader(self):
        async def main():
            harness = LeaseHarness()
            first = await harness.acquired_lease("a")
            silent = (pipelinelease.LeaseEnd("w1", 7, 1234.5),)
            await first.commit(PUTS, (), pipelinelease.Handover(True, silent))
            await first.vacate()
            second = await harness.acquired_lease("b")
            observed = await second.read_lease()
            assert observed.row.epoch == 2
            assert observed.handover.silent == silent

        curio.run(main)

    def test_leader_that_grants_nothing_leaves_the_end_of_earlier_leases(self):
        """Guards against waits that begin anew with each short term."""

        async def main():
            harness = LeaseHarness()
            first = await harness.acquired_lease("a")
            granting = pipelinelease.Handover()
            await first.commit(PUTS, (), granting)
            leases_end_ms = (await first.read_lease()).handover.leases_end_ms
            assert leases_end_ms == (100.0 + WORKER_LEASES_S) * 1000
            for name in ("b", "c"):
                harness.clock.advance(MAX_LEASE_S + 0.2)
                lease = await harness.acquired_lease(name)
                await lease.commit(PUTS, ())
                assert lease.worker_leases_end_s == 0.0
                observed = await lease.read_lease()
                assert observed.handover.leases_end_ms == leases_end_ms
            await lease.commit(PUTS, (), granting)
            observed = await lease.read_lease()
            assert observed.handover.leases_end_ms > leases_end_ms

        curio.run(main)

    def test_end_of_the_leases_is_not_moved_forward(self):
        """Guards against two runs if an earlier leader grants longer leases."""

        async def main():
            harness = LeaseHarness()
            granting = pipelinelease.Handover()
            first = await harness.acquired_lease("a")
            await first.commit(PUTS, (), granting)
            leases_end_ms = (await first.read_lease()).handover.leases_end_ms
            await first.vacate()
            second = harness.new_lease("b", WORKER_LEASES_S / 2)
            assert await second.acquire(await second.read_lease())
            await second.commit(PUTS, (), granting)
            observed = await second.read_lease()
            assert observed.handover.leases_end_ms == leases_end_ms

        curio.run(main)
