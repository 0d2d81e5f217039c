"""Tests of cut-off zones: gates stand down, a witness marks the zone, units are reassigned."""

from dataclasses import dataclass, field
from datetime import timedelta
from types import SimpleNamespace

from fireflylock.assignment import Assignment, GateRecord, Ownership
from fireflylock.assignment_store import AssignmentStore, StateWriter
from fireflylock.clock import FakeClock
from fireflylock.exceptions import PlatformError, VersionConflictError
from fireflylock.freshness import PlatformFreshness
from fireflylock.messages import Heartbeat, WitnessQuestion, WitnessWord
from fireflylock.model import BackendServer, Configuration, CutZonePolicy, Service
from fireflylock.ownership import Evidence
from fireflylock.session import SessionTiming
from fireflylock.zone_watch import SILENCE_BEFORE_MARK, STARTUP_QUIET_PERIOD, ZoneWatch

SECOND = timedelta(seconds=1)
SERVICE = Service(
    "club-app",
    checks_grants=True,
    cut_zone_policy=CutZonePolicy.MOVE,
    move_after=timedelta(seconds=30),
    hash_slots=4,
)
INSIDE = BackendServer("club-01", "club-app", "vm-1", "za-a", "127.0.0.1", 1)
OUTSIDE = BackendServer("club-02", "club-app", "vm-2", "za-b", "127.0.0.1", 2)
CONFIGURATION = Configuration(
    1, services={"club-app": SERVICE}, servers={"club-01": INSIDE, "club-02": OUTSIDE}
)


class MemoryWriter(StateWriter):
    """The platform in memory; it can be made unavailable."""

    def __init__(self) -> None:
        self.unavailable = False
        self.revision = 0

    async def write(self, key, data, expected_revision, is_mine, also=None):
        if self.unavailable:
            raise PlatformError("unavailable")
        if expected_revision != self.revision:
            raise VersionConflictError(key, expected_revision)
        self.revision += 1
        return self.revision

    async def refresh(self, key):
        if self.unavailable:
            raise PlatformError("unavailable")


@dataclass
class ZoneWatchHarness:
    """A ZoneWatch of one entry VM with fakes of what it uses."""

    me: str
    clock: FakeClock = field(default_factory=FakeClock)
    silent: set = field(default_factory=set)
    age: timedelta | None = timedelta(0)
    sent: list = field(default_factory=list)
    reassigned: list = field(default_factory=list)
    gates: dict = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.writer = MemoryWriter()
        self.assignment_store = AssignmentStore("a/", self.writer)
        self.watch = ZoneWatch(
            SimpleNamespace(me=self.me, gates=self.gates, timing=SessionTiming()),
            self.assignment_store,
            SimpleNamespace(
                is_zone_silent=lambda zone: zone in self.silent,
                planner_of=lambda _service: self.me,
                candidates=lambda _configuration: [
                    SimpleNamespace(name="entry-2", zone="za-b"),
                    SimpleNamespace(name="entry-1", zone="za-a"),
                ],
            ),
            SimpleNamespace(reassign=self.reassign),
            Evidence,
            lambda: CONFIGURATION,
            lambda: self.age,
            lambda to, message: self.sent.append((to, message)) or True,
            self.clock,
        )

    async def reassign(self, service, server, proofs):
        self.reassigned.append((server, proofs[0]))

    async def create_assignment(self, **changes) -> None:
        units = {unit: Ownership("club-01", 1) for unit in range(4)}
        gates = {name: GateRecord("entry-1", 1) for name in CONFIGURATION.servers}
        first = Assignment("club-app", 4, units, gates=gates, **changes)
        await self.assignment_store.update("club-app", lambda _present, _change: first)

    async def advance_and_check(self, after: timedelta) -> None:
        self.clock.advance(after)
        await self.watch.check_zones()

    @property
    def assignment(self) -> Assignment:
        return self.assignment_store.get("club-app")


async def test_each_zone_gets_a_witness_in_another_zone():
    harness = ZoneWatchHarness("entry-2")
    await harness.create_assignment()
    await harness.advance_and_check(SECOND)
    assert harness.assignment.witnesses == {"za-a": "entry-2", "za-b": "entry-1"}


async def test_a_silent_zone_is_marked_and_its_units_are_reassigned_after_the_wait():
    harness = ZoneWatchHarness("entry-2")
    await harness.create_assignment(witnesses={"za-a": "entry-2", "za-b": "entry-1"})
    await harness.advance_and_check(SECOND)
    harness.silent = {"za-a"}
    await harness.advance_and_check(SECOND)
    assert harness.assignment.cut_zones == {}
    await harness.advance_and_check(SILENCE_BEFORE_MARK)
    assert "za-a" in harness.assignment.cut_zones
    await harness.advance_and_check(SERVICE.move_after)
    assert harness.reassigned == []
    await harness.advance_and_check(SECOND)
    assert [server for server, _ in harness.reassigned] == ["club-01"]
    harness.silent = set()
    await harness.advance_and_check(SECOND)
    assert harness.assignment.cut_zones == {}


async def test_a_witness_does_not_vouch_once_it_may_have_marked():
    harness = ZoneWatchHarness("entry-2")
    await harness.create_assignment(witnesses={"za-a": "entry-2", "za-b": "entry-1"})
    question = WitnessQuestion("club-app", "za-a", 1)
    await harness.advance_and_check(STARTUP_QUIET_PERIOD / 2)
    harness.watch.on_question("entry-1", question)
    assert harness.sent == []
    await harness.advance_and_check(STARTUP_QUIET_PERIOD)
    harness.watch.on_question("entry-1", question)
    assert harness.sent == [("entry-1", WitnessWord("club-app", "za-a", 1))]
    harness.silent = {"za-a"}
    harness.writer.unavailable = True
    await harness.advance_and_check(SECOND)
    await harness.advance_and_check(SILENCE_BEFORE_MARK)
    harness.watch.on_question("entry-1", question)
    assert len(harness.sent) == 1
    assert harness.reassigned == []


class FakeGate(SimpleNamespace):
    """The part of a gate that ZoneWatch uses."""

    def stand_down(self, due: bool) -> None:
        self.stood_down = due


async def test_a_gate_stands_down_unless_the_platform_or_the_witness_vouches():
    harness = ZoneWatchHarness("entry-1")
    await harness.create_assignment(witnesses={"za-a": "entry-2"})
    gate = harness.gates["club-01"] = FakeGate(service=SERVICE, server=INSIDE, stood_down=False)
    harness.watch.check_gates()
    assert not gate.stood_down
    harness.clock.advance(SERVICE.move_after - SECOND)
    harness.age = SERVICE.move_after - SECOND
    harness.watch.check_gates()
    assert not gate.stood_down
    to, question = harness.sent[-1]
    assert to == "entry-2"
    harness.clock.advance(SECOND)
    harness.watch.on_witness_word("entry-2", WitnessWord("club-app", "za-a", question.number))
    harness.age = SERVICE.move_after
    harness.watch.check_gates()
    assert not gate.stood_down
    harness.clock.advance(SERVICE.move_after)
    harness.age = 2 * SERVICE.move_after
    harness.watch.check_gates()
    assert gate.stood_down
    harness.age = timedelta(0)
    harness.watch.check_gates()
    assert not gate.stood_down


async def test_a_marked_zone_is_not_vouched_for_by_the_platform():
    harness = ZoneWatchHarness("entry-1")
    await harness.create_assignment(witnesses={"za-a": "entry-2"}, cut_zones={"za-a": 1}, marks=1)
    gate = harness.gates["club-01"] = FakeGate(service=SERVICE, server=INSIDE, stood_down=False)
    harness.watch.check_gates()
    assert gate.stood_down


def heartbeat(revision: int) -> Heartbeat:
    return Heartbeat(
        incarnation=2,
        refutation=0,
        reading_us=0,
        echo_incarnation=1,
        echo_us=1_000_000,
        platform_age_ms=0,
        digest=0,
        state_revision=revision,
    )


def test_a_platform_age_counts_only_for_a_state_that_is_held_here():
    freshness = PlatformFreshness()
    freshness.hear(2 * SECOND, heartbeat(revision=8), own_incarnation=1, own_revision=7)
    assert freshness.read_at is None
    freshness.hear(2 * SECOND, heartbeat(revision=7), own_incarnation=1, own_revision=7)
    assert freshness.read_at == SECOND
