"""The load of each key of a service, as a moving average."""

import math
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.model import KEY_COUNT

# Time constants of the averages.  The short one detects hot keys within half a second, but a few
# extra requests look like one; the long one tells steady differences from such noise.
SHORT_TIME_CONSTANT = timedelta(seconds=1)
LONG_TIME_CONSTANT = timedelta(seconds=5)
# A key with a load below this many seconds of work per second is dropped.
MIN_LOAD = 0.0005
# Most seconds of work for one key in one message; far above what callers can request.
MAX_WORK = 10_000.0


class KeyLoads:
    """The load of each key of one service, as an exponentially decaying average.

    Parameters
    ----------
    now : timedelta
        Present instant.
    time_constant : timedelta
        Mean age of the work that counts.
    """

    def __init__(self, now: Instant, time_constant: timedelta) -> None:
        self.time_constant = time_constant
        self.loads: dict[int, float] = {}
        self.decayed_at = now
        self.started_at = now

    def add(self, now: Instant, work: dict[int, float]) -> None:
        """Add requested work, in seconds by key."""
        self.decay(now)
        time_constant = self.time_constant.total_seconds()
        for key, seconds in work.items():
            # NaN fails the second comparison too.
            if 0 <= key < KEY_COUNT and 0.0 <= seconds <= MAX_WORK:
                self.loads[key] = self.loads.get(key, 0.0) + seconds / time_constant

    def decay(self, now: Instant) -> None:
        """Reduce the weight of earlier work."""
        passed = now - self.decayed_at
        if passed < self.time_constant / 50:
            return
        self.decayed_at = now
        left = math.exp(-(passed / self.time_constant))
        self.loads = {
            key: load * left for key, load in self.loads.items() if load * left > MIN_LOAD
        }

    def is_warm(self, now: Instant) -> bool:
        """Return whether it covers enough time to be relied on."""
        return now - self.started_at >= self.time_constant
