"""How a new leader learns that the one before it grants nothing any more.

A leader that is cut off from the table goes on renewing task leases up to
`store_grace_s`. Its successor therefore asks it to step down. Until it
answers, tasks of silent workers stay where they are for the whole grace,
unless an operator declares their worker dead.
"""

import attrs
import curio

from pomelostair import bus as bus_module
from pomelostair import celllog
from pomelostair import clock as clock_module
from pomelostair import messages
from pomelostair import settings as settings_module
from pomelostair import taskleases

STEP_DOWN_TIMEOUT_S = 1.0
STEP_DOWN_INTERVAL_S = 1.0


@attrs.frozen
class Term:
    """One term of this process as leader.

    Attributes:
        cell: Name of the cell.
        epoch: Epoch of the term.
        previous: Lease row of the leader before it, None for none.
    """

    cell: str
    epoch: int
    previous: celllog.LeaseRow | None


def task_lease_timeout_s(timing: settings_module.Timing) -> float:
    """Returns the seconds after which a granted task lease has lapsed."""
    return (timing.task_lease_ms + timing.lease_margin_ms) / 1000


def initial_horizon(
    term: Term, timing: settings_module.Timing, now: float
) -> float:
    """Returns when all earlier grants have lapsed if nobody steps down.

    Args:
        term: The new term.
        timing: Leases of the cell.
        now: Monotonic seconds after the lease was taken.
    """
    if term.previous is None:
        return now
    if term.previous.vacated and term.previous.settled:
        return now + task_lease_timeout_s(timing)
    grace_s = max(timing.cell_lease_ms / 1000, timing.store_grace_s)
    return now + grace_s + task_lease_timeout_s(timing)


def horizon_after(
    answer: messages.SteppedDown,
    previous: celllog.LeaseRow,
    timing: settings_module.Timing,
    now: float,
) -> float | None:
    """Returns when all earlier grants have lapsed, given an answer.

    Args:
        answer: What the previous leader or its restarted process answered.
        previous: Its lease row.
        timing: Leases of the cell.
        now: Monotonic seconds at which the answer came.

    Returns:
        Monotonic seconds; None if leaders before it may still grant.
    """
    previous_leases_end = now + task_lease_timeout_s(timing)
    if previous.settled:
        return previous_leases_end
    if answer.remembers:
        return max(previous_leases_end, now + answer.horizon_s)
    return None


async def request_step_down(
    bus: bus_module.Bus,
    clock: clock_module.Clock,
    timing: settings_module.Timing,
    term: Term,
    leases: taskleases.TaskLeases,
) -> None:
    """Asks the previous leader to step down until it answers.

    Args:
        bus: Bus of this process.
        clock: Source of monotonic time.
        timing: Leases of the cell.
        term: The new term.
        leases: Where the horizon is lowered after the answer.
    """
    previous = term.previous
    if previous is None:
        return
    message = messages.StepDown(
        term.cell, previous.holder, previous.epoch, term.epoch
    )
    while clock.now() < leases.horizon:
        result = await bus.call(previous.bus, message, STEP_DOWN_TIMEOUT_S)
        match result:
            case bus_module.Answered(message=messages.SteppedDown() as answer):
                now = clock.now()
                horizon = horizon_after(answer, previous, timing, now)
                if horizon is not None:
                    leases.lower_horizon(horizon)
                return
        await curio.sleep(STEP_DOWN_INTERVAL_S)
