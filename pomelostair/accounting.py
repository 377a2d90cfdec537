"""Accounting of assigned capacity, so that no worker is overcommitted."""

import typing

import attrs

from pomelostair import messages

OBSERVED_HEADROOM_FACTOR = 1.1
# Tolerance for rounding errors of sums of cores.
_CORES_TOLERANCE = 1e-6


@attrs.define
class Account:
    """Capacity of one worker and the sizes that are assigned to it.

    Attributes:
        worker: Name of the worker's agent.
        zone: Its availability zone.
        rack: Its rack.
        capacity: Capacity for tasks.
    """

    worker: str
    zone: str
    rack: str
    capacity: messages.Size
    _assigned: dict[typing.Hashable, messages.Size] = attrs.field(
        factory=dict, init=False
    )
    _cores: float = attrs.field(default=0.0, init=False)
    _memory_mb: int = attrs.field(default=0, init=False)
    _accelerators: int = attrs.field(default=0, init=False)

    @property
    def assigned(self) -> typing.Mapping[typing.Hashable, messages.Size]:
        """Assigned sizes by key."""
        return self._assigned

    @property
    def free(self) -> messages.Size:
        """Unassigned capacity; negative if more is assigned than there is."""
        return messages.Size(
            self.capacity.cores - self._cores,
            self.capacity.memory_mb - self._memory_mb,
            self.capacity.accelerators - self._accelerators,
        )

    def assign(self, key: typing.Hashable, size: messages.Size) -> None:
        """Assigns a size under a key; replaces an earlier one."""
        self.release(key)
        self._assigned[key] = size
        self._add(size, 1)

    def release(self, key: typing.Hashable) -> None:
        """Releases the size that is assigned under a key, if any."""
        size = self._assigned.pop(key, None)
        if size is not None:
            self._add(size, -1)

    def _add(self, size: messages.Size, sign: int) -> None:
        self._cores += sign * size.cores
        self._memory_mb += sign * size.memory_mb
        self._accelerators += sign * size.accelerators


def fits(size: messages.Size, free: messages.Size) -> bool:
    """Returns whether a size fits into the free capacity."""
    return (
        size.cores <= free.cores + _CORES_TOLERANCE
        and size.memory_mb <= free.memory_mb
        and size.accelerators <= free.accelerators
    )


def add(first: messages.Size, second: messages.Size) -> messages.Size:
    """Returns the sum of two sizes."""
    return messages.Size(
        first.cores + second.cores,
        first.memory_mb + second.memory_mb,
        first.accelerators + second.accelerators,
    )


def maximum(first: messages.Size, second: messages.Size) -> messages.Size:
    """Returns the maximum of two sizes, resource by resource."""
    return messages.Size(
        max(first.cores, second.cores),
        max(first.memory_mb, second.memory_mb),
        max(first.accelerators, second.accelerators),
    )


def minimum(first: messages.Size, second: messages.Size) -> messages.Size:
    """Returns the minimum of two sizes, resource by resource."""
    return messages.Size(
        min(first.cores, second.cores),
        min(first.memory_mb, second.memory_mb),
        min(first.accelerators, second.accelerators),
    )


def charged_size(
    reserved: messages.Size,
    used: messages.Size,
    estimate: messages.Size | None = None,
) -> messages.Size:
    """Returns the size that an attempt is charged once its usage is known.

    That is its usage with some headroom, or the estimate for its kind if that
    is larger, but no more than was reserved for it and no less than it uses.

    Args:
        reserved: Size that it was ordered with.
        used: Reported usage.
        estimate: Size that its kind is expected to need, None for unknown.
    """
    needed = messages.Size(
        used.cores * OBSERVED_HEADROOM_FACTOR,
        round(used.memory_mb * OBSERVED_HEADROOM_FACTOR),
        reserved.accelerators,
    )
    if estimate is not None:
        needed = maximum(needed, estimate)
    return maximum(used, minimum(reserved, needed))
