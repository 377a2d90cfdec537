import collections
import contextlib
import functools
import socket
import subprocess
import sys

import curio
from hypothesis import given
from hypothesis import strategies
import msgspec
import pynng
import pytest

from pomelostair import bus
from pomelostair import messages
from pomelostair import wire
from pomelostair_standins import site

WAIT_S = 20.0
# A process that calls a receiver over four connections, one after the other.
_SENDER = """
import sys
import curio
from pomelostair import bus, messages, metrics
from pomelostair_standins import site

async def main():
    address, number = sys.argv[1], int(sys.argv[2])
    sender = bus.NngBus("s", f"tcp://{site.free_address()}", metrics.Metrics())
    task = await curio.spawn(sender.run, daemon=True)
    for _ in range(4):
        result = await sender.call(address, messages.Nudge(number), 5.0)
        assert isinstance(result, bus.Answered), result
        sender.disconnect(address)
    await task.cancel()
    sender.close()

curio.run(main)
"""


class CountingMetrics:
    """Metrics double that records its counters."""

    def __init__(self):
        self.counts = collections.Counter()

    def count(self, name, amount=1, **labels):
        self.counts[(name, *labels.values())] += amount


class Pair:
    """Two connected buses `a` and `b`; `b` answers `Nudge`.

    A nudge with epoch 666 crashes the handler; one with a negative epoch is
    not answered.
    """

    def __init__(self, kind):
        self._network = bus.MemoryNetwork()
        self._kind = kind
        self.metrics = {"a": CountingMetrics(), "b": CountingMetrics()}
        self.a = self.make_bus("a")
        self.b = self.make_bus("b")
        self.b.handle(messages.Nudge, self._on_nudge)
        self.received_epochs = []

    def make_bus(self, name):
        metrics = self.metrics[name]
        if self._kind == "memory":
            return bus.MemoryBus(name, f"mem:{name}", metrics, self._network)
        return bus.NngBus(name, f"tcp://{site.free_address()}", metrics)

    async def _on_nudge(self, message, envelope):
        self.received_epochs.append(message.epoch)
        if message.epoch == 666:
            raise ValueError("crash")
        if message.epoch < 0:
            return
        await self.b.reply(envelope, message)

    def run(self, body):
        async def main():
            tasks = [
                await curio.spawn(each.run, daemon=True)
                for each in (self.a, self.b)
            ]
            try:
                return await curio.timeout_after(WAIT_S, body)
            finally:
                for task in tasks:
                    await task.cancel()
                self.a.close()
                self.b.close()

        return curio.run(main)


@pytest.fixture(params=["memory", "nng"])
def pair(request):
    return Pair(request.param)


async def wait_until(condition):
    while not condition():
        await curio.sleep(0.01)


class TestBus:
    def test_call_gets_its_own_answer(self, pair):
        async def body():
            tasks = [
                await curio.spawn(
                    pair.a.call, pair.b.address, messages.Nudge(n), 10.0
                )
                for n in range(50)
            ]
            return [(await task.join()).message.epoch for task in tasks]

        assert pair.run(body) == list(range(50))

    def test_posted_message_arrives_without_waiting(self, pair):
        async def body():
            for n in range(5):
                await pair.a.post(pair.b.address, messages.Nudge(n))
            await wait_until(lambda: len(pair.received_epochs) == 5)

        pair.run(body)
        assert sorted(pair.received_epochs) == list(range(5))

    def test_bytes_are_counted_by_kind(self, pair):
        async def body():
            await pair.a.call(pair.b.address, messages.Nudge(1), 10.0)

        pair.run(body)
        tag = wire.tag_of(messages.Nudge(1))
        sent, received = pair.metrics["a"].counts, pair.metrics["b"].counts
        assert sent["messages_sent", tag] == 1
        assert received["messages_received", tag] == 1
        assert sent["message_bytes_sent", tag] == pair.a.sent_bytes
        assert received["message_bytes_received", tag] == pair.b.received_bytes

    def test_call_without_an_answer_times_out(self, pair):
        call = functools.partial(
            pair.a.call, pair.b.address, messages.Nudge(-1), 0.05
        )
        assert pair.run(call) == bus.NoAnswer()

    def test_call_to_an_unreachable_address_is_not_sent(self, pair):
        unreachable = f"tcp://{site.free_address()}"
        call = functools.partial(
            pair.a.call, unreachable, messages.Nudge(1), 5.0
        )
        assert pair.run(call) == bus.NotSent("no-connection")

    def test_late_answer_is_counted_and_dropped(self, pair):
        envelope = wire.Envelope(
            "nudge", "b", "1", pair.b.address, "old", False, msgspec.Raw(b"")
        )

        async def body():
            await pair.a.reply(envelope, messages.Nudge(1))
            metrics = pair.metrics["b"]
            await wait_until(
                lambda: metrics.counts["messages_dropped", "late-answer"]
            )

        pair.run(body)

    def test_exception_in_a_handler_does_not_stop_the_bus(self, pair):
        async def body():
            await pair.a.send(pair.b.address, messages.Nudge(666))
            return await pair.a.call(pair.b.address, messages.Nudge(1), 10.0)

        assert pair.run(body).message == messages.Nudge(1)
        counts = pair.metrics["b"].counts
        assert counts["messages_dropped", "handler-crashed"] == 1

    def test_unhandled_message_is_counted_and_dropped(self, pair):
        async def body():
            await pair.a.send(pair.b.address, messages.ShowJob("x"))
            return await pair.a.call(pair.b.address, messages.Nudge(1), 10.0)

        assert isinstance(pair.run(body), bus.Answered)
        counts = pair.metrics["b"].counts
        assert counts["messages_dropped", "unhandled"] == 1

    @given(strategies.binary(max_size=100))
    def test_malformed_bytes_are_counted_and_dropped(self, data):
        metrics = CountingMetrics()
        network = bus.MemoryNetwork()
        curio.run(bus.MemoryBus("a", "a", metrics, network).receive, data)
        assert metrics.counts["messages_dropped", "malformed"] == 1


class TestNngBus:
    def test_replies_to_a_dead_peer_do_not_block(self):
        pair = Pair("nng")
        dead_address = f"tcp://{site.free_address()}"
        envelope = wire.Envelope(
            "nudge", "x", "1", dead_address, "c", False, msgspec.Raw(b"")
        )

        async def body():
            for _ in range(100):
                await pair.b.reply(envelope, messages.Nudge(0))
            return await pair.a.call(pair.b.address, messages.Nudge(1), 10.0)

        assert isinstance(pair.run(body), bus.Answered)

    def test_posts_that_wait_are_bounded(self, monkeypatch):
        """Each holds its message until the connection is given up."""
        monkeypatch.setattr(bus, "MAX_WAITING_POSTS", 2)
        pair = Pair("nng")
        dead = f"tcp://{site.free_address()}"

        async def body():
            for n in range(5):
                await pair.a.post(dead, messages.Nudge(n))
            await wait_until(lambda: not pair.a._waiting_posts)

        pair.run(body)
        counts = pair.metrics["a"].counts
        assert counts["messages_not_sent", "too-many-waiting"] == 3

    def test_sends_to_a_dead_peer_block_only_once(self):
        pair = Pair("nng")
        dead_address = f"tcp://{site.free_address()}"

        async def body():
            return {
                await pair.a.send(dead_address, messages.Nudge(0))
                for _ in range(100)
            }

        assert pair.run(body) == {bus.NotSent("no-connection")}

    def test_concurrent_sends_to_an_unreachable_peer_fail(self):
        pair = Pair("nng")
        dead_address = f"tcp://{site.free_address()}"

        async def body():
            tasks = [
                await curio.spawn(pair.a.send, dead_address, messages.Nudge(0))
                for _ in range(10)
            ]
            return {await task.join() for task in tasks}

        assert pair.run(body) == {bus.NotSent("no-connection")}

    def test_peer_without_a_handshake_does_not_block_other_sends(self):
        pair = Pair("nng")

        async def body():
            with socket.socket() as silent:
                silent.bind(("127.0.0.1", 0))
                silent.listen()
                address = f"tcp://127.0.0.1:{silent.getsockname()[1]}"
                blocked_send = await curio.spawn(
                    pair.a.send, address, messages.Nudge(0)
                )
                answered = await pair.a.call(
                    pair.b.address, messages.Nudge(1), 10.0
                )
                assert not blocked_send.terminated
                return answered, await blocked_send.join()

        answered, blocked_send = pair.run(body)
        assert isinstance(answered, bus.Answered)
        assert blocked_send == bus.NotSent("no-connection")

    def test_foreign_bytes_do_not_stop_the_bus(self):
        pair = Pair("nng")
        host, _, port = pair.b.address[len("tcp://") :].rpartition(":")

        async def body():
            for data in (
                b"GET / HTTP/1.1\r\n\r\n",
                b"\x00SP\x00",
                b"\xff" * 99,
            ):
                with (
                    socket.create_connection((host, int(port))) as foreign,
                    contextlib.suppress(OSError),
                ):
                    foreign.sendall(data)
            return await pair.a.call(pair.b.address, messages.Nudge(1), 10.0)

        assert isinstance(pair.run(body), bus.Answered)

    def test_message_over_the_limit_is_not_sent(self):
        pair = Pair("nng")
        huge = messages.Served(200, (), b"z" * wire.MAX_MESSAGE_BYTES)

        async def body():
            sent = await pair.a.send(pair.b.address, huge)
            answered = await pair.a.call(
                pair.b.address, messages.Nudge(1), 10.0
            )
            return sent, answered

        sent, answered = pair.run(body)
        assert sent == bus.NotSent("too-large")
        assert isinstance(answered, bus.Answered)

    def test_connections_to_made_up_addresses_are_bounded(self):
        """Guards against descriptors taken by made-up addresses."""
        metrics = CountingMetrics()
        sender = bus.NngBus(
            "s",
            f"tcp://{site.free_address()}",
            metrics,
            limits=bus.Limits(10_000, 3),
        )

        async def body():
            for number in range(9):
                await sender._try_transmit(f"tcp://127.0.0.1:{number + 1}", b"")
            assert len(sender._peers) == 3
            sender._report_limits()

        try:
            curio.run(curio.timeout_after, WAIT_S, body)
        finally:
            sender.close()
        assert metrics.counts["limits_reached", "bus", "addresses"] == 6

    def test_peers_reconnect_beside_silent_connections(self):
        """Guards against a receiver that closes new connections.

        Closing them in a callback of pynng ended the sending processes with
        SIGSEGV, and kept out peers that came after idle connections.
        """
        address = f"tcp://{site.free_address()}"
        receiver = bus.NngBus(
            "r", address, CountingMetrics(), limits=bus.Limits(10_000, 10)
        )
        received = collections.Counter()

        async def on_nudge(message, envelope):
            received[message.epoch] += 1
            await receiver.reply(envelope, message)

        receiver.handle(messages.Nudge, on_nudge)
        host, _, port = address.removeprefix("tcp://").rpartition(":")

        async def body():
            task = await curio.spawn(receiver.run, daemon=True)
            clients = [
                socket.create_connection((host, int(port))) for _ in range(40)
            ]
            for client in clients[:20]:
                client.sendall(b"\x00SP\x00\x00\x50\x00\x00")
            await curio.sleep(0.1)
            senders = [
                subprocess.Popen(
                    [sys.executable, "-c", _SENDER, address, str(number)]
                )
                for number in range(5)
            ]
            await wait_until(lambda: all(s.poll() is not None for s in senders))
            for client in clients:
                client.close()
            await task.cancel()
            return [sender.returncode for sender in senders]

        try:
            codes = curio.run(curio.timeout_after, WAIT_S, body)
        finally:
            receiver.close()
        assert codes == [0] * 5
        assert received == dict.fromkeys(range(5), 4)

    def test_flush_goes_on_when_connections_change_meanwhile(self):
        """Guards a graceful stop that ended with a crash (exit code 1)."""
        own = bus.NngBus(
            "own", f"tcp://{site.free_address()}", CountingMetrics()
        )
        flushed = []

        class FakePeer:
            def __init__(self, name):
                self.name = name

            async def flush(self):
                flushed.append(self.name)
                for number in range(2):
                    later = f"later-{self.name}-{number}"
                    own._peers[later] = FakePeer(later)
                own._peers.pop("closed", None)

            def close(self):
                pass

        own._peers = {name: FakePeer(name) for name in ("a", "closed", "b")}
        try:
            curio.run(own.flush)
        finally:
            own.close()
        assert flushed == ["a", "b"]

    def test_flushed_message_arrives_after_close(self):
        pair = Pair("nng")
        big = messages.Served(200, (), b"z" * 10_000_000)
        arrived = []

        async def on_served(message, _envelope):
            arrived.append(len(message.body))

        async def body():
            pair.b.handle(messages.Served, on_served)
            await pair.a.send(pair.b.address, big)
            await pair.a.flush()
            pair.a.close()
            await wait_until(lambda: arrived)

        pair.run(body)
        assert arrived == [10_000_000]

    @pytest.mark.parametrize("address", ["", "ipc:///x", "tcp://", "tcp://x:y"])
    def test_bad_address_is_not_sent(self, address):
        pair = Pair("nng")
        send = functools.partial(pair.a.send, address, messages.Nudge(1))
        assert isinstance(pair.run(send), bus.NotSent)


class TestProbe:
    def test_silent_connection_is_replaced(self):
        """The peer first accepts bytes without answering, then recovers."""

        async def main():
            metrics = CountingMetrics()
            address = f"tcp://{site.free_address()}"
            own = bus.NngBus("own", f"tcp://{site.free_address()}", metrics)
            await curio.spawn(own.run, daemon=True)
            silent = pynng.Pull0(listen=address)
            assert isinstance(await own.send(address, bus.Probe()), bus.Sent)
            assert not await own.probe(address, 0.2)
            assert address not in own._peers
            silent.close()
            peer = bus.NngBus("peer", address, metrics)
            await curio.spawn(peer.run, daemon=True)
            assert await own.probe(address, 5.0)
            own.close()
            peer.close()

        curio.run(main)


class TestRestartedPeer:
    def test_first_message_to_a_host_that_was_dark_is_sent(self):
        """Guards against orders that are dropped until they are repeated.

        A connection that could not be made is tried again by the operating
        system after 1, 3 and 7 s only.
        """

        async def main():
            metrics = CountingMetrics()
            address = site.free_address()
            bus_address = f"tcp://{address}"
            own = bus.NngBus("own", f"tcp://{site.free_address()}", metrics)
            await curio.spawn(own.run, daemon=True)
            with contextlib.ExitStack() as stack:
                fill_accept_queue(address, stack)
                sent = await own.send(bus_address, messages.Nudge(1))
                assert sent == bus.NotSent("no-connection")
            peer = bus.NngBus("peer", bus_address, metrics)
            epochs = []

            async def record_epoch(message, _envelope):
                epochs.append(message.epoch)

            async def post_answer(_message, envelope):
                await own.post(envelope.reply_to, messages.Nudge(2))

            peer.handle(messages.Nudge, record_epoch)
            own.handle(messages.Nudge, post_answer)
            await curio.spawn(peer.run, daemon=True)
            await peer.send(own.address, messages.Nudge(1))
            await curio.timeout_after(WAIT_S, wait_until, lambda: epochs)
            assert epochs == [2]
            own.close()
            peer.close()

        curio.run(main)

    def test_connection_to_an_earlier_process_is_not_used(self):
        """Guards against messages to a process that lost power."""
        pair = Pair("nng")

        async def body():
            await pair.a.call(pair.b.address, messages.Nudge(1), WAIT_S)
            connection = pair.a._peers[pair.b.address]
            await pair.a.call(pair.b.address, messages.Nudge(2), WAIT_S)
            assert pair.a._peers[pair.b.address] is connection
            pair.b._incarnation = "restarted"
            await pair.a.call(pair.b.address, messages.Nudge(3), WAIT_S)
            assert pair.b.address not in pair.a._peers
            await pair.a.call(pair.b.address, messages.Nudge(4), WAIT_S)

        pair.run(body)
        assert pair.received_epochs == [1, 2, 3, 4]

    def test_connection_with_a_waiting_send_is_renewed_later(self):
        """Guards against forgetting a restart while a send waits."""
        pair = Pair("nng")
        counts = pair.metrics["a"].counts

        async def body():
            await pair.a.call(pair.b.address, messages.Nudge(1), WAIT_S)
            connection = pair.a._peers[pair.b.address]
            pair.b._incarnation = "restarted"
            async with connection._send_lock:
                await pair.b.send(pair.a.address, messages.Nudge(2))
                await wait_until(
                    lambda: counts["messages_dropped", "unhandled"]
                )
                assert pair.a._peers[pair.b.address] is connection
            await pair.a.call(pair.b.address, messages.Nudge(3), WAIT_S)
            assert pair.b.address not in pair.a._peers

        pair.run(body)


def fill_accept_queue(address, stack):
    """Lets connections to an address hang, as those to a dark host do."""
    host, _, port = address.rpartition(":")
    listener = stack.enter_context(socket.socket())
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(0)
    for _ in range(4):
        waiting = stack.enter_context(socket.socket())
        waiting.setblocking(False)
        waiting.connect_ex((host, int(port)))
