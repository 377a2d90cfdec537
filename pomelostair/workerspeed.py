"""Speeds of workers relative to others, learned from the progress of attempts.

Each report lists the progress of what runs on a worker, by the worker's clock.
An attempt at full pace is compared with the median of the attempts of its stage
on other workers, or of its image where the stage is too small. The speed of a
worker is the median over several pipelines, so that one whose tasks report
false progress, or whose estimates are wrong, teaches nothing by itself.

No speed exceeds 1, so that false progress attracts no work. What was learned
is forgotten after `FORGET_S`, so that a worker without work is tried again, and
with the worker.
"""

import collections
import statistics

import attrs

from pomelostair import events
from pomelostair import fleet
from pomelostair import log
from pomelostair import metrics as metrics_module
from pomelostair import pacing
from pomelostair import pipeline

# Speed below which a worker counts as slow, and from which it no longer does.
# Smaller differences are within the noise of the run times of equal tasks.
SLOW_BELOW = 0.75
FAST_FROM = 0.85
# Lowest speed. Slow workers of the platform are up to 8 times as slow.
MIN_SPEED = 1 / 16
# Speed of a cold worker. It is not learned: a worker is cold for seconds only.
COLD_SPEED = 0.5
# Shortest time and progress from which a rate is computed: progress is reported
# in whole percents.
MIN_SPAN_MS = 300
MIN_PERCENT = 3.0
# Time after which a rate is measured anew, so that changes are seen.
MAX_SPAN_MS = 3000
# Time after a return to full pace in which the order may not be carried out.
SETTLE_MS = 800
# Other workers whose rates are needed for a comparison.
MIN_WORKERS = 3
# Pipelines of which attempts on a worker were compared before it counts:
# with attempts of the same stage, and of the same image. The latter may differ
# in their work.
MIN_PIPELINES = 3
MIN_PIPELINES_BY_IMAGE = 5
# Largest share of the workers of a stage or image that may be slow. With more,
# the work of the attempts differs rather than the workers.
MAX_SLOW_SHARE = 1 / 3
# Speed by image below which a worker counts as slow.
SLOW_BELOW_BY_IMAGE = 0.5
# Time for which a comparison counts.
FORGET_S = 20.0
# Most groups (stages and images) that are kept, workers of each group, and
# comparisons of each worker.
MAX_GROUPS = 256
MAX_GROUP_WORKERS = 24
MAX_SAMPLES = 24
# Time for which the median of a group is not computed again.
MEDIAN_VALID_S = 0.25
# Shortest time between two measurements on a worker. Reports come several times
# a second, and a measurement takes some microseconds for each attempt.
OBSERVE_INTERVAL_S = 0.5
# Time after which a speed without new comparisons is computed again, since
# earlier ones are forgotten.
SPEED_VALID_S = 2.0


def run_s(worker: fleet.Worker, work_s: float, now: float) -> float:
    """Returns the expected time that work takes on a worker.

    A cold worker goes on at full speed once it is warm.

    Args:
        worker: The worker.
        work_s: Time that it takes on a worker of speed 1.
        now: Monotonic seconds.
    """
    speed = worker.speed
    if speed >= 1:
        return work_s
    if not worker.cold_until_s:
        return work_s / speed
    cold_s = max(0.0, worker.cold_until_s - now)
    done_s = cold_s * speed
    return work_s / speed if done_s >= work_s else cold_s + work_s - done_s


def speed_for(stage: pipeline.Stage, worker: fleet.Worker, now: float) -> float:
    """Returns the mean speed of a worker while it runs a task of a stage.

    Args:
        stage: The stage. A lasting one outlasts the time for which a worker is
            cold.
        worker: The worker.
        now: Monotonic seconds.
    """
    if worker.speed >= 1:
        return 1.0
    if stage.lasting:
        return 1.0 if worker.cold_until_s else worker.speed
    if not stage.estimate_ms:
        return worker.speed
    work_s = stage.estimate_ms / 1000
    return work_s / run_s(worker, work_s, now)


@attrs.define
class _Span:
    """Begin of the time over which the rate of an attempt is measured.

    Attributes:
        percent: Progress at the begin; negative while the attempt may not have
            full pace yet, so that nothing is measured.
        clock_ms: The worker's clock then.
        latest_percent: Latest progress. Less progress begins a new span, as the
            attempt has gone back to a checkpoint, or reports falsely.
        is_resuming: Whether the attempt may not have reached its checkpoint, so
            that its next progress begins a new span.
    """

    percent: float
    clock_ms: float
    latest_percent: float = -1.0
    is_resuming: bool = False


@attrs.frozen
class _Sample:
    """Speed of a worker by the comparison of one attempt.

    Attributes:
        ratio: The speed.
        pipeline: Id of the pipeline.
        group: Key of the group with which it was compared.
        at_s: Monotonic time of the comparison.
    """

    ratio: float
    pipeline: str
    group: tuple
    at_s: float


@attrs.define
class _Group:
    """Rates of the attempts of one stage or image, near or far from the data.

    Attributes:
        rates: Latest rate by worker, in percent a millisecond.
        median: Their median, 0 if `is_mixed` or not computed yet.
        median_at_s: Monotonic time at which it was computed.
        is_mixed: Whether too many rates are low, so that the work of the
            attempts differs rather than the workers.
    """

    rates: dict[fleet.WorkerKey, float] = attrs.field(factory=dict)
    median: float = 0.0
    median_at_s: float = -MEDIAN_VALID_S
    is_mixed: bool = False

    def add(self, key: fleet.WorkerKey, rate: float) -> None:
        """Records the latest rate of a worker."""
        self.rates.pop(key, None)
        self.rates[key] = rate
        if len(self.rates) > MAX_GROUP_WORKERS:
            del self.rates[next(iter(self.rates))]

    def reference(self, key: fleet.WorkerKey, now: float) -> float:
        """Returns the rate to compare a worker with, 0 if there is none.

        It is the median. There is none if too few other workers are known, or
        if too many rates are low, as the work of the attempts differs then.

        Args:
            key: The worker.
            now: Monotonic seconds.
        """
        if len(self.rates) - (key in self.rates) < MIN_WORKERS:
            return 0.0
        if now - self.median_at_s >= MEDIAN_VALID_S:
            self.median = statistics.median(self.rates.values())
            self.median_at_s = now
            slow = [
                r for r in self.rates.values() if r < SLOW_BELOW * self.median
            ]
            self.is_mixed = len(slow) > MAX_SLOW_SHARE * len(self.rates)
            if self.is_mixed:
                self.median = 0.0
        return self.median


@attrs.define
class _Learned:
    """What is known of a worker.

    Attributes:
        spans: What is measured now, by attempt.
        samples: Latest comparisons, by attempt, oldest first.
        slow: Whether it counts as slow, as the log says.
        next_measurement_s: Monotonic time of the next measurement of its
            attempts.
        speed_valid_s: Monotonic time until which its speed is valid.
    """

    spans: dict[fleet.AttemptKey, _Span] = attrs.field(factory=dict)
    samples: dict[fleet.AttemptKey, _Sample] = attrs.field(factory=dict)
    slow: bool = False
    next_measurement_s: float = 0.0
    speed_valid_s: float = 0.0

    def speed(self, now: float) -> float | None:
        """Returns the median over the pipelines, None if too little is known.

        Of an even number, it is the upper one, so that more than half of the
        pipelines have to show a low speed.

        Args:
            now: Monotonic seconds.
        """
        by_pipeline: dict[str, list[float]] = {}
        by_stage = set()
        for key, sample in list(self.samples.items()):
            if now - sample.at_s > FORGET_S:
                del self.samples[key]
                continue
            by_pipeline.setdefault(sample.pipeline, []).append(sample.ratio)
            if sample.group[0] == "stage":
                by_stage.add(sample.pipeline)
        if len(by_stage) >= MIN_PIPELINES:
            by_pipeline = {name: by_pipeline[name] for name in by_stage}
        elif len(by_pipeline) < MIN_PIPELINES_BY_IMAGE:
            return None
        speed = statistics.median_high(
            map(statistics.median, by_pipeline.values())
        )
        if len(by_stage) < MIN_PIPELINES and speed >= SLOW_BELOW_BY_IMAGE:
            return None
        return speed


class WorkerSpeeds:
    """Learns the speeds of the workers during one term of a leader.

    Args:
        metrics: Registry that counts slow workers.
        enabled: Whether anything is learned; otherwise all speeds are 1, but
            for those of cold workers.
        cold_workers: Whether cold workers count as slow.
    """

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        enabled: bool = True,
        cold_workers: bool = False,
    ):
        self._metrics = metrics
        self._enabled = enabled
        self._cold_workers = cold_workers
        self._learned: dict[fleet.WorkerKey, _Learned] = {}
        self._groups: collections.OrderedDict[tuple, _Group]
        self._groups = collections.OrderedDict()

    def forget(self, key: fleet.WorkerKey) -> None:
        """Drops what was learned of a worker."""
        self._learned.pop(key, None)

    def observe(self, worker: fleet.Worker, now: float) -> None:
        """Learns from a new list of what runs on a worker; sets its speed.

        Args:
            worker: The worker, with the progress of its attempts.
            now: Monotonic seconds.
        """
        cold_ms = worker.state.cold_left_ms
        if cold_ms:
            # Its rates are low for a known time, and would pull medians down.
            self.forget(worker.key)
            worker.speed, worker.cold_until_s = 1.0, 0.0
            if self._cold_workers:
                worker.speed = COLD_SPEED
                worker.cold_until_s = now + cold_ms / 1000
            return
        if worker.cold_until_s:
            worker.speed, worker.cold_until_s = 1.0, 0.0
        if not self._enabled:
            return
        learned = self._learned.setdefault(worker.key, _Learned())
        if now >= learned.next_measurement_s:
            learned.next_measurement_s = now + OBSERVE_INTERVAL_S
            for key in learned.spans.keys() - worker.placements.keys():
                del learned.spans[key]
            for placement in worker.placements.values():
                self._measure(
                    placement, placement.progress_percent, learned, now
                )
        if now >= learned.speed_valid_s:
            learned.speed_valid_s = now + SPEED_VALID_S
            self._set_speed(worker, learned, now)

    def record_done(self, placement: fleet.Placement, now: float) -> None:
        """Learns from an attempt that is done.

        Args:
            placement: The attempt, before it is removed from its worker.
            now: Monotonic seconds.
        """
        learned = self._learned.get(placement.worker.key)
        if learned is not None and placement.key in learned.spans:
            self._measure(placement, 100.0, learned, now)
            learned.spans.pop(placement.key, None)

    def _measure(
        self,
        placement: fleet.Placement,
        percent: float,
        learned: _Learned,
        now: float,
    ) -> None:
        """Compares an attempt with others, if it has made enough progress."""
        key = placement.key
        clock_ms = placement.worker.state.clock_ms
        if not _is_at_full_speed(placement):
            # Until the next list, an order of full pace may be on its way.
            learned.spans[key] = _Span(-1.0, clock_ms)
            return
        span = learned.spans.get(key)
        if span is None or percent < max(span.percent, span.latest_percent):
            is_resuming = span is None and bool(placement.task.checkpoint)
            learned.spans[key] = _Span(
                percent, clock_ms, is_resuming=is_resuming
            )
            return
        if span.is_resuming and percent > span.percent:
            learned.spans[key] = _Span(percent, clock_ms)
            return
        span.latest_percent = percent
        span_ms = clock_ms - span.clock_ms
        if span.percent < 0:
            if span_ms >= SETTLE_MS:
                learned.spans[key] = _Span(percent, clock_ms)
            return
        gained = min(percent, 100.0) - span.percent
        if span_ms < MIN_SPAN_MS or gained < MIN_PERCENT:
            return
        self._compare(placement, gained / span_ms, learned, now)
        if span_ms >= MAX_SPAN_MS:
            learned.spans[key] = _Span(percent, clock_ms)

    def _compare(
        self,
        placement: fleet.Placement,
        percent_per_ms: float,
        learned: _Learned,
        now: float,
    ) -> None:
        task = placement.task
        stage = task.stage
        worker = placement.worker
        rate = percent_per_ms
        is_near = stage.rack == worker.state.rack if stage.rack else None
        keys = [("stage", task.pipeline.id, task.stage_number, is_near)]
        if stage.image:
            keys.append(("image", stage.image, is_near))
        for key in keys:
            group = self._group(key)
            reference = group.reference(worker.key, now)
            group.add(worker.key, rate)
            if not reference:
                if group.is_mixed and group.median_at_s == now:
                    self._drop_samples(key, group)
                continue
            ratio = min(max(rate / reference, MIN_SPEED), 1.0)
            learned.samples.pop(placement.key, None)
            learned.samples[placement.key] = _Sample(
                ratio, task.pipeline.id, key, now
            )
            learned.speed_valid_s = 0.0
            if len(learned.samples) > MAX_SAMPLES:
                del learned.samples[next(iter(learned.samples))]
            return

    def _drop_samples(self, key: tuple, group: _Group) -> None:
        """Drops what a group taught before it proved to be mixed."""
        for worker_key in group.rates:
            learned = self._learned.get(worker_key)
            if learned is None:
                continue
            for attempt, sample in list(learned.samples.items()):
                if sample.group == key:
                    del learned.samples[attempt]
                    learned.speed_valid_s = 0.0

    def _group(self, key: tuple) -> _Group:
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _Group()
            if len(self._groups) > MAX_GROUPS:
                self._groups.popitem(last=False)
        else:
            self._groups.move_to_end(key)
        return group

    def _set_speed(
        self, worker: fleet.Worker, learned: _Learned, now: float
    ) -> None:
        speed = learned.speed(now) if learned.samples else None
        threshold = FAST_FROM if learned.slow else SLOW_BELOW
        slow = speed is not None and speed < threshold
        worker.speed = speed if slow else 1.0
        if slow == learned.slow:
            return
        learned.slow = slow
        if slow:
            self._metrics.count("workers_found_slow")
        event = (
            events.Events.PIPELINE_WORKER_SLOW
            if slow
            else events.Events.PIPELINE_WORKER_NOT_SLOW
        )
        log.emit(event, worker=worker.id, speed=round(worker.speed, 2))


def _is_at_full_speed(placement: fleet.Placement) -> bool:
    """Returns whether only its worker limits the progress of an attempt.

    Fillers on an overcommitted worker share the time that is left over.
    """
    stage = placement.task.stage
    return (
        placement.state is fleet.AttemptState.RUNNING
        and placement.reported
        and not stage.lasting
        and placement.pace_percent >= pacing.FULL_PERCENT
        and not (stage.filler and placement.worker.unused_millicores < 0)
    )
