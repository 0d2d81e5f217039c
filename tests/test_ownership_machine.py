"""Stateful test of ownership with several servers and gates, checked after every step."""

from dataclasses import replace
from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fireflylock import assignment_changes as changes
from fireflylock.assignment import GateRecord
from fireflylock.clock import FakeClock
from fireflylock.control_calls import decode_reply
from fireflylock.exceptions import InvariantError
from fireflylock.fenced_session import FencedSession
from fireflylock.model import BackendServer
from fireflylock.ownership import Evidence, owner_proofs, takeover_proof
from fireflylock.proofs import Released, SameGate
from fireflylock.session import SessionTiming, UncheckedSession
from standins.fence import Fence

DRIFT = 0.1
TIMING = SessionTiming(drift=DRIFT)
MAX_DEADLINE = timedelta(seconds=2)

SERVERS = ("s0", "s1", "s2")
MEMBERS = ("a", "b", "c")
UNITS = range(4)

# Rates of the clocks, at both ends of the allowed difference.
RATES = {"s0": 1.0, "s1": 1 + DRIFT, "s2": 1.0, "a": 1 + DRIFT, "b": 1.0, "c": 1 + DRIFT}

servers = st.sampled_from(SERVERS)
members = st.sampled_from(MEMBERS)
units = st.sampled_from(UNITS)


class OwnershipMachine(RuleBasedStateMachine):
    """Three backend servers, three entry VMs, planners with outdated views, and faults."""

    checks = True

    @initialize()
    def start(self):
        self.clocks = {name: FakeClock(timedelta(hours=1)) for name in RATES}
        self.fences = {name: Fence(name, "1", self.clocks[name], self.checks) for name in SERVERS}
        self.process_numbers = dict.fromkeys(MEMBERS, 1)
        stored = changes.initial("desk", len(UNITS), dict.fromkeys(UNITS, "s0"))
        for server, member in zip(SERVERS, MEMBERS, strict=True):
            record = GateRecord(member, 0, "", f"{member}1", "1")
            stored = changes.with_gate(stored, server, record, None, "")
        self.stored = replace(stored, revision=1)
        self.views = dict.fromkeys(MEMBERS, self.stored)
        self.sessions = {}
        self.delayed_calls = []
        self.released = []
        self.running = []
        for server, member in zip(SERVERS, MEMBERS, strict=True):
            self.open(member, server)
            self.work(member, server, "answered")

    def now(self, name):
        return self.clocks[name].elapsed()

    def process(self, member):
        return f"{member}{self.process_numbers[member]}"

    def write(self, member, changed):
        """Write by compare-and-swap; the member applies what it wrote."""
        if self.views[member].revision != self.stored.revision:
            return False
        self.stored = replace(changed, revision=self.stored.revision + 1)
        self.views[member] = self.stored
        return True

    def open(self, member, server):
        """Open the member's session for the gate record that it wrote."""
        view = self.views[member]
        record = view.gates[server]
        epoch = (record.epoch, 0)
        if self.checks:
            session = FencedSession(
                server, epoch, TIMING, self.now(member), record.server_incarnation
            )
        else:
            quiet = self.now(member) + MAX_DEADLINE * (1 + DRIFT)
            session = UncheckedSession(server, epoch, TIMING, self.now(member), quiet)
        self.sessions[member, server] = session
        session.set_grants(self.now(member), view.units_of(server), view.revision)

    @rule(milliseconds=st.sampled_from([1, 50, 300, 700, 3000]))
    def time_passes(self, milliseconds):
        for name, rate in RATES.items():
            self.clocks[name].advance(timedelta(milliseconds=milliseconds) * rate)
        for run in [run for run in self.running if self.now(run[0]) >= run[5]]:
            self.end(run)

    @rule(member=members, server=servers, how=st.sampled_from(["answered", "late", "lost"]))
    def work(self, member, server, how):
        session = self.sessions.get((member, server))
        if session is None:
            return
        while (call := session.poll(self.now(member))) is not None:
            if how == "late":
                self.delayed_calls.append((server, call))
                session.on_failure(self.now(member), call)
                return
            reply = self.fences[server].control(call)
            if how == "lost":
                session.on_failure(self.now(member), call)
                return
            session.on_reply(self.now(member), call, reply)

    @rule(place=st.integers(0, 3))
    def delayed_call_arrives(self, place):
        if place < len(self.delayed_calls):
            server, call = self.delayed_calls.pop(place)
            self.fences[server].control(call)

    @rule(member=members)
    def refresh(self, member):
        self.views[member] = view = self.stored
        for (holder, server), session in self.sessions.items():
            if holder == member:
                session.set_grants(self.now(member), view.units_of(server), view.revision)

    @rule(member=members, server=servers, unit=units)
    def release(self, member, server, unit):
        session = self.sessions.get((member, server))
        if session is not None:
            session.release(self.now(member), [unit])

    @rule(member=members, server=servers)
    def report(self, member, server):
        session = self.sessions.get((member, server))
        if session is None:
            return
        in_flight = [run[1] for run in self.running if (run[3], run[0]) == (member, server)]
        done = session.released(self.now(member), in_flight.count)
        if done:
            self.released.append(Released(server, session.gate_epoch[0], done))

    @rule(member=members, taker=servers, place=st.integers(0, 5))
    def plan(self, member, taker, place):
        if place >= len(self.released):
            return
        proof = self.released[place]
        moves = dict.fromkeys(proof.units, taker)
        try:
            changed = changes.with_moves(self.views[member], moves, [proof], "")
        except InvariantError:
            return
        if self.write(member, changed):
            self.refresh(member)

    @rule(member=members, server=servers)
    def reclaim_units(self, member, server):
        session = self.sessions.get((member, server))
        view = self.views[member]
        record = view.gates[server]
        if session is None or record.epoch != session.gate_epoch[0]:
            return
        due = session.needs_regrant(self.now(member), view.units_of(server))
        if due and record.process == self.process(member):
            proof = SameGate(member, self.process(member))
            if self.write(member, changes.with_regrants(view, server, due, proof, "")):
                self.refresh(member)

    @rule(member=members, server=servers)
    def take_over(self, member, server):
        view = self.views[member]
        record = view.gates[server]
        hello = None
        if self.checks:
            hello = decode_reply(self.fences[server].control({"call": "hello"}))
        incarnation = hello.incarnation if hello else "1"
        successor = GateRecord(member, 0, "", self.process(member), incarnation)
        processes = {name: self.process(name) for name in MEMBERS}
        proof = takeover_proof(
            BackendServer(server, "desk", f"vm-{server}", "", "", 1),
            record,
            successor,
            Evidence(processes=processes),
            hello,
        )
        if proof is None or (isinstance(proof, SameGate) and not self.checks):
            return
        if self.write(member, changes.with_gate(view, server, successor, proof, "")):
            self.open(member, server)

    @rule(member=members, server=servers, taker=servers)
    def recover_units(self, member, server, taker):
        session = self.sessions.get((member, server))
        view = self.views[member]
        if session is None or not session.over(self.now(member)):
            return
        over = session.seal(self.now(member))
        proofs = owner_proofs(
            BackendServer(server, "desk", f"vm-{server}", "", "", 1),
            view.gates[server],
            over,
            None,
            Evidence(),
        )
        if proofs:
            moves = dict.fromkeys(view.units_of(server), taker)
            if self.write(member, changes.with_moves(view, moves, proofs, "")):
                self.refresh(member)

    @rule(member=members)
    def crash(self, member):
        self.process_numbers[member] += 1
        for holder, server in list(self.sessions):
            if holder == member:
                del self.sessions[holder, server]

    @rule(server=servers)
    def restart(self, server):
        """Restart the server, which loses its fence and its requests."""
        incarnation = str(int(self.fences[server].incarnation) + 1)
        self.fences[server] = Fence(server, incarnation, self.clocks[server], self.checks)
        self.running = [run for run in self.running if run[0] != server]

    @rule(member=members, server=servers, unit=units)
    def send(self, member, server, unit):
        session = self.sessions.get((member, server))
        if session is None:
            return
        epoch = session.granted.get(unit, 0)
        if not session.may_send(self.now(member), unit, epoch):
            return
        fence = self.fences[server]
        if fence.admit(session.gate_epoch, unit, epoch) is None:
            fence.started(unit)
            deadline = self.now(server) + MAX_DEADLINE
            run = (server, unit, epoch, member, session.gate_epoch, deadline)
            self.running.append(run)

    @rule(place=st.integers(0, 3))
    def end_one(self, place):
        if place < len(self.running):
            self.end(self.running[place])

    def end(self, run):
        self.running.remove(run)
        self.fences[run[0]].ended(run[1])

    @invariant()
    def only_the_owner_can_execute_requests(self):
        for server, unit, epoch, _, gate_epoch, _ in getattr(self, "running", ()):
            if self.fences[server].check_effect(gate_epoch, unit, epoch) is None:
                assert self.stored.units[unit].server == server
        for server, fence in getattr(self, "fences", {}).items():
            for unit, epoch in fence.grants.items():
                if fence.admit(fence.gate_epoch, unit, epoch) is None:
                    assert self.stored.units[unit].server == server


class UncheckedOwnershipMachine(OwnershipMachine):
    """The same with backend servers that do not check grants."""

    checks = False


TestChecked = OwnershipMachine.TestCase
TestUnchecked = UncheckedOwnershipMachine.TestCase
TestChecked.settings = TestUnchecked.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None
)
