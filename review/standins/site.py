"""A small deployment as processes on loopback addresses.

Each machine has an address of its own, since all machines use the same ports.
The project's programs run with the commands of its deploy file.
"""

import collections
import http.client
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
PREFIX = "/fit/"
SERVICE = "clapper-desk"
START_S = 20.0
MAX_ROWS_OF_A_TASK = 40
_PORTS = ("front", "ready", "control", "store", "app", "proxy", "bus", "spare")


def route(name: str, prefix: str, **fields) -> dict:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "sloMs": 250,
        "priority": 0,
        "service": SERVICE,
        "maxAttempts": 3,
        "stretch": 2.0,
        **fields,
    }


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._begin = time.time()
        self._lock = threading.Lock()

    def line(self, text: str, at: float | None = None) -> None:
        """Writes one line.

        Args:
            text: What happened.
            at: Time of day at which it did, now if None.
        """
        seconds = (time.time() if at is None else at) - self._begin
        with self._lock:
            self._file.write(f"{seconds:9.3f} {text}\n")
            self._file.flush()


class Site:
    """Store, entries, agents and minions, all of which end with `stop`.

    Args:
        record: Where to write what happens.
        edges: Number of machines with an entry.
        sides: Number of machines with an agent and a minion.
        proxied: Whether each entry reaches the store through a proxy.
    """

    def __init__(
        self, record: Record, edges: int, sides: int, proxied: bool = False
    ):
        self.record = record
        self._proxied = proxied
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._processes: dict[str, subprocess.Popen] = {}
        self._lives: dict[int, int] = {}
        net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.edges = [f"{net}.{11 + n}" for n in range(edges)]
        self.sides = [f"{net}.{61 + n}" for n in range(sides)]
        self._hub = f"{net}.5"
        self._ports = dict(zip(_PORTS, self._free_ports(), strict=True))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        roles = deploy["roles"].values()
        self._commands = {r["on"]: shlex.split(r["run"]) for r in roles}

    @property
    def store(self) -> str:
        """Address of the store."""
        return f"{self._hub}:{self._ports['store']}"

    def start(self, *routes: dict) -> None:
        """Starts everything and waits until the entries are ready.

        Args:
            *routes: Routes of the first configuration.
        """
        self._spawn("store", ["-m", "review.standins.store"], self.store)
        if self._proxied:
            for number, edge in enumerate(self.edges):
                self._spawn(
                    f"proxy-{number}",
                    [
                        "-m",
                        "review.standins.storeproxy",
                        "--target",
                        self.store,
                    ],
                    f"{edge}:{self._ports['proxy']}",
                )
        self._until(lambda: self.configure(1, *routes))
        for number in range(len(self.edges)):
            self.start_daemon("edge", number)
        for number in range(len(self.sides)):
            self.start_daemon("side", number)
            self.start_minion(number)
        for edge in self.edges:
            self._until(lambda edge=edge: self._is_ready(edge))

    def start_daemon(self, kind: str, number: int) -> None:
        """Starts the entry or agent of a machine."""
        ip = (self.edges if kind == "edge" else self.sides)[number]
        name = f"{kind}-{number}"
        path = self.folder / f"{name}.conf"
        path.write_text(self._settings(kind, name, ip))
        command = self._commands[kind]
        program = sys.executable if command[0] == "python3" else command[0]
        self._popen(
            name,
            [program, *command[1:]],
            {
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", "/tmp"),
                "LANG": os.environ.get("LANG", "C.UTF-8"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "POMELOSTAIR_CONFIG": str(path),
            },
        )

    def start_minion(self, number: int) -> str:
        """Starts a new life of a machine's minion; returns its id."""
        life = self._lives[number] = self._lives.get(number, 0) + 1
        name = f"i-{number}-{life}"
        ip = self.sides[number]
        arguments = {
            "control": f"{ip}:{self._ports['control']}",
            "id": name,
            "service": SERVICE,
            "zone": "patan",
            "rack": f"r1-{1 + number // 3}",
            "history": str(self.folder / "history"),
        }
        options = [w for k, v in arguments.items() for w in (f"--{k}", v)]
        self._spawn(
            f"minion-{number}",
            ["-m", "review.standins.minion", *options],
            f"{ip}:{self._ports['app']}",
        )
        self.record.line(f"minion {name} begins")
        return name

    def configure(self, version: int, *routes: dict) -> bool:
        """Writes a configuration; returns whether the store acknowledged it."""
        document = {
            "version": version,
            "routes": list(routes),
            "services": [{"name": SERVICE, "admissionCheck": False}],
            "limits": {},
        }
        row = {"table": "op", "key": "config", "value": json.dumps(document)}
        status, _ = request(self.store, "POST", "/operator", row)
        self.record.line(f"operator writes version {version}: {status}")
        return status == 200

    def call(
        self, edge: int, method: str, path: str, body: dict | None = None
    ) -> tuple[int, dict]:
        """Sends a requester's call to an entry; status 0 is no answer."""
        address = f"{self.edges[edge]}:{self._ports['front']}"
        status, answer = request(address, method, path, body)
        self.record.line(f"edge-{edge} {method} {path}: {status} {answer}")
        return status, answer

    def submit(self, edge: int, name: str, spec: dict, *steps: dict) -> int:
        """Hands a submission in; returns the status."""
        body = {"spec": json.dumps(spec), "steps": list(steps)}
        return self.call(edge, "POST", f"{PREFIX}{name}", body)[0]

    def history(self) -> list[list]:
        """Returns rows of time, minion, what, task and run."""
        path = self.folder / "history"
        if not path.exists():
            return []
        lines = path.read_text().splitlines(keepends=True)
        return [json.loads(line) for line in lines if line.endswith("\n")]

    def kill(self, name: str) -> None:
        """Kills a process that this site has started."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()
        self.record.line(f"{name} is killed")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this site has started."""
        self._processes[name].send_signal(number)
        self.record.line(f"{name} gets {number.name}")

    def log_lines(self, name: str, event: str) -> list[dict]:
        """Returns the log lines of a process with the name of an event."""
        rows = []
        for line in (self.folder / f"{name}.log").read_text().splitlines():
            if f'"event_name": "{event}"' in line:
                rows.append(json.loads(line))
        return rows

    def stop(self) -> None:
        """Ends every process and records what has run."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._record_history()

    def _record_history(self) -> None:
        """Records each start and end, those of one task up to a number."""
        counts = collections.Counter()
        for at, minion, what, task, number in self.history():
            counts[task] += 1
            if counts[task] <= MAX_ROWS_OF_A_TASK:
                self.record.line(f"{minion} {what} {task} run {number}", at)
        for task, count in counts.items():
            if count > MAX_ROWS_OF_A_TASK:
                more = count - MAX_ROWS_OF_A_TASK
                self.record.line(f"{task}: {more} more starts and ends")

    def _settings(self, kind: str, name: str, ip: str) -> str:
        ports = self._ports
        seeds = [f"{edge}:{ports['control']}" for edge in self.edges[:3]]
        through_proxy = self._proxied and kind == "edge"
        store = f"{ip}:{ports['proxy']}" if through_proxy else self.store
        lines = [
            f"nodeName={name}",
            f"role={kind}",
            f"machineClass={kind}",
            f"serves={'edge,control_plane' if kind == 'edge' else 'side'}",
            f"ip={ip}",
            "zone=patan",
            "region=bagmati",
            "zones.patan=bagmati",
            f"listen.front={ip}:{ports['front']}",
            f"listen.ready={ip}:{ports['ready']}",
            f"listen.control={ip}:{ports['control']}",
            f"portRange={ports['bus']},{ports['spare']}",
            f"seeds={','.join(seeds)}",
            f"app={ip}:{ports['app']}",
            "bootstrap=true",
            "limits.cpuShare=0.537",
            "limits.cores=2",
            "limits.memoryMb=300",
            "limits.maxFds=4100",
            "heartbeatMs=1100",
            "contracts=base,drain,config,cost,recover,sched,platform,sharing",
            "bounds.contactMs=3000",
            "bounds.graceS=6",
            "bounds.configApplyMs=2000",
            "bounds.holdMaxMs=6000",
            "bounds.stopGraceMs=400",
            "bounds.gangWaitMs=3000",
            "bounds.status_s=120",
            "orders=call",
            f"platform.address={store}",
            "platform.form=table",
            "platform.rowBytes=65536",
        ]
        return "\n".join(lines) + "\n"

    def _spawn(self, name: str, words: list[str], listen: str) -> None:
        self._popen(
            name,
            [sys.executable, *words, "--listen", listen],
            {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": str(ROOT)},
        )

    def _popen(self, name: str, command: list[str], env: dict) -> None:
        with (self.folder / f"{name}.log").open("ab") as output:
            self._processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=env,
            )

    def _free_ports(self) -> list[int]:
        for _ in range(50):
            first = random.randint(20_000, 30_000)
            ports = range(first, first + len(_PORTS))
            hosts = [*self.edges, *self.sides, self._hub]
            if all(_is_free(host, port) for host in hosts for port in ports):
                return list(ports)
        raise OSError("no free ports")

    def _is_ready(self, edge: str) -> bool:
        address = f"{edge}:{self._ports['ready']}"
        return request(address, "GET", "/ready")[0] == 200

    def _until(self, condition) -> None:
        wait_until(condition, START_S, "the site did not start")


def request(
    address: str, method: str, path: str, body: dict | None = None
) -> tuple[int, dict]:
    """Sends one request over a new connection.

    Returns:
        Status and decoded body; status 0 if there was no complete answer.
    """
    connection = http.client.HTTPConnection(address, timeout=3)
    try:
        connection.request(
            method,
            path,
            None if body is None else json.dumps(body),
            {
                "Host": HOST,
                "Content-Type": "application/json",
                "X-Pomelostair-Deadline-Ms": "3000",
            },
        )
        response = connection.getresponse()
        data = response.read()
        return response.status, json.loads(data) if data else {}
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        connection.close()


def wait_until(condition, timeout_s: float, failure: str) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: It did not in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(failure)
        time.sleep(0.02)


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
