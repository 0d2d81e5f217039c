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


class Cluster:
    """A platform stand-in and the members that use it."""

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

    async def wait_until_all_have(self, key, data):
        def has(relay):
            value = relay.cache.get(key)
            return value is not None and value.data == data

        await until(lambda: all(has(relay) for relay in self.relays.values()))

    async def wait_until_all_have_met(self):
        def met(relay):
            member_views = list(relay.membership.member_views(relay.clock.elapsed()).values())
            return {view.name for view in member_views if view.alive} == set(self.relays)

        await until(lambda: all(met(relay) for relay in self.relays.values()))

    def watchers(self):
        return [name for name, relay in self.relays.items() if relay.broadcaster.is_watcher()]


@asynccontextmanager
async def running_cluster(names=tuple(ZONES)):
    cluster = Cluster()
    cluster.port = await cluster.platform.start()
    try:
        for name in names:
            await cluster.start_member(name)
        await cluster.wait_until_all_have_met()
        yield cluster
    finally:
        for name in list(cluster.relays):
            await cluster.stop_member(name)
        await cluster.platform.close()


async def test_a_write_reaches_all_members_and_one_vm_per_zone_reads():
    async with running_cluster() as cluster:
        watchers = cluster.watchers()
        assert sorted(ZONES[name] for name in watchers) == ["a", "b"]
        await cluster.relays["a1"].put(PREFIX + "k", b"1", 0)
        await cluster.wait_until_all_have(PREFIX + "k", b"1")
        await until(lambda: cluster.platform.watches == 2)
        revision = cluster.relays["b1"].cache.get(PREFIX + "k").revision
        await cluster.relays["b1"].put(PREFIX + "k", b"2", revision)
        await cluster.wait_until_all_have(PREFIX + "k", b"2")
        with pytest.raises(VersionConflictError):
            await cluster.relays["a1"].put(PREFIX + "k", b"3", revision)
        reads = {name: relay.store.counts.calls["range"] for name, relay in cluster.relays.items()}
        await until(
            lambda: all(cluster.relays[n].store.counts.calls["range"] > reads[n] for n in watchers)
        )
        for name, relay in cluster.relays.items():
            if name not in watchers:
                assert relay.store.counts.calls["range"] == reads[name]


async def test_a_new_vm_gets_the_state_from_its_peers_during_a_platform_outage():
    async with running_cluster(("a1", "a2", "b1")) as cluster:
        revision = await cluster.relays["a1"].put(PREFIX + "k", b"1", 0)
        await cluster.wait_until_all_have(PREFIX + "k", b"1")
        contacts = {name: relay.peers.address for name, relay in cluster.relays.items()}
        cluster.platform.faults.mode = "down"
        relay = await cluster.start_member("a3")
        assert not relay.ready
        relay.membership.add_contacts(contacts)
        relay.runner.connect_all()
        await cluster.wait_until_all_have(PREFIX + "k", b"1")
        assert relay.cache.get(PREFIX + "k").revision == revision
        with pytest.raises(PlatformError):
            await relay.put(PREFIX + "k", b"2", revision)
        cluster.platform.faults.mode = "up"
        await relay.put(PREFIX + "k", b"3", revision)
        await cluster.wait_until_all_have(PREFIX + "k", b"3")


async def test_another_vm_watches_when_the_watcher_is_lost():
    async with running_cluster() as cluster:
        first = next(name for name in cluster.watchers() if ZONES[name] == "a")
        await cluster.stop_member(first)
        await cluster.wait_until_all_have_met()
        writer = next(iter(cluster.relays.values()))
        await writer.store.put(PREFIX + "k", b"behind the relay's back", 0)
        await cluster.wait_until_all_have(PREFIX + "k", b"behind the relay's back")


async def test_the_vm_list_reaches_all_members_through_the_watcher():
    async with running_cluster() as cluster:
        rows = [row | {"state": "leaving"} for row in cluster.platform.vms.rows]
        cluster.platform.vms.set(rows)

        def knows(relay):
            views = relay.membership.member_views(relay.clock.elapsed())
            return all(view.leaving for view in views.values())

        await until(lambda: all(knows(relay) for relay in cluster.relays.values()))


class UnconnectedPeers:
    """A transport that never connects; `connect` counts its attempts."""

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


def test_a_joining_member_is_connected_at_once():
    peers, clock = UnconnectedPeers(), FakeClock()
    membership = Membership(EntryVM("a", "z", "r", "127.0.0.1:1"), 1, clock.elapsed())
    runner = MemberRunner(peers, membership, clock)
    membership.add_contacts({"b": "127.0.0.1:2"})
    runner.connect_all()
    assert peers.attempts == 1
    for incarnation in (1, 2):
        row = MemberRow("b", "z", "r", "127.0.0.1:2", incarnation)
        runner._on_message("b", Join(row))
        assert peers.attempts == 1 + incarnation


async def test_a_failed_loop_is_restarted():
    async with running_cluster(("a1", "a2")) as cluster:
        relay = cluster.relays["a1"]
        tick, ticks = relay.membership.tick, []

        def fail_once(now):
            ticks.append(now)
            if len(ticks) == 1:
                raise ZeroDivisionError
            return tick(now)

        relay.membership.tick = fail_once
        await until(lambda: len(ticks) > 3)
        assert relay.loop_faults == 1
        await cluster.wait_until_all_have_met()
