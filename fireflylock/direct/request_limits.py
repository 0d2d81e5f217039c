"""The request rate limits that backend servers name in their responses."""

from collections import Counter
from dataclasses import dataclass

import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.direct.key_ranges import Owner
from fireflylock.direct.log_budget import LogBudget
from fireflylock.direct.servers import Server, ServerTable
from fireflylock.metrics import StateMetric

# Log lines per second about limits.
LOG_RATE = 5.0

log = structlog.get_logger()


@dataclass
class LimitObservation:
    """What a response has said about the limit of one incarnation of a server.

    Attributes
    ----------
    born : int
        Unix time of the server's start in milliseconds.
    limit : float or None
        Requests a second that the server takes from all VMs together; None for no limit.
    as_of : timedelta
        Instant from which on it is known to be true.
    """

    born: int
    limit: float | None
    as_of: Instant


class RequestLimits:
    """Records which limits servers name in their responses to this VM.

    Parameters
    ----------
    clock : Clock
        Source of time.
    table : ServerTable
        All servers.

    Attributes
    ----------
    observed : dict of str to LimitObservation
        The latest observation of this VM, by server.
    sent : Counter of str
        Requests sent to servers while they had a limit, by server.
    """

    def __init__(self, clock: Clock, table: ServerTable) -> None:
        self.clock = clock
        self.table = table
        self.observed: dict[str, LimitObservation] = {}
        self.sent: Counter[str] = Counter()
        self.log_budget = LogBudget(LOG_RATE, LOG_RATE)

    def limit_of(self, server: Server) -> float | None:
        """Return the requests a second that a server takes from all VMs, or None if unlimited."""
        known = self.observed.get(server.name)
        return None if known is None or known.born != server.entry.born else known.limit

    def record_limit(self, owner: Owner, limit: float | None, sent_at: Instant) -> None:
        """Record what a response has said about its server's limit.

        Responses on several connections may overtake each other.  A limit that is named was in
        effect when the request arrived at the earliest, so a lower one counts from now on; a
        higher one, or none, only if the request was sent after the last limit was received.

        Parameters
        ----------
        owner : Owner
            The server's incarnation.
        limit : float or None
            Requests a second; None if an accepted response names no limit.
        sent_at : timedelta
            When the request was sent.
        """
        server = self.table.find_incarnation(owner)
        if server is None:
            return
        now = self.clock.elapsed()
        known = self.observed.get(owner.name)
        before = self.limit_of(server)
        lowers = limit is not None and (before is None or limit <= before)
        is_same_incarnation = known is not None and known.born == owner.born
        if is_same_incarnation and not lowers and sent_at <= known.as_of:
            return
        self.observed[owner.name] = LimitObservation(owner.born, limit, now if lowers else sent_at)
        if limit != before:
            self.log_change(server, before, limit)

    def record_invalid(self, owner: Owner, value: bytes) -> None:
        """Log a limit that can't be parsed; it changes nothing."""
        if self.log_budget.allows(self.clock.elapsed(), "invalid"):
            log.warning(
                "invalid request limit ignored",
                server=owner.name,
                value=value.decode("latin-1"),
                left_out=self.log_budget.take_omitted("invalid"),
            )

    def record_sent(self, server: Server) -> None:
        """Count a request that is sent to a server if it has a limit."""
        if self.limit_of(server) is not None:
            self.sent[server.name] += 1

    def log_change(self, server: Server, before: float | None, limit: float | None) -> None:
        """Log that a server's limit has changed."""
        if self.log_budget.allows(self.clock.elapsed(), "changed"):
            log.info(
                "request limit of a server changed",
                server=server.name,
                service=server.entry.service,
                limit=limit,
                before=before,
                source="its answer",
                sent=self.sent[server.name],
                left_out=self.log_budget.take_omitted("changed"),
            )

    def metrics(self) -> list[StateMetric]:
        """Return the metrics of the servers that have a limit."""
        return [
            StateMetric(
                "server_request_limit",
                "Requests a second that a backend server takes from all VMs together.",
                ("server",),
                lambda: [
                    ((name,), known.limit)
                    for name, known in self.observed.items()
                    if known.limit is not None
                ],
            ),
            StateMetric(
                "limited_server_requests",
                "Requests that this VM sent to a backend server while it had a limit.",
                ("server",),
                lambda: [((name,), count) for name, count in self.sent.items()],
                counts=True,
            ),
        ]

    def forget_unregistered(self) -> None:
        """Remove what is known about servers that are no longer in the table."""
        for name in [name for name in self.observed if name not in self.table.servers]:
            del self.observed[name]
            self.sent.pop(name, None)
