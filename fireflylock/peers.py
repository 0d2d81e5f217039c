"""The transport between daemons: one ROUTER socket to receive, one DEALER per peer to send."""

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

# Messages read from the socket before other tasks of the event loop get their turn.
RECEIVE_BATCH = 200
HANDSHAKE_MS = 2_000
RECONNECT_MS = 50
RECONNECT_MAX_MS = 2_000
# A connection whose data stays unacknowledged for this long is closed.
UNACKNOWLEDGED_MS = 5_000
# Maximum time that a stopping process waits to send queued messages, among them the answers to
# other VMs' requests.
FLUSH_MS = 500

Callback = Callable[[str, PeerMessage], None]


@dataclass(frozen=True)
class PeerLimits:
    """Limits of the transport.

    Attributes
    ----------
    queue_messages : int
        Maximum number of messages queued for one peer.
    message_bytes : int
        Maximum size of a received message.
    max_peers : int
        Maximum number of peers.
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
        The DEALER socket.
    sent, refused : int
        Messages passed to the transport, and messages it refused when full or unconnected.
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
        """Return the number and bytes of all messages that don't carry callers' requests."""
        requests = {message.__name__ for message in REQUEST_MESSAGES}
        messages = sum(count for kind, count in self.messages.items() if kind not in requests)
        size = sum(count for kind, count in self.bytes.items() if kind not in requests)
        return messages, size


class Peers:
    """Sends typed messages to other daemons and passes received ones to subscribers.

    Parameters
    ----------
    name : str
        This member.
    address : str
        ``ip:port`` to bind, used by no other process; port 0 chooses a free one.
    clock : Clock
        The time source.
    curve : CurveKeys or None
        Keys of this member and of its peers; None disables encryption and trusts the name that
        a sender gives itself.
    limits : PeerLimits
        Limits of the transport.
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
        """Bind the receiving socket and start to receive; requires a running event loop.

        Raises
        ------
        OSError
            The address is in use or does not belong to this machine.
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
        """Close all sockets.

        Parameters
        ----------
        flush : bool
            Whether queued messages are still sent, for at most `FLUSH_MS`; this blocks the event
            loop, so use it only when the process ends.  Otherwise they are dropped.
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
        """Stay connected to the peer `name`; a changed address replaces the old one.

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
            raise ProtocolError(f"too many peers to connect to {name}")
        socket = self._new_sender(name, public_key)
        socket.connect(f"tcp://{address}")
        self.links[name] = PeerLink(name, address, socket)

    def disconnect(self, name: str, linger_ms: int = 0) -> None:
        """Close the connection to `name`; messages not sent within `linger_ms` are dropped."""
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
        """Pass `message` to the transport without waiting.

        Returns
        -------
        bool
            False if the message was not passed on: the peer is unknown or not connected, or its
            queue is full.  True does not mean that the message will arrive.
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
        """The number of connections that were refused for an unknown key."""
        return 0 if self.authenticator is None else self.authenticator.refused

    def state(self) -> list[tuple[str, object]]:
        """Return names and values for the state dump."""
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
        """Return the ROUTER, which only receives; replies are sent by the DEALER sockets."""
        socket = self.context.socket(zmq.ROUTER)
        socket.set(zmq.LINGER, 0)
        socket.set(zmq.MAXMSGSIZE, self.limits.message_bytes)
        socket.set(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)
        socket.set(zmq.BACKLOG, 512)
        socket.set(zmq.TCP_KEEPALIVE, 1)
        # A restarted peer replaces its earlier connection of the same name.
        socket.set(zmq.ROUTER_HANDOVER, 1)
        if self.authenticator is not None:
            self.authenticator.protect(socket)
        return socket

    def _new_sender(self, name: str, public_key: str) -> zmq.Socket:
        """Return an unconnected DEALER socket for the peer `name`."""
        socket = self.context.socket(zmq.DEALER)
        socket.set(zmq.LINGER, 0)
        socket.set(zmq.SNDHWM, self.limits.queue_messages)
        # Refuse messages without a connection instead of queueing, so that unsent is certain.
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
        """Read pending messages until none is left: the descriptor signals only changes."""
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
        """Decode one received message and pass it to its subscribers."""
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
        """Return the name for the sender's key, or the name it gives itself without keys."""
        if len(frames) != 2:
            raise ProtocolError(f"a message has {len(frames)} frames")
        if self.curve is not None:
            return frames[1].get("User-Id")
        try:
            return frames[0].bytes.decode()
        except UnicodeDecodeError as error:
            raise ProtocolError("sender name is not valid UTF-8") from error

    def _dispatch(self, sender: str, message: PeerMessage) -> None:
        """Call the subscribers of `message`.

        A failing subscriber must not stop the loop that reads the following messages, since the
        descriptor would not signal them again.
        """
        for callback in self.subscribers.get(type(message), ()):
            try:
                callback(sender, message)
            except Exception:
                self.subscriber_faults += 1
                LOG.exception("message handler failed", message=type(message).__name__)
