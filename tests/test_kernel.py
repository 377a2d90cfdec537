import json
import random

import curio
import pytest

from pomelostair import bus
from pomelostair import clock
from pomelostair import errors
from pomelostair import kernel
from pomelostair import metrics
from pomelostair import settings
from pomelostair import store

WAIT_S = 20.0


def make_parts(drain_s=5.0, **changes):
    document = {
        "role": "agent",
        "name": "agent-1",
        "zone": "patan",
        "bus": "127.0.0.1:1",
        "balancer": "127.0.0.1:2",
        "platform": {"address": "127.0.0.1:3"},
        "target": {"kind": "worker", "address": "127.0.0.1:4", "rack": "r"},
        "timing": {"drain_s": drain_s},
        **changes,
    }
    parsed = settings.parse(json.dumps(document).encode())
    counted = metrics.Metrics()
    return kernel.Parts(
        settings=parsed,
        clock=clock.MonotonicClock(),
        bus=bus.MemoryBus("agent-1", "a", counted, bus.MemoryNetwork()),
        table=store.MemoryTable(),
        objects=store.MemoryObjects(),
        metrics=counted,
        random=random.Random(1),
    )


class First(kernel.Plugin):
    def __init__(self, parts, host):
        super().__init__(parts, host)
        self.runs = 0
        self.drained = []

    async def run(self):
        self.runs += 1
        if self.runs < 3:
            raise curio.TaskTimeout(0) if self.runs == 1 else ValueError("x")
        await curio.sleep(WAIT_S)

    async def drain(self, timeout_s):
        self.drained.append("first")


class Second(kernel.Plugin):
    requires = (First,)

    async def drain(self, timeout_s):
        self._host.get(First).drained.append("second")


class FailingDrain(kernel.Plugin):
    requires = (First,)

    async def drain(self, timeout_s):
        raise ValueError("x")


class EndlessDrain(kernel.Plugin):
    requires = (First,)

    async def drain(self, timeout_s):
        await curio.sleep(WAIT_S)


@pytest.fixture
def build(monkeypatch):
    def build_kernel(*classes, **kwargs):
        monkeypatch.setitem(
            kernel._registry, settings.Role.AGENT, list(classes)
        )
        return kernel.Kernel(make_parts(**kwargs))

    return build_kernel


def run(built, until=lambda: True):
    async def main():
        running = await curio.spawn(built.run)
        while not until():
            await curio.sleep(0.01)
        await built.stop()
        return await running.join()

    return curio.run(curio.timeout_after, WAIT_S, main)


class TestOrder:
    def test_required_plugins_are_created_first(self, build):
        assert build(Second, First).get(Second)

    @pytest.mark.parametrize("classes", [(Second,), ()])
    def test_missing_plugin_names_the_remedy(self, build, classes):
        with pytest.raises(errors.PluginError, match="requires|register"):
            build(*classes).get(First)


class TestRun:
    def test_crashed_plugin_is_restarted(self, build):
        built = build(First)
        first = built.get(First)
        assert run(built, until=lambda: first.runs == 3)
        shown = built._parts.metrics.exposition()
        assert b'plugin_crashes_total{plugin="First"} 2.0' in shown

    def test_drains_in_reverse_order(self, build):
        built = build(First, Second)
        assert run(built)
        assert built.get(First).drained == ["second", "first"]

    def test_failing_drain_does_not_stop_the_others(self, build):
        built = build(First, FailingDrain)
        assert not run(built)
        assert built.get(First).drained == ["first"]

    def test_drain_that_does_not_end_is_cancelled(self, build):
        built = build(First, EndlessDrain, drain_s=0.1)
        assert not run(built)
        assert built.get(First).drained == ["first"]
