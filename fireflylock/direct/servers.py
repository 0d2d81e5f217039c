"""The backend servers as this VM sees them: registration, load, and whether they answer."""

from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.key_ranges import Owner
from fireflylock.direct.model import ServerEntry
from fireflylock.direct.speeds import Speeds

NEVER = timedelta(0)

# A report of another VM counts for this long; about ten reports fit into it.
REPORT_LIFETIME = timedelta(milliseconds=600)
# How long a server that accepts no connection is left alone; doubled up to the second.
FIRST_REST = timedelta(milliseconds=200)
LONGEST_REST = timedelta(seconds=1)
# A server is taken to be silent when its oldest request waits this many times as long as it
# should, and at least as long as the second figure.
SILENT_FACTOR = 6.0
LEAST_SILENCE = timedelta(milliseconds=700)
# Weight of one answer in a server's share of failures.
FAILURE_WEIGHT = 0.1
# How long before the end of the drain period a leaving server gets its last request: the
# period begins when the store knows, and this VM learns of it up to half a second later.
DRAIN_MARGIN = timedelta(milliseconds=900)
# How long a server is remembered after it has left, so that its keys can still be taken back.
GONE_MEMORY = timedelta(seconds=30)
# After the store was away, registrations that lapsed meanwhile are back within two seconds;
# until then a missing one does not count as gone.
RETURN_TIME = timedelta(milliseconds=2300)
# Longest backoff that a server may ask for: a damaged header must not take it out for good.
LONGEST_BACKOFF = timedelta(seconds=60)


@dataclass
class Server:
    """One life of a backend server.

    Attributes
    ----------
    entry : ServerEntry
        Its last registration.
    leaving_since : timedelta or None
        When it was first seen to leave, or its registration to be gone.
    gone : bool
        Whether its registration is gone.
    running : dict of int to timedelta
        Requests of this VM that it has, by their ticket's number, and when they were sent.
    reports : dict of str to (int, timedelta)
        Requests that other VMs have there, and when they said so.
    answered_at : timedelta
        When it last answered.
    rest_until, rests : timedelta, int
        Until when it gets nothing after a failure, and how many rests came in a row.
    failures : float
        Share of its answers that were failures, lately.
    said_leaving : bool
        Whether one of its answers said that it shuts down; no registration takes that back.
    backoff_until : timedelta
        Until when it has asked this VM for no requests.
    """

    entry: ServerEntry
    leaving_since: Instant | None = None
    gone: bool = False
    running: dict[int, Instant] = field(default_factory=dict)
    reports: dict[str, tuple[int, Instant]] = field(default_factory=dict)
    answered_at: Instant = NEVER
    rest_until: Instant = NEVER
    rests: int = 0
    failures: float = 0.0
    said_leaving: bool = False
    backoff_until: Instant = NEVER

    @property
    def name(self) -> str:
        """Name under which it is registered."""
        return self.entry.name

    def others(self, now: Instant) -> int:
        """Return how many requests other VMs have there, as far as is known."""
        total = 0
        for count, at in self.reports.values():
            if now - at < REPORT_LIFETIME:
                total += count
        return total

    def crowd(self, now: Instant) -> int:
        """Return how many requests it has from all VMs, as far as is known."""
        return len(self.running) + self.others(now)

    def may_get_requests(self, now: Instant, drain: timedelta) -> bool:
        """Return whether the time after the announced end still allows new requests."""
        if self.leaving_since is None:
            return True
        return now - self.leaving_since < max(drain - DRAIN_MARGIN, timedelta(0))

    def back_off(self, now: Instant, backoff: timedelta) -> None:
        """Send it nothing for as long as it asks."""
        until = now + min(backoff, LONGEST_BACKOFF)
        self.backoff_until = max(self.backoff_until, until)

    def is_backing_off(self, now: Instant) -> bool:
        """Return whether it has asked this VM for no requests now."""
        return now < self.backoff_until

    def is_resting(self, now: Instant) -> bool:
        """Return whether it gets nothing after a failure; then one request tries it."""
        return self.rests > 0 and (now < self.rest_until or bool(self.running))

    def is_silent(self, now: Instant, expected: float) -> bool:
        """Return whether it has not answered for far longer than it should.

        Parameters
        ----------
        now : timedelta
            Present instant.
        expected : float
            Seconds that a request should take there.
        """
        if not self.running:
            return False
        oldest = min(self.running.values())
        patience = max(LEAST_SILENCE, timedelta(seconds=SILENT_FACTOR * expected))
        return now - max(oldest, self.answered_at) > patience

    def rest(self, now: Instant) -> None:
        """Give it nothing for a while."""
        self.rest_until = now + min(FIRST_REST * 2 ** min(self.rests, 5), LONGEST_REST)
        self.rests += 1

    def answered(self, now: Instant, failed: bool) -> None:
        """Note that it answered something."""
        self.answered_at = now
        self.rests = 0
        self.failures += FAILURE_WEIGHT * (float(failed) - self.failures)


class ServerTable:
    """All backend servers that are registered, or were until lately.

    Parameters
    ----------
    drain : timedelta
        After it, a server that has announced its end gets no more requests.
    """

    def __init__(self, drain: timedelta) -> None:
        self.drain = drain
        self.servers: dict[str, Server] = {}
        # The life that registered last, by address.
        self.addresses: dict[tuple[str, int], ServerEntry] = {}
        self.speeds = Speeds()
        # Registrations that are missing while their absence proves nothing, and since when.
        self.missing: dict[str, Instant] = {}
        self.missing_counts_from: Instant = NEVER
        self.joined_at: Instant = NEVER

    def store_was_away(self, now: Instant) -> None:
        """Let missing registrations count only once they have had the time to return."""
        self.missing_counts_from = now + RETURN_TIME

    def replace(self, now: Instant, entries: list[ServerEntry]) -> None:
        """Take in a whole listing."""
        names = {entry.name for entry in entries}
        for name, server in list(self.servers.items()):
            if name not in names and not server.gone:
                self.remove(now, name)
        for entry in entries:
            self.register(now, entry, fresh=False)

    def register(self, now: Instant, entry: ServerEntry, fresh: bool = True) -> None:
        """Take in one registration.

        Parameters
        ----------
        now : timedelta
            Present instant.
        entry : ServerEntry
            The registration.
        fresh : bool
            Whether it was written just now.  A server that announced its end at an unknown
            time before gets no more requests: the drain period may be over.
        """
        self.missing.pop(entry.name, None)
        known = self.servers.get(entry.name)
        if known is None or known.entry.born != entry.born:
            self.speeds.forget(entry.name)
            known = Server(entry)
            self.servers[entry.name] = known
            self.joined_at = now
        known.entry = entry
        known.gone = False
        if not entry.leaving:
            if not known.said_leaving:
                known.leaving_since = None
        elif known.leaving_since is None:
            late = not fresh or now < self.missing_counts_from
            known.leaving_since = now - self.drain if late else now
        self.take_address(now, entry)

    def take_address(self, now: Instant, entry: ServerEntry) -> None:
        """Note whose process has an address; the life that began last has it."""
        place = (entry.host, entry.port)
        latest = self.addresses.get(place)
        if latest is None or latest.name == entry.name:
            self.addresses[place] = entry
            return
        if latest.born > entry.born:
            self.replaced(now, entry.name)
            return
        self.addresses[place] = entry
        self.replaced(now, latest.name)

    def mark_leaving(self, now: Instant, owner: Owner) -> bool:
        """Record that a server's answer said it shuts down; return whether that is new."""
        server = self.life(owner)
        if server is None or server.said_leaving:
            return False
        server.said_leaving = True
        if server.leaving_since is None:
            server.leaving_since = now
        return True

    def replaced(self, now: Instant, name: str) -> None:
        """Note that another process has a server's address, so that it is gone for certain."""
        server = self.servers.get(name)
        if server is None:
            return
        self.missing.pop(name, None)
        server.gone = True
        if server.leaving_since is None:
            server.leaving_since = now

    def remove(self, now: Instant, name: str) -> None:
        """Note that a registration is gone; at once, or once its absence counts."""
        server = self.servers.get(name)
        if server is None or server.gone:
            return
        if now < self.missing_counts_from:
            self.missing.setdefault(name, now)
            return
        server.gone = True
        if server.leaving_since is None:
            server.leaving_since = self.missing.pop(name, now)

    def tick(self, now: Instant) -> list[str]:
        """Count what is missing once that is due; return the names it concerned."""
        if now < self.missing_counts_from or not self.missing:
            return []
        names = sorted(self.missing)
        for name in names:
            self.remove(now, name)
        self.missing.clear()
        return names

    def forget_gone(self, now: Instant) -> None:
        """Forget servers that left long ago."""
        for name, server in list(self.servers.items()):
            if server.gone and not server.running and now - server.leaving_since > GONE_MEMORY:
                del self.servers[name]
                self.speeds.forget(name)
                place = (server.entry.host, server.entry.port)
                if self.addresses.get(place) == server.entry:
                    del self.addresses[place]

    def of_service(self, service: str) -> list[Server]:
        """Return the servers of a service whose registrations stand."""
        found = self.servers.values()
        return [s for s in found if s.entry.service == service and not s.gone]

    def life(self, owner: Owner) -> Server | None:
        """Return the server if this very life of it is known."""
        server = self.servers.get(owner.name)
        if server is None or not owner.is_same_incarnation(server.entry):
            return None
        return server

    def is_replaced(self, owner: Owner) -> bool:
        """Return whether another process has an owner's name or address, which proves its end.

        An older life that registers late proves nothing.
        """
        named = self.servers.get(owner.name)
        if named is not None and named.entry.born > owner.born:
            return True
        placed = self.addresses.get((owner.host, owner.port))
        return placed is not None and placed.name != owner.name and placed.born > owner.born

    def expected_seconds(self, server: Server, route: str, crowd: float) -> float:
        """Return how long a request of `route` should take at `server`."""
        alone = self.speeds.cost(route) * self.speeds.slowness(server.name)
        return alone * max(1.0, crowd / server.entry.slots)
