"""Gossip between the pipeline entries: members, leader and queues.

Each entry registers itself in the store when it starts, and sends its view to
other entries at intervals. Entries that can't use the store thus still learn of
a new leader or a new queue configuration.
"""

import math

import attrs
import curio

from pomelostair import bus as bus_module
from pomelostair import circuitbreaker
from pomelostair import clock as clock_module
from pomelostair import errors
from pomelostair import events
from pomelostair import kernel
from pomelostair import log
from pomelostair import outcome
from pomelostair import pipelinemessages as messages
from pomelostair import queues
from pomelostair import queuewatch
from pomelostair import relaytable
from pomelostair import settings as settings_module
from pomelostair import store

PREFIX = "entries/cell/"
GOSSIP_INTERVAL_S = 0.4
# Age at which information about the leader is outdated: three gossip rounds.
SILENCE_TIMEOUT_S = 1.3
# Entries that receive one round of gossip; larger sets are covered in turn. The
# leader sends each round to all, since only its own messages show that it runs.
GOSSIP_FANOUT = 3
# Rounds from one that names the known entries to the next.
ROUNDS_PER_ENTRY_LIST = 8
RETRY_S = 0.25
# A document of 300 KB takes a quarter of a second on a link of 10 Mbit/s.
QUERY_TIMEOUT_S = 2.0
# Peers are asked for the queues once the store has not confirmed them for this
# long. Before that, their answers would only share the link with the store's.
QUERY_AFTER_S = 2.0
SCAN_INTERVAL_S = 10.0


@attrs.define
class _Peer:
    """Another entry.

    Attributes:
        bus: Its bus URL.
        last_message_s: Clock reading at its last message, 0 before the first.
    """

    bus: str
    last_message_s: float = 0.0


@kernel.plugin(settings_module.Role.PIPELINE_ENTRY)
class EntryPeers(kernel.Plugin):
    """Tracks the other entries, the leader and the active queues."""

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._clock = clock_module.BoottimeClock()
        self._peers: dict[str, _Peer] = {
            bus: _Peer(bus)
            for bus in parts.settings.pipelines.seeds
            if bus != parts.bus.address
        }
        direct_table = circuitbreaker.CircuitBreakerTable(
            parts.table, self._clock
        )
        self._table = relaytable.RelayTable(
            direct_table, parts.bus, self.peers, self._clock
        )
        self._relay = relaytable.Relay(direct_table)
        self._leader = messages.LeaderInfo()
        self._leader_update_s = 0.0
        self._queues = queues.QueueTable()
        self._queues_document = b""
        # Whether a peer is being asked for its queues.
        self._fetching = False
        self._queue_watch = queuewatch.QueueWatch(
            self._table,
            parts.port,
            parts.settings.pipelines.reconnect_ms,
            parts.metrics,
            self._clock,
            lambda document: self._apply_queues(document, "the store"),
        )
        self._pending: dict[str, int] = {}
        self._pending_update_s = 0.0
        self._draining = False
        self._gossip_position = 0
        self._gossip_round = 0
        # Set by the pipeline leader; returns its pending pipelines by queue.
        self.count_pending = None
        for message_type in (
            messages.RelayedRead,
            messages.RelayedScan,
            messages.RelayedWatch,
            messages.RelayedCommit,
        ):
            parts.bus.handle(message_type, self._on_relayed)
        parts.bus.handle(messages.Peers, self._on_peers)
        parts.bus.handle(messages.FindLeader, self._on_find_leader)
        parts.bus.handle(messages.QueuesQuery, self._on_queues_query)
        parts.metrics.gauge("queues_version", lambda: self._queues.version)
        parts.metrics.gauge(
            "queues_age_seconds", lambda: self._queue_watch.age_s
        )
        parts.metrics.gauge("leader_epoch", lambda: self._leader.epoch)
        parts.metrics.gauge("store_reached", lambda: not direct_table.is_open)

    @property
    def table(self) -> store.Table:
        """The store; relayed by a peer while it can't be used directly."""
        return self._table

    @property
    def queues(self) -> queues.QueueTable:
        """The active queue configuration; it may change at any time."""
        return self._queues

    @property
    def leader(self) -> messages.LeaderInfo:
        """The current leader; its `bus` is empty while none is known."""
        return self._leader

    @property
    def leader_silence_s(self) -> float:
        """Seconds since the last news of the leader."""
        return self._clock.now() - self._leader_update_s

    @property
    def pending(self) -> dict[str, int] | None:
        """Pending pipelines by queue as counted by the leader, None if old."""
        if self._clock.now() - self._pending_update_s > SILENCE_TIMEOUT_S:
            return None
        return self._pending

    def peers(self) -> tuple[str, ...]:
        """Returns the bus URLs of the other entries, latest sender first."""
        by_last_message = sorted(
            self._peers.values(), key=lambda p: -p.last_message_s
        )
        return tuple(p.bus for p in by_last_message)

    def update_leader(self, leader: messages.LeaderInfo) -> None:
        """Records the current leader; one of an older epoch is ignored."""
        if leader.epoch < self._leader.epoch:
            return
        if leader != self._leader:
            event = events.Events.PIPELINE_LEADER_FOUND
            if not leader.bus:
                event = events.Events.PIPELINE_LEADER_LOST
            log.emit(event, epoch=leader.epoch, leader=leader.name)
        self._leader = leader
        self._leader_update_s = self._clock.now()

    async def run(self) -> None:
        """Gossips and watches the queue configuration until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._gossip_at_intervals)
            await group.spawn(self._queue_watch.run)
            await group.spawn(self._register_and_scan)
        _ = group.result

    async def announce(self) -> None:
        """Sends this entry's view to every known entry at once."""
        for bus in self.peers():
            await self._parts.bus.post(bus, self._peers_message())

    async def drain(self, timeout_s: float) -> None:
        """Announces to the other entries that this one shuts down."""
        self._draining = True
        await self.announce()

    def _peers_message(self, names_entries: bool = True) -> messages.Peers:
        pending = None
        if self._leader.bus == self._parts.bus.address and self.count_pending:
            pending = self.count_pending()
        now_s = self._clock.now()
        leader = self._leader
        if (
            pending is None
            and now_s - self._leader_update_s > SILENCE_TIMEOUT_S
        ):
            # Repeating outdated news would keep others from noticing that the
            # leader has failed.
            leader = attrs.evolve(leader, name="", bus="")
        return messages.Peers(
            self._parts.settings.name,
            "" if self._draining else self._parts.bus.address,
            leader,
            self._live_entries() if names_entries else (),
            self._queues.version,
            pending,
        )

    def _live_entries(self) -> tuple[str, ...]:
        return tuple(p.bus for p in self._peers.values() if p.last_message_s)

    def gossip_targets(self) -> tuple[str, ...]:
        """Returns the bus URLs of the entries that get the next round."""
        addresses = [p.bus for p in self._peers.values()]
        if self._leader.bus == self._parts.bus.address:
            return tuple(addresses)
        count = min(GOSSIP_FANOUT, len(addresses))
        first = self._gossip_position
        self._gossip_position += count
        return tuple(
            addresses[n % len(addresses)] for n in range(first, first + count)
        )

    async def _gossip_at_intervals(self) -> None:
        while True:
            names_entries = self._gossip_round % ROUNDS_PER_ENTRY_LIST == 0
            self._gossip_round += 1
            message = self._peers_message(names_entries)
            for bus in self.gossip_targets():
                await self._parts.bus.post(bus, message)
            await curio.sleep(GOSSIP_INTERVAL_S)

    async def _register_and_scan(self) -> None:
        """Writes this entry's row and reads those of the others.

        Repeated until both succeed, and then at longer intervals.
        """
        name = self._parts.settings.name
        key = f"{PREFIX}{name}"
        address = self._parts.bus.address.encode()
        written = False
        while True:
            if not written:
                transaction = store.Transaction(puts=(store.Put(key, address),))
                result = await self._table.commit(transaction)
                written = isinstance(result, outcome.Committed)
            page = await self._table.scan(PREFIX)
            if isinstance(page, store.Page):
                for row in page.rows:
                    self._add_peer(row.value.decode("utf-8", "replace"))
            done = written and isinstance(page, store.Page)
            await curio.sleep(SCAN_INTERVAL_S if done else RETRY_S)

    def _add_peer(self, bus: str) -> _Peer | None:
        if not bus or bus == self._parts.bus.address:
            return None
        if bus not in self._peers:
            log.emit(events.Events.PEER_JOINED, bus=bus)
        return self._peers.setdefault(bus, _Peer(bus))

    async def _on_peers(self, message: messages.Peers, envelope) -> None:
        now_s = self._clock.now()
        if not message.bus:
            self._peers.pop(envelope.reply_to, None)
        else:
            peer = self._add_peer(message.bus)
            if peer is not None:
                peer.last_message_s = now_s
        for bus in message.entries:
            self._add_peer(bus)
        leader = message.seat
        if leader.bus and (
            leader.epoch > self._leader.epoch
            or (
                leader.epoch == self._leader.epoch and leader.bus == message.bus
            )
        ):
            self.update_leader(leader)
        vacated = not leader.bus and leader == attrs.evolve(
            self._leader, name="", bus=""
        )
        if vacated and envelope.reply_to == self._leader.bus:
            self.update_leader(leader)
        if message.pending is not None:
            self._pending = message.pending
            self._pending_update_s = now_s
        if (
            message.queues_version > self._queues.version
            and message.bus
            and not self._fetching
            and self._queue_watch.age_s > QUERY_AFTER_S
        ):
            self._fetching = True
            await curio.spawn(self._fetch_queues, message.bus, daemon=True)

    async def _on_find_leader(self, _message, envelope) -> None:
        await self._parts.bus.reply(envelope, self._peers_message())

    async def _on_relayed(self, message, envelope) -> None:
        await curio.spawn(self._answer_relayed, message, envelope, daemon=True)

    async def _answer_relayed(self, message, envelope) -> None:
        result = await self._relay.answer(message)
        self._parts.metrics.count("store_operations_relayed")
        await self._parts.bus.reply(envelope, result)

    async def _on_queues_query(self, _message, envelope) -> None:
        answer = messages.QueuesDocument(
            self._queues.version, self._queues_document
        )
        await self._parts.bus.reply(envelope, answer)

    async def _fetch_queues(self, bus: str) -> None:
        try:
            result = await self._parts.bus.call(
                bus, messages.QueuesQuery(), QUERY_TIMEOUT_S
            )
        finally:
            self._fetching = False
        match result:
            case bus_module.Answered(
                message=messages.QueuesDocument(document=document)
            ) if document:
                self._apply_queues(document, "a peer")

    def _apply_queues(self, document: bytes, source: str) -> None:
        try:
            table = self._parts.port.decode_queues(document)
        except errors.MessageError as error:
            self._parts.metrics.count("configurations_refused")
            log.emit(events.Events.CONFIG_REFUSED, reason=str(error))
            return
        if table.version <= self._queues.version:
            return
        age_s = self._queue_watch.age_s
        log.emit(
            events.Events.CONFIG_APPLIED,
            version=table.version,
            before=self._queues.version,
            queues=len(table.queues),
            source=source,
            age_s=None if math.isinf(age_s) else round(age_s, 3),
        )
        self._queues = table
        self._queues_document = document
