import curio
import pytest

from pomelostair import clock
from pomelostair import evacuationwatch
from pomelostair import metrics
from pomelostair import outcome
from pomelostair import store
from pomelostair.platform import port
from tests import faultystore
from tests import leaders

PREFIX = "op//evacuate/"
# Makes each watch last 16 ms.
EVACUATE_MS = 100


class HangingTable(faultystore.FaultyTable):
    """A table whose watches get no answer while `hangs`, or fail."""

    hangs = False
    fails = False

    async def watch(self, table, after, wait_s):
        if self.hangs:
            await curio.sleep(3600)
        if self.fails or self.down:
            return outcome.Unavailable("refused")
        return await self.table.watch(table, after, wait_s)


class Harness:
    """A watch over a store with injected faults."""

    def __init__(self):
        self.table = HangingTable()
        self.applied = []
        self.watch = evacuationwatch.EvacuationWatch(
            self.table,
            port.PlatformPort(),
            EVACUATE_MS,
            metrics.Metrics(),
            clock.MonotonicClock(),
            self.apply,
        )

    async def apply(self, zones):
        self.applied.append(zones)

    async def write(self, *zones):
        puts = tuple(store.Put(f"{PREFIX}{zone}", b"1") for zone in zones)
        await self.table.table.commit(store.Transaction(puts=puts))

    async def remove(self, *zones):
        keys = tuple(PREFIX + zone for zone in zones)
        await self.table.table.commit(store.Transaction(deletes=keys))

    async def reaches(self, *zones):
        """Waits until the zones are the ones in force."""
        return await leaders.eventually(
            lambda: self.applied and self.applied[-1] == frozenset(zones)
        )

    def run(self, body):
        async def main():
            task = await curio.spawn(self.watch.run, daemon=True)
            try:
                await body()
            finally:
                await task.cancel()

        curio.run(curio.timeout_after, 30, main)


class TestEvacuationWatch:
    def test_rows_are_read_and_followed(self):
        """Other rows of the table name no zone."""
        harness = Harness()
        others = (store.Put("op/config", b"1"), store.Put(PREFIX, b"1"))

        async def body():
            await harness.table.table.commit(store.Transaction(puts=others))
            await harness.write("a")
            assert await harness.reaches("a")
            await harness.write("b", "c")
            assert await harness.reaches("a", "b", "c")
            await harness.remove("a", "c")
            assert await harness.reaches("b")

        harness.run(body)

    @pytest.mark.parametrize("fault", ["hangs", "fails"])
    def test_rows_are_read_afresh_when_the_watch_is_silent(self, fault):
        """A watch on a connection that a firewall has forgotten."""
        harness = Harness()

        async def body():
            await harness.write("a")
            assert await harness.reaches("a")
            setattr(harness.table, fault, True)
            await harness.write("b")
            assert await harness.reaches("a", "b")
            await harness.remove("a")
            assert await harness.reaches("b")

        harness.run(body)

    def test_store_is_down_at_the_takeover_and_later(self):
        """Guards against starts in a zone because the store does not answer.

        A new leader knows no zones, and a leader keeps those that it knows. The
        history is dropped when the store is back.
        """
        harness = Harness()

        async def body():
            harness.table.down = True
            await harness.write("a")
            known = await curio.spawn(harness.watch.wait_until_known)
            await curio.sleep(0.3)
            assert not known.terminated
            assert harness.applied == []
            harness.table.down = False
            await known.join()
            assert harness.applied == [{"a"}]
            harness.table.down = True
            await curio.sleep(0.3)
            assert harness.applied == [{"a"}]
            assert harness.watch.age_s > 0.2
            await harness.write("b")
            harness.table.table.truncate_history()
            harness.table.down = False
            assert await harness.reaches("a", "b")

        harness.run(body)

    def test_dropped_history_is_read_afresh(self):
        harness = Harness()

        async def body():
            assert await harness.reaches()
            await harness.write("a")
            harness.table.table.truncate_history()
            assert await harness.reaches("a")

        harness.run(body)

    def test_silent_store_is_noticed_well_within_the_bound(self):
        """A watch and a reading without an answer; a peer relays the next."""
        watch_s = (
            evacuationwatch.MAX_WATCH_WAIT_S + evacuationwatch.WATCH_MARGIN_S
        )
        read_s = evacuationwatch.MIN_READ_TIMEOUT_S
        assert watch_s + read_s + evacuationwatch.RETRY_S <= 3.3
