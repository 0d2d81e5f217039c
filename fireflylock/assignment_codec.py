"""The stored form of an assignment: msgpack, compressed, far below the platform's limit."""

import zlib

import msgspec

from fireflylock.assignment import NO_SERVER, Assignment, GateRecord, Ownership
from fireflylock.exceptions import ProtocolError

# The platform stores values of up to a megabyte.
MAX_VALUE_BYTES = 1_000_000

# Bounds the size to which a damaged value can decompress.
MAX_UNPACKED_BYTES = 16_000_000

FORMAT = 1


class StoredAssignment(msgspec.Struct, frozen=True, array_like=True):
    """The stored fields; servers are listed once and units refer to them by index.

    Attributes
    ----------
    format : int
        Version of this layout.
    owners, epochs : list of int
        For units ``0, 1, ...``: index of the owner in `servers`, and epoch.
    hot_units : list of (int, int, int)
        Unit, index of the owner, and epoch of the units beyond the hash slots.
    """

    format: int
    service: str
    hash_slots: int
    servers: list[str]
    owners: list[int]
    epochs: list[int]
    hot_units: list[tuple[int, int, int]]
    hot_keys: dict[str, int]
    gates: dict[str, tuple[str, int, str, str, str]]
    cut_zones: dict[str, int]
    witnesses: dict[str, str]
    marks: int
    change_id: str


def encode(assignment: Assignment) -> bytes:
    """Return the stored form; without the revision, which the platform assigns."""
    servers = sorted({ownership.server for ownership in assignment.units.values()} | {NO_SERVER})
    indexes = {server: index for index, server in enumerate(servers)}
    unowned = Ownership(NO_SERVER, 0)
    owners = []
    epochs = []
    for unit in range(assignment.hash_slots):
        ownership = assignment.units.get(unit, unowned)
        owners.append(indexes[ownership.server])
        epochs.append(ownership.epoch)
    hot_units = [
        (unit, indexes[ownership.server], ownership.epoch)
        for unit, ownership in sorted(assignment.units.items())
        if unit >= assignment.hash_slots
    ]
    stored = StoredAssignment(
        format=FORMAT,
        service=assignment.service,
        hash_slots=assignment.hash_slots,
        servers=servers,
        owners=owners,
        epochs=epochs,
        hot_units=hot_units,
        hot_keys=assignment.hot_keys,
        gates={server: _gate_fields(record) for server, record in assignment.gates.items()},
        cut_zones=assignment.cut_zones,
        witnesses=assignment.witnesses,
        marks=assignment.marks,
        change_id=assignment.change_id,
    )
    return zlib.compress(msgspec.msgpack.encode(stored), level=1)


def decode(data: bytes, revision: int) -> Assignment:
    """Return the assignment that was stored as `data` at the platform's `revision`.

    Raises
    ------
    ProtocolError
        The bytes are not a stored assignment of a known format.
    """
    try:
        unpacker = zlib.decompressobj()
        packed = unpacker.decompress(data, MAX_UNPACKED_BYTES)
        if not unpacker.eof:
            raise ProtocolError("A stored assignment is cut short or too large.")
        stored = msgspec.msgpack.decode(packed, type=StoredAssignment)
        return _assignment(stored, revision)
    except (zlib.error, msgspec.DecodeError, IndexError) as error:
        raise ProtocolError(f"A stored assignment is not valid: {error}") from error


def _gate_fields(record: GateRecord) -> tuple[str, int, str, str, str]:
    """Return a gate record's fields in stored order."""
    return (
        record.member,
        record.epoch,
        record.standby,
        record.process,
        record.server_incarnation,
    )


def _assignment(stored: StoredAssignment, revision: int) -> Assignment:
    """Return the assignment of validated stored fields."""
    if stored.format != FORMAT:
        raise ProtocolError(f"A stored assignment has the unknown format {stored.format}.")
    if not len(stored.owners) == len(stored.epochs) == stored.hash_slots:
        raise ProtocolError("A stored assignment does not cover its hash slots.")
    units = {
        unit: Ownership(stored.servers[owner], epoch)
        for unit, (owner, epoch) in enumerate(zip(stored.owners, stored.epochs, strict=True))
        if epoch > 0
    }
    for unit, owner, epoch in stored.hot_units:
        units[unit] = Ownership(stored.servers[owner], epoch)
    return Assignment(
        service=stored.service,
        hash_slots=stored.hash_slots,
        units=units,
        hot_keys=stored.hot_keys,
        gates={server: GateRecord(*fields) for server, fields in stored.gates.items()},
        cut_zones=stored.cut_zones,
        witnesses=stored.witnesses,
        marks=stored.marks,
        revision=revision,
        change_id=stored.change_id,
    )
