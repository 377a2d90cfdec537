"""Reads the platform's settings file into the product's settings."""

import attrs

from pomelostair import errors
from pomelostair import memorybudget
from pomelostair import settings as settings_module

# Offsets in the port range that the platform reserves for the product.
_BUS_PORT_OFFSET = 0
_METRICS_PORT_OFFSET = 1
STORE_TIMEOUT_MS = 2000
DEFAULT_CONTACT_MS = 3000
# Longest lease under which a worker runs attempts. A shorter lease restarts
# the attempts of a lost worker sooner, but the lease must outlast a pause or a
# restart of an agent.
MAX_WORKER_LEASE_MS = 5000
# How far the leader's grant extends beyond the lease: the time for which an
# agent can do without a leader.
GRANT_MARGIN_MS = 2500
# Share of bounds.graceS that a graceful stop may take; the rest allows for
# scheduling delays of the process.
DRAIN_SHARE = 0.85
# Ended submissions are retained for this time in addition to the guaranteed
# bounds.status_s.
RETENTION_MARGIN_S = 30


@attrs.frozen
class SettingsFile:
    """Content of the file: texts by dotted key.

    Attributes:
        path: Path of the file, for error messages.
        values: Text by key.
    """

    path: str
    values: dict[str, str]

    def text(self, key: str) -> str:
        """Returns the text of a required key.

        Raises:
            SettingsError: The key is missing or empty.
        """
        value = self.values.get(key, "")
        if not value:
            raise errors.SettingsError(
                key, value or None, f"add a line {key}=VALUE to {self.path}"
            )
        return value

    def number(self, key: str, default: float) -> float:
        """Returns a number, or the default if the key is missing or empty.

        Raises:
            SettingsError: The text is not a number.
        """
        value = self.values.get(key, "")
        if not value:
            return default
        try:
            return float(value)
        except ValueError as error:
            raise errors.SettingsError(key, value, "write a number") from error

    def first_port(self, key: str) -> int:
        """Returns the first port of a range "FIRST,LAST".

        Raises:
            SettingsError: The key is missing or does not begin with a port.
        """
        value = self.text(key)
        first = value.split(",")[0]
        if not (first.isascii() and first.isdecimal()):
            raise errors.SettingsError(key, value, "write it as FIRST,LAST")
        return int(first)


def parse(path: str, text: str) -> SettingsFile:
    """Parses the text of a settings file; unknown keys are not an error.

    Raises:
        SettingsError: A line has no "=".
    """
    values = {}
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if not stripped or stripped.startswith("#"):
            continue
        key, separator, value = stripped.partition("=")
        if not separator:
            raise errors.SettingsError(
                f"line {number}", stripped, "write it as KEY=VALUE"
            )
        values[key.strip()] = value.strip()
    return SettingsFile(path, values)


def load(path: str) -> settings_module.Settings:
    """Reads the settings file.

    Raises:
        SettingsError: The file is unreadable or invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            "$", path, f"name a readable file: {error}"
        ) from error
    return to_settings(parse(path, text))


def to_settings(file: SettingsFile) -> settings_module.Settings:
    """Converts the platform's settings to the product's.

    Raises:
        SettingsError: A key is missing or has an invalid value.
    """
    serves = file.text("serves").split(",")
    if "edge" in serves:
        role = settings_module.Role.PIPELINE_ENTRY
    elif "side" in serves:
        role = settings_module.Role.PIPELINE_AGENT
    else:
        raise errors.SettingsError("serves", serves, "include edge or side")
    ip = file.text("ip")
    first_port = file.first_port("portRange")
    drain_s = file.number("bounds.graceS", 6) * DRAIN_SHARE
    seeds = [s for s in file.values.get("seeds", "").split(",") if s]
    return settings_module.Settings(
        role=role,
        name=file.text("nodeName"),
        zone=file.text("zone"),
        bus=f"{ip}:{first_port + _BUS_PORT_OFFSET}",
        # The platform has no load balancer in front of the product's own HTTP
        # interface, but the setting is required.
        balancer=f"{ip}:{first_port + _METRICS_PORT_OFFSET}",
        platform=settings_module.Platform(
            file.text("platform.address"),
            STORE_TIMEOUT_MS,
            file.number("platform.writesPerS", 0)
            or settings_module.DEFAULT_WRITES_PER_S,
        ),
        metrics=f"{ip}:{first_port + _METRICS_PORT_OFFSET}",
        timing=settings_module.Timing(drain_s=drain_s),
        pipelines=_to_pipelines(file, role, seeds, first_port, drain_s),
        memory_mb=file.number("limits.memoryMb", 0)
        or memorybudget.DEFAULT_MEMORY_MB,
        max_fds=int(file.number("limits.maxFds", 0))
        or memorybudget.DEFAULT_MAX_FDS,
    )


def _to_pipelines(
    file: SettingsFile,
    role: settings_module.Role,
    seeds: list[str],
    first_port: int,
    drain_s: float,
) -> settings_module.Pipelines:
    is_entry = role is settings_module.Role.PIPELINE_ENTRY
    hold_ms = min(
        MAX_WORKER_LEASE_MS,
        int(file.number("bounds.holdMaxMs", MAX_WORKER_LEASE_MS)),
    )
    retention_s = file.number("bounds.status_s", 120) + RETENTION_MARGIN_S
    return settings_module.Pipelines(
        callers=file.text("listen.front") if is_entry else None,
        readiness=file.text("listen.ready") if is_entry else None,
        workers=None if is_entry else file.text("listen.control"),
        # All machines use the same ports, so the bus of a seed has this
        # machine's bus port.
        seeds=tuple(
            f"tcp://{seed.rpartition(':')[0]}:{first_port + _BUS_PORT_OFFSET}"
            for seed in seeds
        ),
        advisor=file.values.get("advice") or None if is_entry else None,
        cores=file.number("limits.cpuShare", 1)
        * file.number("limits.cores", 1),
        hold_ms=hold_ms,
        grant_ms=hold_ms + GRANT_MARGIN_MS,
        retention_s=retention_s,
        shutdown_s=drain_s,
        evacuate_ms=int(file.number("bounds.evacuateMs", 0)),
        reconnect_ms=int(file.number("bounds.contactMs", 0))
        or DEFAULT_CONTACT_MS,
        remote_factor=max(1.0, file.number("bounds.remoteFactor", 1)),
        cold_workers="bounds.coldOverrun" in file.values,
    )
