import curio
import pytest

from pomelostair import cell
from pomelostair import celllog
from pomelostair import clock as clock_module
from pomelostair import messages
from pomelostair import outcome
from pomelostair import store
from tests import faultystore

LEASE_S = 3.0
F = faultystore.Fault


def _log(table, clock, holder="a", objects=None):
    return celllog.CellLog(
        table,
        objects or store.MemoryObjects(),
        clock,
        "main",
        holder,
        f"bus-{holder}",
        LEASE_S,
    )


def _job(name):
    return cell.JobSubmitted(messages.JobSpec(name, "netting"))


async def _with_lease(table, clock, holder="a", objects=None):
    log = _log(table, clock, holder, objects)
    observed = await log.read_lease()
    assert isinstance(await log.acquire(observed), outcome.Committed)
    return log


async def _events(table, clock, objects=None):
    reader = await _with_lease(table, clock, "reader", objects)
    return list((await reader.replay()).events)


class TestAppend:
    @pytest.mark.parametrize(
        "faults",
        [
            [F.LOST_ANSWER],
            [F.LOST_REQUEST],
            [F.DELAYED],
            [F.LOST_ANSWER, F.UNAVAILABLE],
            [F.LOST_REQUEST, F.UNAVAILABLE, F.UNAVAILABLE],
            [F.LOST_REQUEST, F.LOST_REQUEST, F.LOST_ANSWER],
            [F.DELAYED, F.DELAYED, F.LOST_REQUEST],
        ],
        ids=lambda faults: "+".join(f.name for f in faults),
    )
    def test_unknown_is_resolved_and_applied_once(self, faults):
        async def main():
            table = faultystore.FaultyTable()
            clock = clock_module.ManualClock()
            log = await _with_lease(table, clock)
            table.faults = list(faults)
            result = await log.append((_job("one"),))
            assert isinstance(result, outcome.Committed)
            table.faults = []
            late = await table.release()
            assert not any(isinstance(r, outcome.Committed) for r in late)
            result = await log.append((_job("two"),))
            assert isinstance(result, outcome.Committed)
            assert await _events(table, clock) == [_job("one"), _job("two")]

        curio.run(main)

    def test_write_is_confirmed_by_reads_if_every_answer_is_lost(self):
        async def main():
            table = faultystore.FaultyTable()
            clock = clock_module.ManualClock()
            log = await _with_lease(table, clock)
            table.faults = [F.LOST_ANSWER] * 1000
            result = await curio.timeout_after(20.0, log.append, (_job("one"),))
            assert isinstance(result, outcome.Committed)
            assert await _events(table, clock) == [_job("one")]

        curio.run(main)

    def test_refused_write_logs_nothing_and_the_next_one_succeeds(self):
        async def main():
            table = faultystore.FaultyTable()
            clock = clock_module.ManualClock()
            log = await _with_lease(table, clock)
            table.faults = [F.UNAVAILABLE]
            result = await log.append((_job("one"),))
            assert isinstance(result, outcome.Unavailable)
            assert log.has_store_outage
            result = await log.append((_job("two"),))
            assert isinstance(result, outcome.Committed)
            assert not log.has_store_outage
            assert await _events(table, clock) == [_job("two")]

        curio.run(main)

    @pytest.mark.parametrize("fault", [F.LOST_ANSWER, F.LOST_REQUEST])
    def test_successor_that_took_over_before_the_repeat(self, fault):
        """The log row shows whether the write took effect before."""

        async def main():
            table = faultystore.FaultyTable()
            clock = clock_module.ManualClock()
            log = await _with_lease(table, clock)
            table.faults = [fault]
            task = await curio.spawn(log.append, (_job("one"),))
            await curio.sleep(0)
            other = await _with_lease(table, clock, "b")
            result = await task.join()
            if fault is F.LOST_ANSWER:
                assert isinstance(result, outcome.Committed)
            else:
                assert isinstance(result, outcome.Conflict)
            assert not isinstance(
                await log.append((_job("two"),)), outcome.Committed
            )
            replayed = list((await other.replay()).events)
            assert (_job("one") in replayed) == (fault is F.LOST_ANSWER)

        curio.run(main)


class TestLease:
    def test_counts_from_before_the_write_was_sent(self):
        class SlowTable(faultystore.FaultyTable):
            async def commit(self, transaction):
                clock.advance(2.0)
                return await super().commit(transaction)

        clock = clock_module.ManualClock()

        async def main():
            log = await _with_lease(SlowTable(), clock)
            clock.advance(0.9)
            assert log.is_held
            clock.advance(0.2)
            assert not log.is_held

        curio.run(main)

    def test_lease_of_a_resolved_write_counts_from_its_first_attempt(self):
        class SlowTable(faultystore.FaultyTable):
            async def commit(self, transaction):
                clock.advance(1.0)
                return await super().commit(transaction)

        clock = clock_module.ManualClock()

        async def main():
            table = SlowTable()
            log = await _with_lease(table, clock)
            table.faults = [F.LOST_ANSWER]
            sent = clock.now()
            await log.append((_job("one"),))
            clock.advance(sent + LEASE_S - clock.now() + 0.01)
            assert not log.is_held

        curio.run(main)

    def test_paused_holder_that_resumes_can_neither_append_nor_renew(self):
        async def main():
            table = faultystore.FaultyTable()
            clock = clock_module.ManualClock()
            paused = await _with_lease(table, clock)
            clock.advance(LEASE_S + 1)
            other = await _with_lease(table, clock, "b")
            assert not paused.is_held
            result = await paused.append((_job("stale"),))
            assert isinstance(result, outcome.Conflict)
            assert not paused.may_renew_task_leases(600.0)
            assert other.epoch == paused.epoch + 1
            assert await _events(table, clock) == []

        curio.run(main)

    def test_only_one_of_two_candidates_acquires_the_lease(self):
        async def main():
            table = faultystore.FaultyTable()
            clock = clock_module.ManualClock()
            first, second = _log(table, clock, "a"), _log(table, clock, "b")
            seen = [await first.read_lease(), await second.read_lease()]
            results = [
                await first.acquire(seen[0]),
                await second.acquire(seen[1]),
            ]
            assert isinstance(results[0], outcome.Committed)
            assert isinstance(results[1], outcome.Conflict)
            assert (first.is_held, second.is_held) == (True, False)

        curio.run(main)

    def test_task_leases_are_renewed_in_an_outage_only_for_the_grace(self):
        async def main():
            table = faultystore.FaultyTable()
            clock = clock_module.ManualClock()
            log = await _with_lease(table, clock)
            clock.advance(LEASE_S + 1)
            assert not log.may_renew_task_leases(600.0), (
                "a pause is not an outage"
            )
            table.down = True
            await log.append(())
            assert not log.is_held
            assert log.may_renew_task_leases(600.0)
            clock.advance(600.0 - LEASE_S - 1.5)
            assert log.may_renew_task_leases(600.0)
            clock.advance(1.0)
            assert not log.may_renew_task_leases(600.0)
            table.down = False
            assert isinstance(await log.append(()), outcome.Committed)
            assert log.is_held

        curio.run(main)


class TestSnapshot:
    def test_referenced_snapshot_replaces_the_rows_it_covers(self):
        async def main():
            table, objects = faultystore.FaultyTable(), store.MemoryObjects()
            clock = clock_module.ManualClock()
            log = await _with_lease(table, clock, objects=objects)
            for index in range(5):
                await log.append((_job(f"old-{index}"),))
            assert isinstance(
                await log.write_snapshot(b"state", log.sequence), store.Stored
            )
            await log.append((_job("new"),))
            await log.append(())
            page = await table.scan("cells/main/log/")
            assert len(page.rows) == 1
            recovered = await (
                await _with_lease(table, clock, "b", objects)
            ).replay()
            assert recovered.snapshot == b"state"
            assert list(recovered.events) == [_job("new")]

        curio.run(main)

    def test_snapshot_that_was_not_stored_is_never_referenced(self):
        async def main():
            table, objects = (
                faultystore.FaultyTable(),
                faultystore.FaultyObjects(),
            )
            clock = clock_module.ManualClock()
            log = await _with_lease(table, clock, objects=objects)
            await log.append((_job("one"),))
            objects.down = True
            written = await log.write_snapshot(b"state", log.sequence)
            assert isinstance(written, outcome.Unavailable)
            await log.append(())
            await log.append(())
            objects.down = False
            assert await _events(table, clock, objects) == [_job("one")]

        curio.run(main)

    def test_unreadable_store_and_missing_row_are_reported(self):
        async def main():
            table = faultystore.FaultyTable()
            clock = clock_module.ManualClock()
            log = await _with_lease(table, clock)
            for index in range(3):
                await log.append((_job(str(index)),))
            table.down = True
            assert isinstance(await log.replay(), outcome.Unavailable)
            table.down = False
            key = "cells/main/log/000000000002"
            await table.commit(store.Transaction(deletes=(key,)))
            assert isinstance(await log.replay(), celllog.Damaged)

        curio.run(main)
