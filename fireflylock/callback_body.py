"""A response body that tells when it has ended."""

from collections.abc import Callable

from fireflylock.exchange import Body


class CallbackBody(Body):
    """A response body that calls back exactly once when it ends, breaks or is closed.

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
            self.finish(False)
            raise
        if not chunk:
            self.finish(True)
        return chunk

    def read_nowait(self) -> bytes:
        """Return what has come in so far."""
        data = self.body.read_nowait()
        if self.body.at_end():
            self.finish(True)
        return data

    def at_end(self) -> bool:
        """Return whether the last byte was taken."""
        return self.body.at_end()

    async def close(self) -> None:
        """Release the server's body; what was not read is abandoned."""
        complete = self.body.at_end()
        try:
            await self.body.close()
        finally:
            self.finish(complete)

    def finish(self, complete: bool) -> None:
        """Call back, once."""
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(complete)
