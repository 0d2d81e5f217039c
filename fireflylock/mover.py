"""Moves of units: the old owners' gates release them, then the new owners are recorded."""

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

# Slightly longer than a gate waits for requests in flight.
RELEASE_TIMEOUT = timedelta(seconds=11)
# Releases that arrive within this time of the first one are recorded in one write.
BATCH_DELAY = timedelta(milliseconds=50)

LOG = logger("mover")


@dataclass(frozen=True)
class MoveBatch:
    """Changes of one service that are recorded in one write.

    Attributes
    ----------
    moves : dict of int to str
        New owner of each unit.
    placed_hot_keys : dict of str to str
        Owner of each hot key that gets a unit of its own.
    returned_hot_keys : tuple of str
        Hot keys that return to their hash slot.
    """

    moves: dict[int, str] = field(default_factory=dict)
    placed_hot_keys: dict[str, str] = field(default_factory=dict)
    returned_hot_keys: tuple[str, ...] = ()


class Mover:
    """Performs batches of moves.

    Parameters
    ----------
    assignment_store : AssignmentStore
        Assignments in force, and their changes.
    send : callable
        ``send(member, message)`` to another entry VM, or to this one.
    """

    def __init__(
        self, assignment_store: AssignmentStore, send: Callable[[str, PeerMessage], bool]
    ) -> None:
        self.assignment_store = assignment_store
        self.send = send
        self.pending_requests: dict[tuple[str, str], asyncio.Future[Released | None]] = {}
        self.moving: dict[str, set[int]] = {}

    async def apply_batch(self, service: str, batch: MoveBatch) -> int:
        """Apply the changes of `batch` for the units that the old owners release.

        Returns
        -------
        int
            Units and hot keys whose owner changed.
        """
        assignment = self.assignment_store.get(service)
        if assignment is None:
            return 0
        new_owners = self.units_to_release(assignment, batch)
        moving = self.moving.setdefault(service, set())
        moving.update(new_owners)
        try:
            return await self.record_as_released(service, assignment, batch, new_owners)
        finally:
            moving.difference_update(new_owners)

    async def record_as_released(
        self, service: str, assignment: Assignment, batch: MoveBatch, new_owners: dict[int, str]
    ) -> int:
        """Record units as they are released, so that a slow gate does not delay the others."""
        release_requests = self.release_requests(assignment, batch, new_owners)
        if not release_requests:
            return await self.record(service, batch, [])
        pending = {
            asyncio.create_task(self.request_release(gate_of(assignment, request.server), request))
            for request in release_requests
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
        self, assignment: Assignment, batch: MoveBatch, new_owners: dict[int, str]
    ) -> list[ReleaseUnits]:
        """Return the release requests to the gates of the old owners."""
        by_server: dict[str, dict[int, int]] = {}
        for unit in new_owners:
            ownership = assignment.units.get(unit)
            if ownership is None or not ownership.server:
                continue
            by_server.setdefault(ownership.server, {})[unit] = ownership.epoch
        release_requests = []
        for server, units in by_server.items():
            request = ReleaseUnits(
                assignment.service,
                server,
                assignment.gates[server].epoch if server in assignment.gates else 0,
                units,
                uuid.uuid4().hex,
                {unit: new_owners[unit] for unit in units},
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
            release_requests.append(request)
        return release_requests

    async def request_release(self, member: str, request: ReleaseUnits) -> Released | None:
        """Request release from the gate on `member`; None without a release."""
        request_id = (request.server, request.change_id)
        future = asyncio.get_running_loop().create_future()
        self.pending_requests[request_id] = future
        try:
            if not member or not self.send(member, request):
                return None
            async with asyncio.timeout(RELEASE_TIMEOUT.total_seconds()):
                return await future
        except TimeoutError:
            return None
        finally:
            del self.pending_requests[request_id]

    def on_released(self, sender: str, message: UnitsReleased) -> None:
        """Handle the answer of a gate that released units."""
        future = self.pending_requests.get((message.server, message.change_id))
        if future is not None and not future.done():
            future.set_result(Released(message.server, message.gate_epoch, message.units))

    def on_refused(self, sender: str, message: ReleaseRefused) -> None:
        """Handle the answer of a gate that did not release units."""
        LOG.info("gate refused to release units", server=message.server, reason=message.reason)
        future = self.pending_requests.get((message.server, message.change_id))
        if future is not None and not future.done():
            future.set_result(None)

    async def record(self, service: str, batch: MoveBatch, proofs: list[Released]) -> int:
        """Write the changes that the proofs allow; return how many owners changed."""
        changed = 0

        def change(present: Assignment | None, change_id: str) -> Assignment | None:
            nonlocal changed
            if present is None:
                return None
            result, changed = apply_moves(present, batch, proofs, change_id)
            return result if changed else None

        try:
            await self.assignment_store.update(service, change)
        except PlatformError as error:
            LOG.warning("failed to record moves", service=service, reason=str(error))
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


def apply_moves(
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
