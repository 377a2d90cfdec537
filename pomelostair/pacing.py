"""Filling work beside serving tasks: what it may take, and at what pace.

Answers the pattern of noisy tasks that come in waves beside services: how much
a filling task slows a serving one depends on the pair of images, shifts within
seconds and shows only in rough figures of the last half second. The factors
are learned from these figures. A filling attempt starts, and keeps its pace,
only where the latency that they predict stays below the target; when a target
is missed, those that contribute most are slowed first.
"""

import math

import attrs

from pomelostair import fleet
from pomelostair import interference as interference_module
from pomelostair import metrics as metrics_module
from pomelostair import pipeline

FULL = 100
# Latency over target that a decision may predict, and from which on filling
# attempts are slowed.
ALLOWED = 0.85
HIGH = 0.95
# Pace at which an image first starts beside a service that it was never seen
# beside: enough to show its effect, too little to do much harm.
TRIAL = 30
# Figures that make a pair of images known, and the least load that counts.
KNOWN_AFTER = 3
KNOWN_LOAD = 0.02
# Pace of an attempt that is slowed. It still tells how it affects others.
SLOWED = 15
# Factors on the pace of attempts that are given more: the larger one if it is
# allowed, else a small step, which still shows what the image does.
RAISES = (10.0, 2.0, 1.4)
# Part of the target that the filling attempts of an image must take up to be
# slowed for it. Figures are rough, and services come near targets alone, too.
MATERIAL = 0.08
# Seconds between two attempts to tell images apart.
TELL_APART_S = 1.5
# Seconds between two steps on a worker: an order takes effect after 100 ms and
# shows in the figures half a second later.
STEP_S = 0.5
# Time over target after which every filling attempt on the worker is halted;
# the platform's impactMs is 4 s or more.
HALT_AFTER_S = 1.8
# Time after a halt in which a serving task that filling work had slowed would
# have recovered, and time for which one that did not is left alone.
ACQUIT_AFTER_S = 1.5
LEFT_ALONE_S = 6.0
# Time at a low pace after which an attempt should move to another worker.
MOVE_AFTER_S = 2.0
# Latency over target at which a slowed attempt is welcome elsewhere.
WELCOME = 0.7
# A filling task that waits is allowed this much more for each second, so that
# none is kept out for ever; once it runs, its pace follows the latencies.
PATIENCE_S = 1.0
ALLOWED_PER_S = 0.04
KEPT_OUT_S = 7.0
# Part of a new figure in the smoothed latency and in the latency when alone.
SMOOTHING = 0.5
ALONE_SMOOTHING = 0.1
# Latency when alone over target that is assumed before any was seen.
ALONE_SHARE = 0.45
# Loads beside a service are small and shift within seconds, so that the factors
# have to be learned from few reports.
MIN_ENERGY = 0.003
HALF_LIFE_S = 60.0
# Load below which a filling attempt counts as idle, as share of the worker.
IDLE = 0.01


@attrs.define
class _Serving:
    """What was learned about one serving attempt.

    Attributes:
        smooth: Smoothed latency in milliseconds.
        over_since: Monotonic seconds since which it is over its target, 0 for
            not.
        left_alone: Monotonic seconds until which filling work beside it is
            not slowed for its sake.
    """

    smooth: float
    over_since: float = 0.0
    left_alone: float = 0.0


class Pacer:
    """Learns from reports and decides paces; one for each term of a leader.

    Args:
        metrics: Where steps are counted.
    """

    def __init__(self, metrics: metrics_module.Metrics):
        self._metrics = metrics
        self._factors = interference_module.Interference(
            MIN_ENERGY, HALF_LIFE_S
        )
        self._alone: dict[str, float] = {}
        self._figures: dict[tuple[str, str], int] = {}
        self._serving: dict[fleet.Key, _Serving] = {}

    def observe(self, worker: fleet.Worker, now: float) -> None:
        """Learns from the figures of a fresh report."""
        serving = _serving(worker)
        if not serving:
            return
        loads = _loads(worker)
        for placement in serving:
            if placement.load <= 0 or placement.percent < FULL:
                continue
            image = placement.task.stage.image
            alone = self._alone_ms(placement)
            self._count(image, loads)
            if loads:
                self._factors.learn(image, loads, placement.load / alone, now)
            else:
                self._alone[image] = alone + ALONE_SMOOTHING * (
                    placement.load - alone
                )
            self._smooth(placement, now)

    def ratio(
        self,
        worker: fleet.Worker,
        now: float,
        added: pipeline.Task | None = None,
        paces: dict[fleet.Key, int] | None = None,
    ) -> float:
        """Returns the highest latency over target that is to be expected.

        Args:
            worker: The worker.
            now: Monotonic seconds.
            added: A filling task that would start there.
            paces: Paces in percent that would be set.
        """
        serving = self._affected(worker, now)
        if not serving:
            return 0.0
        change = _planned(worker, paces or {})
        if added is not None:
            _add(change, added, worker, FULL)
        for image, load in _loads(worker).items():
            change[image] = change.get(image, 0.0) - load
        worst = 0.0
        for placement in serving:
            stage = placement.task.stage
            rise = sum(
                self._factors.factor(stage.image, image, now) * load
                for image, load in change.items()
            )
            known = self._serving.get(placement.key)
            alone = self._alone_ms(placement)
            smooth = alone if known is None else known.smooth
            expected = max(smooth + alone * rise, 0.0)
            worst = max(worst, expected / stage.latency_target_ms)
        return worst

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
        if self._is_over_for(serving, now, HALT_AFTER_S):
            if all(p.pace == 0 for p in fillers):
                self._acquit(worker, serving, now)
                return []
            worker.paced = now
            return [(p, 0) for p in fillers if p.pace > 0]
        if now - worker.paced < STEP_S:
            return []
        suffering = self._worst(serving)
        if suffering is not None:
            steps = self._slow(worker, suffering, fillers, now)
            direction = "down"
        else:
            steps = self._raise(worker, fillers, now)
            direction = "up"
        if steps:
            worker.paced = now
            self._metrics.count("pace_steps", direction=direction)
        return steps

    def first_pace(self, task: pipeline.Task, worker: fleet.Worker) -> int:
        """Returns the pace in percent at which a task should start."""
        image = task.stage.image
        if task.stage.filler and any(
            self._figures.get((p.task.stage.image, image), 0) < KNOWN_AFTER
            for p in _serving(worker)
        ):
            return TRIAL
        return FULL

    def allowed(self, task: pipeline.Task, now: float) -> float:
        """Returns the latency over target that a start may predict."""
        waited_s = now - task.ready_since - PATIENCE_S
        if waited_s > KEPT_OUT_S:
            return math.inf
        return ALLOWED + max(0.0, waited_s) * ALLOWED_PER_S

    def forget(self, placement: fleet.Placement) -> None:
        """Forgets an attempt that ended."""
        self._serving.pop(placement.key, None)

    def should_move(self, placement: fleet.Placement, now: float) -> bool:
        """Returns whether a filling attempt was slowed for too long."""
        return (
            placement.task.stage.filler
            and placement.standing is fleet.Standing.RUNNING
            and placement.slowed > 0
            and now - placement.slowed > MOVE_AFTER_S
        )

    def _count(self, image: str, loads: dict[str, float]) -> None:
        for beside, load in loads.items():
            if load >= KNOWN_LOAD:
                pair = (image, beside)
                self._figures[pair] = self._figures.get(pair, 0) + 1

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

    def _alone_ms(self, placement: fleet.Placement) -> float:
        stage = placement.task.stage
        return self._alone.get(
            stage.image, ALONE_SHARE * stage.latency_target_ms
        )

    def _smooth(self, placement: fleet.Placement, now: float) -> None:
        known = self._serving.setdefault(
            placement.key, _Serving(placement.load)
        )
        known.smooth += SMOOTHING * (placement.load - known.smooth)
        if placement.load <= placement.task.stage.latency_target_ms:
            known.over_since = 0.0
        elif not known.over_since:
            known.over_since = now

    def _is_over_for(
        self, serving: list[fleet.Placement], now: float, seconds: float
    ) -> bool:
        for placement in serving:
            known = self._serving.get(placement.key)
            if known and known.over_since and now - known.over_since > seconds:
                return True
        return False

    def _worst(self, serving: list[fleet.Placement]) -> fleet.Placement | None:
        """Returns the serving attempt that is most above its target."""
        worst, ratio = None, HIGH
        for placement in serving:
            known = self._serving.get(placement.key)
            if known is None:
                continue
            found = known.smooth / placement.task.stage.latency_target_ms
            if found > ratio:
                worst, ratio = placement, found
        return worst

    def _slow(
        self,
        worker: fleet.Worker,
        suffering: fleet.Placement,
        fillers: list[fleet.Placement],
        now: float,
    ) -> list[tuple[fleet.Placement, int]]:
        image = suffering.task.stage.image
        target_ms = suffering.task.stage.latency_target_ms
        alone_ms = self._alone_ms(suffering)
        cores = max(1, worker.state.capacity.millicores)
        taken: dict[str, float] = {}
        for placement in fillers:
            beside = placement.task.stage.image
            factor = self._factors.factor(image, beside, now)
            share = alone_ms * factor * placement.load / cores / target_ms
            taken[beside] = taken.get(beside, 0.0) + share
        paces: dict[fleet.Key, int] = {}
        steps = []
        for beside in sorted(taken, key=lambda name: -taken[name]):
            known = self._figures.get((image, beside), 0) >= KNOWN_AFTER
            if known and taken[beside] < MATERIAL:
                continue
            if steps and self.ratio(worker, now, paces=paces) <= ALLOWED:
                break
            for placement in fillers:
                if (
                    placement.task.stage.image == beside
                    and placement.pace > SLOWED
                ):
                    paces[placement.key] = SLOWED
                    steps.append((placement, SLOWED))
        return steps

    def _raise(
        self, worker: fleet.Worker, fillers: list[fleet.Placement], now: float
    ) -> list[tuple[fleet.Placement, int]]:
        """Gives more to the slowed attempts of one image at a time.

        Images that are raised together could not be told apart by what their
        rise does to the serving tasks.
        """
        slowed: dict[str, list[fleet.Placement]] = {}
        for placement in fillers:
            if placement.pace < FULL:
                slowed.setdefault(placement.task.stage.image, []).append(
                    placement
                )
        best: dict[fleet.Key, int] = {}
        best_ratio = ALLOWED
        for factor in RAISES:
            for placements in slowed.values():
                paces = {p.key: _raised(p.pace, factor) for p in placements}
                ratio = self.ratio(worker, now, paces=paces)
                if ratio <= best_ratio:
                    best, best_ratio = paces, ratio
            if best:
                break
        if not best:
            return self._tell_apart(worker, slowed, now)
        return [(p, best[p.key]) for p in fillers if p.key in best]

    def _tell_apart(
        self,
        worker: fleet.Worker,
        slowed: dict[str, list[fleet.Placement]],
        now: float,
    ) -> list[tuple[fleet.Placement, int]]:
        """Slows one of several images, to learn which of them is the noisy one.

        Attempts that were always slowed and raised together share the blame.
        """
        if len(slowed) < 2 or now - worker.told_apart < TELL_APART_S:
            return []
        worker.told_apart = now
        image = max(slowed, key=lambda name: sum(p.load for p in slowed[name]))
        return [(p, SLOWED) for p in slowed[image] if p.pace > SLOWED]


def _raised(pace: int, factor: float) -> int:
    return min(FULL, int(max(pace, SLOWED) * factor))


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


def _planned(
    worker: fleet.Worker, paces: dict[fleet.Key, int]
) -> dict[str, float]:
    """Returns the shares of the cores that filling attempts may take."""
    loads: dict[str, float] = {}
    for placement in worker.placements.values():
        if placement.task.stage.filler:
            pace = paces.get(placement.key, placement.pace)
            _add(loads, placement.task, worker, pace)
    return loads


def _add(
    loads: dict[str, float],
    task: pipeline.Task,
    worker: fleet.Worker,
    pace: int,
) -> None:
    cores = max(1, worker.state.capacity.millicores)
    load = task.stage.demand.millicores / cores * pace / FULL
    image = task.stage.image
    loads[image] = loads.get(image, 0.0) + load
