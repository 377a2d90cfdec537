"""Heartbeats of the workers on this host, at the control address."""

import msgspec

from pomelostair import errors
from pomelostair import events
from pomelostair import http
from pomelostair import httpserver
from pomelostair import ingress
from pomelostair import kernel
from pomelostair import log
from pomelostair import pipelineagent
from pomelostair import settings as settings_module
from pomelostair.platform import names

_BEAT = "/Instances.Heartbeat/"
_LEAVE = "/Instances.Deregister/"
MAX_BODY_BYTES = 4 * 1024 * 1024  # The platform's limit of a heartbeat.


@kernel.plugin(settings_module.Role.PIPELINE_AGENT)
class Control(kernel.Plugin):
    """Serves the workers of one host."""

    requires = (pipelineagent.PipelineAgent,)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._agent = host.get(pipelineagent.PipelineAgent)
        address, _, port = parts.settings.pipelines.workers.rpartition(":")
        self._server = httpserver.Server(
            address,
            int(port),
            self._answer,
            ingress.error_response,
            http.Limits(connections=64, body_bytes=MAX_BODY_BYTES),
        )

    async def run(self) -> None:
        """Serves until cancelled."""
        await self._server.run()

    async def _answer(self, request: http.Request) -> http.Response:
        path = request.target.partition("?")[0]
        if request.method == "POST" and path.startswith(_BEAT):
            return await self._beat(request, path[len(_BEAT) :])
        if request.method == "POST" and path.startswith(_LEAVE):
            return await self._leave(request, path[len(_LEAVE) :])
        if path == "/metrics":
            return ingress.metrics_response(self._parts)
        raise errors.HttpError(404, "bad-request", "no such call")

    async def _beat(self, request: http.Request, worker: str) -> http.Response:
        try:
            notice = names.heartbeat(request.body, worker)
        except errors.MessageError as error:
            self._parts.metrics.count("heartbeats_malformed")
            log.emit(
                events.Events.HEARTBEAT_IGNORED,
                worker=worker,
                reason=str(error),
            )
            return http.json_response(400, {"error": str(error)})
        await self._agent.update_worker(notice)
        return http.json_response(200, {})

    async def _leave(self, request: http.Request, worker: str) -> http.Response:
        life = None
        if request.body:
            try:
                body = msgspec.json.decode(request.body, type=_LeaveBody)
                life = body.born
            except msgspec.MsgspecError as error:
                log.emit(
                    events.Events.HEARTBEAT_IGNORED,
                    worker=worker,
                    reason=str(error),
                )
        await self._agent.remove_worker(worker, life)
        return http.json_response(200, {})


class _LeaveBody(msgspec.Struct):
    """What a leaving worker says; all of it may be absent."""

    born: int | None = None
