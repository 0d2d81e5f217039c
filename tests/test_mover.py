"""Tests of moves: release before recording, and no gate delays the others."""

import asyncio

from fireflylock.assignment import Assignment, GateRecord, Ownership
from fireflylock.assignment_store import AssignmentStore, StateWriter
from fireflylock.messages import ReleaseRefused, UnitsReleased
from fireflylock.mover import MoveBatch, Mover

SERVERS = ("mesa-01", "mesa-02", "mesa-03")


class FakeWriter(StateWriter):
    """The platform, in memory."""

    def __init__(self) -> None:
        self.revision = 0

    async def write(self, key, data, expected_revision, is_mine, also=None):
        self.revision += 1
        return self.revision

    async def refresh(self, key):
        pass


class SimulatedPlanner:
    """A planner with gates that answer on demand."""

    def __init__(self) -> None:
        self.assignment_store = AssignmentStore("a/", FakeWriter())
        self.requests = {}
        self.mover = Mover(self.assignment_store, self.send)

    def send(self, member, request) -> bool:
        self.requests[request.server] = request
        return True

    async def begin(self) -> None:
        units = {unit: Ownership(SERVERS[unit % 2], 1) for unit in range(4)}
        gates = {name: GateRecord(f"entry-{name}", 1) for name in SERVERS}
        first = Assignment("desk", 4, units, gates=gates)
        await self.assignment_store.update("desk", lambda _present, _change: first)

    async def move_all(self) -> asyncio.Task:
        batch = MoveBatch(moves=dict.fromkeys(range(4), "mesa-03"))
        task = asyncio.create_task(self.mover.apply_batch("desk", batch))
        while len(self.requests) < 2:  # noqa: ASYNC110 - they arrive after a few iterations of the loop.
            await asyncio.sleep(0)
        return task

    def released(self, server: str) -> None:
        request = self.requests[server]
        answer = UnitsReleased(
            "desk", server, request.gate_epoch, request.units, request.change_id
        )
        self.mover.on_released("entry", answer)

    def refused(self, server: str) -> None:
        request = self.requests[server]
        self.mover.on_refused("entry", ReleaseRefused("desk", server, request.change_id, "busy"))

    def owned(self, server: str) -> int:
        return len(self.assignment_store.get("desk").units_of(server))


async def test_moves_are_recorded_only_after_the_release():
    planner = SimulatedPlanner()
    await planner.begin()
    task = await planner.move_all()
    assert planner.owned("mesa-03") == 0
    planner.released("mesa-01")
    planner.released("mesa-02")
    assert await task == 4
    assert planner.owned("mesa-03") == 4


async def test_unresponsive_gate_does_not_delay_the_units_of_others():
    planner = SimulatedPlanner()
    await planner.begin()
    task = await planner.move_all()
    planner.released("mesa-01")
    while planner.owned("mesa-03") == 0:  # noqa: ASYNC110 - no event signals the record.
        await asyncio.sleep(0.001)
    assert not task.done()
    assert planner.owned("mesa-02") == 2
    planner.refused("mesa-02")
    assert await task == 2
    assert planner.mover.moving["desk"] == set()
