"""Until when servers may still hold keys that they were granted.

A server that can't be reached may go on running requests for its keys until its hold ends.
Nobody else may own them before that; so the end has to be bounded from above, whatever
became of the orders that could extend it.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.key_ranges import Owner

# A server's clock may measure its hold as 2% longer; the platform's pages say so.
CLOCK_DRIFT = 0.02
# Added to every end: a grant may be under way on this machine for that long.
MARGIN = timedelta(milliseconds=150)


@dataclass
class GrantExpiry:
    """The latest end of each owner's hold.

    Attributes
    ----------
    longest : timedelta
        Longest hold that anybody grants.
    started : timedelta
        When the right to grant was won: all orders of others arrived before.
    ends : dict of Owner to timedelta
        Latest end of an owner's hold by the orders of this process.
    previous_grants_end : timedelta
        Latest end of what the leaders before have granted.
    """

    max_hold: timedelta
    acquired_at: Instant
    expiries: dict[Owner, Instant] = field(default_factory=dict)
    previous_grants_end: Instant = field(init=False)

    def __post_init__(self) -> None:
        self.previous_grants_end = self.acquired_at + self.upper_bound(self.max_hold)

    def limit_previous_grants(self, end: Instant) -> None:
        """Take the word of the leader before that all granted until then ends by `end`."""
        self.previous_grants_end = min(self.previous_grants_end, end)

    def latest_expiry(self) -> Instant:
        """Return from when on nobody holds anything that was granted so far."""
        return max([self.previous_grants_end, *self.expiries.values()])

    def record_grant(self, now: Instant, owner: Owner, hold: timedelta) -> None:
        """Note a grant that has just ended, with an answer or without.

        Parameters
        ----------
        now : timedelta
            Present instant; the order arrived before it or never will.
        owner : Owner
            Whom it went to.
        hold : timedelta
            How long the owner may hold the keys, from the arrival.
        """
        end = now + self.upper_bound(hold)
        self.expiries[owner] = max(end, self.expiries.get(owner, end))

    def upper_bound(self, hold: timedelta) -> timedelta:
        """Return how long after its arrival a grant has surely ended."""
        return hold * (1.0 + CLOCK_DRIFT) + MARGIN

    def expiry_of(self, owner: Owner) -> Instant:
        """Return from when on an owner surely holds nothing, if it is granted nothing more."""
        return max(self.previous_grants_end, self.expiries.get(owner, self.previous_grants_end))
