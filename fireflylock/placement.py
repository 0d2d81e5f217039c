"""Placement: decides which backend server owns which unit."""

import heapq
import math
from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta

from fireflylock.assignment import MAX_HOT_UNITS
from fireflylock.clock import Instant
from fireflylock.distribution import Item, LoadDistribution, usable_servers
from fireflylock.model import BackendServer, ServerState, Service
from fireflylock.planning import LoadView, Move, MoveReason, Plan


@dataclass(frozen=True)
class Band:
    """Range of relative loads in which a server needs no moves, with hysteresis.

    All are multiples of a server's fair share.

    Attributes
    ----------
    trigger, settle : float
        A server above the first is relieved until it is below the second.
    fill_trigger, fill_settle : float
        A server below the first is filled until it is above the second.
    """

    trigger: float
    settle: float
    fill_trigger: float
    fill_settle: float


# Moving a hot key costs the churn of one key, moving a hash slot that of all its keys.
HOT_KEY_BAND = Band(trigger=1.08, settle=1.04, fill_trigger=0.80, fill_settle=0.90)
SLOT_BAND = Band(trigger=1.12, settle=1.09, fill_trigger=0.40, fill_settle=0.60)

# Minimum load of a hot key as a share of a server's fair share.
HOT_SHARE = 0.03
# Loads from this share on go to the server that has to give up the fewest keys for them.
LARGE_SHARE = 0.3
# Servers compared as targets of a large load: those with the fewest units.
MAX_COMPARED_TARGETS = 16
# A key with its own unit is cool below this share and returns to its hash slot.
COOL_SHARE = 0.01
# Hot units reserved for large loads.  While fewer than twice as many are free, cool keys return
# even if that changes their owner; while fewer are free, all keys below `HOT_SHARE` do.
RESERVED_HOT_UNITS = 8
# Moves with less relief than these shares of a server's fair share are within the measurement
# noise, for hot keys and for hash slots, whose load is steadier.
MIN_KEY_RELIEF = 0.015
MIN_SLOT_RELIEF = 0.004

# How long the load of a hot key and of a hash slot is expected to stay the same.
HOT_KEY_HORIZON = timedelta(minutes=3)
SLOT_HORIZON = timedelta(hours=1)
# How long a key can't be served while it moves.
MOVE_PAUSE = timedelta(milliseconds=50)

# Maximum share of the keys in use that moves by choice per hour, for a service that weighs
# only unavailable time, and for one that weighs only churn.
CHURN_BUDGET_AVAILABILITY = 1.0
CHURN_BUDGET_CHURN = 0.50

# Maximum number of moves in one pass of `balance`.
MAX_MOVES_PER_PASS = 64


class Planner(ABC):
    """Decides which units should move."""

    @abstractmethod
    def plan(self, view: LoadView, now: Instant) -> Plan:
        """Return the changes that are worth making now.

        The plan depends on the arguments only, so that two planners with the same input
        make the same plan, and the compare-and-swap of the second one simply fails.
        """


class CostPlanner(Planner):
    """Makes the moves with the most relief per key, if the relief outweighs their cost.

    An uneven load costs every key of an overloaded server a share of its time, and a move
    costs the moved keys their weight of churn and a pause.  Both are counted in the
    service's own weights.  Moving a hot key costs the churn of one key, moving a hash slot
    that of all its keys; so most of the balancing is done with hot keys.
    """

    def plan(self, view: LoadView, now: Instant) -> Plan:
        """Return the changes that are worth making now."""
        distribution = LoadDistribution(view, now, HOT_SHARE)
        distribution.free_hot_units = MAX_HOT_UNITS - len(view.hot_key_units)
        if not distribution.capacity:
            return distribution.plan
        self.assign_owners(distribution)
        self.return_cool_keys(distribution)
        if distribution.mean_utilization <= 0.0:
            return distribution.plan
        self.contain_large_loads(distribution)
        self.balance(distribution, HOT_KEY_BAND, max_keys=1.0)
        self.balance(distribution, SLOT_BAND, max_keys=view.keys_per_slot)
        return distribution.plan

    def assign_owners(self, distribution: LoadDistribution) -> None:
        """Move units without an owner, and all units of leaving servers."""
        view = distribution.view
        units = range(view.service.hash_slots)
        unowned = [
            unit
            for unit in [*units, *view.hot_key_units.values()]
            if unit not in distribution.owners
        ]
        leaving = []
        for name, server in sorted(view.servers.items()):
            if server.state is ServerState.IN:
                continue
            leaving += sorted(distribution.units[name])
        for unit, target in spread(distribution, unowned + leaving).items():
            source = distribution.owners.get(unit, "")
            reason = MoveReason.DRAIN if source else MoveReason.NO_OWNER
            item = Item(
                unit, "", distribution.unit_loads.get(unit, 0.0), distribution.key_count(unit)
            )
            distribution.move(item, target, reason)

    def return_cool_keys(self, distribution: LoadDistribution) -> None:
        """Return cool keys to their hash slots, at once if the owner stays the same."""
        view = distribution.view
        crowded = distribution.free_hot_units < RESERVED_HOT_UNITS
        cool = (
            (HOT_SHARE if crowded else COOL_SHARE)
            * distribution.mean_utilization
            * min(distribution.capacity.values())
        )
        rates = {
            key: distribution.unit_loads.get(unit, 0.0) for key, unit in view.hot_key_units.items()
        }
        for key in sorted(rates, key=lambda name: (rates[name], name)):
            unit = view.hot_key_units[key]
            if (
                rates[key] > cool
                or unit in distribution.excluded_units
                or unit not in distribution.owners
            ):
                continue
            home = distribution.owners.get(view.home_slots[key])
            if home is None:
                continue
            crowded = distribution.free_hot_units < 2 * RESERVED_HOT_UNITS
            if distribution.owners[unit] == home or crowded:
                distribution.return_hot_key(key, unit)

    def contain_large_loads(self, distribution: LoadDistribution) -> None:
        """Find the cheapest server for each large load on an overloaded server.

        Moving hash slots away is expensive, so servers that can make room by moving few
        keys are preferred; `balance` moves these keys.
        """
        for source in sorted(distribution.capacity, key=distribution.relative_load, reverse=True):
            if distribution.relative_load(source) <= HOT_KEY_BAND.trigger:
                return
            large = [
                item
                for item in distribution.items(source)
                if item.keys <= 1.0 and self.is_large(distribution, source, item)
            ]
            # The smaller ones move first, so that the largest one ends up alone.
            for item in sorted(large, key=lambda item: item.load):
                if distribution.relative_load(source) <= HOT_KEY_BAND.trigger:
                    break
                self.contain(distribution, source, item)

    def contain(self, distribution: LoadDistribution, source: str, item: Item) -> None:
        """Move a large load when another server can make room with far fewer keys."""
        if item.key and distribution.free_hot_units <= 0:
            return
        stay = self.keys_to_move_away(distribution, source, item)
        others = [
            name
            for name in sorted(distribution.capacity)
            if name != source and self.can_carry(distribution, name, source, item)
        ]
        targets = heapq.nsmallest(
            MAX_COMPARED_TARGETS, others, key=lambda name: len(distribution.units[name])
        )
        costs = {name: self.keys_to_move_away(distribution, name, item) for name in targets}
        zone = distribution.view.caller_zones.get(item.unit, "")
        best = min(
            targets,
            key=lambda name: (costs[name], distribution.view.servers[name].zone != zone, name),
            default=source,
        )
        if best != source and 1.0 + costs[best] < stay / 2:
            distribution.move(item, best, MoveReason.CONTAIN)

    def can_carry(
        self, distribution: LoadDistribution, server: str, source: str, large: Item
    ) -> bool:
        """Return whether `server` can carry a large load, or has the capacity of `source`.

        A server that has just started cold is empty, but lacks the capacity.
        """
        if large.load <= SLOT_BAND.trigger * distribution.fair_share(server):
            return True
        return distribution.capacity[server] >= distribution.capacity[source]

    def keys_to_move_away(self, distribution: LoadDistribution, server: str, large: Item) -> float:
        """Return how many keys must leave `server` to make room for a large load.

        Other large loads can't be moved away; infinity when they leave no room.
        """
        room = max(SLOT_BAND.trigger * distribution.fair_share(server) - large.load, 0.0)
        others = [item for item in distribution.items(server) if item.unit != large.unit]
        excess = sum(item.load for item in others if not item.key) - room
        keys = 0.0
        taken: dict[int, float] = {}
        for item in sorted(others, key=lambda item: (item.keys, -item.load)):
            if excess <= MIN_KEY_RELIEF * distribution.fair_share(server):
                return keys
            if self.is_large(distribution, server, item):
                continue
            excess -= item.load - taken.get(item.unit, 0.0)
            taken[item.unit] = taken.get(item.unit, 0.0) + item.load
            keys += item.keys
        return keys if excess <= MIN_KEY_RELIEF * distribution.fair_share(server) else math.inf

    def is_large(self, distribution: LoadDistribution, server: str, item: Item) -> bool:
        """Return whether `item` is, or holds, a key that needs a large share of `server`."""
        load = item.load
        if item.keys > 1.0:
            load = max(
                (load for _, load in distribution.unplaced_hot_keys.get(item.unit, ())),
                default=0.0,
            )
        return load >= LARGE_SHARE * distribution.fair_share(server)

    def balance(self, distribution: LoadDistribution, band: Band, max_keys: float) -> None:
        """Move items of at most `max_keys` keys from the most to the least loaded servers."""
        churn_budget = self.churn_budget(
            distribution.view
        ) - distribution.plan.slot_keys_by_choice(distribution.view)
        relieving = {
            name
            for name in distribution.capacity
            if distribution.relative_load(name) > band.trigger
        }
        filling = self.lowest_relative_load(distribution) < band.fill_trigger
        without_move: set[str] = set()
        for _ in range(MAX_MOVES_PER_PASS):
            relieving = {
                name for name in relieving if distribution.relative_load(name) > band.settle
            }
            filling = filling and self.lowest_relative_load(distribution) < band.fill_settle
            too_full = bool(relieving - without_move)
            if not too_full and not filling:
                return
            candidates = relieving if too_full else set(distribution.capacity)
            source = distribution.most_loaded(candidates - without_move)
            if source is None:
                return
            # Single keys may always move, because they relieve a server most cheaply.
            affordable = max(min(max_keys, churn_budget), 1.0)
            item, target = self.best_move(distribution, source, affordable)
            if item is None:
                without_move.add(source)
                continue
            churn_budget -= item.keys if item.keys > 1.0 else 0.0
            distribution.move(item, target, MoveReason.OVERLOAD if too_full else MoveReason.FILL)

    def best_move(
        self, distribution: LoadDistribution, source: str, max_keys: float
    ) -> tuple[Item | None, str]:
        """Return the best item to move from `source` and its target; None if there is none."""
        best, best_target, best_score = None, "", 0.0
        targets: dict[str, str] = {}
        for item in distribution.items(source):
            if item.keys > max_keys or self.is_large(distribution, source, item):
                continue
            if item.key and distribution.free_hot_units <= RESERVED_HOT_UNITS:
                continue
            zone = distribution.view.caller_zones.get(item.unit, "")
            if zone not in targets:
                targets[zone] = distribution.least_loaded(zone)
            target = targets[zone]
            relief = self.relief(distribution, source, target, item.load)
            smallest = MIN_SLOT_RELIEF if item.keys > 1.0 else MIN_KEY_RELIEF
            if relief < smallest or not self.is_worthwhile(distribution, item, relief):
                continue
            score = relief / item.keys
            if score > best_score:
                best, best_target, best_score = item, target, score
        return best, best_target

    def relief(
        self, distribution: LoadDistribution, source: str, target: str, load: float
    ) -> float:
        """Return how much closer both servers get to their fair share, in fair shares."""
        if source == target:
            return 0.0
        source_off = distribution.load[source] - distribution.fair_share(source)
        target_off = distribution.load[target] - distribution.fair_share(target)
        before = abs(source_off) + abs(target_off)
        after = abs(source_off - load) + abs(target_off + load)
        return (before - after) / 2 / distribution.fair_share(source)

    def is_worthwhile(self, distribution: LoadDistribution, item: Item, relief: float) -> bool:
        """Return whether the relief of a move outweighs its churn and its pause."""
        service = distribution.view.service
        keys_in_use = distribution.view.keys_per_slot * service.hash_slots
        keys_relieved = keys_in_use / len(distribution.capacity)
        horizon = SLOT_HORIZON if item.keys > 1.0 else HOT_KEY_HORIZON
        gain = service.unavailable_weight * relief * keys_relieved * horizon.total_seconds()
        pause = service.unavailable_weight * MOVE_PAUSE.total_seconds()
        return gain > item.keys * (service.churn_weight + pause)

    def churn_budget(self, view: LoadView) -> float:
        """Return how many keys may still move by choice in this hour."""
        weights = view.service.churn_weight + view.service.unavailable_weight
        availability = view.service.unavailable_weight / weights if weights > 0.0 else 0.5
        share = CHURN_BUDGET_CHURN
        share += (CHURN_BUDGET_AVAILABILITY - CHURN_BUDGET_CHURN) * availability
        keys_in_use = view.keys_per_slot * view.service.hash_slots
        return share * keys_in_use - view.keys_moved_last_hour

    def lowest_relative_load(self, distribution: LoadDistribution) -> float:
        """Return the lowest relative load."""
        return min(distribution.relative_load(name) for name in distribution.capacity)


def initial(service: Service, servers: list[BackendServer]) -> dict[int, str]:
    """Return the first owner of every hash slot of a new service.

    The slots are assigned round-robin: without measurements, equal counts are the best
    estimate.  Empty when no server may own keys.
    """
    names = sorted(server.name for server in servers if server.state is ServerState.IN)
    if not names:
        return {}
    return {slot: names[slot % len(names)] for slot in range(service.hash_slots)}


def spread(distribution: LoadDistribution, units: list[int]) -> dict[int, str]:
    """Return new owners for `units`: the heaviest first, each to the least loaded server.

    Equally loaded servers get equal counts, so that a service without load is even too.
    """
    counts = {name: len(distribution.units[name]) for name in distribution.capacity}
    heap = []
    for name in sorted(distribution.capacity):
        heap.append((distribution.relative_load(name), counts[name], name))
    heapq.heapify(heap)
    owners: dict[int, str] = {}
    loads = dict(distribution.load)
    for unit in sorted(units, key=lambda u: (-distribution.unit_loads.get(u, 0.0), u)):
        if not heap:
            break
        _, count, name = heapq.heappop(heap)
        owners[unit] = name
        loads[name] += distribution.unit_loads.get(unit, 0.0)
        fair_share = distribution.fair_share(name)
        heapq.heappush(
            heap, (loads[name] / fair_share if fair_share > 0.0 else 0.0, count + 1, name)
        )
    return owners


def spread_lost(view: LoadView, lost: list[str], now: Instant) -> dict[int, str]:
    """Return new owners for all units of lost servers."""
    remaining = {name: server for name, server in view.servers.items() if name not in lost}
    survivors = LoadView(
        view.service,
        remaining,
        view.owners,
        view.loads,
        view.hot_key_units,
        view.hot_key_rates,
        view.home_slots,
        keys_per_slot=view.keys_per_slot,
    )
    units = [unit for unit, owner in view.owners.items() if owner in lost]
    return spread(LoadDistribution(survivors, now, HOT_SHARE), units)


__all__ = [
    "CostPlanner",
    "LoadView",
    "Move",
    "Plan",
    "Planner",
    "initial",
    "spread",
    "spread_lost",
    "usable_servers",
]
