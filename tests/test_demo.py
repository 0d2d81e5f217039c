"""Runs the demo for a moment: the whole path in separate processes, with its losses.

The verdict comes from the backend servers' execution logs and from the callers' answers; it
does not depend on how long anything took.
"""

from demo.deployment import PLANS
from demo.run import Run

SECONDS = 2.0
CALLS_PER_SECOND = 60.0


async def test_every_rule_holds_while_servers_and_entry_vms_are_lost(tmp_path):
    said = []
    folder = tmp_path / "litoral"
    run = Run(PLANS[0], folder, SECONDS, CALLS_PER_SECOND, seed=1, say=said.append)
    findings = await run.run()
    assert findings.broken == [], "\n".join(said)
    assert findings.most_runs == 1
    assert findings.most_owners == 1
    assert all(process.poll() is not None for process in run.processes.running.values())
