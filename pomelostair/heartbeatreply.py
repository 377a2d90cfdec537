"""Builds the reply to a worker's heartbeat: leases and orders.

Orders follow from committed state only, so an attempt starts after the commit
that placed it, and an end is acknowledged after the commit that logged it.
"""

from collections.abc import Callable
from collections.abc import Mapping

import attrs

from pomelostair import cell as cell_module
from pomelostair import messages

AttemptKey = tuple[str, int]


@attrs.frozen
class VolatileState:
    """State of the leader's term that is not logged.

    Attributes:
        evictions: Attempts that are to be evicted.
        shares: Shares of full speed of throttled attempts.
        reserved_size: Returns the size that is reserved for a task.
        cannot_start: Returns whether an attempt that its worker does not
            report can no longer start, since any order to start it expired.
    """

    evictions: Mapping[AttemptKey, object]
    shares: Mapping[AttemptKey, float]
    reserved_size: Callable[[cell_module.Task], messages.Size]
    cannot_start: Callable[[AttemptKey], bool]


@attrs.frozen
class Reply:
    """Reply to a heartbeat, and the events to log for it."""

    ack: messages.HeartbeatAck
    events: tuple[cell_module.Event, ...] = ()


def build(
    heartbeat: messages.Heartbeat,
    state: cell_module.State,
    epoch: int,
    volatile: VolatileState,
) -> Reply:
    """Returns the reply to a heartbeat.

    Args:
        heartbeat: Report of the worker's agent.
        state: Committed state of the cell.
        epoch: Epoch of the leader.
        volatile: State of the leader's term that is not logged.
    """
    running = {(u.task, u.attempt) for u in heartbeat.usage}
    ended = {(e.task, e.attempt) for e in heartbeat.ended}
    placed = {
        (task.id, task.attempt): task
        for task in state.placed_on(heartbeat.worker)
    }
    inactive = {
        key for key, task in placed.items() if _job_has_ended(task, state)
    }
    evicted = (placed.keys() & volatile.evictions.keys()) - inactive
    from_earlier_boot = {
        key
        for key in placed.keys() - running - ended
        if placed[key].boot not in ("", heartbeat.boot)
    }
    active = placed.keys() - inactive - from_earlier_boot
    to_stop = (running - placed.keys()) | (running & inactive)
    absent = (inactive | evicted) - running - ended - from_earlier_boot
    ack = messages.HeartbeatAck(
        epoch=epoch,
        renew=tuple(sorted(active & running)),
        start=tuple(
            start_order(placed[key], volatile.reserved_size(placed[key]))
            for key in sorted(active - evicted - running - ended)
        ),
        stop=(
            *_stop_orders(to_stop, False),
            *_stop_orders(evicted & running, True),
        ),
        throttle=tuple(
            messages.ThrottleOrder(
                task, attempt, volatile.shares[task, attempt]
            )
            for task, attempt in sorted(volatile.shares.keys() & running)
            if (task, attempt) not in evicted
        ),
        acknowledged=tuple(sorted(ended - placed.keys())),
    )
    events = (
        *(
            _task_ended(key, messages.TaskEnd.STOPPED, "never started")
            for key in sorted(absent)
            if volatile.cannot_start(key)
        ),
        *(
            _task_ended(key, messages.TaskEnd.LAPSED, "its worker restarted")
            for key in sorted(from_earlier_boot)
        ),
    )
    return Reply(ack, events)


def _task_ended(
    key: AttemptKey, end: messages.TaskEnd, detail: str
) -> cell_module.TaskEnded:
    return cell_module.TaskEnded(*key, end, detail)


def _stop_orders(
    keys: set[AttemptKey], checkpoint: bool
) -> tuple[messages.StopOrder, ...]:
    return tuple(
        messages.StopOrder(task, attempt, checkpoint)
        for task, attempt in sorted(keys)
    )


def start_order(
    task: cell_module.Task, reserved: messages.Size
) -> messages.StartOrder:
    """Returns the order to start the latest attempt of a task.

    Args:
        task: A placed task.
        reserved: Size that is reserved for it.
    """
    return messages.StartOrder(
        task=task.id,
        attempt=task.attempt,
        kind=task.spec.kind,
        urgency=task.spec.urgency,
        size=task.spec.size,
        run_s=task.spec.run_s,
        checkpoint=task.checkpoint,
        once=task.spec.once,
        survive=task.spec.survive,
        reserved=reserved,
    )


def _job_has_ended(task: cell_module.Task, state: cell_module.State) -> bool:
    job = state.jobs[task.spec.id]
    return job.state is not cell_module.JobState.ACTIVE
