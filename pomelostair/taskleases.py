"""When the task leases on a worker have surely lapsed.

A lease runs from a reading of the worker's clock that was taken before its
heartbeat was sent, so it ends at the latest one lease length after the leader
received the heartbeat that it acknowledged. Earlier leaders may have granted
leases that this one does not know of: until the horizon no worker counts as
lapsed.
"""


class TaskLeases:
    """The latest ends of the task leases, worker by worker.

    Args:
        lease_s: Length of a task lease with the margin for clock drift.
        horizon: Monotonic seconds at which all grants of earlier leaders
            have lapsed.
    """

    def __init__(self, lease_timeout_s: float, horizon: float):
        self._lease_timeout_s = lease_timeout_s
        self._horizon = horizon
        self._received_s: dict[str, float] = {}

    @property
    def horizon(self) -> float:
        """Monotonic seconds at which all earlier grants have lapsed."""
        return self._horizon

    def lower_horizon(self, horizon: float) -> None:
        """Takes over an earlier horizon, now that more is known."""
        self._horizon = min(self._horizon, horizon)

    def acknowledge(self, worker: str, received_s: float) -> None:
        """Notes that a heartbeat is acknowledged.

        Args:
            worker: Name of its agent.
            received_s: Monotonic seconds at which it was received.
        """
        self._received_s[worker] = received_s

    def lapses_at(self, worker: str) -> float:
        """Returns when everything granted to a worker has surely lapsed."""
        received_s = self._received_s.get(worker)
        if received_s is None:
            return self._horizon
        return max(self._horizon, received_s + self._lease_timeout_s)

    def have_lapsed(self, worker: str, now: float) -> bool:
        """Returns whether a worker surely runs nothing under a lease."""
        return now > self.lapses_at(worker)
