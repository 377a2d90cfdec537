"""The pipeline leader's view of the workers and of what runs on them."""

from collections.abc import Iterable
import enum
import itertools

import attrs

from pomelostair import codec
from pomelostair import pipeline
from pomelostair import pipelinemessages as messages
from pomelostair import resources
from pomelostair import wire

# A worker whose latest report is older gets no new attempts. This is about
# two report intervals.
REPORT_FRESH_S = 2.0
# Time without a list after which a worker counts as silent: one and a half
# report intervals.
SILENT_S = 1.2
# An order that is not confirmed for this long may have been lost. The agent
# reports its result as soon as it has been carried out.
UNCONFIRMED_S = 0.8
# How long resources stay reserved for a task that moves or waits for room. A
# stop takes 0.4 s, and its end must then be reported.
RESERVATION_S = 1.2
# Share of its requested processor time that a serving task uses, as observed
# on the platform.
SERVING_USE_SHARE = 0.45

# Characters of the payloads and checkpoints in one message, so that it stays
# below the limit of the bus; further orders follow with the next message.
MAX_ORDERS_CHARACTERS = 400_000
# Largest exponent of the delay between repetitions of unconfirmed orders.
MAX_RESEND_DOUBLINGS = 2

AttemptKey = tuple[str, int]
WorkerKey = tuple[str, int]


class AttemptState(enum.Enum):
    """Latest known state of an attempt."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(eq=False)
class Placement:
    """An attempt that may be running on a worker.

    Attributes:
        task: The task that it runs.
        attempt: Number of the attempt.
        worker: The worker that it was ordered on.
        ordered_s: Monotonic time of the start order, or of the report that
            revealed an attempt which an earlier leader had ordered.
        state: Latest known state.
        reported: Whether the worker has listed it as running.
        order_number: Number of the latest order about it.
        progress_percent: Progress; a lasting task reports 100 when it is
            available.
        load: Tail latency in milliseconds of a serving task; millicores in
            use of any other task.
        pace_percent: Share of its full speed at which it may run.
        slowed_since_s: Monotonic time since which it runs below full pace, 0
            if it does not.
        last_progress_s: Monotonic time of the latest change of
            `progress_percent`.
        stopping_since_s: Monotonic time of the first expectation of its end
            after its stop was ordered, 0 if there was none.
        fenced_off: Whether the worker has confirmed that it has stopped the
            attempt or will not start it.
        stop_reason: Why it is being stopped.
        ticket: Ticket by which the advisor allows its start, empty for none.
        known_capacity: Capacity of the worker on which its start rests.
        awaits_report: Whether its start waits for a further report of the
            worker.
        listed_since_ms: Worker clock of the first list that shows it running,
            0 if that is unknown.
        is_adopted: Whether an earlier leader ordered it, so that it may have
            run for longer than its worker's lists show.
        shows_run_time: Whether its run time is that of its task: it has run
            from the begin, and always at full pace.
        expected_speed: Mean speed of the worker that was expected for it at its
            start.
    """

    task: pipeline.Task
    attempt: int
    worker: "Worker"
    ordered_s: float
    state: AttemptState = AttemptState.ORDERED
    reported: bool = False
    order_number: int = 0
    progress_percent: float = 0.0
    load: float = 0.0
    pace_percent: int = 100
    slowed_since_s: float = 0.0
    last_progress_s: float = 0.0
    stopping_since_s: float = 0.0
    fenced_off: bool = False
    stop_reason: str = ""
    ticket: str = ""
    known_capacity: resources.Resources | None = None
    awaits_report: bool = False
    listed_since_ms: int = 0
    is_adopted: bool = False
    shows_run_time: bool = True
    expected_speed: float = 1.0

    @property
    def key(self) -> AttemptKey:
        """Task id and attempt number."""
        return self.task.id, self.attempt

    @property
    def known_run_ms(self) -> int:
        """Time for which its worker's lists show it running."""
        if not self.listed_since_ms:
            return 0
        return self.worker.state.clock_ms - self.listed_since_ms

    def is_live(self, now: float) -> bool:
        """Returns whether recent reports suggest that it is running.

        Args:
            now: Monotonic seconds.
        """
        return self.worker.is_heard(now) and (
            self.state is not AttemptState.ORDERED
            or now - self.ordered_s < UNCONFIRMED_S
        )


@attrs.frozen
class KnownIncarnation:
    """An incarnation of a worker that may have been given work.

    Attributes:
        worker: Id of the worker.
        life: Incarnation of the worker: Unix milliseconds of its start.
        address: HTTP address at which it accepts orders, empty if unknown.
        service: Service that it belongs to, empty if unknown.
        rack: Its rack.
        labels: Its labels.
        capacity: Its total resources.
    """

    worker: str
    life: codec.Count
    address: str = ""
    service: str = ""
    rack: str = ""
    labels: tuple[str, ...] = ()
    capacity: resources.Resources = resources.Resources()

    @property
    def key(self) -> WorkerKey:
        """Worker id and incarnation."""
        return self.worker, self.life

    def with_details_of(self, known: "KnownIncarnation") -> "KnownIncarnation":
        """Returns this incarnation, with what an earlier report said of it."""
        if self.service:
            return self
        return attrs.evolve(known, address=self.address or known.address)

    def is_succeeded_by(self, other: "KnownIncarnation") -> bool:
        """Returns whether another incarnation proves that this one has ended.

        A worker that restarts keeps its id or its address.
        """
        return other.life > self.life and (
            other.worker == self.worker
            or bool(self.address and other.address == self.address)
        )


@attrs.frozen
class Registration:
    """Stored registration of an agent whose workers may be given work.

    Attributes:
        bus: Bus URL of the agent.
        lives: Incarnations of the workers on its host that may have been given
            work.
    """

    bus: str
    lives: tuple[KnownIncarnation, ...] = ()

    def with_reported(
        self, bus: str, reported: tuple[KnownIncarnation, ...], complete: bool
    ) -> "Registration":
        """Returns the registration after a report.

        Args:
            bus: Bus URL of the agent.
            reported: Incarnations that the agent reports.
            complete: Whether it reports every incarnation on its host.
        """
        earlier = {known.key: known for known in self.lives}
        reported = tuple(
            other.with_details_of(earlier.get(other.key, other))
            for other in reported
        )
        retained = [
            known
            for known in self.lives
            if not complete
            and known.key not in {other.key for other in reported}
            and not any(known.is_succeeded_by(other) for other in reported)
        ]
        lives = sorted([*retained, *reported], key=lambda known: known.key)
        return Registration(bus, tuple(lives))

    def without(self, key: WorkerKey) -> "Registration":
        """Returns the registration without an incarnation that has no work."""
        return Registration(
            self.bus, tuple(known for known in self.lives if known.key != key)
        )


@attrs.frozen
class Reservation:
    """Resources of a worker that are reserved for a task.

    Attributes:
        task: The task.
        until_s: Monotonic time at which the reservation expires.
    """

    task: pipeline.Task
    until_s: float


@attrs.define(eq=False)
class Worker:
    """One incarnation of a worker.

    Attributes:
        id: Id of the worker.
        incarnation: Unix milliseconds of its start.
        agent: Name of its agent.
        bus: Bus URL of its agent.
        state: Latest state that its agent reported.
        last_report_s: Monotonic time of the latest report.
        last_listed_s: Monotonic time of the latest report with a new list of
            what runs.
        lease_granted_s: Monotonic time of the latest lease grant, or of the
            first report in this term.
        granted: Whether this leader has granted it a lease.
        registered: Whether its registration as a worker that may have work is
            durable.
        reconciled: Whether this leader knows every attempt that runs on it and
            every end that is not acknowledged.
        placements: Attempts that may be running on it.
        orphans: Attempts that it lists but that belong to no known pipeline.
        used: Resources of the placements that count against its capacity.
        filler_millicores: Millicores that the placements of filler tasks
            request. Slowed ones count in full, so that no others are placed
            beside them.
        serving_millicores: Millicores that the placements with a latency
            target request.
        applied_end: Number of the last end that was applied.
        acknowledged_end: Number of the last end that is durable; sent to the
            agent as an acknowledgement.
        applied_result: Number of the last order result that was applied.
        last_order_number: Number of the last order.
        unconfirmed_orders: Orders that the agent has not confirmed.
        last_sent_order_number: Number of the last order that was sent.
        orders_confirmed_s: Monotonic time since which the agent has confirmed
            no order, or none was unconfirmed, or all were sent again.
        resends: How often all were sent again since then, with no report in
            between.
        instructed_s: Monotonic time of the latest answer to a report.
        agent_incarnation: Incarnation of the agent's process.
        suspect_until_s: Monotonic time until which it gets no new attempts.
        failed_since_success: Ids of the pipelines of which an attempt failed
            on it since the last success.
        last_success_s: Monotonic time of the latest success.
        last_failure_s: Monotonic time of the latest failure.
        last_check_s: Monotonic time of the latest check of its attempts.
        last_pace_step_s: Monotonic time of the latest change of its paces.
        reservations: Resources reserved for tasks that move to it or wait for
            room, by task id.
        unproven: Its attempts of suspect tasks, which may crash it, until they
            are seen running for a while.
        address: HTTP address at which it accepts orders, empty if unknown.
        evacuated: Whether its zone is being evacuated, so that it gets no
            attempts.
        speed: Its present speed relative to others, 1 at most.
        cold_until_s: Monotonic time until which it stays slow after its start,
            0 if it does not; `speed` ends then.
    """

    id: str
    incarnation: int
    agent: str
    bus: str
    state: messages.WorkerState
    last_report_s: float
    lease_granted_s: float
    granted: bool = False
    last_listed_s: float = 0.0
    registered: bool = False
    reconciled: bool = False
    placements: dict[AttemptKey, Placement] = attrs.field(factory=dict)
    orphans: set[AttemptKey] = attrs.field(factory=set)
    used: resources.Resources = attrs.field(factory=resources.Resources)
    filler_millicores: int = 0
    serving_millicores: int = 0
    applied_end: int = 0
    acknowledged_end: int = 0
    applied_result: int = 0
    last_order_number: int = 0
    unconfirmed_orders: list[messages.Order] = attrs.field(factory=list)
    last_sent_order_number: int = 0
    orders_confirmed_s: float = 0.0
    resends: int = 0
    instructed_s: float = 0.0
    agent_incarnation: str = ""
    suspect_until_s: float = 0.0
    failed_since_success: set[str] = attrs.field(factory=set)
    last_success_s: float = 0.0
    last_failure_s: float = 0.0
    last_check_s: float = 0.0
    last_pace_step_s: float = 0.0
    reservations: dict[str, Reservation] = attrs.field(factory=dict)
    unproven: set[AttemptKey] = attrs.field(factory=set)
    address: str = ""
    evacuated: bool = False
    speed: float = 1.0
    cold_until_s: float = 0.0

    @property
    def key(self) -> WorkerKey:
        """Worker id and incarnation."""
        return self.id, self.incarnation

    @property
    def free(self) -> resources.Resources:
        """Capacity that no placement uses."""
        return self.state.capacity.minus(self.used)

    @property
    def unused_millicores(self) -> int:
        """Millicores that neither regular nor filler tasks use.

        Serving tasks count only with the share that they usually use of their
        requests.
        """
        idle_serving_millicores = int(
            self.serving_millicores * (1 - SERVING_USE_SHARE)
        )
        return (
            self.state.capacity.millicores
            - self.used.millicores
            + idle_serving_millicores
            - self.filler_millicores
        )

    @property
    def confirmed_order(self) -> int:
        """Number before the oldest unconfirmed order."""
        if self.unconfirmed_orders:
            return self.unconfirmed_orders[0].number - 1
        return self.last_order_number

    def reserve(self, task: pipeline.Task, until_s: float) -> None:
        """Reserves resources for a task that is to start on this worker.

        Args:
            task: The task.
            until_s: Monotonic time at which the reservation expires.
        """
        self.reservations[task.id] = Reservation(task, until_s)
        task.reserved_until_s = until_s

    def cancel_reservation(self, task: pipeline.Task) -> None:
        """Cancels the reservation for a task, if there is one."""
        self.reservations.pop(task.id, None)
        task.reserved_until_s = 0.0

    def has_reservation_for(self, task: pipeline.Task, now: float) -> bool:
        """Returns whether resources are reserved for a task.

        Args:
            task: A task that does not run on this worker.
            now: Monotonic seconds.
        """
        reservation = self.reservations.get(task.id)
        return reservation is not None and now < reservation.until_s

    def free_for(self, task: pipeline.Task, now: float) -> resources.Resources:
        """Returns the free resources that are not reserved for others.

        See `reserved_for_others`.

        Args:
            task: A task that does not run on this worker.
            now: Monotonic seconds.
        """
        free = self.free
        for other in self.reserved_for_others(task, now):
            free = free.minus(other.stage.counted_demand)
        return free

    def unused_millicores_for(self, task: pipeline.Task, now: float) -> int:
        """Returns the unused millicores that are not reserved for others.

        See `reserved_for_others`.

        Args:
            task: A task that does not run on this worker.
            now: Monotonic seconds.
        """
        return self.unused_millicores - sum(
            other.stage.demand.millicores
            for other in self.reserved_for_others(task, now)
        )

    def reserved_for_others(
        self, task: pipeline.Task, now: float
    ) -> list[pipeline.Task]:
        """Returns the other tasks whose reservations go first.

        These are all but those made after the task's own one, if it has any.
        Otherwise two tasks would wait until there is room for both. Expired
        reservations are dropped.

        Args:
            task: A task that does not run on this worker.
            now: Monotonic seconds.
        """
        for task_id, reservation in list(self.reservations.items()):
            if reservation.until_s <= now:
                del self.reservations[task_id]
        first = itertools.takewhile(
            lambda task_id: task_id != task.id, self.reservations
        )
        return [self.reservations[task_id].task for task_id in first]

    def is_heard(self, now: float) -> bool:
        """Returns whether it answers its agent, which reports that.

        Args:
            now: Monotonic seconds.
        """
        return (
            self.state.reachable and now - self.last_report_s < REPORT_FRESH_S
        )

    def is_silent(self, now: float) -> bool:
        """Returns whether it has neither a recent list nor a recent grant.

        Args:
            now: Monotonic seconds.
        """
        return now - max(self.lease_granted_s, self.last_listed_s) >= SILENT_S

    def confirms_orders(self, now: float) -> bool:
        """Returns whether its agent confirms orders, as far as is known.

        Args:
            now: Monotonic seconds.
        """
        orders = self.unconfirmed_orders
        return (
            not orders
            or orders[0].number > self.last_sent_order_number
            or now - self.orders_confirmed_s < UNCONFIRMED_S
        )

    def accepts_attempts(self, now: float) -> bool:
        """Returns whether the worker can be given attempts, also if suspect.

        Args:
            now: Monotonic seconds.
        """
        return (
            self.registered
            and self.reconciled
            and self.is_heard(now)
            and self.state.announced
            and not self.state.draining
            and not self.evacuated
            and not self.orphans
        )

    def is_schedulable(self, now: float) -> bool:
        """Returns whether the worker may be given new attempts.

        Args:
            now: Monotonic seconds.
        """
        return now >= self.suspect_until_s and self.accepts_attempts(now)

    def grant_lease(self, now: float) -> None:
        """Records that a lease is granted now."""
        self.lease_granted_s = now
        self.granted = True

    def needs_answer(self, now: float, interval_s: float) -> bool:
        """Returns whether the latest report must be answered.

        Args:
            now: Monotonic seconds.
            interval_s: Interval of the answers without news.
        """
        awaits_lease = (
            not self.granted and self.state.fresh and self.state.reachable
        )
        return (
            awaits_lease
            or now - self.instructed_s >= interval_s
            or any(row[0] <= self.acknowledged_end for row in self.state.ended)
        )

    def add(self, placement: Placement) -> None:
        """Adds an attempt and counts its demand."""
        self.placements[placement.key] = placement
        self.reservations.pop(placement.task.id, None)
        self._adjust_usage(placement.task.stage, 1)

    def remove(self, placement: Placement) -> None:
        """Removes an attempt, if present, and no longer counts its demand."""
        if self.placements.pop(placement.key, None) is not None:
            self._adjust_usage(placement.task.stage, -1)

    def orders_to_send(
        self, now: float, resend_after_s: float
    ) -> tuple[messages.Order, ...]:
        """Returns the orders to send now.

        Each order is sent once. All unconfirmed ones are sent again when the
        agent confirms none for a time, which doubles with each repetition while
        the agent reports nothing.

        Args:
            now: Monotonic seconds.
            resend_after_s: Time until the first repetition.
        """
        first_number = self.last_sent_order_number + 1
        if self.confirmed_order >= self.last_sent_order_number:
            self.orders_confirmed_s = now
            self.resends = 0
        elif now - self.orders_confirmed_s >= resend_after_s * 2**self.resends:
            first_number = 0
            # A report since shows that the agent is there, and only the orders
            # were lost.
            if self.last_report_s > self.orders_confirmed_s:
                self.resends = 0
            else:
                self.resends = min(self.resends + 1, MAX_RESEND_DOUBLINGS)
            self.orders_confirmed_s = now
        orders = wire.first_fitting(
            [o for o in self.unconfirmed_orders if o.number >= first_number],
            lambda order: len(order.payload) + len(order.checkpoint),
            MAX_ORDERS_CHARACTERS,
        )
        self.last_sent_order_number = (
            orders[-1].number if orders else self.last_order_number
        )
        return tuple(orders)

    def confirm_orders(self, number: int, now: float) -> None:
        """Drops the orders up to a number, which the agent has received."""
        unconfirmed = [o for o in self.unconfirmed_orders if o.number > number]
        if len(unconfirmed) < len(self.unconfirmed_orders):
            self.orders_confirmed_s = now
            self.resends = 0
        self.unconfirmed_orders = unconfirmed

    def enqueue_order(self, kind: str, placement: Placement, **fields) -> None:
        """Queues an order about a placement."""
        self.last_order_number += 1
        placement.order_number = self.last_order_number
        self.unconfirmed_orders.append(
            messages.Order(
                self.last_order_number,
                kind,
                placement.task.id,
                placement.attempt,
                **fields,
            )
        )

    def enqueue_stop(self, task: str, attempt: int) -> None:
        """Queues a stop order for an attempt that is not a placement."""
        self.last_order_number += 1
        self.unconfirmed_orders.append(
            messages.Order(self.last_order_number, messages.STOP, task, attempt)
        )

    def withdraw_start(self, placement: Placement) -> None:
        """Replaces the unconfirmed start order of an attempt by a stop.

        If the order is sent again, it takes no effect. Its number remains,
        since the agent waits for the orders that are missing; one that has it
        already ignores the stop.
        """
        self.unconfirmed_orders = [
            messages.Order(
                order.number, messages.STOP, order.task, order.attempt
            )
            if (order.kind, order.task, order.attempt)
            == (messages.START, *placement.key)
            else order
            for order in self.unconfirmed_orders
        ]

    def is_far(self, stage: pipeline.Stage) -> bool:
        """Returns whether the data of a stage are in another rack."""
        return bool(stage.rack) and stage.rack != self.state.rack

    def _adjust_usage(self, stage: pipeline.Stage, sign: int) -> None:
        demand = stage.demand
        millicores = demand.millicores
        if stage.filler:
            self.filler_millicores += sign * millicores
            millicores = 0
        elif stage.latency_target_ms:
            self.serving_millicores += sign * millicores
        self.used = resources.Resources(
            self.used.millicores + sign * millicores,
            self.used.memory_mb + sign * demand.memory_mb,
            self.used.accelerators + sign * demand.accelerators,
        )


def by_rack(workers: Iterable[Worker]) -> dict[str, list[Worker]]:
    """Returns the workers of each rack."""
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.state.rack, []).append(worker)
    return racks
