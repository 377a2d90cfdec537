"""Declarations of operators: services, teams, quotas and limits.

They are one JSON document that can live in version control. It is checked
whole and put in force whole, under a version that only grows.
"""

import attrs


@attrs.frozen
class Service:
    """A service whose requests the entries take.

    Attributes:
        name: Name of the service.
        idempotent: Whether every request may safely run twice.
    """

    name: str
    idempotent: bool = False


@attrs.frozen
class Team:
    """A team and its share.

    Attributes:
        name: Name of the team.
        weight: Share of a contended resource against the other teams.
        cores: Most cores that its batch tasks may hold, None for no quota.
        memory_mb: Most memory likewise, in megabytes.
        accelerators: Most accelerators likewise.
    """

    name: str
    weight: float = 1.0
    cores: float | None = None
    memory_mb: int | None = None
    accelerators: int | None = None


@attrs.frozen
class Limits:
    """Limits that operators change while the system runs.

    Attributes:
        queue_per_slot: Requests that may wait for each slot of a minion.
        queue_bytes: Bytes of requests that may wait at each minion.
        retry_share: Retries allowed as a share of recent requests.
        class_weights: Shares of the urgency classes, most urgent first.
        batch_share: Most of the cell's cores that batch tasks may hold,
            0 to 1; lowered by a partial shed.
    """

    queue_per_slot: int = 16
    queue_bytes: int = 64 * 1024 * 1024
    retry_share: float = 0.1
    class_weights: tuple[float, ...] = (8.0, 4.0, 2.0, 1.0)
    batch_share: float = 1.0


@attrs.frozen
class Declarations:
    """One whole set of declarations."""

    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: Limits = attrs.field(factory=Limits)


@attrs.frozen
class InForce:
    """Declarations with the version under which they were accepted."""

    version: int = 0
    declarations: Declarations = attrs.field(factory=Declarations)
