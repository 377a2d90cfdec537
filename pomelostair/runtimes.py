"""Ratio of true to estimated run times, learned by queue from ends.

Estimates of callers may be far off, and mostly those of one queue are so in the
same direction. The ratio of a queue is the median over its recent pipelines, so
that neither a single wide pipeline nor a few slow workers decide it. It counts
once several pipelines are known, and stays within bounds.
"""

import collections
import statistics

from pomelostair import fleet
from pomelostair import pipeline

# Pipelines of a queue that are remembered, and how many must be known for its
# ratio to count.
MAX_PIPELINES = 24
MIN_PIPELINES = 5
# Ends of a pipeline that are remembered.
MAX_ENDS = 5
MAX_QUEUES = 64
# Bounds of a ratio. Estimates on the platform are off by up to 0.9.
MIN_RATIO = 0.25
MAX_RATIO = 4.0
# Ratios between these count as 1. They are within the noise of single run times
# and delays, and would only change the order of the pipelines.
USUAL_RATIOS = (0.8, 1.25)
# Time from the decision to start until the attempt runs, and from its end until
# the leader learns of it, in calm.
DELAY_S = 0.15
# Shortest estimate that is compared. The delays outweigh shorter runs.
MIN_ESTIMATE_MS = 1000


class RunTimes:
    """Learns how long the tasks of each queue run, in one term of a leader.

    Args:
        enabled: Whether anything is learned; otherwise all ratios are 1.
        remote_factor: Factor on the run time far from the data.
    """

    def __init__(self, enabled: bool = False, remote_factor: float = 1.0):
        self._enabled = enabled
        self._remote_factor = remote_factor
        # Ratios of the ended attempts by queue and pipeline, oldest first.
        self._ends: collections.OrderedDict[
            str, collections.OrderedDict[str, list[float]]
        ] = collections.OrderedDict()
        self._ratios: dict[str, float] = {}

    def ratio(self, queue: str) -> float:
        """Returns the factor on the estimates of a queue, 1 if unknown."""
        return self._ratios.get(queue, 1.0)

    def work_s(self, task: pipeline.Task) -> float:
        """Returns the expected run time of a task near its data."""
        return (
            task.stage.estimate_ms
            / 1000
            * self.ratio(task.pipeline.declaration.queue)
        )

    def record_done(self, placement: fleet.Placement, now: float) -> None:
        """Learns from an attempt that is done.

        Args:
            placement: The attempt, before it is removed from its worker.
            now: Monotonic seconds.
        """
        if not self._enabled or not _shows_run_time(placement):
            return
        task = placement.task
        stage = task.stage
        worker = placement.worker
        known_s = placement.known_run_ms / 1000
        elapsed_s = now - placement.ordered_s
        if elapsed_s > 2 * known_s:
            # Orders or reports were late, so that the run time is not known.
            return
        run_s = max(known_s, elapsed_s - DELAY_S)
        estimated_s = stage.estimate_ms / 1000
        if worker.is_far(stage):
            estimated_s *= self._remote_factor
        estimated_s /= placement.expected_speed
        ratio = min(max(run_s / estimated_s, MIN_RATIO), MAX_RATIO)
        self._add(task.pipeline.declaration.queue, task.pipeline.id, ratio)

    def _add(self, queue: str, pipeline_id: str, ratio: float) -> None:
        by_pipeline = self._ends.setdefault(queue, collections.OrderedDict())
        self._ends.move_to_end(queue)
        if len(self._ends) > MAX_QUEUES:
            dropped, _ = self._ends.popitem(last=False)
            self._ratios.pop(dropped, None)
        ends = by_pipeline.setdefault(pipeline_id, [])
        ends.append(ratio)
        del ends[:-MAX_ENDS]
        if len(by_pipeline) > MAX_PIPELINES:
            by_pipeline.popitem(last=False)
        if len(by_pipeline) >= MIN_PIPELINES:
            median = statistics.median(
                map(statistics.median, by_pipeline.values())
            )
            lowest, highest = USUAL_RATIOS
            is_usual = lowest <= median <= highest
            self._ratios[queue] = 1.0 if is_usual else median


# Knows nothing: all estimates are taken as they are.
UNKNOWN = RunTimes()


def _shows_run_time(placement: fleet.Placement) -> bool:
    """Returns whether only its task and its worker decided its run time.

    A gang that is spread over racks may be slower for that reason, and fillers
    on an overcommitted worker share the time that is left over.
    """
    stage = placement.task.stage
    return (
        placement.shows_run_time
        and not placement.is_adopted
        and not stage.lasting
        and stage.estimate_ms >= MIN_ESTIMATE_MS
        and not (stage.gang and stage.same_rack)
        and not (stage.filler and placement.worker.unused_millicores < 0)
    )
