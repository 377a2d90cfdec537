"""HTTP API of an agent for the heartbeats of the workers on its host."""

from pomelostair import errors
from pomelostair import events
from pomelostair import http
from pomelostair import httpserver
from pomelostair import kernel
from pomelostair import log
from pomelostair import memorybudget
from pomelostair import pipelineagent
from pomelostair import responses
from pomelostair import settings as settings_module
from pomelostair.platform import decoding
from pomelostair.platform import httplimits

_HEARTBEAT_PATH = "/Instances.Heartbeat/"
_DEREGISTER_PATH = "/Instances.Deregister/"
# A heartbeat with 64 labels of usual length is a tenth of this.
MAX_BODY_BYTES = 64 * 1024
REQUEST_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 64


@kernel.plugin(settings_module.Role.PIPELINE_AGENT)
class Control(kernel.Plugin):
    """Serves the workers on the agent's host."""

    requires = (pipelineagent.PipelineAgent,)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._agent = host.get(pipelineagent.PipelineAgent)
        address, _, port = parts.settings.pipelines.workers.rpartition(":")
        self._server = httpserver.Server(
            address,
            int(port),
            self._answer,
            responses.error_response,
            httplimits.create(
                REQUEST_TIMEOUT_S,
                max_connections=MAX_CONNECTIONS,
                max_body_bytes=MAX_BODY_BYTES,
            ),
            parts.bounds.callers,
            memorybudget.LimitLog(parts.metrics),
            "control",
        )

    async def run(self) -> None:
        """Serves until cancelled."""
        await self._server.run()

    async def _answer(self, request: http.Request) -> http.Response:
        path = request.target.partition("?")[0]
        if request.method == "POST" and path.startswith(_HEARTBEAT_PATH):
            return await self._accept_heartbeat(
                request, path[len(_HEARTBEAT_PATH) :]
            )
        if request.method == "POST" and path.startswith(_DEREGISTER_PATH):
            return await self._deregister(
                request, path[len(_DEREGISTER_PATH) :]
            )
        if path == "/metrics":
            return responses.metrics_response(self._parts.metrics)
        raise errors.HttpError(404, "bad-request", "no such call")

    async def _accept_heartbeat(
        self, request: http.Request, worker: str
    ) -> http.Response:
        try:
            heartbeat = decoding.decode_heartbeat(request.body, worker)
        except errors.MessageError as error:
            return self._refuse(worker, error)
        await self._agent.update_worker(heartbeat)
        return http.json_response(200, {})

    async def _deregister(
        self, request: http.Request, worker: str
    ) -> http.Response:
        try:
            incarnation = decoding.decode_deregistration(request.body)
        except errors.MessageError as error:
            return self._refuse(worker, error)
        await self._agent.record_deregistration(worker, incarnation)
        return http.json_response(200, {})

    def _refuse(self, worker: str, error: errors.MessageError) -> http.Response:
        self._parts.metrics.count("heartbeats_malformed")
        log.emit(
            events.Events.HEARTBEAT_IGNORED,
            worker=worker,
            reason=str(error),
        )
        return http.json_response(400, {"error": str(error)})
