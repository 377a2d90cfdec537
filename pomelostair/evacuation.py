"""Evacuation of availability zones: who gets no starts, and what moves out.

An operator names the zones in rows of the store. The workers of these zones
finish what they run, and get no further attempts until the rows are removed.
Lasting tasks, which never finish, move to other zones where there is room.
"""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from pomelostair import attempts as attempts_module
from pomelostair import events
from pomelostair import fleet
from pomelostair import log
from pomelostair import metrics as metrics_module
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelineplacement as placement_module

# Interval at which all workers are checked for the reports below.
CHECK_INTERVAL_S = 0.25
# Time for which a zone may be without a known worker before it is reported as
# unknown. Agents report to a new leader within about a second.
UNKNOWN_ZONE_S = 5.0
# Time for which a service may have no usable worker outside such zones before
# that is reported.
BLOCKED_S = 2.0
# Interval at which lasting tasks are moved. A move takes about 1 s.
PASS_INTERVAL_S = 0.25
# Most comparisons of a task with a worker in one pass, about 5 ms of processor
# time, and most tasks that it examines. The next pass continues after them.
MAX_COMPARISONS = 500
MAX_EXAMINED_TASKS = 200
# Workers that one pass compares with a task, so that a large fleet is searched
# in several passes.
WINDOW_WORKERS = 250
# How long room is reserved for a task that moves. A stop takes 0.4 s, its end
# must be reported, and the members of a gang start after the last end.
RESERVATION_S = 2.4
# Age of the leader's last commit up to which lasting tasks move. It commits
# each 0.45 s; a task that moves starts again only once its record is stored.
MAX_COMMIT_AGE_S = 1.5
# Checks whether a task is at work that count as one comparison with a worker,
# as they are cheaper. Thus a pass over many stages is bounded as well.
CHECKS_PER_COMPARISON = 5
# Percent that a lasting task reports when it is at work.
AT_WORK_PERCENT = 100
# Pipeline, occurrence and number of a stage.
_StageKey = tuple[str, int, int]


class Evacuation:
    """Zones that are being evacuated, during one term of a leader.

    Args:
        metrics: Registry that counts the changes.
    """

    def __init__(self, metrics: metrics_module.Metrics):
        self._metrics = metrics
        # Monotonic time of the first check of each zone, by name.
        self._zones: dict[str, float] = {}
        self._unknown: set[str] = set()
        # Monotonic time since which a service has no usable worker, by name.
        self._blocked_since_s: dict[str, float] = {}
        self._blocked_services: set[str] = set()
        self._evacuated_workers = 0
        self._next_check_s = 0.0

    @property
    def zones(self) -> frozenset[str]:
        """Zones that are being evacuated."""
        return frozenset(self._zones)

    @property
    def evacuated_workers(self) -> int:
        """Workers in these zones at the latest check."""
        return self._evacuated_workers

    @property
    def unknown_zones(self) -> frozenset[str]:
        """Zones among them without a known worker for a while."""
        return frozenset(self._unknown)

    @property
    def blocked_services(self) -> frozenset[str]:
        """Services without a usable worker outside these zones for a while."""
        return frozenset(self._blocked_services)

    def covers(self, zone: str) -> bool:
        """Returns whether workers of a zone get no starts."""
        return zone in self._zones

    def set_zones(self, zones: Iterable[str], now: float) -> bool:
        """Replaces the set of zones; returns whether it has changed.

        Args:
            zones: Zones that the operator's rows name.
            now: Monotonic seconds.
        """
        named = frozenset(zones)
        begun = named - self._zones.keys()
        ended = self._zones.keys() - named
        for zone in sorted(begun):
            self._zones[zone] = now
            self._metrics.count("evacuations", change="begun")
            log.emit(
                events.Events.EVACUATION_BEGUN, zone=zone, zones=sorted(named)
            )
        for zone in sorted(ended):
            del self._zones[zone]
            self._unknown.discard(zone)
            self._metrics.count("evacuations", change="ended")
            log.emit(
                events.Events.EVACUATION_ENDED, zone=zone, zones=sorted(named)
            )
        self._next_check_s = now
        return bool(begun or ended)

    def check(self, workers: Iterable[fleet.Worker], now: float) -> None:
        """Reports zones without workers, and services without usable ones.

        Each is reported once, until it changes.

        Args:
            workers: All workers.
            now: Monotonic seconds.
        """
        if now < self._next_check_s:
            return
        self._next_check_s = now + CHECK_INTERVAL_S
        self._evacuated_workers = 0
        if not (self._zones or self._blocked_since_s):
            return
        known_zones = set()
        blocked, usable = set(), set()
        for worker in workers:
            known_zones.add(worker.state.zone)
            service = worker.state.service
            if worker.evacuated:
                self._evacuated_workers += 1
                blocked.add(service)
            elif worker.accepts_attempts(now):
                usable.add(service)
        self._report_unknown(known_zones, now)
        self._blocked_since_s = {
            service: self._blocked_since_s.get(service, now)
            for service in sorted(blocked - usable)
        }
        self._report_blocked(now)

    def _report_blocked(self, now: float) -> None:
        blocked = {
            service
            for service, since_s in self._blocked_since_s.items()
            if now - since_s >= BLOCKED_S
        }
        for service in sorted(blocked - self._blocked_services):
            log.emit(
                events.Events.EVACUATION_BLOCKS_SERVICE,
                service=service,
                zones=sorted(self._zones),
            )
        self._blocked_services = blocked

    def _report_unknown(self, known_zones: set[str], now: float) -> None:
        self._unknown -= known_zones
        for zone, since_s in self._zones.items():
            if (
                zone not in known_zones
                and zone not in self._unknown
                and now - since_s >= UNKNOWN_ZONE_S
            ):
                self._unknown.add(zone)
                log.emit(events.Events.EVACUATED_ZONE_UNKNOWN, zone=zone)


class Mover:
    """Moves lasting tasks out of evacuated zones, during one term of a leader.

    They move only into room that exists, and only as many tasks of a stage at a
    time as its `skippable` allows; of a stage without that limit, one.

    Args:
        attempts: Attempts that may be running.
        pacer: Predicts the pace of fillers.
        metrics: Registry that counts the moves.
    """

    def __init__(
        self,
        attempts: attempts_module.Attempts,
        pacer: pacing.Pacer,
        metrics: metrics_module.Metrics,
    ):
        self._attempts = attempts
        self._pacer = pacer
        self._metrics = metrics
        self._next_pass_s = 0.0
        self._staying_tasks = 0
        # Moved tasks that are not known to be at work again.
        self._moving: set[pipeline.Task] = set()
        # Index of the task and of the worker at which the next pass begins.
        self._next_task = 0
        self._next_worker = 0

    @property
    def staying_tasks(self) -> int:
        """Lasting tasks that were at work in the zones at the last pass."""
        return self._staying_tasks

    def move(
        self,
        workers: Iterable[fleet.Worker],
        permitted: Callable[
            [pipeline.Task, list[fleet.Worker]], list[fleet.Worker]
        ],
        may_start: Callable[[pipeline.Task], bool],
        now: float,
    ) -> None:
        """Stops tasks for which there is room in other zones.

        The room is reserved until they start there.

        Args:
            workers: All workers.
            permitted: Returns those of several workers on which a task may run.
            may_start: Returns whether no earlier leader can have started a
                task, without which it could not start again at once.
            now: Monotonic seconds.
        """
        if now < self._next_pass_s:
            return
        self._next_pass_s = now + PASS_INTERVAL_S
        self._moving = {
            task
            for task in self._moving
            if not (task.pipeline.ended or self._is_at_work(task, now))
        }
        placements, targets = _placements_and_targets(workers, now)
        self._staying_tasks = len(placements)
        if not placements:
            return
        first = self._next_task % len(placements)
        examined = (placements[first:] + placements[:first])[
            :MAX_EXAMINED_TASKS
        ]
        current = _Pass(permitted, may_start, now)
        for placement in examined:
            if current.comparisons_left <= 0:
                break
            self._next_task += 1
            same_service = targets.get(placement.worker.state.service, [])
            if not same_service or not _is_movable(placement, now):
                continue
            if placement.task.stage.gang:
                self._move_gang(placement.task, same_service, current)
            elif self._may_move(placement.task, current):
                self._move([placement], same_service, current)

    def _may_move(self, task: pipeline.Task, current: "_Pass") -> bool:
        """Returns whether a task without a gang may be unavailable now."""
        unavailable = self._unavailable(task, current)
        others = len(unavailable) - (task in unavailable)
        return others < max(task.stage.skippable, 1) and current.may_start(task)

    def _unavailable(
        self, task: pipeline.Task, current: "_Pass"
    ) -> set[pipeline.Task]:
        """Returns the tasks of a stage that count against its limit.

        These are the tasks that are not at work; in a stage without a limit,
        only those of them that move.
        """
        key = _stage_key(task)
        if key not in current.unavailable:
            members = task.pipeline.tasks(task.occurrence, task.stage_number)
            current.comparisons_left -= len(members) // CHECKS_PER_COMPARISON
            current.unavailable[key] = {
                member
                for member in members
                if (task.stage.skippable or member in self._moving)
                and not self._is_at_work(member, current.now)
            }
        return current.unavailable[key]

    def _move_gang(
        self,
        task: pipeline.Task,
        targets: list[fleet.Worker],
        current: "_Pass",
    ) -> None:
        """Moves all members of a gang, unless it was tried in this pass."""
        key = _stage_key(task)
        if key in current.tried_gangs:
            return
        current.tried_gangs.add(key)
        members = task.pipeline.tasks(task.occurrence, task.stage_number)
        current.comparisons_left -= len(members) // CHECKS_PER_COMPARISON
        if task.stage.skippable and len(members) > task.stage.skippable:
            return
        moving = [p for m in members for p in self._attempts.of_task(m)]
        if (
            len(moving) == len(members)
            and all(_is_movable(p, current.now) for p in moving)
            and all(map(current.may_start, members))
        ):
            self._move(moving, targets, current)

    def _move(
        self,
        moving: list[fleet.Placement],
        targets: list[fleet.Worker],
        current: "_Pass",
    ) -> None:
        """Moves a task, or all members of a gang, if there is room."""
        now = current.now
        window_workers = max(
            1, min(WINDOW_WORKERS, MAX_COMPARISONS // len(moving))
        )
        reserved: list[tuple[fleet.Worker, pipeline.Task]] = []
        # Members in other zones start again where they are.
        for p in sorted(moving, key=lambda p: p.worker.evacuated):
            target: fleet.Worker | None = p.worker
            if p.worker.evacuated:
                window = self._window(targets, window_workers)
                current.comparisons_left -= len(window)
                target = placement_module.choose(
                    p.task, current.permitted(p.task, window), self._pacer, now
                )
            if target is None:
                break
            target.reserve(p.task, now + RESERVATION_S)
            reserved.append((target, p.task))
        # Checked for all, as members may also start again where they are.
        if len(reserved) < len(moving) or not all(
            _is_target(worker, now) and current.permitted(reserving, [worker])
            for worker, reserving in reserved
        ):
            for worker, reserving in reserved:
                worker.cancel_reservation(reserving)
            return
        for p in moving:
            self._moving.add(p.task)
            current.unavailable.setdefault(_stage_key(p.task), set()).add(
                p.task
            )
            self._attempts.stop(p, "its zone is being evacuated")
        self._metrics.count("evacuation_moves", len(moving))

    def _window(
        self, targets: list[fleet.Worker], size: int
    ) -> list[fleet.Worker]:
        """Returns the workers that a task is compared with in this pass."""
        if len(targets) <= size:
            return targets
        first = self._next_worker % len(targets)
        self._next_worker = first + size
        return (targets + targets)[first : first + size]

    def _is_at_work(self, task: pipeline.Task, now: float) -> bool:
        return any(
            p.state is fleet.AttemptState.RUNNING
            and p.progress_percent >= AT_WORK_PERCENT
            and p.worker.is_heard(now)
            and not p.worker.is_silent(now)
            for p in self._attempts.of_task(task)
        )


@attrs.define
class _Pass:
    """State of one pass of the mover.

    Attributes:
        permitted: Returns those of several workers on which a task may run.
        may_start: Returns whether no earlier leader can have started a task.
        now: Monotonic seconds.
        comparisons_left: Comparisons that the pass may still make.
        unavailable: Tasks that count against the limit of their stage, by
            stage. They are determined once a pass, as a stage may be large.
        tried_gangs: Stages of the gangs that were examined.
    """

    permitted: Callable[[pipeline.Task, list[fleet.Worker]], list[fleet.Worker]]
    may_start: Callable[[pipeline.Task], bool]
    now: float
    comparisons_left: int = MAX_COMPARISONS
    unavailable: dict[_StageKey, set[pipeline.Task]] = attrs.field(factory=dict)
    tried_gangs: set[_StageKey] = attrs.field(factory=set)


def _stage_key(task: pipeline.Task) -> _StageKey:
    return task.pipeline.id, task.occurrence, task.stage_number


def _placements_and_targets(
    workers: Iterable[fleet.Worker], now: float
) -> tuple[list[fleet.Placement], dict[str, list[fleet.Worker]]]:
    """Returns the lasting tasks in the zones, and by service where to move."""
    placements: list[fleet.Placement] = []
    targets: dict[str, list[fleet.Worker]] = {}
    for worker in workers:
        if worker.evacuated:
            placements += filter(_is_lasting, worker.placements.values())
        elif _is_target(worker, now):
            targets.setdefault(worker.state.service, []).append(worker)
    return placements, targets


def _is_lasting(placement: fleet.Placement) -> bool:
    return placement.task.stage.lasting


def _is_movable(placement: fleet.Placement, now: float) -> bool:
    """Returns whether an attempt is known to run, and can be stopped soon."""
    return (
        placement.state is fleet.AttemptState.RUNNING
        and placement.reported
        and placement.worker.is_heard(now)
        and not placement.worker.is_silent(now)
        and placement.worker.confirms_orders(now)
        and not placement.task.suspect
    )


def _is_target(worker: fleet.Worker, now: float) -> bool:
    return (
        worker.is_schedulable(now)
        and not worker.is_silent(now)
        and worker.confirms_orders(now)
    )
