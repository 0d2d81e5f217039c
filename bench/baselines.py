"""Baselines: known ways of placing keys, against which the cost planner is measured."""

import bisect
import functools

import xxhash

from fireflylock.assignment import MAX_HOT_UNITS
from fireflylock.clock import Instant
from fireflylock.distribution import Item, LoadDistribution
from fireflylock.placement import HOT_SHARE, Planner
from fireflylock.planning import LoadView, MoveReason, Plan

POINTS_PER_SERVER = 100
# Capacity of a server in consistent hashing with bounded loads, in fair shares.
LOAD_BOUND = 1.15
GREEDY_GOAL = 1.02
GREEDY_MOVES = 256


def _new_distribution(view: LoadView, now: Instant) -> LoadDistribution:
    distribution = LoadDistribution(view, now, HOT_SHARE)
    distribution.free_hot_units = MAX_HOT_UNITS - len(view.hot_key_units)
    return distribution


def _item(distribution: LoadDistribution, unit: int) -> Item:
    return Item(unit, "", distribution.unit_loads.get(unit, 0.0), distribution.key_count(unit))


class StaticRendezvous(Planner):
    """Rendezvous hashing of the hash slots; moves only when servers come or go."""

    def __init__(self) -> None:
        self.targets: dict[tuple[str, ...], list[str]] = {}

    def plan(self, view: LoadView, now: Instant) -> Plan:
        """Return the moves to the servers that the hash names."""
        distribution = _new_distribution(view, now)
        for slot, target in enumerate(self.targets_of(distribution)):
            if distribution.owners.get(slot, "") != target:
                distribution.move(_item(distribution, slot), target, MoveReason.NO_OWNER)
        return distribution.plan

    def targets_of(self, distribution: LoadDistribution) -> list[str]:
        """Return the owner of each hash slot among the servers that may own keys."""
        names = tuple(sorted(distribution.capacity))
        if names not in self.targets:
            slots = range(distribution.view.service.hash_slots)
            targets = [max(names, key=lambda name: _score(slot, name)) for slot in slots]
            self.targets[names] = targets
        return self.targets[names]


def _score(slot: int, server: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{slot}/{server}".encode())


class BoundedLoads(Planner):
    """Consistent hashing with bounded loads.

    Each unit belongs to the first server after its point on the ring that has room.  It gets
    the same hot keys as the cost planner, each as an item of its own.

    Parameters
    ----------
    returns : bool
        Whether a unit goes back towards its first server as soon as there is room, as
        published; without, it stays where it was pushed to, which moves less.
    """

    def __init__(self, returns: bool) -> None:
        self.returns = returns
        self.orders: dict[tuple[int, tuple[str, ...]], list[str]] = {}
        self.rings: dict[tuple[str, ...], list[tuple[int, str]]] = {}

    def plan(self, view: LoadView, now: Instant) -> Plan:
        """Return the moves that restore the bound."""
        distribution = _new_distribution(view, now)
        for server in sorted(distribution.capacity):
            self.separate_hot_keys(distribution, server)
        for unit in sorted(distribution.view.owners):
            if distribution.owners[unit] not in distribution.capacity:
                self.settle(distribution, unit)
        for unit in [*range(view.service.hash_slots), *view.hot_key_units.values()]:
            if unit not in distribution.owners:
                self.settle(distribution, unit)
        for server in sorted(distribution.capacity):
            self.push_out(distribution, server)
        if self.returns:
            self.bring_back(distribution)
        return distribution.plan

    def separate_hot_keys(self, distribution: LoadDistribution, server: str) -> None:
        """Make hot keys units of their own, on the server where they are."""
        for item in list(distribution.items(server)):
            if item.key and distribution.free_hot_units > 0:
                distribution.move(item, server, MoveReason.OVERLOAD)

    def push_out(self, distribution: LoadDistribution, server: str) -> None:
        """Move units on from a server that is over the bound."""
        for unit in sorted(distribution.units[server], key=self.point, reverse=True):
            if distribution.load[server] <= LOAD_BOUND * distribution.fair_share(server):
                return
            if unit not in distribution.excluded_units:
                self.settle(distribution, unit)

    def bring_back(self, distribution: LoadDistribution) -> None:
        """Move units back to the first server of their order that has room."""
        for unit in sorted(distribution.owners, key=self.point):
            if unit in distribution.excluded_units:
                continue
            load = distribution.unit_loads.get(unit, 0.0)
            for server in self.order(distribution, unit):
                if server == distribution.owners[unit]:
                    break
                if distribution.load[server] + load <= LOAD_BOUND * distribution.fair_share(
                    server
                ):
                    distribution.move(_item(distribution, unit), server, MoveReason.OVERLOAD)
                    break

    def settle(self, distribution: LoadDistribution, unit: int) -> None:
        """Move `unit` to the first other server of its order that has room."""
        load = distribution.unit_loads.get(unit, 0.0)
        owner = distribution.owners.get(unit, "")
        for server in self.order(distribution, unit):
            if server == owner:
                continue
            if distribution.load[server] + load <= LOAD_BOUND * distribution.fair_share(server):
                distribution.move(_item(distribution, unit), server, MoveReason.OVERLOAD)
                return
        if owner not in distribution.capacity:
            distribution.move(
                _item(distribution, unit), distribution.least_loaded(), MoveReason.NO_OWNER
            )

    def order(self, distribution: LoadDistribution, unit: int) -> list[str]:
        """Return the servers in the order in which the ring offers them to `unit`."""
        names = tuple(sorted(distribution.capacity))
        if (unit, names) in self.orders:
            return self.orders[unit, names]
        ring = self.rings.get(names)
        if ring is None:
            ring = sorted(
                (xxhash.xxh3_64_intdigest(f"{name}#{point}".encode()), name)
                for name in names
                for point in range(POINTS_PER_SERVER)
            )
            self.rings[names] = ring
        start = bisect.bisect(ring, (self.point(unit), ""))
        order = list(dict.fromkeys(name for _, name in ring[start:] + ring[:start]))
        self.orders[unit, names] = order
        return order

    @functools.cache  # noqa: B019 - the planner lives as long as its evening.
    def point(self, unit: int) -> int:
        """Return the point of `unit` on the ring."""
        return xxhash.xxh3_64_intdigest(f"unit {unit}".encode())


class Greedy(Planner):
    """Moves whatever evens out the load most, whatever it costs."""

    def plan(self, view: LoadView, now: Instant) -> Plan:
        """Return moves until the fullest server is as good as even."""
        distribution = _new_distribution(view, now)
        for unit in sorted(set(range(view.service.hash_slots)) | set(view.hot_key_units.values())):
            if distribution.owners.get(unit, "") not in distribution.capacity:
                distribution.move(
                    _item(distribution, unit), distribution.least_loaded(), MoveReason.NO_OWNER
                )
        stuck: set[str] = set()
        for _ in range(GREEDY_MOVES):
            source = distribution.most_loaded(set(distribution.capacity) - stuck)
            if source is None or distribution.relative_load(source) <= GREEDY_GOAL:
                break
            target = distribution.least_loaded()
            gap = distribution.load[source] - distribution.load[target]
            fitting = [item for item in distribution.items(source) if 0.0 < item.load < gap]
            if not fitting:
                stuck.add(source)
                continue
            best = min(fitting, key=lambda item: (abs(item.load - gap / 2), item.unit, item.key))
            distribution.move(best, target, MoveReason.OVERLOAD)
        return distribution.plan
