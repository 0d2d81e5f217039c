"""CURVE keys of the peers, and the in-process authentication of connections (ZAP)."""

import asyncio
from dataclasses import dataclass, field

import zmq
from zmq.utils import z85

ZAP_ENDPOINT = "inproc://zeromq.zap.01"
ZAP_VERSION = b"1.0"
ZAP_DOMAIN = b"fireflylock"
PUBLIC_KEY_FRAME = 6


@dataclass(frozen=True)
class CurveKeys:
    """A member's key pair and the public keys of its peers, as 40 characters of Z85.

    Attributes
    ----------
    public, secret : str
        This member's key pair.
    known : dict of str to str
        Public key by member name; no other key may connect.
    """

    public: str
    secret: str = field(repr=False)
    known: dict[str, str] = field(default_factory=dict)

    @classmethod
    def new(cls, known: dict[str, str] | None = None) -> "CurveKeys":
        """Return a new key pair."""
        public, secret = zmq.curve_keypair()
        return cls(public.decode(), secret.decode(), dict(known or {}))

    def protect(self, socket: zmq.Socket, server_key: str) -> None:
        """Encrypt an outgoing connection to the owner of `server_key`."""
        socket.curve_publickey = self.public.encode()
        socket.curve_secretkey = self.secret.encode()
        socket.curve_serverkey = server_key.encode()


class KeyAuthenticator:
    """Answers libzmq's requests to authenticate the public key of a connection (RFC 27/ZAP).

    Parameters
    ----------
    context : zmq.Context
        The context whose sockets are protected.
    loop : asyncio.AbstractEventLoop
        The event loop of the process.
    curve : CurveKeys
        This member's keys and the known peers.
    """

    def __init__(
        self, context: zmq.Context, loop: asyncio.AbstractEventLoop, curve: CurveKeys
    ) -> None:
        self.loop = loop
        self.curve = curve
        self.refused = 0
        self.socket = context.socket(zmq.REP)

    def start(self) -> None:
        """Start answering requests."""
        self.socket.set(zmq.LINGER, 0)
        self.socket.bind(ZAP_ENDPOINT)
        self.loop.add_reader(self.socket.get(zmq.FD), self._answer)

    def stop(self) -> None:
        """Stop answering requests."""
        self.loop.remove_reader(self.socket.get(zmq.FD))
        self.socket.close(linger=0)

    def protect(self, socket: zmq.Socket) -> None:
        """Make a listening socket accept only connections with a known key."""
        socket.set(zmq.CURVE_SERVER, 1)
        socket.curve_secretkey = self.curve.secret.encode()
        socket.set(zmq.ZAP_DOMAIN, ZAP_DOMAIN)

    def _answer(self) -> None:
        """Answer all pending requests, since the descriptor signals only changes."""
        while self.socket.get(zmq.EVENTS) & zmq.POLLIN:
            request = self.socket.recv_multipart(zmq.NOBLOCK)
            self.socket.send_multipart(self._authenticate(request), zmq.NOBLOCK)

    def _authenticate(self, request: list[bytes]) -> list[bytes]:
        """Return the frames of the reply."""
        request_id = request[1]
        key = z85.encode(request[PUBLIC_KEY_FRAME]).decode()
        for name, known_key in self.curve.known.items():
            if known_key == key:
                return [ZAP_VERSION, request_id, b"200", b"", name.encode(), b""]
        self.refused += 1
        return [ZAP_VERSION, request_id, b"400", b"unknown key", b"", b""]
