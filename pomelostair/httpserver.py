"""HTTP/1.1 server with one task per connection."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
import time

import attrs
import curio
import h11

from pomelostair import errors
from pomelostair import events
from pomelostair import http
from pomelostair import log
from pomelostair import memorybudget

_BACKLOG = 1024
_ACCEPT_RETRY_S = 0.05
_DRAIN_POLL_S = 0.01
# Task, socket and parser of a connection without a request.
CONNECTION_BYTES = 16 * 1024
# A body is held twice while it is joined, and again while it is decoded, which
# one request does at a time.
BODY_FACTOR = 2
# A body without an announced length is reserved in steps of this size.
BODY_STEP_BYTES = 16 * 1024
# Parsing a chunk takes the same time whatever its size. Encoders that stream
# send tiny ones, so a body up to MAX_SMALL_CHUNKS bytes may consist of any. One
# of 16 MiB in single bytes would take two minutes of processor time.
MIN_MEAN_CHUNK_BYTES = 64
MAX_SMALL_CHUNKS = 48_000
# Chunks of a body that are parsed before other connections get a turn. Of all
# bodies that need further turns, one goes on at a time.
CHUNKS_PER_TURN = 64
# Responses up to this size are covered by the reservation of the connection.
SMALL_RESPONSE_BYTES = 4 * 1024
RETRY_AFTER_S = 1
# A connection that has waited for its caller for this long makes room for a new
# one. Requests within the limits arrive within milliseconds.
EVICTABLE_S = 1.0
# Pause after a search that found none, as it looks at every connection.
_EVICTION_PAUSE_S = 0.05
_PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT
_REMEDY_MEMORY = "repeat later; the memory for requests is in use"

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
        budget: Memory that all connections may hold; that of a default process
            if None.
        limit_log: Records the limits that are reached, if given.
        name: Name of the server in these records.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        error_handler: ErrorHandler,
        limits: http.Limits | None = None,
        budget: memorybudget.MemoryBudget | None = None,
        limit_log: memorybudget.LimitLog | None = None,
        name: str = "http",
    ):
        self._socket = curio.tcp_server_socket(
            host, port, backlog=_BACKLOG, reuse_address=True
        )
        self._handler = handler
        self._error_handler = error_handler
        self._limits = limits or http.Limits()
        self._budget = budget or memorybudget.default().callers
        self._limit_log = limit_log
        self._name = name
        self._connections: dict[_Connection, curio.Task] = {}
        self._rejecting_connections = 0
        self._next_eviction_s = 0.0
        # Held by the one connection that goes on with what it has received: a
        # body of many chunks, or a further request.
        self._parsing = curio.Lock()
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
        with contextlib.suppress(OSError):
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(
            client,
            self._handler,
            self._error_handler,
            self._limits,
            self._budget,
            self._record_limit,
            self._evict_longest_waiting,
            self._parsing,
        )
        limit = self._reserve_connection(connection)
        if limit and await self._evict_longest_waiting():
            limit = self._reserve_connection(connection)
        if not limit:
            task = await curio.spawn(self._serve, connection, daemon=True)
            self._connections[connection] = task
            return
        self._record_limit(limit)
        if self._rejecting_connections < self._limits.max_rejecting_connections:
            self._rejecting_connections += 1
            await curio.spawn(self._reject, connection, limit, daemon=True)
        else:
            await client.close()

    def _reserve_connection(self, connection: "_Connection") -> str:
        """Returns the limit that forbids a new connection, empty if none."""
        if len(self._connections) >= self._limits.max_connections:
            return "connections"
        return "" if connection.reserve_idle() else "memory"

    async def _evict_longest_waiting(self) -> bool:
        """Closes the connection that waits longest; returns whether one does.

        Without that, callers that send nothing would keep all others out for
        the whole timeout. Once the head of a request has been read, its
        connection stays until it is answered or rejected. One that lingers
        after a rejection goes last, as closing it may discard the response.
        """
        now = time.monotonic()
        if now < self._next_eviction_s:
            return False
        latest_s = now - EVICTABLE_S
        waiting = sorted(
            (c for c in self._connections if 0 < c.waiting_since_s <= latest_s),
            key=lambda c: (c.lingering, c.waiting_since_s),
        )
        oldest = next((c for c in waiting if not c.has_request_data()), None)
        if oldest is None:
            self._next_eviction_s = now + _EVICTION_PAUSE_S
            return False
        task = self._connections.pop(oldest)
        oldest.mark_evicted()
        oldest.release()
        self._record_limit("waiting")
        await task.cancel(blocking=False)
        return True

    def _record_limit(self, limit: str) -> None:
        if self._limit_log is not None:
            self._limit_log.record(self._name, limit)

    async def _serve(self, connection: "_Connection") -> None:
        try:
            await connection.run()
        finally:
            connection.release()
            self._connections.pop(connection, None)

    async def _reject(self, connection: "_Connection", limit: str) -> None:
        remedy = "repeat later; too many open connections"
        if limit == "memory":
            remedy = _REMEDY_MEMORY
        try:
            await connection.reject(errors.HttpError(503, "limited", remedy))
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
        budget: memorybudget.MemoryBudget,
        record_limit: Callable[[str], None],
        evict: Callable[[], Awaitable[bool]],
        parsing: curio.Lock,
    ):
        self._client = client
        self._handler = handler
        self._error_handler = error_handler
        self._limits = limits
        self._close_after_response = False
        self._idle = True
        self._waiting_since_s = time.monotonic()
        self._lingering = False
        self._evicted = False
        self._record_limit = record_limit
        self._evict = evict
        self._parsing = parsing
        # Whether received chunks are left for the next turn.
        self._more_received = False
        self._reservation = memorybudget.Reservation(budget)
        self._body = bytearray()
        self._chunks = 0
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_headers_bytes
        )

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._idle

    @property
    def waiting_since_s(self) -> float:
        """Monotonic time since when the caller is waited for, 0 if it is not.

        It is waited for until the head of its request has been read, and again
        after the response or rejection.
        """
        return self._waiting_since_s

    @property
    def lingering(self) -> bool:
        """Whether the rest of a rejected request is being discarded."""
        return self._lingering

    def has_request_data(self) -> bool:
        """Returns whether data of a request have arrived and are not read."""
        if self._lingering:
            return False
        try:
            return bool(self._client._socket.recv(1, _PEEK))
        except OSError:
            return False

    def mark_evicted(self) -> None:
        """Ignores all data from now on, so that no further request runs.

        Its task may receive data before it is cancelled at its next wait.
        """
        self._evicted = True

    def close_after_response(self) -> None:
        """Closes the connection after the current or next response."""
        self._close_after_response = True

    @property
    def _request_bytes(self) -> int:
        """Memory of a connection with a request, without the body."""
        return (
            CONNECTION_BYTES
            + self._limits.max_headers_bytes
            + self._limits.receive_bytes
        )

    def reserve_idle(self) -> bool:
        """Reserves memory without a request; returns whether there is any."""
        return self._reservation.resize(CONNECTION_BYTES)

    def release(self) -> None:
        """Releases all memory."""
        self._body = bytearray()
        self._reservation.resize(0)

    async def run(self) -> None:
        """Serves requests until the connection ends."""
        try:
            while await self._serve_one() and not self._close_after_response:
                self._protocol.start_next_cycle()
                pipelined = bool(self._protocol.trailing_data[0])
                self._reservation.resize(
                    self._request_bytes if pipelined else CONNECTION_BYTES
                )
                if pipelined:
                    await self._yield_to_others()
                self._idle = True
                self._waiting_since_s = time.monotonic()
        except OSError:
            pass
        except h11.LocalProtocolError:
            log.emit(events.Events.HTTP_FAILED, exc_info=True)
        finally:
            await self._client.close()

    async def _yield_to_others(self) -> None:
        """Lets other connections go on before more received data is parsed."""
        async with self._parsing:
            await curio.sleep(0)

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
            self._drop_request()
            self._waiting_since_s = time.monotonic()
            await self._send_error(error)
            return False
        except h11.RemoteProtocolError as error:
            self._drop_request()
            self._waiting_since_s = time.monotonic()
            await self._send_error(self._malformed_request(error))
            return False
        if request is None:
            return False
        self._release_unused(request)
        response = await self._answer(request)
        if isinstance(response, http.NoResponse):
            return False
        if not self._reserve_response(response):
            self._record_limit("response")
            if self._limits.gets_have_no_effect and (
                request.method in ("GET", "HEAD")
            ):
                response = _with_retry_after(
                    self._error_handler(
                        errors.HttpError(503, "limited", _REMEDY_MEMORY)
                    )
                )
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
        self._waiting_since_s = 0.0
        self._body = bytearray()
        self._chunks = 0
        if len(head.headers) > http.MAX_HEADERS:
            self._record_limit("headers")
            remedy = f"send at most {http.MAX_HEADERS} headers"
            raise errors.HttpError(431, "bad-request", remedy)
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers
        )
        await self._reserve_announced(headers)
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
        try:
            if not await self._append_received_body():
                await curio.timeout_after(
                    self._limits.body_timeout_s, self._read_body
                )
        except curio.TaskTimeout as error:
            remedy = f"send the body within {self._limits.body_timeout_s} s"
            raise errors.HttpError(408, "bad-request", remedy) from error
        body = bytes(self._body)
        self._body = bytearray()
        return body

    async def _read_body(self) -> None:
        complete = False
        while not complete:
            if self._more_received:
                await self._yield_to_others()
            else:
                await self._receive()
            complete = await self._append_received_body()

    async def _append_received_body(self) -> bool:
        """Appends the received part, up to the chunks of one turn.

        Returns:
            Whether the body is complete.
        """
        self._more_received = False
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                return False
            if isinstance(event, h11.EndOfMessage):
                return True
            if not isinstance(event, h11.Data):
                raise OSError("connection closed within the request body")
            size = len(self._body) + len(event.data)
            if size > self._limits.max_body_bytes:
                raise self._body_too_large()
            self._chunks += event.chunk_start
            if self._chunks > MAX_SMALL_CHUNKS + size // MIN_MEAN_CHUNK_BYTES:
                self._record_limit("chunks")
                remedy = f"send chunks of {MIN_MEAN_CHUNK_BYTES} bytes or more"
                raise errors.HttpError(400, "bad-request", remedy)
            # Rounded up, so that small chunks need no reservation each.
            steps = -(-size // BODY_STEP_BYTES)
            await self._reserve_body(
                min(steps * BODY_STEP_BYTES, self._limits.max_body_bytes)
            )
            self._body += event.data
            if event.chunk_start and self._chunks % CHUNKS_PER_TURN == 0:
                self._more_received = True
                return False

    async def _reserve_announced(self, headers: http.Headers) -> None:
        """Reserves the announced length before the body is read."""
        length = int(dict(headers).get("content-length", "0"))
        if length > self._limits.max_body_bytes:
            raise self._body_too_large()
        await self._reserve_body(length)

    async def _reserve_body(self, size: int) -> None:
        """Reserves memory for a request with a body of the given size."""
        needed = self._request_bytes + size * BODY_FACTOR
        if needed <= self._reservation.size:
            return
        # This connection must not be evicted for itself.
        waiting_since_s, self._waiting_since_s = self._waiting_since_s, 0.0
        while not self._reservation.resize(needed):
            if not await self._evict():
                self._record_limit("memory")
                raise errors.HttpError(503, "limited", _REMEDY_MEMORY)
        self._waiting_since_s = waiting_since_s

    def _reserve_response(self, response: http.Response) -> bool:
        """Reserves memory for a response that the caller may not read."""
        size = len(response.body)
        needed = self._reservation.size + size * BODY_FACTOR
        return size <= SMALL_RESPONSE_BYTES or self._reservation.resize(needed)

    def _release_unused(self, request: http.Request) -> None:
        """Releases what a request that is complete does not take."""
        head_bytes = len(request.target) + sum(
            len(name) + len(value) for name, value in request.headers
        )
        needed = (
            CONNECTION_BYTES
            + head_bytes * BODY_FACTOR
            + len(request.body) * BODY_FACTOR
            + len(self._protocol.trailing_data[0])
        )
        self._reservation.resize(min(needed, self._reservation.size))

    def _drop_request(self) -> None:
        """Releases what a rejected request holds; the rest is discarded."""
        self._body = bytearray()
        self._reservation.resize(
            min(self._reservation.size, self._request_bytes)
        )

    def _malformed_request(
        self, error: h11.RemoteProtocolError
    ) -> errors.HttpError:
        status = error.error_status_hint
        if status == 431:
            self._record_limit("headers")
            limit = self._limits.max_headers_bytes
            remedy = f"keep the headers under {limit} bytes"
            return errors.HttpError(status, "bad-request", remedy)
        remedy = f"send well-formed HTTP/1.1: {error}"
        return errors.HttpError(status, "bad-request", remedy)

    def _body_too_large(self) -> errors.HttpError:
        self._record_limit("body")
        remedy = f"keep the body under {self._limits.max_body_bytes} bytes"
        return errors.HttpError(413, "bad-request", remedy)

    async def _next_event(self):
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _receive(self) -> None:
        data = await self._client.recv(self._limits.receive_bytes)
        if self._evicted:
            raise OSError("connection was closed in favour of a new one")
        if data:
            self._idle = False
            if self._reservation.size < self._request_bytes:
                await self._reserve_body(0)
        self._protocol.receive_data(data)

    async def _send_error(self, error: errors.HttpError) -> None:
        if self._protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._close_after_response = True
            response = self._error_handler(error)
            if error.status == 503:
                response = _with_retry_after(response)
            await self._write_response(response, head=False)
            await self._discard_remaining_input()

    async def _discard_remaining_input(self) -> None:
        """Reads and discards the rest of a rejected request.

        Closing at once would reset the connection, and the caller would not
        receive the response.
        """
        self._lingering = True
        await self._client.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(self._limits.linger_timeout_s):
            while await self._client.recv(self._limits.receive_bytes):
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


def _with_retry_after(response: http.Response) -> http.Response:
    header = ("retry-after", str(RETRY_AFTER_S))
    return attrs.evolve(response, headers=(*response.headers, header))
