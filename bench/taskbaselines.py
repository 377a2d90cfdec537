"""Schedulers to compare with: first-fit and best-fit by declared size.

Neither learns, throttles, evicts nor keeps tasks apart that disturb each
other.
"""

from pomelostair import accounting
from pomelostair import cell as cell_module
from pomelostair import cellview
from pomelostair import messages
from pomelostair import rounds
from pomelostair import scheduler as scheduler_module


class FirstFit(scheduler_module.Scheduler):
    """The first worker with room for the declared size."""

    def observe(
        self,
        heartbeat: messages.Heartbeat,
        state: cell_module.State,
        now: float,
    ) -> None:
        """Learns nothing."""

    def plan(self, decided: cellview.RoundInputs) -> rounds.Plan:
        """Returns the decisions of one round."""
        accounts = {
            name: accounting.Account(name, "", "", worker.heartbeat.capacity)
            for name, worker in decided.workers.items()
        }
        for task in decided.state.placed():
            accounts[task.worker].assign(task.id, task.spec.size)
        events: list[cell_module.Event] = []
        blocked: set[messages.Size] = set()
        waiting = sorted(decided.state.waiting(), key=lambda t: t.spec.urgency)
        for task in waiting:
            if task.spec.size in blocked:
                continue
            account = self._choose(task.spec.size, list(accounts.values()))
            if account is None:
                blocked.add(task.spec.size)
                continue
            account.assign(task.id, task.spec.size)
            events.append(
                cell_module.TaskPlaced(
                    task.id, task.attempt + 1, account.worker
                )
            )
        nudges = frozenset(
            event.worker
            for event in events
            if isinstance(event, cell_module.TaskPlaced)
        )
        return rounds.Plan(tuple(events), nudges)

    def _choose(
        self, size: messages.Size, accounts: list[accounting.Account]
    ) -> accounting.Account | None:
        fitting = (a for a in accounts if accounting.fits(size, a.free))
        return next(fitting, None)


class BestFit(FirstFit):
    """The worker with the least room that still fits the declared size."""

    def _choose(
        self, size: messages.Size, accounts: list[accounting.Account]
    ) -> accounting.Account | None:
        fitting = [a for a in accounts if accounting.fits(size, a.free)]
        return min(
            fitting, key=lambda a: (a.free.cores, a.worker), default=None
        )
