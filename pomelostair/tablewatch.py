"""Follows the rows of a table, with a bound on the time of each answer.

A connection may go silent without a reset, so that only a missing answer
reveals it. A watch is therefore short, and given up soon after its wait, so
that changes are seen within the time in which they must take effect.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import curio

from pomelostair import clock as clock_module
from pomelostair import metrics as metrics_module
from pomelostair import store

# Longest wait of a watch. A longer one is noticed later on a silent connection;
# a shorter one costs more readings of the store.
MAX_WATCH_WAIT_S = 0.8
# Time for the answer of a watch, in addition to its wait: a multiple of the
# longest recent answer time, within bounds. On a store that answers after 1.6 s
# a fixed margin lost each watch.
WATCH_MARGIN_FACTOR = 1.25
MIN_WATCH_MARGIN_S = 0.4
MAX_WATCH_MARGIN_S = 2.0
# Timeout of a reading, a multiple of the longest recent answer time as well. It
# doubles after each reading without an answer, as the store may only be slow.
# The upper bound exceeds the longest timeout of the store's client.
READ_TIMEOUT_FACTOR = 2.0
MIN_READ_TIMEOUT_S = 0.9
MAX_READ_TIMEOUT_S = 2.4
# Share of the longest recent answer time that is kept with each answer.
ANSWER_TIME_DECAY = 0.8
RETRY_S = 0.25


@attrs.frozen
class Handlers:
    """What a follower of a table does.

    Attributes:
        scan: Reads the rows afresh.
        apply_page: Called with the rows that were read.
        apply_changes: Called with each change; returns whether it could be
            applied, else the rows are read afresh.
    """

    scan: Callable[[], Awaitable[store.ScanResult]]
    apply_page: Callable[[store.Page], Awaitable[None]]
    apply_changes: Callable[[store.Changes], Awaitable[bool]]


class TableWatch:
    """Reads rows of a table and follows their changes.

    Args:
        table: The store.
        name: Table to watch.
        wait_s: Wait of one watch.
        handlers: What to read, and what to do with it.
        metrics: Registry that counts the readings and the lost watches.
        label: Begin of the names of these counters.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        table: store.Table,
        name: str,
        wait_s: float,
        handlers: Handlers,
        metrics: metrics_module.Metrics,
        label: str,
        clock: clock_module.Clock,
    ):
        self._table = table
        self._name = name
        self._wait_s = wait_s
        self._handlers = handlers
        self._metrics = metrics
        self._label = label
        self._clock = clock
        self._version: int | None = None
        self._answer_s = 0.0  # Longest recent answer time, decaying.

    @property
    def _watch_margin_s(self) -> float:
        margin_s = WATCH_MARGIN_FACTOR * self._answer_s
        return min(MAX_WATCH_MARGIN_S, max(MIN_WATCH_MARGIN_S, margin_s))

    @property
    def _read_timeout_s(self) -> float:
        timeout_s = READ_TIMEOUT_FACTOR * self._answer_s
        return min(MAX_READ_TIMEOUT_S, max(MIN_READ_TIMEOUT_S, timeout_s))

    async def step(self) -> bool:
        """Reads the rows, or waits for one change of them.

        Returns:
            Whether the store has confirmed the rows; if not, the next step
            reads them.
        """
        if self._version is None:
            self._version = await self._read()
        else:
            self._version = await self._watch(self._version)
        return self._version is not None

    def _record_answer(self, took_s: float) -> None:
        self._answer_s = max(took_s, ANSWER_TIME_DECAY * self._answer_s)

    async def _read(self) -> int | None:
        """Reads all rows.

        Returns:
            Version of the table to watch from, None if reading failed.
        """
        timeout_s = self._read_timeout_s
        started_s = self._clock.now()
        page = await curio.ignore_after(timeout_s, self._handlers.scan)
        if page is None:
            self._answer_s = 2 * timeout_s / READ_TIMEOUT_FACTOR
            await self._table.reconnect()
        if not isinstance(page, store.Page):
            self._metrics.count(f"{self._label}_reads", outcome="failed")
            await curio.sleep(RETRY_S)
            return None
        self._record_answer(self._clock.now() - started_s)
        self._metrics.count(f"{self._label}_reads", outcome="read")
        await self._handlers.apply_page(page)
        return page.version

    async def _watch(self, version: int) -> int | None:
        """Waits for a change, and applies it.

        Returns:
            Version to watch from, None if the rows have to be read afresh.
        """
        started_s = self._clock.now()
        changes = await curio.ignore_after(
            self._wait_s + self._watch_margin_s,
            self._table.watch,
            self._name,
            version,
            self._wait_s,
        )
        if changes is None:
            # Idle connections have usually gone silent as well.
            await self._table.reconnect()
        if not isinstance(changes, store.Changes):
            self._metrics.count(f"{self._label}_watches_lost")
            if not isinstance(changes, store.HistoryGone | None):
                await curio.sleep(RETRY_S)
            return None
        took_s = self._clock.now() - started_s
        if changes.rows or changes.deleted:
            # The change came at an unknown time of the wait, so the answer took
            # between `took_s - self._wait_s` and `took_s`.
            at_least_s = max(self._answer_s, took_s - self._wait_s)
            self._answer_s = min(took_s, at_least_s)
        else:
            self._record_answer(max(0.0, took_s - self._wait_s))
        applied = await self._handlers.apply_changes(changes)
        return changes.version if applied else None
