"""Tests of the gate sessions against the fence of the stand-in backend server."""

from datetime import timedelta

import pytest

from fireflylock.clock import FakeClock
from fireflylock.exceptions import InvariantError, ProtocolError
from fireflylock.fenced_session import FencedSession
from fireflylock.session import REGRANT_AFTER, SessionState, SessionTiming, UncheckedSession
from standins.fence import Fence

TIMING = SessionTiming()
MILLISECOND = timedelta(milliseconds=1)


class Pair:
    """A fence and a session on one clock, joined by calls that arrive at once."""

    def __init__(self, **session_options):
        self.clock = FakeClock(timedelta(seconds=50))
        self.fence = Fence("server", "boot-1", self.clock)
        self.session = FencedSession(
            "server", (1, 0), TIMING, self.now(), "boot-1", **session_options
        )

    def now(self):
        return self.clock.elapsed()

    def run(self, duration=timedelta(0), answers=True, session=None):
        """Poll every millisecond for `duration`."""
        session = session or self.session
        end = self.now() + duration
        while True:
            while (call := session.poll(self.now())) is not None:
                if not answers:
                    session.on_failure(self.now(), call)
                    break
                session.on_reply(self.now(), call, self.fence.control(call))
            if self.now() >= end:
                return
            self.clock.advance(MILLISECOND)


def opened():
    pair = Pair()
    pair.session.set_grants(pair.now(), {1: 1, 2: 5})
    pair.run()
    return pair


def test_a_session_opens_grants_and_renews():
    pair = opened()
    pair.run(timedelta(seconds=3))
    assert pair.session.may_send(pair.now(), 1, 1)
    assert not pair.session.may_send(pair.now(), 1, 2)
    assert pair.fence.admit((1, 0), 2, 5) is None
    pair.session.set_grants(pair.now(), {1: 1, 2: 5, 3: 1})
    pair.run()
    assert pair.session.may_send(pair.now(), 3, 1)


def test_a_paused_gate_does_not_send_and_an_unanswered_session_expires():
    pair = opened()
    pair.clock.advance(TIMING.ttl)
    assert not pair.session.may_send(pair.now(), 1, 1)
    pair.run(TIMING.ttl, answers=False)
    assert pair.session.over(pair.now())
    assert pair.fence.admit((1, 0), 1, 1) == "no-session"
    pair.run(TIMING.renew_every)
    assert pair.session.may_send(pair.now(), 1, 1)


def test_a_sealed_session_never_renews_again():
    pair = opened()
    with pytest.raises(InvariantError):
        pair.session.seal(pair.now())
    pair.clock.advance(2 * TIMING.ttl)
    pair.session.seal(pair.now())
    pair.run(timedelta(seconds=1))
    assert not pair.session.may_send(pair.now(), 1, 1)
    assert pair.fence.admit((1, 0), 1, 1) == "no-session"


def test_a_release_waits_for_requests_at_the_gate_and_at_the_server():
    pair = opened()
    in_flight = {1: 1}
    running = lambda unit: in_flight.get(unit, 0)  # noqa: E731
    pair.fence.started(1)
    pair.session.release(pair.now(), [1])
    assert not pair.session.may_send(pair.now(), 1, 1)
    assert pair.session.released(pair.now(), running) == {}
    pair.run(TIMING.ttl)
    assert pair.fence.check_effect((1, 0), 1, 1) is None
    in_flight.clear()
    assert pair.session.released(pair.now(), running) == {}
    pair.run(TIMING.ttl)
    assert pair.session.released(pair.now(), running) == {}
    pair.fence.ended(1)
    pair.run(timedelta(milliseconds=25))
    assert pair.session.released(pair.now(), running) == {1: 1}
    pair.session.set_grants(pair.now(), {1: 1, 2: 5})
    pair.run()
    assert not pair.session.may_send(pair.now(), 1, 1)
    assert pair.session.needs_regrant(pair.now(), {1: 1, 2: 5}) == {}
    pair.run(REGRANT_AFTER)
    assert pair.session.needs_regrant(pair.now(), {1: 1, 2: 5}) == {1: 1}
    pair.session.set_grants(pair.now(), {1: 2, 2: 5})
    pair.run()
    assert pair.session.may_send(pair.now(), 1, 2)


def test_a_higher_gate_epoch_supersedes_and_released_units_stay_released():
    pair = opened()
    pair.session.release(pair.now(), [1])
    pair.session.released(pair.now(), lambda unit: 0)
    pair.run()
    later = FencedSession("server", (2, 0), TIMING, pair.now(), "boot-1")
    later.set_grants(pair.now(), {1: 1, 2: 5})
    pair.run(session=later)
    assert later.may_send(pair.now(), 2, 5)
    assert not later.may_send(pair.now(), 1, 1)
    assert later.needs_regrant(pair.now(), {1: 1, 2: 5}) == {1: 1}
    pair.run(timedelta(seconds=1))
    assert pair.session.state is SessionState.SUPERSEDED
    assert not pair.session.may_send(pair.now(), 2, 5)
    assert not pair.session.over(pair.now() + timedelta(hours=1))


def test_a_standby_takes_exactly_the_grants_that_the_server_remembers():
    pair = opened()
    standby = FencedSession("server", (1, 1), TIMING, pair.now(), "boot-1", keep_grants=True)
    standby.set_grants(pair.now(), {7: 1})
    pair.run(session=standby)
    assert standby.granted == {1: 1, 2: 5}
    assert pair.fence.admit((1, 0), 1, 1) == "stale-gate"


def test_a_restarted_server_is_not_claimed_without_a_record():
    pair = opened()
    pair.fence = Fence("server", "boot-2", pair.clock)
    pair.run(timedelta(seconds=1))
    assert pair.session.state is SessionState.RESTARTED
    assert pair.session.server_incarnation == "boot-2"
    assert pair.session.over(pair.now())
    assert pair.fence.gate_epoch == (0, 0)


def test_a_gate_epoch_is_never_used_by_two_sessions():
    pair = opened()
    again = FencedSession("server", (1, 0), TIMING, pair.now(), "boot-1")
    again.set_grants(pair.now(), {1: 1, 2: 5})
    pair.run(timedelta(seconds=1), session=again)
    assert again.sealed
    assert not again.may_send(pair.now(), 1, 1)
    assert not again.over(pair.now() + timedelta(hours=1))
    assert pair.fence.admit((1, 0), 1, 1) == "no-session"


def test_an_answer_of_another_server_is_refused():
    pair = Pair()
    call = pair.session.poll(pair.now())
    reply = pair.fence.control(call) | {"name": "other"}
    with pytest.raises(ProtocolError):
        pair.session.on_reply(pair.now(), call, reply)
    assert not pair.session.claimed


def test_an_unchecked_server_is_given_up_only_by_release_after_the_grace_period():
    quiet = timedelta(seconds=10)
    session = UncheckedSession("server", (2, 0), TIMING, timedelta(0), quiet)
    session.set_grants(timedelta(0), {1: 1})
    assert session.may_send(timedelta(0), 1, 1)
    session.release(timedelta(0), [1])
    assert not session.may_send(timedelta(0), 1, 1)
    assert session.released(timedelta(0), lambda unit: 0) == {}
    assert session.released(quiet, lambda unit: 1) == {}
    assert session.released(quiet, lambda unit: 0) == {1: 1}
    assert not session.over(timedelta(days=1))
