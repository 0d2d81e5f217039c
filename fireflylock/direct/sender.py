"""Answers callers' requests by sending them to backend servers, with retries."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import partial

import structlog

from fireflylock.backend import ServerPool
from fireflylock.callback_body import CallbackBody
from fireflylock.clock import Clock, Instant
from fireflylock.direct.admission import LARGE_RESPONSE_BYTES, Admission, Ticket
from fireflylock.direct.frontend import CallerDialect, RoutedRequest
from fireflylock.direct.key_ranges import Owner
from fireflylock.direct.log_budget import LogBudget
from fireflylock.direct.model import Bounds, RouteTable, ServiceSpec
from fireflylock.direct.request_limits import RequestLimits
from fireflylock.direct.retry_budget import SharedRetryBudget
from fireflylock.direct.routes import SplitBalancer
from fireflylock.direct.servers import Server, ServerTable
from fireflylock.direct.stopping import StopPlan
from fireflylock.direct.transfer_slots import TransferSlots
from fireflylock.exceptions import BodyCutShortError, ErrorKind, RequestError
from fireflylock.exchange import Handler, Response
from fireflylock.http1 import BODY_BUFFER_BYTES
from fireflylock.load_control.memory_budget import HeldFor, MemoryBudget, ServerBodies
from fireflylock.model import BackendServer
from fireflylock.replayable_body import BufferedBody, ReadTrackingBody, read_ahead
from fireflylock.server_exchange import ServerDialect, ServerNotice

# Bytes held for a body that is passed on as it arrives: in the buffers of both connections.
STREAM_BYTES = 2 * BODY_BUFFER_BYTES
# The same for a large response to a caller that reads slowly: one part that has been read from
# the server stands in the caller's buffer besides what that may hold.
RESPONSE_STREAM_BYTES = 4 * BODY_BUFFER_BYTES
# Request bodies up to this size are buffered for retries.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
# Responses up to this size are read completely before they are forwarded, so that the request
# can be retried if one is cut short.
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
# A server acknowledges bytes within this time unless it is gone or unreachable.
ACK_TIMEOUT = timedelta(milliseconds=900)
CONNECT_TIMEOUT = timedelta(milliseconds=350)
# Idle connections to a server are kept this long if it does not say how long.
IDLE_TIMEOUT = timedelta(seconds=8)
# Maximum attempts for a request, whatever its route allows.
MAX_ATTEMPTS = 3
# Delay before a retry at the only server that may run the request.
SAME_SERVER_RETRY_DELAY = timedelta(milliseconds=15)
# After a server said that it does not own the key, the map here is usually about to change.  It is
# looked at this often, for at most the second time.
MOVED_CHECK_INTERVAL = timedelta(milliseconds=60)
MAX_MOVED_WAIT = timedelta(milliseconds=180)
# Retry-After of a refusal whose cause will soon be over.
SHORT_RETRY_AFTER = timedelta(milliseconds=50)
# Share of the time to the latency target that a request waits until the link has room for its
# large response; a VM whose link is less busy may serve the caller then.
MAX_TRANSFER_WAIT_SHARE = 0.3
# Minimum number of connections to one server, however many VMs there are.
MIN_CONNECTIONS = 3

SERVER_ERROR = 500

# Log lines per second about answered and about failed requests.
ANSWERED_LOG_RATE = 10.0
FAILED_LOG_RATE = 40.0

# Errors that occur before any byte of a request was sent to a server.
UNSENT_KINDS = (ErrorKind.SERVER_UNREACHABLE, ErrorKind.DEADLINE_TOO_SHORT)

log = structlog.get_logger()


class Sender(Handler):
    """Sends requests to servers, and retries them where that is allowed.

    Parameters
    ----------
    admission : Admission
        Decides when and where a request is sent.
    table : ServerTable
        All servers.
    limits : RequestLimits
        Request rate limits of the servers.
    clock : Clock
        Source of time.
    callers, servers : CallerDialect, ServerDialect
        Protocols of the two sides.
    bounds : Bounds
        The deployment's bounds.
    vms : callable
        Returns the number of entry VMs.
    """

    def __init__(
        self,
        admission: Admission,
        table: ServerTable,
        limits: RequestLimits,
        clock: Clock,
        callers: CallerDialect,
        servers: ServerDialect,
        bounds: Bounds,
        vms: Callable[[], int],
    ) -> None:
        self.admission = admission
        self.table = table
        self.limits = limits
        self.clock = clock
        self.callers = callers
        self.servers = servers
        self.bounds = bounds
        self.vms = vms
        admission.is_connected = self.has_idle_connection
        self.routes: RouteTable | None = None
        # Called with a server whose response announces its shutdown.
        self.on_leaving: Callable[[Owner], None] = lambda owner: None
        # Called with what a server says about its remaining cold time, and when it was asked; and
        # with a server that can't be reached.
        self.on_cold: Callable[[Owner, timedelta, Instant], None] = lambda *args: None
        self.on_unreachable: Callable[[Owner], None] = lambda owner: None
        # Set while the process is shutting down.
        self.stop: StopPlan | None = None
        # Slots for large responses; None if the rate of this VM's link is not known.
        self.transfers: TransferSlots | None = None
        # Memory for bodies; None if the memory of this process is not known.
        self.memory: MemoryBudget | None = None
        self.bodies: ServerBodies | None = None
        self.split_balancer = SplitBalancer()
        self.split_balancer.vms = vms
        self.budgets: dict[str, SharedRetryBudget] = {}
        self.pools: dict[Owner, ServerPool] = {}
        # Pools of servers that are gone, with requests in progress.
        self.retired_pools: list[ServerPool] = []
        # Responses that arrived in more parts than are handled in one go.
        self.response_backlogs = 0
        # Seconds of requested work by service and key since the last take_key_work.
        self.key_work: dict[str, dict[int, float]] = {}
        self.answered_log_budget = LogBudget(ANSWERED_LOG_RATE, ANSWERED_LOG_RATE)
        self.failed_log_budget = LogBudget(FAILED_LOG_RATE, FAILED_LOG_RATE)

    async def handle(self, request: RoutedRequest) -> Response:
        """Return the response to `request`.

        Raises
        ------
        RequestError
            No server has answered the request.
        """
        spec = self.choose_service(request)
        if self.stop is not None and self.clock.elapsed() >= self.stop.accepts_until:
            error = RequestError(
                ErrorKind.STOPPING,
                "too late to be finished here",
                SHORT_RETRY_AFTER,
            )
            raise self.final_error(request, error, may_have_run=False)
        budget = self.budget(spec.name)
        now = self.clock.elapsed()
        budget.count_request(now)
        request.over_share = self.admission.is_over_share(now, spec.name, request.caller)
        if spec.keyed:
            self.add_key_work(request)
        if self.memory is None:
            return await self.handle_body(request, spec)
        expected = int(self.table.speeds.mean_response_size(request.route.name))
        size = held_bytes(request.body_length) + min(expected, RESPONSE_STREAM_BYTES)
        if not self.memory.try_hold_request(size):
            error = RequestError(ErrorKind.QUEUE_FULL, "no memory", SHORT_RETRY_AFTER)
            raise self.final_error(request, error, may_have_run=False)
        try:
            return await self.handle_body(request, spec)
        finally:
            self.memory.release(HeldFor.REQUEST, size)

    async def handle_body(self, request: RoutedRequest, spec: ServiceSpec) -> Response:
        """Return the response to a request whose body may be held; errors as in `handle`."""
        body = await self.replayable_body(request)
        size = self.table.speeds.mean_response_size(request.route.name)
        if self.transfers is None or size < LARGE_RESPONSE_BYTES:
            return await self.send_with_retries(request, spec, body)
        wait = MAX_TRANSFER_WAIT_SHARE * (request.target_at - self.clock.elapsed())
        if not await self.transfers.acquire(size, max(wait, timedelta(0))):
            error = RequestError(ErrorKind.QUEUE_FULL, "the link is busy", SHORT_RETRY_AFTER)
            raise self.final_error(request, error, may_have_run=False)
        try:
            return await self.send_with_retries(request, spec, body)
        finally:
            self.transfers.release()

    async def send_with_retries(
        self, request: RoutedRequest, spec: ServiceSpec, body: ReadTrackingBody | BufferedBody
    ) -> Response:
        """Send a request until it is answered or may not be sent again; errors as in `handle`."""
        tried_servers: set[str] = set()
        attempts = 0
        may_have_run = False
        while True:
            ticket_key = request.key_number if spec.keyed else None
            try:
                server, number = await self.admit(request, ticket_key, tried_servers)
            except RequestError as error:
                raise self.final_error(request, error, may_have_run) from None
            epoch = self.epoch(request, spec)
            request.body = body.body_for_attempt()
            if not self.try_send_body(request, server, number):
                error = RequestError(
                    ErrorKind.QUEUE_FULL, "the server holds large requests", SHORT_RETRY_AFTER
                )
                raise self.final_error(request, error, may_have_run)
            try:
                response = await self.send(request, server, number)
                error = self.retryable_server_error(request, response)
                if error is None:
                    self.log_response(request, server, response.status, attempts)
                    return response
            except RequestError as failure:
                error, response = failure, None
            sent = error.kind not in UNSENT_KINDS
            may_have_run = may_have_run or not error.not_run
            if sent:
                attempts += 1
                tried_servers.add(server.name)
            retryable = attempts < MAX_ATTEMPTS and not body.was_read
            moved = spec.keyed and error.kind is ErrorKind.MOVED
            if retryable and moved:
                retryable = await self.wait_for_move(request, server, epoch)
            if not retryable or not self.may_retry(request, error, sent, tried_servers, spec):
                if response is not None:
                    return response
                raise self.final_error(request, error, may_have_run) from None
            if response is not None:
                await response.body.close()
            self.log_failure(
                "request goes again",
                request,
                error,
                server=server.name,
                sendings=attempts,
                budget_left=self.budget(spec.name).remaining(self.clock.elapsed(), self.vms()),
            )
            if spec.keyed and sent and not moved:
                await self.clock.sleep(SAME_SERVER_RETRY_DELAY)

    def try_send_body(self, request: RoutedRequest, server: Server, number: int) -> bool:
        """Return whether a request's body fits among those that its server holds."""
        if self.bodies is None or not request.body_length:
            return True
        now = self.clock.elapsed()
        if self.bodies.try_send(now, server.name, request.body_length):
            return True
        self.admission.request_finished(now, server, number)
        return False

    def epoch(self, request: RoutedRequest, spec: ServiceSpec) -> int | None:
        """Return the epoch under which the key of a request is owned, or None without one."""
        if not spec.keyed:
            return None
        return self.admission.ownership.epoch_of(request.service, request.key_number)

    async def wait_for_move(
        self, request: RoutedRequest, server: Server, epoch: int | None
    ) -> bool:
        """Return True once the key of a request has moved, and False if it does not in time.

        Until then, the server would reject the request again.  It may have ended, and its address
        may belong to a server of another service, whose retry budget is not the one used here.

        Parameters
        ----------
        request : RoutedRequest
            A request that was rejected since the server does not own its key.
        server : Server
            The server that it was sent to.
        epoch : int or None
            Epoch of the key when it was sent.
        """
        ownership = self.admission.ownership
        service, key = request.service, request.key_number
        give_up_at = min(self.clock.elapsed() + MAX_MOVED_WAIT, request.deadline)
        while (left := give_up_at - self.clock.elapsed()) > timedelta(0):
            await self.clock.sleep(min(left, MOVED_CHECK_INTERVAL))
            if ownership.owner_of(service, key) is not server:
                return True
            if ownership.epoch_of(service, key) != epoch:
                return True
        return False

    def choose_service(self, request: RoutedRequest) -> ServiceSpec:
        """Return the service for a request, and set it on the request."""
        may_serve = None
        if request.route.allowed_regions is not None:
            may_serve = partial(self.may_serve, request)
        name = self.split_balancer.choose(
            request.route,
            lambda service: self.proximity(service, request.key_number),
            may_serve,
        )
        spec = self.routes.services.get(name)
        if spec is None:
            raise RequestError(ErrorKind.NO_SUCH_SERVICE, name)
        if spec.keyed and request.key_number is None:
            raise RequestError(ErrorKind.NO_KEY)
        request.service = name
        return spec

    def may_serve(self, request: RoutedRequest, service: str) -> bool:
        """Return whether a service can run a request within its route's allowed regions."""
        spec = self.routes.services.get(service)
        if spec is None or (spec.keyed and request.key_number is None):
            return False
        key = request.key_number if spec.keyed else None
        return self.admission.may_serve(request.route, service, key)

    def proximity(self, service: str, key: int | None) -> int:
        """Return 1 if the key's owner is in this zone, -1 if it is not, and 0 without keys.

        A service without keys has a server in most zones.
        """
        spec = self.routes.services.get(service)
        if spec is None or not spec.keyed:
            return 0
        owner = None if key is None else self.admission.ownership.owner_of(service, key)
        return 1 if owner is not None and owner.entry.zone == self.admission.zone else -1

    def budget(self, service: str) -> SharedRetryBudget:
        """Return the retry budget of a service."""
        known = self.budgets.get(service)
        if known is None:
            bounds = self.bounds
            known = SharedRetryBudget(
                self.clock.elapsed(), bounds.retry_ratio, bounds.retry_extra, bounds.retry_window
            )
            self.budgets[service] = known
        return known

    def add_key_work(self, request: RoutedRequest) -> None:
        """Add the expected cost of a request to the work of its key."""
        work = self.key_work.setdefault(request.service, {})
        cost = self.table.speeds.record_request(request.service, request.route.name)
        work[request.key_number] = work.get(request.key_number, 0.0) + cost

    async def replayable_body(self, request: RoutedRequest) -> ReadTrackingBody | BufferedBody:
        """Return the request's body, buffered for retries if it is short."""
        if request.body_length is None or request.body_length > MAX_BUFFERED_BODY_BYTES:
            return ReadTrackingBody(request.body)
        if request.body_length == 0:
            return BufferedBody(b"")
        try:
            whole = await read_ahead(request.body, MAX_BUFFERED_BODY_BYTES)
        except BodyCutShortError as error:
            raise RequestError(ErrorKind.BAD_REQUEST, str(error)) from None
        return BufferedBody(whole.read_nowait())

    async def admit(
        self, request: RoutedRequest, key: int | None, tried_servers: set[str]
    ) -> tuple[Server, int]:
        """Return the server that the request may be sent to, and its ticket's number.

        Raises
        ------
        RequestError
            The request is refused.
        """
        future: asyncio.Future[Server] = asyncio.get_running_loop().create_future()
        now = self.clock.elapsed()

        def on_decision(server: Server | None, error: RequestError | None) -> None:
            if future.done():
                # The caller has left; the waiting task is cancelled but has not run yet.
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
            on_decision=on_decision,
            arrived_at=now,
            tried_servers=tried_servers,
            caller=request.caller,
            over_share=request.over_share,
        )
        self.admission.submit(now, ticket)
        try:
            return await future, ticket.number
        except asyncio.CancelledError:
            self.admission.withdraw(ticket)
            if future.done() and not future.cancelled() and future.exception() is None:
                server = future.result()
                self.admission.request_finished(self.clock.elapsed(), server, ticket.number)
            raise

    async def send(self, request: RoutedRequest, server: Server, number: int) -> Response:
        """Send a request to a server under its ticket's number and return the response.

        Raises
        ------
        RequestError
            The server refused it, or no complete response arrived.
        """
        now = self.clock.elapsed()
        owner = Owner.of(server.entry)
        pool = self.pool(server, owner)
        requests = self.admission.occupancy(now, server)
        work_factor = self.admission.loads.work_factor(now, owner.name, owner.born)
        left = request.deadline - now
        finished = False

        def end(complete: bool) -> None:
            nonlocal finished
            if not finished:
                finished = True
                server.streaming.discard(number)
                if self.bodies is not None and request.body_length:
                    self.bodies.end(server.name, request.body_length)
                self.admission.request_finished(self.clock.elapsed(), server, number)

        try:
            extra = self.callers.added_headers(request, owner, left)
            response = await pool.exchange(request, extra, lambda: self.limits.record_sent(server))
            responded_at = self.clock.elapsed()
            if server.name in self.limits.named and not self.servers.names_limit(response):
                self.limits.record_limit(owner, None, now)
            failed = response.status >= SERVER_ERROR
            server.record_response(responded_at, failed)
            if not failed:
                seconds = (responded_at - now).total_seconds()
                self.record_latency(responded_at, request, server, requests, seconds, work_factor)
            length = response.body_length
            if length is not None:
                self.table.speeds.record_response_size(request.route.name, length)
            response.headers = [p for p in response.headers if p[0] != self.callers.id_header]
            if self.memory is None:
                response = await self.read_response(response, length, end)
            else:
                response = await self.read_held_response(response, length, end)
            if not finished:
                server.streaming.add(number)
            return response
        except RequestError as error:
            self.record_failure(request, server, error, now)
            end(False)
            raise
        except BodyCutShortError as error:
            server.record_response(self.clock.elapsed(), failed=True)
            end(False)
            kind = ErrorKind.OUTCOME_UNKNOWN
            if self.clock.elapsed() >= request.deadline:
                kind = ErrorKind.DEADLINE_EXCEEDED
            raise RequestError(kind, str(error)) from None
        except BaseException:
            end(False)
            raise

    async def read_response(
        self,
        response: Response,
        length: int | None,
        end: Callable[[bool], None],
        streamed: bool = False,
    ) -> Response:
        """Read a response as far as it is buffered.

        Parameters
        ----------
        response : Response
            The response of which the head has arrived.
        length : int or None
            Length of its body, if that is known.
        end : callable
            Called at the end of the body, with whether it is complete.
        streamed : bool
            Whether nothing is buffered.

        Raises
        ------
        BodyCutShortError
            The response ended before its end.
        """
        if not streamed and (length is None or length <= MAX_BUFFERED_RESPONSE_BYTES):
            response.body = await read_ahead(response.body, MAX_BUFFERED_RESPONSE_BYTES)
            if response.body.rest is None:
                response.body_length = len(response.body.prefix)
                end(True)
                return response
        response.body = CallbackBody(response.body, end)
        return response

    async def read_held_response(
        self, response: Response, length: int | None, end: Callable[[bool], None]
    ) -> Response:
        """Read a response within the memory budget; parameters and errors as `read_response`."""
        memory = self.memory
        size = MAX_BUFFERED_RESPONSE_BYTES if length is None else length
        streamed = size > MAX_BUFFERED_RESPONSE_BYTES or not memory.try_buffer_response(size)
        if streamed:
            size = RESPONSE_STREAM_BYTES
            memory.hold_stream(size)
        try:
            response = await self.read_response(response, length, end, streamed)
        except BaseException:
            memory.release(HeldFor.RESPONSE, size)
            raise
        response.body = CallbackBody(
            response.body, lambda complete: memory.hand_over_response(size)
        )
        return response

    def record_latency(
        self,
        now: Instant,
        request: RoutedRequest,
        server: Server,
        requests: float,
        seconds: float,
        work_factor: float,
    ) -> None:
        """Record how long a server took.

        Parameters
        ----------
        now : timedelta
            Current instant.
        request : RoutedRequest
            The request that it has answered.
        server : Server
            The server.
        requests : float
            Requests of all VMs there when it was sent.
        seconds : float
            From sending the request to the head of the response.
        work_factor : float
            How many times longer than usual work took on its machine then.
        """
        route = request.route
        # Most requests see the number change while they run.
        mean_requests = (requests + self.admission.occupancy(now, server)) / 2
        self.table.concurrency.record(
            now,
            server.name,
            mean_requests,
            seconds,
            self.table.speeds.cost(route.name),
            route.target.total_seconds(),
        )
        # So does the machine's speed.
        entry = server.entry
        work_factor = (
            work_factor + self.admission.loads.work_factor(now, entry.name, entry.born)
        ) / 2
        self.table.speeds.record_response(
            route.name, server.name, seconds / work_factor, requests / self.table.capacity(server)
        )

    def record_failure(
        self, request: RoutedRequest, server: Server, error: RequestError, sent_at: Instant
    ) -> None:
        """Record at a server that it did not answer a request."""
        now = self.clock.elapsed()
        if error.connection_reset and self.record_reset(now, request, server, sent_at):
            return
        if error.kind is ErrorKind.SERVER_UNREACHABLE:
            server.eject(now)
            self.on_unreachable(Owner.of(server.entry))
            log.warning("connection to server failed", server=server.name, error=str(error))
            return
        if error.kind is ErrorKind.SERVER_REFUSED:
            server.record_response(now, failed=True)
            return
        if error.kind is ErrorKind.OUTCOME_UNKNOWN:
            server.record_response(now, failed=True)

    def record_reset(
        self, now: Instant, request: RoutedRequest, server: Server, sent_at: Instant
    ) -> bool:
        """Record that a server has reset a connection; return whether it did so as it is full."""
        occupancy = self.admission.occupancy(now, server)
        full = self.admission.record_reset(now, server, request.route.name, sent_at)
        event = "full server reset a connection" if full else "server reset a connection"
        if self.failed_log_budget.allows(now, event):
            entry = server.entry
            log.info(
                event,
                request_id=request.request_id,
                server=entry.name,
                slots=entry.slots,
                running=len(server.running),
                reported=server.remote_request_count(now),
                occupancy=round(occupancy, 1),
                load_stated=self.admission.loads.is_fresh(now, entry.name, entry.born),
                pause=max(0.0, (server.backoff_until - now).total_seconds()),
                left_out=self.failed_log_budget.take_omitted(event),
            )
        return full

    def apply_notice(self, owner: Owner, notice: ServerNotice, sent_at: Instant) -> None:
        """Apply what a response says about its server: shutdown, backoff, limit and load."""
        if notice.leaving:
            self.on_leaving(owner)
        if notice.cold is not None:
            self.on_cold(owner, notice.cold, sent_at)
        if notice.request_limit is not None:
            self.limits.record_limit(owner, notice.request_limit, sent_at)
        if notice.invalid_limit is not None:
            self.limits.record_invalid(owner, notice.invalid_limit)
        server = self.table.find_incarnation(owner)
        now = self.clock.elapsed()
        if notice.load is not None and server is not None:
            self.admission.loads.record(now, owner.name, owner.born, notice.load)
            self.table.concurrency.record_load(now, server.name, notice.load)
        if notice.backoff is None or server is None:
            return
        if not server.is_backing_off(now):
            log.info(
                "server requested a backoff",
                server=server.name,
                seconds=notice.backoff.total_seconds(),
                running=len(server.running),
            )
        server.back_off(now, notice.backoff)

    def retryable_server_error(
        self, request: RoutedRequest, response: Response
    ) -> RequestError | None:
        """Return a server's 5xx response as an error if the request may run again."""
        if response.status < SERVER_ERROR or not request.idempotent:
            return None
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, f"the server answered {response.status}")

    def may_retry(
        self,
        request: RoutedRequest,
        error: RequestError,
        sent: bool,
        tried_servers: set[str],
        spec: ServiceSpec,
    ) -> bool:
        """Return whether a request may be retried after an error."""
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
        if not spec.keyed and len(tried_servers) >= request.route.attempts:
            return False
        return self.budget(request.service).try_spend(now, self.vms())

    def final_error(
        self, request: RoutedRequest, error: RequestError, may_have_run: bool
    ) -> RequestError:
        """Return the error to answer with after the last attempt."""
        if may_have_run and error.not_run:
            error = RequestError(ErrorKind.OUTCOME_UNKNOWN, f"at last: {error}")
        elif error.not_run and error.retry_after is None:
            error = RequestError(error.kind, error.detail, SHORT_RETRY_AFTER)
        now = self.clock.elapsed()
        self.admission.record_refusal(now, request.service, request.caller, error)
        self.log_failure("request given up", request, error)
        return error

    def log_response(
        self, request: RoutedRequest, server: Server, status: int, attempts: int
    ) -> None:
        """Log an answered request within the log budget."""
        now = self.clock.elapsed()
        kind = f"answered {status}"
        if not self.answered_log_budget.allows(now, kind):
            return
        log.info(
            "request answered",
            request_id=request.request_id,
            route=request.route.name,
            server=server.name,
            status=status,
            sendings=attempts + 1,
            took=(now - request.arrived_at).total_seconds(),
            left_out=self.answered_log_budget.take_omitted(kind),
        )

    def log_failure(
        self, event: str, request: RoutedRequest, error: RequestError, **fields: object
    ) -> None:
        """Log a failed request, and what its failure depended on, within the log budget."""
        now = self.clock.elapsed()
        kind = f"{event} {error.kind.value} {request.route.name}"
        if not self.failed_log_budget.allows(now, kind):
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
            waited=(now - request.arrived_at).total_seconds(),
            left=(request.deadline - now).total_seconds(),
            config_version=self.routes.version,
            left_out=self.failed_log_budget.take_omitted(kind),
            **owner,
            **fields,
        )

    def pool(self, server: Server, owner: Owner) -> ServerPool:
        """Return the connection pool of a server."""
        known = self.pools.get(owner)
        if known is not None:
            return known
        entry = server.entry
        backend = BackendServer(
            entry.name, entry.service, entry.name, entry.zone, entry.host, entry.port
        )
        known = ServerPool(
            backend,
            self.connection_limit(entry.service),
            self.clock,
            CONNECT_TIMEOUT,
            IDLE_TIMEOUT,
            dialect=self.servers,
            ack_timeout=ACK_TIMEOUT,
            on_notice=lambda notice, sent_at: self.apply_notice(owner, notice, sent_at),
            on_backlog=lambda: self.record_backlog(owner),
        )
        self.pools[owner] = known
        return known

    def has_idle_connection(self, server: Server) -> bool:
        """Return whether a connection to a server can be used at once."""
        pool = self.pools.get(Owner.of(server.entry))
        return pool is not None and bool(pool.idle)

    def record_backlog(self, owner: Owner) -> None:
        """Count and log a response that arrives in more parts than are handled in one go."""
        self.response_backlogs += 1
        event = "response handled in many turns"
        if self.failed_log_budget.allows(self.clock.elapsed(), event):
            log.warning(
                event,
                server=owner.name,
                left_out=self.failed_log_budget.take_omitted(event),
            )

    def connection_limit(self, service: str) -> int:
        """Return this VM's share of the connections that a server of a service accepts."""
        spec = self.routes.services.get(service)
        share = MIN_CONNECTIONS if spec is None else spec.max_connections // self.vms()
        return max(MIN_CONNECTIONS, share)

    def maintain_pools(self) -> None:
        """Adapt the pools' limits to the fleet size, and retire those of servers that are gone.

        A server that has started again may be at work on requests that were sent before its new
        registration was read; connections to one that has ended are reset, or time out.
        """
        self.retired_pools = [pool for pool in self.retired_pools if pool.open_count]
        for owner, pool in list(self.pools.items()):
            server = self.table.find_incarnation(owner)
            if server is not None and (not server.gone or server.running):
                pool.set_connection_limit(self.connection_limit(server.entry.service))
                continue
            pool.retire()
            del self.pools[owner]
            self.retired_pools.append(pool)

    def take_key_work(self) -> dict[str, dict[int, float]]:
        """Return the work by service and key since the last call."""
        work, self.key_work = self.key_work, {}
        return work

    def close(self) -> None:
        """Close all connections."""
        for pool in (*self.pools.values(), *self.retired_pools):
            pool.close()


def held_bytes(body_length: int | None) -> int:
    """Return the most bytes of a request's body that are held at a time."""
    if body_length is None or body_length > MAX_BUFFERED_BODY_BYTES:
        return STREAM_BYTES
    return body_length
