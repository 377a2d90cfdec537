"""Moves services together, so that workers are left to noisy work.

Answers the pattern of services that came while few workers were known, or
after a loss: a single one that is left alone on a large worker keeps all work
away that would disturb it. A worker with few services is emptied of them where
others have room, as long as filling work is there that gains by it.
"""

from collections.abc import Iterable

from pomelostair import attempts as attempts_module
from pomelostair import fleet
from pomelostair import metrics as metrics_module
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelineadvice
from pomelostair import pipelineplacement as placement_module

# Most services that are moved to empty one worker; each of them is away for
# about a second.
MOST_MOVED = 3
# Seconds between two attempts to empty a worker, in which moved services have
# come to work again.
PAUSE_S = 2.0
# Seconds for which a service stays where it was put.
STAYS_S = 4.0
# Percent that a lasting task tells of itself when it is at work.
AT_WORK = 100
# Seconds of a term before services are moved; by then all workers are known.
SETTLED_S = 3.0


class Packer:
    """Packs the services of one term of a leader.

    Args:
        attempts: The attempts that may be running.
        pacer: Expects what serving tasks can bear.
        advice: Tells where a task may go.
        metrics: Where moves are counted.
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
        self._next: float | None = None

    def pack(self, workers: Iterable[fleet.Worker], now: float) -> None:
        """Empties one worker of its services, if there is a reason to.

        Args:
            workers: All workers.
            now: Monotonic seconds.
        """
        if self._next is None:
            self._next = now + SETTLED_S
        if now < self._next:
            return
        self._next = now + PAUSE_S
        usable: dict[str, list[fleet.Worker]] = {}
        for worker in workers:
            if worker.is_schedulable(now):
                usable.setdefault(worker.state.service, []).append(worker)
        for peers in usable.values():
            if not any(worker.filler_millicores for worker in peers):
                continue
            shared = [worker for worker in peers if worker.serving_millicores]
            shared.sort(
                key=lambda worker: (worker.serving_millicores, worker.id)
            )
            if any(self._empty(worker, shared, now) for worker in shared):
                return
            if any(self._make_room(worker, shared, now) for worker in shared):
                return

    def _empty(
        self, worker: fleet.Worker, shared: list[fleet.Worker], now: float
    ) -> bool:
        """Moves all services of a worker; returns whether they have room."""
        moving = [p for p in worker.placements.values() if p.task.stage.lasting]
        others = [
            w
            for w in shared
            if w.serving_millicores > worker.serving_millicores
        ]
        if (
            len(moving) > MOST_MOVED
            or not all(_may_move(placement, now) for placement in moving)
            or not self._can_be_away(moving)
        ):
            return False
        kept: list[tuple[fleet.Worker, str]] = []
        for placement in moving:
            task = placement.task
            target = self._choose(task, others, now)
            if target is None:
                for where, name in kept:
                    del where.reservations[name]
                return False
            target.reserve(task, now + fleet.RESERVATION_S)
            kept.append((target, task.id))
        for placement in moving:
            self._attempts.stop(placement, "services are moved together")
        self._metrics.count("services_packed", len(moving))
        return True

    def _make_room(
        self, worker: fleet.Worker, shared: list[fleet.Worker], now: float
    ) -> bool:
        """Moves services among the others so that one of a worker's fits.

        Returns whether any moved. The worker is emptied once all have room.
        """
        moving = [p for p in worker.placements.values() if p.task.stage.lasting]
        if len(moving) > MOST_MOVED:
            return False
        others = [
            w
            for w in shared
            if w.serving_millicores > worker.serving_millicores
        ]
        for placement in moving:
            task = placement.task
            if self._choose(task, others, now):
                continue
            for host in others:
                lacking = (
                    task.stage.demand.millicores
                    - host.free_for(task, now).millicores
                )
                if placement_module.may_run(task, host, now) and (
                    self._displace(host, others, lacking, now)
                ):
                    return True
        return False

    def _displace(
        self,
        host: fleet.Worker,
        others: list[fleet.Worker],
        lacking: int,
        now: float,
    ) -> bool:
        """Moves the smallest service that frees enough; returns whether."""
        rest = [w for w in others if w is not host]
        found = sorted(
            (
                p
                for p in host.placements.values()
                if p.task.stage.lasting
                and p.task.stage.demand.millicores >= lacking
                and _may_move(p, now)
                and self._can_be_away([p])
            ),
            key=lambda p: (p.task.stage.demand.millicores, p.key),
        )
        for placement in found:
            task = placement.task
            target = self._choose(task, rest, now)
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

    def _can_be_away(self, moving: list[fleet.Placement]) -> bool:
        """Returns whether every stage can miss those of it that move."""
        return all(
            not placement.task.stage.skippable
            or self._away(placement.task)
            + sum(placement.task.shares_stage(other.task) for other in moving)
            <= placement.task.stage.skippable
            for placement in moving
        )

    def _away(self, task: pipeline.Task) -> int:
        """Returns how many tasks of its stage are not at work."""
        peers = task.pipeline.tasks(task.occurrence, task.stage_number)
        return sum(
            not any(
                p.state is fleet.AttemptState.RUNNING
                and p.progress_percent >= AT_WORK
                for p in self._attempts.of_task(peer)
            )
            for peer in peers
        )


def _may_move(placement: fleet.Placement, now: float) -> bool:
    return (
        placement.state is fleet.AttemptState.RUNNING
        and now - placement.ordered_s > STAYS_S
        and not placement.task.stage.gang
    )
