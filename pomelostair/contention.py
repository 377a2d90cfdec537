"""Model of the latency that filler work adds to serving tasks.

A serving task is modelled as a queue: its tail latency is the unloaded latency
divided by one minus its utilization. Fillers on the same worker lengthen every
request. They multiply the utilization by one plus, summed over the filler
images, the pressure of the image times the share of the worker's cores that it
uses. The utilization of each attempt and the pressure of each pair of images
are tracked by an extended Kalman filter with independent variances.
"""

from collections.abc import Mapping
import math

import attrs

# Unloaded latency as a share of the target. The platform sets targets to 4.5
# times the unloaded latency.
UNLOADED_LATENCY_SHARE = 0.22
# A service is seldom observed idle, so its unloaded latency is taken to be this
# share of the lowest latency reported.
UNLOADED_SHARE_OF_MIN = 0.8
# Least unloaded latency, since utilizations are derived from ratios to it.
MIN_UNLOADED_MS = 1e-3
# Above this utilization it cannot be derived from the latency.
MAX_MEASURABLE_UTILIZATION = 0.95
# Time constant with which reported latencies follow the actual latency, as
# observed when a noisy neighbour is stopped.
LAG_S = 0.35
# Reports closer together than this contain no new measurement.
MIN_REPORT_INTERVAL_S = 0.15
# Utilization assumed for a service without reports, and its standard deviation.
# The request rate varies by half around its mean, so estimates revert to the
# prior with the time constant UTILIZATION_DECAY_S.
PRIOR_UTILIZATION = 0.45
PRIOR_UTILIZATION_SD = 0.15
UTILIZATION_DECAY_S = 8.0
MIN_UTILIZATION = 0.05
MAX_UTILIZATION = 0.9
# Pressure assumed for a pair without reports, its standard deviation, and the
# growth of an estimate's variance per second.
PRIOR_PRESSURE = 2.0
PRIOR_PRESSURE_SD = 2.5
PRESSURE_VARIANCE_PER_S = 0.2**2
MAX_PRESSURE = 15.0
# Standard deviation of a utilization derived from a steady latency, and its
# growth per unit of utilization that the lag correction adds or removes.
MEASUREMENT_SD = 0.04
LAG_CORRECTION_SD_FACTOR = 0.4
# Standard deviations by which a conservative estimate exceeds the mean.
CAUTION_SDS = 0.3
# A conservative pressure below this counts as 0.
NEGLIGIBLE_PRESSURE = 0.5
MAX_PAIRS = 10_000


@attrs.define
class _Estimate:
    """An estimated value and its variance.

    Attributes:
        mean: Expected value.
        variance: Variance of the value.
        at_s: Monotonic seconds at which both were computed.
    """

    mean: float
    variance: float
    at_s: float


@attrs.define
class _ServingState:
    """State of one serving attempt.

    Attributes:
        utilization: Estimated utilization without fillers.
        latency_ms: Latest reported tail latency.
    """

    utilization: _Estimate
    latency_ms: float


@attrs.frozen
class Learned:
    """What one leader learned about images, for the next one.

    Attributes:
        pairs: Serving image, filler image, mean and variance of the pressure.
        min_latencies_ms: Lowest reported latency by serving image.
    """

    pairs: tuple[tuple[str, str, float, float], ...] = ()
    min_latencies_ms: dict[str, float] = attrs.field(factory=dict)


class Contention:
    """Utilizations and pressures learned in one term of a leader."""

    def __init__(self):
        self._pressures: dict[tuple[str, str], _Estimate] = {}
        self._serving_states: dict[tuple[str, int], _ServingState] = {}
        self._min_latencies_ms: dict[str, float] = {}

    def observe(
        self,
        key: tuple[str, int],
        image: str,
        target_ms: float,
        latency_ms: float,
        loads: Mapping[str, float],
        now: float,
    ) -> None:
        """Updates the estimates with one latency report of a serving attempt.

        Args:
            key: Task id and number of the attempt.
            image: Image of the attempt.
            target_ms: Target of its tail latency.
            latency_ms: Reported tail latency, above 0.
            loads: Shares of the worker's cores in use by filler image.
            now: Monotonic seconds.
        """
        self._min_latencies_ms[image] = min(
            latency_ms, self._min_latencies_ms.get(image, latency_ms)
        )
        state = self._serving_states.get(key)
        if state is None:
            initial = _Estimate(PRIOR_UTILIZATION, PRIOR_UTILIZATION_SD**2, now)
            state = self._serving_states[key] = _ServingState(
                initial, latency_ms
            )
        else:
            elapsed_s = now - state.utilization.at_s
            if elapsed_s < MIN_REPORT_INTERVAL_S:
                return
        unloaded_ms = self.unloaded_ms(image, target_ms)
        reported = _utilization_from_latency(unloaded_ms, latency_ms)
        corrected = _utilization_from_latency(
            unloaded_ms, _lag_corrected_ms(state, latency_ms, unloaded_ms, now)
        )
        noise_variance = (
            MEASUREMENT_SD
            + LAG_CORRECTION_SD_FACTOR * abs(corrected - reported)
        ) ** 2
        state.latency_ms = latency_ms
        self._update(state, image, loads, corrected, noise_variance, now)

    def unloaded_ms(self, image: str, target_ms: float) -> float:
        """Returns the estimated tail latency of an image without load."""
        min_latency_ms = self._min_latencies_ms.get(image, math.inf)
        unloaded_ms = min(
            UNLOADED_LATENCY_SHARE * target_ms,
            UNLOADED_SHARE_OF_MIN * min_latency_ms,
        )
        return max(unloaded_ms, MIN_UNLOADED_MS)

    def utilization(self, key: tuple[str, int], now: float) -> float:
        """Returns a conservative utilization of an attempt without fillers."""
        state = self._serving_states.get(key)
        if state is None:
            return PRIOR_UTILIZATION + CAUTION_SDS * PRIOR_UTILIZATION_SD
        estimate = _utilization_at(state.utilization, now)
        return estimate.mean + CAUTION_SDS * math.sqrt(estimate.variance)

    def pressure(self, image: str, filler_image: str, now: float) -> float:
        """Returns the conservative pressure of a filler on a serving image.

        Args:
            image: The serving image.
            filler_image: The filler image.
            now: Monotonic seconds.

        Returns:
            Relative growth of the utilization if the filler used all cores of
            the worker, 0 if it is negligible.
        """
        estimate = self._pressures.get((image, filler_image))
        if estimate is None:
            return PRIOR_PRESSURE + CAUTION_SDS * PRIOR_PRESSURE_SD
        estimate = _pressure_at(estimate, now)
        value = estimate.mean + CAUTION_SDS * math.sqrt(estimate.variance)
        return 0.0 if value < NEGLIGIBLE_PRESSURE else value

    def forget(self, key: tuple[str, int]) -> None:
        """Drops the state of an attempt that ended."""
        self._serving_states.pop(key, None)

    def learned(self, max_pairs: int) -> Learned:
        """Returns the pairs of images that are known best.

        Args:
            max_pairs: Most pairs to return.
        """
        known = sorted(
            self._pressures.items(), key=lambda item: item[1].variance
        )
        pairs = tuple(
            (image, filler_image, estimate.mean, estimate.variance)
            for (image, filler_image), estimate in known[:max_pairs]
        )
        images = {pair[0] for pair in pairs}
        return Learned(
            pairs,
            {
                image: latency_ms
                for image, latency_ms in self._min_latencies_ms.items()
                if image in images
            },
        )

    def adopt(self, learned: Learned, now: float) -> None:
        """Begins with what an earlier leader learned.

        Estimates of its own and values out of range are kept out.

        Args:
            learned: What it learned.
            now: Monotonic seconds.
        """
        for image, filler_image, mean, variance in learned.pairs[:MAX_PAIRS]:
            if 0 <= mean <= MAX_PRESSURE and 0 < variance < math.inf:
                self._pressures.setdefault(
                    (image, filler_image), _Estimate(mean, variance, now)
                )
        for image, latency_ms in learned.min_latencies_ms.items():
            if 0 < latency_ms < math.inf:
                self._min_latencies_ms.setdefault(image, latency_ms)

    def _update(
        self,
        state: _ServingState,
        image: str,
        loads: Mapping[str, float],
        measured: float,
        noise_variance: float,
        now: float,
    ) -> None:
        utilization = state.utilization = _utilization_at(
            state.utilization, now
        )
        pairs = []
        for filler_image, load in loads.items():
            pair = self._current_pressure(image, filler_image, now)
            pairs.append((pair, load))
        growth = 1 + sum(pair.mean * load for pair, load in pairs)
        expected = utilization.mean * growth
        if (
            expected >= MAX_MEASURABLE_UTILIZATION
            and measured >= MAX_MEASURABLE_UTILIZATION
        ):
            return
        error = measured - min(expected, MAX_MEASURABLE_UTILIZATION)
        slopes = [
            (utilization, growth),
            *((pair, utilization.mean * load) for pair, load in pairs),
        ]
        innovation_variance = noise_variance + sum(
            s * s * e.variance for e, s in slopes
        )
        for estimate, slope in slopes:
            gain = estimate.variance * slope / innovation_variance
            estimate.mean += gain * error
            estimate.variance *= 1 - gain * slope
        utilization.mean = min(
            max(utilization.mean, MIN_UTILIZATION), MAX_UTILIZATION
        )
        for pair, _ in pairs:
            pair.mean = min(max(pair.mean, 0.0), MAX_PRESSURE)

    def _current_pressure(
        self, image: str, filler_image: str, now: float
    ) -> _Estimate:
        pair = (image, filler_image)
        estimate = self._pressures.get(pair)
        if estimate is None:
            if len(self._pressures) >= MAX_PAIRS:
                del self._pressures[next(iter(self._pressures))]
            estimate = _Estimate(PRIOR_PRESSURE, PRIOR_PRESSURE_SD**2, now)
        self._pressures[pair] = estimate = _pressure_at(estimate, now)
        return estimate


def _utilization_at(estimate: _Estimate, now: float) -> _Estimate:
    """Returns a utilization at a later time, reverted towards the prior."""
    decay = math.exp(min(0.0, estimate.at_s - now) / UTILIZATION_DECAY_S)
    return _Estimate(
        PRIOR_UTILIZATION + decay * (estimate.mean - PRIOR_UTILIZATION),
        decay**2 * estimate.variance + (1 - decay**2) * PRIOR_UTILIZATION_SD**2,
        now,
    )


def _pressure_at(estimate: _Estimate, now: float) -> _Estimate:
    """Returns a pressure at a later time, with a larger variance."""
    variance = estimate.variance + PRESSURE_VARIANCE_PER_S * max(
        0.0, now - estimate.at_s
    )
    return _Estimate(estimate.mean, min(variance, PRIOR_PRESSURE_SD**2), now)


def _utilization_from_latency(unloaded_ms: float, latency_ms: float) -> float:
    return min(
        max(1 - unloaded_ms / latency_ms, 0.0), MAX_MEASURABLE_UTILIZATION
    )


def _lag_corrected_ms(
    state: _ServingState, latency_ms: float, unloaded_ms: float, now: float
) -> float:
    """Returns the current latency estimated from a lagging report."""
    elapsed_s = now - state.utilization.at_s
    if elapsed_s <= 0:
        return latency_ms
    lag_decay = math.exp(-elapsed_s / LAG_S)
    change_ms = latency_ms - state.latency_ms
    return max(
        latency_ms + change_ms * lag_decay / (1 - lag_decay), unloaded_ms
    )
