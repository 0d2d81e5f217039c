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
        self.weights = np.zeros(units)
        self.mean_age = mean_age.total_seconds()
        self.started = now
        self.origin = now

    def add(self, now: Instant, unit: int, weight: float = 1.0) -> None:
        """Count `weight` for `unit`."""
        self._make_room(unit)
        growth = self._growth(now)
        self.weights[unit] += weight * growth

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
        if not rates:
            return
        units = np.fromiter(rates.keys(), dtype=np.int64, count=len(rates))
        weights = np.fromiter(rates.values(), dtype=float, count=len(rates))
        self._make_room(int(units.max()))
        # The weight came in all over the period, on average in its middle.
        growth = self._growth(now - period / 2)
        self.weights[units] += weights * (period.total_seconds() * growth)

    def forget(self, unit: int) -> None:
        """Drop what was counted for `unit`, because it now stands for another key."""
        if unit < len(self.weights):
            self.weights[unit] = 0.0

    def shift(self, now: Instant, source: int, target: int, rate: float) -> None:
        """Count `rate` for `target` instead of `source`, because a key changed its unit."""
        self._make_room(max(source, target))
        growth = self._growth(now)
        weight = min(rate * self._seen(now), float(self.weights[source]) / growth)
        self.add(now, source, -weight)
        self.add(now, target, weight)

    def rates(self, now: Instant) -> np.ndarray:
        """Return weight per second, shape (units,)."""
        seen = self._seen(now)
        if seen <= 0.0:
            return np.zeros(len(self.weights))
        growth = self._growth(now)
        return self.weights / (growth * seen)

    def _make_room(self, unit: int) -> None:
        missing = unit + 1 - len(self.weights)
        if missing > 0:
            self.weights = np.concatenate([self.weights, np.zeros(missing)])

    def _seen(self, now: Instant) -> float:
        # The mean over a short history would be too low if it was taken over the mean age.
        age = (now - self.started).total_seconds()
        return -math.expm1(-age / self.mean_age) * self.mean_age

    def _growth(self, now: Instant) -> float:
        exponent = (now - self.origin).total_seconds() / self.mean_age
        if exponent > MAX_EXPONENT:
            decay = math.exp(-exponent)
            self.weights *= decay
            self.origin = now
            exponent = 0.0
        return math.exp(exponent)
