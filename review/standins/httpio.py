"""A minimal HTTP/1.1 server with JSON bodies, for the stand-ins."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import typing
from urllib import parse


class Call(typing.NamedTuple):
    """A request that was read completely."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> dict:
        """The decoded body, empty if there is none."""
        return json.loads(self.body) if self.body else {}


Answer = tuple[int, dict]
Handler = Callable[[Call], Awaitable[Answer]]


async def serve(address: str, handler: Handler) -> None:
    """Serves until cancelled.

    Args:
        address: IP:PORT to listen on.
        handler: Returns status and JSON body of the answer to a call.
    """

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                call = await _read(reader)
                if call is None:
                    return
                status, body = await handler(call)
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\n"
                    "content-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(run, host, int(port), backlog=512)
    async with server:
        await server.serve_forever()


async def _read(reader: asyncio.StreamReader) -> Call | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    path, _, query = target.partition("?")
    return Call(method, path, dict(parse.parse_qsl(query, True)), headers, body)
