"""Tasks at an agent: carries out the leader's orders on the worker."""

import curio

from pomelostair import bus as bus_module
from pomelostair import errors
from pomelostair import kernel
from pomelostair import membership
from pomelostair import messages
from pomelostair import settings as settings_module
from pomelostair import siteorders
from pomelostair import workerclient

RUNNING = "running"


@kernel.plugin(settings_module.Role.AGENT)
class Executor(kernel.Plugin):
    """Sends heartbeats to the leader and obeys what it answers."""

    requires = (membership.Membership, siteorders.SiteOrders)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._directory = host.get(membership.Membership).directory
        self._orders = host.get(siteorders.SiteOrders)
        self._epoch = 0
        self._state = messages.TargetState.READY
        self._wake = curio.Event()
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
                await self._beat()
            except errors.PomelostairError:
                self._parts.metrics.count("worker_calls_failed")
            await curio.ignore_after(interval_s, self._wake.wait)
            self._wake.clear()

    async def drain(self, timeout_s: float) -> None:
        """Tells the leader that the worker takes no new tasks."""
        self._state = messages.TargetState.DRAINING
        await self._wake.set()

    async def _on_nudge(self, message: messages.Nudge, _envelope) -> None:
        if message.epoch >= self._epoch:
            await self._wake.set()

    async def _beat(self) -> None:
        leader = self._directory.leader(self._parts.settings.cell)
        if leader is None:
            return
        status = await self._client.status()
        timeout_s = self._parts.settings.timing.silent_ms / 1000
        heartbeat = self._heartbeat(status)
        result = await self._parts.bus.call(leader.bus, heartbeat, timeout_s)
        match result:
            case bus_module.Answered(message=messages.HeartbeatAck() as ack):
                await self._obey(ack, status)
            case _:
                self._parts.metrics.count("heartbeats_unanswered")

    def _heartbeat(self, status: workerclient.Status) -> messages.Heartbeat:
        assert self._worker is not None
        state = self._state
        if state is messages.TargetState.READY:
            state = self._orders.state()
        return messages.Heartbeat(
            worker=self._parts.settings.name,
            zone=self._parts.settings.zone,
            rack=self._worker.rack,
            capacity=messages.Size(
                self._worker.cores,
                self._worker.memory_mb,
                self._worker.accelerators,
            ),
            state=state,
            usage=tuple(
                messages.TaskUsage(
                    t.task, t.attempt, t.used, t.progress, t.slowdown
                )
                for t in status.tasks
                if t.state == RUNNING
            ),
            ended=tuple(
                messages.TaskEnded(
                    t.task, t.attempt, messages.TaskEnd(t.state), t.detail
                )
                for t in status.tasks
                if t.state != RUNNING
            ),
        )

    async def _obey(
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
        for stop in ack.stop:
            await self._client.stop(
                workerclient.Attempt(stop.task, stop.attempt)
            )
        for start in ack.start:
            await self._client.start(workerclient.Start(start, 0.0, expires_ms))
        for task, attempt in ack.acknowledged:
            await self._client.forget(workerclient.Attempt(task, attempt))
