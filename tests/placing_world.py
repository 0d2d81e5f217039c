"""A world in which entry VMs place keys: servers, a store, links, and what goes wrong.

Time is a fake clock; every choice comes from one seed.  After each step the world checks that
no key is held by two lives of servers, and at each grant that the epoch is new for that key.
"""

import asyncio
import random
from dataclasses import dataclass, field
from datetime import datetime, timedelta

import msgspec

from fireflylock.clock import Clock, FakeClock, Instant
from fireflylock.direct.gossip import GrantsEnd, Hello, Placing
from fireflylock.direct.keycontrol import GrantOutcome, KeyControl, Release
from fireflylock.direct.keyranges import KeyRange, Owner
from fireflylock.direct.leader_lease import Holder, LeaderLease
from fireflylock.direct.leadership import Leadership
from fireflylock.direct.model import (
    KEY_COUNT,
    Bounds,
    CallerLimits,
    RouteTable,
    ServerEntry,
    ServiceSpec,
)
from fireflylock.direct.ownership_view import OwnershipView
from fireflylock.direct.servers import ServerTable
from fireflylock.exceptions import PlatformError, VersionConflictError
from fireflylock.store import Store, Value
from standins.key_holder import KeyHolder

SERVICE = "orders"
STEP = timedelta(milliseconds=20)
ORDER_TIME = timedelta(milliseconds=3)
CALL_TIMEOUT = timedelta(milliseconds=1500)
ORDER_TIMEOUT = timedelta(milliseconds=300)
LIMITS = CallerLimits(1000, 1000, timedelta(seconds=1), timedelta(seconds=1))
ROUTES = RouteTable(1, (), {SERVICE: ServiceSpec(SERVICE, "/", 10, True)}, LIMITS)
WATCHED = tuple(range(0, KEY_COUNT, 1489))


@dataclass
class Life:
    """One life of a server."""

    entry: ServerEntry
    holder: KeyHolder
    alive: bool = True


@dataclass
class Row:
    """A value of the store."""

    data: bytes
    revision: int
    lease: int = 0


class SharedStore:
    """What the store holds for all VMs."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.rows: dict[str, Row] = {}
        self.revision = 1
        self.leases: dict[int, tuple[timedelta, Instant]] = {}
        self.next_lease = 1
        self.away = False

    def expire(self) -> None:
        """End leases whose time is over."""
        now = self.clock.elapsed()
        for lease, (_, ends_at) in list(self.leases.items()):
            if ends_at <= now:
                self.end(lease)

    def end(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        self.rows = {key: row for key, row in self.rows.items() if row.lease != lease or not lease}

    def put(self, key: str, data: bytes, expected: int, lease: int) -> int | None:
        """Write if the revision is as expected; None when it is not."""
        row = self.rows.get(key)
        if (0 if row is None else row.revision) != expected:
            return None
        if lease and lease not in self.leases:
            return None
        self.revision += 1
        self.rows[key] = Row(data, self.revision, lease)
        return self.revision


class VMClock(Clock):
    """The clock of one VM's process, which does not wake while the VM is frozen."""

    def __init__(self, world: "World", vm: str) -> None:
        self.world = world
        self.vm = vm

    def elapsed(self) -> Instant:
        """Return the time, which goes on while the VM is frozen."""
        return self.world.clock.elapsed()

    def now(self) -> datetime:
        """Return the wall-clock time."""
        return self.world.clock.now()

    async def sleep(self, duration: timedelta) -> None:
        """Return after `duration`, and not before the VM runs again."""
        await self.world.clock.sleep(duration)
        while self.vm in self.world.frozen:
            await self.world.clock.sleep(STEP)


class StoreLink(Store):
    """One VM's way to the store."""

    def __init__(self, world: "World", vm: str) -> None:
        self.world = world
        self.vm = vm
        self.clock = VMClock(world, vm)
        self.shared = world.store

    async def travel(self) -> None:
        """Let a call take its time, or fail."""
        await self.clock.sleep(timedelta(milliseconds=5))
        if self.shared.away or self.vm in self.world.cut_from_store:
            await self.clock.sleep(timedelta(milliseconds=500))
            raise PlatformError("no answer")
        self.shared.expire()

    async def get(self, key: str) -> Value | None:
        """Return a value."""
        await self.travel()
        row = self.shared.rows.get(key)
        return None if row is None else Value(key, row.revision, row.data)

    async def put(self, key, data, expected_revision, also=None, lease=0) -> int:
        """Write; the answer may get lost, and the write may be made later."""
        await self.travel()
        chance = self.world.rng.random()
        if chance < self.world.lost_writes / 2:
            self.world.later(lambda: self.shared.put(key, data, expected_revision, lease))
            raise PlatformError("no answer, done later")
        revision = self.shared.put(key, data, expected_revision, lease)
        if chance < self.world.lost_writes:
            raise PlatformError("no answer")
        if revision is None:
            raise VersionConflictError(key, expected_revision)
        return revision

    async def list(self, prefix, since_revision=0):
        """Not needed here."""
        raise NotImplementedError

    def watch(self, prefix, from_revision):
        """Not needed here."""
        raise NotImplementedError

    async def grant_lease(self, ttl: timedelta) -> int:
        """Return a new lease."""
        arrived = self.world.clock.elapsed()
        await self.travel()
        lease = self.shared.next_lease
        self.shared.next_lease += 1
        self.shared.leases[lease] = (ttl, max(arrived, self.world.clock.elapsed()) + ttl)
        return lease

    async def keep_alive(self, lease: int) -> timedelta:
        """Renew a lease; the answer may get lost."""
        await self.travel()
        if self.world.rng.random() < self.world.lost_renewals:
            await self.clock.sleep(CALL_TIMEOUT)
            raise PlatformError("no answer")
        known = self.shared.leases.get(lease)
        if known is None:
            return timedelta(0)
        self.shared.leases[lease] = (known[0], self.world.clock.elapsed() + known[0])
        # The answer may come to a VM that was frozen meanwhile.
        await self.clock.sleep(timedelta(0))
        return known[0]

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        await self.travel()
        self.shared.end(lease)

    async def close(self) -> None:
        """Do nothing."""


class LinkControl(KeyControl):
    """One VM's orders to servers."""

    def __init__(self, world: "World", vm: str) -> None:
        self.world = world
        self.vm = vm
        self.clock = VMClock(world, vm)

    async def grant(self, part, hold, still_allowed) -> GrantOutcome:
        """Grant keys."""
        world = self.world
        await self.clock.sleep(world.order_times.get(part.owner.name, ORDER_TIME))
        if not still_allowed():
            return GrantOutcome.UNSENT
        if (self.vm, part.owner.name) in world.cut_links:
            await self.clock.sleep(ORDER_TIMEOUT)
            return GrantOutcome.UNANSWERED
        life = world.process_at(part.owner)
        if life is None or life.entry.name != part.owner.name:
            return GrantOutcome.UNSENT
        arrived = world.clock.elapsed()
        if world.rng.random() < world.late_orders:
            world.later(lambda: world.take_grant(life, part, hold, arrived))
            await self.clock.sleep(ORDER_TIMEOUT)
            return GrantOutcome.UNANSWERED
        taken = world.take_grant(life, part, hold, arrived)
        await self.clock.sleep(timedelta(0))
        return GrantOutcome.GRANTED if taken else GrantOutcome.REFUSED

    async def release(self, part, epoch, timeout) -> Release:
        """Take keys back."""
        world = self.world
        await self.clock.sleep(world.order_times.get(part.owner.name, ORDER_TIME))
        life = world.process_at(part.owner)
        if (self.vm, part.owner.name) in world.cut_links or life is None:
            await self.clock.sleep(timeout)
            return Release(answered=False)
        if world.rng.random() < world.late_orders:
            world.later(lambda: life.holder.release(part.first, part.last, epoch))
            await self.clock.sleep(timeout)
            return Release(answered=False)
        token = life.holder.release(part.first, part.last, epoch)
        await self.clock.sleep(timedelta(0))
        return Release(True, token)

    def forget(self, owner: Owner) -> None:
        """Do nothing."""


class Links:
    """Stands in for the gossip between VMs."""

    def __init__(self, world: "World", vm: str) -> None:
        self.world = world
        self.vm = vm

    def alive(self, now: Instant) -> list[str]:
        """Return the other VMs that run."""
        frozen = self.world.frozen
        return [vm for vm in self.world.vms if vm != self.vm and vm not in frozen]

    def fleet_size(self, now: Instant) -> int:
        """Return the number of VMs, this one included."""
        return len(self.world.vms)

    def send(self, message: Placing | GrantsEnd) -> None:
        """Hand a message to the other VMs."""
        if not isinstance(message, Placing | GrantsEnd):
            return
        self.world.told_bytes += len(msgspec.msgpack.encode(message))
        now = self.world.clock.elapsed()
        for name, vm in self.world.vms.items():
            if name == self.vm or (self.vm, name) in self.world.cut_links:
                continue
            if name in self.world.frozen or self.world.rng.random() < self.world.lost_datagrams:
                continue
            if isinstance(message, GrantsEnd):
                vm.leadership.grant_ends.apply(now, message)
                continue
            vm.leadership.apply_leader_message(now, message)


@dataclass
class VM:
    """One process that may place keys."""

    table: ServerTable
    view: OwnershipView
    leadership: Leadership


@dataclass
class World:
    """Everything, from one seed."""

    seed: int
    clock: FakeClock = field(default_factory=lambda: FakeClock(timedelta(seconds=1000)))
    late_orders: float = 0.0
    lost_writes: float = 0.0
    lost_datagrams: float = 0.0
    lost_renewals: float = 0.0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.store = SharedStore(self.clock)
        self.lives: list[Life] = []
        self.vms: dict[str, VM] = {}
        self.cut_from_store: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        self.frozen: set[str] = set()
        # Bytes that each VM was told by those that placed keys.
        self.told_bytes = 0
        self.due: list[tuple[Instant, object]] = []
        self.boots = 0
        # How long orders to some servers take.
        self.order_times: dict[str, timedelta] = {}
        # Planned stops under way.
        self.stops: list[asyncio.Task] = []
        self.problems: list[str] = []
        # By key: the highest epoch that each owner was granted it with.
        self.epochs: dict[int, dict[Owner, int]] = {key: {} for key in WATCHED}

    # Servers.

    def add_server(self, name: str, port: int, born: int | None = None) -> Life:
        """Start a server and let it register."""
        born = len(self.lives) + 1 if born is None else born
        entry = ServerEntry(name, born, SERVICE, "zone", "10.0.0.1", port, 4, False, timedelta(0))
        drift = self.rng.choice((0.0, 0.02))
        life = Life(entry, KeyHolder(f"{name}.{born}", self.clock, drift, watched=WATCHED))
        self.lives.append(life)
        for vm in self.vms.values():
            vm.table.register(self.clock.elapsed(), entry)
        return life

    def crash(self, life: Life, registered: bool = True) -> None:
        """End a server's process; its registration lapses some time later."""
        life.alive = False
        if not registered:
            self.unregister(life)

    def unregister(self, life: Life) -> None:
        """Let a registration lapse."""
        for vm in self.vms.values():
            known = vm.table.servers.get(life.entry.name)
            if known is not None and known.entry.born == life.entry.born:
                vm.table.remove(self.clock.elapsed(), life.entry.name)

    def process_at(self, owner: Owner) -> Life | None:
        """Return the living process at an owner's address."""
        for life in self.lives:
            if life.alive and (life.entry.host, life.entry.port) == (owner.host, owner.port):
                return life
        return None

    def take_grant(self, life: Life, part: KeyRange, hold: timedelta, arrived: Instant) -> bool:
        """Let a process take a grant, and check its epoch against all that others had."""
        if not life.alive:
            return False
        if not life.holder.grant(part.first, part.last, part.epoch, hold, arrived):
            return False
        owner = Owner.of(life.entry)
        for key in WATCHED:
            if not part.first <= key <= part.last:
                continue
            known = self.epochs[key]
            others = [epoch for other, epoch in known.items() if other != owner]
            if max(others, default=0) >= part.epoch and known.get(owner, 0) < part.epoch:
                self.problems.append(f"key {key}: epoch {part.epoch} is not above {known}")
            known[owner] = max(part.epoch, known.get(owner, 0))
        return True

    # VMs.

    def start_vm(self, name: str) -> VM:
        """Start a process that may place keys."""
        self.boots += 1
        table = ServerTable(timedelta(seconds=2))
        now = self.clock.elapsed()
        for life in self.lives:
            if life.alive:
                table.register(now, life.entry)
        view = OwnershipView(table)
        store = StoreLink(self, name)
        clock = VMClock(self, name)
        leader_lease = LeaderLease(store, clock, Holder(name, self.boots))
        links = Links(self, name)
        leadership = Leadership(
            Hello(name, "zone"),
            store,
            LinkControl(self, name),
            clock,
            leader_lease,
            links,
            lambda now, message: links.send(message),
            table,
            view,
            Bounds(),
            lambda: None,
        )
        leadership.apply_routes(ROUTES)
        vm = VM(table, view, leadership)
        self.vms[name] = vm
        return vm

    def kill_vm(self, name: str) -> None:
        """End a process at once: nothing is given up, calls under way are reset."""
        vm = self.vms.pop(name)
        self.frozen.discard(name)
        vm.leadership.stopped = True
        for placer in vm.leadership.placers.values():
            placer.close()
        vm.leadership.placers.clear()
        vm.leadership.leader_lease.lose("killed")

    def stop_vm(self, name: str) -> None:
        """Begin a planned stop of a process, which ends with it."""
        vm = self.vms[name]

        async def stop() -> None:
            await vm.leadership.stop()
            if self.vms.get(name) is vm:
                self.kill_vm(name)

        self.stops.append(asyncio.get_running_loop().create_task(stop()))

    def placing(self) -> str:
        """Return the name of the VM that places keys, or ""."""
        now = self.clock.elapsed()
        for name, vm in self.vms.items():
            if vm.leadership.leader_lease.is_held(now):
                return name
        return ""

    # Time.

    def later(self, action) -> None:
        """Carry something out 2 to 12 seconds from now."""
        delay = timedelta(seconds=self.rng.uniform(2, 12))
        self.due.append((self.clock.elapsed() + delay, action))

    async def run(self, seconds: float, check: bool = True) -> None:
        """Let time pass."""
        end = self.clock.elapsed() + timedelta(seconds=seconds)
        while self.clock.elapsed() < end:
            self.clock.advance(STEP)
            now = self.clock.elapsed()
            for at, action in [item for item in self.due if item[0] <= now]:
                self.due.remove((at, action))
                action()
            for name, vm in list(self.vms.items()):
                if name in self.frozen:
                    continue
                vm.table.tick(now)
                vm.leadership.step(now)
            for _ in range(12):
                await asyncio.sleep(0)
            if check:
                self.check()

    def holders(self, key: int) -> list[Life]:
        """Return the living processes that would run requests for a key."""
        return [life for life in self.lives if life.alive and life.holder.holds_key(key)]

    def check(self) -> None:
        """Note every key that two processes hold."""
        for key in WATCHED:
            holders = self.holders(key)
            if len(holders) > 1:
                names = [life.holder.name for life in holders]
                at = self.clock.elapsed() - timedelta(seconds=1000)
                self.problems.append(f"at {at}: key {key} is held by {names}")

    def unheld(self) -> int:
        """Return how many of the watched keys nobody holds."""
        return sum(not self.holders(key) for key in WATCHED)


async def settled_world(seed: int = 1, vms: int = 3, servers: int = 6) -> World:
    """Return a world whose keys are all held."""
    world = World(seed)
    for number in range(servers):
        world.add_server(f"s{number}", 8000 + number)
    for number in range(vms):
        world.start_vm(f"vm{number}")
    await world.run(5)
    return world
