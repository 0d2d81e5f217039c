"""Load reports: the counters of a gate, and the state that a planner keeps from reports."""

import math
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.assignment import Assignment, hash_slot
from fireflylock.clock import Instant
from fireflylock.gate import Gate
from fireflylock.hot_keys import HotKeyCounter
from fireflylock.messages import LoadReport
from fireflylock.model import BackendServer, Configuration, ServerState, Service
from fireflylock.planning import LoadView, ServerView, expected_hot_keys
from fireflylock.unit_loads import UnitLoads

MAX_REPORTED_HOT_KEYS = 20
# Older reports are ignored.
REPORT_TTL = timedelta(seconds=30)
# Without a report for this long, a session counts as lost.  Gates report every few seconds,
# and at once when a session opens or ends.
SESSION_LOST_AFTER = timedelta(seconds=12)
SECOND = timedelta(seconds=1)


class GateLoadCounter:
    """Counts the requests of one gate between two reports.

    Parameters
    ----------
    now : timedelta
        When counting starts.
    """

    def __init__(self, now: Instant) -> None:
        self.started_at = now
        self.units: Counter[int] = Counter()
        self.hot_keys = HotKeyCounter(now)
        self.reported_refusals = 0

    def count(self, now: Instant, key: str, unit: int) -> None:
        """Count one request."""
        self.units[unit] += 1
        self.hot_keys.add(now, key)

    def report(self, now: Instant, gate: Gate) -> LoadReport:
        """Return the report of the time since the last one, and reset the counts."""
        period = max(now - self.started_at, timedelta(milliseconds=1))
        units = {unit: count / (period / SECOND) for unit, count in self.units.items()}
        refused = gate.refused - self.reported_refusals
        self.reported_refusals = gate.refused
        self.units.clear()
        self.started_at = now
        return LoadReport(
            gate.service.name,
            gate.server.name,
            units,
            self.hot_keys.top(now, MAX_REPORTED_HOT_KEYS),
            len(gate.waiting),
            refused,
            period // timedelta(milliseconds=1),
            gate.open,
            gate.draining,
        )


@dataclass
class ServerReports:
    """The last reported load of one backend server.

    Attributes
    ----------
    units : dict of int to float
        Requests per second by unit, as last reported.
    hot_keys : dict of str to float
        Hot keys with their requests per second.
    received_at : timedelta
        When the last report arrived.
    refused : int
        Requests refused since the first report.
    session_open, draining : bool
        Whether the server accepts requests, and whether it announced its shutdown.
    cold_since : timedelta or None
        When its session reopened after a loss; None when it never was lost.
    """

    units: dict[int, float] = field(default_factory=dict)
    hot_keys: dict[str, float] = field(default_factory=dict)
    received_at: Instant = timedelta(0)
    refused: int = 0
    session_open: bool = True
    draining: bool = False
    cold_since: Instant | None = None


class ServiceReports:
    """The load of one service, as reported to a planner.

    Parameters
    ----------
    now : timedelta
        When the planner starts to receive reports.
    """

    def __init__(self, now: Instant) -> None:
        self.started_at = now
        self.servers: dict[str, ServerReports] = {}
        self.loads = UnitLoads(now, 0)
        self.hot_key_units: dict[str, int] = {}

    def apply_report(self, now: Instant, message: LoadReport) -> None:
        """Apply one gate's report."""
        known = self.servers.setdefault(message.server, ServerReports())
        known.units = dict(message.units)
        self.loads.add_report(now, message.units, timedelta(milliseconds=message.period_ms))
        known.hot_keys = dict(message.hot_keys)
        known.refused += message.refused
        known.received_at = now
        if message.session_open and not known.session_open:
            known.cold_since = now
        known.session_open = message.session_open
        known.draining = message.draining

    def is_reachable(self, now: Instant, server: str) -> bool:
        """Return whether the server accepts requests according to the reports.

        A member that is not the planner gets no reports, so all servers count as reachable.
        """
        known = self.servers.get(server)
        if known is not None and now - known.received_at <= SESSION_LOST_AFTER:
            return known.session_open
        others = any(now - one.received_at <= SESSION_LOST_AFTER for one in self.servers.values())
        listening = now - self.started_at > SESSION_LOST_AFTER
        return not (others and listening)

    def state(self, server: BackendServer) -> ServerState:
        """Return the configured state of the server, or draining if it announced its shutdown."""
        known = self.servers.get(server.name)
        if server.state is ServerState.IN and known is not None and known.draining:
            return ServerState.DRAINING
        return server.state

    def cold_since(self, server: str) -> Instant | None:
        """Return when the server returned cold, or None."""
        known = self.servers.get(server)
        return None if known is None else known.cold_since

    def recent(self, now: Instant) -> dict[str, ServerReports]:
        """Return the servers whose last report is not older than `REPORT_TTL`."""
        return {
            name: known
            for name, known in self.servers.items()
            if now - known.received_at <= REPORT_TTL
        }

    def unit_loads(self, now: Instant, assignment: Assignment) -> dict[int, float]:
        """Return the exponentially decayed requests per second of each unit."""
        self.update_hot_key_units(now, assignment)
        rates = self.loads.rates(now).tolist()
        return {unit: rates[unit] for unit in assignment.units if unit < len(rates)}

    def update_hot_key_units(self, now: Instant, assignment: Assignment) -> None:
        """Transfer the load of keys that got or lost a unit of their own to their new unit.

        Otherwise a key's load would still be counted for the unit that it has left.
        """
        rates = self.hot_key_rates(now)
        for key, unit in self.hot_key_units.items():
            if assignment.hot_keys.get(key) == unit:
                continue
            slot = hash_slot(assignment.service, key, assignment.hash_slots)
            self.loads.transfer(now, unit, slot, math.inf)
        for key, unit in assignment.hot_keys.items():
            if self.hot_key_units.get(key) == unit:
                continue
            slot = hash_slot(assignment.service, key, assignment.hash_slots)
            self.loads.transfer(now, slot, unit, rates.get(key, 0.0))
        self.hot_key_units = dict(assignment.hot_keys)

    def hot_key_rates(self, now: Instant) -> dict[str, float]:
        """Return requests per second of the hot keys."""
        rates: dict[str, float] = {}
        for known in self.recent(now).values():
            for key, rate in known.hot_keys.items():
                rates[key] = max(rate, rates.get(key, 0.0))
        return rates

    def server_rates(self, now: Instant) -> dict[str, float]:
        """Return requests per second of each backend server."""
        return {name: sum(known.units.values()) for name, known in self.recent(now).items()}


@dataclass(frozen=True)
class PlanningState:
    """Input of a plan besides configuration, assignment and reports.

    Attributes
    ----------
    moving : frozenset of int
        Units that are being moved.
    keys_moved_last_hour : float
        Keys that moved by choice with their hash slots.
    time_of_day : timedelta
        Since local midnight.
    live_members : frozenset of str
        Reachable entry VMs; no units move to a server whose gate is on another one.
    """

    moving: frozenset[int] = frozenset()
    keys_moved_last_hour: float = 0.0
    time_of_day: timedelta = timedelta(0)
    live_members: frozenset[str] = frozenset()


def gate_is_live(assignment: Assignment, server: str, live_members: frozenset[str]) -> bool:
    """Return whether the server has a gate on one of the `live_members`."""
    record = assignment.gates.get(server)
    return record is not None and record.member in live_members


def build_load_view(
    now: Instant,
    configuration: Configuration,
    service: Service,
    assignment: Assignment,
    reports: ServiceReports,
    state: PlanningState,
) -> LoadView:
    """Return the input of the planner of `service`."""
    servers = {
        server.name: ServerView(
            server.name,
            server.zone,
            float(service.concurrency_limit),
            reports.state(server),
            reports.cold_since(server.name),
            gate_is_live(assignment, server.name, state.live_members)
            and reports.is_reachable(now, server.name),
        )
        for server in configuration.servers_of(service.name)
    }
    owners = {
        unit: ownership.server for unit, ownership in assignment.units.items() if ownership.server
    }
    hot_key_rates = reports.hot_key_rates(now)
    expected = expected_hot_keys(configuration.peaks, service.name, state.time_of_day)
    keys = {*assignment.hot_keys, *hot_key_rates, *expected}
    return LoadView(
        service,
        servers,
        owners,
        reports.unit_loads(now, assignment),
        hot_key_units=dict(assignment.hot_keys),
        hot_key_rates=hot_key_rates,
        home_slots={key: hash_slot(service.name, key, assignment.hash_slots) for key in keys},
        expected=expected,
        keys_moved_last_hour=state.keys_moved_last_hour,
        moving=state.moving,
    )
