import curio

from pomelostair import bus as bus_module
from pomelostair import clock as clock_module
from pomelostair import metrics
from pomelostair import outcome
from pomelostair import pipelinemessages as messages
from pomelostair import relaytable
from pomelostair import store
from tests import faulty

F = faulty.Fault
METRICS = metrics.Metrics()
KEY = "pipelines/1/job/a"
TRANSACTION = store.Transaction((store.Check(KEY, 0),), (store.Put(KEY, b"1"),))


class Harness:
    """A process that the store turns away, and a peer that it serves."""

    def __init__(self):
        self.shared = store.MemoryTable()
        self.own = faulty.FaultyTable(self.shared)
        self.peers_table = faulty.FaultyTable(self.shared)
        self.network = bus_module.MemoryNetwork()
        self.clock = clock_module.ManualClock(10.0)
        self.known = ["memory:peer"]

    def run(self, body):
        async def main():
            bus = self._bus("own")
            peer = self._bus("peer")
            relay = relaytable.Relay(self.peers_table)

            async def answer(message, envelope):
                await peer.reply(envelope, await relay.answer(message))

            for kind in (
                messages.RelayedRead,
                messages.RelayedScan,
                messages.RelayedCommit,
                messages.RelayedWatch,
            ):
                peer.handle(kind, answer)
            for one in (bus, peer):
                await curio.spawn(one.run, daemon=True)
            table = relaytable.RelayTable(
                self.own, bus, self.clock, lambda: tuple(self.known)
            )
            return await curio.timeout_after(20, body, table)

        return curio.run(main)

    def _bus(self, name):
        return bus_module.MemoryBus(
            name, f"memory:{name}", METRICS, self.network
        )


class TestRelayTable:
    def test_store_that_serves_is_asked_itself(self):
        harness = Harness()
        harness.known = []
        assert isinstance(
            harness.run(lambda table: table.commit(TRANSACTION)),
            outcome.Committed,
        )

    def test_peer_carries_what_the_store_turns_away(self):
        harness = Harness()
        harness.own.down = True

        async def body(table):
            first = await table.commit(TRANSACTION)
            second = await table.commit(TRANSACTION)
            return (
                first,
                second,
                await table.read(KEY),
                await table.scan("pipelines/1/"),
            )

        first, second, read, page = harness.run(body)
        assert isinstance(first, outcome.Committed)
        assert second == outcome.Conflict(KEY, first.version)
        assert read.row.value == b"1"
        assert [row.key for row in page.rows] == [KEY]

    def test_write_of_unknown_outcome_is_not_relayed(self):
        harness = Harness()
        harness.own.faults = [F.DELAYED]

        async def body(table):
            return await table.commit(TRANSACTION)

        assert isinstance(harness.run(body), outcome.Unknown)
        assert harness.peers_table.commits == 0

    def test_nobody_reached_is_certainly_not_applied(self):
        harness = Harness()
        harness.own.down = harness.peers_table.down = True

        async def body(table):
            return await table.commit(TRANSACTION), await table.read(KEY)

        for result in harness.run(body):
            assert isinstance(result, outcome.Unavailable)

    def test_peer_without_an_answer_is_unknown(self):
        harness = Harness()
        harness.own.down = True
        harness.peers_table.frozen = True

        async def body(table):
            return await table.commit(TRANSACTION)

        assert isinstance(harness.run(body), outcome.Unknown)

    def test_store_is_tried_again_after_a_while(self):
        harness = Harness()
        harness.own.down = True

        async def body(table):
            await table.read(KEY)
            assert table.is_reachable
            await table.read(KEY)
            assert not table.is_reachable
            harness.own.down = False
            await table.read(KEY)
            assert not table.is_reachable
            harness.clock.advance(relaytable.PROBE_INTERVAL_S + 0.1)
            await table.read(KEY)
            return table.is_reachable

        assert harness.run(body)

    def test_peer_watches_for_a_leader_that_is_turned_away(self):
        harness = Harness()
        harness.own.down = True
        harness.own.watch = self.unavailable
        harness.peers_table.watch = harness.shared.watch

        async def body(table):
            await harness.shared.commit(TRANSACTION)
            found = await table.watch("pipelines", 0, 5.0)
            harness.shared.truncate_history()
            return found, await table.watch("pipelines", 0, 5.0)

        found, gone = harness.run(body)
        assert [row.key for row in found.rows] == [KEY]
        assert gone == store.HistoryGone()

    async def unavailable(self, *_arguments):
        return outcome.Unavailable("down")
