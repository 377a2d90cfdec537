"""A TCP proxy that stands for the path of one machine to the store.

With SIGUSR1 every connection that is open at that moment passes nothing on any
more, in either direction, and stays open. New connections work. From SIGUSR2 to
the next one, all connections are reset: those that are open, and new ones.
"""

import argparse
import asyncio
import signal
import socket
import struct

_CHUNK_BYTES = 64 * 1024


class Proxy:
    """Passes bytes between its callers and one target.

    Args:
        target: IP:PORT to pass connections on to.
    """

    def __init__(self, target: str):
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._silent = asyncio.Event()
        self._refused = asyncio.Event()
        self._refuses = False
        self._kept = []

    def silence(self) -> None:
        """Makes the open connections silent."""
        silent, self._silent = self._silent, asyncio.Event()
        silent.set()

    def toggle_refusal(self) -> None:
        """Begins or ends to reset all connections."""
        self._refuses = not self._refuses
        refused, self._refused = self._refused, asyncio.Event()
        if self._refuses:
            refused.set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        silent, refused = self._silent, self._refused
        if self._refuses:
            _reset(writer)
            return
        try:
            far = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.close()
            return
        pumps = [
            asyncio.create_task(_pump(reader, far[1])),
            asyncio.create_task(_pump(far[0], writer)),
        ]
        events = [
            asyncio.create_task(silent.wait()),
            asyncio.create_task(refused.wait()),
        ]
        await asyncio.wait(
            [*pumps, *events], return_when=asyncio.FIRST_COMPLETED
        )
        for task in (*pumps, *events):
            task.cancel()
        if silent.is_set():
            # Kept open, and never read or written again.
            self._kept.append((reader, writer, far))
            return
        if refused.is_set():
            _reset(writer)
        writer.close()
        far[1].close()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.close()


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
    proxy = Proxy(target)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, proxy.silence)
    loop.add_signal_handler(signal.SIGUSR2, proxy.toggle_refusal)
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
