"""Queueing: one backend server behind the shipping admission, event by event."""

import heapq
import math
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

import numpy as np

from fireflylock.admission import Admission, Queued, Refused, Started, Ticket
from fireflylock.clock import Instant

QUEUE_LIMIT = 256
# Shape of the gamma distribution of service times; its coefficient of variation is 0.5.
SERVICE_SHAPE = 4.0
MAX_ATTEMPTS = 4


@dataclass(frozen=True)
class Arrival:
    """One request of a caller.

    Attributes
    ----------
    at : float
        Seconds.
    customer : str
        Who asks.
    attempt : int
        1 for the first, higher when it comes back after a refusal.
    """

    at: float
    customer: str
    attempt: int = 1


@dataclass
class Outcome:
    """What became of the requests.

    Attributes
    ----------
    latencies : list of float
        Seconds from the arrival of a served request to its end, deadline kept.
    late : int
        Requests that were served but missed their deadline.
    refused : int
        Refusals, each attempt counted.
    offered, served : Counter
        Requests (first attempts) and requests served in time, by customer.
    """

    latencies: list[float] = field(default_factory=list)
    late: int = 0
    refused: int = 0
    offered: Counter = field(default_factory=Counter)
    served: Counter = field(default_factory=Counter)


class ServerRun:
    """Plays arrivals against one server.

    Parameters
    ----------
    limit : int
        Concurrency limit of the server.
    service_time : timedelta
        Mean service time.
    deadline : timedelta
        Of each attempt, from its arrival.
    random : numpy.random.Generator
        Source of the service times.
    comes_back : bool
        Whether refused callers come back when they were told to.
    until : float
        Nothing that ends after this many seconds is counted.
    """

    def __init__(
        self,
        limit: int,
        service_time: timedelta,
        deadline: timedelta,
        random: np.random.Generator,
        comes_back: bool = False,
        until: float = math.inf,
    ) -> None:
        self.admission = Admission(limit, QUEUE_LIMIT, service_time)
        self.mean = service_time.total_seconds()
        self.deadline = deadline
        self.random = random
        self.comes_back = comes_back
        self.until = until
        self.outcome = Outcome()
        self.events: list[tuple[float, int, object]] = []
        self.sequence = 0
        self.arrived: dict[str, Arrival] = {}

    def play(self, arrivals: list[Arrival]) -> Outcome:
        """Return what became of `arrivals`."""
        for arrival in arrivals:
            self.outcome.offered[arrival.customer] += 1
            self.schedule(arrival.at, arrival)
        while self.events and self.events[0][0] <= self.until:
            at, _, what = heapq.heappop(self.events)
            now = timedelta(seconds=at)
            if isinstance(what, Arrival):
                self.arrive(now, what)
            else:
                self.end(now, what)
            for ticket, refused in self.admission.expire(now) if self.admission.dropped else ():
                self.refuse(now, ticket, refused)
        return self.outcome

    def schedule(self, at: float, what: object) -> None:
        """Note that `what` happens at `at` seconds."""
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, what))

    def arrive(self, now: Instant, arrival: Arrival) -> None:
        """Offer a request to admission."""
        ticket = Ticket(str(self.sequence), arrival.customer, now + self.deadline)
        self.sequence += 1
        self.arrived[ticket.request_id] = arrival
        answer = self.admission.offer(now, ticket)
        if isinstance(answer, Started):
            self.run(now, ticket)
            return
        if isinstance(answer, Queued):
            return
        self.refuse(now, ticket, answer)

    def run(self, now: Instant, ticket: Ticket) -> None:
        """Serve a request that admission started."""
        took = self.random.gamma(SERVICE_SHAPE, self.mean / SERVICE_SHAPE)
        self.schedule(now.total_seconds() + took, ticket)

    def end(self, now: Instant, ticket: Ticket) -> None:
        """Count a served request and start the next ones."""
        arrival = self.arrived.pop(ticket.request_id)
        if now <= ticket.deadline:
            self.outcome.latencies.append(now.total_seconds() - arrival.at)
            self.outcome.served[ticket.customer] += 1
        else:
            self.outcome.late += 1
        for started in self.admission.finish(now, ticket):
            self.run(now, started)

    def refuse(self, now: Instant, ticket: Ticket, refused: Refused) -> None:
        """Count a refusal; the caller may come back."""
        arrival = self.arrived.pop(ticket.request_id)
        self.outcome.refused += 1
        if not self.comes_back or arrival.attempt >= MAX_ATTEMPTS:
            return
        back = (now + refused.retry_after).total_seconds()
        self.schedule(back, Arrival(back, arrival.customer, arrival.attempt + 1))


def poisson_arrivals(
    random: np.random.Generator, rate: float, seconds: float, customers: np.ndarray
) -> list[Arrival]:
    """Return arrivals at `rate` per second.

    Parameters
    ----------
    random : numpy.random.Generator
        Source of the draws.
    rate, seconds : float
        Requests per second, and for how long.
    customers : numpy.ndarray
        Probability of each customer, shape (customers,).
    """
    count = random.poisson(rate * seconds)
    times = np.sort(random.uniform(0.0, seconds, count))
    who = random.choice(len(customers), size=count, p=customers)
    return [Arrival(float(at), f"customer-{c}") for at, c in zip(times, who, strict=True)]


def fair_shares(demands: dict[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min fair share of each customer."""
    shares: dict[str, float] = {}
    left = capacity
    waiting = sorted(demands, key=lambda customer: demands[customer])
    for position, customer in enumerate(waiting):
        equal = left / (len(waiting) - position)
        shares[customer] = min(demands[customer], equal)
        left -= shares[customer]
    return shares
