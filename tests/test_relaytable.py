import curio

from pomelostair import bus as bus_module
from pomelostair import circuitbreaker
from pomelostair import clock as clock_module
from pomelostair import metrics
from pomelostair import outcome
from pomelostair import pipelinelease
from pomelostair import pipelinemessages as messages
from pomelostair import relaytable
from pomelostair import store
from pomelostair import wire
from tests import faultystore

Fault = faultystore.Fault
METRICS = metrics.Metrics()
KEY = "pipelines/1/job/a"
TRANSACTION = store.Transaction((store.Check(KEY, 0),), (store.Put(KEY, b"1"),))


class Harness:
    """A process and a peer that access one store, each with own faults."""

    def __init__(self, shared_table=None, clock=None):
        self.shared_table = shared_table or store.MemoryTable()
        self.own_table = faultystore.FaultyTable(self.shared_table)
        self.peer_table = faultystore.FaultyTable(self.shared_table)
        self.network = bus_module.MemoryNetwork()
        self.clock = clock or clock_module.ManualClock(10.0)
        self.peer_addresses = ["memory:peer"]

    def run(self, body):
        async def main():
            bus = self._bus("own")
            peer = self._bus("peer")
            relay = relaytable.Relay(self._direct_table(self.peer_table))

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
                self._direct_table(self.own_table),
                bus,
                lambda: tuple(self.peer_addresses),
                self.clock,
            )
            return await curio.timeout_after(20, body, table)

        return curio.run(main)

    def _direct_table(self, table):
        return circuitbreaker.CircuitBreakerTable(table, self.clock)

    def _bus(self, name):
        return bus_module.MemoryBus(
            name, f"memory:{name}", METRICS, self.network
        )


class TestRelayTable:
    def test_reachable_store_is_used_directly(self):
        harness = Harness()
        harness.peer_addresses = []
        assert isinstance(
            harness.run(lambda table: table.commit(TRANSACTION)),
            outcome.Committed,
        )

    def test_refused_operations_are_relayed(self):
        harness = Harness()
        harness.own_table.down = True

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

    def test_commit_with_unknown_outcome_is_not_relayed(self):
        harness = Harness()
        harness.own_table.faults = [Fault.DELAYED]

        async def body(table):
            return await table.commit(TRANSACTION)

        assert isinstance(harness.run(body), outcome.Unknown)
        assert harness.peer_table.commits == 0

    def test_unavailable_if_neither_store_nor_peer_serves(self):
        harness = Harness()
        harness.own_table.down = harness.peer_table.down = True

        async def body(table):
            return await table.commit(TRANSACTION), await table.read(KEY)

        for result in harness.run(body):
            assert isinstance(result, outcome.Unavailable)

    def test_unknown_if_the_peer_does_not_answer(self):
        harness = Harness()
        harness.own_table.down = True
        harness.peer_table.frozen = True

        async def body(table):
            return await table.commit(TRANSACTION)

        assert isinstance(harness.run(body), outcome.Unknown)

    def test_silent_store_delays_no_operation_while_a_peer_serves(self):
        """Guards against waiting for a store that answers only other hosts."""
        harness = Harness()
        harness.own_table.faults = [Fault.LOST_REQUEST]

        async def body(table):
            await table.commit(TRANSACTION)
            harness.own_table.frozen = True
            async with curio.timeout_after(1):
                first = await table.commit(TRANSACTION)
                harness.clock.advance(1.0)
                return first, await table.read(KEY)

        first, read = harness.run(body)
        assert isinstance(first, outcome.Committed)
        assert read.row.value == b"1"

    def test_peer_without_the_store_answers_at_once(self):
        harness = Harness()
        harness.own_table.down = True
        harness.peer_table.faults = [Fault.LOST_REQUEST]

        async def body(table):
            first = await table.commit(TRANSACTION)
            harness.peer_table.frozen = True
            async with curio.timeout_after(1):
                return first, await table.commit(TRANSACTION)

        first, second = harness.run(body)
        assert isinstance(first, outcome.Unknown)
        assert isinstance(second, outcome.Unavailable)

    def test_refused_watch_is_relayed(self):
        harness = Harness()
        harness.own_table.down = True
        harness.own_table.watch = self.unavailable_watch
        harness.peer_table.watch = harness.shared_table.watch

        async def body(table):
            await harness.shared_table.commit(TRANSACTION)
            found = await table.watch("pipelines", 0, 5.0)
            harness.shared_table.truncate_history()
            return found, await table.watch("pipelines", 0, 5.0)

        found, gone = harness.run(body)
        assert [row.key for row in found.rows] == [KEY]
        assert gone == store.HistoryGone()

    def test_time_of_the_store_is_known_from_a_peer(self):
        """Guards against leases that end in the past.

        A process that the store has turned away since its start may lead.
        """
        harness = Harness()
        harness.own_table.down = True

        async def body(table):
            before = table.time()
            await table.read(KEY)
            return before, table.time(), harness.shared_table.time()

        before, relayed, actual = harness.run(body)
        assert before is None
        assert relayed.earliest_ms <= actual.latest_ms
        assert relayed.earliest_ms > actual.earliest_ms - 1000

    async def unavailable_watch(self, *_arguments):
        return outcome.Unavailable("down")


class TestLargeAnswers:
    """Rows of 64 KiB, which together exceed the largest message."""

    COUNT = 40

    def test_scan_is_cut_and_goes_on(self):
        harness = Harness()
        harness.own_table.down = True

        async def body(table):
            puts = tuple(
                store.Put(f"{KEY}{n:02}", b"x" * 65_000)
                for n in range(self.COUNT)
            )
            await harness.shared_table.commit(store.Transaction((), puts))
            keys, after, sizes = [], "", []
            while True:
                page = await table.scan("pipelines/1/", after)
                sizes.append(sum(len(row.value) for row in page.rows))
                keys += [row.key for row in page.rows]
                if not page.more:
                    return keys, sizes
                after = keys[-1]

        keys, sizes = harness.run(body)
        assert len(keys) == self.COUNT
        assert max(sizes) <= relaytable.MAX_RELAYED_BYTES

    def test_watch_that_does_not_fit_makes_the_watcher_scan(self):
        """Dropping some of the changes would lose them for good."""
        rows = tuple(
            store.Row(f"{KEY}{n}", b"x" * 65_000, n + 1)
            for n in range(self.COUNT)
        )

        class Table:
            async def watch(self, _table, _after, _wait_s):
                return store.Changes(rows, (), self.COUNT)

            def time(self):
                return None

        Table.COUNT = self.COUNT
        relay = relaytable.Relay(Table())
        message = messages.RelayedWatch("pipelines", 0, 60.0)
        result = curio.run(relay.answer, message)
        assert result.gone
        assert not result.rows

    def test_watch_sees_the_largest_commit_of_a_leader(self):
        """Guards against a scan by each watcher in ordinary load."""
        rows = tuple(
            store.Row(f"{KEY}{n:04}", b"x" * 440, n + 1) for n in range(1100)
        )
        large = store.Row(f"{KEY}large", b"x" * 65_000, 1101)
        changes = store.Changes((*rows, large), (KEY,), 1101)
        result = curio.run(self.watch, changes)
        assert not result.gone
        assert len(result.rows) == 1101
        assert len(wire.encode_sparse(result)) < (
            bus_module.MAX_PIPELINE_MESSAGE_BYTES
        )

    def test_watch_with_too_many_deleted_keys_makes_the_watcher_scan(self):
        """Guards against an answer that is too large to be sent."""
        deleted = tuple(f"{KEY}{n:064}" for n in range(30_000))
        result = curio.run(self.watch, store.Changes((), deleted, 1))
        assert result.gone
        assert not result.deleted

    async def watch(self, changes):
        class Table:
            async def watch(self, _table, _after, _wait_s):
                return changes

            def time(self):
                return None

        relay = relaytable.Relay(Table())
        return await relay.answer(messages.RelayedWatch("pipelines", 0, 1.0))

    def test_too_many_at_once_are_refused(self):
        gate = curio.Event()

        class SlowTable:
            async def read(self, _key):
                await gate.wait()
                return store.Absent()

            def time(self):
                return None

        async def body():
            relay = relaytable.Relay(SlowTable())
            tasks = [
                await curio.spawn(relay.answer, messages.RelayedRead(KEY))
                for _ in range(relaytable.MAX_RELAYED_AT_ONCE)
            ]
            await curio.sleep(0)
            refused = await relay.answer(messages.RelayedRead(KEY))
            await gate.set()
            return refused, [await task.join() for task in tasks]

        refused, answers = curio.run(body)
        assert refused.unavailable
        assert not any(answer.unavailable for answer in answers)

    def test_operations_of_callers_leave_room_for_the_leader(self):
        """Guards against a lease that lapses under a flood of callers."""
        gate = curio.Event()
        lease = store.Transaction(
            (store.Check(pipelinelease.KEY, 0),),
            (store.Put(pipelinelease.KEY, b"1"),),
        )

        class SlowTable:
            async def read(self, _key):
                await gate.wait()
                return store.Absent()

            async def commit(self, transaction):
                if transaction is not lease:
                    await gate.wait()
                return outcome.Committed(1)

            async def watch(self, _table, _after, _wait_s):
                return store.Changes((), (), 1)

            def time(self):
                return None

        async def body():
            relay = relaytable.Relay(SlowTable())
            of_callers = (
                messages.RelayedRead(KEY),
                messages.RelayedCommit(TRANSACTION),
            )
            for number in range(relaytable.MAX_RELAYED_AT_ONCE + 8):
                message = of_callers[number % 2]
                await curio.spawn(relay.answer, message, daemon=True)
            await curio.sleep(0)
            return (
                await relay.answer(of_callers[0]),
                await relay.answer(of_callers[1]),
                await relay.answer(messages.RelayedCommit(lease)),
                await relay.answer(messages.RelayedWatch("pipelines", 0, 0.1)),
            )

        read, commit, of_leader, watch = curio.run(body)
        assert read.unavailable
        assert commit.unavailable
        assert of_leader.committed
        assert not watch.unavailable

    def test_watches_leave_room_for_the_lease(self):
        """Guards against a lease that lapses under watches of many peers."""
        lease = store.Transaction((), (store.Put(pipelinelease.KEY, b"1"),))
        gate = curio.Event()

        class SlowTable:
            async def commit(self, _transaction):
                return outcome.Committed(1)

            async def watch(self, _table, _after, _wait_s):
                await gate.wait()

            def time(self):
                return None

        async def body():
            relay = relaytable.Relay(SlowTable())
            watch = messages.RelayedWatch("pipelines", 0, 0.1)
            for _ in range(relaytable.MAX_RELAYED_WATCHES + 1):
                await curio.spawn(relay.answer, watch, daemon=True)
            await curio.sleep(0)
            return (
                await relay.answer(watch),
                await relay.answer(messages.RelayedCommit(lease)),
            )

        watch, of_leader = curio.run(body)
        assert watch.unavailable
        assert of_leader.committed
