"""Decodes the bodies of the platform's requests into the product's types.

The `...Body` classes mirror the platform's JSON. A comment explains a field
whose platform name is misleading.
"""

import typing

import msgspec

from pomelostair import codec
from pomelostair import endpoints
from pomelostair import errors
from pomelostair import pipeline
from pomelostair import ports
from pomelostair import queues
from pomelostair import resources

MAX_LABELS = 64  # Of a worker.


class StepBody(msgspec.Struct, omit_defaults=True):
    """A stage of a submission, which the platform calls a step.

    Absent fields are 0, false or empty; an absent `count` is 1. Negative
    numbers are malformed, since they would add to the capacity of a worker.
    """

    count: codec.Count = 1
    cpu: codec.Count = 0  # In thousandths of a core.
    memory_mb: codec.Count = msgspec.field(default=0, name="memMb")
    gpu: codec.Count = 0  # Number of accelerators.
    estimate_ms: codec.Count = msgspec.field(default=0, name="estimateMs")
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = msgspec.field(default=False, name="sameRack")
    requires: str = ""  # A label that the worker must have.
    affinity: str = ""  # Rack that holds the input data.
    # Not a flag: maximum number of the step's tasks on one worker.
    anti_affinity: codec.Count = msgspec.field(default=0, name="antiAffinity")
    speculative: bool = False
    perpetual: bool = False  # Runs until the submission is cancelled.
    image: str = ""
    target_ms: codec.Quantity = msgspec.field(default=0.0, name="targetMs")
    fills: bool = False  # Uses only processor time that is otherwise idle.
    # Not a flag: number of tasks that the scheduler may make unavailable at the
    # same time.
    skippable: codec.Count = 0


class SubmissionBody(msgspec.Struct, omit_defaults=True):
    """A submission."""

    spec: str = ""  # Payload that is passed to every task.
    steps: list[StepBody] = []
    # Total number of occurrences, including the first one.
    repeats: codec.Count = 0
    first_run_ms: codec.Count = msgspec.field(default=0, name="firstRunMs")
    interval_ms: codec.Count = msgspec.field(default=0, name="intervalMs")


class AdviceBody(msgspec.Struct):
    """Terms of the advisor that approves workers for a queue's stages."""

    decision_ms: codec.Integer = msgspec.field(default=0, name="decisionMs")
    # Not a period: additional time for each worker that is asked about.
    per_worker_ms: codec.Integer = msgspec.field(default=0, name="periodMs")
    valid_ms: codec.Integer = msgspec.field(default=0, name="validMs")


class RouteBody(msgspec.Struct):
    """A queue, which the platform calls a route."""

    name: str
    host: str = ""
    path_prefix: str = msgspec.field(default="/", name="pathPrefix")
    timeout_ms: codec.Integer = msgspec.field(default=3000, name="timeoutMs")
    slo_ms: codec.Integer = msgspec.field(default=0, name="sloMs")
    priority: codec.Integer = 0
    service: str = ""
    max_attempts: codec.Integer = msgspec.field(default=1, name="maxAttempts")
    stretch: float = 1.0
    advice: AdviceBody | None = None


class ServiceBody(msgspec.Struct):
    """A service: a pool of workers."""

    name: str
    # Whether its workers refuse tasks that do not fit.
    admission_check: bool = msgspec.field(default=False, name="admissionCheck")


class ConfigBody(msgspec.Struct):
    """The operator's configuration."""

    version: codec.Integer
    routes: list[RouteBody] = []
    services: list[ServiceBody] = []


class CapacityBody(msgspec.Struct):
    """Total resources of a worker."""

    cpu: codec.Count = 0
    memory_mb: codec.Count = msgspec.field(default=0, name="memMb")
    gpu: codec.Count = 0


class HeartbeatBody(msgspec.Struct):
    """A worker's heartbeat."""

    service: codec.RequiredName
    address: codec.Name
    state: codec.Name
    capacity: CapacityBody = msgspec.field(default_factory=CapacityBody)
    # Worker type first, rack last.
    labels: typing.Annotated[
        list[codec.Name], msgspec.Meta(max_length=MAX_LABELS)
    ] = []
    zone: codec.Name = ""
    clock_ms: codec.Count = msgspec.field(default=0, name="clockMs")
    remaining_ms: codec.Integer = msgspec.field(default=0, name="remainingMs")
    cold_left_ms: codec.Integer = msgspec.field(default=0, name="coldLeftMs")
    seq: codec.Count = 0
    born: codec.Count = 0  # Start of the worker, in Unix milliseconds.


class DeregistrationBody(msgspec.Struct):
    """A worker's deregistration."""

    born: codec.Count | None = None  # Absent for any incarnation.


_WORKER_STATES = ("ready", "draining")
# Submissions with more tasks are rejected as malformed.
MAX_TASKS = pipeline.MAX_TASKS
# Larger bodies are rejected: with all fields of 64 stages named, the row of a
# submission has to fit into the store's 64 KiB.
MAX_SUBMISSION_BYTES = 24_000
# JSON may take six bytes for each byte of a text; with a spec of 4,000 bytes
# escaped like this, a submission may be larger, but not its row.
MAX_ESCAPED_SUBMISSION_BYTES = 48_000


def decode_submission(
    data: bytes, pipeline_id: str, queue: str, now_ms: int
) -> pipeline.Declaration:
    """Decodes a submission.

    Raises:
        MessageError: It is malformed; the message names the remedy.
    """
    if len(data) > MAX_ESCAPED_SUBMISSION_BYTES:
        raise errors.MessageError(f"send at most {MAX_SUBMISSION_BYTES} bytes")
    try:
        body = codec.decode_json(data, SubmissionBody)
    except msgspec.MsgspecError as error:
        raise errors.MessageError(
            f"send a JSON object with spec and steps: {error}"
        ) from error
    if len(data) > MAX_SUBMISSION_BYTES and (
        _unescaped_size(body) > MAX_SUBMISSION_BYTES
    ):
        raise errors.MessageError(f"send at most {MAX_SUBMISSION_BYTES} bytes")
    if not body.steps or len(body.steps) > pipeline.MAX_STAGES:
        raise errors.MessageError(f"send 1 to {pipeline.MAX_STAGES} steps")
    # Occurrences without a due time start at once.
    opened_at_once = 1 if body.first_run_ms else max(1, body.repeats)
    task_count = sum(max(1, step.count) for step in body.steps)
    if task_count * opened_at_once > MAX_TASKS:
        raise errors.MessageError(f"send at most {MAX_TASKS} tasks")
    for number, step in enumerate(body.steps):
        if any(not 0 <= before < number for before in step.after):
            raise errors.MessageError(
                f"list only earlier steps in after of step {number}"
            )
    return pipeline.Declaration(
        id=pipeline_id,
        queue=queue,
        payload=body.spec,
        stages=tuple(_to_stage(step) for step in body.steps),
        submitted_ms=now_ms,
        occurrences=max(1, body.repeats),
        first_run_ms=body.first_run_ms if body.repeats else 0,
        interval_ms=body.interval_ms,
    )


def _unescaped_size(body: SubmissionBody) -> int:
    """Returns the size of a submission whose spec is not escaped."""
    rest = msgspec.structs.replace(body, spec="")
    return len(body.spec.encode()) + len(msgspec.json.encode(rest))


def _to_stage(step: StepBody) -> pipeline.Stage:
    return pipeline.Stage(
        count=max(1, step.count),
        demand=resources.Resources(step.cpu, step.memory_mb, step.gpu),
        estimate_ms=step.estimate_ms,
        after=tuple(step.after),
        checkpointing=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.requires,
        rack=step.affinity,
        most_per_worker=step.anti_affinity,
        speculative=step.speculative,
        lasting=step.perpetual,
        image=step.image,
        latency_target_ms=step.target_ms,
        filler=step.fills,
        skippable=step.skippable,
    )


def decode_configuration(data: bytes) -> queues.QueueTable:
    """Decodes the operator's configuration.

    Raises:
        MessageError: It is malformed.
    """
    try:
        body = codec.decode_json(data, ConfigBody)
    except msgspec.MsgspecError as error:
        raise errors.MessageError(
            f"unreadable configuration: {error}"
        ) from error
    return queues.QueueTable(
        body.version,
        tuple(_to_queue(route) for route in body.routes),
        frozenset(s.name for s in body.services if s.admission_check),
    )


def _to_queue(route: RouteBody) -> queues.Queue:
    advice = None
    if route.advice is not None:
        advice = queues.AdviceTerms(
            route.advice.decision_ms,
            route.advice.per_worker_ms,
            route.advice.valid_ms,
        )
    return queues.Queue(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        objective_ms=route.slo_ms,
        timeout_ms=route.timeout_ms,
        advice=advice,
    )


def decode_heartbeat(data: bytes, worker: str) -> ports.WorkerHeartbeat:
    """Decodes a worker's heartbeat.

    Raises:
        MessageError: It is malformed or its state is unknown.
    """
    try:
        body = codec.decode_json(data, HeartbeatBody)
    except msgspec.MsgspecError as error:
        raise errors.MessageError(f"unreadable heartbeat: {error}") from error
    if not 0 < len(worker) <= codec.MAX_NAME_CHARACTERS:
        raise errors.MessageError("the id of the worker is empty or too long")
    if body.state not in _WORKER_STATES:
        raise errors.MessageError(f"unknown worker state {body.state!r}")
    if not endpoints.is_reachable(body.address):
        raise errors.MessageError("the address is no IP:PORT to connect to")
    return ports.WorkerHeartbeat(
        worker=worker,
        incarnation=body.born,
        address=body.address,
        service=body.service,
        zone=body.zone,
        rack=body.labels[-1] if body.labels else "",
        labels=tuple(body.labels),
        capacity=resources.Resources(
            body.capacity.cpu, body.capacity.memory_mb, body.capacity.gpu
        ),
        draining=body.state == "draining",
        remaining_ms=body.remaining_ms,
        cold_left_ms=max(0, body.cold_left_ms),
        clock_ms=body.clock_ms,
        sequence=body.seq,
    )


def decode_deregistration(data: bytes) -> int | None:
    """Returns the incarnation that a deregistration names, None for any.

    Raises:
        MessageError: It is malformed.
    """
    try:
        return codec.decode_json(data or b"{}", DeregistrationBody).born
    except msgspec.MsgspecError as error:
        raise errors.MessageError(
            f"unreadable deregistration: {error}"
        ) from error
