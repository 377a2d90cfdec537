import functools
import os

import curio
import pytest

from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient

WAIT_S = 20.0
GET = http.Request("GET", "/x")


class FakeServer:
    """Sends the given bytes on each connection, one part per request."""

    def __init__(self, *parts, close=True, read=True):
        self._parts = parts
        self._close = close
        self._read = read
        self.connections = 0

    async def _serve(self, client, _address):
        self.connections += 1
        for part in self._parts:
            if self._read:
                await client.recv(65536)
            await client.sendall(part)
        if not self._close:
            await curio.sleep(WAIT_S)

    def run(self, body):
        async def main():
            listener = curio.tcp_server_socket("127.0.0.1", 0)
            port = listener.getsockname()[1]
            task = await curio.spawn(
                curio.network.run_server, listener, self._serve, daemon=True
            )
            client = httpclient.Client(f"127.0.0.1:{port}", 1)
            try:
                return await curio.timeout_after(WAIT_S, body, client)
            finally:
                await client.close()
                await task.cancel()

        return curio.run(main)


async def send_request(client, timeout_s=10.0):
    return await client.request(GET, timeout_s)


async def send_two_requests(client):
    first = await client.request(GET, 10.0)
    return first.body, (await client.request(GET, 10.0)).body


def ok_response(body, trailing=b""):
    length = str(len(body)).encode()
    return (
        b"HTTP/1.1 200 OK\r\nContent-Length: "
        + length
        + (b"\r\n\r\n" + body + trailing)
    )


class TestRequest:
    def test_connection_is_reused(self):
        server = FakeServer(ok_response(b"one"), ok_response(b"two"))
        assert server.run(send_two_requests) == (b"one", b"two")
        assert server.connections == 1

    def test_trailing_bytes_are_not_taken_as_next_response(self):
        server = FakeServer(
            ok_response(b"one", ok_response(b"stray")), close=False
        )
        assert server.run(send_two_requests) == (b"one", b"one")
        assert server.connections == 2

    def test_closed_idle_connection_is_replaced(self):
        server = FakeServer(ok_response(b"one"))

        async def body(client):
            first = await client.request(GET, 10.0)
            await curio.sleep(0.1)
            return first.body, (await client.request(GET, 10.0)).body

        assert server.run(body) == (b"one", b"one")

    def test_chunked_body_is_decoded(self):
        chunked = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\none\r\n0\r\n\r\n"
        )
        assert FakeServer(chunked).run(send_request).body == b"one"

    def test_refused_connection_shows_that_no_process_listens(self):
        async def body():
            unused = curio.tcp_server_socket("127.0.0.1", 0)
            port = unused.getsockname()[1]
            await unused.close()
            await httpclient.Client(f"127.0.0.1:{port}").request(GET, 5.0)

        with pytest.raises(errors.NoListenerError) as raised:
            curio.run(body)
        assert isinstance(raised.value, errors.NotSentError)

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"nonsense\r\n\r\n",
            ok_response(b"half")[:-2],
            b"HTTP/1.1 200 OK\r\n\r\nno length",
            b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nx: " + b"y" * 70_000,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\non",
        ],
    )
    def test_incomplete_or_malformed_response_raises_answer_lost(self, data):
        with pytest.raises(errors.AnswerLostError):
            FakeServer(data).run(send_request)

    def test_timeout_for_response_raises_answer_lost(self):
        send_with_short_timeout = functools.partial(send_request, timeout_s=0.1)
        with pytest.raises(errors.AnswerLostError, match="timeout"):
            FakeServer(close=False).run(send_with_short_timeout)

    def test_timeout_for_connection_slot_raises_not_sent(self):
        async def body(client):
            holding = await curio.spawn(send_request, client)
            await curio.sleep(0.1)
            try:
                await client.request(GET, 0.1)
            finally:
                await holding.cancel()

        with pytest.raises(errors.NotSentError, match="timeout"):
            FakeServer(close=False).run(body)

    def test_idle_connection_is_checked_above_descriptor_1023(self):
        """Guards against select(), which fails for descriptors above 1023."""
        descriptors = []
        server = FakeServer(ok_response(b"one"), ok_response(b"two"))

        async def body(client):
            descriptors.extend(
                os.open(os.devnull, os.O_RDONLY) for _ in range(1100)
            )
            return await send_two_requests(client)

        try:
            assert server.run(body) == (b"one", b"two")
        finally:
            for descriptor in descriptors:
                os.close(descriptor)
