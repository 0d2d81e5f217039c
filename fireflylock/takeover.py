"""Takeover: this entry VM records itself as the gate of servers whose gate is lost."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from fireflylock.assignment import Assignment, GateRecord
from fireflylock.assignment_changes import with_gate
from fireflylock.assignment_store import AssignmentStore
from fireflylock.backend import ServerPool
from fireflylock.clock import Clock, Instant
from fireflylock.control_calls import ControlReply, Hello, decode_reply, encode_call
from fireflylock.exceptions import InvariantError, PlatformError, ProtocolError
from fireflylock.fleet import Fleet
from fireflylock.gate_election import decide_gate
from fireflylock.gate_manager import GateManager
from fireflylock.log import logger
from fireflylock.model import BackendServer, Configuration, ServerState, Service
from fireflylock.ownership import Evidence, takeover_proof
from fireflylock.proofs import GateProof, HandedOver, SameGate, StandbyClaimed
from fireflylock.session import SessionState
from fireflylock.standby_links import StandbyLinks

# Interval between attempts to take over the same server.
RETRY_INTERVAL = timedelta(milliseconds=100)

LOG = logger("takeover")


@dataclass(frozen=True)
class PlannedTakeover:
    """A gate record that is ready to be written.

    Attributes
    ----------
    server : BackendServer
        The server of the gate.
    record : GateRecord
        The next gate.
    proof : GateProof or None
        Proof that the present gate is over; None if there is no present gate.
    present : GateRecord or None
        The record for which the proof was collected.
    """

    server: BackendServer
    record: GateRecord
    proof: GateProof | None
    present: GateRecord | None


class Takeover:
    """Finds backend servers whose gate this entry VM should become, and takes them over.

    Parameters
    ----------
    gate_manager : GateManager
        The gates of this entry VM.
    assignment_store : AssignmentStore
        The current assignments, and how they are changed.
    fleet : Fleet
        The other entry VMs.
    evidence : callable
        Returns the evidence for proofs that a gate is over.
    links : StandbyLinks
        Claims servers without a platform write.
    is_platform_unavailable : callable
        Returns whether the last read from the platform failed.
    configuration : callable
        Returns the current configuration.
    clock : Clock
        Time.
    call_timeout : timedelta
        Timeout of a hello to a server.
    """

    def __init__(
        self,
        gate_manager: GateManager,
        assignment_store: AssignmentStore,
        fleet: Fleet,
        evidence: Callable[[], Evidence],
        links: StandbyLinks,
        is_platform_unavailable: Callable[[], bool],
        configuration: Callable[[], Configuration],
        clock: Clock,
        call_timeout: timedelta,
    ) -> None:
        self.gate_manager = gate_manager
        self.assignment_store = assignment_store
        self.fleet = fleet
        self.evidence = evidence
        self.links = links
        self.is_platform_unavailable = is_platform_unavailable
        self.configuration = configuration
        self.clock = clock
        self.call_timeout = call_timeout
        self.last_attempt_at: dict[str, Instant] = {}
        self.handed_over: dict[str, HandedOver] = {}

    async def look(self) -> None:
        """Take over the gates that this entry VM should take over now, service by service."""
        configuration = self.configuration()
        for service in configuration.services.values():
            assignment = self.assignment_store.get(service.name)
            if assignment is None:
                continue
            wanted = [
                server
                for server in configuration.servers_of(service.name)
                if self.should_take_over(service, server, assignment)
            ]
            if wanted:
                await self.take_over(service, wanted, assignment)

    def should_take_over(
        self, service: Service, server: BackendServer, assignment: Assignment
    ) -> bool:
        """Return whether this entry VM should try to record itself as the server's gate."""
        if server.state is ServerState.OUT:
            return False
        now = self.clock.elapsed()
        if now - self.last_attempt_at.get(server.name, -RETRY_INTERVAL) < RETRY_INTERVAL:
            return False
        record = assignment.gates.get(server.name)
        if record is not None and record.member == self.gate_manager.me:
            return record.process != self.gate_manager.process or self.needs_new_epoch(
                server, record
            )
        if record is not None and self.links.has_claimed(server.name, record):
            return True
        handed_over = self.handed_over.get(server.name)
        if (
            handed_over is not None
            and record is not None
            and handed_over.gate_epoch == record.epoch
        ):
            return True
        if record is not None and self.fleet.is_live(record.member):
            return False
        candidates = self.fleet.candidates(self.configuration())
        others = [
            candidate
            for candidate in candidates
            if record is None or candidate.name != record.member
        ]
        if record is not None and any(candidate.name == record.standby for candidate in others):
            # The standby knows the idempotency keys.
            return record.standby == self.gate_manager.me
        return decide_gate(server, None, others).gate == self.gate_manager.me

    def needs_new_epoch(self, server: BackendServer, record: GateRecord) -> bool:
        """Return whether our session with the server needs a new gate epoch."""
        gate = self.gate_manager.gates.get(server.name)
        if gate is None or gate.closing:
            return False
        if gate.session.sealed or gate.session.state is SessionState.RESTARTED:
            return True
        return gate.open and gate.service.keyed and self.needs_standby(server, record)

    def needs_standby(self, server: BackendServer, record: GateRecord) -> bool:
        """Return whether the recorded standby is lost and another one can be recorded.

        Without the platform, the attempt would pause requests to no effect.
        """
        if self.is_platform_unavailable():
            return False
        if record.standby and self.fleet.is_live(record.standby):
            return False
        return self.choose_standby(server) != record.standby

    def choose_standby(self, server: BackendServer) -> str:
        """Return the entry VM that should be the standby, or ""."""
        candidates = self.fleet.candidates(self.configuration())
        others = [candidate for candidate in candidates if candidate.name != self.gate_manager.me]
        live = [candidate for candidate in others if self.fleet.is_live(candidate.name)]
        return decide_gate(server, None, live).gate

    async def take_over(
        self, service: Service, servers: list[BackendServer], assignment: Assignment
    ) -> None:
        """Collect proofs for `servers` and record this entry VM as their gate."""
        now = self.clock.elapsed()
        for server in servers:
            self.last_attempt_at[server.name] = now
        results = await asyncio.gather(
            *(self.plan_takeover(service, server, assignment) for server in servers)
        )
        takeovers = [planned for planned in results if planned is not None]
        if not takeovers:
            return
        paused = [
            self.gate_manager.gates[planned.server.name]
            for planned in takeovers
            if isinstance(planned.proof, SameGate)
            and planned.server.name in self.gate_manager.gates
        ]
        try:
            await asyncio.gather(*(gate.pause() for gate in paused))
            await self.record_gates(service, takeovers)
        finally:
            for gate in paused:
                gate.resume()

    async def record_gates(self, service: Service, takeovers: list[PlannedTakeover]) -> None:
        """Write the planned gate records whose servers still have the present gate."""

        def change(present: Assignment | None, change_id: str) -> Assignment | None:
            result = present
            for planned in takeovers:
                if result.gates.get(planned.server.name) != planned.present:
                    continue
                try:
                    result = with_gate(
                        result, planned.server.name, planned.record, planned.proof, change_id
                    )
                except InvariantError:
                    continue
            return None if result is present else result

        try:
            written = await self.assignment_store.update(service.name, change)
        except PlatformError as error:
            LOG.info("takeover not recorded", service=service.name, reason=str(error))
            return
        if written is not None:
            LOG.info("gates taken over", servers=[planned.server.name for planned in takeovers])

    async def plan_takeover(
        self, service: Service, server: BackendServer, assignment: Assignment
    ) -> PlannedTakeover | None:
        """Return the gate record and proof for taking the server over, or None."""
        reply = None
        if service.checks_grants:
            reply = await self.hello(server)
            if reply is None:
                return None
        successor = GateRecord(
            self.gate_manager.me,
            0,
            process=self.gate_manager.process,
            standby=self.choose_standby(server) if service.keyed else "",
            server_incarnation="" if reply is None else reply.incarnation,
        )
        present = assignment.gates.get(server.name)
        if present is None or not present.member:
            return PlannedTakeover(server, successor, None, present)
        if self.links.has_claimed(server.name, present):
            proof = StandbyClaimed(server.name, present.epoch, self.gate_manager.me)
            return PlannedTakeover(server, successor, proof, present)
        if (
            reply is not None
            and self.is_platform_unavailable()
            and present.standby == self.gate_manager.me
        ):
            self.links.claim(service, server, reply)
            return None
        handed_over = self.handed_over.get(server.name)
        proof = takeover_proof(server, present, successor, self.evidence(), reply, handed_over)
        return None if proof is None else PlannedTakeover(server, successor, proof, present)

    async def hello(self, server: BackendServer) -> ControlReply | None:
        """Return the server's reply to a hello, which names its gate epoch, or None."""
        gate = self.gate_manager.gates.get(server.name)
        pool = ServerPool(server, 1, self.clock) if gate is None else gate.pool
        try:
            return decode_reply(await pool.control(encode_call(Hello()), self.call_timeout))
        except (OSError, TimeoutError, ProtocolError):
            return None
        finally:
            if gate is None:
                pool.close()
