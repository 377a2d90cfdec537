"""Choice of the worker on which an attempt starts.

Regular tasks go to the worker with the most unused processor time. Serving
tasks are packed by image, onto few workers. Fillers use only
capacity that is left over. They go where they can run at full pace without
slowing serving tasks, and leave workers without serving tasks to fillers that
could run nowhere else.

Scores of workers are in millicores of unused processor time, with bonuses and
penalties in the same unit.
"""

from collections.abc import Callable
from collections.abc import Iterable
import heapq
import math

import attrs

from pomelostair import fleet
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelinecrashes
from pomelostair import resources
from pomelostair import runtimes
from pomelostair import workerspeed

# A filler starts only where at least this share of its requested millicores is
# unused. With less it would run too slowly to meet its objective, as soon as
# the services on the worker are busier than on average.
MIN_FILLER_SHARE = 1.0
# Factor on the unused processor time of a worker outside the rack of the data,
# where the deployment does not state how much longer tasks take there.
OFF_RACK_FACTOR = 0.5
# Penalty of a worker for a task that is no filler, in proportion to the share
# of full speed near the data that it lacks. It exceeds the capacity of any
# worker, and SERVING_BONUS_MILLICORES.
LOW_SPEED_PENALTY_MILLICORES = 400_000
# Bonus of a worker that offers full pace to a filler, in proportion to the
# offered share. It exceeds the capacity of any worker. Shares of at least
# SUFFICIENT_PACE_SHARE count the same.
FULL_PACE_BONUS_MILLICORES = 200_000
SUFFICIENT_PACE_SHARE = 0.9
# Bonus of workers with serving tasks for regular tasks. Workers without them
# are left to fillers that slow serving tasks.
SERVING_BONUS_MILLICORES = 50_000
# Penalty of a worker without serving tasks for a filler. It is below the
# capacity of a worker, so that light fillers do not crowd the workers with
# serving tasks while others are idle.
NO_SERVING_PENALTY_MILLICORES = 15_000
# Assumed share of the serving images that a filler image slows little. Half of
# the pairs that the platform's days show have a pressure below 2.
LIGHT_PAIR_SHARE = 0.45
# Penalty of a worker for a serving task for each millicore that it has free.
# Among similar workers, the fullest is chosen.
FREE_CAPACITY_PENALTY = 0.05
# Penalty of a worker with an attempt that may crash it. It exceeds all other
# differences between two workers.
UNPROVEN_PENALTY_MILLICORES = 1_000_000
# Penalty of a worker that is silent, or whose agent does not confirm its
# orders; as large.
UNCONFIRMED_PENALTY_MILLICORES = 1_000_000
# Time for which a success shows that a worker is healthy.
RECENT_SUCCESS_S = 10.0
# Most workers that are examined for room that will become free.
MAX_WORKERS_TO_FREE = 16
# Expected time until a stopped attempt has ended; the platform's stopGraceMs.
STOP_S = 0.4
# Expected time until an attempt ends whose duration was not estimated.
UNKNOWN_DURATION_S = 10.0
# Longest time for which a task that has room is not started. By the platform's
# rules, no accepted pipeline may be idle for 3 s.
MAX_IDLE_S = 2.0


def has_recent_success(worker: fleet.Worker, now: float) -> bool:
    """Returns whether a worker had a recent success and no failure since.

    Args:
        worker: The worker.
        now: Monotonic seconds.
    """
    return (
        worker.last_success_s > worker.last_failure_s
        and now - worker.last_success_s < RECENT_SUCCESS_S
    )


def fits(
    task: pipeline.Task,
    worker: fleet.Worker,
    now: float,
    min_filler_share: float = MIN_FILLER_SHARE,
) -> bool:
    """Returns whether the free resources of a worker cover a task.

    Args:
        task: A task that does not run on the worker.
        worker: The worker.
        now: Monotonic seconds.
        min_filler_share: Share of its requested millicores that must be unused
            for a filler; with 0, it may slow other fillers.
    """
    demand = task.stage.demand
    if worker.reservations:
        free = worker.free_for(task, now)
        unused_millicores = worker.unused_millicores_for(task, now)
    else:
        free = worker.free
        unused_millicores = worker.unused_millicores
    if free.memory_mb < demand.memory_mb:
        return False
    if free.accelerators < demand.accelerators:
        return False
    if not task.stage.filler:
        return free.millicores >= demand.millicores
    return (
        min_filler_share <= 0
        or unused_millicores >= demand.millicores * min_filler_share
    )


def has_label(stage: pipeline.Stage, worker: fleet.Worker) -> bool:
    """Returns whether a worker has the label that a stage requires."""
    return not stage.label or stage.label in worker.state.labels


def meets_constraints(
    task: pipeline.Task, worker: fleet.Worker, now: float
) -> bool:
    """Returns whether a worker meets the label and spread limit of a task.

    Args:
        task: A task that does not run on the worker.
        worker: The worker.
        now: Monotonic seconds.
    """
    stage = task.stage
    if not has_label(stage, worker):
        return False
    return (
        not stage.most_per_worker
        or sibling_count(task, worker, now) < stage.most_per_worker
    )


def sibling_count(task: pipeline.Task, worker: fleet.Worker, now: float) -> int:
    """Returns how many other tasks of a task's stage have room on a worker."""
    tasks = [p.task for p in worker.placements.values()]
    tasks += worker.reserved_for_others(task, now)
    return sum(task.shares_stage(other) for other in tasks)


def could_ever_fit(
    stage: pipeline.Stage, workers: Iterable[fleet.Worker]
) -> bool:
    """Returns whether any worker, if idle, could run a task of a stage."""
    return any(
        worker.state.capacity.covers(stage.demand) and has_label(stage, worker)
        for worker in workers
    )


def score(
    task: pipeline.Task,
    worker: fleet.Worker,
    pace_share: float,
    remote_factor: float = 1.0,
    speed: float = 1.0,
) -> float:
    """Returns how well a worker suits a task, in millicores; more is better.

    Args:
        task: The task.
        worker: A worker on which the task fits.
        pace_share: Share of full pace that a filler could have there.
        remote_factor: Factor on the run time far from the data.
        speed: Speed of the worker while it runs the task.
    """
    stage = task.stage
    value = float(worker.unused_millicores)
    if worker.is_far(stage):
        if remote_factor > 1 and not stage.lasting:
            speed /= remote_factor
        else:
            value *= OFF_RACK_FACTOR
    if stage.filler:
        value += (
            FULL_PACE_BONUS_MILLICORES
            * min(pace_share, SUFFICIENT_PACE_SHARE)
            * speed
        )
        if not worker.serving_millicores:
            value -= NO_SERVING_PENALTY_MILLICORES
    elif stage.latency_target_ms:
        value = _serving_score(stage, worker)
        value -= LOW_SPEED_PENALTY_MILLICORES * (1 - speed)
    else:
        value -= LOW_SPEED_PENALTY_MILLICORES * (1 - speed)
        if worker.serving_millicores:
            value += SERVING_BONUS_MILLICORES
    return value


def _serving_score(stage: pipeline.Stage, worker: fleet.Worker) -> float:
    """Returns the score of a worker for a serving task.

    The score is minus the capacity for fillers that the task takes away. A
    filler can use the unused processor time of a worker only if it slows none
    of the images served there, so each further image reduces the usable share
    by the factor `LIGHT_PAIR_SHARE`. Tasks of one image are thus kept together,
    tasks that have to be spread share workers, and whole workers stay free.
    """
    images = {
        p.task.stage.image
        for p in worker.placements.values()
        if p.task.stage.latency_target_ms
    }
    unused_millicores = (
        worker.state.capacity.millicores
        - fleet.SERVING_USE_SHARE * worker.serving_millicores
    )
    unused_with_task_millicores = (
        unused_millicores - fleet.SERVING_USE_SHARE * stage.demand.millicores
    )
    usable_share = LIGHT_PAIR_SHARE ** len(images)
    usable_share_with_task = LIGHT_PAIR_SHARE ** len(images | {stage.image})
    return (
        unused_with_task_millicores * usable_share_with_task
        - unused_millicores * usable_share
        - FREE_CAPACITY_PENALTY * worker.free.millicores
    )


def choose(
    task: pipeline.Task,
    workers: list[fleet.Worker],
    pacer: pacing.Pacer,
    now: float,
    required_pace_share: float | None = None,
    min_filler_share: float = MIN_FILLER_SHARE,
    remote_factor: float = 1.0,
) -> fleet.Worker | None:
    """Returns the best worker for a task, None if none has room.

    A task that moves goes to the worker that has reserved room for it. Workers
    that have refused a task are its last choice, in turn. A task that has
    failed prefers workers with a recent success on which it has not
    failed, and waits up to `MAX_IDLE_S` for one of them. A suspect task starts
    apart from others.

    Args:
        task: A task that is ready.
        workers: Workers of its service that accept new attempts.
        pacer: Predicts the pace of fillers.
        now: Monotonic seconds.
        required_pace_share: Lowest share of full pace at which a filler
            starts, None for the requirement of the pacer.
        min_filler_share: Share of its requested millicores that must be unused
            for a filler.
        remote_factor: Factor on the run time far from the data.
    """
    if required_pace_share is None:
        required_pace_share = pacer.required_pace_share(task, now)
    candidates = [
        worker
        for worker in workers
        if fits(task, worker, now, min_filler_share)
        and meets_constraints(task, worker, now)
    ]
    if task.suspect:
        # One that is too slow must not hide the host of an earlier crash.
        candidates = [
            w
            for w in candidates
            if _score_if_paced(task, w, pacer, required_pace_share, now)
            is not None
        ]
        candidates = pipelinecrashes.separated(
            task, _without_refusals(task, candidates), now
        )
    groups = [candidates]
    if task.avoided_workers:
        groups = _groups_for_retry(task, candidates, workers, now)
    for group in groups:
        reserved = [w for w in group if w.has_reservation_for(task, now)]
        best, best_score = None, 0.0
        for worker in reserved or group:
            value = _score_if_paced(
                task, worker, pacer, required_pace_share, now, remote_factor
            )
            if value is not None and (best is None or value > best_score):
                best, best_score = worker, value
        if best is not None:
            return best
    return None


def choose_to_free(
    task: pipeline.Task,
    workers: Iterable[fleet.Worker],
    now: float,
    may_preempt: Callable[[fleet.Placement], bool] = lambda placement: False,
    run_times: runtimes.RunTimes = runtimes.UNKNOWN,
) -> fleet.Worker | None:
    """Returns the worker that can have room for a task soonest, if any.

    What does not last ends there, or is preempted, while nothing else starts in
    its room. Room that is reserved for others is left to them.

    Args:
        task: A task without room on any worker.
        workers: Workers of its service that accept new attempts.
        now: Monotonic seconds.
        may_preempt: Returns whether the task may preempt an attempt.
        run_times: What is known of the run times of the queues.
    """
    demand = task.stage.demand
    avoided = task.avoided_workers
    eligible = (
        worker
        for worker in workers
        if worker.id not in avoided
        and worker.state.capacity.covers(demand)
        and meets_constraints(task, worker, now)
    )
    nearest = heapq.nsmallest(
        MAX_WORKERS_TO_FREE,
        eligible,
        key=lambda worker: (
            worker.is_silent(now),
            bool(worker.reserved_for_others(task, now)),
            _missing_share(demand, worker.free),
            worker.id,
        ),
    )
    best, best_key = None, None
    for worker in nearest:
        delay_s = _room_delay_s(task, worker, now, may_preempt, run_times)
        key = (worker.is_silent(now), delay_s)
        if delay_s < math.inf and (best is None or key < best_key):
            best, best_key = worker, key
    return best


def _room_delay_s(
    task: pipeline.Task,
    worker: fleet.Worker,
    now: float,
    may_preempt: Callable[[fleet.Placement], bool],
    run_times: runtimes.RunTimes,
) -> float:
    """Returns the expected time until a worker has room for a task.

    Infinity if lasting tasks and reservations leave too little. The arguments
    are those of `choose_to_free`.
    """
    free = worker.free_for(task, now)
    ends = []
    for placement in worker.placements.values():
        stage = placement.task.stage
        if placement.state is fleet.AttemptState.STOPPING or may_preempt(
            placement
        ):
            left_s = STOP_S
        elif stage.lasting:
            continue
        elif stage.estimate_ms:
            left_share = 1 - placement.progress_percent / 100
            left_s = workerspeed.run_s(
                worker, run_times.work_s(placement.task) * left_share, now
            )
        else:
            left_s = UNKNOWN_DURATION_S
        ends.append((left_s, placement.key, stage.counted_demand))
    ends.sort()
    delay_s = 0.0
    for left_s, _, freed in ends:
        if free.covers(task.stage.demand):
            break
        free = free.plus(freed)
        delay_s = left_s
    return delay_s if free.covers(task.stage.demand) else math.inf


def _missing_share(
    demand: resources.Resources, free: resources.Resources
) -> float:
    """Returns the largest share of a demand that is not free.

    Of a demand for nothing, nothing is missing.
    """
    return max(
        (
            (needed - available) / needed
            for needed, available in (
                (demand.millicores, free.millicores),
                (demand.memory_mb, free.memory_mb),
                (demand.accelerators, free.accelerators),
            )
            if needed
        ),
        default=0.0,
    )


def _without_refusals(
    task: pipeline.Task, candidates: list[fleet.Worker]
) -> list[fleet.Worker]:
    """Returns the candidates that have not refused a task.

    If all have, only the latest one to do so is left out, if there are others.
    """
    refused_by = task.refused_by
    if not refused_by:
        return candidates
    left = [w for w in candidates if w.id not in refused_by]
    if not left:
        latest = max(refused_by, key=refused_by.__getitem__)
        left = [w for w in candidates if w.id != latest]
    return left or candidates


def _groups_for_retry(
    task: pipeline.Task,
    candidates: list[fleet.Worker],
    workers: list[fleet.Worker],
    now: float,
) -> list[list[fleet.Worker]]:
    """Returns the candidates for a task that has avoided workers, best first.

    Args:
        task: The task.
        candidates: Workers on which it fits.
        workers: Workers of its service that accept new attempts.
        now: Monotonic seconds.
    """
    avoided = task.avoided_workers
    untried = [w for w in candidates if w.id not in avoided]
    # Further failures fail the pipeline, unless the task is a lasting one.
    # Refusals do not.
    may_wait = (
        bool(task.failed_on)
        and not task.stage.lasting
        and now - task.ready_since_s < MAX_IDLE_S
    )
    proven: list[fleet.Worker] = []
    not_failing: list[fleet.Worker] = []
    if task.failed_on:
        proven = [w for w in untried if has_recent_success(w, now)]
        if may_wait and any(has_recent_success(w, now) for w in workers):
            return [proven]
        not_failing = [
            w for w in untried if w.last_failure_s <= w.last_success_s
        ]
    # A worker that always refuses must not hide one that has room by now.
    tried = sorted(
        (w for w in candidates if w.id in avoided),
        key=lambda w: (
            may_wait and w.id in task.failed_on,
            task.last_failure_s(w.id),
        ),
    )
    return [proven, not_failing, untried, *([w] for w in tried)]


def _score_if_paced(
    task: pipeline.Task,
    worker: fleet.Worker,
    pacer: pacing.Pacer,
    required_pace_share: float,
    now: float,
    remote_factor: float = 1.0,
) -> float | None:
    """Returns the score of a worker, None if it offers too low a pace."""
    pace_share = 1.0
    if task.stage.filler:
        pace_share = pacer.available_pace_share(task, worker, now)
        if pace_share < required_pace_share:
            return None
    speed = 1.0
    if worker.speed < 1:
        speed = workerspeed.speed_for(task.stage, worker, now)
    value = score(task, worker, pace_share, remote_factor, speed)
    if worker.unproven:
        value -= UNPROVEN_PENALTY_MILLICORES
    if worker.is_silent(now) or not worker.confirms_orders(now):
        value -= UNCONFIRMED_PENALTY_MILLICORES
    return value


class Candidates:
    """Workers for equal tasks of a stage, best first, in one round.

    Each worker is scored once, and again after an attempt was placed on it, so
    that a wide stage does not compare all workers for each task. The choice is
    that of `choose` for a task that has not failed, is no suspect and is not
    moving.

    Args:
        task: One of the tasks.
        workers: Workers of its service that accept new attempts.
        pacer: Predicts the pace of fillers.
        required_pace_share: Lowest share of full pace at which a filler starts.
        now: Monotonic seconds.
        min_filler_share: Share of its requested millicores that must be unused
            for a filler.
        remote_factor: Factor on the run time far from the data.
    """

    def __init__(
        self,
        task: pipeline.Task,
        workers: list[fleet.Worker],
        pacer: pacing.Pacer,
        required_pace_share: float,
        now: float,
        min_filler_share: float = MIN_FILLER_SHARE,
        remote_factor: float = 1.0,
    ):
        self._remote_factor = remote_factor
        self._pacer = pacer
        self._required_pace_share = required_pace_share
        self._min_filler_share = min_filler_share
        self._now = now
        self._fits_anywhere = False
        self._heap: list[tuple[float, int, fleet.Worker]] = []
        # Workers that have refused the task of the latest call of `best`.
        self._set_aside: list[tuple[float, int, fleet.Worker]] = []
        for index, worker in enumerate(workers):
            entry = self._entry(task, worker, index)
            if entry is not None:
                self._heap.append(entry)
        heapq.heapify(self._heap)

    @property
    def fits_anywhere(self) -> bool:
        """Whether any worker with its label had room, whatever its pace."""
        return self._fits_anywhere

    def best(self, task: pipeline.Task) -> fleet.Worker | None:
        """Returns the best worker for one of the tasks, None if none has room.

        Workers that have refused the task are the last choice, in turn.

        Args:
            task: The task.
        """
        while self._set_aside:
            heapq.heappush(self._heap, self._set_aside.pop())
        while self._heap and self._heap[0][2].id in task.refused_by:
            self._set_aside.append(heapq.heappop(self._heap))
        if not self._heap and self._set_aside:
            entry = min(
                self._set_aside,
                key=lambda entry: (task.refused_by[entry[2].id], entry[1]),
            )
            self._set_aside.remove(entry)
            self._heap.append(entry)
        return self._heap[0][2] if self._heap else None

    def update_best(self, task: pipeline.Task) -> None:
        """Scores the latest best worker again, after a start on it.

        Args:
            task: A task that still waits.
        """
        _, index, worker = self._heap[0]
        entry = self._entry(task, worker, index)
        if entry is None:
            heapq.heappop(self._heap)
        else:
            heapq.heapreplace(self._heap, entry)

    def _entry(
        self, task: pipeline.Task, worker: fleet.Worker, index: int
    ) -> tuple[float, int, fleet.Worker] | None:
        if not fits(task, worker, self._now, self._min_filler_share):
            return None
        if not has_label(task.stage, worker):
            return None
        self._fits_anywhere = True
        if not meets_constraints(task, worker, self._now):
            return None
        value = _score_if_paced(
            task,
            worker,
            self._pacer,
            self._required_pace_share,
            self._now,
            self._remote_factor,
        )
        return None if value is None else (-value, index, worker)


@attrs.define
class FullDemands:
    """Demands that were found to have no room in this round.

    Room only shrinks while attempts are placed, so a larger demand of the same
    kind has none either and no worker needs to be compared for it.
    """

    _unfitting: list[tuple[bool, str, resources.Resources]] = attrs.field(
        factory=list
    )
    _too_slow: list[tuple[str, resources.Resources, float]] = attrs.field(
        factory=list
    )

    def add_unfitting(self, stage: pipeline.Stage) -> None:
        """Records that a stage's task fits on no worker with its label."""
        self._unfitting.append((stage.filler, stage.label, stage.demand))

    def add_too_slow(
        self, stage: pipeline.Stage, required_pace_share: float
    ) -> None:
        """Records that no worker offers a pace to a filler."""
        self._too_slow.append((stage.image, stage.demand, required_pace_share))

    def includes(
        self, stage: pipeline.Stage, required_pace_share: float
    ) -> bool:
        """Returns whether a stage's task certainly has no room."""
        if any(
            filler == stage.filler
            and label in ("", stage.label)
            and stage.demand.covers(demand)
            for filler, label, demand in self._unfitting
        ):
            return True
        return stage.filler and any(
            image == stage.image
            and stage.demand.covers(demand)
            and required_pace_share >= pace_share
            for image, demand, pace_share in self._too_slow
        )
