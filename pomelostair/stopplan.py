"""The plan of a stop or shed: what yields when. Pure decisions.

The steps of a stop are fixed when it is ordered and kept with the order.
What has yielded is then a function of the order and the time since, so that
every process reaches the same answer without a coordinator.
"""

from collections.abc import Iterable
import enum

import attrs

from pomelostair import declaration
from pomelostair import messages

TASK_STOP_S = 0.5
STEP_S = 3.0
RESERVE_SHARE = 0.2
LAST_MIN_S = 1.5
LAST_MAX_S = 5.0
LAST_SHARE = 0.1

ORDER = tuple(
    (urgency, survive)
    for survive in (False, True)
    for urgency in sorted(messages.Urgency, reverse=True)
)


class Yielding(enum.Enum):
    """How a running task has to yield to a stop."""

    NOT = "not"
    WITH_CHECKPOINT = "with-checkpoint"
    AT_ONCE = "at-once"


@attrs.frozen
class Standing:
    """The stop or shed that stands, as a process follows it now.

    Attributes:
        stop: The order, if one stands.
        elapsed_s: Seconds since it.
    """

    stop: declaration.Stop | None = None
    elapsed_s: float = 0.0


@attrs.frozen
class Work:
    """A task that may have to yield.

    Attributes:
        task: Id of the task.
        urgency: Urgency class.
        survive: Whether it is declared to survive as long as possible.
        cores: Cores that it holds.
        worker: Worker that runs it.
    """

    task: str
    urgency: messages.Urgency
    survive: bool
    cores: float
    worker: str


@attrs.frozen
class Stage:
    """One step of a plan with its estimate.

    Attributes:
        step: What yields, and from when.
        tasks: Tasks that yield in the step.
        done_s: Seconds after the order at which it is expected to be done.
    """

    step: declaration.Step
    tasks: int
    done_s: float


@attrs.frozen
class Plan:
    """The plan of a stop.

    Attributes:
        stages: Steps in the order in which they yield.
        slack_s: Time between the expected end and the deadline; negative if
            the deadline is expected to be missed.
    """

    stages: tuple[Stage, ...]
    slack_s: float

    @property
    def steps(self) -> tuple[declaration.Step, ...]:
        """The steps alone."""
        return tuple(stage.step for stage in self.stages)


def plan_stop(within_s: float, works: Iterable[Work]) -> Plan:
    """Returns the steps of a stop, from the least urgent up.

    The first step begins at once. Each later one begins as late as its
    estimate and a reserve allow. If the estimates exceed the time, all steps
    are shortened in proportion, and their order is kept.

    Args:
        within_s: Time until the deadline.
        works: The tasks that run.
    """
    groups: dict[tuple[messages.Urgency, bool], list[Work]] = {
        key: [] for key in ORDER
    }
    for work in works:
        groups[work.urgency, work.survive].append(work)
    needs = [_need_s(groups[key]) for key in ORDER]
    usable_s = within_s * (1 - RESERVE_SHARE)
    scale = min(1.0, usable_s / sum(needs))
    begins = usable_s - sum(needs) * scale
    stages = []
    for key, need_s in zip(ORDER, needs, strict=True):
        offset_s = begins if stages else 0.0
        begins += need_s * scale
        step = declaration.Step(*key, offset_s)
        stages.append(Stage(step, len(groups[key]), begins))
    expected_s = max(usable_s, sum(needs))
    return Plan(tuple(stages), within_s - expected_s)


def _need_s(works: list[Work]) -> float:
    by_worker: dict[str, int] = {}
    for work in works:
        by_worker[work.worker] = by_worker.get(work.worker, 0) + 1
    return STEP_S + TASK_STOP_S * max(by_worker.values(), default=0)


def has_yielded(
    stop: declaration.Stop,
    elapsed_s: float,
    urgency: messages.Urgency,
    survive: bool,
) -> bool:
    """Returns whether work of a class has to yield to a stop by now."""
    if stop.keep_share > 0:
        return False
    if elapsed_s >= stop.within_s:
        return True
    return any(
        step.offset_s <= elapsed_s
        for step in stop.steps
        if step.urgency == urgency and step.survive == survive
    )


def stop_order(
    stop: declaration.Stop | None,
    elapsed_s: float,
    urgency: messages.Urgency,
    survive: bool,
) -> Yielding:
    """Returns how a running task has to yield to a stop by now.

    Checkpoints are given up when the next step begins, or shortly before the
    deadline: a store that takes none neither holds up the stop nor lets less
    urgent work run longer than more urgent work.

    Args:
        stop: The order that stands, if any.
        elapsed_s: Seconds since the order.
        urgency: Urgency class of the task.
        survive: Whether it is declared to survive as long as possible.
    """
    if stop is None or not has_yielded(stop, elapsed_s, urgency, survive):
        return Yielding.NOT
    if elapsed_s >= _checkpoints_until_s(stop, urgency, survive):
        return Yielding.AT_ONCE
    return Yielding.WITH_CHECKPOINT


def _checkpoints_until_s(
    stop: declaration.Stop, urgency: messages.Urgency, survive: bool
) -> float:
    margin_s = max(LAST_MIN_S, min(LAST_MAX_S, LAST_SHARE * stop.within_s))
    last_s = stop.within_s - margin_s
    rank = ORDER.index((urgency, survive))
    later = [
        step.offset_s
        for step in stop.steps
        if ORDER.index((step.urgency, step.survive)) > rank
    ]
    return min([last_s, *later])


def keep_yielded(
    stop: declaration.Stop, before: declaration.Stop | None, elapsed_s: float
) -> declaration.Stop:
    """Returns a stop that replaces another and reopens none of its steps.

    Args:
        stop: The new order.
        before: The order that stands, if any.
        elapsed_s: Seconds since that order.
    """
    if before is None or before.keep_share > 0:
        return stop
    steps = tuple(
        attrs.evolve(step, offset_s=0.0)
        if has_yielded(before, elapsed_s, step.urgency, step.survive)
        else step
        for step in stop.steps
    )
    return attrs.evolve(stop, steps=steps)


def leaving(
    standing: Standing, works: Iterable[Work], capacity_cores: float
) -> tuple[str, ...]:
    """Returns the tasks that have to leave for a shed, in that order.

    Args:
        standing: The order that stands.
        works: The tasks that run.
        capacity_cores: Cores of all workers together.
    """
    stop = standing.stop
    if stop is None or stop.keep_share == 0:
        return ()
    ordered = sorted(works, key=_rank)
    excess = sum(work.cores for work in ordered)
    excess -= stop.keep_share * capacity_cores
    chosen = []
    for work in ordered:
        if excess <= 0:
            break
        chosen.append(work.task)
        excess -= work.cores
    return tuple(chosen)


def refuses_start(
    standing: Standing,
    cores: float,
    held_cores: float,
    capacity_cores: float,
) -> str:
    """Returns why a task can't be placed under the order that stands.

    Args:
        standing: The order that stands.
        cores: Cores that the task needs.
        held_cores: Cores that tasks hold or are about to hold.
        capacity_cores: Cores of all workers together.

    Returns:
        The reason, empty if the task may be placed.
    """
    stop = standing.stop
    if stop is None:
        return ""
    if stop.keep_share == 0:
        return "the site is stopping; it waits until the site is resumed"
    if held_cores + cores > stop.keep_share * capacity_cores:
        return f"tasks may hold {stop.keep_share:.0%} of the cores; it waits"
    return ""


def _rank(work: Work) -> tuple[int, str]:
    return ORDER.index((work.urgency, work.survive)), work.task
