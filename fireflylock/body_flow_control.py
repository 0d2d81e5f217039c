"""Flow control of bodies between daemons: credit, bounded buffers, and offsets to detect gaps."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from datetime import timedelta

from fireflylock.clock import Clock, Instant
from fireflylock.exceptions import BodyCutShortError
from fireflylock.exchange import Body
from fireflylock.messages import BodyChunk, Credit, PeerMessage

# Bytes that a sender may send before the reader has consumed any.
WINDOW_BYTES = 256 * 1024
SMALL_WINDOW_BYTES = 16 * 1024
CHUNK_BYTES = 64 * 1024

# Passes a message to the transport, and waits while the peer's queue is full; returns False
# when the message can't be sent any more.
Send = Callable[[PeerMessage], Awaitable[bool]]


class BodySender:
    """Sends one body as the reader's credit allows.

    Parameters
    ----------
    exchange_id, of_response : int, bool
        Identify the body.
    send : Send
        Sends a message to the reader.
    window : int
        Initial credit in bytes, which is also the maximum credit.
    """

    def __init__(
        self, exchange_id: int, of_response: bool, send: Send, window: int = WINDOW_BYTES
    ) -> None:
        self.exchange_id = exchange_id
        self.of_response = of_response
        self.send = send
        self.window = window
        self.offset = 0
        self.credit = window
        self.credited = asyncio.Event()

    def on_credit(self, message: Credit) -> None:
        """Add credit from the reader."""
        self.credit = min(self.credit + message.bytes, self.window)
        self.credited.set()

    async def send_all(self, body: Body) -> None:
        """Send the whole body; a body that cannot be read to its end is marked as cut short.

        Raises
        ------
        Exception
            Whatever `body` raised, after the reader was notified.
        """
        try:
            while data := await body.read():
                if not await self._send_data(data):
                    return
        except Exception:
            await self.cut()
            raise
        await self.send(self._chunk(b"", last=True))

    async def cut(self) -> None:
        """Tell the reader that the rest of the body won't be sent."""
        await self.send(self._chunk(b"", cut=True))

    async def _send_data(self, data: bytes) -> bool:
        """Send a part of the body in chunks that the credit covers."""
        view = memoryview(data)
        while view:
            while self.credit <= 0:
                self.credited.clear()
                await self.credited.wait()
            size = min(len(view), CHUNK_BYTES, self.credit)
            if not await self.send(self._chunk(bytes(view[:size]))):
                return False
            self.credit -= size
            self.offset += size
            view = view[size:]
        return True

    def _chunk(self, data: bytes, last: bool = False, cut: bool = False) -> BodyChunk:
        return BodyChunk(self.exchange_id, self.of_response, self.offset, data, last, cut)


class ReceivedBody(Body):
    """A body received from a peer; buffers no more than its window.

    Parameters
    ----------
    exchange_id, of_response : int, bool
        Identify the body.
    send : Send
        Sends a message to the body's sender.
    window : int
        Bytes that may be sent but not yet read.
    clock, deadline : Clock, timedelta
        Source of time, and the instant by which the body must have arrived.
    on_close : callable
        Called once, with whether the whole body arrived.
    """

    def __init__(
        self,
        exchange_id: int,
        of_response: bool,
        send: Send,
        window: int,
        clock: Clock,
        deadline: Instant,
        on_close: Callable[[bool], None],
    ) -> None:
        self.exchange_id = exchange_id
        self.of_response = of_response
        self.send = send
        self.window = window
        self.clock = clock
        self.deadline = deadline
        self.on_close = on_close
        self.chunks: deque[bytes] = deque()
        self.buffered = 0
        self.uncredited = 0
        self.offset = 0
        self.ended = False
        self.cut = False
        self.closed = False
        self.arrived = asyncio.Event()

    def on_chunk(self, chunk: BodyChunk) -> None:
        """Handle a chunk; a gap or a sender that exceeds its credit cuts the body short."""
        if self.ended or self.cut or self.closed:
            return
        gap = chunk.offset != self.offset
        overrun = self.buffered + len(chunk.data) > self.window
        if chunk.cut or gap or overrun:
            self.fail()
            return
        if chunk.data:
            self.chunks.append(chunk.data)
            self.buffered += len(chunk.data)
            self.offset += len(chunk.data)
        if chunk.last:
            self.ended = True
        self.arrived.set()

    def fail(self) -> None:
        """Cut the body short; chunks that have arrived can still be read."""
        if not self.ended:
            self.cut = True
        self.arrived.set()

    async def read(self) -> bytes:
        """Return the next chunk, or ``b""`` at the end."""
        while not self.chunks:
            if self.ended:
                await self.close()
                return b""
            if self.cut or self.closed:
                await self.close()
                raise BodyCutShortError("the peer stopped sending")
            await self._wait()
        data = self.chunks.popleft()
        self.buffered -= len(data)
        self.uncredited += len(data)
        if self.uncredited >= self.window // 2 and not self.ended:
            credit, self.uncredited = self.uncredited, 0
            await self.send(Credit(self.exchange_id, self.of_response, credit))
        return data

    async def close(self) -> None:
        """Release the buffer, and report through `on_close` whether the body arrived whole."""
        if self.closed:
            return
        self.closed = True
        self.chunks.clear()
        self.arrived.set()
        self.on_close(self.ended)

    async def _wait(self) -> None:
        """Wait until a chunk arrives; the body is cut short at its deadline."""
        self.arrived.clear()
        remaining = max(timedelta(0), self.deadline - self.clock.elapsed())
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                await self.arrived.wait()
        except TimeoutError:
            self.fail()
