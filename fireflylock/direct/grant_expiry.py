"""When the grants of keys to servers expire.

A server that can't be reached may go on running requests for its keys until its hold expires.
Nobody else may own them before that, so the expiry needs an upper bound, whatever happened to
the requests that could extend it.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.key_ranges import Owner

# A server's clock may measure its hold as 2% longer, by the platform's documentation.
CLOCK_DRIFT = 0.02
# Added to every expiry: a grant may be in progress on this machine for that long.
MARGIN = timedelta(milliseconds=150)


@dataclass
class GrantExpiry:
    """The latest expiry of each owner's hold.

    Attributes
    ----------
    max_hold : timedelta
        Longest hold that any leader grants.
    others_end : timedelta
        When all other leaders have stopped, by their own clocks; sooner if their grants are
        known to expire sooner than the longest hold after that.
    expiries : dict of Owner to timedelta
        Latest expiry of an owner's hold by the grants of this process.
    """

    max_hold: timedelta
    others_end: Instant
    expiries: dict[Owner, Instant] = field(default_factory=dict)

    @property
    def previous_grants_end(self) -> Instant:
        """Latest expiry of the grants that this record does not hold."""
        return self.others_end + self.upper_bound(self.max_hold)

    def extend_previous_grants(self, now: Instant) -> None:
        """Assume that previous leaders have granted keys for the longest hold until now."""
        self.others_end = max(self.others_end, now)

    def limit_previous_grants(self, end: Instant) -> None:
        """Apply the statement of a leader that has stopped: everything granted ends by `end`.

        It counted the leaders before it in the same way, so that they have stopped as well.
        """
        self.others_end = min(self.others_end, end - self.upper_bound(self.max_hold))

    def latest_expiry(self) -> Instant:
        """Return when everything granted so far has expired."""
        return max([self.previous_grants_end, *self.expiries.values()])

    def record_grant(self, now: Instant, owner: Owner, hold: timedelta) -> None:
        """Record a grant request that has just ended, with or without an answer.

        Parameters
        ----------
        now : timedelta
            Present instant; the request arrived before it or never will.
        owner : Owner
            Owner that the grant was sent to.
        hold : timedelta
            How long the owner may hold the keys, counted from the arrival.
        """
        end = now + self.upper_bound(hold)
        self.expiries[owner] = max(end, self.expiries.get(owner, end))

    def upper_bound(self, hold: timedelta) -> timedelta:
        """Return how long after its arrival a grant has certainly expired."""
        return hold * (1.0 + CLOCK_DRIFT) + MARGIN

    def expiry_of(self, owner: Owner) -> Instant:
        """Return when an owner certainly holds nothing, if it gets no further grants."""
        return max(self.previous_grants_end, self.expiries.get(owner, self.previous_grants_end))
