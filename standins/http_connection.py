"""A small HTTP/1.1 server for stand-ins; handles one request at a time per connection."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque

import h11

from fireflylock.exchange import Headers

# Reading from the connection is paused while more unread body bytes than this are buffered.
BUFFER_BYTES = 256 * 1024


class ConnectionGoneError(Exception):
    """The peer closed the connection before the body was complete."""


class Application(ABC):
    """Answers the requests of a stand-in."""

    def connected(self, connection: "HTTPConnection") -> bool:
        """Return whether a new connection is accepted."""
        return True

    def disconnected(self, connection: "HTTPConnection") -> None:  # noqa: B027 - optional.
        """Handle the end of a connection."""

    @abstractmethod
    async def answer(self, connection: "HTTPConnection", head: h11.Request) -> None:
        """Answer one request; cancelled when the peer closes the connection."""


class HTTPConnection(asyncio.Protocol):
    """One connection to a stand-in.

    Parameters
    ----------
    application : Application
        Answers the requests.
    """

    def __init__(self, application: Application) -> None:
        self.application = application
        self.transport: asyncio.Transport | None = None
        self.http = h11.Connection(h11.SERVER)
        self.chunks: deque[bytes] = deque()
        self.buffered = 0
        self.body_complete = False
        self.changed = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; abort it if the application rejects the connection."""
        self.transport = transport
        if not self.application.connected(self):
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in flight."""
        self.application.disconnected(self)
        self.writable.set()
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Make `send` wait."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let `send` continue."""
        self.writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self.http.receive_data(data)
        self.read_events()

    def read_events(self) -> None:
        """Handle every parsed event."""
        try:
            while True:
                event = self.http.next_event()
                if type(event) is h11.Request:
                    self.body_complete = False
                    self.task = asyncio.get_running_loop().create_task(self.serve(event))
                elif type(event) is h11.Data:
                    self.buffer_body(bytes(event.data))
                elif type(event) is h11.EndOfMessage:
                    self.body_complete = True
                    self.changed.set()
                else:
                    return
        except h11.RemoteProtocolError:
            self.transport.abort()

    def buffer_body(self, data: bytes) -> None:
        """Buffer body bytes until they are read."""
        self.chunks.append(data)
        self.buffered += len(data)
        if self.buffered > BUFFER_BYTES:
            self.transport.pause_reading()
        self.changed.set()

    async def serve(self, head: h11.Request) -> None:
        """Answer one request, then continue with the next one or close the connection."""
        try:
            await self.application.answer(self, head)
        except Exception:
            self.transport.abort()
            raise
        self.task = None
        if self.transport.is_closing():
            return
        # The request may have been answered without reading its body.
        self.chunks.clear()
        self.buffered = 0
        self.transport.resume_reading()
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self.read_events()
            return
        self.transport.close()

    async def read(self) -> bytes:
        """Return the next bytes of the request's body, or ``b""`` at its end."""
        while not self.chunks and not self.body_complete:
            if self.transport.is_closing():
                raise ConnectionGoneError
            self.changed.clear()
            await self.changed.wait()
        data = b"".join(self.chunks)
        self.chunks.clear()
        self.buffered = 0
        self.transport.resume_reading()
        return data

    async def read_all(self) -> bytes:
        """Return the whole body of the request."""
        parts = []
        while data := await self.read():
            parts.append(data)
        return b"".join(parts)

    def respond(self, status: int, headers: Headers, data: bytes) -> None:
        """Write a complete answer."""
        headers = [*headers, (b"content-length", b"%d" % len(data))]
        out = self.http.send(h11.Response(status_code=status, headers=headers))
        if data:
            out += self.http.send(h11.Data(data=data))
        self.transport.write(out + self.http.send(h11.EndOfMessage()))

    def begin(self, status: int, headers: Headers) -> None:
        """Write the head of an answer."""
        self.transport.write(self.http.send(h11.Response(status_code=status, headers=headers)))

    async def send(self, data: bytes) -> None:
        """Write a part of the answer's body; wait while the send buffer is full."""
        self.transport.write(self.http.send(h11.Data(data=data)))
        await self.writable.wait()

    def end(self) -> None:
        """Write the end of the answer."""
        self.transport.write(self.http.send(h11.EndOfMessage()))
