"""A table whose open connections may go silent."""

import curio

from pomelostair import outcome
from tests import faultystore

FOREVER_S = 1e6


class SilentTable(faultystore.FaultyTable):
    """A table that is reached over a pool of connections.

    Attributes:
        latency_s: Time that each answer takes.
        timeout_s: Longest time that a read, scan or commit waits for its
            answer; a watch waits `watch_margin_s` longer than asked.
        watch_margin_s: See `timeout_s`.
        transfer_s: Further time that an answer with rows takes.
        idle: Idle connections when the pool goes silent.
        deaf: Whether no operation gets an answer, also on new connections.
    """

    latency_s = 0.004
    transfer_s = 0.0
    timeout_s = 2.0
    watch_margin_s = 1.0
    idle = 1
    deaf = False

    def __init__(self, table=None):
        super().__init__(table)
        self._silences = 0
        self._silent_idle = 0

    def silence(self):
        """Makes all open connections silent for good; new ones work."""
        self._silences += 1
        self._silent_idle = self.idle

    async def reconnect(self):
        self._silent_idle = 0

    async def read(self, key):
        return await self._exchange(self.timeout_s, super().read, key)

    async def scan(self, prefix, after="", limit=500):
        return await self._exchange(
            self.timeout_s, super().scan, prefix, after, limit
        )

    async def watch(self, table, after, wait_s):
        return await self._exchange(
            wait_s + self.watch_margin_s, self.table.watch, table, after, wait_s
        )

    async def commit(self, transaction):
        return await self._exchange(self.timeout_s, super().commit, transaction)

    async def _exchange(self, timeout_s, operation, *arguments):
        answer = await curio.ignore_after(
            timeout_s, self._answer, operation, *arguments
        )
        if answer is None:
            self._silent_idle = 0
            return outcome.Unavailable("timeout")
        return answer

    async def _answer(self, operation, *arguments):
        if self.down:
            return outcome.Unavailable("refused")
        silences = self._silences
        if self._silent_idle or self.deaf:
            self._silent_idle = max(0, self._silent_idle - 1)
            await curio.sleep(FOREVER_S)
        answer = await operation(*arguments)
        await curio.sleep(self.latency_s)
        if getattr(answer, "rows", ()):
            await curio.sleep(self.transfer_s)
        if self._silences != silences:
            await curio.sleep(FOREVER_S)
        return answer
