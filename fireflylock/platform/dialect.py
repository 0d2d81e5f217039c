"""The headers of callers' requests and of servers' answers."""

from datetime import timedelta

from fireflylock.direct.edge import NOT_RUN_STATUSES, CallerDialect, parse_key
from fireflylock.direct.keyranges import Owner
from fireflylock.direct.model import KEY_COUNT
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import Headers, Request
from fireflylock.http1 import Framing, bad_request, header
from fireflylock.platform.wire import (
    EXPECTED_SERVER,
    KEY,
    LEAVING,
    NOT_RUN,
    REQUEST_ID,
    RETRY_AFTER,
    SIGNATURE,
    TIME_LEFT,
    seconds,
)
from fireflylock.server_exchange import ServerDialect, ServerNotice

# Headers that this system writes itself on the way to a server.
OWN_HEADERS = frozenset({TIME_LEFT, EXPECTED_SERVER})

# The server does not own the key, or is another one than expected; it ran nothing.
MISDIRECTED = 421
# The server turned the request away.
UNAVAILABLE = 503


class PlatformCallers(CallerDialect):
    """What callers say of their requests."""

    id_header = REQUEST_ID

    def time_left(self, headers: Headers) -> timedelta | None:
        """Return how long the caller will wait, or None where it does not say."""
        value = header(headers, TIME_LEFT)
        if value is None:
            return None
        if not value.isdigit() or len(value) > 9:
            raise bad_request("The time left is not a number of milliseconds.")
        return timedelta(milliseconds=int(value))

    def key(self, headers: Headers) -> int | None:
        """Return the key of a request to a keyed service, or None."""
        value = header(headers, KEY)
        return None if value is None else parse_key(value, KEY_COUNT)

    def forwarded(self, headers: Headers) -> Headers:
        """Return the headers that go on to a server as they came."""
        return [pair for pair in headers if pair[0] not in OWN_HEADERS]

    def added(self, request: Request, owner: Owner, left: timedelta) -> Headers:
        """Return the headers that the system sets on the way to a server."""
        milliseconds = max(1, left // timedelta(milliseconds=1))
        return [(TIME_LEFT, b"%d" % milliseconds), (EXPECTED_SERVER, owner.name.encode())]


class PlatformServers(ServerDialect):
    """What servers say became of a request."""

    def refusal(self, status: int, framing: Framing) -> RequestError | None:
        """Return the server's statement that it did not run the request, if it is one."""
        if header(framing.headers, REQUEST_ID) is None:
            # It may be the late answer to another request.
            return None
        if status == MISDIRECTED:
            return RequestError(ErrorKind.MOVED, "the server does not own the key")
        if header(framing.headers, NOT_RUN) is None:
            return None
        return RequestError(ErrorKind.SERVER_REFUSED, f"the server answered {status}")

    def is_foreign(self, request: Request, headers: Headers) -> bool:
        """Return whether an answer certainly belongs to another request."""
        named = header(headers, REQUEST_ID)
        return named is not None and named != request.request_id.encode("latin-1")

    def problem(self, request: Request, status: int, headers: Headers) -> str:
        """Return why an answer can't be the server's answer to the request, or ""."""
        if 200 <= status < 300 and header(headers, SIGNATURE) is None:
            return "a success without the server's signature"
        if 200 <= status < 300 and header(headers, REQUEST_ID) is None:
            return "a success that names no request"
        if status in NOT_RUN_STATUSES and not request.idempotent:
            # Callers would take the status for certain, and it may be about another request.
            if header(headers, REQUEST_ID) is None:
                return f"a status {status} that names no request"
            if status != MISDIRECTED and header(headers, NOT_RUN) is None:
                return f"a status {status} without the server's word that it did not run"
        if header(headers, b"content-encoding") is not None:
            return "an encoded body, which nobody asked for"
        return ""

    def notice(self, status: int, headers: Headers) -> ServerNotice | None:
        """Return what the head of an answer says of the server itself, if anything.

        A misdirected request may have been answered by another process at the same address.
        """
        if status == MISDIRECTED:
            return None
        leaving = header(headers, LEAVING) == b"1"
        value = header(headers, RETRY_AFTER) if status == UNAVAILABLE else None
        backoff = None if value is None else seconds(value)
        if not leaving and backoff is None:
            return None
        return ServerNotice(leaving, backoff)
