"""Reads and watches the operator's row that configures the queues.

On connections that have gone silent, the row is read afresh within the time in
which a change must be in force again.
"""

from collections.abc import Callable
import math

from pomelostair import clock as clock_module
from pomelostair import events
from pomelostair import log
from pomelostair import metrics as metrics_module
from pomelostair import ports
from pomelostair import store
from pomelostair import tablewatch

# Shortest timeout of a reading. A document of 300 KB takes a third of a second
# on an idle link of 10 Mbit/s, and longer beside the traffic of callers.
MIN_READ_TIMEOUT_S = 1.6


class QueueWatch:
    """Follows the row while its process runs.

    Args:
        table: The store.
        port: Names the row.
        reconnect_ms: Time in which a change must be seen after connections
            have gone silent.
        metrics: Registry that counts the readings.
        clock: Source of monotonic time.
        apply: Called with the document after each reading and change.
    """

    def __init__(
        self,
        table: store.Table,
        port: ports.Port,
        reconnect_ms: int,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
        apply: Callable[[bytes], None],
    ):
        self._table = table
        self._port = port
        self._apply = apply
        self._watch = tablewatch.TableWatch(
            table,
            port.queues_table,
            tablewatch.watch_wait_s(reconnect_ms),
            reconnect_ms / 1000,
            tablewatch.Handlers(
                self._scan,
                self._apply_page,
                self._apply_changes,
                self._report_stale,
            ),
            metrics,
            "queue",
            clock,
            MIN_READ_TIMEOUT_S,
        )

    @property
    def age_s(self) -> float:
        """Seconds since the store last confirmed the row.

        Infinite if it never did.
        """
        return self._watch.age_s if self._watch.confirmed else math.inf

    async def run(self) -> None:
        """Reads the row and follows its changes until cancelled."""
        await self._watch.run()

    def _report_stale(self, age_s: float) -> None:
        log.emit(events.Events.CONFIG_UNREAD, silent_s=round(age_s, 3))

    async def _scan(self) -> store.ScanResult:
        return await self._table.scan(self._port.queues_key)

    async def _apply_page(self, page: store.Page) -> None:
        self._apply_rows(page.rows)

    async def _apply_changes(self, changes: store.Changes) -> bool:
        self._apply_rows(changes.rows)
        return True

    def _apply_rows(self, rows: tuple[store.Row, ...]) -> None:
        for row in rows:
            if row.key == self._port.queues_key:
                self._apply(row.value)
