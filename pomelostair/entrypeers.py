"""Entries that run pipelines know each other, their leader and their queues.

Each entry writes one row when it starts and tells the others what it knows at
intervals. So they find the leader, and learn a new configuration, also while
the store turns them away.
"""

import attrs
import curio

from pomelostair import bus as bus_module
from pomelostair import clock as clock_module
from pomelostair import errors
from pomelostair import events
from pomelostair import kernel
from pomelostair import log
from pomelostair import outcome
from pomelostair import pipelinemessages as messages
from pomelostair import queues
from pomelostair import relaytable
from pomelostair import settings as settings_module
from pomelostair import store

PREFIX = "entries/cell/"
GOSSIP_S = 0.4
# Silence after which a peer counts as away: three rounds of gossip.
SILENT_S = 1.3
# Entries that one round tells; more are reached in turn.
MAX_TOLD = 8
WATCH_S = 5.0
RETRY_S = 0.25
QUERY_TIMEOUT_S = 1.0
SCAN_S = 10.0


@attrs.define
class _Peer:
    """Another entry; `heard` is 0 until it was heard."""

    bus: str
    heard: float = 0.0


@kernel.plugin(settings_module.Role.PIPELINE_ENTRY)
class EntryPeers(kernel.Plugin):
    """Keeps the entries, the leader's seat and the queues in force."""

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._clock = clock_module.BoottimeClock()
        self._peers: dict[str, _Peer] = {
            bus: _Peer(bus)
            for bus in parts.settings.pipelines.seeds
            if bus != parts.bus.address
        }
        self._table = relaytable.RelayTable(
            parts.table, parts.bus, self._clock, self.peers
        )
        self._relay = relaytable.Relay(parts.table)
        self._seat = messages.LeaderInfo()
        self._seat_heard = 0.0
        self._queues = queues.QueueTable()
        self._document = b""
        self._pending: dict[str, int] = {}
        self._pending_heard = 0.0
        self._leaving = False
        self._turn = 0
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
        parts.metrics.gauge("leader_epoch", lambda: self._seat.epoch)
        parts.metrics.gauge("store_reached", lambda: self._table.reached)

    @property
    def table(self) -> store.Table:
        """The store, through a peer while it turns this process away."""
        return self._table

    @property
    def queues(self) -> queues.QueueTable:
        """The queues in force; read them again for each decision."""
        return self._queues

    @property
    def leader(self) -> messages.LeaderInfo:
        """The leader; without an address while none is known."""
        return self._seat

    @property
    def leader_silence_s(self) -> float:
        """Seconds since the leader was last heard."""
        return self._clock.now() - self._seat_heard

    @property
    def pending(self) -> dict[str, int] | None:
        """The leader's count of waiting pipelines, None if it is too old."""
        if self._clock.now() - self._pending_heard > SILENT_S:
            return None
        return self._pending

    def peers(self) -> tuple[str, ...]:
        """Returns the bus URLs of the other entries, those heard last first."""
        found = sorted(self._peers.values(), key=lambda p: -p.heard)
        return tuple(p.bus for p in found)

    def update_leader(self, leader: messages.LeaderInfo) -> None:
        """Takes in who leads; older epochs are ignored."""
        if leader.epoch < self._seat.epoch:
            return
        if leader != self._seat:
            event = events.Events.PIPELINE_LEADER_FOUND
            if not leader.bus:
                event = events.Events.PIPELINE_LEADER_LOST
            log.emit(event, epoch=leader.epoch, leader=leader.name)
        self._seat = leader
        self._seat_heard = self._clock.now()

    async def run(self) -> None:
        """Gossips and follows the configuration until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._gossip_at_intervals)
            await group.spawn(self._watch_queues)
            await group.spawn(self._read_entries)
        _ = group.result

    async def announce(self) -> None:
        """Tells every known entry at once."""
        for bus in self.peers():
            await curio.spawn(
                self._parts.bus.send, bus, self._message(), daemon=True
            )

    async def drain(self, timeout_s: float) -> None:
        """Tells the others that this entry leaves."""
        self._leaving = True
        await self.announce()

    def _message(self) -> messages.Peers:
        pending = None
        if self._seat.bus == self._parts.bus.address and self.count_pending:
            pending = self.count_pending()
        now = self._clock.now()
        seat = self._seat
        if pending is None and now - self._seat_heard > SILENT_S:
            # An old seat would keep others from noticing that it is empty.
            seat = attrs.evolve(seat, name="", bus="")
        return messages.Peers(
            self._parts.settings.name,
            "" if self._leaving else self._parts.bus.address,
            seat,
            tuple(p.bus for p in self._peers.values() if p.heard),
            self._queues.version,
            pending,
        )

    async def _gossip_at_intervals(self) -> None:
        while True:
            known = [p.bus for p in self._peers.values()]
            for _ in range(min(MAX_TOLD, len(known))):
                self._turn += 1
                bus = known[self._turn % len(known)]
                await curio.spawn(
                    self._parts.bus.send, bus, self._message(), daemon=True
                )
            await curio.sleep(GOSSIP_S)

    async def _read_entries(self) -> None:
        """Writes this entry's row and reads those of the others."""
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
                    self._meet(row.value.decode("utf-8", "replace"))
            done = written and isinstance(page, store.Page)
            await curio.sleep(SCAN_S if done else RETRY_S)

    def _meet(self, bus: str) -> _Peer | None:
        if not bus or bus == self._parts.bus.address:
            return None
        if bus not in self._peers:
            log.emit(events.Events.PEER_JOINED, bus=bus)
        return self._peers.setdefault(bus, _Peer(bus))

    async def _on_peers(self, message: messages.Peers, envelope) -> None:
        now = self._clock.now()
        if not message.bus:
            self._peers.pop(envelope.reply_to, None)
        else:
            peer = self._meet(message.bus)
            if peer is not None:
                peer.heard = now
        for bus in message.entries:
            self._meet(bus)
        seat = message.seat
        if seat.bus and (
            seat.epoch > self._seat.epoch
            or (seat.epoch == self._seat.epoch and seat.bus == message.bus)
        ):
            self.update_leader(seat)
        vacated = not seat.bus and seat == attrs.evolve(
            self._seat, name="", bus=""
        )
        if vacated and envelope.reply_to == self._seat.bus:
            self.update_leader(seat)
        if message.pending is not None:
            self._pending = message.pending
            self._pending_heard = now
        if message.queues_version > self._queues.version and message.bus:
            await curio.spawn(self._ask_queues, message.bus, daemon=True)

    async def _on_find_leader(self, _message, envelope) -> None:
        await self._parts.bus.reply(envelope, self._message())

    async def _on_relayed(self, message, envelope) -> None:
        await curio.spawn(self._answer_relayed, message, envelope, daemon=True)

    async def _answer_relayed(self, message, envelope) -> None:
        result = await self._relay.answer(message)
        self._parts.metrics.count("store_operations_relayed")
        await self._parts.bus.reply(envelope, result)

    async def _on_queues_query(self, _message, envelope) -> None:
        answer = messages.QueuesDocument(self._queues.version, self._document)
        await self._parts.bus.reply(envelope, answer)

    async def _ask_queues(self, bus: str) -> None:
        result = await self._parts.bus.call(
            bus, messages.QueuesQuery(), QUERY_TIMEOUT_S
        )
        match result:
            case bus_module.Answered(
                message=messages.QueuesDocument(document=document)
            ) if document:
                self._apply(document, "a peer")

    async def _watch_queues(self) -> None:
        """Follows the operator's configuration in the store."""
        port = self._parts.port
        version = None
        while True:
            if version is None:
                version = await self._read_queues()
                if version is None:
                    await curio.sleep(RETRY_S)
                continue
            changes = await self._table.watch(
                port.queues_table, version, WATCH_S
            )
            match changes:
                case store.Changes(rows=rows):
                    version = changes.version
                    for row in rows:
                        if row.key == port.queues_key:
                            self._apply(row.value, "the store")
                case store.HistoryGone():
                    version = None
                case _:
                    version = None
                    await curio.sleep(RETRY_S)

    async def _read_queues(self) -> int | None:
        """Reads the configuration; returns the version to watch from."""
        page = await self._table.scan(self._parts.port.queues_key)
        if not isinstance(page, store.Page):
            return None
        for row in page.rows:
            if row.key == self._parts.port.queues_key:
                self._apply(row.value, "the store")
        return page.version

    def _apply(self, document: bytes, source: str) -> None:
        try:
            table = self._parts.port.decode_queues(document)
        except errors.MessageError as error:
            self._parts.metrics.count("configurations_refused")
            log.emit(events.Events.CONFIG_REFUSED, reason=str(error))
            return
        if table.version <= self._queues.version:
            return
        log.emit(
            events.Events.CONFIG_APPLIED,
            version=table.version,
            before=self._queues.version,
            queues=len(table.queues),
            source=source,
        )
        self._queues = table
        self._document = document
