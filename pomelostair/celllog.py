"""The lease of a cell and its log, in the platform's table.

Every append writes the lease row, so one transaction both renews the lease
and fences the log: an append conflicts if another agent has acquired the lease
meanwhile. A write whose answer was lost is repeated unchanged until its
outcome is known; the token of the write, found in the lease row or the log
row, proves that it took effect. The transaction checks the version of the
lease row, so at most one of its copies takes effect, late copies included.

A snapshot is first written to the object store, then referenced by the lease
row. The log rows that it covers are deleted with later appends.
"""

import math
import uuid

import attrs
import curio
import msgspec

from pomelostair import cell as cell_module
from pomelostair import clock as clock_module
from pomelostair import codec
from pomelostair import events
from pomelostair import log
from pomelostair import outcome
from pomelostair import store
from pomelostair import wire

RETRY_MIN_S = 0.02
RETRY_MAX_S = 1.0
MAX_DELETES_PER_APPEND = 200


@attrs.frozen
class LeaseRow:
    """Value of the lease row.

    Attributes:
        epoch: Fencing token; grows with every change of the holder.
        holder: Name of the agent that holds the lease.
        bus: Bus URL of the holder.
        token: Random id of the write that stored this value.
        sequence: Number of the last log row.
        settled: Whether all task leases granted by earlier holders have
            lapsed.
        snapshot: Key of the snapshot object, empty for none.
        covered: Number of the last log row that the snapshot covers.
        cut: Number of the last deleted log row.
        vacated: Whether the holder has given the lease up.
    """

    epoch: int
    holder: str
    bus: str
    token: str
    sequence: int
    settled: bool = False
    snapshot: str = ""
    covered: int = 0
    cut: int = 0
    vacated: bool = False


@attrs.frozen
class LogRow:
    """Value of one log row: the events of one commit, by tag and body."""

    epoch: int
    token: str
    events: tuple[tuple[str, msgspec.Raw], ...]


@attrs.frozen
class ObservedLease:
    """The lease row and its version as read; None and 0 if it is absent."""

    row: LeaseRow | None
    version: int


@attrs.frozen
class Recovered:
    """The stored state of a cell.

    Attributes:
        snapshot: Content of the snapshot object, None if there is none.
        events: Events logged after the snapshot, in order.
        rows: Number of log rows that contained these events.
    """

    snapshot: bytes | None
    events: tuple[cell_module.Event, ...]
    rows: int


@attrs.frozen
class Damaged:
    """A required log row or the snapshot is missing."""

    reason: str


@attrs.frozen
class _WrittenSnapshot:
    """A stored snapshot that the next append references in the lease row."""

    key: str
    covered: int


class CellLog:
    """Lease and log of one cell, as used by one agent.

    Args:
        table: The platform's table.
        objects: The platform's object store.
        clock: Source of monotonic time.
        cell: Name of the cell.
        holder: Name of this agent.
        bus: Bus URL of this agent.
        lease_s: Length of the lease.
    """

    def __init__(
        self,
        table: store.Table,
        objects: store.Objects,
        clock: clock_module.Clock,
        cell: str,
        holder: str,
        bus: str,
        lease_s: float,
    ):
        self._table = table
        self._objects = objects
        self._clock = clock
        self._key_prefix = f"cells/{cell}"
        self._holder = holder
        self._bus = bus
        self._lease_s = lease_s
        self._row: LeaseRow | None = None
        self._version = 0
        self._renewed_at_s = 0.0
        self._store_outage = False
        self._unreferenced_snapshot: _WrittenSnapshot | None = None

    @property
    def epoch(self) -> int:
        """Epoch of the acquired lease, 0 if there is none."""
        return 0 if self._row is None else self._row.epoch

    @property
    def row(self) -> LeaseRow | None:
        """The lease row as this agent last wrote it, None without a lease."""
        return self._row

    @property
    def sequence(self) -> int:
        """Number of the last log row."""
        return 0 if self._row is None else self._row.sequence

    @property
    def is_held(self) -> bool:
        """Whether the lease is certainly held now, by the local clock."""
        return self._row is not None and self._since_renewal_s < self._lease_s

    @property
    def has_store_outage(self) -> bool:
        """Whether the latest write missed the table or is still unresolved."""
        return self._store_outage

    @property
    def _since_renewal_s(self) -> float:
        return self._clock.now() - self._renewed_at_s

    def may_renew_task_leases(self, grace_s: float) -> bool:
        """Returns whether task leases may be renewed.

        Args:
            grace_s: Time after the last renewal of the cell lease during
                which task leases are renewed without reaching the table.
        """
        if self.is_held:
            return True
        return (
            self._row is not None
            and self._store_outage
            and self._since_renewal_s < grace_s
        )

    async def read_lease(self) -> ObservedLease | outcome.Unavailable:
        """Reads the lease row."""
        match await self._table.read(self._lease_key):
            case store.Found(row=row):
                value = codec.decode_msgpack(row.value, LeaseRow)
                return ObservedLease(value, row.version)
            case store.Absent():
                return ObservedLease(None, 0)
            case unavailable:
                return unavailable

    async def acquire(self, observed: ObservedLease) -> outcome.CommitResult:
        """Acquires the lease, if its row is still as observed."""
        previous = observed.row or LeaseRow(0, "", "", "", 0)
        row = attrs.evolve(
            previous,
            epoch=previous.epoch + 1,
            holder=self._holder,
            bus=self._bus,
            token=uuid.uuid4().hex,
            settled=observed.row is None,
            vacated=False,
        )
        return await self._write(row, observed.version, (), ())

    async def append(
        self, events: tuple[cell_module.Event, ...], settled: bool = False
    ) -> outcome.CommitResult:
        """Appends events and renews the lease; without events only renews.

        Args:
            events: Events of this commit.
            settled: Whether all task leases granted by earlier holders have
                lapsed.

        Returns:
            Committed, even if a successor has acquired the lease since;
            Conflict or Unavailable if the events are certainly not in the
            log; Unknown if a successor has deleted the log row that would
            show the outcome.
        """
        assert self._row is not None
        row = attrs.evolve(
            self._row,
            token=uuid.uuid4().hex,
            sequence=self._row.sequence + (1 if events else 0),
            settled=self._row.settled or settled,
        )
        if self._unreferenced_snapshot is not None:
            written = self._unreferenced_snapshot
            row = attrs.evolve(
                row, snapshot=written.key, covered=written.covered
            )
        deletes = self._deletable_log_keys()
        row = attrs.evolve(row, cut=self._row.cut + len(deletes))
        puts = ()
        if events:
            data = _encode_log_row(row, events)
            puts = (store.Put(self._log_key(row.sequence), data),)
        return await self._write(row, self._version, puts, deletes)

    async def vacate(self) -> outcome.CommitResult:
        """Gives the lease up, so that a successor need not wait for its end."""
        assert self._row is not None
        row = attrs.evolve(self._row, token=uuid.uuid4().hex, vacated=True)
        return await self._write(row, self._version, (), ())

    def discard_lease(self) -> None:
        """Drops the local state of the lease, after it was lost."""
        self._row = None
        self._store_outage = False
        self._unreferenced_snapshot = None

    async def write_snapshot(
        self, data: bytes, covered: int
    ) -> store.WriteResult:
        """Stores a snapshot; the next append references it.

        Args:
            data: The encoded state.
            covered: Number of the last log row that it covers.
        """
        key = f"{self._key_prefix}/snapshots/{covered:012d}-{uuid.uuid4().hex}"
        epoch = self.epoch
        result = await self._objects.put(key, data)
        if isinstance(result, store.Stored) and self.epoch == epoch:
            self._unreferenced_snapshot = _WrittenSnapshot(key, covered)
        else:
            await self._objects.delete(key)
        return result

    async def replay(
        self,
    ) -> Recovered | outcome.Conflict | outcome.Unavailable | Damaged:
        """Reads the snapshot and the log rows after it.

        Returns:
            Recovered; Conflict if a successor has acquired the lease;
            Unavailable if the store can't be read; Damaged if a part is
            missing.
        """
        assert self._row is not None
        row = self._row
        snapshot = await self._read_snapshot(row)
        if not isinstance(snapshot, bytes | None):
            return await self._conflict_if_superseded(snapshot)
        events: list[cell_module.Event] = []
        sequence = row.covered
        more = True
        while more:
            page = await self._table.scan(
                f"{self._key_prefix}/log/", self._log_key(sequence)
            )
            if isinstance(page, outcome.Unavailable):
                return page
            for log_row in page.rows:
                sequence += 1
                if log_row.key != self._log_key(sequence):
                    text = f"log row {sequence} is missing"
                    return await self._conflict_if_superseded(Damaged(text))
                events.extend(_decode_events(log_row.value))
            more = page.more
        if sequence != row.sequence:
            text = f"the log ends at row {sequence}, not {row.sequence}"
            return await self._conflict_if_superseded(Damaged(text))
        return Recovered(snapshot, tuple(events), sequence - row.covered)

    async def _read_snapshot(
        self, row: LeaseRow
    ) -> bytes | None | outcome.Unavailable | Damaged:
        if not row.snapshot:
            return None
        match await self._objects.get(row.snapshot):
            case store.Object(data=data):
                return data
            case store.Absent():
                return Damaged(f"snapshot {row.snapshot} is missing")
            case unavailable:
                return unavailable

    async def _conflict_if_superseded(
        self, result: outcome.Unavailable | Damaged
    ) -> outcome.Conflict | outcome.Unavailable | Damaged:
        """Returns Conflict instead of `result` if the lease was lost.

        A successor may have deleted what seems to be missing.
        """
        observed = await self.read_lease()
        if isinstance(observed, outcome.Unavailable):
            return observed
        if observed.version != self._version:
            return outcome.Conflict(self._lease_key, observed.version)
        return result

    def _deletable_log_keys(self) -> tuple[str, ...]:
        assert self._row is not None
        first = self._row.cut + 1
        last = min(self._row.covered, self._row.cut + MAX_DELETES_PER_APPEND)
        return tuple(self._log_key(n) for n in range(first, last + 1))

    async def _write(
        self,
        row: LeaseRow,
        version: int,
        puts: tuple[store.Put, ...],
        deletes: tuple[str, ...],
    ) -> outcome.CommitResult:
        # The lease is counted from before the write was sent, so this agent
        # considers it lapsed no later than any other agent does.
        sent_at_s = self._clock.now()
        transaction = store.Transaction(
            checks=(store.Check(self._lease_key, version),),
            puts=(
                store.Put(self._lease_key, msgspec.msgpack.encode(row)),
                *puts,
            ),
            deletes=deletes,
        )
        result = await self._table.commit(transaction)
        if isinstance(result, outcome.Unknown):
            self._store_outage = True
            log.emit(events.Events.COMMIT_UNKNOWN, reason=result.reason)
            result = await self._resolve_unknown(transaction, row, bool(puts))
        self._store_outage = isinstance(result, outcome.Unavailable)
        match result:
            case outcome.Committed(version=new_version):
                await self._record_write(row, new_version, sent_at_s)
            case _Superseded():
                # The events are logged, but the lease is no longer held.
                self._renewed_at_s = -math.inf
                return outcome.Committed(version)
        return result

    async def _record_write(
        self, row: LeaseRow, version: int, sent_at_s: float
    ) -> None:
        replaced_snapshot = "" if self._row is None else self._row.snapshot
        self._row = row
        self._version = version
        self._renewed_at_s = sent_at_s
        if (
            self._unreferenced_snapshot is not None
            and self._unreferenced_snapshot.key == row.snapshot
        ):
            self._unreferenced_snapshot = None
        if replaced_snapshot and replaced_snapshot != row.snapshot:
            await curio.spawn(
                self._objects.delete, replaced_snapshot, daemon=True
            )

    async def _resolve_unknown(
        self,
        transaction: store.Transaction,
        row: LeaseRow,
        writes_log_row: bool,
    ) -> "outcome.CommitResult | _Superseded":
        """Returns the outcome of a write whose answer was lost.

        Repeats the write while the lease row is unchanged; otherwise looks
        for its token in the rows.
        """
        expected_version = transaction.checks[0].version
        delay_s = RETRY_MIN_S
        while True:
            await curio.sleep(delay_s)
            delay_s = min(delay_s * 2, RETRY_MAX_S)
            observed = await self.read_lease()
            if isinstance(observed, outcome.Unavailable):
                continue
            if observed.version == expected_version:
                result = await self._table.commit(transaction)
            else:
                result = outcome.Conflict(self._lease_key, observed.version)
            if isinstance(result, outcome.Conflict):
                result = await self._determine_outcome(
                    result, row, writes_log_row
                )
            match result:
                case outcome.Committed() | outcome.Conflict() | _Superseded():
                    return result
                case _LogRowDeleted():
                    return outcome.Unknown(
                        "a successor has deleted the log row since"
                    )

    async def _determine_outcome(
        self, conflict: outcome.Conflict, row: LeaseRow, writes_log_row: bool
    ) -> "outcome.CommitResult | _Superseded | _LogRowDeleted":
        """Returns the outcome of a write that conflicted when repeated.

        The log row is read before the lease row. If the log row was absent
        and the lease row doesn't count it as deleted, it was never written;
        it can't be written later, since the version check would fail.
        """
        log_row = await self._table.read(self._log_key(row.sequence))
        observed = await self.read_lease()
        if isinstance(log_row, outcome.Unavailable):
            return log_row
        if isinstance(observed, outcome.Unavailable):
            return observed
        if observed.row is not None and observed.row.token == row.token:
            return outcome.Committed(observed.version)
        if not writes_log_row:
            return conflict
        if isinstance(log_row, store.Found):
            if _decode_log_row(log_row.row.value).token == row.token:
                return _Superseded()
            return conflict
        if observed.row is not None and observed.row.cut >= row.sequence:
            return _LogRowDeleted()
        return conflict

    def _log_key(self, sequence: int) -> str:
        return f"{self._key_prefix}/log/{sequence:012d}"

    @property
    def _lease_key(self) -> str:
        return f"{self._key_prefix}/lease"


@attrs.frozen
class _Superseded:
    """A write took effect, and a successor then acquired the lease."""


@attrs.frozen
class _LogRowDeleted:
    """The log row that would show the outcome of a write was deleted."""


def _encode_log_row(
    row: LeaseRow, events: tuple[cell_module.Event, ...]
) -> bytes:
    encoded = tuple(
        (wire.tag_of(event), msgspec.Raw(wire.encode_body(event)))
        for event in events
    )
    return msgspec.msgpack.encode(LogRow(row.epoch, row.token, encoded))


def _decode_log_row(value: bytes) -> LogRow:
    return codec.decode_msgpack(value, LogRow)


def _decode_events(value: bytes) -> list[cell_module.Event]:
    row = _decode_log_row(value)
    return [wire.decode_body(tag, body) for tag, body in row.events]
