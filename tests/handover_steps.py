"""The steps of the hand-over protocol's small world, each at any moment at which it can happen."""

from collections.abc import Callable
from dataclasses import replace

from fireflylock import assignment_changes as changes
from fireflylock.assignment import Assignment, GateRecord
from fireflylock.control_calls import decode_reply
from fireflylock.exceptions import InvariantError
from fireflylock.ownership import Evidence, owner_proofs, takeover_proof
from fireflylock.proofs import GateProof, Released, SameGate, StandbyClaimed
from fireflylock.session import ENDED, SessionState
from fireflylock.standby import StandbyRight
from standins.fence import Fence
from tests.handover_model import OLD, TICK, UNIT, Member, World

Guard = Callable[[World, Member], object]


def when(guard: Guard) -> Callable:
    """Attach a cheap condition to a step, which is checked before the world is copied."""

    def attach(step: Callable) -> Callable:
        step.guard = guard
        return step

    return attach


# The steps of one member.  Each returns whether it could happen.


@when(lambda world, member: member.session is not None and member.call is None)
def calls_server(world: World, member: Member) -> bool:
    # The session makes the calls that are due, and every reply arrives at once.
    made = False
    while (call := member.session.poll(world.member_now())) is not None:
        member.session.on_reply(world.member_now(), call, world.fence.control(call))
        made = True
    return made


@when(lambda world, member: world.budget.slow and member.session and member.call is None)
def sends_call(world: World, member: Member) -> bool:
    # The session makes one call, which takes its time.
    member.call = member.session.poll(world.member_now())
    member.call_arrived = False
    return member.call is not None and world.spend("slow")


@when(lambda world, member: member.call is not None and not member.call_arrived)
def call_arrives(world: World, member: Member) -> bool:
    # The server carries out the member's call.
    member.reply = world.fence.control(member.call)
    member.call_arrived = True
    return True


@when(lambda world, member: member.reply is not None)
def takes_reply(world: World, member: Member) -> bool:
    # The reply arrives at the session.
    member.session.on_reply(world.member_now(), member.call, member.reply)
    member.call = member.reply = None
    return True


@when(lambda world, member: member.call is not None)
def times_out(world: World, member: Member) -> bool:
    # The call fails at the member; unless it arrived, it may arrive at any later time.
    if not member.call_arrived:
        world.strays.append(member.call)
    member.session.on_failure(world.member_now(), member.call)
    member.call = member.reply = None
    return True


@when(lambda world, member: member.view.revision != world.stored.revision)
def refreshes(world: World, member: Member) -> bool:
    # The member reads the platform's newest version.
    if member.view.revision == world.stored.revision:
        return False
    member.view = world.stored
    apply_view(world, member, member.view)
    return True


@when(lambda world, member: world.budget.old_versions and member.session is not None)
def hears_old_version(world: World, member: Member) -> bool:
    # A peer passes on an older version.
    older = world.versions[0]
    if member.session is None or older.revision >= member.view.revision:
        return False
    if not world.spend("old_versions"):
        return False
    apply_view(world, member, older)
    return True


def apply_view(world: World, member: Member, version: Assignment) -> None:
    # Let the member's session take a version's units.
    if member.session is None:
        return
    units = version.units_of("old")
    member.session.set_grants(world.member_now(), units, version.revision)


@when(
    lambda world, member: (
        member.session is None or member.session.sealed or member.session.state in ENDED
    )
)
def asks_server(world: World, member: Member) -> bool:
    # The member, which has no session, asks the server who its gate is.
    record = member.view.gates["old"]
    hello = decode_reply(world.fence.control({"call": "hello"}))
    if not hello.session_expired or hello.gate_epoch[0] > record.epoch:
        return False
    known = member.hello
    member.hello = hello
    return known is None or known.incarnation != hello.incarnation


@when(lambda world, member: world.budget.gate_writes and member.hello is not None)
def takes_over(world: World, member: Member) -> bool:
    # The member records itself as gate in place of another process.
    record = member.view.gates["old"]
    if member.hello is None or (record.member, record.process) == (member.name, member.process):
        return False
    standby = record.standby if record.standby != member.name else ""
    successor = GateRecord(member.name, 0, standby, member.process, member.hello.incarnation)
    evidence = Evidence(processes={name: other.process for name, other in world.members.items()})
    proof = takeover_proof(OLD, record, successor, evidence, member.hello)
    return proof is not None and records_gate(world, member, successor, proof)


@when(lambda world, member: world.budget.gate_writes and member.hello is not None)
def records_again(world: World, member: Member) -> bool:
    # The recorded gate records itself once more, after it sealed or the server restarted.
    record = member.view.gates["old"]
    same = (record.member, record.process) == (member.name, member.process)
    if not same or member.session is None or member.hello is None:
        return False
    successor = replace(record, server_incarnation=member.hello.incarnation)
    return records_gate(world, member, successor, SameGate(member.name, member.process))


@when(
    lambda world, member: (
        world.budget.gate_writes and member.session is not None and member.session.gate_epoch[1]
    )
)
def records_claim(world: World, member: Member) -> bool:
    # The standby records the claim that it made without a write.
    session = member.session
    if session is None or session.gate_epoch[1] != 1 or not session.claimed:
        return False
    successor = GateRecord(member.name, 0, "", member.process, session.incarnation)
    proof = StandbyClaimed("old", session.gate_epoch[0], member.name)
    return records_gate(world, member, successor, proof)


def records_gate(world: World, member: Member, successor: GateRecord, proof: GateProof) -> bool:
    # Write a gate record and open the session that belongs to it.
    if not world.spend("gate_writes"):
        return False
    try:
        changed = changes.with_gate(member.view, "old", successor, proof, "")
    except InvariantError:
        return False
    if not world.compare_and_swap(changed, member.view.revision):
        return False
    member.view = world.stored
    member.hello = None
    world.make_session(member, (world.stored.gates["old"].epoch, 0), successor.server_incarnation)
    return True


@when(lambda world, member: world.budget.lost_writes and member.hello is not None)
def loses_answer(world: World, member: Member) -> bool:
    # The answer to the member's takeover is lost although the write took effect.
    if not world.spend("lost_writes") or not takes_over(world, member):
        return False
    member.view = world.versions[-2]
    member.made.discard(member.session.gate_epoch)
    member.session = None
    return True


@when(lambda world, member: member.view.gates["old"].process == member.process)
def adopts_record(world: World, member: Member) -> bool:
    # The member finds its own write in the platform.
    record = member.view.gates["old"]
    if (record.member, record.process) != (member.name, member.process):
        return False
    if (record.epoch, 0) in member.made:
        return False
    world.make_session(member, (record.epoch, 0), record.server_incarnation)
    return True


@when(lambda world, member: member.session is not None and not member.session.sealed)
def seals(world: World, member: Member) -> bool:
    # The gate ends a session that is over, so that the unit may go elsewhere.
    session = member.session
    if session is None or session.sealed or not session.over(world.member_now()):
        return False
    member.over = session.seal(world.member_now())
    return True


@when(lambda world, member: member.over is not None and member.promise is None)
def asks_promise(world: World, member: Member) -> bool:
    # The gate asks the standby for its promise and gets it.
    record = member.view.gates["old"]
    if member.over is None or member.promise is not None or not record.standby:
        return False
    standby = world.own(record.standby).standby
    _, member.promise = standby.promise(world.member_now(), "old", record.epoch)
    return member.promise is not None


@when(lambda world, member: member.over is not None)
def moves_lost_unit(world: World, member: Member) -> bool:
    # The gate writes the unit of the lost server elsewhere.
    record = member.view.gates["old"]
    proofs = owner_proofs(OLD, record, member.over, member.promise, Evidence())
    if not proofs or member.view.units[UNIT].server != "old":
        return False
    changed = changes.with_moves(member.view, {UNIT: "new"}, proofs, "")
    return world.compare_and_swap(changed, member.view.revision)


@when(lambda world, member: world.budget.releases and member.session is not None)
def releases(world: World, member: Member) -> bool:
    # The gate begins to give the unit up; none of its own requests is in flight.
    session = member.session
    if session is None or session.state is not SessionState.OPEN or UNIT in session.releasing:
        return False
    if UNIT not in session.granted or not world.spend("releases"):
        return False
    session.release(world.member_now(), [UNIT])
    session.released(world.member_now(), lambda unit: 0)
    return True


@when(lambda world, member: member.session is not None and member.session.revoked)
def reports_release(world: World, member: Member) -> bool:
    # The gate tells the planner that the unit is released.
    if member.session is None:
        return False
    released = member.session.released(world.member_now(), lambda unit: 0)
    if UNIT not in released:
        return False
    before = len(world.released)
    world.released.add((member.session.gate_epoch[0], released[UNIT]))
    return len(world.released) > before


@when(lambda world, member: member.session is not None and member.session.gave_up)
def takes_back(world: World, member: Member) -> bool:
    # The gate gives a released unit that nobody took a new epoch.
    session = member.session
    if session is None or session.state is not SessionState.OPEN or session.gate_epoch[1]:
        return False
    units = session.needs_regrant(world.member_now(), member.view.units_of("old"))
    if UNIT not in units:
        return False
    proof = SameGate(member.name, member.process)
    try:
        changed = changes.with_regrants(member.view, "old", units, proof, "")
    except InvariantError:
        return False
    if not world.compare_and_swap(changed, member.view.revision):
        return False
    member.view = world.stored
    apply_view(world, member, member.view)
    return True


@when(lambda world, member: member.session is not None and member.view.gates["old"].standby)
def hands_right(world: World, member: Member) -> bool:
    # The gate sends the standby's running process a right.
    session = member.session
    if session is None or session.state is not SessionState.OPEN or session.gate_epoch[1]:
        return False
    record = member.view.gates["old"]
    if not record.standby or record.epoch != session.gate_epoch[0] or session.sealed:
        return False
    process = world.members[record.standby].process
    right = StandbyRight("old", session.incarnation, record.epoch, process)
    if right in world.rights:
        return False
    world.rights.add(right)
    return True


@when(lambda world, member: world.rights)
def takes_right(world: World, member: Member) -> bool:
    # A right arrives, however late.
    held = dict(member.standby.rights)
    for right in sorted(world.rights, key=repr):
        member.standby.on_right(right)
    return member.standby.rights != held


@when(lambda world, member: member.session is None and member.standby.rights)
def claims_without_write(world: World, member: Member) -> bool:
    # The standby finds the session expired and begins to claim the server.
    if member.session is not None:
        return False
    hello = decode_reply(world.fence.control({"call": "hello"}))
    member.session = member.standby.claim(world.member_now(), hello)
    return member.session is not None


@when(lambda world, member: world.budget.crashes)
def crashes(world: World, member: Member) -> bool:
    # The member's process is lost, and a new one starts with what a peer knows.
    if not world.spend("crashes"):
        return False
    if member.call is not None and not member.call_arrived:
        world.strays.append(member.call)
    fresh = world.new_member(member.name, member.life + 1, world.member_now(), member.view)
    world.members[member.name] = fresh
    return True


MEMBER_STEPS = (
    calls_server,
    sends_call,
    call_arrives,
    takes_reply,
    times_out,
    refreshes,
    hears_old_version,
    asks_server,
    takes_over,
    records_again,
    records_claim,
    loses_answer,
    adopts_record,
    seals,
    asks_promise,
    moves_lost_unit,
    releases,
    reports_release,
    takes_back,
    hands_right,
    takes_right,
    claims_without_write,
    crashes,
)


# The steps of the platform, the planners and the backend server.


@when(lambda world, _: world.budget.ticks)
def time_passes(world: World) -> bool:
    # One tick passes everywhere.
    if not world.spend("ticks"):
        return False
    world.tick += 1
    world.fence.clock.advance(TICK)
    return True


@when(lambda world, _: world.strays)
def stray_arrives(world: World) -> bool:
    # A call whose sender gave it up arrives after all.
    if not world.strays:
        return False
    world.fence.control(world.strays.pop(0))
    return True


@when(lambda world, _: len(world.strays) > 1)
def later_stray_arrives(world: World) -> bool:
    # Calls whose senders gave them up arrive in another order.
    if len(world.strays) < 2:
        return False
    world.fence.control(world.strays.pop())
    return True


@when(lambda world, _: world.budget.restarts)
def server_restarts(world: World) -> bool:
    # The server's process is lost with its fence, and a new one starts.
    if not world.spend("restarts"):
        return False
    life = int(world.fence.incarnation.split("-")[1]) + 1
    world.fence = Fence("old", f"boot-{life}", world.fence.clock)
    world.started = None
    return True


@when(lambda world, _: world.budget.requests and world.started is None)
def request_starts(world: World) -> bool:
    # A request of the unit is admitted; it takes effect at any later time.
    if world.started is not None or UNIT not in world.fence.grants:
        return False
    gate_epoch, epoch = world.fence.gate_epoch, world.fence.grants[UNIT]
    if world.fence.admit(gate_epoch, UNIT, epoch) or not world.spend("requests"):
        return False
    world.fence.started(UNIT)
    world.started = (gate_epoch, epoch)
    return True


@when(lambda world, _: world.started)
def request_ends(world: World) -> bool:
    # The request ends.
    if world.started is None:
        return False
    world.fence.ended(UNIT)
    world.started = None
    return True


@when(lambda world, _: world.released)
def planner_moves(world: World) -> bool:
    # A planner writes the move for which it holds a release, however old.
    for gate_epoch, epoch in sorted(world.released):
        proof = Released("old", gate_epoch, {UNIT: epoch})
        try:
            changed = changes.with_moves(world.stored, {UNIT: "new"}, [proof], "")
        except InvariantError:
            continue
        return world.compare_and_swap(changed, world.stored.revision)
    return False


@when(lambda world, _: world.budget.returns)
def unit_returns(world: World) -> bool:
    # The unit moves back from the new owner, which releases it.
    owner = world.stored.units[UNIT]
    if owner.server != "new" or not world.spend("returns"):
        return False
    proof = Released("new", 1, {UNIT: owner.epoch})
    changed = changes.with_moves(world.stored, {UNIT: "old"}, [proof], "")
    return world.compare_and_swap(changed, world.stored.revision)


WORLD_STEPS = (
    time_passes,
    stray_arrives,
    later_stray_arrives,
    server_restarts,
    request_starts,
    request_ends,
    planner_moves,
    unit_returns,
)
