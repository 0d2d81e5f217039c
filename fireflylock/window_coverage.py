"""For which units this entry VM knows every earlier idempotency key."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from fireflylock.assignment import NO_SERVER, Assignment, hash_slot


class Mark(msgspec.Struct, frozen=True, array_like=True):
    """The ownership of a unit for which an earlier gate handed over all keys.

    The epoch alone does not identify it: when the change that would have started it is not
    recorded, the old owner gets the unit back with the same epoch.

    Attributes
    ----------
    epoch : int
        Epoch of the unit (for a hot key, of its hash slot) under the new owner.
    server : str
        The new owner, or `NO_SERVER` for a retired hot unit.
    gate_epoch : int
        Recorded gate epoch of that owner, or 0 for a retired hot unit.
    """

    epoch: int
    server: str
    gate_epoch: int


@dataclass
class WindowCoverage:
    """Which keys of one service earlier gates handed over.

    Attributes
    ----------
    units : dict of int to Mark
        Units whose keys were handed over completely.
    hot_keys : dict of str to Mark
        Keys that left their hash slots and were handed over.
    held : dict of int to Mark
        Units that were served here under the last assignment, and their ownership.
    gates : dict of str to int
        Gate epochs of the backend servers whose gate was here under the last assignment.
    assignment : Assignment or None
        The last assignment that was applied.
    """

    units: dict[int, Mark] = field(default_factory=dict)
    hot_keys: dict[str, Mark] = field(default_factory=dict)
    held: dict[int, Mark] = field(default_factory=dict)
    gates: dict[str, int] = field(default_factory=dict)
    assignment: Assignment | None = None

    def apply_assignment(self, assignment: Assignment, servers: Iterable[str]) -> list[int]:
        """Apply the next assignment.

        Parameters
        ----------
        assignment : Assignment
            The assignment in force.
        servers : iterable of str
            Backend servers whose gate is here.

        Returns
        -------
        list of int
            Units served here whose earlier idempotency keys may not be known.
        """
        gates = {server: assignment.gates[server].epoch for server in servers}
        held = {
            unit: Mark(ownership.epoch, ownership.server, gates[ownership.server])
            for unit, ownership in assignment.units.items()
            if ownership.server in gates
        }
        lost = []
        for unit, mark in held.items():
            if self.is_continued(unit, mark) or self.is_covered(assignment, unit):
                continue
            lost.append(unit)
        lost += self.uncovered_return_slots(assignment, held)
        self.held, self.gates, self.assignment = held, gates, assignment
        return lost

    def is_continued(self, unit: int, mark: Mark) -> bool:
        """Return whether only this entry VM served the unit since the last assignment."""
        before = self.held.get(unit)
        if before is None:
            return False
        if (before.server, before.epoch) == (mark.server, mark.epoch):
            return mark.gate_epoch in (before.gate_epoch, before.gate_epoch + 1)
        moved_once = mark.epoch == before.epoch + 1
        return moved_once and self.gates.get(mark.server) == mark.gate_epoch

    def is_covered(self, assignment: Assignment, unit: int) -> bool:
        """Return whether every earlier idempotency key of a newly served unit is known."""
        ownership = assignment.units[unit]
        record = assignment.gates.get(ownership.server)
        if record is None:
            return False
        if self.units.get(unit) == Mark(ownership.epoch, ownership.server, record.epoch):
            return True
        if unit >= assignment.hash_slots:
            return self.is_hot_unit_covered(assignment, unit)
        return ownership.epoch == 1 and record.epoch == 1

    def is_hot_unit_covered(self, assignment: Assignment, unit: int) -> bool:
        """Return whether the hot unit's key was handed over when it left its hash slot."""
        server = assignment.units[unit].server
        record = assignment.gates[server]
        for key, hot_unit in assignment.hot_keys.items():
            if hot_unit != unit:
                continue
            slot = hash_slot(assignment.service, key, assignment.hash_slots)
            ownership = assignment.units.get(slot)
            if ownership is None:
                return False
            return self.hot_keys.get(key) == Mark(ownership.epoch, server, record.epoch)
        return True

    def uncovered_return_slots(self, assignment: Assignment, held: Iterable[int]) -> list[int]:
        """Return served hash slots to which a hot key returned without a complete handover."""
        if self.assignment is None:
            return []
        found = []
        for key, unit in self.assignment.hot_keys.items():
            if assignment.hot_keys.get(key) == unit:
                continue
            slot = hash_slot(assignment.service, key, assignment.hash_slots)
            ownership = assignment.units.get(unit)
            if ownership is None or slot not in held:
                continue
            if self.units.get(unit) != Mark(ownership.epoch, NO_SERVER, 0):
                found.append(slot)
        return found
