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
from pomelostair.platform import port as platform_port
from tests import faultystore
from tests import parts as parts_module
from tests import pipelines

F = faultystore.Fault
METRICS = metrics.Metrics()
ID = "00000000000000a1"


class Harness:
    """An entry without a leader, over a store with injected faults."""

    def __init__(self, table=None, port=None, evacuate_ms=0):
        self.table = table or faultystore.FaultyTable()
        parts = kernel.Parts(
            settings=settings.Settings(
                role=settings.Role.PIPELINE_ENTRY,
                name="edge",
                zone="patan",
                bus="127.0.0.1:1",
                balancer="127.0.0.1:1",
                platform=settings.Platform("127.0.0.1:1"),
                pipelines=settings.Pipelines(evacuate_ms=evacuate_ms),
            ),
            clock=clock_module.MonotonicClock(),
            bus=bus_module.MemoryBus(
                "edge", "memory:edge", METRICS, bus_module.MemoryNetwork()
            ),
            table=self.table,
            objects=store.MemoryObjects(),
            metrics=METRICS,
            random=random.Random(1),
            port=port or platform_port.PlatformPort(),
        )
        self.host = parts_module.Host(parts)
        self.peers = self.host.get(entrypeers.EntryPeers)
        self.api = self.host.get(pipelineapi.PipelineApi)

    def run(self, body):
        return curio.run(curio.timeout_after, 20, body)

    async def submit(self, timeout_s=2.0):
        declared = pipelines.declare(ID)
        return await self.api.submit(pipelines.QUEUE, declared, timeout_s)

    async def cancel(self, pipeline_id=ID, timeout_s=2.0):
        return await self.api.cancel(pipelines.QUEUE, pipeline_id, timeout_s)

    async def end_faults(self):
        """Waits until the circuit breaker has noticed that they are over."""
        self.table.faults = []
        while isinstance(
            await self.peers.table.read("any"), outcome.Unavailable
        ):
            await curio.sleep(0.01)

    async def stored(self):
        return await self.table.table.read(pipelinerows.declaration_key(ID))

    async def stored_cancellation(self):
        return await self.table.table.read(pipelinerows.cancellation_key(ID))


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

    def test_conflict_without_a_cause_is_repeated(self):
        """The rows have changed between the checks and the answer."""
        harness = Harness()

        async def conflict(_transaction):
            del harness.table.commit
            return outcome.Conflict("", 0)

        async def body():
            harness.table.commit = conflict
            return await harness.submit(), await harness.stored()

        submitted, stored = harness.run(body)
        assert submitted == pipelineapi.Accepted()
        assert isinstance(stored, store.Found)

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
            unknown = await harness.cancel("00000000000000a2")
            await harness.submit()
            first = await harness.cancel()
            return unknown, first, await harness.cancel()

        unknown, first, again = harness.run(body)
        assert unknown == pipelineapi.NotFound()
        assert first == again == pipelineapi.Accepted()

    def test_repeated_submission_of_a_cancelled_pipeline_stays_accepted(self):
        harness = Harness()

        async def body():
            await harness.submit()
            await harness.cancel()
            return await harness.submit()

        assert harness.run(body) == pipelineapi.Accepted()

    def test_repeated_cancellation_writes_nothing(self):
        harness = Harness()

        async def body():
            await harness.submit()
            await harness.cancel()
            version = harness.table.table.version
            return await harness.cancel(), harness.table.table.version - version

        assert harness.run(body) == (pipelineapi.Accepted(), 0)

    def test_pipeline_accepted_during_its_cancellation_is_cancelled(self):
        """Guards against 410 for what was accepted after the first read."""
        harness = Harness()

        async def body():
            await harness.submit()
            harness.table.read = read_early
            cancelled = await harness.cancel()
            return cancelled, await harness.stored_cancellation()

        async def read_early(_key):
            del harness.table.read
            return store.Absent()

        cancelled, stored = harness.run(body)
        assert cancelled == pipelineapi.Accepted()
        assert isinstance(stored, store.Found)


class TestCancelBeforeAcceptance:
    """The cancellation comes before the write of the submission."""

    def test_late_write_takes_no_effect(self):
        """Guards against runs of cancelled work (review/9, UNASKED)."""
        harness = Harness()

        async def body():
            harness.table.faults = [F.DELAYED] * 1000
            submitted = await harness.submit(timeout_s=0.5)
            await harness.end_faults()
            cancelled = await harness.cancel()
            delayed = await harness.table.release()
            shown = await harness.api.show(ID)
            return submitted, cancelled, delayed, shown, await harness.stored()

        submitted, cancelled, delayed, shown, stored = harness.run(body)
        assert submitted.ran is outcome.Ran.UNKNOWN
        assert cancelled == pipelineapi.NotFound()
        assert delayed
        assert not any(isinstance(r, outcome.Committed) for r in delayed)
        assert shown == pipelineapi.NotFound()
        assert isinstance(stored, store.Absent)

    def test_later_submission_is_refused_for_good(self):
        """A caller can't tell which of its requests arrives last."""
        harness = Harness()

        async def body():
            cancelled = await harness.cancel()
            submitted = await harness.submit()
            shown = await harness.api.show(ID)
            return cancelled, submitted, shown, await harness.stored()

        cancelled, submitted, shown, stored = harness.run(body)
        assert cancelled == shown == pipelineapi.NotFound()
        assert submitted.kind is outcome.Kind.CANCELLED
        assert submitted.ran is outcome.Ran.NO
        assert isinstance(stored, store.Absent)

    @pytest.mark.parametrize(
        ("fault", "ran"),
        [
            (F.LOST_REQUEST, outcome.Ran.UNKNOWN),
            (F.LOST_ANSWER, outcome.Ran.UNKNOWN),
            (F.DELAYED, outcome.Ran.UNKNOWN),
            (F.UNAVAILABLE, outcome.Ran.NO),
        ],
        ids=lambda value: value.name,
    )
    def test_is_not_acknowledged_without_an_answer_of_the_store(
        self, fault, ran
    ):
        harness = Harness()

        async def body():
            harness.table.faults = [fault] * 1000
            return await harness.cancel(timeout_s=0.5)

        refused = harness.run(body)
        assert isinstance(refused, outcome.Refused)
        assert refused.ran is ran

    def test_repeated_after_a_lost_answer_is_acknowledged(self):
        harness = Harness()

        async def body():
            harness.table.faults = [F.LOST_ANSWER] * 1000
            await harness.cancel(timeout_s=0.5)
            await harness.end_faults()
            return await harness.cancel(), await harness.submit()

        cancelled, submitted = harness.run(body)
        assert cancelled == pipelineapi.NotFound()
        assert submitted.kind is outcome.Kind.CANCELLED

    def test_late_cancellation_reaches_a_later_submission(self):
        """It was not acknowledged, but no less sent."""
        harness = Harness()

        async def body():
            harness.table.faults = [F.DELAYED] * 1000
            await harness.cancel(timeout_s=0.5)
            await harness.end_faults()
            submitted = await harness.submit()
            await harness.table.release()
            return submitted, await harness.stored_cancellation()

        submitted, stored = harness.run(body)
        assert submitted == pipelineapi.Accepted()
        assert isinstance(stored, store.Found)


class TestManyUnknownCancellations:
    def test_leave_the_writes_of_the_store_to_submissions(self):
        """Guards against callers who cancel unknown ids without end."""
        harness = Harness()
        clock = harness.api._clock = clock_module.ManualClock(start=1000.0)
        results = []

        async def cancel(count):
            for _ in range(count):
                unknown = f"{len(results):016x}"
                results.append(await harness.cancel(unknown))

        async def body():
            await cancel(200)
            first = harness.table.commits
            submitted = await harness.submit()
            for _ in range(100):
                clock.advance(0.1)
                await cancel(10)
            return first, harness.table.commits - first - 1, submitted

        first, later, submitted = harness.run(body)
        assert first == pipelineapi.MAX_TOMBSTONE_BURST
        writes_per_s = settings.DEFAULT_WRITES_PER_S
        assert later <= 10 * 0.02 * writes_per_s + 1
        assert submitted == pipelineapi.Accepted()
        refused = [r for r in results if isinstance(r, outcome.Refused)]
        assert len(results) - len(refused) == first + later
        assert {(r.kind, r.ran) for r in refused} == {
            (outcome.Kind.LIMITED, outcome.Ran.NO)
        }

    def test_accepted_pipelines_are_cancelled_all_the_same(self):
        harness = Harness()

        async def body():
            await harness.submit()
            for number in range(2 * pipelineapi.MAX_TOMBSTONE_BURST):
                await harness.cancel(f"{number:016x}")
            return await harness.cancel()

        assert harness.run(body) == pipelineapi.Accepted()

    def test_all_entries_share_one_limit(self):
        harness = Harness()
        alone = harness.api._tombstones_per_s
        harness.peers._add_peer("memory:other")
        assert harness.api._tombstones_per_s == alone / 2


class TestPending:
    def test_is_refused_without_a_leader(self):
        harness = Harness()
        refused = harness.api.pending(pipelines.QUEUE)
        assert refused.kind is outcome.Kind.NO_LEADER
