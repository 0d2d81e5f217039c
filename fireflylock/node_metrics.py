"""Metrics that are read from a daemon's view for operators."""

from collections import Counter
from collections.abc import Iterator

from fireflylock.assignment import NO_SERVER
from fireflylock.metrics import Labels, Metrics, StateMetric
from fireflylock.nodeview import GateStatus, NodeView
from fireflylock.summaries import units_by_server

Sample = tuple[Labels, float]


class NodeMetrics:
    """Reads a daemon's metrics from its view for operators.

    Parameters
    ----------
    node : NodeView
        The daemon.
    """

    def __init__(self, node: NodeView) -> None:
        self.node = node

    def add_to(self, metrics: Metrics) -> None:
        """Add the metrics of the daemon to `metrics`."""
        by_server = ("service", "server")
        metrics.state.state_metrics += [
            StateMetric("members", "Entry VMs by state.", ("state",), self.members),
            StateMetric("cut_zones", "Zones that nothing is heard from.", (), self.cut_zones),
            StateMetric(
                "configuration_version", "Configuration in force.", (), self.configuration_version
            ),
            StateMetric("ready", "1 when this VM can serve.", (), self.ready),
            StateMetric("units", "Units owned by each backend server.", by_server, self.units),
            StateMetric(
                "units_without_owner", "Units nobody owns.", ("service",), self.units_without_owner
            ),
            StateMetric(
                "assignment_revision",
                "Platform revision of the assignment in force.",
                ("service",),
                self.assignment_revision,
            ),
            StateMetric(
                "sessions",
                "Backend servers whose gate this VM is, by session state.",
                ("state",),
                self.sessions,
            ),
            StateMetric(
                "gate_in_flight",
                "Requests at backend servers whose gate this VM is.",
                by_server,
                self.gate_in_flight,
            ),
            StateMetric(
                "queue_requests", "Requests that wait for a backend server.", by_server, self.queue
            ),
            StateMetric(
                "imbalance_ratio",
                "Highest load of a backend server over the mean.",
                ("service",),
                self.imbalance,
            ),
            StateMetric(
                "unit_moves", "Units that this VM moved.", ("service",), self.moves, counts=True
            ),
        ]

    def services(self) -> list[str]:
        """Return the names of all services."""
        return sorted(self.node.configuration().services)

    def members(self) -> Iterator[Sample]:
        """Yield the numbers of live and silent entry VMs."""
        members = self.node.members()
        alive = sum(member.alive for member in members)
        yield ("alive",), alive
        yield ("silent",), len(members) - alive

    def cut_zones(self) -> Iterator[Sample]:
        """Yield the number of cut-off zones."""
        yield (), len(self.node.cut_zones())

    def configuration_version(self) -> Iterator[Sample]:
        """Yield the version in force."""
        yield (), self.node.configuration().version

    def ready(self) -> Iterator[Sample]:
        """Yield 1 if the VM can serve, else 0."""
        yield (), 0 if self.node.ready() else 1

    def units(self) -> Iterator[Sample]:
        """Yield the number of units of each backend server."""
        for service in self.services():
            for server, count in sorted(units_by_server(self.node, service).items()):
                if server != NO_SERVER:
                    yield (service, server), count

    def units_without_owner(self) -> Iterator[Sample]:
        """Yield the number of units without an owner."""
        for service in self.services():
            yield (service,), units_by_server(self.node, service)[NO_SERVER]

    def assignment_revision(self) -> Iterator[Sample]:
        """Yield the revision of each assignment."""
        for service in self.services():
            assignment = self.node.assignment(service)
            yield (service,), assignment.revision if assignment is not None else 0

    def gates(self) -> Iterator[tuple[str, GateStatus]]:
        """Yield every backend server whose gate this VM is, with its service."""
        for service in self.services():
            for gate in self.node.gate_states(service):
                yield service, gate

    def sessions(self) -> Iterator[Sample]:
        """Yield the number of sessions in each state."""
        states = Counter(gate.session for _, gate in self.gates())
        for state, count in sorted(states.items()):
            yield (state,), count

    def gate_in_flight(self) -> Iterator[Sample]:
        """Yield the number of requests in flight at each backend server."""
        for service, gate in self.gates():
            yield (service, gate.server), gate.in_flight

    def queue(self) -> Iterator[Sample]:
        """Yield the number of queued requests of each backend server."""
        for service, gate in self.gates():
            yield (service, gate.server), gate.queued

    def imbalance(self) -> Iterator[Sample]:
        """Yield the imbalance of each service, where it is known."""
        for service in self.services():
            imbalance = self.node.load(service).imbalance
            if imbalance:
                yield (service,), imbalance

    def moves(self) -> Iterator[Sample]:
        """Yield the number of units that this VM has moved."""
        for service in self.services():
            yield (service,), self.node.load(service).moves
