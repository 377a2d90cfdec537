import random

import curio
import pytest

from pomelostair import bus as bus_module
from pomelostair import clock as clock_module
from pomelostair import entrypeers
from pomelostair import kernel
from pomelostair import metrics
from pomelostair import outcome
from pomelostair import pipeline
from pomelostair import pipelineapi
from pomelostair import pipelinerows
from pomelostair import settings
from pomelostair import store
from tests import faultystore
from tests import parts as parts_module
from tests import pipelines

F = faultystore.Fault
METRICS = metrics.Metrics()
ID = "00000000000000a1"


class Harness:
    """An entry without a leader, over a store with injected faults."""

    def __init__(self):
        self.table = faultystore.FaultyTable()
        parts = kernel.Parts(
            settings=settings.Settings(
                role=settings.Role.PIPELINE_ENTRY,
                name="edge",
                zone="patan",
                bus="127.0.0.1:1",
                balancer="127.0.0.1:1",
                platform=settings.Platform("127.0.0.1:1"),
                pipelines=settings.Pipelines(),
            ),
            clock=clock_module.MonotonicClock(),
            bus=bus_module.MemoryBus(
                "edge", "memory:edge", METRICS, bus_module.MemoryNetwork()
            ),
            table=self.table,
            objects=store.MemoryObjects(),
            metrics=METRICS,
            random=random.Random(1),
        )
        self.host = parts_module.Host(parts)
        self.peers = self.host.get(entrypeers.EntryPeers)
        self.api = self.host.get(pipelineapi.PipelineApi)

    def run(self, body):
        return curio.run(curio.timeout_after, 20, body)

    async def submit(self, timeout_s=2.0):
        declared = pipelines.declare(ID)
        return await self.api.submit(pipelines.QUEUE, declared, timeout_s)

    async def stored(self):
        return await self.table.table.read(pipelinerows.declaration_key(ID))


class TestSubmit:
    @pytest.mark.parametrize(
        "faults",
        [
            [],
            [F.LOST_ANSWER],
            [F.LOST_REQUEST, F.LOST_ANSWER],
            [F.DELAYED, F.LOST_REQUEST],
            [F.UNAVAILABLE],
        ],
        ids=lambda faults: "+".join(f.name for f in faults) or "none",
    )
    def test_accepted_is_stored_once(self, faults):
        harness = Harness()

        async def body():
            harness.table.faults = list(faults)
            first = await harness.submit()
            again = await harness.submit()
            delayed = await harness.table.release()
            return first, again, delayed, await harness.stored()

        first, again, delayed, stored = harness.run(body)
        assert first == again == pipelineapi.Accepted()
        assert not any(isinstance(r, outcome.Committed) for r in delayed)
        assert isinstance(stored, store.Found)

    def test_not_run_is_reported_only_when_nothing_was_stored(self):
        harness = Harness()

        async def body():
            harness.table.down = True
            refused = await harness.submit()
            return refused, await harness.stored()

        refused, stored = harness.run(body)
        assert refused.ran is outcome.Ran.NO
        assert isinstance(stored, store.Absent)

    def test_unknown_outcome_is_never_reported_as_not_run(self):
        harness = Harness()

        async def body():
            harness.table.faults = [F.DELAYED] + [F.UNAVAILABLE] * 1000
            refused = await harness.submit(timeout_s=0.5)
            harness.table.faults = []
            await harness.table.release()
            return refused, await harness.stored()

        refused, stored = harness.run(body)
        assert refused.ran is outcome.Ran.UNKNOWN
        assert isinstance(stored, store.Found)

    def test_short_outage_of_the_store_refuses_no_caller(self):
        """A caller that is refused at once may use up its few retries."""
        harness = Harness()

        async def body():
            harness.table.down = True
            task = await curio.spawn(harness.submit, 3.0)
            await curio.sleep(0.3)
            harness.table.down = False
            return await task.join()

        assert harness.run(body) == pipelineapi.Accepted()

    def test_unavailable_store_is_reported_before_the_deadline(self):
        harness = Harness()

        async def body():
            harness.table.down = True
            await curio.timeout_after(1.0, harness.submit, 3.0)

        harness.run(body)


class TestShow:
    def test_status_is_read_from_the_store_without_a_leader(self):
        harness = Harness()

        async def body():
            unknown = await harness.api.show(ID)
            await harness.submit()
            queued = await harness.api.show(ID)
            ended = pipeline.Progress(pipeline.Phase.COMPLETED)
            put = store.Put(
                pipelinerows.progress_key(ID), pipeline.encode(ended)
            )
            await harness.table.commit(store.Transaction(puts=(put,)))
            return unknown, queued, await harness.api.show(ID)

        unknown, queued, ended = harness.run(body)
        assert unknown == pipelineapi.NotFound()
        assert queued == pipelineapi.Status(pipeline.Phase.QUEUED)
        assert ended == pipelineapi.Status(pipeline.Phase.COMPLETED)

    def test_unavailable_store_is_not_reported_as_not_found(self):
        harness = Harness()

        async def body():
            harness.table.down = True
            return await harness.api.show(ID)

        assert isinstance(harness.run(body), outcome.Refused)


class TestCancel:
    def test_unknown_is_not_found_and_known_is_cancelled(self):
        harness = Harness()

        async def body():
            unknown = await harness.api.cancel(pipelines.QUEUE, ID, 2.0)
            await harness.submit()
            first = await harness.api.cancel(pipelines.QUEUE, ID, 2.0)
            return (
                unknown,
                first,
                await harness.api.cancel(pipelines.QUEUE, ID, 2.0),
            )

        unknown, first, again = harness.run(body)
        assert unknown == pipelineapi.NotFound()
        assert first == again == pipelineapi.Accepted()


class TestPending:
    def test_is_refused_without_a_leader(self):
        harness = Harness()
        refused = harness.api.pending(pipelines.QUEUE)
        assert refused.kind is outcome.Kind.NO_LEADER
