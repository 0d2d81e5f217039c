"""The front end: accepts connections from callers and passes their requests to a handler."""

import asyncio
import contextlib
import re
import socket
import ssl
import uuid
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import structlog

from fireflylock.caller import CallerBody, CallerConnection, Phase
from fireflylock.clock import Clock, Instant
from fireflylock.exceptions import ErrorKind, Outcome, RequestError
from fireflylock.exchange import Handler, Headers, Request, Response
from fireflylock.http1 import (
    IDEMPOTENCY_HEADER,
    REQUEST_ID_HEADER,
    bad_request,
    error_response,
    header,
)
from fireflylock.link_pacer import LinkPacer
from fireflylock.matcher import ServiceMatcher
from fireflylock.request_metrics import RequestMetrics
from fireflylock.request_parser import RequestHead

__all__ = ["Frontend", "FrontendLimits", "ServiceMatcher"]

log = structlog.get_logger()

# Interval between checks of the connections against their timeouts.
SWEEP_INTERVAL = timedelta(milliseconds=100)
# Interval between checks whether all callers have read their last answers.
ANSWER_CHECK_INTERVAL = timedelta(milliseconds=20)
# Interval between log lines about idle connections that were closed.
IDLE_LOG_INTERVAL = timedelta(seconds=1)

LISTEN_BACKLOG = 1024
BACKLOG_LOOP_ITERATIONS = 10
MAX_DEADLINE = timedelta(hours=1)
MAX_IDEMPOTENCY_KEY_BYTES = 255
REQUEST_ID = re.compile(rb"[A-Za-z0-9._:-]{1,128}")


@dataclass(frozen=True)
class FrontendLimits:
    """Limits on the resources that callers may use.

    Attributes
    ----------
    header_bytes : int
        Maximum size of a request's head, in bytes.
    max_body : int or None
        Maximum size of a request's body, in bytes.  A request keeps the limits of its head and
        body that are in force when its first bytes arrive.
    max_connections : int
        Maximum number of open connections.
    headers_timeout : timedelta
        Timeout from a request's first byte, or the connection's start, to the end of its head.
        A connection on which nothing came is closed without a response.
    body_timeout : timedelta
        Timeout for the next bytes of a body, in either direction.
    keepalive_timeout : timedelta
        How long a connection may be idle between requests.  A shorter one holds for each
        connection from its next response on.
    linger : timedelta
        How long a caller may keep a connection open after its last response was sent.
    drain_idle : timedelta
        How long an idle connection is kept while draining; a request that was on its way
        to this VM when the drain began still gets a response.
    """

    header_bytes: int = 32 * 1024
    max_body: int | None = None
    max_connections: int = 4096
    headers_timeout: timedelta = timedelta(seconds=10)
    body_timeout: timedelta = timedelta(seconds=30)
    keepalive_timeout: timedelta = timedelta(seconds=75)
    linger: timedelta = timedelta(seconds=2)
    drain_idle: timedelta = timedelta(seconds=1)


@dataclass
class FrontendCounters:
    """Counts of the front end since it started.

    Attributes
    ----------
    connections, requests, disconnected_callers, truncated_responses : int
        Connections accepted, requests begun, callers that disconnected before their
        response, and responses that were truncated.
    idle_closed, received_after_close : int
        Idle connections closed by the front end, and those of them on which more was received
        afterwards, such as a request that was already on its way.
    responses : Counter of int
        Responses by status.
    errors : Counter of str
        Error responses of the system itself, by error kind.
    """

    connections: int = 0
    requests: int = 0
    disconnected_callers: int = 0
    truncated_responses: int = 0
    idle_closed: int = 0
    received_after_close: int = 0
    responses: Counter[int] = field(default_factory=Counter)
    errors: Counter[str] = field(default_factory=Counter)

    def count_response(self, status: int) -> None:
        """Count one response."""
        self.responses[status] += 1


class Frontend:
    """Accepts connections from callers.

    Parameters
    ----------
    handler : Handler
        Handles the requests.
    matcher : callable
        Returns the current matcher, or None before the first configuration.
    clock : Clock
        Time source.
    limits : FrontendLimits
        Limits on the resources that callers may use.
    ssl_context : ssl.SSLContext or None
        TLS context for connections from callers.
    metrics : RequestMetrics or None
        Records how requests end.

    Attributes
    ----------
    request_id_header : bytes
        Header that carries the request id in each response.
    """

    request_id_header = REQUEST_ID_HEADER

    def __init__(
        self,
        handler: Handler,
        matcher: Callable[[], ServiceMatcher | None],
        clock: Clock,
        limits: FrontendLimits | None = None,
        *,
        ssl_context: ssl.SSLContext | None = None,
        metrics: RequestMetrics | None = None,
    ) -> None:
        self.handler = handler
        self.matcher = matcher
        self.clock = clock
        self.limits = limits or FrontendLimits()
        self.metrics = metrics
        self.ssl_context = ssl_context
        self.counters = FrontendCounters()
        self.connections: set[CallerConnection] = set()
        self.server: asyncio.Server | None = None
        self.sweep_task: asyncio.Task[None] | None = None
        self.draining = False
        # Whether responses ask callers to use another connection for further requests.
        self.sends_connection_close = False
        self.drain_started_at: Instant | None = None
        # Count of idle connections closed at the last log line about them, and when that was.
        self.idle_closed_logged = 0
        self.idle_closed_logged_at: Instant = -IDLE_LOG_INTERVAL
        # Paces large responses; None if the rate of this VM's link is not known.
        self.pacer: LinkPacer | None = None
        # Called in each sweep with the open connections, to cut callers that don't read.
        self.cut_slow_readers: Callable[[Instant, set[CallerConnection]], None] | None = None

    async def start(self, address: str, port: int, reuse_port: bool = False) -> int:
        """Listen on `address` and return the port; the system chooses one for 0."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CallerConnection(self),
            address,
            port,
            family=socket.AF_INET6 if ":" in address else socket.AF_INET,
            backlog=LISTEN_BACKLOG,
            ssl=self.ssl_context,
            reuse_port=reuse_port or None,
        )
        self.sweep_task = loop.create_task(self.run_sweeps())
        return self.server.sockets[0].getsockname()[1]

    def stop_accepting(self) -> None:
        """Stop accepting connections; open ones continue."""
        if self.server is not None:
            self.server.close()

    def start_draining(self) -> None:
        """Ask callers, with each response, to use another connection from now on."""
        if self.draining:
            return
        self.draining = True
        self.drain_started_at = self.clock.elapsed()

    async def drain(self, timeout: timedelta) -> bool:
        """Wait for the requests in flight; return whether all finished within `timeout`."""
        self.start_draining()
        # Closing the socket resets the connections that wait in its backlog, so the event
        # loop first runs the iterations that it needs to accept and register them.
        for _ in range(BACKLOG_LOOP_ITERATIONS):
            await asyncio.sleep(0)
        self.stop_accepting()
        end = self.clock.elapsed() + timeout
        while self.connections and self.clock.elapsed() < end:
            await self.clock.sleep(SWEEP_INTERVAL)
        return not any(connection.task for connection in self.connections)

    async def answer_unfinished(self, error: RequestError, timeout: timedelta) -> None:
        """Answer the requests in flight with an error, and let their callers read it.

        Responses that have begun are left alone.

        Parameters
        ----------
        error : RequestError
            The answer.
        timeout : timedelta
            How long callers may take to read it and close.
        """
        for connection in self.connections:
            exchange = connection.exchange
            if exchange is not None and not exchange.response_started:
                exchange.terminate(error)
        end = self.clock.elapsed() + timeout
        while self.connections and self.clock.elapsed() < end:
            await self.clock.sleep(ANSWER_CHECK_INTERVAL)

    async def close(self) -> None:
        """Stop immediately and abort all requests in flight."""
        self.stop_accepting()
        # Nothing may be read from here on, so all connections end before the first await.
        tasks = [connection.task for connection in self.connections if connection.task]
        for connection in list(self.connections):
            connection.end()
        if self.sweep_task is not None:
            self.sweep_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.sweep_task
        if tasks:
            await asyncio.wait(tasks)

    def register(self, connection: CallerConnection) -> bool:
        """Add a connection; return False if the connection limit is exceeded."""
        self.connections.add(connection)
        self.counters.connections += 1
        return len(self.connections) <= self.limits.max_connections

    def unregister(self, connection: CallerConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.discard(connection)

    def count_error(self, service: str, kind: ErrorKind) -> None:
        """Count one error response of the system itself."""
        self.counters.errors[kind.value] += 1
        if self.metrics is not None:
            self.metrics.record_error(service, kind)

    def make_error_response(
        self, error: RequestError, request_id: str = "", outcome: Outcome | None = None
    ) -> Response:
        """Return an error response of the system itself; parameters as `error_response`."""
        return error_response(error, request_id, outcome)

    def request_id(self, head: RequestHead) -> str:
        """Return the caller's request id if it is valid, else a new one."""
        given = header(head.headers, REQUEST_ID_HEADER)
        if given is not None and REQUEST_ID.fullmatch(given):
            return given.decode()
        return uuid.uuid4().hex

    def request(self, head: RequestHead, request_id: str, body: CallerBody) -> Request:
        """Return the request for a parsed head.

        Raises
        ------
        RequestError
            No service matches, the key is missing, or a header is invalid.
        """
        self.counters.requests += 1
        matcher = self.matcher()
        if matcher is None:
            raise RequestError(ErrorKind.NO_CONFIGURATION)
        headers = head.headers
        method = head.method.decode("ascii").upper()
        service, key, customer = matcher.match(method, head.target, headers)
        time_left = requested_timeout(head.deadline_ms, service.request_timeout)
        return Request(
            request_id=request_id,
            service=service.name,
            key=key,
            customer=customer,
            method=method,
            target=head.target,
            headers=[pair for pair in headers if pair[0] != REQUEST_ID_HEADER],
            body=body,
            body_length=head.length,
            deadline=self.clock.elapsed() + time_left,
            idempotent=method in service.idempotent_methods,
            idempotency_key=idempotency_key(headers),
        )

    async def run_sweeps(self) -> None:
        """Check all connections periodically."""
        while True:
            await self.clock.sleep(SWEEP_INTERVAL)
            self.sweep(self.clock.elapsed())

    def sweep(self, now: Instant) -> None:
        """End the connections and requests that have timed out."""
        for connection in list(self.connections):
            try:
                self.sweep_connection(connection, now)
            except Exception:
                # The time-outs of all other connections depend on this loop.
                log.exception("connection not checked", phase=connection.phase.value)
                connection.abort()
        if self.cut_slow_readers is not None:
            self.cut_slow_readers(now, self.connections)
        self.log_idle_closed(now)

    def sweep_connection(self, connection: CallerConnection, now: Instant) -> None:
        """Check the time-outs of one connection."""
        if connection.phase is Phase.CLOSING:
            self.sweep_closing(connection, now)
        elif connection.phase is Phase.HEAD:
            self.sweep_waiting(connection, now)
        else:
            self.sweep_exchange(connection, now)

    def log_idle_closed(self, now: Instant) -> None:
        """Log how many idle connections were closed, in one line a second at most."""
        closed = self.counters.idle_closed - self.idle_closed_logged
        if not closed or now - self.idle_closed_logged_at < IDLE_LOG_INTERVAL:
            return
        log.info(
            "idle connections closed",
            closed=closed,
            received_after_close=self.counters.received_after_close,
            idle_timeout=self.limits.keepalive_timeout.total_seconds(),
            draining=self.draining,
            open=len(self.connections),
        )
        self.idle_closed_logged = self.counters.idle_closed
        self.idle_closed_logged_at = now

    def sweep_closing(self, connection: CallerConnection, now: Instant) -> None:
        """Abort a connection whose caller had enough time to read the last response."""
        unsent = connection.transport.get_write_buffer_size() > 0
        timeout = self.limits.body_timeout if unsent else self.limits.linger
        if now - connection.progress_at < timeout:
            return
        if unsent:
            self.counters.truncated_responses += 1
            connection.abort()
            return
        connection.transport.abort()

    def sweep_waiting(self, connection: CallerConnection, now: Instant) -> None:
        """Check the timeouts of a connection that waits for a request."""
        started = connection.head_started_at
        late = started is not None and now - started >= self.limits.headers_timeout
        if connection.parser.pending:
            if late and not connection.has_unread_bytes():
                error = RequestError(ErrorKind.CALLER_TOO_SLOW, "The head came too slowly.")
                connection.refuse(error)
            return
        connection.update_delivery(now)
        idle = now - connection.progress_at
        idle_limit = max(connection.idle_limit, self.limits.keepalive_timeout)
        drained = (
            self.draining
            and connection.delivery_ends_at is None
            and now - self.drain_started_at >= self.limits.drain_idle
        )
        if late or drained or idle >= idle_limit:
            self.counters.idle_closed += connection.close_idle()

    def sweep_exchange(self, connection: CallerConnection, now: Instant) -> None:
        """Check the timeouts of a connection whose request is being handled."""
        exchange = connection.exchange
        request = exchange.request
        if request is not None and now >= request.deadline + SWEEP_INTERVAL:
            exchange.terminate(RequestError(ErrorKind.DEADLINE_EXCEEDED))
            return
        if now - connection.progress_at < self.limits.body_timeout:
            return
        if connection.body.waiter is not None:
            if connection.has_unread_bytes():
                return
            connection.close_after_response = True
            connection.body.fail(
                RequestError(ErrorKind.CALLER_TOO_SLOW, "The body came in too slowly.")
            )
        elif connection.writable is not None:
            exchange.terminate(RequestError(ErrorKind.CALLER_TOO_SLOW))

    def state(self) -> list[tuple[str, object]]:
        """Return the state as pairs of name and value, for the state dump."""
        in_flight = sum(connection.task is not None for connection in self.connections)
        counters = self.counters
        return [
            ("connections", len(self.connections)),
            ("connection limit", self.limits.max_connections),
            ("requests in flight", in_flight),
            ("draining", self.draining),
            ("tls", self.ssl_context is not None),
            ("connections accepted", counters.connections),
            ("requests begun", counters.requests),
            ("callers gone", counters.disconnected_callers),
            ("answers cut short", counters.truncated_responses),
            ("idle connections closed", counters.idle_closed),
            ("connections that received more after that", counters.received_after_close),
            ("answers by status", dict(sorted(counters.responses.items()))),
            ("own answers by kind", dict(sorted(counters.errors.items()))),
        ]


def requested_timeout(given: bytes, default: timedelta) -> timedelta:
    """Return the timeout that the caller asks for, at most MAX_DEADLINE."""
    if not given:
        return default
    if not given.isdigit() or len(given) > 9 or int(given) == 0:
        raise bad_request("Fireflylock-Deadline-Ms is not a number of milliseconds.")
    return min(timedelta(milliseconds=int(given)), MAX_DEADLINE)


def idempotency_key(headers: Headers) -> str:
    """Return the caller's ``Idempotency-Key``, or "" without one."""
    values = [value for name, value in headers if name == IDEMPOTENCY_HEADER]
    if not values:
        return ""
    if len(values) > 1 or not 0 < len(values[0]) <= MAX_IDEMPOTENCY_KEY_BYTES:
        raise bad_request("Idempotency-Key is given twice, empty or too long.")
    return values[0].decode("latin-1")
