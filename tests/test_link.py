"""Tests of membership over the transport while a link is cut."""

import asyncio

from fireflylock.clock import SystemClock
from fireflylock.member_runner import MemberRunner
from fireflylock.membership import Membership
from fireflylock.model import EntryVM
from fireflylock.peers import Peers
from standins.link import CUT, OPEN, Link
from tests.helpers import until


async def test_a_link_cut_one_way_is_detected_at_both_ends_and_recovers():
    clock = SystemClock()
    peers = {name: Peers(name, "127.0.0.1:0", clock) for name in "ab"}
    runners, tasks, links = {}, [], {}
    for name, transport in peers.items():
        transport.start()
        host, _, port = transport.address.rpartition(":")
        # Other members reach this one only through the link.
        links[name] = Link(host, int(port))
        link_address = f"127.0.0.1:{await links[name].start()}"
        vm = EntryVM(name, "z", "r", link_address)
        runners[name] = MemberRunner(transport, Membership(vm, 1, clock.elapsed()), clock)
    runners["a"].membership.add_contacts({"b": runners["b"].membership.me.peer_address})
    tasks = [asyncio.create_task(runner.run()) for runner in runners.values()]

    def unreachable(name, other):
        return runners[name].membership.is_unreachable(clock.elapsed(), other)

    def all_reachable():
        return not unreachable("a", "b") and not unreachable("b", "a")

    try:
        await until(all_reachable)
        links["b"].set(forward=CUT)  # The link holds back what `a` sends to `b`.
        await until(lambda: unreachable("a", "b") and unreachable("b", "a"))
        links["b"].set(forward=OPEN)
        await until(all_reachable)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for transport in peers.values():
            transport.stop()
        for link in links.values():
            await link.close()
