import curio
import pytest

from pomelostair import circuitbreaker
from pomelostair import clock as clock_module
from pomelostair import outcome
from pomelostair import store
from tests import faultystore

Fault = faultystore.Fault
KEY = "pipelines/1/job/a"
TRANSACTION = store.Transaction((store.Check(KEY, 0),), (store.Put(KEY, b"1"),))


class Harness:
    """A circuit breaker before a store with faults."""

    def __init__(self):
        self.store = faultystore.FaultyTable(store.MemoryTable())
        self.clock = clock_module.ManualClock(10.0)
        self.table = circuitbreaker.CircuitBreakerTable(self.store, self.clock)

    async def wait_for_probe(self):
        """Waits for the probe that the next operation starts."""
        self.clock.advance(circuitbreaker.PROBE_INTERVAL_S + 0.1)
        result = await self.table.read(KEY)
        await curio.sleep(0.01)
        return result


@pytest.fixture
def harness():
    return Harness()


class TestCircuitBreaker:
    def test_one_refusal_does_not_open_the_circuit(self, harness):
        async def body():
            harness.store.down = True
            await harness.table.read(KEY)
            assert not harness.table.is_open
            harness.store.down = False
            assert isinstance(await harness.table.read(KEY), store.Absent)
            harness.store.down = True
            await harness.table.read(KEY)
            assert not harness.table.is_open
            await harness.table.read(KEY)
            assert harness.table.is_open

        curio.run(body)

    def test_missing_answer_opens_the_circuit(self, harness):
        harness.store.faults = [Fault.LOST_ANSWER]

        async def body():
            result = await harness.table.commit(TRANSACTION)
            assert isinstance(result, outcome.Unknown)
            assert harness.table.is_open

        curio.run(body)

    def test_operations_are_not_sent_while_the_circuit_is_open(self, harness):
        harness.store.faults = [Fault.LOST_REQUEST]

        async def body():
            await harness.table.commit(TRANSACTION)
            result = await harness.table.commit(TRANSACTION)
            assert isinstance(result, outcome.Unavailable)

        curio.run(body)
        assert harness.store.commits == 1

    def test_probe_closes_the_circuit(self, harness):
        harness.store.faults = [Fault.LOST_REQUEST]

        async def body():
            await harness.table.commit(TRANSACTION)
            harness.store.down = True
            refused = await harness.wait_for_probe()
            assert isinstance(refused, outcome.Unavailable)
            assert harness.table.is_open
            harness.store.down = False
            await harness.wait_for_probe()
            assert not harness.table.is_open

        curio.run(body)

    def test_operations_do_not_wait_for_a_probe(self, harness):
        harness.store.faults = [Fault.LOST_REQUEST]

        async def body():
            await harness.table.commit(TRANSACTION)
            harness.store.frozen = True
            async with curio.timeout_after(1):
                for _ in range(3):
                    refused = await harness.wait_for_probe()
                    assert isinstance(refused, outcome.Unavailable)

        curio.run(body)

    def test_outdated_failure_does_not_open_the_circuit(self, harness):
        """Operations that were lost fail long after the store is back."""
        harness.store.frozen = True

        async def lost_commit(_transaction):
            await harness.store.wait_while_frozen()
            return outcome.Unknown("no answer")

        harness.store.commit = lost_commit

        async def body():
            lost = await curio.spawn(harness.table.commit, TRANSACTION)
            await curio.sleep(0.01)
            harness.clock.advance(1.0)
            await harness.table.scan("pipelines/1/")
            harness.store.frozen = False
            assert isinstance(await lost.join(), outcome.Unknown)
            assert not harness.table.is_open

        curio.run(body)
