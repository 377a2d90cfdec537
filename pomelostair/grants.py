"""What a worker's heartbeat is answered: leases, starts and stops.

Only committed state leads to an order, so an attempt starts after the commit
that placed it, and an end is acknowledged after the commit that logged it.
"""

from collections.abc import Callable
from collections.abc import Mapping

import attrs

from pomelostair import cell as cell_module
from pomelostair import messages

Key = tuple[str, int]


@attrs.frozen
class Orders:
    """What the leader wants beside the committed state.

    Attributes:
        evictions: Attempts that have to leave.
        shares: Shares of full speed of throttled attempts.
        reserved: Returns the size that a task is planned with.
        unstarted: Returns whether an attempt that its worker does not show
            can certainly not start any more.
    """

    evictions: Mapping[Key, object]
    shares: Mapping[Key, float]
    reserved: Callable[[cell_module.Task], messages.Size]
    unstarted: Callable[[Key], bool]


@attrs.frozen
class Grant:
    """Answer to a heartbeat, with the events that it brings about."""

    ack: messages.HeartbeatAck
    events: tuple[cell_module.Event, ...] = ()


def answer(
    heartbeat: messages.Heartbeat,
    state: cell_module.State,
    epoch: int,
    orders: Orders,
) -> Grant:
    """Returns the answer to a heartbeat.

    Args:
        heartbeat: What the agent reports.
        state: Committed state of the cell.
        epoch: Epoch of the leader.
        orders: What the leader wants beside the state.
    """
    running = {(u.task, u.attempt) for u in heartbeat.usage}
    ended = {(e.task, e.attempt) for e in heartbeat.ended}
    mine = {
        (task.id, task.attempt): task
        for task in state.placed_on(heartbeat.worker)
    }
    over = {key for key, task in mine.items() if _is_over(task, state)}
    evicted = (mine.keys() & orders.evictions.keys()) - over
    forgotten = {
        key
        for key in mine.keys() - running - ended
        if mine[key].boot not in ("", heartbeat.boot)
    }
    wanted = mine.keys() - over - forgotten
    stop = (running - mine.keys()) | (running & over)
    absent = (over | evicted) - running - ended - forgotten
    ack = messages.HeartbeatAck(
        epoch=epoch,
        renew=tuple(sorted(wanted & running)),
        start=tuple(
            start_order(mine[key], orders.reserved(mine[key]))
            for key in sorted(wanted - evicted - running - ended)
        ),
        stop=(*_stops(stop, False), *_stops(evicted & running, True)),
        throttle=tuple(
            messages.ThrottleOrder(task, attempt, orders.shares[task, attempt])
            for task, attempt in sorted(orders.shares.keys() & running)
            if (task, attempt) not in evicted
        ),
        acknowledged=tuple(sorted(ended - mine.keys())),
    )
    events = (
        *(
            _ended(key, messages.TaskEnd.STOPPED, "never started")
            for key in sorted(absent)
            if orders.unstarted(key)
        ),
        *(
            _ended(key, messages.TaskEnd.LAPSED, "its worker restarted")
            for key in sorted(forgotten)
        ),
    )
    return Grant(ack, events)


def _ended(
    key: Key, end: messages.TaskEnd, detail: str
) -> cell_module.TaskEnded:
    return cell_module.TaskEnded(*key, end, detail)


def _stops(keys: set[Key], checkpoint: bool) -> tuple[messages.StopOrder, ...]:
    return tuple(
        messages.StopOrder(task, attempt, checkpoint)
        for task, attempt in sorted(keys)
    )


def start_order(
    task: cell_module.Task, reserved: messages.Size
) -> messages.StartOrder:
    """Returns the order that starts the latest attempt of a task.

    Args:
        task: A placed task.
        reserved: Size that it is planned with.
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


def _is_over(task: cell_module.Task, state: cell_module.State) -> bool:
    job = state.jobs[task.spec.id]
    return job.state is not cell_module.JobState.ACTIVE
