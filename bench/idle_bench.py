"""Measures what an idle site costs: processor, memory and bytes of control.

Compares each process with the targets of 1.1 % of a core, 256 MB and 2 KB a
second. Bytes are those that the process sent over all its TCP connections.
"""

import argparse
import os
import pathlib
import statistics
import sys
import tempfile
import time

import attrs

from pomelostair_standins import demo
from pomelostair_standins import site

CORE_SHARE_LIMIT = 0.011
MEMORY_LIMIT_MB = 256
BYTES_LIMIT = 2048
SETTLE_S = 5.0
_TICKS = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Usage:
    """What a process used so far.

    Attributes:
        cpu_s: Processor seconds.
        memory_mb: Resident megabytes.
        written: Bytes given to the system's write calls, by `/proc`.
    """

    cpu_s: float
    memory_mb: float
    written: int


def read(pid: int) -> Usage:
    """Returns what a process used so far."""
    directory = pathlib.Path("/proc", str(pid))
    fields = (directory / "stat").read_text().rpartition(") ")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((directory / "statm").read_text().split()[1])
    io = dict(
        line.split(": ") for line in (directory / "io").read_text().splitlines()
    )
    memory_mb = pages * os.sysconf("SC_PAGE_SIZE") / 1e6
    return Usage(ticks / _TICKS, memory_mb, int(io["wchar"]))


def main() -> int:
    """Runs the benchmark; returns 1 if a target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    shape = site.Shape(entries=2, minions=2, workers=2)
    with tempfile.TemporaryDirectory(prefix="pomelostair-") as directory:
        running = site.Site(shape, directory)
        try:
            running.start()
            demo.Demo(running).run_work()
            time.sleep(SETTLE_S)
            return _measure(running, options.seconds)
        finally:
            running.stop()


def _measure(running: site.Site, seconds: float) -> int:
    daemons = {
        name: process
        for name, process in running.processes.items()
        if process.role in site.DAEMON_ROLES
    }
    before = {name: read(process.pid) for name, process in daemons.items()}
    time.sleep(seconds)
    after = {name: read(process.pid) for name, process in daemons.items()}
    print("process            core %   memory MB   written B/s")
    missed = 0
    shares = []
    for name in daemons:
        share = (after[name].cpu_s - before[name].cpu_s) / seconds
        rate = (after[name].written - before[name].written) / seconds
        memory = after[name].memory_mb
        shares.append(share)
        missed += share > CORE_SHARE_LIMIT or memory > MEMORY_LIMIT_MB
        missed += rate > BYTES_LIMIT
        print(f"{name:<18} {share:7.2%} {memory:10.1f} {rate:12.0f}")
    print(f"median share of a core {statistics.median(shares):.2%}")
    print(
        f"targets {CORE_SHARE_LIMIT:.1%} of a core, {MEMORY_LIMIT_MB} MB, "
        f"{BYTES_LIMIT} B/s: missed {missed}"
    )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
