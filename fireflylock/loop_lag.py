"""Lag of the event loop: the first sign that a process lacks CPU time."""

from datetime import timedelta

from fireflylock.clock import Clock
from fireflylock.metrics import Metrics

SAMPLE_INTERVAL = timedelta(milliseconds=200)


async def measure_loop_lag(
    clock: Clock, metrics: Metrics, period: timedelta = SAMPLE_INTERVAL
) -> None:
    """Sleep repeatedly and record how late each sleep ends; runs until cancelled."""
    while True:
        before = clock.elapsed()
        await clock.sleep(period)
        lag = clock.elapsed() - before - period
        metrics.loop_lag.observe(max(0.0, lag.total_seconds()))
