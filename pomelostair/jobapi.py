"""Jobs over HTTP at an entry: submit, read and cancel, through the leader."""

import dataclasses
import re
import uuid

import attrs
import curio
import msgspec

from pomelostair import bus as bus_module
from pomelostair import errors
from pomelostair import http
from pomelostair import ingress
from pomelostair import kernel
from pomelostair import membership
from pomelostair import messages
from pomelostair import outcome
from pomelostair import settings as settings_module

LEADER_TIMEOUT_S = 10.0
ATTEMPT_S = 3.0
RETRY_S = 0.2
MAX_TASKS = 10_000
MAX_ID_CHARACTERS = 128
MAX_AMOUNT = 2**53
_PREFIX = "/v1/jobs"
_PASSING = (outcome.Kind.NO_LEADER, outcome.Kind.NOT_LEADER)
_BEFORE_ANY_RUN = (outcome.Kind.UNKNOWN_JOB, outcome.Kind.CONFLICT)
_ID = re.compile(r"[A-Za-z0-9._-]+")


@attrs.frozen
class Submission:
    """A job as callers write it; the id is made up when it is empty."""

    kind: str
    id: str = ""
    team: str = "default"
    urgency: str = "batch"
    tasks: int = 1
    size: messages.Size = attrs.field(factory=messages.Size)
    run_s: float = 1.0
    once: bool = False
    survive: bool = False
    max_failures: int = 3


@kernel.plugin(settings_module.Role.ENTRY)
class JobApi(kernel.Plugin):
    """Passes jobs on to the leader of the cell."""

    requires = (ingress.Ingress, membership.Membership)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._directory = host.get(membership.Membership).directory
        host.get(ingress.Ingress).add_route(_PREFIX, self._serve)

    async def _serve(self, request: http.Request) -> http.Response:
        path = request.target.partition("?")[0]
        job_id = path[len(_PREFIX) :].strip("/")
        match request.method:
            case "POST" if not job_id:
                spec = parse(request.body)
                return await self._ask(messages.SubmitJob(spec), 202)
            case "GET" if job_id:
                return await self._ask(messages.ShowJob(job_id), 200)
            case "DELETE" if job_id:
                return await self._ask(messages.CancelJob(job_id), 200)
        text = "use POST /v1/jobs, or GET or DELETE /v1/jobs/ID"
        raise errors.HttpError(405, "bad-request", text)

    async def _ask(self, message: object, status: int) -> http.Response:
        result = await self.ask_leader(message)
        if isinstance(result, outcome.Refused):
            self._parts.metrics.count("jobs_refused", reason=result.kind.value)
            return ingress.refusal_response(_naming_the_id(message, result))
        return http.json_response(status, result)

    async def ask_leader(
        self, message: object, timeout_s: float = LEADER_TIMEOUT_S
    ) -> object:
        """Returns the leader's answer, or a refusal that says why none came.

        Asks again while the cell changes its leader. Every message to the
        leader is idempotent, so that a call without an answer is repeated
        too; a refusal after such a call is of unknown outcome.

        Args:
            message: A registered message that the leader handles.
            timeout_s: Longest time for all attempts.
        """
        deadline = self._parts.clock.now() + timeout_s
        refused = _no_leader()
        maybe_ran = False
        while True:
            left_s = deadline - self._parts.clock.now()
            if left_s <= 0:
                return _outcome_of(refused, maybe_ran)
            answer = await self._ask_once(message, min(left_s, ATTEMPT_S))
            match answer:
                case bus_module.NoAnswer():
                    maybe_ran = True
                    refused = _answer_lost()
                case outcome.Refused(kind=kind) if kind in _PASSING:
                    refused = answer
                case outcome.Refused():
                    return _outcome_of(answer, maybe_ran)
                case _:
                    return answer
            self._parts.metrics.count(
                "leader_calls_repeated", reason=refused.kind.value
            )
            await curio.sleep(RETRY_S)

    async def _ask_once(self, message: object, timeout_s: float) -> object:
        leader = self._directory.leader(self._parts.settings.cell)
        if leader is None:
            return _no_leader()
        result = await self._parts.bus.call(leader.bus, message, timeout_s)
        match result:
            case bus_module.Answered(message=answer):
                return answer
            case bus_module.NotSent():
                return _no_leader()
        return result


def _no_leader() -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.NO_LEADER,
        "repeat later with the same id; the cell has no leader in reach",
    )


def _answer_lost() -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.ANSWER_LOST,
        "repeat with the same id; it is never accepted twice",
        outcome.Ran.UNKNOWN,
    )


def _outcome_of(refused: outcome.Refused, maybe_ran: bool) -> outcome.Refused:
    """Returns a refusal that hides no earlier attempt that may have run."""
    if not maybe_ran or refused.kind in _BEFORE_ANY_RUN:
        return refused
    return dataclasses.replace(refused, ran=outcome.Ran.UNKNOWN)


def _naming_the_id(
    message: object, refused: outcome.Refused
) -> outcome.Refused:
    """Returns a refusal that lets a caller repeat a job without an own id."""
    match message:
        case messages.SubmitJob(spec=spec) if refused.ran is not outcome.Ran.NO:
            return dataclasses.replace(
                refused,
                message=f"repeat with the id {spec.id}; "
                "the same id is never accepted twice",
            )
    return refused


def parse(body: bytes) -> messages.JobSpec:
    """Returns a submitted job.

    Raises:
        HttpError: The body is not a usable job.
    """
    try:
        given = msgspec.json.decode(body, type=Submission)
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.HttpError(
            400, "bad-request", f"send a job as JSON: {error}"
        ) from error
    job_id = given.id or uuid.uuid4().hex
    _require(
        _ID.fullmatch(job_id) and len(job_id) <= MAX_ID_CHARACTERS,
        "use letters, digits, '.', '_' and '-' in id",
    )
    _require(given.kind, "name the kind of work in kind")
    _require(0 < given.tasks <= MAX_TASKS, f"set tasks to 1 up to {MAX_TASKS}")
    _require(given.run_s >= 0, "set run_s to 0 or more seconds")
    _require(
        0 < given.max_failures <= MAX_AMOUNT, "set max_failures to 1 or more"
    )
    _require(
        _is_positive(given.size),
        f"set the size to amounts above 0, at most {MAX_AMOUNT}",
    )
    fields = attrs.asdict(given, recurse=False)
    fields["id"] = job_id
    fields["urgency"] = _urgency(given.urgency)
    return messages.JobSpec(**fields)


def _is_positive(size: messages.Size) -> bool:
    return (
        0 < size.cores <= MAX_AMOUNT
        and 0 < size.memory_mb <= MAX_AMOUNT
        and 0 <= size.accelerators <= MAX_AMOUNT
    )


def _urgency(text: str) -> messages.Urgency:
    known = {urgency.name.lower(): urgency for urgency in messages.Urgency}
    _require(text in known, f"set urgency to one of {', '.join(known)}")
    return known[text]


def _require(condition: object, remedy: str) -> None:
    if not condition:
        raise errors.HttpError(400, "bad-request", remedy)
