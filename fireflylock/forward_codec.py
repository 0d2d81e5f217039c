"""Conversions between requests, errors and the messages that carry them between members."""

from datetime import timedelta

from fireflylock.clock import Clock, Instant
from fireflylock.exceptions import BodyCutShortError, ErrorKind, RequestError
from fireflylock.exchange import Body, Request, Response
from fireflylock.messages import ForwardFailure, ForwardRequest, PeerMessage
from fireflylock.peers import Peers

MILLISECOND = timedelta(milliseconds=1)
# How long sending waits for space in the peer's full queue, and the interval of its attempts.
FULL_QUEUE_TIMEOUT = timedelta(seconds=2)
FULL_QUEUE_RETRY_INTERVAL = timedelta(milliseconds=5)


class RetryingSender:
    """Sends to one member, and retries while its queue is full.

    Parameters
    ----------
    peers, clock : Peers, Clock
        The transport, and the source of time.
    member : str
        The receiver.
    deadline : timedelta
        Nothing is sent once `FULL_QUEUE_TIMEOUT` has passed after this instant.
    """

    def __init__(self, peers: Peers, clock: Clock, member: str, deadline: Instant) -> None:
        self.peers = peers
        self.clock = clock
        self.member = member
        self.deadline = deadline

    async def __call__(self, message: PeerMessage) -> bool:
        """Send `message`; return False when it can't be sent any more."""
        give_up_at = min(self.deadline, self.clock.elapsed()) + FULL_QUEUE_TIMEOUT
        while not self.peers.send(self.member, message):
            if self.clock.elapsed() >= give_up_at:
                return False
            await self.clock.sleep(FULL_QUEUE_RETRY_INTERVAL)
        return True


async def read_exactly(body: Body, length: int) -> bytes:
    """Return the body, which must have the announced length."""
    chunks = []
    size = 0
    while chunk := await body.read():
        size += len(chunk)
        if size > length:
            raise BodyCutShortError("the body is longer than announced")
        chunks.append(chunk)
    if size < length:
        raise BodyCutShortError("the body is shorter than announced")
    return b"".join(chunks)


def has_no_body(request: Request, response: Response) -> bool:
    """Return whether the response has no body by HTTP's rules, whatever length it declares."""
    return request.method == "HEAD" or response.status in (204, 304)


def encode_request(
    exchange_id: int,
    request: Request,
    body: bytes | None,
    remaining: timedelta,
    response_window: int,
    assignment_revision: int,
) -> ForwardRequest:
    """Return the message for `request`; `body` is None when it follows in chunks."""
    return ForwardRequest(
        exchange_id=exchange_id,
        request_id=request.request_id,
        service=request.service,
        key=request.key,
        customer=request.customer,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=body or b"",
        body_complete=body is not None,
        body_length=request.body_length,
        deadline_ms=remaining // MILLISECOND,
        idempotent=request.idempotent,
        idempotency_key=request.idempotency_key,
        server=request.server,
        response_window=response_window,
        assignment_revision=assignment_revision,
    )


def decode_request(message: ForwardRequest, body: Body, deadline: Instant) -> Request:
    """Return the request that `message` carries."""
    return Request(
        request_id=message.request_id,
        service=message.service,
        key=message.key,
        customer=message.customer,
        method=message.method,
        target=message.target,
        headers=list(message.headers),
        body=body,
        body_length=message.body_length,
        deadline=deadline,
        idempotent=message.idempotent,
        idempotency_key=message.idempotency_key,
        server=message.server,
    )


def encode_failure(exchange_id: int, error: RequestError) -> ForwardFailure:
    """Return the message for `error`."""
    retry_after_ms = -1
    if error.retry_after is not None:
        retry_after_ms = error.retry_after // MILLISECOND
    return ForwardFailure(exchange_id, error.kind.value, error.detail, retry_after_ms)


def decode_failure(message: ForwardFailure) -> RequestError:
    """Return the error; a kind that this release doesn't know becomes an unknown outcome."""
    try:
        kind = ErrorKind(message.kind)
    except ValueError:
        kind = ErrorKind.OUTCOME_UNKNOWN
    retry_after = None
    if message.retry_after_ms >= 0:
        retry_after = message.retry_after_ms * MILLISECOND
    return RequestError(kind, message.detail, retry_after)
