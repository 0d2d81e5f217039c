"""State of the model for exploring every order of events of the handover protocol.

The model runs the production decision modules for one contested unit of backend server ``old``.
The other server, ``new``, counts as running requests as soon as the platform records it as the
owner, and ``old`` whenever its fence would let any request take effect, which is stricter than
any real order of requests.  Entry VMs have fast clocks and ``old`` has a slow one, at the
assumed bound of the drift.  Processes that are not picked for a step are paused.
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
# With this TTL, a wait that ignores the drift ends one tick early.
TIMING = SessionTiming(ttl=2.2 * TICK, renew_every=TICK / 2, call_timeout=TICK, drift=DRIFT)

UNIT = 0
OLD = BackendServer("old", "desk", "vm-old", "zone", "127.0.0.1", 1)


@dataclass
class Member:
    """One entry VM: its running process and the state of that process."""

    name: str
    standby: Standby
    view: Assignment
    process_number: int = 1
    session: FencedSession | None = None
    used_gate_epochs: set[tuple[int, int]] = field(default_factory=set)
    call: dict | None = None
    call_arrived: bool = False
    reply: dict | None = None
    hello: ControlReply | None = None
    over: SessionEnded | None = None
    promise: StandbyPromise | None = None

    @property
    def process(self) -> str:
        """Id of the running process."""
        return f"{self.name}-{self.process_number}"


@dataclass(frozen=True)
class Budget:
    """Maximum number of faults of each kind, and of ticks, in an exploration."""

    ticks: int = 6
    crashes: int = 0
    restarts: int = 0
    slow_calls: int = 0
    gate_writes: int = 0
    lost_writes: int = 0
    old_versions: int = 0
    requests: int = 0
    returns: int = 0
    releases: int = 0


class SystemState:
    """State of all processes, of the platform and of the messages in transit.

    Parameters
    ----------
    members : str
        One letter per entry VM; ``A`` is the recorded gate with an open session.
    standby : str
        The recorded standby, or empty.
    budget : Budget
        Faults that may still happen.
    silent_ticks : int
        Ticks that pass before the first step.
    """

    def __init__(self, members: str, standby: str, budget: Budget, silent_ticks: int = 0) -> None:
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
        self.delayed_calls: list[dict] = []
        self.started: tuple[tuple[int, int], int] | None = None
        self.members = {}
        for name in members:
            self.members[name] = self.new_member(name, 1, -10 * TICK, self.stored)
        self.open_first_session()
        self.tick = silent_ticks
        self.fence.clock.advance(silent_ticks * TICK)

    def open_first_session(self) -> None:
        """Let the recorded gate claim the server before the exploration begins."""
        gate = self.members["A"]
        self.make_session(gate, (1, 0), "boot-1")
        while (call := gate.session.poll(self.member_now())) is not None:
            gate.session.on_reply(self.member_now(), call, self.fence.control(call))

    def new_member(
        self, name: str, process_number: int, started_at: timedelta, view: Assignment
    ) -> Member:
        """Return a member with a new process."""
        standby = Standby(name, f"{name}-{process_number}", started_at, TIMING)
        return Member(name, standby, view, process_number)

    def member_now(self) -> timedelta:
        """Return the current time of the members' clocks."""
        return 100 * TICK + self.tick * MEMBER_TICK

    def clone(self, name: str) -> "SystemState":
        """Return a copy that shares all members with this state except the named one."""
        other = shallow(self)
        other.fence = shallow(self.fence)
        other.fence.clock = FakeClock(self.fence.clock.reading)
        other.fence.grants = dict(self.fence.grants)
        other.fence.released = dict(self.fence.released)
        other.fence.running = self.fence.running.copy()
        other.versions = list(self.versions)
        other.released = set(self.released)
        other.rights = set(self.rights)
        other.delayed_calls = list(self.delayed_calls)
        other.members = dict(self.members)
        if name:
            other.own_member(name)
        return other

    def own_member(self, name: str) -> Member:
        """Replace a member by a copy that is not shared with the original state."""
        self.members[name] = clone_member(self.members[name])
        return self.members[name]

    def key(self) -> tuple:
        """Return a value that is equal for equivalent states."""
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
            tuple(repr(call) for call in self.delayed_calls),
            tuple(member_key(member) for member in self.members.values()),
        )

    def violation(self) -> str:
        """Return the violated invariant, or an empty string."""
        owner = self.stored.units[UNIT]
        if owner.server != "old" and self.old_can_run():
            return "The new owner is recorded while the old one can still run requests."
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

    # Methods for the steps.

    def spend(self, kind: str) -> bool:
        """Take one fault of `kind` from the budget, or return False."""
        left = getattr(self.budget, kind)
        if left == 0:
            return False
        self.budget = replace(self.budget, **{kind: left - 1})
        return True

    def compare_and_swap(self, changed: Assignment, expected: int) -> bool:
        """Write to the platform unless its revision is not `expected`."""
        if expected != self.stored.revision:
            return False
        self.stored = replace(changed, revision=expected + 1)
        self.versions.append(self.stored)
        return True

    def make_session(self, member: Member, gate_epoch: tuple[int, int], incarnation: str) -> None:
        """Open a new session of the member; a process opens only one per gate epoch."""
        member.session = FencedSession("old", gate_epoch, TIMING, self.member_now(), incarnation)
        member.used_gate_epochs.add(gate_epoch)
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
    other.used_gate_epochs = set(member.used_gate_epochs)
    other.standby = shallow(member.standby)
    other.standby.rights = dict(member.standby.rights)
    other.standby.promised = dict(member.standby.promised)
    other.standby.claimed = dict(member.standby.claimed)
    if member.session is not None:
        session = shallow(member.session)
        session.lease = shallow(session.lease)
        for name in (
            "wanted",
            "granted",
            "releasing",
            "relinquished",
            "release_started_at",
            "revoked",
        ):
            setattr(session, name, dict(getattr(session, name)))
        session.idle_units = set(session.idle_units)
        other.session = session
    return other


def member_key(member: Member) -> tuple:
    """Return a value that is equal for equivalent members."""
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
            tuple(session.relinquished.items()),
            tuple(session.release_started_at.items()),
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
        member.standby.no_promise_before,
    )
