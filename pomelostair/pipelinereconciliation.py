"""What a new leader does not know yet about attempts of earlier terms."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from pomelostair import fleet


class Reconciliation:
    """Incarnations of workers that may run unknown work of earlier terms."""

    def __init__(self):
        # Empty for an agent whose registration is malformed.
        self._by_agent: dict[str, tuple[fleet.KnownIncarnation, ...]] = {}
        self._malformed: set[str] = set()
        self._counts_by_worker: collections.Counter[str] = collections.Counter()

    @property
    def is_complete(self) -> bool:
        """Whether all attempts of earlier terms are known."""
        return not self._by_agent

    @property
    def agents(self) -> tuple[str, ...]:
        """Agents whose workers may run unknown work."""
        return tuple(self._by_agent)

    @property
    def keys(self) -> list[fleet.WorkerKey]:
        """Worker ids and incarnations that are not accounted for."""
        return [
            known.key
            for expected in self._by_agent.values()
            for known in expected
        ]

    def begin(
        self,
        agents: Mapping[str, fleet.Registration],
        unreadable: Iterable[str],
    ) -> None:
        """Begins a term.

        Args:
            agents: Registrations of agents by name.
            unreadable: Names of agents with malformed registrations.
        """
        self._malformed = set(unreadable)
        self._by_agent = dict.fromkeys(self._malformed, ())
        self._by_agent.update(
            (name, registration.lives)
            for name, registration in agents.items()
            if registration.lives
        )
        self._counts_by_worker = collections.Counter(
            worker for worker, _ in self.keys
        )

    def may_run_work(self, key: fleet.WorkerKey) -> bool:
        """Returns whether unknown work may run for an incarnation.

        One that no registration names has ended, or its leases have lapsed. If
        its successor has the same worker id, it executes late orders to it
        until it is held under its higher fencing token.
        """
        return bool(self._malformed) or self._counts_by_worker[key[0]] > 0

    def account_for(
        self, agent: str, is_known: Callable[[fleet.KnownIncarnation], bool]
    ) -> None:
        """Drops incarnations of an agent whose attempts are known.

        Args:
            agent: Name of the agent.
            is_known: Returns whether the attempts of an incarnation are known.
        """
        expected = self._by_agent.get(agent, ())
        left = tuple(known for known in expected if not is_known(known))
        if len(left) < len(expected):
            self._replace(agent, left)

    def drop(self, agent: str) -> None:
        """Records that all attempts on the workers of an agent are known."""
        if agent in self._by_agent:
            self._replace(agent, ())

    def expire(
        self,
        now: float,
        lapse_s: Callable[[fleet.WorkerKey | None], float],
    ) -> list[tuple[str, tuple[fleet.KnownIncarnation, ...]]]:
        """Drops incarnations whose leases have lapsed.

        Args:
            now: Monotonic seconds.
            lapse_s: Returns when the leases of an incarnation have certainly
                lapsed, with None those of unknown ones.

        Returns:
            Each agent with dropped incarnations, and these.
        """
        dropped = []
        for agent, expected in list(self._by_agent.items()):
            lapsed = tuple(k for k in expected if now > lapse_s(k.key))
            if lapsed or (agent in self._malformed and now > lapse_s(None)):
                dropped.append((agent, lapsed))
                self._replace(
                    agent, tuple(k for k in expected if k not in lapsed)
                )
        return dropped

    def _replace(
        self, agent: str, left: tuple[fleet.KnownIncarnation, ...]
    ) -> None:
        self._counts_by_worker.subtract(
            known.worker for known in self._by_agent[agent] if known not in left
        )
        self._malformed.discard(agent)
        if left:
            self._by_agent[agent] = left
        else:
            del self._by_agent[agent]
