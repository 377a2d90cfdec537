"""Batch throughput and slowdown against first-fit and best-fit.

Eleven workers of 32 cores and 125 GB, three to a rack, on a manual clock,
with kinds that disturb each other and declared sizes that are far off. Prints
one line for each scheduler, with ratios to first-fit by declared size.
"""

import argparse
import random
import sys

import attrs
import taskbaselines as baselines
import taskfleet as fleet_module

from pomelostair import messages
from pomelostair import metrics as metrics_module
from pomelostair import scheduler as scheduler_module
from pomelostair import settings
from pomelostair_standins import machine

RUN_S = 300.0
LAG_MS = 3000.0
SEEDS = (1, 2, 3)
CRITICAL_TASKS = 12
CRITICAL_EVERY_S = 12.0
CRITICAL_LIFE_S = 120.0
BATCH_JOBS = 200
BATCH_TASKS = 10
URGENT_EVERY_S = 2.0

BEHAVIOUR = machine.Behaviour(
    kinds={
        "fit-check": machine.KindBehaviour(cores=0.6, memory=0.7),
        "wear-watch": machine.KindBehaviour(cores=0.5, memory=0.6),
        "netting": machine.KindBehaviour(cores=0.55, memory=0.5, run=1.4),
        "valuation": machine.KindBehaviour(cores=1.3, memory=0.7, run=0.6),
        "recast": machine.KindBehaviour(cores=0.7, memory=0.8),
    },
    interference={
        "fit-check": {"wear-watch": 2.0, "netting": 0.3, "recast": 0.2},
        "netting": {"valuation": 1.5, "netting": 0.2},
        "valuation": {"netting": 1.5, "wear-watch": 0.3},
        "wear-watch": {"wear-watch": 0.4},
        "recast": {"wear-watch": 0.6},
    },
    lag_ms=LAG_MS,
)

SIZES = {
    "wear-watch": (messages.Size(4, 6_000), 40.0),
    "netting": (messages.Size(6, 16_000), 60.0),
    "valuation": (messages.Size(2, 20_000), 30.0),
    "recast": (messages.Size(8, 10_000), 80.0),
}


@attrs.define
class Stream:
    """Submits urgent and latency-critical tasks at intervals."""

    fleet: fleet_module.Fleet
    sent: int = 0
    critical: int = 0

    def __call__(self) -> None:
        """Submits what is due."""
        self._submit_critical()
        if self.fleet.now < self.sent * URGENT_EVERY_S:
            return
        self.sent += 1
        self.fleet.submit(
            messages.JobSpec(
                f"urgent-{self.sent}",
                "settle",
                urgency=messages.Urgency.URGENT,
                size=messages.Size(2, 2_000),
                run_s=5.0,
            )
        )

    def _submit_critical(self) -> None:
        if self.fleet.now < self.critical * CRITICAL_EVERY_S:
            return
        self.critical += 1
        self.fleet.submit(
            messages.JobSpec(
                f"visit-{self.critical}",
                "fit-check",
                urgency=messages.Urgency.CRITICAL,
                size=messages.Size(4, 8_000),
                run_s=CRITICAL_LIFE_S,
            )
        )


def run(kind: type[scheduler_module.Scheduler], seed: int, run_s: float):
    """Returns the tally of one scheduler on one workload."""
    scheduler = kind(settings.Timing(), metrics_module.Metrics(), 0.0)
    fleet = fleet_module.Fleet(scheduler, BEHAVIOUR)
    fleet.submit(
        messages.JobSpec(
            "desk",
            "fit-check",
            urgency=messages.Urgency.CRITICAL,
            tasks=CRITICAL_TASKS,
            size=messages.Size(4, 8_000),
            run_s=0,
            survive=True,
        )
    )
    generator = random.Random(seed)
    for number in range(BATCH_JOBS):
        name = generator.choice(sorted(SIZES))
        size, run_time_s = SIZES[name]
        fleet.submit(
            messages.JobSpec(
                f"{name}-{number}",
                name,
                tasks=BATCH_TASKS,
                size=size,
                run_s=run_time_s,
            )
        )
    return fleet.run(run_s, Stream(fleet))


def quantile(values: list[float], share: float) -> float:
    """Returns a quantile of values, 0 for none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def main() -> None:
    """Runs all schedulers on the same workloads."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=RUN_S)
    parser.add_argument("--seeds", type=int, nargs="*", default=SEEDS)
    options = parser.parse_args()
    kinds = {
        "first-fit": baselines.FirstFit,
        "best-fit": baselines.BestFit,
        "pomelostair": scheduler_module.Scheduler,
    }
    for seed in options.seeds:
        base = 0.0
        for name, kind in kinds.items():
            tally = run(kind, seed, options.seconds)
            base = base or tally.work
            mean = sum(tally.slowdowns) / len(tally.slowdowns)
            line = (
                f"seed {seed} {name:12} batch {tally.work:8.0f} core-s "
                f"ratio {tally.work / base:4.2f} "
                f"completed {tally.completed} "
                f"slowdown mean {mean:4.2f} "
                f"p99 {quantile(tally.slowdowns, 0.99):4.2f} "
                f"urgent wait p99 {quantile(tally.waits, 0.99):6.2f} s "
                f"of {len(tally.waits)} evictions {tally.evictions} "
                f"wasted {tally.wasted:5.0f} worst use {tally.worst:4.2f}"
            )
            sys.stdout.write(line + "\n")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
