"""The front end for callers whose requests go straight to backend servers."""

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

# Statuses by which callers take it for certain that a request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
BAD_GATEWAY = 502
UNAVAILABLE = 503
# Callers that stop reading, or sending, in the middle of a body are given this long.
BODY_TIMEOUT = timedelta(seconds=10)
# How long an idle connection is kept while stopping: callers learn from the answers, and
# from the platform's balancer, that they should go elsewhere.
STOP_IDLE = timedelta(seconds=3.5)


@dataclass
class RoutedRequest(Request):
    """A request together with its route.

    Attributes
    ----------
    route : Route
        Where it goes.
    key_number : int or None
        Its key, where it carries one.
    arrived : timedelta
        When its head was read.
    target_at : timedelta
        Instant of its latency target.
    """

    route: Route | None = None
    key_number: int | None = None
    arrived: Instant = field(default=timedelta(0))
    target_at: Instant = field(default=timedelta(0))


class CallerDialect(ABC):
    """How callers say what the system needs to know of their requests."""

    id_header: bytes

    @abstractmethod
    def time_left(self, headers: Headers) -> timedelta | None:
        """Return how long the caller will wait, or None where it does not say."""

    @abstractmethod
    def key(self, headers: Headers) -> int | None:
        """Return the key of a request to a keyed service, or None.

        Raises
        ------
        RequestError
            ``BAD_REQUEST``: it is not a key.
        """

    @abstractmethod
    def forwarded(self, headers: Headers) -> Headers:
        """Return the headers that go on to a server as they came."""

    @abstractmethod
    def added(self, request: Request, owner: Owner, left: timedelta) -> Headers:
        """Return the headers that the system sets on the way to a server."""


class DirectFrontend(Frontend):
    """Accepts callers' connections and finds the routes of their requests.

    Parameters
    ----------
    handler : Handler
        Answers the requests.
    routes : callable
        Returns the matcher in force, or None before the first configuration.
    clock : Clock
        Source of time.
    dialect : CallerDialect
        How callers speak.
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

    def take_limits(self, limits: CallerLimits, connections: int) -> None:
        """Bound callers by the operator's limits from now on."""
        self.limits = FrontendLimits(
            header_bytes=limits.header_bytes,
            max_body=limits.body_bytes,
            max_connections=connections,
            headers_timeout=limits.head_timeout,
            body_timeout=BODY_TIMEOUT,
            keepalive_timeout=limits.idle_timeout,
            drain_idle=STOP_IDLE,
        )

    def request_id(self, head: RequestHead) -> str:
        """Return the caller's id of this try, or a new one where it gives none."""
        given = header(head.headers, self.dialect.id_header)
        return given.decode("latin-1") if given else uuid.uuid4().hex

    def request(self, head: RequestHead, request_id: str, body: CallerBody) -> RoutedRequest:
        """Return the request that a parsed head stands for, with its route.

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
            headers=self.dialect.forwarded(head.headers),
            body=body,
            body_length=head.length,
            deadline=now + min(left, route.timeout),
            idempotent=route.repeat is Repeat.IDEMPOTENT,
            route=route,
            key_number=self.dialect.key(head.headers),
            arrived=now,
            target_at=now + route.target,
        )

    def error_answer(
        self, error: RequestError, request_id: str = "", outcome: Outcome | None = None
    ) -> Response:
        """Return the system's own answer; its status never promises too much."""
        certain = outcome or error.answer.outcome
        status = error.answer.status
        if certain is Outcome.UNKNOWN and status in NOT_RUN_STATUSES:
            status = BAD_GATEWAY
        elif certain is Outcome.NOT_RUN and status >= 500:
            status = UNAVAILABLE
        data = error.kind.value.encode()
        headers = [(b"content-type", b"text/plain")]
        if status in NOT_RUN_STATUSES and error.retry_after is not None:
            headers.append((b"retry-after", b"%.3f" % error.retry_after.total_seconds()))
        return Response(status, headers, BytesBody(data), len(data))


def parse_key(value: bytes, keys: int) -> int:
    """Return a key that is written as a whole number below `keys`.

    Raises
    ------
    RequestError
        ``BAD_REQUEST``: it is something else.
    """
    if not value.isdigit() or len(value) > 9 or int(value) >= keys:
        raise bad_request("The key is not a whole number in range.")
    return int(value)
