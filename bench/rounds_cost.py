"""Processor time of the leader's decisions, by the size of the cell.

Prints the time of a round that places nothing against the number of waiting
tasks, of a round for each task that it places, and of a heartbeat for each
task that it shows.
"""

import statistics
import sys
import time

from pomelostair import cell as cell_module
from pomelostair import cellview
from pomelostair import declaration
from pomelostair import messages
from pomelostair import metrics as metrics_module
from pomelostair import scheduler as scheduler_module
from pomelostair import settings
from pomelostair import termstate

CAPACITY = messages.Size(32.0, 125_000, 0)
TASKS_EACH = 32
REPEATS = 5
BEATS = 60
METRICS = metrics_module.Metrics()


class Bench:
    """A cell whose workers run what they are given at once.

    Args:
        workers: Number of workers.
    """

    def __init__(self, workers: int):
        self._now = 1.0
        self._state = cell_module.State()
        self._scheduler = scheduler_module.Scheduler(
            settings.Timing(), METRICS, 0.0
        )
        self._workers = {
            f"worker-{index}": termstate.Worker(
                "", self._heartbeat(f"worker-{index}", ()), 1.0
            )
            for index in range(workers)
        }

    def _heartbeat(
        self, name: str, usage: tuple[messages.TaskUsage, ...]
    ) -> messages.Heartbeat:
        return messages.Heartbeat(
            name,
            "zone",
            "rack",
            CAPACITY,
            messages.TargetState.READY,
            usage,
            (),
            self._now * 1000,
        )

    def submit(self, tasks: int) -> None:
        """Submits tasks of one core."""
        for number in range(0, tasks, 1000):
            size = messages.Size(1.0, 1000, 0)
            count = min(1000, tasks - number)
            self._state.apply(
                cell_module.JobSubmitted(
                    messages.JobSpec(
                        f"j{len(self._state.jobs)}",
                        f"kind-{number % 5}",
                        tasks=count,
                        size=size,
                    )
                )
            )

    def round(self) -> tuple[float, int]:
        """Runs a round; returns its seconds and the number placed."""
        given = cellview.RoundInputs(
            self._state,
            (),
            self._workers,
            declaration.Declarations(),
            self._now,
        )
        started = time.process_time()
        plan = self._scheduler.plan(given)
        spent = time.process_time() - started
        for event in plan.events:
            self._state.apply(event)
        return spent, len(plan.events)

    def beat(self) -> tuple[float, int]:
        """Takes a heartbeat of one worker; returns seconds and its tasks."""
        self._now += 0.5
        name = "worker-0"
        usage = tuple(
            messages.TaskUsage(
                task.id,
                task.attempt,
                messages.Size(1.0, 900, 0),
                0.5,
                1.0,
                self._now * 1000 - 400,
                task.spec.size,
            )
            for task in self._state.placed_on(name)
        )
        heartbeat = self._heartbeat(name, usage)
        started = time.process_time()
        self._scheduler.observe(heartbeat, self._state, self._now)
        self._scheduler.reply(heartbeat, self._state, 1, self._now)
        return time.process_time() - started, len(usage)


def main() -> None:
    """Prints the costs."""
    for workers in (11, 44, 128):
        bench = Bench(workers)
        bench.submit(workers * TASKS_EACH)
        spent, placed = 0.0, 0
        while True:
            seconds, count = bench.round()
            if not count:
                break
            spent += seconds
            placed += count
        line = f"{workers} workers: {spent / placed * 1e6:.0f} us a placement"
        beats = [bench.beat() for _ in range(BEATS)]
        beat_s = statistics.median(seconds for seconds, _ in beats)
        line += f", {beat_s * 1e6:.0f} us a heartbeat of {beats[0][1]} tasks"
        for waiting in (100, 1000, 10_000):
            idle = Bench(workers)
            idle.submit(workers * TASKS_EACH)
            while idle.round()[1]:
                pass
            idle.submit(waiting)
            best = min(idle.round()[0] for _ in range(REPEATS))
            line += f", {best * 1e3:.1f} ms a full round of {waiting} waiting"
        sys.stdout.write(line + "\n")


if __name__ == "__main__":
    main()
