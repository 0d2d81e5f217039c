"""One entry VM's process: what it is made of, what it repeats, how it starts and stops."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import msgspec
import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.direct.admission import Admission
from fireflylock.direct.duty import PlacingDuty
from fireflylock.direct.follower import Follower
from fireflylock.direct.frontend import DirectFrontend
from fireflylock.direct.gossip import (
    Gossip,
    GrantsEnd,
    Hello,
    KeyWork,
    Message,
    Placing,
    Relayed,
    Report,
    ServerLeaving,
    Totals,
    ZoneTotal,
)
from fireflylock.direct.isolation import IsolationDetector, Reach
from fireflylock.direct.key_ranges import Owner
from fireflylock.direct.leaving_broadcast import LeavingBroadcast
from fireflylock.direct.load_exchange import LoadExchange
from fireflylock.direct.model import Place, RouteTable
from fireflylock.direct.ownership_view import OwnershipView
from fireflylock.direct.right import Holder, PlacingRight
from fireflylock.direct.routes import RouteMatcher
from fireflylock.direct.sender import Sender
from fireflylock.direct.servers import ServerTable
from fireflylock.direct.speed_record import SAVE_INTERVAL, SpeedRecord
from fireflylock.direct.status_server import StatusAnswer, StatusServer
from fireflylock.direct.stopping import plan_stop
from fireflylock.direct.surroundings import Surroundings
from fireflylock.exceptions import PlatformError, ProtocolError, VersionConflictError
from fireflylock.metrics import Metrics
from fireflylock.request_metrics import RequestMetrics
from fireflylock.store import Value

MEMBERS_PREFIX = "fireflylock/vms/"

# Period of the steps that look at queues, moves and proofs.
STEP = timedelta(milliseconds=20)
# Period of the reports to the other VMs, and of those to the one that places keys.
REPORT_EVERY = timedelta(milliseconds=50)
WORK_EVERY = timedelta(milliseconds=150)
# Period of what keeps tables small.
TIDY_EVERY = timedelta(seconds=2)
# Period of the looks at what is heard of other zones; the balancer asks once a second.
ISOLATION_EVERY = timedelta(milliseconds=200)
# Life of this VM's entry in the store.
MEMBER_LIFETIME = timedelta(seconds=30)
# Period of its renewals.  They cost a tenth of a read and show whether the store answers: it
# may fall silent while connections to it live on, and a watch would wait out its time.
MEMBER_RENEW = timedelta(seconds=1)
# Pause after a renewal without an answer.
MEMBER_RETRY = timedelta(milliseconds=300)
# The platform's balancer notices within two checks, a second apart, that a process stops;
# connections that it still sends here are answered.
BALANCER_NOTICE = timedelta(milliseconds=2600)
# Descriptors that connections of callers may not use: those to servers, the store and VMs.
OTHER_DESCRIPTORS = 1200
FEWEST_CALLERS = 256
# A process that knows its configuration, but no owners yet, reports itself ready after this:
# services without keys can be served.
READY_WITHOUT_MAPS = timedelta(seconds=6)

log = structlog.get_logger()


class Member(msgspec.Struct):
    """A VM's entry in the store."""

    vm: str
    zone: str
    host: str
    port: int


def callers_of_store(vms: int, placing: bool) -> int:
    """Return by what a VM divides the store's rates, to get its share of them.

    Half of the calls are left to the VM that places keys, since it makes most of them.
    """
    return 2 if placing else 2 * vms


class DirectNode:
    """One entry VM's process.

    Parameters
    ----------
    place : Place
        Where it runs.
    surroundings : Surroundings
        The platform.
    clock : Clock
        Source of time.
    """

    def __init__(self, place: Place, surroundings: Surroundings, clock: Clock) -> None:
        self.place = place
        self.surroundings = surroundings
        self.clock = clock
        self.boot = int(clock.now().timestamp() * 1000)
        self.started_at = clock.elapsed()
        self.routes: RouteTable | None = None
        self.matcher: RouteMatcher | None = None
        self.stopping = False
        self.table = ServerTable(place.bounds.drain)
        self.view = OwnershipView(self.table)
        self.admission = Admission(self.table, self.view, place.zone)
        self.gossip = Gossip(place.vm, clock, self.on_message)
        self.sender = Sender(
            self.admission,
            self.table,
            clock,
            surroundings.callers,
            surroundings.servers,
            place.bounds,
            lambda: self.gossip.count(self.clock.elapsed()),
        )
        self.metrics = Metrics()
        self.frontend = DirectFrontend(
            self.sender,
            lambda: self.matcher,
            clock,
            surroundings.callers,
            metrics=RequestMetrics(self.metrics),
        )
        right = PlacingRight(surroundings.store, clock, Holder(place.vm, self.boot))
        self.exchange = LoadExchange(place.vm, place.zone, self.gossip, self.table, self.admission)
        self.leaving = LeavingBroadcast(place.vm, place.zone, self.gossip, self.table)
        self.sender.on_leaving = self.learn_leaving
        surroundings.control.on_leaving = self.learn_leaving
        self.duty = PlacingDuty(
            Hello(place.vm, place.zone),
            surroundings.store,
            surroundings.control,
            clock,
            right,
            self.gossip,
            self.exchange.broadcast,
            self.table,
            self.view,
            place.bounds,
            lambda: self.admission.owners_changed(self.clock.elapsed()),
        )
        self.speeds = SpeedRecord(surroundings.store, self.table)
        self.speeds_task: asyncio.Task | None = None
        self.status = StatusServer(
            {surroundings.readiness_path: self.readiness, "/metrics": self.scrape}
        )
        self.config_follower = Follower(
            surroundings.store, clock, surroundings.config_key, self.take_config, self.regained
        )
        self.servers_follower = Follower(
            surroundings.store,
            clock,
            surroundings.servers_prefix,
            self.take_servers,
            self.regained,
        )
        self.tasks: list[asyncio.Task] = []
        self.member_lease = 0
        self.store_answered_at = clock.elapsed()
        self.isolation = IsolationDetector()
        self.isolated = False

    async def start(self) -> None:
        """Listen, and begin everything that repeats."""
        await self.status.start(self.place.status)
        if self.place.metrics is not None:
            await self.status.start(self.place.metrics)
        await self.gossip.start(self.place.peer)
        host, port = self.place.front
        await self.frontend.start(host, port)
        loop = asyncio.get_running_loop()
        for work in (
            self.config_follower.run(),
            self.servers_follower.run(),
            self.repeat(STEP, self.step),
            self.repeat(REPORT_EVERY, self.exchange.step),
            self.repeat(WORK_EVERY, self.tell_work),
            self.repeat(TIDY_EVERY, self.tidy),
            self.repeat(SAVE_INTERVAL, self.save_speeds),
            self.repeat(ISOLATION_EVERY, self.look_for_isolation),
            self.keep_membership(),
        ):
            self.tasks.append(loop.create_task(work))
        log.info("process started", vm=self.place.vm, zone=self.place.zone, boot=self.boot)

    async def repeat(self, period: timedelta, action: Callable[[Instant], None]) -> None:
        """Do something again and again; a fault in it is logged, and it goes on."""
        while True:
            await self.clock.sleep(period)
            try:
                action(self.clock.elapsed())
            except Exception:
                log.exception("step failed", step=action.__name__)

    def step(self, now: Instant) -> None:
        """Look at queues, moves and proofs."""
        gone = self.table.tick(now)
        if gone:
            log.info("servers are gone", servers=gone)
        if self.view.tick(now):
            self.admission.owners_changed(now)
        self.admission.tick(now)
        if self.sender.stop is not None and now >= self.sender.stop.waits_until:
            self.admission.refuse_waiting(now)
        self.leaving.step(now)
        self.duty.step(now)

    def look_for_isolation(self, now: Instant) -> None:
        """Send callers elsewhere while this VM is cut off from most servers."""
        self.isolated = self.isolation.update(now, self.reach())
        # Callers on open connections learn from the answers to come back on another one.
        self.frontend.closes_connections = self.isolated

    def reach(self) -> Reach:
        """Return what is heard of other zones and of the store."""
        heard: dict[str, Instant] = {}
        for peer in self.gossip.peers.values():
            if peer.zone and peer.zone != self.place.zone:
                heard[peer.zone] = max(peer.heard_at, heard.get(peer.zone, peer.heard_at))
        slots: dict[str, int] = {}
        for server in self.table.servers.values():
            if not server.gone:
                zone = server.entry.zone
                slots[zone] = slots.get(zone, 0) + server.entry.slots
        return Reach(self.place.zone, heard, slots, self.store_answered_at)

    def learn_leaving(self, owner: Owner) -> None:
        """Apply what a server's answer says: that it shuts down."""
        self.leaving.mark_and_broadcast(self.clock.elapsed(), owner)

    # Configuration and servers.

    def regained(self, now: Instant) -> None:
        """Take note that the store answers again after it did not."""
        self.table.start_reregistration_period(now)

    def take_config(self, now: Instant, values: list[Value], whole: bool) -> None:
        """Take the configuration if it is valid and newer."""
        for value in values:
            if value.key != self.surroundings.config_key:
                continue
            try:
                table = self.surroundings.decode_config(value.data)
            except ProtocolError as error:
                log.error("configuration not taken", revision=value.revision, error=str(error))
                continue
            if self.routes is not None and table.version <= self.routes.version:
                continue
            self.set_routes(table, value.revision)

    def set_routes(self, table: RouteTable, revision: int) -> None:
        """Put a configuration in force."""
        self.routes = table
        self.matcher = RouteMatcher(table)
        self.sender.routes = table
        self.duty.apply_routes(table)
        room = max(FEWEST_CALLERS, self.place.file_descriptors - OTHER_DESCRIPTORS)
        self.frontend.apply_limits(table.limits, room)
        log.info(
            "configuration in force",
            version=table.version,
            revision=revision,
            routes=len(table.routes),
        )

    def take_servers(self, now: Instant, values: list[Value], whole: bool) -> None:
        """Take registrations of servers: all of them, or those that have changed."""
        entries = []
        removed = []
        for value in values:
            name = value.key.removeprefix(self.surroundings.servers_prefix)
            if not value.data:
                removed.append(name)
                continue
            try:
                entries.append(self.surroundings.decode_server(value.key, value.data))
            except ProtocolError as error:
                log.warning("registration ignored", key=value.key, error=str(error))
        if whole:
            self.table.replace(now, entries)
            if self.speeds_task is None and entries:
                self.speeds_task = asyncio.get_running_loop().create_task(self.speeds.load())
        else:
            for entry in entries:
                self.table.register(now, entry)
            for name in removed:
                self.table.remove(now, name)
        log.info(
            "servers have changed",
            whole=whole,
            entries=[(e.name, e.service, "leaving" if e.leaving else "") for e in entries[:20]],
            removed=removed,
        )
        self.admission.owners_changed(now)

    # Other entry VMs.

    async def keep_membership(self) -> None:
        """Make this VM known to the others, and renew its entry."""
        while True:
            try:
                await self.join()
                while await self.renew_membership():
                    await self.clock.sleep(MEMBER_RENEW)
                log.warning("entry of this VM has ended")
            except (PlatformError, VersionConflictError) as error:
                log.warning("this VM is not registered", error=str(error))
            await self.clock.sleep(timedelta(seconds=1))

    async def renew_membership(self) -> bool:
        """Renew this VM's entry once the store answers; return whether it still stands.

        Watches that were sent to a store that did not answer then are begun again.
        """
        store = self.surroundings.store
        answered = True
        while True:
            try:
                left = await store.keep_alive(self.member_lease)
            except PlatformError as error:
                if answered:
                    log.warning("entry of this VM not renewed", error=str(error))
                answered = False
                await self.clock.sleep(MEMBER_RETRY)
                continue
            self.store_answered_at = self.clock.elapsed()
            if not answered:
                self.config_follower.restart()
                self.servers_follower.restart()
            return left > timedelta(0)

    async def join(self) -> None:
        """Write this VM's entry, and greet the others.

        The entry is written before the others are listed: of two VMs that start together, at
        least the later one sees the other.
        """
        store = self.surroundings.store
        self.member_lease = await store.grant_lease(MEMBER_LIFETIME)
        host, port = self.place.peer
        entry = msgspec.json.encode(Member(self.place.vm, self.place.zone, host, port))
        key = MEMBERS_PREFIX + self.place.vm
        try:
            await store.put(key, entry, 0, lease=self.member_lease)
        except VersionConflictError:
            # The entry of the process before this one; its lease may not have ended yet.
            known = await store.get(key)
            revision = 0 if known is None else known.revision
            await store.put(key, entry, revision, lease=self.member_lease)
        values, _ = await store.list(MEMBERS_PREFIX)
        for value in values:
            member = msgspec.json.decode(value.data, type=Member)
            if member.vm != self.place.vm:
                self.gossip.add(member.vm, (member.host, member.port), member.zone)
        self.gossip.send(self.duty.me)

    def on_message(self, message: Message) -> None:
        """Take what another VM has sent."""
        now = self.clock.elapsed()
        if isinstance(message, Placing):
            self.duty.heard(now, message)
            self.exchange.relay(message)
        elif isinstance(message, Relayed):
            self.duty.heard(now, message.placing)
        elif isinstance(message, Report):
            self.exchange.apply_report(now, message)
        elif isinstance(message, Totals):
            self.exchange.apply_totals(now, message)
        elif isinstance(message, ZoneTotal):
            self.exchange.apply_zone_total(now, message)
        elif isinstance(message, KeyWork):
            self.duty.take_work(now, message.work)
            self.learn_speeds(message.slowness)
        elif isinstance(message, GrantsEnd):
            self.duty.expiry_broadcasts.apply(now, message)
        elif isinstance(message, ServerLeaving):
            self.leaving.apply(now, message)

    def learn_speeds(self, slowness: dict[str, tuple[float, int]]) -> None:
        """Learn from other VMs how slow the registered servers are."""
        known = self.table.servers
        seen = {name: figures for name, figures in slowness.items() if name in known}
        self.table.speeds.merge(seen)

    def tell_work(self, now: Instant) -> None:
        """Tell the leader what was asked for, and how fast the servers were."""
        work = self.sender.take_key_work()
        slowness = self.table.speeds.take_unreported()
        if not work and not slowness:
            return
        if self.duty.placers:
            self.duty.take_work(now, work)
        elif self.duty.placing_vm:
            message = KeyWork(self.place.vm, self.place.zone, work, slowness)
            self.gossip.send(message, to=[self.duty.placing_vm])

    def save_speeds(self, now: Instant) -> None:
        """Let the leader record speeds for processes that start later."""
        if self.duty.placers and (self.speeds_task is None or self.speeds_task.done()):
            self.speeds_task = asyncio.get_running_loop().create_task(self.speeds.save())

    def tidy(self, now: Instant) -> None:
        """Forget what is no longer needed."""
        self.sender.close_unused_pools()
        self.gossip.forget(now)
        self.gossip.greet_silent(now, self.duty.me)
        self.exchange.tidy(now)
        self.table.evict_gone(now)
        placing = bool(self.duty.placers)
        self.surroundings.store.set_fleet_size(callers_of_store(self.gossip.count(now), placing))

    # Readiness, metrics, end.

    def is_ready(self) -> bool:
        """Return whether callers should be sent here."""
        if self.stopping or self.isolated or self.routes is None:
            return False
        if all(name in self.view.maps for name in self.duty.keyed_services()):
            return True
        return self.clock.elapsed() - self.started_at > READY_WITHOUT_MAPS

    def readiness(self) -> StatusAnswer:
        """Answer the readiness check."""
        return (
            StatusAnswer(200, b"ready\n") if self.is_ready() else StatusAnswer(503, b"not ready\n")
        )

    def scrape(self) -> StatusAnswer:
        """Answer a scrape of the metrics."""
        return StatusAnswer(200, self.metrics.text())

    async def stop(self) -> None:
        """Finish what was begun, then end; callers are sent elsewhere meanwhile."""
        plan = plan_stop(self.clock.elapsed(), self.place.bounds.grace)
        self.stopping = True
        self.sender.stop = plan
        log.info("process stops", vm=self.place.vm)
        self.frontend.announce_stop()
        leave = asyncio.get_running_loop().create_task(self.duty.stop())
        await self.clock.sleep(BALANCER_NOTICE)
        finished = await self.frontend.drain(plan.ends_at - self.clock.elapsed())
        leave.cancel()
        log.info("process stopped", vm=self.place.vm, finished=finished)
        await self.close()

    async def close(self) -> None:
        """End everything at once."""
        for task in [*self.tasks, *([self.speeds_task] if self.speeds_task else [])]:
            task.cancel()
        await self.frontend.close()
        self.status.close()
        self.gossip.close()
        self.sender.close()
        await self.surroundings.store.close()
