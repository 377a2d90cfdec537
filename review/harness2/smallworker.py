"""A worker for the scripts of review 2, over the stand-in of the project.

Further calls: `POST /seen` returns how each run has ended and up to which end
the agent has taken note; `POST /unhealthy` with `on` makes it answer starts by
503, without doing anything; `POST /kind` with `kind` sets its first label.
"""

import curio
import msgspec

from pomelostair import http
from pomelostair_standins import runnerhttp
from pomelostair_standins import service


class SmallWorker(runnerhttp.RunnerService):
    """One worker."""

    def __init__(self, name: str, address: str, target: str):
        super().__init__(name, address, target)
        self._unhealthy = False
        self._kind = "a"
        self._last_seen = 0
        self._ends: dict[int, tuple] = {}
        self._refused = 0

    def heartbeat(self) -> http.Request:
        """Returns the next heartbeat, with this worker's kind."""
        request = super().heartbeat()
        body = msgspec.json.decode(request.body)
        body["labels"][0] = self._kind
        return http.Request(
            request.method,
            request.target,
            request.headers,
            msgspec.json.encode(body),
        )

    async def handle(self, request: http.Request) -> http.Response:
        """Answers one call."""
        body = msgspec.json.decode(request.body) if request.body else {}
        self._ends.update({row[0]: row for row in self.runner.ended_rows()})
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
            case "/run-start" if self._unhealthy:
                self._refused += 1
                return http.json_response(503, {})
        response = await super().handle(request)
        if request.target == "/hold" and response.status == 200:
            self._last_seen = max(self._last_seen, body["lastSeen"])
            for row in msgspec.json.decode(response.body)["ended"]:
                self._ends[row[0]] = tuple(row)
        return response


def main() -> None:
    """Runs the worker until the process is stopped."""
    parser = service.parser(__doc__)
    parser.add_argument("--control", required=True, help="agent's IP:PORT")
    parser.add_argument("--name", required=True)
    options = parser.parse_args()
    served = SmallWorker(options.name, options.listen, "clapper-desk")
    curio.run(runnerhttp._serve, served, options.listen, options.control)


if __name__ == "__main__":
    main()
