"""Tests of the error kinds and their answers."""

from datetime import timedelta

import pytest

from fireflylock.exceptions import ANSWERS, ErrorKind, Outcome, RequestError


def test_every_kind_has_an_answer():
    assert set(ANSWERS) == set(ErrorKind)


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_an_unknown_outcome_is_never_called_not_run(kind):
    error = RequestError(kind, retry_after=timedelta(seconds=1))
    assert error.not_run == (error.answer.outcome is Outcome.NOT_RUN)
