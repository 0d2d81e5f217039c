"""Decisions about ownership: which proofs are at hand, and what may be written with them."""

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
    """What one member knows about who is over.

    Attributes
    ----------
    vms : VMHistory
        The platform's lists of VMs.
    statements : tuple of GoneStatement
        Operators' statements from the configuration.
    processes : mapping of str to str
        The latest process of each member that was heard of.
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
        Whose gate.
    record, successor : GateRecord
        The present and the next gate.
    evidence : Evidence
        What is known about who is over.
    hello : ControlReply or None
        The server's present answer; only servers that check grants give one.
    handed_over : HandedOver or None
        What the present gate said.
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
        # Somebody recorded a later gate; ours is an old view.
        return None
    return SessionExpired(server.name, hello.incarnation, hello.gate_epoch)


def owner_proofs(
    server: BackendServer,
    record: GateRecord,
    over: SessionEnded | None,
    promise: StandbyPromise | None,
    evidence: Evidence,
) -> list[OwnerProof]:
    """Return the proofs that `server` can run nothing more, or an empty list.

    Parameters
    ----------
    server : BackendServer
        The server whose units are to go elsewhere.
    record : GateRecord
        Its recorded gate.
    over : SessionEnded or None
        From our sealed session, when we are the recorded gate.
    promise : StandbyPromise or None
        The recorded standby's promise.  It must have been asked for after the session was
        sealed: an open session may hand a later process of the standby a new right.
    evidence : Evidence
        What is known about who is over.
    """
    gone_proof = evidence.gone_proof(server.name, server.vm)
    if gone_proof is not None:
        return [gone_proof]
    if over is None or over.gate_epoch != (record.epoch, 0):
        return []
    if not record.standby:
        return [over]
    standby_over = evidence.gone_proof(record.standby, record.standby)
    if standby_over is not None:
        return [over, standby_over]
    if promise is not None:
        return [over, promise]
    return []
