"""Settings of a daemon: JSON, checked whole before anything starts."""

import enum
import ipaddress
import math
import typing

import attrs
import cattrs
from cattrs import errors as cattrs_errors
import msgspec

from pomelostair import errors

MAX_PORT = 65535
MAX_NAME_CHARACTERS = 64
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

_T = typing.TypeVar("_T")


class Role(enum.Enum):
    """What a daemon does."""

    ENTRY = "entry"
    AGENT = "agent"
    PIPELINE_ENTRY = "pipeline-entry"
    PIPELINE_AGENT = "pipeline-agent"


def _check_endpoint(_instance, attribute: attrs.Attribute, value: str):
    host, separator, port = value.rpartition(":")
    remedy = "write it as IP:PORT, for example 127.0.0.1:8000"
    usable = separator and port.isascii() and port.isdecimal()
    if not usable or int(port[:6]) > MAX_PORT:
        raise errors.SettingsError(attribute.name, value, remedy)
    try:
        address = ipaddress.ip_address(host)
    except ValueError as error:
        raise errors.SettingsError(attribute.name, value, remedy) from error
    if address.is_unspecified:
        remedy = "name the one address at which others reach this process"
        raise errors.SettingsError(attribute.name, value, remedy)


def _check_fixed_endpoint(instance, attribute: attrs.Attribute, value: str):
    _check_endpoint(instance, attribute, value)
    if int(value.rpartition(":")[2]) == 0:
        remedy = "name the port; others must know it"
        raise errors.SettingsError(attribute.name, value, remedy)


def _check_name(_instance, attribute: attrs.Attribute, value: str):
    plain = value.replace("-", "").replace("_", "").replace(".", "")
    usable = plain.isalnum() and value.isascii()
    if not usable or len(value) > MAX_NAME_CHARACTERS:
        remedy = (
            f"use 1 up to {MAX_NAME_CHARACTERS} letters, digits, "
            "'-', '_' and '.'"
        )
        raise errors.SettingsError(attribute.name, value, remedy)


def _check_positive(_instance, attribute: attrs.Attribute, value: float):
    if not 0 < value < math.inf:
        raise errors.SettingsError(
            attribute.name, value, "use a number greater than 0"
        )


def _check_not_negative(_instance, attribute: attrs.Attribute, value: int):
    if value < 0:
        raise errors.SettingsError(
            attribute.name, value, "use 0 or a greater number"
        )


def _check_level(_instance, attribute: attrs.Attribute, value: str):
    if value not in LOG_LEVELS:
        raise errors.SettingsError(
            attribute.name, value, f"use one of {', '.join(LOG_LEVELS)}"
        )


def _endpoint(**kwargs):
    return attrs.field(validator=_check_fixed_endpoint, **kwargs)


def _name(**kwargs):
    return attrs.field(validator=_check_name, **kwargs)


def _positive(default):
    return attrs.field(default=default, validator=_check_positive)


@attrs.frozen
class MinionTarget:
    """The minion beside an agent.

    Attributes:
        address: Its HTTP address.
        service: The service it serves.
        slots: Most requests that it runs at once.
        connections: Most connections that it takes.
        status_path: Path at which it tells in JSON how many requests are
            `running`; empty if it can't.
        longest_run_ms: Longest time that it works on one request, also one
            whose connection is gone.
    """

    address: str = _endpoint()
    service: str = _name()
    slots: int = _positive(8)
    connections: int = _positive(64)
    status_path: str = ""
    longest_run_ms: int = _positive(30_000)

    def __attrs_post_init__(self):
        """Checks what spans several keys."""
        if self.connections < self.slots:
            remedy = f"give the {self.slots} slots a connection each"
            raise errors.SettingsError("connections", self.connections, remedy)


@attrs.frozen
class WorkerTarget:
    """The worker beside an agent.

    Attributes:
        address: Its HTTP address.
        rack: Its rack.
        cores: Processor cores that tasks may use.
        memory_mb: Memory that tasks may use, in megabytes.
        accelerators: Accelerators that tasks may use.
    """

    address: str = _endpoint()
    rack: str = _name()
    cores: float = _positive(32.0)
    memory_mb: int = _positive(125_000)
    accelerators: int = attrs.field(default=0, validator=_check_not_negative)


Target = MinionTarget | WorkerTarget


@attrs.frozen
class Platform:
    """Where the platform's table and object store answer.

    Attributes:
        address: HTTP address of both.
        timeout_ms: Longest wait for one operation.
    """

    address: str = _endpoint()
    timeout_ms: int = _positive(2000)


@attrs.frozen
class Timing:
    """Intervals and leases of the control protocols.

    Attributes:
        announce_ms: Interval of a target's announcements.
        silent_ms: Silence after which a target gets no new work.
        join_ms: Interval at which a process asks the balancer for entries.
        cell_lease_ms: Length of the cell lease.
        campaign_ms: Mean interval at which an agent looks at the cell lease.
        task_lease_ms: Length of the lease under which a worker runs a task.
        lease_margin_ms: Added to a lease before its lapse is certain.
        commit_window_ms: Longest time that an event waits for a commit.
        store_grace_s: Longest table outage that running work survives.
        drain_s: Longest graceful stop of one process.
    """

    announce_ms: int = _positive(500)
    silent_ms: int = _positive(2000)
    join_ms: int = _positive(2000)
    cell_lease_ms: int = _positive(3000)
    campaign_ms: int = _positive(1000)
    task_lease_ms: int = _positive(5000)
    lease_margin_ms: int = _positive(1000)
    commit_window_ms: int = _positive(50)
    store_grace_s: float = _positive(600.0)
    drain_s: float = _positive(30.0)

    def __attrs_post_init__(self):
        """Checks what spans several keys."""
        self._require_longer("silent_ms", "announce_ms")
        self._require_longer("task_lease_ms", "announce_ms")
        self._require_longer("cell_lease_ms", "commit_window_ms")

    def _require_longer(self, key: str, other: str) -> None:
        value = getattr(self, key)
        if value <= getattr(self, other):
            remedy = f"use more than {other}, which is {getattr(self, other)}"
            raise errors.SettingsError(key, value, remedy)


@attrs.frozen
class Pipelines:
    """Settings of the processes that run pipelines.

    Attributes:
        callers: HTTP address for callers, at an entry.
        readiness: HTTP address at which an entry tells whether it is ready.
        workers: HTTP address at which workers announce themselves.
        seeds: Bus URLs of entries to begin with; some may be stale.
        advisor: HTTP address of the service that tells which workers may run
            a stage, for queues that need it.
        cores: Processor time that the host gives this process, in cores.
        hold_ms: Length of the lease under which a worker runs attempts.
        grant_ms: How far ahead the leader lets an agent extend that lease.
        retention_s: Time for which an ended pipeline is kept.
        shutdown_s: Longest graceful stop.
    """

    callers: str | None = attrs.field(
        default=None, validator=attrs.validators.optional(_check_endpoint)
    )
    readiness: str | None = attrs.field(
        default=None, validator=attrs.validators.optional(_check_endpoint)
    )
    workers: str | None = attrs.field(
        default=None, validator=attrs.validators.optional(_check_endpoint)
    )
    seeds: tuple[str, ...] = ()
    advisor: str | None = attrs.field(
        default=None, validator=attrs.validators.optional(_check_endpoint)
    )
    cores: float = _positive(1.0)
    hold_ms: int = _positive(5000)
    grant_ms: int = _positive(7500)
    retention_s: float = _positive(180.0)
    shutdown_s: float = _positive(5.0)

    def __attrs_post_init__(self):
        """Checks what spans several keys."""
        if self.grant_ms < self.hold_ms:
            remedy = f"use at least hold_ms, which is {self.hold_ms}"
            raise errors.SettingsError("grant_ms", self.grant_ms, remedy)


@attrs.frozen
class Settings:
    """Settings of one daemon.

    Attributes:
        role: What the daemon does.
        name: Unique name of the process.
        zone: Its availability zone.
        bus: Address at which it receives messages of other processes; its IP
            number is also that of the connections to them.
        bus_public: Address at which the others reach `bus`, where address
            translation stands between; None for `bus` itself.
        balancer: HTTP address of the platform's balancer before the entries.
        platform: Where the table and the object store answer.
        http: HTTP address of an entry.
        metrics: HTTP address at which an agent shows its metrics, None for
            none; an entry shows them at its `http` address.
        cell: Cell that an agent belongs to.
        target: What stands beside an agent.
        timing: Intervals and leases.
        log_level: Lowest level of log lines.
        pipelines: Settings of the roles that run pipelines.
    """

    role: Role
    name: str = _name()
    zone: str = _name()
    bus: str = _endpoint()
    balancer: str = _endpoint()
    platform: Platform
    http: str = attrs.field(default="127.0.0.1:0", validator=_check_endpoint)
    metrics: str | None = attrs.field(
        default=None, validator=attrs.validators.optional(_check_endpoint)
    )
    bus_public: str | None = attrs.field(
        default=None, validator=attrs.validators.optional(_check_fixed_endpoint)
    )
    cell: str = _name(default="main")
    target: Target | None = None
    timing: Timing = attrs.field(factory=Timing)
    log_level: str = attrs.field(default="INFO", validator=_check_level)
    pipelines: Pipelines | None = None

    def __attrs_post_init__(self):
        """Checks what spans several keys."""
        if self.role is Role.AGENT and self.target is None:
            remedy = "give an agent the minion or worker that it stands beside"
            raise errors.SettingsError("target", None, remedy)
        for_pipelines = self.role in (Role.PIPELINE_ENTRY, Role.PIPELINE_AGENT)
        if for_pipelines != (self.pipelines is not None):
            remedy = "give it to pipeline-entry and pipeline-agent, and only so"
            raise errors.SettingsError("pipelines", self.pipelines, remedy)
        if self.role is Role.ENTRY and self.target is not None:
            remedy = "remove it; an entry stands beside no target"
            raise errors.SettingsError("target", self.target, remedy)


_TARGETS = {"minion": MinionTarget, "worker": WorkerTarget}
_PRIMITIVES = (str, int, float, bool)


def _strict(value: object, kind: type) -> object:
    wanted = (int, float) if kind is float else kind
    if not isinstance(value, wanted) or (
        isinstance(value, bool) and kind is not bool
    ):
        raise TypeError(f"use a value of type {kind.__name__}")
    return value


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in _PRIMITIVES:
        converter.register_structure_hook(kind, _strict)
    converter.register_structure_hook(
        Target | None, lambda value, _kind: _structure_target(converter, value)
    )
    return converter


def _structure_target(
    converter: cattrs.Converter, value: object
) -> Target | None:
    if value is None:
        return None
    if not isinstance(value, dict):
        raise TypeError("use an object with the key kind")
    fields = dict(value)
    kind = fields.pop("kind", None)
    cls = _TARGETS.get(kind) if isinstance(kind, str) else None
    if cls is None:
        known = " or ".join(_TARGETS)
        raise errors.SettingsError("kind", kind, f"use {known}")
    return converter.structure(fields, cls)


_CONVERTER = _converter()


def parse(data: bytes) -> Settings:
    """Checks and returns settings.

    Args:
        data: A JSON document.

    Raises:
        SettingsError: Names the first bad key, its value and the remedy.
    """
    return structure(data, Settings)


def structure(data: bytes, cls: type[_T]) -> _T:
    """Checks a JSON document against an attrs class and returns it.

    Args:
        data: A JSON document.
        cls: Class of the whole document; unknown keys are refused.

    Raises:
        SettingsError: Names the first bad key, its value and the remedy.
    """
    try:
        document = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        text = f"write one JSON document: {error}"
        raise errors.SettingsError("$", data[:40], text) from error
    if not isinstance(document, dict):
        text = "write one JSON object with the settings as its keys"
        raise errors.SettingsError("$", document, text)
    try:
        return _CONVERTER.structure(document, cls)
    except (
        cattrs_errors.BaseValidationError,
        errors.SettingsError,
        ValueError,
        TypeError,
    ) as error:
        raise _explain(error, "$", document) from error


def load(path: str) -> Settings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: The file can't be read or used.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        text = f"name a readable file: {error.strerror}"
        raise errors.SettingsError("$", path, text) from error
    return parse(data)


def _explain(
    error: BaseException, path: str, value: object
) -> errors.SettingsError:
    match error:
        case errors.SettingsError():
            return errors.SettingsError(
                f"{_parent(path, error.key)}", error.value, error.remedy
            )
        case cattrs_errors.ForbiddenExtraKeysError():
            key = sorted(error.extra_fields)[0]
            found = value.get(key) if isinstance(value, dict) else None
            known = sorted(field.name for field in attrs.fields(error.cl))
            text = f"remove this key; the known ones are {', '.join(known)}"
            return errors.SettingsError(f"{path}.{key}", found, text)
        case cattrs_errors.BaseValidationError():
            return _explain_group(error, path, value)
        case KeyError():
            missing = error.args[0]
            text = "add this key; it has no default"
            return errors.SettingsError(f"{path}.{missing}", None, text)
        case _:
            return errors.SettingsError(path, value, str(error))


def _explain_group(
    error: cattrs_errors.BaseValidationError, path: str, value: object
) -> errors.SettingsError:
    inner = error.exceptions[0]
    notes = typing.cast(list, getattr(inner, "__notes__", []))
    for note in notes:
        name = getattr(note, "name", None)
        if name is None:
            continue
        if isinstance(inner, KeyError):
            return _explain(inner, path, value)
        found = value.get(name) if isinstance(value, dict) else None
        return _explain(inner, f"{path}.{name}", found)
    return _explain(inner, path, value)


def _parent(path: str, key: str) -> str:
    return path if path.endswith(f".{key}") else f"{path}.{key}"
