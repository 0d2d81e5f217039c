"""A connection to a backend server that is reserved for control calls."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec

from fireflylock.clock import Clock
from fireflylock.exceptions import BodyCutShortError, ErrorKind, ProtocolError, RequestError
from fireflylock.exchange import BytesBody, Request, Response, read_all
from fireflylock.model import BackendServer
from fireflylock.server_connection import ConnectionOwner, PoolCounters, ServerConnection
from fireflylock.server_exchange import ServerExchange

MAX_CONTROL_RESPONSE_BYTES = 1024 * 1024
OK_STATUS = 200
JSON_TYPE = (b"content-type", b"application/json")


class ReservedConnection(ConnectionOwner):
    """A connection that requests don't use, for one call at a time.

    Parameters
    ----------
    server : BackendServer
        Server to call.
    clock : Clock
        Time source.
    connect : callable
        Opens a connection for an owner.
    """

    def __init__(
        self,
        server: BackendServer,
        clock: Clock,
        connect: Callable[[ConnectionOwner], Awaitable[ServerConnection]],
    ) -> None:
        self.server = server
        self.clock = clock
        self.connect = connect
        self.counters = PoolCounters()
        self.connection: ServerConnection | None = None
        self.lock = asyncio.Lock()

    def connection_released(self, connection: ServerConnection) -> None:
        """Keep the connection for the next call."""

    def connection_closed(self, connection: ServerConnection) -> None:
        """Remove the closed connection; the next call opens a new one."""
        if connection is self.connection:
            self.connection = None

    async def call(
        self, method: str, target: bytes, content: dict | None, timeout: timedelta
    ) -> dict:
        """Make one call with a JSON body, and return the JSON object of its response."""
        async with asyncio.timeout(timeout.total_seconds()), self.lock:
            try:
                response = await self.send(method, target, content, timeout)
                data = await read_all(response.body, MAX_CONTROL_RESPONSE_BYTES)
            except RequestError as error:
                if error.kind is ErrorKind.DEADLINE_EXCEEDED:
                    raise TimeoutError(str(error)) from None
                raise ConnectionError(str(error)) from None
            except BodyCutShortError as error:
                raise ConnectionError(str(error)) from None
        if data is None or response.status != OK_STATUS:
            raise ProtocolError(f"The server answered a control call with {response.status}.")
        return decode_object(data)

    async def send(
        self, method: str, target: bytes, content: dict | None, timeout: timedelta
    ) -> Response:
        """Send one call on the reserved connection, opening it if necessary."""
        data = b"" if content is None else msgspec.json.encode(content)
        request = Request(
            request_id="",
            service=self.server.service,
            key="",
            customer="",
            method=method,
            target=target,
            headers=[(b"host", self.server.host.encode()), JSON_TYPE],
            body=BytesBody(data),
            body_length=len(data),
            deadline=self.clock.elapsed() + timeout,
            idempotent=True,
        )
        connection = self.connection
        if connection is None or not connection.is_open() or connection.is_closed_or_readable():
            connection = await self.connect(self)
            self.connection = connection
        exchange = ServerExchange(connection, request)
        exchange.start([], timeout)
        return await exchange.wait_for_response()

    def close(self) -> None:
        """Close the connection immediately."""
        if self.connection is not None:
            self.connection.abort()


def decode_object(data: bytes) -> dict:
    """Return the JSON object in `data`."""
    try:
        return msgspec.json.decode(data, type=dict)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"The server's reply is not a JSON object: {error}") from None
