"""Estimates of true sizes, learned for each kind from lagging reports.

An estimate lies between the declared size and a high quantile of the observed
ones, closer to the latter the more attempts were observed. A kind that uses
more than it declares is believed at once.
"""

import collections
import statistics

import attrs

from pomelostair import messages

MAX_ATTEMPTS = 64
MAX_KINDS = 1000
QUANTILE = 0.95
HEADROOM = 1.1
HALF_CONFIDENCE_ATTEMPTS = 4

Key = tuple[str, int]


@attrs.frozen
class Peak:
    """Highest use over declared size that an attempt showed."""

    cores: float
    memory: float


class Estimates:
    """Learned sizes of a cell."""

    def __init__(self):
        self._peaks: collections.OrderedDict[
            str, collections.OrderedDict[Key, Peak]
        ] = collections.OrderedDict()
        self._ratios: dict[str, Peak] = {}

    def learn(
        self, kind: str, key: Key, declared: messages.Size, used: messages.Size
    ) -> None:
        """Takes one report of an attempt at full speed.

        Args:
            kind: Kind of its task.
            key: Task and attempt.
            declared: Declared size.
            used: Observed size.
        """
        peaks = self._peaks.setdefault(kind, collections.OrderedDict())
        self._peaks.move_to_end(kind)
        if len(self._peaks) > MAX_KINDS:
            oldest, _ = self._peaks.popitem(last=False)
            self._ratios.pop(oldest, None)
        known = peaks.get(key, Peak(0.0, 0.0))
        peak = Peak(
            max(known.cores, _ratio(used.cores, declared.cores)),
            max(known.memory, _ratio(used.memory_mb, declared.memory_mb)),
        )
        if key in peaks and peak == known:
            return
        peaks[key] = peak
        if len(peaks) > MAX_ATTEMPTS:
            peaks.popitem(last=False)
        self._ratios[kind] = Peak(
            _planned([p.cores for p in peaks.values()]),
            _planned([p.memory for p in peaks.values()]),
        )

    def size(self, kind: str, declared: messages.Size) -> messages.Size:
        """Returns the size to plan with; accelerators stay as declared."""
        ratio = self._ratios.get(kind)
        if ratio is None:
            return declared
        return messages.Size(
            declared.cores * ratio.cores,
            round(declared.memory_mb * ratio.memory),
            declared.accelerators,
        )

    def typical(self, kind: str, declared: messages.Size) -> messages.Size:
        """Returns the size that an attempt of a kind uses as a rule."""
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


def _planned(peaks: list[float]) -> float:
    ordered = sorted(peaks)
    high = ordered[min(len(ordered) - 1, int(QUANTILE * len(ordered)))]
    high *= HEADROOM
    if high >= 1:
        return high
    weight = len(peaks) / (len(peaks) + HALF_CONFIDENCE_ATTEMPTS)
    return 1 + weight * (high - 1)
