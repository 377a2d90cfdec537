import curio
import pytest

from pomelostair import outcome
from pomelostair import pipelinerows
from pomelostair import pipelinetombstones
from pomelostair import store

RETENTION_S = 100.0


def recorded(*rows):
    tombstones = pipelinetombstones.Tombstones(RETENTION_S)
    for row in rows:
        tombstones.record(*row)
    return tombstones


class TestExpired:
    def test_are_returned_after_their_retention(self):
        tombstones = recorded(("a", 1, 10.0), ("b", 2, 50.0))
        assert tombstones.expired(109.0) == []
        assert tombstones.expired(110.0) == [
            [pipelinetombstones.Tombstone("a", 1, 10.0)]
        ]

    def test_known_version_keeps_its_time(self):
        """Watches and scans of the store repeat rows."""
        tombstones = recorded(("a", 1, 10.0), ("a", 1, 60.0))
        assert tombstones.expired(110.0)

    def test_further_cancellation_restarts_the_retention(self):
        tombstones = recorded(("a", 1, 10.0), ("b", 2, 20.0), ("a", 3, 60.0))
        assert [t.id for [t] in tombstones.expired(130.0)] == ["b"]
        assert [t.id for [t] in tombstones.expired(160.0)] == ["b", "a"]

    def test_batches_fit_into_transactions_of_one_partition(self):
        ids = [f"{number:016x}" for number in range(600)]
        batches = recorded(*((name, 1, 0.0) for name in ids)).expired(200.0)
        assert sorted(t.id for batch in batches for t in batch) == ids
        for batch in batches:
            deletion = pipelinetombstones.deletion(batch)
            entries = len(deletion.checks) + len(deletion.deletes)
            assert entries <= 100
            assert len({pipelinerows.partition_of(t.id) for t in batch}) == 1


class TestDiscard:
    def test_keeps_a_later_version(self):
        tombstones = recorded(("a", 1, 10.0))
        [[earlier]] = tombstones.expired(200.0)
        tombstones.record("a", 2, 20.0)
        tombstones.discard(earlier)
        assert len(tombstones) == 1
        [[later]] = tombstones.expired(200.0)
        tombstones.discard(later)
        assert len(tombstones) == 0


class TestDeletion:
    @pytest.mark.parametrize("change", ["cancelled again", "accepted"])
    def test_is_refused_after_a_change(self, change):
        """Guards against the removal of a cancellation that is needed."""
        key = pipelinerows.cancellation_key("a")
        changed = {
            "cancelled again": key,
            "accepted": pipelinerows.declaration_key("a"),
        }[change]

        async def body():
            table = store.MemoryTable()
            put = store.Put(key, b"1")
            first = await table.commit(store.Transaction(puts=(put,)))
            put = store.Put(changed, b"2")
            await table.commit(store.Transaction(puts=(put,)))
            batch = [pipelinetombstones.Tombstone("a", first.version, 0.0)]
            deletion = pipelinetombstones.deletion(batch)
            return await table.commit(deletion), await table.read(key)

        result, row = curio.run(body)
        assert result == outcome.Conflict(changed, 2)
        assert isinstance(row, store.Found)
