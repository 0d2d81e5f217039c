"""Metrics of one process, for Prometheus."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

OTHER = "other"
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


class LabelValues:
    """A bounded set of values of one label; what comes later is counted as ``other``.

    Parameters
    ----------
    limit : int
        Number of distinct values.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.known: set[str] = set()

    def bound(self, value: str) -> str:
        """Return `value`, or `OTHER` when the set is full and does not know it."""
        if value in self.known:
            return value
        if len(self.known) >= self.limit:
            return OTHER
        self.known.add(value)
        return value


class Metrics:
    """All metrics of one process, in a registry of its own.

    Parameters
    ----------
    label_limit : int
        Number of distinct values of each label that operators or strangers decide.

    Attributes
    ----------
    registry : CollectorRegistry
        What ``/metrics`` shows.
    services, servers : LabelValues
        Bounds for the labels ``service`` and ``server``.
    """

    def __init__(self, label_limit: int = 500) -> None:
        self.registry = CollectorRegistry()
        self.services = LabelValues(label_limit)
        self.servers = LabelValues(label_limit)
        self._add_requests()
        self._add_ownership()
        self._add_control()
        self._add_process()

    def _add_requests(self) -> None:
        """Define the metrics of callers' requests."""
        self.requests = self._counter(
            "requests", "Callers' requests by how they ended.", ("service", "result")
        )
        self.errors = self._counter(
            "errors", "Answers that this system gave itself, by error kind.", ("service", "kind")
        )
        self.request_time = self._histogram(
            "request_seconds", "From a request's headers to the end of its answer.", ("service",)
        )
        self.in_flight = self._gauge("requests_in_flight", "Requests being served.", ("service",))
        self.connections = self._gauge("connections", "Connections of callers.", ())
        self.connections_refused = self._counter(
            "connections_refused", "Callers' connections beyond the limit.", ()
        )
        self.queue = self._gauge(
            "queue_requests", "Requests that wait for a backend server.", ("service", "server")
        )
        self.queue_time = self._histogram(
            "queue_seconds", "Wait for a backend server's turn.", ("service",)
        )
        self.retries = self._counter("retries", "Requests sent once more.", ("service",))
        self.forwarded = self._counter(
            "forwarded_requests", "Requests handed to another entry VM.", ("service",)
        )
        self.window_entries = self._gauge(
            "idempotency_entries", "Idempotency keys remembered.", ("service",)
        )
        self.repeats = self._counter(
            "idempotency_repeats", "Repeated orders by how they were met.", ("service", "result")
        )

    def _add_ownership(self) -> None:
        """Define the metrics of ownership and load."""
        self.sessions = self._gauge(
            "sessions", "Backend servers whose gate this VM is, by session state.", ("state",)
        )
        self.units = self._gauge("units", "Units owned per backend server.", ("service", "server"))
        self.units_without_owner = self._gauge(
            "units_without_owner", "Units that no backend server owns.", ("service",)
        )
        self.moves = self._counter(
            "unit_moves", "Units that this VM moved, by reason.", ("service", "reason")
        )
        self.takeovers = self._counter(
            "gate_takeovers", "Backend servers that this VM took over.", ("service",)
        )
        self.imbalance = self._gauge(
            "imbalance_ratio", "Highest load of a backend server over the mean.", ("service",)
        )
        self.assignment_revision = self._gauge(
            "assignment_revision", "Platform revision of the assignment in force.", ("service",)
        )
        self.cut_zones = self._gauge("cut_zones", "Zones that this VM hears nothing from.", ())

    def _add_control(self) -> None:
        """Define the metrics of membership, the platform and configuration."""
        self.members = self._gauge("members", "Entry VMs by state.", ("state",))
        self.configuration_version = self._gauge(
            "configuration_version", "Version of the configuration in force.", ()
        )
        self.platform_calls = self._counter(
            "platform_calls", "Calls to the platform's services.", ("kind", "result")
        )
        self.platform_age = self._gauge(
            "platform_reading_age_seconds", "Age of the last reading of the platform.", ()
        )
        self.peer_messages = self._counter(
            "peer_messages", "Messages between entry VMs.", ("kind", "direction")
        )
        self.peer_bytes = self._counter(
            "peer_bytes", "Bytes between entry VMs.", ("kind", "direction")
        )
        self.peer_refused = self._counter(
            "peer_refused", "Peers refused for a wrong key or a bad message.", ()
        )

    def _add_process(self) -> None:
        """Define the metrics of the process itself."""
        self.loop_lag = self._histogram("loop_lag_seconds", "How late the event loop woke up.", ())
        self.admin_requests = self._counter(
            "admin_requests", "Requests to the admin API.", ("operation", "status")
        )

    def _counter(self, name: str, meaning: str, labels: tuple[str, ...]) -> Counter:
        """Add a counter; its public name ends in ``_total``."""
        return Counter(f"fireflylock_{name}", meaning, labels, registry=self.registry)

    def _gauge(self, name: str, meaning: str, labels: tuple[str, ...]) -> Gauge:
        """Add a gauge."""
        return Gauge(f"fireflylock_{name}", meaning, labels, registry=self.registry)

    def _histogram(self, name: str, meaning: str, labels: tuple[str, ...]) -> Histogram:
        """Add a histogram of seconds."""
        return Histogram(
            f"fireflylock_{name}",
            meaning,
            labels,
            registry=self.registry,
            buckets=LATENCY_BUCKETS,
        )

    def text(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self.registry)
