"""Which VM places keys, and what it does for all keyed services."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta

import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.direct.expiry_broadcasts import ExpiryBroadcasts
from fireflylock.direct.gossip import Gossip, GrantsEnd, Hello, MapChange, Moving, Placing
from fireflylock.direct.key_control import KeyControl
from fireflylock.direct.model import Bounds, RouteTable
from fireflylock.direct.ownership_view import OwnershipView
from fireflylock.direct.placer import MAPS_PREFIX, Placer
from fireflylock.direct.right import RENEW_EVERY, PlacingRight
from fireflylock.direct.servers import ServerTable
from fireflylock.exceptions import PlatformError
from fireflylock.store import Store

# The others are told at least this often, so that a lost datagram does not matter.
TELL_EVERY = timedelta(milliseconds=100)
# Least time between two tellings: what happens within a step of the node is told together.
# Each one goes to every VM, over links that callers' answers need.
TELL_PAUSE = timedelta(milliseconds=20)
# Changes of maps are told this often; a VM that has missed one reads the map from the store.
CHANGE_TELLINGS = 2
# Nobody has placed keys for this long: the right may be free.
SILENCE = timedelta(milliseconds=450)
# Pause after a vain try to win the right; VMs are put apart by their place in the list.
TRY_PAUSE = timedelta(milliseconds=300)
TRY_STAGGER = timedelta(milliseconds=80)
# A VM that reaches less than this share of the owners leaves the placing to another one, and
# does not try again for the second figure.
REACHED_SHARE = 0.4
REST = timedelta(seconds=3)
# It does so once in this time: when it gets the right back, the others reach no more.
RESIGN_EVERY = timedelta(seconds=15)
# While a renewal of the right is overdue, others are sent beside it this much faster, and so many
# at most: one without an answer must not keep the next ones back until the right has ended.
OVERDUE_FACTOR = 3
MOST_RENEWALS = 8
# How often, and how far apart, a leader that steps down broadcasts when its grants end.
END_BROADCASTS = 3
END_PAUSE = timedelta(milliseconds=60)
# A map that is known to be newer is read from the store when nobody has sent it for this long.
MAP_PATIENCE = timedelta(milliseconds=120)

log = structlog.get_logger()


@dataclass
class ToldChange:
    """A change of a map, and how often and when it is still to be told."""

    change: MapChange
    left: int
    due_at: Instant


class PlacingDuty:
    """Places keys while this VM has the right, and follows the VM that has it otherwise.

    Parameters
    ----------
    me : Hello
        This process, as it is made known to the others.
    store, control, clock : Store, KeyControl, Clock
        What is needed for it.
    right : PlacingRight
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
    on_owners : callable
        Called when the owners of keys may have changed.
    """

    def __init__(
        self,
        me: Hello,
        store: Store,
        control: KeyControl,
        clock: Clock,
        right: PlacingRight,
        gossip: Gossip,
        spread: Callable[[Instant, Placing], None],
        table: ServerTable,
        view: OwnershipView,
        bounds: Bounds,
        on_owners: Callable[[], None],
    ) -> None:
        self.me = me
        self.store = store
        self.control = control
        self.clock = clock
        self.right = right
        self.gossip = gossip
        self.spread = spread
        self.table = table
        self.view = view
        self.bounds = bounds
        self.on_owners = on_owners
        self.routes: RouteTable | None = None
        self.placers: dict[str, Placer] = {}
        self.expiry_broadcasts = ExpiryBroadcasts()
        self.placing_vm = ""
        self.placing_heard_at: Instant = timedelta(0)
        self.try_at: Instant = timedelta(0)
        self.trying: asyncio.Task | None = None
        # Tries to win the right since the VM that has it was heard.
        self.vain_tries = 0
        self.renewals: set[asyncio.Task] = set()
        self.renewal_at: Instant = timedelta(0)
        self.fetching: asyncio.Task | None = None
        self.resigned_at: Instant = -RESIGN_EVERY
        self.told_at: Instant = timedelta(0)
        self.changes: list[ToldChange] = []
        self.tellings = 0
        # Lease and number of the last telling that was heard.
        self.heard_last = (0, 0)
        self.behind_since: Instant | None = None
        self.changed = False
        self.stopped = False

    def apply_routes(self, routes: RouteTable) -> None:
        """Use a new configuration, and read the recorded maps that are not known here yet.

        By them requests find their owners before the leader is heard, or while there is none.
        """
        self.routes = routes
        missing = [name for name in self.keyed_services() if name not in self.view.maps]
        if missing and self.fetching is None:
            self.fetching = self.begin(self.fetch_maps())

    def keyed_services(self) -> list[str]:
        """Return the names of the services whose keys are placed."""
        if self.routes is None:
            return []
        return [spec.name for spec in self.routes.services.values() if spec.keyed]

    def step(self, now: Instant) -> None:
        """Do what is due."""
        if self.stopped:
            return
        if self.right.is_held(now):
            self.place(now)
            return
        if self.placers:
            self.stop_placing("the right has ended")
        if self.trying is None and now >= self.try_at and self.keyed_services():
            self.consider_trying(now)

    def place(self, now: Instant) -> None:
        """Place the keys of all keyed services."""
        self.renew_right(now)
        names = self.keyed_services()
        for name in names:
            if name not in self.placers:
                self.placers[name] = Placer(
                    name,
                    self.table,
                    self.store,
                    self.control,
                    self.right,
                    self.clock,
                    self.bounds.max_hold,
                    self.expiry_broadcasts,
                    self.mark_changed,
                )
        for placer in self.placers.values():
            placer.step(now)
        if self.reaches_too_few(now):
            self.try_at = now + REST
            self.resigned_at = now
            self.stop_placing("too few servers are reached")
            self.begin(self.right.give_up("too few servers are reached"))
            return
        if now - self.told_at >= (TELL_PAUSE if self.changed else TELL_EVERY):
            self.tell(now)

    def renew_right(self, now: Instant) -> None:
        """Renew the right when that is due."""
        overdue = now - self.right.renewed_at >= 1.5 * RENEW_EVERY
        every = RENEW_EVERY / OVERDUE_FACTOR if overdue else RENEW_EVERY
        if now - self.renewal_at < every or len(self.renewals) >= MOST_RENEWALS:
            return
        self.renewal_at = now
        task = self.begin(self.right.renew())
        self.renewals.add(task)
        task.add_done_callback(self.renewals.discard)

    def begin(self, work: Coroutine) -> asyncio.Task:
        """Run a call of the store beside everything else."""
        return asyncio.get_running_loop().create_task(work)

    def reaches_too_few(self, now: Instant) -> bool:
        """Return whether most owners take no orders from here, while others may reach them.

        A VM that reaches some of them, and hears most of the other VMs, is not the one that is
        cut off: the servers are lost, or their zone is.  The next VM would reach no more, and
        would have to wait for the longest hold of all keys whose owners are lost.
        """
        if now - self.resigned_at < RESIGN_EVERY:
            return False
        owners = [
            (placer, owner)
            for placer in self.placers.values()
            if placer.map is not None
            for owner in placer.map.owners()
        ]
        heard = len(self.gossip.alive(now))
        if len(owners) < 3 or now - self.right.won_at < SILENCE or not heard:
            return False
        reached = sum(not placer.is_unreachable(owner) for placer, owner in owners)
        if reached and 2 * heard >= self.gossip.count(now) - 1:
            return False
        return reached < REACHED_SHARE * len(owners)

    def mark_changed(self) -> None:
        """Tell the others, and take over here, what has changed."""
        now = self.clock.elapsed()
        self.changed = True
        for placer in self.placers.values():
            if placer.last_change is not None:
                self.changes.append(ToldChange(placer.last_change, CHANGE_TELLINGS, now))
                placer.last_change = None
            if placer.map is not None and self.view.set_map(placer.map):
                self.on_owners()
        if not self.right.is_held(now):
            return
        if now - self.told_at >= TELL_PAUSE:
            self.tell(now)
        else:
            self.take_moving(now)

    def take_moving(self, now: Instant) -> list[Moving]:
        """Take over here, and return, what is on the move now."""
        moving = [move for placer in self.placers.values() for move in placer.moving(now)]
        if self.view.take_moving(now, moving):
            self.on_owners()
        return moving

    def tell(self, now: Instant) -> None:
        """Tell the others what is on the move, and which maps are the newest."""
        self.changed = False
        self.told_at = now
        moving = self.take_moving(now)
        revisions = {
            name: placer.map.revision
            for name, placer in self.placers.items()
            if placer.map is not None
        }
        due = [told for told in self.changes if told.due_at <= now]
        for told in due:
            told.left -= 1
            told.due_at = now + TELL_EVERY
        self.changes = [told for told in self.changes if told.left > 0]
        me = self.me
        changes = [told.change for told in due]
        self.tellings += 1
        lease = self.right.lease
        message = Placing(me.vm, me.zone, lease, self.tellings, moving, revisions, changes)
        self.spread(now, message)

    def stop_placing(self, reason: str) -> None:
        """Place no keys any more."""
        log.info("placing of keys stops here", reason=reason)
        placers, self.placers = self.placers, {}
        for placer in placers.values():
            placer.close()
        self.begin(self.broadcast_grants_end(list(placers.values())))

    async def broadcast_grants_end(self, placers: list[Placer]) -> None:
        """Broadcast within which time everything that was granted here ends."""
        ends = {}
        for placer in placers:
            end = await placer.latest_grant_expiry()
            if end is not None:
                ends[placer.service] = (placer.map.revision, end)
        for _ in range(END_BROADCASTS if ends else 0):
            now = self.clock.elapsed()
            left = {
                service: (revision, max(timedelta(0), end - now) // timedelta(milliseconds=1) + 1)
                for service, (revision, end) in ends.items()
            }
            message = GrantsEnd(self.me.vm, self.me.zone, left)
            self.expiry_broadcasts.apply(now, message)
            self.gossip.send(message)
            log.info("end of grants broadcast", ends=left)
            await self.clock.sleep(END_PAUSE)

    def consider_trying(self, now: Instant) -> None:
        """Try to win the right if nobody seems to have it."""
        if now - self.placing_heard_at < SILENCE:
            return
        names = sorted([self.me.vm, *self.gossip.alive(now)])
        self.try_at = now + TRY_PAUSE + TRY_STAGGER * names.index(self.me.vm)
        self.trying = self.begin(self.try_to_win())

    async def try_to_win(self) -> None:
        """Try to win the right once.

        Where another VM has it that is not heard here, the store has its maps.  The first vain
        try may only be early: a VM that has just won the right has told nothing yet.
        """
        try:
            if await self.right.try_win():
                return
            self.vain_tries += 1
            if self.vain_tries > 1:
                await self.fetch_maps()
        except PlatformError as error:
            log.warning("right to place keys not asked for", error=str(error))
        finally:
            self.trying = None

    # What the placing VM tells.

    def heard(self, now: Instant, message: Placing) -> None:
        """Take what another VM, which places keys, has told."""
        if self.right.is_held(now):
            return
        lease, number = self.heard_last
        if message.lease == lease and message.number <= number:
            return
        self.heard_last = (message.lease, message.number)
        self.placing_vm = message.vm
        self.placing_heard_at = now
        self.vain_tries = 0
        changed = False
        for change in message.changes:
            changed |= self.view.take_change(change)
        changed |= self.view.take_moving(now, message.moving)
        if changed:
            self.on_owners()
        behind = False
        for name, revision in message.revisions.items():
            known = self.view.maps.get(name)
            behind |= known is None or known.revision < revision
        if not behind:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now
        elif now - self.behind_since > MAP_PATIENCE and self.fetching is None:
            self.behind_since = now
            self.fetching = self.begin(self.fetch_maps())

    def take_work(self, now: Instant, work: dict[str, dict[int, float]]) -> None:
        """Take what keys were asked for, in seconds of work by service and key."""
        for name, asked in work.items():
            placer = self.placers.get(name)
            if placer is not None:
                placer.add_key_work(now, asked)

    async def fetch_maps(self) -> None:
        """Read the maps from the store."""
        try:
            changed = False
            for name in self.keyed_services():
                value = await self.store.get(MAPS_PREFIX + name)
                if value is not None:
                    changed |= self.view.take_map(value.data, value.revision)
            if changed:
                self.on_owners()
        except PlatformError as error:
            log.warning("maps of keys not read", error=str(error))
        finally:
            self.fetching = None

    async def stop(self) -> None:
        """Leave the placing to another VM."""
        self.stopped = True
        await asyncio.gather(*(placer.resign() for placer in self.placers.values()))
        if self.placers:
            self.stop_placing("this process stops")
        await self.right.give_up("this process stops")
