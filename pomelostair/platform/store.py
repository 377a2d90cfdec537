"""Implements the table and object interfaces over the platform's store.

The key `TABLE/PART/NAME` refers to the row `NAME` in the partition `PART` of
the platform's table `TABLE`; the platform limits the write rate of each
partition. The part is empty in a key of two segments; part and name are empty
in a key of one segment. A name with a slash in the empty partition follows two
slashes: `TABLE//NAME`.
"""

import base64
from urllib import parse

import msgspec

from pomelostair import clock as clock_module
from pomelostair import codec
from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient
from pomelostair import metrics as metrics_module
from pomelostair import outcome
from pomelostair import store
from pomelostair import storeclock

# Time for the answer of a watch, in addition to the requested wait; at least
# that of other operations, so that a slow store does not lose each watch.
WATCH_TIMEOUT_MARGIN_S = 1.0
# An operation without an answer is given up after this multiple of the recent
# answer times, but not before MIN_TIMEOUT_S: a slow store takes half a second,
# and a leader must notice a silent one well before its lease ends.
TIMEOUT_FACTOR = 4.0
MIN_TIMEOUT_S = 0.8
# Share of the longest recent answer time that is kept with each answer.
ANSWER_TIME_DECAY = 0.8
MAX_PAGE_ROWS = 500  # The platform returns at most 500 rows per answer.
_PREFIX_END = "\x7f"  # Sorts after every character that occurs in keys.


class RowBody(msgspec.Struct, omit_defaults=True):
    """A row on the wire.

    `schemaVer` is the version of the row, not of a schema. `tombstone` marks a
    deleted row in the answer to a watch.
    """

    table: str
    part: str = ""
    key: str = ""
    value: str = ""
    version: int = msgspec.field(default=0, name="schemaVer")
    removed: bool | None = msgspec.field(default=None, name="tombstone")


class RowsBody(msgspec.Struct):
    """An answer with rows.

    `schemaVer` is the newest version of the whole store here. `nowMs` is a
    reading of the store's monotonic clock, not the time of day.
    """

    rows: list[RowBody] = []
    more: bool = msgspec.field(default=False, name="hasMore")
    version: int = msgspec.field(default=0, name="schemaVer")
    clock_ms: float = msgspec.field(default=0.0, name="nowMs")


class CheckBody(msgspec.Struct):
    """A condition on the version of a row; 0 if it must not exist."""

    table: str
    part: str
    key: str
    version: int = msgspec.field(name="schemaVer")


class RowNameBody(msgspec.Struct):
    """Identifies a row to delete."""

    table: str
    part: str
    key: str


class PutBody(msgspec.Struct):
    """A row to write; the value is base64."""

    table: str
    part: str
    key: str
    value: str


class TransactionBody(msgspec.Struct, omit_defaults=True):
    """A transaction; `crossShard` is required if it spans several parts."""

    checks: list[CheckBody] = msgspec.field(name="expectedRev")
    puts: list[PutBody] = msgspec.field(name="setKeys")
    removes: list[RowNameBody] = msgspec.field(name="remove")
    spans_parts: bool = msgspec.field(default=False, name="crossShard")


def split_key(key: str) -> tuple[str, str, str]:
    """Splits a key into table, part and name."""
    table, _, rest = key.partition("/")
    part, separator, name = rest.partition("/")
    return (table, part, name) if separator else (table, "", part)


def join_key(row: RowBody) -> str:
    """Returns the key of a row."""
    if not (row.part or row.key):
        return row.table
    part_prefix = f"{row.part}/" if row.part or "/" in row.key else ""
    return f"{row.table}/{part_prefix}{row.key}"


class AdaptiveTimeout:
    """Timeout of operations that follows their recent answer times.

    Args:
        max_s: Longest timeout, in seconds.
    """

    def __init__(self, max_s: float):
        self._max_s = max_s
        self._answer_s = 0.0

    @property
    def seconds(self) -> float:
        """Timeout of the next operation."""
        adapted_s = max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * self._answer_s)
        return min(self._max_s, adapted_s)

    def record_answer(self, took_s: float) -> None:
        """Records how long an answer took."""
        self._answer_s = max(took_s, ANSWER_TIME_DECAY * self._answer_s)

    def record_timeout(self) -> None:
        """Doubles the timeout, as the answer may only have been slow."""
        self._answer_s = 2 * self.seconds / TIMEOUT_FACTOR


class RowsTable(store.Table):
    """The platform's table service.

    Args:
        client: Client of the store for short requests.
        watch_client: Client of the store for long polls.
        metrics: Counts the operations by outcome.
        timeout_s: Longest timeout of an operation, except a watch.
    """

    def __init__(
        self,
        client: httpclient.Client,
        watch_client: httpclient.Client,
        metrics: metrics_module.Metrics,
        timeout_s: float,
    ):
        self._client = client
        self._watch_client = watch_client
        self._metrics = metrics
        self._max_timeout_s = timeout_s
        self._read_timeout = AdaptiveTimeout(timeout_s)
        self._commit_timeout = AdaptiveTimeout(timeout_s)
        self._clock = clock_module.BoottimeClock()
        self._store_clock = storeclock.StoreClock(self._clock)

    async def read(self, key: str) -> store.ReadResult:
        """Reads one row."""
        table, part, name = split_key(key)
        query = {"table": table, "part": part, "from": name, "limit": 1}
        sent_s = self._clock.now()
        body = await self._fetch_rows(
            "read",
            "/rows-get",
            query,
            self._client,
            self._read_timeout.seconds,
        )
        if not isinstance(body, RowsBody):
            return _as_unavailable(body)
        self._read_timeout.record_answer(self._clock.now() - sent_s)
        if not body.rows or body.rows[0].key != name:
            return store.Absent()
        return store.Found(_decode_row(body.rows[0]))

    async def scan(
        self, prefix: str, after: str = "", limit: int = MAX_PAGE_ROWS
    ) -> store.ScanResult:
        """Reads rows in key order; the prefix names one table and part.

        A page may take long on a slow link, so its timeout is the longest.
        """
        table, part, first = split_key(prefix)
        start = split_key(after)[2] + "\x00" if after else first
        query = {
            "table": table,
            "part": part,
            "from": start,
            "to": first + _PREFIX_END,
            "limit": min(limit, MAX_PAGE_ROWS),
        }
        body = await self._fetch_rows(
            "scan", "/rows-get", query, self._client, self._max_timeout_s
        )
        if not isinstance(body, RowsBody):
            return _as_unavailable(body)
        rows = tuple(map(_decode_row, body.rows))
        return store.Page(rows, body.more, body.version)

    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> store.WatchResult:
        """Waits for changes of the rows of a table."""
        query = {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        margin_s = max(
            WATCH_TIMEOUT_MARGIN_S,
            self._read_timeout.seconds,
            self._commit_timeout.seconds,
        )
        timeout_s = wait_s + margin_s
        body = await self._fetch_rows(
            "watch", "/rows-feed", query, self._watch_client, timeout_s
        )
        if not isinstance(body, RowsBody):
            return body
        rows = tuple(_decode_row(b) for b in body.rows if not b.removed)
        deleted = tuple(join_key(b) for b in body.rows if b.removed)
        return store.Changes(rows, deleted, body.version)

    async def commit(
        self, transaction: store.Transaction
    ) -> outcome.CommitResult:
        """Applies a transaction."""
        request = http.Request(
            "POST",
            "/rows-tx",
            (("content-type", "application/json"),),
            msgspec.json.encode(_encode_transaction(transaction)),
        )
        sent_s = self._clock.now()
        result = await self._send_transaction(
            request, transaction.checks, sent_s
        )
        self._count_operation("commit", result)
        return result

    async def reconnect(self) -> None:
        """Closes idle connections, as they may have gone silent."""
        await self._client.close()
        await self._watch_client.close()

    def time(self) -> store.StoreTime | None:
        """Returns the store's time, None before the store first answered."""
        return self._store_clock.bounds()

    async def _send_transaction(
        self,
        request: http.Request,
        checks: tuple[store.Check, ...],
        sent_s: float,
    ) -> outcome.CommitResult:
        timeout_s = self._commit_timeout.seconds
        try:
            response = await self._client.request(request, timeout_s)
        except errors.NotSentError as error:
            return outcome.Unavailable(str(error))
        except errors.AnswerLostError as error:
            if self._clock.now() - sent_s >= timeout_s:
                self._commit_timeout.record_timeout()
            return outcome.Unknown(str(error))
        self._commit_timeout.record_answer(self._clock.now() - sent_s)
        if response.status in (429, 503):
            return outcome.Unavailable(f"status {response.status}")
        if response.status not in (200, 412):
            return outcome.Unknown(f"status {response.status}")
        body = _decode(response, RowsBody)
        if not isinstance(body, RowsBody):
            return outcome.Unknown(body.reason)
        self._record_time(body, sent_s)
        if response.status == 200:
            return outcome.Committed(body.version)
        return _failed_check(checks, body.rows)

    async def _fetch_rows(
        self,
        operation: str,
        path: str,
        query: dict[str, object],
        client: httpclient.Client,
        timeout_s: float,
    ) -> RowsBody | store.HistoryGone | outcome.Unavailable:
        target = f"{path}?{parse.urlencode(query)}"
        sent_s = self._clock.now()
        response = await _get(client, target, timeout_s)
        self._count_operation(operation, response)
        if isinstance(response, outcome.Unavailable):
            return response
        if response.status == 410:
            return store.HistoryGone()
        if response.status != 200:
            return outcome.Unavailable(f"status {response.status}")
        body = _decode(response, RowsBody)
        if isinstance(body, RowsBody):
            self._record_time(body, sent_s)
        return body

    def _record_time(self, body: RowsBody, sent_s: float) -> None:
        if body.clock_ms > 0:
            reading = store.StoreTime(body.clock_ms, body.clock_ms)
            self._store_clock.update(reading, sent_s)

    def _count_operation(self, operation: str, result: object) -> None:
        self._metrics.count(
            "store_operations",
            operation=operation,
            outcome=type(result).__name__.lower(),
        )


class BlobObjects(store.Objects):
    """The platform's object store.

    Args:
        client: Client of the store.
        timeout_s: Timeout of an operation.
    """

    def __init__(self, client: httpclient.Client, timeout_s: float):
        self._client = client
        self._timeout_s = timeout_s

    async def put(
        self, key: str, data: bytes, create: bool = False
    ) -> store.WriteResult:
        """Writes an object; with `create`, only if the key does not exist."""
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
        """Deletes an object; succeeds if it does not exist."""
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


def _as_unavailable(
    result: store.HistoryGone | outcome.Unavailable,
) -> outcome.Unavailable:
    if isinstance(result, outcome.Unavailable):
        return result
    return outcome.Unavailable("status 410")


def _failed_check(
    checks: tuple[store.Check, ...], rows: list[RowBody]
) -> outcome.Conflict:
    """Returns the first check that the current rows do not meet.

    Args:
        checks: Checks of a transaction that was refused.
        rows: The rows that exist, of those that were checked.
    """
    versions = {join_key(row): row.version for row in rows}
    for check in checks:
        version = versions.get(check.key, 0)
        if version != check.version:
            return outcome.Conflict(check.key, version)
    # The rows have changed since the checks.
    return outcome.Conflict("", 0)


def _decode(response: http.Response, body_type: type):
    try:
        return codec.decode_json(response.body, body_type)
    except msgspec.MsgspecError as error:
        return outcome.Unavailable(f"unreadable answer: {error}")


def _decode_row(body: RowBody) -> store.Row:
    """Returns a row; its value is empty if that of another writer is no base64.

    An empty value is malformed for every reader. If the row were left out, what
    it says would be taken as never stored, and a page of such rows as the last.
    """
    try:
        value = base64.b64decode(body.value, validate=True)
    except ValueError:
        value = b""
    return store.Row(join_key(body), value, body.version)


def _encode_transaction(transaction: store.Transaction) -> TransactionBody:
    checks = [
        CheckBody(*split_key(check.key), check.version)
        for check in transaction.checks
    ]
    puts = [
        PutBody(
            *split_key(put.key), base64.b64encode(put.value).decode("ascii")
        )
        for put in transaction.puts
    ]
    removes = [RowNameBody(*split_key(key)) for key in transaction.deletes]
    parts = {entry.part for entry in (*checks, *puts, *removes)}
    return TransactionBody(checks, puts, removes, len(parts) > 1)
