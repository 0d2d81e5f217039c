"""Forwards requests to gates on other members, and returns their responses."""

import asyncio
import itertools
import random
from collections import Counter

from fireflylock.body_flow_control import (
    SMALL_WINDOW_BYTES,
    WINDOW_BYTES,
    BodySender,
    ReceivedBody,
)
from fireflylock.clock import Clock, Instant
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import Body, BytesBody, Handler, Request, Response
from fireflylock.forward_codec import (
    FULL_QUEUE_TIMEOUT,
    MILLISECOND,
    RetryingSender,
    decode_failure,
    encode_request,
    read_exactly,
)
from fireflylock.forward_server import DEFAULT_LIMITS, ForwardLimits, ForwardServer
from fireflylock.http1 import FINAL_STATUSES
from fireflylock.messages import BodyChunk, Cancel, Credit, ForwardFailure, ForwardResponse
from fireflylock.peers import Peers


class OutgoingRequest:
    """One request that this member sent to a gate on another member."""

    def __init__(self, member: str, exchange_id: int, window: int, deadline: Instant) -> None:
        self.member = member
        self.exchange_id = exchange_id
        self.window = window
        self.deadline = deadline
        self.response_future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self.sender: BodySender | None = None
        self.send_task: asyncio.Task | None = None
        self.body: ReceivedBody | None = None

    def fail(self, error: RequestError) -> None:
        """End the exchange with an error, or cut its body short after the response's head."""
        if not self.response_future.done():
            self.response_future.set_exception(error)
        elif self.body is not None:
            self.body.fail()


class Forwarder:
    """Sends requests to other members, and serves theirs.

    Parameters
    ----------
    peers : Peers
        The transport.
    handler : Handler
        Answers the requests of other members.
    clock : Clock
        Source of time.
    limits : ForwardLimits
        Limits.
    """

    def __init__(
        self,
        peers: Peers,
        handler: Handler,
        clock: Clock,
        limits: ForwardLimits = DEFAULT_LIMITS,
    ) -> None:
        self.peers = peers
        self.clock = clock
        self.limits = limits
        self.server = ForwardServer(peers, handler, clock, limits)
        self.outgoing: dict[int, OutgoingRequest] = {}
        self.counts: Counter[str] = Counter()
        # The ids start at random, so that responses to an earlier process of this name match none.
        self.exchange_ids = itertools.count(random.getrandbits(62))
        peers.subscribe(ForwardResponse, self._on_response)
        peers.subscribe(ForwardFailure, self._on_failure)
        peers.subscribe(BodyChunk, self._on_chunk)
        peers.subscribe(Credit, self._on_credit)

    async def handle(
        self, member: str, request: Request, assignment_revision: int = 0
    ) -> Response:
        """Forward `request` to the gate on `member` and return the response.

        Raises
        ------
        RequestError
            ``OWNER_UNREACHABLE`` and ``DEADLINE_TOO_SHORT`` mean that nothing was sent, and
            the request's body is unchanged.  Unless `member` itself reported "not run", any
            other failure is "outcome unknown".
        """
        body = await self._inline_body(request)
        remaining = request.deadline - self.clock.elapsed()
        if remaining < MILLISECOND:
            raise RequestError(ErrorKind.DEADLINE_TOO_SHORT, retry_after=self.limits.retry_after)
        exchange = OutgoingRequest(
            member, next(self.exchange_ids), self._response_window(), request.deadline
        )
        message = encode_request(
            exchange.exchange_id, request, body, remaining, exchange.window, assignment_revision
        )
        if not self.peers.send(member, message):
            self.counts["unreachable"] += 1
            raise RequestError(
                ErrorKind.OWNER_UNREACHABLE, member, retry_after=self.limits.retry_after
            )
        self.counts["sent"] += 1
        self.outgoing[exchange.exchange_id] = exchange
        if body is None:
            send = RetryingSender(self.peers, self.clock, member, request.deadline)
            exchange.sender = BodySender(exchange.exchange_id, False, send)
            exchange.send_task = asyncio.create_task(self._send_body(exchange, request.body))
        return await self._wait_for_response(exchange)

    def member_lost(self, member: str) -> None:
        """End every exchange with a member that is lost or has restarted."""
        for exchange in [each for each in self.outgoing.values() if each.member == member]:
            exchange.fail(RequestError(ErrorKind.OUTCOME_UNKNOWN, f"{member} was lost"))
        self.server.member_lost(member)

    async def close(self) -> None:
        """End every exchange."""
        for member in {each.member for each in self.outgoing.values()}:
            self.member_lost(member)
        await self.server.close()

    def state(self) -> list[tuple[str, object]]:
        """Return the entries of a debug dump, as names and values."""
        lines: list[tuple[str, object]] = [
            ("forwarding.outgoing", len(self.outgoing)),
            ("forwarding.incoming", len(self.server.incoming)),
        ]
        counts = self.counts + self.server.counts
        return lines + [(f"forwarding.{name}", n) for name, n in sorted(counts.items())]

    async def _inline_body(self, request: Request) -> bytes | None:
        """Return the body when it is short enough to be sent with the head."""
        length = request.body_length
        if length is None or length > self.limits.inline_bytes:
            return None
        data = await read_exactly(request.body, length)
        # When sending fails, the same body can still be sent to another gate.
        request.body = BytesBody(data)
        return data

    def _response_window(self) -> int:
        """Return how many bytes of a response may be in transit to this member."""
        if len(self.outgoing) < self.limits.max_streams:
            return WINDOW_BYTES
        return SMALL_WINDOW_BYTES

    async def _send_body(self, exchange: OutgoingRequest, body: Body) -> None:
        """Send a request's body; a failure to read it from the caller ends the exchange."""
        try:
            await exchange.sender.send_all(body)
        except Exception as error:
            failure = RequestError(ErrorKind.CALLER_GONE, "the request's body was cut short")
            if isinstance(error, RequestError) and not error.not_run:
                failure = error
            exchange.fail(failure)

    async def _wait_for_response(self, exchange: OutgoingRequest) -> Response:
        """Return the response, or cancel the exchange at its deadline."""
        remaining = max(0.0, (exchange.deadline - self.clock.elapsed()).total_seconds())
        try:
            async with asyncio.timeout(remaining):
                response = await exchange.response_future
        except TimeoutError as error:
            self._cancel(exchange)
            raise RequestError(ErrorKind.DEADLINE_EXCEEDED, exchange.member) from error
        except asyncio.CancelledError:
            self._cancel(exchange)
            raise
        except RequestError:
            self._remove(exchange)
            raise
        if exchange.body is None:
            self._remove(exchange)
        return response

    def _cancel(self, exchange: OutgoingRequest) -> None:
        """Remove the exchange and tell the receiver that the response is no longer wanted."""
        self._remove(exchange)
        self.counts["cancelled"] += 1
        self.peers.send(exchange.member, Cancel(exchange.exchange_id))

    def _remove(self, exchange: OutgoingRequest) -> None:
        """Remove the exchange; messages that arrive for it later are ignored."""
        self.outgoing.pop(exchange.exchange_id, None)
        if exchange.send_task is not None:
            exchange.send_task.cancel()

    def _on_response(self, sender: str, message: ForwardResponse) -> None:
        exchange = self._find_exchange(sender, message.exchange_id)
        if exchange is None or exchange.response_future.done():
            self.counts["late_answers"] += 1
            return
        if message.status not in FINAL_STATUSES:
            detail = f"the status {message.status} does not exist"
            exchange.fail(RequestError(ErrorKind.OUTCOME_UNKNOWN, detail))
            return
        body: Body = BytesBody(message.body)
        if not message.body_complete:
            body = exchange.body = self._response_body(exchange)
        headers = [(name, value) for name, value in message.headers]
        response = Response(message.status, headers, body, message.body_length)
        exchange.response_future.set_result(response)

    def _response_body(self, exchange: OutgoingRequest) -> ReceivedBody:
        def on_close(complete: bool) -> None:
            if complete:
                self._remove(exchange)
                return
            self._cancel(exchange)

        return ReceivedBody(
            exchange.exchange_id,
            True,
            RetryingSender(self.peers, self.clock, exchange.member, exchange.deadline),
            exchange.window,
            self.clock,
            exchange.deadline + FULL_QUEUE_TIMEOUT,
            on_close,
        )

    def _on_failure(self, sender: str, message: ForwardFailure) -> None:
        exchange = self._find_exchange(sender, message.exchange_id)
        if exchange is None:
            self.counts["late_answers"] += 1
            return
        exchange.fail(decode_failure(message))

    def _find_exchange(self, sender: str, exchange_id: int) -> OutgoingRequest | None:
        """Return the exchange if its request was sent to `sender`."""
        exchange = self.outgoing.get(exchange_id)
        if exchange is None or exchange.member != sender:
            return None
        return exchange

    def _on_chunk(self, sender: str, message: BodyChunk) -> None:
        if not message.of_response:
            self.server.on_chunk(sender, message)
            return
        exchange = self._find_exchange(sender, message.exchange_id)
        if exchange is not None and exchange.body is not None:
            exchange.body.on_chunk(message)

    def _on_credit(self, sender: str, message: Credit) -> None:
        if message.of_response:
            self.server.on_credit(sender, message)
            return
        exchange = self._find_exchange(sender, message.exchange_id)
        if exchange is not None and exchange.sender is not None:
            exchange.sender.on_credit(message)
