"""Metrics of callers' requests, with cached labelled metrics."""

from dataclasses import dataclass, field

from prometheus_client import Counter, Histogram

from fireflylock.exceptions import ErrorKind
from fireflylock.metrics import Metrics

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
CUT = "cut"
CALLER_GONE = "caller-gone"

# Label of requests that match no service.
NO_SERVICE = ""


@dataclass
class ServiceMetrics:
    """The labelled metrics of one service.

    Attributes
    ----------
    results, errors : dict
        Counters by result, and by error kind.
    seconds : Histogram
        From a request's head to the end of its answer.
    """

    seconds: Histogram
    results: dict[str, Counter] = field(default_factory=dict)
    errors: dict[ErrorKind, Counter] = field(default_factory=dict)


class RequestMetrics:
    """Counts results and errors of callers' requests.

    Parameters
    ----------
    metrics : Metrics
        The process's metrics.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.services: dict[str, ServiceMetrics] = {}

    def request_finished(self, service: str, result: str, seconds: float) -> None:
        """Count one request that finished after `seconds`."""
        service_metrics = self.for_service(service)
        counter = service_metrics.results.get(result)
        if counter is None:
            label = self.metrics.services.bound(service)
            counter = self.metrics.requests.labels(service=label, result=result)
            service_metrics.results[result] = counter
        counter.inc()
        service_metrics.seconds.observe(seconds)

    def record_error(self, service: str, kind: ErrorKind) -> None:
        """Count one error response made by the system itself."""
        service_metrics = self.for_service(service)
        counter = service_metrics.errors.get(kind)
        if counter is None:
            label = self.metrics.services.bound(service)
            counter = self.metrics.errors.labels(service=label, kind=kind.value)
            service_metrics.errors[kind] = counter
        counter.inc()

    def for_service(self, service: str) -> ServiceMetrics:
        """Return the metrics of one service."""
        service_metrics = self.services.get(service)
        if service_metrics is None:
            label = self.metrics.services.bound(service)
            service_metrics = ServiceMetrics(self.metrics.request_time.labels(service=label))
            self.services[label] = service_metrics
        return service_metrics
