"""Tests of the log budget."""

from datetime import timedelta

from fireflylock.direct.log_budget import LogBudget

START = timedelta(seconds=50)


def test_log_lines_are_limited_but_rare_kinds_are_always_written():
    budget = LogBudget(10.0, 10.0)
    written = 0
    for step in range(1000):
        written += budget.allows(START + timedelta(milliseconds=step), "common")
    assert 15 <= written <= 25
    assert budget.allows(START + timedelta(seconds=1), "rare")
    assert budget.take_omitted("common") == 1000 - written
    assert budget.take_omitted("common") == 0
