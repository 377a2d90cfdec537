"""Which tasks yield first."""

from collections.abc import Iterable

import attrs

from pomelostair import ledger
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


def choose(
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
        if ledger.fits(size, free):
            break
        if _helps(candidate.size, size, free):
            chosen.append(candidate)
            free = ledger.add(free, candidate.size)
    if not ledger.fits(size, free):
        return None
    return _without_spare(size, free, chosen)


def _helps(
    held: messages.Size, size: messages.Size, free: messages.Size
) -> bool:
    return (
        (size.cores > free.cores and held.cores > 0)
        or (size.memory_mb > free.memory_mb and held.memory_mb > 0)
        or (size.accelerators > free.accelerators and held.accelerators > 0)
    )


def _without_spare(
    size: messages.Size, free: messages.Size, chosen: list[Candidate]
) -> tuple[Candidate, ...]:
    kept: list[Candidate] = []
    for candidate in reversed(chosen):
        left = messages.Size(
            free.cores - candidate.size.cores,
            free.memory_mb - candidate.size.memory_mb,
            free.accelerators - candidate.size.accelerators,
        )
        if ledger.fits(size, left):
            free = left
        else:
            kept.append(candidate)
    return tuple(reversed(kept))
