"""A site on the users' platform as processes on this machine.

Every host has an address of its own in the loopback range, as the platform
gives all hosts the same ports.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from urllib import error as urllib_error
from urllib import request

STORE_HOST = "127.0.0.9"
FIRST_ENTRY = 11
FIRST_SIDE = 41
START_TIMEOUT_S = 20.0
QUEUE_HOST = "fit.example"
PREFIX = "/fit/"
SERVICE = "clapper-desk"


def free_ports(count: int) -> list[int]:
    """Returns ports that are free at the moment."""
    sockets = []
    for _ in range(count):
        taken = socket.socket()
        taken.bind(("127.0.0.1", 0))
        sockets.append(taken)
    ports = [s.getsockname()[1] for s in sockets]
    for taken in sockets:
        taken.close()
    return ports


def configuration(version: int, **changes) -> dict:
    """Returns a configuration as the operator writes it."""
    route = {
        "name": "fit",
        "host": QUEUE_HOST,
        "pathPrefix": PREFIX,
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "sloMs": 250,
        "priority": 0,
        "service": SERVICE,
        "maxAttempts": 3,
        "stretch": 2.0,
        **changes,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": SERVICE, "admissionCheck": False}],
        "limits": {},
    }


class PlatformSite:
    """Store, entries, agents and workers as processes.

    Args:
        folder: Where settings and logs are written.
        entries: Number of entries.
        sides: Number of agents, each with a worker.
    """

    def __init__(self, folder: pathlib.Path, entries: int = 2, sides: int = 2):
        self._folder = folder
        self._ports = free_ports(7)
        self._processes: dict[str, subprocess.Popen] = {}
        self.entries = [f"127.0.0.{FIRST_ENTRY + n}" for n in range(entries)]
        self.sides = [f"127.0.0.{FIRST_SIDE + n}" for n in range(sides)]

    @property
    def front(self) -> int:
        """Port for callers."""
        return self._ports[0]

    @property
    def metrics(self) -> int:
        """Port of the metrics of entries and agents."""
        return self._range[1]

    @property
    def store(self) -> str:
        """Address of the store."""
        return f"{STORE_HOST}:{self._ports[3]}"

    @property
    def _range(self) -> tuple[int, int]:
        return self._ports[4], self._ports[4] + 1

    def start(self) -> None:
        """Starts everything and waits until the entries are ready."""
        self._run(
            "store", "pomelostair_standins.platform", "--listen", self.store
        )
        self._wait(lambda: self.configure(configuration(1)))
        for number in range(len(self.entries)):
            self.start_entry(number)
        for number in range(len(self.sides)):
            self.start_agent(number)
            self.start_worker(number)
        for entry in self.entries:
            self._wait(lambda entry=entry: self.is_ready(entry))

    def start_entry(self, number: int) -> None:
        """Starts an entry."""
        name = f"edge-{number}"
        self._daemon(name, self.entries[number], "edge")

    def start_agent(self, number: int) -> None:
        """Starts an agent."""
        self._daemon(f"side-{number}", self.sides[number], "side")

    def start_worker(self, number: int) -> None:
        """Starts a worker."""
        ip = self.sides[number]
        self._run(
            f"worker-{number}",
            "pomelostair_standins.runnerhttp",
            "--listen",
            f"{ip}:{self._ports[5]}",
            "--control",
            f"{ip}:{self._ports[2]}",
            "--name",
            f"i-{number}",
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of the site."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def wait(self, name: str, timeout_s: float) -> int:
        """Waits for the end of a process; returns its exit code."""
        return self._processes[name].wait(timeout_s)

    def call(
        self, address: str, method: str, path: str, body: object = None
    ) -> tuple[int, dict]:
        """Sends one request; returns status and body, status 0 for none."""
        data = None if body is None else json.dumps(body).encode()
        made = request.Request(
            f"http://{address}{path}",
            data,
            {"Host": QUEUE_HOST, "Content-Type": "application/json"},
            method=method,
        )
        try:
            with request.urlopen(made, timeout=5) as response:
                return response.status, _parsed(response.read())
        except urllib_error.HTTPError as error:
            return error.code, _parsed(error.read())
        except OSError:
            return 0, {}

    def submit(self, entry: str, name: str, steps: list[dict]) -> int:
        """Submits a pipeline; returns the status."""
        body = {"spec": "text", "steps": steps}
        return self.call(
            f"{entry}:{self.front}", "POST", f"{PREFIX}{name}", body
        )[0]

    def state(self, entry: str, name: str) -> str | None:
        """Returns the state of a pipeline."""
        _, body = self.call(f"{entry}:{self.front}", "GET", f"{PREFIX}{name}")
        return body.get("state")

    def configure(self, document: dict) -> bool:
        """Writes a configuration as the operator does."""
        body = {"key": "op/config", "value": json.dumps(document)}
        return self.call(self.store, "POST", "/operator", body)[0] == 200

    def is_ready(self, entry: str) -> bool:
        """Returns whether an entry says that it is ready."""
        address = f"{entry}:{self._ports[1]}"
        return self.call(address, "GET", "/ready")[0] == 200

    def worker(self, number: int, path: str, body: object = None) -> object:
        """Calls a stand-in worker."""
        address = f"{self.sides[number]}:{self._ports[5]}"
        return self.call(address, "POST", path, body or {})[1]

    def lines(self, name: str) -> list[dict]:
        """Returns the log lines of a process so far."""
        text = (self._folder / f"{name}.log").read_text()
        return [
            json.loads(line)
            for line in text.splitlines()
            if line.startswith("{") and line.endswith("}")
        ]

    def stop(self) -> None:
        """Ends everything."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()

    def _daemon(self, name: str, ip: str, serves: str) -> None:
        front, ready, control, _, _, app, _ = self._ports
        seeds = ",".join(f"{entry}:{control}" for entry in self.entries)
        path = self._folder / f"{name}.conf"
        path.write_text(
            f"nodeName={name}\nserves={serves}\nip={ip}\nzone=patan\n"
            f"listen.front={ip}:{front}\nlisten.ready={ip}:{ready}\n"
            f"listen.control={ip}:{control}\n"
            f"portRange={self._range[0]},{self._range[1]}\nseeds={seeds}\n"
            f"app={ip}:{app}\nbounds.graceS=4\n"
            f"platform.address={self.store}\n"
        )
        self._run(name, "pomelostair.platform", POMELOSTAIR_CONFIG=str(path))

    def _run(
        self, name: str, module: str, *arguments: str, **variables
    ) -> None:
        with open(self._folder / f"{name}.log", "ab") as output:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={**os.environ, **variables},
            )

    def _wait(self, condition) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(f"see the logs in {self._folder}")
            time.sleep(0.05)


def _parsed(data: bytes) -> dict:
    try:
        return json.loads(data)
    except ValueError:
        return {}
