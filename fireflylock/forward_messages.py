"""Messages that carry callers' requests to a gate, and their responses back."""

from fireflylock.message import Message


class ForwardRequest(Message, frozen=True, tag=20):
    """A parsed request for the receiver's gate.

    Attributes
    ----------
    exchange_id : int
        Matches the response to this request; unique per sender.
    request_id, service, key, customer, method : str
        As in `fireflylock.exchange.Request`.
    target : bytes
        HTTP request target.
    headers : list of (bytes, bytes)
        End-to-end headers.
    body : bytes
        The whole body when it is complete, otherwise empty.
    body_complete : bool
        Whether `body` is complete; otherwise `BodyChunk` messages carry the body.
    body_length : int or None
        Declared length in bytes.
    deadline_ms : int
        Time until the deadline when this was sent.
    idempotent : bool
        Whether the request may be sent more than once.
    idempotency_key : str
        The caller's idempotency key, or empty.
    server : str
        The chosen backend server; empty when the key determines it.
    response_window : int
        Maximum number of bytes of the response's body in transit.
    assignment_revision : int
        Revision of the assignment by which the receiver was chosen.
    """

    exchange_id: int
    request_id: str
    service: str
    key: str
    customer: str
    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    body_complete: bool
    body_length: int | None
    deadline_ms: int
    idempotent: bool
    idempotency_key: str = ""
    server: str = ""
    response_window: int = 0
    assignment_revision: int = 0


class ForwardResponse(Message, frozen=True, tag=21):
    """The response to a `ForwardRequest`.

    Attributes
    ----------
    exchange_id : int
        The request's.
    status : int
        HTTP status code.
    headers : list of (bytes, bytes)
        End-to-end headers.
    body : bytes
        The whole body when it is complete, otherwise empty.
    body_complete : bool
        Whether `body` is complete; otherwise `BodyChunk` messages carry the body.
    body_length : int or None
        Declared length in bytes.
    """

    exchange_id: int
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    body_complete: bool
    body_length: int | None


class ForwardFailure(Message, frozen=True, tag=22):
    """An error of a fixed set, in answer to a `ForwardRequest`.

    Attributes
    ----------
    exchange_id : int
        The request's.
    kind : str
        Public name of the error kind.
    detail : str
        Further explanation.
    retry_after_ms : int
        Delay before the caller may retry; -1 when there is none.
    """

    exchange_id: int
    kind: str
    detail: str = ""
    retry_after_ms: int = -1


class BodyChunk(Message, frozen=True, tag=23):
    """A chunk of a body.

    Attributes
    ----------
    exchange_id : int
        The request's.
    of_response : bool
        Whether it belongs to the response or to the request.
    offset : int
        Bytes of the body before this chunk; a gap means that chunks were lost.
    data : bytes
        The bytes of the chunk.
    last : bool
        Whether this chunk ends the body.
    cut : bool
        Whether the body is cut short here, before its declared end.
    """

    exchange_id: int
    of_response: bool
    offset: int
    data: bytes
    last: bool = False
    cut: bool = False


class Credit(Message, frozen=True, tag=24):
    """Allows the sender of a body to send more bytes.

    Attributes
    ----------
    exchange_id : int
        The request's.
    of_response : bool
        Whether the body belongs to the response or to the request.
    bytes : int
        Number of further bytes.
    """

    exchange_id: int
    of_response: bool
    bytes: int


class Cancel(Message, frozen=True, tag=25):
    """Reports that the response is no longer wanted."""

    exchange_id: int
