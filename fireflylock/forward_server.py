"""Server side of forwarding: serves requests of other members for gates of this member."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

from fireflylock.body_flow_control import WINDOW_BYTES, BodySender, ReceivedBody, Send
from fireflylock.clock import Clock, Instant
from fireflylock.exceptions import BodyCutShortError, ErrorKind, RequestError
from fireflylock.exchange import Body, BytesBody, Handler, Request, Response
from fireflylock.forward_codec import (
    MILLISECOND,
    RetryingSender,
    decode_request,
    encode_failure,
    has_no_body,
    read_exactly,
)
from fireflylock.messages import BodyChunk, Cancel, Credit, ForwardRequest, ForwardResponse
from fireflylock.peers import Peers


@dataclass(frozen=True)
class ForwardLimits:
    """Limits of forwarding.

    Attributes
    ----------
    inline_bytes : int
        Bodies of a known length up to this are sent in one message with the head.
    max_requests : int
        Maximum number of concurrent requests of other members.
    max_streams : int
        Concurrent bodies in each direction that may use a whole window; further request bodies
        are refused, and further responses get a small window.
    retry_after : timedelta
        Delay that a caller is given when the gate could not be reached.
    """

    inline_bytes: int = 32 * 1024
    max_requests: int = 5_000
    max_streams: int = 256
    retry_after: timedelta = timedelta(seconds=1)


DEFAULT_LIMITS = ForwardLimits()

# Interval of the checks whether the last request has ended.
DRAIN_POLL_INTERVAL = timedelta(milliseconds=5)
# Other members still send requests here until they have learned of the next gate, which takes
# 0.2 s; these are answered, and the drain ends once none has arrived for this long.
DRAIN_QUIET = timedelta(milliseconds=500)


class IncomingRequest:
    """One request that another member sent to a gate here."""

    def __init__(self, member: str, exchange_id: int, sender: BodySender) -> None:
        self.member = member
        self.exchange_id = exchange_id
        self.sender = sender
        self.task: asyncio.Task | None = None
        self.body: ReceivedBody | None = None


class ForwardServer:
    """Serves the requests that other members forward.

    Parameters
    ----------
    peers : Peers
        The transport.
    handler : Handler
        Answers the requests.
    clock : Clock
        Source of time.
    limits : ForwardLimits
        Limits.
    """

    def __init__(
        self, peers: Peers, handler: Handler, clock: Clock, limits: ForwardLimits
    ) -> None:
        self.peers = peers
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.incoming: dict[tuple[str, int], IncomingRequest] = {}
        self.counts: Counter[str] = Counter()
        self.last_request_at: Instant = timedelta(0)
        peers.subscribe(ForwardRequest, self._on_request)
        peers.subscribe(Cancel, self._on_cancel)

    def member_lost(self, member: str) -> None:
        """Cancel the requests of a member that is lost or has restarted."""
        for exchange in [each for each in self.incoming.values() if each.member == member]:
            self._cancel(exchange)

    async def drain(self, timeout: timedelta) -> None:
        """Return once no request of another member runs or arrives, or after `timeout`."""
        started_at = self.clock.elapsed()
        while self.clock.elapsed() - started_at < timeout:
            last = max(started_at, self.last_request_at)
            if not self.incoming and self.clock.elapsed() - last >= DRAIN_QUIET:
                return
            await self.clock.sleep(DRAIN_POLL_INTERVAL)

    async def close(self) -> None:
        """Cancel all requests."""
        tasks = [each.task for each in self.incoming.values() if each.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_chunk(self, sender: str, message: BodyChunk) -> None:
        """Handle a chunk of a request's body."""
        exchange = self.incoming.get((sender, message.exchange_id))
        if exchange is not None and exchange.body is not None:
            exchange.body.on_chunk(message)

    def on_credit(self, sender: str, message: Credit) -> None:
        """Handle credit for a response's body."""
        exchange = self.incoming.get((sender, message.exchange_id))
        if exchange is not None:
            exchange.sender.on_credit(message)

    def _on_request(self, sender: str, message: ForwardRequest) -> None:
        if not self._has_capacity(message):
            error = RequestError(ErrorKind.QUEUE_FULL, "too many requests from other VMs")
            error.retry_after = self.limits.retry_after
            self.peers.send(sender, encode_failure(message.exchange_id, error))
            return
        self.counts["served"] += 1
        self.last_request_at = self.clock.elapsed()
        deadline = self.clock.elapsed() + message.deadline_ms * MILLISECOND
        send = RetryingSender(self.peers, self.clock, sender, deadline)
        body_sender = BodySender(message.exchange_id, True, send, message.response_window)
        exchange = IncomingRequest(sender, message.exchange_id, body_sender)
        self.incoming[sender, message.exchange_id] = exchange
        body: Body = BytesBody(message.body)
        if not message.body_complete:
            body = exchange.body = ReceivedBody(
                message.exchange_id,
                False,
                send,
                WINDOW_BYTES,
                self.clock,
                deadline,
                lambda _complete: None,
            )
        request = decode_request(message, body, deadline)
        exchange.task = asyncio.create_task(self._serve(exchange, request, send))

    def _has_capacity(self, message: ForwardRequest) -> bool:
        """Return whether one more request, and its body, can be accepted."""
        if len(self.incoming) >= self.limits.max_requests:
            return False
        if message.body_complete:
            return True
        streams = sum(1 for each in self.incoming.values() if each.body is not None)
        return streams < self.limits.max_streams

    async def _serve(self, exchange: IncomingRequest, request: Request, send: Send) -> None:
        """Answer one request of another member."""
        response = None
        try:
            response = await self._answer(exchange, request, send)
            if response is not None:
                await self._send_response(exchange, request, response, send)
        finally:
            self.incoming.pop((exchange.member, exchange.exchange_id), None)
            if response is not None:
                await response.body.close()

    async def _answer(
        self, exchange: IncomingRequest, request: Request, send: Send
    ) -> Response | None:
        """Return the handler's response, or send its error and return None."""
        try:
            return await self.handler.handle(request)
        except RequestError as error:
            failure = error
        except BodyCutShortError:
            failure = RequestError(ErrorKind.CALLER_GONE, "the request's body was cut short")
        except Exception as error:  # The requester must be told of any failure here.
            self.counts["handler_faults"] += 1
            failure = RequestError(ErrorKind.INTERNAL, type(error).__name__)
        await send(encode_failure(exchange.exchange_id, failure))
        return None

    async def _send_response(
        self, exchange: IncomingRequest, request: Request, response: Response, send: Send
    ) -> None:
        """Send head and body of a response; the body is cut short at the deadline."""
        remaining = (request.deadline - self.clock.elapsed()).total_seconds()
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                await self._send_whole_response(exchange, request, response, send)
        except Exception as error:
            # The reader was notified, or is notified now; a second "cut" has no effect.
            self.counts["responses_cut"] += 1
            if isinstance(error, TimeoutError):
                await exchange.sender.cut()

    async def _send_whole_response(
        self, exchange: IncomingRequest, request: Request, response: Response, send: Send
    ) -> None:
        """Send a short response in one message, a longer one in chunks as credit allows."""
        length = 0 if has_no_body(request, response) else response.body_length
        data = b""
        complete = length is not None and length <= self.limits.inline_bytes
        cut = False
        if complete:
            try:
                data = await read_exactly(response.body, length)
            except BodyCutShortError:
                complete, cut = False, True
        head = ForwardResponse(
            exchange.exchange_id,
            response.status,
            response.headers,
            data,
            complete,
            response.body_length,
        )
        if not await send(head) or complete:
            return
        if cut:
            await exchange.sender.cut()
            return
        await exchange.sender.send_all(response.body)

    def _on_cancel(self, sender: str, message: Cancel) -> None:
        exchange = self.incoming.get((sender, message.exchange_id))
        if exchange is not None:
            self._cancel(exchange)

    def _cancel(self, exchange: IncomingRequest) -> None:
        """Cancel a request whose response is no longer wanted."""
        self.counts["cancelled_by_peer"] += 1
        if exchange.body is not None:
            exchange.body.fail()
        if exchange.task is not None:
            exchange.task.cancel()
