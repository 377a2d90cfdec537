"""A table and an object store with fault injection."""

import enum

import curio

from pomelostair import outcome
from pomelostair import store


class Fault(enum.Enum):
    """Fault injected into one commit."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    LOST_ANSWER = "applied, answer lost"
    LOST_REQUEST = "not applied, answer lost"
    DELAYED = "answer lost, applied when released"
    LATE_ANSWER = "applied, answered later"


LATE_ANSWER_DELAY_S = 0.2


class FaultyTable(store.Table):
    """Forwards operations to a table and injects faults.

    Attributes:
        table: Table that the operations are forwarded to.
        faults: Faults of the next commits, consumed one per commit.
        is_targeted: Whether a transaction consumes a fault.
        down: Whether every operation fails as unavailable.
        frozen: Whether reads and commits block until it is reset.
        answered: Whether any read, scan or commit was answered.
        commits: Number of commits requested.
        bytes: Total size of the values in these commits.
    """

    def __init__(self, table=None, faults=()):
        self.table = table or store.MemoryTable()
        self.faults = list(faults)
        self.is_targeted = lambda transaction: True
        self.down = False
        self.frozen = False
        self.answered = False
        self.commits = 0
        self.bytes = 0
        self._delayed = []

    async def wait_while_frozen(self):
        while self.frozen:
            await curio.sleep(0.001)

    async def read(self, key):
        await self.wait_while_frozen()
        if self.down:
            return outcome.Unavailable("down")
        self.answered = True
        return await self.table.read(key)

    async def scan(self, prefix, after="", limit=500):
        if self.down:
            return outcome.Unavailable("down")
        self.answered = True
        return await self.table.scan(prefix, after, limit)

    def time(self):
        return self.table.time() if self.answered else None

    async def commit(self, transaction):
        await self.wait_while_frozen()
        result = await self._commit(transaction)
        await self.wait_while_frozen()
        return result

    async def _commit(self, transaction):
        self.commits += 1
        self.bytes += sum(len(put.value) for put in transaction.puts)
        fault = Fault.NONE
        if self.faults and self.is_targeted(transaction):
            fault = self.faults.pop(0)
        if self.down:
            return outcome.Unavailable("down")
        match fault:
            case Fault.NONE:
                self.answered = True
                return await self.table.commit(transaction)
            case Fault.UNAVAILABLE:
                return outcome.Unavailable("refused")
            case Fault.LATE_ANSWER:
                result = await self.table.commit(transaction)
                await curio.sleep(LATE_ANSWER_DELAY_S)
                return result
            case Fault.LOST_ANSWER:
                await self.table.commit(transaction)
            case Fault.DELAYED:
                self._delayed.append(transaction)
        return outcome.Unknown("no answer")

    async def release(self):
        """Applies the delayed commits, as if the network had delivered them.

        Returns:
            Their results, in order.
        """
        delayed, self._delayed = self._delayed, []
        return [await self.table.commit(t) for t in delayed]


class FaultyObjects(store.Objects):
    """Forwards operations to an object store, or fails all while `down`."""

    def __init__(self, objects=None):
        self.objects = objects or store.MemoryObjects()
        self.down = False

    async def put(self, key, data, create=False):
        if self.down:
            return outcome.Unavailable("down")
        return await self.objects.put(key, data, create)

    async def get(self, key):
        if self.down:
            return outcome.Unavailable("down")
        return await self.objects.get(key)

    async def delete(self, key):
        if self.down:
            return outcome.Unavailable("down")
        return await self.objects.delete(key)
