"""A table that goes through a peer while the store turns this process away.

The store may refuse some processes and serve others. A peer then carries the
operation. A commit is relayed only if it was certainly not applied.
"""

from collections.abc import Callable

from pomelostair import bus as bus_module
from pomelostair import clock as clock_module
from pomelostair import events
from pomelostair import log
from pomelostair import outcome
from pomelostair import pipelinemessages as messages
from pomelostair import store

RELAY_TIMEOUT_S = 1.5  # Above one transaction of a store that is slow.
MAX_PEERS = 2  # Further peers are likely turned away for the same reason.
# While the store is away, one operation in this interval tries it first.
PROBE_INTERVAL_S = 0.3
# Refusals in a row after which the store counts as away.
FAILURES_UNTIL_UNREACHABLE = 2
MAX_RELAYED_WATCH_S = 0.5  # A relayed watch holds the peer's connection.


class RelayTable(store.Table):
    """Tries the store first, then peers.

    Args:
        own: The store, as this process reaches it.
        bus: Bus of this process.
        clock: Source of monotonic time.
        peers: Returns the bus URLs of peers, best first.
    """

    def __init__(
        self,
        direct_table: store.Table,
        bus: bus_module.Bus,
        clock: clock_module.Clock,
        peers: Callable[[], tuple[str, ...]],
    ):
        self._own = direct_table
        self._bus = bus
        self._clock = clock
        self._peers = peers
        self._reached = True
        self._failures = 0
        self._probed = 0.0
        self._since = clock.now()

    @property
    def is_reachable(self) -> bool:
        """Whether the store answered this process's last operation."""
        return self._reached

    async def read(self, key: str) -> store.ReadResult:
        """Reads one row."""
        if self._may_try():
            result = self._note(await self._own.read(key))
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
        if self._may_try():
            result = self._note(await self._own.scan(prefix, after, limit))
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
        if self._may_try():
            result = self._note(await self._own.watch(table, after, wait_s))
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
        if self._may_try():
            result = self._note(await self._own.commit(transaction))
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

    def time(self) -> store.StoreTime | None:
        """Returns the store's time, None before its first answer."""
        return self._own.time()

    def _may_try(self) -> bool:
        if self._reached:
            return True
        now = self._clock.now()
        if now - self._probed < PROBE_INTERVAL_S:
            return False
        self._probed = now
        return True

    def _note(self, result):
        """Takes in how an operation at the store went, and returns it.

        A single refusal may be one of a rate; a missing answer is not.
        """
        match result:
            case outcome.Unavailable():
                self._failures += 1
            case outcome.Unknown():
                self._failures += FAILURES_UNTIL_UNREACHABLE
            case _:
                self._failures = 0
        reached = self._failures < FAILURES_UNTIL_UNREACHABLE
        if reached != self._reached:
            now = self._clock.now()
            event = events.Events.STORE_BACK
            if not reached:
                event = events.Events.STORE_LOST
            log.emit(
                event,
                reason=getattr(result, "reason", ""),
                after_s=round(now - self._since, 3),
            )
            self._since = self._probed = now
        self._reached = reached
        return result

    async def _relay(
        self, message: object
    ) -> messages.RelayedResult | outcome.Unavailable | outcome.Unknown:
        """Returns what a peer got from the store.

        Returns:
            Unavailable if certainly nothing was done, Unknown if a peer gave
            no answer.
        """
        reason = "the store is away, and no peer is known"
        for peer in self._peers()[:MAX_PEERS]:
            result = await self._bus.call(peer, message, RELAY_TIMEOUT_S)
            match result:
                case bus_module.Answered(
                    message=messages.RelayedResult() as answer
                ):
                    if not answer.unavailable:
                        return answer
                    reason = answer.unavailable
                case bus_module.NoAnswer():
                    return outcome.Unknown("a peer gave no answer")
                case bus_module.NotSent():
                    reason = "the store is away, and no peer is reached"
        return outcome.Unavailable(reason)


class Relay:
    """Serves peers that the store turns away.

    Args:
        own: The store, as this process reaches it.
    """

    def __init__(self, direct_table: store.Table):
        self._own = direct_table

    async def answer(self, message: object) -> messages.RelayedResult:
        """Returns the store's answer to a relayed operation."""
        match message:
            case messages.RelayedRead(key=key):
                return _of_read(await self._own.read(key))
            case messages.RelayedScan(prefix=prefix, after=after, limit=limit):
                return _of_page(await self._own.scan(prefix, after, limit))
            case messages.RelayedWatch(table=table, after=after, wait_s=wait):
                return _of_watch(await self._own.watch(table, after, wait))
            case messages.RelayedCommit(transaction=transaction):
                return _of_commit(await self._own.commit(transaction))
        raise TypeError(f"no relayed operation: {message!r}")


def _of_read(result: store.ReadResult) -> messages.RelayedResult:
    match result:
        case store.Found(row=row):
            return messages.RelayedResult(rows=(row,))
        case store.Absent():
            return messages.RelayedResult(rows=())
    return messages.RelayedResult(unavailable=result.reason)


def _of_page(result: store.ScanResult) -> messages.RelayedResult:
    match result:
        case store.Page(rows=rows, more=more, version=version):
            return messages.RelayedResult(rows, more=more, version=version)
    return messages.RelayedResult(unavailable=result.reason)


def _of_watch(result: store.WatchResult) -> messages.RelayedResult:
    match result:
        case store.Changes(rows=rows, deleted=deleted, version=version):
            return messages.RelayedResult(rows, deleted, version=version)
        case store.HistoryGone():
            return messages.RelayedResult(gone=True)
    return messages.RelayedResult(unavailable=result.reason)


def _of_commit(result: outcome.CommitResult) -> messages.RelayedResult:
    match result:
        case outcome.Committed(version=version):
            return messages.RelayedResult(committed=True, version=version)
        case outcome.Conflict(key=key, version=version):
            return messages.RelayedResult(conflict=key, version=version)
        case outcome.Unavailable(reason=reason):
            return messages.RelayedResult(unavailable=reason)
    return messages.RelayedResult(unknown=result.reason)
