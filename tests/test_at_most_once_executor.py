"""Tests of at-most-once execution: joined retries, stored responses, reused keys."""

import asyncio
from datetime import timedelta

import pytest

from fireflylock.at_most_once_executor import REPLAYED, AtMostOnceExecutor, BackendSender
from fireflylock.clock import FakeClock
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import BytesBody, Request, Response
from fireflylock.idempotency import IdempotencyWindow

UNIT = 3


class FakeSender(BackendSender):
    """Responds, or fails, once `may_respond` is set."""

    def __init__(self, failure: ErrorKind | None = None) -> None:
        self.failure = failure
        self.runs = 0
        self.may_respond = asyncio.Event()

    async def send(self, request, entry):
        self.runs += 1
        await self.may_respond.wait()
        if self.failure is not None:
            raise RequestError(self.failure)
        return Response(201, [], BytesBody(b"two looms"), 9)

    def on_settled(self, entry):
        pass


def make_request(body: bytes = b"300 sacks", key: str = "o-1") -> Request:
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
def executor():
    return AtMostOnceExecutor(IdempotencyWindow(), FakeClock())


async def test_retries_join_the_request_in_flight_or_get_its_stored_response(executor):
    sender = FakeSender()
    first = asyncio.create_task(executor.handle(make_request(), UNIT, sender))
    second = asyncio.create_task(executor.handle(make_request(), UNIT, sender))
    await asyncio.sleep(0)
    sender.may_respond.set()
    answers = [await first, await second, await executor.handle(make_request(), UNIT, sender)]
    assert [await answer.body.read() for answer in answers] == [b"two looms"] * 3
    assert [REPLAYED in answer.headers for answer in answers] == [False, True, True]
    assert sender.runs == 1


async def test_same_key_with_another_body_of_the_same_length_is_rejected(executor):
    sender = FakeSender()
    sender.may_respond.set()
    await executor.handle(make_request(b"300 sacks"), UNIT, sender)
    with pytest.raises(RequestError) as caught:
        await executor.handle(make_request(b"400 sacks"), UNIT, sender)
    assert caught.value.kind is ErrorKind.IDEMPOTENCY_KEY_REUSED
    assert sender.runs == 1


async def test_request_continues_when_its_caller_disconnects(executor):
    sender = FakeSender()
    caller = asyncio.create_task(executor.handle(make_request(), UNIT, sender))
    await asyncio.sleep(0)
    caller.cancel()
    sender.may_respond.set()
    await executor.finish()
    assert REPLAYED in (await executor.handle(make_request(), UNIT, sender)).headers
    assert sender.runs == 1


async def test_request_that_did_not_run_may_run_on_retry(executor):
    sender = FakeSender(ErrorKind.QUEUE_FULL)
    sender.may_respond.set()
    with pytest.raises(RequestError):
        await executor.handle(make_request(), UNIT, sender)
    sender.failure = None
    assert (await executor.handle(make_request(), UNIT, sender)).status == 201


async def test_request_that_may_have_run_is_never_run_again(executor):
    sender = FakeSender(ErrorKind.OUTCOME_UNKNOWN)
    sender.may_respond.set()
    for kind in (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.IDEMPOTENCY_UNKNOWN):
        with pytest.raises(RequestError) as caught:
            await executor.handle(make_request(), UNIT, sender)
        assert caught.value.kind is kind
    assert sender.runs == 1
