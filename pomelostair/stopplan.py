"""Plan of a stop or shed: which tasks yield when. Pure functions.

The steps of a stop are fixed when it is ordered and stored with the order.
What must have yielded depends only on the order and the time since then, so
that all processes agree without a coordinator.
"""

from collections.abc import Iterable
import enum

import attrs

from pomelostair import declaration
from pomelostair import messages

STOP_PER_TASK_S = 0.5
STEP_OVERHEAD_S = 3.0
RESERVE_SHARE = 0.2
# Checkpoints are skipped in the last part of a stop: this share of its time,
# within these bounds.
MIN_FINAL_MARGIN_S = 1.5
MAX_FINAL_MARGIN_S = 5.0
FINAL_MARGIN_SHARE = 0.1

# Classes of work, as (urgency, survive), in the order in which they yield.
YIELD_ORDER = tuple(
    (urgency, survive)
    for survive in (False, True)
    for urgency in sorted(messages.Urgency, reverse=True)
)


class YieldMode(enum.Enum):
    """How a running task must yield to a stop."""

    NONE = "not"
    WITH_CHECKPOINT = "with-checkpoint"
    IMMEDIATE = "at-once"


@attrs.frozen
class StopState:
    """The stop or shed in force, and its age.

    Attributes:
        stop: The order, None if none is in force.
        elapsed_s: Seconds since the order.
    """

    stop: declaration.Stop | None = None
    elapsed_s: float = 0.0


@attrs.frozen
class RunningTask:
    """A running task that may have to yield.

    Attributes:
        task_id: Id of the task.
        urgency: Urgency class.
        survive: Whether it is declared to survive as long as possible.
        cores: Cores that it occupies.
        worker: Worker that runs it.
    """

    task_id: str
    urgency: messages.Urgency
    survive: bool
    cores: float
    worker: str


@attrs.frozen
class PlannedStep:
    """A step of a plan, with its estimate.

    Attributes:
        step: Class that yields, and when the step begins.
        tasks: Tasks that yield in the step.
        expected_end_s: Seconds after the order at which the step is expected
            to be completed.
    """

    step: declaration.Step
    tasks: int
    expected_end_s: float


@attrs.frozen
class StopPlan:
    """The plan of a stop.

    Attributes:
        planned_steps: Steps in the order in which they begin.
        slack_s: Time between the expected end and the deadline; negative if
            the deadline is expected to be missed.
    """

    planned_steps: tuple[PlannedStep, ...]
    slack_s: float

    @property
    def steps(self) -> tuple[declaration.Step, ...]:
        """The steps without their estimates."""
        return tuple(planned.step for planned in self.planned_steps)


def plan_stop(
    within_s: float, running_tasks: Iterable[RunningTask]
) -> StopPlan:
    """Returns the plan of a stop, with the least urgent class first.

    The first step begins immediately. Each later one begins as late as the
    estimated durations and a reserve of time allow. If the estimates exceed
    the time, all steps are shortened in proportion and keep their order.

    Args:
        within_s: Time until the deadline.
        running_tasks: The running tasks.
    """
    groups: dict[tuple[messages.Urgency, bool], list[RunningTask]] = {
        key: [] for key in YIELD_ORDER
    }
    for task in running_tasks:
        groups[task.urgency, task.survive].append(task)
    durations_s = [_step_duration_s(groups[key]) for key in YIELD_ORDER]
    usable_s = within_s * (1 - RESERVE_SHARE)
    scale = min(1.0, usable_s / sum(durations_s))
    begin_s = usable_s - sum(durations_s) * scale
    planned_steps = []
    for key, duration_s in zip(YIELD_ORDER, durations_s, strict=True):
        offset_s = begin_s if planned_steps else 0.0
        begin_s += duration_s * scale
        step = declaration.Step(*key, offset_s)
        planned_steps.append(PlannedStep(step, len(groups[key]), begin_s))
    expected_end_s = max(usable_s, sum(durations_s))
    return StopPlan(tuple(planned_steps), within_s - expected_end_s)


def _step_duration_s(tasks: list[RunningTask]) -> float:
    tasks_per_worker: dict[str, int] = {}
    for task in tasks:
        tasks_per_worker[task.worker] = tasks_per_worker.get(task.worker, 0) + 1
    return STEP_OVERHEAD_S + STOP_PER_TASK_S * max(
        tasks_per_worker.values(), default=0
    )


def has_yielded(
    stop: declaration.Stop,
    elapsed_s: float,
    urgency: messages.Urgency,
    survive: bool,
) -> bool:
    """Returns whether a class of work must have yielded to a stop by now."""
    if stop.keep_share > 0:
        return False
    if elapsed_s >= stop.within_s:
        return True
    return any(
        step.offset_s <= elapsed_s
        for step in stop.steps
        if step.urgency == urgency and step.survive == survive
    )


def yield_mode(
    stop: declaration.Stop | None,
    elapsed_s: float,
    urgency: messages.Urgency,
    survive: bool,
) -> YieldMode:
    """Returns how a running task must yield to a stop by now.

    Checkpoints are skipped once the next step begins, or shortly before the
    deadline, so that an unavailable object store neither delays the stop nor
    lets less urgent work run longer than more urgent work.

    Args:
        stop: The order in force, if any.
        elapsed_s: Seconds since the order.
        urgency: Urgency class of the task.
        survive: Whether it is declared to survive as long as possible.
    """
    if stop is None or not has_yielded(stop, elapsed_s, urgency, survive):
        return YieldMode.NONE
    if elapsed_s >= _checkpoint_limit_s(stop, urgency, survive):
        return YieldMode.IMMEDIATE
    return YieldMode.WITH_CHECKPOINT


def _checkpoint_limit_s(
    stop: declaration.Stop, urgency: messages.Urgency, survive: bool
) -> float:
    margin_s = max(
        MIN_FINAL_MARGIN_S,
        min(MAX_FINAL_MARGIN_S, FINAL_MARGIN_SHARE * stop.within_s),
    )
    final_limit_s = stop.within_s - margin_s
    rank = YIELD_ORDER.index((urgency, survive))
    later_offsets_s = [
        step.offset_s
        for step in stop.steps
        if YIELD_ORDER.index((step.urgency, step.survive)) > rank
    ]
    return min([final_limit_s, *later_offsets_s])


def preserve_yielded(
    stop: declaration.Stop, current: declaration.Stop | None, elapsed_s: float
) -> declaration.Stop:
    """Returns a new stop in which steps that have yielded remain so.

    Args:
        stop: The new order.
        current: The order in force, if any.
        elapsed_s: Seconds since the current order.
    """
    if current is None or current.keep_share > 0:
        return stop
    steps = tuple(
        attrs.evolve(step, offset_s=0.0)
        if has_yielded(current, elapsed_s, step.urgency, step.survive)
        else step
        for step in stop.steps
    )
    return attrs.evolve(stop, steps=steps)


def tasks_to_shed(
    stop_state: StopState,
    running_tasks: Iterable[RunningTask],
    capacity_cores: float,
) -> tuple[str, ...]:
    """Returns the ids of the tasks to evict for a shed, in this order.

    Args:
        stop_state: The order in force and its age.
        running_tasks: The running tasks.
        capacity_cores: Total cores of all workers.
    """
    stop = stop_state.stop
    if stop is None or stop.keep_share == 0:
        return ()
    ordered = sorted(running_tasks, key=_shed_rank)
    excess_cores = sum(task.cores for task in ordered)
    excess_cores -= stop.keep_share * capacity_cores
    chosen = []
    for task in ordered:
        if excess_cores <= 0:
            break
        chosen.append(task.task_id)
        excess_cores -= task.cores
    return tuple(chosen)


def start_refusal_reason(
    stop_state: StopState,
    cores: float,
    held_cores: float,
    capacity_cores: float,
) -> str:
    """Returns why a stop or shed prevents a task from being placed.

    Args:
        stop_state: The order in force and its age.
        cores: Cores that the task needs.
        held_cores: Cores that placed tasks occupy, not yet committed ones
            included.
        capacity_cores: Total cores of all workers.

    Returns:
        The reason, empty if the task may be placed.
    """
    stop = stop_state.stop
    if stop is None:
        return ""
    if stop.keep_share == 0:
        return "the site is stopping; the task waits until it is resumed"
    if held_cores + cores > stop.keep_share * capacity_cores:
        return (
            f"tasks may use only {stop.keep_share:.0%} of the cores; "
            "the task waits"
        )
    return ""


def _shed_rank(task: RunningTask) -> tuple[int, str]:
    return YIELD_ORDER.index((task.urgency, task.survive)), task.task_id
