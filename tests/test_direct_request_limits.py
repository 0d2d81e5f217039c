"""Tests of the request rate limits that servers name in their responses."""

from datetime import timedelta

import pytest

from fireflylock.clock import FakeClock
from fireflylock.direct.gossip import SeenLimit
from fireflylock.direct.key_ranges import Owner
from fireflylock.direct.model import ServerEntry
from fireflylock.direct.request_limits import SETTLE_TIME, RequestLimits, merge_seen
from fireflylock.direct.servers import ServerTable

START = timedelta(seconds=100)
MS = timedelta(milliseconds=1)


def server_entry(born=1, name="s0"):
    return ServerEntry(name, born, "orders", "a", "h", 1, 4, False, timedelta(0))


class Observer:
    """The limits that one VM knows of one server."""

    def __init__(self):
        self.clock = FakeClock(START)
        self.table = ServerTable(timedelta(seconds=2))
        self.table.register(START, server_entry())
        self.limits = RequestLimits(self.clock, self.table)

    @property
    def limit(self):
        return self.limits.limited.get("s0")

    def record(self, limit, sent_at):
        """Record a limit that is received now, in the response to an earlier request."""
        self.limits.record_limit(Owner.of(server_entry()), limit, sent_at)

    def hear(self, limit, age, born=1, vm="vm-2"):
        """Apply the report of another VM."""
        seen = SeenLimit("s0", born, limit, age // MS)
        self.limits.apply_seen(self.clock.elapsed(), vm, [seen])


def test_a_higher_limit_in_a_delayed_response_does_not_replace_a_lower_one():
    observer = Observer()
    observer.clock.advance(100 * MS)
    observer.record(3.0, START + 90 * MS)
    observer.clock.advance(SETTLE_TIME + 100 * MS)
    observer.record(12.0, START)
    assert observer.limit == 3.0
    observer.record(None, START + 50 * MS)
    assert observer.limit == 3.0
    observer.record(12.0, observer.clock.elapsed() - 50 * MS)
    assert observer.limit == 12.0
    observer.record(2.0, START)
    assert observer.limit == 2.0


def test_a_limit_ends_with_a_response_that_names_none():
    observer = Observer()
    observer.record(3.0, START)
    observer.clock.advance(SETTLE_TIME + 100 * MS)
    observer.record(None, observer.clock.elapsed() - 50 * MS)
    assert observer.limit is None
    assert observer.table.servers["s0"].ended_limit == (3.0, observer.clock.elapsed())
    observer.record(4.0, observer.clock.elapsed())
    assert observer.table.servers["s0"].ended_limit is None


def test_a_limit_that_only_some_responses_name_stays_in_effect():
    observer = Observer()
    for _ in range(20):
        observer.clock.advance(100 * MS)
        observer.record(3.0, observer.clock.elapsed() - 20 * MS)
        observer.clock.advance(100 * MS)
        observer.record(None, observer.clock.elapsed() - 20 * MS)
        assert observer.limit == 3.0


def test_a_limit_does_not_hold_for_another_incarnation():
    observer = Observer()
    observer.record(3.0, START)
    observer.table.register(START, server_entry(born=2))
    assert observer.limit is None
    observer.limits.tidy(START)
    observer.record(3.0, START)
    observer.hear(4.0, timedelta(0))
    assert observer.limit is None
    observer.hear(4.0, timedelta(0), born=2)
    assert observer.limit == 4.0


def test_a_vm_learns_limits_and_their_end_from_other_vms():
    observer = Observer()
    observer.hear(5.0, 100 * MS)
    assert observer.limit == 5.0
    observer.clock.advance(2 * SETTLE_TIME)
    observer.hear(None, 10 * MS)
    assert observer.limit is None
    # An older report arrives late.
    observer.hear(5.0, 2 * SETTLE_TIME)
    assert observer.limit is None


def test_a_limit_that_is_named_to_one_vm_only_holds_for_all():
    observer = Observer()
    for _ in range(20):
        observer.clock.advance(400 * MS)
        observer.record(None, observer.clock.elapsed() - 20 * MS)
        observer.hear(6.0, 20 * MS, vm="vm-2")
        observer.clock.advance(400 * MS)
        observer.record(None, observer.clock.elapsed() - 20 * MS)
        assert observer.limit == 6.0
    observer.hear(None, 10 * MS, vm="vm-2")
    assert observer.limit is None


def test_the_lowest_limit_that_any_vm_has_seen_lately_is_in_effect():
    observer = Observer()
    observer.hear(5.0, 100 * MS, vm="vm-2")
    observer.hear(9.0, 50 * MS, vm="vm-3")
    assert observer.limit == 5.0
    # vm-2 has no requests any more.
    for _ in range(6):
        observer.clock.advance(timedelta(seconds=1))
        observer.hear(9.0, 50 * MS, vm="vm-3")
        observer.limits.tidy(observer.clock.elapsed())
    assert observer.limit == 9.0


def test_a_limit_that_nobody_has_seen_replaced_stays_in_effect():
    observer = Observer()
    observer.record(4.0, START)
    observer.clock.advance(timedelta(seconds=60))
    observer.limits.tidy(observer.clock.elapsed())
    assert observer.limit == 4.0


@pytest.mark.parametrize("limit", [-1.0, float("nan"), float("inf")])
def test_an_invalid_limit_in_a_message_is_rejected(limit):
    observer = Observer()
    with pytest.raises(ValueError, match="requests a second"):
        observer.hear(limit, timedelta(0))
    assert observer.limit is None


def test_merged_reports_keep_the_observation_in_effect():
    old = SeenLimit("s0", 1, 5.0, 3000)
    new = SeenLimit("s0", 1, None, 100)
    # What a server names to one VM says nothing about what it has named to another.
    assert merge_seen(START, [(START, [old]), (START, [new])]) == [old]
    assert merge_seen(START, [(START - 2 * MS * 1000, [old]), (START, [new])]) == [new]
    lower = SeenLimit("s0", 1, 2.0, 200)
    assert merge_seen(START, [(START, [new]), (START, [lower])]) == [lower]
    assert merge_seen(START, [(START - 50 * MS, [lower])]) == [SeenLimit("s0", 1, 2.0, 250)]
