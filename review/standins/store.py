"""Stand-in for the platform's store, by the page PROTOCOL.md.

Linearizable, with the limits of a small deployment: 100 entries and 1 MB in a
transaction, 65,536 bytes in a row (counted before base64, the more generous
reading), one transaction at a time in each part. `POST /operator` writes a row
as the operator does.
"""

import argparse
import asyncio
import base64
import collections
import time

from review.standins import httpio

TRANSACTION_S = 0.008
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1024 * 1024
MAX_ROW_BYTES = 65_536
PAGE_ROWS = 500
HISTORY_S = 20.0
MAX_WAIT_S = 30.0
READ_ONLY_TABLES = ("op", "servers")
RowName = tuple[str, str, str]


class Store:
    """Rows, the newest version, and the changes of the last seconds."""

    def __init__(self):
        self._rows: dict[RowName, tuple[str, int]] = {}
        self._version = 0
        self._changes = collections.deque()
        self._forgotten = 0
        self._changed = asyncio.Event()
        self._locks = collections.defaultdict(asyncio.Lock)

    async def answer(self, call: httpio.Call) -> httpio.Answer:
        """Answers a call."""
        match call.method, call.path:
            case "POST", "/rows-tx":
                return await self._transact(call)
            case "GET", "/rows-get":
                return self._get(call.query)
            case "GET", "/rows-parts":
                table = call.query["table"]
                parts = sorted({n[1] for n in self._rows if n[0] == table})
                after = call.query.get("after", "")
                return 200, {"parts": [p for p in parts if p > after][:1000]}
            case "GET", "/rows-feed":
                return await self._feed(call.query)
            case "POST", "/operator":
                row = call.json
                value = base64.b64encode(row["value"].encode()).decode()
                name = (row["table"], "", row["key"])
                self._apply({name: value}, [])
                return 200, self._stamp()
        return 404, {}

    def _stamp(self) -> dict:
        return {
            "schemaVer": self._version,
            "nowMs": int(time.monotonic() * 1000),
        }

    async def _transact(self, call: httpio.Call) -> httpio.Answer:
        body = call.json
        checks = body.get("expectedRev") or []
        puts = body.get("setKeys") or []
        removes = body.get("remove") or []
        entries = [*checks, *puts, *removes]
        parts = {entry.get("part", "") for entry in entries}
        if len(parts) > 1:
            return 400, {"error": "entries of several parts"}
        if any(e["table"] in READ_ONLY_TABLES for e in (*puts, *removes)):
            return 403, {}
        too_large = any(
            len(base64.b64decode(p["value"])) > MAX_ROW_BYTES for p in puts
        )
        if (
            too_large
            or len(entries) > MAX_ENTRIES
            or len(call.body) > MAX_CALL_BYTES
        ):
            return 413, {"error": "too large"}
        async with self._locks[parts.pop() if parts else ""]:
            await asyncio.sleep(TRANSACTION_S)
            if any(
                self._rows.get(_name(c), ("", 0))[1] != c["schemaVer"]
                for c in checks
            ):
                found = [_name(c) for c in checks if _name(c) in self._rows]
                rows = [self._row(name) for name in found]
                return 412, {"rows": rows, **self._stamp()}
            self._apply(
                {_name(p): p["value"] for p in puts}, list(map(_name, removes))
            )
            return 200, self._stamp()

    def _apply(self, puts: dict[RowName, str], removes: list[RowName]) -> None:
        self._version += 1
        now = time.monotonic()
        for name, value in puts.items():
            self._rows[name] = (value, self._version)
            self._changes.append((now, self._version, name))
        for name in removes:
            if self._rows.pop(name, None) is not None:
                self._changes.append((now, self._version, name))
        while self._changes and self._changes[0][0] < now - HISTORY_S:
            self._forgotten = self._changes.popleft()[1]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _row(self, name: RowName) -> dict:
        value, version = self._rows[name]
        return {**_fields(name), "value": value, "schemaVer": version}

    def _get(self, query: dict[str, str]) -> httpio.Answer:
        first, last = query.get("from", ""), query.get("to")
        names = sorted(
            name
            for name in self._rows
            if name[:2] == (query["table"], query.get("part", ""))
            and name[2] >= first
            and (last is None or name[2] < last)
        )
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        rows = [self._row(name) for name in names[:limit]]
        more = len(names) > limit
        return 200, {"rows": rows, "hasMore": more, **self._stamp()}

    async def _feed(self, query: dict[str, str]) -> httpio.Answer:
        after = int(query["after"])
        wait_s = min(int(query.get("waitMs", 0)) / 1000, MAX_WAIT_S)
        deadline = time.monotonic() + wait_s
        while True:
            if after < self._forgotten:
                return 410, self._stamp()
            rows = self._changes_after(query["table"], after)
            left_s = deadline - time.monotonic()
            if rows or left_s <= 0:
                return 200, {"rows": rows, **self._stamp()}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _changes_after(self, table: str, after: int) -> list[dict]:
        latest: dict[RowName, int] = {}
        for _, version, name in self._changes:
            if version > after and name[0] == table:
                latest.pop(name, None)
                latest[name] = version
        return [
            self._row(name)
            if name in self._rows
            else {**_fields(name), "schemaVer": version, "tombstone": True}
            for name, version in latest.items()
        ]


def _name(entry: dict) -> RowName:
    return entry["table"], entry.get("part", ""), entry["key"]


def _fields(name: RowName) -> dict[str, str]:
    return dict(zip(("table", "part", "key"), name, strict=True))


async def _run(listen: str) -> None:
    await httpio.serve(listen, Store().answer)


def main() -> None:
    """Runs the stand-in until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    asyncio.run(_run(parser.parse_args().listen))


if __name__ == "__main__":
    main()
