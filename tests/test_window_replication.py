"""Tests of the replication of the idempotency window to the standby."""

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


# Default bound on the relative difference in rate between two clocks.
DRIFT = 0.001


class ReplicationPair:
    """A gate and its standby, with a link that can lose messages."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.window = IdempotencyWindow()
        self.units = {UNIT: EPOCH}
        self.cut = False
        self.replica_store = self.new_replica_store()
        self.sender = ReplicationSender(
            ReplicationTarget(SERVICE, SERVER, GATE_EPOCH, "entry-2"),
            self.window,
            lambda: self.units,
            lambda _units: self.window.export(self.clock.elapsed()),
            self.deliver,
            self.clock,
            DRIFT,
        )

    def new_replica_store(self) -> ReplicaStore:
        return ReplicaStore(lambda _service: WindowLimits(), self.deliver, self.clock)

    def deliver(self, to, message) -> bool:
        if self.cut:
            return True
        if isinstance(message, WindowCopy):
            self.replica_store.on_copy("entry-1", message)
        elif isinstance(message, WindowAck):
            asyncio.get_running_loop().call_soon(self.sender.on_ack, message)
        return True

    def begin(self, name: str):
        decision = self.window.begin(
            self.clock.elapsed(), self.clock.now(), SERVICE, UNIT, "molino", name, b"f"
        )
        assert isinstance(decision, Run)
        return decision.entry

    def known(self) -> set[str]:
        """Return the requests that the standby would know after a takeover."""
        replica = self.replica_store.replicas[SERVER]
        return {entry.identity[2] for entry in replica.window.entries.values()}


async def test_request_may_run_only_when_the_standby_knows_it_and_all_earlier_ones():
    pair = ReplicationPair()
    old = pair.begin("old")
    pair.window.finish(pair.clock.elapsed(), old, StoredResponse(200, [], b"done"))
    await pair.sender.begin(pair.begin("new"), UNIT, EPOCH)
    assert pair.known() == {"old", "new"}
    replica = pair.replica_store.pop_if_complete(SERVER, GATE_EPOCH)
    assert replica is not None
    assert replica.units == {UNIT: EPOCH}
    assert pair.replica_store.pop_if_complete(SERVER, GATE_EPOCH) is None


async def test_without_an_acknowledgement_the_request_is_not_run():
    pair = ReplicationPair()
    await pair.sender.begin(pair.begin("before"), UNIT, EPOCH)
    pair.cut = True
    with pytest.raises(RequestError) as caught:
        await pair.sender.begin(pair.begin("lost"), UNIT, EPOCH)
    assert caught.value.kind is ErrorKind.MOVED
    assert caught.value.not_run


async def test_restarted_standby_gets_all_entries_again_before_the_next_request():
    pair = ReplicationPair()
    await pair.sender.begin(pair.begin("one"), UNIT, EPOCH)
    pair.replica_store = pair.new_replica_store()
    with pytest.raises(RequestError):
        await pair.sender.begin(pair.begin("two"), UNIT, EPOCH)
    assert pair.replica_store.replicas == {}
    await pair.sender.begin(pair.begin("three"), UNIT, EPOCH)
    assert {"one", "three"} <= pair.known()


async def test_unit_that_returns_is_replicated_again():
    # It was served elsewhere in between, so the entries copied before are incomplete.
    pair = ReplicationPair()
    await pair.sender.begin(pair.begin("one"), UNIT, EPOCH)
    pair.units = {UNIT: EPOCH + 2}
    elsewhere = pair.begin("elsewhere")
    pair.window.finish(pair.clock.elapsed(), elsewhere, None)
    await pair.sender.begin(pair.begin("two"), UNIT, EPOCH + 2)
    assert pair.known() == {"one", "elsewhere", "two"}
    assert pair.replica_store.replicas[SERVER].units == {UNIT: EPOCH + 2}


async def test_units_with_a_lost_window_are_not_reported_complete():
    pair = ReplicationPair()
    pair.window.mark_lost(pair.clock.elapsed(), pair.clock.now(), [UNIT])
    await pair.sender.sync(UNIT, EPOCH)
    assert pair.replica_store.replicas[SERVER].units == {}


async def test_messages_of_an_earlier_gate_epoch_are_ignored():
    pair = ReplicationPair()
    await pair.sender.begin(pair.begin("one"), UNIT, EPOCH)
    late = WindowCopy(SERVICE, SERVER, GATE_EPOCH - 1, 1, True, 0, {UNIT: EPOCH}, [])
    pair.replica_store.on_copy("entry-0", late)
    assert pair.replica_store.replicas[SERVER].gate_epoch == GATE_EPOCH
    assert pair.replica_store.pop_if_complete(SERVER, GATE_EPOCH - 1) is None


async def test_outcome_needs_no_acknowledgement():
    pair = ReplicationPair()
    entry = pair.begin("one")
    await pair.sender.begin(entry, UNIT, EPOCH)
    pair.window.finish(pair.clock.elapsed(), entry, StoredResponse(201, [], b"sacks"))
    pair.sender.settle(entry)
    pair.clock.advance(timedelta(seconds=1))
    held = pair.replica_store.replicas[SERVER].window.entries[SERVICE, "molino", "one"]
    assert held.response == StoredResponse(201, [], b"sacks")


async def test_gate_continues_alone_only_after_the_standbys_lease_has_expired():
    pair = ReplicationPair()
    await pair.sender.begin(pair.begin("before"), UNIT, EPOCH)
    pair.cut = True
    pair.clock.advance(COMPLETENESS_TTL)
    with pytest.raises(RequestError):
        await pair.sender.begin(pair.begin("too early"), UNIT, EPOCH)
    pair.clock.advance(COMPLETENESS_TTL / 100)
    await pair.sender.begin(pair.begin("alone"), UNIT, EPOCH)
    assert pair.replica_store.pop_if_complete(SERVER, GATE_EPOCH) is None


async def test_extending_the_lease_keeps_the_replica_complete_without_requests():
    pair = ReplicationPair()
    await pair.sender.begin(pair.begin("one"), UNIT, EPOCH)
    for _ in range(10):
        pair.clock.advance(COMPLETENESS_TTL / 2)
        pair.sender.extend_lease()
        await asyncio.sleep(0)
    assert pair.replica_store.pop_if_complete(SERVER, GATE_EPOCH) is not None


async def test_late_message_does_not_make_an_old_replica_complete_again():
    pair = ReplicationPair()
    await pair.sender.begin(pair.begin("one"), UNIT, EPOCH)
    delayed = pair.sender.message(0, {}, [])
    pair.clock.advance(2 * COMPLETENESS_TTL)
    pair.replica_store.on_copy("entry-1", delayed)
    assert pair.replica_store.pop_if_complete(SERVER, GATE_EPOCH) is None


def test_replica_lease_uses_the_drift_from_the_settings():
    sent = []
    windows = IdempotencyWindows(
        lambda: None, {}, FakeClock(), WindowBounds(100, 10_000), sent.append, drift=0.05
    )
    service = Service(name=SERVICE, keyed=True)
    windows.update_replication(service, SERVER, GateRecord("entry-1", GATE_EPOCH, "entry-2"))
    assert windows.replication[SERVER].lease.drift == 0.05
