"""HTTP/1.1 server with one task per connection."""

from collections.abc import Awaitable
from collections.abc import Callable
import socket

import curio
import h11

from pomelostair import errors
from pomelostair import events
from pomelostair import http
from pomelostair import log

_RECEIVE_BYTES = 64 * 1024
_BACKLOG = 1024
_MAX_REJECTING_CONNECTIONS = 64
_ACCEPT_RETRY_S = 0.05
_DRAIN_POLL_S = 0.01

Handler = Callable[[http.Request], Awaitable[http.Response | http.NoResponse]]
ErrorHandler = Callable[[errors.HttpError], http.Response]


class Server:
    """Serves HTTP requests.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on, 0 for any free one.
        handler: Returns the response to a request.
        error_handler: Returns the response to a malformed or rejected request
            and after an exception of the handler.
        limits: Limits for callers; the defaults of `http.Limits` if None.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        error_handler: ErrorHandler,
        limits: http.Limits | None = None,
    ):
        self._socket = curio.tcp_server_socket(
            host, port, backlog=_BACKLOG, reuse_address=True
        )
        self._handler = handler
        self._error_handler = error_handler
        self._limits = limits or http.Limits()
        self._connections: dict[_Connection, curio.Task] = {}
        self._rejecting_connections = 0
        self._acceptor: curio.Task | None = None
        self._stopped = curio.Event()

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return self._socket.getsockname()[1]

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def run(self) -> None:
        """Accepts connections until cancelled or drained."""
        self._acceptor = await curio.spawn(self._accept, daemon=True)
        try:
            await self._stopped.wait()
        finally:
            await self._acceptor.cancel()

    async def drain(self, timeout_s: float) -> bool:
        """Stops accepting and waits until all open requests are answered.

        Connections that are already in the listen backlog are still served.
        Idle connections may send one more request within
        `drain_idle_timeout_s`. Every response from now on carries
        `connection: close`.

        Args:
            timeout_s: Longest wait for open requests.

        Returns:
            Whether all open requests were answered.
        """
        for connection in list(self._connections):
            connection.close_after_response()
        async with curio.ignore_after(timeout_s):
            await self._serve_last_requests(self._limits.drain_idle_timeout_s)
        await self._stop_accepting()
        for connection in [c for c in self._connections if c.idle]:
            await self._connections[connection].cancel()
        async with curio.ignore_after(timeout_s):
            while self._connections:
                await curio.sleep(_DRAIN_POLL_S)
        return not self._connections

    async def _accept(self) -> None:
        while True:
            try:
                client, _ = await self._socket.accept()
            except OSError:
                await curio.sleep(_ACCEPT_RETRY_S)
                continue
            await self._accept_or_reject(client)

    async def _stop_accepting(self) -> None:
        """Closes the listening socket, once no task is waiting on it."""
        if self._acceptor is not None:
            await self._acceptor.cancel()
        await self._stopped.set()
        await self._socket.close()

    async def _serve_last_requests(self, timeout_s: float) -> None:
        async with curio.ignore_after(timeout_s):
            while True:
                for connection in list(self._connections):
                    connection.close_after_response()
                await curio.sleep(_DRAIN_POLL_S)

    async def _accept_or_reject(self, client) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(
            client, self._handler, self._error_handler, self._limits
        )
        if len(self._connections) < self._limits.max_connections:
            task = await curio.spawn(self._serve, connection, daemon=True)
            self._connections[connection] = task
        elif self._rejecting_connections < _MAX_REJECTING_CONNECTIONS:
            self._rejecting_connections += 1
            await curio.spawn(self._reject, connection, daemon=True)
        else:
            await client.close()

    async def _serve(self, connection: "_Connection") -> None:
        try:
            await connection.run()
        finally:
            self._connections.pop(connection, None)

    async def _reject(self, connection: "_Connection") -> None:
        try:
            await connection.reject(
                errors.HttpError(
                    503, "limited", "repeat later; too many open connections"
                )
            )
        finally:
            self._rejecting_connections -= 1


class _Connection:
    """A connection of a caller."""

    def __init__(
        self,
        client,
        handler: Handler,
        error_handler: ErrorHandler,
        limits: http.Limits,
    ):
        self._client = client
        self._handler = handler
        self._error_handler = error_handler
        self._limits = limits
        self._close_after_response = False
        self._idle = True
        self._body_bytes = 0
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=http.MAX_HEADERS_BYTES
        )

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._idle

    def close_after_response(self) -> None:
        """Closes the connection after the current or next response."""
        self._close_after_response = True

    async def run(self) -> None:
        """Serves requests until the connection ends."""
        try:
            while await self._serve_one() and not self._close_after_response:
                self._idle = True
                self._protocol.start_next_cycle()
        except OSError:
            pass
        except h11.LocalProtocolError:
            log.emit(events.Events.HTTP_FAILED, exc_info=True)
        finally:
            await self._client.close()

    async def reject(self, error: errors.HttpError) -> None:
        """Sends an error without reading a request, and closes."""
        try:
            await self._send_error(error)
        except OSError:
            pass
        finally:
            await self._client.close()

    async def _serve_one(self) -> bool:
        try:
            request = await self._read_request()
        except errors.HttpError as error:
            await self._send_error(error)
            return False
        except h11.RemoteProtocolError as error:
            await self._send_error(_malformed_request(error))
            return False
        if request is None:
            return False
        response = await self._answer(request)
        if isinstance(response, http.NoResponse):
            return False
        await self._write_response(response, head=request.method == "HEAD")
        return self._protocol.our_state is h11.DONE and (
            self._protocol.their_state is h11.DONE
        )

    async def _answer(
        self, request: http.Request
    ) -> http.Response | http.NoResponse:
        try:
            return await self._handler(request)
        except errors.HttpError as error:
            return self._error_handler(error)
        except (Exception, curio.TaskTimeout):  # noqa: BLE001 - one bad request must not end a process
            log.emit(
                events.Events.HTTP_FAILED, exc_info=True, target=request.target
            )
            message = "internal failure; report the log line of event 130"
            return self._error_handler(
                errors.HttpError(500, "internal", message)
            )

    async def _read_request(self) -> http.Request | None:
        head = await self._read_head()
        if not isinstance(head, h11.Request):
            return None
        self._idle = False
        self._body_bytes = 0
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers
        )
        self._check_content_length(headers)
        if self._protocol.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(self._protocol.send(proceed))
        return http.Request(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            headers,
            await self._read_whole_body(),
        )

    async def _read_head(self):
        """Returns the event of a request head, None after the idle timeout."""
        event = self._protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            await curio.timeout_after(
                self._limits.idle_timeout_s, self._receive
            )
        except curio.TaskTimeout:
            return None
        event = self._protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            return await curio.timeout_after(
                self._limits.headers_timeout_s, self._next_event
            )
        except curio.TaskTimeout as error:
            remedy = (
                f"send the headers within {self._limits.headers_timeout_s} s"
            )
            raise errors.HttpError(408, "bad-request", remedy) from error

    async def _read_whole_body(self) -> bytes:
        parts: list[bytes] = []
        if self._append_received_body(parts):
            return b"".join(parts)
        try:
            return await curio.timeout_after(
                self._limits.body_timeout_s, self._read_body, parts
            )
        except curio.TaskTimeout as error:
            remedy = f"send the body within {self._limits.body_timeout_s} s"
            raise errors.HttpError(408, "bad-request", remedy) from error

    async def _read_body(self, parts: list[bytes]) -> bytes:
        while not self._append_received_body(parts):
            await self._receive()
        return b"".join(parts)

    def _append_received_body(self, parts: list[bytes]) -> bool:
        """Appends the received part; returns whether the body is complete."""
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                return False
            if isinstance(event, h11.EndOfMessage):
                return True
            if not isinstance(event, h11.Data):
                raise OSError("connection closed within the request body")
            self._body_bytes += len(event.data)
            if self._body_bytes > self._limits.max_body_bytes:
                raise self._body_too_large()
            parts.append(bytes(event.data))

    def _check_content_length(self, headers: http.Headers) -> None:
        length = dict(headers).get("content-length", "0")
        if int(length) > self._limits.max_body_bytes:
            raise self._body_too_large()

    def _body_too_large(self) -> errors.HttpError:
        remedy = f"keep the body under {self._limits.max_body_bytes} bytes"
        return errors.HttpError(413, "bad-request", remedy)

    async def _next_event(self):
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _receive(self) -> None:
        data = await self._client.recv(_RECEIVE_BYTES)
        if data:
            self._idle = False
        self._protocol.receive_data(data)

    async def _send_error(self, error: errors.HttpError) -> None:
        if self._protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._close_after_response = True
            await self._write_response(self._error_handler(error), head=False)
            await self._discard_remaining_input()

    async def _discard_remaining_input(self) -> None:
        """Reads and discards the rest of a rejected request.

        Closing at once would reset the connection, and the caller would not
        receive the response.
        """
        await self._client.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(self._limits.linger_timeout_s):
            while await self._client.recv(_RECEIVE_BYTES):
                pass

    async def _write_response(
        self, response: http.Response, head: bool
    ) -> None:
        headers = [
            (name, value)
            for name, value in response.headers
            if name.lower() not in http.HOP_BY_HOP_HEADERS
        ]
        headers.append(("content-length", str(len(response.body))))
        if self._close_after_response:
            headers.append(("connection", "close"))
        head_event = h11.Response(status_code=response.status, headers=headers)
        data = self._protocol.send(head_event)
        if response.body and not head:
            data += self._protocol.send(h11.Data(data=response.body))
        data += self._protocol.send(h11.EndOfMessage())
        await self._send(data)

    async def _send(self, data: bytes) -> None:
        unsent = memoryview(data)[_send_nonblocking(self._client, data) :]
        if not unsent:
            return
        try:
            await curio.timeout_after(
                self._limits.write_timeout_s, self._client.sendall, unsent
            )
        except curio.TaskTimeout as error:
            raise OSError("timeout while sending the response") from error


def _send_nonblocking(client, data: bytes) -> int:
    """Sends what fits into the send buffer; returns the number of bytes."""
    try:
        return client._socket.send(data)
    except BlockingIOError:
        return 0


def _malformed_request(error: h11.RemoteProtocolError) -> errors.HttpError:
    status = error.error_status_hint
    if status == 431:
        remedy = f"keep the headers under {http.MAX_HEADERS_BYTES} bytes"
        return errors.HttpError(status, "bad-request", remedy)
    remedy = f"send well-formed HTTP/1.1: {error}"
    return errors.HttpError(status, "bad-request", remedy)
