"""Settings of a daemon: a JSON document, validated before startup."""

import enum
import ipaddress
import math
import typing

import attrs
import cattrs
from cattrs import errors as cattrs_errors
import msgspec

from pomelostair import codec
from pomelostair import endpoints
from pomelostair import errors
from pomelostair import memorybudget

MAX_NAME_CHARACTERS = 64
# Of a table that names no limit.
DEFAULT_WRITES_PER_S = 500.0
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

_T = typing.TypeVar("_T")


class Role(enum.Enum):
    """Role of a daemon."""

    ENTRY = "entry"
    AGENT = "agent"
    PIPELINE_ENTRY = "pipeline-entry"
    PIPELINE_AGENT = "pipeline-agent"


def _check_endpoint(_instance, attribute: attrs.Attribute, value: str):
    try:
        host, _ = endpoints.split(value)
    except ValueError as error:
        remedy = "use the form IP:PORT, for example 127.0.0.1:8000"
        raise errors.SettingsError(attribute.name, value, remedy) from error
    if ipaddress.ip_address(host).is_unspecified:
        remedy = "use the IP address at which other processes reach this one"
        raise errors.SettingsError(attribute.name, value, remedy)


def _check_fixed_endpoint(instance, attribute: attrs.Attribute, value: str):
    _check_endpoint(instance, attribute, value)
    if not endpoints.is_reachable(value):
        remedy = "use a port other than 0; other processes connect to it"
        raise errors.SettingsError(attribute.name, value, remedy)


def _check_name(_instance, attribute: attrs.Attribute, value: str):
    without_punctuation = (
        value.replace("-", "").replace("_", "").replace(".", "")
    )
    usable = without_punctuation.isalnum() and value.isascii()
    if not usable or len(value) > MAX_NAME_CHARACTERS:
        remedy = (
            f"use 1 to {MAX_NAME_CHARACTERS} letters, digits, '-', '_' and '.'"
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
            attribute.name, value, "use a number that is 0 or greater"
        )


def _check_log_level(_instance, attribute: attrs.Attribute, value: str):
    if value not in LOG_LEVELS:
        raise errors.SettingsError(
            attribute.name, value, f"use one of {', '.join(LOG_LEVELS)}"
        )


def _endpoint_field(**kwargs):
    return attrs.field(validator=_check_fixed_endpoint, **kwargs)


def _name_field(**kwargs):
    return attrs.field(validator=_check_name, **kwargs)


def _positive_field(default):
    return attrs.field(default=default, validator=_check_positive)


@attrs.frozen
class MinionTarget:
    """The minion that an agent manages.

    Attributes:
        address: Its HTTP address.
        service: Name of the service that it provides.
        slots: Maximum number of requests that it processes concurrently.
        connections: Maximum number of connections that it accepts.
        status_path: Path at which it reports the number of `running` requests
            as JSON; empty if it has no such endpoint.
        longest_run_ms: Longest time that it processes one request, including
            a request whose connection was closed.
    """

    address: str = _endpoint_field()
    service: str = _name_field()
    slots: int = _positive_field(8)
    connections: int = _positive_field(64)
    status_path: str = ""
    longest_run_ms: int = _positive_field(30_000)

    def __attrs_post_init__(self):
        """Checks constraints between keys."""
        if self.connections < self.slots:
            remedy = f"use at least slots, which is {self.slots}"
            raise errors.SettingsError("connections", self.connections, remedy)


@attrs.frozen
class WorkerTarget:
    """The worker that an agent manages.

    Attributes:
        address: Its HTTP address.
        rack: Rack that it is in.
        cores: Processor cores that tasks may use.
        memory_mb: Memory that tasks may use, in megabytes.
        accelerators: Accelerators that tasks may use.
    """

    address: str = _endpoint_field()
    rack: str = _name_field()
    cores: float = _positive_field(32.0)
    memory_mb: int = _positive_field(125_000)
    accelerators: int = attrs.field(default=0, validator=_check_not_negative)


Target = MinionTarget | WorkerTarget


@attrs.frozen
class Platform:
    """Address of the platform's table and object store.

    Attributes:
        address: HTTP address of both.
        timeout_ms: Longest timeout of one operation.
        writes_per_s: Transactions per second that all processes together may
            send to the table.
    """

    address: str = _endpoint_field()
    timeout_ms: int = _positive_field(2000)
    writes_per_s: float = _positive_field(DEFAULT_WRITES_PER_S)


@attrs.frozen
class Timing:
    """Intervals, leases and time limits of the control protocols.

    Attributes:
        announce_ms: Interval between a target's announcements.
        silent_ms: Time without an announcement after which a target gets no
            new work.
        join_ms: Interval at which a process asks the balancer for entries.
        cell_lease_ms: Duration of the lease that the leader of a cell holds.
        campaign_ms: Mean interval at which an agent checks whether the cell
            lease is free.
        task_lease_ms: Duration of the lease under which a worker runs a task.
        lease_margin_ms: Time that is added to a lease before it is treated as
            expired.
        commit_window_ms: Longest time that an event waits to be committed
            together with others.
        store_grace_s: Longest outage of the table during which running work
            continues.
        drain_s: Time limit of one process's graceful shutdown.
    """

    announce_ms: int = _positive_field(500)
    silent_ms: int = _positive_field(2000)
    join_ms: int = _positive_field(2000)
    cell_lease_ms: int = _positive_field(3000)
    campaign_ms: int = _positive_field(1000)
    task_lease_ms: int = _positive_field(5000)
    lease_margin_ms: int = _positive_field(1000)
    commit_window_ms: int = _positive_field(50)
    store_grace_s: float = _positive_field(600.0)
    drain_s: float = _positive_field(30.0)

    def __attrs_post_init__(self):
        """Checks constraints between keys."""
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
        readiness: HTTP address of an entry's readiness check.
        workers: HTTP address at which workers announce themselves.
        seeds: Bus URLs of entries that are contacted first; some may be
            outdated.
        advisor: HTTP address of the service that decides which workers may
            run a stage, for queues that require it.
        cores: CPU time available to this process on its host, in cores.
        hold_ms: Duration of the lease under which a worker runs attempts.
        grant_ms: Time from now up to which the leader allows an agent to
            extend that lease.
        retention_s: Time for which an ended pipeline is retained.
        shutdown_s: Time limit of a graceful shutdown.
        evacuate_ms: Time in which the evacuation of an availability zone must
            take effect; 0 if the operator's rows are not to be read.
        reconnect_ms: Time in which changes in the store must be seen after
            connections have gone silent.
        remote_factor: Factor on the run time of a task far from the rack of its
            data, and of a gang that prefers a common rack on several ones; 1 if
            that makes no difference.
        cold_workers: Whether work avoids workers that report to be cold.
        learn_speeds: Whether work avoids workers that prove to be slow.
        learn_run_times: Whether the estimates of a queue are corrected by the
            run times of its ended tasks.
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
    cores: float = _positive_field(1.0)
    hold_ms: int = _positive_field(5000)
    grant_ms: int = _positive_field(7500)
    retention_s: float = _positive_field(180.0)
    shutdown_s: float = _positive_field(5.0)
    evacuate_ms: int = attrs.field(default=0, validator=attrs.validators.ge(0))
    reconnect_ms: int = _positive_field(3000)
    remote_factor: float = _positive_field(1.0)
    cold_workers: bool = False
    learn_speeds: bool = False
    learn_run_times: bool = False

    def __attrs_post_init__(self):
        """Checks constraints between keys."""
        if self.grant_ms < self.hold_ms:
            remedy = f"use at least hold_ms, which is {self.hold_ms}"
            raise errors.SettingsError("grant_ms", self.grant_ms, remedy)
        if self.remote_factor < 1:
            raise errors.SettingsError(
                "remote_factor", self.remote_factor, "use at least 1"
            )


@attrs.frozen
class Settings:
    """Settings of one daemon.

    Attributes:
        role: Role of the daemon.
        name: Unique name of the process.
        zone: Its availability zone.
        bus: Address at which it receives messages from other processes; its
            outgoing connections use the same IP address.
        bus_public: Address at which other processes reach `bus` through
            address translation; None if they use `bus` itself.
        balancer: HTTP address of the platform's load balancer in front of the
            entries.
        platform: Address of the table and the object store.
        http: HTTP address of an entry.
        metrics: HTTP address at which an agent exposes its metrics, None for
            none; an entry exposes them at its `http` address.
        cell: Cell that an agent belongs to.
        target: The minion or worker that an agent manages.
        timing: Intervals, leases and time limits.
        log_level: Lowest level that is logged.
        pipelines: Settings of the roles that run pipelines.
        memory_mb: Memory that the process may take, in megabytes; what it
            holds for callers is a share of it.
        max_fds: Number of descriptors that the process may open.
    """

    role: Role
    name: str = _name_field()
    zone: str = _name_field()
    bus: str = _endpoint_field()
    balancer: str = _endpoint_field()
    platform: Platform
    http: str = attrs.field(default="127.0.0.1:0", validator=_check_endpoint)
    metrics: str | None = attrs.field(
        default=None, validator=attrs.validators.optional(_check_endpoint)
    )
    bus_public: str | None = attrs.field(
        default=None, validator=attrs.validators.optional(_check_fixed_endpoint)
    )
    cell: str = _name_field(default="main")
    target: Target | None = None
    timing: Timing = attrs.field(factory=Timing)
    log_level: str = attrs.field(default="INFO", validator=_check_log_level)
    pipelines: Pipelines | None = None
    memory_mb: float = _positive_field(float(memorybudget.DEFAULT_MEMORY_MB))
    max_fds: int = _positive_field(memorybudget.DEFAULT_MAX_FDS)

    def __attrs_post_init__(self):
        """Checks constraints between keys."""
        if self.role is Role.AGENT and self.target is None:
            remedy = "set the minion or worker that this agent manages"
            raise errors.SettingsError("target", None, remedy)
        runs_pipelines = self.role in (Role.PIPELINE_ENTRY, Role.PIPELINE_AGENT)
        if runs_pipelines != (self.pipelines is not None):
            remedy = "set it for pipeline-entry and pipeline-agent only"
            raise errors.SettingsError("pipelines", self.pipelines, remedy)
        if self.role is Role.ENTRY and self.target is not None:
            remedy = "remove it; an entry manages no target"
            raise errors.SettingsError("target", self.target, remedy)


_TARGET_CLASSES = {"minion": MinionTarget, "worker": WorkerTarget}
_PRIMITIVES = (str, int, float, bool)


def _structure_primitive(value: object, kind: type) -> object:
    accepted_types = (int, float) if kind is float else kind
    if not isinstance(value, accepted_types) or (
        isinstance(value, bool) and kind is not bool
    ):
        raise TypeError(f"use a value of type {kind.__name__}")
    return value


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in _PRIMITIVES:
        converter.register_structure_hook(kind, _structure_primitive)
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
    cls = _TARGET_CLASSES.get(kind) if isinstance(kind, str) else None
    if cls is None:
        known = " or ".join(_TARGET_CLASSES)
        raise errors.SettingsError("kind", kind, f"use {known}")
    return converter.structure(fields, cls)


_CONVERTER = _converter()


def parse(data: bytes) -> Settings:
    """Decodes and validates settings.

    Args:
        data: A JSON document.

    Raises:
        SettingsError: The document is invalid; the error names the first
            invalid key, its value and the remedy.
    """
    return structure(data, Settings)


def structure(data: bytes, cls: type[_T]) -> _T:
    """Decodes a JSON document and validates it against an attrs class.

    Args:
        data: A JSON document.
        cls: Class of the document; unknown keys are rejected.

    Raises:
        SettingsError: The document is invalid; the error names the first
            invalid key, its value and the remedy.
    """
    try:
        document = codec.decode_json(data, object)
    except msgspec.MsgspecError as error:
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
        raise _to_settings_error(error, "$", document) from error


def load(path: str) -> Settings:
    """Reads and validates a settings file.

    Raises:
        SettingsError: The file can't be read or its content is invalid.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        text = f"name a readable file: {error.strerror}"
        raise errors.SettingsError("$", path, text) from error
    return parse(data)


def _to_settings_error(
    error: BaseException, path: str, value: object
) -> errors.SettingsError:
    match error:
        case errors.SettingsError():
            return errors.SettingsError(
                f"{_join_key(path, error.key)}", error.value, error.remedy
            )
        case cattrs_errors.ForbiddenExtraKeysError():
            key = sorted(error.extra_fields)[0]
            extra_value = value.get(key) if isinstance(value, dict) else None
            known = sorted(field.name for field in attrs.fields(error.cl))
            text = f"remove this key; the known ones are {', '.join(known)}"
            return errors.SettingsError(f"{path}.{key}", extra_value, text)
        case cattrs_errors.BaseValidationError():
            return _group_to_settings_error(error, path, value)
        case KeyError():
            missing = error.args[0]
            text = "add this key; it has no default"
            return errors.SettingsError(f"{path}.{missing}", None, text)
        case _:
            return errors.SettingsError(path, value, str(error))


def _group_to_settings_error(
    error: cattrs_errors.BaseValidationError, path: str, value: object
) -> errors.SettingsError:
    cause = error.exceptions[0]
    notes = typing.cast(list, getattr(cause, "__notes__", []))
    for note in notes:
        name = getattr(note, "name", None)
        if name is None:
            continue
        if isinstance(cause, KeyError):
            return _to_settings_error(cause, path, value)
        field_value = value.get(name) if isinstance(value, dict) else None
        return _to_settings_error(cause, f"{path}.{name}", field_value)
    return _to_settings_error(cause, path, value)


def _join_key(path: str, key: str) -> str:
    return path if path.endswith(f".{key}") else f"{path}.{key}"
