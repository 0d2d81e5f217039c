"""Shares room between callers while it is short.

The load this handles: a caller, or a few, send many times what others send, or repeat refused
requests at once instead of waiting as told.  While room is short their requests start after
those of the others; while there is room for all, nothing changes.
"""

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta

from fireflylock.clock import Instant

# Time in which a caller's past requests lose half of their weight.
HALF_LIFE = timedelta(seconds=2)
# Callers that are remembered at most; those that have been silent longest are forgotten.
MAX_CALLERS = 2048
# A caller is over its share with more than this many times the mean of all recent callers ...
MAX_SHARE_FACTOR = 2.5
# ... and at least this many recent requests, so that a few in a row never count as a burst.
MIN_RECENT_REQUESTS = 6.0
# Recent callers from which on there is a share to compare with.
MIN_CALLERS = 4
# Weight of a request that comes earlier than the caller was told after a refusal.
EARLY_RETURN_WEIGHT = 3.0
# Recent requests below which a caller no longer counts for the mean.
FORGOTTEN_REQUESTS = 0.25


@dataclass
class CallerRecord:
    """What is known about one caller.

    Attributes
    ----------
    requests : float
        Weighted number of its recent requests, at `at`.
    at : timedelta
        When that number was last brought up to date.
    returns_at : timedelta
        Before this instant it was told not to come back.
    """

    requests: float
    at: Instant
    returns_at: Instant = timedelta(0)


class CallerFairness:
    """Tells which callers send more than their share.

    Attributes
    ----------
    total : float
        Weighted number of all callers' recent requests, at `total_at`.
    over_share : int
        Requests that came from callers over their share.
    early_returns : int
        Requests that came earlier than their callers were told.
    """

    def __init__(self) -> None:
        self.callers: OrderedDict[str, CallerRecord] = OrderedDict()
        self.total = 0.0
        self.total_at: Instant = timedelta(0)
        self.over_share = 0
        self.early_returns = 0

    def record_request(self, now: Instant, caller: str) -> bool:
        """Count a request; return whether its caller is over its share.

        Parameters
        ----------
        now : timedelta
            Current instant.
        caller : str
            Identity of the caller; "" if it is not known, which is never over its share.
        """
        if not caller:
            return False
        self.forget_silent(now)
        known = self.callers.get(caller)
        if known is None:
            known = self.callers[caller] = CallerRecord(0.0, now)
        self.callers.move_to_end(caller)
        weight = 1.0
        if now < known.returns_at:
            weight = EARLY_RETURN_WEIGHT
            self.early_returns += 1
        known.requests = decayed(known.requests, now - known.at) + weight
        known.at = now
        self.total = decayed(self.total, now - self.total_at) + weight
        self.total_at = now
        others = len(self.callers) - 1
        if others < MIN_CALLERS - 1 or known.requests < MIN_RECENT_REQUESTS:
            return False
        mean = self.total / (others + 1)
        if known.requests <= MAX_SHARE_FACTOR * mean:
            return False
        self.over_share += 1
        return True

    def record_refusal(self, now: Instant, caller: str, retry_after: timedelta) -> None:
        """Record when a refused caller was told to come back."""
        known = self.callers.get(caller)
        if known is not None:
            known.returns_at = now + retry_after

    def forget_silent(self, now: Instant) -> None:
        """Forget callers that no longer count, and the oldest ones beyond the limit."""
        while self.callers:
            oldest = next(iter(self.callers))
            known = self.callers[oldest]
            requests = decayed(known.requests, now - known.at)
            if requests >= FORGOTTEN_REQUESTS and len(self.callers) < MAX_CALLERS:
                return
            del self.callers[oldest]
            self.total = max(0.0, decayed(self.total, now - self.total_at) - requests)
            self.total_at = now


def decayed(requests: float, elapsed: timedelta) -> float:
    """Return what is left of a weighted number of requests after some time."""
    return requests * 0.5 ** (elapsed / HALF_LIFE)
