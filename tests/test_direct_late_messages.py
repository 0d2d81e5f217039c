"""Messages between VMs that arrive late, against the simulated cluster: no key gets two owners."""

from datetime import timedelta

import pytest

from tests.simulated_cluster import TRACKED_KEYS, settled_cluster


@pytest.mark.parametrize("delay", [2.0, 5.0])
async def test_a_vm_that_hears_the_last_leader_late_takes_no_old_map_for_the_latest(delay):
    """The queue of its link is lost with the leader, just as the store is restored."""
    cluster = await settled_cluster()
    await cluster.run(12)
    cluster.store.save_copy()
    late = next(name for name in cluster.vms if name != cluster.leader())
    cluster.message_delays[late] = timedelta(seconds=delay)
    await cluster.run(7)
    process = cluster.processes[0]
    cluster.cut_links |= {(vm, process.entry.name) for vm in cluster.vms}
    while process in cluster.holders(TRACKED_KEYS[0]) or cluster.unheld_keys():
        await cluster.run(0.02)
    for name in set(cluster.vms) - {late}:
        cluster.kill_vm(name)
    cluster.messages.clear()
    cluster.store.restore()
    cluster.cut_links.clear()
    leadership = cluster.vms[late].leadership
    leadership.start_task(leadership.fetch_maps())
    await cluster.run(25)
    assert cluster.unheld_keys() == 0
    assert cluster.violations == []
