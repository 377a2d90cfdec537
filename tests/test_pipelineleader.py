import math
import time

import attrs
import curio
import msgspec
import pytest

from pomelostair import clock as clock_module
from pomelostair import contention
from pomelostair import evacuation
from pomelostair import fleet
from pomelostair import outcome
from pomelostair import pipeline
from pomelostair import pipelineapi
from pomelostair import pipelineleader
from pomelostair import pipelinelease
from pomelostair import pipelinemessages as messages
from pomelostair import pipelinerows
from pomelostair import pipelinescheduler
from pomelostair import settings
from pomelostair import store
from pomelostair.platform import port as platform_port
from tests import faultystore
from tests import leaders
from tests import nested
from tests import pipelines
from tests import silenttable
from tests import simulatedtime
from tests import test_pipelineapi


def lease_row(epoch, end_ms=0.0):
    return pipelinelease.LeaseRow(epoch, "edge", "memory:edge", "t", end_ms)


class TestTakeoverDelay:
    def test_small_hosts_campaign_after_larger_ones(self):
        """An entry with too few cores can't lead 70 workers.

        The site has entries with half a core up to two cores.
        """
        small = pipelineleader.takeover_delay_s(0.516)
        large = pipelineleader.takeover_delay_s(2.15)
        assert small > large + pipelineleader.TAKEOVER_JITTER_S
        assert large == 0.0


class TestRoundDelay:
    def test_long_rounds_leave_the_processor_to_reports(self):
        """A burst with hundreds of waiting pipelines, reports all the time.

        Each report requests a round. If rounds followed each other at once,
        ends would not be taken in, and the queue would never shrink.
        """
        for took_s in (0.001, 0.02, 0.06):
            delay_s = pipelineleader.round_delay_s(took_s)
            assert took_s / (took_s + delay_s) <= 0.34

    def test_is_bounded_by_the_round_interval(self):
        assert pipelineleader.round_delay_s(0.0) > 0
        assert (
            pipelineleader.round_delay_s(9.0) == pipelineleader.ROUND_INTERVAL_S
        )


class TestPollLease:
    def test_reading_the_lease_row_does_not_reset_the_leader_silence(self):
        """The row of a failed leader stays in the store until its lease lapses.

        If reading it counted as news of the leader, the other entries would
        wait for another timeout instead of checking the lease.
        """
        harness = test_pipelineapi.Harness()
        leader = harness.host.get(pipelineleader.PipelineLeader)
        row = pipelinelease.LeaseRow(1, "lost", "bus-lost", "t", 1e15)
        put = store.Put(pipelinelease.KEY, msgspec.msgpack.encode(row))
        harness.table.time = harness.table.table.time

        async def body():
            await harness.table.commit(store.Transaction(puts=(put,)))
            await leader._poll_lease()
            assert harness.peers.leader.bus == "bus-lost"
            before = harness.peers.leader_silence_s
            await curio.sleep(pipelineleader.LEADER_TIMEOUT_S)
            await leader._poll_lease()
            assert harness.peers.leader_silence_s > before
            assert (
                harness.peers.leader_silence_s > pipelineleader.LEADER_TIMEOUT_S
            )

        harness.run(body)


class TestWatchRows:
    @pytest.mark.parametrize("idle", [0, 1, 16])
    def test_stored_row_is_seen_in_time_on_silent_connections(
        self, idle, monkeypatch
    ):
        """Guards against a watch that outlasts the bounds of cancellations.

        The message of the entry that stored the row is lost as well.
        """
        took_s = []

        async def body():
            table = silenttable.SilentTable()
            table.idle = idle
            leader = test_pipelineapi.Harness(table).host.get(
                pipelineleader.PipelineLeader
            )
            applied = []
            leader._apply_to_registry = applied.append
            await curio.spawn(leader._watch_rows, daemon=True)
            for step in range(60):
                await curio.sleep(7 + 0.037 * step)
                table.silence()
                silent_s = time.monotonic()
                await curio.sleep(0.13 * (step % 8))
                key = pipelinerows.cancellation_key(f"{step:016x}")
                put = store.Put(key, b"")
                await table.table.commit(store.Transaction(puts=(put,)))
                while len(applied) <= step:
                    await curio.sleep(0.01)
                    assert time.monotonic() < silent_s + 60
                took_s.append(time.monotonic() - silent_s)

        simulatedtime.run(monkeypatch, body)
        assert max(took_s) <= settings.Pipelines().reconnect_ms / 1000


class TestAdoptLearned:
    @pytest.mark.parametrize(
        ("value", "pressure"),
        [
            (
                msgspec.msgpack.encode(
                    contention.Learned((("s", "f", 1.0, 0.01),))
                ),
                1.0,
            ),
            (b"\xc1", None),
        ],
        ids=["stored", "malformed"],
    )
    def test_row_of_the_last_leader(self, value, pressure):
        harness = test_pipelineapi.Harness()
        leader = harness.host.get(pipelineleader.PipelineLeader)
        leader._scheduler = pipelinescheduler.PipelineScheduler(
            2, 0, test_pipelineapi.METRICS, lambda: 0.0, 7.9
        )
        put = store.Put(pipelinerows.LEARNED_KEY, value)

        async def body():
            await harness.table.commit(store.Transaction(puts=(put,)))
            await leader._adopt_learned()

        harness.run(body)
        means = [p[2] for p in leader._scheduler.contention.learned(9).pairs]
        assert means == ([] if pressure is None else [pressure])


class TestEncodeLearned:
    def test_fits_into_a_row(self):
        model = contention.Contention()
        pairs = tuple(
            (f"service-{n:080d}", f"filler-{n:080d}", 1.0, 1.0)
            for n in range(2000)
        )
        model.adopt(contention.Learned(pairs), 0.0)
        value = pipelinerows.encode_learned(model)
        assert 0 < len(value) <= pipelinerows.MAX_ROW_BYTES


class TestEncodeRegistration:
    @pytest.mark.parametrize("count", [1, 150])
    def test_fits_into_a_row_and_names_every_worker(self, count):
        """A row that the store refuses keeps the leader from any commit."""
        registration = fleet.Registration(
            "tcp://10.0.0.1:80",
            tuple(
                fleet.KnownIncarnation(
                    f"{n:0200d}", n, "10.0.0.1:8080", "s", "r", ("a" * 200,) * 9
                )
                for n in range(count)
            ),
        )
        value = pipelinerows.encode_registration(registration)
        assert len(value) <= pipelinerows.MAX_ROW_BYTES
        row = store.Row(f"{pipelinerows.AGENTS_PREFIX}w1", value, 1)
        decoded = pipelinerows.decode_registration(row)
        assert [k.key for k in decoded.lives] == [
            k.key for k in registration.lives
        ]
        assert (decoded == registration) == (count == 1)


class TestMalformedRows:
    """Rows of another writer; see `pipelinerows` for those of this one."""

    def recover(self, *puts):
        """Returns a harness and its leader, which has read the rows."""
        harness = test_pipelineapi.Harness()
        leader = harness.host.get(pipelineleader.PipelineLeader)
        leader._scheduler = pipelinescheduler.PipelineScheduler(
            2, 0, test_pipelineapi.METRICS, lambda: 0.0, 7.9
        )

        async def body():
            for put in puts:
                await harness.table.commit(store.Transaction(puts=(put,)))
            assert await leader._recover(0.0, pipelinelease.Handover())

        harness.run(body)
        return harness, leader

    def test_pipeline_without_readable_progress_is_not_scheduled(self):
        """Its tasks that are done must not run again."""
        names = ("00000000000000a1", "00000000000000a2")
        declarations = [
            store.Put(
                pipelinerows.declaration_key(name),
                pipeline.encode(pipelines.declare(name)),
            )
            for name in names
        ]
        key = pipelinerows.progress_key(names[0])
        harness, leader = self.recover(*declarations, store.Put(key, b"\xc1"))
        assert list(leader._scheduler.registry.pipelines) == [names[1]]
        shown = harness.run(lambda: harness.api.show(names[0]))
        assert isinstance(shown, outcome.Refused)

    def test_declaration_under_another_key_is_ignored(self):
        """Its pipeline would run again after its own row was deleted."""
        other = store.Put(
            pipelinerows.declaration_key("00000000000000a1"),
            pipeline.encode(pipelines.declare("00000000000000a2")),
        )
        _, leader = self.recover(other)
        assert not leader._scheduler.registry.pipelines

    def test_agent_without_readable_registration_may_have_work(self):
        _, leader = self.recover(
            store.Put(f"{pipelinerows.AGENTS_PREFIX}w1", b"\xc1")
        )
        assert leader._scheduler.unreported_agents == ("w1",)

    @pytest.mark.parametrize(
        "key",
        [
            pipelinerows.declaration_key("00000000000000a1"),
            pipelinerows.progress_key("00000000000000a1"),
            f"{pipelinerows.AGENTS_PREFIX}w1",
            pipelinerows.LEARNED_KEY,
        ],
    )
    def test_deeply_nested_row_ends_no_leader(self, key):
        """Each leader ended during its recovery, and so did the next ones."""
        name = "00000000000000a2"
        declaration = store.Put(
            pipelinerows.declaration_key(name),
            pipeline.encode(pipelines.declare(name)),
        )
        _, leader = self.recover(declaration, store.Put(key, nested.MSGPACK))
        assert list(leader._scheduler.registry.pipelines) == [name]

    @pytest.mark.parametrize(
        "value",
        [
            b"\xc1",
            nested.MSGPACK,
            msgspec.msgpack.encode(lease_row(2**64 - 1)),
            msgspec.msgpack.encode(lease_row(-1)),
            msgspec.msgpack.encode(lease_row(1, math.nan)),
        ],
        ids=["bytes", "nested", "large", "negative", "nan"],
    )
    def test_lease_row_is_unavailable(self, value):
        harness = test_pipelineapi.Harness()
        leader = harness.host.get(pipelineleader.PipelineLeader)
        put = store.Put(pipelinelease.KEY, value)

        async def body():
            await harness.table.commit(store.Transaction(puts=(put,)))
            observed = await leader._lease.read_lease()
            assert isinstance(observed, outcome.Unavailable)
            assert pipelinelease.KEY in observed.reason

        harness.run(body)


class TestTombstones:
    """Rows of cancelled pipelines that were never accepted."""

    def lead(self, *names):
        """Returns a harness and a new leader, after cancellations of names."""
        harness = test_pipelineapi.Harness()
        leader = harness.host.get(pipelineleader.PipelineLeader)
        leader._clock = clock_module.ManualClock(start=1000.0)
        leader._scheduler = pipelinescheduler.PipelineScheduler(
            2, 0, test_pipelineapi.METRICS, lambda: 0.0, 7.9
        )

        async def body():
            for name in names:
                await harness.cancel(name)
            assert await leader._recover(0.0, pipelinelease.Handover())

        harness.run(body)
        return harness, leader

    async def expire(self, leader):
        leader._clock.advance(leader._retention_ms / 1000)
        await leader._delete_expired_tombstones()

    def test_are_deleted_after_their_retention(self):
        """Guards against cancellations that fill the store and the leader."""
        names = [test_pipelineapi.ID, "00000000000000a2"]
        harness, leader = self.lead(*names)

        async def body():
            await leader._delete_expired_tombstones()
            assert len(leader._tombstones) == 2
            refused = await harness.submit()
            await self.expire(leader)
            left = [
                await harness.table.table.read(
                    pipelinerows.cancellation_key(name)
                )
                for name in names
            ]
            return refused, left, await harness.submit()

        refused, left, submitted = harness.run(body)
        assert refused.kind is outcome.Kind.CANCELLED
        assert left == [store.Absent()] * 2
        assert len(leader._tombstones) == 0
        assert submitted == pipelineapi.Accepted()

    def test_are_no_pipelines(self):
        harness, leader = self.lead(test_pipelineapi.ID)
        assert leader._scheduler.registry.pending() == {}
        assert leader.status(test_pipelineapi.ID) is None

        async def body():
            stored = (await harness.stored_cancellation()).row
            return leader._apply_to_registry(stored)

        assert not harness.run(body)

    def test_cancellation_of_an_unreadable_declaration_stays(self):
        """Another version may read the declaration, and would run it."""
        harness, leader = self.lead()
        key = pipelinerows.declaration_key(test_pipelineapi.ID)

        async def body():
            put = store.Put(key, b"malformed")
            await harness.table.commit(store.Transaction(puts=(put,)))
            await harness.cancel()
            assert await leader._recover(0.0, pipelinelease.Handover())
            await self.expire(leader)
            return await harness.stored_cancellation()

        assert isinstance(harness.run(body), store.Found)
        assert len(leader._tombstones) == 0

    @pytest.mark.parametrize(
        "fault",
        [
            faultystore.Fault.UNAVAILABLE,
            faultystore.Fault.LOST_ANSWER,
            faultystore.Fault.LOST_REQUEST,
        ],
        ids=lambda fault: fault.name,
    )
    def test_deletion_is_repeated_until_it_is_answered(self, fault):
        harness, leader = self.lead(test_pipelineapi.ID)

        async def body():
            harness.table.faults = [fault]
            await self.expire(leader)
            assert len(leader._tombstones) == 1
            await harness.end_faults()
            await leader._delete_expired_tombstones()
            return await harness.stored_cancellation()

        assert harness.run(body) == store.Absent()
        assert len(leader._tombstones) == 0


class TestHandover:
    """What a leader leaves in the lease row, and what it finds there."""

    def lead(self):
        """Returns a harness and a leader that holds the lease."""
        harness = test_pipelineapi.Harness()
        leader = harness.host.get(pipelineleader.PipelineLeader)
        harness.table.time = harness.table.table.time
        leader._scheduler = pipelinescheduler.PipelineScheduler(
            1, 0, test_pipelineapi.METRICS, lambda: 0.0, 7.9
        )
        leader._leading = True
        self.sent = []

        async def send(bus, message):
            self.sent.append(message)

        leader._send = send

        async def acquire():
            assert await leader._lease.acquire(pipelinelease.ObservedLease())

        harness.run(acquire)
        return harness, leader

    def add_worker(self, leader, silent_s=0.0, **changes):
        now_s = leader._clock.now()
        worker = pipelines.worker("w1", now=now_s - silent_s)
        worker.grant_lease(now_s - silent_s)
        worker.state = attrs.evolve(worker.state, **changes)
        leader._scheduler.workers[worker.key] = worker
        return worker

    def test_grant_waits_for_a_row_without_the_worker(self):
        """Guards against a next leader that counts on leases having lapsed."""
        harness, leader = self.lead()
        worker = self.add_worker(leader)
        now_s = leader._clock.now()
        leader._scheduler.expect_agents(
            {}, now_s, silent={worker.key: now_s + 5.0}
        )

        async def body():
            await leader._answer_report(worker, now_s)
            assert [m.lease_end_ms for m in self.sent] == [0]
            harness.table.faults = [faultystore.Fault.UNAVAILABLE]
            assert await leader._commit()
            assert [m.lease_end_ms for m in self.sent] == [0]
            assert await leader._commit()
            assert self.sent[-1].lease_end_ms > 0
            observed = await leader._lease.read_lease()
            assert not observed.handover.silent

        harness.run(body)

    def test_withheld_grant_is_not_put_off_by_an_acknowledgement(self):
        """Ends without progress are acknowledged without a commit."""
        harness, leader = self.lead()
        worker = self.add_worker(leader)
        worker.applied_end = 3
        leader._last_renewal_s = leader._clock.now()

        async def body():
            await leader._answer_report(worker, leader._clock.now())
            leader._scheduler._unacknowledged.add(worker.key)
            assert await leader._commit()
            assert any(m.lease_end_ms > 0 for m in self.sent)

        harness.run(body)

    def test_unreachable_worker_causes_no_commit_with_each_report(self):
        harness, leader = self.lead()
        worker = self.add_worker(leader, 3.0, fresh=False, reachable=False)

        async def body():
            assert await leader._commit()
            await leader._answer_report(worker, leader._clock.now())
            assert not leader._withheld

        harness.run(body)

    def test_row_lists_a_silent_worker_by_the_clock_of_the_store(self):
        harness, leader = self.lead()
        worker = self.add_worker(leader, 5.0)

        async def body():
            assert await leader._commit()
            observed = await leader._lease.read_lease()
            (silent,) = observed.handover.silent
            assert (silent.worker, silent.life) == worker.key
            lapse_s = leader._lease.local_time_s(silent.end_ms)
            assert 2.9 <= lapse_s - leader._clock.now() < 3.5

        harness.run(body)

    def test_row_is_left_as_found_until_the_state_is_recovered(self):
        """Guards against a next leader that trusts in what is not known."""
        harness, leader = self.lead()
        leader._leading = False
        found = pipelinelease.Handover(
            False, (pipelinelease.LeaseEnd("w1", 1, 9.0),), 4.0
        )
        leader._lease._row = attrs.evolve(leader._lease._row, handover=found)

        async def body():
            assert await leader._commit()
            observed = await leader._lease.read_lease()
            assert observed.row.handover == found
            assert not leader._scheduler.grants.may_grant(("w2", 1))

        harness.run(body)

    def test_row_without_an_end_of_leases_bounds_them_by_their_length(self):
        """Earlier versions granted leases until the end of their own."""
        harness, leader = self.lead()

        async def body():
            now_s = leader._clock.now()
            assert await leader._recover(now_s, pipelinelease.Handover())
            lapse_s = leader._scheduler.grants.earlier_lapse_s(("w2", 1))
            assert lapse_s - now_s == pytest.approx(leader._max_lease_s)

        harness.run(body)

    def test_leader_that_holds_its_lease_again_extends_leases_at_once(self):
        """Guards against work that ends after an outage of the store."""
        harness, leader = self.lead()

        async def body():
            assert await leader._commit()
            leader._lease._held_until_s = 0.0
            leases_end_s = leader._lease.worker_leases_end_s
            leader._commit_requested.clear()
            assert await leader._commit()
            assert leader.leading
            assert leader._lease.worker_leases_end_s == leases_end_s
            assert leader._commit_requested.is_set()
            assert await leader._commit()
            assert leader._lease.worker_leases_end_s > leases_end_s

        harness.run(body)

    def test_short_grant_is_followed_by_a_full_one_at_once(self):
        """Guards against work that ends after an outage of the store.

        The next regular answer comes GRANT_INTERVAL_S later.
        """
        harness, leader = self.lead()
        worker = self.add_worker(leader)

        async def body():
            assert await leader._commit()
            leader._lease._held_until_s = 0.0
            leader._scheduler.grants.confirm(leader._clock.now() + 3.0)
            assert await leader._commit()
            await leader._answer_report(worker, leader._clock.now())
            short_ms = self.sent[-1].lease_end_ms
            assert await leader._commit()
            assert self.sent[-1].lease_end_ms > short_ms
            sent = len(self.sent)
            await leader._answer_report(worker, leader._clock.now())
            assert await leader._commit()
            assert len(self.sent) == sent + 1

        harness.run(body)

    @pytest.mark.parametrize("reports_first", [True, False])
    def test_start_of_a_lasting_task_is_sent_once_it_is_stored(
        self, reports_first
    ):
        """Guards against a start that the next leader does not know of.

        It also waits for a report, so that no lost worker is ordered to start.
        """
        harness, leader = self.lead()
        scheduler = leader._scheduler
        worker = self.add_worker(leader)
        scheduler.expect_agents({}, 0.0, placements_recorded=True)
        scheduler.set_queues(pipelines.TABLE)
        declared = pipelines.declare("a", pipelines.stage(lasting=True))
        now_s = leader._clock.now()
        scheduler.registry.add(
            declared, 9, pipeline.Progress(placed={}), now_s - 1.0
        )
        scheduler.run_round(now_s)
        assert worker.placements
        report = messages.AgentReport(
            "agent-w1", 1, 1, True, (worker.key,), (worker.state,), (), {}
        )

        def apply_report():
            scheduler.apply_report(report, "bus", "life", now_s + 0.1)

        if reports_first:
            apply_report()
        assert not worker.unconfirmed_orders

        async def body():
            assert await leader._commit()
            if not reports_first:
                assert not worker.unconfirmed_orders
                apply_report()
                await leader._notify_agents([worker])
            orders = [o for m in self.sent for o in m.orders]
            assert [o.task for o in orders] == ["a.0.0.0"]
            observed = await leader._lease.read_lease()
            assert observed.handover.placements_recorded

        harness.run(body)

    def test_commits_are_recorded_for_the_moves(self):
        """Guards against moves whose starts wait for a store that is down."""
        harness, leader = self.lead()
        recent = leader._scheduler.has_recent_commit

        async def body():
            assert not recent(leader._clock.now())
            started_s = leader._clock.now()
            assert await leader._commit()
            assert recent(started_s + evacuation.MAX_COMMIT_AGE_S - 0.01)
            committed_s = leader._clock.now()
            harness.table.down = True
            assert await leader._commit()
            assert not recent(committed_s + evacuation.MAX_COMMIT_AGE_S)

        harness.run(body)

    @pytest.mark.parametrize("recorded", [True, False])
    def test_new_leader_takes_over_what_the_row_says(self, recorded):
        harness, leader = self.lead()
        silent_ms = leader._lease.store_time_ms(leader._clock.now() + 3.0)
        leases_end_ms = leader._lease.store_time_ms(leader._clock.now() + 6.0)
        found = pipelinelease.Handover(
            recorded,
            (pipelinelease.LeaseEnd("w1", 1, silent_ms),),
            leases_end_ms,
        )

        async def body():
            now_s = leader._clock.now()
            assert await leader._recover(now_s, found)
            lapse_s = leader._scheduler.grants.earlier_lapse_s(("w1", 1))
            assert 2.9 < lapse_s - now_s < 3.5
            other_s = leader._scheduler.grants.earlier_lapse_s(("w2", 1))
            assert 5.9 < other_s - now_s < 6.5
            assert leader._scheduler.placements_recorded is recorded

        harness.run(body)


class OperatorRowsTable(faultystore.FaultyTable):
    """A table whose rows of operators can't be read while `operator_down`."""

    operator_down = True
    operator_scans = 0

    async def scan(self, prefix, after="", limit=500):
        if prefix.startswith("op/"):
            self.operator_scans += 1
            if self.operator_down:
                return outcome.Unavailable("down")
        return await super().scan(prefix, after, limit)

    async def watch(self, table, after, wait_s):
        return await self.table.watch(table, after, wait_s)


class TestEvacuations:
    @pytest.mark.parametrize("evacuate_ms", [0, 5000])
    def test_rows_are_read_before_the_first_round(
        self, monkeypatch, evacuate_ms
    ):
        """The leader that knew them is lost just after the row is written.

        They are not read without the setting.
        """
        table = OperatorRowsTable()
        harness = test_pipelineapi.Harness(
            table, platform_port.PlatformPort(), evacuate_ms
        )
        leader = harness.host.get(pipelineleader.PipelineLeader)
        zones = []
        monkeypatch.setattr(
            pipelinescheduler.PipelineScheduler,
            "run_round",
            lambda scheduler, now: zones.append(scheduler.evacuation.zones),
        )

        async def body():
            put = store.Put("op//evacuate/patan", b"1")
            await table.table.commit(store.Transaction(puts=(put,)))
            task = await curio.spawn(leader.run, daemon=True)
            if evacuate_ms:
                await leaders.eventually(lambda: table.operator_scans)
                await curio.sleep(2 * pipelineleader.ROUND_INTERVAL_S)
                assert not leader.leading
                table.operator_down = False
            assert await leaders.eventually(lambda: zones)
            await task.cancel()

        harness.run(body)
        expected = {"patan"} if evacuate_ms else set()
        assert set(zones) == {frozenset(expected)}
        assert bool(table.operator_scans) == bool(evacuate_ms)
