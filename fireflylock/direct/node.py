"""One entry VM's process: what it is made of, what it repeats, how it starts and stops."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import msgspec
import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.direct.admission import Admission
from fireflylock.direct.edge import DirectFrontend
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
from fireflylock.direct.isolation import IsolationDetector, Reachability
from fireflylock.direct.keyranges import Owner
from fireflylock.direct.leader_lease import Holder, LeaderLease
from fireflylock.direct.leadership import Leadership
from fireflylock.direct.leaving import LeavingBroadcast
from fireflylock.direct.load_exchange import LoadExchange
from fireflylock.direct.model import NodeSettings, RouteTable
from fireflylock.direct.ownership_view import OwnershipView
from fireflylock.direct.platform_adapter import PlatformAdapter
from fireflylock.direct.routes import RouteMatcher
from fireflylock.direct.sender import Sender
from fireflylock.direct.servers import ServerTable
from fireflylock.direct.speed_record import SAVE_EVERY, SpeedRecord
from fireflylock.direct.status_server import StatusAnswer, StatusServer
from fireflylock.direct.stopping import plan_stop
from fireflylock.direct.store_watcher import StoreWatcher
from fireflylock.exceptions import PlatformError, ProtocolError, VersionConflictError
from fireflylock.metrics import Metrics
from fireflylock.request_metrics import RequestMetrics
from fireflylock.store import Value

MEMBERS_PREFIX = "fireflylock/vms/"

# Period of the steps that look at queues, moves and proofs.
STEP_INTERVAL = timedelta(milliseconds=20)
# Period of the reports to the other VMs, and of those to the one that places keys.
REPORT_INTERVAL = timedelta(milliseconds=50)
KEY_WORK_INTERVAL = timedelta(milliseconds=150)
# Period of what keeps tables small.
TIDY_INTERVAL = timedelta(seconds=2)
# Period of the looks at what is heard of other zones; the balancer asks once a second.
ISOLATION_CHECK_INTERVAL = timedelta(milliseconds=200)
# Life of this VM's entry in the store.
MEMBER_TTL = timedelta(seconds=30)
# Period of its renewals.  They cost a tenth of a read and show whether the store answers: it
# may fall silent while connections to it live on, and a watch would wait out its time.
MEMBER_RENEW_INTERVAL = timedelta(seconds=1)
# Pause after a renewal without an answer.
MEMBER_RETRY_DELAY = timedelta(milliseconds=300)
# The platform's balancer notices within two checks, a second apart, that a process stops;
# connections that it still sends here are answered.
BALANCER_DRAIN_TIME = timedelta(milliseconds=2600)
# Descriptors that connections of callers may not use: those to servers, the store and VMs.
RESERVED_DESCRIPTORS = 1200
MIN_CALLER_CONNECTIONS = 256
# A process that knows its configuration, but no owners yet, reports itself ready after this:
# services without keys can be served.
MAX_WAIT_FOR_MAPS = timedelta(seconds=6)

log = structlog.get_logger()


class Member(msgspec.Struct):
    """A VM's entry in the store."""

    vm: str
    zone: str
    host: str
    port: int


def store_rate_divisor(vms: int, placing: bool) -> int:
    """Return by what a VM divides the store's rates, to get its share of them.

    Half of the calls are left to the VM that places keys, since it makes most of them.
    """
    return 2 if placing else 2 * vms


class DirectNode:
    """One entry VM's process.

    Parameters
    ----------
    place : NodeSettings
        Where it runs.
    surroundings : PlatformAdapter
        The platform.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, node_settings: NodeSettings, platform: PlatformAdapter, clock: Clock
    ) -> None:
        self.node_settings = node_settings
        self.platform = platform
        self.clock = clock
        self.boot = int(clock.now().timestamp() * 1000)
        self.started_at = clock.elapsed()
        self.routes: RouteTable | None = None
        self.matcher: RouteMatcher | None = None
        self.stopping = False
        self.table = ServerTable(node_settings.bounds.drain)
        self.view = OwnershipView(self.table)
        self.admission = Admission(self.table, self.view, node_settings.zone)
        self.gossip = Gossip(node_settings.vm, clock, self.on_message)
        self.sender = Sender(
            self.admission,
            self.table,
            clock,
            platform.callers,
            platform.servers,
            node_settings.bounds,
            lambda: self.gossip.fleet_size(self.clock.elapsed()),
        )
        self.metrics = Metrics()
        self.frontend = DirectFrontend(
            self.sender,
            lambda: self.matcher,
            clock,
            platform.callers,
            metrics=RequestMetrics(self.metrics),
        )
        leader_lease = LeaderLease(platform.store, clock, Holder(node_settings.vm, self.boot))
        self.exchange = LoadExchange(
            node_settings.vm, node_settings.zone, self.gossip, self.table, self.admission
        )
        self.leaving = LeavingBroadcast(
            node_settings.vm, node_settings.zone, self.gossip, self.table
        )
        self.sender.on_leaving = self.server_leaving
        platform.control.on_leaving = self.server_leaving
        self.leadership = Leadership(
            Hello(node_settings.vm, node_settings.zone),
            platform.store,
            platform.control,
            clock,
            leader_lease,
            self.gossip,
            self.exchange.spread,
            self.table,
            self.view,
            node_settings.bounds,
            lambda: self.admission.owners_changed(self.clock.elapsed()),
        )
        self.speeds = SpeedRecord(platform.store, self.table)
        self.speeds_task: asyncio.Task | None = None
        self.status = StatusServer(
            {platform.readiness_path: self.readiness, "/metrics": self.scrape}
        )
        self.config_watcher = StoreWatcher(
            platform.store,
            clock,
            platform.config_key,
            self.apply_config_values,
            self.store_recovered,
        )
        self.servers_watcher = StoreWatcher(
            platform.store,
            clock,
            platform.servers_prefix,
            self.apply_server_values,
            self.store_recovered,
        )
        self.tasks: list[asyncio.Task] = []
        self.member_lease = 0
        self.store_answered_at = clock.elapsed()
        self.isolation = IsolationDetector()
        self.isolated = False

    async def start(self) -> None:
        """Listen, and begin everything that repeats."""
        await self.status.start(self.node_settings.status)
        if self.node_settings.metrics is not None:
            await self.status.start(self.node_settings.metrics)
        await self.gossip.start(self.node_settings.peer)
        host, port = self.node_settings.front
        await self.frontend.start(host, port)
        loop = asyncio.get_running_loop()
        for work in (
            self.config_watcher.run(),
            self.servers_watcher.run(),
            self.repeat(STEP_INTERVAL, self.step),
            self.repeat(REPORT_INTERVAL, self.exchange.step),
            self.repeat(KEY_WORK_INTERVAL, self.tell_work),
            self.repeat(TIDY_INTERVAL, self.tidy),
            self.repeat(SAVE_EVERY, self.save_speeds),
            self.repeat(ISOLATION_CHECK_INTERVAL, self.look_for_isolation),
            self.maintain_membership(),
        ):
            self.tasks.append(loop.create_task(work))
        log.info(
            "process started",
            vm=self.node_settings.vm,
            zone=self.node_settings.zone,
            boot=self.boot,
        )

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
        if self.sender.stop is not None and now >= self.sender.stop.queues_until:
            self.admission.refuse_waiting(now)
        self.leaving.step(now)
        self.leadership.step(now)

    def look_for_isolation(self, now: Instant) -> None:
        """Send callers elsewhere while this VM is cut off from most servers."""
        self.isolated = self.isolation.update(now, self.reachability())
        # Callers on open connections learn from the answers to come back on another one.
        self.frontend.closes_connections = self.isolated

    def reachability(self) -> Reachability:
        """Return what is heard of other zones and of the store."""
        zones_heard: dict[str, Instant] = {}
        for peer in self.gossip.peers.values():
            if peer.zone and peer.zone != self.node_settings.zone:
                zones_heard[peer.zone] = max(
                    peer.heard_at, zones_heard.get(peer.zone, peer.heard_at)
                )
        slots: dict[str, int] = {}
        for server in self.table.servers.values():
            if not server.gone:
                zone = server.entry.zone
                slots[zone] = slots.get(zone, 0) + server.entry.slots
        return Reachability(self.node_settings.zone, zones_heard, slots, self.store_answered_at)

    def server_leaving(self, owner: Owner) -> None:
        """Apply what a server's answer says: that it shuts down."""
        self.leaving.learn(self.clock.elapsed(), owner)

    # Configuration and servers.

    def store_recovered(self, now: Instant) -> None:
        """Take note that the store answers again after it did not."""
        self.table.store_was_away(now)

    def apply_config_values(self, now: Instant, values: list[Value], whole: bool) -> None:
        """Take the configuration if it is valid and newer."""
        for value in values:
            if value.key != self.platform.config_key:
                continue
            try:
                table = self.platform.decode_config(value.data)
            except ProtocolError as error:
                log.error("configuration not taken", revision=value.revision, error=str(error))
                continue
            if self.routes is not None and table.version <= self.routes.version:
                continue
            self.apply_route_table(table, value.revision)

    def apply_route_table(self, table: RouteTable, revision: int) -> None:
        """Put a configuration in force."""
        self.routes = table
        self.matcher = RouteMatcher(table)
        self.sender.routes = table
        self.leadership.apply_routes(table)
        room = max(
            MIN_CALLER_CONNECTIONS, self.node_settings.file_descriptors - RESERVED_DESCRIPTORS
        )
        self.frontend.take_limits(table.limits, room)
        log.info(
            "configuration in force",
            version=table.version,
            revision=revision,
            routes=len(table.routes),
        )

    def apply_server_values(self, now: Instant, values: list[Value], whole: bool) -> None:
        """Take registrations of servers: all of them, or those that have changed."""
        entries = []
        removed = []
        for value in values:
            name = value.key.removeprefix(self.platform.servers_prefix)
            if not value.data:
                removed.append(name)
                continue
            try:
                entries.append(self.platform.decode_server(value.key, value.data))
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

    async def maintain_membership(self) -> None:
        """Make this VM known to the others, and renew its entry."""
        while True:
            try:
                await self.join()
                while await self.renew_membership():
                    await self.clock.sleep(MEMBER_RENEW_INTERVAL)
                log.warning("entry of this VM has ended")
            except (PlatformError, VersionConflictError) as error:
                log.warning("this VM is not registered", error=str(error))
            await self.clock.sleep(timedelta(seconds=1))

    async def renew_membership(self) -> bool:
        """Renew this VM's entry once the store answers; return whether it still stands.

        Watches that were sent to a store that did not answer then are begun again.
        """
        store = self.platform.store
        answered = True
        while True:
            try:
                left = await store.keep_alive(self.member_lease)
            except PlatformError as error:
                if answered:
                    log.warning("entry of this VM not renewed", error=str(error))
                answered = False
                await self.clock.sleep(MEMBER_RETRY_DELAY)
                continue
            self.store_answered_at = self.clock.elapsed()
            if not answered:
                self.config_watcher.restart()
                self.servers_watcher.restart()
            return left > timedelta(0)

    async def join(self) -> None:
        """Write this VM's entry, and greet the others.

        The entry is written before the others are listed: of two VMs that start together, at
        least the later one sees the other.
        """
        store = self.platform.store
        self.member_lease = await store.grant_lease(MEMBER_TTL)
        host, port = self.node_settings.peer
        entry = msgspec.json.encode(
            Member(self.node_settings.vm, self.node_settings.zone, host, port)
        )
        key = MEMBERS_PREFIX + self.node_settings.vm
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
            if member.vm != self.node_settings.vm:
                self.gossip.add(member.vm, (member.host, member.port), member.zone)
        self.gossip.send(self.leadership.hello)

    def on_message(self, message: Message) -> None:
        """Take what another VM has sent."""
        now = self.clock.elapsed()
        if isinstance(message, Placing):
            self.leadership.apply_leader_message(now, message)
            self.exchange.pass_on(message)
        elif isinstance(message, Relayed):
            self.leadership.apply_leader_message(now, message.placing)
        elif isinstance(message, Report):
            self.exchange.take_report(now, message)
        elif isinstance(message, Totals):
            self.exchange.take_totals(now, message)
        elif isinstance(message, ZoneTotal):
            self.exchange.take_zone(now, message)
        elif isinstance(message, KeyWork):
            self.leadership.add_key_work(now, message.work)
            self.merge_speeds(message.slowness)
        elif isinstance(message, GrantsEnd):
            self.leadership.grant_ends.apply(now, message)
        elif isinstance(message, ServerLeaving):
            self.leaving.apply(now, message)

    def merge_speeds(self, slowness: dict[str, tuple[float, int]]) -> None:
        """Learn from other VMs how slow the registered servers are."""
        known = self.table.servers
        seen = {name: figures for name, figures in slowness.items() if name in known}
        self.table.speeds.merge(seen)

    def tell_work(self, now: Instant) -> None:
        """Tell the leader what was asked for, and how fast the servers were."""
        work = self.sender.take_key_work()
        slowness = self.table.speeds.take_untold()
        if not work and not slowness:
            return
        if self.leadership.placers:
            self.leadership.add_key_work(now, work)
        elif self.leadership.leader_vm:
            message = KeyWork(self.node_settings.vm, self.node_settings.zone, work, slowness)
            self.gossip.send(message, to=[self.leadership.leader_vm])

    def save_speeds(self, now: Instant) -> None:
        """Let the leader record speeds for processes that start later."""
        if self.leadership.placers and (self.speeds_task is None or self.speeds_task.done()):
            self.speeds_task = asyncio.get_running_loop().create_task(self.speeds.save())

    def tidy(self, now: Instant) -> None:
        """Forget what is no longer needed."""
        self.sender.close_unused_pools()
        self.gossip.forget_silent_peers(now)
        self.gossip.greet_silent_peers(now, self.leadership.hello)
        self.exchange.tidy(now)
        self.table.forget_gone(now)
        placing = bool(self.leadership.placers)
        self.platform.store.set_fleet_size(
            store_rate_divisor(self.gossip.fleet_size(now), placing)
        )

    # Readiness, metrics, end.

    def is_ready(self) -> bool:
        """Return whether callers should be sent here."""
        if self.stopping or self.isolated or self.routes is None:
            return False
        if all(name in self.view.maps for name in self.leadership.keyed_services()):
            return True
        return self.clock.elapsed() - self.started_at > MAX_WAIT_FOR_MAPS

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
        plan = plan_stop(self.clock.elapsed(), self.node_settings.bounds.grace)
        self.stopping = True
        self.sender.stop = plan
        log.info("process stops", vm=self.node_settings.vm)
        self.frontend.announce_stop()
        leave = asyncio.get_running_loop().create_task(self.leadership.stop())
        await self.clock.sleep(BALANCER_DRAIN_TIME)
        finished = await self.frontend.drain(plan.ends_at - self.clock.elapsed())
        leave.cancel()
        log.info("process stopped", vm=self.node_settings.vm, finished=finished)
        await self.close()

    async def close(self) -> None:
        """End everything at once."""
        for task in [*self.tasks, *([self.speeds_task] if self.speeds_task else [])]:
            task.cancel()
        await self.frontend.close()
        self.status.close()
        self.gossip.close()
        self.sender.close()
        await self.platform.store.close()
