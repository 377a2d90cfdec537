"""The lease of the leader of the pipelines: one row in the store.

Every commit of the leader checks and rewrites this row, which renews the lease
and fences leaders of older epochs. Its end is written in the store's own
steady clock, so that a successor needs no observation of its own: once the
store's clock is past it, the lease has lapsed.
"""

import uuid

import attrs
import curio
import msgspec

from pomelostair import clock as clock_module
from pomelostair import outcome
from pomelostair import store

KEY = "lease/cell/pipelines"
# A leader that lost its host is replaced after this time. While the store is
# slow, the lease is longer, so that a late renewal does not end it.
LEASE_S = 1.8
SLOW_LEASE_S = 3.0
SLOW_COMMIT_S = 0.25
CLOCK_DRIFT = 0.02  # The platform bounds the drift of its clocks by 2 %.
TAKEOVER_MARGIN_MS = 50  # Rounding of clock readings on both sides.
RETRY_MIN_S = 0.02
RETRY_MAX_S = 0.3


@attrs.frozen
class LeaseRow:
    """Value of the lease row.

    Attributes:
        epoch: Grows with every change of the holder.
        holder: Name of the holding process.
        bus: Its bus URL.
        token: Random id of the write.
        end_ms: Reading of the store's clock at which the lease has certainly
            lapsed.
        vacated: Whether the holder has given the lease up.
    """

    epoch: int
    holder: str
    bus: str
    token: str
    end_ms: float
    vacated: bool = False


@attrs.frozen
class Observed:
    """A reading of the lease row; version 0 for an absent one."""

    row: LeaseRow | None = None
    version: int = 0


def decode(row: store.Row) -> Observed:
    """Returns the lease in a row of the store."""
    return Observed(
        msgspec.msgpack.decode(row.value, type=LeaseRow), row.version
    )


class PipelineLease:
    """The lease as one process sees it.

    Args:
        table: The store.
        clock: Counts time during which the host was asleep, too.
        holder: Name of this process.
        bus: Its bus URL.
    """

    def __init__(
        self,
        table: store.Table,
        clock: clock_module.Clock,
        holder: str,
        bus: str,
    ):
        self._table = table
        self._clock = clock
        self._holder = holder
        self._bus = bus
        self._row: LeaseRow | None = None
        self._version = 0
        self._until = 0.0
        self._length_s = SLOW_LEASE_S
        self._turn = curio.Lock()

    @property
    def epoch(self) -> int:
        """Epoch of the lease, 0 without one."""
        return 0 if self._row is None else self._row.epoch

    @property
    def version(self) -> int:
        """Version of the lease row as last written."""
        return self._version

    @property
    def held(self) -> bool:
        """Whether the lease is certainly held now."""
        return self._row is not None and self._clock.now() < self._until

    def is_free(self, observed: Observed) -> bool:
        """Returns whether a lease that was observed may be taken.

        A process that listens at the holder's address is its successor on the
        same host, so that the holder has ended.
        """
        row = observed.row
        if row is None or row.vacated or row.bus == self._bus:
            return True
        time = self._table.time()
        return (
            time is not None
            and time.earliest_ms > row.end_ms + TAKEOVER_MARGIN_MS
        )

    def lapsed_for_s(self, row: LeaseRow) -> float:
        """Returns how long a lease has certainly lapsed; negative before."""
        time = self._table.time()
        if time is None:
            return -SLOW_LEASE_S
        return (time.earliest_ms - row.end_ms) / 1000

    async def observe(self) -> Observed | outcome.Unavailable:
        """Reads the lease row."""
        match await self._table.read(KEY):
            case store.Found(row=row):
                return decode(row)
            case store.Absent():
                return Observed()
            case unavailable:
                return unavailable

    async def take(self, observed: Observed) -> bool:
        """Takes a free lease; returns whether that succeeded."""
        epoch = 1 if observed.row is None else observed.row.epoch + 1
        self._row = LeaseRow(epoch, self._holder, self._bus, "", 0.0)
        self._version = observed.version
        result = await self.commit((), ())
        if not isinstance(result, outcome.Committed):
            self.release()
            return False
        return True

    async def commit(
        self, puts: tuple[store.Put, ...], deletes: tuple[str, ...]
    ) -> outcome.Committed | outcome.Conflict | outcome.Unavailable:
        """Writes rows and renews the lease, all or nothing.

        A write whose answer was lost is repeated under the same condition
        until its outcome is known, so that it takes effect at most once.
        """
        async with self._turn:
            return await self._commit(puts, deletes)

    async def _commit(
        self, puts: tuple[store.Put, ...], deletes: tuple[str, ...]
    ) -> outcome.Committed | outcome.Conflict | outcome.Unavailable:
        assert self._row is not None
        begun = self._clock.now()
        row = attrs.evolve(
            self._row, token=uuid.uuid4().hex, end_ms=self._end_ms()
        )
        transaction = store.Transaction(
            (store.Check(KEY, self._version),),
            (store.Put(KEY, msgspec.msgpack.encode(row)), *puts),
            deletes,
        )
        result = await self._settle(transaction, row.token)
        if isinstance(result, outcome.Committed):
            self._row = row
            self._version = result.version
            self._until = begun + self._length_s
            took_s = self._clock.now() - begun
            slow = took_s > SLOW_COMMIT_S
            self._length_s = SLOW_LEASE_S if slow else LEASE_S
        return result

    async def vacate(self) -> bool:
        """Gives the lease up; returns whether that is certain."""
        if self._row is None:
            return True
        self._row = attrs.evolve(self._row, vacated=True)
        result = await self.commit((), ())
        self.release()
        return isinstance(result, outcome.Committed)

    def release(self) -> None:
        """Forgets the lease."""
        self._row = None
        self._until = 0.0

    def _end_ms(self) -> float:
        time = self._table.time()
        latest_ms = 0.0 if time is None else time.latest_ms
        return latest_ms + self._length_s * 1000 * (1 + CLOCK_DRIFT)

    async def _settle(
        self, transaction: store.Transaction, token: str
    ) -> outcome.Committed | outcome.Conflict | outcome.Unavailable:
        pause_s = RETRY_MIN_S
        unsure = False
        while True:
            result = await self._table.commit(transaction)
            match result:
                case outcome.Committed():
                    return result
                case outcome.Unavailable() if not unsure:
                    return result
                case outcome.Conflict() if not unsure:
                    return result
                case outcome.Conflict():
                    observed = await self.observe()
                    if isinstance(observed, Observed):
                        if observed.row and observed.row.token == token:
                            return outcome.Committed(observed.version)
                        return result
                case outcome.Unknown():
                    unsure = True
            await curio.sleep(pause_s)
            pause_s = min(pause_s * 2, RETRY_MAX_S)
