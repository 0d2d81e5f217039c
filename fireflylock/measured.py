"""A handler that counts and times the requests it passes on."""

from fireflylock.clock import Clock, Instant
from fireflylock.exceptions import BodyCutShortError, RequestError
from fireflylock.exchange import Body, Handler, Request, Response
from fireflylock.metrics import Metrics

ANSWERED = "answered"
REFUSED = "refused"
UNKNOWN = "unknown"
# No body is read for answers of these statuses.
WITHOUT_BODY = frozenset({204, 304})


class MeasuredHandler(Handler):
    """Passes requests on and keeps the metrics of callers' requests.

    Parameters
    ----------
    handler : Handler
        Answers the requests.
    metrics : Metrics
        Where they are counted.
    clock : Clock
        Times them.
    """

    def __init__(self, handler: Handler, metrics: Metrics, clock: Clock) -> None:
        self.handler = handler
        self.metrics = metrics
        self.clock = clock

    async def handle(self, request: Request) -> Response:
        """Answer `request`; it counts as in flight until its answer's body has ended."""
        measurement = Measurement(self, request)
        try:
            response = await self.handler.handle(request)
        except RequestError as error:
            measurement.refuse(error)
            raise
        except BaseException:
            measurement.end(UNKNOWN)
            raise
        if request.method == "HEAD" or response.status in WITHOUT_BODY:
            measurement.end(ANSWERED)
        response.body = MeasuredBody(response.body, measurement)
        return response


class Measurement:
    """One request on its way.

    Parameters
    ----------
    handler : MeasuredHandler
        Names metrics and clock.
    request : Request
        The request.
    """

    def __init__(self, handler: MeasuredHandler, request: Request) -> None:
        self.metrics = handler.metrics
        self.clock = handler.clock
        self.service = self.metrics.services.bound(request.service)
        self.started: Instant = self.clock.elapsed()
        self.ended = False
        self.metrics.in_flight.labels(self.service).inc()

    def refuse(self, error: RequestError) -> None:
        """Count an answer that this system gives itself."""
        self.metrics.errors.labels(self.service, error.kind.value).inc()
        self.end(REFUSED if error.not_run else UNKNOWN)

    def end(self, result: str) -> None:
        """Count the request once, whichever way it ended first."""
        if self.ended:
            return
        self.ended = True
        self.metrics.in_flight.labels(self.service).dec()
        self.metrics.requests.labels(self.service, result).inc()
        spent = self.clock.elapsed() - self.started
        self.metrics.request_time.labels(self.service).observe(spent.total_seconds())


class MeasuredBody(Body):
    """An answer's body that ends the measurement of its request.

    Parameters
    ----------
    body : Body
        The body.
    measurement : Measurement
        Ended when the body has ended or was given up.
    """

    def __init__(self, body: Body, measurement: Measurement) -> None:
        self.body = body
        self.measurement = measurement

    async def read(self) -> bytes:
        """Return the next chunk; the last one ends the measurement."""
        try:
            chunk = await self.body.read()
        except BodyCutShortError:
            self.measurement.end(UNKNOWN)
            raise
        if not chunk:
            self.measurement.end(ANSWERED)
        return chunk

    async def close(self) -> None:
        """Release the body; one that was not read to its end counts as unknown."""
        self.measurement.end(UNKNOWN)
        await self.body.close()
