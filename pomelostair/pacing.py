"""Filling work beside serving tasks: what it may take, and at what pace.

Answers the pattern of noisy tasks that come in waves beside services: how much
a filling task slows a serving one depends on the pair of images, shifts with
the load of the service and shows only in rough figures of the last half
second. `contention` learns from these figures. A filling attempt starts, and
keeps its pace, only as far as the latency that they predict stays below the
target; those with the highest pressure are slowed first, so that what a
service can bear goes to as much work as possible.
"""

from collections.abc import Iterable

import attrs

from pomelostair import contention as contention_module
from pomelostair import fleet
from pomelostair import metrics as metrics_module
from pomelostair import pipeline

FULL = 100
# Latency over target that a decision may predict.
ALLOWED = 0.85
# Growth of a service's utilization to be expected until a decision shows.
LOOKAHEAD = 0.04
# Least pace in percent of a slowed attempt: it still tells how it affects
# others.
SLOWED = 5
# Changes of a pace by fewer percent are left out.
LEAST_CHANGE = 10
# Seconds after a change before a pace is raised: an order takes effect after
# 100 ms and shows in the figures half a second later.
STEP_S = 0.5
# Time over target after which all filling attempts that matter are halted, and
# time after which every one is; the platform's impactMs is 4 s or more.
HALT_SUSPECTS_AFTER_S = 1.0
HALT_AFTER_S = 1.8
# Time after a halt in which a serving task that filling work had slowed would
# have recovered, and time for which one that did not is left alone.
ACQUIT_AFTER_S = 1.5
LEFT_ALONE_S = 6.0
# An attempt that was below this pace for some seconds should move to a worker
# on which it can get at least the other one.
MOVE_BELOW = 60
MOVE_AFTER_S = 1.0
MOVE_TO = 80
# Share of its pace with which a filling task starts. One that waits is content
# with less each second, so that none is kept out for ever.
START_RATE = 0.7
PATIENCE_S = 1.0
RATE_PER_S = 0.1
LEAST_RATE = 0.35
KEPT_OUT_S = 15.0
# Load below which a filling attempt counts as idle, as share of the worker.
IDLE = 0.005


@attrs.frozen
class _Room:
    """What the services of one image on a worker can still bear.

    Attributes:
        image: The serving image.
        left: Growth of its utilization that may still be brought about.
    """

    image: str
    left: float


@attrs.define
class _Serving:
    """What was seen of one serving attempt.

    Attributes:
        over_since: Monotonic seconds since which it is over its target, 0 for
            not.
        left_alone: Monotonic seconds until which filling work beside it is
            not slowed for its sake.
    """

    over_since: float = 0.0
    left_alone: float = 0.0


class Pacer:
    """Learns from reports and decides paces; one for each term of a leader.

    Args:
        metrics: Where steps are counted.
    """

    def __init__(self, metrics: metrics_module.Metrics):
        self._metrics = metrics
        self._contention = contention_module.Contention()
        self._serving: dict[fleet.Key, _Serving] = {}
        self._rooms: dict[fleet.Life, tuple[tuple, list[_Room]]] = {}

    def observe(self, worker: fleet.Worker, now: float) -> None:
        """Learns from the figures of a fresh report."""
        serving = _serving(worker)
        if not serving:
            return
        loads = _loads(worker)
        for placement in serving:
            if placement.load <= 0 or placement.percent < FULL:
                continue
            stage = placement.task.stage
            self._contention.observe(
                placement.key,
                stage.image,
                stage.latency_target_ms,
                placement.load,
                loads,
                now,
            )
            known = self._serving.setdefault(placement.key, _Serving())
            if placement.load <= stage.latency_target_ms:
                known.over_since = 0.0
            elif not known.over_since:
                known.over_since = now

    def rate(
        self, task: pipeline.Task, worker: fleet.Worker, now: float
    ) -> float:
        """Returns the share of its pace that a filling task could have.

        Args:
            task: A filling task that does not run on the worker.
            worker: The worker.
            now: Monotonic seconds.

        Returns:
            From 0 up to 1.
        """
        rate = 1.0
        load = _share(task, worker)
        for room in self._free_rooms(worker, now):
            own = load * self._contention.pressure(
                room.image, task.stage.image, now
            )
            if own > 0:
                rate = min(rate, max(room.left, 0.0) / own)
        return rate

    def least_rate(self, task: pipeline.Task, now: float) -> float:
        """Returns the rate with which a filling task should be content."""
        waited_s = now - task.ready_since - PATIENCE_S
        if waited_s > KEPT_OUT_S:
            return 0.0
        return max(START_RATE - max(0.0, waited_s) * RATE_PER_S, LEAST_RATE)

    def decide(
        self, worker: fleet.Worker, now: float
    ) -> list[tuple[fleet.Placement, int]]:
        """Returns the new paces of filling attempts, in percent.

        Args:
            worker: Worker with a fresh report.
            now: Monotonic seconds.
        """
        fillers = [
            p
            for p in worker.placements.values()
            if p.task.stage.filler and p.standing is fleet.Standing.RUNNING
        ]
        if not fillers:
            return []
        if not _serving(worker):
            return [(p, FULL) for p in fillers if p.pace < FULL]
        serving = self._affected(worker, now)
        over_s = self._longest_over(serving, now)
        if over_s > HALT_AFTER_S:
            if all(p.pace == 0 for p in fillers):
                self._acquit(worker, serving, now)
                return []
            worker.paced = now
            return [(p, 0) for p in fillers if p.pace > 0]
        wanted = self._plan(worker, serving, fillers, now)
        if over_s > HALT_SUSPECTS_AFTER_S:
            wanted = {k: 0 if p < FULL else p for k, p in wanted.items()}
        raising = now - worker.paced >= STEP_S
        steps = [
            (p, wanted[p.key])
            for p in fillers
            if _is_change(p.pace, wanted[p.key], raising)
        ]
        if steps:
            worker.paced = now
            self._metrics.count("pace_steps")
        return steps

    def first_pace(
        self, task: pipeline.Task, worker: fleet.Worker, now: float
    ) -> int:
        """Returns the pace in percent at which a task should start."""
        if not task.stage.filler:
            return FULL
        return max(SLOWED, int(FULL * self.rate(task, worker, now)))

    def forget(self, placement: fleet.Placement) -> None:
        """Forgets an attempt that ended."""
        self._serving.pop(placement.key, None)
        self._contention.forget(placement.key)

    def should_move(self, placement: fleet.Placement, now: float) -> bool:
        """Returns whether a filling attempt was slowed for too long."""
        return (
            placement.task.stage.filler
            and not placement.task.stage.gang
            and placement.standing is fleet.Standing.RUNNING
            and placement.slowed > 0
            and placement.pace < MOVE_BELOW
            and now - placement.slowed > MOVE_AFTER_S
        )

    def _affected(
        self, worker: fleet.Worker, now: float
    ) -> list[fleet.Placement]:
        """Returns the serving attempts that filling work may be slowing."""
        return [
            p
            for p in _serving(worker)
            if p.key not in self._serving
            or self._serving[p.key].left_alone <= now
        ]

    def _acquit(
        self, worker: fleet.Worker, serving: list[fleet.Placement], now: float
    ) -> None:
        """Lets filling work go on where halting it did not help."""
        if now - worker.paced < ACQUIT_AFTER_S:
            return
        for placement in serving:
            known = self._serving.get(placement.key)
            if known and known.over_since:
                known.left_alone = now + LEFT_ALONE_S

    def _longest_over(
        self, serving: list[fleet.Placement], now: float
    ) -> float:
        """Returns the longest time over target in seconds, 0 for none."""
        since = [
            self._serving[p.key].over_since
            for p in serving
            if p.key in self._serving and self._serving[p.key].over_since
        ]
        return now - min(since) if since else 0.0

    def _budgets(
        self, serving: Iterable[fleet.Placement], now: float
    ) -> dict[str, float]:
        """Returns how much the utilization may grow, by serving image."""
        budgets: dict[str, float] = {}
        for placement in serving:
            stage = placement.task.stage
            target_ms = stage.latency_target_ms
            floor_ms = self._contention.floor_ms(stage.image, target_ms)
            limit = 1 - floor_ms / (ALLOWED * target_ms)
            expected = (
                self._contention.utilization(placement.key, now) + LOOKAHEAD
            )
            budget = max(0.0, limit / expected - 1)
            budgets[stage.image] = min(budget, budgets.get(stage.image, budget))
        return budgets

    def _free_rooms(self, worker: fleet.Worker, now: float) -> list[_Room]:
        # Many tasks are compared with one worker in a round.
        state = (now, worker.filling, len(worker.placements))
        life = (worker.id, worker.life)
        kept = self._rooms.get(life)
        if kept is not None and kept[0] == state:
            return kept[1]
        planned: dict[str, float] = {}
        for placement in worker.placements.values():
            if placement.task.stage.filler:
                image = placement.task.stage.image
                load = _share(placement.task, worker) * placement.pace / FULL
                planned[image] = planned.get(image, 0.0) + load
        rooms = []
        for image, budget in self._budgets(
            self._affected(worker, now), now
        ).items():
            held = sum(
                load * self._contention.pressure(image, beside, now)
                for beside, load in planned.items()
            )
            rooms.append(_Room(image, budget - held))
        if len(self._rooms) > contention_module.MAX_PAIRS:
            self._rooms.clear()
        self._rooms[life] = (state, rooms)
        return rooms

    def _plan(
        self,
        worker: fleet.Worker,
        serving: list[fleet.Placement],
        fillers: list[fleet.Placement],
        now: float,
    ) -> dict[fleet.Key, int]:
        """Returns the highest paces that every service can bear."""
        paces = {p.key: float(FULL) for p in fillers}
        for image, budget in self._budgets(serving, now).items():
            taken = [
                (
                    self._contention.pressure(image, p.task.stage.image, now),
                    _share(p.task, worker),
                    p,
                )
                for p in fillers
            ]
            excess = -budget + sum(
                pressure * load * paces[p.key] / FULL
                for pressure, load, p in taken
            )
            taken.sort(key=lambda row: (-row[0], row[2].key))
            for pressure, load, placement in taken:
                if excess <= 0 or pressure <= 0:
                    break
                pace = paces[placement.key]
                whole = max(pressure * load, 1e-9)
                lower = max(SLOWED, pace - excess / whole * FULL)
                lower = min(lower, pace)
                excess -= whole * (pace - lower) / FULL
                paces[placement.key] = lower
        return {key: int(pace) for key, pace in paces.items()}


def _is_change(pace: int, wanted: int, raising: bool) -> bool:
    if wanted > pace:
        return raising and (wanted == FULL or wanted - pace >= LEAST_CHANGE)
    return pace - wanted >= LEAST_CHANGE or (wanted == 0 and pace > 0)


def _share(task: pipeline.Task, worker: fleet.Worker) -> float:
    """Returns the share of a worker's cores that a task requests."""
    cores = max(1, worker.state.capacity.millicores)
    return task.stage.demand.millicores / cores


def _serving(worker: fleet.Worker) -> list[fleet.Placement]:
    return [
        p
        for p in worker.placements.values()
        if p.task.stage.latency_target_ms > 0
    ]


def _loads(worker: fleet.Worker) -> dict[str, float]:
    """Returns the reported shares of the worker's cores, by filling image."""
    cores = max(1, worker.state.capacity.millicores)
    loads: dict[str, float] = {}
    for placement in worker.placements.values():
        stage = placement.task.stage
        if stage.filler and placement.load > 0:
            load = placement.load / cores
            loads[stage.image] = loads.get(stage.image, 0.0) + load
    return {image: load for image, load in loads.items() if load >= IDLE}
