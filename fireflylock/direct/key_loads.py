"""The work that the keys of a service ask for, averaged over some time."""

import math
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.model import KEY_COUNT

# Loads are averaged over two times.  The short one sees hot keys within half a second, but a
# few requests more look like them; the long one tells steady differences from such chance.
SHORT_AGE = timedelta(seconds=1)
LONG_AGE = timedelta(seconds=5)
# A key whose load is below this many seconds of work a second is forgotten.
LEAST_LOAD = 0.0005
# Seconds of work for one key that one message may tell; far above what callers can ask for.
MOST_WORK = 10_000.0


class KeyLoads:
    """The work that the keys of one service ask for, averaged over some time.

    Parameters
    ----------
    now : timedelta
        Present instant.
    age : timedelta
        Mean age of what counts.
    """

    def __init__(self, now: Instant, age: timedelta) -> None:
        self.age = age
        self.loads: dict[int, float] = {}
        self.at = now
        self.began = now

    def add(self, now: Instant, work: dict[int, float]) -> None:
        """Take in what was asked for, in seconds of work by key."""
        self.decay(now)
        age = self.age.total_seconds()
        for key, seconds in work.items():
            # Not-a-number fails the second comparison too.
            if 0 <= key < KEY_COUNT and 0.0 <= seconds <= MOST_WORK:
                self.loads[key] = self.loads.get(key, 0.0) + seconds / age

    def decay(self, now: Instant) -> None:
        """Let what was taken in before count less."""
        passed = now - self.at
        if passed < self.age / 50:
            return
        self.at = now
        left = math.exp(-(passed / self.age))
        self.loads = {
            key: load * left for key, load in self.loads.items() if load * left > LEAST_LOAD
        }

    def is_warm(self, now: Instant) -> bool:
        """Return whether it has seen enough time to be judged by."""
        return now - self.began >= self.age
