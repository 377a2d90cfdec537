"""Stand-in for the platform's balancer: forwards TCP to one of the entries."""

import argparse
import itertools

import curio

_RECEIVE_BYTES = 64 * 1024
_CONNECT_TIMEOUT_S = 0.3


class Balancer:
    """Forwards each connection to the next entry that accepts it.

    Args:
        entries: HTTP addresses of the entries.
    """

    def __init__(self, entries: list[str]):
        self._entries = entries
        self._turn = itertools.count()

    async def serve(self, client, _address) -> None:
        """Forwards one connection until either end closes it."""
        upstream = await self._connect()
        if upstream is None:
            return
        async with upstream, curio.TaskGroup(wait=any) as group:
            await group.spawn(_pump, client, upstream)
            await group.spawn(_pump, upstream, client)

    async def _connect(self):
        start = next(self._turn)
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


async def _pump(source, sink) -> None:
    try:
        while data := await source.recv(_RECEIVE_BYTES):
            await sink.sendall(data)
    except OSError:
        return


def main() -> None:
    """Runs the balancer until it is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, help="IP:PORT")
    parser.add_argument("entries", nargs="+", help="IP:PORT of each entry")
    options = parser.parse_args()
    host, _, port = options.listen.rpartition(":")
    balancer = Balancer(options.entries)
    curio.run(curio.tcp_server, host, int(port), balancer.serve)


if __name__ == "__main__":
    main()
