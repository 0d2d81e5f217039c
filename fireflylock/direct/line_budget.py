"""Bounds how many log lines requests may cause, without hiding what is rare."""

from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.store import TokenBucket

# A kind of line that was not written for this long is always written.
RARE = timedelta(seconds=1)


class LineBudget:
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
        self.written: dict[str, Instant] = {}
        self.left_out: dict[str, int] = {}

    def allows(self, now: Instant, kind: str) -> bool:
        """Return whether a line of some kind is written; one that is not is counted."""
        last = self.written.get(kind)
        rare = last is None or now - last >= RARE
        if not rare and not self.bucket.try_take(now):
            self.left_out[kind] = self.left_out.get(kind, 0) + 1
            return False
        self.written[kind] = now
        return True

    def take_left_out(self, kind: str) -> int:
        """Return how many lines of a kind were left out since the last one."""
        return self.left_out.pop(kind, 0)
