"""Order in which waiting tasks are considered.

The most urgent class goes first. Within a class the tasks that waited beyond
the starvation bound go first, then the teams take turns by weight. Now and
then the longest starved task goes first of all, so that even an endless flood
of urgent work leaves it a turn.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import heapq

import attrs

from pomelostair import messages


@attrs.frozen
class Waiting:
    """A waiting task.

    Attributes:
        task: Id of the task.
        team: Team that it counts for.
        urgency: Its urgency class.
        cores: Cores that it needs.
        since: Monotonic seconds since which it waits.
        starved: Whether it waited beyond the bound.
    """

    task: str
    team: str
    urgency: messages.Urgency
    cores: float
    since: float
    starved: bool = False


def order(
    waiting: Iterable[Waiting],
    held: dict[str, float],
    weight: Callable[[str], float],
    starved_turn: bool,
) -> Iterator[Waiting]:
    """Yields waiting tasks in the order in which they are considered.

    Args:
        waiting: The tasks, each class in the order of arrival.
        held: Cores that each team's tasks hold now.
        weight: Returns the weight of a team.
        starved_turn: Whether the longest starved task goes first of all.
    """
    classes: dict[messages.Urgency, list[Waiting]] = {}
    for task in waiting:
        classes.setdefault(task.urgency, []).append(task)
    first = None
    if starved_turn:
        first = _longest_starved(classes)
    if first is not None:
        yield first
    for urgency in sorted(classes):
        for task in _by_team(classes[urgency], held, weight):
            if task is not first:
                yield task


def _longest_starved(
    classes: dict[messages.Urgency, list[Waiting]],
) -> Waiting | None:
    starved = (
        task for tasks in classes.values() for task in tasks if task.starved
    )
    return min(starved, key=lambda task: task.since, default=None)


def _by_team(
    waiting: list[Waiting],
    held: dict[str, float],
    weight: Callable[[str], float],
) -> Iterator[Waiting]:
    yield from sorted(
        (task for task in waiting if task.starved), key=lambda task: task.since
    )
    teams: dict[str, list[Waiting]] = {}
    for task in waiting:
        if task.starved:
            continue
        teams.setdefault(task.team, []).append(task)
    heap = [
        (held.get(team, 0.0) / weight(team), team, 0) for team in sorted(teams)
    ]
    heapq.heapify(heap)
    while heap:
        share, team, index = heap[0]
        task = teams[team][index]
        yield task
        if index + 1 == len(teams[team]):
            heapq.heappop(heap)
        else:
            share += task.cores / weight(team)
            heapq.heapreplace(heap, (share, team, index + 1))
