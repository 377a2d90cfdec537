"""The leader of a cell: accepts jobs, places tasks and grants task leases.

Every agent campaigns for its cell's lease; the holder schedules the cell from
memory. Changes are collected for one commit window and logged together; their
effects leave this process only after that commit.
"""

import attrs
import curio

from pomelostair import admission
from pomelostair import campaign
from pomelostair import cell as cell_module
from pomelostair import celllog
from pomelostair import configuration
from pomelostair import declaration
from pomelostair import events
from pomelostair import journal as journal_module
from pomelostair import kernel
from pomelostair import lapse
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
from pomelostair import succession
from pomelostair import survey
from pomelostair import term as term_module
from pomelostair import wire

RENEWALS_PER_LEASE = 3
MAX_EVENTS_PER_COMMIT = 2000
SNAPSHOT_ROWS = 500
SNAPSHOT_EVENTS = 20_000
RECOVERY_RETRY_S = 0.2
VACATE_TIMEOUT_S = 2.0


@kernel.plugin(settings_module.Role.AGENT)
class Leader(kernel.Plugin):
    """Campaigns for the cell's lease and schedules the cell under it."""

    requires = (
        membership.Membership,
        configuration.Configuration,
        siteorders.SiteOrders,
    )

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._timing = parts.settings.timing
        self._directory = host.get(membership.Membership).directory
        self._log = celllog.CellLog(
            parts.table,
            parts.objects,
            parts.clock,
            parts.settings.cell,
            parts.settings.name,
            parts.bus.address,
            self._timing.cell_lease_ms / 1000,
        )
        self._campaign = campaign.Campaign(
            self._log,
            parts.clock,
            parts.random,
            (self._timing.cell_lease_ms + self._timing.lease_margin_ms) / 1000,
            self._timing.campaign_ms / 1000,
            self._announce,
        )
        self._configuration = host.get(configuration.Configuration)
        self._orders = host.get(siteorders.SiteOrders)
        self._deposed_by = 0
        self._begin(succession.Term(parts.settings.cell, 0, None))
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
    def _is_deposed(self) -> bool:
        return self._deposed_by > self._term.epoch

    async def run(self) -> None:
        """Campaigns and leads until cancelled, then hands over."""
        while True:
            previous = await self._campaign.win()
            epoch = self._log.epoch
            cell = self._parts.settings.cell
            log.emit(events.Events.LEASE_ACQUIRED, epoch=epoch)
            try:
                await self._lead(succession.Term(cell, epoch, previous))
            except curio.CancelledError:
                await self._vacate()
                raise
            finally:
                self._leading = False
                self._log.release()
                await self._refuse(self._journal.abandon(), outcome.Ran.NO)
                log.emit(events.Events.LEASE_LOST, epoch=epoch)

    def _begin(self, term: succession.Term) -> None:
        now = self._parts.clock.now()
        self._term = term
        self._leading = False
        self._state = cell_module.State()
        self._workers: dict[str, term_module.Worker] = {}
        self._journal = journal_module.Journal()
        self._work = curio.Event()
        self._scheduler = self._new_scheduler()
        self._retention = retention.Retention()
        self._leases = lapse.Leases(
            succession.lease_s(self._timing),
            succession.first_horizon(term, self._timing, now),
        )
        self._urgencies: tuple[declaration.KindUrgency, ...] | None = None
        self._rows = 0
        self._events = 0
        self._saving = False
        self._append: curio.Task | None = None

    async def _lead(self, term: succession.Term) -> None:
        self._begin(term)
        if not await self._recover():
            return
        asking = await curio.spawn(
            succession.depose,
            self._parts.bus,
            self._parts.clock,
            self._timing,
            term,
            self._leases,
        )
        try:
            while not self._is_deposed and await self._work_once():
                pass
        finally:
            await asking.cancel()

    async def _vacate(self) -> None:
        """Gives the lease up, so that another agent leads at once.

        This comes after all plug-ins have drained, so that the tasks of this
        agent's own worker are moved away under its lease.
        """
        if not self._leading:
            return
        self._leading = False
        if self._append is not None:
            await curio.ignore_after(VACATE_TIMEOUT_S, self._finish_append)
        result = await curio.ignore_after(VACATE_TIMEOUT_S, self._log.vacate)
        if isinstance(result, outcome.Committed):
            log.emit(events.Events.LEASE_GIVEN_UP, epoch=self._log.epoch)

    async def _finish_append(self) -> None:
        """Waits for the commit that a stop interrupted."""
        await self._finish_commit(self._journal.sent)

    async def _work_once(self) -> bool:
        """Commits, schedules and waits; returns whether to go on."""
        self._collect_lapsed()
        self._collect_expired()
        match await self._commit():
            case outcome.Conflict() | outcome.Unknown():
                return False
            case outcome.Unavailable(reason=reason):
                log.emit(events.Events.LEASE_RENEWAL_FAILED, reason=reason)
                await curio.sleep(self._renewal_s)
                return True
        if not self._leading:
            self._leading = not self._is_deposed
            self._announce(self._log.row)
        if self._log.held:
            await self._schedule()
            await self._wait_for_work()
        return True

    def _announce(self, row: celllog.LeaseRow) -> None:
        self._directory.learn_leader(
            messages.LeaderAddress(
                self._parts.settings.cell, row.epoch, row.holder, row.bus
            )
        )

    async def _recover(self) -> bool:
        while True:
            match await self._log.replay():
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
        self._rows = recovered.rows
        self._events = len(recovered.events)
        log.emit(
            events.Events.CELL_RECOVERED,
            rows=recovered.rows,
            events=len(recovered.events),
        )

    async def _wait_for_work(self) -> None:
        if self._journal.empty:
            await curio.ignore_after(self._renewal_s, self._work.wait)
        if self._work.is_set():
            await curio.sleep(self._timing.commit_window_ms / 1000)
        self._work.clear()

    async def _commit(self) -> outcome.CommitResult:
        batch = self._journal.take(MAX_EVENTS_PER_COMMIT)
        settled = self._parts.clock.now() > self._leases.horizon
        self._append = await curio.spawn(
            self._log.append, batch, settled, daemon=True
        )
        return await self._finish_commit(batch)

    async def _finish_commit(
        self, batch: tuple[cell_module.Event, ...]
    ) -> outcome.CommitResult:
        assert self._append is not None
        result = await self._append.join()
        self._append = None
        match result:
            case outcome.Committed():
                await self._accept(batch)
            case outcome.Unknown():
                waiters = self._journal.withdraw()
                await self._refuse(waiters, outcome.Ran.UNKNOWN)
            case _:
                waiters = self._journal.withdraw()
                await self._refuse(waiters, outcome.Ran.NO)
        return result

    async def _accept(self, batch: tuple[cell_module.Event, ...]) -> None:
        for event in batch:
            self._state.apply(event)
            self._report(event)
        waiters = self._journal.finish()
        for waiter in waiters:
            await self._send_reply(waiter.envelope, waiter.answer())
        if batch:
            self._rows += 1
            self._events += len(batch)
            await self._save_if_due()

    def _report(self, event: cell_module.Event) -> None:
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
                self._retention.forget(jobs)

    async def _save_if_due(self) -> None:
        due = self._rows >= SNAPSHOT_ROWS or self._events >= SNAPSHOT_EVENTS
        if due and not self._saving:
            self._saving = True
            data = snapshot.encode(self._state)
            covered = self._log.sequence
            await curio.spawn(
                self._save, data, covered, self._term, daemon=True
            )
            self._rows = self._events = 0

    async def _save(
        self, data: bytes, covered: int, term: succession.Term
    ) -> None:
        written = await self._log.write_snapshot(data, covered)
        if self._term is term:
            self._saving = False
        self._parts.metrics.count(
            "snapshots", outcome=type(written).__name__.lower()
        )
        if isinstance(written, store.Stored):
            log.emit(events.Events.SNAPSHOT_WRITTEN, bytes=len(data))

    def _collect_lapsed(self) -> None:
        """Ends the attempts on workers whose leases have surely lapsed."""
        now = self._parts.clock.now()
        for worker in self._state.holders():
            if not self._leases.have_lapsed(worker, now):
                continue
            for task in self._state.placed_on(worker):
                self._journal.add(_lapsed(task, f"{worker} was silent"))

    def _collect_expired(self) -> None:
        now = self._parts.clock.now()
        self._retention.note(self._state.ended, now)
        due = self._retention.due(now)
        if due:
            self._journal.add(cell_module.JobsExpired(due))

    async def _refuse(
        self, waiters: list[journal_module.Waiter], ran: outcome.Ran
    ) -> None:
        refused = outcome.Refused(
            outcome.Kind.STORE_UNAVAILABLE,
            "repeat with the same id; the platform's table is not reached",
            ran,
        )
        for waiter in waiters:
            await self._send_reply(waiter.envelope, refused)

    async def _send_reply(self, envelope: wire.Envelope, answer: object):
        """Replies without waiting for a caller that can't be reached."""
        await curio.spawn(self._parts.bus.reply, envelope, answer, daemon=True)

    async def _log_event(
        self,
        event: cell_module.Event,
        waiter: journal_module.Waiter | None = None,
    ) -> None:
        self._journal.add(event, waiter)
        await self._work.set()

    async def _on_submit(self, message: messages.SubmitJob, envelope) -> None:
        refused = self._refusal(writes=True) or self._check(message.spec)
        if refused is not None:
            await self._send_reply(envelope, refused)
            return
        spec = message.spec
        if spec.id in self._state.jobs:
            answer = messages.JobAccepted(spec.id, created=False)
            await self._reply_under_lease(envelope, answer)
            return
        created = self._journal.submitted(spec.id) is None
        answer = messages.JobAccepted(spec.id, created)
        waiter = journal_module.Waiter(envelope, lambda: answer)
        await self._log_event(cell_module.JobSubmitted(spec), waiter)
        wanted = self._urgency(spec)
        if wanted is not spec.urgency:
            await self._log_event(cell_module.UrgencySet(spec.id, wanted))

    def _urgency(self, spec: messages.JobSpec) -> messages.Urgency:
        declared = self._configuration.in_force.declarations
        return declared.urgency_of(spec.kind, spec.urgency)

    def _set_urgencies(self) -> None:
        """Follows a change of the urgency classes in force."""
        wanted = self._configuration.in_force.declarations.urgencies
        if wanted == self._urgencies:
            return
        self._urgencies = wanted
        for job in self._state.jobs.values():
            urgency = self._urgency(job.spec)
            if job.state is cell_module.JobState.ACTIVE and any(
                task.spec.urgency is not urgency for task in job.tasks[:1]
            ):
                event = cell_module.UrgencySet(job.spec.id, urgency)
                self._journal.add(event)

    def _check(self, spec: messages.JobSpec) -> outcome.Refused | None:
        """Returns why a submission is refused, None if it may go on."""
        known = self._journal.submitted(spec.id)
        if spec.id in self._state.jobs:
            known = self._state.jobs[spec.id].spec
        if known is None:
            return self._admit(spec)
        if known != spec:
            return outcome.Refused(
                outcome.Kind.CONFLICT,
                f"choose another id; job {spec.id} was submitted with a "
                "different specification",
            )
        return None

    def _admit(self, spec: messages.JobSpec) -> outcome.Refused | None:
        load = admission.Load(len(self._state.tasks))
        declarations = self._configuration.in_force.declarations
        now = self._parts.clock.now()
        return (
            self._orders.job_refusal()
            or admission.check(spec, load, declarations)
            or self._scheduler.admit(spec, self._workers, now)
        )

    async def _on_show(self, message: messages.ShowJob, envelope) -> None:
        answer = self._refusal(writes=False) or self._view(message.id)
        await self._reply_under_lease(envelope, answer)

    def _view(self, job_id: str) -> messages.JobView | outcome.Refused:
        job = self._state.jobs.get(job_id)
        return _unknown_job(job_id) if job is None else cell_module.view(job)

    async def _on_cancel(self, message: messages.CancelJob, envelope) -> None:
        refused = self._refusal(writes=True)
        job = self._state.jobs.get(message.id)
        active = job is not None and job.state is cell_module.JobState.ACTIVE
        if refused is None and (active or self._journal.submitted(message.id)):
            waiter = journal_module.Waiter(
                envelope, lambda: self._view(message.id)
            )
            event = cell_module.JobCancelled(message.id)
            await self._log_event(event, waiter)
            return
        answer = refused or self._view(message.id)
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
            answer = listing.workers(self._state, self._seen())
        await self._reply_under_lease(envelope, answer)

    def _seen(self) -> dict[str, listing.Seen]:
        now = self._parts.clock.now()
        silent_s = self._timing.silent_ms / 1000
        return {
            name: listing.Seen(
                worker.heartbeat,
                now - worker.granted,
                now - worker.granted > silent_s,
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
            _lapsed(task, f"{worker} was declared dead by an operator")
            for task in self._state.placed_on(worker)
        ]
        answer = messages.WorkerDeclaredDead(
            worker, tuple(end.task for end in ends)
        )
        if not ends:
            await self._reply_under_lease(envelope, answer)
            return
        for end in ends[:-1]:
            await self._log_event(end)
        waiter = journal_module.Waiter(envelope, lambda: answer)
        await self._log_event(ends[-1], waiter)

    async def _on_explain(
        self, message: messages.ExplainTask, envelope
    ) -> None:
        answer = self._refusal(writes=False)
        if answer is None:
            answer = self._scheduler.explain(message.task, self._state)
        await self._reply_under_lease(envelope, answer)

    async def _on_step_down(self, message: messages.StepDown, envelope) -> None:
        """Stops granting for good, for the sake of a later leader."""
        settings = self._parts.settings
        if (message.cell, message.holder) != (settings.cell, settings.name):
            self._parts.metrics.count("step_downs_ignored")
            return
        self._deposed_by = max(self._deposed_by, message.epoch)
        if self._is_deposed:
            self._leading = False
            await self._work.set()
        remembers = self._term.epoch == message.previous
        left_s = max(0.0, self._leases.horizon - self._parts.clock.now())
        answer = messages.SteppedDown(remembers, left_s)
        await self._send_reply(envelope, answer)

    def _refusal(self, writes: bool) -> outcome.Refused | None:
        """Returns why a call can't be served, None if it can."""
        if not self._leading:
            return _not_leader()
        if self._log.outage and (writes or not self._log.held):
            return outcome.Refused(
                outcome.Kind.STORE_UNAVAILABLE,
                "repeat later; the platform's table is not reached",
            )
        return None if self._log.held else _not_leader()

    async def _reply_under_lease(self, envelope, answer: object) -> None:
        """Replies with what is true only while the lease is held."""
        await curio.spawn(self._reply_if_held, envelope, answer, daemon=True)

    async def _reply_if_held(self, envelope, answer: object) -> None:
        is_refusal = isinstance(answer, outcome.Refused)
        if not is_refusal and not (self._leading and self._log.held):
            answer = _not_leader()
        await self._parts.bus.reply(envelope, answer)

    async def _on_heartbeat(
        self, message: messages.Heartbeat, envelope
    ) -> None:
        received = self._parts.clock.now()
        if not self._leading:
            self._parts.metrics.count("heartbeats_refused", reason="not-leader")
            return
        if self._is_lapsing(message.worker):
            self._parts.metrics.count("heartbeats_refused", reason="lapsing")
            return
        if self._log.held:
            await self._grant(message, envelope, received)
        elif self._log.may_renew(self._timing.store_grace_s):
            await self._renew_only(message, envelope, received)
        else:
            self._parts.metrics.count("heartbeats_refused", reason="no-lease")

    def _is_lapsing(self, worker: str) -> bool:
        lapsing = self._journal.lapsing
        return bool(lapsing) and any(
            task.id in lapsing for task in self._state.placed_on(worker)
        )

    async def _grant(
        self, message: messages.Heartbeat, envelope, received: float
    ) -> None:
        self._workers[message.worker] = term_module.Worker(
            envelope.reply_to, message, received
        )
        self._scheduler.observe(message, self._state, received)
        for ended in message.ended:
            await self._on_ended(self._scheduler.judged(ended))
        grant = self._scheduler.grant(
            message, self._state, self._log.epoch, received
        )
        for event in grant.events:
            await self._log_event(event)
        self._leases.acknowledge(message.worker, received)
        await self._reply_under_lease(envelope, grant.ack)

    async def _renew_only(
        self, message: messages.Heartbeat, envelope, received: float
    ) -> None:
        """Keeps running work going while the table can't be reached."""
        running = {(usage.task, usage.attempt) for usage in message.usage}
        renew = tuple(
            (task.id, task.attempt)
            for task in self._state.placed_on(message.worker)
            if (task.id, task.attempt) in running and self._is_active(task)
        )
        self._leases.acknowledge(message.worker, received)
        self._parts.metrics.count("grace_renewals")
        ack = messages.HeartbeatAck(self._log.epoch, renew=renew)
        await self._send_reply(envelope, ack)

    def _is_active(self, task: cell_module.Task) -> bool:
        job = self._state.jobs[task.spec.id]
        return job.state is cell_module.JobState.ACTIVE

    async def _on_ended(self, ended: messages.TaskEnded) -> None:
        task = self._state.tasks.get(ended.task)
        if task is None or not self._current(task, ended.attempt):
            return
        event = cell_module.TaskEnded(
            ended.task,
            ended.attempt,
            ended.end,
            ended.detail,
            ended.checkpoint,
        )
        await self._log_event(event)

    def _current(self, task: cell_module.Task, attempt: int) -> bool:
        return (
            task.state is cell_module.TaskState.PLACED
            and task.attempt == attempt
        )

    async def _schedule(self) -> None:
        self._set_urgencies()
        plan = self._scheduler.plan(
            survey.Round(
                self._state,
                self._journal.events,
                self._workers,
                self._configuration.in_force.declarations,
                self._parts.clock.now(),
                self._orders.standing,
            )
        )
        for event in plan.events:
            self._journal.add(event)
        if plan.events:
            await self._commit()
        for worker in plan.nudges:
            await self._nudge(worker)

    def _new_scheduler(self) -> scheduler.Scheduler:
        return scheduler.Scheduler(
            self._timing, self._parts.metrics, self._parts.clock.now()
        )

    async def _nudge(self, worker: str) -> None:
        known = self._workers.get(worker)
        if known is not None and self._log.held:
            nudge = messages.Nudge(self._log.epoch)
            await curio.spawn(
                self._parts.bus.send, known.bus, nudge, daemon=True
            )


def _lapsed(task: cell_module.Task, detail: str) -> cell_module.TaskEnded:
    return cell_module.TaskEnded(
        task.id, task.attempt, messages.TaskEnd.LAPSED, detail
    )


def _not_leader() -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.NOT_LEADER, "repeat; the leader of the cell changed"
    )


def _unknown_job(job_id: str) -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.UNKNOWN_JOB, f"name an existing job; {job_id} is not"
    )
