"""Tests of releases: a gate releases only units under epochs that the planner knows."""

import asyncio
from collections import Counter
from datetime import timedelta
from types import SimpleNamespace

from fireflylock.assignment import Assignment, GateRecord, Ownership
from fireflylock.clock import FakeClock
from fireflylock.messages import ReleaseRefused, ReleaseUnits, UnitsReleased
from fireflylock.releases import ReleaseHandler
from fireflylock.session import SessionTiming, UncheckedSession

EPOCHS = {0: 1, 1: 4, 2: 1}


class GateSetup:
    """One open gate of a server that owns three units."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.running: Counter[int] = Counter()
        self.session = UncheckedSession("mesa-01", (3, 0), SessionTiming(), timedelta(0))
        self.session.set_grants(timedelta(0), EPOCHS)
        units = {unit: Ownership("mesa-01", epoch) for unit, epoch in EPOCHS.items()}
        assignment = Assignment("desk", 3, units, gates={"mesa-01": GateRecord("entry-1", 3)})
        gate = SimpleNamespace(
            session=self.session,
            open=True,
            release=lambda units: self.session.release(self.clock.elapsed(), units),
            released=lambda: self.session.released(self.clock.elapsed(), self.running.__getitem__),
        )
        self.sent = []
        self.releases = ReleaseHandler(
            SimpleNamespace(me="entry-1", gates={"mesa-01": gate}),
            SimpleNamespace(get=lambda _service: assignment),
            None,
            lambda to, message: self.sent.append(message),
            self.clock,
        )

    async def ask(self, units: dict[int, int]):
        self.releases.on_release("p", ReleaseUnits("desk", "mesa-01", 3, units, "change"))
        for _ in range(3000):
            if self.sent:
                break
            await asyncio.sleep(0)
            self.clock.advance(timedelta(milliseconds=5))
        return self.sent[-1]


async def test_a_planner_with_an_older_assignment_cannot_release_units_under_newer_epochs():
    setup = GateSetup()
    reply = await setup.ask({0: 1, 1: 3})
    assert isinstance(reply, UnitsReleased)
    assert reply.units == {0: 1}
    assert setup.session.may_send(timedelta(0), 1, 4)


async def test_a_busy_unit_does_not_delay_the_others():
    setup = GateSetup()
    setup.running[2] = 1
    reply = await setup.ask({0: 1, 2: 1})
    assert reply.units == {0: 1}
    assert setup.clock.elapsed() < timedelta(seconds=1)


async def test_units_that_are_not_held_at_all_are_refused_at_once():
    setup = GateSetup()
    reply = await setup.ask({1: 3})
    assert isinstance(reply, ReleaseRefused)
    assert setup.clock.elapsed() < timedelta(milliseconds=100)
