"""Jobs made of stages: what callers declare, and the state of their tasks.

A pipeline runs the tasks of a stage once all tasks of the stages before it
are done. The state changes only through the methods of `Pipeline`; what must
survive a change of the leader is in its `Progress`.
"""

import enum
import hashlib

import attrs
import msgspec

from pomelostair import resources

MAX_STAGES = 64
MAX_TASKS = 10_000


@attrs.frozen
class Stage:
    """Equal tasks of a pipeline.

    Attributes:
        count: Number of tasks.
        demand: Resources that each task requests.
        estimate_ms: Rough duration of a task.
        after: Numbers of the stages whose tasks must be done first.
        checkpointing: Whether the tasks save their progress.
        gang: Whether the tasks work only all at once, under one attempt.
        same_rack: Whether the tasks work faster on a common rack.
        label: Label that a worker must have, empty for none.
        rack: Rack of the data, empty for none.
        most_per_worker: Most tasks on one worker, 0 for no limit.
        speculative: Whether copies of a task may run in parallel.
        lasting: Whether the tasks run until the pipeline is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        latency_target_ms: Tail latency of a serving task, 0 for others.
        filler: Whether the tasks use only processor time that is left over.
        skippable: Tasks that may be unavailable at once through our orders,
            0 for no promise.
    """

    count: int
    demand: resources.Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    most_per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    latency_target_ms: float = 0.0
    filler: bool = False
    skippable: int = 0


@attrs.frozen
class Declaration:
    """A pipeline as its caller declared it.

    Attributes:
        id: Chosen by the caller.
        queue: Name of the queue that accepted it.
        payload: Text that is handed to every task.
        stages: The stages, numbered from 0.
        submitted_ms: Unix milliseconds of the acceptance.
        occurrences: How often the stages run.
        first_run_ms: Unix milliseconds at which occurrence 0 is due; 0 runs
            it at once.
        interval_ms: Time between two occurrences.
    """

    id: str
    queue: str
    payload: str
    stages: tuple[Stage, ...]
    submitted_ms: int
    occurrences: int = 1
    first_run_ms: int = 0
    interval_ms: int = 0

    @property
    def timed(self) -> bool:
        """Whether the occurrences have due times."""
        return self.first_run_ms > 0

    @property
    def lasting(self) -> bool:
        """Whether any stage runs until the pipeline is cancelled."""
        return any(stage.lasting for stage in self.stages)

    def due_ms(self, occurrence: int) -> int:
        """Returns the Unix milliseconds at which an occurrence is due."""
        return self.first_run_ms + occurrence * self.interval_ms

    def critical_path_ms(self) -> int:
        """Returns the estimated duration of the longest chain of stages."""
        ends: list[int] = []
        for stage in self.stages:
            begin = max((ends[before] for before in stage.after), default=0)
            ends.append(begin + stage.estimate_ms)
        return max(ends, default=0)


class Phase(enum.Enum):
    """State of a pipeline as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


TERMINAL_PHASES = frozenset({Phase.COMPLETED, Phase.FAILED, Phase.CANCELLED})


class TaskPhase(enum.Enum):
    """State of a task."""

    BLOCKED = "blocked"
    READY = "ready"
    PLACED = "placed"
    DONE = "done"
    FAILED = "failed"


class End(enum.Enum):
    """How an attempt ended on its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen
class Progress:
    """What is kept of a pipeline besides its declaration.

    Attributes:
        phase: Its state.
        done: Bits of the tasks that are done, by "OCCURRENCE.STAGE".
        failed: Numbers of the failed attempts, by "OCCURRENCE.STAGE.INDEX".
        checkpoints: Latest checkpoints of unfinished tasks, likewise.
        ended_ms: Unix milliseconds of the end, 0 before.
    """

    phase: Phase = Phase.QUEUED
    done: dict[str, bytes] = attrs.field(factory=dict)
    failed: dict[str, list[int]] = attrs.field(factory=dict)
    checkpoints: dict[str, str] = attrs.field(factory=dict)
    ended_ms: int = 0


@attrs.define(eq=False)
class Task:
    """A task of one occurrence of a pipeline.

    Attributes:
        pipeline: The pipeline that it belongs to.
        occurrence: Number of the occurrence.
        stage_number: Number of the stage.
        index: Number within the stage.
        phase: Its state.
        last_attempt: Highest number of an attempt so far.
        failed: Numbers of the attempts that failed.
        checkpoint: Latest known checkpoint, empty for none.
        avoided: Ids of the workers on which an attempt failed or stalled.
        ready_since: Monotonic seconds since which it can start.
        not_before: Monotonic seconds before which it is not tried again.
    """

    pipeline: "Pipeline"
    occurrence: int
    stage_number: int
    index: int
    phase: TaskPhase = TaskPhase.BLOCKED
    last_attempt: int = 0
    failed_attempts: set[int] = attrs.field(factory=set)
    checkpoint: str = ""
    avoided_workers: set[str] = attrs.field(factory=set)
    ready_since_s: float = 0.0
    not_before_s: float = 0.0
    stage: Stage = attrs.field(init=False)
    id: str = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Derives the id and the stage."""
        self.stage = self.pipeline.declaration.stages[self.stage_number]
        self.id = (
            f"{self.pipeline.id}.{self.occurrence}"
            f".{self.stage_number}.{self.index}"
        )

    def shares_stage(self, other: "Task") -> bool:
        """Returns whether another task is of the same stage and occurrence."""
        return (
            self.pipeline is other.pipeline
            and self.occurrence == other.occurrence
            and self.stage_number == other.stage_number
        )

    @property
    def key(self) -> str:
        """Its name within the pipeline."""
        return f"{self.occurrence}.{self.stage_number}.{self.index}"


class Pipeline:
    """One pipeline and its tasks.

    Args:
        declaration: What the caller declared.
        version: Version of its row, which grows with later acceptances.
        progress: What an earlier leader kept.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        declaration: Declaration,
        version: int,
        progress: Progress,
        now: float,
    ):
        self._declaration = declaration
        self._version = version
        self._phase = progress.phase
        self._ended_ms = progress.ended_ms
        self._tasks: dict[tuple[int, int], list[Task]] = {}
        self._left: dict[tuple[int, int], int] = {}
        self._opened: set[int] = set()
        self._ready: dict[str, Task] = {}
        self._started = progress.phase is not Phase.QUEUED
        self._kept = progress
        if not declaration.timed:
            for occurrence in range(max(1, declaration.occurrences)):
                self.open_occurrence(occurrence, now)
        else:
            for name in progress.done:
                self.open_occurrence(int(name.partition(".")[0]), now)

    @property
    def id(self) -> str:
        """The caller's id."""
        return self._declaration.id

    @property
    def declaration(self) -> Declaration:
        """What the caller declared."""
        return self._declaration

    @property
    def version(self) -> int:
        """Version of the row that holds the declaration."""
        return self._version

    @property
    def phase(self) -> Phase:
        """Its state."""
        return self._phase

    @property
    def ended(self) -> bool:
        """Whether nothing of it is to run any more."""
        return self._phase in TERMINAL_PHASES

    @property
    def ended_ms(self) -> int:
        """Unix milliseconds of its end, 0 before."""
        return self._ended_ms

    @property
    def ready(self) -> dict[str, Task]:
        """Tasks that can start, by id."""
        return self._ready

    @property
    def started(self) -> bool:
        """Whether any task was ever started."""
        return self._started

    def next_due_ms(self) -> int | None:
        """Returns when the next occurrence that is not open is due."""
        if self.ended or not self._declaration.timed:
            return None
        number = len(self._opened)
        if number >= self._declaration.occurrences:
            return None
        return self._declaration.due_ms(number)

    def open_due(self, unix_ms: float, now: float) -> bool:
        """Opens the occurrences that are due; returns whether there were any.

        Args:
            unix_ms: Time of day.
            now: Monotonic seconds.
        """
        opened = False
        due = self.next_due_ms()
        while due is not None and unix_ms >= due:
            self.open_occurrence(len(self._opened), now)
            opened = True
            due = self.next_due_ms()
        return opened

    def open_occurrence(self, occurrence: int, now: float) -> None:
        """Makes the tasks of an occurrence, with the progress that was kept."""
        if occurrence in self._opened:
            return
        self._opened.add(occurrence)
        for number, stage in enumerate(self._declaration.stages):
            bits = int.from_bytes(
                self._kept.done.get(f"{occurrence}.{number}", b""), "little"
            )
            tasks = []
            for index in range(stage.count):
                task = Task(self, occurrence, number, index)
                task.failed_attempts = set(self._kept.failed.get(task.key, ()))
                task.last_attempt = max(task.failed_attempts, default=0)
                task.checkpoint = self._kept.checkpoints.get(task.key, "")
                if bits >> index & 1:
                    task.phase = TaskPhase.DONE
                tasks.append(task)
            self._tasks[occurrence, number] = tasks
            self._left[occurrence, number] = sum(
                task.phase is not TaskPhase.DONE for task in tasks
            )
        for number in range(len(self._declaration.stages)):
            self._unblock(occurrence, number, now)

    def task(self, key: str) -> Task | None:
        """Returns the task named "OCCURRENCE.STAGE.INDEX", None if unknown."""
        try:
            occurrence, number, index = (int(part) for part in key.split("."))
            return self._tasks[occurrence, number][index]
        except (ValueError, KeyError, IndexError):
            return None

    def tasks(self, occurrence: int, stage_number: int) -> list[Task]:
        """Returns the tasks of one stage of an occurrence."""
        return self._tasks[occurrence, stage_number]

    def unfinished_count(self, occurrence: int, stage_number: int) -> int:
        """Returns how many tasks of a stage of an occurrence are not done."""
        return self._left[occurrence, stage_number]

    def unfinished(self) -> list[Task]:
        """Returns all tasks that are not done."""
        return [
            task
            for tasks in self._tasks.values()
            for task in tasks
            if task.phase is not TaskPhase.DONE
        ]

    def place(self, task: Task, attempt: int) -> None:
        """Notes that an attempt of a task was ordered or found running."""
        task.phase = TaskPhase.PLACED
        task.last_attempt = max(task.last_attempt, attempt)
        self._ready.pop(task.id, None)
        self._started = True
        if self._phase is Phase.QUEUED:
            self._phase = Phase.RUNNING

    def release(self, task: Task, now: float) -> None:
        """Notes that a task has no attempt any more and is to run again."""
        if task.phase is TaskPhase.PLACED:
            task.phase = TaskPhase.READY
            task.ready_since_s = now
            if not self.ended:
                self._ready[task.id] = task

    def finish(self, task: Task, now: float, unix_ms: int) -> bool:
        """Notes that a task is done; returns whether that is new."""
        if task.phase is TaskPhase.DONE:
            return False
        task.phase = TaskPhase.DONE
        task.checkpoint = ""
        self._ready.pop(task.id, None)
        stage = (task.occurrence, task.stage_number)
        self._left[stage] -= 1
        self._started = True
        if self._phase is Phase.QUEUED:
            self._phase = Phase.RUNNING
        if not self._left[stage]:
            for number in range(len(self._declaration.stages)):
                self._unblock(task.occurrence, number, now)
            self._complete_if_done(unix_ms)
        return True

    def fail(self, task: Task, attempt: int, limit: int, unix_ms: int) -> bool:
        """Notes a failed attempt; returns whether that is new.

        Args:
            task: The task.
            attempt: Number of the failed attempt.
            limit: Failed attempts after which the pipeline has failed, 0 for
                no limit.
            unix_ms: Time of day.
        """
        if attempt in task.failed_attempts:
            return False
        task.failed_attempts.add(attempt)
        if (
            limit
            and len(task.failed_attempts) >= limit
            and not task.stage.lasting
        ):
            task.phase = TaskPhase.FAILED
            self._ready.pop(task.id, None)
            self.end(Phase.FAILED, unix_ms)
        return True

    def end(self, phase: Phase, unix_ms: int) -> bool:
        """Ends the pipeline early; returns whether it had not ended."""
        if self.ended:
            return False
        self._phase = phase
        self._ended_ms = unix_ms
        self._ready.clear()
        return True

    def progress(self) -> Progress:
        """Returns what has to be kept."""
        done: dict[str, bytes] = {}
        failed: dict[str, list[int]] = {}
        checkpoints: dict[str, str] = {}
        for (occurrence, number), tasks in self._tasks.items():
            bits = 0
            for task in tasks:
                if task.phase is TaskPhase.DONE:
                    bits |= 1 << task.index
                    continue
                if task.failed_attempts:
                    failed[task.key] = sorted(task.failed_attempts)
                if task.checkpoint:
                    checkpoints[task.key] = task.checkpoint
            if bits or self._declaration.timed:
                size = (len(tasks) + 7) // 8
                done[f"{occurrence}.{number}"] = bits.to_bytes(size, "little")
        if self.ended:
            checkpoints.clear()
        return Progress(self._phase, done, failed, checkpoints, self._ended_ms)

    def _unblock(self, occurrence: int, number: int, now: float) -> None:
        stage = self._declaration.stages[number]
        if self.ended or any(
            self._left[occurrence, before] for before in stage.after
        ):
            return
        for task in self._tasks[occurrence, number]:
            if task.phase is TaskPhase.BLOCKED:
                task.phase = TaskPhase.READY
                task.ready_since_s = now
                self._ready[task.id] = task

    def _complete_if_done(self, unix_ms: int) -> None:
        whole = len(self._opened) >= self._declaration.occurrences
        if whole and not self.ended and not any(self._left.values()):
            self._phase = Phase.COMPLETED
            self._ended_ms = unix_ms


def partition(pipeline_id: str, partitions: int) -> int:
    """Returns the partition of the table that holds a pipeline."""
    digest = hashlib.blake2b(pipeline_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % partitions


def encode(value: Declaration | Progress) -> bytes:
    """Returns a declaration or a progress as MessagePack."""
    return msgspec.msgpack.encode(value)


def decode_declaration(data: bytes) -> Declaration:
    """Decodes a declaration.

    Raises:
        msgspec.MsgspecError: The bytes are no declaration.
    """
    return msgspec.msgpack.decode(data, type=Declaration)


def decode_progress(data: bytes) -> Progress:
    """Decodes a progress.

    Raises:
        msgspec.MsgspecError: The bytes are no progress.
    """
    return msgspec.msgpack.decode(data, type=Progress)
