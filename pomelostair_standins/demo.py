"""Shows a whole site on one machine: a request, a job, and a stop in order.

Exits with 0 when every step worked, otherwise with 1 and the step that failed.
"""

import argparse
import contextlib
import json
import subprocess
import sys
import tempfile
import time
from urllib import error
from urllib import request

from pomelostair_standins import site

READY_TIMEOUT_S = 15.0
CALL_TIMEOUT_S = 5.0
PAUSE_S = 0.1
TAIL_CHARACTERS = 2000
JOB = {"id": "casting-1", "kind": "wear-watch", "tasks": 3, "run_s": 2.0}


class DemoError(Exception):
    """A step of the demonstration failed."""


class Demo:
    """The steps of the demonstration over a started site.

    Args:
        running: The site.
        ready_timeout_s: Longest wait for each step.
    """

    def __init__(
        self, running: site.Site, ready_timeout_s: float = READY_TIMEOUT_S
    ):
        self._site = running
        self._ready_timeout_s = ready_timeout_s
        self._last_refusal = ""

    def run(self) -> None:
        """Runs every step.

        Raises:
            DemoError: A step failed.
        """
        self._list_processes()
        self.run_work()
        self._ask_operator_questions()

    def run_work(self) -> None:
        """Serves a request and runs a job.

        Raises:
            DemoError: A step failed.
        """
        self._serve_request()
        self._run_job()

    def stop(self) -> None:
        """Stops the site and checks that every daemon drained by itself.

        Raises:
            DemoError: A daemon ended with another exit code than 0.
        """
        _say("Stopping in order: agents, entries, stand-ins")
        self._site.stop()
        for process in self._site.processes.values():
            code = process.popen.returncode
            if process.role in site.DAEMON_ROLES and code != 0:
                tail = self._site.log(process.name)[-TAIL_CHARACTERS:]
                raise DemoError(f"{process.name} exited with {code}:\n{tail}")
        _say("Every daemon exited with 0")

    def _list_processes(self) -> None:
        _say("Started these processes")
        for row in self._site.describe()["processes"]:
            addresses = " ".join(
                f"{use}={address}" for use, address in row["addresses"].items()
            )
            print(f"  {row['name']:<16} pid {row['pid']:<8} {addresses}")

    def _serve_request(self) -> None:
        url = f"http://{self._site.balancer}/services/clapper-desk/fit-check"
        _say(f"POST {url}")
        answer = self._until(
            lambda: _post(url, b"temple bell, 40 kg"), "an answered request"
        )
        print(f"  200 {answer.decode().strip()}")

    def _run_job(self) -> None:
        _say("pomelostair job submit - < job.json")
        submitted = self._until(
            lambda: self._tool("job", "submit", "-", stdin=json.dumps(JOB)),
            "an accepted job",
        )
        print(_indent(submitted))
        self._ask("tasks", "where", "job", "=", JOB["id"])
        self._until(self._completed, "the completion of the job")
        self._ask("job", "show", JOB["id"])

    def _ask_operator_questions(self) -> None:
        """Asks what runs where, and why."""
        self._ask("minions")
        self._ask("workers")
        self._ask("why", f"{JOB['id']}/0")

    def _ask(self, *words: str) -> None:
        _say(f"pomelostair {' '.join(words)}")
        print(_indent(self._require_tool(*words)))

    def _completed(self) -> bool:
        shown = self._tool("--json", "job", "show", JOB["id"])
        return bool(shown) and json.loads(shown)["state"] == "completed"

    def _require_tool(self, *arguments: str) -> str:
        return self._until(lambda: self._tool(*arguments), " ".join(arguments))

    def _tool(self, *arguments: str, stdin: str = "") -> str | None:
        command = [sys.executable, "-m", "pomelostair.cli"]
        command += ["--entry", self._site.balancer, *arguments]
        try:
            done = subprocess.run(
                command,
                input=stdin,
                capture_output=True,
                text=True,
                timeout=CALL_TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return None
        self._last_refusal = done.stderr.strip()
        return done.stdout if done.returncode == 0 else None

    def _until(self, step, what: str):
        deadline = time.monotonic() + self._ready_timeout_s
        while time.monotonic() < deadline:
            result = step()
            if result:
                return result
            time.sleep(PAUSE_S)
        text = f"waited {self._ready_timeout_s} s in vain for {what}"
        raise DemoError(f"{text}\n{self._last_refusal}")


def _say(text: str) -> None:
    print(f"\n== {text}", flush=True)


def _indent(text: str) -> str:
    return "\n".join(f"  {line}" for line in text.splitlines())


def _post(url: str, body: bytes) -> bytes | None:
    outgoing = request.Request(url, data=body, method="POST")
    try:
        with request.urlopen(outgoing, timeout=CALL_TIMEOUT_S) as response:
            return response.read()
    except (OSError, error.HTTPError):
        return None


def main() -> int:
    """Runs the demonstration and returns its exit code."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="pomelostair-") as directory:
        running = site.Site(site.Shape(), directory)
        demo = Demo(running)
        try:
            running.start()
            demo.run()
            demo.stop()
        except DemoError as failure:
            print(f"\nThe demonstration failed: {failure}", file=sys.stderr)
            return 1
        finally:
            with contextlib.suppress(KeyboardInterrupt):
                running.stop()
    _say(f"Done in {time.monotonic() - started:.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
