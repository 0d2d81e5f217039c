"""The load of each owner of key ranges, and what would change if keys moved."""

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
        Seconds of an average server's work that it does in a second.
    """

    owner: Owner
    work: float


@dataclass
class Piece:
    """Keys of one range, with their loads in order."""

    part: KeyRange
    keys: list[tuple[int, float]] = field(default_factory=list)

    @property
    def load(self) -> float:
        """Seconds of work a second."""
        return sum(load for _, load in self.keys)


class Board:
    """The load of each owner under a map.

    Parameters
    ----------
    range_map : RangeMap
        Who owns what.
    loads : dict of int to float
        Seconds of work a second, by key.
    servers : list of Capacity
        Servers that may own keys.
    """

    def __init__(
        self, range_map: RangeMap, loads: dict[int, float], servers: list[Capacity]
    ) -> None:
        self.capacity = {server.owner: server.work for server in servers}
        self.pieces: dict[Owner, list[Piece]] = {}
        by_first = {}
        for part in range_map.ranges:
            piece = Piece(part)
            by_first[part.first] = piece
            self.pieces.setdefault(part.owner, []).append(piece)
        for key in sorted(loads):
            by_first[range_map.range_of(key).first].keys.append((key, loads[key]))
        self.load = dict.fromkeys(self.capacity, 0.0)
        for owner, pieces in self.pieces.items():
            self.load[owner] = sum(piece.load for piece in pieces)
        total_capacity = sum(self.capacity.values())
        self.mean = sum(loads.values()) / total_capacity if total_capacity else 0.0

    def busyness(self, owner: Owner) -> float:
        """Return the part of its time that an owner is asked to work."""
        return self.load[owner] / self.capacity[owner]

    def room(self, owner: Owner, level: float) -> float:
        """Return how much work an owner may get until it is as busy as `level`."""
        return level * self.capacity[owner] - self.load[owner]

    def idlest(self, exclude: Owner | None = None) -> Owner | None:
        """Return the least busy server."""
        others = [owner for owner in self.capacity if owner != exclude]
        return min(others, key=self.busyness, default=None)

    def best_for(self, load: float, exclude: Owner | None = None) -> Owner | None:
        """Return the server that is least busy once it has `load` more.

        For a load that is large against a server's capacity this is a fast server, and not
        necessarily the idlest one.
        """
        others = [owner for owner in self.capacity if owner != exclude]
        return min(others, key=lambda owner: self.busyness_with(owner, load), default=None)

    def busyness_with(self, owner: Owner, load: float) -> float:
        """Return the part of its time that an owner would be asked to work with `load` more."""
        return (self.load[owner] + load) / self.capacity[owner]

    def move_load(self, source: Owner, target: Owner, load: float) -> None:
        """Count a load at its next owner."""
        self.load[source] -= load
        self.load[target] += load


def keys_of(pieces: list[Piece]) -> int:
    """Return how many keys some ranges have."""
    return sum(len(piece.part) for piece in pieces)


def take_out(pieces: list[Piece], first: int, last: int) -> None:
    """Take keys out of the ranges that they lie in."""
    for piece in list(pieces):
        if not piece.part.overlaps(first, last):
            continue
        pieces.remove(piece)
        for left_first, left_last in (
            (piece.part.first, first - 1),
            (last + 1, piece.part.last),
        ):
            if left_last < left_first:
                continue
            part = KeyRange(left_first, left_last, piece.part.owner, piece.part.epoch)
            keys = [(key, load) for key, load in piece.keys if left_first <= key <= left_last]
            pieces.append(Piece(part, keys))
