"""A caller's connection: reads request bodies and writes responses in order."""

import asyncio
import contextlib
import enum
from typing import TYPE_CHECKING

import h11
import structlog

from fireflylock.caller_exchange import CallerExchange
from fireflylock.clock import Instant
from fireflylock.exceptions import ErrorKind, Outcome, RequestError
from fireflylock.flow_protocol import FlowProtocol
from fireflylock.http1 import BODY_BUFFER_BYTES
from fireflylock.request_metrics import NO_SERVICE
from fireflylock.request_parser import RequestParser
from fireflylock.sockets import is_readable, reset_on_close, unacknowledged_bytes
from fireflylock.streams import StreamBody

if TYPE_CHECKING:
    from fireflylock.frontend import Frontend

log = structlog.get_logger()

# Statuses whose responses have no body and so no Content-Length.
NO_CONTENT = 204
NOT_MODIFIED = 304


class Phase(enum.Enum):
    """State of a caller's connection."""

    HEAD = "waiting for a request"
    EXCHANGE = "a request is being handled"
    CLOSING = "nothing is read any more"


class CallerBody(StreamBody):
    """The body of a caller's request.

    Parameters
    ----------
    connection : CallerConnection
        Connection that the bytes arrive on.
    """

    def __init__(self, connection: "CallerConnection") -> None:
        super().__init__()
        self.connection = connection

    def wait_started(self) -> None:
        """Send 100 Continue if the caller waits for it, and restart the body timeout."""
        self.connection.handle_body_wait()

    def buffer_changed(self) -> None:
        """Pause or resume reading according to the buffered bytes."""
        self.connection.update_reading()


class CallerConnection(FlowProtocol):
    """One connection from a caller.

    Requests are handled one at a time, so pipelined ones are answered in order.

    Parameters
    ----------
    frontend : Frontend
        Front end that accepted the connection.
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
        # Whether the front end closed the connection while no request was on it.
        self.closed_idle = False
        # Time of the caller's last progress, and of the start of the current head.
        self.progress_at: Instant = frontend.clock.elapsed()
        self.head_started_at: Instant | None = self.progress_at
        # Idle limit in force when the connection became idle, on which its caller relies.
        self.idle_limit = frontend.limits.keepalive_timeout
        # Until when the last response may still be on its way to the caller; None if it is not.
        self.delivery_ends_at: Instant | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or refuse it if the connection limit is exceeded."""
        super().connection_made(transport)
        if not self.frontend.register(self):
            self.refuse(RequestError(ErrorKind.TOO_MANY_CONNECTIONS))

    def unread_bytes(self) -> int:
        """Return the bytes of responses that this process holds until the caller reads on."""
        return self.transport.get_write_buffer_size()

    def cut(self) -> None:
        """Reset the connection of a caller that does not read."""
        if self.task is None:
            # A response that is still being written counts as truncated when its task ends.
            self.frontend.counters.truncated_responses += 1
        self.abort()

    def peer_address(self) -> str:
        """Return the caller's IP address, or "" if it is not known."""
        peer = self.transport.get_extra_info("peername")
        return peer[0] if isinstance(peer, tuple) else ""

    def ended(self) -> None:
        """Cancel the request in flight, because nobody waits for its response."""
        self.phase = Phase.CLOSING
        self.frontend.unregister(self)
        self.body.fail(RequestError(ErrorKind.CALLER_GONE))
        if self.task is not None:
            self.frontend.counters.disconnected_callers += 1
            self.task.cancel()

    def eof_received(self) -> bool:
        """Close the connection: a caller that ends its stream counts as disconnected."""
        return False

    def pause_writing(self) -> None:
        """Make writers wait until the caller has read more."""
        super().pause_writing()
        self.progress_at = self.frontend.clock.elapsed()

    def data_received(self, data: bytes) -> None:
        """Process received bytes according to the phase."""
        if self.phase is Phase.CLOSING:
            if self.closed_idle:
                self.closed_idle = False
                self.frontend.counters.received_after_close += 1
            return
        self.progress_at = self.frontend.clock.elapsed()
        if not self.parser.pending and self.phase is Phase.HEAD:
            self.apply_limits()
        self.parser.receive(data)
        if self.phase is Phase.HEAD:
            self.next_request()
            return
        if self.parser.in_body and self.body.error is None:
            self.read_body()
        self.update_reading()

    def apply_limits(self) -> None:
        """Apply the limits now in force to the request that begins."""
        self.parser.header_bytes = self.frontend.limits.header_bytes
        self.parser.max_body = self.frontend.limits.max_body

    def next_request(self) -> None:
        """Start handling the next request if its head is complete."""
        if not self.parser.pending:
            return
        if self.head_started_at is None:
            self.head_started_at = self.progress_at
        try:
            head = self.parser.next_head()
        except RequestError as error:
            self.refuse(error)
            return
        except Exception:
            log.exception("head not parsed")
            self.refuse(RequestError(ErrorKind.INTERNAL))
            return
        if head is None:
            return
        self.head_started_at = None
        self.phase = Phase.EXCHANGE
        self.body = CallerBody(self)
        self.read_body()
        if self.body.error is not None:
            # The body bytes that arrived with the head are invalid; no handler was called.
            self.refuse(self.body.error)
            return
        self.update_reading()
        self.exchange = CallerExchange(self, head, self.body)
        self.task = asyncio.get_running_loop().create_task(self.serve(self.exchange))

    def read_body(self) -> None:
        """Append the received body bytes to the body."""
        try:
            for chunk in self.parser.read_body():
                self.body.append(chunk)
        except RequestError as error:
            self.fail_body(error)
            return
        except Exception:
            log.exception("body not parsed")
            self.fail_body(RequestError(ErrorKind.INTERNAL))
            return
        if not self.parser.in_body:
            self.body.end()

    def fail_body(self, error: RequestError) -> None:
        """End a body that can't be parsed; the connection closes after the response."""
        self.close_after_response = True
        self.body.fail(error)

    def handle_body_wait(self) -> None:
        """Restart the body timeout, and send 100 Continue if the caller waits for it."""
        self.progress_at = self.frontend.clock.elapsed()
        if self.exchange is None or self.exchange.response_started:
            return
        if self.parser.awaits_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self.parser.http.send(interim))

    def update_reading(self) -> None:
        """Pause or resume reading according to the bytes that are buffered."""
        # The limit of heads, which are parsed as they come, is the parser's.
        is_head = self.phase is Phase.HEAD
        wanted = is_head or len(self.parser.pending) + self.body.buffered <= BODY_BUFFER_BYTES
        if wanted and not self.reading:
            self.progress_at = self.frontend.clock.elapsed()
        self.set_reading(wanted)

    async def serve(self, exchange: CallerExchange) -> None:
        """Handle one request, then continue with the next."""
        try:
            await exchange.run()
        finally:
            self.task = None
            self.exchange = None
        self.end_exchange()

    def is_not_reusable(self) -> bool:
        """Return whether the start of a next request can't be determined reliably."""
        return self.close_after_response or self.parser.in_body or self.parser.had_trailers

    def must_close(self) -> bool:
        """Return whether the response announces that the connection will be closed."""
        closes = self.frontend.draining or self.frontend.sends_connection_close
        return self.is_not_reusable() or (closes and not self.parser.pending)

    def end_exchange(self) -> None:
        """Continue with the next request, or close the connection."""
        if self.phase is Phase.CLOSING:
            return
        # A drain that began after the response's head was sent does not close the connection
        # here: the caller was told that it may send another request.
        announced = self.parser.http.our_state is not h11.DONE
        if announced or self.is_not_reusable():
            self.close()
            return
        self.phase = Phase.HEAD
        self.body.read_nowait()
        self.progress_at = self.frontend.clock.elapsed()
        self.idle_limit = self.frontend.limits.keepalive_timeout
        self.delivery_ends_at = self.progress_at + self.frontend.limits.body_timeout
        self.apply_limits()
        self.next_request()
        self.update_reading()

    def refuse(self, error: RequestError) -> None:
        """Send an error response to a request that was not started, and close."""
        self.frontend.count_error(NO_SERVICE, error.kind)
        response = self.frontend.make_error_response(error, outcome=Outcome.NOT_RUN)
        response.headers.append((b"content-length", b"%d" % response.body_length))
        response.headers.append((b"connection", b"close"))
        http = h11.Connection(h11.SERVER)
        data = http.send(h11.Response(status_code=response.status, headers=response.headers))
        data += http.send(h11.Data(data=response.body.read_nowait()))
        self.transport.write(data)
        self.close()

    def close(self) -> None:
        """Close after all pending output, and give the caller time to read it."""
        self.phase = Phase.CLOSING
        if self.transport.is_closing():
            return
        self.progress_at = self.frontend.clock.elapsed()
        self.transport.resume_reading()
        if self.transport.can_write_eof():
            # Closing immediately, with unread input, would reset the connection and might
            # discard the response.  The front end's sweep closes the connection later.
            try:
                self.transport.write_eof()
            except OSError as error:
                log.debug("caller had reset its connection", error=str(error))
                self.transport.abort()
        else:
            self.transport.close()

    def has_unread_bytes(self) -> bool:
        """Return whether bytes, or the end of the stream, wait in the socket.

        After a stall of the event loop, time-outs are checked before they are read.
        """
        return is_readable(self.transport.get_extra_info("socket"))

    def update_delivery(self, now: Instant) -> None:
        """Start the idle period anew while the last response is on its way to the caller."""
        if self.delivery_ends_at is None:
            return
        unsent = self.transport.get_write_buffer_size() > 0
        waits = unsent or unacknowledged_bytes(self.transport.get_extra_info("socket")) > 0
        if not waits or now >= self.delivery_ends_at:
            self.delivery_ends_at = None
            return
        self.progress_at = now

    def close_idle(self) -> bool:
        """Close while no request is on the connection; return False if one has arrived.

        A request that is on its way is not read any more: the reset tells its caller that it has
        not run, and that it can be sent again.
        """
        if self.has_unread_bytes():
            return False
        self.phase = Phase.CLOSING
        self.closed_idle = True
        self.transport.close()
        return True

    def end(self) -> None:
        """Close at the end of the process; a request in flight is reset.

        Bytes of a last response that the kernel already has are still delivered, unless the
        caller has sent more since.
        """
        unsent = self.transport.get_write_buffer_size() > 0
        # The end of a TLS stream needs an exchange of messages.
        uses_tls = not self.transport.can_write_eof()
        if self.task is not None or unsent or uses_tls:
            self.abort()
            return
        self.phase = Phase.CLOSING
        self.transport.close()

    def abort(self) -> None:
        """Close immediately by a reset.

        A caller that reads until the end of the connection then cannot mistake a truncated
        response for a complete one.
        """
        self.phase = Phase.CLOSING
        connection = self.transport.get_extra_info("socket")
        if connection is not None:
            with contextlib.suppress(OSError):
                reset_on_close(connection)
        self.transport.abort()
