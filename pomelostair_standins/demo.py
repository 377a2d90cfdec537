"""Demonstrates a site on one machine: a request, a job and a graceful stop.

Exits with 0 if every step succeeds, otherwise prints the failed step and exits
with 1.
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
RETRY_INTERVAL_S = 0.1
LOG_TAIL_CHARACTERS = 2000
JOB = {"id": "casting-1", "kind": "wear-watch", "tasks": 3, "run_s": 2.0}


class DemoError(Exception):
    """A step of the demonstration failed."""


class Demo:
    """The steps of the demonstration on a started site.

    Args:
        running: The site.
        ready_timeout_s: Time limit for each step, in seconds.
    """

    def __init__(
        self, running: site.Site, ready_timeout_s: float = READY_TIMEOUT_S
    ):
        self._site = running
        self._ready_timeout_s = ready_timeout_s
        self._last_error = ""

    def run(self) -> None:
        """Runs every step.

        Raises:
            DemoError: A step failed.
        """
        self._list_processes()
        self.run_work()
        self._show_operator_views()

    def run_work(self) -> None:
        """Serves a request and runs a job.

        Raises:
            DemoError: A step failed.
        """
        self._serve_request()
        self._run_job()

    def stop(self) -> None:
        """Stops the site and checks that every daemon exited with 0.

        Raises:
            DemoError: A daemon exited with a nonzero code.
        """
        _print_heading("Stopping agents, then entries, then stand-ins")
        self._site.stop()
        for process in self._site.processes.values():
            code = process.popen.returncode
            if process.role in site.DAEMON_ROLES and code != 0:
                tail = self._site.log(process.name)[-LOG_TAIL_CHARACTERS:]
                raise DemoError(f"{process.name} exited with {code}:\n{tail}")
        _print_heading("Every daemon exited with 0")

    def _list_processes(self) -> None:
        _print_heading("Started processes")
        for row in self._site.describe()["processes"]:
            addresses = " ".join(
                f"{use}={address}" for use, address in row["addresses"].items()
            )
            print(f"  {row['name']:<16} pid {row['pid']:<8} {addresses}")

    def _serve_request(self) -> None:
        url = f"http://{self._site.balancer}/services/clapper-desk/fit-check"
        _print_heading(f"POST {url}")
        answer = self._retry_until_success(
            lambda: _post(url, b"temple bell, 40 kg"), "an answered request"
        )
        print(f"  200 {answer.decode().strip()}")

    def _run_job(self) -> None:
        _print_heading("pomelostair job submit - < job.json")
        submitted = self._retry_until_success(
            lambda: self._run_cli("job", "submit", "-", stdin=json.dumps(JOB)),
            "an accepted job",
        )
        print(_indent(submitted))
        self._show_command("tasks", "where", "job", "=", JOB["id"])
        self._retry_until_success(self._completed, "the completion of the job")
        self._show_command("job", "show", JOB["id"])

    def _show_operator_views(self) -> None:
        """Shows minions, workers and the explanation of a placement."""
        self._show_command("minions")
        self._show_command("workers")
        self._show_command("why", f"{JOB['id']}/0")

    def _show_command(self, *words: str) -> None:
        _print_heading(f"pomelostair {' '.join(words)}")
        print(_indent(self._retry_cli(*words)))

    def _completed(self) -> bool:
        shown = self._run_cli("--json", "job", "show", JOB["id"])
        return bool(shown) and json.loads(shown)["state"] == "completed"

    def _retry_cli(self, *arguments: str) -> str:
        return self._retry_until_success(
            lambda: self._run_cli(*arguments), " ".join(arguments)
        )

    def _run_cli(self, *arguments: str, stdin: str = "") -> str | None:
        command = [sys.executable, "-m", "pomelostair.cli"]
        command += ["--entry", self._site.balancer, *arguments]
        try:
            result = subprocess.run(
                command,
                input=stdin,
                capture_output=True,
                text=True,
                timeout=CALL_TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return None
        self._last_error = result.stderr.strip()
        return result.stdout if result.returncode == 0 else None

    def _retry_until_success(self, step, what: str):
        deadline = time.monotonic() + self._ready_timeout_s
        while time.monotonic() < deadline:
            result = step()
            if result:
                return result
            time.sleep(RETRY_INTERVAL_S)
        text = f"timed out after {self._ready_timeout_s} s waiting for {what}"
        raise DemoError(f"{text}\n{self._last_error}")


def _print_heading(text: str) -> None:
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
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="pomelostair-") as directory:
        demo_site = site.Site(site.Shape(), directory)
        demo = Demo(demo_site)
        try:
            demo_site.start()
            demo.run()
            demo.stop()
        except DemoError as failure:
            print(f"\nThe demonstration failed: {failure}", file=sys.stderr)
            return 1
        finally:
            with contextlib.suppress(KeyboardInterrupt):
                demo_site.stop()
    _print_heading(f"Done in {time.monotonic() - started_s:.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
