"""Stand-in for the platform's table service and object store."""

from urllib import parse

import curio
import msgspec

from pomelostair import http
from pomelostair import outcome
from pomelostair import store
from pomelostair import tablehttp
from pomelostair_standins import service


class Platform(service.Service):
    """Serves a memory-backed table and object store."""

    def __init__(self):
        super().__init__()
        self._table = store.MemoryTable()
        self._objects = store.MemoryObjects()
        self._commits = 0

    async def handle(self, request: http.Request) -> http.Response:
        """Answers one operation."""
        path, _, query = request.target.partition("?")
        if path == "/table/commit":
            return await self._commit(request)
        if path == "/table/rows":
            return await self._scan(dict(parse.parse_qsl(query, True)))
        if path.startswith("/table/rows/"):
            return await self._read(parse.unquote(path[len("/table/rows/") :]))
        if path.startswith("/objects/"):
            key = parse.unquote(path[len("/objects/") :])
            return await self._object(request, key)
        if path == "/stats":
            return http.json_response(200, {"commits": self._commits})
        return http.json_response(404, {"error": "no such path"})

    async def _commit(self, request: http.Request) -> http.Response:
        transaction = msgspec.json.decode(request.body, type=store.Transaction)
        self._commits += 1
        match await self._table.commit(transaction):
            case outcome.Committed(version=version):
                body = tablehttp.CommitBody(True, version)
            case outcome.Conflict(key=key, version=version):
                body = tablehttp.CommitBody(False, version, key)
        return http.json_response(200, body)

    async def _read(self, key: str) -> http.Response:
        match await self._table.read(key):
            case store.Found(row=row):
                return http.json_response(200, row)
        return http.json_response(404, {"error": "no such row"})

    async def _scan(self, query: dict[str, str]) -> http.Response:
        page = await self._table.scan(
            query.get("prefix", ""),
            query.get("after", ""),
            int(query.get("limit", "500")),
        )
        return http.json_response(200, page)

    async def _object(self, request: http.Request, key: str) -> http.Response:
        match request.method:
            case "PUT":
                create = request.header("if-none-match") == "*"
                result = await self._objects.put(key, request.body, create)
                status = 412 if isinstance(result, store.Exists) else 200
                return http.json_response(status, {})
            case "DELETE":
                await self._objects.delete(key)
                return http.json_response(200, {})
        match await self._objects.get(key):
            case store.Object(data=data):
                return http.Response(200, (), data)
        return http.json_response(404, {"error": "no such object"})


def main() -> None:
    """Runs the stand-in until it is ended."""
    options = service.parser(__doc__).parse_args()
    curio.run(service.serve, Platform(), options.listen)


if __name__ == "__main__":
    main()
