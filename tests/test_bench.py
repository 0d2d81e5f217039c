"""Tests of the benchmark runner."""

import json

from bench.__main__ import main
from bench.figures import Figures


def test_a_broken_bound_makes_the_figures_not_ok():
    figures = Figures()
    figures.at_most("imbalance", 1.1, "ratio", 1.15)
    figures.add("note", 3, "keys")
    assert figures.ok
    figures.at_least("goodput", 0.8, "ratio", 0.9)
    assert not figures.ok
    rows = json.loads(figures.to_json())["figures"]
    assert [row["ok"] for row in rows] == [True, None, False]
    assert rows[1] == {"name": "note", "value": 3, "unit": "keys", "bound": None, "ok": None}
    assert "BROKEN" in figures.to_table()


def test_an_unknown_benchmark_is_an_error():
    assert main(["no-such-benchmark"]) == 2


def test_only_the_broken_figures_that_are_listed_are_passed_over():
    figures = Figures()
    figures.at_most("drained: unavailable", 0.03, "s", 0.0)
    assert not figures.is_ok_but_for("")
    assert not figures.is_ok_but_for("something else: drained: unavailable")
    assert figures.is_ok_but_for("a heading\n  drained: unavailable\n")
    figures.at_most("lost: unavailable", 2.0, "s", 1.0)
    assert not figures.is_ok_but_for("drained: unavailable")
