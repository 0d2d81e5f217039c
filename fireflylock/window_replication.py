"""Replication of the idempotency window to the standby, so that it survives a lost gate.

A request with an ``Idempotency-Key`` is sent to its backend server only after the standby has
acknowledged the key.  A standby that takes the gate over therefore knows every key whose
request may have run, and can run any other.

The replica counts as complete only under a lease that the gate extends with each message (a
reading lease).  When the standby is unreachable and the lease has expired, the gate sends
requests without it, so that a zone that is cut off continues to serve its own callers.
"""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.clock import Clock, Instant
from fireflylock.exceptions import ErrorKind, ProtocolError, RequestError
from fireflylock.idempotency import Entry, IdempotencyWindow, WindowLimits
from fireflylock.messages import PeerMessage, WindowAck, WindowCopy
from fireflylock.reading_lease import DISTANT_PAST, ClockReading, ReadingLease

# Longer than a round trip between zones; a request that waits longer is answered "not run".
ACK_TIMEOUT = timedelta(milliseconds=250)
# How long a replica counts as complete after the standby's last known clock reading.  Longer
# than a takeover; requests wait up to this time when the standby is lost.
COMPLETENESS_TTL = timedelta(seconds=3)
# Interval between attempts to reach a standby whose lease has expired.
STANDBY_RETRY_INTERVAL = timedelta(seconds=1)
MICROSECOND = timedelta(microseconds=1)
# Bytes of entries per message, so that it stays far below the transport's limit.
MAX_BATCH_BYTES = 512 * 1024
# Message number of the copies of outcomes, which are not acknowledged.
NO_ACK = 0

Send = Callable[[str, PeerMessage], bool]


@dataclass(frozen=True)
class ReplicationTarget:
    """Which window is replicated, and to which standby.

    Attributes
    ----------
    service, server : str
        The backend server whose gate is on this entry VM.
    gate_epoch : int
        The recorded gate epoch.
    standby : str
        The entry VM that holds the replica.
    """

    service: str
    server: str
    gate_epoch: int
    standby: str


class ReplicationSender:
    """Sends a gate's window to its standby.

    Parameters
    ----------
    target : ReplicationTarget
        Which window is replicated, and to which standby.
    window : IdempotencyWindow
        The gate's window.
    units : callable
        Returns the epoch of each unit that the server owns currently.
    export : callable
        Returns the encoded entries of units.
    send : callable
        ``send(member, message)`` to another entry VM.
    clock : Clock
        Time.
    drift : float
        Bound on the relative difference in rate between two clocks.

    Attributes
    ----------
    lease : ReadingLease
        Until when the standby may count its replica as complete.
    synced : dict of int to int
        Units whose earlier keys the standby has acknowledged, with their epochs.
    """

    def __init__(
        self,
        target: ReplicationTarget,
        window: IdempotencyWindow,
        units: Callable[[], dict[int, int]],
        export: Callable[[set[int]], list[bytes]],
        send: Send,
        clock: Clock,
        drift: float,
    ) -> None:
        self.target = target
        self.window = window
        self.units = units
        self.export = export
        self.send = send
        self.clock = clock
        self.lease = ReadingLease(COMPLETENESS_TTL, drift)
        self.reading: ClockReading | None = None
        self.standalone_until: Instant = DISTANT_PAST
        self.sent_at: dict[int, Instant] = {}
        self.synced: dict[int, int] = {}
        self.message_numbers = itertools.count(NO_ACK + 1)
        self.pending_acks: dict[int, asyncio.Future[None]] = {}
        self.lock = asyncio.Lock()

    async def begin(self, entry: Entry, unit: int, epoch: int) -> None:
        """Return once the request of `entry` may run.

        Raises
        ------
        RequestError
            The standby does not answer and may still count its replica as complete; nothing
            was sent to the backend server.
        """
        if self.clock.elapsed() < self.standalone_until:
            return
        try:
            if self.synced.get(unit) != epoch:
                await self.sync(unit, epoch)
            await self.copy({}, [self.window.export_entry(self.clock.elapsed(), entry)])
        except TimeoutError:
            # A restarted standby has no replica and sends no acknowledgement.
            self.synced.clear()
            if self.lease.is_over(self.clock.elapsed()):
                self.standalone_until = self.clock.elapsed() + STANDBY_RETRY_INTERVAL
                return
            raise RequestError(
                ErrorKind.MOVED, f"the standby {self.target.standby} does not answer"
            ) from None

    def extend_lease(self) -> None:
        """Extend the time for which the standby counts its replica as complete, if it is."""
        if not self.synced:
            return
        number = next(self.message_numbers)
        self.record_sent(number)
        self.send(self.target.standby, self.message(number, {}, []))

    def record_sent(self, number: int) -> None:
        """Record when a message was sent whose acknowledgement carries a clock reading."""
        now = self.clock.elapsed()
        self.sent_at[number] = now
        for old in [old for old, at in self.sent_at.items() if now - at > COMPLETENESS_TTL]:
            del self.sent_at[old]

    def settle(self, entry: Entry) -> None:
        """Send a request's outcome to the standby; if it is lost, only the response is."""
        data = self.window.export_entry(self.clock.elapsed(), entry)
        self.send(self.target.standby, self.message(NO_ACK, {}, [data]))

    async def sync(self, unit: int, epoch: int) -> None:
        """Copy the entries of every unit that the standby has not acknowledged yet."""
        async with self.lock:
            if self.synced.get(unit) == epoch:
                return
            missing = {
                number: at for number, at in self.units().items() if self.synced.get(number) != at
            }
            batches = split_batches(self.export(set(missing)))
            first = not self.synced
            for batch in batches[:-1]:
                await self.copy({}, batch, first)
                first = False
            known = {
                number: at for number, at in missing.items() if number not in self.window.lost
            }
            await self.copy(known, batches[-1], first)
            self.synced.update(missing)

    async def copy(self, units: dict[int, int], entries: list[bytes], first: bool = False) -> None:
        """Send entries and wait for the acknowledgement; raises TimeoutError without one."""
        number = next(self.message_numbers)
        future = asyncio.get_running_loop().create_future()
        self.pending_acks[number] = future
        self.record_sent(number)
        try:
            self.send(self.target.standby, self.message(number, units, entries, first))
            async with asyncio.timeout(ACK_TIMEOUT.total_seconds()):
                await future
        finally:
            del self.pending_acks[number]

    def message(
        self, number: int, units: dict[int, int], entries: list[bytes], first: bool = False
    ) -> WindowCopy:
        """Return the message that carries entries."""
        target = self.target
        until_us = 0
        if self.reading is not None:
            until_us = self.lease.renewal(self.reading) // MICROSECOND
        return WindowCopy(
            target.service,
            target.server,
            target.gate_epoch,
            number,
            first,
            until_us,
            units,
            entries,
        )

    def on_ack(self, message: WindowAck) -> None:
        """Handle the standby's acknowledgement, with its clock reading."""
        sent_at = self.sent_at.pop(message.number, None)
        if sent_at is not None:
            value = message.reading_us * MICROSECOND
            self.reading = ClockReading(value, sent_at, self.clock.elapsed())
        future = self.pending_acks.get(message.number)
        if future is not None and not future.done():
            future.set_result(None)


@dataclass
class WindowReplica:
    """A standby's replica of the window for one backend server.

    Attributes
    ----------
    gate_epoch : int
        The recorded gate epoch under which it was replicated.
    window : IdempotencyWindow
        The entries.
    complete_until : timedelta
        Until when no entry can be missing, on this entry VM's clock.
    units : dict of int to int
        Units whose keys are all known, with their epochs.
    """

    gate_epoch: int
    window: IdempotencyWindow
    complete_until: Instant = DISTANT_PAST
    units: dict[int, int] = field(default_factory=dict)


class ReplicaStore:
    """The replicas that a standby holds.

    Parameters
    ----------
    limits : callable
        Returns the bounds of a service's window by the service's name, or None.
    send : callable
        ``send(member, message)`` to another entry VM.
    clock : Clock
        Time.
    """

    def __init__(
        self, limits: Callable[[str], WindowLimits | None], send: Send, clock: Clock
    ) -> None:
        self.limits = limits
        self.send = send
        self.clock = clock
        self.replicas: dict[str, WindowReplica] = {}

    def on_copy(self, sender: str, message: WindowCopy) -> None:
        """Store entries of a gate; only what is stored completely is acknowledged."""
        replica = self.replica(message)
        if replica is None:
            return
        try:
            replica.window.import_(self.clock.elapsed(), message.entries)
        except ProtocolError:
            return
        replica.units.update(message.units)
        until = message.until_us * MICROSECOND
        replica.complete_until = max(replica.complete_until, until)
        if message.number == NO_ACK:
            return
        reading_us = self.clock.elapsed() // MICROSECOND
        target = (message.service, message.server, message.gate_epoch)
        self.send(sender, WindowAck(*target, message.number, reading_us))

    def replica(self, message: WindowCopy) -> WindowReplica | None:
        """Return the replica for the entries, or None when it cannot be complete.

        Entries that continue a replica of an earlier process of this entry VM are refused:
        without an acknowledgement the gate sends everything again.
        """
        held = self.replicas.get(message.server)
        if held is not None and held.gate_epoch > message.gate_epoch:
            return None
        if message.first:
            limits = self.limits(message.service)
            if limits is None:
                return None
            held = WindowReplica(message.gate_epoch, IdempotencyWindow(limits))
            self.replicas[message.server] = held
        if held is None or held.gate_epoch != message.gate_epoch:
            return None
        return held

    def pop_if_complete(self, server: str, gate_epoch: int) -> WindowReplica | None:
        """Remove and return the replica for the gate epoch that has just ended.

        Returns None when it is not complete: the gate may have continued without this
        standby.
        """
        held = self.replicas.get(server)
        if held is None or held.gate_epoch != gate_epoch:
            return None
        del self.replicas[server]
        return held if self.clock.elapsed() < held.complete_until else None


def split_batches(entries: list[bytes]) -> list[list[bytes]]:
    """Return entries in batches of bounded size; at least one batch, which may be empty."""
    batches: list[list[bytes]] = [[]]
    size = 0
    for entry in entries:
        if batches[-1] and size + len(entry) > MAX_BATCH_BYTES:
            batches.append([])
            size = 0
        batches[-1].append(entry)
        size += len(entry)
    return batches
