"""Leases based on clock readings: a delayed renewal does not extend the lease.

The grantor holds a reading of the holder's clock.  A renewal names the end as an instant of
the holder's clock, "reading + TTL".  However late the renewal is delivered, the lease ends no
later, because the reading was taken before the grantor received it.

`drift` bounds the relative difference in rate between any two clocks: while one clock counts
``d``, another counts at most ``d * (1 + drift)``.
"""

from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant

DISTANT_PAST = timedelta.min


def local_upper_bound(duration: timedelta, drift: float) -> timedelta:
    """Return the time on our clock after which every other clock has counted `duration`."""
    return duration * (1 + drift)


def local_lower_bound(duration: timedelta, drift: float) -> timedelta:
    """Return the time on our clock within which no other clock can count `duration`."""
    return duration / (1 + drift)


@dataclass(frozen=True)
class ClockReading:
    """A reading of the holder's clock that the grantor requested.

    Attributes
    ----------
    value : timedelta
        The holder's clock.
    sent_at, received_at : timedelta
        The grantor's clock at the request and at the receipt; the reading was taken in
        between.
    """

    value: Instant
    sent_at: Instant
    received_at: Instant


class ReadingLease:
    """The grantor's state of one lease.

    Parameters
    ----------
    ttl : timedelta
        Duration of the lease from the reading on, by the holder's clock.
    drift : float
        Bound on the relative difference in rate between two clocks.

    Attributes
    ----------
    over_at : timedelta
        Instant of the grantor's clock after which every renewal ever made has expired.
    """

    def __init__(self, ttl: timedelta, drift: float) -> None:
        self.ttl = ttl
        self.drift = drift
        self.over_at: Instant = DISTANT_PAST

    def renewal(self, reading: ClockReading) -> Instant:
        """Return the end to put into a renewal, as an instant of the holder's clock.

        The renewal counts as made from now on, whether or not it is delivered.
        """
        bound = reading.received_at + local_upper_bound(self.ttl, self.drift)
        self.over_at = max(self.over_at, bound)
        return reading.value + self.ttl

    def is_over(self, now: Instant) -> bool:
        """Return whether the lease has certainly expired at the holder."""
        return now > self.over_at

    def guaranteed_until(self, reading: ClockReading) -> Instant:
        """Return until when an acknowledged renewal based on `reading` is certainly valid."""
        return reading.sent_at + local_lower_bound(self.ttl, self.drift)
