"""On which worker an attempt starts.

Counted work goes where most processor time is unused. Services are packed, by
image where possible. Filling work, which only uses what is left over, goes
where it can have its full pace without slowing services, and leaves workers
without services to work that has no other place.
"""

from collections.abc import Iterable

from pomelostair import fleet
from pomelostair import pacing
from pomelostair import pipeline

# Filling work starts where at least this share of its request is unused; with
# less it would run too slowly to meet its objective.
MIN_FILL_SHARE = 0.7
# A worker off the rack of the data counts as if it had this share of its
# unused processor time (the platform's remoteFactor is 1.5 to 2).
REMOTE_SHARE = 0.5
# Millicores that the full pace of filling work counts, more than any worker
# has, and the share of it that is as good as all of it.
FULL_PACE_WORTH = 200_000
AMPLE_RATE = 0.9
# Millicores that a worker without services counts less for work that would run
# as fast elsewhere: it is kept for work that disturbs services.
UNSHARED_RESERVE = 50_000
# Millicores that a service of the same image beside it counts for a serving
# task, and that each other serving image counts against it. Services are packed
# densely, so that some workers are left to work that would disturb them.
SAME_IMAGE_WORTH = 3_000
OTHER_IMAGE_COST = 1_000
# Millicores that a worker without services counts less for a serving task.
UNSHARED_COST = 100_000
# Seconds for which a success proves that a worker is sound.
PROOF_S = 10.0


def is_proven(worker: fleet.Worker, now: float) -> bool:
    """Returns whether a worker succeeded lately and not failed since."""
    return (
        worker.last_success_s > worker.last_failure_s
        and now - worker.last_success_s < PROOF_S
    )


def fits(task: pipeline.Task, worker: fleet.Worker, now: float) -> bool:
    """Returns whether the free resources of a worker cover a task.

    Args:
        task: A task that does not run there.
        worker: The worker.
        now: Monotonic seconds.
    """
    demand = task.stage.demand
    free = worker.free_for(task, now)
    if free.memory_mb < demand.memory_mb:
        return False
    if free.accelerators < demand.accelerators:
        return False
    if not task.stage.filler:
        return free.millicores >= demand.millicores
    return (
        worker.unused_millicores_for(task, now)
        >= demand.millicores * MIN_FILL_SHARE
    )


def may_run(task: pipeline.Task, worker: fleet.Worker, now: float) -> bool:
    """Returns whether the constraints of a task allow a worker.

    Args:
        task: A task that does not run there.
        worker: The worker.
        now: Monotonic seconds.
    """
    stage = task.stage
    if stage.label and stage.label not in worker.state.labels:
        return False
    if stage.most_per_worker:
        held = [p.task for p in worker.placements.values()]
        held += worker.reserved_for_others(task, now)
        beside = sum(task.shares_stage(other) for other in held)
        if beside >= stage.most_per_worker:
            return False
    return True


def could_ever_fit(
    stage: pipeline.Stage, workers: Iterable[fleet.Worker]
) -> bool:
    """Returns whether any worker could run a task of a stage when empty."""
    return any(
        worker.state.capacity.covers(stage.demand)
        and (not stage.label or stage.label in worker.state.labels)
        for worker in workers
    )


def score(task: pipeline.Task, worker: fleet.Worker, rate: float) -> float:
    """Returns how well a worker suits a task that fits, in millicores.

    Args:
        task: The task.
        worker: A worker that it fits.
        rate: Share of its pace that a filling task could have there.
    """
    stage = task.stage
    value = float(worker.unused_millicores)
    if stage.rack and stage.rack != worker.state.rack:
        value *= REMOTE_SHARE
    if stage.filler:
        value += FULL_PACE_WORTH * min(rate, AMPLE_RATE)
        if not worker.serving_millicores:
            value -= UNSHARED_RESERVE
    elif stage.latency_target_ms:
        return _serving_score(stage, worker)
    elif worker.serving_millicores:
        value += UNSHARED_RESERVE
    return value


def _serving_score(stage: pipeline.Stage, worker: fleet.Worker) -> float:
    """Returns how tightly a service fits, since tight ones leave most room."""
    images = {
        p.task.stage.image
        for p in worker.placements.values()
        if p.task.stage.latency_target_ms
    }
    value = float(stage.demand.millicores - worker.free.millicores)
    if not images:
        return value - UNSHARED_COST
    if stage.image in images:
        value += SAME_IMAGE_WORTH
    return value - OTHER_IMAGE_COST * len(images - {stage.image})


def choose(
    task: pipeline.Task,
    workers: list[fleet.Worker],
    pacer: pacing.Pacer,
    now: float,
    least_rate: float | None = None,
) -> fleet.Worker | None:
    """Returns the best worker for a task, None if none has room.

    A task that moves goes where room is kept for it. After a failure only
    workers that have proven sound are taken, if there are any, since further
    failures end the pipeline.

    Args:
        task: A task that is ready.
        workers: Workers of its service that take new attempts.
        pacer: Expects what serving tasks can bear.
        now: Monotonic seconds.
        least_rate: Least share of its pace for a filling task, None for what
            the pacer finds due.
    """
    if least_rate is None:
        least_rate = pacer.required_pace_share(task, now)
    found = [
        worker
        for worker in workers
        if fits(task, worker, now) and may_run(task, worker, now)
    ]
    if task.avoided_workers:
        others = [w for w in found if w.id not in task.avoided_workers]
        proven = [w for w in others if is_proven(w, now)]
        sound = any(is_proven(w, now) for w in workers)
        found = proven if sound else others or found
    found = [w for w in found if w.has_reservation_for(task, now)] or found
    best, best_score = None, 0.0
    for worker in found:
        rate = 1.0
        if task.stage.filler:
            rate = pacer.available_pace_share(task, worker, now)
            if rate < least_rate:
                continue
        value = score(task, worker, rate)
        if best is None or value > best_score:
            best, best_score = worker, value
    return best
