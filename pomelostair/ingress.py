"""HTTP server of an entry, to which other plug-ins add their routes."""

from collections.abc import Awaitable
from collections.abc import Callable
import re

import curio
import msgspec

from pomelostair import codec
from pomelostair import errors
from pomelostair import events
from pomelostair import http
from pomelostair import httpserver
from pomelostair import kernel
from pomelostair import log
from pomelostair import membership
from pomelostair import memorybudget
from pomelostair import messages
from pomelostair import responses
from pomelostair import settings as settings_module

Route = Callable[[http.Request], Awaitable[http.Response]]

_INVALID_ESCAPE = re.compile("%(?![0-9A-Fa-f]{2})")


@kernel.plugin(settings_module.Role.ENTRY)
class Ingress(kernel.Plugin):
    """HTTP server for callers, operators and joining processes."""

    requires = (membership.Membership,)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._directory = host.get(membership.Membership).directory
        self._routes: dict[str, Route] = {}
        self._draining = False
        address, _, port = parts.settings.http.rpartition(":")
        self._server = httpserver.Server(
            address,
            int(port),
            self._handle_request,
            responses.error_response,
            None,
            parts.bounds.callers,
            memorybudget.LimitLog(parts.metrics),
            "callers",
        )
        self._address = f"{address}:{self._server.port}"
        self._own_entry = messages.EntryAddress(
            parts.settings.name, parts.bus.address, self._address, 0
        )
        host.get(membership.Membership).set_own_entry(self._own_entry)
        self._parts.bus.handle(messages.Announcement, self._on_announcement)
        self.add_route("/healthz", self._healthz)
        self.add_route("/readyz", self._readyz)
        self.add_route("/metrics", self._metrics)
        self.add_route(membership.JOIN_TARGET, self._join)
        parts.metrics.gauge(
            "open_connections", lambda: self._server.open_connections
        )

    @property
    def draining(self) -> bool:
        """Whether this entry is stopping."""
        return self._draining

    def add_route(self, prefix: str, handler: Route) -> None:
        """Registers the handler of paths that start with `prefix`."""
        self._routes[prefix] = handler

    async def run(self) -> None:
        """Serves until cancelled."""
        await self._server.run()

    async def drain(self, timeout_s: float) -> None:
        """Stops accepting connections and answers the open requests."""
        self._draining = True
        await self._server.drain(timeout_s)

    async def _handle_request(self, request: http.Request) -> http.Response:
        path = request.target.partition("?")[0]
        if _INVALID_ESCAPE.search(path):
            text = "write % in the path as %25, or as % and two hex digits"
            raise errors.HttpError(400, "bad-request", text)
        for prefix, handler in self._routes.items():
            if path == prefix or path.startswith(prefix + "/"):
                return await handler(request)
        known_prefixes = ", ".join(self._routes)
        raise errors.HttpError(
            404, "bad-request", f"use one of {known_prefixes}"
        )

    async def _on_announcement(self, message, envelope) -> None:
        if self._directory.update_target(message, envelope):
            log.emit(events.Events.TARGET_UP, target=message.name)
        if message.leader is not None:
            self._directory.update_leader(message.leader)
        if envelope.correlation:
            acknowledgement = messages.AnnouncementAck()
            await curio.spawn(
                self._parts.bus.reply, envelope, acknowledgement, daemon=True
            )

    async def _healthz(self, _request: http.Request) -> http.Response:
        return http.json_response(200, {"state": "alive"})

    async def _readyz(self, _request: http.Request) -> http.Response:
        if self._draining:
            return http.json_response(503, {"state": "draining"})
        return http.json_response(200, {"state": "ready"})

    async def _metrics(self, _request: http.Request) -> http.Response:
        return responses.metrics_response(self._parts.metrics)

    async def _join(self, request: http.Request) -> http.Response:
        try:
            join = codec.decode_json(request.body, messages.JoinRequest)
        except msgspec.MsgspecError as error:
            text = f"send a join request as JSON: {error}"
            raise errors.HttpError(400, "bad-request", text) from error
        if join.entry is not None:
            self._directory.update_entry(join.entry)
        if not self._draining:
            self._directory.update_entry(self._own_entry)
        reply = messages.JoinReply(
            self._directory.entries(), self._directory.leaders()
        )
        return http.json_response(200, reply)
