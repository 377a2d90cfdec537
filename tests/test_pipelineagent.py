import random

import curio

from pomelostair import bus as bus_module
from pomelostair import clock as clock_module
from pomelostair import kernel
from pomelostair import metrics
from pomelostair import pipelineagent
from pomelostair import pipelinemessages as messages
from pomelostair import ports
from pomelostair import queues
from pomelostair import resources
from pomelostair import settings
from pomelostair import store
from pomelostair_standins import runner

METRICS = metrics.Metrics()
SEAT = messages.LeaderInfo(1, "edge", "memory:edge")


class Client(ports.WorkerClient):
    """A worker in this process, whose answers tests may lose."""

    def __init__(self):
        self.runner = runner.Runner(7)
        self.down = False
        self.lose_starts = False
        self.holds = []

    async def hold(self, fence, acknowledged, lease_end_ms, wait_ms):
        await curio.sleep(wait_ms / 1000 / 10)
        if self.down:
            return ports.NoAnswer("down")
        self.holds.append(lease_end_ms)
        reason = self.runner.hold(fence, acknowledged, lease_end_ms)
        if reason:
            return ports.Denied(reason)
        return ports.HoldAnswer(
            int(self.runner.clock_ms),
            self.runner.born_ms,
            tuple(self.runner.running_rows()),
            (),
            False,
        )

    async def start(self, order, lease_end_ms, fence):
        if self.lose_starts:
            return ports.NoAnswer("lost")
        reason = self.runner.start(
            order.task, order.attempt, lease_end_ms, fence
        )
        return ports.Denied(reason) if reason else ports.Accepted()

    async def stop(self, order, fence):
        reason = self.runner.stop(order.task, order.attempt, fence)
        return ports.Denied(reason) if reason else ports.Accepted()

    async def pace(self, order, fence):
        self.runner.pace(order.task, order.attempt, order.percent, fence)
        return ports.Accepted()


class Port(ports.Port):
    """Hands out the one client."""

    queues_table = "op"
    queues_key = "op/config"

    def __init__(self):
        self.client = Client()

    def decode_queues(self, document):
        return queues.QueueTable()

    def worker_client(self, heartbeat):
        return self.client

    def advisor(self, address):
        raise AssertionError("an agent asks no advisor")


class Harness:
    """An agent and the leader's side of the bus."""

    def __init__(self):
        network = bus_module.MemoryNetwork()
        self.port = Port()
        self.leader = bus_module.MemoryBus(
            "edge", "memory:edge", METRICS, network
        )
        self.reports = []
        self.leader.handle(messages.AgentReport, self._on_report)
        self.parts = kernel.Parts(
            settings=settings.Settings(
                role=settings.Role.PIPELINE_AGENT,
                name="agent-w1",
                zone="patan",
                bus="127.0.0.1:1",
                balancer="127.0.0.1:1",
                platform=settings.Platform("127.0.0.1:1"),
                pipelines=settings.Pipelines(),
            ),
            clock=clock_module.MonotonicClock(),
            bus=bus_module.MemoryBus(
                "agent-w1", "memory:agent", METRICS, network
            ),
            table=store.MemoryTable(),
            objects=store.MemoryObjects(),
            metrics=METRICS,
            random=random.Random(1),
            port=self.port,
        )
        self.agent = pipelineagent.PipelineAgent(self.parts, None)

    async def _on_report(self, message, _envelope):
        self.reports.append(message)

    def run(self, body):
        async def main():
            for work in (self.parts.bus.run, self.leader.run, self.agent.run):
                await curio.spawn(work, daemon=True)
            await curio.timeout_after(20, body)

        curio.run(main)

    async def notice(self, life=7, sequence=1, **changes):
        fields = {
            "worker": "w1",
            "incarnation": life,
            "address": "127.0.0.1:2",
            "service": "s",
            "zone": "patan",
            "rack": "r1",
            "labels": ("a",),
            "capacity": resources.Resources(32_000, 1000),
            "draining": False,
            "remaining_ms": 0,
            "clock_ms": 1,
            "sequence": sequence,
            **changes,
        }
        await self.agent.update_worker(ports.WorkerHeartbeat(**fields))

    async def instruct(self, *orders, lease_end_ms=8000, seat=SEAT, life=7):
        message = messages.Instructions(
            seat, "w1", life, lease_end_ms, 0, 0, orders
        )
        await self.leader.send("memory:agent", message)

    async def until(self, condition):
        while not condition():
            await curio.sleep(0.01)

    def results(self):
        return [
            (r.number, r.outcome)
            for report in self.reports
            for state in report.workers
            for r in state.results
        ]


def start(number=1, task="a.0.0.0", attempt=1, **fields):
    return messages.Order(number, messages.START, task, attempt, **fields)


class TestLease:
    def test_it_never_extends_beyond_the_grant(self):
        harness = Harness()
        client = harness.port.client

        async def body():
            await harness.notice()
            await harness.instruct(lease_end_ms=3000)
            await harness.until(lambda: len(client.holds) > 20)
            assert max(h for h in client.holds if h) <= 3000

        harness.run(body)

    def test_nothing_starts_without_a_grant(self):
        harness = Harness()

        async def body():
            await harness.notice()
            await harness.instruct(start(), lease_end_ms=0)
            await harness.until(harness.results)
            assert harness.results()[0] == (1, messages.REFUSED)
            assert not harness.port.client.runner.started

        harness.run(body)


class TestOrders:
    def test_each_is_carried_out_once(self):
        harness = Harness()

        async def body():
            await harness.notice()
            await harness.instruct(lease_end_ms=8000)
            for _ in range(3):
                await harness.instruct(start())
            await harness.until(harness.results)
            await curio.sleep(0.1)
            assert len(harness.port.client.runner.started) == 1

        harness.run(body)

    def test_earlier_leader_is_not_obeyed(self):
        harness = Harness()
        later = messages.LeaderInfo(2, "edge", "memory:edge")

        async def body():
            await harness.notice()
            await harness.instruct(seat=later)
            await harness.until(lambda: harness.reports)
            await harness.instruct(start())
            await curio.sleep(0.3)
            assert not harness.port.client.runner.started

        harness.run(body)

    def test_unanswered_start_is_barred_for_good(self):
        harness = Harness()
        client = harness.port.client

        async def body():
            await harness.notice()
            client.lose_starts = True
            await harness.instruct(start())
            await harness.until(harness.results)
            assert harness.results()[0] == (1, messages.FENCED_OFF)
            fence = 1 << 31 | 7
            late = client.runner.start("a.0.0.0", 1, 5000, fence)
            assert late == "old"

        harness.run(body)

    def test_unanswered_start_that_runs_is_kept(self):
        harness = Harness()
        client = harness.port.client

        async def body():
            await harness.notice()
            await harness.instruct()
            await harness.until(lambda: client.holds)
            client.lose_starts = True
            client.runner.start("a.0.0.0", 1, 5000, 1 << 31 | 7)
            await harness.instruct(start())
            await harness.until(harness.results)
            assert harness.results()[0] == (1, messages.DONE)
            assert client.runner.runs

        harness.run(body)

    def test_draining_worker_refuses_starts_at_once(self):
        harness = Harness()

        async def body():
            await harness.notice()
            await harness.notice(sequence=2, draining=True)
            await harness.instruct(start())
            await harness.until(harness.results)
            assert harness.results()[0] == (1, messages.REFUSED)

        harness.run(body)

    def test_slow_start_is_paced_before_it_is_reported(self):
        harness = Harness()

        async def body():
            await harness.notice()
            await harness.instruct(start(percent=30))
            await harness.until(harness.results)
            runs = harness.port.client.runner.runs
            assert runs["a.0.0.0"].pace == 30

        harness.run(body)


class TestLives:
    def test_later_life_makes_the_earlier_one_gone(self):
        harness = Harness()

        async def body():
            await harness.notice()
            await harness.instruct()
            harness.port.client.runner = runner.Runner(9)
            await harness.notice(life=9)
            await harness.until(
                lambda: any(("w1", 7) in r.gone for r in harness.reports)
            )

        harness.run(body)

    def test_earlier_life_is_gone_only_once_the_later_one_is_held(self):
        """The load: orders that are carried out late, by a reborn worker."""
        harness = Harness()
        client = harness.port.client

        async def body():
            await harness.notice()
            await harness.instruct()
            await harness.until(lambda: any(h for h in client.holds))
            client.down = True
            client.runner = runner.Runner(9)
            await harness.notice(life=9)
            await harness.agent._report(())
            await harness.until(lambda: harness.reports[-1].lives[0][1] == 9)
            assert not any(("w1", 7) in r.gone for r in harness.reports)
            await harness.notice(life=7)
            assert list(harness.agent._workers) == [("w1", 9)]
            client.down = False
            await harness.until(
                lambda: any(("w1", 7) in r.gone for r in harness.reports)
            )

        harness.run(body)

    def test_heartbeat_of_an_earlier_life_is_ignored(self):
        harness = Harness()

        async def body():
            await harness.notice(life=9)
            await harness.notice(life=7)
            await harness.instruct(life=9)
            await harness.until(lambda: harness.reports)
            assert harness.reports[-1].lives == (("w1", 9),)

        harness.run(body)

    def test_unreached_worker_is_reported_as_lapsed_only_after_its_lease(self):
        harness = Harness()
        client = harness.port.client

        async def body():
            await harness.notice()
            await harness.instruct(lease_end_ms=1500)
            await harness.until(lambda: any(h for h in client.holds))
            client.down = True
            begun = harness.agent._clock.now()

            def lapsed():
                return any(
                    state.lapsed
                    for report in harness.reports
                    for state in report.workers
                )

            await harness.until(lapsed)
            assert harness.agent._clock.now() - begun > 1.3

        harness.run(body)

    def test_deregistered_worker_is_gone(self):
        harness = Harness()

        async def body():
            await harness.notice()
            await harness.instruct()
            await harness.until(lambda: harness.reports)
            await harness.agent.remove_worker("w1", 7)
            await harness.until(
                lambda: any(("w1", 7) in r.gone for r in harness.reports)
            )

        harness.run(body)
