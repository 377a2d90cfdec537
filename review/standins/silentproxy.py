"""A TCP proxy whose open connections can go silent for good.

With SIGUSR1 every connection that is open at that moment passes nothing on any
more, in either direction, and stays open. New connections work.
"""

import argparse
import asyncio
import signal

_CHUNK_BYTES = 64 * 1024


class SilentProxy:
    """Passes bytes between its callers and one target.

    Args:
        target: IP:PORT to pass connections on to.
    """

    def __init__(self, target: str):
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._silent = asyncio.Event()
        self._kept = []

    def silence(self) -> None:
        """Makes the open connections silent."""
        silent, self._silent = self._silent, asyncio.Event()
        silent.set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        silent = self._silent
        try:
            far = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.close()
            return
        pumps = [
            asyncio.create_task(_pump(reader, far[1])),
            asyncio.create_task(_pump(far[0], writer)),
        ]
        gone = asyncio.create_task(silent.wait())
        await asyncio.wait([*pumps, gone], return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        if silent.is_set():
            # Kept open, and never read or written again.
            self._kept.append((reader, writer, far))
            return
        gone.cancel()
        writer.close()
        far[1].close()


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while data := await reader.read(_CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
    except OSError:
        return


async def _run(listen: str, target: str) -> None:
    proxy = SilentProxy(target)
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, proxy.silence)
    host, _, port = listen.rpartition(":")
    server = await asyncio.start_server(proxy.serve, host, int(port))
    async with server:
        await server.serve_forever()


def main() -> None:
    """Runs the proxy until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--target", required=True)
    options = parser.parse_args()
    asyncio.run(_run(options.listen, options.target))


if __name__ == "__main__":
    main()
