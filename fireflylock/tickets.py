"""Tickets: requests for admission to a backend server, and the decisions on them."""

from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.exceptions import ErrorKind


@dataclass(frozen=True)
class Ticket:
    """One request that is to be sent to a backend server.

    Attributes
    ----------
    request_id, customer : str
        Id of the request, and the customer that it is charged to.
    deadline : timedelta
        Instant by which the response must be complete.
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
    """The request is queued.

    Attributes
    ----------
    expected_wait : timedelta
        Expected time until it starts.
    """

    expected_wait: timedelta


@dataclass(frozen=True)
class Refused:
    """The request is refused and certainly does not run.

    Attributes
    ----------
    kind : ErrorKind
        Reason for the refusal.
    retry_after : timedelta
        Time after which the caller should retry.
    """

    kind: ErrorKind
    retry_after: timedelta


@dataclass(frozen=True)
class Running:
    """A request that is running at the server.

    Attributes
    ----------
    ticket : Ticket
        The request.
    started : timedelta
        When it started.
    charged : float
        Server time in seconds that its customer was charged in advance.
    """

    ticket: Ticket
    started: Instant
    charged: float
