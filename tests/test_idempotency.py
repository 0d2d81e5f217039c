"""Tests of the idempotency window."""

import uuid
from datetime import UTC, datetime, timedelta

from fireflylock.idempotency import (
    MAX_CALLER_SKEW,
    Full,
    IdempotencyWindow,
    Join,
    Reused,
    Run,
    Stored,
    StoredResponse,
    Unknown,
    WindowLimits,
)

WALL = datetime(2026, 1, 1, tzinfo=UTC)
START = timedelta(seconds=100)
RESPONSE = StoredResponse(201, [(b"content-type", b"text/plain")], b"booked")


def begin(window, now, idempotency_key="order-1", key="barrel", fingerprint=b"same", wall=WALL):
    return window.begin(now, wall, "club-app", 3, key, idempotency_key, fingerprint)


def uuid7(issued):
    milliseconds = int(issued.timestamp() * 1000)
    return str(uuid.UUID(int=(milliseconds << 80) | (7 << 76) | (2 << 62) | 5))


def test_retry_joins_and_then_gets_the_stored_response():
    window = IdempotencyWindow()
    first = begin(window, START)
    joined = begin(window, START)
    assert isinstance(joined, Join)
    received = []
    joined.entry.listeners.append(lambda entry: received.append(entry.response))
    window.finish(START, first.entry, RESPONSE)
    assert received == [RESPONSE]
    assert begin(window, START) == Stored(RESPONSE)
    assert begin(window, START, fingerprint=b"other") == Reused()
    assert isinstance(begin(window, START, key="other"), Run)


def test_only_a_request_that_certainly_did_not_run_may_run_again():
    window = IdempotencyWindow()
    window.abandon(begin(window, START).entry)
    again = begin(window, START)
    assert isinstance(again, Run)
    window.finish(START, again.entry, None)
    assert begin(window, START) == Unknown()


def test_limits_never_allow_a_second_run():
    limits = WindowLimits(timedelta(minutes=1), entries=3, bytes=60, response_bytes=40)
    window = IdempotencyWindow(limits)
    for number in range(3):
        window.finish(START, begin(window, START, f"order-{number}").entry, RESPONSE)
    assert begin(window, START, "order-0") == Unknown()
    assert begin(window, START, "order-2") == Stored(RESPONSE)
    assert window.bytes <= limits.bytes
    assert isinstance(begin(window, START, "order-3"), Full)
    later = START + limits.duration
    assert isinstance(begin(window, later, "order-3"), Run)
    assert window.bytes == 0


def test_after_a_lost_window_only_certainly_new_keys_run():
    window = IdempotencyWindow()
    window.mark_lost(START, WALL, [3])
    assert begin(window, START, "opaque") == Unknown()
    assert begin(window, START, uuid7(WALL - timedelta(seconds=1))) == Unknown()
    assert begin(window, START, uuid7(WALL + MAX_CALLER_SKEW)) == Unknown()
    assert isinstance(begin(window, START, uuid7(WALL + 2 * MAX_CALLER_SKEW)), Run)
    later = START + window.limits.duration
    assert isinstance(begin(window, later, "opaque"), Run)


def test_handed_over_window_is_complete():
    window = IdempotencyWindow()
    window.finish(START, begin(window, START).entry, RESPONSE)
    begin(window, START, "running")
    begin(window, START, "elsewhere", key="other")
    exported = window.export(START + timedelta(minutes=1), lambda key: key == "barrel")
    imported = IdempotencyWindow()
    now = timedelta(seconds=7)
    imported.mark_lost(now, WALL, [3])
    imported.import_(now, exported)
    imported.mark_complete([3])
    assert begin(imported, now) == Stored(RESPONSE)
    assert begin(imported, now, "running") == Unknown()
    assert isinstance(begin(imported, now, "elsewhere", key="other"), Run)
    assert isinstance(begin(imported, now + timedelta(minutes=9)), Run)


def test_entries_imported_out_of_order_still_expire_in_time():
    source = IdempotencyWindow()
    window = IdempotencyWindow()
    for number in range(4):
        now = START + number * timedelta(minutes=1)
        entry = begin(source, now, f"order-{number}").entry
        window.import_(now, [source.export_entry(now, entry)])
        source.finish(now, entry, RESPONSE)
    later = START + timedelta(minutes=5)
    window.import_(later, reversed(source.export(later)))
    ages = [entry.settled_at for entry in window.entries.values()]
    assert ages == sorted(ages)
    assert begin(window, later, "order-0") == Stored(RESPONSE)
    assert isinstance(begin(window, START + timedelta(minutes=10), "order-0"), Run)
