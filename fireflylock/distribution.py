"""The distribution of loads over servers, a working copy on which a planner tries moves."""

from collections.abc import Iterator
from dataclasses import dataclass

from fireflylock.clock import Instant
from fireflylock.model import ServerState
from fireflylock.planning import (
    LoadView,
    Move,
    MoveReason,
    PlaceHotKey,
    Plan,
    ReturnHotKey,
    ServerView,
)

# The share of the load expected by the sheet that counts before it is measured, because a
# sheet may be wrong by half.
EXPECTED_LOAD_SHARE = 0.5

# Servers this close to the lowest relative load count as equally loaded.
EQUAL_LOAD_TOLERANCE = 0.02


@dataclass(frozen=True)
class Item:
    """Something that can be moved: a unit, or a hot key that is still part of its hash slot.

    Attributes
    ----------
    unit : int
        The unit, or the hash slot of the key.
    key : str
        The hot key that would get a unit of its own; "" for whole units.
    load : float
        Work per second.
    keys : float
        Keys in use that change their owner when it moves.
    """

    unit: int
    key: str
    load: float
    keys: float


class LoadDistribution:
    """Loads and owners of a service as changed by the plan so far.

    Parameters
    ----------
    view : LoadView
        The initial state; it is not changed.
    now : timedelta
        The current instant.
    hot_share : float
        Smallest load, as a share of a server's fair share, at which a key counts as hot.
    """

    def __init__(self, view: LoadView, now: Instant, hot_share: float) -> None:
        self.view = view
        self.plan = Plan()
        self.servers = usable_servers(view, now)
        self.capacity = {s.name: s.effective_capacity(now) for s in self.servers}
        self.owners = dict(view.owners)
        self.unit_loads = _unit_loads(view)
        self.units: dict[str, set[int]] = {name: set() for name in view.servers}
        self.load = dict.fromkeys(view.servers, 0.0)
        for unit, owner in self.owners.items():
            if owner not in self.load:
                continue
            self.units[owner].add(unit)
            self.load[owner] += self.unit_loads.get(unit, 0.0)
        total_capacity = sum(self.capacity.values())
        self.mean_utilization = (
            sum(self.unit_loads.values()) / total_capacity if total_capacity else 0.0
        )
        self.hot_share = hot_share
        self.free_hot_units = 0
        self.unplaced_hot_keys = self._find_unplaced_hot_keys()
        self.excluded_units: set[int] = set(view.moving)

    def fair_share(self, server: str) -> float:
        """Return the server's fair share of the load."""
        return self.mean_utilization * self.capacity[server]

    def relative_load(self, server: str) -> float:
        """Return the server's load as a multiple of its fair share."""
        fair_share = self.fair_share(server)
        return self.load[server] / fair_share if fair_share > 0.0 else 0.0

    def most_loaded(self, names: set[str]) -> str | None:
        """Return the server of `names` with the highest relative load, None when empty."""
        return max(names, key=lambda name: (self.relative_load(name), name), default=None)

    def least_loaded(self, zone: str = "") -> str:
        """Return the server with the lowest relative load.

        Among nearly equally loaded ones, a server of `zone` is preferred.
        """
        best = min(self.capacity, key=lambda name: (self.relative_load(name), name))
        if not zone or self.view.servers[best].zone == zone:
            return best
        limit = self.relative_load(best) + EQUAL_LOAD_TOLERANCE
        near = [
            name
            for name in self.capacity
            if self.view.servers[name].zone == zone and self.relative_load(name) <= limit
        ]
        return min(near, key=lambda name: (self.relative_load(name), name), default=best)

    def items(self, server: str) -> Iterator[Item]:
        """Return what can be moved away from `server`."""
        for unit in sorted(self.units[server]):
            if unit in self.excluded_units:
                continue
            yield Item(unit, "", self.unit_loads.get(unit, 0.0), self.key_count(unit))
            if self.free_hot_units <= 0:
                continue
            for key, load in self.unplaced_hot_keys.get(unit, ()):
                yield Item(unit, key, load, 1.0)

    def key_count(self, unit: int) -> float:
        """Return how many keys in use a unit holds."""
        return self.view.keys_per_slot if self.is_hash_slot(unit) else 1.0

    def is_hash_slot(self, unit: int) -> bool:
        """Return whether `unit` is a hash slot and not a single hot key."""
        return unit < self.view.service.hash_slots

    def move(self, item: Item, target: str, reason: MoveReason) -> None:
        """Move `item` and add the move to the plan."""
        if item.key:
            self._place_hot_key(item, target, reason)
            return
        source = self.owners.get(item.unit, "")
        self.plan.moves.append(Move(item.unit, source, target, reason))
        if source in self.load:
            self.load[source] -= item.load
            self.units[source].discard(item.unit)
        self.load[target] += item.load
        self.units[target].add(item.unit)
        self.owners[item.unit] = target
        self.excluded_units.add(item.unit)

    def return_hot_key(self, key: str, unit: int) -> None:
        """Return a hot key to its hash slot and add the change to the plan."""
        source = self.owners.pop(unit)
        slot = self.view.home_slots[key]
        target = self.owners[slot]
        self.plan.hot_key_changes.append(ReturnHotKey(key, unit, source, target))
        load = self.unit_loads.pop(unit, 0.0)
        if source in self.load:
            self.load[source] -= load
            self.units[source].discard(unit)
        if target in self.load:
            self.load[target] += load
        self.unit_loads[slot] = self.unit_loads.get(slot, 0.0) + load
        self.excluded_units |= {unit, slot}
        self.free_hot_units += 1

    def _place_hot_key(self, item: Item, target: str, reason: MoveReason) -> None:
        source = self.owners[item.unit]
        self.plan.hot_key_changes.append(PlaceHotKey(item.key, source, target, reason))
        self.load[source] -= item.load
        self.load[target] += item.load
        self.unit_loads[item.unit] = max(self.unit_loads[item.unit] - item.load, 0.0)
        self.unplaced_hot_keys[item.unit] = [
            entry for entry in self.unplaced_hot_keys[item.unit] if entry[0] != item.key
        ]
        self.free_hot_units -= 1

    def _find_unplaced_hot_keys(self) -> dict[int, list[tuple[str, float]]]:
        if not self.capacity:
            return {}
        smallest = self.hot_share * self.mean_utilization * min(self.capacity.values())
        found: dict[int, list[tuple[str, float]]] = {}
        for key in sorted(set(self.view.hot_key_rates) | set(self.view.expected)):
            if key in self.view.hot_key_units:
                continue
            load = estimated_load(self.view, key, self.view.hot_key_rates.get(key, 0.0))
            slot = self.view.home_slots[key]
            load = min(load, self.unit_loads.get(slot, 0.0))
            if load < smallest:
                continue
            found.setdefault(slot, []).append((key, load))
        return found


def usable_servers(view: LoadView, now: Instant) -> list[ServerView]:
    """Return the servers that may own keys and can do work, sorted by name."""
    servers = [view.servers[name] for name in sorted(view.servers)]
    return [
        server
        for server in servers
        if server.state is ServerState.IN
        and server.reachable
        and server.effective_capacity(now) > 0.0
    ]


def estimated_load(view: LoadView, key: str, measured: float) -> float:
    """Return the load of a key, from its measured load and the load that the sheet expects."""
    return max(measured, EXPECTED_LOAD_SHARE * view.expected.get(key, 0.0))


def _unit_loads(view: LoadView) -> dict[int, float]:
    loads = {unit: view.loads.get(unit, 0.0) for unit in view.owners}
    for key, unit in view.hot_key_units.items():
        if unit not in loads:
            continue
        measured = view.hot_key_rates.get(key, loads[unit])
        loads[unit] = estimated_load(view, key, measured)
    # The rate of a newly hot key rises before the decayed load of its slot does.
    hot_in_slot: dict[int, float] = {}
    for key, rate in view.hot_key_rates.items():
        if key not in view.hot_key_units:
            slot = view.home_slots[key]
            hot_in_slot[slot] = hot_in_slot.get(slot, 0.0) + rate
    for slot, rate in hot_in_slot.items():
        if slot in loads:
            loads[slot] = max(loads[slot], rate)
    for key in view.expected:
        if key in view.hot_key_units:
            continue
        slot = view.home_slots[key]
        missing = estimated_load(view, key, 0.0) - view.hot_key_rates.get(key, 0.0)
        if slot in loads and missing > 0.0:
            loads[slot] += missing
    return loads
