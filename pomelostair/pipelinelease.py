"""Lease of the pipeline leader, stored in one row.

Every commit of the leader checks and rewrites this row, which renews the lease
and fences off leaders of older epochs. The end of the lease is a reading of the
store's monotonic clock. A successor therefore need not watch the row: once the
store's clock is past the end, the lease has lapsed.
"""

import math
import typing
import uuid

import attrs
import curio
import msgspec

from pomelostair import clock as clock_module
from pomelostair import codec
from pomelostair import outcome
from pomelostair import store
from pomelostair import storeclock

KEY = "lease/cell/pipelines"
# Duration of the lease, after which a leader that lost its host is replaced. If
# the last commit took more than SLOW_COMMIT_S, the lease is longer, so that it
# does not lapse before a late renewal.
LEASE_S = 1.8
SLOW_LEASE_S = 3.0
SLOW_COMMIT_S = 0.25
TAKEOVER_MARGIN_MS = 50  # Covers rounding of clock readings on both sides.
RETRY_MIN_S = 0.02
RETRY_MAX_S = 0.3
# A fencing token has 22 bits for the epoch.
MAX_EPOCH = 2**22 - 1


@attrs.frozen
class LeaseEnd:
    """When the leases of a silent worker have lapsed.

    Attributes:
        worker: Id of the worker.
        life: Its incarnation.
        end_ms: Reading of the store's clock at which they have certainly
            lapsed.
    """

    worker: str
    life: int
    end_ms: float


@attrs.frozen
class Handover:
    """What the next leader learns from the lease row.

    Attributes:
        placements_recorded: Whether the progress of the pipelines names every
            worker on which a lasting task may be running.
        silent: Workers that got no grant since the row was stored.
        leases_end_ms: Reading of the store's clock at which every lease that
            leaders so far have granted to workers has certainly lapsed; None
            if that is unknown.
    """

    placements_recorded: bool = False
    silent: tuple[LeaseEnd, ...] = ()
    leases_end_ms: float | None = None


@attrs.frozen
class LeaseRow:
    """Value of the lease row.

    Attributes:
        epoch: Increases with every change of the holder.
        holder: Name of the process that holds the lease.
        bus: Bus URL of the holder.
        token: Random id of the write.
        end_ms: Reading of the store's clock at which the lease has certainly
            lapsed.
        vacated: Whether the holder has given up the lease.
        handover: What the next leader learns.
    """

    epoch: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_EPOCH)]
    holder: str
    bus: str
    token: str
    end_ms: codec.Quantity
    vacated: bool = False
    handover: Handover = Handover()


@attrs.frozen
class ObservedLease:
    """State of the lease row when it was read.

    Attributes:
        row: Value of the row, None if it is absent.
        version: Version of the row, 0 if it is absent.
    """

    row: LeaseRow | None = None
    version: int = 0

    @property
    def handover(self) -> Handover:
        """What its holder leaves to the next leader."""
        return Handover() if self.row is None else self.row.handover


def decode(row: store.Row) -> ObservedLease:
    """Decodes the lease row.

    Raises:
        msgspec.MsgspecError: The value is malformed.
    """
    return ObservedLease(codec.decode_msgpack(row.value, LeaseRow), row.version)


class PipelineLease:
    """Acquires, renews and gives up the lease on behalf of one process.

    Args:
        table: The store.
        clock: Clock that also advances while the host is suspended.
        holder: Name of this process.
        bus: Bus URL of this process.
        worker_leases_s: Time from the begin of a renewal, by the store's clock,
            after which every lease granted on its strength has lapsed.
    """

    def __init__(
        self,
        table: store.Table,
        clock: clock_module.Clock,
        holder: str,
        bus: str,
        worker_leases_s: float,
    ):
        self._table = table
        self._clock = clock
        self._holder = holder
        self._bus = bus
        self._worker_leases_s = worker_leases_s
        self._worker_leases_end_s = 0.0
        self._row: LeaseRow | None = None
        self._version = 0
        self._held_until_s = 0.0
        self._duration_s = SLOW_LEASE_S
        self._commit_lock = curio.Lock()

    @property
    def epoch(self) -> int:
        """Epoch of the lease, 0 if this process has none."""
        return 0 if self._row is None else self._row.epoch

    @property
    def version(self) -> int:
        """Version of the lease row that this process wrote last."""
        return self._version

    @property
    def is_held(self) -> bool:
        """Whether this process certainly holds the lease now."""
        return self._row is not None and self._clock.now() < self._held_until_s

    @property
    def worker_leases_end_s(self) -> float:
        """Clock reading at which leases granted now must have lapsed.

        The next leader does not wait for them any longer. Renewals that hand
        something over postpone it.
        """
        return self._worker_leases_end_s

    def is_available(self, observed: ObservedLease) -> bool:
        """Returns whether this process may acquire an observed lease.

        If this process listens at the bus address of the holder, it is the
        holder's successor on the same host, and the holder has ended. Without
        the store's time no lease is available: its row could not name an end.
        """
        time = self._table.time()
        if time is None:
            return False
        row = observed.row
        if row is None or row.vacated or row.bus == self._bus:
            return True
        return time.earliest_ms > row.end_ms + TAKEOVER_MARGIN_MS

    def lapsed_for_s(self, row: LeaseRow) -> float:
        """Returns the time since a lease has lapsed, negative before it has."""
        time = self._table.time()
        if time is None:
            return -SLOW_LEASE_S
        return (time.earliest_ms - row.end_ms) / 1000

    def local_time_s(self, store_ms: float) -> float:
        """Returns when the store's clock is certainly past a reading.

        Args:
            store_ms: Reading of the store's clock.

        Returns:
            Reading of this process's clock; infinity before the store first
            answered.
        """
        time = self._table.time()
        if time is None:
            return math.inf
        ahead_s = (store_ms - time.earliest_ms) / 1000
        if ahead_s > 0:
            ahead_s *= 1 + storeclock.MAX_CLOCK_DRIFT_SHARE
        return self._clock.now() + ahead_s

    def store_time_ms(self, local_s: float) -> float | None:
        """Returns a reading of the store's clock that is not before a time.

        Args:
            local_s: Reading of this process's clock.

        Returns:
            The reading; None before the store first answered.
        """
        time = self._table.time()
        if time is None:
            return None
        ahead_s = max(0.0, local_s - self._clock.now())
        return time.latest_ms + ahead_s * 1000 * (
            1 + storeclock.MAX_CLOCK_DRIFT_SHARE
        )

    async def read_lease(self) -> ObservedLease | outcome.Unavailable:
        """Reads the lease row.

        A malformed row is unavailable: an epoch that restarted at 1 would be
        refused by every worker.
        """
        match await self._table.read(KEY):
            case store.Found(row=row):
                try:
                    return decode(row)
                except msgspec.MsgspecError as error:
                    return outcome.Unavailable(
                        f"remove the malformed row {KEY}: {error}"
                    )
            case store.Absent():
                return ObservedLease()
            case unavailable:
                return unavailable

    async def acquire(self, observed: ObservedLease) -> bool:
        """Acquires an available lease.

        Args:
            observed: The lease row as it was read.

        Returns:
            Whether this process now holds the lease. Without the store's time
            it does not.
        """
        if self._table.time() is None:
            return False
        epoch = 1 if observed.row is None else observed.row.epoch + 1
        self._row = LeaseRow(
            epoch,
            self._holder,
            self._bus,
            "",
            0.0,
            handover=observed.handover,
        )
        self._version = observed.version
        result = await self.commit((), ())
        if not isinstance(result, outcome.Committed):
            self.discard_lease()
            return False
        return True

    async def commit(
        self,
        puts: tuple[store.Put, ...],
        deletes: tuple[str, ...],
        handover: Handover | None = None,
    ) -> outcome.Committed | outcome.Conflict | outcome.Unavailable:
        """Writes rows and renews the lease in one transaction.

        A write whose answer was lost is retried under the same condition until
        its outcome is known, so that it takes effect at most once.

        Args:
            puts: Rows to write.
            deletes: Keys of rows to delete.
            handover: What the next leader learns, but for the end of the
                workers' leases, which is set here; None leaves all of it
                unchanged.
        """
        async with self._commit_lock:
            return await self._commit(puts, deletes, handover)

    async def _commit(
        self,
        puts: tuple[store.Put, ...],
        deletes: tuple[str, ...],
        handover: Handover | None,
    ) -> outcome.Committed | outcome.Conflict | outcome.Unavailable:
        assert self._row is not None
        start_s = self._clock.now()
        row = attrs.evolve(
            self._row, token=uuid.uuid4().hex, end_ms=self._end_ms()
        )
        if handover is not None:
            leases_end_ms = self._latest_ms() + self._worker_leases_s * 1000
            # Earlier holders may grant longer leases, by other settings.
            earlier_end_ms = self._row.handover.leases_end_ms or 0.0
            handover = attrs.evolve(
                handover, leases_end_ms=max(leases_end_ms, earlier_end_ms)
            )
            row = attrs.evolve(row, handover=handover)
        transaction = store.Transaction(
            (store.Check(KEY, self._version),),
            (store.Put(KEY, msgspec.msgpack.encode(row)), *puts),
            deletes,
        )
        result = await self._commit_until_known(transaction, row.token)
        if isinstance(result, outcome.Committed):
            self._row = row
            self._version = result.version
            self._held_until_s = start_s + self._duration_s
            if handover is not None:
                self._worker_leases_end_s = start_s + self._worker_leases_s / (
                    1 + storeclock.MAX_CLOCK_DRIFT_SHARE
                )
            took_s = self._clock.now() - start_s
            is_slow = took_s > SLOW_COMMIT_S
            self._duration_s = SLOW_LEASE_S if is_slow else LEASE_S
        return result

    async def vacate(self) -> bool:
        """Gives up the lease in the store.

        Returns:
            Whether the lease is certainly given up.
        """
        if self._row is None:
            return True
        self._row = attrs.evolve(self._row, vacated=True)
        result = await self.commit((), ())
        self.discard_lease()
        return isinstance(result, outcome.Committed)

    def discard_lease(self) -> None:
        """Stops using the lease without writing to the store."""
        self._row = None
        self._held_until_s = self._worker_leases_end_s = 0.0

    def _latest_ms(self) -> float:
        time = self._table.time()
        assert time is not None, "leases are acquired with the store's time"
        return time.latest_ms

    def _end_ms(self) -> float:
        duration_ms = (
            self._duration_s * 1000 * (1 + storeclock.MAX_CLOCK_DRIFT_SHARE)
        )
        return self._latest_ms() + duration_ms

    async def _commit_until_known(
        self, transaction: store.Transaction, token: str
    ) -> outcome.Committed | outcome.Conflict | outcome.Unavailable:
        """Retries a transaction until its outcome is known.

        After an unknown outcome, a conflict may be due to this transaction
        itself, which the token in the lease row shows.
        """
        pause_s = RETRY_MIN_S
        outcome_unknown = False
        while True:
            result = await self._table.commit(transaction)
            match result:
                case outcome.Committed():
                    return result
                case outcome.Unavailable() if not outcome_unknown:
                    return result
                case outcome.Conflict() if not outcome_unknown:
                    return result
                case outcome.Conflict():
                    observed = await self.read_lease()
                    if isinstance(observed, ObservedLease):
                        if observed.row and observed.row.token == token:
                            return outcome.Committed(observed.version)
                        return result
                case outcome.Unknown():
                    outcome_unknown = True
            await curio.sleep(pause_s)
            pause_s = min(pause_s * 2, RETRY_MAX_S)
