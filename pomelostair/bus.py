"""Message bus between the system's processes.

Each process receives on one socket and sends over one connection per peer.
A call that was not sent is known not to have run; after a successful send
its outcome is unknown until the answer arrives. Answers to calls that are no
longer pending are counted and dropped.
"""

import abc
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time
import uuid

import attrs
import curio
from curio import traps
import msgspec
import pynng

from pomelostair import errors
from pomelostair import events
from pomelostair import log
from pomelostair import metrics as metrics_module
from pomelostair import wire

CONNECT_TIMEOUT_S = 0.5
FLUSH_TIMEOUT_S = 1.0
SLOW_HANDLER_S = 0.05
MAX_WAITING_REPLIES = 1024
MAX_WAITING_POSTS = 1024
# Pipelines: the largest messages are relayed pages, cut to half of this,
# commits (up to 0.6 MB), and orders and reports, cut to a quarter. Equal in all
# processes, since a peer closes the connection over a larger one.
MAX_PIPELINE_MESSAGE_BYTES = 2 * 1024 * 1024
RECEIVE_BURST_MESSAGES = 64
_SCHEME = "tcp://"
SEND_BUFFER_MESSAGES = 128
RECEIVE_BUFFER_MESSAGES = 1024
PEER_IDLE_TIMEOUT_S = 60.0
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
# A connection that has gone silent is detected within the sum of both, well
# before the leases of running work expire.
PROBE_INTERVAL_S = 2.0
PROBE_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True)
class Sent:
    """A message left this process; whether it arrived is unknown."""


@dataclasses.dataclass(frozen=True)
class NotSent:
    """A message is known not to have left this process."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Answered:
    """The answer to a call, with its envelope."""

    message: object
    envelope: wire.Envelope


@dataclasses.dataclass(frozen=True)
class NoAnswer:
    """A call was sent, but no answer came in time."""


SendResult = Sent | NotSent
CallResult = Answered | NotSent | NoAnswer
Handler = Callable[[object, wire.Envelope], Awaitable[None]]


@wire.message("bus-probe")
@attrs.frozen
class Probe:
    """Liveness probe; the peer answers with the same message."""


@attrs.frozen
class Limits:
    """Limits of a bus.

    Attributes:
        max_message_bytes: Largest message that is sent or received.
        max_peers: Most connections to peers; None for no limit. Those from
            peers are not limited: closing them in a callback of pynng ended
            processes.
    """

    max_message_bytes: int = wire.MAX_MESSAGE_BYTES
    max_peers: int | None = None


class Bus(abc.ABC):
    """Sends and receives messages, and matches answers to pending calls.

    Args:
        name: Name of this process.
        address: Address at which this process receives.
        metrics: Counts dropped and unsent messages.
    """

    def __init__(
        self, name: str, address: str, metrics: metrics_module.Metrics
    ):
        self._name = name
        self._address = address
        self._incarnation = uuid.uuid4().hex[:16]
        self._metrics = metrics
        self._handlers: dict[type, Handler] = {Probe: self._on_probe}
        self._pending_calls: dict[str, curio.Queue] = {}
        self._call_count = 0
        self._waiting_replies = 0
        self._waiting_posts = 0
        self._sent_bytes = 0
        self._received_bytes = 0

    @property
    def sent_bytes(self) -> int:
        """Total size of the messages encoded for sending, in bytes."""
        return self._sent_bytes

    @property
    def received_bytes(self) -> int:
        """Total size of the messages received, in bytes."""
        return self._received_bytes

    @property
    def address(self) -> str:
        """Address at which this process receives."""
        return self._address

    @property
    def incarnation(self) -> str:
        """Random id of this process, new after each restart."""
        return self._incarnation

    @property
    def name(self) -> str:
        """Name of this process."""
        return self._name

    def handle(self, message_type: type, handler: Handler) -> None:
        """Registers the handler for received messages of a type.

        The handler runs in the receiving task: it must return quickly and
        spawn a task for anything that blocks.
        """
        self._handlers[message_type] = handler

    async def send(self, address: str, message: object) -> SendResult:
        """Sends a one-way message to the process at `address`."""
        return await self._transmit(
            address, self._encode_message(message, correlation="", answer=False)
        )

    async def post(self, address: str, message: object) -> None:
        """Sends a one-way message without waiting for the connection.

        While the connection is not ready, a separate task sends the message.
        Messages to one peer may overtake each other then.
        """
        data = self._encode_message(message, correlation="", answer=False)
        if await self._try_transmit(address, data) is not None:
            return
        if self._waiting_posts >= MAX_WAITING_POSTS:
            self._count_not_sent("too-many-waiting")
            return
        self._waiting_posts += 1
        await curio.spawn(self._post_later, address, data, daemon=True)

    async def _post_later(self, address: str, data: bytes) -> None:
        try:
            await self._transmit(address, data)
        finally:
            self._waiting_posts -= 1

    async def probe(self, address: str, timeout_s: float) -> bool:
        """Probes a peer and closes its connection if no answer arrives.

        A connection may go silent without a reset, so that only a missing
        answer reveals it. The next message opens a new connection.

        Args:
            address: Where the peer receives.
            timeout_s: Longest wait for the answer.

        Returns:
            Whether the peer answered.
        """
        result = await self.call(address, Probe(), timeout_s)
        if isinstance(result, NoAnswer):
            self._metrics.count("connections_silent")
            self.disconnect(address)
        return isinstance(result, Answered)

    @abc.abstractmethod
    def disconnect(self, address: str) -> None:
        """Closes the connection to a peer, if there is one."""

    async def _on_probe(self, message: object, envelope: wire.Envelope) -> None:
        await self.reply(envelope, message)

    async def reply(self, envelope: wire.Envelope, message: object) -> None:
        """Answers the call received in `envelope`, without blocking.

        While the caller's connection is not ready, a separate task sends the
        answer, so that one caller delays neither the receiving task nor the
        answers to others.
        """
        address = envelope.reply_to
        data = self._encode_message(message, envelope.correlation, answer=True)
        if await self._try_transmit(address, data) is not None:
            return
        if self._waiting_replies >= MAX_WAITING_REPLIES:
            self._count_not_sent("too-many-waiting")
            return
        self._waiting_replies += 1
        await curio.spawn(self._reply_later, address, data, daemon=True)

    async def _reply_later(self, address: str, data: bytes) -> None:
        try:
            await self._transmit(address, data)
        finally:
            self._waiting_replies -= 1

    async def call(
        self, address: str, message: object, timeout_s: float
    ) -> CallResult:
        """Sends a message and waits for its answer.

        Args:
            address: Where the peer receives.
            message: A registered message.
            timeout_s: Longest wait for the answer.
        """
        self._call_count += 1
        correlation = f"{self._incarnation}-{self._call_count}"
        answers = curio.Queue()
        self._pending_calls[correlation] = answers
        try:
            data = self._encode_message(message, correlation, answer=False)
            send_result = await self._transmit(address, data)
            if isinstance(send_result, NotSent):
                return send_result
            return await curio.timeout_after(timeout_s, answers.get)
        except curio.TaskTimeout:
            return NoAnswer()
        finally:
            del self._pending_calls[correlation]

    async def receive(self, data: bytes) -> None:
        """Decodes and dispatches one message; malformed ones are dropped."""
        self._received_bytes += len(data)
        try:
            envelope, message = wire.decode(data)
        except errors.MessageError as error:
            self._drop("malformed", str(error))
            return
        self._count_bytes("received", envelope.tag, len(data))
        self._record_sender(envelope.reply_to, envelope.incarnation)
        if envelope.answer:
            await self._accept_answer(envelope, message)
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self._drop("unhandled", envelope.tag)
            return
        started_s = _now()
        try:
            await handler(message, envelope)
        except (Exception, curio.TaskTimeout):  # noqa: BLE001 - one bad message must not stop the process
            self._metrics.count("messages_dropped", reason="handler-crashed")
            log.emit(
                events.Events.HANDLER_CRASHED, exc_info=True, tag=envelope.tag
            )
        if _now() - started_s > SLOW_HANDLER_S:
            self._metrics.count("slow_handlers", tag=envelope.tag)

    @abc.abstractmethod
    def _record_sender(self, address: str, incarnation: str) -> None:
        """Records that a process has sent a message.

        Args:
            address: Where it receives.
            incarnation: Random id of the process.
        """

    async def _accept_answer(
        self, envelope: wire.Envelope, message: object
    ) -> None:
        answers = self._pending_calls.get(envelope.correlation)
        if answers is None:
            self._drop("late-answer", envelope.tag)
            return
        await answers.put(Answered(message, envelope))

    def _drop(self, reason: str, detail: str) -> None:
        self._metrics.count("messages_dropped", reason=reason)
        log.emit(events.Events.MESSAGE_DROPPED, reason=reason, detail=detail)

    def _count_bytes(self, direction: str, tag: str, size: int) -> None:
        self._metrics.count(f"messages_{direction}", tag=tag)
        self._metrics.count(f"message_bytes_{direction}", size, tag=tag)

    def _count_not_sent(self, reason: str) -> None:
        self._metrics.count("messages_not_sent", reason=reason)

    def _encode_message(
        self, message: object, correlation: str, answer: bool
    ) -> bytes:
        tag = wire.tag_of(message)
        data = wire.encode(
            wire.Envelope(
                tag=tag,
                sender=self._name,
                incarnation=self._incarnation,
                reply_to=self._address,
                correlation=correlation,
                answer=answer,
                body=msgspec.Raw(wire.encode_sparse(message)),
            )
        )
        self._sent_bytes += len(data)
        self._count_bytes("sent", tag, len(data))
        return data

    @abc.abstractmethod
    async def _transmit(self, address: str, data: bytes) -> SendResult:
        """Sends encoded bytes to the process at `address`."""

    @abc.abstractmethod
    async def _try_transmit(
        self, address: str, data: bytes
    ) -> SendResult | None:
        """Sends encoded bytes; returns None if that would block."""

    @abc.abstractmethod
    async def flush(self) -> None:
        """Waits, for a limited time, until sent messages have left."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Receives until cancelled."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes all sockets."""


class NngBus(Bus):
    """A bus over nanomsg push and pull sockets.

    Args:
        name: Name of this process.
        address: URL that peers send to, `tcp://IP:PORT`.
        metrics: Counts dropped and unsent messages.
        listen: URL to listen on, `address` by default. Connections to peers
            use its IP address as their source.
        limits: Limits of messages and connections.
    """

    def __init__(
        self,
        name: str,
        address: str,
        metrics: metrics_module.Metrics,
        listen: str | None = None,
        limits: Limits | None = None,
    ):
        super().__init__(name, address, metrics)
        self._limits = limits or Limits()
        listen = listen or address
        self._source_ip = listen.removeprefix(_SCHEME).rpartition(":")[0]
        self._inbox = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=self._limits.max_message_bytes,
        )
        self._inbox.listen(listen)
        self._inbox_fd = self._inbox.recv_fd
        self._excess_peers = 0
        self._peers: dict[str, _Peer] = {}

    def _report_limits(self) -> None:
        """Counts and logs the limit if it was reached since the last call.

        Called at intervals, which bounds the rate of log lines.
        """
        count, self._excess_peers = self._excess_peers, 0
        if not count:
            return
        self._metrics.count(
            "limits_reached", count, place="bus", limit="addresses"
        )
        log.emit(
            events.Events.LIMIT_REACHED,
            place="bus",
            limit="addresses",
            count=count,
        )

    async def run(self) -> None:
        """Receives and probes the active connections until cancelled."""
        probe_task = await curio.spawn(self._probe_active_peers, daemon=True)
        try:
            await self._receive_all()
        finally:
            await probe_task.cancel()

    async def _probe_active_peers(self) -> None:
        while True:
            await curio.sleep(PROBE_INTERVAL_S)
            self._report_limits()
            cutoff_s = _now() - PROBE_INTERVAL_S
            for address, peer in list(self._peers.items()):
                # Only other sends make a connection active: if probes
                # counted, an idle connection would be probed forever.
                if (
                    peer.last_send_s > cutoff_s
                    and peer.last_send_s != peer.probed_send_s
                ):
                    await curio.spawn(
                        self._probe_peer, address, peer, daemon=True
                    )

    async def _probe_peer(self, address: str, peer: "_Peer") -> None:
        await self.probe(address, PROBE_TIMEOUT_S)
        peer.probed_send_s = peer.last_send_s

    def disconnect(self, address: str) -> None:
        """Closes the connection to a peer unless a send waits on it."""
        peer = self._peers.get(address)
        if peer is not None and not peer.has_waiting_send:
            del self._peers[address]
            peer.close()

    def _record_sender(self, address: str, incarnation: str) -> None:
        """Renews the connection to a sender if it leads to no process.

        The sender runs, so a connection that was made to an earlier process at
        its address is dead, and one that could not be made may be retried at
        once. The operating system would retry either only after seconds.
        """
        peer = self._peers.get(address)
        if peer is None:
            return
        restarted = peer.incarnation not in ("", incarnation)
        if not restarted and not peer.unreachable:
            peer.incarnation = incarnation
        elif not peer.has_waiting_send:
            self._metrics.count("connections_renewed")
            self.disconnect(address)

    async def _receive_all(self) -> None:
        burst = 0
        while True:
            try:
                data = self._inbox.recv(block=False)
            except pynng.TryAgain:
                burst = 0
                await traps._read_wait(self._inbox_fd)
                continue
            await self.receive(data)
            burst += 1
            if burst % RECEIVE_BURST_MESSAGES == 0:
                await curio.sleep(0)

    async def flush(self) -> None:
        """Waits, for a limited time, until sent messages have left."""
        async with curio.ignore_after(FLUSH_TIMEOUT_S):
            while self._waiting_replies:
                await curio.sleep(0.01)
        # Others may connect, and connections be renewed, during a wait.
        for address, peer in list(self._peers.items()):
            if self._peers.get(address) is peer:
                await peer.flush()

    def close(self) -> None:
        """Closes all sockets."""
        self._inbox.close()
        for peer in self._peers.values():
            peer.close()

    async def _transmit(self, address: str, data: bytes) -> SendResult:
        peer = self._get_or_create_peer(address, data)
        if isinstance(peer, NotSent):
            result = peer
        else:
            result = peer.try_send(data) or await peer.send(data)
        if isinstance(result, NotSent):
            self._count_not_sent(result.reason)
        return result

    async def _try_transmit(
        self, address: str, data: bytes
    ) -> SendResult | None:
        peer = self._get_or_create_peer(address, data)
        result = peer if isinstance(peer, NotSent) else peer.try_send(data)
        if isinstance(result, NotSent):
            self._count_not_sent(result.reason)
        return result

    def _get_or_create_peer(
        self, address: str, data: bytes
    ) -> "_Peer | NotSent":
        if len(data) > self._limits.max_message_bytes:
            return NotSent("too-large")
        peer = self._peers.get(address)
        if peer is not None:
            return peer
        if not address.startswith(_SCHEME):
            return NotSent("bad-address")
        self._close_idle_peers()
        if not self._make_room_for_peer():
            return NotSent("too-many-peers")
        try:
            peer = self._peers[address] = _Peer(address, self._source_ip)
        except (pynng.NNGException, ValueError):
            return NotSent("bad-address")
        return peer

    def _make_room_for_peer(self) -> bool:
        """Closes the connection that is unused for longest at the limit.

        Peers name the address of their answers themselves, so made-up ones must
        not take all descriptors.
        """
        limit = self._limits.max_peers
        if limit is None or len(self._peers) < limit:
            return True
        self._excess_peers += 1
        closable = [a for a, p in self._peers.items() if not p.has_waiting_send]
        if not closable:
            return False
        oldest = min(
            closable,
            key=lambda a: (
                not self._peers[a].unreachable,
                self._peers[a].last_send_s,
            ),
        )
        self._peers.pop(oldest).close()
        return True

    def _close_idle_peers(self) -> None:
        cutoff_s = _now() - PEER_IDLE_TIMEOUT_S
        idle_addresses = [
            a for a, peer in self._peers.items() if peer.last_send_s < cutoff_s
        ]
        for address in idle_addresses:
            self._peers.pop(address).close()


class _Peer:
    """The connection to one peer.

    A send blocks for at most `CONNECT_TIMEOUT_S` after the dial or the last
    successful send. After that the peer is considered unreachable, and sends
    fail immediately until the connection is re-established.

    Attributes:
        probed_send_s: Monotonic time of the send that the last probe followed.
        incarnation: Random id of the process that was last heard from there,
            empty before.
    """

    def __init__(self, address: str, source_ip: str):
        remote = address.removeprefix(_SCHEME)
        self._socket = pynng.Push0(
            dial=f"{_SCHEME}{source_ip};{remote}",
            block_on_dial=False,
            send_buffer_size=0,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self._writable_fd = self._socket.send_fd
        self._send_lock = curio.Lock()
        self._last_send_s = _now()
        self._last_success_s = self._last_send_s
        self._unreachable = False
        self.probed_send_s = 0.0
        self.incarnation = ""

    @property
    def unreachable(self) -> bool:
        """Whether the last send failed for want of a connection."""
        return self._unreachable

    @property
    def has_waiting_send(self) -> bool:
        """Whether a send is waiting for the connection."""
        return self._send_lock.locked()

    @property
    def last_send_s(self) -> float:
        """Monotonic time of the last attempted send, in seconds."""
        return self._last_send_s

    def try_send(self, data: bytes) -> SendResult | None:
        """Sends encoded bytes; returns None if that would block."""
        if self._send_lock.locked():
            return None
        return self._send_now(data)

    async def send(self, data: bytes) -> SendResult:
        """Sends bytes, or returns that they did not leave this process."""
        async with self._send_lock:
            while True:
                result = self._send_now(data)
                if result is not None:
                    return result
                remaining_s = self._last_success_s + CONNECT_TIMEOUT_S - _now()
                if remaining_s <= 0:
                    self._unreachable = True
                    return NotSent("no-connection")
                await self._wait_until_writable(remaining_s)

    async def flush(self) -> None:
        """Waits until the last message has left, for a limited time."""
        async with self._send_lock:
            if _now() - self._last_success_s < FLUSH_TIMEOUT_S:
                await self._wait_until_writable(FLUSH_TIMEOUT_S)

    def close(self) -> None:
        """Closes the connection."""
        self._socket.close()

    async def _wait_until_writable(self, timeout_s: float) -> None:
        await curio.ignore_after(timeout_s, traps._read_wait, self._writable_fd)

    def _send_now(self, data: bytes) -> SendResult | None:
        self._last_send_s = _now()
        try:
            self._socket.send(data, block=False)
        except pynng.TryAgain:
            return None
        except pynng.NNGException as error:
            return NotSent(type(error).__name__)
        self._last_success_s = self._last_send_s
        self._unreachable = False
        return Sent()


class MemoryNetwork:
    """Connects the in-memory buses of one test by their addresses."""

    def __init__(self):
        self._buses: dict[str, MemoryBus] = {}
        self._unreachable: set[str] = set()

    def attach(self, bus: "MemoryBus") -> None:
        """Makes a bus reachable at its address."""
        self._buses[bus.address] = bus

    def cut(self, address: str) -> None:
        """Makes sends to an address fail with `NotSent`."""
        self._unreachable.add(address)

    def heal(self, address: str) -> None:
        """Makes a cut address reachable again."""
        self._unreachable.discard(address)

    def find(self, address: str) -> "MemoryBus | None":
        """Returns the reachable bus at an address."""
        if address in self._unreachable:
            return None
        return self._buses.get(address)


class MemoryBus(Bus):
    """A bus within one process; messages are encoded as on the wire.

    Args:
        name: Name of the simulated process.
        address: Any string that is unique in the network.
        metrics: Counts dropped and unsent messages.
        network: The network that the bus is attached to.
    """

    def __init__(
        self,
        name: str,
        address: str,
        metrics: metrics_module.Metrics,
        network: MemoryNetwork,
    ):
        super().__init__(name, address, metrics)
        self._network = network
        self._inbox = curio.Queue()
        network.attach(self)

    async def run(self) -> None:
        """Receives until cancelled."""
        while True:
            await self.receive(await self._inbox.get())

    async def flush(self) -> None:
        """Does nothing: messages are delivered immediately."""

    def disconnect(self, address: str) -> None:
        """Does nothing: there are no connections."""

    def close(self) -> None:
        """Does nothing: there are no sockets."""

    def _record_sender(self, address: str, incarnation: str) -> None:
        """Does nothing: there are no connections."""

    async def _transmit(self, address: str, data: bytes) -> SendResult:
        peer = self._network.find(address)
        if peer is None:
            return NotSent("no-connection")
        await peer._inbox.put(data)
        return Sent()

    async def _try_transmit(
        self, address: str, data: bytes
    ) -> SendResult | None:
        return await self._transmit(address, data)


def _now() -> float:
    return time.monotonic()
