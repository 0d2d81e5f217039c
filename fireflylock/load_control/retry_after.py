"""Tells refused callers when to come back, so that they don't all come together.

The load this handles: a peak refuses hundreds of callers within a second.  With the same
Retry-After for all, they return as a second peak.  So each gets its own place in the order of
refusals, as far apart as the queue drains, with jitter because VMs don't coordinate theirs.
"""

import random
from collections import Counter
from datetime import timedelta

from fireflylock.clock import Instant

# Largest deviation of the time between two returns, as a share of it.
JITTER = 0.2
# Start of the range, as a share of its end, over which callers are spread that can't be told to
# wait until there is room for them.
SPREAD_START = 0.6

QueueKey = tuple[str, str]


class ReturnPlanner:
    """Spreads the returns of refused callers.

    Parameters
    ----------
    rng : random.Random or None
        Draws the jitter.

    Attributes
    ----------
    last_return : dict of (str, str) to timedelta
        Latest return that callers of each queue were told.
    spread : Counter of str
        Returns that were planned, by service.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random()
        self.last_return: dict[QueueKey, Instant] = {}
        self.spread: Counter[str] = Counter()

    def plan(
        self,
        now: Instant,
        queue_key: QueueKey,
        wait: timedelta,
        interval: timedelta,
        longest: timedelta,
    ) -> timedelta:
        """Return after what time a refused caller should come back.

        Parameters
        ----------
        now : timedelta
            Current instant.
        queue_key : (str, str)
            Queue that has no room.
        wait : timedelta
            Expected time until it has room.
        interval : timedelta
            Time in which it takes one request from the callers of this VM.
        longest : timedelta
            Longest time that the caller would honour.
        """
        self.spread[queue_key[0]] += 1
        place = now + wait + self.rng.random() * interval
        previous = self.last_return.get(queue_key)
        if previous is not None:
            gap = (1.0 + JITTER * self.rng.uniform(-1.0, 1.0)) * interval
            place = max(place, previous + gap)
        if place - now > longest:
            return longest * self.rng.uniform(SPREAD_START, 1.0)
        self.last_return[queue_key] = place
        return place - now

    def tidy(self, now: Instant) -> None:
        """Forget the places that are over."""
        for queue_key, at in list(self.last_return.items()):
            if at <= now:
                del self.last_return[queue_key]
