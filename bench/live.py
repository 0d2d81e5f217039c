"""Recovery in real processes: how long a key is unavailable after a loss, and what broke.

One small deployment runs on loopback; keys are read every 20 ms while servers and gates are
lost, paused and drained one after the other.
"""

import argparse
import asyncio
import signal
import tempfile
import time
from pathlib import Path

from bench.figures import Figures
from demo import traffic
from demo.deployment import PLANS
from demo.report import attempts_of, longest_gap
from demo.run import Run

LITORAL = PLANS[0]
SERVICE = "mesa-pedidos"
RATE = 40.0
# Between two faults: longer than a recovery, its takeover and the list of VMs.
SETTLE_SECONDS = 4.0
PAUSE_SECONDS = 2.0
FAULTS = ("lost backend server", "paused gate", "lost gate", "drained backend server")
TARGET_SECONDS = 1.0
PROBE_SECONDS = 0.02


class LiveRun(Run):
    """Loses, pauses and drains in turn what serves one key."""

    def __init__(self, folder: Path, seed: int) -> None:
        seconds = (len(FAULTS) + 1) * SETTLE_SECONDS
        super().__init__(LITORAL, folder, seconds, RATE, seed, say=lambda _line: None)
        self.events: list[tuple[str, str, float]] = []

    async def disturb(self) -> None:
        """Play every fault against the owner or the gate of a key of its own."""
        await asyncio.sleep(SETTLE_SECONDS)
        for number, fault in enumerate(FAULTS):
            key = f"key-{number}"
            owner = self.owner(key)
            self.events.append((fault, key, time.monotonic()))
            await self.play(fault, owner)
            await asyncio.sleep(SETTLE_SECONDS)

    def owner(self, key: str) -> dict:
        """Return who owns a key, and the gate."""
        vm = next(one for one in self.deployment.vms() if one.name not in self.processes.killed)
        return self.client(vm.admin_address).get("services", SERVICE, "owner", key=key)

    async def play(self, fault: str, owner: dict) -> None:
        """Make one fault happen."""
        if fault == "lost backend server":
            self.processes.kill(owner["server"])
        elif fault == "paused gate":
            process = self.processes.running[owner["gate"]]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSE_SECONDS)
            process.send_signal(signal.SIGCONT)
        elif fault == "lost gate":
            self.processes.kill(owner["gate"])
        else:
            await self.tool("drain", owner["server"])
            self.drained = owner["server"]

    def check(self) -> None:
        """Check the logs for the server that was drained in this run."""
        self.drained_ns = time.monotonic_ns()
        super().check()


def run(argv: list[str] | None = None) -> Figures:
    """Run the faults and return the figures."""
    parser = argparse.ArgumentParser(prog="python -m bench live", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="decides the traffic")
    options = parser.parse_args(argv or [])
    traffic.PROBE_SECONDS = PROBE_SECONDS
    with tempfile.TemporaryDirectory(prefix="fireflylock-live-") as folder:
        live = LiveRun(Path(folder) / LITORAL.name, options.seed)
        asyncio.run(live.run())
    return figures_of(live)


def figures_of(live: LiveRun) -> Figures:
    """Return what one run showed."""
    figures = Figures()
    attempts = attempts_of(live.traffic.probes)
    ends = [at for _, _, at in live.events[1:]] + [float("inf")]
    for (fault, key, at), end in zip(live.events, ends, strict=True):
        tries = [
            one
            for one in attempts
            if (one.service, one.key) == (SERVICE, key) and at - 0.1 <= one.started < end
        ]
        seconds, _ = longest_gap(tries)
        slowest = max((one.ended - one.started for one in tries), default=0.0)
        figures.at_most(f"{fault}: unavailable", seconds, "s", TARGET_SECONDS)
        figures.add(f"{fault}: slowest try of the key", slowest, "s")
    findings = live.findings
    figures.at_most("most owners of a key at a moment", findings.most_owners, "servers", 1)
    figures.at_most("most runs of an order", findings.most_runs, "runs", 1)
    figures.at_most("rules broken", len(findings.broken), "rules", 0)
    return figures
