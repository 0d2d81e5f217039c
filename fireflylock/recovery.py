"""Recovery: assigns the units of lost backend servers to new owners."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from fireflylock.assignment import Assignment
from fireflylock.assignment_changes import with_moves
from fireflylock.assignment_store import AssignmentStore
from fireflylock.clock import Clock
from fireflylock.exceptions import InvariantError, PlatformError
from fireflylock.fleet import Fleet
from fireflylock.gate import Gate
from fireflylock.gate_manager import GateManager
from fireflylock.log import logger
from fireflylock.model import Configuration
from fireflylock.ownership import Evidence, owner_proofs
from fireflylock.placement import spread_lost
from fireflylock.planning import LoadView
from fireflylock.proofs import OwnerProof, SessionEnded
from fireflylock.session import SessionState
from fireflylock.standby_links import StandbyLinks
from fireflylock.window_transfers import Handoffs, WindowTransfers

RETRY_INTERVAL = timedelta(milliseconds=200)

LOG = logger("recovery")


class Recovery:
    """Assigns the units of lost backend servers to others.

    Parameters
    ----------
    gate_manager : GateManager
        The gates of this entry VM.
    assignment_store : AssignmentStore
        Assignments in force, and their changes.
    fleet : Fleet
        The other entry VMs.
    evidence : callable
        Returns what is known about ended processes, VMs and servers.
    links : StandbyLinks
        Requests promises from standbys.
    windows : WindowTransfers
        Transfers idempotency keys.
    view : callable
        ``view(service, assignment)`` returns the `LoadView` by which new owners are chosen.
    configuration : callable
        Returns the configuration in force.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        gate_manager: GateManager,
        assignment_store: AssignmentStore,
        fleet: Fleet,
        evidence: Callable[[], Evidence],
        links: StandbyLinks,
        windows: WindowTransfers,
        view: Callable[[str, Assignment], LoadView],
        configuration: Callable[[], Configuration],
        clock: Clock,
    ) -> None:
        self.gate_manager = gate_manager
        self.assignment_store = assignment_store
        self.fleet = fleet
        self.evidence = evidence
        self.links = links
        self.windows = windows
        self.view = view
        self.configuration = configuration
        self.clock = clock
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def on_progress(self, gate: Gate) -> None:
        """Start the recovery of a server whose session is over; called after each session step."""
        if gate.closing or gate.stood_down or not gate.session.over(self.clock.elapsed()):
            return
        if gate.server.name in self.tasks or not gate.session.wanted:
            return
        if not gate.service.keyed or gate.session.state is SessionState.RESTARTED:
            return
        task = asyncio.create_task(self.recover(gate))
        self.tasks[gate.server.name] = task
        task.add_done_callback(lambda _task: self.tasks.pop(gate.server.name, None))

    async def recover(self, gate: Gate) -> None:
        """Move the units of a server whose session is over."""
        server = gate.server.name
        service = gate.service.name
        session = gate.session
        assignment = self.assignment_store.get(service)
        if assignment is None or not self.new_owners(assignment, server):
            return
        # The platform must be reachable before the session is sealed: without it no other server
        # can get the units, and this server may return.
        try:
            await self.assignment_store.writer.refresh(self.assignment_store.key(service))
        except PlatformError:
            return
        if gate.session is not session or not session.over(self.clock.elapsed()):
            return
        gate.abort_requests()
        over = session.seal(self.clock.elapsed())
        LOG.warning("server lost; its units move to other servers", server=server, service=service)
        while gate.session is session and not gate.closing:
            proofs = await self.proofs(gate, over)
            if proofs and await self.reassign(service, server, proofs, transfer_keys=True):
                return
            await self.clock.sleep(RETRY_INTERVAL)

    async def proofs(self, gate: Gate, over: SessionEnded) -> list[OwnerProof]:
        """Return the proofs that the server of a sealed session runs nothing more, or none."""
        assignment = self.assignment_store.get(gate.service.name)
        record = None if assignment is None else assignment.gates.get(gate.server.name)
        if record is None:
            return []
        promise = None
        if record.standby:
            promise = await self.links.request_promise(gate.service.name, gate.server.name, record)
        return owner_proofs(gate.server, record, over, promise, self.evidence())

    async def reassign(
        self, service: str, server: str, proofs: list[OwnerProof], transfer_keys: bool = False
    ) -> bool:
        """Record new owners for the units of `server`; return whether nothing is left to do."""
        assignment = self.assignment_store.get(service)
        if assignment is None:
            return True
        owners = self.new_owners(assignment, server)
        if transfer_keys:
            await self.transfer_keys(service, assignment, owners)

        def change(present: Assignment | None, change_id: str) -> Assignment | None:
            if present is None:
                return None
            moves = {
                unit: target
                for unit, target in owners.items()
                if present.units[unit].server == server
                and present.units[unit].epoch == assignment.units[unit].epoch
            }
            return with_moves(present, moves, proofs, change_id) if moves else None

        try:
            written = await self.assignment_store.update(service, change)
        except PlatformError as error:
            LOG.info("failed to record recovery", server=server, reason=str(error))
            return False
        except InvariantError as error:
            LOG.info("recovery superseded by another change", server=server, reason=str(error))
            return True
        if written is not None:
            LOG.warning("units recovered", server=server, units=len(owners))
        return True

    def new_owners(self, assignment: Assignment, server: str) -> dict[int, str]:
        """Return a new owner for each unit of `server`; empty when no server can take them."""
        view = self.view(assignment.service, assignment)
        return spread_lost(view, [server], self.clock.elapsed())

    async def transfer_keys(
        self, service: str, assignment: Assignment, owners: dict[int, str]
    ) -> None:
        """Send the idempotency keys of the units to the gates of their new owners."""
        handoffs = Handoffs(assignment)
        for unit, target in owners.items():
            handoffs.add_unit(unit, target, assignment.units[unit].epoch + 1)
        transfers = [self.windows.transfer(handoff) for handoff in handoffs.by_member.values()]
        await asyncio.gather(*transfers)

    async def recover_gone_servers(self) -> None:
        """Move the units of servers that are proven gone, whichever VM is their gate."""
        configuration = self.configuration()
        evidence = self.evidence()
        for server in configuration.servers.values():
            proof = evidence.gone_proof(server.name, server.vm)
            assignment = self.assignment_store.get(server.service)
            if proof is None or assignment is None or not assignment.units_of(server.name):
                continue
            if self.fleet.planner_of(server.service) == self.gate_manager.me:
                await self.reassign(server.service, server.name, [proof])
