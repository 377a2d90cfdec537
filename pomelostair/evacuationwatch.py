"""Reads and watches the operator's rows that name zones to be evacuated.

The watch is short, and each of its answers is bounded in time. On a connection
that has fallen silent, the rows are read afresh well within the time in which
an evacuation must take effect.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import curio

from pomelostair import clock as clock_module
from pomelostair import events
from pomelostair import log
from pomelostair import metrics as metrics_module
from pomelostair import ports
from pomelostair import store

# Longest wait of a watch, and its share of the time in which an evacuation must
# take effect (5 s on the platform).
MAX_WATCH_WAIT_S = 0.8
WATCH_SHARE = 0.16
# Time for the answer of a watch, in addition to its wait: a multiple of the
# longest recent answer time, within bounds. On a store that answers after 1.6 s
# a fixed margin lost each watch.
WATCH_MARGIN_FACTOR = 1.25
MIN_WATCH_MARGIN_S = 0.4
MAX_WATCH_MARGIN_S = 2.0
# Timeout of a reading, a multiple of the longest recent answer time as well. It
# doubles after each reading without an answer, as the store may only be slow. A
# silent store is read again after 2.4 s (a watch, a reading and a pause). The
# circuit breaker is open by then, since the leader's commits have no answer
# either, so that a peer relays this reading. The upper bound exceeds the
# longest timeout of a reading by the store's client.
READ_TIMEOUT_FACTOR = 2.0
MIN_READ_TIMEOUT_S = 0.9
MAX_READ_TIMEOUT_S = 2.4
# Share of the longest recent answer time that is kept with each answer.
ANSWER_TIME_DECAY = 0.8
RETRY_S = 0.25


class EvacuationWatch:
    """Follows the rows during one term of a leader.

    Args:
        table: The store.
        port: Names the rows.
        evacuate_ms: Time in which an evacuation must take effect.
        metrics: Registry that counts the readings.
        clock: Source of monotonic time.
        apply: Called with the zones after each reading and change.
    """

    def __init__(
        self,
        table: store.Table,
        port: ports.Port,
        evacuate_ms: int,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
        apply: Callable[[frozenset[str]], Awaitable[None]],
    ):
        self._table = table
        self._port = port
        self._evacuate_s = evacuate_ms / 1000
        self._wait_s = min(MAX_WATCH_WAIT_S, WATCH_SHARE * self._evacuate_s)
        self._metrics = metrics
        self._clock = clock
        self._apply = apply
        self._answer_s = 0.0  # Longest recent answer time, decaying.
        self._zones: frozenset[str] = frozenset()
        self._ignored: set[str] = set()
        self._known = curio.Event()
        self._confirmed_s = clock.now()
        self._reported_stale = False

    @property
    def age_s(self) -> float:
        """Seconds since the store last confirmed the set of zones."""
        return self._clock.now() - self._confirmed_s

    @property
    def _watch_margin_s(self) -> float:
        margin_s = WATCH_MARGIN_FACTOR * self._answer_s
        return min(MAX_WATCH_MARGIN_S, max(MIN_WATCH_MARGIN_S, margin_s))

    @property
    def _read_timeout_s(self) -> float:
        timeout_s = READ_TIMEOUT_FACTOR * self._answer_s
        return min(MAX_READ_TIMEOUT_S, max(MIN_READ_TIMEOUT_S, timeout_s))

    def _record_answer(self, took_s: float) -> None:
        self._answer_s = max(took_s, ANSWER_TIME_DECAY * self._answer_s)

    async def wait_until_known(self) -> None:
        """Waits until the rows were read once."""
        await self._known.wait()

    async def run(self) -> None:
        """Reads the rows and follows their changes until cancelled."""
        version = None
        while True:
            if version is None:
                version = await self._read()
            else:
                version = await self._watch(version)
            if version is None:
                self._report_stale()
            else:
                self._confirmed_s = self._clock.now()
                self._reported_stale = False

    def _report_stale(self) -> None:
        if self.age_s >= self._evacuate_s and not self._reported_stale:
            self._reported_stale = True
            log.emit(
                events.Events.EVACUATIONS_UNREAD,
                zones=sorted(self._zones),
                age_s=round(self.age_s, 3),
            )

    async def _read(self) -> int | None:
        """Reads all rows.

        Returns:
            Version of the table to watch from, None if reading failed.
        """
        timeout_s = self._read_timeout_s
        started_s = self._clock.now()
        page = await curio.ignore_after(timeout_s, self._scan)
        if page is None:
            self._answer_s = 2 * timeout_s / READ_TIMEOUT_FACTOR
        if not isinstance(page, store.Page):
            self._metrics.count("evacuation_reads", outcome="failed")
            await curio.sleep(RETRY_S)
            return None
        self._record_answer(self._clock.now() - started_s)
        self._metrics.count("evacuation_reads", outcome="read")
        await self._set(self._decode({row.key for row in page.rows}))
        await self._known.set()
        return page.version

    async def _scan(self) -> store.ScanResult:
        rows: list[store.Row] = []
        version = None
        after = ""
        while True:
            page = await self._table.scan(self._port.evacuations_prefix, after)
            if not isinstance(page, store.Page):
                return page
            version = page.version if version is None else version
            rows.extend(page.rows)
            if not page.more or not page.rows:
                return store.Page(tuple(rows), False, version)
            after = page.rows[-1].key

    async def _watch(self, version: int) -> int | None:
        """Waits for a change, and applies it.

        Returns:
            Version to watch from, None if the rows have to be read afresh.
        """
        started_s = self._clock.now()
        changes = await curio.ignore_after(
            self._wait_s + self._watch_margin_s,
            self._table.watch,
            self._port.evacuations_table,
            version,
            self._wait_s,
        )
        if not isinstance(changes, store.Changes):
            self._metrics.count("evacuation_watches_lost")
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
        written = self._decode({row.key for row in changes.rows})
        removed = self._decode(set(changes.deleted))
        if written & removed:
            # The answer does not tell which of the two came last.
            return None
        await self._set((self._zones - removed) | written)
        return changes.version

    def _decode(self, keys: set[str]) -> frozenset[str]:
        zones = set()
        for key in keys:
            if not key.startswith(self._port.evacuations_prefix):
                continue
            zone = self._port.decode_evacuated_zone(key)
            if zone:
                zones.add(zone)
            elif key not in self._ignored:
                self._ignored.add(key)
                self._metrics.count("rows_ignored")
                log.emit(
                    events.Events.ROW_IGNORED, key=key, reason="names no zone"
                )
        return frozenset(zones)

    async def _set(self, zones: frozenset[str]) -> None:
        if zones != self._zones or not self._known.is_set():
            self._zones = zones
            await self._apply(zones)
