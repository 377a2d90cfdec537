"""Replication of the configuration to all processes.

Entries poll the platform's table and push a newer configuration to each other
and to the agents that reported to them. Every process periodically reports its
version to an entry; whichever of the two has the higher version sends its
document to the other. A process only ever applies a higher version.
"""

import attrs
import curio

from pomelostair import configtable
from pomelostair import declaration
from pomelostair import events
from pomelostair import kernel
from pomelostair import log
from pomelostair import membership
from pomelostair import outcome
from pomelostair import settings as settings_module
from pomelostair import wire

POLL_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 0.7
UNSYNCED_REPORT_INTERVAL_S = 0.1
SYNC_GRACE_S = 3.0
PUSH_MAX_REPORT_AGE_S = 3 * REPORT_INTERVAL_S
STATUS_TIMEOUT_S = 1.0
STATUS_EXPIRY_S = 300.0


@wire.message("config-version")
@attrs.frozen
class ConfigVersion:
    """Reports a process's version; the receiver answers with a higher one.

    Attributes:
        role: Role of the process.
        version: Version that it has in force.
        known: Whether it has synchronized since its start, so that its version
            is an accepted one and not the initial default.
    """

    role: str
    version: int
    known: bool


@wire.message("config-document")
@attrs.frozen
class ConfigDocument:
    """A whole configuration as JSON."""

    document: bytes


@wire.message("config-status-query")
@attrs.frozen
class ConfigStatusQuery:
    """Asks another entry for the versions that were reported to it."""


@attrs.frozen
class ProcessStatus:
    """Latest report of a process's configuration version.

    Attributes:
        name: Name of the process.
        role: Its role.
        version: Version that it reported.
        age_s: Seconds since that report.
    """

    name: str
    role: str
    version: int
    age_s: float


@wire.message("config-status")
@attrs.frozen
class ConfigStatus:
    """Answer to `ConfigStatusQuery`."""

    processes: tuple[ProcessStatus, ...]


@attrs.frozen
class _Report:
    role: str
    bus: str
    version: int
    received_s: float


@kernel.plugin(settings_module.Role.ENTRY, settings_module.Role.AGENT)
class Configuration(kernel.Plugin):
    """Keeps the newest accepted configuration in force."""

    requires = (membership.Membership,)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._directory = host.get(membership.Membership).directory
        self._role = parts.settings.role
        self._in_force = declaration.VersionedConfiguration()
        self._synced = False
        self._started_at_s = parts.clock.now()
        self._reports: dict[str, _Report] = {}
        self._table = configtable.ConfigTable(parts.table)
        parts.bus.handle(ConfigVersion, self._on_version)
        parts.bus.handle(ConfigDocument, self._on_document)
        parts.bus.handle(ConfigStatusQuery, self._on_status_query)
        parts.metrics.gauge("config_version", lambda: self._in_force.version)

    @property
    def in_force(self) -> declaration.VersionedConfiguration:
        """The configuration in force; read it again for each decision."""
        return self._in_force

    @property
    def is_synced(self) -> bool:
        """Whether this process has synchronized since its start.

        After a grace period without any answer it also counts as synchronized,
        so that work can start while no peer and no table is reachable.
        """
        if not self._synced:
            waited_s = self._parts.clock.now() - self._started_at_s
            self._synced = waited_s > SYNC_GRACE_S
        return self._synced

    async def run(self) -> None:
        """Polls the table and reports the version until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._report_at_intervals)
            if self._role is settings_module.Role.ENTRY:
                await group.spawn(self._poll_at_intervals)
        _ = group.result

    async def change(
        self, edit: configtable.Edit, expected: int | None = None
    ) -> configtable.Accepted | outcome.Refused:
        """Changes the accepted configuration and applies it to this process.

        Args:
            edit: Returns the edited configuration, or a refusal.
            expected: Version that the change must be based on, None for any.

        Returns:
            The accepted change, or why it was refused.
        """
        result = await self._table.change(
            edit, self._in_force.version, expected
        )
        match result:
            case configtable.Accepted(after=after):
                await self.apply_if_newer(after)
            case outcome.Refused(kind=kind):
                self._parts.metrics.count(
                    "config_changes_refused", reason=kind.value
                )
        return result

    async def apply_if_newer(
        self, document: declaration.VersionedConfiguration
    ) -> bool:
        """Applies a configuration if its version is higher.

        Returns:
            Whether it was applied.
        """
        self._synced = True
        if document.version <= self._in_force.version:
            return False
        self._in_force = document
        log.emit(events.Events.CONFIG_APPLIED, version=document.version)
        if self._role is settings_module.Role.ENTRY:
            await self._push_to_peers()
        return True

    async def process_statuses(self) -> tuple[ProcessStatus, ...]:
        """Returns the latest report of every process, queried from all entries.

        An entry that doesn't answer is left out.
        """
        newest_by_name = {
            status.name: status for status in self._local_statuses()
        }
        others = [
            entry.bus
            for entry in self._directory.entries()
            if entry.bus != self._parts.bus.address
        ]
        async with curio.TaskGroup() as group:
            for address in others:
                await group.spawn(self._query_statuses, address)
        for statuses in group.results:
            for status in statuses:
                newest = newest_by_name.get(status.name)
                if newest is None or status.age_s < newest.age_s:
                    newest_by_name[status.name] = status
        return tuple(newest_by_name[name] for name in sorted(newest_by_name))

    async def _query_statuses(self, address: str) -> tuple[ProcessStatus, ...]:
        result = await self._parts.bus.call(
            address, ConfigStatusQuery(), STATUS_TIMEOUT_S
        )
        match getattr(result, "message", None):
            case ConfigStatus(processes=processes):
                return processes
        return ()

    def _local_statuses(self) -> tuple[ProcessStatus, ...]:
        now = self._parts.clock.now()
        own = ProcessStatus(
            self._parts.settings.name,
            self._role.value,
            self._in_force.version,
            0.0,
        )
        for name, report in list(self._reports.items()):
            if now - report.received_s > STATUS_EXPIRY_S:
                del self._reports[name]
        reported = tuple(
            ProcessStatus(name, r.role, r.version, now - r.received_s)
            for name, r in self._reports.items()
        )
        return (own, *reported)

    async def _poll_at_intervals(self) -> None:
        while True:
            document = await self._table.read()
            if isinstance(document, outcome.Unavailable):
                self._parts.metrics.count("config_reads_failed")
            elif document.version < self._in_force.version:
                self._parts.metrics.count("config_reads_stale")
            else:
                await self.apply_if_newer(document)
            await curio.sleep(POLL_INTERVAL_S)

    async def _report_at_intervals(self) -> None:
        while True:
            await self._report_to_one()
            await curio.sleep(
                REPORT_INTERVAL_S
                if self._synced
                else UNSYNCED_REPORT_INTERVAL_S
            )

    async def _report_to_one(self) -> None:
        entries = [
            entry.bus
            for entry in self._directory.entries()
            if entry.bus != self._parts.bus.address
        ]
        if entries:
            await self._spawn_send(
                self._parts.random.choice(entries), self._version_message()
            )

    def _version_message(self) -> ConfigVersion:
        return ConfigVersion(
            self._role.value, self._in_force.version, self._synced
        )

    async def _push_to_peers(self) -> None:
        oldest_s = self._parts.clock.now() - PUSH_MAX_REPORT_AGE_S
        addresses = {
            report.bus
            for report in self._reports.values()
            if report.received_s >= oldest_s
            and report.version < self._in_force.version
        }
        addresses |= {entry.bus for entry in self._directory.entries()}
        addresses.discard(self._parts.bus.address)
        document = ConfigDocument(configtable.encode(self._in_force))
        for address in addresses:
            await self._spawn_send(address, document)

    async def _on_version(self, message: ConfigVersion, envelope) -> None:
        self._reports[envelope.sender] = _Report(
            message.role,
            envelope.reply_to,
            message.version,
            self._parts.clock.now(),
        )
        own = self._in_force.version
        if message.version < own:
            document = ConfigDocument(configtable.encode(self._in_force))
            await self._spawn_send(envelope.reply_to, document)
        elif message.version > own or (self._synced and not message.known):
            await self._spawn_send(envelope.reply_to, self._version_message())
        elif message.known and message.version == own:
            self._synced = True

    async def _on_document(self, message: ConfigDocument, envelope) -> None:
        document = configtable.decode(message.document)
        if isinstance(document, outcome.Unavailable):
            log.emit(events.Events.CONFIG_REFUSED, reason=document.reason)
            return
        if await self.apply_if_newer(document):
            await self._spawn_send(envelope.reply_to, self._version_message())

    async def _on_status_query(self, _message, envelope) -> None:
        status = ConfigStatus(self._local_statuses())
        await curio.spawn(self._parts.bus.reply, envelope, status, daemon=True)

    async def _spawn_send(self, address: str, message: object) -> None:
        await curio.spawn(self._parts.bus.send, address, message, daemon=True)
