"""Stand-in for a worker: runs tasks under leases on its own clock."""

import argparse
import time

import attrs
import curio
import msgspec

from pomelostair import http
from pomelostair import messages
from pomelostair import workerclient
from pomelostair_standins import service

TICK_S = 0.02
RUNNING = "running"


@attrs.define
class Run:
    """One attempt on this worker."""

    order: messages.StartOrder
    progress: float
    expires_ms: float
    state: str = RUNNING
    detail: str = ""
    share: float = 1.0
    paused: bool = False


class Worker(service.Service):
    """Runs attempts; each does its declared work at a speed."""

    def __init__(self):
        super().__init__()
        self._runs: dict[tuple[str, int], Run] = {}
        self._started = 0

    async def run(self) -> None:
        """Advances the attempts until cancelled."""
        last = _now_ms()
        while True:
            await curio.sleep(TICK_S)
            now = _now_ms()
            for run in self._runs.values():
                self._advance(run, now, (now - last) / 1000)
            last = now

    def _advance(self, run: Run, now_ms: float, seconds: float) -> None:
        if run.state != RUNNING:
            return
        if now_ms >= run.expires_ms:
            run.state = messages.TaskEnd.LAPSED.value
            return
        if run.order.run_s == 0 or run.paused:
            return
        run.progress += run.share * seconds / run.order.run_s
        if run.progress >= 1:
            run.progress = 1.0
            run.state = messages.TaskEnd.COMPLETED.value

    async def handle(self, request: http.Request) -> http.Response:
        """Answers one request."""
        match request.target:
            case "/status":
                return http.json_response(200, self._status())
            case "/start":
                self._start(_decode(request, workerclient.Start))
            case "/renew":
                renewals = _decode(request, workerclient.Renewals)
                for renewal in renewals.renewals:
                    self._renew(renewal)
            case "/checkpoint":
                return self._checkpoint(_decode(request, workerclient.Attempt))
            case "/throttle":
                self._throttle(_decode(request, workerclient.Throttle))
            case "/stop":
                self._stop(_decode(request, workerclient.Attempt))
            case "/forget":
                attempt = _decode(request, workerclient.Attempt)
                self._runs.pop((attempt.task, attempt.attempt), None)
            case "/stats":
                return http.json_response(200, {"started": self._started})
            case _:
                return http.json_response(404, {"error": "no such path"})
        return http.json_response(200, {})

    def _status(self) -> workerclient.Status:
        tasks = tuple(
            workerclient.WorkerTask(
                task=run.order.task,
                attempt=run.order.attempt,
                state=run.state,
                detail=run.detail,
                progress=run.progress,
                used=run.order.size,
                slowdown=1.0,
            )
            for run in self._runs.values()
        )
        return workerclient.Status(_now_ms(), tasks)

    def _start(self, start: workerclient.Start) -> None:
        key = (start.order.task, start.order.attempt)
        if key in self._runs or _now_ms() >= start.expires_ms:
            return
        self._runs[key] = Run(start.order, start.progress, start.expires_ms)
        self._started += 1

    def _find(self, task: str, attempt: int) -> Run | None:
        run = self._runs.get((task, attempt))
        if run is None or run.state != RUNNING:
            return None
        return run

    def _renew(self, renewal: workerclient.Renewal) -> None:
        run = self._find(renewal.task, renewal.attempt)
        if run is not None and _now_ms() < run.expires_ms:
            run.expires_ms = max(run.expires_ms, renewal.expires_ms)

    def _checkpoint(self, attempt: workerclient.Attempt) -> http.Response:
        run = self._find(attempt.task, attempt.attempt)
        if run is None:
            return http.json_response(404, {"error": "not running"})
        run.paused = True
        return http.json_response(200, workerclient.Checkpoint(run.progress))

    def _throttle(self, throttle: workerclient.Throttle) -> None:
        run = self._find(throttle.task, throttle.attempt)
        if run is not None:
            run.share = throttle.share

    def _stop(self, attempt: workerclient.Attempt) -> None:
        run = self._find(attempt.task, attempt.attempt)
        if run is not None:
            run.state = messages.TaskEnd.STOPPED.value


def _now_ms() -> float:
    return time.monotonic() * 1000


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
