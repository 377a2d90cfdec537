"""Resource amounts, as integers so that sums and differences are exact."""

import attrs

from pomelostair import codec


@attrs.frozen
class Resources:
    """Resources that a worker provides or a task requests.

    Differences may be negative, but no amount from another program is.

    Attributes:
        millicores: Processor time in thousandths of a core.
        memory_mb: Memory in megabytes.
        accelerators: Number of accelerators.
    """

    millicores: codec.Count = 0
    memory_mb: codec.Count = 0
    accelerators: codec.Count = 0

    def plus(self, other: "Resources") -> "Resources":
        """Returns the sum of both amounts."""
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Returns the difference, which may have negative amounts."""
        return Resources(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def covers(self, other: "Resources") -> bool:
        """Returns whether no amount is less than that of `other`."""
        return (
            self.millicores >= other.millicores
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )
