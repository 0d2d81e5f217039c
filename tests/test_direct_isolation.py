"""Tests of the network cuts in which a VM sends callers to other zones."""

from datetime import timedelta

from fireflylock.direct.isolation import (
    MAX_ISOLATION,
    ZONE_TIMEOUT,
    IsolationDetector,
    Reachability,
)

SECOND = timedelta(seconds=1)
START = 100 * SECOND
SLOTS = {"a": 10, "b": 10, "c": 10}
CUT = START - ZONE_TIMEOUT


def reachability(heard, store=CUT, slots=SLOTS, zone="a"):
    return Reachability(zone, heard, slots, store)


def test_a_zone_cut_off_from_the_others_and_the_store_is_isolated():
    detector = IsolationDetector()
    assert detector.update(START, reachability({"b": CUT, "c": CUT}))
    assert not detector.update(START + SECOND, reachability({"b": START + SECOND, "c": CUT}))


def test_zones_that_still_hear_each_other_are_not_isolated():
    assert not IsolationDetector().update(START, reachability({"b": START, "c": CUT}))


def test_a_zone_that_reaches_the_store_is_not_isolated():
    assert not IsolationDetector().update(START, reachability({"b": CUT, "c": CUT}, store=START))


def test_a_store_outage_alone_isolates_no_zone():
    assert not IsolationDetector().update(START, reachability({"b": START, "c": START}))


def test_a_short_silence_does_not_count_as_a_cut():
    later = CUT + SECOND
    assert not IsolationDetector().update(later, reachability({"b": CUT, "c": CUT}))


def test_of_two_equal_zones_cut_from_each_other_neither_is_isolated():
    halves = {"a": 10, "b": 10}
    assert not IsolationDetector().update(START, reachability({"b": CUT}, slots=halves))
    assert not IsolationDetector().update(START, reachability({"a": CUT}, slots=halves, zone="b"))


def test_isolation_ends_after_its_maximum_duration():
    detector = IsolationDetector()
    lost = reachability({"b": CUT, "c": CUT})
    assert detector.update(START, lost)
    assert detector.update(START + MAX_ISOLATION - SECOND, lost)
    assert not detector.update(START + MAX_ISOLATION, lost)


def test_a_single_zone_is_never_isolated():
    assert not IsolationDetector().update(START, reachability({}, slots={"a": 10}))
