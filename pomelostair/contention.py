"""How filling work raises the latency of serving tasks, learned from reports.

A serving task is modelled as a queue: its tail latency is a floor divided by
the share of time that its server is free. Filling work beside it lengthens
every request, so that the utilization grows by a factor of one plus, for each
filling image, a pressure times the share of the worker's cores that it uses.
The utilization of each attempt and the pressure of each pair of images are
tracked by an extended Kalman filter with independent variances.
"""

from collections.abc import Mapping
import math

import attrs

# Latency at no load over the target. The platform sets targets of 4.5 times the
# latency at no load.
FLOOR_SHARE = 0.22
# An idle service is seldom seen; its floor is below the least latency seen.
FLOOR_OF_LEAST = 0.8
# Utilization beyond which the latency no longer tells how much it is.
SATURATED = 0.95
# Reported latencies follow the true one with this delay in seconds, as seen
# when a noisy neighbour is stopped.
LAG_S = 0.35
# Reports closer together than this, in seconds, hold no new figure.
LEAST_STEP_S = 0.15
# Utilization of a service that was never seen, and its deviation. Requests
# swing by half around their mean; what is known of a service fades in this
# time.
UTILIZATION = 0.45
UTILIZATION_SD = 0.15
UTILIZATION_FADES_S = 8.0
LEAST_UTILIZATION = 0.05
MOST_UTILIZATION = 0.9
# Pressure of a pair that was never seen, its deviation, and the growth of its
# variance in a second.
PRESSURE = 2.0
PRESSURE_SD = 2.5
PRESSURE_DRIFT = 0.2**2
MOST_PRESSURE = 15.0
# Deviation of a utilization that is read from a steady latency, and its growth
# with the correction for the lag.
NOISE_SD = 0.04
LAG_NOISE = 0.4
# Deviations that a cautious estimate lies above the mean.
CAUTION = 0.7
# Cautious pressure below which a pair does not matter.
LIGHT = 0.5
MAX_PAIRS = 10_000


@attrs.define
class _Estimate:
    """A value with its variance.

    Attributes:
        mean: The value.
        variance: Its variance.
        at_s: Monotonic seconds for which both hold.
    """

    mean: float
    variance: float
    at_s: float


@attrs.define
class _Service:
    """One serving attempt.

    Attributes:
        utilization: Its utilization without filling work.
        latency_ms: The latest reported latency.
    """

    utilization: _Estimate
    latency_ms: float


class Contention:
    """Learned utilizations and pressures of one term of a leader."""

    def __init__(self):
        self._pressures: dict[tuple[str, str], _Estimate] = {}
        self._services: dict[tuple[str, int], _Service] = {}
        self._least: dict[str, float] = {}

    def observe(
        self,
        key: tuple[str, int],
        image: str,
        target_ms: float,
        latency_ms: float,
        loads: Mapping[str, float],
        now: float,
    ) -> None:
        """Takes in one figure of a serving attempt.

        Args:
            key: The attempt.
            image: Its image.
            target_ms: Target of its tail latency.
            latency_ms: Reported tail latency, above 0.
            loads: Shares of the worker's cores in use, by filling image.
            now: Monotonic seconds.
        """
        self._least[image] = min(latency_ms, self._least.get(image, latency_ms))
        service = self._services.get(key)
        if service is None:
            first = _Estimate(UTILIZATION, UTILIZATION_SD**2, now)
            service = self._services[key] = _Service(first, latency_ms)
        else:
            elapsed_s = now - service.utilization.at_s
            if elapsed_s < LEAST_STEP_S:
                return
        floor_ms = self.floor_ms(image, target_ms)
        seen = _utilization(floor_ms, latency_ms)
        current = _utilization(
            floor_ms, _without_lag(service, latency_ms, floor_ms, now)
        )
        noise = (NOISE_SD + LAG_NOISE * abs(current - seen)) ** 2
        service.latency_ms = latency_ms
        self._update(service, image, loads, current, noise, now)

    def floor_ms(self, image: str, target_ms: float) -> float:
        """Returns the tail latency of an image at no load."""
        least = self._least.get(image, math.inf)
        return min(FLOOR_SHARE * target_ms, FLOOR_OF_LEAST * least)

    def utilization(self, key: tuple[str, int], now: float) -> float:
        """Returns a cautious utilization of an attempt without filling work."""
        service = self._services.get(key)
        if service is None:
            return UTILIZATION + CAUTION * UTILIZATION_SD
        found = _faded(service.utilization, now)
        return found.mean + CAUTION * math.sqrt(found.variance)

    def pressure(self, image: str, beside: str, now: float) -> float:
        """Returns the cautious pressure of a filling image on a serving one.

        Args:
            image: The serving image.
            beside: The filling image.
            now: Monotonic seconds.

        Returns:
            Growth of the utilization with all cores in use, 0 if it is too
            small to matter.
        """
        found = self._pressures.get((image, beside))
        if found is None:
            return PRESSURE + CAUTION * PRESSURE_SD
        found = _drifted(found, now)
        value = found.mean + CAUTION * math.sqrt(found.variance)
        return 0.0 if value < LIGHT else value

    def forget(self, key: tuple[str, int]) -> None:
        """Forgets an attempt that ended."""
        self._services.pop(key, None)

    def _update(
        self,
        service: _Service,
        image: str,
        loads: Mapping[str, float],
        seen: float,
        noise: float,
        now: float,
    ) -> None:
        utilization = service.utilization = _faded(service.utilization, now)
        pairs = []
        for beside, load in loads.items():
            pair = self._pressure(image, beside, now)
            pairs.append((pair, load))
        growth = 1 + sum(pair.mean * load for pair, load in pairs)
        expected = utilization.mean * growth
        if expected >= SATURATED and seen >= SATURATED:
            return
        error = seen - min(expected, SATURATED)
        slopes = [
            (utilization, growth),
            *((pair, utilization.mean * load) for pair, load in pairs),
        ]
        total = noise + sum(s * s * e.variance for e, s in slopes)
        for estimate, slope in slopes:
            gain = estimate.variance * slope / total
            estimate.mean += gain * error
            estimate.variance *= 1 - gain * slope
        utilization.mean = min(
            max(utilization.mean, LEAST_UTILIZATION), MOST_UTILIZATION
        )
        for pair, _ in pairs:
            pair.mean = min(max(pair.mean, 0.0), MOST_PRESSURE)

    def _pressure(self, image: str, beside: str, now: float) -> _Estimate:
        pair = (image, beside)
        found = self._pressures.get(pair)
        if found is None:
            if len(self._pressures) >= MAX_PAIRS:
                del self._pressures[next(iter(self._pressures))]
            found = _Estimate(PRESSURE, PRESSURE_SD**2, now)
        self._pressures[pair] = found = _drifted(found, now)
        return found


def _faded(estimate: _Estimate, now: float) -> _Estimate:
    """Returns a utilization at a later time."""
    kept = math.exp(min(0.0, estimate.at_s - now) / UTILIZATION_FADES_S)
    return _Estimate(
        UTILIZATION + kept * (estimate.mean - UTILIZATION),
        kept**2 * estimate.variance + (1 - kept**2) * UTILIZATION_SD**2,
        now,
    )


def _drifted(estimate: _Estimate, now: float) -> _Estimate:
    """Returns a pressure at a later time."""
    variance = estimate.variance + PRESSURE_DRIFT * max(
        0.0, now - estimate.at_s
    )
    return _Estimate(estimate.mean, min(variance, PRESSURE_SD**2), now)


def _utilization(floor_ms: float, latency_ms: float) -> float:
    return min(max(1 - floor_ms / latency_ms, 0.0), SATURATED)


def _without_lag(
    service: _Service, latency_ms: float, floor_ms: float, now: float
) -> float:
    """Returns the latency that a lagging figure points to."""
    elapsed_s = now - service.utilization.at_s
    if elapsed_s <= 0:
        return latency_ms
    kept = math.exp(-elapsed_s / LAG_S)
    change = latency_ms - service.latency_ms
    return max(latency_ms + change * kept / (1 - kept), floor_ms)
