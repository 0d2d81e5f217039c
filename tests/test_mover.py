"""Tests of moves: release first, then the record, and no gate holds up the others."""

import asyncio

from fireflylock.assignment import Assignment, GateRecord, Ownership
from fireflylock.assignment_store import AssignmentStore, StateWriter
from fireflylock.messages import ReleaseRefused, UnitsReleased
from fireflylock.mover import MoveBatch, Mover

SERVERS = ("mesa-01", "mesa-02", "mesa-03")


class Writer(StateWriter):
    """The platform, in memory."""

    def __init__(self) -> None:
        self.revision = 0

    async def write(self, key, data, expected_revision, is_mine, also=None):
        self.revision += 1
        return self.revision

    async def refresh(self, key):
        pass


class World:
    """A planner and gates that answer when they are told to."""

    def __init__(self) -> None:
        self.assignment_store = AssignmentStore("a/", Writer())
        self.questions = {}
        self.mover = Mover(self.assignment_store, self.send)

    def send(self, member, question) -> bool:
        self.questions[question.server] = question
        return True

    async def begin(self) -> None:
        units = {unit: Ownership(SERVERS[unit % 2], 1) for unit in range(4)}
        gates = {name: GateRecord(f"entry-{name}", 1) for name in SERVERS}
        first = Assignment("desk", 4, units, gates=gates)
        await self.assignment_store.update("desk", lambda _present, _change: first)

    async def move_all(self) -> asyncio.Task:
        batch = MoveBatch(moves=dict.fromkeys(range(4), "mesa-03"))
        task = asyncio.create_task(self.mover.apply_batch("desk", batch))
        while len(self.questions) < 2:  # noqa: ASYNC110 - it is there after a few turns.
            await asyncio.sleep(0)
        return task

    def released(self, server: str) -> None:
        question = self.questions[server]
        answer = UnitsReleased(
            "desk", server, question.gate_epoch, question.units, question.change_id
        )
        self.mover.on_released("entry", answer)

    def refused(self, server: str) -> None:
        question = self.questions[server]
        self.mover.on_refused("entry", ReleaseRefused("desk", server, question.change_id, "busy"))

    def owned(self, server: str) -> int:
        return len(self.assignment_store.get("desk").units_of(server))


async def test_units_are_recorded_only_after_their_release():
    world = World()
    await world.begin()
    task = await world.move_all()
    assert world.owned("mesa-03") == 0
    world.released("mesa-01")
    world.released("mesa-02")
    assert await task == 4
    assert world.owned("mesa-03") == 4


async def test_a_gate_that_does_not_answer_holds_up_nobody_else():
    world = World()
    await world.begin()
    task = await world.move_all()
    world.released("mesa-01")
    while world.owned("mesa-03") == 0:  # noqa: ASYNC110 - no event tells of the record.
        await asyncio.sleep(0.001)
    assert not task.done()
    assert world.owned("mesa-02") == 2
    world.refused("mesa-02")
    assert await task == 2
    assert world.mover.moving["desk"] == set()
