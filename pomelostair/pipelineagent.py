"""The agent beside the workers of a host: holds, orders and reports.

The leader grants a time on the worker's own clock up to which the agent may
extend the lease of what runs. So a leader, an agent or a store that is away
for some seconds ends nothing, and a lease never outlasts its grant, however
long any process was frozen.
"""

import attrs
import curio

from pomelostair import bus as bus_module
from pomelostair import clock as clock_module
from pomelostair import events
from pomelostair import kernel
from pomelostair import log
from pomelostair import pipelinelease
from pomelostair import pipelinemessages as messages
from pomelostair import ports
from pomelostair import settings as settings_module
from pomelostair import store

# Longest wait of a hold; bounds the age of a report.
HOLD_WAIT_MS = 300
# Pause between holds while ends wait to be noted, which answer at once.
NOTING_PAUSE_S = 0.05
# Pause after a worker did not answer.
RETRY_S = 0.25
# Silence of the leader after which the agent asks the entries for it.
LEADER_SILENT_S = 1.2
FIND_INTERVAL_S = 0.4
FIND_TIMEOUT_S = 0.6
# Age of this process after which it has heard of every worker on its host:
# two heartbeats and some slack.
SETTLED_S = 3.0
HEARTBEAT_INTERVAL_S = 0.5
# Time for which a life that ended is reported as gone.
GONE_S = 10.0
# Least remaining lease with which an attempt is started.
LEAST_LEASE_MS = 1000
CLOCK_DRIFT = 0.02  # The platform bounds the drift of its clocks by 2 %.
FULL_PACE = 100  # Percent; the pace of every attempt at its start.
_LIFE_BITS = 31  # Two tokens of 22 and 31 bits fit a JSON number.


@attrs.define(eq=False)
class _Worker:
    """One life of a worker on this host.

    Attributes:
        notice: What it said of itself last.
        client: Takes orders to it.
        clock_ms: Its clock at `read`, or later.
        read: Seconds of the agent's clock of that reading.
        extended_ms: Its clock at which its lease ends, as it confirmed.
        attempted_ms: The latest end in any call, answered or not; a call
            without an answer may still be carried out.
        granted_ms: Its clock up to which the leader lets the lease extend.
        noted: Number of the last end that is durable.
        received: Number of the last order.
        results: Results that the leader has not confirmed.
        next_result: Number of the last result.
        listed: The latest lists.
        reachable: Whether it answered the last call.
        wake: Set when there is a reason to hold again at once.
    """

    notice: ports.WorkerHeartbeat
    client: ports.WorkerClient
    clock_ms: int
    read: float
    extended_ms: int = 0
    attempted_ms: int = 0
    granted_ms: int = 0
    noted: int = 0
    received: int = 0
    results: list[messages.OrderResult] = attrs.field(factory=list)
    next_result: int = 0
    listed: ports.HoldAnswer | None = None
    reachable: bool = True
    wake: curio.Event = attrs.field(factory=curio.Event)

    @property
    def life(self) -> tuple[str, int]:
        """Id and start of the life."""
        return self.notice.worker, self.notice.incarnation


@kernel.plugin(settings_module.Role.PIPELINE_AGENT)
class PipelineAgent(kernel.Plugin):
    """Carries out the leader's orders on the workers of this host."""

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._clock = clock_module.BoottimeClock()
        self._started = self._clock.now()
        self._port = parts.port
        self._hold_ms = parts.settings.pipelines.hold_ms
        self._seat = messages.LeaderInfo()
        self._leader_heard = 0.0
        self._lost_leader = False
        self._entries: dict[str, None] = dict.fromkeys(
            parts.settings.pipelines.seeds
        )
        self._workers: dict[tuple[str, int], _Worker] = {}
        self._gone: dict[tuple[str, int], float] = {}
        # Earlier lives, by the life with the same id that has to be held first.
        self._followed: dict[tuple[str, int], list[tuple[str, int]]] = {}
        self._sequence = 0
        parts.bus.handle(messages.Instructions, self._on_instructions)
        parts.bus.handle(messages.LeaderHello, self._on_hello)
        parts.metrics.gauge("workers_known", lambda: len(self._workers))
        parts.metrics.gauge("leader_epoch", lambda: self._seat.epoch)

    async def run(self) -> None:
        """Keeps in touch with the leader until cancelled."""
        while True:
            if self._clock.now() - self._leader_heard > LEADER_SILENT_S:
                await self._find_leader()
                await curio.sleep(FIND_INTERVAL_S)
            else:
                await self._report(())
                await curio.sleep(HEARTBEAT_INTERVAL_S)

    async def update_worker(self, notice: ports.WorkerHeartbeat) -> None:
        """Takes in what a worker says of itself."""
        life = (notice.worker, notice.incarnation)
        if life in self._gone or self._is_followed(life):
            return
        known = self._workers.get(life)
        if known is not None:
            if notice.sequence >= known.notice.sequence:
                changed = known.notice.draining != notice.draining
                known.notice = notice
                if changed:
                    log.emit(
                        events.Events.PIPELINE_WORKER_DRAINS,
                        worker=notice.worker,
                        remaining_ms=notice.remaining_ms,
                    )
                    await self._report((known,))
            return
        if any(
            w.notice.address == notice.address
            and w.notice.incarnation > notice.incarnation
            for w in self._workers.values()
        ):
            self._parts.metrics.count("notices_ignored", reason="old-life")
            return
        for other in list(self._workers.values()):
            same = other.notice.worker == notice.worker
            if same or other.notice.address == notice.address:
                self._forget(
                    other, "another life took its place", life if same else None
                )
        worker = _Worker(
            notice,
            self._port.worker_client(notice),
            notice.clock_ms,
            self._clock.now(),
        )
        self._workers[life] = worker
        log.emit(
            events.Events.PIPELINE_WORKER_UP,
            worker=notice.worker,
            life=notice.incarnation,
            agent=self._parts.settings.name,
            capacity=attrs.astuple(notice.capacity),
        )
        await curio.spawn(self._watch, worker, daemon=True)

    async def remove_worker(self, worker_id: str, life: int | None) -> None:
        """Notes that a worker has ended.

        Args:
            worker_id: Its id.
            life: Its start, None if it was not told.
        """
        for worker in list(self._workers.values()):
            if worker.notice.worker == worker_id and life in (
                None,
                worker.notice.incarnation,
            ):
                self._forget(worker, "it deregistered")
        await self._report(())

    def _is_followed(self, life: tuple[str, int]) -> bool:
        return any(life in lives for lives in self._followed.values())

    def _forget(
        self,
        worker: _Worker,
        why: str,
        follower: tuple[str, int] | None = None,
    ) -> None:
        """Forgets a life that has ended.

        Args:
            worker: The life.
            why: The reason, for the log.
            follower: Life with the same id. It takes orders to the earlier one
                until it is held under a higher fencing token, so that the
                earlier one counts as gone only then.
        """
        self._workers.pop(worker.life, None)
        earlier = [*self._followed.pop(worker.life, ()), worker.life]
        if follower is not None:
            self._followed.setdefault(follower, []).extend(earlier)
        else:
            self._gone.update(dict.fromkeys(earlier, self._clock.now()))
        log.emit(
            events.Events.PIPELINE_WORKER_GONE,
            worker=worker.notice.worker,
            life=worker.notice.incarnation,
            attempts=len(worker.listed.running) if worker.listed else 0,
            reason=why,
        )

    async def _find_leader(self) -> None:
        if not self._lost_leader:
            self._lost_leader = True
            log.emit(
                events.Events.PIPELINE_LEADER_LOST,
                epoch=self._seat.epoch,
                leader=self._seat.name,
            )
        addresses = list(self._entries)
        self._parts.random.shuffle(addresses)
        for address in addresses[:3]:
            result = await self._parts.bus.call(
                address, messages.FindLeader(), FIND_TIMEOUT_S
            )
            match result:
                case bus_module.Answered(message=messages.Peers() as peers):
                    self._entries.update(dict.fromkeys(peers.entries))
                    if peers.seat.epoch >= self._seat.epoch and peers.seat.bus:
                        await self._follow(peers.seat)
                        return
        await self._ask_store()

    async def _ask_store(self) -> None:
        """Finds the leader, or else entries, in the store."""
        match await self._parts.table.read(pipelinelease.KEY):
            case store.Found(row=row):
                lease = pipelinelease.decode(row).row
                if lease.epoch >= self._seat.epoch and not lease.vacated:
                    await self._follow(
                        messages.LeaderInfo(
                            lease.epoch, lease.holder, lease.bus
                        )
                    )

    async def _follow(self, seat: messages.LeaderInfo) -> None:
        self._adopt(seat)
        await self._report(tuple(self._workers.values()))

    def _adopt(self, seat: messages.LeaderInfo) -> bool:
        """Takes a leader of the same or a later epoch for the leader."""
        if seat.epoch < self._seat.epoch:
            self._parts.metrics.count("orders_refused", reason="stale-epoch")
            return False
        if seat.epoch > self._seat.epoch:
            log.emit(
                events.Events.PIPELINE_LEADER_FOUND,
                epoch=seat.epoch,
                leader=seat.name,
            )
            for worker in self._workers.values():
                worker.received = 0
                worker.results.clear()
        self._seat = seat
        return True

    async def _on_hello(self, message: messages.LeaderHello, _envelope) -> None:
        if self._adopt(message.seat):
            await curio.spawn(
                self._report, tuple(self._workers.values()), daemon=True
            )
            for worker in self._workers.values():
                await worker.wake.set()

    async def _on_instructions(
        self, message: messages.Instructions, _envelope
    ) -> None:
        if not self._adopt(message.seat):
            return
        self._leader_heard = self._clock.now()
        if self._lost_leader:
            self._lost_leader = False
            log.emit(
                events.Events.PIPELINE_LEADER_FOUND,
                epoch=message.seat.epoch,
                leader=message.seat.name,
            )
        worker = self._workers.get((message.worker, message.life))
        if worker is None:
            return
        worker.granted_ms = max(worker.granted_ms, message.lease_end_ms)
        if message.noted > worker.noted:
            worker.noted = message.noted
            await worker.wake.set()
        worker.results = [
            r for r in worker.results if r.sequence > message.results_seen
        ]
        for order in message.orders:
            if order.number > worker.received:
                worker.received = order.number
                await curio.spawn(
                    self._carry_out,
                    worker,
                    order,
                    message.seat.epoch,
                    daemon=True,
                )

    async def _carry_out(
        self, worker: _Worker, order: messages.Order, epoch: int
    ) -> None:
        outcome_name, reason = messages.DONE, ""
        match order.kind:
            case messages.START:
                outcome_name, reason = await self._start(worker, order, epoch)
            case messages.STOP:
                await self._stop(worker, order, epoch)
            case messages.PACE:
                result = await worker.client.pace(order, _fence(epoch, worker))
                if not isinstance(result, ports.Accepted):
                    outcome_name, reason = messages.REFUSED, result.reason
        log.emit(
            events.Events.ORDER_CARRIED_OUT,
            kind=order.kind,
            task=order.task,
            attempt=order.attempt,
            worker=worker.notice.worker,
            outcome=outcome_name,
            reason=reason,
        )
        if self._seat.epoch != epoch:
            return
        worker.next_result += 1
        worker.results.append(
            messages.OrderResult(
                worker.next_result, order.number, outcome_name, reason
            )
        )

    async def _start(
        self, worker: _Worker, order: messages.Order, epoch: int
    ) -> tuple[str, str]:
        if worker.notice.draining:
            return messages.REFUSED, "draining"
        end_ms = self._lease_end(worker)
        if end_ms - self._clock_ms(worker) < LEAST_LEASE_MS:
            return messages.REFUSED, "late"
        worker.attempted_ms = max(worker.attempted_ms, end_ms)
        result = await worker.client.start(order, end_ms, _fence(epoch, worker))
        match result:
            case ports.Accepted():
                if order.percent < FULL_PACE:
                    await worker.client.pace(order, _fence(epoch, worker))
                return messages.DONE, ""
            case ports.Denied(reason=reason):
                return messages.REFUSED, reason
        self._parts.metrics.count("orders_unanswered", kind="start")
        if not await self._shows_up(worker, order):
            await self._stop(worker, order, epoch)
            return messages.FENCED_OFF, result.reason
        return messages.DONE, ""

    async def _shows_up(self, worker: _Worker, order: messages.Order) -> bool:
        """Returns whether an unanswered start is listed by the next hold."""
        before = worker.listed
        for _ in range(4):
            await curio.sleep(0.1)
            if worker.listed is not before and worker.listed is not None:
                break
        key = (order.task, order.attempt)
        listed = worker.listed
        return listed is not None and (
            any((row[0], row[1]) == key for row in listed.running)
            or any((row[1], row[2]) == key for row in listed.ended)
        )

    async def _stop(
        self, worker: _Worker, order: messages.Order, epoch: int
    ) -> None:
        """Stops or bars an attempt; returns once the worker confirmed it."""
        while worker.life in self._workers and self._seat.epoch == epoch:
            result = await worker.client.stop(order, _fence(epoch, worker))
            match result:
                case ports.Accepted():
                    return
                case ports.Denied(reason="fence" | "life" | "old"):
                    return
            self._parts.metrics.count("orders_unanswered", kind="stop")
            await curio.sleep(RETRY_S)

    def _clock_ms(self, worker: _Worker) -> int:
        elapsed_s = self._clock.now() - worker.read
        return worker.clock_ms + int(elapsed_s * 1000)

    def _lease_end(self, worker: _Worker) -> int:
        wanted = self._clock_ms(worker) + self._hold_ms
        return min(wanted, worker.granted_ms)

    async def _watch(self, worker: _Worker) -> None:
        """Holds one life of a worker until it is gone."""
        while worker.life in self._workers:
            if not self._seat.epoch:
                await curio.sleep(NOTING_PAUSE_S)
                continue
            await self._hold(worker)

    async def _hold(self, worker: _Worker) -> None:
        epoch = self._seat.epoch
        end_ms = self._lease_end(worker)
        extend = end_ms if end_ms > worker.extended_ms else None
        worker.attempted_ms = max(worker.attempted_ms, extend or 0)
        noted = worker.noted
        results = tuple(worker.results)
        received = worker.received
        waiting = worker.listed is not None and any(
            row[0] > noted for row in worker.listed.ended
        )
        result = await worker.client.hold(
            _fence(epoch, worker),
            noted,
            extend,
            0 if waiting or worker.listed is None else HOLD_WAIT_MS,
        )
        if epoch != self._seat.epoch:
            return
        match result:
            case ports.HoldAnswer(incarnation=life) if life not in (
                None,
                worker.notice.incarnation,
            ):
                await self._unreached(worker, "another life answered")
            case ports.HoldAnswer():
                self._take_in(worker, result, extend)
                await self._report_held(worker, received, results, noted)
            case _:
                await self._unreached(worker, result.reason)

    def _take_in(
        self, worker: _Worker, held: ports.HoldAnswer, extended: int | None
    ) -> None:
        if not worker.reachable:
            worker.reachable = True
            log.emit(
                events.Events.PIPELINE_WORKER_ANSWERS,
                worker=worker.notice.worker,
            )
        worker.listed = held
        earlier = self._followed.pop(worker.life, ())
        self._gone.update(dict.fromkeys(earlier, self._clock.now()))
        worker.clock_ms = held.clock_ms
        worker.read = self._clock.now()
        if extended is not None:
            worker.extended_ms = extended

    async def _report_held(
        self,
        worker: _Worker,
        received: int,
        results: tuple[messages.OrderResult, ...],
        noted: int,
    ) -> None:
        await self._report((worker,), received, results)
        listed = worker.listed
        if any(row[0] > noted for row in listed.ended) or listed.more_ended:
            worker.wake.clear()
            if worker.noted == noted:
                await curio.ignore_after(NOTING_PAUSE_S, worker.wake.wait)

    async def _unreached(self, worker: _Worker, reason: str) -> None:
        if worker.reachable:
            worker.reachable = False
            log.emit(
                events.Events.PIPELINE_WORKER_SILENT,
                worker=worker.notice.worker,
                reason=reason,
                lease_left_ms=worker.attempted_ms - self._clock_ms(worker),
            )
        if reason == "fence":
            self._leader_heard = 0.0
        await self._report((worker,))
        await curio.sleep(RETRY_S)

    def _has_lapsed(self, worker: _Worker) -> bool:
        """Returns whether an unreached worker certainly runs nothing."""
        elapsed_ms = (self._clock.now() - worker.read) * 1000
        least_ms = worker.clock_ms + elapsed_ms * (1 - CLOCK_DRIFT)
        return 0 < worker.attempted_ms < least_ms

    async def _report(
        self,
        workers: tuple[_Worker, ...],
        received: int | None = None,
        results: tuple[messages.OrderResult, ...] = (),
    ) -> None:
        if not self._seat.bus:
            return
        now = self._clock.now()
        for life, since in list(self._gone.items()):
            if now - since > GONE_S:
                del self._gone[life]
        self._sequence += 1
        report = messages.AgentReport(
            self._parts.settings.name,
            self._seat.epoch,
            self._sequence,
            now - self._started > SETTLED_S,
            tuple(self._workers),
            tuple(
                _state(worker, received, results, self._has_lapsed(worker))
                for worker in workers
                if worker.listed is not None
            ),
            tuple(self._gone),
            {w.notice.worker: w.notice.address for w in self._workers.values()},
        )
        await curio.spawn(
            self._parts.bus.send, self._seat.bus, report, daemon=True
        )


def _fence(epoch: int, worker: _Worker) -> int:
    """Returns the fencing token of an epoch and a life.

    A later life of the same worker gets a higher token, so that an order to an
    earlier one that arrives late is refused.
    """
    life = worker.notice.incarnation & ((1 << _LIFE_BITS) - 1)
    return (epoch << _LIFE_BITS) | life


def _state(
    worker: _Worker,
    received: int | None,
    results: tuple[messages.OrderResult, ...],
    lapsed: bool,
) -> messages.WorkerState:
    notice = worker.notice
    held = worker.listed
    fresh = received is not None
    return messages.WorkerState(
        worker=notice.worker,
        life=notice.incarnation,
        service=notice.service,
        rack=notice.rack,
        labels=notice.labels,
        capacity=notice.capacity,
        draining=notice.draining,
        remaining_ms=notice.remaining_ms,
        clock_ms=held.clock_ms,
        running=held.running,
        ended=held.ended,
        more_ended=held.more_ended,
        results=results,
        received=received if fresh else 0,
        fresh=fresh,
        reachable=worker.reachable,
        lapsed=lapsed and not worker.reachable,
    )
