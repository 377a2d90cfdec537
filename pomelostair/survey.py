"""What one round of scheduling finds: workers, their tasks and free room."""

from collections.abc import Iterable

import attrs

from pomelostair import accounting
from pomelostair import cell as cell_module
from pomelostair import declaration
from pomelostair import eviction
from pomelostair import failuretracker
from pomelostair import messages
from pomelostair import placement
from pomelostair import stopplan
from pomelostair import termstate

STARVATION_S = 120.0
REFUSED_S = 1.0

Key = tuple[str, int]


@attrs.frozen
class Round:
    """What one round decides from.

    Attributes:
        state: Committed state of the cell.
        pending: Events that are not committed yet.
        workers: Workers by name.
        declarations: Declarations in force.
        now: Monotonic seconds.
        standing: The stop or shed that stands.
    """

    state: cell_module.State
    pending: tuple[cell_module.Event, ...]
    workers: dict[str, termstate.Worker]
    declarations: declaration.Declarations
    now: float
    standing: stopplan.Standing = stopplan.Standing()


class Survey:
    """Facts of one round; the round's own placements are counted in.

    Args:
        term: Memory of the leader's term.
        given: What the round decides from.
        silent_s: Silence after which a worker gets no new task.
    """

    def __init__(
        self, term: termstate.TermState, given: Round, silent_s: float
    ):
        self._term = term
        self._given = given
        self._now = given.now
        self._silent_s = silent_s
        self._usage: dict[Key, messages.TaskUsage] = {}
        self._running: dict[str, list[cell_module.Task]] = {}
        self._team_batch: dict[str, messages.Size] = {}
        self._team_cores: dict[str, float] = {}
        self._batch_cores = 0.0
        self._hosts: dict[str, placement.Host] = {}
        self._probes: set[str] = set()
        self._survey()

    @property
    def hosts(self) -> dict[str, placement.Host]:
        """Workers that take new tasks, by name; a round may remove some."""
        return self._hosts

    @property
    def probes(self) -> set[str]:
        """Workers that take one task to prove themselves."""
        return self._probes

    @property
    def running(self) -> dict[str, list[cell_module.Task]]:
        """Tasks that are placed on each worker."""
        return self._running

    @property
    def team_cores(self) -> dict[str, float]:
        """Cores that the tasks of each team hold."""
        return self._team_cores

    @property
    def batch_cores(self) -> float:
        """Cores that all batch tasks hold."""
        return self._batch_cores

    def team_batch(self, team: str) -> messages.Size:
        """Returns the declared sizes of a team's placed batch tasks."""
        return self._team_batch.get(team, messages.Size(0.0, 0, 0))

    def _survey(self) -> None:
        for name, worker in self._given.workers.items():
            for usage in worker.heartbeat.usage:
                self._usage[usage.task, usage.attempt] = usage
            if self._open(name, worker):
                self._hosts[name] = _host(name, worker.heartbeat)
        placed = {(t.id, t.attempt) for t in self._given.state.placed()}
        self._forget(placed)
        for task in self._given.state.placed():
            self._take(task, task.worker)
        for event in self._given.pending:
            if isinstance(event, cell_module.TaskPlaced):
                self._take(self._given.state.tasks[event.task], event.worker)
        self._take_strangers(placed)
        for name in self._probes & self._running.keys():
            del self._hosts[name]

    def _open(self, name: str, worker: termstate.Worker) -> bool:
        if worker.last_granted_s < self._now - self._silent_s:
            return False
        if worker.heartbeat.state is not messages.TargetState.READY:
            return False
        if (
            self._term.start_refused_s.get(name, float("-inf"))
            > self._now - REFUSED_S
        ):
            return False
        match self._term.failure_tracker.worker_status(name, self._now):
            case failuretracker.WorkerStatus.QUARANTINED:
                return False
            case failuretracker.WorkerStatus.PROBED:
                self._probes.add(name)
        return True

    def _forget(self, placed: set[Key]) -> None:
        term = self._term
        for memory in (
            term.evictions,
            term.start_ordered_s,
            term.ordered_sizes,
        ):
            for key in memory.keys() - placed:
                del memory[key]
        waiting = {task.id: task for task in self._given.state.waiting()}
        for memory in (term.waiting_since_s, term.reservations):
            for task in memory.keys() - waiting.keys():
                del memory[task]
        for task in waiting:
            term.waiting_since_s.setdefault(task, self._now)
        running = {task for task, _ in placed}
        for task in term.protected_until_s.keys() - running - waiting.keys():
            del term.protected_until_s[task]

    def _take(self, task: cell_module.Task, worker: str) -> None:
        size = self._term.counted_size(
            task, self._usage.get((task.id, task.attempt))
        )
        self._running.setdefault(worker, []).append(task)
        self.count(task, size)
        host = self._hosts.get(worker)
        if host is not None:
            host.add(self.request(task, size))

    def _take_strangers(self, placed: set[Key]) -> None:
        for name, host in self._hosts.items():
            for usage in self._given.workers[name].heartbeat.usage:
                key = (usage.task, usage.attempt)
                if key not in placed:
                    size = usage.reserved or usage.used
                    host.account.assign(
                        key, accounting.maximum(size, usage.used)
                    )

    def count(self, task: cell_module.Task, size: messages.Size) -> None:
        """Counts a task among what its team and batch hold."""
        team = task.spec.team
        cores = self._team_cores.get(team, 0.0)
        self._team_cores[team] = cores + size.cores
        if self.urgency(task) is messages.Urgency.BATCH:
            held = self._team_batch.get(team, messages.Size(0.0, 0, 0))
            self._team_batch[team] = accounting.add(held, task.spec.size)
            self._batch_cores += size.cores

    def request(
        self,
        task: cell_module.Task,
        size: messages.Size,
        min_gain: float = placement.PREFERRED_MIN_GAIN,
    ) -> placement.Request:
        """Returns what a task asks of its placement.

        Args:
            task: The task.
            size: Size to place it by.
            min_gain: Least gain that its placement must bring.
        """
        starved = self.is_starved(task)
        return placement.Request(
            task.id,
            task.spec.id,
            task.spec.kind,
            self.urgency(task),
            size,
            task.spec.survive,
            self._avoided(task),
            starved,
            starved and all(host.critical for host in self._hosts.values()),
            min_gain,
        )

    def _avoided(self, task: cell_module.Task) -> frozenset[str]:
        """Returns where a task that failed must not go.

        It proves nothing about a worker on probation, and it may return to
        where it failed once it failed on all others.
        """
        failed = self._term.failure_tracker.failed_workers(task.id)
        if not failed:
            return failed
        trusted = self._hosts.keys() - self._probes
        if trusted <= failed:
            return frozenset(self._probes)
        return failed | self._probes

    def urgency(self, task: cell_module.Task) -> messages.Urgency:
        """Returns the urgency class of a task by the declarations."""
        return self._given.declarations.urgency_of(
            task.spec.kind, task.spec.urgency
        )

    def is_starved(self, task: cell_module.Task) -> bool:
        """Returns whether a task has waited too long."""
        since = self._term.waiting_since_s.get(task.id)
        return since is not None and self._now - since > STARVATION_S

    def capacity_cores(self) -> float:
        """Returns the cores of all workers of the cell."""
        return sum(
            worker.heartbeat.capacity.cores
            for worker in self._given.workers.values()
        )

    def held(self, task: cell_module.Task) -> messages.Size:
        """Returns what a placed task is taken to hold."""
        return self._term.counted_size(
            task, self._usage.get((task.id, task.attempt))
        )

    def candidates(
        self, tasks: Iterable[cell_module.Task]
    ) -> list[eviction.Candidate]:
        """Returns those of the tasks that may be evicted."""
        result = []
        for task in tasks:
            key = (task.id, task.attempt)
            if key in self._term.evictions or task.attempt == 0:
                continue
            usage = self._usage.get(key)
            progress = 0.0 if usage is None else usage.progress
            result.append(
                eviction.Candidate(
                    *key,
                    self.urgency(task),
                    task.spec.survive,
                    progress,
                    self.held(task),
                )
            )
        return result


def _host(name: str, heartbeat: messages.Heartbeat) -> placement.Host:
    return placement.Host(
        accounting.Account(
            name, heartbeat.zone, heartbeat.rack, heartbeat.capacity
        )
    )
