"""Order in which pipelines are scheduled when there is more work than capacity.

In a burst, far more work arrives for some seconds than the workers can do, and
then less for a while. Pipelines that can still meet their objective go first,
then those that can finish while a late result is of use, then the rest, so that
none starves. Among pipelines of equal prospect and priority, those nearest to
completion go first, since partly finished pipelines yield no result, then those
with the least slack. The size of a pipeline does not matter.
"""

import enum
import math

import attrs

from pomelostair import pipeline
from pomelostair import queues

# A late result is of use up to this multiple of the objective (the platform's
# rule on benefits).
LATE_FACTOR = 3.0
# Factors on the estimated remaining time, since estimates are rough. A pipeline
# counts as in time if it meets its objective with the pessimistic factor, and
# as late if it misses it with the optimistic one. Between the two it goes after
# those that are in time. If the least slack went first instead, a site at
# capacity would finish each pipeline just too late.
PESSIMISTIC_FACTOR = 1.2
OPTIMISTIC_FACTOR = 0.7


class Outlook(enum.IntEnum):
    """Prospect of a pipeline to meet its objective.

    Attributes:
        IN_TIME: It meets the objective.
        UNCERTAIN: It may meet the objective.
        LATE: It misses the objective, but the result is still of use.
        EXPIRED: The result is of no use.
    """

    IN_TIME = 0
    UNCERTAIN = 1
    LATE = 2
    EXPIRED = 3


# Parts into which the work of a pipeline is divided to compare progress.
PARTS = 4


@attrs.frozen
class Rank:
    """Position of a pipeline in the order; smaller goes first.

    Attributes:
        outlook: Prospect to meet its objective.
        priority: Priority of its queue.
        parts_left: Parts of its work that are left, from 1 to `PARTS`; 0 for
            lasting pipelines.
        slack_s: Time that it can still wait without missing its objective.
            For lasting pipelines, minus the cores of the largest task.
        spread: Whether the tasks are spread over workers. Such lasting
            pipelines go before others, so that they share the same workers.
    """

    outlook: Outlook
    priority: int
    parts_left: int
    slack_s: float
    spread: bool = False

    @property
    def key(self) -> tuple[int, int, int, bool, float]:
        """Sort key of the rank."""
        return (
            self.outlook,
            self.priority,
            self.parts_left,
            not self.spread,
            self.slack_s,
        )


def remaining_s(item: pipeline.Pipeline, run_time_ratio: float = 1.0) -> float:
    """Returns the estimated time of the longest chain of unfinished stages.

    Args:
        item: The pipeline.
        run_time_ratio: Ratio of true to estimated run times of its queue.
    """
    ends_s: list[float] = []
    longest_s = 0.0
    for number, stage in enumerate(item.declaration.stages):
        start_s = max((ends_s[before] for before in stage.after), default=0.0)
        unfinished = item.unfinished_count(0, number) > 0
        ends_s.append(
            start_s + (stage.estimate_ms / 1000 if unfinished else 0.0)
        )
        longest_s = max(longest_s, ends_s[-1])
    return longest_s * run_time_ratio


def parts_left(item: pipeline.Pipeline) -> int:
    """Returns the parts of the estimated work that are left, 1 to `PARTS`."""
    left = total = 0.0
    for number, stage in enumerate(item.declaration.stages):
        work = max(1, stage.estimate_ms) * max(1, stage.demand.millicores)
        left += item.unfinished_count(0, number) * work
        total += stage.count * work
    return max(1, math.ceil(PARTS * left / total))


def rank(
    item: pipeline.Pipeline,
    queue: queues.Queue | None,
    now: float,
    run_time_ratio: float = 1.0,
) -> Rank:
    """Returns the position of a pipeline.

    Args:
        item: The pipeline.
        queue: Its queue, None if it is no longer configured.
        now: Monotonic seconds.
        run_time_ratio: Ratio of true to estimated run times of its queue.
    """
    declaration = item.declaration
    if queue is None:
        return Rank(Outlook.LATE, 0, PARTS, 0.0)
    if declaration.lasting:
        # The largest tasks go first; small ones still fit between them.
        largest_millicores = max(
            s.demand.millicores for s in declaration.stages
        )
        return Rank(
            Outlook.IN_TIME,
            queue.priority,
            0,
            -largest_millicores / 1000,
            spread=any(s.most_per_worker for s in declaration.stages),
        )
    if declaration.timed:
        return Rank(Outlook.IN_TIME, queue.priority, PARTS, 0.0)
    objective_s = (
        queue.stretch * declaration.critical_path_ms() + queue.objective_ms
    ) / 1000
    age_s = item.age_s(now)
    estimated_s = remaining_s(item, run_time_ratio)
    slack_s = objective_s - age_s - estimated_s
    optimistic_s = age_s + estimated_s * OPTIMISTIC_FACTOR
    if age_s + estimated_s * PESSIMISTIC_FACTOR <= objective_s:
        outlook = Outlook.IN_TIME
    elif optimistic_s <= objective_s:
        outlook = Outlook.UNCERTAIN
    elif optimistic_s <= objective_s * LATE_FACTOR:
        outlook = Outlook.LATE
    else:
        outlook = Outlook.EXPIRED
    return Rank(outlook, queue.priority, parts_left(item), slack_s)
