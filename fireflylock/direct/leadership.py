"""Leadership: one VM at a time leads, and places the keys of all keyed services."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from datetime import timedelta

import msgspec
import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.direct.expiry_broadcasts import ExpiryBroadcasts
from fireflylock.direct.gossip import Gossip, GrantsEnd, Hello, MapChange, Moving, Placing
from fireflylock.direct.key_control import KeyControl
from fireflylock.direct.key_ranges import LapsingRange, RangeMap
from fireflylock.direct.known_lapses import CLOCK_SPEED_DIFFERENCE, KnownLapses
from fireflylock.direct.leader_lease import LEASE_RENEW_INTERVAL, LEASE_TTL, LeaderLease
from fireflylock.direct.model import KEY_COUNT, Bounds, RouteTable
from fireflylock.direct.ownership_view import OwnershipView
from fireflylock.direct.placer import MAPS_PREFIX, Placer
from fireflylock.direct.recollection import MEMORY_PRIORITY_TIME, Recollection
from fireflylock.direct.servers import ServerTable
from fireflylock.exceptions import PlatformError
from fireflylock.store import Store
from fireflylock.store_era import FIRST_ERA, StoreEra, era_of

# Minimum publishing rate, so that a lost datagram does not matter.
PUBLISH_INTERVAL = timedelta(milliseconds=100)
# Minimum time between two broadcasts: changes within one step of the node share a broadcast.
# Each one goes to every VM, over links that callers' answers need.
MIN_PUBLISH_INTERVAL = timedelta(milliseconds=20)
# Broadcasts per map change; a VM that has missed all of them reads the map from the store.
CHANGE_SEND_COUNT = 2
# After this long without a message from a leader the leader lease may be free.
LEADER_TIMEOUT = timedelta(milliseconds=450)
# Delay after a failed attempt to acquire the lease, staggered by the VM's rank by name.
ATTEMPT_INTERVAL = timedelta(milliseconds=300)
ATTEMPT_STAGGER = timedelta(milliseconds=80)
# A leader that reaches less than this share of the owners resigns, and makes no attempt to
# acquire the lease again during the cooldown.
MIN_REACHABLE_SHARE = 0.4
RESIGN_COOLDOWN = timedelta(seconds=3)
# Minimum time between two resignations: if this VM leads again, the others reach no more owners.
MIN_RESIGN_INTERVAL = timedelta(seconds=15)
# While a renewal is overdue, more are sent concurrently, this much faster and up to this number:
# one without an answer must not delay the next ones until the lease has ended.
OVERDUE_FACTOR = 3
MAX_PENDING_RENEWALS = 8
# How often, and how far apart, a leader that steps down broadcasts when its grants end.
GRANTS_END_BROADCASTS = 3
GRANTS_END_INTERVAL = timedelta(milliseconds=60)
# A map that is known to be newer is read from the store when nobody has sent it for this long.
MAP_FETCH_DELAY = timedelta(milliseconds=120)

log = structlog.get_logger()


@dataclass
class PendingChange:
    """A map change, and how often and when it is still to be published."""

    change: MapChange
    sends_left: int
    due_at: Instant


def with_ordered_revisions(message: Placing, era: StoreEra) -> Placing:
    """Return a leader's message with ordered revisions; builds without eras name bare ones."""
    if all(era.is_ordered(revision) for revision in message.revisions.values()):
        return message
    revisions = {name: era.ordered(revision) for name, revision in message.revisions.items()}
    changes = [
        msgspec.structs.replace(
            change, base=era.ordered(change.base), revision=era.ordered(change.revision)
        )
        for change in message.changes
    ]
    return msgspec.structs.replace(message, revisions=revisions, changes=changes)


def lapsing_ranges(service: str, moving: list[Moving]) -> tuple[LapsingRange, ...]:
    """Return the keys of a service that a leader has named as moving, as disjoint ranges."""
    found = []
    next_key = 0
    for move in sorted(moving, key=lambda move: move.first):
        first = max(move.first, next_key)
        if move.service == service and first <= move.last < KEY_COUNT:
            found.append(LapsingRange(first, move.last, "", timedelta(0)))
            next_key = move.last + 1
    return tuple(found)


class Leadership:
    """Places keys while this VM is the leader, and follows the leader otherwise.

    Parameters
    ----------
    hello : Hello
        This VM's introduction to the others.
    store, control, clock : Store, KeyControl, Clock
        Platform services.
    leader_lease : LeaderLease
        This VM's hold on the leader lease.
    gossip : Gossip
        Link to the other VMs.
    broadcast : callable
        Sends a message to all other VMs.
    table : ServerTable
        The servers.
    view : OwnershipView
        The ownership by which requests are routed.
    bounds : Bounds
        The deployment's bounds.
    on_owner_change : callable
        Called when the owners of keys may have changed.
    """

    def __init__(
        self,
        hello: Hello,
        store: Store,
        control: KeyControl,
        clock: Clock,
        leader_lease: LeaderLease,
        gossip: Gossip,
        broadcast: Callable[[Instant, Placing], None],
        table: ServerTable,
        view: OwnershipView,
        bounds: Bounds,
        on_owner_change: Callable[[], None],
    ) -> None:
        self.hello = hello
        self.store = store
        self.control = control
        self.clock = clock
        self.leader_lease = leader_lease
        self.gossip = gossip
        self.broadcast = broadcast
        self.table = table
        self.view = view
        self.bounds = bounds
        self.on_owner_change = on_owner_change
        self.routes: RouteTable | None = None
        self.placers: dict[str, Placer] = {}
        self.expiry_broadcasts = ExpiryBroadcasts()
        self.known_lapses = KnownLapses()
        self.leader_vm = ""
        # By the clock here: when a leader last sent a message, when that leader won, and when
        # its last message arrived.
        self.leader_heard_at: Instant = timedelta(0)
        self.leader_since: Instant = timedelta(0)
        self.message_at: Instant = timedelta(0)
        self.next_attempt_at: Instant = timedelta(0)
        self.acquire_task: asyncio.Task | None = None
        # Failed attempts to acquire the lease since a leader was last heard.
        self.failed_attempts = 0
        self.renewals: set[asyncio.Task] = set()
        self.last_renewal_at: Instant = timedelta(0)
        self.fetch_task: asyncio.Task | None = None
        self.resigned_at: Instant = -MIN_RESIGN_INTERVAL
        self.published_at: Instant = timedelta(0)
        self.changes: list[PendingChange] = []
        self.publish_count = 0
        # Lease and number of the last message from a leader, and the migrations that it named.
        self.last_message = (0, 0)
        self.told_moving: list[Moving] = []
        # When this process last ran, and when it resumed after it did not for a while.
        self.ran_at: Instant = clock.elapsed()
        self.resumed_at: Instant | None = None
        self.recollection = Recollection(clock.elapsed())
        # Revisions of the newest maps that other VMs know, by service.
        self.claimed_maps: dict[str, int] = {}
        store.era.on_known.append(self.era_known)
        store.era.on_restored.append(self.store_restored)
        self.stale_since: Instant | None = None
        self.has_unpublished = False
        self.stopped = False

    def apply_routes(self, routes: RouteTable) -> None:
        """Apply a new configuration, and read the stored maps that are not known here yet.

        They let requests find their owners before a leader is heard, or while there is none.
        """
        self.routes = routes
        missing = [name for name in self.keyed_services() if name not in self.view.maps]
        if missing and self.fetch_task is None:
            self.fetch_task = self.start_task(self.fetch_maps())

    def era_known(self) -> None:
        """Remember nothing from before the store's first answer: it may have been restored."""
        self.recollection = Recollection(self.clock.elapsed())
        self.known_lapses.clear()

    def store_restored(self) -> None:
        """Stop leading, as the store may have forgotten the lease, and remember the latest maps.

        Whoever led until now may lead again at once.  The others wait until the lease of a leader
        that has not seen the restore yet has ended by its own clock.
        """
        now = self.clock.elapsed()
        self.notice_pause(now)
        led = (
            self.leader_lease.is_held(now)
            and bool(self.placers)
            and all(placer.loaded for placer in self.placers.values())
        )
        maps = self.latest_maps(now, led)
        doubtful = frozenset(name for name in maps if self.is_doubtful(now, name, led))
        self.recollection = Recollection(now, maps, led, doubtful)
        # Some were made by VMs that are lost, or are not sure of them any more.
        self.claimed_maps.clear()
        self.known_lapses.clear()
        self.leader_lease.lose("the store was restored")
        if self.placers:
            self.step_down("the store was restored")
        self.next_attempt_at = max(self.next_attempt_at, self.recollection.grants_from())

    def latest_maps(self, now: Instant, led: bool) -> dict[str, RangeMap]:
        """Return the maps known here that were surely the latest ones before the restore.

        Keys move without their owner's answer only after a hold has ended, so whoever has heard
        the last leader until lately knows of all such moves, or that they were about to be made.
        The latter are lapsing in the returned map.
        """
        former = {}
        # Later another VM that remembers the same maps may have changed them.
        if self.has_seen_each_era() and now - self.recollection.at <= LEASE_TTL:
            former = self.recollection.maps
        heard = (
            now - self.leader_heard_at < LEADER_TIMEOUT
            and self.stale_since is None
            and not self.has_resumed_within(now, LEADER_TIMEOUT)
        )
        found = {}
        for name, known in self.view.maps.items():
            claimed = self.claimed_maps.get(name, 0)
            if era_of(known.revision) != self.store.era.previous:
                if name in former and claimed <= former[name].revision:
                    found[name] = former[name]
                continue
            is_newest = claimed <= known.revision
            leads = led and name in self.placers
            if leads or (is_newest and self.is_final(now, name, known.revision)):
                found[name] = known
            elif is_newest and heard:
                found[name] = replace(known, lapsing=lapsing_ranges(name, self.told_moving))
        return found

    def is_doubtful(self, now: Instant, service: str, led: bool) -> bool:
        """Return whether keys may be held by servers unknown since a restore before the last one.

        This process saw that earlier restore, or started after it.
        """
        if led:
            placer = self.placers.get(service)
            return placer is None or now < placer.map_is_certain_from
        era = self.store.era
        if era.previous == FIRST_ERA and era.number == FIRST_ERA + 1:
            return False
        lost_grants_end = self.recollection.lost_grants_end(self.bounds.max_hold)
        return not self.has_seen_each_era() or now < lost_grants_end

    def has_seen_each_era(self) -> bool:
        """Return whether the store was restored only once since the era that was seen before."""
        return self.store.era.number == self.store.era.previous + 1

    def is_final(self, now: Instant, service: str, revision: int) -> bool:
        """Return whether the leader that wrote a map has stepped down, but its grants last.

        Another VM may have led since, perhaps one that is heard by nobody.
        """
        end = self.expiry_broadcasts.expiry_of(service, revision)
        if end is None or now + LEASE_TTL >= end:
            return False
        if not self.hears_most_vms(now):
            return False
        return not self.has_resumed_within(now, self.bounds.max_hold + LEASE_TTL)

    def notice_pause(self, now: Instant) -> None:
        """Notice that this process has not run for a while: what arrived then is taken late."""
        if now - self.ran_at > LEADER_TIMEOUT:
            self.resumed_at = now
        self.ran_at = now

    def has_resumed_within(self, now: Instant, interval: timedelta) -> bool:
        """Return whether this process has resumed, after a while, this short a time ago."""
        return self.resumed_at is not None and now - self.resumed_at <= interval

    def map_revisions(self) -> dict[str, int]:
        """Return the revisions of the newest maps known here, by key, for the load reports.

        A map that a restored store has brought back says nothing, unless it is remembered.
        """
        revisions = {}
        for name, known in self.view.maps.items():
            remembered = self.recollection.maps.get(name)
            if era_of(known.revision) >= self.store.era.current:
                revisions[MAPS_PREFIX + name] = known.revision
            elif remembered is not None:
                revisions[MAPS_PREFIX + name] = remembered.revision
        return revisions

    def apply_claims(self, revisions: dict[str, int]) -> None:
        """Record the revisions of maps that another VM knows."""
        for key, revision in revisions.items():
            if not key.startswith(MAPS_PREFIX):
                continue
            name = key.removeprefix(MAPS_PREFIX)
            self.claimed_maps[name] = max(revision, self.claimed_maps.get(name, 0))

    def leaves_lease_to_others(self, now: Instant) -> bool:
        """Return whether a VM that remembers a newer map from before a restore should lead.

        Only while no map is known that was recorded since the restore.
        """
        if now - self.recollection.at > MEMORY_PRIORITY_TIME:
            return False
        for name in self.keyed_services():
            known = self.view.maps.get(name)
            remembered = self.recollection.maps.get(name)
            revision = 0 if remembered is None else remembered.revision
            claimed = self.claimed_maps.get(name, 0)
            newest = max(claimed, 0 if known is None else known.revision)
            if era_of(newest) < self.store.era.current and claimed > revision:
                return True
        return False

    def keyed_services(self) -> list[str]:
        """Return the names of the services whose keys are placed."""
        if self.routes is None:
            return []
        return [spec.name for spec in self.routes.services.values() if spec.keyed]

    def step(self, now: Instant) -> None:
        """Lead, or try to become the leader if there is none."""
        self.notice_pause(now)
        if self.stopped:
            return
        if self.leader_lease.is_held(now):
            self.place_keys(now)
            return
        if self.placers:
            # A renewal that is answered late must not bring it back: what was granted under it
            # is known to the placers alone.
            self.leader_lease.lose("it has ended")
            self.step_down("the right has ended")
        if self.acquire_task is None and now >= self.next_attempt_at and self.keyed_services():
            self.attempt_if_leaderless(now)

    def place_keys(self, now: Instant) -> None:
        """Carry out one step of the leader for all keyed services."""
        if self.leaves_lease_to_others(now) and not any(
            placer.loaded for placer in self.placers.values()
        ):
            self.step_down("another VM remembers newer maps")
            self.start_task(self.leader_lease.release("another VM remembers newer maps"))
            return
        self.renew_lease(now)
        names = self.keyed_services()
        for name in names:
            if name not in self.placers:
                self.placers[name] = Placer(
                    name,
                    self.table,
                    self.store,
                    self.control,
                    self.leader_lease,
                    self.clock,
                    self.bounds.max_hold,
                    self.expiry_broadcasts,
                    self.known_lapses,
                    self.recollection,
                    self.placement_changed,
                )
        for placer in self.placers.values():
            placer.step(now)
        if self.reaches_too_few_owners(now):
            self.next_attempt_at = now + RESIGN_COOLDOWN
            self.resigned_at = now
            self.step_down("too few servers are reached")
            self.start_task(self.leader_lease.release("too few servers are reached"))
            return
        if now - self.published_at >= (
            MIN_PUBLISH_INTERVAL if self.has_unpublished else PUBLISH_INTERVAL
        ):
            self.publish(now)

    def renew_lease(self, now: Instant) -> None:
        """Renew the leader lease when that is due."""
        overdue = now - self.leader_lease.renewed_at >= 1.5 * LEASE_RENEW_INTERVAL
        interval = LEASE_RENEW_INTERVAL / OVERDUE_FACTOR if overdue else LEASE_RENEW_INTERVAL
        if now - self.last_renewal_at < interval or len(self.renewals) >= MAX_PENDING_RENEWALS:
            return
        self.last_renewal_at = now
        task = self.start_task(self.leader_lease.renew())
        self.renewals.add(task)
        task.add_done_callback(self.renewals.discard)

    def start_task(self, coroutine: Coroutine) -> asyncio.Task:
        """Run a call to the store concurrently."""
        return asyncio.get_running_loop().create_task(coroutine)

    def hears_most_vms(self, now: Instant) -> bool:
        """Return whether at least half of the other VMs are heard."""
        return 2 * len(self.gossip.alive(now)) >= self.gossip.fleet_size(now) - 1

    def reaches_too_few_owners(self, now: Instant) -> bool:
        """Return whether most owners are unreachable from here, while other VMs may reach them.

        A VM that reaches some of them, and hears most of the other VMs, is not the one that is
        cut off: the servers are lost, or their zone is.  The next leader would reach no more, and
        would have to wait for the maximum hold of all keys whose owners are lost.
        """
        if now - self.resigned_at < MIN_RESIGN_INTERVAL:
            return False
        owners = [
            (placer, owner)
            for placer in self.placers.values()
            if placer.map is not None
            for owner in placer.map.owners()
        ]
        if (
            len(owners) < 3
            or now - self.leader_lease.acquired_at < LEADER_TIMEOUT
            or not self.gossip.alive(now)
        ):
            return False
        reachable = sum(not placer.is_unreachable(owner) for placer, owner in owners)
        if reachable and self.hears_most_vms(now):
            return False
        return reachable < MIN_REACHABLE_SHARE * len(owners)

    def placement_changed(self) -> None:
        """Apply changes made by the placers here, and publish them."""
        now = self.clock.elapsed()
        self.has_unpublished = True
        for placer in self.placers.values():
            if placer.last_change is not None:
                self.changes.append(PendingChange(placer.last_change, CHANGE_SEND_COUNT, now))
                placer.last_change = None
            if placer.map is not None and self.view.apply_map(placer.map):
                self.known_lapses.update(now, placer.map)
                self.on_owner_change()
        if not self.leader_lease.is_held(now):
            return
        if now - self.published_at >= MIN_PUBLISH_INTERVAL:
            self.publish(now)
        else:
            self.set_moving(now)

    def set_moving(self, now: Instant) -> list[Moving]:
        """Apply to the local view, and return, the keys that are migrating now."""
        moving = [move for placer in self.placers.values() for move in placer.moving(now)]
        if self.view.set_moving(now, moving):
            self.on_owner_change()
        return moving

    def publish(self, now: Instant) -> None:
        """Broadcast which keys are migrating, and the newest map revisions and changes."""
        self.has_unpublished = False
        self.published_at = now
        moving = self.set_moving(now)
        revisions = {
            name: placer.map.revision
            for name, placer in self.placers.items()
            if placer.map is not None
        }
        due = [pending for pending in self.changes if pending.due_at <= now]
        for pending in due:
            pending.sends_left -= 1
            pending.due_at = now + PUBLISH_INTERVAL
        self.changes = [pending for pending in self.changes if pending.sends_left > 0]
        hello = self.hello
        changes = [pending.change for pending in due]
        self.publish_count += 1
        lease = self.leader_lease.lease
        led_ms = (now - self.leader_lease.acquired_at) // timedelta(milliseconds=1)
        message = Placing(
            hello.vm, hello.zone, lease, self.publish_count, moving, revisions, changes, led_ms
        )
        self.broadcast(now, message)

    def step_down(self, reason: str) -> None:
        """Stop placing keys."""
        log.info("placing of keys stops here", reason=reason)
        placers, self.placers = self.placers, {}
        for placer in placers.values():
            placer.close()
        self.start_task(self.broadcast_grants_end(list(placers.values())))

    async def broadcast_grants_end(self, placers: list[Placer]) -> None:
        """Broadcast when everything that was granted here ends."""
        ends = {}
        for placer in placers:
            end = await placer.latest_grant_expiry()
            if end is not None:
                ends[placer.service] = (placer.map.revision, end)
        for _ in range(GRANTS_END_BROADCASTS if ends else 0):
            now = self.clock.elapsed()
            remaining = {
                service: (revision, max(timedelta(0), end - now) // timedelta(milliseconds=1) + 1)
                for service, (revision, end) in ends.items()
            }
            message = GrantsEnd(self.hello.vm, self.hello.zone, remaining)
            self.expiry_broadcasts.apply(now, message)
            self.gossip.send(message)
            log.info("end of grants broadcast", ends=remaining)
            await self.clock.sleep(GRANTS_END_INTERVAL)

    def attempt_if_leaderless(self, now: Instant) -> None:
        """Start an attempt to acquire the lease if no leader is heard."""
        if now - self.leader_heard_at < LEADER_TIMEOUT or self.leaves_lease_to_others(now):
            return
        names = sorted([self.hello.vm, *self.gossip.alive(now)])
        self.next_attempt_at = (
            now + ATTEMPT_INTERVAL + ATTEMPT_STAGGER * names.index(self.hello.vm)
        )
        self.acquire_task = self.start_task(self.try_to_acquire())

    async def try_to_acquire(self) -> None:
        """Try once to acquire the leader lease.

        If there is a leader that is not heard here, the store has its maps.  The first failed
        attempt may only be early: a new leader may not have published anything yet.
        """
        try:
            if await self.leader_lease.try_acquire():
                self.log_start()
                return
            self.failed_attempts += 1
            if self.failed_attempts > 1:
                await self.fetch_maps()
        except PlatformError as error:
            log.warning("attempt to win the right to place keys failed", error=str(error))
        finally:
            self.acquire_task = None

    def log_start(self) -> None:
        """Log that this VM leads, and when the former leader was heard: it may go on."""
        heard_ago = self.clock.elapsed() - self.leader_heard_at
        log.info(
            "placing of keys starts here",
            former=self.leader_vm,
            heard_ago=heard_ago.total_seconds() if self.leader_vm else None,
        )

    # Messages from the leader.

    def apply_leader_message(self, now: Instant, message: Placing) -> None:
        """Apply what the leader has published, unless this VM is the leader."""
        if self.leader_lease.is_held(now):
            return
        message = with_ordered_revisions(message, self.store.era)
        lease, number = self.last_message
        if message.lease == lease and message.number <= number:
            return
        sent_at = self.sent_at(now, message)
        self.last_message = (message.lease, message.number)
        self.told_moving = message.moving
        self.leader_vm = message.vm
        self.leader_heard_at = max(self.leader_heard_at, sent_at)
        self.failed_attempts = 0
        changed = False
        for change in message.changes:
            if self.view.apply_change(change):
                self.known_lapses.update(now, self.view.maps[change.service])
                changed = True
        changed |= self.view.set_moving(now, message.moving)
        if changed:
            self.on_owner_change()
        is_stale = False
        for name, revision in message.revisions.items():
            known = self.view.maps.get(name)
            is_stale |= known is None or known.revision < revision
        if not is_stale:
            self.stale_since = None
        elif self.stale_since is None:
            self.stale_since = now
        elif now - self.stale_since > MAP_FETCH_DELAY and self.fetch_task is None:
            self.stale_since = now
            self.fetch_task = self.start_task(self.fetch_maps())

    def sent_at(self, now: Instant, message: Placing) -> Instant:
        """Return when a leader's message was sent, if its promptest one came without delay."""
        if message.led_ms < 0:
            return now
        led = timedelta(milliseconds=message.led_ms)
        if message.lease != self.last_message[0]:
            self.leader_since = now - led
        else:
            drift = CLOCK_SPEED_DIFFERENCE * (now - self.message_at)
            self.leader_since = min(self.leader_since + drift, now - led)
        self.message_at = now
        return self.leader_since + led

    def add_key_work(self, now: Instant, work: dict[str, dict[int, float]]) -> None:
        """Count requested work for keys, in seconds by service and key."""
        for name, key_work in work.items():
            placer = self.placers.get(name)
            if placer is not None:
                placer.add_key_work(now, key_work)

    async def fetch_maps(self) -> None:
        """Read the maps from the store."""
        try:
            changed = False
            for name in self.keyed_services():
                value = await self.store.get(MAPS_PREFIX + name)
                if value is not None and self.view.apply_encoded_map(value.data, value.revision):
                    self.known_lapses.update(self.clock.elapsed(), self.view.maps[name])
                    changed = True
            if changed:
                self.on_owner_change()
        except PlatformError as error:
            log.warning("reading maps of keys failed", error=str(error))
        finally:
            self.fetch_task = None

    async def stop(self) -> None:
        """Resign, so that another VM can lead."""
        self.stopped = True
        await asyncio.gather(*(placer.resign() for placer in self.placers.values()))
        if self.placers:
            self.step_down("this process stops")
        await self.leader_lease.release("this process stops")
