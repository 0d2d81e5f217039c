"""A TCP connection with flow control in both directions."""

import asyncio
from abc import ABC, abstractmethod


class FlowProtocol(asyncio.Protocol, ABC):
    """Flow control shared by the HTTP server and the HTTP client.

    Attributes
    ----------
    transport : asyncio.Transport or None
        Set once connected.
    writable : asyncio.Future or None
        Set while writing is paused, until the other side has read enough.
    reading : bool
        Whether bytes are read from the socket.
    was_reset : bool
        Whether the other side has reset the connection.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.writable: asyncio.Future[None] | None = None
        self.reading = True
        self.was_reset = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake waiting writers, and let the subclass clean up."""
        self.was_reset = isinstance(exc, ConnectionResetError | BrokenPipeError)
        self.resume_writing()
        self.ended()

    @abstractmethod
    def ended(self) -> None:
        """Clean up after the end of the connection."""

    def pause_writing(self) -> None:
        """Make writers wait."""
        self.writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Wake waiting writers."""
        writable, self.writable = self.writable, None
        if writable is not None and not writable.done():
            writable.set_result(None)

    def set_reading(self, wanted: bool) -> None:
        """Pause or resume reading from the socket."""
        if wanted == self.reading or self.transport.is_closing():
            return
        self.reading = wanted
        if wanted:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()
