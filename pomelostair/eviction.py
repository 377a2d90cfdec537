"""Order and selection of the tasks to evict."""

from collections.abc import Iterable

import attrs

from pomelostair import accounting
from pomelostair import messages


@attrs.frozen
class Candidate:
    """A running task that may be evicted.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        urgency: Urgency class or priority; larger ones are less urgent.
        survive: Whether it is declared to survive shedding.
        progress: Share of its work that is done, 0 to 1.
        size: Size that its eviction frees.
    """

    task: str
    attempt: int
    urgency: int
    survive: bool
    progress: float
    size: messages.Size


def order(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Returns candidates in the order in which they are evicted.

    The least urgent are evicted first, among them those that need not survive,
    and among those the ones with the least progress.
    """
    return sorted(
        candidates,
        key=lambda c: (-c.urgency, c.survive, c.progress, c.task),
    )


def choose_victims(
    size: messages.Size, free: messages.Size, candidates: Iterable[Candidate]
) -> tuple[Candidate, ...] | None:
    """Returns whom to evict so that a size fits, or None if it can't.

    Args:
        size: Size that has to fit.
        free: Free capacity now; may be negative.
        candidates: Tasks that may be evicted.
    """
    chosen: list[Candidate] = []
    for candidate in order(candidates):
        if accounting.fits(size, free):
            break
        if _frees_missing_resource(candidate.size, size, free):
            chosen.append(candidate)
            free = accounting.add(free, candidate.size)
    if not accounting.fits(size, free):
        return None
    return _drop_unneeded(size, free, chosen)


def _frees_missing_resource(
    freed: messages.Size, size: messages.Size, free: messages.Size
) -> bool:
    return (
        (size.cores > free.cores and freed.cores > 0)
        or (size.memory_mb > free.memory_mb and freed.memory_mb > 0)
        or (size.accelerators > free.accelerators and freed.accelerators > 0)
    )


def _drop_unneeded(
    size: messages.Size, free: messages.Size, chosen: list[Candidate]
) -> tuple[Candidate, ...]:
    """Spares the candidates without which the size fits as well."""
    needed: list[Candidate] = []
    for candidate in reversed(chosen):
        remaining = messages.Size(
            free.cores - candidate.size.cores,
            free.memory_mb - candidate.size.memory_mb,
            free.accelerators - candidate.size.accelerators,
        )
        if accounting.fits(size, remaining):
            free = remaining
        else:
            needed.append(candidate)
    return tuple(reversed(needed))
