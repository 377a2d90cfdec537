"""HTTP API of an entry for the platform's callers and load balancer."""

import re

import curio

from pomelostair import errors
from pomelostair import http
from pomelostair import httpserver
from pomelostair import kernel
from pomelostair import memorybudget
from pomelostair import outcome
from pomelostair import pipelineapi
from pomelostair import queues
from pomelostair import responses
from pomelostair import settings as settings_module
from pomelostair.platform import decoding
from pomelostair.platform import httplimits

DEADLINE_HEADER = "x-pomelostair-deadline-ms"
# The load balancer checks the readiness once a second and removes a node after
# two failed checks; until then it opens new connections.
BALANCER_REMOVAL_S = 2.5
# Callers wait for 3 s at most, and a head, body or response takes milliseconds.
# One that does not read its responses can't be evicted before that.
REQUEST_TIMEOUT_S = 5.0
# The balancer checks once a second; idle connections must not keep it out.
READINESS_IDLE_S = 5.0
READINESS_BODY_BYTES = 1024
_ID_PATTERN = re.compile(r"[0-9a-f]{16}")


@kernel.plugin(settings_module.Role.PIPELINE_ENTRY)
class Front(kernel.Plugin):
    """Serves callers and the readiness checks of the load balancer."""

    requires = (pipelineapi.PipelineApi,)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._api = host.get(pipelineapi.PipelineApi)
        self._draining = False
        bounds = parts.bounds
        limit_log = memorybudget.LimitLog(parts.metrics)
        self._caller_server = _create_server(
            parts.settings.pipelines.callers,
            self._answer_caller,
            _limits(
                max_connections=bounds.max_callers,
                max_body_bytes=decoding.MAX_ESCAPED_SUBMISSION_BYTES,
            ),
            bounds.callers,
            limit_log,
            "callers",
        )
        self._readiness_server = _create_server(
            parts.settings.pipelines.readiness,
            self._answer_readiness,
            _limits(
                max_connections=bounds.max_readiness_connections,
                max_body_bytes=READINESS_BODY_BYTES,
                idle_timeout_s=READINESS_IDLE_S,
            ),
            bounds.readiness,
            limit_log,
            "readiness",
        )

    async def run(self) -> None:
        """Serves until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._caller_server.run)
            await group.spawn(self._readiness_server.run)
        _ = group.result

    async def drain(self, timeout_s: float) -> None:
        """Waits until the load balancer has removed the node, then drains."""
        self._draining = True
        await curio.sleep(min(BALANCER_REMOVAL_S, timeout_s / 2))
        await self._caller_server.drain(
            max(0.5, timeout_s - BALANCER_REMOVAL_S)
        )

    async def _answer_readiness(self, request: http.Request) -> http.Response:
        if request.target.startswith("/metrics"):
            return responses.metrics_response(self._parts.metrics)
        if self._draining or not self._api.configured:
            return http.json_response(503, {"ready": False})
        return http.json_response(200, {"ready": True})

    async def _answer_caller(self, request: http.Request) -> http.Response:
        path = request.target.partition("?")[0]
        if not self._api.configured:
            return _refusal_response(
                outcome.Refused(
                    outcome.Kind.NOT_READY,
                    "repeat later; no configuration has been loaded yet",
                )
            )
        queue = self._api.match(request.header("host") or "", path)
        if queue is None:
            raise errors.HttpError(404, "bad-request", "no such queue")
        pipeline_id = path[len(queue.path_prefix) :]
        if not pipeline_id:
            return self._count_pending(request, queue)
        if not _ID_PATTERN.fullmatch(pipeline_id):
            raise errors.HttpError(
                404, "bad-request", "use an id of 16 hexadecimal digits"
            )
        match request.method:
            case "POST":
                return await self._submit(request, queue, pipeline_id)
            case "GET":
                return _status_response(await self._api.show(pipeline_id))
            case "DELETE":
                timeout_s = _caller_timeout_s(request, queue)
                return _cancel_response(
                    await self._api.cancel(queue, pipeline_id, timeout_s)
                )
        raise errors.HttpError(405, "bad-request", "use POST, GET or DELETE")

    async def _submit(
        self, request: http.Request, queue: queues.Queue, pipeline_id: str
    ) -> http.Response:
        try:
            declaration = decoding.decode_submission(
                request.body, pipeline_id, queue.name, pipelineapi.unix_ms()
            )
        except errors.MessageError as error:
            self._parts.metrics.count("submissions_malformed")
            raise errors.HttpError(400, "bad-request", str(error)) from error
        timeout_s = _caller_timeout_s(request, queue)
        match await self._api.submit(queue, declaration, timeout_s):
            case outcome.Refused() as refused:
                return _refusal_response(refused)
        return http.json_response(200, {})

    def _count_pending(
        self, request: http.Request, queue: queues.Queue
    ) -> http.Response:
        if request.method != "GET":
            raise errors.HttpError(405, "bad-request", "use GET")
        count = self._api.pending(queue)
        if isinstance(count, outcome.Refused):
            return _refusal_response(count)
        return http.json_response(200, {"pending": count})


def _limits(**limits) -> http.Limits:
    return httplimits.create(REQUEST_TIMEOUT_S, **limits)


def _create_server(
    address: str,
    handler: httpserver.Handler,
    limits: http.Limits,
    budget: memorybudget.MemoryBudget,
    limit_log: memorybudget.LimitLog,
    name: str,
) -> httpserver.Server:
    host, _, port = address.rpartition(":")
    return httpserver.Server(
        host,
        int(port),
        handler,
        responses.error_response,
        limits,
        budget,
        limit_log,
        name,
    )


def _caller_timeout_s(request: http.Request, queue: queues.Queue) -> float:
    """Returns how long the caller waits for an answer.

    The timeout of the queue applies if the header is missing or invalid; it is
    also the upper limit.
    """
    value = request.header(DEADLINE_HEADER) or ""
    timeout_ms = int(value) if value.isascii() and value.isdecimal() else 0
    if timeout_ms <= 0:
        timeout_ms = queue.timeout_ms
    return min(timeout_ms, queue.timeout_ms) / 1000


def _refusal_response(refused: outcome.Refused) -> http.Response:
    """Returns a refusal; for the platform, 503 means that nothing will run.

    A cancelled id is refused for good, so its callers are not told to repeat.
    """
    status = 503 if refused.ran is outcome.Ran.NO else 504
    headers = ()
    if status == 503 and refused.kind is not outcome.Kind.CANCELLED:
        headers = (("retry-after", str(pipelineapi.RETRY_AFTER_S)),)
    return http.json_response(status, {"error": refused.message}, headers)


def _status_response(result: pipelineapi.ShowResult) -> http.Response:
    match result:
        case pipelineapi.Status(phase=phase):
            return http.json_response(200, {"state": phase.value})
        case pipelineapi.NotFound():
            return http.json_response(410, {})
    return _refusal_response(result)


def _cancel_response(result: pipelineapi.CancelResult) -> http.Response:
    match result:
        case pipelineapi.Accepted():
            return http.json_response(200, {})
        case pipelineapi.NotFound():
            return http.json_response(410, {})
    return _refusal_response(result)
