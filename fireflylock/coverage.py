"""Coverage: for which units this entry VM knows every earlier idempotency key."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fireflylock.assignment import Assignment, hash_slot


@dataclass
class Coverage:
    """What earlier gates of one service handed over.

    Attributes
    ----------
    units : dict of int to int
        Units whose keys were handed over completely, and the epoch that began then.
    hot_keys : dict of str to int
        Keys that left their hash slots and were handed over, and the slots' epoch that
        began then.
    assignment : Assignment or None
        The assignment that was last looked at.
    """

    units: dict[int, int] = field(default_factory=dict)
    hot_keys: dict[str, int] = field(default_factory=dict)
    assignment: Assignment | None = None

    def knows(self, assignment: Assignment, unit: int, epoch: int) -> bool:
        """Return whether no earlier idempotency key of a newly held unit can be unknown."""
        if self.units.get(unit) == epoch:
            return True
        if unit >= assignment.hash_slots:
            return self.knows_hot_unit(assignment, unit)
        server = assignment.units[unit].server
        record = assignment.gates.get(server)
        return epoch == 1 and record is not None and record.epoch == 1

    def knows_hot_unit(self, assignment: Assignment, unit: int) -> bool:
        """Return whether the key of a hot unit was handed over when it left its slot."""
        for key, place in assignment.hot_keys.items():
            if place != unit:
                continue
            slot = hash_slot(assignment.service, key, assignment.hash_slots)
            ownership = assignment.units.get(slot)
            return ownership is not None and self.hot_keys.get(key) == ownership.epoch
        return True

    def unknown_returns(self, assignment: Assignment, held: Iterable[int]) -> list[int]:
        """Return held hash slots to which a hot key returned whose keys are not known here."""
        if self.assignment is None:
            return []
        found = []
        for key, unit in self.assignment.hot_keys.items():
            if assignment.hot_keys.get(key) == unit:
                continue
            slot = hash_slot(assignment.service, key, assignment.hash_slots)
            ownership = assignment.units.get(unit)
            known = ownership is not None and self.units.get(unit) == ownership.epoch
            if slot in held and not known:
                found.append(slot)
        return found
