"""State that a leader's scheduler keeps in memory during one term."""

import attrs

from pomelostair import accounting
from pomelostair import cell as cell_module
from pomelostair import decisions as decisions_module
from pomelostair import estimates as estimates_module
from pomelostair import failuretracker as failuretracker_module
from pomelostair import interference as interference_module
from pomelostair import messages
from pomelostair import reports as reports_module
from pomelostair import throttling as throttling_module

AttemptKey = tuple[str, int]


@attrs.define
class Worker:
    """Latest report of a worker to this leader.

    Attributes:
        bus: Bus URL of the worker's agent.
        heartbeat: The latest heartbeat that the leader accepted.
        last_granted_s: Monotonic seconds at which that heartbeat was received
            and its leases were granted.
    """

    bus: str
    heartbeat: messages.Heartbeat
    last_granted_s: float


@attrs.frozen
class Reservation:
    """Capacity that is reserved on a worker for a waiting task.

    Attributes:
        worker: Name of the worker.
        until_s: Monotonic seconds at which the reservation ends.
    """

    worker: str
    until_s: float


@attrs.define
class TermState:
    """Scheduling state of one term, empty when a new leader starts.

    It is neither logged nor part of a snapshot. Times are monotonic seconds.

    Attributes:
        started_s: Start of the term.
        estimates: Task sizes estimated from usage.
        interference: Slowdowns observed between colocated tasks.
        failure_tracker: Failures of tasks and workers.
        decisions: Recent scheduling decisions, explained to operators.
        reports: Reports by worker.
        throttle_controllers: Throttling by worker.
        evictions: Attempts to evict, with the reason.
        start_ordered_s: When an attempt was last ordered to start.
        boots: Ids of the starts of each worker, the latest last.
        ordered_sizes: Size with which an attempt was ordered to start.
        waiting_since_s: When a waiting task was first seen, by task.
        reservations: Capacity reserved for waiting tasks, by task.
        protected_until_s: Until when a task is not preempted.
        start_refused_s: When a worker last refused a start.
        starved_turn_s: When a starved task was last placed first.
    """

    started_s: float
    estimates: estimates_module.Estimates = attrs.field(
        factory=estimates_module.Estimates
    )
    interference: interference_module.InterferenceModel = attrs.field(
        factory=interference_module.InterferenceModel
    )
    failure_tracker: failuretracker_module.FailureTracker = attrs.field(
        factory=failuretracker_module.FailureTracker
    )
    decisions: decisions_module.Decisions = attrs.field(
        factory=decisions_module.Decisions
    )
    reports: dict[str, reports_module.WorkerReports] = attrs.field(factory=dict)
    throttle_controllers: dict[str, throttling_module.ThrottleController] = (
        attrs.field(factory=dict)
    )
    evictions: dict[AttemptKey, str] = attrs.field(factory=dict)
    start_ordered_s: dict[AttemptKey, float] = attrs.field(factory=dict)
    boots: dict[str, list[str]] = attrs.field(factory=dict)
    ordered_sizes: dict[AttemptKey, messages.Size] = attrs.field(factory=dict)
    waiting_since_s: dict[str, float] = attrs.field(factory=dict)
    reservations: dict[str, Reservation] = attrs.field(factory=dict)
    protected_until_s: dict[str, float] = attrs.field(factory=dict)
    start_refused_s: dict[str, float] = attrs.field(factory=dict)
    starved_turn_s: float = float("-inf")

    def planned_size(self, task: cell_module.Task) -> messages.Size:
        """Returns the size with which a task is placed.

        This is the size of its order if it has one, else the estimate.
        """
        ordered_size = self.ordered_sizes.get((task.id, task.attempt))
        if ordered_size is not None:
            return ordered_size
        return self.estimates.planned_size(task.spec.kind, task.spec.size)

    def counted_size(
        self, task: cell_module.Task, usage: messages.TaskUsage | None
    ) -> messages.Size:
        """Returns the size that a placed task occupies on its worker.

        Args:
            task: A placed task.
            usage: Latest usage report of its attempt, None for none.
        """
        if usage is None:
            return self.planned_size(task)
        reserved = usage.reserved or task.spec.size
        if usage.read_ms is None:
            return reserved
        estimate = self.estimates.planned_size(task.spec.kind, task.spec.size)
        return accounting.charged_size(reserved, usage.used, estimate)
