"""Moves of units: ask the old owners' gates for release, then record the new owners."""

import asyncio
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.assignment import Assignment, hash_slot
from fireflylock.assignment_changes import with_hot_key, with_moves, without_hot_key
from fireflylock.assignment_store import AssignmentStore
from fireflylock.exceptions import InvariantError, PlatformError
from fireflylock.log import logger
from fireflylock.messages import PeerMessage, ReleaseRefused, ReleaseUnits, UnitsReleased
from fireflylock.proofs import Released

# A little longer than a gate waits for requests in flight.
RELEASE_TIMEOUT = timedelta(seconds=11)
# Answers that come so soon after one another are recorded in one write.
BATCH_DELAY = timedelta(milliseconds=50)

LOG = logger("mover")


@dataclass(frozen=True)
class MoveBatch:
    """Changes of one service that are recorded in one write.

    Attributes
    ----------
    moves : dict of int to str
        New owner of units.
    place : dict of str to str
        Owner of hot keys that get a unit of their own.
    returned_hot_keys : tuple of str
        Hot keys that return to their hash slot.
    """

    moves: dict[int, str] = field(default_factory=dict)
    placed_hot_keys: dict[str, str] = field(default_factory=dict)
    returned_hot_keys: tuple[str, ...] = ()


class Mover:
    """Carries out batches of moves.

    Parameters
    ----------
    book : AssignmentStore
        Assignments in force, and how they are changed.
    send : callable
        ``send(member, message)`` to another entry VM, or to this one.
    """

    def __init__(
        self, assignment_store: AssignmentStore, send: Callable[[str, PeerMessage], bool]
    ) -> None:
        self.assignment_store = assignment_store
        self.send = send
        self.waiting: dict[tuple[str, str], asyncio.Future[Released | None]] = {}
        self.moving: dict[str, set[int]] = {}

    async def apply_batch(self, service: str, batch: MoveBatch) -> int:
        """Make the changes of `batch` as far as the old owners release their units.

        Returns
        -------
        int
            Units and hot keys whose owner changed.
        """
        assignment = self.assignment_store.get(service)
        if assignment is None:
            return 0
        wanted = self.units_to_release(assignment, batch)
        moving = self.moving.setdefault(service, set())
        moving.update(wanted)
        try:
            return await self.record_as_released(service, assignment, batch, wanted)
        finally:
            moving.difference_update(wanted)

    async def record_as_released(
        self, service: str, assignment: Assignment, batch: MoveBatch, wanted: dict[int, str]
    ) -> int:
        """Record what is released, without letting one slow gate hold up the others' units."""
        release_requests = self.release_requests(assignment, batch, wanted)
        if not release_requests:
            return await self.record(service, batch, [])
        pending = {
            asyncio.create_task(
                self.request_release(gate_of(assignment, question.server), question)
            )
            for question in release_requests
        }
        changed = 0
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            if pending:
                more, pending = await asyncio.wait(pending, timeout=BATCH_DELAY.total_seconds())
                done |= more
            answers = [task.result() for task in done]
            proofs = [proof for proof in answers if proof is not None]
            if proofs:
                changed += await self.record(service, batch, proofs)
        return changed

    def units_to_release(self, assignment: Assignment, batch: MoveBatch) -> dict[int, str]:
        """Return the units that have to be released, with the next owner of their keys."""
        units = dict(batch.moves)
        for key in batch.placed_hot_keys:
            slot = assignment.unit_of(key)
            units.setdefault(slot, owner(assignment, slot))
        for key in batch.returned_hot_keys:
            unit = assignment.hot_keys.get(key)
            if unit is None:
                continue
            slot = hash_slot(assignment.service, key, assignment.hash_slots)
            units.setdefault(unit, owner(assignment, slot))
        return units

    def release_requests(
        self, assignment: Assignment, batch: MoveBatch, wanted: dict[int, str]
    ) -> list[ReleaseUnits]:
        """Return what to ask the gates of the old owners."""
        by_server: dict[str, dict[int, int]] = {}
        for unit in wanted:
            ownership = assignment.units.get(unit)
            if ownership is None or not ownership.server:
                continue
            by_server.setdefault(ownership.server, {})[unit] = ownership.epoch
        release_requests = []
        for server, units in by_server.items():
            question = ReleaseUnits(
                assignment.service,
                server,
                assignment.gates[server].epoch if server in assignment.gates else 0,
                units,
                uuid.uuid4().hex,
                {unit: wanted[unit] for unit in units},
                {
                    key: to
                    for key, to in batch.placed_hot_keys.items()
                    if assignment.unit_of(key) in units
                },
                [
                    assignment.hot_keys[key]
                    for key in batch.returned_hot_keys
                    if key in assignment.hot_keys
                ],
            )
            release_requests.append(question)
        return release_requests

    async def request_release(self, member: str, question: ReleaseUnits) -> Released | None:
        """Ask the gate on `member` for release."""
        request_id = (question.server, question.change_id)
        future = asyncio.get_running_loop().create_future()
        self.waiting[request_id] = future
        try:
            if not member or not self.send(member, question):
                return None
            async with asyncio.timeout(RELEASE_TIMEOUT.total_seconds()):
                return await future
        except TimeoutError:
            return None
        finally:
            del self.waiting[request_id]

    def on_released(self, sender: str, message: UnitsReleased) -> None:
        """Take the answer of a gate that released units."""
        future = self.waiting.get((message.server, message.change_id))
        if future is not None and not future.done():
            future.set_result(Released(message.server, message.gate_epoch, message.units))

    def on_refused(self, sender: str, message: ReleaseRefused) -> None:
        """Take the answer of a gate that did not release units."""
        LOG.info("release refused", server=message.server, reason=message.reason)
        future = self.waiting.get((message.server, message.change_id))
        if future is not None and not future.done():
            future.set_result(None)

    async def record(self, service: str, batch: MoveBatch, proofs: list[Released]) -> int:
        """Write what the proofs allow; return how many owners changed."""
        changed = 0

        def change(present: Assignment | None, change_id: str) -> Assignment | None:
            nonlocal changed
            if present is None:
                return None
            result, changed = apply(present, batch, proofs, change_id)
            return result if changed else None

        try:
            await self.assignment_store.update(service, change)
        except PlatformError as error:
            LOG.warning("moves not recorded", service=service, reason=str(error))
            return 0
        return changed


def owner(assignment: Assignment, unit: int) -> str:
    """Return the backend server that owns `unit`, or ""."""
    ownership = assignment.units.get(unit)
    return "" if ownership is None else ownership.server


def gate_of(assignment: Assignment, server: str) -> str:
    """Return the entry VM that is the gate of `server`, or ""."""
    record = assignment.gates.get(server)
    return "" if record is None else record.member


def apply(
    present: Assignment, batch: MoveBatch, proofs: list[Released], change_id: str
) -> tuple[Assignment, int]:
    """Return the assignment with every change that the proofs allow, and their number."""
    result = present
    changed = 0
    for unit, server in batch.moves.items():
        if result.units.get(unit) is not None and result.units[unit].server == server:
            continue
        try:
            result = with_moves(result, {unit: server}, proofs, change_id)
        except InvariantError:
            continue
        changed += 1
    for key, server in batch.placed_hot_keys.items():
        try:
            result = with_hot_key(result, key, server, change_id, proofs)
        except InvariantError:
            continue
        changed += 1
    for key in batch.returned_hot_keys:
        if key not in result.hot_keys:
            continue
        try:
            result = without_hot_key(result, key, change_id, proofs)
        except InvariantError:
            continue
        changed += 1
    return result, changed
