"""Interfaces of the platform's transactional table and object store.

Row versions are transaction numbers, which only increase; version 0 stands
for an absent row. A row that is deleted and recreated therefore never repeats
a version.
"""

import abc
import time

import attrs
import curio

from pomelostair import outcome


@attrs.frozen
class Row:
    """One row of the table."""

    key: str
    value: bytes
    version: int


@attrs.frozen
class Check:
    """Precondition of a transaction: `key` is at `version`, 0 if absent."""

    key: str
    version: int


@attrs.frozen
class Put:
    """Write of one row in a transaction."""

    key: str
    value: bytes


@attrs.frozen
class Transaction:
    """Checks and writes that are applied atomically.

    Attributes:
        checks: Preconditions that must all hold.
        puts: Rows to write.
        deletes: Keys of rows to remove.
    """

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@attrs.frozen
class Found:
    """The row that was read."""

    row: Row


@attrs.frozen
class Absent:
    """No row or object has the key."""


@attrs.frozen
class Page:
    """One page of a scan, in key order.

    Attributes:
        rows: The rows.
        more: Whether further rows follow.
        version: Version of the table at the time of the scan.
    """

    rows: tuple[Row, ...]
    more: bool
    version: int = 0


@attrs.frozen
class Stored:
    """An object was written or deleted."""


@attrs.frozen
class Exists:
    """An object was not created, because its key already exists."""


@attrs.frozen
class Object:
    """The content of an object that was read."""

    data: bytes


@attrs.frozen
class Changes:
    """Changes of rows after a version.

    Attributes:
        rows: Rows that were written, in the order of their versions.
        deleted: Keys of rows that were deleted.
        version: Version up to which the changes are complete; the next watch
            continues after it.
    """

    rows: tuple[Row, ...]
    deleted: tuple[str, ...]
    version: int


@attrs.frozen
class HistoryGone:
    """The changes after a version are no longer available."""


@attrs.frozen
class StoreTime:
    """Bounds of the current reading of the store's monotonic clock.

    Attributes:
        earliest_ms: Lower bound of the reading.
        latest_ms: Upper bound of the reading.
    """

    earliest_ms: float
    latest_ms: float


ReadResult = Found | Absent | outcome.Unavailable
WatchResult = Changes | HistoryGone | outcome.Unavailable
ScanResult = Page | outcome.Unavailable
WriteResult = Stored | Exists | outcome.Unavailable | outcome.Unknown
GetResult = Object | Absent | outcome.Unavailable


class Table(abc.ABC):
    """The platform's table service."""

    @abc.abstractmethod
    async def read(self, key: str) -> ReadResult:
        """Reads one row."""

    @abc.abstractmethod
    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> ScanResult:
        """Reads rows in key order.

        Args:
            prefix: Prefix of the keys.
            after: Key after which to start; for the next page, the last key
                of the previous one.
            limit: Maximum number of rows to return.
        """

    @abc.abstractmethod
    async def commit(self, transaction: Transaction) -> outcome.CommitResult:
        """Applies a transaction."""

    async def watch(self, table: str, after: int, wait_s: float) -> WatchResult:
        """Waits for changes of rows whose keys begin with `table` and "/".

        Args:
            table: First segment of the keys.
            after: Version after which changes are returned.
            wait_s: Maximum wait for the first change.
        """
        raise NotImplementedError(f"{type(self).__name__} has no history")

    async def reconnect(self) -> None:  # noqa: B027 - without connections
        """Closes idle connections, as they may have gone silent."""

    def time(self) -> StoreTime | None:
        """Returns the store's time, None before the store first answered."""
        raise NotImplementedError(f"{type(self).__name__} has no clock")


async def scan_all(table: Table, prefix: str) -> ScanResult:
    """Reads all rows with a prefix.

    Args:
        table: The store.
        prefix: Prefix of the keys.

    Returns:
        The rows as one page, with the version of the first one read; what the
        store answered instead, if a page could not be read.
    """
    rows: list[Row] = []
    version = None
    after = ""
    while True:
        page = await table.scan(prefix, after)
        if not isinstance(page, Page):
            return page
        version = page.version if version is None else version
        rows.extend(page.rows)
        if not page.more or not page.rows:
            return Page(tuple(rows), False, version)
        after = page.rows[-1].key


class Objects(abc.ABC):
    """The platform's object store."""

    @abc.abstractmethod
    async def put(
        self, key: str, data: bytes, create: bool = False
    ) -> WriteResult:
        """Writes an object; with `create`, only if the key doesn't exist."""

    @abc.abstractmethod
    async def get(self, key: str) -> GetResult:
        """Reads an object."""

    @abc.abstractmethod
    async def delete(self, key: str) -> WriteResult:
        """Deletes an object; succeeds if there is none."""


class MemoryTable(Table):
    """An in-memory table, for tests and the stand-in platform."""

    def __init__(self):
        self._rows: dict[str, Row] = {}
        self._version = 0
        self._history: list[tuple[int, str]] = []
        self._truncated_version = 0
        self._change_event = curio.Event()

    @property
    def version(self) -> int:
        """Number of the last transaction."""
        return self._version

    async def read(self, key: str) -> ReadResult:
        """Reads one row."""
        row = self._rows.get(key)
        return Absent() if row is None else Found(row)

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> ScanResult:
        """Reads rows in key order."""
        keys = sorted(
            key for key in self._rows if key.startswith(prefix) and key > after
        )
        rows = tuple(self._rows[key] for key in keys[:limit])
        return Page(rows, len(keys) > limit, self._version)

    async def commit(self, transaction: Transaction) -> outcome.CommitResult:
        """Applies a transaction."""
        for check in transaction.checks:
            row = self._rows.get(check.key)
            version = 0 if row is None else row.version
            if version != check.version:
                return outcome.Conflict(check.key, version)
        self._version += 1
        for key in transaction.deletes:
            if self._rows.pop(key, None) is not None:
                self._history.append((self._version, key))
        for put in transaction.puts:
            self._rows[put.key] = Row(put.key, put.value, self._version)
            self._history.append((self._version, put.key))
        await self._change_event.set()
        return outcome.Committed(self._version)

    async def watch(self, table: str, after: int, wait_s: float) -> WatchResult:
        """Waits for changes of rows of one table."""
        deadline = time.monotonic() + wait_s
        while True:
            if after < self._truncated_version:
                return HistoryGone()
            changes = self._changes(f"{table}/", after)
            remaining_s = deadline - time.monotonic()
            if changes.rows or changes.deleted or remaining_s <= 0:
                return changes
            self._change_event.clear()
            await curio.ignore_after(remaining_s, self._change_event.wait)

    def time(self) -> StoreTime:
        """Returns the monotonic time of this process."""
        now_ms = time.monotonic() * 1000
        return StoreTime(now_ms, now_ms)

    def truncate_history(self) -> None:
        """Discards the changes so far, as the platform may at any time."""
        self._truncated_version = self._version
        self._history.clear()

    def _changes(self, prefix: str, after: int) -> Changes:
        keys = {
            key: None
            for version, key in self._history
            if version > after and key.startswith(prefix)
        }
        rows = [self._rows[key] for key in keys if key in self._rows]
        rows.sort(key=lambda row: row.version)
        deleted = tuple(key for key in keys if key not in self._rows)
        return Changes(tuple(rows), deleted, self._version)


class MemoryObjects(Objects):
    """An in-memory object store."""

    def __init__(self):
        self._objects: dict[str, bytes] = {}

    async def put(
        self, key: str, data: bytes, create: bool = False
    ) -> WriteResult:
        """Writes an object."""
        if create and key in self._objects:
            return Exists()
        self._objects[key] = data
        return Stored()

    async def get(self, key: str) -> GetResult:
        """Reads an object."""
        data = self._objects.get(key)
        return Absent() if data is None else Object(data)

    async def delete(self, key: str) -> WriteResult:
        """Deletes an object."""
        self._objects.pop(key, None)
        return Stored()
