"""Estimates of task sizes for each kind, learned from delayed usage reports.

An estimate lies between the declared size and a high quantile of the observed
ones, closer to the latter the more attempts were observed. If a kind uses more
than it declares, the observed quantile applies from the first attempt on.
"""

import collections
import statistics

import attrs

from pomelostair import messages

MAX_ATTEMPTS_PER_KIND = 64
MAX_KINDS = 1000
QUANTILE = 0.95
HEADROOM = 1.1
# With so many attempts, declared and observed sizes have the same weight.
HALF_CONFIDENCE_ATTEMPTS = 4

AttemptKey = tuple[str, int]


@attrs.frozen
class PeakRatio:
    """Highest ratios of used to declared size that an attempt reported."""

    cores: float
    memory: float


class Estimates:
    """Size estimates of a cell."""

    def __init__(self):
        self._peaks: collections.OrderedDict[
            str, collections.OrderedDict[AttemptKey, PeakRatio]
        ] = collections.OrderedDict()
        self._planned_ratios: dict[str, PeakRatio] = {}

    def add_report(
        self,
        kind: str,
        key: AttemptKey,
        declared: messages.Size,
        used: messages.Size,
    ) -> None:
        """Adds a usage report of an attempt that ran unthrottled.

        Args:
            kind: Kind of its task.
            key: Task and attempt.
            declared: Declared size.
            used: Reported size.
        """
        peaks = self._peaks.setdefault(kind, collections.OrderedDict())
        self._peaks.move_to_end(kind)
        if len(self._peaks) > MAX_KINDS:
            oldest, _ = self._peaks.popitem(last=False)
            self._planned_ratios.pop(oldest, None)
        previous = peaks.get(key, PeakRatio(0.0, 0.0))
        peak = PeakRatio(
            max(previous.cores, _ratio(used.cores, declared.cores)),
            max(previous.memory, _ratio(used.memory_mb, declared.memory_mb)),
        )
        if key in peaks and peak == previous:
            return
        peaks[key] = peak
        if len(peaks) > MAX_ATTEMPTS_PER_KIND:
            peaks.popitem(last=False)
        self._planned_ratios[kind] = PeakRatio(
            _planned_ratio([p.cores for p in peaks.values()]),
            _planned_ratio([p.memory for p in peaks.values()]),
        )

    def planned_size(self, kind: str, declared: messages.Size) -> messages.Size:
        """Returns the size to place a task with; accelerators as declared."""
        ratio = self._planned_ratios.get(kind)
        if ratio is None:
            return declared
        return messages.Size(
            declared.cores * ratio.cores,
            round(declared.memory_mb * ratio.memory),
            declared.accelerators,
        )

    def typical_size(self, kind: str, declared: messages.Size) -> messages.Size:
        """Returns the median size of the observed attempts of a kind."""
        peaks = self._peaks.get(kind)
        if not peaks:
            return declared
        cores = statistics.median(peak.cores for peak in peaks.values())
        memory = statistics.median(peak.memory for peak in peaks.values())
        return messages.Size(
            declared.cores * cores,
            round(declared.memory_mb * memory),
            declared.accelerators,
        )


def _ratio(used: float, declared: float) -> float:
    return used / declared if declared > 0 else 1.0


def _planned_ratio(ratios: list[float]) -> float:
    sorted_ratios = sorted(ratios)
    high_ratio = sorted_ratios[
        min(len(sorted_ratios) - 1, int(QUANTILE * len(sorted_ratios)))
    ]
    high_ratio *= HEADROOM
    if high_ratio >= 1:
        return high_ratio
    weight = len(ratios) / (len(ratios) + HALF_CONFIDENCE_ATTEMPTS)
    return 1 + weight * (high_ratio - 1)
