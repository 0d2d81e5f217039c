"""A small HTTP client over h11 for the platform's interfaces, with reused connections."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from urllib.parse import urlsplit

import h11

from fireflylock.exceptions import ProtocolError
from fireflylock.http1 import FINAL_STATUSES
from fireflylock.sockets import reset_on_close, set_ack_timeout

READ_BYTES = 64 * 1024
# Timeout for opening a connection.  A lost first packet is retransmitted only after a second,
# and then at growing intervals: a new attempt succeeds sooner once a network cut has healed.
CONNECT_TIMEOUT = timedelta(seconds=1)
# Maximum number of interim (1xx) responses to one call; a server could send them without end.
MAX_INTERIM_RESPONSES = 16


class NotSentError(ProtocolError):
    """A call failed before any byte of it was written."""


@dataclass
class HTTPResponse:
    """One response.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : dict of str to str
        Headers, names in lower case.
    body : bytes
        The whole body.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class HTTPConnection:
    """One connection that carries one exchange at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(h11.CLIENT)

    async def send(self, request: h11.Request, body: bytes) -> None:
        """Send one request."""
        data = self.protocol.send(request)
        if body:
            data += self.protocol.send(h11.Data(data=body))
        data += self.protocol.send(h11.EndOfMessage())
        self.writer.write(data)
        await self.writer.drain()

    async def next_event(self) -> h11.Event:
        """Return the next event of the response.

        Raises
        ------
        ProtocolError
            The other side violated HTTP or closed early.
        """
        interim_responses = 0
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise ProtocolError(f"not valid HTTP: {error}") from error
            if event is h11.NEED_DATA:
                self.protocol.receive_data(await self.reader.read(READ_BYTES))
                continue
            if isinstance(event, h11.InformationalResponse):
                interim_responses += 1
                if interim_responses > MAX_INTERIM_RESPONSES:
                    raise ProtocolError("too many interim answers")
                continue
            if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise ProtocolError("the connection was closed before the answer")
            return event

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body of the response, at most `limit` bytes."""
        chunks = []
        size = 0
        while isinstance(event := await self.next_event(), h11.Data):
            size += len(event.data)
            if size > limit:
                raise ProtocolError("the answer is too large")
            chunks.append(bytes(event.data))
        return b"".join(chunks)

    async def is_in_step(self) -> bool:
        """Return whether an idle connection is open and nothing came after the last response.

        What came would be taken for the response to the next call.
        """
        if self.reader.at_eof() or self.writer.is_closing() or self.protocol.trailing_data[0]:
            return False
        try:
            async with asyncio.timeout(0):
                await self.reader.read(1)
        except TimeoutError:
            return True
        except OSError:
            return False
        return False

    def may_be_reused(self) -> bool:
        """Prepare for the next exchange; return False if the connection must be closed."""
        if self.protocol.our_state is not h11.DONE or self.protocol.their_state is not h11.DONE:
            return False
        self.protocol.start_next_cycle()
        return not self.reader.at_eof()

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(RuntimeError):
            self.writer.close()

    def reset(self) -> None:
        """Reset the connection, so that sent bytes that have not arrived are discarded."""
        raw_socket = self.writer.get_extra_info("socket")
        with contextlib.suppress(OSError, RuntimeError):
            reset_on_close(raw_socket)
        self.writer.transport.abort()


class HTTPClient:
    """A client of one HTTP server.

    Parameters
    ----------
    url : str
        ``http://ip:port``; its path, if any, is prepended to the path of every call.
    max_response_bytes : int
        Maximum size of a response body, in bytes.
    max_idle_connections : int
        Maximum number of idle connections that are kept.
    ack_timeout : timedelta or None
        Time without an acknowledgement after which the kernel ends a connection.
    """

    def __init__(
        self,
        url: str,
        max_response_bytes: int = 16 * 1024 * 1024,
        max_idle_connections: int = 2,
        ack_timeout: timedelta | None = None,
    ) -> None:
        parts = urlsplit(url)
        self.url = url
        self.host = parts.hostname or ""
        self.port = parts.port or 80
        self.path = parts.path.rstrip("/")
        self.query = f"?{parts.query}" if parts.query else ""
        self.max_response_bytes = max_response_bytes
        self.max_idle_connections = max_idle_connections
        self.ack_timeout = ack_timeout
        self.idle: list[HTTPConnection] = []
        self.closed = False

    async def call(
        self,
        method: str,
        path: str,
        timeout: timedelta,
        body: bytes = b"",
        still_allowed: Callable[[], bool] | None = None,
        headers: Sequence[tuple[str, str]] = (),
        exclusive: bool = False,
    ) -> HTTPResponse:
        """Make one call and return its response.

        Parameters
        ----------
        method, path, body : str, str, bytes
            The call.
        timeout : timedelta
            Timeout for the whole response; when it expires, the connection is reset.
        still_allowed : callable or None
            Called in the same synchronous step that writes the first bytes.
        headers : sequence of (str, str)
            Sent in addition to the headers of every call.
        exclusive : bool
            Whether to use a new connection for this call alone, so that no late response to an
            earlier call can be taken for its response.

        Raises
        ------
        NotSentError
            No connection could be opened, or `still_allowed` returned False.
        OSError, TimeoutError, ProtocolError
            No usable response arrived.
        """
        end = asyncio.get_running_loop().time() + timeout.total_seconds()
        try:
            async with asyncio.timeout(min(timeout, CONNECT_TIMEOUT).total_seconds()):
                connection = await (self._connect() if exclusive else self._connection())
        except (OSError, TimeoutError) as error:
            raise NotSentError(f"no connection to {self.host}: {error!r}") from error
        try:
            async with asyncio.timeout_at(end):
                if still_allowed is not None and not still_allowed():
                    raise NotSentError("the call was no longer allowed")
                await connection.send(self._request(method, path, body, headers), body)
                answer = await self._read_head(connection)
                answer.body = await connection.read_body(self.max_response_bytes)
        except BaseException:
            connection.reset()
            raise
        if exclusive:
            connection.close()
        else:
            self._keep(connection)
        return answer

    async def stream(
        self, method: str, path: str, timeout: timedelta, body: bytes = b""
    ) -> AsyncIterator[bytes]:
        """Yield the parts of a streamed response; `timeout` applies to its head only.

        Raises
        ------
        OSError, TimeoutError, ProtocolError
            No usable response arrived.
        """
        connection = None
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                connection = await self._connection()
                await connection.send(self._request(method, path, body), body)
                answer = await self._read_head(connection)
            if answer.status != 200:
                raise ProtocolError(f"{path} was answered with status {answer.status}")
            while isinstance(event := await connection.next_event(), h11.Data):
                yield bytes(event.data)
        finally:
            if connection is not None:
                connection.close()

    def close(self) -> None:
        """Close the idle connections, and those in use once their calls have ended."""
        self.closed = True
        while self.idle:
            self.idle.pop().close()

    def _request(
        self, method: str, path: str, body: bytes, more: Sequence[tuple[str, str]] = ()
    ) -> h11.Request:
        """Return the head of a request."""
        headers = [("Content-Length", str(len(body)))]
        if not any(name.lower() == "host" for name, _ in more):
            headers.append(("Host", f"{self.host}:{self.port}"))
        headers += more
        if body:
            headers.append(("Content-Type", "application/json"))
        target = (self.path + path or "/") + self.query
        return h11.Request(method=method, target=target, headers=headers)

    async def _read_head(self, connection: HTTPConnection) -> HTTPResponse:
        """Return the status and headers of the response.

        Raises
        ------
        ProtocolError
            The response is not valid HTTP, or its status does not exist.
        """
        event = await connection.next_event()
        if event.status_code not in FINAL_STATUSES:
            raise ProtocolError(f"the status {event.status_code} does not exist")
        headers = {name.decode().lower(): value.decode() for name, value in event.headers}
        return HTTPResponse(event.status_code, headers)

    async def _connection(self) -> HTTPConnection:
        """Return an idle connection or a new one."""
        while self.idle:
            connection = self.idle.pop()
            if await connection.is_in_step():
                return connection
            connection.close()
        return await self._connect()

    async def _connect(self) -> HTTPConnection:
        """Return a new connection."""
        reader, writer = await asyncio.open_connection(self.host, self.port)
        if self.ack_timeout is not None:
            set_ack_timeout(writer.get_extra_info("socket"), self.ack_timeout)
        return HTTPConnection(reader, writer)

    def _keep(self, connection: HTTPConnection) -> None:
        """Keep a connection for the next call, or close it."""
        has_room = not self.closed and len(self.idle) < self.max_idle_connections
        if has_room and connection.may_be_reused():
            self.idle.append(connection)
            return
        connection.close()
