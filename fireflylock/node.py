"""A node: everything that one entry VM runs, wired together."""

import asyncio
import ssl
import time
from collections.abc import Callable, Coroutine
from datetime import timedelta

from fireflylock.assignment_store import AssignmentStore
from fireflylock.clock import Clock
from fireflylock.config import Settings
from fireflylock.config_fields import addresses_of_seeds
from fireflylock.etcd import EtcdStore
from fireflylock.exchange import Request
from fireflylock.fleet import Fleet
from fireflylock.forwarding import Forwarder
from fireflylock.frontend import Frontend, FrontendLimits
from fireflylock.gate import Gate
from fireflylock.gate_manager import GateManager
from fireflylock.handover import Handover
from fireflylock.idempotency_windows import IdempotencyWindows, WindowBounds
from fireflylock.load_reports import GateLoadCounter
from fireflylock.log import LogControl, logger
from fireflylock.membership import EventKind, MemberEvent, Membership, MembershipTiming
from fireflylock.messages import (
    GateHandover,
    LoadReport,
    ReleaseRefused,
    ReleaseUnits,
    StandbyPromise,
    StandbyPromiseRequest,
    StandbyRight,
    UnitsReleased,
    WindowAck,
    WindowCopy,
    WindowTransfer,
    WindowTransferAck,
    WitnessQuestion,
    WitnessWord,
)
from fireflylock.metrics import Metrics
from fireflylock.model import Configuration, EntryVM
from fireflylock.mover import Mover
from fireflylock.node_state import NodeState
from fireflylock.operators_view import OperatorsView
from fireflylock.ownership import Evidence
from fireflylock.peer_keys import CurveKeys
from fireflylock.peers import PeerLimits, Peers
from fireflylock.placement import CostPlanner
from fireflylock.platform_writer import PlatformWriter
from fireflylock.rebalancer import Rebalancer
from fireflylock.recovery import Recovery
from fireflylock.relay import RelayTiming, StateRelay
from fireflylock.releases import ReleaseHandler
from fireflylock.request_metrics import RequestMetrics
from fireflylock.retry import RetryBudget
from fireflylock.router import Router
from fireflylock.routing_view import NodeRoutingView
from fireflylock.session import SessionTiming
from fireflylock.standby import Standby
from fireflylock.standby_links import StandbyLinks
from fireflylock.state import StateCache
from fireflylock.state_keys import StateKeys
from fireflylock.takeover import Takeover
from fireflylock.vm_history import VMHistory
from fireflylock.vm_list import VMListReader
from fireflylock.window_transfers import WindowTransfers
from fireflylock.zone_watch import ZoneWatch

LOG = logger("node")

TAKEOVER_PERIOD = timedelta(milliseconds=50)
# A leaving server must get no new work within a few seconds.
LEAVING_PERIOD = timedelta(milliseconds=250)
TAKE_BACK_PERIOD = timedelta(milliseconds=100)
# Some watcher reads the platform every second.
PLATFORM_AWAY_AFTER = timedelta(seconds=3)
GONE_PERIOD = timedelta(seconds=1)
ZONE_PERIOD = timedelta(milliseconds=250)
RIGHTS_PERIOD = timedelta(milliseconds=500)
PAUSE_AFTER_FAILURE = timedelta(milliseconds=500)


class Node:
    """One entry VM's daemon.

    Parameters
    ----------
    settings : Settings
        What the process was told.
    clock : Clock
        Time.
    log_control : LogControl
        The level that is logged.
    curve : CurveKeys or None
        Keys for the links between entry VMs.
    callers_context : ssl.SSLContext or None
        For TLS towards callers.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        log_control: LogControl,
        curve: CurveKeys | None = None,
        callers_context: ssl.SSLContext | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.log_control = log_control
        self.name = settings.vm.name
        # Grows with every start, because the wall clock does.
        self.incarnation = time.time_ns() // 1000
        self.process = str(self.incarnation)
        self.metrics = Metrics(settings.limits.metric_labels)
        self.stopping = False
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.gate_loads: dict[str, GateLoadCounter] = {}
        self.vm_history = VMHistory()
        self.tasks: list[asyncio.Task[None]] = []
        self.build_links(curve)
        self.build_state()
        self.build_gates()
        self.build_edge(callers_context)
        self.subscribe()

    def build_links(self, curve: CurveKeys | None) -> None:
        """Make the links to the other entry VMs."""
        peers = self.settings.peers
        address = f"{peers.address}:{peers.port}"
        limits = PeerLimits(queue_messages=self.settings.limits.peer_queue)
        self.peers = Peers(self.name, address, self.clock, curve, limits)
        vm = self.settings.vm
        me = EntryVM(vm.name, vm.zone, vm.region, address)
        timing = MembershipTiming.for_heartbeat(self.settings.timing.heartbeat)
        self.membership = Membership(me, self.incarnation, self.clock.elapsed(), timing)
        # A seed's name is not known before it has answered; its address serves until then.
        self.membership.add_contacts(addresses_of_seeds(peers.seeds))
        self.fleet = Fleet(self.membership, self.clock)

    def build_state(self) -> None:
        """Make the copy of the platform's state, and the way to change it."""
        platform = self.settings.platform
        self.keys = StateKeys(platform.prefix)
        rate = float(platform.calls_per_second)
        endpoints = [f"http://{endpoint}" for endpoint in platform.endpoints]
        self.store = EtcdStore(endpoints, self.clock, platform.timeout, rate)
        self.relay = StateRelay(
            self.store,
            VMListReader(platform.vm_list_url, platform.timeout),
            self.peers,
            self.membership,
            StateCache(),
            self.clock,
            self.keys.root,
            RelayTiming(vm_list=platform.poll),
        )
        self.writer = PlatformWriter(self.store, self.relay, self.clock)
        self.assignment_store = AssignmentStore(self.keys.assignments, self.writer)
        self.state = NodeState(self.keys, self.assignment_store)
        self.relay.on_change.append(self.on_change)
        self.relay.on_event.append(self.on_member_event)
        self.relay.on_vm_list.append(self.vm_history.on_list)

    def build_gates(self) -> None:
        """Make what holds gates and moves units."""
        timing = self.settings.timing
        limits = self.settings.limits
        session_timing = SessionTiming(
            timing.session_ttl, timing.renew, timing.call_timeout, timing.drift
        )
        self.idempotency_windows = IdempotencyWindows(
            self.configuration,
            self.assignment_store,
            self.clock,
            WindowBounds(limits.window_entries, limits.window_bytes),
            self.peers.send,
            timing.drift,
        )
        self.gate_manager = GateManager(
            self.name,
            self.process,
            self.configuration,
            self.assignment_store,
            self.clock,
            session_timing,
            limits.queue_requests,
            self.idempotency_windows,
        )
        self.standby = Standby(self.name, self.process, self.clock.elapsed(), session_timing)
        self.links = StandbyLinks(
            self.standby,
            self.gate_manager,
            self.assignment_store,
            self.fleet,
            self.peers.send,
            self.clock,
        )
        self.windows = WindowTransfers(self.idempotency_windows, self.peers.send)
        self.mover = Mover(self.assignment_store, self.peers.send)
        self.rebalancer = Rebalancer(
            self.name,
            self.assignment_store,
            self.mover,
            CostPlanner(),
            self.fleet,
            self.configuration,
            self.clock,
        )
        self.recovery = Recovery(
            self.gate_manager,
            self.assignment_store,
            self.fleet,
            self.evidence,
            self.links,
            self.windows,
            self.rebalancer.view,
            self.configuration,
            self.clock,
        )
        self.takeover = Takeover(
            self.gate_manager,
            self.assignment_store,
            self.fleet,
            self.evidence,
            self.links,
            self.is_platform_unavailable,
            self.configuration,
            self.clock,
            timing.call_timeout,
        )
        self.releases = ReleaseHandler(
            self.gate_manager, self.assignment_store, self.windows, self.peers.send, self.clock
        )
        self.handover = Handover(self)
        self.zone_watch = ZoneWatch(
            self.gate_manager,
            self.assignment_store,
            self.fleet,
            self.recovery,
            self.evidence,
            self.configuration,
            lambda: self.membership.platform_age(self.clock.elapsed()),
            self.peers.send,
            self.clock,
        )
        self.gate_manager.on_progress = self.on_gate_progress
        self.gate_manager.on_request = self.count_request

    def build_edge(self, callers_context: ssl.SSLContext | None) -> None:
        """Make the way in for requests, from callers and from other entry VMs."""
        limits = self.settings.limits
        self.routing_view = NodeRoutingView(self)
        self.forwarder = Forwarder(self.peers, self.gate_manager, self.clock)
        self.router = Router(
            self.name,
            self.settings.vm.zone,
            self.routing_view,
            self.gate_manager,
            self.forwarder.handle,
            self.retry_budget,
            self.clock,
        )
        self.frontend = Frontend(
            self.router,
            lambda: self.state.matcher,
            self.clock,
            FrontendLimits(
                header_bytes=limits.header_bytes,
                max_connections=limits.max_connections,
                headers_timeout=limits.headers_timeout,
                body_timeout=limits.body_timeout,
                keepalive_timeout=limits.keepalive_timeout,
            ),
            metrics=RequestMetrics(self.metrics),
            ssl_context=callers_context,
        )
        self.operators = OperatorsView(self)

    def subscribe(self) -> None:
        """Direct messages of other entry VMs to who answers them."""
        self.peers.subscribe(ReleaseUnits, self.releases.on_release)
        self.peers.subscribe(UnitsReleased, self.mover.on_released)
        self.peers.subscribe(ReleaseRefused, self.mover.on_refused)
        self.peers.subscribe(WindowTransfer, self.windows.on_transfer)
        self.peers.subscribe(WindowTransferAck, self.windows.on_ack)
        self.peers.subscribe(WindowCopy, self.idempotency_windows.replica_store.on_copy)
        self.peers.subscribe(WindowAck, self.idempotency_windows.on_ack)
        self.peers.subscribe(StandbyRight, self.links.on_right)
        self.peers.subscribe(StandbyPromiseRequest, self.links.on_request)
        self.peers.subscribe(StandbyPromise, self.links.on_promise)
        self.peers.subscribe(WitnessQuestion, self.zone_watch.on_question)
        self.peers.subscribe(WitnessWord, self.zone_watch.on_witness_word)
        self.peers.subscribe(LoadReport, self.rebalancer.on_report)
        self.peers.subscribe(GateHandover, self.handover.on_handover)

    def configuration(self) -> Configuration:
        """Return the configuration in force here."""
        return self.state.configuration

    def evidence(self) -> Evidence:
        """Return what is known here about who is over."""
        return Evidence(self.vm_history, self.configuration().gone, self.fleet.processes)

    def is_platform_unavailable(self) -> bool:
        """Return whether nobody who is heard here has read the platform lately."""
        age = self.membership.platform_age(self.clock.elapsed())
        return self.relay.failed_readings > 0 or age is None or age > PLATFORM_AWAY_AFTER

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the budget for retries of `service`."""
        return self.retry_budgets.setdefault(service, RetryBudget())

    def on_change(self, keys: list[str]) -> None:
        """Put changed values of the platform in force."""
        for key in keys:
            value = self.relay.cache.get(key)
            if value is not None:
                self.state.take(key, value.revision, value.data)
        self.membership.set_config_version(self.configuration().version)
        self.gate_manager.reconcile()
        self.routing_view.changes.notify()

    def on_member_event(self, event: MemberEvent) -> None:
        """Take notice of what happened to an entry VM."""
        LOG.info("member", change=event.kind.value, member=event.name)
        if event.kind in (EventKind.LOST, EventKind.RESTARTED, EventKind.GONE):
            self.forwarder.member_lost(event.name)
        self.routing_view.changes.notify()

    def count_request(self, gate: Gate, request: Request, unit: int) -> None:
        """Count a request for the planner."""
        now = self.clock.elapsed()
        load = self.gate_loads.get(gate.server.name)
        if load is None:
            load = self.gate_loads[gate.server.name] = GateLoadCounter(now)
        load.count(now, request.key, unit)

    def report_loads(self) -> None:
        """Send each gate's load to the planner of its service."""
        gates = self.gate_manager.gates
        for server in list(self.gate_loads):
            if server not in gates:
                del self.gate_loads[server]
        for gate in gates.values():
            self.report_load(gate)

    def report_load(self, gate: Gate) -> None:
        """Send one gate's load to the planner of its service."""
        now = self.clock.elapsed()
        load = self.gate_loads.setdefault(gate.server.name, GateLoadCounter(now))
        planner = self.fleet.planner_of(gate.service.name)
        if planner:
            self.peers.send(planner, load.report(now, gate))

    def on_gate_progress(self, gate: Gate) -> None:
        """Look at a gate after each step of its session."""
        if gate.detect_state_change():
            self.report_load(gate)
        self.recovery.on_progress(gate)

    async def start(self) -> None:
        """Begin to serve.

        Raises
        ------
        OSError
            An address is in use.
        """
        self.peers.start()
        self.relay.start()
        callers = self.settings.callers
        port = await self.frontend.start(callers.address, callers.port, callers.reuse_port)
        timing = self.settings.timing
        self.every(TAKEOVER_PERIOD, self.takeover.look)
        self.every(GONE_PERIOD, self.recovery.recover_gone_servers)
        self.every(TAKE_BACK_PERIOD, self.releases.reclaim_units)
        self.every(timing.plan, as_coroutine(self.report_loads))
        self.every(RIGHTS_PERIOD, as_coroutine(self.links.send_rights))
        self.every(RIGHTS_PERIOD, as_coroutine(self.idempotency_windows.extend_replica_leases))
        self.every(ZONE_PERIOD, as_coroutine(self.zone_watch.check_gates))
        self.every(ZONE_PERIOD, self.zone_watch.check_zones)
        self.every(LEAVING_PERIOD, as_coroutine(self.plan_if_urgent))
        self.every(timing.plan, as_coroutine(self.rebalancer.look))
        LOG.info("serving", vm=self.name, port=port)

    def plan_if_urgent(self) -> None:
        """Plan out of turn when a server is leaving or a service has no assignment."""
        if self.rebalancer.is_urgent():
            self.rebalancer.look()

    def every(self, period: timedelta, action: Callable[[], Coroutine]) -> None:
        """Run `action` again and again, `period` after its last end."""
        self.tasks.append(asyncio.create_task(self.repeat(period, action)))

    async def repeat(self, period: timedelta, action: Callable[[], Coroutine]) -> None:
        """Run `action` for ever; a failure is logged and does not end the daemon."""
        while True:
            try:
                await action()
            except Exception as error:
                LOG.error("periodic work failed", action=str(action), reason=repr(error))
                await self.clock.sleep(PAUSE_AFTER_FAILURE)
            await self.clock.sleep(period)

    async def stop(self) -> None:
        """Stop gracefully: no request in flight is cut off, every gate is handed over."""
        self.stopping = True
        timeout = self.settings.timing.drain
        async with asyncio.TaskGroup() as group:
            group.create_task(self.frontend.drain(timeout))
            group.create_task(self.handover.hand_over_all(timeout))
            group.create_task(self.forwarder.server.drain(timeout))
        await self.close(flush=True)

    async def close(self, flush: bool = False) -> None:
        """Stop at once; with `flush`, answers that wait to be sent to other VMs still go."""
        self.stopping = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.frontend.close()
        await self.forwarder.close()
        await self.gate_manager.close()
        await self.relay.stop()
        await self.store.close()
        self.peers.stop(flush)


def as_coroutine(action: Callable[[], None]) -> Callable[[], Coroutine]:
    """Return `action` in a form that can be awaited."""

    async def run() -> None:
        action()

    return run
