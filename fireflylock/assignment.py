"""The assignment of one service: the owner of each unit, and the gate of each backend server."""

from dataclasses import dataclass, field

import xxhash

# Maximum number of hot keys per service with a unit of their own, beside the hash slots.
MAX_HOT_UNITS = 64

NO_SERVER = ""


@dataclass(frozen=True)
class Ownership:
    """The owner of one unit.

    Attributes
    ----------
    server : str
        Owning backend server, or `NO_SERVER`.
    epoch : int
        Increases with every change of this unit's owner; starts at 1.
    """

    server: str
    epoch: int


@dataclass(frozen=True)
class GateRecord:
    """Which entry VM may send to one backend server.

    Attributes
    ----------
    member : str
        The entry VM that is the server's gate, or "" for none.
    epoch : int
        Increases with every recorded change of the gate.
    standby : str
        The entry VM that may claim the server without a write, or "".
    process : str
        The gate's process that wrote the record; a later process writes a new record.
    server_incarnation : str
        The backend server's process that may be claimed under this gate epoch; a restarted
        server has lost its fence and is claimed only after a write that names it.
    """

    member: str
    epoch: int
    standby: str = ""
    process: str = ""
    server_incarnation: str = ""


@dataclass(frozen=True)
class Assignment:
    """One version of a service's assignment; one value in the platform's service.

    Attributes
    ----------
    service : str
        The service.
    hash_slots : int
        Units ``0 .. hash_slots - 1`` are hash slots; higher units are single hot keys.
    units : dict of int to Ownership
        Owner of every hash slot and of every hot key with a unit of its own.
    hot_keys : dict of str to int
        Unit of each hot key with a unit of its own.
    gates : dict of str to GateRecord
        Gate of each backend server.
    cut_zones : dict of str to int
        Number of the mark of each zone that is recorded as cut off.
    witnesses : dict of str to str
        The only member that may mark a zone as cut, by zone; in another zone.
    marks : int
        Number of marks that were ever set; a later mark has a higher number.
    revision : int
        The platform's revision of this value; 0 before it was written.
    change_id : str
        Id of the change that wrote this value; shows whether a write whose answer was lost took
        effect.
    """

    service: str
    hash_slots: int
    units: dict[int, Ownership] = field(default_factory=dict)
    hot_keys: dict[str, int] = field(default_factory=dict)
    gates: dict[str, GateRecord] = field(default_factory=dict)
    cut_zones: dict[str, int] = field(default_factory=dict)
    witnesses: dict[str, str] = field(default_factory=dict)
    marks: int = 0
    revision: int = 0
    change_id: str = ""

    def unit_of(self, key: str) -> int:
        """Return the unit that `key` belongs to."""
        unit = self.hot_keys.get(key)
        if unit is not None:
            return unit
        return hash_slot(self.service, key, self.hash_slots)

    def units_of(self, server: str) -> dict[int, int]:
        """Return the epoch of each unit that `server` owns."""
        return {
            unit: ownership.epoch
            for unit, ownership in self.units.items()
            if ownership.server == server
        }

    def owner_of(self, key: str) -> Ownership | None:
        """Return the ownership of `key`, or None when it has no owner."""
        ownership = self.units.get(self.unit_of(key))
        if ownership is None or ownership.server == NO_SERVER:
            return None
        return ownership


def hash_slot(service: str, key: str, hash_slots: int) -> int:
    """Return the hash slot of `key`; the same on every VM and in every release."""
    return xxhash.xxh3_64_intdigest(f"{service}\0{key}".encode()) % hash_slots
