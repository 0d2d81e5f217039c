"""Admission control of a backend server: order, concurrency and refusal of requests."""

import math
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.exceptions import ErrorKind
from fireflylock.fair_queue import CustomerQueue, FairQueue
from fireflylock.tickets import Queued, Refused, Running, Started, Ticket

MAX_RETRY_AFTER = timedelta(seconds=30)

# Weight of the latest service time in the moving average and deviation.
SERVICE_TIME_GAIN = 1 / 16

# A request starts only if mean + this many mean deviations fit before its deadline.
DEADLINE_DEVIATIONS = 2.0

# Delay of the check for a step of the slow start, so that rounding does not miss the step.
RAMP_STEP_MARGIN = timedelta(milliseconds=1)


class Admission:
    """Runs requests up to the concurrency limit of one backend server, fairly between customers.

    The customer that used the least server time is served first.  A customer is charged the
    mean service time when a request starts and the difference to the actual time when it
    ends, so that long requests are charged for the time that they take.

    Parameters
    ----------
    limit : int
        Maximum number of running requests.
    queue_limit : int
        Maximum number of queued requests.
    service_time : timedelta
        Assumed service time before the first measurement.
    """

    def __init__(self, limit: int, queue_limit: int, service_time: timedelta) -> None:
        self.limit = limit
        self.queue_limit = queue_limit
        self.mean = service_time.total_seconds()
        self.deviation = self.mean / 2
        self.queue = FairQueue()
        self.running: dict[str, Running] = {}
        self.dropped: list[tuple[Ticket, Refused]] = []
        self.draining = False
        self.ramp_started: Instant = timedelta(0)
        self.ramp_duration = timedelta(0)

    def current_limit(self, now: Instant) -> int:
        """Return how many requests may run now; it grows in steps during a slow start."""
        if self.ramp_duration <= timedelta(0):
            return self.limit
        warm = (now - self.ramp_started) / self.ramp_duration
        if warm >= 1.0:
            self.ramp_duration = timedelta(0)
            return self.limit
        return min(self.limit, 1 + math.floor((self.limit - 1) * max(warm, 0.0)))

    def offer(self, now: Instant, ticket: Ticket) -> Started | Queued | Refused:
        """Start, queue or refuse a new request.

        Parameters
        ----------
        now : timedelta
            The current instant.
        ticket : Ticket
            The request; its id must be new.

        Returns
        -------
        Started, Queued or Refused
            The decision.  A queued request is returned later by `finish`, `cancel` or
            `start_next` (to be sent) or by `expire` (refused).
        """
        if self.draining:
            return Refused(ErrorKind.DRAINING, self.backlog_duration(now))
        queue = self.queue.customer_queue(ticket.customer)
        if not self.queue and len(self.running) < self.current_limit(now):
            if not self._can_finish(now, ticket):
                return self._refuse(now, queue, ticket, ErrorKind.DEADLINE_TOO_SHORT, timedelta(0))
            self._start(now, ticket)
            return Started()
        wait = self.expected_wait(now, ticket)
        missed = now + wait + self._required_time(ticket) - ticket.deadline
        if missed > timedelta(0):
            return self._refuse(now, queue, ticket, ErrorKind.DEADLINE_TOO_SHORT, missed)
        if len(self.queue) >= self.queue_limit and not self._evict_from_longest_queue(now, queue):
            return self._refuse(now, queue, ticket, ErrorKind.QUEUE_FULL, wait)
        self.queue.add(ticket)
        return Queued(wait)

    def finish(self, now: Instant, ticket: Ticket, ok: bool = True) -> list[Ticket]:
        """Remove a running request that ended, and return the requests to send now.

        Parameters
        ----------
        now : timedelta
            The current instant.
        ticket : Ticket
            The request that ended; unknown ones are ignored.
        ok : bool
            Whether its duration is a valid sample of the server's service time.
        """
        run = self.running.pop(ticket.request_id, None)
        if run is None:
            return []
        took = (now - run.started).total_seconds()
        self.queue.adjust_charge(ticket.customer, took - run.charged)
        # Long failures are measured as well: otherwise a server that became too slow for every
        # deadline would continue to get requests that it can't finish.
        if ok or took > self.mean * ticket.cost:
            self._update_service_time(took / ticket.cost)
        return self.start_next(now)

    def cancel(self, now: Instant, ticket: Ticket) -> list[Ticket]:
        """Remove a request whose caller has gone, and return the requests to send now.

        A running request keeps its slot until `finish`, because the server still works on it.
        """
        if ticket.request_id in self.queue.tickets:
            self.queue.remove(ticket)
        return self.start_next(now)

    def expire(self, now: Instant) -> list[tuple[Ticket, Refused]]:
        """Return the queued requests that are dropped now, each once, with their refusal."""
        for ticket in list(self.queue.tickets.values()):
            if self._can_finish(now, ticket):
                continue
            self._drop(now, ticket, ErrorKind.DEADLINE_TOO_SHORT)
        dropped, self.dropped = self.dropped, []
        return dropped

    def next_due(self, now: Instant) -> Instant | None:
        """Return when `expire` or `start_next` is due next, or None."""
        if self.dropped:
            return now
        due = [
            ticket.deadline - self._required_time(ticket) for ticket in self.queue.tickets.values()
        ]
        if self.queue and self.ramp_duration > timedelta(0):
            due.append(self._next_step(now))
        return min(due, default=None)

    def start_next(self, now: Instant) -> list[Ticket]:
        """Start queued requests up to the limit, and return them."""
        started = []
        while self.queue and len(self.running) < self.current_limit(now):
            ticket = self.queue.next_ticket()
            if not self._can_finish(now, ticket):
                self._drop(now, ticket, ErrorKind.DEADLINE_TOO_SHORT)
                continue
            self.queue.remove(ticket)
            self._start(now, ticket)
            started.append(ticket)
        return started

    def set_limit(self, now: Instant, limit: int) -> list[Ticket]:
        """Change the concurrency limit and return the requests to send now."""
        self.limit = limit
        return self.start_next(now)

    def begin_slow_start(self, now: Instant, ramp_duration: timedelta) -> None:
        """Start with one request at a time and reach the limit after `ramp_duration`."""
        self.ramp_started = now
        self.ramp_duration = ramp_duration

    def drain(self, now: Instant) -> list[tuple[Ticket, Refused]]:
        """Refuse queued and new requests; running ones may end."""
        self.draining = True
        for ticket in list(self.queue.tickets.values()):
            self._drop(now, ticket, ErrorKind.DRAINING)
        dropped, self.dropped = self.dropped, []
        return dropped

    def resume(self) -> None:
        """Accept requests again after `drain`."""
        self.draining = False

    def expected_wait(self, now: Instant, ticket: Ticket) -> timedelta:
        """Return how long `ticket` would wait if it were queued now."""
        ahead = self.queue.cost_ahead(ticket)
        # One of the running requests has to end first; on average each is half complete.
        ahead += len(self.running) / 2
        return timedelta(seconds=ahead * self.mean / self.current_limit(now))

    def backlog_duration(self, now: Instant) -> timedelta:
        """Return how long the queued and running requests are expected to take."""
        cost = self.queue.cost() + len(self.running)
        seconds = cost * self.mean / self.current_limit(now)
        return min(timedelta(seconds=seconds), MAX_RETRY_AFTER)

    def state(self) -> list[tuple[str, object]]:
        """Return (name, value) pairs for the state dump."""
        return [
            ("limit", self.limit),
            ("running", len(self.running)),
            ("waiting", len(self.queue)),
            ("waiting customers", self.queue.waiting_customers()),
            ("mean service time seconds", round(self.mean, 6)),
            ("draining", self.draining),
        ]

    def _start(self, now: Instant, ticket: Ticket) -> None:
        charge = self.mean * ticket.cost
        self.queue.charge(ticket.customer, charge)
        self.running[ticket.request_id] = Running(ticket, now, charge)

    def _evict_from_longest_queue(self, now: Instant, queue: CustomerQueue) -> bool:
        """Drop the last request of the longest queue if it exceeds `queue` by two or more."""
        longest_queue = self.queue.longest_queue()
        if len(longest_queue.waiting) <= len(queue.waiting) + 1:
            return False
        self._drop(now, longest_queue.waiting[-1], ErrorKind.QUEUE_FULL)
        return True

    def _drop(self, now: Instant, ticket: Ticket, kind: ErrorKind) -> None:
        self.queue.remove(ticket)
        queue = self.queue.customer_queue(ticket.customer)
        refused = self._refuse(now, queue, ticket, kind, timedelta(0))
        self.dropped.append((ticket, refused))

    def _refuse(
        self,
        now: Instant,
        queue: CustomerQueue,
        ticket: Ticket,
        kind: ErrorKind,
        missed: timedelta,
    ) -> Refused:
        # Retry times of refused callers are staggered at the rate at which their customer's
        # requests can be served, so that they do not retry all together.
        waiting = max(self.queue.waiting_customers(), 1)
        pace = ticket.cost * self.mean * waiting / self.current_limit(now)
        earliest = max(queue.retry_at, now + missed)
        latest = now + MAX_RETRY_AFTER
        queue.retry_at = min(earliest + timedelta(seconds=pace), latest)
        return Refused(kind, queue.retry_at - now)

    def _can_finish(self, now: Instant, ticket: Ticket) -> bool:
        # An idle server is always tried; otherwise a wrong service time would never be corrected.
        if not self.running:
            return now < ticket.deadline
        return now + self._required_time(ticket) <= ticket.deadline

    def _required_time(self, ticket: Ticket) -> timedelta:
        return timedelta(seconds=(self.mean + DEADLINE_DEVIATIONS * self.deviation) * ticket.cost)

    def _update_service_time(self, took: float) -> None:
        error = took - self.mean
        self.mean += SERVICE_TIME_GAIN * error
        self.deviation += SERVICE_TIME_GAIN * (abs(error) - self.deviation)

    def _next_step(self, now: Instant) -> Instant:
        share = self.current_limit(now) / max(self.limit - 1, 1)
        return self.ramp_started + self.ramp_duration * share + RAMP_STEP_MARGIN


__all__ = ["Admission", "Queued", "Refused", "Started", "Ticket"]
