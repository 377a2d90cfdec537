"""Stand-in for a worker: runs tasks under leases on its own clock."""

import argparse
import random
import time
import uuid

import curio
import msgspec

from pomelostair import http
from pomelostair import workerclient
from pomelostair_standins import machine as machine_module
from pomelostair_standins import service

TICK_S = 0.02
MAX_CLOCK_OFFSET_MS = 1e9


class Worker(service.Service):
    """Serves one machine over HTTP.

    `POST /behaviour` sets how it behaves, `GET /history` tells what it
    started and stopped when, and `GET /stats` sums that up.
    """

    def __init__(self):
        super().__init__()
        self._offset_ms = random.SystemRandom().uniform(0, MAX_CLOCK_OFFSET_MS)
        self._machine = machine_module.Machine(
            machine_module.Behaviour(), uuid.uuid4().hex
        )

    async def run(self) -> None:
        """Advances the attempts until cancelled."""
        while True:
            self._advance()
            await curio.sleep(TICK_S)

    def _advance(self) -> None:
        at_s = time.monotonic()
        self._machine.advance(at_s * 1000 + self._offset_ms, at_s)

    async def handle(self, request: http.Request) -> http.Response:
        """Answers one request."""
        self._advance()
        machine = self._machine
        match request.target:
            case "/status":
                return http.json_response(200, machine.status())
            case "/history":
                return http.json_response(200, machine.history)
            case "/stats":
                return http.json_response(200, self._stats())
            case "/behaviour":
                machine.behaviour = _decode(request, machine_module.Behaviour)
                return http.json_response(200, {})
            case "/checkpoint":
                attempt = _decode(request, workerclient.Attempt)
                saved = machine.checkpoint(attempt)
                status = 404 if saved is None else 200
                return http.json_response(status, saved)
        return self._order(request)

    def _order(self, request: http.Request) -> http.Response:
        machine = self._machine
        match request.target:
            case "/start":
                machine.start(_decode(request, workerclient.Start))
            case "/renew":
                renewals = _decode(request, workerclient.Renewals)
                for renewal in renewals.renewals:
                    machine.renew(renewal)
            case "/throttle":
                machine.throttle(_decode(request, workerclient.Throttle))
            case "/stop":
                machine.stop(_decode(request, workerclient.Stop))
            case "/forget":
                named = _decode(request, workerclient.Attempts)
                for attempt in named.attempts:
                    machine.forget(attempt)
            case _:
                return http.json_response(404, {"error": "no such path"})
        return http.json_response(200, {})

    def _stats(self) -> dict[str, float]:
        rows = self._machine.history
        started = sum(row.action == "start" for row in rows)
        return {"started": started, "worst": self._machine.worst}


def _decode(request: http.Request, body_type: type):
    return msgspec.json.decode(request.body, type=body_type)


async def _serve(listen: str) -> None:
    worker = Worker()
    await curio.spawn(worker.run, daemon=True)
    await service.serve(worker, listen)


def main() -> None:
    """Runs the stand-in until it is ended."""
    options: argparse.Namespace = service.parser(__doc__).parse_args()
    curio.run(_serve, options.listen)


if __name__ == "__main__":
    main()
