"""Stateful test of requests, retries, lost windows and handovers: no request runs twice."""

import uuid
from collections import Counter
from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fireflylock.clock import FakeClock
from fireflylock.idempotency import (
    MAX_CALLER_SKEW,
    IdempotencyWindow,
    Run,
    Stored,
    StoredResponse,
    WindowLimits,
)

LIMITS = WindowLimits(timedelta(minutes=1), entries=3, bytes=60, response_bytes=40)
ORDERS = 4

orders = st.integers(0, ORDERS - 1)
seconds = st.sampled_from([0, 1, 3, 20])


class AtMostOnceMachine(RuleBasedStateMachine):
    """One unit whose gate is handed over or lost, and callers who retry their requests.

    Half of the requests carry opaque keys; the others carry their time of issue from clocks
    that are ahead or behind.  Callers retry a request for less than the window.
    """

    @initialize()
    def start(self):
        self.clock = FakeClock(timedelta(hours=1))
        self.window = IdempotencyWindow(LIMITS)
        self.runs = Counter()
        self.responses = {}
        self.issued = {}
        self.running = {}

    def idempotency_key(self, order, ahead):
        """Return the request's key, generated at its first attempt, and that instant."""
        if order not in self.issued:
            at = self.clock.now() + MAX_CALLER_SKEW * ahead
            milliseconds = int(at.timestamp() * 1000)
            number = (milliseconds << 80) | (7 << 76) | (2 << 62) | order
            key = str(uuid.UUID(int=number)) if order % 2 else f"order-{order}"
            self.issued[order] = (key, self.clock.elapsed())
        return self.issued[order]

    @rule(order=orders, ahead=st.sampled_from([-1, 0, 1]))
    def send(self, order, ahead):
        key, first_sent_at = self.idempotency_key(order, ahead)
        if self.clock.elapsed() - first_sent_at >= LIMITS.duration:
            return
        decision = self.window.begin(
            self.clock.elapsed(), self.clock.now(), "desk", 0, "key", key, b""
        )
        if isinstance(decision, Run):
            self.runs[order] += 1
            self.running[order] = decision.entry
        if isinstance(decision, Stored):
            assert decision.response == self.responses[order]

    @rule(order=orders, how=st.sampled_from(["answered", "unknown", "not run"]))
    def end_request(self, order, how):
        entry = self.running.pop(order, None)
        if entry is None:
            return
        if how == "not run":
            self.runs[order] -= 1
            self.window.abandon(entry)
            return
        response = StoredResponse(201, [], b"answer %d" % order) if how == "answered" else None
        self.responses[order] = response
        self.window.finish(self.clock.elapsed(), entry, response)

    @rule(duration=seconds)
    def time_passes(self, duration):
        self.clock.advance(timedelta(seconds=duration))

    @rule()
    def gate_is_lost(self):
        """Lose the window; requests at the lost gate never end."""
        self.running.clear()
        self.window = IdempotencyWindow(LIMITS)
        self.window.mark_lost(self.clock.elapsed(), self.clock.now(), [0])

    @rule()
    def gate_hands_over(self):
        """Hand the window over; a window that was lost before stays incomplete."""
        lost = dict(self.window.lost)
        exported = self.window.export(self.clock.elapsed())
        self.running.clear()
        self.window = IdempotencyWindow(LIMITS)
        self.window.import_(self.clock.elapsed(), exported)
        self.window.lost = lost

    @invariant()
    def no_request_runs_twice(self):
        runs = getattr(self, "runs", Counter())
        assert all(count <= 1 for count in runs.values()), runs


TestAtMostOnce = AtMostOnceMachine.TestCase
TestAtMostOnce.settings = settings(max_examples=300, stateful_step_count=40, deadline=None)
