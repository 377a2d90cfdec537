"""Runs a site on the users' platform as processes on this machine.

Each host has its own loopback address, since the platform uses the same port
numbers on all hosts.
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from urllib import error as urllib_error
from urllib import request

import attrs

from pomelostair_standins import relay
from pomelostair_standins import site

STORE_HOST = "127.0.0.9"
FIRST_ENTRY_OCTET = 11
FIRST_AGENT_OCTET = 41
# The last two ports are the range that a host's processes share.
PORTS = 7
START_TIMEOUT_S = 20.0
ROUTE_HOST = "fit.example"
PREFIX = "/fit/"
SERVICE = "clapper-desk"


def configuration(version: int, **changes) -> dict:
    """Returns an operator's configuration with one route.

    Args:
        version: Version of the configuration.
        **changes: Fields of the route to override.
    """
    route = {
        "name": "fit",
        "host": ROUTE_HOST,
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
    """The store, entries, agents and workers of a site.

    Args:
        folder: Directory for settings and logs.
        entries: Number of entries.
        sides: Number of agents, each with a worker.
        zones: Zone of each worker, "patan" where none is given.
        settings: Further keys of the settings file of entries and agents.
        links: Whether entries reach the store through a relay.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        entries: int = 2,
        sides: int = 2,
        zones: tuple[str, ...] = (),
        settings: dict[str, str] | None = None,
        links: bool = False,
    ):
        self._links = links
        self._zones = zones
        self._folder = folder
        self._settings = settings or {}
        self._processes: dict[str, subprocess.Popen] = {}
        self.entries = [
            f"127.0.0.{FIRST_ENTRY_OCTET + n}" for n in range(entries)
        ]
        self.sides = [f"127.0.0.{FIRST_AGENT_OCTET + n}" for n in range(sides)]
        hosts = [STORE_HOST, *self.entries, *self.sides]
        self._ports = site.free_ports(hosts, PORTS)

    @property
    def front(self) -> int:
        """Port at which entries serve callers."""
        return self._ports[0]

    @property
    def metrics(self) -> int:
        """Port of the metrics endpoint of entries and agents."""
        return self._port_range[1]

    @property
    def readiness(self) -> int:
        """Port of the readiness checks of entries."""
        return self._ports[1]

    @property
    def control(self) -> int:
        """Port at which agents serve workers."""
        return self._ports[2]

    @property
    def bus(self) -> int:
        """Port of the bus of entries and agents."""
        return self._port_range[0]

    @property
    def store(self) -> str:
        """IP:PORT of the store."""
        return f"{STORE_HOST}:{self._ports[3]}"

    @property
    def _port_range(self) -> tuple[int, int]:
        return self._ports[5], self._ports[6]

    def start(self) -> None:
        """Starts all processes and waits until the entries are ready."""
        self._start_process(
            "store", "pomelostair_standins.platform", "--listen", self.store
        )
        if self._links:
            self._start_relay()
        self._wait_until(lambda: self.configure(configuration(1)))
        for number in range(len(self.entries)):
            self.start_entry(number)
        for number in range(len(self.sides)):
            self.start_agent(number)
            self.start_worker(number)
        for entry in self.entries:
            self._wait_until(lambda entry=entry: self.is_ready(entry))

    def set_rules(self, *rules: relay.Rule) -> None:
        """Replaces the rules of the relay; the site must have one.

        Args:
            *rules: Rules from an entry, as "edge-0", to "store".
        """
        body = [attrs.asdict(rule) for rule in rules]
        assert self.call(self._relay, "POST", "/rules", body)[0] == 200

    @property
    def _relay(self) -> str:
        return f"{STORE_HOST}:{self._ports[4]}"

    def _start_relay(self) -> None:
        links = [
            relay.Link(f"{entry}:{self._ports[3]}", self.store, "store", name)
            for name, entry in self._named_entries()
        ]
        network = attrs.asdict(relay.Network(tuple(links), {}))
        path = self._folder / "network.json"
        path.write_text(json.dumps(network))
        self._start_process(
            "relay",
            "pomelostair_standins.relay",
            "--listen",
            self._relay,
            "--network",
            str(path),
        )
        self._wait_until(
            lambda: self.call(self._relay, "GET", "/rules")[0] == 200
        )

    def _named_entries(self) -> list[tuple[str, str]]:
        return [(f"edge-{n}", entry) for n, entry in enumerate(self.entries)]

    def start_entry(self, number: int) -> None:
        """Starts the entry with the given index."""
        name = f"edge-{number}"
        self._start_daemon(name, self.entries[number], "edge")

    def start_agent(self, number: int) -> None:
        """Starts the agent with the given index."""
        self._start_daemon(f"side-{number}", self.sides[number], "side")

    def start_worker(self, number: int) -> None:
        """Starts the worker next to the agent with the given index."""
        ip = self.sides[number]
        self._start_process(
            f"worker-{number}",
            "pomelostair_standins.runnerhttp",
            "--listen",
            f"{ip}:{self._ports[4]}",
            "--control",
            f"{ip}:{self._ports[2]}",
            "--name",
            f"i-{number}",
            "--zone",
            self._zones[number] if number < len(self._zones) else "patan",
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of the site."""
        self._processes[name].send_signal(number)

    def pid(self, name: str) -> int:
        """Returns the process id of a process of the site."""
        return self._processes[name].pid

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def wait(self, name: str, timeout_s: float) -> int:
        """Waits for a process to exit; returns its exit code."""
        return self._processes[name].wait(timeout_s)

    def call(
        self, address: str, method: str, path: str, body: object = None
    ) -> tuple[int, dict]:
        """Sends one request.

        Returns:
            Status and decoded JSON body; status 0 if there was no response.
        """
        data = None if body is None else json.dumps(body).encode()
        outgoing = request.Request(
            f"http://{address}{path}",
            data,
            {"Host": ROUTE_HOST, "Content-Type": "application/json"},
            method=method,
        )
        try:
            with request.urlopen(outgoing, timeout=5) as response:
                return response.status, _parse_json(response.read())
        except urllib_error.HTTPError as error:
            return error.code, _parse_json(error.read())
        except OSError:
            return 0, {}

    def submit(self, entry: str, name: str, steps: list[dict]) -> int:
        """Submits a pipeline; returns the HTTP status."""
        body = {"spec": "text", "steps": steps}
        return self.call(
            f"{entry}:{self.front}", "POST", f"{PREFIX}{name}", body
        )[0]

    def state(self, entry: str, name: str) -> str | None:
        """Returns the state of a pipeline, None if it is not known."""
        _, body = self.call(f"{entry}:{self.front}", "GET", f"{PREFIX}{name}")
        return body.get("state")

    def configure(self, document: dict) -> bool:
        """Writes the operator's configuration; returns whether it succeeded."""
        body = {"key": "op/config", "value": json.dumps(document)}
        return self.call(self.store, "POST", "/operator", body)[0] == 200

    def evacuate(self, zone: str, revoked: bool = False) -> bool:
        """Writes or removes an operator's row; returns whether it succeeded."""
        key = f"op//evacuate/{zone}"
        body = {"key": key, "value": None if revoked else "1"}
        return self.call(self.store, "POST", "/operator", body)[0] == 200

    def is_ready(self, entry: str) -> bool:
        """Returns whether the readiness check of an entry succeeds."""
        address = f"{entry}:{self._ports[1]}"
        return self.call(address, "GET", "/ready")[0] == 200

    def worker(self, number: int, path: str, body: object = None) -> object:
        """Calls a stand-in worker; returns the response body."""
        address = f"{self.sides[number]}:{self._ports[4]}"
        return self.call(address, "POST", path, body or {})[1]

    def lines(self, name: str) -> list[dict]:
        """Returns the complete JSON log lines of a process so far."""
        text = (self._folder / f"{name}.log").read_text()
        return [
            json.loads(line)
            for line in text.splitlines()
            if line.startswith("{") and line.endswith("}")
        ]

    def stop(self) -> None:
        """Kills all processes and waits for their exit."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()

    def _start_daemon(self, name: str, ip: str, serves: str) -> None:
        front, ready, control, _, app, *_ = self._ports
        seeds = ",".join(f"{entry}:{control}" for entry in self.entries)
        store = self.store
        if self._links and serves == "edge":
            store = f"{ip}:{self._ports[3]}"
        path = self._folder / f"{name}.conf"
        path.write_text(
            f"nodeName={name}\nserves={serves}\nip={ip}\nzone=patan\n"
            f"listen.front={ip}:{front}\nlisten.ready={ip}:{ready}\n"
            f"listen.control={ip}:{control}\n"
            f"portRange={self._port_range[0]},{self._port_range[1]}\n"
            f"seeds={seeds}\n"
            f"app={ip}:{app}\nbounds.graceS=4\n"
            f"platform.address={store}\n"
            + "".join(f"{k}={v}\n" for k, v in self._settings.items())
        )
        self._start_process(
            name, "pomelostair.platform", POMELOSTAIR_CONFIG=str(path)
        )

    def _start_process(
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

    def _wait_until(self, condition) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"site did not start within {START_TIMEOUT_S} s; "
                    f"see the logs in {self._folder}"
                )
            time.sleep(0.05)


def _parse_json(data: bytes) -> dict:
    try:
        return json.loads(data)
    except ValueError:
        return {}
