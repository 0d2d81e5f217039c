"""Helpers of the tests of HTTP connections: a handler, raw callers and a raw server."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from datetime import timedelta

from fireflylock.backend import ServerPool
from fireflylock.clock import SystemClock
from fireflylock.exchange import Body, BytesBody, Handler, Request, Response
from fireflylock.frontend import Frontend, FrontendLimits, ServiceMatcher
from fireflylock.model import BackendServer, Configuration, Service

HOST = "127.0.0.1"
SERVICE = Service(name="mesa", key_header="X-Key", request_timeout=timedelta(seconds=20))


class ScriptedHandler(Handler):
    """Responds with a function of the request, and records the requests."""

    def __init__(self, answer: Callable[[Request], Awaitable[Response]]) -> None:
        self.answer = answer
        self.seen: list[Request] = []
        self.called = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def handle(self, request: Request) -> Response:
        """Respond to one request."""
        self.seen.append(request)
        self.called.set()
        try:
            return await self.answer(request)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise


class LongBody(Body):
    """A long body that counts the parts that were read from it."""

    def __init__(self, parts: int, part: bytes) -> None:
        self.parts = parts
        self.part = part
        self.parts_read = 0
        self.started = asyncio.Event()
        self.closed = asyncio.Event()

    async def read(self) -> bytes:
        """Return the next part."""
        if self.parts_read == self.parts:
            return b""
        self.parts_read += 1
        self.started.set()
        return self.part

    async def close(self) -> None:
        """Record the close."""
        self.closed.set()


async def echo(request: Request) -> Response:
    """Respond with the key and the request's body."""
    data = request.key.encode() + b":"
    while chunk := await request.body.read():
        data += chunk
    return Response(200, [(b"x-method", request.method.encode())], BytesBody(data), len(data))


def matcher(*services: Service) -> ServiceMatcher:
    """Return a matcher for `services`."""
    services = services or (SERVICE,)
    return ServiceMatcher(Configuration(1, services={s.name: s for s in services}))


@contextlib.asynccontextmanager
async def running_frontend(
    handler: Handler, limits: FrontendLimits | None = None, ssl_context: object = None
) -> AsyncIterator[tuple[Frontend, int]]:
    """Run a front end for `handler` on an ephemeral port."""
    frontend = Frontend(handler, matcher, SystemClock(), limits, ssl_context=ssl_context)
    port = await frontend.start(HOST, 0)
    try:
        yield frontend, port
    finally:
        await frontend.close()


async def send_raw(port: int, data: bytes, *, end: bool = False) -> bytes:
    """Send raw bytes and return everything received until the connection ends."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    if end:
        # The end of a stream cancels requests in flight, so complete requests get a moment.
        await asyncio.sleep(0.002)
        with contextlib.suppress(OSError):
            writer.write_eof()
    received = b""
    with contextlib.suppress(ConnectionError):
        while chunk := await reader.read(65536):
            received += chunk
    writer.close()
    return received


@contextlib.asynccontextmanager
async def raw_server(
    answer: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> AsyncIterator[ServerPool]:
    """Run a scripted TCP server, and yield a pool that connects to it."""
    server = await asyncio.start_server(answer, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    pool = new_pool(port)
    try:
        yield pool
    finally:
        pool.close()
        server.close()


def new_pool(port: int, connection_limit: int = 10) -> ServerPool:
    """Return a pool for a server on `port`."""
    server = BackendServer("s1", "mesa", "vm1", "zone", HOST, port)
    return ServerPool(server, connection_limit, SystemClock())


def new_request(
    method: str = "POST",
    target: bytes = b"/orders",
    body: bytes = b"",
    timeout: timedelta = timedelta(seconds=20),
) -> Request:
    """Return a request as the front end creates it."""
    return Request(
        request_id="r1",
        service="mesa",
        key="k",
        customer="k",
        method=method,
        target=target,
        headers=[(b"host", b"mesa"), (b"x-key", b"k")],
        body=BytesBody(body),
        body_length=len(body),
        deadline=SystemClock().elapsed() + timeout,
        idempotent=method == "GET",
    )
