"""Tests of membership on a simulated network and clock."""

import random
from datetime import timedelta

import pytest

from bench.fleet import Fleet, started_fleet
from fireflylock.member_events import EventKind, MemberEvent
from fireflylock.messages import Heartbeat, MemberRows
from fireflylock.model import PlatformVM, VMList

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)

TODAY = {"a": 2, "b": 1, "c": 1}
LARGER = {"a": 8, "b": 7, "c": 5}


def alive_for(fleet, name):
    """Return the names that `name` holds for live."""
    views = fleet.members[name].live(fleet.clock_of(name))
    return {view.name for view in views.values() if view.alive}


def everybody_agrees(fleet):
    return all(alive_for(fleet, name) == set(fleet.members) for name in fleet.members)


def time_until(fleet, condition, limit=10 * SECOND, step=5 * MS):
    """Let time pass until `condition` holds and return how long that took."""
    start = fleet.now
    while not condition():
        assert fleet.now - start < limit, "it took too long"
        fleet.run(step)
    return fleet.now - start


def events_of(fleet, name):
    return fleet.members[name].take_events()


def neighbours_of(fleet, name):
    return [each for each in fleet.members if name in fleet.members[each].neighbours.ring_peers]


@pytest.mark.parametrize("zones", [{"a": 1}, TODAY, LARGER])
@pytest.mark.parametrize("seed", [1, 2])
def test_members_find_each_other(zones, seed):
    fleet = started_fleet(zones, seed)
    assert everybody_agrees(fleet)
    digests = {member.table.digest for member in fleet.members.values()}
    assert len(digests) == 1


@pytest.mark.parametrize("zones", [TODAY, LARGER])
@pytest.mark.parametrize("victim", ["a1", "b0"])
@pytest.mark.parametrize("seed", range(4))
def test_a_lost_member_is_noticed_within_400_ms_and_told_to_everybody(zones, victim, seed):
    fleet = started_fleet(zones, seed)
    watching = neighbours_of(fleet, victim)
    fleet.run(seed * 23 * MS)
    fleet.kill(victim)
    noticed = time_until(
        fleet, lambda: all(victim not in alive_for(fleet, name) for name in watching)
    )
    assert noticed <= 400 * MS
    told = time_until(fleet, lambda: everybody_agrees(fleet))
    assert noticed + told <= 410 * MS
    for name in fleet.members:
        assert events_of(fleet, name) == [MemberEvent(EventKind.LOST, victim)]


@pytest.mark.parametrize("zones", [TODAY, LARGER])
def test_two_members_lost_at_once_are_both_noticed(zones):
    fleet = started_fleet(zones)
    fleet.kill("a0")
    fleet.kill("c0")
    assert time_until(fleet, lambda: everybody_agrees(fleet)) <= 500 * MS


def test_lost_messages_do_not_make_lost_members():
    fleet = started_fleet(LARGER)
    fleet.loss = 0.05
    fleet.run(60 * SECOND)
    assert everybody_agrees(fleet)
    lost = [
        event
        for name in fleet.members
        for event in events_of(fleet, name)
        if event.kind is EventKind.LOST
    ]
    assert lost == []


def test_a_half_open_link_loses_nobody_and_is_seen_from_both_ends():
    fleet = started_fleet(LARGER)
    deaf, mute = "a0", fleet.members["a0"].neighbours.ring_peers[0]
    fleet.is_cut = lambda sender, receiver: (sender, receiver) == (mute, deaf)
    fleet.run(20 * SECOND)
    assert everybody_agrees(fleet)
    assert fleet.members[deaf].is_unreachable(fleet.clock_of(deaf), mute)
    assert fleet.members[mute].is_unreachable(fleet.clock_of(mute), deaf)
    fleet.is_cut = lambda sender, receiver: False
    fleet.run(SECOND)
    assert not fleet.members[deaf].is_unreachable(fleet.clock_of(deaf), mute)
    assert not fleet.members[mute].is_unreachable(fleet.clock_of(mute), deaf)


@pytest.mark.parametrize("zones", [TODAY, LARGER])
@pytest.mark.parametrize("keeps_messages", [True, False])
def test_a_paused_member_returns_without_blaming_anybody(zones, keeps_messages):
    fleet = started_fleet(zones)
    fleet.pause("a0", keeps_messages)
    fleet.run(5 * SECOND)
    assert all("a0" not in alive_for(fleet, name) for name in fleet.members if name != "a0")
    fleet.resume("a0")
    assert time_until(fleet, lambda: everybody_agrees(fleet)) <= SECOND
    assert MemberEvent(EventKind.PAUSED, "a0") in events_of(fleet, "a0")
    for name in fleet.members:
        if name == "a0":
            continue
        events = events_of(fleet, name)
        assert events == [
            MemberEvent(EventKind.LOST, "a0"),
            MemberEvent(EventKind.RETURNED, "a0"),
        ]


def test_a_pause_that_is_too_short_to_be_noticed_changes_nothing():
    fleet = started_fleet(LARGER)
    fleet.pause("a0")
    fleet.run(200 * MS)
    fleet.resume("a0")
    fleet.run(5 * SECOND)
    assert everybody_agrees(fleet)
    assert all(events_of(fleet, name) == [] for name in fleet.members)


@pytest.mark.parametrize("seconds_away", [0.05, 5])
def test_a_restart_under_the_same_name_is_told_as_such(seconds_away):
    fleet = started_fleet(LARGER)
    fleet.kill("b1")
    fleet.run(seconds_away * SECOND)
    fleet.start("b1", "b", ["a0"])
    time_until(fleet, lambda: everybody_agrees(fleet))
    fleet.run(SECOND)
    for name in fleet.members:
        if name != "b1":
            assert events_of(fleet, name)[-1] == MemberEvent(EventKind.RESTARTED, "b1")
            assert fleet.members[name].table.rows["b1"].incarnation == 2


def test_a_late_message_of_an_earlier_process_is_not_believed():
    fleet = started_fleet(LARGER)
    watcher = neighbours_of(fleet, "b1")[0]
    fleet.run(100 * MS)
    for neighbour in fleet.members["b1"].neighbours.monitored.values():
        neighbour.next_heartbeat = fleet.clock_of("b1")
    old = next(
        send.message
        for send in fleet.members["b1"]._heartbeats(fleet.clock_of("b1"))
        if send.to == watcher
    )
    fleet.kill("b1")
    fleet.start("b1", "b", ["a0"])
    fleet.run(SECOND)
    fleet.kill("b1")
    fleet.run(300 * MS)
    member = fleet.members[watcher]
    heard_at = member.neighbours.monitored["b1"].heard_at
    member.on_message(fleet.clock_of(watcher), "b1", old)
    assert member.neighbours.monitored["b1"].heard_at == heard_at


def test_a_wall_clock_that_went_back_does_not_hide_a_restart():
    fleet = started_fleet(LARGER)
    fleet.kill("b1")
    fleet.lives["b1"] = -5
    fleet.start("b1", "b", ["a0"])
    fleet.run(SECOND)
    assert everybody_agrees(fleet)
    assert fleet.members["a0"].table.rows["b1"].incarnation == 2


def test_a_flapping_member_contradicts_ever_later():
    fleet = started_fleet(LARGER)
    away = []
    for _ in range(4):
        fleet.pause("a0")
        fleet.run(SECOND)
        fleet.resume("a0")
        away.append(time_until(fleet, lambda: everybody_agrees(fleet), 20 * SECOND))
    assert away[0] < 400 * MS
    assert away[1] > 450 * MS
    assert away[3] > 1.9 * SECOND


@pytest.mark.parametrize("one_way", [False, True])
def test_a_zone_that_is_cut_off_is_unreachable_but_not_lost(one_way):
    fleet = started_fleet(LARGER)

    def is_cut(sender, receiver):
        zones = fleet.vms[sender].zone, fleet.vms[receiver].zone
        return (zones[0] == "c") != (zones[1] == "c") and (not one_way or zones[0] == "c")

    fleet.is_cut = is_cut
    fleet.run(3 * SECOND)
    assert everybody_agrees(fleet)
    for name, member in fleet.members.items():
        now = fleet.clock_of(name)
        outside = fleet.vms[name].zone != "c"
        assert member.is_zone_cut(now, "c") == outside
        assert member.live(now)["c1"].reachable != outside
        assert member.is_zone_cut(now, "a") == (not outside and not one_way)
    fleet.is_cut = lambda sender, receiver: False
    fleet.run(SECOND)
    for name, member in fleet.members.items():
        assert not any(member.is_zone_cut(fleet.clock_of(name), zone) for zone in "abc")


def test_the_list_of_vms_is_a_hint_except_for_who_is_gone():
    fleet = started_fleet(LARGER)
    member = fleet.members["a0"]
    now = fleet.clock_of("a0")
    rows = {name: PlatformVM(name, vm.zone, "r", "") for name, vm in fleet.vms.items()}
    rows["z9"] = PlatformVM("z9", "a", "r", "127.0.0.1:9")
    member.on_vm_list(now, VMList(5, rows))
    assert "z9" not in alive_for(fleet, "a0")
    fleet.kill("a1")
    fleet.run(SECOND)
    without = {name: vm for name, vm in rows.items() if name not in ("a1", "a2")}
    member.on_vm_list(now, VMList(4, without))
    assert "a1" in member.live(now)
    member.on_vm_list(now, VMList(6, without))
    assert "a1" not in member.live(now)
    assert "a2" in alive_for(fleet, "a0")
    events = events_of(fleet, "a0")
    assert events == [MemberEvent(EventKind.LOST, "a1"), MemberEvent(EventKind.GONE, "a1")]


@pytest.mark.parametrize("seed", range(3))
def test_the_age_of_the_platform_reading_is_never_too_small(seed):
    fleet = started_fleet(LARGER, seed)
    rng = random.Random(seed)
    # Delayed messages are overtaken by later ones.
    fleet.delay = lambda sender, receiver: rng.choice([0, 0, 0, 0.1, 0.25]) * SECOND
    read_at = None
    for _ in range(200):
        if rng.random() < 0.2:
            read_at = fleet.now
            fleet.members["c0"].note_platform_read(fleet.clock_of("c0"))
        fleet.run(100 * MS)
        for name, member in fleet.members.items():
            age = member.freshness(fleet.clock_of(name))
            assert age is None or age >= fleet.now - read_at
    fleet.delay = lambda sender, receiver: 0 * SECOND
    fleet.members["c0"].note_platform_read(fleet.clock_of("c0"))
    fleet.run(4 * SECOND)
    ages = [member.freshness(fleet.clock_of(name)) for name, member in fleet.members.items()]
    assert max(ages) < 6 * SECOND


def test_an_echo_from_before_a_restart_proves_nothing():
    fleet = started_fleet(LARGER)
    member = fleet.members["a0"]
    now = fleet.clock_of("a0")
    own = member.own.incarnation
    earlier = Heartbeat(1, 0, 0, own - 1, now // (MS / 1000) - 5, 1, 0, 0)
    member.on_message(now, member.neighbours.ring_peers[0], earlier)
    assert member.freshness(now) is None


def test_everybody_learns_which_version_each_member_has_in_force():
    fleet = started_fleet(LARGER)
    for member in fleet.members.values():
        member.set_config_version(7)

    def known():
        return all(
            view.config_version == 7
            for name, member in fleet.members.items()
            for view in member.live(fleet.clock_of(name)).values()
        )

    assert time_until(fleet, known) <= 500 * MS
    assert fleet.sent["Versions"] < 20 * len(fleet.members)


@pytest.mark.parametrize("seed", range(12))
def test_after_any_faults_everybody_agrees_again(seed):
    """Random kills, restarts, pauses, cuts and losses, then quiet."""
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
    assert everybody_agrees(fleet), {name: alive_for(fleet, name) for name in fleet.members}


def test_two_fleets_that_started_apart_find_each_other():
    fleet = Fleet(1)
    groups = {name: name[0] == "a" for name in ("a0", "a1", "b0", "b1")}
    fleet.is_cut = lambda sender, receiver: groups[sender] != groups[receiver]
    for name in groups:
        fleet.start(name, name[0], list(groups))
    fleet.run(5 * SECOND)
    assert alive_for(fleet, "a0") == {"a0", "a1"}
    fleet.is_cut = lambda sender, receiver: False
    fleet.run(10 * SECOND)
    assert everybody_agrees(fleet)


def test_news_of_an_unknown_lost_member_is_nothing():
    fleet = started_fleet(TODAY)
    member = fleet.members["a0"]
    rows = member.table.rows
    row = rows["b0"]
    lost = type(row)("x", "a", "r", "", 1, 0, False)
    member.on_message(fleet.clock_of("a0"), "b0", MemberRows([lost]))
    assert "x" not in rows


def test_a_contact_that_is_known_by_its_address_alone_is_found_out():
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
    assert alive_for(fleet, "b0") == {"a0", "b0"}


def test_halves_of_a_zone_that_are_cut_from_each_other_lose_nobody():
    fleet = started_fleet(LARGER)
    half = {f"a{number}" for number in range(4)}

    def is_cut(sender, receiver):
        zones = fleet.vms[sender].zone, fleet.vms[receiver].zone
        return zones == ("a", "a") and (sender in half) != (receiver in half)

    fleet.is_cut = is_cut
    fleet.run(20 * SECOND)
    assert everybody_agrees(fleet)
    assert all(events_of(fleet, name) == [] for name in fleet.members)
    for name in half:
        member = fleet.members[name]
        for other in set(member.neighbours.ring_peers) - half:
            assert member.is_unreachable(fleet.clock_of(name), other)
    fleet.kill("a0")
    assert time_until(fleet, lambda: everybody_agrees(fleet)) <= SECOND


def test_a_member_that_hears_nobody_makes_nobody_lost():
    fleet = started_fleet(LARGER)
    fleet.is_cut = lambda sender, receiver: receiver == "a0"
    fleet.run(20 * SECOND)
    assert everybody_agrees(fleet)
    for name in fleet.members:
        assert events_of(fleet, name) == []


@pytest.mark.parametrize("zones", [{"a": 2}, {"a": 1, "b": 1}, TODAY])
@pytest.mark.parametrize("times", [1, 3])
def test_members_that_were_all_cut_from_each_other_find_together_again(zones, times):
    fleet = started_fleet(zones)
    for _ in range(times):
        fleet.is_cut = lambda sender, receiver: True
        fleet.run(5 * SECOND)
        assert not everybody_agrees(fleet)
        fleet.is_cut = lambda sender, receiver: False
        fleet.run(5 * SECOND)
    assert everybody_agrees(fleet)


def test_whoever_sends_heartbeats_gets_some():
    """Members whose tables differ for a while do not agree on who is whose neighbour."""
    fleet = started_fleet(LARGER)
    member = fleet.members["a0"]
    now = fleet.clock_of("a0")
    known = {"a0", *member.neighbours.monitored}
    stranger = next(name for name in fleet.members if name not in known)
    life = fleet.members[stranger].own
    heartbeat = Heartbeat(life.incarnation, life.refutation, 1, -1, -1, -1, member.table.digest, 0)
    member.on_message(now, stranger, heartbeat)
    answers = [send for send in member.tick(now) if send.to == stranger]
    assert [type(send.message) for send in answers] == [Heartbeat]
