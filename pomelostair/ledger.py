"""What each worker holds, so that none is given more than it can hold."""

import typing

import attrs

from pomelostair import messages


@attrs.define
class Account:
    """One worker's capacity and what is assigned to it.

    Attributes:
        worker: Name of the worker's agent.
        zone: Its availability zone.
        rack: Its rack.
        capacity: What tasks may use.
        assigned: Sizes by key of what is assigned.
    """

    worker: str
    zone: str
    rack: str
    capacity: messages.Size
    assigned: dict[typing.Hashable, messages.Size] = attrs.field(factory=dict)

    @property
    def free(self) -> messages.Size:
        """What is not assigned."""
        sizes = self.assigned.values()
        return messages.Size(
            self.capacity.cores - sum(s.cores for s in sizes),
            self.capacity.memory_mb - sum(s.memory_mb for s in sizes),
            self.capacity.accelerators - sum(s.accelerators for s in sizes),
        )


def fits(size: messages.Size, free: messages.Size) -> bool:
    """Returns whether a size fits into what is free."""
    return (
        size.cores <= free.cores
        and size.memory_mb <= free.memory_mb
        and size.accelerators <= free.accelerators
    )
