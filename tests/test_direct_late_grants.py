"""Grants that wait in the queue of their machine's link, against the simulated cluster."""

from datetime import timedelta

import pytest

from fireflylock.direct.grant_expiry import CLOCK_DRIFT
from fireflylock.direct.key_ranges import Owner
from tests.simulated_cluster import TRACKED_KEYS, settled_cluster


@pytest.mark.parametrize("delay", [0.2, 1.0])
async def test_a_grant_that_waits_in_a_queue_counts_from_its_arrival(delay):
    cluster = await settled_cluster()
    for process in cluster.processes:
        process.key_grants.drift = CLOCK_DRIFT
    await cluster.run(12)
    process = cluster.processes[0]
    for name, vm in cluster.vms.items():
        if name != cluster.leader():
            vm.leadership.control.reset_connections.add(Owner.of(process.entry))
    cluster.queue_delays[cluster.leader()] = timedelta(seconds=delay)
    await cluster.run(delay)
    before = max(process.hold_ends.values())
    while max(process.hold_ends.values()) == before:
        await cluster.run(0.02)
    cluster.cut_links |= {(vm, process.entry.name) for vm in cluster.vms}
    cluster.queue_delays.clear()
    for key in TRACKED_KEYS:
        cluster.start_work(process, key, timedelta(seconds=30))
    await cluster.run(16)
    assert cluster.unheld_keys() == 0
    assert cluster.violations == []
