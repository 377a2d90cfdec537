"""State of a cell: jobs and tasks, changed only by logged events.

`State.apply` is deterministic: the same events give the same state, whether
they were just committed or are replayed from the log.
"""

from collections.abc import Iterable
import enum

import attrs

from pomelostair import messages
from pomelostair import wire


class TaskState(enum.Enum):
    """State of a task."""

    WAITING = "waiting"
    PLACED = "placed"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobState(enum.Enum):
    """State of a job."""

    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@wire.message("event-job-submitted")
@attrs.frozen
class JobSubmitted:
    """A job was accepted."""

    spec: messages.JobSpec


@wire.message("event-job-cancelled")
@attrs.frozen
class JobCancelled:
    """A job was cancelled; its running attempts are to be stopped."""

    job: str


@wire.message("event-task-placed")
@attrs.frozen
class TaskPlaced:
    """An attempt was assigned to a worker.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        worker: Name of the worker's agent.
        boot: Id of the start of the worker's process. A later start doesn't
            run the attempts of earlier ones.
    """

    task: str
    attempt: int
    worker: str
    boot: str = ""


@wire.message("event-task-ended")
@attrs.frozen
class TaskEnded:
    """An attempt has ended, or its lease has certainly lapsed.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        end: How it ended.
        detail: Explanation for callers and operators, empty for none.
        checkpoint: Key of its latest checkpoint, empty for none.
    """

    task: str
    attempt: int
    end: messages.TaskEnd
    detail: str = ""
    checkpoint: str = ""


@wire.message("event-task-parked")
@attrs.frozen
class TaskParked:
    """A waiting task can't be placed for now; `reason` says why."""

    task: str
    reason: str


@wire.message("event-jobs-expired")
@attrs.frozen
class JobsExpired:
    """Ended jobs are removed after their retention."""

    jobs: tuple[str, ...]


@wire.message("event-urgency-set")
@attrs.frozen
class UrgencySet:
    """The urgency class in which the tasks of a job are scheduled was changed.

    A snapshot stores the class that the job declares, so a new leader logs
    this event again.
    """

    job: str
    urgency: messages.Urgency


Event = (
    JobSubmitted
    | UrgencySet
    | JobCancelled
    | TaskPlaced
    | TaskEnded
    | TaskParked
    | JobsExpired
)


@attrs.define
class Task:
    """A task of a job.

    Attributes:
        id: `JOB/INDEX`.
        spec: Declaration of its job.
        state: State of the task.
        attempt: Number of the latest attempt, 0 before the first.
        worker: Worker on which that attempt is placed, empty for none.
        checkpoint: Key of the latest checkpoint, empty for none.
        failures: Number of failed attempts.
        reason: Why it is in this state.
        boot: Id of the start of the worker's process to which that attempt
            was assigned.
    """

    id: str
    spec: messages.JobSpec
    state: TaskState = TaskState.WAITING
    attempt: int = 0
    worker: str = ""
    checkpoint: str = ""
    failures: int = 0
    reason: str = "accepted"
    boot: str = ""


@attrs.define
class Job:
    """A job and its tasks; `reason` says why it failed or was cancelled."""

    spec: messages.JobSpec
    tasks: tuple[Task, ...]
    state: JobState = JobState.ACTIVE
    reason: str = ""


class State:
    """All jobs of a cell, with indexes of their tasks.

    Args:
        jobs: Initial jobs, in the order of a snapshot: ended ones last, in the
            order of their end.
    """

    def __init__(self, jobs: Iterable[Job] = ()):
        self._jobs: dict[str, Job] = {}
        self._tasks: dict[str, Task] = {}
        self._waiting: dict[str, Task] = {}
        self._placed: dict[str, dict[str, Task]] = {}
        self._ended: dict[str, None] = {}
        self._unfinished_counts: dict[str, int] = {}
        self._placed_counts: dict[str, int] = {}
        for job in jobs:
            self._add(job)

    @property
    def jobs(self) -> dict[str, Job]:
        """Jobs by id."""
        return self._jobs

    @property
    def tasks(self) -> dict[str, Task]:
        """Tasks by id."""
        return self._tasks

    @property
    def ended(self) -> dict[str, None]:
        """Ids of ended jobs without a placed task, oldest end first."""
        return self._ended

    def waiting(self) -> list[Task]:
        """Returns the tasks that wait for a worker."""
        return list(self._waiting.values())

    def placed(self) -> list[Task]:
        """Returns the tasks whose latest attempt may run."""
        return [t for tasks in self._placed.values() for t in tasks.values()]

    def placed_on(self, worker: str) -> list[Task]:
        """Returns the tasks whose latest attempt may run on a worker."""
        return list(self._placed.get(worker, {}).values())

    def workers_with_tasks(self) -> list[str]:
        """Returns the workers on which a task may run."""
        return list(self._placed)

    def apply(self, event: Event) -> None:
        """Applies one event; events that are out of date have no effect."""
        match event:
            case JobSubmitted(spec=spec):
                self._submit(spec)
            case UrgencySet(job=job, urgency=urgency):
                self._set_urgency(job, urgency)
            case JobCancelled(job=job):
                self._cancel(job)
            case TaskPlaced():
                self._place(event)
            case TaskEnded():
                self._end(event)
            case TaskParked():
                self._park(event)
            case JobsExpired(jobs=jobs):
                self._expire(jobs)

    def _submit(self, spec: messages.JobSpec) -> None:
        if spec.id in self._jobs:
            return
        tasks = tuple(
            Task(f"{spec.id}/{index}", spec) for index in range(spec.tasks)
        )
        self._add(Job(spec, tasks))

    def _add(self, job: Job) -> None:
        self._jobs[job.spec.id] = job
        self._unfinished_counts[job.spec.id] = self._placed_counts[
            job.spec.id
        ] = 0
        for task in job.tasks:
            self._tasks[task.id] = task
            self._index(task)
        self._index_ended_job(job)

    def _expire(self, job_ids: tuple[str, ...]) -> None:
        for job_id in job_ids:
            if job_id not in self._ended:
                continue
            del self._ended[job_id]
            del self._unfinished_counts[job_id]
            del self._placed_counts[job_id]
            for task in self._jobs.pop(job_id).tasks:
                del self._tasks[task.id]

    def _change_state(
        self, task: Task, state: TaskState, worker: str = ""
    ) -> None:
        self._unindex(task)
        task.state = state
        task.worker = worker
        self._index(task)

    def _index(self, task: Task) -> None:
        if task.state is TaskState.WAITING:
            self._waiting[task.id] = task
            self._unfinished_counts[task.spec.id] += 1
        elif task.state is TaskState.PLACED:
            self._placed.setdefault(task.worker, {})[task.id] = task
            self._unfinished_counts[task.spec.id] += 1
            self._placed_counts[task.spec.id] += 1

    def _unindex(self, task: Task) -> None:
        if task.state is TaskState.WAITING:
            del self._waiting[task.id]
            self._unfinished_counts[task.spec.id] -= 1
        elif task.state is TaskState.PLACED:
            tasks_on_worker = self._placed[task.worker]
            del tasks_on_worker[task.id]
            if not tasks_on_worker:
                del self._placed[task.worker]
            self._unfinished_counts[task.spec.id] -= 1
            self._placed_counts[task.spec.id] -= 1

    def _index_ended_job(self, job: Job) -> None:
        ended = job.state is not JobState.ACTIVE
        if ended and not self._placed_counts[job.spec.id]:
            self._ended[job.spec.id] = None

    def _set_urgency(self, job_id: str, urgency: messages.Urgency) -> None:
        job = self._jobs.get(job_id)
        if job is None:
            return
        spec = attrs.evolve(job.spec, urgency=urgency)
        for task in job.tasks:
            task.spec = spec

    def _cancel(self, job_id: str) -> None:
        job = self._jobs.get(job_id)
        if job is None or job.state is not JobState.ACTIVE:
            return
        job.state = JobState.CANCELLED
        job.reason = "cancelled by its caller"
        self._cancel_waiting_tasks(job)
        self._index_ended_job(job)

    def _cancel_waiting_tasks(self, job: Job) -> None:
        for task in job.tasks:
            if task.state is TaskState.WAITING:
                self._change_state(task, TaskState.CANCELLED)

    def _place(self, event: TaskPlaced) -> None:
        task = self._tasks.get(event.task)
        if task is None or task.state is not TaskState.WAITING:
            return
        self._change_state(task, TaskState.PLACED, event.worker)
        task.attempt = event.attempt
        task.boot = event.boot
        task.reason = f"placed on {event.worker}"

    def _park(self, event: TaskParked) -> None:
        task = self._tasks.get(event.task)
        if task is not None and task.state is TaskState.WAITING:
            task.reason = event.reason

    def _end(self, event: TaskEnded) -> None:
        task = self._tasks.get(event.task)
        if task is None or task.state is not TaskState.PLACED:
            return
        if task.attempt != event.attempt:
            return
        task.reason = event.detail or event.end.value
        if event.checkpoint:
            task.checkpoint = event.checkpoint
        self._change_state(task, self._state_after_end(task, event.end))
        job = self._jobs[task.spec.id]
        self._update_job_state(job, task.state is TaskState.FAILED)
        self._index_ended_job(job)

    def _state_after_end(self, task: Task, end: messages.TaskEnd) -> TaskState:
        if end is messages.TaskEnd.COMPLETED:
            return TaskState.COMPLETED
        if self._jobs[task.spec.id].state is not JobState.ACTIVE:
            return TaskState.CANCELLED
        if end is messages.TaskEnd.FAILED:
            task.failures += 1
            if task.failures >= task.spec.max_failures:
                return TaskState.FAILED
        return TaskState.WAITING

    def _update_job_state(self, job: Job, failed: bool) -> None:
        if job.state is not JobState.ACTIVE:
            return
        if failed:
            job.state = JobState.FAILED
            job.reason = "a task failed too often"
            self._cancel_waiting_tasks(job)
        elif not self._unfinished_counts[job.spec.id]:
            job.state = JobState.COMPLETED


def job_view(job: Job) -> messages.JobView:
    """Returns the view of a job that is sent to its caller."""
    tasks = tuple(
        messages.TaskView(
            task.id, task.state.value, task.attempt, task.worker, task.reason
        )
        for task in job.tasks
    )
    return messages.JobView(job.spec, job.state.value, job.reason, tasks)
