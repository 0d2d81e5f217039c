"""Fair queue of the requests for one backend server, by customer."""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.tickets import Ticket

# Customers without queued requests are evicted when this many customers are tracked.
MAX_TRACKED_CUSTOMERS = 1024


@dataclass
class CustomerQueue:
    """The queued requests of one customer.

    Attributes
    ----------
    waiting : deque of Ticket
        In order of arrival.
    waiting_cost : float
        Sum of their costs.
    used_seconds : float
        Server time used, in seconds of the queue's virtual time.
    retry_at : timedelta
        Instant by which the requests refused so far could have been served.
    """

    used_seconds: float = 0.0
    waiting: deque[Ticket] = field(default_factory=deque)
    waiting_cost: float = 0.0
    retry_at: Instant = timedelta(0)


class FairQueue:
    """Serves the customer that has used the least server time next.

    A customer that was idle starts at the virtual time, so that idle time earns no credit.
    """

    def __init__(self) -> None:
        self.customers: dict[str, CustomerQueue] = {}
        self.tickets: dict[str, Ticket] = {}
        self.virtual_time = 0.0

    def __len__(self) -> int:
        return len(self.tickets)

    def customer_queue(self, customer: str) -> CustomerQueue:
        """Return the queue of `customer`."""
        queue = self.customers.get(customer)
        if queue is not None:
            if not queue.waiting:
                queue.used_seconds = max(queue.used_seconds, self.virtual_time)
            return queue
        if len(self.customers) >= MAX_TRACKED_CUSTOMERS:
            self.evict_idle()
        queue = CustomerQueue(used_seconds=self.virtual_time)
        self.customers[customer] = queue
        return queue

    def evict_idle(self) -> None:
        """Evict half of the customers without queued requests, those that used the least.

        The virtual time rises to what they had used, so that eviction earns no credit.
        """
        idle = [name for name, queue in self.customers.items() if not queue.waiting]
        idle.sort(key=lambda name: self.customers[name].used_seconds)
        for customer in idle[: len(idle) // 2 + 1]:
            self.virtual_time = max(self.virtual_time, self.customers.pop(customer).used_seconds)

    def add(self, ticket: Ticket) -> None:
        """Append `ticket` to its customer's queue."""
        queue = self.customer_queue(ticket.customer)
        queue.waiting.append(ticket)
        queue.waiting_cost += ticket.cost
        self.tickets[ticket.request_id] = ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove `ticket` from any position in its queue."""
        del self.tickets[ticket.request_id]
        queue = self.customers[ticket.customer]
        queue.waiting.remove(ticket)
        queue.waiting_cost = queue.waiting_cost - ticket.cost if queue.waiting else 0.0

    def next_ticket(self) -> Ticket:
        """Return the ticket to serve next; the queue must not be empty."""
        waiting = [queue for queue in self.customers.values() if queue.waiting]
        return min(waiting, key=lambda queue: queue.used_seconds).waiting[0]

    def charge(self, customer: str, seconds: float) -> None:
        """Charge `customer` for a starting request that is expected to take `seconds`."""
        queue = self.customer_queue(customer)
        self.virtual_time = max(self.virtual_time, queue.used_seconds)
        queue.used_seconds += seconds

    def adjust_charge(self, customer: str, seconds: float) -> None:
        """Charge `customer` for the `seconds` that a request took beyond its charge."""
        self.customer_queue(customer).used_seconds += seconds

    def longest_queue(self) -> CustomerQueue:
        """Return the queue of the customer with the most queued requests."""
        return max(self.customers.values(), key=lambda queue: len(queue.waiting))

    def waiting_customers(self) -> int:
        """Return the number of customers with queued requests."""
        return sum(1 for queue in self.customers.values() if queue.waiting)

    def cost(self) -> float:
        """Return the total cost of all queued requests."""
        return sum(queue.waiting_cost for queue in self.customers.values())

    def cost_ahead(self, ticket: Ticket) -> float:
        """Return the cost that is served before `ticket` if it is added now.

        Until it is served, every other customer gets at most as much as its own customer.
        """
        queue = self.customers.get(ticket.customer)
        own = queue.waiting_cost if queue else 0.0
        ahead = own
        for other in self.customers.values():
            if other is queue or not other.waiting:
                continue
            ahead += min(other.waiting_cost, own + ticket.cost)
        return ahead
