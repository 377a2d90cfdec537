"""Serves a stand-in worker over the platform's calls, with heartbeats.

`POST /behaviour` sets `work_ms`, `failing`, `hung` and `lasting`; `GET
/history` tells what was started.
"""

import contextlib
import time

import curio
import msgspec

from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient
from pomelostair import httpserver
from pomelostair_standins import runner as runner_module
from pomelostair_standins import service

TICK_S = 0.01
BEAT_S = 0.3
BEAT_TIMEOUT_S = 1.0


class RunnerService(service.Service):
    """One worker.

    Args:
        name: Its id.
        address: Where it is served.
        target: Name of its service.
    """

    def __init__(self, name: str, address: str, target: str):
        super().__init__()
        self.runner = runner_module.Runner(int(time.time() * 1000))
        self._name = name
        self._address = address
        self._target = target
        self._sequence = 0
        self.state = "ready"

    async def run(self) -> None:
        """Lets time pass until cancelled."""
        before = time.monotonic()
        while True:
            await curio.sleep(TICK_S)
            now = time.monotonic()
            self.runner.advance((now - before) * 1000)
            before = now

    async def beat(self, control: str) -> None:
        """Sends heartbeats to an agent until cancelled."""
        client = httpclient.Client(control, 2)
        while True:
            self._sequence += 1
            # While the agent is away, the next heartbeat tells the same.
            with contextlib.suppress(errors.PomelostairError):
                await client.request(self.heartbeat(), BEAT_TIMEOUT_S)
            await curio.sleep(BEAT_S)

    def heartbeat(self) -> http.Request:
        """Returns the next heartbeat."""
        body = {
            "service": self._target,
            "address": self._address,
            "zone": "patan",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "capacity": {"cpu": 32000, "memMb": 128000, "gpu": 0},
            "labels": ["a", "r1-1"],
            "clockMs": int(self.runner.clock_ms),
            "seq": self._sequence,
            "born": self.runner.born_ms,
        }
        return http.Request(
            "POST",
            f"/Instances.Heartbeat/{self._name}",
            (),
            msgspec.json.encode(body),
        )

    async def handle(self, request: http.Request) -> http.Response:
        """Answers one call."""
        wanted = request.header("x-pomelostair-target-instance")
        if wanted is not None and wanted != self._name:
            return http.json_response(421, {})
        body = msgspec.json.decode(request.body) if request.body else {}
        match request.target:
            case "/hold":
                return await self._hold(body)
            case "/run-start":
                reason = self.runner.start(
                    body["task"], body["runId"], body["untilMs"], body["fence"]
                )
            case "/run-stop":
                reason = self.runner.stop(
                    body["task"], body["runId"], body["fence"]
                )
            case "/pace":
                reason = self.runner.pace(
                    body["task"], body["runId"], body["percent"], body["fence"]
                )
            case "/behaviour":
                for key, value in body.items():
                    setattr(self.runner, key, value)
                return http.json_response(200, {})
            case "/history":
                return http.json_response(200, self.runner.started)
            case _:
                return http.json_response(404, {})
        return self._ordered(reason)

    def _ordered(self, reason: str | None) -> http.Response:
        clock_ms = int(self.runner.clock_ms)
        if reason is None:
            return http.json_response(200, {"clockMs": clock_ms})
        return http.json_response(409, {"clockMs": clock_ms, "reason": reason})

    async def _hold(self, body: dict) -> http.Response:
        reason = self.runner.hold(
            body["fence"], body["lastSeen"], body.get("untilMs")
        )
        if reason is not None:
            return self._ordered(reason)
        deadline = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.runner.ended and time.monotonic() < deadline:
            await curio.sleep(TICK_S)
        return http.json_response(
            200,
            {
                "clockMs": int(self.runner.clock_ms),
                "running": self.runner.running_rows(),
                "ended": self.runner.ended_rows(),
                "born": self.runner.born_ms,
            },
        )


async def _serve(served: RunnerService, listen: str, control: str) -> None:
    host, _, port = listen.rpartition(":")
    server = httpserver.Server(
        host, int(port), served.answer, service.error_page
    )
    await curio.spawn(served.run, daemon=True)
    await curio.spawn(served.beat, control, daemon=True)
    await server.run()


def main() -> None:
    """Runs the stand-in until it is ended."""
    parser = service.parser(__doc__)
    parser.add_argument("--control", required=True, help="agent's IP:PORT")
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", default="clapper-desk")
    options = parser.parse_args()
    served = RunnerService(options.name, options.listen, options.service)
    curio.run(_serve, served, options.listen, options.control)


if __name__ == "__main__":
    main()
