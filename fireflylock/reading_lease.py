"""ClockReading leases: time-limited rights whose renewals may be delayed without extending them.

The granter holds a reading of the holder's clock.  A renewal names the end as an instant of
the holder's clock, "reading + TTL".  However late the renewal is delivered, the holder's right
ends no later, because the reading was taken before the granter received it.

`drift` bounds the relative difference in rate between any two clocks: while one clock counts
``d``, another counts at most ``d * (1 + drift)``.
"""

from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant

DISTANT_PAST = timedelta.min


def local_upper_bound(duration: timedelta, drift: float) -> timedelta:
    """Return how long our clock must count until any other clock has counted `duration`."""
    return duration * (1 + drift)


def local_lower_bound(duration: timedelta, drift: float) -> timedelta:
    """Return how long our clock may count while no other clock has counted `duration`."""
    return duration / (1 + drift)


@dataclass(frozen=True)
class ClockReading:
    """A reading of the holder's clock that the granter asked for.

    Attributes
    ----------
    value : timedelta
        The holder's clock.
    sent_at, received_at : timedelta
        Granter's clock when it asked, and when the reading arrived; the reading was taken
        in between.
    """

    value: Instant
    sent_at: Instant
    received_at: Instant


class ReadingLease:
    """What the granter knows of one lease that it gives out.

    Parameters
    ----------
    ttl : timedelta
        Length of the right from the reading on, by the holder's clock.
    drift : float
        Bound on the relative difference in rate between two clocks.

    Attributes
    ----------
    over_at : timedelta
        Granter's instant after which the holder has no right from any renewal ever made.
    """

    def __init__(self, ttl: timedelta, drift: float) -> None:
        self.ttl = ttl
        self.drift = drift
        self.over_at: Instant = DISTANT_PAST

    def renewal(self, reading: ClockReading) -> Instant:
        """Return the end to put into a renewal, as an instant of the holder's clock.

        The renewal counts as made from here on, whether or not it is ever delivered.
        """
        bound = reading.received_at + local_upper_bound(self.ttl, self.drift)
        self.over_at = max(self.over_at, bound)
        return reading.value + self.ttl

    def is_over(self, now: Instant) -> bool:
        """Return whether the holder can have no right any more."""
        return now > self.over_at

    def guaranteed_until(self, reading: ClockReading) -> Instant:
        """Return until when a renewal from `reading` certainly holds once acknowledged."""
        return reading.sent_at + local_lower_bound(self.ttl, self.drift)
