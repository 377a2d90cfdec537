"""Reads and watches the operator's rows that name zones to be evacuated.

On a connection that has gone silent, the rows are read afresh well within the
time in which an evacuation must take effect.
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
from pomelostair import tablewatch

# Wait of a watch, as a share of the time in which an evacuation must take
# effect (5 s on the platform).
WATCH_SHARE = 0.16


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
        evacuate_s = evacuate_ms / 1000
        self._metrics = metrics
        self._apply = apply
        self._watch = tablewatch.TableWatch(
            table,
            port.evacuations_table,
            min(tablewatch.MAX_WATCH_WAIT_S, WATCH_SHARE * evacuate_s),
            evacuate_s,
            tablewatch.Handlers(
                self._scan,
                self._apply_page,
                self._apply_changes,
                self._report_stale,
            ),
            metrics,
            "evacuation",
            clock,
        )
        self._zones: frozenset[str] = frozenset()
        self._ignored: set[str] = set()
        self._known = curio.Event()

    @property
    def age_s(self) -> float:
        """Seconds since the store last confirmed the set of zones."""
        return self._watch.age_s

    async def wait_until_known(self) -> None:
        """Waits until the rows were read once."""
        await self._known.wait()

    async def run(self) -> None:
        """Reads the rows and follows their changes until cancelled."""
        await self._watch.run()

    def _report_stale(self, age_s: float) -> None:
        log.emit(
            events.Events.EVACUATIONS_UNREAD,
            zones=sorted(self._zones),
            age_s=round(age_s, 3),
        )

    async def _scan(self) -> store.ScanResult:
        return await store.scan_all(self._table, self._port.evacuations_prefix)

    async def _apply_page(self, page: store.Page) -> None:
        await self._set(self._decode({row.key for row in page.rows}))
        await self._known.set()

    async def _apply_changes(self, changes: store.Changes) -> bool:
        written = self._decode({row.key for row in changes.rows})
        removed = self._decode(set(changes.deleted))
        if written & removed:
            # The answer does not tell which of the two came last.
            return False
        await self._set((self._zones - removed) | written)
        return True

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
