"""Workers as the leader of the pipelines sees them, and what runs on them."""

import enum

import attrs

from pomelostair import pipeline
from pomelostair import pipelinemessages as messages
from pomelostair import resources

# Silence after which a worker gets no new attempts: about three reports.
FRESH_S = 1.5
# Time in seconds for which room is kept for a task that moves: a stop takes
# 0.4 s, and its end has to be heard of.
RESERVED_S = 1.2
# Share of its request that a serving task uses, seen on the platform's days.
SERVING_USE = 0.45

Key = tuple[str, int]
Life = tuple[str, int]


class Standing(enum.Enum):
    """How far an attempt is known to be."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(eq=False)
class Placement:
    """An attempt that may be running on a worker.

    Attributes:
        task: Its task.
        attempt: Number of the attempt.
        worker: Where it is.
        ordered: Monotonic seconds of the order, or of its discovery.
        standing: How far it is known to be.
        seen: Whether the worker has listed it as running.
        order: Number of the latest order about it.
        percent: Progress, or share at work of a lasting task.
        load: Tail latency in milliseconds of a serving task, else cores used.
        pace: Share in percent at which it may work.
        slowed: Monotonic seconds since which it is slowed, 0 for not.
        moved: Monotonic seconds of the latest change of `percent`.
        barred: Whether the worker has confirmed that it will not start it, or
            has stopped it.
        stop_reason: Why it is being stopped.
    """

    task: pipeline.Task
    attempt: int
    worker: "Worker"
    ordered: float
    standing: Standing = Standing.ORDERED
    seen: bool = False
    order: int = 0
    percent: float = 0.0
    load: float = 0.0
    pace: int = 100
    slowed: float = 0.0
    moved: float = 0.0
    barred: bool = False
    stop_reason: str = ""

    @property
    def key(self) -> Key:
        """Task id and attempt."""
        return self.task.id, self.attempt


@attrs.frozen
class KnownLife:
    """A life of a worker that may have been given work.

    Attributes:
        worker: Id of the worker.
        life: Unix milliseconds of its start.
        address: HTTP address at which it takes orders, empty if unknown.
    """

    worker: str
    life: int
    address: str = ""

    @property
    def key(self) -> Life:
        """Its id and life."""
        return self.worker, self.life

    def is_followed_by(self, other: "KnownLife") -> bool:
        """Returns whether another life shows that this one has ended.

        A worker that starts again keeps its id or its address.
        """
        return other.life > self.life and (
            other.worker == self.worker
            or bool(self.address and other.address == self.address)
        )


@attrs.frozen
class Registration:
    """An agent that work may be given to, as it is kept in the store.

    Attributes:
        bus: Its bus URL.
        lives: Lives of workers on its host that may have been given work.
    """

    bus: str
    lives: tuple[KnownLife, ...] = ()

    def with_lives(
        self, bus: str, heard: tuple[KnownLife, ...], all_heard: bool
    ) -> "Registration":
        """Returns the registration after a report.

        Args:
            bus: The agent's bus URL.
            heard: Lives that the agent knows.
            all_heard: Whether it knows of every life on its host.
        """
        kept = [
            life
            for life in self.lives
            if not all_heard
            and life.key not in {other.key for other in heard}
            and not any(life.is_followed_by(other) for other in heard)
        ]
        lives = sorted([*kept, *heard], key=lambda life: life.key)
        return Registration(bus, tuple(lives))


@attrs.frozen
class Reservation:
    """Room that is kept for a task.

    Attributes:
        task: The task.
        until: Monotonic seconds until which it is kept.
    """

    task: pipeline.Task
    until: float


@attrs.define(eq=False)
class Worker:
    """One life of a worker.

    Attributes:
        id: Its id.
        life: Unix milliseconds of its start.
        agent: Name of its agent.
        bus: Bus URL of its agent.
        state: What its agent reported last.
        heard: Monotonic seconds of the last report.
        granted: Monotonic seconds of the last lease grant.
        registered: Whether the store names it as one that may have work.
        listed: Whether its lists were taken in under this leader.
        placements: What may be running there.
        orphans: Attempts that it lists and that belong to no pipeline.
        used: Resources of the placements that count against its capacity.
        filling: Millicores of the placements that use what is left over. Slowed
            ones count in full, so that none are put beside them.
        serving: Millicores of the placements with a latency target.
        processed: Number of the last end that was taken in.
        noted: Number of the last end that is durable.
        results_seen: Number of the last result that was taken in.
        last_order: Number of the last order.
        unsent: Orders that the agent has not confirmed.
        sent: Monotonic seconds at which they were last sent.
        sent_number: Number of the last order that was sent.
        agent_life: Incarnation of the agent's process.
        trouble: Monotonic seconds until which it gets no new attempt.
        failed_since_done: Pipelines that failed there since the last success.
        done: Monotonic seconds of the last success.
        failed: Monotonic seconds of the last failure.
        watched: Monotonic seconds at which its attempts were last looked at.
        paced: Monotonic seconds of the latest step of its paces.
        reserved: Room that is kept for tasks that move here, by task id.
    """

    id: str
    life: int
    agent: str
    bus: str
    state: messages.WorkerState
    heard: float
    granted: float
    registered: bool = False
    listed: bool = False
    placements: dict[Key, Placement] = attrs.field(factory=dict)
    orphans: set[Key] = attrs.field(factory=set)
    used: resources.Resources = attrs.field(factory=resources.Resources)
    filling: int = 0
    serving: int = 0
    processed: int = 0
    noted: int = 0
    results_seen: int = 0
    last_order: int = 0
    unsent: list[messages.Order] = attrs.field(factory=list)
    sent: float = 0.0
    sent_number: int = 0
    agent_life: str = ""
    trouble: float = 0.0
    failed_since_done: set[str] = attrs.field(factory=set)
    done: float = 0.0
    failed: float = 0.0
    watched: float = 0.0
    paced: float = 0.0
    reserved: dict[str, Reservation] = attrs.field(factory=dict)

    @property
    def free(self) -> resources.Resources:
        """What the placements leave of the capacity."""
        return self.state.capacity.minus(self.used)

    @property
    def unused_millicores(self) -> int:
        """Processor time that neither counted nor filling work takes.

        Serving tasks use only part of what they request.
        """
        spared = int(self.serving * (1 - SERVING_USE))
        return (
            self.state.capacity.millicores
            - self.used.millicores
            + spared
            - self.filling
        )

    def reserve(self, task: pipeline.Task, until: float) -> None:
        """Keeps room for a task that moves here.

        Args:
            task: The task.
            until: Monotonic seconds until which the room is kept.
        """
        self.reserved[task.id] = Reservation(task, until)

    def is_kept_for(self, task: pipeline.Task, now: float) -> bool:
        """Returns whether room is kept for a task.

        Args:
            task: A task that does not run here.
            now: Monotonic seconds.
        """
        kept = self.reserved.get(task.id)
        return kept is not None and now < kept.until

    def free_for(self, task: pipeline.Task, now: float) -> resources.Resources:
        """Returns what is free and not kept for other tasks.

        Args:
            task: A task that does not run here.
            now: Monotonic seconds.
        """
        free = self.free
        for other in self.reserved_beside(task, now):
            demand = other.stage.demand
            if other.stage.filler:
                demand = attrs.evolve(demand, millicores=0)
            free = free.minus(demand)
        return free

    def unused_for(self, task: pipeline.Task, now: float) -> int:
        """Returns the unused millicores that are not kept for other tasks.

        Args:
            task: A task that does not run here.
            now: Monotonic seconds.
        """
        return self.unused_millicores - sum(
            other.stage.demand.millicores
            for other in self.reserved_beside(task, now)
        )

    def reserved_beside(
        self, task: pipeline.Task, now: float
    ) -> list[pipeline.Task]:
        """Returns the other tasks that room is kept for.

        Args:
            task: A task that does not run here.
            now: Monotonic seconds.
        """
        for name, kept in list(self.reserved.items()):
            if kept.until <= now:
                del self.reserved[name]
        return [
            kept.task for name, kept in self.reserved.items() if name != task.id
        ]

    def usable(self, now: float) -> bool:
        """Returns whether it may get new attempts.

        Args:
            now: Monotonic seconds.
        """
        return (
            self.registered
            and self.listed
            and self.state.reachable
            and not self.state.draining
            and not self.orphans
            and now >= self.trouble
            and now - self.heard < FRESH_S
        )

    def add(self, placement: Placement) -> None:
        """Counts an attempt."""
        self.placements[placement.key] = placement
        self.reserved.pop(placement.task.id, None)
        self._count(placement.task.stage, 1)

    def remove(self, placement: Placement) -> None:
        """Stops counting an attempt."""
        if self.placements.pop(placement.key, None) is not None:
            self._count(placement.task.stage, -1)

    def order(self, kind: str, placement: Placement, **fields) -> None:
        """Adds an order about an attempt."""
        self.last_order += 1
        placement.order = self.last_order
        self.unsent.append(
            messages.Order(
                self.last_order,
                kind,
                placement.task.id,
                placement.attempt,
                **fields,
            )
        )

    def order_stop(self, task: str, attempt: int) -> None:
        """Orders the stop of an attempt that is no placement."""
        self.last_order += 1
        self.unsent.append(
            messages.Order(self.last_order, messages.STOP, task, attempt)
        )

    def _count(self, stage: pipeline.Stage, sign: int) -> None:
        demand = stage.demand
        millicores = demand.millicores
        if stage.filler:
            self.filling += sign * millicores
            millicores = 0
        elif stage.latency_target_ms:
            self.serving += sign * millicores
        self.used = resources.Resources(
            self.used.millicores + sign * millicores,
            self.used.memory_mb + sign * demand.memory_mb,
            self.used.accelerators + sign * demand.accelerators,
        )
