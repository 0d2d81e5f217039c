"""HTTP/1.1 code shared by both sides: head checks, header filtering and error responses."""

import math
import re
from dataclasses import dataclass

import h11
import msgspec

from fireflylock.exceptions import ErrorKind, Outcome, RequestError
from fireflylock.exchange import BytesBody, Headers, Response

HEAD_END = b"\r\n\r\n"

# Statuses of final responses (RFC 9110, section 15); the parser accepts any three digits.
FINAL_STATUSES = range(200, 600)

# Buffered bytes of one body above which its sender is paused.
BODY_BUFFER_BYTES = 64 * 1024

# Hop-by-hop headers, which are not forwarded.  Content-Length is included because
# `body_length` carries it, and Expect because each connection handles it itself.
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

# Headers with this prefix are only ever written by the system itself.
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

    h11 accepts bare line feeds and folded headers.  Other HTTP implementations on the path may
    parse them differently, which allows request smuggling, so they are refused here.

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
    """Return what is already wrong with an incomplete head, or ""."""
    if b"\0" in head:
        return "The head contains a NUL."
    # A CR at the very end may still be followed by its LF.
    if _BARE_LINE_END.search(head, 0, len(head) - 1 if head.endswith(b"\r") else len(head)):
        return "A line does not end with CR LF."
    return ""


@dataclass(slots=True)
class Framing:
    """Information from a message's headers, collected in one pass.

    Attributes
    ----------
    headers : list of (bytes, bytes)
        The headers to forward, names in lower case.
    length : int or None
        Content-Length in bytes.
    chunked : bool
        Whether the body is chunked.
    deadline_ms : bytes
        The caller's ``Fireflylock-Deadline-Ms``, or empty.
    refused : bytes or None
        The reason of a server's typed refusal.
    keep_alive : bytes
        The ``Keep-Alive`` header, or empty.
    problem : str
        Why the end of the body is ambiguous, or "".
    """

    headers: Headers
    length: int | None = None
    chunked: bool = False
    deadline_ms: bytes = b""
    refused: bytes | None = None
    keep_alive: bytes = b""
    problem: str = ""


def read_framing(message: h11.Request | h11.Response) -> Framing:
    """Return the information in the headers of a parsed message."""
    forwarded = []
    framing = Framing(forwarded)
    connection_options = b""
    # Iterating over h11's headers is slow, so everything needed is read in one pass.
    for name, value in message.headers:
        if name not in CONNECTION_HEADERS:
            if not name.startswith(SYSTEM_PREFIX):
                forwarded.append((name, value))
            elif name == DEADLINE_HEADER:
                framing.deadline_ms = bytes(value)
            elif name == REFUSED_HEADER:
                framing.refused = bytes(value)
        elif name == b"content-length":
            framing.length = int(value)
        elif name == b"transfer-encoding":
            framing.chunked = True
        elif name == b"keep-alive":
            framing.keep_alive = bytes(value)
        elif name == b"connection":
            connection_options += b"," + value.lower()
    if connection_options not in (b"", b",keep-alive", b",close"):
        dropped = {part.strip() for part in connection_options.split(b",")}
        framing.headers = [pair for pair in forwarded if pair[0] not in dropped]
    if framing.chunked and framing.length is not None:
        framing.problem = "Both Content-Length and Transfer-Encoding are given."
    elif framing.chunked and message.http_version != b"1.1":
        framing.problem = "Transfer-Encoding needs HTTP/1.1."
    return framing


def header(headers: Headers, wanted: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    for name, value in headers:
        if name == wanted:
            return value
    return None


def error_response(
    error: RequestError, request_id: str = "", outcome: Outcome | None = None
) -> Response:
    """Return an error response of the system itself.

    Parameters
    ----------
    error : RequestError
        The error.
    request_id : str
        Id of the request, if known.
    outcome : Outcome or None
        What is certain about the outcome, if it differs from the default of the error kind.
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
    """Return after how many whole seconds, at least 1, the caller should retry."""
    if error.retry_after is None:
        return 1
    return max(1, math.ceil(error.retry_after.total_seconds()))


def bad_request(detail: str) -> RequestError:
    """Return the error for an invalid HTTP request."""
    return RequestError(ErrorKind.BAD_REQUEST, detail)
