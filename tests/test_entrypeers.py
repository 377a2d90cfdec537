import json
import math
import time

import attrs
import curio
import pytest

from pomelostair import bus as bus_module
from pomelostair import entrypeers
from pomelostair import metrics
from pomelostair import pipelinemessages as messages
from pomelostair import settings
from pomelostair import store
from pomelostair.platform import port
from tests import parts
from tests import silenttable
from tests import simulatedtime

METRICS = metrics.Metrics()
# Bounds of the platform in ms: from the loss of connections until a machine
# counts as in touch again, and from an acknowledgement until a change has to be
# in force.
SMALL = (3000, 2000)
GROWN = (4000, 3000)
# How much longer a change may take while the store turns machines away.
MAX_STRETCH_MS = 5000


class Entry:
    """An entry over a store whose connections may go silent.

    Args:
        silent_peers: Number of peers that never answer.
        reconnect_ms: Setting of the entry.
        peer: Another entry of the same site, which it knows.
    """

    def __init__(self, silent_peers=0, reconnect_ms=SMALL[0], peer=None):
        shared = peer and peer.table.table
        self.table = silenttable.SilentTable(shared)
        self.network = peer.network if peer else bus_module.MemoryNetwork()
        seeds = tuple(f"memory:peer-{n}" for n in range(silent_peers))
        for seed in seeds:
            bus_module.MemoryBus(seed, seed, METRICS, self.network)
        if peer:
            seeds = (peer.bus.address,)
        host, own_parts = parts.make_process(
            self.network,
            "other" if peer else "edge",
            self.table,
            role=settings.Role.PIPELINE_ENTRY,
            pipelines=settings.Pipelines(
                seeds=seeds, reconnect_ms=reconnect_ms
            ),
        )
        own_parts = attrs.evolve(own_parts, port=port.PlatformPort())
        self.bus = own_parts.bus
        self.peers = entrypeers.EntryPeers(own_parts, host)
        self.version = 0

    async def start(self):
        for run in (self.bus.run, self.peers.run):
            await curio.spawn(run, daemon=True)

    async def configure(self):
        """Writes the next version of the configuration."""
        self.version += 1
        document = {"version": self.version, "routes": [], "services": []}
        put = store.Put("op/config", json.dumps(document).encode())
        await self.table.table.commit(store.Transaction(puts=(put,)))

    async def wait_until_in_force(self):
        """Returns the clock reading at which the last version is in force."""
        deadline_s = time.monotonic() + 60
        while self.peers.queues.version < self.version:
            await curio.sleep(0.01)
            assert time.monotonic() < deadline_s
        return time.monotonic()


class TestQueues:
    @pytest.mark.parametrize("bounds", [SMALL, GROWN], ids=["small", "grown"])
    @pytest.mark.parametrize("silent_peers", [0, 11])
    @pytest.mark.parametrize("idle", [0, 1, 16])
    def test_change_is_in_force_in_time_on_silent_connections(
        self, idle, silent_peers, bounds, monkeypatch
    ):
        """Guards against a watch that outlasts the bound of a change.

        The connections of all entries go silent at once, also those between
        them, so that none can tell the others.
        """
        contact_s, apply_s = (bound / 1000 for bound in bounds)
        late_s = []

        async def body():
            entry = Entry(silent_peers, bounds[0])
            entry.table.idle = idle
            await entry.configure()
            await entry.start()
            await entry.wait_until_in_force()
            for step in range(60):
                await curio.sleep(7 + 0.037 * step)
                entry.table.silence()
                silent_s = time.monotonic()
                await curio.sleep(0.13 * (step % 30))
                await entry.configure()
                due_s = max(silent_s + contact_s, time.monotonic() + apply_s)
                late_s.append(await entry.wait_until_in_force() - due_s)

        simulatedtime.run(monkeypatch, body)
        assert max(late_s) <= 0

    @pytest.mark.parametrize("transfer_s", [0.3, 0.6, 0.9, 1.2])
    def test_large_change_is_in_force_in_time_over_a_slow_link(
        self, transfer_s, monkeypatch
    ):
        """Guards against taking a long answer for a missing one.

        The answer that brings 1,440 routes takes long, others do not.
        """
        took_s = []

        async def body():
            entry = Entry()
            await entry.configure()
            await entry.start()
            await entry.wait_until_in_force()
            entry.table.transfer_s = transfer_s
            for step in range(60):
                await curio.sleep(20 + 0.037 * step)
                await entry.configure()
                acked_s = time.monotonic()
                took_s.append(await entry.wait_until_in_force() - acked_s)

        simulatedtime.run(monkeypatch, body)
        assert max(took_s) <= SMALL[1] / 1000

    @pytest.mark.parametrize("fault", ["deaf", "down"])
    @pytest.mark.parametrize("calm_s", [0, 3, 6, 9])
    def test_a_peer_relays_while_the_store_turns_the_entry_away(
        self, calm_s, fault, monkeypatch
    ):
        """Guards an entry that the store alone does not answer.

        The peer sends no gossip. The bound is stretched while the store turns
        machines away.
        """
        took_s = []

        async def body():
            peer = Entry()
            await curio.spawn(peer.bus.run, daemon=True)
            entry = Entry(peer=peer)
            await entry.configure()
            await entry.start()
            await entry.wait_until_in_force()
            await curio.sleep(calm_s)
            setattr(entry.table, fault, True)
            for step in range(30):
                await curio.sleep(0.37 * step)
                await entry.configure()
                acked_s = time.monotonic()
                took_s.append(await entry.wait_until_in_force() - acked_s)

        simulatedtime.run(monkeypatch, body)
        assert max(took_s) <= (SMALL[1] + MAX_STRETCH_MS) / 1000


class TestGossip:
    @pytest.mark.parametrize("entries", [2, 3, 8, 18, 36])
    def test_every_entry_is_told_within_the_rounds_of_the_design(self, entries):
        """docs/design/platform.md computes how long a version may take."""
        entry = Entry(silent_peers=entries - 1)
        told = set()
        for _ in range(math.ceil((entries - 1) / entrypeers.GOSSIP_FANOUT)):
            told.update(entry.peers.gossip_targets())
        assert len(told) == entries - 1


class TestFetch:
    """Peers that all tell a newer version, over a link that is slow."""

    def most_queries_at_once(self, monkeypatch, deaf):
        counts = [0]

        async def body():
            entry = Entry()
            await entry.configure()
            await entry.start()
            await entry.wait_until_in_force()
            entry.table.deaf = deaf
            await curio.sleep(3.5)
            pending = 0

            async def answer_late(peer, envelope):
                nonlocal pending
                await curio.sleep(0.7)
                pending -= 1
                await peer.reply(envelope, messages.QueuesDocument(9, b""))

            async def on_query(peer, envelope):
                nonlocal pending
                pending += 1
                counts.append(pending)
                await curio.spawn(answer_late, peer, envelope, daemon=True)

            for n in range(11):
                name = f"memory:peer-{n}"
                peer = bus_module.MemoryBus(name, name, METRICS, entry.network)
                peer.handle(
                    messages.QueuesQuery,
                    lambda _m, envelope, peer=peer: on_query(peer, envelope),
                )
                await curio.spawn(peer.run, daemon=True)
                news = messages.Peers(
                    name, name, messages.LeaderInfo(), (), 9, None
                )
                for _ in range(3):
                    await peer.post(entry.bus.address, news)
            await curio.sleep(5)

        simulatedtime.run(monkeypatch, body)
        return max(counts)

    def test_one_peer_at_a_time_is_asked_for_a_large_configuration(
        self, monkeypatch
    ):
        """Guards a slow link against copies of one document from all peers."""
        assert self.most_queries_at_once(monkeypatch, deaf=True) == 1

    def test_no_peer_is_asked_while_the_store_answers(self, monkeypatch):
        """The answer of the store would share the link with theirs."""
        assert self.most_queries_at_once(monkeypatch, deaf=False) == 0
