"""Measures what a leader spends: time and bytes for each thing it does.

One agent leads as a process of its own over a platform stand-in; this process
stands for its entries and workers. Processor time is that of the leader's
process alone. Recovery is measured inside this process.
"""

import contextlib
import json
import pathlib
import subprocess
import sys
import tempfile
import time
from urllib import request

import attrs
import curio

from pomelostair import bus as bus_module
from pomelostair import cell
from pomelostair import celllog
from pomelostair import clock
from pomelostair import messages
from pomelostair import metrics
from pomelostair import snapshot
from pomelostair import store
from pomelostair import wire
from pomelostair_standins import site

WORKERS = 100
BEAT_S = 0.5
MEASURE_S = 5.0
CALL_TIMEOUT_S = 10.0
CAPACITY = messages.Size(32.0, 125_000, 0)
SIZE = messages.Size(0.25, 64, 0)
SUBMIT_RATES = (50, 200)
START_RATES = (10, 100, 1000)
LOG_EVENTS = (1_000, 10_000, 50_000)
EVENTS_PER_ROW = 20
NS_PER_S = 1e9


@attrs.define
class Fleet:
    """Fake workers behind one bus: they run each task until the next beat."""

    bus: bus_module.NngBus
    leader: str
    workers: int
    started: int = 0
    beats: int = 0
    held: dict[str, dict] = attrs.field(factory=dict)
    ended: dict[str, dict] = attrs.field(factory=dict)
    keep: bool = False

    async def run(self, number: int) -> None:
        """Beats for one worker until cancelled."""
        name = f"worker-{number}"
        self.held[name], self.ended[name] = {}, {}
        await curio.sleep(BEAT_S * number / self.workers)
        while True:
            begun = time.monotonic()
            await self._beat(name)
            await curio.sleep(max(0.0, BEAT_S - time.monotonic() + begun))

    def heartbeat(self, name: str) -> messages.Heartbeat:
        """Returns what a worker reports now."""
        return messages.Heartbeat(
            worker=name,
            zone="patan",
            rack=f"rack-{name}",
            capacity=CAPACITY,
            state=messages.TargetState.READY,
            usage=tuple(
                messages.TaskUsage(*key, SIZE, 0.5, 1.0)
                for key in self.held[name]
            ),
            ended=tuple(
                messages.TaskEnded(*key, messages.TaskEnd.COMPLETED)
                for key in self.ended[name]
            ),
        )

    async def _beat(self, name: str) -> None:
        held, ended = self.held[name], self.ended[name]
        if not self.keep:
            ended.update(held)
            held.clear()
        message = self.heartbeat(name)
        answer = await self.bus.call(self.leader, message, CALL_TIMEOUT_S)
        self.beats += 1
        if not isinstance(answer, bus_module.Answered):
            return
        ack = answer.message
        for order in ack.start:
            key = (order.task, order.attempt)
            if key not in held and key not in ended:
                held[key] = None
                self.started += 1
        for key in ack.acknowledged:
            ended.pop(key, None)


class Measured:
    """The processes of the measurement.

    Args:
        directory: Where settings and logs are written.
        window_ms: Commit window of the leader.
    """

    def __init__(self, directory: str, window_ms: int):
        self._directory = pathlib.Path(directory)
        self._platform = site.free_address()
        self._bus = site.free_address()
        self._window_ms = window_ms
        self._children: list[subprocess.Popen] = []

    @property
    def leader(self) -> str:
        """Bus URL of the leader."""
        return f"tcp://{self._bus}"

    def start(self) -> None:
        """Starts the platform and the agent."""
        listen = ["--listen", self._platform]
        self._spawn(["-m", "pomelostair_standins.platform", *listen])
        settings = {
            "role": "agent",
            "name": "agent-1",
            "zone": "patan",
            "bus": self._bus,
            "balancer": site.free_address(),
            "platform": {"address": self._platform},
            "target": {
                "kind": "minion",
                "address": site.free_address(),
                "service": "clapper-desk",
            },
            "timing": {
                "join_ms": 60_000,
                "commit_window_ms": self._window_ms,
            },
        }
        path = self._directory / "agent.json"
        path.write_text(json.dumps(settings))
        self._spawn(["-m", "pomelostair.daemon", "--settings", str(path)])

    def stop(self) -> None:
        """Ends what was started."""
        for child in self._children:
            child.terminate()
        for child in self._children:
            child.wait(15)

    def processor_s(self) -> float:
        """Returns the processor time of the leader so far."""
        tasks = pathlib.Path(f"/proc/{self._children[1].pid}/task")
        spent_ns = 0
        for thread in tasks.iterdir():
            with contextlib.suppress(FileNotFoundError):
                text = (thread / "schedstat").read_text()
                spent_ns += int(text.split()[0])
        return spent_ns / NS_PER_S

    def commits(self) -> int:
        """Returns the transactions that the table got so far."""
        with request.urlopen(f"http://{self._platform}/stats") as response:
            return json.load(response)["commits"]

    def _spawn(self, arguments: list[str]) -> None:
        with open(self._directory / "bench.log", "ab") as output:
            self._children.append(
                subprocess.Popen(
                    [sys.executable, *arguments], stdout=output, stderr=output
                )
            )


@attrs.frozen
class Spent:
    """Processor time and commits of the leader over one measurement."""

    processor_s: float
    commits: int
    elapsed_s: float


async def spend(measured: Measured, seconds: float) -> Spent:
    """Returns what the leader spends in the next seconds."""
    begun = time.monotonic()
    before, commits = measured.processor_s(), measured.commits()
    await curio.sleep(seconds)
    return Spent(
        measured.processor_s() - before,
        measured.commits() - commits,
        time.monotonic() - begun,
    )


async def wait_for_leader(bus: bus_module.Bus, leader: str) -> None:
    """Returns once the leader answers."""
    while True:
        query = messages.ListWorkers()
        answer = await bus.call(leader, query, 1.0)
        if isinstance(answer, bus_module.Answered) and isinstance(
            answer.message, messages.WorkerList
        ):
            return
        await curio.sleep(0.2)


async def submit_at(
    fleet: Fleet, rate: float, tasks: int, label: str, seconds: float
) -> int:
    """Submits jobs of `tasks` tasks so that `rate` tasks a second come."""
    count = max(1, int(rate * seconds / tasks))
    calls = []
    begun = time.monotonic()
    for index in range(count):
        spec = messages.JobSpec(
            f"{label}-{index}", "netting", tasks=tasks, size=SIZE
        )
        call = await curio.spawn(
            fleet.bus.call,
            fleet.leader,
            messages.SubmitJob(spec),
            CALL_TIMEOUT_S,
        )
        calls.append(call)
        due = begun + (index + 1) * tasks / rate
        await curio.sleep(max(0.0, due - time.monotonic()))
    answers = [await call.join() for call in calls]
    return sum(
        isinstance(a, bus_module.Answered)
        and isinstance(a.message, messages.JobAccepted)
        for a in answers
    )


async def measure(measured: Measured) -> None:
    """Prints the costs of one leader."""
    bus = bus_module.NngBus(
        "bench", f"tcp://{site.free_address()}", metrics.Metrics()
    )
    bus.handle(messages.Nudge, _ignore)
    await curio.spawn(bus.run, daemon=True)
    fleet = Fleet(bus, measured.leader, WORKERS)
    await wait_for_leader(bus, measured.leader)
    idle = await spend(measured, MEASURE_S)
    commit_ms = 1000 * idle.processor_s / idle.commits
    print(
        f"idle: {100 * idle.processor_s / idle.elapsed_s:.2f} % of a core, "
        f"{idle.commits / idle.elapsed_s:.1f} commits/s, "
        f"{commit_ms:.2f} ms for each commit without events"
    )
    beats_at = await _measure_heartbeats(measured, fleet, idle)
    await _measure_submits(measured, fleet, beats_at)
    await _measure_starts(measured, fleet)


async def _ignore(_message: object, _envelope: object) -> None:
    """Drops a nudge; the fake workers beat at their interval."""


def _per_s(spent: Spent) -> float:
    return spent.processor_s / spent.elapsed_s


async def _measure_heartbeats(
    measured: Measured, fleet: Fleet, idle: Spent
) -> Spent:
    for number in range(WORKERS):
        await curio.spawn(fleet.run, number, daemon=True)
    await curio.sleep(1.0)
    beats = fleet.beats
    spent = await spend(measured, MEASURE_S)
    rate = (fleet.beats - beats) / spent.elapsed_s
    cost_ms = 1000 * (_per_s(spent) - _per_s(idle)) / rate
    size = _envelope_bytes(fleet.heartbeat("worker-0"))
    answer = _envelope_bytes(messages.HeartbeatAck(1))
    print(
        f"heartbeat without tasks: {rate:.0f}/s, {cost_ms:.3f} ms, "
        f"{size} bytes in, {answer} bytes out"
    )
    return spent


async def _measure_submits(
    measured: Measured, fleet: Fleet, beats: Spent
) -> None:
    for rate in SUBMIT_RATES:
        task = await curio.spawn(
            submit_at, fleet, rate, 1, f"s{rate}", MEASURE_S
        )
        spent = await spend(measured, MEASURE_S)
        accepted = await task.join()
        await curio.sleep(2.0)
        cost_ms = 1000 * (_per_s(spent) - _per_s(beats)) / rate
        print(
            f"submit of a task to its end: {rate}/s, {accepted} accepted, "
            f"{cost_ms:.2f} ms with its share of "
            f"{spent.commits / spent.elapsed_s:.1f} commits/s"
        )


async def _measure_starts(measured: Measured, fleet: Fleet) -> None:
    for rate in START_RATES:
        started = fleet.started
        tasks = max(1, rate // 20)
        task = await curio.spawn(
            submit_at, fleet, rate, tasks, f"r{rate}", MEASURE_S
        )
        spent = await spend(measured, MEASURE_S)
        await task.join()
        count = fleet.started - started
        print(
            f"starts: {rate}/s offered, {count / spent.elapsed_s:.0f}/s done, "
            f"{spent.commits / spent.elapsed_s:.1f} table writes/s, "
            f"{100 * _per_s(spent):.0f} % of a core"
        )
        await curio.sleep(3.0)


def _envelope_bytes(message: object) -> int:
    body = wire.encode_body(message)
    envelope = wire.Envelope(
        wire.tag_of(message),
        "agent-worker-1",
        "0" * 16,
        "tcp://127.0.0.1:10000",
        "0" * 20,
        answer=False,
        body=wire.msgspec.Raw(body),
    )
    return len(wire.encode(envelope))


def _log_of(events: int) -> list[cell.Event]:
    """Returns a log of jobs of one task, each placed and completed."""
    found: list[cell.Event] = []
    for index in range(events // 3):
        spec = messages.JobSpec(f"job-{index}", "netting", size=SIZE)
        task = f"job-{index}/0"
        found += [
            cell.JobSubmitted(spec),
            cell.TaskPlaced(task, 1, f"worker-{index % 100}"),
            cell.TaskEnded(task, 1, messages.TaskEnd.COMPLETED),
        ]
    return found


async def measure_recovery() -> None:
    """Prints recovery time against log length, and against a snapshot."""
    for count in LOG_EVENTS:
        table, objects = store.MemoryTable(), store.MemoryObjects()
        log = celllog.CellLog(
            table, objects, clock.MonotonicClock(), "main", "a", "a", 1e9
        )
        await log.acquire(await log.read_lease())
        found = _log_of(count)
        for at in range(0, len(found), EVENTS_PER_ROW):
            await log.append(tuple(found[at : at + EVENTS_PER_ROW]))
        page = await table.scan("cells/main/log/", limit=10**9)
        row_bytes = sum(len(row.value) for row in page.rows)
        state = cell.State()
        begun = time.perf_counter()
        recovered = await log.replay()
        for event in recovered.events:
            state.apply(event)
        replay_s = time.perf_counter() - begun
        begun = time.perf_counter()
        data = snapshot.encode(state)
        encode_s = time.perf_counter() - begun
        begun = time.perf_counter()
        snapshot.decode(data)
        decode_s = time.perf_counter() - begun
        print(
            f"recovery: {len(found)} events in {recovered.rows} rows, "
            f"{1000 * replay_s:.0f} ms, "
            f"{1e6 * replay_s / len(found):.1f} us and "
            f"{row_bytes / len(found):.0f} bytes an event; as a snapshot of "
            f"{len(state.tasks)} tasks {1000 * decode_s:.0f} ms to read, "
            f"{1000 * encode_s:.0f} ms to write, {len(data) // 1024} KB"
        )


def main() -> None:
    """Runs all measurements and prints their figures."""
    curio.run(measure_recovery)
    window_ms = int(sys.argv[1]) if len(sys.argv) > 1 else 50
    with tempfile.TemporaryDirectory(prefix="pomelostair-") as directory:
        measured = Measured(directory, window_ms)
        with contextlib.ExitStack() as stack:
            stack.callback(measured.stop)
            measured.start()
            print(f"commit window {window_ms} ms, {WORKERS} workers")
            curio.run(measure, measured)


if __name__ == "__main__":
    main()
