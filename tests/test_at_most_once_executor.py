"""Tests of orders: at most one run, joined repeats, stored answers, reused keys."""

import asyncio
from datetime import timedelta

import pytest

from fireflylock.at_most_once_executor import REPLAYED, AtMostOnceExecutor, BackendSender
from fireflylock.clock import FakeClock
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import BytesBody, Request, Response
from fireflylock.idempotency import IdempotencyWindow

UNIT = 3


class Server(BackendSender):
    """Answers orders when it is told to, or fails them."""

    def __init__(self, failure: ErrorKind | None = None) -> None:
        self.failure = failure
        self.runs = 0
        self.go_on = asyncio.Event()

    async def send(self, request, entry):
        self.runs += 1
        await self.go_on.wait()
        if self.failure is not None:
            raise RequestError(self.failure)
        return Response(201, [], BytesBody(b"two looms"), 9)

    def on_settled(self, entry):
        pass


def order(body: bytes = b"300 sacks", key: str = "o-1") -> Request:
    return Request(
        "r",
        "desk",
        "molino",
        "molino",
        "POST",
        b"/orders",
        [],
        BytesBody(body),
        len(body),
        timedelta(seconds=10),
        False,
        key,
    )


@pytest.fixture
def orders():
    return AtMostOnceExecutor(IdempotencyWindow(), FakeClock())


async def test_a_repeat_joins_the_order_under_way_and_later_ones_get_its_answer(orders):
    server = Server()
    first = asyncio.create_task(orders.handle(order(), UNIT, server))
    second = asyncio.create_task(orders.handle(order(), UNIT, server))
    await asyncio.sleep(0)
    server.go_on.set()
    answers = [await first, await second, await orders.handle(order(), UNIT, server)]
    assert [await answer.body.read() for answer in answers] == [b"two looms"] * 3
    assert [REPLAYED in answer.headers for answer in answers] == [False, True, True]
    assert server.runs == 1


async def test_the_same_key_with_another_body_of_the_same_length_is_refused(orders):
    server = Server()
    server.go_on.set()
    await orders.handle(order(b"300 sacks"), UNIT, server)
    with pytest.raises(RequestError) as caught:
        await orders.handle(order(b"400 sacks"), UNIT, server)
    assert caught.value.kind is ErrorKind.IDEMPOTENCY_KEY_REUSED
    assert server.runs == 1


async def test_an_order_goes_on_when_its_caller_leaves(orders):
    server = Server()
    caller = asyncio.create_task(orders.handle(order(), UNIT, server))
    await asyncio.sleep(0)
    caller.cancel()
    server.go_on.set()
    await orders.finish()
    assert REPLAYED in (await orders.handle(order(), UNIT, server)).headers
    assert server.runs == 1


async def test_an_order_that_did_not_run_may_run_at_the_next_try(orders):
    server = Server(ErrorKind.QUEUE_FULL)
    server.go_on.set()
    with pytest.raises(RequestError):
        await orders.handle(order(), UNIT, server)
    server.failure = None
    assert (await orders.handle(order(), UNIT, server)).status == 201


async def test_an_order_that_may_have_run_is_never_run_again(orders):
    server = Server(ErrorKind.OUTCOME_UNKNOWN)
    server.go_on.set()
    for kind in (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.IDEMPOTENCY_UNKNOWN):
        with pytest.raises(RequestError) as caught:
            await orders.handle(order(), UNIT, server)
        assert caught.value.kind is kind
    assert server.runs == 1
