"""Parses requests from a caller's bytes; rejects everything that is ambiguous."""

from dataclasses import dataclass

import h11

from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import Headers
from fireflylock.http1 import (
    HEAD_END,
    Framing,
    bad_request,
    head_problem,
    header,
    partial_head_problem,
    read_framing,
)


@dataclass(slots=True)
class RequestHead:
    """The parsed head of one request.

    Attributes
    ----------
    method, target, version : bytes
        The request line.
    headers : list of (bytes, bytes)
        Headers that are passed on to the handler.
    length : int or None
        Length of the body in bytes; None when chunked.
    deadline_ms : bytes
        The caller's ``Fireflylock-Deadline-Ms``, or empty.
    """

    method: bytes
    target: bytes
    headers: Headers
    length: int | None
    deadline_ms: bytes


class RequestParser:
    """Parses the requests of one connection, without doing any I/O.

    Each request gets its own h11 connection, which receives no byte of the next request's
    head, so that every head passes the checks that h11 does not make.

    Parameters
    ----------
    header_bytes : int
        Maximum size of a head, and of a chunk header or the trailers, in bytes.
    max_body : int or None
        Maximum size of a body, in bytes.
    """

    def __init__(self, header_bytes: int, max_body: int | None = None) -> None:
        self.header_bytes = header_bytes
        self.max_body = max_body
        self.pending = bytearray()
        self.http = h11.Connection(h11.SERVER, header_bytes)
        self.in_body = False
        self.chunked = False
        self.body_bytes = 0
        # The last bytes that were passed to h11, needed to check how a chunked body ended.
        self.tail = b""
        self.had_trailers = False
        self.skipped_empty_line = False

    def receive(self, data: bytes) -> None:
        """Add bytes received from the caller."""
        self.pending += data

    def next_head(self) -> RequestHead | None:
        """Return the next request's head, or None if it is incomplete.

        Raises
        ------
        RequestError
            ``BAD_REQUEST``, ``HEADERS_TOO_LARGE`` or ``BODY_TOO_LARGE``; the connection
            can't be used any more.
        """
        self.skip_empty_line()
        end = self.pending.find(HEAD_END)
        if end < 0:
            self.check_partial_head()
            return None
        end += len(HEAD_END)
        if end > self.header_bytes:
            raise RequestError(ErrorKind.HEADERS_TOO_LARGE)
        head = bytes(self.pending[:end])
        del self.pending[:end]
        refuse_if(head_problem(head))
        return self.parse_head(head)

    def skip_empty_line(self) -> None:
        """Skip an empty line before a request, which RFC 9112 says to ignore; refuse more."""
        while self.pending.startswith(b"\r\n"):
            if self.skipped_empty_line:
                raise bad_request("Empty lines stand before the request.")
            self.skipped_empty_line = True
            del self.pending[:2]

    def check_partial_head(self) -> None:
        """Refuse an incomplete head as soon as it can't become valid any more."""
        if len(self.pending) > self.header_bytes:
            raise RequestError(ErrorKind.HEADERS_TOO_LARGE)
        refuse_if(partial_head_problem(self.pending))

    def parse_head(self, head: bytes) -> RequestHead:
        """Return the request that `head` describes."""
        self.http = h11.Connection(h11.SERVER, self.header_bytes)
        try:
            self.http.receive_data(head)
            request = self.http.next_event()
        except h11.RemoteProtocolError as error:
            raise bad_request(reason_of(error)) from None
        refuse_if(request_problem(request))
        framing = read_framing(request)
        refuse_if(framing.problem)
        if self.max_body is not None and (framing.length or 0) > self.max_body:
            raise RequestError(ErrorKind.BODY_TOO_LARGE)
        self.in_body = True
        self.skipped_empty_line = False
        self.chunked = framing.chunked
        self.body_bytes = 0
        self.tail = b""
        self.had_trailers = False
        return request_head(request, framing)

    def read_body(self) -> list[bytes]:
        """Return the received body bytes; `in_body` becomes False at the end.

        Raises
        ------
        RequestError
            The body is invalid; the connection can't be used any more.
        """
        data = bytes(self.pending)
        self.pending.clear()
        chunks = []
        # h11 checks the length of a chunk header only while it is incomplete, so it never
        # receives more bytes at a time than a header may have.
        for start in range(0, max(1, len(data)), self.header_bytes):
            part = data[start : start + self.header_bytes]
            event = self.read_part(part, chunks)
            if self.max_body is not None and self.body_bytes > self.max_body:
                raise RequestError(ErrorKind.BODY_TOO_LARGE)
            if type(event) is h11.EndOfMessage:
                self.end_body(event, part)
                self.pending += data[start + len(part) :]
                break
            if self.chunked:
                self.tail = (self.tail + part)[-len(HEAD_END) :]
        return chunks

    def read_part(self, part: bytes, chunks: list[bytes]) -> h11.Event:
        """Append the body bytes in `part` to `chunks`; return the event that follows."""
        try:
            if part:
                self.http.receive_data(part)
            while type(event := self.http.next_event()) is h11.Data:
                chunks.append(bytes(event.data))
                self.body_bytes += len(event.data)
        except h11.RemoteProtocolError as error:
            raise bad_request(reason_of(error)) from None
        return event

    def end_body(self, event: h11.EndOfMessage, data: bytes) -> None:
        """Keep the bytes after the body for the next request."""
        rest = self.http.trailing_data[0]
        if self.chunked:
            # The line ends within trailers are not checked, so the connection must not be
            # used for another request after them.
            self.had_trailers = bool(event.headers)
            body_end = (self.tail + data)[: len(self.tail) + len(data) - len(rest)]
            if not body_end.endswith(HEAD_END):
                raise bad_request("The last chunk does not end with CR LF.")
        self.pending += rest
        self.in_body = False

    @property
    def awaits_continue(self) -> bool:
        """Whether the caller waits for 100 Continue before it sends the body."""
        return self.http.they_are_waiting_for_100_continue


def request_problem(event: h11.Event) -> str:
    """Return why a parsed head is not accepted, or ""."""
    if not isinstance(event, h11.Request):
        return "This is not a request."
    if event.http_version not in (b"1.0", b"1.1"):
        return "Only HTTP/1.0 and HTTP/1.1 are spoken."
    if event.method == b"CONNECT":
        return "CONNECT is not offered."
    return ""


def request_head(request: h11.Request, framing: Framing) -> RequestHead:
    """Return the head in the form that the front end uses."""
    return RequestHead(
        method=bytes(request.method),
        target=origin_form(bytes(request.target), framing.headers),
        headers=framing.headers,
        length=None if framing.chunked else framing.length or 0,
        deadline_ms=framing.deadline_ms,
    )


def origin_form(target: bytes, headers: Headers) -> bytes:
    """Return the target as a path; the host in a full URL must match the Host header."""
    if target.startswith(b"/") or target == b"*":
        return target
    scheme, separator, rest = target.partition(b"://")
    if not separator or scheme.lower() not in (b"http", b"https"):
        raise bad_request("The request target is not a path.")
    authority, slash, path = rest.partition(b"/")
    if authority.lower() != (header(headers, b"host") or authority).lower():
        raise bad_request("The request target and Host name different hosts.")
    return slash + path if slash else b"/"


def refuse_if(problem: str) -> None:
    """Raise ``BAD_REQUEST`` if there is a problem."""
    if problem:
        raise bad_request(problem)


def reason_of(error: h11.RemoteProtocolError) -> str:
    """Return h11's reason without the caller's bytes, which it quotes after a colon."""
    return str(error).partition(":")[0]
