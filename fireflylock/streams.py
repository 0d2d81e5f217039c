"""Bodies that come in from a connection, with back-pressure onto it."""

import asyncio
from abc import abstractmethod
from collections import deque

from fireflylock.exceptions import BodyCutShortError, RequestError
from fireflylock.exchange import Body


class StreamBody(Body):
    """Body bytes that wait for their reader.

    Attributes
    ----------
    buffered : int
        Bytes that wait.
    complete : bool
        Whether the last byte has come in.
    problem : RequestError or None
        Why the rest will not come.
    waiter : asyncio.Future or None
        Set while somebody waits for bytes.
    """

    def __init__(self) -> None:
        self.chunks: deque[bytes] = deque()
        self.buffered = 0
        self.complete = False
        self.error: RequestError | None = None
        self.waiter: asyncio.Future[None] | None = None

    @abstractmethod
    def wait_started(self) -> None:
        """Take note that the reader begins to wait for bytes."""

    @abstractmethod
    def buffer_changed(self) -> None:
        """Let the connection pause or resume by what is buffered."""

    async def read(self) -> bytes:
        """Return what has come in, or ``b""`` at the end."""
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
        """Return everything that has come in so far."""
        if not self.chunks:
            return b""
        data = b"".join(self.chunks)
        self.chunks.clear()
        self.buffered = 0
        self.buffer_changed()
        return data

    def at_end(self) -> bool:
        """Return whether the last byte was taken."""
        return self.complete and not self.chunks

    def append(self, data: bytes) -> None:
        """Take in bytes from the connection."""
        self.chunks.append(data)
        self.buffered += len(data)
        self.wake()

    def end(self) -> None:
        """Note that the body is complete."""
        self.complete = True
        self.wake()

    def fail(self, error: RequestError) -> None:
        """Note that the rest of the body will not come."""
        if self.complete or self.error is not None:
            return
        self.error = error
        self.wake()

    def wake(self) -> None:
        """Let the reader look again."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)
