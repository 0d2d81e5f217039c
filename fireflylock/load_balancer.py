"""Load balancing over the backend servers of services without per-key state."""

from dataclasses import dataclass
from datetime import timedelta
from random import Random

from fireflylock.clock import Instant

# Reports of load older than this are ignored.
REPORT_TTL = timedelta(seconds=2)
# How much less utilized a server of another zone must be, as a share of its concurrency limit.
OTHER_ZONE_PENALTY = 0.25


@dataclass
class ServerLoad:
    """Load of one backend server.

    Attributes
    ----------
    name, zone : str
        Name and availability zone.
    limit : int
        Its concurrency limit.
    in_flight : int
        Requests from this VM that have not ended.
    reported_load : float
        Running and queued requests of all VMs in the gate's last report.
    reported_at : timedelta or None
        When that report was received.
    sent_since_report : int
        Requests that this VM has sent since that report.
    """

    name: str
    zone: str
    limit: int
    in_flight: int = 0
    reported_load: float = 0.0
    reported_at: Instant | None = None
    sent_since_report: int = 0


class TwoChoicesBalancer:
    """Chooses the less utilized of two servers drawn at random.

    With the least utilized of all servers, many VMs that have the same outdated reports would
    all choose the same one.

    Parameters
    ----------
    zone : str
        The zone of this VM.
    random : random.Random
        Source of randomness.
    """

    def __init__(self, zone: str, random: Random) -> None:
        self.zone = zone
        self.random = random
        self.servers: dict[str, ServerLoad] = {}

    def set_servers(self, servers: list[ServerLoad]) -> None:
        """Set the service's backend servers, keeping the loads of those already known."""
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
        """Return the load as a share of the limit; own counts replace outdated reports."""
        load = float(server.in_flight)
        if server.reported_at is not None and now - server.reported_at <= REPORT_TTL:
            load = max(load, server.reported_load + server.sent_since_report)
        penalty = 0.0 if server.zone == self.zone else OTHER_ZONE_PENALTY
        return load / server.limit + penalty

    def request_sent(self, server: str) -> None:
        """Record that a request was sent."""
        self.servers[server].in_flight += 1
        self.servers[server].sent_since_report += 1

    def request_finished(self, server: str) -> None:
        """Record that a request ended."""
        self.servers[server].in_flight -= 1

    def record_report(self, now: Instant, server: str, load: float) -> None:
        """Record the number of running and queued requests that the gate reports."""
        known = self.servers[server]
        known.reported_load = load
        known.reported_at = now
        known.sent_since_report = 0
