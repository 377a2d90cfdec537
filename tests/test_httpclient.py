import functools
import os

import curio
import pytest

from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient

WAIT_S = 20.0
GET = http.Request("GET", "/x")


class Server:
    """Answers each connection with the given bytes, one part a request."""

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


async def request(client, timeout_s=10.0):
    return await client.request(GET, timeout_s)


async def twice(client):
    first = await client.request(GET, 10.0)
    return first.body, (await client.request(GET, 10.0)).body


def answer(body, extra=b""):
    length = str(len(body)).encode()
    return (
        b"HTTP/1.1 200 OK\r\nContent-Length: "
        + length
        + (b"\r\n\r\n" + body + extra)
    )


class TestRequest:
    def test_connection_is_used_again(self):
        server = Server(answer(b"one"), answer(b"two"))
        assert server.run(twice) == (b"one", b"two")
        assert server.connections == 1

    def test_late_bytes_never_answer_the_next_request(self):
        server = Server(answer(b"one", answer(b"stray")), close=False)
        assert server.run(twice) == (b"one", b"one")
        assert server.connections == 2

    def test_closed_idle_connection_is_replaced(self):
        server = Server(answer(b"one"))

        async def body(client):
            first = await client.request(GET, 10.0)
            await curio.sleep(0.1)
            return first.body, (await client.request(GET, 10.0)).body

        assert server.run(body) == (b"one", b"one")

    def test_chunked_body(self):
        chunked = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\none\r\n0\r\n\r\n"
        )
        assert Server(chunked).run(request).body == b"one"

    def test_nobody_listens_is_not_sent(self):
        async def body():
            unused = curio.tcp_server_socket("127.0.0.1", 0)
            port = unused.getsockname()[1]
            await unused.close()
            await httpclient.Client(f"127.0.0.1:{port}").request(GET, 5.0)

        with pytest.raises(errors.NotSentError):
            curio.run(body)

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"nonsense\r\n\r\n",
            answer(b"half")[:-2],
            b"HTTP/1.1 200 OK\r\n\r\nno length",
            b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nx: " + b"y" * 70_000,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\non",
        ],
    )
    def test_answer_that_is_not_whole_is_lost(self, data):
        with pytest.raises(errors.AnswerLostError):
            Server(data).run(request)

    def test_silent_server_is_lost(self):
        slow = functools.partial(request, timeout_s=0.1)
        with pytest.raises(errors.AnswerLostError, match="timeout"):
            Server(close=False).run(slow)

    def test_wait_for_a_connection_is_not_sent(self):
        async def body(client):
            holding = await curio.spawn(request, client)
            await curio.sleep(0.1)
            try:
                await client.request(GET, 0.1)
            finally:
                await holding.cancel()

        with pytest.raises(errors.NotSentError, match="timeout"):
            Server(close=False).run(body)

    def test_descriptors_above_1023(self):
        """The check of an idle connection works at any descriptor."""
        held = []
        server = Server(answer(b"one"), answer(b"two"))

        async def body(client):
            held.extend(os.open(os.devnull, os.O_RDONLY) for _ in range(1100))
            return await twice(client)

        try:
            assert server.run(body) == (b"one", b"two")
        finally:
            for descriptor in held:
                os.close(descriptor)
