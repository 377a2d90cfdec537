"""Stand-in for a worker: serves the platform's calls and sends heartbeats.

`POST /behaviour` sets `work_ms`, `failing`, `hung` and `lasting`; `/history`
returns the task, number and start time of every run.
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
HEARTBEAT_TIMEOUT_S = 1.0


class RunnerService(service.Service):
    """Serves one worker over HTTP.

    Args:
        name: Id of the worker.
        address: IP:PORT that the worker announces.
        target: Name of the service that it belongs to.
        zone: Its availability zone.
    """

    def __init__(
        self, name: str, address: str, target: str, zone: str = "patan"
    ):
        super().__init__()
        self.runner = runner_module.Runner(int(time.time() * 1000))
        self._name = name
        self._address = address
        self._service_name = target
        self._zone = zone
        self._sequence = 0
        self.state = "ready"

    async def run(self) -> None:
        """Advances the worker's clock until cancelled."""
        previous_s = time.monotonic()
        while True:
            await curio.sleep(TICK_S)
            now_s = time.monotonic()
            self.runner.advance((now_s - previous_s) * 1000)
            previous_s = now_s

    async def send_heartbeats(self, control: str) -> None:
        """Sends heartbeats to the agent at `control` until cancelled."""
        client = httpclient.Client(control, 2)
        while True:
            self._sequence += 1
            # A lost heartbeat needs no retry: the next one reports the
            # same state.
            with contextlib.suppress(errors.PomelostairError):
                await client.request(self.heartbeat(), HEARTBEAT_TIMEOUT_S)
            await curio.sleep(BEAT_S)

    def heartbeat(self) -> http.Request:
        """Returns the next heartbeat."""
        body = {
            "service": self._service_name,
            "address": self._address,
            "zone": self._zone,
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
        target_instance = request.header("x-pomelostair-target-instance")
        if target_instance is not None and target_instance != self._name:
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
        return self._order_response(reason)

    def _order_response(self, reason: str | None) -> http.Response:
        clock_ms = int(self.runner.clock_ms)
        if reason is None:
            return http.json_response(200, {"clockMs": clock_ms})
        return http.json_response(409, {"clockMs": clock_ms, "reason": reason})

    async def _hold(self, body: dict) -> http.Response:
        reason = self.runner.hold(
            body["fence"], body["lastSeen"], body.get("untilMs")
        )
        if reason is not None:
            return self._order_response(reason)
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
        host, int(port), served.answer, service.error_response
    )
    await curio.spawn(served.run, daemon=True)
    await curio.spawn(served.send_heartbeats, control, daemon=True)
    await server.run()


def main() -> None:
    """Runs the stand-in until the process is stopped."""
    parser = service.parser(__doc__)
    parser.add_argument("--control", required=True, help="agent's IP:PORT")
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", default="clapper-desk")
    parser.add_argument("--zone", default="patan")
    options = parser.parse_args()
    served = RunnerService(
        options.name, options.listen, options.service, options.zone
    )
    curio.run(_serve, served, options.listen, options.control)


if __name__ == "__main__":
    main()
