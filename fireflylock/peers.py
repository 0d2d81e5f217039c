"""The transport between daemons: one ROUTER to receive, one DEALER per peer to send."""

import asyncio
import errno
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import zmq

from fireflylock.clock import Clock
from fireflylock.exceptions import ProtocolError
from fireflylock.log import logger
from fireflylock.messages import REQUEST_MESSAGES, PeerMessage, decode, encode
from fireflylock.peer_keys import CurveKeys, KeyAuthenticator

LOG = logger("peers")

# Messages taken from the socket before other work of the loop has its turn.
RECEIVE_BATCH = 200
HANDSHAKE_MS = 2_000
RECONNECT_MS = 50
RECONNECT_MAX_MS = 2_000
# A connection on which data stays unacknowledged for so long is closed.
UNACKNOWLEDGED_MS = 5_000
# Longest wait, in milliseconds, for messages that a stopping process has still to send: the
# answers to other VMs' requests are among them.
FLUSH_MS = 500

Callback = Callable[[str, PeerMessage], None]


@dataclass(frozen=True)
class PeerLimits:
    """Bounds of the transport.

    Attributes
    ----------
    queue_messages : int
        Messages that wait for one peer.
    message_bytes : int
        Size of the largest message that is accepted.
    max_peers : int
        Peers at once.
    """

    queue_messages: int = 2_000
    message_bytes: int = 4 * 1024 * 1024
    max_peers: int = 2_000


DEFAULT_LIMITS = PeerLimits()


@dataclass
class PeerLink:
    """The sending side of one peer.

    Attributes
    ----------
    name, address : str
        The peer, and its ``ip:port``.
    socket : zmq.Socket
        The DEALER.
    sent, refused : int
        Messages handed to the transport, and messages that found it full or unconnected.
    """

    name: str
    address: str
    socket: zmq.Socket
    sent: int = 0
    refused: int = 0


@dataclass
class Traffic:
    """Messages and bytes by message kind, before encryption and TCP/IP headers."""

    messages: Counter[str] = field(default_factory=Counter)
    bytes: Counter[str] = field(default_factory=Counter)

    def add(self, kind: str, size: int) -> None:
        """Count one message of `size` bytes."""
        self.messages[kind] += 1
        self.bytes[kind] += size

    def control_traffic(self) -> tuple[int, int]:
        """Return messages and bytes of everything but callers' requests."""
        requests = {message.__name__ for message in REQUEST_MESSAGES}
        messages = sum(count for kind, count in self.messages.items() if kind not in requests)
        size = sum(count for kind, count in self.bytes.items() if kind not in requests)
        return messages, size


class Peers:
    """Sends typed messages to other daemons and hands received ones to subscribers.

    Parameters
    ----------
    name : str
        This member.
    address : str
        ``ip:port`` to bind, for this process alone; port 0 takes a free one.
    clock : Clock
        Source of time.
    curve : CurveKeys or None
        Keys of this member and of its peers; None sends in the clear and believes the
        sender's own word for its name.
    limits : PeerLimits
        Bounds of the transport.
    """

    def __init__(
        self,
        name: str,
        address: str,
        clock: Clock,
        curve: CurveKeys | None = None,
        limits: PeerLimits = PeerLimits(),
    ) -> None:
        self.name = name
        self.address = address
        self.clock = clock
        self.curve = curve
        self.limits = limits
        self.links: dict[str, PeerLink] = {}
        self.subscribers: dict[type, list[Callback]] = {}
        self.received = Traffic()
        self.sent = Traffic()
        self.protocol_errors = 0
        self.subscriber_faults = 0
        self.context: zmq.Context | None = None
        self.receiver: zmq.Socket | None = None
        self.authenticator: KeyAuthenticator | None = None
        self.loop: asyncio.AbstractEventLoop | None = None

    def start(self) -> None:
        """Bind the receiving socket and begin to receive; needs a running loop.

        Raises
        ------
        OSError
            The address is in use or not this machine's.
        """
        self.loop = asyncio.get_running_loop()
        self.context = zmq.Context(io_threads=1)
        self.context.set(zmq.MAX_SOCKETS, self.limits.max_peers + 16)
        if self.curve is not None:
            self.authenticator = KeyAuthenticator(self.context, self.loop, self.curve)
            self.authenticator.start()
        self.receiver = self._new_receiver()
        try:
            self.receiver.bind(f"tcp://{self.address}")
        except zmq.ZMQError as error:
            self.stop()
            raise OSError(error.errno, f"cannot bind {self.address}: {error}") from error
        self.address = self.receiver.get_string(zmq.LAST_ENDPOINT).removeprefix("tcp://")
        self.loop.add_reader(self.receiver.get(zmq.FD), self._receive)
        self.loop.call_soon(self._receive)

    def stop(self, flush: bool = False) -> None:
        """Close every socket.

        Parameters
        ----------
        flush : bool
            Whether messages that wait are still sent, for at most `FLUSH_MS`; this blocks the
            loop, and belongs at the end of a process.  Otherwise they are dropped.
        """
        for name in list(self.links):
            self.disconnect(name, FLUSH_MS if flush else 0)
        if self.receiver is not None:
            self.loop.remove_reader(self.receiver.get(zmq.FD))
            self.receiver.close(linger=0)
            self.receiver = None
        if self.authenticator is not None:
            self.authenticator.stop()
            self.authenticator = None
        if self.context is not None:
            self.context.term()
            self.context = None

    def subscribe(self, message_type: type, callback: Callback) -> None:
        """Call ``callback(sender, message)`` for each received message of this type."""
        self.subscribers.setdefault(message_type, []).append(callback)

    def connect(self, name: str, address: str, public_key: str = "") -> None:
        """Keep a connection to the peer `name`; a changed address replaces the old one.

        Raises
        ------
        ProtocolError
            Keys are in use and none is known for `name`, or there are too many peers.
        """
        link = self.links.get(name)
        if name == self.name or (link is not None and link.address == address):
            return
        self.disconnect(name)
        if len(self.links) >= self.limits.max_peers:
            raise ProtocolError(f"no room for a connection to {name}")
        socket = self._new_sender(name, public_key)
        socket.connect(f"tcp://{address}")
        self.links[name] = PeerLink(name, address, socket)

    def disconnect(self, name: str, linger_ms: int = 0) -> None:
        """Close the connection to `name`; what can't be sent in the given time is dropped."""
        link = self.links.pop(name, None)
        if link is not None:
            link.socket.close(linger=linger_ms)

    def is_connected(self, name: str) -> bool:
        """Return whether a message to `name` would be accepted now."""
        if name == self.name:
            return True
        link = self.links.get(name)
        return link is not None and bool(link.socket.get(zmq.EVENTS) & zmq.POLLOUT)

    def send(self, name: str, message: PeerMessage) -> bool:
        """Hand `message` to the transport without waiting.

        Returns
        -------
        bool
            False when nothing was handed over: the peer is unknown or not connected, or its
            queue is full.  True promises nothing about the arrival.
        """
        if name == self.name:
            self.loop.call_soon(self._dispatch, name, message)
            return True
        link = self.links.get(name)
        if link is None:
            return False
        data = encode(message)
        try:
            link.socket.send(data, zmq.NOBLOCK)
        except zmq.Again:
            link.refused += 1
            return False
        link.sent += 1
        self.sent.add(type(message).__name__, len(data))
        return True

    @property
    def refused_keys(self) -> int:
        """How often a peer with an unknown key was refused."""
        return 0 if self.authenticator is None else self.authenticator.refused

    def state(self) -> list[tuple[str, object]]:
        """Return what a dump shows, as plain names and values."""
        lines: list[tuple[str, object]] = [
            ("peers.address", self.address),
            ("peers.encrypted", self.curve is not None),
            ("peers.protocol_errors", self.protocol_errors),
            ("peers.refused_keys", self.refused_keys),
            ("peers.subscriber_faults", self.subscriber_faults),
        ]
        for traffic, label in ((self.received, "received"), (self.sent, "sent")):
            messages, size = traffic.control_traffic()
            lines.append((f"peers.{label}.control_messages", messages))
            lines.append((f"peers.{label}.control_bytes", size))
        for link in self.links.values():
            text = f"{link.address} sent={link.sent} refused={link.refused}"
            lines.append((f"peers.link.{link.name}", text))
        return lines

    def _new_receiver(self) -> zmq.Socket:
        """Return the ROUTER; it only receives, replies go out by the sender's own DEALER."""
        socket = self.context.socket(zmq.ROUTER)
        socket.set(zmq.LINGER, 0)
        socket.set(zmq.MAXMSGSIZE, self.limits.message_bytes)
        socket.set(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)
        socket.set(zmq.BACKLOG, 512)
        socket.set(zmq.TCP_KEEPALIVE, 1)
        # A restarted peer takes over the name of its earlier connection.
        socket.set(zmq.ROUTER_HANDOVER, 1)
        if self.authenticator is not None:
            self.authenticator.protect(socket)
        return socket

    def _new_sender(self, name: str, public_key: str) -> zmq.Socket:
        """Return an unconnected DEALER for the peer `name`."""
        socket = self.context.socket(zmq.DEALER)
        socket.set(zmq.LINGER, 0)
        socket.set(zmq.SNDHWM, self.limits.queue_messages)
        # Without a connection a message is refused, not queued: "not sent" is then certain.
        socket.set(zmq.IMMEDIATE, 1)
        socket.set(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.set(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.set(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)
        socket.set(zmq.TCP_KEEPALIVE, 1)
        socket.set(zmq.TCP_MAXRT, UNACKNOWLEDGED_MS)
        if self.curve is None:
            socket.set(zmq.ROUTING_ID, self.name.encode())
            return socket
        key = public_key or self.curve.known.get(name, "")
        if not key:
            socket.close(linger=0)
            raise ProtocolError(f"no public key is known for {name}")
        self.curve.protect(socket, key)
        return socket

    def _receive(self) -> None:
        """Take waiting messages; the descriptor only tells of changes, so drain fully."""
        receiver = self.receiver
        for _ in range(RECEIVE_BATCH):
            if receiver is None or receiver is not self.receiver:
                return
            try:
                frames = receiver.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                return
            except zmq.ZMQError as error:
                if error.errno == errno.EINTR:
                    continue
                raise
            self._handle_frames(frames)
        self.loop.call_soon(self._receive)

    def _handle_frames(self, frames: list[zmq.Frame]) -> None:
        """Decode one received message and hand it to its subscribers."""
        try:
            sender = self._sender_of(frames)
            data = frames[1].bytes
            message = decode(data)
        except ProtocolError:
            self.protocol_errors += 1
            return
        self.received.add(type(message).__name__, len(data))
        self._dispatch(sender, message)

    def _sender_of(self, frames: list[zmq.Frame]) -> str:
        """Return the name that belongs to the sender's key, or its own word without keys."""
        if len(frames) != 2:
            raise ProtocolError(f"a message has {len(frames)} frames")
        if self.curve is not None:
            return frames[1].get("User-Id")
        try:
            return frames[0].bytes.decode()
        except UnicodeDecodeError as error:
            raise ProtocolError("a sender's name is not valid") from error

    def _dispatch(self, sender: str, message: PeerMessage) -> None:
        """Call the subscribers of `message`.

        A subscriber that fails must not keep the messages behind this one from being taken:
        the descriptor would not tell of them again.
        """
        for callback in self.subscribers.get(type(message), ()):
            try:
                callback(sender, message)
            except Exception:
                self.subscriber_faults += 1
                LOG.exception("a message was not handled", message=type(message).__name__)
