import curio
from hypothesis import given
from hypothesis import strategies

from pomelostair import outcome
from pomelostair import store

KEYS = strategies.sampled_from(["a", "b", "c"])
TRANSACTIONS = strategies.builds(
    store.Transaction,
    checks=strategies.lists(
        strategies.builds(store.Check, KEYS, strategies.integers(0, 6)),
        max_size=2,
    ).map(tuple),
    puts=strategies.lists(
        strategies.builds(store.Put, KEYS, strategies.binary(max_size=2)),
        max_size=2,
    ).map(tuple),
    deletes=strategies.lists(KEYS, max_size=1).map(tuple),
)


class ReferenceTable:
    """Reference model of a table: a dictionary copied per transaction."""

    def __init__(self):
        self.rows = {}
        self.version = 0

    def commit(self, transaction):
        for check in transaction.checks:
            if self.rows.get(check.key, (b"", 0))[1] != check.version:
                return False
        self.version += 1
        rows = {
            key: row
            for key, row in self.rows.items()
            if key not in transaction.deletes
        }
        for put in transaction.puts:
            rows[put.key] = (put.value, self.version)
        self.rows = rows
        return True


class TestMemoryTable:
    @given(strategies.lists(TRANSACTIONS, max_size=12))
    def test_matches_the_reference_table(self, transactions):
        table, reference = store.MemoryTable(), ReferenceTable()

        async def compare():
            for transaction in transactions:
                result = await table.commit(transaction)
                applied = isinstance(result, outcome.Committed)
                assert applied == reference.commit(transaction)
            return await table.scan("")

        page = curio.run(compare)
        assert {
            row.key: (row.value, row.version) for row in page.rows
        } == reference.rows

    def test_scan_continues_after_the_previous_page(self):
        table = store.MemoryTable()

        async def read():
            puts = tuple(store.Put(f"k{n}", b"") for n in range(5))
            await table.commit(store.Transaction(puts=puts))
            first = await table.scan("k", limit=3)
            second = await table.scan("k", first.rows[-1].key, limit=3)
            return first, second

        first, second = curio.run(read)
        assert first.more
        assert not second.more
        keys = [row.key for row in first.rows + second.rows]
        assert keys == ["k0", "k1", "k2", "k3", "k4"]


class TestMemoryObjects:
    def test_create_is_exclusive(self):
        objects = store.MemoryObjects()

        async def body():
            return (
                await objects.put("a", b"1", create=True),
                await objects.put("a", b"2", create=True),
                await objects.get("a"),
                await objects.delete("a"),
                await objects.get("a"),
            )

        assert curio.run(body) == (
            store.Stored(),
            store.Exists(),
            store.Object(b"1"),
            store.Stored(),
            store.Absent(),
        )
