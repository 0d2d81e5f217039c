"""Tests of the rule and the budget for sending a request once more."""

from dataclasses import replace
from datetime import timedelta

import pytest

from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import BytesBody, Request
from fireflylock.retry import RetryBudget, may_retry

DEADLINE = timedelta(seconds=5)
ORDER = Request("1", "desk", "key", "", "POST", b"/", [], BytesBody(), 0, DEADLINE, False)
READ = replace(ORDER, method="GET", idempotent=True)


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_an_order_is_never_sent_twice(kind):
    error = RequestError(kind)
    assert not may_retry(ORDER, error, bytes_sent=True, now=timedelta(0))
    if may_retry(ORDER, error, bytes_sent=False, now=timedelta(0)):
        assert error.not_run


def test_what_another_attempt_may_mend_is_tried_again_until_the_deadline():
    moved = RequestError(ErrorKind.MOVED)
    unknown = RequestError(ErrorKind.OUTCOME_UNKNOWN)
    assert may_retry(ORDER, moved, bytes_sent=False, now=timedelta(0))
    assert may_retry(READ, unknown, bytes_sent=True, now=timedelta(0))
    assert not may_retry(READ, unknown, bytes_sent=True, now=DEADLINE)
    assert not may_retry(READ, RequestError(ErrorKind.QUEUE_FULL), False, timedelta(0))


def test_retries_never_multiply_a_failure():
    budget = RetryBudget(share=0.1, reserve=5)
    spent = 0
    for _ in range(1000):
        budget.on_request()
        spent += budget.try_spend()
        spent += budget.try_spend()
    assert spent <= 5 + 0.1 * 1000
    assert budget.refused == 2000 - spent
