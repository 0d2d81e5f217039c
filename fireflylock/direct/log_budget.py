"""Bounds how many log lines requests may cause, without hiding what is rare."""

from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.store import TokenBucket

# A kind of line that was not written for this long is always written.
RARE_INTERVAL = timedelta(seconds=1)


class LogBudget:
    """Decides which lines about requests are written.

    Parameters
    ----------
    rate : float
        Lines a second in the long run.
    burst : float
        Lines that may be written at once.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.bucket = TokenBucket(rate, burst)
        self.last_written_at: dict[str, Instant] = {}
        self.omitted: dict[str, int] = {}

    def allows(self, now: Instant, kind: str) -> bool:
        """Return whether a line of some kind is written; one that is not is counted."""
        last = self.last_written_at.get(kind)
        rare = last is None or now - last >= RARE_INTERVAL
        if not rare and not self.bucket.try_take(now):
            self.omitted[kind] = self.omitted.get(kind, 0) + 1
            return False
        self.last_written_at[kind] = now
        return True

    def take_omitted(self, kind: str) -> int:
        """Return how many lines of a kind were left out since the last one."""
        return self.omitted.pop(kind, 0)
