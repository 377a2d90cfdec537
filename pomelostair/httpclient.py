"""HTTP/1.1 client for one server, with a bounded connection pool."""

import contextlib
import select
import socket

import curio
import h11

from pomelostair import errors
from pomelostair import http

CONNECT_TIMEOUT_S = 1.0
_RECEIVE_BYTES = 64 * 1024


class Client:
    """Sends requests to one server.

    Args:
        address: `IP:PORT` of the server.
        max_connections: Maximum number of open connections; further requests
            wait.
    """

    def __init__(self, address: str, max_connections: int = 64):
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._connection_slots = curio.Semaphore(max_connections)
        self._idle: list[_Connection] = []

    async def request(
        self, request: http.Request, timeout_s: float
    ) -> http.Response:
        """Sends a request, without retries, and returns the response.

        Args:
            request: What to send; the `host` and `content-length` headers are
                added here.
            timeout_s: Timeout, including the wait for a connection.

        Raises:
            NotSentError: The request certainly did not reach the server.
            NoListenerError: The same, since no process listens at its address.
            AnswerLostError: The request may have reached the server, but no
                complete response arrived.
        """
        progress = _Progress()
        try:
            return await curio.timeout_after(
                timeout_s, self._exchange_when_free, request, progress
            )
        except curio.TaskTimeout as error:
            # When one connection stops responding, the others usually have as
            # well, and only a timeout reveals it.
            await self.close()
            reason = "timeout"
            if not progress.connection_acquired:
                reason = "timeout waiting for a connection"
            raise progress.error(reason) from error
        except ConnectionRefusedError as error:
            raise errors.NoListenerError(str(error)) from error
        except (OSError, h11.ProtocolError) as error:
            raise progress.error(str(error)) from error

    async def close(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _exchange_when_free(
        self, request: http.Request, progress: "_Progress"
    ) -> http.Response:
        async with self._connection_slots:
            return await self._exchange(request, progress)

    async def _exchange(
        self, request: http.Request, progress: "_Progress"
    ) -> http.Response:
        connection = await self._acquire_connection()
        progress.connection_acquired = True
        try:
            response = await connection.exchange(request, progress)
        except BaseException:
            await connection.close()
            raise
        if connection.reusable:
            self._idle.append(connection)
        else:
            await connection.close()
        return response

    async def _acquire_connection(self) -> "_Connection":
        while self._idle:
            connection = self._idle.pop()
            if connection.alive:
                return connection
            await connection.close()
        stream = await self._open_stream()
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return _Connection(stream, f"{self._host}:{self._port}")

    async def _open_stream(self):
        try:
            return await curio.timeout_after(
                CONNECT_TIMEOUT_S, curio.open_connection, self._host, self._port
            )
        except curio.TaskTimeout as error:
            raise OSError("connect timeout") from error


class _Progress:
    """Tracks how far a request has come."""

    def __init__(self):
        self.connection_acquired = False
        self.sending_started = False

    def error(self, reason: str) -> errors.PomelostairError:
        if self.sending_started:
            return errors.AnswerLostError(reason)
        return errors.NotSentError(reason)


class _Connection:
    """One connection to the server."""

    def __init__(self, stream, host: str):
        self._stream = stream
        self._host = host
        self._protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=http.MAX_HEADERS_BYTES
        )
        self._reusable = False

    @property
    def reusable(self) -> bool:
        """Whether the connection can be used for another request."""
        return self._reusable

    @property
    def alive(self) -> bool:
        """Whether the server has neither closed the connection nor written."""
        poll = select.poll()
        poll.register(self._stream.fileno(), select.POLLIN)
        return not poll.poll(0)

    async def exchange(
        self, request: http.Request, progress: _Progress
    ) -> http.Response:
        """Sends a request and reads the complete response."""
        data = self._encode(request)
        progress.sending_started = True
        await self._stream.sendall(data)
        status, headers = await self._read_head()
        body = await self._read_body()
        _check_length_is_declared(status, headers, body)
        self._reusable = self._start_next_cycle()
        return http.Response(status, headers, body)

    async def close(self) -> None:
        """Closes the connection."""
        with contextlib.suppress(OSError):
            await self._stream.close()

    def _encode(self, request: http.Request) -> bytes:
        headers = [
            (name, value)
            for name, value in request.headers
            if name.lower() not in http.HOP_BY_HOP_HEADERS
        ]
        headers.append(("host", self._host))
        headers.append(("content-length", str(len(request.body))))
        data = self._protocol.send(
            h11.Request(
                method=request.method, target=request.target, headers=headers
            )
        )
        if request.body:
            data += self._protocol.send(h11.Data(data=request.body))
        return data + self._protocol.send(h11.EndOfMessage())

    async def _read_head(self) -> tuple[int, http.Headers]:
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise OSError("connection closed before the response")
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers
        )
        return event.status_code, headers

    async def _read_body(self) -> bytes:
        parts = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise OSError("connection closed within the response body")
            size += len(event.data)
            if size > http.MAX_BODY_BYTES:
                raise OSError("response body exceeds the size limit")
            parts.append(bytes(event.data))

    async def _next_event(self):
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._stream.recv(_RECEIVE_BYTES)
            self._protocol.receive_data(data)

    def _start_next_cycle(self) -> bool:
        states = (self._protocol.our_state, self._protocol.their_state)
        if states != (h11.DONE, h11.DONE) or self._protocol.trailing_data[0]:
            return False
        self._protocol.start_next_cycle()
        return True


def _check_length_is_declared(
    status: int, headers: http.Headers, body: bytes
) -> None:
    """Rejects a body that is delimited only by the end of the connection.

    A truncated body could not be distinguished from a complete one.

    Raises:
        OSError: The response has a body but declares no length.
    """
    names = {name for name, _ in headers}
    if body and not names & {"content-length", "transfer-encoding"}:
        raise OSError(f"response with status {status} declares no length")
