import collections
import contextlib
import functools
import socket

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


class Recorder:
    """Counts in place of the metrics."""

    def __init__(self):
        self.counts = collections.Counter()

    def count(self, name, amount=1, **labels):
        self.counts[(name, *labels.values())] += amount


class Pair:
    """Two buses; the second one answers `Nudge`."""

    def __init__(self, kind):
        self._network = bus.MemoryNetwork()
        self._kind = kind
        self.recorders = {"a": Recorder(), "b": Recorder()}
        self.a = self.make("a")
        self.b = self.make("b")
        self.b.handle(messages.Nudge, self._on_nudge)
        self.seen = []

    def make(self, name):
        recorder = self.recorders[name]
        if self._kind == "memory":
            return bus.MemoryBus(name, f"mem:{name}", recorder, self._network)
        return bus.NngBus(name, f"tcp://{site.free_address()}", recorder)

    async def _on_nudge(self, message, envelope):
        self.seen.append(message.epoch)
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


async def until(condition):
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

    def test_silence_is_no_answer(self, pair):
        call = functools.partial(
            pair.a.call, pair.b.address, messages.Nudge(-1), 0.05
        )
        assert pair.run(call) == bus.NoAnswer()

    def test_nobody_there_is_not_sent(self, pair):
        nobody = f"tcp://{site.free_address()}"
        call = functools.partial(pair.a.call, nobody, messages.Nudge(1), 5.0)
        assert pair.run(call) == bus.NotSent("no-connection")

    def test_late_answer_is_counted_and_dropped(self, pair):
        envelope = wire.Envelope(
            "nudge", "b", "1", pair.b.address, "old", False, msgspec.Raw(b"")
        )

        async def body():
            await pair.a.reply(envelope, messages.Nudge(1))
            recorder = pair.recorders["b"]
            await until(
                lambda: recorder.counts["messages_dropped", "late-answer"]
            )

        pair.run(body)

    def test_crash_of_a_handler_is_survived(self, pair):
        async def body():
            await pair.a.send(pair.b.address, messages.Nudge(666))
            return await pair.a.call(pair.b.address, messages.Nudge(1), 10.0)

        assert pair.run(body).message == messages.Nudge(1)
        counts = pair.recorders["b"].counts
        assert counts["messages_dropped", "handler-crashed"] == 1

    def test_unhandled_message_is_counted_and_dropped(self, pair):
        async def body():
            await pair.a.send(pair.b.address, messages.ShowJob("x"))
            return await pair.a.call(pair.b.address, messages.Nudge(1), 10.0)

        assert isinstance(pair.run(body), bus.Answered)
        counts = pair.recorders["b"].counts
        assert counts["messages_dropped", "unhandled"] == 1

    @given(strategies.binary(max_size=100))
    def test_any_bytes_are_counted_and_dropped(self, data):
        recorder = Recorder()
        network = bus.MemoryNetwork()
        curio.run(bus.MemoryBus("a", "a", recorder, network).receive, data)
        assert recorder.counts["messages_dropped", "malformed"] == 1


class TestNngBus:
    def test_replies_to_a_dead_peer_wait_for_nothing(self):
        pair = Pair("nng")
        dead = f"tcp://{site.free_address()}"
        gone = wire.Envelope(
            "nudge", "x", "1", dead, "c", False, msgspec.Raw(b"")
        )

        async def body():
            for _ in range(100):
                await pair.b.reply(gone, messages.Nudge(0))
            return await pair.a.call(pair.b.address, messages.Nudge(1), 10.0)

        assert isinstance(pair.run(body), bus.Answered)

    def test_dead_peer_costs_one_wait_not_one_for_each_send(self):
        pair = Pair("nng")
        dead = f"tcp://{site.free_address()}"

        async def body():
            return {
                await pair.a.send(dead, messages.Nudge(0)) for _ in range(100)
            }

        assert pair.run(body) == {bus.NotSent("no-connection")}

    def test_concurrent_sends_to_a_peer_that_is_away(self):
        pair = Pair("nng")
        dead = f"tcp://{site.free_address()}"

        async def body():
            tasks = [
                await curio.spawn(pair.a.send, dead, messages.Nudge(0))
                for _ in range(10)
            ]
            return {await task.join() for task in tasks}

        assert pair.run(body) == {bus.NotSent("no-connection")}

    def test_peer_that_accepts_but_never_speaks(self):
        pair = Pair("nng")

        async def body():
            with socket.socket() as silent:
                silent.bind(("127.0.0.1", 0))
                silent.listen()
                address = f"tcp://127.0.0.1:{silent.getsockname()[1]}"
                stuck = await curio.spawn(
                    pair.a.send, address, messages.Nudge(0)
                )
                answered = await pair.a.call(
                    pair.b.address, messages.Nudge(1), 10.0
                )
                assert not stuck.terminated
                return answered, await stuck.join()

        answered, stuck = pair.run(body)
        assert isinstance(answered, bus.Answered)
        assert stuck == bus.NotSent("no-connection")

    def test_foreign_bytes_at_the_inbox_are_survived(self):
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

    def test_answer_sent_just_before_the_close_arrives(self):
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
            await until(lambda: arrived)

        pair.run(body)
        assert arrived == [10_000_000]

    @pytest.mark.parametrize("address", ["", "ipc:///x", "tcp://", "tcp://x:y"])
    def test_bad_address_is_not_sent(self, address):
        pair = Pair("nng")
        send = functools.partial(pair.a.send, address, messages.Nudge(1))
        assert isinstance(pair.run(send), bus.NotSent)


class TestProbe:
    def test_connection_that_went_silent_is_replaced(self):
        """A peer that takes bytes and never answers, then one that does."""

        async def main():
            counters = Recorder()
            address = f"tcp://{site.free_address()}"
            own = bus.NngBus("own", f"tcp://{site.free_address()}", counters)
            await curio.spawn(own.run, daemon=True)
            silent = pynng.Pull0(listen=address)
            assert isinstance(await own.send(address, bus.Probe()), bus.Sent)
            assert not await own.probe(address, 0.2)
            assert address not in own._peers
            silent.close()
            peer = bus.NngBus("peer", address, counters)
            await curio.spawn(peer.run, daemon=True)
            assert await own.probe(address, 5.0)
            own.close()
            peer.close()

        curio.run(main)
