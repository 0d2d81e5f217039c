"""Changes of an assignment: pure functions that refuse to change an owner without proof.

Each returns the next assignment, which the caller writes by compare-and-swap against the
revision of the assignment that it passed in.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from fireflylock.assignment import MAX_HOT_UNITS, NO_SERVER, Assignment, GateRecord, Ownership
from fireflylock.exceptions import InvariantError
from fireflylock.proofs import (
    GateProof,
    HandedOver,
    OperatorStatement,
    OwnerProof,
    ProcessEnded,
    Released,
    SameGate,
    SessionEnded,
    SessionExpired,
    StandbyClaimed,
    StandbyPromise,
    VMRemoved,
    ZoneStoodDown,
)


def initial(
    service: str, hash_slots: int, owners: Mapping[int, str], change_id: str = ""
) -> Assignment:
    """Return the first assignment of a service.

    Parameters
    ----------
    service : str
        The service.
    hash_slots : int
        Number of hash slots.
    owners : mapping of int to str
        Owning backend server of each hash slot.
    change_id : str
        Id of this change.
    """
    units = {unit: Ownership(server, 1) for unit, server in sorted(owners.items())}
    return Assignment(service=service, hash_slots=hash_slots, units=units, change_id=change_id)


def with_moves(
    assignment: Assignment,
    moves: Mapping[int, str],
    proofs: Iterable[OwnerProof],
    change_id: str,
) -> Assignment:
    """Return the assignment with new owners.

    Parameters
    ----------
    assignment : Assignment
        The current assignment.
    moves : mapping of int to str
        New owner of each unit; the current owner is allowed and gets the unit with a new epoch.
    proofs : iterable of OwnerProof
        Must show for every owned unit that its owner can run nothing more of it.
    change_id : str
        Id of this change.

    Raises
    ------
    InvariantError
        There is no proof that a unit's owner has stopped.
    """
    proofs = list(proofs)
    units = dict(assignment.units)
    for unit, server in moves.items():
        present = units.get(unit)
        if present is None:
            units[unit] = Ownership(server, 1)
            continue
        if not owner_has_stopped(assignment, unit, present, proofs):
            raise InvariantError(
                f"Unit {unit} of {assignment.service} may still run on {present.server}."
            )
        units[unit] = Ownership(server, present.epoch + 1)
    return replace(assignment, units=units, change_id=change_id)


def owner_has_stopped(
    assignment: Assignment, unit: int, present: Ownership, proofs: Iterable[OwnerProof]
) -> bool:
    """Return whether one of `proofs` shows that the unit's owner can run nothing more."""
    if present.server == NO_SERVER:
        return True
    proofs = list(proofs)
    record = assignment.gates.get(present.server)
    for proof in proofs:
        if isinstance(proof, Released):
            if proof.server != present.server or record is None:
                continue
            if proof.gate_epoch == record.epoch and proof.units.get(unit) == present.epoch:
                return True
        if isinstance(proof, SessionEnded):
            if proof.server != present.server or record is None:
                continue
            if proof.gate_epoch == (record.epoch, 0) and standby_cannot_claim(
                present.server, record, proofs
            ):
                return True
        if isinstance(proof, VMRemoved | OperatorStatement) and proof.name == present.server:
            return True
        if isinstance(proof, ZoneStoodDown):
            marked = assignment.cut_zones.get(proof.zone) == proof.mark
            if marked and present.server in proof.servers:
                return True
    return False


def standby_cannot_claim(server: str, record: GateRecord, proofs: Iterable[OwnerProof]) -> bool:
    """Return whether the server's standby has not claimed it and never will."""
    if not record.standby:
        return True
    for proof in proofs:
        if isinstance(proof, StandbyPromise):
            if proof == StandbyPromise(server, record.epoch, record.standby):
                return True
            continue
        if isinstance(proof, VMRemoved | OperatorStatement) and proof.name == record.standby:
            return True
    return False


def with_gate(
    assignment: Assignment,
    server: str,
    record: GateRecord,
    proof: GateProof | None,
    change_id: str,
) -> Assignment:
    """Return the assignment with a new gate record; its epoch is set here.

    The new epoch invalidates every proof that was collected under the old one.

    Parameters
    ----------
    assignment : Assignment
        The current assignment.
    server : str
        The backend server.
    record : GateRecord
        The new gate; its epoch is replaced by the next one.
    proof : GateProof or None
        Shows that the old gate sends nothing more, or is fenced by the claim that follows;
        None when there was no gate.
    change_id : str
        Id of this change.

    Raises
    ------
    InvariantError
        There is no proof that the old gate may be replaced.
    """
    present = assignment.gates.get(server)
    epoch = 1
    if present is not None:
        epoch = present.epoch + 1
        if present.member and not gate_may_be_replaced(server, present, record, proof):
            raise InvariantError(f"{present.member} may still send to {server}.")
    gates = dict(assignment.gates)
    gates[server] = replace(record, epoch=epoch)
    return replace(assignment, gates=gates, change_id=change_id)


def gate_may_be_replaced(
    server: str, present: GateRecord, record: GateRecord, proof: GateProof | None
) -> bool:
    """Return whether `proof` allows the gate `record` in place of `present`."""
    if isinstance(proof, SessionExpired):
        return (
            proof.server == server
            and proof.incarnation == record.server_incarnation
            and proof.gate_epoch[0] <= present.epoch
        )
    if isinstance(proof, HandedOver):
        return proof.server == server and proof.gate_epoch == present.epoch
    if isinstance(proof, ProcessEnded):
        return proof.member == present.member and proof.process == present.process
    if isinstance(proof, VMRemoved | OperatorStatement):
        return proof.name == present.member
    if isinstance(proof, StandbyClaimed):
        return proof == StandbyClaimed(server, present.epoch, record.member) and (
            record.member == present.standby
        )
    if isinstance(proof, SameGate):
        same = proof.member == present.member == record.member
        return same and proof.process == present.process == record.process
    return False


def with_regrants(
    assignment: Assignment, server: str, units: Iterable[int], proof: SameGate, change_id: str
) -> Assignment:
    """Return the assignment with new epochs for units that stay with their owner.

    The gate reclaims units that it released and that got no other owner.

    Raises
    ------
    InvariantError
        `proof` is not of the server's recorded gate, or a unit is not the server's.
    """
    record = assignment.gates.get(server)
    if record is None or (proof.member, proof.process) != (record.member, record.process):
        raise InvariantError(f"{proof.member} is not the gate of {server}.")
    changed = dict(assignment.units)
    for unit in units:
        present = changed.get(unit)
        if present is None or present.server != server:
            raise InvariantError(f"Unit {unit} of {assignment.service} is not on {server}.")
        changed[unit] = Ownership(server, present.epoch + 1)
    return replace(assignment, units=changed, change_id=change_id)


def with_hot_key(
    assignment: Assignment, key: str, server: str, change_id: str, proofs: Iterable[OwnerProof]
) -> Assignment:
    """Return the assignment with `key` in a unit of its own, owned by `server`.

    The key leaves its hash slot, so the slot's owner must be shown to run nothing more of it:
    the slot is released as for a move and returns to its owner with a new epoch.

    Raises
    ------
    InvariantError
        There is no proof that the slot's owner has stopped, or all hot units are in use.
    """
    if key in assignment.hot_keys:
        raise InvariantError(f"The key is already placed on its own in {assignment.service}.")
    slot = assignment.unit_of(key)
    unit = free_hot_unit(assignment)
    present = assignment.units.get(slot, Ownership(NO_SERVER, 0))
    changed = with_moves(assignment, {slot: present.server}, proofs, change_id)
    units = dict(changed.units)
    retired = units.get(unit, Ownership(NO_SERVER, 0))
    units[unit] = Ownership(server, retired.epoch + 1)
    return replace(changed, units=units, hot_keys={**assignment.hot_keys, key: unit})


def without_hot_key(
    assignment: Assignment, key: str, change_id: str, proofs: Iterable[OwnerProof]
) -> Assignment:
    """Return the assignment with `key` back in its hash slot.

    The hot unit stays recorded without an owner, so that its epoch is never reused.

    Raises
    ------
    InvariantError
        There is no proof that the hot unit's owner has stopped.
    """
    unit = assignment.hot_keys[key]
    changed = with_moves(assignment, {unit: NO_SERVER}, proofs, change_id)
    hot_keys = {hot: hot_unit for hot, hot_unit in assignment.hot_keys.items() if hot != key}
    return replace(changed, hot_keys=hot_keys)


def free_hot_unit(assignment: Assignment) -> int:
    """Return a free unit for a hot key.

    Raises
    ------
    InvariantError
        All units for hot keys are in use.
    """
    used = set(assignment.hot_keys.values())
    for unit in range(assignment.hash_slots, assignment.hash_slots + MAX_HOT_UNITS):
        if unit not in used:
            return unit
    raise InvariantError(f"{assignment.service} places {MAX_HOT_UNITS} keys on their own already.")


def with_cut_zone(assignment: Assignment, zone: str, witness: str, change_id: str) -> Assignment:
    """Return the assignment with `zone` marked as cut off.

    Raises
    ------
    InvariantError
        `witness` is not the recorded witness of the zone.
    """
    if assignment.witnesses.get(zone) != witness:
        raise InvariantError(f"{witness} is not the witness of {zone}.")
    mark = assignment.marks + 1
    cut_zones = {**assignment.cut_zones, zone: mark}
    return replace(assignment, cut_zones=cut_zones, marks=mark, change_id=change_id)


def without_cut_zone(assignment: Assignment, zone: str, change_id: str) -> Assignment:
    """Return the assignment without the mark of `zone`; any member may remove it."""
    cut_zones = {cut: mark for cut, mark in assignment.cut_zones.items() if cut != zone}
    return replace(assignment, cut_zones=cut_zones, change_id=change_id)


def with_witness(
    assignment: Assignment, zone: str, witness: str, proof: GateProof | None, change_id: str
) -> Assignment:
    """Return the assignment with a new witness of `zone`.

    Raises
    ------
    InvariantError
        The old witness may still vouch for the zone.
    """
    present = assignment.witnesses.get(zone, "")
    gone = isinstance(proof, VMRemoved | OperatorStatement) and proof.name == present
    handed_over = isinstance(proof, SameGate) and proof.member == present
    if present and not gone and not handed_over:
        raise InvariantError(f"{present} may still vouch for {zone}.")
    return replace(
        assignment, witnesses={**assignment.witnesses, zone: witness}, change_id=change_id
    )
