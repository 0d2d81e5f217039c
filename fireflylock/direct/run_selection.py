"""Selects runs of neighbouring keys with a wanted load from a server's ranges."""

from fireflylock.direct.load_distribution import RangeLoad

# A run is cut out of the middle of a range only if its load is this many times denser than at
# the ends, because that leaves one range more.
MIDDLE_DENSITY_FACTOR = 4.0


def select_run(range_loads: list[RangeLoad], wanted: float) -> tuple[int, int, float] | None:
    """Return a run of keys with a load of about `wanted`: first, last and load.

    It is cut from an end of a range, or from the middle of one where the load is far denser.
    """
    loaded = [range_load for range_load in range_loads if range_load.key_loads]
    if not loaded or wanted <= 0:
        return None
    best = None
    for range_load in loaded:
        for run, factor in ((densest_run(range_load, wanted), 1.0), *end_runs(range_load, wanted)):
            density = factor * run[2] / (run[1] - run[0] + 1)
            if best is None or density > best[0]:
                best = (density, run)
    return best[1]


def end_runs(range_load: RangeLoad, wanted: float) -> list[tuple[tuple[int, int, float], float]]:
    """Return the runs at both ends of a range with about the `wanted` load, and their weight."""
    key_range = range_load.key_range
    runs = []
    for keys, from_start in ((range_load.key_loads, True), (range_load.key_loads[::-1], False)):
        total = 0.0
        for key, load in keys:
            if total and total + load - wanted > wanted - total:
                break
            total += load
            edge = key
            if total >= wanted:
                break
        run = (key_range.first, edge, total) if from_start else (edge, key_range.last, total)
        # Keys without load at the end are included for free; only the loaded stretch counts.
        loaded = abs(edge - keys[0][0]) + 1
        factor = MIDDLE_DENSITY_FACTOR * (run[1] - run[0] + 1) / loaded
        runs.append((run, factor))
    return runs


def densest_run(range_load: RangeLoad, wanted: float) -> tuple[int, int, float]:
    """Return the shortest run of keys in a range with a load of about `wanted`.

    It ends with the key that reaches `wanted`, unless the load is closer to it without that
    key.
    """
    keys = range_load.key_loads
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
    return trim_overshoot(range_load, best, wanted)


def trim_overshoot(
    range_load: RangeLoad, run: tuple[int, int, float], wanted: float
) -> tuple[int, int, float]:
    """Return a run without its last key if its load is then closer to `wanted`."""
    first, last, total = run
    inside = [(key, load) for key, load in range_load.key_loads if first <= key <= last]
    if len(inside) < 2:
        return run
    shorter = total - inside[-1][1]
    if wanted - shorter < total - wanted:
        return (first, inside[-2][0], shorter)
    return run


def select_upper_half(range_loads: list[RangeLoad]) -> tuple[int, int, float] | None:
    """Return the upper half of the longest range."""
    longest = max(range_loads, key=lambda range_load: len(range_load.key_range), default=None)
    if longest is None or len(longest.key_range) < 2:
        return None
    first = longest.key_range.first + len(longest.key_range) // 2
    load = sum(load for key, load in longest.key_loads if key >= first)
    return (first, longest.key_range.last, load)
