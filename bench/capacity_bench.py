"""Measures the slopes that no other bench gives and sums up the design size.

The slopes of a leader are those that `bench/cell_bench.py` printed; they are
options here, so that a new run of that bench can be put in.
"""

import argparse
import sys
import time
import tracemalloc

import attrs
import msgspec

from pomelostair import cell
from pomelostair import clock
from pomelostair import configtable
from pomelostair import declaration
from pomelostair import directory
from pomelostair import messages
from pomelostair import wire

WORKERS = 26_000
TASKS = 330_000
TEAMS = 140
KINDS = 60
STARTS_PER_S = 3_300
CONFIG_CHANGES_PER_DAY = 80_000
SECONDS_PER_DAY = 86_400
CORE_SHARE = 0.011
CONTROL_BYTES_PER_S = 2_048
TABLE_WRITES_PER_S = 300
CONFIG_DEADLINE_S = 3.0
SAMPLE_TASKS = 20_000
SAMPLE_TARGETS = 2_000
CELL_SIZES = (16, 32, 64, 128)


@attrs.frozen
class LeaderSlopes:
    """What a leader spends, as `bench/cell_bench.py` printed it.

    Attributes:
        idle_share: Share of a core without workers or jobs.
        heartbeat_ms: Processor time of a heartbeat.
        heartbeat_bytes: Bytes of a heartbeat and its answer.
        start_ms: Processor time of a task from its submission to its end.
    """

    idle_share: float
    heartbeat_ms: float
    heartbeat_bytes: int
    start_ms: float


def bytes_per_task() -> float:
    """Returns the memory of one task in a leader's state, in bytes."""
    events = [
        cell.JobSubmitted(messages.JobSpec(f"job-{number}", "wear-watch"))
        for number in range(SAMPLE_TASKS)
    ]
    tracemalloc.start()
    state = cell.State()
    for event in events:
        state.apply(event)
        task = f"{event.spec.id}/0"
        state.apply(cell.TaskPlaced(task, 1, "agent-worker-1"))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / SAMPLE_TASKS


def announcement(number: int) -> messages.Announcement:
    """Returns the announcement of one of many minions."""
    return messages.Announcement(
        name=f"agent-minion-{number}",
        zone="patan",
        cell="main",
        state=messages.TargetState.READY,
        service="clapper-desk",
        slots=8,
        running=number % 8,
        waits_ms=(0.0, 0.0, 0.0, 0.0),
    )


def announcement_cost() -> tuple[float, float, float]:
    """Returns milliseconds, bytes and memory of one announced target.

    The time is that of decoding and learning; the socket is not among it.
    """
    sealed = [_sealed(announcement(n)) for n in range(SAMPLE_TARGETS)]
    known = directory.Directory(clock.MonotonicClock(), 2.0)
    tracemalloc.start()
    _learn(known, sealed)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.process_time()
    _learn(known, sealed)
    took_ms = (time.process_time() - started) * 1000 / SAMPLE_TARGETS
    return took_ms, len(sealed[0]), memory / SAMPLE_TARGETS


def configuration() -> declaration.VersionedConfiguration:
    """Returns a configuration of the design size."""
    teams = tuple(
        declaration.Team(f"team-{n}", 1.0, 100.0, 400_000, 8)
        for n in range(TEAMS)
    )
    urgencies = tuple(
        declaration.KindUrgency(f"kind-{n}", "batch") for n in range(KINDS)
    )
    declared = declaration.Declarations(teams=teams, urgencies=urgencies)
    return declaration.VersionedConfiguration(1, declared)


def decode_ms(data: bytes) -> float:
    """Returns the processor time of checking a whole configuration."""
    rounds = 50
    started = time.process_time()
    for _ in range(rounds):
        configtable.decode(data)
    return (time.process_time() - started) * 1000 / rounds


def show_leader(slopes: LeaderSlopes) -> None:
    """Prints what each cell size asks of a leader and the table."""
    print("workers/cell  cells  heartbeat every  starts/s  core at peak")
    beats = min(
        (CORE_SHARE - slopes.idle_share) * 1000 / slopes.heartbeat_ms,
        CONTROL_BYTES_PER_S / slopes.heartbeat_bytes,
    )
    for size in CELL_SIZES:
        cells = WORKERS / size
        starts = STARTS_PER_S / cells
        core = CORE_SHARE + starts * slopes.start_ms / 1000
        print(
            f"{size:12d} {cells:6.0f} {size / beats:14.1f} s"
            f" {starts:9.1f} {core:12.1%}"
        )
    print(f"heartbeats that a leader's budget allows: {beats:.1f}/s")
    for size in CELL_SIZES:
        window_s = WORKERS / size / TABLE_WRITES_PER_S
        print(
            f"cells of {size}: one write every {window_s:.1f} s each keeps"
            f" {TABLE_WRITES_PER_S} writes/s"
        )


def show_memory(per_task: float) -> None:
    """Prints the memory of a leader's state for each cell size."""
    print(f"task in a leader's state: {per_task:.0f} bytes")
    for size in CELL_SIZES:
        tasks = TASKS * size / WORKERS
        megabytes = tasks * per_task / 1_000_000
        print(f"cells of {size}: {tasks:.0f} tasks, {megabytes:.2f} MB")


def show_entry() -> None:
    """Prints what direct announcements would ask of an entry."""
    took_ms, size, memory = announcement_cost()
    print(
        f"announcement: {took_ms:.3f} ms without the socket, {size} bytes,"
        f" {memory:.0f} bytes of memory"
    )
    rate = WORKERS * 2
    print(
        f"{WORKERS} targets twice a second: {rate * took_ms / 1000:.1f} cores,"
        f" {rate * size / 1_000_000:.1f} MB/s,"
        f" {WORKERS * memory / 1_000_000:.0f} MB at each entry"
    )


def show_configuration() -> None:
    """Prints what whole configurations would ask of each process."""
    data = configtable.encode(configuration())
    took_ms = decode_ms(data)
    rate = CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY
    batched = min(rate, 1 / CONFIG_DEADLINE_S)
    print(f"configuration: {len(data)} bytes, {took_ms:.2f} ms to check")
    print(
        f"each of {rate:.2f} changes/s sent whole: {rate * len(data):.0f} B/s"
        f" and {rate * took_ms / 1000:.2%} of a core a process;"
        f" one each {CONFIG_DEADLINE_S:.0f} s: {batched * len(data):.0f} B/s"
    )


def _sealed(message: object) -> bytes:
    envelope = wire.Envelope(
        tag=wire.tag_of(message),
        sender="agent-minion-1",
        incarnation="0123456789abcdef",
        reply_to="tcp://127.0.0.1:20000",
        correlation="",
        answer=False,
        body=msgspec.Raw(wire.encode_sparse(message)),
    )
    return wire.encode(envelope)


def _learn(known: directory.Directory, sealed: list[bytes]) -> None:
    for data in sealed:
        envelope, message = wire.decode(data)
        known.update_target(message, envelope)


def main() -> int:
    """Runs the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--idle-share", type=float, default=0.006)
    parser.add_argument("--heartbeat-ms", type=float, default=0.846)
    parser.add_argument("--heartbeat-bytes", type=int, default=373)
    parser.add_argument("--start-ms", type=float, default=2.96)
    options = parser.parse_args()
    slopes = LeaderSlopes(
        options.idle_share,
        options.heartbeat_ms,
        options.heartbeat_bytes,
        options.start_ms,
    )
    show_leader(slopes)
    show_memory(bytes_per_task())
    show_entry()
    show_configuration()
    return 0


if __name__ == "__main__":
    sys.exit(main())
