"""A simulated cluster in which entry VMs place keys, with faults of servers, store and links.

Time is a fake clock; every choice comes from one seed.  Each step checks that no key is held by
two server processes, and each grant checks that its epoch is above those of other owners.
"""

import asyncio
import heapq
import itertools
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import TypeVar

import msgspec

from fireflylock.clock import Clock, FakeClock, Instant
from fireflylock.direct.gossip import PEER_RETENTION, GrantsEnd, Hello, Placing
from fireflylock.direct.key_control import GrantOutcome, KeyControl, ReleaseResult
from fireflylock.direct.key_ranges import KeyRange, Owner
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
from fireflylock.store import Lease, Store, Value
from fireflylock.store_era import REVISIONS_PER_ERA
from standins.key_grants import KeyGrants

SERVICE = "orders"
STEP = timedelta(milliseconds=20)
CONTROL_REQUEST_TIME = timedelta(milliseconds=3)
CALL_TIMEOUT = timedelta(milliseconds=1500)
CONTROL_REQUEST_TIMEOUT = timedelta(milliseconds=300)
# A request that has left its VM is under way for less than the margin of each expiry.
MAX_REQUEST_DELAY = timedelta(milliseconds=120)
MAX_MESSAGE_DELAY = timedelta(seconds=4)
LIMITS = CallerLimits(1000, 1000, timedelta(seconds=1), timedelta(seconds=1))
ROUTES = RouteTable(1, (), {SERVICE: ServiceSpec(SERVICE, "/", 10, True)}, LIMITS)
TRACKED_KEYS = tuple(range(0, KEY_COUNT, 1489))

Result = TypeVar("Result")


@dataclass
class ServerProcess:
    """One incarnation of a server.

    Attributes
    ----------
    entry : ServerEntry
        Its registration.
    key_grants : KeyGrants
        The keys that it holds.
    alive : bool
        Whether it runs.
    work_ends : dict of int to timedelta
        When the work that it has begun on keys ends, unless its hold runs out before.
    hold_ends : dict of int to timedelta
        When the last hold of each key would have run out if no release had come.
    """

    entry: ServerEntry
    key_grants: KeyGrants
    alive: bool = True
    work_ends: dict[int, Instant] = field(default_factory=dict)
    hold_ends: dict[int, Instant] = field(default_factory=dict)

    def works_on(self, key: int, now: Instant) -> bool:
        """Return whether it works on a key."""
        ends = min(self.work_ends.get(key, now), self.hold_ends.get(key, now))
        return self.alive and now < ends


@dataclass
class StoredValue:
    """A value in the store."""

    data: bytes
    revision: int
    lease: int = 0


class SharedStore:
    """The state of the store, shared by all VMs."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.rows: dict[str, StoredValue] = {}
        self.revision = 1
        self.leases: dict[int, tuple[timedelta, Instant]] = {}
        self.next_lease = 1
        # Longest time to live that it grants.
        self.max_ttl = timedelta(minutes=10)
        self.unavailable = False
        self.era = 1
        self.copy: tuple[dict[str, StoredValue], int, dict, int, Instant] | None = None
        # All copies, oldest first.
        self.copies: list[tuple[dict[str, StoredValue], int, dict, int, Instant]] = []

    def save_copy(self) -> None:
        """Save a copy to restore later."""
        self.expire()
        now = self.clock.elapsed()
        self.copy = (dict(self.rows), self.revision, dict(self.leases), self.next_lease, now)
        self.copies.append(self.copy)

    def restore(self) -> None:
        """Come back from the copy: later writes are gone, and revisions and leases go back."""
        rows, self.revision, leases, self.next_lease, saved_at = self.copy
        away = self.clock.elapsed() - saved_at
        self.rows = dict(rows)
        self.leases = {lease: (ttl, end + away) for lease, (ttl, end) in leases.items()}
        self.era += 1

    def expire(self) -> None:
        """End expired leases."""
        now = self.clock.elapsed()
        for lease, (_, ends_at) in list(self.leases.items()):
            if ends_at <= now:
                self.end(lease)

    def end(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        self.rows = {key: row for key, row in self.rows.items() if row.lease != lease or not lease}

    def put(self, key: str, data: bytes, expected: dict[str, int], lease: int) -> int | None:
        """Write if the revisions are as expected; None if they are not."""
        for name, revision in expected.items():
            row = self.rows.get(name)
            if (0 if row is None else row.revision) != revision:
                return None
        if lease and lease not in self.leases:
            return None
        self.revision += 1
        self.rows[key] = StoredValue(data, self.revision, lease)
        return self.revision


class VMClock(Clock):
    """The clock of one VM's process, which does not wake up while the VM is suspended."""

    def __init__(self, cluster: "SimulatedCluster", vm: str) -> None:
        self.cluster = cluster
        self.vm = vm

    def elapsed(self) -> Instant:
        """Return the time, which goes on while the VM is suspended."""
        return self.cluster.clock.elapsed()

    def now(self) -> datetime:
        """Return the wall-clock time."""
        return self.cluster.clock.now()

    async def sleep(self, duration: timedelta) -> None:
        """Return after `duration`, but not before the VM resumes."""
        await self.cluster.clock.sleep(duration)
        while self.vm in self.cluster.suspended:
            await self.cluster.clock.sleep(STEP)


class FakeStore(Store):
    """One VM's connection to the store."""

    def __init__(self, cluster: "SimulatedCluster", vm: str) -> None:
        super().__init__()
        self.cluster = cluster
        self.vm = vm
        self.clock = VMClock(cluster, vm)
        self.shared = cluster.store

    async def reach_store(self) -> None:
        """Wait until a call arrives, which may fail."""
        await self.clock.sleep(timedelta(milliseconds=5))
        if self.shared.unavailable or self.vm in self.cluster.cut_from_store:
            await self.clock.sleep(timedelta(milliseconds=500))
            raise PlatformError("no answer")
        await self.wait_for_link()
        self.shared.expire()

    async def wait_for_link(self) -> None:
        """Wait while the VM's bytes are held up on their way to the store."""
        ends_at = self.clock.elapsed() + CALL_TIMEOUT
        while self.vm in self.cluster.held_up:
            if self.clock.elapsed() >= ends_at:
                raise PlatformError("no answer")
            await self.clock.sleep(STEP)

    async def simulate_call(self) -> None:
        """Wait for a call, which may fail, and for the era of its answer."""
        sent_in = self.era.number
        await self.reach_store()
        self.era.check_answer(sent_in, self.shared.era)

    async def get(self, key: str) -> Value | None:
        """Return a value."""
        await self.simulate_call()
        row = self.shared.rows.get(key)
        return None if row is None else Value(key, self.era.ordered(row.revision), row.data)

    async def put(
        self, key, data, expected_revision, also=None, lease=0, also_expected=None
    ) -> int:
        """Write; the answer may get lost, and the write may be delayed."""
        expected = {key: expected_revision, **(also_expected or {})}
        if not all(self.era.is_current(revision) for revision in expected.values()):
            raise VersionConflictError(key, expected_revision)
        expected = {name: revision % REVISIONS_PER_ERA for name, revision in expected.items()}
        sent_in = self.era.number
        await self.reach_store()
        chance = self.cluster.rng.random()
        if chance < self.cluster.lost_writes / 2:
            self.cluster.run_later(lambda: self.shared.put(key, data, expected, lease))
            raise PlatformError("no answer, delayed")
        revision = self.shared.put(key, data, expected, lease)
        if chance < self.cluster.lost_writes:
            raise PlatformError("no answer")
        self.era.check_answer(sent_in, self.shared.era)
        if revision is None:
            raise VersionConflictError(key, expected_revision)
        return self.era.ordered(revision)

    async def list(self, prefix, since_revision=0):
        """Not needed here."""
        raise NotImplementedError

    def watch(self, prefix, from_revision):
        """Not needed here."""
        raise NotImplementedError

    async def grant_lease(self, ttl: timedelta) -> Lease:
        """Return a new lease, with a shorter time to live if the store grants none as long."""
        arrived = self.cluster.clock.elapsed()
        await self.simulate_call()
        lease = self.shared.next_lease
        self.shared.next_lease += 1
        ttl = min(ttl, self.shared.max_ttl)
        self.shared.leases[lease] = (ttl, max(arrived, self.cluster.clock.elapsed()) + ttl)
        return Lease(lease, ttl)

    async def keep_alive(self, lease: int) -> timedelta:
        """Renew a lease; the answer may get lost."""
        await self.simulate_call()
        if self.cluster.rng.random() < self.cluster.lost_renewals:
            await self.clock.sleep(CALL_TIMEOUT)
            raise PlatformError("no answer")
        known = self.shared.leases.get(lease)
        if known is None:
            return timedelta(0)
        self.shared.leases[lease] = (known[0], self.cluster.clock.elapsed() + known[0])
        # The answer may reach a VM that was suspended meanwhile.
        await self.clock.sleep(timedelta(0))
        return known[0]

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        await self.simulate_call()
        self.shared.end(lease)

    async def close(self) -> None:
        """Do nothing."""


class FakeKeyControl(KeyControl):
    """One VM's control requests to servers."""

    def __init__(self, cluster: "SimulatedCluster", vm: str) -> None:
        self.cluster = cluster
        self.vm = vm
        self.clock = VMClock(cluster, vm)
        # Owners to which a new connection has to be opened, as the last one was reset.
        self.reset_connections: set[Owner] = set()

    async def grant(self, key_range, hold, still_allowed) -> GrantOutcome:
        """Grant keys."""
        cluster = self.cluster
        await self.clock.sleep(
            cluster.control_request_times.get(key_range.owner.name, CONTROL_REQUEST_TIME)
        )
        if not still_allowed():
            return GrantOutcome.UNSENT
        if self.is_connecting(key_range.owner):
            await self.clock.sleep(CONTROL_REQUEST_TIMEOUT)
            return GrantOutcome.UNSENT
        outcome = await self.deliver(
            key_range.owner,
            lambda: self.apply_grant(key_range, hold),
            CONTROL_REQUEST_TIMEOUT,
            GrantOutcome.UNANSWERED,
        )
        if outcome in (GrantOutcome.GRANTED, GrantOutcome.REFUSED) and self.loses_answer(
            key_range.owner
        ):
            await self.clock.sleep(CONTROL_REQUEST_TIMEOUT)
            return GrantOutcome.UNANSWERED
        return outcome

    async def apply_grant(self, key_range: KeyRange, hold: timedelta) -> GrantOutcome:
        """Let a grant arrive now."""
        cluster = self.cluster
        if (self.vm, key_range.owner.name) in cluster.cut_links:
            await self.clock.sleep(CONTROL_REQUEST_TIMEOUT)
            return GrantOutcome.UNANSWERED
        process = cluster.process_at(key_range.owner)
        if process is None or process.entry.name != key_range.owner.name:
            return GrantOutcome.UNSENT
        arrived = cluster.clock.elapsed()
        if cluster.rng.random() < cluster.late_control_requests:
            cluster.run_later(lambda: cluster.take_grant(process, key_range, hold, arrived))
            await self.clock.sleep(CONTROL_REQUEST_TIMEOUT)
            return GrantOutcome.UNANSWERED
        taken = cluster.take_grant(process, key_range, hold, arrived)
        await self.clock.sleep(timedelta(0))
        return GrantOutcome.GRANTED if taken else GrantOutcome.REFUSED

    async def release(self, key_range, epoch, timeout) -> ReleaseResult:
        """Take keys back."""
        cluster = self.cluster
        await self.clock.sleep(
            cluster.control_request_times.get(key_range.owner.name, CONTROL_REQUEST_TIME)
        )
        result = await self.deliver(
            key_range.owner,
            lambda: self.apply_release(key_range, epoch, timeout),
            timeout,
            ReleaseResult(answered=False),
        )
        if result.answered and self.loses_answer(key_range.owner):
            await self.clock.sleep(timeout)
            return ReleaseResult(answered=False)
        return result

    async def apply_release(
        self, key_range: KeyRange, epoch: int, timeout: timedelta
    ) -> ReleaseResult:
        """Let a release arrive now."""
        cluster = self.cluster
        process = cluster.process_at(key_range.owner)
        if (self.vm, key_range.owner.name) in cluster.cut_links or process is None:
            await self.clock.sleep(timeout)
            return ReleaseResult(answered=False)
        if process.entry.name != key_range.owner.name:
            return ReleaseResult(answered=False, other_server=True)
        if cluster.rng.random() < cluster.late_control_requests:
            cluster.run_later(
                lambda: process.key_grants.release(key_range.first, key_range.last, epoch)
            )
            await self.clock.sleep(timeout)
            return ReleaseResult(answered=False)
        token = process.key_grants.release(key_range.first, key_range.last, epoch)
        ends_at = cluster.clock.elapsed() + timeout
        keys = process.key_grants.keys(key_range.first, key_range.last)
        while any(process.works_on(key, cluster.clock.elapsed()) for key in keys):
            if cluster.clock.elapsed() >= ends_at:
                return ReleaseResult(answered=False)
            await self.clock.sleep(STEP)
        if not process.alive:
            await self.clock.sleep(max(timedelta(0), ends_at - cluster.clock.elapsed()))
            return ReleaseResult(answered=False)
        await self.clock.sleep(timedelta(0))
        return ReleaseResult(True, token)

    async def deliver(
        self,
        owner: Owner,
        apply: Callable[[], Awaitable[Result]],
        timeout: timedelta,
        unanswered: Result,
    ) -> Result:
        """Let a request arrive at once, or a while later, even if its sender ends before that."""
        cluster = self.cluster
        delay = cluster.queue_delays.get(self.vm, timedelta(0))
        if cluster.rng_faults.random() < cluster.delayed_control_requests:
            delay += MAX_REQUEST_DELAY * cluster.rng_faults.random()
        if not delay:
            return await apply()

        async def arrive() -> Result:
            await cluster.clock.sleep(delay)
            return await apply()

        task = asyncio.get_running_loop().create_task(arrive())
        cluster.requests.add(task)
        task.add_done_callback(cluster.requests.discard)
        if delay < timeout:
            return await asyncio.shield(task)
        self.reset_connections.add(owner)
        await self.clock.sleep(timeout)
        return unanswered

    def is_connecting(self, owner: Owner) -> bool:
        """Return whether no connection to an owner opens in time, after the last one was reset."""
        cluster = self.cluster
        delay = cluster.queue_delays.get(self.vm, timedelta(0))
        is_cut = (self.vm, owner.name) in cluster.cut_links
        if delay < CONTROL_REQUEST_TIMEOUT and not is_cut:
            self.reset_connections.discard(owner)
        return owner in self.reset_connections

    def loses_answer(self, owner: Owner) -> bool:
        """Return whether answers of an owner to this VM are lost."""
        return (self.vm, owner.name) in self.cluster.lost_answers

    def forget(self, owner: Owner) -> None:
        """Do nothing."""


class FakeGossip:
    """Stands in for the gossip between VMs."""

    def __init__(self, cluster: "SimulatedCluster", vm: str) -> None:
        self.cluster = cluster
        self.vm = vm

    def alive(self, now: Instant) -> list[str]:
        """Return the other VMs that run and are heard."""
        cluster = self.cluster
        away = {self.vm, *cluster.suspended}
        away |= {vm for vm, heard_by in cluster.cut_links if heard_by == self.vm}
        return [vm for vm in cluster.vms if vm not in away]

    def fleet_size(self, now: Instant) -> int:
        """Return the number of VMs that run or ended lately, this one included."""
        ended = self.cluster.vms_ended_at
        lately = {vm for vm, at in ended.items() if now - at < PEER_RETENTION}
        return len(self.cluster.vms.keys() | lately)

    def send(self, message: Placing | GrantsEnd) -> None:
        """Deliver a message to the other VMs."""
        if not isinstance(message, Placing | GrantsEnd):
            return
        self.cluster.broadcast_bytes += len(msgspec.msgpack.encode(message))
        for name in self.cluster.vms:
            if name == self.vm or (self.vm, name) in self.cluster.cut_links:
                continue
            if (
                name in self.cluster.suspended
                or self.cluster.rng.random() < self.cluster.lost_datagrams
            ):
                continue
            self.cluster.send_message(name, message)


@dataclass
class VM:
    """One process that may place keys."""

    table: ServerTable
    view: OwnershipView
    leadership: Leadership


@dataclass
class SimulatedCluster:
    """Servers, VMs, store and faults, driven by one seed."""

    seed: int
    clock: FakeClock = field(default_factory=lambda: FakeClock(timedelta(seconds=1000)))
    late_control_requests: float = 0.0
    lost_writes: float = 0.0
    lost_datagrams: float = 0.0
    lost_renewals: float = 0.0
    # Probability that a control request is under way for a while.
    delayed_control_requests: float = 0.0
    # Probability that a message between VMs is late, so that later ones overtake it.
    late_messages: float = 0.0
    # Probability that work on a random key begins in a step.
    work_share: float = 0.0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.rng_reports = random.Random(self.seed)
        self.rng_work = random.Random(self.seed)
        self.rng_faults = random.Random(self.seed)
        self.store = SharedStore(self.clock)
        self.processes: list[ServerProcess] = []
        self.vms: dict[str, VM] = {}
        self.cut_from_store: set[str] = set()
        # VMs whose calls to the store are held up, and arrive once the VM is removed from here.
        self.held_up: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        # VMs and servers whose answers to them are lost, although the requests arrive.
        self.lost_answers: set[tuple[str, str]] = set()
        # Control requests under way.
        self.requests: set[asyncio.Task] = set()
        # How long all control requests of some VMs wait, in order, in the queue of their link.
        self.queue_delays: dict[str, timedelta] = {}
        # How long all messages to some VMs wait, in order, in the queue of a slow link.
        self.message_delays: dict[str, timedelta] = {}
        # Late messages: when they arrive, their number, and the VM that receives them.
        self.messages: list[tuple[Instant, int, str, object]] = []
        self.message_numbers = itertools.count()
        self.suspended: set[str] = set()
        # Bytes that leaders have broadcast to each VM.
        self.broadcast_bytes = 0
        self.scheduled: list[tuple[Instant, object]] = []
        self.boots = 0
        self.vms_ended_at: dict[str, Instant] = {}
        # Durations of control requests to some servers.
        self.control_request_times: dict[str, timedelta] = {}
        # Planned stops in progress.
        self.stops: list[asyncio.Task] = []
        self.violations: list[str] = []
        # Highest epoch of a grant, by key and owner.
        self.epochs: dict[int, dict[Owner, int]] = {key: {} for key in TRACKED_KEYS}

    # Servers.

    def add_server(
        self,
        name: str,
        port: int,
        born: int | None = None,
        register_after: timedelta = timedelta(0),
        service: str = SERVICE,
    ) -> ServerProcess:
        """Start a server and let it register, at once or with its first beat some time later."""
        born = len(self.processes) + 1 if born is None else born
        entry = ServerEntry(name, born, service, "zone", "10.0.0.1", port, 4, False, timedelta(0))
        drift = self.rng.choice((0.0, 0.02))
        process = ServerProcess(
            entry, KeyGrants(f"{name}.{born}", self.clock, drift, tracked_keys=TRACKED_KEYS)
        )
        self.processes.append(process)
        if register_after:
            first_beat = self.clock.elapsed() + register_after
            self.scheduled.append((first_beat, lambda: self.register(process)))
        else:
            self.register(process)
        return process

    def register(self, process: ServerProcess) -> None:
        """Let a server's registration reach all VMs, if the server still runs."""
        if not process.alive:
            return
        for vm in self.vms.values():
            vm.table.register(self.clock.elapsed(), process.entry)

    def crash(self, process: ServerProcess, registered: bool = True) -> None:
        """End a server process; its registration expires some time later."""
        process.alive = False
        if not registered:
            self.unregister(process)

    def unregister(self, process: ServerProcess) -> None:
        """Let a registration expire."""
        for vm in self.vms.values():
            known = vm.table.servers.get(process.entry.name)
            if known is not None and known.entry.born == process.entry.born:
                vm.table.remove(self.clock.elapsed(), process.entry.name)

    def process_at(self, owner: Owner) -> ServerProcess | None:
        """Return the running process at an owner's address."""
        for process in self.processes:
            if process.alive and (process.entry.host, process.entry.port) == (
                owner.host,
                owner.port,
            ):
                return process
        return None

    def take_grant(
        self, process: ServerProcess, key_range: KeyRange, hold: timedelta, arrived: Instant
    ) -> bool:
        """Apply a grant to a process; its epoch must exceed those of other owners."""
        if not process.alive:
            return False
        if not process.key_grants.grant(
            key_range.first, key_range.last, key_range.epoch, hold, arrived
        ):
            return False
        owner = Owner.of(process.entry)
        hold_end = arrived + hold * (1.0 + process.key_grants.drift)
        for key in TRACKED_KEYS:
            if not key_range.first <= key <= key_range.last:
                continue
            process.hold_ends[key] = max(hold_end, process.hold_ends.get(key, hold_end))
            self.check_work(process, key)
            known = self.epochs[key]
            # RULES.md, OWNER: "the same grants don't count".  A renewal may reach the next
            # incarnation before its first beat does, which the sender can't know.
            others = [
                epoch - (other.name == owner.name)
                for other, epoch in known.items()
                if other != owner
            ]
            if max(others, default=0) >= key_range.epoch and known.get(owner, 0) < key_range.epoch:
                self.violations.append(f"key {key}: epoch {key_range.epoch} is not above {known}")
            known[owner] = max(key_range.epoch, known.get(owner, 0))
        return True

    def check_work(self, process: ServerProcess, key: int) -> None:
        """Record it as a violation if another server works on a key that is held by `process`."""
        now = self.clock.elapsed()
        if not process.key_grants.has_grant(key):
            return
        for other in self.processes:
            if other is not process and other.works_on(key, now):
                at = now - timedelta(seconds=1000)
                self.violations.append(
                    f"at {at}: key {key} is given to {process.key_grants.name} "
                    f"while {other.key_grants.name} works on it"
                )

    def start_work(self, process: ServerProcess, key: int, duration: timedelta) -> None:
        """Let a server that holds a key begin work on it."""
        ends = self.clock.elapsed() + duration
        process.work_ends[key] = max(ends, process.work_ends.get(key, ends))

    def start_random_work(self) -> None:
        """Let the holders of a random key begin work on it."""
        key = self.rng_work.choice(TRACKED_KEYS)
        for process in self.holders(key):
            self.start_work(process, key, timedelta(seconds=self.rng_work.uniform(0.1, 2.5)))

    # VMs.

    def start_vm(self, name: str) -> VM:
        """Start a process that may place keys."""
        self.boots += 1
        table = ServerTable(timedelta(seconds=2))
        now = self.clock.elapsed()
        for process in self.processes:
            if process.alive:
                table.register(now, process.entry)
        view = OwnershipView(table)
        store = FakeStore(self, name)
        clock = VMClock(self, name)
        leader_lease = LeaderLease(store, clock, Holder(name, self.boots))
        gossip = FakeGossip(self, name)
        leadership = Leadership(
            Hello(name, "zone"),
            store,
            FakeKeyControl(self, name),
            clock,
            leader_lease,
            gossip,
            lambda now, message: gossip.send(message),
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
        """End a process at once: nothing is released, calls in progress are cancelled."""
        vm = self.vms.pop(name)
        self.vms_ended_at[name] = self.clock.elapsed()
        self.suspended.discard(name)
        vm.leadership.stopped = True
        for placer in vm.leadership.placers.values():
            placer.close()
        vm.leadership.placers.clear()
        vm.leadership.leader_lease.lose("killed")

    def restart_vm(self, name: str) -> None:
        """End a process at once, and start another one under its name, which remembers nothing."""
        self.kill_vm(name)
        self.start_vm(name)

    def stop_vm(self, name: str) -> None:
        """Start a planned stop of a process, which then ends."""
        vm = self.vms[name]

        async def stop() -> None:
            await vm.leadership.stop()
            if self.vms.get(name) is vm:
                self.kill_vm(name)

        self.stops.append(asyncio.get_running_loop().create_task(stop()))

    def leader(self) -> str:
        """Return the name of the leader, or ""."""
        now = self.clock.elapsed()
        for name, vm in self.vms.items():
            if vm.leadership.leader_lease.is_held(now):
                return name
        return ""

    # Messages between VMs.

    def send_message(self, receiver: str, message: Placing | GrantsEnd | dict[str, int]) -> None:
        """Let a message arrive at a VM now or late."""
        delay = self.message_delays.get(receiver, timedelta(0))
        if self.rng_faults.random() < self.late_messages:
            delay += MAX_MESSAGE_DELAY * self.rng_faults.random()
        if not delay:
            self.deliver_message(receiver, message)
            return
        arrives_at = self.clock.elapsed() + delay
        heapq.heappush(self.messages, (arrives_at, next(self.message_numbers), receiver, message))

    def deliver_late_messages(self) -> None:
        """Let the late messages that are due arrive."""
        now = self.clock.elapsed()
        while self.messages and self.messages[0][0] <= now:
            _, _, receiver, message = heapq.heappop(self.messages)
            if receiver in self.vms and receiver not in self.suspended:
                self.deliver_message(receiver, message)

    def deliver_message(
        self, receiver: str, message: Placing | GrantsEnd | dict[str, int]
    ) -> None:
        """Let a message arrive at a VM; revisions of maps are what a load report tells."""
        now = self.clock.elapsed()
        leadership = self.vms[receiver].leadership
        if isinstance(message, Placing):
            leadership.apply_leader_message(now, message)
        elif isinstance(message, GrantsEnd):
            leadership.expiry_broadcasts.apply(now, message)
        else:
            leadership.apply_claims(message)

    # Time.

    def run_later(self, action) -> None:
        """Run an action 2 to 12 seconds from now."""
        delay = timedelta(seconds=self.rng.uniform(2, 12))
        self.scheduled.append((self.clock.elapsed() + delay, action))

    async def run(self, seconds: float, check: bool = True) -> None:
        """Advance the time in steps."""
        end = self.clock.elapsed() + timedelta(seconds=seconds)
        while self.clock.elapsed() < end:
            self.clock.advance(STEP)
            now = self.clock.elapsed()
            for at, action in [item for item in self.scheduled if item[0] <= now]:
                self.scheduled.remove((at, action))
                action()
            self.deliver_late_messages()
            if self.rng_work.random() < self.work_share:
                self.start_random_work()
            for name, vm in list(self.vms.items()):
                if name in self.suspended:
                    continue
                vm.table.tick(now)
                self.report_maps(name, vm)
                vm.leadership.step(now)
            for _ in range(12):
                await asyncio.sleep(0)
            if check:
                self.check()

    def report_maps(self, name: str, vm: VM) -> None:
        """Let the other VMs know which maps a VM knows, as its load reports do."""
        for other in self.vms:
            if other == name or other in self.suspended or (name, other) in self.cut_links:
                continue
            if self.rng_reports.random() >= self.lost_datagrams:
                self.send_message(other, vm.leadership.map_revisions())

    def holders(self, key: int) -> list[ServerProcess]:
        """Return the running processes that hold a key."""
        return [
            process
            for process in self.processes
            if process.alive and process.key_grants.has_grant(key)
        ]

    def check(self) -> None:
        """Record every key that two processes hold as a violation."""
        for key in TRACKED_KEYS:
            holders = self.holders(key)
            if len(holders) > 1:
                names = [process.key_grants.name for process in holders]
                at = self.clock.elapsed() - timedelta(seconds=1000)
                self.violations.append(f"at {at}: key {key} is held by {names}")

    def unheld_keys(self) -> int:
        """Return how many of the tracked keys no process holds."""
        return sum(not self.holders(key) for key in TRACKED_KEYS)


def started_cluster(seed: int = 1, vms: int = 3, servers: int = 6) -> SimulatedCluster:
    """Return a cluster in which no key is held yet, and no VM has called the store."""
    cluster = SimulatedCluster(seed)
    for number in range(servers):
        cluster.add_server(f"s{number}", 8000 + number)
    for number in range(vms):
        cluster.start_vm(f"vm{number}")
    return cluster


async def settled_cluster(seed: int = 1, vms: int = 3, servers: int = 6) -> SimulatedCluster:
    """Return a cluster in which all keys are held."""
    cluster = started_cluster(seed, vms, servers)
    await cluster.run(5)
    return cluster
