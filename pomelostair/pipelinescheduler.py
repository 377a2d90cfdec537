"""Scheduling decisions of the pipeline leader, free of I/O.

The scheduler applies the reports of the agents. It queues orders at the
workers, and its registry collects the pipelines whose progress must be stored.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import math
import types

import attrs

from pomelostair import attempts as attempts_module
from pomelostair import contention
from pomelostair import evacuation
from pomelostair import events
from pomelostair import fleet
from pomelostair import log
from pomelostair import metrics as metrics_module
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelineadvice
from pomelostair import pipelinecrashes
from pomelostair import pipelinegrants
from pomelostair import pipelinemessages as messages
from pomelostair import pipelinemonitor
from pomelostair import pipelinepacking
from pomelostair import pipelinereconciliation
from pomelostair import pipelineregistry
from pomelostair import pipelinereports
from pomelostair import pipelinestarts
from pomelostair import pipelinewaits
from pomelostair import queues
from pomelostair import runtimes
from pomelostair import workerspeed

# Pipelines that must fail on a worker, with no success in between, before the
# worker becomes suspect. One or two pipelines may be faulty themselves.
FAILURES_TO_SUSPECT = 3
# A lasting task that fails within this time of its start order avoids the
# worker. Later failures say nothing about the worker.
EARLY_FAILURE_S = 4.0
# Delay before a task that its worker refused is tried again.
REFUSAL_RETRY_DELAY_S = 0.2
# Orders are sent again if the agent confirms none for this long: about three
# report intervals.
RESEND_AFTER_S = 2.4
# Interval of the reports of a worker without news, and of one where fillers run
# beside serving tasks, whose paces depend on recent latencies.
REPORT_INTERVAL_S = 0.8
LEARNING_REPORT_INTERVAL_S = 0.3
# Interval where tasks wait for room: their starts then wait for a report.
WAITED_REPORT_INTERVAL_S = 0.15
# Time before the leases of a silent worker lapse from which room for its
# lasting tasks is kept. After the lapse, the platform's rules leave about 1 s.
PREPARE_S = 3.0
# An ended incarnation is remembered for this long, so that late reports about
# it are ignored.
ENDED_RETENTION_S = 30.0
# Reasons of refusals that say nothing about a further start on the worker.
_REASONS_OF_THE_TASK = ("old", "ticket")


class PipelineScheduler:
    """Schedules the pipelines on the workers during one term of a leader.

    Args:
        epoch: Epoch of the term.
        lease_version: Version of the lease row that began the term; pipelines
            with a higher version were accepted after it.
        metrics: Registry that counts the decisions.
        unix_ms: Returns the current Unix time in milliseconds.
        max_lease_s: Longest time that a lease granted now can last.
        remote_factor: Factor on the run time far from the data.
        learn_speeds: Whether the speeds of the workers are learned.
        learn_run_times: Whether the run times of the queues are learned.
        cold_workers: Whether cold workers count as slow.
    """

    def __init__(
        self,
        epoch: int,
        lease_version: int,
        metrics: metrics_module.Metrics,
        unix_ms: Callable[[], float],
        max_lease_s: float,
        remote_factor: float = 1.0,
        learn_speeds: bool = False,
        learn_run_times: bool = False,
        cold_workers: bool = False,
    ):
        self._epoch = epoch
        self._lease_version = lease_version
        self._metrics = metrics
        self._unix_ms = unix_ms
        self._max_lease_s = max_lease_s
        self._queues = queues.QueueTable()
        self._attempt_limits: dict[str, int] = {}  # By name of the queue.
        self._workers: dict[fleet.WorkerKey, fleet.Worker] = {}
        # Workers with ends that are applied but not acknowledged yet.
        self._unacknowledged: set[fleet.WorkerKey] = set()
        self._ended_since_s: dict[fleet.WorkerKey, float] = {}
        # Last order number, last applied result and incarnation of the agent of
        # removed workers, which continue from there if they are reported again.
        self._last_numbers: dict[fleet.WorkerKey, tuple[int, int, str]] = {}
        self._report_sequences: dict[str, pipelinereports.ReportSequence] = {}
        # Incarnations whose agents report that their leases have lapsed.
        self._lapsed: set[fleet.WorkerKey] = set()
        self._reconciliation = pipelinereconciliation.Reconciliation()
        self._grants = pipelinegrants.Grants(max_lease_s)
        # Whether earlier leaders recorded every placement of a lasting task.
        self._earlier_placements_recorded = False
        # Pipelines whose stored progress may lack placements of lasting tasks;
        # None until all attempts of earlier terms are known.
        self._to_record: set[str] | None = None
        # Ends applied in this term, and lists that left further ends out.
        self._applied_ends = 0
        self._partial_lists = 0
        self._pacer = pacing.Pacer(metrics)
        self._attempts = attempts_module.Attempts(self._pacer, metrics)
        self._speeds = workerspeed.WorkerSpeeds(
            metrics, learn_speeds, cold_workers
        )
        self._run_times = runtimes.RunTimes(learn_run_times, remote_factor)
        self._registry = pipelineregistry.PipelineRegistry(
            lease_version, unix_ms, self._attempts.has_attempts
        )
        self._crashes = pipelinecrashes.CrashTracker(
            self._registry, self._attempts, metrics
        )
        # Tasks that are to be given up, if it proves that none of them runs.
        self._hopeless: dict[pipeline.Task, None] = {}
        self._starter = pipelinestarts.Starter(
            epoch,
            self._attempts,
            self._pacer,
            metrics,
            self._registry.mark_changed,
            remote_factor,
            self._run_times,
        )
        self._packer = pipelinepacking.Packer(
            self._attempts, self._pacer, self._starter.advice, metrics
        )
        self._monitor = pipelinemonitor.WorkerMonitor(
            self._workers, self._attempts, self._pacer, metrics
        )
        self._wait_monitor = pipelinewaits.WaitMonitor(
            self._workers, self._attempts, self._pacer, metrics
        )
        self._evacuation = evacuation.Evacuation(metrics)
        self._mover = evacuation.Mover(self._attempts, self._pacer, metrics)
        # Monotonic time at which the latest commit began that succeeded.
        self._committed_s = -math.inf

    @property
    def registry(self) -> pipelineregistry.PipelineRegistry:
        """Registry of the pipelines and agents."""
        return self._registry

    @property
    def contention(self) -> contention.Contention:
        """Model of what fillers add to the latency of serving tasks."""
        return self._pacer.contention

    @property
    def advice(self) -> pipelineadvice.Advice:
        """Advice tickets for the queues that require them."""
        return self._starter.advice

    @property
    def grants(self) -> pipelinegrants.Grants:
        """Grants of leases to the workers."""
        return self._grants

    @property
    def evacuation(self) -> evacuation.Evacuation:
        """Zones that are being evacuated."""
        return self._evacuation

    @property
    def evacuated_lasting_tasks(self) -> int:
        """Lasting tasks in these zones, 0 if there are none."""
        return self._mover.staying_tasks if self._evacuation.zones else 0

    def next_silent(self, now: float) -> dict[fleet.WorkerKey, float]:
        """Returns the silent workers, see `pipelinegrants.Grants`."""
        return self._grants.next_silent(
            self._workers, self._reconciliation.keys, now
        )

    @property
    def has_uncommitted(self) -> bool:
        """Whether any state is not yet committed to the store."""
        return self._registry.has_uncommitted or bool(self._unacknowledged)

    def next_batch(self) -> pipelineregistry.Batch:
        """Returns the changes that the next commit stores."""
        return self._registry.next_batch(
            {
                key: self._workers[key].applied_end
                for key in self._unacknowledged
            }
        )

    @property
    def placements_recorded(self) -> bool:
        """Whether the store names every placement of a lasting task.

        The next leader then need not wait for all workers to start one.
        """
        return self._earlier_placements_recorded or self._to_record == set()

    def record_commit(self, began_s: float) -> None:
        """Records a commit that the store has acknowledged.

        Args:
            began_s: Monotonic time at which it began.
        """
        self._committed_s = began_s

    def has_recent_commit(self, now: float) -> bool:
        """Returns whether a start can be expected to be recorded soon."""
        return now - self._committed_s < evacuation.MAX_COMMIT_AGE_S

    def confirm(self, batch: pipelineregistry.Batch) -> list[fleet.Worker]:
        """Records that a batch is durable.

        Returns:
            Workers whose ends are newly acknowledged, or that have new orders;
            their agents must be notified.
        """
        self._registry.confirm(batch)
        if self._to_record:
            # A batch on its way may be older than what has to be recorded.
            self._to_record.difference_update(
                name
                for name in batch.progress
                if not self._registry.is_changed(name)
            )
        to_notify = {
            worker.key: worker
            for worker in self._starter.release_recorded(batch.progress)
        }
        for worker in self._workers.values() if batch.agents else ():
            worker.registered = self._registry.is_registered(
                worker.agent, (worker.id, worker.incarnation)
            )
        for key, number in batch.ends.items():
            worker = self._workers.get(key)
            if worker is not None and number > worker.acknowledged_end:
                worker.acknowledged_end = number
                to_notify[key] = worker
                if worker.applied_end <= number:
                    self._unacknowledged.discard(key)
        return list(to_notify.values())

    def forget(self, pipeline_id: str) -> None:
        """Drops the state of a pipeline whose declaration was removed."""
        self._registry.forget(pipeline_id)
        self._starter.forget(pipeline_id)
        if self._to_record:
            self._to_record.discard(pipeline_id)

    @property
    def epoch(self) -> int:
        """Epoch of the term."""
        return self._epoch

    @property
    def workers(self) -> dict[fleet.WorkerKey, fleet.Worker]:
        """All workers by id and incarnation."""
        return self._workers

    @property
    def unreported_agents(self) -> tuple[str, ...]:
        """Agents that may run work of earlier terms not yet reported."""
        return self._reconciliation.agents

    @property
    def agents(self) -> dict[str, str]:
        """Bus URLs of the registered agents, by name."""
        return {
            name: registration.bus
            for name, registration in self._registry.agents.items()
        }

    def set_queues(self, table: queues.QueueTable) -> None:
        """Applies a configuration of the queues."""
        if table is not self._queues:
            self._queues = table
            self._attempt_limits = {
                queue.name: queue.max_attempts for queue in table.queues
            }

    def set_evacuated_zones(self, zones: Iterable[str], now: float) -> None:
        """Applies the operator's rows at once, not only in the next round.

        Stored starts of lasting tasks would otherwise be ordered meanwhile.
        """
        if self._evacuation.set_zones(zones, now):
            self._mark_evacuated(self._workers.values())

    def _mark_evacuated(self, workers: Iterable[fleet.Worker]) -> None:
        """Marks workers; withdraws the starts on those that are evacuated now.

        All are marked first, so that a gang is dropped as a whole.
        """
        evacuated = []
        for worker in workers:
            covered = self._evacuation.covers(worker.state.zone)
            if covered and not worker.evacuated:
                evacuated.append(worker)
            worker.evacuated = covered
        if evacuated:
            self._starter.withdraw_from_evacuated(evacuated)

    def expect_agents(
        self,
        agents: dict[str, fleet.Registration],
        earlier_leases_end_s: float,
        unreadable: Iterable[str] = (),
        placements_recorded: bool = False,
        silent: Mapping[fleet.WorkerKey, float] = types.MappingProxyType({}),
    ) -> None:
        """Sets the agents that earlier leaders may have given work to.

        Args:
            agents: Their registrations by name.
            earlier_leases_end_s: Monotonic time at which all leases of earlier
                leaders have certainly lapsed.
            unreadable: Names of agents with malformed registrations.
            placements_recorded: Whether the stored progress names every worker
                on which earlier leaders placed a lasting task.
            silent: Workers that the lease row lists, each with the monotonic
                time at which its leases have certainly lapsed.
        """
        self._registry.set_agents(agents)
        self._reconciliation.begin(agents, unreadable)
        self._grants.begin(silent, earlier_leases_end_s)
        self._earlier_placements_recorded = placements_recorded

    def cancel(self, pipeline_id: str) -> None:
        """Cancels a pipeline at the request of its caller."""
        item = self._registry.pipelines.get(pipeline_id)
        if item is not None and item.end(
            pipeline.Phase.CANCELLED, int(self._unix_ms())
        ):
            log.emit(
                events.Events.PIPELINE_ENDED,
                pipeline=item.id,
                phase="cancelled",
            )
            self._close_pipeline(item)

    def apply_report(
        self,
        message: messages.AgentReport,
        bus: str,
        agent_incarnation: str,
        now: float,
    ) -> list[fleet.Worker]:
        """Applies the report of an agent.

        A report that a later one has overtaken is ignored: its lists lack the
        attempts that have started since.

        Returns:
            The workers that the report lists, without those that may have no
            work since their leases have lapsed.
        """
        reports = self._report_sequences.setdefault(
            message.agent, pipelinereports.ReportSequence()
        )
        if not reports.accept(
            agent_incarnation, message.started_ms, message.sequence, now
        ):
            self._metrics.count("reports_overtaken")
            return []
        for state in message.workers:
            self._apply_lapse(state, now)
        reported = _known_incarnations(message, self._lapsed)
        self._registry.register_agent(
            message.agent, bus, reported, message.complete
        )
        for crash in message.crashes:
            self._give_up_all(self._crashes.apply(message.agent, crash))
        for key in message.gone:
            self._remove_worker(
                key,
                now,
                "its agent reported its end",
                is_blameless=key in message.blameless,
            )
        self._give_up_all(self._crashes.explain(message))
        workers = []
        for state in message.workers:
            key = (state.worker, state.life)
            if key in self._ended_since_s or key in self._lapsed:
                continue
            workers.append(
                self._apply_state(
                    state, message.agent, bus, agent_incarnation, now
                )
            )
            workers[-1].address = message.addresses.get(state.worker, "")
        self._account_for(message, reported)
        return workers

    def run_round(self, now: float) -> None:
        """Decides which attempts to start, stop and pace now."""
        self._expire_workers(now)
        self._evacuation.check(self._workers.values(), now)
        self._registry.open_due(now)
        self._crashes.check()
        self._give_up_deferred()
        self._fail_exhausted()
        slowed: dict[str, list[fleet.Placement]] = {}
        for worker in self._workers.values():
            for placement in self._monitor.check(worker, now):
                name = placement.task.pipeline.id
                slowed.setdefault(name, []).append(placement)
        if self._evacuation.zones and self.has_recent_commit(now):
            self._mover.move(
                self._workers.values(),
                lambda task, workers: self._starter.permitted_workers(
                    task, workers, self._queues, now
                ),
                self._may_start,
                now,
            )
        self._packer.pack(self._workers.values(), now)
        self._starter.withdraw_from_silent(now)
        if self._reconciliation.is_complete:
            self._forget_earlier_attempts()
        self._starter.start_ready(
            [i for i in self._registry.open.values() if self._may_start_any(i)],
            self._workers.values(),
            self._queues,
            slowed,
            now,
            self._may_start,
            self._lapsing_tasks(now),
        )
        self._wait_monitor.check(
            self._registry.open.values(),
            self._may_start,
            self._queues,
            self.unreported_agents,
            now,
        )

    def orders_to_send(
        self, worker: fleet.Worker, now: float
    ) -> tuple[messages.Order, ...]:
        """Returns the orders to send to a worker now."""
        return worker.orders_to_send(now, RESEND_AFTER_S)

    def last_report(self, agent: str) -> int:
        """Returns the number of an agent's last report, 0 without any."""
        reports = self._report_sequences.get(agent)
        return 0 if reports is None else reports.sequence

    def report_interval_s(self, worker: fleet.Worker) -> float:
        """Returns how often a worker without news is to be reported."""
        if worker.reservations or any(
            placement.awaits_report for placement in worker.placements.values()
        ):
            return WAITED_REPORT_INTERVAL_S
        if worker.filler_millicores and worker.serving_millicores:
            return LEARNING_REPORT_INTERVAL_S
        return REPORT_INTERVAL_S

    def _apply_state(
        self,
        state: messages.WorkerState,
        agent: str,
        bus: str,
        agent_incarnation: str,
        now: float,
    ) -> fleet.Worker:
        key = (state.worker, state.life)
        worker = self._workers.get(key)
        if worker is None:
            worker = self._add_worker(state, agent, bus, now)
        worker.state = state
        worker.last_report_s = now
        worker.bus = bus
        restarted = (
            worker.agent_incarnation
            and worker.agent_incarnation != agent_incarnation
        )
        worker.agent_incarnation = agent_incarnation
        if restarted:
            self._apply_agent_restart(worker, state)
        worker.confirm_orders(state.received, now)
        if not state.fresh or not state.reachable:
            self._mark_evacuated([worker])
            return worker
        worker.last_listed_s = now
        self._apply_ends(worker, state, now)
        self._apply_running(worker, state, now)
        # What is listed as running goes on; what waits for this report is
        # not ordered.
        self._mark_evacuated([worker])
        if state.more_ended:
            self._partial_lists += 1
        else:
            worker.reconciled = True
        self._pacer.observe(worker, now)
        self._speeds.observe(worker, now)
        self._apply_results(worker, state, now)
        self._remove_missing(worker, state, now)
        self._starter.release_reported(worker)
        return worker

    def _apply_lapse(self, state: messages.WorkerState, now: float) -> None:
        """Records whether the leases of an incarnation have lapsed.

        Nothing runs on it then, and its agent starts nothing without a further
        grant.
        """
        key = (state.worker, state.life)
        if not state.lapsed:
            self._lapsed.discard(key)
        elif key not in self._lapsed:
            self._lapsed.add(key)
            self._remove_worker(key, now, "its leases have lapsed", ended=False)

    def _add_worker(
        self, state: messages.WorkerState, agent: str, bus: str, now: float
    ) -> fleet.Worker:
        worker = fleet.Worker(
            state.worker, state.life, agent, bus, state, now, now
        )
        worker.registered = self._registry.is_registered(
            agent, (worker.id, worker.incarnation)
        )
        (
            worker.last_order_number,
            worker.applied_result,
            worker.agent_incarnation,
        ) = self._last_numbers.pop(worker.key, (0, 0, ""))
        for name, incarnation in list(self._workers):
            if name == state.worker and incarnation < state.life:
                self._remove_worker((name, incarnation), now, "it restarted")
        self._workers[worker.id, worker.incarnation] = worker
        log.emit(
            events.Events.PIPELINE_WORKER_UP,
            worker=worker.id,
            life=worker.incarnation,
            agent=agent,
            capacity=attrs.astuple(state.capacity),
        )
        return worker

    def _all_reconciled(self, keys: tuple[fleet.WorkerKey, ...]) -> bool:
        """Returns whether each is reconciled, has ended or has lost its leases.

        Args:
            keys: Worker ids and incarnations.
        """
        for key in keys:
            worker = self._workers.get(key)
            if (
                key not in self._ended_since_s
                and key not in self._lapsed
                and not (worker and worker.reconciled)
            ):
                return False
        return True

    def _account_for(
        self,
        message: messages.AgentReport,
        reported: tuple[fleet.KnownIncarnation, ...],
    ) -> None:
        """Drops incarnations that run no unknown work of earlier terms.

        Args:
            message: Report of an agent.
            reported: Incarnations that it names and that may have work.
        """
        if message.complete and self._all_reconciled(message.lives):
            self._reconciliation.drop(message.agent)
            return
        self._reconciliation.account_for(
            message.agent, lambda known: self._is_accounted_for(known, reported)
        )

    def _is_accounted_for(
        self,
        known: fleet.KnownIncarnation,
        reported: tuple[fleet.KnownIncarnation, ...],
    ) -> bool:
        """Returns whether the attempts of an incarnation are known.

        Instead of the incarnation, its successor may be reconciled: this proves
        that the earlier one has ended and that late orders to it are refused.
        """
        return self._all_reconciled((known.key,)) or any(
            known.is_succeeded_by(other) and self._all_reconciled((other.key,))
            for other in reported
        )

    def _apply_agent_restart(
        self, worker: fleet.Worker, state: messages.WorkerState
    ) -> None:
        """Resolves the orders that an agent's earlier process left unconfirmed.

        An attempt that the worker does not list is stopped, so that a start
        order which is still in flight takes no effect.
        """
        running = {(row[0], row[1]) for row in state.running}
        ended = {(row[1], row[2]) for row in state.ended}
        worker.unconfirmed_orders.clear()
        # Their stops may be among the cleared orders.
        worker.orphans.clear()
        worker.applied_result = 0
        worker.instructed_s = 0.0
        for placement in worker.placements.values():
            if placement.key in running or placement.key in ended:
                if placement.state is fleet.AttemptState.STOPPING:
                    worker.enqueue_order(messages.STOP, placement)
                continue
            placement.state = fleet.AttemptState.STOPPING
            placement.stop_reason = "the agent restarted"
            worker.enqueue_order(messages.STOP, placement)

    def _apply_ends(
        self, worker: fleet.Worker, state: messages.WorkerState, now: float
    ) -> None:
        for number, task_id, attempt, end, checkpoint in state.ended:
            if number <= worker.applied_end:
                continue
            worker.applied_end = number
            self._applied_ends += 1
            self._unacknowledged.add((worker.id, worker.incarnation))
            placement = self._attempts.get((task_id, attempt))
            if placement is not None and placement.worker is not worker:
                placement = None
            # The task of an earlier occurrence may be dropped already.
            task = (
                self._registry.find_task(task_id)
                if placement is None
                else placement.task
            )
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
            ordered_s = 0.0
            if placement is not None:
                ordered_s = placement.ordered_s
                if end is pipeline.End.DONE:
                    self._speeds.record_done(placement, now)
                    self._run_times.record_done(placement, now)
                self._attempts.detach(placement)
            self._apply_end(
                task, attempt, end, checkpoint, worker, ordered_s, now
            )
            if placement is not None:
                self._attempts.release(task, now)

    def _apply_end(
        self,
        task: pipeline.Task,
        attempt: int,
        end: pipeline.End,
        checkpoint: str,
        worker: fleet.Worker,
        ordered_s: float,
        now: float,
    ) -> None:
        item = task.pipeline
        task.last_attempt = max(task.last_attempt, attempt)
        if checkpoint:
            task.checkpoint = checkpoint
            self._registry.mark_changed(item)
        match end:
            case pipeline.End.DONE if not task.stage.lasting:
                worker.last_success_s = now
                worker.failed_since_success.clear()
                self._complete_task(task, now)
            case pipeline.End.FAILED:
                self._apply_failure(task, attempt, worker, ordered_s, now)
            case pipeline.End.ALONE:
                task.not_before_s = now + REFUSAL_RETRY_DELAY_S

    def _complete_task(self, task: pipeline.Task, now: float) -> None:
        item = task.pipeline
        if task.phase is pipeline.TaskPhase.DONE:
            return
        ended_before = item.ended
        members = [task]
        if task.stage.gang:
            members = item.tasks(task.occurrence, task.stage_number)
        for member in members:
            self._crashes.stop_awaiting(member)
            if item.finish(member, now, int(self._unix_ms())):
                self._registry.mark_changed(item)
            for other in self._attempts.of_task(member):
                self._attempts.stop(other, "the task is done")
        if item.ended and not ended_before:
            log.emit(
                events.Events.PIPELINE_ENDED,
                pipeline=item.id,
                phase=item.phase.value,
                age_ms=int(item.age_s(now) * 1000),
            )
            self._close_pipeline(item)

    def _apply_failure(
        self,
        task: pipeline.Task,
        attempt: int,
        worker: fleet.Worker,
        ordered_s: float,
        now: float,
    ) -> None:
        item = task.pipeline
        limit = self._attempt_limits.get(item.declaration.queue, 0)
        self._crashes.apply_end(task, attempt)
        # Lasting tasks occasionally fail on healthy workers, too.
        if not task.stage.lasting or now - ordered_s < EARLY_FAILURE_S:
            task.failed_on[worker.id] = now
        worker.last_failure_s = now
        worker.failed_since_success.add(item.id)
        if len(worker.failed_since_success) >= FAILURES_TO_SUSPECT:
            self._monitor.suspect(worker, now, "attempts keep failing")
        if item.fail(task, attempt, limit, int(self._unix_ms())):
            self._registry.mark_changed(item)
        if item.ended:
            self._close_exhausted(task, limit)

    def _fail_exhausted(self) -> None:
        """Fails the pipelines of ready tasks that may not be attempted again.

        The last attempt of such a task failed while its queue, and so the
        limit, was not configured, or under a higher limit.
        """
        for item in list(self._registry.open.values()):
            limit = self._attempt_limits.get(item.declaration.queue, 0)
            if not (item.has_failures and limit):
                continue
            for task in item.ready.values():
                if task.has_exhausted(limit):
                    item.give_up(task, int(self._unix_ms()))
                    self._close_exhausted(task, limit)
                    break

    def _close_exhausted(self, task: pipeline.Task, limit: int) -> None:
        item = task.pipeline
        log.emit(
            events.Events.PIPELINE_ENDED,
            pipeline=item.id,
            phase=item.phase.value,
            task=task.id,
            attempts=sorted(task.failed_attempts),
            limit=limit,
        )
        self._close_pipeline(item)

    def _give_up_all(self, hopeless: list[pipeline.Task]) -> None:
        """Gives up tasks that crash each worker.

        An attempt that an earlier leader started may be running; this waits
        until it is known.
        """
        for task in hopeless:
            if self._may_start(task):
                self._give_up(task)
            else:
                self._hopeless[task] = None

    def _give_up_deferred(self) -> None:
        for task in list(self._hopeless):
            if task.pipeline.ended or self._may_start(task):
                del self._hopeless[task]
                if self._crashes.is_to_be_given_up(task):
                    self._give_up(task)

    def _give_up(self, task: pipeline.Task) -> None:
        """Fails the pipeline of a task that crashes each worker."""
        item = task.pipeline
        if not item.give_up(task, int(self._unix_ms())):
            return
        self._crashes.clear_others(task)
        self._metrics.count("tasks_given_up")
        log.emit(
            events.Events.PIPELINE_ENDED,
            pipeline=item.id,
            phase=item.phase.value,
            task=task.id,
            crashes=len(task.crashes),
            early_losses=len(task.counted_losses),
            unexplained_losses=len(task.unexplained_losses),
            hosts=sorted({crash.host for crash in task.crashes}),
        )
        self._close_pipeline(item)

    def _close_pipeline(self, item: pipeline.Pipeline) -> None:
        """Closes an ended pipeline and stops its remaining attempts."""
        self._registry.close(item)
        for task in item.unfinished():
            self._crashes.stop_awaiting(task)
            for placement in self._attempts.of_task(task):
                self._attempts.stop(placement, "the pipeline has ended")

    def _apply_running(
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
            self._update_placement(placement, checkpoint, percent, load, now)
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
        task = self._registry.find_task(task_id)
        if task is None:
            return None
        placement = fleet.Placement(task, attempt, worker, now, is_adopted=True)
        others = self._attempts.of_task(task)
        self._attempts.attach(placement)
        placement.state = fleet.AttemptState.RUNNING
        item = task.pipeline
        # A blocked task may be running: the previous leader received the ends
        # of the earlier stages, which have not been reported to this one yet.
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

    def _update_placement(
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
            placement.listed_since_ms = placement.worker.state.clock_ms
        if percent != placement.progress_percent:
            placement.progress_percent = percent
            placement.last_progress_s = now
        placement.load = load
        if checkpoint:
            placement.task.checkpoint = checkpoint

    def _apply_results(
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
                self._apply_refusal(placement, result.reason, now)
            elif result.outcome == messages.FENCED_OFF or (
                placement.state is fleet.AttemptState.STOPPING
            ):
                placement.fenced_off = True

    def _apply_refusal(
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
        if reason == "old":
            # An earlier leader used more numbers than are set aside for a term.
            task.last_attempt += pipelinestarts.ATTEMPTS_PER_EPOCH
        if reason not in _REASONS_OF_THE_TASK:
            task.refused_by[placement.worker.id] = now
        self._attempts.remove(placement, now)

    def _remove_missing(
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

    def _remove_worker(
        self,
        key: fleet.WorkerKey,
        now: float,
        reason: str,
        ended: bool = True,
        is_blameless: bool = False,
    ) -> None:
        """Removes an incarnation of a worker on which certainly nothing runs.

        Args:
            key: Worker id and incarnation.
            now: Monotonic seconds.
            reason: Reason for the log.
            ended: Whether the incarnation has ended, so that later reports
                about it are outdated and must be ignored.
            is_blameless: Whether its end is no sign of a crash.
        """
        if ended:
            self._ended_since_s[key] = now
            self._lapsed.discard(key)
        worker = self._workers.pop(key, None)
        self._speeds.forget(key)
        self._unacknowledged.discard(key)
        if worker is None:
            return
        self._last_numbers[key] = (
            worker.last_order_number,
            worker.applied_result,
            worker.agent_incarnation,
        )
        log.emit(
            events.Events.PIPELINE_WORKER_GONE,
            worker=worker.id,
            life=worker.incarnation,
            attempts=len(worker.placements),
            reason=reason,
        )
        hopeless = []
        for placement in list(worker.placements.values()):
            if not (is_blameless or worker.state.draining):
                if not ended:
                    self._crashes.record_lapse(placement)
                elif self._crashes.record_loss(placement):
                    hopeless.append(placement.task)
            placement.task.lapsed = not ended
            self._attempts.remove(placement, now)
        self._give_up_all(hopeless)

    def _expire_workers(self, now: float) -> None:
        for key, worker in list(self._workers.items()):
            if now - worker.lease_granted_s > self._max_lease_s:
                self._remove_worker(
                    key, now, "its leases have lapsed", ended=False
                )
                self._unregister(worker.agent, key)
        for key, ended_s in list(self._ended_since_s.items()):
            if now - ended_s > ENDED_RETENTION_S:
                del self._ended_since_s[key]
                self._last_numbers.pop(key, None)
        self._expire_unreported(now)

    def _expire_unreported(self, now: float) -> None:
        """Drops unreported incarnations whose leases have lapsed."""
        dropped = self._reconciliation.expire(now, self._lapse_s)
        for agent, lapsed in dropped:
            if not lapsed:
                self._registry.replace_malformed(agent)
            for known in lapsed:
                if not self._all_reconciled((known.key,)):
                    self._unregister(agent, known.key)
        self._mark_lapsed({k.key for _, lapsed in dropped for k in lapsed})
        if dropped:
            log.emit(
                events.Events.EARLIER_LEASES_LAPSED,
                agents=[agent for agent, _ in dropped],
            )

    def _lapse_s(self, key: fleet.WorkerKey | None) -> float:
        """Returns when the leases of an incarnation have certainly lapsed.

        Args:
            key: Worker id and incarnation, None for unknown ones.
        """
        return self._grants.lapse_s(key, self._workers.get(key))

    def _mark_lapsed(self, keys: set[fleet.WorkerKey]) -> None:
        """Records whose attempts of earlier terms have lapsed.

        Args:
            keys: Worker ids and incarnations whose leases have lapsed.
        """
        for item in self._registry.open.values() if keys else ():
            if item.declaration.lasting:
                for task in item.ready.values():
                    if task.earlier_placed_on and keys & task.earlier_placed_on:
                        task.lapsed = True

    def _unregister(self, agent: str, key: fleet.WorkerKey) -> None:
        """Stores that an incarnation has no work, as its leases have lapsed."""
        self._registry.unregister(agent, key)
        worker = self._workers.get(key)
        if worker is not None:
            worker.registered = False

    def _forget_earlier_attempts(self) -> None:
        """Applies, once, that all attempts of earlier terms are known."""
        if self._to_record is not None:
            return
        self._to_record = set()
        log.emit(
            events.Events.EARLIER_ATTEMPTS_KNOWN,
            epoch=self._epoch,
            ends=self._applied_ends,
            partial_lists=self._partial_lists,
        )
        for item in self._registry.open.values():
            if not item.declaration.lasting:
                continue
            item.forget_earlier_attempts()
            if not self._earlier_placements_recorded:
                self._registry.mark_changed(item)
                self._to_record.add(item.id)

    def _lapsing_tasks(self, now: float) -> dict[pipeline.Task, float]:
        """Returns the lasting tasks whose last attempts lapse soon.

        Their workers are silent. Members of gangs are left out, as room is kept
        for whole gangs only.

        Returns:
            Monotonic time of the lapse by task.
        """
        lapsing = {}
        for worker in self._workers.values():
            lapse_s = worker.lease_granted_s + self._max_lease_s
            if lapse_s <= now + PREPARE_S and not worker.is_heard(now):
                tasks = [p.task for p in worker.placements.values()]
                lapsing.update(dict.fromkeys(tasks, lapse_s))
        if not self._reconciliation.is_complete:
            for item in self._registry.open.values():
                if item.declaration.lasting:
                    for task in item.ready.values():
                        lapse_s = self._earlier_lapse_s(task)
                        if lapse_s <= now + PREPARE_S:
                            lapsing[task] = lapse_s
        return {
            task: lapse_s
            for task, lapse_s in lapsing.items()
            if task.stage.lasting
            and not task.stage.gang
            and not task.pipeline.ended
        }

    def _earlier_lapse_s(self, task: pipeline.Task) -> float:
        """Returns when a task of an earlier term may start at the latest.

        Infinity if it may start now, or if that time is not known.
        """
        if self._may_start(task) or not self._earlier_placements_recorded:
            return math.inf
        return max(
            (
                self._lapse_s(key)
                for key in task.earlier_placed_on or ()
                if self._reconciliation.may_run_work(key)
            ),
            default=math.inf,
        )

    def _may_start_any(self, item: pipeline.Pipeline) -> bool:
        """Returns whether any task of a pipeline may be allowed to start."""
        return (
            self._reconciliation.is_complete
            or item.version > self._lease_version
            or item.declaration.lasting
        )

    def _may_start(self, task: pipeline.Task) -> bool:
        """Returns whether no attempt of an earlier term can be running."""
        if (
            self._reconciliation.is_complete
            or task.pipeline.version > self._lease_version
        ):
            return True
        if not task.stage.lasting or task.earlier_placed_on is None:
            return False
        if not self._earlier_placements_recorded:
            return False
        return not any(
            map(self._reconciliation.may_run_work, task.earlier_placed_on)
        )


def _known_incarnations(
    message: messages.AgentReport, lapsed: set[fleet.WorkerKey]
) -> tuple[fleet.KnownIncarnation, ...]:
    """Returns the incarnations that a report names and that may have work."""
    states = {(state.worker, state.life): state for state in message.workers}
    reported = []
    for key in message.lives:
        if key in lapsed:
            continue
        address = message.addresses.get(key[0], "")
        state = states.get(key)
        if state is None:
            reported.append(fleet.KnownIncarnation(*key, address))
            continue
        reported.append(
            fleet.KnownIncarnation(
                *key,
                address,
                state.service,
                state.rack,
                state.labels,
                state.capacity,
            )
        )
    return tuple(reported)
