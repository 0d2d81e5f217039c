"""The pool of connections to one backend server, within its connection limit."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from fireflylock.clock import Clock, Instant
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import Headers, Request, Response
from fireflylock.model import BackendServer
from fireflylock.reserved_connection import ReservedConnection
from fireflylock.server_connection import ConnectionOwner, PoolCounters, ServerConnection
from fireflylock.server_exchange import ServerDialect, ServerExchange, ServerNotice
from fireflylock.sockets import set_ack_timeout

SESSION_TARGET = b"/fireflylock/session"
LOAD_TARGET = b"/fireflylock/load"

# Connections that requests never use: one for control calls, one for the load endpoint,
# so that neither waits behind a request or behind the other.
RESERVED_CONNECTIONS = 2

CONNECT_TIMEOUT = timedelta(seconds=1)
IDLE_TIMEOUT = timedelta(seconds=30)
# An idle connection is not used any more from this long before the server closes it: whether
# a request that crosses the close has run is unknown.
IDLE_MARGIN = timedelta(seconds=1)
# Refusals on one connection after which it is closed; their request ids are kept until then.
MAX_REFUSALS_PER_CONNECTION = 32


class ServerPool(ConnectionOwner):
    """A pool of connections to one backend server.

    Parameters
    ----------
    server : BackendServer
        Server to connect to.
    connection_limit : int
        Maximum number of TCP connections, including the reserved ones.
    clock : Clock
        Time source.
    connect_timeout, idle_timeout : timedelta
        Timeout for opening a connection, and how long an unused one is kept.
    dialect : ServerDialect or None
        How the server reports the outcome of a request; None for the default dialect.
    ack_timeout : timedelta or None
        Time without an acknowledgement after which the kernel ends a connection.
    on_notice : callable or None
        Called with what a response says about the server itself, and when its request was sent.
    on_backlog : callable or None
        Called when far more of a response has arrived than is handled in one go.
    """

    def __init__(
        self,
        server: BackendServer,
        connection_limit: int,
        clock: Clock,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
        idle_timeout: timedelta = IDLE_TIMEOUT,
        dialect: ServerDialect | None = None,
        ack_timeout: timedelta | None = None,
        on_notice: Callable[[ServerNotice, Instant], None] | None = None,
        on_backlog: Callable[[], None] | None = None,
    ) -> None:
        self.server = server
        self.on_notice = on_notice
        self.on_backlog = on_backlog
        self.set_connection_limit(connection_limit)
        self.clock = clock
        self.connect_timeout = connect_timeout
        self.idle_timeout = idle_timeout
        self.dialect = dialect
        self.ack_timeout = ack_timeout
        self.counters = PoolCounters()
        # Connections for requests that are open or being opened; never more than `limit`.
        self.open_count = 0
        self.connections: set[ServerConnection] = set()
        # Free connections; the most recently used one is taken first, so that others time out.
        self.idle: list[ServerConnection] = []
        self.idle_timer: asyncio.TimerHandle | None = None
        self.waiters: deque[asyncio.Future[None]] = deque()
        self.control_connection = ReservedConnection(server, clock, self.connect)
        self.load_connection = ReservedConnection(server, clock, self.connect)
        self.closed = False

    def set_connection_limit(self, connection_limit: int) -> None:
        """Set the maximum number of connections; those beyond it are closed once free.

        Parameters
        ----------
        connection_limit : int
            As for the constructor.
        """
        self.limit = max(1, connection_limit - RESERVED_CONNECTIONS)

    async def exchange(
        self,
        request: Request,
        extra_headers: Headers,
        before_send: Callable[[], None],
        dialect: ServerDialect | None = None,
    ) -> Response:
        """Send `request` and return its response, whose body may still be arriving.

        Parameters
        ----------
        request : Request
            What to send.
        extra_headers : list of (bytes, bytes)
            Added to the headers of the request.
        before_send : callable
            Called in the same synchronous step that writes the first bytes to the
            transport; raises `RequestError` to prevent the send.
        dialect : ServerDialect or None
            How the server reports the outcome of this request; None as for others.

        Raises
        ------
        RequestError
            `not_run` is True only if no byte was written or the server sent a typed
            refusal.
        """
        connection = await self.acquire(request)
        # There must be no await between the checks here and the first write.
        now = self.clock.elapsed()
        remaining = request.deadline - now
        try:
            if remaining <= timedelta(0):
                raise RequestError(ErrorKind.DEADLINE_TOO_SHORT, "The deadline passed unsent.")
            before_send()
        except BaseException:
            connection.release()
            raise
        exchange = ServerExchange(connection, request, dialect or self.dialect, now)
        exchange.start(extra_headers, remaining)
        return await exchange.wait_for_response()

    async def acquire(self, request: Request) -> ServerConnection:
        """Return a free open connection, waiting for one until the deadline if needed."""
        # The usual case needs no timeout, because nothing is awaited.
        request_id = request.request_id
        if not self.waiters and (connection := self.take_idle(request_id)) is not None:
            return connection
        remaining = (request.deadline - self.clock.elapsed()).total_seconds()
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                while True:
                    if self.closed:
                        raise RequestError(ErrorKind.SERVER_UNREACHABLE, "The pool is closed.")
                    connection = self.take_idle(request_id)
                    if connection is not None:
                        return connection
                    if self.open_count < self.limit:
                        return await self.open_connection()
                    if self.idle:
                        self.replace_oldest_idle()
                    await self.wait_for_release()
        except TimeoutError:
            raise RequestError(
                ErrorKind.DEADLINE_TOO_SHORT, "No connection became free in time."
            ) from None

    def take_idle(self, request_id: str) -> ServerConnection | None:
        """Return a free connection that may carry a request, or None.

        The server has neither closed it nor refused the same request on it.
        """
        for connection in reversed(self.idle.copy()):
            if request_id in connection.refused_ids:
                continue
            self.idle.remove(connection)
            if self.is_usable(connection):
                return connection
            # Nothing of this request was sent yet, so another connection can be used.
            self.counters.replaced += 1
            connection.abort()
        return None

    def replace_oldest_idle(self) -> None:
        """Close the free connection that was used least recently, to make room for a new one."""
        self.counters.replaced += 1
        self.idle.pop(0).abort()

    def is_usable(self, connection: ServerConnection) -> bool:
        """Return whether a free connection may carry a request."""
        if not connection.is_open() or connection.is_closed_or_readable():
            return False
        if connection.keep_alive_timeout is None:
            return True
        return (
            self.clock.elapsed() - connection.idle_since
            < connection.keep_alive_timeout - IDLE_MARGIN
        )

    async def open_connection(self) -> ServerConnection:
        """Open a connection for requests; it counts from before its first packet."""
        self.open_count += 1
        try:
            connection = await self.connect(self)
        except BaseException:
            self.open_count -= 1
            self.wake_waiter()
            raise
        self.connections.add(connection)
        return connection

    async def connect(self, owner: ConnectionOwner) -> ServerConnection:
        """Return a new connection to the server."""
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in self.server.host else socket.AF_INET
        raw_socket = socket.socket(family, socket.SOCK_STREAM)
        try:
            raw_socket.setblocking(False)
            if self.ack_timeout is not None:
                set_ack_timeout(raw_socket, self.ack_timeout)
            async with asyncio.timeout(self.connect_timeout.total_seconds()):
                await loop.sock_connect(raw_socket, (self.server.host, self.server.port))
            _, connection = await loop.create_connection(
                lambda: ServerConnection(owner, raw_socket), sock=raw_socket
            )
        except (OSError, TimeoutError) as error:
            raw_socket.close()
            self.counters.connect_failures += 1
            failure = RequestError(ErrorKind.SERVER_UNREACHABLE, str(error))
            failure.connection_reset = isinstance(error, ConnectionResetError)
            raise failure from None
        except BaseException:
            raw_socket.close()
            raise
        self.counters.opened += 1
        return connection

    async def wait_for_release(self) -> None:
        """Wait until a connection may have become free."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.wake_waiter()
            raise

    def wake_waiter(self) -> None:
        """Wake the request that has waited longest."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def connection_released(self, connection: ServerConnection) -> None:
        """Keep a connection that has become free for the next request."""
        worn_out = len(connection.refused_ids) >= MAX_REFUSALS_PER_CONNECTION
        if self.closed or worn_out or self.open_count > self.limit:
            connection.abort()
            return
        connection.idle_since = self.clock.elapsed()
        self.idle.append(connection)
        self.wake_waiter()
        if self.idle_timer is None:
            self.schedule_idle_check()

    def connection_closed(self, connection: ServerConnection) -> None:
        """Remove a connection that has ended."""
        if connection not in self.connections:
            return
        self.connections.discard(connection)
        self.open_count -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        self.wake_waiter()

    def backlog_found(self, connection: ServerConnection) -> None:
        """Pass on that far more of a response has arrived than is handled in one go."""
        if self.on_backlog is not None:
            self.on_backlog()

    def notice_received(self, notice: ServerNotice, sent_at: Instant) -> None:
        """Pass on what a response said about the server itself."""
        if self.on_notice is not None:
            self.on_notice(notice, sent_at)

    def schedule_idle_check(self) -> None:
        """Schedule a check of the free connections after the idle timeout."""
        loop = asyncio.get_running_loop()
        self.idle_timer = loop.call_later(self.idle_timeout.total_seconds(), self.close_idle)

    def close_idle(self) -> None:
        """Close the connections that have been idle for the idle timeout."""
        self.idle_timer = None
        now = self.clock.elapsed()
        expired = [c for c in self.idle if now - c.idle_since >= self.idle_timeout]
        for connection in expired:
            self.idle.remove(connection)
            connection.abort()
        if self.idle:
            self.schedule_idle_check()

    async def control(self, call: dict, timeout: timedelta) -> dict:
        """Make one control call and return the server's reply.

        Raises
        ------
        OSError
            The server could not be reached, or the connection ended before the reply.
        TimeoutError
            There was no reply within `timeout`.
        ProtocolError
            The reply is not a JSON object.
        """
        return await self.control_connection.call("POST", SESSION_TARGET, call, timeout)

    async def load(self, timeout: timedelta) -> dict:
        """Return the response of the server's load endpoint; errors as in `control`."""
        return await self.load_connection.call("GET", LOAD_TARGET, None, timeout)

    def close(self) -> None:
        """Close all connections immediately."""
        self.retire()
        for connection in list(self.connections):
            connection.abort()

    def retire(self) -> None:
        """Send nothing more; close idle connections, and those in use when their requests end."""
        self.closed = True
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        for connection in list(self.idle):
            connection.abort()
        self.control_connection.close()
        self.load_connection.close()
        while self.waiters:
            self.wake_waiter()

    def state(self) -> list[tuple[str, object]]:
        """Return the state as pairs of name and value, for the state dump."""
        return [
            ("address", f"{self.server.host}:{self.server.port}"),
            ("connections", self.open_count),
            ("connection limit for requests", self.limit),
            ("idle connections", len(self.idle)),
            ("requests waiting for a connection", len(self.waiters)),
            *vars(self.counters).items(),
        ]
