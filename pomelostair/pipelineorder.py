"""Which pipeline is served next when there is more work than room.

Answers the pattern of a burst: far more work arrives for some seconds than the
workers can do, and then less for a while. Pipelines that can still meet their
objective go first; then those that can at least be done while a late answer is
of use; then the rest, so that nothing starves for ever. Among equals, those
nearest to their end go first, as many that are half done serve nobody, and then
those with the least slack. The size of a pipeline plays no part.
"""

import enum
import math

import attrs

from pomelostair import pipeline
from pomelostair import queues

# A late answer is of use up to this multiple of the objective (the platform's
# rule on benefits).
LATE_FACTOR = 3.0
# Estimates are rough. A pipeline is in time for certain with this factor on
# what is left of it, and late for certain with the other one. Between the two,
# it goes after those that are in time: with the least slack first, a full site
# would else finish each one just too late.
CAUTIOUS = 1.2
HOPEFUL = 0.7


class Outlook(enum.IntEnum):
    """What a pipeline can still reach."""

    IN_TIME = 0
    TIGHT = 1
    LATE = 2
    USELESS = 3


# Parts into which the work of a pipeline is divided to compare what is left.
PARTS = 4


@attrs.frozen
class Rank:
    """Position of a pipeline; smaller goes first.

    Attributes:
        outlook: What it can still reach.
        priority: Priority of its queue.
        parts_left: Parts of its work that are left, 1 up to `PARTS`; 0 for
            lasting work.
        slack_s: Time that it can still wait, in seconds. Lasting work is
            ordered by its size instead.
    """

    outlook: Outlook
    priority: int
    parts_left: int
    slack_s: float

    @property
    def key(self) -> tuple[int, int, int, float]:
        """Sort key."""
        return (self.outlook, self.priority, self.parts_left, self.slack_s)


def remaining_s(item: pipeline.Pipeline) -> float:
    """Returns the estimated time of the longest chain that is left."""
    ends: list[float] = []
    longest = 0.0
    for number, stage in enumerate(item.declaration.stages):
        begin = max((ends[before] for before in stage.after), default=0.0)
        left = item.unfinished_count(0, number) > 0
        ends.append(begin + (stage.estimate_ms / 1000 if left else 0.0))
        longest = max(longest, ends[-1])
    return longest


def parts_left(item: pipeline.Pipeline) -> int:
    """Returns the parts of a pipeline's estimated work that are left."""
    left = total = 0.0
    for number, stage in enumerate(item.declaration.stages):
        work = max(1, stage.estimate_ms) * max(1, stage.demand.millicores)
        left += item.unfinished_count(0, number) * work
        total += stage.count * work
    return max(1, math.ceil(PARTS * left / total))


def rank(
    item: pipeline.Pipeline,
    queue: queues.Queue | None,
    unix_ms: float,
) -> Rank:
    """Returns the position of a pipeline.

    Args:
        item: The pipeline.
        queue: Its queue, None if the configuration names it no more.
        unix_ms: Time of day.
    """
    declaration = item.declaration
    if queue is None:
        return Rank(Outlook.LATE, 0, PARTS, 0.0)
    if declaration.lasting:
        # The largest tasks first: what is small still fits between them.
        largest = max(s.demand.millicores for s in declaration.stages)
        return Rank(Outlook.IN_TIME, queue.priority, 0, -largest / 1000)
    if declaration.timed:
        return Rank(Outlook.IN_TIME, queue.priority, PARTS, 0.0)
    objective_s = (
        queue.stretch * declaration.critical_path_ms() + queue.objective_ms
    ) / 1000
    age_s = max(0.0, (unix_ms - declaration.submitted_ms) / 1000)
    left_s = remaining_s(item)
    slack_s = objective_s - age_s - left_s
    hoped_s = age_s + left_s * HOPEFUL
    if age_s + left_s * CAUTIOUS <= objective_s:
        outlook = Outlook.IN_TIME
    elif hoped_s <= objective_s:
        outlook = Outlook.TIGHT
    elif hoped_s <= objective_s * LATE_FACTOR:
        outlook = Outlook.LATE
    else:
        outlook = Outlook.USELESS
    return Rank(outlook, queue.priority, parts_left(item), slack_s)
