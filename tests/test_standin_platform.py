import contextlib

import curio
import pytest

from pomelostair import http
from pomelostair import httpclient
from pomelostair import httpserver
from pomelostair import metrics
from pomelostair import outcome
from pomelostair import store
from pomelostair.platform import store as platform_store
from pomelostair_standins import platform as platform_standin
from pomelostair_standins import service

WAIT_S = 20.0
PUT = store.Transaction(
    checks=(store.Check("a", 0),), puts=(store.Put("a", b"\x00one"),)
)


class Harness:
    """Runs the stand-in and its clients in one process."""

    def __init__(self, timeout_s=10.0):
        self.standin = platform_standin.Platform()
        self._timeout_s = timeout_s

    async def fault(self, **faults):
        await self.standin._set_faults(service.Faults(**faults))

    def run(self, body):
        async def main():
            server = httpserver.Server(
                "127.0.0.1", 0, self.standin.answer, service.error_response
            )
            task = await curio.spawn(server.run, daemon=True)
            client = httpclient.Client(f"127.0.0.1:{server.port}", 4)
            self.client = client
            self.table = platform_store.RowsTable(
                client, client, metrics.Metrics(), self._timeout_s
            )
            self.objects = platform_store.BlobObjects(client, self._timeout_s)
            try:
                return await curio.timeout_after(WAIT_S, body)
            finally:
                await client.close()
                await task.cancel()

        return curio.run(main)


async def until(condition):
    while not await condition():
        await curio.sleep(0.01)


class TestRowsTable:
    def test_commit_read_scan(self):
        harness = Harness()

        async def body():
            committed = await harness.table.commit(PUT)
            return (
                committed,
                await harness.table.commit(PUT),
                await harness.table.read("a"),
                await harness.table.read("b"),
                await harness.table.scan("a"),
            )

        row = store.Row("a", b"\x00one", 1)
        assert harness.run(body) == (
            outcome.Committed(1),
            outcome.Conflict("a", 1),
            store.Found(row),
            store.Absent(),
            store.Page((row,), False, 1),
        )

    def test_down_applies_nothing(self):
        harness = Harness()

        async def body():
            await harness.fault(down=True)
            refused = await harness.table.commit(PUT)
            unread = await harness.table.read("a")
            await harness.fault()
            return refused, unread, await harness.table.read("a")

        refused, unread, later = harness.run(body)
        assert isinstance(refused, outcome.Unavailable)
        assert isinstance(unread, outcome.Unavailable)
        assert later == store.Absent()

    def test_lost_response_gives_unknown_and_is_applied(self):
        harness = Harness()

        async def body():
            await harness.fault(lose_answers=True)
            lost = await harness.table.commit(PUT)
            await harness.fault()
            return lost, await harness.table.read("a")

        lost, later = harness.run(body)
        assert isinstance(lost, outcome.Unknown)
        assert isinstance(later, store.Found)

    def test_late_write_gives_unknown_and_is_applied_later(self):
        harness = Harness()

        async def body():
            await harness.fault(late_write_ms=100)
            lost = await harness.table.commit(PUT)
            before = await harness.table.read("a")

            async def applied():
                return await harness.table.read("a") != store.Absent()

            await until(applied)
            return lost, before

        lost, before = harness.run(body)
        assert isinstance(lost, outcome.Unknown)
        assert before == store.Absent()

    def test_pause_gives_unknown_and_is_applied_on_resume(self):
        harness = Harness(timeout_s=0.2)

        async def body():
            await harness.fault(paused=True)
            lost = await harness.table.commit(PUT)
            await harness.fault()

            async def applied():
                return await harness.table.read("a") != store.Absent()

            await until(applied)
            return lost

        assert isinstance(harness.run(body), outcome.Unknown)

    def test_delay_beyond_timeout_gives_unknown(self):
        harness = Harness(timeout_s=0.1)

        async def body():
            await harness.fault(slow_ms=5000)
            return await harness.table.commit(PUT)

        assert isinstance(harness.run(body), outcome.Unknown)


class TestBlobObjects:
    def test_put_get_delete(self):
        harness = Harness()

        async def body():
            return (
                await harness.objects.put("a/b", b"1", create=True),
                await harness.objects.put("a/b", b"2", create=True),
                await harness.objects.get("a/b"),
                await harness.objects.delete("a/b"),
                await harness.objects.get("a/b"),
            )

        assert harness.run(body) == (
            store.Stored(),
            store.Exists(),
            store.Object(b"1"),
            store.Stored(),
            store.Absent(),
        )

    def test_lost_response_gives_unknown(self):
        harness = Harness()

        async def body():
            await harness.fault(lose_answers=True)
            lost = await harness.objects.put("a", b"1", create=True)
            return lost, await harness.objects.get("a")

        lost, later = harness.run(body)
        assert isinstance(lost, outcome.Unknown)
        assert later == store.Object(b"1")


class TestFaults:
    @pytest.mark.parametrize(
        "body", [b"{", b"[]", b'{"dwon": true}', b'{"down": 3}']
    )
    def test_invalid_faults_are_rejected(self, body):
        harness = Harness()

        async def switch():
            request = http.Request("POST", "/faults", (), body)
            with contextlib.suppress(curio.TaskTimeout):
                return await harness.client.request(request, 10.0)

        answer = harness.run(switch)
        assert answer.status == 400
        assert b"faults as JSON" in answer.body
