"""A response body with a callback at its end."""

from collections.abc import Callable

from fireflylock.exchange import Body


class CallbackBody(Body):
    """A response body that calls back exactly once when it ends, fails or is closed.

    Parameters
    ----------
    body : Body
        The backend server's body.
    on_end : callable
        Called with True after a complete body, else with False.
    """

    def __init__(self, body: Body, on_end: Callable[[bool], None]) -> None:
        self.body = body
        self.on_end: Callable[[bool], None] | None = on_end

    async def read(self) -> bytes:
        """Return the next chunk."""
        try:
            chunk = await self.body.read()
        except BaseException:
            self.notify_end(False)
            raise
        if not chunk:
            self.notify_end(True)
        return chunk

    def read_nowait(self) -> bytes:
        """Return the bytes that have arrived so far."""
        data = self.body.read_nowait()
        if self.body.at_end():
            self.notify_end(True)
        return data

    def at_end(self) -> bool:
        """Return whether the last byte was read."""
        return self.body.at_end()

    async def close(self) -> None:
        """Release the server's body; the unread rest is discarded."""
        complete = self.body.at_end()
        try:
            await self.body.close()
        finally:
            self.notify_end(complete)

    def notify_end(self, complete: bool) -> None:
        """Invoke the callback, at most once."""
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(complete)
