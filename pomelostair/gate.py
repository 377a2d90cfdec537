"""Requests at an agent: the one authority for its minion's slots."""

import time

import curio

from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient
from pomelostair import kernel
from pomelostair import messages
from pomelostair import outcome
from pomelostair import settings as settings_module

QUEUE_LIMIT = 256
REQUEST_ID_HEADER = "pomelostair-request-id"
_SMOOTHING = 0.1


@kernel.plugin(settings_module.Role.AGENT)
class Gate(kernel.Plugin):
    """Runs requests on the minion, never more than it has slots."""

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._draining = False
        self._running = 0
        self._queued = 0
        self._service_ms = 0.0
        self._minion: settings_module.MinionTarget | None = None
        match parts.settings.target:
            case settings_module.MinionTarget() as minion:
                self._minion = minion
                self._slots = curio.Semaphore(minion.slots)
                self._client = httpclient.Client(
                    minion.address, minion.connections
                )
                parts.bus.handle(messages.Serve, self._on_serve)

    @property
    def minion(self) -> settings_module.MinionTarget | None:
        """The minion beside this agent, if its target is one."""
        return self._minion

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return self._running

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return self._queued

    @property
    def service_ms(self) -> float:
        """Smoothed time that a request holds a slot, in milliseconds."""
        return self._service_ms

    async def drain(self, timeout_s: float) -> None:
        """Refuses new requests and finishes the accepted ones."""
        self._draining = True
        async with curio.ignore_after(timeout_s):
            while self._running or self._queued:
                await curio.sleep(0.01)

    async def _on_serve(self, serve: messages.Serve, envelope) -> None:
        if self._draining:
            refused = outcome.Refused(
                outcome.Kind.DRAINING, "repeat; this target is leaving"
            )
            await self._parts.bus.reply(envelope, refused)
            return
        if self._queued >= QUEUE_LIMIT:
            refused = outcome.Refused(
                outcome.Kind.QUEUE_FULL, "repeat later; the queue is full"
            )
            await self._parts.bus.reply(envelope, refused)
            return
        self._queued += 1
        deadline = time.monotonic() + serve.budget_ms / 1000
        await curio.spawn(self._run, serve, envelope, deadline, daemon=True)

    async def _run(self, serve: messages.Serve, envelope, deadline) -> None:
        try:
            async with self._slots:
                self._queued -= 1
                self._running += 1
                try:
                    result = await self._forward(serve, deadline)
                finally:
                    self._running -= 1
        except errors.PomelostairError as error:
            result = outcome.Refused(outcome.Kind.INTERNAL, str(error))
        await self._parts.bus.reply(envelope, result)

    async def _forward(
        self, serve: messages.Serve, deadline: float
    ) -> messages.Served | outcome.Refused:
        started = time.monotonic()
        if started >= deadline:
            return outcome.Refused(
                outcome.Kind.TOO_LATE,
                "allow more time; the deadline passed in the queue",
            )
        headers = (*serve.headers, (REQUEST_ID_HEADER, serve.request_id))
        request = http.Request(serve.method, serve.target, headers, serve.body)
        try:
            response = await self._client.request(request, deadline - started)
        except errors.NotSentError as error:
            return outcome.Refused(
                outcome.Kind.NOT_SENT, f"repeat; minion not reached: {error}"
            )
        except errors.AnswerLostError as error:
            return outcome.Refused(
                outcome.Kind.TARGET_FAILED,
                f"check whether it ran before repeating: {error}",
                outcome.Ran.UNKNOWN,
            )
        took_ms = (time.monotonic() - started) * 1000
        self._service_ms += _SMOOTHING * (took_ms - self._service_ms)
        headers = tuple(
            (name, value)
            for name, value in response.headers
            if name.lower() not in http.HOP_HEADERS
        )
        return messages.Served(response.status, headers, response.body)
