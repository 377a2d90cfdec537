"""The leader of a cell: accepts jobs, places tasks and grants task leases.

Every agent campaigns for its cell's lease; the holder schedules the cell from
memory. Changes are collected for one commit window and logged together; their
effects leave this process only after that commit.
"""

import attrs
import curio

from pomelostair import bus as bus_module
from pomelostair import cell as cell_module
from pomelostair import celllog
from pomelostair import configuration
from pomelostair import events
from pomelostair import kernel
from pomelostair import listing
from pomelostair import log
from pomelostair import membership
from pomelostair import messages
from pomelostair import outcome
from pomelostair import scheduler
from pomelostair import settings as settings_module
from pomelostair import wire

RENEWALS_PER_LEASE = 3


@attrs.define
class Waiter:
    """A caller that waits for a commit."""

    envelope: wire.Envelope
    answer: object


@kernel.plugin(settings_module.Role.AGENT)
class Leader(kernel.Plugin):
    """Campaigns for the cell's lease and schedules the cell under it."""

    requires = (membership.Membership, configuration.Configuration)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._timing = parts.settings.timing
        self._directory = host.get(membership.Membership).directory
        self._log = celllog.CellLog(
            parts.table,
            parts.clock,
            parts.settings.cell,
            parts.settings.name,
            parts.bus.address,
            self._timing.cell_lease_ms / 1000,
        )
        self._configuration = host.get(configuration.Configuration)
        self._scheduler = self._new_scheduler()
        self._leading = False
        self._state = cell_module.State()
        self._workers: dict[str, scheduler.Worker] = {}
        self._pending: list[cell_module.Event] = []
        self._waiters: list[Waiter] = []
        self._work = curio.Event()
        parts.bus.handle(messages.SubmitJob, self._on_submit)
        parts.bus.handle(messages.ShowJob, self._on_show)
        parts.bus.handle(messages.CancelJob, self._on_cancel)
        parts.bus.handle(messages.ListTasks, self._on_list_tasks)
        parts.bus.handle(messages.ListWorkers, self._on_list_workers)
        parts.bus.handle(messages.Heartbeat, self._on_heartbeat)
        parts.bus.handle(messages.ExplainTask, self._on_explain)

    async def run(self) -> None:
        """Campaigns and leads until cancelled."""
        while True:
            await self._campaign()
            try:
                await self._lead()
            finally:
                self._leading = False
                self._log.release()
                log.emit(events.Events.LEASE_LOST)

    async def _campaign(self) -> None:
        lapse_s = self._timing.cell_lease_ms + self._timing.lease_margin_ms
        seen: celllog.Observed | None = None
        since = 0.0
        while True:
            observed = await self._log.observe()
            now = self._parts.clock.now()
            if isinstance(observed, celllog.Observed):
                if observed != seen:
                    seen, since = observed, now
                    self._learn(observed)
                if observed.row is None or now - since > lapse_s / 1000:
                    taken = await self._log.take(observed)
                    if isinstance(taken, outcome.Committed):
                        return
                    seen = None
            await curio.sleep(self._renewal_s)

    def _learn(self, observed: celllog.Observed) -> None:
        if observed.row is not None:
            self._announce(observed.row.epoch, observed.row)

    def _announce(self, epoch: int, row: celllog.LeaseRow) -> None:
        self._directory.learn_leader(
            messages.LeaderAddress(
                self._parts.settings.cell, epoch, row.holder, row.bus
            )
        )

    @property
    def _renewal_s(self) -> float:
        return self._timing.cell_lease_ms / 1000 / RENEWALS_PER_LEASE

    async def _lead(self) -> None:
        log.emit(events.Events.LEASE_ACQUIRED, epoch=self._log.epoch)
        if not await self._recover():
            return
        self._leading = True
        self._directory.learn_leader(
            messages.LeaderAddress(
                self._parts.settings.cell,
                self._log.epoch,
                self._parts.settings.name,
                self._parts.bus.address,
            )
        )
        while await self._commit():
            await self._schedule()
            await self._wait_for_work()

    async def _recover(self) -> bool:
        replayed = await self._log.replay()
        if isinstance(replayed, outcome.Unavailable):
            return False
        self._state = cell_module.State()
        self._pending = []
        self._waiters = []
        self._workers = {}
        self._scheduler = self._new_scheduler()
        for event in replayed:
            self._state.apply(event)
        log.emit(events.Events.CELL_RECOVERED, events=len(replayed))
        return True

    async def _wait_for_work(self) -> None:
        await curio.ignore_after(self._renewal_s, self._work.wait)
        if self._work.is_set():
            await curio.sleep(self._timing.commit_window_ms / 1000)
        self._work.clear()

    async def _commit(self) -> bool:
        batch, self._pending = tuple(self._pending), []
        waiters, self._waiters = self._waiters, []
        result = await self._log.append(batch)
        if not isinstance(result, outcome.Committed):
            await self._refuse(waiters, result)
            return False
        for event in batch:
            self._state.apply(event)
            self._report(event)
        for waiter in waiters:
            await self._parts.bus.reply(waiter.envelope, waiter.answer)
        return True

    def _report(self, event: cell_module.Event) -> None:
        match event:
            case cell_module.TaskPlaced():
                log.emit(events.Events.TASK_STARTED, **attrs.asdict(event))
            case cell_module.TaskEnded(task=task, attempt=attempt, end=end):
                log.emit(
                    events.Events.TASK_ENDED,
                    task=task,
                    attempt=attempt,
                    end=end.value,
                )

    async def _refuse(
        self, waiters: list[Waiter], result: outcome.Commit
    ) -> None:
        ran = outcome.Ran.UNKNOWN
        if isinstance(result, outcome.Unavailable | outcome.Conflict):
            ran = outcome.Ran.NO
        refused = outcome.Refused(
            outcome.Kind.STORE_UNAVAILABLE,
            "repeat with the same id; the platform's table is not reached",
            ran,
        )
        for waiter in waiters:
            await self._parts.bus.reply(waiter.envelope, refused)

    async def _log_event(self, event: cell_module.Event) -> None:
        self._pending.append(event)
        await self._work.set()

    async def _on_submit(self, message: messages.SubmitJob, envelope) -> None:
        if not await self._lead_or_refuse(envelope):
            return
        known = message.spec.id in self._state.jobs
        answer = messages.JobAccepted(message.spec.id, not known)
        if known:
            await self._parts.bus.reply(envelope, answer)
            return
        refused = self._scheduler.admit(
            message.spec, self._workers, self._parts.clock.now()
        )
        if refused is not None:
            await self._parts.bus.reply(envelope, refused)
            return
        self._waiters.append(Waiter(envelope, answer))
        await self._log_event(cell_module.JobSubmitted(message.spec))

    async def _on_show(self, message: messages.ShowJob, envelope) -> None:
        if not await self._lead_or_refuse(envelope):
            return
        job = self._state.jobs.get(message.id)
        answer = _unknown_job(message.id)
        if job is not None:
            answer = cell_module.view(job)
        await self._parts.bus.reply(envelope, answer)

    async def _on_cancel(self, message: messages.CancelJob, envelope) -> None:
        if not await self._lead_or_refuse(envelope):
            return
        job = self._state.jobs.get(message.id)
        if job is None:
            await self._parts.bus.reply(envelope, _unknown_job(message.id))
            return
        self._waiters.append(Waiter(envelope, cell_module.view(job)))
        await self._log_event(cell_module.JobCancelled(message.id))

    async def _on_list_tasks(
        self, message: messages.ListTasks, envelope
    ) -> None:
        if await self._lead_or_refuse(envelope):
            rows = listing.tasks(self._state, message)
            await self._parts.bus.reply(envelope, rows)

    async def _on_list_workers(
        self, _message: messages.ListWorkers, envelope
    ) -> None:
        if await self._lead_or_refuse(envelope):
            rows = listing.workers(self._state, self._seen())
            await self._parts.bus.reply(envelope, rows)

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

    async def _on_explain(
        self, message: messages.ExplainTask, envelope
    ) -> None:
        if not await self._lead_or_refuse(envelope):
            return
        answer = self._scheduler.explain(message.task, self._state)
        await self._parts.bus.reply(envelope, answer)

    async def _lead_or_refuse(self, envelope) -> bool:
        if self._leading and self._log.held:
            return True
        refused = outcome.Refused(
            outcome.Kind.NOT_LEADER, "repeat; the leader of the cell changed"
        )
        await self._parts.bus.reply(envelope, refused)
        return False

    async def _on_heartbeat(
        self, message: messages.Heartbeat, envelope
    ) -> None:
        if not self._leading:
            return
        now = self._parts.clock.now()
        self._workers[message.worker] = scheduler.Worker(
            envelope.reply_to, message, now
        )
        self._scheduler.observe(message, self._state, now)
        for ended in message.ended:
            await self._on_ended(self._scheduler.judged(ended))
        grant = self._scheduler.grant(
            message, self._state, self._log.epoch, now
        )
        for event in grant.events:
            if event not in self._pending:
                await self._log_event(event)
        await self._parts.bus.reply(envelope, grant.ack)

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
        if event not in self._pending:
            await self._log_event(event)

    def _current(self, task: cell_module.Task, attempt: int) -> bool:
        return (
            task.state is cell_module.TaskState.PLACED
            and task.attempt == attempt
        )

    async def _schedule(self) -> None:
        plan = self._scheduler.plan(
            scheduler.Round(
                self._state,
                tuple(self._pending),
                self._workers,
                self._configuration.in_force.declarations,
                self._parts.clock.now(),
            )
        )
        self._pending.extend(plan.events)
        if plan.events:
            await self._commit()
        for worker in plan.nudges:
            await self._nudge(worker)

    def _new_scheduler(self) -> scheduler.Scheduler:
        return scheduler.Scheduler(
            self._timing, self._parts.metrics, self._parts.clock.now()
        )

    async def _nudge(self, worker: str) -> bus_module.Send:
        return await self._parts.bus.send(
            self._workers[worker].bus, messages.Nudge(self._log.epoch)
        )


def _unknown_job(job_id: str) -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.UNKNOWN_JOB, f"name an existing job; {job_id} is not"
    )
