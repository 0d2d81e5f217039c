"""One request to a backend server, and the response to it."""

import asyncio
import re
from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta

import h11

from fireflylock.clock import Instant
from fireflylock.exceptions import BodyCutShortError, ErrorKind, RequestError
from fireflylock.exchange import Headers, Request, Response
from fireflylock.http1 import BODY_BUFFER_BYTES, FINAL_STATUSES, Framing, header, read_framing
from fireflylock.load_control.server_load import StatedLoad
from fireflylock.server_connection import ServerConnection
from fireflylock.streams import StreamBody

# Maximum size of the head of a server's response, in bytes.
MAX_RESPONSE_HEAD_BYTES = 64 * 1024

# Status of a typed refusal; it counts only together with its header.
REFUSED_STATUS = 409

# Methods that need no Content-Length when there is no body.
METHODS_WITHOUT_BODY = ("GET", "HEAD", "OPTIONS", "DELETE")


# Limits on the interim (1xx) heads before a response, and on the responses to other requests and
# their bytes, after which the connection is closed; either could go on without end.
MAX_INTERIM_RESPONSES = 16
MAX_SKIPPED_RESPONSES = 16
MAX_SKIPPED_BYTES = 512 * 1024
# Parser events that one exchange handles before other tasks run.  A server may send a body in
# very short chunks, which take far more work than their bytes suggest.
MAX_EVENTS_PER_TURN = 16
# Consecutive turns after which an exchange is reported as a backlog.
BACKLOG_TURNS = 64

_KEEP_ALIVE = re.compile(rb"timeout=(\d{1,6})")


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What the head of a response says about its server, whatever the outcome of the request.

    Attributes
    ----------
    leaving : bool
        Whether the server is shutting down and wants no new requests.
    backoff : timedelta or None
        How long the server wants no requests from this VM.
    request_limit : float or None
        Requests a second that the server takes from all VMs together.
    invalid_limit : bytes or None
        The server's limit as received if it can't be parsed, shortened.
    load : StatedLoad or None
        The server's load when it responded.
    cold : timedelta or None
        How much longer the server stays cold; zero if it states that it is warm.
    """

    leaving: bool = False
    backoff: timedelta | None = None
    request_limit: float | None = None
    invalid_limit: bytes | None = None
    load: StatedLoad | None = None
    cold: timedelta | None = None


class ServerDialect(ABC):
    """How backend servers report the outcome of a request.

    Attributes
    ----------
    names_requests : bool
        Whether responses name the request that they belong to.
    """

    names_requests = False

    @abstractmethod
    def refusal(self, status: int, framing: Framing) -> RequestError | None:
        """Return the error if the server states that it did not run the request."""

    def belongs_to_other_request(self, request: Request, headers: Headers) -> bool:
        """Return whether a response certainly belongs to another request."""
        return False

    def problem(self, request: Request, status: int, headers: Headers) -> str:
        """Return why a response can't be the server's response to the request, or ""."""
        return ""

    def notice(self, status: int, headers: Headers) -> ServerNotice | None:
        """Return what the head of a response says about the server itself, if anything."""
        return None

    def names_limit(self, response: Response) -> bool:
        """Return whether an accepted response names a request limit, valid or not."""
        return False


class RefusedHeaderDialect(ServerDialect):
    """Dialect of servers that refuse with a status and the header ``Fireflylock-Refused``."""

    def refusal(self, status: int, framing: Framing) -> RequestError | None:
        """Return the error if the server states that it did not run the request."""
        if status != REFUSED_STATUS or framing.refused is None:
            return None
        reason = framing.refused.decode("latin-1")
        return RequestError(ErrorKind.SERVER_REFUSED, reason, retry_after(framing.headers))


class ServerBody(StreamBody):
    """The body of a server's response.

    Parameters
    ----------
    exchange : ServerExchange
        The exchange that the response belongs to.
    """

    def __init__(self, exchange: "ServerExchange") -> None:
        super().__init__()
        self.exchange = exchange

    def wait_started(self) -> None:
        """Do nothing: the exchange's deadline timer is already running."""

    def buffer_changed(self) -> None:
        """Pause or resume reading, unless the connection was already released."""
        if not self.exchange.finished:
            self.exchange.continue_reading()

    def has_room(self) -> bool:
        """Return whether more bytes may be buffered."""
        return self.buffered <= BODY_BUFFER_BYTES

    async def close(self) -> None:
        """Cancel the request at the server if the body is not complete."""
        self.chunks.clear()
        if not self.complete:
            self.exchange.abandon()


class ServerExchange:
    """One request on one connection, and the response to it.

    Parameters
    ----------
    connection : ServerConnection
        An idle connection; it belongs to this exchange until the exchange has finished.
    request : Request
        What to send.
    dialect : ServerDialect or None
        How the server reports outcomes; None for `RefusedHeaderDialect`.
    sent_at : timedelta
        When the request is sent.
    """

    def __init__(
        self,
        connection: ServerConnection,
        request: Request,
        dialect: ServerDialect | None = None,
        sent_at: Instant = timedelta(0),
    ) -> None:
        self.connection = connection
        self.request = request
        self.sent_at = sent_at
        self.dialect = dialect or RefusedHeaderDialect()
        self.counters = connection.owner.counters
        self.http = h11.Connection(h11.CLIENT, MAX_RESPONSE_HEAD_BYTES)
        self.head: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self.body = ServerBody(self)
        self.response: Response | None = None
        self.refusal: RequestError | None = None
        # Whether the incoming response belongs to another request and is dropped.
        self.skipping = False
        self.skipped_bytes = 0
        self.skipped_responses = 0
        self.interim_responses = 0
        # Whether received bytes wait for their turn, and the next turn once it is scheduled.
        self.has_backlog = False
        self.next_turn: asyncio.Handle | None = None
        self.consecutive_turns = 0
        self.backlog_reported = False
        self.sender: asyncio.Task[None] | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.finished = False

    def start(self, extra_headers: Headers, remaining: timedelta) -> None:
        """Write the head, and the body bytes that are available, to the transport."""
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
        """Return the bytes that can be sent now, and whether they complete the request."""
        request = self.request
        head = h11.Request(
            method=request.method.encode(),
            target=request.target,
            headers=request.headers + framing_headers(request) + extra_headers,
        )
        data = self.http.send(head)
        if request.body_length == 0:
            return data + self.http.send(h11.EndOfMessage()), True
        ready = request.body.read_nowait()
        if ready:
            data += self.http.send(h11.Data(data=ready))
        if request.body.at_end():
            return data + self.http.send(h11.EndOfMessage()), True
        return data, False

    async def send_rest(self) -> None:
        """Send the rest of the request's body as fast as the server reads it."""
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
            self.handle_response_end()

    async def wait_for_response(self) -> Response:
        """Return the response once its head has arrived; cancelling cancels the request."""
        try:
            return await self.head
        except asyncio.CancelledError:
            self.abandon()
            raise

    def receive(self, data: bytes) -> None:
        """Process received bytes of the response."""
        if self.finished:
            return
        try:
            self.http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self.fail(RequestError(ErrorKind.OUTCOME_UNKNOWN, f"Invalid answer: {error}"))
            return
        if not self.has_backlog:
            self.take_turn()

    def take_turn(self) -> None:
        """Handle the next events in the received bytes, and leave the rest for another turn."""
        self.next_turn = None
        try:
            self.has_backlog = self.read_events()
        except h11.RemoteProtocolError as error:
            self.fail(RequestError(ErrorKind.OUTCOME_UNKNOWN, f"Invalid answer: {error}"))
            return
        if self.finished:
            return
        if self.response is not None and not self.head.done():
            self.deliver()
        self.count_turn()
        if not self.finished:
            self.continue_reading()

    def count_turn(self) -> None:
        """Count the turns of a backlog, and report one that is long."""
        if not self.has_backlog:
            self.consecutive_turns = 0
            return
        self.consecutive_turns += 1
        if self.consecutive_turns >= BACKLOG_TURNS and not self.backlog_reported:
            self.backlog_reported = True
            self.counters.backlogs += 1
            self.connection.owner.backlog_found(self.connection)

    def continue_reading(self) -> None:
        """Schedule the next turn, or read from the connection, while the body has room."""
        has_room = self.body.has_room()
        self.connection.set_reading(has_room and not self.has_backlog)
        if has_room and self.has_backlog and self.next_turn is None:
            self.next_turn = asyncio.get_running_loop().call_soon(self.take_turn)

    def read_events(self) -> bool:
        """Handle events in the received bytes; return whether others may be left."""
        parts: list[bytes] = []
        try:
            for _ in range(MAX_EVENTS_PER_TURN):
                event = self.http.next_event()
                kind = type(event)
                if kind is h11.Data:
                    if self.skipping:
                        self.skip(len(event.data))
                    else:
                        parts.append(bytes(event.data))
                elif kind is h11.Response:
                    self.handle_response_head(event)
                elif kind is h11.EndOfMessage and self.skipping:
                    self.continue_after_skipped_response()
                elif kind is h11.EndOfMessage:
                    self.add_to_body(parts)
                    self.body.end()
                    if self.response is not None and not self.head.done():
                        self.deliver()
                    self.handle_response_end()
                    return False
                elif kind is h11.InformationalResponse:
                    self.interim_responses += 1
                    if self.interim_responses > MAX_INTERIM_RESPONSES:
                        raise h11.RemoteProtocolError("too many interim answers")
                else:
                    return False
            return True
        finally:
            self.add_to_body(parts)

    def add_to_body(self, parts: list[bytes]) -> None:
        """Move received parts into the body; short ones are joined."""
        if parts:
            self.body.append(parts[0] if len(parts) == 1 else b"".join(parts))
            parts.clear()

    def skip(self, size: int) -> None:
        """Drop bytes of a response to another request.

        Raises
        ------
        h11.RemoteProtocolError
            More than MAX_SKIPPED_BYTES were dropped.
        """
        self.skipped_bytes += size
        if self.skipped_bytes > MAX_SKIPPED_BYTES:
            raise h11.RemoteProtocolError("an answer to another request does not end")

    def handle_response_head(self, head: h11.Response) -> None:
        """Handle the head of a response."""
        framing = read_framing(head)
        if framing.problem:
            raise h11.RemoteProtocolError(framing.problem)
        exists = head.status_code in FINAL_STATUSES
        notice = self.dialect.notice(head.status_code, framing.headers) if exists else None
        if notice is not None:
            self.connection.owner.notice_received(notice, self.sent_at)
        if self.dialect.belongs_to_other_request(self.request, framing.headers):
            self.skipped_responses += 1
            if self.skipped_responses > MAX_SKIPPED_RESPONSES:
                raise h11.RemoteProtocolError("too many answers to other requests")
            self.skipping = True
            return
        if not exists:
            raise h11.RemoteProtocolError(f"the status {head.status_code} does not exist")
        problem = self.dialect.problem(self.request, head.status_code, framing.headers)
        if problem:
            raise h11.RemoteProtocolError(problem)
        length = None if framing.chunked else framing.length
        self.response = Response(head.status_code, framing.headers, self.body, length)
        self.refusal = self.dialect.refusal(head.status_code, framing)
        keep_alive = _KEEP_ALIVE.search(framing.keep_alive)
        if keep_alive is not None:
            self.connection.keep_alive_timeout = timedelta(seconds=int(keep_alive[1]))

    def continue_after_skipped_response(self) -> None:
        """Continue reading after a response that belonged to another request.

        Raises
        ------
        h11.RemoteProtocolError
            The connection can carry no further response, or the request is not fully sent.
        """
        if self.http.their_state is not h11.DONE or self.http.our_state is not h11.DONE:
            raise h11.RemoteProtocolError("an answer to another request ended the connection")
        rest = self.http.trailing_data[0]
        self.http = h11.Connection(h11.CLIENT, MAX_RESPONSE_HEAD_BYTES)
        # The new parser must be in the state after sending the request; nothing is written.
        self.http.send(
            h11.Request(method=self.request.method, target="/", headers=[("host", "-")])
        )
        self.http.send(h11.EndOfMessage())
        self.skipping = False
        if rest:
            self.http.receive_data(rest)

    def deliver(self) -> None:
        """Pass the response, or the typed refusal, to the waiting task."""
        if self.refusal is not None:
            self.counters.refused += 1
            self.connection.refused_ids.add(self.request.request_id)
            self.head.set_exception(self.refusal)
            if not self.body.complete:
                self.finish()
                self.connection.abort()
            return
        self.counters.answered += 1
        self.head.set_result(self.response)

    def handle_response_end(self) -> None:
        """Release the connection if both sides are complete, else close it."""
        if self.finished:
            return
        if self.sender is not None and self.http.our_state is not h11.DONE:
            # The server responded before it had read the whole request.
            self.finish()
            self.connection.abort()
            return
        self.finish()
        reusable = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        # Nothing would tell a repeated refusal from the response to the next request.
        ambiguous = self.refusal is not None and not self.dialect.names_requests
        if reusable and not ambiguous and not self.http.trailing_data[0]:
            self.connection.release()
            return
        self.connection.abort()

    def expire(self) -> None:
        """Fail the request at its deadline."""
        self.fail(RequestError(ErrorKind.DEADLINE_EXCEEDED))

    def abandon(self) -> None:
        """Cancel the request at the server, because nobody waits for its response."""
        if self.finished:
            return
        self.counters.abandoned += 1
        self.fail(RequestError(ErrorKind.CALLER_GONE))

    def connection_ended(self, was_reset: bool) -> None:
        """Fail the exchange if the connection ended before it was complete."""
        error = RequestError(ErrorKind.OUTCOME_UNKNOWN, "The connection to the server ended.")
        error.connection_reset = was_reset
        self.fail(error)

    def fail(self, error: RequestError) -> None:
        """End the exchange without a complete response and close its connection."""
        if self.finished:
            return
        self.finish()
        self.body.fail(error)
        if not self.head.done():
            if error.kind is not ErrorKind.CALLER_GONE:
                self.counters.unknown += 1
            self.head.set_exception(error)
            # Marks it as retrieved, since the waiting task may be gone; it is counted above.
            self.head.exception()
        self.connection.abort()

    def finish(self) -> None:
        """Stop the timer, the next turn and the sender task of this exchange."""
        self.finished = True
        if self.next_turn is not None:
            self.next_turn.cancel()
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        if self.sender is not None and self.sender is not asyncio.current_task():
            self.sender.cancel()


def framing_headers(request: Request) -> Headers:
    """Return the headers that frame the request's body."""
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
