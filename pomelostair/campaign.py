"""How an agent becomes the leader of its cell."""

from collections.abc import Callable
import random

import attrs
import curio

from pomelostair import celllog
from pomelostair import clock as clock_module
from pomelostair import outcome

JITTER_SHARE = 0.5


@attrs.define
class LeaseMonitor:
    """Tells when a lease row was unchanged for long enough.

    Attributes:
        lapse_s: Length of the lease with the margin for clock drift.
        seen: The latest reading.
        since: Monotonic seconds after the first equal reading.
    """

    lease_timeout_s: float
    latest: celllog.ObservedLease | None = None
    unchanged_since_s: float = 0.0

    def record(self, observed: celllog.ObservedLease, now: float) -> bool:
        """Notes a reading and returns whether it differs from the last."""
        if observed == self.latest:
            return False
        self.latest = observed
        self.unchanged_since_s = now
        return True

    def remaining_s(self, now: float) -> float:
        """Returns the seconds until the lease has surely lapsed."""
        if (
            self.latest is None
            or self.latest.row is None
            or self.latest.row.vacated
        ):
            return 0.0
        return self.lease_timeout_s - (now - self.unchanged_since_s)


class Campaign:
    """Watches the lease of a cell and takes it once it has lapsed.

    Args:
        log: The cell's log.
        clock: Source of monotonic time.
        chance: Spreads the readings of many agents.
        lapse_s: Length of the lease with the margin for clock drift.
        interval_s: Mean interval of the readings while the lease is renewed.
        learn: Called with each lease row of another holder.
    """

    def __init__(
        self,
        log: celllog.CellLog,
        clock: clock_module.Clock,
        rng: random.Random,
        lease_timeout_s: float,
        interval_s: float,
        on_lease_row: Callable[[celllog.LeaseRow], None],
    ):
        self._log = log
        self._clock = clock
        self._rng = rng
        self._lease_timeout_s = lease_timeout_s
        self._interval_s = interval_s
        self._on_lease_row = on_lease_row
        self._second_read_next = False
        self._monitor = LeaseMonitor(lease_timeout_s)

    @property
    def monitor(self) -> LeaseMonitor:
        """What is known of the lease row."""
        return self._monitor

    async def acquire(self) -> celllog.LeaseRow | None:
        """Returns after this agent took the lease.

        Returns:
            The lease row of the holder before, None for the first one.
        """
        self._monitor = LeaseMonitor(self._lease_timeout_s)
        while True:
            observed = await self._log.read_lease()
            if isinstance(observed, celllog.ObservedLease):
                now = self._clock.now()
                has_changed = self._monitor.record(observed, now)
                if has_changed and observed.row is not None:
                    self._on_lease_row(observed.row)
                if self._monitor.remaining_s(now) <= 0:
                    result = await self._log.acquire(observed)
                    if isinstance(result, outcome.Committed):
                        return observed.row
                    self._monitor = LeaseMonitor(self._lease_timeout_s)
            await curio.sleep(self._read_delay_s())

    def _read_delay_s(self) -> float:
        """Returns the time to the next reading.

        Intervals longer than the lease have two readings, one lapse apart,
        so that the agents of a large cell read seldom and one of them still
        notices soon that the lease has lapsed.
        """
        jitter = self._rng.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
        if self._interval_s <= self._lease_timeout_s:
            return self._interval_s * jitter
        self._second_read_next = not self._second_read_next
        return (
            self._lease_timeout_s
            if self._second_read_next
            else self._interval_s * jitter
        )
