"""Admits requests by urgency across entry VMs while a server or service is short of room.

The load this handles: routes that share a service and whose priorities don't rank them, with far
more requests than the service can do, at many VMs.  Each VM orders its own queue, but a slot
that becomes free goes to whichever VMs see it first, and often to several at once.  So VMs tell
each other how many requests wait for which server, and how urgent those are, and a request
starts only where there is room for all that come before it.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import ClassVar

import msgspec

from fireflylock.clock import Instant
from fireflylock.load_control.shared_state import SharedState

# Lifetime of an observation: several reports, so that a lost one doesn't end it.
LIFETIME = timedelta(milliseconds=500)
# Requests of all VMs that a server gets, relative to its slots, with those that wait elsewhere and
# come first: reports are late, and no slot may idle until the next one.
MAX_REQUESTS_PER_SLOT = 2.0
# Width of the classes of latency targets that are told apart in messages.
TARGET_CLASS = timedelta(milliseconds=100)
# Requests of each queue that a message tells about; those behind them wait in any case.
MAX_TOLD = 32
# Before its target minus this many times its expected work, a request that waits behind higher
# priorities counts as one of them, so that it isn't kept out for good.
PROMOTION_WORK = 2.0
# Share of the remaining time that the expected wait of a late request may take: on-time requests
# that arrive later start before it.
MAX_LATE_WAIT_SHARE = 0.2
# Share of its time after which a late request that still waits is refused: what was expected of
# its wait has not come true, and its caller can use the rest.
MAX_LATE_WAITED_SHARE = 0.5
# Rank of late requests: behind all priorities.
LATE_RANK = 100
# Limits of what is accepted in messages.
MAX_RANK = 2 * LATE_RANK
MAX_COUNT = 1_000_000
MAX_TARGET_CLASS = 100_000

QueueKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class RouteUrgency:
    """What decides about the urgency of a route's requests.

    Attributes
    ----------
    name : str
        Name of the route.
    priority : int
        Priority; 0 is the highest.
    target : timedelta
        Latency target; of two routes with equal priorities, the one with the tighter target is
        the more urgent one.
    repeatable : bool
        Whether its requests may run more than once.
    services : tuple of str
        Services that it sends requests to.
    """

    name: str
    priority: int
    target: timedelta
    repeatable: bool
    services: tuple[str, ...]


class WaitingQueue(msgspec.Struct, array_like=True):
    """The most urgent requests that wait in one queue.

    Attributes
    ----------
    zone : str
        Zone whose VMs are summed up; "" for the reporting VM alone.
    service, server : str
        The queue; no server for services without keys.
    age_ms : int
        Age of the observation in milliseconds.
    waiting : list of (int, int, int)
        Ranks, classes of the time until the latency target, and numbers of requests.
    """

    zone: str
    service: str
    server: str
    age_ms: int
    waiting: list[tuple[int, int, int]]


@dataclass(frozen=True, slots=True)
class Waiting:
    """Some waiting requests that are equally urgent.

    Attributes
    ----------
    rank : int
        Rank by lateness and priority; the lowest starts first.
    target_at : timedelta
        Instant of their latency target, which orders those of one rank.
    count : int
        Number of requests.
    """

    rank: int
    target_at: Instant
    count: int


@dataclass
class WaitingQueues:
    """The waiting requests of a VM or a zone.

    Attributes
    ----------
    at : timedelta
        When they were observed.
    queues : dict
        The requests by queue.
    """

    at: Instant
    queues: dict[QueueKey, list[Waiting]]


def services_without_order(routes: Iterable[RouteUrgency]) -> frozenset[str]:
    """Return the services whose VMs have to agree which requests come first.

    The operator's priorities don't say which of two routes there is the more urgent one, and
    that one may run only once: a VM can't send such a request again after a full server has
    dropped it, so it has to be sent where there is room.

    Parameters
    ----------
    routes : iterable of RouteUrgency
        All routes of the configuration.
    """
    by_service: dict[str, list[RouteUrgency]] = {}
    for route in routes:
        for service in route.services:
            by_service.setdefault(service, []).append(route)
    return frozenset(
        service for service, sharing in by_service.items() if has_unranked_routes(sharing)
    )


def has_unranked_routes(routes: list[RouteUrgency]) -> bool:
    """Return whether a route that may run only once has the same priority as a less urgent one."""
    for route in routes:
        if route.repeatable:
            continue
        others = [other for other in routes if other.repeatable]
        if any(o.priority == route.priority and o.target > route.target for o in others):
            return True
    return False


class PriorityAdmission(SharedState):
    """Decides which requests wait for more urgent ones of other VMs.

    Parameters
    ----------
    zone : str
        Availability zone of this VM.

    Attributes
    ----------
    services : frozenset of str
        Services whose order is shared; elsewhere nothing is told and nothing waits.
    own_waiting : callable
        Returns the waiting requests of this VM by queue.
    held_back : Counter of (str, str)
        How often a request found room that it left to others, by service and route.
    """

    name: ClassVar[str] = "urgency"
    observation: ClassVar[type[msgspec.Struct]] = WaitingQueue

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.services: frozenset[str] = frozenset()
        self.own_waiting: Callable[[Instant], dict[QueueKey, list[Waiting]]] = lambda now: {}
        self.members: dict[str, WaitingQueues] = {}
        self.zones: dict[str, WaitingQueues] = {}
        self.held_back: Counter[tuple[str, str]] = Counter()

    def applies_to(self, service: str) -> bool:
        """Return whether the order of a service's requests is shared."""
        return service in self.services

    def rank(
        self, now: Instant, priority: int, late: bool, target_at: Instant, work: timedelta
    ) -> int:
        """Return the rank of a request among those of all VMs.

        Parameters
        ----------
        now : timedelta
            Current instant.
        priority : int
            Priority of its route.
        late : bool
            Whether its latency target can't be met any more.
        target_at : timedelta
            Instant of the latency target.
        work : timedelta
            Expected time at a server.
        """
        if late:
            return LATE_RANK + min(priority, LATE_RANK - 1)
        if target_at - now <= PROMOTION_WORK * work:
            return 0
        return min(priority, LATE_RANK - 1)

    def ahead_elsewhere(
        self, now: Instant, queue_key: QueueKey, rank: int, target_at: Instant
    ) -> int:
        """Return how many requests of other VMs start before one of a rank and target."""
        total = 0
        members = self.fresh(now, self.members)
        for known in members.values():
            total += count_ahead(known.queues.get(queue_key, ()), rank, target_at)
        for zone, known in self.fresh(now, self.zones).items():
            # An aggregator knows the members of its zone one by one.
            if zone == self.zone and members:
                continue
            count = count_ahead(known.queues.get(queue_key, ()), rank, target_at)
            if zone == self.zone and count:
                own = self.own_waiting(now).get(queue_key, ())
                count -= count_ahead(own, rank, target_at)
            total += max(0, count)
        return total

    def must_yield(self, ahead: int, requests: float, slots: float) -> bool:
        """Return whether a request leaves a server's room to those that come before it.

        Parameters
        ----------
        ahead : int
            Requests of other VMs that wait for the server, and come first.
        requests : float
            Known requests of all VMs at the server.
        slots : float
            Requests that the server processes at once.
        """
        return requests + ahead >= MAX_REQUESTS_PER_SLOT * slots

    def may_wait_late(
        self, now: Instant, wait: timedelta, work: timedelta, deadline: Instant
    ) -> bool:
        """Return whether a late request will be served if it waits.

        Parameters
        ----------
        now : timedelta
            Current instant.
        wait, work : timedelta
            Expected wait, and time at a server.
        deadline : timedelta
            Instant of the deadline.
        """
        return wait <= MAX_LATE_WAIT_SHARE * (deadline - now - work)

    def may_wait_on(
        self,
        now: Instant,
        queued_at: Instant,
        wait: timedelta,
        work: timedelta,
        deadline: Instant,
    ) -> bool:
        """Return whether a late request that has waited since an instant should wait on.

        Parameters
        ----------
        now, queued_at : timedelta
            Current instant, and when it was queued.
        wait, work : timedelta
            Expected further wait, and time at a server.
        deadline : timedelta
            Instant of the deadline.
        """
        if now - queued_at > MAX_LATE_WAITED_SHARE * (deadline - queued_at):
            return False
        return now + wait + work <= deadline

    # Shared state.

    def own(self, now: Instant) -> list[WaitingQueue]:
        """Return the waiting requests of this VM."""
        return encode_queues(now, "", WaitingQueues(now, self.own_waiting(now)))

    def known(self, now: Instant) -> list[WaitingQueue]:
        """Return the waiting requests of all zones, each summed up."""
        local = dict(self.own_waiting(now))
        for member in self.fresh(now, self.members).values():
            for queue_key, waiting in member.queues.items():
                local[queue_key] = [*local.get(queue_key, ()), *waiting]
        found = encode_queues(now, self.zone, WaitingQueues(now, local))
        for zone, known in self.fresh(now, self.zones).items():
            if zone != self.zone:
                found += encode_queues(now, zone, known)
        return found

    def apply(self, now: Instant, source: str, observations: list[WaitingQueue]) -> None:
        """Apply the waiting requests that another VM reports.

        Raises
        ------
        ValueError
            A rank, a time, a number or an age is out of range.
        """
        received: dict[str, WaitingQueues] = {}
        for seen in observations:
            if not 0 <= seen.age_ms <= MAX_COUNT:
                raise ValueError(f"an age of {seen.age_ms} ms")
            at = now - timedelta(milliseconds=seen.age_ms)
            known = received.setdefault(seen.zone, WaitingQueues(at, {}))
            known.queues[seen.service, seen.server] = decode_waiting(at, seen.waiting)
        for zone, queues in received.items():
            table, key = (self.zones, zone) if zone else (self.members, source)
            previous = table.get(key)
            if previous is None or queues.at >= previous.at:
                table[key] = queues

    def fresh(self, now: Instant, table: dict[str, WaitingQueues]) -> dict[str, WaitingQueues]:
        """Return the observations that are recent enough, after removing the others."""
        for key, known in list(table.items()):
            if now - known.at >= LIFETIME:
                del table[key]
        return table


def count_ahead(waiting: Iterable[Waiting], rank: int, target_at: Instant) -> int:
    """Return how many of some requests start before one of a rank and target."""
    own_class = target_at // TARGET_CLASS
    total = 0
    for some in waiting:
        if (some.rank, some.target_at // TARGET_CLASS) < (rank, own_class):
            total += some.count
    return total


def encode_queues(now: Instant, zone: str, known: WaitingQueues) -> list[WaitingQueue]:
    """Return waiting requests in the form used by messages, the most urgent ones of each queue."""
    age_ms = (now - known.at) // timedelta(milliseconds=1)
    found = []
    for (service, server), queue in known.queues.items():
        counts: Counter[tuple[int, int]] = Counter()
        for some in queue:
            counts[some.rank, (some.target_at - known.at) // TARGET_CLASS] += some.count
        waiting = []
        told = 0
        for rank, target_class in sorted(counts):
            count = counts[rank, target_class]
            waiting.append((rank, target_class, count))
            told += count
            if told >= MAX_TOLD:
                break
        if waiting:
            found.append(WaitingQueue(zone, service, server, age_ms, waiting))
    return found


def decode_waiting(at: Instant, waiting: list[tuple[int, int, int]]) -> list[Waiting]:
    """Return the waiting requests in a message that was sent at an instant.

    Raises
    ------
    ValueError
        A rank, a time or a number is out of range.
    """
    found = []
    for rank, target_class, count in waiting:
        if not (0 <= rank <= MAX_RANK and 0 < count <= MAX_COUNT):
            raise ValueError(f"{count} waiting requests of rank {rank}")
        if abs(target_class) > MAX_TARGET_CLASS:
            raise ValueError(f"a target in {target_class} classes of time")
        found.append(Waiting(rank, at + target_class * TARGET_CLASS, count))
    return found
