"""The platform's rows and raw objects as the product's table and objects.

A key of the product, `TABLE/PART/REST`, names a row of the platform's `TABLE`
under `PART`, which is the unit of its write rate. A key of two segments has an
empty part, and one of a single segment an empty name, too.
"""

import base64
import time
from urllib import parse

import msgspec

from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient
from pomelostair import metrics as metrics_module
from pomelostair import outcome
from pomelostair import store

CLOCK_DRIFT = 0.02  # The platform bounds the drift of its clocks by 2 %.
WATCH_SLACK_S = 1.0  # Time for the answer beyond the wait that was asked for.
PAGE_ROWS = 500  # The platform's own limit of rows in one answer.
_AFTER_PREFIX = "\x7f"  # Sorts after every character that the keys use.


class RowBody(msgspec.Struct, omit_defaults=True):
    """A row on the wire; `schemaVer` is the version of the row, not a schema.

    `tombstone` marks a removed row in a feed.
    """

    table: str
    part: str = ""
    key: str = ""
    value: str = ""
    version: int = msgspec.field(default=0, name="schemaVer")
    removed: bool | None = msgspec.field(default=None, name="tombstone")


class RowsBody(msgspec.Struct):
    """An answer with rows.

    `schemaVer` is here the newest version of the whole store, and `nowMs` its
    steady clock, no time of day.
    """

    rows: list[RowBody] = []
    more: bool = msgspec.field(default=False, name="hasMore")
    version: int = msgspec.field(default=0, name="schemaVer")
    clock_ms: float = msgspec.field(default=0.0, name="nowMs")


class CheckBody(msgspec.Struct):
    """A condition: the row's version; 0 for a row that must not exist."""

    table: str
    part: str
    key: str
    version: int = msgspec.field(name="schemaVer")


class NameBody(msgspec.Struct):
    """The name of a row to remove."""

    table: str
    part: str
    key: str


class PutBody(msgspec.Struct):
    """A row to write, its value as base64."""

    table: str
    part: str
    key: str
    value: str


class TransactionBody(msgspec.Struct, omit_defaults=True):
    """A transaction; `crossShard` allows entries of several parts."""

    checks: list[CheckBody] = msgspec.field(name="expectedRev")
    puts: list[PutBody] = msgspec.field(name="setKeys")
    removes: list[NameBody] = msgspec.field(name="remove")
    several_parts: bool = msgspec.field(default=False, name="crossShard")


def split(key: str) -> tuple[str, str, str]:
    """Returns table, part and rest of a key of the product."""
    table, _, rest = key.partition("/")
    part, separator, name = rest.partition("/")
    return (table, part, name) if separator else (table, "", part)


def join(row: RowBody) -> str:
    """Returns the product's key of a row."""
    if not (row.part or row.key):
        return row.table
    middle = f"{row.part}/" if row.part else ""
    return f"{row.table}/{middle}{row.key}"


class _Clock:
    """Bounds of the store's steady clock, from its latest answer."""

    def __init__(self):
        self._shown_ms = 0.0
        self._sent = 0.0
        self._received = 0.0

    def learn(self, shown_ms: float, sent: float) -> None:
        """Notes a reading of an exchange that began at `sent`."""
        if shown_ms > 0:
            self._shown_ms = shown_ms
            self._sent = sent
            self._received = _now()

    def read(self) -> store.StoreTime | None:
        """Returns the bounds at present."""
        if not self._shown_ms:
            return None
        now = _now()
        least_s = (now - self._received) * (1 - CLOCK_DRIFT)
        most_s = (now - self._sent) * (1 + CLOCK_DRIFT)
        return store.StoreTime(
            self._shown_ms + least_s * 1000, self._shown_ms + most_s * 1000
        )


class RowsTable(store.Table):
    """The platform's rows.

    Args:
        client: Client of the store, for short calls.
        watcher: Client of the store, for calls that wait.
        metrics: Where operations are counted by outcome.
        timeout_s: Longest wait for one operation.
    """

    def __init__(
        self,
        client: httpclient.Client,
        watcher: httpclient.Client,
        metrics: metrics_module.Metrics,
        timeout_s: float,
    ):
        self._client = client
        self._watcher = watcher
        self._metrics = metrics
        self._timeout_s = timeout_s
        self._clock = _Clock()

    async def read(self, key: str) -> store.ReadResult:
        """Reads one row."""
        table, part, name = split(key)
        query = {"table": table, "part": part, "from": name, "limit": 1}
        body = await self._rows("read", "/rows-get", query, self._client)
        if not isinstance(body, RowsBody):
            return _unavailable(body)
        if not body.rows or body.rows[0].key != name:
            return store.Absent()
        found = _row(body.rows[0])
        return store.Absent() if found is None else store.Found(found)

    async def scan(
        self, prefix: str, after: str = "", limit: int = PAGE_ROWS
    ) -> store.ScanResult:
        """Reads rows of one table and part in key order."""
        table, part, first = split(prefix)
        start = split(after)[2] + "\x00" if after else first
        query = {
            "table": table,
            "part": part,
            "from": start,
            "to": first + _AFTER_PREFIX,
            "limit": min(limit, PAGE_ROWS),
        }
        body = await self._rows("scan", "/rows-get", query, self._client)
        if not isinstance(body, RowsBody):
            return _unavailable(body)
        rows = tuple(r for r in map(_row, body.rows) if r is not None)
        return store.Page(rows, body.more, body.version)

    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> store.WatchResult:
        """Waits for changes of rows of one table."""
        query = {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        timeout_s = wait_s + WATCH_SLACK_S
        body = await self._rows(
            "watch", "/rows-feed", query, self._watcher, timeout_s
        )
        if not isinstance(body, RowsBody):
            return body
        rows = tuple(
            r for r in map(_row, (b for b in body.rows if not b.removed)) if r
        )
        deleted = tuple(join(b) for b in body.rows if b.removed)
        return store.Changes(rows, deleted, body.version)

    async def commit(
        self, transaction: store.Transaction
    ) -> outcome.CommitResult:
        """Applies a transaction."""
        request = http.Request(
            "POST",
            "/rows-tx",
            (("content-type", "application/json"),),
            msgspec.json.encode(_body(transaction)),
        )
        sent = _now()
        result = await self._commit(request, sent)
        self._count("commit", result)
        return result

    def time(self) -> store.StoreTime | None:
        """Returns the store's time, None before its first answer."""
        return self._clock.read()

    async def _commit(
        self, request: http.Request, sent: float
    ) -> outcome.CommitResult:
        try:
            response = await self._client.request(request, self._timeout_s)
        except errors.NotSentError as error:
            return outcome.Unavailable(str(error))
        except errors.AnswerLostError as error:
            return outcome.Unknown(str(error))
        if response.status in (429, 503):
            return outcome.Unavailable(f"status {response.status}")
        if response.status not in (200, 412):
            return outcome.Unknown(f"status {response.status}")
        body = _decode(response, RowsBody)
        if not isinstance(body, RowsBody):
            return outcome.Unknown(body.reason)
        self._clock.learn(body.clock_ms, sent)
        if response.status == 200:
            return outcome.Committed(body.version)
        if not body.rows:
            return outcome.Conflict("", 0)
        return outcome.Conflict(join(body.rows[0]), body.rows[0].version)

    async def _rows(
        self,
        operation: str,
        path: str,
        query: dict[str, object],
        client: httpclient.Client,
        timeout_s: float | None = None,
    ) -> RowsBody | store.HistoryGone | outcome.Unavailable:
        target = f"{path}?{parse.urlencode(query)}"
        sent = _now()
        response = await _get(client, target, timeout_s or self._timeout_s)
        self._count(operation, response)
        if isinstance(response, outcome.Unavailable):
            return response
        if response.status == 410:
            return store.HistoryGone()
        if response.status != 200:
            return outcome.Unavailable(f"status {response.status}")
        body = _decode(response, RowsBody)
        if isinstance(body, RowsBody):
            self._clock.learn(body.clock_ms, sent)
        return body

    def _count(self, operation: str, result: object) -> None:
        self._metrics.count(
            "store_operations",
            operation=operation,
            outcome=type(result).__name__.lower(),
        )


class BlobObjects(store.Objects):
    """The platform's raw objects.

    Args:
        client: Client of the store.
        timeout_s: Longest wait for one operation.
    """

    def __init__(self, client: httpclient.Client, timeout_s: float):
        self._client = client
        self._timeout_s = timeout_s

    async def put(
        self, key: str, data: bytes, create: bool = False
    ) -> store.WriteResult:
        """Writes an object; with `create` only if the key is free."""
        headers = (("if-none-match", "*"),) if create else ()
        target = f"/blob-put/{parse.quote(key, safe='')}"
        return await self._write(http.Request("PUT", target, headers, data))

    async def get(self, key: str) -> store.GetResult:
        """Reads an object."""
        target = f"/blob-get/{parse.quote(key, safe='')}"
        response = await _get(self._client, target, self._timeout_s)
        if isinstance(response, outcome.Unavailable):
            return response
        if response.status == 404:
            return store.Absent()
        if response.status != 200:
            return outcome.Unavailable(f"status {response.status}")
        return store.Object(response.body)

    async def delete(self, key: str) -> store.WriteResult:
        """Removes an object; a missing one counts as removed."""
        target = f"/blob-drop/{parse.quote(key, safe='')}"
        return await self._write(http.Request("DELETE", target))

    async def _write(self, request: http.Request) -> store.WriteResult:
        try:
            response = await self._client.request(request, self._timeout_s)
        except errors.NotSentError as error:
            return outcome.Unavailable(str(error))
        except errors.AnswerLostError as error:
            return outcome.Unknown(str(error))
        match response.status:
            case 412:
                return store.Exists()
            case 429 | 503 | 507:
                return outcome.Unavailable(f"status {response.status}")
            case 404 if request.method == "DELETE":
                return store.Stored()
            case status if status >= 300:
                return outcome.Unknown(f"status {status}")
        return store.Stored()


async def _get(
    client: httpclient.Client, target: str, timeout_s: float
) -> http.Response | outcome.Unavailable:
    try:
        return await client.request(http.Request("GET", target), timeout_s)
    except (errors.NotSentError, errors.AnswerLostError) as error:
        return outcome.Unavailable(str(error))


def _unavailable(
    result: store.HistoryGone | outcome.Unavailable,
) -> outcome.Unavailable:
    if isinstance(result, outcome.Unavailable):
        return result
    return outcome.Unavailable("status 410")


def _decode(response: http.Response, body_type: type):
    try:
        return msgspec.json.decode(response.body, type=body_type)
    except msgspec.MsgspecError as error:
        return outcome.Unavailable(f"unreadable answer: {error}")


def _row(body: RowBody) -> store.Row | None:
    """Returns a row, None for a value of another writer that is no base64."""
    try:
        value = base64.b64decode(body.value, validate=True)
    except ValueError:
        return None
    return store.Row(join(body), value, body.version)


def _body(transaction: store.Transaction) -> TransactionBody:
    checks = [
        CheckBody(*split(check.key), check.version)
        for check in transaction.checks
    ]
    puts = [
        PutBody(*split(put.key), base64.b64encode(put.value).decode("ascii"))
        for put in transaction.puts
    ]
    removes = [NameBody(*split(key)) for key in transaction.deletes]
    parts = {entry.part for entry in (*checks, *puts, *removes)}
    return TransactionBody(checks, puts, removes, len(parts) > 1)


def _now() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
