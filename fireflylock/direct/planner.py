"""Which keys should change their owner.

The load these rules answer: neighbouring keys that get a large part of a service's requests
for some seconds, and then others do; servers of different speeds, servers that join empty and
servers that leave.  A move costs its keys a fraction of a second, a busy server costs all of
its keys far more, so moves are few and each one counts.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.keyranges import KeyRange, Owner, RangeMap
from fireflylock.direct.model import KEYS

# Loads are averaged over this time: short enough to see hot keys within half a second, long
# enough that a few requests more do not look like them.
LOAD_AGE = timedelta(seconds=1.2)
# A key whose load is below this many seconds of work a second is forgotten.
LEAST_LOAD = 0.0005
# A server is relieved when it is busier than this, and than this many times the mean.
BUSY = 0.7
BUSY_FACTOR = 1.35
# Up to this it is filled, or this many times the mean if that is more.
FILL = 0.5
FILL_FACTOR = 1.08
# A server without keys gets this part of a mean server's work.
JOIN_SHARE = 0.7
# Moves in one round at most.
MOST_MOVES = 16
# Ranges that each server has at the start.
FIRST_RANGES = 2


class KeyLoads:
    """The work that the keys of one service ask for, averaged over a short time."""

    def __init__(self, now: Instant) -> None:
        self.loads: dict[int, float] = {}
        self.at = now
        self.began = now

    def add(self, now: Instant, work: dict[int, float]) -> None:
        """Take in what was asked for, in seconds of work by key."""
        self.decay(now)
        age = LOAD_AGE.total_seconds()
        for key, seconds in work.items():
            if 0 <= key < KEYS:
                self.loads[key] = self.loads.get(key, 0.0) + seconds / age

    def decay(self, now: Instant) -> None:
        """Let what was taken in before count less."""
        passed = now - self.at
        if passed < timedelta(milliseconds=20):
            return
        self.at = now
        left = 0.5 ** (passed / LOAD_AGE * 1.4427)
        self.loads = {
            key: load * left for key, load in self.loads.items() if load * left > LEAST_LOAD
        }

    def is_warm(self, now: Instant) -> bool:
        """Return whether it has seen enough time to be judged by."""
        return now - self.began >= LOAD_AGE


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


@dataclass(frozen=True)
class Move:
    """Neighbouring keys and their next owner.

    Attributes
    ----------
    first, last : int
        The keys, both inclusive; one range holds them all.
    target : Owner
        Who is to own them.
    load : float
        Their seconds of work a second.
    reason : str
        For the log.
    """

    first: int
    last: int
    target: Owner
    load: float
    reason: str


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

    def moved(self, source: Owner, target: Owner, load: float) -> None:
        """Count a load at its next owner."""
        self.load[source] -= load
        self.load[target] += load


def first_map(service: str, servers: list[Capacity]) -> RangeMap:
    """Return the first owners of all keys: equal ranges, each server's apart."""
    owners = [server.owner for server in servers] * FIRST_RANGES
    ranges = []
    for index, owner in enumerate(owners):
        first = index * KEYS // len(owners)
        last = (index + 1) * KEYS // len(owners) - 1
        ranges.append(KeyRange(first, last, owner, 1))
    return RangeMap(service, tuple(ranges), next_epoch=2)


def plan(
    range_map: RangeMap, loads: dict[int, float], servers: list[Capacity], judge: bool
) -> list[Move]:
    """Return the moves that are worth making now.

    Parameters
    ----------
    range_map : RangeMap
        Who owns what.
    loads : dict of int to float
        Seconds of work a second, by key.
    servers : list of Capacity
        Servers that may own keys and get more of them.
    judge : bool
        Whether the loads may be judged by; else only empty servers are filled.
    """
    if len(servers) < 2:
        return []
    board = Board(range_map, loads, servers)
    moves: list[Move] = []
    fill_empty(board, moves)
    if judge:
        relieve_busy(board, moves)
    return moves[:MOST_MOVES]


def fill_empty(board: Board, moves: list[Move]) -> None:
    """Give keys to servers that have none."""
    for owner in board.capacity:
        if board.pieces.get(owner):
            continue
        wanted = JOIN_SHARE * board.mean * board.capacity[owner]
        sources = [source for source in board.pieces if source in board.capacity]
        if not sources:
            return
        if wanted > LEAST_LOAD:
            source = max(sources, key=board.busyness)
            cut = cut_load(board.pieces[source], wanted)
        else:
            source = max(sources, key=lambda name: keys_of(board.pieces[name]))
            cut = cut_half(board.pieces[source])
        if cut is None:
            continue
        first, last, load = cut
        moves.append(Move(first, last, owner, load, "fill"))
        take_out(board.pieces[source], first, last)
        board.moved(source, owner, load)
        board.pieces[owner] = [Piece(KeyRange(first, last, owner, 0))]


def relieve_busy(board: Board, moves: list[Move]) -> None:
    """Move keys away from servers that are too busy."""
    limit = max(BUSY, BUSY_FACTOR * board.mean)
    level = max(FILL, FILL_FACTOR * board.mean)
    for source in sorted(board.capacity, key=board.busyness, reverse=True):
        while board.busyness(source) > limit and len(moves) < MOST_MOVES:
            target = board.idlest(exclude=source)
            if target is None:
                return
            room = board.room(target, level)
            excess = -board.room(source, level)
            cut = cut_load(board.pieces.get(source, []), min(room, excess))
            if cut is None or room <= 0:
                break
            first, last, load = cut
            before = board.busyness(source)
            if (board.load[target] + load) / board.capacity[target] >= before:
                break
            moves.append(Move(first, last, target, load, "busy"))
            take_out(board.pieces[source], first, last)
            board.moved(source, target, load)


def cut_load(pieces: list[Piece], wanted: float) -> tuple[int, int, float] | None:
    """Return neighbouring keys that carry about `wanted`: first, last and their load.

    They are cut from the end of the range where the load lies most densely, so that few
    keys move; a range is never emptied for less than it carries.
    """
    loaded = [piece for piece in pieces if piece.keys]
    if not loaded or wanted <= 0:
        return None
    best = None
    for piece in loaded:
        cut = densest(piece, wanted)
        density = cut[2] / (cut[1] - cut[0] + 1)
        if best is None or density > best[0]:
            best = (density, cut)
    return best[1]


def densest(piece: Piece, wanted: float) -> tuple[int, int, float]:
    """Return the shortest run of keys in a range that carries about `wanted`.

    The run ends with the key that reaches the amount, unless leaving that key out comes
    closer.
    """
    keys = piece.keys
    best: tuple[int, int, float] | None = None
    start = 0
    total = 0.0
    for end, (key, load) in enumerate(keys):
        total += load
        while start < end and total - keys[start][1] >= wanted:
            total -= keys[start][1]
            start += 1
        if total < wanted:
            continue
        span = key - keys[start][0]
        if best is None or span < best[1] - best[0]:
            best = (keys[start][0], key, total)
    if best is None:
        return (keys[0][0], keys[-1][0], sum(load for _, load in keys))
    return without_overshoot(piece, best, wanted)


def without_overshoot(
    piece: Piece, run: tuple[int, int, float], wanted: float
) -> tuple[int, int, float]:
    """Return a run without its last key where that comes closer to `wanted`."""
    first, last, total = run
    inside = [(key, load) for key, load in piece.keys if first <= key <= last]
    if len(inside) < 2:
        return run
    shorter = total - inside[-1][1]
    if wanted - shorter < total - wanted:
        return (first, inside[-2][0], shorter)
    return run


def cut_half(pieces: list[Piece]) -> tuple[int, int, float] | None:
    """Return the upper half of the longest range."""
    longest = max(pieces, key=lambda piece: len(piece.part), default=None)
    if longest is None or len(longest.part) < 2:
        return None
    first = longest.part.first + len(longest.part) // 2
    load = sum(load for key, load in longest.keys if key >= first)
    return (first, longest.part.last, load)


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


def spread(
    parts: list[KeyRange],
    range_map: RangeMap,
    loads: dict[int, float],
    servers: list[Capacity],
) -> list[Move]:
    """Return new owners for keys that must leave theirs.

    Parameters
    ----------
    parts : list of KeyRange
        What must move.
    range_map, loads, servers
        As for `plan`; none of the present owners of `parts` is among the servers.
    """
    board = Board(range_map, loads, servers)
    moves = []
    if not board.capacity:
        return moves
    amounts = []
    for part in parts:
        load = sum(load for key, load in loads.items() if part.first <= key <= part.last)
        amounts.append((load + len(part) / KEYS * 0.001, part))
    for load, part in sorted(amounts, key=lambda item: -item[0]):
        target = board.idlest()
        moves.append(Move(part.first, part.last, target, load, "owner lost or leaving"))
        board.load[target] += load
    return moves
