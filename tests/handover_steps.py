"""The steps of the model of the handover protocol; any enabled step may occur next."""

from collections.abc import Callable
from dataclasses import replace

from fireflylock import assignment_changes as changes
from fireflylock.assignment import Assignment, GateRecord
from fireflylock.control_calls import decode_reply
from fireflylock.exceptions import InvariantError
from fireflylock.ownership import Evidence, owner_proofs, takeover_proof
from fireflylock.proofs import GateProof, Released, SameGate, StandbyClaimed
from fireflylock.session import ENDED_STATES, SessionState
from fireflylock.standby import StandbyRight
from standins.fence import Fence
from tests.handover_model import OLD, TICK, UNIT, Member, SystemState

Guard = Callable[[SystemState, Member], object]


def guarded_by(guard: Guard) -> Callable:
    """Attach a cheap precondition to a step, which is checked before the state is copied."""

    def attach(step: Callable) -> Callable:
        step.guard = guard
        return step

    return attach


# The steps of one member.  Each returns whether it occurred.


@guarded_by(lambda system, member: member.session is not None and member.call is None)
def calls_server(system: SystemState, member: Member) -> bool:
    # The session makes the calls that are due and gets every reply at once.
    any_call = False
    while (call := member.session.poll(system.member_now())) is not None:
        member.session.on_reply(system.member_now(), call, system.fence.control(call))
        any_call = True
    return any_call


@guarded_by(
    lambda system, member: system.budget.slow_calls and member.session and member.call is None
)
def sends_call(system: SystemState, member: Member) -> bool:
    # The session makes one call, which arrives in a later step.
    member.call = member.session.poll(system.member_now())
    member.call_arrived = False
    return member.call is not None and system.spend("slow_calls")


@guarded_by(lambda system, member: member.call is not None and not member.call_arrived)
def call_arrives(system: SystemState, member: Member) -> bool:
    # The server executes the member's call.
    member.reply = system.fence.control(member.call)
    member.call_arrived = True
    return True


@guarded_by(lambda system, member: member.reply is not None)
def takes_reply(system: SystemState, member: Member) -> bool:
    # The reply arrives at the session.
    member.session.on_reply(system.member_now(), member.call, member.reply)
    member.call = member.reply = None
    return True


@guarded_by(lambda system, member: member.call is not None)
def times_out(system: SystemState, member: Member) -> bool:
    # The call times out at the member; unless it has arrived, it may arrive at any later time.
    if not member.call_arrived:
        system.delayed_calls.append(member.call)
    member.session.on_failure(system.member_now(), member.call)
    member.call = member.reply = None
    return True


@guarded_by(lambda system, member: member.view.revision != system.stored.revision)
def refreshes(system: SystemState, member: Member) -> bool:
    # The member reads the platform's latest version.
    if member.view.revision == system.stored.revision:
        return False
    member.view = system.stored
    apply_view(system, member, member.view)
    return True


@guarded_by(lambda system, member: system.budget.old_versions and member.session is not None)
def receives_old_version(system: SystemState, member: Member) -> bool:
    # The member receives an older version from a peer.
    older = system.versions[0]
    if member.session is None or older.revision >= member.view.revision:
        return False
    if not system.spend("old_versions"):
        return False
    apply_view(system, member, older)
    return True


def apply_view(system: SystemState, member: Member, version: Assignment) -> None:
    # Apply a version's units to the member's session.
    if member.session is None:
        return
    units = version.units_of("old")
    member.session.set_grants(system.member_now(), units, version.revision)


@guarded_by(
    lambda system, member: (
        member.session is None or member.session.sealed or member.session.state in ENDED_STATES
    )
)
def asks_server(system: SystemState, member: Member) -> bool:
    # The member, which has no usable session, sends a hello to the server.
    record = member.view.gates["old"]
    hello = decode_reply(system.fence.control({"call": "hello"}))
    if not hello.session_expired or hello.gate_epoch[0] > record.epoch:
        return False
    previous = member.hello
    member.hello = hello
    return previous is None or previous.incarnation != hello.incarnation


@guarded_by(lambda system, member: system.budget.gate_writes and member.hello is not None)
def takes_over(system: SystemState, member: Member) -> bool:
    # The member records itself as gate in place of another process.
    record = member.view.gates["old"]
    if member.hello is None or (record.member, record.process) == (member.name, member.process):
        return False
    standby = record.standby if record.standby != member.name else ""
    successor = GateRecord(member.name, 0, standby, member.process, member.hello.incarnation)
    evidence = Evidence(processes={name: other.process for name, other in system.members.items()})
    proof = takeover_proof(OLD, record, successor, evidence, member.hello)
    return proof is not None and records_gate(system, member, successor, proof)


@guarded_by(lambda system, member: system.budget.gate_writes and member.hello is not None)
def rerecords_gate(system: SystemState, member: Member) -> bool:
    # The recorded gate records itself again, after sealing or a restart of the server.
    record = member.view.gates["old"]
    same = (record.member, record.process) == (member.name, member.process)
    if not same or member.session is None or member.hello is None:
        return False
    successor = replace(record, server_incarnation=member.hello.incarnation)
    return records_gate(system, member, successor, SameGate(member.name, member.process))


@guarded_by(
    lambda system, member: (
        system.budget.gate_writes and member.session is not None and member.session.gate_epoch[1]
    )
)
def records_claim(system: SystemState, member: Member) -> bool:
    # The standby records the claim that it made without a platform write.
    session = member.session
    if session is None or session.gate_epoch[1] != 1 or not session.claimed:
        return False
    successor = GateRecord(member.name, 0, "", member.process, session.incarnation)
    proof = StandbyClaimed("old", session.gate_epoch[0], member.name)
    return records_gate(system, member, successor, proof)


def records_gate(
    system: SystemState, member: Member, successor: GateRecord, proof: GateProof
) -> bool:
    # Write a gate record and open the session that belongs to it.
    if not system.spend("gate_writes"):
        return False
    try:
        changed = changes.with_gate(member.view, "old", successor, proof, "")
    except InvariantError:
        return False
    if not system.compare_and_swap(changed, member.view.revision):
        return False
    member.view = system.stored
    member.hello = None
    system.make_session(
        member, (system.stored.gates["old"].epoch, 0), successor.server_incarnation
    )
    return True


@guarded_by(lambda system, member: system.budget.lost_writes and member.hello is not None)
def loses_answer(system: SystemState, member: Member) -> bool:
    # The answer to the member's takeover is lost although the write took effect.
    if not system.spend("lost_writes") or not takes_over(system, member):
        return False
    member.view = system.versions[-2]
    member.used_gate_epochs.discard(member.session.gate_epoch)
    member.session = None
    return True


@guarded_by(lambda system, member: member.view.gates["old"].process == member.process)
def adopts_record(system: SystemState, member: Member) -> bool:
    # The member finds its own write in the platform.
    record = member.view.gates["old"]
    if (record.member, record.process) != (member.name, member.process):
        return False
    if (record.epoch, 0) in member.used_gate_epochs:
        return False
    system.make_session(member, (record.epoch, 0), record.server_incarnation)
    return True


@guarded_by(lambda system, member: member.session is not None and not member.session.sealed)
def seals(system: SystemState, member: Member) -> bool:
    # The gate ends a session that is over, so that the unit may be assigned elsewhere.
    session = member.session
    if session is None or session.sealed or not session.over(system.member_now()):
        return False
    member.over = session.seal(system.member_now())
    return True


@guarded_by(lambda system, member: member.over is not None and member.promise is None)
def asks_promise(system: SystemState, member: Member) -> bool:
    # The gate requests the standby's promise and gets it.
    record = member.view.gates["old"]
    if member.over is None or member.promise is not None or not record.standby:
        return False
    standby = system.own_member(record.standby).standby
    _, member.promise = standby.promise(system.member_now(), "old", record.epoch)
    return member.promise is not None


@guarded_by(lambda system, member: member.over is not None)
def moves_lost_unit(system: SystemState, member: Member) -> bool:
    # The gate assigns the unit of the lost server elsewhere.
    record = member.view.gates["old"]
    proofs = owner_proofs(OLD, record, member.over, member.promise, Evidence())
    if not proofs or member.view.units[UNIT].server != "old":
        return False
    changed = changes.with_moves(member.view, {UNIT: "new"}, proofs, "")
    return system.compare_and_swap(changed, member.view.revision)


@guarded_by(lambda system, member: system.budget.releases and member.session is not None)
def releases(system: SystemState, member: Member) -> bool:
    # The gate starts releasing the unit; none of its own requests is in flight.
    session = member.session
    if session is None or session.state is not SessionState.OPEN or UNIT in session.releasing:
        return False
    if UNIT not in session.granted or not system.spend("releases"):
        return False
    session.release(system.member_now(), [UNIT])
    session.released(system.member_now(), lambda unit: 0)
    return True


@guarded_by(lambda system, member: member.session is not None and member.session.revoked)
def reports_release(system: SystemState, member: Member) -> bool:
    # The gate tells the planner that the unit is released.
    if member.session is None:
        return False
    released = member.session.released(system.member_now(), lambda unit: 0)
    if UNIT not in released:
        return False
    before = len(system.released)
    system.released.add((member.session.gate_epoch[0], released[UNIT]))
    return len(system.released) > before


@guarded_by(lambda system, member: member.session is not None and member.session.relinquished)
def reclaims_unit(system: SystemState, member: Member) -> bool:
    # The gate records a new epoch for a released unit that was not assigned elsewhere.
    session = member.session
    if session is None or session.state is not SessionState.OPEN or session.gate_epoch[1]:
        return False
    units = session.needs_regrant(system.member_now(), member.view.units_of("old"))
    if UNIT not in units:
        return False
    proof = SameGate(member.name, member.process)
    try:
        changed = changes.with_regrants(member.view, "old", units, proof, "")
    except InvariantError:
        return False
    if not system.compare_and_swap(changed, member.view.revision):
        return False
    member.view = system.stored
    apply_view(system, member, member.view)
    return True


@guarded_by(lambda system, member: member.session is not None and member.view.gates["old"].standby)
def sends_right(system: SystemState, member: Member) -> bool:
    # The gate sends the standby's running process a right.
    session = member.session
    if session is None or session.state is not SessionState.OPEN or session.gate_epoch[1]:
        return False
    record = member.view.gates["old"]
    if not record.standby or record.epoch != session.gate_epoch[0] or session.sealed:
        return False
    process = system.members[record.standby].process
    right = StandbyRight("old", session.incarnation, record.epoch, process)
    if right in system.rights:
        return False
    system.rights.add(right)
    return True


@guarded_by(lambda system, member: system.rights)
def takes_right(system: SystemState, member: Member) -> bool:
    # A right arrives after any delay.
    held = dict(member.standby.rights)
    for right in sorted(system.rights, key=repr):
        member.standby.on_right(right)
    return member.standby.rights != held


@guarded_by(lambda system, member: member.session is None and member.standby.rights)
def claims_without_write(system: SystemState, member: Member) -> bool:
    # The standby finds the session expired and starts to claim the server.
    if member.session is not None:
        return False
    hello = decode_reply(system.fence.control({"call": "hello"}))
    member.session = member.standby.claim(system.member_now(), hello)
    return member.session is not None


@guarded_by(lambda system, member: system.budget.crashes)
def crashes(system: SystemState, member: Member) -> bool:
    # The member's process crashes, and a new one starts with the view of a peer.
    if not system.spend("crashes"):
        return False
    if member.call is not None and not member.call_arrived:
        system.delayed_calls.append(member.call)
    fresh = system.new_member(
        member.name, member.process_number + 1, system.member_now(), member.view
    )
    system.members[member.name] = fresh
    return True


MEMBER_STEPS = (
    calls_server,
    sends_call,
    call_arrives,
    takes_reply,
    times_out,
    refreshes,
    receives_old_version,
    asks_server,
    takes_over,
    rerecords_gate,
    records_claim,
    loses_answer,
    adopts_record,
    seals,
    asks_promise,
    moves_lost_unit,
    releases,
    reports_release,
    reclaims_unit,
    sends_right,
    takes_right,
    claims_without_write,
    crashes,
)


# The steps of the platform, the planners and the backend server.


@guarded_by(lambda system, _: system.budget.ticks)
def time_passes(system: SystemState) -> bool:
    # One tick passes everywhere.
    if not system.spend("ticks"):
        return False
    system.tick += 1
    system.fence.clock.advance(TICK)
    return True


@guarded_by(lambda system, _: system.delayed_calls)
def delayed_call_arrives(system: SystemState) -> bool:
    # A call arrives after its sender has timed out.
    if not system.delayed_calls:
        return False
    system.fence.control(system.delayed_calls.pop(0))
    return True


@guarded_by(lambda system, _: len(system.delayed_calls) > 1)
def newest_delayed_call_arrives(system: SystemState) -> bool:
    # Calls arrive out of order after their senders have timed out.
    if len(system.delayed_calls) < 2:
        return False
    system.fence.control(system.delayed_calls.pop())
    return True


@guarded_by(lambda system, _: system.budget.restarts)
def server_restarts(system: SystemState) -> bool:
    # The server's process crashes, losing its fence, and a new one starts.
    if not system.spend("restarts"):
        return False
    process_number = int(system.fence.incarnation.split("-")[1]) + 1
    system.fence = Fence("old", f"boot-{process_number}", system.fence.clock)
    system.started = None
    return True


@guarded_by(lambda system, _: system.budget.requests and system.started is None)
def request_starts(system: SystemState) -> bool:
    # A request of the unit is admitted; it takes effect at any later time.
    if system.started is not None or UNIT not in system.fence.grants:
        return False
    gate_epoch, epoch = system.fence.gate_epoch, system.fence.grants[UNIT]
    if system.fence.admit(gate_epoch, UNIT, epoch) or not system.spend("requests"):
        return False
    system.fence.started(UNIT)
    system.started = (gate_epoch, epoch)
    return True


@guarded_by(lambda system, _: system.started)
def request_ends(system: SystemState) -> bool:
    # The request ends.
    if system.started is None:
        return False
    system.fence.ended(UNIT)
    system.started = None
    return True


@guarded_by(lambda system, _: system.released)
def planner_moves(system: SystemState) -> bool:
    # A planner writes the move that a release allows, however old the release is.
    for gate_epoch, epoch in sorted(system.released):
        proof = Released("old", gate_epoch, {UNIT: epoch})
        try:
            changed = changes.with_moves(system.stored, {UNIT: "new"}, [proof], "")
        except InvariantError:
            continue
        return system.compare_and_swap(changed, system.stored.revision)
    return False


@guarded_by(lambda system, _: system.budget.returns)
def unit_returns(system: SystemState) -> bool:
    # The unit moves back from the new owner, which releases it.
    owner = system.stored.units[UNIT]
    if owner.server != "new" or not system.spend("returns"):
        return False
    proof = Released("new", 1, {UNIT: owner.epoch})
    changed = changes.with_moves(system.stored, {UNIT: "old"}, [proof], "")
    return system.compare_and_swap(changed, system.stored.revision)


SYSTEM_STEPS = (
    time_passes,
    delayed_call_arrives,
    newest_delayed_call_arrives,
    server_restarts,
    request_starts,
    request_ends,
    planner_moves,
    unit_returns,
)
