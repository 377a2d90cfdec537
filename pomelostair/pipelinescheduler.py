"""Decisions of the leader of the pipelines, without any input or output.

It takes in the reports of the agents, and leaves orders at the workers, and
the pipelines whose progress has to be stored, in its book.
"""

import collections
from collections.abc import Callable

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
from pomelostair import pipelinemonitor
from pomelostair import pipelinepacking
from pomelostair import pipelineregistry
from pomelostair import pipelinestarts
from pomelostair import queues

# Pipelines that fail on a worker, without any success there, that make it
# suspect. One or two may be at fault themselves.
FAILURES_TO_SUSPECT = 3
# Time in seconds after which a failure of a lasting task says nothing about its
# worker.
EARLY_FAILURE_S = 4.0
# Pause before a task is tried again after a refusal by its worker.
REFUSAL_RETRY_DELAY_S = 0.2
# Time after which orders that the agent has not confirmed are sent again.
RESEND_AFTER_S = 0.7
# Time that a life stays known as gone, to ignore late reports about it.
GONE_RETENTION_S = 30.0


# Processes of an agent that are remembered as former ones.
MAX_FORMER_INCARNATIONS = 8


@attrs.define
class _Reporter:
    """Which reports of an agent were taken in.

    Attributes:
        process: Incarnation of its process.
        sequence: Number of that process's latest report.
        former: Incarnations of its earlier processes.
    """

    process: str
    sequence: int = 0
    former: collections.deque[str] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_FORMER_INCARNATIONS)
    )

    def takes(self, process: str, sequence: int) -> bool:
        """Returns whether a report is later than all before; notes it."""
        if process in self.former:
            return False
        if process != self.process:
            self.former.append(self.process)
            self.process = process
        elif sequence <= self.sequence:
            return False
        self.sequence = sequence
        return True


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
        self._queues = queues.QueueTable()
        self._workers: dict[fleet.WorkerKey, fleet.Worker] = {}
        self._gone: dict[fleet.WorkerKey, float] = {}
        self._sequences: dict[fleet.WorkerKey, tuple[int, int]] = {}
        self._reporters: dict[str, _Reporter] = {}
        self._unheard: dict[str, tuple[fleet.KnownIncarnation, ...]] = {}
        self._horizon = 0.0
        self._pacer = pacing.Pacer(metrics)
        self._attempts = attempts_module.Attempts(self._pacer, metrics)
        self._book = pipelineregistry.PipelineRegistry(
            unix_ms, self._attempts.has_attempts
        )
        self._starter = pipelinestarts.Starter(
            epoch, self._attempts, self._pacer, metrics
        )
        self._packer = pipelinepacking.Packer(
            self._attempts, self._pacer, self._starter.advice, metrics
        )
        self._watch = pipelinemonitor.WorkerMonitor(
            self._workers, self._attempts, self._pacer, metrics
        )

    @property
    def registry(self) -> pipelineregistry.PipelineRegistry:
        """The pipelines."""
        return self._book

    @property
    def advice(self) -> pipelineadvice.Advice:
        """Tickets for queues that need them."""
        return self._starter.advice

    @property
    def has_uncommitted(self) -> bool:
        """Whether anything waits to be committed."""
        return self._book.has_uncommitted or any(
            w.applied_end > w.acknowledged_end for w in self._workers.values()
        )

    def next_batch(self) -> pipelineregistry.Batch:
        """Returns what the next commit has to store."""
        return self._book.next_batch(
            {
                life: worker.applied_end
                for life, worker in self._workers.items()
                if worker.applied_end > worker.acknowledged_end
            }
        )

    def confirm(self, batch: pipelineregistry.Batch) -> list[fleet.Worker]:
        """Notes that a batch is durable; returns workers to be told."""
        self._book.confirm(batch)
        told = []
        for worker in self._workers.values():
            worker.registered = self._book.is_registered(
                worker.agent, (worker.id, worker.incarnation)
            )
        for life, number in batch.ends.items():
            worker = self._workers.get(life)
            if worker is not None and number > worker.acknowledged_end:
                worker.acknowledged_end = number
                told.append(worker)
        return told

    def forget(self, pipeline_id: str) -> None:
        """Forgets a pipeline whose declaration was removed."""
        self._book.forget(pipeline_id)
        self._starter.forget(pipeline_id)

    @property
    def epoch(self) -> int:
        """Epoch of the term."""
        return self._epoch

    @property
    def workers(self) -> dict[fleet.WorkerKey, fleet.Worker]:
        """All workers by id and life."""
        return self._workers

    @property
    def unreported_agents(self) -> tuple[str, ...]:
        """Agents that may run work of earlier terms, unknown to this one."""
        return tuple(self._unheard)

    @property
    def agents(self) -> dict[str, str]:
        """Bus URLs of the registered agents, by name."""
        return {name: kept.bus for name, kept in self._book.agents.items()}

    def set_queues(self, table: queues.QueueTable) -> None:
        """Puts a configuration in force."""
        self._queues = table

    def expect_agents(
        self, agents: dict[str, fleet.Registration], horizon: float
    ) -> None:
        """Names the agents that earlier leaders gave work to.

        Args:
            agents: Their registrations by name.
            horizon: Monotonic seconds at which all leases of earlier leaders
                have certainly lapsed.
        """
        self._book.set_agents(agents)
        self._unheard = {name: kept.lives for name, kept in agents.items()}
        self._horizon = horizon

    def cancel(self, pipeline_id: str) -> None:
        """Ends a pipeline for its caller."""
        item = self._book.pipelines.get(pipeline_id)
        if item is not None and item.end(
            pipeline.Phase.CANCELLED, int(self._unix_ms())
        ):
            log.emit(
                events.Events.PIPELINE_ENDED,
                pipeline=item.id,
                phase="cancelled",
            )
            self._close(item)

    def apply_report(
        self,
        message: messages.AgentReport,
        bus: str,
        agent_life: str,
        now: float,
    ) -> list[fleet.Worker]:
        """Takes in the report of an agent; returns the workers it names.

        A report that was overtaken by a later one changes nothing: its lists
        lack what has started since.
        """
        reporter = self._reporters.setdefault(
            message.agent, _Reporter(agent_life)
        )
        if not reporter.takes(agent_life, message.sequence):
            self._metrics.count("reports_overtaken")
            return []
        heard = tuple(
            fleet.KnownIncarnation(
                worker, life, message.addresses.get(worker, "")
            )
            for worker, life in message.lives
        )
        self._book.register_agent(message.agent, bus, heard, message.complete)
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
        whole = message.complete and self._knows(message.lives)
        if whole or self._knows_expected(message.agent, heard):
            self._unheard.pop(message.agent, None)
        return found

    def run_round(self, now: float) -> None:
        """Decides what starts, stops and is paced now."""
        self._expire(now)
        self._book.open_due(now)
        slowed: dict[str, list[fleet.Placement]] = {}
        for worker in self._workers.values():
            for placement in self._watch.check(worker, now):
                name = placement.task.pipeline.id
                slowed.setdefault(name, []).append(placement)
        self._packer.pack(self._workers.values(), now)
        self._starter.start_ready(
            [i for i in self._book.open.values() if self._may_start(i)],
            self._workers.values(),
            self._queues,
            slowed,
            now,
            self._unix_ms(),
        )

    def orders_to_send(
        self, worker: fleet.Worker, now: float
    ) -> tuple[messages.Order, ...]:
        """Returns the orders that are to be sent to a worker now."""
        if not worker.unconfirmed_orders:
            return ()
        fresh = [
            o
            for o in worker.unconfirmed_orders
            if o.number > worker.last_sent_order_number
        ]
        if not fresh and now - worker.orders_sent_s < RESEND_AFTER_S:
            return ()
        worker.orders_sent_s = now
        worker.last_sent_order_number = worker.last_order_number
        return tuple(worker.unconfirmed_orders)

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
        worker.last_report_s = now
        worker.bus = bus
        restarted = (
            worker.agent_incarnation and worker.agent_incarnation != agent_life
        )
        worker.agent_incarnation = agent_life
        if restarted:
            self._settle_restart(worker, state)
        if not state.fresh or not state.reachable:
            return worker
        worker.reconciled = True
        worker.unconfirmed_orders = [
            o for o in worker.unconfirmed_orders if o.number > state.received
        ]
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
        worker.registered = self._book.is_registered(
            agent, (worker.id, worker.incarnation)
        )
        worker.last_order_number, worker.applied_result = self._sequences.pop(
            (worker.id, worker.incarnation), (0, 0)
        )
        for name, life in list(self._workers):
            if name == state.worker and life < state.life:
                self._lose((name, life), now, "it started again")
        self._workers[worker.id, worker.incarnation] = worker
        log.emit(
            events.Events.PIPELINE_WORKER_UP,
            worker=worker.id,
            life=worker.incarnation,
            agent=agent,
            capacity=attrs.astuple(state.capacity),
        )
        return worker

    def _knows(self, lives: tuple[fleet.WorkerKey, ...]) -> bool:
        """Returns whether the lists of all these lives were taken in."""
        for life in lives:
            worker = self._workers.get(life)
            if life not in self._gone and not (worker and worker.reconciled):
                return False
        return True

    def _knows_expected(
        self, agent: str, heard: tuple[fleet.KnownIncarnation, ...]
    ) -> bool:
        """Returns whether every life that may have had work is known.

        Its lists were taken in, or those of a later life, which show that it
        has ended and that late orders to it are refused.
        """
        expected = self._unheard.get(agent, ())
        return bool(expected) and all(
            self._knows((life.key,))
            or any(
                life.is_succeeded_by(other) and self._knows((other.key,))
                for other in heard
            )
            for life in expected
        )

    def _settle_restart(
        self, worker: fleet.Worker, state: messages.WorkerState
    ) -> None:
        """Settles what an agent's earlier process may have left half done.

        Orders that it had and that show no effect are barred.
        """
        running = {(row[0], row[1]) for row in state.running}
        ended = {(row[1], row[2]) for row in state.ended}
        worker.unconfirmed_orders.clear()
        worker.applied_result = 0
        for placement in worker.placements.values():
            if placement.key in running or placement.key in ended:
                if placement.state is fleet.AttemptState.STOPPING:
                    worker.enqueue_order(messages.STOP, placement)
                continue
            placement.state = fleet.AttemptState.STOPPING
            placement.stop_reason = "the agent restarted"
            worker.enqueue_order(messages.STOP, placement)

    def _take_ends(
        self, worker: fleet.Worker, state: messages.WorkerState, now: float
    ) -> None:
        for number, task_id, attempt, end, checkpoint in state.ended:
            if number <= worker.applied_end:
                continue
            worker.applied_end = number
            placement = self._attempts.get((task_id, attempt))
            if placement is not None and placement.worker is not worker:
                placement = None
            task = self._book.find_task(task_id)
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
            ordered = 0.0
            if placement is not None:
                ordered = placement.ordered_s
                self._attempts.detach(placement)
            self._end_attempt(
                task, attempt, end, checkpoint, worker, ordered, now
            )
            if placement is not None:
                self._attempts.release(task, now)

    def _end_attempt(
        self,
        task: pipeline.Task,
        attempt: int,
        end: pipeline.End,
        checkpoint: str,
        worker: fleet.Worker,
        ordered: float,
        now: float,
    ) -> None:
        item = task.pipeline
        task.last_attempt = max(task.last_attempt, attempt)
        if checkpoint:
            task.checkpoint = checkpoint
            self._book.mark_changed(item)
        match end:
            case pipeline.End.DONE if not task.stage.lasting:
                worker.last_success_s = now
                worker.failed_since_success.clear()
                self._finish(task, now)
            case pipeline.End.FAILED:
                self._note_failure(task, attempt, worker, ordered, now)
            case pipeline.End.ALONE:
                task.not_before_s = now + REFUSAL_RETRY_DELAY_S

    def _finish(self, task: pipeline.Task, now: float) -> None:
        item = task.pipeline
        ended_before = item.ended
        members = [task]
        if task.stage.gang:
            members = item.tasks(task.occurrence, task.stage_number)
        for member in members:
            if item.finish(member, now, int(self._unix_ms())):
                self._book.mark_changed(item)
            for other in self._attempts.of_task(member):
                self._attempts.stop(other, "the task is done")
        if item.ended and not ended_before:
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
        ordered: float,
        now: float,
    ) -> None:
        item = task.pipeline
        queue = self._queues.by_name(item.declaration.queue)
        limit = queue.max_attempts if queue is not None else 0
        # Lasting tasks fail now and then on sound workers, too.
        if not task.stage.lasting or now - ordered < EARLY_FAILURE_S:
            task.avoided_workers.add(worker.id)
        worker.last_failure_s = now
        worker.failed_since_success.add(item.id)
        if len(worker.failed_since_success) >= FAILURES_TO_SUSPECT:
            self._watch.suspect(worker, now, "attempts fail")
        if item.fail(task, attempt, limit, int(self._unix_ms())):
            self._book.mark_changed(item)
        if item.ended:
            log.emit(
                events.Events.PIPELINE_ENDED,
                pipeline=item.id,
                phase=item.phase.value,
                task=task.id,
                attempts=sorted(task.failed_attempts),
                limit=limit,
            )
            self._close(item)

    def _close(self, item: pipeline.Pipeline) -> None:
        """Stops what still runs of an ended pipeline."""
        self._book.close(item)
        for task in item.unfinished():
            for placement in self._attempts.of_task(task):
                self._attempts.stop(placement, "the pipeline has ended")

    def _take_running(
        self, worker: fleet.Worker, state: messages.WorkerState, now: float
    ) -> None:
        orphans: set[fleet.AttemptKey] = set()
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
            worker.enqueue_stop(*key)
        worker.orphans = orphans

    def _adopt(
        self, worker: fleet.Worker, task_id: str, attempt: int, now: float
    ) -> fleet.Placement | None:
        """Takes over an attempt that an earlier leader ordered."""
        task = self._book.find_task(task_id)
        if task is None:
            return None
        placement = fleet.Placement(task, attempt, worker, now)
        others = self._attempts.of_task(task)
        self._attempts.attach(placement)
        placement.state = fleet.AttemptState.RUNNING
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
            self._attempts.stop(placement, "an earlier leader started it")
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
        if placement.state is fleet.AttemptState.ORDERED:
            placement.state = fleet.AttemptState.RUNNING
        if not placement.reported:
            placement.reported = True
            placement.last_progress_s = now
        if percent != placement.progress_percent:
            placement.progress_percent = percent
            placement.last_progress_s = now
        placement.load = load
        if checkpoint:
            placement.task.checkpoint = checkpoint

    def _take_results(
        self, worker: fleet.Worker, state: messages.WorkerState, now: float
    ) -> None:
        by_order = {p.order_number: p for p in worker.placements.values()}
        for result in state.results:
            if result.sequence <= worker.applied_result:
                continue
            worker.applied_result = result.sequence
            placement = by_order.get(result.number)
            if placement is None:
                continue
            if result.outcome == messages.REFUSED:
                self._refused(placement, result.reason, now)
            elif result.outcome == messages.FENCED_OFF or (
                placement.state is fleet.AttemptState.STOPPING
            ):
                placement.fenced_off = True

    def _refused(
        self, placement: fleet.Placement, reason: str, now: float
    ) -> None:
        if placement.state is not fleet.AttemptState.ORDERED:
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
        task.not_before_s = now + REFUSAL_RETRY_DELAY_S
        if reason == "ticket":
            self._starter.advice.discard_ticket(task, placement.worker)
        if reason == "busy":
            task.avoided_workers.add(placement.worker.id)
        self._attempts.remove(placement, now)

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
            if placement.reported or placement.fenced_off:
                self._attempts.remove(placement, now)

    def _lose(
        self, life: fleet.WorkerKey, now: float, why: str, dead: bool = True
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
        self._sequences[life] = (
            worker.last_order_number,
            worker.applied_result,
        )
        log.emit(
            events.Events.PIPELINE_WORKER_GONE,
            worker=worker.id,
            life=worker.incarnation,
            attempts=len(worker.placements),
            reason=why,
        )
        for placement in list(worker.placements.values()):
            self._attempts.remove(placement, now)

    def _expire(self, now: float) -> None:
        for life, worker in list(self._workers.items()):
            if (
                worker.state.lapsed
                or now - worker.lease_granted_s > self._lease_s
            ):
                self._lose(life, now, "its leases have lapsed", dead=False)
        for life, since in list(self._gone.items()):
            if now - since > GONE_RETENTION_S:
                del self._gone[life]
                self._sequences.pop(life, None)
        if self._unheard and now > self._horizon:
            log.emit(
                events.Events.EARLIER_LEASES_LAPSED, agents=list(self._unheard)
            )
            self._unheard.clear()

    def _may_start(self, item: pipeline.Pipeline) -> bool:
        """Returns whether no earlier leader can have started its tasks."""
        return not self._unheard or item.version > self._version
