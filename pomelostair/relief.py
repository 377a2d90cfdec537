"""Throttling and eviction on workers that are too full or too noisy.

A worker that by its reports uses more than it has throttles its least urgent
tasks, then evicts them. A latency-critical task that reports a slowdown makes
its worst less urgent neighbour throttle, then leave. After each step the
worker is left alone until reports are newer than the step.
"""

from collections.abc import Callable
from collections.abc import Mapping

import attrs

from pomelostair import eviction
from pomelostair import ledger
from pomelostair import messages
from pomelostair import reports

SUFFERING_SLOWDOWN = 1.15
CALM_SLOWDOWN = 1.1
SUFFERING_READINGS = 2
THROTTLE_FACTOR = 0.5
MIN_SHARE = 0.5
DECIDE_AFTER_S = 5.0
OVER_CAPACITY = 1.02

Key = tuple[str, int]


@attrs.frozen
class Throttled:
    """An attempt gets a share of its full speed."""

    key: Key
    share: float
    reason: str


@attrs.frozen
class Evicted:
    """An attempt has to leave."""

    key: Key
    reason: str


Step = Throttled | Evicted


@attrs.frozen
class Report:
    """A reading of one attempt."""

    key: Key
    kind: str
    urgency: messages.Urgency
    slowdown: float
    read_s: float


@attrs.define
class Relief:
    """Relief on one worker.

    Attributes:
        capacity: What the worker's tasks may use.
    """

    capacity: messages.Size
    _shares: dict[Key, float] = attrs.field(factory=dict, init=False)
    _strikes: dict[Key, int] = attrs.field(factory=dict, init=False)
    _suffering: dict[Key, int] = attrs.field(factory=dict, init=False)
    _acted_s: float = attrs.field(default=float("-inf"), init=False)

    @property
    def shares(self) -> Mapping[Key, float]:
        """Shares of full speed of the attempts that were ever throttled."""
        return self._shares

    def keep(self, running: set[Key]) -> None:
        """Forgets the attempts that run no more."""
        for memory in (self._shares, self._strikes, self._suffering):
            for key in memory.keys() - running:
                del memory[key]

    def unload(
        self,
        used: messages.Size,
        read_s: float,
        candidates: tuple[eviction.Candidate, ...],
        now: float,
    ) -> tuple[Step, ...]:
        """Returns steps for a worker that may use more than it has.

        Args:
            used: Sum of the reported sizes.
            read_s: Monotonic seconds when the oldest of them was read.
            candidates: Attempts that may yield, with their reported sizes.
            now: Monotonic seconds.
        """
        if read_s <= self._acted_s or not self._exceeds(used):
            return ()
        self._acted_s = now
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
            steps = self._throttle_down(free, candidates, reason)
            if steps:
                return steps
        nothing = messages.Size(0.0, 0, 0)
        chosen = eviction.choose(nothing, free, candidates)
        if chosen is None:
            chosen = tuple(eviction.order(candidates))
        return tuple(Evicted((c.task, c.attempt), reason) for c in chosen)

    def _exceeds(self, used: messages.Size) -> bool:
        return (
            used.cores > self.capacity.cores * OVER_CAPACITY
            or used.memory_mb > self.capacity.memory_mb * OVER_CAPACITY
            or used.accelerators > self.capacity.accelerators
        )

    def _throttle_down(
        self,
        free: messages.Size,
        candidates: tuple[eviction.Candidate, ...],
        reason: str,
    ) -> tuple[Step, ...]:
        steps: list[Step] = []
        missing = -free.cores
        for candidate in eviction.order(candidates):
            key = (candidate.task, candidate.attempt)
            if missing <= 0:
                break
            if self._shares.get(key, 1.0) < 1:
                continue
            steps.append(self._throttle(key, THROTTLE_FACTOR, reason))
            missing -= candidate.size.cores * (1 - THROTTLE_FACTOR)
        return tuple(steps) if missing <= 0 else ()

    def _throttle(self, key: Key, share: float, reason: str) -> Throttled:
        self._shares[key] = share
        return Throttled(key, share, reason)

    def calm(
        self,
        found: tuple[Report, ...],
        neighbours: Mapping[Key, reports.Resident],
        harm: Callable[[Report, reports.Resident], tuple[float, float]],
        bearable: Callable[[frozenset[Key]], bool],
        now: float,
    ) -> tuple[Step, ...]:
        """Returns steps for the latency-critical tasks of the worker.

        Args:
            found: Fresh readings of latency-critical attempts.
            neighbours: Less urgent attempts on the worker.
            harm: Returns how much a neighbour slows the task of a reading.
            bearable: Returns whether neighbours may go at full speed again.
            now: Monotonic seconds.
        """
        for report in found:
            if report.read_s <= self._acted_s:
                continue
            if report.slowdown <= SUFFERING_SLOWDOWN:
                self._suffering.pop(report.key, None)
                continue
            self._suffering[report.key] = self._suffering.get(report.key, 0) + 1
            if self._suffering[report.key] < SUFFERING_READINGS:
                continue
            worst = self._worst(report, neighbours, harm)
            if worst:
                self._suffering.pop(report.key, None)
                self._acted_s = now
                return tuple(self._strike(key, report) for key in worst)
        return self._decide(bearable, now)

    def _worst(
        self,
        report: Report,
        neighbours: Mapping[Key, reports.Resident],
        harm: Callable[[Report, reports.Resident], tuple[float, float]],
    ) -> list[Key]:
        """Returns the neighbours that are known to cause the slowdown.

        As long as none is known to, it is the largest one.
        """
        ordered = sorted(
            neighbours,
            key=lambda key: (harm(report, neighbours[key]), key),
            reverse=True,
        )
        excess = report.slowdown - CALM_SLOWDOWN
        chosen = ordered[:1]
        for key in ordered:
            known, _ = harm(report, neighbours[key])
            if known <= 0 or excess <= 0:
                break
            if key not in chosen:
                chosen.append(key)
            excess -= known
        return chosen

    def _strike(self, key: Key, report: Report) -> Step:
        strikes = self._strikes.get(key, 0) + 1
        self._strikes[key] = strikes
        reason = (
            f"{report.key[0]} reports a slowdown of {report.slowdown:.2f} "
            "beside it"
        )
        share = THROTTLE_FACTOR**strikes
        if share < MIN_SHARE:
            return Evicted(key, reason)
        return self._throttle(key, share, reason)

    def _decide(
        self, bearable: Callable[[frozenset[Key]], bool], now: float
    ) -> tuple[Step, ...]:
        """Lets throttled attempts go at full speed or leave, after a while.

        Throttled work holds its room, so it does not stay throttled.
        """
        throttled = sorted(k for k, share in self._shares.items() if share < 1)
        if not throttled or now - self._acted_s < DECIDE_AFTER_S:
            return ()
        self._acted_s = now
        steps: list[Step] = []
        restored: set[Key] = set()
        for key in throttled:
            if bearable(frozenset({*restored, key})):
                restored.add(key)
                steps.append(Throttled(key, 1.0, "the worker is calm again"))
            else:
                reason = "at full speed it disturbs its neighbours"
                steps.append(Evicted(key, reason))
        self._shares.update(dict.fromkeys(restored, 1.0))
        return tuple(steps)


def total(sizes: list[messages.Size]) -> messages.Size:
    """Returns the sum of sizes."""
    result = messages.Size(0.0, 0, 0)
    for size in sizes:
        result = ledger.add(result, size)
    return result
