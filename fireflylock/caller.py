"""One caller's connection: streams bodies in, and writes answers in order."""

import asyncio
import contextlib
import enum
from typing import TYPE_CHECKING

import h11
import structlog

from fireflylock.caller_exchange import CallerExchange
from fireflylock.clock import Instant
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.flow_protocol import FlowProtocol
from fireflylock.http1 import BODY_BUFFER_BYTES
from fireflylock.request_metrics import NO_SERVICE
from fireflylock.request_parser import RequestParser
from fireflylock.sockets import reset_on_close
from fireflylock.streams import StreamBody

if TYPE_CHECKING:
    from fireflylock.frontend import Frontend

log = structlog.get_logger()

# Statuses whose answers have no body and so no Content-Length.
NO_CONTENT = 204
NOT_MODIFIED = 304


class Phase(enum.Enum):
    """Where a connection stands."""

    HEAD = "waiting for a request"
    EXCHANGE = "a request is being handled"
    CLOSING = "nothing is read any more"


class CallerBody(StreamBody):
    """The body of a caller's request.

    Parameters
    ----------
    connection : CallerConnection
        Where the bytes come from.
    """

    def __init__(self, connection: "CallerConnection") -> None:
        super().__init__()
        self.connection = connection

    def wait_started(self) -> None:
        """Tell the caller to go on if it asked, and start its timeout."""
        self.connection.handle_body_wait()

    def buffer_changed(self) -> None:
        """Pause or resume reading."""
        self.connection.update_reading()


class CallerConnection(FlowProtocol):
    """One connection from a caller.

    Requests are handled one after the other, so pipelined ones are answered in order.

    Parameters
    ----------
    frontend : Frontend
        What the connection belongs to.
    """

    def __init__(self, frontend: "Frontend") -> None:
        super().__init__()
        self.frontend = frontend
        self.parser = RequestParser(frontend.limits.header_bytes, frontend.limits.max_body)
        self.phase = Phase.HEAD
        self.body = CallerBody(self)
        self.task: asyncio.Task[None] | None = None
        self.exchange: CallerExchange | None = None
        self.close_after_response = False
        # When the caller last made progress, and when the current head began.
        self.progress_at: Instant = frontend.clock.elapsed()
        self.head_started_at: Instant | None = self.progress_at

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or refuse it when there are too many."""
        super().connection_made(transport)
        if not self.frontend.register(self):
            self.refuse(RequestError(ErrorKind.TOO_MANY_CONNECTIONS))

    def ended(self) -> None:
        """Cancel the request in flight: nobody waits for its answer."""
        self.phase = Phase.CLOSING
        self.frontend.unregister(self)
        self.body.fail(RequestError(ErrorKind.CALLER_GONE))
        if self.task is not None:
            self.frontend.counters.disconnected_callers += 1
            self.task.cancel()

    def eof_received(self) -> bool:
        """Close: a caller that ends its stream is taken to be gone."""
        return False

    def pause_writing(self) -> None:
        """Let writers wait until the caller has read more."""
        super().pause_writing()
        self.progress_at = self.frontend.clock.elapsed()

    def data_received(self, data: bytes) -> None:
        """Take in bytes according to the phase."""
        if self.phase is Phase.CLOSING:
            return
        self.progress_at = self.frontend.clock.elapsed()
        self.parser.receive(data)
        if self.phase is Phase.HEAD:
            self.next_request()
            return
        if self.parser.in_body and self.body.error is None:
            self.read_body()
        self.update_reading()

    def next_request(self) -> None:
        """Begin the next request if its head is complete."""
        if not self.parser.pending:
            return
        if self.head_started_at is None:
            self.head_started_at = self.progress_at
        try:
            head = self.parser.next_head()
        except RequestError as error:
            self.refuse(error)
            return
        if head is None:
            return
        self.head_started_at = None
        self.phase = Phase.EXCHANGE
        self.body = CallerBody(self)
        self.read_body()
        if self.body.error is not None:
            # What came with the head is broken already: nothing was handed on.
            self.refuse(self.body.error)
            return
        self.update_reading()
        self.exchange = CallerExchange(self, head, self.body)
        self.task = asyncio.get_running_loop().create_task(self.serve(self.exchange))

    def read_body(self) -> None:
        """Pass on the body bytes that have come in."""
        try:
            for chunk in self.parser.read_body():
                self.body.append(chunk)
        except RequestError as error:
            self.close_after_response = True
            self.body.fail(error)
            return
        if not self.parser.in_body:
            self.body.end()

    def handle_body_wait(self) -> None:
        """Note that body bytes are waited for; tell a caller that asked to go on."""
        self.progress_at = self.frontend.clock.elapsed()
        if self.exchange is None or self.exchange.response_started:
            return
        if self.parser.awaits_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self.parser.http.send(interim))

    def update_reading(self) -> None:
        """Pause or resume reading by what waits in memory."""
        wanted = len(self.parser.pending) + self.body.buffered <= BODY_BUFFER_BYTES
        if wanted and not self.reading:
            self.progress_at = self.frontend.clock.elapsed()
        self.set_reading(wanted)

    async def serve(self, exchange: CallerExchange) -> None:
        """Handle one request, and go on with the next."""
        try:
            await exchange.run()
        finally:
            self.task = None
            self.exchange = None
        self.end_exchange()

    def is_not_reusable(self) -> bool:
        """Return whether it is not certain where a next request would begin."""
        return self.close_after_response or self.parser.in_body or self.parser.had_trailers

    def must_close(self) -> bool:
        """Return whether the answer announces the end of the connection."""
        closes = self.frontend.draining or self.frontend.sends_connection_close
        return self.is_not_reusable() or (closes and not self.parser.pending)

    def end_exchange(self) -> None:
        """Go on with the next request, or close."""
        if self.phase is Phase.CLOSING:
            return
        # A drain that began after the answer's head does not close the connection here:
        # the caller was told that it may send another request.
        announced = self.parser.http.our_state is not h11.DONE
        if announced or self.is_not_reusable():
            self.close()
            return
        self.phase = Phase.HEAD
        self.body.read_nowait()
        self.progress_at = self.frontend.clock.elapsed()
        self.next_request()
        self.update_reading()

    def refuse(self, error: RequestError) -> None:
        """Answer a request that never began, and close."""
        self.frontend.count_error(NO_SERVICE, error.kind)
        response = self.frontend.make_error_response(error)
        response.headers.append((b"content-length", b"%d" % response.body_length))
        response.headers.append((b"connection", b"close"))
        http = h11.Connection(h11.SERVER)
        data = http.send(h11.Response(status_code=response.status, headers=response.headers))
        data += http.send(h11.Data(data=response.body.read_nowait()))
        self.transport.write(data)
        self.close()

    def close(self) -> None:
        """Close once everything is written, letting the caller read it first."""
        self.phase = Phase.CLOSING
        if self.transport.is_closing():
            return
        self.progress_at = self.frontend.clock.elapsed()
        self.transport.resume_reading()
        if self.transport.can_write_eof():
            # Closing at once, with bytes unread, would reset the connection and may take
            # the answer from the caller.  The front end's sweep closes it for good.
            self.transport.write_eof()
        else:
            self.transport.close()

    def abort(self) -> None:
        """Close at once by a reset.

        A caller who reads until the end of the connection then cannot take a cut answer
        for a complete one.
        """
        self.phase = Phase.CLOSING
        connection = self.transport.get_extra_info("socket")
        if connection is not None:
            with contextlib.suppress(OSError):
                reset_on_close(connection)
        self.transport.abort()
