"""Decisions about ownership: which proofs are available for a change of gate or owner."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from fireflylock.assignment import GateRecord
from fireflylock.control_calls import ControlReply
from fireflylock.model import BackendServer, GoneStatement
from fireflylock.proofs import (
    GateProof,
    HandedOver,
    OperatorStatement,
    OwnerProof,
    ProcessEnded,
    SameGate,
    SessionEnded,
    SessionExpired,
    StandbyPromise,
)
from fireflylock.vm_history import VMHistory


@dataclass
class Evidence:
    """What one member knows about ended processes, VMs and servers.

    Attributes
    ----------
    vms : VMHistory
        The platform's lists of VMs.
    statements : tuple of GoneStatement
        Operators' statements in the configuration.
    processes : mapping of str to str
        The latest known process of each member.
    """

    vms: VMHistory = field(default_factory=VMHistory)
    statements: tuple[GoneStatement, ...] = ()
    processes: Mapping[str, str] = field(default_factory=dict)

    def gone_proof(self, name: str, vm: str) -> OwnerProof | None:
        """Return the proof that backend server or member `name` on `vm` is gone, or None."""
        proof = self.vms.proof(name, vm)
        if proof is not None:
            return proof
        for statement in self.statements:
            if statement.name in (name, vm):
                return OperatorStatement(name, statement.author, statement.reason)
        return None


def takeover_proof(
    server: BackendServer,
    record: GateRecord,
    successor: GateRecord,
    evidence: Evidence,
    hello: ControlReply | None = None,
    handed_over: HandedOver | None = None,
) -> GateProof | None:
    """Return why `successor` may be recorded in place of `record`, or None.

    Parameters
    ----------
    server : BackendServer
        The backend server whose gate changes.
    record, successor : GateRecord
        The current and the next gate.
    evidence : Evidence
        What is known about ended processes, VMs and servers.
    hello : ControlReply or None
        The server's current answer; only servers that check grants give one.
    handed_over : HandedOver or None
        The current gate's statement that it handed the server over.
    """
    if (record.member, record.process) == (successor.member, successor.process):
        return SameGate(record.member, record.process)
    if handed_over == HandedOver(server.name, record.epoch):
        return handed_over
    latest = evidence.processes.get(record.member, record.process)
    if latest != record.process:
        return ProcessEnded(record.member, record.process)
    gone_proof = evidence.gone_proof(record.member, record.member)
    if gone_proof is not None:
        return gone_proof
    if hello is None or not hello.session_expired:
        return None
    if hello.name != server.name or hello.incarnation != successor.server_incarnation:
        return None
    if hello.gate_epoch[0] > record.epoch:
        # A later gate was recorded; the local view is outdated.
        return None
    return SessionExpired(server.name, hello.incarnation, hello.gate_epoch)


def owner_proofs(
    server: BackendServer,
    record: GateRecord,
    session_ended: SessionEnded | None,
    promise: StandbyPromise | None,
    evidence: Evidence,
) -> list[OwnerProof]:
    """Return the proofs that `server` can run nothing more, or an empty list.

    Parameters
    ----------
    server : BackendServer
        The server whose units are to be moved.
    record : GateRecord
        Its recorded gate.
    session_ended : SessionEnded or None
        From the sealed local session, when this member is the recorded gate.
    promise : StandbyPromise or None
        The recorded standby's promise.  It must have been requested after the session was
        sealed: an open session may give a later process of the standby a new right.
    evidence : Evidence
        What is known about ended processes, VMs and servers.
    """
    gone_proof = evidence.gone_proof(server.name, server.vm)
    if gone_proof is not None:
        return [gone_proof]
    if session_ended is None or session_ended.gate_epoch != (record.epoch, 0):
        return []
    if not record.standby:
        return [session_ended]
    standby_gone_proof = evidence.gone_proof(record.standby, record.standby)
    if standby_gone_proof is not None:
        return [session_ended, standby_gone_proof]
    if promise is not None:
        return [session_ended, promise]
    return []
