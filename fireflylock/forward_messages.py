"""Messages that carry callers' requests to a gate, and their responses back."""

from fireflylock.message import Message


class ForwardRequest(Message, frozen=True, tag=20):
    """A parsed request for the receiver's gate.

    Attributes
    ----------
    exchange_id : int
        Binds the response to this request; unique per sender.
    request_id, service, key, customer, method : str
        As in `fireflylock.exchange.Request`.
    target : bytes
        HTTP request target.
    headers : list of (bytes, bytes)
        End-to-end headers.
    body : bytes
        The whole body when it is complete, otherwise nothing.
    body_complete : bool
        Whether the body came along; `BodyChunk` messages carry it otherwise.
    body_length : int or None
        Announced length in bytes.
    deadline_ms : int
        Time left when this was sent.
    idempotent : bool
        Whether the request may be sent twice.
    idempotency_key : str
        The caller's key, or empty.
    server : str
        The backend server that was chosen; empty where the key decides.
    response_window : int
        Bytes of the response's body that may be under way.
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
        The whole body when it is complete, otherwise nothing.
    body_complete : bool
        Whether the body came along; `BodyChunk` messages carry it otherwise.
    body_length : int or None
        Announced length in bytes.
    """

    exchange_id: int
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    body_complete: bool
    body_length: int | None


class ForwardFailure(Message, frozen=True, tag=22):
    """The receiver of a `ForwardRequest` answers with an error of the closed list.

    Attributes
    ----------
    exchange_id : int
        The request's.
    kind : str
        Public name of the error kind.
    detail : str
        Further explanation.
    retry_after_ms : int
        When to come back; -1 for not said.
    """

    exchange_id: int
    kind: str
    detail: str = ""
    retry_after_ms: int = -1


class BodyChunk(Message, frozen=True, tag=23):
    """A part of a body.

    Attributes
    ----------
    exchange_id : int
        The request's.
    of_response : bool
        Whether it belongs to the response or to the request.
    offset : int
        Bytes of the body before this chunk; a gap means that chunks were lost.
    data : bytes
        The bytes.
    last : bool
        Whether the body ends here.
    cut : bool
        Whether the body ends here before its announced end.
    """

    exchange_id: int
    of_response: bool
    offset: int
    data: bytes
    last: bool = False
    cut: bool = False


class Credit(Message, frozen=True, tag=24):
    """Allows the sender of a body to send more of it.

    Attributes
    ----------
    exchange_id : int
        The request's.
    of_response : bool
        Whether the body belongs to the response or to the request.
    bytes : int
        How many bytes more.
    """

    exchange_id: int
    of_response: bool
    bytes: int


class Cancel(Message, frozen=True, tag=25):
    """Nobody waits for the response any more."""

    exchange_id: int
