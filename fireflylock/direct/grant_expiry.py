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
class Holdings:
    """The latest end of each owner's hold.

    Attributes
    ----------
    longest : timedelta
        Longest hold that anybody grants.
    started : timedelta
        When the right to grant was won: all orders of others arrived before.
    ends : dict of Owner to timedelta
        Latest end of an owner's hold by the orders of this process.
    others_end : timedelta
        Latest end of what the leaders before have granted.
    """

    longest: timedelta
    started: Instant
    ends: dict[Owner, Instant] = field(default_factory=dict)
    others_end: Instant = field(init=False)

    def __post_init__(self) -> None:
        self.others_end = self.started + self.end_of(self.longest)

    def bound_others(self, end: Instant) -> None:
        """Take the word of the leader before that all granted until then ends by `end`."""
        self.others_end = min(self.others_end, end)

    def latest_end(self) -> Instant:
        """Return from when on nobody holds anything that was granted so far."""
        return max([self.others_end, *self.ends.values()])

    def granted(self, now: Instant, owner: Owner, hold: timedelta) -> None:
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
        end = now + self.end_of(hold)
        self.ends[owner] = max(end, self.ends.get(owner, end))

    def end_of(self, hold: timedelta) -> timedelta:
        """Return how long after its arrival a grant has surely ended."""
        return hold * (1.0 + CLOCK_DRIFT) + MARGIN

    def free_at(self, owner: Owner) -> Instant:
        """Return from when on an owner surely holds nothing, if it is granted nothing more."""
        return max(self.others_end, self.ends.get(owner, self.others_end))
