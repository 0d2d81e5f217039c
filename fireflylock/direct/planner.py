"""Which keys should change their owner.

The load these rules answer: neighbouring keys that get a large part of a service's requests
for some seconds, and then others do; servers of different speeds, servers that join empty and
servers that leave.  A move costs its keys a fraction of a second, a busy server costs all of
its keys far more, so moves are few and each one counts.
"""

from dataclasses import dataclass

from fireflylock.direct.key_loads import LEAST_LOAD
from fireflylock.direct.keyranges import KeyRange, Owner, RangeMap
from fireflylock.direct.model import KEY_COUNT
from fireflylock.direct.range_board import Board, Capacity, Piece, keys_of, take_out
from fireflylock.direct.range_cuts import cut_half, cut_load

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
# The next owner must be less busy than this many times what the present one is: speeds of
# servers are estimates, and a hot key must not go back and forth between two of them.
GAIN = 0.9
# The same for a key that alone overloads the next owner too.  It slows down whoever has it, so
# that each owner in turn looks slower than it is.
OUTGROWN_GAIN = 0.5
# With more ranges than this for each server, small ones go to a neighbour's owner.
TIDY_RANGES = 5
# Ranges with less than this part of a server's work are small, and so many go at a time.
SMALL_RANGE = 0.02
MOST_TIDIED = 4
# A server without keys gets this part of a mean server's work.
JOIN_SHARE = 0.7
# It gets at most this many times the wanted load, from one of so many of the busiest servers.
FILL_OVERSHOOT = 1.5
FILL_SOURCES = 4
# Moves in one round at most.
MOST_MOVES = 16
# Ranges that each server has at the start.
FIRST_RANGES = 2


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


def first_map(service: str, servers: list[Capacity]) -> RangeMap:
    """Return the first owners of all keys: equal ranges, each server's apart."""
    owners = [server.owner for server in servers] * FIRST_RANGES
    ranges = []
    for index, owner in enumerate(owners):
        first = index * KEY_COUNT // len(owners)
        last = (index + 1) * KEY_COUNT // len(owners) - 1
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
    if long is not None and not moves:
        tidy(board, range_map, moves)
    return moves[:MOST_MOVES]


def fill_empty(board: Board, moves: list[Move]) -> None:
    """Give keys to servers that have none."""
    for owner in board.capacity:
        if board.pieces.get(owner):
            continue
        wanted = JOIN_SHARE * board.mean * board.capacity[owner]
        source, cut = fill_cut(board, wanted)
        if cut is None:
            continue
        first, last, load = cut
        moves.append(Move(first, last, owner, load, "fill"))
        take_out(board.pieces[source], first, last)
        board.moved(source, owner, load)
        board.pieces[owner] = [Piece(KeyRange(first, last, owner, 0))]


def fill_cut(board: Board, wanted: float) -> tuple[Owner | None, tuple[int, int, float] | None]:
    """Return whose keys a server without any gets, and which: first, last and their load.

    No server gives all that it has, and none gives one key that is far more than is wanted:
    such a key would only go from one empty server to the next.
    """
    sources = [source for source in board.pieces if source in board.capacity]
    if not sources:
        return None, None
    if wanted > LEAST_LOAD:
        for source in sorted(sources, key=board.busyness, reverse=True)[:FILL_SOURCES]:
            cut = cut_load(board.pieces[source], wanted)
            if cut is None or cut[2] > FILL_OVERSHOOT * wanted:
                continue
            if cut[1] - cut[0] + 1 < keys_of(board.pieces[source]):
                return source, cut
    source = max(sources, key=lambda name: keys_of(board.pieces[name]))
    return source, cut_half(board.pieces[source])


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
            target = board.best_for(load, exclude=source)
            key_load, hottest = hottest_key(board.pieces[source], first, last)
            gain = OUTGROWN_GAIN if key_load >= board.capacity[target] else GAIN
            if board.busyness_with(target, load) > gain * board.busyness(source):
                # The hottest key of the cut stays, and the keys beside it leave.
                take_out(board.pieces[source], hottest, hottest)
                continue
            moves.append(Move(first, last, target, load, "busy"))
            take_out(board.pieces[source], first, last)
            board.moved(source, target, load)


def hottest_key(pieces: list[Piece], first: int, last: int) -> tuple[float, int]:
    """Return the load of the hottest key from `first` to `last`, and that key."""
    return max((load, key) for piece in pieces for key, load in piece.keys if first <= key <= last)


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
        amounts.append((load + len(part) / KEY_COUNT * 0.001, part))
    for load, part in sorted(amounts, key=lambda item: -item[0]):
        target = board.best_for(load)
        moves.append(Move(part.first, part.last, target, load, "owner lost or leaving"))
        board.load[target] += load
    return moves
