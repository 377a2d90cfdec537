"""Forwards callers' HTTP requests from an entry to minions."""

import re
import uuid

import attrs
import curio

from pomelostair import bus as bus_module
from pomelostair import configuration
from pomelostair import declaration
from pomelostair import directory as directory_module
from pomelostair import errors
from pomelostair import events
from pomelostair import health
from pomelostair import http
from pomelostair import idempotency
from pomelostair import ingress
from pomelostair import kernel
from pomelostair import log
from pomelostair import membership
from pomelostair import messages
from pomelostair import outcome
from pomelostair import pauses
from pomelostair import responses
from pomelostair import retry
from pomelostair import routing
from pomelostair import settings as settings_module
from pomelostair import siteorders

DEFAULT_TIMEOUT_MS = 10_000
MAX_TIMEOUT_MS = 300_000
MAX_ATTEMPTS = 3
_PATH_PREFIX = "/services"
_PATH = re.compile(r"^/services/([A-Za-z0-9._-]+)(/.*)?$")


@kernel.plugin(settings_module.Role.ENTRY)
class Dispatch(kernel.Plugin):
    """Routes requests to minions and retries those that did not run."""

    requires = (
        ingress.Ingress,
        membership.Membership,
        configuration.Configuration,
        idempotency.Intents,
        siteorders.SiteOrders,
    )

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._ingress = host.get(ingress.Ingress)
        self._directory = host.get(membership.Membership).directory
        self._configuration = host.get(configuration.Configuration)
        self._intents = host.get(idempotency.Intents)
        self._site_orders = host.get(siteorders.SiteOrders)
        self._target_health = health.TargetHealth(parts.clock)
        self._retry_budget = retry.RetryBudget()
        self._pause_detector = pauses.PauseDetector(parts.clock)
        self._started_s = parts.clock.now()
        self._ingress.add_route(_PATH_PREFIX, self._handle_request)

    async def run(self) -> None:
        """Detects pauses of the process until cancelled."""
        while True:
            self._pause_detector.tick()
            await curio.sleep(pauses.TICK_INTERVAL_S)

    async def _handle_request(self, request: http.Request) -> http.Response:
        arrived_s = self._pause_detector.earliest_arrival_s()
        service, serve = parse_request(request)
        deadline = self._site_orders.limit_deadline(
            arrived_s + serve.budget_ms / 1000
        )

        async def run() -> messages.Served | outcome.Refused:
            return await self._send_with_retries(service, serve, deadline)

        key = request.header(idempotency.KEY_HEADER)
        if key is None:
            result = await run()
        else:
            intent = idempotency.make_intent(service, key, serve)
            result = await self._intents.run_once(intent, run, deadline)
        return self._make_response(service, serve, arrived_s, result)

    def _make_response(
        self,
        service: str,
        serve: messages.Serve,
        arrived_s: float,
        result: messages.Served | outcome.Refused,
    ) -> http.Response:
        metrics = self._parts.metrics
        urgency = serve.urgency.name.lower()
        duration_s = self._parts.clock.now() - arrived_s
        metrics.record(
            "request_seconds", duration_s, service=service, urgency=urgency
        )
        if isinstance(result, messages.Served):
            return http.Response(result.status, result.headers, result.body)
        metrics.count(
            "requests_refused",
            reason=result.kind.value,
            service=service,
            urgency=urgency,
        )
        return responses.refusal_response(result)

    async def _send_with_retries(
        self, service: str, serve: messages.Serve, deadline: float
    ) -> messages.Served | outcome.Refused:
        """Sends a request to up to `MAX_ATTEMPTS` different minions."""
        refusal = self._site_orders.request_refusal(service, serve.urgency)
        if refusal is not None:
            return refusal
        result = self._no_target_refusal(service)
        self._retry_budget.deposit(self._declarations().limits.retry_share)
        tried_targets: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            if self._parts.clock.now() >= deadline:
                return _deadline_passed_refusal()
            candidates = self._candidates(service, tried_targets)
            if candidates and not self._has_room(candidates, serve.urgency):
                return _queue_full_refusal()
            target = self._choose_target(candidates, serve, not tried_targets)
            if target is None:
                return result
            tried_targets.add(target.announcement.name)
            result = await self._send(target, serve, deadline)
            self._record_result(target, result)
            if not retry.is_retryable(result):
                return result
            if not self._retry_budget.withdraw(result):
                self._parts.metrics.count("retries_over_budget")
                return result
            self._parts.metrics.count("retries", reason=result.kind.value)
        return result

    def _candidates(
        self, service: str, tried_targets: set[str]
    ) -> list[directory_module.Target]:
        return [
            target
            for target in self._directory.candidates(service)
            if target.announcement.name not in tried_targets
        ]

    def _has_room(
        self,
        candidates: list[directory_module.Target],
        urgency: messages.Urgency,
    ) -> bool:
        now = self._parts.clock.now()
        entries = self._directory.count_entries()
        return any(
            routing.has_room(target, urgency, now - target.announced_s, entries)
            for target in candidates
        )

    def _choose_target(
        self,
        candidates: list[directory_module.Target],
        serve: messages.Serve,
        is_first_attempt: bool,
    ) -> directory_module.Target | None:
        """Chooses a minion; only less urgent first attempts may be probes."""
        may_probe = (
            is_first_attempt and serve.urgency >= messages.Urgency.NORMAL
        )
        return routing.choose(
            self._target_health.eligible(candidates, may_probe),
            serve.urgency,
            routing.RoutingContext(
                self._parts.settings.zone, self._directory.count_entries()
            ),
            self._parts.random,
        )

    async def _send(
        self,
        target: directory_module.Target,
        serve: messages.Serve,
        deadline: float,
    ) -> messages.Served | outcome.Refused:
        now = self._parts.clock.now()
        outgoing = attrs.evolve(
            serve,
            budget_ms=(deadline - now) * 1000,
            sent_ms=(now + target.clock_offset_s) * 1000,
            incarnation=target.incarnation,
        )
        target.outstanding[serve.urgency] += 1
        try:
            result = await self._parts.bus.call(
                target.bus, outgoing, deadline - now
            )
        finally:
            target.outstanding[serve.urgency] -= 1
        return _result_of_call(result)

    def _record_result(
        self,
        target: directory_module.Target,
        result: messages.Served | outcome.Refused,
    ) -> None:
        if not self._target_health.record_result(target, result):
            return
        event = events.Events.TARGET_RESTORED
        if self._target_health.is_ejected(target):
            event = events.Events.TARGET_EJECTED
        name = target.announcement.name
        self._parts.metrics.count("ejections", event=event.name.lower())
        log.emit(event, target=name)

    def _no_target_refusal(self, service: str) -> outcome.Refused:
        if self._directory.serves(service) or self._is_declared(service):
            return outcome.Refused(
                outcome.Kind.NO_TARGET,
                "repeat later; every minion of the service is silent or "
                "draining",
            )
        if self._parts.clock.now() - self._started_s < self._discovery_time_s():
            return outcome.Refused(
                outcome.Kind.NOT_READY,
                "repeat; this entry has just started and still learns its "
                "targets",
            )
        return outcome.Refused(
            outcome.Kind.UNKNOWN_SERVICE,
            f"name a service that has minions; none serves {service}",
        )

    def _is_declared(self, service: str) -> bool:
        return any(s.name == service for s in self._declarations().services)

    def _discovery_time_s(self) -> float:
        """Returns the time within which all targets announce themselves."""
        timing = self._parts.settings.timing
        return (2 * timing.join_ms + 2 * timing.announce_ms) / 1000

    def _declarations(self) -> declaration.Declarations:
        return self._configuration.in_force.declarations


def parse_request(request: http.Request) -> tuple[str, messages.Serve]:
    """Parses a caller's request.

    Returns:
        The name of the service, and the message for the agent. Its deadline
        and incarnation are set when it is sent.

    Raises:
        HttpError: The path or a header is invalid.
    """
    match_ = _PATH.match(request.target)
    if match_ is None:
        text = "use /services/SERVICE/PATH"
        raise errors.HttpError(404, "bad-request", text)
    headers = tuple(
        (name, value)
        for name, value in request.headers
        if name not in http.HOP_BY_HOP_HEADERS
        and not name.startswith("pomelostair-")
    )
    serve = messages.Serve(
        request_id=uuid.uuid4().hex,
        method=request.method,
        target=match_.group(2) or "/",
        headers=headers,
        body=request.body,
        urgency=_parse_urgency(request),
        team=request.header("pomelostair-team") or "default",
        budget_ms=_parse_timeout_ms(request),
        sent_ms=0.0,
        incarnation="",
    )
    return match_.group(1), serve


def _parse_urgency(request: http.Request) -> messages.Urgency:
    text = request.header("pomelostair-urgency") or "normal"
    try:
        return messages.Urgency[text.upper()]
    except KeyError as error:
        valid_names = ", ".join(
            urgency.name.lower() for urgency in messages.Urgency
        )
        raise errors.HttpError(
            400,
            "bad-request",
            f"set Pomelostair-Urgency to one of {valid_names}",
        ) from error


def _parse_timeout_ms(request: http.Request) -> float:
    text = request.header("pomelostair-timeout-ms")
    if text is None:
        return DEFAULT_TIMEOUT_MS
    is_decimal = text.isascii() and text.isdecimal()
    value = int(text[:12]) if is_decimal else 0
    if not 0 < value <= MAX_TIMEOUT_MS:
        remedy = f"set Pomelostair-Timeout-Ms to 1 up to {MAX_TIMEOUT_MS}"
        raise errors.HttpError(400, "bad-request", remedy)
    return value


def _result_of_call(
    call: bus_module.CallResult,
) -> messages.Served | outcome.Refused:
    match call:
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
                "check whether it ran before repeating; no answer was received",
                outcome.Ran.UNKNOWN,
            )


def _queue_full_refusal() -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.QUEUE_FULL,
        "repeat later; the queues of all minions are full for this urgency",
    )


def _deadline_passed_refusal() -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.TOO_LATE,
        "allow more time with Pomelostair-Timeout-Ms; the deadline passed",
    )
