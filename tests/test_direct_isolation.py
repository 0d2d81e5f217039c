"""Tests of when a VM sends callers to other zones, by the cuts that it answers."""

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


def test_the_zones_that_still_hear_each_other_are_not():
    assert not IsolationDetector().update(START, reachability({"b": START, "c": CUT}))


def test_a_store_that_answers_shows_that_the_others_are_lost():
    assert not IsolationDetector().update(START, reachability({"b": CUT, "c": CUT}, store=START))


def test_an_outage_of_the_store_alone_isolates_nobody():
    assert not IsolationDetector().update(START, reachability({"b": START, "c": START}))


def test_a_moment_of_silence_is_no_cut():
    later = CUT + SECOND
    assert not IsolationDetector().update(later, reachability({"b": CUT, "c": CUT}))


def test_of_two_halves_none_sends_its_callers_to_the_other():
    halves = {"a": 10, "b": 10}
    assert not IsolationDetector().update(START, reachability({"b": CUT}, slots=halves))
    assert not IsolationDetector().update(START, reachability({"a": CUT}, slots=halves, zone="b"))


def test_callers_come_back_when_nobody_else_has_served_them_for_long():
    detector = IsolationDetector()
    lost = reachability({"b": CUT, "c": CUT})
    assert detector.update(START, lost)
    assert detector.update(START + MAX_ISOLATION - SECOND, lost)
    assert not detector.update(START + MAX_ISOLATION, lost)


def test_a_single_zone_is_never_isolated():
    assert not IsolationDetector().update(START, reachability({}, slots={"a": 10}))
