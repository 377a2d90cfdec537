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
LOST = outcome.Refused(outcome.Kind.ANSWER_LOST, "look", outcome.Ran.UNKNOWN)


class FaultyTable(store.MemoryTable):
    """Takes a list of faults, one for each commit."""

    def __init__(self, faults=()):
        super().__init__()
        self.faults = list(faults)
        self.commits = 0
        self.late = []

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
                self.late.append(transaction)
                return outcome.Unknown("lost")
            case "slow":
                await curio.sleep(0.3)
        return await super().commit(transaction)

    async def arrive(self):
        for transaction in self.late:
            await super().commit(transaction)


class Entry:
    """The intents of one entry, and a count of what it dispatched."""

    def __init__(self, table, runs):
        network = bus.MemoryNetwork()
        host, self.parts = parts.make_process(network, "entry", table=table)
        self.intents = host.get(idempotency.Intents)
        self.runs = runs

    async def ask(self, key="k", result=SERVED, body=b"", **options):
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

        intent = idempotency.intent_of("rozlicz", key, serve)
        deadline = self.parts.clock.now() + options.get("budget_s", 2.0)
        return await self.intents.once(intent, run, deadline)


def play(scenario, table=None, entries=2):
    table = table or FaultyTable()
    runs = []

    async def main():
        made = [Entry(table, runs) for _ in range(entries)]
        for entry in made:
            await curio.spawn(entry.intents.run, daemon=True)
        await scenario(*made)

    curio.run(main)
    return runs


class TestOnce:
    def test_a_repeat_at_another_entry_gets_the_first_outcome(self):
        async def scenario(one, two):
            assert await one.ask() == SERVED
            assert await two.ask() == SERVED

        assert play(scenario) == ["k"]

    def test_a_repeat_meanwhile_waits_for_the_outcome(self):
        async def scenario(one, two):
            first = await curio.spawn(lambda: one.ask(run_s=0.3))
            await curio.sleep(0.1)
            assert await two.ask() == SERVED
            assert await first.join() == SERVED

        assert play(scenario) == ["k"]

    def test_a_repeat_of_an_unclear_one_is_unknown(self):
        async def scenario(one, two):
            assert await one.ask(result=LOST) == LOST
            again = await two.ask()
            assert again.ran is outcome.Ran.UNKNOWN
            assert again.kind is outcome.Kind.DUPLICATE

        assert play(scenario) == ["k"]

    def test_a_repeat_of_what_did_not_run_runs(self):
        async def scenario(one, two):
            assert await one.ask(result=REFUSED) == REFUSED
            assert await two.ask() == SERVED
            assert await one.ask() == SERVED

        assert play(scenario) == ["k", "k"]

    def test_another_request_under_the_same_key_is_refused(self):
        async def scenario(one, two):
            await one.ask()
            other = await two.ask(body=b"another")
            assert other.kind is outcome.Kind.CONFLICT
            assert other.ran is outcome.Ran.NO

        assert play(scenario) == ["k"]

    def test_table_down_is_a_definite_no(self):
        async def scenario(one, _two):
            result = await one.ask()
            assert result.kind is outcome.Kind.STORE_UNAVAILABLE
            assert result.ran is outcome.Ran.NO
            assert await one.ask() == SERVED

        assert play(scenario, FaultyTable(["down"])) == ["k"]

    def test_a_lost_answer_is_read_back(self):
        async def scenario(one, two):
            assert await one.ask() == SERVED
            assert await two.ask() == SERVED

        assert play(scenario, FaultyTable(["lost"])) == ["k"]

    def test_a_write_that_takes_effect_late_runs_nothing(self):
        table = FaultyTable(["late"])

        async def scenario(one, two):
            result = await one.ask()
            assert result.ran is outcome.Ran.NO
            await table.arrive()
            again = await two.ask(budget_s=0.3)
            assert again.ran is outcome.Ran.UNKNOWN

        assert play(scenario, table) == []

    def test_a_table_slower_than_the_deadline_is_a_definite_no(self):
        async def scenario(one, two):
            result = await one.ask(budget_s=0.1)
            assert result.kind is outcome.Kind.STORE_UNAVAILABLE
            await curio.sleep(0.5)
            assert await two.ask() == SERVED

        assert play(scenario, FaultyTable(["slow"])) == ["k"]

    @given(
        st.lists(
            st.sampled_from(["none", "down", "lost", "not-applied", "late"]),
            max_size=8,
        ),
        st.lists(
            st.tuples(st.integers(0, 1), st.sampled_from([SERVED, LOST])),
            min_size=1,
            max_size=4,
        ),
    )
    def test_at_most_once_under_any_faults(self, faults, asks):
        table = FaultyTable(faults)
        answers = []

        async def scenario(*entries):
            async def ask(index, result):
                answers.append(
                    await entries[index].ask(
                        result=result, run_s=0.001, budget_s=0.12
                    )
                )

            calls = [await curio.spawn(ask, *given) for given in asks]
            for call in calls:
                await call.join()
            await table.arrive()
            await ask(0, SERVED)

        runs = play(scenario, table)
        assert len(runs) <= 1
        if any(answer == SERVED for answer in answers):
            assert len(runs) == 1


class TestBatcher:
    def test_a_window_shares_one_transaction(self):
        table = FaultyTable()

        async def scenario(one, _two):
            asked = [
                await curio.spawn(lambda i=i: one.ask(f"k{i}"))
                for i in range(50)
            ]
            for ask in asked:
                assert await ask.join() == SERVED

        assert len(play(scenario, table)) == 50
        assert table.commits < 20

    def test_a_taken_key_does_not_fail_the_others(self):
        async def scenario(one, two):
            await one.ask("k3")
            asked = [
                await curio.spawn(lambda i=i: two.ask(f"k{i}"))
                for i in range(6)
            ]
            for ask in asked:
                assert await ask.join() == SERVED

        assert sorted(play(scenario)) == [f"k{i}" for i in range(6)]


class TestSweeper:
    def test_rows_live_for_the_retention_and_are_then_removed(self):
        table = store.MemoryTable()
        time = clock.ManualClock()
        sweeper = idempotency.Sweeper(table, time)
        row = idempotency.Intent(idempotency.PREFIX + "x", "f", "t")

        async def scenario():
            put = store.Put(row.key, idempotency.msgspec.msgpack.encode(row))
            await table.commit(store.Transaction(puts=(put,)))
            lived_s = 0.0
            while isinstance(await table.read(row.key), store.Found):
                await sweeper.step()
                time.advance(3600)
                lived_s += 3600
                assert lived_s < 4 * idempotency.RETENTION_S
            return lived_s

        assert curio.run(scenario) >= idempotency.RETENTION_S
