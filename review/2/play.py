"""Case 2: the leader restarts while the store turns its machine away."""

import pathlib
import signal
import time

from review.standins import case
from review.standins import site as site_module

SUBMISSIONS = 8
STEP = {"count": 3, "cpu": 1000, "memMb": 512, "estimateMs": 70_000}
SPEC = {"work_ms": 70_000}
# The site file's longest time for which the store turns machines away.
TURNED_AWAY_S = 9.0
RESTART_S = 0.1
LEADS_S = 1.5
MAX_TRIES = 4
PAUSE_S = 4.0
WATCHED_S = 8.0


def play(site: site_module.Site, trouble: bool) -> str | None:
    """Kills the leader twice while the store turns its machine away."""
    site.start(site_module.route("fit", site_module.PREFIX))
    time.sleep(3.0)
    for number in range(SUBMISSIONS):
        status = site.submit(0, f"{number:016x}", SPEC, STEP)
        assert status == 200, "a submission was not accepted"
    site_module.wait_until(
        lambda: len(site.history()) == SUBMISSIONS * STEP["count"],
        10.0,
        "not all tasks have started",
    )
    time.sleep(2.0)
    if trouble:
        _trouble(site)
    else:
        time.sleep(TURNED_AWAY_S)
    time.sleep(WATCHED_S)
    twice = _overlaps(site.history())
    if not twice:
        return None
    return f"{len(twice)} tasks ran twice at the same time: {sorted(twice)}"


def _trouble(site: site_module.Site) -> None:
    """Kills the leader twice while the store turns its machine away.

    If another entry takes the lease at once, the store turns away the machine
    of that one later.
    """
    for _ in range(MAX_TRIES):
        leader = _leader(site)
        begin = time.monotonic()
        site.signal(f"proxy-{leader}", signal.SIGUSR2)
        time.sleep(0.1)
        _restart(site, leader)
        time.sleep(LEADS_S)
        if _leader(site) == leader:
            time.sleep(begin + TURNED_AWAY_S - 0.15 - time.monotonic())
            site.kill(f"edge-{leader}")
            time.sleep(begin + TURNED_AWAY_S - time.monotonic())
            site.signal(f"proxy-{leader}", signal.SIGUSR2)
            time.sleep(RESTART_S)
            site.start_daemon("edge", leader)
            return
        site.record.line("another entry leads")
        site.signal(f"proxy-{leader}", signal.SIGUSR2)
        time.sleep(PAUSE_S)


def _restart(site: site_module.Site, number: int) -> None:
    site.kill(f"edge-{number}")
    time.sleep(RESTART_S)
    site.start_daemon("edge", number)


def _leader(site: site_module.Site) -> int:
    acquired = [
        (line["epoch"], number)
        for number in range(len(site.edges))
        for line in site.log_lines(f"edge-{number}", "LEASE_ACQUIRED")
    ]
    return max(acquired)[1]


def _overlaps(history: list[list]) -> set[str]:
    """Returns the tasks of which two runs were going on at the same time."""
    running: dict[str, set[tuple[str, int]]] = {}
    twice = set()
    for _, minion, what, task, number in sorted(history):
        runs = running.setdefault(task, set())
        if what == "start":
            runs.add((minion, number))
            if len(runs) > 1:
                twice.add(task)
        elif what != "noted":
            runs.discard((minion, number))
    return twice


if __name__ == "__main__":
    case.run(
        pathlib.Path(__file__).parent, play, edges=3, sides=11, proxied=True
    )
