"""Tests of a graceful stop: no request is accepted that can't be finished."""

import asyncio
from datetime import timedelta

import pytest

from fireflylock.direct.stopping import plan_stop
from fireflylock.exceptions import ErrorKind, ProtocolError
from fireflylock.http_client import HTTPClient
from fireflylock.platform import wire
from standins.operator_files import HOST, config_json
from tests.direct_site import Site
from tests.test_direct_admission import START, AdmissionHarness
from tests.virtual_time import VirtualTimePolicy

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


LONG_ROUTES = [["place", HOST, "/place/", "unsafe", "9000ms", "8000ms", 1, "files", 2, None]]
LONG_TIME = "9000"


@pytest.fixture
def event_loop_policy():
    return VirtualTimePolicy()


async def test_a_request_that_waits_during_a_stop_is_not_sent_when_it_can_not_finish():
    """It was sent to the server just before the end, and its connection was then closed."""
    async with Site() as site:
        site.store.write(wire.CONFIG_KEY, config_json(2, LONG_ROUTES))
        await site.add_server("o0")
        server = await site.add_server("f0", "files", service_time=1.9 * SECOND)
        node = await site.add_node()
        await site.send_request(node, "/place/", "first", method="POST", body=b"x", left=LONG_TIME)
        stop = asyncio.create_task(node.stop())
        await asyncio.sleep(2.5)
        sends = [
            site.send_request(
                node, "/place/", f"r{number}", method="POST", body=b"x", left=LONG_TIME
            )
            for number in range(3 * server.slots)
        ]
        answers = await asyncio.gather(*sends, return_exceptions=True)
        await stop
    ran = {run.request_id for run in server.runs}
    for number, answer in enumerate(answers):
        assert not isinstance(answer, Exception), f"r{number} was cut off: {answer!r}"
        assert answer.status == (200 if f"r{number}" in ran else 503)


async def test_a_request_that_still_runs_at_the_end_of_a_stop_gets_an_answer():
    async with Site() as site:
        site.store.write(wire.CONFIG_KEY, config_json(2, LONG_ROUTES))
        await site.add_server("o0")
        server = await site.add_server("f0", "files")
        node = await site.add_node()
        await site.send_request(node, "/place/", "first", method="POST", body=b"x", left=LONG_TIME)
        server.service_time = 8 * SECOND
        stop = asyncio.create_task(node.stop())
        await asyncio.sleep(1)
        answer = await site.send_request(
            node, "/place/", "long", method="POST", body=b"x", left=LONG_TIME
        )
        await stop
        assert answer.status == 502


@pytest.mark.parametrize("work", [0.05, 2.0, 6.0])
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_no_request_that_was_sent_on_is_left_without_an_answer_during_a_stop(method, work):
    """Requests come in each tenth of the grace period, on kept and on new connections."""
    rows = [[*row[:3], "safe" if method == "GET" else "unsafe", *row[4:]] for row in LONG_ROUTES]
    async with Site() as site:
        site.store.write(wire.CONFIG_KEY, config_json(2, rows))
        await site.add_server("o0")
        server = await site.add_server("f0", "files", service_time=work * SECOND)
        node = await site.add_node()
        host, port = node.node_settings.front
        answers = {}

        async def ask(client: HTTPClient, name: str) -> None:
            headers = [("Host", HOST), (wire.REQUEST_ID.decode(), name)]
            headers.append((wire.TIME_LEFT.decode(), LONG_TIME))
            try:
                answer = await client.call(method, "/place/", 9 * SECOND, headers=headers)
                answers[name] = answer.status
            except (OSError, ProtocolError) as error:
                answers[name] = error

        kept = [HTTPClient(f"http://{host}:{port}") for _ in range(10)]
        await asyncio.gather(*(ask(client, f"first-{n}") for n, client in enumerate(kept)))
        stop = asyncio.create_task(node.stop())
        tasks = []
        for tenth in range(10):
            new = HTTPClient(f"http://{host}:{port}")
            tasks.append(asyncio.create_task(ask(kept[tenth], f"kept-{tenth}")))
            tasks.append(asyncio.create_task(ask(new, f"new-{tenth}")))
            await asyncio.sleep(0.55)
        await asyncio.gather(*tasks, stop)
    ran = {run.request_id for run in server.runs}
    for name, answer in answers.items():
        if name in ran:
            assert answer in (200, 502), f"{name} ran, and got {answer!r}"
        else:
            assert answer == 503 or isinstance(answer, Exception), f"{name} got {answer!r}"
    assert work > 5 or answers["kept-1"] == answers["new-1"] == 200
