"""Asks backend servers for their health, to learn early that one is cold.

Only servers of services that limit the requests to cold servers are asked.  Each is asked by one
entry VM, over a connection that it also uses for requests; the others learn from its reports.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import structlog

from fireflylock.backend import ServerPool
from fireflylock.clock import Clock, Instant
from fireflylock.direct.key_ranges import Owner
from fireflylock.direct.log_budget import LogBudget
from fireflylock.direct.model import ServiceSpec
from fireflylock.direct.servers import Server, ServerTable
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import BytesBody, Request, read_all
from fireflylock.load_control.probe_schedule import Condition, ProbeSchedule, ProbeTarget
from fireflylock.load_control.slow_start import SlowStart
from fireflylock.metrics import StateMetric
from fireflylock.server_exchange import ServerDialect

# A server answers a health check at once, whatever it has to do.
ANSWER_TIMEOUT = timedelta(milliseconds=600)
MAX_ANSWER_BYTES = 4096
# Share of the requests that a cold server may get in a second from which a server counts as busy.
BUSY_SHARE = 0.7
# Which servers this VM asks is found out anew at this interval.
ASSIGNMENT_INTERVAL = timedelta(milliseconds=500)
# Log lines per second.
LOG_RATE = 2.0

log = structlog.get_logger()


class ServerProbes:
    """The health checks of this VM.

    Parameters
    ----------
    clock : Clock
        Source of time.
    table : ServerTable
        All servers.
    slow_start : SlowStart
        What is known about cold servers.
    is_prober : callable
        Returns whether this VM is the one that asks a server.
    pool_of : callable
        Returns the connections to a server.
    dialect_of : callable
        Returns how a server, given by name, answers health checks.

    Attributes
    ----------
    services : dict of str to ServiceSpec
        The services of the configuration, by name.
    may_probe : callable
        Returns whether a server may be asked at all.
    outcomes : Counter of str
        Health checks by outcome.
    """

    def __init__(
        self,
        clock: Clock,
        table: ServerTable,
        slow_start: SlowStart,
        is_prober: Callable[[Instant, Server], bool],
        pool_of: Callable[[Server, Owner], ServerPool],
        dialect_of: Callable[[str], ServerDialect],
    ) -> None:
        self.clock = clock
        self.table = table
        self.slow_start = slow_start
        self.is_prober = is_prober
        self.pool_of = pool_of
        self.dialect_of = dialect_of
        self.services: dict[str, ServiceSpec] = {}
        self.may_probe: Callable[[Server], bool] = lambda server: True
        self.schedule = ProbeSchedule()
        self.outcomes: Counter[str] = Counter()
        self.assigned: list[Server] = []
        self.assigned_at: Instant = timedelta(0)
        self.tasks: set[asyncio.Task] = set()
        self.log_budget = LogBudget(LOG_RATE, LOG_RATE)

    def step(self, now: Instant, vms: int) -> None:
        """Send the health checks that are due; `vms` is the number of entry VMs."""
        if not self.slow_start.terms:
            return
        loop = asyncio.get_running_loop()
        for name in self.schedule.start_due(now, self.targets(now), vms):
            server = self.table.servers[name]
            task = loop.create_task(self.probe(server, self.services[server.entry.service]))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def targets(self, now: Instant) -> list[ProbeTarget]:
        """Return the servers that this VM asks.

        The VM that usually asks a server may be the only one that can't reach it: another one
        that gets answers to requests there asks it too while it is suspect.
        """
        if now - self.assigned_at >= ASSIGNMENT_INTERVAL:
            self.assigned_at = now
            self.assigned = [s for s in self.table.servers.values() if self.is_prober(now, s)]
        asked = {server.name: server for server in self.assigned}
        for name, since in self.slow_start.suspects_since(now).items():
            server = self.table.servers.get(name)
            if server is not None and server.answered_at > since:
                asked[name] = server
        found = []
        for server in asked.values():
            terms = self.slow_start.terms.get(server.entry.service)
            if terms is None or server.gone or server.leaving_since is not None:
                continue
            if self.table.servers.get(server.name) is server and self.may_probe(server):
                condition = self.condition(now, server, terms.rate)
                found.append(ProbeTarget(server.name, server.entry.born, condition))
        return found

    def condition(self, now: Instant, server: Server, cold_rate: float) -> Condition:
        """Return what makes a server's health worth knowing."""
        if self.slow_start.is_suspect(now, server.name):
            return Condition.SUSPECT
        if self.slow_start.is_cold(server.name):
            return Condition.COLD
        speeds = self.table.speeds
        seconds = speeds.mean_cost(server.entry.service) * speeds.slowness(server.name)
        requests_per_second = server.request_count(now) / max(0.001, seconds)
        bound = cold_rate * self.slow_start.overshoot + self.slow_start.slack
        return Condition.BUSY if requests_per_second > BUSY_SHARE * bound else Condition.USUAL

    async def probe(self, server: Server, spec: ServiceSpec) -> None:
        """Ask one server; its answer reaches the others as those to requests do."""
        owner = Owner.of(server.entry)
        deadline = self.clock.elapsed() + ANSWER_TIMEOUT
        host = f"{server.entry.host}:{server.entry.port}".encode()
        request = Request(
            request_id="",
            service=spec.name,
            key="",
            customer="",
            method="GET",
            target=spec.health_path.encode(),
            headers=[(b"host", host)],
            body=BytesBody(),
            body_length=0,
            deadline=deadline,
            idempotent=True,
        )
        try:
            response = await self.pool_of(server, owner).exchange(
                request, [], lambda: None, self.dialect_of(server.name)
            )
            if await read_all(response.body, MAX_ANSWER_BYTES) is None:
                await response.body.close()
            self.outcomes["answered"] += 1
        except RequestError as error:
            self.record_failure(server, error)
        except Exception:
            self.outcomes["failed"] += 1
            log.exception("health check failed", server=server.name)
        finally:
            self.schedule.finished(owner.name, owner.born)

    def record_failure(self, server: Server, error: RequestError) -> None:
        """Record that a server did not answer: it may come back cold."""
        now = self.clock.elapsed()
        unreachable = error.kind is ErrorKind.SERVER_UNREACHABLE
        self.outcomes["unreachable" if unreachable else "failed"] += 1
        if unreachable:
            entry = server.entry
            shared = not self.slow_start.is_reached_by_others(now, entry.name)
            self.slow_start.suspect_unreachable(now, entry.name, entry.born, shared)
        if self.log_budget.allows(now, "failed"):
            log.info(
                "health check got no answer",
                server=server.name,
                service=server.entry.service,
                error=str(error),
                left_out=self.log_budget.take_omitted("failed"),
            )

    def metrics(self) -> list[StateMetric]:
        """Return the metrics of health checks."""
        return [
            StateMetric(
                "health_checks",
                "Health checks of backend servers by this VM.",
                ("outcome",),
                lambda: [((outcome,), count) for outcome, count in self.outcomes.items()],
                counts=True,
            ),
        ]

    def close(self) -> None:
        """Cancel the health checks in progress."""
        for task in self.tasks:
            task.cancel()
