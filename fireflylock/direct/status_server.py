"""HTTP server for the readiness checks and metrics scrapes of one process."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import h11
import structlog

MAX_HEAD_BYTES = 8 * 1024
READ_SIZE = 4096
# A connection without a request is closed after this; checks arrive every second.
IDLE_TIMEOUT = timedelta(seconds=30)

log = structlog.get_logger()


@dataclass(frozen=True)
class StatusAnswer:
    """The answer to one request.

    Attributes
    ----------
    status : int
        HTTP status code.
    body : bytes
        Content.
    content_type : str
        Media type of the content.
    """

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


class StatusServer:
    """A small HTTP server for checks and scrapes.

    Parameters
    ----------
    handlers : dict of str to callable
        Functions that return the answer, by path.
    """

    def __init__(self, handlers: dict[str, Callable[[], StatusAnswer]]) -> None:
        self.handlers = handlers
        self.servers: list[asyncio.Server] = []

    async def start(self, address: tuple[str, int]) -> None:
        """Listen on one more address."""
        host, port = address
        self.servers.append(await asyncio.start_server(self.serve, host, port))

    def close(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        protocol = h11.Connection(h11.SERVER, MAX_HEAD_BYTES)
        try:
            while await self.serve_one(protocol, reader, writer):
                protocol.start_next_cycle()
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            # The client repeats a check that failed.
            log.info("status request failed", error=repr(error))
        finally:
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def serve_one(
        self,
        protocol: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; return whether the connection may carry another."""
        request = None
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(IDLE_TIMEOUT.total_seconds()):
                    protocol.receive_data(await reader.read(READ_SIZE))
                continue
            if isinstance(event, h11.Request):
                request = event
                continue
            if isinstance(event, h11.Data):
                continue
            break
        if request is None:
            return False
        handler = self.handlers.get(request.target.decode("latin-1").partition("?")[0])
        answer = StatusAnswer(404) if handler is None else handler()
        headers = [
            ("content-type", answer.content_type),
            ("content-length", str(len(answer.body))),
        ]
        data = protocol.send(h11.Response(status_code=answer.status, headers=headers))
        data += protocol.send(h11.Data(data=answer.body))
        data += protocol.send(h11.EndOfMessage())
        writer.write(data)
        await writer.drain()
        return protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
