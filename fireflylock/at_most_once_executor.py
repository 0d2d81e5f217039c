"""AtMostOnceExecutor: requests with an ``Idempotency-Key``, each of which runs at most once."""

import asyncio
from abc import ABC, abstractmethod
from datetime import timedelta

import xxhash

from fireflylock.clock import Clock
from fireflylock.exceptions import BodyCutShortError, ErrorKind, RequestError
from fireflylock.exchange import BytesBody, Request, Response, read_all
from fireflylock.idempotency import (
    Entry,
    Full,
    IdempotencyWindow,
    Join,
    Reused,
    Run,
    Stored,
    StoredResponse,
    Unknown,
)

REPLAYED = (b"fireflylock-replayed", b"yes")


class BackendSender(ABC):
    """Sends one order to its backend server."""

    @abstractmethod
    async def send(self, request: Request, entry: Entry) -> Response:
        """Send `request`; see `Handler.handle`."""

    @abstractmethod
    def on_settled(self, entry: Entry) -> None:
        """Take notice that it is known how the order ended."""


class AtMostOnceExecutor:
    """Runs the orders of one service and remembers how they ended.

    An order goes on when its caller leaves, so that the caller's retry, here or at another
    entry VM, finds the answer.

    Parameters
    ----------
    window : IdempotencyWindow
        What is remembered.
    clock : Clock
        Time.
    """

    def __init__(self, window: IdempotencyWindow, clock: Clock) -> None:
        self.window = window
        self.clock = clock
        self.tasks: set[asyncio.Task[None]] = set()

    async def handle(self, request: Request, unit: int, sender: BackendSender) -> Response:
        """Answer an order: run it, join it, or repeat its answer.

        Parameters
        ----------
        request : Request
            The order.
        unit : int
            The unit that its key belongs to.
        sender : BackendSender
            Sends the order to the backend server.

        Raises
        ------
        RequestError
            The system answers itself.
        """
        while True:
            decision = self.window.begin(
                self.clock.elapsed(),
                self.clock.now(),
                request.service,
                unit,
                request.key,
                request.idempotency_key,
                fingerprint(request),
            )
            if isinstance(decision, Run):
                return await self.run(request, decision.entry, sender)
            if not isinstance(decision, Join):
                return self.immediate_response(decision)
            response = await self.join(decision.entry, request)
            if response is not None:
                return response

    def immediate_response(self, decision: Stored | Unknown | Reused | Full) -> Response:
        """Return the answer that needs no waiting."""
        if isinstance(decision, Stored):
            return replay(decision.response)
        if isinstance(decision, Reused):
            raise RequestError(ErrorKind.IDEMPOTENCY_KEY_REUSED)
        if isinstance(decision, Full):
            raise RequestError(ErrorKind.QUEUE_FULL, retry_after=decision.retry_after)
        raise RequestError(ErrorKind.IDEMPOTENCY_UNKNOWN)

    async def run(self, request: Request, entry: Entry, sender: BackendSender) -> Response:
        """Run a new order in a task of its own and return its answer."""
        answered = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(self.execute(request, entry, sender, answered))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return await asyncio.shield(answered)

    async def execute(
        self,
        request: Request,
        entry: Entry,
        sender: BackendSender,
        answered: asyncio.Future[Response],
    ) -> None:
        """Send the order, settle its entry, and hand the answer to who waits."""
        try:
            response = await sender.send(request, entry)
            stored = await self.read(response)
        except RequestError as error:
            self.settle_failure(entry, error)
            fail(answered, error)
            return
        except BodyCutShortError as error:
            self.window.finish(self.clock.elapsed(), entry, None)
            fail(answered, RequestError(ErrorKind.OUTCOME_UNKNOWN, str(error)))
            return
        except BaseException as error:
            # Whatever stopped the order, it may have run.
            self.window.finish(self.clock.elapsed(), entry, None)
            fail(answered, RequestError(ErrorKind.OUTCOME_UNKNOWN, type(error).__name__))
            raise
        self.window.finish(self.clock.elapsed(), entry, stored)
        sender.on_settled(entry)
        if not answered.done():
            answered.set_result(answer(stored))

    async def read(self, response: Response) -> StoredResponse:
        """Return the whole answer; orders have short ones."""
        body = await read_all(response.body, self.window.limits.bytes)
        if body is None:
            await response.body.close()
            raise BodyCutShortError("the answer to an order is too long to be kept")
        return StoredResponse(response.status, response.headers, body)

    def settle_failure(self, entry: Entry, error: RequestError) -> None:
        """Forget an order that certainly did not run; remember any other as unknown."""
        if error.not_run:
            self.window.abandon(entry)
            return
        self.window.finish(self.clock.elapsed(), entry, None)

    async def join(self, entry: Entry, request: Request) -> Response | None:
        """Wait for the same order; None when it did not run, so that this one may."""
        ended = asyncio.get_running_loop().create_future()

        def listener(entry: Entry) -> None:
            if not ended.done():
                ended.set_result((entry.abandoned, entry.response))

        entry.listeners.append(listener)
        remaining = max(request.deadline - self.clock.elapsed(), timedelta(0))
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                abandoned, response = await ended
        except TimeoutError:
            raise RequestError(ErrorKind.DEADLINE_EXCEEDED) from None
        if abandoned:
            return None
        if response is None:
            raise RequestError(ErrorKind.IDEMPOTENCY_UNKNOWN)
        return replay(response)

    async def finish(self) -> None:
        """Return when no order is under way."""
        while self.tasks:
            await asyncio.wait(list(self.tasks))


def fingerprint(request: Request) -> bytes:
    """Return a digest of what makes two requests the same.

    Of a body that is not in memory only the length counts.
    """
    body = request.body
    content = body.data if isinstance(body, BytesBody) else b""
    parts = (request.method.encode(), request.target, str(request.body_length).encode(), content)
    return xxhash.xxh3_128_digest(b"\0".join(parts))


def answer(stored: StoredResponse) -> Response:
    """Return a kept answer as a response."""
    body = BytesBody(stored.body)
    return Response(stored.status, list(stored.headers), body, len(stored.body))


def replay(stored: StoredResponse) -> Response:
    """Return a kept answer, marked as a repetition."""
    response = answer(stored)
    response.headers.append(REPLAYED)
    return response


def fail(answered: asyncio.Future[Response], error: RequestError) -> None:
    """Hand `error` to who waits, if anybody does."""
    if answered.done():
        return
    answered.set_exception(error)
    # The caller may have left; an exception that nobody takes would be logged.
    answered.exception()
