"""A small world for exploring every order of events of the hand-over protocol.

The decision modules that ship are driven, with one contested unit of backend server ``old``.
Its other place, ``new``, is taken to run work from the very moment that the platform names it,
and ``old`` is taken to run work whenever its fence would let any request take effect, which is
stricter than any real order of requests.  Entry VMs have fast clocks and ``old`` has a slow one,
at the assumed bound of the drift.  Whoever is not picked for a step is paused.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any

from fireflylock import assignment_changes as changes
from fireflylock.assignment import Assignment, GateRecord
from fireflylock.clock import FakeClock
from fireflylock.control_calls import ControlReply, decode_reply
from fireflylock.exceptions import InvariantError
from fireflylock.fenced_session import FencedSession
from fireflylock.model import BackendServer
from fireflylock.ownership import Evidence, owner_proofs, takeover_proof
from fireflylock.proofs import (
    GateProof,
    Released,
    SameGate,
    SessionOver,
    StandbyClaimed,
    StandbyPromise,
)
from fireflylock.session import ENDED, SessionState, SessionTiming
from fireflylock.standby import Standby, StandbyRight
from standins.fence import Fence

TICK = timedelta(seconds=1)
DRIFT = 0.25
MEMBER_TICK = TICK * (1 + DRIFT)
# Chosen so that a wait which forgets the drift ends one tick early.
TIMING = SessionTiming(ttl=2.2 * TICK, renew_every=TICK / 2, call_timeout=TICK, drift=DRIFT)

UNIT = 0
OLD = BackendServer("old", "desk", "vm-old", "zone", "127.0.0.1", 1)


@dataclass
class Member:
    """One entry VM: its running process and all that the process remembers."""

    name: str
    standby: Standby
    view: Assignment
    life: int = 1
    session: FencedSession | None = None
    made: set[tuple[int, int]] = field(default_factory=set)
    call: dict | None = None
    call_arrived: bool = False
    reply: dict | None = None
    hello: ControlReply | None = None
    over: SessionOver | None = None
    promise: StandbyPromise | None = None

    @property
    def process(self) -> str:
        """The running process."""
        return f"{self.name}-{self.life}"


@dataclass(frozen=True)
class Budget:
    """How many faults of each kind an exploration may use, and how far it goes in time."""

    ticks: int = 6
    crashes: int = 0
    restarts: int = 0
    slow: int = 0
    gate_writes: int = 0
    lost_writes: int = 0
    old_versions: int = 0
    requests: int = 0
    returns: int = 0
    releases: int = 0


class World:
    """All processes, the platform's value and the messages on their way.

    Parameters
    ----------
    members : str
        One letter per entry VM; ``A`` is the recorded gate with an open session.
    standby : str
        The recorded standby, or empty.
    budget : Budget
        Faults that may still happen.
    silence : int
        Ticks that pass before the first step.
    """

    def __init__(self, members: str, standby: str, budget: Budget, silence: int = 0) -> None:
        self.tick = 0
        self.budget = budget
        self.fence = Fence("old", "boot-1", FakeClock())
        first = changes.initial("desk", 1, {UNIT: "old"})
        first = changes.with_gate(
            first, "old", GateRecord("A", 0, standby, "A-1", "boot-1"), None, ""
        )
        first = changes.with_gate(first, "new", GateRecord("N", 0), None, "")
        self.stored = replace(first, revision=1)
        self.versions = [self.stored]
        self.released: set[tuple[int, int]] = set()
        self.rights: set[StandbyRight] = set()
        self.strays: list[dict] = []
        self.started: tuple[tuple[int, int], int] | None = None
        self.members = {}
        for name in members:
            self.members[name] = self.new_member(name, 1, -10 * TICK, self.stored)
        self.open_first_session()
        self.tick = silence
        self.fence.clock.advance(silence * TICK)

    def open_first_session(self) -> None:
        """Let the recorded gate claim the server before the exploration begins."""
        gate = self.members["A"]
        self.make_session(gate, (1, 0), "boot-1")
        while (call := gate.session.poll(self.member_now())) is not None:
            gate.session.on_reply(self.member_now(), call, self.fence.control(call))

    def new_member(self, name: str, life: int, started_at: timedelta, view: Assignment) -> Member:
        """Return a member's new process."""
        standby = Standby(name, f"{name}-{life}", started_at, TIMING)
        return Member(name, standby, view, life)

    def member_now(self) -> timedelta:
        """Return the reading of the members' clocks."""
        return 100 * TICK + self.tick * MEMBER_TICK

    def clone(self, name: str) -> "World":
        """Return a copy; of the members, only the named one is independent of this world's."""
        other = shallow(self)
        other.fence = shallow(self.fence)
        other.fence.clock = FakeClock(self.fence.clock.reading)
        other.fence.grants = dict(self.fence.grants)
        other.fence.released = dict(self.fence.released)
        other.fence.running = self.fence.running.copy()
        other.versions = list(self.versions)
        other.released = set(self.released)
        other.rights = set(self.rights)
        other.strays = list(self.strays)
        other.members = dict(self.members)
        if name:
            other.own(name)
        return other

    def own(self, name: str) -> Member:
        """Make a member independent of the world that this one was copied from."""
        self.members[name] = clone_member(self.members[name])
        return self.members[name]

    def key(self) -> tuple:
        """Return a value that is equal for worlds that behave alike."""
        fence = self.fence
        return (
            self.tick,
            self.budget,
            fence.incarnation,
            fence.gate_epoch,
            fence.expiry,
            tuple(fence.grants.items()),
            tuple(fence.released.items()),
            self.started,
            tuple((version.revision, version.units[UNIT]) for version in self.versions),
            self.stored.gates["old"],
            frozenset(self.released),
            frozenset(self.rights),
            tuple(repr(call) for call in self.strays),
            tuple(member_key(member) for member in self.members.values()),
        )

    def violation(self) -> str:
        """Return which rule is broken, or an empty string."""
        owner = self.stored.units[UNIT]
        if owner.server != "old" and self.old_can_run():
            return "The new owner is recorded while the old one can still run work."
        if self.fence.grants.get(UNIT, 0) > owner.epoch:
            return "An epoch was granted before it was recorded."
        return ""

    def old_can_run(self) -> bool:
        """Return whether any request of the unit could take effect on ``old`` now."""
        if self.fence.clock.elapsed() >= self.fence.expiry:
            return False
        if UNIT in self.fence.grants:
            return True
        if self.started is None:
            return False
        gate_epoch, unit_epoch = self.started
        return self.fence.check_effect(gate_epoch, UNIT, unit_epoch) is None

    def steps(self) -> Iterator[tuple[str, "World"]]:
        """Yield every possible next step and the world after it."""
        for name in self.members:
            for step in MEMBER_STEPS:
                if not step.guard(self, self.members[name]):
                    continue
                after = self.clone(name)
                if step(after, after.members[name]):
                    yield f"{name} {step.__name__}", after
        for step in WORLD_STEPS:
            if not step.guard(self, None):
                continue
            after = self.clone("")
            if step(after):
                yield step.__name__, after

    # Helpers of the steps.

    def spend(self, kind: str) -> bool:
        """Take one fault of `kind` out of the budget, or return False."""
        left = getattr(self.budget, kind)
        if left == 0:
            return False
        self.budget = replace(self.budget, **{kind: left - 1})
        return True

    def compare_and_swap(self, changed: Assignment, expected: int) -> bool:
        """Write to the platform unless somebody else wrote since `expected`."""
        if expected != self.stored.revision:
            return False
        self.stored = replace(changed, revision=expected + 1)
        self.versions.append(self.stored)
        return True

    def make_session(self, member: Member, gate_epoch: tuple[int, int], incarnation: str) -> None:
        """Give the member a new session; a process makes only one per gate epoch."""
        member.session = FencedSession("old", gate_epoch, TIMING, self.member_now(), incarnation)
        member.made.add(gate_epoch)
        member.over = member.promise = None
        member.call = member.reply = None
        view = member.view
        member.session.set_grants(self.member_now(), view.units_of("old"), view.revision)


def shallow(thing: Any) -> Any:
    """Return a new object with the same attributes."""
    other = object.__new__(type(thing))
    other.__dict__.update(thing.__dict__)
    return other


def clone_member(member: Member) -> Member:
    """Return an independent copy of a member."""
    other = shallow(member)
    other.made = set(member.made)
    other.standby = shallow(member.standby)
    other.standby.rights = dict(member.standby.rights)
    other.standby.promised = dict(member.standby.promised)
    other.standby.claimed = dict(member.standby.claimed)
    if member.session is not None:
        session = shallow(member.session)
        session.lease = shallow(session.lease)
        for name in ("wanted", "granted", "releasing", "gave_up", "release_began", "revoked"):
            setattr(session, name, dict(getattr(session, name)))
        session.idle = set(session.idle)
        other.session = session
    return other


def member_key(member: Member) -> tuple:
    """Return a value that is equal for members that behave alike."""
    session = member.session
    session_key: tuple = ()
    if session is not None:
        session_key = (
            session.gate_epoch,
            session.state,
            session.claimed,
            session.sealed,
            session.incarnation,
            session.reading,
            session.lease.over_at,
            session.sendable_until,
            session.next_call_at,
            session.renew_at,
            tuple(session.wanted.items()),
            tuple(session.granted.items()),
            tuple(session.releasing.items()),
            tuple(session.gave_up.items()),
            tuple(session.release_began.items()),
            tuple(session.revoked.items()),
        )
    hello = member.hello
    return (
        member.process,
        member.view.revision,
        session_key,
        repr(member.call),
        member.call_arrived,
        repr(member.reply),
        hello and (hello.incarnation, hello.gate_epoch),
        member.over,
        member.promise,
        tuple(member.standby.rights.items()),
        tuple(member.standby.promised.items()),
        tuple(member.standby.claimed.items()),
        member.standby.promises_from,
    )


Guard = Callable[["World", Member], object]


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


@dataclass(frozen=True)
class Exploration:
    """What an exploration found.

    Attributes
    ----------
    worlds : int
        Different worlds that were reached.
    complete : bool
        Whether every reachable world within the budget was visited.
    violation : str
        The first broken rule, or empty.
    trace : tuple of str
        The steps that led to it; a shortest one.
    reached : frozenset of str
        Names of the steps that happened somewhere.
    """

    worlds: int
    complete: bool
    violation: str = ""
    trace: tuple[str, ...] = ()
    reached: frozenset[str] = frozenset()


def explore(first: World, limit: int) -> Exploration:
    """Visit every world that can be reached from `first`, breadth first, up to `limit`."""
    seen = {first.key()}
    layer: list[tuple[World, tuple]] = [(first, ())]
    reached = set()
    while layer:
        following = []
        for world, trace in layer:
            for name, after in world.steps():
                key = after.key()
                if key in seen:
                    continue
                seen.add(key)
                reached.add(name.split()[-1])
                path = (trace, name)
                violation = after.violation()
                if violation:
                    return Exploration(
                        len(seen), False, violation, unfold(path), frozenset(reached)
                    )
                following.append((after, path))
            if len(seen) >= limit:
                return Exploration(len(seen), False, reached=frozenset(reached))
        layer = following
    return Exploration(len(seen), True, reached=frozenset(reached))


def unfold(path: tuple) -> tuple[str, ...]:
    """Return the steps of a nested trace in order."""
    steps = []
    while path:
        path, step = path
        steps.append(step)
    return tuple(reversed(steps))
