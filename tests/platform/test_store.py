import json

import curio
import pytest

from pomelostair import circuitbreaker
from pomelostair import clock
from pomelostair import compose
from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient
from pomelostair import httpserver
from pomelostair import metrics
from pomelostair import outcome
from pomelostair import pipelineleader
from pomelostair import pipelinelease
from pomelostair import pipelinemessages as messages
from pomelostair import relaytable
from pomelostair import store
from pomelostair.platform import store as platform_store
from pomelostair_standins import platform as platform_standin
from pomelostair_standins import service

METRICS = metrics.Metrics()
KEY = "progress/cell/a"
CREATE_ROW = store.Transaction(
    (store.Check(KEY, 0),), (store.Put(KEY, b"\x00one"),)
)


class StoreHarness:
    """Runs the store stand-in and the adapter's clients in one process."""

    def __init__(self, timeout_s=2.0):
        self.standin = platform_standin.Platform()
        self.timeout_s = timeout_s
        self.watch_connections = 8

    async def set_faults(self, **faults):
        await self.standin._set_faults(service.Faults(**faults))

    def run(self, body):
        async def main():
            server = httpserver.Server(
                "127.0.0.1", 0, self.standin.answer, service.error_response
            )
            task = await curio.spawn(server.run, daemon=True)
            address = f"127.0.0.1:{server.port}"
            client = self.client = httpclient.Client(address, 8)
            self.watch_client = httpclient.Client(
                address, self.watch_connections
            )
            self.table = platform_store.RowsTable(
                client, self.watch_client, METRICS, self.timeout_s
            )
            self.objects = platform_store.BlobObjects(client, self.timeout_s)
            try:
                return await curio.timeout_after(20, body)
            finally:
                await client.close()
                await self.watch_client.close()
                await task.cancel()

        return curio.run(main)


class TestKeys:
    def test_keys_are_split_and_joined_again(self):
        assert platform_store.split_key("a/b/c/d") == ("a", "b", "c/d")
        assert platform_store.split_key("op/config") == ("op", "", "config")
        evacuation = ("op", "", "evacuate/patan")
        assert platform_store.split_key("op//evacuate/patan") == evacuation
        keys = ("a/b/c/d", "op/config", "configuration", "op//evacuate/patan")
        for key in keys:
            table, part, name = platform_store.split_key(key)
            row = platform_store.RowBody(table, part, name)
            assert platform_store.join_key(row) == key


class TestWatchConnections:
    def test_relayed_watches_leave_room_for_the_own_one(self):
        """Guards an entry that is one of the few that the store serves.

        Watches waited for a connection longer than for their answer, and the
        entry took the store for lost.
        """
        harness = StoreHarness()
        harness.watch_connections = compose.PLATFORM_WATCH_CONNECTIONS

        async def body():
            table = circuitbreaker.CircuitBreakerTable(
                harness.table, clock.MonotonicClock()
            )
            relay = relaytable.Relay(table)
            message = messages.RelayedWatch(
                "op", 1, relaytable.MAX_RELAYED_WATCH_S
            )
            async with curio.TaskGroup() as group:
                for _ in range(relaytable.MAX_RELAYED_WATCHES):
                    await group.spawn(relay.answer, message)
                own = await group.spawn(table.watch, "op", 1, 0.5)
            results = [t.result for t in group.tasks if t is not own]
            return own.result, results, table.is_open

        own, results, is_open = harness.run(body)
        assert isinstance(own, store.Changes)
        assert not any(result.unavailable for result in results)
        assert not is_open


class TestAdaptiveTimeout:
    def make_timeout(self, *answers_s):
        timeout = platform_store.AdaptiveTimeout(2.0)
        for took_s in answers_s:
            timeout.record_answer(took_s)
        return timeout

    def test_silent_store_is_noticed_before_the_lease_ends(self):
        """Else each lost answer of the store would cost the lease."""
        renewal_s = (
            pipelineleader.RENEW_INTERVAL_S + pipelineleader.COMMIT_WINDOW_S
        )
        timeout_s = self.make_timeout(0.008).seconds
        assert renewal_s + timeout_s < 0.8 * pipelinelease.LEASE_S

    def test_slow_store_has_more_time(self):
        slow = self.make_timeout(0.008, 0.4)
        assert slow.seconds == pytest.approx(1.6)
        for _ in range(20):
            slow.record_answer(0.008)
        assert slow.seconds == platform_store.MIN_TIMEOUT_S

    def test_timeout_doubles_up_to_the_limit(self):
        timeout = self.make_timeout()
        expected_s = platform_store.MIN_TIMEOUT_S
        for _ in range(3):
            assert timeout.seconds == pytest.approx(min(expected_s, 2.0))
            timeout.record_timeout()
            expected_s *= 2


class RecordingClient:
    """A client that records timeouts and gets no answer."""

    def __init__(self):
        self.timeouts_s = []

    async def request(self, request, timeout_s):
        self.timeouts_s.append(timeout_s)
        raise errors.NotSentError("refused")


class TestRowsTable:
    def test_slow_store_has_more_time_for_a_watch(self):
        """Guards against a watch that is lost each time on a slow store."""
        client = RecordingClient()
        table = platform_store.RowsTable(client, client, METRICS, 2.0)
        curio.run(table.watch, "op", 1, 0.8)
        table._commit_timeout.record_answer(0.45)
        curio.run(table.watch, "op", 1, 0.8)
        table._commit_timeout.record_answer(1.6)
        curio.run(table.watch, "op", 1, 0.8)
        assert client.timeouts_s == pytest.approx([1.8, 2.6, 2.8])

    def test_idle_connections_are_closed_on_request(self):
        """Guards against operations on connections that have gone silent."""
        harness = StoreHarness()

        async def body():
            await harness.table.read(KEY)
            await harness.table.watch("op", 0, 0.01)
            idle = (harness.client._idle, harness.watch_client._idle)
            counts = [len(connections) for connections in idle]
            await harness.table.reconnect()
            return counts, [len(connections) for connections in idle]

        assert harness.run(body) == ([1, 1], [0, 0])

    def test_conflict_names_the_check_that_failed(self):
        """Guards against taking another row's state for the cause."""
        harness = StoreHarness()
        other = "progress/cell/b"

        async def refused(*checks):
            return await harness.table.commit(store.Transaction(checks))

        async def body():
            version = (await harness.table.commit(CREATE_ROW)).version
            held = store.Check(KEY, version)
            put = store.Put(other, b"two")
            second = await harness.table.commit(store.Transaction(puts=(put,)))
            return (
                second.version,
                await refused(held, store.Check(other, 0)),
                await refused(held, store.Check("progress/cell/c", 7)),
            )

        version, changed, deleted = harness.run(body)
        assert changed == outcome.Conflict(other, version)
        assert deleted == outcome.Conflict("progress/cell/c", 0)

    def test_page_may_take_longer_than_a_row(self):
        """Guards a recovery over a slow link, which reads many rows at once."""
        harness = StoreHarness()

        async def body():
            slow_ms = 1000 * (platform_store.MIN_TIMEOUT_S + 0.3)
            await harness.set_faults(slow_ms=slow_ms)
            return (
                await harness.table.scan("progress/cell/"),
                await harness.table.read(KEY),
            )

        page, row = harness.run(body)
        assert isinstance(page, store.Page)
        assert isinstance(row, outcome.Unavailable)

    def test_committed_row_is_read_and_scanned(self):
        harness = StoreHarness()

        async def body():
            first = await harness.table.commit(CREATE_ROW)
            repeated = await harness.table.commit(CREATE_ROW)
            return (
                first,
                repeated,
                await harness.table.read(KEY),
                await harness.table.read("progress/cell/b"),
                await harness.table.scan("progress/cell/"),
            )

        first, repeated, read, absent, page = harness.run(body)
        row = store.Row(KEY, b"\x00one", first.version)
        assert repeated == outcome.Conflict(KEY, first.version)
        assert read == store.Found(row)
        assert absent == store.Absent()
        assert page.rows == (row,)
        assert page.version == first.version

    @pytest.mark.parametrize("value", ["?", "YQ", "\u00e9"])
    def test_value_that_is_not_base64_is_malformed_but_present(self, value):
        """Without its progress, tasks that are done would run again."""

        class Client:
            async def request(self, _request, _timeout_s):
                rows = [
                    {
                        "table": "progress",
                        "part": "cell",
                        "key": "a",
                        "value": value,
                        "schemaVer": 3,
                    }
                ]
                body = json.dumps({"rows": rows, "schemaVer": 5}).encode()
                return http.Response(200, (), body)

        table = platform_store.RowsTable(Client(), Client(), METRICS, 1.0)
        row = store.Row(KEY, b"", 3)

        async def body():
            assert await table.read(KEY) == store.Found(row)
            assert (await table.scan("progress/cell/")).rows == (row,)
            assert (await table.watch("progress", 1, 0.0)).rows == (row,)

        curio.run(body)

    def test_scan_continues_after_a_key(self):
        harness = StoreHarness()

        async def body():
            puts = tuple(store.Put(f"t/p/job/{n:02d}", b"") for n in range(5))
            await harness.table.commit(store.Transaction(puts=puts))
            first = await harness.table.scan("t/p/", "", 2)
            rest = await harness.table.scan("t/p/", first.rows[-1].key)
            return first, rest

        first, rest = harness.run(body)
        assert first.more
        keys = [row.key for row in (*first.rows, *rest.rows)]
        assert keys == [f"t/p/job/{n:02d}" for n in range(5)]

    def test_rows_with_a_slash_in_the_empty_partition(self):
        """The operator's evacuations; guards against reading another part."""
        harness = StoreHarness()
        prefix = "op//evacuate/"
        names = [f"{prefix}{zone}" for zone in ("a", "b", "c")]
        other = store.Put("op/config", b"1")
        puts = (other, *(store.Put(name, b"1") for name in names))
        deletes = (names[1],)

        async def body():
            operator = harness.standin.table
            await operator.commit(store.Transaction(puts=puts))
            first = await harness.table.scan(prefix, "", 2)
            rest = await harness.table.scan(prefix, first.rows[-1].key)
            await operator.commit(store.Transaction(deletes=deletes))
            changes = await harness.table.watch("op", first.version, 1.0)
            return first, rest, changes

        first, rest, changes = harness.run(body)
        assert first.more
        assert [row.key for row in (*first.rows, *rest.rows)] == names
        assert changes.deleted == deletes

    def test_watch_reports_writes_and_deletions(self):
        harness = StoreHarness()

        async def body():
            before = await harness.table.scan("progress/cell/")
            await harness.table.commit(CREATE_ROW)
            written = await harness.table.watch("progress", before.version, 1.0)
            await harness.table.commit(store.Transaction(deletes=(KEY,)))
            removed = await harness.table.watch(
                "progress", written.version, 1.0
            )
            harness.standin.table.truncate_history()
            gone = await harness.table.watch("progress", 0, 0.1)
            return written, removed, gone

        written, removed, gone = harness.run(body)
        assert [row.key for row in written.rows] == [KEY]
        assert removed.deleted == (KEY,)
        assert gone == store.HistoryGone()

    def test_watch_without_changes_returns_after_wait(self):
        harness = StoreHarness()

        async def body():
            return await harness.table.watch("progress", 0, 0.05)

        assert harness.run(body).rows == ()

    def test_refused_commit_is_unavailable_and_lost_answer_unknown(self):
        harness = StoreHarness()

        async def body():
            await harness.set_faults(down=True)
            down = await harness.table.commit(CREATE_ROW)
            unread = await harness.table.read(KEY)
            await harness.set_faults(lose_answers=True)
            lost = await harness.table.commit(CREATE_ROW)
            await harness.set_faults()
            return down, unread, lost, await harness.table.read(KEY)

        down, unread, lost, read = harness.run(body)
        assert isinstance(down, outcome.Unavailable)
        assert isinstance(unread, outcome.Unavailable)
        assert isinstance(lost, outcome.Unknown)
        assert isinstance(read, store.Found)

    def test_commit_to_operator_table_is_rejected(self):
        harness = StoreHarness()

        async def body():
            put = store.Put("op/config", b"{}")
            return await harness.table.commit(store.Transaction(puts=(put,)))

        assert not isinstance(harness.run(body), outcome.Committed)

    def test_time_bounds_advance(self):
        harness = StoreHarness()

        async def body():
            assert harness.table.time() is None
            await harness.table.scan("t/p/")
            first = harness.table.time()
            await curio.sleep(0.05)
            return first, harness.table.time()

        first, later = harness.run(body)
        assert first.earliest_ms <= first.latest_ms
        assert later.earliest_ms > first.earliest_ms
