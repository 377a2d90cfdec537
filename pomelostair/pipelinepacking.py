"""Consolidates serving tasks, so that more workers are free for fillers.

Serving tasks that started while few workers were known, or after the loss of a
worker, are spread out. A single one on a large worker excludes all fillers that
would slow it. Serving tasks are moved off workers that have few of them to
others with room, while there are fillers that benefit.
"""

from collections.abc import Iterable

from pomelostair import attempts as attempts_module
from pomelostair import fleet
from pomelostair import metrics as metrics_module
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelineadvice
from pomelostair import pipelineplacement as placement_module

# Most lasting tasks moved to evacuate one worker. Each of them is unavailable
# for about 1 s.
MAX_MOVED_TASKS = 3
# Time between two passes, in which moved tasks become available again.
PASS_INTERVAL_S = 2.0
# Most comparisons of a task with a worker to make room in one pass, about 50 ms
# of processor time. The next pass goes on with the workers that are left.
MAX_COMPARISONS = 5_000
# Minimum time on a worker before a lasting task is moved.
MIN_STAY_S = 4.0
# Percent that a lasting task reports when it is available.
AVAILABLE_PERCENT = 100
# Time from the start of a term to the first pass, after which all workers are
# known.
WARMUP_S = 3.0


class Packer:
    """Consolidates serving tasks during one term of a leader.

    Args:
        attempts: The attempts that may be running.
        pacer: Predicts the pace of fillers.
        advice: Approvals of workers by the advisor.
        metrics: Counts the moved tasks.
    """

    def __init__(
        self,
        attempts: attempts_module.Attempts,
        pacer: pacing.Pacer,
        advice: pipelineadvice.Advice,
        metrics: metrics_module.Metrics,
    ):
        self._advice = advice
        self._attempts = attempts
        self._pacer = pacer
        self._metrics = metrics
        self._next_pass_s: float | None = None
        self._comparisons_left = 0
        # Workers whose evacuation was tried since the search for room began.
        self._searched: set[str] = set()

    def pack(self, workers: Iterable[fleet.Worker], now: float) -> None:
        """Moves the serving tasks off one worker, if fillers benefit.

        If no worker can be evacuated, one task is moved to make room for a
        later pass.

        Args:
            workers: All workers.
            now: Monotonic seconds.
        """
        if self._next_pass_s is None:
            self._next_pass_s = now + WARMUP_S
        if now < self._next_pass_s:
            return
        self._next_pass_s = now + PASS_INTERVAL_S
        self._comparisons_left = MAX_COMPARISONS
        usable: dict[str, list[fleet.Worker]] = {}
        for worker in workers:
            if worker.is_schedulable(now):
                usable.setdefault(worker.state.service, []).append(worker)
        for same_service in usable.values():
            if not any(worker.filler_millicores for worker in same_service):
                continue
            serving_workers = [
                worker for worker in same_service if worker.serving_millicores
            ]
            serving_workers.sort(
                key=lambda worker: (worker.serving_millicores, worker.id)
            )
            if any(
                self._evacuate(worker, serving_workers, now)
                for worker in serving_workers
            ):
                return
            if self._make_room_for_any(serving_workers, now):
                return

    def _make_room_for_any(
        self, serving_workers: list[fleet.Worker], now: float
    ) -> bool:
        """Makes room for a task of one worker; see `_make_room`."""
        for worker in serving_workers:
            if self._comparisons_left <= 0:
                return False
            if worker.id in self._searched:
                continue
            self._searched.add(worker.id)
            if self._make_room(worker, serving_workers, now):
                return True
        self._searched.clear()
        return False

    def _evacuate(
        self,
        worker: fleet.Worker,
        serving_workers: list[fleet.Worker],
        now: float,
    ) -> bool:
        """Moves all lasting tasks of a worker to other workers.

        Returns:
            Whether all of them may move and have room elsewhere. If not, none
            is moved.
        """
        moving = [p for p in worker.placements.values() if p.task.stage.lasting]
        targets = [
            w
            for w in serving_workers
            if w.serving_millicores > worker.serving_millicores
        ]
        if (
            len(moving) > MAX_MOVED_TASKS
            or not all(_is_movable(placement, now) for placement in moving)
            or not self._within_disruption_budget(moving)
        ):
            return False
        reservations: list[tuple[fleet.Worker, str]] = []
        for placement in moving:
            task = placement.task
            target = self._choose(task, targets, now)
            if target is None:
                for reserving_worker, task_id in reservations:
                    del reserving_worker.reservations[task_id]
                return False
            target.reserve(task, now + fleet.RESERVATION_S)
            reservations.append((target, task.id))
        for placement in moving:
            self._attempts.stop(placement, "serving tasks are consolidated")
        self._metrics.count("services_packed", len(moving))
        return True

    def _make_room(
        self,
        worker: fleet.Worker,
        serving_workers: list[fleet.Worker],
        now: float,
    ) -> bool:
        """Moves a task off a target to make room for one of a worker's tasks.

        The worker is evacuated in a later pass, once there is room for all of
        its tasks.

        Returns:
            Whether a task was moved.
        """
        moving = [p for p in worker.placements.values() if p.task.stage.lasting]
        if len(moving) > MAX_MOVED_TASKS:
            return False
        targets = [
            w
            for w in serving_workers
            if w.serving_millicores > worker.serving_millicores
        ]
        for placement in moving:
            task = placement.task
            self._comparisons_left -= len(targets)
            if self._choose(task, targets, now):
                continue
            for target in targets:
                if self._comparisons_left <= 0:
                    return False
                missing_millicores = (
                    task.stage.demand.millicores
                    - target.free_for(task, now).millicores
                )
                if placement_module.meets_constraints(task, target, now) and (
                    self._relocate_one(target, targets, missing_millicores, now)
                ):
                    return True
        return False

    def _relocate_one(
        self,
        worker: fleet.Worker,
        targets: list[fleet.Worker],
        missing_millicores: int,
        now: float,
    ) -> bool:
        """Moves the smallest lasting task that frees enough millicores.

        Args:
            worker: Worker on which room is needed.
            targets: Workers with more serving tasks than the evacuated one.
            missing_millicores: Millicores to free on the worker.
            now: Monotonic seconds.

        Returns:
            Whether a task was moved.
        """
        other_targets = [w for w in targets if w is not worker]
        candidates = sorted(
            (
                p
                for p in worker.placements.values()
                if p.task.stage.lasting
                and p.task.stage.demand.millicores >= missing_millicores
                and _is_movable(p, now)
                and self._within_disruption_budget([p])
            ),
            key=lambda p: (p.task.stage.demand.millicores, p.key),
        )
        for placement in candidates:
            task = placement.task
            self._comparisons_left -= len(other_targets)
            target = self._choose(task, other_targets, now)
            if target is not None:
                target.reserve(task, now + fleet.RESERVATION_S)
                self._attempts.stop(placement, "it makes room for a service")
                self._metrics.count("services_packed")
                return True
        return False

    def _choose(
        self, task: pipeline.Task, workers: list[fleet.Worker], now: float
    ) -> fleet.Worker | None:
        permitted = [w for w in workers if self._advice.permits(task, w, now)]
        return placement_module.choose(task, permitted, self._pacer, now)

    def _within_disruption_budget(self, moving: list[fleet.Placement]) -> bool:
        """Returns whether every stage tolerates the loss of moving tasks.

        A stage with `skippable` set may have that many unavailable tasks.
        """
        return all(
            not placement.task.stage.skippable
            or self._unavailable_count(placement.task)
            + sum(placement.task.shares_stage(other.task) for other in moving)
            <= placement.task.stage.skippable
            for placement in moving
        )

    def _unavailable_count(self, task: pipeline.Task) -> int:
        """Returns how many tasks of the stage of a task are unavailable."""
        siblings = task.pipeline.tasks(task.occurrence, task.stage_number)
        return sum(
            not any(
                p.state is fleet.AttemptState.RUNNING
                and p.progress_percent >= AVAILABLE_PERCENT
                for p in self._attempts.of_task(sibling)
            )
            for sibling in siblings
        )


def _is_movable(placement: fleet.Placement, now: float) -> bool:
    return (
        placement.state is fleet.AttemptState.RUNNING
        and now - placement.ordered_s > MIN_STAY_S
        and not placement.task.stage.gang
    )
