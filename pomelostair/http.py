"""HTTP/1.1 requests and responses, and the limits of client and server."""

import attrs
import msgspec

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEADERS_BYTES = 32 * 1024
# Python objects of tiny headers take a hundred times their bytes.
MAX_HEADERS = 256
RECEIVE_BYTES = 64 * 1024
MAX_REJECTING_CONNECTIONS = 64
HEADERS_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 60.0

WRITE_TIMEOUT_S = 60.0
LINGER_TIMEOUT_S = 2.0
DRAIN_IDLE_TIMEOUT_S = 0.5

Headers = tuple[tuple[str, str], ...]

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@attrs.frozen
class Request:
    """A complete request.

    Attributes:
        method: Method in upper case.
        target: Path with the query string.
        headers: Pairs of name, in lower case, and value.
        body: Complete body.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, None if it is missing.

        Args:
            name: Name of the header in lower case.
        """
        return next((v for key, v in self.headers if key == name), None)


@attrs.frozen
class Response:
    """A complete response."""

    status: int
    headers: Headers = ()
    body: bytes = b""


@attrs.frozen
class NoResponse:
    """Closes the connection without a response; test stand-ins use it."""


@attrs.frozen
class Limits:
    """Limits of a server.

    Attributes:
        max_connections: Maximum number of open connections; further ones are
            rejected with status 503.
        max_rejecting_connections: Maximum number of further connections that
            are open until they have read that status; beyond, connections
            are closed at once.
        max_body_bytes: Maximum size of a request body.
        max_headers_bytes: Maximum size of a request head.
        receive_bytes: Most bytes that are read from a connection at once.
        gets_have_no_effect: Whether a response to GET that does not fit into
            the memory may become a 503, which says that nothing has run.
        idle_timeout_s: Timeout for the first byte of a request.
        headers_timeout_s: Timeout from the first byte of a request to the end
            of its headers.
        body_timeout_s: Timeout for the body.
        write_timeout_s: Timeout for sending a response.
        linger_timeout_s: Longest time for which the rest of a rejected request
            is read. Closing at once would reset the connection, and the caller
            would not receive the response.
        drain_idle_timeout_s: Time in which idle connections may send a last
            request after a drain began.
    """

    max_connections: int = 2048
    max_rejecting_connections: int = MAX_REJECTING_CONNECTIONS
    max_body_bytes: int = MAX_BODY_BYTES
    max_headers_bytes: int = MAX_HEADERS_BYTES
    receive_bytes: int = RECEIVE_BYTES
    gets_have_no_effect: bool = False
    idle_timeout_s: float = IDLE_TIMEOUT_S
    headers_timeout_s: float = HEADERS_TIMEOUT_S
    body_timeout_s: float = BODY_TIMEOUT_S
    write_timeout_s: float = WRITE_TIMEOUT_S
    linger_timeout_s: float = LINGER_TIMEOUT_S
    drain_idle_timeout_s: float = DRAIN_IDLE_TIMEOUT_S


def json_response(status: int, body: object, headers: Headers = ()) -> Response:
    """Returns a response whose body is `body` as JSON."""
    content = (("content-type", "application/json"),)
    return Response(status, content + headers, msgspec.json.encode(body))
