"""Stand-in for the platform's balancer: forwards TCP to entries in turn."""

import argparse
import itertools

import curio

_RECEIVE_BYTES = 64 * 1024
_CONNECT_TIMEOUT_S = 0.3


class Balancer:
    """Balances connections round-robin over the entries that accept them.

    Args:
        entries: HTTP addresses of the entries.
    """

    def __init__(self, entries: list[str]):
        self._entries = entries
        self._connection_count = itertools.count()

    async def serve(self, client, _address) -> None:
        """Forwards one connection until either side closes it."""
        upstream = await self._connect()
        if upstream is None:
            return
        async with upstream, curio.TaskGroup(wait=any) as group:
            await group.spawn(_copy_bytes, client, upstream)
            await group.spawn(_copy_bytes, upstream, client)

    async def _connect(self):
        start = next(self._connection_count)
        for offset in range(len(self._entries)):
            entry = self._entries[(start + offset) % len(self._entries)]
            host, _, port = entry.rpartition(":")
            try:
                return await curio.timeout_after(
                    _CONNECT_TIMEOUT_S, curio.open_connection, host, int(port)
                )
            except (OSError, curio.TaskTimeout):
                continue
        return None


async def _copy_bytes(source, sink) -> None:
    try:
        while data := await source.recv(_RECEIVE_BYTES):
            await sink.sendall(data)
    except OSError:
        return


def main() -> None:
    """Runs the balancer until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, help="IP:PORT")
    parser.add_argument("entries", nargs="+", help="IP:PORT of each entry")
    options = parser.parse_args()
    host, _, port = options.listen.rpartition(":")
    balancer = Balancer(options.entries)
    curio.run(curio.tcp_server, host, int(port), balancer.serve)


if __name__ == "__main__":
    main()
