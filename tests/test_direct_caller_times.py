"""Tests of how long callers have been trying."""

import random
from datetime import timedelta

from fireflylock.direct.caller_times import CallerTimes

MS = timedelta(milliseconds=1)


def test_who_gives_less_time_than_first_attempts_has_come_back():
    times = CallerTimes()
    for _ in range(50):
        assert times.elapsed("read", 2500 * MS) == timedelta(0)
    assert times.elapsed("read", 2437 * MS) == 63 * MS
    assert times.elapsed("read", 900 * MS) == 1600 * MS
    assert times.elapsed("read", 2490 * MS) == timedelta(0)
    assert times.elapsed("order", 900 * MS) == timedelta(0)


def test_callers_with_another_time_of_their_own_are_not_taken_for_late():
    rng = random.Random(1)
    times = CallerTimes()
    for number in range(2000):
        given = rng.choice((2500, 2500, 800))
        elapsed = times.elapsed("read", given * MS)
        assert number < 30 or elapsed == timedelta(0)
    assert times.elapsed("read", 700 * MS) == 100 * MS
    assert times.elapsed("read", 1500 * MS) == 1000 * MS


def test_a_storm_of_returning_callers_hides_no_first_attempt():
    rng = random.Random(2)
    times = CallerTimes()
    for _ in range(100):
        times.elapsed("read", 2500 * MS)
    wrong = 0
    for _ in range(3000):
        first = rng.random() < 0.4
        given = 2500 if first else rng.randrange(200, 2450)
        elapsed = times.elapsed("read", given * MS)
        wrong += (elapsed == timedelta(0)) != first
    assert wrong < 30


def test_a_new_time_is_learned():
    times = CallerTimes()
    for _ in range(1000):
        times.elapsed("read", 2500 * MS)
    for _ in range(1000):
        last = times.elapsed("read", 1200 * MS)
    assert last == timedelta(0)
    assert len(times.routes["read"].counts) <= 400
