"""Stand-in for a minion, by the page PROTOCOL.md.

What a task does stands in the `spec` of its submission, a JSON object:
`work_ms` for a task that ends `done` after that time, `fail_ms` for one that
ends `failed` after that time. Without either it lasts. Each start and each end
is written to a file, with the time of day.
"""

import argparse
import asyncio
import http.client
import json
import pathlib
import time
import typing

from review.standins import httpio

TICK_S = 0.01
STOP_S = 0.05
HOLD_MAX_MS = 6000
HEARTBEAT_S = 1.1
MAX_LISTED_ENDS = 500


class Run:
    """A run that was started and has not ended."""

    def __init__(self, task: str, number: int, spec: dict, now_ms: float):
        self.task = task
        self.number = number
        self.spec = spec
        self.started_ms = now_ms
        self.stop_ms: float | None = None

    def end(self, now_ms: float) -> str | None:
        """Returns how it has ended by itself, if it has."""
        ran_ms = now_ms - self.started_ms
        if "fail_ms" in self.spec and ran_ms >= self.spec["fail_ms"]:
            return "failed"
        if "work_ms" in self.spec and ran_ms >= self.spec["work_ms"]:
            return "done"
        return None

    def percent(self, now_ms: float) -> int:
        """Returns its progress."""
        work_ms = self.spec.get("work_ms")
        if not work_ms:
            return 100
        return min(99, int(100 * (now_ms - self.started_ms) / work_ms))


class Minion:
    """One life of a minion.

    Args:
        options: Options of the command line.
    """

    def __init__(self, options: argparse.Namespace):
        self._options = options
        self._born = int(time.time() * 1000)
        self._begin_s = time.monotonic()
        self._runs: dict[str, Run] = {}
        self._ended: list[list] = []
        self._end_count = 0
        self._highest: dict[str, int] = {}
        self._fence = 0
        self._lease_end_ms = 0.0
        self._sequence = 0

    @property
    def clock_ms(self) -> int:
        """Its steady clock."""
        return int((time.monotonic() - self._begin_s) * 1000) + 1

    async def answer(self, call: httpio.Call) -> httpio.Answer:
        """Answers a call of the agent."""
        wanted = call.headers.get("x-pomelostair-target-instance")
        if wanted not in (None, self._options.id):
            return 421, {}
        body = call.json
        if call.path in ("/run-start", "/run-stop", "/hold", "/pace"):
            if body.get("fence", 0) < self._fence:
                return self._refusal("fence")
            self._fence = body.get("fence", 0)
        match call.path:
            case "/run-start":
                return self._start(body)
            case "/run-stop":
                return self._stop(body)
            case "/pace":
                return 200, {"clockMs": self.clock_ms}
            case "/hold":
                return await self._hold(body)
        return 404, {}

    def advance(self) -> None:
        """Ends what has ended by now."""
        now_ms = self.clock_ms
        for run in list(self._runs.values()):
            if run.stop_ms is not None and now_ms >= run.stop_ms:
                self._end(run, "stopped")
            elif now_ms > self._lease_end_ms:
                self._end(run, "lapsed")
            elif how := run.end(now_ms):
                self._end(run, how)

    def heartbeat(self) -> dict:
        """Returns the next liveness report."""
        self._sequence += 1
        options = self._options
        return {
            "service": options.service,
            "address": options.listen,
            "zone": options.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": 32000, "memMb": 128000, "gpu": 0},
            "labels": ["a", options.rack],
            "clockMs": self.clock_ms,
            "seq": self._sequence,
            "born": self._born,
        }

    def _refusal(self, reason: str) -> httpio.Answer:
        return 409, {"clockMs": self.clock_ms, "reason": reason}

    def _extend(self, until_ms: float) -> None:
        limit_ms = min(until_ms, self.clock_ms + HOLD_MAX_MS)
        self._lease_end_ms = max(self._lease_end_ms, limit_ms)

    def _start(self, body: dict) -> httpio.Answer:
        task, number = body["task"], body["runId"]
        running = self._runs.get(task)
        if running is not None and running.number == number:
            return 200, {"clockMs": self.clock_ms}
        if body["untilMs"] <= self.clock_ms:
            return self._refusal("late")
        self._extend(body["untilMs"])
        if running is not None or number <= self._highest.get(task, 0):
            return self._refusal("old")
        spec = json.loads(body["spec"])
        self._runs[task] = Run(task, number, spec, self.clock_ms)
        self._record("start", task, number)
        return 200, {"clockMs": self.clock_ms}

    def _stop(self, body: dict) -> httpio.Answer:
        task, number = body["task"], body["runId"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._runs.get(task)
        if run is not None and run.number <= number and run.stop_ms is None:
            run.stop_ms = self.clock_ms + STOP_S * 1000
        return 200, {"clockMs": self.clock_ms}

    async def _hold(self, body: dict) -> httpio.Answer:
        seen = body.get("lastSeen", 0)
        self._ended = [row for row in self._ended if row[0] > seen]
        if body.get("untilMs") is not None:
            self._extend(body["untilMs"])
        deadline = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self._ended and time.monotonic() < deadline:
            await asyncio.sleep(TICK_S)
        now_ms = self.clock_ms
        return 200, {
            "clockMs": now_ms,
            "born": self._born,
            "running": [
                [run.task, run.number, "", run.percent(now_ms), 5]
                for run in self._runs.values()
            ],
            "ended": self._ended[:MAX_LISTED_ENDS],
        }

    def _end(self, run: Run, how: str) -> None:
        del self._runs[run.task]
        self._highest[run.task] = max(
            self._highest.get(run.task, 0), run.number
        )
        self._end_count += 1
        self._ended.append([self._end_count, run.task, run.number, how, ""])
        self._record(how, run.task, run.number)

    def _record(self, what: str, task: str, number: int) -> None:
        row = [time.time(), self._options.id, what, task, number]
        with pathlib.Path(self._options.history).open("a") as file:
            file.write(json.dumps(row) + "\n")


async def _advance(minion: Minion) -> None:
    while True:
        minion.advance()
        await asyncio.sleep(TICK_S)


async def _report(minion: Minion, control: str, name: str) -> None:
    while True:
        await asyncio.to_thread(_send, control, name, minion.heartbeat())
        await asyncio.sleep(HEARTBEAT_S)


def _send(control: str, name: str, body: dict[str, typing.Any]) -> None:
    """Sends one liveness report; the next one makes up for a lost one."""
    connection = http.client.HTTPConnection(control, timeout=1)
    try:
        connection.request(
            "POST",
            f"/Instances.Heartbeat/{name}",
            json.dumps(body),
            {"Content-Type": "application/json"},
        )
        connection.getresponse().read()
    except (OSError, http.client.HTTPException):
        return
    finally:
        connection.close()


async def _run(options: argparse.Namespace) -> None:
    minion = Minion(options)
    await asyncio.gather(
        httpio.serve(options.listen, minion.answer),
        _advance(minion),
        _report(minion, options.control, options.id),
    )


def main() -> None:
    """Runs the stand-in until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in (
        "listen",
        "control",
        "id",
        "service",
        "zone",
        "rack",
        "history",
    ):
        parser.add_argument(f"--{name}", required=True)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
