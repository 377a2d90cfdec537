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
class InForce:
    """Stands for the configuration of the process."""

    in_force: declaration.InForce


class Bench:
    """A gate beside a minion in this process, and an entry's bus."""

    def __init__(self, slots=2, address=None, **target):
        self.minion = minion_standin.Minion(slots, 1.0, 1)
        self.server = httpserver.Server(
            "127.0.0.1", 0, self.minion.answer, service.error_page
        )
        self._network = bus.MemoryNetwork()
        self._target = settings.MinionTarget(
            address or f"127.0.0.1:{self.server.port}",
            "clapper-desk",
            slots,
            status_path="/stats",
            **target,
        )
        self._entry = parts.make(self._network, "entry")[1]
        self.start_agent()

    def start_agent(self):
        host, self.agent = parts.make(
            self._network,
            "agent",
            role=settings.Role.AGENT,
            target=self._target,
        )
        self.gate = host.get(gate.Gate)

    def limit(self, **changes):
        """Puts other limits in force."""
        declarations = declaration.Declarations(
            limits=declaration.Limits(**changes)
        )
        self.gate._configuration = InForce(declaration.InForce(2, declarations))

    async def run_agent(self):
        await curio.spawn(self.agent.bus.run, daemon=True)
        await curio.spawn(self.gate.run, daemon=True)

    async def run(self):
        await curio.spawn(self.server.run, daemon=True)
        await curio.spawn(self._entry.bus.run, daemon=True)
        await self.run_agent()
        await self.until(lambda: not self.gate.running)

    async def until(self, condition):
        async with curio.timeout_after(20):
            while not condition():
                await curio.sleep(0.01)

    async def call(
        self,
        request_id,
        ms=1,
        urgency=URGENT,
        budget_ms=15_000,
        age_ms=0,
        incarnation=None,
    ):
        serve = messages.Serve(
            request_id,
            "POST",
            "/fit",
            (("x-service-ms", str(ms)),),
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
        bench = Bench(**kwargs)
        await bench.run()
        await scenario(bench)

    curio.run(main)


class TestSlots:
    def test_never_over_the_slots(self):
        async def scenario(bench):
            calls = [await bench.spawn(f"r{i}", 20) for i in range(20)]
            for call in calls:
                assert (await call.join()).status == 200
            assert b'"most_running":2' in await bench.stats()

        run(scenario)

    def test_a_slot_stays_taken_after_the_deadline(self):
        async def scenario(bench):
            late = await bench.call("slow", 600, budget_ms=50)
            assert late == bus.NoAnswer()
            assert bench.gate.running == 1
            await bench.until(lambda: not bench.gate.running)
            assert (await bench.call("next")).status == 200
            assert b'"over_slots":0' in await bench.stats()

        run(scenario, slots=1)

    def test_a_restarted_agent_waits_for_what_its_minion_still_runs(self):
        async def scenario(bench):
            for index in range(2):
                await bench.spawn(f"old{index}", 700)
            await bench.until(lambda: bench.gate.running == 2)
            await curio.sleep(0.1)
            bench.start_agent()
            await bench.run_agent()
            assert bench.gate.running == 2
            assert (await bench.call("new")).status == 200
            stats = await bench.stats()
            assert b'"over_slots":0' in stats
            assert b'"old0":1' in stats

        run(scenario)


class TestRefusals:
    def test_what_can_not_finish_is_refused_before_its_deadline(self):
        async def scenario(bench):
            for index in range(30):
                assert (await bench.call(f"warm{index}", 50)).status == 200
            await bench.spawn("long", 3000)
            await bench.until(lambda: bench.gate.running)
            result = await bench.call("late", 50, budget_ms=200)
            assert result.kind is outcome.Kind.TOO_LATE
            assert result.ran is outcome.Ran.NO
            assert b"late" not in await bench.stats()

        run(scenario, slots=1)

    def test_a_message_older_than_its_budget_is_not_run(self):
        async def scenario(bench):
            result = await bench.call("old", budget_ms=1000, age_ms=1100)
            assert result.kind is outcome.Kind.TOO_LATE
            assert result.ran is outcome.Ran.NO
            await curio.sleep(0.1)
            assert b"old" not in await bench.stats()

        run(scenario)

    def test_a_message_for_an_earlier_incarnation_is_not_run(self):
        async def scenario(bench):
            stale = bench.agent.bus.incarnation
            bench.start_agent()
            await bench.run_agent()
            result = await bench.call("stale", incarnation=stale)
            assert result.kind is outcome.Kind.NOT_SENT
            assert result.ran is outcome.Ran.NO
            assert b"stale" not in await bench.stats()

        run(scenario)

    def test_a_full_queue_sheds_the_least_urgent(self):
        async def scenario(bench):
            batch = [await bench.spawn(f"b{i}", 30, BATCH) for i in range(40)]
            await bench.until(lambda: bench.gate.queued >= 16)
            urgent = [await bench.spawn(f"u{i}", 1) for i in range(4)]
            for call in urgent:
                assert (await call.join()).status == 200
            kinds = [getattr(await call.join(), "kind", None) for call in batch]
            shed = kinds.count(outcome.Kind.QUEUE_FULL)
            assert 40 - 16 - 1 <= shed < 40
            assert bench.gate.queued == 0

        run(scenario, slots=1)

    @pytest.mark.parametrize(
        "limits", [{"queue_per_slot": 3}, {"queue_bytes": 3 * len(b"clapper")}]
    )
    def test_limits_change_while_running(self, limits):
        async def scenario(bench):
            first = await bench.spawn("first", 300)
            await bench.until(lambda: bench.gate.running)
            calls = [await bench.spawn(f"a{i}", 1) for i in range(8)]
            await bench.until(lambda: bench.gate.queued == 8)
            bench.limit(**limits)
            calls.append(await bench.spawn("b", 1))
            await bench.until(lambda: bench.gate.queued == 3)
            kinds = [getattr(await c.join(), "kind", None) for c in calls]
            assert kinds.count(outcome.Kind.QUEUE_FULL) == 6
            assert (await first.join()).status == 200

        run(scenario, slots=1)

    def test_a_draining_gate_refuses_and_finishes(self):
        async def scenario(bench):
            accepted = [await bench.spawn(f"a{i}", 50) for i in range(6)]
            await bench.until(lambda: bench.gate.queued == 4)
            draining = await curio.spawn(bench.gate.drain, 10)
            await curio.sleep(0.01)
            assert (await bench.call("n")).kind is outcome.Kind.DRAINING
            await draining.join()
            for call in accepted:
                assert (await call.join()).status == 200

        run(scenario)


BROKEN = (
    b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly half",
    b"HTTP/1.1 200 OK\r\n",
    b"not http at all\r\n\r\n",
    b"",
)


class TestAnswers:
    @pytest.mark.parametrize("data", BROKEN)
    def test_a_minion_that_dies_in_an_answer_is_never_a_success(self, data):
        async def serve(client, _address):
            if b"POST" in await client.recv(1000):
                await client.sendall(data)

        async def scenario():
            socket = curio.tcp_server_socket("127.0.0.1", 0)
            host, port = socket.getsockname()
            await curio.spawn(
                curio.network.run_server, socket, serve, daemon=True
            )
            bench = Bench(address=f"{host}:{port}", longest_run_ms=1000)
            await bench.run()
            result = await bench.call("half")
            assert result.kind is outcome.Kind.TARGET_FAILED
            assert result.ran is outcome.Ran.UNKNOWN

        curio.run(scenario)

    def test_a_minion_that_is_gone_is_a_definite_no(self):
        async def scenario(bench):
            result = await bench.call("gone")
            assert result.kind is outcome.Kind.NOT_SENT
            assert result.ran is outcome.Ran.NO

        run(scenario, address="127.0.0.1:9")
