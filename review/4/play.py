"""Case 4: a minion crashes under lasting tasks that request no resources."""

import pathlib
import time

from review.standins import case
from review.standins import site as site_module

# As many as the site file's widest submission of this kind has.
COUNT = 12
LASTING = {"count": COUNT, "perpetual": True, "estimateMs": 500}
SMALL = {"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 200}
NAME = "c" * 16
CRASH_AFTER_S = 0.2
DOWN_S = 3.0
# A lasting task may have nothing running for 3 s, from 6 s after its last run.
WATCHED_S = 25.0


def play(site: site_module.Site, trouble: bool) -> str | None:
    """Crashes the minion of the lasting tasks, and brings it back."""
    site.start(site_module.route("fit", site_module.PREFIX))
    time.sleep(3.0)
    status = site.submit(0, NAME, {}, LASTING)
    assert status == 200, "the submission was not accepted"
    site_module.wait_until(
        lambda: len(_starts(site)) == COUNT, 20.0, "not all tasks have started"
    )
    runs_at_first = _starts(site)
    if trouble:
        machines = [int(row[1].split("-")[1]) for row in runs_at_first]
        machine = max(set(machines), key=machines.count)
        time.sleep(CRASH_AFTER_S)
        killed_at = time.time()
        site.kill(f"minion-{machine}")
        time.sleep(DOWN_S)
        site.start_minion(machine)
        lost = {
            row[3]
            for row in runs_at_first
            if row[1].startswith(f"i-{machine}-")
        }
    else:
        killed_at = time.time()
        time.sleep(CRASH_AFTER_S + DOWN_S)
        lost = set()
    time.sleep(WATCHED_S - 5.0)
    site.submit(1, "d" * 16, {"work_ms": 200}, SMALL)
    time.sleep(5.0)
    site.call(0, "GET", f"{site_module.PREFIX}{NAME}")
    site.call(0, "GET", f"{site_module.PREFIX}{'d' * 16}")
    crashes = [
        (line["process"], line["asctime"])
        for number in range(len(site.edges))
        for line in site.log_lines(f"edge-{number}", "PLUGIN_CRASHED")
    ]
    site.record.line(f"the part that leads has crashed: {crashes}")
    again = {row[3] for row in _starts(site) if row[0] > killed_at}
    missing = lost - again
    if not missing:
        return None
    return (
        f"{len(missing)} lasting tasks had nothing running for "
        f"{WATCHED_S:.0f} s after their minion was back, with all capacity "
        f"free; the part that leads has crashed {len(crashes)} times"
    )


def _starts(site: site_module.Site) -> list[list]:
    return [
        row
        for row in site.history()
        if row[2] == "start" and row[3].startswith(NAME)
    ]


if __name__ == "__main__":
    case.run(pathlib.Path(__file__).parent, play, edges=2, sides=8)
