"""Messages between a gate and its standby: rights and promises, and the standby's claims."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from fireflylock.assignment import GateRecord
from fireflylock.assignment_store import AssignmentStore
from fireflylock.clock import Clock
from fireflylock.control_calls import ControlReply
from fireflylock.fleet import Fleet
from fireflylock.gate_manager import GateManager
from fireflylock.log import logger
from fireflylock.messages import PeerMessage, StandbyPromiseRequest
from fireflylock.messages import StandbyPromise as PromiseMessage
from fireflylock.messages import StandbyRight as RightMessage
from fireflylock.model import BackendServer, Service
from fireflylock.proofs import StandbyPromise
from fireflylock.standby import PromiseAnswer, Standby, StandbyRight

LOG = logger("standby")

ANSWER_TIMEOUT = timedelta(milliseconds=200)


class StandbyLinks:
    """Exchanges messages between gates and their standbys, on both sides.

    Parameters
    ----------
    standby : Standby
        The rights, claims and promises of this process.
    gate_manager : GateManager
        The gates of this entry VM.
    assignment_store : AssignmentStore
        The current assignments.
    fleet : Fleet
        The other entry VMs.
    send : callable
        ``send(member, message)`` to another entry VM.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        standby: Standby,
        gate_manager: GateManager,
        assignment_store: AssignmentStore,
        fleet: Fleet,
        send: Callable[[str, PeerMessage], bool],
        clock: Clock,
    ) -> None:
        self.standby = standby
        self.gate_manager = gate_manager
        self.assignment_store = assignment_store
        self.fleet = fleet
        self.send = send
        self.clock = clock
        self.waiting: dict[tuple[str, int], asyncio.Future[PromiseAnswer]] = {}

    # Methods of the gate.

    def send_rights(self) -> None:
        """Send its right to the standby of every open gate."""
        for gate in self.gate_manager.gates.values():
            assignment = self.assignment_store.get(gate.service.name)
            if assignment is None or not gate.open or not gate.service.checks_grants:
                continue
            record = assignment.gates.get(gate.server.name)
            if (
                record is None
                or not record.standby
                or (record.epoch, 0) != gate.session.gate_epoch
            ):
                continue
            process = self.fleet.processes.get(record.standby)
            if process is None:
                continue
            right = RightMessage(
                gate.service.name,
                gate.server.name,
                record.server_incarnation,
                record.epoch,
                process,
            )
            self.send(record.standby, right)

    async def request_promise(
        self, service: str, server: str, record: GateRecord
    ) -> StandbyPromise | None:
        """Return the standby's promise never to claim `server` under this gate epoch, or None."""
        request_id = (server, record.epoch)
        future = asyncio.get_running_loop().create_future()
        self.waiting[request_id] = future
        try:
            if not self.send(record.standby, StandbyPromiseRequest(service, server, record.epoch)):
                return None
            async with asyncio.timeout(ANSWER_TIMEOUT.total_seconds()):
                answer = await future
        except TimeoutError:
            return None
        finally:
            del self.waiting[request_id]
        if answer is not PromiseAnswer.PROMISED:
            LOG.info(
                "standby gave no promise",
                server=server,
                standby=record.standby,
                answer=answer.value,
            )
            return None
        return StandbyPromise(server, record.epoch, record.standby)

    def on_promise(self, sender: str, message: PromiseMessage) -> None:
        """Handle the standby's answer."""
        future = self.waiting.get((message.server, message.gate_epoch))
        if future is None or future.done():
            return
        try:
            future.set_result(PromiseAnswer(message.answer))
        except ValueError:
            LOG.warning("unknown answer from standby", standby=sender, answer=message.answer)

    # Methods of the standby.

    def on_right(self, sender: str, message: RightMessage) -> None:
        """Store a right that a gate sent."""
        self.standby.on_right(
            StandbyRight(message.server, message.incarnation, message.gate_epoch, message.process)
        )

    def on_request(self, sender: str, message: StandbyPromiseRequest) -> None:
        """Answer a request for the promise not to claim a server."""
        answer, _ = self.standby.promise(self.clock.elapsed(), message.server, message.gate_epoch)
        reply = PromiseMessage(message.service, message.server, message.gate_epoch, answer.value)
        self.send(sender, reply)

    def has_claimed(self, server: str, record: GateRecord) -> bool:
        """Return whether this process has claimed `server` under the recorded gate epoch."""
        is_standby = record.standby == self.standby.member
        return is_standby and self.standby.claimed.get(server, 0) == record.epoch

    def claim(self, service: Service, server: BackendServer, hello: ControlReply) -> bool:
        """Claim a server without a platform write if our right allows; return whether it did."""
        session = self.standby.claim(self.clock.elapsed(), hello)
        if session is None:
            return False
        LOG.warning(
            "server claimed without a platform write",
            server=server.name,
            gate_epoch=session.gate_epoch,
        )
        self.gate_manager.open_provisional(server, service, session)
        return True
