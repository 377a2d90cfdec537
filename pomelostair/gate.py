"""Requests at an agent: the one authority for its minion's slots.

Requests wait in a bounded queue for a slot. What can't finish in time is
refused while that is still certain not to have run.
"""

import attrs
import curio
import msgspec

from pomelostair import bus as bus_module
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
IDLE_SWEEP_S = 0.5
PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 1.0
ANSWER_MARGIN_S = 0.005
FULL_SHARE = 0.9


@attrs.frozen
class MinionStatus:
    """What a minion tells of itself.

    Attributes:
        running: Requests that run in it now, whoever sent them.
    """

    running: int


@attrs.frozen
class _Admitted:
    """A request in the queue, with the call to answer."""

    serve: messages.Serve
    envelope: wire.Envelope


@kernel.plugin(settings_module.Role.AGENT)
class Gate(kernel.Plugin):
    """Runs requests on the minion, never more than it has slots."""

    requires = (configuration.Configuration,)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._configuration = host.get(configuration.Configuration)
        self._declared = self._declarations()
        self._declared_shares = queueing.Shares.of(self._declared)
        self._draining = False
        self._queued = curio.Event()
        self._queue = queueing.FairQueue()
        self._filled = curio.Event()
        self._doubted = curio.Event()
        self._service = servicetime.ServiceTime()
        self._ledger = slots_module.SlotLedger(0)
        self._minion: settings_module.MinionTarget | None = None
        match parts.settings.target:
            case settings_module.MinionTarget() as minion:
                self._attach(minion)

    def _attach(self, minion: settings_module.MinionTarget) -> None:
        self._minion = minion
        self._ledger = slots_module.SlotLedger(minion.slots)
        self._longest_run_s = minion.longest_run_ms / 1000
        self._ledger.inherit(self._now() + self._longest_run_s)
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
        """Slots that are taken, or not certain to be free."""
        return self._ledger.taken(self._now())

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._queue)

    @property
    def service_ms(self) -> float:
        """Smoothed time that a request holds a slot, in milliseconds."""
        return self._service.mean_s * 1000

    def waits_ms(self) -> tuple[float, ...]:
        """Returns the expected wait of a new request of each class."""
        if self._minion is None:
            return ()
        free = self._ledger.free(self._now())
        shares = self._shares()
        turn_ms = self.service_ms / self._ledger.slots
        return tuple(
            0.0 if free else (1 + self._queue.turns(urgency, shares)) * turn_ms
            for urgency in messages.Urgency
        )

    def sheds(self) -> messages.Urgency | None:
        """Returns the class that yields next when the queue is full."""
        if self._minion is None:
            return None
        limit = self._declarations().limits.queue_per_slot * self._ledger.slots
        if self.queued < FULL_SHARE * limit:
            return None
        return messages.Urgency(self._queue.longest(self._shares()))

    async def run(self) -> None:
        """Refuses what became too late, and clears up doubtful slots."""
        if self._minion is None:
            return
        await curio.spawn(self._probe_doubtful, daemon=True)
        while True:
            await self._wait_for_sweep()
            horizon = self._now() + self._service.safe_s + ANSWER_MARGIN_S
            for waiting in self._queue.expire(horizon):
                await self._refuse(waiting.item, _too_late())
            await self._pump()

    async def _wait_for_sweep(self) -> None:
        """Waits one interval, and before it until something is queued."""
        if not self.queued:
            async with curio.ignore_after(IDLE_SWEEP_S):
                await self._queued.wait()
            self._queued.clear()
        await curio.sleep(SWEEP_INTERVAL_S)

    async def drain(self, timeout_s: float) -> None:
        """Refuses new requests and finishes the accepted ones."""
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
        admitted = _Admitted(serve, envelope)
        refused = self._refusal(serve)
        if refused is not None:
            await self._refuse(admitted, refused)
            return
        shares = self._shares()
        waiting = queueing.Waiting(
            urgency=int(serve.urgency),
            team=shares.team(serve.team),
            deadline=(serve.sent_ms + serve.budget_ms) / 1000,
            size=len(serve.body),
            item=admitted,
        )
        if self._can_not_finish(waiting, shares):
            await self._refuse(admitted, _too_late())
            return
        self._queue.push(waiting)
        if not self._filled.is_set():
            await self._filled.set()
        await self._shed(shares)
        await self._pump()
        if self.queued:
            await self._queued.set()

    def _refusal(self, serve: messages.Serve) -> outcome.Refused | None:
        if self._draining:
            return outcome.Refused(
                outcome.Kind.DRAINING, "repeat; this target is leaving"
            )
        if serve.incarnation != self._parts.bus.incarnation:
            return outcome.Refused(
                outcome.Kind.NOT_SENT, "repeat; the agent was restarted"
            )
        return None

    def _can_not_finish(
        self, waiting: queueing.Waiting, shares: queueing.Shares
    ) -> bool:
        now = self._now()
        needed_s = self._service.safe_s
        if not self._ledger.free(now):
            turns = self._queue.turns_before(waiting, shares)
            needed_s += turns * self._service.mean_s / self._ledger.slots
        return now + needed_s + ANSWER_MARGIN_S > waiting.deadline

    async def _shed(self, shares: queueing.Shares) -> None:
        limits = self._declarations().limits
        longest = limits.queue_per_slot * self._ledger.slots
        longest += self._ledger.free(self._now())
        while (
            len(self._queue) > longest or self._queue.bytes > limits.queue_bytes
        ):
            victim = self._queue.shed(shares)
            refused = outcome.Refused(
                outcome.Kind.QUEUE_FULL,
                "repeat later; less urgent requests and those beyond their "
                "team's share yield first",
            )
            await self._refuse(victim.item, refused)

    async def _pump(self) -> None:
        while len(self._queue) and self._ledger.free(self._now()):
            waiting = self._queue.pop(self._shares(), self._service.mean_s)
            charged_s = self._service.mean_s
            left_s = waiting.deadline - self._now()
            if left_s <= self._service.safe_s + ANSWER_MARGIN_S:
                self._settle(waiting, charged_s, 0.0)
                await self._refuse(waiting.item, _too_late())
                continue
            self._ledger.take()
            await curio.spawn(
                self._run, waiting, charged_s, left_s, daemon=True
            )

    async def _run(
        self, waiting: queueing.Waiting, charged_s: float, left_s: float
    ) -> None:
        admitted: _Admitted = waiting.item
        started = self._now()
        try:
            result = await self._forward(admitted.serve, started, left_s)
        except BaseException:
            self._ledger.doubt(started + self._longest_run_s)
            raise
        self._settle(waiting, charged_s, self._now() - started)
        await self._pump()
        await self._parts.bus.reply(admitted.envelope, result)

    async def _forward(
        self, serve: messages.Serve, started: float, left_s: float
    ) -> messages.Served | outcome.Refused:
        """Runs a request; a slot is released only when it surely is free.

        The exchange goes on after the caller's deadline, since only the
        minion's answer tells that the slot is free.
        """
        headers = (
            *serve.headers,
            (REQUEST_ID_HEADER, serve.request_id),
            (TIMEOUT_HEADER, str(int(left_s * 1000))),
        )
        request = http.Request(serve.method, serve.target, headers, serve.body)
        try:
            response = await self._client.request(request, self._longest_run_s)
        except errors.NotSentError as error:
            self._ledger.release()
            return outcome.Refused(
                outcome.Kind.NOT_SENT, f"repeat; minion not reached: {error}"
            )
        except errors.AnswerLostError as error:
            self._ledger.doubt(started + self._longest_run_s)
            await self._doubted.set()
            return outcome.Refused(
                outcome.Kind.TARGET_FAILED,
                f"check whether it ran before repeating: {error}",
                outcome.Ran.UNKNOWN,
            )
        self._ledger.release()
        took_s = self._now() - started
        self._service.observe(took_s)
        headers = tuple(
            (name, value)
            for name, value in response.headers
            if name.lower() not in http.HOP_HEADERS
        )
        return messages.Served(response.status, headers, response.body)

    def _settle(
        self, waiting: queueing.Waiting, charged_s: float, took_s: float
    ) -> None:
        """Replaces the expected slot time that was charged by the real one."""
        self._queue.charge(
            waiting.urgency,
            waiting.team,
            self._shares(),
            took_s - charged_s,
        )

    async def _refuse(
        self, admitted: _Admitted, refused: outcome.Refused
    ) -> None:
        self._parts.metrics.count(
            "gate_refusals",
            reason=refused.kind.value,
            urgency=admitted.serve.urgency.name.lower(),
        )
        await curio.spawn(
            self._parts.bus.reply, admitted.envelope, refused, daemon=True
        )

    async def _probe_doubtful(self) -> None:
        """Asks the minion what still runs while slots are doubtful."""
        while True:
            if self._ledger.doubtful:
                await self._probe()
                await self._pump()
                await curio.sleep(PROBE_INTERVAL_S)
            else:
                self._doubted.clear()
                await self._doubted.wait()

    async def _probe(self) -> None:
        if await self._gone():
            log.emit(events.Events.MINION_GONE)
            self._ledger.observe(0)
            return
        if not self._minion.status_path:
            return
        first = await self._reported()
        await curio.sleep(PROBE_INTERVAL_S)
        second = await self._reported()
        if first is not None and second is not None:
            self._ledger.observe(max(first, second))

    async def _gone(self) -> bool:
        """Returns whether no process listens in the minion's place."""
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

    async def _reported(self) -> int | None:
        request = http.Request("GET", self._minion.status_path)
        try:
            response = await self._client.request(request, PROBE_TIMEOUT_S)
            status = msgspec.json.decode(response.body, type=MinionStatus)
        except (errors.PomelostairError, msgspec.MsgspecError):
            return None
        return status.running if response.status == 200 else None

    def _declarations(self) -> declaration.Declarations:
        return self._configuration.in_force.declarations

    def _shares(self) -> queueing.Shares:
        declarations = self._declarations()
        if declarations is not self._declared:
            self._declared = declarations
            self._declared_shares = queueing.Shares.of(declarations)
        return self._declared_shares

    def _now(self) -> float:
        return self._parts.clock.now()


def _too_late() -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.TOO_LATE,
        "allow more time or repeat later; it can't finish before its deadline",
    )
