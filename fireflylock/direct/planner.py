"""Which keys should change their owner.

The load these rules answer: neighbouring keys that get a large part of a service's requests
for some seconds, and then others do; servers of different speeds, servers that join empty and
servers that leave.  A move costs its keys a fraction of a second, a busy server costs all of
its keys far more, so moves are few and each one counts.
"""

import math
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Instant
from fireflylock.direct.keyranges import KeyRange, Owner, RangeMap
from fireflylock.direct.model import KEYS

# Loads are averaged over two times.  The short one sees hot keys within half a second, but a
# few requests more look like them; the long one tells steady differences from such chance.
SHORT_AGE = timedelta(seconds=1)
LONG_AGE = timedelta(seconds=5)
# A key whose load is below this many seconds of work a second is forgotten.
LEAST_LOAD = 0.0005
# A server is relieved when it is busier than this over the long time, and than this many
# times the mean; and likewise over the short time.
BUSY = 0.68
BUSY_FACTOR = 1.3
SUDDENLY_BUSY = 0.95
SUDDEN_FACTOR = 1.6
# Up to this a server is filled, or this many times the mean if that is more.
FILL = 0.5
FILL_FACTOR = 1.08
# Moves of less than this part of a server's work are lost in the noise of the loads.
LEAST_RELIEF = 0.06
# Keys are cut out of the middle of a range only where they are this many times denser than
# those at its ends: that leaves one range more.
MIDDLE_FACTOR = 4.0
# With more ranges than this for each server, small ones go to a neighbour's owner.
TIDY_RANGES = 5
# Ranges with less than this part of a server's work are small, and so many go at a time.
SMALL_RANGE = 0.02
MOST_TIDIED = 4
# A server without keys gets this part of a mean server's work.
JOIN_SHARE = 0.7
# Moves in one round at most.
MOST_MOVES = 16
# Ranges that each server has at the start.
FIRST_RANGES = 2


class KeyLoads:
    """The work that the keys of one service ask for, averaged over some time.

    Parameters
    ----------
    now : timedelta
        Present instant.
    age : timedelta
        Mean age of what counts.
    """

    def __init__(self, now: Instant, age: timedelta) -> None:
        self.age = age
        self.loads: dict[int, float] = {}
        self.at = now
        self.began = now

    def add(self, now: Instant, work: dict[int, float]) -> None:
        """Take in what was asked for, in seconds of work by key."""
        self.decay(now)
        age = self.age.total_seconds()
        for key, seconds in work.items():
            if 0 <= key < KEYS:
                self.loads[key] = self.loads.get(key, 0.0) + seconds / age

    def decay(self, now: Instant) -> None:
        """Let what was taken in before count less."""
        passed = now - self.at
        if passed < self.age / 50:
            return
        self.at = now
        left = math.exp(-(passed / self.age))
        self.loads = {
            key: load * left for key, load in self.loads.items() if load * left > LEAST_LOAD
        }

    def is_warm(self, now: Instant) -> bool:
        """Return whether it has seen enough time to be judged by."""
        return now - self.began >= self.age


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


@dataclass(frozen=True)
class Trigger:
    """How busy a server must be before it is relieved.

    Attributes
    ----------
    busy : float
        Part of its time that it is asked to work.
    factor : float
        The same, as a multiple of the mean.
    """

    busy: float
    factor: float


STEADY = Trigger(BUSY, BUSY_FACTOR)
SUDDEN = Trigger(SUDDENLY_BUSY, SUDDEN_FACTOR)


def plan(
    range_map: RangeMap,
    servers: list[Capacity],
    short: dict[int, float] | None,
    long: dict[int, float] | None,
) -> list[Move]:
    """Return the moves that are worth making now.

    Parameters
    ----------
    range_map : RangeMap
        Who owns what.
    servers : list of Capacity
        Servers that may own keys and get more of them.
    short, long : dict of int to float, or None
        Seconds of work a second by key, averaged over the short and the long time; None
        where that time has not passed yet.
    """
    if len(servers) < 2:
        return []
    moves: list[Move] = []
    board = Board(range_map, long or short or {}, servers)
    fill_empty(board, moves)
    if moves:
        return moves[:MOST_MOVES]
    if short is not None:
        relieve_busy(Board(range_map, short, servers), moves, SUDDEN)
    if long is not None and not moves:
        relieve_busy(board, moves, STEADY)
    if not moves:
        tidy(board, range_map, moves)
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


def relieve_busy(board: Board, moves: list[Move], trigger: Trigger) -> None:
    """Move keys away from servers that are too busy."""
    limit = max(trigger.busy, trigger.factor * board.mean)
    level = max(FILL, FILL_FACTOR * board.mean)
    for source in sorted(board.capacity, key=board.busyness, reverse=True):
        while board.busyness(source) > limit and len(moves) < MOST_MOVES:
            target = board.idlest(exclude=source)
            room = board.room(target, level)
            wanted = min(room, -board.room(source, level))
            if wanted < LEAST_RELIEF * board.capacity[target]:
                break
            cut = cut_load(board.pieces.get(source, []), wanted)
            if cut is None:
                break
            first, last, load = cut
            after = (board.load[target] + load) / board.capacity[target]
            if after >= board.busyness(source):
                break
            moves.append(Move(first, last, target, load, "busy"))
            take_out(board.pieces[source], first, last)
            board.moved(source, target, load)


def tidy(board: Board, range_map: RangeMap, moves: list[Move]) -> None:
    """Give small ranges to the owner of a neighbour, so that there are fewer of them."""
    if len(range_map.ranges) <= TIDY_RANGES * len(board.capacity):
        return
    loads = {}
    for owner, pieces in board.pieces.items():
        for piece in pieces:
            loads[piece.part.first] = (owner, piece.load)
    parts = range_map.ranges
    taken = set()
    for before, part, after in zip(parts, parts[1:], parts[2:], strict=False):
        if len(moves) >= MOST_TIDIED:
            return
        owner, load = loads[part.first]
        capacity = board.capacity.get(owner)
        if capacity is None or load > SMALL_RANGE * capacity or before.first in taken:
            continue
        neighbour = before if len(before) >= len(after) else after
        if neighbour.owner not in board.capacity or neighbour.owner == owner:
            continue
        moves.append(Move(part.first, part.last, neighbour.owner, load, "tidy"))
        taken.add(part.first)


def cut_load(pieces: list[Piece], wanted: float) -> tuple[int, int, float] | None:
    """Return neighbouring keys that carry about `wanted`: first, last and their load.

    They are cut from an end of a range, or from the middle of one where the load lies far
    more densely there.
    """
    loaded = [piece for piece in pieces if piece.keys]
    if not loaded or wanted <= 0:
        return None
    best = None
    for piece in loaded:
        for cut, factor in ((densest(piece, wanted), 1.0), *ends(piece, wanted)):
            density = factor * cut[2] / (cut[1] - cut[0] + 1)
            if best is None or density > best[0]:
                best = (density, cut)
    return best[1]


def ends(piece: Piece, wanted: float) -> list[tuple[tuple[int, int, float], float]]:
    """Return the runs at both ends of a range that carry about `wanted`, and their weight."""
    part = piece.part
    runs = []
    for keys, from_start in ((piece.keys, True), (piece.keys[::-1], False)):
        total = 0.0
        for key, load in keys:
            if total and total + load - wanted > wanted - total:
                break
            total += load
            edge = key
            if total >= wanted:
                break
        run = (part.first, edge, total) if from_start else (edge, part.last, total)
        # Keys without load at the end come along for nothing; only the loaded stretch counts.
        loaded = abs(edge - keys[0][0]) + 1
        factor = MIDDLE_FACTOR * (run[1] - run[0] + 1) / loaded
        runs.append((run, factor))
    return runs


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
