"""Processor time of an entry and an agent for each request.

With `--profile` the two run under cProfile and their costliest functions are
printed; the times are then too long.
"""

import argparse
import contextlib
import os
import pathlib
import pstats
import tempfile
import time

import curio

from bench import requests_bench
from pomelostair_standins import site as site_module

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SETTLE_S = 4.0
DEADLINE_MS = 5000
TOP = 25


class CostSite(site_module.Site):
    """A site whose daemons may run under the profiler.

    Args:
        profile: Whether they do.
        shape: Processes of the site.
        directory: Where settings, logs and profiles are written.
    """

    def __init__(self, profile, shape, directory):
        super().__init__(shape, directory)
        self._profile = profile

    def _launch(self, role, name, addresses, arguments):
        if self._profile and "pomelostair.daemon" in arguments:
            path = str(self.profile(name))
            arguments = ["-m", "cProfile", "-o", path, *arguments]
        super()._launch(role, name, addresses, arguments)

    def profile(self, name) -> pathlib.Path:
        """Returns the file of a process's profile."""
        return self._directory / f"{name}.profile"


def processor_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def _load(entry: str, rate: float, seconds: float) -> None:
    case = requests_bench.Case("cost", 0.0, 0.0)
    generator = requests_bench.Generator(
        entry, "critical", rate, 1, case, 1, DEADLINE_MS
    )
    tally = await generator.run(seconds)
    print(f"{tally.in_time} of {tally.sent} in time")


def main() -> None:
    """Prints the processor time of each role for each request."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    shape = site_module.Shape(entries=1, minions=1, workers=0)
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        site = CostSite(options.profile, shape, directory)
        try:
            site.start()
            time.sleep(SETTLE_S)
            _measure(site, options.rate, options.seconds)
        finally:
            site.stop()
        if options.profile:
            for name in ("entry-1", "agent-minion-1"):
                stats = pstats.Stats(str(site.profile(name)))
                stats.sort_stats("tottime").print_stats(TOP)
                stats.sort_stats("cumtime").print_stats("pomelostair/", TOP)


def _measure(site: CostSite, rate: float, seconds: float) -> None:
    names = ("entry-1", "agent-minion-1")
    pids = {name: site.processes[name].pid for name in names}
    before = {name: processor_s(pid) for name, pid in pids.items()}
    curio.run(_load, site.entries[0], rate, seconds)
    requests = rate * (seconds + requests_bench.WARM_S)
    for name, pid in pids.items():
        spent_ms = (processor_s(pid) - before[name]) * 1000
        print(f"{name}: {spent_ms / requests:.3f} ms of processor a request")


if __name__ == "__main__":
    main()
