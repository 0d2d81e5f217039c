"""Requests and responses, independent of the transport that carries them."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from fireflylock.clock import Instant

Headers = list[tuple[bytes, bytes]]


class Body(ABC):
    """A stream of bytes that is read once, in order."""

    @abstractmethod
    async def read(self) -> bytes:
        """Return the next chunk, or ``b""`` at the end.

        Raises
        ------
        BodyCutShortError
            The sender stopped before the announced end.
        """

    def read_nowait(self) -> bytes:
        """Return the bytes that are available without waiting; may be ``b""`` before the end."""
        return b""

    def at_end(self) -> bool:
        """Return whether it is known, without waiting, that nothing is left to read."""
        return False

    async def close(self) -> None:  # noqa: B027 - nothing to release is a valid default.
        """Release the body's resources; can be called at any time and repeatedly."""


class BytesBody(Body):
    """A body that is already in memory."""

    def __init__(self, data: bytes = b"") -> None:
        self.data = data

    async def read(self) -> bytes:
        """Return all bytes at the first call."""
        return self.read_nowait()

    def read_nowait(self) -> bytes:
        """Return all bytes at the first call."""
        data, self.data = self.data, b""
        return data

    def at_end(self) -> bool:
        """Return whether the bytes were read."""
        return not self.data


async def read_all(body: Body, limit: int) -> bytes | None:
    """Return the whole body, or None if it is longer than `limit` bytes."""
    chunks = []
    size = 0
    while chunk := await body.read():
        size += len(chunk)
        if size > limit:
            return None
        chunks.append(chunk)
    return b"".join(chunks)


@dataclass
class Request:
    """A caller's request after parsing.

    Attributes
    ----------
    request_id : str
        Unique id; in every log line and sent to the backend server.
    service, key, customer : str
        Service, its key and the customer; the key is empty for services without keys.
    method : str
        HTTP method, upper case.
    target : bytes
        HTTP request target.
    headers : list of (bytes, bytes)
        End-to-end headers, names in lower case, without hop-by-hop headers.
    body : Body
        The body; nothing may have been read from it when the request is sent elsewhere.
    body_length : int or None
        Announced length in bytes; None when chunked.
    deadline : timedelta
        Instant on this process's clock by which the response must be complete.
    idempotent : bool
        Whether the request may be sent twice.
    idempotency_key : str
        The caller's ``Idempotency-Key``, or empty.
    server : str
        The backend server that was chosen; empty if the key decides.
    """

    request_id: str
    service: str
    key: str
    customer: str
    method: str
    target: bytes
    headers: Headers
    body: Body
    body_length: int | None
    deadline: Instant
    idempotent: bool
    idempotency_key: str = ""
    server: str = ""


@dataclass
class Response:
    """The response to one request.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : list of (bytes, bytes)
        End-to-end headers, names in lower case.
    body : Body
        The body.
    body_length : int or None
        Announced length in bytes; None if it is not known in advance.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: Body = field(default_factory=BytesBody)
    body_length: int | None = None


class Handler(ABC):
    """Handles requests: the router, a gate or a peer."""

    @abstractmethod
    async def handle(self, request: Request) -> Response:
        """Return the response to `request`.

        Cancelling the task that waits here, or closing the response's body early, tells
        the backend server that nobody waits for the response any more.

        Raises
        ------
        RequestError
            The system itself responds; the kind says whether the request may have run.
        """
