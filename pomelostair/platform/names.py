"""Bodies of the platform's calls, decoded once into the product's types."""

import msgspec

from pomelostair import errors
from pomelostair import pipeline
from pomelostair import ports
from pomelostair import queues
from pomelostair import resources


class StepBody(msgspec.Struct):
    """A stage of a submission; absent fields are 0, false or empty."""

    count: int = 1
    cpu: int = 0  # Thousandths of a core.
    memory_mb: int = msgspec.field(default=0, name="memMb")
    gpu: int = 0  # Whole accelerators.
    estimate_ms: int = msgspec.field(default=0, name="estimateMs")
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = msgspec.field(default=False, name="sameRack")
    requires: str = ""  # One label of the worker.
    affinity: str = ""  # The rack that holds the data.
    # Not a flag: the most tasks of the step on one worker.
    anti_affinity: int = msgspec.field(default=0, name="antiAffinity")
    speculative: bool = False
    perpetual: bool = False  # Runs until the submission is cancelled.
    image: str = ""
    target_ms: float = msgspec.field(default=0.0, name="targetMs")
    fills: bool = False  # Uses only processor time that is left over.
    skippable: int = 0  # Not a flag: tasks that may be away at once.


class SubmissionBody(msgspec.Struct):
    """A submission."""

    spec: str = ""  # A text that is handed to every task.
    steps: list[StepBody] = []
    # The number of occurrences, not of repetitions after the first.
    repeats: int = 0
    first_run_ms: int = msgspec.field(default=0, name="firstRunMs")
    interval_ms: int = msgspec.field(default=0, name="intervalMs")


class AdviceBody(msgspec.Struct):
    """Terms of the advice that a queue needs."""

    decision_ms: int = msgspec.field(default=0, name="decisionMs")
    period_ms: int = msgspec.field(default=0, name="periodMs")
    valid_ms: int = msgspec.field(default=0, name="validMs")


class RouteBody(msgspec.Struct):
    """A queue; the platform calls it a route."""

    name: str
    host: str = ""
    path_prefix: str = msgspec.field(default="/", name="pathPrefix")
    timeout_ms: int = msgspec.field(default=3000, name="timeoutMs")
    slo_ms: int = msgspec.field(default=0, name="sloMs")
    priority: int = 0
    service: str = ""
    max_attempts: int = msgspec.field(default=1, name="maxAttempts")
    stretch: float = 1.0
    advice: AdviceBody | None = None


class ServiceBody(msgspec.Struct):
    """A service, which is a pool of workers."""

    name: str
    # Whether its workers refuse what does not fit.
    admission_check: bool = msgspec.field(default=False, name="admissionCheck")


class ConfigBody(msgspec.Struct):
    """The operator's configuration."""

    version: int
    routes: list[RouteBody] = []
    services: list[ServiceBody] = []


class CapacityBody(msgspec.Struct):
    """What a worker has."""

    cpu: int = 0
    memory_mb: int = msgspec.field(default=0, name="memMb")
    gpu: int = 0


class BeatBody(msgspec.Struct):
    """A worker's heartbeat."""

    service: str
    address: str
    state: str
    capacity: CapacityBody = msgspec.field(default_factory=CapacityBody)
    labels: list[str] = []  # The worker's kind, then its rack.
    zone: str = ""
    clock_ms: int = msgspec.field(default=0, name="clockMs")
    remaining_ms: int = msgspec.field(default=0, name="remainingMs")
    seq: int = 0
    born: int = 0  # Unix milliseconds of the worker's start.


_STATES = ("ready", "draining")
# Bounds of a submission; larger ones are refused as malformed.
MAX_TASKS = pipeline.MAX_TASKS


def submission(
    data: bytes, pipeline_id: str, queue: str, now_ms: int
) -> pipeline.Declaration:
    """Decodes a submission.

    Raises:
        MessageError: It is malformed; the message names the remedy.
    """
    try:
        body = msgspec.json.decode(data, type=SubmissionBody)
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.MessageError(f"send spec and steps: {error}") from error
    if not body.steps or len(body.steps) > pipeline.MAX_STAGES:
        raise errors.MessageError(f"send 1 up to {pipeline.MAX_STAGES} steps")
    if sum(max(1, step.count) for step in body.steps) > MAX_TASKS:
        raise errors.MessageError(f"send at most {MAX_TASKS} tasks")
    for number, step in enumerate(body.steps):
        if any(not 0 <= before < number for before in step.after):
            raise errors.MessageError(
                f"let step {number} come after earlier steps only"
            )
    return pipeline.Declaration(
        id=pipeline_id,
        queue=queue,
        payload=body.spec,
        stages=tuple(_stage(step) for step in body.steps),
        submitted_ms=now_ms,
        occurrences=max(1, body.repeats),
        first_run_ms=body.first_run_ms if body.repeats else 0,
        interval_ms=body.interval_ms,
    )


def _stage(step: StepBody) -> pipeline.Stage:
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


def configuration(data: bytes) -> queues.QueueTable:
    """Decodes the operator's configuration.

    Raises:
        MessageError: It is malformed.
    """
    try:
        body = msgspec.json.decode(data, type=ConfigBody)
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.MessageError(
            f"unreadable configuration: {error}"
        ) from error
    return queues.QueueTable(
        body.version,
        tuple(_queue(route) for route in body.routes),
        frozenset(s.name for s in body.services if s.admission_check),
    )


def _queue(route: RouteBody) -> queues.Queue:
    advice = None
    if route.advice is not None:
        advice = queues.AdviceTerms(
            route.advice.decision_ms,
            route.advice.period_ms,
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


def heartbeat(data: bytes, worker: str) -> ports.WorkerHeartbeat:
    """Decodes a worker's heartbeat.

    Raises:
        MessageError: It is malformed or names no known state.
    """
    try:
        body = msgspec.json.decode(data, type=BeatBody)
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.MessageError(f"unreadable heartbeat: {error}") from error
    if body.state not in _STATES:
        raise errors.MessageError(f"unknown state {body.state!r}")
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
        clock_ms=body.clock_ms,
        sequence=body.seq,
    )
