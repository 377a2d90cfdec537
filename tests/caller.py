"""A small HTTP caller for tests over real processes."""

import json
import time
from urllib import error
from urllib import request

import attrs

TIMEOUT_S = 15.0


@attrs.frozen
class Answer:
    """What a caller got; status 0 means that no whole answer came."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)


def call(address, method, target, body=None, headers=None):
    """Sends one request and returns its answer."""
    data = json.dumps(body).encode() if isinstance(body, dict) else body
    outgoing = request.Request(
        f"http://{address}{target}",
        data=data,
        method=method,
        headers=headers or {},
    )
    try:
        with request.urlopen(outgoing, timeout=TIMEOUT_S) as response:
            return Answer(
                response.status, dict(response.headers), response.read()
            )
    except error.HTTPError as refused:
        return Answer(refused.code, dict(refused.headers), refused.read())
    except OSError as failure:
        return Answer(0, {}, str(failure).encode())


def eventually(condition, timeout_s=20.0, pause_s=0.1):
    """Waits until a condition returns something true, and returns that."""
    deadline = time.monotonic() + timeout_s
    while True:
        found = condition()
        if found or time.monotonic() > deadline:
            return found
        time.sleep(pause_s)
