"""Stand-in for the network: a TCP relay that injects cuts and delays.

`POST /rules` at the control address takes a JSON list of `Rule`, which
replaces all earlier rules; `GET /rules` returns them. The first matching rule
applies. The relay buffers the bytes of a cut link until the cut ends, as TCP
does in a network that drops every packet. Connections that a rule makes silent
pass nothing on any more, also after the rule has ended; new ones work.
"""

import argparse

import attrs
import curio
import msgspec

from pomelostair import errors
from pomelostair import http
from pomelostair_standins import service

ANY = "*"
_RECEIVE_BYTES = 64 * 1024
_CUT_POLL_S = 0.02


@attrs.frozen
class Link:
    """One listening address of the relay and where it forwards to.

    Attributes:
        listen: IP:PORT that the relay listens on.
        forward: IP:PORT of the upstream process.
        target: Name of the upstream process.
        source: Name of the connecting process; if empty, it is looked up by
            source IP address in `Network.sources`.
    """

    listen: str
    forward: str
    target: str
    source: str = ""


@attrs.frozen
class Network:
    """All links of a site.

    Attributes:
        links: The links.
        sources: Names of processes by the IP address that they connect from.
    """

    links: tuple[Link, ...]
    sources: dict[str, str]


@attrs.frozen
class Rule:
    """Faults to inject into connections that one process opens to another.

    Attributes:
        source: Name of the connecting process, `*` for any.
        target: Name of the process that accepts, `*` for any.
        cut: Whether bytes are withheld in both directions.
        delay_ms: Delay added in each direction, in milliseconds.
        silent: Whether the connections that are open when the rule is set go
            silent for good, without a reset.
    """

    source: str = ANY
    target: str = ANY
    cut: bool = False
    delay_ms: float = 0.0
    silent: bool = False

    def applies(self, source: str, target: str) -> bool:
        """Returns whether the rule matches a pair of processes."""
        return self.source in (ANY, source) and self.target in (ANY, target)


@attrs.define(eq=False)
class _Connection:
    """An open connection.

    Attributes:
        source: Name of the connecting process.
        target: Name of the process that accepts.
        silent: Whether it passes nothing on any more.
    """

    source: str
    target: str
    silent: bool = False


class Relay(service.Service):
    """Forwards the connections of all links according to the current rules.

    Args:
        network: The links to serve.
    """

    def __init__(self, network: Network):
        super().__init__()
        self._network = network
        self._rules: tuple[Rule, ...] = ()
        self._connections: set[_Connection] = set()

    async def handle(self, request: http.Request) -> http.Response:
        """Returns or replaces the rules."""
        if request.method == "POST":
            try:
                self._rules = msgspec.json.decode(
                    request.body, type=tuple[Rule, ...]
                )
            except msgspec.MsgspecError as error:
                text = f"send a list of rules as JSON: {error}"
                raise errors.HttpError(400, "bad-request", text) from error
            for connection in self._connections:
                pair = connection.source, connection.target
                if self._matching_rule(*pair).silent:
                    connection.silent = True
        return http.json_response(200, self._rules)

    async def run(self) -> None:
        """Starts listening on every link."""
        for link in self._network.links:
            host, _, port = link.listen.rpartition(":")
            await curio.spawn(
                curio.tcp_server,
                host,
                int(port),
                self._make_forwarder(link),
                daemon=True,
            )

    def _make_forwarder(self, link: Link):
        async def forward(client, address) -> None:
            source = link.source or self._network.sources.get(address[0], "")
            await self._apply_rule(source, link.target)
            host, _, port = link.forward.rpartition(":")
            try:
                upstream = await curio.open_connection(host, int(port))
            except OSError:
                return
            connection = _Connection(source, link.target)
            self._connections.add(connection)
            try:
                async with upstream, curio.TaskGroup(wait=any) as group:
                    for endpoints in ((client, upstream), (upstream, client)):
                        await group.spawn(
                            self._copy_bytes, connection, *endpoints
                        )
            finally:
                self._connections.discard(connection)

        return forward

    async def _copy_bytes(
        self, connection: _Connection, reader, writer
    ) -> None:
        try:
            while data := await reader.recv(_RECEIVE_BYTES):
                await self._apply_rule(connection.source, connection.target)
                if connection.silent:
                    await curio.Event().wait()
                await writer.sendall(data)
        except OSError:
            return

    async def _apply_rule(self, source: str, target: str) -> None:
        """Waits until the pair is not cut, then for the rule's delay."""
        while (rule := self._matching_rule(source, target)).cut:
            await curio.sleep(_CUT_POLL_S)
        if rule.delay_ms:
            await curio.sleep(rule.delay_ms / 1000)

    def _matching_rule(self, source: str, target: str) -> Rule:
        for rule in self._rules:
            if rule.applies(source, target):
                return rule
        return Rule()


async def _serve(network: Network, listen: str) -> None:
    relay = Relay(network)
    await relay.run()
    await service.serve(relay, listen)


def main() -> None:
    """Runs the stand-in until the process is stopped."""
    parser: argparse.ArgumentParser = service.parser(__doc__)
    parser.add_argument("--network", required=True, help="JSON file")
    options = parser.parse_args()
    with open(options.network, "rb") as file:
        network = msgspec.json.decode(file.read(), type=Network)
    curio.run(_serve, network, options.listen)


if __name__ == "__main__":
    main()
