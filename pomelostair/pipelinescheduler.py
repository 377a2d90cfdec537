"""Decisions of the leader of the pipelines, without any input or output.

It holds all pipelines and workers in memory, takes in reports, and leaves
orders at the workers, and the pipelines whose progress has to be stored.
"""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from pomelostair import events
from pomelostair import fleet
from pomelostair import log
from pomelostair import metrics as metrics_module
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelinemessages as messages
from pomelostair import pipelineorder
from pomelostair import pipelineplacement as placement_module
from pomelostair import queues

# Attempt numbers that one epoch may use for a task before the next epoch
# begins above them; a new leader can't know the last numbers of the old one.
ATTEMPTS_PER_EPOCH = 64
# Silence after which a worker gets no new attempts: about three reports.
FRESH_S = 1.5
# Time without progress after which an attempt counts as stalled.
STALL_S = 1.5
# Share of the estimated duration that a stall must also last, as the progress
# of long tasks is told in whole percents.
STALL_SHARE = 0.25
# Time in which a lasting task must be at work after its start.
LASTING_START_S = 4.0
# How long a worker with stalled or failing attempts gets no new ones.
TROUBLE_S = 4.0
# Pipelines that fail on a worker, without any success there, that make it
# suspect. One or two may be at fault themselves.
FAILURES_TO_SUSPECT = 3
# Share of the workers that may be suspected at once; beyond it the work is
# more likely at fault.
MOST_SUSPECTS = 0.34
# Pause before a task is tried again after a refusal by its worker.
REFUSAL_PAUSE_S = 0.2
# Ready tasks that one round looks at.
MAX_CONSIDERED = 600
# Time before a draining worker leaves at which its tasks are moved away.
LEAVE_MARGIN_MS = 900
# Time after which orders that the agent has not confirmed are sent again.
RESEND_S = 0.7
# Most progress rows and forgotten pipelines in a commit: the platform takes
# 100 entries in a transaction, and the lease row and agents need some.
MAX_PUTS = 60
MAX_AGENTS = 20
MAX_FORGOTTEN = 10
# Time that a life stays known as gone, to ignore late reports about it.
GONE_S = 30.0


@attrs.frozen
class Batch:
    """What one commit has to store.

    Attributes:
        progress: Progress by id of the pipeline.
        ends: Number of the last processed end, by worker's life.
        agents: Agents to register, with their bus URLs.
        forgotten: Pipelines whose rows are to be removed.
    """

    progress: dict[str, pipeline.Progress]
    ends: dict[fleet.Life, int]
    agents: dict[str, str]
    forgotten: tuple[str, ...] = ()

    @property
    def empty(self) -> bool:
        """Whether there is nothing to store."""
        return not (self.progress or self.agents or self.forgotten)


class PipelineScheduler:
    """Pipelines and workers of one term of a leader.

    Args:
        epoch: Epoch of the term.
        version: Version of the lease row that began the term; pipelines with
            a higher version were accepted after it.
        metrics: Where decisions are counted.
        unix_ms: Reads the time of day.
        lease_s: Longest time that a lease granted now can last.
    """

    def __init__(
        self,
        epoch: int,
        version: int,
        metrics: metrics_module.Metrics,
        unix_ms: Callable[[], float],
        lease_s: float,
    ):
        self._epoch = epoch
        self._version = version
        self._metrics = metrics
        self._unix_ms = unix_ms
        self._lease_s = lease_s
        self._pipelines: dict[str, pipeline.Pipeline] = {}
        self._shown: dict[str, pipeline.Phase] = {}
        self._open: dict[str, pipeline.Pipeline] = {}
        self._timed: dict[str, pipeline.Pipeline] = {}
        self._dirty: dict[str, None] = {}
        self._workers: dict[fleet.Life, fleet.Worker] = {}
        self._gone: dict[fleet.Life, float] = {}
        self._agents: dict[str, str] = {}
        self._new_agents: dict[str, str] = {}
        self._forgetting: list[str] = []
        self._misfits: set[str] = set()
        self._unheard: dict[str, None] = {}
        self._attempts: dict[fleet.Key, fleet.Placement] = {}
        self._by_task: dict[str, list[fleet.Placement]] = {}
        self._sequences: dict[fleet.Life, tuple[int, int]] = {}
        self._horizon = 0.0
        self._queues = queues.QueueTable()
        self._pacer = pacing.Pacer(metrics)

    @property
    def epoch(self) -> int:
        """Epoch of the term."""
        return self._epoch

    @property
    def pipelines(self) -> dict[str, pipeline.Pipeline]:
        """All pipelines by id."""
        return self._pipelines

    @property
    def workers(self) -> dict[fleet.Life, fleet.Worker]:
        """All workers by id and life."""
        return self._workers

    @property
    def unheard(self) -> tuple[str, ...]:
        """Agents that may run work of earlier terms, unknown to this one."""
        return tuple(self._unheard)

    @property
    def agents(self) -> dict[str, str]:
        """Bus URLs of the registered agents, by name."""
        return self._agents

    def set_queues(self, table: queues.QueueTable) -> None:
        """Puts a configuration in force."""
        self._queues = table

    def expect(self, agents: dict[str, str], horizon: float) -> None:
        """Names the agents that earlier leaders gave work to.

        Args:
            agents: Bus URLs by name.
            horizon: Monotonic seconds at which all leases of earlier leaders
                have certainly lapsed.
        """
        self._agents = dict(agents)
        self._unheard = dict.fromkeys(agents)
        self._horizon = horizon

    def add(
        self,
        declaration: pipeline.Declaration,
        version: int,
        progress: pipeline.Progress,
        now: float,
    ) -> None:
        """Takes in an accepted pipeline, unless it is known."""
        if declaration.id in self._pipelines:
            return
        item = pipeline.Pipeline(declaration, version, progress, now)
        self._pipelines[item.id] = item
        self._shown[item.id] = progress.phase
        if not item.ended:
            self._open[item.id] = item
            if declaration.timed:
                self._timed[item.id] = item

    def cancel(self, pipeline_id: str) -> None:
        """Ends a pipeline for its caller."""
        item = self._pipelines.get(pipeline_id)
        if item is not None and item.end(
            pipeline.Phase.CANCELLED, int(self._unix_ms())
        ):
            log.emit(
                events.Events.PIPELINE_ENDED,
                pipeline=item.id,
                phase="cancelled",
            )
            self._close(item)

    def phase(self, pipeline_id: str) -> pipeline.Phase | None:
        """Returns the durable state of a pipeline, None for an unknown one."""
        shown = self._shown.get(pipeline_id)
        item = self._pipelines.get(pipeline_id)
        if item is None or shown is None:
            return None
        if shown is pipeline.Phase.QUEUED and item.started:
            return pipeline.Phase.RUNNING
        return shown

    def pending(self) -> dict[str, int]:
        """Returns the pipelines without a started task, by queue."""
        found: dict[str, int] = {}
        for item in self._open.values():
            if not item.started:
                name = item.declaration.queue
                found[name] = found.get(name, 0) + 1
        return found

    @property
    def has_unstored(self) -> bool:
        """Whether anything waits to be committed."""
        return bool(
            self._dirty
            or self._new_agents
            or self._forgetting
            or any(w.processed > w.noted for w in self._workers.values())
        )

    def take_batch(self) -> Batch:
        """Returns what the next commit has to store."""
        progress = {
            name: self._pipelines[name].progress()
            for name in list(self._dirty)[:MAX_PUTS]
        }
        for name in progress:
            del self._dirty[name]
        ends = {
            life: worker.processed
            for life, worker in self._workers.items()
            if worker.processed > worker.noted and not self._dirty
        }
        agents = dict(list(self._new_agents.items())[:MAX_AGENTS])
        for name in agents:
            del self._new_agents[name]
        forgotten = tuple(self._forgetting)[:MAX_FORGOTTEN]
        del self._forgetting[:MAX_FORGOTTEN]
        return Batch(progress, ends, agents, forgotten)

    def confirm(self, batch: Batch) -> list[fleet.Worker]:
        """Notes that a batch is durable; returns workers to be told."""
        for name, progress in batch.progress.items():
            self._shown[name] = progress.phase
        self._agents.update(batch.agents)
        for worker in self._workers.values():
            worker.registered = worker.agent in self._agents
        told = []
        for life, number in batch.ends.items():
            worker = self._workers.get(life)
            if worker is not None and number > worker.noted:
                worker.noted = number
                told.append(worker)
        return told

    def abandon(self, batch: Batch) -> None:
        """Notes that a batch was certainly not stored."""
        self._dirty.update(dict.fromkeys(batch.progress))
        self._new_agents = {**batch.agents, **self._new_agents}
        self._forgetting.extend(batch.forgotten)

    def expired(self, retention_ms: float) -> tuple[str, ...]:
        """Returns pipelines that ended long ago, and of which nothing runs.

        Args:
            retention_ms: Time after which an ended pipeline is forgotten.
        """
        horizon = self._unix_ms() - retention_ms
        found = []
        for name, item in self._pipelines.items():
            if len(found) >= MAX_FORGOTTEN:
                break
            if (
                item.ended
                and 0 < item.ended_ms < horizon
                and not any(t.id in self._by_task for t in item.unfinished())
            ):
                found.append(name)
        return tuple(found)

    def forget(self, pipeline_id: str) -> None:
        """Forgets a pipeline whose declaration was removed."""
        self._pipelines.pop(pipeline_id, None)
        self._shown.pop(pipeline_id, None)
        self._misfits.discard(pipeline_id)
        self._forgetting.append(pipeline_id)

    def report(
        self,
        message: messages.AgentReport,
        bus: str,
        agent_life: str,
        now: float,
    ) -> list[fleet.Worker]:
        """Takes in the report of an agent; returns the workers it names."""
        if (
            message.agent not in self._agents
            or self._agents[message.agent] != bus
        ):
            self._new_agents[message.agent] = bus
        for life in message.gone:
            self._lose(life, now, "its agent saw it end")
        found = []
        for state in message.workers:
            life = (state.worker, state.life)
            if life in self._gone:
                continue
            found.append(
                self._take_in(state, message.agent, bus, agent_life, now)
            )
        if message.complete and self._knows(message.lives):
            self._unheard.pop(message.agent, None)
        return found

    def round(self, now: float) -> None:
        """Decides what starts, stops and is paced now."""
        self._expire(now)
        unix_ms = self._unix_ms()
        for item in list(self._timed.values()):
            item.open_due(unix_ms, now)
            if item.next_due_ms() is None:
                del self._timed[item.id]
        for worker in self._workers.values():
            self._watch_worker(worker, now)
        self._start_ready(now, unix_ms)

    def orders(
        self, worker: fleet.Worker, now: float
    ) -> tuple[messages.Order, ...]:
        """Returns the orders that are to be sent to a worker now."""
        if not worker.unsent:
            return ()
        fresh = [o for o in worker.unsent if o.number > worker.sent_number]
        if not fresh and now - worker.sent < RESEND_S:
            return ()
        worker.sent = now
        worker.sent_number = worker.last_order
        return tuple(worker.unsent)

    def _take_in(
        self,
        state: messages.WorkerState,
        agent: str,
        bus: str,
        agent_life: str,
        now: float,
    ) -> fleet.Worker:
        life = (state.worker, state.life)
        worker = self._workers.get(life)
        if worker is None:
            worker = self._meet(state, agent, bus, now)
        worker.state = state
        worker.heard = now
        worker.bus = bus
        restarted = worker.agent_life and worker.agent_life != agent_life
        worker.agent_life = agent_life
        if restarted:
            self._settle_restart(worker, state)
        if not state.fresh or not state.reachable:
            return worker
        worker.listed = True
        worker.unsent = [o for o in worker.unsent if o.number > state.received]
        self._take_ends(worker, state, now)
        self._take_running(worker, state, now)
        self._pacer.observe(worker, now)
        self._take_results(worker, state, now)
        self._drop_missing(worker, state, now)
        return worker

    def _meet(
        self, state: messages.WorkerState, agent: str, bus: str, now: float
    ) -> fleet.Worker:
        worker = fleet.Worker(
            state.worker, state.life, agent, bus, state, now, now
        )
        worker.registered = agent in self._agents
        worker.last_order, worker.results_seen = self._sequences.pop(
            (worker.id, worker.life), (0, 0)
        )
        for name, life in list(self._workers):
            if name == state.worker and life < state.life:
                self._lose((name, life), now, "it started again")
        self._workers[worker.id, worker.life] = worker
        log.emit(
            events.Events.PIPELINE_WORKER_UP,
            worker=worker.id,
            life=worker.life,
            agent=agent,
            capacity=attrs.astuple(state.capacity),
        )
        return worker

    def _knows(self, lives: tuple[fleet.Life, ...]) -> bool:
        """Returns whether the lists of all these lives were taken in."""
        for life in lives:
            worker = self._workers.get(life)
            if life not in self._gone and not (worker and worker.listed):
                return False
        return True

    def _settle_restart(
        self, worker: fleet.Worker, state: messages.WorkerState
    ) -> None:
        """Settles what an agent's earlier process may have left half done.

        Orders that it had and that show no effect are barred.
        """
        running = {(row[0], row[1]) for row in state.running}
        ended = {(row[1], row[2]) for row in state.ended}
        worker.unsent.clear()
        worker.results_seen = 0
        for placement in worker.placements.values():
            if placement.key in running or placement.key in ended:
                if placement.standing is fleet.Standing.STOPPING:
                    worker.order(messages.STOP, placement)
                continue
            placement.standing = fleet.Standing.STOPPING
            placement.stop_reason = "the agent restarted"
            worker.order(messages.STOP, placement)

    def _find(self, task_id: str) -> pipeline.Task | None:
        name, _, key = task_id.partition(".")
        item = self._pipelines.get(name)
        return None if item is None else item.task(key)

    def _take_ends(
        self, worker: fleet.Worker, state: messages.WorkerState, now: float
    ) -> None:
        for number, task_id, attempt, end, checkpoint in state.ended:
            if number <= worker.processed:
                continue
            worker.processed = number
            placement = self._attempts.get((task_id, attempt))
            if placement is not None and placement.worker is not worker:
                placement = None
            task = self._find(task_id)
            log.emit(
                events.Events.ATTEMPT_ENDED,
                task=task_id,
                attempt=attempt,
                worker=worker.id,
                end=end.value,
                number=number,
            )
            self._metrics.count("attempts_ended", end=end.value)
            if task is None:
                continue
            if placement is not None:
                self._detach(placement)
            self._end_attempt(task, attempt, end, checkpoint, worker, now)
            if placement is not None:
                self._release(task, now)

    def _end_attempt(
        self,
        task: pipeline.Task,
        attempt: int,
        end: pipeline.End,
        checkpoint: str,
        worker: fleet.Worker,
        now: float,
    ) -> None:
        item = task.pipeline
        task.last_attempt = max(task.last_attempt, attempt)
        if checkpoint:
            task.checkpoint = checkpoint
            self._dirty[item.id] = None
        match end:
            case pipeline.End.DONE if not task.stage.lasting:
                worker.done = now
                worker.failed_since_done.clear()
                self._finish(task, now)
            case pipeline.End.FAILED:
                self._note_failure(task, attempt, worker, now)
            case pipeline.End.ALONE:
                task.not_before = now + REFUSAL_PAUSE_S

    def _finish(self, task: pipeline.Task, now: float) -> None:
        item = task.pipeline
        members = [task]
        if task.stage.gang:
            members = item.tasks(task.occurrence, task.stage_number)
        for member in members:
            if item.finish(member, now, int(self._unix_ms())):
                self._dirty[item.id] = None
            for other in self._placements_of(member):
                self._stop(other, "the task is done")
        if item.ended:
            log.emit(
                events.Events.PIPELINE_ENDED,
                pipeline=item.id,
                phase=item.phase.value,
                age_ms=int(self._unix_ms()) - item.declaration.submitted_ms,
            )
            self._close(item)

    def _note_failure(
        self,
        task: pipeline.Task,
        attempt: int,
        worker: fleet.Worker,
        now: float,
    ) -> None:
        item = task.pipeline
        queue = self._queues.named(item.declaration.queue)
        limit = queue.max_attempts if queue is not None else 0
        task.avoided.add(worker.id)
        worker.failed = now
        worker.failed_since_done.add(item.id)
        if len(worker.failed_since_done) >= FAILURES_TO_SUSPECT:
            self._suspect(worker, now, "attempts fail")
        if item.fail(task, attempt, limit, int(self._unix_ms())):
            self._dirty[item.id] = None
        if item.ended:
            log.emit(
                events.Events.PIPELINE_ENDED,
                pipeline=item.id,
                phase=item.phase.value,
                task=task.id,
                attempts=sorted(task.failed),
                limit=limit,
            )
            self._close(item)

    def _suspect(self, worker: fleet.Worker, now: float, why: str) -> None:
        suspects = sum(w.trouble > now for w in self._workers.values())
        if suspects >= len(self._workers) * MOST_SUSPECTS:
            return
        if worker.trouble <= now:
            log.emit(
                events.Events.PIPELINE_WORKER_SUSPECT,
                worker=worker.id,
                reason=why,
                for_s=TROUBLE_S,
            )
        worker.trouble = now + TROUBLE_S

    def _close(self, item: pipeline.Pipeline) -> None:
        """Stops what still runs of an ended pipeline."""
        self._dirty[item.id] = None
        self._open.pop(item.id, None)
        self._timed.pop(item.id, None)
        for task in item.unfinished():
            for placement in self._placements_of(task):
                self._stop(placement, "the pipeline has ended")

    def _placements_of(self, task: pipeline.Task) -> list[fleet.Placement]:
        return list(self._by_task.get(task.id, ()))

    def _take_running(
        self, worker: fleet.Worker, state: messages.WorkerState, now: float
    ) -> None:
        orphans: set[fleet.Key] = set()
        for task_id, attempt, checkpoint, percent, load in state.running:
            placement = self._attempts.get((task_id, attempt))
            if placement is None or placement.worker is not worker:
                placement = self._adopt(worker, task_id, attempt, now)
            if placement is None:
                orphans.add((task_id, attempt))
                continue
            self._observe(placement, checkpoint, percent, load, now)
        for key in orphans - worker.orphans:
            log.emit(
                events.Events.ATTEMPT_ORPHANED,
                task=key[0],
                attempt=key[1],
                worker=worker.id,
            )
            worker.order_stop(*key)
        worker.orphans = orphans

    def _adopt(
        self, worker: fleet.Worker, task_id: str, attempt: int, now: float
    ) -> fleet.Placement | None:
        """Takes over an attempt that an earlier leader ordered."""
        task = self._find(task_id)
        if task is None:
            return None
        placement = fleet.Placement(task, attempt, worker, now)
        others = self._placements_of(task)
        self._attach(placement)
        placement.standing = fleet.Standing.RUNNING
        item = task.pipeline
        # A blocked task may run: the leader before has seen the ends of the
        # earlier stages, and this one has not heard of them yet.
        unwanted = (
            item.ended
            or task.phase
            in (pipeline.TaskPhase.DONE, pipeline.TaskPhase.FAILED)
            or bool(others)
        )
        if unwanted:
            self._stop(placement, "an earlier leader started it")
            task.last_attempt = max(task.last_attempt, attempt)
        else:
            item.place(task, attempt)
        return placement

    def _observe(
        self,
        placement: fleet.Placement,
        checkpoint: str,
        percent: float,
        load: float,
        now: float,
    ) -> None:
        if placement.standing is fleet.Standing.ORDERED:
            placement.standing = fleet.Standing.RUNNING
        if not placement.seen:
            placement.seen = True
            placement.first_seen = placement.moved = now
            placement.base_percent = percent
        if percent != placement.percent:
            placement.percent = percent
            placement.moved = now
        placement.load = load
        if checkpoint:
            placement.task.checkpoint = checkpoint

    def _take_results(
        self, worker: fleet.Worker, state: messages.WorkerState, now: float
    ) -> None:
        by_order = {p.order: p for p in worker.placements.values()}
        for result in state.results:
            if result.sequence <= worker.results_seen:
                continue
            worker.results_seen = result.sequence
            placement = by_order.get(result.number)
            if placement is None:
                continue
            if result.outcome == messages.REFUSED:
                self._refused(placement, result.reason, now)
            elif result.outcome == messages.BARRED or (
                placement.standing is fleet.Standing.STOPPING
            ):
                placement.barred = True

    def _refused(
        self, placement: fleet.Placement, reason: str, now: float
    ) -> None:
        if placement.standing is not fleet.Standing.ORDERED:
            return
        task = placement.task
        self._metrics.count("starts_refused", reason=reason)
        log.emit(
            events.Events.START_REFUSED,
            task=task.id,
            attempt=placement.attempt,
            worker=placement.worker.id,
            reason=reason,
        )
        task.not_before = now + REFUSAL_PAUSE_S
        if reason == "busy":
            task.avoided.add(placement.worker.id)
        self._drop(placement, now)

    def _drop_missing(
        self, worker: fleet.Worker, state: messages.WorkerState, now: float
    ) -> None:
        if state.more_ended:
            return
        running = {(row[0], row[1]) for row in state.running}
        ended = {(row[1], row[2]) for row in state.ended}
        for placement in list(worker.placements.values()):
            if placement.key in running or placement.key in ended:
                continue
            if placement.seen or placement.barred:
                self._drop(placement, now)

    def _attach(self, placement: fleet.Placement) -> None:
        self._attempts[placement.key] = placement
        self._by_task.setdefault(placement.task.id, []).append(placement)
        placement.worker.add(placement)

    def _drop(self, placement: fleet.Placement, now: float) -> None:
        """Forgets an attempt that certainly runs no more."""
        self._detach(placement)
        self._release(placement.task, now)

    def _detach(self, placement: fleet.Placement) -> None:
        placement.worker.remove(placement)
        self._pacer.forget(placement)
        if self._attempts.get(placement.key) is placement:
            del self._attempts[placement.key]
        task = placement.task
        rest = [p for p in self._by_task.get(task.id, ()) if p is not placement]
        if rest:
            self._by_task[task.id] = rest
        else:
            self._by_task.pop(task.id, None)

    def _release(self, task: pipeline.Task, now: float) -> None:
        """Makes a task ready again once none of its attempts is left."""
        if (
            task.id in self._by_task
            or task.pipeline.ended
            or task.phase is pipeline.TaskPhase.DONE
        ):
            return
        if task.stage.gang:
            self._regroup(task, now)
        else:
            task.pipeline.release(task, now)

    def _regroup(self, task: pipeline.Task, now: float) -> None:
        """Makes a gang ready again once none of its members runs."""
        members = task.pipeline.tasks(task.occurrence, task.stage_number)
        held = [p for m in members for p in self._placements_of(m)]
        for placement in held:
            self._stop(placement, "another member of its gang ended")
        if held:
            return
        saved = next((m.checkpoint for m in members if m.checkpoint), "")
        for member in members:
            member.checkpoint = saved
            task.pipeline.release(member, now)

    def _lose(
        self, life: fleet.Life, now: float, why: str, dead: bool = True
    ) -> None:
        """Forgets a life that certainly runs nothing any more.

        Args:
            life: The worker's id and life.
            now: Monotonic seconds.
            why: The reason, for the log.
            dead: Whether the life has ended, so that later reports about it
                are old.
        """
        if dead:
            self._gone[life] = now
        worker = self._workers.pop(life, None)
        if worker is None:
            return
        self._sequences[life] = (worker.last_order, worker.results_seen)
        log.emit(
            events.Events.PIPELINE_WORKER_GONE,
            worker=worker.id,
            life=worker.life,
            attempts=len(worker.placements),
            reason=why,
        )
        for placement in list(worker.placements.values()):
            self._drop(placement, now)

    def _expire(self, now: float) -> None:
        for life, worker in list(self._workers.items()):
            if worker.state.lapsed or now - worker.granted > self._lease_s:
                self._lose(life, now, "its leases have lapsed", dead=False)
        for life, since in list(self._gone.items()):
            if now - since > GONE_S:
                del self._gone[life]
                self._sequences.pop(life, None)
        if self._unheard and now > self._horizon:
            log.emit(
                events.Events.EARLIER_LEASES_LAPSED, agents=list(self._unheard)
            )
            self._unheard.clear()

    def _stop(self, placement: fleet.Placement, why: str) -> None:
        if placement.standing is fleet.Standing.STOPPING:
            return
        placement.standing = fleet.Standing.STOPPING
        placement.stop_reason = why
        placement.worker.order(messages.STOP, placement)
        self._metrics.count("stops_ordered")
        log.emit(
            events.Events.STOP_ORDERED,
            task=placement.task.id,
            attempt=placement.attempt,
            worker=placement.worker.id,
            reason=why,
        )

    def _watch_worker(self, worker: fleet.Worker, now: float) -> None:
        if worker.state.draining:
            self._empty(worker)
        if now - worker.heard > FRESH_S or not worker.state.reachable:
            return
        for placement, percent in self._pacer.decide(worker, now):
            placement.pace = percent
            if percent >= pacing.FULL:
                placement.slowed = 0.0
            elif not placement.slowed:
                placement.slowed = now
            worker.order(messages.PACE, placement, percent=percent)
            log.emit(
                events.Events.ATTEMPT_PACED,
                task=placement.task.id,
                attempt=placement.attempt,
                worker=worker.id,
                percent=percent,
            )
        for placement in list(worker.placements.values()):
            if self._pacer.should_move(placement, now):
                self._move(placement, now)
            if self._is_stalled(placement, now):
                worker.stalls += 1
                self._metrics.count("attempts_stalled")
                placement.task.avoided.add(worker.id)
                self._suspect(worker, now, "attempts stand still")
                self._stop(placement, "it stands still")

    def _move(self, placement: fleet.Placement, now: float) -> None:
        """Moves a slowed attempt, if its progress goes along."""
        task = placement.task
        if not task.stage.checkpointing:
            return
        others = [
            worker
            for worker in self._workers.values()
            if worker is not placement.worker
            and worker.state.service == placement.worker.state.service
            and worker.usable(now, FRESH_S)
        ]
        if placement_module.choose(task, others, self._pacer, now) is not None:
            self._stop(placement, "it slows serving tasks beside it")

    def _is_stalled(self, placement: fleet.Placement, now: float) -> bool:
        if (
            placement.standing is not fleet.Standing.RUNNING
            or not placement.seen
            or placement.pace < pacing.FULL
            or placement.percent >= 100
        ):
            return False
        stage = placement.task.stage
        if stage.lasting:
            return now - placement.moved > LASTING_START_S
        limit_s = max(STALL_S, STALL_SHARE * stage.estimate_ms / 1000)
        if stage.filler and placement.worker.unused_millicores < 0:
            limit_s *= 3
        return now - placement.moved > limit_s

    def _empty(self, worker: fleet.Worker) -> None:
        """Moves the tasks away that would end with a leaving worker."""
        for placement in list(worker.placements.values()):
            stage = placement.task.stage
            left_ms = stage.estimate_ms * (1 - placement.percent / 100)
            ends_in_time = (
                not stage.lasting
                and left_ms + LEAVE_MARGIN_MS < worker.state.remaining_ms
            )
            if not ends_in_time and placement.seen:
                self._stop(placement, "its worker leaves")

    def _may_start(self, item: pipeline.Pipeline) -> bool:
        """Returns whether no earlier leader can have started its tasks."""
        return not self._unheard or item.version > self._version

    def _start_ready(self, now: float, unix_ms: float) -> None:
        usable: dict[str, list[fleet.Worker]] = {}
        for worker in self._workers.values():
            if worker.usable(now, FRESH_S):
                usable.setdefault(worker.state.service, []).append(worker)
        if not usable:
            return
        ranked = []
        for item in self._open.values():
            if item.ready and self._may_start(item):
                queue = self._queues.named(item.declaration.queue)
                if queue is None or queue.service not in usable:
                    continue
                rank = pipelineorder.rank(item, queue, unix_ms)
                ranked.append((rank.key, item.id, item, queue))
        ranked.sort(key=lambda row: row[:2])
        considered = 0
        for _, _, item, queue in ranked:
            if considered >= MAX_CONSIDERED:
                return
            considered += len(item.ready)
            self._start_pipeline(item, usable[queue.service], now)

    def _start_pipeline(
        self, item: pipeline.Pipeline, workers: list[fleet.Worker], now: float
    ) -> None:
        blocked: set[int] = set()
        for task in list(item.ready.values()):
            if task.not_before > now or task.id in self._by_task:
                continue
            if task.stage.gang:
                self._start_gang(task, workers, now)
                continue
            plain = not task.avoided
            if plain and task.stage_number in blocked:
                continue
            worker = placement_module.choose(task, workers, self._pacer, now)
            if worker is None:
                if plain:
                    blocked.add(task.stage_number)
                self._tell_misfit(task, workers)
                continue
            self._start(task, worker, self._next_attempt(task), now)

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
            m.phase is not pipeline.TaskPhase.READY or m.id in self._by_task
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
                placement = fleet.Placement(member, attempt, worker, now)
                self._attach(placement)
                started.append(placement)
            if len(started) == len(members):
                break
            for placement in started:
                placement.worker.remove(placement)
                del self._attempts[placement.key]
                del self._by_task[placement.task.id]
            started.clear()
        for placement in started:
            self._order_start(placement)

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
        placement = fleet.Placement(task, attempt, worker, now)
        self._attach(placement)
        self._order_start(placement)

    def _order_start(self, placement: fleet.Placement) -> None:
        task = placement.task
        worker = placement.worker
        task.pipeline.place(task, placement.attempt)
        placement.pace = self._pacer.first_pace(task, worker)
        worker.order(
            messages.START,
            placement,
            payload=task.pipeline.declaration.payload,
            checkpoint=task.checkpoint,
            percent=placement.pace,
        )
        self._metrics.count("starts_ordered")
        log.emit(
            events.Events.START_ORDERED,
            task=task.id,
            attempt=placement.attempt,
            worker=worker.id,
            free=worker.free.millicores,
            unused=worker.unused_millicores,
            report_age_ms=int((placement.ordered - worker.heard) * 1000),
            checkpoint=bool(task.checkpoint),
        )


def _racks(workers: Iterable[fleet.Worker]) -> list[list[fleet.Worker]]:
    """Returns the workers of each rack, and then all of them."""
    racks: dict[str, list[fleet.Worker]] = {}
    everyone = list(workers)
    for worker in everyone:
        racks.setdefault(worker.state.rack, []).append(worker)
    return [*racks.values(), everyone]
