"""The HTTP server of the admin API, on asyncio streams and h11."""

import asyncio
import ssl
from dataclasses import dataclass
from datetime import timedelta

import h11

from fireflylock.api import Api, ApiAnswer, problem
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.log import logger

LOG = logger("admin")
READ_BYTES = 65536


@dataclass(frozen=True)
class AdminLimits:
    """Bounds on what a client of the admin API can make grow.

    Attributes
    ----------
    connections : int
        Connections at once; more are closed at once.
    header_bytes, body_bytes : int
        Size of a request's headers and of its body.
    request_timeout : timedelta
        Time for the whole request to come in, and for one answer to be taken.
    idle_timeout : timedelta
        Longest pause between two requests.
    """

    connections: int = 64
    header_bytes: int = 32 * 1024
    body_bytes: int = 4 * 1024**2
    request_timeout: timedelta = timedelta(seconds=10)
    idle_timeout: timedelta = timedelta(seconds=60)


class AdminServer:
    """Serves the admin API.

    Parameters
    ----------
    api : Api
        Answers the requests.
    limits : AdminLimits
        Bounds.

    Attributes
    ----------
    connections : set of asyncio.Task
        One task per open connection.
    refused : int
        Connections closed because there were too many.
    """

    def __init__(self, api: Api, limits: AdminLimits | None = None) -> None:
        self.api = api
        self.limits = limits if limits is not None else AdminLimits()
        self.connections: set[asyncio.Task[None]] = set()
        self.refused = 0
        self.server: asyncio.Server | None = None

    async def start(
        self, address: str, port: int, ssl_context: ssl.SSLContext | None = None
    ) -> int:
        """Accept connections; return the port, which matters when `port` is 0."""
        self.server = await asyncio.start_server(self._serve, address, port, ssl=ssl_context)
        return int(self.server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop accepting and end every connection."""
        if self.server is not None:
            self.server.close()
        connections = list(self.connections)
        for task in connections:
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        task = asyncio.current_task()
        if task is None or len(self.connections) >= self.limits.connections:
            self.refused += 1
            writer.close()
            return
        self.connections.add(task)
        try:
            await Connection(self.api, self.limits, reader, writer).run()
        except (OSError, TimeoutError, asyncio.CancelledError) as error:
            LOG.debug("connection ended", reason=type(error).__name__)
        finally:
            self.connections.discard(task)
            writer.close()


class Connection:
    """One client's connection.

    Parameters
    ----------
    api : Api
        Answers the requests.
    limits : AdminLimits
        Bounds.
    reader, writer
        The streams.
    """

    def __init__(
        self,
        api: Api,
        limits: AdminLimits,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.api = api
        self.limits = limits
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)

    async def run(self) -> None:
        """Answer requests one after the other."""
        while True:
            try:
                idle = self.limits.idle_timeout.total_seconds()
                event = await asyncio.wait_for(self.next_event(), idle)
                if not isinstance(event, h11.Request):
                    return
                limit = self.limits.request_timeout.total_seconds()
                body = await asyncio.wait_for(self.read_body(), limit)
            except h11.RemoteProtocolError as error:
                await self.refuse(_kind_of(error))
                return
            except RequestError as error:
                await self.refuse(error.kind)
                return
            answer = await self.answer(event, body)
            await self.send(answer, with_body=event.method != b"HEAD")
            if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
                return
            self.http.start_next_cycle()

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event of the connection."""
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.http.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                self.writer.write(self.http.send(go_on) or b"")
            self.http.receive_data(await self.reader.read(READ_BYTES))

    async def read_body(self) -> bytes:
        """Return the request's whole body."""
        chunks = []
        size = 0
        while True:
            event = await self.next_event()
            if not isinstance(event, h11.Data):
                return b"".join(chunks)
            size += len(event.data)
            if size > self.limits.body_bytes:
                raise RequestError(ErrorKind.BODY_TOO_LARGE)
            chunks.append(bytes(event.data))

    async def answer(self, request: h11.Request, body: bytes) -> ApiAnswer:
        """Return the API's answer to one request."""
        authorization = ""
        for name, value in request.headers:
            if name == b"authorization":
                authorization = value.decode("latin-1")
        method = request.method.decode("latin-1")
        return await self.api.answer(method, request.target.decode("latin-1"), authorization, body)

    async def refuse(self, kind: ErrorKind) -> None:
        """Answer a request that is not understood; the connection ends with it."""
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await self.send(problem(RequestError(kind)), close=True)

    async def send(self, answer: ApiAnswer, close: bool = False, with_body: bool = True) -> None:
        """Send one answer."""
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
            ("Cache-Control", "no-store"),
            *answer.headers,
        ]
        if close:
            headers.append(("Connection", "close"))
        response = h11.Response(status_code=answer.status, headers=headers)
        head = self.http.send(response) or b""
        data = b""
        if with_body:
            data = self.http.send(h11.Data(data=answer.body)) or b""
        end = self.http.send(h11.EndOfMessage()) or b""
        self.writer.write(head + data + end)
        limit = self.limits.request_timeout.total_seconds()
        await asyncio.wait_for(self.writer.drain(), limit)


def _kind_of(error: h11.RemoteProtocolError) -> ErrorKind:
    """Return the error kind of a request that h11 refused."""
    if error.error_status_hint == 431:
        return ErrorKind.HEADERS_TOO_LARGE
    return ErrorKind.BAD_REQUEST
