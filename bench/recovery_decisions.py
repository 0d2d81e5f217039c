"""The shipping decisions as a policy of the recovery benchmark."""

from dataclasses import replace
from datetime import timedelta

from bench.recovery_fleet import MEMBER_ZONES, Fleet, Order, Policy
from bench.recovery_zones import ZoneWatch
from fireflylock import assignment_changes as changes
from fireflylock.assignment import Assignment, GateRecord
from fireflylock.clock import Instant
from fireflylock.control_calls import ControlReply, decode_reply
from fireflylock.fenced_session import FencedSession
from fireflylock.gate_election import Candidate, decide_gate
from fireflylock.idempotency import Entry, IdempotencyWindow, Run, StoredResponse
from fireflylock.membership_timing import DEFAULT_TIMING as MEMBERSHIP
from fireflylock.model import BackendServer
from fireflylock.ownership import Evidence, owner_proofs, takeover_proof
from fireflylock.proofs import HandedOver, Released, SessionEnded, StandbyPromise
from fireflylock.session import SessionState, SessionTiming
from fireflylock.standby import Standby, StandbyRight

TIMING = SessionTiming()

ANSWER = StoredResponse(201, [], b"")

# A membership verdict takes the silence, one more heartbeat for the second opinion, and a tick.
LOSS_NOTICED = MEMBERSHIP.suspect_after + MEMBERSHIP.heartbeat + MEMBERSHIP.tick


class SimulatedMember:
    """What one entry VM remembers under the shipping decisions."""

    def __init__(self, name: str, zone: str, now: Instant) -> None:
        self.name = name
        self.zone = zone
        self.process = f"{name}-1"
        self.stopping = False
        self.view: Assignment | None = None
        self.sessions: dict[str, FencedSession] = {}
        self.over: dict[str, SessionEnded] = {}
        self.heard: dict[str, Instant] = {}
        self.standby = Standby(name, self.process, now - TIMING.ttl * 2, TIMING)


class Fireflylock(Policy):
    """The shipping decision modules.

    Parameters
    ----------
    move_after : timedelta or None
        When a cut zone stands down; None holds its units.
    """

    def __init__(self, move_after: timedelta | None = None) -> None:
        super().__init__()
        self.move_after = move_after
        self.window = IdempotencyWindow()
        self.entries: dict[int, Entry] = {}
        self.handed_over: dict[str, HandedOver] = {}
        self.drained: set[str] = set()

    def start(self, fleet: Fleet) -> None:
        """Record owners, gates and standbys, and open every session."""
        self.members = {
            name: SimulatedMember(name, zone, fleet.now()) for name, zone in MEMBER_ZONES.items()
        }
        self.described = {
            name: BackendServer(name, "desk", f"vm-{name}", server.zone, "", 1)
            for name, server in fleet.servers.items()
        }
        first = changes.initial("desk", len(fleet.initial_owners()), fleet.initial_owners())
        for name, server in self.described.items():
            choice = decide_gate(server, None, self.candidates(list(self.members)))
            process = self.members[choice.gate].process
            record = GateRecord(choice.gate, 0, choice.standby, process, "boot-1")
            first = changes.with_gate(first, name, record, None, "")
        for zone in set(MEMBER_ZONES.values()):
            outside = [name for name, place in MEMBER_ZONES.items() if place != zone]
            first = changes.with_witness(first, zone, max(outside), None, "")
        self.stored = replace(first, revision=1)
        self.zones = None if self.move_after is None else ZoneWatch(self, self.move_after, TIMING)
        for member in self.members.values():
            member.view = self.stored
            member.heard = dict.fromkeys(self.members, fleet.now())
            for name in self.described:
                if self.is_mine(member, name):
                    self.open(member, name)

    def candidates(self, names: list[str]) -> list[Candidate]:
        """Return members as candidates for gates."""
        return [Candidate(name, MEMBER_ZONES[name]) for name in names]

    def is_mine(self, member: SimulatedMember, server: str) -> bool:
        """Return whether a member's process is the recorded gate of a server."""
        record = member.view.gates[server]
        return (record.member, record.process) == (member.name, member.process)

    def open(self, member: SimulatedMember, server: str) -> None:
        """Open the session of a gate record and make its first calls."""
        record = member.view.gates[server]
        session = FencedSession(
            server, (record.epoch, 0), TIMING, self.fleet.now(), record.server_incarnation
        )
        member.sessions[server] = session
        self.give_units(member, server)
        self.converse(member, session)

    def give_units(self, member: SimulatedMember, server: str) -> None:
        """Tell a session the units of the member's version of the assignment."""
        units = member.view.units_of(server)
        member.sessions[server].set_grants(self.fleet.now(), units, member.view.revision)

    def write(self, member: SimulatedMember, changed: Assignment) -> bool:
        """Write by compare-and-swap, which is one call of the platform."""
        if not self.fleet.platform_reachable(member.zone):
            return False
        self.fleet.platform_calls += 1
        if member.view.revision != self.stored.revision:
            return False
        self.stored = replace(changed, revision=self.stored.revision + 1)
        self.refresh(member)
        return True

    def refresh(self, member: SimulatedMember) -> None:
        """Let a member take the newest version."""
        member.view = self.stored
        for server in list(member.sessions):
            if self.is_mine(member, server) or member.sessions[server].gate_epoch[1]:
                self.give_units(member, server)
            else:
                member.sessions.pop(server).close(self.fleet.now())

    def act(self, member: str) -> None:
        """Hear from peers, renew sessions, and take over what is lost."""
        acting = self.members[member]
        now = self.fleet.now()
        for name, zone in MEMBER_ZONES.items():
            if self.fleet.live(name) and self.fleet.reaches(zone, acting.zone):
                acting.heard[name] = now
        newer = acting.view.revision < self.stored.revision
        if newer and self.fleet.platform_reachable(acting.zone):
            self.refresh(acting)
        if self.zones is not None:
            self.zones.watch(acting)
        for server in self.described:
            if server in acting.sessions:
                self.keep(acting, server)
            elif not acting.stopping:
                self.look(acting, server)

    def alive(self, member: SimulatedMember) -> list[str]:
        """Return the members that are not known to be lost or stopping."""
        now = self.fleet.now()
        return [
            name
            for name, heard in member.heard.items()
            if now - heard < LOSS_NOTICED and not self.members[name].stopping
        ]

    def converse(self, member: SimulatedMember, session: FencedSession) -> None:
        """Make the control calls that are due."""
        server = self.fleet.servers[session.server]
        now = self.fleet.now()
        reachable = server.answers and self.fleet.reaches(member.zone, server.zone)
        if session.outstanding_encoded is not None:
            if now - session.sent_at >= TIMING.call_timeout:
                session.on_failure(now, session.outstanding_encoded)
            return
        while (call := session.poll(now)) is not None:
            if not reachable:
                return
            session.on_reply(now, call, server.fence.control(call))

    def keep(self, member: SimulatedMember, server: str) -> None:
        """Renew a session, report releases, and give up a server that is over."""
        session = member.sessions[server]
        now = self.fleet.now()
        if self.zones is not None and self.zones.is_stood_down(member, self.zone_of(server)):
            return
        self.converse(member, session)
        if member.stopping:
            self.hand_over(member, server)
            return
        if session.gate_epoch[1] == 0:
            self.hand_right(member, session)
        if server in self.drained:
            self.move_released(member, server)
        wanted = member.view.units_of(server)
        if not wanted or not session.over(now):
            return
        if not self.fleet.platform_reachable(member.zone):
            return
        if server not in member.over:
            member.over[server] = session.seal(now)
        self.move_lost(member, server)

    def hand_right(self, member: SimulatedMember, session: FencedSession) -> None:
        """Send the standby its right with the heartbeat."""
        record = member.view.gates[session.server]
        if session.state is not SessionState.OPEN or record.standby not in self.alive(member):
            return
        standby = self.members[record.standby]
        standby.standby.on_right(
            StandbyRight(session.server, session.incarnation, record.epoch, standby.process)
        )

    def move_lost(self, member: SimulatedMember, server: str) -> None:
        """Write the units of a lost server to others."""
        record = member.view.gates[server]
        promise = self.ask_promise(member, server, record)
        described = self.described[server]
        proofs = owner_proofs(described, record, member.over[server], promise, Evidence())
        if proofs:
            self.spread(member, server, proofs)

    def ask_promise(
        self, member: SimulatedMember, server: str, record: GateRecord
    ) -> StandbyPromise | None:
        """Return the promise of a standby that can be reached."""
        if record.standby not in self.alive(member):
            return None
        standby = self.members[record.standby].standby
        return standby.promise(self.fleet.now(), server, record.epoch)[1]

    def spread(self, member: SimulatedMember, server: str, proofs: list) -> None:
        """Write the units of `server` to the servers that are left, in turn."""
        units = sorted(member.view.units_of(server))
        left = [name for name in self.described if name != server and name not in self.drained]
        left = [name for name in left if self.fleet.reaches(member.zone, self.zone_of(name))]
        moves = {unit: left[place % len(left)] for place, unit in enumerate(units)}
        self.write(member, changes.with_moves(member.view, moves, proofs, ""))

    def zone_of(self, server: str) -> str:
        """Return a backend server's zone."""
        return self.described[server].zone

    def look(self, member: SimulatedMember, server: str) -> None:
        """Take over a server whose gate is lost or handed it over."""
        record = member.view.gates[server]
        alive = self.alive(member)
        handed_over = self.handed_over.get(server)
        if record.member in alive and handed_over is None:
            return
        choice = decide_gate(self.described[server], None, self.candidates(alive))
        away = not self.fleet.platform_reachable(member.zone)
        if member.name not in (choice.gate, record.standby):
            return
        hello = self.ask_server(member, server)
        if hello is None:
            return
        if away:
            self.claim_without_write(member, hello)
            return
        if member.name != choice.gate:
            return
        successor = GateRecord(member.name, 0, choice.standby, member.process, hello.incarnation)
        proof = takeover_proof(
            self.described[server], record, successor, Evidence(), hello, handed_over
        )
        if proof is None:
            return
        if self.write(member, changes.with_gate(member.view, server, successor, proof, "")):
            self.handed_over.pop(server, None)
            self.open(member, server)

    def ask_server(self, member: SimulatedMember, server: str) -> ControlReply | None:
        """Return a server's answer to a hello, or None."""
        found = self.fleet.servers[server]
        if not found.answers or not self.fleet.reaches(member.zone, found.zone):
            return None
        return decode_reply(found.fence.control({"call": "hello"}))

    def claim_without_write(self, member: SimulatedMember, hello: ControlReply) -> None:
        """Claim a server as its standby while the platform is away."""
        session = member.standby.claim(self.fleet.now(), hello)
        if session is not None:
            member.sessions[hello.name] = session
            self.converse(member, session)

    def move_released(self, member: SimulatedMember, server: str) -> None:
        """Release the units of a draining server a few at a time, and write the moves."""
        session = member.sessions[server]
        in_flight = [order.unit for order in self.fleet.servers[server].orders]
        if not session.releasing:
            session.release(self.fleet.now(), sorted(session.granted)[:4])
        done = session.released(self.fleet.now(), in_flight.count)
        if done and len(done) == len(session.releasing):
            proof = Released(server, session.gate_epoch[0], done)
            left = [name for name in self.described if name not in self.drained]
            moves = {unit: left[unit % len(left)] for unit in done}
            self.write(member, changes.with_moves(member.view, moves, [proof], ""))

    def hand_over(self, member: SimulatedMember, server: str) -> None:
        """Hand a server over once none of its orders is in flight."""
        session = member.sessions[server]
        if any(
            order.grant[0] == session.gate_epoch for order in self.fleet.servers[server].orders
        ):
            return
        session.close(self.fleet.now())
        self.handed_over[server] = HandedOver(server, session.gate_epoch[0])
        del member.sessions[server]

    def route(self, unit: int, from_zone: str) -> tuple[str, tuple] | None:
        """Return the owner and grant, through the gate that may send to it now."""
        for member in self.members.values():
            if not self.fleet.live(member.name) or not self.fleet.reaches(from_zone, member.zone):
                continue
            ownership = member.view.units[unit]
            session = member.sessions.get(ownership.server)
            if session is None:
                continue
            if not self.fleet.reaches(member.zone, self.zone_of(ownership.server)):
                continue
            if session.may_send(self.fleet.now(), unit, ownership.epoch):
                return ownership.server, (session.gate_epoch, ownership.epoch)
        return None

    def may_run(self, order: Order) -> bool:
        """Return whether the window lets an order run; it remembers the order then."""
        decision = self.window.begin(
            self.fleet.now(),
            self.fleet.clock.now(),
            "desk",
            order.unit,
            "",
            str(order.number),
            b"",
        )
        if isinstance(decision, Run):
            self.entries[order.number] = decision.entry
        return isinstance(decision, Run)

    def settle(self, order: Order, ran: bool | None) -> None:
        """Settle an order in the window."""
        entry = self.entries.pop(order.number)
        if ran is False:
            self.window.abandon(entry)
        else:
            self.window.finish(self.fleet.now(), entry, ANSWER if ran else None)

    def stop(self, member: str) -> None:
        """Begin the graceful stop of a member."""
        self.members[member].stopping = True

    def drain(self, server: str) -> None:
        """Begin to drain a backend server."""
        self.drained.add(server)
