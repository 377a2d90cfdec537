"""A link of limited bandwidth: forwards TCP connections to one address.

All connections share the bandwidth of each direction, in turns of a few
kilobytes.
"""

import argparse
import asyncio
import contextlib
import time

TURN_BYTES = 4096


class Direction:
    """One direction of the link.

    Args:
        bytes_per_s: Its bandwidth.
    """

    def __init__(self, bytes_per_s: float):
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0
        self._turn = asyncio.Lock()

    async def pass_on(self, size: int) -> None:
        """Returns once so many bytes have passed the link."""
        async with self._turn:
            now_s = time.monotonic()
            self._free_s = max(self._free_s, now_s) + size / self._bytes_per_s
            await asyncio.sleep(self._free_s - now_s)


async def _copy(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    direction: Direction,
) -> None:
    try:
        while data := await reader.read(TURN_BYTES):
            await direction.pass_on(len(data))
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        with contextlib.suppress(OSError):
            writer.close()


async def _serve(listen: str, target: str, mbps: float) -> None:
    bytes_per_s = mbps * 1e6 / 8
    there, back = Direction(bytes_per_s), Direction(bytes_per_s)
    target_host, _, target_port = target.rpartition(":")

    async def forward(reader, writer) -> None:
        try:
            from_target, to_target = await asyncio.open_connection(
                target_host, int(target_port), limit=TURN_BYTES
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            _copy(reader, to_target, there), _copy(from_target, writer, back)
        )

    host, _, port = listen.rpartition(":")
    server = await asyncio.start_server(
        forward, host, int(port), limit=TURN_BYTES
    )
    async with server:
        await server.serve_forever()


def main() -> None:
    """Runs the link until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--target", required=True)
    parser.add_argument("--mbps", type=float, required=True)
    options = parser.parse_args()
    asyncio.run(_serve(options.listen, options.target, options.mbps))


if __name__ == "__main__":
    main()
