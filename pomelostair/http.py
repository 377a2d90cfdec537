"""Requests and responses over HTTP/1.1 and the limits that both ends keep."""

import attrs
import msgspec

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 32 * 1024
HEADER_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 60.0

WRITE_TIMEOUT_S = 60.0
LINGER_TIMEOUT_S = 2.0
DRAIN_IDLE_S = 0.5

Headers = tuple[tuple[str, str], ...]

HOP_HEADERS = frozenset(
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
    """One whole request.

    Attributes:
        method: Method in upper case.
        target: Path with the query.
        headers: Names in lower case, with their values.
        body: Whole body.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, named in lower case."""
        return next((v for key, v in self.headers if key == name), None)


@attrs.frozen
class Response:
    """One whole response."""

    status: int
    headers: Headers = ()
    body: bytes = b""


@attrs.frozen
class NoResponse:
    """Closes the connection without a response; stand-ins lose answers so."""


@attrs.frozen
class Limits:
    """What a server allows its callers.

    Attributes:
        connections: Most open connections; further ones are refused.
        body_bytes: Largest body of a request.
        idle_s: Longest wait for the first byte of a request.
        head_s: Longest time from the first byte to the end of the headers.
        body_s: Longest time for the body.
        write_s: Longest time in which a caller takes a response.
        linger_s: Longest time in which the rest of a refused request is read,
            so that the caller gets the refusal and not a reset.
        drain_idle_s: Time that idle connections have for a last request after
            a stop began.
    """

    connections: int = 2048
    body_bytes: int = MAX_BODY_BYTES
    idle_s: float = IDLE_TIMEOUT_S
    head_s: float = HEADER_TIMEOUT_S
    body_s: float = BODY_TIMEOUT_S
    write_s: float = WRITE_TIMEOUT_S
    linger_s: float = LINGER_TIMEOUT_S
    drain_idle_s: float = DRAIN_IDLE_S


def json_response(status: int, body: object, headers: Headers = ()) -> Response:
    """Returns a response whose body is `body` as JSON."""
    content = (("content-type", "application/json"),)
    return Response(status, content + headers, msgspec.json.encode(body))
