"""One caller's connection: streams bodies in, and writes answers in order."""

import asyncio
import contextlib
import enum
import socket
import struct
from typing import TYPE_CHECKING

import h11
import structlog

from fireflylock.clock import Instant
from fireflylock.exceptions import BodyCutShortError, ErrorKind, Outcome, RequestError
from fireflylock.exchange import Headers, Request, Response
from fireflylock.http1 import BODY_BUFFER_BYTES, REQUEST_ID_HEADER, error_response
from fireflylock.request_parser import RequestParser
from fireflylock.streams import StreamBody

if TYPE_CHECKING:
    from fireflylock.frontend import Frontend

log = structlog.get_logger()

# SO_LINGER with zero seconds: closing sends a reset, so that a caller who reads until
# the end of the connection cannot take a cut answer for a complete one.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

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

    def waiting(self) -> None:
        """Tell the caller to go on if it asked, and start its timeout."""
        self.connection.begin_wait()

    def buffer_changed(self) -> None:
        """Pause or resume reading."""
        self.connection.update_reading()


class CallerConnection(asyncio.Protocol):
    """One connection from a caller.

    Requests are handled one after the other, so pipelined ones are answered in order.

    Parameters
    ----------
    frontend : Frontend
        What the connection belongs to.
    """

    def __init__(self, frontend: "Frontend") -> None:
        self.frontend = frontend
        self.parser = RequestParser(frontend.limits.header_bytes, frontend.limits.max_body)
        self.transport: asyncio.Transport | None = None
        self.phase = Phase.HEAD
        self.body = CallerBody(self)
        self.task: asyncio.Task[None] | None = None
        self.request: Request | None = None
        self.reading = True
        self.writable: asyncio.Future[None] | None = None
        self.answer_started = False
        self.given_up: RequestError | None = None
        self.close_after_answer = False
        # When the caller last made progress, and when the current head began.
        self.progress_at: Instant = frontend.clock.elapsed()
        self.head_started_at: Instant | None = self.progress_at

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or refuse it when there are too many."""
        self.transport = transport
        if not self.frontend.register(self):
            self.refuse(RequestError(ErrorKind.TOO_MANY_CONNECTIONS))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in flight: nobody waits for its answer."""
        self.phase = Phase.CLOSING
        self.frontend.unregister(self)
        self.resume_writing()
        self.body.fail(RequestError(ErrorKind.CALLER_GONE))
        if self.task is not None:
            self.frontend.counters.callers_gone += 1
            self.task.cancel()

    def eof_received(self) -> bool:
        """Close: a caller that ends its stream is taken to be gone."""
        return False

    def pause_writing(self) -> None:
        """Let writers wait until the caller has read more."""
        self.writable = asyncio.get_running_loop().create_future()
        self.progress_at = self.frontend.clock.elapsed()

    def resume_writing(self) -> None:
        """Let writers go on."""
        writable, self.writable = self.writable, None
        if writable is not None and not writable.done():
            writable.set_result(None)

    def data_received(self, data: bytes) -> None:
        """Take in bytes according to the phase."""
        if self.phase is Phase.CLOSING:
            return
        self.progress_at = self.frontend.clock.elapsed()
        self.parser.receive(data)
        if self.phase is Phase.HEAD:
            self.next_request()
            return
        if self.parser.in_body and self.body.problem is None:
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
        self.answer_started = False
        self.given_up = None
        self.read_body()
        self.update_reading()
        self.task = asyncio.get_running_loop().create_task(self.serve(head))

    def read_body(self) -> None:
        """Pass on the body bytes that have come in."""
        try:
            for chunk in self.parser.read_body():
                self.body.append(chunk)
        except RequestError as error:
            self.close_after_answer = True
            self.body.fail(error)
            return
        if not self.parser.in_body:
            self.body.end()

    def begin_wait(self) -> None:
        """Note that body bytes are waited for; tell a caller that asked to go on."""
        self.progress_at = self.frontend.clock.elapsed()
        if self.parser.awaits_continue and not self.answer_started:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self.parser.http.send(interim))

    def update_reading(self) -> None:
        """Pause or resume reading by what waits in memory."""
        wanted = len(self.parser.pending) + self.body.buffered <= BODY_BUFFER_BYTES
        if wanted == self.reading or self.transport.is_closing():
            return
        self.reading = wanted
        if wanted:
            self.progress_at = self.frontend.clock.elapsed()
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    async def serve(self, head: h11.Request) -> None:
        """Handle one request and write its answer."""
        request_id = self.frontend.request_id(head)
        response = await self.answer(head, request_id)
        self.request = None
        if response is not None:
            response.headers.append((REQUEST_ID_HEADER, request_id.encode()))
            await self.write_answer(head, response)
        self.task = None
        self.end_exchange()

    async def answer(self, head: h11.Request, request_id: str) -> Response | None:
        """Return the handler's answer, or the system's own; None when the caller is gone."""
        try:
            self.request = self.frontend.request(head, request_id, self.body)
            return await self.frontend.handler.handle(self.request)
        except RequestError as error:
            return self.system_answer(error, request_id)
        except BodyCutShortError as error:
            return self.system_answer(
                RequestError(ErrorKind.OUTCOME_UNKNOWN, str(error)), request_id
            )
        except asyncio.CancelledError:
            if self.given_up is None:
                raise
            asyncio.current_task().uncancel()
            return self.system_answer(self.given_up, request_id)
        except Exception:
            log.exception("request failed", request_id=request_id)
            return self.system_answer(RequestError(ErrorKind.INTERNAL), request_id)

    def system_answer(self, error: RequestError, request_id: str) -> Response:
        """Return the system's own answer; it names the caller's mistake if there is one."""
        outcome = Outcome.NOT_RUN if error.not_run else Outcome.UNKNOWN
        error = self.body.problem or error
        self.frontend.counters.count_error(error.kind)
        return error_response(error, request_id, outcome)

    async def write_answer(self, head: h11.Request, response: Response) -> None:
        """Write the answer; a cut-short body ends the connection abruptly."""
        self.answer_started = True
        try:
            await self.write_parts(head, response)
        except asyncio.CancelledError:
            self.frontend.counters.answers_cut += 1
            self.abort()
            if self.given_up is None:
                raise
            asyncio.current_task().uncancel()
        except Exception as error:
            self.frontend.counters.answers_cut += 1
            log.warning("answer cut short", error=str(error))
            self.abort()
        finally:
            await response.body.close()

    async def write_parts(self, head: h11.Request, response: Response) -> None:
        """Write head, body and end of the answer."""
        http = self.parser.http
        headers = self.answer_headers(response)
        data = http.send(h11.Response(status_code=response.status, headers=headers))
        self.frontend.counters.count_answer(response.status)
        if head.method == b"HEAD" or response.status in (NO_CONTENT, NOT_MODIFIED):
            self.transport.write(data + http.send(h11.EndOfMessage()))
            return
        body = response.body
        ready = body.take_ready()
        if ready:
            data += http.send(h11.Data(data=ready))
        if ready and len(ready) == response.body_length:
            self.transport.write(data + http.send(h11.EndOfMessage()))
            return
        self.transport.write(data)
        while chunk := await body.read():
            if self.writable is not None:
                await self.writable
            self.transport.write(http.send(h11.Data(data=chunk)))
        self.transport.write(http.send(h11.EndOfMessage()))

    def answer_headers(self, response: Response) -> Headers:
        """Return the headers to write, with those of this connection."""
        headers = response.headers
        if response.body_length is not None and response.status != NO_CONTENT:
            headers.append((b"content-length", b"%d" % response.body_length))
        if self.must_close():
            headers.append((b"connection", b"close"))
        return headers

    def must_close(self) -> bool:
        """Whether no other request may follow on this connection."""
        return (
            self.close_after_answer
            or (self.frontend.draining and not self.parser.pending)
            or self.parser.in_body
            or self.parser.had_trailers
        )

    def end_exchange(self) -> None:
        """Go on with the next request, or close."""
        if self.phase is Phase.CLOSING:
            return
        if self.must_close() or self.parser.http.our_state is not h11.DONE:
            self.close()
            return
        self.phase = Phase.HEAD
        self.body.take_ready()
        self.progress_at = self.frontend.clock.elapsed()
        self.next_request()
        self.update_reading()

    def refuse(self, error: RequestError) -> None:
        """Answer a request that never began, and close."""
        self.frontend.counters.count_error(error.kind)
        response = error_response(error)
        response.headers.append((b"content-length", b"%d" % response.body_length))
        response.headers.append((b"connection", b"close"))
        http = h11.Connection(h11.SERVER)
        data = http.send(h11.Response(status_code=response.status, headers=response.headers))
        data += http.send(h11.Data(data=response.body.take_ready()))
        self.transport.write(data)
        self.close()

    def give_up(self, error: RequestError) -> None:
        """End the request in flight with the system's own answer."""
        if self.given_up is not None:
            return
        self.given_up = error
        if self.task is not None:
            self.task.cancel()

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
        """Close at once by a reset."""
        self.phase = Phase.CLOSING
        connection = self.transport.get_extra_info("socket")
        if connection is not None:
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()
