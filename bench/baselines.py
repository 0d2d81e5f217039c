"""Baselines: known ways of placing keys, against which the cost planner is measured."""

import bisect
import functools

import xxhash

from fireflylock.assignment import HOT_UNITS
from fireflylock.board import LoadDistribution, Item
from fireflylock.clock import Instant
from fireflylock.loadview import LoadView, MoveReason, Plan
from fireflylock.placement import HOT_SHARE, Planner

POINTS_PER_SERVER = 100
# Capacity of a server in consistent hashing with bounded loads, in fair shares.
LOAD_BOUND = 1.15
GREEDY_GOAL = 1.02
GREEDY_MOVES = 256


def _new_distribution(view: LoadView, now: Instant) -> LoadDistribution:
    board = LoadDistribution(view, now, HOT_SHARE)
    board.free_hot_units = HOT_UNITS - len(view.hot_key_units)
    return board


def _item(board: LoadDistribution, unit: int) -> Item:
    return Item(unit, "", board.unit_loads.get(unit, 0.0), board.key_count(unit))


class StaticRendezvous(Planner):
    """Rendezvous hashing of the hash slots; moves only when servers come or go."""

    def __init__(self) -> None:
        self.targets: dict[tuple[str, ...], list[str]] = {}

    def plan(self, view: LoadView, now: Instant) -> Plan:
        """Return the moves to the servers that the hash names."""
        board = _new_distribution(view, now)
        for slot, target in enumerate(self.targets_of(board)):
            if board.owners.get(slot, "") != target:
                board.move(_item(board, slot), target, MoveReason.NO_OWNER)
        return board.plan

    def targets_of(self, board: LoadDistribution) -> list[str]:
        """Return the owner of each hash slot among the servers that may own keys."""
        names = tuple(sorted(board.capacity))
        if names not in self.targets:
            slots = range(board.view.service.hash_slots)
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
        board = _new_distribution(view, now)
        for server in sorted(board.capacity):
            self.separate_hot_keys(board, server)
        for unit in sorted(board.view.owners):
            if board.owners[unit] not in board.capacity:
                self.settle(board, unit)
        for unit in [*range(view.service.hash_slots), *view.hot_key_units.values()]:
            if unit not in board.owners:
                self.settle(board, unit)
        for server in sorted(board.capacity):
            self.push_out(board, server)
        if self.returns:
            self.bring_back(board)
        return board.plan

    def separate_hot_keys(self, board: LoadDistribution, server: str) -> None:
        """Make hot keys units of their own, on the server where they are."""
        for item in list(board.items(server)):
            if item.key and board.free_hot_units > 0:
                board.move(item, server, MoveReason.OVERLOAD)

    def push_out(self, board: LoadDistribution, server: str) -> None:
        """Move units on from a server that is over the bound."""
        for unit in sorted(board.units[server], key=self.point, reverse=True):
            if board.load[server] <= LOAD_BOUND * board.fair_share(server):
                return
            if unit not in board.excluded_units:
                self.settle(board, unit)

    def bring_back(self, board: LoadDistribution) -> None:
        """Move units back to the first server of their order that has room."""
        for unit in sorted(board.owners, key=self.point):
            if unit in board.excluded_units:
                continue
            load = board.unit_loads.get(unit, 0.0)
            for server in self.order(board, unit):
                if server == board.owners[unit]:
                    break
                if board.load[server] + load <= LOAD_BOUND * board.fair_share(server):
                    board.move(_item(board, unit), server, MoveReason.OVERLOAD)
                    break

    def settle(self, board: LoadDistribution, unit: int) -> None:
        """Move `unit` to the first other server of its order that has room."""
        load = board.unit_loads.get(unit, 0.0)
        owner = board.owners.get(unit, "")
        for server in self.order(board, unit):
            if server == owner:
                continue
            if board.load[server] + load <= LOAD_BOUND * board.fair_share(server):
                board.move(_item(board, unit), server, MoveReason.OVERLOAD)
                return
        if owner not in board.capacity:
            board.move(_item(board, unit), board.least_loaded(), MoveReason.NO_OWNER)

    def order(self, board: LoadDistribution, unit: int) -> list[str]:
        """Return the servers in the order in which the ring offers them to `unit`."""
        names = tuple(sorted(board.capacity))
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
        board = _new_distribution(view, now)
        for unit in sorted(set(range(view.service.hash_slots)) | set(view.hot_key_units.values())):
            if board.owners.get(unit, "") not in board.capacity:
                board.move(_item(board, unit), board.least_loaded(), MoveReason.NO_OWNER)
        stuck: set[str] = set()
        for _ in range(GREEDY_MOVES):
            source = board.most_loaded(set(board.capacity) - stuck)
            if source is None or board.relative_load(source) <= GREEDY_GOAL:
                break
            target = board.least_loaded()
            gap = board.load[source] - board.load[target]
            fitting = [item for item in board.items(source) if 0.0 < item.load < gap]
            if not fitting:
                stuck.add(source)
                continue
            best = min(fitting, key=lambda item: (abs(item.load - gap / 2), item.unit, item.key))
            board.move(best, target, MoveReason.OVERLOAD)
        return board.plan
