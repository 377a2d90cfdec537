"""On which worker an attempt starts.

Counted work goes where most processor time is unused. Filling work, which
only uses what is left over, keeps away from workers whose serving tasks it
would slow; how much of the rest it may take there follows their latency.
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
# Unused millicores that a worker counts less for filling work when a serving
# task there is expected just at its target.
SERVING_PENALTY = 30_000
# Seconds for which a success proves that a worker is sound.
PROOF_S = 10.0


def is_proven(worker: fleet.Worker, now: float) -> bool:
    """Returns whether a worker succeeded lately and not failed since."""
    return worker.done > worker.failed and now - worker.done < PROOF_S


def fits(task: pipeline.Task, worker: fleet.Worker) -> bool:
    """Returns whether the free resources of a worker cover a task."""
    demand = task.stage.demand
    free = worker.free
    if free.memory_mb < demand.memory_mb:
        return False
    if free.accelerators < demand.accelerators:
        return False
    if not task.stage.filler:
        return free.millicores >= demand.millicores
    return worker.unused_millicores >= demand.millicores * MIN_FILL_SHARE


def may_run(task: pipeline.Task, worker: fleet.Worker) -> bool:
    """Returns whether the constraints of a task allow a worker."""
    stage = task.stage
    if stage.label and stage.label not in worker.state.labels:
        return False
    if stage.most_per_worker:
        beside = sum(
            p.task.stage is stage
            and p.task.pipeline is task.pipeline
            and p.task.occurrence == task.occurrence
            for p in worker.placements.values()
        )
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


def score(task: pipeline.Task, worker: fleet.Worker, ratio: float) -> float:
    """Returns how well a worker suits a task that fits, in millicores.

    Args:
        task: The task.
        worker: A worker that it fits.
        ratio: Highest latency over target to be expected with it there.
    """
    stage = task.stage
    value = float(worker.unused_millicores)
    if stage.rack and stage.rack != worker.state.rack:
        value *= REMOTE_SHARE
    if stage.filler:
        value -= SERVING_PENALTY * ratio
    if stage.latency_target_ms:
        value -= worker.filling
    return value


def choose(
    task: pipeline.Task,
    workers: list[fleet.Worker],
    pacer: pacing.Pacer,
    now: float,
    allowed: float | None = None,
) -> fleet.Worker | None:
    """Returns the best worker for a task, None if none has room.

    After a failure only workers that have proven sound are taken, if there
    are any, since further failures end the pipeline.

    Args:
        task: A task that is ready.
        workers: Workers of its service that take new attempts.
        pacer: Expects the latency of serving tasks.
        now: Monotonic seconds.
        allowed: Latency over target that a filling task may bring about, None
            for what the pacer allows.
    """
    if allowed is None:
        allowed = pacer.allowed(task, now)
    found = [
        worker
        for worker in workers
        if fits(task, worker) and may_run(task, worker)
    ]
    if task.avoided:
        others = [w for w in found if w.id not in task.avoided]
        proven = [w for w in others if is_proven(w, now)]
        sound = any(is_proven(w, now) for w in workers)
        found = proven if sound else others or found
    best, best_score = None, 0.0
    for worker in found:
        ratio = 0.0
        if task.stage.filler:
            ratio = pacer.ratio(worker, now, task)
            if ratio > allowed:
                continue
        value = score(task, worker, ratio)
        if best is None or value > best_score:
            best, best_score = worker, value
    return best
