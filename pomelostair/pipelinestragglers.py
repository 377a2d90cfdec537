"""Attempts that take far longer than others of their stage.

Answers the pattern of workers that turn slow for some seconds and still answer
all calls: the last task of a stage holds up its whole pipeline. Declared
durations are far off, so that an attempt is compared with those of its stage
that are done. A stage that allows copies gets one; another attempt starts again
elsewhere, if that is sooner.
"""

import statistics

from pomelostair import fleet
from pomelostair import pipeline

# Attempts of a stage that must be done before others are compared with them.
LEAST_DONE = 2
# Expected duration over the median of the others that makes a straggler. Sizes
# within a stage differ by a third at most for nine tasks out of ten.
FACTOR = 2.2
# Time in seconds that a new attempt loses to orders and reports.
RESTART_S = 0.5
# Remaining time over that of a new attempt which makes it worth while.
GAIN = 1.5
# Stragglers on a worker, of different pipelines, that make it suspect.
SLOW_WORKER = 2
MAX_STAGES = 2000

Step = tuple[str, int, int]


class Stragglers:
    """Durations of one term of a leader."""

    def __init__(self):
        self._done: dict[Step, list[float]] = {}

    def note_done(self, task: pipeline.Task, took_s: float) -> None:
        """Takes in how long an attempt took that is done."""
        while len(self._done) >= MAX_STAGES:
            del self._done[next(iter(self._done))]
        self._done.setdefault(_step(task), []).append(took_s)

    def forget(self, pipeline_id: str) -> None:
        """Forgets a pipeline."""
        for step in [s for s in self._done if s[0] == pipeline_id]:
            del self._done[step]

    def is_straggling(self, placement: fleet.Placement, now: float) -> bool:
        """Returns whether a new attempt would be done much sooner.

        Args:
            placement: An attempt.
            now: Monotonic seconds.
        """
        task = placement.task
        stage = task.stage
        done = self._done.get(_step(task), ())
        if (
            len(done) < LEAST_DONE
            or stage.lasting
            or stage.filler
            or stage.gang
            or placement.standing is not fleet.Standing.RUNNING
        ):
            return False
        typical_s = statistics.median(done)
        ran_s = now - placement.ordered
        expected_s = ran_s * 100 / max(placement.percent, 1.0)
        if ran_s < typical_s or expected_s < FACTOR * typical_s:
            return False
        again_s = typical_s + RESTART_S
        if stage.checkpointing:
            again_s -= typical_s * placement.percent / 100
        return expected_s - ran_s > GAIN * again_s


def _step(task: pipeline.Task) -> Step:
    return task.pipeline.id, task.occurrence, task.stage_number
