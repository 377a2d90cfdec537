"""What a process knows of the entries, targets and leaders of the site."""

import attrs

from pomelostair import clock as clock_module
from pomelostair import messages
from pomelostair import wire

ENTRY_EXPIRY_S = 10.0
TARGET_EXPIRY_S = 60.0
CLOCK_DRIFT = 0.001


@attrs.define
class Target:
    """One announced target.

    Attributes:
        bus: Bus URL of its agent.
        incarnation: Incarnation of its agent.
        announcement: The latest announcement.
        seen: Monotonic seconds at which it was sent, or a little later.
        ahead_s: Lower bound of how far the agent's clock is ahead of this
            process's.
        outstanding: Requests of this process that are not answered yet, by
            urgency class.
        counted: The same when the announcement came.
    """

    bus: str
    incarnation: str
    announcement: messages.Announcement
    announced_s: float
    clock_offset_s: float
    outstanding: list[int] = attrs.field(
        factory=lambda: [0] * len(messages.Urgency)
    )
    outstanding_when_announced: tuple[int, ...] = (0,) * len(messages.Urgency)

    def update(
        self,
        announcement: messages.Announcement,
        clock_offset_s: float,
        now_s: float,
    ) -> None:
        """Takes over a further announcement of the same incarnation.

        An announcement that was delayed only lowers its bound of the clock,
        so the best one is kept, less what the clocks may have drifted. It
        also tells by the agent's clock how old the announcement is: a process
        that was frozen does not take its old messages for news.
        """
        drift_s = CLOCK_DRIFT * (now_s - self.announced_s)
        self.clock_offset_s = max(clock_offset_s, self.clock_offset_s - drift_s)
        self.announcement = announcement
        self.announced_s = min(
            now_s, announcement.clock_ms / 1000 - self.clock_offset_s
        )
        self.outstanding_when_announced = tuple(self.outstanding)


class Directory:
    """Entries, targets and leaders, as last heard of.

    Args:
        clock: Source of the ages.
        silent_s: Silence after which a target gets no new work.
    """

    def __init__(self, clock: clock_module.Clock, silence_timeout_s: float):
        self._clock = clock
        self._silent_s = silence_timeout_s
        self._entries: dict[str, tuple[messages.EntryAddress, float]] = {}
        self._targets: dict[str, Target] = {}
        self._leaders: dict[str, messages.LeaderAddress] = {}

    def update_entry(self, entry: messages.EntryAddress) -> None:
        """Takes over an entry that is not known or was heard of later."""
        heard = self._clock.now() - entry.age_s
        known = self._entries.get(entry.name)
        if known is None or known[1] < heard:
            self._entries[entry.name] = (entry, heard)

    def entries(self) -> tuple[messages.EntryAddress, ...]:
        """Returns the entries heard of recently, with their ages."""
        now = self._clock.now()
        return tuple(
            attrs.evolve(entry, age_s=max(0.0, now - heard))
            for entry, heard in self._entries.values()
            if now - heard < ENTRY_EXPIRY_S
        )

    def count_entries(self) -> int:
        """Returns the number of entries heard of recently, at least one."""
        horizon = self._clock.now() - ENTRY_EXPIRY_S
        heard = sum(heard > horizon for _, heard in self._entries.values())
        return max(1, heard)

    def update_leader(self, leader: messages.LeaderAddress) -> None:
        """Takes over a leader of a newer epoch."""
        known = self._leaders.get(leader.cell)
        if known is None or known.epoch < leader.epoch:
            self._leaders[leader.cell] = leader

    def leader(self, cell: str) -> messages.LeaderAddress | None:
        """Returns the newest known leader of a cell."""
        return self._leaders.get(cell)

    def leaders(self) -> tuple[messages.LeaderAddress, ...]:
        """Returns the newest known leader of each cell."""
        return tuple(self._leaders.values())

    def update_target(
        self, announcement: messages.Announcement, envelope: wire.Envelope
    ) -> bool:
        """Takes over an announcement.

        Returns:
            Whether the target is new or its agent restarted.
        """
        known = self._targets.get(announcement.name)
        now = self._clock.now()
        ahead_s = announcement.clock_ms / 1000 - now
        if known is not None and known.incarnation == envelope.incarnation:
            if announcement.clock_ms >= known.announcement.clock_ms:
                known.update(announcement, ahead_s, now)
            return False
        self._targets[announcement.name] = Target(
            envelope.reply_to, envelope.incarnation, announcement, now, ahead_s
        )
        return True

    def targets(self) -> tuple[Target, ...]:
        """Returns all targets heard of in the last minute."""
        horizon = self._clock.now() - TARGET_EXPIRY_S
        for name, target in list(self._targets.items()):
            if target.announced_s < horizon and not any(target.outstanding):
                del self._targets[name]
        return tuple(self._targets.values())

    def serves(self, service: str) -> bool:
        """Returns whether any known minion serves a service."""
        return any(
            t.announcement.service == service for t in self._targets.values()
        )

    def candidates(self, service: str) -> tuple[Target, ...]:
        """Returns the minions of a service that may get new work."""
        horizon = self._clock.now() - self._silent_s
        return tuple(
            target
            for target in self._targets.values()
            if target.announcement.service == service
            and target.announcement.state is messages.TargetState.READY
            and target.announced_s >= horizon
        )
