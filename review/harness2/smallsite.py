"""A small site of the users' platform for the scripts of review 2.

The store and the workers are the stand-ins of this repository. The project's
own programs run as separate processes, with the command of the deploy file and
with settings like those of a small deployment. Every address is a loopback
address.
"""

import asyncio
import contextlib
from http import client
import json
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import threading
import time

from pomelostair_standins import platformsite

PROXY_HOST = "127.0.0.10"
# The script ends itself after this time; 120 s are allowed.
TIME_LIMIT_S = 112
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
# Of the users' small sites.
BOUNDS = {
    "graceS": 6,
    "contactMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "holdMaxMs": 6000,
    "stopGraceMs": 400,
    "gangWaitMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "leaseMs": 3000,
    "requireFence": "false",
}


class NotRunError(Exception):
    """The case could not be set up."""


def trouble() -> bool:
    """Returns whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with the time since the start.

    Args:
        path: File to write.
    """

    def __init__(self, path: pathlib.Path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._start_s = time.monotonic()
        self.write(f"TROUBLE={int(trouble())}")

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


class _Link:
    """One connection through the proxy."""

    def __init__(self):
        self.silent = False


class StoreProxy:
    """A proxy between the processes and the store.

    It may let its open connections go silent, while new ones work. It may also
    lose writes: such a call gets no answer, its connection delivers nothing
    further, and the store performs it later.

    Args:
        port: Port to listen on.
        store: IP:PORT of the store.
    """

    def __init__(self, port: int, store: str):
        host, _, store_port = store.rpartition(":")
        self._store = (host, int(store_port))
        self._port = port
        self._links: set[_Link] = set()
        self._ready = threading.Event()
        self._loop = asyncio.new_event_loop()
        # Returns after how many seconds a lost call is performed, or None for
        # a call that is passed on.
        self.loses = lambda head, body: None
        # Called with the head of each call that is passed on, if it is set.
        self.on_call = None
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def address(self) -> str:
        """IP:PORT of the proxy."""
        return f"{PROXY_HOST}:{self._port}"

    def start(self) -> None:
        """Starts the proxy."""
        self._thread.start()
        if not self._ready.wait(10):
            raise NotRunError("the proxy did not start")

    def stop(self) -> None:
        """Ends the proxy and its connections."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    def silence(self) -> int:
        """Makes the open connections silent for good; returns their number."""
        links = list(self._links)
        for link in links:
            link.silent = True
        return len(links)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(
            asyncio.start_server(self._serve, PROXY_HOST, self._port)
        )
        self._ready.set()
        self._loop.run_forever()
        server.close()
        while tasks := asyncio.all_tasks(self._loop):
            for task in tasks:
                task.cancel()
            self._loop.run_until_complete(
                asyncio.gather(*tasks, return_exceptions=True)
            )
        self._loop.close()

    async def _serve(self, reader, writer) -> None:
        link = _Link()
        self._links.add(link)
        upstream = None
        try:
            upstream = await asyncio.open_connection(*self._store)
            while True:
                call = await _read_message(reader)
                if call is None:
                    return
                if link.silent:
                    await _until_closed(reader)
                    return
                delay_s = self.loses(*call)
                if delay_s is not None:
                    self._loop.create_task(
                        self._perform(b"".join(call), delay_s)
                    )
                    await _until_closed(reader)
                    return
                if self.on_call is not None:
                    self.on_call(call[0])
                upstream[1].write(b"".join(call))
                answer = await _read_message(upstream[0])
                if answer is None:
                    return
                if link.silent:
                    await _until_closed(reader)
                    return
                writer.write(b"".join(answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._links.discard(link)
            writer.close()
            if upstream is not None:
                upstream[1].close()

    async def _perform(self, call: bytes, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        reader, writer = await asyncio.open_connection(*self._store)
        writer.write(call)
        await _read_message(reader)
        writer.close()


async def _read_message(reader) -> tuple[bytes, bytes] | None:
    """Reads one HTTP message; returns its head and its body."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    return head, await reader.readexactly(length)


async def _until_closed(reader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(65536):
            pass


class SmallSite(platformsite.PlatformSite):
    """A small site whose processes reach the store through a proxy.

    Args:
        folder: Folder for settings and logs.
        entries: Number of entries.
        sides: Number of agents, each with a worker.
    """

    def __init__(self, folder: pathlib.Path, entries: int, sides: int):
        super().__init__(folder, entries, sides)
        self.folder = folder
        port = platformsite.site.free_ports([PROXY_HOST], 1)[0]
        self.proxy = StoreProxy(port, self.store)

    def start(self) -> None:
        """Starts all and waits until each worker may be given work."""
        self.proxy.start()
        super().start()

    def stop(self) -> None:
        """Ends all that was started."""
        super().stop()
        self.proxy.stop()

    def workers_up(self) -> int:
        """Returns how many workers the leader knows."""
        best = 0
        for number in range(len(self.entries)):
            best = max(
                best,
                len(
                    {
                        line["worker"]
                        for line in self.lines(f"edge-{number}")
                        if line.get("event_name") == "PIPELINE_WORKER_UP"
                    }
                ),
            )
        return best

    def front_address(self, number: int) -> str:
        """Returns the address at which an entry serves callers."""
        return f"{self.entries[number]}:{self.front}"

    def starts(self) -> list[tuple[str, int, int]]:
        """Returns the runs of the workers that are up: task, run, worker."""
        rows = []
        for number in range(len(self.sides)):
            for row in self.worker(number, "/history") or ():
                rows.append((row[0], row[1], number))
        return rows

    def leader(self) -> int:
        """Returns the index of the entry that leads, by the latest epoch."""
        best = (-1, 0)
        for number in range(len(self.entries)):
            for line in self.lines(f"edge-{number}"):
                if line.get("event_name") == "LEASE_ACQUIRED":
                    best = max(best, (line["epoch"], number))
        return best[1]

    def start_worker(self, number: int) -> None:
        """Starts the worker next to the agent with the given index."""
        ip = self.sides[number]
        self._start_process(
            f"worker-{number}",
            "smallworker",
            "--listen",
            f"{ip}:{self._ports[4]}",
            "--control",
            f"{ip}:{self._ports[2]}",
            "--name",
            f"i-{number}",
        )

    def ends(self, number: int) -> dict:
        """Returns a worker's ends, and up to which one its agent took note."""
        return self.worker(number, "/seen")

    def _start_daemon(self, name: str, ip: str, serves: str) -> None:
        front, ready, control, _, app, *_ = self._ports
        seeds = ",".join(f"{entry}:{control}" for entry in self.entries)
        lines = {
            "nodeName": name,
            "role": "entry" if serves == "edge" else "agent",
            "machineClass": serves,
            "serves": "edge,control_plane" if serves == "edge" else "side",
            "ip": ip,
            "zone": "patan",
            "region": "bagmati",
            "zones.patan": "bagmati",
            "listen.front": f"{ip}:{front}",
            "listen.ready": f"{ip}:{ready}",
            "listen.control": f"{ip}:{control}",
            "portRange": f"{self._ports[5]},{self._ports[6]}",
            "seeds": seeds,
            "bootstrap": "true",
            "limits.cpuShare": "0.537" if serves == "edge" else "0.645",
            "limits.cores": "2" if serves == "edge" else "1",
            "limits.memoryMb": "300" if serves == "edge" else "168",
            "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0",
            "heartbeatMs": "1100",
            "app": f"{ip}:{app}",
            "orders": "call",
            "platform.address": self.proxy.address,
            "platform.form": "table",
            "platform.writesPerS": "800",
            "platform.readsPerS": "2000",
            "platform.historyS": "20",
            **{f"bounds.{key}": value for key, value in BOUNDS.items()},
        }
        path = self.folder / f"{name}.conf"
        path.write_text(
            "".join(f"{key}={value}\n" for key, value in lines.items())
        )
        self._start_process(
            name, "pomelostair.platform", POMELOSTAIR_CONFIG=str(path)
        )


def wait_until(condition, wait_s: float, what: str = "") -> None:
    """Waits for a condition.

    Raises:
        NotRunError: It did not come true in time.
    """
    deadline_s = time.monotonic() + wait_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise NotRunError(f"not seen within {wait_s} s: {what}")
        time.sleep(0.02)


def run(case, script: str, entries: int, sides: int) -> None:
    """Runs a case and exits with its result.

    Args:
        case: Called with the site and the record; returns whether the rule was
            broken.
        script: Path of the script; its folder gets the record.
        entries: Number of entries.
        sides: Number of agents, each with a worker.
    """
    record = Record(pathlib.Path(script).resolve().parent / "record.txt")
    folder = pathlib.Path(tempfile.mkdtemp())
    site = SmallSite(folder, entries, sides)

    def give_up(number, _frame):
        raise NotRunError(f"signal {number}")

    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, give_up)
    signal.alarm(TIME_LIMIT_S)
    result = EXIT_NOT_RUN
    try:
        site.start()
        wait_until(lambda: site.workers_up() >= sides, 20, "all workers")
        time.sleep(1.0)
        record.write(f"up: {entries} entries, {sides} agents with workers")
        result = EXIT_BROKEN if case(site, record) else EXIT_HELD
    except Exception as error:  # noqa: BLE001 - a failed script shows nothing
        record.write(f"could not run: {error!r}")
    finally:
        signal.alarm(0)
        site.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    words = {EXIT_HELD: "held", EXIT_BROKEN: "broken", EXIT_NOT_RUN: "not run"}
    record.write(f"result: {words[result]} (exit {result})")
    sys.exit(result)


def send(
    site: SmallSite,
    record: Record,
    number: int,
    method: str,
    path: str,
    body: dict | None = None,
    patience_ms: int = 3000,
) -> tuple[int, str]:
    """Sends a caller's request to an entry and records both ways.

    Args:
        site: The site.
        record: The record.
        number: Index of the entry.
        method: HTTP method.
        path: Path of the request.
        body: JSON body, None for none.
        patience_ms: How long the caller waits for the answer.

    Returns:
        Status and body; status 0 if there was no answer.
    """
    text = "" if body is None else json.dumps(body)
    record.write(f"caller -> edge-{number}: {method} {path} {text}")
    host, _, port = site.front_address(number).rpartition(":")
    connection = client.HTTPConnection(host, int(port), patience_ms / 1000)
    headers = {
        "Host": platformsite.ROUTE_HOST,
        "Content-Type": "application/json",
        "X-Pomelostair-Deadline-Ms": str(patience_ms),
    }
    try:
        connection.request(method, path, text or None, headers)
        response = connection.getresponse()
        status, answer = response.status, response.read().decode()
    except OSError as error:
        status, answer = 0, repr(error)
    finally:
        connection.close()
    record.write(f"edge-{number} -> caller: {status} {answer}")
    return status, answer
