"""Callers and the balancer at an entry, in the platform's words."""

import re

import curio

from pomelostair import errors
from pomelostair import http
from pomelostair import httpserver
from pomelostair import ingress
from pomelostair import kernel
from pomelostair import outcome
from pomelostair import pipelineapi
from pomelostair import queues
from pomelostair import settings as settings_module
from pomelostair.platform import names

DEADLINE_HEADER = "x-pomelostair-deadline-ms"
# The balancer asks once a second and takes a node out after two misses; new
# connections come until then.
LEAVE_S = 2.5
MAX_BODY_BYTES = 1024 * 1024
_ID = re.compile(r"[0-9a-f]{16}")


@kernel.plugin(settings_module.Role.PIPELINE_ENTRY)
class Front(kernel.Plugin):
    """Serves callers and tells the balancer whether to send more."""

    requires = (pipelineapi.PipelineApi,)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._api = host.get(pipelineapi.PipelineApi)
        self._draining = False
        limits = http.Limits(body_bytes=MAX_BODY_BYTES)
        self._callers = _server(
            parts.settings.pipelines.callers, self._answer, limits
        )
        self._readiness = _server(
            parts.settings.pipelines.readiness, self._ready, limits
        )

    async def run(self) -> None:
        """Serves until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._callers.run)
            await group.spawn(self._readiness.run)
        _ = group.result

    async def drain(self, timeout_s: float) -> None:
        """Leaves the balancer, then finishes what callers have sent."""
        self._draining = True
        await curio.sleep(min(LEAVE_S, timeout_s / 2))
        await self._callers.drain(max(0.5, timeout_s - LEAVE_S))

    async def _ready(self, request: http.Request) -> http.Response:
        if request.target.startswith("/metrics"):
            return ingress.metrics_response(self._parts)
        if self._draining or not self._api.configured:
            return http.json_response(503, {"ready": False})
        return http.json_response(200, {"ready": True})

    async def _answer(self, request: http.Request) -> http.Response:
        path = request.target.partition("?")[0]
        if not self._api.configured:
            return _refusal(
                outcome.Refused(
                    outcome.Kind.NOT_READY,
                    "repeat later; no configuration is known yet",
                )
            )
        queue = self._api.match(request.header("host") or "", path)
        if queue is None:
            raise errors.HttpError(404, "bad-request", "no such queue")
        rest = path[len(queue.path_prefix) :]
        if not rest:
            return self._pending(request, queue)
        if not _ID.fullmatch(rest):
            raise errors.HttpError(
                404, "bad-request", "use an id of 16 hexadecimal digits"
            )
        match request.method:
            case "POST":
                return await self._submit(request, queue, rest)
            case "GET":
                return _shown(await self._api.show(rest))
            case "DELETE":
                timeout_s = _timeout_s(request, queue)
                return _cancelled(
                    await self._api.cancel(queue, rest, timeout_s)
                )
        raise errors.HttpError(405, "bad-request", "use POST, GET or DELETE")

    async def _submit(
        self, request: http.Request, queue: queues.Queue, name: str
    ) -> http.Response:
        try:
            declaration = names.submission(
                request.body, name, queue.name, pipelineapi.unix_ms()
            )
        except errors.MessageError as error:
            self._parts.metrics.count("submissions_malformed")
            raise errors.HttpError(400, "bad-request", str(error)) from error
        timeout_s = _timeout_s(request, queue)
        match await self._api.submit(queue, declaration, timeout_s):
            case outcome.Refused() as refused:
                return _refusal(refused)
        return http.json_response(200, {})

    def _pending(
        self, request: http.Request, queue: queues.Queue
    ) -> http.Response:
        if request.method != "GET":
            raise errors.HttpError(405, "bad-request", "use GET")
        count = self._api.pending(queue)
        if isinstance(count, outcome.Refused):
            return _refusal(count)
        return http.json_response(200, {"pending": count})


def _server(
    address: str, handler: httpserver.Handler, limits: http.Limits
) -> httpserver.Server:
    host, _, port = address.rpartition(":")
    return httpserver.Server(
        host, int(port), handler, ingress.error_response, limits
    )


def _timeout_s(request: http.Request, queue: queues.Queue) -> float:
    """Returns the seconds that the caller waits for an answer."""
    text = request.header(DEADLINE_HEADER) or ""
    given = int(text) if text.isascii() and text.isdecimal() else 0
    if given <= 0:
        given = queue.timeout_ms
    return min(given, queue.timeout_ms) / 1000


def _refusal(refused: outcome.Refused) -> http.Response:
    """Returns a refusal; the platform reads 503 as "never runs"."""
    status = 503 if refused.ran is outcome.Ran.NO else 504
    headers = ()
    if refused.ran is outcome.Ran.NO:
        headers = (("retry-after", str(pipelineapi.RETRY_AFTER_S)),)
    return http.json_response(status, {"error": refused.message}, headers)


def _shown(shown: pipelineapi.ShowResult) -> http.Response:
    match shown:
        case pipelineapi.Status(phase=phase):
            return http.json_response(200, {"state": phase.value})
        case pipelineapi.NotFound():
            return http.json_response(410, {})
    return _refusal(shown)


def _cancelled(cancelled: pipelineapi.CancelResult) -> http.Response:
    match cancelled:
        case pipelineapi.Accepted():
            return http.json_response(200, {})
        case pipelineapi.NotFound():
            return http.json_response(410, {})
    return _refusal(cancelled)
