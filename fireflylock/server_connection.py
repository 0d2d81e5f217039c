"""One TCP connection to a backend server."""

import socket
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from fireflylock.clock import Instant
from fireflylock.flow_protocol import FlowProtocol
from fireflylock.sockets import is_readable

if TYPE_CHECKING:
    from fireflylock.server_exchange import ServerExchange, ServerNotice


@dataclass
class PoolCounters:
    """Counts of a pool since it started.

    Attributes
    ----------
    opened, connect_failures, replaced : int
        Connections opened, failed to open, and found closed before they were reused.
    sent, answered, refused, unknown, abandoned : int
        Requests written to a connection; those answered; those refused in a typed way;
        those that failed after the send; those that nobody waited for any more.
    backlogs : int
        Responses of which far more arrived at once than is handled in one go.
    """

    opened: int = 0
    connect_failures: int = 0
    replaced: int = 0
    sent: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    abandoned: int = 0
    backlogs: int = 0


class ConnectionOwner:
    """The owner of a connection, which is told about its events.

    Attributes
    ----------
    counters : PoolCounters
        Counts of the owner since it started.
    """

    counters: PoolCounters

    def connection_released(self, connection: "ServerConnection") -> None:
        """Handle that the connection is free for the next exchange."""

    def connection_closed(self, connection: "ServerConnection") -> None:
        """Handle that the connection has ended."""

    def backlog_found(self, connection: "ServerConnection") -> None:
        """Handle that far more of a response has arrived than is handled in one go."""

    def notice_received(self, notice: "ServerNotice", sent_at: Instant) -> None:
        """Handle what the response to a request sent at `sent_at` said about the server itself."""


class ServerConnection(FlowProtocol):
    """One TCP connection to a backend server.

    Parameters
    ----------
    owner : ConnectionOwner
        Object to notify when the connection is free or closed.
    raw_socket : socket.socket
        The connected socket.
    """

    def __init__(self, owner: ConnectionOwner, raw_socket: socket.socket) -> None:
        super().__init__()
        self.owner = owner
        self.raw_socket = raw_socket
        self.exchange: ServerExchange | None = None
        self.idle_since = Instant()
        # How long the server keeps the connection open without a request, as it announced.
        self.keep_alive_timeout: timedelta | None = None
        # Ids of the requests that were refused on this connection.  A faulty server may repeat a
        # refusal, and a retry has the same id.
        self.refused_ids: set[str] = set()

    def ended(self) -> None:
        """Fail the exchange in progress, and notify the owner."""
        if self.exchange is not None:
            self.exchange.connection_ended(self.was_reset)
        self.owner.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        """Pass the bytes to the exchange; without one, none are expected."""
        if self.exchange is None:
            # Bytes that arrive without an exchange must not be taken for the response to
            # the next request.
            self.abort()
            return
        self.exchange.receive(data)

    def eof_received(self) -> bool:
        """Pass the end of the stream to the exchange; the transport then closes."""
        if self.exchange is not None:
            self.exchange.receive(b"")
        return False

    def is_open(self) -> bool:
        """Return whether the connection is open, as far as the transport knows."""
        return not self.transport.is_closing()

    def is_closed_or_readable(self) -> bool:
        """Return whether the server closed, or sent something, since the last exchange.

        The end of a stream may wait in the socket before the event loop has read it.
        """
        return is_readable(self.raw_socket)

    def release(self) -> None:
        """Release the connection for the next exchange."""
        self.exchange = None
        self.set_reading(True)
        if self.is_open():
            self.owner.connection_released(self)

    def abort(self) -> None:
        """Close immediately, which tells the server that its request is cancelled."""
        self.transport.abort()
