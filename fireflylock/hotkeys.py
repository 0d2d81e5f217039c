"""Hot keys: finds the keys that carry most of the load, in bounded memory."""

from datetime import timedelta

from datasketches import frequent_items_error_type, frequent_strings_sketch

from fireflylock.clock import Instant

DEFAULT_PERIOD = timedelta(seconds=20)

# The sketch counts whole numbers, so weights are counted in thousandths.
WEIGHT_SCALE = 1000

# Base-2 logarithm of the number of keys that one sketch keeps at most.
DEFAULT_LOG2_KEYS = 10


class HotKeys:
    """Counts keys over the current and the previous period.

    Two sketches take turns, so that a key which cooled down is forgotten after at most two
    periods and a new hot key stands out within a fraction of one.

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
        self.current = frequent_strings_sketch(log2_keys)
        self.current_since = now
        self.previous = frequent_strings_sketch(log2_keys)
        self.previous_since = now

    def add(self, now: Instant, key: str, weight: float = 1.0) -> None:
        """Count `weight` for `key`; weights below a thousandth count as nothing."""
        self.rotate(now)
        self.current.update(key, int(weight * WEIGHT_SCALE))

    def rotate(self, now: Instant) -> None:
        """Start a new sketch when the current period is over."""
        if now - self.current_since < self.period:
            return
        if now - self.current_since >= 2 * self.period:
            # Nothing was counted for a whole period, so the last one is out of date too.
            self.current = frequent_strings_sketch(self.log2_keys)
            self.current_since = now - self.period
        self.previous = self.current
        self.previous_since = self.current_since
        self.current = frequent_strings_sketch(self.log2_keys)
        self.current_since = now

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
        weights: dict[str, float] = {}
        for sketch in (self.previous, self.current):
            for row in sketch.get_frequent_items(frequent_items_error_type.NO_FALSE_POSITIVES):
                key, _, lower_bound = row[0], row[1], row[2]
                weights[key] = weights.get(key, 0.0) + lower_bound / WEIGHT_SCALE
        span = max((now - self.previous_since).total_seconds(), 1.0)
        ranked = sorted(weights.items(), key=lambda item: (-item[1], item[0]))
        return [(key, weight / span) for key, weight in ranked[:count]]
