"""Counters, histograms and gauges through OpenTelemetry."""

from collections.abc import Callable

from opentelemetry import metrics as otel
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import view
import prometheus_client

_LATENCY_BOUNDS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


class Metrics:
    """The instruments of one process, made on first use."""

    def __init__(self):
        self._registry = prometheus_client.CollectorRegistry()
        prometheus_client.ProcessCollector(registry=self._registry)
        bounds = view.ExplicitBucketHistogramAggregation(_LATENCY_BOUNDS_S)
        self._provider = sdk.MeterProvider(
            metric_readers=[
                prometheus.PrometheusMetricReader(
                    disable_target_info=True,
                    scope_info_enabled=False,
                    registry=self._registry,
                )
            ],
            views=[view.View(instrument_name="*_seconds", aggregation=bounds)],
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("pomelostair")
        self._counters: dict[str, dict[tuple, int]] = {}
        self._histograms: dict[str, otel.Histogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds `amount` to the counter `name` under `labels`."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._counters[name] = {}
            self._meter.create_observable_counter(
                f"pomelostair_{name}", callbacks=[_observer(counter)]
            )
        key = tuple(sorted(labels.items()))
        counter[key] = counter.get(key, 0) + amount

    def record(self, name: str, value: float, **labels: str) -> None:
        """Records `value` in the histogram `name` under `labels`."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(f"pomelostair_{name}")
            self._histograms[name] = histogram
        histogram.record(value, labels)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Makes the gauge `name`, whose value `read` returns on demand."""
        self._meter.create_observable_gauge(
            f"pomelostair_{name}",
            callbacks=[lambda _options: [otel.Observation(read())]],
        )

    def exposition(self) -> bytes:
        """Returns all values in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)


def _observer(counter: dict[tuple, int]):
    """Returns a callback that reads the values of a counter."""

    def observe(_options: otel.CallbackOptions) -> list[otel.Observation]:
        return [
            otel.Observation(value, dict(key))
            for key, value in list(counter.items())
        ]

    return observe
