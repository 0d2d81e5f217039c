"""What control costs each VM, by the number of VMs up to the target of 440.

Membership and the state relay run as they are, many in one process, over a fake transport,
store and clock; the real transport's cost of a message and of a connection is measured beside
them.  ``python -m bench control [--json] [--quick]``.
"""

import argparse
import asyncio
import gc
import random
import resource
import time
import tracemalloc
from datetime import timedelta
from pathlib import Path

import numpy as np

from bench.figures import Figures
from bench.site import PREFIX, Cost, Site, measure
from fireflylock.clock import FakeClock, SystemClock
from fireflylock.etcd import EtcdStore
from fireflylock.exceptions import PlatformError
from fireflylock.http_client import HTTPResponse
from fireflylock.membership import Membership
from fireflylock.messages import Heartbeat, MemberRow, MemberRows, decode, encode
from fireflylock.model import EntryVM
from fireflylock.peer_keys import CurveKeys
from fireflylock.peers import PeerLimits, Peers

TARGET_VMS = 440
SIZES = (20, 55, 110, 220, TARGET_VMS)

# The target for control, per VM.
MOST_CORE = 0.036
MOST_BYTES = 23_000.0
MOST_MEMORY = 128 * 1024 * 1024
MOST_SECONDS_TO_FORCE = 9.0
# The platform's rates, for the whole fleet.
MOST_READS = 2_000.0
MOST_WRITES = 300.0

SECOND = timedelta(seconds=1)
WARM_UP = 2 * SECOND
STRETCH = 4 * SECOND
CONFIGURATION_BYTES = 100_000
CHANGES_A_DAY = 1_300
SECONDS_A_DAY = 86_400
# Connections for the memory slope; both ends are in this process, as both are on each VM.
CONNECTIONS = (50, 250)
PINGS = 2_000
OUTAGE = 15 * SECOND


def run(options: list[str]) -> Figures:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m bench control")
    parser.add_argument("--quick", action="store_true", help="only the smaller fleets")
    quick = parser.parse_args(options).quick
    sizes = SIZES[:3] if quick else SIZES
    figures = Figures()
    base_memory = _resident_bytes()
    message_core = asyncio.run(_message_core())
    costs = [asyncio.run(_steady(size, figures)) for size in sizes]
    _add_steady(figures, sizes, costs, message_core)
    _add_memory(figures, base_memory)
    for size in sizes:
        asyncio.run(_configuration(size, figures))
    asyncio.run(_loss(sizes[-1], figures))
    asyncio.run(_start_at_once(sizes[-1], figures))
    asyncio.run(_outage(sizes[-1], figures))
    _add_writes_after_outage(sizes[-1], figures)
    return figures


# Steady state.


async def _steady(size: int, figures: Figures) -> Cost:
    """Measure a fleet in which nothing happens."""
    site = Site(size)
    site.start_met()
    await site.run(WARM_UP)
    calls = sum(site.store.kinds.values())
    cost = await measure(site, STRETCH)
    calls = (sum(site.store.kinds.values()) - calls) / STRETCH.total_seconds()
    figures.at_most(f"platform_calls_per_second.{size}_vms", calls, "1/s", MOST_READS)
    await site.stop()
    return cost


def _add_steady(
    figures: Figures, sizes: tuple[int, ...], costs: list[Cost], message_core: float
) -> None:
    figures.add("transport.core_seconds_per_message", message_core, "s")
    cores = []
    for size, cost in zip(sizes, costs, strict=True):
        core = cost.core + cost.messages * message_core
        cores.append(core)
        figures.add(f"control.messages_per_second.{size}_vms", cost.messages, "1/s")
        figures.at_most(f"control.bytes_per_second.{size}_vms", cost.bytes, "B/s", MOST_BYTES)
        name = f"control.bytes_per_second_of_the_busiest.{size}_vms"
        figures.at_most(name, cost.most_bytes, "B/s", MOST_BYTES)
        figures.at_most(f"control.core_share.{size}_vms", core, "cores", MOST_CORE)
    figures.add("control.core_share.slope", _slope(sizes, cores), "cores/VM")
    sizes_bytes = [cost.bytes for cost in costs]
    figures.add("control.bytes_per_second.slope", _slope(sizes, sizes_bytes), "B/s/VM")


def _slope(sizes: tuple[int, ...], values: list[float]) -> float:
    """Return the least-squares slope by the number of VMs."""
    return float(np.polyfit(sizes, values, 1)[0])


async def _message_core() -> float:
    """Return the processor time of one message at one end, encrypted, one at a time."""
    clock = SystemClock()
    keys = {name: CurveKeys.new() for name in "ab"}
    known = {name: key.public for name, key in keys.items()}
    peers = {}
    for name, key in keys.items():
        peers[name] = Peers(name, "127.0.0.1:0", clock, CurveKeys(key.public, key.secret, known))
        peers[name].start()
    peers["a"].connect("b", peers["b"].address)
    arrived = asyncio.Event()
    peers["b"].subscribe(Heartbeat, lambda sender, message: arrived.set())
    while not peers["a"].is_connected("b"):  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    message = Heartbeat(1_764_816_753_000_000, 0, 10**12, 1, 10**12, 12, 2**63, 10**6)
    started = time.process_time()
    for _ in range(PINGS):
        arrived.clear()
        peers["a"].send("b", message)
        await arrived.wait()
    used = time.process_time() - started
    for each in peers.values():
        each.stop()
    return used / PINGS / 2


# Memory.


def _add_memory(figures: Figures, base: float) -> None:
    table = _table_bytes(TARGET_VMS)
    connection, descriptors = asyncio.run(_connection_cost())
    total = base + table + connection * TARGET_VMS
    figures.add("memory.process_with_libraries", base, "B")
    figures.add(f"memory.members.{TARGET_VMS}_vms", table, "B")
    figures.add("memory.per_connection_both_ways", connection, "B")
    figures.add("descriptors.per_connection_both_ways", descriptors, "")
    figures.at_most(f"memory.control.{TARGET_VMS}_vms", total, "B", MOST_MEMORY)


def _table_bytes(size: int) -> float:
    """Return the memory of one member's table and views."""
    rows = [
        MemberRow(f"vm{number:03}", f"z{number % 5}", "r", f"127.0.0.1:{number}", 10**15)
        for number in range(size)
    ]
    data = encode(MemberRows(rows, whole_table=True))
    gc.collect()
    tracemalloc.start()
    vm = EntryVM("vm000", "z0", "r", "127.0.0.1:0")
    membership = Membership(vm, 10**15, timedelta(1))
    membership.on_message(timedelta(1), "vm001", decode(data))
    membership.tick(timedelta(1))
    membership.member_views(timedelta(1))
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(used)


async def _connection_cost() -> tuple[float, float]:
    """Return memory and descriptors of one encrypted connection to a peer and one from it."""
    clock = SystemClock()
    own, other = CurveKeys.new(), CurveKeys.new()
    known = {"own": own.public, "other": other.public}
    limits = PeerLimits(max_peers=2 * CONNECTIONS[-1])
    receiver = Peers("own", "127.0.0.1:0", clock, CurveKeys(own.public, own.secret, known))
    sender = Peers(
        "other", "127.0.0.1:0", clock, CurveKeys(other.public, other.secret, known), limits
    )
    receiver.start()
    sender.start()
    resident = []
    descriptors = []
    for count in CONNECTIONS:
        for number in range(count):
            sender.connect(f"vm{number}", receiver.address, own.public)
        while not all(sender.is_connected(name) for name in sender.links):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        for name in sender.links:
            sender.send(name, Heartbeat(1, 0, 0, 0, 0, 0, 0, 0))
        await asyncio.sleep(0.2)
        resident.append(_resident_bytes())
        descriptors.append(_open_descriptors())
    sender.stop()
    receiver.stop()
    more = CONNECTIONS[1] - CONNECTIONS[0]
    return (resident[1] - resident[0]) / more, (descriptors[1] - descriptors[0]) / more


def _open_descriptors() -> int:
    """Return the number of files and sockets that this process has open."""
    return len(list(Path("/proc/self/fd").iterdir()))


def _resident_bytes() -> float:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text("ascii").split()[1])
    return float(pages * resource.getpagesize())


# Changes and faults.


async def _configuration(size: int, figures: Figures) -> None:
    """Measure one change of the configuration, and the news of who has it in force."""
    site = Site(size)
    site.start_met()
    await site.run(WARM_UP)
    idle = await measure(site, STRETCH)
    writer = next(iter(site.relays.values()))
    key = f"{PREFIX}configuration"
    for relay in site.relays.values():
        relay.on_change.append(lambda keys, relay=relay: relay.membership.set_config_version(1))
    written = asyncio.create_task(writer.store.put(key, b"x" * CONFIGURATION_BYTES, 0))

    def known_everywhere() -> bool:
        return all(relay.cache.get(key) is not None for relay in site.relays.values())

    def known_of_all() -> bool:
        views = writer.membership.member_views(site.clock.elapsed()).values()
        return all(view.config_version == 1 for view in views)

    taken = await site.run_until(known_everywhere, 60 * SECOND)
    figures.at_most(
        f"configuration.seconds_to_be_in_force_everywhere.{size}_vms",
        taken.total_seconds(),
        "s",
        MOST_SECONDS_TO_FORCE,
    )
    await written
    taken += await site.run_until(known_of_all, 60 * SECOND)
    figures.at_most(
        f"configuration.seconds_until_the_writer_knows.{size}_vms",
        taken.total_seconds(),
        "s",
        MOST_SECONDS_TO_FORCE,
    )
    await site.run(2 * SECOND)
    seconds = taken.total_seconds() + 2
    total = 2 * sum(site.wire.bytes.values()) / len(site.relays)
    extra = total - idle.bytes * (seconds + STRETCH.total_seconds())
    a_day = extra * CHANGES_A_DAY / SECONDS_A_DAY
    figures.add(f"configuration.bytes_per_change.{size}_vms", extra, "B")
    figures.add(f"configuration.bytes_per_second_over_a_day.{size}_vms", a_day, "B/s")
    await site.stop()


async def _loss(size: int, figures: Figures) -> None:
    """Measure the loss of one VM."""
    site = Site(size)
    site.start_met()
    await site.run(WARM_UP)
    idle = await measure(site, STRETCH)
    lost = list(site.relays)[size // 2]
    await site.kill(lost)
    members = [relay.membership for relay in site.relays.values()]

    def known() -> bool:
        return not any(member.table.is_alive(lost) for member in members)

    taken = await site.run_until(known, 10 * SECOND)
    figures.at_most(f"loss.seconds_until_all_know.{size}_vms", taken.total_seconds(), "s", 0.5)
    cost = await measure(site, STRETCH)
    figures.at_most(f"loss.bytes_per_second_after.{size}_vms", cost.bytes, "B/s", 1.5 * idle.bytes)
    await site.stop()


async def _start_at_once(size: int, figures: Figures) -> None:
    """Measure all VMs starting at once, as after a power cut."""
    site = Site(size)
    task = asyncio.create_task(
        site.store.put(f"{PREFIX}configuration", b"x" * CONFIGURATION_BYTES, 0)
    )
    await site.run(SECOND)
    await task
    site.store.kinds.clear()
    site.store.calls.clear()
    site.start()

    def ready() -> bool:
        return all(relay.ready for relay in site.relays.values())

    taken = await site.run_until(ready, 60 * SECOND)
    figures.add(f"start_at_once.seconds_until_ready.{size}_vms", taken.total_seconds(), "s")
    await site.run(5 * SECOND)
    most = max(site.store.calls.values())
    figures.at_most(f"start_at_once.most_platform_calls.{size}_vms", most, "1/s", MOST_READS)
    agreed = {relay.membership.table.digest for relay in site.relays.values()}
    figures.at_most(f"start_at_once.different_tables.{size}_vms", len(agreed), "", 1)
    await site.stop()


async def _outage(size: int, figures: Figures) -> None:
    """Measure the platform's calls while it is away and when it is back."""
    site = Site(size)
    site.start_met()
    await site.run(WARM_UP)
    site.store.down = True
    site.store.changed.set()
    await site.run(5 * SECOND)
    site.store.calls.clear()
    await site.run(OUTAGE)
    most = max(site.store.calls.values())
    figures.at_most(f"outage.most_platform_calls.{size}_vms", most, "1/s", MOST_READS)
    site.store.down = False
    site.store.changed = asyncio.Event()
    site.store.calls.clear()
    key = f"{PREFIX}configuration"
    await asyncio.gather(site.store.put(key, b"x", 0), site.run(SECOND))

    def caught_up() -> bool:
        return all(relay.cache.get(key) is not None for relay in site.relays.values())

    taken = SECOND + await site.run_until(caught_up, 60 * SECOND)
    await site.run(5 * SECOND)
    most = max(site.store.calls.values())
    figures.at_most(f"after_outage.most_platform_calls.{size}_vms", most, "1/s", MOST_READS)
    figures.at_most(
        f"after_outage.seconds_until_caught_up.{size}_vms",
        taken.total_seconds(),
        "s",
        MOST_SECONDS_TO_FORCE,
    )
    await site.stop()


class _OutageClient:
    """Answers like an endpoint that is away until an instant; counts calls by second."""

    url = "http://127.0.0.1:1"

    def __init__(self, clock: FakeClock, back_at: timedelta, calls: dict[int, int]) -> None:
        self.clock = clock
        self.back_at = back_at
        self.calls = calls

    async def call(self, method, path, timeout, body=b"") -> HTTPResponse:
        now = self.clock.elapsed()
        second = (now - self.back_at) // SECOND
        self.calls[second] = self.calls.get(second, 0) + 1
        if now < self.back_at:
            raise OSError("away")
        return HTTPResponse(200, {}, b'{"header":{"revision":"2"},"succeeded":true}')


def _add_writes_after_outage(size: int, figures: Figures) -> None:
    """Measure every VM writing until it succeeds, through an outage."""
    calls, seconds = asyncio.run(_writes_after_outage(size))
    first = min(calls)
    during = [count for second, count in calls.items() if first < second < 0]
    after = [count for second, count in calls.items() if second >= 0]
    # Every VM writes in the same instant here; no real event makes all of them do so.
    figures.add(f"outage.writes_in_the_first_second.{size}_vms", calls[first], "1/s")
    figures.at_most(f"outage.most_writes.{size}_vms", max(during), "1/s", MOST_WRITES)
    figures.at_most(f"after_outage.most_writes.{size}_vms", max(after), "1/s", MOST_WRITES)
    figures.add(f"after_outage.seconds_until_all_wrote.{size}_vms", seconds, "s")


async def _writes_after_outage(size: int) -> tuple[dict[int, int], float]:
    """Return the calls by second since the platform is back, and when all had written."""
    clock = FakeClock(timedelta(days=1))
    back_at = clock.elapsed() + OUTAGE
    calls: dict[int, int] = {}
    stores = []
    for number in range(size):
        store = EtcdStore(["http://127.0.0.1:1"], clock, rng=random.Random(number))
        store.clients = [_OutageClient(clock, back_at, calls)]
        store.set_fleet_size(size)
        stores.append(store)

    async def write(store: EtcdStore) -> None:
        while True:
            try:
                await store.put("k", b"x", 0)
                return
            except PlatformError:
                await clock.sleep(store.backoff())

    tasks = [asyncio.create_task(write(store)) for store in stores]
    while not all(task.done() for task in tasks):
        clock.advance(timedelta(milliseconds=20))
        for _ in range(4):
            await asyncio.sleep(0)
    return calls, (clock.elapsed() - back_at).total_seconds()
