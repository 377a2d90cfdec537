"""One scheduling round: places waiting tasks and evicts running ones.

The work of a round is bounded: the number of tasks that are considered, placed
and evicted is limited, and once a task can't be placed, others of the same
shape are not tried.
"""

from collections.abc import Iterator
import itertools

import attrs

from pomelostair import accounting
from pomelostair import cell as cell_module
from pomelostair import cellview
from pomelostair import eviction
from pomelostair import messages
from pomelostair import placement
from pomelostair import preemption
from pomelostair import startlimits
from pomelostair import stopplan
from pomelostair import taskorder
from pomelostair import termstate

MAX_TASKS_CONSIDERED = 2000
MAX_TASKS_PLACED = 256
MAX_TASKS_EVICTED = 64
MAX_TASKS_PARKED = 64
# At most one starved task is considered before all others in this interval.
STARVED_FIRST_INTERVAL_S = 1.0
# A task that was placed because it starved is not preempted for this time.
PREEMPTION_PROTECTION_S = 60.0
RESERVATION_TIMEOUT_S = 10.0


@attrs.frozen
class Plan:
    """Decisions of one round.

    Attributes:
        events: Events to log.
        workers_to_notify: Workers that have pending orders once the events
            are committed.
    """

    events: tuple[cell_module.Event, ...] = ()
    workers_to_notify: frozenset[str] = frozenset()


class Planner:
    """Makes the decisions of one round.

    Args:
        term: State of the leader's term, which the decisions update.
        inputs: State and limits that the round is based on.
        silent_s: Seconds without a heartbeat after which a worker gets no new
            task.
    """

    def __init__(
        self,
        term: termstate.TermState,
        inputs: cellview.RoundInputs,
        silent_s: float,
    ):
        self._term = term
        self._inputs = inputs
        self._now = inputs.now_s
        self._teams = {t.name: t for t in inputs.declarations.teams}
        self._events: list[cell_module.Event] = []
        self._workers_to_notify: set[str] = set()
        self._evicted_count = 0
        self._placed_count = 0
        self._min_gain = placement.PREFERRED_MIN_GAIN
        self._parked_count = 0
        self._blocked_shapes: set[tuple] = set()
        self._cell_view = cellview.CellView(term, inputs, silent_s)

    def plan(self) -> Plan:
        """Returns the decisions of the round."""
        self._evict_from_draining_workers()
        self._enforce_batch_share()
        self._shed_for_site_stop()
        self._place_waiting_tasks()
        return Plan(tuple(self._events), frozenset(self._workers_to_notify))

    def _evict_from_draining_workers(self) -> None:
        for name, worker in self._inputs.workers.items():
            if worker.heartbeat.state is messages.TargetState.DRAINING:
                for task in self._cell_view.tasks_by_worker.get(name, ()):
                    self._evict(task, "the worker is draining")

    def _enforce_batch_share(self) -> None:
        """Evicts batch tasks until they hold no more than their share."""
        capacity_cores = self._cell_view.capacity_cores()
        share = self._inputs.declarations.limits.batch_share
        excess_cores = self._cell_view.batch_cores - share * capacity_cores
        if share >= 1 or excess_cores <= 0:
            return
        tasks = {
            (task.id, task.attempt): task
            for worker_tasks in self._cell_view.tasks_by_worker.values()
            for task in worker_tasks
            if self._cell_view.urgency(task) is messages.Urgency.BATCH
        }
        excess_cores -= sum(
            self._cell_view.counted_size(task).cores
            for key, task in tasks.items()
            if key in self._term.evictions
        )
        for candidate in eviction.order(
            self._cell_view.candidates(tasks.values())
        ):
            if excess_cores <= 0 or self._evicted_count >= MAX_TASKS_EVICTED:
                return
            key = (candidate.task, candidate.attempt)
            self._evict(tasks[key], f"batch is limited to {share:.0%} of cores")
            excess_cores -= candidate.size.cores

    def _shed_for_site_stop(self) -> None:
        """Evicts the tasks that are due by the stop or shed in force."""
        tasks = {
            task.id: task
            for worker_tasks in self._cell_view.tasks_by_worker.values()
            for task in worker_tasks
        }
        running_work = [
            stopplan.RunningTask(
                task.id,
                self._cell_view.urgency(task),
                task.spec.survive,
                self._cell_view.counted_size(task).cores,
                task.worker,
            )
            for task in tasks.values()
        ]
        stop_state = self._inputs.stop_state
        for task_id in stopplan.tasks_to_shed(
            stop_state, running_work, self._cell_view.capacity_cores()
        ):
            if (
                self._evicted_count < MAX_TASKS_EVICTED
                and tasks[task_id].attempt
            ):
                self._evict(tasks[task_id], "the site sheds work")

    def _placement_request(
        self, task: cell_module.Task, size: messages.Size
    ) -> placement.Request:
        return self._cell_view.placement_request(task, size, self._min_gain)

    def _evict(self, task: cell_module.Task, reason: str) -> None:
        key = (task.id, task.attempt)
        if key in self._term.evictions:
            return
        self._term.evictions[key] = reason
        self._term.decisions.record(
            task.id, self._now, f"evicted from {task.worker}: {reason}"
        )
        self._evicted_count += 1
        self._workers_to_notify.add(task.worker)

    def _place_waiting_tasks(self) -> None:
        """Places tasks where they run well first, then where they run at all.

        Tasks without a placement of the preferred gain are tried again with
        the fallback gain.
        """
        self._selector = placement.WorkerSelector(
            self._cell_view.hosts.values(), self._term.interference, self._now
        )
        self._charge_reservations()
        pending = {
            event.task
            for event in self._inputs.pending
            if isinstance(event, cell_module.TaskPlaced)
        }
        considered = [
            self._inputs.state.tasks[waiting.task_id]
            for waiting in itertools.islice(
                self._waiting_in_order(), MAX_TASKS_CONSIDERED
            )
            if waiting.task_id not in pending
        ]
        for min_gain in (
            placement.PREFERRED_MIN_GAIN,
            placement.FALLBACK_MIN_GAIN,
        ):
            self._min_gain = min_gain
            self._blocked_shapes.clear()
            considered = self._place_all(considered)

    def _place_all(
        self, considered: list[cell_module.Task]
    ) -> list[cell_module.Task]:
        """Tries to place tasks; returns those that fit nowhere."""
        unplaced = []
        for task in considered:
            if self._placed_count >= MAX_TASKS_PLACED:
                break
            if self._consider(task):
                self._placed_count += 1
            else:
                unplaced.append(task)
        return unplaced

    def _waiting_in_order(self) -> Iterator[taskorder.WaitingTask]:
        waiting_tasks = []
        any_starved = False
        for task in self._inputs.state.waiting():
            if self._term.failure_tracker.earliest_start_s(task.id) > self._now:
                continue
            starved = self._cell_view.is_starved(task)
            any_starved |= starved
            waiting_tasks.append(
                taskorder.WaitingTask(
                    task.id,
                    task.spec.team,
                    self._cell_view.urgency(task),
                    task.spec.size.cores,
                    self._term.waiting_since_s[task.id],
                    starved,
                )
            )
        starved_first = any_starved and (
            self._now - self._term.starved_turn_s >= STARVED_FIRST_INTERVAL_S
        )
        if starved_first:
            self._term.starved_turn_s = self._now
        return taskorder.order(
            waiting_tasks,
            self._cell_view.team_cores,
            self._weight,
            starved_first,
        )

    def _weight(self, team: str) -> float:
        declared_team = self._teams.get(team)
        return 1.0 if declared_team is None else max(declared_team.weight, 1e-6)

    def _charge_reservations(self) -> None:
        """Drops expired reservations and charges the others to their hosts."""
        for task_id, reservation in list(self._term.reservations.items()):
            host = self._cell_view.hosts.get(reservation.worker)
            if host is None or reservation.until_s < self._now:
                del self._term.reservations[task_id]
                continue
            waiting_task = self._inputs.state.tasks[task_id]
            host.add(
                self._placement_request(
                    waiting_task, self._estimated_size(waiting_task)
                )
            )

    def _estimated_size(self, task: cell_module.Task) -> messages.Size:
        return self._term.estimates.planned_size(task.spec.kind, task.spec.size)

    def _consider(self, task: cell_module.Task) -> bool:
        """Tries to place a task; returns whether it was placed.

        A shape that can't be placed is not tried again in this pass. A task
        that avoids workers where it failed says nothing about its shape.
        """
        request = self._placement_request(task, self._estimated_size(task))
        shape = (
            request.kind,
            request.urgency,
            request.size,
            request.starved,
            task.spec.team,
            request.job if request.survive else "",
        )
        is_generic = not request.avoided
        if task.id not in self._term.reservations:
            if is_generic and shape in self._blocked_shapes:
                return False
            reason = startlimits.limit_reason(
                self._inputs, self._cell_view, task, request
            )
            if reason:
                self._park(task, reason)
                self._blocked_shapes.add(shape)
                return False
        if self._try_place(task, request):
            return True
        if is_generic:
            self._blocked_shapes.add(shape)
        return False

    def _park(self, task: cell_module.Task, reason: str) -> None:
        self._term.decisions.record(task.id, self._now, reason)
        if task.reason == reason or self._parked_count >= MAX_TASKS_PARKED:
            return
        self._parked_count += 1
        self._events.append(cell_module.TaskParked(task.id, reason))

    def _try_place(
        self, task: cell_module.Task, request: placement.Request
    ) -> bool:
        reservation = self._term.reservations.get(task.id)
        if reservation is not None:
            host = self._cell_view.hosts[reservation.worker]
            host.remove(request)
            fits = accounting.fits(request.size, host.account.free)
            host.add(request)
            if fits:
                self._place(task, request, host, "on its reservation")
                return True
        choice = self._selector.choose(request)
        if choice.host is not None:
            self._place(task, request, choice.host, _choice_summary(choice))
            return True
        self._term.decisions.record(
            task.id, self._now, f"waits: {_choice_summary(choice)}"
        )
        if reservation is None:
            self._preempt_or_reserve(task, request)
        return False

    def _place(
        self,
        task: cell_module.Task,
        request: placement.Request,
        host: placement.Host,
        reason: str,
    ) -> None:
        worker = host.account.worker
        reservation = self._term.reservations.pop(task.id, None)
        if reservation is not None:
            self._cell_view.hosts[reservation.worker].remove(request)
        host.add(request)
        self._cell_view.add_to_totals(task, request.size)
        self._workers_to_notify.add(worker)
        attempt = task.attempt + 1
        self._term.ordered_sizes[task.id, attempt] = request.size
        if request.starved:
            self._term.protected_until_s[task.id] = (
                self._now + PREEMPTION_PROTECTION_S
            )
        boot = self._inputs.workers[worker].heartbeat.boot
        self._events.append(
            cell_module.TaskPlaced(task.id, attempt, worker, boot)
        )
        self._term.decisions.record(
            task.id,
            self._now,
            f"attempt {attempt} placed on {worker}: {reason}",
        )
        if worker in self._cell_view.probed_workers:
            del self._cell_view.hosts[worker]
            self._selector = placement.WorkerSelector(
                self._cell_view.hosts.values(),
                self._term.interference,
                self._now,
            )

    def _preempt_or_reserve(
        self, task: cell_module.Task, request: placement.Request
    ) -> None:
        """Frees capacity for a task that is urgent or starved.

        Only one starved task holds a reservation at a time.
        """
        if request.urgency <= messages.Urgency.URGENT:
            if not self._preempt(task, request) and request.critical:
                self._place_despite_interference(task, request)
        elif request.starved and not self._has_starved_reservation():
            self._reserve(task, request, self._emptiest_host(request))

    def _place_despite_interference(
        self, task: cell_module.Task, request: placement.Request
    ) -> None:
        choice = self._selector.choose(
            attrs.evolve(request, allow_interference=True)
        )
        if choice.host is not None:
            self._place(task, request, choice.host, _choice_summary(choice))

    def _has_starved_reservation(self) -> bool:
        return any(
            self._cell_view.urgency(self._inputs.state.tasks[task_id])
            > messages.Urgency.URGENT
            for task_id in self._term.reservations
        )

    def _emptiest_host(
        self, request: placement.Request
    ) -> placement.Host | None:
        """Returns the worker with the most free cores among the suitable ones.

        Workers without latency-critical tasks are preferred.
        """
        fitting = [
            host
            for host in self._cell_view.hosts.values()
            if accounting.fits(request.size, host.account.capacity)
            and host.account.worker not in request.avoided
        ]
        return max(
            fitting,
            key=lambda host: (
                not host.critical,
                host.account.free.cores,
                host.account.worker,
            ),
            default=None,
        )

    def _reserve(
        self,
        task: cell_module.Task,
        request: placement.Request,
        host: placement.Host | None,
    ) -> None:
        if host is None:
            return
        self._term.reservations[task.id] = termstate.Reservation(
            host.account.worker, self._now + RESERVATION_TIMEOUT_S
        )
        host.add(request)

    def _preempt(
        self, task: cell_module.Task, request: placement.Request
    ) -> bool:
        """Evicts less urgent tasks from the worker where that costs least.

        Returns whether tasks were evicted; their worker is then reserved for
        the task.
        """
        best_victims: tuple[eviction.Candidate, ...] | None = None
        best_host: placement.Host | None = None
        best_cost: tuple = ()
        for host in self._cell_view.hosts.values():
            if host.account.worker in request.avoided:
                continue
            victims = preemption.choose_victims(
                self._inputs, self._cell_view, self._term, request, host
            )
            if victims is None:
                continue
            first_critical = request.critical and not host.critical
            cost = (first_critical, *_preemption_cost(victims))
            if best_victims is None or cost < best_cost:
                best_victims, best_host, best_cost = victims, host, cost
        if (
            best_victims is None
            or self._evicted_count + len(best_victims) > MAX_TASKS_EVICTED
        ):
            return False
        self._reserve(task, request, best_host)
        for candidate in best_victims:
            victim = self._inputs.state.tasks[candidate.task]
            self._evict(victim, f"{task.id} is more urgent")
        return True


def _preemption_cost(
    victims: tuple[eviction.Candidate, ...],
) -> tuple[int, float]:
    """Returns a cost that rises with the victims' urgency, then their cores."""
    most_urgent = min(
        (c.urgency for c in victims), default=messages.Urgency.BATCH
    )
    return -most_urgent, sum(c.size.cores for c in victims)


def _choice_summary(choice: placement.Choice) -> str:
    scored_hosts = sorted(
        choice.scored,
        key=lambda s: (s.refusal is not None, s.score, s.worker),
    )
    parts = [
        f"{s.worker} {s.score:.2f}"
        if s.refusal is None
        else f"{s.worker} {s.refusal.value}"
        for s in scored_hosts[:4]
    ]
    if len(scored_hosts) > len(parts):
        parts.append(f"{len(scored_hosts) - len(parts)} more")
    return ", ".join(parts) or "no worker accepts new tasks"
