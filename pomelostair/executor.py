"""Execution of tasks: carries out the leader's orders on the agent's worker.

Each heartbeat reads the worker's clock first; leases granted in the reply
expire one lease length after that reading. Operations that wait for the
object store run concurrently with the heartbeats, so that a slow store does
not delay lease renewals.
"""

import curio

from pomelostair import accounting
from pomelostair import bus as bus_module
from pomelostair import checkpoints
from pomelostair import errors
from pomelostair import events
from pomelostair import kernel
from pomelostair import log
from pomelostair import membership
from pomelostair import messages
from pomelostair import once
from pomelostair import outcome
from pomelostair import settings as settings_module
from pomelostair import siteorders
from pomelostair import stopplan
from pomelostair import store
from pomelostair import workerclient

RUNNING = "running"
DRAIN_POLL_S = 0.1

AttemptKey = tuple[str, int]


@kernel.plugin(settings_module.Role.AGENT)
class Executor(kernel.Plugin):
    """Sends heartbeats to the leader and carries out the orders in its replies.

    Operations on attempts run concurrently, at most one for each attempt.
    """

    requires = (membership.Membership, siteorders.SiteOrders)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._directory = host.get(membership.Membership).directory
        self._orders = host.get(siteorders.SiteOrders)
        self._epoch = 0
        self._state = messages.TargetState.READY
        self._wake = curio.Event()
        self._operations: dict[AttemptKey, messages.Size] = {}
        self._recorded_ends: set[AttemptKey] = set()
        self._throttle_shares: dict[AttemptKey, float] = {}
        self._unstarted_ends: dict[AttemptKey, messages.TaskEnded] = {}
        self._worker: settings_module.WorkerTarget | None = None
        match parts.settings.target:
            case settings_module.WorkerTarget() as worker:
                self._worker = worker
                self._client = workerclient.WorkerClient(worker.address)
                parts.bus.handle(messages.Nudge, self._on_nudge)

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        if self._worker is None:
            return
        interval_s = self._parts.settings.timing.announce_ms / 1000
        while True:
            try:
                await self._exchange_heartbeat()
            except errors.PomelostairError:
                self._parts.metrics.count("worker_calls_failed")
            await curio.ignore_after(interval_s, self._wake.wait)
            self._wake.clear()

    async def drain(self, timeout_s: float) -> None:
        """Drains the worker.

        Reports the worker as draining, so that the leader evicts its tasks,
        until none is left or the timeout expires.

        Args:
            timeout_s: Longest time to wait.
        """
        if self._worker is None:
            return
        self._state = messages.TargetState.DRAINING
        await self._wake.set()
        deadline = self._parts.clock.now() + timeout_s
        while self._parts.clock.now() < deadline and await self._has_tasks():
            await curio.sleep(DRAIN_POLL_S)

    async def _has_tasks(self) -> bool:
        try:
            status = await self._client.status()
        except errors.PomelostairError:
            return False
        return bool(status.tasks)

    async def _on_nudge(self, message: messages.Nudge, _envelope) -> None:
        if message.epoch >= self._epoch:
            await self._wake.set()

    async def _exchange_heartbeat(self) -> None:
        status = await self._client.status()
        await self._yield_to_site_stop(status)
        leader = self._directory.leader(self._parts.settings.cell)
        if leader is None:
            return
        await self._record_once_ends(status)
        timeout_s = self._parts.settings.timing.silent_ms / 1000
        heartbeat = self._build_heartbeat(status)
        result = await self._parts.bus.call(leader.bus, heartbeat, timeout_s)
        match result:
            case bus_module.Answered(message=messages.HeartbeatAck() as ack):
                await self._apply_ack(ack, status)
            case _:
                self._parts.metrics.count("heartbeats_unanswered")

    async def _yield_to_site_stop(self, status: workerclient.Status) -> None:
        """Ends the tasks that must yield to a stop of the site.

        This needs neither the leader nor the table: the order itself says when
        each class yields. The ends are reported until the leader has logged
        them.
        """
        for task in status.tasks:
            key = (task.task, task.attempt)
            if task.state != RUNNING or key in self._operations:
                continue
            mode = self._orders.yield_mode(task.order)
            if mode is stopplan.YieldMode.NONE:
                continue
            checkpoint = mode is stopplan.YieldMode.WITH_CHECKPOINT
            self._parts.metrics.count("stop_yields", how=mode.value)
            await self._spawn_operation(
                key, self._stop, messages.StopOrder(*key, checkpoint)
            )

    async def _record_once_ends(self, status: workerclient.Status) -> None:
        """Records ends of tasks declared `once` before they are reported."""
        listed_keys = {(t.task, t.attempt) for t in status.tasks}
        self._recorded_ends &= listed_keys
        for task in status.tasks:
            key = (task.task, task.attempt)
            if not task.order.once or task.state == RUNNING:
                continue
            if key not in self._recorded_ends and key not in self._operations:
                await self._spawn_operation(
                    key, self._record_once_end, task, status.boot
                )

    async def _record_once_end(
        self, task: workerclient.WorkerTask, boot: str
    ) -> None:
        end = messages.TaskEnd(task.state)
        completed = end is messages.TaskEnd.COMPLETED
        if await once.record_end(
            self._parts.objects, task.task, task.attempt, completed, boot
        ):
            self._recorded_ends.add((task.task, task.attempt))
            await self._wake.set()
        else:
            self._parts.metrics.count("once_outcomes_unwritten")

    def _build_heartbeat(
        self, status: workerclient.Status
    ) -> messages.Heartbeat:
        assert self._worker is not None
        state = self._state
        if state is messages.TargetState.READY:
            state = self._orders.target_state()
        return messages.Heartbeat(
            worker=self._parts.settings.name,
            zone=self._parts.settings.zone,
            rack=self._worker.rack,
            capacity=self._capacity,
            state=state,
            usage=tuple(
                task_usage(task)
                for task in status.tasks
                if task.state == RUNNING
            ),
            ended=(
                *(
                    task_ended(task)
                    for task in status.tasks
                    if task.state != RUNNING and self._reportable(task)
                ),
                *self._unstarted_ends.values(),
            ),
            now_ms=status.now_ms,
            boot=status.boot,
        )

    def _reportable(self, task: workerclient.WorkerTask) -> bool:
        return (
            not task.order.once
            or (task.task, task.attempt) in self._recorded_ends
        )

    @property
    def _capacity(self) -> messages.Size:
        assert self._worker is not None
        return messages.Size(
            self._worker.cores,
            self._worker.memory_mb,
            self._worker.accelerators,
        )

    async def _apply_ack(
        self, ack: messages.HeartbeatAck, status: workerclient.Status
    ) -> None:
        if ack.epoch < self._epoch:
            self._parts.metrics.count("orders_refused", reason="stale-epoch")
            return
        self._epoch = ack.epoch
        lease_ms = self._parts.settings.timing.task_lease_ms
        expires_ms = status.now_ms + lease_ms
        if ack.renew:
            await self._client.renew(
                tuple(
                    workerclient.Renewal(task, attempt, expires_ms)
                    for task, attempt in ack.renew
                )
            )
        await self._forget_acknowledged(ack.acknowledged)
        await self._throttle(ack.throttle)
        for stop in ack.stop:
            key = (stop.task, stop.attempt)
            if key not in self._operations:
                await self._spawn_operation(key, self._stop, stop)
        await self._start_all(ack.start, status, expires_ms)

    async def _throttle(
        self, orders: tuple[messages.ThrottleOrder, ...]
    ) -> None:
        ordered_shares = {(o.task, o.attempt): o.share for o in orders}
        self._throttle_shares = {
            key: share
            for key, share in self._throttle_shares.items()
            if key in ordered_shares
        }
        for key, share in ordered_shares.items():
            if (
                self._throttle_shares.get(key) == share
                or key in self._operations
            ):
                continue
            await self._client.throttle(workerclient.Throttle(*key, share))
            self._throttle_shares[key] = share

    async def _forget_acknowledged(
        self, acknowledged: tuple[AttemptKey, ...]
    ) -> None:
        attempts = []
        for key in acknowledged:
            if self._unstarted_ends.pop(key, None) is None:
                attempts.append(workerclient.Attempt(*key))
        if attempts:
            await self._client.forget(tuple(attempts))

    async def _stop(self, stop: messages.StopOrder) -> None:
        attempt = workerclient.Attempt(stop.task, stop.attempt)
        end, detail = messages.TaskEnd.STOPPED, "stopped by the leader"
        if stop.checkpoint:
            if not await self._checkpoint(attempt):
                return
            end = messages.TaskEnd.EVICTED
            detail = checkpoints.checkpoint_key(stop.task, stop.attempt)
        await self._client.stop(
            workerclient.Stop(stop.task, stop.attempt, end, detail)
        )
        await self._wake.set()

    async def _checkpoint(self, attempt: workerclient.Attempt) -> bool:
        progress = (await self._client.checkpoint(attempt)).progress
        checkpoint = checkpoints.Checkpoint(
            attempt.task, attempt.attempt, progress
        )
        if await checkpoints.save(self._parts.objects, checkpoint):
            return True
        self._parts.metrics.count("checkpoints_failed")
        log.emit(
            events.Events.CHECKPOINT_FAILED,
            task=attempt.task,
            attempt=attempt.attempt,
        )
        self._throttle_shares.pop((attempt.task, attempt.attempt), None)
        await self._client.throttle(
            workerclient.Throttle(attempt.task, attempt.attempt, 1.0)
        )
        return False

    async def _start_all(
        self,
        orders: tuple[messages.StartOrder, ...],
        status: workerclient.Status,
        expires_ms: float,
    ) -> None:
        listed_keys = {(t.task, t.attempt) for t in status.tasks}
        account = accounting.Account("", "", "", self._capacity)
        for task in status.tasks:
            if task.state == RUNNING:
                account.assign((task.task, task.attempt), _charged_size(task))
        for key, size in self._operations.items():
            account.assign(key, size)
        for order in orders:
            key = (order.task, order.attempt)
            if (
                key in listed_keys
                or key in self._operations
                or key in self._unstarted_ends
            ):
                continue
            if self._orders.yield_mode(order) is not stopplan.YieldMode.NONE:
                self._end_unstarted(
                    order, messages.TaskEnd.REFUSED, "the site is stopping"
                )
                continue
            if not accounting.fits(reserved_size(order), account.free):
                self._refuse(order, account.free)
                continue
            account.assign(key, reserved_size(order))
            await self._spawn_operation(
                key, self._start, order, expires_ms, status.boot
            )

    def _refuse(self, order: messages.StartOrder, free: messages.Size) -> None:
        self._parts.metrics.count("orders_refused", reason="over-capacity")
        log.emit(
            events.Events.TASK_REFUSED, task=order.task, attempt=order.attempt
        )
        detail = f"the worker has only {free.cores:g} cores and "
        detail += f"{free.memory_mb} MB free"
        self._end_unstarted(order, messages.TaskEnd.REFUSED, detail)

    def _end_unstarted(
        self, order: messages.StartOrder, end: messages.TaskEnd, detail: str
    ) -> None:
        self._unstarted_ends[order.task, order.attempt] = messages.TaskEnded(
            order.task, order.attempt, end, detail, order.checkpoint
        )

    async def _start(
        self, order: messages.StartOrder, expires_ms: float, boot: str
    ) -> None:
        progress = 0.0
        if order.checkpoint:
            match await checkpoints.load(self._parts.objects, order.checkpoint):
                case checkpoints.Checkpoint(progress=progress):
                    pass
                case store.Absent():
                    self._parts.metrics.count("checkpoints_missing")
                case outcome.Unavailable():
                    self._parts.metrics.count(
                        "starts_delayed", reason="checkpoint-unread"
                    )
                    return
        if order.once and not await self._claim(order, boot):
            return
        await self._client.start(
            workerclient.Start(order, progress, expires_ms)
        )

    async def _claim(self, order: messages.StartOrder, boot: str) -> bool:
        decision = await once.claim(
            self._parts.objects, order.task, order.attempt, boot
        )
        match decision:
            case once.StartDecision.START:
                return True
            case once.StartDecision.WAIT:
                self._parts.metrics.count(
                    "starts_delayed", reason="outcome-unread"
                )
            case once.StartDecision.COMPLETED:
                self._end_unstarted(
                    order, messages.TaskEnd.COMPLETED, "completed before"
                )
            case once.StartDecision.UNKNOWN:
                log.emit(events.Events.TASK_OUTCOME_UNKNOWN, task=order.task)
                self._end_unstarted(
                    order,
                    messages.TaskEnd.FAILED,
                    "an earlier attempt may have completed; check its effects",
                )
        return False

    async def _spawn_operation(
        self, key: AttemptKey, operation, *arguments
    ) -> None:
        size = messages.Size(0.0, 0, 0)
        match arguments[0]:
            case messages.StartOrder() as order:
                size = reserved_size(order)
        self._operations[key] = size
        await curio.spawn(
            self._run_operation, key, operation, *arguments, daemon=True
        )

    async def _run_operation(
        self, key: AttemptKey, operation, *arguments
    ) -> None:
        try:
            await operation(*arguments)
        except errors.PomelostairError:
            self._parts.metrics.count("worker_calls_failed")
        finally:
            del self._operations[key]


def reserved_size(order: messages.StartOrder) -> messages.Size:
    """Returns the size that an order reserves on its worker."""
    return order.reserved or order.size


def _charged_size(task: workerclient.WorkerTask) -> messages.Size:
    if task.read_ms is None:
        return reserved_size(task.order)
    return accounting.charged_size(reserved_size(task.order), task.used)


def task_usage(task: workerclient.WorkerTask) -> messages.TaskUsage:
    """Returns the usage of a running attempt as reported in heartbeats."""
    return messages.TaskUsage(
        task.task,
        task.attempt,
        task.used,
        task.progress,
        task.slowdown,
        task.read_ms,
        reserved_size(task.order),
    )


def task_ended(task: workerclient.WorkerTask) -> messages.TaskEnded:
    """Returns the end of an attempt as reported in heartbeats."""
    end = messages.TaskEnd(task.state)
    checkpoint = task.detail if end is messages.TaskEnd.EVICTED else ""
    return messages.TaskEnded(
        task.task, task.attempt, end, task.detail, checkpoint
    )
