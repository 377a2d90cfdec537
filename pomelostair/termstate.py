"""What a leader's scheduler remembers during one term."""

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
    """A worker as the leader knows it.

    Attributes:
        bus: Bus URL of its agent.
        heartbeat: The latest heartbeat.
        granted: Monotonic seconds of the latest heartbeat that was granted.
    """

    bus: str
    heartbeat: messages.Heartbeat
    last_granted_s: float


@attrs.frozen
class Reservation:
    """Room that is kept on a worker for a waiting task.

    Attributes:
        worker: Name of the worker.
        until: Monotonic seconds when the reservation ends.
    """

    worker: str
    until_s: float


@attrs.define
class TermState:
    """Memory of one term; a new leader starts with an empty one.

    Attributes:
        since: Monotonic seconds at the start of the term.
        estimates: Learned sizes.
        interference: Learned slowdowns.
        blame: Failures of tasks and workers.
        decisions: Decisions for operators.
        reports: Reports by worker.
        relief: Throttling by worker.
        evictions: Attempts that have to leave, with the reason.
        offered: When an attempt was last ordered to start.
        boots: Starts of each worker, the latest last.
        reserved: Size that an attempt was ordered with.
        waiting: When a task was first seen waiting.
        reservations: Room kept for waiting tasks.
        protected: Until when a task is not preempted.
        refused: When a worker last refused a start.
        starved_turn: When a starved task last went first.
    """

    started_s: float
    estimates: estimates_module.Estimates = attrs.field(
        factory=estimates_module.Estimates
    )
    interference: interference_module.InterferenceModel = attrs.field(
        factory=interference_module.InterferenceModel
    )
    blame: failuretracker_module.FailureTracker = attrs.field(
        factory=failuretracker_module.FailureTracker
    )
    decisions: decisions_module.Decisions = attrs.field(
        factory=decisions_module.Decisions
    )
    reports: dict[str, reports_module.WorkerReports] = attrs.field(factory=dict)
    relief: dict[str, throttling_module.ThrottleController] = attrs.field(
        factory=dict
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
        """Returns the size that a task is planned with."""
        ordered_size = self.ordered_sizes.get((task.id, task.attempt))
        if ordered_size is not None:
            return ordered_size
        return self.estimates.size(task.spec.kind, task.spec.size)

    def counted_size(
        self, task: cell_module.Task, usage: messages.TaskUsage | None
    ) -> messages.Size:
        """Returns what a placed task counts with at its worker.

        Args:
            task: A placed task.
            usage: Latest report of its attempt, None for none.
        """
        if usage is None:
            return self.planned_size(task)
        reserved = usage.reserved or task.spec.size
        if usage.read_ms is None:
            return reserved
        estimate = self.estimates.size(task.spec.kind, task.spec.size)
        return accounting.charged_size(reserved, usage.used, estimate)
