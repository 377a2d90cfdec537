"""Measures the processor time that a request costs at its entry and agent.

With `--profile`, the entry and the agent run under cProfile and the functions
that take most of their own time are printed; figures are then inflated.
"""

import argparse
import http.client
import pathlib
import pstats
import subprocess
import sys
import tempfile
import threading
import time

from bench import idle_bench
from pomelostair_standins import site

PATH = "/services/clapper-desk/fit-check"
READY_TIMEOUT_S = 30.0
WARM_UP = 200
TOP_FUNCTIONS = 25
STOP_TIMEOUT_S = 20.0


def main() -> int:
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--callers", type=int, default=4)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--body-bytes", type=int, default=200)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    shape = site.Shape(entries=1, minions=1, workers=0, service_ms=0.5)
    with tempfile.TemporaryDirectory(prefix="pomelostair-") as directory:
        running = site.Site(shape, directory)
        try:
            running.start()
            _wait_until_ready(running.entries[0])
            if options.profile:
                _restart_under_profile(running, directory)
            _measure(running, options)
        finally:
            running.stop()
        if options.profile:
            for name in ("entry-1", "agent-minion-1"):
                print(f"== {name}")
                stats = pstats.Stats(f"{directory}/{name}.prof")
                stats.sort_stats("tottime").print_stats(TOP_FUNCTIONS)
    return 0


def _measure(running: site.Site, options: argparse.Namespace) -> None:
    body = b"z" * options.body_bytes
    _load(running.entries[0], options.callers, WARM_UP, body)
    daemons = {
        name: process
        for name, process in running.processes.items()
        if process.role in site.DAEMON_ROLES
    }
    for _ in range(options.rounds):
        before = {n: idle_bench.read(p.pid) for n, p in daemons.items()}
        started = time.monotonic()
        _load(running.entries[0], options.callers, options.requests, body)
        took = time.monotonic() - started
        costs = []
        for name, process in daemons.items():
            used = idle_bench.read(process.pid).cpu_s - before[name].cpu_s
            costs.append(f"{name} {used / options.requests * 1e6:.0f} us")
        rate = options.requests / took
        print(f"{', '.join(costs)} for each request; {rate:.0f} requests/s")


def _load(address: str, callers: int, requests: int, body: bytes) -> None:
    failures = []
    threads = [
        threading.Thread(
            target=_call, args=(address, requests // callers, body, failures)
        )
        for _ in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if failures:
        raise SystemExit(f"{len(failures)} requests failed: {failures[0]}")


def _call(address: str, count: int, body: bytes, failures: list) -> None:
    connection = http.client.HTTPConnection(address, timeout=10)
    for _ in range(count):
        connection.request("POST", PATH, body)
        response = connection.getresponse()
        text = response.read()
        if response.status != 200:
            failures.append(text)
    connection.close()


def _wait_until_ready(address: str) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        failures: list = []
        try:
            _call(address, 1, b"", failures)
        except OSError:
            failures.append(b"")
        if not failures:
            return
        time.sleep(0.1)
    raise SystemExit("the site does not answer")


def _restart_under_profile(running: site.Site, directory: str) -> None:
    for name in ("entry-1", "agent-minion-1"):
        process = running.processes[name]
        process.popen.terminate()
        process.popen.wait(STOP_TIMEOUT_S)
        profile = pathlib.Path(directory, f"{name}.prof")
        command = ["-m", "cProfile", "-o", str(profile), *process.arguments]
        process.popen = subprocess.Popen(
            [sys.executable, *command], stderr=subprocess.DEVNULL
        )
    _wait_until_ready(running.entries[0])


if __name__ == "__main__":
    sys.exit(main())
