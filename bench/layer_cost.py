"""Measures the processor time of the layers that every request passes.

Each figure is the lowest of several rounds in one process, so that other load
on the machine hardly shows. The exchange over HTTP holds client and server,
the call over the bus both of its ends.
"""

import argparse
import sys
import time

import curio

from pomelostair import bus
from pomelostair import http
from pomelostair import httpclient
from pomelostair import httpserver
from pomelostair import messages
from pomelostair import metrics
from pomelostair import wire
from pomelostair_standins import service
from pomelostair_standins import site

REQUEST = http.Request(
    "POST", "/fit-check", (("accept", "*/*"), ("x-temple", "7")), b"z" * 200
)
SERVE = messages.Serve(
    request_id="0" * 32,
    method="POST",
    target="/fit-check",
    headers=(("accept", "*/*"), ("x-temple", "7")),
    body=b"z" * 200,
    urgency=messages.Urgency.NORMAL,
    team="default",
    budget_ms=10_000.0,
    sent_ms=0.0,
    incarnation="0" * 16,
)
SERVED = messages.Served(200, (("x-body-sha256", "0" * 64),), b"z" * 200)


def main() -> int:
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=15)
    parser.add_argument("--repeats", type=int, default=200)
    options = parser.parse_args()
    for name, layer in (
        ("exchange over HTTP", _http),
        ("call over the bus", _bus),
        ("encode and decode", _codec),
        ("counter", _counter),
        ("histogram", _histogram),
    ):
        cost_us = curio.run(layer, options.rounds, options.repeats)
        print(f"{name:<20} {cost_us:8.1f} us")
    return 0


async def _lowest(step, rounds: int, repeats: int) -> float:
    costs = []
    for _ in range(rounds):
        started = time.process_time()
        for _ in range(repeats):
            await step()
        costs.append((time.process_time() - started) / repeats * 1e6)
    return min(costs)


async def _http(rounds: int, repeats: int) -> float:
    async def handle(_request: http.Request) -> http.Response:
        return http.Response(200, (("x-body-sha256", "0" * 64),), b"z" * 200)

    server = httpserver.Server("127.0.0.1", 0, handle, service.error_response)
    serving = await curio.spawn(server.run, daemon=True)
    client = httpclient.Client(f"127.0.0.1:{server.port}", 1)

    async def step() -> None:
        await client.request(REQUEST, 10.0)

    cost_us = await _lowest(step, rounds, repeats)
    await client.close()
    await serving.cancel()
    return cost_us


async def _bus(rounds: int, repeats: int) -> float:
    counted = metrics.Metrics()
    ends = [
        bus.NngBus(name, f"tcp://{site.free_address()}", counted)
        for name in ("caller", "answerer")
    ]

    async def answer(_message: messages.Serve, envelope: wire.Envelope) -> None:
        await ends[1].reply(envelope, SERVED)

    ends[1].handle(messages.Serve, answer)
    tasks = [await curio.spawn(end.run, daemon=True) for end in ends]

    async def step() -> None:
        await ends[0].call(ends[1].address, SERVE, 10.0)

    cost_us = await _lowest(step, rounds, repeats)
    for task, end in zip(tasks, ends, strict=True):
        await task.cancel()
        end.close()
    return cost_us


async def _codec(rounds: int, repeats: int) -> float:
    sealing = bus.MemoryBus("a", "a", metrics.Metrics(), bus.MemoryNetwork())

    async def step() -> None:
        wire.decode(sealing._encode_message(SERVE, "c-1", answer=False))

    return await _lowest(step, rounds, repeats)


async def _counter(rounds: int, repeats: int) -> float:
    counted = metrics.Metrics()

    async def step() -> None:
        counted.count("served", service="clapper-desk", urgency="normal")

    return await _lowest(step, rounds, repeats)


async def _histogram(rounds: int, repeats: int) -> float:
    counted = metrics.Metrics()

    async def step() -> None:
        counted.record("seconds", 0.02, service="rozlicz", urgency="normal")

    return await _lowest(step, rounds, repeats)


if __name__ == "__main__":
    sys.exit(main())
