"""A table behind a circuit breaker.

While the store refuses this process or does not answer, operations fail at
once, so that their callers use another way or are refused without a wait.
"""

import curio

from pomelostair import clock as clock_module
from pomelostair import events
from pomelostair import log
from pomelostair import outcome
from pomelostair import store

# While the circuit is open, one read per interval probes the store.
PROBE_INTERVAL_S = 0.3
# No such row exists; any answer shows that the store serves this process.
PROBE_KEY = "lease/cell/probe"
# Consecutive refusals after which the circuit opens. A single one may come from
# a rate limit; a missing answer opens it at once.
FAILURES_UNTIL_OPEN = 2


class CircuitBreakerTable(store.Table):
    """Performs operations while the store serves this process.

    Args:
        table: The store as accessed by this process.
        clock: Source of monotonic time.
    """

    def __init__(self, table: store.Table, clock: clock_module.Clock):
        self._table = table
        self._clock = clock
        self._is_open = False
        self._is_probing = False
        self._consecutive_failures = 0
        self._last_probe_s = 0.0
        self._last_answer_s = 0.0
        self._state_since_s = clock.now()
        self._reason = ""

    @property
    def is_open(self) -> bool:
        """Whether operations fail at once.

        It turns true after `FAILURES_UNTIL_OPEN` refusals in a row or a missing
        answer, and false with the next answer.
        """
        return self._is_open

    async def read(self, key: str) -> store.ReadResult:
        """Reads one row."""
        return await self._perform(self._table.read, key)

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> store.ScanResult:
        """Reads rows in key order."""
        return await self._perform(self._table.scan, prefix, after, limit)

    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> store.WatchResult:
        """Waits for changes of rows of one table."""
        return await self._perform(self._table.watch, table, after, wait_s)

    async def commit(
        self, transaction: store.Transaction
    ) -> outcome.CommitResult:
        """Applies a transaction."""
        return await self._perform(self._table.commit, transaction)

    async def reconnect(self) -> None:
        """Closes idle connections, as they may have gone silent."""
        await self._table.reconnect()

    def time(self) -> store.StoreTime | None:
        """Returns the store's time, None before the store first answered."""
        return self._table.time()

    async def _perform(self, operation, *arguments):
        now_s = self._clock.now()
        if not self._is_open:
            return self._record(await operation(*arguments), now_s)
        if (
            not self._is_probing
            and now_s - self._last_probe_s >= PROBE_INTERVAL_S
        ):
            self._last_probe_s = now_s
            self._is_probing = True
            await curio.spawn(self._probe, daemon=True)
        return outcome.Unavailable(self._reason)

    async def _probe(self) -> None:
        started_s = self._clock.now()
        try:
            self._record(await self._table.read(PROBE_KEY), started_s)
        finally:
            self._is_probing = False

    def _record(self, result, started_s: float):
        """Opens or closes the circuit after a result; returns the result.

        Args:
            result: Result of an operation.
            started_s: Start of the operation. If the store has answered a later
                one, a failure of this one is outdated.
        """
        failed = isinstance(result, outcome.Unavailable | outcome.Unknown)
        if failed and started_s < self._last_answer_s:
            return result
        match result:
            case outcome.Unavailable(reason=reason):
                self._consecutive_failures += 1
                self._reason = reason
            case outcome.Unknown(reason=reason):
                self._consecutive_failures += FAILURES_UNTIL_OPEN
                self._reason = reason
            case _:
                self._consecutive_failures = 0
                self._reason = ""
                self._last_answer_s = max(self._last_answer_s, started_s)
        is_open = self._consecutive_failures >= FAILURES_UNTIL_OPEN
        if is_open != self._is_open:
            now_s = self._clock.now()
            log.emit(
                events.Events.STORE_LOST
                if is_open
                else events.Events.STORE_BACK,
                reason=self._reason,
                after_s=round(now_s - self._state_since_s, 3),
            )
            self._state_since_s = self._last_probe_s = now_s
        self._is_open = is_open
        return result
