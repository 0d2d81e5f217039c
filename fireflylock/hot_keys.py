"""Hot keys: finds the keys that carry most of the load, in bounded memory."""

from collections import deque
from datetime import timedelta

from datasketches import frequent_items_error_type, frequent_strings_sketch

from fireflylock.clock import Instant

DEFAULT_PERIOD = timedelta(seconds=5)

# Number of periods of a rate, and of the latest ones that show a sudden change.
RATE_PERIODS = 3
RECENT_PERIODS = 2
# A key whose recent rate differs by more than this share has changed suddenly.
SUDDEN_CHANGE = 0.4

# The sketch counts integers, so weights are counted in thousandths.
WEIGHT_SCALE = 1000

# Base-2 logarithm of the number of keys that one sketch keeps at most.
DEFAULT_LOG2_KEYS = 10


class HotKeyCounter:
    """Counts keys over the last few periods, with one sketch per period.

    A key that cools down is dropped after the last period.  For a key that changes suddenly
    only the latest periods count, so that it is detected within seconds.

    Parameters
    ----------
    now : timedelta
        When counting starts.
    period : timedelta
        How long one sketch counts.
    log2_keys : int
        Base-2 logarithm of the number of keys that a sketch keeps at most.
    """

    def __init__(
        self,
        now: Instant,
        period: timedelta = DEFAULT_PERIOD,
        log2_keys: int = DEFAULT_LOG2_KEYS,
    ) -> None:
        self.period = period
        self.log2_keys = log2_keys
        # Sketches with their start times, the latest one last.
        self.sketches = deque([(now, frequent_strings_sketch(log2_keys))], maxlen=RATE_PERIODS)

    def add(self, now: Instant, key: str, weight: float = 1.0) -> None:
        """Count `weight` for `key`; weights below a thousandth are ignored."""
        self.rotate(now)
        self.sketches[-1][1].update(key, int(weight * WEIGHT_SCALE))

    def rotate(self, now: Instant) -> None:
        """Start a new sketch when the current period is over."""
        while now - self.sketches[-1][0] >= self.period:
            begin = self.sketches[-1][0] + self.period
            if now - begin >= RATE_PERIODS * self.period:
                # Nothing was counted for so long that all sketches have expired.
                begin = now
                self.sketches.clear()
            self.sketches.append((begin, frequent_strings_sketch(self.log2_keys)))

    def top(self, now: Instant, count: int) -> list[tuple[str, float]]:
        """Return the hottest keys with their rates.

        Parameters
        ----------
        now : timedelta
            The current instant.
        count : int
            How many keys at most.

        Returns
        -------
        list of (str, float)
            Keys and weights per second, the hottest first, equal ones by name.
        """
        self.rotate(now)
        rates = self._rates(now, RATE_PERIODS)
        recent = self._rates(now, RECENT_PERIODS)
        for key in rates:
            latest = recent.get(key, 0.0)
            if abs(latest - rates[key]) > SUDDEN_CHANGE * max(latest, rates[key]):
                rates[key] = latest
        ranked = sorted(rates.items(), key=lambda item: (-item[1], item[0]))
        return ranked[:count]

    def _rates(self, now: Instant, periods: int) -> dict[str, float]:
        chosen = list(self.sketches)[-periods:]
        span = max((now - chosen[0][0]).total_seconds(), 1.0)
        rates: dict[str, float] = {}
        for _, sketch in chosen:
            for row in sketch.get_frequent_items(frequent_items_error_type.NO_FALSE_POSITIVES):
                key, lower_bound = row[0], row[2]
                rates[key] = rates.get(key, 0.0) + lower_bound / WEIGHT_SCALE / span
        return rates
