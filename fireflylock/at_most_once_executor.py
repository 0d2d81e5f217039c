"""Execution of requests with an ``Idempotency-Key``, each of which runs at most once."""

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
    """Sends one request to its backend server."""

    @abstractmethod
    async def send(self, request: Request, entry: Entry) -> Response:
        """Send `request`; see `Handler.handle`."""

    @abstractmethod
    def on_settled(self, entry: Entry) -> None:
        """Handle that the outcome of the request is known."""


class AtMostOnceExecutor:
    """Runs requests with an ``Idempotency-Key`` of one service and remembers their outcomes.

    A request continues when its caller disconnects, so that the caller's retry, here or at
    another entry VM, finds the response.

    Parameters
    ----------
    window : IdempotencyWindow
        The remembered requests and their outcomes.
    clock : Clock
        Time.
    """

    def __init__(self, window: IdempotencyWindow, clock: Clock) -> None:
        self.window = window
        self.clock = clock
        self.tasks: set[asyncio.Task[None]] = set()

    async def handle(self, request: Request, unit: int, sender: BackendSender) -> Response:
        """Run a request, join the same one in flight, or replay its response.

        Parameters
        ----------
        request : Request
            The request, with an ``Idempotency-Key``.
        unit : int
            The unit that its key belongs to.
        sender : BackendSender
            Sends the request to the backend server.

        Raises
        ------
        RequestError
            No response of a backend server can be returned.
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
        """Return the response, or raise the error, that needs no waiting."""
        if isinstance(decision, Stored):
            return replay(decision.response)
        if isinstance(decision, Reused):
            raise RequestError(ErrorKind.IDEMPOTENCY_KEY_REUSED)
        if isinstance(decision, Full):
            raise RequestError(ErrorKind.QUEUE_FULL, retry_after=decision.retry_after)
        raise RequestError(ErrorKind.IDEMPOTENCY_UNKNOWN)

    async def run(self, request: Request, entry: Entry, sender: BackendSender) -> Response:
        """Run a new request in a task of its own and return its response."""
        response_future = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(self.execute(request, entry, sender, response_future))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return await asyncio.shield(response_future)

    async def execute(
        self,
        request: Request,
        entry: Entry,
        sender: BackendSender,
        response_future: asyncio.Future[Response],
    ) -> None:
        """Send the request, settle its entry, and resolve the future."""
        try:
            response = await sender.send(request, entry)
            stored = await self.read(response)
        except RequestError as error:
            self.settle_failure(entry, error)
            fail(response_future, error)
            return
        except BodyCutShortError as error:
            self.window.finish(self.clock.elapsed(), entry, None)
            fail(response_future, RequestError(ErrorKind.OUTCOME_UNKNOWN, str(error)))
            return
        except BaseException as error:
            # The request may have run, whatever the exception.
            self.window.finish(self.clock.elapsed(), entry, None)
            fail(response_future, RequestError(ErrorKind.OUTCOME_UNKNOWN, type(error).__name__))
            raise
        self.window.finish(self.clock.elapsed(), entry, stored)
        sender.on_settled(entry)
        if not response_future.done():
            response_future.set_result(to_response(stored))

    async def read(self, response: Response) -> StoredResponse:
        """Return the whole response, which must fit into the window."""
        body = await read_all(response.body, self.window.limits.bytes)
        if body is None:
            await response.body.close()
            raise BodyCutShortError("the answer to an order is too long to be kept")
        return StoredResponse(response.status, response.headers, body)

    def settle_failure(self, entry: Entry, error: RequestError) -> None:
        """Forget a request that certainly did not run; remember any other as unknown."""
        if error.not_run:
            self.window.abandon(entry)
            return
        self.window.finish(self.clock.elapsed(), entry, None)

    async def join(self, entry: Entry, request: Request) -> Response | None:
        """Return the response of the same request in flight, or None if it did not run."""
        ended = asyncio.get_running_loop().create_future()

        def listener(settled_entry: Entry) -> None:
            if not ended.done():
                ended.set_result((settled_entry.abandoned, settled_entry.response))

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
        """Return when no request is in flight."""
        while self.tasks:
            await asyncio.wait(list(self.tasks))


def fingerprint(request: Request) -> bytes:
    """Return a digest by which two requests count as the same.

    For a body that is not in memory, only the length is included.
    """
    body = request.body
    content = body.data if isinstance(body, BytesBody) else b""
    parts = (request.method.encode(), request.target, str(request.body_length).encode(), content)
    return xxhash.xxh3_128_digest(b"\0".join(parts))


def to_response(stored: StoredResponse) -> Response:
    """Return a stored response as a response to the caller."""
    body = BytesBody(stored.body)
    return Response(stored.status, list(stored.headers), body, len(stored.body))


def replay(stored: StoredResponse) -> Response:
    """Return a stored response, marked as replayed."""
    response = to_response(stored)
    response.headers.append(REPLAYED)
    return response


def fail(response_future: asyncio.Future[Response], error: RequestError) -> None:
    """Set `error` as the exception of the future unless it is done."""
    if response_future.done():
        return
    response_future.set_exception(error)
    # asyncio would log an exception that nobody retrieves, as when the caller disconnected.
    response_future.exception()
