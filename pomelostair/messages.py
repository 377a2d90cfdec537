"""Typed messages between the system's processes."""

import enum

import attrs

from pomelostair import outcome
from pomelostair import wire

wire.message("refused")(outcome.Refused)


class TargetState(enum.Enum):
    """Whether a target takes new work."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class EntryAddress:
    """Where an entry is reached.

    Attributes:
        name: Name of the entry.
        bus: Bus URL.
        http: HTTP address.
        age_s: Seconds since the entry was last heard of.
    """

    name: str
    bus: str
    http: str
    age_s: float


@attrs.frozen
class LeaderAddress:
    """Who leads a cell.

    Attributes:
        cell: Name of the cell.
        epoch: Epoch of the leader's lease; a higher one is newer.
        name: Name of the leading agent.
        bus: Its bus URL.
    """

    cell: str
    epoch: int
    name: str
    bus: str


@attrs.frozen
class JoinRequest:
    """A process that joins; an entry tells where it is reached."""

    entry: EntryAddress | None = None


@attrs.frozen
class JoinReply:
    """Answer of an entry to a process that joins through the balancer."""

    entries: tuple[EntryAddress, ...]
    leaders: tuple[LeaderAddress, ...]


class Urgency(enum.IntEnum):
    """Urgency classes; a lower number goes first and yields last."""

    CRITICAL = 0
    URGENT = 1
    NORMAL = 2
    BATCH = 3


@wire.message("announcement")
@attrs.frozen
class Announcement:
    """What an agent tells the entries about its target.

    Attributes:
        name: Name of the agent.
        zone: Its availability zone.
        cell: Its cell.
        state: Whether the target takes new work.
        service: Service of a minion, empty for a worker.
        slots: Slots of a minion.
        running: Requests that hold a slot.
        queued: Requests that wait for one.
        service_ms: Recent mean time that a request holds a slot.
        leader: The leader of the cell, as far as the agent knows.
        clock_ms: The agent's monotonic clock; entries date requests by it.
        waits_ms: Expected wait of a new request by urgency class.
        sheds: Class that yields next; None while the queue has room.
    """

    name: str
    zone: str
    cell: str
    state: TargetState
    service: str = ""
    slots: int = 0
    running: int = 0
    queued: int = 0
    service_ms: float = 0.0
    leader: LeaderAddress | None = None
    clock_ms: float = 0.0
    waits_ms: tuple[float, ...] = ()
    sheds: Urgency | None = None


@wire.message("announcement-seen")
@attrs.frozen
class AnnouncementAck:
    """Entry to agent: the announcement is in force at the entry.

    It follows all requests that the entry sent before on the same connection.
    """


@wire.message("serve")
@attrs.frozen
class Serve:
    """One request of a caller for a minion.

    Attributes:
        request_id: Id that the minion sees too.
        method: HTTP method.
        target: Path and query within the service.
        headers: Headers of the caller that are passed on.
        body: Whole body.
        urgency: Urgency class.
        team: Team that the request counts for.
        budget_ms: Time left until the caller's deadline.
        sent_ms: Lower bound of the agent's monotonic clock when `budget_ms`
            was read, so that a delayed message still ends in time.
        incarnation: Incarnation of the agent that it is meant for.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    urgency: Urgency
    team: str
    budget_ms: float
    sent_ms: float
    incarnation: str


@wire.message("served")
@attrs.frozen
class Served:
    """The whole answer of a minion."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen
class Size:
    """Resources of a task or worker.

    Attributes:
        cores: Processor cores.
        memory_mb: Memory in megabytes.
        accelerators: Whole accelerators.
    """

    cores: float = 1.0
    memory_mb: int = 256
    accelerators: int = 0


@attrs.frozen
class JobSpec:
    """A job as its caller declares it.

    Attributes:
        id: Id of the job; the same id again is the same job.
        kind: Kind of work, for estimates and interference.
        team: Team whose quota it counts for.
        urgency: Urgency class.
        tasks: Number of equal tasks.
        size: Declared size of each task.
        run_s: Declared run time of each task; 0 for a service task that runs
            until it is stopped.
        once: Whether a task must never run again after it may have completed.
        survive: Whether it must survive load shedding as long as possible.
        max_failures: Failures of one task after which the job fails.
    """

    id: str
    kind: str
    team: str = "default"
    urgency: Urgency = Urgency.BATCH
    tasks: int = 1
    size: Size = attrs.field(factory=Size)
    run_s: float = 1.0
    once: bool = False
    survive: bool = False
    max_failures: int = 3


@wire.message("submit-job")
@attrs.frozen
class SubmitJob:
    """Entry to leader: accept a job durably."""

    spec: JobSpec


@wire.message("job-accepted")
@attrs.frozen
class JobAccepted:
    """Leader to entry: the job is durable."""

    id: str
    created: bool


@wire.message("show-job")
@attrs.frozen
class ShowJob:
    """Entry to leader: report a job."""

    id: str


@wire.message("cancel-job")
@attrs.frozen
class CancelJob:
    """Entry to leader: cancel a job; answered by its view after commit."""

    id: str


@attrs.frozen
class TaskView:
    """A task as callers and operators see it.

    Attributes:
        id: Id of the task, `JOB/INDEX`.
        state: Name of its state.
        attempt: Number of its latest start, 0 before the first.
        worker: Agent of the worker that runs it, empty for none.
        reason: Why it is in this state.
    """

    id: str
    state: str
    attempt: int
    worker: str
    reason: str


@wire.message("job-view")
@attrs.frozen
class JobView:
    """Leader to entry: a job as its caller sees it."""

    spec: JobSpec
    state: str
    reason: str
    tasks: tuple[TaskView, ...]


class TaskEnd(enum.Enum):
    """How an attempt of a task ended at its worker."""

    COMPLETED = "completed"
    FAILED = "failed"
    EVICTED = "evicted"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    REFUSED = "refused"


@attrs.frozen
class TaskEnded:
    """An attempt that ended; reported until the leader acknowledges it.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        end: How it ended.
        detail: Reason, for operators.
        checkpoint: Key of the checkpoint object, empty for none.
    """

    task: str
    attempt: int
    end: TaskEnd
    detail: str = ""
    checkpoint: str = ""


@attrs.frozen
class TaskUsage:
    """What a worker reported of a running attempt; lags behind the truth.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        used: Resources in use.
        progress: Share of the work that is done, 0 to 1.
        slowdown: Run time over the run time when alone; 1 is undisturbed.
        read_ms: When `used` and `slowdown` were read, on the worker's clock;
            None if they were not read yet.
        reserved: Size that it counts with at its worker, None for unknown.
    """

    task: str
    attempt: int
    used: Size
    progress: float
    slowdown: float
    read_ms: float | None = None
    reserved: Size | None = None


@wire.message("heartbeat")
@attrs.frozen
class Heartbeat:
    """Agent of a worker to the leader, before each renewal of leases.

    Attributes:
        worker: Name of the agent.
        zone: Availability zone.
        rack: Rack of the worker.
        capacity: What tasks may use.
        state: Whether the worker takes new tasks.
        usage: The attempts that run on the worker.
        ended: Attempts whose end is not acknowledged yet.
        now_ms: Reading of the worker's clock before this was sent.
        boot: Id of the worker's start; a new one forgot all attempts.
    """

    worker: str
    zone: str
    rack: str
    capacity: Size
    state: TargetState
    usage: tuple[TaskUsage, ...]
    ended: tuple[TaskEnded, ...]
    now_ms: float = 0.0
    boot: str = ""


@attrs.frozen
class StartOrder:
    """Run an attempt of a task; idempotent by task and attempt.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        kind: Kind of work.
        urgency: Urgency class.
        size: Declared size.
        run_s: Declared run time, 0 for a service task.
        checkpoint: Key of the checkpoint to resume from, empty for none.
        once: Whether the outcome object guards against a second run.
        survive: Whether it yields last when the site stops.
        reserved: Size that the leader planned with; None for the declared.
    """

    task: str
    attempt: int
    kind: str
    urgency: Urgency
    size: Size
    run_s: float
    checkpoint: str
    once: bool
    survive: bool = False
    reserved: Size | None = None


@attrs.frozen
class StopOrder:
    """End an attempt of a task.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        checkpoint: Whether to checkpoint it first, so that it can resume.
    """

    task: str
    attempt: int
    checkpoint: bool


@attrs.frozen
class ThrottleOrder:
    """Slow an attempt down to a share of its speed, 1 for full speed."""

    task: str
    attempt: int
    share: float


@wire.message("heartbeat-ack")
@attrs.frozen
class HeartbeatAck:
    """Leader to agent: renews the leases of the attempts that it names.

    A lease runs from the worker's clock reading taken before the heartbeat
    was sent, so that delays of this message only shorten it.

    Attributes:
        epoch: Epoch of the leader; agents refuse older ones.
        renew: Attempts, as task id and number, whose leases go on.
        start: Attempts to start.
        stop: Attempts to end.
        throttle: Attempts to slow down or speed up.
        acknowledged: Ends that are durable and need no further report.
    """

    epoch: int
    renew: tuple[tuple[str, int], ...] = ()
    start: tuple[StartOrder, ...] = ()
    stop: tuple[StopOrder, ...] = ()
    throttle: tuple[ThrottleOrder, ...] = ()
    acknowledged: tuple[tuple[str, int], ...] = ()


@wire.message("nudge")
@attrs.frozen
class Nudge:
    """Leader to agent: send a heartbeat now, since orders wait for it."""

    epoch: int


@wire.message("list-tasks")
@attrs.frozen
class ListTasks:
    """Entry to leader: report tasks in order of their ids, page by page.

    Empty filters match everything.

    Attributes:
        after: Id of the last task of the previous page, empty for the first.
        limit: Most rows to return; the leader may return fewer.
        job: Only tasks of this job.
        kind: Only tasks of this kind.
        team: Only tasks of this team.
        state: Only tasks in the state of this name.
        worker: Only tasks on this worker.
    """

    after: str = ""
    limit: int = 1000
    job: str = ""
    kind: str = ""
    team: str = ""
    state: str = ""
    worker: str = ""


@attrs.frozen
class TaskRow:
    """A task as operators list it.

    Attributes:
        id: Id of the task, `JOB/INDEX`.
        job: Id of its job.
        kind: Kind of work.
        team: Team that it counts for.
        urgency: Urgency class.
        state: Name of its state.
        reason: Why it is in this state.
        attempt: Number of its latest start, 0 before the first.
        worker: Agent of the worker that runs it, empty for none.
        size: Declared size.
        failures: Failed attempts.
        checkpoint: Key of the latest checkpoint, empty for none.
        once: Whether it must never run again after it may have completed.
        survive: Whether it is to survive load shedding.
    """

    id: str
    job: str
    kind: str
    team: str
    urgency: Urgency
    state: str
    reason: str
    attempt: int
    worker: str
    size: Size
    failures: int = 0
    checkpoint: str = ""
    once: bool = False
    survive: bool = False


@wire.message("task-list")
@attrs.frozen
class TaskList:
    """Leader to entry: one page of tasks; `more` tells that others follow."""

    rows: tuple[TaskRow, ...]
    more: bool


@wire.message("list-workers")
@attrs.frozen
class ListWorkers:
    """Entry to leader: report all workers of the cell."""


@attrs.frozen
class WorkerRow:
    """A worker as operators list it.

    Attributes:
        name: Name of its agent.
        zone: Availability zone.
        rack: Rack.
        state: `ready`, `draining`, `silent` or `dead`.
        reason: Why it is in this state.
        capacity: What tasks may use.
        assigned: Sum of the declared sizes of the tasks placed on it.
        tasks: Number of these tasks.
        silent_s: Seconds since its latest heartbeat; negative when this
            leader has had none.
    """

    name: str
    zone: str
    rack: str
    state: str
    reason: str
    capacity: Size
    assigned: Size
    tasks: int
    silent_s: float


@wire.message("worker-list")
@attrs.frozen
class WorkerList:
    """Leader to entry: the workers of the cell by name."""

    rows: tuple[WorkerRow, ...]


@wire.message("declare-worker-dead")
@attrs.frozen
class DeclareWorkerDead:
    """Entry to leader: an operator vouches that a worker runs nothing.

    Its tasks restart elsewhere at once. Idempotent; answered after commit.

    Attributes:
        worker: Name of the worker's agent.
    """

    worker: str


@wire.message("worker-declared-dead")
@attrs.frozen
class WorkerDeclaredDead:
    """Leader to entry: the declaration is durable.

    Attributes:
        worker: Name of the worker's agent.
        tasks: Ids of the tasks that the declaration freed.
    """

    worker: str
    tasks: tuple[str, ...]


@wire.message("explain-task")
@attrs.frozen
class ExplainTask:
    """Entry to leader: why a task is where it is."""

    task: str


@wire.message("explanation")
@attrs.frozen
class Explanation:
    """Leader to entry: what was decided about a task, oldest first.

    Attributes:
        task: Id of the task.
        rows: One line of text for each recorded decision.
    """

    task: str
    rows: tuple[str, ...]


@wire.message("step-down")
@attrs.frozen
class StepDown:
    """New leader to the previous one: grant nothing any more.

    Attributes:
        cell: Name of the cell.
        holder: Name of the previous leader; others don't answer.
        previous: Its epoch.
        epoch: Epoch of the new leader.
    """

    cell: str
    holder: str
    previous: int
    epoch: int


@wire.message("stepped-down")
@attrs.frozen
class SteppedDown:
    """Previous leader, or its restarted process, to the new one.

    Attributes:
        remembers: Whether this process led the epoch itself.
        horizon_s: Seconds until grants of leaders before it have lapsed.
    """

    remembers: bool
    horizon_s: float
