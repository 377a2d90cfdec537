"""Scheduling of a cell: what is placed where, and what a heartbeat gets.

The leader hands in the state, the workers and the limits in force; decisions
come back as events to log and as answers to heartbeats. Nothing here waits or
sends.
"""

import attrs

from pomelostair import cell as cell_module
from pomelostair import declaration
from pomelostair import grants
from pomelostair import ledger
from pomelostair import messages
from pomelostair import metrics as metrics_module
from pomelostair import placement
from pomelostair import settings as settings_module


@attrs.define
class Worker:
    """A worker as the leader knows it.

    Attributes:
        bus: Bus URL of its agent.
        heartbeat: The latest heartbeat.
        granted: Monotonic seconds of the latest heartbeat that was granted.
    """

    bus: str
    heartbeat: messages.Heartbeat
    granted: float


@attrs.frozen
class Round:
    """What one round decides from.

    Attributes:
        state: Committed state of the cell.
        pending: Events that are not committed yet.
        workers: Workers by name.
        declarations: Declarations in force.
        now: Monotonic seconds.
    """

    state: cell_module.State
    pending: tuple[cell_module.Event, ...]
    workers: dict[str, Worker]
    declarations: declaration.Declarations
    now: float


@attrs.frozen
class Plan:
    """What one round decided.

    Attributes:
        events: Events to log.
        nudges: Workers that have orders waiting after the commit.
    """

    events: tuple[cell_module.Event, ...] = ()
    nudges: frozenset[str] = frozenset()


class Scheduler:
    """Decides for one term of a leader; a new term starts with a new one.

    Args:
        timing: Leases and intervals.
        metrics: Where decisions are counted.
        now: Monotonic seconds at the start of the term.
    """

    def __init__(
        self,
        timing: settings_module.Timing,
        metrics: metrics_module.Metrics,
        now: float,
    ):
        self._timing = timing
        self._metrics = metrics
        self._since = now

    def observe(
        self,
        heartbeat: messages.Heartbeat,
        state: cell_module.State,
        now: float,
    ) -> None:
        """Learns from the reports of a heartbeat."""

    def grant(
        self,
        heartbeat: messages.Heartbeat,
        state: cell_module.State,
        epoch: int,
        now: float,
    ) -> grants.Grant:
        """Returns the answer to a heartbeat."""
        return grants.answer(heartbeat, state, epoch)

    def explain(
        self, task: str, state: cell_module.State
    ) -> messages.Explanation:
        """Returns the recorded decisions about a task."""
        known = state.tasks.get(task)
        if known is None:
            return messages.Explanation(task, ())
        return messages.Explanation(task, (known.reason,))

    def plan(self, decided: Round) -> Plan:
        """Returns the decisions of one round."""
        accounts = self._accounts(decided)
        nudges: set[str] = set()
        placed: list[cell_module.Event] = []
        waiting = sorted(
            decided.state.waiting(), key=lambda task: task.spec.urgency
        )
        pending = {
            event.task
            for event in decided.pending
            if isinstance(event, cell_module.TaskPlaced)
        }
        for task in waiting:
            if task.id in pending:
                continue
            account = placement.choose(task.spec.size, accounts.values())
            if account is None:
                continue
            account.assigned[task.id] = task.spec.size
            nudges.add(account.worker)
            placed.append(
                cell_module.TaskPlaced(
                    task.id, task.attempt + 1, account.worker
                )
            )
        return Plan(tuple(placed), frozenset(nudges))

    def _accounts(self, decided: Round) -> dict[str, ledger.Account]:
        horizon = decided.now - self._timing.silent_ms / 1000
        accounts = {
            name: ledger.Account(
                name,
                worker.heartbeat.zone,
                worker.heartbeat.rack,
                worker.heartbeat.capacity,
            )
            for name, worker in decided.workers.items()
            if worker.granted >= horizon
            and worker.heartbeat.state is messages.TargetState.READY
        }
        for task in decided.state.placed():
            if task.worker in accounts:
                accounts[task.worker].assigned[task.id] = task.spec.size
        return accounts
