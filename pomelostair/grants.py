"""What a worker's heartbeat is answered: leases, starts and stops."""

import attrs

from pomelostair import cell as cell_module
from pomelostair import messages


@attrs.frozen
class Grant:
    """Answer to a heartbeat, with the events that it brings about."""

    ack: messages.HeartbeatAck
    events: tuple[cell_module.Event, ...] = ()


def answer(
    heartbeat: messages.Heartbeat, state: cell_module.State, epoch: int
) -> Grant:
    """Returns the answer to a heartbeat from the committed state.

    Args:
        heartbeat: What the agent reports.
        state: Committed state of the cell.
        epoch: Epoch of the leader.
    """
    running = {(u.task, u.attempt) for u in heartbeat.usage}
    ended = {(e.task, e.attempt) for e in heartbeat.ended}
    mine = {
        (task.id, task.attempt): task
        for task in state.placed()
        if task.worker == heartbeat.worker
    }
    cancelled = {key for key, task in mine.items() if _is_over(task, state)}
    wanted = mine.keys() - cancelled
    stop = (running - mine.keys()) | (running & cancelled)
    never_started = cancelled - running - ended
    ack = messages.HeartbeatAck(
        epoch=epoch,
        renew=tuple(sorted(wanted & running)),
        start=tuple(
            start_order(mine[key]) for key in sorted(wanted - running - ended)
        ),
        stop=tuple(
            messages.StopOrder(task, attempt, checkpoint=False)
            for task, attempt in sorted(stop)
        ),
        acknowledged=tuple(sorted(ended - mine.keys())),
    )
    events = tuple(
        cell_module.TaskEnded(task, attempt, messages.TaskEnd.STOPPED)
        for task, attempt in sorted(never_started)
    )
    return Grant(ack, events)


def start_order(task: cell_module.Task) -> messages.StartOrder:
    """Returns the order that starts the latest attempt of a task."""
    return messages.StartOrder(
        task=task.id,
        attempt=task.attempt,
        kind=task.spec.kind,
        urgency=task.spec.urgency,
        size=task.spec.size,
        run_s=task.spec.run_s,
        checkpoint=task.checkpoint,
        once=task.spec.once,
    )


def _is_over(task: cell_module.Task, state: cell_module.State) -> bool:
    job = state.jobs[task.spec.id]
    return job.state is not cell_module.JobState.ACTIVE
