"""Which VM places keys, and what it does for all keyed services."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta

import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.direct.gossip import Gossip, GrantsEnd, Hello, MapChange, Moving, Placing
from fireflylock.direct.grant_ends import GrantEnds
from fireflylock.direct.keycontrol import KeyControl
from fireflylock.direct.leader_lease import LEASE_RENEW_INTERVAL, LeaderLease
from fireflylock.direct.model import Bounds, RouteTable
from fireflylock.direct.ownership_view import OwnershipView
from fireflylock.direct.placer import MAPS_PREFIX, Placer
from fireflylock.direct.servers import ServerTable
from fireflylock.exceptions import PlatformError
from fireflylock.store import Store

# The others are told at least this often, so that a lost datagram does not matter.
PUBLISH_INTERVAL = timedelta(milliseconds=100)
# Least time between two tellings: what happens within a step of the node is told together.
# Each one goes to every VM, over links that callers' answers need.
MIN_PUBLISH_INTERVAL = timedelta(milliseconds=20)
# Changes of maps are told this often; a VM that has missed one reads the map from the store.
CHANGE_SEND_COUNT = 2
# Nobody has placed keys for this long: the right may be free.
LEADER_TIMEOUT = timedelta(milliseconds=450)
# Pause after a vain try to win the right; VMs are put apart by their place in the list.
ATTEMPT_INTERVAL = timedelta(milliseconds=300)
ATTEMPT_STAGGER = timedelta(milliseconds=80)
# A VM that reaches less than this share of the owners leaves the placing to another one, and
# does not try again for the second figure.
MIN_REACHABLE_SHARE = 0.4
RESIGN_COOLDOWN = timedelta(seconds=3)
# It does so once in this time: when it gets the right back, the others reach no more.
MIN_RESIGN_INTERVAL = timedelta(seconds=15)
# While a renewal of the right is overdue, others are sent beside it this much faster, and so many
# at most: one without an answer must not keep the next ones back until the right has ended.
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
    """A change of a map, and how often and when it is still to be told."""

    change: MapChange
    left: int
    due_at: Instant


class Leadership:
    """Places keys while this VM has the right, and follows the VM that has it otherwise.

    Parameters
    ----------
    me : Hello
        This process, as it is made known to the others.
    store, control, clock : Store, KeyControl, Clock
        What is needed for it.
    right : LeaderLease
        This VM's side of the right.
    gossip : Gossip
        Link to the other VMs.
    spread : callable
        Brings a message to all of them.
    table : ServerTable
        The servers.
    view : OwnershipView
        What requests are sent by.
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
        self.grant_ends = GrantEnds()
        self.leader_vm = ""
        self.leader_heard_at: Instant = timedelta(0)
        self.next_attempt_at: Instant = timedelta(0)
        self.acquire_task: asyncio.Task | None = None
        # Tries to win the right since the VM that has it was heard.
        self.failed_attempts = 0
        self.renewals: set[asyncio.Task] = set()
        self.last_renewal_at: Instant = timedelta(0)
        self.fetch_task: asyncio.Task | None = None
        self.resigned_at: Instant = -MIN_RESIGN_INTERVAL
        self.published_at: Instant = timedelta(0)
        self.changes: list[PendingChange] = []
        self.publish_count = 0
        # Lease and number of the last telling that was heard.
        self.last_message = (0, 0)
        self.stale_since: Instant | None = None
        self.has_unpublished = False
        self.stopped = False

    def apply_routes(self, routes: RouteTable) -> None:
        """Use a new configuration, and read the recorded maps that are not known here yet.

        By them requests find their owners before the leader is heard, or while there is none.
        """
        self.routes = routes
        missing = [name for name in self.keyed_services() if name not in self.view.maps]
        if missing and self.fetch_task is None:
            self.fetch_task = self.start_task(self.fetch_maps())

    def keyed_services(self) -> list[str]:
        """Return the names of the services whose keys are placed."""
        if self.routes is None:
            return []
        return [spec.name for spec in self.routes.services.values() if spec.keyed]

    def step(self, now: Instant) -> None:
        """Do what is due."""
        if self.stopped:
            return
        if self.leader_lease.is_held(now):
            self.place_keys(now)
            return
        if self.placers:
            self.step_down("the right has ended")
        if self.acquire_task is None and now >= self.next_attempt_at and self.keyed_services():
            self.attempt_if_leaderless(now)

    def place_keys(self, now: Instant) -> None:
        """Place the keys of all keyed services."""
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
                    self.grant_ends,
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
        """Renew the right when that is due."""
        overdue = now - self.leader_lease.renewed_at >= 1.5 * LEASE_RENEW_INTERVAL
        every = LEASE_RENEW_INTERVAL / OVERDUE_FACTOR if overdue else LEASE_RENEW_INTERVAL
        if now - self.last_renewal_at < every or len(self.renewals) >= MAX_PENDING_RENEWALS:
            return
        self.last_renewal_at = now
        task = self.start_task(self.leader_lease.renew())
        self.renewals.add(task)
        task.add_done_callback(self.renewals.discard)

    def start_task(self, work: Coroutine) -> asyncio.Task:
        """Run a call of the store beside everything else."""
        return asyncio.get_running_loop().create_task(work)

    def reaches_too_few_owners(self, now: Instant) -> bool:
        """Return whether most owners take no orders from here, while others may reach them.

        A VM that reaches some of them, and hears most of the other VMs, is not the one that is
        cut off: the servers are lost, or their zone is.  The next VM would reach no more, and
        would have to wait for the longest hold of all keys whose owners are lost.
        """
        if now - self.resigned_at < MIN_RESIGN_INTERVAL:
            return False
        owners = [
            (placer, owner)
            for placer in self.placers.values()
            if placer.map is not None
            for owner in placer.map.owners()
        ]
        peers_alive = len(self.gossip.alive(now))
        if (
            len(owners) < 3
            or now - self.leader_lease.acquired_at < LEADER_TIMEOUT
            or not peers_alive
        ):
            return False
        reached = sum(not placer.is_out_of_reach(owner) for placer, owner in owners)
        if reached and 2 * peers_alive >= self.gossip.fleet_size(now) - 1:
            return False
        return reached < MIN_REACHABLE_SHARE * len(owners)

    def placement_changed(self) -> None:
        """Tell the others, and take over here, what has changed."""
        now = self.clock.elapsed()
        self.has_unpublished = True
        for placer in self.placers.values():
            if placer.last_change is not None:
                self.changes.append(PendingChange(placer.last_change, CHANGE_SEND_COUNT, now))
                placer.last_change = None
            if placer.map is not None and self.view.apply_map(placer.map):
                self.on_owner_change()
        if not self.leader_lease.is_held(now):
            return
        if now - self.published_at >= MIN_PUBLISH_INTERVAL:
            self.publish(now)
        else:
            self.set_moving(now)

    def set_moving(self, now: Instant) -> list[Moving]:
        """Take over here, and return, what is on the move now."""
        moving = [move for placer in self.placers.values() for move in placer.moving(now)]
        if self.view.set_moving(now, moving):
            self.on_owner_change()
        return moving

    def publish(self, now: Instant) -> None:
        """Tell the others what is on the move, and which maps are the newest."""
        self.has_unpublished = False
        self.published_at = now
        moving = self.set_moving(now)
        revisions = {
            name: placer.map.revision
            for name, placer in self.placers.items()
            if placer.map is not None
        }
        due = [told for told in self.changes if told.due_at <= now]
        for told in due:
            told.left -= 1
            told.due_at = now + PUBLISH_INTERVAL
        self.changes = [told for told in self.changes if told.left > 0]
        hello = self.hello
        changes = [told.change for told in due]
        self.publish_count += 1
        lease = self.leader_lease.lease
        message = Placing(
            hello.vm, hello.zone, lease, self.publish_count, moving, revisions, changes
        )
        self.broadcast(now, message)

    def step_down(self, reason: str) -> None:
        """Place no keys any more."""
        log.info("placing of keys stops here", reason=reason)
        placers, self.placers = self.placers, {}
        for placer in placers.values():
            placer.close()
        self.start_task(self.broadcast_grants_end(list(placers.values())))

    async def broadcast_grants_end(self, placers: list[Placer]) -> None:
        """Broadcast within which time everything that was granted here ends."""
        ends = {}
        for placer in placers:
            end = await placer.last_grant_end()
            if end is not None:
                ends[placer.service] = (placer.map.revision, end)
        for _ in range(GRANTS_END_BROADCASTS if ends else 0):
            now = self.clock.elapsed()
            left = {
                service: (revision, max(timedelta(0), end - now) // timedelta(milliseconds=1) + 1)
                for service, (revision, end) in ends.items()
            }
            message = GrantsEnd(self.hello.vm, self.hello.zone, left)
            self.grant_ends.apply(now, message)
            self.gossip.send(message)
            log.info("end of grants broadcast", ends=left)
            await self.clock.sleep(GRANTS_END_INTERVAL)

    def attempt_if_leaderless(self, now: Instant) -> None:
        """Try to win the right if nobody seems to have it."""
        if now - self.leader_heard_at < LEADER_TIMEOUT:
            return
        names = sorted([self.hello.vm, *self.gossip.alive(now)])
        self.next_attempt_at = (
            now + ATTEMPT_INTERVAL + ATTEMPT_STAGGER * names.index(self.hello.vm)
        )
        self.acquire_task = self.start_task(self.try_to_acquire())

    async def try_to_acquire(self) -> None:
        """Try to win the right once.

        Where another VM has it that is not heard here, the store has its maps.  The first vain
        try may only be early: a VM that has just won the right has told nothing yet.
        """
        try:
            if await self.leader_lease.try_acquire():
                return
            self.failed_attempts += 1
            if self.failed_attempts > 1:
                await self.fetch_maps()
        except PlatformError as error:
            log.warning("right to place keys not asked for", error=str(error))
        finally:
            self.acquire_task = None

    # What the placing VM tells.

    def apply_leader_message(self, now: Instant, message: Placing) -> None:
        """Take what another VM, which places keys, has told."""
        if self.leader_lease.is_held(now):
            return
        lease, number = self.last_message
        if message.lease == lease and message.number <= number:
            return
        self.last_message = (message.lease, message.number)
        self.leader_vm = message.vm
        self.leader_heard_at = now
        self.failed_attempts = 0
        changed = False
        for change in message.changes:
            changed |= self.view.apply_change(change)
        changed |= self.view.set_moving(now, message.moving)
        if changed:
            self.on_owner_change()
        behind = False
        for name, revision in message.revisions.items():
            known = self.view.maps.get(name)
            behind |= known is None or known.revision < revision
        if not behind:
            self.stale_since = None
        elif self.stale_since is None:
            self.stale_since = now
        elif now - self.stale_since > MAP_FETCH_DELAY and self.fetch_task is None:
            self.stale_since = now
            self.fetch_task = self.start_task(self.fetch_maps())

    def add_key_work(self, now: Instant, work: dict[str, dict[int, float]]) -> None:
        """Take what keys were asked for, in seconds of work by service and key."""
        for name, asked in work.items():
            placer = self.placers.get(name)
            if placer is not None:
                placer.count_work(now, asked)

    async def fetch_maps(self) -> None:
        """Read the maps from the store."""
        try:
            changed = False
            for name in self.keyed_services():
                value = await self.store.get(MAPS_PREFIX + name)
                if value is not None:
                    changed |= self.view.apply_encoded_map(value.data, value.revision)
            if changed:
                self.on_owner_change()
        except PlatformError as error:
            log.warning("maps of keys not read", error=str(error))
        finally:
            self.fetch_task = None

    async def stop(self) -> None:
        """Leave the placing to another VM."""
        self.stopped = True
        await asyncio.gather(*(placer.resign() for placer in self.placers.values()))
        if self.placers:
            self.step_down("this process stops")
        await self.leader_lease.release("this process stops")
