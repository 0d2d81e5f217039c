"""One entry VM's process: its components, periodic tasks, start and stop."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from ipaddress import ip_address
from typing import Annotated

import msgspec
import structlog

from fireflylock.allowed_regions import ZoneRegions
from fireflylock.clock import Clock, Instant
from fireflylock.cold_servers import ColdServers
from fireflylock.contention_report import ContentionReport
from fireflylock.direct.admission import Admission
from fireflylock.direct.freshness import ConfigurationTransfer, Freshness
from fireflylock.direct.frontend import DirectFrontend
from fireflylock.direct.gossip import (
    ConfigurationPart,
    ConfigurationRequest,
    Gossip,
    GrantsEnd,
    Hello,
    KeyWork,
    Message,
    PermitAsks,
    PermitGrants,
    Placing,
    Relayed,
    Report,
    ServerLeaving,
    StoreChanges,
    Totals,
    ZoneTotal,
)
from fireflylock.direct.isolation import IsolationDetector, Reachability
from fireflylock.direct.key_ranges import Owner
from fireflylock.direct.leader_lease import Holder, LeaderLease
from fireflylock.direct.leadership import Leadership
from fireflylock.direct.leaving_broadcast import LeavingBroadcast
from fireflylock.direct.load_exchange import LoadExchange
from fireflylock.direct.log_budget import LogBudget
from fireflylock.direct.model import NodeSettings, RouteTable
from fireflylock.direct.ownership_view import OwnershipView
from fireflylock.direct.platform_adapter import PlatformAdapter
from fireflylock.direct.request_limits import RequestLimits
from fireflylock.direct.request_permits import RequestPermits
from fireflylock.direct.routes import RouteMatcher
from fireflylock.direct.sender import Sender
from fireflylock.direct.servers import ServerTable
from fireflylock.direct.speed_record import SAVE_INTERVAL, SpeedRecord
from fireflylock.direct.status_server import StatusAnswer, StatusServer
from fireflylock.direct.stopping import plan_stop
from fireflylock.direct.store_watcher import StoreWatcher
from fireflylock.direct.transfer_slots import TransferSlots
from fireflylock.evacuation_watch import EvacuationWatch
from fireflylock.exceptions import (
    ErrorKind,
    PlatformError,
    ProtocolError,
    RequestError,
    VersionConflictError,
)
from fireflylock.json_values import decode_json
from fireflylock.link_pacer import LinkPacer
from fireflylock.load_control.concurrency_limit import (
    ConcurrencyLimits,
    Estimate,
    Mode,
    SampleBatch,
)
from fireflylock.load_control.memory_budget import MemoryBudget, ServerBodies
from fireflylock.metrics import Metrics, StateMetric
from fireflylock.request_metrics import RequestMetrics
from fireflylock.server_probes import ServerProbes
from fireflylock.slow_readers import SlowReaders
from fireflylock.store import Value
from fireflylock.watch_relay import WatchRelay

MEMBERS_PREFIX = "fireflylock/vms/"

# Period of the steps that process queues, migrations and proofs that grants have ended.
STEP_INTERVAL = timedelta(milliseconds=20)
# Periods of the load reports to the other VMs, and of the key work reports to the leader.
REPORT_INTERVAL = timedelta(milliseconds=50)
KEY_WORK_INTERVAL = timedelta(milliseconds=150)
# Period of the cleanup that keeps tables small.
TIDY_INTERVAL = timedelta(seconds=2)
# Period of the checks whether changes in the store were missed.
FRESHNESS_INTERVAL = timedelta(milliseconds=50)
# Period of the checks which servers are to be asked for their health.
PROBE_INTERVAL = timedelta(milliseconds=100)
# Period of the isolation checks; the load balancer checks readiness once a second.
ISOLATION_CHECK_INTERVAL = timedelta(milliseconds=200)
# Time to live of this VM's entry in the store.
MEMBER_TTL = timedelta(seconds=30)
# Renewals cost a tenth of a read and show whether the store answers: it may stop answering while
# connections to it stay open, and a watch would only notice at its timeout.
MEMBER_RENEW_INTERVAL = timedelta(seconds=1)
# Delay after a renewal without an answer.
MEMBER_RETRY_DELAY = timedelta(milliseconds=300)
# The platform's load balancer notices within two checks, a second apart, that a process stops;
# connections that it sends here until then are served.
BALANCER_DRAIN_TIME = timedelta(milliseconds=2600)
# At the end of a stop, time for the answers to requests that have not finished; part of the margin
# before the process is killed.
LAST_ANSWERS_TIME = timedelta(milliseconds=200)
# Descriptors kept free of callers, for connections to servers, the store and other VMs.
RESERVED_DESCRIPTORS = 1200
MIN_CALLER_CONNECTIONS = 256
MAX_UDP_PORT = 65535
# Most regions that one log line names.
MAX_LOGGED_REGIONS = 20
# Log lines a second about concurrency limits that have changed.
LIMIT_LOG_RATE = 5.0
# A process that has its configuration, but no maps of keys yet, reports itself ready after this:
# it can serve services without keys.
MAX_WAIT_FOR_MAPS = timedelta(seconds=6)

log = structlog.get_logger()


class Member(msgspec.Struct):
    """A VM's entry in the store."""

    vm: str
    zone: str
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=MAX_UDP_PORT)]


def decode_member(data: bytes) -> Member:
    """Decode a VM's entry.

    Raises
    ------
    ProtocolError
        The entry is not valid, or its host is not an IP address: a message that is sent to such
        an address looks its name up, or closes the socket.
    """
    member = decode_json(data, Member)
    try:
        ip_address(member.host)
    except ValueError as error:
        raise ProtocolError(f"the host of {member.vm!r} is not an IP address") from error
    return member


def store_rate_divisor(vms: int, placing: bool) -> int:
    """Return the divisor that gives a VM's share of the store's rate limits.

    Half of the rate is reserved for the leader, which places keys and makes most calls.
    """
    return 2 if placing else 2 * vms


class DirectNode:
    """One entry VM's process.

    Parameters
    ----------
    node_settings : NodeSettings
        Its identity, addresses and bounds.
    platform : PlatformAdapter
        The platform.
    clock : Clock
        Source of time.
    concurrency_mode : Mode
        Whether the backend servers' concurrency limits are learned.
    """

    def __init__(
        self,
        node_settings: NodeSettings,
        platform: PlatformAdapter,
        clock: Clock,
        concurrency_mode: Mode = Mode.AUTO,
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
        self.concurrency = ConcurrencyLimits(concurrency_mode, self.boot)
        self.table.concurrency = self.concurrency
        # No address is claimed before the first configuration.
        self.table.apply_services(self.started_at, ())
        self.view = OwnershipView(self.table)
        self.gossip = Gossip(node_settings.vm, clock, self.on_message)
        self.limits = RequestLimits(clock, self.table)
        self.permits = RequestPermits(
            node_settings.vm, node_settings.zone, self.gossip, self.table, self.limits
        )
        self.regions = ZoneRegions(node_settings.regions)
        self.admission = Admission(
            self.table, self.view, node_settings.zone, self.permits, self.regions
        )
        self.admission.vms = lambda: self.gossip.fleet_size(self.clock.elapsed())
        self.permits.demand_of = self.admission.demand_of
        self.permits.on_permits = self.admission.permits_arrived
        self.cold_servers = ColdServers(clock, self.table, node_settings.bounds)
        self.slow_start = self.cold_servers.slow_start
        self.permits.slow_start = self.slow_start
        self.permits.fleet_known = False
        self.sender = Sender(
            self.admission,
            self.table,
            self.limits,
            clock,
            platform.callers,
            platform.servers,
            node_settings.bounds,
            lambda: self.gossip.fleet_size(self.clock.elapsed()),
        )
        self.sender.on_cold = self.cold_servers.server_stated
        self.sender.on_unreachable = self.cold_servers.server_unreachable
        self.probes = ServerProbes(
            clock,
            self.table,
            self.slow_start,
            lambda now, server: self.permits.choose_issuer(now, server) == node_settings.vm,
            self.sender.pool,
            platform.health_dialect,
        )
        self.probes.may_probe = lambda server: not self.table.is_forbidden(server)
        self.metrics = Metrics()
        self.metrics.state.state_metrics += self.limits.metrics()
        self.metrics.state.state_metrics += self.probes.metrics()
        self.metrics.state.state_metrics += self.cold_servers.metrics()
        self.contention = ContentionReport(
            self.admission.priorities, self.admission.fairness, self.admission.returns
        )
        self.metrics.state.state_metrics += self.contention.metrics()
        self.frontend = DirectFrontend(
            self.sender,
            lambda: self.matcher,
            clock,
            platform.callers,
            metrics=RequestMetrics(self.metrics),
        )
        if node_settings.link_rate is not None:
            self.frontend.pacer = LinkPacer(clock, node_settings.link_rate)
            self.sender.transfers = TransferSlots(node_settings.link_rate)
        if node_settings.memory_bytes is not None:
            self.sender.memory = MemoryBudget(node_settings.memory_bytes)
            self.sender.bodies = ServerBodies(node_settings.vm)
            slow_readers = SlowReaders(self.sender.memory, self.sender.bodies)
            self.frontend.cut_slow_readers = slow_readers.sweep
            self.metrics.state.state_metrics += slow_readers.metrics()
        leader_lease = LeaderLease(platform.store, clock, Holder(node_settings.vm, self.boot))
        self.exchange = LoadExchange(
            node_settings.vm,
            node_settings.zone,
            self.gossip,
            self.table,
            self.admission,
            self.limits,
        )
        self.exchange.add_shared(self.slow_start)
        self.exchange.add_shared(self.admission.priorities)
        if self.sender.bodies is not None:
            self.exchange.add_shared(self.sender.bodies)
        self.exchange.add_shared(self.concurrency)
        self.concurrency.on_change = self.log_concurrency_limit
        self.limit_log_budget = LogBudget(LIMIT_LOG_RATE, LIMIT_LOG_RATE)
        self.metrics.state.state_metrics += self.concurrency_metrics()
        self.leaving = LeavingBroadcast(
            node_settings.vm, node_settings.zone, self.gossip, self.table
        )
        self.admission.hears_fleet = self.gossip.hears_most
        self.exchange.add_shared(self.admission.loads)
        self.exchange.add_shared(self.admission.full)
        self.sender.on_leaving = self.server_leaving
        platform.control.on_leaving = self.server_leaving
        self.leadership = Leadership(
            Hello(node_settings.vm, node_settings.zone),
            platform.store,
            platform.control,
            clock,
            leader_lease,
            self.gossip,
            self.exchange.broadcast,
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
        self.registrations_relay = WatchRelay(
            node_settings.vm, node_settings.zone, self.gossip, self.servers_watcher
        )
        self.watchers = [self.config_watcher, self.servers_watcher]
        self.evacuations = self.create_evacuation_watch()
        self.transfer = ConfigurationTransfer(
            node_settings.vm, node_settings.zone, self.gossip, self.apply_received_config
        )
        self.freshness = Freshness(
            node_settings.vm,
            self.gossip,
            platform.store,
            clock,
            self.watchers,
            self.transfer,
        )
        self.exchange.own_revisions = self.known_revisions
        self.exchange.on_revisions = self.apply_claims
        self.metrics.state.state_metrics += self.configuration_metrics()
        self.metrics.state.state_metrics += self.connection_metrics()
        self.metrics.state.state_metrics += self.registrations_relay.metrics()
        self.metrics.state.state_metrics += self.admission.metrics(clock)
        self.tasks: list[asyncio.Task] = []
        self.member_lease = 0
        # Set when the store was restored: the lease may be gone, or be another VM's.
        self.must_rejoin = False
        # Whether the next list of servers is the first one since the store was restored.
        self.servers_restored = False
        platform.store.era.on_restored.append(self.store_restored)
        self.store_answered_at = clock.elapsed()
        self.isolation = IsolationDetector()
        self.isolated = False

    def create_evacuation_watch(self) -> EvacuationWatch | None:
        """Return the watch of evacuated zones, or None if the deployment evacuates none."""
        bound = self.node_settings.bounds.evacuation
        if bound is None:
            return None
        watch = EvacuationWatch(
            bound,
            self.platform.evacuations_prefix,
            self.platform.store,
            self.clock,
            self.table,
            self.view,
            lambda: {} if self.routes is None else self.routes.services,
            self.admission.owners_changed,
        )
        self.watchers.append(watch.watcher)
        watch.on_suspect_cold = self.slow_start.suspect
        self.exchange.add_shared(watch.evacuation)
        self.metrics.state.state_metrics += watch.metrics()
        return watch

    async def start(self) -> None:
        """Listen, and start the periodic tasks."""
        await self.status.start(self.node_settings.status)
        if self.node_settings.metrics is not None:
            await self.status.start(self.node_settings.metrics)
        await self.gossip.start(self.node_settings.peer)
        host, port = self.node_settings.front
        await self.frontend.start(host, port)
        loop = asyncio.get_running_loop()
        for work in (
            *(watcher.run() for watcher in self.watchers),
            self.repeat(STEP_INTERVAL, self.step),
            self.repeat(REPORT_INTERVAL, self.exchange.step),
            self.repeat(KEY_WORK_INTERVAL, self.tell_work),
            self.repeat(FRESHNESS_INTERVAL, self.freshness.step),
            self.repeat(TIDY_INTERVAL, self.tidy),
            self.repeat(PROBE_INTERVAL, self.send_probes),
            self.repeat(SAVE_INTERVAL, self.save_speeds),
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
        """Run an action periodically; an exception in it is logged, and the loop goes on."""
        while True:
            await self.clock.sleep(period)
            try:
                action(self.clock.elapsed())
            except Exception:
                log.exception("step failed", step=action.__name__)

    def step(self, now: Instant) -> None:
        """Process timeouts of servers, migrations and queues, and the leadership."""
        gone = self.table.tick(now)
        if gone:
            log.info("servers are gone", servers=gone)
        evacuated = self.evacuations is not None and self.evacuations.step(now)
        if self.view.tick(now) or evacuated:
            self.admission.owners_changed(now)
        self.slow_start.step(now)
        self.permits.step(now)
        self.admission.tick(now)
        if self.sender.stop is not None and now >= self.sender.stop.queues_until:
            self.admission.refuse_waiting(now)
        self.leaving.step(now)
        self.registrations_relay.step(now, self.store_answered_at)
        self.leadership.step(now)

    def look_for_isolation(self, now: Instant) -> None:
        """Send callers elsewhere while this VM is cut off from most servers."""
        self.isolated = self.isolation.update(now, self.reachability())
        # Answers tell callers on open connections to reconnect.
        self.frontend.sends_connection_close = self.isolated

    def reachability(self) -> Reachability:
        """Return when other zones and the store were last heard, and the slots of each zone."""
        zones_heard: dict[str, Instant] = {}
        for peer in self.gossip.peers.values():
            if peer.zone and peer.zone != self.node_settings.zone:
                zones_heard[peer.zone] = max(
                    peer.heard_at, zones_heard.get(peer.zone, peer.heard_at)
                )
        slots: dict[str, int] = {}
        for server in self.table.servers.values():
            if not server.gone and not self.table.is_evacuated(server):
                zone = server.entry.zone
                slots[zone] = slots.get(zone, 0) + server.entry.slots
        return Reachability(self.node_settings.zone, zones_heard, slots, self.store_answered_at)

    def server_leaving(self, owner: Owner) -> None:
        """Handle an answer in which a server says that it shuts down."""
        self.leaving.mark_and_broadcast(self.clock.elapsed(), owner)

    def send_probes(self, now: Instant) -> None:
        """Send the health checks that are due."""
        self.probes.step(now, self.gossip.fleet_size(now))

    # Configuration and servers.

    def store_recovered(self, now: Instant) -> None:
        """Handle that the store answers again after a failure."""
        self.table.start_reregistration_period(now)
        if self.evacuations is not None:
            self.evacuations.store_recovered()

    def store_restored(self) -> None:
        """Handle that the store came back from an older copy: read everything anew."""
        self.table.start_reregistration_period(self.clock.elapsed())
        self.must_rejoin = True
        self.servers_restored = True
        for watcher in self.watchers:
            watcher.restart(relist=True)

    def known_revisions(self) -> dict[str, int]:
        """Return how far this VM knows what is in the store, by prefix or key."""
        return self.freshness.revisions() | self.leadership.map_revisions()

    def apply_claims(self, vm: str, revisions: dict[str, int]) -> None:
        """Record how far another VM knows what is in the store."""
        self.freshness.apply_claims(vm, revisions)
        self.leadership.apply_claims(revisions)

    def apply_config_values(self, now: Instant, values: list[Value], is_snapshot: bool) -> None:
        """Apply the configuration if it is valid and newer."""
        for value in values:
            if value.key != self.platform.config_key:
                continue
            try:
                routes = self.platform.decode_config(value.data)
            except ProtocolError as error:
                log.error(
                    "invalid configuration ignored", revision=value.revision, error=str(error)
                )
                continue
            if self.routes is not None and routes.version <= self.routes.version:
                continue
            self.apply_route_table(routes, value.revision)
            self.transfer.set_current(value, routes.version)

    def apply_received_config(self, now: Instant, value: Value) -> None:
        """Apply the configuration that another VM has sent."""
        self.apply_config_values(now, [value], is_snapshot=False)
        self.config_watcher.record_received(value)

    def apply_route_table(self, routes: RouteTable, revision: int) -> None:
        """Put a configuration into effect."""
        self.routes = routes
        self.matcher = RouteMatcher(routes)
        self.sender.routes = routes
        self.admission.apply_routes(routes)
        self.leadership.apply_routes(routes)
        self.cold_servers.apply_services(routes.services)
        self.probes.services = routes.services
        self.table.apply_services(self.clock.elapsed(), routes.services)
        max_connections = max(
            MIN_CALLER_CONNECTIONS, self.node_settings.file_descriptors - RESERVED_DESCRIPTORS
        )
        self.frontend.apply_limits(routes.limits, max_connections)
        log.info(
            "configuration in force",
            version=routes.version,
            revision=revision,
            routes=len(routes.routes),
            idle_timeout=routes.limits.idle_timeout.total_seconds(),
            head_timeout=routes.limits.head_timeout.total_seconds(),
            silence=self.config_watcher.silence.total_seconds(),
        )
        named = frozenset().union(*(route.allowed_regions or () for route in routes.routes))
        unknown = self.regions.unknown_in(named)
        if unknown:
            log.warning("no zone is in some allowed regions", regions=unknown[:MAX_LOGGED_REGIONS])

    def apply_server_values(self, now: Instant, values: list[Value], is_snapshot: bool) -> None:
        """Apply registrations of servers: a full snapshot, or those that have changed."""
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
        if is_snapshot:
            self.table.replace(now, entries, self.servers_restored)
            self.servers_restored = False
            if self.speeds_task is None and entries:
                self.speeds_task = asyncio.get_running_loop().create_task(self.speeds.load())
        else:
            for entry in entries:
                self.table.register(now, entry)
            for name in removed:
                self.table.remove(now, name)
        log.info(
            "server registrations changed",
            whole=is_snapshot,
            entries=[(e.name, e.service, "leaving" if e.leaving else "") for e in entries[:20]],
            removed=removed,
        )
        self.admission.owners_changed(now)

    # Other entry VMs.

    async def maintain_membership(self) -> None:
        """Register this VM for the others, and keep its entry alive."""
        while True:
            try:
                await self.join()
                while await self.renew_membership():
                    await self.clock.sleep(MEMBER_RENEW_INTERVAL)
                log.warning("membership of this VM has expired")
            except (PlatformError, VersionConflictError) as error:
                log.warning("registration of this VM failed", error=str(error))
            await self.clock.sleep(timedelta(seconds=1))

    async def renew_membership(self) -> bool:
        """Renew this VM's entry once the store answers; return whether it still exists.

        After a renewal without an answer the watches, which may never be answered, restart.
        """
        store = self.platform.store
        answered = True
        while not self.must_rejoin:
            try:
                remaining = await store.keep_alive(self.member_lease)
            except PlatformError as error:
                if answered:
                    log.warning("renewal of this VM's membership failed", error=str(error))
                answered = False
                await self.clock.sleep(MEMBER_RETRY_DELAY)
                continue
            self.store_answered_at = self.clock.elapsed()
            if not answered:
                for watcher in self.watchers:
                    watcher.restart()
            return remaining > timedelta(0)
        return False

    async def join(self) -> None:
        """Write this VM's entry, and introduce it to the others.

        The entry is written before the others are listed: of two VMs that start together, at
        least the later one sees the other.
        """
        store = self.platform.store
        self.must_rejoin = False
        self.member_lease = (await store.grant_lease(MEMBER_TTL)).id
        host, port = self.node_settings.peer
        entry = msgspec.json.encode(
            Member(self.node_settings.vm, self.node_settings.zone, host, port)
        )
        key = MEMBERS_PREFIX + self.node_settings.vm
        try:
            await store.put(key, entry, 0, lease=self.member_lease)
        except VersionConflictError:
            # The entry of the previous process; its lease may not have ended yet.
            current = await store.get(key)
            revision = 0 if current is None else current.revision
            await store.put(key, entry, revision, lease=self.member_lease)
        values, _ = await store.list(MEMBERS_PREFIX)
        for value in values:
            try:
                member = decode_member(value.data)
            except ProtocolError as error:
                log.warning("entry of a VM ignored", key=value.key, error=str(error))
                continue
            if member.vm != self.node_settings.vm:
                self.gossip.add(member.vm, (member.host, member.port), member.zone)
        self.permits.fleet_known = True
        self.gossip.send(self.leadership.hello)

    def on_message(self, message: Message) -> None:
        """Dispatch a message from another VM."""
        now = self.clock.elapsed()
        if isinstance(message, Placing):
            self.leadership.apply_leader_message(now, message)
            self.exchange.relay(message)
        elif isinstance(message, Relayed):
            self.leadership.apply_leader_message(now, message.placing)
        elif isinstance(message, Report):
            self.exchange.apply_report(now, message)
        elif isinstance(message, Totals):
            self.exchange.apply_totals(now, message)
        elif isinstance(message, ZoneTotal):
            self.exchange.apply_zone_total(now, message)
        elif isinstance(message, KeyWork):
            self.leadership.add_key_work(now, message.work)
            self.merge_speeds(message.slowness)
            self.collect_latencies(now, message.vm, message.latencies)
        elif isinstance(message, GrantsEnd):
            self.leadership.expiry_broadcasts.apply(now, message)
        elif isinstance(message, ServerLeaving):
            self.leaving.apply(now, message)
        elif isinstance(message, PermitAsks):
            self.permits.apply_asks(now, message)
        elif isinstance(message, PermitGrants):
            self.permits.apply_grants(now, message)
        elif isinstance(message, StoreChanges):
            self.registrations_relay.apply(now, message)
        elif isinstance(message, ConfigurationRequest):
            self.transfer.answer(message)
        elif isinstance(message, ConfigurationPart):
            self.transfer.receive(now, message)

    def merge_speeds(self, slowness: dict[str, tuple[float, int]]) -> None:
        """Merge slowness that another VM has reported for servers that are registered here."""
        registered = self.table.servers
        relevant = {name: samples for name, samples in slowness.items() if name in registered}
        self.table.speeds.merge(relevant)

    def tell_work(self, now: Instant) -> None:
        """Report requested key work and slowness of servers to the leader."""
        work = self.sender.take_key_work()
        slowness = self.table.speeds.take_unreported()
        latencies = self.concurrency.take_batch()
        vm = self.node_settings.vm
        if self.leadership.placers:
            if work or slowness:
                self.leadership.add_key_work(now, work)
            self.collect_latencies(now, vm, latencies)
            self.concurrency.step(now)
            return
        self.concurrency.stop_collecting()
        if self.leadership.leader_vm and (work or slowness or latencies):
            message = KeyWork(vm, self.node_settings.zone, work, slowness, latencies)
            self.gossip.send(message, to=[self.leadership.leader_vm])

    def collect_latencies(self, now: Instant, vm: str, latencies: SampleBatch | None) -> None:
        """Add a VM's samples of the servers' latencies if this VM is the leader."""
        if latencies is not None and self.leadership.placers:
            self.concurrency.collect(now, vm, latencies)

    def log_concurrency_limit(
        self, server: str, slots: int, before: Estimate | None, estimate: Estimate
    ) -> None:
        """Log that a server's concurrency limit has changed."""
        now = self.clock.elapsed()
        if not self.limit_log_budget.allows(now, "changed"):
            return
        log.info(
            "concurrency limit of a server changed",
            server=server,
            slots=slots,
            limit=estimate.limit,
            before=slots if before is None else before.limit,
            slowness=round(estimate.slowness, 2),
            samples=self.concurrency.collected[server].model.samples,
            left_out=self.limit_log_budget.take_omitted("changed"),
        )

    def save_speeds(self, now: Instant) -> None:
        """If this VM is the leader, save server speeds for processes that start later."""
        if self.leadership.placers and (self.speeds_task is None or self.speeds_task.done()):
            self.speeds_task = asyncio.get_running_loop().create_task(self.speeds.save())

    def tidy(self, now: Instant) -> None:
        """Clean up unused state, and adapt the store's rate limits to the fleet size."""
        self.sender.maintain_pools()
        self.gossip.forget_silent_peers(now)
        self.gossip.greet_silent_peers(now, self.leadership.hello)
        self.exchange.tidy(now)
        self.table.evict_gone(now)
        self.cold_servers.tidy()
        self.probes.schedule.tidy(self.table.servers)
        self.limits.tidy(now)
        self.concurrency.tidy(now)
        self.permits.tidy(now)
        self.admission.tidy(now)
        self.contention.log_changes()
        if self.sender.bodies is not None:
            self.sender.bodies.tidy(now)
        self.freshness.tidy()
        placing = bool(self.leadership.placers)
        self.platform.store.set_fleet_size(
            store_rate_divisor(self.gossip.fleet_size(now), placing)
        )

    # Readiness, metrics, shutdown.

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

    def configuration_metrics(self) -> list[StateMetric]:
        """Return the metrics of the configuration, and of what is read from the store."""
        store = self.platform.store
        return [
            StateMetric(
                "configuration_version",
                "Configuration in force.",
                (),
                lambda: [] if self.routes is None else [((), self.routes.version)],
            ),
            StateMetric(
                "store_watch_age_seconds",
                "Time since the store last answered a watch.",
                ("prefix",),
                lambda: [
                    (
                        (watcher.prefix,),
                        (self.clock.elapsed() - watcher.answered_at).total_seconds(),
                    )
                    for watcher in self.watchers
                ],
            ),
            StateMetric(
                "store_behind_seconds",
                "Time for which a later change in the store is known to exist.",
                ("prefix",),
                lambda: self.freshness.behind_seconds(self.clock.elapsed()),
            ),
            StateMetric(
                "store_era",
                "Times that the store was restored from a copy, as it counts them.",
                (),
                lambda: [] if store.era.number is None else [((), store.era.number)],
            ),
            StateMetric(
                "split_requests",
                "Requests of routes that are split between services.",
                ("route", "service"),
                self.sender.split_balancer.counts.items,
                counts=True,
            ),
        ]

    def concurrency_metrics(self) -> list[StateMetric]:
        """Return the metrics of the backend servers' learned concurrency limits."""
        concurrency = self.concurrency
        servers = self.table.servers

        def utilizations() -> list[tuple[tuple[str], float]]:
            now = self.clock.elapsed()
            return [
                ((name,), servers[name].request_count(now) / estimate.limit)
                for name, estimate in concurrency.estimates.items()
                if name in servers
            ]

        return [
            StateMetric(
                "server_concurrency_limit",
                "Requests of all VMs that a backend server takes well at once, as learned.",
                ("server",),
                lambda: [((name,), known.limit) for name, known in concurrency.estimates.items()],
            ),
            StateMetric(
                "server_concurrency_utilization",
                "Requests at a backend server relative to its concurrency limit.",
                ("server",),
                utilizations,
            ),
            StateMetric(
                "server_slowness",
                "Latency at a backend server relative to the mean of the routes, as learned.",
                ("server",),
                lambda: [
                    ((name,), known.slowness) for name, known in concurrency.estimates.items()
                ],
            ),
            StateMetric(
                "server_latency_samples",
                "Responses of which this VM has taken a sample to learn concurrency limits.",
                ("server",),
                lambda: [((name,), count) for name, count in concurrency.sample_counts.items()],
                counts=True,
            ),
        ]

    def connection_metrics(self) -> list[StateMetric]:
        """Return the metrics of connections to callers and servers."""
        counters = self.frontend.counters
        return [
            StateMetric(
                "idle_connections_closed",
                "Callers' connections closed because no request came on them for too long.",
                (),
                lambda: [((), counters.idle_closed)],
                counts=True,
            ),
            StateMetric(
                "received_after_close",
                "Idle connections on which bytes arrived after they were closed.",
                (),
                lambda: [((), counters.received_after_close)],
                counts=True,
            ),
            StateMetric(
                "truncated_responses",
                "Responses that ended before they were complete.",
                (),
                lambda: [((), counters.truncated_responses)],
                counts=True,
            ),
            StateMetric(
                "response_backlogs",
                "Responses of servers that arrived in more parts than are handled in one go.",
                (),
                lambda: [((), self.sender.response_backlogs)],
                counts=True,
            ),
        ]

    def scrape(self) -> StatusAnswer:
        """Answer a scrape of the metrics."""
        return StatusAnswer(200, self.metrics.text())

    async def stop(self) -> None:
        """Shut down gracefully: finish accepted requests while callers are sent elsewhere."""
        plan = plan_stop(self.clock.elapsed(), self.node_settings.bounds.grace)
        self.stopping = True
        self.sender.stop = plan
        self.admission.stop = plan
        log.info("process is stopping", vm=self.node_settings.vm)
        self.frontend.start_draining()
        resign_task = asyncio.get_running_loop().create_task(self.leadership.stop())
        await self.clock.sleep(BALANCER_DRAIN_TIME)
        finished = await self.frontend.drain(plan.ends_at - self.clock.elapsed())
        unfinished = RequestError(ErrorKind.OUTCOME_UNKNOWN, "the VM stops")
        await self.frontend.answer_unfinished(unfinished, LAST_ANSWERS_TIME)
        resign_task.cancel()
        counters = self.frontend.counters
        log.info(
            "process stopped",
            vm=self.node_settings.vm,
            finished=finished,
            idle_closed=counters.idle_closed,
            received_after_close=counters.received_after_close,
            truncated_responses=counters.truncated_responses,
        )
        await self.close()

    async def close(self) -> None:
        """Close everything at once."""
        tasks = [*self.tasks, *([self.speeds_task] if self.speeds_task else [])]
        for task in tasks:
            task.cancel()
        self.freshness.close()
        self.probes.close()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                log.error("task had failed", error=repr(result))
        await self.frontend.close()
        self.status.close()
        self.gossip.close()
        self.sender.close()
        self.platform.control.close()
        await self.platform.store.close()
