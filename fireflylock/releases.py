"""A gate releases units of its server so that other servers may own them."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from fireflylock.assignment import Assignment, hash_slot
from fireflylock.assignment_changes import with_regrants
from fireflylock.assignment_store import AssignmentStore
from fireflylock.clock import Clock
from fireflylock.exceptions import InvariantError, PlatformError
from fireflylock.gate import Gate
from fireflylock.gate_manager import GateManager
from fireflylock.log import logger
from fireflylock.messages import PeerMessage, ReleaseRefused, ReleaseUnits, UnitsReleased
from fireflylock.proofs import SameGate
from fireflylock.window_transfers import Handoffs, WindowTransfers

# Longest wait for the running requests of units that are being released.
RELEASE_TIMEOUT = timedelta(seconds=10)
# A planner records released units within milliseconds; without a record after this time its
# write has failed or its proof has been superseded.
RECORD_TIMEOUT = timedelta(milliseconds=500)
# Longest time that released units wait for the others, which have requests in flight.
PARTIAL_RELEASE_AFTER = timedelta(milliseconds=300)
POLL_INTERVAL = timedelta(milliseconds=5)

LOG = logger("releases")


class ReleaseHandler:
    """Handles the planners' release requests.

    Parameters
    ----------
    gate_manager : GateManager
        The gates of this entry VM.
    assignment_store : AssignmentStore
        The current assignments, and how they are changed.
    windows : WindowTransfers
        Transfers idempotency keys to the next gates.
    send : callable
        ``send(member, message)`` to another entry VM, or to this one.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        gate_manager: GateManager,
        assignment_store: AssignmentStore,
        windows: WindowTransfers,
        send: Callable[[str, PeerMessage], bool],
        clock: Clock,
    ) -> None:
        self.gate_manager = gate_manager
        self.assignment_store = assignment_store
        self.windows = windows
        self.send = send
        self.clock = clock
        self.tasks: set[asyncio.Task[None]] = set()

    def on_release(self, sender: str, message: ReleaseUnits) -> None:
        """Start releasing the units that a planner requested."""
        gate = self.gate_manager.gates.get(message.server)
        if gate is None or gate.session.gate_epoch[0] != message.gate_epoch:
            self.refuse(sender, message, "not the gate under this epoch")
            return
        if not gate.open:
            # The server could not confirm that no request of the units is running.
            self.refuse(sender, message, "there is no session with the server")
            return
        task = asyncio.create_task(self.release(sender, message, gate))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def refuse(self, sender: str, message: ReleaseUnits, reason: str) -> None:
        """Tell a planner that its release was refused."""
        self.send(
            sender, ReleaseRefused(message.service, message.server, message.change_id, reason)
        )

    async def release(self, sender: str, message: ReleaseUnits, gate: Gate) -> None:
        """Release units and report them, then reclaim those that were not assigned elsewhere."""
        session = gate.session
        units = releasable(gate, message.units)
        gate.release(units)
        released = await self.wait_for_release(gate, units)
        if gate.session is not session:
            self.refuse(sender, message, "the gate epoch changed")
            return
        if released:
            await self.transfer_keys(message, released)
            self.send(
                sender,
                UnitsReleased(
                    message.service,
                    message.server,
                    message.gate_epoch,
                    released,
                    message.change_id,
                ),
            )
            await self.clock.sleep(RECORD_TIMEOUT)
            await self.reclaim_unrecorded(gate, released)
            return
        self.refuse(sender, message, "requests of these units did not end in time")

    async def reclaim_unrecorded(self, gate: Gate, released: dict[int, int]) -> None:
        """Reclaim released units that were not recorded elsewhere in time."""
        assignment = self.assignment_store.get(gate.service.name)
        if assignment is None or not gate.open:
            return
        units = assignment.units_of(gate.server.name)
        due = {unit: epoch for unit, epoch in released.items() if units.get(unit) == epoch}
        if due:
            LOG.info(
                "released units not recorded elsewhere; reclaiming them",
                server=gate.server.name,
                units=len(due),
            )
            await self.regrant(gate, due)

    async def wait_for_release(self, gate: Gate, units: dict[int, int]) -> dict[int, int]:
        """Return the units without running requests, at the latest after the timeout."""
        timeout_at = self.clock.elapsed() + RELEASE_TIMEOUT
        partial_at = self.clock.elapsed() + PARTIAL_RELEASE_AFTER
        while True:
            released = gate.released()
            done = {unit: epoch for unit, epoch in units.items() if released.get(unit) == epoch}
            if len(done) == len(units) or self.clock.elapsed() >= timeout_at:
                return done
            if done and self.clock.elapsed() >= partial_at:
                return done
            await self.clock.sleep(POLL_INTERVAL)

    async def transfer_keys(self, message: ReleaseUnits, released: dict[int, int]) -> None:
        """Send the idempotency keys of released units to their next gates."""
        assignment = self.assignment_store.get(message.service)
        handoffs = Handoffs(assignment)
        for unit, epoch in released.items():
            target = message.targets.get(unit, "")
            handoffs.add_unit(unit, target, epoch + 1, retired=unit in message.ending)
        for key, target in message.hot_targets.items():
            slot = hash_slot(message.service, key, assignment.hash_slots)
            if slot in released:
                handoffs.add_hot_key(key, slot, target, released[slot] + 1)
        for handoff in handoffs.by_member.values():
            await self.windows.transfer(handoff)

    async def reclaim_units(self) -> None:
        """Record the old owner with a new epoch for units that were released in vain."""
        for gate in list(self.gate_manager.gates.values()):
            assignment = self.assignment_store.get(gate.service.name)
            if assignment is None or gate.closing:
                continue
            due = self.units_to_regrant(gate, assignment)
            if due:
                await self.regrant(gate, due)

    def units_to_regrant(self, gate: Gate, assignment: Assignment) -> dict[int, int]:
        """Return the units of `gate` that need a new epoch to be served here again."""
        if not gate.open:
            return {}
        units = assignment.units_of(gate.server.name)
        return gate.session.needs_regrant(self.clock.elapsed(), units)

    async def regrant(self, gate: Gate, due: dict[int, int]) -> None:
        """Write new epochs for the units of `due` that are still assigned under their epoch."""
        server = gate.server.name
        proof = SameGate(self.gate_manager.me, self.gate_manager.process)

        def change(present: Assignment | None, change_id: str) -> Assignment | None:
            if present is None:
                return None
            units = present.units_of(server)
            still = [unit for unit, epoch in due.items() if units.get(unit) == epoch]
            return with_regrants(present, server, still, proof, change_id) if still else None

        try:
            await self.assignment_store.update(gate.service.name, change)
        except (InvariantError, PlatformError) as error:
            LOG.warning("units not reclaimed", server=server, reason=str(error))


def releasable(gate: Gate, units: dict[int, int]) -> dict[int, int]:
    """Return the units that the gate holds under the epochs that the planner knows.

    A planner with an older assignment must not stop units under epochs unknown to it.
    """
    session = gate.session
    return {
        unit: epoch
        for unit, epoch in units.items()
        if epoch in (session.wanted.get(unit), session.releasing.get(unit))
    }
