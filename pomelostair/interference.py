"""Model of the slowdown that kinds of tasks cause each other.

The slowdown of a task is modelled as 1 plus, for each kind on the same worker,
a factor times the share of the worker's cores that this kind uses. Factors are
learned from reports by normalized least mean squares, and decay without them.
"""

from collections.abc import Mapping

import attrs

LEARNING_RATE = 0.3
MAX_FACTOR = 20.0
HALF_LIFE_S = 900.0
MAX_PAIRS = 10_000
_MIN_ENERGY = 0.01


@attrs.define
class Factor:
    """Learned factor of a pair of kinds.

    Attributes:
        value: The factor at the time of its last update.
        updated_s: Monotonic seconds of that update.
    """

    value: float
    updated_s: float


class InterferenceModel:
    """Learned factors of a cell.

    Args:
        min_energy: Lower bound of the sum of squared loads that normalizes a
            report. A smaller one learns faster from small loads, but also from
            noise.
        half_life_s: Half-life of a factor without reports.
    """

    def __init__(
        self,
        min_energy: float = _MIN_ENERGY,
        half_life_s: float = HALF_LIFE_S,
    ):
        self._min_energy = min_energy
        self._half_life_s = half_life_s
        self._factors: dict[tuple[str, str], Factor] = {}

    def factor(self, victim: str, neighbour: str, now: float) -> float:
        """Returns the slowdown that a neighbour adds if it uses all cores."""
        learned = self._factors.get((victim, neighbour))
        if learned is None:
            return 0.0
        return learned.value * 0.5 ** (
            (now - learned.updated_s) / self._half_life_s
        )

    def slowdown(
        self, victim: str, loads: Mapping[str, float], now: float
    ) -> float:
        """Returns the expected slowdown of a kind next to other loads.

        Args:
            victim: Kind of the task.
            loads: Shares of the worker's cores by kind, without the task.
            now: Monotonic seconds.
        """
        return 1 + sum(
            self.factor(victim, kind, now) * load
            for kind, load in loads.items()
        )

    def learn(
        self,
        victim: str,
        loads: Mapping[str, float],
        slowdown: float,
        now: float,
    ) -> None:
        """Updates the factors from one report.

        Args:
            victim: Kind of the task.
            loads: Shares of the worker's cores by kind, without the task, when
                the report was read.
            slowdown: Reported slowdown.
            now: Monotonic seconds.
        """
        energy = sum(load * load for load in loads.values())
        if energy <= 0:
            return
        error = slowdown - self.slowdown(victim, loads, now)
        step = LEARNING_RATE * error / max(energy, self._min_energy)
        for kind, load in loads.items():
            value = self.factor(victim, kind, now) + step * load
            value = min(max(value, 0.0), MAX_FACTOR)
            self._factors[victim, kind] = Factor(value, now)
        while len(self._factors) > MAX_PAIRS:
            del self._factors[next(iter(self._factors))]
