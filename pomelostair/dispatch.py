"""Requests of callers at an entry: from HTTP to a minion and back."""

import re
import time
import uuid

from pomelostair import bus as bus_module
from pomelostair import directory as directory_module
from pomelostair import errors
from pomelostair import http
from pomelostair import ingress
from pomelostair import kernel
from pomelostair import membership
from pomelostair import messages
from pomelostair import outcome
from pomelostair import settings as settings_module

DEFAULT_TIMEOUT_MS = 10_000
MAX_TIMEOUT_MS = 300_000
MAX_ATTEMPTS = 3
_PREFIX = "/services"
_PATH = re.compile(r"^/services/([A-Za-z0-9._-]+)(/.*)?$")


@kernel.plugin(settings_module.Role.ENTRY)
class Dispatch(kernel.Plugin):
    """Sends each request to one minion of its service."""

    requires = (ingress.Ingress, membership.Membership)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._ingress = host.get(ingress.Ingress)
        self._directory = host.get(membership.Membership).directory
        self._ingress.route(_PREFIX, self._serve)

    async def _serve(self, request: http.Request) -> http.Response:
        service, serve = parse(request)
        started = time.monotonic()
        result = await self._attempt(service, serve, started)
        labels = {"service": service, "urgency": serve.urgency.name.lower()}
        self._parts.metrics.record(
            "request_seconds", time.monotonic() - started, **labels
        )
        if isinstance(result, messages.Served):
            self._parts.metrics.count("requests_served", **labels)
            return http.Response(result.status, result.headers, result.body)
        self._parts.metrics.count(
            "requests_refused", reason=result.kind.value, **labels
        )
        return ingress.refusal(result)

    async def _attempt(
        self, service: str, serve: messages.Serve, started: float
    ) -> messages.Served | outcome.Refused:
        result = self._no_target(service)
        tried: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            left_ms = serve.budget_ms - (time.monotonic() - started) * 1000
            if left_ms <= 0:
                return _too_late()
            target = self._choose(service, tried)
            if target is None:
                return result
            tried.add(target.announcement.name)
            result = await self._send(target, serve, left_ms)
            if not _may_retry(result):
                return result
            self._parts.metrics.count("retries", reason=result.kind.value)
        return result

    def _choose(
        self, service: str, tried: set[str]
    ) -> directory_module.Target | None:
        candidates = [
            target
            for target in self._directory.candidates(service)
            if target.announcement.name not in tried
        ]
        if not candidates:
            return None
        return self._parts.random.choice(candidates)

    async def _send(
        self,
        target: directory_module.Target,
        serve: messages.Serve,
        left_ms: float,
    ) -> messages.Served | outcome.Refused:
        target.outstanding += 1
        try:
            result = await self._parts.bus.call(
                target.bus, serve, left_ms / 1000
            )
        finally:
            target.outstanding -= 1
        match result:
            case bus_module.Answered(
                message=(messages.Served() | outcome.Refused()) as answer
            ):
                return answer
            case bus_module.NotSent(reason=reason):
                return outcome.Refused(
                    outcome.Kind.NOT_SENT,
                    f"repeat the request; its target was not reached: {reason}",
                )
            case _:
                return outcome.Refused(
                    outcome.Kind.ANSWER_LOST,
                    "check whether it ran before repeating; no answer came",
                    outcome.Ran.UNKNOWN,
                )

    def _no_target(self, service: str) -> outcome.Refused:
        if not self._directory.serves(service):
            return outcome.Refused(
                outcome.Kind.UNKNOWN_SERVICE,
                f"name a service that has minions; none serves {service}",
            )
        return outcome.Refused(
            outcome.Kind.NO_TARGET,
            "repeat later; every minion of the service is silent or draining",
        )


def parse(request: http.Request) -> tuple[str, messages.Serve]:
    """Returns a caller's request as its service and typed message.

    Raises:
        HttpError: The path or a header can't be used.
    """
    match_ = _PATH.match(request.target)
    if match_ is None:
        text = "use /services/SERVICE/PATH"
        raise errors.HttpError(404, "bad-request", text)
    headers = tuple(
        (name, value)
        for name, value in request.headers
        if name not in http.HOP_HEADERS and not name.startswith("pomelostair-")
    )
    serve = messages.Serve(
        request_id=uuid.uuid4().hex,
        method=request.method,
        target=match_.group(2) or "/",
        headers=headers,
        body=request.body,
        urgency=_urgency(request),
        team=request.header("pomelostair-team") or "default",
        budget_ms=_timeout_ms(request),
    )
    return match_.group(1), serve


def _urgency(request: http.Request) -> messages.Urgency:
    text = request.header("pomelostair-urgency") or "normal"
    try:
        return messages.Urgency[text.upper()]
    except KeyError as error:
        known = ", ".join(urgency.name.lower() for urgency in messages.Urgency)
        raise errors.HttpError(
            400, "bad-request", f"set Pomelostair-Urgency to one of {known}"
        ) from error


def _timeout_ms(request: http.Request) -> float:
    text = request.header("pomelostair-timeout-ms")
    if text is None:
        return DEFAULT_TIMEOUT_MS
    usable = text.isascii() and text.isdecimal()
    value = int(text[:12]) if usable else 0
    if not 0 < value <= MAX_TIMEOUT_MS:
        remedy = f"set Pomelostair-Timeout-Ms to 1 up to {MAX_TIMEOUT_MS}"
        raise errors.HttpError(400, "bad-request", remedy)
    return value


def _may_retry(result: messages.Served | outcome.Refused) -> bool:
    if isinstance(result, messages.Served):
        return False
    return result.ran is outcome.Ran.NO and result.kind in (
        outcome.Kind.NOT_SENT,
        outcome.Kind.DRAINING,
        outcome.Kind.QUEUE_FULL,
    )


def _too_late() -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.TOO_LATE,
        "allow more time with Pomelostair-Timeout-Ms; the deadline passed",
    )
