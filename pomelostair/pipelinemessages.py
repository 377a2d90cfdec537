"""Messages between the entries, the pipeline leader and the agents.

Fields are encoded under their own names, which therefore stay as they are.
In them, `life` is the incarnation of a worker, `seat` identifies the leader,
and `noted` is the number of the last end that is acknowledged.
"""

import attrs

from pomelostair import pipeline
from pomelostair import resources
from pomelostair import store
from pomelostair import wire

# Elements of `WorkerState.running` and `WorkerState.ended`.
RunningRow = tuple[str, int, str, float, float]
EndedRow = tuple[int, str, int, pipeline.End, str]


@attrs.frozen
class LeaderInfo:
    """The leader of the pipelines.

    Attributes:
        epoch: Epoch of its lease, 0 if none was held yet.
        name: Name of the leading entry, empty if there is no leader.
        bus: Its bus URL, empty if there is no leader.
    """

    epoch: int = 0
    name: str = ""
    bus: str = ""


@wire.message("find-pipeline-leader")
@attrs.frozen
class FindLeader:
    """Agent to entry: requests the current leader; answered by `Peers`."""


@wire.message("pipeline-peers")
@attrs.frozen
class Peers:
    """Entry to entry: gossip of membership, leader and configuration.

    Attributes:
        name: Name of the sender.
        bus: Its bus URL, empty while it shuts down.
        seat: The leader as known to the sender.
        entries: Bus URLs of the entries known to the sender.
        queues_version: Version of its active queue configuration.
        pending: Number of accepted pipelines without a started task, by
            queue; None unless the sender leads.
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
    """A queue configuration as the operator wrote it.

    Attributes:
        version: Version of the configuration.
        document: Its content, empty while the sender has none.
    """

    version: int
    document: bytes


@wire.message("queues-query")
@attrs.frozen
class QueuesQuery:
    """Entry to entry: requests the active queue configuration."""


@wire.message("pipeline-hello")
@attrs.frozen
class LeaderHello:
    """Leader to agent: announces a new leader and requests a report."""

    seat: LeaderInfo


@attrs.frozen
class OrderResult:
    """Result of an order.

    Attributes:
        sequence: Number of the result; increases for each worker.
        number: Number of the order.
        outcome: `DONE`, `REFUSED` or `FENCED_OFF`.
        reason: Reason if the outcome is not `DONE`.
    """

    sequence: int
    number: int
    outcome: str
    reason: str = ""


DONE = "done"  # The worker executed the order.
REFUSED = "refused"  # The order was refused without any effect.
FENCED_OFF = "barred"  # Start without an answer; the worker can't start it now.


@attrs.frozen
class WorkerState:
    """State of one incarnation of a worker, as reported by its agent.

    Attributes:
        worker: Id of the worker.
        life: Its incarnation: Unix milliseconds of its start.
        service: Service that it belongs to.
        rack: Its rack, empty for none.
        labels: Its labels.
        capacity: Its total resources.
        draining: Whether it is about to shut down.
        remaining_ms: Least time until a draining worker shuts down.
        clock_ms: The worker's monotonic clock, read before the lists.
        running: Task, attempt, checkpoint, percent and load of each running
            attempt.
        ended: Number, task, attempt, end and checkpoint of each end that is
            not acknowledged yet.
        more_ended: Whether the worker has further ends that are not listed.
        results: Results of orders that the leader has not confirmed yet.
        received: Number of the last order that the agent has received; it has
            received all before it.
        fresh: Whether the lists were read for this report, after `results`;
            otherwise they were already reported earlier.
        reachable: Whether the worker answered the last call.
        lapsed: Whether the lease of an unreachable worker has certainly
            lapsed, so that nothing runs on it.
        announced: Whether the agent has had a heartbeat of it. Before, it
            starts nothing there, as the capacity may be outdated.
        silent: Whether the leases have lapsed and the agent, which was not
            suspended during its last call, got no answer to it. Without that, a
            lapse does not show whether the worker or its agent was away. None
            in reports of older versions.
        zone: Its availability zone; empty in reports of older versions.
        cold_left_ms: How much longer it stays slow after its start, by its
            latest heartbeat.
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
    announced: bool = True
    silent: bool | None = None
    zone: str = ""
    cold_left_ms: int = 0


# Run time from which an attempt is no suspect in the crash of its worker. A
# task that crashes workers does so within milliseconds of its start; the rest
# covers delays of the processes.
START_CRASH_S = 0.5


@attrs.frozen
class WorkerCrash:
    """Crash of an incarnation of a worker.

    A worker that is silent until its leases have lapsed may have crashed, as it
    may be away for long.

    Attributes:
        worker: Id of the worker.
        life: Its incarnation.
        attempts: Task, number and known run time in milliseconds of each
            attempt that had not ended and is not known to have run for
            `START_CRASH_S`.
        certain: Whether a later incarnation proves the crash; otherwise the
            worker may only be frozen or cut off.
    """

    worker: str
    life: int
    attempts: tuple[tuple[str, int, int], ...]
    certain: bool = True


@wire.message("worker-report")
@attrs.frozen
class AgentReport:
    """Agent to leader: the workers of a host.

    Attributes:
        agent: Name of the agent.
        epoch: Epoch of the leader that it reports to.
        sequence: Number of the report; increases within an agent process.
        complete: Whether every worker on the host has had time to send the
            agent a heartbeat.
        lives: Id and incarnation of each worker on the host that has sent a
            heartbeat to the agent or answered it.
        workers: States of those workers that changed.
        gone: Id and incarnation of each worker that has ended and certainly
            runs nothing any more.
        addresses: HTTP addresses of the workers, by worker id.
        crashes: Crashes of workers under attempts that had just started.
        started_ms: Unix milliseconds of the start of the agent's process, 0 in
            reports of older versions.
        blameless: Id and incarnation of ended workers whose end is no sign of a
            crash: they announced it by draining or deregistering, or the agent
            was suspended meanwhile.
    """

    agent: str
    epoch: int
    sequence: int
    complete: bool
    lives: tuple[tuple[str, int], ...]
    workers: tuple[WorkerState, ...] = ()
    gone: tuple[tuple[str, int], ...] = ()
    addresses: dict[str, str] = attrs.field(factory=dict)
    crashes: tuple[WorkerCrash, ...] = ()
    started_ms: int = 0
    blameless: tuple[tuple[str, int], ...] = ()


@attrs.frozen
class Order:
    """An order to a worker.

    Attributes:
        number: Increases within one epoch and incarnation of a worker.
        kind: "start", "stop" or "pace".
        task: Id of the task.
        attempt: Number of the attempt.
        payload: Text that a started task receives.
        checkpoint: Checkpoint that a start resumes from, empty for none.
        percent: Share of full speed at which the attempt may work.
        ticket: Ticket by which the advisor allows a start, empty for none.
        capacity: Capacity of the worker that a start counts on; None for other
            orders.
    """

    number: int
    kind: str
    task: str
    attempt: int
    payload: str = ""
    checkpoint: str = ""
    percent: int = 100
    ticket: str = ""
    capacity: resources.Resources | None = None


START = "start"
STOP = "stop"
PACE = "pace"


@wire.message("worker-instructions")
@attrs.frozen
class Instructions:
    """Leader to agent: grant, acknowledgements and orders for one worker.

    Attributes:
        seat: The leader.
        worker: Id of the worker, empty for a mere sign that the leader runs.
        life: Incarnation of the worker.
        lease_end_ms: Reading of the worker's clock up to which the agent may
            extend the lease of its attempts; 0 leaves the grant unchanged.
        noted: Number of the last end that is durable, and thus acknowledged.
        results_seen: Sequence of the last result that the leader has applied.
        orders: Orders, oldest first.
        confirmed: Number before the oldest order that the agent has not
            confirmed; no earlier one is sent again.
        report_interval_ms: Interval at which the agent reports the worker if
            there is no news, 0 to leave it unchanged.
        report: Number of the agent's last report that the leader has applied, 0
            if it tells none. It dates the message by the agent's own clock.
    """

    seat: LeaderInfo
    worker: str
    life: int
    lease_end_ms: int
    noted: int
    results_seen: int
    orders: tuple[Order, ...] = ()
    confirmed: int = 0
    report_interval_ms: int = 0
    report: int = 0


@wire.message("pipeline-row-stored")
@attrs.frozen
class RowStored:
    """Entry to leader: the row of a new declaration or cancellation."""

    row: store.Row


@wire.message("pipeline-status")
@attrs.frozen
class StatusQuery:
    """Entry to leader: requests the phase of a pipeline."""

    id: str


@wire.message("pipeline-status-answer")
@attrs.frozen
class StatusAnswer:
    """Leader to entry: the durable phase of a pipeline, None if unknown."""

    phase: pipeline.Phase | None


@wire.message("relayed-read")
@attrs.frozen
class RelayedRead:
    """Requests that a peer reads a row for a sender without store access."""

    key: str


@wire.message("relayed-scan")
@attrs.frozen
class RelayedScan:
    """Requests that a peer scans rows; see `RelayedRead`."""

    prefix: str
    after: str
    limit: int


@wire.message("relayed-watch")
@attrs.frozen
class RelayedWatch:
    """Requests that a peer watches a table; see `RelayedRead`."""

    table: str
    after: int
    wait_s: float


@wire.message("relayed-commit")
@attrs.frozen
class RelayedCommit:
    """Requests that a peer commits a transaction; see `RelayedRead`."""

    transaction: store.Transaction


@wire.message("relayed-result")
@attrs.frozen
class RelayedResult:
    """Result of a relayed store operation.

    Attributes:
        rows: Rows of a read, scan or watch.
        deleted: Keys that a watch reported as deleted.
        gone: Whether the history that a watch needs was discarded.
        more: Whether a scan has further rows.
        version: Version of the table at a scan, or of a commit.
        committed: Whether a commit took effect.
        conflict: Key of the check that failed, None without a conflict.
        unavailable: Why the operation was not applied, empty if it was.
        unknown: Why the outcome is unknown, empty if it is known.
        time: Bounds of the store's clock at the answer, None if the peer knows
            none.
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
    time: store.StoreTime | None = None
