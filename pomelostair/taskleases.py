"""When the task leases of a worker have certainly lapsed.

A worker counts its lease from a clock reading taken before it sent the
heartbeat, so the lease ends at most one lease length after the leader received
the heartbeat that it acknowledged. Earlier leaders may have granted leases
that this leader has no record of, so no worker counts as lapsed before the
horizon.
"""


class TaskLeases:
    """Tracks until when each worker may run tasks under a lease.

    Args:
        lease_timeout_s: Length of a task lease plus the margin for clock
            drift.
        horizon: Monotonic seconds at which all leases granted by earlier
            leaders have lapsed.
    """

    def __init__(self, lease_timeout_s: float, horizon: float):
        self._lease_timeout_s = lease_timeout_s
        self._horizon = horizon
        self._received_s: dict[str, float] = {}

    @property
    def horizon(self) -> float:
        """Monotonic seconds at which leases of earlier leaders have lapsed."""
        return self._horizon

    def lower_horizon(self, horizon: float) -> None:
        """Lowers the horizon; a later value than the current is ignored."""
        self._horizon = min(self._horizon, horizon)

    def acknowledge(self, worker: str, received_s: float) -> None:
        """Records that a heartbeat is acknowledged and so renews leases.

        Args:
            worker: Name of the worker's agent.
            received_s: Monotonic seconds at which the heartbeat was received.
        """
        self._received_s[worker] = received_s

    def lapses_at(self, worker: str) -> float:
        """Returns when all leases of a worker have certainly lapsed."""
        received_s = self._received_s.get(worker)
        if received_s is None:
            return self._horizon
        return max(self._horizon, received_s + self._lease_timeout_s)

    def have_lapsed(self, worker: str, now: float) -> bool:
        """Returns whether a worker certainly runs nothing under a lease."""
        return now > self.lapses_at(worker)
