"""Limits how many log lines requests cause, without hiding rare kinds."""

from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.store import TokenBucket

# A kind of line that was not written for this long is always written.
RARE_INTERVAL = timedelta(seconds=1)


class LogBudget:
    """Decides which log lines about requests are written.

    Parameters
    ----------
    rate : float
        Lines per second in the long run.
    burst : float
        Lines that may be written at once.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.bucket = TokenBucket(rate, burst)
        self.last_written_at: dict[str, Instant] = {}
        self.omitted: dict[str, int] = {}

    def allows(self, now: Instant, kind: str) -> bool:
        """Return whether a line of a kind may be written; if not, count it as omitted."""
        last = self.last_written_at.get(kind)
        rare = last is None or now - last >= RARE_INTERVAL
        if not rare and not self.bucket.try_take(now):
            self.omitted[kind] = self.omitted.get(kind, 0) + 1
            return False
        self.last_written_at[kind] = now
        return True

    def take_omitted(self, kind: str) -> int:
        """Return how many lines of a kind were omitted since the last call."""
        return self.omitted.pop(kind, 0)
