"""Which neighbouring keys to cut out of a server's ranges for a wanted load."""

from fireflylock.direct.load_distribution import Piece

# Keys are cut out of the middle of a range only where they are this many times denser than
# those at its ends: that leaves one range more.
MIDDLE_FACTOR = 4.0


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
