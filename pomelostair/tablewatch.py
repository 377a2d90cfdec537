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

# Longest wait of a watch, and its share of the time in which changes must be
# seen after connections have gone silent. A silent connection is noticed later
# with a longer wait; a shorter one costs more readings of the store.
MAX_WATCH_WAIT_S = 0.8
WATCH_SHARE = 0.1
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


def watch_wait_s(reconnect_ms: int) -> float:
    """Returns the wait of one watch.

    Args:
        reconnect_ms: Time in which a change must be seen after connections
            have gone silent.
    """
    return min(MAX_WATCH_WAIT_S, WATCH_SHARE * reconnect_ms / 1000)


class BoundedWatch:
    """Watches a table, and gives up soon after the wait of a watch.

    Args:
        table: The store.
        name: Table to watch.
        wait_s: Wait of one watch.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        table: store.Table,
        name: str,
        wait_s: float,
        clock: clock_module.Clock,
    ):
        self._table = table
        self._name = name
        self._wait_s = wait_s
        self._clock = clock
        self._answer_s = 0.0  # Longest recent answer time, decaying.

    @property
    def read_timeout_s(self) -> float:
        """Timeout of a reading that follows the recent answer times."""
        timeout_s = READ_TIMEOUT_FACTOR * self._answer_s
        return min(MAX_READ_TIMEOUT_S, max(MIN_READ_TIMEOUT_S, timeout_s))

    @property
    def _margin_s(self) -> float:
        margin_s = WATCH_MARGIN_FACTOR * self._answer_s
        return min(MAX_WATCH_MARGIN_S, max(MIN_WATCH_MARGIN_S, margin_s))

    def record_answer(self, took_s: float) -> None:
        """Records how long the store took for an answer."""
        self._answer_s = max(took_s, ANSWER_TIME_DECAY * self._answer_s)

    def record_timeout(self, timeout_s: float) -> None:
        """Records that an answer took longer, as the store may be slow."""
        self._answer_s = timeout_s

    def double_margin(self) -> None:
        """Gives the next watch more time, if no reading follows a lost one."""
        self._answer_s = 2 * self._margin_s / WATCH_MARGIN_FACTOR

    async def wait_for_changes(self, version: int) -> store.WatchResult | None:
        """Waits for changes after a version.

        Returns:
            The store's answer, None if there was none in time. Idle connections
            are closed then, as they have usually gone silent as well.
        """
        started_s = self._clock.now()
        changes = await curio.ignore_after(
            self._wait_s + self._margin_s,
            self._table.watch,
            self._name,
            version,
            self._wait_s,
        )
        if changes is None:
            await self._table.reconnect()
        if not isinstance(changes, store.Changes):
            return changes
        took_s = self._clock.now() - started_s
        if changes.rows or changes.deleted:
            # The change came at an unknown time of the wait, so the answer took
            # between `took_s - self._wait_s` and `took_s`.
            at_least_s = max(self._answer_s, took_s - self._wait_s)
            self._answer_s = min(took_s, at_least_s)
        else:
            self.record_answer(max(0.0, took_s - self._wait_s))
        return changes


@attrs.frozen
class Handlers:
    """What a follower of a table does.

    Attributes:
        scan: Reads the rows afresh.
        apply_page: Called with the rows that were read.
        apply_changes: Called with each change; returns whether it could be
            applied, else the rows are read afresh.
        report_stale: Called once with the seconds since the store confirmed
            the rows, or since the start, when these reach a limit.
    """

    scan: Callable[[], Awaitable[store.ScanResult]]
    apply_page: Callable[[store.Page], Awaitable[None]]
    apply_changes: Callable[[store.Changes], Awaitable[bool]]
    report_stale: Callable[[float], None]


class TableWatch:
    """Reads rows of a table and follows their changes.

    Args:
        table: The store.
        name: Table to watch.
        wait_s: Wait of one watch.
        stale_after_s: Time without a confirmation by the store after which the
            rows are reported as stale.
        handlers: What to read, and what to do with it.
        metrics: Registry that counts the readings and the lost watches.
        label: Prefix of the names of these counters.
        clock: Source of monotonic time.
        min_read_timeout_s: Shortest timeout of a reading; long enough for the
            rows over a slow link.
    """

    def __init__(
        self,
        table: store.Table,
        name: str,
        wait_s: float,
        stale_after_s: float,
        handlers: Handlers,
        metrics: metrics_module.Metrics,
        label: str,
        clock: clock_module.Clock,
        min_read_timeout_s: float = MIN_READ_TIMEOUT_S,
    ):
        self._table = table
        self._handlers = handlers
        self._metrics = metrics
        self._label = label
        self._clock = clock
        self._min_read_timeout_s = min_read_timeout_s
        self._watch = BoundedWatch(table, name, wait_s, clock)
        self._version: int | None = None
        self._stale_after_s = stale_after_s
        self._started_s = clock.now()
        self._confirmed_s: float | None = None
        self._reported_stale = False

    @property
    def age_s(self) -> float:
        """Seconds since the store confirmed the rows, or since the start."""
        since_s = self._confirmed_s
        return self._clock.now() - (
            self._started_s if since_s is None else since_s
        )

    @property
    def confirmed(self) -> bool:
        """Whether the store has ever confirmed the rows."""
        return self._confirmed_s is not None

    async def run(self) -> None:
        """Reads the rows and follows their changes until cancelled."""
        while True:
            if self._version is None:
                self._version = await self._read()
            else:
                self._version = await self._follow(self._version)
            if self._version is not None:
                self._confirmed_s = self._clock.now()
                self._reported_stale = False
            elif self.age_s >= self._stale_after_s and not self._reported_stale:
                self._reported_stale = True
                self._handlers.report_stale(self.age_s)

    async def _read(self) -> int | None:
        """Reads all rows.

        Returns:
            Version of the table to watch from, None if reading failed.
        """
        timeout_s = max(self._min_read_timeout_s, self._watch.read_timeout_s)
        started_s = self._clock.now()
        page = await curio.ignore_after(timeout_s, self._handlers.scan)
        if page is None:
            self._watch.record_timeout(timeout_s)
            await self._table.reconnect()
        if not isinstance(page, store.Page):
            self._metrics.count(f"{self._label}_reads", outcome="failed")
            await curio.sleep(RETRY_S)
            return None
        self._watch.record_answer(self._clock.now() - started_s)
        self._metrics.count(f"{self._label}_reads", outcome="read")
        await self._handlers.apply_page(page)
        return page.version

    async def _follow(self, version: int) -> int | None:
        """Waits for a change, and applies it.

        Returns:
            Version to watch from, None if the rows have to be read afresh.
        """
        changes = await self._watch.wait_for_changes(version)
        if not isinstance(changes, store.Changes):
            self._metrics.count(f"{self._label}_watches_lost")
            if not isinstance(changes, store.HistoryGone | None):
                await curio.sleep(RETRY_S)
            return None
        applied = await self._handlers.apply_changes(changes)
        return changes.version if applied else None
