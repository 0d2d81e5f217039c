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

# A limit is replaced by a higher one, or by none, once it has not been named for this long:
# responses may overtake each other, and not all of them may name it.
SETTLE_TIME = timedelta(milliseconds=500)
# An observation is reported to the other VMs, and counts if there are later ones, for this long.
OBSERVATION_LIFETIME = timedelta(seconds=5)
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
        """Return whether this observation replaces an earlier one of the same VM."""
        if other is None or self.born != other.born:
            return other is None or self.born > other.born
        if lowers(self.limit, other.limit):
            return self.as_of > other.as_of - SETTLE_TIME
        return self.as_of > other.as_of + SETTLE_TIME

    def is_older(self, other: "LimitObservation") -> bool:
        """Return whether this observation comes from an earlier report than another one."""
        margin = SETTLE_TIME if lowers(self.limit, other.limit) else timedelta(0)
        return self.born == other.born and self.as_of < other.as_of - margin


class RequestLimits:
    """The limits of all servers, as far as this VM knows them.

    A server may name its limit to some VMs and not to others.  The lowest limit that it has
    lately named to any VM is in effect, until its responses to that VM name it no longer.

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
    named : dict of str to float
        Those of them that servers name in their responses; the table's.
    observed : dict of str to LimitObservation
        Observations of this VM itself, by server.
    reported : dict of str to dict of str to LimitObservation
        Observations that others have reported, by sender and server.
    known : dict of str to LimitObservation
        The observation that is in effect, by server.
    sent : Counter of str
        Requests sent to servers while they had a limit, by server.
    """

    def __init__(self, clock: Clock, table: ServerTable) -> None:
        self.clock = clock
        self.table = table
        self.limited = table.limited
        self.named = table.named_limits
        self.observed: dict[str, LimitObservation] = {}
        self.reported: dict[str, dict[str, LimitObservation]] = {}
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
        if self.table.find_incarnation(owner) is None:
            return
        now = self.clock.elapsed()
        known = self.observed.get(owner.name)
        before = None if known is None or known.born != owner.born else known.limit
        as_of = now if lowers(limit, before) else sent_at
        observation = LimitObservation(owner.born, limit, as_of)
        if observation.supersedes(known):
            self.observed[owner.name] = observation
            self.update(now, owner.name, "its answer")

    def apply_seen(self, now: Instant, source: str, limits: Iterable[SeenLimit]) -> None:
        """Replace the observations that `source` has reported before."""
        before = self.reported.pop(source, {})
        reported = {}
        for seen in limits:
            observation = decode_observation(now, seen)
            known = before.get(seen.server)
            if known is not None and observation.is_older(known):
                # A report that was overtaken by a later one.
                observation = known
            reported[seen.server] = observation
        if reported:
            self.reported[source] = reported
        for name in before.keys() | reported.keys():
            if not self.confirms(name, before.get(name), reported.get(name)):
                self.update(now, name, source)

    def confirms(
        self, name: str, before: LimitObservation | None, later: LimitObservation | None
    ) -> bool:
        """Return whether a later observation leaves the effective limit as it is.

        Most reports repeat the limit of the report before; the rest of the VMs need not be
        compared for them.
        """
        known = self.known.get(name)
        if before is None or later is None or known is None:
            return False
        if not before.born == later.born == known.born or before.limit != later.limit:
            return False
        if later.limit == known.limit and later.as_of > known.as_of:
            self.known[name] = later
        return later.limit == known.limit

    def apply_one_seen(self, now: Instant, source: str, seen: SeenLimit) -> None:
        """Apply one observation of another VM."""
        self.reported.setdefault(source, {})[seen.server] = decode_observation(now, seen)
        self.update(now, seen.server, source)

    def update(self, now: Instant, name: str, source: str) -> None:
        """Put the limit of a server into effect that follows from all observations."""
        server = self.table.servers.get(name)
        if server is None:
            return
        found = [self.observed.get(name), *(limits.get(name) for limits in self.reported.values())]
        effective = lowest_limit(now, (o for o in found if o and o.born == server.entry.born))
        if effective is None:
            # Nobody has had a response lately.
            return
        before = self.named.get(name)
        self.known[name] = effective
        if effective.limit == before:
            return
        if effective.limit is None:
            server.ended_limit = (before, now)
        else:
            server.ended_limit = None
        self.table.set_limit(self.named, name, effective.limit)
        self.log_change(now, server, before, effective, source)

    def own_observation(self, now: Instant, name: str) -> SeenLimit | None:
        """Return the observation of this VM itself of a server's limit, for a message."""
        known = self.observed.get(name)
        return None if known is None else encode_observation(now, name, known)

    def own_observations(self, now: Instant) -> list[SeenLimit]:
        """Return the recent observations of this VM itself, for a message."""
        return [
            encode_observation(now, name, known)
            for name, known in self.observed.items()
            if now - known.as_of < OBSERVATION_LIFETIME
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
                lambda: [((name,), limit) for name, limit in self.named.items()],
            ),
            StateMetric(
                "limited_server_requests",
                "Requests that this VM sent to a backend server while it had a limit.",
                ("server",),
                lambda: [((name,), count) for name, count in self.sent.items()],
                counts=True,
            ),
        ]

    def tidy(self, now: Instant) -> None:
        """End limits that are no longer named, and forget servers that are gone."""
        for source, limits in list(self.reported.items()):
            for name, known in list(limits.items()):
                if now - known.as_of >= OBSERVATION_LIFETIME:
                    del limits[name]
            if not limits:
                del self.reported[source]
        for name, known in list(self.known.items()):
            server = self.table.servers.get(name)
            if server is not None and server.entry.born == known.born:
                self.update(now, name, "no answers")
                continue
            del self.known[name]
            self.observed.pop(name, None)
            self.table.set_limit(self.named, name, None)
            self.sent.pop(name, None)


def lowers(limit: float | None, before: float | None) -> bool:
    """Return whether a limit is at most the one before; None is no limit."""
    return limit is not None and (before is None or limit <= before)


def lowest_limit(
    now: Instant, observations: Iterable[LimitObservation]
) -> LimitObservation | None:
    """Return the lowest limit among recent observations of several VMs, or None without any."""
    lowest = None
    for observation in observations:
        if now - observation.as_of >= OBSERVATION_LIFETIME:
            continue
        if lowest is None or observation.limit == lowest.limit:
            if lowest is None or observation.as_of > lowest.as_of:
                lowest = observation
            continue
        if lowers(observation.limit, lowest.limit):
            lowest = observation
    return lowest


def encode_observation(now: Instant, name: str, known: LimitObservation) -> SeenLimit:
    """Return an observation in the form used by messages."""
    return SeenLimit(name, known.born, known.limit, max(timedelta(0), now - known.as_of) // ONE_MS)


def decode_observation(now: Instant, seen: SeenLimit) -> LimitObservation:
    """Return an observation received in a message.

    Raises
    ------
    ValueError
        The limit is not a number of requests.
    OverflowError
        The age is not one.
    """
    if seen.limit is not None and not 0.0 <= seen.limit < float("inf"):
        raise ValueError(f"a limit of {seen.limit} requests a second")
    return LimitObservation(seen.born, seen.limit, now - max(0, seen.age_ms) * ONE_MS)


def merge_seen(now: Instant, parts: Iterable[tuple[Instant, list[SeenLimit]]]) -> list[SeenLimit]:
    """Return the observations in effect of several reports.

    Parameters
    ----------
    now : timedelta
        Current instant.
    parts : iterable of (timedelta, list of SeenLimit)
        When each report was received, and its observations.
    """
    found: dict[str, list[LimitObservation]] = {}
    for received_at, limits in parts:
        for seen in limits:
            found.setdefault(seen.server, []).append(decode_observation(received_at, seen))
    merged = []
    for name, observations in found.items():
        born = max(observation.born for observation in observations)
        effective = lowest_limit(now, (o for o in observations if o.born == born))
        if effective is not None:
            merged.append(encode_observation(now, name, effective))
    return merged
