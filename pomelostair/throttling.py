"""Throttling and eviction on workers with overload or interference.

On a worker that reports more usage than its capacity, the least urgent tasks
are throttled; if that is not enough, they are evicted. If a latency-critical
task reports a slowdown, the less urgent neighbours that cause it are throttled
first and evicted if the slowdown persists. Reports lag, so after a step only
reports that were read later lead to another one.
"""

from collections.abc import Callable
from collections.abc import Mapping

import attrs

from pomelostair import accounting
from pomelostair import eviction
from pomelostair import messages
from pomelostair import reports

# Slowdown of a latency-critical task above which its neighbours are throttled.
THROTTLE_SLOWDOWN = 1.15
# Slowdown that throttling aims at, and up to which it is lifted.
ACCEPTABLE_SLOWDOWN = 1.1
# Readings in a row above the limit before neighbours are throttled.
THROTTLE_READINGS = 2
THROTTLE_FACTOR = 0.5
MIN_SHARE = 0.5
# Time after a step at which throttled attempts are restored or evicted.
REVIEW_DELAY_S = 5.0
# Usage above this multiple of the capacity is an overload.
OVERLOAD_RATIO = 1.02

AttemptKey = tuple[str, int]


@attrs.frozen
class ThrottleStep:
    """Limits an attempt to a share of its full speed; 1 restores it."""

    key: AttemptKey
    share: float
    reason: str


@attrs.frozen
class EvictStep:
    """Evicts an attempt."""

    key: AttemptKey
    reason: str


Step = ThrottleStep | EvictStep


@attrs.frozen
class SlowdownReport:
    """Slowdown of an attempt at the time it was read.

    Attributes:
        key: The attempt.
        kind: Kind of its task.
        urgency: Urgency class of its task.
        slowdown: Reported slowdown; 1 is none.
        read_s: Monotonic seconds when it was read.
    """

    key: AttemptKey
    kind: str
    urgency: messages.Urgency
    slowdown: float
    read_s: float


@attrs.define
class ThrottleController:
    """Throttles and evicts the attempts of one worker.

    Attributes:
        capacity: Capacity for the worker's tasks.
    """

    capacity: messages.Size
    _shares: dict[AttemptKey, float] = attrs.field(factory=dict, init=False)
    _throttle_counts: dict[AttemptKey, int] = attrs.field(
        factory=dict, init=False
    )
    _slow_readings: dict[AttemptKey, int] = attrs.field(
        factory=dict, init=False
    )
    _last_step_s: float = attrs.field(default=float("-inf"), init=False)

    @property
    def shares(self) -> Mapping[AttemptKey, float]:
        """Shares of full speed of all attempts that were ever throttled."""
        return self._shares

    def retain(self, running: set[AttemptKey]) -> None:
        """Drops the state of attempts that no longer run."""
        for memory in (
            self._shares,
            self._throttle_counts,
            self._slow_readings,
        ):
            for key in memory.keys() - running:
                del memory[key]

    def relieve_overload(
        self,
        used: messages.Size,
        read_s: float,
        candidates: tuple[eviction.Candidate, ...],
        now: float,
    ) -> tuple[Step, ...]:
        """Returns steps that reduce the usage of an overloaded worker.

        Args:
            used: Sum of the reported sizes.
            read_s: Monotonic seconds when the oldest of them was read.
            candidates: Attempts that may be evicted, with their reported
                sizes.
            now: Monotonic seconds.
        """
        if read_s <= self._last_step_s or not self._is_overloaded(used):
            return ()
        self._last_step_s = now
        reason = (
            f"the worker uses {used.cores:.1f} of {self.capacity.cores:g} "
            f"cores and {used.memory_mb} of {self.capacity.memory_mb} MB"
        )
        free = messages.Size(
            self.capacity.cores - used.cores,
            self.capacity.memory_mb - used.memory_mb,
            self.capacity.accelerators - used.accelerators,
        )
        if free.memory_mb >= 0 and free.accelerators >= 0:
            steps = self._throttle_overload(free, candidates, reason)
            if steps:
                return steps
        no_demand = messages.Size(0.0, 0, 0)
        victims = eviction.choose_victims(no_demand, free, candidates)
        if victims is None:
            victims = tuple(eviction.order(candidates))
        return tuple(EvictStep((c.task, c.attempt), reason) for c in victims)

    def _is_overloaded(self, used: messages.Size) -> bool:
        return (
            used.cores > self.capacity.cores * OVERLOAD_RATIO
            or used.memory_mb > self.capacity.memory_mb * OVERLOAD_RATIO
            or used.accelerators > self.capacity.accelerators
        )

    def _throttle_overload(
        self,
        free: messages.Size,
        candidates: tuple[eviction.Candidate, ...],
        reason: str,
    ) -> tuple[Step, ...]:
        """Returns throttle steps, empty if throttling is not enough."""
        steps: list[Step] = []
        excess_cores = -free.cores
        for candidate in eviction.order(candidates):
            key = (candidate.task, candidate.attempt)
            if excess_cores <= 0:
                break
            if self._shares.get(key, 1.0) < 1:
                continue
            steps.append(self._throttle(key, THROTTLE_FACTOR, reason))
            excess_cores -= candidate.size.cores * (1 - THROTTLE_FACTOR)
        return tuple(steps) if excess_cores <= 0 else ()

    def _throttle(
        self, key: AttemptKey, share: float, reason: str
    ) -> ThrottleStep:
        self._shares[key] = share
        return ThrottleStep(key, share, reason)

    def relieve_interference(
        self,
        slowdown_reports: tuple[SlowdownReport, ...],
        neighbours: Mapping[AttemptKey, reports.RunningAttempt],
        impact: Callable[
            [SlowdownReport, reports.RunningAttempt], tuple[float, float]
        ],
        can_run_unthrottled: Callable[[frozenset[AttemptKey]], bool],
        now: float,
    ) -> tuple[Step, ...]:
        """Returns steps that reduce slowdowns, or end throttling.

        Args:
            slowdown_reports: New reports of latency-critical attempts.
            neighbours: Less urgent attempts on the worker.
            impact: Returns the slowdown that a neighbour is known to cause to
                the attempt of a report, and the neighbour's load.
            can_run_unthrottled: Returns whether the given neighbours may run at
                full speed again.
            now: Monotonic seconds.
        """
        for report in slowdown_reports:
            if report.read_s <= self._last_step_s:
                continue
            if report.slowdown <= THROTTLE_SLOWDOWN:
                self._slow_readings.pop(report.key, None)
                continue
            self._slow_readings[report.key] = (
                self._slow_readings.get(report.key, 0) + 1
            )
            if self._slow_readings[report.key] < THROTTLE_READINGS:
                continue
            to_throttle = self._neighbours_to_throttle(
                report, neighbours, impact
            )
            if to_throttle:
                self._slow_readings.pop(report.key, None)
                self._last_step_s = now
                return tuple(
                    self._throttle_or_evict(key, report) for key in to_throttle
                )
        return self._review_throttled(can_run_unthrottled, now)

    def _neighbours_to_throttle(
        self,
        report: SlowdownReport,
        neighbours: Mapping[AttemptKey, reports.RunningAttempt],
        impact: Callable[
            [SlowdownReport, reports.RunningAttempt], tuple[float, float]
        ],
    ) -> list[AttemptKey]:
        """Returns the neighbours that are known to cause the slowdown.

        As long as none is known to cause it, that is the one with the largest
        load.
        """
        ordered = sorted(
            neighbours,
            key=lambda key: (impact(report, neighbours[key]), key),
            reverse=True,
        )
        excess_slowdown = report.slowdown - ACCEPTABLE_SLOWDOWN
        chosen = ordered[:1]
        for key in ordered:
            learned_slowdown, _ = impact(report, neighbours[key])
            if learned_slowdown <= 0 or excess_slowdown <= 0:
                break
            if key not in chosen:
                chosen.append(key)
            excess_slowdown -= learned_slowdown
        return chosen

    def _throttle_or_evict(
        self, key: AttemptKey, report: SlowdownReport
    ) -> Step:
        throttle_count = self._throttle_counts.get(key, 0) + 1
        self._throttle_counts[key] = throttle_count
        reason = (
            f"{report.key[0]} reports a slowdown of {report.slowdown:.2f} "
            "on the same worker"
        )
        share = THROTTLE_FACTOR**throttle_count
        if share < MIN_SHARE:
            return EvictStep(key, reason)
        return self._throttle(key, share, reason)

    def _review_throttled(
        self,
        can_run_unthrottled: Callable[[frozenset[AttemptKey]], bool],
        now: float,
    ) -> tuple[Step, ...]:
        """Restores throttled attempts to full speed or evicts them.

        A throttled attempt keeps all of its reserved capacity, so throttling
        is only temporary.
        """
        throttled = sorted(k for k, share in self._shares.items() if share < 1)
        if not throttled or now - self._last_step_s < REVIEW_DELAY_S:
            return ()
        self._last_step_s = now
        steps: list[Step] = []
        restored: set[AttemptKey] = set()
        for key in throttled:
            if can_run_unthrottled(frozenset({*restored, key})):
                restored.add(key)
                steps.append(
                    ThrottleStep(
                        key,
                        1.0,
                        "at full speed it would not slow its neighbours",
                    )
                )
            else:
                reason = "at full speed it would slow its neighbours"
                steps.append(EvictStep(key, reason))
        self._shares.update(dict.fromkeys(restored, 1.0))
        return tuple(steps)


def sum_sizes(sizes: list[messages.Size]) -> messages.Size:
    """Returns the sum of sizes."""
    result = messages.Size(0.0, 0, 0)
    for size in sizes:
        result = accounting.add(result, size)
    return result
