"""How kinds of tasks slow each other down, learned from lagging reports.

The slowdown of a task is modelled as one plus, for each kind beside it, a
factor times the share of the worker's cores that this kind uses. Factors
follow the reports by normalized least mean squares, and fade without them.
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
    """Learned factor of a pair, as of some time."""

    value: float
    updated_s: float


class InterferenceModel:
    """Learned factors of a cell.

    Args:
        min_energy: Least energy of the loads that a report is scaled by; a
            smaller one learns faster from small loads, and from noise.
        half_life_s: Time in which a factor without reports fades to a half.
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
        """Returns the slowdown that a neighbour with all cores would add."""
        learned = self._factors.get((victim, neighbour))
        if learned is None:
            return 0.0
        return learned.value * 0.5 ** (
            (now - learned.updated_s) / self._half_life_s
        )

    def slowdown(
        self, victim: str, loads: Mapping[str, float], now: float
    ) -> float:
        """Returns the expected slowdown of a kind beside loads.

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
        """Takes one report.

        Args:
            victim: Kind of the task.
            loads: Loads beside it when the report was read.
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
