"""Minimal HTTP client for tests over real processes."""

import json
import time
from urllib import error
from urllib import request

import attrs

TIMEOUT_S = 15.0


@attrs.frozen
class Response:
    """Response to an HTTP request; status 0 if none was fully received."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)


def call(address, method, target, body=None, headers=None):
    """Sends an HTTP request and returns the response."""
    data = json.dumps(body).encode() if isinstance(body, dict) else body
    http_request = request.Request(
        f"http://{address}{target}",
        data=data,
        method=method,
        headers=headers or {},
    )
    try:
        with request.urlopen(http_request, timeout=TIMEOUT_S) as response:
            return Response(
                response.status, dict(response.headers), response.read()
            )
    except error.HTTPError as http_error:
        return Response(
            http_error.code, dict(http_error.headers), http_error.read()
        )
    except OSError as failure:
        return Response(0, {}, str(failure).encode())


def eventually(condition, timeout_s=20.0, poll_interval_s=0.1):
    """Waits until a condition is true or the timeout, returns its result."""
    deadline = time.monotonic() + timeout_s
    while True:
        result = condition()
        if result or time.monotonic() > deadline:
            return result
        time.sleep(poll_interval_s)
