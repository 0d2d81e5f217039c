"""Metrics of a process's links to callers, other entry VMs and the platform."""

from collections.abc import Iterator
from datetime import timedelta

from fireflylock.clock import Clock
from fireflylock.etcd import EtcdStore
from fireflylock.frontend import Frontend
from fireflylock.membership import Membership
from fireflylock.metrics import Labels, Metrics, StateMetric
from fireflylock.peers import Peers

Sample = tuple[Labels, float]


class LinkMetrics:
    """Provides the metrics of a process's links.

    Parameters
    ----------
    frontend : Frontend
        The callers.
    peers : Peers
        The other entry VMs.
    store : EtcdStore
        The platform's key-value service.
    membership : Membership
        Knows the age of the newest read of the platform.
    clock : Clock
        The time source.
    """

    def __init__(
        self,
        frontend: Frontend,
        peers: Peers,
        store: EtcdStore,
        membership: Membership,
        clock: Clock,
    ) -> None:
        self.frontend = frontend
        self.peers = peers
        self.store = store
        self.membership = membership
        self.clock = clock

    def add_to(self, metrics: Metrics) -> None:
        """Register these readings with `metrics`."""
        traffic = ("kind", "direction")
        metrics.state.state_metrics += [
            StateMetric("connections", "Connections of callers.", (), self.connections),
            StateMetric(
                "requests_in_flight", "Callers' requests being served.", (), self.in_flight
            ),
            StateMetric(
                "platform_calls",
                "Calls to the platform's key-value service.",
                ("kind", "result"),
                self.platform_calls,
                counts=True,
            ),
            StateMetric(
                "platform_reading_age_seconds",
                "Age of the newest reading of the platform heard of; absent before the first.",
                (),
                self.platform_age,
            ),
            StateMetric(
                "peer_messages",
                "Messages between entry VMs.",
                traffic,
                self.peer_messages,
                counts=True,
            ),
            StateMetric(
                "peer_bytes", "Bytes between entry VMs.", traffic, self.peer_bytes, counts=True
            ),
            StateMetric(
                "peer_refused",
                "Entry VMs refused for an unknown key.",
                (),
                self.peer_refused,
                counts=True,
            ),
        ]

    def connections(self) -> Iterator[Sample]:
        """Yield the number of callers' connections."""
        yield (), len(self.frontend.connections)

    def in_flight(self) -> Iterator[Sample]:
        """Yield the number of callers' requests being served."""
        yield (), sum(connection.task is not None for connection in self.frontend.connections)

    def platform_calls(self) -> Iterator[Sample]:
        """Yield the numbers of calls to the platform that were answered and that failed."""
        counts = self.store.counts
        for kind, calls in sorted(counts.calls.items()):
            failed = counts.failures[kind]
            yield (kind, "answered"), calls - failed
            yield (kind, "failed"), failed

    def platform_age(self) -> Iterator[Sample]:
        """Yield the age of the newest read of the platform."""
        age: timedelta | None = self.membership.platform_age(self.clock.elapsed())
        if age is not None:
            yield (), age.total_seconds()

    def peer_messages(self) -> Iterator[Sample]:
        """Yield the numbers of messages sent and received."""
        for direction, traffic in self.directions():
            for kind, count in sorted(traffic.messages.items()):
                yield (kind, direction), count

    def peer_bytes(self) -> Iterator[Sample]:
        """Yield the numbers of bytes sent and received."""
        for direction, traffic in self.directions():
            for kind, count in sorted(traffic.bytes.items()):
                yield (kind, direction), count

    def directions(self):
        """Return the traffic in both directions."""
        return (("in", self.peers.received), ("out", self.peers.sent))

    def peer_refused(self) -> Iterator[Sample]:
        """Yield the number of refused peers."""
        yield (), self.peers.refused_keys
