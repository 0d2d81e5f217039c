"""The request rate limits that backend servers name in their responses.

A VM learns a limit from the responses that it gets and from the reports of other VMs.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.direct.gossip import SeenLimit
from fireflylock.direct.key_ranges import Owner
from fireflylock.direct.log_budget import LogBudget
from fireflylock.direct.servers import Server, ServerTable
from fireflylock.metrics import StateMetric

# A limit is replaced by a higher one, or by none, once it has not been named for this long.
# Responses may overtake each other, and the ages in reports leave out their time on the way.
SETTLE_TIME = timedelta(milliseconds=500)
# Observations are reported to the other VMs for this long.
REPORTED_FOR = timedelta(seconds=10)
# Log lines per second about limits.
LOG_RATE = 5.0

ONE_MS = timedelta(milliseconds=1)

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class LimitObservation:
    """What a response has said about the limit of one incarnation of a server.

    Attributes
    ----------
    born : int
        Unix time of the server's start in milliseconds.
    limit : float or None
        Requests a second that the server takes from all VMs together; None for no limit.
    as_of : timedelta
        Latest instant at which this is known to have been true.
    """

    born: int
    limit: float | None
    as_of: Instant

    def supersedes(self, other: "LimitObservation | None") -> bool:
        """Return whether this observation replaces another one of the same server."""
        if other is None or self.born != other.born:
            return other is None or self.born > other.born
        if lowers(self.limit, other.limit):
            return self.as_of > other.as_of - SETTLE_TIME
        return self.as_of > other.as_of + SETTLE_TIME


class RequestLimits:
    """The limits of all servers, as far as this VM knows them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    table : ServerTable
        All servers.

    Attributes
    ----------
    limited : dict of str to float
        The limits in effect: requests a second, by server; the table's.
    observed : dict of str to LimitObservation
        Observations of this VM itself, by server.
    known : dict of str to LimitObservation
        The observations of all VMs that are in effect, by server.
    sent : Counter of str
        Requests sent to servers while they had a limit, by server.
    """

    def __init__(self, clock: Clock, table: ServerTable) -> None:
        self.clock = clock
        self.table = table
        self.limited = table.limited
        self.observed: dict[str, LimitObservation] = {}
        self.known: dict[str, LimitObservation] = {}
        self.sent: Counter[str] = Counter()
        self.log_budget = LogBudget(LOG_RATE, LOG_RATE)

    def record_limit(self, owner: Owner, limit: float | None, sent_at: Instant) -> None:
        """Record what a response to this VM has said about its server's limit.

        A limit that is named was in effect when the server responded, which is taken to be now;
        a higher one than before, or none, counts from when the request was sent.

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
        as_of = now if lowers(limit, self.limited.get(owner.name)) else sent_at
        observation = LimitObservation(owner.born, limit, as_of)
        if observation.supersedes(self.observed.get(owner.name)):
            self.observed[owner.name] = observation
        self.apply(now, server, observation, "its answer")

    def apply_seen(self, now: Instant, source: str, limits: Iterable[SeenLimit]) -> None:
        """Apply the observations that another VM has reported."""
        for seen in limits:
            server = self.table.servers.get(seen.server)
            if server is None or server.entry.born != seen.born:
                continue
            if seen.limit is not None and not 0.0 <= seen.limit < float("inf"):
                raise ValueError(f"a limit of {seen.limit} requests a second")
            as_of = now - max(0, seen.age_ms) * ONE_MS
            self.apply(now, server, LimitObservation(seen.born, seen.limit, as_of), source)

    def apply(
        self, now: Instant, server: Server, observation: LimitObservation, source: str
    ) -> None:
        """Put an observation into effect unless a later one is known."""
        known = self.known.get(server.name)
        if not observation.supersedes(known):
            return
        self.known[server.name] = observation
        before = self.limited.get(server.name)
        if known is not None and known.born != observation.born:
            before = None
        if observation.limit == before:
            return
        if observation.limit is None:
            del self.limited[server.name]
        else:
            self.limited[server.name] = observation.limit
        self.log_change(now, server, before, observation, source)

    def seen_limit(self, now: Instant, name: str) -> SeenLimit | None:
        """Return what is known of a server's limit, for a message."""
        known = self.known.get(name)
        return None if known is None else encode_observation(now, name, known)

    def own_observations(self, now: Instant) -> list[SeenLimit]:
        """Return the recent observations of this VM itself, for a message."""
        return [
            encode_observation(now, name, known)
            for name, known in self.observed.items()
            if now - known.as_of < REPORTED_FOR
        ]

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
        if server.name in self.limited:
            self.sent[server.name] += 1

    def log_change(
        self,
        now: Instant,
        server: Server,
        before: float | None,
        observation: LimitObservation,
        source: str,
    ) -> None:
        """Log that a server's limit has changed."""
        if self.log_budget.allows(now, "changed"):
            log.info(
                "request limit of a server changed",
                server=server.name,
                service=server.entry.service,
                limit=observation.limit,
                before=before,
                source=source,
                age=(now - observation.as_of).total_seconds(),
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
                lambda: [((name,), limit) for name, limit in self.limited.items()],
            ),
            StateMetric(
                "limited_server_requests",
                "Requests that this VM sent to a backend server while it had a limit.",
                ("server",),
                lambda: [((name,), count) for name, count in self.sent.items()],
                counts=True,
            ),
        ]

    def forget_replaced(self) -> None:
        """Remove what is known about servers that are gone or have been started again."""
        for name, known in list(self.known.items()):
            server = self.table.servers.get(name)
            if server is not None and server.entry.born == known.born:
                continue
            del self.known[name]
            self.observed.pop(name, None)
            self.limited.pop(name, None)
            self.sent.pop(name, None)


def lowers(limit: float | None, before: float | None) -> bool:
    """Return whether a limit is at most the one before; None is no limit."""
    return limit is not None and (before is None or limit <= before)


def encode_observation(now: Instant, name: str, known: LimitObservation) -> SeenLimit:
    """Return an observation in the form used by messages."""
    return SeenLimit(name, known.born, known.limit, max(timedelta(0), now - known.as_of) // ONE_MS)


def merge_seen(now: Instant, parts: Iterable[tuple[Instant, list[SeenLimit]]]) -> list[SeenLimit]:
    """Return the observations in effect of several reports.

    Parameters
    ----------
    now : timedelta
        Current instant.
    parts : iterable of (timedelta, list of SeenLimit)
        When each report was received, and its observations.
    """
    merged: dict[str, LimitObservation] = {}
    for received_at, limits in parts:
        for seen in limits:
            as_of = received_at - seen.age_ms * ONE_MS
            observation = LimitObservation(seen.born, seen.limit, as_of)
            if observation.supersedes(merged.get(seen.server)):
                merged[seen.server] = observation
    return [encode_observation(now, name, known) for name, known in merged.items()]
