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
    """A membership that knows both entries from the start."""

    def __init__(self, now):
        self.directory = directory.Directory(now, 2.0)
        for name in NAMES[:2]:
            self.directory.update_entry(
                messages.EntryAddress(name, name, "127.0.0.1:1", 0.0)
            )


class FakeHost:
    """Finds the plug-ins that a test made."""

    def __init__(self, found):
        self._found = found

    def get(self, cls):
        return self._found[cls]


class NaiveConfiguration(configuration.Configuration):
    """Believes whatever it read last."""

    async def offer(self, document):
        self._known = True
        self._in_force = document
        return True

    async def _poll_at_intervals(self):
        while True:
            document = await self._table.read()
            if isinstance(document, declaration.InForce):
                await self.offer(document)
            await curio.sleep(configuration.POLL_S)


def make(cls, name, network, table, seed=1):
    role = settings.Role.ENTRY if "entry" in name else settings.Role.AGENT
    target = None
    if role is settings.Role.AGENT:
        target = settings.WorkerTarget("127.0.0.1:1", "r")
    now = clock.MonotonicClock()
    counted = metrics.Metrics()
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
        clock=now,
        bus=bus.MemoryBus(name, name, counted, network),
        table=table,
        objects=None,
        metrics=counted,
        random=random.Random(f"{seed}-{name}"),
    )
    return cls(parts, FakeHost({membership.Membership: FakeMembership(now)}))


class Cluster:
    """Processes in one program, over a table under faults."""

    def __init__(self, cls, table, seed):
        self._cls = cls
        self._seed = seed
        self._table = table
        self.network = bus.MemoryNetwork()
        self.processes = {}
        self.seen = {name: [] for name in NAMES}
        self._tasks = {}

    async def start(self, name):
        process = make(self._cls, name, self.network, self._table, self._seed)
        self.processes[name] = process
        self.seen[name].append([])
        self._tasks[name] = [
            await curio.spawn(process.run, daemon=True),
            await curio.spawn(process._parts.bus.run, daemon=True),
        ]

    async def stop(self, name):
        for task in self._tasks.pop(name):
            await task.cancel()
        del self.processes[name]

    def look(self):
        for name, process in self.processes.items():
            self.seen[name][-1].append(process.in_force.version)

    def reverted(self):
        """Returns the processes whose version went down."""
        return [
            name
            for name, lives in self.seen.items()
            if any(life != sorted(life) for life in lives)
        ]


async def churn(cls, seed):
    """Changes, cuts, stops and starts; returns the cluster and versions."""
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
            cluster.look()
    for name in NAMES:
        cluster.network.heal(name)
    for _ in range(200):
        await curio.sleep(0.005)
        cluster.look()
        found = {p.in_force.version for p in cluster.processes.values()}
        if len(found) == 1 and min(found) >= accepted[-1]:
            break
    return cluster, accepted, found


@pytest.fixture(autouse=True)
def _short_intervals(monkeypatch):
    monkeypatch.setattr(configtable, "SETTLE_PAUSE_S", 0)
    monkeypatch.setattr(configuration, "POLL_S", 0.004)
    monkeypatch.setattr(configuration, "REPORT_S", 0.004)
    monkeypatch.setattr(configuration, "FIRST_REPORT_S", 0.002)


class TestConfiguration:
    @given(strategies.integers(0, 2**32))
    @hypothesis_settings(max_examples=15)
    def test_versions_never_revert_and_reach_everyone(self, seed):
        cluster, accepted, found = curio.run(
            churn, configuration.Configuration, seed
        )
        assert cluster.reverted() == []
        assert accepted == sorted(set(accepted))
        assert len(found) == 1
        assert min(found) >= accepted[-1]

    def test_the_checker_catches_a_naive_version(self):
        broken = 0
        for seed in range(8):
            cluster, _, _ = curio.run(churn, NaiveConfiguration, seed)
            broken += bool(cluster.reverted())
        assert broken >= 4

    def test_restarted_process_learns_from_peers_while_the_table_is_down(self):
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

    def test_target_gets_no_work_before_the_orders_are_known(self):
        network = bus.MemoryNetwork()
        table = randomfaulttable.RandomFaultTable(
            random.Random(1), fault_rate=0
        )
        process = make(configuration.Configuration, "agent-1", network, table)
        host = FakeHost({configuration.Configuration: process})
        orders = siteorders.SiteOrders(process._parts, host)
        assert orders.state() is messages.TargetState.DRAINING
        curio.run(process.offer, process.in_force)
        assert orders.state() is messages.TargetState.READY
