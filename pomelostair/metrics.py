"""Counters, histograms and gauges, implemented with OpenTelemetry."""

from collections.abc import Callable

from opentelemetry import metrics as otel
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import view
import prometheus_client

_LATENCY_BUCKETS_S = (
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

# Label values come from fixed sets or configuration; one that a peer's or a
# caller's text would make is cut, and too many count together.
MAX_LABEL_CHARACTERS = 100
MAX_SERIES = 1000
_OTHER = "other"


class Metrics:
    """Metrics of one process; instruments are created on first use."""

    def __init__(self):
        self._registry = prometheus_client.CollectorRegistry()
        prometheus_client.ProcessCollector(registry=self._registry)
        buckets = view.ExplicitBucketHistogramAggregation(_LATENCY_BUCKETS_S)
        self._provider = sdk.MeterProvider(
            metric_readers=[
                prometheus.PrometheusMetricReader(
                    disable_target_info=True,
                    scope_info_enabled=False,
                    registry=self._registry,
                )
            ],
            views=[view.View(instrument_name="*_seconds", aggregation=buckets)],
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("pomelostair")
        self._counters: dict[str, dict[tuple, int]] = {}
        self._histograms: dict[str, otel.Histogram] = {}
        self._histogram_keys: dict[str, set[tuple]] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds `amount` to the counter `name` under `labels`."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._counters[name] = {}
            self._meter.create_observable_counter(
                f"pomelostair_{name}", callbacks=[_counter_callback(counter)]
            )
        key = _bounded(tuple(sorted(labels.items())), counter)
        counter[key] = counter.get(key, 0) + amount

    def record(self, name: str, value: float, **labels: str) -> None:
        """Records `value` in the histogram `name` under `labels`."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(f"pomelostair_{name}")
            self._histograms[name] = histogram
        seen = self._histogram_keys.setdefault(name, set())
        key = _bounded(tuple(sorted(labels.items())), seen)
        seen.add(key)
        histogram.record(value, dict(key))

    def gauge(self, name: str, read_value: Callable[[], float]) -> None:
        """Registers the gauge `name`; `read_value` is called at each export."""
        self._meter.create_observable_gauge(
            f"pomelostair_{name}",
            callbacks=[lambda _options: [otel.Observation(read_value())]],
        )

    def exposition(self) -> bytes:
        """Returns all values in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)


def _bounded(key: tuple, known: dict | set) -> tuple:
    """Returns the labels, cut and of a bounded number of combinations."""
    if key in known:
        return key
    if any(len(value) > MAX_LABEL_CHARACTERS for _, value in key):
        key = tuple((n, v[:MAX_LABEL_CHARACTERS]) for n, v in key)
    if key in known or len(known) < MAX_SERIES:
        return key
    return tuple((name, _OTHER) for name, _ in key)


def _counter_callback(counter: dict[tuple, int]):
    """Returns an OpenTelemetry callback that reports a counter's values."""

    def observe(_options: otel.CallbackOptions) -> list[otel.Observation]:
        return [
            otel.Observation(value, dict(key))
            for key, value in list(counter.items())
        ]

    return observe
