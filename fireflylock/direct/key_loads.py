"""The work that the keys of a service ask for, averaged over some time."""

import math
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.model import KEYS

# Loads are averaged over two times.  The short one sees hot keys within half a second, but a
# few requests more look like them; the long one tells steady differences from such chance.
SHORT_TIME_CONSTANT = timedelta(seconds=1)
LONG_TIME_CONSTANT = timedelta(seconds=5)
# A key whose load is below this many seconds of work a second is forgotten.
MIN_LOAD = 0.0005
# Seconds of work for one key that one message may tell; far above what callers can ask for.
MAX_WORK = 10_000.0


class KeyLoads:
    """The work that the keys of one service ask for, averaged over some time.

    Parameters
    ----------
    now : timedelta
        Present instant.
    age : timedelta
        Mean age of what counts.
    """

    def __init__(self, now: Instant, time_constant: timedelta) -> None:
        self.time_constant = time_constant
        self.loads: dict[int, float] = {}
        self.decayed_at = now
        self.started_at = now

    def add(self, now: Instant, work: dict[int, float]) -> None:
        """Take in what was asked for, in seconds of work by key."""
        self.decay(now)
        time_constant = self.time_constant.total_seconds()
        for key, seconds in work.items():
            # Not-a-number fails the second comparison too.
            if 0 <= key < KEYS and 0.0 <= seconds <= MAX_WORK:
                self.loads[key] = self.loads.get(key, 0.0) + seconds / time_constant

    def decay(self, now: Instant) -> None:
        """Let what was taken in before count less."""
        passed = now - self.decayed_at
        if passed < self.time_constant / 50:
            return
        self.decayed_at = now
        left = math.exp(-(passed / self.time_constant))
        self.loads = {
            key: load * left for key, load in self.loads.items() if load * left > MIN_LOAD
        }

    def is_warm(self, now: Instant) -> bool:
        """Return whether it has seen enough time to be judged by."""
        return now - self.started_at >= self.time_constant
