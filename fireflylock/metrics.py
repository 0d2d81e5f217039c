"""Prometheus metrics of one process."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    disable_created_metrics,
    generate_latest,
)
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

# Creation times of the series would double the size of a scrape, and nobody uses them.
disable_created_metrics()

OTHER = "other"
PREFIX = "fireflylock_"
LATENCY_BUCKETS = (
    0.001,
    0.002,
    0.003,
    0.005,
    0.007,
    0.009,
    0.011,
    0.015,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)

Labels = tuple[str, ...]
Samples = Iterable[tuple[Labels, float]]


class LabelValues:
    """A bounded set of values of one label; further values are counted as ``other``.

    Parameters
    ----------
    limit : int
        Number of distinct values.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.known: set[str] = set()

    def bound(self, value: str) -> str:
        """Return `value`, or `OTHER` if the set is full without it."""
        if value in self.known:
            return value
        if len(self.known) >= self.limit:
            return OTHER
        self.known.add(value)
        return value


@dataclass(frozen=True)
class StateMetric:
    """A metric that is read from the process's state at each scrape.

    Attributes
    ----------
    name, meaning : str
        Name without the prefix, and help text.
    labels : tuple of str
        Names of the labels.
    read : callable
        Returns pairs of label values and metric value.
    counts : bool
        Whether the metric is a counter.
    """

    name: str
    meaning: str
    labels: Labels
    read: Callable[[], Samples]
    counts: bool = False


class StateCollector(Collector):
    """Reads metrics from the process's state at each scrape.

    Parameters
    ----------
    limit : int
        Maximum number of samples of one metric; further ones are omitted.

    Attributes
    ----------
    state_metrics : list of StateMetric
        Metrics to read.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.state_metrics: list[StateMetric] = []

    def collect(self) -> Iterator[Metric]:
        """Yield every metric."""
        for state_metric in self.state_metrics:
            kind = CounterMetricFamily if state_metric.counts else GaugeMetricFamily
            family = kind(
                PREFIX + state_metric.name, state_metric.meaning, labels=state_metric.labels
            )
            for index, (labels, value) in enumerate(state_metric.read()):
                if index >= self.limit:
                    break
                family.add_metric(labels, value)
            yield family


class Metrics:
    """All metrics of one process, in a registry of its own.

    Parameters
    ----------
    label_limit : int
        Maximum number of values of each label that operators or outsiders choose.

    Attributes
    ----------
    registry : CollectorRegistry
        Content of ``/metrics``.
    services : LabelValues
        Values of the label ``service``.
    state : StateCollector
        Metrics that are read at each scrape.
    """

    def __init__(self, label_limit: int = 500) -> None:
        self.registry = CollectorRegistry()
        self.services = LabelValues(label_limit)
        self.state = StateCollector(label_limit)
        self.registry.register(self.state)
        self.requests = Counter(
            f"{PREFIX}requests",
            "Callers' requests by result: answered, not-run, unknown, cut or caller-gone.",
            ("service", "result"),
            registry=self.registry,
        )
        self.errors = Counter(
            f"{PREFIX}errors",
            "Answers that this system gave itself, by error kind.",
            ("service", "kind"),
            registry=self.registry,
        )
        self.request_time = Histogram(
            f"{PREFIX}request_seconds",
            "From a request's headers to the end of its answer.",
            ("service",),
            registry=self.registry,
            buckets=LATENCY_BUCKETS,
        )
        self.loop_lag = Histogram(
            f"{PREFIX}loop_lag_seconds",
            "How late the event loop woke up.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS,
        )
        self.admin_requests = Counter(
            f"{PREFIX}admin_requests",
            "Requests to the admin API.",
            ("operation", "status"),
            registry=self.registry,
        )

    def text(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self.registry)
