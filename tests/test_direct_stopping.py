"""Tests of a graceful stop: no request is accepted that can't be finished."""

from datetime import timedelta

import pytest

from fireflylock.direct.stopping import plan_stop
from fireflylock.exceptions import ErrorKind
from tests.direct_site import Site
from tests.test_direct_admission import START, AdmissionHarness

SECOND = timedelta(seconds=1)


@pytest.mark.parametrize("seconds", [0.3, 1, 2, 4, 6, 10])
def test_requests_accepted_last_have_time_to_finish(seconds):
    grace = seconds * SECOND
    plan = plan_stop(START, grace)
    assert START <= plan.accepts_until <= plan.queues_until <= max(plan.ends_at, START)
    assert plan.accepts_until - START <= 3 * SECOND
    if seconds > 1:
        assert plan.ends_at < START + grace
        assert plan.ends_at - plan.accepts_until >= (plan.ends_at - START) / 4


def test_requests_still_queued_at_the_end_are_refused_as_not_run():
    harness = AdmissionHarness()
    for number in range(8):
        harness.ask(START, f"r{number}", key=1)
    started = len(harness.started)
    harness.admission.refuse_waiting(START)
    assert len(harness.refused) == 8 - started
    assert {error.kind for error in harness.refused.values()} == {ErrorKind.STOPPING}
    assert all(error.not_run for error in harness.refused.values())
    harness.finish_request(START, "r0")
    assert len(harness.started) == started


async def test_a_request_that_arrives_late_in_a_stop_is_refused_at_once():
    """In a benchmark with a grace period of four seconds such a request was cut off.

    It was accepted on an idle connection 0.1 s before the end, and forwarded.
    """
    async with Site() as site:
        await site.add_server("o0")
        node = await site.add_node()
        await site.wait_until_granted()
        now = site.clock.elapsed()
        node.sender.stop = plan_stop(now, 4 * SECOND)
        assert (await site.send_request(node, "/read/", "early", 7)).status == 200
        node.sender.stop = plan_stop(now - 3.2 * SECOND, 4 * SECOND)
        answer = await site.send_request(node, "/place/", "late", 7, "POST", b"x")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) < 0.5
        assert [run.request_id for run in site.servers["o0"].runs] == ["early"]
