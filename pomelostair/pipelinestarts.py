"""Which ready tasks start where, in one round."""

from collections.abc import Iterable

import attrs

from pomelostair import attempts as attempts_module
from pomelostair import events
from pomelostair import fleet
from pomelostair import log
from pomelostair import metrics as metrics_module
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelineadvice
from pomelostair import pipelinemessages as messages
from pomelostair import pipelineorder
from pomelostair import pipelineplacement as placement_module
from pomelostair import queues

# Attempt numbers that one epoch may use for a task before the next epoch
# begins above them; a new leader can't know the last numbers of the old one.
ATTEMPTS_PER_EPOCH = 64
# Time in seconds for which lasting tasks wait for others that come with them:
# what is known together can be packed best.
GATHER_DELAY_S = 0.3
# Progress in percent that a move may throw away.
MAX_LOST_PROGRESS_PERCENT = 10
# Ready tasks that one round looks at.
MAX_CONSIDERED_TASKS = 600


class Starter:
    """Starts tasks for one term of a leader.

    Args:
        epoch: Epoch of the term.
        attempts: The attempts that may be running.
        pacer: Expects the latency of serving tasks.
        metrics: Where starts are counted.
    """

    def __init__(
        self,
        epoch: int,
        attempts: attempts_module.Attempts,
        pacer: pacing.Pacer,
        metrics: metrics_module.Metrics,
    ):
        self._epoch = epoch
        self._attempts = attempts
        self._pacer = pacer
        self._metrics = metrics
        self._advice = pipelineadvice.Advice()
        self._misfits: set[str] = set()

    @property
    def advice(self) -> pipelineadvice.Advice:
        """Tickets for queues that need them."""
        return self._advice

    def forget(self, pipeline_id: str) -> None:
        """Forgets a pipeline."""
        self._misfits.discard(pipeline_id)
        self._advice.forget(pipeline_id)

    def start_ready(
        self,
        items: Iterable[pipeline.Pipeline],
        workers: Iterable[fleet.Worker],
        table: queues.QueueTable,
        slowed: dict[str, list[fleet.Placement]],
        now: float,
        unix_ms: float,
    ) -> None:
        """Starts what is ready, in the order of the pipelines' ranks.

        In the same order, attempts that were slowed move to workers where
        they can have their pace.

        Args:
            items: Pipelines whose tasks may start.
            workers: All workers.
            table: The queues in force.
            slowed: Attempts that should move, by id of the pipeline.
            now: Monotonic seconds.
            unix_ms: Time of day.
        """
        usable: dict[str, list[fleet.Worker]] = {}
        for worker in workers:
            if worker.is_schedulable(now):
                usable.setdefault(worker.state.service, []).append(worker)
        if not usable:
            return
        ranked = []
        for item in items:
            if item.ready or item.id in slowed:
                queue = table.by_name(item.declaration.queue)
                if queue is None or queue.service not in usable:
                    continue
                rank = pipelineorder.rank(item, queue, unix_ms)
                ranked.append((rank.key, item.id, item, queue))
        ranked.sort(key=lambda row: row[:2])
        considered = 0
        for _, _, item, queue in ranked:
            if considered >= MAX_CONSIDERED_TASKS:
                return
            considered += len(item.ready)
            self._start_pipeline(item, queue, usable[queue.service], now)
            for placement in slowed.get(item.id, ()):
                self._move(placement, usable[queue.service], now)

    def _start_pipeline(
        self,
        item: pipeline.Pipeline,
        queue: queues.Queue,
        workers: list[fleet.Worker],
        now: float,
    ) -> None:
        blocked: set[int] = set()
        advised: dict[str, list[fleet.Worker]] = {}
        for task in list(item.ready.values()):
            if task.not_before_s > now or self._attempts.has_attempts(task):
                continue
            first = task.stage.lasting and not task.last_attempt
            if first and now - task.ready_since_s < GATHER_DELAY_S:
                continue
            plain = not task.avoided_workers
            if plain and task.stage_number in blocked:
                continue
            allowed = workers
            if queue.advice is not None:
                step = pipelineadvice.step_name(task)
                if step not in advised:
                    advised[step] = self._advised(
                        task, queue.advice, workers, now
                    )
                allowed = advised[step]
            if task.stage.gang:
                self._start_gang(task, allowed, now)
                continue
            worker = placement_module.choose(task, allowed, self._pacer, now)
            if worker is None:
                if plain:
                    blocked.add(task.stage_number)
                self._tell_misfit(task, workers)
                continue
            self._start(task, worker, self._next_attempt(task), now)

    def _advised(
        self,
        task: pipeline.Task,
        terms: queues.AdviceTerms,
        workers: list[fleet.Worker],
        now: float,
    ) -> list[fleet.Worker]:
        """Returns the workers that hold a ticket, and asks about others."""
        fitting = [
            worker
            for worker in workers
            if placement_module.fits(task, worker, now)
            and placement_module.meets_constraints(task, worker, now)
        ]
        fitting.sort(key=lambda w: (-w.unused_millicores, w.id))
        allowed = [w for w in fitting if self._advice.ticket(task, w, now)]
        stage = task.stage
        needed = stage.count if stage.gang else 1
        if len(allowed) < needed:
            self._advice.add_request(task, fitting, terms.valid_ms / 1000, now)
        return allowed

    def _move(
        self,
        placement: fleet.Placement,
        workers: list[fleet.Worker],
        now: float,
    ) -> None:
        """Moves a slowed attempt, if little of its progress is lost."""
        task = placement.task
        if (
            not task.stage.checkpointing
            and placement.progress_percent > MAX_LOST_PROGRESS_PERCENT
        ):
            return
        better = placement_module.choose(
            task,
            [
                worker
                for worker in workers
                if worker is not placement.worker
                and self._advice.permits(task, worker, now)
            ],
            self._pacer,
            now,
            pacing.MOVE_TARGET_PERCENT / pacing.FULL_PERCENT,
        )
        if better is None:
            return
        better.reserve(task, now + fleet.RESERVATION_S)
        self._attempts.stop(placement, "it slows serving tasks beside it")

    def _tell_misfit(
        self, task: pipeline.Task, workers: list[fleet.Worker]
    ) -> None:
        """Logs once that a pipeline waits for a worker that does not exist.

        It is not failed: workers of another size may come.
        """
        name = task.pipeline.id
        if name in self._misfits or placement_module.could_ever_fit(
            task.stage, workers
        ):
            return
        self._misfits.add(name)
        self._metrics.count("pipelines_fitting_nowhere")
        log.emit(
            events.Events.PIPELINE_FITS_NOWHERE,
            pipeline=name,
            task=task.id,
            demand=attrs.astuple(task.stage.demand),
            label=task.stage.label,
            workers=len(workers),
        )

    def _start_gang(
        self, task: pipeline.Task, workers: list[fleet.Worker], now: float
    ) -> None:
        """Starts all members of a gang, or none."""
        members = task.pipeline.tasks(task.occurrence, task.stage_number)
        if any(
            m.phase is not pipeline.TaskPhase.READY
            or self._attempts.has_attempts(m)
            for m in members
        ):
            return
        attempt = max(self._next_attempt(member) for member in members)
        started = []
        for candidates in (
            _racks(workers) if task.stage.same_rack else [workers]
        ):
            for member in members:
                worker = placement_module.choose(
                    member, candidates, self._pacer, now
                )
                if worker is None:
                    break
                started.append(self._attach(member, worker, attempt, now))
            if len(started) == len(members):
                break
            for placement in started:
                self._attempts.detach(placement)
            started.clear()
        for placement in started:
            self._order_start(placement, now)

    def _next_attempt(self, task: pipeline.Task) -> int:
        return (
            max(task.last_attempt, (self._epoch - 1) * ATTEMPTS_PER_EPOCH) + 1
        )

    def _start(
        self,
        task: pipeline.Task,
        worker: fleet.Worker,
        attempt: int,
        now: float,
    ) -> None:
        self._order_start(self._attach(task, worker, attempt, now), now)

    def _attach(
        self,
        task: pipeline.Task,
        worker: fleet.Worker,
        attempt: int,
        now: float,
    ) -> fleet.Placement:
        placement = fleet.Placement(task, attempt, worker, now)
        placement.pace_percent = self._pacer.initial_pace(task, worker, now)
        self._attempts.attach(placement)
        return placement

    def _order_start(self, placement: fleet.Placement, now: float) -> None:
        task = placement.task
        worker = placement.worker
        task.pipeline.place(task, placement.attempt)
        worker.enqueue_order(
            messages.START,
            placement,
            payload=task.pipeline.declaration.payload,
            checkpoint=task.checkpoint,
            percent=placement.pace_percent,
            ticket=self._advice.ticket(task, worker, now) or "",
        )
        self._metrics.count("starts_ordered")
        log.emit(
            events.Events.START_ORDERED,
            task=task.id,
            attempt=placement.attempt,
            worker=worker.id,
            free=worker.free.millicores,
            unused=worker.unused_millicores,
            report_age_ms=int(
                (placement.ordered_s - worker.last_report_s) * 1000
            ),
            checkpoint=bool(task.checkpoint),
            pace=placement.pace_percent,
        )


def _racks(workers: Iterable[fleet.Worker]) -> list[list[fleet.Worker]]:
    """Returns the workers of each rack, and then all of them."""
    racks: dict[str, list[fleet.Worker]] = {}
    everyone = list(workers)
    for worker in everyone:
        racks.setdefault(worker.state.rack, []).append(worker)
    return [*racks.values(), everyone]
