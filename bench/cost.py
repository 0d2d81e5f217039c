"""Cost: processor time and memory of the load decisions, as slopes, and per request."""

import time
import tracemalloc
from collections.abc import Callable
from datetime import timedelta

import numpy as np

from bench.figures import Figures
from fireflylock import messages
from fireflylock.admission import Admission, Ticket
from fireflylock.assignment import MAX_HOT_UNITS, Assignment, GateRecord, Ownership
from fireflylock.assignment_codec import MAX_VALUE_BYTES, encode
from fireflylock.health import ServiceHealth
from fireflylock.hot_keys import HotKeyCounter
from fireflylock.messages import LoadReport
from fireflylock.model import Service
from fireflylock.placement import CostPlanner, spread_lost
from fireflylock.planning import LoadView, ServerView
from fireflylock.unit_loads import UnitLoads

SLOT_COUNTS = (1024, 4096, 16384, 65536)
SERVER_COUNTS = (20, 80, 320, 1000)
SLOTS_PER_SERVER = 64
SERVERS_FOR_SLOTS = 20
REPEATS = 20_000
NOW = timedelta(hours=1)


def make_view(slots: int, servers: int, uneven: bool) -> LoadView:
    """Return a service of the given size; uneven ones keep the planner busy."""
    random = np.random.default_rng(1)
    names = [f"server-{number:04}" for number in range(servers)]
    views = {name: ServerView(name, "zone", 4.0) for name in names}
    owners = {slot: names[slot % servers] for slot in range(slots)}
    loads = random.uniform(0.9, 1.1, slots)
    hot: dict[str, float] = {}
    if uneven:
        loads[:: servers // 10] *= 1.5
        shares = random.uniform(0.02, 0.4, MAX_HOT_UNITS) * slots / servers
        hot = {f"key-{number}": float(share) for number, share in enumerate(shares)}
    return LoadView(
        Service("cost", hash_slots=slots),
        views,
        owners,
        dict(enumerate(loads.tolist())),
        hot_key_rates=hot,
        home_slots={key: number * 7 for number, key in enumerate(hot)},
    )


def make_assignment(slots: int, servers: int) -> Assignment:
    """Return an assignment of the given size."""
    random = np.random.default_rng(2)
    names = [f"mesa-pedidos-{number:04}" for number in range(servers)]
    epochs = random.integers(1, 2000, slots).tolist()
    owners = random.integers(0, servers, slots).tolist()
    units = {slot: Ownership(names[owners[slot]], epochs[slot]) for slot in range(slots)}
    hot = {f"key-{number}": slots + number for number in range(MAX_HOT_UNITS)}
    units |= {unit: Ownership(names[0], 1) for unit in hot.values()}
    gates = {
        name: GateRecord(f"entry-{n % 440:03}", 3, "entry-001") for n, name in enumerate(names)
    }
    return Assignment("mesa-pedidos", slots, units, hot, gates)


def milliseconds(call: Callable[[], object], repeats: int = 3) -> float:
    """Return the shortest processor time of a call, in milliseconds."""
    times = []
    for _ in range(repeats):
        begin = time.process_time_ns()
        call()
        times.append(time.process_time_ns() - begin)
    return min(times) / 1e6


def nanoseconds(call: Callable[[int], object], rounds: int = 5) -> float:
    """Return the processor time of one of many calls, in nanoseconds."""
    best = float("inf")
    for _ in range(rounds):
        begin = time.process_time_ns()
        for number in range(REPEATS):
            call(number)
        best = min(best, (time.process_time_ns() - begin) / REPEATS)
    return best


def slope(sizes: tuple[int, ...], values: list[float]) -> float:
    """Return the growth per unit of size, by least squares."""
    return float(np.polyfit(sizes, values, 1)[0])


def peak_bytes(call: Callable[[], object]) -> int:
    """Return the most memory that a call held at once."""
    tracemalloc.start()
    call()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak


def run(argv: list[str] | None = None) -> Figures:
    """Measure and return the figures."""
    figures = Figures()
    add_planner(figures)
    add_assignment(figures)
    add_requests(figures)
    return figures


def add_planner(figures: Figures) -> None:
    """Add time and memory of a plan by slots and by servers."""
    planner = CostPlanner()
    # The first plan of a process pays for caches that the later ones find filled.
    planner.plan(make_view(1024, 20, uneven=True), NOW)
    for uneven, label in ((False, "nothing to do"), (True, "a full batch")):
        views = [make_view(slots, SERVERS_FOR_SLOTS, uneven) for slots in SLOT_COUNTS]
        times = [milliseconds(lambda view=view: planner.plan(view, NOW)) for view in views]
        memory = [float(peak_bytes(lambda view=view: planner.plan(view, NOW))) for view in views]
        for slots, took in zip(SLOT_COUNTS, times, strict=True):
            figures.add(f"plan, {label}, {slots} slots, {SERVERS_FOR_SLOTS} servers", took, "ms")
        figures.add(f"plan, {label}: per slot", slope(SLOT_COUNTS, times) * 1e3, "us")
        figures.add(f"plan, {label}: memory per slot", slope(SLOT_COUNTS, memory), "bytes")
        views = [
            make_view(SLOTS_PER_SERVER * servers, servers, uneven) for servers in SERVER_COUNTS
        ]
        times = [milliseconds(lambda view=view: planner.plan(view, NOW)) for view in views]
        for servers, took in zip(SERVER_COUNTS, times, strict=True):
            name = f"plan, {label}, {servers} servers of {SLOTS_PER_SERVER} slots"
            figures.add(name, took, "ms")
        figures.add(f"plan, {label}: per server", slope(SERVER_COUNTS, times) * 1e3, "us")
    view = make_view(16384, 320, uneven=False)
    lost = sorted(view.servers)[:16]
    took = milliseconds(lambda: spread_lost(view, lost, NOW))
    figures.add("spread of 16 lost servers of 320, 16384 slots", took, "ms")


def add_assignment(figures: Figures) -> None:
    """Add the stored size and memory of an assignment by slots."""
    sizes, memory, times = [], [], []
    for slots in SLOT_COUNTS:
        assignment = make_assignment(slots, SERVERS_FOR_SLOTS)
        sizes.append(float(len(encode(assignment))))
        times.append(milliseconds(lambda assignment=assignment: encode(assignment)))
        memory.append(
            float(peak_bytes(lambda slots=slots: make_assignment(slots, SERVERS_FOR_SLOTS)))
        )
        figures.add(f"assignment of {slots} slots, stored", sizes[-1], "bytes")
    figures.add("assignment: stored per slot", slope(SLOT_COUNTS, sizes), "bytes")
    figures.add("assignment: memory per slot", slope(SLOT_COUNTS, memory), "bytes")
    figures.add("assignment: encoding per slot", slope(SLOT_COUNTS, times) * 1e3, "us")
    by_server = [float(len(encode(make_assignment(4096, servers)))) for servers in SERVER_COUNTS]
    figures.add("assignment: stored per server", slope(SERVER_COUNTS, by_server), "bytes")
    figures.at_most("assignment of 65536 slots, stored", sizes[-1], "bytes", MAX_VALUE_BYTES)


def add_requests(figures: Figures) -> None:
    """Add the time that the decisions about one request take."""
    assignment = make_assignment(16384, 320)
    keys = [f"key-{number * 31 % 100_000}" for number in range(REPEATS)]
    table = {key: assignment.owner_of(key) for key in keys}
    look_up = nanoseconds(lambda number: table[keys[number]])
    routing = nanoseconds(lambda number: assignment.owner_of(keys[number]))
    figures.add("dict look-up", look_up, "ns")
    figures.add("routing decision", routing, "ns")
    figures.add("routing decision against a dict look-up", routing / look_up, "ratio")
    hot_keys = HotKeyCounter(NOW)
    figures.add("hot key counted", nanoseconds(lambda n: hot_keys.add(NOW, keys[n])), "ns")
    unit_loads = UnitLoads(NOW, 16384)
    figures.add("unit load counted", nanoseconds(lambda n: unit_loads.add(NOW, n % 16384)), "ns")
    tickets = [Ticket(key, key, NOW * 2) for key in keys]
    admission = Admission(4, 256, timedelta(milliseconds=5))

    def admit(number: int) -> None:
        admission.offer(NOW, tickets[number])
        admission.finish(NOW, tickets[number])

    figures.add("admission of a request that need not wait", nanoseconds(admit), "ns")
    add_waiting(figures)
    health = ServiceHealth(["a", "b"])
    figures.add(
        "health of an answer", nanoseconds(lambda n: health.record_success(NOW, "a")), "ns"
    )
    sketch = peak_bytes(lambda: [HotKeyCounter(NOW).add(NOW, key) for key in keys[:1]])
    figures.add("hot keys of one gate, Python side", float(sketch), "bytes")
    report = LoadReport(
        "mesa-pedidos",
        "mesa-pedidos-0001",
        dict.fromkeys(range(0, 16384, 320), 12.345),
        [(f"key-{number}", 12.345) for number in range(20)],
        3,
        0,
        1000,
    )
    figures.add("load report of 52 units and 20 hot keys", len(messages.encode(report)), "bytes")


def add_waiting(figures: Figures) -> None:
    """Add the time of admission while the queue is full of many customers."""
    admission = Admission(4, 256, timedelta(milliseconds=5))
    for number in range(260):
        admission.offer(NOW, Ticket(f"first-{number}", f"customer-{number % 64}", NOW * 2))
    serial = iter(range(10**9))

    def turn(_: int) -> None:
        running = next(iter(admission.running.values())).ticket
        admission.finish(NOW, running)
        number = next(serial)
        admission.offer(NOW, Ticket(f"next-{number}", f"customer-{number % 64}", NOW * 2))

    figures.add("admission with 256 waiting of 64 customers", nanoseconds(turn, rounds=1), "ns")
