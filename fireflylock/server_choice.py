"""Which backend server gets the next request of a service that keeps no state per key."""

import random

from fireflylock.assignment import Assignment
from fireflylock.balance import ServerLoad, TwoChoices
from fireflylock.clock import Instant
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.health import ServiceHealth
from fireflylock.model import Configuration, ServerState, Service

# Errors that say something about the server itself.
SERVER_FAULTS = frozenset(
    {ErrorKind.SERVER_UNREACHABLE, ErrorKind.OUTCOME_UNKNOWN, ErrorKind.DEADLINE_EXCEEDED}
)


class ServerChoice:
    """Chooses among the backend servers of one service, by load and by own observation.

    Parameters
    ----------
    service : Service
        The service.
    zone : str
        Availability zone of this entry VM; its servers go first.
    rng : random.Random
        Source of the draws.
    """

    def __init__(self, service: Service, zone: str, rng: random.Random) -> None:
        self.service = service
        self.balance = TwoChoices(zone, rng)
        self.health = ServiceHealth([])
        self.seen: tuple[int, int] = (-1, -1)

    def follow(self, configuration: Configuration, assignment: Assignment) -> None:
        """Take over which servers there are."""
        seen = (configuration.version, assignment.revision)
        if seen == self.seen:
            return
        self.seen = seen
        servers = [
            server
            for server in configuration.servers_of(self.service.name)
            if server.state is ServerState.IN and server.name in assignment.gates
        ]
        limit = self.service.concurrency_limit
        self.balance.set_servers([ServerLoad(one.name, one.zone, limit) for one in servers])
        self.health.set_servers([server.name for server in servers])

    def pick(self, now: Instant, reachable: list[str]) -> str:
        """Return the server for the next request.

        Raises
        ------
        RequestError
            None can be asked now.
        """
        known = [name for name in reachable if name in self.health.servers]
        usable = [name for name in known if self.health.may_send(now, name)]
        picked = self.balance.pick(now, usable)
        for name in usable:
            if name != picked:
                self.health.record_abandoned(name)
        if picked is None:
            raise RequestError(ErrorKind.NO_OWNER, f"no backend server of {self.service.name}")
        self.balance.sent(picked)
        return picked

    def ended(self, now: Instant, server: str, error: RequestError | None) -> None:
        """Take notice of how a request ended at `server`."""
        if server not in self.health.servers:
            return
        self.balance.ended(server)
        if error is None:
            self.health.record_success(now, server)
        elif error.kind in SERVER_FAULTS:
            self.health.record_failure(now, server)
        else:
            self.health.record_abandoned(server)
