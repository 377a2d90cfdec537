"""The accepted configuration, stored as one row of the platform's table.

A change is accepted when its row is committed by compare-and-set. A write
whose answer was lost is repeated under the same condition, so that it is
applied at most once; whether it was applied is determined by its token, which
is stored with the configuration.
"""

from collections.abc import Callable
import uuid

import attrs
import curio
import msgspec

from pomelostair import codec
from pomelostair import declaration
from pomelostair import errors
from pomelostair import outcome
from pomelostair import store

ROW_KEY = "configuration"
MAX_TOKENS = 64
MAX_ATTEMPTS = 8
RESOLVE_ATTEMPTS = 5
RESOLVE_RETRY_S = 0.2

Edit = Callable[
    [declaration.VersionedConfiguration],
    declaration.VersionedConfiguration | outcome.Refused,
]


@attrs.frozen
class Accepted:
    """A change is durable.

    Attributes:
        before: The configuration that was changed.
        after: The accepted configuration, equal to `before` if the edit
            changed nothing.
    """

    before: declaration.VersionedConfiguration
    after: declaration.VersionedConfiguration


@attrs.frozen
class _Row:
    version: int
    document: declaration.VersionedConfiguration


@attrs.frozen
class _Superseded:
    """Another change was accepted first; this one will not be applied."""


def encode(document: declaration.VersionedConfiguration) -> bytes:
    """Encodes a configuration as JSON."""
    return msgspec.json.encode(document)


def decode(
    data: bytes,
) -> declaration.VersionedConfiguration | outcome.Unavailable:
    """Decodes a configuration from JSON, or returns why it is unreadable."""
    try:
        return codec.decode_json(data, declaration.VersionedConfiguration)
    except (msgspec.MsgspecError, errors.SettingsError) as error:
        return outcome.Unavailable(f"unreadable configuration: {error}")


class ConfigTable:
    """Reads and changes the row of the configuration.

    Args:
        table: The platform's table.
    """

    def __init__(self, table: store.Table):
        self._table = table

    async def read(
        self,
    ) -> declaration.VersionedConfiguration | outcome.Unavailable:
        """Returns the accepted configuration; version 0 if there is none."""
        row = await self._read()
        return row.document if isinstance(row, _Row) else row

    async def change(
        self, edit: Edit, min_version: int, expected: int | None = None
    ) -> Accepted | outcome.Refused:
        """Changes the configuration atomically.

        Args:
            edit: Returns the edited configuration, or a refusal; it is called
                again with a newer one if another change was accepted first.
            min_version: Version that is known to be accepted; a read that
                returns an older one is stale and is not edited.
            expected: Version that the change must be based on, None for any.
        """
        for _ in range(MAX_ATTEMPTS):
            result = await self._try_change(edit, min_version, expected)
            if not isinstance(result, _Superseded):
                return result
            if expected is not None:
                return _conflict(expected, "a newer one")
        return _conflict("any", "a newer one on every attempt")

    async def _try_change(
        self, edit: Edit, min_version: int, expected: int | None
    ) -> Accepted | outcome.Refused | _Superseded:
        row = await self._read()
        if isinstance(row, outcome.Unavailable):
            return _unavailable(row.reason)
        before = row.document
        if before.version < min_version:
            return _unavailable(
                f"it returned version {before.version}, which is outdated"
            )
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
        self, row: _Row, after: declaration.VersionedConfiguration, token: str
    ) -> Accepted | outcome.Refused | _Superseded:
        transaction = store.Transaction(
            checks=(store.Check(ROW_KEY, row.version),),
            puts=(store.Put(ROW_KEY, encode(after)),),
        )
        accepted = Accepted(row.document, after)
        match await self._table.commit(transaction):
            case outcome.Committed():
                return accepted
            case outcome.Conflict():
                return _Superseded()
            case outcome.Unavailable(reason=reason):
                return _unavailable(reason)
        return await self._resolve_unknown(transaction, accepted, token)

    async def _resolve_unknown(
        self, transaction: store.Transaction, accepted: Accepted, token: str
    ) -> Accepted | outcome.Refused | _Superseded:
        for _ in range(RESOLVE_ATTEMPTS):
            resolved = await self._find_outcome(accepted, token)
            if resolved is not None:
                return resolved
            result = await self._table.commit(transaction)
            if isinstance(result, outcome.Committed):
                return accepted
            await curio.sleep(RESOLVE_RETRY_S)
        return outcome.Refused(
            outcome.Kind.ANSWER_LOST,
            "check the version in force before repeating; the table did not "
            "report whether it applied the change",
            outcome.Ran.UNKNOWN,
        )

    async def _find_outcome(
        self, accepted: Accepted, token: str
    ) -> Accepted | _Superseded | None:
        """Returns whether a change was accepted or superseded.

        None if the table can't be read, if its version is not newer than the
        one that was changed, or if so many changes followed that the token may
        have been dropped.
        """
        row = await self._read()
        if isinstance(row, outcome.Unavailable):
            return None
        document = row.document
        if token in document.tokens:
            return accepted
        versions_since = document.version - accepted.before.version
        if 0 < versions_since <= MAX_TOKENS:
            return _Superseded()
        return None

    async def _read(self) -> _Row | outcome.Unavailable:
        match await self._table.read(ROW_KEY):
            case store.Found(row=row):
                document = decode(row.value)
                if isinstance(document, outcome.Unavailable):
                    return document
                return _Row(row.version, document)
            case store.Absent():
                return _Row(0, declaration.VersionedConfiguration())
            case outcome.Unavailable() as unavailable:
                return unavailable


def _unavailable(reason: str) -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.STORE_UNAVAILABLE,
        f"repeat later; the platform's table can't accept changes: {reason}",
    )


def _conflict(expected: object, actual: object) -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.CONFLICT,
        f"check the configuration in force and repeat; expected version "
        f"{expected}, found {actual}",
    )
