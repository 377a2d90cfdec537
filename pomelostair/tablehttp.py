"""Clients of the platform's table and object store over HTTP."""

from urllib import parse

import attrs
import msgspec

from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient
from pomelostair import metrics as metrics_module
from pomelostair import outcome
from pomelostair import store


@attrs.frozen
class RowBody:
    """A row as the table service writes it; bytes travel as base64."""

    key: str
    value: bytes
    version: int


@attrs.frozen
class PageBody:
    """A page of rows as the table service writes it."""

    rows: tuple[RowBody, ...]
    more: bool


@attrs.frozen
class CommitBody:
    """Answer to a transaction: a version, or the key that conflicted."""

    committed: bool
    version: int
    key: str = ""


class HttpTable(store.Table):
    """The platform's table service.

    Args:
        client: Client of the platform.
        metrics: Where operations are counted by outcome.
        timeout_s: Longest wait for one operation.
    """

    def __init__(
        self,
        client: httpclient.Client,
        metrics: metrics_module.Metrics,
        timeout_s: float,
    ):
        self._client = client
        self._metrics = metrics
        self._timeout_s = timeout_s

    async def read(self, key: str) -> store.Read:
        """Reads one row."""
        target = f"/table/rows/{parse.quote(key, safe='')}"
        response = await self._get(target, "read")
        if isinstance(response, outcome.Unavailable):
            return response
        if response.status == 404:
            return store.Absent()
        body = _decode(response, RowBody)
        if isinstance(body, outcome.Unavailable):
            return body
        return store.Found(store.Row(body.key, body.value, body.version))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> store.Scan:
        """Reads rows in key order."""
        query = parse.urlencode(
            {"prefix": prefix, "after": after, "limit": limit}
        )
        response = await self._get(f"/table/rows?{query}", "scan")
        if isinstance(response, outcome.Unavailable):
            return response
        body = _decode(response, PageBody)
        if isinstance(body, outcome.Unavailable):
            return body
        rows = tuple(
            store.Row(row.key, row.value, row.version) for row in body.rows
        )
        return store.Page(rows, body.more)

    async def commit(self, transaction: store.Transaction) -> outcome.Commit:
        """Applies a transaction."""
        body = msgspec.json.encode(transaction)
        request = http.Request("POST", "/table/commit", (), body)
        result = await self._commit(request)
        self._metrics.count(
            "store_operations",
            operation="commit",
            outcome=type(result).__name__.lower(),
        )
        return result

    async def _commit(self, request: http.Request) -> outcome.Commit:
        response = await _send_write(self._client, request, self._timeout_s)
        if not isinstance(response, http.Response):
            return response
        body = _decode(response, CommitBody)
        if isinstance(body, outcome.Unavailable):
            return outcome.Unknown(body.reason)
        if body.committed:
            return outcome.Committed(body.version)
        return outcome.Conflict(body.key, body.version)

    async def _get(
        self, target: str, operation: str
    ) -> http.Response | outcome.Unavailable:
        result = await _read_only(self._client, target, self._timeout_s)
        self._metrics.count(
            "store_operations",
            operation=operation,
            outcome=type(result).__name__.lower(),
        )
        return result


class HttpObjects(store.Objects):
    """The platform's object store.

    Args:
        client: Client of the platform.
        timeout_s: Longest wait for one operation.
    """

    def __init__(self, client: httpclient.Client, timeout_s: float):
        self._client = client
        self._timeout_s = timeout_s

    async def put(
        self, key: str, data: bytes, create: bool = False
    ) -> store.Write:
        """Writes an object."""
        headers = (("if-none-match", "*"),) if create else ()
        return await self._write(
            http.Request("PUT", _object_target(key), headers, data)
        )

    async def get(self, key: str) -> store.Fetch:
        """Reads an object."""
        response = await _read_only(
            self._client, _object_target(key), self._timeout_s
        )
        if isinstance(response, outcome.Unavailable):
            return response
        if response.status == 404:
            return store.Absent()
        if response.status != 200:
            return outcome.Unavailable(f"status {response.status}")
        return store.Object(response.body)

    async def delete(self, key: str) -> store.Write:
        """Removes an object."""
        return await self._write(http.Request("DELETE", _object_target(key)))

    async def _write(self, request: http.Request) -> store.Write:
        response = await _send_write(self._client, request, self._timeout_s)
        if not isinstance(response, http.Response):
            return response
        if response.status == 412:
            return store.Exists()
        if response.status >= 300:
            return outcome.Unknown(f"status {response.status}")
        return store.Stored()


async def _send_write(
    client: httpclient.Client, request: http.Request, timeout_s: float
) -> http.Response | outcome.Unavailable | outcome.Unknown:
    """Sends a write once and tells apart what may have taken effect."""
    try:
        response = await client.request(request, timeout_s)
    except errors.NotSentError as error:
        return outcome.Unavailable(str(error))
    except errors.AnswerLostError as error:
        return outcome.Unknown(str(error))
    if response.status == 503:
        return outcome.Unavailable("platform answered 503")
    return response


async def _read_only(
    client: httpclient.Client, target: str, timeout_s: float
) -> http.Response | outcome.Unavailable:
    try:
        response = await client.request(http.Request("GET", target), timeout_s)
    except (errors.NotSentError, errors.AnswerLostError) as error:
        return outcome.Unavailable(str(error))
    if response.status >= 500:
        return outcome.Unavailable(f"platform answered {response.status}")
    return response


def _decode(response: http.Response, body_type: type):
    try:
        return msgspec.json.decode(response.body, type=body_type)
    except msgspec.MsgspecError as error:
        return outcome.Unavailable(f"unreadable answer: {error}")


def _object_target(key: str) -> str:
    return f"/objects/{parse.quote(key, safe='')}"
