"""Stand-in for the users' platform store: rows, change feed and blobs."""

import base64
import time
from urllib import parse

import curio
import msgspec

from pomelostair import http
from pomelostair import outcome
from pomelostair import store
from pomelostair_standins import service

PAGE_ROWS = 500
MAX_ENTRIES = 100
READ_ONLY_TABLES = ("op", "servers")
MAX_WAIT_S = 30.0


class Platform(service.Service):
    """Serves rows and blobs from memory.

    Calls beyond those of the platform: `POST /operator` with `key` and `value`
    writes a row as the operator does, `POST /forget` drops the history of the
    change feed, and `GET /stats` returns the number of attempted commits.
    """

    def __init__(self):
        super().__init__()
        self.table = store.MemoryTable()
        self.objects = store.MemoryObjects()
        self.commits = 0

    async def handle(self, request: http.Request) -> http.Response:
        """Answers one call."""
        path, _, query_string = request.target.partition("?")
        query = dict(parse.parse_qsl(query_string, True))
        match request.method, path:
            case "POST", "/rows-tx":
                return await self._transaction(request)
            case "GET", "/rows-get":
                return await self._get(query)
            case "GET", "/rows-feed":
                return await self._feed(query)
            case "POST", "/operator":
                return await self._write_as_operator(request)
            case "GET", "/stats":
                return http.json_response(200, {"commits": self.commits})
            case "POST", "/forget":
                self.table.truncate_history()
                return self._rows_response(200, [])
        if path.startswith("/blob-"):
            return await self._object(request, path)
        return http.json_response(404, {"error": "no such call"})

    async def _transaction(self, request: http.Request) -> http.Response:
        body = msgspec.json.decode(request.body)
        checks, puts = body.get("expectedRev", []), body.get("setKeys", [])
        removes = body.get("remove", [])
        entries = [*checks, *puts, *removes]
        if len(entries) > MAX_ENTRIES:
            return http.json_response(400, {"error": "too many entries"})
        parts = {entry.get("part", "") for entry in entries}
        if len(parts) > 1 and not body.get("crossShard"):
            return http.json_response(400, {"error": "several parts"})
        if any(e["table"] in READ_ONLY_TABLES for e in (*puts, *removes)):
            return http.json_response(403, {"error": "not yours"})
        transaction = store.Transaction(
            tuple(store.Check(_key(e), e["schemaVer"]) for e in checks),
            tuple(
                store.Put(_key(e), base64.b64decode(e["value"])) for e in puts
            ),
            tuple(_key(e) for e in removes),
        )
        self.commits += 1
        match await self.table.commit(transaction):
            case outcome.Committed():
                return self._rows_response(200, [])
        results = [await self.table.read(c.key) for c in transaction.checks]
        rows = [f.row for f in results if isinstance(f, store.Found)]
        return self._rows_response(412, rows)

    async def _get(self, query: dict[str, str]) -> http.Response:
        prefix = _key({"key": "", **query})
        start_key, end_key = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        page = await self.table.scan(prefix, "", 1_000_000)
        rows = [
            row
            for row in page.rows
            if _part(row.key) == query.get("part", "")
            and _key_fields(row.key)["key"] >= start_key
            and (end_key is None or _key_fields(row.key)["key"] < end_key)
        ]
        return self._rows_response(200, rows[:limit], len(rows) > limit)

    async def _feed(self, query: dict[str, str]) -> http.Response:
        wait_s = min(int(query.get("waitMs", 0)) / 1000, MAX_WAIT_S)
        result = await self.table.watch(
            query["table"], int(query["after"]), wait_s
        )
        if isinstance(result, store.HistoryGone):
            return self._rows_response(410, [])
        body = self._rows_fields(list(result.rows))
        body["rows"] += [
            {**_key_fields(key), "tombstone": True} for key in result.deleted
        ]
        body["schemaVer"] = result.version
        return http.json_response(200, body)

    async def _write_as_operator(self, request: http.Request) -> http.Response:
        body = msgspec.json.decode(request.body)
        transaction = store.Transaction(deletes=(body["key"],))
        if body["value"] is not None:
            put = store.Put(body["key"], body["value"].encode())
            transaction = store.Transaction(puts=(put,))
        await self.table.commit(transaction)
        return self._rows_response(200, [])

    async def _object(self, request: http.Request, path: str) -> http.Response:
        verb, _, name = path.lstrip("/").partition("/")
        key = parse.unquote(name)
        match verb:
            case "blob-put":
                create = request.header("if-none-match") == "*"
                result = await self.objects.put(key, request.body, create)
                status = 412 if isinstance(result, store.Exists) else 200
                return http.json_response(status, {})
            case "blob-drop":
                await self.objects.delete(key)
                return http.json_response(200, {})
        match await self.objects.get(key):
            case store.Object(data=data):
                return http.Response(200, (), data)
        return http.json_response(404, {})

    def _rows_response(
        self, status: int, rows: list[store.Row], more: bool = False
    ) -> http.Response:
        return http.json_response(
            status, {**self._rows_fields(rows), "hasMore": more}
        )

    def _rows_fields(self, rows: list[store.Row]) -> dict:
        return {
            "rows": [
                {
                    **_key_fields(row.key),
                    "value": base64.b64encode(row.value).decode(),
                    "schemaVer": row.version,
                }
                for row in rows
            ],
            "schemaVer": self.table.version,
            "nowMs": time.monotonic() * 1000,
        }


def _key(entry: dict) -> str:
    part = entry.get("part", "")
    part_prefix = f"{part}/" if part or "/" in entry["key"] else ""
    return f"{entry['table']}/{part_prefix}{entry['key']}"


def _part(key: str) -> str:
    return key.split("/", 2)[1] if key.count("/") > 1 else ""


def _key_fields(key: str) -> dict[str, str]:
    table, _, rest = key.partition("/")
    part = _part(key)
    name = rest[len(part) + 1 :] if "/" in rest else rest
    return {"table": table, "part": part, "key": name}


def main() -> None:
    """Runs the stand-in until the process is stopped."""
    options = service.parser(__doc__).parse_args()
    curio.run(service.serve, Platform(), options.listen)


if __name__ == "__main__":
    main()
