"""Runs real entry VM processes for a few seconds among stand-ins of the platform, with faults.

The test compares what servers have run with what callers were told, and checks no durations;
``python -m demo --only platform`` also checks the recovery, and accepts other seeds.
"""

import pytest

from demo.platform_run import PlatformRun

SECONDS = 6.0
CALM = 2.0
CALLS_PER_SECOND = 40.0


@pytest.mark.parametrize("seed", [1, 2])
async def test_all_guarantees_hold_under_faults(seed, tmp_path):
    messages = []
    run = PlatformRun(tmp_path, SECONDS, CALLS_PER_SECOND, seed, calm=CALM, say=messages.append)
    outcome = await run.run()
    assert outcome.broken == [], "\n".join(messages)
    assert outcome.served
    assert any(limited.arrivals() for limited in outcome.limited)
    assert sum(outcome.faults.values()) >= 3
    assert all(process.poll() is not None for process in run.processes.running.values())
