"""Typed messages between the system's processes.

Fields are encoded under their own names, which therefore stay as they are.
"""

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
    """Addresses of an entry.

    Attributes:
        name: Name of the entry.
        bus: Bus URL.
        http: HTTP address.
        age_s: Seconds since the entry was last seen alive.
    """

    name: str
    bus: str
    http: str
    age_s: float


@attrs.frozen
class LeaderAddress:
    """Address of the leader of a cell.

    Attributes:
        cell: Name of the cell.
        epoch: Epoch of the leader's lease; a higher epoch is newer.
        name: Name of the leading agent.
        bus: Its bus URL.
    """

    cell: str
    epoch: int
    name: str
    bus: str


@attrs.frozen
class JoinRequest:
    """Sent by a process that joins; an entry includes its addresses."""

    entry: EntryAddress | None = None


@attrs.frozen
class JoinReply:
    """Answer of an entry to a `JoinRequest` sent through the balancer."""

    entries: tuple[EntryAddress, ...]
    leaders: tuple[LeaderAddress, ...]


class Urgency(enum.IntEnum):
    """Urgency classes; a lower number is served first and shed last."""

    CRITICAL = 0
    URGENT = 1
    NORMAL = 2
    BATCH = 3


@wire.message("announcement")
@attrs.frozen
class Announcement:
    """Agent to entries: state and load of its target.

    Attributes:
        name: Name of the agent.
        zone: Its availability zone.
        cell: Its cell.
        state: Whether the target takes new work.
        service: Service of a minion, empty for a worker.
        slots: Slots of a minion.
        running: Number of requests that hold a slot.
        queued: Number of requests that wait for a slot.
        service_ms: Recent mean time for which a request holds a slot.
        leader: The leader of the cell as known to the agent.
        clock_ms: Reading of the agent's monotonic clock; entries timestamp
            requests on this clock.
        waits_ms: Expected queueing time of a new request by urgency class.
        sheds: Urgency class that is shed next; None while the queue has room.
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
    """Entry to agent: the announcement is applied at the entry.

    It arrives after all requests that the entry sent before it on the same
    connection, so that none of them is in transit any more.
    """


@wire.message("serve")
@attrs.frozen
class Serve:
    """Entry to agent: one request of a caller for a minion.

    Attributes:
        request_id: Id of the request, passed on to the minion.
        method: HTTP method.
        target: Path and query within the service.
        headers: Headers of the caller that are forwarded.
        body: Complete body.
        urgency: Urgency class.
        team: Team to which the request is accounted.
        budget_ms: Time left until the caller's deadline.
        sent_ms: Lower bound of the agent's monotonic clock when `budget_ms`
            was computed, so that the deadline also holds for a delayed
            message.
        incarnation: Incarnation of the agent that the request is meant for.
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
    """Agent to entry: the complete response of a minion."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen
class Size:
    """Resources of a task or worker.

    Attributes:
        cores: Processor cores.
        memory_mb: Memory in megabytes.
        accelerators: Number of accelerators.
    """

    cores: float = 1.0
    memory_mb: int = 256
    accelerators: int = 0


@attrs.frozen
class JobSpec:
    """A job as declared by its caller.

    Attributes:
        id: Id of the job; submitting the same id again refers to the same
            job.
        kind: Kind of work; resource estimates and interference are learned
            per kind.
        team: Team whose quota the job uses.
        urgency: Urgency class.
        tasks: Number of identical tasks.
        size: Declared size of each task.
        run_s: Declared run time of each task; 0 for a service task that runs
            until it is stopped.
        once: Whether a task must never run again after it may have completed.
        survive: Whether the job must survive load shedding as long as
            possible.
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
    """Leader to entry: the job is durable; `created` if it is new."""

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
    """Entry to leader: cancel a job; answered by `JobView` after commit."""

    id: str


@attrs.frozen
class TaskView:
    """A task as shown to callers and operators.

    Attributes:
        id: Id of the task, `JOB/INDEX`.
        state: Name of its state.
        attempt: Number of its latest attempt, 0 before the first.
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
    """Leader to entry: a job as shown to its caller."""

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
        end: How the attempt ended.
        detail: Reason, shown to operators.
        checkpoint: Key of the checkpoint object, empty for none.
    """

    task: str
    attempt: int
    end: TaskEnd
    detail: str = ""
    checkpoint: str = ""


@attrs.frozen
class TaskUsage:
    """Reported usage of a running attempt; lags behind the actual usage.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        used: Resources in use.
        progress: Share of the work that is done, 0 to 1.
        slowdown: Run time relative to the run time without interference; 1
            means no slowdown.
        read_ms: Reading of the worker's clock when `used` and `slowdown` were
            measured; None if they have not been measured yet.
        reserved: Size reserved for the attempt at its worker, None if
            unknown.
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
    """Agent of a worker to leader: reports state and requests renewals.

    Attributes:
        worker: Name of the agent.
        zone: Availability zone.
        rack: Rack of the worker.
        capacity: Resources available to tasks.
        state: Whether the worker accepts new tasks.
        usage: Usage of the attempts that run on the worker.
        ended: Attempts whose end is not acknowledged yet.
        now_ms: Reading of the worker's clock before the heartbeat was sent.
        boot: Id of the worker's incarnation; a new incarnation has no record
            of earlier attempts.
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
    """Order to run an attempt of a task; idempotent by task and attempt.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        kind: Kind of work.
        urgency: Urgency class.
        size: Declared size.
        run_s: Declared run time, 0 for a service task.
        checkpoint: Key of the checkpoint to resume from, empty for none.
        once: Whether the outcome object guards against a second run.
        survive: Whether the task is shed last when the site stops.
        reserved: Size used by the leader for placement; None for the declared
            size.
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
    """Order to stop an attempt of a task.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        checkpoint: Whether to checkpoint the task first, so that it can
            resume.
    """

    task: str
    attempt: int
    checkpoint: bool


@attrs.frozen
class ThrottleOrder:
    """Order to run an attempt at a share of its speed, 1 for full speed."""

    task: str
    attempt: int
    share: float


@wire.message("heartbeat-ack")
@attrs.frozen
class HeartbeatAck:
    """Leader to agent: renews the leases of the listed attempts.

    A lease runs from the reading of the worker's clock taken before the
    heartbeat was sent, so that a delay of this message only shortens it.

    Attributes:
        epoch: Epoch of the leader; agents reject older epochs.
        renew: Attempts, as task id and number, whose leases are renewed.
        start: Attempts to start.
        stop: Attempts to stop.
        throttle: Attempts whose speed is changed.
        acknowledged: Attempts, as task id and number, whose end is durable
            and need not be reported again.
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
    """Leader to agent: send a heartbeat now, because orders are pending."""

    epoch: int


@wire.message("list-tasks")
@attrs.frozen
class ListTasks:
    """Entry to leader: list tasks by id, one page at a time.

    Empty filters match all tasks.

    Attributes:
        after: Id of the last task of the previous page, empty for the first.
        limit: Maximum number of rows; the leader may return fewer.
        job: Only tasks of this job.
        kind: Only tasks of this kind.
        team: Only tasks of this team.
        state: Only tasks in the state with this name.
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
    """A task in a list for operators.

    Attributes:
        id: Id of the task, `JOB/INDEX`.
        job: Id of its job.
        kind: Kind of work.
        team: Team to which it is accounted.
        urgency: Urgency class.
        state: Name of its state.
        reason: Why it is in this state.
        attempt: Number of its latest attempt, 0 before the first.
        worker: Agent of the worker that runs it, empty for none.
        size: Declared size.
        failures: Number of failed attempts.
        checkpoint: Key of the latest checkpoint, empty for none.
        once: Whether it must never run again after it may have completed.
        survive: Whether it must survive load shedding as long as possible.
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
    """Leader to entry: one page of tasks; `more` if further pages follow."""

    rows: tuple[TaskRow, ...]
    more: bool


@wire.message("list-workers")
@attrs.frozen
class ListWorkers:
    """Entry to leader: list all workers of the cell."""


@attrs.frozen
class WorkerRow:
    """A worker in a list for operators.

    Attributes:
        name: Name of its agent.
        zone: Availability zone.
        rack: Rack.
        state: `ready`, `draining`, `silent` or `dead`.
        reason: Why it is in this state.
        capacity: Resources available to tasks.
        assigned: Sum of the declared sizes of the tasks assigned to it.
        tasks: Number of tasks assigned to it.
        silent_s: Seconds since its latest heartbeat; negative if this leader
            has received none.
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
    """Leader to entry: the workers of the cell, sorted by name."""

    rows: tuple[WorkerRow, ...]


@wire.message("declare-worker-dead")
@attrs.frozen
class DeclareWorkerDead:
    """Entry to leader: an operator confirms that a worker runs nothing.

    Its tasks are rescheduled immediately. Idempotent; answered after commit.

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
        tasks: Ids of the tasks released for rescheduling.
    """

    worker: str
    tasks: tuple[str, ...]


@wire.message("explain-task")
@attrs.frozen
class ExplainTask:
    """Entry to leader: explain the scheduling decisions about a task."""

    task: str


@wire.message("explanation")
@attrs.frozen
class Explanation:
    """Leader to entry: the decisions about a task, oldest first.

    Attributes:
        task: Id of the task.
        rows: One line of text for each recorded decision.
    """

    task: str
    rows: tuple[str, ...]


@wire.message("step-down")
@attrs.frozen
class StepDown:
    """New leader to previous leader: stop granting leases.

    Attributes:
        cell: Name of the cell.
        holder: Name of the previous leader; other processes don't answer.
        previous: Epoch of the previous leader.
        epoch: Epoch of the new leader.
    """

    cell: str
    holder: str
    previous: int
    epoch: int


@wire.message("stepped-down")
@attrs.frozen
class SteppedDown:
    """Previous leader, or its restarted process, to new leader.

    Attributes:
        remembers: Whether this process itself led in the epoch
            `StepDown.previous`; false after a restart.
        horizon_s: Seconds until all leases granted by earlier leaders have
            expired.
    """

    remembers: bool
    horizon_s: float
