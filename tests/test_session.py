"""Tests of gate sessions against the fence of the stand-in backend server."""

from datetime import timedelta

import pytest

from fireflylock.clock import FakeClock
from fireflylock.exceptions import InvariantError, ProtocolError
from fireflylock.fenced_session import FencedSession
from fireflylock.session import REGRANT_AFTER, SessionState, SessionTiming, UncheckedSession
from standins.fence import Fence

TIMING = SessionTiming()
MILLISECOND = timedelta(milliseconds=1)


class SessionAndFence:
    """A fence and a session on one clock, connected by calls without delay."""

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


def open_session():
    setup = SessionAndFence()
    setup.session.set_grants(setup.now(), {1: 1, 2: 5})
    setup.run()
    return setup


def test_a_session_opens_grants_and_renews():
    setup = open_session()
    setup.run(timedelta(seconds=3))
    assert setup.session.may_send(setup.now(), 1, 1)
    assert not setup.session.may_send(setup.now(), 1, 2)
    assert setup.fence.admit((1, 0), 2, 5) is None
    setup.session.set_grants(setup.now(), {1: 1, 2: 5, 3: 1})
    setup.run()
    assert setup.session.may_send(setup.now(), 3, 1)


def test_a_paused_gate_does_not_send_and_an_unanswered_session_expires():
    setup = open_session()
    setup.clock.advance(TIMING.ttl)
    assert not setup.session.may_send(setup.now(), 1, 1)
    setup.run(TIMING.ttl, answers=False)
    assert setup.session.over(setup.now())
    assert setup.fence.admit((1, 0), 1, 1) == "no-session"
    setup.run(TIMING.renew_every)
    assert setup.session.may_send(setup.now(), 1, 1)


def test_a_sealed_session_never_renews_again():
    setup = open_session()
    with pytest.raises(InvariantError):
        setup.session.seal(setup.now())
    setup.clock.advance(2 * TIMING.ttl)
    setup.session.seal(setup.now())
    setup.run(timedelta(seconds=1))
    assert not setup.session.may_send(setup.now(), 1, 1)
    assert setup.fence.admit((1, 0), 1, 1) == "no-session"


def test_a_release_waits_for_requests_at_the_gate_and_at_the_server():
    setup = open_session()
    in_flight = {1: 1}
    running = lambda unit: in_flight.get(unit, 0)  # noqa: E731
    setup.fence.started(1)
    setup.session.release(setup.now(), [1])
    assert not setup.session.may_send(setup.now(), 1, 1)
    assert setup.session.released(setup.now(), running) == {}
    setup.run(TIMING.ttl)
    assert setup.fence.check_effect((1, 0), 1, 1) is None
    in_flight.clear()
    assert setup.session.released(setup.now(), running) == {}
    setup.run(TIMING.ttl)
    assert setup.session.released(setup.now(), running) == {}
    setup.fence.ended(1)
    setup.run(timedelta(milliseconds=25))
    assert setup.session.released(setup.now(), running) == {1: 1}
    setup.session.set_grants(setup.now(), {1: 1, 2: 5})
    setup.run()
    assert not setup.session.may_send(setup.now(), 1, 1)
    assert setup.session.needs_regrant(setup.now(), {1: 1, 2: 5}) == {}
    setup.run(REGRANT_AFTER)
    assert setup.session.needs_regrant(setup.now(), {1: 1, 2: 5}) == {1: 1}
    setup.session.set_grants(setup.now(), {1: 2, 2: 5})
    setup.run()
    assert setup.session.may_send(setup.now(), 1, 2)


def test_a_higher_gate_epoch_supersedes_and_released_units_stay_released():
    setup = open_session()
    setup.session.release(setup.now(), [1])
    setup.session.released(setup.now(), lambda unit: 0)
    setup.run()
    later = FencedSession("server", (2, 0), TIMING, setup.now(), "boot-1")
    later.set_grants(setup.now(), {1: 1, 2: 5})
    setup.run(session=later)
    assert later.may_send(setup.now(), 2, 5)
    assert not later.may_send(setup.now(), 1, 1)
    assert later.needs_regrant(setup.now(), {1: 1, 2: 5}) == {1: 1}
    setup.run(timedelta(seconds=1))
    assert setup.session.state is SessionState.SUPERSEDED
    assert not setup.session.may_send(setup.now(), 2, 5)
    assert not setup.session.over(setup.now() + timedelta(hours=1))


def test_a_standby_takes_exactly_the_grants_that_the_server_remembers():
    setup = open_session()
    standby = FencedSession("server", (1, 1), TIMING, setup.now(), "boot-1", keep_grants=True)
    standby.set_grants(setup.now(), {7: 1})
    setup.run(session=standby)
    assert standby.granted == {1: 1, 2: 5}
    assert setup.fence.admit((1, 0), 1, 1) == "stale-gate"


def test_a_restarted_server_is_not_claimed_without_a_record():
    setup = open_session()
    setup.fence = Fence("server", "boot-2", setup.clock)
    setup.run(timedelta(seconds=1))
    assert setup.session.state is SessionState.RESTARTED
    assert setup.session.server_incarnation == "boot-2"
    assert setup.session.over(setup.now())
    assert setup.fence.gate_epoch == (0, 0)


def test_a_gate_epoch_is_never_used_by_two_sessions():
    setup = open_session()
    again = FencedSession("server", (1, 0), TIMING, setup.now(), "boot-1")
    again.set_grants(setup.now(), {1: 1, 2: 5})
    setup.run(timedelta(seconds=1), session=again)
    assert again.sealed
    assert not again.may_send(setup.now(), 1, 1)
    assert not again.over(setup.now() + timedelta(hours=1))
    assert setup.fence.admit((1, 0), 1, 1) == "no-session"


def test_an_answer_of_another_server_is_refused():
    setup = SessionAndFence()
    call = setup.session.poll(setup.now())
    reply = setup.fence.control(call) | {"name": "other"}
    with pytest.raises(ProtocolError):
        setup.session.on_reply(setup.now(), call, reply)
    assert not setup.session.claimed


def test_an_unchecked_server_is_given_up_only_by_release_after_the_grace_period():
    grace_end = timedelta(seconds=10)
    session = UncheckedSession("server", (2, 0), TIMING, timedelta(0), grace_end)
    session.set_grants(timedelta(0), {1: 1})
    assert session.may_send(timedelta(0), 1, 1)
    session.release(timedelta(0), [1])
    assert not session.may_send(timedelta(0), 1, 1)
    assert session.released(timedelta(0), lambda unit: 0) == {}
    assert session.released(grace_end, lambda unit: 1) == {}
    assert session.released(grace_end, lambda unit: 0) == {1: 1}
    assert not session.over(timedelta(days=1))
