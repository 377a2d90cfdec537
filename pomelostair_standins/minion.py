"""Stand-in for a minion: runs requests in slots and counts what it ran."""

import collections
import hashlib
import os
import random
import time

import attrs
import curio
import msgspec

from pomelostair import http
from pomelostair_standins import service

REQUEST_ID_HEADER = "pomelostair-request-id"
ATTEMPT_HEADER = "x-attempt-id"


@attrs.frozen
class Entry:
    """One line of the journal.

    Attributes:
        event: `open` for a start of the minion, else `begin` or `end`.
        request: Id that the system gave the request.
        attempt: Id that the caller gave its call.
        at: Monotonic seconds of the host.
        running: Requests that run in the minion after it.
    """

    event: str
    at: float
    request: str = ""
    attempt: str = ""
    running: int = 0


class Journal:
    """A file of what a minion ran; outlives the minion's death.

    Args:
        path: File to append to, empty to keep none.
    """

    def __init__(self, path: str):
        self._file = None
        if path:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._file = os.open(path, flags)
        self.write("open")

    def write(self, event: str, **fields: object) -> None:
        """Appends one line."""
        if self._file is None:
            return
        entry = Entry(event, time.monotonic(), **fields)
        os.write(self._file, msgspec.json.encode(entry) + b"\n")


@attrs.define
class Stats:
    """What a minion ran.

    Attributes:
        runs: Number of runs by request id.
        running: Requests that run now.
        most_running: Most requests that ever ran at once.
        over_slots: Requests that were begun beyond the slots.
    """

    runs: collections.Counter = attrs.field(factory=collections.Counter)
    running: int = 0
    most_running: int = 0
    over_slots: int = 0


class Minion(service.Service):
    """Answers with the digest of the body after a service time.

    The header `x-service-ms` sets the service time of a request,
    `x-answer-bytes` makes the answer that long.

    Args:
        slots: Requests that it can run at once.
        service_ms: Mean service time.
        seed: Seed of the service times, which are exponential.
        journal: Where runs are written.
        slow_ms: Added to each service time, as of a host in trouble.
    """

    def __init__(
        self,
        slots: int,
        service_ms: float,
        seed: int,
        journal: Journal | None = None,
        slow_ms: float = 0.0,
    ):
        super().__init__()
        self._slow_ms = slow_ms
        self._journal = journal or Journal("")
        self._slots = slots
        self._service_ms = service_ms
        self._random = random.Random(seed)
        self._stats = Stats()

    async def handle(self, request: http.Request) -> http.Response:
        """Runs one request."""
        if request.target == "/stats":
            return http.json_response(200, attrs.asdict(self._stats))
        stats = self._stats
        request_id = request.header(REQUEST_ID_HEADER) or ""
        stats.runs[request_id] += 1
        stats.running += 1
        stats.most_running = max(stats.most_running, stats.running)
        stats.over_slots += stats.running > self._slots
        ids = {
            "request": request_id,
            "attempt": request.header(ATTEMPT_HEADER) or "",
        }
        self._journal.write("begin", running=stats.running, **ids)
        try:
            duration_ms = self._duration_ms(request) + self._slow_ms
            await curio.sleep(duration_ms / 1000)
        finally:
            stats.running -= 1
            self._journal.write("end", running=stats.running, **ids)
        return self._respond(request)

    def _duration_ms(self, request: http.Request) -> float:
        given = request.header("x-service-ms")
        if given is not None:
            return float(given)
        return self._random.expovariate(1 / self._service_ms)

    def _respond(self, request: http.Request) -> http.Response:
        digest = hashlib.sha256(request.body).hexdigest()
        headers = (("x-body-sha256", digest),)
        length = int(request.header("x-answer-bytes") or 0)
        body = f"{request.method} {request.target} {digest}\n".encode()
        return http.Response(200, headers, body + b"." * length)


def main() -> None:
    """Runs the stand-in until it is ended."""
    parser = service.parser(__doc__)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--service-ms", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--journal", default="", help="file of what it ran")
    parser.add_argument("--slow-ms", type=float, default=0.0)
    options = parser.parse_args()
    minion = Minion(
        options.slots,
        options.service_ms,
        options.seed,
        Journal(options.journal),
        options.slow_ms,
    )
    curio.run(service.serve, minion, options.listen)


if __name__ == "__main__":
    main()
