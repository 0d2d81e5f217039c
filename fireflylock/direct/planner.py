"""Plans which keys move to other owners.

The rules handle neighbouring keys that get a large part of a service's requests for some
seconds, before others do; servers of different speeds; servers that join without keys, or
leave.  A move interrupts its keys for a fraction of a second, an overloaded server costs all of
its keys far more, so moves are few and each one must be worth it.
"""

from dataclasses import dataclass

from fireflylock.direct.key_loads import MIN_LOAD
from fireflylock.direct.key_ranges import KeyRange, Owner, RangeMap
from fireflylock.direct.load_distribution import (
    Capacity,
    LoadDistribution,
    RangeLoad,
    key_count,
    remove_keys,
)
from fireflylock.direct.model import KEY_COUNT
from fireflylock.direct.run_selection import select_run, select_upper_half

# A server is relieved when its utilization by the long-term loads exceeds this, and this multiple
# of the mean; the second pair is for the short-term loads.
STEADY_UTILIZATION = 0.68
STEADY_MEAN_FACTOR = 1.3
SUDDEN_UTILIZATION = 0.95
SUDDEN_MEAN_FACTOR = 1.6
# A server is filled up to this utilization, or this multiple of the mean if that is more.
FILL_UTILIZATION = 0.5
FILL_MEAN_FACTOR = 1.08
# Moves of less than this part of a server's capacity are lost in the noise of the loads.  A
# server with a request limit refuses what exceeds it, so that its own small capacity counts.
MIN_RELIEF = 0.06
# After a move the target's utilization is at most this multiple of the source's: server speeds
# are estimates, and a hot key must not move back and forth.
MAX_TARGET_RATIO = 0.9
# The same for a key that alone overloads the target too.  It slows down whichever server owns
# it, so that each owner in turn looks slower than it is.
OVERLOADING_KEY_TARGET_RATIO = 0.5
# With more ranges than this per server, small ones move to a neighbour's owner.
MAX_RANGES_PER_SERVER = 5
# Ranges with less than this part of a server's capacity are small; so many move at a time.
SMALL_RANGE_LOAD = 0.02
MAX_SMALL_RANGE_MOVES = 4
# A server without keys gets this part of the mean load.
JOINING_SERVER_SHARE = 0.7
# It gets at most this multiple of that load, from one of so many of the most utilized servers.
FILL_OVERSHOOT = 1.5
FILL_SOURCES = 4
# Most moves in one round of planning.
MAX_MOVES = 16
# Ranges that each server gets in the initial map.
INITIAL_RANGES_PER_SERVER = 2


@dataclass(frozen=True)
class Move:
    """A planned move of neighbouring keys.

    Attributes
    ----------
    first, last : int
        The keys, both inclusive; one range holds them all.
    target : Owner
        The next owner.
    load : float
        Their load in seconds of work per second.
    reason : str
        For the log.
    """

    first: int
    last: int
    target: Owner
    load: float
    reason: str


def initial_map(service: str, servers: list[Capacity], epoch: int = 1) -> RangeMap:
    """Return a map of equal ranges; those of one server are not adjacent."""
    owners = [server.owner for server in servers] * INITIAL_RANGES_PER_SERVER
    ranges = []
    for index, owner in enumerate(owners):
        first = index * KEY_COUNT // len(owners)
        last = (index + 1) * KEY_COUNT // len(owners) - 1
        ranges.append(KeyRange(first, last, owner, epoch))
    return RangeMap(service, tuple(ranges), next_epoch=epoch + 1)


@dataclass(frozen=True)
class OverloadThreshold:
    """Utilization above which a server is relieved.

    Attributes
    ----------
    utilization : float
        Utilization, 1 at capacity.
    mean_factor : float
        Utilization as a multiple of the mean.
    """

    utilization: float
    mean_factor: float


STEADY = OverloadThreshold(STEADY_UTILIZATION, STEADY_MEAN_FACTOR)
SUDDEN = OverloadThreshold(SUDDEN_UTILIZATION, SUDDEN_MEAN_FACTOR)


def plan(
    range_map: RangeMap,
    servers: list[Capacity],
    short_loads: dict[int, float] | None,
    long_loads: dict[int, float] | None,
) -> list[Move]:
    """Return the moves that are worth making now.

    Parameters
    ----------
    range_map : RangeMap
        The present owners.
    servers : list of Capacity
        Servers that may own keys and get more of them.
    short_loads, long_loads : dict of int to float, or None
        Seconds of work per second by key, as short-term and long-term averages; None while
        they cover too little time.
    """
    if len(servers) < 2:
        return []
    moves: list[Move] = []
    distribution = LoadDistribution(range_map, long_loads or short_loads or {}, servers)
    fill_empty_servers(distribution, moves)
    if moves:
        return moves[:MAX_MOVES]
    if short_loads is not None:
        relieve_overloaded_servers(
            LoadDistribution(range_map, short_loads, servers), moves, SUDDEN
        )
    if long_loads is not None and not moves:
        relieve_overloaded_servers(distribution, moves, STEADY)
    if long_loads is not None and not moves:
        merge_small_ranges(range_map, servers, long_loads, moves)
    return moves[:MAX_MOVES]


def fill_empty_servers(distribution: LoadDistribution, moves: list[Move]) -> None:
    """Move keys to servers that have none."""
    for owner in distribution.capacity:
        if distribution.range_loads.get(owner) or owner in distribution.returning:
            continue
        wanted = (
            JOINING_SERVER_SHARE * distribution.mean_utilization * distribution.capacity[owner]
        )
        source, run = choose_fill_run(distribution, wanted)
        if run is None:
            continue
        first, last, load = run
        if owner in distribution.limited and load > FILL_OVERSHOOT * wanted:
            continue
        moves.append(Move(first, last, owner, load, "fill"))
        remove_keys(distribution.range_loads[source], first, last)
        distribution.move_load(source, owner, load)
        distribution.range_loads[owner] = [RangeLoad(KeyRange(first, last, owner, 0))]


def choose_fill_run(
    distribution: LoadDistribution, wanted: float
) -> tuple[Owner | None, tuple[int, int, float] | None]:
    """Return the source of keys for a server without any, and their first, last and load.

    No source gives away all of its keys, nor a single key with far more than the wanted load:
    such a key would only move from one empty server to the next.
    """
    sources = [source for source in distribution.range_loads if source in distribution.capacity]
    if not sources:
        return None, None
    if wanted > MIN_LOAD:
        for source in sorted(sources, key=distribution.utilization, reverse=True)[:FILL_SOURCES]:
            run = select_run(distribution.range_loads[source], wanted)
            if run is None or run[2] > FILL_OVERSHOOT * wanted:
                continue
            if run[1] - run[0] + 1 < key_count(distribution.range_loads[source]):
                return source, run
    source = max(sources, key=lambda name: key_count(distribution.range_loads[name]))
    return source, select_upper_half(distribution.range_loads[source])


def relieve_overloaded_servers(
    distribution: LoadDistribution, moves: list[Move], threshold: OverloadThreshold
) -> None:
    """Move keys away from servers above the threshold."""
    limit = max(threshold.utilization, threshold.mean_factor * distribution.mean_utilization)
    level = max(FILL_UTILIZATION, FILL_MEAN_FACTOR * distribution.mean_utilization)
    for source in sorted(distribution.capacity, key=distribution.utilization, reverse=True):
        while distribution.utilization(source) > limit and len(moves) < MAX_MOVES:
            target = distribution.least_utilized(exclude=source)
            headroom = distribution.headroom(target, level)
            wanted = min(headroom, -distribution.headroom(source, level))
            relieved = source if source in distribution.limited else target
            if wanted < MIN_RELIEF * distribution.capacity[relieved]:
                break
            run = select_run(distribution.range_loads.get(source, []), wanted)
            if run is None:
                break
            first, last, load = run
            target = distribution.best_target(load, exclude=source)
            key_load, hottest = hottest_key(distribution.range_loads[source], first, last)
            ratio = (
                OVERLOADING_KEY_TARGET_RATIO
                if key_load >= distribution.capacity[target]
                else MAX_TARGET_RATIO
            )
            if distribution.utilization_with(target, load) > ratio * distribution.utilization(
                source
            ):
                # The hottest key of the run stays, and the keys beside it move away.
                remove_keys(distribution.range_loads[source], hottest, hottest)
                continue
            moves.append(Move(first, last, target, load, "busy"))
            remove_keys(distribution.range_loads[source], first, last)
            distribution.move_load(source, target, load)


def hottest_key(range_loads: list[RangeLoad], first: int, last: int) -> tuple[float, int]:
    """Return the load of the hottest key from `first` to `last`, and that key."""
    return max(
        (load, key)
        for range_load in range_loads
        for key, load in range_load.key_loads
        if first <= key <= last
    )


def merge_small_ranges(
    range_map: RangeMap, servers: list[Capacity], loads: dict[int, float], moves: list[Move]
) -> None:
    """Move small ranges to a neighbour's owner, so that there are fewer ranges."""
    if len(range_map.ranges) <= MAX_RANGES_PER_SERVER * len(servers):
        return
    # The relief of overloaded servers sets hot keys aside, and with them the starts of ranges.
    distribution = LoadDistribution(range_map, loads, servers)
    range_loads = {
        one.key_range.first: (owner, one.load)
        for owner, owned in distribution.range_loads.items()
        for one in owned
    }
    key_ranges = range_map.ranges
    taken = set()
    for before, key_range, after in zip(key_ranges, key_ranges[1:], key_ranges[2:], strict=False):
        if len(moves) >= MAX_SMALL_RANGE_MOVES:
            return
        owner, load = range_loads[key_range.first]
        capacity = distribution.capacity.get(owner)
        if capacity is None or load > SMALL_RANGE_LOAD * capacity or before.first in taken:
            continue
        neighbour = before if len(before) >= len(after) else after
        if neighbour.owner not in distribution.capacity or neighbour.owner == owner:
            continue
        moves.append(Move(key_range.first, key_range.last, neighbour.owner, load, "tidy"))
        taken.add(key_range.first)


def choose_targets(
    key_ranges: list[KeyRange],
    range_map: RangeMap,
    loads: dict[int, float],
    servers: list[Capacity],
) -> list[Move]:
    """Return moves for keys that must leave their owners.

    Parameters
    ----------
    key_ranges : list of KeyRange
        Ranges that must move.
    range_map, loads, servers
        As for `plan`; none of the present owners of `key_ranges` is among the servers.
    """
    distribution = LoadDistribution(range_map, loads, servers)
    moves = []
    if not distribution.capacity:
        return moves
    weighted = []
    for key_range in key_ranges:
        load = sum(load for key, load in loads.items() if key_range.first <= key <= key_range.last)
        weighted.append((load + len(key_range) / KEY_COUNT * 0.001, key_range))
    for load, key_range in sorted(weighted, key=lambda item: -item[0]):
        target = distribution.best_target(load)
        moves.append(Move(key_range.first, key_range.last, target, load, "owner lost or leaving"))
        distribution.load[target] += load
    return moves
