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
EXTRA_IN_FLIGHT = 1
# Share of the time left that a request may wait once its latency target can't be met.
MAX_LATE_WAIT_SHARE = 0.25
# What the expected wait is multiplied by: requests that come later may be more urgent.
WAIT_SAFETY_FACTOR = 1.25
# Longest wait while keys change their owner, and as a share of the caller's time; a release, a
# write and a grant take less.  Where the old owner may hold the keys for a known time, that time
# is waited for as well, if the caller has it.
MAX_MIGRATION_WAIT = timedelta(milliseconds=400)
MAX_MIGRATION_WAIT_SHARE = 0.3
# Answers from this many bytes on stay within the zone where that costs nobody the latency
# target; what they cost between zones is far more than what a small answer does.
LARGE_RESPONSE_BYTES = 16 * 1024
# Share of the time to the latency target within which a server in the own zone should be done.
LARGE_RESPONSE_LOCAL_SHARE = 0.8
# The same for small answers, for which no request waits: twice the usual time still meets it.
SMALL_RESPONSE_LOCAL_SHARE = 0.45
# Requests of one line that are looked at when a server has room again.
MAX_QUEUE_SCAN = 40
# Weight of a server's recent failures against its speed.
FAILURE_PENALTY = 4.0
# Bounds of Retry-After; a caller honours a third of the time it has left.
MIN_RETRY_AFTER = timedelta(milliseconds=20)
MAX_RETRY_AFTER_SHARE = 0.3

_ticket_numbers = itertools.count()


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
    waits_for_local : bool
        Whether it waits for a server of the own zone although others have room.
    owner_expected_at : timedelta
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
    on_decision: Callable[[Server | None, RequestError | None], None]
    arrived_at: Instant
    tried_servers: set[str] = field(default_factory=set)
    late: bool = False
    waits_for_local: bool = False
    owner_expected_at: Instant = timedelta(0)
    queued_at: Instant = timedelta(0)
    number: int = field(default_factory=_ticket_numbers.__next__)

    @property
    def sort_key(self) -> tuple:
        """Sort key: in time before late, then by rank, then by what is due first."""
        return (self.late, self.route.priority, self.target_at, self.number)


class Ownership(ABC):
    """Finds the owner of keys; what the admission needs of it."""

    @abstractmethod
    def owner_of(self, service: str, key: int) -> Server | None:
        """Return the server that owns a key, or None while nobody may run its requests."""

    @abstractmethod
    def time_until_owned(self, service: str, key: int, now: Instant) -> timedelta:
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
        self.queues: dict[tuple[str, str], list[Ticket]] = {}
        # What other VMs have waiting in the same lines, by VM.
        self.remote_waiting: dict[str, dict[tuple[str, str], int]] = {}

    def submit(self, now: Instant, ticket: Ticket) -> None:
        """Start, queue or refuse a new request."""
        queue_key, servers = self.queue_and_candidates(ticket)
        queue = self.queues.get(queue_key, [])
        sort_key = ticket.sort_key
        if all(waiting.waits_for_local or sort_key < waiting.sort_key for waiting in queue):
            chosen = self.choose_server(now, ticket, servers)
            if chosen is not None:
                self.start(now, ticket, chosen)
                return
        refusal_on_arrival = self.refusal_on_arrival(now, ticket, queue_key, servers)
        if refusal_on_arrival is not None:
            ticket.on_decision(None, refusal_on_arrival)
            return
        ticket.queued_at = now
        insort(self.queues.setdefault(queue_key, []), ticket, key=lambda waiting: waiting.sort_key)

    def queue_and_candidates(self, ticket: Ticket) -> tuple[tuple[str, str], list[Server]]:
        """Return the line where a ticket waits, and the servers it may be sent to."""
        if ticket.key is None:
            return (ticket.service, ""), self.table.of_service(ticket.service)
        owner = self.ownership.owner_of(ticket.service, ticket.key)
        if owner is None:
            return ("", ""), []
        return (ticket.service, owner.name), [owner]

    def is_usable(self, now: Instant, server: Server, route: str) -> bool:
        """Return whether a server may get requests at all."""
        if not server.may_get_requests(now, self.table.drain) or server.is_ejected(now):
            return False
        if server.is_backing_off(now):
            return False
        return not server.is_unresponsive(now, self.table.expected_seconds(server, route, 1.0))

    def has_capacity(self, now: Instant, server: Server) -> bool:
        """Return whether a server can process one more request soon.

        A VM that has nothing there may go a little further, or one VM's callers could keep
        all the others out.
        """
        request_count = server.request_count(now)
        if request_count < server.entry.slots + EXTRA_IN_FLIGHT:
            return True
        return not server.running and request_count < 2 * server.entry.slots

    def choose_server(self, now: Instant, ticket: Ticket, servers: list[Server]) -> Server | None:
        """Return the server for a request that starts now, or None when none has room."""
        best = None
        best_seconds = 0.0
        local = None
        local_seconds = 0.0
        route = ticket.route.name
        others = [s for s in servers if s.name not in ticket.tried_servers] or servers
        missing = self.table.missing
        staying = [s for s in others if s.leaving_since is None and s.name not in missing]
        staying = staying or others
        for server in staying:
            if not self.has_capacity(now, server) or not self.is_usable(now, server, route):
                continue
            seconds = self.table.expected_seconds(server, route, server.request_count(now) + 1)
            seconds *= 1.0 + FAILURE_PENALTY * server.failure_rate
            if best is None or seconds < best_seconds:
                best, best_seconds = server, seconds
            if server.entry.zone != self.zone:
                continue
            if local is None or seconds < local_seconds:
                local, local_seconds = server, seconds
        ticket.waits_for_local = False
        if best is None:
            return None
        if self.table.speeds.size(route) < LARGE_RESPONSE_BYTES:
            return local if self.is_local_preferred(now, ticket, local, local_seconds) else best
        patience = LARGE_RESPONSE_LOCAL_SHARE * (ticket.target_at - now).total_seconds()
        if local is not None:
            return local if local_seconds <= max(patience, best_seconds) else best
        ticket.waits_for_local = self.expected_local_seconds(now, ticket, staying) <= patience
        return None if ticket.waits_for_local else best

    def is_local_preferred(
        self, now: Instant, ticket: Ticket, local: Server | None, seconds: float
    ) -> bool:
        """Return whether a small answer should come from a server of the own zone.

        It has a free slot, and would be done long before the latency target.
        """
        if local is None or local.request_count(now) >= local.entry.slots:
            return False
        return seconds <= SMALL_RESPONSE_LOCAL_SHARE * (ticket.target_at - now).total_seconds()

    def expected_local_seconds(self, now: Instant, ticket: Ticket, servers: list[Server]) -> float:
        """Return in how many seconds a server of the own zone would be done."""
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
            seconds = self.table.expected_seconds(server, route, server.request_count(now) + 1)
            first = min(first, seconds)
            rate += server.entry.slots / self.table.expected_seconds(server, route, 1.0)
        return first if not rate else first + ahead / rate

    def refusal_on_arrival(
        self, now: Instant, ticket: Ticket, queue_key: tuple[str, str], servers: list[Server]
    ) -> RequestError | None:
        """Return why a request that can't start now must not wait either, or None."""
        if not servers:
            return self.refusal_without_owner(now, ticket, self.requests_ahead_per_slot(ticket))
        usable = [s for s in servers if self.is_usable(now, s, ticket.route.name)]
        if not usable:
            return self.refusal_without_usable_server(now, ticket, servers)
        wait, service = self.expected_wait(now, ticket, queue_key, usable)
        ticket.late = now + WAIT_SAFETY_FACTOR * wait + service > ticket.target_at
        if not ticket.late:
            return None
        # Now that it is late, all requests that are in time go before it.
        wait, _ = self.expected_wait(now, ticket, queue_key, usable)
        patient = wait <= MAX_LATE_WAIT_SHARE * (ticket.deadline - now)
        if patient and not self.has_on_time_waiting(queue_key):
            return None
        return self.refuse(now, ticket, ErrorKind.QUEUE_FULL, "the wait is too long", wait)

    def refusal_without_usable_server(
        self, now: Instant, ticket: Ticket, servers: list[Server]
    ) -> RequestError | None:
        """Return why a request must not wait for servers that may get none now, or None.

        It waits where a server's backoff ends soon enough for the latency target.
        """
        drain = self.table.drain
        staying = [s for s in servers if s.may_get_requests(now, drain) and not s.is_ejected(now)]
        backing_off = [s for s in staying if s.is_backing_off(now)]
        if not backing_off:
            rest = min(s.ejected_until - now for s in servers)
            return self.refuse(now, ticket, ErrorKind.SERVER_UNREACHABLE, "no answers", rest)
        first = min(backing_off, key=lambda server: server.backoff_until)
        expected = self.table.expected_seconds(first, ticket.route.name, 1.0)
        if first.backoff_until + timedelta(seconds=expected) <= ticket.target_at:
            return None
        backoff = first.backoff_until - now
        return RequestError(ErrorKind.SERVER_REFUSED, "the server wants no requests", backoff)

    def has_on_time_waiting(self, queue_key: tuple[str, str]) -> bool:
        """Return whether requests wait that can still meet their latency target.

        They all go before the late ones, and more of them will come.
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
            Present instant.
        ticket : Ticket
            The request.
        ahead : int
            Requests that come to the next owner before it, as far as they are known.
        """
        if ticket.key is None:
            rest = timedelta(seconds=1)
            return self.refuse(now, ticket, ErrorKind.NO_OWNER, "no servers", rest)
        rest = self.ownership.time_until_owned(ticket.service, ticket.key, now)
        if rest:
            ticket.owner_expected_at = now + rest
        ticket.owner_expected_at = max(ticket.owner_expected_at, ticket.arrived_at)
        patience = min(
            MAX_MIGRATION_WAIT, MAX_MIGRATION_WAIT_SHARE * (ticket.deadline - ticket.arrived_at)
        )
        work = timedelta(seconds=(1 + ahead) * self.table.speeds.cost(ticket.route.name))
        in_time = ticket.owner_expected_at + patience + work <= ticket.deadline
        if now - ticket.owner_expected_at > patience or (rest > patience and not in_time):
            # What has taken longer than a move should is not over a moment later.
            again = max(rest, patience)
            return self.refuse(now, ticket, ErrorKind.NO_OWNER, "the key has no owner", again)
        return None

    def requests_ahead_per_slot(self, ticket: Ticket) -> int:
        """Return how many requests for each slot of the next owner wait before this one.

        What waits for one service may come to one server, all at once.
        """
        sort_key = ticket.sort_key
        waiting = self.queues.get(("", ""), ())
        ahead = sum(one.service == ticket.service and one.sort_key < sort_key for one in waiting)
        slots = max((s.entry.slots for s in self.table.of_service(ticket.service)), default=1)
        return ahead // slots

    def expected_wait(
        self, now: Instant, ticket: Ticket, queue_key: tuple[str, str], servers: list[Server]
    ) -> tuple[timedelta, timedelta]:
        """Return how long a request would wait here, and then take at a server."""
        route = ticket.route.name
        rate = 0.0
        surplus = 0
        for server in servers:
            seconds = max(0.001, self.table.expected_seconds(server, route, 1.0))
            rate += server.entry.slots / seconds
            surplus += server.request_count(now) - server.entry.slots
        sort_key = ticket.sort_key
        ahead = sum(1 for waiting in self.queues.get(queue_key, ()) if waiting.sort_key < sort_key)
        ahead += sum(queues.get(queue_key, 0) for queues in self.remote_waiting.values())
        slots = sum(server.entry.slots for server in servers)
        wait = max(0.0, surplus + ahead + 1) / rate
        return timedelta(seconds=wait), timedelta(seconds=slots / rate)

    def refuse(
        self, now: Instant, ticket: Ticket, kind: ErrorKind, why: str, wait: timedelta
    ) -> RequestError:
        """Return a refusal that tells the caller when to come back."""
        longest = MAX_RETRY_AFTER_SHARE * (ticket.deadline - now)
        return RequestError(kind, why, max(MIN_RETRY_AFTER, min(wait, longest)))

    def start(self, now: Instant, ticket: Ticket, server: Server) -> None:
        """Let a request be sent."""
        server.running[ticket.number] = now
        ticket.on_decision(server, None)

    def request_finished(self, now: Instant, server: Server, number: int) -> None:
        """Note that the request of a ticket has left its server; start what waited for it."""
        server.running.pop(number, None)
        self.dispatch(now, self.queues_of(server))

    def queues_of(self, server: Server) -> list[tuple[str, str]]:
        """Return the lines that wait for a server."""
        service = server.entry.service
        return [(service, server.name), (service, "")]

    def withdraw(self, ticket: Ticket) -> None:
        """Take out a request that nobody waits for any more."""
        for queue in self.queues.values():
            if ticket in queue:
                queue.remove(ticket)
                return

    def dispatch(self, now: Instant, queue_keys: Iterable[tuple[str, str]]) -> None:
        """Start whatever can start in some lines."""
        for queue_key in queue_keys:
            queue = self.queues.get(queue_key)
            if not queue:
                self.queues.pop(queue_key, None)
                continue
            started = []
            for ticket in queue[:MAX_QUEUE_SCAN]:
                _, servers = self.queue_and_candidates(ticket)
                chosen = self.choose_server(now, ticket, servers)
                if chosen is not None:
                    started.append((ticket, chosen))
                    # Counted at once, so that the next one sees it.
                    chosen.running[ticket.number] = now
                elif not ticket.waits_for_local:
                    break
            for ticket, chosen in started:
                queue.remove(ticket)
                self.start(now, ticket, chosen)
            if not queue:
                self.queues.pop(queue_key, None)

    def owners_changed(self, now: Instant) -> None:
        """Let the waiting requests of keyed services follow the owners of their keys."""
        moved = []
        for queue_key, queue in list(self.queues.items()):
            stay = []
            for ticket in queue:
                if ticket.key is not None and self.queue_and_candidates(ticket)[0] != queue_key:
                    moved.append(ticket)
                    continue
                stay.append(ticket)
            self.queues[queue_key] = stay
            if not stay:
                del self.queues[queue_key]
        for ticket in sorted(moved, key=lambda waiting: waiting.sort_key):
            self.submit(now, ticket)

    def tick(self, now: Instant) -> None:
        """Start what can start; refuse what can't be served in time any more."""
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
        """Note that a latency target can't be met any more; return whether that is new."""
        seconds = self.table.speeds.cost(ticket.route.name)
        if ticket.late or now + timedelta(seconds=seconds) <= ticket.target_at:
            return False
        ticket.late = True
        return True

    def refusal_while_waiting(
        self, now: Instant, ticket: Ticket, queue_key: tuple[str, str]
    ) -> RequestError | None:
        """Return why a waiting request is refused now, or None."""
        _, servers = self.queue_and_candidates(ticket)
        if not servers:
            return self.refusal_without_owner(now, ticket)
        if not any(self.is_usable(now, s, ticket.route.name) for s in servers):
            return self.refusal_without_usable_server(now, ticket, servers)
        if not ticket.late:
            return None
        waited = now - ticket.queued_at
        patient = waited <= MAX_LATE_WAIT_SHARE * (ticket.deadline - ticket.queued_at)
        if patient and not self.has_on_time_waiting(queue_key):
            return None
        wait = waited / 2
        return self.refuse(now, ticket, ErrorKind.QUEUE_FULL, "the wait was too long", wait)

    def refuse_waiting(self, now: Instant) -> None:
        """Refuse all that waits, because the process is about to end."""
        queues, self.queues = self.queues, {}
        for queue in queues.values():
            for ticket in queue:
                error = self.refuse(now, ticket, ErrorKind.STOPPING, "the VM stops", timedelta(0))
                ticket.on_decision(None, error)

    def waiting(self) -> dict[tuple[str, str], int]:
        """Return how many requests wait in each line."""
        return {queue_key: len(queue) for queue_key, queue in self.queues.items()}
