"""When the task leases on a worker have surely lapsed.

A lease runs from a reading of the worker's clock that was taken before its
heartbeat was sent, so it ends at the latest one lease length after the leader
received the heartbeat that it acknowledged. Earlier leaders may have granted
leases that this one does not know of: until the horizon no worker counts as
lapsed.
"""


class Leases:
    """The latest ends of the task leases, worker by worker.

    Args:
        lease_s: Length of a task lease with the margin for clock drift.
        horizon: Monotonic seconds at which all grants of earlier leaders
            have lapsed.
    """

    def __init__(self, lease_s: float, horizon: float):
        self._lease_s = lease_s
        self._horizon = horizon
        self._acknowledged: dict[str, float] = {}

    @property
    def horizon(self) -> float:
        """Monotonic seconds at which all earlier grants have lapsed."""
        return self._horizon

    def lower_horizon(self, horizon: float) -> None:
        """Takes over an earlier horizon, now that more is known."""
        self._horizon = min(self._horizon, horizon)

    def acknowledge(self, worker: str, received: float) -> None:
        """Notes that a heartbeat is acknowledged.

        Args:
            worker: Name of its agent.
            received: Monotonic seconds at which it was received.
        """
        self._acknowledged[worker] = received

    def lapses_at(self, worker: str) -> float:
        """Returns when everything granted to a worker has surely lapsed."""
        received = self._acknowledged.get(worker)
        if received is None:
            return self._horizon
        return max(self._horizon, received + self._lease_s)

    def have_lapsed(self, worker: str, now: float) -> bool:
        """Returns whether a worker surely runs nothing under a lease."""
        return now > self.lapses_at(worker)
