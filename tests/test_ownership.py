"""Tests of gate election, of the evidence for proofs, of the standby and of cut zones."""

from dataclasses import replace
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from fireflylock.assignment import GateRecord
from fireflylock.assignment_changes import initial, with_cut_zone, with_moves, with_witness
from fireflylock.cut_zones import StandDown, Witness, moves_keys_when_cut
from fireflylock.gate_election import Candidate, decide_gate
from fireflylock.model import BackendServer, CutZonePolicy, PlatformVM, Service, VMList
from fireflylock.ownership import Evidence, takeover_proof
from fireflylock.proofs import ProcessEnded, VMRemoved
from fireflylock.session import SessionTiming
from fireflylock.standby import PromiseAnswer, Standby, StandbyRight
from fireflylock.vm_history import VMHistory

SERVER = BackendServer("server", "desk", "vm-b", "rosario", "127.0.0.1", 1)
RECORD = GateRecord("vm-1", 1, "vm-2", "process-1", "boot-1")
TIMING = SessionTiming()
MILLISECOND = timedelta(milliseconds=1)


def vm_list(version, *names):
    return VMList(version, {name: PlatformVM(name, "rosario", "south", "") for name in names})


def test_gates_stay_in_their_zone_and_move_only_when_their_member_leaves():
    members = [Candidate(f"vm-{n}", "rosario" if n < 8 else "parana") for n in range(12)]
    servers = [replace(SERVER, name=f"server-{n}") for n in range(160)]
    gates = {server.name: decide_gate(server, None, members).gate for server in servers}
    assert set(gates.values()) == {f"vm-{n}" for n in range(8)}
    fewer = [member for member in members if member.name != "vm-3"]
    moved = {
        server.name
        for server in servers
        if decide_gate(server, None, fewer).gate != gates[server.name]
    }
    assert moved == {name for name, gate in gates.items() if gate == "vm-3"}


def test_a_live_gate_stays_until_the_better_member_has_settled():
    best = decide_gate(SERVER, None, [Candidate("vm-1", "rosario"), Candidate("vm-9", "parana")])
    assert (best.gate, best.standby) == ("vm-1", "vm-9")
    record = replace(RECORD, member="vm-9")
    young = [Candidate("vm-1", "rosario", stable=False), Candidate("vm-9", "parana")]
    assert not decide_gate(SERVER, record, young).hand_over
    stable = [Candidate("vm-1", "rosario"), Candidate("vm-9", "parana")]
    assert decide_gate(SERVER, record, stable).hand_over
    assert decide_gate(SERVER, record, []).gate == ""


@given(st.lists(st.tuples(st.integers(1, 9), st.sets(st.sampled_from("abc"))), max_size=12))
def test_a_vm_counts_as_removed_only_when_a_newer_list_lacks_it(readings):
    history = VMHistory()
    truth = {}
    for version, names in readings:
        truth.setdefault(version, names)
        history.on_list(vm_list(version, *truth[version]))
        for name in "abc":
            if history.proof(name, name) is None:
                continue
            assert name not in truth[history.version]
            assert any(name in names for older, names in truth.items() if older < history.version)


def test_a_listed_vm_is_no_proof_for_a_new_gate():
    evidence = Evidence()
    evidence.vms.on_list(vm_list(1, "vm-2"))
    successor = replace(RECORD, member="vm-2", process="process-2")
    assert takeover_proof(SERVER, RECORD, successor, evidence) is None
    evidence.vms.on_list(vm_list(2, "vm-1", "vm-2"))
    evidence.vms.on_list(vm_list(3, "vm-2"))
    assert takeover_proof(SERVER, RECORD, successor, evidence) == VMRemoved("vm-1", "vm-1", 3)
    restarted = Evidence(processes={"vm-1": "process-9"})
    over = takeover_proof(SERVER, RECORD, successor, restarted)
    assert over == ProcessEnded("vm-1", "process-1")


def test_a_standby_promises_only_some_time_after_its_start_and_then_never_claims():
    standby = Standby("vm-2", "process-2", timedelta(0), TIMING)
    assert standby.promise(TIMING.ttl, "server", 1) == (PromiseAnswer.LATER, None)
    now = 2 * TIMING.ttl
    standby.on_right(StandbyRight("server", "boot-1", 1, "process-2"))
    assert standby.promise(now, "server", 1)[0] is PromiseAnswer.PROMISED
    standby.on_right(StandbyRight("server", "boot-1", 1, "process-2"))
    assert standby.rights == {}
    standby.on_right(StandbyRight("server", "boot-1", 2, "process-1"))
    assert standby.rights == {}


class CutZone:
    """A gate in a zone, the zone's witness and a platform, on clocks that drift apart."""

    def __init__(self):
        self.service = Service("desk", checks_grants=True, cut_zone_policy=CutZonePolicy.MOVE)
        assignment = initial("desk", 2, {0: "server", 1: "other"})
        self.stored = with_witness(assignment, "rosario", "vm-9", None, "")
        self.stand_down = StandDown(self.service.move_after, TIMING.drift)
        self.witness = Witness("rosario", self.service.move_after, TIMING)
        self.gate_now = timedelta(seconds=1000)
        self.witness_now = timedelta(seconds=5)
        self.session_over_at = self.gate_now

    def advance(self, duration):
        """Let `duration` pass for the gate, and the maximum that drift allows for the witness."""
        self.gate_now += duration
        self.witness_now += duration * (1 + TIMING.drift)

    def renew(self):
        """Renew the server's session if the gate may."""
        if not self.stand_down.is_due(self.gate_now):
            self.session_over_at = self.gate_now + TIMING.ttl


@settings(max_examples=300)
@given(
    st.lists(
        st.sampled_from(["hour", "time", "renew", "read", "word", "begin", "mark", "see", "move"]),
        min_size=30,
        max_size=60,
    )
)
def test_units_of_a_marked_zone_are_not_moved_before_its_sessions_end(steps):
    zone = CutZone()
    for step in steps:
        if step == "hour":
            zone.advance(zone.service.move_after)
        if step == "time":
            zone.advance(zone.service.move_after / 3)
        if step == "renew":
            zone.renew()
        if step == "read":
            marked = "rosario" in zone.stored.cut_zones
            zone.stand_down.on_platform(zone.gate_now, timedelta(0), marked)
        if step == "word" and zone.witness.may_vouch():
            zone.stand_down.on_witness(zone.gate_now)
        if step == "begin":
            zone.witness.begin_marking()
        if step == "mark" and zone.witness.marking and not zone.stored.cut_zones:
            zone.stored = with_cut_zone(zone.stored, "rosario", "vm-9", "")
        if step == "see":
            zone.witness.on_assignment(zone.witness_now, zone.stored)
        if step != "move":
            continue
        proof = zone.witness.stood_down(zone.witness_now, frozenset({"server"}))
        if proof is not None:
            with_moves(zone.stored, {0: "other"}, [proof], "")
            zone.renew()
            assert zone.gate_now >= zone.session_over_at


def test_no_zone_stands_down_during_a_platform_outage_alone():
    zone = CutZone()
    for _ in range(100):
        zone.advance(timedelta(seconds=10))
        assert zone.witness.may_vouch()
        zone.stand_down.on_witness(zone.gate_now)
        assert not zone.stand_down.is_due(zone.gate_now)


def test_keys_on_servers_that_do_not_check_grants_are_not_moved():
    moving = Service("desk", checks_grants=True, cut_zone_policy=CutZonePolicy.MOVE)
    assert moves_keys_when_cut(moving)
    assert not moves_keys_when_cut(replace(moving, checks_grants=False))
    assert not moves_keys_when_cut(replace(moving, cut_zone_policy=CutZonePolicy.HOLD))
