"""The platform's settings file, translated into the product's settings."""

import attrs

from pomelostair import errors
from pomelostair import settings as settings_module

# Ports of the range that the platform leaves free, counted from its first.
_BUS_PORT = 0
_METRICS_PORT = 1
STORE_TIMEOUT_MS = 2000
# Longest lease under which a worker runs work. A shorter one restarts the work
# of a lost worker sooner; it must outlast a pause or restart of an agent.
HOLD_MS = 5000
# How far the leader's grant reaches beyond the lease: the time in which an
# agent may be without a leader.
GRANT_BEYOND_MS = 2500
# Part of graceS that a stop may take; the rest is for the processor to get
# round to it.
STOP_SHARE = 0.85
# Time beyond statusS, the promise, for which ended submissions are kept.
RETENTION_SLACK_S = 30


@attrs.frozen
class Lines:
    """The file: dotted keys with their texts.

    Args:
        path: Path of the file, for error messages.
        values: Text by key.
    """

    path: str
    values: dict[str, str]

    def text(self, key: str) -> str:
        """Returns a text that must be there.

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
        """Returns a number.

        Raises:
            SettingsError: The text is no number.
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
            SettingsError: The text is no such range.
        """
        value = self.text(key)
        first = value.split(",")[0]
        if not (first.isascii() and first.isdecimal()):
            raise errors.SettingsError(key, value, "write it as FIRST,LAST")
        return int(first)


def parse(path: str, text: str) -> Lines:
    """Returns the lines of a file; unknown keys are kept and ignored.

    Raises:
        SettingsError: A line has no key.
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
    return Lines(path, values)


def load(path: str) -> settings_module.Settings:
    """Reads the settings file.

    Raises:
        SettingsError: It can't be read or used.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            "$", path, f"name a readable file: {error}"
        ) from error
    return settings(parse(path, text))


def settings(lines: Lines) -> settings_module.Settings:
    """Translates the platform's settings.

    Raises:
        SettingsError: A key is missing or has an unusable value.
    """
    serves = lines.text("serves").split(",")
    if "edge" in serves:
        role = settings_module.Role.PIPELINE_ENTRY
    elif "side" in serves:
        role = settings_module.Role.PIPELINE_AGENT
    else:
        raise errors.SettingsError(
            "serves", serves, "let the role serve edge or side"
        )
    ip = lines.text("ip")
    first = lines.first_port("portRange")
    drain_s = lines.number("bounds.graceS", 6) * STOP_SHARE
    seeds = [s for s in lines.values.get("seeds", "").split(",") if s]
    return settings_module.Settings(
        role=role,
        name=lines.text("nodeName"),
        zone=lines.text("zone"),
        bus=f"{ip}:{first + _BUS_PORT}",
        # There is no balancer before the product's own HTTP interface here.
        balancer=f"{ip}:{first + _METRICS_PORT}",
        platform=settings_module.Platform(
            lines.text("platform.address"), STORE_TIMEOUT_MS
        ),
        metrics=f"{ip}:{first + _METRICS_PORT}",
        timing=settings_module.Timing(drain_s=drain_s),
        pipelines=_pipelines(lines, role, seeds, first, drain_s),
    )


def _pipelines(
    lines: Lines,
    role: settings_module.Role,
    seeds: list[str],
    first_port: int,
    drain_s: float,
) -> settings_module.Pipelines:
    is_entry = role is settings_module.Role.PIPELINE_ENTRY
    hold_ms = min(HOLD_MS, int(lines.number("bounds.holdMaxMs", HOLD_MS)))
    kept_s = lines.number("bounds.status_s", 120) + RETENTION_SLACK_S
    return settings_module.Pipelines(
        callers=lines.text("listen.front") if is_entry else None,
        readiness=lines.text("listen.ready") if is_entry else None,
        workers=None if is_entry else lines.text("listen.control"),
        # Every machine has the same ports, so that a seed's address tells
        # where its bus is.
        seeds=tuple(
            f"tcp://{seed.rpartition(':')[0]}:{first_port + _BUS_PORT}"
            for seed in seeds
        ),
        advisor=lines.values.get("advice") or None if is_entry else None,
        cores=lines.number("limits.cpuShare", 1)
        * lines.number("limits.cores", 1),
        hold_ms=hold_ms,
        grant_ms=hold_ms + GRANT_BEYOND_MS,
        retention_s=kept_s,
        shutdown_s=drain_s,
    )
