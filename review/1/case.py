"""The leader is cut off from the store for 1.2 s, and forgets what it has granted."""

import asyncio
import os
import sys
from pathlib import Path

from review.common.fleet import KEYS, CouldNotRunError, Fleet, Record, run_case
from standins.link import CUT, OPEN, Link

# The store answers a call after this time (SYSTEM.md: "4 ms an answer", and "one way, 1.4 ms
# between zones").
ANSWER_S = 0.0068
# Length of the cut; the site file has core_cut for up to 5.5 s.
CUT_S = 1.2
# A new leader may only count on what it has granted itself after the longest hold.
LED_S = 11.5
TRIALS = 6


async def case(record: Record, trouble: bool) -> None:
    """Run the case."""
    fleet = Fleet(record, vms=3)
    links: dict[str, Link] = {}
    fleet.store.answer_s = ANSWER_S
    start_vm = fleet.start_vm

    async def start_links() -> None:
        host, port = fleet.store_address.split(":")
        for vm in fleet.vms:
            links[vm] = Link(host, int(port))
            await links[vm].start(f"{fleet.network}.7", 0)

    def start_vm_behind_link(vm: str) -> None:
        port = links[vm].server.sockets[0].getsockname()[1]
        start_vm(vm, f"{fleet.network}.7:{port}")

    fleet.before_vms = start_links
    fleet.start_vm = start_vm_behind_link
    try:
        await fleet.start(keyed=8)
        fleet.follow_grants()
        for trial in range(TRIALS):
            await asyncio.sleep(LED_S)
            leader = fleet.leader()
            ready = [b for b in fleet.backends.values() if b.keyed and b.state == "ready"]
            backend = next((b for b in ready if any(b.holds(key) for key in KEYS)), None)
            if not leader or backend is None:
                raise CouldNotRunError("nobody places keys, or nobody holds any")
            key = next(key for key in KEYS if backend.holds(key))
            order = asyncio.create_task(
                fleet.ask(
                    next(vm for vm in fleet.vms if vm != leader),
                    f"order-{trial}",
                    "/place/ms3500",
                    key=key,
                    left_ms=4800,
                )
            )
            await asyncio.sleep(0.1)
            # Planned work: the backend leaves; its keys move once it has answered the releases.
            record.note(f"{backend.name} reports draining; {leader} leads")
            backend.state = "draining"
            fleet.register(backend, "draining")
            await asyncio.sleep(0.7)
            if trouble:
                record.note(f"{leader} is cut off from the store")
                links[leader].set(forward=CUT, back=CUT)
                await asyncio.sleep(CUT_S)
                links[leader].set(forward=OPEN, back=OPEN)
                record.note(f"{leader} reaches the store again")
            await order
            if record.broken:
                return
    finally:
        for link in links.values():
            await link.close()
        await fleet.close()


if __name__ == "__main__":
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(Path(__file__).parent, case, 115.0, with_trouble))
