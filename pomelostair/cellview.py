"""View of the cell in a scheduling round: workers, tasks, free capacity."""

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
START_REFUSED_BACKOFF_S = 1.0

AttemptKey = tuple[str, int]


@attrs.frozen
class RoundInputs:
    """State and limits that a scheduling round is based on.

    Attributes:
        state: Committed state of the cell.
        pending: Events that are not committed yet.
        workers: Latest reports of the workers, by name.
        declarations: Declarations in force.
        now_s: Monotonic seconds.
        stop_state: The stop or shed in force and its age.
    """

    state: cell_module.State
    pending: tuple[cell_module.Event, ...]
    workers: dict[str, termstate.Worker]
    declarations: declaration.Declarations
    now_s: float
    stop_state: stopplan.StopState = stopplan.StopState()


class CellView:
    """Workers and resource usage in one round, including its own placements.

    Args:
        term: State of the leader's term.
        inputs: State and limits that the round is based on.
        silent_s: Seconds without a heartbeat after which a worker gets no new
            task.
    """

    def __init__(
        self, term: termstate.TermState, inputs: RoundInputs, silent_s: float
    ):
        self._term = term
        self._inputs = inputs
        self._now_s = inputs.now_s
        self._silent_s = silent_s
        self._usage: dict[AttemptKey, messages.TaskUsage] = {}
        self._tasks_by_worker: dict[str, list[cell_module.Task]] = {}
        self._team_batch_sizes: dict[str, messages.Size] = {}
        self._team_cores: dict[str, float] = {}
        self._batch_cores = 0.0
        self._hosts: dict[str, placement.Host] = {}
        self._probed_workers: set[str] = set()
        self._load()

    @property
    def hosts(self) -> dict[str, placement.Host]:
        """Workers that accept new tasks, by name; a round may remove some."""
        return self._hosts

    @property
    def probed_workers(self) -> set[str]:
        """Workers that get a single task as a probe after a quarantine."""
        return self._probed_workers

    @property
    def tasks_by_worker(self) -> dict[str, list[cell_module.Task]]:
        """Tasks placed on each worker, those not yet committed included."""
        return self._tasks_by_worker

    @property
    def team_cores(self) -> dict[str, float]:
        """Cores that the tasks of each team occupy."""
        return self._team_cores

    @property
    def batch_cores(self) -> float:
        """Cores that all batch tasks occupy."""
        return self._batch_cores

    def team_batch_size(self, team: str) -> messages.Size:
        """Returns the declared sizes of a team's placed batch tasks."""
        return self._team_batch_sizes.get(team, messages.Size(0.0, 0, 0))

    def _load(self) -> None:
        for name, worker in self._inputs.workers.items():
            for usage in worker.heartbeat.usage:
                self._usage[usage.task, usage.attempt] = usage
            if self._accepts_tasks(name, worker):
                self._hosts[name] = _new_host(name, worker.heartbeat)
        placed_keys = {(t.id, t.attempt) for t in self._inputs.state.placed()}
        self._discard_obsolete_state(placed_keys)
        for task in self._inputs.state.placed():
            self._add_placed(task, task.worker)
        for event in self._inputs.pending:
            if isinstance(event, cell_module.TaskPlaced):
                self._add_placed(
                    self._inputs.state.tasks[event.task], event.worker
                )
        self._charge_unknown_attempts(placed_keys)
        for name in self._probed_workers & self._tasks_by_worker.keys():
            del self._hosts[name]

    def _accepts_tasks(self, name: str, worker: termstate.Worker) -> bool:
        if worker.last_granted_s < self._now_s - self._silent_s:
            return False
        if worker.heartbeat.state is not messages.TargetState.READY:
            return False
        if (
            self._term.start_refused_s.get(name, float("-inf"))
            > self._now_s - START_REFUSED_BACKOFF_S
        ):
            return False
        match self._term.failure_tracker.worker_status(name, self._now_s):
            case failuretracker.WorkerStatus.QUARANTINED:
                return False
            case failuretracker.WorkerStatus.PROBED:
                self._probed_workers.add(name)
        return True

    def _discard_obsolete_state(self, placed_keys: set[AttemptKey]) -> None:
        """Removes ended tasks and attempts from the state of the term."""
        term = self._term
        for entries in (
            term.evictions,
            term.start_ordered_s,
            term.ordered_sizes,
        ):
            for key in entries.keys() - placed_keys:
                del entries[key]
        waiting = {task.id: task for task in self._inputs.state.waiting()}
        for entries in (term.waiting_since_s, term.reservations):
            for task in entries.keys() - waiting.keys():
                del entries[task]
        for task in waiting:
            term.waiting_since_s.setdefault(task, self._now_s)
        running = {task for task, _ in placed_keys}
        for task in term.protected_until_s.keys() - running - waiting.keys():
            del term.protected_until_s[task]

    def _add_placed(self, task: cell_module.Task, worker: str) -> None:
        size = self._term.counted_size(
            task, self._usage.get((task.id, task.attempt))
        )
        self._tasks_by_worker.setdefault(worker, []).append(task)
        self.add_to_totals(task, size)
        host = self._hosts.get(worker)
        if host is not None:
            host.add(self.placement_request(task, size))

    def _charge_unknown_attempts(self, placed_keys: set[AttemptKey]) -> None:
        """Charges workers for running attempts that are not placed there."""
        for name, host in self._hosts.items():
            for usage in self._inputs.workers[name].heartbeat.usage:
                key = (usage.task, usage.attempt)
                if key not in placed_keys:
                    size = usage.reserved or usage.used
                    host.account.assign(
                        key, accounting.maximum(size, usage.used)
                    )

    def add_to_totals(
        self, task: cell_module.Task, size: messages.Size
    ) -> None:
        """Adds a task to the usage of its team and of batch."""
        team = task.spec.team
        cores = self._team_cores.get(team, 0.0)
        self._team_cores[team] = cores + size.cores
        if self.urgency(task) is messages.Urgency.BATCH:
            batch_size = self._team_batch_sizes.get(
                team, messages.Size(0.0, 0, 0)
            )
            self._team_batch_sizes[team] = accounting.add(
                batch_size, task.spec.size
            )
            self._batch_cores += size.cores

    def placement_request(
        self,
        task: cell_module.Task,
        size: messages.Size,
        min_gain: float = placement.PREFERRED_MIN_GAIN,
    ) -> placement.Request:
        """Returns the requirements of a task on its placement.

        Args:
            task: The task.
            size: Size that is reserved for it.
            min_gain: Least net work gained for each core that justifies a
                start.
        """
        starved = self.is_starved(task)
        return placement.Request(
            task.id,
            task.spec.id,
            task.spec.kind,
            self.urgency(task),
            size,
            task.spec.survive,
            self._excluded_workers(task),
            starved,
            starved and all(host.critical for host in self._hosts.values()),
            min_gain,
        )

    def _excluded_workers(self, task: cell_module.Task) -> frozenset[str]:
        """Returns the workers on which a task must not be placed.

        A task that failed is not placed on a probed worker, since its result
        proves nothing about the worker. It may return to workers on which it
        failed once it failed on all that are not probed.
        """
        failed_workers = self._term.failure_tracker.failed_workers(task.id)
        if not failed_workers:
            return failed_workers
        unprobed_workers = self._hosts.keys() - self._probed_workers
        if unprobed_workers <= failed_workers:
            return frozenset(self._probed_workers)
        return failed_workers | self._probed_workers

    def urgency(self, task: cell_module.Task) -> messages.Urgency:
        """Returns the urgency class of a task by the declarations in force."""
        return self._inputs.declarations.urgency_of(
            task.spec.kind, task.spec.urgency
        )

    def is_starved(self, task: cell_module.Task) -> bool:
        """Returns whether a task has waited longer than STARVATION_S."""
        waiting_since_s = self._term.waiting_since_s.get(task.id)
        return (
            waiting_since_s is not None
            and self._now_s - waiting_since_s > STARVATION_S
        )

    def capacity_cores(self) -> float:
        """Returns the cores of all workers of the cell."""
        return sum(
            worker.heartbeat.capacity.cores
            for worker in self._inputs.workers.values()
        )

    def counted_size(self, task: cell_module.Task) -> messages.Size:
        """Returns the size that a placed task occupies on its worker."""
        return self._term.counted_size(
            task, self._usage.get((task.id, task.attempt))
        )

    def candidates(
        self, tasks: Iterable[cell_module.Task]
    ) -> list[eviction.Candidate]:
        """Returns the tasks that may be evicted, as eviction candidates."""
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
                    self.counted_size(task),
                )
            )
        return result


def _new_host(name: str, heartbeat: messages.Heartbeat) -> placement.Host:
    return placement.Host(
        accounting.Account(
            name, heartbeat.zone, heartbeat.rack, heartbeat.capacity
        )
    )
