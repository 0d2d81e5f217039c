"""Frontend for callers whose requests go directly to backend servers."""

import uuid
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from fireflylock.caller import CallerBody
from fireflylock.clock import Clock, Instant
from fireflylock.direct.key_ranges import Owner
from fireflylock.direct.model import CallerLimits, Repeat, Route
from fireflylock.direct.routes import RouteMatcher
from fireflylock.exceptions import ErrorKind, Outcome, RequestError
from fireflylock.exchange import BytesBody, Handler, Headers, Request, Response
from fireflylock.frontend import Frontend, FrontendLimits
from fireflylock.http1 import bad_request, header
from fireflylock.request_parser import RequestHead

# Statuses that tell callers for certain that a request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
BAD_GATEWAY = 502
UNAVAILABLE = 503
# Timeout for callers that stop reading or sending in the middle of a body.
BODY_TIMEOUT = timedelta(seconds=10)
# How long idle connections are kept while draining: callers learn from the responses, and from
# the platform's load balancer, to use another VM.
DRAIN_IDLE_TIMEOUT = timedelta(seconds=3.5)


@dataclass
class RoutedRequest(Request):
    """A request with its route.

    Attributes
    ----------
    route : Route
        Route of the request.
    key_number : int or None
        Key of the request, if it has one.
    arrived_at : timedelta
        When its head was received.
    target_at : timedelta
        Instant of its latency target.
    caller : str
        IP address of the caller; "" if it is not known.
    over_share : bool
        Whether the caller sends far more than others while room is short.
    """

    route: Route | None = None
    key_number: int | None = None
    arrived_at: Instant = field(default=timedelta(0))
    target_at: Instant = field(default=timedelta(0))
    caller: str = ""
    over_share: bool = False


class CallerDialect(ABC):
    """Decodes what callers' headers say about requests, and encodes headers for servers."""

    id_header: bytes

    @abstractmethod
    def time_left(self, headers: Headers) -> timedelta | None:
        """Return how long the caller will wait, or None if it does not say."""

    @abstractmethod
    def key(self, headers: Headers) -> int | None:
        """Return the key of a request to a keyed service, or None.

        Raises
        ------
        RequestError
            ``BAD_REQUEST``: the key is not valid.
        """

    @abstractmethod
    def forwarded_headers(self, headers: Headers) -> Headers:
        """Return the headers that are forwarded unchanged to a server."""

    @abstractmethod
    def added_headers(self, request: Request, owner: Owner, left: timedelta) -> Headers:
        """Return the headers that the router adds to a request to a server."""


class DirectFrontend(Frontend):
    """Accepts callers' connections and finds the routes of their requests.

    Parameters
    ----------
    handler : Handler
        Answers the requests.
    routes : callable
        Returns the route matcher, or None before the first configuration.
    clock : Clock
        Source of time.
    dialect : CallerDialect
        Protocol of the callers.
    **options
        As for `Frontend`.
    """

    def __init__(
        self,
        handler: Handler,
        routes: Callable[[], RouteMatcher | None],
        clock: Clock,
        dialect: CallerDialect,
        **options,
    ) -> None:
        super().__init__(handler, lambda: None, clock, **options)
        self.routes = routes
        self.dialect = dialect
        self.request_id_header = dialect.id_header

    def apply_limits(self, limits: CallerLimits, connections: int) -> None:
        """Apply the operator's limits for callers."""
        self.limits = FrontendLimits(
            header_bytes=limits.header_bytes,
            max_body=limits.body_bytes,
            max_connections=connections,
            headers_timeout=limits.head_timeout,
            body_timeout=BODY_TIMEOUT,
            keepalive_timeout=limits.idle_timeout,
            drain_idle=DRAIN_IDLE_TIMEOUT,
        )

    def request_id(self, head: RequestHead) -> str:
        """Return the caller's id of this attempt, or a new one if it gives none."""
        given = header(head.headers, self.dialect.id_header)
        return given.decode("latin-1") if given else uuid.uuid4().hex

    def request(self, head: RequestHead, request_id: str, body: CallerBody) -> RoutedRequest:
        """Return the request for a parsed head, with its route.

        Raises
        ------
        RequestError
            No configuration is known, no route matches, or a header is not valid.
        """
        self.counters.requests += 1
        matcher = self.routes()
        if matcher is None:
            raise RequestError(ErrorKind.NO_CONFIGURATION, "", timedelta(seconds=1))
        now = self.clock.elapsed()
        host = (header(head.headers, b"host") or b"").decode("latin-1").lower()
        path = head.target.partition(b"?")[0].decode("latin-1")
        route = matcher.match(host.partition(":")[0], path)
        left = self.dialect.time_left(head.headers)
        if left is None:
            left = route.timeout
        if left <= timedelta(0):
            raise RequestError(ErrorKind.DEADLINE_TOO_SHORT, "no time is left")
        return RoutedRequest(
            request_id=request_id,
            service="",
            key="",
            customer="",
            method=head.method.decode("latin-1"),
            target=head.target,
            headers=self.dialect.forwarded_headers(head.headers),
            body=body,
            body_length=head.length,
            deadline=now + min(left, route.timeout),
            idempotent=route.repeat is Repeat.IDEMPOTENT,
            route=route,
            key_number=self.dialect.key(head.headers),
            arrived_at=now,
            target_at=now + route.target,
            caller=body.connection.peer_address(),
        )

    def make_error_response(
        self, error: RequestError, request_id: str = "", outcome: Outcome | None = None
    ) -> Response:
        """Return the router's own response; its status never promises too much."""
        reported = outcome or error.answer.outcome
        status = error.answer.status
        if reported is Outcome.UNKNOWN and status in NOT_RUN_STATUSES:
            status = BAD_GATEWAY
        elif reported is Outcome.NOT_RUN and status >= 500:
            status = UNAVAILABLE
        data = error.kind.value.encode()
        headers = [(b"content-type", b"text/plain")]
        if status in NOT_RUN_STATUSES and error.retry_after is not None:
            headers.append((b"retry-after", b"%.3f" % error.retry_after.total_seconds()))
        return Response(status, headers, BytesBody(data), len(data))


def parse_key(value: bytes, keys: int) -> int:
    """Return a key given as a decimal number below `keys`.

    Raises
    ------
    RequestError
        ``BAD_REQUEST``: the value is not such a number.
    """
    if not value.isdigit() or len(value) > 9 or int(value) >= keys:
        raise bad_request("The key is not a whole number in range.")
    return int(value)
