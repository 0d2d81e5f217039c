"""Tests of the clocks."""

import asyncio
from datetime import timedelta

from fireflylock.clock import FakeClock, SystemClock


async def test_fake_clock_wakes_sleepers_in_time():
    clock = FakeClock()
    sleeper = asyncio.create_task(clock.sleep(timedelta(seconds=2)))
    await asyncio.sleep(0)
    clock.advance(timedelta(seconds=1))
    await asyncio.sleep(0)
    assert not sleeper.done()
    clock.advance(timedelta(seconds=1))
    await sleeper


def test_system_clock_never_goes_backwards():
    clock = SystemClock()
    first = clock.elapsed()
    assert clock.elapsed() >= first
