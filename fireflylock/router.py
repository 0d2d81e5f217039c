"""The router: sends each request to the gate of the backend server that owns its key."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from datetime import timedelta

from fireflylock.assignment import NO_SERVER, Assignment
from fireflylock.clock import Clock
from fireflylock.exceptions import BodyCutShortError, ErrorKind, RequestError
from fireflylock.exchange import Handler, Request, Response, read_all
from fireflylock.model import Configuration, Service
from fireflylock.replayable_body import BufferedBody, ReadTrackingBody
from fireflylock.retry import RetryBudget, may_retry
from fireflylock.server_selection import ServerSelector

# How long a request waits for a move or takeover in progress before it is answered
# "not run".  A takeover should take less than a second.
MAX_TAKEOVER_WAIT = timedelta(seconds=1)
INITIAL_BACKOFF = timedelta(milliseconds=10)
MAX_BACKOFF = timedelta(milliseconds=100)
RETRY_AFTER = timedelta(seconds=1)
# Bodies of requests with an idempotency key are buffered up to this size for later attempts.
MAX_BUFFERED_BODY_BYTES = 64 * 1024

# Errors after which bytes may have reached the backend server.
SENT_KINDS = frozenset({ErrorKind.SERVER_REFUSED, ErrorKind.OUTCOME_UNKNOWN})

# Errors after which another attempt puts load on a backend server.  Waiting for a move or a
# takeover puts none on it and is not charged to the retry budget.
BUDGETED_KINDS = SENT_KINDS | {ErrorKind.SERVER_UNREACHABLE}


class RoutingView(ABC):
    """The router's view of configuration, assignments and members."""

    @abstractmethod
    def configuration(self) -> Configuration:
        """Return the configuration in force here."""

    @abstractmethod
    def assignment(self, service: str) -> Assignment | None:
        """Return the newest assignment of `service` seen here."""

    @abstractmethod
    def is_live(self, member: str) -> bool:
        """Return whether the entry VM `member` is considered reachable."""

    @abstractmethod
    def is_cut_off(self, member: str) -> bool:
        """Return whether the zone of the entry VM `member` is cut off from this one."""

    @abstractmethod
    async def wait_for_change(self, timeout: timedelta) -> None:
        """Return after the next change of configuration, assignment or members, or `timeout`."""


class ZoneCutOffError(RequestError):
    """The owner's zone is cut off, which usually lasts: the request fails without retries."""


class Router(Handler):
    """Sends each request to its gate, and retries it where that is safe.

    Parameters
    ----------
    me : str
        Name of this entry VM.
    zone : str
        Availability zone of this entry VM.
    view : RoutingView
        Configuration, assignments and members as known here.
    local : Handler
        The gates of this entry VM.
    remote : callable
        ``await remote(member, request)`` forwards to another entry VM.
    retries : callable
        Returns the `RetryBudget` of a service by name.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of the random choice between backend servers of services without keys.
    """

    def __init__(
        self,
        me: str,
        zone: str,
        view: RoutingView,
        local: Handler,
        remote: Callable[[str, Request], Awaitable[Response]],
        retries: Callable[[str], RetryBudget],
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        self.me = me
        self.zone = zone
        self.view = view
        self.local = local
        self.remote = remote
        self.retries = retries
        self.clock = clock
        self.rng = rng or random.Random()
        self.selectors: dict[str, ServerSelector] = {}

    async def handle(self, request: Request) -> Response:
        """Answer `request`; see `Handler.handle`."""
        body = await self.replayable_body(request)
        budget = self.retries(request.service)
        budget.on_request()
        start = self.clock.elapsed()
        give_up_at = min(start + MAX_TAKEOVER_WAIT, request.deadline)
        backoff = INITIAL_BACKOFF
        may_have_run = False
        while True:
            try:
                request.body = body.body_for_attempt()
                return await self.attempt(request)
            except RequestError as error:
                may_have_run = may_have_run or not error.not_run
                if isinstance(error, ZoneCutOffError):
                    raise self.final_error(error, may_have_run) from None
                if body.was_read or not self.should_retry(request, error, budget):
                    raise self.final_error(error, may_have_run) from None
                if self.clock.elapsed() + backoff >= give_up_at:
                    raise self.final_error(error, may_have_run) from None
            await self.view.wait_for_change(backoff)
            backoff = min(backoff * 2, MAX_BACKOFF)

    async def replayable_body(self, request: Request) -> "ReadTrackingBody | BufferedBody":
        """Return the body in a form that can be used for several attempts.

        A short body of a request with an idempotency key is buffered: it is part of the
        comparison of two such requests, and an attempt that certainly did not run can be retried.
        """
        length = request.body_length
        if not request.idempotency_key or length is None or length > MAX_BUFFERED_BODY_BYTES:
            return ReadTrackingBody(request.body)
        try:
            data = await read_all(request.body, MAX_BUFFERED_BODY_BYTES)
        except BodyCutShortError as error:
            raise RequestError(ErrorKind.BAD_REQUEST, str(error)) from None
        return BufferedBody(data or b"")

    def should_retry(self, request: Request, error: RequestError, budget: RetryBudget) -> bool:
        """Return whether `request` may be retried after `error`."""
        sent = error.kind in SENT_KINDS
        if not may_retry(request, error, sent, self.clock.elapsed()):
            return False
        return error.kind not in BUDGETED_KINDS or budget.try_spend()

    def final_error(self, error: RequestError, may_have_run: bool) -> RequestError:
        """Return the error to answer with after the last attempt ended with `error`.

        The last attempt may certainly not have run while an earlier one may have.
        """
        if may_have_run and error.not_run:
            return RequestError(ErrorKind.OUTCOME_UNKNOWN, f"at last: {error}")
        if error.retry_after is not None or not error.answer.retryable:
            return error
        return RequestError(error.kind, error.detail, RETRY_AFTER)

    async def attempt(self, request: Request) -> Response:
        """Send `request` to a gate once."""
        service = self.view.configuration().services.get(request.service)
        assignment = self.view.assignment(request.service)
        if service is None or assignment is None:
            raise RequestError(ErrorKind.NO_CONFIGURATION)
        if service.keyed:
            return await self.send(request, self.gate_of_owner(request, assignment))
        return await self.send_to_any(request, service, assignment)

    async def send(self, request: Request, member: str) -> Response:
        """Send `request` to the gate on `member` and return the response."""
        if member == self.me:
            return await self.local.handle(request)
        if not self.view.is_live(member):
            raise RequestError(ErrorKind.OWNER_UNREACHABLE, f"{member} does not answer")
        return await self.remote(member, request)

    def gate_of_owner(self, request: Request, assignment: Assignment) -> str:
        """Return the entry VM whose gate sends to the owner of the request's key.

        Raises
        ------
        RequestError
            No entry VM can be used now.
        """
        ownership = assignment.owner_of(request.key)
        if ownership is None or ownership.server == NO_SERVER:
            raise RequestError(ErrorKind.NO_OWNER)
        gate = assignment.gates.get(ownership.server)
        if gate is None or not gate.member:
            raise RequestError(ErrorKind.NO_OWNER, f"{ownership.server} has no gate")
        if self.view.is_cut_off(gate.member):
            raise ZoneCutOffError(ErrorKind.OWNER_UNREACHABLE, "the key's zone is cut off")
        if gate.standby and not self.view.is_live(gate.member):
            # The standby may have claimed the server during a platform outage, unrecorded.
            return gate.standby
        return gate.member

    async def send_to_any(
        self, request: Request, service: Service, assignment: Assignment
    ) -> Response:
        """Send `request` to a lightly loaded, healthy backend server, preferably a local one."""
        selector = self.selectors.get(service.name)
        if selector is None or selector.service != service:
            selector = self.selectors[service.name] = ServerSelector(service, self.zone, self.rng)
        selector.update_servers(self.view.configuration(), assignment)
        gates = assignment.gates
        reachable = [name for name, gate in gates.items() if self.is_reachable(gate.member)]
        request.server = selector.choose_server(self.clock.elapsed(), reachable)
        failure: RequestError | None = None
        try:
            return await self.send(request, gates[request.server].member)
        except RequestError as error:
            failure = error
            raise
        finally:
            selector.request_finished(self.clock.elapsed(), request.server, failure)

    def is_reachable(self, member: str) -> bool:
        """Return whether `member` is this entry VM or one that is live."""
        return member == self.me or self.view.is_live(member)


class Changes:
    """Wakes all tasks that wait for the next change."""

    def __init__(self) -> None:
        self.future: asyncio.Future[None] | None = None

    def notify(self) -> None:
        """Wake all waiting tasks."""
        if self.future is not None and not self.future.done():
            self.future.set_result(None)
        self.future = None

    async def wait(self, timeout: timedelta) -> None:
        """Return after the next `notify`, or after `timeout`."""
        if self.future is None:
            self.future = asyncio.get_running_loop().create_future()
        await asyncio.wait([self.future], timeout=timeout.total_seconds())
