"""Tests of the request rate limits that servers name in their responses."""

from datetime import timedelta

from fireflylock.clock import FakeClock
from fireflylock.direct.key_ranges import Owner
from fireflylock.direct.model import ServerEntry
from fireflylock.direct.request_limits import RequestLimits
from fireflylock.direct.servers import ServerTable

START = timedelta(seconds=100)
MS = timedelta(milliseconds=1)


def server_entry(born=1, name="s0"):
    return ServerEntry(name, born, "orders", "a", "h", 1, 4, False, timedelta(0))


class Observer:
    """The limits that one VM has seen of one server."""

    def __init__(self):
        self.clock = FakeClock(START)
        self.table = ServerTable(timedelta(seconds=2))
        self.table.register(START, server_entry())
        self.limits = RequestLimits(self.clock, self.table)

    @property
    def limit(self):
        return self.limits.limit_of(self.table.servers["s0"])

    def record(self, limit, sent_at):
        """Record a limit that is received now, in the response to an earlier request."""
        self.limits.record_limit(Owner.of(server_entry()), limit, sent_at)


def test_a_higher_limit_in_a_delayed_response_does_not_replace_a_lower_one():
    observer = Observer()
    observer.clock.advance(100 * MS)
    observer.record(3.0, START + 90 * MS)
    observer.clock.advance(100 * MS)
    observer.record(12.0, START)
    assert observer.limit == 3.0
    observer.record(None, START + 50 * MS)
    assert observer.limit == 3.0
    observer.record(12.0, START + 150 * MS)
    assert observer.limit == 12.0
    observer.record(2.0, START)
    assert observer.limit == 2.0


def test_a_limit_ends_with_a_response_that_names_none():
    observer = Observer()
    observer.record(3.0, START)
    observer.clock.advance(100 * MS)
    observer.record(None, START + 50 * MS)
    assert observer.limit is None


def test_a_limit_does_not_hold_for_another_incarnation():
    observer = Observer()
    observer.record(3.0, START)
    observer.table.register(START, server_entry(born=2))
    assert observer.limit is None
    observer.record(3.0, START)
    assert observer.limit is None
