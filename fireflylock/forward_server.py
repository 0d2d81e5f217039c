"""The answering end of forwarding: requests of other members for a gate here."""

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
    """Bounds of forwarding.

    Attributes
    ----------
    inline_bytes : int
        Bodies of a known length up to this travel in one message with the head.
    serving : int
        Requests of other members that are served at once.
    streams : int
        Bodies at once, each way, that may use a whole window; further request bodies are
        refused, and further responses get a small window.
    retry_after : timedelta
        When a caller is told to come back whose gate could not be reached.
    """

    inline_bytes: int = 32 * 1024
    max_requests: int = 5_000
    max_streams: int = 256
    retry_after: timedelta = timedelta(seconds=1)


DEFAULT_LIMITS = ForwardLimits()

# Period of the looks at whether the last request has ended.
DRAIN_POLL_INTERVAL = timedelta(milliseconds=5)
# Other members still send requests here until they have heard of the next gate, which takes
# them 0.2 s; each one that comes is answered, and this long after the last one none comes.
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
        Bounds.
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
        """Stop serving the requests of a member that is lost or has restarted."""
        for served in [each for each in self.incoming.values() if each.member == member]:
            self._cancel(served)

    async def drain(self, timeout: timedelta) -> None:
        """Return once no request of another member runs or comes here, or after `timeout`."""
        begun = self.clock.elapsed()
        while self.clock.elapsed() - begun < timeout:
            last = max(begun, self.last_request_at)
            if not self.incoming and self.clock.elapsed() - last >= DRAIN_QUIET:
                return
            await self.clock.sleep(DRAIN_POLL_INTERVAL)

    async def close(self) -> None:
        """Stop serving every request."""
        tasks = [each.task for each in self.incoming.values() if each.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_chunk(self, sender: str, message: BodyChunk) -> None:
        """Take a part of a request's body."""
        served = self.incoming.get((sender, message.exchange_id))
        if served is not None and served.body is not None:
            served.body.on_chunk(message)

    def on_credit(self, sender: str, message: Credit) -> None:
        """Take credit for a response's body."""
        served = self.incoming.get((sender, message.exchange_id))
        if served is not None:
            served.sender.on_credit(message)

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
        sender_of_body = BodySender(message.exchange_id, True, send, message.response_window)
        served = IncomingRequest(sender, message.exchange_id, sender_of_body)
        self.incoming[sender, message.exchange_id] = served
        body: Body = BytesBody(message.body)
        if not message.body_complete:
            body = served.body = ReceivedBody(
                message.exchange_id,
                False,
                send,
                WINDOW_BYTES,
                self.clock,
                deadline,
                lambda whole: None,
            )
        request = decode_request(message, body, deadline)
        served.task = asyncio.create_task(self._serve(served, request, send))

    def _has_capacity(self, message: ForwardRequest) -> bool:
        """Return whether one more request, and its body, may be taken in."""
        if len(self.incoming) >= self.limits.max_requests:
            return False
        if message.body_complete:
            return True
        streams = sum(1 for each in self.incoming.values() if each.body is not None)
        return streams < self.limits.max_streams

    async def _serve(self, served: IncomingRequest, request: Request, send: Send) -> None:
        """Answer one request of another member."""
        response = None
        try:
            response = await self._answer(served, request, send)
            if response is not None:
                await self._send_response(served, request, response, send)
        finally:
            self.incoming.pop((served.member, served.exchange_id), None)
            if response is not None:
                await response.body.close()

    async def _answer(
        self, served: IncomingRequest, request: Request, send: Send
    ) -> Response | None:
        """Return the handler's response; an error goes back at once."""
        try:
            return await self.handler.handle(request)
        except RequestError as error:
            failure = error
        except BodyCutShortError:
            failure = RequestError(ErrorKind.CALLER_GONE, "the request's body was cut short")
        except Exception as error:  # The other side must learn of any fault here.
            self.counts["handler_faults"] += 1
            failure = RequestError(ErrorKind.INTERNAL, type(error).__name__)
        await send(encode_failure(served.exchange_id, failure))
        return None

    async def _send_response(
        self, served: IncomingRequest, request: Request, response: Response, send: Send
    ) -> None:
        """Send head and body of a response; what is not sent by the deadline is cut off."""
        left = (request.deadline - self.clock.elapsed()).total_seconds()
        try:
            async with asyncio.timeout(max(0.0, left)):
                await self._send_whole_response(served, request, response, send)
        except Exception as error:
            # The reader was told, or is told now; a second "cut" changes nothing.
            self.counts["responses_cut"] += 1
            if isinstance(error, TimeoutError):
                await served.sender.cut()

    async def _send_whole_response(
        self, served: IncomingRequest, request: Request, response: Response, send: Send
    ) -> None:
        """Send a short response in one message, a longer one by credit."""
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
            served.exchange_id,
            response.status,
            response.headers,
            data,
            complete,
            response.body_length,
        )
        if not await send(head) or complete:
            return
        if cut:
            await served.sender.cut()
            return
        await served.sender.send_all(response.body)

    def _on_cancel(self, sender: str, message: Cancel) -> None:
        served = self.incoming.get((sender, message.exchange_id))
        if served is not None:
            self._cancel(served)

    def _cancel(self, served: IncomingRequest) -> None:
        """Stop serving a request that nobody waits for."""
        self.counts["cancelled_by_peer"] += 1
        if served.body is not None:
            served.body.fail()
        if served.task is not None:
            served.task.cancel()
