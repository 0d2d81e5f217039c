"""Selection of backend servers for services without per-key state."""

import random

from fireflylock.assignment import Assignment
from fireflylock.clock import Instant
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.health import ServiceHealth
from fireflylock.load_balancer import ServerLoad, TwoChoicesBalancer
from fireflylock.model import Configuration, ServerState, Service

# Errors that count as failures of the server itself.
SERVER_FAILURE_KINDS = frozenset(
    {ErrorKind.SERVER_UNREACHABLE, ErrorKind.OUTCOME_UNKNOWN, ErrorKind.DEADLINE_EXCEEDED}
)


class ServerSelector:
    """Chooses among the backend servers of one service by load and by observed health.

    Parameters
    ----------
    service : Service
        The service.
    zone : str
        Availability zone of this entry VM; its servers are preferred.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, service: Service, zone: str, rng: random.Random) -> None:
        self.service = service
        self.balancer = TwoChoicesBalancer(zone, rng)
        self.health = ServiceHealth([])
        self.applied_versions: tuple[int, int] = (-1, -1)

    def update_servers(self, configuration: Configuration, assignment: Assignment) -> None:
        """Apply the current set of backend servers."""
        versions = (configuration.version, assignment.revision)
        if versions == self.applied_versions:
            return
        self.applied_versions = versions
        servers = [
            server
            for server in configuration.servers_of(self.service.name)
            if server.state is ServerState.IN and server.name in assignment.gates
        ]
        limit = self.service.concurrency_limit
        self.balancer.set_servers([ServerLoad(one.name, one.zone, limit) for one in servers])
        self.health.set_servers([server.name for server in servers])

    def choose_server(self, now: Instant, reachable: list[str]) -> str:
        """Return the server for the next request.

        Raises
        ------
        RequestError
            No server can be used now.
        """
        known = [name for name in reachable if name in self.health.servers]
        usable = [name for name in known if self.health.may_send(now, name)]
        picked = self.balancer.choose_server(now, usable)
        for name in usable:
            if name != picked:
                self.health.record_abandoned(name)
        if picked is None:
            raise RequestError(ErrorKind.NO_OWNER, f"no backend server of {self.service.name}")
        self.balancer.request_sent(picked)
        return picked

    def request_finished(self, now: Instant, server: str, error: RequestError | None) -> None:
        """Record how a request at `server` ended."""
        if server not in self.health.servers:
            return
        self.balancer.request_finished(server)
        if error is None:
            self.health.record_success(now, server)
        elif error.kind in SERVER_FAILURE_KINDS:
            self.health.record_failure(now, server)
        else:
            self.health.record_abandoned(server)
