"""One TCP connection to a backend server."""

import socket
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from fireflylock.clock import Instant
from fireflylock.flow_protocol import FlowProtocol

if TYPE_CHECKING:
    from fireflylock.server_exchange import ServerExchange, ServerNotice


@dataclass
class PoolCounters:
    """What a pool has seen since it started.

    Attributes
    ----------
    opened, connect_failures, replaced : int
        Connections opened, failed to open, and found closed before they were used again.
    sent, answered, refused, unknown, abandoned : int
        Requests handed to a connection; those answered; those refused in a typed way;
        those that failed afterwards; those nobody waited for any more.
    """

    opened: int = 0
    connect_failures: int = 0
    replaced: int = 0
    sent: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    abandoned: int = 0


class ConnectionOwner:
    """What a connection belongs to; it is told of both events.

    Attributes
    ----------
    counters : PoolCounters
        What the owner has seen since it started.
    """

    counters: PoolCounters

    def connection_released(self, connection: "ServerConnection") -> None:
        """Take note that the connection is free for the next exchange."""

    def connection_closed(self, connection: "ServerConnection") -> None:
        """Take note that the connection has ended."""

    def notice_received(self, notice: "ServerNotice") -> None:
        """Take note of what an answer said of the server itself."""


class ServerConnection(FlowProtocol):
    """One TCP connection to a backend server.

    Parameters
    ----------
    owner : ConnectionOwner
        Whom to tell when the connection is free or lost.
    raw_socket : socket.socket
        The connected socket.
    """

    def __init__(self, owner: ConnectionOwner, raw_socket: socket.socket) -> None:
        super().__init__()
        self.owner = owner
        self.raw_socket = raw_socket
        self.exchange: ServerExchange | None = None
        self.idle_since = Instant()
        # How long the server said that it keeps the connection without a request.
        self.keep_alive_timeout: timedelta | None = None

    def ended(self) -> None:
        """Fail the exchange that was on the way, and tell the pool."""
        if self.exchange is not None:
            self.exchange.connection_ended()
        self.owner.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        """Pass the bytes to the exchange; without one, nothing may come."""
        if self.exchange is None:
            # Answering an exchange that has not begun: whatever it is, it must not be
            # taken for the next request's answer.
            self.abort()
            return
        self.exchange.receive(data)

    def eof_received(self) -> bool:
        """Let the exchange see the end of the stream; the transport then closes."""
        if self.exchange is not None:
            self.exchange.receive(b"")
        return False

    def is_open(self) -> bool:
        """Return whether the connection can carry an exchange, as far as is known here."""
        return not self.transport.is_closing()

    def is_closed_or_readable(self) -> bool:
        """Return whether the server closed, or sent something, since the last exchange.

        The end of a stream may wait in the socket before the loop has seen it.
        """
        try:
            self.raw_socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def release(self) -> None:
        """Make the connection free again."""
        self.exchange = None
        self.set_reading(True)
        if self.is_open():
            self.owner.connection_released(self)

    def abort(self) -> None:
        """Close at once; for the server this is the cancellation of its request."""
        self.transport.abort()
