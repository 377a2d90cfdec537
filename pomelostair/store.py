"""The platform's transactional table and object store.

Row versions are transaction numbers, which only grow; version 0 stands for an
absent row. A deleted and recreated row therefore never repeats a version.
"""

import abc

import attrs

from pomelostair import outcome


@attrs.frozen
class Row:
    """One row of the table."""

    key: str
    value: bytes
    version: int


@attrs.frozen
class Check:
    """Condition of a transaction: `key` is at `version`, 0 for absent."""

    key: str
    version: int


@attrs.frozen
class Put:
    """Write of one row."""

    key: str
    value: bytes


@attrs.frozen
class Transaction:
    """Checks and writes that take effect together or not at all.

    Attributes:
        checks: Conditions that must hold.
        puts: Rows to write.
        deletes: Keys of rows to remove.
    """

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@attrs.frozen
class Found:
    """A read row."""

    row: Row


@attrs.frozen
class Absent:
    """No row has the key."""


@attrs.frozen
class Page:
    """Rows in key order; `more` tells that further ones follow."""

    rows: tuple[Row, ...]
    more: bool


@attrs.frozen
class Stored:
    """An object was written."""


@attrs.frozen
class Exists:
    """An object was not created, since its key is taken."""


@attrs.frozen
class Object:
    """The bytes of a read object."""

    data: bytes


Read = Found | Absent | outcome.Unavailable
Scan = Page | outcome.Unavailable
Write = Stored | Exists | outcome.Unavailable | outcome.Unknown
Fetch = Object | Absent | outcome.Unavailable


class Table(abc.ABC):
    """The platform's table service."""

    @abc.abstractmethod
    async def read(self, key: str) -> Read:
        """Reads one row."""

    @abc.abstractmethod
    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Scan:
        """Reads rows in key order.

        Args:
            prefix: Start of the wanted keys.
            after: Key after which to begin, for the next page.
            limit: Most rows to return.
        """

    @abc.abstractmethod
    async def commit(self, transaction: Transaction) -> outcome.Commit:
        """Applies a transaction."""


class Objects(abc.ABC):
    """The platform's object store."""

    @abc.abstractmethod
    async def put(self, key: str, data: bytes, create: bool = False) -> Write:
        """Writes an object; with `create` only if the key is free."""

    @abc.abstractmethod
    async def get(self, key: str) -> Fetch:
        """Reads an object."""

    @abc.abstractmethod
    async def delete(self, key: str) -> Write:
        """Removes an object; a missing one counts as removed."""


class MemoryTable(Table):
    """A table in this process's memory, for tests and the stand-in."""

    def __init__(self):
        self._rows: dict[str, Row] = {}
        self._version = 0

    async def read(self, key: str) -> Read:
        """Reads one row."""
        row = self._rows.get(key)
        return Absent() if row is None else Found(row)

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Scan:
        """Reads rows in key order."""
        keys = sorted(
            key for key in self._rows if key.startswith(prefix) and key > after
        )
        rows = tuple(self._rows[key] for key in keys[:limit])
        return Page(rows, more=len(keys) > limit)

    async def commit(self, transaction: Transaction) -> outcome.Commit:
        """Applies a transaction."""
        for check in transaction.checks:
            row = self._rows.get(check.key)
            version = 0 if row is None else row.version
            if version != check.version:
                return outcome.Conflict(check.key, version)
        self._version += 1
        for key in transaction.deletes:
            self._rows.pop(key, None)
        for put in transaction.puts:
            self._rows[put.key] = Row(put.key, put.value, self._version)
        return outcome.Committed(self._version)


class MemoryObjects(Objects):
    """An object store in this process's memory."""

    def __init__(self):
        self._objects: dict[str, bytes] = {}

    async def put(self, key: str, data: bytes, create: bool = False) -> Write:
        """Writes an object."""
        if create and key in self._objects:
            return Exists()
        self._objects[key] = data
        return Stored()

    async def get(self, key: str) -> Fetch:
        """Reads an object."""
        data = self._objects.get(key)
        return Absent() if data is None else Object(data)

    async def delete(self, key: str) -> Write:
        """Removes an object."""
        self._objects.pop(key, None)
        return Stored()
