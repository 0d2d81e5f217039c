"""Tests of the connections to a backend server: what was sent, and what is certain."""

import asyncio
import contextlib
import json
from datetime import timedelta

import pytest

from fireflylock.exceptions import BodyCutShortError, ErrorKind, ProtocolError, RequestError
from fireflylock.exchange import Body, read_all
from fireflylock.http1 import BODY_BUFFER_BYTES
from fireflylock.server_exchange import BACKLOG_TURNS, MAX_EVENTS_PER_TURN, RefusedHeaderDialect
from standins import backend_server
from standins.http_connection import BUFFER_BYTES
from tests.http_helpers import HOST, new_pool, new_request, raw_server

SECOND = timedelta(seconds=1)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
MEGABYTE = 1024 * 1024
SMALL_BODY = 16 * 1024


def allow_send():
    """Allow the send."""


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return head + await reader.readexactly(length)


class ScriptedServer:
    """Sends one scripted response per request; records requests and the end of connections."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.connections = 0
        self.ended = asyncio.Event()

    async def __call__(self, reader, writer):
        self.connections += 1
        try:
            while True:
                self.requests.append(await read_head(reader))
                answer = self.answers.pop(0)
                if answer is None:
                    await reader.read()
                    break
                writer.write(answer)
                await writer.drain()
                if b"Content-Length" not in answer or b"close" in answer.lower():
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.ended.set()
        writer.close()


async def failure(pool, request, before_send=allow_send):
    with pytest.raises(RequestError) as caught:
        await pool.exchange(request, [], before_send)
    return caught.value


async def test_consecutive_requests_share_one_connection():
    server = ScriptedServer(OK, OK)
    async with raw_server(server) as pool:
        for _ in range(2):
            extra = [(b"fireflylock-unit", b"7")]
            response = await pool.exchange(new_request(body=b"abc"), extra, allow_send)
            assert await read_all(response.body, 10) == b"ok"
            assert response.body_length == 2
    assert server.connections == 1
    assert all(request.endswith(b"\r\n\r\nabc") for request in server.requests)
    assert b"fireflylock-unit: 7\r\n" in server.requests[0].lower()


REFUSED = b"HTTP/1.1 409 No\r\nFireflylock-Refused: full\r\nContent-Length: 0\r\n\r\n"


async def test_a_refusal_that_a_server_repeats_is_not_taken_for_the_next_outcome():
    server = ScriptedServer(REFUSED, REFUSED + OK)
    async with raw_server(server) as pool:
        assert (await failure(pool, new_request())).not_run
        server.answers = [OK]
        response = await pool.exchange(new_request(), [], allow_send)
        assert await read_all(response.body, 10) == b"ok"
    assert server.connections == 2


class NamedRefusals(RefusedHeaderDialect):
    """Responses name their request, so that connections are kept after a refusal."""

    names_requests = True


async def test_a_retry_at_the_connection_limit_replaces_the_connection_that_refused_it():
    server = ScriptedServer(REFUSED, OK, OK)
    async with raw_server(server) as pool:
        pool.dialect = NamedRefusals()
        pool.set_connection_limit(1)
        assert (await failure(pool, new_request())).not_run
        await pool.exchange(new_request(), [], allow_send)
        assert server.connections == 2
        await pool.exchange(new_request(), [], allow_send)
    assert server.connections == 2


async def test_an_error_before_the_send_sends_nothing():
    def stop():
        raise RequestError(ErrorKind.MOVED)

    server = ScriptedServer(OK)
    async with raw_server(server) as pool:
        error = await failure(pool, new_request(), stop)
        assert error.kind is ErrorKind.MOVED
        await pool.exchange(new_request(), [], allow_send)
    assert server.connections == 1
    assert len(server.requests) == 1


async def test_no_connection_means_not_run():
    error = await failure(new_pool(1), new_request())
    assert error.kind is ErrorKind.SERVER_UNREACHABLE
    assert error.not_run


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200",
        b"garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
    ],
)
async def test_a_lost_or_invalid_response_is_an_unknown_outcome_and_not_retried(answer):
    server = ScriptedServer(answer, OK)
    async with raw_server(server) as pool:
        error = await failure(pool, new_request())
        assert error.kind is ErrorKind.OUTCOME_UNKNOWN
        assert not error.not_run
    assert len(server.requests) == 1


async def test_a_typed_refusal_means_not_run_and_carries_its_reason():
    refused = (
        b"HTTP/1.1 409 Conflict\r\nFireflylock-Refused: stale-unit\r\nRetry-After: 3\r\n"
        b"Content-Length: 2\r\n\r\nno"
    )
    async with raw_server(ScriptedServer(refused)) as pool:
        error = await failure(pool, new_request())
    assert error.kind is ErrorKind.SERVER_REFUSED
    assert error.detail == "stale-unit"
    assert error.retry_after == 3 * SECOND
    assert error.not_run


async def test_a_conflict_without_the_refusal_header_is_a_normal_response():
    conflict = b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\nFireflylock-Outcome: x\r\n\r\nno"
    async with raw_server(ScriptedServer(conflict)) as pool:
        response = await pool.exchange(new_request(), [], allow_send)
    assert response.status == 409
    assert response.headers == []


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nConnection: close\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
    ],
)
async def test_a_truncated_response_body_never_looks_complete(answer):
    async with raw_server(ScriptedServer(answer)) as pool:
        response = await pool.exchange(new_request(), [], allow_send)
        with pytest.raises(BodyCutShortError):
            await read_all(response.body, 100)


async def test_a_connection_that_the_server_closed_is_replaced_before_anything_is_sent():
    closing = asyncio.Event()
    closed = asyncio.Event()
    seen = []

    async def serve(reader, writer):
        seen.append(await read_head(reader))
        writer.write(OK)
        await closing.wait()
        writer.close()
        await writer.wait_closed()
        closed.set()

    async with raw_server(serve) as pool:
        await pool.exchange(new_request(), [], allow_send)
        closing.set()
        await closed.wait()
        await pool.exchange(new_request(), [], allow_send)
    assert len(seen) == 2


async def test_bytes_after_a_response_are_not_read_as_the_next_one():
    async with raw_server(ScriptedServer(OK + OK, OK)) as pool:
        for _ in range(2):
            response = await pool.exchange(new_request(), [], allow_send)
            assert await read_all(response.body, 10) == b"ok"
        assert pool.counters.opened == 2


async def test_the_deadline_and_a_cancelled_caller_close_the_connection():
    server = ScriptedServer(None)
    async with raw_server(server) as pool:
        error = await failure(pool, new_request(timeout=timedelta(milliseconds=30)))
        assert error.kind is ErrorKind.DEADLINE_EXCEEDED
        await server.ended.wait()
    server = ScriptedServer(None)
    sent = asyncio.Event()
    async with raw_server(server) as pool:
        task = asyncio.create_task(pool.exchange(new_request(), [], sent.set))
        await sent.wait()
        task.cancel()
        await server.ended.wait()
        assert pool.counters.abandoned == 1


async def test_closing_a_body_early_closes_the_connection():
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"
    server = ScriptedServer(answer, None)
    async with raw_server(server) as pool:
        response = await pool.exchange(new_request(), [], allow_send)
        await response.body.close()
        await server.ended.wait()
        assert pool.open_count == 0 or not pool.idle


class TruncatedBody(Body):
    """A request's body that ends too early."""

    async def read(self):
        raise BodyCutShortError("the caller left")


async def test_a_truncated_request_never_looks_complete_to_the_server():
    server = ScriptedServer(OK)
    request = new_request()
    request.body, request.body_length = TruncatedBody(), 10
    async with raw_server(server) as pool:
        error = await failure(pool, request)
        assert error.kind is ErrorKind.OUTCOME_UNKNOWN
        await server.ended.wait()
    assert server.requests == []


async def test_the_connection_limit_is_exact_and_waiting_ends_with_the_deadline():
    open_now = max_open = 0

    async def serve(reader, writer):
        nonlocal open_now, max_open
        open_now += 1
        max_open = max(max_open, open_now)
        await read_head(reader)
        await asyncio.sleep(0.002)
        writer.write(OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        open_now -= 1
        writer.close()

    async with raw_server(serve) as pool:
        pool.limit = 3
        waiting = [pool.exchange(new_request(), [], allow_send) for _ in range(30)]
        await asyncio.gather(*waiting)
        assert max_open <= 3
        pool.limit = 0
        error = await failure(pool, new_request(timeout=timedelta(milliseconds=10)))
        assert error.kind is ErrorKind.DEADLINE_TOO_SHORT


@pytest.fixture
async def standin(tmp_path):
    log = tmp_path / "executions.jsonl"
    options = ["--name", "s1", "--service", "mesa", "--log", str(log)]
    application, server = await backend_server.start(backend_server.parse_options(options))
    pool = new_pool(server.sockets[0].getsockname()[1])
    yield application, pool, lambda: [json.loads(line) for line in log.open()]
    pool.close()
    server.close()


def grant_unit(application):
    """Grant unit 7 at epoch 2 to gate epoch 3.0."""
    application.fence.control(
        {
            "call": "claim",
            "gate_epoch": [3, 0],
            "incarnation": application.incarnation,
            "until_us": (application.clock.elapsed() + 60 * SECOND) // timedelta(microseconds=1),
            "grants": [[7, 2]],
        }
    )
    return [
        (b"fireflylock-gate-epoch", b"3.0"),
        (b"fireflylock-unit", b"7"),
        (b"fireflylock-unit-epoch", b"2"),
        (b"fireflylock-request-id", b"r1"),
    ]


async def test_standin_runs_granted_requests_and_logs_them(standin):
    application, pool, log = standin
    headers = grant_unit(application)
    response = await pool.exchange(new_request(body=b"x" * MEGABYTE), headers, allow_send)
    answer = json.loads(await read_all(response.body, 1000))
    assert answer["request_id"] == "r1"
    assert answer["body_bytes"] == MEGABYTE
    assert [line["event"] for line in log()] == ["start", "effect", "end"]
    error = await failure(pool, new_request())
    assert error.detail == "stale-gate"
    assert log()[-1]["event"] == "refused"


async def test_standin_refuses_repeatedly_on_one_connection(standin):
    _, pool, _ = standin
    for _ in range(4 * BUFFER_BYTES // SMALL_BODY):
        error = await failure(pool, new_request(body=b"x" * SMALL_BODY))
        assert error.detail == "no-session"


async def test_standin_checks_the_grant_again_at_the_effect(standin):
    application, pool, log = standin
    headers = grant_unit(application)
    application.faults.slow_ms = 20
    started = asyncio.Event()
    application.fence.started = lambda unit: started.set()
    task = asyncio.create_task(pool.exchange(new_request(), headers, allow_send))
    await started.wait()
    application.fence.expiry = application.clock.elapsed()
    with pytest.raises(RequestError) as caught:
        await task
    assert caught.value.detail == "no-session"
    assert [line["event"] for line in log()] == ["start", "refused"]


async def test_standin_control_calls_load_and_faults(standin):
    application, pool, log = standin
    reply = await pool.control({"call": "hello"}, 20 * SECOND)
    assert reply["incarnation"] == application.incarnation
    application.set_faults(b'{"lie": {"in_flight": -1}, "drop_answer": 1, "cut_body": 1}')
    assert (await pool.load(20 * SECOND))["in_flight"] == -1
    headers = grant_unit(application)
    error = await failure(pool, new_request(), headers and allow_send)
    assert error.detail == "stale-gate"
    with pytest.raises(RequestError) as caught:
        await pool.exchange(new_request(), headers, allow_send)
    assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN
    response = await pool.exchange(new_request("GET", b"/blob?bytes=100000"), headers, allow_send)
    with pytest.raises(BodyCutShortError):
        await read_all(response.body, MEGABYTE)
    assert sum(line["event"] == "effect" for line in log()) == 2


async def test_control_calls_raise_typed_errors():
    async def silent(reader, writer):
        await reader.read()

    async with raw_server(silent) as pool:
        with pytest.raises(TimeoutError):
            await pool.control({}, timedelta(milliseconds=20))
    async with raw_server(ScriptedServer(b"", OK, b"HTTP/1.1 500 x\r\n\r\n")) as pool:
        with pytest.raises(OSError):
            await pool.control({}, 20 * SECOND)
        for _ in range(2):
            with pytest.raises(ProtocolError):
                await pool.control({}, 20 * SECOND)
    with pytest.raises(OSError):
        await new_pool(1).control({}, 20 * SECOND)


def test_standin_runs_as_a_program():
    options = backend_server.parse_options(["--name", "s1", "--service", "mesa"])
    assert options.host == HOST
    assert options.checks_grants == "yes"


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SHORT_CHUNK = b"1\r\nb\r\n"


async def test_an_endless_body_in_short_chunks_leaves_each_turn_of_the_loop_to_others():
    """One faulty server held up the callers of all others for seconds."""
    ended = asyncio.Event()

    async def serve(reader, writer):
        await read_head(reader)
        writer.write(HEAD)
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(SHORT_CHUNK * 10_000)
                await writer.drain()
        ended.set()

    async with raw_server(serve) as pool:
        response = await pool.exchange(new_request(), [], allow_send)
        received = 0
        for _ in range(2_000):
            received += len(response.body.read_nowait())
            await asyncio.sleep(0)
            assert response.body.buffered <= MAX_EVENTS_PER_TURN
        assert received > MAX_EVENTS_PER_TURN * BACKLOG_TURNS
        assert pool.counters.backlogs == 1
        await response.body.close()
        await ended.wait()


async def test_a_body_in_short_chunks_arrives_whole_although_its_reader_is_slow():
    size = 3 * BODY_BUFFER_BYTES
    body = bytes(n % 251 for n in range(size))
    chunked = b"".join(b"1\r\n%c\r\n" % n for n in body)

    async with raw_server(ScriptedServer(HEAD + chunked + b"0\r\n\r\n")) as pool:
        response = await pool.exchange(new_request(), [], allow_send)
        received = b""
        while part := await response.body.read():
            received += part
            if len(received) < BODY_BUFFER_BYTES:
                await asyncio.sleep(0.01)
                assert response.body.buffered <= BODY_BUFFER_BYTES + MAX_EVENTS_PER_TURN
        assert received == body
        assert not pool.connections or pool.idle


async def test_responses_that_arrive_at_once_in_many_turns_end_in_order():
    """The end of the stream is handled after what came before it."""
    body = b"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    body += SHORT_CHUNK * (10 * MAX_EVENTS_PER_TURN) + b"0\r\n\r\n"
    async with raw_server(ScriptedServer(body)) as pool:
        response = await pool.exchange(new_request(), [], allow_send)
        assert await read_all(response.body, 10_000) == b"b" * 10 * MAX_EVENTS_PER_TURN
