"""One round of scheduling: which waiting tasks start, and who yields.

The work of a round is bounded: tasks of one shape are tried once, and only so
many tasks are considered, placed and evicted.
"""

from collections.abc import Iterator
import itertools

import attrs

from pomelostair import blame
from pomelostair import cell as cell_module
from pomelostair import declaration
from pomelostair import eviction
from pomelostair import fairqueue
from pomelostair import ledger
from pomelostair import messages
from pomelostair import placement
from pomelostair import stopplan
from pomelostair import term as term_module

MAX_CONSIDERED = 2000
MAX_PLACED = 256
MAX_EVICTED = 64
MAX_PARKED = 64
MAX_NOISY = 8
STARVATION_S = 120.0
STARVED_TURN_S = 1.0
PROTECTION_S = 60.0
RESERVATION_S = 10.0
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
    workers: dict[str, term_module.Worker]
    declarations: declaration.Declarations
    now: float
    standing: stopplan.Standing = stopplan.Standing()


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

    def __init__(self, term: term_module.Term, given: Round, silent_s: float):
        self._term = term
        self._given = given
        self._now = given.now
        self._silent_s = silent_s
        self._teams = {t.name: t for t in given.declarations.teams}
        self._events: list[cell_module.Event] = []
        self._nudges: set[str] = set()
        self._evicted = 0
        self._placed = 0
        self._min_gain = placement.GOOD_GAIN
        self._parked = 0
        self._blocked: set[tuple] = set()
        self._usage: dict[Key, messages.TaskUsage] = {}
        self._running: dict[str, list[cell_module.Task]] = {}
        self._team_batch: dict[str, messages.Size] = {}
        self._team_cores: dict[str, float] = {}
        self._batch_cores = 0.0
        self._hosts: dict[str, placement.Host] = {}
        self._probes: set[str] = set()

    def plan(self) -> Plan:
        """Returns the decisions of the round."""
        self._survey()
        self._empty_draining()
        self._shed_batch()
        self._shed_site()
        self._place_waiting()
        return Plan(tuple(self._events), frozenset(self._nudges))

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

    def _open(self, name: str, worker: term_module.Worker) -> bool:
        if worker.granted < self._now - self._silent_s:
            return False
        if worker.heartbeat.state is not messages.TargetState.READY:
            return False
        if self._term.refused.get(name, float("-inf")) > self._now - REFUSED_S:
            return False
        match self._term.blame.standing(name, self._now):
            case blame.Standing.QUARANTINED:
                return False
            case blame.Standing.PROBED:
                self._probes.add(name)
        return True

    def _forget(self, placed: set[Key]) -> None:
        term = self._term
        for memory in (
            term.evictions,
            term.offered,
            term.reserved,
        ):
            for key in memory.keys() - placed:
                del memory[key]
        waiting = {task.id: task for task in self._given.state.waiting()}
        for memory in (term.waiting, term.reservations):
            for task in memory.keys() - waiting.keys():
                del memory[task]
        for task in waiting:
            term.waiting.setdefault(task, self._now)
        running = {task for task, _ in placed}
        for task in term.protected.keys() - running - waiting.keys():
            del term.protected[task]

    def _take(self, task: cell_module.Task, worker: str) -> None:
        size = self._term.held(task, self._usage.get((task.id, task.attempt)))
        self._running.setdefault(worker, []).append(task)
        self._count(task, size)
        host = self._hosts.get(worker)
        if host is not None:
            host.add(self._request(task, size))

    def _take_strangers(self, placed: set[Key]) -> None:
        for name, host in self._hosts.items():
            for usage in self._given.workers[name].heartbeat.usage:
                key = (usage.task, usage.attempt)
                if key not in placed:
                    size = usage.reserved or usage.used
                    host.account.assign(key, ledger.largest(size, usage.used))

    def _count(self, task: cell_module.Task, size: messages.Size) -> None:
        team = task.spec.team
        cores = self._team_cores.get(team, 0.0)
        self._team_cores[team] = cores + size.cores
        if self._urgency(task) is messages.Urgency.BATCH:
            held = self._team_batch.get(team, messages.Size(0.0, 0, 0))
            self._team_batch[team] = ledger.add(held, task.spec.size)
            self._batch_cores += size.cores

    def _request(
        self, task: cell_module.Task, size: messages.Size
    ) -> placement.Request:
        starved = self._is_starved(task)
        return placement.Request(
            task.id,
            task.spec.id,
            task.spec.kind,
            self._urgency(task),
            size,
            task.spec.survive,
            self._avoided(task),
            starved,
            starved and all(host.critical for host in self._hosts.values()),
            self._min_gain,
        )

    def _avoided(self, task: cell_module.Task) -> frozenset[str]:
        """Returns where a task that failed must not go.

        It proves nothing about a worker on probation, and it may return to
        where it failed once it failed on all others.
        """
        failed = self._term.blame.avoided(task.id)
        if not failed:
            return failed
        trusted = self._hosts.keys() - self._probes
        if trusted <= failed:
            return frozenset(self._probes)
        return failed | self._probes

    def _urgency(self, task: cell_module.Task) -> messages.Urgency:
        return self._given.declarations.urgency_of(
            task.spec.kind, task.spec.urgency
        )

    def _is_starved(self, task: cell_module.Task) -> bool:
        since = self._term.waiting.get(task.id)
        return since is not None and self._now - since > STARVATION_S

    def _empty_draining(self) -> None:
        for name, worker in self._given.workers.items():
            if worker.heartbeat.state is messages.TargetState.DRAINING:
                for task in self._running.get(name, ()):
                    self._evict(task, "the worker drains")

    def _shed_batch(self) -> None:
        total = self._capacity_cores()
        share = self._given.declarations.limits.batch_share
        over = self._batch_cores - share * total
        if share >= 1 or over <= 0:
            return
        tasks = {
            (task.id, task.attempt): task
            for held in self._running.values()
            for task in held
            if self._urgency(task) is messages.Urgency.BATCH
        }
        over -= sum(
            self._held(task).cores
            for key, task in tasks.items()
            if key in self._term.evictions
        )
        for candidate in eviction.order(self._candidates(tasks.values())):
            if over <= 0 or self._evicted >= MAX_EVICTED:
                return
            key = (candidate.task, candidate.attempt)
            self._evict(tasks[key], f"batch may hold {share:.0%} of the cores")
            over -= candidate.size.cores

    def _shed_site(self) -> None:
        tasks = {
            task.id: task for held in self._running.values() for task in held
        }
        works = [
            stopplan.Work(
                task.id,
                self._urgency(task),
                task.spec.survive,
                self._held(task).cores,
                task.worker,
            )
            for task in tasks.values()
        ]
        standing = self._given.standing
        for name in stopplan.leaving(standing, works, self._capacity_cores()):
            if self._evicted < MAX_EVICTED and tasks[name].attempt:
                self._evict(tasks[name], "the site sheds work")

    def _capacity_cores(self) -> float:
        return sum(
            worker.heartbeat.capacity.cores
            for worker in self._given.workers.values()
        )

    def _held(self, task: cell_module.Task) -> messages.Size:
        return self._term.held(task, self._usage.get((task.id, task.attempt)))

    def _candidates(self, tasks) -> list[eviction.Candidate]:
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
                    self._urgency(task),
                    task.spec.survive,
                    progress,
                    self._held(task),
                )
            )
        return result

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
            self._hosts.values(), self._term.interference, self._now
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
            starved = self._is_starved(task)
            any_starved |= starved
            rows.append(
                fairqueue.Waiting(
                    task.id,
                    task.spec.team,
                    self._urgency(task),
                    task.spec.size.cores,
                    self._term.waiting[task.id],
                    starved,
                )
            )
        turn = any_starved and (
            self._now - self._term.starved_turn >= STARVED_TURN_S
        )
        if turn:
            self._term.starved_turn = self._now
        return fairqueue.order(rows, self._team_cores, self._weight, turn)

    def _weight(self, team: str) -> float:
        found = self._teams.get(team)
        return 1.0 if found is None else max(found.weight, 1e-6)

    def _hold_reservations(self) -> None:
        for task, reservation in list(self._term.reservations.items()):
            host = self._hosts.get(reservation.worker)
            if host is None or reservation.until < self._now:
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
            if self._limited(task, request):
                self._blocked.add(shape)
                return False
        if self._try(task, request):
            return True
        if plain:
            self._blocked.add(shape)
        return False

    def _limited(
        self, task: cell_module.Task, request: placement.Request
    ) -> bool:
        reason = self._impossible(request) or stopplan.refuses_start(
            self._given.standing,
            request.size.cores,
            sum(self._team_cores.values()),
            self._capacity_cores(),
        )
        if not reason and request.urgency is messages.Urgency.BATCH:
            reason = self._over_quota(task)
            if not reason and self._over_share(request):
                reason = "batch holds its share of the cell; it waits"
        if reason:
            self._park(task, reason)
        return bool(reason)

    def _impossible(self, request: placement.Request) -> str:
        capacities = [
            worker.heartbeat.capacity for worker in self._given.workers.values()
        ]
        if not capacities:
            return ""
        if any(ledger.fits(request.size, capacity) for capacity in capacities):
            return ""
        size = request.size
        return (
            f"no worker is large enough for {size.cores:g} cores, "
            f"{size.memory_mb} MB and {size.accelerators} accelerators; "
            "declare smaller tasks"
        )

    def _over_quota(self, task: cell_module.Task) -> str:
        team = self._teams.get(task.spec.team)
        if team is None:
            return ""
        held = self._team_batch.get(team.name, messages.Size(0.0, 0, 0))
        wanted = ledger.add(held, task.spec.size)
        for name in ("cores", "memory_mb", "accelerators"):
            quota = getattr(team, name)
            if quota is not None and getattr(wanted, name) > quota:
                return f"team {team.name} is at its quota of {quota:g} {name}"
        return ""

    def _over_share(self, request: placement.Request) -> bool:
        share = self._given.declarations.limits.batch_share
        if share >= 1:
            return False
        total = self._capacity_cores()
        return self._batch_cores + request.size.cores > share * total

    def _park(self, task: cell_module.Task, reason: str) -> None:
        self._term.decisions.record(task.id, self._now, reason)
        if task.reason == reason or self._parked >= MAX_PARKED:
            return
        self._parked += 1
        self._events.append(cell_module.TaskParked(task.id, reason))

    def _try(self, task: cell_module.Task, request: placement.Request) -> bool:
        reservation = self._term.reservations.get(task.id)
        if reservation is not None:
            host = self._hosts[reservation.worker]
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
            self._hosts[kept.worker].remove(request)
        host.add(request)
        self._count(task, request.size)
        self._nudges.add(worker)
        attempt = task.attempt + 1
        self._term.reserved[task.id, attempt] = request.size
        if request.starved:
            self._term.protected[task.id] = self._now + PROTECTION_S
        boot = self._given.workers[worker].heartbeat.boot
        self._events.append(
            cell_module.TaskPlaced(task.id, attempt, worker, boot)
        )
        self._term.decisions.record(
            task.id, self._now, f"attempt {attempt} placed on {worker}: {why}"
        )
        if worker in self._probes:
            del self._hosts[worker]
            self._placement = placement.Placement(
                self._hosts.values(), self._term.interference, self._now
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
            self._urgency(self._given.state.tasks[task])
            > messages.Urgency.URGENT
            for task in self._term.reservations
        )

    def _emptiest(self, request: placement.Request) -> placement.Host | None:
        fitting = [
            host
            for host in self._hosts.values()
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
        self._term.reservations[task.id] = term_module.Reservation(
            host.account.worker, self._now + RESERVATION_S
        )
        host.add(request)

    def _preempt(
        self, task: cell_module.Task, request: placement.Request
    ) -> bool:
        best: tuple[eviction.Candidate, ...] | None = None
        best_host: placement.Host | None = None
        best_cost: tuple = ()
        for host in self._hosts.values():
            if host.account.worker in request.avoided:
                continue
            chosen = self._victims(request, host)
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

    def _victims(
        self, request: placement.Request, host: placement.Host
    ) -> tuple[eviction.Candidate, ...] | None:
        worker = host.account.worker
        running = self._running.get(worker, [])
        free = host.account.free
        for task in running:
            if (task.id, task.attempt) in self._term.evictions:
                free = ledger.add(free, self._held(task))
        yielding = [
            task
            for task in running
            if self._urgency(task) > messages.Urgency.URGENT
            and self._term.protected.get(task.id, 0.0) <= self._now
        ]
        candidates = self._candidates(yielding)
        noisy = self._noisy(request, host, candidates)
        if noisy is None:
            return None
        for candidate in noisy:
            free = ledger.add(free, candidate.size)
        quiet = [c for c in candidates if c not in noisy]
        chosen = eviction.choose(request.size, free, quiet)
        return None if chosen is None else (*noisy, *chosen)

    def _noisy(
        self,
        request: placement.Request,
        host: placement.Host,
        candidates: list[eviction.Candidate],
    ) -> tuple[eviction.Candidate, ...] | None:
        """Returns who must leave so that a latency-critical task is calm."""
        if not request.critical:
            return ()
        loads = host.loads()
        cores = host.account.capacity.cores
        kinds = {
            c.task: self._given.state.tasks[c.task].spec.kind
            for c in candidates
        }
        harm = {
            c.task: c.size.cores
            * self._term.interference.factor(
                request.kind, kinds[c.task], self._now
            )
            for c in candidates
        }
        chosen: list[eviction.Candidate] = []
        for candidate in sorted(candidates, key=lambda c: -harm[c.task]):
            slowdown = self._term.interference.slowdown(
                request.kind, loads, self._now
            )
            if slowdown <= placement.CRITICAL_START_LIMIT:
                return tuple(chosen)
            if len(chosen) >= MAX_NOISY or harm[candidate.task] <= 0:
                return None
            chosen.append(candidate)
            loads[kinds[candidate.task]] -= candidate.size.cores / cores
        return tuple(chosen)


def _host(name: str, heartbeat: messages.Heartbeat) -> placement.Host:
    return placement.Host(
        ledger.Account(name, heartbeat.zone, heartbeat.rack, heartbeat.capacity)
    )


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
