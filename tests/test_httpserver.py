import contextlib
import socket

import curio
from hypothesis import given
from hypothesis import strategies
import pytest

from pomelostair import errors
from pomelostair import http
from pomelostair import httpserver
from pomelostair import memorybudget
from pomelostair import responses

REQUEST = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n"
WAIT_S = 20.0


async def handle_request(request):
    if request.target == "/crash":
        raise ValueError("crash")
    if request.target == "/slow":
        await curio.sleep(0.3)
    if request.target == "/large":
        return http.Response(200, (), b"x" * 100_000)
    if request.target == "/lost":
        return http.NoResponse()
    return http.Response(200, (), request.method.encode() + request.body)


async def receive_all(client):
    parts = []
    with contextlib.suppress(ConnectionError):
        while data := await client.recv(65536):
            parts.append(data)
    return b"".join(parts)


class ServerHarness:
    def __init__(self, budget=None, **limits):
        self.budget = budget
        self.server = httpserver.Server(
            "127.0.0.1",
            0,
            handle_request,
            responses.error_response,
            http.Limits(**limits),
            budget,
        )

    async def connect(self):
        return await curio.open_connection("127.0.0.1", self.server.port)

    async def exchange(self, *parts):
        async with await self.connect() as client:
            with contextlib.suppress(ConnectionError):
                for part in parts:
                    await client.sendall(part)
            return await receive_all(client)

    def run(self, body):
        async def main():
            task = await curio.spawn(self.server.run, daemon=True)
            try:
                return await curio.timeout_after(WAIT_S, body)
            finally:
                await task.cancel()

        return curio.run(main)


def exchange_once(*parts, **limits):
    harness = ServerHarness(**limits)
    return harness.run(lambda: harness.exchange(*parts))


def status_of(answer):
    return int(answer.split(b" ", 2)[1])


class TestServer:
    def test_pipelined_requests_are_answered_in_order(self):
        last = b"GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
        post = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi"
        answer = exchange_once(post + last)
        assert answer.count(b"HTTP/1.1 200") == 2
        assert answer.index(b"POSThi") < answer.index(b"GET")

    def test_response_to_head_has_no_body(self):
        answer = exchange_once(
            b"HEAD /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
        )
        assert status_of(answer) == 200
        assert answer.endswith(b"\r\n\r\n")

    def test_expect_100_continue_is_answered(self):
        head = (
            b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n"
            b"connection: close\r\nexpect: 100-continue\r\n\r\n"
        )
        answer = exchange_once(head, b"hi")
        assert answer.startswith(b"HTTP/1.1 100")
        assert answer.endswith(b"POSThi")

    def test_handler_exception_is_reported_as_unknown(self):
        answer = exchange_once(
            b"GET /crash HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
        )
        assert status_of(answer) == 500
        assert b'"unknown"' in answer

    def test_no_response_closes_the_connection(self):
        assert exchange_once(b"GET /lost HTTP/1.1\r\nhost: a\r\n\r\n") == b""


class TestRefusal:
    @pytest.mark.parametrize(
        ("data", "expected", "remedy"),
        [
            (b"nonsense\r\n\r\n", 400, b"well-formed"),
            (b"GET / HTTP/1.1\r\n\r\n", 400, b"well-formed"),
            (REQUEST[:-2] + b"x: " + b"y" * 40_000, 431, b"headers under"),
            (
                b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\n\r\n",
                413,
                b"body under 10",
            ),
            (
                b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked"
                b"\r\n\r\nb\r\n12345678901\r\n",
                413,
                b"body under 10",
            ),
            (
                b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked"
                b"\r\n\r\nzz\r\n",
                400,
                b"well-formed",
            ),
        ],
    )
    def test_rejection_names_the_remedy(self, data, expected, remedy):
        answer = exchange_once(data, max_body_bytes=10, linger_timeout_s=0.2)
        assert status_of(answer) == expected
        assert remedy in answer
        assert b"pomelostair-ran: no" in answer.lower()

    @pytest.mark.parametrize(
        "data",
        [
            b"GET /x HTT",
            b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhal",
        ],
    )
    def test_slow_request_times_out_with_408(self, data):
        answer = exchange_once(
            data,
            headers_timeout_s=0.1,
            body_timeout_s=0.1,
            linger_timeout_s=0.1,
        )
        assert status_of(answer) == 408
        assert b"within 0.1 s" in answer

    def test_idle_connection_is_closed(self):
        assert exchange_once(idle_timeout_s=0.1) == b""

    def test_rejection_arrives_while_caller_is_sending(self):
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9000000\r\n\r\n"
        answer = exchange_once(
            head, *([b"z" * 90_000] * 100), max_body_bytes=10
        )
        assert status_of(answer) == 413

    def test_connection_above_limit_is_rejected(self):
        harness = ServerHarness(max_connections=1)

        async def body():
            async with await harness.connect() as first:
                await first.sendall(REQUEST)
                assert status_of(await first.recv(65536)) == 200
                return await harness.exchange(REQUEST)

        answer = harness.run(body)
        assert status_of(answer) == 503
        assert b'"no"' in answer
        assert b"too many open connections" in answer

    def test_aborted_request_frees_its_connection(self):
        harness = ServerHarness()

        async def body():
            head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n"
            async with await harness.connect() as client:
                await client.sendall(head + b"ha")
                await curio.sleep(0.05)
            while harness.server.open_connections:
                await curio.sleep(0.01)
            return await harness.exchange(
                b"GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
            )

        assert status_of(harness.run(body)) == 200

    def test_connection_of_caller_that_never_reads_is_closed(self):
        harness = ServerHarness(write_timeout_s=0.2, linger_timeout_s=0.1)
        post = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9000000\r\n\r\n"

        async def body():
            async with await harness.connect() as client:
                await client.sendall(post + b"z" * 9_000_000)
                while harness.server.open_connections:
                    await curio.sleep(0.01)

        harness.run(body)


class TestMemory:
    """Callers that hold as much as the budget of their server allows."""

    BODY = 10_000
    HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10000\r\n\r\n"
    CHUNKED = (
        b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
    )

    def harness(self, requests, **limits):
        """Returns a server with memory for some requests with a body."""
        fields = {
            "max_headers_bytes": 1000,
            "receive_bytes": 1000,
            "max_body_bytes": self.BODY,
            "linger_timeout_s": 0.1,
            **limits,
        }
        request_bytes = httpserver.CONNECTION_BYTES + 2000
        budget = memorybudget.MemoryBudget(
            requests * (request_bytes + self.BODY * httpserver.BODY_FACTOR)
            + request_bytes
        )
        return ServerHarness(budget, **fields)

    @pytest.mark.parametrize(
        "start", [HEAD + b"x", CHUNKED + b"1388\r\n" + b"x" * 5000]
    )
    def test_body_is_rejected_before_it_is_read(self, start):
        harness = self.harness(1)

        async def body():
            async with await harness.connect() as holder:
                await holder.sendall(start)
                while harness.budget.reserved_bytes < 20_000:
                    await curio.sleep(0.01)
                rejected = await harness.exchange(self.HEAD)
                await holder.sendall(b"")
            while harness.server.open_connections:
                await curio.sleep(0.01)
            assert harness.budget.reserved_bytes == 0
            head = self.HEAD.replace(
                b"host: a", b"host: a\r\nconnection: close"
            )
            return rejected, await harness.exchange(head + b"y" * self.BODY)

        rejected, served = harness.run(body)
        assert status_of(rejected) == 503
        assert b"retry-after: 1" in rejected.lower()
        assert b"connection: close" in rejected.lower()
        assert b"pomelostair-ran: no" in rejected.lower()
        assert served.endswith(b"y" * self.BODY)

    def test_body_that_is_being_read_continues(self):
        harness = self.harness(1)

        async def body():
            async with await harness.connect() as holder:
                await holder.sendall(self.HEAD + b"x")
                while harness.budget.reserved_bytes < 20_000:
                    await curio.sleep(0.01)
                await harness.exchange(self.HEAD)
                await holder.sendall(b"x" * (self.BODY - 1))
                return await holder.recv(65536)

        assert status_of(harness.run(body)) == 200

    @pytest.mark.parametrize(
        ("no_effect", "expected"), [(True, 503), (False, 200)]
    )
    def test_large_response_is_replaced_only_if_nothing_has_run(
        self, no_effect, expected
    ):
        """A 503 promises that the request has not run."""
        harness = self.harness(0, gets_have_no_effect=no_effect)
        answer = harness.run(
            lambda: harness.exchange(
                b"GET /large HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
            )
        )
        assert status_of(answer) == expected

    def test_many_tiny_headers_are_rejected(self):
        answer = exchange_once(
            b"GET / HTTP/1.1\r\nhost: a\r\n" + b"a:\r\n" * 300 + b"\r\n",
            linger_timeout_s=0.1,
        )
        assert status_of(answer) == 431

    @pytest.mark.parametrize("size", [1, 5, 10])
    def test_body_of_tiny_chunks_is_accepted(self, size):
        """Guards against rejecting encoders that stream a valid body."""
        harness = self.harness(1)
        head = self.CHUNKED.replace(b"host: a", b"host: a\r\nconnection: close")
        count = self.BODY // size
        chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
        answer = harness.run(
            lambda: harness.exchange(head + chunk * count + b"0\r\n\r\n")
        )
        assert answer.endswith(b"POST" + b"x" * self.BODY)

    def test_chunks_over_the_number_of_a_large_body_are_rejected(
        self, monkeypatch
    ):
        """Guards against minutes of parsing for one body of 16 MiB."""
        monkeypatch.setattr(httpserver, "MAX_SMALL_CHUNKS", 100)
        harness = self.harness(1)
        chunks = b"1\r\nx\r\n" * 200 + b"0\r\n\r\n"
        answer = harness.run(lambda: harness.exchange(self.CHUNKED + chunks))
        assert status_of(answer) == 400
        assert b"send chunks" in answer

    def test_others_are_served_while_tiny_chunks_are_parsed(self):
        """Several such bodies kept all others waiting for seconds."""
        handled = []

        async def handle(request):
            handled.append(request.method)
            return http.Response(200, (), b"")

        harness = ServerHarness(max_body_bytes=10_000)
        harness.server._handler = handle
        body_data = self.CHUNKED + b"1\r\nx\r\n" * 9000 + b"0\r\n\r\n"

        async def body():
            async with await harness.connect() as other:
                slow = [await harness.connect() for _ in range(4)]
                while harness.server.open_connections < 5:
                    await curio.sleep(0.01)
                # All arrive before the server's tasks run again.
                for client in slow:
                    assert client._socket.send(body_data) == len(body_data)
                other._socket.send(REQUEST)
                assert status_of(await other.recv(65536)) == 200
                for client in slow:
                    assert status_of(await client.recv(65536)) == 200
                    await client.close()

        harness.run(body)
        assert handled == ["GET"] + ["POST"] * 4

    def test_one_body_of_tiny_chunks_is_parsed_in_a_turn(self):
        """Guards against turns that grow with the number of such bodies."""
        harness = ServerHarness(max_body_bytes=10_000)
        chunks = httpserver.CHUNKS_PER_TURN * 20
        data = self.CHUNKED + b"1\r\nx\r\n" * chunks
        parsed = []

        def count():
            return sum(c._chunks for c in harness.server._connections)

        async def body():
            clients = [await harness.connect() for _ in range(8)]
            while harness.server.open_connections < 8:
                await curio.sleep(0.01)
            for client in clients:
                client._socket.send(data)
            while not parsed or parsed[-1] < 8 * chunks:
                parsed.append(count())
                await curio.sleep(0)
            for client in clients:
                await client.close()

        harness.run(body)
        steps = [b - a for a, b in zip(parsed, parsed[1:], strict=False)]
        # The first part of each body is parsed at once.
        most = httpserver.CHUNKS_PER_TURN
        assert sorted(steps)[-2] <= 2 * most
        assert max(steps) <= 9 * most

    @pytest.mark.parametrize(
        ("start", "received"),
        [
            (b"", b""),
            (b"GET / HT", b""),
            (HEAD.replace(b"10000", b"20000"), b"HTTP/1.1 413"),
        ],
    )
    def test_waiting_connection_makes_room(self, start, received, monkeypatch):
        """Callers that send nothing more must not keep all others out."""
        monkeypatch.setattr(httpserver, "EVICTABLE_S", 0.0)
        harness = self.harness(9, max_connections=1, linger_timeout_s=9.0)

        async def body():
            async with await harness.connect() as holder:
                await holder.sendall(start)
                while not harness.server.open_connections:
                    await curio.sleep(0.01)
                answer = await harness.exchange(
                    b"GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
                )
                while harness.server.open_connections:
                    await curio.sleep(0.01)
                return answer, await receive_all(holder)

        answer, of_holder = harness.run(body)
        assert status_of(answer) == 200
        assert of_holder[:12] == received
        assert harness.budget.reserved_bytes == 0

    def test_request_that_has_arrived_is_not_evicted(self, monkeypatch):
        """Its handler started and was cancelled, so its outcome was unknown."""
        monkeypatch.setattr(httpserver, "EVICTABLE_S", 0.0)
        harness = self.harness(9, max_connections=1)

        async def body():
            async with await harness.connect() as holder:
                await holder.sendall(REQUEST)
                assert status_of(await holder.recv(65536)) == 200
                # Both arrive before the server's tasks run again.
                address = "127.0.0.1", harness.server.port
                with socket.create_connection(address):
                    holder._socket.send(
                        b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n"
                    )
                    return await holder.recv(65536)

        assert status_of(harness.run(body)) == 200

    def test_data_of_an_evicted_connection_is_not_parsed(self, monkeypatch):
        """Guards against a request that runs after its connection was closed.

        The data arrive after the check, and the cancellation is delivered only
        when the task waits next.
        """
        handled = []

        async def handle(request):
            handled.append(request)
            return http.Response(200, (), b"")

        monkeypatch.setattr(httpserver, "EVICTABLE_S", 0.0)
        harness = self.harness(9)
        harness.server._handler = handle

        async def body():
            async with await harness.connect() as holder:
                while not harness.server.open_connections:
                    await curio.sleep(0.01)
                [connection] = harness.server._connections
                connection.mark_evicted()
                await holder.sendall(REQUEST)
                return await receive_all(holder)

        assert harness.run(body) == b""
        assert not handled

    def test_malformed_request_waits_from_its_rejection(self):
        """Guards against an eviction that discards the rejection at once."""
        harness = self.harness(9, linger_timeout_s=9.0)

        async def body():
            async with await harness.connect() as holder:
                while not harness.server.open_connections:
                    await curio.sleep(0.01)
                [connection] = harness.server._connections
                connection._waiting_since_s = 1.0
                await holder.sendall(b"nonsense\r\n\r\n")
                assert status_of(await holder.recv(65536)) == 400
                return connection.waiting_since_s

        assert harness.run(body) > 1.0

    def test_rejected_connection_is_evicted_last(self, monkeypatch):
        """Closing it may discard the response that it was sent."""
        monkeypatch.setattr(httpserver, "EVICTABLE_S", 0.0)
        harness = self.harness(9, max_connections=2, linger_timeout_s=9.0)

        async def body():
            rejected = await harness.connect()
            await rejected.sendall(self.HEAD.replace(b"10000", b"20000"))
            assert status_of(await rejected.recv(65536)) == 413
            idle = await harness.connect()
            while harness.server.open_connections < 2:
                await curio.sleep(0.01)
            await harness.exchange(
                b"GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
            )
            assert await receive_all(idle) == b""
            [connection] = harness.server._connections
            await rejected.close()
            await idle.close()
            return connection.lingering

        assert harness.run(body)

    def test_waiting_connections_make_room_for_a_body(self, monkeypatch):
        monkeypatch.setattr(httpserver, "EVICTABLE_S", 0.0)
        harness = self.harness(1)

        async def body():
            idle = [await harness.connect() for _ in range(3)]
            while harness.server.open_connections < 3:
                await curio.sleep(0.01)
            head = self.HEAD.replace(
                b"host: a", b"host: a\r\nconnection: close"
            )
            answer = await harness.exchange(head + b"y" * self.BODY)
            for client in idle:
                await client.close()
            return answer

        assert status_of(harness.run(body)) == 200

    @pytest.mark.parametrize(
        ("start", "rest"),
        [
            (b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n", b""),
            (HEAD + b"x", b"x" * (BODY - 1)),
        ],
    )
    def test_request_in_work_is_not_evicted(self, start, rest, monkeypatch):
        monkeypatch.setattr(httpserver, "EVICTABLE_S", 0.0)
        harness = self.harness(9, max_connections=1)

        async def body():
            async with await harness.connect() as holder:
                await holder.sendall(start)
                await curio.sleep(0.1)
                rejected = await harness.exchange(REQUEST)
                await holder.sendall(rest)
                return rejected, await holder.recv(65536)

        rejected, answer = harness.run(body)
        assert status_of(rejected) == 503
        assert status_of(answer) == 200


class TestDrain:
    def test_open_request_is_answered(self):
        harness = ServerHarness()

        async def body():
            async with await harness.connect() as client:
                await client.sendall(b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n")
                await curio.sleep(0.1)
                drained = await harness.server.drain(10.0)
                return drained, await receive_all(client)

        drained, answer = harness.run(body)
        assert drained
        assert status_of(answer) == 200
        assert b"connection: close" in answer.lower()

    def test_connection_in_the_backlog_is_served(self):
        harness = ServerHarness()

        async def body():
            async with await harness.connect() as client:
                await client.sendall(REQUEST)
                await harness.server.drain(10.0)
                return await receive_all(client)

        answer = harness.run(body)
        assert status_of(answer) == 200
        assert b"connection: close" in answer.lower()

    def test_idle_connection_may_send_a_last_request(self):
        harness = ServerHarness()

        async def body():
            async with await harness.connect() as client:
                await client.sendall(REQUEST)
                await client.recv(65536)
                task = await curio.spawn(harness.server.drain, 10.0)
                await curio.sleep(0.1)
                await client.sendall(REQUEST)
                answer = await receive_all(client)
                await task.join()
                return answer

        assert status_of(harness.run(body)) == 200

    def test_sockets_opened_during_a_drain_work(self):
        harness = ServerHarness(drain_idle_timeout_s=0.05)

        async def body():
            other = curio.tcp_server_socket("127.0.0.1", 0)
            await curio.sleep(0.05)
            assert await harness.server.drain(1.0)
            address = other.getsockname()
            opened = [await curio.open_connection(*address) for _ in range(4)]
            for stream in opened:
                await stream.sendall(b"x")
                await stream.close()
            return len(opened)

        assert harness.run(body) == 4


class TestFuzz:
    def test_server_survives_arbitrary_bytes(self):
        harness = ServerHarness(
            headers_timeout_s=0.05,
            body_timeout_s=0.05,
            idle_timeout_s=0.05,
            linger_timeout_s=0.01,
        )

        @given(
            strategies.sampled_from(
                [b"", REQUEST, b"POST / HTTP/1.1\r\nhost: a\r\n"]
            ),
            strategies.binary(max_size=200),
        )
        def attack(start, data):
            async def main():
                task = await curio.spawn(harness.server.run, daemon=True)
                try:
                    await harness.exchange(start, data)
                    return await harness.exchange(
                        b"GET / HTTP/1.1\r\nhost: a\r\n"
                        b"connection: close\r\n\r\n"
                    )
                finally:
                    await task.cancel()

            answer = curio.run(curio.timeout_after, WAIT_S, main)
            assert status_of(answer) == 200

        attack()


class TestErrorPage:
    def test_only_internal_errors_are_reported_as_unknown(self):
        limited = errors.HttpError(503, "limited", "repeat later")
        assert b'"no"' in responses.error_response(limited).body
        crash = errors.HttpError(500, "internal", "report it")
        assert b'"unknown"' in responses.error_response(crash).body


class TestPipelinedRequests:
    def test_a_single_request_is_served_between_those_of_a_row(self):
        """Guards against one caller's row of requests that keeps others out.

        The handler answers without a wait, as counts of pending work are. All
        requests have arrived before the server starts.
        """
        served = []

        async def handle(request):
            served.append(request.target)
            return http.Response(200, (), b"")

        server = httpserver.Server(
            "127.0.0.1", 0, handle, responses.error_response
        )
        address = ("127.0.0.1", server.port)
        row = b"GET /row HTTP/1.1\r\nhost: a\r\n\r\n" * 1000
        clients = []
        for payload in [row] * 20 + [REQUEST]:
            clients.append(socket.create_connection(address))
            clients[-1].sendall(payload)

        async def body():
            task = await curio.spawn(server.run, daemon=True)
            while len(served) < 20 * 1000 + 1:
                await curio.sleep(0.01)
            await task.cancel()

        curio.run(curio.timeout_after, WAIT_S, body)
        for client in clients:
            client.close()
        # Each of the others may have been served once before, and once while
        # the connection is accepted and its request is read.
        assert served.index("/x") <= 2 * 20
