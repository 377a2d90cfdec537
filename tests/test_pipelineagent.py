import random
import time

import curio
import msgspec
import pytest

from pomelostair import bus as bus_module
from pomelostair import clock as clock_module
from pomelostair import fleet
from pomelostair import httpclient
from pomelostair import kernel
from pomelostair import metrics
from pomelostair import pipeline
from pomelostair import pipelineagent
from pomelostair import pipelinelease
from pomelostair import pipelinemessages as messages
from pomelostair import pipelinerows
from pomelostair import ports
from pomelostair import queues
from pomelostair import resources
from pomelostair import settings
from pomelostair import store
from pomelostair import wire
from pomelostair_standins import runner
from tests import nested

METRICS = metrics.Metrics()
LEADER = messages.LeaderInfo(1, "edge", "memory:edge")


class FakeWorkerClient(ports.WorkerClient):
    """A client of a simulated worker that can drop answers."""

    def __init__(self):
        self.runner = runner.Runner(7)
        self.down = False
        self.process_ended = False
        self.busy = False
        self.lose_starts = False
        self.lose_stops = False
        self.refused = set()
        self.ended = ()
        self.call_s = 0.0
        self.holds = []
        self.waits_ms = []

    async def hold(self, fence, acknowledged, lease_end_ms, wait_ms):
        self.waits_ms.append(wait_ms)
        await curio.sleep(wait_ms / 1000 / 10 + self.call_s)
        if self.process_ended:
            return ports.Denied(ports.NO_LISTENER)
        if self.down:
            return ports.Denied("busy") if self.busy else ports.NoAnswer("down")
        self.holds.append(lease_end_ms)
        reason = self.runner.hold(fence, acknowledged, lease_end_ms)
        if reason:
            return ports.Denied(reason)
        return ports.HoldAnswer(
            int(self.runner.clock_ms),
            self.runner.born_ms,
            tuple(self.runner.running_rows()),
            self.ended,
            False,
        )

    async def start(self, order, lease_end_ms, fence):
        if self.lose_starts:
            return ports.NoAnswer("lost")
        if order.task in self.refused:
            return ports.Denied("room")
        reason = self.runner.start(
            order.task, order.attempt, lease_end_ms, fence
        )
        return ports.Denied(reason) if reason else ports.Accepted()

    async def stop(self, order, fence):
        if self.lose_stops:
            return ports.NoAnswer("lost")
        reason = self.runner.stop(order.task, order.attempt, fence)
        return ports.Denied(reason) if reason else ports.Accepted()

    async def pace(self, order, fence):
        self.runner.pace(order.task, order.attempt, order.percent, fence)
        return ports.Accepted()


class FakePort(ports.Port):
    """A platform with a single worker client."""

    queues_table = "op"
    queues_key = "op/config"
    evacuations_table = "op"
    evacuations_prefix = "op//evacuate/"

    def __init__(self):
        self.client = FakeWorkerClient()

    def decode_queues(self, document):
        return queues.QueueTable()

    def decode_evacuated_zone(self, key):
        return key.removeprefix(self.evacuations_prefix)

    def worker_client(self, heartbeat):
        return self.client

    def advisor(self, address):
        raise AssertionError("the agent must not call the advisor")


class Harness:
    """An agent, and a bus endpoint in place of its leader."""

    def __init__(self):
        network = bus_module.MemoryNetwork()
        self.port = FakePort()
        self.leader_bus = bus_module.MemoryBus(
            "edge", "memory:edge", METRICS, network
        )
        self.reports = []
        self.leader_bus.handle(messages.AgentReport, self._on_report)
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
            for work in (
                self.parts.bus.run,
                self.leader_bus.run,
                self.agent.run,
            ):
                await curio.spawn(work, daemon=True)
            await curio.timeout_after(20, body)

        curio.run(main)

    async def heartbeat(self, incarnation=7, sequence=1, **changes):
        fields = {
            "worker": "w1",
            "incarnation": incarnation,
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

    async def instruct(
        self, *orders, lease_end_ms=8000, leader=LEADER, incarnation=7, **fields
    ):
        message = messages.Instructions(
            leader, "w1", incarnation, lease_end_ms, 0, 0, orders, **fields
        )
        await self.leader_bus.send("memory:agent", message)

    async def wait_until(self, condition):
        while not condition():
            await curio.sleep(0.01)

    def results(self):
        return [
            (r.number, r.outcome)
            for report in self.reports
            for state in report.workers
            for r in state.results
        ]


def start_order(number=1, task="a.0.0.0", attempt=1, **fields):
    return messages.Order(number, messages.START, task, attempt, **fields)


class TestLease:
    def test_is_never_extended_beyond_the_grant(self):
        harness = Harness()
        client = harness.port.client

        async def body():
            await harness.heartbeat()
            await harness.instruct(lease_end_ms=3000)
            await harness.wait_until(lambda: len(client.holds) > 20)
            assert max(h for h in client.holds if h) <= 3000

        harness.run(body)

    def test_first_list_for_a_new_leader_is_not_delayed(self):
        """A new leader starts no earlier work before it has every list."""
        harness = Harness()
        client = harness.port.client
        successor = messages.LeaderInfo(2, "edge", "memory:edge")

        async def body():
            await harness.heartbeat()
            await harness.instruct()
            await harness.wait_until(
                lambda: client.waits_ms[-3:] and all(client.waits_ms[-3:])
            )
            before = len(client.waits_ms)
            hello = messages.LeaderHello(successor)
            await harness.leader_bus.send("memory:agent", hello)
            await harness.wait_until(lambda: len(client.waits_ms) > before + 2)
            assert client.waits_ms[before] == 0
            assert all(client.waits_ms[before + 1 :])

        harness.run(body)

    def test_nothing_starts_without_a_grant(self):
        harness = Harness()

        async def body():
            await harness.heartbeat()
            await harness.instruct(start_order(), lease_end_ms=0)
            await harness.wait_until(harness.results)
            assert harness.results()[0] == (1, messages.REFUSED)
            assert not harness.port.client.runner.started

        harness.run(body)


class TestCompleteReports:
    def test_agent_is_complete_once_unseen_workers_run_nothing(self):
        """Guards against two runs of a task.

        The agent has restarted, and its worker is cut off from it. The leases
        that its earlier process extended last for the duration of a hold.
        """
        harness = Harness()
        hold_s = harness.parts.settings.pipelines.hold_ms / 1000
        harness.agent._accept_leader(LEADER)

        async def complete_at(age_s):
            harness.agent._started_s = harness.agent._clock.now() - age_s
            harness.reports.clear()
            await harness.agent._report(())
            await harness.wait_until(lambda: harness.reports)
            return harness.reports[-1].complete

        async def body():
            assert not await complete_at(pipelineagent.DISCOVERY_S + 0.1)
            assert not await complete_at(hold_s)
            assert await complete_at(hold_s * 1.02 + 0.5)

        harness.run(body)


class TestReports:
    def test_start_of_the_process_orders_those_of_one_agent(self):
        """Guards against reports whose order a leader can't tell."""

        def reported_start_ms():
            harness = Harness()

            async def body():
                harness.agent._accept_leader(LEADER)
                await harness.agent._report(())
                await harness.wait_until(lambda: harness.reports)

            harness.run(body)
            return harness.reports[0].started_ms

        begin_ms = time.time() * 1000
        first_ms = reported_start_ms()
        time.sleep(0.01)
        assert begin_ms - 1 <= first_ms < reported_start_ms()

    def test_start_of_the_process_may_be_missing(self):
        """Guards against ignoring the agents of older versions."""
        report = msgspec.to_builtins(messages.AgentReport("a", 1, 1, True, ()))
        del report["started_ms"]
        decoded = wire.decode_body(
            "worker-report", msgspec.msgpack.encode(report)
        )
        assert decoded.started_ms == 0

    def test_worker_that_turns_cold_is_reported_at_once(self):
        harness = Harness()

        def listed():
            return [
                (s.zone, s.cold_left_ms)
                for r in harness.reports
                for s in r.workers
            ]

        async def body():
            await harness.heartbeat()
            await harness.instruct()
            await harness.wait_until(lambda: ("patan", 0) in listed())
            await harness.instruct(report_interval_ms=60_000)
            await harness.heartbeat(sequence=2, cold_left_ms=900)
            await harness.wait_until(lambda: ("patan", 900) in listed())

        harness.run(body)


class TestLargeReports:
    """Reports that exceed the largest message are not sent at all."""

    @staticmethod
    def ends(count):
        return tuple(
            (n, f"{n:016x}.0.0.{n}", 1, pipeline.End.DONE, "c" * 100)
            for n in range(1, count + 1)
        )

    @staticmethod
    def encoded_size(report):
        return len(wire.encode_sparse(report))

    async def reports_of(self, harness, workers, ends):
        agent = harness.agent
        agent._accept_leader(LEADER)
        for n in range(workers):
            await harness.heartbeat(worker=f"w{n}", address=f"127.0.0.1:{n}")
        for worker in agent._workers.values():
            worker.listing = ports.HoldAnswer(1, 7, (), ends, False)
        harness.reports.clear()
        before = agent._sequence
        await agent._report(tuple(agent._workers.values()), fresh=True)
        last = agent._sequence
        await harness.wait_until(
            lambda: any(r.sequence >= last for r in harness.reports)
        )
        return [r for r in harness.reports if before < r.sequence <= last]

    def test_workers_of_a_large_report_are_split(self):
        """The leader heard nothing from a host of 64 workers with 500 ends."""
        harness = Harness()

        async def body():
            ends = self.ends(500)
            reports = await self.reports_of(harness, 64, ends)
            states = [state for r in reports for state in r.workers]
            assert [s.worker for s in states] == [f"w{n}" for n in range(64)]
            assert all(s.ended == ends for s in states)
            assert not any(s.more_ended for s in states)
            assert max(map(self.encoded_size, reports)) <= (
                bus_module.MAX_PIPELINE_MESSAGE_BYTES // 2
            )
            assert len({r.lives for r in reports}) == 1

        harness.run(body)

    def test_ends_of_a_large_worker_are_cut_and_said_to_be(self):
        """Ends that are left out must not count as missing attempts.

        The lowest numbers stay, since an acknowledgement covers all before it.
        """
        harness = Harness()

        async def body():
            ends = self.ends(20_000)
            [report] = await self.reports_of(harness, 1, ends[::-1])
            [state] = report.workers
            assert state.more_ended
            assert 0 < len(state.ended) < len(ends)
            assert state.ended == ends[: len(state.ended)]
            assert self.encoded_size(report) <= (
                bus_module.MAX_PIPELINE_MESSAGE_BYTES // 2
            )

        harness.run(body)

    def test_estimate_is_no_less_than_the_encoded_size(self):
        """Guards against a report of texts that take several bytes each."""
        harness = Harness()

        async def body():
            ends = tuple((*row[:4], "é" * 300) for row in self.ends(9_000))
            [report] = await self.reports_of(harness, 1, ends)
            assert self.encoded_size(report) <= (
                pipelineagent.MAX_REPORT_BYTES + 10_000
            )

        harness.run(body)


class TestMadeUpIncarnations:
    def test_successor_is_accepted_after_many_made_up_ones(self, monkeypatch):
        """Guards against a host that made-up ids take a worker from."""
        monkeypatch.setattr(pipelineagent, "MAX_GONE", 3)
        harness = Harness()
        agent = harness.agent

        async def body():
            await harness.heartbeat()
            await harness.instruct()
            worker = agent._workers["w1", 7]
            await harness.wait_until(lambda: worker.listing is not None)
            for n in range(3):
                agent._gone_since_s[f"x{n}", 1] = agent._clock.now()
            await harness.heartbeat(worker="x9", address="127.0.0.1:9")
            assert list(agent._workers) == [("w1", 7)]
            await harness.heartbeat(incarnation=8)
            assert list(agent._workers) == [("w1", 8)]

        harness.run(body)

    def test_made_up_successors_are_bounded(self, monkeypatch):
        """Only a worker that has answered is known to be real."""
        monkeypatch.setattr(pipelineagent, "MAX_GONE", 3)
        harness = Harness()
        agent = harness.agent
        harness.port.client.down = True

        async def body():
            for n in range(3):
                agent._gone_since_s[f"x{n}", 1] = agent._clock.now()
            agent._gone_since_s.popitem()
            await harness.heartbeat()
            agent._gone_since_s["x3", 1] = agent._clock.now()
            await harness.heartbeat(incarnation=8)
            assert list(agent._workers) == [("w1", 7)]

        harness.run(body)


class TestOrders:
    def test_repeated_order_is_executed_once(self):
        harness = Harness()

        async def body():
            await harness.heartbeat()
            await harness.instruct(lease_end_ms=8000)
            for _ in range(3):
                await harness.instruct(start_order())
            await harness.wait_until(harness.results)
            await curio.sleep(0.1)
            assert len(harness.port.client.runner.started) == 1

        harness.run(body)

    def test_overtaken_orders_are_executed_once_and_in_order(self):
        harness = Harness()
        orders = [start_order(n, task=f"a.0.0.{n}") for n in range(1, 5)]

        async def body():
            await harness.heartbeat()
            await harness.instruct(lease_end_ms=8000)
            await harness.instruct(orders[2])
            await harness.instruct(orders[1])
            await curio.sleep(0.1)
            started = harness.port.client.runner.started
            assert not started
            await harness.instruct(*orders)
            await harness.wait_until(lambda: len(started) == 4)
            assert [row[0] for row in started] == [o.task for o in orders]

        harness.run(body)

    def test_start_is_not_executed_if_its_stop_has_arrived_too(self):
        """An agent that was cut off receives both at once."""
        harness = Harness()
        stop = messages.Order(2, messages.STOP, "a.0.0.0", 1)

        async def body():
            await harness.heartbeat()
            await harness.instruct(lease_end_ms=8000)
            await harness.instruct(
                start_order(), stop, start_order(3, task="a.0.0.1")
            )
            await harness.wait_until(lambda: len(harness.results()) >= 3)
            started = harness.port.client.runner.started
            assert [row[0] for row in started] == ["a.0.0.1"]
            assert (1, messages.REFUSED) in harness.results()

        harness.run(body)

    def test_start_that_rests_on_a_recent_report_is_executed(self):
        harness = Harness()

        async def body():
            await harness.heartbeat()
            await harness.instruct(lease_end_ms=8000)
            await harness.wait_until(lambda: harness.reports)
            await harness.instruct(
                start_order(), report=harness.reports[-1].sequence
            )
            await harness.wait_until(lambda: harness.port.client.runner.started)

        harness.run(body)

    @pytest.mark.parametrize("known", [True, False])
    def test_start_that_rests_on_an_old_report_is_refused(
        self, known, monkeypatch
    ):
        """Messages to an agent that was cut off arrive seconds later."""
        if known:
            monkeypatch.setattr(pipelineagent, "START_TTL_S", -1.0)
        harness = Harness()

        async def body():
            await harness.heartbeat()
            await harness.instruct(lease_end_ms=8000)
            await harness.wait_until(lambda: harness.reports)
            report = harness.reports[-1].sequence if known else 1_000_000
            await harness.instruct(start_order(), report=report)
            await harness.wait_until(harness.results)
            assert harness.results()[0] == (1, messages.REFUSED)
            assert not harness.port.client.runner.started

        harness.run(body)

    def test_orders_before_a_confirmed_number_are_not_awaited(self):
        """An agent that restarts misses orders that are never sent again."""
        harness = Harness()

        async def body():
            await harness.heartbeat()
            await harness.instruct(start_order(7), confirmed=6)
            await harness.wait_until(lambda: harness.port.client.runner.started)
            await harness.instruct(start_order(6, task="a.0.0.9"))
            await curio.sleep(0.1)
            assert len(harness.port.client.runner.started) == 1

        harness.run(body)

    def test_order_of_an_earlier_leader_is_refused(self):
        harness = Harness()
        later = messages.LeaderInfo(2, "edge", "memory:edge")

        async def body():
            await harness.heartbeat()
            await harness.instruct(leader=later)
            await harness.wait_until(lambda: harness.reports)
            await harness.instruct(start_order())
            await curio.sleep(0.3)
            assert not harness.port.client.runner.started

        harness.run(body)

    def test_unanswered_start_is_fenced_off(self):
        harness = Harness()
        client = harness.port.client

        async def body():
            await harness.heartbeat()
            client.lose_starts = True
            await harness.instruct(start_order())
            await harness.wait_until(harness.results)
            assert harness.results()[0] == (1, messages.FENCED_OFF)
            token = 1 << 31 | 7
            late_start = client.runner.start("a.0.0.0", 1, 5000, token)
            assert late_start == "old"

        harness.run(body)

    def test_unanswered_start_that_runs_is_reported_as_done(self):
        harness = Harness()
        client = harness.port.client

        async def body():
            await harness.heartbeat()
            await harness.instruct()
            await harness.wait_until(lambda: client.holds)
            client.lose_starts = True
            client.runner.start("a.0.0.0", 1, 5000, 1 << 31 | 7)
            await harness.instruct(start_order())
            await harness.wait_until(harness.results)
            assert harness.results()[0] == (1, messages.DONE)
            assert client.runner.runs

        harness.run(body)

    def test_draining_worker_refuses_starts_at_once(self):
        harness = Harness()

        async def body():
            await harness.heartbeat()
            await harness.heartbeat(sequence=2, draining=True)
            await harness.instruct(start_order())
            await harness.wait_until(harness.results)
            assert harness.results()[0] == (1, messages.REFUSED)

        harness.run(body)

    def test_start_below_full_pace_is_paced_before_it_is_reported(self):
        harness = Harness()

        async def body():
            await harness.heartbeat()
            await harness.instruct(start_order(percent=30))
            await harness.wait_until(harness.results)
            runs = harness.port.client.runner.runs
            assert runs["a.0.0.0"].pace == 30

        harness.run(body)


class TestIncarnations:
    def test_earlier_incarnation_is_gone_after_a_later_one(self):
        harness = Harness()

        async def body():
            await harness.heartbeat()
            await harness.instruct()
            harness.port.client.runner = runner.Runner(9)
            await harness.heartbeat(incarnation=9)
            await harness.wait_until(
                lambda: any(("w1", 7) in r.gone for r in harness.reports)
            )

        harness.run(body)

    def test_earlier_incarnation_is_gone_only_after_a_hold_of_the_later(self):
        """A restarted worker may execute late orders to its predecessor.

        It refuses them once it was held under its own fencing token, so the
        predecessor must not be reported as gone before.
        """
        harness = Harness()
        client = harness.port.client

        async def body():
            await harness.heartbeat()
            await harness.instruct()
            await harness.wait_until(lambda: any(h for h in client.holds))
            client.down = True
            client.runner = runner.Runner(9)
            await harness.heartbeat(incarnation=9)
            await harness.agent._report(())
            await harness.wait_until(
                lambda: harness.reports[-1].lives[0][1] == 9
            )
            assert not any(("w1", 7) in r.gone for r in harness.reports)
            await harness.heartbeat(incarnation=7)
            assert list(harness.agent._workers) == [("w1", 9)]
            client.down = False
            await harness.wait_until(
                lambda: any(("w1", 7) in r.gone for r in harness.reports)
            )

        harness.run(body)

    def test_heartbeat_of_an_earlier_incarnation_is_ignored(self):
        harness = Harness()

        async def body():
            await harness.heartbeat(incarnation=9)
            await harness.heartbeat(incarnation=7)
            await harness.instruct(incarnation=9)
            await harness.wait_until(lambda: harness.reports)
            assert harness.reports[-1].lives == (("w1", 9),)

        harness.run(body)

    def test_unreachable_worker_is_reported_as_lapsed_only_after_its_lease(
        self,
    ):
        harness = Harness()
        client = harness.port.client

        async def body():
            await harness.heartbeat()
            await harness.instruct(lease_end_ms=1500)
            await harness.wait_until(lambda: any(h for h in client.holds))
            client.down = True
            started_s = harness.agent._clock.now()

            def lapsed():
                return any(
                    state.lapsed
                    for report in harness.reports
                    for state in report.workers
                )

            await harness.wait_until(lapsed)
            assert harness.agent._clock.now() - started_s > 1.3

        harness.run(body)

    def test_deregistered_worker_is_gone(self):
        harness = Harness()

        async def body():
            await harness.heartbeat()
            await harness.instruct()
            await harness.wait_until(lambda: harness.reports)
            await harness.agent.record_deregistration("w1", 7)
            harness.port.client.process_ended = True
            await harness.wait_until(
                lambda: any(("w1", 7) in r.gone for r in harness.reports)
            )

        harness.run(body)


class TestDeregistration:
    """It may be read late, and its sender goes on without an answer."""

    async def deregister(self, harness):
        """Deregisters a worker with a running attempt, which goes on."""
        await harness.heartbeat()
        await harness.instruct(start_order(), lease_end_ms=2000)
        await harness.wait_until(harness.results)
        await harness.agent.record_deregistration("w1", 7)
        harness.reports.clear()
        harness.port.client.holds.clear()

    def is_gone(self, harness):
        return any(("w1", 7) in report.gone for report in harness.reports)

    def test_worker_that_answers_is_not_gone(self):
        """Guards against two runs of a task (review/1, TWICE)."""
        harness = Harness()
        client = harness.port.client

        async def body():
            await self.deregister(harness)
            await harness.wait_until(lambda: len(client.holds) > 10)
            assert not self.is_gone(harness)
            assert not any(client.holds)
            states = [s for r in harness.reports for s in r.workers]
            assert states
            assert all(s.draining and not s.remaining_ms for s in states)
            client.process_ended = True
            await harness.wait_until(lambda: self.is_gone(harness))

        harness.run(body)

    def test_silent_worker_is_gone_once_its_lease_has_lapsed(self):
        harness = Harness()
        client = harness.port.client

        async def body():
            await self.deregister(harness)
            worker = harness.agent._workers["w1", 7]
            client.down = True
            await harness.wait_until(lambda: self.is_gone(harness))
            assert harness.agent._clock.now() - worker.clock_read_s > 1.99
            assert harness.reports[-1].blameless == (("w1", 7),)

        harness.run(body)

    def test_nothing_starts_any_more(self):
        harness = Harness()

        async def body():
            await self.deregister(harness)
            await harness.instruct(start_order(2, task="a.0.0.1"))
            await harness.wait_until(
                lambda: (2, messages.REFUSED) in harness.results()
            )
            assert len(harness.port.client.runner.started) == 1

        harness.run(body)


class TestCrashes:
    """Guards against tasks that crash workers without leaving a trace.

    An incarnation that is replaced without notice has crashed. What had just
    started there is reported, so that the leader can count such crashes.
    """

    def crashes(self, harness):
        return [r.crashes for r in harness.reports if r.crashes]

    async def start(self, harness, *orders, **heartbeat):
        await harness.heartbeat(**heartbeat)
        await harness.instruct(*orders or (start_order(),))
        await harness.wait_until(harness.results)

    async def replace(self, harness, worker="w2"):
        """Brings another incarnation up at the worker's address."""
        harness.port.client.runner = runner.Runner(9)
        await harness.heartbeat(incarnation=9, worker=worker)
        await harness.wait_until(
            lambda: any(("w1", 7) in r.gone for r in harness.reports)
        )

    @pytest.mark.parametrize("worker", ["w1", "w2"], ids=["same id", "other"])
    def test_names_the_attempts_that_had_just_started(self, worker):
        harness = Harness()

        async def body():
            orders = [start_order(n, task=f"a.0.0.{n}") for n in (1, 2)]
            await self.start(harness, *orders)
            await self.replace(harness, worker)
            (crash,) = self.crashes(harness)[0]
            assert (crash.worker, crash.life) == ("w1", 7)
            assert [row[:2] for row in sorted(crash.attempts)] == [
                ("a.0.0.1", 1),
                ("a.0.0.2", 1),
            ]
            assert all(0 <= row[2] < 500 for row in crash.attempts)

        harness.run(body)

    def test_is_reported_to_a_later_leader_too(self):
        harness = Harness()

        async def body():
            await self.start(harness)
            await self.replace(harness)
            successor = messages.LeaderInfo(2, "edge", "memory:edge")
            hello = messages.LeaderHello(successor)
            await harness.leader_bus.send("memory:agent", hello)
            await harness.wait_until(
                lambda: harness.reports[-1].epoch == 2 and harness.reports
            )
            assert harness.reports[-1].crashes

        harness.run(body)

    def test_names_a_start_without_an_answer(self):
        harness = Harness()
        client = harness.port.client

        async def body():
            await harness.heartbeat()
            await harness.instruct()
            await harness.wait_until(lambda: any(h for h in client.holds))
            client.down = client.lose_starts = client.lose_stops = True
            await harness.instruct(start_order())
            await curio.sleep(1.5)
            client.down = False
            await self.replace(harness)
            (crash,) = self.crashes(harness)[0]
            assert crash.attempts == (("a.0.0.0", 1, 0),)

        harness.run(body)

    def test_names_no_start_that_had_no_effect_for_long(self, monkeypatch):
        """Guards against blaming a start that was lost long ago."""
        monkeypatch.setattr(pipelineagent, "LATE_START_S", 1.0)
        harness = Harness()
        client = harness.port.client

        async def body():
            await harness.heartbeat()
            await harness.instruct()
            await harness.wait_until(lambda: any(h for h in client.holds))
            client.lose_starts = client.lose_stops = True
            await harness.instruct(start_order())
            await curio.sleep(1.5)
            await self.replace(harness)
            assert not self.crashes(harness)

        harness.run(body)

    def test_names_no_attempt_that_ran_for_long(self):
        harness = Harness()

        async def body():
            await self.start(harness)
            await curio.sleep(messages.START_CRASH_S + 0.5)
            harness.port.client.down = True
            await curio.sleep(0.5)
            harness.port.client.down = False
            await self.replace(harness)
            assert not self.crashes(harness)

        harness.run(body)

    def test_time_without_answers_is_no_run_time(self):
        """The worker is away for longer than the task had to run."""
        harness = Harness()

        async def body():
            await self.start(harness)
            harness.port.client.down = True
            await curio.sleep(messages.START_CRASH_S + 0.5)
            harness.port.client.down = False
            await self.replace(harness)
            assert self.crashes(harness)

        harness.run(body)

    @pytest.mark.parametrize("busy", [True, False])
    def test_worker_that_is_silent_until_its_lease_lapsed_has_crashed(
        self, busy
    ):
        """Guards against starts without end while crashed workers are away.

        A worker that refuses its agent's calls is no silent one.
        """
        harness = Harness()
        client = harness.port.client

        async def body():
            await harness.heartbeat()
            await harness.instruct(start_order(), lease_end_ms=1500)
            await harness.wait_until(harness.results)
            client.down = True
            client.busy = busy
            await harness.wait_until(
                lambda: any(
                    state.lapsed
                    for report in harness.reports
                    for state in report.workers
                )
            )
            assert bool(self.crashes(harness)) is not busy

        harness.run(body)

    def test_names_no_attempt_that_ended_was_refused_or_was_stopped(self):
        harness = Harness()
        client = harness.port.client

        async def body():
            await harness.heartbeat()
            await harness.instruct()
            await harness.wait_until(lambda: any(h for h in client.holds))
            client.ended = ((1, "a.0.0.1", 1, pipeline.End.DONE, ""),)
            client.refused = {"a.0.0.2"}
            await harness.instruct(
                *(start_order(n, task=f"a.0.0.{n}") for n in (1, 2, 3))
            )
            await harness.wait_until(lambda: len(harness.results()) >= 3)
            stop = messages.Order(4, messages.STOP, "a.0.0.3", 1)
            await harness.instruct(stop)
            await harness.wait_until(lambda: (4, "done") in harness.results())
            client.ended = ()
            await self.replace(harness)
            assert not self.crashes(harness)

        harness.run(body)

    @pytest.mark.parametrize("deregisters", [True, False])
    def test_worker_that_leaves_has_not_crashed(self, deregisters):
        """Guards against blaming tasks for planned shutdowns."""
        harness = Harness()

        async def body():
            await self.start(harness)
            if deregisters:
                await harness.agent.record_deregistration("w1", 7)
            else:
                await harness.heartbeat(sequence=2, draining=True)
            await self.replace(harness)
            assert not self.crashes(harness)
            assert harness.reports[-1].blameless == (("w1", 7),)

        harness.run(body)

    def test_names_no_attempt_of_an_earlier_process_of_the_agent(self):
        """Guards against suspecting all that runs when an agent restarts."""
        harness = Harness()

        async def body():
            client = harness.port.client
            client.runner.start("a.0.0.0", 1, 5000, 0)
            await harness.heartbeat()
            await harness.instruct()
            await harness.wait_until(lambda: any(h for h in client.holds))
            await self.replace(harness)
            assert not self.crashes(harness)

        harness.run(body)


class TestSilence:
    """A worker does not answer until its leases have lapsed."""

    def lapse(self, *, suspended=False, busy=False):
        """Returns the states reported after the lapse, and the crashes.

        Args:
            suspended: Whether calls take so long that the agent must have been
                suspended during them.
            busy: Whether the worker rejects the calls.
        """
        harness = Harness()
        client = harness.port.client

        async def body():
            await harness.heartbeat()
            await harness.instruct(start_order(), lease_end_ms=1500)
            await harness.wait_until(harness.results)
            client.down = True
            client.busy = busy
            if suspended:
                client.call_s = 0.3
            await harness.wait_until(lambda: len(lapsed()) >= 3)

        def lapsed():
            return [
                state
                for report in harness.reports
                for state in report.workers
                if state.lapsed
            ]

        harness.run(body)
        return lapsed(), [c for r in harness.reports for c in r.crashes]

    def test_is_reported_with_a_possible_crash(self):
        states, crashes = self.lapse()
        assert states[-1].silent
        assert crashes
        assert not any(crash.certain for crash in crashes)

    def test_of_a_worker_that_rejects_calls_is_none(self):
        states, crashes = self.lapse(busy=True)
        assert not any(state.silent for state in states)
        assert not crashes

    def test_is_not_concluded_from_calls_in_which_the_agent_was_suspended(
        self, monkeypatch
    ):
        """Guards against LOST: the agent takes its own absence for a crash."""
        monkeypatch.setattr(pipelineagent, "MAX_CALL_S", 0.25)
        states, crashes = self.lapse(suspended=True)
        assert not any(state.silent for state in states)
        assert not crashes


class TestSuspendedAgent:
    """The agent is suspended soon after a start, and its worker ends then."""

    @pytest.mark.parametrize("worker", ["w1", "w2"], ids=["same id", "other"])
    @pytest.mark.parametrize("away_s", [6.0, 30.0])
    def test_end_of_a_worker_meanwhile_is_no_certain_crash(
        self, monkeypatch, away_s, worker
    ):
        """Guards against LOST: its last sign of life is taken for its end.

        The task may have run for long since, and the worker may have left by
        plan: the agent, which was away, has heard of neither.
        """
        harness = Harness()
        client = harness.port.client
        now = harness.agent._clock.now
        suspended_s = 0.0
        monkeypatch.setattr(
            harness.agent._clock, "now", lambda: now() + suspended_s
        )

        async def body():
            nonlocal suspended_s
            await harness.heartbeat()
            await harness.instruct(start_order(), lease_end_ms=6000)
            await harness.wait_until(harness.results)
            suspended_s = away_s
            client.runner = runner.Runner(9)
            await harness.heartbeat(incarnation=9, worker=worker)
            await harness.wait_until(
                lambda: any(("w1", 7) in r.gone for r in harness.reports)
            )
            assert not any(
                crash.certain
                for report in harness.reports
                for crash in report.crashes
            )
            assert harness.reports[-1].blameless == (("w1", 7),)

        harness.run(body)


class TestRegisteredWorkers:
    """Workers that an earlier process of the agent had reported.

    All processes were killed and started again, while the workers run on.
    """

    def restart(self, incarnation=7, others=(), **details):
        known = fleet.KnownIncarnation(
            "w1",
            incarnation,
            "127.0.0.1:2",
            **{"service": "s", "rack": "r1", "labels": ("a",), **details},
        )
        registration = fleet.Registration("memory:agent", (*others, known))
        harness = Harness()

        async def register():
            key = f"{pipelinerows.AGENTS_PREFIX}agent-w1"
            put = store.Put(key, msgspec.msgpack.encode(registration))
            await harness.parts.table.commit(store.Transaction(puts=(put,)))

        curio.run(register)
        return harness

    def test_are_listed_before_their_next_heartbeat(self):
        harness = self.restart()

        async def body():
            await harness.instruct()
            await harness.wait_until(
                lambda: any(r.workers for r in harness.reports)
            )
            report = next(r for r in harness.reports if r.workers)
            assert report.lives == (("w1", 7),)
            assert report.workers[0].service == "s"
            assert report.workers[0].labels == ("a",)
            assert report.workers[0].fresh
            await harness.heartbeat(draining=True)
            await harness.wait_until(
                lambda: (
                    harness.reports[-1].workers
                    and harness.reports[-1].workers[0].draining
                )
            )

        harness.run(body)

    @pytest.mark.parametrize("address", ["10.0.0.1:70000", ""])
    def test_unusable_address_of_one_hides_no_other(self, address):
        """The task that calls the registered workers ended at its client."""
        odd = fleet.KnownIncarnation("w0", 1, address, "s")
        harness = self.restart(others=(odd,))
        client = harness.port.client

        def create_client(heartbeat):
            httpclient.Client(heartbeat.address)
            assert heartbeat.worker == "w1"
            return client

        harness.port.worker_client = create_client

        async def body():
            await harness.instruct()
            await harness.wait_until(
                lambda: any(r.workers for r in harness.reports)
            )

        harness.run(body)

    @pytest.mark.parametrize(
        ("incarnation", "down"), [(6, False), (7, True)], ids=["other", "down"]
    )
    def test_are_not_reported_without_a_sign_of_life(self, incarnation, down):
        harness = self.restart(incarnation)
        harness.port.client.down = down

        async def body():
            await harness.instruct()
            await harness.wait_until(lambda: len(harness.reports) > 2)
            assert not any(r.lives or r.addresses for r in harness.reports)
            harness.agent._started_s -= pipelineagent.DISCOVERY_S
            await harness.wait_until(lambda: not harness.agent._workers)
            assert not any(r.gone for r in harness.reports)

        harness.run(body)

    def test_are_not_called_after_a_heartbeat_of_a_successor(self):
        harness = self.restart(incarnation=6)

        async def body():
            await harness.heartbeat()
            await harness.instruct()
            await harness.wait_until(lambda: harness.reports)
            await curio.sleep(0.1)
            assert [w.key for w in harness.agent._workers.values()] == [
                ("w1", 7)
            ]

        harness.run(body)


class TestUnexpectedErrors:
    """A worker's client raises what no caller expects."""

    def test_leases_are_extended_after_a_failed_hold(self):
        harness = Harness()
        client = harness.port.client
        answer = client.hold
        failures = iter([RuntimeError("boom"), KeyError("row")])

        async def hold(*arguments):
            error = next(failures, None)
            if error is not None:
                raise error
            return await answer(*arguments)

        client.hold = hold

        async def body():
            await harness.heartbeat()
            await harness.instruct()
            await harness.wait_until(lambda: any(h for h in client.holds))

        harness.run(body)

    def test_start_that_failed_is_fenced_off_and_reported(self):
        harness = Harness()
        client = harness.port.client

        async def start(*_arguments):
            raise RuntimeError("boom")

        client.start = start

        async def body():
            await harness.heartbeat()
            await harness.instruct(start_order())
            await harness.wait_until(harness.results)
            assert harness.results()[0] == (1, messages.FENCED_OFF)
            late_start = client.runner.start("a.0.0.0", 1, 5000, 1 << 31 | 7)
            assert late_start == "old"

        harness.run(body)

    @pytest.mark.parametrize("value", [b"\xc1", nested.MSGPACK])
    def test_malformed_lease_row_names_no_leader(self, value):
        harness = Harness()
        put = store.Put(pipelinelease.KEY, value)

        async def body():
            await harness.parts.table.commit(store.Transaction(puts=(put,)))
            await harness.agent._find_leader_in_store()
            assert not harness.agent._leader.bus

        harness.run(body)


class TestCapacity:
    """The capacity of a worker changes while it runs."""

    SMALL = resources.Resources(4000, 1000)
    LARGE = resources.Resources(32_000, 1000)

    def test_change_is_reported_at_once(self):
        harness = Harness()

        def reported():
            return [s.capacity for r in harness.reports for s in r.workers]

        async def body():
            await harness.heartbeat()
            await harness.instruct(report_interval_ms=60_000)
            await harness.wait_until(reported)
            await curio.sleep(0.2)
            count = len(reported())
            await harness.heartbeat(sequence=2)
            await curio.sleep(0.2)
            assert len(reported()) == count
            await harness.heartbeat(sequence=3, capacity=self.SMALL)
            await harness.wait_until(lambda: reported()[-1] == self.SMALL)
            await harness.heartbeat(sequence=4, capacity=self.LARGE)
            await harness.wait_until(lambda: reported()[-1] == self.LARGE)
            assert len(reported()) == count + 2

        harness.run(body)

    def test_start_that_counts_on_more_is_refused(self):
        """LIMIT: it was on its way, or repeated, as the worker shrank."""
        harness = Harness()
        client = harness.port.client

        async def body():
            await harness.heartbeat(capacity=self.SMALL)
            await harness.instruct(
                start_order(1, capacity=self.LARGE),
                start_order(2, task="a.0.0.1", capacity=self.SMALL),
            )
            await harness.wait_until(lambda: len(harness.results()) > 1)
            assert sorted(harness.results())[:2] == [
                (1, messages.REFUSED),
                (2, messages.DONE),
            ]
            assert [row[0] for row in client.runner.started] == ["a.0.0.1"]

        harness.run(body)

    def test_start_is_refused_before_the_first_heartbeat(self):
        """LIMIT: the registration may say more than what is left."""
        harness = TestRegisteredWorkers().restart(capacity=self.LARGE)
        client = harness.port.client

        async def body():
            await harness.instruct()
            await harness.wait_until(
                lambda: any(r.workers for r in harness.reports)
            )
            assert not any(
                state.announced
                for report in harness.reports
                for state in report.workers
            )
            await harness.instruct(
                start_order(capacity=self.LARGE), report_interval_ms=60_000
            )
            await harness.wait_until(harness.results)
            assert harness.results()[0] == (1, messages.REFUSED)
            await harness.heartbeat(capacity=self.LARGE)
            await harness.wait_until(
                lambda: any(
                    state.announced
                    for report in harness.reports
                    for state in report.workers
                )
            )
            await harness.instruct(
                start_order(2, task="a.0.0.1", capacity=self.LARGE)
            )
            await harness.wait_until(lambda: client.runner.started)

        harness.run(body)
