"""Releases: a gate gives units of its server up, so that others may own them."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from fireflylock.assignment import Assignment, hash_slot
from fireflylock.assignment_changes import with_regrants
from fireflylock.assignment_store import AssignmentStore
from fireflylock.clock import Clock
from fireflylock.exceptions import InvariantError, PlatformError
from fireflylock.gate import Gate
from fireflylock.gatekeeper import Gatekeeper
from fireflylock.log import logger
from fireflylock.messages import PeerMessage, ReleaseRefused, ReleaseUnits, UnitsReleased
from fireflylock.proofs import SameGate
from fireflylock.window_transfers import Handoffs, WindowTransfers

# Longest wait for the requests in flight of the units that are given up.
RELEASE_TIMEOUT = timedelta(seconds=10)
# A planner records what was released within milliseconds; without a record after so long its
# write is not coming, or its proof was overtaken.
RECORD_PATIENCE = timedelta(milliseconds=500)
# Units that were released do not wait longer for those that have requests in flight.
PARTIAL_AFTER = timedelta(milliseconds=300)
POLL = timedelta(milliseconds=5)

LOG = logger("releases")


class Releases:
    """Answers the planners' requests for release.

    Parameters
    ----------
    gatekeeper : Gatekeeper
        The gates of this entry VM.
    book : AssignmentStore
        Assignments in force, and how they are changed.
    windows : WindowTransfers
        Hands idempotency keys on.
    send : callable
        ``send(member, message)`` to another entry VM, or to this one.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        gatekeeper: Gatekeeper,
        assignment_store: AssignmentStore,
        windows: WindowTransfers,
        send: Callable[[str, PeerMessage], bool],
        clock: Clock,
    ) -> None:
        self.gatekeeper = gatekeeper
        self.assignment_store = assignment_store
        self.windows = windows
        self.send = send
        self.clock = clock
        self.tasks: set[asyncio.Task[None]] = set()

    def on_release(self, sender: str, message: ReleaseUnits) -> None:
        """Begin to release the units that a planner asked for."""
        gate = self.gatekeeper.gates.get(message.server)
        if gate is None or gate.session.gate_epoch[0] != message.gate_epoch:
            self.refuse(sender, message, "not the gate under this epoch")
            return
        if not gate.open:
            # The server could not confirm that nothing of the units runs any more.
            self.refuse(sender, message, "there is no session with the server")
            return
        task = asyncio.create_task(self.release(sender, message, gate))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def refuse(self, sender: str, message: ReleaseUnits, reason: str) -> None:
        """Tell a planner that its release did not happen."""
        self.send(
            sender, ReleaseRefused(message.service, message.server, message.change_id, reason)
        )

    async def release(self, sender: str, message: ReleaseUnits, gate: Gate) -> None:
        """Give units up and report them; `take_back` takes them when nobody else does."""
        session = gate.session
        units = releasable(gate, message.units)
        gate.release(units)
        released = await self.wait(gate, units)
        if gate.session is not session:
            self.refuse(sender, message, "the gate epoch changed")
            return
        if released:
            await self.hand_on(message, released)
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
            await self.clock.sleep(RECORD_PATIENCE)
            await self.take_back_unrecorded(gate, released)
            return
        self.refuse(sender, message, "requests of these units did not end in time")

    async def take_back_unrecorded(self, gate: Gate, released: dict[int, int]) -> None:
        """Take back what was released and then not recorded elsewhere in time."""
        assignment = self.assignment_store.get(gate.service.name)
        if assignment is None or not gate.open:
            return
        units = assignment.units_of(gate.server.name)
        due = {unit: epoch for unit, epoch in released.items() if units.get(unit) == epoch}
        if due:
            LOG.info("released units not recorded", server=gate.server.name, units=len(due))
            await self.record_again(gate, due)

    async def wait(self, gate: Gate, units: dict[int, int]) -> dict[int, int]:
        """Return the units of which nothing runs any more, at the latest after the timeout."""
        give_up_at = self.clock.elapsed() + RELEASE_TIMEOUT
        patient_until = self.clock.elapsed() + PARTIAL_AFTER
        while True:
            released = gate.released()
            done = {unit: epoch for unit, epoch in units.items() if released.get(unit) == epoch}
            if len(done) == len(units) or self.clock.elapsed() >= give_up_at:
                return done
            if done and self.clock.elapsed() >= patient_until:
                return done
            await self.clock.sleep(POLL)

    async def hand_on(self, message: ReleaseUnits, released: dict[int, int]) -> None:
        """Send the idempotency keys of released units to the gates that come next."""
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

    async def take_back(self) -> None:
        """Record the old owner with a new epoch for units that were given up for nothing."""
        for gate in list(self.gatekeeper.gates.values()):
            assignment = self.assignment_store.get(gate.service.name)
            if assignment is None or gate.closing:
                continue
            due = self.due(gate, assignment)
            if due:
                await self.record_again(gate, due)

    def due(self, gate: Gate, assignment: Assignment) -> dict[int, int]:
        """Return the units of `gate` that need a new epoch to be served here again."""
        if not gate.open:
            return {}
        units = assignment.units_of(gate.server.name)
        return gate.session.needs_regrant(self.clock.elapsed(), units)

    async def record_again(self, gate: Gate, due: dict[int, int]) -> None:
        """Write new epochs for the units of `due` that still stand in the assignment."""
        server = gate.server.name
        proof = SameGate(self.gatekeeper.me, self.gatekeeper.process)

        def change(present: Assignment | None, change_id: str) -> Assignment | None:
            if present is None:
                return None
            units = present.units_of(server)
            still = [unit for unit, epoch in due.items() if units.get(unit) == epoch]
            return with_regrants(present, server, still, proof, change_id) if still else None

        try:
            await self.assignment_store.update(gate.service.name, change)
        except (InvariantError, PlatformError) as error:
            LOG.warning("units not taken back", server=server, reason=str(error))


def releasable(gate: Gate, units: dict[int, int]) -> dict[int, int]:
    """Return the units that the gate holds under the epochs that the planner knows.

    A planner with an older assignment must not stop what it does not know of.
    """
    session = gate.session
    return {
        unit: epoch
        for unit, epoch in units.items()
        if epoch in (session.wanted.get(unit), session.releasing.get(unit))
    }
