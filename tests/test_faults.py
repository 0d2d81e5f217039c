"""Faults in real processes: the backend servers' own logs must show no violated invariant.

The checks use execution logs and answers, not times, so that a slow machine changes no result.
"""

import asyncio
import json
import signal
import uuid
from pathlib import Path

import pytest

from demo.caller import UNKNOWN
from demo.deployment import PLANS, PLATFORM_PORT, Plan
from demo.invariants import Findings
from demo.report import attempts_of
from demo.run import Run
from fireflylock.client import AdminClient, AdminError

LITORAL, ZA_SOUTH = PLANS
SECONDS = 6.0
RATE = 60.0


class FaultRun(Run):
    """A deployment with traffic, during which one scenario runs."""

    def __init__(self, plan: Plan, folder: Path, seed: int, scenario) -> None:
        self.lines: list[str] = []
        super().__init__(plan, folder, SECONDS, RATE, seed, say=self.lines.append)
        self.scenario = scenario
        # No server is drained.
        self.drained_ns = 1 << 62

    async def disturb(self) -> None:
        """Run the scenario."""
        await asyncio.sleep(1.0)
        await self.scenario(self)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self.processes.running[name].send_signal(number)

    async def suspend(self, name: str, seconds: float) -> None:
        """Suspend a process for a while; it resumes without noticing."""
        self.signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(name, signal.SIGCONT)

    async def platform(self, mode: str, **settings) -> None:
        """Set the fault mode of the platform stand-in."""
        client = AdminClient(f"{self.deployment.platform}:{PLATFORM_PORT}")
        data = json.dumps({"mode": mode, **settings}).encode()
        status, answer = await asyncio.to_thread(client.exchange, "POST", "/standin/faults", data)
        assert status == 200, answer

    def gate_of(self, server: str) -> str:
        """Return the entry VM that is the gate of a backend server."""
        service = self.deployment.configuration.servers[server].service
        for vm in self.deployment.vms():
            detail = self.client(vm.admin_address).get("services", service)
            for row in detail["servers"]:
                if row["name"] == server:
                    return row["gate"]
        raise AssertionError(f"{server} has no gate")

    def restart_daemon(self, vm: str) -> None:
        """Start a daemon that was killed, under the same name."""
        settings = self.deployment.folder / f"{vm}.ini"
        self.processes.killed.discard(vm)
        self.processes.start(vm, "fireflylock.daemon", "--config", str(settings))


async def frozen_server(run: FaultRun) -> None:
    """Suspend a backend server until it loses its keys; it resumes believing it owns them."""
    await run.suspend(run.plan.lost_server, 2.0)


async def paused_gate(run: FaultRun) -> None:
    """Suspend an entry VM for longer than its sessions last."""
    await run.suspend(run.gate_of(run.plan.lost_server), 2.0)


async def restarted_gate(run: FaultRun) -> None:
    """Kill a daemon and start it again under its name, with nothing in memory."""
    vm = run.gate_of(run.plan.lost_server)
    run.processes.kill(vm)
    await asyncio.sleep(1.0)
    run.restart_daemon(vm)


async def platform_away_and_gate_lost(run: FaultRun) -> None:
    """Make the platform unavailable, and lose a gate for good during the outage."""
    vm = run.gate_of(run.plan.lost_server)
    await run.platform("down")
    await asyncio.sleep(1.0)
    run.processes.kill(vm)
    await asyncio.sleep(2.0)
    await run.platform("up")


async def lost_answers_and_server_lost(run: FaultRun) -> None:
    """Lose the platform's answers to writes while a server's keys get new owners."""
    await run.platform("up", lose_next=3)
    run.processes.kill(run.plan.lost_server)
    await asyncio.sleep(2.5)


async def server_and_gate_lost(run: FaultRun) -> None:
    """Lose a backend server and its gate together."""
    vm = run.gate_of(run.plan.lost_server)
    run.processes.kill(run.plan.lost_server)
    run.processes.kill(vm)
    await asyncio.sleep(1.0)
    run.lost |= {vm, run.deployment.configuration.servers[run.plan.lost_server].vm}
    await run.publish_vms()


async def stopped_gate(run: FaultRun) -> None:
    """Stop the gate of a busy server gracefully while its requests run."""
    vm = run.gate_of(run.plan.lost_server)
    run.signal(vm, signal.SIGTERM)
    await asyncio.to_thread(run.processes.running[vm].wait)
    assert run.processes.running[vm].returncode == 0


async def racing_operators(run: FaultRun) -> None:
    """Let two operators change the same version; exactly one is refused."""
    first, second = [vm.admin_address for vm in run.deployment.vms()][:2]
    base = run.client(first).get("status")["configuration_version"]
    sheet = run.deployment.sheet.read_text("utf-8")
    answers = await asyncio.gather(
        asyncio.to_thread(apply, run, first, sheet.replace(",10 min", ",9 min"), base),
        asyncio.to_thread(apply, run, second, sheet.replace(",10 min", ",8 min"), base),
    )
    assert sorted(answers) == ["accepted", "stale-version"]


def apply(run: FaultRun, admin: str, sheet: str, base: int) -> str:
    """Apply a sheet against a version; return "accepted" or the kind of error."""
    try:
        change = {"sheet": sheet, "expected_version": base, "change_id": uuid.uuid4().hex}
        run.client(admin).post("sheet", "apply", **change)
    except AdminError as error:
        return error.kind
    return "accepted"


SCENARIOS = [
    (LITORAL, frozen_server),
    (LITORAL, paused_gate),
    (LITORAL, restarted_gate),
    (ZA_SOUTH, platform_away_and_gate_lost),
    (ZA_SOUTH, lost_answers_and_server_lost),
    (ZA_SOUTH, server_and_gate_lost),
    (ZA_SOUTH, racing_operators),
]


@pytest.mark.parametrize(
    ("plan", "scenario"), SCENARIOS, ids=lambda value: getattr(value, "__name__", "")
)
async def test_no_rule_is_broken(tmp_path, plan, scenario):
    run = FaultRun(plan, tmp_path / plan.name, seed=7, scenario=scenario)
    findings: Findings = await run.run()
    assert findings.broken == [], "\n".join(run.lines)
    assert findings.most_runs == 1
    assert findings.most_owners == 1


async def test_a_graceful_stop_interrupts_no_request(tmp_path):
    run = FaultRun(LITORAL, tmp_path / LITORAL.name, seed=7, scenario=stopped_gate)
    findings = await run.run()
    assert findings.broken == [], "\n".join(run.lines)
    calls = [*run.traffic.calls, *run.traffic.probes]
    outcomes = {attempt.outcome for attempt in attempts_of(calls)}
    assert UNKNOWN not in outcomes, "\n".join(run.lines)
