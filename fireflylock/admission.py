"""Admission: which requests a backend server gets, in which order, and which are refused."""

import math
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.exceptions import ErrorKind

MAX_RETRY_AFTER = timedelta(seconds=30)

# Weight of the newest service time in the running mean and deviation.
SERVICE_TIME_GAIN = 1 / 16

# A request is started only when mean + this many mean deviations fit before its deadline.
DEVIATIONS = 2.0

# A step of the slow start is looked for this much later, so that rounding can't hide it.
RAMP_STEP_MARGIN = timedelta(milliseconds=1)

# Customers that nobody waits for are forgotten beyond this many.
REMEMBERED_CUSTOMERS = 1024


@dataclass(frozen=True)
class Ticket:
    """One request that asks to be sent to a backend server.

    Attributes
    ----------
    request_id, customer : str
        Which request, and on whose account it runs.
    deadline : timedelta
        Instant by which the answer must be complete.
    cost : float
        Expected service time as a multiple of the mean.
    """

    request_id: str
    customer: str
    deadline: Instant
    cost: float = 1.0


@dataclass(frozen=True)
class Started:
    """The request may be sent now."""


@dataclass(frozen=True)
class Queued:
    """The request waits.

    Attributes
    ----------
    expected_wait : timedelta
        Until it is expected to start.
    """

    expected_wait: timedelta


@dataclass(frozen=True)
class Refused:
    """The request is certain not to run.

    Attributes
    ----------
    kind : ErrorKind
        Why.
    retry_after : timedelta
        When the caller should come back.
    """

    kind: ErrorKind
    retry_after: timedelta


@dataclass
class CustomerQueue:
    """One customer's waiting requests.

    Attributes
    ----------
    waiting : deque of Ticket
        In order of arrival.
    waiting_cost : float
        Sum of their costs.
    used : float
        Server time used, in seconds on the scale that all customers share.
    returns_at : timedelta
        By when the requests that were refused so far could have been served.
    """

    used: float = 0.0
    waiting: deque[Ticket] = field(default_factory=deque)
    waiting_cost: float = 0.0
    returns_at: Instant = timedelta(0)


@dataclass(frozen=True)
class Running:
    """A request that the server works on.

    Attributes
    ----------
    ticket : Ticket
        Which request.
    started : timedelta
        Since when.
    charged : float
        Seconds that its customer was charged in advance.
    """

    ticket: Ticket
    started: Instant
    charged: float


class Admission:
    """Keeps one backend server busy up to its concurrency limit, fairly between customers.

    The customer that used the least server time goes first.  A customer is charged the mean
    service time when a request starts and the difference to the true time when it ends, so
    long requests count for what they take.  A customer that comes back from idleness starts
    level with the others; it can't save up.

    Parameters
    ----------
    limit : int
        Requests that may run at once.
    queue_limit : int
        Requests that may wait.
    service_time : timedelta
        Expected time to serve a request before one was seen.
    """

    def __init__(self, limit: int, queue_limit: int, service_time: timedelta) -> None:
        self.limit = limit
        self.queue_limit = queue_limit
        self.mean = service_time.total_seconds()
        self.deviation = self.mean / 2
        self.customers: dict[str, CustomerQueue] = {}
        self.running: dict[str, Running] = {}
        self.waiting: dict[str, Ticket] = {}
        self.lapsed: list[tuple[Ticket, Refused]] = []
        self.level = 0.0
        self.draining = False
        self.ramp_started: Instant = timedelta(0)
        self.ramp = timedelta(0)

    def current_limit(self, now: Instant) -> int:
        """Return how many requests may run now; it grows step by step after a cold start."""
        if self.ramp <= timedelta(0):
            return self.limit
        warm = (now - self.ramp_started) / self.ramp
        if warm >= 1.0:
            self.ramp = timedelta(0)
            return self.limit
        return min(self.limit, 1 + math.floor((self.limit - 1) * max(warm, 0.0)))

    def offer(self, now: Instant, ticket: Ticket) -> Started | Queued | Refused:
        """Decide about a new request.

        Parameters
        ----------
        now : timedelta
            The current instant.
        ticket : Ticket
            The request; its id must not be known yet.

        Returns
        -------
        Started, Queued or Refused
            What happens to it now.  A queued request comes out of `finish`, `cancel`,
            `start_next` (to be sent) or `expire` (refused).
        """
        if self.draining:
            return Refused(ErrorKind.DRAINING, self.time_to_clear(now))
        queue = self._queue_of(ticket.customer)
        if not self.waiting and len(self.running) < self.current_limit(now):
            if not self._can_finish(now, ticket):
                return self._refuse(now, queue, ticket, ErrorKind.DEADLINE_TOO_SHORT, timedelta(0))
            self._start(now, queue, ticket)
            return Started()
        wait = self.expected_wait(now, ticket)
        missed = now + wait + self._allowance(ticket) - ticket.deadline
        if missed > timedelta(0):
            return self._refuse(now, queue, ticket, ErrorKind.DEADLINE_TOO_SHORT, missed)
        if len(self.waiting) >= self.queue_limit and not self._make_room(now, queue):
            return self._refuse(now, queue, ticket, ErrorKind.QUEUE_FULL, wait)
        self._enqueue(queue, ticket)
        return Queued(wait)

    def finish(self, now: Instant, ticket: Ticket, ok: bool = True) -> list[Ticket]:
        """Note that a running request ended, and return the requests to send now.

        Parameters
        ----------
        now : timedelta
            The current instant.
        ticket : Ticket
            The request that ended; unknown ones are ignored.
        ok : bool
            Whether its duration says something about the server's service time.
        """
        run = self.running.pop(ticket.request_id, None)
        if run is None:
            return []
        took = (now - run.started).total_seconds()
        queue = self._queue_of(ticket.customer)
        queue.used += took - run.charged
        # A failure that took long is news as well: without it, a server that became too slow
        # for every deadline would go on getting requests that it can't finish.
        if ok or took > self.mean * ticket.cost:
            self._observe(took / ticket.cost)
        return self.start_next(now)

    def cancel(self, now: Instant, ticket: Ticket) -> list[Ticket]:
        """Take back a request whose caller has gone, and return the requests to send now.

        A running request keeps its place until `finish`, because the server still works on it.
        """
        if ticket.request_id in self.waiting:
            self._dequeue(ticket)
        return self.start_next(now)

    def expire(self, now: Instant) -> list[tuple[Ticket, Refused]]:
        """Return the queued requests that are given up now, each once, with their answer."""
        for ticket in list(self.waiting.values()):
            if self._can_finish(now, ticket):
                continue
            self._lapse(now, ticket, ErrorKind.DEADLINE_TOO_SHORT)
        lapsed, self.lapsed = self.lapsed, []
        return lapsed

    def next_due(self, now: Instant) -> Instant | None:
        """Return when `expire` or `start_next` has something to do next, None when never."""
        if self.lapsed:
            return now
        due = [ticket.deadline - self._allowance(ticket) for ticket in self.waiting.values()]
        if self.waiting and self.ramp > timedelta(0):
            due.append(self._next_step(now))
        return min(due, default=None)

    def start_next(self, now: Instant) -> list[Ticket]:
        """Start queued requests as far as the limit allows, and return them."""
        started = []
        while self.waiting and len(self.running) < self.current_limit(now):
            queue = self._next_queue()
            ticket = queue.waiting[0]
            if not self._can_finish(now, ticket):
                self._lapse(now, ticket, ErrorKind.DEADLINE_TOO_SHORT)
                continue
            self._dequeue(ticket)
            self._start(now, queue, ticket)
            started.append(ticket)
        return started

    def set_limit(self, now: Instant, limit: int) -> list[Ticket]:
        """Change the concurrency limit and return the requests to send now."""
        self.limit = limit
        return self.start_next(now)

    def begin_slow_start(self, now: Instant, ramp: timedelta) -> None:
        """Start with one request at a time and reach the limit after `ramp`."""
        self.ramp_started = now
        self.ramp = ramp

    def drain(self, now: Instant) -> list[tuple[Ticket, Refused]]:
        """Refuse everything that has not started; running requests go on to their end."""
        self.draining = True
        for ticket in list(self.waiting.values()):
            self._lapse(now, ticket, ErrorKind.DRAINING)
        lapsed, self.lapsed = self.lapsed, []
        return lapsed

    def resume(self) -> None:
        """Accept requests again after `drain`."""
        self.draining = False

    def expected_wait(self, now: Instant, ticket: Ticket) -> timedelta:
        """Return how long `ticket` would wait if it was queued now.

        Until its turn every other customer gets at most as much as its own customer does.
        """
        queue = self.customers.get(ticket.customer)
        own = queue.waiting_cost if queue else 0.0
        ahead = own
        for other in self.customers.values():
            if other is queue or not other.waiting:
                continue
            ahead += min(other.waiting_cost, own + ticket.cost)
        # One of the running requests has to end first; on average each is half done.
        ahead += len(self.running) / 2
        return timedelta(seconds=ahead * self.mean / self.current_limit(now))

    def time_to_clear(self, now: Instant) -> timedelta:
        """Return how long the present work will take."""
        cost = sum(queue.waiting_cost for queue in self.customers.values()) + len(self.running)
        seconds = cost * self.mean / self.current_limit(now)
        return min(timedelta(seconds=seconds), MAX_RETRY_AFTER)

    def state(self) -> list[tuple[str, object]]:
        """Return names and values for the state dump."""
        return [
            ("limit", self.limit),
            ("running", len(self.running)),
            ("waiting", len(self.waiting)),
            ("waiting customers", sum(1 for q in self.customers.values() if q.waiting)),
            ("mean service time seconds", round(self.mean, 6)),
            ("draining", self.draining),
        ]

    def _queue_of(self, customer: str) -> CustomerQueue:
        queue = self.customers.get(customer)
        if queue is not None:
            if not queue.waiting:
                queue.used = max(queue.used, self.level)
            return queue
        if len(self.customers) >= REMEMBERED_CUSTOMERS:
            self._forget_idle()
        queue = CustomerQueue(used=self.level)
        self.customers[customer] = queue
        return queue

    def _forget_idle(self) -> None:
        busy = {run.ticket.customer for run in self.running.values()}
        for customer, queue in list(self.customers.items()):
            if queue.waiting or customer in busy:
                continue
            del self.customers[customer]

    def _next_queue(self) -> CustomerQueue:
        waiting = [queue for queue in self.customers.values() if queue.waiting]
        return min(waiting, key=lambda queue: queue.used)

    def _start(self, now: Instant, queue: CustomerQueue, ticket: Ticket) -> None:
        charge = self.mean * ticket.cost
        self.level = max(self.level, queue.used)
        queue.used += charge
        self.running[ticket.request_id] = Running(ticket, now, charge)

    def _enqueue(self, queue: CustomerQueue, ticket: Ticket) -> None:
        queue.waiting.append(ticket)
        queue.waiting_cost += ticket.cost
        self.waiting[ticket.request_id] = ticket

    def _dequeue(self, ticket: Ticket) -> None:
        del self.waiting[ticket.request_id]
        queue = self.customers[ticket.customer]
        queue.waiting.remove(ticket)
        queue.waiting_cost = queue.waiting_cost - ticket.cost if queue.waiting else 0.0

    def _make_room(self, now: Instant, queue: CustomerQueue) -> bool:
        """Push out the last request of the longest queue if it is longer than `queue`."""
        longest = max(self.customers.values(), key=lambda other: len(other.waiting))
        if len(longest.waiting) <= len(queue.waiting) + 1:
            return False
        self._lapse(now, longest.waiting[-1], ErrorKind.QUEUE_FULL)
        return True

    def _lapse(self, now: Instant, ticket: Ticket, kind: ErrorKind) -> None:
        self._dequeue(ticket)
        queue = self.customers[ticket.customer]
        refused = self._refuse(now, queue, ticket, kind, timedelta(0))
        self.lapsed.append((ticket, refused))

    def _refuse(
        self,
        now: Instant,
        queue: CustomerQueue,
        ticket: Ticket,
        kind: ErrorKind,
        missed: timedelta,
    ) -> Refused:
        # Refused callers are told to come back one after the other, at the pace at which
        # their customer's requests can be served, instead of all together.
        waiting = sum(1 for other in self.customers.values() if other.waiting)
        pace = ticket.cost * self.mean * max(waiting, 1) / self.current_limit(now)
        earliest = max(queue.returns_at, now + missed)
        latest = now + MAX_RETRY_AFTER
        queue.returns_at = min(earliest + timedelta(seconds=pace), latest)
        return Refused(kind, queue.returns_at - now)

    def _can_finish(self, now: Instant, ticket: Ticket) -> bool:
        # An idle server is always tried, or a wrong service time could never be corrected.
        if not self.running:
            return now < ticket.deadline
        return now + self._allowance(ticket) <= ticket.deadline

    def _allowance(self, ticket: Ticket) -> timedelta:
        return timedelta(seconds=(self.mean + DEVIATIONS * self.deviation) * ticket.cost)

    def _observe(self, took: float) -> None:
        error = took - self.mean
        self.mean += SERVICE_TIME_GAIN * error
        self.deviation += SERVICE_TIME_GAIN * (abs(error) - self.deviation)

    def _next_step(self, now: Instant) -> Instant:
        share = self.current_limit(now) / max(self.limit - 1, 1)
        return self.ramp_started + self.ramp * share + RAMP_STEP_MARGIN
