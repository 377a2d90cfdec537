"""Requests and responses over HTTP/1.1 and the limits that both ends keep."""

import attrs
import msgspec

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 32 * 1024
HEADER_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 60.0

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


def json_response(status: int, body: object, headers: Headers = ()) -> Response:
    """Returns a response whose body is `body` as JSON."""
    content = (("content-type", "application/json"),)
    return Response(status, content + headers, msgspec.json.encode(body))
