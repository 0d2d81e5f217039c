"""Lapsing ranges: recorded, broadcast, and measured by each VM that hears of them."""

from datetime import timedelta

import msgspec
import pytest

from fireflylock.direct.gossip import MapChange, NewOwner
from fireflylock.direct.key_ranges import (
    KeyRange,
    LapsingRange,
    LapsingRecord,
    Owner,
    RangeMap,
    decode_map,
    encode_map,
)
from fireflylock.direct.known_lapses import CLOCK_SPEED_DIFFERENCE, KnownLapses
from fireflylock.direct.model import KEY_COUNT
from fireflylock.direct.ownership_view import OwnershipView
from fireflylock.direct.servers import ServerTable
from fireflylock.exceptions import ProtocolError
from tests.simulated_cluster import SERVICE, SimulatedCluster, settled_cluster

SECOND = timedelta(seconds=1)
OWNER = Owner("s1", 1, "h", 80)
WHOLE = KeyRange(0, KEY_COUNT - 1, OWNER, 1)
LAPSING = LapsingRange(10, 20, "lapse", 4 * SECOND)


def range_map(*lapsing: LapsingRange, revision: int = 7) -> RangeMap:
    return RangeMap("orders", (WHOLE,), 2, revision, lapsing)


def test_a_lapse_is_measured_from_when_it_is_first_heard_of():
    known = KnownLapses()
    known.update(100 * SECOND, range_map(LAPSING))
    known.update(103 * SECOND, range_map(LAPSING, LapsingRange(30, 40, "later", SECOND)))
    share = 1.0 + CLOCK_SPEED_DIFFERENCE
    assert known.end_of("orders", "lapse") == 100 * SECOND + 4 * SECOND * share
    assert known.end_of("orders", "later") == 103 * SECOND + SECOND * share


@pytest.mark.parametrize(
    "forget", [lambda known: known.update(SECOND, range_map()), KnownLapses.clear]
)
def test_a_lapse_that_has_been_forgotten_is_measured_anew(forget):
    known = KnownLapses()
    known.update(timedelta(0), range_map(LAPSING))
    forget(known)
    known.update(9 * SECOND, range_map(LAPSING))
    assert known.end_of("orders", "lapse") > 13 * SECOND


def test_lapsing_ranges_survive_the_record_and_last_no_shorter_in_it():
    lapsing = LapsingRange(10, 20, "lapse", timedelta(microseconds=1500))
    found = decode_map(encode_map(range_map(lapsing)), 7).lapsing
    assert found == (LapsingRange(10, 20, "lapse", timedelta(milliseconds=2)),)


@pytest.mark.parametrize(
    "invalid",
    [
        LapsingRecord(20, 10, "lapse", 1),
        LapsingRecord(-1, 10, "lapse", 1),
        LapsingRecord(10, KEY_COUNT, "lapse", 1),
        LapsingRecord(10, 20, "", 1),
        LapsingRecord(10, 20, "lapse", -1),
    ],
)
def test_an_invalid_lapsing_range_is_not_accepted(invalid):
    fields = msgspec.json.decode(encode_map(range_map()))
    fields["suspended"] = [msgspec.to_builtins(invalid)]
    with pytest.raises(ProtocolError):
        decode_map(msgspec.json.encode(fields), 7)
    view = OwnershipView(ServerTable(SECOND))
    view.apply_map(range_map())
    assert not view.apply_change(MapChange("orders", 7, 8, 2, [], [invalid]))


def test_a_record_of_a_build_with_timers_is_read_without_them():
    fields = msgspec.json.decode(encode_map(range_map()))
    fields["lapsing"] = [[10, 20, "fireflylock/timers/1"]]
    assert decode_map(msgspec.json.encode(fields), 7) == range_map()


def test_a_change_adds_lapsing_ranges_and_drops_those_that_have_new_owners():
    view = OwnershipView(ServerTable(SECOND))
    view.apply_map(range_map(LAPSING))
    later = LapsingRange(30, 40, "later", SECOND)
    assert view.apply_change(MapChange("orders", 7, 8, 2, [], [LapsingRecord.of(later)]))
    assert view.maps["orders"].lapsing == (LAPSING, later)
    change = msgspec.json.encode(MapChange("orders", 8, 9, 2, []))
    assert view.apply_change(msgspec.json.decode(change, type=MapChange))
    assert view.maps["orders"].lapsing == (LAPSING, later)
    new = NewOwner(12, 15, "s2", 1, "h", 81, 2)
    assert view.apply_change(MapChange("orders", 9, 10, 3, [new]))
    assert view.maps["orders"].lapsing == (later,)


def test_a_change_of_a_build_without_lapses_is_read():
    old = msgspec.json.encode(["orders", 7, 8, 2, []])
    assert msgspec.json.decode(old, type=MapChange).lapsing == []


async def lapsing_cluster() -> tuple[SimulatedCluster, timedelta]:
    """Return a cluster in which keys of a server lapse, and when its last hold ends."""
    cluster = await settled_cluster()
    await cluster.run(12)
    cluster.store.unavailable = True
    await cluster.run(1)
    cluster.store.unavailable = False
    await cluster.run(1)
    cluster.cut_links |= {(vm, "s0") for vm in cluster.vms}
    await cluster.run(3)
    assert cluster.vms[cluster.leader()].leadership.placers[SERVICE].map.lapsing
    return cluster, max(cluster.processes[0].hold_ends.values())


async def time_until_held(cluster: SimulatedCluster) -> timedelta:
    """Advance the time until all keys are held; return when."""
    while cluster.unheld_keys() or cluster.processes[0].key_grants.has_grant(0):
        await cluster.run(0.02)
    return cluster.clock.elapsed()


async def test_the_next_leader_waits_for_a_lapse_from_when_it_has_heard_of_it():
    cluster, hold_end = await lapsing_cluster()
    cluster.kill_vm(cluster.leader())
    assert await time_until_held(cluster) < hold_end + 2 * SECOND
    assert cluster.violations == []


async def test_leaders_that_have_not_heard_of_a_lapse_wait_for_its_whole_time():
    cluster, hold_end = await lapsing_cluster()
    for vm in list(cluster.vms):
        cluster.kill_vm(vm)
    cluster.start_vm("late")
    cluster.cut_links.add(("late", "s0"))
    assert hold_end < await time_until_held(cluster) < hold_end + 8 * SECOND
    assert cluster.violations == []


async def test_a_restore_makes_vms_forget_the_lapses_that_they_have_measured():
    """The store may have brought back a record of a lapse whose keys were granted again."""
    cluster, _ = await lapsing_cluster()
    follower = next(name for name in cluster.vms if name != cluster.leader())
    leadership = cluster.vms[follower].leadership
    assert leadership.known_lapses.ends[SERVICE]
    cluster.kill_vm(cluster.leader())
    cluster.store.save_copy()
    cluster.store.restore()
    leadership.start_task(leadership.fetch_maps())
    await cluster.run(0.04)
    assert leadership.store.era.is_restored
    assert leadership.known_lapses.ends == {}
