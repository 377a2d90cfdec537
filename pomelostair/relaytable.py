"""A table that relays operations through a peer when the store is unreachable.

The store may refuse some processes and serve others. A peer then performs the
operation. A commit is relayed only if it is known not to have been applied.
Answers of peers also tell the time of the store, so that a process which the
store has never served can lead.
"""

import collections
from collections.abc import Callable

import attrs

from pomelostair import bus as bus_module
from pomelostair import circuitbreaker
from pomelostair import clock as clock_module
from pomelostair import outcome
from pomelostair import pipelinelease
from pomelostair import pipelinemessages as messages
from pomelostair import store
from pomelostair import storeclock
from pomelostair import wire

RELAY_TIMEOUT_S = 1.5  # Longer than one transaction of a slow store.
MAX_PEERS = 2  # Further peers are likely refused for the same reason.
# Size of the rows in one answer; a scan goes on after them, a watch begins
# anew. A commit of the leader, up to 0.6 MB, has to fit.
MAX_RELAYED_BYTES = bus_module.MAX_PIPELINE_MESSAGE_BYTES // 2
# Operations that an entry performs for peers at once. Those on the lease row of
# the leader, and watches, have slots of their own, as the leader would lose its
# lease while operations of callers fill the others.
MAX_RELAYED_AT_ONCE = 64
MAX_RELAYED_WATCHES = 64
MAX_RELAYED_ON_LEASE = 16
_ROW_OVERHEAD_BYTES = 64
MAX_RELAYED_WATCH_S = 0.5  # A relayed watch occupies the peer's connection.


class RelayTable(store.Table):
    """Tries the store directly, then through peers.

    Args:
        direct_table: The store as accessed by this process.
        bus: Bus of this process.
        peers: Returns the bus URLs of peers, preferred ones first.
        clock: Clock that also advances while the host is suspended.
    """

    def __init__(
        self,
        direct_table: circuitbreaker.CircuitBreakerTable,
        bus: bus_module.Bus,
        peers: Callable[[], tuple[str, ...]],
        clock: clock_module.Clock,
    ):
        self._direct_table = direct_table
        self._bus = bus
        self._peers = peers
        self._clock = clock
        self._relayed_clock = storeclock.StoreClock(clock)

    async def read(self, key: str) -> store.ReadResult:
        """Reads one row."""
        result = await self._direct_table.read(key)
        if not isinstance(result, outcome.Unavailable):
            return result
        answer = await self._relay(messages.RelayedRead(key))
        if not isinstance(answer, messages.RelayedResult):
            return outcome.Unavailable(answer.reason)
        if answer.rows:
            return store.Found(answer.rows[0])
        return store.Absent()

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> store.ScanResult:
        """Reads rows in key order."""
        result = await self._direct_table.scan(prefix, after, limit)
        if not isinstance(result, outcome.Unavailable):
            return result
        answer = await self._relay(messages.RelayedScan(prefix, after, limit))
        if not isinstance(answer, messages.RelayedResult):
            return outcome.Unavailable(answer.reason)
        return store.Page(answer.rows or (), answer.more, answer.version)

    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> store.WatchResult:
        """Waits for changes of rows of one table."""
        result = await self._direct_table.watch(table, after, wait_s)
        if not isinstance(result, outcome.Unavailable):
            return result
        wait_s = min(wait_s, MAX_RELAYED_WATCH_S)
        answer = await self._relay(messages.RelayedWatch(table, after, wait_s))
        if not isinstance(answer, messages.RelayedResult):
            return outcome.Unavailable(answer.reason)
        if answer.gone:
            return store.HistoryGone()
        return store.Changes(answer.rows or (), answer.deleted, answer.version)

    async def commit(
        self, transaction: store.Transaction
    ) -> outcome.CommitResult:
        """Applies a transaction."""
        result = await self._direct_table.commit(transaction)
        if not isinstance(result, outcome.Unavailable):
            return result
        answer = await self._relay(messages.RelayedCommit(transaction))
        if not isinstance(answer, messages.RelayedResult):
            return answer
        if answer.committed:
            return outcome.Committed(answer.version)
        if answer.conflict is not None:
            return outcome.Conflict(answer.conflict, answer.version)
        return outcome.Unknown(answer.unknown)

    async def reconnect(self) -> None:
        """Closes idle connections, as they may have gone silent."""
        await self._direct_table.reconnect()

    def time(self) -> store.StoreTime | None:
        """Returns the store's time, None before the first answer.

        Until the store has answered this process, it is known from peers.
        """
        direct = self._direct_table.time()
        return self._relayed_clock.bounds() if direct is None else direct

    async def _relay(
        self, message: object
    ) -> messages.RelayedResult | outcome.Unavailable | outcome.Unknown:
        """Performs an operation through a peer.

        Returns:
            The store's answer; Unavailable if the operation is known not to
            have been applied, Unknown if a peer did not answer.
        """
        reason = "store unreachable, and no peer is known"
        for peer in self._peers()[:MAX_PEERS]:
            sent_s = self._clock.now()
            result = await self._bus.call(peer, message, RELAY_TIMEOUT_S)
            match result:
                case bus_module.Answered(
                    message=messages.RelayedResult() as answer
                ):
                    if answer.time is not None:
                        self._relayed_clock.update(answer.time, sent_s)
                    if not answer.unavailable:
                        return answer
                    reason = answer.unavailable
                case bus_module.NoAnswer():
                    return outcome.Unknown("the peer did not answer")
                case bus_module.NotSent():
                    reason = "store unreachable, and no peer is reachable"
        return outcome.Unavailable(reason)


class Relay:
    """Performs relayed operations for peers that the store refuses.

    While the store serves this process neither, they fail at once.

    Args:
        direct_table: The store as accessed by this process.
    """

    def __init__(self, direct_table: circuitbreaker.CircuitBreakerTable):
        self._direct_table = direct_table
        self._performing = collections.Counter()

    async def answer(self, message: object) -> messages.RelayedResult:
        """Returns the store's answer to a relayed operation, and its time."""
        kind, limit = _kind_and_limit(message)
        if self._performing[kind] >= limit:
            return messages.RelayedResult(
                unavailable="the peer relays too many operations"
            )
        self._performing[kind] += 1
        try:
            result = await self._perform(message)
        finally:
            self._performing[kind] -= 1
        return attrs.evolve(result, time=self._direct_table.time())

    async def _perform(self, message: object) -> messages.RelayedResult:
        match message:
            case messages.RelayedRead(key=key):
                return _result_of_read(await self._direct_table.read(key))
            case messages.RelayedScan(prefix=prefix, after=after, limit=limit):
                return _result_of_scan(
                    await self._direct_table.scan(prefix, after, limit)
                )
            case messages.RelayedWatch(table=table, after=after, wait_s=wait):
                wait = min(wait, MAX_RELAYED_WATCH_S)
                return _result_of_watch(
                    await self._direct_table.watch(table, after, wait)
                )
            case messages.RelayedCommit(transaction=transaction):
                return _result_of_commit(
                    await self._direct_table.commit(transaction)
                )
        raise TypeError(f"not a relayed operation: {message!r}")


def _kind_and_limit(message: object) -> tuple[str, int]:
    """Returns the kind of an operation, and how many run at once."""
    match message:
        case messages.RelayedWatch():
            return "watch", MAX_RELAYED_WATCHES
        case messages.RelayedRead(key=pipelinelease.KEY):
            return "lease", MAX_RELAYED_ON_LEASE
        case messages.RelayedCommit(transaction=transaction) if any(
            put.key == pipelinelease.KEY for put in transaction.puts
        ):
            return "lease", MAX_RELAYED_ON_LEASE
    return "other", MAX_RELAYED_AT_ONCE


def _result_of_read(result: store.ReadResult) -> messages.RelayedResult:
    match result:
        case store.Found(row=row):
            return messages.RelayedResult(rows=(row,))
        case store.Absent():
            return messages.RelayedResult(rows=())
    return messages.RelayedResult(unavailable=result.reason)


def _result_of_scan(result: store.ScanResult) -> messages.RelayedResult:
    match result:
        case store.Page(rows=rows, more=more, version=version):
            fitting = wire.first_fitting(rows, _row_bytes, MAX_RELAYED_BYTES)
            more = more or len(fitting) < len(rows)
            return messages.RelayedResult(fitting, more=more, version=version)
    return messages.RelayedResult(unavailable=result.reason)


def _row_bytes(row: store.Row) -> int:
    return len(row.key) + len(row.value) + _ROW_OVERHEAD_BYTES


def _result_of_watch(result: store.WatchResult) -> messages.RelayedResult:
    match result:
        case store.Changes(rows=rows, deleted=deleted, version=version):
            size = sum(map(_row_bytes, rows)) + sum(
                len(key) + _ROW_OVERHEAD_BYTES for key in deleted
            )
            if size > MAX_RELAYED_BYTES:
                return messages.RelayedResult(gone=True)
            return messages.RelayedResult(rows, deleted, version=version)
        case store.HistoryGone():
            return messages.RelayedResult(gone=True)
    return messages.RelayedResult(unavailable=result.reason)


def _result_of_commit(result: outcome.CommitResult) -> messages.RelayedResult:
    match result:
        case outcome.Committed(version=version):
            return messages.RelayedResult(committed=True, version=version)
        case outcome.Conflict(key=key, version=version):
            return messages.RelayedResult(conflict=key, version=version)
        case outcome.Unavailable(reason=reason):
            return messages.RelayedResult(unavailable=reason)
    return messages.RelayedResult(unknown=result.reason)
