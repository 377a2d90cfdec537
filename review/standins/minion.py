"""Stand-in for a minion, by the page PROTOCOL.md.

What a task does stands in the `spec` of its submission, a JSON object:
`work_ms` for a task that ends `done` after that time, `fail_ms` for one that
ends `failed` after that time. Without either it lasts. Each start, each end
and each end that was taken note of is written to a file, with the time of day.
SIGTERM begins a planned end.
"""

import argparse
import asyncio
import http.client
import json
import pathlib
import signal
import time
import typing

from review.standins import httpio

TICK_S = 0.01
STOP_S = 0.05
HOLD_MAX_MS = 6000
HEARTBEAT_S = 1.1
ACK_WAIT_S = 1.0
# It serves for a little longer than drainMs after the ack of its draining,
# and for some seconds after a deregistration without an acknowledgement.
DRAIN_S = 2.0
LONGER_S = 0.2
LINGER_S = 5.0
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
        self._drain_until_s: float | None = None
        self.draining = False

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

    def drain(self) -> None:
        """Begins a planned end."""
        self.draining = True

    def heartbeat(self) -> dict:
        """Returns the next liveness report."""
        self._sequence += 1
        options = self._options
        left_s = DRAIN_S
        if self._drain_until_s is not None:
            left_s = max(0.0, self._drain_until_s - time.monotonic())
        draining = {"remainingMs": int(left_s * 1000)} if self.draining else {}
        return {
            **draining,
            "service": options.service,
            "address": options.listen,
            "zone": options.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": 32000, "memMb": 128000, "gpu": 0},
            "labels": ["a", options.rack],
            "clockMs": self.clock_ms,
            "seq": self._sequence,
            "born": self._born,
        }

    def record(self, what: str, task: str, number: int) -> None:
        """Writes what a run, or the minion itself, does."""
        row = [time.time(), self._options.id, what, task, number]
        with pathlib.Path(self._options.history).open("a") as file:
            file.write(json.dumps(row) + "\n")

    async def leave(self) -> None:
        """Serves for a while, deregisters, and ends."""
        self._drain_until_s = time.monotonic() + DRAIN_S
        await asyncio.sleep(DRAIN_S + LONGER_S)
        options = self._options
        path = f"/Instances.Deregister/{options.id}"
        born = {"born": self._born}
        self.record("deregisters", "-", 0)
        if not await asyncio.to_thread(_send, options.control, path, born):
            await asyncio.sleep(LINGER_S)
        for run in list(self._runs.values()):
            self._end(run, "terminated")
        self.record("ends", "-", 0)

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
        self.record("start", task, number)
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
        for end, task, number, _, _ in self._ended:
            if end <= seen:
                self.record("noted", task, number)
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
        self.record(how, run.task, run.number)


async def _advance(minion: Minion) -> None:
    while True:
        minion.advance()
        await asyncio.sleep(TICK_S)


async def _report(minion: Minion, control: str, name: str) -> None:
    """Sends liveness reports; begins to leave once draining is known."""
    path = f"/Instances.Heartbeat/{name}"
    leaving = None
    while leaving is None or not leaving.done():
        draining = minion.draining
        acked = await asyncio.to_thread(
            _send, control, path, minion.heartbeat()
        )
        if draining and acked and leaving is None:
            leaving = asyncio.create_task(minion.leave())
        await asyncio.sleep(HEARTBEAT_S)


def _send(control: str, path: str, body: dict[str, typing.Any]) -> bool:
    """Sends a call to the agent; returns whether it was acknowledged."""
    connection = http.client.HTTPConnection(control, timeout=ACK_WAIT_S)
    try:
        connection.request(
            "POST",
            path,
            json.dumps(body),
            {"Content-Type": "application/json"},
        )
        return connection.getresponse().status // 100 == 2
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


async def _run(options: argparse.Namespace) -> None:
    minion = Minion(options)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, minion.drain)
    served = asyncio.create_task(httpio.serve(options.listen, minion.answer))
    advanced = asyncio.create_task(_advance(minion))
    await _report(minion, options.control, options.id)
    served.cancel()
    advanced.cancel()


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
