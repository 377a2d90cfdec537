"""The composition root: creates the shared parts and loads the plug-ins."""

import importlib
import random

import pynng

from pomelostair import bus
from pomelostair import clock
from pomelostair import errors
from pomelostair import httpclient
from pomelostair import kernel
from pomelostair import memorybudget
from pomelostair import metrics as metrics_module
from pomelostair import settings as settings_module
from pomelostair.platform import port as platform_port
from pomelostair.platform import store as platform_store

# Modules of the plug-ins of each role. Those of other roles are not imported,
# since imports take most of the time that a process needs to start.
PLUGIN_MODULES = {
    settings_module.Role.ENTRY: (
        "commandapi",
        "configuration",
        "dispatch",
        "idempotency",
        "ingress",
        "jobapi",
        "membership",
        "queries",
        "siteorders",
        "stops",
    ),
    settings_module.Role.AGENT: (
        "announcer",
        "configuration",
        "executor",
        "exporter",
        "gate",
        "leader",
        "membership",
        "siteorders",
    ),
    settings_module.Role.PIPELINE_ENTRY: (
        "entrypeers",
        "exporter",
        "pipelineapi",
        "pipelineleader",
        "platform.front",
    ),
    settings_module.Role.PIPELINE_AGENT: (
        "exporter",
        "pipelineagent",
        "platform.control",
    ),
}
PLATFORM_CONNECTIONS = 16
# Long polls have connections of their own, so that they do not block others:
# all that an entry relays at once (`relaytable.MAX_RELAYED_WATCHES`), and its
# own.
PLATFORM_WATCH_CONNECTIONS = 64 + 8


def build(settings: settings_module.Settings) -> kernel.Kernel:
    """Returns the kernel of one daemon, with its plug-ins created.

    Raises:
        StartError: The process can't listen on an address of the settings.
    """
    for name in PLUGIN_MODULES[settings.role]:
        importlib.import_module(f"pomelostair.{name}")
    metrics = metrics_module.Metrics()
    bounds = memorybudget.derive(settings.memory_mb, settings.max_fds)
    message_bus = _listen(settings, metrics, bounds)
    parts = _shared_parts(settings, metrics, message_bus, bounds)
    metrics.gauge("callers_memory_bytes", lambda: bounds.callers.reserved_bytes)
    metrics.gauge("bus_sent_bytes", lambda: parts.bus.sent_bytes)
    metrics.gauge("bus_received_bytes", lambda: parts.bus.received_bytes)
    try:
        return kernel.Kernel(parts)
    except OSError as error:
        address = settings.http
        if settings.role is settings_module.Role.AGENT:
            address = str(settings.metrics)
        elif settings.pipelines is not None:
            address = f"{settings.pipelines}, {settings.metrics}"
        text = f"{address}: set a free address of this host: {error}"
        raise errors.StartError(text) from error


def _shared_parts(
    settings: settings_module.Settings,
    metrics: metrics_module.Metrics,
    message_bus: bus.Bus,
    bounds: memorybudget.Bounds,
) -> kernel.Parts:
    """Returns the settings and services that all plug-ins share."""
    address = settings.platform.address
    timeout_s = settings.platform.timeout_ms / 1000
    client = httpclient.Client(address, PLATFORM_CONNECTIONS)
    watch_client = httpclient.Client(address, PLATFORM_WATCH_CONNECTIONS)
    return kernel.Parts(
        settings=settings,
        clock=clock.MonotonicClock(),
        bus=message_bus,
        table=platform_store.RowsTable(
            client, watch_client, metrics, timeout_s
        ),
        objects=platform_store.BlobObjects(client, timeout_s),
        metrics=metrics,
        random=random.Random(),
        port=platform_port.PlatformPort(),
        bounds=bounds,
    )


def _listen(
    settings: settings_module.Settings,
    metrics: metrics_module.Metrics,
    bounds: memorybudget.Bounds,
) -> bus.NngBus:
    limits = bus.Limits()
    if settings.pipelines is not None:
        limits = bus.Limits(bus.MAX_PIPELINE_MESSAGE_BYTES, bounds.max_peers)
    try:
        public_address = settings.bus_public or settings.bus
        return bus.NngBus(
            settings.name,
            f"tcp://{public_address}",
            metrics,
            f"tcp://{settings.bus}",
            limits,
        )
    except pynng.NNGException as error:
        text = f"set bus to a free address of this host: {error}"
        raise errors.StartError(f"{settings.bus}: {text}") from error
