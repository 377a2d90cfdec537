"""Keeps filling work from slowing the serving tasks beside it.

Load figures are rough and cover the last half second. When the latency of a
serving task comes near its target, the filling attempts on its worker are
slowed at once and by much; they get their share back in small steps.
"""

from pomelostair import fleet
from pomelostair import metrics as metrics_module

FULL = 100
# Latency over target from which filling attempts are slowed.
HIGH = 0.85
# Latency over target below which they are given more.
LOW = 0.65
# Seconds between two steps: an order takes effect after 100 ms and shows in
# the figures half a second later.
STEP_S = 0.8
# Factor on the pace in a step down, and percent added in a step up.
DOWN = 0.4
UP = 15
# Pace below which an attempt is stopped altogether.
LEAST = 10
# Part of the budget for further filling work that a step up gives back.
BUDGET_UP = 0.1
MIN_BUDGET = 0.1


class Pacer:
    """Decides the paces on one worker at a time.

    Args:
        metrics: Where steps are counted.
    """

    def __init__(self, metrics: metrics_module.Metrics):
        self._metrics = metrics

    def decide(
        self, worker: fleet.Worker, now: float
    ) -> list[tuple[fleet.Placement, int]]:
        """Returns the new paces of filling attempts, in percent.

        Args:
            worker: Worker with a fresh report.
            now: Monotonic seconds.
        """
        ratio = worst_ratio(worker)
        fillers = [
            p
            for p in worker.placements.values()
            if p.task.stage.filler and p.standing is fleet.Standing.RUNNING
        ]
        if ratio is None:
            worker.budget = 1.0
            return [(p, FULL) for p in fillers if p.pace < FULL]
        if now - worker.budget_changed < STEP_S:
            return []
        if ratio >= HIGH and fillers:
            worker.budget_changed = now
            worker.budget = max(MIN_BUDGET, worker.budget * DOWN)
            self._metrics.count("pace_steps", direction="down")
            return [(p, _lower(p.pace)) for p in fillers if p.pace > 0]
        if ratio <= LOW:
            worker.budget_changed = now
            worker.budget = min(1.0, worker.budget + BUDGET_UP)
            slowed = [p for p in fillers if p.pace < FULL]
            if slowed:
                self._metrics.count("pace_steps", direction="up")
            return [(p, min(FULL, p.pace + UP)) for p in slowed]
        return []


def worst_ratio(worker: fleet.Worker) -> float | None:
    """Returns the highest latency over target, None without serving tasks."""
    ratios = [
        p.load / p.task.stage.latency_target_ms
        for p in worker.placements.values()
        if p.task.stage.latency_target_ms > 0 and p.seen
    ]
    return max(ratios, default=None)


def _lower(pace: int) -> int:
    lowered = int(pace * DOWN)
    return lowered if lowered >= LEAST else 0
