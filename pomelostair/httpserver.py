"""An HTTP/1.1 server: one task for each connection."""

from collections.abc import Awaitable
from collections.abc import Callable
import select
import socket

import curio
import h11

from pomelostair import errors
from pomelostair import events
from pomelostair import http
from pomelostair import log

_RECEIVE_BYTES = 64 * 1024
_MAX_CONNECTIONS = 2048
LEAVE_S = 1.0

Handler = Callable[[http.Request], Awaitable[http.Response]]
ErrorPage = Callable[[errors.HttpError], http.Response]


class Server:
    """Serves requests of callers.

    Args:
        host: IP address to listen at.
        port: TCP port, 0 for any free one.
        handler: Answers one request.
        error_page: Answers a malformed request or a crash of the handler.
        max_connections: Connections beyond this number are closed at once.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        error_page: ErrorPage,
        max_connections: int = _MAX_CONNECTIONS,
    ):
        self._socket = curio.tcp_server_socket(
            host, port, backlog=1024, reuse_address=True
        )
        self._handler = handler
        self._error_page = error_page
        self._max_connections = max_connections
        self._connections: dict[_Connection, curio.Task] = {}
        self._accepting: curio.Task | None = None
        self._draining = False

    @property
    def port(self) -> int:
        """TCP port that the server listens at."""
        return self._socket.getsockname()[1]

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def run(self) -> None:
        """Accepts connections until drained or cancelled."""
        self._accepting = await curio.spawn(self._accept)
        try:
            await self._accepting.wait()
        except curio.CancelledError:
            await self._accepting.cancel()
            raise

    async def _accept(self) -> None:
        while True:
            client, _ = await self._socket.accept()
            await self._open(client)

    async def _open(self, client) -> None:
        if len(self._connections) >= self._max_connections:
            await client.close()
            return
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(client, self._handler, self._error_page)
        if self._draining:
            connection.close_after_response()
        task = await curio.spawn(self._serve, connection, daemon=True)
        self._connections[connection] = task

    async def drain(self, timeout_s: float) -> bool:
        """Takes leave of the callers and answers all open requests.

        For a while each response asks its caller to close the connection.
        Then connections that stay idle are closed, and no more are accepted.

        Args:
            timeout_s: Longest wait.

        Returns:
            Whether every open request was answered.
        """
        self._draining = True
        for connection in list(self._connections):
            connection.close_after_response()
        async with curio.ignore_after(timeout_s):
            await curio.sleep(LEAVE_S)
            await self._close_socket()
            while self._connections:
                await self._close_idle()
                await curio.sleep(0.01)
        return not self._connections

    async def _close_socket(self) -> None:
        """Accepts the connections that callers have opened, then no more."""
        if self._accepting is not None:
            # Closing a socket that a task waits for breaks the event loop.
            await self._accepting.cancel()
        while _readable(self._socket):
            client, _ = await self._socket.accept()
            await self._open(client)
        await self._socket.close()

    async def _close_idle(self) -> None:
        for connection, task in list(self._connections.items()):
            if connection.idle and not connection.readable:
                await task.cancel()

    async def _serve(self, connection: "_Connection") -> None:
        try:
            await connection.run()
        finally:
            self._connections.pop(connection, None)


class _Connection:
    """One connection of a caller."""

    def __init__(self, client, handler: Handler, error_page: ErrorPage):
        self._client = client
        self._handler = handler
        self._error_page = error_page
        self._closing = False
        self._idle = True
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=http.MAX_HEADER_BYTES
        )

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._idle

    @property
    def readable(self) -> bool:
        """Whether the caller has sent what is not read yet."""
        return _readable(self._client)

    def close_after_response(self) -> None:
        """Makes the current response the last one."""
        self._closing = True

    async def run(self) -> None:
        """Serves requests until the connection ends."""
        try:
            while not self._closing and await self._serve_one():
                self._idle = True
                self._protocol.start_next_cycle()
        except (OSError, curio.TaskTimeout):
            pass
        except h11.LocalProtocolError:
            log.emit(events.Events.HTTP_FAILED, exc_info=True)
        finally:
            await self._client.close()

    async def _serve_one(self) -> bool:
        try:
            request = await self._read_request()
        except errors.HttpError as error:
            await self._refuse(error)
            return False
        except h11.RemoteProtocolError as error:
            await self._refuse(_malformed(error))
            return False
        if request is None:
            return False
        response = await self._answer(request)
        await self._write(response, head=request.method == "HEAD")
        return self._protocol.our_state is h11.DONE and (
            self._protocol.their_state is h11.DONE
        )

    async def _answer(self, request: http.Request) -> http.Response:
        try:
            return await self._handler(request)
        except errors.HttpError as error:
            return self._error_page(error)
        except Exception:  # noqa: BLE001 - one bad request must not end a process
            log.emit(
                events.Events.HTTP_FAILED, exc_info=True, target=request.target
            )
            message = "internal failure; report the log line of event 130"
            return self._error_page(errors.HttpError(500, "internal", message))

    async def _read_request(self) -> http.Request | None:
        head = await curio.timeout_after(http.IDLE_TIMEOUT_S, self._next_event)
        if not isinstance(head, h11.Request):
            return None
        self._idle = False
        if self._protocol.they_are_waiting_for_100_continue:
            await self._send(h11.InformationalResponse(100, headers=[]))
        body = await curio.timeout_after(http.BODY_TIMEOUT_S, self._read_body)
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers
        )
        return http.Request(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            headers,
            body,
        )

    async def _read_body(self) -> bytes:
        parts = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise OSError("connection ended inside a body")
            size += len(event.data)
            if size > http.MAX_BODY_BYTES:
                limit = f"keep the body under {http.MAX_BODY_BYTES} bytes"
                raise errors.HttpError(413, "bad-request", limit)
            parts.append(bytes(event.data))

    async def _next_event(self):
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._client.recv(_RECEIVE_BYTES)
            if data:
                self._idle = False
            self._protocol.receive_data(data)

    async def _refuse(self, error: errors.HttpError) -> None:
        if self._protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._closing = True
            await self._write(self._error_page(error), head=False)

    async def _write(self, response: http.Response, head: bool) -> None:
        headers = [
            (name, value)
            for name, value in response.headers
            if name.lower() not in http.HOP_HEADERS
        ]
        headers.append(("content-length", str(len(response.body))))
        if self._closing:
            headers.append(("connection", "close"))
        begin = h11.Response(status_code=response.status, headers=headers)
        data = self._protocol.send(begin)
        if response.body and not head:
            data += self._protocol.send(h11.Data(data=response.body))
        data += self._protocol.send(h11.EndOfMessage())
        await self._client.sendall(data)

    async def _send(self, event) -> None:
        await self._client.sendall(self._protocol.send(event))


def _readable(stream) -> bool:
    poll = select.poll()
    poll.register(stream.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _malformed(error: h11.RemoteProtocolError) -> errors.HttpError:
    status = error.error_status_hint
    if status == 431:
        remedy = f"keep the headers under {http.MAX_HEADER_BYTES} bytes"
        return errors.HttpError(status, "bad-request", remedy)
    remedy = f"send well-formed HTTP/1.1: {error}"
    return errors.HttpError(status, "bad-request", remedy)
