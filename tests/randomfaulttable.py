"""A table with late, stale and missing answers, to test for races."""

import curio

from pomelostair import outcome
from pomelostair import store


class RandomFaultTable(store.Table):
    """An in-memory table with random faults.

    Args:
        random: Source of randomness for the faults.
        fault_rate: Share of the commits that fail or get no answer, and of
            the reads that are stale; the share of the reads that fail is a
            third of it. At 3 or more, every read fails and no commit is
            applied.
    """

    def __init__(self, random, fault_rate=0.3):
        self._table = store.MemoryTable()
        self._random = random
        self._fault_rate = fault_rate
        self._past_reads = [store.Absent()]

    async def read(self, key):
        await self._wait()
        if self._random.random() < self._fault_rate / 3:
            return outcome.Unavailable("down")
        if self._random.random() < self._fault_rate:
            return self._random.choice(self._past_reads)
        return await self._table.read(key)

    async def scan(self, prefix, after="", limit=500):
        raise NotImplementedError

    async def commit(self, transaction):
        await self._wait()
        fault = self._random.random()
        if fault < self._fault_rate / 4:
            return outcome.Unavailable("down")
        if fault < self._fault_rate / 2:
            return outcome.Unknown("lost before the write")
        if fault < self._fault_rate * 3 / 4:
            await self._apply(transaction)
            return outcome.Unknown("lost after the write")
        if fault < self._fault_rate:
            await curio.spawn(self._apply_late, transaction, daemon=True)
            return outcome.Unknown("written late")
        return await self._apply(transaction)

    async def read_without_faults(self, key):
        """Returns the current row, without faults."""
        return await self._table.read(key)

    async def _apply(self, transaction):
        result = await self._table.commit(transaction)
        if isinstance(result, outcome.Committed):
            key = transaction.puts[0].key
            self._past_reads.append(await self._table.read(key))
        return result

    async def _apply_late(self, transaction):
        for _ in range(self._random.randrange(1, 30)):
            await curio.sleep(0)
        await self._apply(transaction)

    async def _wait(self):
        for _ in range(self._random.randrange(4)):
            await curio.sleep(0)
