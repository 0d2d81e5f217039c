"""The gate of a backend server: the only sender of requests to that server."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from fireflylock.admission import Admission, Queued, Refused, Ticket
from fireflylock.backend import ServerPool
from fireflylock.callback_body import CallbackBody
from fireflylock.clock import Clock, Instant
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import Headers, Request, Response
from fireflylock.model import BackendServer, Service
from fireflylock.session import GateSession, SessionState

# Upper bound on the time between two checks of the queue deadlines in an idle control loop.
MAX_IDLE_WAIT = timedelta(milliseconds=50)
# Longest pause of new requests, so that running ones end before a new gate epoch fences them.
MAX_PAUSE = timedelta(milliseconds=500)
# Time after which a refusal because of draining is outdated.
DRAINING_REFUSAL_TTL = timedelta(seconds=5)
# Detail of a typed refusal by a server that is shutting down.
DRAINING = "draining"
# Duration of the slow start of a server that becomes reachable again.
SLOW_START_DURATION = timedelta(seconds=3)
DRAIN_POLL_INTERVAL = timedelta(milliseconds=5)


@dataclass(frozen=True)
class QueuedRequest:
    """A request in the queue of a backend server.

    Attributes
    ----------
    unit : int
        The unit that the request belongs to.
    future : asyncio.Future
        Completes when the request may start, or fails with the error to answer it with.
    """

    unit: int
    future: asyncio.Future[None]


class Gate:
    """The gate of one backend server: its queue, connections and session on this entry VM.

    Parameters
    ----------
    server : BackendServer
        The server.
    service : Service
        Its service.
    session : GateSession
        Session with the server, which decides what may be sent.
    pool : ServerPool
        Connections to the server.
    admission : Admission
        Queue and concurrency limit.
    clock : Clock
        Time.
    call_timeout : timedelta
        Timeout of one control call.
    """

    def __init__(
        self,
        server: BackendServer,
        service: Service,
        session: GateSession,
        pool: ServerPool,
        admission: Admission,
        clock: Clock,
        call_timeout: timedelta,
    ) -> None:
        self.server = server
        self.service = service
        self.session = session
        self.pool = pool
        self.admission = admission
        self.clock = clock
        self.call_timeout = call_timeout
        self.running: Counter[int] = Counter()
        self.waiting: dict[str, QueuedRequest] = {}
        self.wake = asyncio.Event()
        self.closing = False
        self.paused = False
        self.stood_down = False
        self.refused = 0
        self.refused_draining_at: Instant | None = None
        self.was_open = False
        self.opened_before = False
        self.on_progress: Callable[[Gate], None] = lambda _gate: None

    async def handle(self, request: Request, unit: int, epoch: int) -> Response:
        """Send `request` to the server under the grant (`unit`, `epoch`).

        Raises
        ------
        RequestError
            The request is answered by the router itself.
        """
        self.check_sendable(request, unit, epoch)
        ticket = await self.admit(request, unit)
        started = False

        def before_send() -> None:
            nonlocal started
            self.check_sendable(request, unit, epoch)
            if not started:
                self.running[unit] += 1
                started = True

        def finish(complete: bool) -> None:
            if started:
                self.running[unit] -= 1
                self.wake.set()
            self.start_queued(self.admission.finish(self.clock.elapsed(), ticket, complete))

        try:
            headers = self.headers(request, unit, epoch)
            response = await self.pool.exchange(request, headers, before_send)
        except BaseException as error:
            self.record_refusal(error)
            finish(False)
            raise
        response.body = CallbackBody(response.body, finish)
        return response

    def record_refusal(self, error: BaseException) -> None:
        """Record the time of a refusal that says that the server is draining."""
        if not isinstance(error, RequestError) or error.kind is not ErrorKind.SERVER_REFUSED:
            return
        if error.detail == DRAINING:
            self.refused_draining_at = self.clock.elapsed()

    def check_sendable(self, request: Request, unit: int, epoch: int) -> None:
        """Raise unless the request may be sent before the event loop runs anything else."""
        now = self.clock.elapsed()
        if now >= request.deadline:
            raise RequestError(ErrorKind.DEADLINE_TOO_SHORT, "the deadline passed in the queue")
        if self.stood_down:
            raise RequestError(ErrorKind.NO_OWNER, "the zone is cut off and has stood down")
        if self.closing or self.paused:
            raise RequestError(ErrorKind.MOVED, "the gate is being handed over")
        if not self.session.may_send(now, unit, epoch):
            raise RequestError(ErrorKind.MOVED, f"unit {unit} at epoch {epoch} is not granted")

    def headers(self, request: Request, unit: int, epoch: int) -> Headers:
        """Return the headers that tell the server the grant under which the request is sent."""
        gate_epoch, rank = self.session.gate_epoch
        remaining = request.deadline - self.clock.elapsed()
        milliseconds = max(1, int(remaining / timedelta(milliseconds=1)))
        return [
            (b"fireflylock-request-id", request.request_id.encode("ascii")),
            (b"fireflylock-gate-epoch", b"%d.%d" % (gate_epoch, rank)),
            (b"fireflylock-unit", b"%d" % unit),
            (b"fireflylock-unit-epoch", b"%d" % epoch),
            (b"fireflylock-deadline-ms", b"%d" % milliseconds),
        ]

    async def admit(self, request: Request, unit: int) -> Ticket:
        """Wait until `request` may start.

        Raises
        ------
        RequestError
            The queue is full, or the deadline cannot be met.
        """
        ticket = Ticket(request.request_id, request.customer, request.deadline)
        decision = self.admission.offer(self.clock.elapsed(), ticket)
        if isinstance(decision, Refused):
            self.refused += 1
            raise RequestError(decision.kind, retry_after=decision.retry_after)
        if not isinstance(decision, Queued):
            return ticket
        future = asyncio.get_running_loop().create_future()
        self.waiting[ticket.request_id] = QueuedRequest(unit, future)
        self.wake.set()
        try:
            await future
        except asyncio.CancelledError:
            self.abandon(ticket, future)
            raise
        except RequestError:
            self.start_queued(self.admission.cancel(self.clock.elapsed(), ticket))
            raise
        finally:
            self.waiting.pop(ticket.request_id, None)
        return ticket

    def abandon(self, ticket: Ticket, future: asyncio.Future[None]) -> None:
        """Release the queue entry or concurrency slot of a cancelled request."""
        now = self.clock.elapsed()
        if future.done() and not future.cancelled():
            self.start_queued(self.admission.finish(now, ticket, False))
            return
        self.start_queued(self.admission.cancel(now, ticket))

    def start_queued(self, tickets: list[Ticket]) -> None:
        """Resume the queued requests that admission has started."""
        for ticket in tickets:
            waiting = self.waiting.get(ticket.request_id)
            if waiting is None or waiting.future.done():
                # The request was cancelled in the same step; its slot goes to the next one.
                self.start_queued(self.admission.finish(self.clock.elapsed(), ticket, False))
                continue
            waiting.future.set_result(None)

    def expire(self, now: Instant) -> None:
        """Fail queued requests that can no longer meet their deadline."""
        for ticket, refused in self.admission.expire(now):
            waiting = self.waiting.get(ticket.request_id)
            if waiting is None or waiting.future.done():
                continue
            self.refused += 1
            error = RequestError(refused.kind, retry_after=refused.retry_after)
            waiting.future.set_exception(error)

    async def run(self) -> None:
        """Maintain the session with the server until cancelled."""
        while True:
            now = self.clock.elapsed()
            self.expire(now)
            call = None if self.stood_down else self.session.poll(now)
            if call is not None:
                await self.call(call)
                self.on_progress(self)
                continue
            self.on_progress(self)
            await self.wait_until_due(now)

    async def call(self, call: dict) -> None:
        """Make one control call and pass its result to the session."""
        try:
            reply = await self.pool.control(call, self.call_timeout)
        except Exception:
            # After any failure, the server may or may not have executed the call.
            self.session.on_failure(self.clock.elapsed(), call)
            return
        self.session.on_reply(self.clock.elapsed(), call, reply)

    async def wait_until_due(self, now: Instant) -> None:
        """Wait until the session is due, the queue changes, or `MAX_IDLE_WAIT` has passed."""
        self.wake.clear()
        pause = min(self.session.next_due(now) - now, MAX_IDLE_WAIT)
        if pause <= timedelta(0):
            await asyncio.sleep(0)
            return
        try:
            async with asyncio.timeout(pause.total_seconds()):
                await self.wake.wait()
        except TimeoutError:
            return

    def set_grants(self, grants: dict[int, int], revision: int) -> None:
        """Apply the units and epochs of one revision of the assignment."""
        self.session.set_grants(self.clock.elapsed(), grants, revision)
        self.wake.set()

    def release(self, units: Iterable[int]) -> None:
        """Stop sending for `units` under their current epochs permanently."""
        units = set(units)
        self.session.release(self.clock.elapsed(), units)
        self.reject_queued(units)
        self.wake.set()

    def reject_queued(self, units: set[int] | None = None) -> None:
        """Fail the queued requests of `units`, or all; they are then routed to the next gate."""
        for waiting in list(self.waiting.values()):
            if waiting.future.done() or (units is not None and waiting.unit not in units):
                continue
            waiting.future.set_exception(RequestError(ErrorKind.MOVED, "the key is moving"))

    def released(self) -> dict[int, int]:
        """Return the units whose release is complete: no request of theirs is running."""
        return self.session.released(self.clock.elapsed(), self.running.__getitem__)

    @property
    def is_idle(self) -> bool:
        """Whether no request is queued or in flight."""
        return not self.waiting and not any(self.running.values())

    @property
    def draining(self) -> bool:
        """Whether the server refuses new requests, as far as this gate knows."""
        if self.session.draining:
            return True
        at = self.refused_draining_at
        return at is not None and self.clock.elapsed() - at < DRAINING_REFUSAL_TTL

    def detect_state_change(self) -> bool:
        """Return whether the session has opened or ended since the last call.

        A server that becomes reachable again gets a slow start, as it is cold.
        """
        changed = self.open != self.was_open
        if changed and self.open and self.opened_before:
            self.admission.begin_slow_start(self.clock.elapsed(), SLOW_START_DURATION)
        self.opened_before = self.opened_before or self.open
        self.was_open = self.open
        return changed

    @property
    def open(self) -> bool:
        """Whether the server accepts requests from this gate."""
        return self.session.state is SessionState.OPEN

    async def drain(self) -> None:
        """Reject new requests; return when the last one in flight has ended."""
        self.closing = True
        self.reject_queued()
        while not self.is_idle:
            await self.clock.sleep(DRAIN_POLL_INTERVAL)

    async def pause(self) -> None:
        """Reject new requests, and wait up to `MAX_PAUSE` for those in flight to end."""
        self.paused = True
        end = self.clock.elapsed() + MAX_PAUSE
        while any(self.running.values()) and self.clock.elapsed() < end:
            await self.clock.sleep(DRAIN_POLL_INTERVAL)

    def stand_down(self, due: bool) -> None:
        """While `due`, neither renew nor claim, so that other servers may get the keys."""
        if due and not self.stood_down:
            self.reject_queued()
        self.stood_down = due

    def resume(self) -> None:
        """Accept requests again after `pause`."""
        self.paused = False

    def replace_session(self, session: GateSession) -> None:
        """Continue under a new gate epoch; the grants are claimed again."""
        self.session = session
        self.wake.set()

    def abort_requests(self) -> None:
        """Fail all queued and running requests at once, because the server is lost."""
        self.reject_queued()
        self.pool.close()
        self.pool = ServerPool(self.server, self.service.connection_limit, self.clock)

    def close(self) -> None:
        """Close every connection to the server."""
        self.closing = True
        self.pool.close()

    def debug(self) -> list[tuple[str, object]]:
        """Return the gate's state as (name, value) pairs."""
        now = self.clock.elapsed()
        return [
            ("server", self.server.name),
            ("service", self.service.name),
            ("gate_epoch", "{}.{}".format(*self.session.gate_epoch)),
            ("session", self.session.state.value),
            ("session_over", self.session.over(now)),
            ("in flight", sum(self.running.values())),
            ("closing", self.closing),
            ("stood_down", self.stood_down),
        ]
