"""Measures the time from an accepted change to in force at every process.

Changes go on while agents and an entry are killed and frozen and the table is
down between changes. A process that was dead or frozen when a change was
accepted counts from its start or thaw. Compares with the target of 3 s.
"""

import argparse
import datetime
import json
import sys
import time

import attrs

from pomelostair import entryclient
from pomelostair_standins import site

TARGET_S = 3.0
PAUSE_S = 0.25
AWAY_S = 1.5
SETTLE_S = 4.0
READY_TIMEOUT_S = 20.0
ROLES = ("entry", "agent")


@attrs.define
class Record:
    """What happened in one run; times are Unix seconds.

    Attributes:
        accepted: When each version was accepted, as its operator saw it.
        away: Times in which a process was dead or frozen, by name.
        refused: Changes that were refused.
    """

    accepted: dict[int, float] = attrs.field(factory=dict)
    away: dict[str, list[tuple[float, float]]] = attrs.field(factory=dict)
    refused: int = 0


def change(running: site.Site, record: Record, number: int) -> None:
    """Makes one change at one of the entries."""
    address = running.entries[number % len(running.entries)]
    client = entryclient.EntryClient(address)
    result = client.run(f"set limit queue_per_slot {1000 + number}")
    match result:
        case entryclient.Answered(body=body):
            record.accepted[body["version"]] = time.time()
        case _:
            record.refused += 1


def disturb(running: site.Site, record: Record, number: int) -> None:
    """Freezes or kills one process while a change is made."""
    names = [p.name for p in running.processes.values() if p.role in ROLES]
    name = names[number % len(names)]
    begun = time.time()
    other = next(
        index
        for index, entry in enumerate(running.entries)
        if running.processes[name].addresses.get("http") != entry
    )
    if number % 2:
        running.freeze(name)
    else:
        running.kill(name)
    change(running, record, other)
    time.sleep(AWAY_S)
    if number % 2:
        running.thaw(name)
    else:
        running.restart(name)
    record.away.setdefault(name, []).append((begun, time.time()))


def delays(running: site.Site, record: Record) -> dict[str, list[float]]:
    """Returns the delays of all versions by process, in seconds."""
    found = {}
    for process in running.processes.values():
        if process.role not in ROLES:
            continue
        applied = _applied(running.log(process.name))
        away = record.away.get(process.name, [])
        found[process.name] = [
            _delay(version, accepted, applied, away)
            for version, accepted in record.accepted.items()
        ]
    return found


def _delay(
    version: int,
    accepted: float,
    applied: list[tuple[float, int]],
    away: list[tuple[float, float]],
) -> float:
    since = accepted
    for begun, ended in away:
        if begun <= accepted <= ended:
            since = ended
    times = [
        at for at, applied_version in applied if applied_version >= version
    ]
    return max(0.0, min(times, default=float("inf")) - since)


def _applied(text: str) -> list[tuple[float, int]]:
    found = []
    for line in text.splitlines():
        if '"CONFIG_APPLIED"' not in line:
            continue
        fields = json.loads(line)
        at = datetime.datetime.strptime(
            fields["asctime"], "%Y-%m-%d %H:%M:%S,%f"
        )
        found.append((at.timestamp(), fields["version"]))
    return found


def wait_until_ready(running: site.Site) -> None:
    """Waits until every process has reported its version."""
    client = entryclient.EntryClient(running.balancer)
    wanted = sum(p.role in ROLES for p in running.processes.values())
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        result = client.run("config status")
        if (
            isinstance(result, entryclient.Answered)
            and len(result.body["rows"]) >= wanted
        ):
            return
        time.sleep(0.2)


def main() -> int:
    """Runs the benchmark; returns 1 if the target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=120)
    parser.add_argument("--disturbances", type=int, default=12)
    options = parser.parse_args()
    record = Record()
    shape = site.Shape(entries=2, minions=2, workers=2, timing={"drain_s": 2.0})
    with site.running(shape) as running:
        wait_until_ready(running)
        every = max(1, options.changes // options.disturbances)
        for number in range(options.changes):
            if number % every == every - 1:
                disturb(running, record, number // every)
            else:
                change(running, record, number)
            time.sleep(PAUSE_S)
        time.sleep(SETTLE_S)
        found = delays(running, record)
    return report(record, found)


def report(record: Record, found: dict[str, list[float]]) -> int:
    """Prints the delays and compares them with the target."""
    everywhere = sorted(
        max(column) for column in zip(*found.values(), strict=True)
    )
    single = sorted(delay for column in found.values() for delay in column)
    print(f"changes accepted {len(record.accepted)}, refused {record.refused}")
    print(f"processes {len(found)}, disturbed {sorted(record.away)}")
    for name, values in (("one process", single), ("everywhere", everywhere)):
        shown = [f"{_quantile(values, q) * 1000:.0f}" for q in (0.5, 0.99, 1)]
        print(f"in force at {name}: p50/p99/max {'/'.join(shown)} ms")
    missed = everywhere[-1] > TARGET_S
    print(f"target {TARGET_S * 1000:.0f} ms: {'missed' if missed else 'kept'}")
    return int(missed)


def _quantile(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(share * len(values)))]


if __name__ == "__main__":
    sys.exit(main())
