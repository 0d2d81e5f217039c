"""Which waiting request starts next, at which server, and which one is refused at once.

The load these rules answer: more requests than the owner of some hot keys, or than a whole
service, can process within the callers' latency targets.  A server's own queue is first come,
first served and runs what nobody waits for any more; so requests wait here instead, where
the urgent ones pass the others, and whatever has no chance is refused while its caller can
still use the time.
"""

import itertools
import math
from abc import ABC, abstractmethod
from bisect import insort
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.model import Route
from fireflylock.direct.servers import Server, ServerTable
from fireflylock.exceptions import ErrorKind, RequestError

# Requests that a server gets beyond its slots, so that no slot idles while an answer and the
# next request are on their way.
AHEAD = 1
# Share of the time left that a request may wait once its latency target can't be met.
LATE_PATIENCE = 0.25
# What the expected wait is multiplied by: requests that come later may be more urgent.
CAUTION = 1.25
# Longest wait while keys change their owner, and as a share of the caller's time; a release, a
# write and a grant take less.  Where the old owner may hold the keys for a known time, that time
# is waited for as well, if the caller has it.
MOVE_PATIENCE = timedelta(milliseconds=400)
MOVE_SHARE = 0.3
# Answers from this many bytes on stay within the zone where that costs nobody the latency
# target; what they cost between zones is far more than what a small answer does.
HEAVY_BYTES = 16 * 1024
# Share of the time to the latency target within which a server in the own zone should be done.
NEAR_SHARE = 0.8
# The same for small answers, for which no request waits: twice the usual time still meets it.
LIGHT_SHARE = 0.45
# Requests of one line that are looked at when a server has room again.
LOOKED_AT = 40
# Weight of a server's recent failures against its speed.
FAILURE_COST = 4.0
# Bounds of Retry-After; a caller honours a third of the time it has left.
SHORTEST_RETRY = timedelta(milliseconds=20)
RETRY_SHARE = 0.3

_numbers = itertools.count()


@dataclass
class Ticket:
    """A request that wants to be sent, once; each sending has a ticket of its own.

    Attributes
    ----------
    request_id : str
        Identity.
    route : Route
        Its route.
    service : str
        The service it goes to.
    key : int or None
        Its key, where the service is keyed.
    target_at, deadline : timedelta
        Instants of its latency target and of its deadline.
    tried : set of str
        Servers it was sent to before.
    settle : callable
        Told the server that it may be sent to, or why it is refused.
    arrived : timedelta
        When it came.
    late : bool
        Whether its latency target can't be met any more.
    keeps_near : bool
        Whether it waits for a server of the own zone although others have room.
    owner_due : timedelta
        When its key should have an owner, where it has none.
    queued_at : timedelta
        When it began to wait for the servers that it waits for now.
    number : int
        Tells it from all others of this process, also from one with the same request id.
    """

    request_id: str
    route: Route
    service: str
    key: int | None
    target_at: Instant
    deadline: Instant
    settle: Callable[[Server | None, RequestError | None], None]
    arrived: Instant
    tried: set[str] = field(default_factory=set)
    late: bool = False
    keeps_near: bool = False
    owner_due: Instant = timedelta(0)
    queued_at: Instant = timedelta(0)
    number: int = field(default_factory=_numbers.__next__)

    @property
    def order(self) -> tuple:
        """Sort key: in time before late, then by rank, then by what is due first."""
        return (self.late, self.route.priority, self.target_at, self.number)


class Ownership(ABC):
    """Finds the owner of keys; what the admission needs of it."""

    @abstractmethod
    def owner_of(self, service: str, key: int) -> Server | None:
        """Return the server that owns a key, or None while nobody may run its requests."""

    @abstractmethod
    def unowned_for(self, service: str, key: int, now: Instant) -> timedelta:
        """Return how long it will take at least until the key has an owner."""

    def describe(self, service: str, key: int | None, now: Instant) -> dict[str, object]:
        """Return what is known of a key's owner, and how old that is, for the log."""
        return {}


class Admission:
    """Lets requests wait for servers, and starts or refuses them.

    Parameters
    ----------
    table : ServerTable
        The servers.
    ownership : Ownership
        Owners of keys.
    zone : str
        Availability zone of this VM.
    """

    def __init__(self, table: ServerTable, ownership: Ownership, zone: str) -> None:
        self.table = table
        self.ownership = ownership
        self.zone = zone
        # Waiting tickets: by owner for keyed services, under "" while there is none; by
        # service for the others.
        self.lines: dict[tuple[str, str], list[Ticket]] = {}
        # What other VMs have waiting in the same lines, by VM.
        self.waiting_elsewhere: dict[str, dict[tuple[str, str], int]] = {}

    def arrive(self, now: Instant, ticket: Ticket) -> None:
        """Start, queue or refuse a new request."""
        place, servers = self.candidates(ticket)
        line = self.lines.get(place, [])
        order = ticket.order
        if all(waiting.keeps_near or order < waiting.order for waiting in line):
            chosen = self.choose(now, ticket, servers)
            if chosen is not None:
                self.start(now, ticket, chosen)
                return
        refusal = self.refusal(now, ticket, place, servers)
        if refusal is not None:
            ticket.settle(None, refusal)
            return
        ticket.queued_at = now
        insort(self.lines.setdefault(place, []), ticket, key=lambda waiting: waiting.order)

    def candidates(self, ticket: Ticket) -> tuple[tuple[str, str], list[Server]]:
        """Return the line where a ticket waits, and the servers it may be sent to."""
        if ticket.key is None:
            return (ticket.service, ""), self.table.of_service(ticket.service)
        owner = self.ownership.owner_of(ticket.service, ticket.key)
        if owner is None:
            return ("", ""), []
        return (ticket.service, owner.name), [owner]

    def is_usable(self, now: Instant, server: Server, route: str) -> bool:
        """Return whether a server may get requests at all."""
        if not server.may_get_requests(now, self.table.drain) or server.is_resting(now):
            return False
        if server.is_backing_off(now):
            return False
        return not server.is_silent(now, self.table.expected_seconds(server, route, 1.0))

    def has_room(self, now: Instant, server: Server) -> bool:
        """Return whether a server can process one more request soon.

        A VM that has nothing there may go a little further, or one VM's callers could keep
        all the others out.
        """
        crowd = server.crowd(now)
        if crowd < server.entry.slots + AHEAD:
            return True
        return not server.running and crowd < 2 * server.entry.slots

    def choose(self, now: Instant, ticket: Ticket, servers: list[Server]) -> Server | None:
        """Return the server for a request that starts now, or None when none has room."""
        best = None
        best_seconds = 0.0
        near = None
        near_seconds = 0.0
        route = ticket.route.name
        others = [s for s in servers if s.name not in ticket.tried] or servers
        missing = self.table.missing
        staying = [s for s in others if s.leaving_since is None and s.name not in missing]
        staying = staying or others
        for server in staying:
            if not self.has_room(now, server) or not self.is_usable(now, server, route):
                continue
            seconds = self.table.expected_seconds(server, route, server.crowd(now) + 1)
            seconds *= 1.0 + FAILURE_COST * server.failures
            if best is None or seconds < best_seconds:
                best, best_seconds = server, seconds
            if server.entry.zone != self.zone:
                continue
            if near is None or seconds < near_seconds:
                near, near_seconds = server, seconds
        ticket.keeps_near = False
        if best is None:
            return None
        if self.table.speeds.size(route) < HEAVY_BYTES:
            return near if self.is_near_enough(now, ticket, near, near_seconds) else best
        patience = NEAR_SHARE * (ticket.target_at - now).total_seconds()
        if near is not None:
            return near if near_seconds <= max(patience, best_seconds) else best
        ticket.keeps_near = self.near_wait(now, ticket, staying) <= patience
        return None if ticket.keeps_near else best

    def is_near_enough(
        self, now: Instant, ticket: Ticket, near: Server | None, seconds: float
    ) -> bool:
        """Return whether a small answer should come from a server of the own zone.

        It has a free slot, and would be done long before the latency target.
        """
        if near is None or near.crowd(now) >= near.entry.slots:
            return False
        return seconds <= LIGHT_SHARE * (ticket.target_at - now).total_seconds()

    def near_wait(self, now: Instant, ticket: Ticket, servers: list[Server]) -> float:
        """Return in how many seconds a server of the own zone would be done."""
        route = ticket.route.name
        ahead = sum(
            waiting.keeps_near and waiting.order < ticket.order
            for waiting in self.lines.get((ticket.service, ""), ())
        )
        rate = 0.0
        first = math.inf
        for server in servers:
            if server.entry.zone != self.zone or not self.is_usable(now, server, route):
                continue
            seconds = self.table.expected_seconds(server, route, server.crowd(now) + 1)
            first = min(first, seconds)
            rate += server.entry.slots / self.table.expected_seconds(server, route, 1.0)
        return first if not rate else first + ahead / rate

    def refusal(
        self, now: Instant, ticket: Ticket, place: tuple[str, str], servers: list[Server]
    ) -> RequestError | None:
        """Return why a request that can't start now must not wait either, or None."""
        if not servers:
            return self.unowned(now, ticket, self.ahead_unowned(ticket))
        usable = [s for s in servers if self.is_usable(now, s, ticket.route.name)]
        if not usable:
            return self.unusable(now, ticket, servers)
        wait, service = self.expected_wait(now, ticket, place, usable)
        ticket.late = now + CAUTION * wait + service > ticket.target_at
        if not ticket.late:
            return None
        # Now that it is late, all requests that are in time go before it.
        wait, _ = self.expected_wait(now, ticket, place, usable)
        patient = wait <= LATE_PATIENCE * (ticket.deadline - now)
        if patient and not self.is_pressed(place):
            return None
        return self.refuse(now, ticket, ErrorKind.QUEUE_FULL, "the wait is too long", wait)

    def unusable(self, now: Instant, ticket: Ticket, servers: list[Server]) -> RequestError | None:
        """Return why a request must not wait for servers that may get none now, or None.

        It waits where a server's backoff ends soon enough for the latency target.
        """
        drain = self.table.drain
        staying = [s for s in servers if s.may_get_requests(now, drain) and not s.is_resting(now)]
        backing_off = [s for s in staying if s.is_backing_off(now)]
        if not backing_off:
            rest = min(s.rest_until - now for s in servers)
            return self.refuse(now, ticket, ErrorKind.SERVER_UNREACHABLE, "no answers", rest)
        first = min(backing_off, key=lambda server: server.backoff_until)
        expected = self.table.expected_seconds(first, ticket.route.name, 1.0)
        if first.backoff_until + timedelta(seconds=expected) <= ticket.target_at:
            return None
        backoff = first.backoff_until - now
        return RequestError(ErrorKind.SERVER_REFUSED, "the server wants no requests", backoff)

    def is_pressed(self, place: tuple[str, str]) -> bool:
        """Return whether requests wait that can still meet their latency target.

        They all go before the late ones, and more of them will come.
        """
        line = self.lines.get(place)
        return bool(line) and not line[0].late

    def unowned(self, now: Instant, ticket: Ticket, ahead: int = 0) -> RequestError | None:
        """Return why a request whose key has no owner must not wait, or None.

        Parameters
        ----------
        now : timedelta
            Present instant.
        ticket : Ticket
            The request.
        ahead : int
            Requests that come to the next owner before it, as far as they are known.
        """
        if ticket.key is None:
            rest = timedelta(seconds=1)
            return self.refuse(now, ticket, ErrorKind.NO_OWNER, "no servers", rest)
        rest = self.ownership.unowned_for(ticket.service, ticket.key, now)
        if rest:
            ticket.owner_due = now + rest
        ticket.owner_due = max(ticket.owner_due, ticket.arrived)
        patience = min(MOVE_PATIENCE, MOVE_SHARE * (ticket.deadline - ticket.arrived))
        work = timedelta(seconds=(1 + ahead) * self.table.speeds.cost(ticket.route.name))
        in_time = ticket.owner_due + patience + work <= ticket.deadline
        if now - ticket.owner_due > patience or (rest > patience and not in_time):
            # What has taken longer than a move should is not over a moment later.
            again = max(rest, patience)
            return self.refuse(now, ticket, ErrorKind.NO_OWNER, "the key has no owner", again)
        return None

    def ahead_unowned(self, ticket: Ticket) -> int:
        """Return how many requests for each slot of the next owner wait before this one.

        What waits for one service may come to one server, all at once.
        """
        order = ticket.order
        waiting = self.lines.get(("", ""), ())
        ahead = sum(one.service == ticket.service and one.order < order for one in waiting)
        slots = max((s.entry.slots for s in self.table.of_service(ticket.service)), default=1)
        return ahead // slots

    def expected_wait(
        self, now: Instant, ticket: Ticket, place: tuple[str, str], servers: list[Server]
    ) -> tuple[timedelta, timedelta]:
        """Return how long a request would wait here, and then take at a server."""
        route = ticket.route.name
        rate = 0.0
        surplus = 0
        for server in servers:
            seconds = max(0.001, self.table.expected_seconds(server, route, 1.0))
            rate += server.entry.slots / seconds
            surplus += server.crowd(now) - server.entry.slots
        order = ticket.order
        ahead = sum(1 for waiting in self.lines.get(place, ()) if waiting.order < order)
        ahead += sum(lines.get(place, 0) for lines in self.waiting_elsewhere.values())
        slots = sum(server.entry.slots for server in servers)
        wait = max(0.0, surplus + ahead + 1) / rate
        return timedelta(seconds=wait), timedelta(seconds=slots / rate)

    def refuse(
        self, now: Instant, ticket: Ticket, kind: ErrorKind, why: str, wait: timedelta
    ) -> RequestError:
        """Return a refusal that tells the caller when to come back."""
        longest = RETRY_SHARE * (ticket.deadline - now)
        return RequestError(kind, why, max(SHORTEST_RETRY, min(wait, longest)))

    def start(self, now: Instant, ticket: Ticket, server: Server) -> None:
        """Let a request be sent."""
        server.running[ticket.number] = now
        ticket.settle(server, None)

    def ended(self, now: Instant, server: Server, number: int) -> None:
        """Note that the request of a ticket has left its server; start what waited for it."""
        server.running.pop(number, None)
        self.pump(now, self.lines_of(server))

    def lines_of(self, server: Server) -> list[tuple[str, str]]:
        """Return the lines that wait for a server."""
        service = server.entry.service
        return [(service, server.name), (service, "")]

    def withdraw(self, ticket: Ticket) -> None:
        """Take out a request that nobody waits for any more."""
        for line in self.lines.values():
            if ticket in line:
                line.remove(ticket)
                return

    def pump(self, now: Instant, places: Iterable[tuple[str, str]]) -> None:
        """Start whatever can start in some lines."""
        for place in places:
            line = self.lines.get(place)
            if not line:
                self.lines.pop(place, None)
                continue
            started = []
            for ticket in line[:LOOKED_AT]:
                _, servers = self.candidates(ticket)
                chosen = self.choose(now, ticket, servers)
                if chosen is not None:
                    started.append((ticket, chosen))
                    # Counted at once, so that the next one sees it.
                    chosen.running[ticket.number] = now
                elif not ticket.keeps_near:
                    break
            for ticket, chosen in started:
                line.remove(ticket)
                self.start(now, ticket, chosen)
            if not line:
                self.lines.pop(place, None)

    def owners_changed(self, now: Instant) -> None:
        """Let the waiting requests of keyed services follow the owners of their keys."""
        moved = []
        for place, line in list(self.lines.items()):
            stay = []
            for ticket in line:
                if ticket.key is not None and self.candidates(ticket)[0] != place:
                    moved.append(ticket)
                    continue
                stay.append(ticket)
            self.lines[place] = stay
            if not stay:
                del self.lines[place]
        for ticket in sorted(moved, key=lambda waiting: waiting.order):
            self.arrive(now, ticket)

    def tick(self, now: Instant) -> None:
        """Start what can start; refuse what can't be served in time any more."""
        self.pump(now, list(self.lines))
        for place, line in list(self.lines.items()):
            refused = []
            changed = False
            for ticket in line:
                changed |= self.grow_late(now, ticket)
                error = self.overdue(now, ticket, place)
                if error is not None:
                    refused.append((ticket, error))
            for ticket, error in refused:
                line.remove(ticket)
                ticket.settle(None, error)
            if changed:
                line.sort(key=lambda waiting: waiting.order)
            if not line:
                self.lines.pop(place, None)

    def grow_late(self, now: Instant, ticket: Ticket) -> bool:
        """Note that a latency target can't be met any more; return whether that is new."""
        seconds = self.table.speeds.cost(ticket.route.name)
        if ticket.late or now + timedelta(seconds=seconds) <= ticket.target_at:
            return False
        ticket.late = True
        return True

    def overdue(self, now: Instant, ticket: Ticket, place: tuple[str, str]) -> RequestError | None:
        """Return why a waiting request is refused now, or None."""
        _, servers = self.candidates(ticket)
        if not servers:
            return self.unowned(now, ticket)
        if not any(self.is_usable(now, s, ticket.route.name) for s in servers):
            return self.unusable(now, ticket, servers)
        if not ticket.late:
            return None
        waited = now - ticket.queued_at
        patient = waited <= LATE_PATIENCE * (ticket.deadline - ticket.queued_at)
        if patient and not self.is_pressed(place):
            return None
        wait = waited / 2
        return self.refuse(now, ticket, ErrorKind.QUEUE_FULL, "the wait was too long", wait)

    def refuse_waiting(self, now: Instant) -> None:
        """Refuse all that waits, because the process is about to end."""
        lines, self.lines = self.lines, {}
        for line in lines.values():
            for ticket in line:
                error = self.refuse(now, ticket, ErrorKind.STOPPING, "the VM stops", timedelta(0))
                ticket.settle(None, error)

    def waiting(self) -> dict[tuple[str, str], int]:
        """Return how many requests wait in each line."""
        return {place: len(line) for place, line in self.lines.items()}
