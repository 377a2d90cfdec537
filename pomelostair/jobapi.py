"""HTTP API for jobs at an entry: submit, read and cancel through the leader."""

import dataclasses
import re
import uuid

import attrs
import curio
import msgspec

from pomelostair import bus as bus_module
from pomelostair import codec
from pomelostair import errors
from pomelostair import http
from pomelostair import ingress
from pomelostair import kernel
from pomelostair import membership
from pomelostair import messages
from pomelostair import outcome
from pomelostair import responses
from pomelostair import settings as settings_module

LEADER_TIMEOUT_S = 10.0
ATTEMPT_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.2
MAX_TASKS = 10_000
MAX_ID_CHARACTERS = 128
MAX_AMOUNT = 2**53
_PREFIX = "/v1/jobs"
_TRANSIENT_REFUSALS = (outcome.Kind.NO_LEADER, outcome.Kind.NOT_LEADER)
_CONCLUSIVE_REFUSALS = (outcome.Kind.UNKNOWN_JOB, outcome.Kind.CONFLICT)
_ID = re.compile(r"[A-Za-z0-9._-]+")


@attrs.frozen
class Submission:
    """Body of a job submission; an empty id is replaced by a generated one."""

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
    """Forwards requests about jobs to the leader of the cell."""

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
                return await self._forward(messages.SubmitJob(spec), 202)
            case "GET" if job_id:
                return await self._forward(messages.ShowJob(job_id), 200)
            case "DELETE" if job_id:
                return await self._forward(messages.CancelJob(job_id), 200)
        text = "use POST /v1/jobs, or GET or DELETE /v1/jobs/ID"
        raise errors.HttpError(405, "bad-request", text)

    async def _forward(self, message: object, status: int) -> http.Response:
        result = await self.ask_leader(message)
        if isinstance(result, outcome.Refused):
            self._parts.metrics.count("jobs_refused", reason=result.kind.value)
            return responses.refusal_response(_with_job_id(message, result))
        return http.json_response(status, result)

    async def ask_leader(
        self, message: object, timeout_s: float = LEADER_TIMEOUT_S
    ) -> object:
        """Sends a message to the leader, with retries.

        Retries while no leader is known, for example during a change of the
        leader. Every message to the leader is idempotent, so a call without an
        answer is retried too; after such a call it is unknown whether a
        refused message was executed.

        Args:
            message: A registered message that the leader handles.
            timeout_s: Time limit of all attempts together.

        Returns:
            The leader's answer, or a refusal that states why there is none.
        """
        deadline = self._parts.clock.now() + timeout_s
        refusal = _no_leader()
        maybe_ran = False
        while True:
            remaining_s = deadline - self._parts.clock.now()
            if remaining_s <= 0:
                return _with_earlier_attempts(refusal, maybe_ran)
            answer = await self._call_leader_once(
                message, min(remaining_s, ATTEMPT_TIMEOUT_S)
            )
            match answer:
                case bus_module.NoAnswer():
                    maybe_ran = True
                    refusal = _answer_lost()
                case outcome.Refused(kind=kind) if kind in _TRANSIENT_REFUSALS:
                    refusal = answer
                case outcome.Refused():
                    return _with_earlier_attempts(answer, maybe_ran)
                case _:
                    return answer
            self._parts.metrics.count(
                "leader_calls_repeated", reason=refusal.kind.value
            )
            await curio.sleep(RETRY_INTERVAL_S)

    async def _call_leader_once(
        self, message: object, timeout_s: float
    ) -> object:
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
        "repeat later with the same id; the cell has no reachable leader",
    )


def _answer_lost() -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.ANSWER_LOST,
        "repeat with the same id; it is never accepted twice",
        outcome.Ran.UNKNOWN,
    )


def _with_earlier_attempts(
    refusal: outcome.Refused, maybe_ran: bool
) -> outcome.Refused:
    """Marks a refusal as of unknown outcome if an earlier attempt may have run.

    UNKNOWN_JOB and CONFLICT stay as they are: they tell the outcome of the
    message whether or not an earlier attempt was executed.
    """
    if not maybe_ran or refusal.kind in _CONCLUSIVE_REFUSALS:
        return refusal
    return dataclasses.replace(refusal, ran=outcome.Ran.UNKNOWN)


def _with_job_id(message: object, refusal: outcome.Refused) -> outcome.Refused:
    """Adds the job's id to a refusal of unknown outcome.

    A caller that submitted without an id needs the generated one to repeat.
    """
    match message:
        case messages.SubmitJob(spec=spec) if refusal.ran is not outcome.Ran.NO:
            return dataclasses.replace(
                refusal,
                message=f"repeat with the id {spec.id}; "
                "the same id is never accepted twice",
            )
    return refusal


def parse(body: bytes) -> messages.JobSpec:
    """Decodes and validates a submitted job.

    Raises:
        HttpError: The body is not a valid job.
    """
    try:
        submission = codec.decode_json(body, Submission)
    except msgspec.MsgspecError as error:
        raise errors.HttpError(
            400, "bad-request", f"send a job as JSON: {error}"
        ) from error
    job_id = submission.id or uuid.uuid4().hex
    _require(
        _ID.fullmatch(job_id) and len(job_id) <= MAX_ID_CHARACTERS,
        "use letters, digits, '.', '_' and '-' in id",
    )
    _require(submission.kind, "set kind to the kind of work")
    _require(
        0 < submission.tasks <= MAX_TASKS, f"set tasks to 1 to {MAX_TASKS}"
    )
    _require(submission.run_s >= 0, "set run_s to 0 or more seconds")
    _require(
        0 < submission.max_failures <= MAX_AMOUNT,
        "set max_failures to 1 or more",
    )
    _require(
        _is_valid_size(submission.size),
        f"set the size to amounts greater than 0, at most {MAX_AMOUNT}",
    )
    fields = attrs.asdict(submission, recurse=False)
    fields["id"] = job_id
    fields["urgency"] = _parse_urgency(submission.urgency)
    return messages.JobSpec(**fields)


def _is_valid_size(size: messages.Size) -> bool:
    return (
        0 < size.cores <= MAX_AMOUNT
        and 0 < size.memory_mb <= MAX_AMOUNT
        and 0 <= size.accelerators <= MAX_AMOUNT
    )


def _parse_urgency(text: str) -> messages.Urgency:
    known = {urgency.name.lower(): urgency for urgency in messages.Urgency}
    _require(text in known, f"set urgency to one of {', '.join(known)}")
    return known[text]


def _require(condition: object, remedy: str) -> None:
    if not condition:
        raise errors.HttpError(400, "bad-request", remedy)
