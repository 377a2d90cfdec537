"""Declarations of operators: services, teams, quotas, limits and urgencies.

They are one JSON document that can live in version control. It is checked
whole and put in force whole, under a version that only grows. The orders of
operators (drains and stops) are kept under the same version.
"""

import enum

import attrs
import msgspec

from pomelostair import errors
from pomelostair import messages
from pomelostair import settings

URGENCY_CLASSES = len(messages.Urgency)


def _refuse(key: str, value: object, remedy: str) -> None:
    raise errors.SettingsError(key, value, remedy)


def _check_share(_instance, attribute: attrs.Attribute, value: float) -> None:
    if not 0 <= value <= 1:
        _refuse(attribute.name, value, "use a number from 0 to 1")


def _check_positive(_instance, attribute: attrs.Attribute, value) -> None:
    if value is not None and not 0 < value < float("inf"):
        _refuse(attribute.name, value, "use a number greater than 0")


def _check_not_negative(_instance, attribute: attrs.Attribute, value) -> None:
    if value is not None and not 0 <= value < float("inf"):
        _refuse(attribute.name, value, "use a number of 0 or more")


def _check_weights(_instance, attribute: attrs.Attribute, value) -> None:
    usable = len(value) == URGENCY_CLASSES and all(
        0 < weight < float("inf") for weight in value
    )
    if not usable:
        remedy = f"list {URGENCY_CLASSES} numbers greater than 0"
        _refuse(attribute.name, value, remedy)


def _check_urgency(_instance, attribute: attrs.Attribute, value: str) -> None:
    known = [urgency.name.lower() for urgency in messages.Urgency]
    if value not in known:
        _refuse(attribute.name, value, f"use one of {', '.join(known)}")


def _check_name(_instance, attribute: attrs.Attribute, value: str) -> None:
    plain = value.replace("-", "").replace("_", "").replace(".", "")
    if not plain.isalnum() or not value.isascii():
        remedy = "use letters, digits, '-', '_' and '.'"
        _refuse(attribute.name, value, remedy)


def _name():
    return attrs.field(validator=_check_name)


def _field(default, validator):
    return attrs.field(default=default, validator=validator)


@attrs.frozen
class Service:
    """A service whose requests the entries take.

    Attributes:
        name: Name of the service.
        idempotent: Whether every request may safely run twice.
        survive: Whether its requests yield last when the site stops.
    """

    name: str = _name()
    idempotent: bool = False
    survive: bool = False


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

    name: str = _name()
    weight: float = _field(1.0, _check_positive)
    cores: float | None = _field(None, _check_not_negative)
    memory_mb: int | None = _field(None, _check_not_negative)
    accelerators: int | None = _field(None, _check_not_negative)


@attrs.frozen
class KindUrgency:
    """Urgency class that all tasks of one kind get, whatever a job declares.

    Attributes:
        kind: Kind of work.
        urgency: Name of the urgency class.
    """

    kind: str = _name()
    urgency: str = attrs.field(validator=_check_urgency)


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

    queue_per_slot: int = _field(16, _check_not_negative)
    queue_bytes: int = _field(64 * 1024 * 1024, _check_not_negative)
    retry_share: float = _field(0.1, _check_share)
    class_weights: tuple[float, ...] = _field(
        (8.0, 4.0, 2.0, 1.0), _check_weights
    )
    batch_share: float = _field(1.0, _check_share)


@attrs.frozen
class Declarations:
    """One whole set of declarations."""

    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: Limits = attrs.field(factory=Limits)
    urgencies: tuple[KindUrgency, ...] = ()

    def __attrs_post_init__(self):
        """Checks that no name is declared twice."""
        _check_unique("services", [service.name for service in self.services])
        _check_unique("teams", [team.name for team in self.teams])
        _check_unique("urgencies", [entry.kind for entry in self.urgencies])

    def urgency_of(
        self, kind: str, declared: messages.Urgency
    ) -> messages.Urgency:
        """Returns the urgency class of a kind of work.

        Args:
            kind: Kind of work.
            declared: Class that the job declares, used without an override.
        """
        for entry in self.urgencies:
            if entry.kind == kind:
                return messages.Urgency[entry.urgency.upper()]
        return declared


def _check_unique(key: str, names: list[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            _refuse(key, name, "declare each name once")
        seen.add(name)


class TargetKind(enum.Enum):
    """What a drain names."""

    WORKER = "worker"
    MINION = "minion"


@attrs.frozen
class Drain:
    """A target that gets no new work until an operator ends the drain.

    Attributes:
        kind: Kind of the target.
        target: Name of its agent.
        within_s: Time in which its work is to leave.
    """

    kind: TargetKind
    target: str
    within_s: float


@attrs.frozen
class Step:
    """One step of a stop: what yields, and from when.

    Attributes:
        urgency: Urgency class that yields.
        survive: Whether the step is for work that is declared to survive.
        offset_s: Seconds after the order at which the step begins.
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
        within_s: Seconds after the order by which it is to be done.
        keep_share: Share of the site's cores that tasks may keep; 0 stops
            the site.
        steps: What yields when, in the order in which it yields.
    """

    token: str
    ordered_at: float
    within_s: float
    keep_share: float = 0.0
    steps: tuple[Step, ...] = ()


@attrs.frozen
class Orders:
    """Orders of operators that stand until they are ended.

    Attributes:
        drains: Drained targets.
        stop: The stop or shed of the site, if one stands.
    """

    drains: tuple[Drain, ...] = ()
    stop: Stop | None = None

    def drain_of(self, target: str) -> Drain | None:
        """Returns the drain of the target beside an agent, if one stands."""
        return next((d for d in self.drains if d.target == target), None)


@attrs.frozen
class InForce:
    """Declarations and orders with the version of their acceptance.

    Attributes:
        version: Number of the accepted change; it only grows.
        declarations: The declarations.
        orders: Standing orders.
        tokens: Tokens of the latest accepted changes, the newest last.
    """

    version: int = 0
    declarations: Declarations = attrs.field(factory=Declarations)
    orders: Orders = attrs.field(factory=Orders)
    tokens: tuple[str, ...] = ()


@attrs.frozen
class Difference:
    """One line of the difference between two sets of declarations.

    Attributes:
        key: What differs, such as `teams/kantipur` or `limits/batch_share`.
        before: Its value before as JSON, empty for none.
        after: Its value after as JSON, empty for none.
    """

    key: str
    before: str
    after: str


def parse(data: bytes) -> Declarations:
    """Checks and returns declarations.

    Args:
        data: A JSON document.

    Raises:
        SettingsError: Names the first bad key, its value and the remedy.
    """
    return settings.structure(data, Declarations)


def difference(
    before: Declarations, after: Declarations
) -> tuple[Difference, ...]:
    """Returns what differs between two sets of declarations, by key."""
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
