"""Tests of zones that are cut off: gates stand down, a witness marks, units move in time."""

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
from fireflylock.zone_watch import QUIET_AFTER_START, SILENT_BEFORE_MARK, ZoneWatch

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
    """The platform in memory; it can be away."""

    def __init__(self) -> None:
        self.away = False
        self.revision = 0

    async def write(self, key, data, expected_revision, is_mine, also=None):
        if self.away:
            raise PlatformError("away")
        if expected_revision != self.revision:
            raise VersionConflictError(key, expected_revision)
        self.revision += 1
        return self.revision

    async def refresh(self, key):
        if self.away:
            raise PlatformError("away")


@dataclass
class World:
    """One entry VM's surroundings, as far as cut zones matter."""

    me: str
    clock: FakeClock = field(default_factory=FakeClock)
    silent: set = field(default_factory=set)
    age: timedelta | None = timedelta(0)
    sent: list = field(default_factory=list)
    moved: list = field(default_factory=list)
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
        self.moved.append((server, proofs[0]))

    async def begin(self, **changes) -> None:
        units = {unit: Ownership("club-01", 1) for unit in range(4)}
        gates = {name: GateRecord("entry-1", 1) for name in CONFIGURATION.servers}
        first = Assignment("club-app", 4, units, gates=gates, **changes)
        await self.assignment_store.update("club-app", lambda _present, _change: first)

    async def look(self, after: timedelta) -> None:
        self.clock.advance(after)
        await self.watch.look_at_zones()

    @property
    def assignment(self) -> Assignment:
        return self.assignment_store.get("club-app")


async def test_each_zone_gets_a_witness_in_another_zone():
    world = World("entry-2")
    await world.begin()
    await world.look(SECOND)
    assert world.assignment.witnesses == {"za-a": "entry-2", "za-b": "entry-1"}


async def test_a_silent_zone_is_marked_and_its_units_move_only_after_the_wait():
    world = World("entry-2")
    await world.begin(witnesses={"za-a": "entry-2", "za-b": "entry-1"})
    await world.look(SECOND)
    world.silent = {"za-a"}
    await world.look(SECOND)
    assert world.assignment.cut_zones == {}
    await world.look(SILENT_BEFORE_MARK)
    assert "za-a" in world.assignment.cut_zones
    await world.look(SERVICE.move_after)
    assert world.moved == []
    await world.look(SECOND)
    assert [server for server, _ in world.moved] == ["club-01"]
    world.silent = set()
    await world.look(SECOND)
    assert world.assignment.cut_zones == {}


async def test_a_witness_gives_no_word_once_it_may_have_marked():
    world = World("entry-2")
    await world.begin(witnesses={"za-a": "entry-2", "za-b": "entry-1"})
    question = WitnessQuestion("club-app", "za-a", 1)
    await world.look(QUIET_AFTER_START / 2)
    world.watch.on_question("entry-1", question)
    assert world.sent == []
    await world.look(QUIET_AFTER_START)
    world.watch.on_question("entry-1", question)
    assert world.sent == [("entry-1", WitnessWord("club-app", "za-a", 1))]
    world.silent = {"za-a"}
    world.writer.away = True
    await world.look(SECOND)
    await world.look(SILENT_BEFORE_MARK)
    world.watch.on_question("entry-1", question)
    assert len(world.sent) == 1
    assert world.moved == []


class Gate(SimpleNamespace):
    """As much of a gate as stands down."""

    def stand_down(self, due: bool) -> None:
        self.stood_down = due


async def test_a_gate_stands_down_unless_the_platform_or_the_witness_vouches():
    world = World("entry-1")
    await world.begin(witnesses={"za-a": "entry-2"})
    gate = world.gates["club-01"] = Gate(service=SERVICE, server=INSIDE, stood_down=False)
    world.watch.look_at_gates()
    assert not gate.stood_down
    world.clock.advance(SERVICE.move_after - SECOND)
    world.age = SERVICE.move_after - SECOND
    world.watch.look_at_gates()
    assert not gate.stood_down
    to, question = world.sent[-1]
    assert to == "entry-2"
    world.clock.advance(SECOND)
    world.watch.on_word("entry-2", WitnessWord("club-app", "za-a", question.number))
    world.age = SERVICE.move_after
    world.watch.look_at_gates()
    assert not gate.stood_down
    world.clock.advance(SERVICE.move_after)
    world.age = 2 * SERVICE.move_after
    world.watch.look_at_gates()
    assert gate.stood_down
    world.age = timedelta(0)
    world.watch.look_at_gates()
    assert not gate.stood_down


async def test_a_marked_zone_is_not_vouched_for_by_the_platform():
    world = World("entry-1")
    await world.begin(witnesses={"za-a": "entry-2"}, cut_zones={"za-a": 1}, marks=1)
    gate = world.gates["club-01"] = Gate(service=SERVICE, server=INSIDE, stood_down=False)
    world.watch.look_at_gates()
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


def test_an_age_vouches_only_for_a_state_that_is_held_here():
    freshness = PlatformFreshness()
    freshness.hear(2 * SECOND, heartbeat(revision=8), own_incarnation=1, own_revision=7)
    assert freshness.read_at is None
    freshness.hear(2 * SECOND, heartbeat(revision=7), own_incarnation=1, own_revision=7)
    assert freshness.read_at == SECOND
