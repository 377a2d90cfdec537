"""Order in which a scheduling round considers the waiting tasks.

More urgent classes go first. Within a class starved tasks go first, which have
waited beyond the starvation bound, followed by the teams' tasks in weighted
fair order. In some rounds the longest starved task goes before all others, so
that it is considered even under a permanent overload of urgent work.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import heapq

import attrs

from pomelostair import messages


@attrs.frozen
class WaitingTask:
    """A waiting task.

    Attributes:
        task_id: Id of the task.
        team: Team that its cores are charged to.
        urgency: Its urgency class.
        cores: Cores that it requests.
        waiting_since_s: Monotonic seconds at which it started to wait.
        starved: Whether it has waited beyond the starvation bound.
    """

    task_id: str
    team: str
    urgency: messages.Urgency
    cores: float
    waiting_since_s: float
    starved: bool = False


def order(
    waiting: Iterable[WaitingTask],
    cores_in_use: dict[str, float],
    team_weight: Callable[[str], float],
    starved_first: bool,
) -> Iterator[WaitingTask]:
    """Yields waiting tasks in the order in which they are considered.

    Args:
        waiting: The tasks, each class in the order of arrival.
        cores_in_use: Cores that the running tasks of each team use.
        team_weight: Returns the weight of a team.
        starved_first: Whether the longest starved task goes before all others.
    """
    classes: dict[messages.Urgency, list[WaitingTask]] = {}
    for task in waiting:
        classes.setdefault(task.urgency, []).append(task)
    first = None
    if starved_first:
        first = _longest_starved(classes)
    if first is not None:
        yield first
    for urgency in sorted(classes):
        for task in _in_team_order(classes[urgency], cores_in_use, team_weight):
            if task is not first:
                yield task


def _longest_starved(
    classes: dict[messages.Urgency, list[WaitingTask]],
) -> WaitingTask | None:
    starved = (
        task for tasks in classes.values() for task in tasks if task.starved
    )
    return min(starved, key=lambda task: task.waiting_since_s, default=None)


def _in_team_order(
    waiting: list[WaitingTask],
    cores_in_use: dict[str, float],
    team_weight: Callable[[str], float],
) -> Iterator[WaitingTask]:
    yield from sorted(
        (task for task in waiting if task.starved),
        key=lambda task: task.waiting_since_s,
    )
    teams: dict[str, list[WaitingTask]] = {}
    for task in waiting:
        if task.starved:
            continue
        teams.setdefault(task.team, []).append(task)
    heap = [
        (cores_in_use.get(team, 0.0) / team_weight(team), team, 0)
        for team in sorted(teams)
    ]
    heapq.heapify(heap)
    while heap:
        share, team, index = heap[0]
        task = teams[team][index]
        yield task
        if index + 1 == len(teams[team]):
            heapq.heappop(heap)
        else:
            share += task.cores / team_weight(team)
            heapq.heapreplace(heap, (share, team, index + 1))
