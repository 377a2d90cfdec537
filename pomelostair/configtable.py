"""The accepted configuration in the platform's table: one row.

A change is accepted when its row is committed by compare-and-set. A write
whose answer was lost is repeated under the same condition, which applies it
at most once, and is then found by its token.
"""

from collections.abc import Callable
import uuid

import attrs
import curio
import msgspec

from pomelostair import declaration
from pomelostair import errors
from pomelostair import outcome
from pomelostair import store

KEY = "configuration"
MAX_TOKENS = 64
MAX_RACES = 8
SETTLE_TRIES = 5
SETTLE_PAUSE_S = 0.2

Edit = Callable[[declaration.InForce], declaration.InForce | outcome.Refused]


@attrs.frozen
class Accepted:
    """A change is durable.

    Attributes:
        before: The configuration that was changed.
        after: The configuration as accepted, or as found if nothing changed.
    """

    before: declaration.InForce
    after: declaration.InForce


@attrs.frozen
class _Row:
    version: int
    document: declaration.InForce


@attrs.frozen
class _Raced:
    """Another change was accepted first; this one never takes effect."""


def encode(document: declaration.InForce) -> bytes:
    """Returns a configuration as JSON."""
    return msgspec.json.encode(document)


def decode(data: bytes) -> declaration.InForce | outcome.Unavailable:
    """Returns a configuration from JSON, or why it can't be read."""
    try:
        return msgspec.json.decode(data, type=declaration.InForce)
    except (msgspec.MsgspecError, ValueError, errors.SettingsError) as error:
        return outcome.Unavailable(f"unreadable configuration: {error}")


class ConfigTable:
    """Reads and changes the configuration's row.

    Args:
        table: The platform's table.
    """

    def __init__(self, table: store.Table):
        self._table = table

    async def read(self) -> declaration.InForce | outcome.Unavailable:
        """Returns the accepted configuration, version 0 for none yet."""
        row = await self._read()
        return row.document if isinstance(row, _Row) else row

    async def change(
        self, edit: Edit, at_least: int, expected: int | None = None
    ) -> Accepted | outcome.Refused:
        """Changes the configuration as a whole.

        Args:
            edit: Returns the edited configuration, or refuses; it may be run
                again on a newer one.
            at_least: Version that is known to be accepted; older answers of
                the table are not believed.
            expected: Version that must be changed, None for any.
        """
        for _ in range(MAX_RACES):
            result = await self._try_change(edit, at_least, expected)
            if not isinstance(result, _Raced):
                return result
            if expected is not None:
                return _conflict(expected, "a newer one")
        return _conflict("any", "a newer one each time")

    async def _try_change(
        self, edit: Edit, at_least: int, expected: int | None
    ) -> Accepted | outcome.Refused | _Raced:
        row = await self._read()
        if isinstance(row, outcome.Unavailable):
            return _unavailable(row.reason)
        before = row.document
        if before.version < at_least:
            return _unavailable(f"its answer {before.version} is out of date")
        if expected is not None and before.version != expected:
            return _conflict(expected, before.version)
        edited = edit(before)
        if isinstance(edited, outcome.Refused):
            return edited
        if edited == before:
            return Accepted(before, before)
        token = uuid.uuid4().hex
        after = attrs.evolve(
            edited,
            version=before.version + 1,
            tokens=(*before.tokens, token)[-MAX_TOKENS:],
        )
        return await self._write(row, after, token)

    async def _write(
        self, row: _Row, after: declaration.InForce, token: str
    ) -> Accepted | outcome.Refused | _Raced:
        transaction = store.Transaction(
            checks=(store.Check(KEY, row.version),),
            puts=(store.Put(KEY, encode(after)),),
        )
        accepted = Accepted(row.document, after)
        match await self._table.commit(transaction):
            case outcome.Committed():
                return accepted
            case outcome.Conflict():
                return _Raced()
            case outcome.Unavailable(reason=reason):
                return _unavailable(reason)
        return await self._settle(transaction, accepted, token)

    async def _settle(
        self, transaction: store.Transaction, accepted: Accepted, token: str
    ) -> Accepted | outcome.Refused | _Raced:
        for _ in range(SETTLE_TRIES):
            found = await self._find(accepted, token)
            if found is not None:
                return found
            result = await self._table.commit(transaction)
            if isinstance(result, outcome.Committed):
                return accepted
            await curio.sleep(SETTLE_PAUSE_S)
        return outcome.Refused(
            outcome.Kind.ANSWER_LOST,
            "ask for the version before repeating; the table did not tell "
            "whether it took the change",
            outcome.Ran.UNKNOWN,
        )

    async def _find(
        self, accepted: Accepted, token: str
    ) -> Accepted | _Raced | None:
        """Tells whether a change is among the accepted ones, if it can."""
        row = await self._read()
        if isinstance(row, outcome.Unavailable):
            return None
        found = row.document
        if token in found.tokens:
            return accepted
        newer = found.version - accepted.before.version
        if 0 < newer <= MAX_TOKENS:
            return _Raced()
        return None

    async def _read(self) -> _Row | outcome.Unavailable:
        match await self._table.read(KEY):
            case store.Found(row=row):
                document = decode(row.value)
                if isinstance(document, outcome.Unavailable):
                    return document
                return _Row(row.version, document)
            case store.Absent():
                return _Row(0, declaration.InForce())
            case outcome.Unavailable() as unavailable:
                return unavailable


def _unavailable(reason: str) -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.STORE_UNAVAILABLE,
        f"repeat later; the platform's table can't accept changes: {reason}",
    )


def _conflict(expected: object, found: object) -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.CONFLICT,
        f"look at the configuration in force and repeat; version {expected} "
        f"was expected, {found} was found",
    )
