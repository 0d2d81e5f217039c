"""How long callers have been trying already, from the time that they still give.

The load this answers: a busy server refuses some callers, who come back with less time.  Their
latency targets count from their first attempts.  Taken for new, they would go before callers
that can still be served in time.
"""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

# Times of a route's last requests that are remembered, roughly.
REMEMBERED = 400
# A time that this part of a route's callers give is what a first attempt gives; those of later
# attempts are spread out.
FIRST_SHARE = 0.1
# Fewer requests than this tell nothing.
FEWEST = 10
# Differences below this come from the way here.
LEAST_ELAPSED = timedelta(milliseconds=20)

MILLISECOND = timedelta(milliseconds=1)


@dataclass
class GivenTimes:
    """Times that the callers of one route gave lately: how often each, in milliseconds."""

    counts: Counter[int] = field(default_factory=Counter)
    total: int = 0

    def add(self, time: int) -> None:
        """Count one, and let older ones count less."""
        self.counts[time] += 1
        self.total += 1
        if self.total > REMEMBERED:
            self.counts = Counter({known: n // 2 for known, n in self.counts.items() if n > 1})
            self.total = self.counts.total()

    def is_usual(self, time: int) -> bool:
        """Return whether first attempts give a time."""
        return self.counts[time] >= FIRST_SHARE * self.total


class CallerTimes:
    """The times that callers give, by route."""

    def __init__(self) -> None:
        self.routes: dict[str, GivenTimes] = {}

    def elapsed(self, route: str, given: timedelta) -> timedelta:
        """Count a request; return how long its caller has probably been trying.

        Parameters
        ----------
        route : str
            Name of its route.
        given : timedelta
            Time that its caller will still wait.
        """
        known = self.routes.setdefault(route, GivenTimes())
        time = given // MILLISECOND
        known.add(time)
        if known.total < FEWEST or known.is_usual(time):
            return timedelta(0)
        first = min((n for n in known.counts if n > time and known.is_usual(n)), default=time)
        elapsed = (first - time) * MILLISECOND
        return elapsed if elapsed >= LEAST_ELAPSED else timedelta(0)
