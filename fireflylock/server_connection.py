"""One connection to a backend server, and the one exchange that it carries at a time."""

import asyncio
import socket
from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

import h11

from fireflylock.clock import Instant
from fireflylock.exceptions import BodyCutShortError, ErrorKind, RequestError
from fireflylock.exchange import Body, Headers, Request, Response
from fireflylock.http1 import (
    BODY_BUFFER_BYTES,
    REFUSED_HEADER,
    body_length,
    end_to_end_headers,
    framing_problem,
    header,
    is_chunked,
)

if TYPE_CHECKING:
    from fireflylock.backend import PoolCounters

# Longest head of a server's answer, in bytes.
ANSWER_HEAD_BYTES = 64 * 1024

# The status of a typed refusal; it counts only together with its header.
REFUSED_STATUS = 409

# Methods for which a missing body needs no Content-Length.
METHODS_WITHOUT_BODY = ("GET", "HEAD", "OPTIONS", "DELETE")


class ConnectionOwner:
    """What a connection belongs to; it is told of both events.

    Attributes
    ----------
    counters : PoolCounters
        What the owner has seen since it started.
    """

    counters: "PoolCounters"

    def released(self, connection: "ServerConnection") -> None:
        """Take note that the connection is free for the next exchange."""

    def lost(self, connection: "ServerConnection") -> None:
        """Take note that the connection has ended."""


class ServerConnection(asyncio.Protocol):
    """One TCP connection to a backend server.

    Parameters
    ----------
    owner : ConnectionOwner
        Whom to tell when the connection is free or lost.
    raw_socket : socket.socket
        The connected socket.
    """

    def __init__(self, owner: ConnectionOwner, raw_socket: socket.socket) -> None:
        self.owner = owner
        self.raw_socket = raw_socket
        self.transport: asyncio.Transport | None = None
        self.exchange: ServerExchange | None = None
        self.writable: asyncio.Future[None] | None = None
        self.reading = True
        self.idle_since = Instant()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that was on the way, and tell the pool."""
        self.resume_writing()
        if self.exchange is not None:
            self.exchange.connection_ended()
        self.owner.lost(self)

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

    def pause_writing(self) -> None:
        """Let the sender wait until the server has read more."""
        self.writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let the sender go on."""
        writable, self.writable = self.writable, None
        if writable is not None and not writable.done():
            writable.set_result(None)

    def set_reading(self, wanted: bool) -> None:
        """Pause or resume reading."""
        if wanted == self.reading or self.transport.is_closing():
            return
        self.reading = wanted
        if wanted:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def is_open(self) -> bool:
        """Return whether the connection can carry an exchange, as far as is known here."""
        return not self.transport.is_closing()

    def closed_by_server(self) -> bool:
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
            self.owner.released(self)

    def abort(self) -> None:
        """Close at once; for the server this is the cancellation of its request."""
        self.transport.abort()


class ServerBody(Body):
    """The body of a server's answer, with back-pressure onto its connection.

    Parameters
    ----------
    exchange : ServerExchange
        The exchange that the answer belongs to.
    """

    def __init__(self, exchange: "ServerExchange") -> None:
        self.exchange = exchange
        self.chunks: deque[bytes] = deque()
        self.buffered = 0
        self.complete = False
        self.problem = ""
        self.waiter: asyncio.Future[None] | None = None

    async def read(self) -> bytes:
        """Return the next chunk, or ``b""`` at the end."""
        while not self.chunks:
            if self.complete:
                return b""
            if self.problem:
                raise BodyCutShortError(self.problem)
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None
        return self.take_ready()

    def take_ready(self) -> bytes:
        """Return everything that has come in so far."""
        data = b"".join(self.chunks)
        self.chunks.clear()
        self.buffered = 0
        if not self.complete and not self.problem:
            self.exchange.connection.set_reading(True)
        return data

    async def close(self) -> None:
        """Cancel the rest at the server if it is not complete."""
        self.chunks.clear()
        if not self.complete:
            self.exchange.abandon()

    def append(self, data: bytes) -> None:
        """Take in bytes from the connection."""
        self.chunks.append(data)
        self.buffered += len(data)
        if self.buffered > BODY_BUFFER_BYTES:
            self.exchange.connection.set_reading(False)
        self.wake()

    def end(self) -> None:
        """Note that the body is complete."""
        self.complete = True
        self.wake()

    def fail(self, problem: str) -> None:
        """Note that the rest of the body will not come."""
        if not self.complete:
            self.problem = self.problem or problem
            self.wake()

    def wake(self) -> None:
        """Let the reader look again."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)


class ServerExchange:
    """One request on one connection, and the answer that belongs to it.

    Parameters
    ----------
    connection : ServerConnection
        A free connection; it belongs to this exchange until the exchange is over.
    request : Request
        What to send.
    """

    def __init__(self, connection: ServerConnection, request: Request) -> None:
        self.connection = connection
        self.request = request
        self.counters = connection.owner.counters
        self.http = h11.Connection(h11.CLIENT, ANSWER_HEAD_BYTES)
        self.head: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self.body = ServerBody(self)
        self.response: Response | None = None
        self.refusal: RequestError | None = None
        self.sender: asyncio.Task[None] | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.over = False

    def start(self, extra_headers: Headers, remaining: timedelta) -> None:
        """Hand the head, and what is there of the body, to the transport."""
        loop = asyncio.get_running_loop()
        self.connection.exchange = self
        self.counters.sent += 1
        self.deadline_timer = loop.call_later(max(0.0, remaining.total_seconds()), self.expire)
        try:
            data, complete = self.first_bytes(extra_headers)
        except h11.LocalProtocolError as error:
            self.finish()
            self.connection.release()
            raise RequestError(ErrorKind.BAD_REQUEST, str(error)) from None
        self.connection.transport.write(data)
        if not complete:
            self.sender = loop.create_task(self.send_rest())

    def first_bytes(self, extra_headers: Headers) -> tuple[bytes, bool]:
        """Return the bytes that can be sent at once, and whether they are all."""
        request = self.request
        head = h11.Request(
            method=request.method.encode(),
            target=request.target,
            headers=request.headers + framing_headers(request) + extra_headers,
        )
        data = self.http.send(head)
        if request.body_length == 0:
            return data + self.http.send(h11.EndOfMessage()), True
        ready = request.body.take_ready()
        if ready:
            data += self.http.send(h11.Data(data=ready))
        if len(ready) == request.body_length:
            return data + self.http.send(h11.EndOfMessage()), True
        return data, False

    async def send_rest(self) -> None:
        """Send the rest of the request's body at the server's pace."""
        connection = self.connection
        try:
            while chunk := await self.request.body.read():
                if connection.writable is not None:
                    await connection.writable
                connection.transport.write(self.http.send(h11.Data(data=chunk)))
            connection.transport.write(self.http.send(h11.EndOfMessage()))
        except (BodyCutShortError, h11.LocalProtocolError) as error:
            self.fail(RequestError(ErrorKind.OUTCOME_UNKNOWN, f"The body was cut short: {error}"))
            return
        self.sender = None
        if self.body.complete:
            self.end_of_answer()

    async def answer(self) -> Response:
        """Return the head of the answer; cancelling this cancels the request."""
        try:
            return await self.head
        except asyncio.CancelledError:
            self.abandon()
            raise

    def receive(self, data: bytes) -> None:
        """Take in bytes of the answer."""
        if self.over:
            return
        try:
            self.http.receive_data(data)
            self.read_events()
        except h11.RemoteProtocolError as error:
            self.fail(RequestError(ErrorKind.OUTCOME_UNKNOWN, f"Invalid answer: {error}"))
            return
        if self.response is not None and not self.head.done() and not self.over:
            self.deliver()

    def read_events(self) -> None:
        """Handle every event that has come in."""
        while True:
            event = self.http.next_event()
            kind = type(event)
            if kind is h11.Data:
                self.body.append(bytes(event.data))
            elif kind is h11.Response:
                self.begin_answer(event)
            elif kind is h11.EndOfMessage:
                self.body.end()
                if self.response is not None and not self.head.done():
                    self.deliver()
                self.end_of_answer()
                return
            elif kind is not h11.InformationalResponse:
                return

    def begin_answer(self, head: h11.Response) -> None:
        """Note the head of the answer."""
        problem = framing_problem(head)
        if problem:
            raise h11.RemoteProtocolError(problem)
        length = None if is_chunked(head) else body_length(head)
        headers = end_to_end_headers(head.headers)
        self.response = Response(head.status_code, headers, self.body, length)
        reason = header(head.headers, REFUSED_HEADER)
        if head.status_code == REFUSED_STATUS and reason is not None:
            self.refusal = RequestError(
                ErrorKind.SERVER_REFUSED, reason.decode("latin-1"), retry_after(headers)
            )

    def deliver(self) -> None:
        """Hand the answer, or the typed refusal, to whoever waits for it."""
        if self.refusal is not None:
            self.counters.refused += 1
            self.head.set_exception(self.refusal)
            if not self.body.complete:
                self.finish()
                self.connection.abort()
            return
        self.counters.answered += 1
        self.head.set_result(self.response)

    def end_of_answer(self) -> None:
        """Free the connection when both sides are complete, else close it."""
        if self.over:
            return
        if self.sender is not None and self.http.our_state is not h11.DONE:
            # The server answered before it had read the request.
            self.finish()
            self.connection.abort()
            return
        self.finish()
        reusable = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        if reusable and not self.http.trailing_data[0]:
            self.connection.release()
            return
        self.connection.abort()

    def expire(self) -> None:
        """Give the request up at its deadline."""
        self.fail(RequestError(ErrorKind.DEADLINE_EXCEEDED))

    def abandon(self) -> None:
        """Cancel the request at the server: nobody waits for its answer."""
        if self.over:
            return
        self.counters.abandoned += 1
        self.fail(RequestError(ErrorKind.CALLER_GONE))

    def connection_ended(self) -> None:
        """Fail what the end of the connection has left incomplete."""
        self.fail(RequestError(ErrorKind.OUTCOME_UNKNOWN, "The connection to the server ended."))

    def fail(self, error: RequestError) -> None:
        """End the exchange without a complete answer; its connection closes."""
        if self.over:
            return
        self.finish()
        self.body.fail(str(error))
        if not self.head.done():
            if error.kind is not ErrorKind.CALLER_GONE:
                self.counters.unknown += 1
            self.head.set_exception(error)
            # Whoever waited may be gone already; the failure is counted above.
            self.head.exception()
        self.connection.abort()

    def finish(self) -> None:
        """Stop everything that belongs to this exchange."""
        self.over = True
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        if self.sender is not None and self.sender is not asyncio.current_task():
            self.sender.cancel()


def framing_headers(request: Request) -> Headers:
    """Return the headers that announce the end of the request's body."""
    if request.body_length is None:
        return [(b"transfer-encoding", b"chunked")]
    if request.body_length == 0 and request.method in METHODS_WITHOUT_BODY:
        return []
    return [(b"content-length", b"%d" % request.body_length)]


def retry_after(headers: Headers) -> timedelta | None:
    """Return the server's ``Retry-After`` when it is a number of seconds."""
    value = header(headers, b"retry-after")
    if value is None or not value.isdigit() or len(value) > 6:
        return None
    return timedelta(seconds=int(value))
