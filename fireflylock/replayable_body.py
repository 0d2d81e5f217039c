"""Bodies that can be sent in several attempts, or that are partly read in advance."""

from fireflylock.exchange import Body, BytesBody


class ReadTrackingBody(Body):
    """A request body that records whether anything was read from it.

    Parameters
    ----------
    body : Body
        The caller's body.
    """

    def __init__(self, body: Body) -> None:
        self.body = body
        self.was_read = False

    async def read(self) -> bytes:
        """Return the next chunk."""
        self.was_read = True
        return await self.body.read()

    def read_nowait(self) -> bytes:
        """Return the bytes that have arrived so far."""
        data = self.body.read_nowait()
        self.was_read = self.was_read or bool(data)
        return data

    def at_end(self) -> bool:
        """Return whether the last byte was read."""
        return self.body.at_end()

    async def close(self) -> None:
        """Release the caller's body."""
        await self.body.close()

    def body_for_attempt(self) -> Body:
        """Return the body for the next attempt."""
        return self


class BufferedBody:
    """A request body that is buffered in memory for every attempt.

    Parameters
    ----------
    data : bytes
        The complete body.
    """

    was_read = False

    def __init__(self, data: bytes) -> None:
        self.data = data

    def body_for_attempt(self) -> Body:
        """Return the body for the next attempt."""
        return BytesBody(self.data)


class ChainedBody(Body):
    """The part of a body that was already read, followed by the rest of it.

    Parameters
    ----------
    prefix : bytes
        The part that was read.
    rest : Body or None
        The part still to be read; None if there is none.
    """

    def __init__(self, prefix: bytes, rest: Body | None) -> None:
        self.prefix = prefix
        self.rest = rest

    async def read(self) -> bytes:
        """Return the next chunk."""
        if self.prefix or self.rest is None:
            return self.take_prefix()
        return await self.rest.read()

    def read_nowait(self) -> bytes:
        """Return the bytes that are available without waiting."""
        data = self.take_prefix()
        return data if self.rest is None else data + self.rest.read_nowait()

    def take_prefix(self) -> bytes:
        """Return the part that was read, once."""
        data, self.prefix = self.prefix, b""
        return data

    def at_end(self) -> bool:
        """Return whether the last byte was read."""
        return not self.prefix and (self.rest is None or self.rest.at_end())

    async def close(self) -> None:
        """Release the rest."""
        if self.rest is not None:
            await self.rest.close()


async def read_ahead(body: Body, limit: int) -> ChainedBody:
    """Return a body of which more than `limit` bytes, or all, were already read.

    Raises
    ------
    BodyCutShortError
        It ended before its announced end.
    """
    chunks = []
    size = 0
    while size <= limit:
        chunk = await body.read()
        if not chunk:
            return ChainedBody(b"".join(chunks), None)
        chunks.append(chunk)
        size += len(chunk)
    return ChainedBody(b"".join(chunks), body)
