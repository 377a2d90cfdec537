"""Pace control of best-effort (filler) attempts colocated with serving tasks.

How much a filler slows a serving task depends on the pair of images, changes
with the load of the service and is visible only in noisy latency reports that
cover the last half second. `contention` learns a model from these reports. A
filler starts, and keeps its pace, only while the predicted latency of the
serving tasks stays below their targets. The fillers with the highest pressure
are slowed first, so that as much work as possible runs within the targets.
"""

from collections.abc import Iterable

import attrs

from pomelostair import contention as contention_module
from pomelostair import fleet
from pomelostair import metrics as metrics_module
from pomelostair import pipeline

# Full pace of a filler, and the progress reported by an available serving task.
FULL_PERCENT = 100
# Highest latency that a decision may predict, as a share of the target.
MAX_PREDICTED_TARGET_SHARE = 0.85
# Allowance for utilization that a service gains before a decision takes effect.
UTILIZATION_MARGIN = 0.04
# A slowed attempt keeps at least this pace, so that its effect on serving tasks
# can still be measured. Only a halt sets 0.
MIN_PACE_PERCENT = 5
# Smaller changes of a pace are not ordered, except to 0 and to full pace.
MIN_CHANGE_PERCENT = 10
# Minimum time from a change to the next raise on a worker: an order takes
# effect after 100 ms and is visible in reports half a second later.
RAISE_INTERVAL_S = 0.5
# Time over target after which the fillers that would be slowed are halted, and
# time after which all fillers are. The platform's impactMs is at least 4 s.
HALT_INTERFERING_AFTER_S = 1.0
HALT_ALL_AFTER_S = 1.8
# A serving task that was slowed by fillers recovers within RECOVERY_S after a
# halt. One that does not is ignored by pace control for EXEMPTION_S.
RECOVERY_S = 1.5
EXEMPTION_S = 6.0
# An attempt that has been slowed for MOVE_AFTER_S, and is below
# MOVE_BELOW_PERCENT, moves to a worker that offers MOVE_TARGET_PERCENT.
MOVE_BELOW_PERCENT = 60
MOVE_AFTER_S = 1.0
MOVE_TARGET_PERCENT = 80
# One that finds no such worker, and is below YIELD_BELOW_PERCENT after
# YIELD_AFTER_S, stops where others wait: it holds room in which a filler that
# disturbs the services less could run at full pace.
YIELD_BELOW_PERCENT = 25
YIELD_AFTER_S = 2.0
# Share of full pace that a worker must offer to a filler for it to start. Lower
# shares fill a busy fleet with slow fillers, which keep others from the workers
# where those would run at full pace. So that no task starves, the requirement
# is dropped after MAX_START_DELAY_S.
START_PACE_SHARE = 0.7
MAX_START_DELAY_S = 60.0
# The members of a gang need room on many workers at the same time. While they
# wait, their requirement decays from PACE_SHARE_DECAY_DELAY_S on, and
# MAX_GANG_START_DELAY_S later it is dropped.
PACE_SHARE_DECAY_DELAY_S = 1.0
PACE_SHARE_DECAY_PER_S = 0.1
MIN_START_PACE_SHARE = 0.35
MAX_GANG_START_DELAY_S = 15.0
# Load below which a filler image counts as idle, as a share of the worker's
# cores.
IDLE_LOAD_SHARE = 0.005


@attrs.frozen
class _Headroom:
    """Remaining tolerance of one serving image on a worker.

    Attributes:
        image: The serving image.
        growth_left: Relative growth of its utilization that more fillers may
            still cause.
    """

    image: str
    growth_left: float


@attrs.define
class _ServingState:
    """Reported state of one serving attempt.

    Attributes:
        over_target_since_s: Monotonic seconds since which its latency is over
            the target, 0 if it is not.
        exempt_until_s: Monotonic seconds until which fillers are not slowed
            on its behalf.
    """

    over_target_since_s: float = 0.0
    exempt_until_s: float = 0.0


class Pacer:
    """Decides the paces of fillers from worker reports.

    Each term of a leader has its own pacer.

    Args:
        metrics: Counts the changes of paces.
    """

    def __init__(self, metrics: metrics_module.Metrics):
        self._metrics = metrics
        self._contention = contention_module.Contention()
        self._serving_states: dict[fleet.AttemptKey, _ServingState] = {}
        self._headroom_cache: dict[
            fleet.WorkerKey, tuple[tuple, list[_Headroom]]
        ] = {}

    @property
    def contention(self) -> contention_module.Contention:
        """Model of what fillers add to the latency of serving tasks."""
        return self._contention

    def observe(self, worker: fleet.Worker, now: float) -> None:
        """Updates the contention model from a new report of a worker.

        Args:
            worker: Worker with a new report.
            now: Monotonic seconds.
        """
        serving = _serving_placements(worker)
        if not serving:
            return
        loads = _filler_loads(worker)
        for placement in serving:
            if placement.load <= 0 or placement.progress_percent < FULL_PERCENT:
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
            state = self._serving_states.setdefault(
                placement.key, _ServingState()
            )
            if placement.load <= stage.latency_target_ms:
                state.over_target_since_s = 0.0
            elif not state.over_target_since_s:
                state.over_target_since_s = now

    def available_pace_share(
        self, task: pipeline.Task, worker: fleet.Worker, now: float
    ) -> float:
        """Returns the share of full pace that a filler could have on a worker.

        Args:
            task: A filler task that does not run on the worker.
            worker: The worker.
            now: Monotonic seconds.

        Returns:
            Share from 0 to 1.
        """
        pace_share = 1.0
        load = _requested_share(task, worker)
        for headroom in self._headrooms(worker, now):
            added_growth = load * self._contention.pressure(
                headroom.image, task.stage.image, now
            )
            if added_growth > 0:
                pace_share = min(
                    pace_share, max(headroom.growth_left, 0.0) / added_growth
                )
        return pace_share

    def required_pace_share(self, task: pipeline.Task, now: float) -> float:
        """Returns the share of full pace that a filler requires to start.

        Args:
            task: A filler task that is ready.
            now: Monotonic seconds.

        Returns:
            Share from 0 to 1.
        """
        waited_s = now - task.ready_since_s
        if not task.stage.gang:
            return START_PACE_SHARE if waited_s <= MAX_START_DELAY_S else 0.0
        decay_s = max(0.0, waited_s - PACE_SHARE_DECAY_DELAY_S)
        if decay_s > MAX_GANG_START_DELAY_S:
            return 0.0
        return max(
            START_PACE_SHARE - decay_s * PACE_SHARE_DECAY_PER_S,
            MIN_START_PACE_SHARE,
        )

    def pace_changes(
        self, worker: fleet.Worker, now: float
    ) -> list[tuple[fleet.Placement, int]]:
        """Returns the fillers whose pace changes, with their new paces.

        Args:
            worker: Worker with a new report.
            now: Monotonic seconds.

        Returns:
            Pairs of a filler attempt and its new pace in percent.
        """
        fillers = [
            p
            for p in worker.placements.values()
            if p.task.stage.filler and p.state is fleet.AttemptState.RUNNING
        ]
        if not fillers:
            return []
        if not _serving_placements(worker):
            return [
                (p, FULL_PERCENT)
                for p in fillers
                if p.pace_percent < FULL_PERCENT
            ]
        serving = self._non_exempt_serving(worker, now)
        over_target_s = self._longest_over_target_s(serving, now)
        if over_target_s > HALT_ALL_AFTER_S:
            if all(p.pace_percent == 0 for p in fillers):
                self._exempt_if_unrecovered(worker, serving, now)
                return []
            worker.last_pace_step_s = now
            return [(p, 0) for p in fillers if p.pace_percent > 0]
        target_paces = self._plan_paces(worker, serving, fillers, now)
        if over_target_s > HALT_INTERFERING_AFTER_S:
            target_paces = {
                k: 0 if p < FULL_PERCENT else p for k, p in target_paces.items()
            }
        may_raise = now - worker.last_pace_step_s >= RAISE_INTERVAL_S
        changes = [
            (p, target_paces[p.key])
            for p in fillers
            if _is_significant_change(
                p.pace_percent, target_paces[p.key], may_raise
            )
        ]
        if changes:
            worker.last_pace_step_s = now
            self._metrics.count("pace_steps")
        return changes

    def initial_pace(
        self, task: pipeline.Task, worker: fleet.Worker, now: float
    ) -> int:
        """Returns the pace at which a task starts, in percent.

        Args:
            task: A task that does not run on the worker.
            worker: The worker.
            now: Monotonic seconds.
        """
        if not task.stage.filler:
            return FULL_PERCENT
        return max(
            MIN_PACE_PERCENT,
            int(FULL_PERCENT * self.available_pace_share(task, worker, now)),
        )

    def forget(self, placement: fleet.Placement) -> None:
        """Drops the state of an attempt that ended."""
        self._serving_states.pop(placement.key, None)
        self._contention.forget(placement.key)

    def should_move(self, placement: fleet.Placement, now: float) -> bool:
        """Returns whether a filler has been slowed long enough to move."""
        return (
            placement.task.stage.filler
            and not placement.task.stage.gang
            and placement.state is fleet.AttemptState.RUNNING
            and placement.slowed_since_s > 0
            and placement.pace_percent < MOVE_BELOW_PERCENT
            and now - placement.slowed_since_s > MOVE_AFTER_S
        )

    def should_yield(self, placement: fleet.Placement, now: float) -> bool:
        """Returns whether a filler is too slow to keep its room from others."""
        return (
            self.should_move(placement, now)
            and placement.pace_percent < YIELD_BELOW_PERCENT
            and now - placement.slowed_since_s > YIELD_AFTER_S
        )

    def _non_exempt_serving(
        self, worker: fleet.Worker, now: float
    ) -> list[fleet.Placement]:
        """Returns the serving attempts that pace control must consider."""
        return [
            p
            for p in _serving_placements(worker)
            if p.key not in self._serving_states
            or self._serving_states[p.key].exempt_until_s <= now
        ]

    def _exempt_if_unrecovered(
        self, worker: fleet.Worker, serving: list[fleet.Placement], now: float
    ) -> None:
        """Exempts serving attempts whose latency a halt did not lower."""
        if now - worker.last_pace_step_s < RECOVERY_S:
            return
        for placement in serving:
            state = self._serving_states.get(placement.key)
            if state and state.over_target_since_s:
                state.exempt_until_s = now + EXEMPTION_S

    def _longest_over_target_s(
        self, serving: list[fleet.Placement], now: float
    ) -> float:
        """Returns the longest time over target, 0 if none is over it."""
        starts_s = [
            self._serving_states[p.key].over_target_since_s
            for p in serving
            if p.key in self._serving_states
            and self._serving_states[p.key].over_target_since_s
        ]
        return now - min(starts_s) if starts_s else 0.0

    def _growth_budgets(
        self, serving: Iterable[fleet.Placement], now: float
    ) -> dict[str, float]:
        """Returns the allowed relative growth of utilization by serving image.

        Growth up to this budget keeps the predicted latency of all attempts of
        the image within `MAX_PREDICTED_TARGET_SHARE` of their targets.
        """
        budgets: dict[str, float] = {}
        for placement in serving:
            stage = placement.task.stage
            target_ms = stage.latency_target_ms
            unloaded_ms = self._contention.unloaded_ms(stage.image, target_ms)
            max_utilization = 1 - unloaded_ms / (
                MAX_PREDICTED_TARGET_SHARE * target_ms
            )
            expected_utilization = (
                self._contention.utilization(placement.key, now)
                + UTILIZATION_MARGIN
            )
            budget = max(0.0, max_utilization / expected_utilization - 1)
            budgets[stage.image] = min(budget, budgets.get(stage.image, budget))
        return budgets

    def _headrooms(self, worker: fleet.Worker, now: float) -> list[_Headroom]:
        # Cached, since one scheduling round compares many tasks with a worker.
        cache_state = (now, worker.filler_millicores, len(worker.placements))
        worker_key = (worker.id, worker.incarnation)
        cached = self._headroom_cache.get(worker_key)
        if cached is not None and cached[0] == cache_state:
            return cached[1]
        planned_loads: dict[str, float] = {}
        for placement in worker.placements.values():
            if placement.task.stage.filler:
                image = placement.task.stage.image
                load = (
                    _requested_share(placement.task, worker)
                    * placement.pace_percent
                    / FULL_PERCENT
                )
                planned_loads[image] = planned_loads.get(image, 0.0) + load
        headrooms = []
        for image, budget in self._growth_budgets(
            self._non_exempt_serving(worker, now), now
        ).items():
            used_growth = sum(
                load * self._contention.pressure(image, filler_image, now)
                for filler_image, load in planned_loads.items()
            )
            headrooms.append(_Headroom(image, budget - used_growth))
        if len(self._headroom_cache) > contention_module.MAX_PAIRS:
            self._headroom_cache.clear()
        self._headroom_cache[worker_key] = (cache_state, headrooms)
        return headrooms

    def _plan_paces(
        self,
        worker: fleet.Worker,
        serving: list[fleet.Placement],
        fillers: list[fleet.Placement],
        now: float,
    ) -> dict[fleet.AttemptKey, int]:
        """Returns the highest paces that keep every service in its budget."""
        paces = {p.key: float(FULL_PERCENT) for p in fillers}
        for image, budget in self._growth_budgets(serving, now).items():
            contributions = [
                (
                    self._contention.pressure(image, p.task.stage.image, now),
                    _requested_share(p.task, worker),
                    p,
                )
                for p in fillers
            ]
            excess_growth = -budget + sum(
                pressure * load * paces[p.key] / FULL_PERCENT
                for pressure, load, p in contributions
            )
            contributions.sort(key=lambda row: (-row[0], row[2].key))
            for pressure, load, placement in contributions:
                if excess_growth <= 0 or pressure <= 0:
                    break
                pace = paces[placement.key]
                full_pace_growth = max(pressure * load, 1e-9)
                new_pace = max(
                    MIN_PACE_PERCENT,
                    pace - excess_growth / full_pace_growth * FULL_PERCENT,
                )
                new_pace = min(new_pace, pace)
                excess_growth -= (
                    full_pace_growth * (pace - new_pace) / FULL_PERCENT
                )
                paces[placement.key] = new_pace
        return {key: int(pace) for key, pace in paces.items()}


def _is_significant_change(
    pace: int, target_pace: int, may_raise: bool
) -> bool:
    if target_pace > pace:
        return may_raise and (
            target_pace == FULL_PERCENT
            or target_pace - pace >= MIN_CHANGE_PERCENT
        )
    return pace - target_pace >= MIN_CHANGE_PERCENT or (
        target_pace == 0 and pace > 0
    )


def _requested_share(task: pipeline.Task, worker: fleet.Worker) -> float:
    """Returns the share of a worker's cores that a task requests."""
    capacity_millicores = max(1, worker.state.capacity.millicores)
    return task.stage.demand.millicores / capacity_millicores


def _serving_placements(worker: fleet.Worker) -> list[fleet.Placement]:
    return [
        p
        for p in worker.placements.values()
        if p.task.stage.latency_target_ms > 0
    ]


def _filler_loads(worker: fleet.Worker) -> dict[str, float]:
    """Returns the shares of the worker's cores in use by filler image.

    An attempt counts with at most all cores, whatever the worker reports: the
    variances of the contention model are only sound for shares.
    """
    capacity_millicores = max(1, worker.state.capacity.millicores)
    loads: dict[str, float] = {}
    for placement in worker.placements.values():
        stage = placement.task.stage
        if stage.filler and placement.load > 0:
            load = min(placement.load / capacity_millicores, 1.0)
            loads[stage.image] = loads.get(stage.image, 0.0) + load
    return {
        image: load for image, load in loads.items() if load >= IDLE_LOAD_SHARE
    }
