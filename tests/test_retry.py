"""Tests of the rule and the budget for retries."""

from dataclasses import replace
from datetime import timedelta

import pytest

from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import BytesBody, Request
from fireflylock.retry import RetryBudget, may_retry

DEADLINE = timedelta(seconds=5)
UNSAFE_REQUEST = Request("1", "desk", "key", "", "POST", b"/", [], BytesBody(), 0, DEADLINE, False)
SAFE_REQUEST = replace(UNSAFE_REQUEST, method="GET", idempotent=True)


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_an_unsafe_request_is_never_sent_twice(kind):
    error = RequestError(kind)
    assert not may_retry(UNSAFE_REQUEST, error, bytes_sent=True, now=timedelta(0))
    if may_retry(UNSAFE_REQUEST, error, bytes_sent=False, now=timedelta(0)):
        assert error.not_run


def test_retryable_errors_are_retried_until_the_deadline():
    moved = RequestError(ErrorKind.MOVED)
    unknown = RequestError(ErrorKind.OUTCOME_UNKNOWN)
    assert may_retry(UNSAFE_REQUEST, moved, bytes_sent=False, now=timedelta(0))
    assert may_retry(SAFE_REQUEST, unknown, bytes_sent=True, now=timedelta(0))
    assert not may_retry(SAFE_REQUEST, unknown, bytes_sent=True, now=DEADLINE)
    assert not may_retry(SAFE_REQUEST, RequestError(ErrorKind.QUEUE_FULL), False, timedelta(0))


def test_retries_are_limited_to_a_share_of_the_requests():
    budget = RetryBudget(share=0.1, max_tokens=5)
    spent = 0
    for _ in range(1000):
        budget.on_request()
        spent += budget.try_spend()
        spent += budget.try_spend()
    assert spent <= 5 + 0.1 * 1000
    assert budget.refused == 2000 - spent
