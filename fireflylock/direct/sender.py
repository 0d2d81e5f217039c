"""Answers a caller's request by sending it to the server that may run it."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import structlog

from fireflylock.backend import ServerPool
from fireflylock.clock import Clock
from fireflylock.direct.admission import Admission, Ticket
from fireflylock.direct.budget import SharedRetryBudget
from fireflylock.direct.edge import CallerDialect, RoutedRequest
from fireflylock.direct.keyranges import Owner
from fireflylock.direct.line_budget import LineBudget
from fireflylock.direct.model import Bounds, RouteTable, ServiceSpec
from fireflylock.direct.routes import SplitCounter
from fireflylock.direct.servers import Server, ServerTable
from fireflylock.direct.stopping import StopPlan
from fireflylock.exceptions import BodyCutShortError, ErrorKind, RequestError
from fireflylock.exchange import Handler, Response
from fireflylock.finishing_body import FinishingBody
from fireflylock.model import BackendServer
from fireflylock.replayable_body import KeptBody, WatchedBody, read_ahead
from fireflylock.server_exchange import ServerDialect, ServerNotice

# Request bodies up to this many bytes are kept for another attempt.
KEPT_BODY_BYTES = 64 * 1024
# Answers up to this many bytes are read whole before they are passed on, so that one that is
# cut short can still be asked for again.
WHOLE_ANSWER_BYTES = 256 * 1024
# A server acknowledges bytes within this, unless it is gone or cut off.
SILENCE = timedelta(milliseconds=900)
CONNECT_TIMEOUT = timedelta(milliseconds=350)
# Unused connections to a server are kept this long where it does not say.
IDLE_TIMEOUT = timedelta(seconds=8)
# Sendings of one request at most, whatever its route allows.
MOST_SENDINGS = 3
# Pause before a request goes again to the only server that may run it.
SAME_SERVER_PAUSE = timedelta(milliseconds=15)
# Pause after a server said that it does not own the key: the map here is about to change.
MOVED_PAUSE = timedelta(milliseconds=60)
# When to come back after a refusal that will soon be over.
SOON = timedelta(milliseconds=50)
# Least connections to one server that this VM may have, however many VMs there are.
FEWEST_CONNECTIONS = 3

SERVER_ERROR = 500

# Lines a second about requests that were answered, and about those that failed.
ANSWERED_LINES = 10.0
FAILED_LINES = 40.0

# Failures before any byte of a request was handed to a server.
UNSENT_KINDS = (ErrorKind.SERVER_UNREACHABLE, ErrorKind.DEADLINE_TOO_SHORT)

log = structlog.get_logger()


class Sender(Handler):
    """Sends requests to servers, and again where that is allowed.

    Parameters
    ----------
    admission : Admission
        Says when and where a request starts.
    table : ServerTable
        The servers.
    clock : Clock
        Source of time.
    callers, servers : CallerDialect, ServerDialect
        How the two sides speak.
    bounds : Bounds
        The deployment's bounds.
    vms : callable
        Returns the number of entry VMs.
    """

    def __init__(
        self,
        admission: Admission,
        table: ServerTable,
        clock: Clock,
        callers: CallerDialect,
        servers: ServerDialect,
        bounds: Bounds,
        vms: Callable[[], int],
    ) -> None:
        self.admission = admission
        self.table = table
        self.clock = clock
        self.callers = callers
        self.servers = servers
        self.bounds = bounds
        self.vms = vms
        self.routes: RouteTable | None = None
        # Called with a server whose answer says that it shuts down.
        self.on_leaving: Callable[[Owner], None] = lambda owner: None
        # Set while the process stops.
        self.stop: StopPlan | None = None
        self.splits = SplitCounter()
        self.budgets: dict[str, SharedRetryBudget] = {}
        self.pools: dict[Owner, ServerPool] = {}
        # Seconds of work asked for, by service and key, since it was last taken.
        self.key_work: dict[str, dict[int, float]] = {}
        self.answered_lines = LineBudget(ANSWERED_LINES, ANSWERED_LINES)
        self.failed_lines = LineBudget(FAILED_LINES, FAILED_LINES)

    async def handle(self, request: RoutedRequest) -> Response:
        """Answer `request`.

        Raises
        ------
        RequestError
            No server has answered it.
        """
        spec = self.choose_service(request)
        if self.stop is not None and self.clock.elapsed() >= self.stop.accepts_until:
            error = RequestError(ErrorKind.STOPPING, "too late to be finished here", SOON)
            raise self.final(request, error, may_have_run=False)
        budget = self.budget(spec.name)
        budget.count_request(self.clock.elapsed())
        if spec.keyed:
            self.count_work(request)
        body = await self.replayable_body(request)
        tried: set[str] = set()
        sendings = 0
        may_have_run = False
        while True:
            ticket_key = request.key_number if spec.keyed else None
            try:
                server, number = await self.admit(request, ticket_key, tried)
            except RequestError as error:
                raise self.final(request, error, may_have_run) from None
            request.body = body.fresh()
            try:
                response = await self.send(request, server, number)
                error = self.server_error(request, response)
                if error is None:
                    self.log_answer(request, server, response.status, sendings)
                    return response
            except RequestError as failure:
                error, response = failure, None
            sent = error.kind not in UNSENT_KINDS
            may_have_run = may_have_run or not error.not_run
            if sent:
                sendings += 1
                tried.add(server.name)
            again = sendings < MOST_SENDINGS and not body.touched
            if not again or not self.may_go_again(request, error, sent, tried, spec):
                if response is not None:
                    return response
                raise self.final(request, error, may_have_run) from None
            if response is not None:
                await response.body.close()
            self.log_failure(
                "request goes again",
                request,
                error,
                server=server.name,
                sendings=sendings,
                budget_left=self.budget(spec.name).left(self.clock.elapsed(), self.vms()),
            )
            if spec.keyed and sent:
                moved = error.kind is ErrorKind.MOVED
                await self.clock.sleep(MOVED_PAUSE if moved else SAME_SERVER_PAUSE)

    def choose_service(self, request: RoutedRequest) -> ServiceSpec:
        """Return the service that a request goes to, and name it in the request."""
        name = self.splits.choose(
            request.route, lambda service: self.nearness(service, request.key_number)
        )
        spec = self.routes.services.get(name)
        if spec is None:
            raise RequestError(ErrorKind.NO_SUCH_SERVICE, name)
        if spec.keyed and request.key_number is None:
            raise RequestError(ErrorKind.NO_KEY)
        request.service = name
        return spec

    def nearness(self, service: str, key: int | None) -> int:
        """Return 1 where a key's owner is in this zone, -1 where it is not, else 0.

        A service without keys has a server in most zones.
        """
        spec = self.routes.services.get(service)
        if spec is None or not spec.keyed:
            return 0
        owner = None if key is None else self.admission.ownership.owner_of(service, key)
        return 1 if owner is not None and owner.entry.zone == self.admission.zone else -1

    def budget(self, service: str) -> SharedRetryBudget:
        """Return the budget of a service."""
        known = self.budgets.get(service)
        if known is None:
            bounds = self.bounds
            known = SharedRetryBudget(
                self.clock.elapsed(), bounds.retry_ratio, bounds.retry_extra, bounds.retry_window
            )
            self.budgets[service] = known
        return known

    def count_work(self, request: RoutedRequest) -> None:
        """Count the work that a key asks for."""
        work = self.key_work.setdefault(request.service, {})
        cost = self.table.speeds.cost(request.route.name)
        work[request.key_number] = work.get(request.key_number, 0.0) + cost

    async def replayable_body(self, request: RoutedRequest) -> WatchedBody | KeptBody:
        """Return the request's body, kept for other attempts where it is short."""
        if request.body_length is None or request.body_length > KEPT_BODY_BYTES:
            return WatchedBody(request.body)
        if request.body_length == 0:
            return KeptBody(b"")
        try:
            whole = await read_ahead(request.body, KEPT_BODY_BYTES)
        except BodyCutShortError as error:
            raise RequestError(ErrorKind.BAD_REQUEST, str(error)) from None
        return KeptBody(whole.take_ready())

    async def admit(
        self, request: RoutedRequest, key: int | None, tried: set[str]
    ) -> tuple[Server, int]:
        """Return the server that the request may be sent to now, and its ticket's number.

        Raises
        ------
        RequestError
            It is refused.
        """
        future: asyncio.Future[Server] = asyncio.get_running_loop().create_future()
        now = self.clock.elapsed()

        def settle(server: Server | None, error: RequestError | None) -> None:
            if future.done():
                # The caller has left; the task that waits is cancelled, but has not run yet.
                if server is not None:
                    server.running.pop(ticket.number, None)
                return
            if error is not None:
                future.set_exception(error)
                return
            future.set_result(server)

        ticket = Ticket(
            request_id=request.request_id,
            route=request.route,
            service=request.service,
            key=key,
            target_at=request.target_at,
            deadline=request.deadline,
            settle=settle,
            arrived=now,
            tried=tried,
        )
        self.admission.arrive(now, ticket)
        try:
            return await future, ticket.number
        except asyncio.CancelledError:
            self.admission.withdraw(ticket)
            if future.done() and not future.cancelled() and future.exception() is None:
                server = future.result()
                self.admission.ended(self.clock.elapsed(), server, ticket.number)
            raise

    async def send(self, request: RoutedRequest, server: Server, number: int) -> Response:
        """Send a request to a server under its ticket's number and return the answer.

        Raises
        ------
        RequestError
            It refused, or no whole answer came.
        """
        now = self.clock.elapsed()
        owner = Owner.of(server.entry)
        pool = self.pool(server, owner)
        crowd = server.crowd(now) / server.entry.slots
        left = request.deadline - now
        ended = False

        def end(complete: bool) -> None:
            nonlocal ended
            if not ended:
                ended = True
                self.admission.ended(self.clock.elapsed(), server, number)

        try:
            extra = self.callers.added(request, owner, left)
            response = await pool.exchange(request, extra, lambda: None)
            now_answered = self.clock.elapsed()
            failed = response.status >= SERVER_ERROR
            server.answered(now_answered, failed)
            if not failed:
                seconds = (now_answered - now).total_seconds()
                self.table.speeds.answered(request.route.name, server.name, seconds, crowd)
            length = response.body_length
            if length is not None:
                self.table.speeds.answer_size(request.route.name, length)
            response.headers = [p for p in response.headers if p[0] != self.callers.id_header]
            if length is None or length <= WHOLE_ANSWER_BYTES:
                response.body = await read_ahead(response.body, WHOLE_ANSWER_BYTES)
                if response.body.rest is None:
                    response.body_length = len(response.body.start)
                    end(True)
                    return response
            response.body = FinishingBody(response.body, end)
            return response
        except RequestError as error:
            self.note_failure(server, error)
            end(False)
            raise
        except BodyCutShortError as error:
            server.answered(self.clock.elapsed(), failed=True)
            end(False)
            kind = ErrorKind.OUTCOME_UNKNOWN
            if self.clock.elapsed() >= request.deadline:
                kind = ErrorKind.DEADLINE_EXCEEDED
            raise RequestError(kind, str(error)) from None
        except BaseException:
            end(False)
            raise

    def note_failure(self, server: Server, error: RequestError) -> None:
        """Learn about a server from a request that it did not answer."""
        now = self.clock.elapsed()
        if error.kind is ErrorKind.SERVER_UNREACHABLE:
            server.rest(now)
            log.warning("server accepts no connection", server=server.name, error=str(error))
            return
        if error.kind is ErrorKind.SERVER_REFUSED:
            server.answered(now, failed=True)
            return
        if error.kind is ErrorKind.OUTCOME_UNKNOWN:
            server.answered(now, failed=True)

    def apply_notice(self, owner: Owner, notice: ServerNotice) -> None:
        """Apply what an answer says of its server: that it shuts down, or wants a pause."""
        if notice.leaving:
            self.on_leaving(owner)
        server = self.table.life(owner)
        if notice.backoff is None or server is None:
            return
        now = self.clock.elapsed()
        if not server.is_backing_off(now):
            log.info(
                "server asks for a backoff",
                server=server.name,
                seconds=notice.backoff.total_seconds(),
                running=len(server.running),
            )
        server.back_off(now, notice.backoff)

    def server_error(self, request: RoutedRequest, response: Response) -> RequestError | None:
        """Return a server's own failure as an error where the request may run again."""
        if response.status < SERVER_ERROR or not request.idempotent:
            return None
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, f"the server answered {response.status}")

    def may_go_again(
        self,
        request: RoutedRequest,
        error: RequestError,
        sent: bool,
        tried: set[str],
        spec: ServiceSpec,
    ) -> bool:
        """Return whether a request may be sent again after an error."""
        if not (error.not_run or request.idempotent):
            return False
        if error.kind in (ErrorKind.DEADLINE_EXCEEDED, ErrorKind.CALLER_GONE):
            return False
        now = self.clock.elapsed()
        cost = timedelta(seconds=self.table.speeds.cost(request.route.name))
        if now + cost >= request.deadline:
            return False
        if not sent:
            return not spec.keyed
        if not spec.keyed and len(tried) >= request.route.attempts:
            return False
        return self.budget(request.service).try_spend(now, self.vms())

    def final(
        self, request: RoutedRequest, error: RequestError, may_have_run: bool
    ) -> RequestError:
        """Return the error to answer with once the request is given up."""
        if may_have_run and error.not_run:
            error = RequestError(ErrorKind.OUTCOME_UNKNOWN, f"at last: {error}")
        elif error.not_run and error.retry_after is None:
            error = RequestError(error.kind, error.detail, SOON)
        self.log_failure("request given up", request, error)
        return error

    def log_answer(
        self, request: RoutedRequest, server: Server, status: int, sendings: int
    ) -> None:
        """Write a line about an answered request, as far as the volume allows."""
        now = self.clock.elapsed()
        kind = f"answered {status}"
        if not self.answered_lines.allows(now, kind):
            return
        log.info(
            "request answered",
            request_id=request.request_id,
            route=request.route.name,
            server=server.name,
            status=status,
            sendings=sendings + 1,
            took=(now - request.arrived).total_seconds(),
            left_out=self.answered_lines.take_left_out(kind),
        )

    def log_failure(
        self, event: str, request: RoutedRequest, error: RequestError, **more: object
    ) -> None:
        """Write a line about a request that failed, with what decided about it."""
        now = self.clock.elapsed()
        kind = f"{event} {error.kind.value} {request.route.name}"
        if not self.failed_lines.allows(now, kind):
            return
        owner = self.admission.ownership.describe(request.service, request.key_number, now)
        log.info(
            event,
            request_id=request.request_id,
            route=request.route.name,
            service=request.service,
            key=request.key_number,
            error=error.kind.value,
            detail=error.detail,
            not_run=error.not_run,
            waited=(now - request.arrived).total_seconds(),
            left=(request.deadline - now).total_seconds(),
            config_version=self.routes.version,
            left_out=self.failed_lines.take_left_out(kind),
            **owner,
            **more,
        )

    def pool(self, server: Server, owner: Owner) -> ServerPool:
        """Return the connections to a server."""
        known = self.pools.get(owner)
        if known is not None:
            return known
        entry = server.entry
        spec = self.routes.services.get(entry.service)
        limit = FEWEST_CONNECTIONS if spec is None else spec.max_connections // self.vms()
        backend = BackendServer(
            entry.name, entry.service, entry.name, entry.zone, entry.host, entry.port
        )
        known = ServerPool(
            backend,
            max(FEWEST_CONNECTIONS, limit),
            self.clock,
            CONNECT_TIMEOUT,
            IDLE_TIMEOUT,
            dialect=self.servers,
            silence=SILENCE,
            on_notice=lambda notice: self.apply_notice(owner, notice),
        )
        self.pools[owner] = known
        return known

    def close_unused_pools(self) -> None:
        """Close the connections to servers that are gone and run nothing of ours."""
        for owner, pool in list(self.pools.items()):
            server = self.table.life(owner)
            if server is not None and (not server.gone or server.running):
                continue
            pool.close()
            del self.pools[owner]

    def take_key_work(self) -> dict[str, dict[int, float]]:
        """Return the work that was asked for since the last call."""
        work, self.key_work = self.key_work, {}
        return work

    def close(self) -> None:
        """Close all connections."""
        for pool in self.pools.values():
            pool.close()
