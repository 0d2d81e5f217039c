"""A backend whose entry is removed gets requests for longer than the drain time."""

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path

from review.deployment.backend import Backend
from review.deployment.case import HOST, Case, EntryVM, call, run
from review.deployment.store import Store, write_config

DRAIN = 2.0
CONTACT = 3.0
# How much longer than the drain time the leaving backend serves.
LITTLE_LONGER = 0.25
# In an order that goes from backend to backend.
KEYS = tuple(500 + 1024 * (37 * number % 64) for number in range(64))
PAUSE = 0.008
# How long requests go on after the end of the leaving backend.
AFTER = 5.0
ROUTES = [["place", HOST, "/place/", "unsafe", "2000ms", "500ms", 1, "orders", 2, None]]
SERVICES = [["orders", "/health", 120, True]]


async def traffic(case: Case, entries: list[EntryVM], stop: asyncio.Event) -> dict[str, str]:
    """Send orders for all keys in turn until told to stop; return how they ended."""
    tasks = []
    entry_of = itertools.cycle(entries)
    while not stop.is_set():
        for key in KEYS:
            if stop.is_set():
                break
            tasks.append(
                asyncio.ensure_future(
                    call(case, next(entry_of), "POST", "/place/order", key, 1500)
                )
            )
            await asyncio.sleep(PAUSE)
    return dict(await asyncio.gather(*tasks))


async def body(case: Case) -> None:
    """Cut the watches, wait until the VM is in touch, and remove the entry of a backend."""
    store = Store()
    _, store_port = await store.start()
    backends = [
        Backend(f"orders-{i}", "orders", keyed=True, tracked=KEYS, work=0.1) for i in range(6)
    ]
    for backend in backends:
        await backend.start()
        backend.register(store)
    write_config(store, 1, ROUTES, SERVICES)
    entries = [EntryVM(case, f"vm-{i}", "zone-a", store_port) for i in (1, 2)]
    for entry in entries:
        entry.start()
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(4.0)
    stop = asyncio.Event()
    callers = asyncio.ensure_future(traffic(case, entries, stop))
    await asyncio.sleep(3.0)
    if case.trouble:
        store.cut_watches()
        case.note("the store cuts the watches that are waiting")
    await asyncio.sleep(CONTACT + 2.0)
    leaving = backends[2]
    leaving.unregister(store)
    removed = time.monotonic()
    case.note(f"the store has removed the entry of {leaving.name}")
    await asyncio.sleep(DRAIN + LITTLE_LONGER)
    at_work = [one for one in leaving.runs if one.ended == "at work"]
    leaving.end()
    case.note(f"{leaving.name} ends")
    await asyncio.sleep(AFTER)
    stop.set()
    ended = await callers
    for one in leaving.runs:
        late = one.arrived - removed - DRAIN
        if late > 0:
            case.break_rule(
                f"DRAIN: {one.request_id} reached {leaving.name} {DRAIN + late:.3f} s after "
                f"the ack, {late:.3f} s too late; it got {ended[one.request_id]}"
            )
    for one in at_work:
        case.note(f"lost with {leaving.name}, at work: {one.request_id}, {ended[one.request_id]}")
    await store.close()


if __name__ == "__main__":
    # TROUBLE=0 does the same without the disruption.
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run(Path(__file__).parent, body, trouble))
