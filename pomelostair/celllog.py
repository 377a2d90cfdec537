"""The lease of a cell and its log, in the platform's table.

The lease row is written by every append, so one transaction both renews the
lease and fences the log: an append by a holder whose lease row was taken
over conflicts. A write whose answer was lost is repeated unchanged until its
outcome is known, which its token in the lease row tells.
"""

import uuid

import attrs
import msgspec

from pomelostair import cell as cell_module
from pomelostair import clock as clock_module
from pomelostair import outcome
from pomelostair import store
from pomelostair import wire


@attrs.frozen
class LeaseRow:
    """Value of the lease row.

    Attributes:
        epoch: Grows with every change of the holder.
        holder: Name of the holding agent.
        bus: Its bus URL.
        token: Random id of the write that made this value.
        sequence: Number of the last log row.
    """

    epoch: int
    holder: str
    bus: str
    token: str
    sequence: int


@attrs.frozen
class LogRow:
    """Value of one log row: the events of one commit, by tag and body."""

    epoch: int
    events: tuple[tuple[str, msgspec.Raw], ...]


@attrs.frozen
class Observed:
    """A reading of the lease row; version 0 for an absent one."""

    row: LeaseRow | None
    version: int


class CellLog:
    """Lease and log of one cell, as one agent sees them.

    Args:
        table: The platform's table.
        clock: Source of monotonic time.
        cell: Name of the cell.
        holder: Name of this agent.
        bus: Bus URL of this agent.
        lease_s: Length of the lease.
    """

    def __init__(
        self,
        table: store.Table,
        clock: clock_module.Clock,
        cell: str,
        holder: str,
        bus: str,
        lease_s: float,
    ):
        self._table = table
        self._clock = clock
        self._key = f"cells/{cell}"
        self._holder = holder
        self._bus = bus
        self._lease_s = lease_s
        self._row: LeaseRow | None = None
        self._version = 0
        self._held_until = 0.0

    @property
    def epoch(self) -> int:
        """Epoch of the held lease, 0 for none."""
        return 0 if self._row is None else self._row.epoch

    @property
    def held(self) -> bool:
        """Whether the lease is certainly held now."""
        return self._row is not None and self._clock.now() < self._held_until

    async def observe(self) -> Observed | outcome.Unavailable:
        """Reads the lease row."""
        match await self._table.read(self._lease_key):
            case store.Found(row=row):
                value = msgspec.msgpack.decode(row.value, type=LeaseRow)
                return Observed(value, row.version)
            case store.Absent():
                return Observed(None, 0)
            case unavailable:
                return unavailable

    async def take(self, observed: Observed) -> outcome.Commit:
        """Takes the lease over from the holder that was observed."""
        epoch = sequence = 0
        if observed.row is not None:
            epoch = observed.row.epoch
            sequence = observed.row.sequence
        row = LeaseRow(
            epoch + 1, self._holder, self._bus, uuid.uuid4().hex, sequence
        )
        return await self._write(row, observed.version, ())

    async def append(
        self, events: tuple[cell_module.Event, ...]
    ) -> outcome.Commit:
        """Appends events and renews the lease; without events only renews."""
        assert self._row is not None
        sequence = self._row.sequence + (1 if events else 0)
        row = attrs.evolve(self._row, token=uuid.uuid4().hex, sequence=sequence)
        puts = ()
        if events:
            puts = (store.Put(self._log_key(sequence), self._encode(events)),)
        return await self._write(row, self._version, puts)

    def release(self) -> None:
        """Forgets the lease, after it was lost."""
        self._row = None
        self._held_until = 0.0

    async def replay(self) -> list[cell_module.Event] | outcome.Unavailable:
        """Reads all events of the log in order."""
        events: list[cell_module.Event] = []
        after = ""
        while True:
            page = await self._table.scan(f"{self._key}/log/", after)
            if isinstance(page, outcome.Unavailable):
                return page
            for row in page.rows:
                events.extend(_decode(row.value))
                after = row.key
            if not page.more:
                return events

    async def _write(
        self, row: LeaseRow, version: int, puts: tuple[store.Put, ...]
    ) -> outcome.Commit:
        started = self._clock.now()
        transaction = store.Transaction(
            checks=(store.Check(self._lease_key, version),),
            puts=(
                store.Put(self._lease_key, msgspec.msgpack.encode(row)),
                *puts,
            ),
        )
        result = await self._resolve(transaction, row.token)
        if isinstance(result, outcome.Committed):
            self._row = row
            self._version = result.version
            self._held_until = started + self._lease_s
        return result

    async def _resolve(
        self, transaction: store.Transaction, token: str
    ) -> outcome.Commit:
        result = await self._table.commit(transaction)
        if isinstance(result, outcome.Conflict):
            return await self._read_back(result, token)
        return result

    async def _read_back(
        self, conflict: outcome.Conflict, token: str
    ) -> outcome.Commit:
        match await self.observe():
            case Observed(row=LeaseRow(token=found), version=version):
                if found == token:
                    return outcome.Committed(version)
                return conflict
            case Observed():
                return conflict
            case _:
                return outcome.Unknown("the lease row can't be read back")

    def _encode(self, events: tuple[cell_module.Event, ...]) -> bytes:
        rows = tuple(
            (wire.tag_of(event), msgspec.Raw(wire.encode_body(event)))
            for event in events
        )
        return msgspec.msgpack.encode(LogRow(self.epoch, rows))

    def _log_key(self, sequence: int) -> str:
        return f"{self._key}/log/{sequence:012d}"

    @property
    def _lease_key(self) -> str:
        return f"{self._key}/lease"


def _decode(value: bytes) -> list[cell_module.Event]:
    row = msgspec.msgpack.decode(value, type=LogRow)
    return [wire.decode_body(tag, body) for tag, body in row.events]
