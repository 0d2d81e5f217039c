"""Tests of who owns keys: one scenario a fault, then random histories of all of them."""

import random
from collections import Counter
from datetime import timedelta

import pytest

from fireflylock.direct.gossip import Moving, Placing
from fireflylock.direct.placer import HOLD
from tests.placing_world import WATCHED, World, settled_world


def assert_sound(world: World) -> None:
    assert world.problems[:5] == []


async def test_all_keys_get_an_owner_and_keep_it():
    world = await settled_world()
    assert world.unheld() == 0
    first = {key: world.holders(key)[0].entry.name for key in WATCHED}
    await world.run(20)
    assert world.unheld() == 0
    assert {key: world.holders(key)[0].entry.name for key in WATCHED} == first
    assert_sound(world)


async def test_only_one_vm_places_keys():
    world = await settled_world()
    assert sum(bool(vm.leadership.placers) for vm in world.vms.values()) == 1


async def test_a_leaving_servers_keys_go_on_within_the_drain_period():
    world = await settled_world()
    life = world.lives[0]
    for vm in world.vms.values():
        vm.table.remove(world.clock.elapsed(), life.entry.name)
    await world.run(1.2)
    assert world.unheld() == 0
    assert not any(life in world.holders(key) for key in WATCHED)
    assert_sound(world)


async def test_a_crashed_servers_keys_wait_for_the_end_of_its_hold():
    world = await settled_world()
    world.crash(world.lives[0])
    await world.run(1)
    assert world.unheld() > 0
    await world.run(HOLD.total_seconds() + 1.5)
    assert world.unheld() == 0
    assert_sound(world)


async def test_all_vms_know_early_until_when_a_silent_servers_keys_wait():
    """wmtw-gateway: for 2.4 s after a cut its callers were refused with nothing to go by."""
    world = await settled_world()
    await world.run(12)
    life = world.lives[0]
    key = next(key for key in WATCHED if life in world.holders(key))
    links = {(vm, life.entry.name) for vm in world.vms}
    world.cut_links |= links
    await world.run(1.8)
    for vm in world.vms.values():
        assert vm.view.owner_of("orders", key) is None
        wait = vm.view.unowned_for("orders", key, world.clock.elapsed())
        assert 1 <= wait.total_seconds() <= HOLD.total_seconds()
    assert not world.vms[world.placing()].leadership.placers["orders"].departures
    # It answers again before it is taken to be lost: nothing moves.
    world.cut_links -= links
    await world.run(0.6)
    for vm in world.vms.values():
        assert vm.view.owner_of("orders", key).entry.name == life.entry.name
    assert_sound(world)


async def test_the_end_of_the_wait_is_told_for_a_server_that_left_and_is_cut_off():
    """wmtw-gateway trouble-2: its registration lapsed, and callers were told to come at once."""
    world = await settled_world()
    await world.run(12)
    life = world.lives[0]
    key = next(key for key in WATCHED if life in world.holders(key))
    world.cut_links |= {(vm, life.entry.name) for vm in world.vms}
    for vm in world.vms.values():
        vm.table.remove(world.clock.elapsed(), life.entry.name)
    await world.run(0.7)
    for vm in world.vms.values():
        wait = vm.view.unowned_for("orders", key, world.clock.elapsed())
        assert 1 <= wait.total_seconds() <= HOLD.total_seconds() * 1.02 + 0.15
    assert_sound(world)


async def test_a_busy_server_is_relieved_while_the_keys_of_a_lost_one_wait():
    """A hot neighbourhood meets a crash: the keys of the lost server wait for seconds."""
    world = await settled_world()
    lost, hot = world.lives[0], world.lives[1]
    world.crash(lost)
    await world.run(0.8)
    # Six keys ask the hot server for three times what its four slots can do.
    keys = [key for key in WATCHED if hot in world.holders(key)][:6]
    before = set(keys)
    for _ in range(12):
        leadership = world.vms[world.placing()].leadership
        leadership.add_key_work(
            world.clock.elapsed(), {"orders": dict.fromkeys(keys, 0.15 * 12 / 6)}
        )
        await world.run(0.15)
    assert world.unheld() > 0
    after = {key for key in before if hot in world.holders(key)}
    assert len(after) <= len(before) / 2
    await world.run(HOLD.total_seconds() + 1.5)
    assert world.unheld() == 0
    assert_sound(world)


async def test_a_server_that_starts_again_is_proof_that_its_last_life_ended():
    world = await settled_world()
    dead = world.lives[0]
    world.crash(dead)
    await world.run(0.5)
    world.add_server(dead.entry.name, dead.entry.port)
    await world.run(1)
    assert world.unheld() == 0
    assert_sound(world)


async def test_a_server_that_cannot_be_reached_keeps_its_keys_until_its_hold_ends():
    """Only the placing VM is cut off from it; others may still send requests there."""
    world = await settled_world()
    life = world.lives[0]
    world.cut_links.add((world.placing(), life.entry.name))
    await world.run(12)
    assert world.unheld() == 0
    assert not any(life in world.holders(key) for key in WATCHED)
    assert_sound(world)


async def test_servers_that_were_cut_off_get_keys_again_soon_after_they_are_back():
    """wmtw-gateway trouble-1: after a zone cut a third of the servers stayed without keys."""
    world = await settled_world()
    cut = world.lives[:2]
    links = {(vm, life.entry.name) for vm in world.vms for life in cut}
    world.cut_links |= links
    await world.run(7)
    assert world.unheld() == 0
    world.cut_links -= links
    await world.run(2)
    for life in cut:
        assert any(life in world.holders(key) for key in WATCHED)
    assert world.unheld() == 0
    assert_sound(world)


async def test_another_vm_takes_over_before_any_hold_ends():
    world = await settled_world()
    world.kill_vm(world.placing())
    for _ in range(40):
        await world.run(0.1)
        assert world.unheld() == 0
    assert world.placing()
    assert_sound(world)


async def test_a_starting_vm_sends_by_the_recorded_map_before_anybody_leads():
    """wmtw-gateway scale-1: all VMs were killed, and keys waited for 0.4 s for the first map."""
    world = await settled_world()
    for name in list(world.vms):
        world.kill_vm(name)
    started = world.start_vm("new")
    await world.run(0.1)
    assert world.placing() == ""
    assert all(started.view.owner_of("orders", key) is not None for key in WATCHED)
    await world.run(3)
    assert world.unheld() == 0
    assert_sound(world)


async def test_a_new_leader_moves_no_keys_before_it_knows_their_loads():
    """wmtw-gateway scale-1: it gave half of the longest range, hot keys and all, to one server."""
    world = await settled_world()
    old = world.placing()
    world.kill_vm(old)
    joined = world.add_server("joined", 8100)
    while world.placing() in ("", old):
        await world.run(0.02)
    await world.run(0.9)
    placer = world.vms[world.placing()].leadership.placers["orders"]
    assert placer.loaded
    assert placer.departures == []
    assert not any(joined in world.holders(key) for key in WATCHED)
    await world.run(2)
    assert any(joined in world.holders(key) for key in WATCHED)
    assert_sound(world)


async def test_after_a_planned_stop_a_lost_servers_keys_wait_no_longer_than_its_hold():
    """tumblestone-za inc-fffc: the next leader waited 10.4 s, for what it could not know."""
    world = await settled_world()
    await world.run(12)
    old = world.placing()
    world.stop_vm(old)
    await world.run(2)
    assert world.placing() not in ("", old)
    world.crash(world.lives[0])
    await world.run(HOLD.total_seconds() + 2.5)
    assert world.unheld() == 0
    assert_sound(world)


async def test_keys_of_a_lost_server_wait_for_its_hold_once_although_leaders_change():
    """wmtw-gateway trouble-3: each new leader began the longest wait anew, 21 s in all."""
    world = await settled_world()
    await world.run(12)
    world.crash(world.lives[0])
    await world.run(2.4)
    assert world.unheld() > 0
    for _ in range(2):
        world.kill_vm(world.placing())
        while not world.placing():
            await world.run(0.1)
        await world.run(0.5)
    world.start_vm("late")
    await world.run(1)
    assert world.unheld() == 0
    assert_sound(world)


async def test_a_new_leader_spreads_free_keys_over_all_servers():
    """wmtw-gateway trouble-1: it gave 16 ranges to the server that answered it first."""
    world = await settled_world(servers=9)
    await world.run(12)
    lost = world.lives[:4]
    for life in world.lives[5:]:
        world.order_times[life.entry.name] = timedelta(milliseconds=150)
    for life in lost:
        world.crash(life, registered=False)
    await world.run(0.5)
    world.kill_vm(world.placing())
    for life in lost:
        # Others at their addresses prove that they have ended, as soon as there is a leader.
        world.add_server(f"{life.entry.name}x", life.entry.port)
        world.order_times[f"{life.entry.name}x"] = timedelta(milliseconds=150)
    for _ in range(200):
        await world.run(0.02)
        if world.unheld() == 0:
            break
    assert world.unheld() == 0
    held = Counter(world.holders(key)[0].entry.name for key in WATCHED)
    assert max(held.values()) <= 0.3 * len(WATCHED)
    assert_sound(world)


async def test_after_an_outage_of_the_store_a_lost_servers_keys_wait_for_what_was_granted():
    """wmtw-gateway trouble-3: the next leader knew no end of the long grants of the one before."""
    world = await settled_world()
    await world.run(12)
    world.store.away = True
    await world.run(2)
    world.crash(world.lives[0])
    await world.run(3.5)
    world.store.away = False
    await world.run(6.5)
    assert world.unheld() == 0
    assert_sound(world)


async def test_the_told_end_of_grants_does_not_count_once_another_leader_has_granted():
    world = await settled_world()
    await world.run(12)
    old = world.placing()
    world.cut_from_store.add(old)
    while world.placing() in ("", old):
        await world.run(0.1)
    await world.run(1)
    assert world.vms[old].leadership.grant_ends.ends
    world.cut_from_store.clear()
    world.kill_vm(world.placing())
    await world.run(3)
    placer = world.vms[world.placing()].leadership.placers["orders"]
    assert placer.holdings.others_end >= placer.leader_lease.acquired_at + placer.longest_hold
    assert_sound(world)


async def test_what_a_leader_has_recorded_of_its_grants_counts_for_the_next_one_only():
    """The one after that knows nothing of what the next one has granted."""
    world = await settled_world()
    await world.run(12)
    world.stop_vm(world.placing())
    await world.run(2)
    world.kill_vm(world.placing())
    await world.run(3)
    placer = world.vms[world.placing()].leadership.placers["orders"]
    acquired_at = placer.leader_lease.acquired_at
    assert placer.holdings.others_end >= acquired_at + placer.longest_hold
    assert_sound(world)


async def test_a_vm_that_is_cut_off_from_the_store_stops_before_another_one_begins():
    world = await settled_world()
    old = world.placing()
    world.cut_from_store.add(old)
    await world.run(6)
    assert world.placing() not in ("", old)
    assert world.unheld() == 0
    assert_sound(world)


async def test_a_telling_that_is_overtaken_or_comes_twice_changes_nothing():
    world = await settled_world()
    other = next(vm for name, vm in world.vms.items() if name != world.placing())
    now = world.clock.elapsed()
    lease, number = other.leadership.last_message
    newer = Placing("x", "zone", lease, number + 2, [Moving("orders", 0, 9, 0)], {}, [])
    older = Placing("x", "zone", lease, number + 1, [], {}, [])
    other.leadership.apply_leader_message(now, newer)
    other.leadership.apply_leader_message(now, older)
    assert other.view.owner_of("orders", 5) is None
    # Another holder of the right begins to count anew.
    other.leadership.apply_leader_message(now, Placing("y", "zone", lease + 1, 1, [], {}, []))
    assert other.view.owner_of("orders", 5) is not None


async def test_what_many_owners_take_is_told_in_few_bytes():
    """Links of 8 Mbit/s carry callers' answers too; each byte here goes to every VM.

    67 servers take 134 ranges; then a zone's 17 servers are lost, and theirs get new owners.
    """
    world = World(1)
    for number in range(67):
        world.add_server(f"server-{number}", 8000 + number)
    for number in range(3):
        world.start_vm(f"vm{number}")
    await world.run(5)
    assert world.unheld() == 0
    assert world.told_bytes < 50_000
    before = world.told_bytes
    for life in world.lives[:17]:
        world.crash(life, registered=False)
    await world.run(6)
    assert world.unheld() == 0
    assert world.told_bytes - before < 100_000
    assert_sound(world)


@pytest.mark.parametrize("seconds", [1.0, 1.6, 2.4, 4.0, 9.0])
async def test_a_vm_that_is_frozen_as_it_places_keys_does_no_harm_when_it_runs_again(seconds):
    """Keys are on the move when it stops; another VM places them meanwhile."""
    world = await settled_world()
    old = world.placing()
    world.unregister(world.lives[0])
    await world.run(0.04)
    world.frozen.add(old)
    await world.run(seconds)
    world.unregister(world.lives[1])
    world.frozen.clear()
    await world.run(14)
    assert world.unheld() == 0
    assert sum(bool(vm.leadership.placers) for vm in world.vms.values()) == 1
    assert_sound(world)


async def test_maps_spread_although_half_of_the_datagrams_are_lost():
    world = await settled_world()
    world.lost_datagrams = 0.5
    world.unregister(world.lives[0])
    await world.run(6)
    owners = [vm.view.maps["orders"].owners() for vm in world.vms.values()]
    assert all(names == owners[0] for names in owners)
    assert "s0" not in {owner.name for owner in owners[0]}
    assert_sound(world)


async def test_servers_keep_their_keys_while_the_store_is_away():
    world = await settled_world()
    world.store.away = True
    for _ in range(90):
        await world.run(0.1)
        assert world.unheld() == 0
    world.store.away = False
    await world.run(4)
    assert world.unheld() == 0
    assert_sound(world)


async def test_a_write_that_arrives_after_a_takeover_changes_nothing():
    world = await settled_world()
    world.lost_writes = 1.0
    leaving = world.lives[0]
    world.unregister(leaving)
    await world.run(0.3)
    world.kill_vm(world.placing())
    world.lost_writes = 0.0
    await world.run(16)
    assert world.unheld() == 0
    assert_sound(world)


async def test_orders_that_are_carried_out_late_bring_no_second_owner():
    world = await settled_world()
    world.late_orders = 0.5
    world.unregister(world.lives[0])
    await world.run(4)
    world.unregister(world.lives[1])
    await world.run(16)
    world.late_orders = 0.0
    await world.run(14)
    assert world.unheld() == 0
    assert_sound(world)


async def test_a_vm_that_hears_the_others_keeps_the_right_while_a_zone_is_lost():
    """Seen in an incident: a zone cut and crashes left 7 of 18 servers; the next VM had no more.

    It had to wait for the longest hold, and the keys of the crashed servers with it.
    """
    world = await settled_world(vms=3, servers=9)
    placing = world.placing()
    for life in world.lives[:6]:
        world.crash(life)
    await world.run(HOLD.total_seconds() + 2.5)
    assert world.placing() == placing
    assert world.unheld() == 0
    assert_sound(world)


async def test_a_moment_without_answers_from_all_servers_does_not_cost_the_right():
    """Seen with demo/platform_run.py, seed 30: all grants unanswered at once, after 0.3 s.

    The next VM can't know how long the holds are, so a lost server's keys wait anew.
    """
    world = await settled_world(vms=3, servers=6)
    placing = world.placing()
    links = {(placing, life.entry.name) for life in world.lives}
    for _ in range(4):
        world.cut_links |= links
        await world.run(0.5)
        world.cut_links -= links
        await world.run(1.5)
        assert world.placing() == placing
    world.cut_links |= links
    await world.run(4)
    assert world.placing() not in ("", placing)
    assert world.unheld() == 0
    assert_sound(world)


async def test_renewals_without_answers_do_not_cost_the_right():
    world = await settled_world()
    placing = world.placing()
    world.lost_renewals = 0.4
    for _ in range(100):
        await world.run(0.1)
        assert world.placing() == placing
    assert_sound(world)


@pytest.mark.parametrize("seed", range(4))
async def test_orders_without_answers_take_few_keys_out_of_service(seed):
    """Three orders in ten get no answer and are carried out seconds later; all servers live."""
    world = await settled_world(seed, servers=12)
    world.late_orders = 0.3
    unheld = 0
    for _ in range(200):
        await world.run(0.1)
        unheld += world.unheld()
    assert unheld <= 0.02 * 200 * len(WATCHED)
    assert_sound(world)


async def test_keys_are_placed_although_most_servers_are_lost():
    """No VM reaches most owners, so each would leave the placing to another one."""
    world = await settled_world(servers=7)
    for life in world.lives[:5]:
        world.crash(life)
    await world.run(16)
    assert world.unheld() == 0
    assert_sound(world)


# Kinds of steps: the first ones, and all of them.
FIRST_KINDS = 12
ALL_KINDS = 15
STOP_KINDS = 16


def random_step(world: World, rng: random.Random, kinds: int = FIRST_KINDS) -> None:
    """Let one thing go wrong, or mend one."""
    alive = [life for life in world.lives if life.alive]
    choice = rng.randrange(kinds)
    if choice == 0 and len(alive) > 3:
        world.crash(rng.choice(alive), registered=rng.random() < 0.5)
    elif choice == 1 and len(alive) > 3:
        world.unregister(rng.choice(alive))
    elif choice == 2:
        dead = [life for life in world.lives if not life.alive]
        if dead:
            old = rng.choice(dead).entry
            in_use = {life.entry.port for life in alive}
            if old.port not in in_use:
                name = old.name if rng.random() < 0.5 else f"{old.name}x"
                if not any(life.entry.name == name for life in alive):
                    world.add_server(name, old.port)
    elif choice == 3 and len(alive) < 9:
        world.add_server(f"n{len(world.lives)}", 9000 + len(world.lives))
    elif choice == 4 and len(world.vms) > 1:
        world.kill_vm(rng.choice(sorted(world.vms)))
    elif choice == 5 and len(world.vms) < 3:
        world.start_vm(f"v{world.boots}")
    elif choice == 6 and world.placing():
        world.cut_from_store.add(world.placing())
    elif choice == 7:
        world.cut_from_store.clear()
        world.cut_links.clear()
        world.frozen.clear()
    elif choice == 8 and world.vms:
        world.cut_links.add((rng.choice(sorted(world.vms)), rng.choice(alive).entry.name))
    elif choice == 9:
        world.store.away = not world.store.away
    elif choice == 10:
        world.late_orders = rng.choice((0.0, 0.3))
    elif choice == 11:
        world.lost_writes = rng.choice((0.0, 0.4))
    elif choice == 12 and world.placing():
        world.frozen.add(world.placing())
    elif choice == 13 and world.frozen:
        world.frozen.remove(rng.choice(sorted(world.frozen)))
    elif choice == 14:
        world.lost_datagrams = rng.choice((0.0, 0.5))
    elif choice == 15 and world.placing() and world.placing() not in world.frozen:
        world.stop_vm(world.placing())


# Seeds that failed once: 2, a renewal reached a new server at an old address; 5, keys went to
# a server whose place another process had taken; 148, each VM left the placing to another.
@pytest.mark.parametrize("seed", [*range(16), 148])
async def test_random_histories_never_give_a_key_two_owners(seed):
    await play_history(seed, FIRST_KINDS)


@pytest.mark.parametrize("seed", range(12))
async def test_random_histories_with_frozen_vms_and_lost_datagrams(seed):
    await play_history(seed, ALL_KINDS)


@pytest.mark.parametrize("seed", range(12))
async def test_random_histories_with_planned_stops_of_the_leader(seed):
    await play_history(seed, STOP_KINDS)


async def play_history(seed: int, kinds: int) -> None:
    """Let things go wrong one after the other; then nothing, and all keys are served again."""
    world = await settled_world(seed)
    rng = random.Random(seed * 1000 + 7)
    for _ in range(40):
        random_step(world, rng, kinds)
        await world.run(rng.choice((0.1, 0.4, 1.0, 2.5)))
        assert_sound(world)
    world.store.away = False
    world.cut_from_store.clear()
    world.cut_links.clear()
    world.frozen.clear()
    world.late_orders = world.lost_writes = world.lost_datagrams = 0.0
    # The last VM may be stopping: seed 500 ended without any.
    while not all(stop.done() for stop in world.stops):
        await world.run(0.1)
    if not world.vms:
        world.start_vm("last")
    world.add_server("last", 9999)
    await world.run(30)
    assert world.unheld() == 0
    assert_sound(world)
