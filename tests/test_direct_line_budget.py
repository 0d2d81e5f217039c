"""Tests of the bound on log lines."""

from datetime import timedelta

from fireflylock.direct.line_budget import LineBudget

START = timedelta(seconds=50)


def test_lines_are_bounded_and_rare_ones_always_written():
    budget = LineBudget(10.0, 10.0)
    written = 0
    for step in range(1000):
        written += budget.allows(START + timedelta(milliseconds=step), "common")
    assert 15 <= written <= 25
    assert budget.allows(START + timedelta(seconds=1), "rare")
    assert budget.take_left_out("common") == 1000 - written
    assert budget.take_left_out("common") == 0
