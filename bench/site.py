"""Many state relays in one process: real code over fake transport, store and clock."""

import asyncio
import heapq
import itertools
import random
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import FakeClock, Instant
from fireflylock.exceptions import PlatformError, VersionConflictError
from fireflylock.membership import Membership
from fireflylock.messages import PeerMessage, decode, encode
from fireflylock.model import EntryVM, PlatformVM, VMList
from fireflylock.relay import StateRelay
from fireflylock.state import StateCache
from fireflylock.store import Lease, Store, Value

# What a message costs on the wire beside its own bytes: CURVE and ZMTP framing, and TCP/IP
# headers with timestamps, as if each message went in a packet of its own.
FRAMING_BYTES = 33 + 9
PACKET_BYTES = 52

STEP = timedelta(milliseconds=5)
IN_ZONE_DELAY = timedelta(microseconds=300)
BETWEEN_ZONES_DELAY = timedelta(milliseconds=10)
STORE_DELAY = timedelta(milliseconds=5)

ZONES = ("r1-a", "r1-b", "r1-c", "r2-a", "r2-b")
PREFIX = "fireflylock/"


@dataclass
class Wire:
    """What was sent, by kind, with every overhead."""

    messages: Counter[str] = field(default_factory=Counter)
    bytes: Counter[str] = field(default_factory=Counter)
    bytes_of_vm: Counter[str] = field(default_factory=Counter)

    def add(self, kind: str, sender: str, receiver: str, size: int) -> None:
        """Count one message, at both ends."""
        total = size + FRAMING_BYTES + PACKET_BYTES
        self.messages[kind] += 1
        self.bytes[kind] += total
        self.bytes_of_vm[sender] += total
        self.bytes_of_vm[receiver] += total


class LocalPeers:
    """The part of `Peers` that the relay uses, within one process."""

    def __init__(self, name: str, site: "Site") -> None:
        self.name = name
        self.site = site
        self.links: dict[str, str] = {}
        self.subscribers: dict[type, list] = {}

    def subscribe(self, message_type: type, callback) -> None:
        """Call ``callback(sender, message)`` for each received message of this type."""
        self.subscribers.setdefault(message_type, []).append(callback)

    def connect(self, name: str, address: str) -> None:
        """Note a connection."""
        self.links[name] = address

    def disconnect(self, name: str) -> None:
        """Drop a connection."""
        self.links.pop(name, None)

    def is_connected(self, name: str) -> bool:
        """Return whether a message to `name` would be accepted now."""
        return name in self.links and name in self.site.relays

    def send(self, name: str, message: PeerMessage) -> bool:
        """Put a message on the wire."""
        if name not in self.links or name not in self.site.relays:
            return False
        data = encode(message)
        self.site.wire.add(type(message).__name__, self.name, name, len(data))
        self.site.post(self.name, name, data)
        return True

    def receive(self, sender: str, data: bytes) -> None:
        """Take a message from the wire."""
        message = decode(data)
        for callback in self.subscribers.get(type(message), ()):
            callback(sender, message)


class MemoryStore(Store):
    """The platform's service in memory, shared by all VMs; counts calls by second."""

    def __init__(self, clock: FakeClock) -> None:
        super().__init__()
        self.clock = clock
        self.values: dict[str, Value] = {}
        self.log: list[Value] = []
        self.revision = 1
        self.down = False
        self.changed = asyncio.Event()
        self.calls: Counter[int] = Counter()
        self.kinds: Counter[str] = Counter()

    async def _call(self, kind: str) -> None:
        self.calls[self.clock.elapsed() // timedelta(seconds=1)] += 1
        self.kinds[kind] += 1
        await self.clock.sleep(STORE_DELAY)
        if self.down:
            raise PlatformError("down")

    async def get(self, key: str) -> Value | None:
        """Return a value."""
        await self._call("get")
        return self.values.get(key)

    async def put(self, key, data, expected_revision, also=None, also_expected=None) -> int:
        """Write by compare-and-swap."""
        await self._call("put")
        held = self.values.get(key)
        if (held.revision if held else 0) != expected_revision:
            raise VersionConflictError(key, expected_revision)
        self.revision += 1
        self.values[key] = Value(key, self.revision, data)
        self.log.append(self.values[key])
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    async def list(self, prefix, since_revision=0):
        """Return what changed."""
        await self._call("list")
        return [v for v in self.values.values() if v.revision > since_revision], self.revision

    async def watch(self, prefix, from_revision) -> AsyncIterator:
        """Yield changes."""
        await self._call("watch")
        yield []
        position = 0
        while not self.down:
            changed = self.changed
            news = [v for v in self.log[position:] if v.revision >= from_revision]
            position = len(self.log)
            if news:
                yield news
            await changed.wait()
        raise PlatformError("down")

    async def grant_lease(self, ttl) -> Lease:
        """Leases are not used here."""
        raise PlatformError("no leases")

    async def keep_alive(self, lease) -> timedelta:
        """Leases are not used here."""
        raise PlatformError("no leases")

    async def revoke_lease(self, lease) -> None:
        """Leases are not used here."""

    async def close(self) -> None:
        """Nothing is open."""


class MemoryVMList:
    """The platform's list of VMs in memory."""

    def __init__(self, store: MemoryStore) -> None:
        self.store = store
        self.vms: dict[str, PlatformVM] = {}

    async def read(self) -> VMList:
        """Return the list."""
        await self.store._call("vm_list")
        return VMList(len(self.vms), dict(self.vms))


class Site:
    """So many VMs, spread over the zones.

    Parameters
    ----------
    count : int
        Number of VMs.
    seed : int
        Decides phases and jitter.
    """

    def __init__(self, count: int, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.clock = FakeClock(timedelta(days=1))
        self.store = MemoryStore(self.clock)
        self.vm_list = MemoryVMList(self.store)
        self.wire = Wire()
        self.relays: dict[str, StateRelay] = {}
        self.queue: list[tuple[Instant, int, str, str, bytes]] = []
        self.sequence = itertools.count()
        for number in range(count):
            self._add(f"vm{number:03}", ZONES[number % len(ZONES)], number)

    def start(self) -> None:
        """Start every VM at once."""
        for relay in self.relays.values():
            relay.start()

    def start_met(self) -> None:
        """Start every VM as if all had met long ago."""
        rows = [relay.membership.own_row for relay in self.relays.values()]
        for relay in self.relays.values():
            for row in rows:
                relay.membership.table.merge(row)
            relay.membership.joined = True
            relay.runner.connect_all()
        self.start()

    async def stop(self) -> None:
        """Stop every VM."""
        tasks = []
        for relay in self.relays.values():
            relay._end_watch()
            tasks += relay.tasks
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def kill(self, name: str) -> None:
        """End one VM without a word."""
        await self.relays.pop(name).stop()

    async def run(self, duration: timedelta) -> None:
        """Let time pass."""
        until = self.clock.elapsed() + duration
        while self.clock.elapsed() < until:
            await self.step()

    async def run_until(self, condition, limit: timedelta) -> timedelta:
        """Let time pass until `condition` holds; return how long that took."""
        start = self.clock.elapsed()
        while not condition():
            if self.clock.elapsed() - start > limit:
                raise TimeoutError
            await self.step()
        return self.clock.elapsed() - start

    async def step(self) -> None:
        """Let one step of time pass."""
        self.clock.advance(STEP)
        now = self.clock.elapsed()
        for _ in range(3):
            await asyncio.sleep(0)
        while self.queue and self.queue[0][0] <= now:
            _, _, sender, receiver, data = heapq.heappop(self.queue)
            relay = self.relays.get(receiver)
            if relay is not None:
                relay.peers.receive(sender, data)

    def post(self, sender: str, receiver: str, data: bytes) -> None:
        """Deliver a message after the delay between the two."""
        zones = (self._zone_of(sender), self._zone_of(receiver))
        delay = IN_ZONE_DELAY if zones[0] == zones[1] else BETWEEN_ZONES_DELAY
        at = self.clock.elapsed() + delay
        heapq.heappush(self.queue, (at, next(self.sequence), sender, receiver, data))

    def _zone_of(self, name: str) -> str:
        return ZONES[int(name[2:]) % len(ZONES)]

    def _add(self, name: str, zone: str, number: int) -> None:
        address = f"127.0.0.1:{number + 1}"
        vm = EntryVM(name, zone, zone[:2], address)
        rng = random.Random(f"{name}/{self.rng.random()}")
        membership = Membership(vm, 1, self.clock.elapsed(), rng=rng)
        peers = LocalPeers(name, self)
        relay = StateRelay(
            self.store,
            self.vm_list,
            peers,
            membership,
            StateCache(),
            self.clock,
            PREFIX,
            rng=rng,
        )
        self.relays[name] = relay
        self.vm_list.vms[name] = PlatformVM(name, zone, zone[:2], address)


@dataclass
class Cost:
    """What a stretch of time cost, for each VM and second.

    Attributes
    ----------
    messages, bytes : float
        Sent and received together, of the average VM.
    most_bytes : float
        The same of the VM with the most bytes.
    core : float
        Share of one core, without the transport.
    """

    messages: float
    bytes: float
    most_bytes: float
    core: float


async def measure(site: Site, duration: timedelta) -> Cost:
    """Let time pass and return what it cost."""
    site.wire = Wire()
    started = time.process_time()
    await site.run(duration)
    used = time.process_time() - started
    seconds = duration.total_seconds()
    per = len(site.relays) * seconds
    messages = 2 * sum(site.wire.messages.values()) / per
    size = 2 * sum(site.wire.bytes.values()) / per
    most = max(site.wire.bytes_of_vm.values(), default=0) / seconds
    return Cost(messages, size, most, used / per)
