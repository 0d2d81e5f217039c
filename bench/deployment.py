"""Deployment: the backend servers of one service under one planner, in steps of a fake clock."""

from collections import Counter, deque
from dataclasses import dataclass, field, replace
from datetime import timedelta

import numpy as np

from bench.traces import EVENING_STARTS, Evening, Event, EventKind, key_name, key_number
from fireflylock.assignment import MAX_HOT_UNITS, hash_slot
from fireflylock.clock import Instant
from fireflylock.model import BackendServer, ServerState
from fireflylock.placement import MOVE_PAUSE, Planner, initial
from fireflylock.planning import (
    COLD_PERIOD,
    LoadView,
    Plan,
    ReturnHotKey,
    ServerView,
    expected_hot_keys,
)
from fireflylock.unit_loads import UnitLoads

# How long the keys of a lost server can't be served.
LOSS_PAUSE = timedelta(seconds=1)
HOUR = timedelta(hours=1)


@dataclass
class Churn:
    """What moved during an evening.

    Attributes
    ----------
    keys, slots, hot_keys : float
        Keys in use that changed owner, and the moved units by kind.
    keys_by_choice : float
        Keys moved although their server was in use and stayed.
    unavailable : float
        Key-seconds for which moved or lost keys could not be served.
    """

    keys: float = 0.0
    slots: int = 0
    hot_keys: int = 0
    keys_by_choice: float = 0.0
    unavailable: float = 0.0


@dataclass
class Window:
    """Loads of one window of time.

    Attributes
    ----------
    served, capacity : dict of str to float
        Requests, and capacity times seconds, by server.
    steps : Counter
        Steps for which each server was in use.
    """

    served: dict[str, float] = field(default_factory=dict)
    capacity: dict[str, float] = field(default_factory=dict)
    steps: Counter = field(default_factory=Counter)


class Deployment:
    """One policy's servers, owners and measurements.

    Parameters
    ----------
    evening : Evening
        The traffic.
    planner : Planner
        The policy.
    """

    def __init__(self, evening: Evening, planner: Planner) -> None:
        self.evening = evening
        self.planner = planner
        self.workload = evening.workload
        self.service = evening.workload.service
        self.slots = self.service.hash_slots
        self.servers = {name: self.new_server(name) for name in evening.server_names()}
        self.key_slots = np.array(
            [
                hash_slot(self.service.name, key_name(key), self.slots)
                for key in range(self.workload.keys)
            ]
        )
        self.unit_of_key = self.key_slots.copy()
        self.owners = initial(self.service, [self.backend(name) for name in self.servers])
        self.hot_key_units: dict[str, int] = {}
        self.loads = UnitLoads(timedelta(0), self.slots + MAX_HOT_UNITS)
        self.churn = Churn()
        self.recent: deque[tuple[Instant, float]] = deque()
        self.window = Window()

    def new_server(self, name: str, cold_since: Instant | None = None) -> ServerView:
        """Return a server that may own keys."""
        zone = self.workload.zones[int(name.rsplit("-", 1)[1]) % len(self.workload.zones)]
        return ServerView(name, zone, self.workload.server_rate, cold_since=cold_since)

    def backend(self, name: str) -> BackendServer:
        """Return the server as operators describe it."""
        return BackendServer(name, self.service.name, name, "", "127.0.0.1", 0)

    def view(self, now: Instant, hot_key_rates: dict[str, float]) -> LoadView:
        """Return what the planner sees."""
        time_of_day = EVENING_STARTS + now
        expected = expected_hot_keys(self.evening.peaks, self.service.name, time_of_day)
        named = set(hot_key_rates) | set(expected) | set(self.hot_key_units)
        while self.recent and now - self.recent[0][0] > HOUR:
            self.recent.popleft()
        return LoadView(
            service=self.service,
            servers=dict(self.servers),
            owners=dict(self.owners),
            loads=dict(enumerate(self.loads.rates(now).tolist())),
            hot_key_units=dict(self.hot_key_units),
            hot_key_rates=hot_key_rates,
            home_slots={key: int(self.key_slots[key_number(key)]) for key in named},
            expected=expected,
            keys_per_slot=self.workload.keys / self.slots,
            keys_moved_last_hour=sum(keys for _, keys in self.recent),
        )

    def happen(self, now: Instant, event: Event) -> None:
        """Let `event` happen; the planner is asked right afterwards."""
        if event.kind in (EventKind.JOIN, EventKind.RETURN_COLD):
            self.servers[event.server] = self.new_server(event.server, cold_since=now)
            return
        if event.kind is EventKind.DRAIN:
            leaving = replace(self.servers[event.server], state=ServerState.DRAINING)
            self.servers[event.server] = leaving
            return
        del self.servers[event.server]
        for unit in [unit for unit, owner in self.owners.items() if owner == event.server]:
            keys = self.keys_in(unit)
            self.churn.unavailable += keys * LOSS_PAUSE.total_seconds()
            del self.owners[unit]

    def replan(self, now: Instant, hot_key_rates: dict[str, float]) -> None:
        """Ask the planner and carry out its plan."""
        for name, server in self.servers.items():
            if server.cold_since is not None and now - server.cold_since >= COLD_PERIOD:
                self.servers[name] = replace(server, cold_since=None)
        view = self.view(now, hot_key_rates)
        plan = self.planner.plan(view, now)
        self.recent.append((now, plan.slot_keys_by_choice(view)))
        self.carry_out(now, plan, view)

    def carry_out(self, now: Instant, plan: Plan, view: LoadView) -> None:
        """Change owners as planned, and count what it cost."""
        pause = MOVE_PAUSE.total_seconds()
        for move in plan.moves:
            keys = self.keys_in(move.unit)
            self.owners[move.unit] = move.target
            self.churn.keys += keys
            self.churn.slots += move.unit < self.slots
            self.churn.hot_keys += move.unit >= self.slots
            self.churn.unavailable += keys * pause if move.source else 0.0
            self.churn.keys_by_choice += keys if move.reason.by_choice else 0.0
        for change in plan.hot_key_changes:
            if isinstance(change, ReturnHotKey):
                self.return_hot_key(now, change)
            else:
                self.place_hot_key(
                    now, change.key, change.target, view.hot_key_rates.get(change.key, 0.0)
                )
            if change.source == change.target:
                continue
            self.churn.keys += 1
            self.churn.keys_by_choice += 1
            self.churn.hot_keys += 1
            self.churn.unavailable += pause

    def place_hot_key(self, now: Instant, key: str, target: str, rate: float) -> None:
        """Give a hot key a unit of its own."""
        used = set(self.hot_key_units.values())
        unit = next(u for u in range(self.slots, self.slots + MAX_HOT_UNITS) if u not in used)
        number = key_number(key)
        self.loads.reset(unit)
        self.loads.transfer(now, int(self.key_slots[number]), unit, rate)
        self.hot_key_units[key] = unit
        self.owners[unit] = target
        self.unit_of_key[number] = unit

    def return_hot_key(self, now: Instant, change: ReturnHotKey) -> None:
        """Return a hot key to its hash slot."""
        number = key_number(change.key)
        slot = int(self.key_slots[number])
        self.loads.transfer(now, change.unit, slot, float("inf"))
        del self.hot_key_units[change.key]
        del self.owners[change.unit]
        self.unit_of_key[number] = slot

    def keys_in(self, unit: int) -> float:
        """Return how many keys in use belong to `unit`."""
        return float(np.count_nonzero(self.unit_of_key == unit))

    def serve(self, now: Instant, counts: np.ndarray, step: timedelta) -> None:
        """Count one step's requests.

        Parameters
        ----------
        now : timedelta
            End of the step.
        counts : numpy.ndarray
            Requests of each key, shape (keys,).
        step : timedelta
            Length of the step.
        """
        size = self.slots + MAX_HOT_UNITS
        units = np.bincount(self.unit_of_key, weights=counts, minlength=size)
        rates = units / step.total_seconds()
        report = {int(unit): float(rates[unit]) for unit in np.flatnonzero(units)}
        self.loads.add_report(now, report, step)
        for unit in np.flatnonzero(units).tolist():
            owner = self.owners[unit]
            self.window.served[owner] = self.window.served.get(owner, 0.0) + units[unit]
        for name, server in self.servers.items():
            if server.state is not ServerState.IN:
                continue
            capacity = server.effective_capacity(now) * step.total_seconds()
            self.window.capacity[name] = self.window.capacity.get(name, 0.0) + capacity
            self.window.steps[name] += 1

    def close_window(self, steps: int) -> tuple[Window, float]:
        """Return the window with its imbalance, and start a new one.

        The imbalance is the highest load of a server that was in use throughout, over its
        share by capacity.
        """
        window, self.window = self.window, Window()
        share = sum(window.served.values()) / sum(window.capacity.values())
        throughout = [name for name in window.capacity if window.steps[name] == steps]
        relative = [window.served.get(n, 0.0) / window.capacity[n] / share for n in throughout]
        return window, max(relative)
