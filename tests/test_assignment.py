"""Tests of the assignment's stored form and of its changes."""

import random

import pytest

from fireflylock.assignment import GateRecord
from fireflylock.assignment_changes import (
    initial,
    with_gate,
    with_hot_key,
    with_moves,
    without_hot_key,
)
from fireflylock.assignment_codec import MAX_VALUE_BYTES, decode, encode
from fireflylock.exceptions import InvariantError, ProtocolError
from fireflylock.proofs import (
    HandedOver,
    OperatorStatement,
    Released,
    SessionEnded,
    SessionExpired,
    StandbyPromise,
    VMRemoved,
)

RECORD = GateRecord("vm-1", 0, "vm-2", "process-1", "boot-1")


def small_assignment():
    first = initial("desk", 8, {unit: f"server-{unit % 2}" for unit in range(8)}, "first")
    return with_gate(first, "server-0", RECORD, None, "gate")


def test_largest_assignment_stays_far_below_the_platforms_limit():
    generator = random.Random(1)
    servers = [f"server-with-a-long-name-{place:04d}.az-{place % 5}" for place in range(2000)]
    assignment = initial("desk", 16384, {unit: generator.choice(servers) for unit in range(16384)})
    for server in servers:
        record = GateRecord(f"vm-{server}", 0, "vm-0400", generator.randbytes(8).hex(), "boot")
        assignment = with_gate(assignment, server, record, None, "gates")
    data = encode(assignment)
    assert len(data) < MAX_VALUE_BYTES / 4
    assert decode(data, 0) == assignment


def test_stored_form_keeps_hot_units():
    assignment = with_hot_key(
        small_assignment(),
        "rush",
        "server-1",
        "hot",
        [VMRemoved("server-0", "v", 2), VMRemoved("server-1", "w", 2)],
    )
    assert decode(encode(assignment), 7).hot_keys == {"rush": 8}
    assert decode(encode(assignment), 7).units == assignment.units


@pytest.mark.parametrize("damage", [b"", b"x", encode(small_assignment())[:-3]])
def test_damaged_bytes_are_rejected(damage):
    with pytest.raises(ProtocolError):
        decode(damage, 1)


@pytest.mark.parametrize(
    "proofs",
    [
        [],
        [Released("server-0", 2, {0: 1})],
        [Released("server-0", 1, {0: 2})],
        [Released("server-1", 1, {0: 1})],
        [SessionEnded("server-0", (1, 0))],
        [SessionEnded("server-0", (1, 1)), StandbyPromise("server-0", 1, "vm-2")],
        [SessionEnded("server-0", (1, 0)), StandbyPromise("server-0", 1, "vm-3")],
        [StandbyPromise("server-0", 1, "vm-2")],
        [VMRemoved("server-1", "vm-b1", 2)],
    ],
)
def test_unit_does_not_move_without_proof(proofs):
    with pytest.raises(InvariantError):
        with_moves(small_assignment(), {0: "server-1"}, proofs, "move")


@pytest.mark.parametrize(
    "proofs",
    [
        [Released("server-0", 1, {0: 1})],
        [SessionEnded("server-0", (1, 0)), StandbyPromise("server-0", 1, "vm-2")],
        [SessionEnded("server-0", (1, 0)), VMRemoved("vm-2", "vm-2", 3)],
        [VMRemoved("server-0", "vm-b0", 2)],
        [OperatorStatement("server-0", "ines", "switched off")],
    ],
)
def test_proven_move_increments_the_epoch(proofs):
    moved = with_moves(small_assignment(), {0: "server-1"}, proofs, "move")
    assert (moved.units[0].server, moved.units[0].epoch) == ("server-1", 2)


def test_new_gate_needs_a_proof_and_invalidates_old_proofs():
    assignment = small_assignment()
    other = GateRecord("vm-3", 0, "", "process-3", "boot-1")
    with pytest.raises(InvariantError):
        with_gate(assignment, "server-0", other, None, "gate")
    with pytest.raises(InvariantError):
        with_gate(assignment, "server-0", other, HandedOver("server-0", 2), "gate")
    expired = SessionExpired("server-0", "boot-2", (1, 0))
    with pytest.raises(InvariantError):
        with_gate(assignment, "server-0", other, expired, "gate")
    taken = with_gate(assignment, "server-0", other, HandedOver("server-0", 1), "gate")
    assert taken.gates["server-0"].epoch == 2
    with pytest.raises(InvariantError):
        with_moves(taken, {0: "server-1"}, [Released("server-0", 1, {0: 1})], "move")


def test_hot_unit_is_never_reused_under_an_old_epoch():
    gone = [VMRemoved("server-0", "v", 2), VMRemoved("server-1", "w", 2)]
    hot = with_hot_key(small_assignment(), "rush", "server-1", "hot", gone)
    cold = without_hot_key(hot, "rush", "cold", gone)
    again = with_hot_key(cold, "other", "server-0", "hot", gone)
    assert again.units[8].epoch > hot.units[8].epoch
