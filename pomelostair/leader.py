"""The leader of a cell: accepts jobs, places tasks and grants task leases.

Every agent campaigns for the lease of its cell. The holder schedules the cell
from state in memory. Events of one commit window are appended to the cell log
in one write; replies and orders that depend on them are sent only after that
write is committed.
"""

import attrs
import curio

from pomelostair import admission
from pomelostair import campaign
from pomelostair import cell as cell_module
from pomelostair import celllog
from pomelostair import cellview
from pomelostair import commitbuffer
from pomelostair import configuration
from pomelostair import declaration
from pomelostair import events
from pomelostair import kernel
from pomelostair import listing
from pomelostair import log
from pomelostair import membership
from pomelostair import messages
from pomelostair import outcome
from pomelostair import retention
from pomelostair import scheduler
from pomelostair import settings as settings_module
from pomelostair import siteorders
from pomelostair import snapshot
from pomelostair import store
from pomelostair import takeover
from pomelostair import taskleases
from pomelostair import termstate
from pomelostair import wire

RENEWALS_PER_LEASE = 3
MAX_EVENTS_PER_COMMIT = 2000
SNAPSHOT_AFTER_ROWS = 500
SNAPSHOT_AFTER_EVENTS = 20_000
RECOVERY_RETRY_S = 0.2
VACATE_TIMEOUT_S = 2.0


@kernel.plugin(settings_module.Role.AGENT)
class Leader(kernel.Plugin):
    """Campaigns for the cell's lease and schedules the cell while it holds it.

    It sends no start order without holding the lease. While the table can't be
    reached, it keeps renewing the leases of running tasks for
    `Timing.store_grace_s`.
    """

    requires = (
        membership.Membership,
        configuration.Configuration,
        siteorders.SiteOrders,
    )

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._timing = parts.settings.timing
        self._directory = host.get(membership.Membership).directory
        self._cell_log = celllog.CellLog(
            parts.table,
            parts.objects,
            parts.clock,
            parts.settings.cell,
            parts.settings.name,
            parts.bus.address,
            self._timing.cell_lease_ms / 1000,
        )
        self._campaign = campaign.Campaign(
            self._cell_log,
            parts.clock,
            parts.random,
            (self._timing.cell_lease_ms + self._timing.lease_margin_ms) / 1000,
            self._timing.campaign_ms / 1000,
            self._record_leader,
        )
        self._configuration = host.get(configuration.Configuration)
        self._site_orders = host.get(siteorders.SiteOrders)
        self._successor_epoch = 0
        self._start_term(takeover.Term(parts.settings.cell, 0, None))
        for message_type, handler in (
            (messages.SubmitJob, self._on_submit),
            (messages.ShowJob, self._on_show),
            (messages.CancelJob, self._on_cancel),
            (messages.ListTasks, self._on_list_tasks),
            (messages.ListWorkers, self._on_list_workers),
            (messages.DeclareWorkerDead, self._on_declare_worker_dead),
            (messages.Heartbeat, self._on_heartbeat),
            (messages.ExplainTask, self._on_explain),
            (messages.StepDown, self._on_step_down),
        ):
            parts.bus.handle(message_type, handler)

    @property
    def _renewal_s(self) -> float:
        return self._timing.cell_lease_ms / 1000 / RENEWALS_PER_LEASE

    @property
    def _is_superseded(self) -> bool:
        return self._successor_epoch > self._term.epoch

    async def run(self) -> None:
        """Campaigns and leads until cancelled, then gives the lease up."""
        while True:
            previous = await self._campaign.acquire()
            epoch = self._cell_log.epoch
            cell = self._parts.settings.cell
            log.emit(events.Events.LEASE_ACQUIRED, epoch=epoch)
            try:
                await self._run_term(takeover.Term(cell, epoch, previous))
            except curio.CancelledError:
                await self._release_lease()
                raise
            finally:
                self._leading = False
                self._cell_log.discard_lease()
                await self._refuse_waiters(
                    self._commit_buffer.drop_pending(), outcome.Ran.NO
                )
                log.emit(events.Events.LEASE_LOST, epoch=epoch)

    def _start_term(self, term: takeover.Term) -> None:
        now = self._parts.clock.now()
        self._term = term
        self._leading = False
        self._state = cell_module.State()
        self._workers: dict[str, termstate.Worker] = {}
        self._commit_buffer = commitbuffer.CommitBuffer()
        self._wakeup = curio.Event()
        self._scheduler = self._new_scheduler()
        self._retention = retention.Retention()
        self._task_leases = taskleases.TaskLeases(
            takeover.task_lease_timeout_s(self._timing),
            takeover.initial_horizon(term, self._timing, now),
        )
        self._applied_urgencies: tuple[declaration.KindUrgency, ...] | None = (
            None
        )
        self._rows_since_snapshot = 0
        self._events_since_snapshot = 0
        self._snapshot_in_progress = False
        self._append_task: curio.Task | None = None

    async def _run_term(self, term: takeover.Term) -> None:
        self._start_term(term)
        if not await self._recover():
            return
        step_down_request = await curio.spawn(
            takeover.request_step_down,
            self._parts.bus,
            self._parts.clock,
            self._timing,
            term,
            self._task_leases,
        )
        try:
            while not self._is_superseded and await self._run_iteration():
                pass
        finally:
            await step_down_request.cancel()

    async def _release_lease(self) -> None:
        """Gives the lease up, so that another agent can lead immediately.

        Runs after all plug-ins have drained, so that the tasks of this
        agent's own worker are moved to other workers under this lease.
        """
        if not self._leading:
            return
        self._leading = False
        if self._append_task is not None:
            await curio.ignore_after(VACATE_TIMEOUT_S, self._wait_for_commit)
        result = await curio.ignore_after(
            VACATE_TIMEOUT_S, self._cell_log.vacate
        )
        if isinstance(result, outcome.Committed):
            log.emit(events.Events.LEASE_GIVEN_UP, epoch=self._cell_log.epoch)

    async def _wait_for_commit(self) -> None:
        """Waits for the commit that was in flight when a stop came."""
        await self._finish_commit(self._commit_buffer.in_flight)

    async def _run_iteration(self) -> bool:
        """Commits, schedules and waits for the next event.

        Returns:
            Whether this process may still lead; False once the lease is lost
            or the outcome of a commit can't be determined.
        """
        self._end_lapsed_attempts()
        self._expire_jobs()
        match await self._commit():
            case outcome.Conflict() | outcome.Unknown():
                return False
            case outcome.Unavailable(reason=reason):
                log.emit(events.Events.LEASE_RENEWAL_FAILED, reason=reason)
                await curio.sleep(self._renewal_s)
                return True
        if not self._leading:
            self._leading = not self._is_superseded
            self._record_leader(self._cell_log.row)
        if self._cell_log.is_held:
            await self._schedule()
            await self._wait_for_work()
        return True

    def _record_leader(self, row: celllog.LeaseRow) -> None:
        self._directory.update_leader(
            messages.LeaderAddress(
                self._parts.settings.cell, row.epoch, row.holder, row.bus
            )
        )

    async def _recover(self) -> bool:
        while True:
            match await self._cell_log.replay():
                case celllog.Recovered() as recovered:
                    self._restore(recovered)
                    return True
                case outcome.Conflict():
                    return False
                case celllog.Damaged(reason=reason):
                    log.emit(events.Events.LOG_DAMAGED, reason=reason)
            await curio.sleep(RECOVERY_RETRY_S)

    def _restore(self, recovered: celllog.Recovered) -> None:
        if recovered.snapshot is not None:
            self._state = snapshot.decode(recovered.snapshot)
        for event in recovered.events:
            self._state.apply(event)
        self._rows_since_snapshot = recovered.rows
        self._events_since_snapshot = len(recovered.events)
        log.emit(
            events.Events.CELL_RECOVERED,
            rows=recovered.rows,
            events=len(recovered.events),
        )

    async def _wait_for_work(self) -> None:
        if self._commit_buffer.none_pending:
            await curio.ignore_after(self._renewal_s, self._wakeup.wait)
        if self._wakeup.is_set():
            await curio.sleep(self._timing.commit_window_ms / 1000)
        self._wakeup.clear()

    async def _commit(self) -> outcome.CommitResult:
        batch = self._commit_buffer.start_commit(MAX_EVENTS_PER_COMMIT)
        settled = self._parts.clock.now() > self._task_leases.horizon
        self._append_task = await curio.spawn(
            self._cell_log.append, batch, settled, daemon=True
        )
        return await self._finish_commit(batch)

    async def _finish_commit(
        self, batch: tuple[cell_module.Event, ...]
    ) -> outcome.CommitResult:
        assert self._append_task is not None
        result = await self._append_task.join()
        self._append_task = None
        match result:
            case outcome.Committed():
                await self._apply_committed(batch)
            case outcome.Unknown():
                waiters = self._commit_buffer.commit_failed()
                await self._refuse_waiters(waiters, outcome.Ran.UNKNOWN)
            case _:
                waiters = self._commit_buffer.commit_failed()
                await self._refuse_waiters(waiters, outcome.Ran.NO)
        return result

    async def _apply_committed(
        self, batch: tuple[cell_module.Event, ...]
    ) -> None:
        for event in batch:
            self._state.apply(event)
            self._process_committed(event)
        waiters = self._commit_buffer.commit_succeeded()
        for waiter in waiters:
            await self._send_reply(waiter.envelope, waiter.make_answer())
        if batch:
            self._rows_since_snapshot += 1
            self._events_since_snapshot += len(batch)
            await self._write_snapshot_if_due()

    def _process_committed(self, event: cell_module.Event) -> None:
        match event:
            case cell_module.TaskPlaced():
                log.emit(events.Events.TASK_STARTED, **attrs.asdict(event))
            case cell_module.TaskEnded(task=task, attempt=attempt, end=end):
                event_type = events.Events.TASK_ENDED
                if end is messages.TaskEnd.LAPSED:
                    event_type = events.Events.TASK_LOST
                log.emit(
                    event_type,
                    task=task,
                    attempt=attempt,
                    end=end.value,
                )
            case cell_module.JobsExpired(jobs=jobs):
                self._retention.discard(jobs)

    async def _write_snapshot_if_due(self) -> None:
        due = (
            self._rows_since_snapshot >= SNAPSHOT_AFTER_ROWS
            or self._events_since_snapshot >= SNAPSHOT_AFTER_EVENTS
        )
        if due and not self._snapshot_in_progress:
            self._snapshot_in_progress = True
            data = snapshot.encode(self._state)
            covered = self._cell_log.sequence
            await curio.spawn(
                self._write_snapshot, data, covered, self._term, daemon=True
            )
            self._rows_since_snapshot = self._events_since_snapshot = 0

    async def _write_snapshot(
        self, data: bytes, covered: int, term: takeover.Term
    ) -> None:
        result = await self._cell_log.write_snapshot(data, covered)
        if self._term is term:
            self._snapshot_in_progress = False
        self._parts.metrics.count(
            "snapshots", outcome=type(result).__name__.lower()
        )
        if isinstance(result, store.Stored):
            log.emit(events.Events.SNAPSHOT_WRITTEN, bytes=len(data))

    def _end_lapsed_attempts(self) -> None:
        """Ends the attempts on workers whose leases have certainly lapsed."""
        now = self._parts.clock.now()
        for worker in self._state.workers_with_tasks():
            if not self._task_leases.have_lapsed(worker, now):
                continue
            for task in self._state.placed_on(worker):
                self._commit_buffer.add(
                    _lapsed_end(task, f"{worker} was silent")
                )

    def _expire_jobs(self) -> None:
        now = self._parts.clock.now()
        self._retention.record_ended(self._state.ended, now)
        due = self._retention.expired(now)
        if due:
            self._commit_buffer.add(cell_module.JobsExpired(due))

    async def _refuse_waiters(
        self, waiters: list[commitbuffer.Waiter], ran: outcome.Ran
    ) -> None:
        refused = outcome.Refused(
            outcome.Kind.STORE_UNAVAILABLE,
            "repeat with the same id; the platform's table can't be reached",
            ran,
        )
        for waiter in waiters:
            await self._send_reply(waiter.envelope, refused)

    async def _send_reply(self, envelope: wire.Envelope, answer: object):
        """Replies in the background, as the caller may be unreachable."""
        await curio.spawn(self._parts.bus.reply, envelope, answer, daemon=True)

    async def _add_event(
        self,
        event: cell_module.Event,
        waiter: commitbuffer.Waiter | None = None,
    ) -> None:
        self._commit_buffer.add(event, waiter)
        await self._wakeup.set()

    async def _on_submit(self, message: messages.SubmitJob, envelope) -> None:
        refused = self._refusal(writes=True) or self._check_submission(
            message.spec
        )
        if refused is not None:
            await self._send_reply(envelope, refused)
            return
        spec = message.spec
        if spec.id in self._state.jobs:
            answer = messages.JobAccepted(spec.id, created=False)
            await self._reply_under_lease(envelope, answer)
            return
        created = self._commit_buffer.submitted_spec(spec.id) is None
        answer = messages.JobAccepted(spec.id, created)
        waiter = commitbuffer.Waiter(envelope, lambda: answer)
        await self._add_event(cell_module.JobSubmitted(spec), waiter)
        urgency = self._urgency_in_force(spec)
        if urgency is not spec.urgency:
            await self._add_event(cell_module.UrgencySet(spec.id, urgency))

    def _urgency_in_force(self, spec: messages.JobSpec) -> messages.Urgency:
        declared = self._configuration.in_force.declarations
        return declared.urgency_of(spec.kind, spec.urgency)

    def _add_urgency_changes(self) -> None:
        """Adds events that apply a change of the declared urgency classes."""
        urgencies = self._configuration.in_force.declarations.urgencies
        if urgencies == self._applied_urgencies:
            return
        self._applied_urgencies = urgencies
        for job in self._state.jobs.values():
            urgency = self._urgency_in_force(job.spec)
            if job.state is cell_module.JobState.ACTIVE and any(
                task.spec.urgency is not urgency for task in job.tasks[:1]
            ):
                event = cell_module.UrgencySet(job.spec.id, urgency)
                self._commit_buffer.add(event)

    def _check_submission(
        self, spec: messages.JobSpec
    ) -> outcome.Refused | None:
        """Returns why a submission is refused, None if it is accepted."""
        existing_spec = self._commit_buffer.submitted_spec(spec.id)
        if spec.id in self._state.jobs:
            existing_spec = self._state.jobs[spec.id].spec
        if existing_spec is None:
            return self._check_admission(spec)
        if existing_spec != spec:
            return outcome.Refused(
                outcome.Kind.CONFLICT,
                f"choose another id; job {spec.id} was submitted with a "
                "different specification",
            )
        return None

    def _check_admission(
        self, spec: messages.JobSpec
    ) -> outcome.Refused | None:
        load = admission.CellLoad(len(self._state.tasks))
        declarations = self._configuration.in_force.declarations
        now = self._parts.clock.now()
        return (
            self._site_orders.job_refusal()
            or admission.check(spec, load, declarations)
            or self._scheduler.check_admission(spec, self._workers, now)
        )

    async def _on_show(self, message: messages.ShowJob, envelope) -> None:
        answer = self._refusal(writes=False) or self._job_view(message.id)
        await self._reply_under_lease(envelope, answer)

    def _job_view(self, job_id: str) -> messages.JobView | outcome.Refused:
        job = self._state.jobs.get(job_id)
        return (
            _unknown_job_refusal(job_id)
            if job is None
            else cell_module.job_view(job)
        )

    async def _on_cancel(self, message: messages.CancelJob, envelope) -> None:
        refused = self._refusal(writes=True)
        job = self._state.jobs.get(message.id)
        active = job is not None and job.state is cell_module.JobState.ACTIVE
        if refused is None and (
            active or self._commit_buffer.submitted_spec(message.id)
        ):
            waiter = commitbuffer.Waiter(
                envelope, lambda: self._job_view(message.id)
            )
            event = cell_module.JobCancelled(message.id)
            await self._add_event(event, waiter)
            return
        answer = refused or self._job_view(message.id)
        await self._reply_under_lease(envelope, answer)

    async def _on_list_tasks(
        self, message: messages.ListTasks, envelope
    ) -> None:
        answer = self._refusal(writes=False)
        if answer is None:
            answer = listing.tasks(self._state, message)
        await self._reply_under_lease(envelope, answer)

    async def _on_list_workers(
        self, _message: messages.ListWorkers, envelope
    ) -> None:
        answer = self._refusal(writes=False)
        if answer is None:
            answer = listing.workers(self._state, self._listed_workers())
        await self._reply_under_lease(envelope, answer)

    def _listed_workers(self) -> dict[str, listing.WorkerContact]:
        now = self._parts.clock.now()
        silent_s = self._timing.silent_ms / 1000
        return {
            name: listing.WorkerContact(
                worker.heartbeat,
                now - worker.last_granted_s,
                now - worker.last_granted_s > silent_s,
            )
            for name, worker in self._workers.items()
        }

    async def _on_declare_worker_dead(
        self, message: messages.DeclareWorkerDead, envelope
    ) -> None:
        refused = self._refusal(writes=True)
        if refused is not None:
            await self._send_reply(envelope, refused)
            return
        worker = message.worker
        log.emit(events.Events.WORKER_DECLARED_DEAD, worker=worker)
        self._workers.pop(worker, None)
        ends = [
            _lapsed_end(task, f"{worker} was declared dead by an operator")
            for task in self._state.placed_on(worker)
        ]
        answer = messages.WorkerDeclaredDead(
            worker, tuple(end.task for end in ends)
        )
        if not ends:
            await self._reply_under_lease(envelope, answer)
            return
        for end in ends[:-1]:
            await self._add_event(end)
        waiter = commitbuffer.Waiter(envelope, lambda: answer)
        await self._add_event(ends[-1], waiter)

    async def _on_explain(
        self, message: messages.ExplainTask, envelope
    ) -> None:
        answer = self._refusal(writes=False)
        if answer is None:
            answer = self._scheduler.explain(message.task, self._state)
        await self._reply_under_lease(envelope, answer)

    async def _on_step_down(self, message: messages.StepDown, envelope) -> None:
        """Stops granting leases in this term, as a later leader asks for.

        The answer tells that leader how long leases of earlier leaders may
        still run, so that it need not wait for the whole grace.
        """
        settings = self._parts.settings
        if (message.cell, message.holder) != (settings.cell, settings.name):
            self._parts.metrics.count("step_downs_ignored")
            return
        self._successor_epoch = max(self._successor_epoch, message.epoch)
        if self._is_superseded:
            self._leading = False
            await self._wakeup.set()
        remembers = self._term.epoch == message.previous
        remaining_s = max(
            0.0, self._task_leases.horizon - self._parts.clock.now()
        )
        answer = messages.SteppedDown(remembers, remaining_s)
        await self._send_reply(envelope, answer)

    def _refusal(self, writes: bool) -> outcome.Refused | None:
        """Returns why a call can't be served, None if it can."""
        if not self._leading:
            return _not_leader_refusal()
        if self._cell_log.has_store_outage and (
            writes or not self._cell_log.is_held
        ):
            return outcome.Refused(
                outcome.Kind.STORE_UNAVAILABLE,
                "repeat later; the platform's table can't be reached",
            )
        return None if self._cell_log.is_held else _not_leader_refusal()

    async def _reply_under_lease(self, envelope, answer: object) -> None:
        """Replies with an answer that is valid only while the lease is held."""
        await curio.spawn(self._reply_if_held, envelope, answer, daemon=True)

    async def _reply_if_held(self, envelope, answer: object) -> None:
        is_refusal = isinstance(answer, outcome.Refused)
        if not is_refusal and not (self._leading and self._cell_log.is_held):
            answer = _not_leader_refusal()
        await self._parts.bus.reply(envelope, answer)

    async def _on_heartbeat(
        self, message: messages.Heartbeat, envelope
    ) -> None:
        received_s = self._parts.clock.now()
        if not self._leading:
            self._parts.metrics.count("heartbeats_refused", reason="not-leader")
            return
        if self._is_lapsing(message.worker):
            self._parts.metrics.count("heartbeats_refused", reason="lapsing")
            return
        if self._cell_log.is_held:
            await self._process_heartbeat(message, envelope, received_s)
        elif self._cell_log.may_renew_task_leases(self._timing.store_grace_s):
            await self._renew_during_outage(message, envelope, received_s)
        else:
            self._parts.metrics.count("heartbeats_refused", reason="no-lease")

    def _is_lapsing(self, worker: str) -> bool:
        lapsing = self._commit_buffer.lapsing_tasks
        return bool(lapsing) and any(
            task.id in lapsing for task in self._state.placed_on(worker)
        )

    async def _process_heartbeat(
        self, message: messages.Heartbeat, envelope, received_s: float
    ) -> None:
        self._workers[message.worker] = termstate.Worker(
            envelope.reply_to, message, received_s
        )
        self._scheduler.observe(message, self._state, received_s)
        for ended in message.ended:
            await self._record_attempt_end(self._scheduler.classify_end(ended))
        reply = self._scheduler.reply(
            message, self._state, self._cell_log.epoch, received_s
        )
        for event in reply.events:
            await self._add_event(event)
        self._task_leases.acknowledge(message.worker, received_s)
        await self._reply_under_lease(envelope, reply.ack)

    async def _renew_during_outage(
        self, message: messages.Heartbeat, envelope, received_s: float
    ) -> None:
        """Renews the leases of running tasks while the table can't be reached.

        The answer carries no starts, stops or acknowledgements.
        """
        running = {(usage.task, usage.attempt) for usage in message.usage}
        renew = tuple(
            (task.id, task.attempt)
            for task in self._state.placed_on(message.worker)
            if (task.id, task.attempt) in running and self._has_active_job(task)
        )
        self._task_leases.acknowledge(message.worker, received_s)
        self._parts.metrics.count("grace_renewals")
        ack = messages.HeartbeatAck(self._cell_log.epoch, renew=renew)
        await self._send_reply(envelope, ack)

    def _has_active_job(self, task: cell_module.Task) -> bool:
        job = self._state.jobs[task.spec.id]
        return job.state is cell_module.JobState.ACTIVE

    async def _record_attempt_end(self, ended: messages.TaskEnded) -> None:
        task = self._state.tasks.get(ended.task)
        if task is None or not self._is_current_attempt(task, ended.attempt):
            return
        event = cell_module.TaskEnded(
            ended.task,
            ended.attempt,
            ended.end,
            ended.detail,
            ended.checkpoint,
        )
        await self._add_event(event)

    def _is_current_attempt(self, task: cell_module.Task, attempt: int) -> bool:
        return (
            task.state is cell_module.TaskState.PLACED
            and task.attempt == attempt
        )

    async def _schedule(self) -> None:
        self._add_urgency_changes()
        plan = self._scheduler.plan(
            cellview.RoundInputs(
                self._state,
                self._commit_buffer.uncommitted,
                self._workers,
                self._configuration.in_force.declarations,
                self._parts.clock.now(),
                self._site_orders.stop_state,
            )
        )
        for event in plan.events:
            self._commit_buffer.add(event)
        if plan.events:
            await self._commit()
        for worker in plan.workers_to_notify:
            await self._nudge(worker)

    def _new_scheduler(self) -> scheduler.Scheduler:
        return scheduler.Scheduler(
            self._timing, self._parts.metrics, self._parts.clock.now()
        )

    async def _nudge(self, worker: str) -> None:
        known_worker = self._workers.get(worker)
        if known_worker is not None and self._cell_log.is_held:
            nudge = messages.Nudge(self._cell_log.epoch)
            await curio.spawn(
                self._parts.bus.send, known_worker.bus, nudge, daemon=True
            )


def _lapsed_end(task: cell_module.Task, detail: str) -> cell_module.TaskEnded:
    return cell_module.TaskEnded(
        task.id, task.attempt, messages.TaskEnd.LAPSED, detail
    )


def _not_leader_refusal() -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.NOT_LEADER, "repeat; the leader of the cell changed"
    )


def _unknown_job_refusal(job_id: str) -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.UNKNOWN_JOB,
        f"job {job_id} is unknown; name an existing job",
    )
