"""Stand-in for a minion: the project's own, with a log of what it runs.

A task runs for `--work-ms`, and for ever if its submission's spec says so by
the word "lasts". With `--log`, each start and each end is appended to a file;
the file outlasts a crash of the process.
"""

import argparse
import json
import time
import typing

import attrs
import curio

from pomelostair import http
from pomelostair import httpserver
from pomelostair_standins import runner as runner_module
from pomelostair_standins import runnerhttp
from pomelostair_standins import service

# The platform's heartbeatMs.
runnerhttp.BEAT_S = 1.1


# The platform's checkpointS.
CHECKPOINT_MS = 2000


class Runner(runner_module.Runner):
    """A runner with gangs, some of whose runs fail, and with checkpoints.

    With the word "gangfails" in the spec and the size of the gang after it, one
    member of each run fails, in turn, and the others end `broken`. With
    "breaks" and a Unix time in milliseconds after it, that happens to the first
    run at that time, and all members save checkpoints.
    """

    gang_sizes: typing.ClassVar[dict[str, int]] = {}
    # Unix milliseconds by task.
    breaks: typing.ClassVar[dict[str, int]] = {}

    def advance(self, milliseconds: float) -> None:
        """Advances the clock and the runs, and breaks gangs in time."""
        super().advance(milliseconds)
        for run in list(self.runs.values()):
            break_ms = self.breaks.get(run.task)
            if break_ms is not None and time.time() * 1000 >= break_ms:
                is_first = run.task.endswith(".0")
                self._end(run, "failed" if is_first else "broken")

    def resume(self, task: str, checkpoint: str) -> None:
        """Lets a run that has just started begin at a checkpoint."""
        if checkpoint and task in self.runs:
            self.runs[task].left_ms -= int(checkpoint.partition("-")[0], 16)

    def running_rows(self) -> list[tuple[str, int, str, int, int]]:
        """Returns the active runs, with their checkpoints."""
        return [
            (task, number, self._saved(self.runs[task]), percent, load)
            for task, number, _, percent, load in super().running_rows()
        ]

    def _saved(self, run: runner_module.Run) -> str:
        """Returns the latest checkpoint of a run."""
        if run.task not in self.breaks:
            return ""
        saves = int((run.total_ms - run.left_ms) / CHECKPOINT_MS)
        saved_ms = saves * CHECKPOINT_MS
        return f"{saved_ms:08x}-{run.task}-{run.number}" if saves else ""

    def _end(self, run: runner_module.Run, how: str) -> None:
        size = self.gang_sizes.get(run.task)
        if size and how == "done":
            index = int(run.task.rpartition(".")[2])
            how = "failed" if run.number % size == index else "broken"
        saved = self._saved(run)
        super()._end(run, how)
        if saved:
            self.ended[-1] = attrs.evolve(self.ended[-1], saved=saved)
            del self.breaks[run.task]


class Minion(runnerhttp.RunnerService):
    """A minion that logs its runs.

    Args:
        options: Options of the command line.
    """

    def __init__(self, options: argparse.Namespace):
        super().__init__(options.name, options.listen, options.service)
        self.runner = Runner(self.runner.born_ms, options.work_ms)
        self._options = options
        self._logged_starts = 0
        self._logged_end = 0
        # Ends up to this one have been taken note of.
        self._noted = 0
        self._checkpoints: dict[tuple[str, int], str] = {}

    def heartbeat(self) -> http.Request:
        """Returns the next heartbeat, with the rack of this minion."""
        request = super().heartbeat()
        body = json.loads(request.body)
        body["labels"] = ["a", self._options.rack]
        body["coldLeftMs"] = 0
        return http.Request(
            request.method,
            request.target,
            request.headers,
            json.dumps(body).encode(),
        )

    async def handle(self, request: http.Request) -> http.Response:
        """Answers one call, and logs what it started."""
        if request.target == "/run-start":
            order = json.loads(request.body)
            words = order["spec"].split()
            self.runner.lasting = "lasts" in words
            if "gangfails" in words:
                self.runner.gang_sizes[order["task"]] = int(words[-1])
            if "breaks" in words and order["runId"] == 1:
                self.runner.breaks[order["task"]] = int(words[-1])
            if order.get("lastCheckpoint"):
                self._checkpoints[order["task"], order["runId"]] = order[
                    "lastCheckpoint"
                ]
        response = await super().handle(request)
        noted = 0
        if request.target == "/hold" and response.status == 200:
            noted = json.loads(request.body).get("lastSeen", 0)
        self.log_runs(noted)
        return response

    def log_runs(self, noted: int = 0) -> None:
        """Logs the starts and ends since the last call.

        Args:
            noted: Number up to which ends have been taken note of.
        """
        rows = []
        for task, number, _ in self.runner.started[self._logged_starts :]:
            checkpoint = self._checkpoints.get((task, number), "")
            self.runner.resume(task, checkpoint)
            rows.append(
                {
                    "what": "start",
                    "task": task,
                    "run": number,
                    "checkpoint": checkpoint,
                }
            )
        self._logged_starts = len(self.runner.started)
        for ended in self.runner.ended:
            if ended.number > self._logged_end:
                self._logged_end = ended.number
                rows.append(
                    {
                        "what": ended.how,
                        "task": ended.task,
                        "run": ended.run,
                        "number": ended.number,
                    }
                )
        if noted > self._noted:
            self._noted = noted
            rows.append({"what": "noted", "task": "", "number": noted})
        if rows:
            now = time.time()
            with open(self._options.log, "a", encoding="utf-8") as log:
                for row in rows:
                    row.update(minion=self._options.name, at=round(now, 3))
                    row["born"] = self.runner.born_ms
                    log.write(json.dumps(row) + "\n")


async def _log_at_intervals(minion: Minion) -> None:
    while True:
        await curio.sleep(0.02)
        minion.log_runs()


async def _serve(minion: Minion, options: argparse.Namespace) -> None:
    host, _, port = options.listen.rpartition(":")
    server = httpserver.Server(
        host, int(port), minion.answer, service.error_response
    )
    await curio.spawn(minion.run, daemon=True)
    await curio.spawn(_log_at_intervals, minion, daemon=True)
    await curio.spawn(minion.send_heartbeats, options.control, daemon=True)
    await server.run()


def main() -> None:
    """Runs the stand-in until the process is stopped."""
    parser = service.parser(__doc__)
    parser.add_argument("--control", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--rack", default="r1-0")
    parser.add_argument("--log", required=True)
    parser.add_argument("--work-ms", type=float, default=800.0)
    options = parser.parse_args()
    curio.run(_serve, Minion(options), options)


if __name__ == "__main__":
    main()
