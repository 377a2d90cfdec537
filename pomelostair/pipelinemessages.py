"""Messages about pipelines between entries, their leader and the agents."""

import attrs

from pomelostair import pipeline
from pomelostair import resources
from pomelostair import store
from pomelostair import wire

RunningRow = tuple[str, int, str, float, float]
EndedRow = tuple[int, str, int, pipeline.End, str]


@attrs.frozen
class LeaderInfo:
    """Who leads the pipelines.

    Attributes:
        epoch: Epoch of the lease, 0 for none.
        name: Name of the leading entry.
        bus: Its bus URL.
    """

    epoch: int = 0
    name: str = ""
    bus: str = ""


@wire.message("find-pipeline-leader")
@attrs.frozen
class FindLeader:
    """Agent to entry: tell who leads."""


@wire.message("pipeline-peers")
@attrs.frozen
class Peers:
    """What an entry knows of the others; also the answer to `FindLeader`.

    Attributes:
        name: Name of the sender.
        bus: Its bus URL, empty while it stops.
        seat: The leader that it knows.
        entries: Bus URLs of the entries that it knows.
        queues_version: Version of the queues that it has in force.
        pending: Leader only: accepted pipelines without a started task, by
            queue.
    """

    name: str
    bus: str
    seat: LeaderInfo
    entries: tuple[str, ...] = ()
    queues_version: int = 0
    pending: dict[str, int] | None = None


@wire.message("queues-document")
@attrs.frozen
class QueuesDocument:
    """A configuration of queues as its operator wrote it."""

    version: int
    document: bytes


@wire.message("queues-query")
@attrs.frozen
class QueuesQuery:
    """Asks a peer for its configuration of queues."""


@wire.message("pipeline-hello")
@attrs.frozen
class LeaderHello:
    """New leader to agent: report to me."""

    seat: LeaderInfo


@attrs.frozen
class OrderResult:
    """What became of an order.

    Attributes:
        sequence: Grows with each result of the agent's process.
        number: Number of the order.
        outcome: `DONE`, `REFUSED` or `BARRED`.
        reason: Reason of a refusal.
    """

    sequence: int
    number: int
    outcome: str
    reason: str = ""


DONE = "done"  # The worker took the order.
REFUSED = "refused"  # The worker refused it and has done nothing.
FENCED_OFF = "barred"  # Unanswered; the worker will not start it any more.


@attrs.frozen
class WorkerState:
    """What an agent knows of one life of a worker.

    Attributes:
        worker: Id of the worker.
        life: Unix milliseconds of the worker's start.
        service: Service that it belongs to.
        rack: Its rack, empty for none.
        labels: Its labels.
        capacity: What it has.
        draining: Whether it is going to leave.
        remaining_ms: Time that is left to a draining worker at least.
        clock_ms: The worker's clock, read before the lists.
        running: Task, attempt, checkpoint, percent and load of each attempt.
        ended: Number, task, attempt, end and checkpoint of each end that is
            not noted yet.
        more_ended: Whether further ends are to be listed.
        results: Results of orders that the leader has not seen yet.
        received: Number of the last order that the agent has.
        fresh: Whether the lists were read just now, after `received` and
            `results`; otherwise they are those of an earlier report.
        reachable: Whether the worker answered the last call.
        lapsed: Whether everything on an unreachable worker has certainly
            lapsed.
    """

    worker: str
    life: int
    service: str
    rack: str
    labels: tuple[str, ...]
    capacity: resources.Resources
    draining: bool
    remaining_ms: int
    clock_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    more_ended: bool
    results: tuple[OrderResult, ...]
    received: int
    fresh: bool
    reachable: bool
    lapsed: bool


@wire.message("worker-report")
@attrs.frozen
class AgentReport:
    """Agent to leader.

    Attributes:
        agent: Name of the agent.
        epoch: Epoch of the leader that it reports to.
        sequence: Grows with each report of this process.
        complete: Whether the agent has heard of every worker on its host.
        lives: Ids and lives of all workers on its host.
        workers: States of those workers that have news.
        gone: Lives that certainly run nothing any more.
        addresses: HTTP addresses by the ids of the workers on its host.
    """

    agent: str
    epoch: int
    sequence: int
    complete: bool
    lives: tuple[tuple[str, int], ...]
    workers: tuple[WorkerState, ...] = ()
    gone: tuple[tuple[str, int], ...] = ()
    addresses: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Order:
    """An order to a worker.

    Attributes:
        number: Grows within one epoch and life of a worker.
        kind: "start", "stop" or "pace".
        task: Id of the task.
        attempt: Number of the attempt.
        payload: Text for the task of a start.
        checkpoint: Where a start goes on, empty for the beginning.
        percent: Share at which a started or paced attempt may work.
        ticket: Ticket of the advice that allows a start, empty for none.
    """

    number: int
    kind: str
    task: str
    attempt: int
    payload: str = ""
    checkpoint: str = ""
    percent: int = 100
    ticket: str = ""


START = "start"
STOP = "stop"
PACE = "pace"


@wire.message("worker-instructions")
@attrs.frozen
class Instructions:
    """Leader to agent, for one life of a worker.

    Attributes:
        seat: The leader.
        worker: Id of the worker.
        life: Life of the worker.
        lease_end_ms: The worker's clock up to which the agent may extend the
            lease of what runs; 0 grants nothing new.
        noted: Number of the last end that is durable.
        results_seen: Number of the last result that the leader has.
        orders: Orders, oldest first.
    """

    seat: LeaderInfo
    worker: str
    life: int
    lease_end_ms: int
    noted: int
    results_seen: int
    orders: tuple[Order, ...] = ()


@wire.message("pipeline-row-stored")
@attrs.frozen
class RowStored:
    """Entry to leader: a declaration or cancellation was stored."""

    row: store.Row


@wire.message("pipeline-status")
@attrs.frozen
class StatusQuery:
    """Entry to leader: tell the state of a pipeline."""

    id: str


@wire.message("pipeline-status-answer")
@attrs.frozen
class StatusAnswer:
    """The durable state of a pipeline; None if the leader knows none."""

    phase: pipeline.Phase | None


@wire.message("relayed-read")
@attrs.frozen
class RelayedRead:
    """Process that the store turns away to a peer: read a row for me."""

    key: str


@wire.message("relayed-scan")
@attrs.frozen
class RelayedScan:
    """Likewise: scan rows."""

    prefix: str
    after: str
    limit: int


@wire.message("relayed-watch")
@attrs.frozen
class RelayedWatch:
    """Likewise: wait for changes of a table."""

    table: str
    after: int
    wait_s: float


@wire.message("relayed-commit")
@attrs.frozen
class RelayedCommit:
    """Likewise: apply a transaction."""

    transaction: store.Transaction


@wire.message("relayed-result")
@attrs.frozen
class RelayedResult:
    """What the store answered.

    Attributes:
        rows: Rows of a read, scan or watch.
        deleted: Keys that a watch found removed.
        gone: Whether a watch found its history dropped.
        more: Whether a scan has further rows.
        version: Newest version at a scan, or that of a commit.
        committed: Whether a commit took effect.
        conflict: Key that conflicted.
        unavailable: Why nothing was done.
        unknown: Why the outcome is unknown.
    """

    rows: tuple[store.Row, ...] | None = None
    deleted: tuple[str, ...] = ()
    gone: bool = False
    more: bool = False
    version: int = 0
    committed: bool = False
    conflict: str | None = None
    unavailable: str = ""
    unknown: str = ""
