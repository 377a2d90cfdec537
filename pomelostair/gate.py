"""Admission control of an agent, the only process that assigns minion slots.

Requests wait for a slot in a bounded queue. A request that can't finish before
its deadline is refused before it is sent to the minion, so that the caller
knows that it did not run.
"""

import attrs
import curio
import msgspec

from pomelostair import bus as bus_module
from pomelostair import codec
from pomelostair import configuration
from pomelostair import declaration
from pomelostair import errors
from pomelostair import events
from pomelostair import http
from pomelostair import httpclient
from pomelostair import kernel
from pomelostair import log
from pomelostair import messages
from pomelostair import outcome
from pomelostair import queueing
from pomelostair import servicetime
from pomelostair import settings as settings_module
from pomelostair import slots as slots_module
from pomelostair import wire

REQUEST_ID_HEADER = "pomelostair-request-id"
TIMEOUT_HEADER = "pomelostair-timeout-ms"
SWEEP_INTERVAL_S = 0.01
IDLE_SWEEP_INTERVAL_S = 0.5
PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 1.0
# Part of a request's time that is reserved for its way back to the caller.
ANSWER_MARGIN_S = 0.005
# Share of the length limit from which the queue is announced as full.
FULL_QUEUE_SHARE = 0.9


@attrs.frozen
class MinionStatus:
    """Response body of a minion's status path.

    Attributes:
        running: Requests that the minion runs now, from all senders.
    """

    running: int


@attrs.frozen
class _PendingCall:
    """A request and the envelope of the call that awaits its response."""

    serve: messages.Serve
    envelope: wire.Envelope


@kernel.plugin(settings_module.Role.AGENT)
class Gate(kernel.Plugin):
    """Runs requests on the minion, at most one per slot at a time."""

    requires = (configuration.Configuration,)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._configuration = host.get(configuration.Configuration)
        self._cached_declarations = self._declarations()
        self._cached_shares = queueing.Shares.from_declarations(
            self._cached_declarations
        )
        self._draining = False
        self._request_queued = curio.Event()
        self._queue = queueing.FairQueue()
        self._first_request_queued = curio.Event()
        self._slot_doubtful = curio.Event()
        self._service_time = servicetime.ServiceTime()
        self._ledger = slots_module.SlotLedger(0)
        self._minion: settings_module.MinionTarget | None = None
        match parts.settings.target:
            case settings_module.MinionTarget() as minion:
                self._attach_minion(minion)

    def _attach_minion(self, minion: settings_module.MinionTarget) -> None:
        self._minion = minion
        self._ledger = slots_module.SlotLedger(minion.slots)
        self._longest_run_s = minion.longest_run_ms / 1000
        self._ledger.mark_all_doubtful(self._now() + self._longest_run_s)
        self._client = httpclient.Client(minion.address, minion.connections)
        self._parts.bus.handle(messages.Serve, self._on_serve)
        self._parts.metrics.gauge("queue_length", lambda: self.queued)
        self._parts.metrics.gauge("queue_bytes", lambda: self._queue.bytes)
        self._parts.metrics.gauge("slots_taken", lambda: self.running)

    @property
    def minion(self) -> settings_module.MinionTarget | None:
        """The minion beside this agent, if its target is one."""
        return self._minion

    @property
    def running(self) -> int:
        """Slots in which a request runs or may still run."""
        return self._ledger.occupied(self._now())

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def service_ms(self) -> float:
        """Moving average of the time a request holds a slot, in ms."""
        return self._service_time.mean_s * 1000

    def expected_waits_ms(self) -> tuple[float, ...]:
        """Returns the expected wait of a new request, by urgency class."""
        if self._minion is None:
            return ()
        has_free_slot = self._ledger.free(self._now())
        shares = self._shares()
        turn_interval_ms = self.service_ms / self._ledger.slots
        return tuple(
            0.0
            if has_free_slot
            else (1 + self._queue.expected_turns(urgency, shares))
            * turn_interval_ms
            for urgency in messages.Urgency
        )

    def class_to_shed(self) -> messages.Urgency | None:
        """Returns the class to shed from next, None if there is room."""
        if self._minion is None:
            return None
        max_length = (
            self._declarations().limits.queue_per_slot * self._ledger.slots
        )
        if self.queued < FULL_QUEUE_SHARE * max_length:
            return None
        return messages.Urgency(
            self._queue.most_overloaded_class(self._shares())
        )

    async def run(self) -> None:
        """Refuses expired requests and resolves doubtful slots."""
        if self._minion is None:
            return
        await curio.spawn(self._probe_while_doubtful, daemon=True)
        while True:
            await self._wait_for_sweep()
            horizon = self._now() + self._service_time.safe_s + ANSWER_MARGIN_S
            for expired in self._queue.expire(horizon):
                await self._refuse(expired.context, _too_late_refusal())
            await self._start_queued_requests()

    async def _wait_for_sweep(self) -> None:
        """Waits for a queued request or the idle interval, then a sweep."""
        if not self.queued:
            async with curio.ignore_after(IDLE_SWEEP_INTERVAL_S):
                await self._request_queued.wait()
            self._request_queued.clear()
        await curio.sleep(SWEEP_INTERVAL_S)

    async def drain(self, timeout_s: float) -> None:
        """Refuses new requests and finishes the queued and running ones."""
        self._draining = True
        if self._minion is None:
            return
        async with curio.ignore_after(timeout_s):
            while self._ledger.running or self.queued:
                await curio.sleep(SWEEP_INTERVAL_S)
            await curio.sleep(bus_module.CONNECT_TIMEOUT_S)

    async def _on_serve(
        self, serve: messages.Serve, envelope: wire.Envelope
    ) -> None:
        pending = _PendingCall(serve, envelope)
        refusal = self._refusal_before_queueing(serve)
        if refusal is not None:
            await self._refuse(pending, refusal)
            return
        shares = self._shares()
        queued_request = queueing.QueuedRequest(
            urgency=int(serve.urgency),
            team=shares.effective_team(serve.team),
            deadline=(serve.sent_ms + serve.budget_ms) / 1000,
            size_bytes=len(serve.body),
            context=pending,
        )
        if self._would_miss_deadline(queued_request, shares):
            await self._refuse(pending, _too_late_refusal())
            return
        self._queue.push(queued_request)
        if not self._first_request_queued.is_set():
            await self._first_request_queued.set()
        await self._shed_excess(shares)
        await self._start_queued_requests()
        if self.queued:
            await self._request_queued.set()

    def _refusal_before_queueing(
        self, serve: messages.Serve
    ) -> outcome.Refused | None:
        if self._draining:
            return outcome.Refused(
                outcome.Kind.DRAINING, "repeat; this target is draining"
            )
        if serve.incarnation != self._parts.bus.incarnation:
            return outcome.Refused(
                outcome.Kind.NOT_SENT, "repeat; the agent was restarted"
            )
        return None

    def _would_miss_deadline(
        self, queued_request: queueing.QueuedRequest, shares: queueing.Shares
    ) -> bool:
        now = self._now()
        needed_s = self._service_time.safe_s
        if not self._ledger.free(now):
            turns = self._queue.expected_turns_before(queued_request, shares)
            needed_s += turns * self._service_time.mean_s / self._ledger.slots
        return now + needed_s + ANSWER_MARGIN_S > queued_request.deadline

    async def _shed_excess(self, shares: queueing.Shares) -> None:
        """Refuses queued requests until the queue is within its limits."""
        limits = self._declarations().limits
        max_length = limits.queue_per_slot * self._ledger.slots
        max_length += self._ledger.free(self._now())
        while (
            len(self._queue) > max_length
            or self._queue.bytes > limits.queue_bytes
        ):
            shed_request = self._queue.shed(shares)
            refusal = outcome.Refused(
                outcome.Kind.QUEUE_FULL,
                "repeat later; less urgent requests and those beyond their "
                "team's share yield first",
            )
            await self._refuse(shed_request.context, refusal)

    async def _start_queued_requests(self) -> None:
        """Starts queued requests while slots are free."""
        while len(self._queue) and self._ledger.free(self._now()):
            queued_request = self._queue.pop(
                self._shares(), self._service_time.mean_s
            )
            charged_s = self._service_time.mean_s
            remaining_s = queued_request.deadline - self._now()
            if remaining_s <= self._service_time.safe_s + ANSWER_MARGIN_S:
                self._correct_charge(queued_request, charged_s, 0.0)
                await self._refuse(queued_request.context, _too_late_refusal())
                continue
            self._ledger.acquire()
            await curio.spawn(
                self._run_request,
                queued_request,
                charged_s,
                remaining_s,
                daemon=True,
            )

    async def _run_request(
        self,
        queued_request: queueing.QueuedRequest,
        charged_s: float,
        remaining_s: float,
    ) -> None:
        pending: _PendingCall = queued_request.context
        started_s = self._now()
        try:
            result = await self._forward(pending.serve, started_s, remaining_s)
        except BaseException:
            self._ledger.mark_doubtful(started_s + self._longest_run_s)
            raise
        self._correct_charge(queued_request, charged_s, self._now() - started_s)
        await self._start_queued_requests()
        await self._parts.bus.reply(pending.envelope, result)

    async def _forward(
        self, serve: messages.Serve, started_s: float, remaining_s: float
    ) -> messages.Served | outcome.Refused:
        """Runs a request on the minion and releases its slot.

        The call continues after the caller's deadline, since only the
        minion's response proves that the slot is free. Without a response the
        slot becomes doubtful.
        """
        headers = (
            *serve.headers,
            (REQUEST_ID_HEADER, serve.request_id),
            (TIMEOUT_HEADER, str(int(remaining_s * 1000))),
        )
        request = http.Request(serve.method, serve.target, headers, serve.body)
        try:
            response = await self._client.request(request, self._longest_run_s)
        except errors.NotSentError as error:
            self._ledger.release()
            return outcome.Refused(
                outcome.Kind.NOT_SENT,
                f"repeat; the minion was not reached: {error}",
            )
        except errors.AnswerLostError as error:
            self._ledger.mark_doubtful(started_s + self._longest_run_s)
            await self._slot_doubtful.set()
            return outcome.Refused(
                outcome.Kind.TARGET_FAILED,
                f"check whether it ran before repeating: {error}",
                outcome.Ran.UNKNOWN,
            )
        self._ledger.release()
        duration_s = self._now() - started_s
        self._service_time.observe(duration_s)
        headers = tuple(
            (name, value)
            for name, value in response.headers
            if name.lower() not in http.HOP_BY_HOP_HEADERS
        )
        return messages.Served(response.status, headers, response.body)

    def _correct_charge(
        self,
        queued_request: queueing.QueuedRequest,
        charged_s: float,
        duration_s: float,
    ) -> None:
        """Replaces the charge for the expected slot time by the actual one."""
        self._queue.charge(
            queued_request.urgency,
            queued_request.team,
            self._shares(),
            duration_s - charged_s,
        )

    async def _refuse(
        self, pending: _PendingCall, refusal: outcome.Refused
    ) -> None:
        self._parts.metrics.count(
            "gate_refusals",
            reason=refusal.kind.value,
            urgency=pending.serve.urgency.name.lower(),
        )
        await curio.spawn(
            self._parts.bus.reply, pending.envelope, refusal, daemon=True
        )

    async def _probe_while_doubtful(self) -> None:
        """Probes the minion at intervals while slots are doubtful."""
        while True:
            if self._ledger.doubtful:
                await self._probe_minion()
                await self._start_queued_requests()
                await curio.sleep(PROBE_INTERVAL_S)
            else:
                self._slot_doubtful.clear()
                await self._slot_doubtful.wait()

    async def _probe_minion(self) -> None:
        """Frees doubtful slots in which the minion runs nothing.

        Two samples are taken and the larger one counts.
        """
        if await self._is_minion_gone():
            log.emit(events.Events.MINION_GONE)
            self._ledger.limit_doubtful(0)
            return
        if not self._minion.status_path:
            return
        first_running = await self._query_running()
        await curio.sleep(PROBE_INTERVAL_S)
        second_running = await self._query_running()
        if first_running is not None and second_running is not None:
            self._ledger.limit_doubtful(max(first_running, second_running))

    async def _is_minion_gone(self) -> bool:
        """Returns whether the minion's address refuses connections."""
        host, _, port = self._minion.address.rpartition(":")
        try:
            stream = await curio.timeout_after(
                PROBE_TIMEOUT_S, curio.open_connection, host, int(port)
            )
        except ConnectionRefusedError:
            return True
        except (OSError, curio.TaskTimeout):
            return False
        await stream.close()
        return False

    async def _query_running(self) -> int | None:
        request = http.Request("GET", self._minion.status_path)
        try:
            response = await self._client.request(request, PROBE_TIMEOUT_S)
            status = codec.decode_json(response.body, MinionStatus)
        except (errors.PomelostairError, msgspec.MsgspecError):
            return None
        return status.running if response.status == 200 else None

    def _declarations(self) -> declaration.Declarations:
        return self._configuration.in_force.declarations

    def _shares(self) -> queueing.Shares:
        declarations = self._declarations()
        if declarations is not self._cached_declarations:
            self._cached_declarations = declarations
            self._cached_shares = queueing.Shares.from_declarations(
                declarations
            )
        return self._cached_shares

    def _now(self) -> float:
        return self._parts.clock.now()


def _too_late_refusal() -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.TOO_LATE,
        "allow more time or repeat later; it can't finish before its deadline",
    )
