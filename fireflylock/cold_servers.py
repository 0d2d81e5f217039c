"""Connects the slow start of cold backend servers to the rest of an entry VM's process."""

from datetime import timedelta

import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.direct.key_ranges import Owner
from fireflylock.direct.log_budget import LogBudget
from fireflylock.direct.model import Bounds, ServerEntry, ServiceSpec
from fireflylock.direct.servers import ServerTable
from fireflylock.load_control.slow_start import ColdListener, ColdTerms, SlowStart
from fireflylock.metrics import StateMetric

# Log lines per second about servers that become cold or warm.
LOG_RATE = 5.0

log = structlog.get_logger()


class ColdServers(ColdListener):
    """Feeds slow start with what this VM reads, and puts the limits into effect.

    Parameters
    ----------
    clock : Clock
        Source of time.
    table : ServerTable
        All servers.
    bounds : Bounds
        The deployment's bounds.

    Attributes
    ----------
    slow_start : SlowStart
        Which servers are cold.
    """

    def __init__(self, clock: Clock, table: ServerTable, bounds: Bounds) -> None:
        self.clock = clock
        self.table = table
        self.slow_start = SlowStart(self, bounds.cold_overshoot, bounds.cold_slack)
        self.log_budget = LogBudget(LOG_RATE, LOG_RATE)
        table.on_registered = self.server_registered

    def apply_services(self, services: dict[str, ServiceSpec]) -> None:
        """Apply what the services of a configuration say about cold servers."""
        terms = {
            name: ColdTerms(spec.cold_rate, spec.cold_time)
            for name, spec in services.items()
            if spec.cold_rate is not None
        }
        self.slow_start.apply_terms(self.clock.elapsed(), terms)

    def server_registered(
        self, now: Instant, entry: ServerEntry, just_written: bool, returned: bool
    ) -> None:
        """Handle a server's registration."""
        self.slow_start.apply_registration(
            now,
            entry.name,
            entry.born,
            entry.service,
            entry.cold_remaining,
            just_written,
            returned,
        )

    def server_stated(self, owner: Owner, remaining: timedelta, asked_at: Instant) -> None:
        """Handle how much longer a server stays cold, as it has said itself."""
        now = self.clock.elapsed()
        self.slow_start.record_health(now, owner.name, owner.born, remaining, asked_at)

    def server_unreachable(self, owner: Owner) -> None:
        """Handle a failed connection to a server."""
        self.slow_start.suspect_unreachable(self.clock.elapsed(), owner.name, owner.born)

    def cold_limit_changed(
        self, now: Instant, name: str, rate: float | None, starting: bool, cause: str
    ) -> None:
        """Put the limit of a server that has become cold or warm into effect, and log it."""
        self.table.set_cold_limit(now, name, rate, starting)
        event = "server is warm" if rate is None else "server is cold"
        if self.log_budget.allows(now, event):
            log.info(
                event,
                server=name,
                rate=rate,
                starting=starting,
                cause=cause,
                cold_servers=len(self.table.cold_limits),
                left_out=self.log_budget.take_omitted(event),
            )

    def tidy(self) -> None:
        """Forget servers that are gone."""
        self.slow_start.tidy(self.table.servers)

    def metrics(self) -> list[StateMetric]:
        """Return the metrics of cold servers."""
        return [
            StateMetric(
                "cold_server_request_rate",
                "Requests a second that a cold backend server may get from all VMs together.",
                ("server",),
                lambda: [((name,), rate) for name, rate in self.table.cold_limits.items()],
            ),
            StateMetric(
                "servers_turned_cold",
                "How often backend servers were taken to be cold, by what said so first.",
                ("cause",),
                lambda: [((cause,), n) for cause, n in self.slow_start.turned_cold.items()],
                counts=True,
            ),
        ]
