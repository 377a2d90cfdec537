"""Latency and goodput of requests under open-loop load, by policy.

Starts a site as processes for each policy and drives it at several multiples
of its capacity. Latencies count from the time at which a request was due, so
that a slow answer delays no later request. Prints one line for each case.
"""

import argparse
import contextlib
import multiprocessing
import random
import signal
import tempfile
import time

import attrs
import curio
from hdrh import histogram

from bench import naive_daemon
from pomelostair_standins import site as site_module

SERVICE = "clapper-desk"
MAX_LATENCY_US = 60_000_000
DIGITS = 3
WARM_S = 3.0
SETTLE_S = 6.0
DEADLINES = {"critical": 5.0, "batch": 20.0}
WAIT_S = 2.0


@attrs.frozen
class Case:
    """One load.

    Attributes:
        name: What is shown for it.
        critical: Load of the most urgent class over the capacity.
        batch: Load of the least urgent class over the capacity.
        noisy: Whether service times are exponential with stragglers.
    """

    name: str
    critical: float
    batch: float
    noisy: bool = False


@attrs.define
class Tally:
    """What the callers of one class saw.

    Attributes:
        sent: Requests that were due in the measured time.
        in_time: Those answered before their deadline.
        work_s: Service time of the answers that came in the measured time.
        refused: Those refused with the promise that they did not run.
        latencies: Encoded histogram of the time until an answer, or until a
            caller heard that there is none, in microseconds; refusals are not
            among them.
    """

    sent: int = 0
    in_time: int = 0
    work_s: float = 0.0
    refused: int = 0
    latencies: bytes = b""


class Generator:
    """Sends one class's requests to one entry.

    Args:
        entry: HTTP address.
        urgency: Urgency class.
        rate: Requests a second.
        service_ms: Mean service time.
        case: The load.
        seed: Seed of the times.
        deadline_ms: Deadline of each request.
    """

    def __init__(
        self, entry, urgency, rate, service_ms, case, seed, deadline_ms=None
    ):
        self._entry = entry
        self._urgency = urgency
        self._rate = rate
        self._service_ms = service_ms
        usual_ms = int(DEADLINES[urgency] * service_ms)
        self._deadline_ms = deadline_ms or usual_ms
        self._case = case
        self._random = random.Random(seed)
        self._idle = []
        self._tally = Tally()
        self._histogram = histogram.HdrHistogram(1, MAX_LATENCY_US, DIGITS)

    async def run(self, seconds: float) -> Tally:
        """Sends for a time after warming up, and waits for the answers."""
        begun = time.monotonic()
        self._from = begun + WARM_S
        self._until = self._from + seconds
        due = begun
        async with curio.TaskGroup(wait=all) as group:
            while due < self._until:
                due += self._random.expovariate(self._rate)
                await curio.sleep(max(0.0, due - time.monotonic()))
                await group.spawn(self._send, due, self._draw_ms())
        self._tally.latencies = self._histogram.encode()
        return self._tally

    def _draw_ms(self) -> float:
        mean = self._service_ms
        if not self._case.noisy:
            return self._random.uniform(0.5 * mean, 1.5 * mean)
        straggler = 8.0 if self._random.random() < 0.01 else 1.0
        return self._random.expovariate(1 / mean) * straggler

    async def _send(self, due: float, service_ms: float) -> None:
        answer = b""
        with contextlib.suppress(OSError):
            async with curio.ignore_after(self._deadline_ms / 1000 + WAIT_S):
                answer = await self._exchange(service_ms)
        self._count(due, service_ms, answer)

    async def _exchange(self, service_ms: float) -> bytes:
        stream = self._idle.pop() if self._idle else None
        if stream is None:
            host, _, port = self._entry.rpartition(":")
            stream = await curio.open_connection(host, int(port))
        head = (
            f"POST /services/{SERVICE}/fit HTTP/1.1\r\nhost: a\r\n"
            f"pomelostair-urgency: {self._urgency}\r\n"
            f"pomelostair-timeout-ms: {self._deadline_ms}\r\n"
            f"x-service-ms: {service_ms}\r\ncontent-length: 4\r\n\r\nbell"
        )
        await stream.sendall(head.encode())
        answer = await _receive(stream)
        self._idle.append(stream)
        return answer

    def _count(self, due: float, service_ms: float, answer: bytes) -> None:
        now = time.monotonic()
        served = answer.startswith(b"HTTP/1.1 200")
        if served and self._from <= now < self._until:
            self._tally.work_s += service_ms / 1000
        if not self._from <= due < self._until:
            return
        self._tally.sent += 1
        refused = b"pomelostair-ran: no" in answer.lower()
        self._tally.refused += refused
        took_s = now - due
        if not refused:
            self._histogram.record_value(int(took_s * 1e6))
        if served:
            self._tally.in_time += took_s * 1000 <= self._deadline_ms


async def _receive(stream) -> bytes:
    data = b""
    while True:
        part = await stream.recv(65536)
        if not part:
            raise OSError("connection ended")
        data += part
        head, separator, body = data.partition(b"\r\n\r\n")
        if not separator:
            continue
        length = head.lower().partition(b"content-length: ")[2].split(b"\r")[0]
        if len(body) >= int(length):
            return data


def _generate(pipe, seconds, *args) -> None:
    pipe.send(curio.run(Generator(*args).run, seconds))


def drive(entries, case, capacity, service_ms, seconds) -> dict[str, Tally]:
    """Drives all entries with both classes, each from a process of its own."""
    context = multiprocessing.get_context("spawn")
    running = []
    for index, entry in enumerate(entries):
        for urgency in ("critical", "batch"):
            rate = getattr(case, urgency) * capacity / len(entries)
            if not rate:
                continue
            ours, theirs = context.Pipe()
            args = (theirs, seconds, entry, urgency, rate, service_ms, case)
            process = context.Process(target=_generate, args=(*args, index))
            process.start()
            running.append((urgency, ours, process))
    tallies = {"critical": [], "batch": []}
    for urgency, pipe, process in running:
        tallies[urgency].append(pipe.recv())
        process.join()
    return {urgency: _sum(parts) for urgency, parts in tallies.items()}


def _sum(parts: list[Tally]) -> Tally:
    total = Tally()
    merged = histogram.HdrHistogram(1, MAX_LATENCY_US, DIGITS)
    for part in parts:
        total.sent += part.sent
        total.in_time += part.in_time
        total.work_s += part.work_s
        total.refused += part.refused
        merged.decode_and_add(part.latencies)
    total.latencies = merged.encode()
    return total


def _show(policy, case, tallies, slots, seconds) -> None:
    capacity_s = slots * seconds
    work_s = sum(tally.work_s for tally in tallies.values())
    line = f"{policy:12}{case.name:14}goodput {work_s / capacity_s:5.3f}"
    for urgency, tally in tallies.items():
        if not tally.sent:
            continue
        found = histogram.HdrHistogram.decode(tally.latencies)
        p50, p99, p999 = (
            found.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9)
        )
        line += (
            f" | {urgency} n {tally.sent} in time "
            f"{tally.in_time / tally.sent:.4f} work "
            f"{tally.work_s / capacity_s:.3f} p50 {p50:.0f} "
            f"p99 {p99:.0f} p99.9 {p999:.0f} ms"
        )
    print(line, flush=True)


class PolicySite(site_module.Site):
    """A site whose daemons run under a policy; one minion may be slow.

    Args:
        policy: Name of the policy.
        slow_ms: Added to each service time of the first minion.
        shape: Processes of the site.
        directory: Where settings and logs are written.
    """

    def __init__(self, policy, slow_ms, shape, directory):
        super().__init__(shape, directory)
        self._policy = policy
        self.slow_ms = slow_ms

    def _launch(self, role, name, addresses, arguments):
        if "pomelostair.daemon" in arguments:
            index = arguments.index("pomelostair.daemon")
            arguments = [
                *arguments[:index],
                "bench.naive_daemon",
                "--policy",
                self._policy,
                *arguments[index + 1 :],
            ]
        if name == "minion-1" and self.slow_ms:
            arguments = [*arguments, "--slow-ms", str(self.slow_ms)]
        super()._launch(role, name, addresses, arguments)


@contextlib.contextmanager
def _running(policy, shape, slow_ms=0):
    with tempfile.TemporaryDirectory(prefix="pomelostair-") as directory:
        site = PolicySite(policy, slow_ms, shape, directory)
        try:
            site.start()
            time.sleep(SETTLE_S)
            yield site
        finally:
            site.stop()


CASES = [
    Case("unloaded", 0.1, 0.0),
    Case("0.5", 0.2, 0.3),
    Case("0.8", 0.2, 0.6),
    Case("1.0", 0.2, 0.8),
    Case("1.5", 0.2, 1.3),
    Case("3.0", 0.2, 2.8),
    Case("3.0-urgent", 2.8, 0.2),
    Case("0.8-noisy", 0.2, 0.6, noisy=True),
    Case("3.0-noisy", 0.2, 2.8, noisy=True),
]
SLOW_CASES = [Case("0.5-slow", 0.25, 0.25)]


def main() -> None:
    """Runs the chosen policies and cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minions", type=int, default=11)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--service-ms", type=float, default=400.0)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--policies", default=",".join(naive_daemon.POLICIES))
    parser.add_argument("--cases", default="")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    shape = site_module.Shape(
        entries=options.entries, minions=options.minions, workers=0
    )
    slots = shape.minions * shape.slots
    capacity = slots / (options.service_ms / 1000)
    wanted = options.cases.split(",") if options.cases else None

    def run(policy, site, cases):
        for case in cases:
            if wanted is not None and case.name not in wanted:
                continue
            tallies = drive(
                site.entries,
                case,
                capacity,
                options.service_ms,
                options.seconds,
            )
            _show(policy, case, tallies, slots, options.seconds)

    for policy in options.policies.split(","):
        with _running(policy, shape) as site:
            run(policy, site, CASES)
    if wanted is None or any(case.name in wanted for case in SLOW_CASES):
        for policy in options.policies.split(","):
            slow_ms = 4 * options.service_ms
            with _running(policy, shape, slow_ms) as site:
                run(policy, site, SLOW_CASES)


if __name__ == "__main__":
    main()
