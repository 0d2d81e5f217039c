"""Tests of admission control."""

import itertools
import random
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from fireflylock.admission import Admission, Queued, Refused, Started, Ticket
from fireflylock.exceptions import ErrorKind
from fireflylock.fair_queue import MAX_TRACKED_CUSTOMERS

SERVICE_TIME = timedelta(milliseconds=20)
ZERO = timedelta(0)


def ticket(number, customer="ana", deadline=timedelta(seconds=1000)):
    return Ticket(str(number), customer, deadline)


def full_admission(limit=4, queue_limit=100):
    admission = Admission(limit, queue_limit, SERVICE_TIME)
    for number in range(limit):
        assert admission.offer(ZERO, ticket(f"running-{number}", "busy")) == Started()
    return admission


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["offer", "offer", "finish", "cancel", "expire", "limit", "ramp"]),
            st.integers(0, 4),
            st.integers(1, 300),
        ),
        max_size=120,
    ),
    st.integers(1, 5),
)
def test_every_request_has_exactly_one_outcome(steps, limit):
    admission = Admission(limit, 8, SERVICE_TIME)
    now, outcomes, limit_now = ZERO, {}, limit
    tickets = {}
    for number, (step, choice, milliseconds) in enumerate(steps):
        now += timedelta(milliseconds=milliseconds % 20)
        started, refused = [], []
        if step == "offer":
            new = ticket(number, f"customer-{choice}", now + timedelta(milliseconds=milliseconds))
            tickets[new.request_id] = new
            decision = admission.offer(now, new)
            if isinstance(decision, Started):
                started = [new]
            if isinstance(decision, Refused):
                refused = [(new, decision)]
        running = [request_id for request_id, outcome in outcomes.items() if outcome == "running"]
        if step == "finish" and running:
            done = running[choice % len(running)]
            outcomes[done] = "done"
            started = admission.finish(now, tickets[done])
        if step == "cancel" and admission.queue.tickets:
            cancelled = list(admission.queue.tickets.values())[
                choice % len(admission.queue.tickets)
            ]
            outcomes[cancelled.request_id] = "cancelled"
            started = admission.cancel(now, cancelled)
        if step == "expire":
            refused = admission.expire(now)
        if step == "limit":
            limit_now = choice + 1
            started = admission.set_limit(now, limit_now)
        if step == "ramp":
            admission.begin_slow_start(now, timedelta(milliseconds=milliseconds))
        for request in started:
            assert request.request_id not in outcomes
            outcomes[request.request_id] = "running"
            assert len(admission.running) <= limit_now
        for request, decision in refused:
            assert request.request_id not in outcomes
            outcomes[request.request_id] = "refused"
            assert decision.retry_after > ZERO
        assert len(admission.queue.tickets) <= 8
        assert set(admission.running) == {
            request_id for request_id, outcome in outcomes.items() if outcome == "running"
        }
    late = now + timedelta(hours=1)
    for request, _ in admission.expire(late):
        assert request.request_id not in outcomes
        outcomes[request.request_id] = "refused"
    for request in admission.queue.tickets.values():
        assert not admission.running or request.deadline > late
    undecided = set(tickets) - set(outcomes) - set(admission.queue.tickets)
    assert not undecided


def test_customers_are_served_in_turn_however_many_requests_they_queue():
    admission = full_admission()
    for number in range(60):
        admission.offer(ZERO, ticket(f"ana-{number}", "ana"))
    for number in range(3):
        admission.offer(ZERO, ticket(f"beto-{number}", "beto"))
    order, now = [], ZERO
    for _ in range(10):
        now += SERVICE_TIME
        oldest = next(iter(admission.running.values())).ticket
        order += [request.customer for request in admission.finish(now, oldest)]
    assert order[:6].count("beto") == 3


def test_long_requests_count_for_the_time_they_take():
    admission = Admission(1, 1000, SERVICE_TIME)
    now, used = ZERO, {"long": ZERO, "short": ZERO}
    for number in range(400):
        for customer in used:
            admission.offer(now, ticket(f"{customer}-{number}", customer))
    for _ in range(400):
        current = next(iter(admission.running.values())).ticket
        took = SERVICE_TIME * (5 if current.customer == "long" else 1)
        now += took
        used[current.customer] += took
        admission.finish(now, current)
    assert 0.9 < used["long"] / used["short"] < 1.1


def test_a_request_that_would_miss_its_deadline_is_refused_at_once():
    admission = full_admission()
    for number in range(20):
        admission.offer(ZERO, ticket(number))
    decision = admission.offer(ZERO, ticket("late", deadline=timedelta(milliseconds=90)))
    assert isinstance(decision, Refused)
    assert decision.kind is ErrorKind.DEADLINE_TOO_SHORT
    expected = admission.expected_wait(ZERO, ticket("x")) - timedelta(milliseconds=90)
    assert decision.retry_after >= expected
    assert "late" not in admission.queue.tickets


def test_refused_callers_get_staggered_retry_times():
    admission = full_admission(queue_limit=0)
    decisions = [admission.offer(ZERO, ticket(number)) for number in range(10)]
    times = [decision.retry_after for decision in decisions]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert min(gaps) >= SERVICE_TIME / 4 - timedelta(microseconds=2)


def test_a_full_queue_evicts_the_largest_customers_request_for_another_customer():
    admission = full_admission(queue_limit=10)
    for number in range(10):
        assert isinstance(admission.offer(ZERO, ticket(f"ana-{number}", "ana")), Queued)
    assert isinstance(admission.offer(ZERO, ticket("beto-0", "beto")), Queued)
    dropped = admission.expire(ZERO)
    assert [(request.request_id, decision.kind) for request, decision in dropped] == [
        ("ana-9", ErrorKind.QUEUE_FULL)
    ]


def test_memory_is_bounded_for_any_number_of_customers():
    admission = Admission(4, 10, SERVICE_TIME)
    for number in range(3 * MAX_TRACKED_CUSTOMERS):
        customer_ticket = ticket(number, f"customer-{number}")
        assert admission.offer(ZERO, customer_ticket) == Started()
        admission.finish(ZERO, customer_ticket)
    assert len(admission.queue.customers) <= MAX_TRACKED_CUSTOMERS


def test_slow_start_reaches_the_limit_step_by_step():
    admission = Admission(4, 100, SERVICE_TIME)
    admission.begin_slow_start(ZERO, timedelta(seconds=30))
    for number in range(10):
        admission.offer(ZERO, ticket(number))
    reached, now = [len(admission.running)], ZERO
    while len(admission.running) < 4:
        now = admission.next_due(now)
        assert admission.start_next(now)
        reached.append(len(admission.running))
    assert now < timedelta(seconds=31)
    assert reached == [1, 2, 3, 4]


def test_drain_refuses_queued_requests_and_lets_running_ones_end():
    admission = full_admission()
    admission.offer(ZERO, ticket("waits"))
    dropped = admission.drain(ZERO)
    assert [decision.kind for _, decision in dropped] == [ErrorKind.DRAINING]
    assert admission.offer(ZERO, ticket("new")).kind is ErrorKind.DRAINING
    assert admission.finish(SERVICE_TIME, ticket("running-0", "busy")) == []
    assert len(admission.running) == 3


def test_a_server_that_missed_every_deadline_gets_requests_again_once_it_is_fast():
    admission = Admission(2, 10, SERVICE_TIME)
    now = ZERO
    rng = random.Random(1)
    for number in range(50):
        now += timedelta(seconds=3)
        slow = ticket(number, deadline=now + timedelta(seconds=1))
        if isinstance(admission.offer(now, slow), Started):
            admission.finish(now + timedelta(seconds=2), slow, ok=False)
    served = 0
    for number in range(50, 250):
        now += timedelta(seconds=1)
        fast = ticket(number, deadline=now + timedelta(seconds=1))
        if isinstance(admission.offer(now, fast), Started):
            served += 1
            admission.finish(now + SERVICE_TIME * rng.uniform(0.5, 1.5), fast)
    assert served > 190
