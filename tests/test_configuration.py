import random

import curio
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import pytest

from pomelostair import bus
from pomelostair import clock
from pomelostair import command
from pomelostair import configtable
from pomelostair import configuration
from pomelostair import declaration
from pomelostair import directory
from pomelostair import edits
from pomelostair import kernel
from pomelostair import membership
from pomelostair import messages
from pomelostair import metrics
from pomelostair import settings
from pomelostair import siteorders
from tests import randomfaulttable

NAMES = ("entry-1", "entry-2", "agent-1", "agent-2")


class FakeMembership:
    """Membership whose directory contains both entries from the start."""

    def __init__(self, now):
        self.directory = directory.Directory(now, 2.0)
        for name in NAMES[:2]:
            self.directory.update_entry(
                messages.EntryAddress(name, name, "127.0.0.1:1", 0.0)
            )


class FakeHost:
    """Kernel that returns the plug-ins given to it."""

    def __init__(self, plugins):
        self._plugins = plugins

    def get(self, cls):
        return self._plugins[cls]


class NaiveConfiguration(configuration.Configuration):
    """Applies every configuration that it reads, also an older one."""

    async def apply_if_newer(self, document):
        self._synced = True
        self._in_force = document
        return True

    async def _poll_at_intervals(self):
        while True:
            document = await self._table.read()
            if isinstance(document, declaration.VersionedConfiguration):
                await self.apply_if_newer(document)
            await curio.sleep(configuration.POLL_INTERVAL_S)


def make_configuration(cls, name, network, table, seed=1):
    role = settings.Role.ENTRY if "entry" in name else settings.Role.AGENT
    target = None
    if role is settings.Role.AGENT:
        target = settings.WorkerTarget("127.0.0.1:1", "r")
    process_clock = clock.MonotonicClock()
    recorded_metrics = metrics.Metrics()
    parts = kernel.Parts(
        settings=settings.Settings(
            role=role,
            name=name,
            zone="patan",
            bus="127.0.0.1:1",
            balancer="127.0.0.1:1",
            platform=settings.Platform("127.0.0.1:1"),
            target=None if role is settings.Role.ENTRY else target,
        ),
        clock=process_clock,
        bus=bus.MemoryBus(name, name, recorded_metrics, network),
        table=table,
        objects=None,
        metrics=recorded_metrics,
        random=random.Random(f"{seed}-{name}"),
    )
    return cls(
        parts, FakeHost({membership.Membership: FakeMembership(process_clock)})
    )


class Cluster:
    """Several processes' configurations on one network and faulty table."""

    def __init__(self, cls, table, seed):
        self._cls = cls
        self._seed = seed
        self._table = table
        self.network = bus.MemoryNetwork()
        self.processes = {}
        self.versions_seen = {name: [] for name in NAMES}
        self._tasks = {}

    async def start(self, name):
        process = make_configuration(
            self._cls, name, self.network, self._table, self._seed
        )
        self.processes[name] = process
        self.versions_seen[name].append([])
        self._tasks[name] = [
            await curio.spawn(process.run, daemon=True),
            await curio.spawn(process._parts.bus.run, daemon=True),
        ]

    async def stop(self, name):
        for task in self._tasks.pop(name):
            await task.cancel()
        del self.processes[name]

    def record_versions(self):
        for name, process in self.processes.items():
            self.versions_seen[name][-1].append(process.in_force.version)

    def reverted(self):
        """Returns the processes whose version decreased while they ran."""
        return [
            name
            for name, incarnations in self.versions_seen.items()
            if any(versions != sorted(versions) for versions in incarnations)
        ]


async def run_with_random_faults(cls, seed):
    """Changes the configuration while processes are cut off and restarted.

    Returns:
        The cluster, the accepted versions, and the versions in force after
        all connections were restored.
    """
    generator = random.Random(seed)
    table = randomfaulttable.RandomFaultTable(generator)
    cluster = Cluster(cls, table, seed)
    accepted = [0]
    for name in NAMES:
        await cluster.start(name)
    for number in range(12):
        entry = cluster.processes[generator.choice(NAMES[:2])]
        sentence = command.parse(f"set limit queue_per_slot {100 + number}")
        result = await entry.change(edits.set_limit(sentence))
        if isinstance(result, configtable.Accepted):
            accepted.append(result.after.version)
        name = generator.choice(NAMES)
        match generator.randrange(4):
            case 0:
                cluster.network.cut(name)
            case 1:
                cluster.network.heal(name)
            case 2:
                await cluster.stop(name)
                await cluster.start(name)
        for _ in range(5):
            await curio.sleep(0.001)
            cluster.record_versions()
    for name in NAMES:
        cluster.network.heal(name)
    for _ in range(200):
        await curio.sleep(0.005)
        cluster.record_versions()
        versions_in_force = {
            p.in_force.version for p in cluster.processes.values()
        }
        if (
            len(versions_in_force) == 1
            and min(versions_in_force) >= accepted[-1]
        ):
            break
    return cluster, accepted, versions_in_force


@pytest.fixture(autouse=True)
def _short_intervals(monkeypatch):
    monkeypatch.setattr(configtable, "RESOLVE_RETRY_S", 0)
    monkeypatch.setattr(configuration, "POLL_INTERVAL_S", 0.004)
    monkeypatch.setattr(configuration, "REPORT_INTERVAL_S", 0.004)
    monkeypatch.setattr(configuration, "UNSYNCED_REPORT_INTERVAL_S", 0.002)


class TestConfiguration:
    @given(strategies.integers(0, 2**32))
    @hypothesis_settings(max_examples=15)
    def test_versions_never_decrease_and_reach_every_process(self, seed):
        cluster, accepted, found = curio.run(
            run_with_random_faults, configuration.Configuration, seed
        )
        assert cluster.reverted() == []
        assert accepted == sorted(set(accepted))
        assert len(found) == 1
        assert min(found) >= accepted[-1]

    def test_reverted_versions_are_detected(self):
        broken = 0
        for seed in range(8):
            cluster, _, _ = curio.run(
                run_with_random_faults, NaiveConfiguration, seed
            )
            broken += bool(cluster.reverted())
        assert broken >= 4

    def test_restarted_process_syncs_with_peers_while_the_table_is_down(self):
        async def restart():
            generator = random.Random(1)
            table = randomfaulttable.RandomFaultTable(generator, fault_rate=0)
            cluster = Cluster(configuration.Configuration, table, 1)
            for name in NAMES:
                await cluster.start(name)
            sentence = command.parse("set limit queue_per_slot 9")
            entry = cluster.processes["entry-1"]
            result = await entry.change(edits.set_limit(sentence))
            await curio.sleep(0.1)
            table._fault_rate = 3.1
            for name in NAMES[:3]:
                await cluster.stop(name)
                await cluster.start(name)
            await curio.sleep(0.3)
            versions = {p.in_force.version for p in cluster.processes.values()}
            return result.after.version, versions

        version, versions = curio.run(restart)
        assert versions == {version}

    def test_target_gets_no_work_before_the_configuration_is_synced(self):
        network = bus.MemoryNetwork()
        table = randomfaulttable.RandomFaultTable(
            random.Random(1), fault_rate=0
        )
        process = make_configuration(
            configuration.Configuration, "agent-1", network, table
        )
        host = FakeHost({configuration.Configuration: process})
        orders = siteorders.SiteOrders(process._parts, host)
        assert orders.target_state() is messages.TargetState.DRAINING
        curio.run(process.apply_if_newer, process.in_force)
        assert orders.target_state() is messages.TargetState.READY
