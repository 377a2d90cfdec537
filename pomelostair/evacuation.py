"""Evacuation of availability zones: which workers get no starts.

An operator names the zones in rows of the store. The workers of these zones
finish what they run, and get no further attempts until the rows are removed.
"""

from collections.abc import Iterable

from pomelostair import events
from pomelostair import fleet
from pomelostair import log
from pomelostair import metrics as metrics_module

# Time for which a zone may be without a known worker before it is reported as
# unknown. Agents report to a new leader within about a second.
UNKNOWN_ZONE_S = 5.0


class Evacuation:
    """Zones that are being evacuated, during one term of a leader.

    Args:
        metrics: Registry that counts the changes.
    """

    def __init__(self, metrics: metrics_module.Metrics):
        self._metrics = metrics
        # Monotonic time of the first check of each zone, by name.
        self._zones: dict[str, float] = {}
        self._unknown: set[str] = set()
        self._blocked_services: set[str] = set()
        self._evacuated_workers = 0

    @property
    def zones(self) -> frozenset[str]:
        """Zones that are being evacuated."""
        return frozenset(self._zones)

    @property
    def evacuated_workers(self) -> int:
        """Workers in these zones at the latest check."""
        return self._evacuated_workers

    @property
    def unknown_zones(self) -> frozenset[str]:
        """Zones among them without a known worker for a while."""
        return frozenset(self._unknown)

    @property
    def blocked_services(self) -> frozenset[str]:
        """Services with all workers in these zones at the latest check."""
        return frozenset(self._blocked_services)

    def covers(self, zone: str) -> bool:
        """Returns whether workers of a zone get no starts."""
        return zone in self._zones

    def set_zones(self, zones: Iterable[str], now: float) -> bool:
        """Replaces the set of zones; returns whether it has changed.

        Args:
            zones: Zones that the operator's rows name.
            now: Monotonic seconds.
        """
        named = frozenset(zones)
        begun = named - self._zones.keys()
        ended = self._zones.keys() - named
        for zone in sorted(begun):
            self._zones[zone] = now
            self._metrics.count("evacuations", change="begun")
            log.emit(
                events.Events.EVACUATION_BEGUN, zone=zone, zones=sorted(named)
            )
        for zone in sorted(ended):
            del self._zones[zone]
            self._unknown.discard(zone)
            self._metrics.count("evacuations", change="ended")
            log.emit(
                events.Events.EVACUATION_ENDED, zone=zone, zones=sorted(named)
            )
        return bool(begun or ended)

    def check(self, workers: Iterable[fleet.Worker], now: float) -> None:
        """Reports zones without workers, and services without usable ones.

        Each is reported once, until it changes.

        Args:
            workers: All workers.
            now: Monotonic seconds.
        """
        if not (self._zones or self._blocked_services):
            self._evacuated_workers = 0
            return
        known_zones = set()
        blocked, usable = set(), set()
        self._evacuated_workers = 0
        for worker in workers:
            known_zones.add(worker.state.zone)
            service = worker.state.service
            if worker.evacuated:
                self._evacuated_workers += 1
                blocked.add(service)
            elif worker.accepts_attempts(now):
                usable.add(service)
        self._report_unknown(known_zones, now)
        blocked -= usable
        for service in sorted(blocked - self._blocked_services):
            log.emit(
                events.Events.EVACUATION_BLOCKS_SERVICE,
                service=service,
                zones=sorted(self._zones),
            )
        self._blocked_services = blocked

    def _report_unknown(self, known_zones: set[str], now: float) -> None:
        self._unknown -= known_zones
        for zone, since_s in self._zones.items():
            if (
                zone not in known_zones
                and zone not in self._unknown
                and now - since_s >= UNKNOWN_ZONE_S
            ):
                self._unknown.add(zone)
                log.emit(events.Events.EVACUATED_ZONE_UNKNOWN, zone=zone)
