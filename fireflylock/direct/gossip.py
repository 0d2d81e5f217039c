"""What entry VMs tell each other several times a second, over UDP.

Each datagram holds the sender's present state, so that a lost one is made good by the next
and none that is old stands in the way, as it would on a stream.  Nothing in it is needed for
safety: the store and the servers' fences decide who owns what.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

import msgspec
import structlog

from fireflylock.clock import Clock, Instant
from fireflylock.direct.line_budget import LineBudget

# Largest datagram that is sent; the largest that UDP carries is slightly longer.
MAX_DATAGRAM_BYTES = 60_000
# A VM that was not heard for this long takes no part any more.
PEER_TIMEOUT = timedelta(seconds=2)
# For so long it still counts when things are divided by the number of VMs: it may only be
# cut off from here.
PEER_RETENTION = timedelta(seconds=20)
# Lines a second about messages that can't be read or applied.
DROP_LOG_RATE = 2.0

log = structlog.get_logger()


class Told(msgspec.Struct, array_like=True):
    """What every message about loads says of its sender.

    Attributes
    ----------
    vm, zone : str
        Who tells it, and its availability zone.
    """

    vm: str
    zone: str


class Hello(Told, tag="h", array_like=True):
    """A VM that has just started makes itself known."""


class Report(Told, tag="r", array_like=True):
    """What one VM has at the servers, and what waits there.

    Attributes
    ----------
    running : dict of str to int
        Requests at each server.
    waiting : list of (str, str, int)
        Service, server and number of the requests that wait for it.
    """

    running: dict[str, int]
    waiting: list[tuple[str, str, int]]


class Summed(Told, array_like=True):
    """The sums of some VMs' reports.

    Attributes
    ----------
    running, waiting
        As in `Report`.
    vms : list of str
        VMs that the sums are of.
    """

    running: dict[str, int]
    waiting: list[tuple[str, str, int]]
    vms: list[str]


class ZoneTotal(Summed, tag="z", array_like=True):
    """The sums of the sender's zone."""


class Totals(Summed, tag="t", array_like=True):
    """The sums of all zones, for the VMs of the sender's zone."""


class KeyWork(Told, tag="k", array_like=True):
    """What a VM has seen of keys and servers, told to the leader.

    Attributes
    ----------
    work : dict of str to dict of int to float
        By service and key: seconds of work asked for since it was last told.
    slowness : dict of str to (float, int)
        By server: mean slowness of the answers since it was last told, and their number.
    """

    work: dict[str, dict[int, float]]
    slowness: dict[str, tuple[float, int]] = {}


class Moving(msgspec.Struct, array_like=True):
    """Keys that nobody may run requests for now.

    Attributes
    ----------
    service, first, last
        The keys, both inclusive.
    wait_ms : int
        How long it will take at least until they have an owner.
    """

    service: str
    first: int
    last: int
    wait_ms: int


class NewOwner(msgspec.Struct, array_like=True):
    """Keys and their new owner: the keys, both inclusive, the owner's life, and the epoch."""

    first: int
    last: int
    name: str
    born: int
    host: str
    port: int
    epoch: int


class MapChange(msgspec.Struct, array_like=True):
    """One step from a map to the next.

    Attributes
    ----------
    service : str
        Whose keys.
    base, revision : int
        Revisions of the map before and after.
    next_epoch : int
        Lowest epoch that was never given to anybody.
    owners : list of NewOwner
        What has changed.
    """

    service: str
    base: int
    revision: int
    next_epoch: int
    owners: list[NewOwner]


class Placing(Told, tag="p", array_like=True):
    """What the VM that places keys tells the others.

    Attributes
    ----------
    lease, number : int
        Lease of the right, and which telling under it this is: copies of a telling that come
        by several ways count once, and an older one that is overtaken does not count.
    moving : list of Moving
        Keys that change their owner.
    revisions : dict of str to int
        Revision of each service's map.
    changes : list of MapChange
        The last steps, in order.
    """

    lease: int
    number: int
    moving: list[Moving]
    revisions: dict[str, int]
    changes: list[MapChange]


class GrantsEnd(Told, tag="e", array_like=True):
    """A leader has stepped down and grants nothing more.

    Attributes
    ----------
    ends : dict of str to (int, int)
        By service: revision of the leader's last map, and the milliseconds, from the sending
        on, within which everything that was granted ends.
    """

    ends: dict[str, tuple[int, int]]


class ServerLeaving(Told, tag="s", array_like=True):
    """A server's answer said that it shuts down.

    Attributes
    ----------
    name, born, host, port
        The server's incarnation, as in `Owner`.
    """

    name: str
    born: int
    host: str
    port: int


class Relayed(Told, tag="l", array_like=True):
    """What the placing VM tells, passed on by a VM that speaks for its zone."""

    placing: Placing


Message = (
    Hello | Report | ZoneTotal | Totals | KeyWork | Placing | GrantsEnd | ServerLeaving | Relayed
)


@dataclass
class Peer:
    """Another entry VM.

    Attributes
    ----------
    address : tuple of (str, int)
        Where it listens.
    heard_at : timedelta
        When it was last heard, or heard of.
    zone : str
        Its availability zone.
    """

    address: tuple[str, int]
    heard_at: Instant
    zone: str = ""


class Gossip(asyncio.DatagramProtocol):
    """Sends to all other entry VMs, and takes what they send.

    Parameters
    ----------
    vm : str
        Name of this VM.
    clock : Clock
        Source of time.
    on_message : callable
        Called with each message.
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
        self.drop_log_budget = LineBudget(DROP_LOG_RATE, DROP_LOG_RATE)

    async def start(self, address: tuple[str, int]) -> None:
        """Listen on `address`."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def error_received(self, exc: Exception) -> None:
        """Ignore that a VM does not listen: the next datagram may find it again."""

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take one message."""
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
            # Well-formed, but with values that make no sense; the next message may be sound.
            self.record_dropped(addr[0], error)

    def record_dropped(self, sender: str, error: Exception) -> None:
        """Count and log a message that can't be read or applied."""
        self.dropped += 1
        kind = type(error).__name__
        if not self.drop_log_budget.allows(self.clock.elapsed(), kind):
            return
        log.warning(
            "message dropped",
            sender=sender,
            error=repr(error),
            damaged=self.dropped,
            left_out=self.drop_log_budget.take_left_out(kind),
        )

    def add(self, vm: str, address: tuple[str, int], zone: str) -> Peer:
        """Return the VM of that name, which from now on is sent to."""
        peer = self.peers.get(vm)
        if peer is None:
            peer = Peer(address, self.clock.elapsed())
            self.peers[vm] = peer
            log.info("entry VM is known", peer=vm, address=f"{address[0]}:{address[1]}")
        peer.address = address
        peer.zone = zone
        return peer

    def mark_heard(self, now: Instant, vms: list[str]) -> None:
        """Note that others have heard VMs."""
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
            log.warning("gossip is too long to be sent", bytes=len(data))
            return
        for vm in self.peers if to is None else to:
            peer = self.peers.get(vm)
            if peer is None:
                continue
            self.sent += 1
            self.transport.sendto(data, peer.address)

    def greet_silent_peers(self, now: Instant, hello: Hello) -> None:
        """Greet VMs that are not heard: the greeting before may have been lost."""
        alive = set(self.alive(now))
        self.send(hello, to=[vm for vm in self.peers if vm not in alive])

    def alive(self, now: Instant) -> list[str]:
        """Return the other VMs that were heard lately."""
        return [vm for vm, peer in self.peers.items() if now - peer.heard_at < PEER_TIMEOUT]

    def fleet_size(self, now: Instant) -> int:
        """Return how many VMs things are divided by, this one included."""
        return 1 + sum(now - peer.heard_at < PEER_RETENTION for peer in self.peers.values())

    def forget_silent_peers(self, now: Instant) -> None:
        """Stop sending to VMs that were not heard for long."""
        for vm, peer in list(self.peers.items()):
            if now - peer.heard_at < 2 * PEER_RETENTION:
                continue
            del self.peers[vm]
            log.info("entry VM is forgotten", peer=vm)

    def close(self) -> None:
        """Stop."""
        if self.transport is not None:
            with contextlib.suppress(OSError):
                self.transport.close()
