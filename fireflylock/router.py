"""The router: takes each request to the gate of the backend server that owns its key."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from datetime import timedelta

from fireflylock.assignment import NO_SERVER, Assignment
from fireflylock.clock import Clock
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import Body, Handler, Request, Response
from fireflylock.model import Configuration, Service
from fireflylock.retry import RetryBudget, may_retry

# How long a request waits for a move or a takeover that is under way, before it is
# answered "not run".  A takeover is meant to take less than a second.
TAKEOVER_PATIENCE = timedelta(seconds=1)
FIRST_PAUSE = timedelta(milliseconds=10)
LONGEST_PAUSE = timedelta(milliseconds=100)
RETRY_AFTER = timedelta(seconds=1)

# Errors after which bytes may have reached the backend server.
SENT_KINDS = frozenset({ErrorKind.SERVER_REFUSED, ErrorKind.OUTCOME_UNKNOWN})

# Errors after which another attempt costs a backend server something.  Waiting for a move
# or a takeover costs it nothing and is not counted against the budget.
BUDGETED_KINDS = SENT_KINDS | {ErrorKind.SERVER_UNREACHABLE}


class RoutingView(ABC):
    """What the router knows of the world."""

    @abstractmethod
    def configuration(self) -> Configuration:
        """Return the configuration in force here."""

    @abstractmethod
    def assignment(self, service: str) -> Assignment | None:
        """Return the newest assignment of `service` seen here."""

    @abstractmethod
    def is_live(self, member: str) -> bool:
        """Return whether the entry VM `member` is believed to be reachable."""

    @abstractmethod
    def is_cut_off(self, member: str) -> bool:
        """Return whether the zone of the entry VM `member` is cut off from this one."""

    @abstractmethod
    async def wait_for_change(self, timeout: timedelta) -> None:
        """Return after the next change of configuration, assignment or members, or `timeout`."""


class ZoneCutOffError(RequestError):
    """The owner's zone is cut off, which rarely ends soon: the request is refused at once."""


class WatchedBody(Body):
    """A request body that remembers whether anything was read from it.

    Parameters
    ----------
    body : Body
        The caller's body.
    """

    def __init__(self, body: Body) -> None:
        self.body = body
        self.touched = False

    async def read(self) -> bytes:
        """Return the next chunk."""
        self.touched = True
        return await self.body.read()

    def take_ready(self) -> bytes:
        """Return what has come in so far."""
        data = self.body.take_ready()
        self.touched = self.touched or bool(data)
        return data

    def at_end(self) -> bool:
        """Return whether the last byte was taken."""
        return self.body.at_end()

    async def close(self) -> None:
        """Release the caller's body."""
        await self.body.close()


class Destination:
    """Where one attempt goes.

    Attributes
    ----------
    member : str
        The entry VM that is the gate.
    server : str
        The backend server.
    """

    def __init__(self, member: str, server: str) -> None:
        self.member = member
        self.server = server


class Router(Handler):
    """Finds the gate for each request and tries again while it certainly did not run.

    Parameters
    ----------
    me : str
        Name of this entry VM.
    zone : str
        Availability zone of this entry VM.
    view : RoutingView
        Assignments and members as known here.
    local : Handler
        The gates of this entry VM.
    remote : callable
        ``await remote(member, request)`` forwards to another entry VM.
    retries : callable
        Returns the `RetryBudget` of a service by name.
    clock : Clock
        Time.
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
        self.outstanding: dict[str, int] = {}

    async def handle(self, request: Request) -> Response:
        """Answer `request`; see `Handler.handle`."""
        body = WatchedBody(request.body)
        request.body = body
        budget = self.retries(request.service)
        budget.on_request()
        start = self.clock.elapsed()
        give_up_at = min(start + TAKEOVER_PATIENCE, request.deadline)
        pause = FIRST_PAUSE
        while True:
            try:
                return await self.attempt(request)
            except RequestError as error:
                if isinstance(error, ZoneCutOffError):
                    raise self.final(error) from None
                if body.touched or not self.may_try_again(request, error, budget):
                    raise self.final(error) from None
                if self.clock.elapsed() + pause >= give_up_at:
                    raise self.final(error) from None
            await self.view.wait_for_change(pause)
            pause = min(pause * 2, LONGEST_PAUSE)

    def may_try_again(self, request: Request, error: RequestError, budget: RetryBudget) -> bool:
        """Return whether `request` may be tried once more after `error`."""
        sent = error.kind in SENT_KINDS
        if not may_retry(request, error, sent, self.clock.elapsed()):
            return False
        return error.kind not in BUDGETED_KINDS or budget.try_spend()

    def final(self, error: RequestError) -> RequestError:
        """Return `error` with a time to come back."""
        if error.retry_after is not None or not error.answer.retryable:
            return error
        return RequestError(error.kind, error.detail, RETRY_AFTER)

    async def attempt(self, request: Request) -> Response:
        """Send `request` to the gate once."""
        destination = self.destination(request)
        self.outstanding[destination.server] = self.outstanding.get(destination.server, 0) + 1
        try:
            if destination.member == self.me:
                return await self.local.handle(request)
            if not self.view.is_live(destination.member):
                raise RequestError(
                    ErrorKind.OWNER_UNREACHABLE, f"{destination.member} does not answer"
                )
            return await self.remote(destination.member, request)
        finally:
            self.outstanding[destination.server] -= 1

    def destination(self, request: Request) -> Destination:
        """Return the gate and the backend server for `request`.

        Raises
        ------
        RequestError
            Nobody can be asked now.
        """
        service = self.view.configuration().services.get(request.service)
        assignment = self.view.assignment(request.service)
        if service is None or assignment is None:
            raise RequestError(ErrorKind.NO_CONFIGURATION)
        if service.keyed:
            return self.owner(request, assignment)
        return self.less_loaded(service, assignment)

    def owner(self, request: Request, assignment: Assignment) -> Destination:
        """Return the gate of the one owner of the request's key."""
        ownership = assignment.owner_of(request.key)
        if ownership is None or ownership.server == NO_SERVER:
            raise RequestError(ErrorKind.NO_OWNER)
        gate = assignment.gates.get(ownership.server)
        if gate is None or not gate.member:
            raise RequestError(ErrorKind.NO_OWNER, f"{ownership.server} has no gate")
        if self.view.is_cut_off(gate.member):
            raise ZoneCutOffError(ErrorKind.OWNER_UNREACHABLE, "the key's zone is cut off")
        if gate.standby and not self.view.is_live(gate.member):
            # The standby may have claimed the server while nothing can be recorded.
            return Destination(gate.standby, ownership.server)
        return Destination(gate.member, ownership.server)

    def less_loaded(self, service: Service, assignment: Assignment) -> Destination:
        """Return the less busy of two backend servers picked at random, near ones first."""
        servers = self.view.configuration().servers
        reachable = []
        for name, gate in assignment.gates.items():
            if name not in servers or servers[name].state.value != "in":
                continue
            if gate.member == self.me or self.view.is_live(gate.member):
                reachable.append(Destination(gate.member, name))
        if not reachable:
            raise RequestError(ErrorKind.NO_OWNER, f"no backend server of {service.name}")
        near = [found for found in reachable if servers[found.server].zone == self.zone]
        candidates = near or reachable
        pair = self.rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda found: self.outstanding.get(found.server, 0))


class Changes:
    """Wakes everyone who waits for the next change."""

    def __init__(self) -> None:
        self.future: asyncio.Future[None] | None = None

    def notify(self) -> None:
        """Wake all who wait."""
        if self.future is not None and not self.future.done():
            self.future.set_result(None)
        self.future = None

    async def wait(self, timeout: timedelta) -> None:
        """Return after the next `notify`, or after `timeout`."""
        if self.future is None:
            self.future = asyncio.get_running_loop().create_future()
        await asyncio.wait([self.future], timeout=timeout.total_seconds())
