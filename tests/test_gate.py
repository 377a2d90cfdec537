import attrs
import curio
import pytest

from pomelostair import bus
from pomelostair import declaration
from pomelostair import gate
from pomelostair import http
from pomelostair import httpserver
from pomelostair import messages
from pomelostair import outcome
from pomelostair import settings
from pomelostair_standins import minion as minion_standin
from pomelostair_standins import service
from tests import parts

URGENT = messages.Urgency.URGENT
BATCH = messages.Urgency.BATCH


@attrs.frozen
class FakeConfiguration:
    """Test double of the `Configuration` plug-in."""

    in_force: declaration.VersionedConfiguration


class GateHarness:
    """A gate with an in-process minion, called over the bus of an entry."""

    def __init__(self, slots=2, address=None, **target):
        self.minion = minion_standin.Minion(slots, 1.0, 1)
        self.server = httpserver.Server(
            "127.0.0.1", 0, self.minion.answer, service.error_response
        )
        self._network = bus.MemoryNetwork()
        self._target = settings.MinionTarget(
            address or f"127.0.0.1:{self.server.port}",
            "clapper-desk",
            slots,
            status_path="/stats",
            **target,
        )
        self._entry = parts.make_process(self._network, "entry")[1]
        self.start_agent()

    def start_agent(self):
        host, self.agent = parts.make_process(
            self._network,
            "agent",
            role=settings.Role.AGENT,
            target=self._target,
        )
        self.gate = host.get(gate.Gate)

    def set_limits(self, **changes):
        """Applies declarations with changed limits."""
        declarations = declaration.Declarations(
            limits=declaration.Limits(**changes)
        )
        self.gate._configuration = FakeConfiguration(
            declaration.VersionedConfiguration(2, declarations)
        )

    async def run_agent(self):
        await curio.spawn(self.agent.bus.run, daemon=True)
        await curio.spawn(self.gate.run, daemon=True)

    async def run(self):
        await curio.spawn(self.server.run, daemon=True)
        await curio.spawn(self._entry.bus.run, daemon=True)
        await self.run_agent()
        await self.wait_until(lambda: not self.gate.running)

    async def wait_until(self, condition):
        async with curio.timeout_after(20):
            while not condition():
                await curio.sleep(0.01)

    async def call(
        self,
        request_id,
        service_ms=1,
        urgency=URGENT,
        budget_ms=15_000,
        age_ms=0,
        incarnation=None,
    ):
        serve = messages.Serve(
            request_id,
            "POST",
            "/fit",
            (("x-service-ms", str(service_ms)),),
            b"clapper",
            urgency,
            "default",
            budget_ms,
            self.agent.clock.now() * 1000 - age_ms,
            incarnation or self.agent.bus.incarnation,
        )
        wait_s = 5 if age_ms else budget_ms / 1000
        result = await self._entry.bus.call("memory:agent", serve, wait_s)
        return getattr(result, "message", result)

    async def spawn(self, *args, **kwargs):
        return await curio.spawn(lambda: self.call(*args, **kwargs))

    async def stats(self):
        request = http.Request("GET", "/stats")
        return (await self.minion.handle(request)).body


def run(scenario, **kwargs):
    async def main():
        harness = GateHarness(**kwargs)
        await harness.run()
        await scenario(harness)

    curio.run(main)


class TestSlots:
    def test_runs_at_most_one_request_per_slot(self):
        async def scenario(harness):
            calls = [await harness.spawn(f"r{i}", 20) for i in range(20)]
            for call in calls:
                assert (await call.join()).status == 200
            assert b'"most_running":2' in await harness.stats()

        run(scenario)

    def test_a_slot_stays_taken_after_the_deadline(self):
        async def scenario(harness):
            late = await harness.call("slow", 600, budget_ms=50)
            assert late == bus.NoAnswer()
            assert harness.gate.running == 1
            await harness.wait_until(lambda: not harness.gate.running)
            assert (await harness.call("next")).status == 200
            assert b'"over_slots":0' in await harness.stats()

        run(scenario, slots=1)

    def test_a_restarted_agent_counts_requests_of_its_predecessor(self):
        async def scenario(harness):
            for index in range(2):
                await harness.spawn(f"old{index}", 700)
            await harness.wait_until(lambda: harness.gate.running == 2)
            await curio.sleep(0.1)
            harness.start_agent()
            await harness.run_agent()
            assert harness.gate.running == 2
            assert (await harness.call("new")).status == 200
            stats = await harness.stats()
            assert b'"over_slots":0' in stats
            assert b'"old0":1' in stats

        run(scenario)


class TestRefusals:
    def test_a_request_that_can_not_finish_in_time_is_not_run(self):
        async def scenario(harness):
            for index in range(30):
                assert (await harness.call(f"warm{index}", 50)).status == 200
            await harness.spawn("long", 3000)
            await harness.wait_until(lambda: harness.gate.running)
            result = await harness.call("late", 50, budget_ms=200)
            assert result.kind is outcome.Kind.TOO_LATE
            assert result.ran is outcome.Ran.NO
            assert b"late" not in await harness.stats()

        run(scenario, slots=1)

    def test_a_request_past_its_deadline_is_not_run(self):
        async def scenario(harness):
            result = await harness.call("old", budget_ms=1000, age_ms=1100)
            assert result.kind is outcome.Kind.TOO_LATE
            assert result.ran is outcome.Ran.NO
            await curio.sleep(0.1)
            assert b"old" not in await harness.stats()

        run(scenario)

    def test_a_request_for_an_earlier_incarnation_is_not_run(self):
        async def scenario(harness):
            stale = harness.agent.bus.incarnation
            harness.start_agent()
            await harness.run_agent()
            result = await harness.call("stale", incarnation=stale)
            assert result.kind is outcome.Kind.NOT_SENT
            assert result.ran is outcome.Ran.NO
            assert b"stale" not in await harness.stats()

        run(scenario)

    def test_a_full_queue_sheds_the_least_urgent_class(self):
        async def scenario(harness):
            batch = [await harness.spawn(f"b{i}", 30, BATCH) for i in range(40)]
            await harness.wait_until(lambda: harness.gate.queued >= 16)
            urgent = [await harness.spawn(f"u{i}", 1) for i in range(4)]
            for call in urgent:
                assert (await call.join()).status == 200
            kinds = [getattr(await call.join(), "kind", None) for call in batch]
            shed = kinds.count(outcome.Kind.QUEUE_FULL)
            assert 40 - 16 - 1 <= shed < 40
            assert harness.gate.queued == 0

        run(scenario, slots=1)

    @pytest.mark.parametrize(
        "limits", [{"queue_per_slot": 3}, {"queue_bytes": 3 * len(b"clapper")}]
    )
    def test_changed_limits_apply_to_queued_requests(self, limits):
        async def scenario(harness):
            first = await harness.spawn("first", 300)
            await harness.wait_until(lambda: harness.gate.running)
            calls = [await harness.spawn(f"a{i}", 1) for i in range(8)]
            await harness.wait_until(lambda: harness.gate.queued == 8)
            harness.set_limits(**limits)
            calls.append(await harness.spawn("b", 1))
            await harness.wait_until(lambda: harness.gate.queued == 3)
            kinds = [getattr(await c.join(), "kind", None) for c in calls]
            assert kinds.count(outcome.Kind.QUEUE_FULL) == 6
            assert (await first.join()).status == 200

        run(scenario, slots=1)

    def test_a_draining_gate_refuses_new_and_finishes_accepted_requests(self):
        async def scenario(harness):
            accepted = [await harness.spawn(f"a{i}", 50) for i in range(6)]
            await harness.wait_until(lambda: harness.gate.queued == 4)
            draining = await curio.spawn(harness.gate.drain, 10)
            await curio.sleep(0.01)
            assert (await harness.call("n")).kind is outcome.Kind.DRAINING
            await draining.join()
            for call in accepted:
                assert (await call.join()).status == 200

        run(scenario)


BROKEN_RESPONSES = (
    b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly half",
    b"HTTP/1.1 200 OK\r\n",
    b"not http at all\r\n\r\n",
    b"",
)


class TestMinionFailures:
    @pytest.mark.parametrize("data", BROKEN_RESPONSES)
    def test_an_incomplete_or_malformed_response_is_an_unknown_outcome(
        self, data
    ):
        async def serve(client, _address):
            if b"POST" in await client.recv(1000):
                await client.sendall(data)

        async def scenario():
            socket = curio.tcp_server_socket("127.0.0.1", 0)
            host, port = socket.getsockname()
            await curio.spawn(
                curio.network.run_server, socket, serve, daemon=True
            )
            harness = GateHarness(address=f"{host}:{port}", longest_run_ms=1000)
            await harness.run()
            result = await harness.call("half")
            assert result.kind is outcome.Kind.TARGET_FAILED
            assert result.ran is outcome.Ran.UNKNOWN

        curio.run(scenario)

    def test_an_unreachable_minion_means_not_run(self):
        async def scenario(harness):
            result = await harness.call("gone")
            assert result.kind is outcome.Kind.NOT_SENT
            assert result.ran is outcome.Ran.NO

        run(scenario, address="127.0.0.1:9")
