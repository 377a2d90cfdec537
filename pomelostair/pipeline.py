"""Pipelines: jobs of dependent stages, and the state of their tasks.

The tasks of a stage run once all tasks of the stages that it depends on are
done. The state changes only through the methods of `Pipeline`; `Progress` is
the part that is stored for the next leader.
"""

import enum
import hashlib

import attrs
import msgspec

from pomelostair import codec
from pomelostair import resources

MAX_STAGES = 64
MAX_TASKS = 10_000
# Most tasks of a pipeline whose crashes are stored, so that they fit in a row.
MAX_CRASHED_TASKS = 100
# Most unexplained losses of all tasks of a pipeline that are stored.
MAX_STORED_LOSSES = 100


@attrs.frozen
class Stage:
    """Group of equal tasks of a pipeline.

    Attributes:
        count: Number of tasks.
        demand: Resources that each task requests.
        estimate_ms: Estimated duration of a task.
        after: Numbers of the stages that this one depends on: all their tasks
            must be done first.
        checkpointing: Whether the tasks save their progress in checkpoints.
        gang: Whether the tasks can run only all at once; they share an attempt
            number.
        same_rack: Whether the tasks run faster on a common rack.
        label: Label that a worker must have, empty for none.
        rack: Rack of the data, empty for none.
        most_per_worker: Most tasks on one worker, 0 for no limit.
        speculative: Whether several attempts of a task may run in parallel.
        lasting: Whether the tasks run until the pipeline is cancelled.
        image: Program that the tasks run; tasks of one image behave alike.
        latency_target_ms: Target for the tail latency of a serving task, 0 for
            other tasks.
        filler: Whether the tasks use only processor time that other tasks
            leave over.
        skippable: Number of tasks that orders of the scheduler may make
            unavailable at the same time, 0 for no guarantee.
    """

    count: codec.Count
    demand: resources.Resources
    estimate_ms: codec.Count = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    most_per_worker: codec.Count = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    latency_target_ms: codec.Quantity = 0.0
    filler: bool = False
    skippable: codec.Count = 0

    @property
    def counted_demand(self) -> resources.Resources:
        """Part of the demand that counts against a worker's capacity."""
        if self.filler:
            return attrs.evolve(self.demand, millicores=0)
        return self.demand


@attrs.frozen
class Declaration:
    """A pipeline as its caller declared it.

    Attributes:
        id: Id chosen by the caller.
        queue: Name of the queue that accepted the pipeline.
        payload: Text that is passed to every task.
        stages: Stages, numbered from 0.
        submitted_ms: Unix milliseconds of the acceptance.
        occurrences: Number of times that the stages run.
        first_run_ms: Unix milliseconds at which occurrence 0 is due; 0 opens
            all occurrences at once.
        interval_ms: Time between two occurrences.
    """

    id: str
    queue: str
    payload: str
    stages: tuple[Stage, ...]
    submitted_ms: codec.Count
    occurrences: codec.Count = 1
    first_run_ms: codec.Count = 0
    interval_ms: codec.Count = 0

    def __attrs_post_init__(self):
        """Checks what every leader relies on.

        Raises:
            ValueError: The stages are malformed.
        """
        if not 0 < len(self.stages) <= MAX_STAGES:
            raise ValueError(f"a pipeline must have 1 to {MAX_STAGES} stages")
        for number, stage in enumerate(self.stages):
            if stage.count < 1:
                raise ValueError(f"stage {number} must have a task")
            if any(not 0 <= before < number for before in stage.after):
                raise ValueError(
                    f"stage {number} must depend on earlier stages"
                )
        opened_at_once = 1 if self.timed else max(1, self.occurrences)
        task_count = sum(stage.count for stage in self.stages)
        if task_count * opened_at_once > MAX_TASKS:
            raise ValueError(f"a pipeline may open at most {MAX_TASKS} tasks")

    @property
    def timed(self) -> bool:
        """Whether the occurrences have due times."""
        return self.first_run_ms > 0

    @property
    def lasting(self) -> bool:
        """Whether any stage runs until the pipeline is cancelled."""
        return any(stage.lasting for stage in self.stages)

    @property
    def has_filler(self) -> bool:
        """Whether any stage uses only processor time that is left over."""
        return any(stage.filler for stage in self.stages)

    def due_ms(self, occurrence: int) -> int:
        """Returns the Unix milliseconds at which an occurrence is due."""
        return self.first_run_ms + occurrence * self.interval_ms

    def critical_path_ms(self) -> int:
        """Returns the estimated duration of the longest dependency chain."""
        ends_ms: list[int] = []
        for stage in self.stages:
            start_ms = max(
                (ends_ms[before] for before in stage.after), default=0
            )
            ends_ms.append(start_ms + stage.estimate_ms)
        return max(ends_ms, default=0)


class Phase(enum.Enum):
    """Phase of a pipeline, as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


TERMINAL_PHASES = frozenset({Phase.COMPLETED, Phase.FAILED, Phase.CANCELLED})


class TaskPhase(enum.Enum):
    """Phase of a task."""

    BLOCKED = "blocked"
    READY = "ready"
    PLACED = "placed"
    DONE = "done"
    FAILED = "failed"


class End(enum.Enum):
    """How an attempt ended, as its worker reports it.

    Only `FAILED` counts as a failure of the task. `ALONE` delays its next
    attempt.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen
class Crash:
    """Crash of a worker at the start of an attempt.

    Attributes:
        attempt: Number of the attempt.
        host: Name of the worker's agent; the worker has another id after it.
        life: Incarnation of the worker that crashed.
        suspects: Number of pipelines that may have caused it; 0 if another one
            than that of the attempt has.
        certain: Whether the worker has certainly crashed.
    """

    attempt: int
    host: str
    life: int
    suspects: int
    certain: bool = True


@attrs.frozen
class Loss:
    """An early loss of an attempt, as the leases of its worker have lapsed.

    Whether the worker has crashed is not known yet.

    Attributes:
        attempt: Number of the attempt.
        host: Name of the agent of the worker.
        worker: Id of the worker.
        life: Its incarnation.
        address: HTTP address of the worker, empty if unknown.
        silent: Whether its agent, in touch with the leader, reports that it
            does not respond.
    """

    attempt: codec.Count
    host: str
    worker: str
    life: codec.Count
    address: str = ""
    silent: bool = False


@attrs.frozen
class Progress:
    """Stored state of a pipeline, besides its declaration.

    Attributes:
        phase: Phase of the pipeline.
        done: Bit sets of the tasks that are done, by "OCCURRENCE.STAGE"; the
            bit of a task is its index, in little-endian order.
        failed: Numbers of the failed attempts, by "OCCURRENCE.STAGE.INDEX".
        checkpoints: Latest checkpoints of unfinished tasks, by
            "OCCURRENCE.STAGE.INDEX".
        ended_ms: Unix milliseconds of the end, 0 before.
        done_occurrences: Number of the first occurrences of a timed pipeline
            all of whose tasks are done; they are left out of `done`.
        placed: Id and incarnation of each worker on which an attempt of a
            lasting task may be running, by "OCCURRENCE.STAGE.INDEX"; tasks
            without any are left out. None if they are not known.
        crashes: Crashes of workers under unfinished tasks, by
            "OCCURRENCE.STAGE.INDEX".
        acquitted: Highest attempt of each unfinished task that was a suspect
            and was seen to crash no worker, by the same key.
        lost: Numbers of the attempts of unfinished tasks that were lost early,
            see `Task.early_losses`, by the same key.
        unexplained: Unexplained early losses of attempts of unfinished tasks,
            by the same key.
    """

    phase: Phase = Phase.QUEUED
    done: dict[str, bytes] = attrs.field(factory=dict)
    failed: dict[str, list[codec.Count]] = attrs.field(factory=dict)
    checkpoints: dict[str, str] = attrs.field(factory=dict)
    ended_ms: codec.Count = 0
    done_occurrences: codec.Count = 0
    placed: dict[str, list[tuple[str, codec.Count]]] | None = None
    crashes: dict[str, list[Crash]] = attrs.field(factory=dict)
    acquitted: dict[str, codec.Count] = attrs.field(factory=dict)
    lost: dict[str, list[codec.Count]] = attrs.field(factory=dict)
    unexplained: dict[str, list[Loss]] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Task:
    """A task of one occurrence of a pipeline.

    Attributes:
        pipeline: Pipeline that the task belongs to.
        occurrence: Number of the occurrence.
        stage_number: Number of the stage.
        index: Index within the stage.
        phase: Phase of the task.
        last_attempt: Highest attempt number so far.
        failed_attempts: Numbers of the attempts that failed; of a lasting task,
            which may fail without limit, only the highest.
        checkpoint: Latest known checkpoint, empty for none.
        failed_on: Monotonic time of the latest attempt that failed or stalled,
            by id of the worker.
        refused_by: Monotonic time of the latest start that a worker or its
            agent refused, by id of the worker, unless all are long ago. The
            members of a gang share it.
        ready_since_s: Monotonic time since which it can start.
        not_before_s: Monotonic time before which it is not tried again.
        reserved_until_s: Monotonic time until which a worker may have room
            reserved for it.
        near_wait_since_s: Monotonic time since which it waits for a place near
            its data though there was room elsewhere, 0 if it does not.
        near_wait_kept_until_s: Monotonic time until which that wait needs no
            new decision.
        placed_on: Id and incarnation of each worker on which an attempt of
            this term may be running.
        earlier_placed_on: The same of attempts of earlier terms, for a lasting
            task; None if they are not known.
        crashes: Crashes of workers at the start of its attempts.
        kept_apart_s: Monotonic time since which it could start but for the
            distance that is kept between suspects, 0 if it does not wait so.
        proven_attempt: Highest attempt that was seen to crash no worker.
        early_losses: Numbers of the attempts whose workers have ended before
            they were known to run for `pipelinecrashes.EARLY_LOSS_S`, since the
            last one that was.
        unexplained_losses: The same of attempts whose workers may not have
            ended, as only their leases have lapsed.
        lapsed: Whether an attempt has ended as the leases of its worker have
            lapsed, and no further one was ordered.
    """

    pipeline: "Pipeline"
    occurrence: int
    stage_number: int
    index: int
    phase: TaskPhase = TaskPhase.BLOCKED
    last_attempt: int = 0
    failed_attempts: set[int] = attrs.field(factory=set)
    checkpoint: str = ""
    failed_on: dict[str, float] = attrs.field(factory=dict)
    refused_by: dict[str, float] = attrs.field(factory=dict)
    ready_since_s: float = 0.0
    not_before_s: float = 0.0
    reserved_until_s: float = 0.0
    near_wait_since_s: float = 0.0
    near_wait_kept_until_s: float = 0.0
    placed_on: set[tuple[str, int]] = attrs.field(factory=set)
    earlier_placed_on: frozenset[tuple[str, int]] | None = None
    crashes: list[Crash] = attrs.field(factory=list)
    kept_apart_s: float = 0.0
    proven_attempt: int = 0
    early_losses: set[int] = attrs.field(factory=set)
    unexplained_losses: list[Loss] = attrs.field(factory=list)
    lapsed: bool = False
    stage: Stage = attrs.field(init=False)
    id: str = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Sets the stage and the id."""
        self.stage = self.pipeline.declaration.stages[self.stage_number]
        self.id = (
            f"{self.pipeline.id}.{self.occurrence}"
            f".{self.stage_number}.{self.index}"
        )

    @property
    def avoided_workers(self) -> frozenset[str]:
        """Ids of the workers on which the task should not run."""
        return frozenset((*self.failed_on, *self.refused_by))

    def shares_stage(self, other: "Task") -> bool:
        """Returns whether another task is of the same stage and occurrence."""
        return (
            self.pipeline is other.pipeline
            and self.occurrence == other.occurrence
            and self.stage_number == other.stage_number
        )

    @property
    def suspect(self) -> bool:
        """Whether it is likely to crash workers, as far as is known."""
        return bool(self.crashes) and any(c.suspects for c in self.crashes)

    @property
    def has_losses(self) -> bool:
        """Whether any early loss of an attempt is recorded."""
        return bool(self.early_losses or self.unexplained_losses)

    @property
    def counted_losses(self) -> set[int]:
        """Numbers of the attempts under which a worker seems to have crashed.

        A loss counts once the worker is known to have ended, or while its agent
        finds it silent. If nothing is heard of either, it proves nothing.
        """
        return self.early_losses | {
            loss.attempt for loss in self.unexplained_losses if loss.silent
        }

    @property
    def key(self) -> str:
        """Key within the pipeline, "OCCURRENCE.STAGE.INDEX"."""
        return f"{self.occurrence}.{self.stage_number}.{self.index}"

    def has_exhausted(self, max_attempts: int) -> bool:
        """Returns whether it may not be attempted again.

        Args:
            max_attempts: Number of failed attempts after which its pipeline
                fails, 0 for no limit. Lasting tasks have no limit.
        """
        return not self.stage.lasting and 0 < max_attempts <= len(
            self.failed_attempts
        )

    def last_failure_s(self, worker_id: str) -> float:
        """Returns when a start or an attempt last went wrong on a worker.

        Args:
            worker_id: Id of the worker.

        Returns:
            Monotonic seconds, 0 if none went wrong there.
        """
        return max(
            self.failed_on.get(worker_id, 0.0),
            self.refused_by.get(worker_id, 0.0),
        )


class Pipeline:
    """State of a pipeline and its tasks.

    Args:
        declaration: Declaration by the caller.
        version: Version of the declaration's row; pipelines that are accepted
            later have higher versions.
        progress: Progress that an earlier leader stored.
        now: Monotonic seconds.
        age_s: Time since the acceptance.

    Raises:
        ValueError: The progress does not belong to such a declaration.
    """

    def __init__(
        self,
        declaration: Declaration,
        version: int,
        progress: Progress,
        now: float,
        age_s: float = 0.0,
    ):
        self._declaration = declaration
        self._accepted_s = now - age_s
        self._version = version
        self._phase = progress.phase
        self._ended_ms = progress.ended_ms
        self._tasks: dict[tuple[int, int], list[Task]] = {}
        self._unfinished_counts: dict[tuple[int, int], int] = {}
        self._done_occurrences = progress.done_occurrences
        # Occurrences are opened in order.
        self._next_occurrence = self._done_occurrences
        self._ready: dict[str, Task] = {}
        self._started = progress.phase is not Phase.QUEUED
        self._stored_progress = progress
        self._has_failures = bool(progress.failed)
        opened_count = max(1, declaration.occurrences)
        if declaration.timed:
            opened_count = 1 + max(
                (int(name.partition(".")[0]) for name in progress.done),
                default=self._done_occurrences - 1,
            )
        # `open_due` exceeds `MAX_TASKS` by less than one occurrence.
        task_count = sum(stage.count for stage in declaration.stages)
        new_count = opened_count - self._next_occurrence
        if new_count * task_count > 2 * MAX_TASKS:
            raise ValueError("the progress opens too many tasks")
        while self._next_occurrence < opened_count:
            self._open_next_occurrence(now, progress.placed)

    @property
    def id(self) -> str:
        """Id chosen by the caller."""
        return self._declaration.id

    @property
    def declaration(self) -> Declaration:
        """Declaration by the caller."""
        return self._declaration

    @property
    def version(self) -> int:
        """Version of the row that holds the declaration."""
        return self._version

    @property
    def phase(self) -> Phase:
        """Phase of the pipeline."""
        return self._phase

    @property
    def ended(self) -> bool:
        """Whether it is completed, failed or cancelled."""
        return self._phase in TERMINAL_PHASES

    @property
    def ended_ms(self) -> int:
        """Unix milliseconds of the end, 0 before."""
        return self._ended_ms

    @property
    def ready(self) -> dict[str, Task]:
        """Tasks that can start, by id."""
        return self._ready

    @property
    def has_failures(self) -> bool:
        """Whether an attempt of any task has failed."""
        return self._has_failures

    @property
    def started(self) -> bool:
        """Whether any task has ever been started."""
        return self._started

    @property
    def idle(self) -> bool:
        """Whether tasks are ready and no attempt is placed."""
        stages = self._declaration.stages
        unblocked_count = sum(
            count
            for (occurrence, number), count in self._unfinished_counts.items()
            if not any(
                self._unfinished_counts[occurrence, before]
                for before in stages[number].after
            )
        )
        return 0 < unblocked_count == len(self._ready)

    def age_s(self, now: float) -> float:
        """Returns the time since the acceptance.

        Args:
            now: Monotonic seconds.
        """
        return max(0.0, now - self._accepted_s)

    def next_due_ms(self) -> int | None:
        """Returns when the next unopened occurrence is due, None if none is."""
        if self.ended or not self._declaration.timed:
            return None
        if self._next_occurrence >= self._declaration.occurrences:
            return None
        return self._declaration.due_ms(self._next_occurrence)

    def open_due(self, unix_ms: float, now: float) -> bool:
        """Opens the occurrences that are due.

        While `MAX_TASKS` tasks are open, further ones wait.

        Args:
            unix_ms: Unix milliseconds.
            now: Monotonic seconds.

        Returns:
            Whether any occurrence was opened.
        """
        opened = False
        due_ms = self.next_due_ms()
        while (
            due_ms is not None
            and unix_ms >= due_ms
            and sum(map(len, self._tasks.values())) < MAX_TASKS
        ):
            self._open_next_occurrence(now, {})
            opened = True
            due_ms = self.next_due_ms()
        return opened

    def task(self, key: str) -> Task | None:
        """Returns the task with a key, or None if it is unknown."""
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
        return self._unfinished_counts[occurrence, stage_number]

    def unfinished(self) -> list[Task]:
        """Returns all tasks that are not done."""
        return [
            task
            for tasks in self._tasks.values()
            for task in tasks
            if task.phase is not TaskPhase.DONE
        ]

    def place(self, task: Task, attempt: int) -> None:
        """Records that an attempt of a task was ordered or found running."""
        task.phase = TaskPhase.PLACED
        task.last_attempt = max(task.last_attempt, attempt)
        self._ready.pop(task.id, None)
        self._started = True
        if self._phase is Phase.QUEUED:
            self._phase = Phase.RUNNING

    def release(self, task: Task, since_s: float) -> None:
        """Makes a placed task ready again after its last attempt ended.

        Args:
            task: The task.
            since_s: Monotonic time since which it waits.
        """
        if task.phase is TaskPhase.PLACED:
            task.phase = TaskPhase.READY
            task.ready_since_s = since_s
            if not self.ended:
                self._ready[task.id] = task

    def finish(self, task: Task, now: float, unix_ms: int) -> bool:
        """Marks a task as done; returns whether it was not done before."""
        if task.phase is TaskPhase.DONE:
            return False
        task.phase = TaskPhase.DONE
        task.checkpoint = ""
        self._ready.pop(task.id, None)
        stage = (task.occurrence, task.stage_number)
        self._unfinished_counts[stage] -= 1
        self._started = True
        if self._phase is Phase.QUEUED:
            self._phase = Phase.RUNNING
        if not self._unfinished_counts[stage]:
            for number in range(len(self._declaration.stages)):
                self._unblock(task.occurrence, number, now)
            self._drop_done_occurrences()
            self._complete_if_done(unix_ms)
        return True

    def fail(
        self, task: Task, attempt: int, max_attempts: int, unix_ms: int
    ) -> bool:
        """Records a failed attempt.

        Args:
            task: The task.
            attempt: Number of the failed attempt.
            max_attempts: Number of failed attempts of one task after which the
                pipeline fails, 0 for no limit.
            unix_ms: Unix milliseconds.

        Returns:
            Whether the failure had not been recorded before.
        """
        if attempt in task.failed_attempts:
            return False
        self._has_failures = True
        if task.stage.lasting:
            task.failed_attempts = {max({attempt} | task.failed_attempts)}
            return True
        task.failed_attempts.add(attempt)
        if task.has_exhausted(max_attempts):
            task.phase = TaskPhase.FAILED
            self._ready.pop(task.id, None)
            self.end(Phase.FAILED, unix_ms)
        return True

    def give_up(self, task: Task, unix_ms: int) -> bool:
        """Fails the pipeline for a task; returns False if it had ended."""
        if self.ended:
            return False
        task.phase = TaskPhase.FAILED
        return self.end(Phase.FAILED, unix_ms)

    def end(self, phase: Phase, unix_ms: int) -> bool:
        """Ends the pipeline early; returns False if it had already ended."""
        if self.ended:
            return False
        self._phase = phase
        self._ended_ms = unix_ms
        self._ready.clear()
        return True

    def forget_earlier_attempts(self) -> bool:
        """Records that no attempt of an earlier term is left to be found.

        Returns:
            Whether it was not known for all lasting tasks where they ran.
        """
        was_unknown = False
        for task in self.unfinished():
            if task.stage.lasting:
                was_unknown |= task.earlier_placed_on is None
                task.earlier_placed_on = frozenset()
        return was_unknown

    def _placed(self) -> dict[str, list[tuple[str, int]]] | None:
        placed: dict[str, list[tuple[str, int]]] = {}
        for task in self.unfinished():
            if not task.stage.lasting:
                continue
            if task.earlier_placed_on is None:
                return None
            workers = task.earlier_placed_on | task.placed_on
            if workers:
                placed[task.key] = sorted(workers)
        return placed

    def progress(self) -> Progress:
        """Returns the progress to store."""
        done: dict[str, bytes] = {}
        failed: dict[str, list[int]] = {}
        checkpoints: dict[str, str] = {}
        crashes: dict[str, list[Crash]] = {}
        acquitted: dict[str, int] = {}
        lost: dict[str, list[int]] = {}
        unexplained: dict[str, list[Loss]] = {}
        loss_count = 0
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
                if task.crashes and len(crashes) < MAX_CRASHED_TASKS:
                    crashes[task.key] = list(task.crashes)
                if task.proven_attempt and len(acquitted) < MAX_CRASHED_TASKS:
                    acquitted[task.key] = task.proven_attempt
                if task.early_losses and len(lost) < MAX_CRASHED_TASKS:
                    lost[task.key] = sorted(task.early_losses)
                loss_count += len(task.unexplained_losses)
                if task.unexplained_losses and loss_count <= MAX_STORED_LOSSES:
                    unexplained[task.key] = list(task.unexplained_losses)
            if bits or self._declaration.timed:
                size = (len(tasks) + 7) // 8
                done[f"{occurrence}.{number}"] = bits.to_bytes(size, "little")
        if self.ended:
            checkpoints.clear()
        return Progress(
            self._phase,
            done,
            failed,
            checkpoints,
            self._ended_ms,
            self._done_occurrences,
            self._placed() if self._declaration.lasting else None,
            crashes,
            acquitted,
            lost,
            unexplained,
        )

    def _open_next_occurrence(
        self,
        now: float,
        earlier_placed: dict[str, list[tuple[str, int]]] | None,
    ) -> None:
        """Creates the tasks of an occurrence, with their stored progress.

        Args:
            now: Monotonic seconds.
            earlier_placed: Stored placements, see `Progress.placed`.
        """
        occurrence = self._next_occurrence
        self._next_occurrence += 1
        for number, stage in enumerate(self._declaration.stages):
            bits = int.from_bytes(
                self._stored_progress.done.get(f"{occurrence}.{number}", b""),
                "little",
            )
            tasks = []
            gang_refused_by: dict[str, float] = {}
            for index in range(stage.count):
                task = Task(self, occurrence, number, index)
                if stage.gang:
                    task.refused_by = gang_refused_by
                task.failed_attempts = set(
                    self._stored_progress.failed.get(task.key, ())
                )
                task.last_attempt = max(task.failed_attempts, default=0)
                task.checkpoint = self._stored_progress.checkpoints.get(
                    task.key, ""
                )
                if earlier_placed is not None:
                    task.earlier_placed_on = frozenset(
                        earlier_placed.get(task.key, ())
                    )
                task.crashes = list(
                    self._stored_progress.crashes.get(task.key, ())
                )
                task.early_losses.update(
                    self._stored_progress.lost.get(task.key, ())
                )
                task.unexplained_losses = list(
                    self._stored_progress.unexplained.get(task.key, ())
                )
                task.proven_attempt = self._stored_progress.acquitted.get(
                    task.key, 0
                )
                if bits >> index & 1:
                    task.phase = TaskPhase.DONE
                tasks.append(task)
            self._tasks[occurrence, number] = tasks
            self._unfinished_counts[occurrence, number] = sum(
                task.phase is not TaskPhase.DONE for task in tasks
            )
        for number in range(len(self._declaration.stages)):
            self._unblock(occurrence, number, now)

    def _unblock(self, occurrence: int, number: int, now: float) -> None:
        stage = self._declaration.stages[number]
        if self.ended or any(
            self._unfinished_counts[occurrence, before]
            for before in stage.after
        ):
            return
        for task in self._tasks[occurrence, number]:
            if task.phase is TaskPhase.BLOCKED:
                task.phase = TaskPhase.READY
                task.ready_since_s = now
                self._ready[task.id] = task

    def _drop_done_occurrences(self) -> None:
        """Drops the tasks of the first occurrences once all are done.

        A timed pipeline may run for months, so its state must not grow with
        the number of occurrences.
        """
        stages = range(len(self._declaration.stages))
        while self._declaration.timed and (
            self._done_occurrences < self._next_occurrence
            and not any(
                self._unfinished_counts[self._done_occurrences, number]
                for number in stages
            )
        ):
            for number in stages:
                del self._tasks[self._done_occurrences, number]
                del self._unfinished_counts[self._done_occurrences, number]
            self._done_occurrences += 1

    def _complete_if_done(self, unix_ms: int) -> None:
        all_opened = self._next_occurrence >= self._declaration.occurrences
        if (
            all_opened
            and not self.ended
            and not any(self._unfinished_counts.values())
        ):
            self._phase = Phase.COMPLETED
            self._ended_ms = unix_ms


def partition(pipeline_id: str, partitions: int) -> int:
    """Returns the number of the table partition that holds a pipeline."""
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
    return codec.decode_msgpack(data, Declaration)


def decode_progress(data: bytes) -> Progress:
    """Decodes a progress.

    Raises:
        msgspec.MsgspecError: The bytes are no progress.
    """
    return codec.decode_msgpack(data, Progress)
