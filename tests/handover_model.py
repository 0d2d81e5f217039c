"""A small world for exploring every order of events of the hand-over protocol.

The decision modules that ship are driven, with one contested unit of backend server ``old``.
Its other place, ``new``, is taken to run work from the very moment that the platform names it,
and ``old`` is taken to run work whenever its fence would let any request take effect, which is
stricter than any real order of requests.  Entry VMs have fast clocks and ``old`` has a slow one,
at the assumed bound of the drift.  Whoever is not picked for a step is paused.
"""

from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any

from fireflylock import assignment_changes as changes
from fireflylock.assignment import Assignment, GateRecord
from fireflylock.clock import FakeClock
from fireflylock.control_calls import ControlReply
from fireflylock.fenced_session import FencedSession
from fireflylock.model import BackendServer
from fireflylock.proofs import (
    SessionEnded,
    StandbyPromise,
)
from fireflylock.session import SessionTiming
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
    over: SessionEnded | None = None
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
