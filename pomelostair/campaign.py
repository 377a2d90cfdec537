"""How an agent becomes the leader of its cell."""

from collections.abc import Callable
import random

import attrs
import curio

from pomelostair import celllog
from pomelostair import clock as clock_module
from pomelostair import outcome

SPREAD = 0.5


@attrs.define
class Watch:
    """Tells when a lease row was unchanged for long enough.

    Attributes:
        lapse_s: Length of the lease with the margin for clock drift.
        seen: The latest reading.
        since: Monotonic seconds after the first equal reading.
    """

    lapse_s: float
    seen: celllog.Observed | None = None
    since: float = 0.0

    def is_new(self, observed: celllog.Observed, now: float) -> bool:
        """Notes a reading and returns whether it differs from the last."""
        if observed == self.seen:
            return False
        self.seen = observed
        self.since = now
        return True

    def remaining(self, now: float) -> float:
        """Returns the seconds until the lease has surely lapsed."""
        if self.seen is None or self.seen.row is None or self.seen.row.vacated:
            return 0.0
        return self.lapse_s - (now - self.since)


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
        chance: random.Random,
        lapse_s: float,
        interval_s: float,
        learn: Callable[[celllog.LeaseRow], None],
    ):
        self._log = log
        self._clock = clock
        self._chance = chance
        self._lapse_s = lapse_s
        self._interval_s = interval_s
        self._learn = learn
        self._second = False
        self._watch = Watch(lapse_s)

    @property
    def watch(self) -> Watch:
        """What is known of the lease row."""
        return self._watch

    async def win(self) -> celllog.LeaseRow | None:
        """Returns after this agent took the lease.

        Returns:
            The lease row of the holder before, None for the first one.
        """
        self._watch = Watch(self._lapse_s)
        while True:
            observed = await self._log.observe()
            if isinstance(observed, celllog.Observed):
                now = self._clock.now()
                is_new = self._watch.is_new(observed, now)
                if is_new and observed.row is not None:
                    self._learn(observed.row)
                if self._watch.remaining(now) <= 0:
                    taken = await self._log.take(observed)
                    if isinstance(taken, outcome.Committed):
                        return observed.row
                    self._watch = Watch(self._lapse_s)
            await curio.sleep(self._pause_s())

    def _pause_s(self) -> float:
        """Returns the time to the next reading.

        Intervals longer than the lease have two readings, one lapse apart,
        so that the agents of a large cell read seldom and one of them still
        notices soon that the lease has lapsed.
        """
        spread = self._chance.uniform(1 - SPREAD, 1 + SPREAD)
        if self._interval_s <= self._lapse_s:
            return self._interval_s * spread
        self._second = not self._second
        return self._lapse_s if self._second else self._interval_s * spread
