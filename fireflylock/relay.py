"""Keeps this VM's copy of the platform's state up to date with few calls to the platform.

One VM of each zone reads and watches the platform and broadcasts the changes in its zone along
a tree; the others repair gaps from their neighbours, whose heartbeats carry their revisions.
"""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass
from datetime import timedelta

from fireflylock.broadcast_tree import WATCHER_PURPOSE, TreeBroadcaster
from fireflylock.clock import Clock
from fireflylock.exceptions import PlatformError
from fireflylock.log import logger
from fireflylock.member_events import MemberEvent
from fireflylock.member_runner import MemberRunner
from fireflylock.membership import Membership
from fireflylock.messages import StatePull, StateValue, StateValues
from fireflylock.model import VMList
from fireflylock.peers import Peers
from fireflylock.state import StateCache
from fireflylock.store import Store, Value
from fireflylock.vm_list import VMListReader
from fireflylock.vm_list_relay import VMListRelay

LOG = logger("relay")

# Delay before a failed loop is restarted.
RESTART_DELAY = timedelta(milliseconds=200)

# Size limit of one answer to a peer, so that a message stays below the transport's limit.
MAX_ANSWER_BYTES = 2 * 1024 * 1024

# Interval of the checks, at start, whether others were joined, before the platform is read.
JOIN_CHECK_INTERVAL = timedelta(milliseconds=20)


@dataclass(frozen=True)
class RelayTiming:
    """Intervals and delays of the relay.

    Attributes
    ----------
    max_join_wait : timedelta
        How long a starting VM waits to join others that may hold the state already.
    poll : timedelta
        Between two reads by the zone's watcher; also bounds the age of its state.
    vm_list : timedelta
        Between two reads of the list of VMs by the zone's watcher.
    pull : timedelta
        Between two checks of the neighbours' revisions.
    stale_after : timedelta
        Age of the newest platform read after which VMs other than the watcher read, too.
    retry, retry_max : timedelta
        Initial and maximum delay after failed reads.
    """

    max_join_wait: timedelta = timedelta(milliseconds=500)
    poll: timedelta = timedelta(seconds=1)
    vm_list: timedelta = timedelta(seconds=2)
    pull: timedelta = timedelta(milliseconds=200)
    stale_after: timedelta = timedelta(seconds=5)
    retry: timedelta = timedelta(milliseconds=500)
    retry_max: timedelta = timedelta(seconds=3)


DEFAULT_TIMING = RelayTiming()


class StateRelay:
    """Runs membership and the copy of the platform's state for one daemon.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    vm_lists : VMListReader or None
        Reads the platform's list of VMs.
    peers, membership, cache : Peers, Membership, StateCache
        The transport, the membership, and the copy that is kept up to date.
    clock : Clock
        Source of time.
    prefix : str
        Prefix of the platform's keys that are copied.
    timing : RelayTiming
        Intervals and delays.
    rng : random.Random or None
        Source of jitter.

    Attributes
    ----------
    on_change : list of callable
        Called with the list of changed keys.
    """

    def __init__(
        self,
        store: Store,
        vm_lists: VMListReader | None,
        peers: Peers,
        membership: Membership,
        cache: StateCache,
        clock: Clock,
        prefix: str,
        timing: RelayTiming = DEFAULT_TIMING,
        rng: random.Random | None = None,
    ) -> None:
        self.store = store
        self.peers = peers
        self.membership = membership
        self.cache = cache
        self.clock = clock
        self.prefix = prefix
        self.timing = timing
        self.rng = rng or random.Random()
        self.runner = MemberRunner(peers, membership, clock)
        self.broadcaster = TreeBroadcaster(peers, membership)
        self.vm_lists = VMListRelay(
            vm_lists, self.runner, self.broadcaster, clock, self.rng, timing.vm_list
        )
        self.on_change: list[Callable[[list[str]], None]] = []
        self.failed_readings = 0
        self.loop_faults = 0
        # No key under the prefix changed between the cache's revision and this one.
        self.read_revision = 0
        self.watch_task: asyncio.Task | None = None
        self.tasks: list[asyncio.Task] = []
        peers.subscribe(StatePull, self._on_pull)
        peers.subscribe(StateValues, self._on_values)

    @property
    def on_event(self) -> list[Callable[[MemberEvent], None]]:
        """Callbacks that receive each `MemberEvent`."""
        return self.runner.on_event

    @property
    def on_vm_list(self) -> list[Callable[[VMList], None]]:
        """Callbacks that receive each newer `VMList`."""
        return self.vm_lists.on_vm_list

    def start(self) -> None:
        """Start the tasks; needs a running event loop."""
        loops = (
            self.runner.run,
            self.vm_lists.run,
            self._run_reading,
            self._run_watch,
            self._run_pull,
        )
        self.tasks = [asyncio.create_task(self._restart_on_failure(loop)) for loop in loops]

    async def _restart_on_failure(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop, and restart it when it fails."""
        while True:
            try:
                await loop()
                return
            except Exception:
                self.loop_faults += 1
                LOG.exception("loop failed", loop=loop.__qualname__)
            await self.clock.sleep(RESTART_DELAY)

    async def stop(self) -> None:
        """Stop the tasks."""
        self._end_watch()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    @property
    def ready(self) -> bool:
        """Whether any state is available, from the platform or from peers."""
        return self.cache.revision > 0

    async def put(
        self,
        key: str,
        data: bytes,
        expected_revision: int,
        also: dict[str, bytes] | None = None,
    ) -> int:
        """Write to the platform as `Store.put` does, and broadcast the change at once."""
        revision = await self.store.put(key, data, expected_revision, also)
        self.apply_written({key: data, **(also or {})}, revision)
        return revision

    def apply_written(self, written: dict[str, bytes], revision: int) -> None:
        """Apply and broadcast an own write that the platform acknowledged."""
        kept = [
            Value(key, revision, data)
            for key, data in written.items()
            if key.startswith(self.prefix)
        ]
        # Other writers may have written in between, so only the next revision closes the gap.
        self._apply(kept, revision - 1, revision, broadcast=True)

    def apply_read(self, value: Value) -> None:
        """Apply one value that was read from the platform on its own."""
        self._apply([value], value.revision, value.revision, broadcast=False)

    def state(self) -> list[tuple[str, object]]:
        """Return the entries of a debug dump, as names and values."""
        return [
            ("relay.revision", self.cache.revision),
            ("relay.watcher", self.membership.responsible_member(WATCHER_PURPOSE)),
            ("relay.platform_age", self.membership.platform_age(self.clock.elapsed())),
            ("relay.failed_readings", self.failed_readings),
            ("relay.loop_faults", self.loop_faults),
        ]

    # Reading the platform.

    async def _run_reading(self) -> None:
        """Read the platform periodically as the zone's watcher, otherwise only when needed."""
        await self._wait_to_join()
        while True:
            if self._should_read():
                await self._read()
            await self.clock.sleep(self._next_read_delay())

    async def _wait_to_join(self) -> None:
        """Wait for a while to join others, so that simultaneous starts spare the platform."""
        give_up_at = self.clock.elapsed() + self.timing.max_join_wait * self.rng.uniform(0.6, 1.0)
        while not self.membership.joined and self.clock.elapsed() < give_up_at:
            await self.clock.sleep(JOIN_CHECK_INTERVAL)

    def _should_read(self) -> bool:
        """Return whether to read now.

        When the newest platform read is too old, each member of a zone reads with a small
        probability, so that the zone as a whole makes about one call per retry interval.
        """
        if self.broadcaster.is_watcher():
            return True
        age = self.membership.platform_age(self.clock.elapsed())
        if age is not None and age < self.timing.stale_after:
            return False
        members = len(self.membership.table.ring(self.membership.me.zone))
        return self.rng.random() < 1 / members

    def _next_read_delay(self) -> timedelta:
        if self.failed_readings:
            max_delay = self.timing.retry * 2 ** min(self.failed_readings, 8)
            return min(max_delay, self.timing.retry_max) * self.rng.uniform(0.5, 1.0)
        return self.timing.poll * self.rng.uniform(0.9, 1.1)

    async def _read(self) -> None:
        """Read the changes since the cached revision."""
        started = self.clock.elapsed()
        since = self.cache.revision
        try:
            values, revision = await self.store.list(self.prefix, since)
        except PlatformError:
            self.failed_readings += 1
            # The watch may be half open; a new one is opened once reads succeed.
            self._end_watch()
            return
        self.failed_readings = 0
        self.membership.record_platform_read(started)
        newest = max([since, *(value.revision for value in values)])
        self._apply(values, since, newest, broadcast=True)
        self.read_revision = max(self.read_revision, revision)

    async def _run_watch(self) -> None:
        """Keep a watch open while this VM is the zone's watcher."""
        while True:
            await self.clock.sleep(self._next_read_delay())
            if self.broadcaster.is_watcher() and self.read_revision and not self.failed_readings:
                self.watch_task = asyncio.create_task(self._watch())
                await asyncio.wait([self.watch_task])

    def _end_watch(self) -> None:
        if self.watch_task is not None:
            self.watch_task.cancel()

    async def _watch(self) -> None:
        """Apply changes as they happen, for as long as this VM is the watcher."""
        held = self.cache.revision
        first = max(self.read_revision, held) + 1
        with contextlib.suppress(PlatformError):
            async with aclosing(self.store.watch(self.prefix, first)) as changes:
                async for values in changes:
                    if not self.broadcaster.is_watcher():
                        return
                    self._apply_watched(values, held)

    def _apply_watched(self, values: list[Value], held: int) -> None:
        """Apply one batch of a watch.

        Nothing changed between `held` and the first revision of the watch, and every change
        from there on comes through the watch, in order.
        """
        if values:
            newest = max(value.revision for value in values)
            self._apply(values, held, newest, broadcast=True)

    # Broadcasting to peers.

    def _apply(self, values: list[Value], since: int, revision: int, broadcast: bool) -> None:
        """Apply values, and broadcast those that changed the cache."""
        before = self.cache.revision
        changed = self.cache.apply(values, since, revision)
        after = self.membership.state_revision = self.cache.revision
        if not changed:
            return
        if broadcast:
            # Values received early, ahead of a gap, complete the changes up to `after`.
            updates = [value for value in values if value.key in changed]
            if after > before:
                updates = self.cache.since(before)
            message = _state_values(updates, before, after, self.membership.me.name)
            self.broadcaster.start(message, max(value.revision for value in updates))
        for callback in self.on_change:
            callback(changed)

    def _on_values(self, sender: str, message: StateValues) -> None:
        values = [Value(each.key, each.revision, each.data) for each in message.values]
        if message.root and values:
            turn = max(value.revision for value in values)
            self.broadcaster.relay(message, message.root, turn)
        # An answer from another zone is new to the whole zone.
        broadcast = not message.root and self._is_in_other_zone(sender)
        self._apply(values, message.since_revision, message.revision, broadcast)

    def _on_pull(self, sender: str, message: StatePull) -> None:
        answer: list[Value] = []
        size = 0
        revision = self.cache.revision
        for value in self.cache.since(message.since_revision):
            if answer and size + len(value.data) > MAX_ANSWER_BYTES:
                revision = min(revision, answer[-1].revision)
                break
            answer.append(value)
            size += len(value.data)
        self.peers.send(sender, _state_values(answer, message.since_revision, revision, ""))

    async def _run_pull(self) -> None:
        """Request missing changes from the neighbour with the highest revision."""
        while True:
            await self.clock.sleep(self.timing.pull * self.rng.uniform(0.8, 1.2))
            self.store.set_fleet_size(len(self.membership.table.rows))
            ahead = self._most_advanced_neighbour()
            if ahead:
                self.peers.send(ahead, StatePull(self.cache.revision))

    def _most_advanced_neighbour(self) -> str:
        """Return the neighbour with the highest revision above this VM's own, or ""."""
        best, best_revision = "", self.cache.revision
        for name, neighbour in self.membership.neighbours.monitored.items():
            if neighbour.revision > best_revision:
                best, best_revision = name, neighbour.revision
        return best

    def _is_in_other_zone(self, name: str) -> bool:
        row = self.membership.table.rows.get(name)
        return row is not None and row.zone != self.membership.me.zone


def _state_values(values: list[Value], since: int, revision: int, root: str) -> StateValues:
    rows = [StateValue(value.key, value.revision, value.data) for value in values]
    return StateValues(rows, since, revision, root)
