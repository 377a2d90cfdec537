"""Declarations of operators: services, teams, quotas, limits and urgencies.

They are one JSON document that can be kept in version control. It is validated
and applied as a whole, under a version that only increases. The orders of
operators (drains and stops) are stored under the same version.
"""

import enum

import attrs
import msgspec

from pomelostair import errors
from pomelostair import messages
from pomelostair import settings

URGENCY_CLASSES = len(messages.Urgency)


def _raise_invalid(key: str, value: object, remedy: str) -> None:
    raise errors.SettingsError(key, value, remedy)


def _check_share(_instance, attribute: attrs.Attribute, value: float) -> None:
    if not 0 <= value <= 1:
        _raise_invalid(attribute.name, value, "use a number from 0 to 1")


def _check_positive(_instance, attribute: attrs.Attribute, value) -> None:
    if value is not None and not 0 < value < float("inf"):
        _raise_invalid(attribute.name, value, "use a number greater than 0")


def _check_not_negative(_instance, attribute: attrs.Attribute, value) -> None:
    if value is not None and not 0 <= value < float("inf"):
        _raise_invalid(
            attribute.name, value, "use a number that is 0 or greater"
        )


def _check_weights(_instance, attribute: attrs.Attribute, value) -> None:
    usable = len(value) == URGENCY_CLASSES and all(
        0 < weight < float("inf") for weight in value
    )
    if not usable:
        remedy = f"list {URGENCY_CLASSES} numbers greater than 0"
        _raise_invalid(attribute.name, value, remedy)


def _check_urgency(_instance, attribute: attrs.Attribute, value: str) -> None:
    known = [urgency.name.lower() for urgency in messages.Urgency]
    if value not in known:
        _raise_invalid(attribute.name, value, f"use one of {', '.join(known)}")


def _check_name(_instance, attribute: attrs.Attribute, value: str) -> None:
    without_punctuation = (
        value.replace("-", "").replace("_", "").replace(".", "")
    )
    if not without_punctuation.isalnum() or not value.isascii():
        remedy = "use letters, digits, '-', '_' and '.'"
        _raise_invalid(attribute.name, value, remedy)


def _name_field():
    return attrs.field(validator=_check_name)


def _validated_field(default, validator):
    return attrs.field(default=default, validator=validator)


@attrs.frozen
class Service:
    """A service whose requests the entries accept.

    Attributes:
        name: Name of the service.
        idempotent: Whether every request can safely be executed twice.
        survive: Whether its requests are stopped last when the site stops.
    """

    name: str = _name_field()
    idempotent: bool = False
    survive: bool = False


@attrs.frozen
class Team:
    """A team with its weight and quotas.

    Attributes:
        name: Name of the team.
        weight: Share of a contended resource relative to the other teams.
        cores: Quota of cores for its batch tasks, None for no quota.
        memory_mb: Quota of memory in megabytes, None for no quota.
        accelerators: Quota of accelerators, None for no quota.
    """

    name: str = _name_field()
    weight: float = _validated_field(1.0, _check_positive)
    cores: float | None = _validated_field(None, _check_not_negative)
    memory_mb: int | None = _validated_field(None, _check_not_negative)
    accelerators: int | None = _validated_field(None, _check_not_negative)


@attrs.frozen
class KindUrgency:
    """Urgency class of a kind of work; overrides what a job declares.

    Attributes:
        kind: Kind of work.
        urgency: Name of the urgency class.
    """

    kind: str = _name_field()
    urgency: str = attrs.field(validator=_check_urgency)


@attrs.frozen
class Limits:
    """Limits that operators can change at run time.

    Attributes:
        queue_per_slot: Maximum number of queued requests per slot of a minion.
        queue_bytes: Maximum size of the requests queued for one minion, in
            bytes.
        retry_share: Maximum number of retries as a share of recent requests.
        class_weights: Weights of the urgency classes, most urgent first.
        batch_share: Maximum share of the cell's cores that batch tasks may
            use, 0 to 1; a partial shed lowers it.
    """

    queue_per_slot: int = _validated_field(16, _check_not_negative)
    queue_bytes: int = _validated_field(64 * 1024 * 1024, _check_not_negative)
    retry_share: float = _validated_field(0.1, _check_share)
    class_weights: tuple[float, ...] = _validated_field(
        (8.0, 4.0, 2.0, 1.0), _check_weights
    )
    batch_share: float = _validated_field(1.0, _check_share)


@attrs.frozen
class Declarations:
    """One whole set of declarations."""

    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: Limits = attrs.field(factory=Limits)
    urgencies: tuple[KindUrgency, ...] = ()

    def __attrs_post_init__(self):
        """Checks that names are unique."""
        _check_unique("services", [service.name for service in self.services])
        _check_unique("teams", [team.name for team in self.teams])
        _check_unique("urgencies", [entry.kind for entry in self.urgencies])

    def urgency_of(
        self, kind: str, declared: messages.Urgency
    ) -> messages.Urgency:
        """Returns the urgency class of a kind of work.

        Args:
            kind: Kind of work.
            declared: Class that the job declares, returned if no override is
                declared for this kind.
        """
        for entry in self.urgencies:
            if entry.kind == kind:
                return messages.Urgency[entry.urgency.upper()]
        return declared


def _check_unique(key: str, names: list[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            _raise_invalid(key, name, "declare each name once")
        seen.add(name)


class TargetKind(enum.Enum):
    """Kind of a target that can be drained."""

    WORKER = "worker"
    MINION = "minion"


@attrs.frozen
class Drain:
    """An order to give a target no new work until an operator undrains it.

    Attributes:
        kind: Kind of the target.
        target: Name of its agent.
        within_s: Time limit in which its current work must finish or be moved.
    """

    kind: TargetKind
    target: str
    within_s: float


@attrs.frozen
class Step:
    """One step of a stop: which work is stopped, and when.

    Attributes:
        urgency: Urgency class of the work that is stopped.
        survive: Whether the step applies to work that is declared to survive.
        offset_s: Seconds from the order to the start of the step.
    """

    urgency: messages.Urgency
    survive: bool
    offset_s: float


@attrs.frozen
class Stop:
    """An order to stop the site, or to shed a part of its work.

    Attributes:
        token: Unique id of the order.
        ordered_at: Unix time of the order, in seconds.
        within_s: Time limit of the order, in seconds after `ordered_at`.
        keep_share: Share of the site's cores that tasks may keep; 0 stops
            the site.
        steps: Steps of the stop, in the order of their execution.
    """

    token: str
    ordered_at: float
    within_s: float
    keep_share: float = 0.0
    steps: tuple[Step, ...] = ()


@attrs.frozen
class Orders:
    """Orders of operators; each is in effect until an operator ends it.

    Attributes:
        drains: Drains in effect.
        stop: The stop or shed of the site, None if there is none.
    """

    drains: tuple[Drain, ...] = ()
    stop: Stop | None = None

    def drain_of(self, target: str) -> Drain | None:
        """Returns the drain of a target, None if there is none.

        Args:
            target: Name of the target's agent.
        """
        return next((d for d in self.drains if d.target == target), None)


@attrs.frozen
class VersionedConfiguration:
    """The whole configuration: declarations and orders with their version.

    Attributes:
        version: Number of the accepted change; it only increases.
        declarations: The declarations.
        orders: Orders in effect.
        tokens: Tokens of the latest accepted changes, the newest last; they
            show whether a write with a lost answer was applied.
    """

    version: int = 0
    declarations: Declarations = attrs.field(factory=Declarations)
    orders: Orders = attrs.field(factory=Orders)
    tokens: tuple[str, ...] = ()


@attrs.frozen
class Difference:
    """One difference between two sets of declarations.

    Attributes:
        key: Path of the entry, such as `teams/kantipur` or
            `limits/batch_share`.
        before: Its previous value as JSON, empty if it was added.
        after: Its new value as JSON, empty if it was removed.
    """

    key: str
    before: str
    after: str


def parse(data: bytes) -> Declarations:
    """Decodes and validates declarations.

    Args:
        data: A JSON document.

    Raises:
        SettingsError: The document is invalid; the error names the first
            invalid key, its value and the remedy.
    """
    return settings.structure(data, Declarations)


def difference(
    before: Declarations, after: Declarations
) -> tuple[Difference, ...]:
    """Returns the differences of two sets of declarations, sorted by key."""
    old, new = _flatten(before), _flatten(after)
    return tuple(
        Difference(key, old.get(key, ""), new.get(key, ""))
        for key in sorted(old.keys() | new.keys())
        if old.get(key) != new.get(key)
    )


def _flatten(declarations: Declarations) -> dict[str, str]:
    flat = {f"services/{s.name}": _encode(s) for s in declarations.services}
    flat |= {f"teams/{t.name}": _encode(t) for t in declarations.teams}
    flat |= {f"urgencies/{u.kind}": u.urgency for u in declarations.urgencies}
    limits = attrs.asdict(declarations.limits, recurse=False)
    flat |= {f"limits/{name}": _encode(v) for name, v in limits.items()}
    return flat


def _encode(value: object) -> str:
    return msgspec.json.encode(value).decode()
