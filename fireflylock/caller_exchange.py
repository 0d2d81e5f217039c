"""One request of a caller, from its head to the last byte of its response."""

import asyncio
import time
from typing import TYPE_CHECKING

import h11
import structlog

from fireflylock.exceptions import BodyCutShortError, ErrorKind, Outcome, RequestError
from fireflylock.exchange import Headers, Request, Response
from fireflylock.link_pacer import PIECE_BYTES, LinkPacer
from fireflylock.request_metrics import ANSWERED, CALLER_GONE, CUT, NO_SERVICE, NOT_RUN, UNKNOWN
from fireflylock.request_parser import RequestHead

if TYPE_CHECKING:
    from fireflylock.caller import CallerBody, CallerConnection

log = structlog.get_logger()

# Statuses whose responses have no body.
NO_CONTENT = 204
NOT_MODIFIED = 304


class CallerExchange:
    """Handles one request and writes its response.

    Parameters
    ----------
    connection : CallerConnection
        Connection that the request arrived on.
    head : RequestHead
        The parsed head.
    body : CallerBody
        The request's body, which may still be arriving.

    Attributes
    ----------
    request : Request or None
        Request that was passed to the handler; None before, and once the response has begun.
    response_started : bool
        Whether a byte of the response may have been written.
    begun : bool
        Whether its task has run; a task that is cancelled before never runs.
    termination_error : RequestError or None
        Error with which the front end ended the request itself.
    result : str
        How the request ended, as recorded in the metrics.
    """

    def __init__(
        self, connection: "CallerConnection", head: RequestHead, body: "CallerBody"
    ) -> None:
        self.connection = connection
        self.frontend = connection.frontend
        self.head = head
        self.body = body
        self.http = connection.parser.http
        self.request_id = self.frontend.request_id(head)
        self.request: Request | None = None
        self.response_started = False
        self.begun = False
        self.termination_error: RequestError | None = None
        self.service = NO_SERVICE
        self.result = ANSWERED

    async def run(self) -> None:
        """Handle the request and write its response; cancelled if the caller disconnects."""
        started = time.perf_counter()
        self.begun = True
        try:
            response = await self.get_response()
            self.request = None
            self.response_started = True
            await self.write(response)
        except asyncio.CancelledError:
            self.result = CALLER_GONE
            raise
        finally:
            metrics = self.frontend.metrics
            if metrics is not None:
                metrics.request_finished(self.service, self.result, time.perf_counter() - started)

    async def get_response(self) -> Response:
        """Return the handler's response, or an error response of the system."""
        try:
            if self.termination_error is not None:
                raise RequestError(ErrorKind.STOPPING)
            self.request = self.frontend.request(self.head, self.request_id, self.body)
            self.service = self.request.service
            return await self.frontend.handler.handle(self.request)
        except RequestError as error:
            return self.system_response(error)
        except BodyCutShortError as error:
            return self.system_response(RequestError(ErrorKind.OUTCOME_UNKNOWN, str(error)))
        except asyncio.CancelledError:
            if self.termination_error is None:
                raise
            asyncio.current_task().uncancel()
            return self.system_response(self.termination_error)
        except Exception:
            log.exception("request failed", request_id=self.request_id)
            return self.system_response(RequestError(ErrorKind.INTERNAL))

    def system_response(self, error: RequestError) -> Response:
        """Return an error response; an error of the caller's body takes precedence."""
        outcome = Outcome.NOT_RUN if error.not_run else Outcome.UNKNOWN
        self.result = NOT_RUN if error.not_run else UNKNOWN
        error = self.body.error or error
        self.frontend.count_error(self.service, error.kind)
        return self.frontend.make_error_response(error, self.request_id, outcome)

    async def write(self, response: Response) -> None:
        """Write the response; if its body is truncated, reset the connection."""
        try:
            await self.write_head_and_body(response)
        except asyncio.CancelledError:
            self.truncate()
            if self.termination_error is None:
                raise
            asyncio.current_task().uncancel()
        except Exception as error:
            log.warning("response truncated", request_id=self.request_id, error=str(error))
            self.truncate()
        finally:
            await response.body.close()

    def truncate(self) -> None:
        """Reset the connection, so that the response can't be mistaken for a complete one."""
        self.result = CUT
        self.frontend.counters.truncated_responses += 1
        self.connection.abort()

    async def write_head_and_body(self, response: Response) -> None:
        """Write the head, body and end of the response."""
        connection = self.connection
        transport = connection.transport
        send = self.http.send
        headers = self.response_headers(response)
        data = send(h11.Response(status_code=response.status, headers=headers))
        self.frontend.counters.count_response(response.status)
        if self.head.method == b"HEAD" or response.status in (NO_CONTENT, NOT_MODIFIED):
            transport.write(data + send(h11.EndOfMessage()))
            return
        pacer = self.frontend.pacer
        if connection.writable is not None:
            # The caller has not read earlier responses; nothing may pile up behind them.
            await connection.writable
        ready = response.body.read_nowait()
        if response.body.at_end() and (pacer is None or len(ready) <= PIECE_BYTES):
            if ready:
                data += send(h11.Data(data=ready))
            data += send(h11.EndOfMessage())
            if pacer is not None:
                pacer.record_written(len(data))
            transport.write(data)
            return
        transport.write(data)
        chunk = ready or await response.body.read()
        while chunk:
            await self.write_chunk(chunk, pacer)
            chunk = await response.body.read()
        transport.write(send(h11.EndOfMessage()))

    async def write_chunk(self, chunk: bytes, pacer: LinkPacer | None) -> None:
        """Write a part of the body as fast as the link and the caller take it."""
        connection = self.connection
        size = len(chunk) if pacer is None else PIECE_BYTES
        for start in range(0, len(chunk), size):
            piece = chunk[start : start + size]
            if pacer is not None:
                await pacer.wait(len(piece))
            if connection.writable is not None:
                await connection.writable
            connection.transport.write(self.http.send(h11.Data(data=piece)))

    def response_headers(self, response: Response) -> Headers:
        """Return the headers to write, including those of this connection."""
        headers = [*response.headers, (self.frontend.request_id_header, self.request_id.encode())]
        if response.body_length is not None and response.status != NO_CONTENT:
            headers.append((b"content-length", b"%d" % response.body_length))
        if self.connection.must_close():
            headers.append((b"connection", b"close"))
        return headers

    def terminate(self, error: RequestError) -> None:
        """End the request with an error response, or truncate a response that has begun.

        A request that no handler has seen is refused.
        """
        if self.termination_error is not None:
            return
        self.termination_error = error
        if self.begun:
            self.connection.task.cancel()
