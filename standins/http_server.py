"""A small HTTP server on h11 for stand-ins."""

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

import h11

READ_BYTES = 64 * 1024


@dataclass
class Call:
    """One request to a stand-in."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)
    target: str = ""

    def json(self) -> dict:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


@dataclass
class Reply:
    """The answer of a stand-in; the items of `parts` are sent after `body`."""

    status: int = 200
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    parts: AsyncIterator[bytes] | None = None

    @classmethod
    def of(cls, content: object, status: int = 200) -> "Reply":
        """Return an answer with `content` as JSON."""
        return cls(status, json.dumps(content).encode(), [("Content-Type", "application/json")])


class DropConnectionError(Exception):
    """Raised to close the connection without an answer."""


class ResetConnectionError(Exception):
    """Raised to reset the connection without an answer."""


class HTTPServer:
    """Answers requests on one port.

    Parameters
    ----------
    answer : callable
        Returns the `Reply` to a `Call`.
    """

    def __init__(self, answer: Callable[[Call], Awaitable[Reply]]) -> None:
        self.answer = answer
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self, host: str, port: int) -> int:
        """Start to listen and return the port."""
        self.server = await asyncio.start_server(self._serve, host, port)
        return self.server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and close every connection."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def drop_connections(self) -> None:
        """Close every connection, but keep listening."""
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until either side closes it."""
        task = asyncio.current_task()
        self.tasks.add(task)
        protocol = h11.Connection(h11.SERVER)
        try:
            while call := await _read_call(protocol, reader):
                reply = await self.answer(call)
                await _write_reply(protocol, writer, reply)
                if protocol.our_state is not h11.DONE:
                    break
                protocol.start_next_cycle()
        except ResetConnectionError:
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        except (OSError, h11.ProtocolError, DropConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            with contextlib.suppress(RuntimeError):
                writer.close()


async def _read_call(protocol: h11.Connection, reader: asyncio.StreamReader) -> Call | None:
    """Return the next request, or None at the end of the connection."""
    head = None
    body = []
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(READ_BYTES))
            continue
        if isinstance(event, h11.Request):
            head = event
            continue
        if isinstance(event, h11.Data):
            body.append(bytes(event.data))
            continue
        if isinstance(event, h11.EndOfMessage):
            parts = urlsplit(head.target.decode())
            query = dict(parse_qsl(parts.query))
            headers = {name.decode(): value.decode() for name, value in head.headers}
            method = head.method.decode()
            target = head.target.decode()
            return Call(method, parts.path, query, b"".join(body), headers, target)
        return None


async def _write_reply(
    protocol: h11.Connection, writer: asyncio.StreamWriter, reply: Reply
) -> None:
    """Send one answer."""
    headers = list(reply.headers)
    if reply.parts is None:
        headers.append(("Content-Length", str(len(reply.body))))
    writer.write(protocol.send(h11.Response(status_code=reply.status, headers=headers)))
    if reply.body:
        writer.write(protocol.send(h11.Data(data=reply.body)))
    if reply.parts is not None:
        async for part in reply.parts:
            writer.write(protocol.send(h11.Data(data=part)))
            await writer.drain()
    writer.write(protocol.send(h11.EndOfMessage()))
    await writer.drain()
