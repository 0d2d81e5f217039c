"""What both sides of HTTP/1.1 share: head checks, header filtering, and system answers."""

import math
import re
from collections.abc import Iterable

import h11
import msgspec

from fireflylock.exceptions import ErrorKind, Outcome, RequestError
from fireflylock.exchange import BytesBody, Headers, Response

HEAD_END = b"\r\n\r\n"

# Bytes of one body that wait in this process before its sender is told to pause.
BODY_BUFFER_BYTES = 64 * 1024

# Headers that belong to one connection.  Content-Length is here because
# `body_length` carries it, and Expect because each connection settles it for itself.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

# Headers under this prefix are only ever written by the system itself.
SYSTEM_PREFIX = b"fireflylock-"

ERROR_HEADER = b"fireflylock-error"
OUTCOME_HEADER = b"fireflylock-outcome"
REFUSED_HEADER = b"fireflylock-refused"
DEADLINE_HEADER = b"fireflylock-deadline-ms"
REQUEST_ID_HEADER = b"x-request-id"
IDEMPOTENCY_HEADER = b"idempotency-key"

_BARE_LINE_END = re.compile(rb"(?<!\r)\n|\r(?!\n)")


def head_problem(head: bytes) -> str:
    """Return what is wrong with the raw bytes of a request's head, or "".

    h11 accepts bare line feeds and folded headers.  Others on the way may read them
    differently, which lets a request hide inside another one, so they are refused here.

    Parameters
    ----------
    head : bytes
        Everything up to and including the empty line.
    """
    if b"\0" in head:
        return "The head contains a NUL."
    lines = head.count(b"\r\n")
    if head.count(b"\n") != lines or head.count(b"\r") != lines:
        return "A line does not end with CR LF."
    if b"\r\n " in head or b"\r\n\t" in head:
        return "A header is folded over several lines."
    return ""


def partial_head_problem(head: bytes | bytearray) -> str:
    """Return what is already wrong with the start of a head, or ""."""
    if b"\0" in head:
        return "The head contains a NUL."
    # A CR at the very end may still be followed by its LF.
    if _BARE_LINE_END.search(head, 0, len(head) - 1 if head.endswith(b"\r") else len(head)):
        return "A line does not end with CR LF."
    return ""


def framing_problem(message: h11.Request | h11.Response) -> str:
    """Return why the end of a message's body is ambiguous, or ""."""
    has_length = False
    has_encoding = False
    for name, _ in message.headers:
        if name == b"content-length":
            has_length = True
            continue
        if name == b"transfer-encoding":
            has_encoding = True
    if has_length and has_encoding:
        return "Both Content-Length and Transfer-Encoding are given."
    if has_encoding and message.http_version != b"1.1":
        return "Transfer-Encoding needs HTTP/1.1."
    return ""


def body_length(message: h11.Request | h11.Response) -> int | None:
    """Return the Content-Length in bytes, or None when there is none."""
    for name, value in message.headers:
        if name == b"content-length":
            return int(value)
    return None


def is_chunked(message: h11.Request | h11.Response) -> bool:
    """Return whether the body comes in chunks."""
    return any(name == b"transfer-encoding" for name, _ in message.headers)


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that go on to the other side, names in lower case."""
    kept = []
    named = b""
    for name, value in headers:
        if name in CONNECTION_HEADERS:
            if name == b"connection":
                named += b"," + value.lower()
            continue
        if name.startswith(SYSTEM_PREFIX):
            continue
        kept.append((name, value))
    if not named or named in (b",keep-alive", b",close"):
        return kept
    dropped = {part.strip() for part in named.split(b",")}
    return [(name, value) for name, value in kept if name not in dropped]


def header(headers: Iterable[tuple[bytes, bytes]], wanted: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    for name, value in headers:
        if name == wanted:
            return value
    return None


def error_response(
    error: RequestError, request_id: str = "", outcome: Outcome | None = None
) -> Response:
    """Return the system's own answer to a request.

    Parameters
    ----------
    error : RequestError
        What went wrong.
    request_id : str
        Id of the request, when it is known.
    outcome : Outcome or None
        What is certain, when it differs from the table's entry for the kind.
    """
    answer = error.answer
    certain = (outcome or answer.outcome).value
    content = {
        "error": error.kind.value,
        "outcome": certain,
        "detail": error.detail or answer.text,
        "request_id": request_id,
    }
    headers = [
        (b"content-type", b"application/json"),
        (ERROR_HEADER, error.kind.value.encode()),
        (OUTCOME_HEADER, certain.encode()),
    ]
    if answer.retryable:
        headers.append((b"retry-after", b"%d" % retry_after_seconds(error)))
    data = msgspec.json.encode(content)
    return Response(answer.status, headers, BytesBody(data), len(data))


def retry_after_seconds(error: RequestError) -> int:
    """Return the whole seconds after which the caller should come back; at least 1."""
    if error.retry_after is None:
        return 1
    return max(1, math.ceil(error.retry_after.total_seconds()))


def bad_request(detail: str) -> RequestError:
    """Return the error for a request that is not valid HTTP."""
    return RequestError(ErrorKind.BAD_REQUEST, detail)
