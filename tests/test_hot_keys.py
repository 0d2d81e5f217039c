"""Tests of hot keys and unit loads."""

import random
from datetime import timedelta

from fireflylock.hot_keys import HotKeyCounter
from fireflylock.unit_loads import UnitLoads


def seconds(value):
    return timedelta(seconds=value)


def test_a_new_hot_key_is_found_among_many_and_an_old_one_forgotten():
    rng = random.Random(5)
    counter = HotKeyCounter(seconds(0))
    for second in range(120):
        hot = "first" if second < 60 else "second"
        for _ in range(300):
            counter.add(seconds(second), f"key-{rng.randrange(100_000)}")
        counter.add(seconds(second), hot, 30.0)
        if second == 63:
            assert "second" in dict(counter.top(seconds(64), 2))
    (key, rate), *_ = counter.top(seconds(120), 5)
    assert key == "second"
    assert 25 < rate < 35
    assert "first" not in dict(counter.top(seconds(120), 1000))


def test_old_counts_expire_without_requests():
    counter = HotKeyCounter(seconds(0))
    counter.add(seconds(1), "a")
    assert counter.top(seconds(500), 5) == []


def test_rates_follow_a_change_and_survive_a_long_time():
    loads = UnitLoads(seconds(0), 2)
    for second in range(3000):
        loads.add(seconds(second), 0 if second < 2900 else 1, 10.0)
        if second == 5:
            assert abs(loads.rates(seconds(6))[0] - 10) < 2
    rates = loads.rates(seconds(3000))
    assert rates[0] < 0.1
    assert abs(rates[1] - 10) < 1
    loads.add_report(seconds(3000), {7: 4.0}, seconds(2))
    assert loads.rates(seconds(3000))[7] > 0
    loads.transfer(seconds(3000), 1, 2, 6.0)
    assert abs(loads.rates(seconds(3000))[2] - 6) < 0.01
    assert abs(loads.rates(seconds(3000)).sum() - rates.sum()) < 1
    loads.reset(7)
    assert loads.rates(seconds(3000))[7] == 0
