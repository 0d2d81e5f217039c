"""Malformed messages and store values crash no process and do no lasting harm."""

import random

import msgspec
import pytest

from fireflylock.direct.gossip import (
    KeyWork,
    MapChange,
    Moving,
    NewOwner,
    PermitAsk,
    PermitAsks,
    PermitGrant,
    PermitGrants,
    Placing,
    Report,
    SeenLimit,
    ServerLeaving,
    ZoneTotal,
)
from fireflylock.direct.model import KEY_COUNT
from fireflylock.platform import wire
from tests.direct_site import Site
from tests.virtual_time import VirtualTimePolicy

SENDER = ("127.0.0.1", 9)


@pytest.fixture
def event_loop_policy():
    return VirtualTimePolicy()


def map_change(range_map, *key_ranges):
    """Return a change of a map, of ranges with the given first and last keys."""
    owner = range_map.ranges[0].owner
    owners = [
        NewOwner(first, last, owner.name, owner.born, owner.host, owner.port, 99)
        for first, last in key_ranges
    ]
    return MapChange("orders", range_map.revision, range_map.revision + 1, 100, owners)


def invalid_messages(range_map):
    """Yield messages that can be decoded, but whose values are invalid."""
    yield Placing("x", "z", 1, 1, [Moving("orders", 9, 3, -7)], {"orders": -1}, [])
    yield Placing("x", "z", 1, 2, [], {"none": 1 << 60}, [])
    yield Placing("x", "z", 1, 3, [], {}, [], 1 << 60)
    yield Placing("x", "z", 1, 4, [], {}, [], -(1 << 60))
    for number, key_ranges in enumerate(
        (
            [(9, 3)],
            [(-5, 10)],
            [(KEY_COUNT - 2, KEY_COUNT)],
            [(0, 50), (40, 90)],
            [(7, 7), (7, 7)],
        ),
        5,
    ):
        yield Placing("x", "z", 1, number, [], {}, [map_change(range_map, *key_ranges)])
    yield Report("x", "z", {"none": -3}, [("orders", "none", -9)])
    yield ZoneTotal("x", "", {"": 1 << 60}, [], ["x", "x"])
    yield KeyWork("x", "z", {"orders": {-1: 1.0, KEY_COUNT: 1.0, 5: float("nan")}})
    yield KeyWork("x", "z", {"orders": {6: float("inf"), 7: -1e300}})
    yield ServerLeaving("x", "z", "none", -1, "", -1)
    seen = SeenLimit("o0", 1, float("nan"), -(1 << 60))
    yield Report("x", "z", {}, [], [seen])
    yield PermitAsks("x", "z", [PermitAsk("o0", 1, -1, 1 << 60, -5, -9, -1, 1 << 60, seen)])
    yield PermitGrants("x", "z", [PermitGrant("o0", -1, 1 << 60, -(1 << 60))])


async def test_no_message_of_another_vm_crashes_a_process_or_corrupts_its_map():
    async with Site() as site:
        for number in range(2):
            await site.add_server(f"o{number}")
        node = await site.add_node()
        await site.wait_until_granted()
        gossip = node.gossip
        # A VM ignores messages of a leader while it is the leader itself.
        node.leadership.leader_lease.lose("test")
        range_map = node.view.maps["orders"]
        for message in invalid_messages(range_map):
            gossip.datagram_received(gossip.encoder.encode(message), SENDER)
            current = node.view.maps["orders"]
            assert [key_range.first for key_range in current.ranges[1:]] == [
                key_range.last + 1 for key_range in current.ranges[:-1]
            ]
        rng = random.Random(3)
        encoded = gossip.encoder.encode(map_change(range_map, (1, 2)))
        for _ in range(300):
            data = bytearray(encoded[: rng.randrange(len(encoded) + 1)])
            for _ in range(rng.randrange(4)):
                if data:
                    data[rng.randrange(len(data))] = rng.randrange(256)
            gossip.datagram_received(bytes(data), SENDER)
        gossip.datagram_received(msgspec.msgpack.encode([[[]]] * 50), SENDER)
        assert gossip.dropped > 0
        await site.wait_until(lambda: node.leadership.leader_lease.is_held(site.clock.elapsed()))
        await site.wait_until_granted()
        assert (await site.send_request(node, "/read/", "r", 7)).status == 200


async def test_non_finite_and_negative_loads_are_ignored():
    async with Site() as site:
        for number in range(2):
            await site.add_server(f"o{number}")
        node = await site.add_node()
        await site.wait_until_granted()
        work = {"orders": {5: float("nan"), 6: float("inf"), 7: -1e300}}
        message = node.gossip.encoder.encode(KeyWork("x", "z", work))
        node.gossip.datagram_received(message, SENDER)
        loads = node.leadership.placers["orders"].short_loads.loads
        assert not {5, 6, 7} & set(loads)


async def test_no_invalid_store_entry_crashes_a_process():
    async with Site() as site:
        await site.add_server("o0")
        node = await site.add_node()
        await site.wait_until_granted()
        entry = site.servers["o0"].registration()
        for number, invalid in enumerate(
            (
                b"",
                b"\xff\xfe",
                b"[]",
                b"{}",
                msgspec.json.encode(entry | {"slots": -1}),
                msgspec.json.encode(entry | {"born": 1.5}),
                msgspec.json.encode(entry | {"address": "nowhere:99999"}),
                msgspec.json.encode(entry | {"state": "asleep"}),
                msgspec.json.encode(entry | {"coldRemaining": "-1s"}),
            )
        ):
            site.store.write(f"{wire.SERVERS_PREFIX}bad-{number}", invalid)
            site.store.write(wire.CONFIG_KEY, invalid)
        f1 = await site.add_server("f1", "files")
        await site.wait_until(lambda: f1.name in node.table.servers)
        assert not any(name.startswith("bad-") for name in node.table.servers)
        assert (await site.send_request(node, "/read/", "r", 7)).status == 200
