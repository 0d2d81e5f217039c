"""Tests of the state relay: several members over loopback and the stand-in platform."""

import random
from contextlib import asynccontextmanager

import pytest

from fireflylock.clock import FakeClock, SystemClock
from fireflylock.etcd import EtcdStore
from fireflylock.exceptions import PlatformError, VersionConflictError
from fireflylock.member_runner import MemberRunner
from fireflylock.membership import Membership
from fireflylock.messages import Join, MemberRow
from fireflylock.model import EntryVM
from fireflylock.peers import Peers
from fireflylock.relay import StateRelay
from fireflylock.state import StateCache
from fireflylock.vm_list import VMListReader
from standins.platform import PlatformStandIn
from tests.helpers import until

ZONES = {"a1": "a", "a2": "a", "a3": "a", "b1": "b"}
PREFIX = "fireflylock/"


class Site:
    """A platform and the members that use it."""

    def __init__(self):
        self.platform = PlatformStandIn()
        self.port = 0
        self.relays = {}
        self.incarnation = 0

    async def start_member(self, name):
        clock = SystemClock()
        url = f"http://127.0.0.1:{self.port}"
        peers = Peers(name, "127.0.0.1:0", clock)
        peers.start()
        self.incarnation += 1
        vm = EntryVM(name, ZONES[name], "r", peers.address)
        membership = Membership(vm, self.incarnation, clock.elapsed(), rng=random.Random(name))
        store = EtcdStore([url], clock, rate=1000)
        reader = VMListReader(f"{url}/vms")
        self.platform.vms.set([*self.platform.vms.rows, self.row_of(vm)])
        relay = StateRelay(
            store, reader, peers, membership, StateCache(), clock, PREFIX, rng=random.Random(name)
        )
        self.relays[name] = relay
        relay.start()
        return relay

    def row_of(self, vm):
        return {
            "vm": vm.name,
            "zone": vm.zone,
            "region": "r",
            "kind": "entry",
            "address": vm.peer_address,
        }

    async def stop_member(self, name):
        relay = self.relays.pop(name)
        await relay.stop()
        relay.peers.stop()
        await relay.store.close()
        relay.vm_lists.reader.close()

    async def everybody_has(self, key, data):
        def has(relay):
            value = relay.cache.get(key)
            return value is not None and value.data == data

        await until(lambda: all(has(relay) for relay in self.relays.values()))

    async def everybody_has_met(self):
        def met(relay):
            member_views = list(relay.membership.member_views(relay.clock.elapsed()).values())
            return {view.name for view in member_views if view.alive} == set(self.relays)

        await until(lambda: all(met(relay) for relay in self.relays.values()))

    def watchers(self):
        return [name for name, relay in self.relays.items() if relay.broadcaster.is_watcher()]


@asynccontextmanager
async def site(names=tuple(ZONES)):
    made = Site()
    made.port = await made.platform.start()
    try:
        for name in names:
            await made.start_member(name)
        await made.everybody_has_met()
        yield made
    finally:
        for name in list(made.relays):
            await made.stop_member(name)
        await made.platform.close()


async def test_a_write_reaches_everybody_and_one_vm_per_zone_reads():
    async with site() as made:
        watchers = made.watchers()
        assert sorted(ZONES[name] for name in watchers) == ["a", "b"]
        await made.relays["a1"].put(PREFIX + "k", b"1", 0)
        await made.everybody_has(PREFIX + "k", b"1")
        await until(lambda: made.platform.watches == 2)
        revision = made.relays["b1"].cache.get(PREFIX + "k").revision
        await made.relays["b1"].put(PREFIX + "k", b"2", revision)
        await made.everybody_has(PREFIX + "k", b"2")
        with pytest.raises(VersionConflictError):
            await made.relays["a1"].put(PREFIX + "k", b"3", revision)
        reads = {name: relay.store.counts.calls["range"] for name, relay in made.relays.items()}
        await until(
            lambda: all(made.relays[n].store.counts.calls["range"] > reads[n] for n in watchers)
        )
        for name, relay in made.relays.items():
            if name not in watchers:
                assert relay.store.counts.calls["range"] == reads[name]


async def test_without_the_platform_a_new_vm_takes_what_its_peers_hold():
    async with site(("a1", "a2", "b1")) as made:
        revision = await made.relays["a1"].put(PREFIX + "k", b"1", 0)
        await made.everybody_has(PREFIX + "k", b"1")
        contacts = {name: relay.peers.address for name, relay in made.relays.items()}
        made.platform.faults.mode = "down"
        relay = await made.start_member("a3")
        assert not relay.ready
        relay.membership.add_contacts(contacts)
        relay.runner.connect_all()
        await made.everybody_has(PREFIX + "k", b"1")
        assert relay.cache.get(PREFIX + "k").revision == revision
        with pytest.raises(PlatformError):
            await relay.put(PREFIX + "k", b"2", revision)
        made.platform.faults.mode = "up"
        await relay.put(PREFIX + "k", b"3", revision)
        await made.everybody_has(PREFIX + "k", b"3")


async def test_another_vm_watches_when_the_watcher_is_lost():
    async with site() as made:
        first = next(name for name in made.watchers() if ZONES[name] == "a")
        await made.stop_member(first)
        await made.everybody_has_met()
        writer = next(iter(made.relays.values()))
        await writer.store.put(PREFIX + "k", b"behind the relay's back", 0)
        await made.everybody_has(PREFIX + "k", b"behind the relay's back")


async def test_the_list_of_vms_reaches_everybody_through_the_watcher():
    async with site() as made:
        rows = [row | {"state": "leaving"} for row in made.platform.vms.rows]
        made.platform.vms.set(rows)

        def knows(relay):
            views = relay.membership.member_views(relay.clock.elapsed())
            return all(view.leaving for view in views.values())

        await until(lambda: all(knows(relay) for relay in made.relays.values()))


class StuckPeers:
    """A transport whose next attempt to connect is far away."""

    def __init__(self):
        self.links = {}
        self.attempts = 0

    def subscribe(self, message_type, callback):
        pass

    def connect(self, name, address):
        if name not in self.links:
            self.attempts += 1
        self.links[name] = address

    def disconnect(self, name):
        del self.links[name]

    def is_connected(self, name):
        return False

    def send(self, name, message):
        return False


def test_a_member_that_comes_is_connected_at_once():
    peers, clock = StuckPeers(), FakeClock()
    membership = Membership(EntryVM("a", "z", "r", "127.0.0.1:1"), 1, clock.elapsed())
    runner = MemberRunner(peers, membership, clock)
    membership.add_contacts({"b": "127.0.0.1:2"})
    runner.connect_all()
    assert peers.attempts == 1
    for incarnation in (1, 2):
        row = MemberRow("b", "z", "r", "127.0.0.1:2", incarnation)
        runner._on_message("b", Join(row))
        assert peers.attempts == 1 + incarnation


async def test_a_loop_that_fails_is_started_again():
    async with site(("a1", "a2")) as made:
        relay = made.relays["a1"]
        tick, ticks = relay.membership.tick, []

        def fail_once(now):
            ticks.append(now)
            if len(ticks) == 1:
                raise ZeroDivisionError
            return tick(now)

        relay.membership.tick = fail_once
        await until(lambda: len(ticks) > 3)
        assert relay.loop_faults == 1
        await made.everybody_has_met()
