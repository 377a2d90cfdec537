"""HTTP server for metrics and health checks, if configured."""

from pomelostair import errors
from pomelostair import http
from pomelostair import httpserver
from pomelostair import kernel
from pomelostair import memorybudget
from pomelostair import responses
from pomelostair import settings as settings_module

MAX_CONNECTIONS = 16
MAX_BODY_BYTES = 1024
MAX_HEADERS_BYTES = 8 * 1024


@kernel.plugin(
    settings_module.Role.AGENT,
    settings_module.Role.PIPELINE_ENTRY,
    settings_module.Role.PIPELINE_AGENT,
)
class Exporter(kernel.Plugin):
    """Serves `/metrics` and `/healthz` on the address in `settings.metrics`."""

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._server: httpserver.Server | None = None
        if parts.settings.metrics is not None:
            address, _, port = parts.settings.metrics.rpartition(":")
            self._server = httpserver.Server(
                address,
                int(port),
                self._handle_request,
                responses.error_response,
                http.Limits(
                    max_connections=MAX_CONNECTIONS,
                    max_rejecting_connections=MAX_CONNECTIONS,
                    max_body_bytes=MAX_BODY_BYTES,
                    max_headers_bytes=MAX_HEADERS_BYTES,
                    receive_bytes=MAX_HEADERS_BYTES,
                    gets_have_no_effect=True,
                ),
                parts.bounds.metrics,
                memorybudget.LimitLog(parts.metrics),
                "metrics",
            )

    @property
    def port(self) -> int | None:
        """TCP port of the server, None if metrics are not exported."""
        return None if self._server is None else self._server.port

    async def run(self) -> None:
        """Serves until cancelled; returns at once without a server."""
        if self._server is not None:
            await self._server.run()

    async def _handle_request(self, request: http.Request) -> http.Response:
        match request.target.partition("?")[0]:
            case "/metrics":
                return responses.metrics_response(self._parts.metrics)
            case "/healthz":
                return http.json_response(200, {"state": "alive"})
        raise errors.HttpError(404, "bad-request", "use /metrics or /healthz")
