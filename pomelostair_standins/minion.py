"""Stand-in for a minion: serves requests and records each run."""

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
class JournalRecord:
    """One line of the journal, encoded as JSON.

    Attributes:
        event: `open` when the minion starts, `begin` or `end` of a run.
        request: Id that the system assigned to the request.
        attempt: Id that the caller assigned to its call.
        at: Monotonic clock of the host, in seconds.
        running: Number of requests running in the minion after the event.
    """

    event: str
    at: float
    request: str = ""
    attempt: str = ""
    running: int = 0


class Journal:
    """Append-only file of a minion's runs, which survives a crash of it.

    Args:
        path: File to append to; empty disables the journal.
    """

    def __init__(self, path: str):
        self._file = None
        if path:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._file = os.open(path, flags)
        self.write("open")

    def write(self, event: str, **fields: object) -> None:
        """Appends a record unless the journal is disabled."""
        if self._file is None:
            return
        record = JournalRecord(event, time.monotonic(), **fields)
        os.write(self._file, msgspec.json.encode(record) + b"\n")


@attrs.define
class Stats:
    """Counters of a minion, returned by `GET /stats`.

    Attributes:
        runs: Number of runs by request id.
        running: Number of requests running now.
        most_running: Highest number of concurrent requests so far.
        over_slots: Number of requests started while all slots were in use.
    """

    runs: collections.Counter = attrs.field(factory=collections.Counter)
    running: int = 0
    most_running: int = 0
    over_slots: int = 0


class Minion(service.Service):
    """Responds with the digest of the body after a service time.

    The header `x-service-ms` sets the service time of a request, and
    `x-answer-bytes` adds that many bytes to the response body. The slots are
    not enforced: a request beyond them runs and is counted.

    Args:
        slots: Nominal number of concurrent requests.
        service_ms: Mean service time, in milliseconds.
        seed: Seed of the exponentially distributed service times.
        journal: Journal of the runs, None to disable it.
        slow_ms: Milliseconds added to each service time, to simulate a
            degraded host.
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
        requested_ms = request.header("x-service-ms")
        if requested_ms is not None:
            return float(requested_ms)
        return self._random.expovariate(1 / self._service_ms)

    def _respond(self, request: http.Request) -> http.Response:
        digest = hashlib.sha256(request.body).hexdigest()
        headers = (("x-body-sha256", digest),)
        length = int(request.header("x-answer-bytes") or 0)
        body = f"{request.method} {request.target} {digest}\n".encode()
        return http.Response(200, headers, body + b"." * length)


def main() -> None:
    """Runs the stand-in until the process is stopped."""
    parser = service.parser(__doc__)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--service-ms", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--journal", default="", help="file to record runs in")
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
