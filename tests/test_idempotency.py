import curio
from hypothesis import given
from hypothesis import strategies as st

from pomelostair import bus
from pomelostair import clock
from pomelostair import idempotency
from pomelostair import messages
from pomelostair import outcome
from pomelostair import store
from tests import parts

SERVED = messages.Served(201, (("a", "b"),), b"cast 7")
REFUSED = outcome.Refused(outcome.Kind.QUEUE_FULL, "repeat later")
UNCLEAR = outcome.Refused(outcome.Kind.ANSWER_LOST, "look", outcome.Ran.UNKNOWN)


class ScriptedFaultTable(store.MemoryTable):
    """Table that injects a list of faults, one per commit."""

    def __init__(self, faults=()):
        super().__init__()
        self.faults = list(faults)
        self.commits = 0
        self.late_transactions = []

    async def commit(self, transaction):
        self.commits += 1
        fault = self.faults.pop(0) if self.faults else "none"
        match fault:
            case "down":
                return outcome.Unavailable("down")
            case "lost":
                await super().commit(transaction)
                return outcome.Unknown("lost")
            case "not-applied":
                return outcome.Unknown("lost")
            case "late":
                self.late_transactions.append(transaction)
                return outcome.Unknown("lost")
            case "slow":
                await curio.sleep(0.3)
        return await super().commit(transaction)

    async def apply_late_transactions(self):
        for transaction in self.late_transactions:
            await super().commit(transaction)


class EntryHarness:
    """The `Intents` plug-in of one entry, and a list of the runs."""

    def __init__(self, table, runs):
        network = bus.MemoryNetwork()
        host, self.parts = parts.make_process(network, "entry", table=table)
        self.intents = host.get(idempotency.Intents)
        self.runs = runs

    async def send_request(self, key="k", result=SERVED, body=b"", **options):
        serve = messages.Serve(
            "id",
            "POST",
            "/x",
            (),
            body,
            messages.Urgency.URGENT,
            "steward",
            1000.0,
            0.0,
            "",
        )

        async def run():
            self.runs.append(key)
            await curio.sleep(options.get("run_s", 0))
            return result

        intent = idempotency.make_intent("rozlicz", key, serve)
        deadline = self.parts.clock.now() + options.get("budget_s", 2.0)
        return await self.intents.run_once(intent, run, deadline)


def run_scenario(scenario, table=None, entries=2):
    table = table or ScriptedFaultTable()
    runs = []

    async def main():
        entries_under_test = [EntryHarness(table, runs) for _ in range(entries)]
        for entry in entries_under_test:
            await curio.spawn(entry.intents.run, daemon=True)
        await scenario(*entries_under_test)

    curio.run(main)
    return runs


class TestOnce:
    def test_a_repeat_at_another_entry_gets_the_first_outcome(self):
        async def scenario(one, two):
            assert await one.send_request() == SERVED
            assert await two.send_request() == SERVED

        assert run_scenario(scenario) == ["k"]

    def test_a_concurrent_repeat_waits_for_the_outcome(self):
        async def scenario(one, two):
            first = await curio.spawn(lambda: one.send_request(run_s=0.3))
            await curio.sleep(0.1)
            assert await two.send_request() == SERVED
            assert await first.join() == SERVED

        assert run_scenario(scenario) == ["k"]

    def test_a_repeat_after_an_unclear_outcome_is_unknown(self):
        async def scenario(one, two):
            assert await one.send_request(result=UNCLEAR) == UNCLEAR
            again = await two.send_request()
            assert again.ran is outcome.Ran.UNKNOWN
            assert again.kind is outcome.Kind.DUPLICATE

        assert run_scenario(scenario) == ["k"]

    def test_a_repeat_of_a_request_that_did_not_run_runs(self):
        async def scenario(one, two):
            assert await one.send_request(result=REFUSED) == REFUSED
            assert await two.send_request() == SERVED
            assert await one.send_request() == SERVED

        assert run_scenario(scenario) == ["k", "k"]

    def test_another_request_under_the_same_key_is_refused(self):
        async def scenario(one, two):
            await one.send_request()
            other = await two.send_request(body=b"another")
            assert other.kind is outcome.Kind.CONFLICT
            assert other.ran is outcome.Ran.NO

        assert run_scenario(scenario) == ["k"]

    def test_an_unavailable_table_means_not_run(self):
        async def scenario(one, _two):
            result = await one.send_request()
            assert result.kind is outcome.Kind.STORE_UNAVAILABLE
            assert result.ran is outcome.Ran.NO
            assert await one.send_request() == SERVED

        assert run_scenario(scenario, ScriptedFaultTable(["down"])) == ["k"]

    def test_a_commit_with_a_lost_answer_is_read_back(self):
        async def scenario(one, two):
            assert await one.send_request() == SERVED
            assert await two.send_request() == SERVED

        assert run_scenario(scenario, ScriptedFaultTable(["lost"])) == ["k"]

    def test_a_commit_that_takes_effect_late_runs_nothing(self):
        table = ScriptedFaultTable(["late"])

        async def scenario(one, two):
            result = await one.send_request()
            assert result.ran is outcome.Ran.NO
            await table.apply_late_transactions()
            again = await two.send_request(budget_s=0.3)
            assert again.ran is outcome.Ran.UNKNOWN

        assert run_scenario(scenario, table) == []

    def test_a_table_slower_than_the_deadline_means_not_run(self):
        async def scenario(one, two):
            result = await one.send_request(budget_s=0.1)
            assert result.kind is outcome.Kind.STORE_UNAVAILABLE
            await curio.sleep(0.5)
            assert await two.send_request() == SERVED

        assert run_scenario(scenario, ScriptedFaultTable(["slow"])) == ["k"]

    @given(
        st.lists(
            st.sampled_from(["none", "down", "lost", "not-applied", "late"]),
            max_size=8,
        ),
        st.lists(
            st.tuples(st.integers(0, 1), st.sampled_from([SERVED, UNCLEAR])),
            min_size=1,
            max_size=4,
        ),
    )
    def test_runs_at_most_once_under_any_faults(self, faults, requests):
        table = ScriptedFaultTable(faults)
        answers = []

        async def scenario(*entries):
            async def send(index, result):
                answers.append(
                    await entries[index].send_request(
                        result=result, run_s=0.001, budget_s=0.12
                    )
                )

            calls = [await curio.spawn(send, *request) for request in requests]
            for call in calls:
                await call.join()
            await table.apply_late_transactions()
            await send(0, SERVED)

        runs = run_scenario(scenario, table)
        assert len(runs) <= 1
        if any(answer == SERVED for answer in answers):
            assert len(runs) == 1


class TestBatcher:
    def test_the_writes_of_a_window_share_transactions(self):
        table = ScriptedFaultTable()

        async def scenario(one, _two):
            calls = [
                await curio.spawn(lambda i=i: one.send_request(f"k{i}"))
                for i in range(50)
            ]
            for call in calls:
                assert await call.join() == SERVED

        assert len(run_scenario(scenario, table)) == 50
        assert table.commits < 20

    def test_a_claimed_key_does_not_fail_other_writes(self):
        async def scenario(one, two):
            await one.send_request("k3")
            calls = [
                await curio.spawn(lambda i=i: two.send_request(f"k{i}"))
                for i in range(6)
            ]
            for call in calls:
                assert await call.join() == SERVED

        assert sorted(run_scenario(scenario)) == [f"k{i}" for i in range(6)]


class TestSweeper:
    def test_rows_are_deleted_after_the_retention(self):
        table = store.MemoryTable()
        manual_clock = clock.ManualClock()
        sweeper = idempotency.Sweeper(table, manual_clock)
        row = idempotency.Intent(idempotency.KEY_PREFIX + "x", "f", "t")

        async def scenario():
            put = store.Put(row.key, idempotency.msgspec.msgpack.encode(row))
            await table.commit(store.Transaction(puts=(put,)))
            age_s = 0.0
            while isinstance(await table.read(row.key), store.Found):
                await sweeper.sweep_once()
                manual_clock.advance(3600)
                age_s += 3600
                assert age_s < 4 * idempotency.RETENTION_S
            return age_s

        assert curio.run(scenario) >= idempotency.RETENTION_S
