"""Tests of membership on a simulated network and clock."""

import random
from datetime import timedelta

import pytest

from bench.fleet import Fleet, started_fleet
from fireflylock.member_events import EventKind, MemberEvent
from fireflylock.messages import Heartbeat, MemberRows
from fireflylock.model import PlatformVM, VMList

MILLISECOND = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)

SMALL_FLEET = {"a": 2, "b": 1, "c": 1}
LARGE_FLEET = {"a": 8, "b": 7, "c": 5}


def live_members_seen_by(fleet, name):
    """Return the names of the members that `name` considers live."""
    views = fleet.members[name].member_views(fleet.clock_of(name))
    return {view.name for view in views.values() if view.alive}


def all_members_agree(fleet):
    return all(live_members_seen_by(fleet, name) == set(fleet.members) for name in fleet.members)


def time_until(fleet, condition, limit=10 * SECOND, step=5 * MILLISECOND):
    """Run the fleet until `condition` holds; return how long that took."""
    start = fleet.now
    while not condition():
        assert fleet.now - start < limit, "condition not met in time"
        fleet.run(step)
    return fleet.now - start


def events_of(fleet, name):
    return fleet.members[name].take_events()


def neighbours_of(fleet, name):
    return [each for each in fleet.members if name in fleet.members[each].neighbours.ring_peers]


@pytest.mark.parametrize("zones", [{"a": 1}, SMALL_FLEET, LARGE_FLEET])
@pytest.mark.parametrize("seed", [1, 2])
def test_members_discover_each_other(zones, seed):
    fleet = started_fleet(zones, seed)
    assert all_members_agree(fleet)
    digests = {member.table.digest for member in fleet.members.values()}
    assert len(digests) == 1


@pytest.mark.parametrize("zones", [SMALL_FLEET, LARGE_FLEET])
@pytest.mark.parametrize("victim", ["a1", "b0"])
@pytest.mark.parametrize("seed", range(4))
def test_a_lost_member_is_detected_within_400_ms_and_announced_to_all(zones, victim, seed):
    fleet = started_fleet(zones, seed)
    monitors = neighbours_of(fleet, victim)
    fleet.run(seed * 23 * MILLISECOND)
    fleet.kill(victim)
    detected = time_until(
        fleet, lambda: all(victim not in live_members_seen_by(fleet, name) for name in monitors)
    )
    assert detected <= 400 * MILLISECOND
    announced = time_until(fleet, lambda: all_members_agree(fleet))
    assert detected + announced <= 410 * MILLISECOND
    for name in fleet.members:
        assert events_of(fleet, name) == [MemberEvent(EventKind.LOST, victim)]


@pytest.mark.parametrize("zones", [SMALL_FLEET, LARGE_FLEET])
def test_two_members_lost_at_once_are_both_detected(zones):
    fleet = started_fleet(zones)
    fleet.kill("a0")
    fleet.kill("c0")
    assert time_until(fleet, lambda: all_members_agree(fleet)) <= 500 * MILLISECOND


def test_message_loss_causes_no_false_member_loss():
    fleet = started_fleet(LARGE_FLEET)
    fleet.loss = 0.05
    fleet.run(60 * SECOND)
    assert all_members_agree(fleet)
    lost = [
        event
        for name in fleet.members
        for event in events_of(fleet, name)
        if event.kind is EventKind.LOST
    ]
    assert lost == []


def test_a_half_open_link_causes_no_loss_and_is_detected_at_both_ends():
    fleet = started_fleet(LARGE_FLEET)
    deaf, mute = "a0", fleet.members["a0"].neighbours.ring_peers[0]
    fleet.is_cut = lambda sender, receiver: (sender, receiver) == (mute, deaf)
    fleet.run(20 * SECOND)
    assert all_members_agree(fleet)
    assert fleet.members[deaf].is_unreachable(fleet.clock_of(deaf), mute)
    assert fleet.members[mute].is_unreachable(fleet.clock_of(mute), deaf)
    fleet.is_cut = lambda sender, receiver: False
    fleet.run(SECOND)
    assert not fleet.members[deaf].is_unreachable(fleet.clock_of(deaf), mute)
    assert not fleet.members[mute].is_unreachable(fleet.clock_of(mute), deaf)


@pytest.mark.parametrize("zones", [SMALL_FLEET, LARGE_FLEET])
@pytest.mark.parametrize("keeps_messages", [True, False])
def test_a_paused_member_returns_without_suspecting_others(zones, keeps_messages):
    fleet = started_fleet(zones)
    fleet.pause("a0", keeps_messages)
    fleet.run(5 * SECOND)
    assert all(
        "a0" not in live_members_seen_by(fleet, name) for name in fleet.members if name != "a0"
    )
    fleet.resume("a0")
    assert time_until(fleet, lambda: all_members_agree(fleet)) <= SECOND
    assert MemberEvent(EventKind.PAUSED, "a0") in events_of(fleet, "a0")
    for name in fleet.members:
        if name == "a0":
            continue
        events = events_of(fleet, name)
        assert events == [
            MemberEvent(EventKind.LOST, "a0"),
            MemberEvent(EventKind.RETURNED, "a0"),
        ]


def test_a_pause_below_the_detection_threshold_causes_no_events():
    fleet = started_fleet(LARGE_FLEET)
    fleet.pause("a0")
    fleet.run(200 * MILLISECOND)
    fleet.resume("a0")
    fleet.run(5 * SECOND)
    assert all_members_agree(fleet)
    assert all(events_of(fleet, name) == [] for name in fleet.members)


@pytest.mark.parametrize("seconds_away", [0.05, 5])
def test_a_restart_under_the_same_name_is_reported_as_a_restart(seconds_away):
    fleet = started_fleet(LARGE_FLEET)
    fleet.kill("b1")
    fleet.run(seconds_away * SECOND)
    fleet.start("b1", "b", ["a0"])
    time_until(fleet, lambda: all_members_agree(fleet))
    fleet.run(SECOND)
    for name in fleet.members:
        if name != "b1":
            assert events_of(fleet, name)[-1] == MemberEvent(EventKind.RESTARTED, "b1")
            assert fleet.members[name].table.rows["b1"].incarnation == 2


def test_a_late_message_of_an_earlier_process_is_ignored():
    fleet = started_fleet(LARGE_FLEET)
    monitor = neighbours_of(fleet, "b1")[0]
    fleet.run(100 * MILLISECOND)
    for neighbour in fleet.members["b1"].neighbours.monitored.values():
        neighbour.next_heartbeat = fleet.clock_of("b1")
    old = next(
        send.message
        for send in fleet.members["b1"]._heartbeats(fleet.clock_of("b1"))
        if send.to == monitor
    )
    fleet.kill("b1")
    fleet.start("b1", "b", ["a0"])
    fleet.run(SECOND)
    fleet.kill("b1")
    fleet.run(300 * MILLISECOND)
    member = fleet.members[monitor]
    heard_at = member.neighbours.monitored["b1"].heard_at
    member.on_message(fleet.clock_of(monitor), "b1", old)
    assert member.neighbours.monitored["b1"].heard_at == heard_at


def test_a_restart_after_the_wall_clock_went_back_is_detected():
    fleet = started_fleet(LARGE_FLEET)
    fleet.kill("b1")
    fleet.lives["b1"] = -5
    fleet.start("b1", "b", ["a0"])
    fleet.run(SECOND)
    assert all_members_agree(fleet)
    assert fleet.members["a0"].table.rows["b1"].incarnation == 2


def test_a_flapping_member_refutes_its_loss_with_growing_delay():
    fleet = started_fleet(LARGE_FLEET)
    downtimes = []
    for _ in range(4):
        fleet.pause("a0")
        fleet.run(SECOND)
        fleet.resume("a0")
        downtimes.append(time_until(fleet, lambda: all_members_agree(fleet), 20 * SECOND))
    assert downtimes[0] < 400 * MILLISECOND
    assert downtimes[1] > 450 * MILLISECOND
    assert downtimes[3] > 1.9 * SECOND


@pytest.mark.parametrize("one_way", [False, True])
def test_a_zone_that_is_cut_off_is_unreachable_but_not_lost(one_way):
    fleet = started_fleet(LARGE_FLEET)

    def is_cut(sender, receiver):
        zones = fleet.vms[sender].zone, fleet.vms[receiver].zone
        return (zones[0] == "c") != (zones[1] == "c") and (not one_way or zones[0] == "c")

    fleet.is_cut = is_cut
    fleet.run(3 * SECOND)
    assert all_members_agree(fleet)
    for name, member in fleet.members.items():
        now = fleet.clock_of(name)
        outside = fleet.vms[name].zone != "c"
        assert member.is_zone_cut(now, "c") == outside
        assert member.member_views(now)["c1"].reachable != outside
        assert member.is_zone_cut(now, "a") == (not outside and not one_way)
    fleet.is_cut = lambda sender, receiver: False
    fleet.run(SECOND)
    for name, member in fleet.members.items():
        assert not any(member.is_zone_cut(fleet.clock_of(name), zone) for zone in "abc")


def test_the_vm_list_only_adds_contacts_and_removes_lost_members():
    fleet = started_fleet(LARGE_FLEET)
    member = fleet.members["a0"]
    now = fleet.clock_of("a0")
    rows = {name: PlatformVM(name, vm.zone, "r", "") for name, vm in fleet.vms.items()}
    rows["z9"] = PlatformVM("z9", "a", "r", "127.0.0.1:9")
    member.on_vm_list(now, VMList(5, rows))
    assert "z9" not in live_members_seen_by(fleet, "a0")
    fleet.kill("a1")
    fleet.run(SECOND)
    without = {name: vm for name, vm in rows.items() if name not in ("a1", "a2")}
    member.on_vm_list(now, VMList(4, without))
    assert "a1" in member.member_views(now)
    member.on_vm_list(now, VMList(6, without))
    assert "a1" not in member.member_views(now)
    assert "a2" in live_members_seen_by(fleet, "a0")
    events = events_of(fleet, "a0")
    assert events == [MemberEvent(EventKind.LOST, "a1"), MemberEvent(EventKind.GONE, "a1")]


@pytest.mark.parametrize("seed", range(3))
def test_the_age_of_the_platform_reading_is_never_underestimated(seed):
    fleet = started_fleet(LARGE_FLEET, seed)
    rng = random.Random(seed)
    # Delayed messages arrive after later ones.
    fleet.delay = lambda sender, receiver: rng.choice([0, 0, 0, 0.1, 0.25]) * SECOND
    read_at = None
    for _ in range(200):
        if rng.random() < 0.2:
            read_at = fleet.now
            fleet.members["c0"].record_platform_read(fleet.clock_of("c0"))
        fleet.run(100 * MILLISECOND)
        for name, member in fleet.members.items():
            age = member.platform_age(fleet.clock_of(name))
            assert age is None or age >= fleet.now - read_at
    fleet.delay = lambda sender, receiver: 0 * SECOND
    fleet.members["c0"].record_platform_read(fleet.clock_of("c0"))
    fleet.run(4 * SECOND)
    ages = [member.platform_age(fleet.clock_of(name)) for name, member in fleet.members.items()]
    assert max(ages) < 6 * SECOND


def test_an_echo_from_before_a_restart_is_ignored():
    fleet = started_fleet(LARGE_FLEET)
    member = fleet.members["a0"]
    now = fleet.clock_of("a0")
    own_row = member.own_row.incarnation
    earlier = Heartbeat(1, 0, 0, own_row - 1, now // (MILLISECOND / 1000) - 5, 1, 0, 0)
    member.on_message(now, member.neighbours.ring_peers[0], earlier)
    assert member.platform_age(now) is None


def test_all_members_learn_the_configuration_version_of_each_member():
    fleet = started_fleet(LARGE_FLEET)
    for member in fleet.members.values():
        member.set_config_version(7)

    def known():
        return all(
            view.config_version == 7
            for name, member in fleet.members.items()
            for view in member.member_views(fleet.clock_of(name)).values()
        )

    assert time_until(fleet, known) <= 500 * MILLISECOND
    assert fleet.sent["Versions"] < 20 * len(fleet.members)


@pytest.mark.parametrize("seed", range(12))
def test_all_members_agree_again_after_random_faults(seed):
    """Injects random kills, restarts, pauses, cuts and message loss, then stops all faults."""
    fleet = started_fleet({"a": 5, "b": 4, "c": 2}, seed)
    rng = random.Random(seed)
    names = list(fleet.vms)
    for _ in range(25):
        name = rng.choice(names)
        fault = rng.choice(["kill", "start", "pause", "resume", "cut", "loss", "heal"])
        if fault == "kill" and name in fleet.members and len(fleet.members) > 3:
            fleet.kill(name)
        elif fault == "start" and name not in fleet.members:
            fleet.start(name, fleet.vms[name].zone, names)
        elif fault == "pause" and name in fleet.members:
            fleet.pause(name) if name not in fleet.paused else None
        elif fault == "resume" and name in fleet.paused:
            fleet.resume(name)
        elif fault == "cut":
            cut = {(rng.choice(names), rng.choice(names)) for _ in range(20)}
            fleet.is_cut = lambda sender, receiver, cut=cut: (sender, receiver) in cut
        elif fault == "loss":
            fleet.loss = 0.1
        elif fault == "heal":
            fleet.loss = 0.0
            fleet.is_cut = lambda sender, receiver: False
        fleet.run(rng.uniform(0, 2) * SECOND)
    fleet.loss = 0.0
    fleet.is_cut = lambda sender, receiver: False
    for name in list(fleet.paused):
        if name in fleet.members:
            fleet.resume(name)
    fleet.run(20 * SECOND)
    assert all_members_agree(fleet), {
        name: live_members_seen_by(fleet, name) for name in fleet.members
    }


def test_two_fleets_that_started_apart_merge():
    fleet = Fleet(1)
    groups = {name: name[0] == "a" for name in ("a0", "a1", "b0", "b1")}
    fleet.is_cut = lambda sender, receiver: groups[sender] != groups[receiver]
    for name in groups:
        fleet.start(name, name[0], list(groups))
    fleet.run(5 * SECOND)
    assert live_members_seen_by(fleet, "a0") == {"a0", "a1"}
    fleet.is_cut = lambda sender, receiver: False
    fleet.run(10 * SECOND)
    assert all_members_agree(fleet)


def test_the_loss_of_an_unknown_member_is_ignored():
    fleet = started_fleet(SMALL_FLEET)
    member = fleet.members["a0"]
    rows = member.table.rows
    row = rows["b0"]
    lost = type(row)("x", "a", "r", "", 1, 0, False)
    member.on_message(fleet.clock_of("a0"), "b0", MemberRows([lost]))
    assert "x" not in rows


def test_a_contact_known_only_by_its_address_is_renamed_to_its_member():
    fleet = Fleet(1)
    fleet.start("a0", "a", [])
    label = fleet.vms["a0"].peer_address
    fleet.vms[label] = fleet.vms["a0"]
    fleet.members[label] = fleet.members["a0"]
    fleet.skew[label] = fleet.skew["a0"]
    member = fleet.start("b0", "b", [])
    member.add_contacts({label: label})
    assert member.addresses() == {label: label}
    fleet.run(SECOND)
    assert member.addresses() == {"a0": label}
    assert live_members_seen_by(fleet, "b0") == {"a0", "b0"}


def test_a_partition_within_a_zone_causes_no_loss():
    fleet = started_fleet(LARGE_FLEET)
    half = {f"a{number}" for number in range(4)}

    def is_cut(sender, receiver):
        zones = fleet.vms[sender].zone, fleet.vms[receiver].zone
        return zones == ("a", "a") and (sender in half) != (receiver in half)

    fleet.is_cut = is_cut
    fleet.run(20 * SECOND)
    assert all_members_agree(fleet)
    assert all(events_of(fleet, name) == [] for name in fleet.members)
    for name in half:
        member = fleet.members[name]
        for other in set(member.neighbours.ring_peers) - half:
            assert member.is_unreachable(fleet.clock_of(name), other)
    fleet.kill("a0")
    assert time_until(fleet, lambda: all_members_agree(fleet)) <= SECOND


def test_a_member_that_receives_nothing_causes_no_loss():
    fleet = started_fleet(LARGE_FLEET)
    fleet.is_cut = lambda sender, receiver: receiver == "a0"
    fleet.run(20 * SECOND)
    assert all_members_agree(fleet)
    for name in fleet.members:
        assert events_of(fleet, name) == []


@pytest.mark.parametrize("zones", [{"a": 2}, {"a": 1, "b": 1}, SMALL_FLEET])
@pytest.mark.parametrize("times", [1, 3])
def test_members_rejoin_after_all_were_cut_off_from_each_other(zones, times):
    fleet = started_fleet(zones)
    for _ in range(times):
        fleet.is_cut = lambda sender, receiver: True
        fleet.run(5 * SECOND)
        assert not all_members_agree(fleet)
        fleet.is_cut = lambda sender, receiver: False
        fleet.run(5 * SECOND)
    assert all_members_agree(fleet)


def test_a_sender_of_heartbeats_receives_heartbeats():
    """Members whose tables differ for a while choose different neighbours."""
    fleet = started_fleet(LARGE_FLEET)
    member = fleet.members["a0"]
    now = fleet.clock_of("a0")
    known = {"a0", *member.neighbours.monitored}
    other = next(name for name in fleet.members if name not in known)
    row = fleet.members[other].own_row
    heartbeat = Heartbeat(row.incarnation, row.refutation, 1, -1, -1, -1, member.table.digest, 0)
    member.on_message(now, other, heartbeat)
    answers = [send for send in member.tick(now) if send.to == other]
    assert [type(send.message) for send in answers] == [Heartbeat]
