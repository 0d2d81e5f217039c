"""Tests of the copies of the idempotency window at the standby."""

import asyncio
from datetime import timedelta

import pytest

from fireflylock.assignment import GateRecord
from fireflylock.clock import FakeClock
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.idempotency import IdempotencyWindow, Run, StoredResponse, WindowLimits
from fireflylock.idempotency_windows import IdempotencyWindows, WindowBounds
from fireflylock.messages import WindowAck, WindowCopy
from fireflylock.model import Service
from fireflylock.window_replication import (
    COMPLETENESS_TTL,
    ReplicaStore,
    ReplicationSender,
    ReplicationTarget,
)

SERVICE, SERVER, UNIT, EPOCH, GATE_EPOCH = "desk", "mesa-01", 3, 5, 7


# Bound on the difference between clocks, as the settings give it by default.
DRIFT = 0.001


class Pair:
    """A gate and its standby, with a link that can lose messages."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.window = IdempotencyWindow()
        self.units = {UNIT: EPOCH}
        self.cut = False
        self.replica_store = self.new_holder()
        self.sender = ReplicationSender(
            ReplicationTarget(SERVICE, SERVER, GATE_EPOCH, "entry-2"),
            self.window,
            lambda: self.units,
            lambda _units: self.window.export(self.clock.elapsed()),
            self.deliver,
            self.clock,
            DRIFT,
        )

    def new_holder(self) -> ReplicaStore:
        return ReplicaStore(lambda _service: WindowLimits(), self.deliver, self.clock)

    def deliver(self, to, message) -> bool:
        if self.cut:
            return True
        if isinstance(message, WindowCopy):
            self.replica_store.on_copy("entry-1", message)
        elif isinstance(message, WindowAck):
            asyncio.get_running_loop().call_soon(self.sender.on_ack, message)
        return True

    def order(self, name: str):
        decision = self.window.begin(
            self.clock.elapsed(), self.clock.now(), SERVICE, UNIT, "molino", name, b"f"
        )
        assert isinstance(decision, Run)
        return decision.entry

    def known(self) -> set[str]:
        """Return the orders that the standby would know after a takeover."""
        replica = self.replica_store.replicas[SERVER]
        return {entry.identity[2] for entry in replica.window.entries.values()}


async def test_an_order_may_go_only_when_the_standby_knows_it_and_all_before():
    pair = Pair()
    old = pair.order("old")
    pair.window.finish(pair.clock.elapsed(), old, StoredResponse(200, [], b"done"))
    await pair.sender.begin(pair.order("new"), UNIT, EPOCH)
    assert pair.known() == {"old", "new"}
    replica = pair.replica_store.pop_if_complete(SERVER, GATE_EPOCH)
    assert replica is not None
    assert replica.units == {UNIT: EPOCH}
    assert pair.replica_store.pop_if_complete(SERVER, GATE_EPOCH) is None


async def test_without_an_acknowledgement_the_order_is_not_run():
    pair = Pair()
    await pair.sender.begin(pair.order("before"), UNIT, EPOCH)
    pair.cut = True
    with pytest.raises(RequestError) as caught:
        await pair.sender.begin(pair.order("lost"), UNIT, EPOCH)
    assert caught.value.kind is ErrorKind.MOVED
    assert caught.value.not_run


async def test_a_standby_that_restarted_is_told_everything_again_before_the_next_order():
    pair = Pair()
    await pair.sender.begin(pair.order("one"), UNIT, EPOCH)
    pair.replica_store = pair.new_holder()
    with pytest.raises(RequestError):
        await pair.sender.begin(pair.order("two"), UNIT, EPOCH)
    assert pair.replica_store.replicas == {}
    await pair.sender.begin(pair.order("three"), UNIT, EPOCH)
    assert {"one", "three"} <= pair.known()


async def test_a_unit_that_comes_back_is_copied_again():
    # It was served elsewhere in between; what was copied before is not all there is.
    pair = Pair()
    await pair.sender.begin(pair.order("one"), UNIT, EPOCH)
    pair.units = {UNIT: EPOCH + 2}
    elsewhere = pair.order("elsewhere")
    pair.window.finish(pair.clock.elapsed(), elsewhere, None)
    await pair.sender.begin(pair.order("two"), UNIT, EPOCH + 2)
    assert pair.known() == {"one", "elsewhere", "two"}
    assert pair.replica_store.replicas[SERVER].units == {UNIT: EPOCH + 2}


async def test_units_with_an_unknown_past_are_not_called_complete():
    pair = Pair()
    pair.window.mark_lost(pair.clock.elapsed(), pair.clock.now(), [UNIT])
    await pair.sender.sync(UNIT, EPOCH)
    assert pair.replica_store.replicas[SERVER].units == {}


async def test_copies_of_an_earlier_gate_epoch_are_ignored():
    pair = Pair()
    await pair.sender.begin(pair.order("one"), UNIT, EPOCH)
    late = WindowCopy(SERVICE, SERVER, GATE_EPOCH - 1, 1, True, 0, {UNIT: EPOCH}, [])
    pair.replica_store.on_copy("entry-0", late)
    assert pair.replica_store.replicas[SERVER].gate_epoch == GATE_EPOCH
    assert pair.replica_store.pop_if_complete(SERVER, GATE_EPOCH - 1) is None


async def test_a_settled_order_needs_no_acknowledgement():
    pair = Pair()
    entry = pair.order("one")
    await pair.sender.begin(entry, UNIT, EPOCH)
    pair.window.finish(pair.clock.elapsed(), entry, StoredResponse(201, [], b"sacks"))
    pair.sender.settle(entry)
    pair.clock.advance(timedelta(seconds=1))
    held = pair.replica_store.replicas[SERVER].window.entries[SERVICE, "molino", "one"]
    assert held.response == StoredResponse(201, [], b"sacks")


async def test_a_gate_goes_on_alone_only_when_the_standby_knows_that_it_may_miss_orders():
    pair = Pair()
    await pair.sender.begin(pair.order("before"), UNIT, EPOCH)
    pair.cut = True
    pair.clock.advance(COMPLETENESS_TTL)
    with pytest.raises(RequestError):
        await pair.sender.begin(pair.order("too early"), UNIT, EPOCH)
    pair.clock.advance(COMPLETENESS_TTL / 100)
    await pair.sender.begin(pair.order("alone"), UNIT, EPOCH)
    assert pair.replica_store.pop_if_complete(SERVER, GATE_EPOCH) is None


async def test_refreshing_keeps_the_copies_complete_without_orders():
    pair = Pair()
    await pair.sender.begin(pair.order("one"), UNIT, EPOCH)
    for _ in range(10):
        pair.clock.advance(COMPLETENESS_TTL / 2)
        pair.sender.extend_lease()
        await asyncio.sleep(0)
    assert pair.replica_store.pop_if_complete(SERVER, GATE_EPOCH) is not None


async def test_a_late_message_does_not_make_old_copies_complete_again():
    pair = Pair()
    await pair.sender.begin(pair.order("one"), UNIT, EPOCH)
    held_back = pair.sender.message(0, {}, [])
    pair.clock.advance(2 * COMPLETENESS_TTL)
    pair.replica_store.on_copy("entry-1", held_back)
    assert pair.replica_store.pop_if_complete(SERVER, GATE_EPOCH) is None


def test_the_copies_lease_counts_with_the_drift_of_the_settings():
    sent = []
    windows = IdempotencyWindows(
        lambda: None, {}, FakeClock(), WindowBounds(100, 10_000), sent.append, drift=0.05
    )
    service = Service(name=SERVICE, keyed=True)
    windows.update_replication(service, SERVER, GateRecord("entry-1", GATE_EPOCH, "entry-2"))
    assert windows.replication[SERVER].lease.drift == 0.05
