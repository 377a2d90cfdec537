"""Which tasks yield first."""

from collections.abc import Iterable

import attrs

from pomelostair import accounting
from pomelostair import messages


@attrs.frozen
class Candidate:
    """A running task that may have to yield.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        urgency: Urgency class.
        survive: Whether it is declared to survive shedding.
        progress: Share of its work that is done, 0 to 1.
        size: What it holds.
    """

    task: str
    attempt: int
    urgency: messages.Urgency
    survive: bool
    progress: float
    size: messages.Size


def order(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Returns candidates in the order in which they yield.

    The least urgent yield first; among them those that need not survive,
    then those that have done the least.
    """
    return sorted(
        candidates,
        key=lambda c: (-c.urgency, c.survive, c.progress, c.task),
    )


def choose_victims(
    size: messages.Size, free: messages.Size, candidates: Iterable[Candidate]
) -> tuple[Candidate, ...] | None:
    """Returns who yields so that a size fits, or None if it can't.

    Args:
        size: What has to fit.
        free: What is free now; may be below zero.
        candidates: Who may yield.
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
