"""Runs a whole site as processes on the loopback interface.

First prints one JSON line that lists each process with its role, name, pid and
addresses, then runs until it is interrupted.
"""

import argparse
from collections.abc import Sequence
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib import request

import attrs

from pomelostair_standins import relay

LOOPBACK_HOST = "127.0.0.1"
PORT_RANGE = (10_000, 32_000)
STOP_TIMEOUT_S = 15.0
CONTROL_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 30.0
WORKERS_PER_RACK = 3
DAEMON_ROLES = ("entry", "agent")

_allocated_ports: set[int] = set()


@attrs.frozen
class Shape:
    """Size and options of a site.

    Attributes:
        service: Name of the service that the minions serve.
        zones: Availability zones, assigned round-robin.
        entries: Number of entries.
        minions: Number of minions, each with an agent.
        workers: Number of workers, each with an agent.
        slots: Concurrent requests of each minion.
        service_ms: Mean service time of the minions, in milliseconds.
        longest_run_ms: Longest time that a minion works on one request, in
            milliseconds.
        timing: Overrides of `timing` in the settings of every daemon.
        links: Whether all connections of daemons go through a relay, so that
            they can be cut.
    """

    service: str = "clapper-desk"
    zones: tuple[str, ...] = ("patan", "bhaktapur", "kirtipur")
    entries: int = 2
    minions: int = 3
    workers: int = 3
    slots: int = 8
    service_ms: float = 20.0
    longest_run_ms: int = 30_000
    timing: dict = attrs.field(factory=dict)
    links: bool = False


@attrs.define
class Process:
    """One process of a site.

    Attributes:
        role: Its role.
        name: Its name.
        addresses: Its addresses by use, such as `http` or `metrics`.
        arguments: Arguments of the interpreter, used again by a restart.
        popen: The running process.
    """

    role: str
    name: str
    addresses: dict[str, str]
    arguments: list[str]
    popen: subprocess.Popen

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self.popen.pid

    def describe(self) -> dict:
        """Returns the process as listed in the first line of output."""
        return {
            "role": self.role,
            "name": self.name,
            "pid": self.pid,
            "addresses": self.addresses,
        }


class Site:
    """The processes of one site.

    Args:
        shape: Number of processes of each kind, and options.
        directory: Directory for settings, logs and journals.
    """

    def __init__(self, shape: Shape, directory: str):
        self._shape = shape
        self._directory = pathlib.Path(directory)
        self._processes: dict[str, Process] = {}
        self._entries = [free_address() for _ in range(shape.entries)]
        self._balancer = free_address()
        self._platform = free_address()
        self._relay = free_address()
        self._links: list[relay.Link] = []
        self._sources: dict[str, str] = {}

    @property
    def processes(self) -> dict[str, Process]:
        """All processes by name, in the order of their start."""
        return self._processes

    @property
    def entries(self) -> list[str]:
        """HTTP addresses of the entries."""
        return list(self._entries)

    @property
    def balancer(self) -> str:
        """HTTP address of the balancer."""
        return self._balancer

    @property
    def platform(self) -> str:
        """HTTP address of the platform."""
        return self._platform

    def start(self) -> None:
        """Starts every process."""
        self._start_platform_and_balancer()
        for index, address in enumerate(self._entries):
            self._start_entry(index, address)
        for index in range(self._shape.minions):
            self._start_minion(index)
        for index in range(self._shape.workers):
            self._start_worker(index)
        if self._shape.links:
            self._start_relay()

    def cut(self, source: str, target: str) -> None:
        """Withholds all bytes, both ways, of one process's links to another.

        Replaces earlier cuts. The site must have a relay (`Shape.links`).

        Args:
            source: Name of the connecting process, `*` for any.
            target: Name of the process that it connects to, `*` for any.
        """
        self._set_rules([relay.Rule(source, target, cut=True)])

    def heal(self) -> None:
        """Removes all cuts."""
        self._set_rules([])

    def _set_rules(self, rules: list[relay.Rule]) -> None:
        data = json.dumps([attrs.asdict(rule) for rule in rules]).encode()
        url = f"http://{self._relay}/rules"
        with request.urlopen(url, data, timeout=CONTROL_TIMEOUT_S):
            pass

    def stop(self) -> None:
        """Stops all processes gracefully: agents, then entries, then others."""
        stop_ranks = {"agent": 0, "entry": 1}
        groups: dict[int, list[Process]] = {}
        for process in self._processes.values():
            groups.setdefault(stop_ranks.get(process.role, 2), []).append(
                process
            )
        for rank in sorted(groups):
            for process in groups[rank]:
                _signal(process, signal.SIGCONT)
                _signal(process, signal.SIGTERM)
            for process in groups[rank]:
                _wait_for_exit(process)

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL, as a crash of its host would."""
        process = self._processes[name]
        _signal(process, signal.SIGKILL)
        process.popen.wait()

    def freeze(self, name: str) -> None:
        """Suspends a process with SIGSTOP."""
        _signal(self._processes[name], signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resumes a suspended process."""
        _signal(self._processes[name], signal.SIGCONT)

    def restart(self, name: str) -> None:
        """Starts an exited process again, with the same arguments."""
        process = self._processes[name]
        process.popen = self._spawn(name, process.arguments)

    def describe(self) -> dict:
        """Returns the content of the first line of output."""
        rows = [process.describe() for process in self._processes.values()]
        line = {"balancer": self._balancer, "processes": rows}
        if self._shape.links:
            line["relay"] = self._relay
        return line

    def log(self, name: str) -> str:
        """Returns the output of a process so far."""
        return (self._directory / f"{name}.log").read_text()

    def journal(self, name: str) -> pathlib.Path:
        """Returns the path of the file in which a minion records its runs."""
        return self._directory / f"{name}.journal"

    def terminate(self, name: str) -> None:
        """Stops a process gracefully and waits for its exit."""
        process = self._processes[name]
        _signal(process, signal.SIGTERM)
        _wait_for_exit(process)

    def _start_platform_and_balancer(self) -> None:
        self._launch(
            "platform",
            "platform",
            {"http": self._platform},
            ["-m", "pomelostair_standins.platform", "--listen", self._platform],
        )
        self._launch(
            "balancer",
            "balancer",
            {"http": self._balancer},
            [
                "-m",
                "pomelostair_standins.balancer",
                "--listen",
                self._balancer,
                *self._entries,
            ],
        )

    def _start_entry(self, index: int, address: str) -> None:
        self._launch_daemon("entry", f"entry-{index + 1}", index, http=address)

    def _start_minion(self, index: int) -> None:
        address = free_address()
        name = f"minion-{index + 1}"
        arguments = ["-m", "pomelostair_standins.minion", "--listen", address]
        arguments += ["--slots", str(self._shape.slots)]
        arguments += ["--service-ms", str(self._shape.service_ms)]
        arguments += ["--seed", str(index + 1)]
        arguments += ["--journal", str(self.journal(name))]
        self._launch("minion", name, {"http": address}, arguments)
        target = {
            "kind": "minion",
            "address": address,
            "service": self._shape.service,
            "slots": self._shape.slots,
            "status_path": "/stats",
            "longest_run_ms": self._shape.longest_run_ms,
        }
        self._launch_daemon("agent", f"agent-{name}", index, target=target)

    def _start_worker(self, index: int) -> None:
        address = free_address()
        name = f"worker-{index + 1}"
        arguments = ["-m", "pomelostair_standins.worker", "--listen", address]
        self._launch("worker", name, {"http": address}, arguments)
        rack_index = index // WORKERS_PER_RACK
        rack = f"rack-{rack_index + 1}"
        target = {"kind": "worker", "address": address, "rack": rack}
        self._launch_daemon("agent", f"agent-{name}", rack_index, target=target)

    def _launch_daemon(
        self, role: str, name: str, index: int, **extra: object
    ) -> None:
        bus = free_address()
        settings = {
            "role": role,
            "name": name,
            "zone": self._shape.zones[index % len(self._shape.zones)],
            "bus": bus,
            "balancer": self._balancer,
            "platform": {"address": self._platform},
            "timing": self._shape.timing,
            **extra,
        }
        if role == "agent":
            settings["metrics"] = free_address()
        if self._shape.links:
            self._route_through_relay(name, settings)
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        addresses = {"bus": f"tcp://{settings['bus']}"}
        for use in ("http", "metrics"):
            if use in settings:
                addresses[use] = str(settings[use])
        arguments = ["-m", "pomelostair.daemon", "--settings", str(path)]
        self._launch(role, name, addresses, arguments)

    def _route_through_relay(self, name: str, settings: dict) -> None:
        """Changes a daemon's settings so that its links use the relay.

        The daemon gets its own loopback address, by which the relay identifies
        its connections.
        """
        host = f"127.1.0.{len(self._sources) + 1}"
        self._sources[host] = name
        settings["bus"] = free_address(host)
        settings["bus_public"] = self._add_link(settings["bus"], name)
        settings["balancer"] = self._add_link(self._balancer, "balancer", name)
        settings["platform"] = {
            "address": self._add_link(self._platform, "platform", name)
        }
        target = settings.get("target")
        if target is not None:
            settings["target"] = {
                **target,
                "address": self._add_link(
                    target["address"], name.removeprefix("agent-"), name
                ),
            }

    def _add_link(self, forward: str, target: str, source: str = "") -> str:
        listen = free_address()
        self._links.append(relay.Link(listen, forward, target, source))
        return listen

    def _start_relay(self) -> None:
        path = self._directory / "network.json"
        network = relay.Network(tuple(self._links), self._sources)
        path.write_text(json.dumps(attrs.asdict(network)))
        arguments = ["-m", "pomelostair_standins.relay"]
        arguments += ["--listen", self._relay, "--network", str(path)]
        self._launch("relay", "relay", {"http": self._relay}, arguments)

    def _launch(
        self, role: str, name: str, addresses: dict, arguments: list[str]
    ) -> None:
        popen = self._spawn(name, arguments)
        self._processes[name] = Process(role, name, addresses, arguments, popen)

    def _spawn(self, name: str, arguments: list[str]) -> subprocess.Popen:
        with open(self._directory / f"{name}.log", "ab") as output:
            return subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )


def free_address(host: str = LOOPBACK_HOST) -> str:
    """Returns a loopback address whose port is currently free.

    Args:
        host: IP address to bind.
    """
    return f"{host}:{free_ports((host,), 1)[0]}"


def free_ports(hosts: Sequence[str], count: int) -> range:
    """Returns consecutive ports that are currently free on each host.

    The ports are below the ephemeral range, so that no outgoing connection
    takes them. A port is returned only once, since the process that it was
    allocated to may not have bound it yet.

    Args:
        hosts: IP addresses to bind.
        count: Number of ports.
    """
    while True:
        first = random.SystemRandom().randrange(*PORT_RANGE)
        ports = range(first, first + count)
        if _allocated_ports.isdisjoint(ports) and all(
            _is_free(host, port) for host in hosts for port in ports
        ):
            _allocated_ports.update(ports)
            return ports


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


@contextlib.contextmanager
def running(shape: Shape):
    """Runs a site for the duration of a `with` block."""
    with tempfile.TemporaryDirectory(prefix="pomelostair-") as directory:
        site = Site(shape, directory)
        try:
            site.start()
            yield site
        finally:
            site.stop()


def _signal(process: Process, number: signal.Signals) -> None:
    if process.popen.poll() is None:
        os.kill(process.pid, number)


def _wait_for_exit(process: Process) -> None:
    try:
        process.popen.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.popen.kill()
        process.popen.wait()


def main() -> None:
    """Runs a site until it is interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--minions", type=int, default=3)
    parser.add_argument("--workers", type=int, default=3)
    parser.add_argument("--service", default="clapper-desk")
    parser.add_argument(
        "--links", action="store_true", help="route every link through a relay"
    )
    options = parser.parse_args()
    shape = Shape(
        service=options.service,
        entries=options.entries,
        minions=options.minions,
        workers=options.workers,
        links=options.links,
    )
    # A shell starts background programs with SIGINT ignored.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    with contextlib.suppress(KeyboardInterrupt), running(shape) as site:
        print(json.dumps(site.describe()), flush=True)
        _wait_for_interrupt()


def _wait_for_interrupt() -> None:
    """Waits for an interrupt and ignores further ones during shutdown."""
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, signal.SIG_IGN)


if __name__ == "__main__":
    main()
