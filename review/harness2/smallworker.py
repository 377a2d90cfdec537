"""A worker for the scripts of review 2, over the stand-in of the project.

Further calls: `POST /seen` returns how each run has ended and up to which end
the agent has taken note; `POST /unhealthy` with `on` makes it answer starts by
503, without doing anything; `POST /kind` with `kind` sets its first label.
`POST /drain` with `remainingMs` makes it report that it drains. `POST /leave`
makes it deregister and end: at once when that is acknowledged within a second,
else some seconds later.
"""

import contextlib
import os
import time

import attrs
import curio
import msgspec

from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient
from pomelostair_standins import runnerhttp
from pomelostair_standins import service

# An acknowledgement counts if it arrives within a second.
ACK_S = 1.0
# Time after which one ends that got no acknowledgement.
LINGER_S = 4.0
MAX_LISTED_ENDS = 500  # In one answer; the others are listed later.


class SmallWorker(runnerhttp.RunnerService):
    """One worker."""

    def __init__(self, name: str, address: str, target: str):
        super().__init__(name, address, target)
        self._unhealthy = False
        self._kind = "a"
        self._last_seen = 0
        self._ends: dict[int, tuple] = {}
        self._started_s: dict[tuple[str, int], float] = {}
        self._ended_s: dict[int, float] = {}
        # Times at which the lease was found lapsed, whatever ran then.
        self._lapsed_s: list[float] = []
        self._refused = 0
        self._drains_until_s = 0.0
        self.control = ""

    def heartbeat(self) -> http.Request:
        """Returns the next heartbeat, with this worker's kind."""
        request = super().heartbeat()
        body = msgspec.json.decode(request.body)
        body["labels"][0] = self._kind
        if self._drains_until_s:
            body["state"] = "draining"
            left_s = self._drains_until_s - time.monotonic()
            body["remainingMs"] = max(0, int(1000 * left_s))
        return http.Request(
            request.method,
            request.target,
            request.headers,
            msgspec.json.encode(body),
        )

    async def handle(self, request: http.Request) -> http.Response:
        """Answers one call."""
        body = msgspec.json.decode(request.body) if request.body else {}
        self._note_events()
        match request.target:
            case "/seen":
                return http.json_response(
                    200,
                    {
                        "lastSeen": self._last_seen,
                        "ends": list(self._ends.values()),
                        "refused": self._refused,
                    },
                )
            case "/unhealthy":
                self._unhealthy = bool(body["on"])
                return http.json_response(200, {})
            case "/kind":
                self._kind = body["kind"]
                return http.json_response(200, {})
            case "/events":
                return http.json_response(
                    200,
                    {
                        "starts": [
                            (*row[:2], self._started_s[row[:2]])
                            for row in self.runner.started
                        ],
                        "ends": [
                            (*row[:4], self._ended_s[row[0]])
                            for row in self._ends.values()
                        ],
                        "lastSeen": self._last_seen,
                        "lapses": self._lapsed_s,
                    },
                )
            case "/running":
                return http.json_response(200, self.runner.running_rows())
            case "/drain":
                remaining_s = body["remainingMs"] / 1000
                self._drains_until_s = time.monotonic() + remaining_s
                return http.json_response(200, {})
            case "/leave":
                await curio.spawn(self._leave, daemon=True)
                return http.json_response(200, {})
            case "/run-start" if self._unhealthy:
                self._refused += 1
                return http.json_response(503, {})
        response = await super().handle(request)
        if request.target == "/hold" and response.status == 200:
            self._last_seen = max(self._last_seen, body["lastSeen"])
            self._note_events()
            answer = msgspec.json.decode(response.body)
            if len(answer["ended"]) > MAX_LISTED_ENDS:
                answer["ended"] = answer["ended"][:MAX_LISTED_ENDS]
                response = http.json_response(200, answer)
        elif request.target == "/run-start":
            self._note_events()
        return response

    async def run(self) -> None:
        """Advances the clock, and dates what has ended, until cancelled."""
        await curio.spawn(self._watch_events, daemon=True)
        await super().run()

    async def _watch_events(self) -> None:
        while True:
            self._note_events()
            await curio.sleep(runnerhttp.TICK_S)

    def _note_events(self) -> None:
        now_s = time.monotonic()
        if 0 < self.runner._lease_end_ms < self.runner.clock_ms:
            self._lapsed_s.append(now_s)
        for row in self.runner.started[len(self._started_s) :]:
            self._started_s[row[:2]] = now_s
        for ended in self.runner.ended:
            if ended.number not in self._ends:
                self._ends[ended.number] = attrs.astuple(ended)
                self._ended_s[ended.number] = now_s

    async def _leave(self) -> None:
        client = httpclient.Client(self.control, 1)
        request = http.Request(
            "POST",
            f"/Instances.Deregister/{self._name}",
            (),
            msgspec.json.encode({"born": self.runner.born_ms}),
        )
        acknowledged = False
        with contextlib.suppress(errors.PomelostairError):
            response = await client.request(request, ACK_S)
            acknowledged = response.status == 200
        if not acknowledged:
            await curio.sleep(LINGER_S - ACK_S)
        os._exit(0)


def main() -> None:
    """Runs the worker until the process is stopped."""
    parser = service.parser(__doc__)
    parser.add_argument("--control", required=True, help="agent's IP:PORT")
    parser.add_argument("--name", required=True)
    options = parser.parse_args()
    served = SmallWorker(options.name, options.listen, "clapper-desk")
    served.control = options.control
    curio.run(runnerhttp._serve, served, options.listen, options.control)


if __name__ == "__main__":
    main()
