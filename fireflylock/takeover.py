"""Takeover: this entry VM records itself as the gate of servers that have none."""

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
from fireflylock.gatekeeper import Gatekeeper
from fireflylock.log import logger
from fireflylock.model import BackendServer, Configuration, ServerState, Service
from fireflylock.ownership import Evidence, takeover_proof
from fireflylock.proofs import GateProof, HandedOver, SameGate, StandbyClaimed
from fireflylock.session import SessionState
from fireflylock.standby_links import StandbyLinks

# Pause before a server that gave no proof is asked again.
ASK_AGAIN = timedelta(milliseconds=100)

LOG = logger("takeover")


@dataclass(frozen=True)
class Successor:
    """A gate record that can be written.

    Attributes
    ----------
    server : BackendServer
        Whose gate.
    record : GateRecord
        The next gate.
    proof : GateProof or None
        Why the present one is over; None when there is none.
    present : GateRecord or None
        The record that the proof was collected against.
    """

    server: BackendServer
    record: GateRecord
    proof: GateProof | None
    present: GateRecord | None


class Takeover:
    """Looks for backend servers whose gate this entry VM should become.

    Parameters
    ----------
    gatekeeper : Gatekeeper
        The gates of this entry VM.
    book : AssignmentStore
        Assignments in force, and how they are changed.
    fleet : Fleet
        The other entry VMs.
    evidence : callable
        Returns what is known about who is over.
    links : StandbyLinks
        Claims servers without a write.
    platform_is_away : callable
        Whether the last reading of the platform failed.
    configuration : callable
        Returns the configuration in force.
    clock : Clock
        Time.
    call_timeout : timedelta
        Longest wait for a server's answer.
    """

    def __init__(
        self,
        gatekeeper: Gatekeeper,
        assignment_store: AssignmentStore,
        fleet: Fleet,
        evidence: Callable[[], Evidence],
        links: StandbyLinks,
        platform_is_away: Callable[[], bool],
        configuration: Callable[[], Configuration],
        clock: Clock,
        call_timeout: timedelta,
    ) -> None:
        self.gatekeeper = gatekeeper
        self.assignment_store = assignment_store
        self.fleet = fleet
        self.evidence = evidence
        self.links = links
        self.platform_is_away = platform_is_away
        self.configuration = configuration
        self.clock = clock
        self.call_timeout = call_timeout
        self.asked_at: dict[str, Instant] = {}
        self.handed_over: dict[str, HandedOver] = {}

    async def look(self) -> None:
        """Take over what this entry VM should take over now, service by service."""
        configuration = self.configuration()
        for service in configuration.services.values():
            assignment = self.assignment_store.get(service.name)
            if assignment is None:
                continue
            wanted = [
                server
                for server in configuration.servers_of(service.name)
                if self.is_wanted(service, server, assignment)
            ]
            if wanted:
                await self.take(service, wanted, assignment)

    def is_wanted(self, service: Service, server: BackendServer, assignment: Assignment) -> bool:
        """Return whether this entry VM should try to record itself as the server's gate."""
        if server.state is ServerState.OUT:
            return False
        now = self.clock.elapsed()
        if now - self.asked_at.get(server.name, -ASK_AGAIN) < ASK_AGAIN:
            return False
        record = assignment.gates.get(server.name)
        if record is not None and record.member == self.gatekeeper.me:
            return record.process != self.gatekeeper.process or self.must_renew(server, record)
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
        others = [found for found in candidates if record is None or found.name != record.member]
        if record is not None and any(found.name == record.standby for found in others):
            # The standby knows the idempotency keys.
            return record.standby == self.gatekeeper.me
        return decide_gate(server, None, others).gate == self.gatekeeper.me

    def must_renew(self, server: BackendServer, record: GateRecord) -> bool:
        """Return whether our own session with the server needs a new gate epoch."""
        gate = self.gatekeeper.gates.get(server.name)
        if gate is None or gate.closing:
            return False
        if gate.session.sealed or gate.session.state is SessionState.RESTARTED:
            return True
        return gate.open and gate.service.keyed and self.needs_standby(server, record)

    def needs_standby(self, server: BackendServer, record: GateRecord) -> bool:
        """Return whether the recorded standby is lost and another one can be recorded.

        Without the platform the attempt would hold requests back for nothing.
        """
        if self.platform_is_away():
            return False
        if record.standby and self.fleet.is_live(record.standby):
            return False
        return self.standby_for(server) != record.standby

    def standby_for(self, server: BackendServer) -> str:
        """Return the best other entry VM to be the standby, or ""."""
        candidates = self.fleet.candidates(self.configuration())
        others = [found for found in candidates if found.name != self.gatekeeper.me]
        live = [found for found in others if self.fleet.is_live(found.name)]
        return decide_gate(server, None, live).gate

    async def take(
        self, service: Service, servers: list[BackendServer], assignment: Assignment
    ) -> None:
        """Collect the proofs for `servers` and record this entry VM as their gate."""
        now = self.clock.elapsed()
        for server in servers:
            self.asked_at[server.name] = now
        found = await asyncio.gather(
            *(self.candidate(service, server, assignment) for server in servers)
        )
        candidates = [candidate for candidate in found if candidate is not None]
        if not candidates:
            return
        paused = [
            self.gatekeeper.gates[found.server.name]
            for found in candidates
            if isinstance(found.proof, SameGate) and found.server.name in self.gatekeeper.gates
        ]
        try:
            await asyncio.gather(*(gate.pause() for gate in paused))
            await self.record(service, candidates)
        finally:
            for gate in paused:
                gate.resume()

    async def record(self, service: Service, candidates: list[Successor]) -> None:
        """Write this entry VM as the gate of the candidates' servers."""

        def change(present: Assignment | None, change_id: str) -> Assignment | None:
            result = present
            for found in candidates:
                if result.gates.get(found.server.name) != found.present:
                    continue
                try:
                    result = with_gate(
                        result, found.server.name, found.record, found.proof, change_id
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
            LOG.info("gates taken", servers=[found.server.name for found in candidates])

    async def candidate(
        self, service: Service, server: BackendServer, assignment: Assignment
    ) -> Successor | None:
        """Return the record and proof with which the server can be taken over, or None."""
        reply = None
        if service.checks_grants:
            reply = await self.hello(server)
            if reply is None:
                return None
        successor = GateRecord(
            self.gatekeeper.me,
            0,
            process=self.gatekeeper.process,
            standby=self.standby_for(server) if service.keyed else "",
            server_incarnation="" if reply is None else reply.incarnation,
        )
        present = assignment.gates.get(server.name)
        if present is None or not present.member:
            return Successor(server, successor, None, present)
        if self.links.has_claimed(server.name, present):
            proof = StandbyClaimed(server.name, present.epoch, self.gatekeeper.me)
            return Successor(server, successor, proof, present)
        if reply is not None and self.platform_is_away() and present.standby == self.gatekeeper.me:
            self.links.claim(service, server, reply)
            return None
        handed_over = self.handed_over.get(server.name)
        proof = takeover_proof(server, present, successor, self.evidence(), reply, handed_over)
        return None if proof is None else Successor(server, successor, proof, present)

    async def hello(self, server: BackendServer) -> ControlReply | None:
        """Ask a server who its gate is; None when it does not answer."""
        gate = self.gatekeeper.gates.get(server.name)
        pool = ServerPool(server, 1, self.clock) if gate is None else gate.pool
        try:
            return decode_reply(await pool.control(encode_call(Hello()), self.call_timeout))
        except (OSError, TimeoutError, ProtocolError):
            return None
        finally:
            if gate is None:
                pool.close()
