"""Leases of the store that end early, against the simulated cluster: no key gets two owners."""

from dataclasses import replace
from datetime import timedelta

from fireflylock.direct.grant_expiry import CLOCK_DRIFT
from tests.simulated_cluster import (
    SERVICE,
    TRACKED_KEYS,
    SimulatedCluster,
    settled_cluster,
)

LONG_WORK = timedelta(seconds=30)


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


def cut_vms_apart(cluster: SimulatedCluster) -> None:
    """Let no VM hear another one."""
    cluster.cut_links |= {
        (vm, other) for vm in cluster.vms for other in cluster.vms if other != vm
    }


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


async def test_a_leader_whose_lease_ended_early_is_not_taken_for_the_last_one_at_a_restore():
    """Another VM has led since, and released keys of a leaving server to others."""
    cluster = await settled_cluster()
    await cluster.run(12)
    cluster.store.save_copy()
    former = cluster.leader()
    others = [name for name in cluster.vms if name != former]
    cut_vms_apart(cluster)
    await cluster.run(1)
    cluster.cut_from_store.add(former)
    end_all_leases(cluster)
    leaving = cluster.processes[0]
    leaving.entry = replace(leaving.entry, leaving=True)
    for name in others:
        cluster.vms[name].table.register(cluster.clock.elapsed(), leaving.entry)
    while any(leaving in cluster.holders(key) for key in TRACKED_KEYS) or cluster.unheld_keys():
        await cluster.run(0.02)
    assert cluster.vms[former].leadership.leader_lease.is_held(cluster.clock.elapsed())
    for name in others:
        cluster.kill_vm(name)
    cluster.store.restore()
    cluster.cut_from_store.clear()
    await cluster.run(25)
    assert cluster.unheld_keys() == 0
    assert cluster.violations == []
