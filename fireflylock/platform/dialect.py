"""Reads and writes the platform's headers of callers' requests and servers' answers."""

from dataclasses import replace
from datetime import timedelta

from fireflylock.direct.frontend import NOT_RUN_STATUSES, CallerDialect, parse_key
from fireflylock.direct.key_ranges import Owner
from fireflylock.direct.model import KEY_COUNT
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import Headers, Request, Response
from fireflylock.http1 import Framing, bad_request, header
from fireflylock.platform.wire import (
    COLD_TIME,
    EXPECTED_SERVER,
    INSTANCE,
    KEY,
    LEAVING,
    NOT_RUN,
    REQUEST_ID,
    RETRY_AFTER,
    SERVER_LIMIT,
    SERVER_LOAD,
    SIGNATURE,
    TIME_LEFT,
    parse_load,
    parse_milliseconds,
    parse_rate,
    parse_seconds,
)
from fireflylock.server_exchange import ServerDialect, ServerNotice

# Headers that are dropped from a caller's request and set anew for the server.
REPLACED_HEADERS = frozenset({TIME_LEFT, EXPECTED_SERVER})

OK = 200
# The server does not own the key, or is not the expected one; the request did not run.
MISDIRECTED = 421
# The server refused the request.
UNAVAILABLE = 503

# Longest part of an invalid header value that is kept for the log.
MAX_LOGGED_VALUE_BYTES = 64


class PlatformCallerDialect(CallerDialect):
    """Headers between callers, this process and the servers."""

    id_header = REQUEST_ID

    def time_left(self, headers: Headers) -> timedelta | None:
        """Return how long the caller still waits, or None if the header is missing."""
        value = header(headers, TIME_LEFT)
        if value is None:
            return None
        if not value.isdigit() or len(value) > 9:
            raise bad_request("The time left is not a number of milliseconds.")
        return timedelta(milliseconds=int(value))

    def key(self, headers: Headers) -> int | None:
        """Return the key of a request to a keyed service, or None without the header."""
        value = header(headers, KEY)
        return None if value is None else parse_key(value, KEY_COUNT)

    def forwarded_headers(self, headers: Headers) -> Headers:
        """Return the headers that are forwarded to a server unchanged."""
        return [pair for pair in headers if pair[0] not in REPLACED_HEADERS]

    def added_headers(self, request: Request, owner: Owner, left: timedelta) -> Headers:
        """Return the headers that are added to a request to a server."""
        milliseconds = max(1, left // timedelta(milliseconds=1))
        return [(TIME_LEFT, b"%d" % milliseconds), (EXPECTED_SERVER, owner.name.encode())]


class PlatformServerDialect(ServerDialect):
    """Headers and statuses in which servers report what became of a request."""

    names_requests = True

    def refusal(self, status: int, framing: Framing) -> RequestError | None:
        """Return the error for a request that the server states it did not run, or None."""
        if header(framing.headers, REQUEST_ID) is None:
            # The answer may be a late one to another request.
            return None
        if status == MISDIRECTED:
            return RequestError(ErrorKind.MOVED, "the server does not own the key")
        if header(framing.headers, NOT_RUN) is None:
            return None
        return RequestError(ErrorKind.SERVER_REFUSED, f"the server answered {status}")

    def belongs_to_other_request(self, request: Request, headers: Headers) -> bool:
        """Return whether an answer names another request than `request`."""
        named = header(headers, REQUEST_ID)
        return named is not None and named != request.request_id.encode("latin-1")

    def problem(self, request: Request, status: int, headers: Headers) -> str:
        """Return why an answer can't be accepted as the server's answer to the request, or ""."""
        if 200 <= status < 300 and header(headers, SIGNATURE) is None:
            return "a success without the server's signature"
        if header(headers, REQUEST_ID) is None:
            # It may belong to another request, whatever its status.
            return f"a status {status} that names no request"
        if (
            status in NOT_RUN_STATUSES
            and not request.idempotent
            and status != MISDIRECTED
            and header(headers, NOT_RUN) is None
        ):
            # Callers rely on the status.
            return f"a status {status} without the server's word that it did not run"
        if header(headers, b"content-encoding") is not None:
            return "an encoded body, which nobody asked for"
        return ""

    def names_limit(self, response: Response) -> bool:
        """Return whether a server's response names a request limit, valid or not.

        A misdirected request may have been answered by another process, which proves nothing.
        """
        return response.status == MISDIRECTED or header(response.headers, SERVER_LIMIT) is not None

    def notice(self, status: int, headers: Headers) -> ServerNotice | None:
        """Return what the head of an answer reports about the server itself, or None.

        A misdirected request may have been answered by another process at the same address.
        """
        if status == MISDIRECTED:
            return None
        leaving = header(headers, LEAVING) == b"1"
        value = header(headers, RETRY_AFTER) if status == UNAVAILABLE else None
        backoff = None if value is None else parse_seconds(value)
        limits = [value for name, value in headers if name == SERVER_LIMIT]
        stated = header(headers, SERVER_LOAD)
        load = None if stated is None else parse_load(stated)
        stated = header(headers, COLD_TIME)
        cold = None if stated is None else parse_milliseconds(stated)
        if not leaving and backoff is None and not limits and load is None and cold is None:
            return None
        # A repeated header is as ambiguous as one that can't be parsed.
        limit = parse_rate(limits[0]) if len(limits) == 1 else None
        invalid = None
        if limits and limit is None:
            invalid = b", ".join(limits)[:MAX_LOGGED_VALUE_BYTES]
        return ServerNotice(leaving, backoff, limit, invalid, load, cold)


class PlatformHealthDialect(PlatformServerDialect):
    """Answers to health checks, which name the server and no request.

    Parameters
    ----------
    server : str
        Registered name of the server that is asked.
    """

    names_requests = False

    def __init__(self, server: str) -> None:
        self.server = server.encode()

    def refusal(self, status: int, framing: Framing) -> RequestError | None:
        """Return None: every status is an answer."""
        return None

    def belongs_to_other_request(self, request: Request, headers: Headers) -> bool:
        """Return False: a connection that carries a health check carries nothing else."""
        return False

    def problem(self, request: Request, status: int, headers: Headers) -> str:
        """Return why an answer proves nothing about the server, or ""."""
        if header(headers, INSTANCE) != self.server:
            return "a health answer of another server"
        return ""

    def notice(self, status: int, headers: Headers) -> ServerNotice | None:
        """Return what the answer reports; a server that states no cold time is warm.

        A time that can't be parsed says neither.  Whether a server calls itself healthy is left
        to its answers to requests.
        """
        if header(headers, INSTANCE) != self.server or status not in (OK, UNAVAILABLE):
            return None
        stated = super().notice(OK, headers) or ServerNotice()
        if header(headers, COLD_TIME) is not None:
            return stated
        return replace(stated, cold=timedelta(0))
