"""Tests of the metrics."""

import asyncio
from dataclasses import replace
from datetime import timedelta

import pytest

from fireflylock.clock import FakeClock
from fireflylock.loop_lag import measure_loop_lag
from fireflylock.metrics import OTHER, LabelValues, Metrics, StateMetric
from fireflylock.model import Configuration
from fireflylock.node_metrics import NodeMetrics
from fireflylock.sheet import read_sheet
from tests.fakenode import FakeNode
from tests.test_sheet import SHEET


def test_labels_are_bounded():
    values = LabelValues(2)
    assert [values.bound(name) for name in "abcab"] == ["a", "b", OTHER, "a", "b"]
    metrics = Metrics(label_limit=3)
    many = [((str(number),), 1.0) for number in range(10)]
    metrics.state.state_metrics.append(StateMetric("many", "Many.", ("name",), lambda: many))
    assert metrics.text().count(b"fireflylock_many{") == 3


def test_state_is_read_at_each_scrape():
    node = FakeNode(replace(read_sheet(SHEET, Configuration()), version=4))
    metrics = Metrics()
    NodeMetrics(node).add_to(metrics)
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
