"""Announces an agent's target to every entry."""

import curio

from pomelostair import gate
from pomelostair import kernel
from pomelostair import membership
from pomelostair import messages
from pomelostair import settings as settings_module
from pomelostair import siteorders

DRAIN_ANNOUNCEMENT_TIMEOUT_S = 2.0


@kernel.plugin(settings_module.Role.AGENT)
class Announcer(kernel.Plugin):
    """Announces the target to the entries, at intervals and on drain."""

    requires = (gate.Gate, membership.Membership, siteorders.SiteOrders)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._gate = host.get(gate.Gate)
        self._directory = host.get(membership.Membership).directory
        self._orders = host.get(siteorders.SiteOrders)
        self._state = messages.TargetState.READY

    async def run(self) -> None:
        """Announces until cancelled."""
        interval_s = self._parts.settings.timing.announce_ms / 1000
        while True:
            await self.announce()
            await curio.sleep(interval_s)

    async def drain(self, timeout_s: float) -> None:
        """Announces to all entries immediately that the target is draining.

        Once an entry has acknowledged this, none of its requests is in
        transit to this agent any more. The timeout keeps an unresponsive
        entry from delaying the shutdown.
        """
        self._state = messages.TargetState.DRAINING
        call_timeout_s = min(timeout_s, DRAIN_ANNOUNCEMENT_TIMEOUT_S)
        announcement = self._announcement()
        async with curio.TaskGroup() as group:
            for entry in self._directory.entries():
                await group.spawn(
                    self._parts.bus.call,
                    entry.bus,
                    announcement,
                    call_timeout_s,
                )

    async def announce(self) -> None:
        """Sends one announcement to each known entry."""
        announcement = self._announcement()
        for entry in self._directory.entries():
            await self._parts.bus.send(entry.bus, announcement)

    def _announcement(self) -> messages.Announcement:
        settings = self._parts.settings
        state = self._state
        if state is messages.TargetState.READY:
            state = self._orders.target_state()
        minion = self._gate.minion
        return messages.Announcement(
            name=settings.name,
            zone=settings.zone,
            cell=settings.cell,
            state=state,
            service="" if minion is None else minion.service,
            slots=0 if minion is None else minion.slots,
            running=self._gate.running,
            queued=self._gate.queued,
            service_ms=self._gate.service_ms,
            leader=self._directory.leader(settings.cell),
            clock_ms=self._parts.clock.now() * 1000,
            waits_ms=self._gate.expected_waits_ms(),
            sheds=self._gate.class_to_shed(),
        )
