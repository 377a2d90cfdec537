"""Test harness: the leaders and workers of one cell in one process.

The loops of the leaders run in real time, but all leases are measured on a
manual clock, so that results don't depend on the speed of the machine.
"""

import collections
import random
import time

import attrs
import curio

from pomelostair import bus
from pomelostair import celllog
from pomelostair import clock as clock_module
from pomelostair import configuration
from pomelostair import declaration
from pomelostair import directory
from pomelostair import kernel
from pomelostair import leader
from pomelostair import membership
from pomelostair import messages
from pomelostair import settings
from pomelostair import siteorders
from pomelostair import store
from tests import faultystore
from tests import loghistory

TIMING = settings.Timing(
    announce_ms=5,
    silent_ms=50,
    cell_lease_ms=60,
    campaign_ms=4,
    task_lease_ms=100,
    lease_margin_ms=10,
    commit_window_ms=1,
    store_grace_s=1.0,
)
SIZE = messages.Size(32.0, 125_000, 0)


class FakeMetrics:
    """Counts events in memory; records and gauges are ignored."""

    def __init__(self):
        self.counts = collections.Counter()

    def count(self, name, amount=1, **labels):
        self.counts[(name, *labels.values())] += amount

    def record(self, name, value, **labels):
        pass

    def gauge(self, name, read):
        pass


class FreezableBus(bus.MemoryBus):
    """A bus that neither sends nor receives while its process is frozen."""

    frozen = False

    async def run(self):
        while True:
            data = await self._inbox.get()
            await self._wait_while_frozen()
            await self.receive(data)

    async def _wait_while_frozen(self):
        while self.frozen:
            await curio.sleep(0.001)

    async def _transmit(self, address, data):
        await self._wait_while_frozen()
        return await super()._transmit(address, data)


@attrs.define
class FakePluginHost:
    """Stands in for the kernel and for the plug-ins that a leader requires."""

    directory: directory.Directory
    in_force: declaration.VersionedConfiguration = attrs.field(
        factory=declaration.VersionedConfiguration
    )
    known: bool = True
    orders: siteorders.SiteOrders | None = None

    def get(self, cls):
        if cls is siteorders.SiteOrders:
            return self.orders
        assert cls in (membership.Membership, configuration.Configuration)
        return self


class Member:
    """One agent of the cell that campaigns for its lease."""

    def __init__(self, cell, name):
        self.name = name
        self.cell = cell
        self.table = faultystore.FaultyTable(cell.table)
        self.objects = faultystore.FaultyObjects(cell.objects)
        self.metrics = FakeMetrics()
        self.host = FakePluginHost(directory.Directory(cell.clock, 2.0))
        self.bus = FreezableBus(name, name, self.metrics, cell.network)
        address = "127.0.0.1:1"
        parts = kernel.Parts(
            settings=settings.Settings(
                role=settings.Role.AGENT,
                name=name,
                zone="patan",
                bus=address,
                balancer=address,
                platform=settings.Platform(address),
                target=settings.MinionTarget(address, "clapper-desk"),
                timing=cell.timing,
            ),
            clock=cell.clock,
            bus=self.bus,
            table=self.table,
            objects=self.objects,
            metrics=self.metrics,
            random=random.Random(name),
        )
        self.host.orders = siteorders.SiteOrders(parts, self.host)
        self.leader = leader.Leader(parts, self.host)
        self._tasks = []

    async def start(self):
        for run in (self.bus.run, self.leader.run):
            self._tasks.append(await curio.spawn(run, daemon=True))
        return self

    async def stop(self):
        """Stops the agent as the kernel does, with the table reachable."""
        for task in reversed(self._tasks):
            await task.cancel()

    async def kill(self):
        """Cuts the agent off from table and network, then ends its tasks."""
        self.table.down = True
        self.cell.network.cut(self.name)
        for task in self._tasks:
            await task.cancel()

    def freeze(self, frozen=True):
        """Suspends bus and table of the agent, or resumes them."""
        self.bus.frozen = self.table.frozen = frozen

    @property
    def is_leading(self):
        return self.leader._leading and self.leader._cell_log.is_held


class CellHarness:
    """Clock, network, table and object store of a cell, and a client."""

    def __init__(self, timing=TIMING):
        self.timing = timing
        self.clock = clock_module.ManualClock(start=1000.0)
        self.network = bus.MemoryNetwork()
        self.table = store.MemoryTable()
        self.objects = store.MemoryObjects()
        self.client = bus.MemoryBus(
            "client", "client", FakeMetrics(), self.network
        )
        self.members = []

    async def member(self, name):
        if not self.members:
            await curio.spawn(self.client.run, daemon=True)
        member = Member(self, name)
        self.members.append(member)
        return await member.start()

    async def standby(self, name):
        """Starts a member and waits until it has read the lease row."""
        member = await self.member(name)
        campaign = member.leader._campaign
        assert await eventually(lambda: campaign.monitor.latest is not None)
        return member

    async def leader(self, name):
        """Starts a member and waits until it leads."""
        member = await self.member(name)
        assert await eventually(lambda: member.is_leading)
        return member

    async def call(self, member, message, timeout_s=5.0):
        """Returns the answer of a member, or the result of a failed call."""
        result = await self.client.call(member.name, message, timeout_s)
        return result.message if isinstance(result, bus.Answered) else result

    async def submit(self, member, job, **fields):
        spec = messages.JobSpec(job, "netting", **fields)
        return await self.call(member, messages.SubmitJob(spec))

    async def events(self):
        """Returns all events of the log, read without holding the lease."""
        reader = celllog.CellLog(
            self.table, self.objects, self.clock, "main", "r", "r", 1.0
        )
        reader._row = (await reader.read_lease()).row
        return list((await reader.replay()).events)


class FakeWorker:
    """A worker with its agent: runs the attempts it is ordered, under leases.

    Attributes:
        runs: All attempts that it started.
        leases: End of the lease of each running attempt.
        ended: Ended attempts that are not yet acknowledged.
        epoch: Highest epoch of a leader that answered.
    """

    def __init__(self, cell, name):
        self.cell = cell
        self.name = name
        self.runs = []
        self.leases = {}
        self.ended = {}
        self.epoch = 0

    def expire(self):
        """Ends the attempts whose leases have lapsed."""
        now = self.cell.clock.now()
        for key, ends in list(self.leases.items()):
            if now >= ends:
                self._end(key, messages.TaskEnd.LAPSED, ends)

    def finish(self, end=messages.TaskEnd.COMPLETED):
        """Ends all running attempts."""
        self.expire()
        for key in list(self.leases):
            self._end(key, end, self.cell.clock.now())

    def _end(self, key, end, at):
        del self.leases[key]
        self.ended[key] = end
        for run in self.runs:
            if (run.task, run.attempt) == key and run.end_s is None:
                run.end_s = at

    async def send_heartbeat(self, member, timeout_s=5.0):
        """Sends one heartbeat and carries out the orders of the answer.

        Returns:
            The answer, or what the call returned if there was none.
        """
        self.expire()
        read_at = self.cell.clock.now()
        heartbeat = messages.Heartbeat(
            worker=self.name,
            zone="patan",
            rack="rack-1",
            capacity=SIZE,
            state=messages.TargetState.READY,
            usage=tuple(
                messages.TaskUsage(*key, messages.Size(), 0.5, 1.0)
                for key in self.leases
            ),
            ended=tuple(
                messages.TaskEnded(*key, end) for key, end in self.ended.items()
            ),
        )
        ack = await self.cell.call(member, heartbeat, timeout_s)
        if isinstance(ack, messages.HeartbeatAck) and ack.epoch >= self.epoch:
            self.epoch = ack.epoch
            self._apply_ack(
                ack, read_at + self.cell.timing.task_lease_ms / 1000
            )
        return ack

    def _apply_ack(self, ack, expires):
        self.expire()
        now = self.cell.clock.now()
        for key in ack.renew:
            if key in self.leases:
                self.leases[key] = max(self.leases[key], expires)
        for stop in ack.stop:
            if (stop.task, stop.attempt) in self.leases:
                key = (stop.task, stop.attempt)
                self._end(key, messages.TaskEnd.STOPPED, now)
        for start in ack.start:
            key = (start.task, start.attempt)
            if now < expires and key not in self.leases | self.ended:
                self.leases[key] = expires
                self.runs.append(loghistory.AttemptRun(*key, self.name, now))
        for key in ack.acknowledged:
            self.ended.pop(key, None)


async def eventually(condition, timeout_s=20.0):
    """Waits until a condition holds, and returns its value."""
    deadline = time.monotonic() + timeout_s
    while True:
        found = condition()
        if found or time.monotonic() > deadline:
            return found
        await curio.sleep(0.002)
