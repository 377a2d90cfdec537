"""The agent of a host: extends leases, executes orders, reports workers.

A worker runs attempts under a lease, which the agent extends with `hold` calls.
The leader grants a time, on the worker's own clock, up to which the agent may
extend it. An outage of some seconds of the leader, the agent or the store
therefore ends no attempt, and a lease never outlasts its grant, no matter how
long a process was suspended.
"""

import math
import time

import attrs
import curio
import msgspec

from pomelostair import bus as bus_module
from pomelostair import clock as clock_module
from pomelostair import events
from pomelostair import fleet
from pomelostair import kernel
from pomelostair import log
from pomelostair import pipelinelease
from pomelostair import pipelinemessages as messages
from pomelostair import pipelinerows
from pomelostair import ports
from pomelostair import reportschedule
from pomelostair import settings as settings_module
from pomelostair import store

# Incarnations of workers that are held at the same time; a host has few, and
# ids are free to make up.
MAX_WORKERS = 64
MAX_GONE = 1000  # Ended incarnations that are still reported.
# Size of the workers' states in one report; further ones follow in the next.
# The rest of a report, mostly ids of ended incarnations, stays below it, too.
MAX_REPORT_BYTES = bus_module.MAX_PIPELINE_MESSAGE_BYTES // 4
# Numbers, end and framing of a row, and the other fields of a state.
_ROW_OVERHEAD_BYTES = 64
_STATE_OVERHEAD_BYTES = 512
# Longest wait of a `hold` call. A new leader has to wait for it.
MAX_HOLD_WAIT_MS = 400
# Polls, at `LISTING_POLL_S`, for the listing that shows an unanswered start.
LISTING_POLLS = 6
LISTING_POLL_S = 0.1
# Longest wait for an acknowledgement of ends before the next `hold` call. Calls
# return at once while a worker has unacknowledged ends.
ACKNOWLEDGEMENT_WAIT_S = 0.1
# Poll interval while no leader is known.
NO_LEADER_POLL_S = 0.05
# Pause after a failed call of a worker.
RETRY_S = 0.25
# The same for a worker that has deregistered and is about to end.
LEAVING_RETRY_S = 0.05
# Longest time that a call of a worker takes, with a margin. One that took
# longer shows that this process was suspended meanwhile, as does a pause of its
# own loop.
MAX_CALL_S = 2.0
# Time without instructions after which the agent looks for another leader:
# three report intervals. A new leader announces itself sooner.
LEADER_TIMEOUT_S = 2.5
FIND_INTERVAL_S = 0.4
FIND_TIMEOUT_S = 0.6
# Age of this process after which every worker on its host has sent a heartbeat:
# two intervals of the workers' heartbeats and a margin.
DISCOVERY_S = 3.0
LAPSE_MARGIN_S = 0.25  # Delay between reading a clock and using the value.
# Time without a report after which the agent tells the leader which workers the
# host has.
REPORT_INTERVAL_S = 0.8
RUN_POLL_S = 0.2
# Time for which an ended incarnation is reported as gone.
GONE_REPORT_S = 10.0
# Time for which an ended incarnation is reported as blameless. The agent may be
# cut off from the leader meanwhile.
BLAMELESS_REPORT_S = 60.0
# Least remaining lease for the start of an attempt.
MIN_START_LEASE_MS = 1000
# Time for which a start without an answer may still take effect. The platform
# names seconds for late calls.
LATE_START_S = 5.0
# Age of the report on which a start order rests after which it is refused. The
# platform's cancel_ms, the time from the acknowledgement of a cancellation to
# the last start, is at least 3 s.
START_TTL_S = 2.7
# Reports whose times are kept, to date the leader's messages.
DATED_REPORTS = 256
CLOCK_DRIFT = 0.02  # The platform bounds the drift of its clocks by 2 %.
FULL_PACE_PERCENT = 100  # Every attempt starts at full pace.
# Low bits of a fencing token. With up to 22 bits for the epoch above these 31,
# the token is exact as a JSON number.
_INCARNATION_BITS = 31
# Why a call fails once an incarnation of a worker has ended.
_ENDED_REASONS = ("life", ports.NO_LISTENER)


@attrs.define
class _RecentStart:
    """A start that is not known to have gone well.

    Attributes:
        called_s: Time of the call.
        since_s: Time since which the attempt is known to run, if it is.
    """

    called_s: float
    since_s: float | None = None

    def is_settled(self, now: float) -> bool:
        """Returns whether the attempt can crash no worker from now on.

        Args:
            now: Seconds of the agent's clock, at a sign of life of the worker.
        """
        if self.since_s is None:
            return now - self.called_s >= LATE_START_S
        return now - self.since_s >= messages.START_CRASH_S


@attrs.define(eq=False)
class _Worker:
    """One incarnation of a worker on this host.

    Times with the suffix `_ms` are readings of the worker's own clock.

    Attributes:
        heartbeat: Its latest heartbeat.
        client: Client for calls to it.
        clock_ms: Least reading of its clock at `clock_read_s`.
        clock_read_s: The agent's clock at that reading.
        confirmed_end_ms: End of its lease that it confirmed last.
        requested_end_ms: Latest lease end in any call, answered or not; a call
            without an answer may still take effect.
        granted_end_ms: Time up to which the leader allows the lease to extend.
        acknowledged: Number of the last end that the leader acknowledged.
        last_order: Number of the last order executed; none before it is
            missing.
        early_orders: Orders received before an earlier one, by number.
        unconfirmed_results: Results that the leader has not confirmed.
        last_result: Number of the last result.
        listing: Its latest answer to a `hold` call.
        listed_epoch: Epoch of the leader under which that call was made.
        reachable: Whether it answered the last call.
        unanswered_s: Time of the end of the last call, if it got no answer and
            this process was not suspended during it, else minus infinity.
        wake: Set to call `hold` again at once.
        schedule: Decides when it is reported.
        recent_starts: Attempts that it was told to start and that are not known
            to have run for `messages.START_CRASH_S`.
        answered_s: Time of its last answer.
        deregistered: Whether it has deregistered. If it got no answer to that
            in time, it goes on for a while, and so do its attempts.
    """

    heartbeat: ports.WorkerHeartbeat
    client: ports.WorkerClient
    clock_ms: int
    clock_read_s: float
    confirmed_end_ms: int = 0
    requested_end_ms: int = 0
    granted_end_ms: int = 0
    acknowledged: int = 0
    last_order: int = 0
    early_orders: dict[int, messages.Order] = attrs.field(factory=dict)
    unconfirmed_results: list[messages.OrderResult] = attrs.field(factory=list)
    last_result: int = 0
    listing: ports.HoldAnswer | None = None
    listed_epoch: int = 0
    reachable: bool = True
    unanswered_s: float = -math.inf
    wake: curio.Event = attrs.field(factory=curio.Event)
    schedule: reportschedule.ReportSchedule = attrs.field(
        factory=reportschedule.ReportSchedule
    )
    recent_starts: dict[fleet.AttemptKey, _RecentStart] = attrs.field(
        factory=dict
    )
    answered_s: float = 0.0
    deregistered: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Worker id and incarnation."""
        return self.heartbeat.worker, self.heartbeat.incarnation

    @property
    def announced(self) -> bool:
        """Whether it has sent a heartbeat to this process of the agent."""
        return _is_announced(self.heartbeat)

    @property
    def is_leaving(self) -> bool:
        """Whether it has announced its end."""
        return self.heartbeat.draining or self.deregistered

    @property
    def last_contact_s(self) -> float:
        """Time of its last answer, or of the last start that it was told."""
        calls_s = (start.called_s for start in self.recent_starts.values())
        return max(self.answered_s, *calls_s, 0.0)

    @property
    def confirmed(self) -> bool:
        """Whether it has sent a heartbeat or answered a `hold` call."""
        return self.announced or self.listing is not None

    def take_orders(
        self, confirmed: int, orders: tuple[messages.Order, ...]
    ) -> list[messages.Order]:
        """Returns the orders that are to be executed now, in order.

        An order waits until those before it have arrived, each is returned
        once.

        Args:
            confirmed: Number up to which the leader sends no more orders.
            orders: Orders received.
        """
        self.last_order = max(self.last_order, confirmed)
        for order in orders:
            self.early_orders[order.number] = order
        ready = []
        while order := self.early_orders.pop(self.last_order + 1, None):
            self.last_order = order.number
            ready.append(order)
        for number in [n for n in self.early_orders if n <= self.last_order]:
            del self.early_orders[number]
        return ready

    def record_answer(self, now: float) -> None:
        """Records a sign of life: what runs for long has not crashed it.

        Args:
            now: Seconds of the agent's clock.
        """
        self.answered_s = now
        for key, start in list(self.recent_starts.items()):
            if start.is_settled(now):
                del self.recent_starts[key]

    def record_listing(self, listing: ports.HoldAnswer, now: float) -> None:
        """Records which of the recent starts run or have ended.

        Args:
            listing: An answer to a `hold` call.
            now: Seconds of the agent's clock.
        """
        for row in listing.running if self.recent_starts else ():
            start = self.recent_starts.get((row[0], row[1]))
            if start is not None and start.since_s is None:
                start.since_s = now
        for row in listing.ended:
            self.recent_starts.pop((row[1], row[2]), None)
        self.record_answer(now)

    def crash(self) -> messages.WorkerCrash:
        """Returns the report of its crash."""
        attempts = []
        for key, start in self.recent_starts.items():
            ran_s = 0.0
            if start.since_s is not None:
                ran_s = self.answered_s - start.since_s
            attempts.append((*key, int(ran_s * 1000)))
        return messages.WorkerCrash(*self.key, tuple(attempts))

    def start_term(self) -> None:
        """Drops what is numbered by an earlier leader."""
        self.last_order = 0
        self.early_orders.clear()
        self.unconfirmed_results.clear()
        self.schedule.restart()


@kernel.plugin(settings_module.Role.PIPELINE_AGENT)
class PipelineAgent(kernel.Plugin):
    """Executes the leader's orders on the workers of this host."""

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._clock = clock_module.BoottimeClock()
        self._started_s = self._clock.now()
        self._started_ms = int(time.time() * 1000)
        self._port = parts.port
        self._hold_ms = parts.settings.pipelines.hold_ms
        # A worker that has not shown itself by then runs nothing, either: the
        # leases that an earlier process of this agent extended have lapsed.
        self._complete_after_s = max(
            DISCOVERY_S,
            self._hold_ms / 1000 * (1 + CLOCK_DRIFT) + LAPSE_MARGIN_S,
        )
        self._leader = messages.LeaderInfo()
        self._leader_contact_s = 0.0
        self._leader_lost = False
        self._entries: dict[str, None] = dict.fromkeys(
            parts.settings.pipelines.seeds
        )
        self._workers: dict[tuple[str, int], _Worker] = {}
        self._gone_since_s: dict[tuple[str, int], float] = {}
        # Times since which ended incarnations are known to be blameless.
        self._blameless_since_s: dict[tuple[str, int], float] = {}
        # Time since which this process was not suspended, and of the latest
        # check of that.
        self._active_since_s = self._active_s = self._started_s
        # Crashes of ended incarnations, for as long as they may be reported.
        self._crashes: dict[tuple[str, int], messages.WorkerCrash] = {}
        # Ended incarnations, by the successor that must be held before they
        # count as gone.
        self._predecessors: dict[tuple[str, int], list[tuple[str, int]]] = {}
        self._sequence = 0
        self._last_report_s = -math.inf
        self._report_sent_s: dict[int, float] = {}
        parts.bus.handle(messages.Instructions, self._on_instructions)
        parts.bus.handle(messages.LeaderHello, self._on_hello)
        parts.metrics.gauge("workers_known", lambda: len(self._workers))
        parts.metrics.gauge("leader_epoch", lambda: self._leader.epoch)

    async def run(self) -> None:
        """Sends reports, or looks for a leader, until cancelled."""
        await curio.spawn(self._adopt_registered_workers, daemon=True)
        while True:
            self._drop_unconfirmed_workers()
            if self._clock.now() - self._leader_contact_s > LEADER_TIMEOUT_S:
                await self._find_leader()
                await curio.sleep(FIND_INTERVAL_S)
            else:
                silence_s = self._clock.now() - self._last_report_s
                if silence_s >= REPORT_INTERVAL_S:
                    await self._report(())
                await curio.sleep(RUN_POLL_S)

    def _check_suspension(self) -> None:
        """Notices that this process was suspended since the last check."""
        now_s = self._clock.now()
        if now_s - self._active_s > MAX_CALL_S:
            self._active_since_s = now_s
        self._active_s = now_s

    async def _adopt_registered_workers(self) -> None:
        """Calls the workers that an earlier process of this agent reported.

        Otherwise their work is unknown until their next heartbeats.
        """
        name = self._parts.settings.name
        match await self._parts.table.read(
            f"{pipelinerows.AGENTS_PREFIX}{name}"
        ):
            case store.Found(row=row):
                pass
            case _:
                return
        try:
            registration = pipelinerows.decode_registration(row)
        except msgspec.MsgspecError as error:
            log.emit(events.Events.ROW_IGNORED, key=row.key, reason=str(error))
            return
        for known in registration.lives:
            is_known = any(
                known.worker == other.heartbeat.worker
                or known.address == other.heartbeat.address
                for other in self._workers.values()
            )
            if known.service and known.address and not is_known:
                await self.update_worker(
                    _registered_heartbeat(known, self._parts.settings.zone)
                )

    def _drop_unconfirmed_workers(self) -> None:
        """Drops registered workers of which there is no sign in time."""
        if self._clock.now() - self._started_s > DISCOVERY_S:
            for key, worker in list(self._workers.items()):
                if not worker.confirmed:
                    del self._workers[key]

    async def update_worker(self, heartbeat: ports.WorkerHeartbeat) -> None:
        """Applies a heartbeat; one of an earlier incarnation is ignored."""
        key = (heartbeat.worker, heartbeat.incarnation)
        if key in self._gone_since_s or self._is_predecessor(key):
            return
        known = self._workers.get(key)
        if known is not None:
            if heartbeat.sequence >= known.heartbeat.sequence:
                await self._apply_heartbeat(known, heartbeat)
            return
        if any(
            w.heartbeat.address == heartbeat.address
            and w.heartbeat.incarnation > heartbeat.incarnation
            for w in self._workers.values()
        ):
            self._parts.metrics.count("notices_ignored", reason="old-life")
            return
        replaced = [
            w
            for w in self._workers.values()
            if w.heartbeat.worker == heartbeat.worker
            or w.heartbeat.address == heartbeat.address
        ]
        if not self._has_place_for_successor(replaced):
            self._parts.metrics.count("notices_ignored", reason="too-many")
            log.emit(
                events.Events.HEARTBEAT_IGNORED,
                worker=heartbeat.worker,
                reason="the host has too many workers or incarnations",
            )
            return
        for other in replaced:
            same = other.heartbeat.worker == heartbeat.worker
            self._remove(
                other,
                "another incarnation replaced it",
                key if same else None,
                crashed=not other.is_leaving,
            )
        await self._add_worker(heartbeat)

    def _has_place_for_successor(self, replaced: list[_Worker]) -> bool:
        """Returns whether a new incarnation stays within the limits of a host.

        The successor of a worker that has answered is real, and must not be
        kept out by ids that were made up.

        Args:
            replaced: Incarnations that it replaces.
        """
        succeeds = any(worker.listing is not None for worker in replaced)
        return len(self._workers) - len(replaced) < MAX_WORKERS and (
            len(self._gone_since_s) < MAX_GONE or succeeds
        )

    async def _add_worker(self, heartbeat: ports.WorkerHeartbeat) -> None:
        """Manages a new incarnation of a worker until it is gone."""
        worker = _Worker(
            heartbeat,
            self._port.worker_client(heartbeat),
            heartbeat.clock_ms,
            self._clock.now(),
        )
        self._workers[worker.key] = worker
        log.emit(
            events.Events.PIPELINE_WORKER_UP,
            worker=heartbeat.worker,
            life=heartbeat.incarnation,
            agent=self._parts.settings.name,
            capacity=attrs.astuple(heartbeat.capacity),
        )
        await curio.spawn(self._hold_until_gone, worker, daemon=True)

    async def _apply_heartbeat(
        self, worker: _Worker, heartbeat: ports.WorkerHeartbeat
    ) -> None:
        """Applies a later heartbeat; what decides on starts is news."""
        before = worker.heartbeat
        worker.heartbeat = heartbeat
        if before.draining != heartbeat.draining:
            log.emit(
                events.Events.PIPELINE_WORKER_DRAINS,
                worker=heartbeat.worker,
                remaining_ms=heartbeat.remaining_ms,
            )
        if before.capacity != heartbeat.capacity:
            log.emit(
                events.Events.PIPELINE_WORKER_RESIZED,
                worker=heartbeat.worker,
                before=attrs.astuple(before.capacity),
                capacity=attrs.astuple(heartbeat.capacity),
            )
        if _start_conditions(before) != _start_conditions(heartbeat):
            await self._report((worker,))

    async def record_deregistration(
        self, worker_id: str, incarnation: int | None
    ) -> None:
        """Records that a worker has deregistered.

        That it has ended shows later: this process may read the call long after
        it was sent, while the worker goes on without an answer to it.

        Args:
            worker_id: Its id.
            incarnation: Its incarnation, None for any with this id.
        """
        leaving = tuple(
            worker
            for worker in self._workers.values()
            if worker.heartbeat.worker == worker_id
            and incarnation in (None, worker.heartbeat.incarnation)
        )
        for worker in leaving:
            worker.deregistered = True
            await worker.wake.set()
        await self._report(leaving)

    def _is_predecessor(self, key: tuple[str, int]) -> bool:
        return any(
            key in predecessors for predecessors in self._predecessors.values()
        )

    def _remove(
        self,
        worker: _Worker,
        reason: str,
        successor: tuple[str, int] | None = None,
        crashed: bool = False,
    ) -> None:
        """Removes an incarnation that has ended.

        Args:
            worker: The incarnation.
            reason: The reason, for the log.
            successor: Incarnation with the same worker id, if any. Until it is
                held under its higher fencing token, it would execute late
                orders to the ended one, which counts as gone only after that.
            crashed: Whether it ended without announcing it.
        """
        self._workers.pop(worker.key, None)
        ended = [*self._predecessors.pop(worker.key, ()), worker.key]
        if successor is not None:
            self._predecessors.setdefault(successor, []).extend(ended)
        else:
            self._gone_since_s.update(dict.fromkeys(ended, self._clock.now()))
        self._check_suspension()
        if not crashed or worker.last_contact_s < self._active_since_s:
            self._blameless_since_s[worker.key] = self._clock.now()
        elif worker.recent_starts:
            self._crashes[worker.key] = worker.crash()
        log.emit(
            events.Events.PIPELINE_WORKER_GONE,
            worker=worker.heartbeat.worker,
            life=worker.heartbeat.incarnation,
            attempts=len(worker.listing.running) if worker.listing else 0,
            recent_starts=len(worker.recent_starts),
            reason=reason,
        )

    async def _find_leader(self) -> None:
        if not self._leader_lost:
            self._leader_lost = True
            log.emit(
                events.Events.PIPELINE_LEADER_LOST,
                epoch=self._leader.epoch,
                leader=self._leader.name,
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
                    if (
                        peers.seat.epoch >= self._leader.epoch
                        and peers.seat.bus
                    ):
                        await self._report_to(peers.seat)
                        return
        await self._find_leader_in_store()

    async def _find_leader_in_store(self) -> None:
        """Reads the leader from its lease row in the store."""
        match await self._parts.table.read(pipelinelease.KEY):
            case store.Found(row=row):
                try:
                    lease = pipelinelease.decode(row).row
                except msgspec.MsgspecError as error:
                    log.emit(
                        events.Events.ROW_IGNORED,
                        key=row.key,
                        reason=str(error),
                    )
                    return
                if lease.epoch >= self._leader.epoch and not lease.vacated:
                    await self._report_to(
                        messages.LeaderInfo(
                            lease.epoch, lease.holder, lease.bus
                        )
                    )

    async def _report_to(self, leader: messages.LeaderInfo) -> None:
        self._accept_leader(leader)
        await self._report(tuple(self._workers.values()))

    def _accept_leader(self, leader: messages.LeaderInfo) -> bool:
        """Accepts a leader of the current or a later epoch.

        Returns:
            Whether it was accepted.
        """
        if leader.epoch < self._leader.epoch:
            self._parts.metrics.count("orders_refused", reason="stale-epoch")
            return False
        if leader.epoch > self._leader.epoch:
            log.emit(
                events.Events.PIPELINE_LEADER_FOUND,
                epoch=leader.epoch,
                leader=leader.name,
            )
            for worker in self._workers.values():
                worker.start_term()
        self._leader = leader
        return True

    async def _on_hello(self, message: messages.LeaderHello, _envelope) -> None:
        if self._accept_leader(message.seat):
            await curio.spawn(
                self._report, tuple(self._workers.values()), daemon=True
            )
            for worker in self._workers.values():
                worker.schedule.restart()
                await worker.wake.set()

    async def _on_instructions(
        self, message: messages.Instructions, _envelope
    ) -> None:
        if not self._accept_leader(message.seat):
            return
        self._leader_contact_s = self._clock.now()
        if self._leader_lost:
            self._leader_lost = False
            log.emit(
                events.Events.PIPELINE_LEADER_FOUND,
                epoch=message.seat.epoch,
                leader=message.seat.name,
            )
        worker = self._workers.get((message.worker, message.life))
        if worker is None:
            return
        worker.granted_end_ms = max(worker.granted_end_ms, message.lease_end_ms)
        if message.noted > worker.acknowledged:
            worker.acknowledged = message.noted
            await worker.wake.set()
        worker.unconfirmed_results = [
            r
            for r in worker.unconfirmed_results
            if r.sequence > message.results_seen
        ]
        if message.report_interval_ms:
            worker.schedule.interval_s = message.report_interval_ms / 1000
        orders = worker.take_orders(message.confirmed, message.orders)
        stopped = {
            (order.task, order.attempt)
            for order in orders
            if order.kind == messages.STOP
        }
        is_outdated = self._is_outdated(message)
        for order in orders:
            # While an agent is cut off, the start and the stop of an attempt
            # may both come to wait, in one message or in two.
            if (is_outdated and order.kind == messages.START) or (
                order.kind != messages.STOP
                and (order.task, order.attempt) in stopped
            ):
                self._record_result(
                    worker,
                    order,
                    message.seat.epoch,
                    messages.REFUSED,
                    "outdated",
                )
                continue
            await curio.spawn(
                self._execute, worker, order, message.seat.epoch, daemon=True
            )

    def _is_outdated(self, message: messages.Instructions) -> bool:
        """Returns whether a message rests on too old a report."""
        if not message.report:
            return False
        sent_s = self._report_sent_s.get(message.report, -math.inf)
        return self._clock.now() - sent_s > START_TTL_S

    async def _execute(
        self, worker: _Worker, order: messages.Order, epoch: int
    ) -> None:
        try:
            outcome_name, reason = await self._call_worker(worker, order, epoch)
        except (Exception, curio.TaskTimeout) as error:  # noqa: BLE001 - the leader waits for a result
            self._record_worker_error(worker, order.kind, error)
            outcome_name, reason = messages.REFUSED, "error"
            if order.kind != messages.PACE:
                # The call may have been sent.
                await self._stop(worker, order, epoch)
                outcome_name = messages.FENCED_OFF
        self._record_result(worker, order, epoch, outcome_name, reason)

    def _record_result(
        self,
        worker: _Worker,
        order: messages.Order,
        epoch: int,
        outcome_name: str,
        reason: str,
    ) -> None:
        log.emit(
            events.Events.ORDER_CARRIED_OUT,
            kind=order.kind,
            task=order.task,
            attempt=order.attempt,
            worker=worker.heartbeat.worker,
            outcome=outcome_name,
            reason=reason,
        )
        if self._leader.epoch != epoch:
            return
        worker.last_result += 1
        worker.unconfirmed_results.append(
            messages.OrderResult(
                worker.last_result, order.number, outcome_name, reason
            )
        )

    async def _call_worker(
        self, worker: _Worker, order: messages.Order, epoch: int
    ) -> tuple[str, str]:
        """Executes an order; returns its outcome and the reason for it."""
        match order.kind:
            case messages.START:
                return await self._start(worker, order, epoch)
            case messages.STOP:
                await self._stop(worker, order, epoch)
            case messages.PACE:
                result = await worker.client.pace(
                    order, _fencing_token(epoch, worker)
                )
                if not isinstance(result, ports.Accepted):
                    return messages.REFUSED, result.reason
        return messages.DONE, ""

    async def _start(
        self, worker: _Worker, order: messages.Order, epoch: int
    ) -> tuple[str, str]:
        if worker.is_leaving:
            return messages.REFUSED, "draining"
        # The registered capacity may be more than what is left.
        if not worker.announced:
            return messages.REFUSED, "no-heartbeat"
        # An order may have been on its way, or repeated, for seconds.
        if order.capacity is not None and not (
            worker.heartbeat.capacity.covers(order.capacity)
        ):
            return messages.REFUSED, "shrunk"
        end_ms = self._next_lease_end_ms(worker)
        if end_ms - self._worker_clock_ms(worker) < MIN_START_LEASE_MS:
            return messages.REFUSED, "late"
        worker.requested_end_ms = max(worker.requested_end_ms, end_ms)
        key = (order.task, order.attempt)
        start = _RecentStart(self._clock.now())
        worker.recent_starts[key] = start
        result = await worker.client.start(
            order, end_ms, _fencing_token(epoch, worker)
        )
        match result:
            case ports.Accepted():
                now_s = self._clock.now()
                worker.record_answer(now_s)
                if start.since_s is None:
                    start.since_s = now_s
                if order.percent < FULL_PACE_PERCENT:
                    await worker.client.pace(
                        order, _fencing_token(epoch, worker)
                    )
                return messages.DONE, ""
            case ports.Denied(reason=reason):
                worker.recent_starts.pop(key, None)
                return messages.REFUSED, reason
        self._parts.metrics.count("orders_unanswered", kind="start")
        if not await self._is_listed_by_next_hold(worker, order):
            await self._stop(worker, order, epoch)
            return messages.FENCED_OFF, result.reason
        return messages.DONE, ""

    async def _is_listed_by_next_hold(
        self, worker: _Worker, order: messages.Order
    ) -> bool:
        """Returns whether the next `hold` lists an unanswered start.

        Waits for the answer of that call for a limited time.
        """
        before = worker.listing
        for _ in range(LISTING_POLLS):
            await curio.sleep(LISTING_POLL_S)
            if worker.listing is not before and worker.listing is not None:
                break
        key = (order.task, order.attempt)
        listing = worker.listing
        return listing is not None and (
            any((row[0], row[1]) == key for row in listing.running)
            or any((row[1], row[2]) == key for row in listing.ended)
        )

    async def _stop(
        self, worker: _Worker, order: messages.Order, epoch: int
    ) -> None:
        """Stops an attempt or prevents its start.

        Repeats the call until the worker confirms it, is gone, or another
        leader takes over.
        """
        while worker.key in self._workers and self._leader.epoch == epoch:
            result = await worker.client.stop(
                order, _fencing_token(epoch, worker)
            )
            match result:
                case ports.Accepted():
                    # It has answered since the start, which can't take effect
                    # any more.
                    worker.recent_starts.pop((order.task, order.attempt), None)
                    return
                case ports.Denied(reason="fence" | "life" | "old"):
                    return
            self._parts.metrics.count("orders_unanswered", kind="stop")
            await curio.sleep(RETRY_S)

    def _worker_clock_ms(self, worker: _Worker) -> int:
        elapsed_s = self._clock.now() - worker.clock_read_s
        return worker.clock_ms + int(elapsed_s * 1000)

    def _next_lease_end_ms(self, worker: _Worker) -> int:
        wanted_ms = self._worker_clock_ms(worker) + self._hold_ms
        return min(wanted_ms, worker.granted_end_ms)

    async def _hold_until_gone(self, worker: _Worker) -> None:
        """Calls `hold` for one incarnation of a worker until it is gone."""
        while worker.key in self._workers:
            self._check_suspension()
            if not self._leader.epoch:
                await curio.sleep(NO_LEADER_POLL_S)
                continue
            try:
                await self._hold(worker)
            except (Exception, curio.TaskTimeout) as error:  # noqa: BLE001 - leases lapse without further calls
                self._record_worker_error(worker, "hold", error)
                await curio.sleep(RETRY_S)

    def _record_worker_error(
        self, worker: _Worker, call: str, error: BaseException
    ) -> None:
        self._parts.metrics.count("worker_calls_crashed", call=call)
        log.emit(
            events.Events.WORKER_CALL_CRASHED,
            exc_info=True,
            worker=worker.heartbeat.worker,
            call=call,
            reason=repr(error),
        )

    def _hold_wait_ms(self, worker: _Worker, acknowledged: int) -> int:
        """Returns how long a `hold` call may wait for an end.

        A new leader starts no earlier work before it has every worker's list,
        so its first one is not delayed.
        """
        listing = worker.listing
        if (
            listing is None
            or worker.listed_epoch != self._leader.epoch
            or any(row[0] > acknowledged for row in listing.ended)
        ):
            return 0
        return min(int(worker.schedule.interval_s * 1000), MAX_HOLD_WAIT_MS)

    async def _hold(self, worker: _Worker) -> None:
        epoch = self._leader.epoch
        end_ms = self._next_lease_end_ms(worker)
        extended_end_ms = None
        if end_ms > worker.confirmed_end_ms and not worker.deregistered:
            extended_end_ms = end_ms
        worker.requested_end_ms = max(
            worker.requested_end_ms, extended_end_ms or 0
        )
        acknowledged = worker.acknowledged
        results = tuple(worker.unconfirmed_results)
        called_s = self._clock.now()
        result = await worker.client.hold(
            _fencing_token(epoch, worker),
            acknowledged,
            extended_end_ms,
            self._hold_wait_ms(worker, acknowledged),
        )
        ended_s = self._clock.now()
        worker.unanswered_s = -math.inf
        if not _is_answer(result) and ended_s - called_s < MAX_CALL_S:
            worker.unanswered_s = ended_s
        if epoch != self._leader.epoch:
            return
        match result:
            case ports.HoldAnswer(incarnation=answered) if answered not in (
                None,
                worker.heartbeat.incarnation,
            ):
                await self._on_unreachable(worker, "life")
            case ports.HoldAnswer():
                self._apply_listing(worker, result, extended_end_ms)
                await self._report_listing(worker, results, acknowledged)
            case ports.Denied(reason="fence" | "busy"):
                worker.record_answer(self._clock.now())
                await self._on_unreachable(worker, result.reason)
            case _:
                await self._on_unreachable(worker, result.reason)

    def _apply_listing(
        self,
        worker: _Worker,
        listing: ports.HoldAnswer,
        extended_end_ms: int | None,
    ) -> None:
        if not worker.reachable:
            worker.reachable = True
            log.emit(
                events.Events.PIPELINE_WORKER_ANSWERS,
                worker=worker.heartbeat.worker,
            )
        worker.listing = listing
        worker.listed_epoch = self._leader.epoch
        predecessors = self._predecessors.pop(worker.key, ())
        self._gone_since_s.update(
            dict.fromkeys(predecessors, self._clock.now())
        )
        worker.clock_ms = listing.clock_ms
        worker.clock_read_s = self._clock.now()
        worker.record_listing(listing, worker.clock_read_s)
        if extended_end_ms is not None:
            worker.confirmed_end_ms = extended_end_ms

    async def _report_listing(
        self,
        worker: _Worker,
        results: tuple[messages.OrderResult, ...],
        acknowledged: int,
    ) -> None:
        listing = worker.listing
        now_s = self._clock.now()
        if worker.schedule.is_due(listing, results, acknowledged, now_s):
            worker.schedule.record(listing, results, now_s)
            await self._report((worker,), True, results)
        if (
            any(row[0] > acknowledged for row in listing.ended)
            or listing.more_ended
        ):
            worker.wake.clear()
            if worker.acknowledged == acknowledged:
                await curio.ignore_after(
                    ACKNOWLEDGEMENT_WAIT_S, worker.wake.wait
                )

    async def _on_unreachable(self, worker: _Worker, reason: str) -> None:
        if worker.deregistered and (
            reason in _ENDED_REASONS or self._lease_has_lapsed(worker)
        ):
            self._remove(worker, "it deregistered")
            await self._report(())
            return
        if worker.reachable:
            worker.reachable = False
            log.emit(
                events.Events.PIPELINE_WORKER_SILENT,
                worker=worker.heartbeat.worker,
                reason=reason,
                lease_left_ms=worker.requested_end_ms
                - self._worker_clock_ms(worker),
            )
        if reason == "fence":
            self._leader_contact_s = 0.0
        await self._report((worker,))
        await curio.sleep(LEAVING_RETRY_S if worker.deregistered else RETRY_S)

    def _lease_has_lapsed(self, worker: _Worker) -> bool:
        """Returns whether a lease was requested and has certainly lapsed.

        An unreachable worker then runs nothing.
        """
        elapsed_ms = (self._clock.now() - worker.clock_read_s) * 1000
        least_ms = worker.clock_ms + elapsed_ms * (1 - CLOCK_DRIFT)
        return 0 < worker.requested_end_ms < least_ms

    def _is_silent(self, worker: _Worker) -> bool:
        """Returns whether a worker stays silent beyond its leases.

        A call that ended long ago, or took long, shows that this process was
        suspended since.
        """
        return (
            not worker.reachable
            and self._clock.now() - worker.unanswered_s < MAX_CALL_S
            and self._lease_has_lapsed(worker)
        )

    async def _report(
        self,
        workers: tuple[_Worker, ...],
        fresh: bool = False,
        results: tuple[messages.OrderResult, ...] = (),
    ) -> None:
        """Sends a report to the leader, in parts if it is large.

        Args:
            workers: Workers whose states are included.
            fresh: Whether their lists were read for this report.
            results: Unconfirmed results at the time of that request.
        """
        if not self._leader.bus:
            return
        now_s = self._clock.now()
        for key, since_s in list(self._gone_since_s.items()):
            if now_s - since_s > GONE_REPORT_S:
                del self._gone_since_s[key]
                self._crashes.pop(key, None)
        for key, since_s in list(self._blameless_since_s.items()):
            if now_s - since_s > BLAMELESS_REPORT_S:
                del self._blameless_since_s[key]
        states = [
            _worker_state(
                worker,
                fresh,
                results,
                self._lease_has_lapsed(worker),
                self._is_silent(worker),
            )
            for worker in workers
            if worker.listing is not None
        ]
        for part in _split_states(states):
            await self._post_report(part, now_s)

    async def _post_report(
        self, states: tuple[messages.WorkerState, ...], now_s: float
    ) -> None:
        self._sequence += 1
        self._last_report_s = now_s
        self._report_sent_s[self._sequence] = now_s
        self._report_sent_s.pop(self._sequence - DATED_REPORTS, None)
        report = messages.AgentReport(
            self._parts.settings.name,
            self._leader.epoch,
            self._sequence,
            now_s - self._started_s > self._complete_after_s,
            tuple(w.key for w in self._workers.values() if w.confirmed),
            states,
            tuple(self._gone_since_s),
            {
                w.heartbeat.worker: w.heartbeat.address
                for w in self._workers.values()
                if w.confirmed
            },
            self._reported_crashes(),
            self._started_ms,
            tuple(self._blameless_since_s),
        )
        await self._parts.bus.post(self._leader.bus, report)

    def _reported_crashes(self) -> tuple[messages.WorkerCrash, ...]:
        gone = [
            crash
            for key, crash in self._crashes.items()
            if key in self._gone_since_s
        ]
        silent = [
            attrs.evolve(worker.crash(), certain=False)
            for worker in self._workers.values()
            if worker.recent_starts and self._is_silent(worker)
        ]
        return (*gone, *silent)


def _fencing_token(epoch: int, worker: _Worker) -> int:
    """Returns the fencing token of an epoch and a worker's incarnation.

    A later incarnation has a higher token, so that it refuses late orders to an
    earlier one.
    """
    incarnation_bits = worker.heartbeat.incarnation & (
        (1 << _INCARNATION_BITS) - 1
    )
    return (epoch << _INCARNATION_BITS) | incarnation_bits


def _is_answer(
    result: ports.HoldAnswer | ports.Denied | ports.NoAnswer,
) -> bool:
    """Returns whether any incarnation of a worker has answered a call."""
    match result:
        case ports.HoldAnswer():
            return True
        case ports.Denied():
            return result.is_answer
    return False


def _is_announced(heartbeat: ports.WorkerHeartbeat) -> bool:
    """Returns whether a worker sent it; see `_registered_heartbeat`."""
    return heartbeat.sequence >= 0


def _start_conditions(heartbeat: ports.WorkerHeartbeat) -> tuple:
    """Returns what decides which tasks may start on a worker."""
    return (
        _is_announced(heartbeat),
        heartbeat.draining,
        heartbeat.capacity,
        heartbeat.service,
        heartbeat.rack,
        heartbeat.labels,
        heartbeat.zone,
        heartbeat.cold_left_ms > 0,
    )


def _registered_heartbeat(
    known: fleet.KnownIncarnation, zone: str
) -> ports.WorkerHeartbeat:
    """Returns a heartbeat for a registered worker that any real one follows."""
    return ports.WorkerHeartbeat(
        worker=known.worker,
        incarnation=known.life,
        address=known.address,
        service=known.service,
        zone=zone,
        rack=known.rack,
        labels=known.labels,
        capacity=known.capacity,
        draining=False,
        remaining_ms=0,
        clock_ms=0,
        sequence=-1,
    )


def _worker_state(
    worker: _Worker,
    fresh: bool,
    results: tuple[messages.OrderResult, ...],
    lapsed: bool,
    silent: bool,
) -> messages.WorkerState:
    heartbeat = worker.heartbeat
    listing = worker.listing
    return messages.WorkerState(
        worker=heartbeat.worker,
        life=heartbeat.incarnation,
        service=heartbeat.service,
        rack=heartbeat.rack,
        labels=heartbeat.labels,
        capacity=heartbeat.capacity,
        draining=worker.is_leaving,
        remaining_ms=0 if worker.deregistered else heartbeat.remaining_ms,
        clock_ms=listing.clock_ms,
        running=listing.running,
        ended=listing.ended,
        more_ended=listing.more_ended,
        results=results,
        received=worker.last_order,
        fresh=fresh,
        reachable=worker.reachable,
        lapsed=lapsed and not worker.reachable,
        announced=worker.announced,
        silent=silent,
        zone=heartbeat.zone,
        cold_left_ms=heartbeat.cold_left_ms,
    )


def _split_states(
    states: list[messages.WorkerState],
) -> list[tuple[messages.WorkerState, ...]]:
    """Returns the states in parts that fit into one report each, at least one.

    A state that exceeds a report by itself loses its last ends, which are
    listed again once the leader has acknowledged the first ones.
    """
    parts = [[]]
    part_size = 0
    for state in states:
        fitting, size = _cut_ends(state)
        if parts[-1] and part_size + size > MAX_REPORT_BYTES:
            parts.append([])
            part_size = 0
        parts[-1].append(fitting)
        part_size += size
    return [tuple(part) for part in parts]


def _cut_ends(
    state: messages.WorkerState,
) -> tuple[messages.WorkerState, int]:
    """Returns a state with the ends that fit, and its largest size."""
    size = _STATE_OVERHEAD_BYTES + _row_bytes(
        (state.worker, state.service, state.rack, state.zone, *state.labels)
    )
    size += sum(map(_row_bytes, state.running))
    size += sum(_row_bytes((r.outcome, r.reason)) for r in state.results)
    sizes = list(map(_row_bytes, state.ended))
    if size + sum(sizes) <= MAX_REPORT_BYTES:
        return state, size + sum(sizes)
    # In the order of their numbers, as an acknowledgement covers all before it.
    kept = []
    for row in sorted(state.ended, key=lambda row: row[0]):
        row_bytes = _row_bytes(row)
        if kept and size + row_bytes > MAX_REPORT_BYTES:
            break
        size += row_bytes
        kept.append(row)
    cut = len(kept) < len(state.ended)
    state = attrs.evolve(
        state, ended=tuple(kept), more_ended=state.more_ended or cut
    )
    return state, size


def _row_bytes(row: tuple) -> int:
    return _ROW_OVERHEAD_BYTES + sum(
        len(text.encode()) for text in row if isinstance(text, str)
    )
