"""Handover: a stopping daemon passes its gates to other entry VMs without aborting requests."""

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from fireflylock.assignment import Assignment, GateRecord
from fireflylock.assignment_changes import with_gate
from fireflylock.exceptions import InvariantError, PlatformError
from fireflylock.fleet import process_of
from fireflylock.gate import Gate
from fireflylock.gate_election import decide_gate
from fireflylock.log import logger
from fireflylock.messages import GateHandover
from fireflylock.proofs import HandedOver
from fireflylock.window_coverage import Mark
from fireflylock.window_transfers import Handoff

if TYPE_CHECKING:
    from fireflylock.node import Node

LOG = logger("handover")

# Limits how long a stop waits for the platform; the next gate records itself later.
RECORD_TIMEOUT = timedelta(seconds=2)


class Handover:
    """Hands over the gates of a stopping daemon.

    Parameters
    ----------
    node : Node
        The running daemon.
    """

    def __init__(self, node: "Node") -> None:
        self.node = node

    async def hand_over_all(self, timeout: timedelta) -> None:
        """Hand over all gates, or give up after `timeout`."""
        gates = list(self.node.gate_manager.gates.values())
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await asyncio.gather(*(self.hand_over(gate) for gate in gates))
        except TimeoutError:
            LOG.warning("handover of gates timed out", servers=list(self.node.gate_manager.gates))

    async def hand_over(self, gate: Gate) -> None:
        """Wait for the gate's requests, send its idempotency keys on and record the next gate."""
        successor = self.successor(gate)
        if successor is None:
            return
        await gate.drain()
        await self.transfer_window(gate, successor.member)
        await self.record_successor(gate, successor)

    def successor(self, gate: Gate) -> GateRecord | None:
        """Return the record of the next gate, or None if there is no candidate."""
        candidates = self.node.fleet.candidates(self.node.configuration())
        others = [candidate for candidate in candidates if candidate.name != self.node.name]
        member = decide_gate(gate.server, None, others).gate
        assignment = self.node.assignment_store.get(gate.service.name)
        if not member or assignment is None:
            return None
        process = process_of(self.node.fleet.views()[member])
        present = assignment.gates[gate.server.name]
        return GateRecord(
            member, 0, process=process, server_incarnation=present.server_incarnation
        )

    async def transfer_window(self, gate: Gate, member: str) -> None:
        """Send the idempotency keys of the gate's units to the next gate."""
        assignment = self.node.assignment_store.get(gate.service.name)
        if assignment is None or not gate.service.keyed:
            return
        server = gate.server.name
        next_gate_epoch = gate.session.gate_epoch[0] + 1
        units = assignment.units_of(server)
        marks = {unit: Mark(epoch, server, next_gate_epoch) for unit, epoch in units.items()}
        await self.node.windows.transfer(Handoff(gate.service.name, member, set(units), marks))

    async def record_successor(self, gate: Gate, successor: GateRecord) -> None:
        """Record the next gate; if the platform fails, notify it so that it can do so later."""
        server = gate.server.name
        epoch = gate.session.gate_epoch[0]

        def change(present: Assignment | None, change_id: str) -> Assignment | None:
            if present is None or present.gates[server].epoch != epoch:
                return None
            proof = HandedOver(server, epoch)
            return with_gate(present, server, successor, proof, change_id)

        try:
            async with asyncio.timeout(RECORD_TIMEOUT.total_seconds()):
                await self.node.assignment_store.update(gate.service.name, change)
        except (PlatformError, TimeoutError) as error:
            LOG.info("handover not recorded", server=server, reason=repr(error))
            # The next gate can record itself once it reaches the platform.
            message = GateHandover(gate.service.name, server, epoch)
            self.node.peers.send(successor.member, message)
        except InvariantError as error:
            LOG.info("handover superseded", server=server, reason=str(error))

    def on_handover(self, sender: str, message: GateHandover) -> None:
        """Store the proof that a gate was handed over to this entry VM."""
        self.node.takeover.handed_over[message.server] = HandedOver(
            message.server, message.gate_epoch
        )
