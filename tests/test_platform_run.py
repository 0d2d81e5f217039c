"""Runs real entry VMs among stand-ins of the users' platform for a moment, with faults.

The verdict comes from what servers have run and callers were told, not from how long it took;
``python -m demo --only platform`` also judges the recovery, and takes other seeds.
"""

import pytest

from demo.platform_run import PlatformRun

SECONDS = 6.0
CALM = 2.0
CALLS_PER_SECOND = 40.0


@pytest.mark.parametrize("seed", [1, 2])
async def test_all_guarantees_hold_under_faults(seed, tmp_path):
    said = []
    run = PlatformRun(tmp_path, SECONDS, CALLS_PER_SECOND, seed, calm=CALM, say=said.append)
    outcome = await run.run()
    assert outcome.broken == [], "\n".join(said)
    assert outcome.served
    assert sum(outcome.faults.values()) >= 3
    assert all(process.poll() is not None for process in run.processes.running.values())
