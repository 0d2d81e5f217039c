"""Opens and closes the gates of this entry VM as configuration and assignments change."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from fireflylock.admission import Admission
from fireflylock.assignment import Assignment, GateRecord
from fireflylock.assignment_store import AssignmentStore
from fireflylock.at_most_once_executor import BackendSender
from fireflylock.backend import ServerPool
from fireflylock.clock import Clock
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import Handler, Request, Response
from fireflylock.fenced_session import FencedSession
from fireflylock.gate import Gate
from fireflylock.idempotency import Entry
from fireflylock.idempotency_windows import IdempotencyWindows
from fireflylock.log import logger
from fireflylock.model import BackendServer, Configuration, Service
from fireflylock.session import GateSession, SessionTiming, UncheckedSession
from fireflylock.window_replication import ReplicationSender

# Service time that admission assumes before the first measurement.
INITIAL_SERVICE_TIME = timedelta(milliseconds=20)

# The unit of services without keys, which every backend server serves as a whole.
WHOLE_SERVICE = 0

LOG = logger("gatekeeper")


class GateBackendSender(BackendSender):
    """Sends one non-idempotent request through a gate after recording it at the standby.

    Parameters
    ----------
    gate : Gate
        The gate of the key's owner.
    unit, epoch : int
        The key's unit and its epoch.
    replication : ReplicationSender or None
        Copies entries to the standby; None without a standby.
    """

    def __init__(
        self, gate: Gate, unit: int, epoch: int, replication: ReplicationSender | None
    ) -> None:
        self.gate = gate
        self.unit = unit
        self.epoch = epoch
        self.replication = replication

    async def send(self, request: Request, entry: Entry) -> Response:
        """Copy the entry to the standby, then send the request."""
        if self.replication is not None:
            await self.replication.begin(entry, self.unit, self.epoch)
            gate_epoch = self.replication.target.gate_epoch
            if self.gate.session.gate_epoch != (gate_epoch, 0):
                raise RequestError(ErrorKind.MOVED, "the gate's standby has changed")
        return await self.gate.handle(request, self.unit, self.epoch)

    def on_settled(self, entry: Entry) -> None:
        """Copy the outcome of the request to the standby."""
        if self.replication is not None:
            self.replication.settle(entry)


class GateManager(Handler):
    """Manages the gates of this entry VM and sends requests through them.

    Parameters
    ----------
    me, process : str
        Name of this entry VM, and id of the running process of its daemon.
    configuration : callable
        Returns the current configuration.
    assignment_store : AssignmentStore
        The current assignments.
    clock : Clock
        Time.
    timing : SessionTiming
        Timing parameters of sessions with backend servers.
    queue_requests : int
        Requests that may wait for one backend server.
    windows : IdempotencyWindows
        Idempotency windows of non-idempotent requests.

    Attributes
    ----------
    gates : dict of str to Gate
        Gates by backend server.
    on_progress : callable
        Called with a gate after each step of its session.
    on_request : callable
        Called with gate, request and unit for each request, for counting load.
    """

    def __init__(
        self,
        me: str,
        process: str,
        configuration: Callable[[], Configuration],
        assignment_store: AssignmentStore,
        clock: Clock,
        timing: SessionTiming,
        queue_requests: int,
        windows: IdempotencyWindows,
    ) -> None:
        self.me = me
        self.process = process
        self.configuration = configuration
        self.assignment_store = assignment_store
        self.clock = clock
        self.timing = timing
        self.queue_requests = queue_requests
        self.windows = windows
        self.gates: dict[str, Gate] = {}
        self.provisional: dict[str, int] = {}
        self.loops: dict[str, asyncio.Task[None]] = {}
        self.closing: set[asyncio.Task[None]] = set()
        self.on_progress: Callable[[Gate], None] = lambda _gate: None
        self.on_request: Callable[[Gate, Request, int], None] = lambda _gate, _request, _unit: None

    async def handle(self, request: Request) -> Response:
        """Answer a request through the gate of its key's owner, which must be here."""
        service = self.configuration().services.get(request.service)
        assignment = self.assignment_store.get(request.service)
        if service is None or assignment is None:
            raise RequestError(ErrorKind.NO_CONFIGURATION)
        if not service.keyed:
            return await self.handle_without_key(service, request)
        unit = assignment.unit_of(request.key)
        ownership = assignment.units.get(unit)
        if ownership is None or not ownership.server:
            raise RequestError(ErrorKind.NO_OWNER)
        gate = self.gates.get(ownership.server)
        if gate is None:
            raise RequestError(ErrorKind.MOVED, f"{self.me} is not the gate of the key's owner")
        self.on_request(gate, request, unit)
        epoch = ownership.epoch
        if request.idempotent or not request.idempotency_key:
            return await gate.handle(request, unit, epoch)
        sender = GateBackendSender(
            gate, unit, epoch, self.windows.replication.get(gate.server.name)
        )
        return await self.windows.executor_of(service).handle(request, unit, sender)

    async def handle_without_key(self, service: Service, request: Request) -> Response:
        """Answer a request of a service without keys through the chosen gate."""
        gate = self.gates.get(request.server)
        if gate is None or gate.service.name != service.name or not gate.open:
            raise RequestError(ErrorKind.MOVED, f"{self.me} has no open gate of {request.server}")
        self.on_request(gate, request, WHOLE_SERVICE)
        epoch = gate.session.granted.get(WHOLE_SERVICE, 0)
        return await gate.handle(request, WHOLE_SERVICE, epoch)

    def reconcile(self) -> None:
        """Open, update and close gates according to configuration and assignments."""
        configuration = self.configuration()
        for server in list(self.gates):
            if not self.is_gate_of(configuration, server):
                self.close_gate(server)
        for service in configuration.services.values():
            assignment = self.assignment_store.get(service.name)
            if assignment is None:
                continue
            self.reconcile_service(configuration, service, assignment)

    def is_gate_of(self, configuration: Configuration, server: str) -> bool:
        """Return whether this process is the recorded or provisional gate of `server`."""
        known = configuration.servers.get(server)
        assignment = None if known is None else self.assignment_store.get(known.service)
        if assignment is None:
            return False
        record = assignment.gates.get(server)
        if record is None:
            return False
        if (record.member, record.process) == (self.me, self.process):
            return True
        return self.provisional.get(server) == record.epoch

    def reconcile_service(
        self, configuration: Configuration, service: Service, assignment: Assignment
    ) -> None:
        """Open and update the gates of one service according to its assignment."""
        by_server: dict[str, dict[int, int]] = {}
        for unit, ownership in assignment.units.items():
            by_server.setdefault(ownership.server, {})[unit] = ownership.epoch
        servers = []
        for server, record in assignment.gates.items():
            known = configuration.servers.get(server)
            if known is None or not self.is_gate_of(configuration, server):
                continue
            gate = self.gates.get(server)
            if gate is None:
                gate = self.open_gate(known, service, record)
            elif gate.session.gate_epoch[0] != record.epoch:
                gate.replace_session(self.new_session(known, service, record))
            if record.member == self.me:
                self.windows.update_replication(service, known.name, record)
            units = by_server.get(server, {})
            if not service.keyed:
                units = {WHOLE_SERVICE: record.epoch}
            servers.append(server)
            gate.set_grants(units, assignment.revision)
        self.windows.update_coverage(service, assignment, servers)

    def open_provisional(
        self, server: BackendServer, service: Service, session: GateSession
    ) -> None:
        """Open the gate of `server` as its standby, until a gate is recorded."""
        epoch = session.gate_epoch[0]
        self.provisional[server.name] = epoch
        replica = self.windows.replica_store.pop_if_complete(server.name, epoch)
        if replica is not None:
            self.windows.import_replica(service, server.name, epoch, replica)
        self.run_gate(server, service, session)
        self.reconcile()

    def open_gate(self, server: BackendServer, service: Service, record: GateRecord) -> Gate:
        """Open the recorded gate of `server`."""
        return self.run_gate(server, service, self.new_session(server, service, record))

    def run_gate(self, server: BackendServer, service: Service, session: GateSession) -> Gate:
        """Create a gate and start the task that maintains its session."""
        gate = Gate(
            server,
            service,
            session,
            ServerPool(server, service.connection_limit, self.clock),
            Admission(service.concurrency_limit, self.queue_requests, INITIAL_SERVICE_TIME),
            self.clock,
            self.timing.call_timeout,
        )
        gate.on_progress = lambda changed: self.on_progress(changed)
        self.gates[server.name] = gate
        self.loops[server.name] = asyncio.create_task(gate.run())
        LOG.info("gate opened", server=server.name, gate_epoch=session.gate_epoch)
        return gate

    def new_session(
        self, server: BackendServer, service: Service, record: GateRecord
    ) -> GateSession:
        """Return a new session for a gate record."""
        now = self.clock.elapsed()
        epoch = (record.epoch, 0)
        if service.checks_grants:
            return FencedSession(
                server.name, epoch, self.timing, now, incarnation=record.server_incarnation
            )
        if record.epoch == 1:
            return UncheckedSession(server.name, epoch, self.timing, now)
        # Requests of the previous gate may run until their deadline.
        no_release_before = now + service.request_timeout
        return UncheckedSession(server.name, epoch, self.timing, now, no_release_before)

    def close_gate(self, server: str) -> None:
        """Close the gate of `server`, letting its running requests end."""
        gate = self.gates.pop(server)
        loop = self.loops.pop(server)
        self.windows.replication.pop(server, None)
        self.provisional.pop(server, None)
        gate.session.close(self.clock.elapsed())
        loop.cancel()
        task = asyncio.create_task(self.drain_and_close(gate))
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)
        LOG.info("gate closed", server=server)

    async def drain_and_close(self, gate: Gate) -> None:
        """Wait for a gate's running requests to end, then close its connections."""
        await gate.drain()
        gate.close()

    async def close(self) -> None:
        """Close all gates without waiting for their requests."""
        for server in list(self.gates):
            gate = self.gates.pop(server)
            self.loops.pop(server).cancel()
            gate.close()
        for task in list(self.closing):
            task.cancel()
