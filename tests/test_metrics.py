"""Tests of the metrics."""

import asyncio
import contextlib
from dataclasses import replace
from datetime import timedelta

import pytest

from fireflylock.clock import FakeClock
from fireflylock.exceptions import BodyCutShortError, ErrorKind, RequestError
from fireflylock.exchange import Body, BytesBody, Handler, Request, Response, read_all
from fireflylock.loop_lag import measure_loop_lag
from fireflylock.measured import MeasuredHandler
from fireflylock.metrics import OTHER, LabelValues, Metrics, Reading
from fireflylock.model import Configuration
from fireflylock.nodemetrics import NodeReadings
from fireflylock.sheet import read_sheet
from tests.fakenode import FakeNode
from tests.test_sheet import SHEET

REQUEST = Request(
    request_id="r1",
    service="mesa",
    key="k",
    customer="k",
    method="GET",
    target=b"/",
    headers=[],
    body=BytesBody(),
    body_length=0,
    deadline=timedelta(seconds=1),
    idempotent=True,
)


class CutShort(Body):
    """A body whose sender stops."""

    async def read(self) -> bytes:
        raise BodyCutShortError


class Scripted(Handler):
    """Answers with a body, or raises an error."""

    def __init__(self, outcome) -> None:
        self.outcome = outcome

    async def handle(self, request: Request) -> Response:
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return Response(200, body=self.outcome)


async def handle(handler: Handler) -> None:
    response = await handler.handle(REQUEST)
    await read_all(response.body, 1000)
    await response.body.close()


@pytest.mark.parametrize(
    ("outcome", "result", "kind"),
    [
        (BytesBody(b"x"), "answered", ""),
        (CutShort(), "unknown", ""),
        (RequestError(ErrorKind.QUEUE_FULL), "refused", "queue-full"),
        (RequestError(ErrorKind.OUTCOME_UNKNOWN), "unknown", "outcome-unknown"),
        (ZeroDivisionError(), "unknown", ""),
    ],
)
async def test_each_request_is_counted_once(outcome, result, kind):
    metrics = Metrics()
    handler = MeasuredHandler(Scripted(outcome), metrics, FakeClock())
    with contextlib.suppress(RequestError, BodyCutShortError, ZeroDivisionError):
        await handle(handler)
    value = metrics.registry.get_sample_value
    assert value("fireflylock_requests_total", {"service": "mesa", "result": result}) == 1
    assert value("fireflylock_requests_in_flight", {"service": "mesa"}) == 0
    assert value("fireflylock_request_seconds_count", {"service": "mesa"}) == 1
    if kind:
        assert value("fireflylock_errors_total", {"service": "mesa", "kind": kind}) == 1


def test_labels_are_bounded():
    values = LabelValues(2)
    assert [values.bound(name) for name in "abcab"] == ["a", "b", OTHER, "a", "b"]
    metrics = Metrics(label_limit=3)
    many = [((str(number),), 1.0) for number in range(10)]
    metrics.state.readings.append(Reading("many", "Many.", ("name",), lambda: many))
    assert metrics.text().count(b"fireflylock_many{") == 3


def test_state_is_read_at_the_scrape():
    node = FakeNode(replace(read_sheet(SHEET, Configuration()), version=4))
    metrics = Metrics()
    NodeReadings(node).add_to(metrics)
    value = metrics.registry.get_sample_value
    assert value("fireflylock_configuration_version") == 4
    assert value("fireflylock_members", {"state": "silent"}) == 1
    labels = {"service": "mesa-pedidos", "server": "mesa-1"}
    assert value("fireflylock_units", labels) == 4
    assert value("fireflylock_queue_requests", labels) == 2
    assert value("fireflylock_sessions", {"state": "open"}) == 2
    assert value("fireflylock_unit_moves_total", {"service": "mesa-pedidos"}) == 5
    node.current = replace(node.current, version=5)
    assert value("fireflylock_configuration_version") == 5


async def test_loop_lag_is_recorded_for_each_period():
    clock, metrics = FakeClock(), Metrics()
    task = asyncio.create_task(measure_loop_lag(clock, metrics))
    for _ in range(3):
        await asyncio.sleep(0)
        clock.advance(timedelta(milliseconds=500))
        await asyncio.sleep(0)
    task.cancel()
    assert metrics.registry.get_sample_value("fireflylock_loop_lag_seconds_count") == 3
    total = metrics.registry.get_sample_value("fireflylock_loop_lag_seconds_sum")
    assert total == pytest.approx(0.9)
