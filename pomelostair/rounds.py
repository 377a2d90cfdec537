"""One round of scheduling: which waiting tasks start, and who yields.

The work of a round is bounded: tasks of one shape are tried once, and only so
many tasks are considered, placed and evicted.
"""

from collections.abc import Iterator
import itertools

import attrs

from pomelostair import cell as cell_module
from pomelostair import eviction
from pomelostair import fairqueue
from pomelostair import ledger
from pomelostair import messages
from pomelostair import placement
from pomelostair import preemption
from pomelostair import startlimits
from pomelostair import stopplan
from pomelostair import survey as survey_module
from pomelostair import termstate

MAX_CONSIDERED = 2000
MAX_PLACED = 256
MAX_EVICTED = 64
MAX_PARKED = 64
STARVED_TURN_S = 1.0
PROTECTION_S = 60.0
RESERVATION_S = 10.0


@attrs.frozen
class Plan:
    """What one round decided.

    Attributes:
        events: Events to log.
        nudges: Workers that have orders waiting after the commit.
    """

    events: tuple[cell_module.Event, ...] = ()
    nudges: frozenset[str] = frozenset()


class Planner:
    """Decides one round.

    Args:
        term: Memory of the leader's term.
        given: What the round decides from.
        silent_s: Silence after which a worker gets no new task.
    """

    def __init__(
        self,
        term: termstate.TermState,
        given: survey_module.Round,
        silent_s: float,
    ):
        self._term = term
        self._given = given
        self._now = given.now
        self._teams = {t.name: t for t in given.declarations.teams}
        self._events: list[cell_module.Event] = []
        self._nudges: set[str] = set()
        self._evicted = 0
        self._placed = 0
        self._min_gain = placement.GOOD_GAIN
        self._parked = 0
        self._blocked: set[tuple] = set()
        self._survey = survey_module.Survey(term, given, silent_s)

    def plan(self) -> Plan:
        """Returns the decisions of the round."""
        self._empty_draining()
        self._shed_batch()
        self._shed_site()
        self._place_waiting()
        return Plan(tuple(self._events), frozenset(self._nudges))

    def _empty_draining(self) -> None:
        for name, worker in self._given.workers.items():
            if worker.heartbeat.state is messages.TargetState.DRAINING:
                for task in self._survey.running.get(name, ()):
                    self._evict(task, "the worker drains")

    def _shed_batch(self) -> None:
        total = self._survey.capacity_cores()
        share = self._given.declarations.limits.batch_share
        over = self._survey.batch_cores - share * total
        if share >= 1 or over <= 0:
            return
        tasks = {
            (task.id, task.attempt): task
            for held in self._survey.running.values()
            for task in held
            if self._survey.urgency(task) is messages.Urgency.BATCH
        }
        over -= sum(
            self._survey.held(task).cores
            for key, task in tasks.items()
            if key in self._term.evictions
        )
        for candidate in eviction.order(
            self._survey.candidates(tasks.values())
        ):
            if over <= 0 or self._evicted >= MAX_EVICTED:
                return
            key = (candidate.task, candidate.attempt)
            self._evict(tasks[key], f"batch may hold {share:.0%} of the cores")
            over -= candidate.size.cores

    def _shed_site(self) -> None:
        tasks = {
            task.id: task
            for held in self._survey.running.values()
            for task in held
        }
        works = [
            stopplan.Work(
                task.id,
                self._survey.urgency(task),
                task.spec.survive,
                self._survey.held(task).cores,
                task.worker,
            )
            for task in tasks.values()
        ]
        standing = self._given.standing
        for name in stopplan.leaving(
            standing, works, self._survey.capacity_cores()
        ):
            if self._evicted < MAX_EVICTED and tasks[name].attempt:
                self._evict(tasks[name], "the site sheds work")

    def _request(
        self, task: cell_module.Task, size: messages.Size
    ) -> placement.Request:
        return self._survey.request(task, size, self._min_gain)

    def _evict(self, task: cell_module.Task, reason: str) -> None:
        key = (task.id, task.attempt)
        if key in self._term.evictions:
            return
        self._term.evictions[key] = reason
        self._term.decisions.record(
            task.id, self._now, f"evicted from {task.worker}: {reason}"
        )
        self._evicted += 1
        self._nudges.add(task.worker)

    def _place_waiting(self) -> None:
        self._placement = placement.Placement(
            self._survey.hosts.values(), self._term.interference, self._now
        )
        self._hold_reservations()
        pending = {
            event.task
            for event in self._given.pending
            if isinstance(event, cell_module.TaskPlaced)
        }
        considered = [
            self._given.state.tasks[waiting.task]
            for waiting in itertools.islice(self._ordered(), MAX_CONSIDERED)
            if waiting.task not in pending
        ]
        for min_gain in (placement.GOOD_GAIN, placement.MIN_GAIN):
            self._min_gain = min_gain
            self._blocked.clear()
            considered = self._place_all(considered)

    def _place_all(
        self, considered: list[cell_module.Task]
    ) -> list[cell_module.Task]:
        left = []
        for task in considered:
            if self._placed >= MAX_PLACED:
                break
            if self._consider(task):
                self._placed += 1
            else:
                left.append(task)
        return left

    def _ordered(self) -> Iterator[fairqueue.Waiting]:
        rows = []
        any_starved = False
        for task in self._given.state.waiting():
            if self._term.blame.not_before(task.id) > self._now:
                continue
            starved = self._survey.is_starved(task)
            any_starved |= starved
            rows.append(
                fairqueue.Waiting(
                    task.id,
                    task.spec.team,
                    self._survey.urgency(task),
                    task.spec.size.cores,
                    self._term.waiting_since_s[task.id],
                    starved,
                )
            )
        turn = any_starved and (
            self._now - self._term.starved_turn_s >= STARVED_TURN_S
        )
        if turn:
            self._term.starved_turn_s = self._now
        return fairqueue.order(
            rows, self._survey.team_cores, self._weight, turn
        )

    def _weight(self, team: str) -> float:
        found = self._teams.get(team)
        return 1.0 if found is None else max(found.weight, 1e-6)

    def _hold_reservations(self) -> None:
        for task, reservation in list(self._term.reservations.items()):
            host = self._survey.hosts.get(reservation.worker)
            if host is None or reservation.until_s < self._now:
                del self._term.reservations[task]
                continue
            waiting = self._given.state.tasks[task]
            host.add(self._request(waiting, self._size(waiting)))

    def _size(self, task: cell_module.Task) -> messages.Size:
        return self._term.estimates.size(task.spec.kind, task.spec.size)

    def _consider(self, task: cell_module.Task) -> bool:
        request = self._request(task, self._size(task))
        shape = (
            request.kind,
            request.urgency,
            request.size,
            request.starved,
            task.spec.team,
            request.job if request.survive else "",
        )
        plain = not request.avoided
        if task.id not in self._term.reservations:
            if plain and shape in self._blocked:
                return False
            reason = startlimits.reason(
                self._given, self._survey, task, request
            )
            if reason:
                self._park(task, reason)
                self._blocked.add(shape)
                return False
        if self._try(task, request):
            return True
        if plain:
            self._blocked.add(shape)
        return False

    def _park(self, task: cell_module.Task, reason: str) -> None:
        self._term.decisions.record(task.id, self._now, reason)
        if task.reason == reason or self._parked >= MAX_PARKED:
            return
        self._parked += 1
        self._events.append(cell_module.TaskParked(task.id, reason))

    def _try(self, task: cell_module.Task, request: placement.Request) -> bool:
        reservation = self._term.reservations.get(task.id)
        if reservation is not None:
            host = self._survey.hosts[reservation.worker]
            host.remove(request)
            fits = ledger.fits(request.size, host.account.free)
            host.add(request)
            if fits:
                self._put(task, request, host, "in the room kept for it")
                return True
        choice = self._placement.choose(request)
        if choice.host is not None:
            self._put(task, request, choice.host, _summary(choice))
            return True
        self._term.decisions.record(
            task.id, self._now, f"waits: {_summary(choice)}"
        )
        if reservation is None:
            self._make_room(task, request)
        return False

    def _put(
        self,
        task: cell_module.Task,
        request: placement.Request,
        host: placement.Host,
        why: str,
    ) -> None:
        worker = host.account.worker
        kept = self._term.reservations.pop(task.id, None)
        if kept is not None:
            self._survey.hosts[kept.worker].remove(request)
        host.add(request)
        self._survey.count(task, request.size)
        self._nudges.add(worker)
        attempt = task.attempt + 1
        self._term.ordered_sizes[task.id, attempt] = request.size
        if request.starved:
            self._term.protected_until_s[task.id] = self._now + PROTECTION_S
        boot = self._given.workers[worker].heartbeat.boot
        self._events.append(
            cell_module.TaskPlaced(task.id, attempt, worker, boot)
        )
        self._term.decisions.record(
            task.id, self._now, f"attempt {attempt} placed on {worker}: {why}"
        )
        if worker in self._survey.probes:
            del self._survey.hosts[worker]
            self._placement = placement.Placement(
                self._survey.hosts.values(), self._term.interference, self._now
            )

    def _make_room(
        self, task: cell_module.Task, request: placement.Request
    ) -> None:
        if request.urgency <= messages.Urgency.URGENT:
            if not self._preempt(task, request) and request.critical:
                self._settle_for_noise(task, request)
        elif request.starved and not self._keeps_for_starved():
            self._reserve(task, request, self._emptiest(request))

    def _settle_for_noise(
        self, task: cell_module.Task, request: placement.Request
    ) -> None:
        choice = self._placement.choose(attrs.evolve(request, noisy=True))
        if choice.host is not None:
            self._put(task, request, choice.host, _summary(choice))

    def _keeps_for_starved(self) -> bool:
        return any(
            self._survey.urgency(self._given.state.tasks[task])
            > messages.Urgency.URGENT
            for task in self._term.reservations
        )

    def _emptiest(self, request: placement.Request) -> placement.Host | None:
        fitting = [
            host
            for host in self._survey.hosts.values()
            if ledger.fits(request.size, host.account.capacity)
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
            host.account.worker, self._now + RESERVATION_S
        )
        host.add(request)

    def _preempt(
        self, task: cell_module.Task, request: placement.Request
    ) -> bool:
        best: tuple[eviction.Candidate, ...] | None = None
        best_host: placement.Host | None = None
        best_cost: tuple = ()
        for host in self._survey.hosts.values():
            if host.account.worker in request.avoided:
                continue
            chosen = preemption.victims(
                self._given, self._survey, self._term, request, host
            )
            if chosen is None:
                continue
            opens = request.critical and not host.critical
            cost = (opens, *_cost(chosen))
            if best is None or cost < best_cost:
                best, best_host, best_cost = chosen, host, cost
        if best is None or self._evicted + len(best) > MAX_EVICTED:
            return False
        self._reserve(task, request, best_host)
        for candidate in best:
            victim = self._given.state.tasks[candidate.task]
            self._evict(victim, f"{task.id} is more urgent")
        return True


def _cost(chosen: tuple[eviction.Candidate, ...]) -> tuple[int, float]:
    least = min((c.urgency for c in chosen), default=messages.Urgency.BATCH)
    return -least, sum(c.size.cores for c in chosen)


def _summary(choice: placement.Choice) -> str:
    rows = sorted(
        choice.scored,
        key=lambda s: (s.refusal is not None, s.score, s.worker),
    )
    parts = [
        f"{s.worker} {s.score:.2f}"
        if s.refusal is None
        else f"{s.worker} {s.refusal.value}"
        for s in rows[:4]
    ]
    if len(rows) > len(parts):
        parts.append(f"{len(rows) - len(parts)} more")
    return ", ".join(parts) or "no worker takes new tasks"
