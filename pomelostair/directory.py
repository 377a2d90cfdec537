"""A process's view of the entries, targets and leaders of the site."""

import attrs

from pomelostair import clock as clock_module
from pomelostair import messages
from pomelostair import wire

ENTRY_EXPIRY_S = 10.0
TARGET_EXPIRY_S = 60.0
CLOCK_DRIFT = 0.001  # Bound of the relative drift between two clocks.


@attrs.define
class Target:
    """One announced target.

    Attributes:
        bus: Bus URL of its agent.
        incarnation: Incarnation of its agent.
        announcement: The latest announcement.
        announced_s: Upper bound of the monotonic time at which the
            announcement was sent, in seconds.
        clock_offset_s: Lower bound of the offset of the agent's clock from
            this process's clock.
        outstanding: Number of requests of this process that are not answered
            yet, by urgency class.
        outstanding_when_announced: Value of `outstanding` when the
            announcement was received.
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
        """Applies a further announcement of the same incarnation.

        A delayed announcement only yields a lower bound of the clock offset,
        so the highest bound is retained, less the possible drift of the
        clocks since. With it, the age of the announcement is computed from
        the agent's clock, so that a process that was paused does not treat
        its backlog of old messages as current.
        """
        drift_s = CLOCK_DRIFT * (now_s - self.announced_s)
        self.clock_offset_s = max(clock_offset_s, self.clock_offset_s - drift_s)
        self.announcement = announcement
        self.announced_s = min(
            now_s, announcement.clock_ms / 1000 - self.clock_offset_s
        )
        self.outstanding_when_announced = tuple(self.outstanding)


class Directory:
    """The last known entries, targets and leaders.

    Args:
        clock: Source of monotonic time.
        silence_timeout_s: Age of the latest announcement beyond which a
            target gets no new work.
    """

    def __init__(self, clock: clock_module.Clock, silence_timeout_s: float):
        self._clock = clock
        self._silence_timeout_s = silence_timeout_s
        self._entries: dict[str, tuple[messages.EntryAddress, float]] = {}
        self._targets: dict[str, Target] = {}
        self._leaders: dict[str, messages.LeaderAddress] = {}

    def update_entry(self, entry: messages.EntryAddress) -> None:
        """Stores an entry unless a more recent record of it exists."""
        last_seen_s = self._clock.now() - entry.age_s
        current = self._entries.get(entry.name)
        if current is None or current[1] < last_seen_s:
            self._entries[entry.name] = (entry, last_seen_s)

    def entries(self) -> tuple[messages.EntryAddress, ...]:
        """Returns the entries that have not expired, with their ages."""
        now_s = self._clock.now()
        return tuple(
            attrs.evolve(entry, age_s=max(0.0, now_s - last_seen_s))
            for entry, last_seen_s in self._entries.values()
            if now_s - last_seen_s < ENTRY_EXPIRY_S
        )

    def count_entries(self) -> int:
        """Returns the number of entries not yet expired, at least one."""
        cutoff_s = self._clock.now() - ENTRY_EXPIRY_S
        count = sum(seen_s > cutoff_s for _, seen_s in self._entries.values())
        return max(1, count)

    def update_leader(self, leader: messages.LeaderAddress) -> None:
        """Stores a leader unless one of the same or a newer epoch is known."""
        current = self._leaders.get(leader.cell)
        if current is None or current.epoch < leader.epoch:
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
        """Applies an announcement unless a newer one was applied.

        Returns:
            Whether the target is new or its agent restarted.
        """
        current = self._targets.get(announcement.name)
        now_s = self._clock.now()
        clock_offset_s = announcement.clock_ms / 1000 - now_s
        if current is not None and current.incarnation == envelope.incarnation:
            if announcement.clock_ms >= current.announcement.clock_ms:
                current.update(announcement, clock_offset_s, now_s)
            return False
        self._targets[announcement.name] = Target(
            envelope.reply_to,
            envelope.incarnation,
            announcement,
            now_s,
            clock_offset_s,
        )
        return True

    def targets(self) -> tuple[Target, ...]:
        """Returns all targets, after removing the expired ones.

        A target expires when its latest announcement is older than
        `TARGET_EXPIRY_S` and it has no outstanding requests.
        """
        cutoff_s = self._clock.now() - TARGET_EXPIRY_S
        for name, target in list(self._targets.items()):
            if target.announced_s < cutoff_s and not any(target.outstanding):
                del self._targets[name]
        return tuple(self._targets.values())

    def serves(self, service: str) -> bool:
        """Returns whether any known minion serves a service."""
        return any(
            t.announcement.service == service for t in self._targets.values()
        )

    def candidates(self, service: str) -> tuple[Target, ...]:
        """Returns the minions of a service that accept new work."""
        cutoff_s = self._clock.now() - self._silence_timeout_s
        return tuple(
            target
            for target in self._targets.values()
            if target.announcement.service == service
            and target.announcement.state is messages.TargetState.READY
            and target.announced_s >= cutoff_s
        )
