"""Bodies that arrive on a connection, with back-pressure onto it."""

import asyncio
from abc import abstractmethod
from collections import deque

from fireflylock.exceptions import BodyCutShortError, RequestError
from fireflylock.exchange import Body


class StreamBody(Body):
    """A body whose received bytes are buffered for its reader.

    Attributes
    ----------
    buffered : int
        Number of buffered bytes.
    complete : bool
        Whether the last byte has arrived.
    error : RequestError or None
        Why the rest of the body will not arrive.
    waiter : asyncio.Future or None
        Set while the reader waits for bytes.
    """

    def __init__(self) -> None:
        self.chunks: deque[bytes] = deque()
        self.buffered = 0
        self.complete = False
        self.error: RequestError | None = None
        self.waiter: asyncio.Future[None] | None = None

    @abstractmethod
    def wait_started(self) -> None:
        """Handle that the reader starts to wait for bytes."""

    @abstractmethod
    def buffer_changed(self) -> None:
        """Pause or resume the connection according to the buffered bytes."""

    async def read(self) -> bytes:
        """Return the buffered bytes, waiting for some if needed, or ``b""`` at the end."""
        while not self.chunks:
            if self.complete:
                return b""
            if self.error is not None:
                raise BodyCutShortError(str(self.error))
            self.wait_started()
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None
        return self.read_nowait()

    def read_nowait(self) -> bytes:
        """Return all buffered bytes."""
        if not self.chunks:
            return b""
        data = b"".join(self.chunks)
        self.chunks.clear()
        self.buffered = 0
        self.buffer_changed()
        return data

    def at_end(self) -> bool:
        """Return whether the last byte was read."""
        return self.complete and not self.chunks

    def append(self, data: bytes) -> None:
        """Add bytes received from the connection."""
        self.chunks.append(data)
        self.buffered += len(data)
        self.wake()

    def end(self) -> None:
        """Mark the body as complete."""
        self.complete = True
        self.wake()

    def fail(self, error: RequestError) -> None:
        """Record that the rest of the body will not arrive."""
        if self.complete or self.error is not None:
            return
        self.error = error
        self.wake()

    def wake(self) -> None:
        """Wake the reader."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)
