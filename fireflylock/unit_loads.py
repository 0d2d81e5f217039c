"""Exponentially decayed rates of the units of one service."""

import math
from datetime import timedelta

import numpy as np

from fireflylock.clock import Instant

DEFAULT_TIME_CONSTANT = timedelta(seconds=15)

# Beyond this exponent the stored weights are rescaled, long before they could overflow.
MAX_EXPONENT = 50.0


class UnitLoads:
    """Exponentially decayed weight per second of each unit.

    Instead of decaying all units at each step, new weights are added with a factor that
    grows with time, and rates are divided by it.

    Parameters
    ----------
    now : timedelta
        When counting starts.
    units : int
        Number of units; grows when a higher unit is counted.
    time_constant : timedelta
        Time constant of the decay: the mean age of the weight in a rate.
    """

    def __init__(
        self, now: Instant, units: int, time_constant: timedelta = DEFAULT_TIME_CONSTANT
    ) -> None:
        self.weights = np.zeros(units)
        self.time_constant = time_constant.total_seconds()
        self.started_at = now
        self.origin = now

    def add(self, now: Instant, unit: int, weight: float = 1.0) -> None:
        """Count `weight` for `unit`."""
        self._ensure_size(unit)
        factor = self._weight_factor(now)
        self.weights[unit] += weight * factor

    def add_report(self, now: Instant, rates: dict[int, float], period: timedelta) -> None:
        """Count the rates reported by a gate.

        Parameters
        ----------
        now : timedelta
            When the report arrived.
        rates : dict of int to float
            Weight per second of each unit over the period of the report.
        period : timedelta
            Time that the report covers.
        """
        if not rates:
            return
        units = np.fromiter(rates.keys(), dtype=np.int64, count=len(rates))
        weights = np.fromiter(rates.values(), dtype=float, count=len(rates))
        self._ensure_size(int(units.max()))
        # The weight was added throughout the period, on average in its middle.
        factor = self._weight_factor(now - period / 2)
        self.weights[units] += weights * (period.total_seconds() * factor)

    def reset(self, unit: int) -> None:
        """Reset the weight of `unit`, because it is now the unit of another key."""
        if unit < len(self.weights):
            self.weights[unit] = 0.0

    def transfer(self, now: Instant, source: int, target: int, rate: float) -> None:
        """Count `rate` for `target` instead of `source`, because a key changed its unit."""
        self._ensure_size(max(source, target))
        factor = self._weight_factor(now)
        weight = min(rate * self._observed_seconds(now), float(self.weights[source]) / factor)
        self.add(now, source, -weight)
        self.add(now, target, weight)

    def rates(self, now: Instant) -> np.ndarray:
        """Return weight per second, shape (units,)."""
        seen = self._observed_seconds(now)
        if seen <= 0.0:
            return np.zeros(len(self.weights))
        factor = self._weight_factor(now)
        return self.weights / (factor * seen)

    def _ensure_size(self, unit: int) -> None:
        missing = unit + 1 - len(self.weights)
        if missing > 0:
            self.weights = np.concatenate([self.weights, np.zeros(missing)])

    def _observed_seconds(self, now: Instant) -> float:
        # Divided by the time constant, the rates of a shorter history would be too low.
        age = (now - self.started_at).total_seconds()
        return -math.expm1(-age / self.time_constant) * self.time_constant

    def _weight_factor(self, now: Instant) -> float:
        exponent = (now - self.origin).total_seconds() / self.time_constant
        if exponent > MAX_EXPONENT:
            decay = math.exp(-exponent)
            self.weights *= decay
            self.origin = now
            exponent = 0.0
        return math.exp(exponent)
