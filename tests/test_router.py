"""Tests of the router: where requests go, when they are retried, and what is answered."""

import random
from datetime import timedelta

import pytest

from fireflylock.assignment import Assignment, GateRecord, Ownership
from fireflylock.clock import FakeClock
from fireflylock.exceptions import ErrorKind, RequestError
from fireflylock.exchange import BytesBody, Handler, Request, Response
from fireflylock.model import BackendServer, Configuration, Service
from fireflylock.retry import RetryBudget
from fireflylock.router import MAX_TAKEOVER_WAIT, RETRY_AFTER, Router, RoutingView

SECOND = timedelta(seconds=1)
SERVERS = {
    name: BackendServer(name, "desk", f"vm-{name}", zone, "127.0.0.1", 1)
    for name, zone in (("mesa-01", "rosario"), ("mesa-02", "parana"))
}
GATES = {"mesa-01": GateRecord("entry-1", 1), "mesa-02": GateRecord("entry-2", 1, "entry-3")}


class FakeRoutingView(RoutingView):
    """A view with a fixed configuration and assignment, on a fake clock."""

    def __init__(self, clock: FakeClock, keyed: bool, owner: str) -> None:
        self.clock = clock
        self.lost: set[str] = set()
        self.cut: set[str] = set()
        service = Service("desk", keyed=keyed, hash_slots=1)
        self.content = Configuration(1, services={"desk": service}, servers=SERVERS)
        units = {0: Ownership(owner, 1)} if keyed else {}
        self.assigned = Assignment("desk", 1, units, gates=GATES, revision=1)

    def configuration(self):
        return self.content

    def assignment(self, service):
        return self.assigned

    def is_live(self, member):
        return member not in self.lost

    def is_cut_off(self, member):
        return member in self.cut

    async def wait_for_change(self, timeout):
        self.clock.advance(timeout)


class FakeGates(Handler):
    """Answers with the given errors, then successfully; records the requested members."""

    def __init__(self, *answers: ErrorKind | None) -> None:
        self.answers = list(answers)
        self.asked: list[tuple[str, str]] = []

    async def handle(self, request):
        return await self.remote("entry-1", request)

    async def remote(self, member, request):
        self.asked.append((member, request.server))
        kind = self.answers.pop(0) if self.answers else None
        if kind is not None:
            raise RequestError(kind)
        return Response(200)


class RouterHarness:
    """The router of entry-1 in Rosario with fake surroundings."""

    def __init__(self, *answers, keyed=True, owner="mesa-02", budget=None) -> None:
        self.clock = FakeClock()
        self.view = FakeRoutingView(self.clock, keyed, owner)
        self.gates = FakeGates(*answers)
        self.budget = budget or RetryBudget()
        self.router = Router(
            "entry-1",
            "rosario",
            self.view,
            self.gates,
            self.gates.remote,
            lambda _service: self.budget,
            self.clock,
            random.Random(1),
        )

    async def send_request(self, idempotent=True) -> Response:
        method = "GET" if idempotent else "POST"
        deadline = self.clock.elapsed() + 10 * SECOND
        return await self.router.handle(
            Request("r", "desk", "k", "k", method, b"/", [], BytesBody(), 0, deadline, idempotent)
        )

    async def send_refused_request(self, idempotent=True) -> RequestError:
        with pytest.raises(RequestError) as caught:
            await self.send_request(idempotent)
        return caught.value


async def test_a_request_goes_to_the_gate_of_its_owner():
    harness = RouterHarness()
    assert (await harness.send_request()).status == 200
    assert harness.gates.asked == [("entry-2", "")]


async def test_the_standby_is_asked_when_the_gate_is_lost():
    harness = RouterHarness()
    harness.view.lost = {"entry-2"}
    await harness.send_request()
    assert harness.gates.asked == [("entry-3", "")]


async def test_an_unsafe_request_waits_for_a_move_and_is_sent_once():
    harness = RouterHarness(ErrorKind.MOVED, ErrorKind.MOVED, None)
    assert (await harness.send_request(idempotent=False)).status == 200


@pytest.mark.parametrize("kind", [ErrorKind.OUTCOME_UNKNOWN, ErrorKind.SERVER_REFUSED])
async def test_an_unsafe_request_that_may_have_reached_its_server_is_never_retried(kind):
    harness = RouterHarness(kind)
    assert (await harness.send_refused_request(idempotent=False)).kind is kind
    assert len(harness.gates.asked) == 1


async def test_a_request_is_not_reported_as_not_run_when_an_earlier_attempt_may_have_run():
    harness = RouterHarness(ErrorKind.OUTCOME_UNKNOWN, *[ErrorKind.NO_OWNER] * 50)
    error = await harness.send_refused_request()
    assert error.kind is ErrorKind.OUTCOME_UNKNOWN


async def test_a_request_that_fails_after_all_retries_gets_a_retry_after():
    harness = RouterHarness(*[ErrorKind.NO_OWNER] * 100)
    error = await harness.send_refused_request()
    assert error.kind is ErrorKind.NO_OWNER
    assert error.retry_after == RETRY_AFTER
    assert harness.clock.elapsed() <= MAX_TAKEOVER_WAIT


async def test_a_request_for_a_key_in_a_cut_off_zone_is_refused_at_once():
    harness = RouterHarness()
    harness.view.cut = {"entry-2"}
    error = await harness.send_refused_request()
    assert error.kind is ErrorKind.OWNER_UNREACHABLE
    assert harness.clock.elapsed() == timedelta(0)
    assert harness.gates.asked == []


async def test_retries_stay_within_their_budget():
    budget = RetryBudget(share=0.0, max_tokens=2.0)
    harness = RouterHarness(*[ErrorKind.SERVER_UNREACHABLE] * 50, budget=budget)
    await harness.send_refused_request()
    assert len(harness.gates.asked) == 3


async def test_requests_without_keys_prefer_local_servers_and_avoid_failing_ones():
    harness = RouterHarness(keyed=False)
    for _ in range(20):
        await harness.send_request()
    near = sum(server == "mesa-01" for _, server in harness.gates.asked)
    assert near > 15
    harness = RouterHarness(*[ErrorKind.SERVER_UNREACHABLE] * 12, keyed=False)
    for _ in range(30):
        try:
            await harness.send_request()
        except RequestError:
            continue
    assert {server for _, server in harness.gates.asked} == {"mesa-01", "mesa-02"}


async def test_a_buffered_request_body_is_sent_with_every_attempt():
    harness = RouterHarness()
    bodies = []

    async def remote(member, request):
        bodies.append(await request.body.read())
        if len(bodies) == 1:
            raise RequestError(ErrorKind.MOVED)
        return Response(201)

    harness.router.remote = remote
    deadline = harness.clock.elapsed() + 10 * SECOND
    body = BytesBody(b"300 sacks")
    request = Request("r", "desk", "k", "k", "POST", b"/", [], body, 9, deadline, False, "o-1")
    assert (await harness.router.handle(request)).status == 201
    assert bodies == [b"300 sacks"] * 2
