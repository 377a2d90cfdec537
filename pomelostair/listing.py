"""Lists the tasks and workers of a cell for operators."""

from collections.abc import Iterable

import attrs

from pomelostair import cell as cell_module
from pomelostair import messages

MAX_PAGE_ROWS = 1000


@attrs.frozen
class WorkerContact:
    """Latest heartbeat of a worker, as received by the leader.

    Attributes:
        heartbeat: The latest heartbeat.
        silent_s: Seconds since it was received.
        silent: Whether the worker counts as silent.
    """

    heartbeat: messages.Heartbeat
    silent_s: float
    silent: bool


def tasks(
    state: cell_module.State, query: messages.ListTasks
) -> messages.TaskList:
    """Returns one page of the tasks that match a query, sorted by id."""
    limit = max(1, min(query.limit, MAX_PAGE_ROWS))
    matching = sorted(
        (task for task in _candidates(state, query) if _matches(task, query)),
        key=_sort_key,
    )
    after = _split_task_id(query.after) if query.after else None
    if after is not None:
        matching = [task for task in matching if _sort_key(task) > after]
    rows = tuple(task_row(task) for task in matching[:limit])
    return messages.TaskList(rows, more=len(matching) > limit)


def task_row(task: cell_module.Task) -> messages.TaskRow:
    """Returns the row that lists a task."""
    return messages.TaskRow(
        id=task.id,
        job=task.spec.id,
        kind=task.spec.kind,
        team=task.spec.team,
        urgency=task.spec.urgency,
        state=task.state.value,
        reason=task.reason,
        attempt=task.attempt,
        worker=task.worker,
        size=task.spec.size,
        failures=task.failures,
        checkpoint=task.checkpoint,
        once=task.spec.once,
        survive=task.spec.survive,
    )


def workers(
    state: cell_module.State, contacts: dict[str, WorkerContact]
) -> messages.WorkerList:
    """Lists all workers that sent a heartbeat or have tasks.

    A worker that has tasks but sent no heartbeat to this leader is listed as
    silent, with `silent_s` -1.

    Args:
        state: State of the cell.
        contacts: Latest heartbeats by worker name.
    """
    tasks_by_worker: dict[str, list[cell_module.Task]] = {
        name: [] for name in contacts
    }
    for task in state.placed():
        tasks_by_worker.setdefault(task.worker, []).append(task)
    rows = (
        _worker_row(name, contacts.get(name), tasks_by_worker[name])
        for name in sorted(tasks_by_worker)
    )
    return messages.WorkerList(tuple(rows))


def _worker_row(
    name: str,
    contact: WorkerContact | None,
    placed_tasks: list[cell_module.Task],
) -> messages.WorkerRow:
    assigned = _total_size(task.spec.size for task in placed_tasks)
    if contact is None:
        return messages.WorkerRow(
            name=name,
            zone="",
            rack="",
            state="silent",
            reason="no heartbeat since the leader took over",
            capacity=messages.Size(0.0, 0, 0),
            assigned=assigned,
            tasks=len(placed_tasks),
            silent_s=-1.0,
        )
    state = "silent" if contact.silent else contact.heartbeat.state.value
    reason = "sends heartbeats"
    if contact.silent:
        reason = f"no heartbeat for {contact.silent_s:.1f} s"
    return messages.WorkerRow(
        name=name,
        zone=contact.heartbeat.zone,
        rack=contact.heartbeat.rack,
        state=state,
        reason=reason,
        capacity=contact.heartbeat.capacity,
        assigned=assigned,
        tasks=len(placed_tasks),
        silent_s=contact.silent_s,
    )


def _total_size(sizes: Iterable[messages.Size]) -> messages.Size:
    """Returns the sum of sizes."""
    cores, memory_mb, accelerators = 0.0, 0, 0
    for size in sizes:
        cores += size.cores
        memory_mb += size.memory_mb
        accelerators += size.accelerators
    return messages.Size(cores, memory_mb, accelerators)


def _candidates(
    state: cell_module.State, query: messages.ListTasks
) -> Iterable[cell_module.Task]:
    if query.job:
        job = state.jobs.get(query.job)
        return () if job is None else job.tasks
    return state.tasks.values()


def _matches(task: cell_module.Task, query: messages.ListTasks) -> bool:
    return (
        query.kind in ("", task.spec.kind)
        and query.team in ("", task.spec.team)
        and query.state in ("", task.state.value)
        and query.worker in ("", task.worker)
    )


def _sort_key(task: cell_module.Task) -> tuple[str, int]:
    return _split_task_id(task.id)


def _split_task_id(task_id: str) -> tuple[str, int]:
    job, _, index = task_id.rpartition("/")
    return job, int(index) if index.isdecimal() else 0
