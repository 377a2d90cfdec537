"""When a new leader may assume that earlier leaders grant no more leases.

A leader that can't reach the table keeps renewing task leases for up to
`store_grace_s`. Its successor therefore asks it to step down. Until it
answers, the successor doesn't restart the tasks of silent workers for the
whole grace, unless an operator declares the worker dead.

The horizon of a term is the time at which all task leases that earlier
leaders granted have lapsed.
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
        previous: Lease row of the previous leader, None if there was none.
    """

    cell: str
    epoch: int
    previous: celllog.LeaseRow | None


def task_lease_timeout_s(timing: settings_module.Timing) -> float:
    """Returns the length of a task lease plus the margin for clock drift."""
    return (timing.task_lease_ms + timing.lease_margin_ms) / 1000


def initial_horizon(
    term: Term, timing: settings_module.Timing, now: float
) -> float:
    """Returns the horizon that holds without an answer to `StepDown`.

    Args:
        term: The new term.
        timing: Lease times of the cell.
        now: Monotonic seconds after the cell lease was acquired.
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
    """Returns the horizon that an answer to `StepDown` allows.

    Args:
        answer: Answer of the previous leader or of its restarted process.
        previous: Lease row of the previous leader.
        timing: Lease times of the cell.
        now: Monotonic seconds at which the answer was received.

    Returns:
        Monotonic seconds; None if leaders before the previous one may still
        grant leases, so that the initial horizon must stay.
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
        timing: Lease times of the cell.
        term: The new term.
        leases: Task leases whose horizon the answer may lower.
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
