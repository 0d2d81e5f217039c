"""Balance: picks a backend server for services that keep no state per key."""

from dataclasses import dataclass
from datetime import timedelta
from random import Random

from fireflylock.clock import Instant

# A report older than this says nothing about the present.
REPORT_TTL = timedelta(seconds=2)
# How much emptier a server of another zone must be, as a share of its concurrency limit.
OTHER_ZONE_PENALTY = 0.25


@dataclass
class ServerLoad:
    """How busy one backend server is.

    Attributes
    ----------
    name, zone : str
        Identity and place.
    limit : int
        Its concurrency limit.
    in_flight : int
        Requests that this VM has sent there.
    reported : float
        Requests of everybody, running and queued, as the gate last reported them.
    reported_at : timedelta or None
        When that was.
    sent_since_report : int
        Requests that this VM has sent there since that report.
    """

    name: str
    zone: str
    limit: int
    in_flight: int = 0
    reported_load: float = 0.0
    reported_at: Instant | None = None
    sent_since_report: int = 0


class TwoChoicesBalancer:
    """Takes the emptier of two servers that are drawn at random.

    Drawing two instead of looking for the emptiest keeps many VMs with the same old reports
    from all choosing the same server.

    Parameters
    ----------
    zone : str
        The zone of this VM.
    random : random.Random
        Source of the draws.
    """

    def __init__(self, zone: str, random: Random) -> None:
        self.zone = zone
        self.random = random
        self.servers: dict[str, ServerLoad] = {}

    def set_servers(self, servers: list[ServerLoad]) -> None:
        """Follow a change of the service's backend servers, keeping what is known."""
        self.servers = {new.name: self.servers.get(new.name, new) for new in servers}

    def choose_server(self, now: Instant, usable: list[str]) -> str | None:
        """Return the server for the next request, or None when none is usable.

        Parameters
        ----------
        now : timedelta
            The current instant.
        usable : list of str
            Names of the servers that may be sent to.
        """
        known = [self.servers[name] for name in usable if name in self.servers]
        if not known:
            return None
        drawn = self.random.sample(known, min(2, len(known)))
        return min(drawn, key=lambda server: self.utilization(now, server)).name

    def utilization(self, now: Instant, server: ServerLoad) -> float:
        """Return the load as a share of the limit; own counts outrank old reports."""
        load = float(server.in_flight)
        if server.reported_at is not None and now - server.reported_at <= REPORT_TTL:
            load = max(load, server.reported_load + server.sent_since_report)
        handicap = 0.0 if server.zone == self.zone else OTHER_ZONE_PENALTY
        return load / server.limit + handicap

    def request_sent(self, server: str) -> None:
        """Note that a request was sent."""
        self.servers[server].in_flight += 1
        self.servers[server].sent_since_report += 1

    def request_finished(self, server: str) -> None:
        """Note that a request ended."""
        self.servers[server].in_flight -= 1

    def record_report(self, now: Instant, server: str, load: float) -> None:
        """Note the number of requests, running and queued, that the gate reports."""
        known = self.servers[server]
        known.reported_load = load
        known.reported_at = now
        known.sent_since_report = 0
