"""Leases of the store that end early, against the simulated cluster: no key gets two owners."""

from dataclasses import replace
from datetime import timedelta

import pytest

from fireflylock.direct.grant_expiry import CLOCK_DRIFT
from tests.simulated_cluster import (
    SERVICE,
    TRACKED_KEYS,
    ServerProcess,
    SimulatedCluster,
    settled_cluster,
    started_cluster,
)

LONG_WORK = timedelta(seconds=30)
FIRST_BEAT = timedelta(milliseconds=800)


def end_all_leases(cluster: SimulatedCluster) -> None:
    """End all leases of the store at once, before their time."""
    for lease in list(cluster.store.leases):
        cluster.store.end(lease)


def keep_all_servers_at_work(cluster: SimulatedCluster) -> None:
    """Let every server work on the keys that it holds, for as long as it holds them."""
    for key in TRACKED_KEYS:
        for process in cluster.holders(key):
            cluster.start_work(process, key, LONG_WORK)


async def run_at_work(cluster: SimulatedCluster, seconds: float) -> None:
    """Advance the time while every server works on the keys that it holds."""
    end = cluster.clock.elapsed() + timedelta(seconds=seconds)
    while cluster.clock.elapsed() < end:
        keep_all_servers_at_work(cluster)
        await cluster.run(0.02)


def cut_off(cluster: SimulatedCluster, vm: str) -> None:
    """Let a VM and the others not hear each other."""
    others = [other for other in cluster.vms if other != vm]
    cluster.cut_links |= {(vm, other) for other in others} | {(other, vm) for other in others}


def cut_vms_apart(cluster: SimulatedCluster) -> None:
    """Let no VM hear another one."""
    for vm in cluster.vms:
        cut_off(cluster, vm)


async def test_keys_that_lapse_are_not_given_on_when_a_lease_of_the_store_ends_early():
    cluster = await settled_cluster()
    await cluster.run(12)
    # The leader grants keys for longer once its renewals are overdue.
    cluster.store.unavailable = True
    await cluster.run(1)
    cluster.store.unavailable = False
    cluster.cut_links |= {(vm, "s0") for vm in cluster.vms}
    await cluster.run(4)
    leader = cluster.leader()
    assert cluster.vms[leader].leadership.placers[SERVICE].map.lapsing
    cluster.kill_vm(leader)
    end_all_leases(cluster)
    await run_at_work(cluster, 16)
    assert cluster.unheld_keys() == 0
    assert cluster.violations == []


async def test_grants_of_a_leader_whose_lease_ended_early_count_until_it_stops():
    cluster = await settled_cluster()
    for process in cluster.processes:
        process.key_grants.drift = CLOCK_DRIFT
    await cluster.run(12)
    former = cluster.leader()
    cut_vms_apart(cluster)
    cluster.cut_links |= {(vm, "s0") for vm in cluster.vms if vm != former}
    await cluster.run(1)
    cluster.cut_from_store.add(former)
    end_all_leases(cluster)
    await run_at_work(cluster, 16)
    assert cluster.leader() not in ("", former)
    assert cluster.unheld_keys() == 0
    assert cluster.violations == []


async def test_a_leader_holds_its_lease_no_longer_than_the_store_has_granted_it():
    cluster = started_cluster()
    cluster.store.max_ttl = timedelta(seconds=1)
    while not cluster.leader():
        await cluster.run(0.02)
    leader_lease = cluster.vms[cluster.leader()].leadership.leader_lease
    _, end = cluster.store.leases[leader_lease.lease]
    assert leader_lease.held_until < end


def is_leader(cluster: SimulatedCluster, vm: str) -> bool:
    """Return whether a VM leads by its own clock."""
    return cluster.vms[vm].leadership.leader_lease.is_held(cluster.clock.elapsed())


async def two_leaders(cluster: SimulatedCluster) -> tuple[str, str]:
    """Return a leader whose lease has ended without its notice, and the next one."""
    former = cluster.leader()
    cut_vms_apart(cluster)
    await cluster.run(1)
    cluster.cut_from_store.add(former)
    end_all_leases(cluster)
    others = [vm for vm in cluster.vms if vm != former]
    while not any(is_leader(cluster, vm) for vm in others):
        await cluster.run(0.02)
    assert is_leader(cluster, former)
    return former, next(vm for vm in others if is_leader(cluster, vm))


async def move_keys_of_leaving_server(cluster: SimulatedCluster, vm: str) -> ServerProcess:
    """Let one VM alone, the leader, know that a server leaves; return the server without keys."""
    process = cluster.processes[0]
    entry = replace(process.entry, leaving=True)
    cluster.vms[vm].table.register(cluster.clock.elapsed(), entry)
    for _ in range(150):
        await cluster.run(0.02)
        if not any(map(process.key_grants.has_grant, TRACKED_KEYS)) and not cluster.unheld_keys():
            return process
    pytest.fail("the keys of a leaving server have not moved")


async def test_no_key_moves_before_a_former_leader_has_stopped():
    cluster = await settled_cluster()
    await cluster.run(12)
    former, new = await two_leaders(cluster)
    placers = cluster.vms[new].leadership.placers
    while SERVICE not in placers or placers[SERVICE].map is None:
        await cluster.run(0.02)
    first = placers[SERVICE].map.ranges[0]
    placers[SERVICE].start_migration(cluster.clock.elapsed(), first, "test", None)
    while is_leader(cluster, former):
        await cluster.run(0.02)
        assert placers[SERVICE].map.range_of(0).same_ownership(first)
    await cluster.run(2)
    assert not placers[SERVICE].map.range_of(0).same_ownership(first)
    assert cluster.unheld_keys() == 0


async def test_a_server_that_starts_again_beside_two_leaders_gets_no_keys_that_have_moved():
    cluster = await settled_cluster()
    await cluster.run(12)
    _, new = await two_leaders(cluster)
    process = await move_keys_of_leaving_server(cluster, new)
    cluster.crash(process)
    cluster.add_server("s0", process.entry.port, register_after=timedelta(seconds=1))
    await cluster.run(6)
    assert cluster.violations == []


async def test_a_leader_whose_lease_ended_early_does_not_bring_back_an_old_map_after_a_restore():
    cluster = await settled_cluster()
    await cluster.run(12)
    cluster.store.save_copy()
    former, new = await two_leaders(cluster)
    await move_keys_of_leaving_server(cluster, new)
    cluster.store.restore()
    cluster.cut_from_store.discard(former)
    await cluster.run(6)
    assert cluster.violations == []


async def test_a_server_that_starts_again_takes_no_grant_of_a_leader_whose_lease_ended_early():
    cluster = await settled_cluster()
    await cluster.run(12)
    former = cluster.leader()
    others = [vm for vm in cluster.vms if vm != former]
    cut_off(cluster, former)
    cluster.cut_from_store.add(former)
    end_all_leases(cluster)
    while not any(is_leader(cluster, vm) for vm in others):
        await cluster.run(0.02)
    leaving = cluster.processes[0]
    leaving.entry = replace(leaving.entry, leaving=True)
    for vm in others:
        cluster.vms[vm].table.register(cluster.clock.elapsed(), leaving.entry)
    while any(leaving in cluster.holders(key) for key in TRACKED_KEYS):
        await cluster.run(0.02)
    # What it was asked to give up, and under which epoch, is lost with its process.
    cluster.crash(leaving)
    cluster.add_server(leaving.entry.name, leaving.entry.port, register_after=FIRST_BEAT)
    await run_at_work(cluster, 16)
    assert cluster.unheld_keys() == 0
    assert cluster.violations == []
