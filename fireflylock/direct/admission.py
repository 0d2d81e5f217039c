"""Decides which queued request starts next, on which server, and which requests are refused.

The load this handles: more requests than the owner of some hot keys, or a whole service, can
process within the callers' latency targets.  A server's own queue is first in, first out and
also runs requests whose callers have left.  So requests queue here instead: urgent ones start
first, and those that would wait too long are refused while their callers can still use the
remaining time.
"""

import itertools
import math
import random
from abc import ABC, abstractmethod
from bisect import insort
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.allowed_regions import ZoneRegions
from fireflylock.clock import Clock, Instant
from fireflylock.direct.model import Repeat, Route, RouteTable
from fireflylock.direct.send_permits import SendPermits, Unlimited
from fireflylock.direct.servers import Server, ServerTable
from fireflylock.direct.stopping import StopPlan
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.load_control.caller_fairness import CallerFairness
from fireflylock.load_control.full_servers import FullServers
from fireflylock.load_control.priority_admission import (
    PriorityAdmission,
    RouteUrgency,
    Waiting,
    services_without_order,
)
from fireflylock.load_control.retry_after import ReturnPlanner
from fireflylock.load_control.room_shares import RoomShares
from fireflylock.load_control.server_load import ServerLoads, incarnation_number
from fireflylock.load_control.server_selection import Candidate, ServerSelection
from fireflylock.metrics import StateMetric

# Requests that a server gets beyond its slots, so that no slot idles while a response and the
# next request are in flight.
EXTRA_IN_FLIGHT = 1
# Share of the remaining time that a request may wait once its latency target can't be met.
MAX_LATE_WAIT_SHARE = 0.25
# Factor on the expected wait: requests that arrive later may be more urgent.
WAIT_SAFETY_FACTOR = 1.25
# Longest wait while keys migrate, in all and as a share of the caller's time; a release, a
# write and a grant take less.  Where the old owner may hold the keys for a known time, requests
# wait for that time as well if their deadline allows it.
MAX_MIGRATION_WAIT = timedelta(milliseconds=400)
MAX_MIGRATION_WAIT_SHARE = 0.3
# Responses of at least this size stay within the zone if the latency target is still met; they
# cost far more traffic between zones than small ones.
LARGE_RESPONSE_BYTES = 16 * 1024
# Share of the time to the latency target within which a local server should finish.
LARGE_RESPONSE_LOCAL_SHARE = 0.8
# The same for small responses, which never wait: twice the expected time still meets the target.
SMALL_RESPONSE_LOCAL_SHARE = 0.45
# Share of the time to the latency target within which it does not matter which server finishes
# first, so that one to which there is a connection is used.
CONNECTED_SHARE = 0.25
# Queued requests that are considered when a server has capacity again.
MAX_QUEUE_SCAN = 40
# Weight of a server's recent failure rate relative to its speed.
FAILURE_PENALTY = 4.0
# Bounds of Retry-After; callers honour it up to a third of their remaining time.
MIN_RETRY_AFTER = timedelta(milliseconds=20)
MAX_RETRY_AFTER_SHARE = 0.3
# Begin of the names of queues whose requests are bound to regions; no server's name begins so.
REGION_QUEUE_PREFIX = "regions:"

# Requests a second that a server with a limit gets at least, as its permits say.
MIN_LIMITED_RATE = 0.25

_ticket_numbers = itertools.count()


@dataclass
class Ticket:
    """One attempt to send a request; each attempt has a ticket of its own.

    Attributes
    ----------
    request_id : str
        Id of the request.
    route : Route
        Route of the request.
    service : str
        Service that the request goes to.
    key : int or None
        Key of the request if the service is keyed.
    target_at, deadline : timedelta
        Instants of the latency target and of the deadline.
    on_decision : callable
        Called with the server to send to, or with the error if the request is refused.
    arrived_at : timedelta
        When the attempt was submitted.
    tried_servers : set of str
        Servers of earlier attempts.
    late : bool
        Whether the latency target can't be met any more.
    waits_for_local : bool
        Whether it waits for a server of the local zone although others have capacity.
    waits_for_known_room : bool
        Whether it may run only once and waits for room where other requests would be sent.
    owner_expected_at : timedelta
        When a key without an owner is expected to have one.
    queued_at : timedelta
        When it entered its present queue.
    number : int
        Unique within the process, also among tickets with the same request id.
    caller : str
        Identity of the caller; "" if it is not known.
    over_share : bool
        Whether its caller sends far more than others, so that it waits behind their requests.
    """

    request_id: str
    route: Route
    service: str
    key: int | None
    target_at: Instant
    deadline: Instant
    on_decision: Callable[[Server | None, RequestError | None], None]
    arrived_at: Instant
    tried_servers: set[str] = field(default_factory=set)
    late: bool = False
    waits_for_local: bool = False
    waits_for_known_room: bool = False
    owner_expected_at: Instant = timedelta(0)
    queued_at: Instant = timedelta(0)
    number: int = field(default_factory=_ticket_numbers.__next__)
    caller: str = ""
    over_share: bool = False

    @property
    def sort_key(self) -> tuple:
        """Sort key: on time before late, then by share, priority and latency target."""
        return (self.late, self.over_share, self.route.priority, self.target_at, self.number)

    @property
    def may_be_passed(self) -> bool:
        """Whether later requests may start before it while it waits."""
        return self.waits_for_local or self.waits_for_known_room


def region_queue(allowed: frozenset[str]) -> str:
    """Return the name of the queue of requests that are bound to some regions."""
    return REGION_QUEUE_PREFIX + ",".join(sorted(allowed))


class Ownership(ABC):
    """Finds the owners of keys for the admission."""

    @abstractmethod
    def owner_of(self, service: str, key: int) -> Server | None:
        """Return the server that owns a key, or None while no server may run its requests."""

    @abstractmethod
    def epoch_of(self, service: str, key: int) -> int | None:
        """Return the epoch under which a key is owned, or None if it is not known."""

    @abstractmethod
    def time_until_owned(self, service: str, key: int, now: Instant) -> timedelta:
        """Return the minimum time until the key has an owner."""

    def describe(self, service: str, key: int | None, now: Instant) -> dict[str, object]:
        """Return what is known about a key's owner, and how old that is, for the log."""
        return {}


class Admission:
    """Queues requests, and starts or refuses them.

    Parameters
    ----------
    table : ServerTable
        All servers.
    ownership : Ownership
        Owners of keys.
    zone : str
        Availability zone of this VM.
    permits : SendPermits or None
        Permits for requests to servers with a request limit; None if no server has one.
    regions : ZoneRegions or None
        Region of each availability zone, for routes that name allowed regions.
    rng : random.Random or None
        Source of randomness for choices among servers; None for one of its own.

    Attributes
    ----------
    loads : ServerLoads
        Loads that the servers have stated.
    full : FullServers
        Servers that have reset connections because they were full.
    """

    def __init__(
        self,
        table: ServerTable,
        ownership: Ownership,
        zone: str,
        permits: SendPermits | None = None,
        regions: ZoneRegions | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.table = table
        self.regions = regions or ZoneRegions()
        self.ownership = ownership
        self.zone = zone
        self.permits = permits or Unlimited()
        rng = rng or random.Random()
        self.loads = ServerLoads()
        self.full = FullServers(rng)
        self.selection = ServerSelection(rng)
        self.shares = RoomShares(rng)
        # Services whose servers may reset connections when they are full.
        self.resetting_services: set[str] = set()
        # Whether this VM hears most of the others, and whether it has an idle connection to a
        # server.
        self.hears_fleet: Callable[[Instant], bool] = lambda now: True
        self.is_connected: Callable[[Server], bool] = lambda server: False
        self.priorities = PriorityAdmission(zone)
        self.priorities.own_waiting = self.waiting_by_urgency
        self.fairness = CallerFairness()
        self.returns = ReturnPlanner()
        # Services with room for which callers compete; fairness and returns are theirs.
        self.contended: frozenset[str] = frozenset()
        # Returns the number of entry VMs.
        self.vms: Callable[[], int] = lambda: 1
        # Set while the process is shutting down.
        self.stop: StopPlan | None = None
        # Queued tickets: by owner for keyed services, under "" while there is none; by service
        # for the others, apart for each set of allowed regions.
        self.queues: dict[tuple[str, str], list[Ticket]] = {}
        # Keys of the queues for which there ever was a set of allowed regions.
        self.region_queues: set[tuple[str, str]] = set()
        # Number of requests that other VMs have in the same queues, by VM.
        self.remote_waiting: dict[str, dict[tuple[str, str], int]] = {}

    def apply_routes(self, routes: RouteTable) -> None:
        """Apply a new configuration: find the services with room for which callers compete."""
        self.priorities.services = services_without_order(
            RouteUrgency(
                route.name,
                route.priority,
                route.target,
                route.repeat is Repeat.IDEMPOTENT,
                tuple(share.service for share in route.shares),
            )
            for route in routes.routes
        )
        cold = {name for name, spec in routes.services.items() if spec.cold_rate is not None}
        self.contended = frozenset({*self.priorities.services, *cold})

    def tidy(self, now: Instant) -> None:
        """Forget what no longer counts: callers and servers that are gone."""
        self.fairness.forget_silent(now)
        self.returns.tidy(now)
        entries = [server.entry for server in self.table.servers.values()]
        incarnations = {incarnation_number(entry.name, entry.born) for entry in entries}
        self.loads.retain(incarnations)
        self.full.retain(incarnations)
        self.shares.retain(set(self.table.servers))

    def submit(self, now: Instant, ticket: Ticket) -> None:
        """Start, queue or refuse a new request."""
        if self.is_too_late(now, ticket):
            ticket.on_decision(None, self.refuse_stopping(now, ticket))
            return
        queue_key, servers = self.queue_and_candidates(ticket)
        queue = self.queues.get(queue_key, [])
        sort_key = ticket.sort_key
        if all(waiting.may_be_passed or sort_key < waiting.sort_key for waiting in queue):
            chosen = self.choose_server(now, ticket, servers)
            if chosen is not None:
                self.start(now, ticket, chosen)
                self.request_permits(now, servers)
                return
        error = self.refusal_on_arrival(now, ticket, queue_key, servers)
        if error is not None:
            ticket.on_decision(None, error)
            return
        ticket.queued_at = now
        if ticket.key is None and ticket.route.allowed_regions is not None:
            self.region_queues.add(queue_key)
        insort(self.queues.setdefault(queue_key, []), ticket, key=lambda waiting: waiting.sort_key)
        self.request_permits(now, servers)

    def is_too_late(self, now: Instant, ticket: Ticket) -> bool:
        """Return whether the process ends before a server would have answered a request."""
        if self.stop is None:
            return False
        work = timedelta(seconds=self.table.speeds.cost(ticket.route.name))
        return not self.stop.can_finish(now, work)

    def refuse_stopping(self, now: Instant, ticket: Ticket) -> RequestError:
        """Return a refusal that sends the caller to another VM."""
        return self.refuse(now, ticket, ErrorKind.STOPPING, "the VM stops", timedelta(0))

    def request_permits(self, now: Instant, servers: list[Server]) -> None:
        """Ask for permits for those of some servers that have a request limit."""
        if not self.permits.limited:
            return
        for server in servers:
            if server.name in self.permits.limited:
                self.permits.request(now, server)

    def demand_of(self, server: Server) -> tuple[int, int]:
        """Return how many requests wait for permits for a server, and the highest priority."""
        service = server.entry.service
        queue = self.queues.get((service, server.name))
        sharing = 1
        if not queue:
            queue = [*self.queues.get((service, ""), ()), *self.waiting_in_regions(server)]
            if not queue:
                return 0, 0
            limited = self.permits.limited
            sharing = sum(s.name in limited for s in self.table.of_service(service)) or 1
        return -(-len(queue) // sharing), min(ticket.route.priority for ticket in queue)

    def waiting_in_regions(self, server: Server) -> list[Ticket]:
        """Return the queued tickets that are bound to regions which a server is in."""
        found = []
        for queue_key in self.region_queues:
            queue = self.queues.get(queue_key)
            if queue_key[0] != server.entry.service or not queue:
                continue
            if self.in_regions([server], queue[0].route.allowed_regions):
                found += queue
        return found

    def permits_arrived(self, now: Instant, server: Server) -> None:
        """Start requests that waited for permits for a server."""
        self.dispatch(now, self.queues_of(server))

    def queue_and_candidates(self, ticket: Ticket) -> tuple[tuple[str, str], list[Server]]:
        """Return the key of a ticket's queue, and the servers it may be sent to."""
        allowed = ticket.route.allowed_regions
        if ticket.key is None:
            servers = self.table.available(ticket.service)
            if allowed is None:
                return (ticket.service, ""), servers
            return (ticket.service, region_queue(allowed)), self.in_regions(servers, allowed)
        owner = self.ownership.owner_of(ticket.service, ticket.key)
        if owner is None or not self.regions.allows(allowed, owner.entry.zone):
            return ("", ""), []
        return (ticket.service, owner.name), [owner]

    def in_regions(self, servers: list[Server], allowed: frozenset[str]) -> list[Server]:
        """Return those of some servers that are in allowed regions."""
        return [s for s in servers if self.regions.allows(allowed, s.entry.zone)]

    def may_serve(self, route: Route, service: str, key: int | None) -> bool:
        """Return whether a service can run a request within the route's allowed regions.

        Parameters
        ----------
        route : Route
            Route of the request.
        service : str
            The service.
        key : int or None
            Key of the request, if the service is keyed.
        """
        allowed = route.allowed_regions
        if allowed is None:
            return True
        if key is None:
            return bool(self.in_regions(self.table.available(service), allowed))
        owner = self.ownership.owner_of(service, key)
        return owner is None or self.regions.allows(allowed, owner.entry.zone)

    def is_usable(self, now: Instant, server: Server, route: str) -> bool:
        """Return whether a server may get any requests."""
        if not server.may_get_requests(now, self.table.drain) or server.is_ejected(now):
            return False
        if server.is_backing_off(now):
            return False
        return not server.is_unresponsive(now, self.expected_seconds(now, server, route, 1.0))

    def slots(self, now: Instant, server: Server) -> float:
        """Return how many requests a server processes well at once."""
        return self.table.capacity(server)

    def occupancy(self, now: Instant, server: Server, cautious: bool = False) -> float:
        """Return the estimated number of requests that a server holds.

        If `cautious`, that is the higher one of several estimates.
        """
        entry = server.entry
        reported = server.remote_request_count(now)
        own = server.running.values()
        return self.loads.occupancy(now, entry.name, entry.born, own, reported, cautious)

    def expected_seconds(
        self, now: Instant, server: Server, route: str, request_count: float
    ) -> float:
        """Return the expected seconds for a request at a server, as fast as that is now."""
        factor = self.loads.work_factor(now, server.entry.name, server.entry.born)
        return factor * self.table.expected_seconds(server, route, request_count)

    def room(self, now: Instant, server: Server, repeat: Repeat) -> float:
        """Return how many more requests a server may have; 0 or less if none.

        A VM without requests there may exceed the limit, or the callers of one VM could keep
        out those of all others.
        """
        slots = self.slots(now, server)
        limit = slots + EXTRA_IN_FLIGHT
        once = repeat is Repeat.AT_MOST_ONCE
        if self.may_reset(server):
            name, born = server.entry.name, server.entry.born
            known = self.is_occupancy_known(now, server)
            limit = self.full.limit(now, name, born, limit, not server.running, once, known)
        elif not server.running:
            limit = max(limit, 2 * slots)
        return limit - self.occupancy(now, server, cautious=once)

    def is_occupancy_known(self, now: Instant, server: Server) -> bool:
        """Return whether the number of requests that a server holds is known, and not old."""
        if self.loads.is_fresh(now, server.entry.name, server.entry.born):
            return True
        return self.hears_fleet(now)

    def record_reset(self, now: Instant, server: Server, route: str, sent_at: Instant) -> bool:
        """Record that a server has reset a connection; return whether it did so as it is full.

        Then it gets no requests until it has processed a part of those that it holds.
        """
        if not self.may_reset(server):
            return False
        slots = self.slots(now, server)
        # A lower estimate was too low, or the request would not have been sent.
        occupancy = self.occupancy(now, server, cautious=True)
        entry = server.entry
        responds = server.answered_at > sent_at
        if not self.full.record_reset(
            now, entry.name, entry.born, entry.slots, occupancy, responds
        ):
            return False
        queued = max(0.0, occupancy - slots) / slots
        drain_seconds = queued * self.expected_seconds(now, server, route, 1.0)
        server.back_off(now, self.full.pause(drain_seconds))
        return True

    def metrics(self, clock: Clock) -> list[StateMetric]:
        """Return the metrics of the servers' loads and resets."""
        return [
            StateMetric(
                "server_stated_work_factor",
                "How many times longer work takes on a server's machine than usually.",
                ("server",),
                lambda: [
                    (
                        (name,),
                        self.loads.work_factor(clock.elapsed(), name, server.entry.born),
                    )
                    for name, server in self.table.servers.items()
                    if self.loads.is_fresh(clock.elapsed(), name, server.entry.born)
                ],
            ),
            StateMetric(
                "server_estimated_requests",
                "Requests of all VMs that a server which states its load holds, as estimated.",
                ("server",),
                lambda: [
                    ((name,), self.occupancy(clock.elapsed(), server))
                    for name, server in self.table.servers.items()
                    if self.loads.is_fresh(clock.elapsed(), name, server.entry.born)
                ],
            ),
            StateMetric(
                "server_resets",
                "Connections that servers have reset, by what that is put down to.",
                ("cause",),
                lambda: [((cause,), count) for cause, count in self.full.resets.items()],
                counts=True,
            ),
        ]

    def has_capacity(self, now: Instant, server: Server, repeat: Repeat) -> bool:
        """Return whether a server can process one more request soon."""
        if server.name in self.permits.limited and not self.permits.has_permit(now, server):
            return False
        room = self.room(now, server, repeat)
        if room <= 0 or not self.may_reset(server):
            return room > 0
        own = others = 0
        for queue_key in self.queues_of(server):
            own += len(self.queues.get(queue_key, ()))
            others += sum(counts.get(queue_key, 0) for counts in self.remote_waiting.values())
        return self.shares.has_share(now, server.name, room, max(1, own), others)

    def may_reset(self, server: Server) -> bool:
        """Return whether a server may reset connections when it is full, as far as one can tell.

        That is taken to be so for all servers of a service if one of them states its load: one
        that has just joined has had no occasion to.  Without statements a reset proves nothing:
        servers also reset connections beyond those that they accept, however idle they are.
        """
        name, born, service = server.entry.name, server.entry.born, server.entry.service
        if service in self.resetting_services:
            return True
        if not self.loads.states_load(name, born):
            return False
        self.resetting_services.add(service)
        return True

    def choose_server(self, now: Instant, ticket: Ticket, servers: list[Server]) -> Server | None:
        """Return the server for a request that starts now, or None if none has capacity."""
        candidates = []
        seconds = {}
        repeat = ticket.route.repeat
        route = ticket.route.name
        others = [s for s in servers if s.name not in ticket.tried_servers] or servers
        missing = self.table.missing
        staying = [s for s in others if s.leaving_since is None and s.name not in missing]
        staying = staying or others
        limited = self.permits.limited
        ticket.waits_for_local = False
        ticket.waits_for_known_room = False
        ordered = self.priorities.applies_to(ticket.service)
        ahead = self.ahead_per_server(now, ticket, staying) if ordered else 0
        for server in staying:
            if not self.has_capacity(now, server, repeat):
                continue
            if not self.is_usable(now, server, route):
                continue
            if ordered and self.must_yield(now, ticket, server, ahead):
                continue
            if server.name in limited and self.permits.is_confirmation_due(now, server):
                # Nothing else may ever choose it again.
                return server
            requests = self.occupancy(now, server) + 1
            expected = self.expected_seconds(now, server, route, requests)
            seconds[server.name] = expected * (1.0 + FAILURE_PENALTY * server.failure_rate)
            candidates.append(server)
        if not candidates:
            ticket.waits_for_known_room = repeat is Repeat.AT_MOST_ONCE and any(
                self.has_capacity(now, server, Repeat.IDEMPOTENT) for server in staying
            )
            return None
        best = self.best_of(now, ticket, candidates, seconds)
        near = [server for server in candidates if server.entry.zone == self.zone]
        if self.table.speeds.mean_response_size(route) < LARGE_RESPONSE_BYTES:
            if self.must_spread(near):
                near = [s for s in near if self.is_local_preferred(now, ticket, s, seconds)]
            if not near:
                return best
            local = self.best_of(now, ticket, near, seconds)
            return local if self.is_local_preferred(now, ticket, local, seconds) else best
        time_limit = LARGE_RESPONSE_LOCAL_SHARE * (ticket.target_at - now).total_seconds()
        if near:
            local = self.best_of(now, ticket, near, seconds)
            in_time = seconds[local.name] <= max(time_limit, seconds[best.name])
            return local if in_time else best
        ticket.waits_for_local = self.expected_local_seconds(now, ticket, staying) <= time_limit
        return None if ticket.waits_for_local else best

    def best_of(
        self, now: Instant, ticket: Ticket, servers: list[Server], seconds: dict[str, float]
    ) -> Server:
        """Return one of some servers with capacity that is expected to be done early.

        Parameters
        ----------
        now : timedelta
            Current instant.
        ticket : Ticket
            The request's ticket.
        servers : list of Server
            At least one server.
        seconds : dict of str to float
            After how many seconds each is expected to be done.
        """
        if not self.must_spread(servers):
            return min(servers, key=lambda server: seconds[server.name])
        by_name = {server.name: server for server in servers}
        candidates = [
            Candidate(
                server.name,
                seconds[server.name],
                self.room(now, server, ticket.route.repeat),
                self.is_connected(server),
            )
            for server in servers
        ]
        early = CONNECTED_SHARE * (ticket.target_at - now).total_seconds()
        return by_name[self.selection.choose(candidates, early).name]

    def must_spread(self, servers: list[Server]) -> bool:
        """Return whether the VMs should not all choose the same one of some servers.

        That is so where servers have shown that they hold few requests, or what they hold.
        """
        if len(servers) < 2:
            return False
        return any(self.may_reset(server) for server in servers)

    def rank(self, now: Instant, ticket: Ticket) -> int:
        """Return the rank of a ticket among those of all VMs."""
        work = timedelta(seconds=self.table.speeds.cost(ticket.route.name))
        return self.priorities.rank(
            now, ticket.route.priority, ticket.late, ticket.target_at, work
        )

    def ahead_per_server(self, now: Instant, ticket: Ticket, servers: list[Server]) -> int:
        """Return how many waiting requests of other VMs each server takes before a ticket's."""
        if not servers:
            return 0
        queue_key = (ticket.service, "" if ticket.key is None else servers[0].name)
        rank = self.rank(now, ticket)
        ahead = self.priorities.ahead_elsewhere(now, queue_key, rank, ticket.target_at)
        return -(-ahead // len(servers))

    def must_yield(self, now: Instant, ticket: Ticket, server: Server, ahead: int) -> bool:
        """Return whether a request leaves a server's room to those that come before it."""
        requests = self.occupancy(now, server)
        if not self.priorities.must_yield(ahead, requests, self.slots(now, server)):
            return False
        self.priorities.held_back[ticket.service, ticket.route.name] += 1
        return True

    def is_over_share(self, now: Instant, service: str, caller: str) -> bool:
        """Count a caller's request; return whether it waits behind those of other callers."""
        return service in self.contended and self.fairness.record_request(now, caller)

    def record_refusal(self, now: Instant, service: str, caller: str, error: RequestError) -> None:
        """Record when a refused caller was told to come back."""
        if service in self.contended and error.not_run and error.retry_after is not None:
            self.fairness.record_refusal(now, caller, error.retry_after)

    def is_local_preferred(
        self, now: Instant, ticket: Ticket, local: Server, seconds: dict[str, float]
    ) -> bool:
        """Return whether a small response should come from a local server.

        The server must have a free slot and finish long before the latency target.
        """
        if self.occupancy(now, local) >= self.slots(now, local):
            return False
        time_limit = SMALL_RESPONSE_LOCAL_SHARE * (ticket.target_at - now).total_seconds()
        return seconds[local.name] <= time_limit

    def expected_local_seconds(self, now: Instant, ticket: Ticket, servers: list[Server]) -> float:
        """Return the seconds until a server of the local zone would have finished."""
        route = ticket.route.name
        ahead = sum(
            waiting.waits_for_local and waiting.sort_key < ticket.sort_key
            for waiting in self.queues.get((ticket.service, ""), ())
        )
        rate = 0.0
        first = math.inf
        for server in servers:
            if server.entry.zone != self.zone or not self.is_usable(now, server, route):
                continue
            if server.name in self.permits.limited:
                continue
            requests = self.occupancy(now, server) + 1
            first = min(first, self.expected_seconds(now, server, route, requests))
            rate += self.slots(now, server) / self.expected_seconds(now, server, route, 1.0)
        return first if not rate else first + ahead / rate

    def refusal_on_arrival(
        self, now: Instant, ticket: Ticket, queue_key: tuple[str, str], servers: list[Server]
    ) -> RequestError | None:
        """Return why a request that can't start now must not be queued, or None."""
        if not servers:
            return self.refusal_without_owner(now, ticket, self.requests_ahead_per_slot(ticket))
        usable = [s for s in servers if self.is_usable(now, s, ticket.route.name)]
        if not usable:
            return self.refusal_without_usable_server(now, ticket, servers)
        wait, service = self.expected_wait(now, ticket, queue_key, usable)
        ticket.late = now + WAIT_SAFETY_FACTOR * wait + service > ticket.target_at
        if not ticket.late:
            return None
        # A late request goes behind all requests that are on time.
        wait, service = self.expected_wait(now, ticket, queue_key, usable)
        if self.priorities.applies_to(ticket.service):
            if self.priorities.may_wait_late(now, wait, service, ticket.deadline):
                return None
            return self.refuse_long_wait(now, ticket, usable, "the wait is too long", wait)
        may_wait = wait <= MAX_LATE_WAIT_SHARE * (ticket.deadline - now)
        if may_wait and not self.has_on_time_waiting(queue_key):
            return None
        return self.refuse_long_wait(now, ticket, usable, "the wait is too long", wait)

    def refusal_without_usable_server(
        self, now: Instant, ticket: Ticket, servers: list[Server]
    ) -> RequestError | None:
        """Return why a request must not wait while no server is usable, or None.

        It waits if a server's backoff ends early enough for the latency target.
        """
        drain = self.table.drain
        staying = [s for s in servers if s.may_get_requests(now, drain) and not s.is_ejected(now)]
        backing_off = [s for s in staying if s.is_backing_off(now)]
        if not backing_off:
            wait = min(s.ejected_until - now for s in servers)
            return self.refuse(now, ticket, ErrorKind.SERVER_UNREACHABLE, "no answers", wait)
        first = min(backing_off, key=lambda server: server.backoff_until)
        expected = self.expected_seconds(now, first, ticket.route.name, 1.0)
        if first.backoff_until + timedelta(seconds=expected) <= ticket.target_at:
            return None
        backoff = first.backoff_until - now
        return RequestError(ErrorKind.SERVER_REFUSED, "the server wants no requests", backoff)

    def has_on_time_waiting(self, queue_key: tuple[str, str]) -> bool:
        """Return whether a queue holds requests that can still meet their latency target.

        They start before the late ones, and more of them will arrive.
        """
        queue = self.queues.get(queue_key)
        return bool(queue) and not queue[0].late

    def refusal_without_owner(
        self, now: Instant, ticket: Ticket, ahead: int = 0
    ) -> RequestError | None:
        """Return why a request whose key has no owner must not wait, or None.

        Parameters
        ----------
        now : timedelta
            Current instant.
        ticket : Ticket
            The request's ticket.
        ahead : int
            Known requests for each slot that the next owner gets before this one.
        """
        if not self.may_serve(ticket.route, ticket.service, ticket.key):
            wait = timedelta(seconds=1)
            reason = "no server in an allowed region"
            return self.refuse(now, ticket, ErrorKind.REGION_NOT_ALLOWED, reason, wait)
        evacuated = self.table.is_all_evacuated(ticket.service)
        if ticket.key is None or evacuated:
            self.table.evacuation.refused += evacuated
            wait = timedelta(seconds=1)
            return self.refuse(now, ticket, ErrorKind.NO_OWNER, "no servers", wait)
        wait = self.ownership.time_until_owned(ticket.service, ticket.key, now)
        if wait:
            ticket.owner_expected_at = now + wait
        ticket.owner_expected_at = max(ticket.owner_expected_at, ticket.arrived_at)
        max_wait = min(
            MAX_MIGRATION_WAIT, MAX_MIGRATION_WAIT_SHARE * (ticket.deadline - ticket.arrived_at)
        )
        work = timedelta(seconds=(1 + ahead) * self.table.speeds.cost(ticket.route.name))
        in_time = ticket.owner_expected_at + max_wait + work <= ticket.deadline
        if now - ticket.owner_expected_at > max_wait or (wait > max_wait and not in_time):
            # A migration that is overdue is unlikely to end in the next moment.
            retry_after = max(wait, max_wait)
            return self.refuse(
                now, ticket, ErrorKind.NO_OWNER, "the key has no owner", retry_after
            )
        return None

    def requests_ahead_per_slot(self, ticket: Ticket) -> int:
        """Return how many requests for each slot of the next owner are queued before this one.

        All requests that wait for a service may go to one server at once.
        """
        sort_key = ticket.sort_key
        waiting = self.queues.get(("", ""), ())
        ahead = sum(
            other.service == ticket.service and other.sort_key < sort_key for other in waiting
        )
        slots = max((s.entry.slots for s in self.table.of_service(ticket.service)), default=1)
        return ahead // slots

    def expected_wait(
        self, now: Instant, ticket: Ticket, queue_key: tuple[str, str], servers: list[Server]
    ) -> tuple[timedelta, timedelta]:
        """Return how long a request would wait in the queue, and then take at a server."""
        route = ticket.route.name
        rate = 0.0
        speed = 0.0
        slots = 0.0
        surplus = 0.0
        for server in servers:
            seconds = max(0.001, self.expected_seconds(now, server, route, 1.0))
            server_slots = self.slots(now, server)
            server_rate = server_slots / seconds
            server_surplus = self.occupancy(now, server) - server_slots
            slots += server_slots
            speed += server_rate
            limit = self.permits.limited.get(server.name)
            if limit is not None:
                # It does no more than it is permitted; of its free slots one has a permit at most.
                server_rate = min(server_rate, max(limit, MIN_LIMITED_RATE))
                server_surplus = max(-1.0, server_surplus)
            rate += server_rate
            surplus += server_surplus
        sort_key = ticket.sort_key
        ahead = sum(1 for waiting in self.queues.get(queue_key, ()) if waiting.sort_key < sort_key)
        permit_wait = self.permit_wait(now, servers, ahead)
        ahead += self.waiting_elsewhere(now, ticket, queue_key)
        wait = max(0.0, surplus + ahead + 1) / rate
        return max(timedelta(seconds=wait), permit_wait), timedelta(seconds=slots / speed)

    def waiting_elsewhere(self, now: Instant, ticket: Ticket, queue_key: tuple[str, str]) -> int:
        """Return how many requests of other VMs start before one that waits here."""
        if self.priorities.applies_to(ticket.service):
            rank = self.rank(now, ticket)
            return self.priorities.ahead_elsewhere(now, queue_key, rank, ticket.target_at)
        return sum(counts.get(queue_key, 0) for counts in self.remote_waiting.values())

    def permit_wait(self, now: Instant, servers: list[Server], ahead: int) -> timedelta:
        """Return the expected wait for a permit for one of some servers.

        Parameters
        ----------
        now : timedelta
            Current instant.
        servers : list of Server
            The servers that may run the request.
        ahead : int
            Requests of this VM that wait for the same servers, and start before.
        """
        if not self.all_limited(servers):
            return timedelta(0)
        ahead //= len(servers)
        return min(self.permits.expected_wait(now, server, ahead) for server in servers)

    def refuse_long_wait(
        self, now: Instant, ticket: Ticket, servers: list[Server], reason: str, wait: timedelta
    ) -> RequestError:
        """Return a refusal for a wait that is too long, with what it is for."""
        limited = self.all_limited(servers)
        kind = ErrorKind.SERVER_LIMITED if limited else ErrorKind.QUEUE_FULL
        error = self.refuse(now, ticket, kind, reason, wait)
        if ticket.service in self.contended and not limited:
            error.retry_after = self.plan_return(now, ticket, servers, wait)
        return error

    def plan_return(
        self, now: Instant, ticket: Ticket, servers: list[Server], wait: timedelta
    ) -> timedelta:
        """Return when a refused caller should come back, apart from the others."""
        longest = MAX_RETRY_AFTER_SHARE * (ticket.deadline - now)
        route = ticket.route.name
        rate = 0.0
        for server in servers:
            seconds = max(0.001, self.table.expected_seconds(server, route, 1.0))
            rate += server.entry.slots / seconds
        interval = min(timedelta(seconds=self.vms() / rate), longest / 4)
        queue_key = self.queue_and_candidates(ticket)[0]
        planned = self.returns.plan(now, queue_key, wait, interval, longest)
        return max(MIN_RETRY_AFTER, planned)

    def all_limited(self, servers: list[Server]) -> bool:
        """Return whether every one of some servers has a request limit."""
        limited = self.permits.limited
        return bool(limited) and all(server.name in limited for server in servers)

    def refuse(
        self, now: Instant, ticket: Ticket, kind: ErrorKind, reason: str, wait: timedelta
    ) -> RequestError:
        """Return a refusal that tells the caller when to retry."""
        longest = MAX_RETRY_AFTER_SHARE * (ticket.deadline - now)
        return RequestError(kind, reason, max(MIN_RETRY_AFTER, min(wait, longest)))

    def assign(self, now: Instant, ticket: Ticket, server: Server) -> None:
        """Count a request at the server that it will be sent to."""
        server.running[ticket.number] = now
        self.shares.use(now, server.name)
        if server.name in self.permits.limited:
            self.permits.use(now, server)

    def start(self, now: Instant, ticket: Ticket, server: Server) -> None:
        """Assign a request to a server and let it be sent."""
        self.assign(now, ticket, server)
        ticket.on_decision(server, None)

    def request_finished(self, now: Instant, server: Server, number: int) -> None:
        """Remove a finished request from its server, and start requests that waited for it."""
        sent_at = server.running.pop(number, None)
        if sent_at is not None:
            self.loads.record_finished(now, server.entry.name, server.entry.born, sent_at)
            self.shares.record_finished(now, server.name)
        self.dispatch(now, self.queues_of(server))

    def queues_of(self, server: Server) -> list[tuple[str, str]]:
        """Return the keys of the queues that a server takes requests from."""
        service = server.entry.service
        found = [(service, server.name), (service, "")]
        found += [key for key in self.region_queues if key[0] == service]
        return found

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a request whose caller has left from its queue."""
        for queue in self.queues.values():
            if ticket in queue:
                queue.remove(ticket)
                return

    def dispatch(self, now: Instant, queue_keys: Iterable[tuple[str, str]]) -> None:
        """Start all requests of some queues that can start."""
        for queue_key in queue_keys:
            queue = self.queues.get(queue_key)
            if not queue:
                self.queues.pop(queue_key, None)
                continue
            started = []
            for ticket in queue[:MAX_QUEUE_SCAN]:
                if self.is_too_late(now, ticket):
                    continue
                _, servers = self.queue_and_candidates(ticket)
                chosen = self.choose_server(now, ticket, servers)
                if chosen is not None:
                    started.append((ticket, chosen))
                    # Counted at once, so that the choice for the next ticket sees it.
                    self.assign(now, ticket, chosen)
                elif not ticket.may_be_passed:
                    break
            for ticket, chosen in started:
                queue.remove(ticket)
                ticket.on_decision(chosen, None)
            if not queue:
                self.queues.pop(queue_key, None)

    def owners_changed(self, now: Instant) -> None:
        """Move waiting requests of keyed services to the queues of their keys' owners."""
        moved = []
        for queue_key, queue in list(self.queues.items()):
            staying = []
            for ticket in queue:
                if ticket.key is not None and self.queue_and_candidates(ticket)[0] != queue_key:
                    moved.append(ticket)
                    continue
                staying.append(ticket)
            self.queues[queue_key] = staying
            if not staying:
                del self.queues[queue_key]
        for ticket in sorted(moved, key=lambda waiting: waiting.sort_key):
            self.submit(now, ticket)

    def tick(self, now: Instant) -> None:
        """Start what can start; refuse requests that can't be served in time any more."""
        self.dispatch(now, list(self.queues))
        for queue_key, queue in list(self.queues.items()):
            refused = []
            changed = False
            for ticket in queue:
                changed |= self.mark_late(now, ticket)
                error = self.refusal_while_waiting(now, ticket, queue_key)
                if error is not None:
                    refused.append((ticket, error))
            for ticket, error in refused:
                queue.remove(ticket)
                ticket.on_decision(None, error)
            if changed:
                queue.sort(key=lambda waiting: waiting.sort_key)
            if not queue:
                self.queues.pop(queue_key, None)

    def mark_late(self, now: Instant, ticket: Ticket) -> bool:
        """Mark a ticket whose latency target can't be met any more; return whether it is new."""
        seconds = self.table.speeds.cost(ticket.route.name)
        if ticket.late or now + timedelta(seconds=seconds) <= ticket.target_at:
            return False
        ticket.late = True
        return True

    def refusal_while_waiting(
        self, now: Instant, ticket: Ticket, queue_key: tuple[str, str]
    ) -> RequestError | None:
        """Return why a waiting request is refused now, or None."""
        if self.is_too_late(now, ticket):
            return self.refuse_stopping(now, ticket)
        _, servers = self.queue_and_candidates(ticket)
        if not servers:
            return self.refusal_without_owner(now, ticket)
        if not any(self.is_usable(now, s, ticket.route.name) for s in servers):
            return self.refusal_without_usable_server(now, ticket, servers)
        if not ticket.late:
            return None
        if self.priorities.applies_to(ticket.service):
            return self.refusal_while_late(now, ticket, queue_key, servers)
        waited = now - ticket.queued_at
        may_wait = waited <= MAX_LATE_WAIT_SHARE * (ticket.deadline - ticket.queued_at)
        if may_wait and not self.has_on_time_waiting(queue_key):
            return None
        wait = max(waited / 2, self.permit_wait(now, servers, 0))
        return self.refuse_long_wait(now, ticket, servers, "the wait was too long", wait)

    def refusal_while_late(
        self,
        now: Instant,
        ticket: Ticket,
        queue_key: tuple[str, str],
        servers: list[Server],
    ) -> RequestError | None:
        """Return why a late request that waits won't be served in its time, or None."""
        usable = [s for s in servers if self.is_usable(now, s, ticket.route.name)]
        wait, work = self.expected_wait(now, ticket, queue_key, usable)
        if self.priorities.may_wait_on(now, ticket.queued_at, wait, work, ticket.deadline):
            return None
        return self.refuse_long_wait(now, ticket, usable, "the wait was too long", wait)

    def refuse_waiting(self, now: Instant) -> None:
        """Refuse all waiting requests because the process is about to end."""
        queues, self.queues = self.queues, {}
        for queue in queues.values():
            for ticket in queue:
                ticket.on_decision(None, self.refuse_stopping(now, ticket))

    def waiting_by_urgency(self, now: Instant) -> dict[tuple[str, str], list[Waiting]]:
        """Return the requests that wait in each queue whose order is shared."""
        return {
            queue_key: [Waiting(self.rank(now, t), t.target_at, 1) for t in queue]
            for queue_key, queue in self.queues.items()
            if self.priorities.applies_to(queue_key[0])
        }

    def waiting(self) -> dict[tuple[str, str], int]:
        """Return how many requests wait in each queue."""
        return {queue_key: len(queue) for queue_key, queue in self.queues.items()}
