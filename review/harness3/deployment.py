"""A small deployment on loopback addresses, for the scripts of the cases.

Starts the project's programs with the commands of the deploy file, each host on
an address of its own, beside stand-ins for the store and the minions. Writes
what is sent, answered and run to `record.txt`.
"""

import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
# Codes of a case; those of a crash of Python are others.
HELD, BROKEN, NOT_RUN = 10, 11, 12
HOST = "fit.example"
PREFIX = "/fit/"
SERVICE = "clapper-desk"
START_TIMEOUT_S = 20.0
# Of a machine's link, in Mbit/s.
LINK_MBPS = 1000.0
# Settings as DEPLOY.md shows them for a small deployment.
SETTINGS = """
machineClass={serves}
region=bagmati
zones.patan=bagmati
bootstrap=true
countsTowardLoss=false
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps={link_mbps}
limits.diskMb=0
discovery=local
entry=vip
heartbeatMs=1100
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
faultTolerance.machines=2
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=5000
bounds.recoveryS=12
bounds.holdMaxMs=6000
bounds.stopGraceMs=400
bounds.gangWaitMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remoteFactor=1.5
bounds.checkpointS=2
bounds.restoreMs=100
bounds.noticeMs=4500
bounds.requireFence=false
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.paceMs=100
bounds.impactMs=4000
orders=call
platform.form=table
platform.writesPerS=800
platform.readsPerS=2000
platform.txnMs=8.0
platform.partWritesS=150
platform.rowBytes=65536
platform.crossShard=false
platform.historyS=20
platform.blobBytes=8388608
"""


class Record:
    """Writes `record.txt`, with the seconds since its creation."""

    def __init__(self, folder: pathlib.Path):
        self._path = folder / "record.txt"
        self._path.write_text("")
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Seconds since the creation."""
        return time.monotonic() - self._began_s

    def add(self, *words: object) -> None:
        """Adds a line."""
        with self._lock:
            text = " ".join(str(word) for word in words)
            with open(self._path, "a", encoding="utf-8") as file:
                file.write(f"{self.now_s:8.3f} {text}\n")


class Site:
    """Store, entries, agents and minions.

    Args:
        record: What happens is written here.
        entries: Number of entries.
        sides: Number of hosts with an agent and a minion.
        route: Fields of the only route to override.
        entry_store: Address at which an entry reaches the store, by its index.
        link_mbps: What the settings say of the entries' links, by their index.
        rack_of: Returns the rack of a minion, by its index.
    """

    def __init__(
        self,
        record: Record,
        entries: int = 2,
        sides: int = 4,
        route: dict | None = None,
        entry_store: dict[int, str] | None = None,
        link_mbps: dict[int, float] | None = None,
        rack_of=lambda number: f"r1-{number // 3}",
    ):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        base = random.SystemRandom().randrange(64, 128)
        self.store_ip = f"127.{base}.0.9"
        self.entries = [f"127.{base}.1.{n + 1}" for n in range(entries)]
        self.sides = [f"127.{base}.2.{n + 1}" for n in range(sides)]
        self.ports = _free_ports([self.store_ip, *self.entries, *self.sides], 8)
        self.front, self.ready, self.control, self.store_port = self.ports[:4]
        self.app, self.bus, self.metrics, self.spare = self.ports[4:]
        self.processes: dict[str, subprocess.Popen] = {}
        self.entry_store = entry_store or {}
        self.link_mbps = link_mbps or {}
        self.rack_of = rack_of
        self.minion_arguments: dict[int, list[str]] = {}
        self.version = 1
        self.route = {
            "name": "fit",
            "host": HOST,
            "pathPrefix": PREFIX,
            "kind": "non_idempotent",
            "timeoutMs": 3000,
            "sloMs": 250,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 3,
            "stretch": 2.0,
            **(route or {}),
        }

    @property
    def store(self) -> str:
        """IP:PORT of the store."""
        return f"{self.store_ip}:{self.store_port}"

    def start(self) -> None:
        """Starts all processes and waits until they work together."""
        self.start_store()
        _wait(self.configure)
        for number, entry in enumerate(self.entries):
            self.start_entry(number)
            _wait(
                lambda e=entry: (
                    call(f"{e}:{self.ready}", "GET", "/ready")[0] == 200
                )
            )
        self.record.add("the entries are ready")
        for number in range(len(self.sides)):
            self.start_agent(number)
            self.start_minion(number)

    def start_store(self) -> None:
        """Starts the stand-in for the platform's store."""
        self.run(
            "store",
            ["-m", "pomelostair_standins.platform", "--listen", self.store],
        )

    def configure(self, **changes) -> bool:
        """Writes `op/config`; returns whether the store acknowledged it."""
        document = {
            "version": self.version,
            "routes": [{**self.route, **changes}],
            "services": [{"name": SERVICE, "admissionCheck": False}],
            "limits": {},
        }
        body = {"key": "op/config", "value": json.dumps(document)}
        self.version += 1
        return call(self.store, "POST", "/operator", body)[0] == 200

    def start_entry(self, number: int) -> None:
        """Starts an entry with the command of the deploy file."""
        store = self.entry_store.get(number, self.store)
        self._start_daemon(
            f"edge-{number}",
            self.entries[number],
            "edge,control_plane",
            store,
            self.link_mbps.get(number, LINK_MBPS),
        )

    def start_agent(self, number: int) -> None:
        """Starts an agent with the command of the deploy file."""
        self._start_daemon(
            f"side-{number}",
            self.sides[number],
            "side",
            self.store,
            LINK_MBPS,
        )

    def start_minion(self, number: int) -> None:
        """Starts the stand-in minion of a host; it keeps its id."""
        ip = self.sides[number]
        self.record.add("minion", number, "starts")
        self.run(
            f"minion-{number}",
            [
                str(pathlib.Path(__file__).with_name("minion.py")),
                *("--listen", f"{ip}:{self.app}"),
                *("--control", f"{ip}:{self.control}"),
                *("--name", f"i-{number}"),
                *("--service", SERVICE),
                *("--rack", self.rack_of(number)),
                *("--log", str(self.folder / f"runs-{number}.log")),
                *self.minion_arguments.get(number, []),
            ],
        )

    def kill(self, name: str) -> None:
        """Kills a process, as a crash does, and waits for its end."""
        self.record.add("SIGKILL", name)
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.record.add(number.name, name)
        self.processes[name].send_signal(number)

    def stop(self) -> None:
        """Ends all processes that this site has started."""
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def submit(self, entry: int, name: str, steps: list[dict], **fields) -> int:
        """Hands a submission in; returns the status, 0 without an answer."""
        body = {"spec": f"spec of {name}", "steps": steps, **fields}
        return self.request(entry, "POST", name, body)[0]

    def request(
        self, entry: int, method: str, name: str, body: object = None
    ) -> tuple[int, dict]:
        """Sends a requester's call to an entry, and records it."""
        address = f"{self.entries[entry]}:{self.front}"
        status, answer = call(address, method, f"{PREFIX}{name}", body)
        shown = json.dumps(answer)[:200] if status else "no answer"
        self.record.add(method, name or "/", "at", entry, "->", status, shown)
        return status, answer

    def state(self, entry: int, name: str) -> str | None:
        """Returns the state of a submission that an entry shows."""
        return self.request(entry, "GET", name)[1].get("state")

    def runs(self) -> list[dict]:
        """Returns what the minions ran, in order of time."""
        rows = []
        for path in self.folder.glob("runs-*.log"):
            for line in path.read_text().splitlines():
                with contextlib.suppress(ValueError):
                    rows.append(json.loads(line))
        return sorted(rows, key=lambda row: row["at"])

    def logged(self, name: str) -> list[dict]:
        """Returns the log lines of a process so far."""
        rows = []
        for line in (self.folder / f"{name}.log").read_text().splitlines():
            with contextlib.suppress(ValueError):
                rows.append(json.loads(line))
        return rows

    def leader(self) -> int | None:
        """Returns the entry that took the lease last, by the logs."""
        latest = (0, None)
        for number in range(len(self.entries)):
            for row in self.logged(f"edge-{number}"):
                if row.get("event_name") == "PIPELINES_RECOVERED":
                    latest = max(latest, (row["epoch"], number))
        return latest[1]

    def write_runs(self) -> None:
        """Appends what the minions ran to the record."""
        for row in self.runs():
            self.record.add("RUN", json.dumps(row))

    def run(self, name: str, arguments: list[str], **variables) -> None:
        """Starts a process of Python."""
        environment = {
            **os.environ,
            "PYTHONPATH": f"{REPOSITORY / 'target' / 'deps'}:{REPOSITORY}",
            **variables,
        }
        with open(self.folder / f"{name}.log", "ab") as output:
            self.processes[name] = subprocess.Popen(
                ["python3", *arguments],
                cwd=REPOSITORY,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
            )

    def _start_daemon(
        self, name: str, ip: str, serves: str, store: str, link_mbps: float
    ) -> None:
        seeds = ",".join(f"{e}:{self.control}" for e in self.entries[:3])
        path = self.folder / f"{name}.conf"
        path.write_text(
            f"nodeName={name}\nserves={serves}\nip={ip}\nzone=patan\n"
            f"role={'entry' if 'edge' in serves else 'agent'}\n"
            f"listen.front={ip}:{self.front}\nlisten.ready={ip}:{self.ready}\n"
            f"listen.control={ip}:{self.control}\n"
            f"portRange={self.bus},{self.metrics}\nseeds={seeds}\n"
            f"app={ip}:{self.app}\nplatform.address={store}\n"
            + SETTINGS.format(
                serves=serves.partition(",")[0], link_mbps=link_mbps
            )
        )
        self.record.add("process", name, "starts")
        self.run(
            name, ["-m", "pomelostair.platform"], POMELOSTAIR_CONFIG=str(path)
        )


def call(
    address: str, method: str, path: str, body: object = None
) -> tuple[int, dict]:
    """Sends one request; returns status 0 without an answer."""
    data = None if body is None else json.dumps(body).encode()
    outgoing = urllib.request.Request(
        f"http://{address}{path}",
        data,
        {
            "Host": HOST,
            "Content-Type": "application/json",
            "X-Pomelostair-Deadline-Ms": "3000",
        },
        method=method,
    )
    try:
        with urllib.request.urlopen(outgoing, timeout=4) as response:
            return response.status, _parse(response.read())
    except urllib.error.HTTPError as error:
        return error.code, _parse(error.read())
    except OSError:
        return 0, {}


def has_trouble() -> bool:
    """Returns whether the disruption of the case is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder: str, play) -> int:
    """Plays a case and returns the exit code of its script.

    Args:
        folder: Folder of the case.
        play: Gets the record; returns what broke the rule, empty if nothing.
    """
    # A case that is told to end ends its processes first.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(pathlib.Path(folder))
    record.add("trouble:", has_trouble())
    try:
        findings = play(record)
    except Exception as error:  # noqa: BLE001 - the case could not run
        record.add("the case could not run:", repr(error))
        print(f"could not run: {error!r}")
        return NOT_RUN
    for finding in findings:
        record.add("BROKEN", finding)
        print("broken:", finding)
    record.add("result:", "broken" if findings else "held")
    print("broken" if findings else "held")
    return BROKEN if findings else HELD


def _wait(condition) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError("the site did not start")
        time.sleep(0.05)


def _parse(data: bytes) -> dict:
    try:
        answer = json.loads(data)
    except ValueError:
        return {}
    return answer if isinstance(answer, dict) else {}


def _free_ports(hosts: list[str], count: int) -> list[int]:
    """Returns consecutive ports that are free on all hosts."""
    for first in random.SystemRandom().sample(range(12000, 28000), 200):
        ports = range(first, first + count)
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for port in ports:
                        probe = stack.enter_context(socket.socket())
                        probe.setsockopt(
                            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                        )
                        probe.bind((host, port))
            except OSError:
                continue
        return list(ports)
    raise OSError("no free ports")
