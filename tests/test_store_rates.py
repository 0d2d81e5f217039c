"""Tests of how many calls to the store all VMs make together."""

import asyncio
import random
from datetime import timedelta

import pytest

from fireflylock.clock import FakeClock
from fireflylock.direct.node import store_rate_divisor
from fireflylock.store import CallRateLimiter

READS = 300.0
WRITES = 60.0


@pytest.mark.parametrize("vms", [1, 2, 4, 26, 440])
def test_the_shares_of_all_vms_add_up_to_at_most_one(vms):
    placing = 1 / store_rate_divisor(vms, placing=True)
    others = (vms - 1) / store_rate_divisor(vms, placing=False)
    assert placing + others <= 1
    assert placing >= 0.5


@pytest.mark.parametrize("vms", [4, 26])
async def test_all_vms_together_stay_within_the_rates_of_the_store(vms):
    """All VMs write without a pause for ten seconds; one of them is the leader."""
    clock = FakeClock()
    made = 0

    async def write_on(rate_limiter: CallRateLimiter) -> None:
        nonlocal made
        while True:
            await rate_limiter.wait(writing=True)
            made += 1

    tasks = []
    for number in range(vms):
        rate_limiter = CallRateLimiter(clock, 50.0, READS, WRITES, random.Random(number))
        rate_limiter.set_fleet_size(store_rate_divisor(vms, placing=number == 0))
        tasks.append(asyncio.create_task(write_on(rate_limiter)))
    for _ in range(500):
        clock.advance(timedelta(milliseconds=20))
        for _ in range(3):
            await asyncio.sleep(0)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    bursts = 20 + 2 * WRITES
    assert 5 * WRITES <= made <= 10 * WRITES + bursts
