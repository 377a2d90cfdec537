"""Stand-in for a worker: serves a model of a machine over HTTP.

Its clock has a random offset from the clock of the host.
"""

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

    Calls for tests: `POST /behaviour` sets the behaviour of the machine, `GET
    /history` returns all starts and ends of attempts, and `GET /stats` returns
    the number of starts and the peak utilization.
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
        now_s = time.monotonic()
        self._machine.advance(now_s * 1000 + self._offset_ms, now_s)

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
                checkpoint = machine.checkpoint(attempt)
                status = 404 if checkpoint is None else 200
                return http.json_response(status, checkpoint)
        return self._apply_order(request)

    def _apply_order(self, request: http.Request) -> http.Response:
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
                ended = _decode(request, workerclient.Attempts)
                for attempt in ended.attempts:
                    machine.forget(attempt)
            case _:
                return http.json_response(404, {"error": "no such path"})
        return http.json_response(200, {})

    def _stats(self) -> dict[str, float]:
        rows = self._machine.history
        started = sum(row.action == "start" for row in rows)
        return {"started": started, "worst": self._machine.peak_utilization}


def _decode(request: http.Request, body_type: type):
    return msgspec.json.decode(request.body, type=body_type)


async def _serve(listen: str) -> None:
    worker = Worker()
    await curio.spawn(worker.run, daemon=True)
    await service.serve(worker, listen)


def main() -> None:
    """Runs the stand-in until the process is stopped."""
    options: argparse.Namespace = service.parser(__doc__).parse_args()
    curio.run(_serve, options.listen)


if __name__ == "__main__":
    main()
