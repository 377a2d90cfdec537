"""Encoding of a cell's state as one object.

Only the fields of a task that differ from a new task's are encoded, under
their own names, so that the size depends on the tasks that have run and not
on the number of declared ones.
"""

import attrs
import msgspec

from pomelostair import cell as cell_module
from pomelostair import codec
from pomelostair import messages

_ENCODED_FIELDS = tuple(
    field
    for field in attrs.fields(cell_module.Task)
    if field.name not in ("id", "spec")
)


@attrs.frozen
class JobRecord:
    """An encoded job, with the changed fields of each of its tasks."""

    spec: messages.JobSpec
    state: cell_module.JobState
    reason: str
    tasks: tuple[dict, ...]


def encode(state: cell_module.State) -> bytes:
    """Returns the encoded state."""
    records = [
        JobRecord(
            job.spec,
            job.state,
            job.reason,
            tuple(_changed_fields(task) for task in job.tasks),
        )
        for job in _jobs_in_order(state)
    ]
    return msgspec.msgpack.encode(records)


def decode(data: bytes) -> cell_module.State:
    """Returns the state from its encoding."""
    records = codec.decode_msgpack(data, list[JobRecord])
    return cell_module.State(_decode_job(record) for record in records)


def _jobs_in_order(state: cell_module.State) -> list[cell_module.Job]:
    """Returns all jobs, the ended ones last and in the order of their end."""
    remaining = [
        job for id_, job in state.jobs.items() if id_ not in state.ended
    ]
    return remaining + [state.jobs[id_] for id_ in state.ended]


def _changed_fields(task: cell_module.Task) -> dict[str, object]:
    return {
        field.name: value
        for field in _ENCODED_FIELDS
        if (value := getattr(task, field.name)) != field.default
    }


def _decode_job(record: JobRecord) -> cell_module.Job:
    spec = record.spec
    tasks = tuple(
        _decode_task(f"{spec.id}/{index}", spec, changes)
        for index, changes in enumerate(record.tasks)
    )
    return cell_module.Job(spec, tasks, record.state, record.reason)


def _decode_task(
    task_id: str, spec: messages.JobSpec, changes: dict[str, object]
) -> cell_module.Task:
    values = {
        field.name: msgspec.convert(changes[field.name], field.type)
        for field in _ENCODED_FIELDS
        if field.name in changes
    }
    return cell_module.Task(task_id, spec, **values)
