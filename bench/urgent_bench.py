"""Start of urgent tasks during a flood of batch, over real processes.

Two workers, each with an agent, one entry and the platform's stand-in. Prints
quantiles of the time from submission to start, as the workers recorded it.
"""

import json
import sys
import time
from urllib import request

from pomelostair_standins import site as site_module

FLOOD_JOBS = 10
FLOOD_TASKS = 100
URGENT_TASKS = 40
URGENT_EVERY_S = 0.25
READY_S = 10.0
SETTLE_S = 5.0
TIMEOUT_S = 10.0


def call(address: str, method: str, target: str, body: dict | None = None):
    """Sends one request and returns the decoded answer, None if refused."""
    data = None if body is None else json.dumps(body).encode()
    outgoing = request.Request(
        f"http://{address}{target}", data=data, method=method
    )
    try:
        with request.urlopen(outgoing, timeout=TIMEOUT_S) as response:
            return json.load(response)
    except OSError:
        return None


def submit(address: str, **job) -> None:
    """Submits a job until it is accepted."""
    while call(address, "POST", "/v1/jobs", job) is None:
        time.sleep(0.1)


def main() -> None:
    """Runs the flood and prints the quantiles."""
    shape = site_module.Shape(entries=1, minions=0, workers=2)
    with site_module.running(shape) as site:
        time.sleep(READY_S)
        for number in range(FLOOD_JOBS):
            size = {"cores": 4, "memory_mb": 1000}
            submit(
                site.balancer,
                id=f"flood-{number}",
                kind="wear-watch",
                tasks=FLOOD_TASKS,
                size=size,
                run_s=5,
            )
        time.sleep(SETTLE_S)
        sent: dict[str, float] = {}
        for number in range(URGENT_TASKS):
            sent[f"urgent-{number}/0"] = time.monotonic()
            submit(
                site.balancer,
                id=f"urgent-{number}",
                kind="settle",
                urgency="urgent",
                size={"cores": 2, "memory_mb": 1000},
                run_s=1,
            )
            time.sleep(URGENT_EVERY_S)
        time.sleep(SETTLE_S)
        waits = []
        for name in ("worker-1", "worker-2"):
            address = site.processes[name].addresses["http"]
            for row in call(address, "GET", "/history") or ():
                if row["action"] == "start" and row["task"] in sent:
                    waits.append(row["at_s"] - sent[row["task"]])
    waits.sort()
    sys.stdout.write(
        f"{len(waits)} of {URGENT_TASKS} urgent tasks started; wait median "
        f"{waits[len(waits) // 2]:.2f} s, longest {waits[-1]:.2f} s\n"
    )


if __name__ == "__main__":
    main()
