"""Loads: decayed rates of the units of one service."""

import math
from datetime import timedelta

import numpy as np

from fireflylock.clock import Instant

DEFAULT_MEAN_AGE = timedelta(seconds=15)

# Beyond this exponent the stored weights are brought back to the present, long before
# they could overflow.
MAX_EXPONENT = 50.0


class UnitLoads:
    """Exponentially decayed weight per second of each unit.

    Instead of decaying every unit at every step, new weights grow with time and are scaled
    back when they are read.

    Parameters
    ----------
    now : timedelta
        When counting starts.
    units : int
        Number of units; grows when a higher unit is counted.
    mean_age : timedelta
        Mean age of the weight that a rate is made of.
    """

    def __init__(self, now: Instant, units: int, mean_age: timedelta = DEFAULT_MEAN_AGE) -> None:
        self.weights = [0.0] * units
        self.mean_age = mean_age.total_seconds()
        self.started = now
        self.origin = now

    def add(self, now: Instant, unit: int, weight: float = 1.0) -> None:
        """Count `weight` for `unit`."""
        if unit >= len(self.weights):
            self.weights.extend([0.0] * (unit + 1 - len(self.weights)))
        self.weights[unit] += weight * self._growth(now)

    def add_report(self, now: Instant, rates: dict[int, float], period: timedelta) -> None:
        """Count what a gate reported.

        Parameters
        ----------
        now : timedelta
            When the report arrived.
        rates : dict of int to float
            Weight per second of each unit over the period of the report.
        period : timedelta
            What the report covers.
        """
        for unit, rate in rates.items():
            self.add(now, unit, rate * period.total_seconds())

    def forget(self, unit: int) -> None:
        """Drop what was counted for `unit`, because it now stands for another key."""
        if unit < len(self.weights):
            self.weights[unit] = 0.0

    def shift(self, now: Instant, source: int, target: int, rate: float) -> None:
        """Count `rate` for `target` instead of `source`, because a key changed its unit."""
        weight = min(rate * self._seen(now), self.weights[source] / self._growth(now))
        self.add(now, source, -weight)
        self.add(now, target, weight)

    def rates(self, now: Instant) -> np.ndarray:
        """Return weight per second, shape (units,)."""
        seen = self._seen(now)
        if seen <= 0.0:
            return np.zeros(len(self.weights))
        return np.array(self.weights) / (self._growth(now) * seen)

    def _seen(self, now: Instant) -> float:
        # The mean over a short history would be too low if it was taken over the mean age.
        age = (now - self.started).total_seconds()
        return -math.expm1(-age / self.mean_age) * self.mean_age

    def _growth(self, now: Instant) -> float:
        exponent = (now - self.origin).total_seconds() / self.mean_age
        if exponent > MAX_EXPONENT:
            decay = math.exp(-exponent)
            self.weights = [weight * decay for weight in self.weights]
            self.origin = now
            exponent = 0.0
        return math.exp(exponent)
