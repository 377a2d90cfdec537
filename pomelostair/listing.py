"""Views of a cell for its callers and operators."""

from collections.abc import Iterable

import attrs

from pomelostair import cell as cell_module
from pomelostair import messages

MAX_ROWS = 1000


@attrs.frozen
class Seen:
    """A worker as the leader has seen it.

    Attributes:
        heartbeat: Its latest heartbeat.
        silent_s: Seconds since then.
        silent: Whether it counts as silent.
    """

    heartbeat: messages.Heartbeat
    silent_s: float
    silent: bool


def tasks(
    state: cell_module.State, query: messages.ListTasks
) -> messages.TaskList:
    """Returns the page of tasks that a query asks for."""
    limit = max(1, min(query.limit, MAX_ROWS))
    matching = sorted(
        (task for task in _candidates(state, query) if _matches(task, query)),
        key=_key,
    )
    after = _split(query.after) if query.after else None
    if after is not None:
        matching = [task for task in matching if _key(task) > after]
    rows = tuple(task_row(task) for task in matching[:limit])
    return messages.TaskList(rows, more=len(matching) > limit)


def task_row(task: cell_module.Task) -> messages.TaskRow:
    """Returns a task as operators list it."""
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
    state: cell_module.State, seen: dict[str, Seen]
) -> messages.WorkerList:
    """Returns all workers that were seen or that hold tasks.

    Args:
        state: State of the cell.
        seen: Workers by name.
    """
    held: dict[str, list[cell_module.Task]] = {name: [] for name in seen}
    for task in state.placed():
        held.setdefault(task.worker, []).append(task)
    rows = (
        _worker_row(name, seen.get(name), held[name]) for name in sorted(held)
    )
    return messages.WorkerList(tuple(rows))


def _worker_row(
    name: str, seen: Seen | None, held: list[cell_module.Task]
) -> messages.WorkerRow:
    assigned = total(task.spec.size for task in held)
    if seen is None:
        return messages.WorkerRow(
            name=name,
            zone="",
            rack="",
            state="silent",
            reason="no heartbeat since the leader took over",
            capacity=messages.Size(0.0, 0, 0),
            assigned=assigned,
            tasks=len(held),
            silent_s=-1.0,
        )
    name_of_state = "silent" if seen.silent else seen.heartbeat.state.value
    reason = "sends heartbeats"
    if seen.silent:
        reason = f"no heartbeat for {seen.silent_s:.1f} s"
    return messages.WorkerRow(
        name=name,
        zone=seen.heartbeat.zone,
        rack=seen.heartbeat.rack,
        state=name_of_state,
        reason=reason,
        capacity=seen.heartbeat.capacity,
        assigned=assigned,
        tasks=len(held),
        silent_s=seen.silent_s,
    )


def total(sizes: Iterable[messages.Size]) -> messages.Size:
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


def _key(task: cell_module.Task) -> tuple[str, int]:
    return _split(task.id)


def _split(task_id: str) -> tuple[str, int]:
    job, _, index = task_id.rpartition("/")
    return job, int(index) if index.isdecimal() else 0
