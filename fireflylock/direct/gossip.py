"""Messages that entry VMs send each other several times a second, over UDP.

Each datagram holds the sender's present state, so that a lost one is made good by the next
and an old one does not delay newer ones, as it would on a stream.  None is needed for safety:
the store and the servers' fences decide who owns what.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

import msgspec
import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.direct.key_ranges import LapsingRecord
from fireflylock.direct.log_budget import LogBudget
from fireflylock.load_control.concurrency_limit import SampleBatch
from fireflylock.load_control.slow_start import ColdObservation

# Largest datagram that is sent; the UDP limit is slightly higher.
MAX_DATAGRAM_BYTES = 60_000
# A VM that was not heard for this long is no longer considered alive.
PEER_TIMEOUT = timedelta(seconds=2)
# For this long it still counts in the fleet size, by which shared limits are divided: it may
# only be cut off from this VM.
PEER_RETENTION = timedelta(seconds=20)
# Log lines a second about messages that can't be decoded or applied.
DROP_LOG_RATE = 2.0

log = structlog.get_logger()


class Told(msgspec.Struct, array_like=True):
    """The sender of a message; part of every message.

    Attributes
    ----------
    vm, zone : str
        The sending VM, and its availability zone.
    """

    vm: str
    zone: str


class Hello(Told, tag="h", array_like=True):
    """Introduction of a VM to the others, sent at its start and to silent VMs."""


class SeenLimit(msgspec.Struct, array_like=True):
    """What a response has said about the request limit of a server.

    Attributes
    ----------
    server, born
        The server's incarnation, as in `Owner`.
    limit : float or None
        Requests a second that it takes from all VMs together; None for no limit.
    age_ms : int
        For how long this has been known to be true.
    """

    server: str
    born: int
    limit: float | None
    age_ms: int


class Report(Told, tag="r", array_like=True):
    """The requests that one VM has running at the servers, and waiting for them.

    Attributes
    ----------
    running : dict of str to int
        Number of requests at each server.
    waiting : list of (str, str, int)
        Service, server and number of the requests that wait for that server.
    limits : list of SeenLimit
        What responses to this VM have said lately about limits.
    revisions : dict of str to int
        Latest change that the VM has read from the store, by prefix.
    shared : dict of str to Raw
        Encoded observations by the name of their `SharedState`.
    """

    running: dict[str, int]
    waiting: list[tuple[str, str, int]]
    limits: list[SeenLimit] = []
    revisions: dict[str, int] = {}
    shared: dict[str, msgspec.Raw] = {}


class Summed(Told, array_like=True):
    """The sums of some VMs' reports.

    Attributes
    ----------
    running, waiting
        As in `Report`.
    vms : list of str
        The VMs whose reports are summed.
    limits : list of SeenLimit
        The latest of these VMs' reports on each server's limit.
    revisions : dict of str to int
        The latest of these VMs' changes, as in `Report`.
    shared : dict of str to Raw
        Observations known to the sender, as in `Report`.
    """

    running: dict[str, int]
    waiting: list[tuple[str, str, int]]
    vms: list[str]
    limits: list[SeenLimit] = []
    revisions: dict[str, int] = {}
    shared: dict[str, msgspec.Raw] = {}


class ZoneTotal(Summed, tag="z", array_like=True):
    """The sums of the sender's zone."""


class Totals(Summed, tag="t", array_like=True):
    """The sums of all zones, for the VMs of the sender's zone."""


class KeyWork(Told, tag="k", array_like=True):
    """What a VM has seen of keys and servers, reported to the leader.

    Attributes
    ----------
    work : dict of str to dict of int to float
        By service and key: seconds of work requested since the last report.
    slowness : dict of str to (float, int)
        By server: mean slowness of the answers since the last report, and their number.
    latencies : SampleBatch or None
        Samples for the VM that learns the servers' concurrency limits.
    """

    work: dict[str, dict[int, float]]
    slowness: dict[str, tuple[float, int]] = {}
    latencies: SampleBatch | None = None


class Moving(msgspec.Struct, array_like=True):
    """Migrating keys, for which nobody may run requests now.

    Attributes
    ----------
    service, first, last
        The service, and the first and last key, both inclusive.
    wait_ms : int
        Minimum time until they have an owner.
    """

    service: str
    first: int
    last: int
    wait_ms: int


class NewOwner(msgspec.Struct, array_like=True):
    """A key range, both ends inclusive, with its new owner's incarnation and its new epoch."""

    first: int
    last: int
    name: str
    born: int
    host: str
    port: int
    epoch: int


class MapChange(msgspec.Struct, array_like=True):
    """The difference between a map and a newer one.

    Attributes
    ----------
    service : str
        The service whose keys are mapped.
    base, revision : int
        Revisions of the map before and after.
    next_epoch : int
        Lowest epoch that has never been assigned.
    owners : list of NewOwner
        The reassigned ranges.
    lapsing : list of LapsingRecord
        Ranges that lapse from the newer map on.
    """

    service: str
    base: int
    revision: int
    next_epoch: int
    owners: list[NewOwner]
    lapsing: list[LapsingRecord] = []


class Placing(Told, tag="p", array_like=True):
    """What the leader publishes to the other VMs.

    Attributes
    ----------
    lease, number : int
        The leader lease, and the sequence number under it: copies of a message that arrive by
        several paths count once, and a message that a newer one has overtaken is ignored.
    moving : list of Moving
        Keys that are migrating.
    revisions : dict of str to int
        Revision of each service's map.
    changes : list of MapChange
        The latest changes, in order.
    led_ms : int
        For how long the sender has led; -1 if it does not say.
    """

    lease: int
    number: int
    moving: list[Moving]
    revisions: dict[str, int]
    changes: list[MapChange]
    led_ms: int = -1


class GrantsEnd(Told, tag="e", array_like=True):
    """A leader has stepped down and makes no more grants.

    Attributes
    ----------
    ends : dict of str to (int, int)
        By service: revision of the leader's last map, and the milliseconds, from the sending
        on, within which every grant ends.
    """

    ends: dict[str, tuple[int, int]]


class ServerLeaving(Told, tag="s", array_like=True):
    """A server is shutting down, as one of its answers has said.

    Attributes
    ----------
    name, born, host, port
        The server's incarnation, as in `Owner`.
    """

    name: str
    born: int
    host: str
    port: int


class PermitAsk(msgspec.Struct, array_like=True):
    """The permits that a VM needs for one server.

    Attributes
    ----------
    server, born
        The server's incarnation, as in `Owner`.
    stream : int
        The VM's account at the issuer, in which the next two count.
    waiting, spare, priority : int
        As in `Demand`.
    received, returned : int
        Permits that the VM has received so far, and given back.
    seen : SeenLimit or None
        The limit as the VM itself has seen it.
    cold : ColdObservation or None
        Why the VM takes the server for cold.
    """

    server: str
    born: int
    stream: int
    waiting: int
    spare: int
    priority: int
    received: int
    returned: int
    seen: SeenLimit | None
    cold: ColdObservation | None = None


class PermitAsks(Told, tag="a", array_like=True):
    """Asks the VM that issues the permits for some servers for permits."""

    asks: list[PermitAsk]


class PermitGrant(msgspec.Struct, array_like=True):
    """The permits that a VM has got for one server.

    Attributes
    ----------
    server, stream
        As in `PermitAsk`.
    issued : int
        Permits issued so far under this account.
    wait_ms : int
        How long one more request would wait for its permit.
    """

    server: str
    stream: int
    issued: int
    wait_ms: int


class PermitGrants(Told, tag="g", array_like=True):
    """Answers `PermitAsks`."""

    grants: list[PermitGrant]


class Relayed(Told, tag="l", array_like=True):
    """A message of the leader of another zone, relayed to the other VMs of the sender's zone."""

    placing: Placing


class ConfigurationRequest(Told, tag="q", array_like=True):
    """Asks a VM for its configuration if it is newer than the sender's.

    Attributes
    ----------
    known : int
        Revision of the sender's configuration; 0 if it has none.
    version : int or None
        Version of the sender's configuration; None from VMs that compare revisions only.
    """

    known: int
    version: int | None = None


class ConfigurationPart(Told, tag="c", array_like=True):
    """A part of a configuration as stored, compressed.

    Attributes
    ----------
    key, revision : str, int
        Key and revision of the value.
    index, count : int
        Number of the part, from 0, and of all parts.
    data : bytes
        The part.
    """

    key: str
    revision: int
    index: int
    count: int
    data: bytes


class StoreChange(msgspec.Struct, array_like=True):
    """A key in the store with its value, or without data if the key was removed."""

    key: str
    revision: int
    data: bytes


class StoreChanges(Told, tag="w", array_like=True):
    """What a VM has read below a prefix of the store, for the other VMs of its zone.

    Attributes
    ----------
    prefix : str
        The prefix.
    base, revision : int
        Revisions of the store; the changes after the first one, up to the second, are included.
    changes : bytes
        The list of `StoreChange`, compressed; empty if nothing has changed.
    """

    prefix: str
    base: int
    revision: int
    changes: bytes = b""


Message = (
    Hello
    | Report
    | ZoneTotal
    | Totals
    | KeyWork
    | Placing
    | GrantsEnd
    | ServerLeaving
    | PermitAsks
    | PermitGrants
    | ConfigurationRequest
    | ConfigurationPart
    | Relayed
    | StoreChanges
)


@dataclass
class Peer:
    """Another entry VM.

    Attributes
    ----------
    address : tuple of (str, int)
        Where it listens.
    heard_at : timedelta
        When it, or a report of another VM about it, was last heard.
    zone : str
        Its availability zone.
    """

    address: tuple[str, int]
    heard_at: Instant
    zone: str = ""


class Gossip(asyncio.DatagramProtocol):
    """Sends messages to the other entry VMs, and receives theirs.

    Parameters
    ----------
    vm : str
        Name of this VM.
    clock : Clock
        Source of time.
    on_message : callable
        Called with each received message.
    """

    def __init__(self, vm: str, clock: Clock, on_message: Callable[[Message], None]) -> None:
        self.vm = vm
        self.clock = clock
        self.on_message = on_message
        self.peers: dict[str, Peer] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Message)
        self.sent = 0
        self.received = 0
        self.dropped = 0
        self.drop_log_budget = LogBudget(DROP_LOG_RATE, DROP_LOG_RATE)

    async def start(self, address: tuple[str, int]) -> None:
        """Listen on `address`."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def error_received(self, exc: Exception) -> None:
        """Ignore a VM that does not listen: it may do so when the next datagram arrives."""

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and deliver one message."""
        try:
            message = self.decoder.decode(data)
        except msgspec.DecodeError as error:
            self.record_dropped(addr[0], error)
            return
        if message.vm == self.vm:
            return
        self.received += 1
        peer = self.add(message.vm, addr, message.zone)
        peer.heard_at = self.clock.elapsed()
        try:
            self.on_message(message)
        except Exception as error:
            # Well-formed, but with values that make no sense; the next message may be valid.
            self.record_dropped(addr[0], error)

    def record_dropped(self, sender: str, error: Exception) -> None:
        """Count and log a message that can't be decoded or applied."""
        self.dropped += 1
        kind = type(error).__name__
        if not self.drop_log_budget.allows(self.clock.elapsed(), kind):
            return
        log.warning(
            "message dropped",
            sender=sender,
            error=repr(error),
            damaged=self.dropped,
            left_out=self.drop_log_budget.take_omitted(kind),
        )

    def add(self, vm: str, address: tuple[str, int], zone: str) -> Peer:
        """Add a VM to the peers if it is new, update its address, and return it."""
        peer = self.peers.get(vm)
        if peer is None:
            peer = Peer(address, self.clock.elapsed())
            self.peers[vm] = peer
            log.info("peer VM added", peer=vm, address=f"{address[0]}:{address[1]}")
        peer.address = address
        peer.zone = zone
        return peer

    def mark_heard(self, now: Instant, vms: list[str]) -> None:
        """Record that another VM has heard these VMs."""
        for vm in vms:
            peer = self.peers.get(vm)
            if peer is not None:
                peer.heard_at = now

    def send(self, message: Message, to: Iterable[str] | None = None) -> None:
        """Send a message to some of the other VMs, or to all of them."""
        if self.transport is None or self.transport.is_closing():
            return
        data = self.encoder.encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            log.warning("message exceeds the datagram limit; not sent", bytes=len(data))
            return
        for vm in self.peers if to is None else to:
            peer = self.peers.get(vm)
            if peer is None:
                continue
            self.sent += 1
            self.transport.sendto(data, peer.address)

    def greet_silent_peers(self, now: Instant, hello: Hello) -> None:
        """Send `hello` to VMs that are not heard: the previous one may have been lost."""
        alive = set(self.alive(now))
        self.send(hello, to=[vm for vm in self.peers if vm not in alive])

    def is_alive(self, now: Instant, vm: str) -> bool:
        """Return whether another VM was heard within `PEER_TIMEOUT`."""
        return now - self.peers[vm].heard_at < PEER_TIMEOUT

    def alive(self, now: Instant) -> list[str]:
        """Return the other VMs that were heard within `PEER_TIMEOUT`."""
        return [vm for vm in self.peers if self.is_alive(now, vm)]

    def hears_most(self, now: Instant) -> bool:
        """Return whether this VM hears more than half of the others, or there are none."""
        return not self.peers or 2 * len(self.alive(now)) > len(self.peers)

    def fleet_size(self, now: Instant) -> int:
        """Return the number of VMs that share limits, this one included."""
        return 1 + sum(now - peer.heard_at < PEER_RETENTION for peer in self.peers.values())

    def forget_silent_peers(self, now: Instant) -> None:
        """Remove VMs that were not heard for a long time."""
        for vm, peer in list(self.peers.items()):
            if now - peer.heard_at < 2 * PEER_RETENTION:
                continue
            del self.peers[vm]
            log.info("silent peer VM removed", peer=vm)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            with contextlib.suppress(OSError):
                self.transport.close()
