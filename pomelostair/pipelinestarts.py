"""Starts the ready tasks of the pipelines, once per scheduling round."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from pomelostair import attempts as attempts_module
from pomelostair import events
from pomelostair import fleet
from pomelostair import log
from pomelostair import metrics as metrics_module
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelineadvice
from pomelostair import pipelinecrashes
from pomelostair import pipelinemessages as messages
from pomelostair import pipelineorder
from pomelostair import pipelineplacement as placement_module
from pomelostair import queues

# Attempt numbers of a task that are set aside for each epoch. A new leader
# can't know the last number that the previous one used, so it starts above all
# numbers of earlier epochs.
ATTEMPTS_PER_EPOCH = 64
# Lasting tasks wait this long for others that are submitted at the same time:
# a group that is known as a whole can be packed best.
GATHER_DELAY_S = 0.3
# Largest progress that a move may lose.
MAX_LOST_PROGRESS_PERCENT = 10
# Most ready tasks for which one round looks for a worker.
MAX_CONSIDERED_TASKS = 600
# Most suspect tasks of a service that one round places. Each is compared with
# all workers.
MAX_SUSPECT_SEARCHES = 20
# Delay before a suspect task without a worker is tried again. The others have
# their turn meanwhile.
SUSPECT_RETRY_DELAY_S = 0.25
# Time without a refusal after which a task forgets the workers that refused it.
# One that each worker refuses in turn is refused more often.
REFUSAL_MEMORY_S = 10.0
# Time after which an idle pipeline that misses its objective starts one filler
# without unused processor time while counted work uses at least BUSY_SHARE of
# the capacity; while it uses less, the time is `pipelineplacement.MAX_IDLE_S`.
# Each such start slows fillers that could still be in time.
MAX_BUSY_IDLE_S = pacing.MAX_START_DELAY_S
BUSY_SHARE = 0.5
# Most such starts of one round.
MAX_OVERDUE_STARTS = 20


class Starter:
    """Starts tasks during one term of a leader.

    Args:
        epoch: Epoch of the term.
        attempts: Attempts that may be running.
        pacer: Pacer that predicts the latency of serving tasks.
        metrics: Registry that counts the starts.
        record: Schedules the progress of a pipeline for storage.
    """

    def __init__(
        self,
        epoch: int,
        attempts: attempts_module.Attempts,
        pacer: pacing.Pacer,
        metrics: metrics_module.Metrics,
        record: Callable[[pipeline.Pipeline], None],
    ):
        self._epoch = epoch
        self._record = record
        # Attempts of lasting tasks whose workers are not stored yet, by
        # pipeline.
        self._withheld_starts: dict[str, list[fleet.Placement]] = {}
        self._attempts = attempts
        self._pacer = pacer
        self._metrics = metrics
        self._advice = pipelineadvice.Advice()
        self._unplaceable: set[str] = set()

    @property
    def advice(self) -> pipelineadvice.Advice:
        """Advice tickets for the queues that require them."""
        return self._advice

    def forget(self, pipeline_id: str) -> None:
        """Drops the state of a pipeline."""
        self._withheld_starts.pop(pipeline_id, None)
        self._unplaceable.discard(pipeline_id)
        self._advice.forget(pipeline_id)

    def start_ready(
        self,
        items: Iterable[pipeline.Pipeline],
        workers: Iterable[fleet.Worker],
        table: queues.QueueTable,
        slowed: dict[str, list[fleet.Placement]],
        now: float,
        may_start: Callable[[pipeline.Task], bool] = lambda task: True,
    ) -> None:
        """Starts ready tasks, in the order of the pipelines' ranks.

        In the same order, slowed attempts move to workers on which they can
        run at a higher pace.

        Args:
            items: Pipelines that have not ended.
            workers: All workers.
            table: Current configuration of the queues.
            slowed: Attempts that should move, by id of the pipeline.
            now: Monotonic seconds.
            may_start: Returns whether no earlier leader can have started a
                task.
        """
        schedulable: dict[str, list[fleet.Worker]] = {}
        for worker in workers:
            if worker.is_schedulable(now):
                schedulable.setdefault(worker.state.service, []).append(worker)
        if not schedulable:
            return
        ranked = []
        for item in items:
            if item.ready or item.id in slowed:
                queue = table.by_name(item.declaration.queue)
                if queue is None or queue.service not in schedulable:
                    continue
                rank = pipelineorder.rank(item, queue, now)
                ranked.append((rank, item, queue))
        ranked.sort(key=lambda row: (row[0].key, row[1].id))
        considered = 0
        searches = {
            service: _Search(same_service, self._pacer, now)
            for service, same_service in schedulable.items()
        }
        overdue_starts = 0
        max_idle_s = {
            service: _max_idle_s(same_service)
            for service, same_service in schedulable.items()
        }
        for rank, item, queue in ranked:
            if considered < MAX_CONSIDERED_TASKS:
                considered += self._start_pipeline(
                    item, queue, searches[queue.service], now, may_start
                )
                for placement in slowed.get(item.id, ()):
                    self._move(placement, schedulable[queue.service], now)
            if (
                rank.outlook >= pipelineorder.Outlook.LATE
                and item.declaration.has_filler
                and overdue_starts < MAX_OVERDUE_STARTS
            ):
                overdue_starts += self._start_overdue(
                    item,
                    queue,
                    schedulable[queue.service],
                    max_idle_s[queue.service],
                    now,
                    may_start,
                )

    def _start_pipeline(
        self,
        item: pipeline.Pipeline,
        queue: queues.Queue,
        search: "_Search",
        now: float,
        may_start: Callable[[pipeline.Task], bool],
    ) -> int:
        """Starts the ready tasks of a pipeline for which there is room.

        Returns:
            Number of tasks for which it looked for a worker.
        """
        workers = search.workers
        considered = 0
        search.drop_comparison()
        stages_without_worker: set[tuple[int, int]] = set()
        permitted: dict[tuple[str, frozenset[str]], list[fleet.Worker]] = {}
        for task in list(item.ready.values()):
            if task.not_before_s > now or self._attempts.has_attempts(task):
                continue
            if not may_start(task):
                continue
            is_first_start = task.stage.lasting and not task.last_attempt
            if is_first_start and now - task.ready_since_s < GATHER_DELAY_S:
                continue
            if task.refused_by:
                _forget_old_refusals(task, now)
            unrestricted = not (task.failed_on or task.suspect)
            stage_key = (task.occurrence, task.stage_number)
            if unrestricted and stage_key in stages_without_worker:
                continue
            considered += 1
            allowed = workers
            if queue.advice is not None:
                key = (pipelineadvice.step_name(task), task.avoided_workers)
                if key not in permitted:
                    permitted[key] = self._workers_with_ticket(
                        task, queue.advice, workers, now
                    )
                allowed = permitted[key]
            if task.stage.gang:
                self._start_gang(task, allowed, now, may_start)
                search.drop_comparison()
                continue
            worker = search.choose(task, allowed)
            if worker is None:
                if unrestricted:
                    stages_without_worker.add(stage_key)
                self._report_unplaceable(task, workers)
                continue
            self._start(task, worker, self._next_attempt(task), now)
            search.record_start(task)
        return considered

    def _start_overdue(
        self,
        item: pipeline.Pipeline,
        queue: queues.Queue,
        workers: list[fleet.Worker],
        max_idle_s: float,
        now: float,
        may_start: Callable[[pipeline.Task], bool],
    ) -> bool:
        """Starts a filler of a pipeline that waits with no attempt placed.

        While there is more work than processor time, the pipelines that miss
        their objectives find none unused. One task of each runs all the same
        and shares the time of other fillers, so that each makes progress.

        Returns:
            Whether a task was started.
        """
        if queue.advice is not None or not item.idle:
            return False
        tried: set[tuple[int, int]] = set()
        for task in item.ready.values():
            stage = (task.occurrence, task.stage_number)
            if (
                stage in tried
                or not task.stage.filler
                or task.stage.gang
                or task.not_before_s > now
                or now - task.ready_since_s < max_idle_s
                or self._attempts.has_attempts(task)
                or not may_start(task)
            ):
                continue
            tried.add(stage)
            worker = placement_module.choose(
                task,
                workers,
                self._pacer,
                now,
                required_pace_share=0.0,
                min_filler_share=0.0,
            )
            if worker is not None:
                self._metrics.count("overdue_starts")
                self._start(task, worker, self._next_attempt(task), now)
                return True
        return False

    def _workers_with_ticket(
        self,
        task: pipeline.Task,
        terms: queues.AdviceTerms,
        workers: list[fleet.Worker],
        now: float,
    ) -> list[fleet.Worker]:
        """Returns the fitting workers for which there is a ticket.

        If too few of them promise a start, as the task avoids the others,
        advice on further ones is requested.
        """
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
        avoided = task.avoided_workers
        if sum(w.id not in avoided for w in allowed) < needed:
            self._advice.add_request(task, fitting, terms.valid_ms / 1000, now)
        return allowed

    def _move(
        self,
        placement: fleet.Placement,
        workers: list[fleet.Worker],
        now: float,
    ) -> None:
        """Moves a slowed attempt unless too much progress would be lost.

        Resources for it are reserved on the target, and the attempt is
        stopped; the task starts there once the end is reported.
        """
        task = placement.task
        if (
            not task.stage.checkpointing
            and placement.progress_percent > MAX_LOST_PROGRESS_PERCENT
        ):
            return
        target = placement_module.choose(
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
        if target is None:
            return
        target.reserve(task, now + fleet.RESERVATION_S)
        self._attempts.stop(placement, "it slows serving tasks on its worker")

    def _report_unplaceable(
        self, task: pipeline.Task, workers: list[fleet.Worker]
    ) -> None:
        """Logs, once per pipeline, that a task fits on none of the workers.

        The pipeline does not fail, since larger workers may join.
        """
        pipeline_id = task.pipeline.id
        if pipeline_id in self._unplaceable or placement_module.could_ever_fit(
            task.stage, workers
        ):
            return
        self._unplaceable.add(pipeline_id)
        self._metrics.count("pipelines_fitting_nowhere")
        log.emit(
            events.Events.PIPELINE_FITS_NOWHERE,
            pipeline=pipeline_id,
            task=task.id,
            demand=attrs.astuple(task.stage.demand),
            label=task.stage.label,
            workers=len(workers),
        )

    def _start_gang(
        self,
        task: pipeline.Task,
        workers: list[fleet.Worker],
        now: float,
        may_start: Callable[[pipeline.Task], bool],
    ) -> None:
        """Starts all members of a gang, or none.

        A gang that prefers a common rack is first tried on each rack.
        """
        members = task.pipeline.tasks(task.occurrence, task.stage_number)
        if any(
            m.phase is not pipeline.TaskPhase.READY
            or self._attempts.has_attempts(m)
            or not may_start(m)
            for m in members
        ):
            return
        pipelinecrashes.begin_wait(members, workers, now)
        attempt = max(self._next_attempt(member) for member in members)
        started = []
        for candidates in (
            _by_rack(workers) if task.stage.same_rack else [workers]
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

    def release_recorded(
        self, stored: Mapping[str, pipeline.Progress]
    ) -> list[fleet.Worker]:
        """Orders the starts of lasting tasks whose workers are stored now.

        Args:
            stored: Progress that was stored, by id of the pipeline.

        Returns:
            Workers with new orders.
        """
        released = []
        for pipeline_id in stored.keys() & self._withheld_starts.keys():
            placed = stored[pipeline_id].placed
            left = []
            for placement in self._withheld_starts.pop(pipeline_id):
                task = placement.task
                if (
                    self._attempts.get(placement.key) is not placement
                    or placement.state is not fleet.AttemptState.ORDERED
                ):
                    continue
                # Without a record, the next leader waits for all workers.
                if (
                    placed is not None
                    and placement.worker.key not in placed.get(task.key, ())
                ):
                    left.append(placement)
                    continue
                self._enqueue_start(placement)
                if placement.worker not in released:
                    released.append(placement.worker)
            if left:
                self._withheld_starts[pipeline_id] = left
        return released

    def _order_start(self, placement: fleet.Placement, now: float) -> None:
        """Orders the start of an attempt; of a lasting task once it is stored.

        The next leader knows then where the task may be running, and does not
        wait for other workers before it starts it.
        """
        task = placement.task
        worker = placement.worker
        task.pipeline.place(task, placement.attempt)
        placement.ticket = self._advice.ticket(task, worker, now) or ""
        placement.known_capacity = worker.state.capacity
        if task.stage.lasting:
            task.earlier_placed_on = frozenset()
            self._withheld_starts.setdefault(task.pipeline.id, []).append(
                placement
            )
            self._record(task.pipeline)
        else:
            self._enqueue_start(placement)
        self._metrics.count("starts_ordered")
        log.emit(
            events.Events.START_ORDERED,
            task=task.id,
            attempt=placement.attempt,
            worker=worker.id,
            lasting=task.stage.lasting,
            millicores=task.stage.demand.millicores,
            free=worker.free.millicores,
            unused=worker.unused_millicores,
            report_age_ms=int(
                (placement.ordered_s - worker.last_report_s) * 1000
            ),
            checkpoint=bool(task.checkpoint),
            pace=placement.pace_percent,
        )

    def _enqueue_start(self, placement: fleet.Placement) -> None:
        task = placement.task
        placement.worker.enqueue_order(
            messages.START,
            placement,
            payload=task.pipeline.declaration.payload,
            checkpoint=task.checkpoint,
            percent=placement.pace_percent,
            ticket=placement.ticket,
            capacity=placement.known_capacity,
        )


class _Search:
    """Search for room on the workers of a service in one round.

    Equal tasks share the comparison of the workers, and demands without room
    are not looked for again.

    Attributes:
        workers: Workers of the service that accept new attempts.
    """

    def __init__(
        self, workers: list[fleet.Worker], pacer: pacing.Pacer, now: float
    ):
        self.workers = workers
        self._pacer = pacer
        self._now = now
        self._full = placement_module.FullDemands()
        self._suspect_searches = 0
        self._stage_key: tuple | None = None
        self._candidates: placement_module.Candidates | None = None

    def drop_comparison(self) -> None:
        """Drops the comparison: other attempts may have been placed since."""
        self._candidates = None

    def choose(
        self, task: pipeline.Task, allowed: list[fleet.Worker]
    ) -> fleet.Worker | None:
        """Returns the best worker for a task, None if none has room.

        Args:
            task: A task that is ready.
            allowed: The workers, or those of them for which it has a ticket.
        """
        if task.suspect:
            return self._choose_for_suspect(task, allowed)
        if task.failed_on or task.reserved_until_s > self._now:
            self._candidates = None
            return placement_module.choose(
                task, allowed, self._pacer, self._now
            )
        required_pace_share = self._pacer.required_pace_share(task, self._now)
        if self._full.includes(task.stage, required_pace_share):
            return None
        key = (task.occurrence, task.stage_number, required_pace_share)
        if self._candidates is None or key != self._stage_key:
            self._stage_key = key
            self._candidates = placement_module.Candidates(
                task, allowed, self._pacer, required_pace_share, self._now
            )
        worker = self._candidates.best(task)
        if worker is None and allowed is self.workers:
            self._record_full(task.stage, required_pace_share)
        return worker

    def _choose_for_suspect(
        self, task: pipeline.Task, allowed: list[fleet.Worker]
    ) -> fleet.Worker | None:
        if self._suspect_searches >= MAX_SUSPECT_SEARCHES:
            return None
        self._suspect_searches += 1
        self._candidates = None
        worker = placement_module.choose(task, allowed, self._pacer, self._now)
        if worker is None:
            task.not_before_s = self._now + SUSPECT_RETRY_DELAY_S
        return worker

    def record_start(self, task: pipeline.Task) -> None:
        """Records that a task was started on the worker chosen for it."""
        if self._candidates is not None:
            self._candidates.update_best(task)

    def _record_full(
        self, stage: pipeline.Stage, required_pace_share: float
    ) -> None:
        if not self._candidates.fits_anywhere:
            self._full.add_unfitting(stage)
        elif stage.filler and not (stage.label or stage.most_per_worker):
            self._full.add_too_slow(stage, required_pace_share)


def _max_idle_s(workers: list[fleet.Worker]) -> float:
    """Returns how long a late pipeline may be idle on the given workers."""
    used = sum(worker.used.millicores for worker in workers)
    capacity = sum(worker.state.capacity.millicores for worker in workers)
    if used < BUSY_SHARE * capacity:
        return placement_module.MAX_IDLE_S
    return MAX_BUSY_IDLE_S


def _forget_old_refusals(task: pipeline.Task, now: float) -> None:
    if now - max(task.refused_by.values()) > REFUSAL_MEMORY_S:
        task.refused_by.clear()


def _by_rack(workers: Iterable[fleet.Worker]) -> list[list[fleet.Worker]]:
    """Returns the workers of each rack, followed by all workers."""
    racks: dict[str, list[fleet.Worker]] = {}
    all_workers = list(workers)
    for worker in all_workers:
        racks.setdefault(worker.state.rack, []).append(worker)
    return [*racks.values(), all_workers]
