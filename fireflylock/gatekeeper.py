"""The gates that this entry VM holds, kept in step with configuration and assignments."""

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

# Service time that admission assumes before it has seen one.
FIRST_SERVICE_TIME = timedelta(milliseconds=20)

# The unit of services without keys: every backend server serves all of it.
WHOLE_SERVICE = 0

LOG = logger("gatekeeper")


class GateBackendSender(BackendSender):
    """Sends one order through a gate, once the gate's standby knows of it.

    Parameters
    ----------
    gate : Gate
        The gate of the key's owner.
    unit, epoch : int
        The key's unit and its epoch.
    copies : ReplicationSender or None
        The way to the standby; None when there is none.
    """

    def __init__(
        self, gate: Gate, unit: int, epoch: int, replication: ReplicationSender | None
    ) -> None:
        self.gate = gate
        self.unit = unit
        self.epoch = epoch
        self.replication = replication

    async def send(self, request: Request, entry: Entry) -> Response:
        """Tell the standby, then send the order."""
        if self.replication is not None:
            await self.replication.begin(entry, self.unit, self.epoch)
            gate_epoch = self.replication.target.gate_epoch
            if self.gate.session.gate_epoch != (gate_epoch, 0):
                raise RequestError(ErrorKind.MOVED, "the gate's standby has changed")
        return await self.gate.handle(request, self.unit, self.epoch)

    def on_settled(self, entry: Entry) -> None:
        """Tell the standby how the order ended."""
        if self.replication is not None:
            self.replication.settle(entry)


class Gatekeeper(Handler):
    """The gates of this entry VM.

    Parameters
    ----------
    me, process : str
        This entry VM, and this process of its daemon.
    configuration : callable
        Returns the configuration in force.
    book : AssignmentStore
        Assignments in force.
    clock : Clock
        Time.
    timing : SessionTiming
        Times of sessions with backend servers.
    queue_requests : int
        Requests that may wait for one backend server.
    windows : IdempotencyWindows
        What is remembered of orders.

    Attributes
    ----------
    gates : dict of str to Gate
        By backend server.
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
        """Answer a request through the gate of its owner, which must be here."""
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
        """Answer a request of a service without keys through the gate that was chosen."""
        gate = self.gates.get(request.server)
        if gate is None or gate.service.name != service.name or not gate.open:
            raise RequestError(ErrorKind.MOVED, f"{self.me} has no open gate of {request.server}")
        self.on_request(gate, request, WHOLE_SERVICE)
        epoch = gate.session.granted.get(WHOLE_SERVICE, 0)
        return await gate.handle(request, WHOLE_SERVICE, epoch)

    def follow(self) -> None:
        """Open, change and close gates after a change of configuration or assignments."""
        configuration = self.configuration()
        for server in list(self.gates):
            if not self.is_mine(configuration, server):
                self.drop(server)
        for service in configuration.services.values():
            assignment = self.assignment_store.get(service.name)
            if assignment is None:
                continue
            self.follow_service(configuration, service, assignment)

    def is_mine(self, configuration: Configuration, server: str) -> bool:
        """Return whether this process is the recorded gate of `server`."""
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

    def follow_service(
        self, configuration: Configuration, service: Service, assignment: Assignment
    ) -> None:
        """Bring the gates of one service in step with its assignment."""
        by_server: dict[str, dict[int, int]] = {}
        for unit, ownership in assignment.units.items():
            by_server.setdefault(ownership.server, {})[unit] = ownership.epoch
        servers = []
        for server, record in assignment.gates.items():
            known = configuration.servers.get(server)
            if known is None or not self.is_mine(configuration, server):
                continue
            gate = self.gates.get(server)
            if gate is None:
                gate = self.open(known, service, record)
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
        """Be the gate of `server` as its standby, until a gate is recorded."""
        epoch = session.gate_epoch[0]
        self.provisional[server.name] = epoch
        replica = self.windows.replica_store.pop_if_complete(server.name, epoch)
        if replica is not None:
            self.windows.import_replica(service, server.name, epoch, replica)
        self.run_gate(server, service, session)
        self.follow()

    def open(self, server: BackendServer, service: Service, record: GateRecord) -> Gate:
        """Begin to be the recorded gate of `server`."""
        return self.run_gate(server, service, self.new_session(server, service, record))

    def run_gate(self, server: BackendServer, service: Service, session: GateSession) -> Gate:
        """Make a gate and keep its session."""
        gate = Gate(
            server,
            service,
            session,
            ServerPool(server, service.connection_limit, self.clock),
            Admission(service.concurrency_limit, self.queue_requests, FIRST_SERVICE_TIME),
            self.clock,
            self.timing.call_timeout,
        )
        gate.on_progress = lambda found: self.on_progress(found)
        self.gates[server.name] = gate
        self.loops[server.name] = asyncio.create_task(gate.run())
        LOG.info("gate opened", server=server.name, gate_epoch=session.gate_epoch)
        return gate

    def new_session(
        self, server: BackendServer, service: Service, record: GateRecord
    ) -> GateSession:
        """Return the session that belongs to a gate record."""
        now = self.clock.elapsed()
        epoch = (record.epoch, 0)
        if service.checks_grants:
            return FencedSession(
                server.name, epoch, self.timing, now, incarnation=record.server_incarnation
            )
        if record.epoch == 1:
            return UncheckedSession(server.name, epoch, self.timing, now)
        # Requests of the gate before this one may run until their deadline.
        quiet_until = now + service.request_timeout
        return UncheckedSession(server.name, epoch, self.timing, now, quiet_until)

    def drop(self, server: str) -> None:
        """Stop being the gate of `server`; requests under way may still end."""
        gate = self.gates.pop(server)
        loop = self.loops.pop(server)
        self.windows.replication.pop(server, None)
        self.provisional.pop(server, None)
        gate.session.close(self.clock.elapsed())
        loop.cancel()
        task = asyncio.create_task(self.finish(gate))
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)
        LOG.info("gate closed", server=server)

    async def finish(self, gate: Gate) -> None:
        """Let a gate's last requests end, then close its connections."""
        await gate.drain()
        gate.close()

    async def close(self) -> None:
        """Close every gate at once."""
        for server in list(self.gates):
            gate = self.gates.pop(server)
            self.loops.pop(server).cancel()
            gate.close()
        for task in list(self.closing):
            task.cancel()
