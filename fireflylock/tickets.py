"""Tickets: requests that ask to be sent to a backend server, and what is decided about them."""

from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.exceptions import ErrorKind


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
