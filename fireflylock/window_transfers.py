"""Transfers of idempotency keys from a unit's gate to its next gate."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.assignment import NO_SERVER, Assignment, GateRecord, hash_slot
from fireflylock.exceptions import ProtocolError
from fireflylock.idempotency_windows import IdempotencyWindows
from fireflylock.messages import PeerMessage, WindowTransfer, WindowTransferAck
from fireflylock.model import Service
from fireflylock.window_coverage import Mark
from fireflylock.window_replication import split_batches

# Without an acknowledgement the next gate treats unknown keys as "may have run".
ACK_TIMEOUT = timedelta(milliseconds=500)


@dataclass
class Handoff:
    """The idempotency keys that are sent to one next gate, and what they cover.

    Attributes
    ----------
    service, member : str
        The service of the keys, and the entry VM of the next gate.
    sources : set of int
        Units whose entries are sent.
    units : dict of int to Mark
        Units whose keys the next gate then knows completely, with their next ownership.
    hot_keys : dict of str to Mark
        The same for keys that leave their hash slots.
    """

    service: str
    member: str
    sources: set[int] = field(default_factory=set)
    units: dict[int, Mark] = field(default_factory=dict)
    hot_keys: dict[str, Mark] = field(default_factory=dict)


class Handoffs:
    """The handoffs for the next gates of several units, by member.

    Parameters
    ----------
    assignment : Assignment
        The assignment in force, with the gates.
    """

    def __init__(self, assignment: Assignment) -> None:
        self.assignment = assignment
        self.by_member: dict[str, Handoff] = {}

    def to(self, record: GateRecord) -> Handoff:
        """Return the handoff to the gate of `record`."""
        handoff = Handoff(self.assignment.service, record.member)
        return self.by_member.setdefault(record.member, handoff)

    def add_unit(self, unit: int, target: str, epoch: int, retired: bool = False) -> None:
        """Add a unit that the gate of `target` serves from `epoch` on.

        A `retired` hot unit gets no next owner; `target` then owns the key's hash slot.
        """
        record = self.assignment.gates.get(target)
        if record is None or not record.member:
            return
        handoff = self.to(record)
        handoff.sources.add(unit)
        mark = Mark(epoch, NO_SERVER, 0) if retired else Mark(epoch, target, record.epoch)
        handoff.units[unit] = mark

    def add_hot_key(self, key: str, slot: int, target: str, epoch: int) -> None:
        """Add a hot key for the gate of `target`; its hash slot continues with `epoch`."""
        record = self.assignment.gates.get(target)
        if record is None or not record.member:
            return
        handoff = self.to(record)
        handoff.sources.add(slot)
        handoff.hot_keys[key] = Mark(epoch, target, record.epoch)


class WindowTransfers:
    """Sends and receives idempotency keys.

    Parameters
    ----------
    windows : IdempotencyWindows
        The windows of this entry VM.
    send : callable
        ``send(member, message)`` to another entry VM.
    """

    def __init__(
        self, windows: IdempotencyWindows, send: Callable[[str, PeerMessage], bool]
    ) -> None:
        self.windows = windows
        self.send = send
        self.transfer_numbers = itertools.count(1)
        self.pending_acks: dict[int, asyncio.Future[None]] = {}

    async def transfer(self, handoff: Handoff) -> bool:
        """Send idempotency keys to the next gate.

        Returns
        -------
        bool
            Whether the next gate acknowledged all of them.
        """
        service = self.windows.configuration().services.get(handoff.service)
        if service is None:
            return False
        self.exclude_lost(service, handoff)
        batches = split_batches(self.windows.export_window(service, handoff.sources))
        for batch in batches[:-1]:
            if not await self.send_batch(Handoff(handoff.service, handoff.member), batch):
                return False
        return await self.send_batch(handoff, batches[-1])

    def exclude_lost(self, service: Service, handoff: Handoff) -> None:
        """Remove units and hot keys whose earlier keys are not all known here."""
        window = self.windows.executor_of(service).window
        window.expire(self.windows.clock.elapsed())
        for unit in set(handoff.units) & set(window.lost):
            del handoff.units[unit]
        for key in list(handoff.hot_keys):
            if hash_slot(service.name, key, service.hash_slots) in window.lost:
                del handoff.hot_keys[key]

    async def send_batch(self, handoff: Handoff, entries: list[bytes]) -> bool:
        """Send one batch and wait for its acknowledgement."""
        number = next(self.transfer_numbers)
        message = WindowTransfer(handoff.service, number, handoff.units, handoff.hot_keys, entries)
        future = asyncio.get_running_loop().create_future()
        self.pending_acks[number] = future
        try:
            if not self.send(handoff.member, message):
                return False
            async with asyncio.timeout(ACK_TIMEOUT.total_seconds()):
                await future
        except TimeoutError:
            return False
        finally:
            del self.pending_acks[number]
        return True

    def on_transfer(self, sender: str, message: WindowTransfer) -> None:
        """Import idempotency keys of an earlier gate."""
        service = self.windows.configuration().services.get(message.service)
        if service is None:
            return
        try:
            self.windows.import_window(service, message.units, message.hot_keys, message.entries)
        except ProtocolError:
            return
        self.send(sender, WindowTransferAck(message.number))

    def on_ack(self, sender: str, message: WindowTransferAck) -> None:
        """Handle the acknowledgement of a batch."""
        future = self.pending_acks.get(message.number)
        if future is not None and not future.done():
            future.set_result(None)
