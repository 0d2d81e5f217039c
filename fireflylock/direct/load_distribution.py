"""The load of each owner of key ranges, and how it changes when keys move."""

from dataclasses import dataclass, field

from fireflylock.direct.key_ranges import KeyRange, Owner, RangeMap


@dataclass(frozen=True)
class Capacity:
    """A server that may own keys.

    Attributes
    ----------
    owner : Owner
        The server.
    work : float
        Seconds of an average server's work that it does per second.
    limited : bool
        Whether it takes a limited number of requests.
    returning : bool
        Whether it gets keys only to relieve others.
    """

    owner: Owner
    work: float
    limited: bool = False
    returning: bool = False


@dataclass
class RangeLoad:
    """One range, with the loads of its keys in order."""

    key_range: KeyRange
    key_loads: list[tuple[int, float]] = field(default_factory=list)

    @property
    def load(self) -> float:
        """Seconds of work per second."""
        return sum(load for _, load in self.key_loads)


class LoadDistribution:
    """The load of each owner under a map.

    Parameters
    ----------
    range_map : RangeMap
        The present owners.
    loads : dict of int to float
        Seconds of work per second, by key.
    servers : list of Capacity
        Servers that may own keys.
    """

    def __init__(
        self, range_map: RangeMap, loads: dict[int, float], servers: list[Capacity]
    ) -> None:
        self.capacity = {server.owner: server.work for server in servers}
        self.limited = {server.owner for server in servers if server.limited}
        self.returning = {server.owner for server in servers if server.returning}
        self.range_loads: dict[Owner, list[RangeLoad]] = {}
        by_first = {}
        for key_range in range_map.ranges:
            range_load = RangeLoad(key_range)
            by_first[key_range.first] = range_load
            self.range_loads.setdefault(key_range.owner, []).append(range_load)
        for key in sorted(loads):
            by_first[range_map.range_of(key).first].key_loads.append((key, loads[key]))
        self.load = dict.fromkeys(self.capacity, 0.0)
        for owner, range_loads in self.range_loads.items():
            self.load[owner] = sum(range_load.load for range_load in range_loads)
        total_capacity = sum(self.capacity.values())
        self.mean_utilization = sum(loads.values()) / total_capacity if total_capacity else 0.0

    def utilization(self, owner: Owner) -> float:
        """Return the load of an owner as a part of its capacity."""
        return self.load[owner] / self.capacity[owner]

    def headroom(self, owner: Owner, level: float) -> float:
        """Return how much load an owner can take up to the utilization `level`."""
        return level * self.capacity[owner] - self.load[owner]

    def least_utilized(self, exclude: Owner | None = None) -> Owner | None:
        """Return the server with the least utilization."""
        others = [owner for owner in self.capacity if owner != exclude]
        return min(others, key=self.utilization, default=None)

    def best_target(self, load: float, exclude: Owner | None = None) -> Owner | None:
        """Return the server whose utilization is least once it has `load` more.

        For a load that is large relative to a server's capacity this is a fast server, and not
        necessarily the least utilized one.
        """
        others = [owner for owner in self.capacity if owner != exclude]
        return min(others, key=lambda owner: self.utilization_with(owner, load), default=None)

    def utilization_with(self, owner: Owner, load: float) -> float:
        """Return the utilization of an owner once it has `load` more."""
        return (self.load[owner] + load) / self.capacity[owner]

    def move_load(self, source: Owner, target: Owner, load: float) -> None:
        """Account a load to its next owner."""
        self.load[source] -= load
        self.load[target] += load


def key_count(range_loads: list[RangeLoad]) -> int:
    """Return the number of keys in some ranges."""
    return sum(len(range_load.key_range) for range_load in range_loads)


def remove_keys(range_loads: list[RangeLoad], first: int, last: int) -> None:
    """Remove keys from the ranges that contain them."""
    for range_load in list(range_loads):
        if not range_load.key_range.overlaps(first, last):
            continue
        range_loads.remove(range_load)
        for left_first, left_last in (
            (range_load.key_range.first, first - 1),
            (last + 1, range_load.key_range.last),
        ):
            if left_last < left_first:
                continue
            key_range = KeyRange(
                left_first, left_last, range_load.key_range.owner, range_load.key_range.epoch
            )
            keys = [
                (key, load) for key, load in range_load.key_loads if left_first <= key <= left_last
            ]
            range_loads.append(RangeLoad(key_range, keys))
