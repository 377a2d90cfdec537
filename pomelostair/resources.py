"""Amounts of the resources of a worker, as whole numbers that add exactly."""

import attrs


@attrs.frozen
class Resources:
    """Resources that a worker has or a task requests.

    Attributes:
        millicores: Thousandths of a processor core.
        memory_mb: Memory in megabytes.
        accelerators: Accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Returns the sum."""
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Returns the difference; an amount may be negative."""
        return Resources(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def covers(self, other: "Resources") -> bool:
        """Returns whether each amount is at least that of `other`."""
        return (
            self.millicores >= other.millicores
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )
