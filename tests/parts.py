"""The parts of one process on a memory network, to test single plug-ins."""

import random

from pomelostair import bus
from pomelostair import clock
from pomelostair import kernel
from pomelostair import metrics
from pomelostair import settings
from pomelostair import store

METRICS = metrics.Metrics()


class Host:
    """Stands in for the kernel: creates each plug-in on first request."""

    def __init__(self, parts):
        self._parts = parts
        self._plugins = {}

    def get(self, cls):
        if cls not in self._plugins:
            self._plugins[cls] = cls(self._parts, self)
        return self._plugins[cls]


def make_process(network, name, table=None, **changes):
    """Returns the host and parts of one process on a memory network."""
    fields = {
        "role": settings.Role.ENTRY,
        "name": name,
        "zone": "patan",
        "bus": "127.0.0.1:1",
        "balancer": "127.0.0.1:1",
        "platform": settings.Platform("127.0.0.1:1"),
        **changes,
    }
    parts = kernel.Parts(
        settings=settings.Settings(**fields),
        clock=clock.MonotonicClock(),
        bus=bus.MemoryBus(name, f"memory:{name}", METRICS, network),
        table=table or store.MemoryTable(),
        objects=store.MemoryObjects(),
        metrics=METRICS,
        random=random.Random(1),
    )
    return Host(parts), parts
