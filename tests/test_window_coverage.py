"""Tests of window coverage: when a gate knows every earlier idempotency key."""

from dataclasses import replace

from fireflylock.assignment import Assignment, GateRecord, Ownership, hash_slot
from fireflylock.assignment_changes import with_hot_key, without_hot_key
from fireflylock.proofs import OperatorStatement
from fireflylock.window_coverage import Mark, WindowCoverage

SLOTS = 8
GONE = OperatorStatement("mesa-01", "operator", "test")


def assignment(owner: str, epoch: int, gate_epochs: dict[str, int]) -> Assignment:
    """Return an assignment in which `owner` has every slot at `epoch`."""
    units = {unit: Ownership(owner, epoch) for unit in range(SLOTS)}
    gates = {server: GateRecord("entry-1", number) for server, number in gate_epochs.items()}
    return Assignment("orders", SLOTS, units, gates=gates)


def test_units_that_never_had_another_gate_are_covered():
    assert WindowCoverage().is_covered(assignment("mesa-01", 1, {"mesa-01": 1}), 3)


def test_units_after_a_takeover_are_not_covered():
    assert not WindowCoverage().is_covered(assignment("mesa-01", 1, {"mesa-01": 2}), 3)


def test_handed_over_unit_is_covered():
    coverage = WindowCoverage(units={3: Mark(2, "mesa-02", 1)})
    assert coverage.is_covered(assignment("mesa-02", 2, {"mesa-01": 1, "mesa-02": 1}), 3)


def test_mark_of_an_unrecorded_move_does_not_cover_the_old_owner():
    # The planner's write was lost and the old owner got the unit back with the same epoch
    # that the move would have had; it ran requests that this gate has never seen.
    coverage = WindowCoverage(units={3: Mark(2, "mesa-02", 1)})
    assert not coverage.is_covered(assignment("mesa-01", 2, {"mesa-01": 2, "mesa-02": 1}), 3)


def test_mark_does_not_count_after_another_gate_in_between():
    coverage = WindowCoverage(units={3: Mark(2, "mesa-02", 1)})
    assert not coverage.is_covered(assignment("mesa-02", 2, {"mesa-02": 3}), 3)


def test_hot_key_is_covered_only_by_the_handover_of_its_slot():
    before = assignment("mesa-01", 1, {"mesa-01": 1, "mesa-02": 1})
    after = with_hot_key(before, "grano", "mesa-02", "change", [GONE])
    unit = after.hot_keys["grano"]
    assert not WindowCoverage().is_covered(after, unit)
    assert WindowCoverage(hot_keys={"grano": Mark(2, "mesa-02", 1)}).is_covered(after, unit)
    assert not WindowCoverage(hot_keys={"grano": Mark(1, "mesa-02", 1)}).is_covered(after, unit)


def test_key_returned_without_handover_makes_its_slot_uncovered():
    before = assignment("mesa-01", 1, {"mesa-01": 1, "mesa-02": 1})
    placed = with_hot_key(before, "grano", "mesa-02", "change", [GONE])
    unit = placed.hot_keys["grano"]
    proof = replace(GONE, name="mesa-02")
    returned = without_hot_key(placed, "grano", "change", [proof])
    slot = hash_slot("orders", "grano", SLOTS)
    coverage = WindowCoverage(assignment=placed)
    assert coverage.uncovered_return_slots(returned, {slot}) == [slot]
    coverage.units[unit] = Mark(returned.units[unit].epoch, "", 0)
    assert coverage.uncovered_return_slots(returned, {slot}) == []
