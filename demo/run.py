"""One deployment from its start to its closing table."""

import asyncio
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path

from demo.caller import ANSWERED, NOT_RUN, Balancer
from demo.deployment import CALLERS_PORT, PLATFORM_PORT, Deployment, Plan
from demo.invariants import Findings, check_drained, check_logs
from demo.processes import Processes, wait_for_port
from demo.report import attempts_of, differing_answers, format_report, wrong_answers
from demo.traffic import Traffic
from fireflylock.client import AdminClient, AdminError, AdminUnreachableError

START_SECONDS = 20.0
OWNED_SECONDS = 30.0
# How long the platform's list of VMs lags behind a loss.
LIST_LAG_SECONDS = 1.0
# A leaving backend server gets no new work after so long.
DRAIN_SECONDS = 3.0


class DemoError(Exception):
    """The demo cannot go on."""


class Run:
    """Runs one deployment.

    Parameters
    ----------
    plan : Plan
        What to run.
    folder : Path
        Where logs and settings go.
    seconds : float
        Length of the traffic.
    rate : float
        Calls per second.
    seed : int
        Decides the traffic.
    say : callable
        Prints progress.
    """

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        seconds: float,
        rate: float,
        seed: int,
        say: Callable[[str], None] = print,
    ) -> None:
        self.plan = plan
        self.seconds = seconds
        self.say = say
        self.deployment = Deployment(plan, folder)
        self.processes = Processes(folder)
        self.lost: set[str] = set()
        self.findings = Findings()
        self.drained_ns = 0
        addresses = [vm.admin_address.rpartition(":")[0] for vm in self.deployment.vms()]
        balancer = Balancer(addresses, CALLERS_PORT)
        self.traffic = Traffic(balancer, self.deployment.configuration, rate, seed)

    async def run(self) -> Findings:
        """Run everything and return what the execution logs show."""
        try:
            await self.start()
            before = self.owners()
            await asyncio.gather(self.traffic.run(self.seconds), self.disturb())
            moved = self.count_moved(before)
        finally:
            self.end()
        self.check()
        self.say("\n" + format_report(self.plan.name, self.traffic, self.findings, moved))
        return self.findings

    async def stay(self) -> None:
        """Start everything and leave it running until interrupted."""
        try:
            await self.start()
            self.say(self.invitation())
            await asyncio.Event().wait()
        finally:
            self.end()

    def invitation(self) -> str:
        """Return what callers and operators can type while everything runs."""
        vm = self.deployment.vms()[0]
        callers = f"http://{vm.admin_address.rpartition(':')[0]}:{CALLERS_PORT}"
        services = self.deployment.configuration.services
        few, many = sorted(self.plan.servers, key=self.plan.servers.__getitem__)
        read = f"{callers}{services[few].path_prefix}"
        order = f"{callers}{services[many].path_prefix}/orders"
        return "\n".join(
            (
                "\nCallers:",
                f"  curl -i -H 'X-Key: molino' {read}/state",
                f"  curl -i -H 'X-Key: molino' -H 'Idempotency-Key: order-1' -d sacks {order}",
                f"  curl -o /dev/null -H 'X-Key: molino' '{read}/blob?bytes=100000000'",
                "Operators:",
                f"  export PATH={Path(sys.executable).parent}:$PATH",
                f"  export FIREFLYLOCK_ADMIN={vm.admin_address}",
                f"  export FIREFLYLOCK_TOKEN_FILE={self.deployment.token_file}",
                "  fireflylock status",
                "Ctrl-C ends everything.",
            )
        )

    def end(self) -> None:
        """End everything that was started."""
        self.processes.stop(first=[vm.name for vm in self.deployment.vms()])
        self.deployment.close()

    async def start(self) -> None:
        """Start all processes and apply the sheet."""
        deployment = self.deployment
        self.processes.start(
            "platform",
            "standins.platform",
            *("--host", deployment.platform, "--port", str(PLATFORM_PORT)),
        )
        await self.await_port("platform", deployment.platform, PLATFORM_PORT)
        await self.publish_vms()
        for server in deployment.configuration.servers.values():
            self.start_server(server.name)
        for vm in deployment.vms():
            settings = deployment.settings(vm.name)
            self.processes.start(vm.name, "fireflylock.daemon", "--config", str(settings))
        for server in deployment.configuration.servers.values():
            await self.await_port(server.name, server.host, server.port)
        for vm in deployment.vms():
            host, _, port = vm.admin_address.rpartition(":")
            await self.await_port(vm.name, host, int(port))
        counts = ", ".join(f"{count} {name}" for name, count in self.plan.servers.items())
        zones = len({vm.zone for vm in deployment.vms()})
        self.say(
            f"{self.plan.name}: platform stand-in, {len(deployment.vms())} entry VMs in {zones} "
            f"zones, backend servers: {counts}; on {deployment.network}.0.0/16"
        )
        await self.tool("sheet", "apply", str(deployment.sheet), "--summary", "demo")
        await self.await_owners()

    def start_server(self, name: str) -> None:
        """Start one backend server stand-in."""
        configuration = self.deployment.configuration
        server = configuration.servers[name]
        service = configuration.services[server.service]
        options = {
            "--name": name,
            "--service": service.name,
            "--host": server.host,
            "--port": str(server.port),
            "--checks-grants": "yes" if service.checks_grants else "no",
            "--concurrency": str(service.concurrency_limit),
            "--connections": str(service.connection_limit),
            "--service-time-ms": str(self.plan.service_time_ms[service.name]),
            "--log": str(self.deployment.execution_log(name)),
        }
        arguments = [word for option in options.items() for word in option]
        self.processes.start(name, "standins.backend_server", *arguments)

    async def await_port(self, name: str, host: str, port: int) -> None:
        """Wait until a process accepts connections."""
        if await wait_for_port(host, port, START_SECONDS):
            return
        raise DemoError(f"{name} does not accept connections:\n{self.processes.tail(name)}")

    async def await_owners(self) -> None:
        """Wait until every unit has an owner on every entry VM."""
        started = time.monotonic()
        while time.monotonic() - started < OWNED_SECONDS:
            try:
                ready = all(self.is_ready(vm.admin_address) for vm in self.deployment.vms())
            except (AdminError, AdminUnreachableError):
                ready = False
            if ready:
                self.say(f"  every key has an owner after {time.monotonic() - started:.1f} s")
                return
            await asyncio.sleep(0.2)
        ended = "; ".join(self.processes.ended())
        raise DemoError(f"no owner for every key after {OWNED_SECONDS:g} s. {ended}")

    def client(self, admin_address: str) -> AdminClient:
        """Return a client of one entry VM's admin API."""
        return AdminClient(admin_address, self.deployment.token)

    def is_ready(self, admin_address: str) -> bool:
        """Return whether an entry VM can serve every key."""
        status = self.client(admin_address).get("status")
        services = status["services"]
        owned = all(not service["units_without_owner"] for service in services)
        return status["ready"] and len(services) == len(self.plan.servers) and owned

    def owners(self) -> dict[str, dict[str, int]]:
        """Return the units per backend server, by service."""
        for vm in self.deployment.vms():
            if vm.name in self.processes.killed:
                continue
            services = self.client(vm.admin_address).get("services")["services"]
            return {service["name"]: service["units"] for service in services}
        raise DemoError("no entry VM is left")

    def count_moved(self, before: dict[str, dict[str, int]]) -> int:
        """Return how many units backend servers lost since `before`, at least."""
        moved = 0
        after = self.owners()
        for service, units in before.items():
            for server, count in units.items():
                moved += max(0, count - after[service].get(server, 0))
        return moved

    async def disturb(self) -> None:
        """Lose a backend server and an entry VM, and drain another server."""
        plan = self.plan
        await asyncio.sleep(self.seconds * 0.2)
        self.say(f"  kill -9 backend server {plan.lost_server}")
        await self.lose(plan.lost_server, self.deployment.configuration.servers)
        await asyncio.sleep(self.seconds * 0.25)
        self.say(f"  kill -9 entry VM {plan.lost_vm}")
        await self.lose(plan.lost_vm, self.deployment.configuration.vms)
        await asyncio.sleep(self.seconds * 0.2)
        self.say(f"  drain backend server {plan.drained_server}")
        await self.tool("drain", plan.drained_server)
        self.drained_ns = time.monotonic_ns()

    async def lose(self, name: str, known) -> None:
        """Kill a process; the platform's list shows it a little later."""
        self.processes.kill(name)
        await asyncio.sleep(LIST_LAG_SECONDS)
        self.lost.add(getattr(known[name], "vm", name))
        await self.publish_vms()

    async def publish_vms(self) -> None:
        """Tell the platform stand-in which VMs there are."""
        rows = self.deployment.platform_rows(self.lost)
        client = AdminClient(f"{self.deployment.platform}:{PLATFORM_PORT}")
        data = json.dumps(rows).encode()
        status, answer = await asyncio.to_thread(client.exchange, "POST", "/standin/vms", data)
        if status != 200:
            raise DemoError(f"the platform stand-in refused the list of VMs: {answer!r}")

    async def tool(self, *arguments: str) -> None:
        """Run the operators' tool as an operator would."""
        for vm in self.deployment.vms():
            if vm.name not in self.processes.killed:
                break
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "fireflylock.cmdline", *arguments, "--admin", vm.admin_address),
            *("--token-file", str(self.deployment.token_file)),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            output, _ = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
        text = output.decode().rstrip().replace("\n", "\n    ")
        self.say(f"  $ fireflylock {' '.join(arguments)}\n    {text}")
        if process.returncode != 0:
            raise DemoError(f"the tool ended with status {process.returncode}")

    def check(self) -> None:
        """Check everything that must always hold."""
        attempts = attempts_of(self.traffic.calls) + attempts_of(self.traffic.probes)
        with (self.deployment.folder / "attempts.jsonl").open("w", encoding="utf-8") as file:
            for attempt in attempts:
                file.write(json.dumps(vars(attempt)) + "\n")
        not_run = [attempt.request_id for attempt in attempts if attempt.outcome == NOT_RUN]
        answered = {attempt.order for attempt in attempts if attempt.outcome == ANSWERED} - {""}
        servers = self.deployment.configuration.servers
        logs = [self.deployment.execution_log(name) for name in servers]
        self.findings = check_logs(logs, not_run, answered)
        since_ns = self.drained_ns + round(DRAIN_SECONDS * 1e9)
        check_drained(self.findings, self.plan.drained_server, since_ns)
        self.findings.broken.extend(wrong_answers(attempts))
        self.findings.broken.extend(differing_answers(self.traffic.calls))
        self.findings.broken.extend(self.processes_that_failed())
        if not answered:
            self.findings.broken.append("Not one order was answered.")

    def processes_that_failed(self) -> list[str]:
        """Return a sentence for each process that did not end as it should."""
        found = []
        for name, process in self.processes.running.items():
            if name in self.processes.killed or process.returncode in (0, -15):
                continue
            found.append(f"Process {name} ended with status {process.returncode}.")
        return found
