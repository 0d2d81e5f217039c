"""How late the event loop wakes up: the first sign of a process that is short of time."""

from datetime import timedelta

from fireflylock.clock import Clock
from fireflylock.metrics import Metrics

SAMPLE_INTERVAL = timedelta(milliseconds=200)


async def measure_loop_lag(
    clock: Clock, metrics: Metrics, period: timedelta = SAMPLE_INTERVAL
) -> None:
    """Record by how much each of many sleeps was too long; runs until cancelled."""
    while True:
        before = clock.elapsed()
        await clock.sleep(period)
        lag = clock.elapsed() - before - period
        metrics.loop_lag.observe(max(0.0, lag.total_seconds()))
