"""Leader election: how an agent acquires the lease of its cell."""

from collections.abc import Callable
import random

import attrs
import curio

from pomelostair import celllog
from pomelostair import clock as clock_module
from pomelostair import outcome

JITTER_SHARE = 0.5  # Read intervals vary by this share of their mean.


@attrs.define
class LeaseMonitor:
    """Tracks how long a lease row has been unchanged.

    A lease has lapsed once its row was unchanged for `lease_timeout_s` on the
    local clock, so that clocks of different machines are never compared.

    Attributes:
        lease_timeout_s: Length of the lease plus the margin for clock drift.
        latest: The latest reading of the row, None before the first.
        unchanged_since_s: Monotonic seconds after the first reading that
            equals the latest.
    """

    lease_timeout_s: float
    latest: celllog.ObservedLease | None = None
    unchanged_since_s: float = 0.0

    def record(self, observed: celllog.ObservedLease, now: float) -> bool:
        """Records a reading; returns whether it differs from the previous."""
        if observed == self.latest:
            return False
        self.latest = observed
        self.unchanged_since_s = now
        return True

    def remaining_s(self, now: float) -> float:
        """Returns the seconds until the lease has certainly lapsed."""
        if (
            self.latest is None
            or self.latest.row is None
            or self.latest.row.vacated
        ):
            return 0.0
        return self.lease_timeout_s - (now - self.unchanged_since_s)


class Campaign:
    """Watches the lease of a cell and acquires it once it has lapsed.

    Args:
        log: The cell's log.
        clock: Source of monotonic time.
        rng: Source of the jitter that spreads the readings of many agents.
        lease_timeout_s: Length of the lease plus the margin for clock drift.
        interval_s: Mean interval of the readings while the lease is renewed.
        on_lease_row: Called with each lease row that differs from the
            previous reading.
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
        """Readings of the lease row by the current campaign."""
        return self._monitor

    async def acquire(self) -> celllog.LeaseRow | None:
        """Waits until this agent has acquired the lease.

        Returns:
            The lease row of the previous holder, None if there was none.
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

        If the interval is longer than the lease timeout, readings come in
        pairs that are one lease timeout apart: agents of a large cell rarely
        read, yet each pair is enough to detect a lapsed lease.
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
