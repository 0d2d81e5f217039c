"""A backend starts again under its identifier, and its keys are given away while it works."""

import asyncio
import os
import sys
import time
from pathlib import Path

from review.common.fleet import KEYS, Backend, CouldNotRunError, Fleet, Record, run_case

# From the end of the first life to the start of the second, and from there to its first beat:
# PROTOCOL.md has a beat approximately every `heartbeat`, 870 ms here.
DOWN_S = 0.3
FIRST_BEAT_S = 0.25
# RULES.md, OWNER: two backends hold the same keys for over half a second.
ALLOWED_S = 0.5


async def restart(fleet: Fleet, first: Backend, trouble: bool) -> None:
    """Let one backend end and start again, and work before its first beat is read."""
    keys = [key for key in KEYS if first.holds(key)]
    if not keys:
        raise CouldNotRunError(f"{first.name} holds no keys")
    second = first
    if trouble:
        fleet.record.note(f"{first.name} ends")
        host, _, port = first.address.rpartition(":")
        await first.server.close()
        first.forget_grants()
        await asyncio.sleep(DOWN_S)
        second = await fleet.start_again(first, host, int(port))
        fleet.record.note(f"{second.name} starts again under its identifier; it holds nothing")
    started = time.monotonic()
    orders: list[asyncio.Task] = []
    while time.monotonic() - started < FIRST_BEAT_S:
        await asyncio.sleep(0.02)
        held = [key for key in keys if second.holds(key)]
        if held and len(orders) < 4:
            n = len(orders)
            ask = fleet.ask(fleet.vms[n % 3], f"order-{n}", "/place/ms2000", key=held[-(n % 2)])
            orders.append(asyncio.create_task(ask))
    fleet.record.note(f"{second.name} writes its first beat")
    fleet.register(second)
    for n in range(25):
        await asyncio.sleep(0.1)
        key = keys[n % len(keys)]
        orders.append(
            asyncio.create_task(fleet.ask(fleet.vms[n % 3], f"late-{n}", "/place/x", key=key))
        )
    await asyncio.gather(*orders)


async def case(record: Record, trouble: bool) -> None:
    """Run the case."""
    fleet = Fleet(record, vms=3)
    try:
        await fleet.start(keyed=8)
        await asyncio.sleep(3)
        fleet.follow_grants()
        # Keys without an owner go to the first of the idle backends by name: not to the new life.
        for name in ("i-keyed7", "i-keyed6", "i-keyed5"):
            await restart(fleet, fleet.backends[name], trouble)
            if record.broken:
                break
            await asyncio.sleep(2)
        for key, seconds in sorted(fleet.held_by_two.items()):
            if seconds > ALLOWED_S:
                record.rule_broken("OWNER", f"key {key} was held by two for {seconds:.2f} s")
    finally:
        await fleet.close()


if __name__ == "__main__":
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(Path(__file__).parent, case, 80.0, with_trouble))
