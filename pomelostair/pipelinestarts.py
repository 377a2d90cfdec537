"""Starts the ready tasks of the pipelines, once per scheduling round."""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import functools
import types

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
from pomelostair import pipelineidle
from pomelostair import pipelinelocality
from pomelostair import pipelinemessages as messages
from pomelostair import pipelinemonitor
from pomelostair import pipelineorder
from pomelostair import pipelineplacement as placement_module
from pomelostair import pipelinepreemption
from pomelostair import pipelinerooms
from pomelostair import queues
from pomelostair import resources
from pomelostair import runtimes
from pomelostair import workerspeed

# Attempt numbers of a task that are set aside for each epoch. A new leader
# can't know the last number that the previous one used, so it starts above all
# numbers of earlier epochs.
ATTEMPTS_PER_EPOCH = 64
# Lasting tasks wait this long for others that are submitted at the same time:
# a group that is known as a whole can be packed best.
GATHER_DELAY_S = 0.3
# Largest progress that a move may lose.
MAX_LOST_PROGRESS_PERCENT = 10
# Most ready tasks for which one round looks for a worker. Those that certainly
# have no room do not count.
MAX_CONSIDERED_TASKS = 600
# Most ready tasks of the pipelines that one round looks at.
MAX_READY_TASKS = 50_000
# Most suspect tasks of a service that one round places. Each is compared with
# all workers.
MAX_SUSPECT_SEARCHES = 20
# Delay before a suspect task without a worker is tried again. The others have
# their turn meanwhile.
SUSPECT_RETRY_DELAY_S = 0.25
# Most comparisons of a task with a worker by which one round looks for workers
# for idle pipelines, about 40 ms of processor time.
MAX_IDLE_COMPARISONS = 5_000
# Most comparisons of a slowed attempt with a worker of one round. An attempt is
# offered again after the next check of its worker.
MAX_MOVE_COMPARISONS = 5_000
# Time before a task will be ready from which it preempts others in its room. A
# preempted attempt takes about half of it to end.
PREEMPTION_LEAD_S = 1.0
# Time without a refusal after which a task forgets the workers that refused it.
# One that each worker refuses in turn is refused more often.
REFUSAL_MEMORY_S = 10.0


class Starter:
    """Starts tasks during one term of a leader.

    Args:
        epoch: Epoch of the term.
        attempts: Attempts that may be running.
        pacer: Pacer that predicts the latency of serving tasks.
        metrics: Registry that counts the starts.
        record: Schedules the progress of a pipeline for storage.
        remote_factor: Factor on the run time far from the data.
        run_times: What is known of the run times of the queues.
    """

    def __init__(
        self,
        epoch: int,
        attempts: attempts_module.Attempts,
        pacer: pacing.Pacer,
        metrics: metrics_module.Metrics,
        record: Callable[[pipeline.Pipeline], None],
        remote_factor: float = 1.0,
        run_times: runtimes.RunTimes = runtimes.UNKNOWN,
    ):
        self._epoch = epoch
        self._run_times = run_times
        self._remote_factor = remote_factor
        self._record = record
        # Attempts of lasting tasks whose workers are not stored yet, by
        # pipeline.
        self._withheld_starts: dict[str, list[fleet.Placement]] = {}
        # Stored ones whose workers have not reported since, by worker.
        self._recorded_starts: dict[fleet.WorkerKey, list[fleet.Placement]] = {}
        self._attempts = attempts
        self._pacer = pacer
        self._metrics = metrics
        self._advice = pipelineadvice.Advice()
        self._unplaceable: set[str] = set()
        self._rooms = pipelinerooms.KeptRooms(metrics)
        self._idle_pipelines = pipelineidle.IdlePipelines(attempts)

    @property
    def advice(self) -> pipelineadvice.Advice:
        """Advice tickets for the queues that require them."""
        return self._advice

    def forget(self, pipeline_id: str) -> None:
        """Drops the state of a pipeline."""
        self._withheld_starts.pop(pipeline_id, None)
        self._unplaceable.discard(pipeline_id)
        self._idle_pipelines.forget(pipeline_id)
        self._advice.forget(pipeline_id)

    def start_ready(
        self,
        items: Iterable[pipeline.Pipeline],
        workers: Iterable[fleet.Worker],
        table: queues.QueueTable,
        slowed: dict[str, list[fleet.Placement]],
        now: float,
        may_start: Callable[[pipeline.Task], bool] = lambda task: True,
        lapsing: Mapping[pipeline.Task, float] = types.MappingProxyType({}),
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
            lapsing: Monotonic time at which lasting tasks will be ready, for
                which room is kept in advance.
        """
        self._rooms.expire(now)
        schedulable = _schedulable(workers, now)
        if not schedulable:
            return
        ranked = self._rank(
            (item for item in items if item.ready or item.id in slowed),
            schedulable.keys(),
            table,
            now,
        )
        considered = 0
        move_comparisons = 0
        searches = {
            service: _Search(
                same_service,
                self._pacer,
                now,
                self._remote_factor,
                self._run_times,
            )
            for service, same_service in schedulable.items()
        }
        top_priority: dict[str, int] = {}
        # Pipelines with fillers that wait, by service.
        waiting_fillers: collections.Counter[str] = collections.Counter()
        for _, item, queue in ranked:
            known = top_priority.get(queue.service, queue.priority)
            top_priority[queue.service] = min(known, queue.priority)
            if item.ready and item.declaration.has_filler:
                waiting_fillers[queue.service] += 1

        def terms_of(queue: queues.Queue) -> _Terms:
            top = top_priority.get(queue.service, queue.priority)
            return _Terms(
                queue,
                searches[queue.service],
                pipelinepreemption.Preemption(queue.priority, table),
                queue.priority <= top,
            )

        ready_count = 0
        for rank, item, queue in ranked:
            ready_count += len(item.ready)
            if (
                considered >= MAX_CONSIDERED_TASKS
                or ready_count > MAX_READY_TASKS
            ):
                break
            considered += self._start_pipeline(
                item, terms_of(queue), rank.slack_s, now, may_start
            )
            for placement in slowed.get(item.id, ()):
                if move_comparisons < MAX_MOVE_COMPARISONS:
                    targets = schedulable[queue.service]
                    move_comparisons += len(targets)
                    self._move(
                        placement,
                        targets,
                        waiting_fillers[queue.service] > bool(item.ready)
                        and searches[queue.service].is_busy,
                        now,
                    )
        for task, ready_s in lapsing.items():
            queue = table.by_name(task.pipeline.declaration.queue)
            # Where an advisor must agree, only it knows the workers.
            if (
                queue is not None
                and queue.advice is None
                and queue.service in searches
            ):
                terms = terms_of(queue)
                self._keep_rooms(
                    [task], terms.search.workers, terms, now, ready_s
                )
        self._start_idle(
            self._idle_pipelines.searches(ranked, schedulable, now, may_start),
            now,
            may_start,
        )

    def _rank(
        self,
        items: Iterable[pipeline.Pipeline],
        services: Collection[str],
        table: queues.QueueTable,
        now: float,
    ) -> list[tuple[pipelineorder.Rank, pipeline.Pipeline, queues.Queue]]:
        """Returns pipelines of some services in order, with rank and queue."""
        ranked = []
        for item in items:
            queue = table.by_name(item.declaration.queue)
            if queue is None or queue.service not in services:
                continue
            rank = pipelineorder.rank(
                item, queue, now, self._run_times.ratio(queue.name)
            )
            ranked.append((rank, item, queue))
        ranked.sort(key=lambda row: (row[0].key, row[1].id))
        return ranked

    def _start_pipeline(
        self,
        item: pipeline.Pipeline,
        terms: "_Terms",
        slack_s: float,
        now: float,
        may_start: Callable[[pipeline.Task], bool],
    ) -> int:
        """Starts the ready tasks of a pipeline for which there is room.

        Args:
            item: The pipeline.
            terms: Terms on which its tasks start.
            slack_s: Time that it can still wait without missing its objective.
            now: Monotonic seconds.
            may_start: Returns whether no earlier leader can have started a
                task.

        Returns:
            Number of tasks for which it looked for a worker.
        """
        queue = terms.queue
        search = terms.search
        considered = 0
        search.drop_comparison()
        # Tasks without room, by stage.
        without_worker: dict[tuple[int, int], list[pipeline.Task]] = {}
        gangs: set[tuple[int, int]] = set()
        permitted: dict[tuple[str, frozenset[str]], list[fleet.Worker]] = {}
        for task in list(item.ready.values()):
            if not (self._is_due(task, now) and may_start(task)):
                continue
            if task.refused_by:
                _forget_old_refusals(task, now)
            unrestricted = not (
                task.failed_on or task.suspect or task.reserved_until_s > now
            )
            stage_key = (task.occurrence, task.stage_number)
            # Where an advisor must agree, only it knows the near workers.
            may_wait = unrestricted and queue.advice is None
            if unrestricted and stage_key in without_worker:
                without_worker[stage_key].append(task)
                pipelinelocality.end_wait(task)
                continue
            if stage_key in gangs or (
                may_wait and self._goes_on_waiting(task, search, slack_s, now)
            ):
                continue
            if (
                may_wait
                and not (task.stage.gang and task.stage.lasting)
                and search.is_full_for(task)
            ):
                without_worker[stage_key] = [task]
                self._leave_without_room(task, search.workers, terms, now)
                continue
            considered += 1
            allowed = search.workers
            if queue.advice is not None:
                key = (pipelineadvice.step_name(task), task.avoided_workers)
                if key not in permitted:
                    permitted[key] = self._workers_with_ticket(
                        task, queue.advice, allowed, now
                    )
                allowed = permitted[key]
            if task.stage.gang:
                gangs.add(stage_key)
                if self._may_start_gang(
                    task, may_start
                ) and not self._start_gang(
                    task,
                    allowed,
                    now,
                    search=search if queue.advice is None else None,
                    slack_s=slack_s,
                ):
                    members = item.tasks(*stage_key)
                    self._keep_rooms(members, allowed, terms, now)
                search.drop_comparison()
                continue
            worker = search.choose(task, allowed)
            if worker is None:
                if unrestricted:
                    without_worker[stage_key] = [task]
                self._leave_without_room(task, allowed, terms, now)
                continue
            self._start_or_wait(task, worker, search, may_wait, slack_s, now)
        search.claim_all(
            (tasks[0], len(tasks)) for tasks in without_worker.values()
        )
        return considered

    def _leave_without_room(
        self,
        task: pipeline.Task,
        workers: list[fleet.Worker],
        terms: "_Terms",
        now: float,
    ) -> None:
        """Handles a task for which none of the workers has room."""
        pipelinelocality.end_wait(task)
        self._report_unplaceable(task, terms.search)
        self._keep_rooms([task], workers, terms, now)

    def _goes_on_waiting(
        self,
        task: pipeline.Task,
        search: "_Search",
        slack_s: float,
        now: float,
    ) -> bool:
        """Returns whether a task waits for a near place without a search."""
        if search.keeps_waiting(task):
            return True
        return search.has_only_far_room(task) and self._waits_for_near(
            task, search.far_room(task), search, slack_s, now
        )

    def _start_or_wait(
        self,
        task: pipeline.Task,
        worker: fleet.Worker,
        search: "_Search",
        may_wait: bool,
        slack_s: float,
        now: float,
    ) -> None:
        """Starts a task unless it waits for a place near its data.

        Args:
            task: The task.
            worker: The best worker for it now.
            search: Search for room on the workers of its service.
            may_wait: Whether it may wait.
            slack_s: Time that its pipeline can still wait.
            now: Monotonic seconds.
        """
        if (
            may_wait
            and worker.state.rack != task.stage.rack
            and self._waits_for_near(task, worker, search, slack_s, now)
        ):
            search.record_far_room(task, worker)
            return
        self._start(task, worker, self._next_attempt(task), now)
        search.record_start(task)

    def _waits_for_near(
        self,
        task: pipeline.Task,
        far: fleet.Worker | None,
        search: "_Search",
        slack_s: float,
        now: float,
    ) -> bool:
        """Returns whether a task waits for a place near its data.

        Args:
            task: A task with room far from its data, or a member of a gang
                without room on a near rack.
            far: The far worker, None for those of a gang.
            search: Search for room on the workers of its service.
            slack_s: Time that its pipeline can still wait without missing its
                objective.
            now: Monotonic seconds.
        """
        if not search.locality.prefers_near(task.stage):
            return False
        idle = not self._attempts.any_live(task.pipeline, now)
        limit_s = search.locality.wait_s(task, far, slack_s, idle)
        if not limit_s:
            return False
        task.near_wait_since_s = task.near_wait_since_s or now
        task.near_wait_kept_until_s = now + min(
            limit_s, pipelinelocality.KEEP_DECISION_S
        )
        return True

    def _is_due(self, task: pipeline.Task, now: float) -> bool:
        """Returns whether a ready task is to be started in this round."""
        if task.not_before_s > now or self._attempts.has_attempts(task):
            return False
        is_first_start = task.stage.lasting and not task.last_attempt
        return not is_first_start or now - task.ready_since_s >= GATHER_DELAY_S

    def _start_idle(
        self,
        searches: list[pipelineidle.Search],
        now: float,
        may_start: Callable[[pipeline.Task], bool],
    ) -> None:
        """Starts one filler, or one gang of them, of each idle pipeline.

        While there is more work than processor time, or while all services have
        to be spared, some pipelines find no room of their own. One task of each
        runs all the same, at the pace that the services bear, and shares the
        time of other fillers, so that each makes progress.
        """
        waiting = collections.deque(searches)
        comparisons_left = MAX_IDLE_COMPARISONS
        failed = []
        while waiting and comparisons_left > 0:
            search = waiting.popleft()
            task = search.tasks[0]
            workers = search.next_workers()
            comparisons_left -= len(workers)
            if self._start_at_any_pace(
                task, search.queue, workers, now, may_start
            ):
                self._metrics.count("overdue_starts")
                self._idle_pipelines.forget(search.pipeline_id)
            elif search.advance(now):
                waiting.append(search)
            else:
                failed.append(search)
        self._idle_pipelines.end_round([*failed, *waiting])

    def _start_at_any_pace(
        self,
        task: pipeline.Task,
        queue: queues.Queue,
        workers: list[fleet.Worker],
        now: float,
        may_start: Callable[[pipeline.Task], bool],
    ) -> bool:
        """Starts a filler or its gang, without processor time of its own.

        Returns:
            Whether it was started.
        """
        if queue.advice is not None:
            workers = self._workers_with_ticket(
                task, queue.advice, workers, now, min_filler_share=0.0
            )
        if task.stage.gang:
            return self._may_start_gang(task, may_start) and self._start_gang(
                task,
                workers,
                now,
                required_pace_share=0.0,
                min_filler_share=0.0,
            )
        worker = placement_module.choose(
            task,
            workers,
            self._pacer,
            now,
            required_pace_share=0.0,
            min_filler_share=0.0,
            remote_factor=self._remote_factor,
        )
        if worker is None:
            return False
        self._start(task, worker, self._next_attempt(task), now)
        return True

    def _keep_rooms(
        self,
        tasks: list[pipeline.Task],
        workers: list[fleet.Worker],
        terms: "_Terms",
        now: float,
        ready_s: float = 0.0,
    ) -> None:
        """Keeps room for lasting tasks where it becomes free.

        They get it at once if no work that waits is more urgent. Those that
        have run before, or have waited, preempt less urgent work there.

        Args:
            tasks: A task without room, or the members of a gang.
            workers: Workers on which they may run.
            terms: Terms of their pipeline.
            now: Monotonic seconds.
            ready_s: Monotonic time at which they are ready. If that is later,
                there may be room already.
        """
        if not _keeps_room(tasks[0], terms.is_most_urgent, now):
            return
        in_advance = ready_s > now
        choose = terms.search.choose_to_free
        if in_advance:
            choose = terms.search.choose_in_advance
        self._rooms.keep(
            tasks,
            lambda task: choose(task, workers, terms.preemption.permits),
            in_advance or terms.search.is_busy,
            now,
        )
        if ready_s - now > PREEMPTION_LEAD_S:
            return
        for task in tasks:
            worker = self._rooms.worker_for(task, now)
            if worker is None or not _preempts(task, now):
                continue
            for victim in terms.preemption.choose_victims(task, worker, now):
                self._metrics.count("attempts_preempted")
                self._attempts.stop(victim, "a more urgent task needs its room")

    def permitted_workers(
        self,
        task: pipeline.Task,
        workers: list[fleet.Worker],
        table: queues.QueueTable,
        now: float,
    ) -> list[fleet.Worker]:
        """Returns the workers on which a running task may start again.

        Where an advisor must agree, missing tickets are requested.

        Args:
            task: The task.
            workers: Workers that accept new attempts.
            table: Current configuration of the queues.
            now: Monotonic seconds.
        """
        queue = table.by_name(task.pipeline.declaration.queue)
        if queue is None:
            return []
        if queue.advice is None:
            return workers
        return self._workers_with_ticket(task, queue.advice, workers, now)

    def _workers_with_ticket(
        self,
        task: pipeline.Task,
        terms: queues.AdviceTerms,
        workers: list[fleet.Worker],
        now: float,
        min_filler_share: float = placement_module.MIN_FILLER_SHARE,
    ) -> list[fleet.Worker]:
        """Returns the fitting workers for which there is a ticket.

        If too few of them promise a start, as the task avoids the others,
        advice on further ones is requested.
        """
        fitting = [
            worker
            for worker in workers
            if placement_module.fits(task, worker, now, min_filler_share)
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
        others_wait: bool,
        now: float,
    ) -> None:
        """Moves a slowed attempt unless too much progress would be lost.

        Resources for it are reserved on the target, and the attempt is
        stopped; the task starts there once the end is reported. Without a
        target, a very slow attempt stops where others wait for room, and its
        task waits with them.

        Args:
            placement: The attempt.
            workers: Workers of its service that accept new attempts.
            others_wait: Whether fillers of other pipelines wait for room.
            now: Monotonic seconds.
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
                and not self._is_farther(placement, worker)
                and self._advice.permits(task, worker, now)
            ],
            self._pacer,
            now,
            pacing.MOVE_TARGET_PERCENT / pacing.FULL_PERCENT,
        )
        if target is None:
            if others_wait and self._pacer.should_yield(placement, now):
                self._metrics.count("fillers_yielded")
                self._attempts.stop(placement, "it is too slow on its worker")
            return
        target.reserve(task, now + fleet.RESERVATION_S)
        self._attempts.stop(placement, "it slows serving tasks on its worker")

    def _is_farther(
        self, placement: fleet.Placement, target: fleet.Worker
    ) -> bool:
        """Returns whether an attempt would be slower on a far worker.

        Args:
            placement: An attempt below full pace.
            target: A worker that offers it full pace.
        """
        rack = placement.task.stage.rack
        return (
            bool(rack)
            and placement.worker.state.rack == rack != target.state.rack
            and placement.pace_percent * self._remote_factor
            >= pacing.FULL_PERCENT
        )

    def _report_unplaceable(
        self, task: pipeline.Task, search: "_Search"
    ) -> None:
        """Logs, once per pipeline, that a task fits on none of the workers.

        The pipeline does not fail, since larger workers may join.
        """
        pipeline_id = task.pipeline.id
        if pipeline_id in self._unplaceable or search.could_ever_fit(
            task.stage
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
            workers=len(search.workers),
        )

    def _may_start_gang(
        self,
        task: pipeline.Task,
        may_start: Callable[[pipeline.Task], bool],
    ) -> bool:
        """Returns whether no member of the gang of a task may be running."""
        return all(
            member.phase is pipeline.TaskPhase.READY
            and not self._attempts.has_attempts(member)
            and may_start(member)
            for member in task.pipeline.tasks(
                task.occurrence, task.stage_number
            )
        )

    def _start_gang(
        self,
        task: pipeline.Task,
        workers: list[fleet.Worker],
        now: float,
        required_pace_share: float | None = None,
        min_filler_share: float = placement_module.MIN_FILLER_SHARE,
        search: "_Search | None" = None,
        slack_s: float = 0.0,
    ) -> bool:
        """Starts all members of a gang, or none.

        A gang that prefers a common rack is first tried on each rack.

        Args:
            task: One of its members.
            workers: Workers on which they may run.
            now: Monotonic seconds.
            required_pace_share: Lowest share of full pace at which a filler
                starts, None for the requirement of the pacer.
            min_filler_share: Share of its requested millicores that must be
                unused for a filler.
            search: Search for room on the workers, None if the gang must not
                wait for a near rack.
            slack_s: Time that its pipeline can still wait.

        Returns:
            Whether it was started.
        """
        members = task.pipeline.tasks(task.occurrence, task.stage_number)
        pipelinecrashes.begin_wait(members, workers, now)
        attempt = max(self._next_attempt(member) for member in members)
        started: list[fleet.Placement] = []
        near, far = self._gang_places(task.stage, workers)
        may_wait = search is not None and not any(
            member.failed_on or member.suspect for member in members
        )
        for number, candidates in enumerate([*near, *far]):
            if (
                number == len(near)
                and may_wait
                and pipelinelocality.keeps_waiting(members[0], now)
            ):
                search.locality.claim(members[0], len(members))
                return False
            started = self._attach_members(
                members,
                candidates,
                attempt,
                now,
                required_pace_share,
                min_filler_share,
            )
            if started:
                is_far = number >= len(near)
                if (
                    is_far
                    and may_wait
                    and self._gang_waits(started, search, slack_s, now)
                ):
                    return False
                break
        if not started:
            pipelinelocality.end_wait(members[0])
            if search is not None:
                search.claim_all([(task, len(members))])
            return False
        for placement in started:
            self._order_start(placement, now)
        pipelinelocality.record_start(started, self._metrics, now)
        return True

    def _gang_waits(
        self,
        placed: list[fleet.Placement],
        search: "_Search",
        slack_s: float,
        now: float,
    ) -> bool:
        """Returns whether a gang that was placed far waits for a near rack.

        It is detached for the decision, as the room that is expected on the
        racks must not depend on it, and stays so if it waits.

        Args:
            placed: Attempts of all members.
            search: Search for room on the workers of its service.
            slack_s: Time that its pipeline can still wait.
            now: Monotonic seconds.
        """
        for placement in placed:
            self._attempts.detach(placement)
        if self._waits_for_near(placed[0].task, None, search, slack_s, now):
            return True
        for placement in placed:
            self._attempts.attach(placement)
        return False

    def _gang_places(
        self, stage: pipeline.Stage, workers: list[fleet.Worker]
    ) -> tuple[list[list[fleet.Worker]], list[list[fleet.Worker]]]:
        """Returns the groups of workers on which a gang is tried in turn.

        Returns:
            Groups where it runs at full speed, and groups where it may not.
        """
        # A lasting gang has no run time that could grow.
        is_far_slower = self._remote_factor > 1 and not stage.lasting
        if not (stage.same_rack or (stage.rack and is_far_slower)):
            return [workers], []
        racks = fleet.by_rack(workers)
        if not stage.rack or not is_far_slower:
            return list(racks.values()), [workers]
        near = racks.pop(stage.rack, [])
        others = list(racks.values()) if stage.same_rack else []
        return [near], [*others, workers]

    def _attach_members(
        self,
        members: list[pipeline.Task],
        workers: list[fleet.Worker],
        attempt: int,
        now: float,
        required_pace_share: float | None,
        min_filler_share: float,
    ) -> list[fleet.Placement]:
        """Places all members of a gang on workers, or none.

        Equal members share the comparison of the workers.

        Returns:
            The attempts, none without room for all.
        """
        attached: list[fleet.Placement] = []
        comparison: placement_module.Candidates | None = None
        compared_pace_share = 0.0
        for member in members:
            pace_share = required_pace_share
            if pace_share is None:
                pace_share = self._pacer.required_pace_share(member, now)
            if (
                member.suspect
                or member.failed_on
                or member.reserved_until_s > now
            ):
                comparison = None
                worker = placement_module.choose(
                    member,
                    workers,
                    self._pacer,
                    now,
                    pace_share,
                    min_filler_share,
                    self._remote_factor,
                )
            else:
                if comparison is None or pace_share != compared_pace_share:
                    compared_pace_share = pace_share
                    comparison = placement_module.Candidates(
                        member,
                        workers,
                        self._pacer,
                        pace_share,
                        now,
                        min_filler_share,
                        self._remote_factor,
                    )
                worker = comparison.best(member)
            if worker is None:
                for placement in attached:
                    self._attempts.detach(placement)
                return []
            attached.append(self._attach(member, worker, attempt, now))
            if comparison is not None:
                comparison.update_best(member)
        return attached

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
        placement = self._attach(task, worker, attempt, now)
        self._order_start(placement, now)
        pipelinelocality.record_start([placement], self._metrics, now)

    def _attach(
        self,
        task: pipeline.Task,
        worker: fleet.Worker,
        attempt: int,
        now: float,
    ) -> fleet.Placement:
        placement = fleet.Placement(task, attempt, worker, now)
        placement.pace_percent = self._pacer.initial_pace(task, worker, now)
        placement.shows_run_time = not task.checkpoint
        placement.expected_speed = workerspeed.speed_for(
            task.stage, worker, now
        )
        if placement.pace_percent < pacing.FULL_PERCENT:
            placement.slowed_since_s = now
            placement.shows_run_time = False
        self._attempts.attach(placement)
        return placement

    def release_recorded(
        self, stored: Mapping[str, pipeline.Progress]
    ) -> list[fleet.Worker]:
        """Orders the starts of lasting tasks whose workers are stored now.

        A first start also waits for the next report of its worker if that has
        not reported since it was chosen.

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
                worker = placement.worker
                if not self._is_wanted(placement):
                    continue
                # Without a record, the next leader waits for all workers.
                if placed is not None and worker.key not in placed.get(
                    task.key, ()
                ):
                    left.append(placement)
                    continue
                if (
                    placement.awaits_report
                    and worker.last_listed_s <= placement.ordered_s
                ):
                    self._recorded_starts.setdefault(worker.key, []).append(
                        placement
                    )
                    continue
                self._enqueue_start(placement)
                if worker not in released:
                    released.append(worker)
            if left:
                self._withheld_starts[pipeline_id] = left
        return released

    def release_reported(self, worker: fleet.Worker) -> None:
        """Orders the starts that have waited for a report of their worker.

        Args:
            worker: A worker whose agent has just reported a new list.
        """
        for placement in self._recorded_starts.pop(worker.key, ()):
            if self._is_wanted(placement):
                self._enqueue_start(placement)

    def withdraw_from_silent(self, now: float) -> None:
        """Withdraws the starts that were not sent yet to silent workers.

        They certainly take no effect, so that the tasks may start elsewhere at
        once.

        Args:
            now: Monotonic seconds.
        """
        self._withdraw_unsent(lambda placement: _fell_silent(placement, now))

    def withdraw_from_evacuated(self, workers: Iterable[fleet.Worker]) -> None:
        """Withdraws the starts that are not known to run on evacuated workers.

        Those that may have been sent are stopped, which fences them off however
        late they are carried out. Their tasks start elsewhere once the stop is
        confirmed, or the leases of the worker have lapsed.

        Args:
            workers: Workers, some of them in zones that are being evacuated.
        """
        self._withdraw_unsent(lambda placement: placement.worker.evacuated)
        for worker in workers:
            for placement in list(worker.placements.values()):
                if (
                    worker.evacuated
                    and placement.state is fleet.AttemptState.ORDERED
                ):
                    self._metrics.count("evacuation_withdrawals")
                    worker.withdraw_start(placement)
                    self._attempts.stop(
                        placement, "its zone is being evacuated"
                    )

    def _withdraw_unsent(
        self, is_withdrawn: Callable[[fleet.Placement], bool]
    ) -> None:
        """Withdraws starts that were not sent yet.

        Args:
            is_withdrawn: Returns whether a start is to be withdrawn.
        """
        withdrawn = []
        for starts in (self._withheld_starts, self._recorded_starts):
            for key, placements in list(starts.items()):
                left = []
                for placement in filter(self._is_wanted, placements):
                    withdraws = is_withdrawn(placement)
                    (withdrawn if withdraws else left).append(placement)
                if left:
                    starts[key] = left
                else:
                    del starts[key]
        for placement in withdrawn:
            self._metrics.count("starts_withdrawn")
            self._attempts.detach(placement)
        # A member of a gang that is released stops those left.
        for placement in withdrawn:
            task = placement.task
            self._attempts.release(task, task.ready_since_s)

    def _is_wanted(self, placement: fleet.Placement) -> bool:
        """Returns whether an attempt still has to be ordered."""
        return (
            self._attempts.get(placement.key) is placement
            and placement.state is fleet.AttemptState.ORDERED
        )

    def _order_start(self, placement: fleet.Placement, now: float) -> None:
        """Orders the start of an attempt; of a lasting task once it is stored.

        The next leader knows then where the task may be running, and does not
        wait for other workers before it starts it. At a first start, the worker
        must have reported since it was chosen: if it is lost, a task that was
        ordered there is bound to it until its leases have lapsed. The same
        holds after such a wait, as hosts are seldom lost alone. Any other task
        that has run or waited before goes at once.
        """
        task = placement.task
        worker = placement.worker
        self._rooms.release(task)
        waited_s = now - task.ready_since_s
        placement.awaits_report = task.lapsed or (
            not task.last_attempt and waited_s < placement_module.MAX_IDLE_S
        )
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
        task.lapsed = placement.awaits_report = False
        placement.worker.enqueue_order(
            messages.START,
            placement,
            payload=task.pipeline.declaration.payload,
            checkpoint=task.checkpoint,
            percent=placement.pace_percent,
            ticket=placement.ticket,
            capacity=placement.known_capacity,
        )


@attrs.frozen
class _Terms:
    """Terms on which the tasks of a pipeline start in one round.

    Attributes:
        queue: Queue of the pipeline.
        search: Search for room on the workers of its service.
        preemption: What its tasks may preempt.
        is_most_urgent: Whether no work that waits is more urgent.
    """

    queue: queues.Queue
    search: "_Search"
    preemption: pipelinepreemption.Preemption
    is_most_urgent: bool


class _Search:
    """Search for room on the workers of a service in one round.

    Equal tasks share the comparison of the workers, and demands without room
    are not looked for again.

    Attributes:
        workers: Workers of the service that accept new attempts.
        locality: Expected room on their racks.
    """

    def __init__(
        self,
        workers: list[fleet.Worker],
        pacer: pacing.Pacer,
        now: float,
        remote_factor: float,
        run_times: runtimes.RunTimes,
    ):
        self.workers = workers
        self.locality = pipelinelocality.Locality(
            remote_factor, workers, now, run_times
        )
        self._run_times = run_times
        self._remote_factor = remote_factor
        self._pacer = pacer
        self._now = now
        self._full = placement_module.FullDemands()
        self._could_ever_fit: dict[tuple[str, resources.Resources], bool] = {}
        self._never_free = placement_module.FullDemands()
        self._suspect_searches = 0
        # Racks without room for a demand and kind of tasks.
        self._full_racks: set[tuple[str, resources.Resources, bool]] = set()
        # A far worker with room, by demand and kind of the tasks that wait.
        self._far_rooms: dict[
            tuple[resources.Resources, bool], fleet.Worker
        ] = {}
        self._stage_key: tuple | None = None
        self._candidates: placement_module.Candidates | None = None

    @functools.cached_property
    def is_busy(self) -> bool:
        """Whether counted work uses at least half of the workers."""
        return pipelineidle.is_busy(self.workers)

    def drop_comparison(self) -> None:
        """Drops the comparison: other attempts may have been placed since."""
        self._candidates = None

    def is_full_for(self, task: pipeline.Task) -> bool:
        """Returns whether an earlier search showed that a task has no room."""
        return self._full.includes(
            task.stage, self._pacer.required_pace_share(task, self._now)
        )

    def could_ever_fit(self, stage: pipeline.Stage) -> bool:
        """Returns whether any worker, if idle, could run a task of a stage."""
        key = (stage.label, stage.demand)
        if key not in self._could_ever_fit:
            self._could_ever_fit[key] = placement_module.could_ever_fit(
                stage, self.workers
            )
        return self._could_ever_fit[key]

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
                task,
                allowed,
                self._pacer,
                self._now,
                remote_factor=self._remote_factor,
            )
        required_pace_share = self._pacer.required_pace_share(task, self._now)
        key = (task.occurrence, task.stage_number, required_pace_share)
        if self._candidates is None or key != self._stage_key:
            self._stage_key = key
            self._candidates = placement_module.Candidates(
                task,
                allowed,
                self._pacer,
                required_pace_share,
                self._now,
                remote_factor=self._remote_factor,
            )
        worker = self._candidates.best(task)
        if worker is None and allowed is self.workers:
            self._record_full(task.stage, required_pace_share)
        return worker

    def choose_to_free(
        self,
        task: pipeline.Task,
        allowed: list[fleet.Worker],
        may_preempt: Callable[[fleet.Placement], bool],
    ) -> fleet.Worker | None:
        """Returns the worker that can have room for a task soonest, if any.

        Args:
            task: A task without room on any worker.
            allowed: The workers, or those of them for which it has a ticket.
            may_preempt: Returns whether the task may preempt an attempt.
        """
        stage = task.stage
        has_reservation = task.reserved_until_s > self._now
        if not has_reservation and self._never_free.includes(stage, 0.0):
            return None
        worker = placement_module.choose_to_free(
            task, allowed, self._now, may_preempt, self._run_times
        )
        if worker is None and not (
            has_reservation
            or task.avoided_workers
            or stage.label
            or stage.most_per_worker
            or allowed is not self.workers
        ):
            self._never_free.add_unfitting(stage)
        return worker

    def choose_in_advance(
        self,
        task: pipeline.Task,
        allowed: list[fleet.Worker],
        may_preempt: Callable[[fleet.Placement], bool],
    ) -> fleet.Worker | None:
        """Returns the worker for a task that is not ready yet, if any.

        The best one that has room, or else the one of `choose_to_free`.
        """
        worker = placement_module.choose(task, allowed, self._pacer, self._now)
        if worker is None:
            worker = self.choose_to_free(task, allowed, may_preempt)
        return worker

    def _choose_for_suspect(
        self, task: pipeline.Task, allowed: list[fleet.Worker]
    ) -> fleet.Worker | None:
        if self._suspect_searches >= MAX_SUSPECT_SEARCHES:
            return None
        self._suspect_searches += 1
        self._candidates = None
        worker = placement_module.choose(
            task,
            allowed,
            self._pacer,
            self._now,
            remote_factor=self._remote_factor,
        )
        if worker is None:
            task.not_before_s = self._now + SUSPECT_RETRY_DELAY_S
        return worker

    def record_far_room(
        self, task: pipeline.Task, worker: fleet.Worker
    ) -> None:
        """Records a far worker with room for a task that waits all the same."""
        self._far_rooms[task.stage.demand, task.stage.filler] = worker

    def far_room(self, task: pipeline.Task) -> fleet.Worker | None:
        """Returns the far worker that was recorded for a task, if any."""
        return self._far_rooms.get((task.stage.demand, task.stage.filler))

    def has_only_far_room(self, task: pipeline.Task) -> bool:
        """Returns whether it is known that a task has room at far places only.

        Then it need not be compared with all workers to decide that it waits.
        """
        stage = task.stage
        far = self.far_room(task)
        return (
            far is not None
            and not stage.gang
            and stage.rack not in ("", far.state.rack)
            and placement_module.fits(task, far, self._now)
            and placement_module.meets_constraints(task, far, self._now)
            and self._is_near_full(task)
        )

    def keeps_waiting(self, task: pipeline.Task) -> bool:
        """Returns whether a task goes on waiting without a new decision.

        A task that does is ahead of those that are asked about later.
        """
        if (
            task.stage.gang
            or not pipelinelocality.keeps_waiting(task, self._now)
            or not self._is_near_full(task)
        ):
            return False
        self.locality.claim(task)
        return True

    def _is_near_full(self, task: pipeline.Task) -> bool:
        """Returns whether a task fits on no worker near its data.

        Room only shrinks while attempts are placed.
        """
        stage = task.stage
        key = (stage.rack, stage.demand, stage.filler)
        if key not in self._full_racks:
            if any(
                placement_module.fits(task, near, self._now)
                for near in self.locality.near(stage)
            ):
                return False
            self._full_racks.add(key)
        return True

    def claim_all(self, waiting: Iterable[tuple[pipeline.Task, int]]) -> None:
        """Records that tasks without room are ahead of others.

        Those that fit on no worker take none.

        Args:
            waiting: A task of each stage, and how many of them wait.
        """
        if self.locality.is_near_faster:
            for task, count in waiting:
                if self.could_ever_fit(task.stage):
                    self.locality.claim(task, count)

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


def _schedulable(
    workers: Iterable[fleet.Worker], now: float
) -> dict[str, list[fleet.Worker]]:
    """Returns the workers that may be given new attempts, by service.

    The workers of a service without others are suspect for `MAX_IDLE_S` only.
    """
    shortened_s = pipelinemonitor.SUSPECT_S - placement_module.MAX_IDLE_S
    schedulable: dict[str, list[fleet.Worker]] = {}
    suspects: dict[str, list[fleet.Worker]] = {}
    for worker in workers:
        service = worker.state.service
        if worker.is_schedulable(now):
            schedulable.setdefault(service, []).append(worker)
        elif (
            worker.accepts_attempts(now)
            and now >= worker.suspect_until_s - shortened_s
        ):
            suspects.setdefault(service, []).append(worker)
    return {**suspects, **schedulable}


def _keeps_room(task: pipeline.Task, is_most_urgent: bool, now: float) -> bool:
    """Returns whether room is kept for a task that finds none.

    Args:
        task: The task.
        is_most_urgent: Whether no work that waits is more urgent.
        now: Monotonic seconds.
    """
    return task.stage.lasting and (
        is_most_urgent
        or now - task.ready_since_s >= placement_module.MAX_IDLE_S
    )


def _fell_silent(placement: fleet.Placement, now: float) -> bool:
    """Returns whether a worker has fallen silent since a start was ordered.

    On one that was silent before, as no other had room, the start waits until
    the worker counts as not heard; otherwise it would be ordered there again.
    """
    worker = placement.worker
    if now - worker.last_listed_s >= fleet.REPORT_FRESH_S:
        return True
    return worker.is_silent(now) and not worker.is_silent(placement.ordered_s)


def _preempts(task: pipeline.Task, now: float) -> bool:
    """Returns whether a task preempts others in the room kept for it.

    One that has run before was away for some time already. Fillers use only
    what others leave.
    """
    return not task.stage.filler and (
        bool(task.last_attempt)
        or now - task.ready_since_s >= placement_module.MAX_IDLE_S
    )


def _forget_old_refusals(task: pipeline.Task, now: float) -> None:
    if now - max(task.refused_by.values()) > REFUSAL_MEMORY_S:
        task.refused_by.clear()
