"""The backend servers as this VM sees them: registration, load and responsiveness."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.key_ranges import Owner
from fireflylock.direct.model import ServerEntry
from fireflylock.direct.speed_estimates import SpeedEstimates
from fireflylock.load_control.concurrency_limit import ConcurrencyLimits, Mode
from fireflylock.load_control.evacuation import Evacuation

NEVER = timedelta(0)

# Lifetime of another VM's load report; about ten reports fit into it.
REPORT_LIFETIME = timedelta(milliseconds=600)
# Ejection time of a server that refuses connections; doubled with each ejection in a row.
INITIAL_EJECTION_TIME = timedelta(milliseconds=200)
MAX_EJECTION_TIME = timedelta(seconds=1)
# A server is unresponsive when its oldest request has taken this many times the expected time,
# and at least the second figure.
UNRESPONSIVE_FACTOR = 6.0
MIN_UNRESPONSIVE_TIME = timedelta(milliseconds=700)
# Weight of one response in a server's failure rate.
FAILURE_WEIGHT = 0.1
# How long before the end of the drain period a leaving server gets its last request: the period
# starts when the store is updated, and this VM learns of it up to half a second later.
DRAIN_MARGIN = timedelta(milliseconds=900)
# How long a server is kept after it has left, so that its keys can still be released.
GONE_SERVER_RETENTION = timedelta(seconds=30)
# After a store outage, registrations that expired meanwhile are back within two seconds; until
# then a missing one does not count as gone.
REREGISTRATION_TIME = timedelta(milliseconds=2300)
# The store removes a silent server's registration within three heartbeats.  One that a restore has
# brought back and that is still there after this belongs to a running server.
RETURN_CONFIRMATION_TIME = timedelta(seconds=4)
# Longest backoff that a server may request: a damaged header must not disable it for good.
MAX_BACKOFF = timedelta(seconds=60)


@dataclass
class Server:
    """One incarnation of a backend server.

    Attributes
    ----------
    entry : ServerEntry
        Its last registration.
    leaving_since : timedelta or None
        When it was first seen to shut down, or its registration to be gone.
    gone : bool
        Whether its registration is gone.
    running : dict of int to timedelta
        Requests of this VM that it processes, by ticket number, and when they were sent.
    streaming : set of int
        Those of `running` whose responses have begun and last as long as their callers read.
    reports : dict of str to (int, timedelta)
        Number of requests of each other VM there, and when it was reported.
    answered_at : timedelta
        When it last responded.
    ejected_until : timedelta
        Until when it gets no requests after a failure.
    consecutive_ejections : int
        Ejections since its last response.
    failure_rate : float
        Moving average of the share of failures among its responses.
    announced_shutdown, registered_shutdown : bool
        Whether a response, or its registration, announced its shutdown; no registration takes
        that back.
    backoff_until : timedelta
        Until when it has asked this VM to send no requests.
    ended_limit : (float, timedelta) or None
        Its last request limit, and when that ended, if it has none any more.
    starts_cold : bool
        Whether it has been cold since its start.
    """

    entry: ServerEntry
    leaving_since: Instant | None = None
    gone: bool = False
    running: dict[int, Instant] = field(default_factory=dict)
    streaming: set[int] = field(default_factory=set)
    reports: dict[str, tuple[int, Instant]] = field(default_factory=dict)
    answered_at: Instant = NEVER
    ejected_until: Instant = NEVER
    consecutive_ejections: int = 0
    failure_rate: float = 0.0
    announced_shutdown: bool = False
    registered_shutdown: bool = False
    backoff_until: Instant = NEVER
    ended_limit: tuple[float, Instant] | None = None
    starts_cold: bool = False

    @property
    def name(self) -> str:
        """Name under which it is registered."""
        return self.entry.name

    def remote_request_count(self, now: Instant) -> int:
        """Return the known number of requests of other VMs there."""
        total = 0
        for count, at in self.reports.values():
            if now - at < REPORT_LIFETIME:
                total += count
        return total

    def request_count(self, now: Instant) -> int:
        """Return the known number of requests of all VMs there."""
        return len(self.running) + self.remote_request_count(now)

    def may_get_requests(self, now: Instant, drain: timedelta) -> bool:
        """Return whether a server may get new requests, also while it is drained."""
        if self.leaving_since is None:
            return True
        return now - self.leaving_since < max(drain - DRAIN_MARGIN, timedelta(0))

    def back_off(self, now: Instant, backoff: timedelta) -> None:
        """Send no requests for the time that the server asks for."""
        until = now + min(backoff, MAX_BACKOFF)
        self.backoff_until = max(self.backoff_until, until)

    def is_backing_off(self, now: Instant) -> bool:
        """Return whether a backoff that the server requested is in effect."""
        return now < self.backoff_until

    def is_ejected(self, now: Instant) -> bool:
        """Return whether it gets no requests after a failure; then it gets one trial request."""
        return self.consecutive_ejections > 0 and (now < self.ejected_until or bool(self.running))

    def is_unresponsive(self, now: Instant, expected: float) -> bool:
        """Return whether a response has been due for far longer than expected.

        Parameters
        ----------
        now : timedelta
            Current instant.
        expected : float
            Expected seconds for a request there.
        """
        waiting = [at for number, at in self.running.items() if number not in self.streaming]
        if not waiting:
            return False
        oldest = min(waiting)
        timeout = max(MIN_UNRESPONSIVE_TIME, timedelta(seconds=UNRESPONSIVE_FACTOR * expected))
        return now - max(oldest, self.answered_at) > timeout

    def eject(self, now: Instant) -> None:
        """Send no requests for a while, longer with each ejection in a row."""
        self.ejected_until = now + min(
            INITIAL_EJECTION_TIME * 2 ** min(self.consecutive_ejections, 5), MAX_EJECTION_TIME
        )
        self.consecutive_ejections += 1

    def record_response(self, now: Instant, failed: bool) -> None:
        """Record a response, which ends an ejection."""
        self.answered_at = now
        self.consecutive_ejections = 0
        self.failure_rate += FAILURE_WEIGHT * (float(failed) - self.failure_rate)


class ServerTable:
    """All backend servers that are registered or have left recently.

    Parameters
    ----------
    drain : timedelta
        Drain period, after which a server that shuts down gets no more requests.

    Attributes
    ----------
    limited : dict of str to float
        Requests a second that all VMs together may send to a server, by server, for those that
        have a limit: the lower one of those that it names and of those while it is cold.
    evacuation : Evacuation
        The availability zones whose servers may get no more requests.
    named_limits, cold_limits : dict of str to float
        These two, by server.
    on_registered : callable
        Called with each registration that is applied, whether it was written just now, and
        whether the server's registration had been gone.
    concurrency : ConcurrencyLimits
        How many requests each server takes well at once; not learned unless replaced.
    """

    def __init__(self, drain: timedelta) -> None:
        self.drain = drain
        self.concurrency = ConcurrencyLimits(Mode.OFF)
        self.limited: dict[str, float] = {}
        self.evacuation = Evacuation()
        self.named_limits: dict[str, float] = {}
        self.cold_limits: dict[str, float] = {}
        self.on_registered: Callable[[Instant, ServerEntry, bool, bool], None] = lambda *args: None
        self.servers: dict[str, Server] = {}
        # Services of the configuration; None for all.  A registration of another service proves
        # nothing about the server at its address.
        self.services: frozenset[str] | None = None
        # Registrations of other services under the names of servers, which would replace them if
        # their service was configured.
        self.unconfigured: dict[str, ServerEntry] = {}
        # The incarnation that started last, by address.
        self.addresses: dict[tuple[str, int], ServerEntry] = {}
        self.speeds = SpeedEstimates()
        # Registrations missing in a reregistration period, and since when.
        self.missing: dict[str, Instant] = {}
        # Registrations of servers that had left, which a restore of the store has brought back,
        # and when that was.
        self.returned: dict[str, tuple[ServerEntry, Instant]] = {}
        self.reregistration_ends_at: Instant = NEVER
        self.last_new_server_at: Instant = NEVER

    def start_reregistration_period(self, now: Instant) -> None:
        """Let missing registrations count only after servers have had time to reregister."""
        self.reregistration_ends_at = now + REREGISTRATION_TIME

    def replace(self, now: Instant, entries: list[ServerEntry], restored: bool = False) -> None:
        """Apply a complete list of registrations.

        Parameters
        ----------
        now : timedelta
            Current instant.
        entries : list of ServerEntry
            The registrations.
        restored : bool
            Whether the store has just come back from an older copy.  Shutdowns and ends of
            servers that are known here then still hold.
        """
        names = {entry.name for entry in entries}
        for kept in (self.returned, self.unconfigured):
            for name in kept.keys() - names:
                del kept[name]
        for name, server in list(self.servers.items()):
            if name not in names and not server.gone:
                self.remove(now, name)
        for entry in entries:
            known = self.servers.get(entry.name)
            from_copy = restored or entry.name in self.returned
            if known is None or not from_copy or not self.is_outdated(known, entry):
                self.register(now, entry, just_written=False)
            elif known.gone and known.entry.born == entry.born:
                self.returned.setdefault(entry.name, (entry, now))

    def is_outdated(self, known: Server, entry: ServerEntry) -> bool:
        """Return whether a registration from a copy of the store is older than what is known."""
        if entry.born != known.entry.born:
            return entry.born < known.entry.born
        return known.leaving_since is not None

    def register(self, now: Instant, entry: ServerEntry, just_written: bool = True) -> None:
        """Apply one registration.

        Parameters
        ----------
        now : timedelta
            Current instant.
        entry : ServerEntry
            The registration.
        just_written : bool
            Whether it was written just now.  Otherwise a server that announced its shutdown did
            so at an unknown time and gets no more requests: its drain period may be over.
        """
        known = self.servers.get(entry.name)
        if known is not None and self.names_no_server(entry, known):
            self.unconfigured[entry.name] = entry
            return
        self.missing.pop(entry.name, None)
        self.returned.pop(entry.name, None)
        self.unconfigured.pop(entry.name, None)
        if known is None or known.entry.born != entry.born:
            self.speeds.forget(entry.name)
            for limits in (self.limited, self.named_limits, self.cold_limits):
                limits.pop(entry.name, None)
            known = Server(entry)
            self.servers[entry.name] = known
            self.last_new_server_at = now
        returned = known.gone
        known.entry = entry
        self.concurrency.register(entry.name, entry.service, entry.born, entry.slots)
        known.gone = False
        known.registered_shutdown |= entry.leaving
        if not entry.leaving:
            if not (known.announced_shutdown or known.registered_shutdown):
                known.leaving_since = None
        elif known.leaving_since is None:
            late = not just_written or now < self.reregistration_ends_at
            known.leaving_since = now - self.drain if late else now
        self.claim_address(now, entry)
        self.on_registered(now, entry, just_written, returned)

    def set_limit(self, limits: dict[str, float], name: str, rate: float | None) -> None:
        """Set or end a server's limit in `named_limits` or `cold_limits`; both then hold."""
        if rate is None:
            limits.pop(name, None)
        else:
            limits[name] = rate
        found = [kind[name] for kind in (self.named_limits, self.cold_limits) if name in kind]
        if found:
            self.limited[name] = min(found)
        else:
            self.limited.pop(name, None)

    def set_cold_limit(self, now: Instant, name: str, rate: float | None, starting: bool) -> None:
        """Put the limit of a server that has become cold or warm into effect."""
        server = self.servers.get(name)
        if server is None:
            return
        before = self.cold_limits.get(name)
        self.set_limit(self.cold_limits, name, rate)
        if rate is not None:
            server.starts_cold = starting
        elif server.starts_cold and name not in self.limited:
            server.ended_limit = (before, now)

    def placing_limit(self, server: Server) -> float | None:
        """Return the limit that says how many keys a server should own, or None.

        Keys stay with an owner that has turned cold again: it is warm before they would be
        anywhere else.
        """
        if server.name in self.cold_limits and not server.starts_cold:
            return self.named_limits.get(server.name)
        return self.limited.get(server.name)

    def names_no_server(self, entry: ServerEntry, known: Server) -> bool:
        """Return whether an entry is another writer's: its service is not one that is configured.

        The last registration of the server under that name holds.
        """
        return not self.is_configured(entry) and self.is_configured(known.entry)

    def is_configured(self, entry: ServerEntry) -> bool:
        """Return whether the service of an entry is configured, as far as that is known."""
        return self.services is None or entry.service in self.services

    def apply_services(self, now: Instant, names: Iterable[str]) -> None:
        """Apply the services of a new configuration."""
        self.services = frozenset(names)
        for entry in list(self.unconfigured.values()):
            self.register(now, entry, just_written=False)
        for server in list(self.servers.values()):
            if not server.gone:
                self.claim_address(now, server.entry)

    def claim_address(self, now: Instant, entry: ServerEntry) -> None:
        """Assign an address to the incarnation that started last, and mark the other gone."""
        if not self.is_configured(entry):
            return
        address = (entry.host, entry.port)
        latest = self.addresses.get(address)
        if latest is None or latest.name == entry.name:
            self.addresses[address] = entry
            return
        if latest.born > entry.born:
            self.mark_replaced(now, entry.name)
            return
        self.addresses[address] = entry
        self.mark_replaced(now, latest.name)

    def mark_leaving(self, now: Instant, owner: Owner) -> bool:
        """Record a shutdown announced in a response; return whether it is new."""
        server = self.find_incarnation(owner)
        if server is None or server.announced_shutdown:
            return False
        server.announced_shutdown = True
        if server.leaving_since is None:
            server.leaving_since = now
        return True

    def mark_replaced(self, now: Instant, name: str) -> None:
        """Mark a server as gone for certain, since another process has its address."""
        server = self.servers.get(name)
        if server is None:
            return
        self.missing.pop(name, None)
        server.gone = True
        if server.leaving_since is None:
            server.leaving_since = now

    def remove(self, now: Instant, name: str) -> None:
        """Mark a server as gone, or as missing during a reregistration period."""
        self.returned.pop(name, None)
        self.unconfigured.pop(name, None)
        server = self.servers.get(name)
        if server is None or server.gone:
            return
        if now < self.reregistration_ends_at:
            self.missing.setdefault(name, now)
            return
        server.gone = True
        if server.leaving_since is None:
            server.leaving_since = self.missing.pop(name, now)

    def tick(self, now: Instant) -> list[str]:
        """Mark missing servers as gone after the reregistration period; return their names.

        Servers whose registration came back with a restored store, and stayed, count again.
        """
        for entry, since in list(self.returned.values()):
            if now - since >= RETURN_CONFIRMATION_TIME:
                self.register(now, entry, just_written=False)
        if now < self.reregistration_ends_at or not self.missing:
            return []
        names = sorted(self.missing)
        for name in names:
            self.remove(now, name)
        self.missing.clear()
        return names

    def evict_gone(self, now: Instant) -> None:
        """Remove servers that left long ago."""
        for name, server in list(self.servers.items()):
            if (
                server.gone
                and not server.running
                and now - server.leaving_since > GONE_SERVER_RETENTION
            ):
                del self.servers[name]
                self.set_limit(self.cold_limits, name, None)
                self.returned.pop(name, None)
                self.speeds.forget(name)
                self.concurrency.forget(name)
                address = (server.entry.host, server.entry.port)
                if self.addresses.get(address) == server.entry:
                    del self.addresses[address]

    def of_service(self, service: str) -> list[Server]:
        """Return the registered servers of a service."""
        found = self.servers.values()
        return [s for s in found if s.entry.service == service and not s.gone]

    def is_evacuated(self, server: Server) -> bool:
        """Return whether a server's zone is evacuated: it gets requests for its own keys only."""
        return server.entry.zone in self.evacuation.zones

    def is_forbidden(self, server: Server) -> bool:
        """Return whether a server gets no requests at all since its zone is evacuated."""
        return server.entry.zone in self.evacuation.forbidden

    def available(self, service: str) -> list[Server]:
        """Return the registered servers of a service outside of evacuated zones."""
        found = self.of_service(service)
        if not self.evacuation.zones:
            return found
        return [server for server in found if not self.is_evacuated(server)]

    def is_all_evacuated(self, service: str) -> bool:
        """Return whether all servers of a service are in evacuated zones."""
        return bool(self.evacuation.zones) and not self.available(service)

    def find_incarnation(self, owner: Owner) -> Server | None:
        """Return the owner's server, or None if this incarnation of it is unknown."""
        server = self.servers.get(owner.name)
        if server is None or not owner.is_same_incarnation(server.entry):
            return None
        return server

    def is_replaced(self, owner: Owner) -> bool:
        """Return whether another process has an owner's name or address, which proves its end.

        An older incarnation that registers late proves nothing.
        """
        same_name = self.servers.get(owner.name)
        if same_name is not None and same_name.entry.born > owner.born:
            return True
        at_address = self.addresses.get((owner.host, owner.port))
        return (
            at_address is not None
            and at_address.name != owner.name
            and at_address.born > owner.born
        )

    def expected_seconds(self, server: Server, route: str, request_count: float) -> float:
        """Return the expected seconds for a request of `route` at `server`."""
        unloaded = self.speeds.cost(route) * self.speeds.slowness(server.name)
        return unloaded * max(1.0, request_count / self.capacity(server))

    def capacity(self, server: Server) -> float:
        """Return how many requests of all VMs a server takes well at once."""
        return self.concurrency.limit(server.name, server.entry.slots)
